//! JSON lines, and raw bytes after them, over a connection between two nodes.

use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::Cell;

/// Maximum length of a line that a node has asked for. Updates of more than a few kilobytes are sent compressed after
/// their line.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Maximum length of a line that comes unasked.
pub const MAX_QUERY_BYTES: usize = 4 * 1024;

/// Why a line, or the bytes after it, could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The connection was closed or broke.
    #[error("the connection was closed or broke")]
    Closed,
    /// The line, or the data announced after it, exceeds its maximum size.
    #[error("the line or the data after it is too long")]
    TooLong,
    /// The line is not JSON of the expected type.
    #[error("the line cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// The data after the line cannot be compressed, or cannot be decompressed within the size
    /// limit.
    #[error("the data after the line cannot be compressed or decompressed: {0}")]
    Compression(std::io::Error),
    /// The peer has not read what was written to it in time.
    #[error("the peer did not read in time")]
    Unread,
    /// The line could not be written.
    #[error("the line could not be written: {0}")]
    Write(#[from] std::io::Error),
}

/// Splits the input at line ends. Bytes that have been searched are not searched again, since a
/// long line arrives in many pieces.
struct LineDecoder {
    max_bytes: usize,
    searched: Cell<usize>,
}

impl Decoder for LineDecoder {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let searched = self.searched.replace(source.len()).min(source.len());
        match source[searched..].iter().position(|byte| *byte == b'\n') {
            Some(end) => Ok(Some(source.split_to(searched + end + 1))),
            None if source.len() > self.max_bytes => Err(LineError::TooLong),
            None => Ok(None),
        }
    }
}

/// Takes the available bytes, at most `max_bytes`.
struct ChunkDecoder {
    max_bytes: usize,
}

impl Decoder for ChunkDecoder {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let length = self.max_bytes.min(source.len());
        Ok((length > 0).then(|| source.split_to(length)))
    }
}

/// Reads and parses the next line, which this node has asked for.
pub async fn read_line<T: DeserializeOwned>(io: &Io) -> Result<T, LineError> {
    read_line_within(io, MAX_LINE_BYTES).await
}

/// Reads and parses the next line of at most `max_bytes`.
pub async fn read_line_within<T: DeserializeOwned>(
    io: &Io,
    max_bytes: usize,
) -> Result<T, LineError> {
    let line = receive(io, &LineDecoder { max_bytes, searched: Cell::new(0) }).await?;
    Ok(serde_json::from_slice(&line)?)
}

/// Reads the available bytes of the `max_bytes` bytes that follow a line; at least one.
pub async fn read_chunk(io: &Io, max_bytes: usize) -> Result<Bytes, LineError> {
    receive(io, &ChunkDecoder { max_bytes }).await
}

/// Bytes that have arrived, or how the connection ended.
#[derive(Debug)]
pub enum Available {
    /// The next bytes; at least one.
    Bytes(Bytes),
    /// The peer has closed the connection in an orderly way.
    End,
    /// The connection broke.
    Broken,
}

/// Reads the next bytes, at most `max_bytes`, and tells an orderly end of the connection from a broken one.
pub async fn read_available(io: &Io, max_bytes: usize) -> Available {
    match io.recv(&ChunkDecoder { max_bytes }).await {
        Ok(Some(bytes)) => Available::Bytes(bytes),
        Ok(None) => Available::End,
        Err(_) => Available::Broken,
    }
}

async fn receive<D>(io: &Io, decoder: &D) -> Result<Bytes, LineError>
where
    D: Decoder<Item = Bytes, Error = LineError>,
{
    match io.recv(decoder).await {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) | Err(ntex::util::Either::Right(_)) => Err(LineError::Closed),
        Err(ntex::util::Either::Left(error)) => Err(error),
    }
}

/// Queues a line for sending, without waiting for the peer.
pub fn write_line<T: Serialize>(io: &Io, value: &T) -> Result<(), LineError> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    Ok(io.encode_bytes(Bytes::from(line))?)
}

/// Queues bytes that follow a line for sending, without waiting for the peer.
pub fn write_bytes(io: &Io, bytes: Bytes) -> Result<(), LineError> {
    Ok(io.encode_bytes(bytes)?)
}
