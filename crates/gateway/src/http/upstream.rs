//! Connections to runners and to the store.

use super::response_codec::{
    BodyDecoder, BodyItem, ResponseDecodeError, ResponseHead, ResponseHeadDecoder,
};
use super::response_limit::{ResponsePart, ResponseTooLong};
use crate::response_memory::BodyBuffer;
use crate::tunnel::frames::{FrameDecoder, TunnelState};
use ntex::io::{Io, IoBoxed, IoConfig};
use ntex::util::{Bytes, Either};
use ntex::SharedCfg;
use pitchstall_serving::framing_habit::HeadDamage;
use pitchstall_serving::ids::NodeId;
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum number of written bytes that wait for a peer that does not read. A request is handed over as a whole
/// while its response may already be read, so this must exceed the largest request.
const WRITE_BUFFER_BYTES: usize = 64 * 1024 * 1024;
const WRITE_BUFFER_LOW_WATERMARK_BYTES: usize = 1_024;
const WRITE_BUFFER_CACHE_SIZE: usize = 16;
/// Time after which unacknowledged bytes make the kernel close a connection. A machine that loses power does not close its
/// connections. One that is silent for a second or two and goes on must not lose them: by then the bytes are sent again only
/// at intervals of more than a second.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a connection could not be opened. No byte of a request has been sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("connect timed out")]
    TimedOut,
    /// The operating system or the peer rejected the connection.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl ConnectError {
    /// Whether the peer's operating system reported that no process listens on the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Why a response could not be read to its end. The request may have run.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection in an orderly way.
    #[error("connection closed by peer")]
    Closed,
    /// Reading or writing failed, for example because the connection was reset.
    #[error("connection failed: {0}")]
    Io(std::io::Error),
    /// Only the end of the connection marks the end of the response, and nothing proves that the runner has ended it.
    #[error("response not proven to be whole")]
    UnprovenEnd,
    /// The head has lost lines that the runner always sends.
    #[error("{0}")]
    DamagedHead(#[from] HeadDamage),
    /// The received bytes are not a valid response.
    #[error("{0}")]
    Malformed(#[from] ResponseDecodeError),
    /// The response is longer than this node accepts.
    #[error("{0}")]
    TooLong(#[from] ResponseTooLong),
}

/// Opens a stream to another process. Dropping the stream closes it immediately.
pub async fn open_stream(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<Io, ConnectError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    let stream = stream.into_std()?;
    // Without this socket option, a dead peer is detected much later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Ok(ntex::rt::from_tcp_stream(stream, UPSTREAM_CONFIG.with(Clone::clone))?)
}

/// The next part of a response's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body; never empty.
    Bytes(Bytes),
    /// There are no further bytes.
    End(BodyEnd),
}

/// What has marked the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length or its chunks: the body is whole.
    Framed,
    /// The end of the connection alone. The connections of a process that is killed end in the same way, so that nothing
    /// proves that the body is whole.
    Unproven,
}

/// An open HTTP connection on which no response is outstanding. Dropping it closes it immediately.
///
/// Sending a request consumes the connection. Only a response that has been read to its end gives it back, so that a
/// connection whose peer still owes a response can carry no other request.
#[derive(Debug)]
pub struct Upstream {
    io: IoBoxed,
    /// Set if the connection leads through another node.
    tunnel: Option<Tunnel>,
}

/// The node that a connection leads through.
#[derive(Debug)]
struct Tunnel {
    peer: NodeId,
    state: Rc<TunnelState>,
}

/// A request that was sent on a connection and whose response has not begun. Dropping it closes the connection.
#[derive(Debug)]
pub struct PendingResponse {
    connection: Upstream,
}

/// A response whose head has been received. Dropping it closes the connection.
#[derive(Debug)]
pub struct OpenResponse {
    /// Status line and headers of the response.
    pub head: ResponseHead,
    connection: Upstream,
    decoder: BodyDecoder,
    /// Whether the body has been read to the end that its framing determines.
    is_complete: Cell<bool>,
}

