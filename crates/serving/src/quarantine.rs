//! Tracks requests and prompt parts under which runners have crashed, and quarantines those that crash them
//! repeatedly.
//!
//! What is said of requests below applies to the parts of their prompts too. They are tracked side by side, each under its own
//! identity, as *suspects*; [`crate::blame`] determines which of them explain the crashes.
//!
//! A request that crashes every runner that executes it is retried under new ids, at any node.
//! Crashes are therefore counted by the identity of the request ([`crate::request_identity`]): one
//! for each runner that crashed while the request was in progress there, however many nodes report
//! it and however often. A request with [`CRASHES_TO_QUARANTINE`] crashes is quarantined: no node
//! sends it to a runner again.
//!
//! Dozens of harmless requests are in progress at each crash. Their outcome distinguishes them: a
//! complete, successful response from a runner clears a request of all its crashes, since a request
//! that crashes runners never gets one. An error response clears nothing, as a runner may fail a
//! request that it has not executed.
//!
//! Crashes are kept in the store and outlive every node. Until a crash is written there, the node
//! that observed it holds it as *unwritten*. Other nodes hold it as *reported*, in case that node
//! fails before it has written it. The first crash of a request is reported at once but written
//! after a delay: most of the requests in progress complete at another runner in that time, and
//! then cost no write. Only one node removes a crash from the store: the node that cleared the
//! request or, for expired crashes, the node with the authority.
//!
//! If the store is restored from a backup, nothing is undone: lost crashes are written again, and
//! crashes of cleared requests are ignored and removed again.

use crate::blame::{Blame, CrashSpan, SuspectCrashes, SuspectFacts, CRASHES_TO_BLAME};
use crate::crash_messages::{Crash, CrashRecord};
use crate::ids::RunnerId;
use crate::request_identity::{RequestIdentity, Suspect};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Number of crashes after which a request is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = CRASHES_TO_BLAME;
/// Delay before the first crash of a request is written, in microseconds. A resumed stream or a
/// repeated request mostly completes within it, and it is a third of the shortest time after which
/// nodes must count as in contact. Other nodes are notified at once.
const FIRST_WRITE_DELAY_US: u64 = 1_000_000;
/// Maximum number of entries in one store transaction.
pub const MAX_ENTRIES_PER_WRITE: usize = 32;
/// Maximum number of tracked requests. At the fleet size that the design aims for, 13 machines fail
/// per day; with four runners each and 64 requests in progress at each runner, that is an estimated
/// 3,300 requests.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;
/// Maximum number of remembered crashes of cleared requests, which a store restored from a backup
/// may bring back.
const MAX_CLEARED_CRASHES: usize = 4_096;
/// Time after which a crash expires, in milliseconds: crashes must count for the rest of a day.
pub const CRASH_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// Where a crash is known from, and whether it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashState {
    /// This node has observed it and writes it at `due_us`.
    Unwritten { due_us: u64 },
    /// Another node has reported it.
    Reported,
    /// It is in the store.
    Stored,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCrash {
    state: CrashState,
    record: CrashRecord,
}

/// The effect of recording a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// The crash was already known.
    None,
    /// The crash was not known before and is now counted.
    Counted,
    /// The crash was not known before. It is now counted, and the request is quarantined from now
    /// on.
    Quarantined,
}

/// A suspect whose quarantine has begun or ended because the blame was determined anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlameChange {
    /// Identity of the request or of the prompt part whose quarantine has begun or ended.
    pub identity: RequestIdentity,
    /// Whether it is blamed now.
    pub is_blamed: bool,
    /// Position of the part in its prompts; `None` for a whole request.
    pub depth: Option<u8>,
    /// Number of runners that have crashed under it.
    pub crashes: usize,
}

/// A request with crashes as it is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SuspectRequest {
    /// Identity under which the crashes are counted.
    pub identity: RequestIdentity,
    /// Position of the part in its prompts; `None` for a whole request.
    pub part_position: Option<u8>,
    /// Whether the request is no longer sent to runners.
    pub quarantined: bool,
    /// Runners that crashed while it was in progress.
    pub runners: Vec<RunnerId>,
    /// When the last of them crashed, in milliseconds since 1970.
    pub last_crash_ms: u64,
}

