//! How long an attempt without a response head is waited for.

use crate::attempt::AttemptParams;
use crate::intake::ClientRequest;
use crate::node::Node;
use crate::retry_charge::RetryCharge;
use crate::runner_probe::wait_until_unavailable;
use pitchstall_serving::ids::RunnerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// When an attempt is ended before its head timeout, so that another one can follow. The retry budget
/// is charged for that one first; while the budget is exhausted, the attempt goes on.
#[derive(Clone)]
pub struct EarlyEnd {
    /// The charge for the other attempt.
    pub charge: Rc<RetryCharge>,
    /// Time without a response head after which the attempt is ended; `None` if it is only ended when
    /// it is proven that its runner cannot be reached.
    pub head_timeout: Option<Duration>,
}

impl EarlyEnd {
    /// Completes when the response has taken too long and the other attempt has been charged. Returns
    /// the time that it has taken.
    pub async fn charged_when_silent(&self) -> Duration {
        let Some(head_timeout) = self.head_timeout else { return std::future::pending().await };
        self.charge.charged_after(head_timeout).await;
        head_timeout
    }
}

/// Why an attempt without a response head was ended.
pub enum EndCause {
    /// The head did not arrive in time.
    Silent(Duration),
    /// It is proven that the runner cannot be reached.
    Unreachable,
    /// This node's link to the runner is lost, and another node reaches the runner.
    LinkLost,
}

/// Completes when an attempt without a response head is to be ended. `uses_own_link`: whether its connection is this
/// node's own.
pub async fn wait_for_end(
    node: &Rc<Node>,
    runner: &RunnerId,
    params: &AttemptParams,
    uses_own_link: bool,
) -> EndCause {
    let early_end = async {
        let Some(early_end) = &params.early_end else { return std::future::pending().await };
        let wait_until_unavailable = || wait_until_unavailable(node, runner, uses_own_link);
        let unavailable = early_end.charge.charged_when(wait_until_unavailable);
        tokio::select! {
            () = unavailable => match uses_own_link && node.is_link_lost(runner) {
                true => EndCause::LinkLost,
                false => EndCause::Unreachable,
            },
            time = early_end.charged_when_silent() => EndCause::Silent(time),
        }
    };
    tokio::select! {
        () = sleep(params.head_timeout) => EndCause::Silent(params.head_timeout),
        cause = early_end => cause,
    }
}

/// Logs why an attempt was ended.
pub fn log_end(request: &ClientRequest, runner: &RunnerId, cause: &EndCause) {
    let (id, runner) = (request.metadata.id.as_str(), runner.as_str());
    match cause {
        EndCause::Silent(limit) => {
            let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
            log::info!(target: "attempt", request = id, runner, limit_ms; "silent");
        }
        EndCause::Unreachable => log::info!(target: "attempt", request = id, runner; "left"),
        EndCause::LinkLost => {
            log::info!(target: "attempt", request = id, runner; "left: link lost");
        }
    }
}
