//! Which requests were under way at a runner when it ended.
//!
//! An attempt that breaks proves little: the runner may have ended, or have lost one answer. So a
//! broken attempt is kept in doubt until the runner's fate is known:
//!
//! - a connection that is *refused*, or the runner's entry leaving the list: it has ended;
//! - a connection that is *accepted*: it lives, unless its entry leaves the list all the same. A node
//!   that stood still looks so late that another runner may have taken the address;
//! - a connection that hangs proves neither: the runner may be cut off.
//!
//! Every attempt that was sent and had no end counts, whether its prompt was being read, it waited
//! or it ran: a runner may end before the head of its answer is out, and what waited there is told
//! apart from what ends runners by what happens to it elsewhere ([`crate::quarantine`]).

use crate::ids::RunnerId;
use crate::request_identity::RequestIdentity;
use std::collections::HashMap;

/// Time for which a broken attempt stays in doubt, microseconds: an entry leaves the list after
/// three heartbeats, which are seconds apart, and a store that is away holds that up.
const DOUBT_TTL_US: u64 = 15_000_000;
/// Time within which a look at a runner tells whether it lives, microseconds: twice the limit of
/// opening a connection.
const PROBE_TIMEOUT_US: u64 = 400_000;
/// Time for which a runner is known to have ended, microseconds: its last attempts break within
/// milliseconds, at a node that stands still within seconds.
const TERMINATED_RUNNER_TTL_US: u64 = 10_000_000;
/// Requests in doubt at one runner that are kept: a runner has some hundred slots and a queue.
const MAX_IN_DOUBT_PER_RUNNER: usize = 1_024;

/// What one node knows of attempts that broke.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    in_doubt: HashMap<RunnerId, Vec<BrokenAttempt>>,
    /// Runners that have ended, and when that was learnt.
    terminated: HashMap<RunnerId, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BrokenAttempt {
    request: RequestIdentity,
    broken_at_us: u64,
    /// The runner has accepted a connection since.
    seems_alive: bool,
}

impl CrashEvidence {
    /// An attempt broke, or was left without an answer. Returns whether its runner is already
    /// known to have ended; otherwise it is in doubt.
    pub fn on_attempt_broken(
        &mut self,
        runner: &RunnerId,
        request: RequestIdentity,
        now_us: u64,
    ) -> bool {
        self.remove_expired(now_us);
        if self.terminated.contains_key(runner) {
            return true;
        }
        let broken = self.in_doubt.entry(runner.clone()).or_default();
        let is_known = broken.iter().any(|attempt| attempt.request == request);
        if !is_known && broken.len() < MAX_IN_DOUBT_PER_RUNNER {
            broken.push(BrokenAttempt { request, broken_at_us: now_us, seems_alive: false });
        }
        false
    }

    /// A runner has left as planned. Returns the requests that were under way there when it ended: what
    /// broke while it was still there broke for another reason.
    pub fn on_planned_departure(&mut self, runner: &RunnerId, now_us: u64) -> Vec<RequestIdentity> {
        if let Some(broken) = self.in_doubt.get_mut(runner) {
            broken.retain(|attempt| !attempt.seems_alive);
        }
        self.on_terminated(runner, now_us)
    }

    /// A runner has ended. Returns the requests that were under way there.
    pub fn on_terminated(&mut self, runner: &RunnerId, now_us: u64) -> Vec<RequestIdentity> {
        self.remove_expired(now_us);
        self.terminated.insert(runner.clone(), now_us);
        let broken = self.in_doubt.remove(runner).unwrap_or_default();
        broken.into_iter().map(|attempt| attempt.request).collect()
    }

    /// A runner has accepted a connection: what broke there most likely broke for another reason.
    pub fn on_connection_accepted(&mut self, runner: &RunnerId) {
        for attempt in self.in_doubt.get_mut(runner).into_iter().flatten() {
            attempt.seems_alive = true;
        }
    }

    /// A request was answered whole: it does not end runners.
    pub fn on_response_completed(&mut self, request: RequestIdentity) {
        for broken in self.in_doubt.values_mut() {
            broken.retain(|attempt| attempt.request != request);
        }
    }

    /// Runners at which a request broke just now and whose fate is not known: to be on the safe side
    /// they count as ended until a look at them can have told.
    pub fn runners_in_doubt(
        &self,
        request: RequestIdentity,
        now_us: u64,
    ) -> impl Iterator<Item = &RunnerId> {
        let is_recent = move |it: &BrokenAttempt| {
            !it.seems_alive && now_us < it.broken_at_us + PROBE_TIMEOUT_US
        };
        let broke = move |broken: &[BrokenAttempt]| {
            broken.iter().any(|it| it.request == request && is_recent(it))
        };
        self.in_doubt.iter().filter(move |(_, broken)| broke(broken)).map(|(runner, _)| runner)
    }

    /// Whether nothing is in doubt.
    pub fn is_empty(&self) -> bool {
        self.in_doubt.is_empty()
    }

    fn remove_expired(&mut self, now_us: u64) {
        self.terminated
            .retain(|_, terminated_at_us| now_us < *terminated_at_us + TERMINATED_RUNNER_TTL_US);
        for broken in self.in_doubt.values_mut() {
            broken.retain(|attempt| now_us < attempt.broken_at_us + DOUBT_TTL_US);
        }
        self.in_doubt.retain(|_, broken| !broken.is_empty());
    }
}
