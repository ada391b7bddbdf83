//! The record of the software versions at which streams may have begun, which outlives all nodes.
//!
//! The nodes keep an entry for each version in the platform's store. A version is entered before the first stream begins at
//! it, and its entry is removed only when no client is interested any more in a stream of it. A node that has just started
//! therefore knows from its first read at which versions streams may have begun whose origins no node has recorded.

use crate::fleet::{VersionHistory, MAX_STREAM_AGE_US};
use crate::ids::{ServiceName, SoftwareVersion};
use crate::store_revision::{StoreEra, StoreRevision};
use crate::stream_origin::StreamOrigin;
use crate::version_view::RecordedOrigins;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Time from the end of a version's last runner until its entry says so, in microseconds. A runner that crashes and starts
/// again within it costs no write.
const RETIREMENT_DELAY_US: u64 = 3_000_000;
/// Maximum time for which a runner serves after the removal of its registry entry, in microseconds. Nodes that have not
/// received the removal may begin streams there.
const MAX_SERVICE_WITHOUT_ENTRY_US: u64 = 30_000_000;
/// Maximum age of the store's confirmation by which a node ends entries, in microseconds.
const MAX_CONFIRMATION_AGE_US: u64 = 5_000_000;
/// Time after the removal of a version's last registry entry until no client resumes its streams any more, in microseconds.
pub const MAX_INTEREST_US: u64 = MAX_STREAM_AGE_US + MAX_SERVICE_WITHOUT_ENTRY_US;

/// Whether streams may begin at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionState {
    /// Streams may begin.
    #[serde(rename = "serving")]
    Serving,
    /// The version has had no runner. No stream may begin, and those that have begun may last.
    #[serde(rename = "retiring")]
    Retiring,
}

/// The entry of a version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEntry {
    /// The service whose runners run the version.
    pub service: ServiceName,
    /// Software version of these runners.
    pub version: SoftwareVersion,
    /// Whether streams may begin at it.
    pub state: VersionState,
    /// Era of the store in which the entry was written; unknown if the store reports none.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
}

impl VersionEntry {
    /// The origin of the streams that begin at the version.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin { service: self.service.clone(), version: self.version.clone() }
    }
}

/// Name of the entry of a version, which is a digest, since the names of services and versions may be long or hold any
/// characters.
pub fn entry_name(service: &ServiceName, version: &SoftwareVersion) -> String {
    let mut digest = Sha256::new();
    digest.update((service.as_str().len() as u64).to_be_bytes());
    digest.update(service.as_str());
    digest.update(version.as_str());
    digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The origins that the entries name, read while the store was in `era`.
pub fn recorded_origins(entries: &[VersionEntry], era: StoreEra) -> RecordedOrigins {
    let services: BTreeSet<&ServiceName> = entries.iter().map(|entry| &entry.service).collect();
    let is_complete = |service: &ServiceName| {
        is_complete(entries.iter().filter(|entry| entry.service == *service), era)
    };
    RecordedOrigins {
        origins: entries.iter().map(VersionEntry::origin).collect(),
        is_complete: services.into_iter().all(is_complete),
    }
}

/// Whether the entries of a service name all versions at which recent streams may have begun: some entry was written in the
/// store's era by a node that knew all, or there is none, since no stream of the service has begun then.
fn is_complete<'a>(entries: impl Iterator<Item = &'a VersionEntry>, era: StoreEra) -> bool {
    let mut entries = entries.peekable();
    entries.peek().is_none() || entries.any(|entry| entry.era == era)
}

/// An entry as it was read from the store.
#[derive(Clone, Debug)]
struct Recorded {
    entry: VersionEntry,
    revision: StoreRevision,
    /// When this node read the entry, in microseconds on its clock.
    read_at_us: u64,
}

/// A change of the record that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Write these entries of one service in one transaction, whatever the store has. It is harmless if it is done late or
    /// twice.
    Put(Vec<VersionEntry>),
    /// Replace an entry, provided that it is still at this revision.
    Retire(VersionEntry, StoreRevision),
    /// Remove the entry of a version, provided that it is still at this revision.
    Remove(ServiceName, SoftwareVersion, StoreRevision),
}

/// The record as a node has read it.
#[derive(Clone, Debug, Default)]
pub struct VersionRecord {
    /// By the key in the store.
    entries: BTreeMap<String, Recorded>,
    /// The store's era in which the record was read last; `None` before the first read.
    era: Option<StoreEra>,
    /// Since when this node has seen all versions that have runners in that era, in microseconds.
    watched_since_us: u64,
}

impl VersionRecord {
    /// Replaces the record by a complete read of the store in this era. Each item is a key with its entry and revision. All
    /// times begin again, since a part of the history may have been missed.
    pub fn on_snapshot(
        &mut self,
        items: Vec<(String, VersionEntry, StoreRevision)>,
        era: StoreEra,
        now_us: u64,
    ) {
        let recorded =
            |(key, entry, revision)| (key, Recorded { entry, revision, read_at_us: now_us });
        self.entries = items.into_iter().map(recorded).collect();
        if self.era.replace(era) != Some(era) {
            self.watched_since_us = now_us;
        }
    }

    /// Records that an entry was written.
    pub fn on_written(
        &mut self,
        key: String,
        entry: VersionEntry,
        revision: StoreRevision,
        now_us: u64,
    ) {
        self.entries.insert(key, Recorded { entry, revision, read_at_us: now_us });
    }

