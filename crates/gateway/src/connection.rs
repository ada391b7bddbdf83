//! A client connection: reads requests and writes responses.
//!
//! A response that fails halfway is truncated without writing another byte, so that the client cannot
//! take it for complete. Between requests, a connection is closed only while no byte of the next
//! request has been read.
//!
//! A panic while a request is read, handled or answered is counted and logged with the request's id. The client gets a
//! response unless one has begun: that the request may have run.

use crate::caught_panic::catch_panic;
use crate::clock::Instant;
use crate::close_control::CloseControl;
use crate::http::{is_hop_by_hop_header, Header};
use crate::intake::{self, ClientRequest, RequestOutcome};
use crate::local_responses::LocalResponse;
use crate::node::{Node, RequestReservation};
use crate::open_connections::OpenConnection;
use crate::unframed_head::encode_unframed_head;
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadDecoder, PayloadItem, PayloadType};
use ntex::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ntex::http::{ConnectionType, HttpServiceConfig, Request, Response, StatusCode, Version};
use ntex::io::{Io, IoConfig, IoStatusUpdate};
use ntex::util::{Bytes, Either};
use ntex::SharedCfg;
use pitchstall_platform_adapter::headers::KEY_CHALLENGE;
use pitchstall_serving::configuration::ClientLimits;
use pitchstall_serving::connection_table::Activity;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Size of the read buffer. Further bytes of the client stay in the socket. One read beyond it may follow, so that a
/// connection reads ahead up to twice this size.
const READ_BUFFER_BYTES: usize = 8 * 1024;
const READ_BUFFER_LOW_WATERMARK_BYTES: usize = 2 * 1024;
const BUFFER_CACHE_SIZE: usize = 16;
/// Added to the configured idle timeout, so that a client that relies on the configured value never
/// meets a closed connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// Maximum time for flushing written bytes to the client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The client has disconnected, so no response can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnected;

/// A client connection with the codec of its requests and responses.
pub struct ClientConnection {
    io: Io,
    codec: Codec,
    node: Rc<Node>,
    open: OpenConnection,
    /// `None` once a request of HTTP/1.1 has been read: the end of its response is marked by its framing.
    close_control: RefCell<Option<CloseControl>>,
    /// Whether the client of the current request speaks HTTP/1.0, which knows no chunks.
    is_http10: Cell<bool>,
    /// Whether a byte of the current request's final response has been encoded.
    is_response_begun: Cell<bool>,
}

/// What to do with the connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    KeepOpen,
    Close,
}

/// Why a request could not be read.
enum RequestReadError {
    /// The client has disconnected or was idle too long; no response is written.
    ConnectionEnded,
    /// The request is invalid: this response is written and the connection is closed.
    Respond(LocalResponse),
}

/// The I/O and HTTP configuration of client connections. Calls with the same limit on the head's size return the same
/// configuration.
pub fn client_config(limits: &ClientLimits) -> SharedCfg {
    CLIENT_CONFIG.with(|cached| {
        let mut cached = cached.borrow_mut();
        match cached.as_ref() {
            Some((known, config)) if *known == limits.max_header_bytes => config.clone(),
            _ => cached.insert((limits.max_header_bytes, new_client_config(limits))).1.clone(),
        }
    })
}

thread_local! {
    /// The last configuration and the head size in bytes that it allows. It is cached because ntex gives
    /// each configuration its own id and never frees the buffers that it keeps for an id.
    static CLIENT_CONFIG: RefCell<Option<(usize, SharedCfg)>> = const { RefCell::new(None) };
}

fn new_client_config(limits: &ClientLimits) -> SharedCfg {
    let io = IoConfig::new().set_read_buf(
        READ_BUFFER_BYTES,
        READ_BUFFER_LOW_WATERMARK_BYTES,
        BUFFER_CACHE_SIZE,
    );
    let http = HttpServiceConfig::new().set_max_buf_size(limits.max_header_bytes);
    SharedCfg::new("client").add(io).add(http).into()
}

