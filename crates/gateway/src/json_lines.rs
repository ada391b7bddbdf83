//! JSON lines over a connection between two nodes.

use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::Cell;

/// Longest line. The largest is a whole configuration, which the store bounds to 1 MiB before
/// its escaping as a string.
const MOST_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A line could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum LineFailure {
    /// The connection was closed or broke.
    #[error("the connection was closed or broke")]
    Closed,
    /// The line is too long.
    #[error("the line is too long")]
    TooLong,
    /// The line is not the JSON that is expected.
    #[error("the line cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The line could not be written.
    #[error("the line could not be written: {0}")]
    Write(#[from] std::io::Error),
}

/// Splits what comes at line ends, and notes how many bytes of a line have come.
struct LineDecoder<'a> {
    received: &'a Cell<usize>,
}

impl Decoder for LineDecoder<'_> {
    type Item = Bytes;
    type Error = LineFailure;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Bytes>, LineFailure> {
        self.received.set(source.len());
        match source.iter().position(|byte| *byte == b'\n') {
            Some(end) => Ok(Some(source.split_to(end + 1))),
            None if source.len() > MOST_LINE_BYTES => Err(LineFailure::TooLong),
            None => Ok(None),
        }
    }
}

/// Reads the next line.
pub async fn read_line<T: DeserializeOwned>(io: &Io) -> Result<T, LineFailure> {
    read_line_noting(io, &Cell::new(0)).await
}

/// Reads the next line; `received` holds how many of its bytes have come, also while it is read.
pub async fn read_line_noting<T: DeserializeOwned>(
    io: &Io,
    received: &Cell<usize>,
) -> Result<T, LineFailure> {
    match io.recv(&LineDecoder { received }).await {
        Ok(Some(line)) => Ok(serde_json::from_slice(&line)?),
        Ok(None) | Err(ntex::util::Either::Right(_)) => Err(LineFailure::Closed),
        Err(ntex::util::Either::Left(failure)) => Err(failure),
    }
}

/// Hands a line over to be written; does not wait for the other side.
pub fn write_line<T: Serialize>(io: &Io, value: &T) -> Result<(), LineFailure> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    Ok(io.encode_bytes(Bytes::from(line))?)
}
