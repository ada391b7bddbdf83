//! What of a response was longer than this node accepts.

use super::response_codec::{ResponseDecodeError, MAX_HEAD_BYTES};
use super::ReadError;

/// A part of a response that has a maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The head with all interim heads before it, or the trailers of a body in chunks.
    Head,
    /// A body that is read completely before it is used.
    Body,
    /// One event of a stream.
    Event,
    /// The memory for the bodies and incomplete events of all responses together.
    Memory,
}

impl ResponsePart {
    /// Name of the part in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Event => "event",
            Self::Memory => "memory",
        }
    }
}

/// A response is not read any further, since a part of it exceeds its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response exceeds the limit of its {}, {limit_bytes} bytes", part.name())]
pub struct ResponseTooLong {
    /// The part that is too long.
    pub part: ResponsePart,
    /// Maximum length of the part.
    pub limit_bytes: usize,
}

impl ReadError {
    /// The limit that the response has exceeded; `None` if it failed for another reason.
    pub fn exceeded_limit(&self) -> Option<ResponseTooLong> {
        match self {
            Self::TooLong(too_long) => Some(*too_long),
            Self::Malformed(ResponseDecodeError::HeadTooLarge) => {
                Some(ResponseTooLong { part: ResponsePart::Head, limit_bytes: MAX_HEAD_BYTES })
            }
            Self::Malformed(_)
            | Self::Closed
            | Self::UnprovenEnd
            | Self::DamagedHead(_)
            | Self::Io(_) => None,
        }
    }

    /// Whether the response was cut for lack of this node's memory, which is no failure of the runner.
    pub fn is_lack_of_memory(&self) -> bool {
        self.exceeded_limit().is_some_and(|too_long| too_long.part == ResponsePart::Memory)
    }
}
