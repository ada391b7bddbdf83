//! Decoding of HTTP/1.1 responses.
//!
//! The end of a response is given by its length, by its chunks, or by the end of the connection. In the
//! last case, whoever reads the body must distinguish an orderly close from a reset.

use super::Header;
use ntex::codec::Decoder;
use ntex::util::{Bytes, BytesMut};
use std::cell::Cell;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The statuses of HTTP, by their classes. What another one means is unknown, so it is neither an interim response nor a final
/// one.
const KNOWN_STATUSES: RangeInclusive<u16> = 100..=599;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Maximum size of a response's head together with the interim heads before it, and of a body's trailers.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a chunk size line, the end of a chunk or a trailer line.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Maximum idle timeout that a response can state; a longer one is cut to it. Programs that never close idle
/// connections state numbers of up to 64 bits, with which no time can be computed.
pub const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60 * 60);

/// The received bytes are not a valid HTTP/1.1 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseDecodeError {
    /// The head cannot be parsed.
    #[error("response head is malformed")]
    InvalidHead,
    /// The status is none that HTTP knows.
    #[error("response status is unknown")]
    InvalidStatus,
    /// The head with its interim heads, or the trailers of the body, exceed their maximum size.
    #[error("response head is too large")]
    HeadTooLarge,
    /// The length is given more than once or in two ways, is not a number, or exceeds the accepted maximum.
    #[error("response length is invalid, ambiguous or over the limit")]
    InvalidLength,
    /// A chunk cannot be parsed.
    #[error("response chunk is malformed")]
    InvalidChunk,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body is sent in chunks; an empty chunk ends it.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status code, 200 to 599: interim responses are skipped.
    pub status: u16,
    /// Headers in the order received, with names in lower case.
    pub headers: Vec<Header>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be reused after the body.
    pub keep_alive: bool,
    /// Whether the head says that the connection ends with the response, by its `connection` header or its HTTP version.
    pub announces_end: bool,
    /// How long the server keeps an idle connection open, from `keep-alive: timeout=`; at most [`MAX_IDLE_TIMEOUT`].
    /// `None` if it is not stated or not a number of seconds.
    pub idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// Iterates over the headers as names and values.
    pub fn header_pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Whether a header gives the length of the body or says that it is sent in chunks.
    pub fn has_framing_header(&self) -> bool {
        self.headers
            .iter()
            .any(|(name, _)| matches!(name.as_str(), "content-length" | "transfer-encoding"))
    }

    fn header_text(&self, wanted: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(name, _)| name == wanted)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// Decodes one response head. Interim responses (1xx) before it are skipped.
#[derive(Debug, Default)]
pub struct ResponseHeadDecoder {
    /// Number of bytes of the interim heads that were skipped.
    skipped_bytes: Cell<usize>,
    /// Number of bytes that the last attempt to parse an incomplete head had.
    parsed_bytes: Cell<usize>,
}

impl ResponseHeadDecoder {
    /// Whether an incomplete head is parsed again: it has another line, or twice the length. Parsing it with each piece would
    /// cost the square of its length.
    fn is_worth_parsing(&self, source: &[u8]) -> bool {
        let parsed_bytes = self.parsed_bytes.get().min(source.len());
        source.len() >= parsed_bytes * 2 || source[parsed_bytes..].contains(&b'\n')
    }
}

impl Decoder for ResponseHeadDecoder {
    type Item = ResponseHead;
    type Error = ResponseDecodeError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<ResponseHead>, ResponseDecodeError> {
        loop {
            let is_worth_parsing = self.is_worth_parsing(source);
            let parsed = if is_worth_parsing { parse_head(source)? } else { None };
            let length = parsed.as_ref().map_or(source.len(), |(length, _)| *length);
            if self.skipped_bytes.get() + length > MAX_HEAD_BYTES {
                return Err(ResponseDecodeError::HeadTooLarge);
            }
            let Some((length, head)) = parsed else {
                if is_worth_parsing {
                    self.parsed_bytes.set(source.len());
                }
                return Ok(None);
            };
            source.advance_to(length);
            if head.status >= 200 {
                return Ok(Some(head));
            }
            self.skipped_bytes.set(self.skipped_bytes.get() + length);
            self.parsed_bytes.set(0);
        }
    }
}

fn parse_head(source: &[u8]) -> Result<Option<(usize, ResponseHead)>, ResponseDecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(source).map_err(|_| ResponseDecodeError::InvalidHead)?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let status = response.code.ok_or(ResponseDecodeError::InvalidHead)?;
    if !KNOWN_STATUSES.contains(&status) {
        return Err(ResponseDecodeError::InvalidStatus);
    }
    let to_owned_header =
        |header: &httparse::Header<'_>| (header.name.to_ascii_lowercase(), header.value.to_vec());
    let mut head = ResponseHead {
        status,
        headers: response.headers.iter().map(to_owned_header).collect(),
        framing: Framing::UntilClose,
        keep_alive: response.version == Some(1),
        announces_end: false,
        idle_timeout: None,
    };
    head.framing = framing_of(&head)?;
    read_connection_headers(&mut head);
    Ok(Some((length, head)))
}

