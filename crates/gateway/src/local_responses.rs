//! The answers that the node makes itself: one place for status codes.

use ntex::http::StatusCode;
use pitchstall_serving::attempt::FinalResponse;

/// Pause for clients that came while no runner could take their request, seconds.
const REFUSED_RETRY_AFTER_S: f64 = 0.25;
/// Pause for clients that came before the node knew a configuration, seconds.
const UNCONFIGURED_RETRY_AFTER_S: f64 = 0.5;

/// Pause for clients whose key or route this node cannot verify, seconds: they come to another node
/// then, which most likely knows.
const UNVERIFIABLE_RETRY_AFTER_S: f64 = 0.1;

/// Pause for clients of a tenant whose limit nobody could be asked about, seconds: as with keys.
const QUOTA_UNKNOWN_RETRY_AFTER_S: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// An answer that no runner gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// The request cannot be understood.
    BadRequest,
    /// No route takes it.
    NoRoute,
    /// It carries no key, or one that nobody holds.
    Unauthorized,
    /// This node's copy of the configuration is too old to tell whether its key holds.
    Unverifiable,
    /// This node's configuration is known to be outdated, or too old to tell that there is no route.
    Outdated,
    /// Its head or body took too long to come.
    RequestTimeout,
    /// Its body is too large.
    BodyTooLarge,
    /// Its head is too large.
    HeadTooLarge,
    /// The node knows no configuration yet.
    Unconfigured,
    /// It has not run and will not; the client may come back.
    Refused,
    /// It has not run, as what its runners take from all nodes together is used up.
    LimitUsedUp {
        /// Milliseconds until a runner takes one more.
        wait_ms: u64,
    },
    /// It has not run, as its tenant has reached its limit.
    OverQuota {
        /// Milliseconds until there is room for it.
        wait_ms: u64,
    },
    /// It has not run, as nobody could be asked whether its tenant has reached its limit.
    QuotaUnknown,
    /// Runners have ended under it: it has not run, and coming back is in vain.
    Quarantined,
    /// It may have run; the attempt failed.
    BadGateway,
    /// It may have run; time is up.
    TimedOut,
}

impl From<FinalResponse> for LocalResponse {
    fn from(response: FinalResponse) -> Self {
        match response {
            FinalResponse::Refuse => Self::Refused,
            FinalResponse::RefusePermanently => Self::Quarantined,
            FinalResponse::RefuseUntil { wait_ms } => Self::LimitUsedUp { wait_ms },
            FinalResponse::OverQuota { wait_ms } => Self::OverQuota { wait_ms },
            FinalResponse::QuotaUnknown => Self::QuotaUnknown,
            FinalResponse::BadGateway => Self::BadGateway,
            FinalResponse::TimedOut => Self::TimedOut,
        }
    }
}

impl LocalResponse {
    /// The status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unconfigured
            | Self::Unverifiable
            | Self::Outdated
            | Self::QuotaUnknown
            | Self::Refused
            | Self::LimitUsedUp { .. }
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadGateway => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the client may come back, seconds.
    pub fn retry_after_s(self) -> Option<f64> {
        match self {
            Self::Refused => Some(REFUSED_RETRY_AFTER_S),
            Self::Unconfigured => Some(UNCONFIGURED_RETRY_AFTER_S),
            Self::Unverifiable | Self::Outdated => Some(UNVERIFIABLE_RETRY_AFTER_S),
            Self::QuotaUnknown => Some(QUOTA_UNKNOWN_RETRY_AFTER_S),
            Self::OverQuota { wait_ms } | Self::LimitUsedUp { wait_ms } => {
                Some(wait_ms as f64 / MS_PER_S)
            }
            _ => None,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::Unverifiable => "unverifiable",
            Self::Outdated => "outdated",
            Self::RequestTimeout => "too_slow",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::Unconfigured => "unconfigured",
            Self::Refused => "refused",
            Self::LimitUsedUp { .. } => "limit_used_up",
            Self::OverQuota { .. } => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::Quarantined => "quarantined",
            Self::BadGateway => "bad_gateway",
            Self::TimedOut => "timed_out",
        }
    }
}
