//! Requests under which runners have ended, and which of them reach no runner any more.
//!
//! A request that crashes whatever runs it comes again under new ids, at any node. Its identity
//! ([`crate::request_identity`]) is counted for each runner that ended while the request was under
//! way there, once a runner, whoever tells of it and however often. A request with
//! [`CRASHES_TO_QUARANTINE`] such crashes is in quarantine: no node sends it to a runner again.
//!
//! Dozens of sound requests are under way beside it at each crash. They are told apart by what becomes
//! of them: a whole answer of a runner with success clears a request of all that was counted, since one
//! that crashes runners never gets one. A failure clears nothing: a runner may fail what it has not run.
//!
//! What was counted lies in the store and outlives every node. Until it is there it is held here as
//! *unwritten*; other nodes' words are held as *told*, in case their node dies before it writes. A
//! first crash is written a little later than it is told: most requests that were under way are
//! answered at another runner by then, and cost the store nothing. What is removed from the store, one
//! node removes: the one that has cleared the request, or for old crashes the one with the authority.
//!
//! A store that comes back from an older copy of itself takes nothing back: what it has lost is written again, and what
//! was cleared is passed over and removed again.

use crate::ids::RunnerId;
use crate::request_identity::RequestIdentity;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Crashes of runners under a request after which it reaches no runner any more: the users allow three,
/// and three repeats after the third has become known.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Time for which the first crash under a request waits before it is written, microseconds: a resumed
/// stream or a repeated request is mostly answered within it, and it is a third of the shortest time
/// after which the users' nodes count as in touch. Other nodes are told at once.
const FIRST_WRITE_DELAY_US: u64 = 1_000_000;
/// Entries that a transaction of the store takes.
pub const MAX_ENTRIES_PER_WRITE: usize = 32;
/// Requests that are remembered. On a day of the aim (letter 1) 13 machines fail: with four runners each
/// and 64 requests under way at each some 3,300 requests, worked out.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;
/// Crashes of cleared requests that are remembered, in case an older copy of the store brings them back.
const MAX_CLEARED_CRASHES: usize = 4_096;
/// Time after which a crash is forgotten, milliseconds: the users count over the rest of a day.
pub const CRASH_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// A runner ended while a request was under way there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// The request.
    pub request: RequestIdentity,
    /// The runner.
    pub runner: RunnerId,
}

/// What the store keeps of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// When it was seen, milliseconds since 1970.
    pub at_ms: u64,
}

/// What a node tells all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// A runner ended with these requests under way.
    #[serde(rename = "ended")]
    Ended {
        /// The runner.
        #[serde(rename = "r")]
        runner: RunnerId,
        /// The requests.
        #[serde(rename = "q")]
        requests: Vec<RequestIdentity>,
    },
    /// A request is cleared: a runner answered it, or an operator lifted its quarantine.
    #[serde(rename = "cleared")]
    Cleared {
        /// The request.
        #[serde(rename = "q")]
        request: RequestIdentity,
    },
}

/// How a crash is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashState {
    /// This node has seen it and will write it at `due_us`.
    Unwritten { due_us: u64 },
    /// Another node has told of it.
    Reported,
    /// It lies in the store.
    Stored,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCrash {
    state: CrashState,
    record: CrashRecord,
}

/// What a new crash has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// It was known already.
    None,
    /// It is counted.
    Counted,
    /// With it the request is in quarantine.
    Quarantined,
}

/// A request as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SuspectRequest {
    /// Its identity.
    pub identity: RequestIdentity,
    /// Whether it reaches no runner any more.
    pub quarantined: bool,
    /// Runners that ended under it.
    pub runners: Vec<RunnerId>,
    /// When the last one did, milliseconds since 1970.
    pub last_crash_ms: u64,
}

/// All requests under which runners have ended, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: HashMap<RequestIdentity, BTreeMap<RunnerId, TrackedCrash>>,
    /// Entries of the store that are to be removed.
    to_remove: BTreeSet<Crash>,
    /// Entries of the store that there was no room for here.
    evicted: BTreeSet<Crash>,
    /// Crashes of requests that were cleared, the latest last.
    cleared: VecDeque<ClearedCrash>,
}

