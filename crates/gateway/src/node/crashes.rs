//! Records crashes of runners at a node. Requests that were open when a runner crashed may have
//! caused the crash. They can be quarantined, that is, no longer sent to any runner
//! ([`pitchstall_serving::quarantine`]).

use super::Node;
use crate::intake::ClientRequest;
use crate::peer_messages::PeerMessage;
use pitchstall_serving::crash_messages::{Crash, CrashMessage, CrashRecord, SuspectPart};
use pitchstall_serving::fleet_share::spread_delay;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::quarantine::BlameChange;
use pitchstall_serving::request_identity::{RequestIdentity, Suspect};
use rand::RngExt;

/// Maximum number of requests that the log line on a crash names, which is about 1,100 bytes.
const MAX_LOGGED_IDENTITIES: usize = 32;
/// Maximum number of requests, or of parts, in one message to other nodes: as many as one runner in the users'
/// deployments runs at a time. By calculation, such a message is about 2,300 bytes.
const MAX_SUSPECTS_PER_MESSAGE: usize = 64;
/// Time for which no other node reports that a part is proven, in microseconds.
const PROVEN_REPORT_TTL_US: u64 = 60_000_000;
/// Maximum number of requests with a blamed part that are sent to runners to find out whether it is harmless. The
/// requirement allows three.
const MAX_PART_TRIALS: u32 = 2;
/// Time from the last crash under a part to its first trial, in milliseconds; twice that to the second one.
const FIRST_TRIAL_PAUSE_MS: u64 = 1_000;

