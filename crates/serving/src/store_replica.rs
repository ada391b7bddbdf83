//! A node's copy of the store's entries, as it hands them on to other nodes.
//!
//! The copy is exact up to a revision. Whoever knows the store up to an earlier one gets what
//! has changed since, if the copy still knows what was removed since; otherwise the whole list. All of a copy is
//! of one era of the store: into a later one leads a whole list alone, as nobody tells what was lost.

use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Removed entries that are remembered.
const MAX_TOMBSTONES: usize = 512;

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    #[serde(rename = "c")]
    Configuration,
    /// The runners' entries.
    #[serde(rename = "r")]
    Runners,
    /// Requests under which runners have ended.
    #[serde(rename = "q")]
    Crashes,
}

impl Subject {
    /// Everything that is followed.
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

/// An entry of the store, or the note that it was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The document; `None`: the entry was removed. A value that is no text is handed on as an empty
    /// document, which nothing can be read from.
    #[serde(rename = "v")]
    pub document: Option<String>,
    /// Revision of the change, in the era of the update or the copy that the entry stands in.
    #[serde(rename = "r")]
    pub revision: RevisionNumber,
}

impl StoreEntry {
    /// Whether it notes that the entry was removed.
    pub fn is_tombstone(&self) -> bool {
        self.document.is_none()
    }
}

/// Entries that bring another copy up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The era that it is of. Builds that know no eras tell none.
    #[serde(rename = "era", default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
    /// Revision up to which everything is known after it.
    pub known_to: RevisionNumber,
    /// Whether these are all entries: what is not among them is gone.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The entries.
    pub entries: Vec<StoreEntry>,
}

impl StoreUpdate {
    /// Revision up to which everything is known after it.
    pub fn known_to(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.known_to)
    }

    /// Revision of one of its entries.
    pub fn revision_of(&self, entry: &StoreEntry) -> StoreRevision {
        StoreRevision::new(self.era, entry.revision)
    }

    /// Bytes of its keys and documents.
    pub fn content_bytes(&self) -> usize {
        let bytes = |entry: &StoreEntry| {
            entry.key.len() + entry.document.as_ref().map_or(0, |document| document.len())
        };
        self.entries.iter().map(bytes).sum()
    }
}

/// The entries of one subject.
#[derive(Clone, Debug, Default)]
pub struct StoreReplica {
    /// `None`: nothing has been read yet. All entries are of its era.
    known_to: Option<StoreRevision>,
    /// Removals after this revision are remembered.
    tombstones_since: StoreRevision,
    entries: BTreeMap<String, StoreEntry>,
}

impl StoreReplica {
    /// Revision up to which everything is known.
    pub fn known_to(&self) -> Option<StoreRevision> {
        self.known_to
    }

    fn revision_of(&self, entry: &StoreEntry) -> StoreRevision {
        let era = self.known_to.unwrap_or_default().era();
        StoreRevision::new(era, entry.revision)
    }

    /// Revision of the latest entry; `None`: there is none.
    pub fn last_changed_at(&self) -> Option<StoreRevision> {
        self.entries.values().map(|entry| self.revision_of(entry)).max()
    }

    /// Forgets everything: another store counts its revisions in another way.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether an update leads on from what is known: it ends no earlier, and is whole if it is of a later era.
    pub fn accepts(&self, update: &StoreUpdate) -> bool {
        let Some(known_to) = self.known_to else { return true };
        let is_of_same_era = update.era == known_to.era();
        update.known_to() >= known_to && (update.is_snapshot || is_of_same_era)
    }

    /// Takes in an update. One that does not lead on from what is known changes nothing.
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
        self.prune_tombstones();
    }

    /// What brings a copy that is exact up to `after` up to date; `None` if nothing is known
    /// here, or if the other copy is ahead.
    pub fn update_since(&self, after: Option<StoreRevision>) -> Option<StoreUpdate> {
        let known_to = self.known_to?;
        if after.is_some_and(|after| after > known_to) {
            return None;
        }
        let since = after.filter(|after| *after >= self.tombstones_since);
        let is_newer = |entry: &&StoreEntry| match since {
            Some(since) => self.revision_of(entry) > since,
            None => entry.document.is_some(),
        };
        let entries = self.entries.values().filter(is_newer).cloned().collect();
        let (era, known_to) = (known_to.era(), known_to.number());
        Some(StoreUpdate { era, known_to, is_snapshot: since.is_none(), entries })
    }

    /// Bounds the memory that removed entries take.
    fn prune_tombstones(&mut self) {
        let tombstones = self.entries.values().filter(|entry| entry.document.is_none()).count();
        if tombstones > MAX_TOMBSTONES {
            self.entries.retain(|_, entry| entry.document.is_some());
            self.tombstones_since = self.known_to.unwrap_or_default();
        }
    }
}

/// A node's copies.
#[derive(Clone, Debug, Default)]
pub struct StoreReplicas {
    configuration: StoreReplica,
    runners: StoreReplica,
    crashes: StoreReplica,
}

impl StoreReplicas {
    /// The copy of a subject.
    pub fn get(&self, subject: Subject) -> &StoreReplica {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// The copy of a subject, to be changed.
    pub fn get_mut(&mut self, subject: Subject) -> &mut StoreReplica {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }
}

/// A node asks another for its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdateQuery {
    /// What it asks for.
    pub subject: Subject,
    /// Revision up to which it knows everything; `None`: it knows nothing.
    after: Option<RevisionNumber>,
    /// The era of that revision. Builds that know no eras tell none.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
    /// Time for which the answer may wait for a change, milliseconds.
    pub wait_ms: u64,
}

impl StoreUpdateQuery {
    /// A question of a node that knows everything up to a revision, for an answer that may wait so long.
    pub fn new(subject: Subject, after: Option<StoreRevision>, wait_ms: u64) -> Self {
        let era = after.unwrap_or_default().era();
        Self { subject, after: after.map(StoreRevision::number), era, wait_ms }
    }

    /// Revision up to which the asking node knows everything, as a node takes it that has heard of these eras.
    pub fn after(&self, eras: &StoreEras) -> Option<StoreRevision> {
        let era = eras.resolve_reported(self.era);
        self.after.map(|number| StoreRevision::new(era, number))
    }
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdateReply {
    /// What brings the asking node up to date; `None` if this node knows less, or if the update
    /// follows the answer.
    pub update: Option<StoreUpdate>,
    /// The update follows the answer compressed, as it is large.
    #[serde(default)]
    pub is_compressed: bool,
    /// Milliseconds since the store confirmed the copy; `None`: it never has.
    pub age_ms: Option<u64>,
}
