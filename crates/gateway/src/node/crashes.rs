//! Records crashes of runners at a node. Requests that were open when a runner crashed may have
//! caused the crash. They can be quarantined, that is, no longer sent to any runner
//! ([`pitchstall_serving::quarantine`]).

use super::Node;
use crate::peer_messages::PeerMessage;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::quarantine::{Crash, CrashChange, CrashMessage, CrashRecord};
use pitchstall_serving::request_identity::{RequestIdentity, Suspect};
use rand::RngExt;

/// Maximum number of requests that the log line on a crash names, which is about 1,100 bytes.
const MAX_LOGGED_IDENTITIES: usize = 32;
/// Maximum number of requests in one message to other nodes: as many as one runner in the users'
/// deployments runs at a time. By calculation, such a message is about 2,300 bytes.
const MAX_REQUESTS_PER_MESSAGE: usize = 64;

/// Delay before a node rewrites the crashes that a restored store has lost, in milliseconds after
/// it detects the restore. Store readers write first. The delays are spread over many times the
/// latency after which a write is visible to the other nodes.
const STORE_READER_WRITE_DELAY_MS: std::ops::Range<u64> = 0..800;
const FOLLOWER_WRITE_DELAY_MS: std::ops::Range<u64> = 2_000..6_000;
const MICROS_PER_MILLI: u64 = 1_000;

impl Node {
    /// Records an attempt that broke or received no response. It counts as a crash if the runner is
    /// known to have terminated.
    pub fn on_attempt_interrupted(
        &self,
        runner: &RunnerId,
        request: &str,
        identity: RequestIdentity,
        parts: &[Suspect],
    ) {
        let now_us = self.now_us();
        let has_ended =
            self.crash_evidence.borrow_mut().on_attempt_interrupted(runner, identity, now_us);
        let (runner_name, identity_text) = (runner.as_str(), identity.to_string());
        let part_identities: Vec<String> =
            parts.iter().map(|part| part.identity.to_string()).collect();
        let parts = part_identities.join(" ");
        log::info!(target: "crash", request, runner = runner_name, identity = identity_text, parts, has_ended; "broken attempt");
        if has_ended {
            self.record_crash(runner, &[identity]);
        }
    }

    /// Records the termination of a runner. Any request that was open there may have caused it.
    pub(super) fn on_runner_terminated(&self, runner: &RunnerId) {
        let open_requests = self.crash_evidence.borrow_mut().on_terminated(runner, self.now_us());
        if !open_requests.is_empty() {
            self.record_crash(runner, &open_requests);
        }
    }

    /// Records the departure of a runner that had announced it.
    pub(super) fn on_planned_departure(&self, runner: &RunnerId) {
        let now_us = self.now_us();
        let open_requests = self.crash_evidence.borrow_mut().on_planned_departure(runner, now_us);
        if !open_requests.is_empty() {
            self.record_crash(runner, &open_requests);
        }
    }

    /// Counts a runner's crash with open requests, and notifies the other nodes immediately: a
    /// client may send the same requests to any of them again a few milliseconds later.
    fn record_crash(&self, runner: &RunnerId, open_requests: &[RequestIdentity]) {
        let requests = open_requests.len();
        self.metrics.requests_on_crashed_runners.inc_by(requests as u64);
        let logged = open_requests.iter().take(MAX_LOGGED_IDENTITIES).map(ToString::to_string);
        let identities = logged.collect::<Vec<_>>().join(" ");
        log::warn!(target: "crash", runner = runner.as_str(), requests, identities; "runner ended");
        let now_us = self.now_us();
        for request in open_requests {
            let crash = Crash { request: *request, runner: runner.clone() };
            let change = self.quarantine.borrow_mut().on_observed(&crash, self.wall_ms(), now_us);
            self.log_crash(&crash, change, "seen");
        }
        self.quarantine_changed.notify_one();
        for requests in open_requests.chunks(MAX_REQUESTS_PER_MESSAGE) {
            let (runner, requests) = (runner.clone(), requests.to_vec());
            self.broadcast_crash(CrashMessage::Crashed { runner, requests });
        }
    }

    /// Handles the complete list of crashes in a store that was restored from a backup. Each node
    /// schedules a rewrite of the crashes that the store has lost, after a random delay; the first
    /// one performs it and the others observe that it has.
    pub fn on_crashes_restored(&self, stored: &[(Crash, CrashRecord)]) {
        let delay_ms = match self.members.borrow().is_store_reader() {
            true => rand::rng().random_range(STORE_READER_WRITE_DELAY_MS),
            false => rand::rng().random_range(FOLLOWER_WRITE_DELAY_MS),
        };
        let due_us = self.now_us() + delay_ms * MICROS_PER_MILLI;
        self.quarantine.borrow_mut().on_store_restored(stored, due_us);
        self.quarantine_changed.notify_one();
    }

    fn broadcast_crash(&self, message: CrashMessage) {
        let others = self.members.borrow().other_addresses();
        self.scheduling.socket.send(&PeerMessage::CrashMessage(message), &others);
    }

    /// Logs and counts a crash that moved its request into quarantine; other changes are ignored.
    pub fn log_crash(&self, crash: &Crash, change: CrashChange, source: &str) {
        if change == CrashChange::Quarantined {
            self.metrics.quarantines.inc();
            let (identity, runner) = (crash.request.to_string(), crash.runner.as_str());
            log::warn!(target: "crash", identity, runner, source; "quarantined");
        }
    }

    /// Whether a request must not be sent to any runner. `identity` is evaluated only if a runner
    /// has crashed recently, since most requests do not need it.
    pub fn is_quarantined(&self, identity: impl FnOnce() -> RequestIdentity) -> bool {
        let evidence = self.crash_evidence.borrow();
        let quarantine = self.quarantine.borrow();
        if evidence.is_empty() && quarantine.is_empty() {
            return false;
        }
        let identity = identity();
        quarantine.is_quarantined(identity, evidence.runners_in_doubt(identity, self.now_us()))
    }

    /// Records a complete and successful response: the request does not crash runners.
    pub fn on_request_succeeded(&self, identity: impl FnOnce() -> RequestIdentity) {
        if self.crash_evidence.borrow().is_empty() && self.quarantine.borrow().is_empty() {
            return;
        }
        let identity = identity();
        self.crash_evidence.borrow_mut().on_response_completed(identity);
        self.clear_quarantine(identity, "answered");
    }

    /// Removes the crashes recorded for a request, at this node and at all others. Returns whether
    /// there were any.
    pub fn clear_quarantine(&self, identity: RequestIdentity, reason: &str) -> bool {
        let is_known = self.quarantine.borrow_mut().clear(identity);
        if is_known {
            log::info!(target: "crash", identity = identity.to_string(), reason; "cleared");
            self.quarantine_changed.notify_one();
            self.broadcast_crash(CrashMessage::Cleared { request: identity });
        }
        is_known
    }
}
