//! Points in the history of the platform's store.
//!
//! The store counts its changes by a revision. It may come back from an older copy of itself: then it has lost what it
//! acknowledged since, and gives the same revisions out again. Each such return begins a new era, which the
//! store tells in its answers. So a revision orders changes only together with its era, and a bare number
//! has no order here.

use serde::{Deserialize, Serialize};

/// An era of the store. A later one begins when the store comes back from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u64);

impl StoreEra {
    /// No era was told: by a store that knows none, or by a node of a build that knows none.
    pub const UNKNOWN: Self = Self(0);

    /// An era by the number that the store tells, from 0 on; `None`: it is too large to count further.
    pub fn from_reported(number: u64) -> Option<Self> {
        number.checked_add(1).map(Self)
    }

    /// Whether the store, or the node whose word it is, told it.
    pub fn is_known(self) -> bool {
        self != Self::UNKNOWN
    }

    /// Whether nobody told it; for words between nodes, which leave it out then.
    pub fn is_unknown(&self) -> bool {
        !self.is_known()
    }

    /// The number that was told.
    pub fn reported_number(self) -> Option<u64> {
        self.0.checked_sub(1)
    }

    /// This era, or another one if it was not told.
    pub fn or(self, other: Self) -> Self {
        if self.is_known() {
            self
        } else {
            other
        }
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.reported_number() {
            Some(reported) => write!(formatter, "{reported}"),
            None => formatter.write_str("none"),
        }
    }
}

/// The number of a revision, which orders nothing without its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// As a condition: there is no such key.
    pub const ABSENT: Self = Self(0);
}

impl std::fmt::Display for RevisionNumber {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A point in the store's history. Whatever is of a later era is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// The revision that has a number in an era.
    pub fn new(era: StoreEra, number: RevisionNumber) -> Self {
        Self { era, number: number.0 }
    }

    /// The revision that has a number in a store that tells no eras.
    pub const fn without_era(number: u64) -> Self {
        Self { era: StoreEra::UNKNOWN, number }
    }

    /// Its era.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Its number, as the store gives it in this era.
    pub fn number(self) -> RevisionNumber {
        RevisionNumber(self.number)
    }

    /// The one after it.
    pub fn next(self) -> Self {
        Self { number: self.number + 1, ..self }
    }
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.era.is_known() {
            true => write!(formatter, "{}/{}", self.era, self.number),
            false => write!(formatter, "{}", self.number),
        }
    }
}

/// A lease of the store. Its number may be given to another holder in a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// The era in which it was granted.
    pub era: StoreEra,
    /// Its number, as the store gives it in this era.
    pub number: u64,
}

impl std::fmt::Display for StoreLease {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.number.fmt(formatter)
    }
}

/// What an answer of the store tells of its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The first era that is heard of.
    First,
    /// Nothing new.
    Unchanged,
    /// A later era has begun: the store came back from an older copy.
    Later {
        /// The era that was known before.
        before: StoreEra,
    },
    /// The answer is of an era that is over: it was late, or read from a copy that lags.
    Superseded,
    /// Answers have been of earlier eras alone for a time: another store is there, which counts its eras anew.
    Replaced {
        /// The era that was known before.
        before: StoreEra,
    },
}

/// Time for which a store's answers are of earlier eras alone until it is believed to be another one, microseconds: many
/// times as long as an answer may be on its way.
const STORE_REPLACED_AFTER_US: u64 = 15_000_000;

/// The eras of the store that a node has heard of from the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEras {
    first: StoreEra,
    current: StoreEra,
    /// When the current one was first heard of, microseconds.
    since_us: u64,
    /// Since when all answers were of earlier eras, microseconds; `None`: the last one was not.
    earlier_since_us: Option<u64>,
}

impl StoreEras {
    /// The era that the store is in, as far as is known.
    pub fn current(&self) -> StoreEra {
        self.current
    }

    /// When a node first heard of the current era, microseconds; `None`: the store tells no eras.
    pub fn since_us(&self) -> Option<u64> {
        self.current.is_known().then_some(self.since_us)
    }

    /// The store has answered in an era. One that is not told changes nothing.
    pub fn on_response(&mut self, era: StoreEra, now_us: u64) -> EraChange {
        if era.is_unknown() {
            return EraChange::Unchanged;
        }
        if era < self.current {
            return self.on_earlier_era(era, now_us);
        }
        self.earlier_since_us = None;
        if era == self.current {
            return EraChange::Unchanged;
        }
        let before = std::mem::replace(&mut self.current, era);
        self.since_us = now_us;
        if before.is_unknown() {
            self.first = era;
            return EraChange::First;
        }
        EraChange::Later { before }
    }

    fn on_earlier_era(&mut self, era: StoreEra, now_us: u64) -> EraChange {
        let since_us = *self.earlier_since_us.get_or_insert(now_us);
        if now_us < since_us + STORE_REPLACED_AFTER_US {
            return EraChange::Superseded;
        }
        let before = self.current;
        *self = Self { first: era, current: era, since_us: now_us, earlier_since_us: None };
        EraChange::Replaced { before }
    }

    /// The era of what another node tells. A build that knows no eras tells none: until the store has come back
    /// from an older copy its words are of the only era there is, and after that they are of one that is over.
    pub fn resolve_reported(&self, reported: StoreEra) -> StoreEra {
        reported.or(self.first)
    }
}