/// Serves a connection until it ends. `open` counts the connection as open. It is created before the task
/// starts, so that a planned stop waits for this connection too. Without `close_control` no stream is served to a client
/// that speaks HTTP/1.0.
pub async fn serve(
    io: Io,
    close_control: Option<CloseControl>,
    config: SharedCfg,
    node: Rc<Node>,
    open: OpenConnection,
) {
    let codec = Codec::new(0, config.get());
    let connection = ClientConnection {
        io,
        codec,
        node,
        open,
        close_control: RefCell::new(close_control),
        is_http10: Cell::new(false),
        is_response_begun: Cell::new(false),
    };
    while connection.serve_request().await == AfterRequest::KeepOpen {}
}

impl ClientConnection {
    async fn serve_request(&self) -> AfterRequest {
        self.is_response_begun.set(false);
        // A request of which only a part was read has not run. The response doesn't promise that.
        let panicked = || Err(RequestReadError::Respond(LocalResponse::BadGateway));
        let read = self.or_on_panic("", self.read_request()).await;
        let request = match read.unwrap_or_else(panicked) {
            Ok(request) => request,
            Err(RequestReadError::ConnectionEnded) => return self.close(),
            Err(RequestReadError::Respond(response)) => {
                self.node.metrics.on_request(response.name());
                log::info!(target: "request", outcome = response.name(); "unreadable");
                let _ = self.write_local(response, true).await;
                return self.close();
            }
        };
        self.open.set_activity(Activity::Handling);
        let open = self.node.open_requests.open();
        let id = request.metadata.id.as_str();
        let handled = async {
            tokio::select! {
                outcome = intake::handle(&self.node, &request, self) => outcome,
                error = self.disconnected() => intake::on_disconnected(&self.node, &request, error),
            }
        };
        let outcome = self.or_on_panic(id, handled).await;
        let outcome = outcome.unwrap_or_else(|| self.outcome_after_panic(&request));
        drop(open);
        match self.or_on_panic(id, self.finish(outcome, &request)).await {
            Some(AfterRequest::KeepOpen) => AfterRequest::KeepOpen,
            Some(AfterRequest::Close) => self.close(),
            None => {
                // The response may be incomplete.
                self.io.terminate();
                AfterRequest::Close
            }
        }
    }

    /// Awaits a part of the work on a request. `None` after a panic, which is counted and logged with the request's id;
    /// `request` is empty while the id is not known.
    async fn or_on_panic<T>(&self, request: &str, work: impl Future<Output = T>) -> Option<T> {
        match catch_panic(work).await {
            Ok(value) => Some(value),
            Err(panic) => {
                self.node.metrics.request_panics.inc();
                let error = panic.message;
                log::error!(target: "request", request, error; "panicked");
                None
            }
        }
    }

    /// The outcome of a request whose handling has panicked. It may have run.
    fn outcome_after_panic(&self, request: &ClientRequest) -> RequestOutcome {
        let outcome = match self.is_response_begun.get() {
            true => RequestOutcome::Truncated,
            false => RequestOutcome::Local(LocalResponse::BadGateway),
        };
        intake::on_panicked(&self.node, request, outcome)
    }

