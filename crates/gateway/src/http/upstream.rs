//! A connection to a runner or to the store.

use super::response_codec::{
    BodyDecoder, BodyItem, ResponseDecodeError, ResponseHead, ResponseHeadDecoder,
};
use ntex::io::{Io, IoConfig};
use ntex::util::{Bytes, Either};
use ntex::SharedCfg;
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Written bytes that may wait for a peer that does not read. A request is written as a whole
/// while its answer is read already, so this is above the largest request.
const WRITE_BUFFER_BYTES: usize = 64 * 1024 * 1024;
const WRITE_BUFFER_LOW_WATERMARK_BYTES: usize = 1_024;
const WRITE_BUFFER_CACHE_SIZE: usize = 16;
/// Bytes that are not acknowledged for this long break the connection: a machine without
/// power says nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why there is no connection. Nothing has been sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Nobody answered in time.
    #[error("nobody answered in time")]
    TimedOut,
    /// The system or the other side refused.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl ConnectError {
    /// Whether the other side's system said that nobody listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Why an answer could not be read to its end. The request may have run.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed the connection in order.
    #[error("the connection was closed")]
    Closed,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(std::io::Error),
    /// What came is no answer.
    #[error("{0}")]
    Malformed(#[from] ResponseDecodeError),
}

/// Opens a stream to another process. Dropping it closes it at once.
pub async fn open_stream(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<Io, ConnectError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    let stream = stream.into_std()?;
    // A system without this option is served too, only later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Ok(ntex::rt::from_tcp_stream(stream, UPSTREAM_CONFIG.with(Clone::clone))?)
}

/// An open connection. Dropping it closes it at once.
#[derive(Debug)]
pub struct Upstream {
    io: Io,
}

impl Upstream {
    /// Opens a connection.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectError> {
        Ok(Self { io: open_stream(address, connect_timeout).await? })
    }

    /// Hands over bytes to be written; does not wait for the other side.
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), ReadError> {
        self.io.encode_bytes(Bytes::from(bytes)).map_err(ReadError::Io)
    }

    /// Reads the head of the next answer.
    pub async fn read_head(&self) -> Result<ResponseHead, ReadError> {
        match self.io.recv(&ResponseHeadDecoder).await {
            Ok(Some(head)) => Ok(head),
            Ok(None) => Err(ReadError::Closed),
            Err(error) => Err(into_read_error(error)),
        }
    }

    /// Reads the next bytes of a body; `None` at its end.
    pub async fn read_body(&self, decoder: &BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        match self.io.recv(decoder).await {
            Ok(Some(BodyItem::Chunk(bytes))) => Ok(Some(bytes)),
            Ok(Some(BodyItem::End)) => Ok(None),
            Ok(None) if decoder.ends_with_connection() => Ok(None),
            Ok(None) => Err(ReadError::Closed),
            Err(error) => Err(into_read_error(error)),
        }
    }

    /// Reads a whole body of at most so many bytes; a longer one is a fault.
    pub async fn read_whole_body(
        &self,
        decoder: &BodyDecoder,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.read_body(decoder).await? {
            if body.len() + bytes.len() > max_bytes {
                return Err(ReadError::Malformed(ResponseDecodeError::InvalidLength));
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    /// Whether another request may be sent: the connection is open, the last request was taken
    /// whole, and nothing has come that nobody asked for.
    pub fn is_reusable(&self) -> bool {
        let unread = self.io.with_read_buf(|buffer| buffer.len());
        let unsent = self.io.with_write_buf(|buffer| buffer.len()).unwrap_or(1);
        !self.io.is_closed() && unread == 0 && unsent == 0
    }
}

thread_local! {
    /// One for all connections of a thread: each configuration has a number of its own, and the
    /// buffers kept under it are never let go.
    static UPSTREAM_CONFIG: SharedCfg = {
        let io = IoConfig::new().set_write_buf(
            WRITE_BUFFER_BYTES,
            WRITE_BUFFER_LOW_WATERMARK_BYTES,
            WRITE_BUFFER_CACHE_SIZE,
        );
        SharedCfg::new("upstream").add(io).into()
    };
}

fn into_read_error(error: Either<ResponseDecodeError, std::io::Error>) -> ReadError {
    match error {
        Either::Left(error) => ReadError::Malformed(error),
        Either::Right(error) if error.kind() == ErrorKind::UnexpectedEof => ReadError::Closed,
        Either::Right(error) => ReadError::Io(error),
    }
}
