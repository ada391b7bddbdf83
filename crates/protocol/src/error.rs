//! The one error body that callers and operators see, and its HTTP status codes.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No engine has started the request or ever will under this submission.
    NotRun,
    /// An engine may have started the request.
    Unknown,
    /// An engine has started the request and part of its answer was delivered.
    Partial,
}

/// The kinds of failure. The order follows a request from the door to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body or a header could not be read.
    InvalidRequest,
    /// The body is larger than the limit.
    RequestTooLarge,
    /// The key is missing or belongs to nobody.
    Unauthorized,
    /// The key is valid and the tenant may not use this service.
    Forbidden,
    /// No service of this name exists.
    UnknownService,
    /// The configuration or a policy leaves no zone in which the request may run.
    ZoneForbidden,
    /// The tenant has used up its tokens for now.
    TenantLimit,
    /// The queue is full or the deadline cannot be met.
    Overloaded,
    /// No engine that may serve the request is known to be live.
    NoEngine,
    /// The node is leaving and takes no new request.
    Leaving,
    /// What the request needs from the platform cannot be had now.
    PlatformUnavailable,
    /// The idempotency key was used for a request whose result is not known here.
    KeyInUse,
    /// The idempotency key was used before with another body.
    KeyMismatch,
    /// The deadline has passed.
    DeadlineExceeded,
    /// An engine failed and the request may not or could not be run again.
    EngineFailed,
    /// The point to resume from is not known any more.
    CannotResume,
    /// The submitted configuration is not valid.
    InvalidConfiguration,
    /// Another change was committed first.
    RevisionConflict,
    /// No such resource.
    NotFound,
}

impl ErrorCode {
    /// The HTTP status under which this failure is reported. The only such table.
    pub fn http_status(self) -> u16 {
        match self {
            Self::InvalidRequest | Self::InvalidConfiguration => 400,
            Self::Unauthorized => 401,
            Self::Forbidden | Self::ZoneForbidden => 403,
            Self::UnknownService | Self::NotFound => 404,
            Self::KeyInUse | Self::RevisionConflict => 409,
            Self::CannotResume => 410,
            Self::RequestTooLarge => 413,
            Self::KeyMismatch => 422,
            Self::TenantLimit => 429,
            Self::EngineFailed => 502,
            Self::Overloaded | Self::NoEngine | Self::Leaving | Self::PlatformUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// The body of every failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code:?} ({execution:?}): {message}")]
pub struct ErrorBody {
    /// The kind of failure.
    pub code: ErrorCode,
    /// One sentence for a person.
    pub message: String,
    /// What is known about the execution.
    pub execution: Execution,
    /// Milliseconds after which a new try is sensible. Absent: a new try does not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// A refusal: nothing has run, and no engine will start this submission.
    pub fn refused(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), execution: Execution::NotRun, retry_after_ms: None }
    }

    /// A failure after which an engine may have run the request.
    pub fn failed(code: ErrorCode, execution: Execution, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), execution, retry_after_ms: None }
    }

    /// Adds the time after which a new try is sensible, in milliseconds.
    pub fn retry_after_ms(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }
}
