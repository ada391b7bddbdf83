//! What a node takes in of runners that ended under requests, and which requests it sends to none.

use super::Node;
use crate::peer_messages::PeerMessage;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::quarantine::{Crash, CrashChange, CrashMessage, CrashRecord};
use pitchstall_serving::request_identity::RequestIdentity;
use rand::RngExt;

/// Requests that the line on the crash of a runner names: some 1,100 bytes.
const IDENTITIES_LOGGED: usize = 32;
/// Requests in one word to other nodes: as many as a runner of the users' deployments runs at a time, some
/// 2,300 bytes, worked out.
const REQUESTS_A_WORD: usize = 64;

/// When a node writes again what the store has lost, milliseconds after it has seen so: nodes that read the store for
/// others first, spread over many times what a write takes to be seen.
const READERS_WRITE_MS: std::ops::Range<u64> = 0..800;
const OTHERS_WRITE_MS: std::ops::Range<u64> = 2_000..6_000;
const MICROS_PER_MILLI: u64 = 1_000;

impl Node {
    /// An attempt broke, or was left without an answer.
    pub fn on_broken_attempt(&self, runner: &RunnerId, request: &str, identity: RequestIdentity) {
        let now_us = self.now_us();
        let has_ended =
            self.crash_evidence.borrow_mut().on_attempt_broken(runner, identity, now_us);
        let (runner_name, identity_text) = (runner.as_str(), identity.to_string());
        log::info!(target: "crash", request, runner = runner_name, identity = identity_text, has_ended; "broken attempt");
        if has_ended {
            self.on_under_ended(runner, &[identity]);
        }
    }

    /// A runner has ended: what was under way there may have caused it.
    pub(super) fn on_runner_ended(&self, runner: &RunnerId) {
        let under_way = self.crash_evidence.borrow_mut().on_terminated(runner, self.now_us());
        if !under_way.is_empty() {
            self.on_under_ended(runner, &under_way);
        }
    }

    /// A runner that had said so has left.
    pub(super) fn on_runner_left_as_planned(&self, runner: &RunnerId) {
        let now_us = self.now_us();
        let under_way = self.crash_evidence.borrow_mut().on_planned_departure(runner, now_us);
        if !under_way.is_empty() {
            self.on_under_ended(runner, &under_way);
        }
    }

    /// Counts the crash of a runner under requests, and tells the other nodes at once: the requests may
    /// come again at any of them a few milliseconds later.
    fn on_under_ended(&self, runner: &RunnerId, under_way: &[RequestIdentity]) {
        let requests = under_way.len();
        self.metrics.requests_on_crashed_runners.inc_by(requests as u64);
        let named = under_way.iter().take(IDENTITIES_LOGGED).map(ToString::to_string);
        let identities = named.collect::<Vec<_>>().join(" ");
        log::warn!(target: "crash", runner = runner.as_str(), requests, identities; "runner ended");
        let now_us = self.now_us();
        for request in under_way {
            let crash = Crash { request: *request, runner: runner.clone() };
            let change = self.quarantine.borrow_mut().on_observed(&crash, self.wall_ms(), now_us);
            self.log_crash(&crash, change, "seen");
        }
        self.quarantine_changed.notify_one();
        for requests in under_way.chunks(REQUESTS_A_WORD) {
            let (runner, requests) = (runner.clone(), requests.to_vec());
            self.tell_all(CrashMessage::Crashed { runner, requests });
        }
    }

    /// These are all crashes in a store that has come back from an older copy: one node soon writes again what it has
    /// lost, and the others see that it has.
    pub fn on_crashes_came_back(&self, stored: &[(Crash, CrashRecord)]) {
        let delay_ms = match self.members.borrow().is_store_reader() {
            true => rand::rng().random_range(READERS_WRITE_MS),
            false => rand::rng().random_range(OTHERS_WRITE_MS),
        };
        let due_us = self.now_us() + delay_ms * MICROS_PER_MILLI;
        self.quarantine.borrow_mut().on_store_restored(stored, due_us);
        self.quarantine_changed.notify_one();
    }

    fn tell_all(&self, word: CrashMessage) {
        let others = self.members.borrow().other_addresses();
        self.scheduling.socket.send(&PeerMessage::CrashMessage(word), &others);
    }

    /// Logs that a request goes into quarantine.
    pub fn log_crash(&self, crash: &Crash, change: CrashChange, source: &str) {
        if change == CrashChange::Quarantined {
            self.metrics.quarantines.inc();
            let (identity, runner) = (crash.request.to_string(), crash.runner.as_str());
            log::warn!(target: "crash", identity, runner, source; "quarantined");
        }
    }

    /// Whether a request reaches no runner any more. `identity` is asked for only if any runner has
    /// ended under any request lately: most requests need none.
    pub fn is_quarantined(&self, identity: impl FnOnce() -> RequestIdentity) -> bool {
        let evidence = self.crash_evidence.borrow();
        let quarantine = self.quarantine.borrow();
        if evidence.is_empty() && quarantine.is_empty() {
            return false;
        }
        let identity = identity();
        quarantine.is_quarantined(identity, evidence.runners_in_doubt(identity, self.now_us()))
    }

    /// A runner has answered a request whole and with success: it does not crash runners.
    pub fn on_success(&self, identity: impl FnOnce() -> RequestIdentity) {
        if self.crash_evidence.borrow().is_empty() && self.quarantine.borrow().is_empty() {
            return;
        }
        let identity = identity();
        self.crash_evidence.borrow_mut().on_response_completed(identity);
        self.clear(identity, "answered");
    }

    /// A request is cleared of the runners that ended under it, here and everywhere. Returns whether
    /// there were any.
    pub fn clear(&self, identity: RequestIdentity, reason: &str) -> bool {
        let is_known = self.quarantine.borrow_mut().clear(identity);
        if is_known {
            log::info!(target: "crash", identity = identity.to_string(), reason; "cleared");
            self.quarantine_changed.notify_one();
            self.tell_all(CrashMessage::Cleared { request: identity });
        }
        is_known
    }
}