#[derive(Clone, Debug)]
struct ClearedCrash {
    crash: Crash,
    /// Whether this node has cleared it, and removes it from the store.
    is_own: bool,
}

impl Quarantine {
    /// Whether no runner has ended under any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// This node has seen a crash.
    pub fn on_observed(&mut self, crash: &Crash, at_ms: u64, now_us: u64) -> CrashChange {
        let is_first = self.crash_count(crash.request) == 0;
        let due_us = if is_first { now_us + FIRST_WRITE_DELAY_US } else { now_us };
        let record = CrashRecord { at_ms };
        let change =
            self.count(crash, TrackedCrash { state: CrashState::Unwritten { due_us }, record });
        if change != CrashChange::None && !is_first {
            self.expedite_writes(crash.request, now_us);
        }
        if self.crash_count(crash.request) >= CRASHES_TO_QUARANTINE {
            self.write_reported(crash.request, now_us);
        }
        change
    }

    /// What other nodes have told of a request in quarantine is written by the node that saw its last
    /// crash too: they may have died before they wrote it.
    fn write_reported(&mut self, request: RequestIdentity, now_us: u64) {
        let crashes = self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut);
        for crash in crashes.filter(|crash| crash.state == CrashState::Reported) {
            crash.state = CrashState::Unwritten { due_us: now_us };
        }
    }

    /// Another node has told of a crash.
    pub fn on_reported(&mut self, crash: &Crash, at_ms: u64, now_us: u64) -> CrashChange {
        let record = CrashRecord { at_ms };
        let change = self.count(crash, TrackedCrash { state: CrashState::Reported, record });
        if change != CrashChange::None {
            self.expedite_writes(crash.request, now_us);
        }
        change
    }

    /// The store has a crash.
    pub fn on_stored(&mut self, crash: &Crash, record: CrashRecord) -> CrashChange {
        // It was cleared here; a copy that lags, or is read anew, does not bring it back.
        if self.to_remove.contains(crash) {
            return CrashChange::None;
        }
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
            // What the store has is never taken for unwritten again.
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

    /// Forgets the request with the fewest crashes, the oldest among equals: a flood of requests with
    /// one crash each cannot free one that has more.
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

    /// Takes a request out; returns those of its crashes that are in the store.
    fn remove_request(&mut self, request: RequestIdentity) -> Vec<Crash> {
        let crashes = self.requests.remove(&request).unwrap_or_default();
        let stored = crashes.into_iter().filter(|(_, crash)| crash.state == CrashState::Stored);
        stored.map(|(runner, _)| Crash { request, runner }).collect()
    }

    /// Crashes of a request that wait to be written wait no longer: it is not the first any more.
    fn expedite_writes(&mut self, request: RequestIdentity, now_us: u64) {
        for crash in self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut) {
            if let CrashState::Unwritten { due_us } = &mut crash.state {
                *due_us = (*due_us).min(now_us);
            }
        }
    }

    /// The store has a crash no more: the request was cleared, or the crash is forgotten.
    pub fn on_removed(&mut self, crash: &Crash) {
        self.to_remove.remove(crash);
        if let Some(crashes) = self.requests.get_mut(&crash.request) {
            crashes.remove(&crash.runner);
            if crashes.is_empty() {
                self.requests.remove(&crash.request);
            }
        }
    }

    /// These are all crashes in the store; others that were there are gone.
    pub fn on_store_snapshot(&mut self, stored: &[(Crash, CrashRecord)]) {
        for crashes in self.requests.values_mut() {
            crashes.retain(|_, crash| crash.state != CrashState::Stored);
        }
        self.requests.retain(|_, crashes| !crashes.is_empty());
        for (crash, record) in stored {
            self.on_stored(crash, *record);
        }
    }

    /// These are all crashes in a store that has come back from an older copy. What it has lost is written again from
    /// `due_us` on, unless another node does so sooner.
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
                None => drop(self.on_stored(crash, *record)),
            }
        }
    }

    /// Another node has cleared a request, and removes what the store has of it.
    pub fn on_cleared_by_peer(&mut self, request: RequestIdentity) {
        self.remember_cleared(request, false);
        self.requests.remove(&request);
    }

    fn remember_cleared(&mut self, request: RequestIdentity, is_own: bool) {
        let runners = self.requests.get(&request).into_iter().flat_map(BTreeMap::keys);
        let cleared = runners.map(|runner| Crash { request, runner: runner.clone() });
        self.cleared.extend(cleared.map(|crash| ClearedCrash { crash, is_own }));
        let surplus = self.cleared.len().saturating_sub(MAX_CLEARED_CRASHES);
        self.cleared.drain(..surplus);
    }

    /// A request is cleared of all crashes. Returns whether there were any.
    pub fn clear(&mut self, request: RequestIdentity) -> bool {
        let is_known = self.requests.contains_key(&request);
        self.remember_cleared(request, true);
        let stored = self.remove_request(request);
        self.to_remove.extend(stored);
        is_known
    }

    /// Runners that have ended under a request.
    pub fn crash_count(&self, request: RequestIdentity) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// Whether a request reaches no runner any more. `in_doubt`: runners that have broken it off just
    /// now and whose crash is not proved; they count until it is known.
    pub fn is_quarantined<'a>(
        &self,
        request: RequestIdentity,
        suspected: impl Iterator<Item = &'a RunnerId>,
    ) -> bool {
        let crashes = self.requests.get(&request);
        let is_counted =
            |runner: &&RunnerId| crashes.is_some_and(|crashes| crashes.contains_key(*runner));
        let suspected_count = suspected.filter(|runner| !is_counted(runner)).count();
        crashes.map_or(0, BTreeMap::len) + suspected_count >= CRASHES_TO_QUARANTINE
    }

    /// Crashes that are to be written now, one write's worth.
    pub fn due_writes(&self, now_us: u64) -> Vec<(Crash, CrashRecord)> {
        let is_due = |state: CrashState| matches!(state, CrashState::Unwritten { due_us } if due_us <= now_us);
        let due = self.all().filter(|(_, crash)| is_due(crash.state));
        due.take(MAX_ENTRIES_PER_WRITE).map(|(crash, known)| (crash, known.record)).collect()
    }

    /// When the next crash is to be written, microseconds; `None`: none waits.
    pub fn next_write_us(&self) -> Option<u64> {
        let due = self.requests.values().flat_map(BTreeMap::values).filter_map(|crash| match crash
            .state
        {
            CrashState::Unwritten { due_us } => Some(due_us),
            _ => None,
        });
        due.min()
    }

    /// Entries that are to be removed from the store, one write's worth.
    pub fn due_removals(&self) -> Vec<Crash> {
        self.to_remove.iter().take(MAX_ENTRIES_PER_WRITE).cloned().collect()
    }

    /// Crashes were written. One whose request has been cleared meanwhile is to be removed again.
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

    /// Entries were removed from the store.
    pub fn on_removals_written(&mut self, removed: &[Crash]) {
        for crash in removed {
            self.to_remove.remove(crash);
        }
    }

    /// Has crashes removed from the store that are older than [`REMEMBERED_MS`], or that there is no room for:
    /// the work of one node for all.
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

    /// All requests under which runners have ended, those with most crashes first.
    pub fn suspects(&self) -> Vec<SuspectRequest> {
        let suspect =
            |(identity, crashes): (&RequestIdentity, &BTreeMap<RunnerId, TrackedCrash>)| {
                SuspectRequest {
                    identity: *identity,
                    quarantined: crashes.len() >= CRASHES_TO_QUARANTINE,
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

    fn all(&self) -> impl Iterator<Item = (Crash, TrackedCrash)> + '_ {
        self.requests.iter().flat_map(|(request, crashes)| {
            crashes.iter().map(|(runner, known)| {
                (Crash { request: *request, runner: runner.clone() }, *known)
            })
        })
    }
}
