//! Requests under which runners have ended, and which of them reach no runner any more.
//!
//! A request that ends whatever runs it comes again under new ids, at any node. Its identity
//! ([`crate::request_identity`]) is counted for each runner that ended while the request was under
//! way there, once a runner, whoever tells of it and however often. A request with
//! [`ENDS_TO_QUARANTINE`] such ends is in quarantine: no node sends it to a runner again.
//!
//! Dozens of sound requests are under way beside it at each end. They are told apart by what becomes
//! of them: a whole answer of a runner with success clears a request of all that was counted, since one
//! that ends runners never gets one. A failure clears nothing: a runner may fail what it has not run.
//!
//! What was counted lies in the store and outlives every node. Until it is there it is held here as
//! *unwritten*; other nodes' words are held as *told*, in case their node dies before it writes. A
//! first end is written a little later than it is told: most requests that were under way are
//! answered at another runner by then, and cost the store nothing. What is removed from the store, one
//! node removes: the one that has cleared the request, or for old ends the one with the authority.

use crate::ids::RunnerId;
use crate::request_identity::RequestIdentity;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Ends of runners under a request after which it reaches no runner any more: the users allow three,
/// and three repeats after the third has become known.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// Time for which the first end under a request waits before it is written, microseconds: a resumed
/// stream or a repeated request is mostly answered within it, and it is a third of the shortest time
/// after which the users' nodes count as in touch. Other nodes are told at once.
const FIRST_WRITE_DELAY_US: u64 = 1_000_000;
/// Entries that a transaction of the store takes.
pub const MOST_IN_A_WRITE: usize = 32;
/// Requests that are remembered. Each costs a runner's end; a day of the aim has some hundred.
pub const MOST_REQUESTS: usize = 4_096;
/// Time after which an end is forgotten, milliseconds: the users count over the rest of a day.
pub const REMEMBERED_MS: u64 = 24 * 60 * 60 * 1_000;

/// A runner ended while a request was under way there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct End {
    /// The request.
    pub request: RequestIdentity,
    /// The runner.
    pub runner: RunnerId,
}

/// What the store keeps of an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// When it was seen, milliseconds since 1970.
    pub at_ms: u64,
}

/// What a node tells all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashWord {
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

/// How an end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// This node has seen it and will write it at `due_us`.
    Unwritten { due_us: u64 },
    /// Another node has told of it.
    Told,
    /// It lies in the store.
    Stored,
}

#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    known: Known,
    record: EndRecord,
}

/// What a new end has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndChange {
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
    pub last_end_ms: u64,
}

/// All requests under which runners have ended, as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: HashMap<RequestIdentity, BTreeMap<RunnerId, KnownEnd>>,
    /// Entries of the store that are to be removed.
    to_remove: BTreeSet<End>,
    /// Entries of the store that there was no room for here.
    without_room: BTreeSet<End>,
}

impl Quarantine {
    /// Whether no runner has ended under any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// This node has seen an end.
    pub fn on_seen(&mut self, end: &End, at_ms: u64, now_us: u64) -> EndChange {
        let is_first = self.ends(end.request) == 0;
        let due_us = if is_first { now_us + FIRST_WRITE_DELAY_US } else { now_us };
        let record = EndRecord { at_ms };
        let change = self.count(end, KnownEnd { known: Known::Unwritten { due_us }, record });
        if change != EndChange::None && !is_first {
            self.hasten(end.request, now_us);
        }
        if self.ends(end.request) >= ENDS_TO_QUARANTINE {
            self.write_told(end.request, now_us);
        }
        change
    }

