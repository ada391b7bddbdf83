//! Decoding of HTTP/1.1 answers.
//!
//! An answer's end is told by a length, by chunks, or by the end of the connection. Whoever
//! reads the body must tell an orderly end from a reset in the last case.

use super::Header;
use ntex::codec::Decoder;
use ntex::util::{Bytes, BytesMut};
use std::cell::Cell;
use std::time::Duration;

/// Most headers of an answer.
const MAX_HEADERS: usize = 64;
/// Most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most bytes of a line between chunks.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// What came is no answer in HTTP/1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseDecodeError {
    /// The head cannot be read.
    #[error("the head of the answer cannot be read")]
    InvalidHead,
    /// The head is too large.
    #[error("the head of the answer is too large")]
    HeadTooLarge,
    /// The length is told twice, or in two ways, or is no number.
    #[error("the length of the answer is not told clearly")]
    InvalidLength,
    /// A chunk cannot be read.
    #[error("a chunk of the answer cannot be read")]
    InvalidChunk,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// How the end of the body is told.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
    /// For how long the other side keeps an idle connection, if it says so.
    pub idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// Headers as text names and bytes.
    pub fn header_pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    fn header_text(&self, wanted: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(name, _)| name == wanted)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// Decodes heads, passing over interim answers (1xx).
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseHeadDecoder;

impl Decoder for ResponseHeadDecoder {
    type Item = ResponseHead;
    type Error = ResponseDecodeError;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<ResponseHead>, ResponseDecodeError> {
        loop {
            let Some((length, head)) = parse_head(source)? else {
                let is_too_large = source.len() > MAX_HEAD_BYTES;
                return if is_too_large {
                    Err(ResponseDecodeError::HeadTooLarge)
                } else {
                    Ok(None)
                };
            };
            source.advance_to(length);
            if head.status >= 200 {
                return Ok(Some(head));
            }
        }
    }
}

fn parse_head(source: &[u8]) -> Result<Option<(usize, ResponseHead)>, ResponseDecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(source).map_err(|_| ResponseDecodeError::InvalidHead)?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let status = response.code.ok_or(ResponseDecodeError::InvalidHead)?;
    let to_owned_header =
        |header: &httparse::Header<'_>| (header.name.to_ascii_lowercase(), header.value.to_vec());
    let mut head = ResponseHead {
        status,
        headers: response.headers.iter().map(to_owned_header).collect(),
        framing: Framing::UntilClose,
        keep_alive: response.version == Some(1),
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
            connection.split(',').any(|word| word.trim().eq_ignore_ascii_case(wanted))
        };
        head.keep_alive = !has_option("close") && (head.keep_alive || has_option("keep-alive"));
    }
    head.keep_alive &= head.framing != Framing::UntilClose;
    let seconds = head.header_text("keep-alive").and_then(|text| {
        let parameter = text.split(',').find_map(|word| word.trim().strip_prefix("timeout="));
        parameter.and_then(|seconds| seconds.trim().parse::<u64>().ok())
    });
    head.idle_timeout = seconds.map(Duration::from_secs);
}

/// A piece of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyItem {
    /// Some bytes.
    Chunk(Bytes),
    /// The body has ended as its framing tells.
    End,
}

#[derive(Clone, Copy, Debug)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

#[derive(Clone, Copy, Debug)]
enum BodyState {
    Length(u64),
    Chunked(ChunkState),
    UntilClose,
}

/// Decodes one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: Cell<BodyState>,
}

impl BodyDecoder {
    /// A decoder for a body that is framed so.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(length) => BodyState::Length(length),
            Framing::Chunked => BodyState::Chunked(ChunkState::Size),
            Framing::UntilClose => BodyState::UntilClose,
        };
        Self { state: Cell::new(state) }
    }

    /// Whether the end of the connection ends the body.
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
                Some(0) => ChunkState::Trailer,
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
            ChunkState::Trailer => match take_line(source)? {
                Some(0) => ChunkState::Done,
                Some(_) => ChunkState::Trailer,
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

/// Takes a line and returns the length of its text; `None` if it is not whole yet.
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
