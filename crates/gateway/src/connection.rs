//! One client's connection: reads requests, writes answers.
//!
//! An answer that fails half-way is cut without another byte, so that it cannot look
//! complete. A connection is closed between requests only while nothing of the next one has
//! been read.

use crate::answers::OwnAnswer;
use crate::clock::Instant;
use crate::http::{is_connection_header, Header};
use crate::intake::{self, ClientRequest, RequestEnd};
use crate::node::{BodyReservation, Node, OpenConnection};
use ntex::http::body::BodySize;
use ntex::http::error::DecodeError;
use ntex::http::h1::{Codec, Message, PayloadDecoder, PayloadItem, PayloadType};
use ntex::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ntex::http::{ConnectionType, HttpServiceConfig, Request, Response, StatusCode};
use ntex::io::{Io, IoConfig};
use ntex::util::{Bytes, Either};
use ntex::SharedCfg;
use pitchstall_platform_adapter::headers::KEY_CHALLENGE;
use pitchstall_serving::configuration::ClientLimits;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Bytes that a client may send ahead before they are left in the socket.
const READ_BUFFER_BYTES: usize = 64 * 1024;
const READ_BUFFER_LOW_BYTES: usize = 4 * 1024;
const BUFFER_CACHE: usize = 16;
/// Added to the idle limit that clients are told, so that they always find it kept.
const IDLE_MARGIN: Duration = Duration::from_millis(250);
/// Time for a client to take an answer that is written.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// The client has gone; there is nobody to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientGone;

/// The writing side of a client's connection.
pub struct ClientConnection {
    io: Io,
    codec: Codec,
    node: Rc<Node>,
}

/// What to do with the connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    KeepOpen,
    Close,
}

/// Why a request could not be read.
enum ReadError {
    /// The client has gone or rested too long: nothing to answer.
    Nothing,
    /// Answer so and close.
    Answer(OwnAnswer),
}

/// Shared configuration of a client's connection.
pub fn client_config(limits: &ClientLimits) -> SharedCfg {
    CLIENT_CONFIG.with(|kept| {
        let mut kept = kept.borrow_mut();
        match kept.as_ref() {
            Some((known, config)) if *known == limits.max_header_bytes => config.clone(),
            _ => kept.insert((limits.max_header_bytes, new_client_config(limits))).1.clone(),
        }
    })
}

thread_local! {
    /// The last configuration, and the bytes of a head that it allows: each has a number of its
    /// own, and the buffers kept under it are never let go.
    static CLIENT_CONFIG: RefCell<Option<(usize, SharedCfg)>> = const { RefCell::new(None) };
}

fn new_client_config(limits: &ClientLimits) -> SharedCfg {
    let io = IoConfig::new().set_read_buf(READ_BUFFER_BYTES, READ_BUFFER_LOW_BYTES, BUFFER_CACHE);
    let http = HttpServiceConfig::new().set_max_buf_size(limits.max_header_bytes);
    SharedCfg::new("client").add(io).add(http).into()
}

/// Serves a connection until it ends. It counts as open from before its task begins, so that
/// a planned stop does not overlook it.
pub async fn serve(io: Io, config: SharedCfg, node: Rc<Node>, _open: OpenConnection) {
    let codec = Codec::new(0, config.get());
    let connection = ClientConnection { io, codec, node };
    while connection.serve_one().await == Next::KeepOpen {}
}

impl ClientConnection {
    async fn serve_one(&self) -> Next {
        let request = match self.read_request().await {
            Ok(request) => request,
            Err(ReadError::Nothing) => return self.close(),
            Err(ReadError::Answer(answer)) => {
                self.node.metrics.on_request(answer.name());
                log::info!(target: "request", outcome = answer.name(); "unreadable");
                let _ = self.write_own(answer, true).await;
                return self.close();
            }
        };
        let open = self.node.open_request();
        let end = tokio::select! {
            end = intake::answer(&self.node, &request, self) => end,
            () = self.gone() => RequestEnd::ClientGone,
        };
        drop(open);
        let next = self.finish(end, &request).await;
        if next == Next::Close {
            return self.close();
        }
        next
    }

