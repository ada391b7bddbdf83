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
//! - This node's link to the runner *seems lost*, since another node reaches the runner: the attempt most likely broke because
//!   of the link. But a runner that is terminating accepts connections for a moment longer. The attempt therefore
//!   stays, and counts if the runner's termination is proven within the time that the registry takes to notice it. A
//!   termination that is proven later has another reason.
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
/// How long an attempt stays in doubt whose runner's link seems lost, in microseconds from the moment at which the attempt
/// broke. A runner that terminated at that moment misses three heartbeats within 3.6 s, and nodes learn within 0.4 s that
/// its entry has left the registry; a connection is refused before that.
const LOST_LINK_DOUBT_TTL_US: u64 = 4_000_000;
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
    /// Whether this node's link to the runner has seemed lost since the attempt broke.
    seems_link_lost: bool,
}

impl InterruptedAttempt {
    fn new(suspect: Suspect, interrupted_at_us: u64) -> Self {
        Self { suspect, interrupted_at_us, seems_alive: false, seems_link_lost: false }
    }

    /// Whether nothing suggests that the attempt broke for another reason than the termination of its runner.
    fn has_no_other_reason(&self) -> bool {
        !self.seems_alive && !self.seems_link_lost
    }

    fn is_expired(&self, now_us: u64) -> bool {
        let ttl_us = match self.seems_link_lost {
            true => LOST_LINK_DOUBT_TTL_US,
            false => DOUBT_TTL_US,
        };
        now_us >= self.interrupted_at_us + ttl_us
    }
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
        // A request that breaks again after the loss of the link is in doubt anew.
        interrupted.retain(|attempt| attempt.suspect != suspect || !attempt.seems_link_lost);
        let is_known = interrupted.iter().any(|attempt| attempt.suspect == suspect);
        if !is_known && interrupted.len() < MAX_IN_DOUBT_PER_RUNNER {
            interrupted.push(InterruptedAttempt::new(suspect, now_us));
        }
        false
    }

    /// Records that a runner has left as planned. Returns the suspects that were in progress when
    /// it terminated. Attempts that broke while the runner still accepted connections, or before the
    /// link to it seemed lost, broke for another reason and are left out.
    pub fn on_planned_departure(&mut self, runner: &RunnerId, now_us: u64) -> Vec<Suspect> {
        if let Some(interrupted) = self.in_doubt.get_mut(runner) {
            interrupted.retain(InterruptedAttempt::has_no_other_reason);
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

    /// Records that this node's link to a runner seems lost, since another node reaches the runner: its broken attempts most
    /// likely broke because of the link. Returns the number of requests among them.
    pub fn on_link_lost(&mut self, runner: &RunnerId) -> usize {
        let attempts = self.in_doubt.get_mut(runner).map_or(&mut [][..], Vec::as_mut_slice);
        attempts.iter_mut().for_each(|attempt| attempt.seems_link_lost = true);
        attempts.iter().filter(|attempt| attempt.suspect.depth.is_none()).count()
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
            it.has_no_other_reason() && now_us < it.interrupted_at_us + PROBE_TIMEOUT_US
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
            interrupted.retain(|attempt| !attempt.is_expired(now_us));
        }
        self.in_doubt.retain(|_, interrupted| !interrupted.is_empty());
    }
}