/// Delay before a node rewrites the crashes that a restored store has lost, in milliseconds after
/// it detects the restore. Store readers write first. The delays are spread over many times the
/// latency after which a write is visible to the other nodes; those of followers are stretched in a
/// large fleet, since all of them would write if the readers could not.
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
        let suspects = suspects_of(identity, parts);
        let mut evidence = self.crash_evidence.borrow_mut();
        let has_ended = suspects
            .iter()
            .any(|suspect| evidence.on_attempt_interrupted(runner, *suspect, now_us));
        drop(evidence);
        let (runner_name, identity_text) = (runner.as_str(), identity.to_string());
        let part_identities: Vec<String> =
            parts.iter().map(|part| part.identity.to_string()).collect();
        let parts = part_identities.join(" ");
        log::info!(target: "crash", request, runner = runner_name, identity = identity_text, parts, has_ended; "broken attempt");
        if has_ended {
            self.record_crash(runner, &suspects);
        }
    }

    /// Records that a runner has accepted a connection.
    pub(super) fn on_runner_alive(&self, runner: &RunnerId) {
        self.crash_evidence.borrow_mut().on_connection_accepted(runner);
    }

    /// Records complete and successful responses on these suspects.
    fn on_suspects_succeeded(&self, suspects: &[Suspect]) {
        for suspect in suspects {
            if suspect.depth.is_some() {
                self.proven_parts.borrow_mut().on_success(suspect.identity);
            }
            self.crash_evidence.borrow_mut().on_response_completed(suspect.identity);
            self.clear_quarantine(suspect.identity, "answered");
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

    /// Counts a runner's crash with the suspects that were in progress there, and notifies the other nodes immediately: a
    /// client may send the same requests to any of them again a few milliseconds later.
    fn record_crash(&self, runner: &RunnerId, suspects: &[Suspect]) {
        let is_request = |suspect: &&Suspect| suspect.depth.is_none();
        let requests: Vec<RequestIdentity> =
            suspects.iter().filter(is_request).map(|suspect| suspect.identity).collect();
        let count = requests.len();
        self.metrics.requests_on_crashed_runners.inc_by(count as u64);
        let logged = requests.iter().take(MAX_LOGGED_IDENTITIES).map(ToString::to_string);
        let identities = logged.collect::<Vec<_>>().join(" ");
        log::warn!(target: "crash", runner = runner.as_str(), requests = count, identities; "runner ended");
        let (at_ms, now_us) = (self.wall_ms(), self.now_us());
        for suspect in suspects {
            let crash = Crash { request: suspect.identity, runner: runner.clone() };
            let was_proven = self.is_proven(suspect);
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.describe(*suspect, was_proven);
            quarantine.on_observed(&crash, at_ms, now_us);
        }
        self.report_blame("seen");
        self.quarantine_changed.notify_one();
        // This comes first, so that the others do not blame a proven part in between.
        self.report_proven(suspects);
        let parts: Vec<SuspectPart> = suspects.iter().filter_map(suspect_part).collect();
        for requests in requests.chunks(MAX_SUSPECTS_PER_MESSAGE) {
            let (runner, requests) = (runner.clone(), requests.to_vec());
            self.broadcast_crash(CrashMessage::Crashed { runner, requests, parts: Vec::new() });
        }
        for parts in parts.chunks(MAX_SUSPECTS_PER_MESSAGE) {
            let (runner, parts) = (runner.clone(), parts.to_vec());
            self.broadcast_crash(CrashMessage::Crashed { runner, requests: Vec::new(), parts });
        }
    }

    /// Whether a suspect is a part on which a response has been completed.
    pub fn is_proven(&self, suspect: &Suspect) -> bool {
        suspect.depth.is_some() && self.proven_parts.borrow().contains(suspect.identity)
    }

    /// Reports to the other nodes which of the suspects are proven parts, unless a node has done so recently.
    pub fn report_proven(&self, suspects: &[Suspect]) {
        let now_us = self.now_us();
        let mut reported = self.reported_proven_us.borrow_mut();
        reported.retain(|_, reported_us| now_us < *reported_us + PROVEN_REPORT_TTL_US);
        let proven = suspects.iter().filter(|suspect| self.is_proven(suspect));
        let mut parts: Vec<RequestIdentity> = proven.map(|suspect| suspect.identity).collect();
        parts.retain(|part| !reported.contains_key(part));
        reported.extend(parts.iter().map(|part| (*part, now_us)));
        for parts in parts.chunks(MAX_SUSPECTS_PER_MESSAGE) {
            self.broadcast_crash(CrashMessage::Proven { parts: parts.to_vec() });
        }
    }

    /// Handles another node's report that responses on these parts have been completed.
    pub fn on_parts_proven(&self, parts: &[RequestIdentity]) {
        let now_us = self.now_us();
        for part in parts {
            self.reported_proven_us.borrow_mut().insert(*part, now_us);
            self.proven_parts.borrow_mut().on_success(*part);
            self.quarantine.borrow_mut().on_proven(*part);
        }
        self.report_blame("told");
    }

    /// Handles the complete list of crashes in a store that was restored from a backup. Each node
    /// schedules a rewrite of the crashes that the store has lost, after a random delay; the first
    /// one performs it and the others observe that it has.
    pub fn on_crashes_restored(&self, stored: &[(Crash, CrashRecord)]) {
        let delay_ms = match self.members.borrow().is_store_reader() {
            true => rand::rng().random_range(STORE_READER_WRITE_DELAY_MS),
            false => {
                let random = rand::rng().random_range(0.0..1.0);
                spread_delay(&FOLLOWER_WRITE_DELAY_MS, self.known_node_count(), random)
            }
        };
        let due_us = self.now_us() + delay_ms * MICROS_PER_MILLI;
        self.quarantine.borrow_mut().on_store_restored(stored, due_us);
        self.report_blame("store");
        self.quarantine_changed.notify_one();
    }

    fn broadcast_crash(&self, message: CrashMessage) {
        let others = self.members.borrow().other_addresses();
        self.scheduling.socket.send(&PeerMessage::CrashMessage(message), &others);
    }

    /// Logs and counts the suspects whose quarantine has begun or ended.
    pub fn report_blame(&self, source: &str) {
        let changes = self.quarantine.borrow_mut().take_blame_changes();
        for BlameChange { identity, is_blamed, depth, crashes } in changes {
            let identity = identity.to_string();
            let part_position = depth.map_or_else(String::new, |depth| depth.to_string());
            if is_blamed {
                self.metrics.quarantines.inc();
                log::warn!(target: "crash", identity, part_position, crashes, source; "quarantined");
            } else {
                log::info!(target: "crash", identity, part_position, crashes, source; "quarantine ended");
            }
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

    /// The first of a request's prompt parts that is to blame for crashes; `None` if none is. `has_lost_run`: a runner
    /// may have crashed under the request just now. Its state counts as crashed until it is known.
    pub fn blamed_part(
        &self,
        request: &ClientRequest,
        has_lost_run: bool,
    ) -> Option<RequestIdentity> {
        let quarantine = self.quarantine.borrow();
        let evidence = self.crash_evidence.borrow();
        if quarantine.is_empty() {
            return None;
        }
        let parts = request.suspect_parts();
        let is_in_doubt = |part: &&Suspect| {
            let runners = evidence.runners_in_doubt(part.identity, self.now_us());
            quarantine.is_quarantined(part.identity, runners)
        };
        let in_doubt = || parts.iter().find(is_in_doubt).map(|part| part.identity);
        quarantine.blamed_part(parts).or_else(|| has_lost_run.then(in_doubt).flatten())
    }

    /// Whether one request with a blamed part may be sent to a runner. Only a part that may be harmless is tried, by one
    /// node, a few times.
    pub fn begin_part_trial(&self, part: RequestIdentity) -> bool {
        let quarantine = self.quarantine.borrow();
        let is_own_duty = self.members.borrow().is_own_duty(&part.to_string());
        if !is_own_duty || !quarantine.is_blame_uncertain(part) {
            return false;
        }
        let last_crash_ms = quarantine.last_crash_ms(part).unwrap_or_default();
        let mut trials = self.part_trials.borrow_mut();
        trials.retain(|part, _| quarantine.blamed_part(&[Suspect::request(*part)]).is_some());
        let trials_before = trials.get(&part).copied().unwrap_or_default();
        let pause_ms = FIRST_TRIAL_PAUSE_MS << trials_before;
        if trials_before >= MAX_PART_TRIALS || self.wall_ms() < last_crash_ms + pause_ms {
            return false;
        }
        trials.insert(part, trials_before + 1);
        log::info!(target: "crash", identity = part.to_string(), trial = trials_before + 1; "blamed part tried");
        true
    }

    /// Records a complete and successful response: neither the request nor the parts of its prompt crash runners.
    pub fn on_request_succeeded(
        &self,
        identity: impl FnOnce() -> RequestIdentity,
        parts: &[Suspect],
    ) {
        let is_idle =
            self.crash_evidence.borrow().is_empty() && self.quarantine.borrow().is_empty();
        if is_idle {
            let mut proven_parts = self.proven_parts.borrow_mut();
            return parts.iter().for_each(|part| proven_parts.on_success(part.identity));
        }
        self.on_suspects_succeeded(&suspects_of(identity(), parts));
    }

    /// Ends a quarantine on behalf of an operator. The suspects that were beside it at its crashes are cleared as well: they
    /// would take the blame otherwise. Returns whether there were any.
    pub fn lift_quarantine(&self, identity: RequestIdentity) -> bool {
        let suspects = self.quarantine.borrow().suspects_beside(identity);
        for suspect in &suspects {
            self.clear_quarantine(*suspect, "lifted by an operator");
        }
        !suspects.is_empty()
    }

    /// Removes the crashes recorded for a request, at this node and at all others. Returns whether
    /// there were any.
    pub fn clear_quarantine(&self, identity: RequestIdentity, reason: &str) -> bool {
        let is_known = self.quarantine.borrow_mut().clear(identity);
        if is_known {
            log::info!(target: "crash", identity = identity.to_string(), reason; "cleared");
            self.report_blame(reason);
            self.quarantine_changed.notify_one();
            self.broadcast_crash(CrashMessage::Cleared { request: identity });
        }
        is_known
    }
}

fn suspect_part(suspect: &Suspect) -> Option<SuspectPart> {
    Some(SuspectPart { identity: suspect.identity, depth: suspect.depth? })
}

/// A request with the parts of its prompt.
fn suspects_of(identity: RequestIdentity, parts: &[Suspect]) -> Vec<Suspect> {
    std::iter::once(Suspect::request(identity)).chain(parts.iter().copied()).collect()
}
