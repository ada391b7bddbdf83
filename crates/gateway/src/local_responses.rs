//! The responses that the node creates itself, with their status codes and `retry-after` values.

use ntex::http::StatusCode;
use pitchstall_serving::attempt::FinalResponse;

/// `retry-after` for requests that no runner could take, in seconds.
const REFUSED_RETRY_AFTER_S: f64 = 0.25;
/// `retry-after` for requests that arrive before the node has a configuration, in seconds.
const UNCONFIGURED_RETRY_AFTER_S: f64 = 0.5;

/// `retry-after` for requests that arrive before the node knows the crashes of runners, in seconds. It is short because
/// the node reads them together with its configuration, and other nodes may know them.
const CRASHES_UNKNOWN_RETRY_AFTER_S: f64 = 0.1;
/// `retry-after` for requests whose key or route this node cannot verify, in seconds. It is short because the
/// client will most likely reach another node, which has the current configuration.
const UNVERIFIABLE_RETRY_AFTER_S: f64 = 0.1;

/// `retry-after` for requests whose tenant's quota keeper did not reply, in seconds. It is short because the client
/// will most likely reach another node, which may reach the keeper.
const QUOTA_UNKNOWN_RETRY_AFTER_S: f64 = 0.1;
/// `retry-after` for requests that resume a stream which this node does not know, in seconds. It is short because the
/// client will most likely reach another node, which may know the stream.
const STREAM_UNKNOWN_RETRY_AFTER_S: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// A response that the node creates without a response of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// The head or the body of the request is malformed, or a required header is missing.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The request carries no key, or one that belongs to no tenant.
    Unauthorized,
    /// This node's configuration is too old to tell whether the key is valid.
    Unverifiable,
    /// This node's configuration is known to be outdated, or too old to tell whether the route exists.
    Outdated,
    /// The head or the body took too long to arrive.
    RequestTimeout,
    /// The body exceeds the configured size limit.
    BodyTooLarge,
    /// The head exceeds the configured size limit.
    HeadTooLarge,
    /// The node has no configuration yet.
    Unconfigured,
    /// The node has not read yet which requests have crashed runners, so it cannot tell whether this one has.
    CrashesUnknown,
    /// The request has not run and will not; the client may retry it.
    Refused,
    /// The request has not run, because the runners' limits on requests from all nodes are used up.
    LimitUsedUp {
        /// Milliseconds until a runner accepts another request.
        wait_ms: u64,
    },
    /// The request has not run, because its tenant has reached its limit.
    OverQuota {
        /// Milliseconds until the limit allows the request.
        wait_ms: u64,
    },
    /// The request has not run, because no quota keeper could say whether its tenant has reached its limit.
    QuotaUnknown,
    /// The request has not run, because runners have crashed under it; retrying it is of no use.
    Quarantined,
    /// The request has not run, because it is not known which software version began the stream that it resumes, and
    /// several serve.
    StreamUnknown,
    /// The request has not run, because no runner of the software version that began its stream serves any more;
    /// retrying it is of no use.
    StreamVersionGone,
    /// The attempt failed; the request may have run.
    BadGateway,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl From<FinalResponse> for LocalResponse {
    fn from(response: FinalResponse) -> Self {
        match response {
            FinalResponse::Refuse => Self::Refused,
            FinalResponse::RefusePermanently => Self::Quarantined,
            FinalResponse::StreamVersionGone => Self::StreamVersionGone,
            FinalResponse::RefuseUntil { wait_ms } => Self::LimitUsedUp { wait_ms },
            FinalResponse::OverQuota { wait_ms } => Self::OverQuota { wait_ms },
            FinalResponse::QuotaUnknown => Self::QuotaUnknown,
            FinalResponse::BadGateway => Self::BadGateway,
            FinalResponse::TimedOut => Self::TimedOut,
        }
    }
}

impl LocalResponse {
    /// The HTTP status code.
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
            | Self::CrashesUnknown
            | Self::Unverifiable
            | Self::Outdated
            | Self::QuotaUnknown
            | Self::Refused
            | Self::LimitUsedUp { .. }
            | Self::Quarantined
            | Self::StreamUnknown
            | Self::StreamVersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadGateway => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Value of the `retry-after` header in seconds; `None`: the header is not sent.
    pub fn retry_after_s(self) -> Option<f64> {
        match self {
            Self::Refused => Some(REFUSED_RETRY_AFTER_S),
            Self::Unconfigured => Some(UNCONFIGURED_RETRY_AFTER_S),
            Self::CrashesUnknown => Some(CRASHES_UNKNOWN_RETRY_AFTER_S),
            Self::Unverifiable | Self::Outdated => Some(UNVERIFIABLE_RETRY_AFTER_S),
            Self::StreamUnknown => Some(STREAM_UNKNOWN_RETRY_AFTER_S),
            Self::QuotaUnknown => Some(QUOTA_UNKNOWN_RETRY_AFTER_S),
            Self::OverQuota { wait_ms } | Self::LimitUsedUp { wait_ms } => {
                Some(wait_ms as f64 / MS_PER_S)
            }
            _ => None,
        }
    }

    /// Name of the response in logs and metrics.
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
            Self::CrashesUnknown => "crashes_unknown",
            Self::Refused => "refused",
            Self::LimitUsedUp { .. } => "limit_used_up",
            Self::OverQuota { .. } => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::Quarantined => "quarantined",
            Self::StreamUnknown => "stream_unknown",
            Self::StreamVersionGone => "stream_version_gone",
            Self::BadGateway => "bad_gateway",
            Self::TimedOut => "timed_out",
        }
    }
}
