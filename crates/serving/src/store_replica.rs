//! A node's replica of the store's entries, from which it serves updates to other nodes.
//!
//! A replica is exact up to a revision. A node that knows the store up to an earlier revision
//! receives the entries changed since then, provided that the replica still holds the tombstones of
//! that interval; otherwise it receives a snapshot of all entries. All entries of a replica belong
//! to one era of the store. Only a snapshot leads into a later era, because no node knows which
//! changes were lost between the two.

use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of tombstones in a replica; a replica that exceeds it drops all of them.
const MAX_TOMBSTONES: usize = 512;

/// A range of the store's entries that is replicated separately from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The configuration that the operators have put in force.
    #[serde(rename = "c")]
    Configuration,
    /// The runners' registry entries.
    #[serde(rename = "r")]
    Runners,
    /// What the nodes themselves record: the requests during which runners have crashed, and the software versions at which
    /// streams may have begun.
    #[serde(rename = "q")]
    Crashes,
}

impl Subject {
    /// All subjects, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Runners, Self::Crashes];
}

impl Subject {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Runners => "runners",
            Self::Crashes => "crashes",
        }
    }
}

/// An entry of the store, or the tombstone of a removed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Key of the entry in the store.
    #[serde(rename = "k")]
    pub key: String,
    /// The stored document; `None` marks a tombstone. A value that is not text is passed on as an
    /// empty document, which no reader can parse.
    #[serde(rename = "v")]
    pub document: Option<String>,
    /// Revision of the change, in the era of the update or replica that holds the entry.
    #[serde(rename = "r")]
    pub revision: RevisionNumber,
}

impl StoreEntry {
    /// Whether this is the tombstone of a removed entry.
    pub fn is_tombstone(&self) -> bool {
        self.document.is_none()
    }

    /// Size of the key and the document, in bytes.
    fn content_bytes(&self) -> usize {
        self.key.len() + self.document.as_ref().map_or(0, String::len)
    }
}

/// Entries that bring another replica up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Era of the revisions in this update. Builds without support for eras leave it out.
    #[serde(rename = "era", default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
    /// Revision up to which the receiver knows every change after applying the update; see
    /// [`Self::known_to`] for the revision with its era.
    pub known_to: RevisionNumber,
    /// Whether the update holds all entries, so that entries missing from it have been removed.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Changed entries and tombstones, or all entries if the update is a snapshot.
    pub entries: Vec<StoreEntry>,
}

impl StoreUpdate {
    /// Revision up to which the receiver knows every change after applying the update.
    pub fn known_to(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.known_to)
    }

    /// Revision of one of the update's entries, with the update's era.
    pub fn revision_of(&self, entry: &StoreEntry) -> StoreRevision {
        StoreRevision::new(self.era, entry.revision)
    }

    /// Total size of the keys and documents, in bytes.
    pub fn content_bytes(&self) -> usize {
        self.entries.iter().map(StoreEntry::content_bytes).sum()
    }
}

/// Replica of the entries of one subject.
#[derive(Clone, Debug, Default)]
pub struct StoreReplica {
    /// `None` until a first update is applied. All entries are of this revision's era.
    known_to: Option<StoreRevision>,
    /// Tombstones of removals after this revision are complete.
    tombstones_since: StoreRevision,
    entries: BTreeMap<String, StoreEntry>,
    /// Number of changes of this replica, updates and resets alike.
    changes: u64,
    is_obtaining: bool,
}

impl StoreReplica {
    /// Revision up to which every change is known; `None` until a first update is applied.
    pub fn known_to(&self) -> Option<StoreRevision> {
        self.known_to
    }

    fn revision_of(&self, entry: &StoreEntry) -> StoreRevision {
        let era = self.known_to.unwrap_or_default().era();
        StoreRevision::new(era, entry.revision)
    }

    /// Revision of the latest change among the entries; `None` if there are no entries.
    pub fn last_changed_at(&self) -> Option<StoreRevision> {
        self.entries.values().map(|entry| self.revision_of(entry)).max()
    }

    /// Empties the replica, for use when the node turns to another store, whose revisions are not
    /// comparable.
    pub fn reset(&mut self) {
        *self = Self { changes: self.changes + 1, ..Self::default() };
    }

    /// Number of changes of this replica so far, which never goes back. While it stays the same, the
    /// same query has the same update.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether the node is reading all entries from the store.
    pub fn is_obtaining(&self) -> bool {
        self.is_obtaining
    }

    /// Records whether the node is reading all entries from the store.
    pub fn set_obtaining(&mut self, is_obtaining: bool) {
        self.is_obtaining = is_obtaining;
    }

    /// Whether the update can be applied: it must not end before the replica's revision, and must
    /// be a snapshot if it is of a later era.
    pub fn accepts(&self, update: &StoreUpdate) -> bool {
        let Some(known_to) = self.known_to else { return true };
        let is_of_same_era = update.era == known_to.era();
        update.known_to() >= known_to && (update.is_snapshot || is_of_same_era)
    }

