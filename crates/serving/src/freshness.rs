//! How fresh a node's replica of the store is, from the store's responses and from other nodes'
//! reports.
//!
//! A watch that waits for a change does not show whether it still works, and polling the store
//! costs a call each time, at every node. Nodes therefore report to each other the last change of a
//! subject that they have received, and how long ago the store confirmed that it was the last. A
//! replica that includes the last change received by any node is as fresh as the freshest report,
//! whatever the state of its own watch. A node that has received no confirmation for a while
//! queries the store itself, and its report spares the others the same call, so the number of calls
//! that only confirm does not grow with the fleet.
//!
//! Reports carry ages, so clocks are never compared. A report that was delayed on its way makes a
//! confirmation look younger by the delay; its receiver queries the store later by as much, counted
//! from the arrival.

use crate::report_time::ReportTime;
use crate::store_replica::{StoreUpdate, Subject};
use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};

/// A node's report on its replica of one subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// Revision of the last change that the node has received.
    #[serde(rename = "c")]
    changed_at: RevisionNumber,
    /// Era of that revision. Builds without support for eras leave it out.
    #[serde(rename = "e", default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
    /// Time since the store confirmed that there was no later change, in milliseconds; `None`: it
    /// never has.
    #[serde(rename = "a")]
    #[serde(deserialize_with = "crate::bounded::optional_time_ms", default)]
    pub age_ms: Option<u64>,
}

impl FreshnessReport {
    /// A report that the last change was at `changed_at`, as the store confirmed `age_ms` ago.
    pub fn new(changed_at: StoreRevision, age_ms: Option<u64>) -> Self {
        Self { changed_at: changed_at.number(), era: changed_at.era(), age_ms }
    }

    /// Revision of the last change that the node has received; `eras` resolves an era that was left
    /// out.
    pub fn changed_at(&self, eras: &StoreEras) -> StoreRevision {
        StoreRevision::new(eras.resolve_reported(self.era), self.changed_at)
    }
}

/// Whether a node's replica can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The replica was confirmed within the time for which a confirmation holds.
    Fresh,
    /// No confirmation within that time.
    Unconfirmed,
    /// Another node has received a later change, and this node's watch did not deliver it in time.
    Behind,
}

/// Time that a node's own watch has to deliver a change that another node has already received, in
/// microseconds.
const WATCH_DELIVERY_TIMEOUT_US: u64 = 300_000;
/// Time for which a node that has read all entries waits for another node's report of the last
/// change, before it reports the revision of its read, in microseconds. That revision is an upper
/// bound, which makes nodes with better knowledge query the store.
const LAST_CHANGE_WAIT_US: u64 = 1_300_000;
/// Time without a response of the store after which the store counts as having been unavailable, if there is a
/// sign that it did not respond when it was called, in microseconds. In normal operation a response comes
/// within 1.8 s on the users' deployments, and the first entries lapse after three missed heartbeats of more
/// than a second each.
const STORE_UNAVAILABLE_AFTER_US: u64 = 2_200_000;
/// Time after the store's return within which lapsed entries are written again, in microseconds.
/// The platform promises about two seconds. The value is a little lower, since a runner that is
/// gone for good must receive no request two seconds after its entry was found missing.
const LAPSE_GRACE_US: u64 = 1_800_000;
/// Time after the last report of a later change for which the change is assumed to exist, in
/// microseconds. Nodes repeat their reports every one to several seconds, and a node whose store
/// was replaced reports revisions that this node's store never had.
const REPORTED_CHANGE_TTL_US: u64 = 5_000_000;
/// Reported later changes that are remembered: three changes a second for as long as a report
/// holds.
const MAX_REPORTED_CHANGES: usize = 16;
/// Time added to an age for each hop between nodes, in milliseconds.
const AGE_ADDED_PER_HOP_MS: u64 = 20;
const MICROS_PER_MILLI: u64 = 1_000;

