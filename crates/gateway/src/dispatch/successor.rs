//! Looks for a runner that continues a stalled stream.
//!
//! A run that is silent may go on at any moment, so it is never ended for a successor that does not exist yet: it stays
//! connected until the successor has sent the head of its response. Whichever sends data first continues the stream.

use super::delivery::Run;
use super::{Dispatch, ReadyAttempt, SentAttempt};
use crate::interrupted_attempt::on_interrupted;
use crate::node::Node;
use crate::runner_probe::{probe, ProbeCause};
use pitchstall_serving::attempt::EndReason;
use pitchstall_serving::fleet::Eligible;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::runner::{Runner, RunnerRecord};
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time for which two runners that can be reached have the request. The platform allows them to work on it for
/// 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Why a stalled run is kept after another runner has been sought.
#[derive(Clone, Copy)]
enum KeepReason {
    /// It has sent data again.
    Resumed,
    /// The successor has not responded in time.
    SuccessorSilent,
    /// The successors that were asked did not run the request, and the route allows no further run.
    NoFurtherRuns,
    /// There is no successor.
    NoSuccessor(EndReason),
}

impl KeepReason {
    /// Name of the reason in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Resumed => "resumed",
            Self::SuccessorSilent => "successor_silent",
            Self::NoFurtherRuns => "no_further_runs",
            Self::NoSuccessor(reason) => reason.name(),
        }
    }
}

/// How the attempt to hand a stalled run over to a prepared successor ended.
enum Handover {
    /// The stalled run goes on. The successor has been ended.
    Kept(Box<Run>, KeepReason),
    /// The successor has begun to respond, and the stalled run has been ended.
    Replaced(Box<Run>),
    /// The successor does not run the request; another one may be tried.
    Failed(Box<Run>),
}

impl Dispatch<'_> {
    /// Replaces a stalled run if another runner continues its stream. Returns the run to be continued, which is the
    /// stalled one if there is no successor or if it has sent data meanwhile.
    pub(super) async fn replace_stalled_run(&mut self, mut stalled: Box<Run>) -> Box<Run> {
        let replaced = stalled.response.record.clone();
        let runner = replaced.id.clone();
        if !self.may_seek_successor(&runner).await {
            return stalled;
        }
        // The result tells a runner that is slow from one that cannot be reached.
        probe(self.node, &runner, self.node.now_us(), ProbeCause::Silence);
        self.excluded.push(runner.clone());
        loop {
            let prepared = tokio::select! {
                biased;
                () = stalled.response.wait_for_data() => {
                    return self.keep(stalled, KeepReason::Resumed)
                }
                prepared = self.prepare_successor() => prepared,
            };
            let ready = match prepared {
                Ok(ready) => ready,
                Err(reason) => return self.keep(stalled, KeepReason::NoSuccessor(reason)),
            };
            stalled = match self.hand_over(stalled, ready).await {
                Handover::Kept(stalled, reason) => return self.keep(stalled, reason),
                Handover::Replaced(successor) => return self.continue_at(&replaced, successor),
                Handover::Failed(stalled) if self.may_run_again() => stalled,
                Handover::Failed(stalled) => return self.keep(stalled, KeepReason::NoFurtherRuns),
            };
        }
    }

    /// Whether a successor of a stalled run may be sought. This requires another healthy runner, a route that allows
    /// another run, and the retry budget for it, which is charged here.
    async fn may_seek_successor(&self, runner: &RunnerId) -> bool {
        let others: Vec<RunnerId> = self.excluded.iter().chain([runner]).cloned().collect();
        let eligible = Eligible { excluded: &others, ..self.eligible() };
        let has_other = self.node.fleet.borrow().has_healthy(&eligible, self.node.now_us());
        if !has_other || !self.may_run_again() {
            return false;
        }
        self.retry_charge.charge().await
    }

    async fn prepare_successor(&mut self) -> Result<ReadyAttempt, EndReason> {
        loop {
            if let Some(ready) = self.prepare_attempt().await? {
                return Ok(ready);
            }
        }
    }

    /// Sends the request to the successor. The stalled run stays connected until the successor responds. If both
    /// runners can be reached and the successor is silent for too long, the successor is ended.
    async fn hand_over(&mut self, stalled: Box<Run>, ready: ReadyAttempt) -> Handover {
        let overlap = overlap_over(self.node, stalled.runner());
        let end = tokio::select! {
            biased;
            () = stalled.response.wait_for_data() => {
                return Handover::Kept(stalled, KeepReason::Resumed)
            }
            end = self.send_attempt(ready) => end,
            () = overlap => return Handover::Kept(stalled, KeepReason::SuccessorSilent),
        };
        match end {
            SentAttempt::Responding(successor) if successor.is_successful() => {
                drop(stalled);
                return Handover::Replaced(successor);
            }
            SentAttempt::Responding(failed) => {
                self.runs.on_ran();
                self.excluded.push(failed.runner().clone());
            }
            SentAttempt::Declined => {}
            SentAttempt::Lost(other) => {
                self.runs.on_lost();
                self.excluded.push(other);
            }
            SentAttempt::LinkLost => self.runs.on_lost(),
        }
        Handover::Failed(stalled)
    }

    fn keep(&self, stalled: Box<Run>, reason: KeepReason) -> Box<Run> {
        self.retry_charge.refund();
        let reason = reason.name();
        self.node.metrics.on_stalled_run_kept(reason);
        let request = self.request.metadata.id.as_str();
        let runner = stalled.runner().as_str();
        log::info!(target: "stream", request, runner, reason; "stalled run kept");
        stalled
    }

    fn continue_at(&self, replaced: &RunnerRecord, mut successor: Box<Run>) -> Box<Run> {
        self.on_run_started(&mut successor);
        on_interrupted(self.node, self.interrupted_attempt(&replaced.id));
        self.log_interruption(replaced, "replaced after a pause");
        self.node.metrics.resumes.inc();
        let request = self.request.metadata.id.as_str();
        let RunnerRecord { id: runner, version, .. } = &successor.response.record;
        let (runner, version, replaced) = (runner.as_str(), version.as_str(), replaced.id.as_str());
        log::info!(target: "stream", request, runner, version, replaced; "stream continued by another runner");
        successor
    }
}

/// Completes when two runners have had a request for too long. Never completes if it is proven that the first of them
/// cannot be reached over this node's link: it cannot be stopped either, and may have ended. That it is silent is no proof.
async fn overlap_over(node: &Node, runner: &RunnerId) {
    sleep(MAX_OVERLAP).await;
    let is_unreachable = node.fleet.borrow().get(runner).is_some_and(Runner::is_unreachable);
    if is_unreachable || node.is_link_lost(runner) {
        std::future::pending::<()>().await;
    }
}