    /// Applies an update. An update that is not accepted changes nothing.
    pub fn apply(&mut self, update: &StoreUpdate) {
        if !self.accepts(update) {
            return;
        }
        if update.is_snapshot {
            self.entries.clear();
            self.tombstones_since = update.known_to();
        }
        for entry in &update.entries {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.known_to = Some(update.known_to());
        self.changes += 1;
        self.prune_tombstones();
    }

    /// Whether there is an update for a replica that is exact up to `after`; see
    /// [`Self::update_since`].
    pub fn has_update_since(&self, after: Option<StoreRevision>) -> bool {
        self.known_to.is_some_and(|known_to| after.is_none_or(|after| after <= known_to))
    }

    /// The update for a replica that is exact up to `after` (`None`: an empty one). Returns `None`
    /// if this replica is empty, or if the other one is ahead.
    pub fn update_since(&self, after: Option<StoreRevision>) -> Option<StoreUpdate> {
        let known_to = self.known_to.filter(|_| self.has_update_since(after))?;
        let since = self.since(after);
        let entries = self.entries_since(since).cloned().collect();
        let (era, known_to) = (known_to.era(), known_to.number());
        Some(StoreUpdate { era, known_to, is_snapshot: since.is_none(), entries })
    }

    /// Total size of the keys and documents of [`Self::update_since`], in bytes.
    pub fn update_bytes_since(&self, after: Option<StoreRevision>) -> usize {
        self.entries_since(self.since(after)).map(StoreEntry::content_bytes).sum()
    }

    /// The revision after which changes alone are sent; `None` if a snapshot has to be sent.
    pub fn since(&self, after: Option<StoreRevision>) -> Option<StoreRevision> {
        after.filter(|after| *after >= self.tombstones_since)
    }

    fn entries_since(&self, since: Option<StoreRevision>) -> impl Iterator<Item = &StoreEntry> {
        self.entries.values().filter(move |entry| match since {
            Some(since) => self.revision_of(entry) > since,
            None => entry.document.is_some(),
        })
    }

    /// Bounds the memory that tombstones take.
    fn prune_tombstones(&mut self) {
        let tombstones = self.entries.values().filter(|entry| entry.document.is_none()).count();
        if tombstones > MAX_TOMBSTONES {
            self.entries.retain(|_, entry| entry.document.is_some());
            self.tombstones_since = self.known_to.unwrap_or_default();
        }
    }
}

/// A node's replicas, one for each subject.
#[derive(Clone, Debug, Default)]
pub struct StoreReplicas {
    configuration: StoreReplica,
    runners: StoreReplica,
    crashes: StoreReplica,
}

impl StoreReplicas {
    /// The replica of a subject.
    pub fn get(&self, subject: Subject) -> &StoreReplica {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// Mutable access to the replica of a subject.
    pub fn get_mut(&mut self, subject: Subject) -> &mut StoreReplica {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }
}

/// One node's query for an update of its replica from another node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdateQuery {
    /// The subject of the replica to update.
    pub subject: Subject,
    /// Revision up to which the querying node knows every change; `None`: it knows nothing.
    after: Option<RevisionNumber>,
    /// Era of that revision. Builds without support for eras leave it out.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
    /// Time for which the reply may be held back until there is a change, in milliseconds.
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub wait_ms: u64,
}

impl StoreUpdateQuery {
    /// Builds the query of a node that knows every change up to `after`, with a reply that may be
    /// held back for `wait_ms`.
    pub fn new(subject: Subject, after: Option<StoreRevision>, wait_ms: u64) -> Self {
        let era = after.unwrap_or_default().era();
        Self { subject, after: after.map(StoreRevision::number), era, wait_ms }
    }

    /// Revision up to which the querying node knows every change; `eras` resolves an era that was
    /// left out.
    pub fn after(&self, eras: &StoreEras) -> Option<StoreRevision> {
        let era = eras.resolve_reported(self.era);
        self.after.map(|number| StoreRevision::new(era, number))
    }
}

/// The reply to a [`StoreUpdateQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdateReply {
    /// The update; `None` if this node knows less than the querying one, or if the update follows
    /// the reply in compressed form.
    pub update: Option<StoreUpdate>,
    /// Whether a large update follows the reply in compressed form.
    #[serde(default)]
    pub is_compressed: bool,
    /// Whether the node is reading all entries from the store, so that it will have a replica soon.
    /// Builds that do not know the field leave it out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_obtaining: bool,
    /// Time since the store last confirmed the replica, in milliseconds; `None`: it never has.
    #[serde(deserialize_with = "crate::bounded::optional_time_ms", default)]
    pub age_ms: Option<u64>,
}