fn framing_of(head: &ResponseHead) -> Result<Framing, ResponseDecodeError> {
    if matches!(head.status, 100..=199 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let lengths: Vec<&Header> =
        head.headers.iter().filter(|(name, _)| name == "content-length").collect();
    let coding = head.header_text("transfer-encoding");
    match (coding, lengths.as_slice()) {
        (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, []) => Ok(Framing::UntilClose),
        (None, [(_, value)]) => {
            let text =
                std::str::from_utf8(value).map_err(|_| ResponseDecodeError::InvalidLength)?.trim();
            let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !is_decimal {
                return Err(ResponseDecodeError::InvalidLength);
            }
            text.parse().map(Framing::Length).map_err(|_| ResponseDecodeError::InvalidLength)
        }
        _ => Err(ResponseDecodeError::InvalidLength),
    }
}

fn read_connection_headers(head: &mut ResponseHead) {
    if let Some(connection) = head.header_text("connection") {
        let has_option = |wanted: &str| {
            connection.split(',').any(|option| option.trim().eq_ignore_ascii_case(wanted))
        };
        head.keep_alive = !has_option("close") && (head.keep_alive || has_option("keep-alive"));
    }
    head.announces_end = !head.keep_alive;
    head.keep_alive &= head.framing != Framing::UntilClose;
    let seconds = head.header_text("keep-alive").and_then(|text| {
        let parameter =
            text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="));
        parameter.and_then(|seconds| seconds.trim().parse::<u64>().ok())
    });
    head.idle_timeout = seconds.map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT));
}

/// An item that [`BodyDecoder`] yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyItem {
    /// Part of the body; never empty.
    Chunk(Bytes),
    /// The body has ended according to its framing.
    End,
}

#[derive(Clone, Copy, Debug)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    /// The trailers have had this number of bytes.
    Trailer(usize),
    Done,
}

#[derive(Clone, Copy, Debug)]
enum BodyState {
    Length(u64),
    Chunked(ChunkState),
    UntilClose,
}

/// Decodes the body of one response.
#[derive(Debug)]
pub struct BodyDecoder {
    state: Cell<BodyState>,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::Chunked(ChunkState::Size),
            Framing::UntilClose => BodyState::UntilClose,
        };
        Self { state: Cell::new(state) }
    }

    /// Whether the body ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state.get(), BodyState::UntilClose)
    }
}

impl Decoder for BodyDecoder {
    type Item = BodyItem;
    type Error = ResponseDecodeError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<BodyItem>, ResponseDecodeError> {
        match self.state.get() {
            BodyState::Length(0) => Ok(Some(BodyItem::End)),
            BodyState::Length(remaining) => {
                let bytes = take_up_to(source, remaining);
                self.state.set(BodyState::Length(remaining - bytes.len() as u64));
                Ok(non_empty_chunk(bytes))
            }
            BodyState::UntilClose => Ok(non_empty_chunk(source.split_to(source.len()))),
            BodyState::Chunked(state) => {
                let (state, item) = decode_chunked(state, source)?;
                self.state.set(BodyState::Chunked(state));
                Ok(item)
            }
        }
    }
}

fn take_up_to(source: &mut BytesMut, max_bytes: u64) -> Bytes {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(source.len());
    source.split_to(length)
}

fn non_empty_chunk(bytes: Bytes) -> Option<BodyItem> {
    (!bytes.is_empty()).then_some(BodyItem::Chunk(bytes))
}

fn decode_chunked(
    mut state: ChunkState,
    source: &mut BytesMut,
) -> Result<(ChunkState, Option<BodyItem>), ResponseDecodeError> {
    loop {
        state = match state {
            ChunkState::Size => match parse_chunk_size(source)? {
                Some(0) => ChunkState::Trailer(0),
                Some(size) => ChunkState::Data(size),
                None => return Ok((state, None)),
            },
            ChunkState::Data(0) => ChunkState::DataEnd,
            ChunkState::Data(remaining) => {
                let bytes = take_up_to(source, remaining);
                let state = ChunkState::Data(remaining - bytes.len() as u64);
                return Ok((state, non_empty_chunk(bytes)));
            }
            ChunkState::DataEnd => match take_line(source)? {
                Some(0) => ChunkState::Size,
                Some(_) => return Err(ResponseDecodeError::InvalidChunk),
                None => return Ok((state, None)),
            },
            ChunkState::Trailer(length) if length > MAX_HEAD_BYTES => {
                return Err(ResponseDecodeError::HeadTooLarge)
            }
            ChunkState::Trailer(length) => match take_line(source)? {
                Some(0) => ChunkState::Done,
                Some(line) => ChunkState::Trailer(length + line + b"\r\n".len()),
                None => return Ok((state, None)),
            },
            ChunkState::Done => return Ok((state, Some(BodyItem::End))),
        };
    }
}

fn parse_chunk_size(source: &mut BytesMut) -> Result<Option<u64>, ResponseDecodeError> {
    match httparse::parse_chunk_size(source) {
        Ok(httparse::Status::Complete((length, size))) => {
            source.advance_to(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if source.len() > MAX_LINE_BYTES => {
            Err(ResponseDecodeError::InvalidChunk)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ResponseDecodeError::InvalidChunk),
    }
}

/// Consumes a line and returns its length without the line end; `None` if it has not arrived completely.
fn take_line(source: &mut BytesMut) -> Result<Option<usize>, ResponseDecodeError> {
    let Some(end) = source.iter().position(|byte| *byte == b'\n') else {
        let is_too_long = source.len() > MAX_LINE_BYTES;
        return if is_too_long { Err(ResponseDecodeError::InvalidChunk) } else { Ok(None) };
    };
    if end == 0 || source[end - 1] != b'\r' {
        return Err(ResponseDecodeError::InvalidChunk);
    }
    source.advance_to(end + 1);
    Ok(Some(end - 1))
}