/// Time of a confirmation that another node reports at `now_us` to be `age_ms` old.
fn reported_confirmation(age_ms: u64, now_us: u64) -> ReportTime {
    let age_us = (age_ms + AGE_ADDED_PER_HOP_MS).saturating_mul(MICROS_PER_MILLI);
    ReportTime::before(now_us, age_us)
}

/// A change that other nodes have reported and that this node does not know.
#[derive(Clone, Copy, Debug)]
struct ReportedChange {
    revision: StoreRevision,
    first_us: u64,
    last_us: u64,
}

/// Freshness of a node's replica of one subject.
#[derive(Clone, Debug, Default)]
pub struct ReplicaFreshness {
    /// The subject consists of one entry that is never removed, so the revision of the entry is the
    /// last change. For other subjects a snapshot does not show removals before it.
    is_single_entry: bool,
    known_to: StoreRevision,
    /// Revision of the last known change. After a read of all entries it is the revision of the
    /// read, since the read does not show earlier removals.
    changed_at: StoreRevision,
    /// Time of the last read of all entries, until the last change is known exactly; in
    /// microseconds.
    read_at_us: Option<u64>,
    confirmed_at: Option<ReportTime>,
    /// Time of the last sign that the store did not respond to a call, in microseconds.
    store_silent_at_us: Option<u64>,
    /// Time of the first confirmation after the store was unavailable, in microseconds.
    store_back_at_us: Option<u64>,
    /// The latest change that another node has received and this one has not, and the time of its
    /// first report or of the last query of the store, in microseconds.
    peer_ahead: Option<(StoreRevision, u64)>,
    /// Later changes that other nodes have reported, in the order of their first report.
    reported: Vec<ReportedChange>,
}

impl ReplicaFreshness {
    /// Freshness of a subject that consists of a single entry, which is never removed.
    pub fn for_single_entry() -> Self {
        Self { is_single_entry: true, ..Self::default() }
    }

    /// Records a response of the store: every change up to `known_to` is known.
    pub fn on_store_response(&mut self, known_to: StoreRevision, now_us: u64) {
        self.known_to = known_to;
        // The store itself has no later change, so earlier reports refer to another store.
        self.reported.clear();
        self.confirm(ReportTime::at(now_us), now_us);
        self.peer_ahead = self.peer_ahead.filter(|(revision, _)| *revision > known_to);
    }

    /// Records that all entries have been read from the store.
    pub fn on_full_read(&mut self, update: &StoreUpdate, now_us: u64) {
        self.on_snapshot(update, now_us);
        self.on_store_response(update.known_to(), now_us);
    }

    /// All entries are known as of the update's revision.
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

    /// Records an update that another node has passed on from its replica, which the store
    /// confirmed `age_ms` ago.
    pub fn on_peer_update(&mut self, update: &StoreUpdate, age_ms: Option<u64>, now_us: u64) {
        if update.is_snapshot {
            self.on_snapshot(update, now_us);
        }
        // A report that omitted one of these changes would confirm replicas that do not include it.
        update.entries.iter().for_each(|entry| self.on_change(update.revision_of(entry)));
        self.known_to = self.known_to.max(update.known_to());
        let known_to = self.known_to;
        self.reported.retain(|change| change.revision > known_to);
        self.peer_ahead = self.peer_ahead.filter(|(revision, _)| *revision > known_to);
        let Some(age_ms) = age_ms else { return };
        let confirmed_at = reported_confirmation(age_ms, now_us);
        self.confirm(confirmed_at, now_us);
    }

