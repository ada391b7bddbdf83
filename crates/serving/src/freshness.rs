//! How fresh a node's copy of the store is, by its own answers and by other nodes' word.
//!
//! A watch that waits says nothing about whether it still works. Asking again and again costs
//! a call each time, at every node. So nodes tell each other up to which revision they know a
//! subject and how long ago the store confirmed that. A node whose copy reaches the last change
//! that any node has seen is as fresh as the freshest word, whatever its own watch does; one
//! that has heard nothing for a while asks the store itself, and what it learns spares the
//! others the same call. In a fleet the calls that only confirm therefore do not grow with it.
//!
//! Ages are handed on as ages, so clocks are never compared. A word that was held up on its way
//! is believed to be younger than it is, by that time; whoever believes it asks that much later,
//! counted from when it came.

use crate::store_replica::{StoreUpdate, Subject};
use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};

/// What a node tells of one subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// Revision of the last change that the node has seen.
    #[serde(rename = "c")]
    changed_at: RevisionNumber,
    /// The era of that revision. Builds that know no eras tell none.
    #[serde(rename = "e", default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
    /// Milliseconds since the store confirmed that there was none after it; `None`: never.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
}

impl FreshnessReport {
    /// A word that the last change was at a revision, as the store confirmed so long ago.
    pub fn new(changed_at: StoreRevision, age_ms: Option<u64>) -> Self {
        Self { changed_at: changed_at.number(), era: changed_at.era(), age_ms }
    }

    /// Revision of the last change that the node has seen, as a node takes it that has heard of these eras.
    pub fn changed_at(&self, eras: &StoreEras) -> StoreRevision {
        StoreRevision::new(eras.resolve_reported(self.era), self.changed_at)
    }
}

/// Whether a node's copy can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed lately.
    Fresh,
    /// Nobody has confirmed it lately.
    Unconfirmed,
    /// Another node has seen a later change for longer than a watch takes to tell.
    Behind,
}

/// Time that a node's own watch has to tell what another node has already seen, microseconds.
const WATCH_DELIVERY_TIMEOUT_US: u64 = 300_000;
/// Time for which a node that has read everything waits for another one's word on which change
/// was the last, before it tells its own bound: that makes nodes that know better ask.
const LAST_CHANGE_WAIT_US: u64 = 1_300_000;
/// Time without word from the store after which it counts as having been away, microseconds. While
/// all is well its word comes within 1.8 s on the users' deployments, and the first entries lapse
/// after three heartbeats of more than a second.
const STORE_AWAY_AFTER_US: u64 = 2_200_000;
/// Time after its return within which entries that lapsed are back, microseconds: the platform
/// promises about two seconds. A little less, as a runner that is gone for good may get no request
/// two seconds after its entry was seen to be gone.
const LAPSE_GRACE_US: u64 = 1_800_000;
/// Time after the last word of a later change within which it is believed that there is one, microseconds:
/// nodes repeat their words each second or some seconds, and one whose store has been replaced tells of
/// revisions that this node's store never had.
const REPORTED_CHANGE_TTL_US: u64 = 5_000_000;
/// Later changes that are remembered: a storm of three a second for as long as words are believed.
const MAX_REPORTED_CHANGES: usize = 16;
/// Added to an age for each time it is handed on, milliseconds.
const AGE_ADDED_PER_HOP_MS: u64 = 20;
const MICROS_PER_MILLI: u64 = 1_000;

/// A change that is not known here and that other nodes have told of.
#[derive(Clone, Copy, Debug)]
struct ReportedChange {
    revision: StoreRevision,
    first_us: u64,
    last_us: u64,
}

/// Freshness of a node's copy of one subject.
#[derive(Clone, Debug, Default)]
pub struct ReplicaFreshness {
    /// The subject is one entry, which is never removed: the revision of the entry tells the last change. Otherwise
    /// what was removed before everything was read does not show.
    is_single_entry: bool,
    known_to: StoreRevision,
    /// No change after this revision is known. After everything has been read that is the
    /// read's own revision, as what was removed before it does not show.
    changed_at: StoreRevision,
    /// When everything was read, until it is known better which change was the last.
    read_at_us: Option<u64>,
    confirmed_at_us: Option<u64>,
    /// When the store was heard of again after it had been away.
    store_back_at_us: Option<u64>,
    /// A later change that another node has seen, and when it was first told.
    ahead_elsewhere: Option<(StoreRevision, u64)>,
    /// Later changes that others have told of, the earliest first.
    reported: Vec<ReportedChange>,
}

impl ReplicaFreshness {
    /// Of a subject that is one entry.
    pub fn for_single_entry() -> Self {
        Self { is_single_entry: true, ..Self::default() }
    }