/// All requests during which runners have crashed, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: HashMap<RequestIdentity, BTreeMap<RunnerId, TrackedCrash>>,
    /// Stored crashes that this node is to remove from the store.
    to_remove: BTreeSet<Crash>,
    /// Stored crashes of requests that were evicted because the limit was reached.
    evicted: BTreeSet<Crash>,
    /// Crashes of cleared requests, the latest last.
    cleared: VecDeque<ClearedCrash>,
    /// What is known of the suspects that are parts.
    facts: HashMap<RequestIdentity, SuspectFacts>,
    blame: Blame,
    /// Changes of the blame that have not been reported to the caller yet.
    blame_changes: Vec<BlameChange>,
}

#[derive(Clone, Debug)]
struct ClearedCrash {
    crash: Crash,
    /// Whether this node cleared it, and so removes it from the store.
    is_own: bool,
}

impl Quarantine {
    /// Whether no request has crashes.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records a crash that this node has observed.
    pub fn on_observed(&mut self, crash: &Crash, at_ms: u64, now_us: u64) -> CrashChange {
        let is_first = self.crash_count(crash.request) == 0;
        let due_us = if is_first { now_us + FIRST_WRITE_DELAY_US } else { now_us };
        let record = self.record_of(crash, at_ms);
        let change =
            self.count(crash, TrackedCrash { state: CrashState::Unwritten { due_us }, record });
        if change != CrashChange::None && !is_first {
            self.expedite_writes(crash.request, now_us);
        }
        if self.crash_count(crash.request) >= CRASHES_TO_QUARANTINE {
            self.write_reported(crash.request, now_us);
            self.update_blame();
        }
        change
    }

    /// Records what is known of a suspect, before its crash is recorded. `was_proven` is set for a part on which a
    /// runner has completed a response.
    pub fn describe(&mut self, suspect: Suspect, was_proven: bool) {
        if suspect.depth.is_none() {
            return;
        }
        let facts = self.facts.entry(suspect.identity).or_default();
        facts.depth = suspect.depth;
        // A success before the first crash counts; a later one clears the part.
        facts.was_proven |= was_proven;
    }

    /// Records that other nodes have completed responses on a part with crashes. Returns whether that was not known.
    pub fn on_proven(&mut self, part: RequestIdentity) -> bool {
        let Some(facts) = self.facts.get_mut(&part) else { return false };
        let is_new = !std::mem::replace(&mut facts.was_proven, true);
        if is_new {
            self.update_blame();
        }
        is_new
    }

    /// Whether a part with crashes is known to have been proven before.
    pub fn is_proven(&self, part: RequestIdentity) -> bool {
        self.facts.get(&part).is_some_and(|facts| facts.was_proven)
    }

    fn record_of(&self, crash: &Crash, at_ms: u64) -> CrashRecord {
        let SuspectFacts { depth, was_proven } =
            self.facts.get(&crash.request).copied().unwrap_or_default();
        CrashRecord { at_ms, depth, was_proven }
    }

    /// Updates the blame after a change of one suspect's crashes. With too few crashes to be blamed, the suspect
    /// explains no crashes of others, so the blame stays the same.
    fn update_blame_if_relevant(&mut self, suspect: RequestIdentity) {
        if self.crash_count(suspect) >= CRASHES_TO_BLAME {
            self.update_blame();
        }
    }

    /// Determines anew which suspects are to blame.
    fn update_blame(&mut self) {
        let has_enough = |crashes: &BTreeMap<_, _>| crashes.len() >= CRASHES_TO_BLAME;
        let mut suspects =
            self.requests.iter().filter(|(_, crashes)| has_enough(crashes)).peekable();
        if suspects.peek().is_none() && self.blame.is_empty() {
            return;
        }
        let suspects = suspects.map(|(identity, crashes)| SuspectCrashes {
            identity: *identity,
            facts: self.facts.get(identity).copied().unwrap_or_default(),
            runners: crashes.keys().collect(),
            span: span_of(crashes),
        });
        let blame = Blame::of(suspects);
        let before = std::mem::replace(&mut self.blame, blame);
        let began = self.blame.blamed().filter(|it| !before.is_blamed(*it));
        let ended = before.blamed().filter(|it| !self.blame.is_blamed(*it));
        let change = |identity: RequestIdentity, is_blamed| BlameChange {
            identity,
            is_blamed,
            depth: self.facts.get(&identity).and_then(|facts| facts.depth),
            crashes: self.crash_count(identity),
        };
        let began = began.map(|identity| change(identity, true));
        let changes: Vec<BlameChange> =
            began.chain(ended.map(|identity| change(identity, false))).collect();
        self.blame_changes.extend(changes);
    }