impl Upstream {
    /// Opens a connection, or fails after `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectError> {
        let io = open_stream(address, connect_timeout).await?;
        Ok(Self { io: io.boxed(), tunnel: None })
    }

    /// The connection to a runner that `peer` has opened at the other end of `io`.
    pub fn through(io: Io, peer: NodeId) -> Self {
        let state = Rc::<TunnelState>::default();
        let io = io.add_filter(FrameDecoder::new(state.clone())).boxed();
        Self { io, tunnel: Some(Tunnel { peer, state }) }
    }

    /// The node that the connection leads through; `None` if it is this node's own connection.
    pub fn peer(&self) -> Option<&NodeId> {
        self.tunnel.as_ref().map(|tunnel| &tunnel.peer)
    }

    /// Queues a request to be written, without waiting for the peer to read it.
    pub fn send(self, request: Vec<u8>) -> Result<PendingResponse, ReadError> {
        self.io.encode_bytes(Bytes::from(request)).map_err(ReadError::Io)?;
        Ok(PendingResponse { connection: self })
    }

    /// Whether the runner itself has closed the connection, once it is closed. A node in between may have failed instead.
    fn has_orderly_end(&self) -> bool {
        self.tunnel.as_ref().is_none_or(|tunnel| tunnel.state.has_ended())
    }

    /// Whether another request may be sent: the connection is open, the last request was written
    /// completely, and no unexpected bytes have arrived.
    pub fn is_reusable(&self) -> bool {
        let unread = self.io.with_read_buf(|buffer| buffer.len());
        let unsent = self.io.with_write_buf(|buffer| buffer.len()).unwrap_or(1)
            + self.io.with_write_dst_buf(|buffer| buffer.len());
        let is_tunnel_reusable =
            self.tunnel.as_ref().is_none_or(|tunnel| tunnel.state.is_reusable());
        !self.io.is_closed() && unread == 0 && unsent == 0 && is_tunnel_reusable
    }
}

impl PendingResponse {
    /// Reads the head of the next response on the connection.
    pub async fn read_head(self) -> Result<OpenResponse, ReadError> {
        let head = match self.connection.io.recv(&ResponseHeadDecoder::default()).await {
            Ok(Some(head)) => head,
            Ok(None) => return Err(ReadError::Closed),
            Err(error) => return Err(into_read_error(error)),
        };
        let decoder = BodyDecoder::new(head.framing);
        Ok(OpenResponse {
            head,
            connection: self.connection,
            decoder,
            is_complete: Cell::new(false),
        })
    }
}

impl OpenResponse {
    /// Reads the next part of the body.
    pub async fn read_part(&self) -> Result<BodyPart, ReadError> {
        match self.connection.io.recv(&self.decoder).await {
            Ok(Some(BodyItem::Chunk(bytes))) => Ok(BodyPart::Bytes(bytes)),
            Ok(Some(BodyItem::End)) => {
                self.is_complete.set(true);
                Ok(BodyPart::End(BodyEnd::Framed))
            }
            Ok(None)
                if self.decoder.ends_with_connection() && self.connection.has_orderly_end() =>
            {
                Ok(BodyPart::End(BodyEnd::Unproven))
            }
            Ok(None) => Err(ReadError::Closed),
            Err(error) => Err(into_read_error(error)),
        }
    }

    /// Reads the body of at most `max_bytes` to its end and discards it. A longer body is an error.
    pub async fn discard_body(&self, max_bytes: usize) -> Result<(), ReadError> {
        let mut received = 0;
        while let BodyPart::Bytes(bytes) = self.read_part().await? {
            received += bytes.len();
            if received > max_bytes {
                let part = ResponsePart::Body;
                return Err(ResponseTooLong { part, limit_bytes: max_bytes }.into());
            }
        }
        Ok(())
    }

    /// Reads the body to its end into a buffer. A body that is longer than the buffer accepts is an error. A body whose end
    /// is unproven may be cut short, which shows only in a format that marks its own end, such as a JSON object.
    pub async fn read_body_into(&self, buffer: &mut BodyBuffer) -> Result<BodyEnd, ReadError> {
        loop {
            match self.read_part().await? {
                BodyPart::Bytes(bytes) => buffer.push(&bytes)?,
                BodyPart::End(end) => return Ok(end),
            }
        }
    }

    /// Completes when further bytes arrive. Never completes if the connection ends before.
    pub async fn wait_for_data(&self) {
        let io = &self.connection.io;
        let unread = || io.with_read_buf(|buffer| buffer.len());
        let unread_before = unread();
        while unread() <= unread_before {
            if !matches!(io.read_notify().await, Ok(Some(()))) {
                std::future::pending::<()>().await;
            }
        }
    }

    /// The connection, if another request may be sent on it: the body has been read to its end, and the peer keeps the
    /// connection open.
    pub fn into_connection(self) -> Option<Upstream> {
        let is_kept = self.is_complete.get() && self.head.keep_alive;
        (is_kept && self.connection.is_reusable()).then_some(self.connection)
    }

    /// Skips a response that belongs to an earlier request, with a body of at most `max_bytes`. The response to the last
    /// request is still outstanding.
    pub async fn skip(self, max_bytes: usize) -> Result<PendingResponse, ReadError> {
        self.discard_body(max_bytes).await?;
        match self.is_complete.get() {
            true => Ok(PendingResponse { connection: self.connection }),
            false => Err(ReadError::Closed),
        }
    }
}

thread_local! {
    /// One configuration for all connections of a thread, because ntex gives each configuration its own id and
    /// never frees the buffers that it keeps for an id.
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