    /// Records that an entry was removed.
    pub fn on_removed(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// All versions of a service that have an entry.
    pub fn versions(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        self.of_service(service).map(|it| it.entry.version.clone()).collect()
    }

    /// The service and version of each entry.
    pub fn origins(&self) -> BTreeSet<StreamOrigin> {
        self.entries.values().map(|it| it.entry.origin()).collect()
    }

    /// Whether streams may begin at a version.
    pub fn may_begin(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let found = self.find(service, version);
        found.is_some_and(|it| it.entry.state == VersionState::Serving)
    }

    /// The entries to write so that streams may begin at all versions that have runners, for each of these services, while the
    /// store is in `era`. Entries of earlier eras are written again by a node that knows all versions that count. Another
    /// one leaves the era of the record unchanged, so that no node considers the record complete.
    pub fn due_puts(
        &mut self,
        services: &BTreeSet<ServiceName>,
        history: &mut VersionHistory,
        era: StoreEra,
        now_us: u64,
    ) -> Vec<RecordChange> {
        if self.era != Some(era) {
            return Vec::new();
        }
        self.restart_watch(services, history, now_us);
        let put = |service: &ServiceName| {
            let knows_all =
                self.is_complete(service, era) || now_us >= self.watched_since_us + MAX_INTEREST_US;
            let latest_era = self.of_service(service).map(|it| it.entry.era).max();
            let era = if knows_all { era } else { latest_era.unwrap_or(era) };
            let counted = history.counted(service, now_us);
            let all: BTreeSet<SoftwareVersion> =
                counted.into_iter().chain(self.versions(service)).collect();
            let entries = all.into_iter().filter_map(|version| {
                let state = match history.has_runner(service, &version) {
                    true => VersionState::Serving,
                    false => VersionState::Retiring,
                };
                let is_due = self.lacks(service, &version, state, era);
                let service = service.clone();
                is_due.then_some(VersionEntry { service, version, state, era })
            });
            let entries: Vec<VersionEntry> = entries.collect();
            (!entries.is_empty()).then_some(RecordChange::Put(entries))
        };
        services.iter().filter_map(put).collect()
    }

    fn is_complete(&self, service: &ServiceName, era: StoreEra) -> bool {
        is_complete(self.of_service(service).map(|it| &it.entry), era)
    }

    /// Restarts the wait if a version with runners has no entry: nodes that read its entry before the restore may have begun
    /// streams there until now.
    fn restart_watch(
        &mut self,
        services: &BTreeSet<ServiceName>,
        history: &VersionHistory,
        now_us: u64,
    ) {
        let is_unrecorded = |(service, version, _): (&ServiceName, &SoftwareVersion, usize)| {
            services.contains(service) && self.find(service, version).is_none()
        };
        if history.runners_by_version().any(is_unrecorded) {
            self.watched_since_us = now_us;
        }
    }

    /// Whether the entry of a version has to be written. An entry that becomes `Retiring` in its own era is replaced under
    /// a condition instead.
    fn lacks(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        state: VersionState,
        era: StoreEra,
    ) -> bool {
        let Some(Recorded { entry, .. }) = self.find(service, version) else { return true };
        entry.era != era || (state == VersionState::Serving && entry.state != state)
    }

    /// The entries to retire, and those whose versions have had no runner for long enough to be removed.
    /// The caller knows the present list of runners, and `services` are those whose streams may be resumed. The entries of
    /// another service are retired whatever runners it has, and removed after its runners have gone.
    pub fn due_ends(
        &self,
        services: &BTreeSet<ServiceName>,
        history: &mut VersionHistory,
        now_us: u64,
    ) -> Vec<RecordChange> {
        let mut due = |recorded: &Recorded| {
            let Recorded { entry, revision, read_at_us } = recorded;
            let VersionEntry { service, version, .. } = entry;
            let has_runner = history.has_runner(service, version);
            if has_runner && services.contains(service) {
                return None;
            }
            let gone_at_us = history.gone_since_us(service, version, now_us);
            let gone_at_us = gone_at_us.unwrap_or(*read_at_us);
            let since_us = gone_at_us.max(*read_at_us);
            match entry.state {
                VersionState::Serving if now_us >= gone_at_us + RETIREMENT_DELAY_US => {
                    let retiring = VersionEntry { state: VersionState::Retiring, ..entry.clone() };
                    Some(RecordChange::Retire(retiring, *revision))
                }
                // A node that is cut off may begin streams by an old configuration for as long as there are runners.
                VersionState::Retiring if has_runner => None,
                // The confirmation that the version has no runner is younger than the end of this time.
                VersionState::Retiring
                    if now_us >= since_us + MAX_INTEREST_US + MAX_CONFIRMATION_AGE_US =>
                {
                    Some(RecordChange::Remove(service.clone(), version.clone(), *revision))
                }
                VersionState::Serving | VersionState::Retiring => None,
            }
        };
        self.entries.values().filter_map(&mut due).collect()
    }

    fn of_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Recorded> {
        self.entries.values().filter(move |it| it.entry.service == *service)
    }

    fn find(&self, service: &ServiceName, version: &SoftwareVersion) -> Option<&Recorded> {
        let is_wanted =
            |it: &&Recorded| it.entry.service == *service && it.entry.version == *version;
        self.entries.values().find(is_wanted)
    }
}