    /// Writes the answer, if it is not written yet.
    async fn finish(&self, end: RequestEnd, request: &ClientRequest) -> Next {
        let close = self.must_close();
        let written = match end {
            RequestEnd::Whole(answer) => {
                self.write_whole(answer.status, &answer.headers, answer.body, close).await
            }
            RequestEnd::Own(answer) => self.write_own(answer, close).await,
            RequestEnd::Streamed => Ok(()),
            RequestEnd::Cut => {
                // The whole events that were forwarded leave first; then nothing more.
                let _ = self.flush(true).await;
                self.io.terminate();
                Err(ClientGone)
            }
            RequestEnd::ClientGone => {
                self.io.terminate();
                Err(ClientGone)
            }
        };
        let waited_us = u64::try_from(request.received.elapsed().as_micros()).unwrap_or(u64::MAX);
        log::debug!(target: "request", request = request.facts.id.as_str(), waited_us; "closed");
        match written {
            Ok(()) if !close && self.codec.keepalive() => Next::KeepOpen,
            _ => Next::Close,
        }
    }

    fn close(&self) -> Next {
        self.io.close();
        Next::Close
    }

    fn must_close(&self) -> bool {
        self.node.is_stopping() || !self.codec.keepalive()
    }

    fn limits(&self) -> ClientLimits {
        self.node.configuration().map(|it| it.limits).unwrap_or_default()
    }

    /// Ends when the client has gone.
    async fn gone(&self) {
        while let Ok(Some(())) = self.io.read_notify().await {}
    }

    async fn read_request(&self) -> Result<ClientRequest, ReadError> {
        self.wait_for_request().await?;
        let limits = self.limits();
        let received = Instant::now();
        let (head, payload) = self.read_head(&limits).await?;
        let (body, reservation) = self.read_body(&head, payload, &limits).await?;
        let request = ClientRequest::new(&head, body, received, reservation);
        request.ok_or(ReadError::Answer(OwnAnswer::BadRequest))
    }

    /// Waits for the first byte of a request. A planned stop ends the wait.
    async fn wait_for_request(&self) -> Result<(), ReadError> {
        let has_bytes = || self.io.with_read_buf(|buffer| !buffer.is_empty());
        if has_bytes() {
            return Ok(());
        }
        if self.node.is_closing() {
            return Err(ReadError::Nothing);
        }
        let idle = Duration::from_millis(self.limits().idle_timeout_ms) + IDLE_MARGIN;
        tokio::select! {
            biased;
            ready = self.io.read_ready() => match ready {
                Ok(Some(())) => Ok(()),
                Ok(None) | Err(_) if has_bytes() => Ok(()),
                Ok(None) | Err(_) => Err(ReadError::Nothing),
            },
            () = self.node.closing_started.notified() => Err(ReadError::Nothing),
            () = sleep(idle) => Err(ReadError::Nothing),
        }
    }

    async fn read_head(&self, limits: &ClientLimits) -> Result<(Request, PayloadType), ReadError> {
        let limit = Duration::from_millis(limits.header_timeout_ms);
        match timeout(limit, self.io.recv(&self.codec)).await {
            Ok(Ok(Some(item))) => Ok(item),
            Ok(Ok(None)) | Ok(Err(Either::Right(_))) => Err(ReadError::Nothing),
            Ok(Err(Either::Left(DecodeError::TooLarge(_) | DecodeError::MaxHeaders))) => {
                Err(ReadError::Answer(OwnAnswer::HeadTooLarge))
            }
            Ok(Err(Either::Left(_))) => Err(ReadError::Answer(OwnAnswer::BadRequest)),
            Err(_) => Err(ReadError::Answer(OwnAnswer::TooSlow)),
        }
    }