    /// Writes the response unless it was streamed. Returns whether the connection stays open.
    async fn finish(&self, outcome: RequestOutcome, request: &ClientRequest) -> AfterRequest {
        let close = self.must_close();
        let written = match outcome {
            RequestOutcome::Buffered(response) => {
                self.write_buffered(response.status, &response.headers, response.body, close).await
            }
            RequestOutcome::Local(response) => self.write_local(response, close).await,
            RequestOutcome::Streamed => Ok(()),
            RequestOutcome::Truncated => {
                // The complete events that were already forwarded are flushed; nothing else is written.
                let _ = self.flush(true).await;
                self.io.terminate();
                Err(ClientDisconnected)
            }
            RequestOutcome::ClientDisconnected => {
                self.io.terminate();
                Err(ClientDisconnected)
            }
        };
        let waited_us =
            u64::try_from(request.received_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        log::debug!(target: "request", request = request.metadata.id.as_str(), waited_us; "closed");
        match written {
            Ok(()) if !close && self.codec.keepalive() => {
                self.open.set_activity(Activity::Receiving);
                AfterRequest::KeepOpen
            }
            _ => AfterRequest::Close,
        }
    }

    fn close(&self) -> AfterRequest {
        self.io.close();
        AfterRequest::Close
    }

    fn must_close(&self) -> bool {
        self.node.is_stopping() || !self.codec.keepalive() || !self.can_serve_streams()
    }

    fn limits(&self) -> ClientLimits {
        self.node.configuration().map(|it| it.limits).unwrap_or_default()
    }

    /// Completes when the client has disconnected. A client that has shut down only its sending side counts as
    /// disconnected too. Returns the error of the connection; `None` if the client closed it in an orderly way.
    ///
    /// Nothing is read on behalf of this: the connection itself reads ahead until its buffer is full. The end of a client that
    /// has sent more than that ahead is noticed when the buffer has room again.
    async fn disconnected(&self) -> Option<std::io::Error> {
        poll_fn(|context| match self.io.poll_status_update(context) {
            Poll::Ready(IoStatusUpdate::PeerGone(error)) => Poll::Ready(error),
            _ => Poll::Pending,
        })
        .await
    }

    async fn read_request(&self) -> Result<ClientRequest, RequestReadError> {
        self.wait_for_request().await?;
        let limits = self.limits();
        let received = Instant::now();
        let (head, payload) = self.read_head(&limits).await?;
        self.on_version(head.version());
        let (body, reservation) = self.read_body(&head, payload, &limits).await?;
        if self.open.is_closed_for_room() {
            return Err(RequestReadError::ConnectionEnded);
        }
        let request = ClientRequest::new(&head, body, received, reservation);
        request.ok_or(RequestReadError::Respond(LocalResponse::BadRequest))
    }

    /// Waits for the first byte of a request. Fails on a planned stop, on the idle timeout, or if the client closes
    /// the connection.
    async fn wait_for_request(&self) -> Result<(), RequestReadError> {
        let has_bytes = || self.io.with_read_buf(|buffer| !buffer.is_empty());
        if has_bytes() {
            return Ok(());
        }
        if self.node.is_closing() {
            return Err(RequestReadError::ConnectionEnded);
        }
        let idle = Duration::from_millis(self.limits().idle_timeout_ms) + IDLE_TIMEOUT_MARGIN;
        tokio::select! {
            biased;
            ready = self.io.read_ready() => match ready {
                Ok(Some(())) => Ok(()),
                Ok(None) | Err(_) if has_bytes() => Ok(()),
                Ok(None) | Err(_) => Err(RequestReadError::ConnectionEnded),
            },
            () = self.node.closing_started.notified() => Err(RequestReadError::ConnectionEnded),
            () = sleep(idle) => Err(RequestReadError::ConnectionEnded),
        }
    }

    /// Adopts the version that the current request is written in. The second descriptor of the socket is released as soon as
    /// the client turns out to speak HTTP/1.1.
    fn on_version(&self, version: Version) {
        let is_http10 = version < Version::HTTP_11;
        self.is_http10.set(is_http10);
        if !is_http10 {
            self.close_control.take();
        }
    }

    /// Whether the client of the current request would see that a stream to it is truncated. False for a request of HTTP/1.0
    /// that follows one of HTTP/1.1 on the same connection.
    pub fn can_serve_streams(&self) -> bool {
        !self.is_http10.get() || self.close_control.borrow().is_some()
    }

    async fn read_head(
        &self,
        limits: &ClientLimits,
    ) -> Result<(Request, PayloadType), RequestReadError> {
        let limit = Duration::from_millis(limits.header_timeout_ms);
        match timeout(limit, self.io.recv(&self.codec)).await {
            Ok(Ok(Some(item))) => Ok(item),
            Ok(Ok(None)) | Ok(Err(Either::Right(_))) => Err(RequestReadError::ConnectionEnded),
            Ok(Err(Either::Left(DecodeError::TooLarge(_) | DecodeError::MaxHeaders))) => {
                Err(RequestReadError::Respond(LocalResponse::HeadTooLarge))
            }
            Ok(Err(Either::Left(_))) => Err(RequestReadError::Respond(LocalResponse::BadRequest)),
            Err(_) => Err(RequestReadError::Respond(LocalResponse::RequestTimeout)),
        }
    }

    /// Reads the body and reserves memory for the request.
    async fn read_body(
        &self,
        head: &Request,
        payload: PayloadType,
        limits: &ClientLimits,
    ) -> Result<(Vec<u8>, RequestReservation), RequestReadError> {
        let head_bytes = head_bytes(head);
        let decoder = match payload {
            PayloadType::None => return Ok((Vec::new(), self.reserve(head_bytes, 0)?)),
            PayloadType::Payload(decoder) => decoder,
            // The request asks for a protocol upgrade, which no route supports.
            PayloadType::Stream(_) => {
                return Err(RequestReadError::Respond(LocalResponse::BadRequest))
            }
        };
        if head.head().expect() {
            const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.io.encode_slice(CONTINUE).map_err(|_| RequestReadError::ConnectionEnded)?;
        }
        let limit = Duration::from_millis(limits.idle_timeout_ms);
        timeout(limit, self.collect_body(&decoder, head_bytes, limits.max_body_bytes))
            .await
            .map_err(|_| RequestReadError::Respond(LocalResponse::RequestTimeout))?
    }

    async fn collect_body(
        &self,
        decoder: &PayloadDecoder,
        head_bytes: usize,
        max_bytes: usize,
    ) -> Result<(Vec<u8>, RequestReservation), RequestReadError> {
        let mut body = Vec::new();
        let mut reservation = self.reserve(head_bytes, 0)?;
        loop {
            let bytes = match self.io.recv(decoder).await {
                Ok(Some(PayloadItem::Chunk(bytes))) => bytes,
                Ok(Some(PayloadItem::Eof)) => return Ok((body, reservation)),
                Ok(None) | Err(Either::Right(_)) => return Err(RequestReadError::ConnectionEnded),
                Err(Either::Left(_)) => {
                    return Err(RequestReadError::Respond(LocalResponse::BadRequest))
                }
            };
            if body.len() + bytes.len() > max_bytes {
                return Err(RequestReadError::Respond(LocalResponse::BodyTooLarge));
            }
            body.extend_from_slice(&bytes);
            drop(reservation);
            reservation = self.reserve(head_bytes, body.len())?;
        }
    }

    /// Reserves memory for a request that has not been handled yet, or refuses it.
    fn reserve(
        &self,
        head_bytes: usize,
        body_bytes: usize,
    ) -> Result<RequestReservation, RequestReadError> {
        let reservation = self.node.reserve_request(head_bytes, body_bytes);
        reservation.ok_or(RequestReadError::Respond(LocalResponse::Refused))
    }

    async fn write_local(
        &self,
        response: LocalResponse,
        close: bool,
    ) -> Result<(), ClientDisconnected> {
        let mut headers = Vec::new();
        if response == LocalResponse::Unauthorized {
            let (name, value) = KEY_CHALLENGE;
            headers.push((name.to_owned(), value.as_bytes().to_vec()));
        }
        if let Some(seconds) = response.retry_after_s() {
            headers.push((RETRY_AFTER.as_str().to_owned(), seconds.to_string().into_bytes()));
        }
        self.write_buffered(response.status().as_u16(), &headers, Vec::new(), close).await
    }

    async fn write_buffered(
        &self,
        status: u16,
        headers: &[Header],
        body: Vec<u8>,
        close: bool,
    ) -> Result<(), ClientDisconnected> {
        let size = match body.len() {
            0 => BodySize::Empty,
            length => BodySize::Sized(length as u64),
        };
        self.encode(Message::Item((response_head(status, headers, close), size)))?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::from(body))))?;
        }
        self.encode(Message::Chunk(None))?;
        self.flush(true).await
    }

    /// Starts a response of unknown length. It is delimited by chunks, or by the end of the connection if the client speaks
    /// HTTP/1.0. In the second case any end before [`Self::end_stream`] resets the connection.
    pub fn begin_stream(&self, status: u16, headers: &[Header]) -> Result<(), ClientDisconnected> {
        let response = response_head(status, headers, self.must_close());
        if self.is_http10.get() {
            return self.begin_unframed_stream(response);
        }
        self.encode(Message::Item((response, BodySize::Stream)))
    }

    fn begin_unframed_stream(&self, response: Response<()>) -> Result<(), ClientDisconnected> {
        self.set_close(CloseControl::reset_on_close)?;
        let head = encode_unframed_head(&self.codec, response).map_err(|_| ClientDisconnected)?;
        if self.io.is_closed() {
            return Err(ClientDisconnected);
        }
        self.is_response_begun.set(true);
        self.io.encode_slice(&head).map_err(|_| ClientDisconnected)
    }

    /// Sets how the connection of a client that speaks HTTP/1.0 is closed.
    fn set_close(
        &self,
        set: fn(&CloseControl) -> std::io::Result<()>,
    ) -> Result<(), ClientDisconnected> {
        let control = self.close_control.borrow();
        let control = control.as_ref().ok_or(ClientDisconnected)?;
        set(control).map_err(|error| {
            let error = error.to_string();
            log::warn!(target: "connection", error; "the way in which a connection is closed was not set");
            ClientDisconnected
        })
    }

    /// Writes and flushes part of the body of a started response.
    pub async fn write_chunk(&self, bytes: Vec<u8>) -> Result<(), ClientDisconnected> {
        self.encode(Message::Chunk(Some(Bytes::from(bytes))))?;
        self.flush(false).await
    }

    /// Marks a started response as complete.
    pub async fn end_stream(&self) -> Result<(), ClientDisconnected> {
        self.encode(Message::Chunk(None))?;
        self.flush(true).await?;
        match self.is_http10.get() {
            true => self.set_close(CloseControl::close_in_order),
            false => Ok(()),
        }
    }

    fn encode(&self, message: Message<(Response<()>, BodySize)>) -> Result<(), ClientDisconnected> {
        if self.io.is_closed() {
            return Err(ClientDisconnected);
        }
        self.is_response_begun.set(true);
        self.io.encode(message, &self.codec).map_err(|_| ClientDisconnected)
    }

    async fn flush(&self, full: bool) -> Result<(), ClientDisconnected> {
        self.open.set_activity(Activity::Sending);
        let flushed = timeout(WRITE_TIMEOUT, self.io.flush(full)).await;
        self.open.set_activity(Activity::Handling);
        match flushed {
            Ok(Ok(())) => Ok(()),
            _ => Err(ClientDisconnected),
        }
    }
}

/// Number of bytes of a request's target and headers.
fn head_bytes(head: &Request) -> usize {
    let headers = head.headers().iter();
    let header_bytes = headers.map(|(name, value)| name.as_str().len() + value.as_bytes().len());
    let target_bytes = head.uri().path_and_query().map_or(0, |target| target.as_str().len());
    target_bytes + header_bytes.sum::<usize>()
}

fn response_head(status: u16, headers: &[Header], close: bool) -> Response<()> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, ());
    for (name, value) in headers {
        if is_hop_by_hop_header(name, &[]) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    if close {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}