    /// The store has answered: everything up to a revision is known.
    pub fn on_store_response(&mut self, known_to: StoreRevision, now_us: u64) {
        self.known_to = known_to;
        // The store itself knows of no later change: what was told before is of another store.
        self.reported.clear();
        self.confirm(now_us, now_us);
        self.ahead_elsewhere = self.ahead_elsewhere.filter(|(revision, _)| *revision > known_to);
    }

    /// Everything has been read from the store.
    pub fn on_full_read(&mut self, update: &StoreUpdate, now_us: u64) {
        self.on_snapshot(update, now_us);
        self.on_store_response(update.known_to(), now_us);
    }

    /// All entries are known, as they stood at a revision.
    fn on_snapshot(&mut self, update: &StoreUpdate, now_us: u64) {
        let latest = update.entries.iter().map(|entry| update.revision_of(entry)).max();
        match latest.filter(|_| self.is_single_entry) {
            Some(revision) => {
                self.changed_at = revision;
                self.read_at_us = None;
            }
            None => {
                self.changed_at = update.known_to();
                self.read_at_us = Some(now_us);
            }
        }
    }

    /// Another node has handed on its copy, which the store confirmed so long ago.
    pub fn on_peer_update(&mut self, update: &StoreUpdate, age_ms: Option<u64>, now_us: u64) {
        if update.is_snapshot {
            self.on_snapshot(update, now_us);
        }
        // A word that left a change out would confirm copies that have not seen it.
        update.entries.iter().for_each(|entry| self.on_change(update.revision_of(entry)));
        self.known_to = self.known_to.max(update.known_to());
        let known_to = self.known_to;
        self.reported.retain(|change| change.revision > known_to);
        self.ahead_elsewhere = self.ahead_elsewhere.filter(|(revision, _)| *revision > known_to);
        let Some(age_ms) = age_ms else { return };
        let confirmed_at_us =
            now_us.saturating_sub((age_ms + AGE_ADDED_PER_HOP_MS) * MICROS_PER_MILLI);
        self.confirm(confirmed_at_us, now_us);
    }