    /// What other nodes have told of a request in quarantine is written by the node that saw its last
    /// end too: they may have died before they wrote it.
    fn write_told(&mut self, request: RequestIdentity, now_us: u64) {
        let ends = self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut);
        for end in ends.filter(|end| end.known == Known::Told) {
            end.known = Known::Unwritten { due_us: now_us };
        }
    }

    /// Another node has told of an end.
    pub fn on_told(&mut self, end: &End, at_ms: u64, now_us: u64) -> EndChange {
        let record = EndRecord { at_ms };
        let change = self.count(end, KnownEnd { known: Known::Told, record });
        if change != EndChange::None {
            self.hasten(end.request, now_us);
        }
        change
    }

    /// The store has an end.
    pub fn on_stored(&mut self, end: &End, record: EndRecord) -> EndChange {
        // It was cleared here; a copy that lags, or is read anew, does not bring it back.
        if self.to_remove.contains(end) {
            return EndChange::None;
        }
        self.count(end, KnownEnd { known: Known::Stored, record })
    }

    fn count(&mut self, end: &End, known: KnownEnd) -> EndChange {
        let is_full = self.requests.len() >= MOST_REQUESTS;
        if is_full && !self.requests.contains_key(&end.request) {
            self.make_room();
        }
        let ends = self.requests.entry(end.request).or_default();
        let before = ends.insert(end.runner.clone(), known);
        match before {
            // What the store has is never taken for unwritten again.
            Some(before) if before.known == Known::Stored || known.known != Known::Stored => {
                ends.insert(end.runner.clone(), before);
                EndChange::None
            }
            Some(_) => EndChange::None,
            None if ends.len() == ENDS_TO_QUARANTINE => EndChange::Quarantined,
            None => EndChange::Counted,
        }
    }

    /// Forgets the request with the fewest ends, the oldest among equals: a flood of requests with
    /// one end each cannot free one that has more.
    fn make_room(&mut self) {
        let age =
            |ends: &BTreeMap<RunnerId, KnownEnd>| ends.values().map(|end| end.record.at_ms).max();
        let weakest = self.requests.iter().min_by_key(|(_, ends)| (ends.len(), age(ends)));
        let Some(request) = weakest.map(|(request, _)| *request) else { return };
        let stored = self.take_stored(request);
        self.without_room.extend(stored);
        while self.without_room.len() > MOST_REQUESTS {
            self.without_room.pop_last();
        }
    }

    /// Takes a request out; returns those of its ends that are in the store.
    fn take_stored(&mut self, request: RequestIdentity) -> Vec<End> {
        let ends = self.requests.remove(&request).unwrap_or_default();
        let stored = ends.into_iter().filter(|(_, end)| end.known == Known::Stored);
        stored.map(|(runner, _)| End { request, runner }).collect()
    }

    /// Ends of a request that wait to be written wait no longer: it is not the first any more.
    fn hasten(&mut self, request: RequestIdentity, now_us: u64) {
        for end in self.requests.get_mut(&request).into_iter().flat_map(BTreeMap::values_mut) {
            if let Known::Unwritten { due_us } = &mut end.known {
                *due_us = (*due_us).min(now_us);
            }
        }
    }

    /// The store has an end no more: the request was cleared, or the end is forgotten.
    pub fn on_removed(&mut self, end: &End) {
        self.to_remove.remove(end);
        if let Some(ends) = self.requests.get_mut(&end.request) {
            ends.remove(&end.runner);
            if ends.is_empty() {
                self.requests.remove(&end.request);
            }
        }
    }

    /// These are all ends in the store; others that were there are gone.
    pub fn on_all_stored(&mut self, stored: &[(End, EndRecord)]) {
        for ends in self.requests.values_mut() {
            ends.retain(|_, end| end.known != Known::Stored);
        }
        self.requests.retain(|_, ends| !ends.is_empty());
        for (end, record) in stored {
            self.on_stored(end, *record);
        }
    }

    /// Another node has cleared a request, and removes what the store has of it.
    pub fn on_cleared_elsewhere(&mut self, request: RequestIdentity) {
        self.requests.remove(&request);
    }

    /// A request is cleared of all ends. Returns whether there were any.
    pub fn clear(&mut self, request: RequestIdentity) -> bool {
        let is_known = self.requests.contains_key(&request);
        let stored = self.take_stored(request);
        self.to_remove.extend(stored);
        is_known
    }

    /// Runners that have ended under a request.
    pub fn ends(&self, request: RequestIdentity) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// Whether a request reaches no runner any more. `in_doubt`: runners that have broken it off just
    /// now and whose end is not proved; they count until it is known.
    pub fn holds<'a>(
        &self,
        request: RequestIdentity,
        in_doubt: impl Iterator<Item = &'a RunnerId>,
    ) -> bool {
        let ends = self.requests.get(&request);
        let is_counted = |runner: &&RunnerId| ends.is_some_and(|ends| ends.contains_key(*runner));
        let doubted = in_doubt.filter(|runner| !is_counted(runner)).count();
        ends.map_or(0, BTreeMap::len) + doubted >= ENDS_TO_QUARANTINE
    }

    /// Ends that are to be written now, one write's worth.
    pub fn due_writes(&self, now_us: u64) -> Vec<(End, EndRecord)> {
        let is_due =
            |known: Known| matches!(known, Known::Unwritten { due_us } if due_us <= now_us);
        let due = self.all().filter(|(_, end)| is_due(end.known));
        due.take(MOST_IN_A_WRITE).map(|(end, known)| (end, known.record)).collect()
    }

    /// When the next end is to be written, microseconds; `None`: none waits.
    pub fn next_write_us(&self) -> Option<u64> {
        let due =
            self.requests.values().flat_map(BTreeMap::values).filter_map(|end| match end.known {
                Known::Unwritten { due_us } => Some(due_us),
                _ => None,
            });
        due.min()
    }

    /// Entries that are to be removed from the store, one write's worth.
    pub fn due_removals(&self) -> Vec<End> {
        self.to_remove.iter().take(MOST_IN_A_WRITE).cloned().collect()
    }

    /// Ends were written. One whose request has been cleared meanwhile is to be removed again.
    pub fn on_written(&mut self, written: &[(End, EndRecord)]) {
        for (end, record) in written {
            if self.requests.get(&end.request).is_some_and(|ends| ends.contains_key(&end.runner)) {
                self.on_stored(end, *record);
            } else {
                self.to_remove.insert(end.clone());
            }
        }
    }

    /// Entries were removed from the store.
    pub fn on_removals_written(&mut self, removed: &[End]) {
        for end in removed {
            self.to_remove.remove(end);
        }
    }

    /// Has ends removed from the store that are older than [`REMEMBERED_MS`], or that there is no room for:
    /// the work of one node for all.
    pub fn tidy_store(&mut self, now_ms: u64) {
        self.to_remove.append(&mut self.without_room);
        let is_old = |end: &KnownEnd| now_ms > end.record.at_ms.saturating_add(REMEMBERED_MS);
        let old: Vec<End> = self.all().filter(|(_, end)| is_old(end)).map(|(end, _)| end).collect();
        for end in old {
            self.on_removed(&end);
            self.to_remove.insert(end);
        }
    }

    /// All requests under which runners have ended, those with most ends first.
    pub fn suspects(&self) -> Vec<SuspectRequest> {
        let suspect =
            |(identity, ends): (&RequestIdentity, &BTreeMap<RunnerId, KnownEnd>)| SuspectRequest {
                identity: *identity,
                quarantined: ends.len() >= ENDS_TO_QUARANTINE,
                runners: ends.keys().cloned().collect(),
                last_end_ms: ends.values().map(|end| end.record.at_ms).max().unwrap_or_default(),
            };
        let mut suspects: Vec<SuspectRequest> = self.requests.iter().map(suspect).collect();
        suspects.sort_by_key(|it| (std::cmp::Reverse(it.runners.len()), it.identity));
        suspects
    }

    fn all(&self) -> impl Iterator<Item = (End, KnownEnd)> + '_ {
        self.requests.iter().flat_map(|(request, ends)| {
            ends.iter()
                .map(|(runner, known)| (End { request: *request, runner: runner.clone() }, *known))
        })
    }
}