    /// The suspects whose quarantine has begun or ended since the last call.
    pub fn take_blame_changes(&mut self) -> Vec<BlameChange> {
        std::mem::take(&mut self.blame_changes)
    }

    /// The first of the parts that is to blame for crashes; `None` if none is.
    pub fn blamed_part(&self, parts: &[Suspect]) -> Option<RequestIdentity> {
        let blamed = parts.iter().find(|part| self.blame.is_blamed(part.identity));
        blamed.map(|part| part.identity)
    }

    /// The suspects that share a crash with this one, itself included.
    pub fn suspects_beside(&self, identity: RequestIdentity) -> Vec<RequestIdentity> {
        let Some(crashes) = self.requests.get(&identity) else { return Vec::new() };
        let shares_crash = |others: &BTreeMap<RunnerId, TrackedCrash>| {
            others.keys().any(|runner| crashes.contains_key(runner))
        };
        let beside = self.requests.iter().filter(|(_, others)| shares_crash(others));
        beside.map(|(identity, _)| *identity).collect()
    }

    /// Whether a suspect that is blamed may be harmless.
    pub fn is_blame_uncertain(&self, identity: RequestIdentity) -> bool {
        self.blame.is_uncertain(identity)
    }

    /// Makes this node write the reported crashes of a quarantined request as well, after observing
    /// its last crash: the nodes that reported them may have failed before writing them.
    fn write_reported(&mut self, request: RequestIdentity, now_us: u64) {
        let crashes = self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut);
        for crash in crashes.filter(|crash| crash.state == CrashState::Reported) {
            crash.state = CrashState::Unwritten { due_us: now_us };
        }
    }

    /// Records a crash that another node has reported.
    pub fn on_reported(&mut self, crash: &Crash, at_ms: u64, now_us: u64) -> CrashChange {
        let record = self.record_of(crash, at_ms);
        let change = self.count(crash, TrackedCrash { state: CrashState::Reported, record });
        if change != CrashChange::None {
            self.expedite_writes(crash.request, now_us);
        }
        self.update_blame_if_relevant(crash.request);
        change
    }

    /// Records a crash that is in the store.
    pub fn on_stored(&mut self, crash: &Crash, record: CrashRecord) -> CrashChange {
        let change = self.count_stored(crash, record);
        self.update_blame_if_relevant(crash.request);
        change
    }

    fn count_stored(&mut self, crash: &Crash, record: CrashRecord) -> CrashChange {
        // This node has cleared it; an outdated or repeated snapshot must not bring it back.
        if self.to_remove.contains(crash) {
            return CrashChange::None;
        }
        let suspect = Suspect { identity: crash.request, depth: record.depth };
        self.describe(suspect, record.was_proven);
        self.count(crash, TrackedCrash { state: CrashState::Stored, record })
    }

    fn count(&mut self, crash: &Crash, known: TrackedCrash) -> CrashChange {
        let is_full = self.requests.len() >= MAX_TRACKED_REQUESTS;
        if is_full && !self.requests.contains_key(&crash.request) {
            self.evict_weakest();
        }
        let crashes = self.requests.entry(crash.request).or_default();
        let before = crashes.insert(crash.runner.clone(), known);
        match before {
            // A stored crash never becomes unwritten again.
            Some(before)
                if before.state == CrashState::Stored || known.state != CrashState::Stored =>
            {
                crashes.insert(crash.runner.clone(), before);
                CrashChange::None
            }
            Some(_) => CrashChange::None,
            None if crashes.len() == CRASHES_TO_QUARANTINE => CrashChange::Quarantined,
            None => CrashChange::Counted,
        }
    }

    /// Evicts the request with the fewest crashes, the oldest among equals. A flood of requests
    /// with one crash each cannot release a request that has more.
    fn evict_weakest(&mut self) {
        let age = |crashes: &BTreeMap<RunnerId, TrackedCrash>| {
            crashes.values().map(|crash| crash.record.at_ms).max()
        };
        let weakest = self.requests.iter().min_by_key(|(_, crashes)| (crashes.len(), age(crashes)));
        let Some(request) = weakest.map(|(request, _)| *request) else { return };
        let stored = self.remove_request(request);
        self.evicted.extend(stored);
        while self.evicted.len() > MAX_TRACKED_REQUESTS {
            self.evicted.pop_last();
        }
    }

    /// Removes a request and returns those of its crashes that are in the store.
    fn remove_request(&mut self, request: RequestIdentity) -> Vec<Crash> {
        let crashes = self.requests.remove(&request).unwrap_or_default();
        self.facts.remove(&request);
        let stored = crashes.into_iter().filter(|(_, crash)| crash.state == CrashState::Stored);
        stored.map(|(runner, _)| Crash { request, runner }).collect()
    }

    /// Ends the write delay of a request's crashes, as it now has more than one.
    fn expedite_writes(&mut self, request: RequestIdentity, now_us: u64) {
        for crash in self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut) {
            if let CrashState::Unwritten { due_us } = &mut crash.state {
                *due_us = (*due_us).min(now_us);
            }
        }
    }

    /// Records that a crash is no longer in the store: its request was cleared, or it has expired.
    pub fn on_removed(&mut self, crash: &Crash) {
        self.to_remove.remove(crash);
        if let Some(crashes) = self.requests.get_mut(&crash.request) {
            crashes.remove(&crash.runner);
            if crashes.is_empty() {
                self.remove_request(crash.request);
            }
        }
        self.update_blame();
    }

    /// Replaces the stored crashes by a full snapshot of the store.
    pub fn on_store_snapshot(&mut self, stored: &[(Crash, CrashRecord)]) {
        for crashes in self.requests.values_mut() {
            crashes.retain(|_, crash| crash.state != CrashState::Stored);
        }
        self.requests.retain(|_, crashes| !crashes.is_empty());
        for (crash, record) in stored {
            self.count_stored(crash, *record);
        }
        // This follows the count, since the snapshot may say less of its suspects than is known here.
        self.facts.retain(|identity, _| self.requests.contains_key(identity));
        self.update_blame();
    }

    /// Handles a snapshot of a store that was restored from a backup. Crashes that the store has
    /// lost are written again from `due_us` on, unless another node does so first.
    pub fn on_store_restored(&mut self, stored: &[(Crash, CrashRecord)], due_us: u64) {
        for crash in self.requests.values_mut().flat_map(BTreeMap::values_mut) {
            if crash.state == CrashState::Stored {
                crash.state = CrashState::Unwritten { due_us };
            }
        }
        for (crash, record) in stored {
            match self.cleared.iter().find(|cleared| cleared.crash == *crash) {
                Some(cleared) if cleared.is_own => drop(self.to_remove.insert(crash.clone())),
                Some(_) => {}
                None => drop(self.count_stored(crash, *record)),
            }
        }
        self.update_blame();
    }

    /// Records that another node has cleared a request. That node removes its crashes from the
    /// store.
    pub fn on_cleared_by_peer(&mut self, request: RequestIdentity) {
        self.remember_cleared(request, false);
        self.remove_request(request);
        self.update_blame();
    }

    fn remember_cleared(&mut self, request: RequestIdentity, is_own: bool) {
        let runners = self.requests.get(&request).into_iter().flat_map(BTreeMap::keys);
        let cleared = runners.map(|runner| Crash { request, runner: runner.clone() });
        self.cleared.extend(cleared.map(|crash| ClearedCrash { crash, is_own }));
        let surplus = self.cleared.len().saturating_sub(MAX_CLEARED_CRASHES);
        self.cleared.drain(..surplus);
    }

    /// Clears a request of all its crashes. Returns whether it had any.
    pub fn clear(&mut self, request: RequestIdentity) -> bool {
        let crashes = self.crash_count(request);
        let is_known = crashes > 0;
        self.remember_cleared(request, true);
        let stored = self.remove_request(request);
        self.to_remove.extend(stored);
        if crashes >= CRASHES_TO_BLAME {
            self.update_blame();
        }
        is_known
    }

    /// Number of runners that crashed while the request was in progress.
    pub fn crash_count(&self, request: RequestIdentity) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// Whether a request is no longer sent to runners. `suspected` are the runners at which it
    /// broke just now without a proven crash; they count until their state is known.
    pub fn is_quarantined<'a>(
        &self,
        request: RequestIdentity,
        suspected: impl Iterator<Item = &'a RunnerId>,
    ) -> bool {
        let crashes = self.requests.get(&request);
        let is_counted =
            |runner: &&RunnerId| crashes.is_some_and(|crashes| crashes.contains_key(*runner));
        let suspected_count = suspected.filter(|runner| !is_counted(runner)).count();
        if suspected_count == 0 {
            return self.blame.is_blamed(request);
        }
        let runners = crashes.into_iter().flat_map(BTreeMap::keys);
        let unexplained_count = runners.filter(|runner| !self.blame.explains(runner)).count();
        self.blame.is_blamed(request)
            || unexplained_count + suspected_count >= self.crashes_to_blame(request)
    }

    fn crashes_to_blame(&self, suspect: RequestIdentity) -> usize {
        self.facts.get(&suspect).copied().unwrap_or_default().crashes_to_blame()
    }

    /// Crashes to write now, at most one transaction's worth.
    pub fn due_writes(&self, now_us: u64) -> Vec<(Crash, CrashRecord)> {
        let is_due = |state: CrashState| matches!(state, CrashState::Unwritten { due_us } if due_us <= now_us);
        let due = self.all().filter(|(_, crash)| is_due(crash.state));
        let record = |(crash, known): (Crash, TrackedCrash)| {
            // Another node may have reported the part as proven since the crash.
            let record = self.record_of(&crash, known.record.at_ms);
            (crash, record)
        };
        due.take(MAX_ENTRIES_PER_WRITE).map(record).collect()
    }

    /// When the next crash is due to be written, in microseconds; `None` if none is unwritten.
    pub fn next_write_us(&self) -> Option<u64> {
        let due = self.requests.values().flat_map(BTreeMap::values).filter_map(|crash| match crash
            .state
        {
            CrashState::Unwritten { due_us } => Some(due_us),
            _ => None,
        });
        due.min()
    }

    /// Crashes to remove from the store, at most one transaction's worth.
    pub fn due_removals(&self) -> Vec<Crash> {
        self.to_remove.iter().take(MAX_ENTRIES_PER_WRITE).cloned().collect()
    }

    /// Records that crashes were written. If their request was cleared meanwhile, they are
    /// scheduled for removal.
    pub fn on_written(&mut self, written: &[(Crash, CrashRecord)]) {
        for (crash, record) in written {
            if self
                .requests
                .get(&crash.request)
                .is_some_and(|crashes| crashes.contains_key(&crash.runner))
            {
                self.on_stored(crash, *record);
            } else {
                self.to_remove.insert(crash.clone());
            }
        }
    }

    /// Records that crashes were removed from the store.
    pub fn on_removals_written(&mut self, removed: &[Crash]) {
        for crash in removed {
            self.to_remove.remove(crash);
        }
    }

    /// Schedules the removal of stored crashes that are older than [`CRASH_TTL_MS`] or whose
    /// request was evicted. One node does this for all.
    pub fn schedule_removals(&mut self, now_ms: u64) {
        self.to_remove.append(&mut self.evicted);
        let is_old =
            |crash: &TrackedCrash| now_ms > crash.record.at_ms.saturating_add(CRASH_TTL_MS);
        let old: Vec<Crash> =
            self.all().filter(|(_, crash)| is_old(crash)).map(|(crash, _)| crash).collect();
        for crash in old {
            self.on_removed(&crash);
            self.to_remove.insert(crash);
        }
    }

    /// All requests with crashes, those with the most crashes first.
    pub fn suspects(&self) -> Vec<SuspectRequest> {
        let suspect =
            |(identity, crashes): (&RequestIdentity, &BTreeMap<RunnerId, TrackedCrash>)| {
                SuspectRequest {
                    identity: *identity,
                    part_position: self.facts.get(identity).and_then(|facts| facts.depth),
                    quarantined: self.blame.is_blamed(*identity),
                    runners: crashes.keys().cloned().collect(),
                    last_crash_ms: crashes
                        .values()
                        .map(|crash| crash.record.at_ms)
                        .max()
                        .unwrap_or_default(),
                }
            };
        let mut suspects: Vec<SuspectRequest> = self.requests.iter().map(suspect).collect();
        suspects.sort_by_key(|it| (std::cmp::Reverse(it.runners.len()), it.identity));
        suspects
    }

    /// When a runner crashed last under a suspect, in milliseconds since 1970; `None` if none has.
    pub fn last_crash_ms(&self, identity: RequestIdentity) -> Option<u64> {
        self.requests.get(&identity)?.values().map(|crash| crash.record.at_ms).max()
    }

    fn all(&self) -> impl Iterator<Item = (Crash, TrackedCrash)> + '_ {
        self.requests.iter().flat_map(|(request, crashes)| {
            crashes.iter().map(|(runner, known)| {
                (Crash { request: *request, runner: runner.clone() }, *known)
            })
        })
    }
}

fn span_of(crashes: &BTreeMap<RunnerId, TrackedCrash>) -> CrashSpan {
    let times = || crashes.values().map(|crash| crash.record.at_ms);
    CrashSpan {
        first_ms: times().min().unwrap_or_default(),
        last_ms: times().max().unwrap_or_default(),
    }
}
