//! What an attempt proves, and the final response that follows from all attempts.
//!
//! A refusal promises that a request has not run and never will. It is therefore allowed only if
//! every attempt proves that: the connection was never made, or the runner itself reported that the
//! request did not run. Silence, a reset and a closed connection prove nothing.

/// What is known about the execution of a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No runner has started the request, and none will.
    NotRun,
    /// A runner may have started the request, or may still do so.
    Unknown,
    /// A runner has run the request.
    Ran,
}

/// Why a request ends without a runner's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The deadline or the route's time limit has passed.
    OutOfTime,
    /// No runner could take the request.
    NoRunner,
    /// The limit that its runners set for all nodes together is used up.
    LimitUsedUp {
        /// Time until a runner takes another request, in milliseconds.
        wait_ms: u64,
    },
    /// Every runner that was tried refused the request.
    Refused,
    /// An attempt failed, and the request must not be retried.
    Failed,
    /// No runner of the software version that began the stream serves any more.
    StreamVersionGone,
    /// Runners have crashed under the request, so it is sent to no other.
    Quarantined,
    /// The tenant has reached its quota.
    OverQuota {
        /// Time until the quota has room for the request, in milliseconds.
        wait_ms: u64,
    },
    /// No keeper of the tenant's quota could be reached.
    QuotaUnknown,
}

impl EndReason {
    /// Name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OutOfTime => "out_of_time",
            Self::NoRunner => "no_runner",
            Self::LimitUsedUp { .. } => "limit_used_up",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::StreamVersionGone => "stream_version_gone",
            Self::Quarantined => "quarantined",
            Self::OverQuota { .. } => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
        }
    }
}

/// A response that the node produces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Not run; the client may retry.
    Refuse,
    /// Not run, since the limit of its runners is used up.
    RefuseUntil {
        /// Time until a runner takes another request, in milliseconds.
        wait_ms: u64,
    },
    /// Not run; the client must not retry.
    RefusePermanently,
    /// Not run, since no runner can continue the stream; the client must not retry.
    StreamVersionGone,
    /// Not run, since the tenant has reached its quota.
    OverQuota {
        /// Time until the quota has room for the request, in milliseconds.
        wait_ms: u64,
    },
    /// Not run, since no keeper of the tenant's quota could be reached; another node may reach one.
    QuotaUnknown,
    /// May have run; the attempt failed.
    BadGateway,
    /// May have run; the time limit has passed.
    TimedOut,
}

/// Chooses the response of a request that ends without a runner's. This is the only place that
/// decides between a refusal and a failure.
pub fn final_response(execution: Execution, reason: EndReason) -> FinalResponse {
    match (execution, reason) {
        (Execution::NotRun, EndReason::Quarantined) => FinalResponse::RefusePermanently,
        (Execution::NotRun, EndReason::StreamVersionGone) => FinalResponse::StreamVersionGone,
        (Execution::NotRun, EndReason::OverQuota { wait_ms }) => {
            FinalResponse::OverQuota { wait_ms }
        }
        (Execution::NotRun, EndReason::LimitUsedUp { wait_ms }) => {
            FinalResponse::RefuseUntil { wait_ms }
        }
        (Execution::NotRun, EndReason::QuotaUnknown) => FinalResponse::QuotaUnknown,
        (Execution::NotRun, _) => FinalResponse::Refuse,
        (_, EndReason::OutOfTime) => FinalResponse::TimedOut,
        (_, _) => FinalResponse::BadGateway,
    }
}
