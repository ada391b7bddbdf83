//! Determines which requests were in progress at a runner when it terminated.
//!
//! A broken attempt proves little: the runner may have terminated, or only one response may have
//! been lost. A broken attempt is therefore kept in doubt until the state of its runner is known:
//!
//! - A connection is *refused*, or the runner's entry leaves the registry: the runner has
//!   terminated.
//! - A connection is *accepted*: the runner is alive, unless its entry leaves the registry after
//!   all. A node that was paused may probe so late that another runner has taken over the address.
//! - A connection attempt hangs: neither is proved, since the runner may be partitioned off.
//!
//! Every attempt that was sent and did not complete counts, whether it was prefilling, queued or
//! running: a runner may crash before it sends the response head. Requests that were merely queued
//! there are distinguished from those that crash runners by their outcome at other runners
//! ([`crate::quarantine`]).

use crate::ids::RunnerId;
use crate::request_identity::{RequestIdentity, Suspect};
use std::collections::HashMap;

/// How long a broken attempt stays in doubt, in microseconds. An entry leaves the registry after
/// three missed heartbeats, which are seconds apart, and an unavailable store delays that further.
const DOUBT_TTL_US: u64 = 15_000_000;
/// Time within which a probe shows whether a runner is alive, in microseconds: twice the connection
/// timeout, and the time in which another node confirms a failure.
const PROBE_TIMEOUT_US: u64 = 600_000;
/// How long a terminated runner is remembered, in microseconds. Its last attempts break within
/// milliseconds, or within seconds at a node that is paused.
const TERMINATED_RUNNER_TTL_US: u64 = 10_000_000;
/// Maximum number of requests in doubt at one runner. A runner has some hundred slots and a queue.
const MAX_IN_DOUBT_PER_RUNNER: usize = 1_024;

/// The broken attempts that one node knows of.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    in_doubt: HashMap<RunnerId, Vec<InterruptedAttempt>>,
    /// Terminated runners, and when this node learned of it.
    terminated: HashMap<RunnerId, u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InterruptedAttempt {
    suspect: Suspect,
    interrupted_at_us: u64,
    /// Whether the runner has accepted a connection since the attempt broke.
    seems_alive: bool,
}

impl CrashEvidence {
    /// Records that an attempt on a suspect, the request or a part of its prompt, broke or got no response. Returns whether its runner is already
    /// known to have terminated; otherwise the attempt is in doubt.
    pub fn on_attempt_interrupted(
        &mut self,
        runner: &RunnerId,
        suspect: Suspect,
        now_us: u64,
    ) -> bool {
        self.remove_expired(now_us);
        if self.terminated.contains_key(runner) {
            return true;
        }
        let interrupted = self.in_doubt.entry(runner.clone()).or_default();
        let is_known = interrupted.iter().any(|attempt| attempt.suspect == suspect);
        if !is_known && interrupted.len() < MAX_IN_DOUBT_PER_RUNNER {
            interrupted.push(InterruptedAttempt {
                suspect,
                interrupted_at_us: now_us,
                seems_alive: false,
            });
        }
        false
    }

    /// Records that a runner has left as planned. Returns the suspects that were in progress when
    /// it terminated. Attempts that broke while the runner still accepted connections broke for
    /// another reason and are left out.
    pub fn on_planned_departure(&mut self, runner: &RunnerId, now_us: u64) -> Vec<Suspect> {
        if let Some(interrupted) = self.in_doubt.get_mut(runner) {
            interrupted.retain(|attempt| !attempt.seems_alive);
        }
        self.on_terminated(runner, now_us)
    }

    /// Records that a runner has terminated. Returns the suspects that were in progress there.
    pub fn on_terminated(&mut self, runner: &RunnerId, now_us: u64) -> Vec<Suspect> {
        self.remove_expired(now_us);
        self.terminated.insert(runner.clone(), now_us);
        let interrupted = self.in_doubt.remove(runner).unwrap_or_default();
        interrupted.into_iter().map(|attempt| attempt.suspect).collect()
    }

    /// Records that a runner has accepted a connection: its broken attempts most likely broke for
    /// another reason.
    pub fn on_connection_accepted(&mut self, runner: &RunnerId) {
        let attempts = self.in_doubt.get_mut(runner).into_iter().flatten();
        attempts.for_each(|attempt| attempt.seems_alive = true);
    }

    /// Records that this node's link to a runner is lost and that another node reaches the runner: its attempts broke
    /// because of the link.
    pub fn on_link_lost(&mut self, runner: &RunnerId) {
        self.in_doubt.remove(runner);
    }

    /// Records that a request got a complete response, which shows that the suspect does not crash runners.
    pub fn on_response_completed(&mut self, suspect: RequestIdentity) {
        for interrupted in self.in_doubt.values_mut() {
            interrupted.retain(|attempt| attempt.suspect.identity != suspect);
        }
    }

    /// Runners at which an attempt of the request broke just now and whose state is unknown. To be
    /// on the safe side they count as crashed until a probe can have shown otherwise.
    pub fn runners_in_doubt(
        &self,
        request: RequestIdentity,
        now_us: u64,
    ) -> impl Iterator<Item = &RunnerId> {
        let is_recent = move |it: &InterruptedAttempt| {
            !it.seems_alive && now_us < it.interrupted_at_us + PROBE_TIMEOUT_US
        };
        let was_interrupted = move |interrupted: &[InterruptedAttempt]| {
            interrupted.iter().any(|it| it.suspect.identity == request && is_recent(it))
        };
        self.in_doubt
            .iter()
            .filter(move |(_, interrupted)| was_interrupted(interrupted))
            .map(|(runner, _)| runner)
    }

    /// Whether no attempt is in doubt.
    pub fn is_empty(&self) -> bool {
        self.in_doubt.is_empty()
    }

    fn remove_expired(&mut self, now_us: u64) {
        self.terminated
            .retain(|_, terminated_at_us| now_us < *terminated_at_us + TERMINATED_RUNNER_TTL_US);
        for interrupted in self.in_doubt.values_mut() {
            interrupted.retain(|attempt| now_us < attempt.interrupted_at_us + DOUBT_TTL_US);
        }
        self.in_doubt.retain(|_, interrupted| !interrupted.is_empty());
    }
}
