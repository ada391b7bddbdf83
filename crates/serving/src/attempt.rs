//! What an attempt proves, and the final answer that follows from all attempts.
//!
//! A refusal promises that a request has not run and never will. So it may only be given
//! when every attempt proves that: a connection that was never made, or a runner that says
//! so itself. Silence, a reset and a close prove nothing.

/// What is known of a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No runner has begun it and none will.
    NotRun,
    /// A runner may have begun it, or may yet.
    Unknown,
    /// A runner has run it.
    Ran,
}

/// Why a request ends without a runner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The deadline or the route's time limit has come.
    OutOfTime,
    /// No runner could take it.
    NoRunner,
    /// What its runners take from all nodes together is used up.
    LimitUsedUp {
        /// Milliseconds until a runner takes one more.
        wait_ms: u64,
    },
    /// Every runner that was asked refused it.
    Refused,
    /// An attempt failed, and the request may not be repeated.
    Failed,
    /// Runners have ended under it: it reaches none any more.
    Quarantined,
    /// Its tenant has reached its limit.
    OverQuota {
        /// Milliseconds until there is room for it.
        wait_ms: u64,
    },
    /// Nobody could be asked whether its tenant has reached its limit.
    QuotaUnknown,
}

/// An answer that the node makes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Not run; the client may come back.
    Refuse,
    /// Not run, as what its runners take is used up.
    RefuseUntil {
        /// Milliseconds until a runner takes one more.
        wait_ms: u64,
    },
    /// Not run, and not to be sent again.
    RefusePermanently,
    /// Not run, as its tenant has reached its limit.
    OverQuota {
        /// Milliseconds until there is room for it.
        wait_ms: u64,
    },
    /// Not run, as nobody knows whether its tenant has reached its limit; another node may.
    QuotaUnknown,
    /// May have run; the attempt failed.
    BadGateway,
    /// May have run; time is up.
    TimedOut,
}

/// The only place that chooses between a refusal and a failure.
pub fn final_response(execution: Execution, reason: EndReason) -> FinalResponse {
    match (execution, reason) {
        (Execution::NotRun, EndReason::Quarantined) => FinalResponse::RefusePermanently,
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
