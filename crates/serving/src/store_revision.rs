//! Points in the history of the platform's store.
//!
//! The store counts its changes by a revision. A store that is restored from a backup loses the
//! changes that it acknowledged after the backup and assigns the same revisions again. Each such
//! restore begins a new era, which the store reports in its responses. A revision therefore orders
//! changes only together with its era, and a bare number has no order here.

use serde::{Deserialize, Serialize};

/// An era of the store. A later era begins when the store is restored from a backup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era was not reported, by a store or by a node of a build that does not support eras.
    pub const UNKNOWN: Self = Self(0);

    /// The era with the number that the store reports, counted from 0; `None` if the number is too
    /// large to represent.
    pub fn from_reported(number: u64) -> Option<Self> {
        number.checked_add(1).map(Self)
    }

    /// Whether the store, or the node that sent a message, reported the era.
    pub fn is_known(self) -> bool {
        self != Self::UNKNOWN
    }

    /// Whether the era was not reported. Messages between nodes leave the era out in that case.
    pub fn is_unknown(&self) -> bool {
        !self.is_known()
    }

    /// The number that the store reported; `None` if the era is unknown.
    pub fn reported_number(self) -> Option<u64> {
        self.0.checked_sub(1)
    }

    /// This era if it is known, otherwise `other`.
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

/// The number of a revision, which has no order without its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// As a condition of a write: the key does not exist.
    pub const ABSENT: Self = Self(0);
}

impl std::fmt::Display for RevisionNumber {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A point in the store's history. Every revision of a later era is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// The revision with this number in this era.
    pub fn new(era: StoreEra, number: RevisionNumber) -> Self {
        Self { era, number: number.0 }
    }

    /// The revision with this number in a store that does not support eras.
    pub const fn without_era(number: u64) -> Self {
        Self { era: StoreEra::UNKNOWN, number }
    }

    /// The era of the revision.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// The number that the store assigns to the revision within its era.
    pub fn number(self) -> RevisionNumber {
        RevisionNumber(self.number)
    }

    /// The next revision of the same era.
    pub fn next(self) -> Self {
        Self { number: self.number.saturating_add(1), ..self }
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

/// A lease of the store. The store may assign its number to another holder in a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// The era in which the lease was granted.
    pub era: StoreEra,
    /// The number that the store assigns to the lease within its era.
    pub number: u64,
}

impl std::fmt::Display for StoreLease {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.number.fmt(formatter)
    }
}

/// What a response of the store shows about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The first era that this node observes.
    First,
    /// The era is the current one, or was not reported.
    Unchanged,
    /// A later era has begun: the store was restored from a backup.
    Later {
        /// The era that was current until now.
        before: StoreEra,
    },
    /// The response is of an earlier era: it was delayed, or read from a replica that lags.
    Superseded,
    /// Only earlier eras have been observed for many times as long as a response can be under way:
    /// another store, which counts its own eras, has taken this one's place.
    Replaced {
        /// The era that was current until now.
        before: StoreEra,
    },
}

/// Time for which all responses must be of earlier eras before the store counts as replaced, in
/// microseconds. It is many times as long as a response can be under way.
const STORE_REPLACED_AFTER_US: u64 = 15_000_000;

/// The eras that a node has observed in the store's own responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEras {
    first: StoreEra,
    current: StoreEra,
    /// Time at which the current era was first observed, in microseconds.
    since_us: u64,
    /// Time since which all responses have been of earlier eras, in microseconds; `None` if the
    /// last one was not.
    earlier_since_us: Option<u64>,
}

impl StoreEras {
    /// The latest era that is known.
    pub fn current(&self) -> StoreEra {
        self.current
    }

    /// Time at which the current era was first observed, in microseconds; `None` if the store
    /// reports no eras.
    pub fn since_us(&self) -> Option<u64> {
        self.current.is_known().then_some(self.since_us)
    }

    /// Records the era of a response of the store. An era that was not reported changes nothing.
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

    /// The era that another node's message refers to. A build without support for eras leaves it
    /// out: its revisions are of the first era that was observed, which is the only one until the
    /// store is restored from a backup, and a past one after that.
    pub fn resolve_reported(&self, reported: StoreEra) -> StoreEra {
        reported.or(self.first)
    }
}