    /// Records that the store confirmed the replica at `at`, as learned at `now_us`.
    fn confirm(&mut self, at: ReportTime, now_us: u64) {
        if self.was_store_unavailable(at) {
            self.store_back_at_us = Some(now_us);
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether the store was unavailable between the last confirmation and `at`. A node that has
    /// only had no news, since its sources were silent, knows of no outage.
    fn was_store_unavailable(&self, at: ReportTime) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        let silent_at = self.store_silent_at_us.map(ReportTime::at);
        let was_silent = silent_at.is_some_and(|silent_at| silent_at >= confirmed_at);
        was_silent && at.since_us(confirmed_at) > STORE_UNAVAILABLE_AFTER_US
    }

    /// Records that a call of this node to the store failed, or has had no response for a while.
    pub fn on_store_silent(&mut self, now_us: u64) {
        self.store_silent_at_us = Some(now_us);
    }

    /// Records that the store confirmed a source's replica `age_ms` ago, as the source has just
    /// replied. A source that calls the store and has an old confirmation has had no response.
    pub fn on_source_age(&mut self, age_ms: u64, now_us: u64) {
        if age_ms * MICROS_PER_MILLI >= STORE_UNAVAILABLE_AFTER_US {
            self.on_store_silent(now_us);
        }
    }

    /// Records that the store was restored from a backup: entries missing from it may be written
    /// again.
    pub fn on_later_era(&mut self, now_us: u64) {
        self.store_back_at_us = Some(now_us);
    }

    /// Time until which a missing entry may only have lapsed while the store was unavailable, in
    /// microseconds; `None` if the store was available, so that a missing entry was removed.
    pub fn lapse_grace_until_us(&self, now_us: u64) -> Option<u64> {
        if self.was_store_unavailable(ReportTime::at(now_us)) {
            return Some(now_us + LAPSE_GRACE_US);
        }
        let until_us = self.store_back_at_us.map(|at_us| at_us + LAPSE_GRACE_US);
        until_us.filter(|until_us| now_us < *until_us)
    }

    /// Time since the store last confirmed the replica, in milliseconds; `None`: it never has.
    pub fn confirmed_age_ms(&self, now_us: u64) -> Option<u64> {
        self.confirmed_at.map(|at| at.age_us(now_us) / MICROS_PER_MILLI)
    }

    /// Records that the watch has delivered a change.
    pub fn on_change(&mut self, revision: StoreRevision) {
        if revision > self.changed_at {
            self.changed_at = revision;
            self.read_at_us = None;
        }
    }

    /// Records another node's report. It confirms the replica if that node has received no change
    /// unknown here, unless the report is of an earlier era, whose nodes do not know later writes.
    pub fn on_report(&mut self, report: FreshnessReport, eras: &StoreEras, now_us: u64) {
        let changed_at = report.changed_at(eras);
        if changed_at > self.known_to {
            self.on_reported_change(changed_at, now_us);
            let first_us = self.peer_ahead.map_or(now_us, |(_, first_us)| first_us);
            let highest = self.peer_ahead.map_or(changed_at, |(revision, _)| revision);
            self.peer_ahead = Some((highest.max(changed_at), first_us));
            return;
        }
        if changed_at.era() < self.known_to.era() {
            return;
        }
        let Some(age_ms) = report.age_ms else { return };
        let confirmed_at = reported_confirmation(age_ms, now_us);
        self.confirm(confirmed_at, now_us);
        // The confirmation is later than the read of all entries: nothing has changed in between.
        if self.read_at_us.is_some_and(|read_at_us| ReportTime::at(read_at_us) < confirmed_at) {
            self.changed_at = changed_at;
            self.read_at_us = None;
        }
    }

    fn on_reported_change(&mut self, revision: StoreRevision, now_us: u64) {
        self.reported.retain(|change| now_us < change.last_us + REPORTED_CHANGE_TTL_US);
        // A node that has received a change has also received all earlier ones.
        let earlier = self.reported.iter_mut().filter(|change| change.revision <= revision);
        earlier.for_each(|change| change.last_us = now_us);
        let is_known = self.reported.iter().any(|change| change.revision == revision);
        if !is_known && self.reported.len() < MAX_REPORTED_CHANGES {
            self.reported.push(ReportedChange { revision, first_us: now_us, last_us: now_us });
        }
    }

    /// Time for which other nodes have reported a change that is unknown here, in microseconds;
    /// `None` if no report holds, or if the store has since confirmed that there is no such change.
    pub fn behind_for_us(&self, now_us: u64) -> Option<u64> {
        let current =
            self.reported.iter().filter(|change| now_us < change.last_us + REPORTED_CHANGE_TTL_US);
        let first_us = current.map(|change| change.first_us).min()?;
        Some(now_us.saturating_sub(first_us))
    }

    /// The report for other nodes, with ages as of `now_us`.
    pub fn report(&self, now_us: u64) -> FreshnessReport {
        if self.read_at_us.is_some_and(|read_at_us| now_us < read_at_us + LAST_CHANGE_WAIT_US) {
            return FreshnessReport::default();
        }
        FreshnessReport::new(self.changed_at, self.confirmed_age_ms(now_us))
    }

    /// Whether another node has received a later change that this node's watch did not deliver in
    /// time.
    pub fn is_behind(&self, now_us: u64) -> bool {
        let is_overdue =
            |(_, first_us): (StoreRevision, u64)| now_us >= first_us + WATCH_DELIVERY_TIMEOUT_US;
        self.peer_ahead.is_some_and(is_overdue)
    }

    /// Whether the replica can be relied on, if a confirmation holds for `confirmation_ttl_us`.
    pub fn assess(&self, now_us: u64, confirmation_ttl_us: u64) -> Freshness {
        if self.is_behind(now_us) {
            return Freshness::Behind;
        }
        match self.confirmed_at {
            Some(at) if at.age_us(now_us) < confirmation_ttl_us => Freshness::Fresh,
            _ => Freshness::Unconfirmed,
        }
    }

    /// Records that the node queries the store because another node is ahead. The time that the
    /// watch has to deliver the change starts again.
    pub fn on_store_queried(&mut self, now_us: u64) {
        if let Some((revision, _)) = self.peer_ahead {
            self.peer_ahead = Some((revision, now_us));
        }
    }
}

/// Freshness of a node's replicas, one for each subject.
#[derive(Clone, Debug)]
pub struct StoreFreshness {
    /// The replica of the operators' configuration.
    pub configuration: ReplicaFreshness,
    /// The replica of the runners' registry entries.
    pub runners: ReplicaFreshness,
    /// The replica of the requests during which runners have crashed.
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

/// A node's report on all its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFreshnessReport {
    /// The replica of the operators' configuration.
    #[serde(rename = "f")]
    pub configuration: FreshnessReport,
    /// The replica of the runners' registry entries.
    #[serde(rename = "r")]
    pub runners: FreshnessReport,
    /// The replica of the requests during which runners have crashed.
    #[serde(rename = "q", default)]
    pub crashes: FreshnessReport,
}

impl StoreFreshnessReport {
    /// The report on the replica of a subject.
    pub fn replica(&self, subject: Subject) -> FreshnessReport {
        match subject {
            Subject::Configuration => self.configuration,
            Subject::Runners => self.runners,
            Subject::Crashes => self.crashes,
        }
    }
}

impl StoreFreshness {
    /// Freshness of the replica of a subject.
    pub fn replica(&self, subject: Subject) -> &ReplicaFreshness {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// Mutable access to the freshness of the replica of a subject.
    pub fn replica_mut(&mut self, subject: Subject) -> &mut ReplicaFreshness {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }

    /// The report for other nodes, with ages as of `now_us`.
    pub fn report(&self, now_us: u64) -> StoreFreshnessReport {
        StoreFreshnessReport {
            configuration: self.configuration.report(now_us),
            runners: self.runners.report(now_us),
            crashes: self.crashes.report(now_us),
        }
    }

    /// Records another node's report on all its replicas.
    pub fn on_report(&mut self, report: &StoreFreshnessReport, eras: &StoreEras, now_us: u64) {
        self.configuration.on_report(report.configuration, eras, now_us);
        self.runners.on_report(report.runners, eras, now_us);
        self.crashes.on_report(report.crashes, eras, now_us);
    }

    /// Records for all replicas that the store was restored from a backup.
    pub fn on_later_era(&mut self, now_us: u64) {
        Subject::ALL.into_iter().for_each(|subject| self.replica_mut(subject).on_later_era(now_us));
    }
}