    /// The store confirmed the copy at a time that has been learnt now.
    fn confirm(&mut self, at_us: u64, now_us: u64) {
        if self.confirmed_at_us.is_some_and(|before_us| at_us > before_us + STORE_AWAY_AFTER_US) {
            self.store_back_at_us = Some(now_us);
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
    }

    /// The store has come back from an older copy: entries that it lacks may be written again.
    pub fn on_later_era(&mut self, now_us: u64) {
        self.store_back_at_us = Some(now_us);
    }

    /// Until when an entry that is gone may only have lapsed while the store was away; `None`: the
    /// store has been there, and whoever is gone from it is gone.
    pub fn lapse_grace_until_us(&self, now_us: u64) -> Option<u64> {
        if self.confirmed_at_us.is_some_and(|at_us| now_us > at_us + STORE_AWAY_AFTER_US) {
            return Some(now_us + LAPSE_GRACE_US);
        }
        let until_us = self.store_back_at_us.map(|at_us| at_us + LAPSE_GRACE_US);
        until_us.filter(|until_us| now_us < *until_us)
    }

    /// Milliseconds since the store confirmed the copy; `None`: it never has.
    pub fn confirmed_age_ms(&self, now_us: u64) -> Option<u64> {
        let age_us = self.confirmed_at_us.map(|at_us| now_us.saturating_sub(at_us));
        age_us.map(|age_us| age_us / MICROS_PER_MILLI)
    }

    /// A change has been told by a watch.
    pub fn on_change(&mut self, revision: StoreRevision) {
        if revision > self.changed_at {
            self.changed_at = revision;
            self.read_at_us = None;
        }
    }

    /// Another node's word. One that has seen no change that is unknown here confirms the copy, unless it is of an
    /// era that is over: then it does not know what was written since.
    pub fn on_report(&mut self, report: FreshnessReport, eras: &StoreEras, now_us: u64) {
        let changed_at = report.changed_at(eras);
        if changed_at > self.known_to {
            self.on_reported_change(changed_at, now_us);
            let first_us = self.ahead_elsewhere.map_or(now_us, |(_, first_us)| first_us);
            let highest = self.ahead_elsewhere.map_or(changed_at, |(revision, _)| revision);
            self.ahead_elsewhere = Some((highest.max(changed_at), first_us));
            return;
        }
        if changed_at.era() < self.known_to.era() {
            return;
        }
        let Some(age_ms) = report.age_ms else { return };
        let confirmed_at_us =
            now_us.saturating_sub((age_ms + AGE_ADDED_PER_HOP_MS) * MICROS_PER_MILLI);
        self.confirm(confirmed_at_us, now_us);
        // Confirmed after everything was read here: nothing has changed in between.
        if self.read_at_us.is_some_and(|read_at_us| read_at_us < confirmed_at_us) {
            self.changed_at = changed_at;
            self.read_at_us = None;
        }
    }

    fn on_reported_change(&mut self, revision: StoreRevision, now_us: u64) {
        self.reported.retain(|change| now_us < change.last_us + REPORTED_CHANGE_TTL_US);
        // Whoever has seen a change has seen those before it.
        let earlier = self.reported.iter_mut().filter(|change| change.revision <= revision);
        earlier.for_each(|change| change.last_us = now_us);
        let is_known = self.reported.iter().any(|change| change.revision == revision);
        if !is_known && self.reported.len() < MAX_REPORTED_CHANGES {
            self.reported.push(ReportedChange { revision, first_us: now_us, last_us: now_us });
        }
    }

    /// For how long others have told of a change that is not known here, microseconds; `None`: nobody
    /// does, or the store itself has said since that there is none.
    pub fn behind_for_us(&self, now_us: u64) -> Option<u64> {
        let current =
            self.reported.iter().filter(|change| now_us < change.last_us + REPORTED_CHANGE_TTL_US);
        let first_us = current.map(|change| change.first_us).min()?;
        Some(now_us.saturating_sub(first_us))
    }

    /// What to tell the other nodes.
    pub fn report(&self, now_us: u64) -> FreshnessReport {
        if self.read_at_us.is_some_and(|read_at_us| now_us < read_at_us + LAST_CHANGE_WAIT_US) {
            return FreshnessReport::default();
        }
        FreshnessReport::new(self.changed_at, self.confirmed_age_ms(now_us))
    }

    /// Whether another node has seen a later change for longer than a watch takes to tell.
    pub fn is_behind(&self, now_us: u64) -> bool {
        let is_overdue =
            |(_, first_us): (StoreRevision, u64)| now_us >= first_us + WATCH_DELIVERY_TIMEOUT_US;
        self.ahead_elsewhere.is_some_and(is_overdue)
    }

    /// Whether the copy can be relied on, if a confirmation holds for so long.
    pub fn assess(&self, now_us: u64, confirmation_ttl_us: u64) -> Freshness {
        if self.is_behind(now_us) {
            return Freshness::Behind;
        }
        match self.confirmed_at_us {
            Some(at_us) if now_us < at_us + confirmation_ttl_us => Freshness::Fresh,
            _ => Freshness::Unconfirmed,
        }
    }

    /// The store was asked because another node was ahead; it is given time again.
    pub fn on_store_queried(&mut self, now_us: u64) {
        if let Some((revision, _)) = self.ahead_elsewhere {
            self.ahead_elsewhere = Some((revision, now_us));
        }
    }
}

/// Freshness of a node's copies.
#[derive(Clone, Debug)]
pub struct StoreFreshness {
    /// The operators' configuration.
    pub configuration: ReplicaFreshness,
    /// The runners' entries.
    pub runners: ReplicaFreshness,
    /// Requests under which runners have ended.
    pub crashes: ReplicaFreshness,
}

impl Default for StoreFreshness {
    fn default() -> Self {
        Self {
            configuration: ReplicaFreshness::for_single_entry(),
            runners: ReplicaFreshness::default(),
            crashes: ReplicaFreshness::default(),
        }
    }
}

/// What a node tells of its copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFreshnessReport {
    /// The operators' configuration.
    #[serde(rename = "f")]
    pub configuration: FreshnessReport,
    /// The runners' entries.
    #[serde(rename = "r")]
    pub runners: FreshnessReport,
    /// Requests under which runners have ended.
    #[serde(rename = "q", default)]
    pub crashes: FreshnessReport,
}

impl StoreFreshness {
    /// The copy of a subject.
    pub fn replica(&self, subject: Subject) -> &ReplicaFreshness {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// The copy of a subject, to be changed.
    pub fn replica_mut(&mut self, subject: Subject) -> &mut ReplicaFreshness {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }

    /// What to tell the other nodes.
    pub fn report(&self, now_us: u64) -> StoreFreshnessReport {
        StoreFreshnessReport {
            configuration: self.configuration.report(now_us),
            runners: self.runners.report(now_us),
            crashes: self.crashes.report(now_us),
        }
    }

    /// Another node's word.
    pub fn on_report(&mut self, report: &StoreFreshnessReport, eras: &StoreEras, now_us: u64) {
        self.configuration.on_report(report.configuration, eras, now_us);
        self.runners.on_report(report.runners, eras, now_us);
        self.crashes.on_report(report.crashes, eras, now_us);
    }

    /// The store has come back from an older copy.
    pub fn on_later_era(&mut self, now_us: u64) {
        Subject::ALL.into_iter().for_each(|subject| self.replica_mut(subject).on_later_era(now_us));
    }
}
