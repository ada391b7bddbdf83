//! A node's copy of the store's entries, as it hands them on to other nodes.
//!
//! The copy is exact up to a revision. Whoever knows the store up to an earlier one gets what
//! has changed since, if the copy still knows what was removed since; otherwise the whole list.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Removed entries that are remembered.
const MOST_REMOVED: usize = 512;

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
    /// Revision of the change.
    #[serde(rename = "r")]
    pub revision: u64,
}

impl StoreEntry {
    /// Whether it notes that the entry was removed.
    pub fn is_removal(&self) -> bool {
        self.document.is_none()
    }
}

/// Entries that bring another copy up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Revision up to which everything is known after it.
    pub known_to: u64,
    /// Whether these are all entries: what is not among them is gone.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<StoreEntry>,
}

impl StoreUpdate {
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
pub struct StoreCopy {
    /// `None`: nothing has been read yet.
    known_to: Option<u64>,
    /// Removals after this revision are remembered.
    removals_since: u64,
    entries: BTreeMap<String, StoreEntry>,
}

impl StoreCopy {
    /// Revision up to which everything is known.
    pub fn known_to(&self) -> Option<u64> {
        self.known_to
    }

    /// Revision of the latest entry; `None`: there is none.
    pub fn last_change(&self) -> Option<u64> {
        self.entries.values().map(|entry| entry.revision).max()
    }

    /// Forgets everything: another store counts its revisions in another way.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Takes in an update. One that ends before what is known changes nothing.
    pub fn apply(&mut self, update: &StoreUpdate) {
        if self.known_to.is_some_and(|known_to| update.known_to < known_to) {
            return;
        }
        if update.whole {
            self.entries.clear();
            self.removals_since = update.known_to;
        }
        for entry in &update.entries {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.known_to = Some(update.known_to);
        self.forget_removals();
    }

    /// What brings a copy that is exact up to `after` up to date; `None` if nothing is known
    /// here, or if the other copy is ahead.
    pub fn update_since(&self, after: Option<u64>) -> Option<StoreUpdate> {
        let known_to = self.known_to?;
        if after.is_some_and(|after| after > known_to) {
            return None;
        }
        let since = after.filter(|after| *after >= self.removals_since);
        let is_news = |entry: &&StoreEntry| match since {
            Some(since) => entry.revision > since,
            None => entry.document.is_some(),
        };
        let entries = self.entries.values().filter(is_news).cloned().collect();
        Some(StoreUpdate { known_to, whole: since.is_none(), entries })
    }

    /// Bounds the memory that removed entries take.
    fn forget_removals(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.document.is_none()).count();
        if removed > MOST_REMOVED {
            self.entries.retain(|_, entry| entry.document.is_some());
            self.removals_since = self.known_to.unwrap_or_default();
        }
    }
}

/// A node's copies.
#[derive(Clone, Debug, Default)]
pub struct StoreCopies {
    configuration: StoreCopy,
    runners: StoreCopy,
    crashes: StoreCopy,
}

impl StoreCopies {
    /// The copy of a subject.
    pub fn of(&self, subject: Subject) -> &StoreCopy {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }

    /// The copy of a subject, to be changed.
    pub fn of_mut(&mut self, subject: Subject) -> &mut StoreCopy {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Runners => &mut self.runners,
            Subject::Crashes => &mut self.crashes,
        }
    }
}

/// A node asks another for its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyQuestion {
    /// What it asks for.
    pub subject: Subject,
    /// Revision up to which it knows everything; `None`: it knows nothing.
    pub after: Option<u64>,
    /// Time for which the answer may wait for a change, milliseconds.
    pub wait_ms: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyAnswer {
    /// What brings the asking node up to date; `None` if this node knows less, or if the update
    /// follows the answer.
    pub update: Option<StoreUpdate>,
    /// The update follows the answer compressed, as it is large.
    #[serde(default)]
    pub is_compressed: bool,
    /// Milliseconds since the store confirmed the copy; `None`: it never has.
    pub age_ms: Option<u64>,
}