    async fn read_body(
        &self,
        head: &Request,
        payload: PayloadType,
        limits: &ClientLimits,
    ) -> Result<(Vec<u8>, Option<BodyReservation>), ReadError> {
        let decoder = match payload {
            PayloadType::None => return Ok((Vec::new(), None)),
            PayloadType::Payload(decoder) => decoder,
            // An upgrade is asked for, which no route offers.
            PayloadType::Stream(_) => return Err(ReadError::Answer(OwnAnswer::BadRequest)),
        };
        if head.head().expect() {
            const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.io.encode_slice(CONTINUE).map_err(|_| ReadError::Nothing)?;
        }
        let limit = Duration::from_millis(limits.idle_timeout_ms);
        timeout(limit, self.collect_body(&decoder, limits.max_body_bytes))
            .await
            .map_err(|_| ReadError::Answer(OwnAnswer::TooSlow))?
    }

    async fn collect_body(
        &self,
        decoder: &PayloadDecoder,
        most: usize,
    ) -> Result<(Vec<u8>, Option<BodyReservation>), ReadError> {
        let mut body = Vec::new();
        let mut reservation = None;
        loop {
            let bytes = match self.io.recv(decoder).await {
                Ok(Some(PayloadItem::Chunk(bytes))) => bytes,
                Ok(Some(PayloadItem::Eof)) => return Ok((body, reservation)),
                Ok(None) | Err(Either::Right(_)) => return Err(ReadError::Nothing),
                Err(Either::Left(_)) => return Err(ReadError::Answer(OwnAnswer::BadRequest)),
            };
            if body.len() + bytes.len() > most {
                return Err(ReadError::Answer(OwnAnswer::BodyTooLarge));
            }
            body.extend_from_slice(&bytes);
            drop(reservation.take());
            let reserved = self.node.reserve_body(body.len());
            reservation = Some(reserved.ok_or(ReadError::Answer(OwnAnswer::Refused))?);
        }
    }

    async fn write_own(&self, answer: OwnAnswer, close: bool) -> Result<(), ClientGone> {
        let mut headers = Vec::new();
        if answer == OwnAnswer::Unauthorized {
            let (name, value) = KEY_CHALLENGE;
            headers.push((name.to_owned(), value.as_bytes().to_vec()));
        }
        if let Some(seconds) = answer.retry_after_s() {
            headers.push((RETRY_AFTER.as_str().to_owned(), seconds.to_string().into_bytes()));
        }
        self.write_whole(answer.status().as_u16(), &headers, Vec::new(), close).await
    }

    async fn write_whole(
        &self,
        status: u16,
        headers: &[Header],
        body: Vec<u8>,
        close: bool,
    ) -> Result<(), ClientGone> {
        let size = match body.len() {
            0 => BodySize::Empty,
            length => BodySize::Sized(length as u64),
        };
        self.encode(Message::Item((response(status, headers, close), size)))?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(Bytes::from(body))))?;
        }
        self.encode(Message::Chunk(None))?;
        self.flush(true).await
    }

    /// Begins an answer of unknown length.
    pub fn begin_stream(&self, status: u16, headers: &[Header]) -> Result<(), ClientGone> {
        let response = response(status, headers, self.must_close());
        self.encode(Message::Item((response, BodySize::Stream)))
    }

    /// Writes a piece of a begun answer.
    pub async fn write_chunk(&self, bytes: Vec<u8>) -> Result<(), ClientGone> {
        self.encode(Message::Chunk(Some(Bytes::from(bytes))))?;
        self.flush(false).await
    }

    /// Ends a begun answer as complete.
    pub async fn end_stream(&self) -> Result<(), ClientGone> {
        self.encode(Message::Chunk(None))?;
        self.flush(true).await
    }

    fn encode(&self, message: Message<(Response<()>, BodySize)>) -> Result<(), ClientGone> {
        if self.io.is_closed() {
            return Err(ClientGone);
        }
        self.io.encode(message, &self.codec).map_err(|_| ClientGone)
    }

    async fn flush(&self, full: bool) -> Result<(), ClientGone> {
        match timeout(WRITE_LIMIT, self.io.flush(full)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ClientGone),
        }
    }
}

fn response(status: u16, headers: &[Header], close: bool) -> Response<()> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, ());
    for (name, value) in headers {
        if is_connection_header(name, &[]) {
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
