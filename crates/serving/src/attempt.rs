//! What an attempt proves, and the final response that follows from all attempts.
//!
//! A refusal promises that a request has not run and never will. It is therefore allowed only if
//! every attempt proves that: the connection was never made, or the runner itself reported that the
//! request did not run. Silence, a reset and a closed connection prove nothing.

use crate::request::ResponseMetadata;

/// What is known about the execution of a request after its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No runner has started the request, and none will.
    NotRun,
    /// A runner may have started the request, or may still do so.
    Unknown,
    /// A runner has run the request.
    Ran,
}

/// Proof that a runner has not executed a request that was sent to it, and will not do so. Only the runner's own response
/// to this request gives it.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

/// Why a response that declines a request proves nothing about the request that was sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeclineDoubt {
    /// It names no request, so it may be the response to any earlier exchange.
    #[error("the response names no request")]
    NoRequestNamed,
    /// It names another request.
    #[error("the response names another request")]
    OtherRequestNamed,
}

impl DeclineDoubt {
    /// Name of the doubt in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRequestNamed => "no_request_named",
            Self::OtherRequestNamed => "other_request_named",
        }
    }
}

impl NotRunProof {
    /// The proof that a response gives for the request with this id; `None` if the response does not decline. The id
    /// cannot be known to the runner before the request has reached it.
    pub fn from_response(
        request_id: &str,
        metadata: &ResponseMetadata,
    ) -> Option<Result<Self, DeclineDoubt>> {
        if !metadata.is_declined {
            return None;
        }
        Some(match metadata.request_id.as_deref() {
            Some(named) if named == request_id => Ok(Self(())),
            Some(_) => Err(DeclineDoubt::OtherRequestNamed),
            None => Err(DeclineDoubt::NoRequestNamed),
        })
    }
}

/// The runs of one request. A run counts as begun from the moment at which it is sent, and only a proof takes it back, so
/// that whatever ends the wait for a run leaves it counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunHistory {
    begun: u32,
    has_lost_run: bool,
    has_run: bool,
}

impl RunHistory {
    /// Records that a run is sent now.
    pub fn on_sent(&mut self) {
        self.begun += 1;
    }

    /// Takes the run that was sent last back: its runner has not executed it.
    pub fn on_not_run(&mut self, _proof: NotRunProof) {
        self.begun = self.begun.saturating_sub(1);
    }

    /// Records that a run ended without a complete response.
    pub fn on_lost(&mut self) {
        self.has_lost_run = true;
    }

    /// Records that a runner has executed the request.
    pub fn on_ran(&mut self) {
        self.has_run = true;
    }

    /// Number of runs that have begun, or may have.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Whether a run has ended without a complete response or with an error response.
    pub fn has_failed_run(&self) -> bool {
        self.has_lost_run || self.has_run
    }

    /// Whether the last known fate of a run is unknown: it was lost, and no runner is known to have executed the request.
    pub fn is_fate_unknown(&self) -> bool {
        self.has_lost_run && !self.has_run
    }

    /// What the runs so far show.
    pub fn execution(&self) -> Execution {
        match (self.has_run, self.begun) {
            (true, _) => Execution::Ran,
            (false, 0) => Execution::NotRun,
            (false, _) => Execution::Unknown,
        }
    }
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
