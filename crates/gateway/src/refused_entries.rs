//! Logs entries that another program wrote to the store and that cannot be used, once per revision.

use pitchstall_serving::store_revision::RevisionNumber;
use std::cell::RefCell;
use std::collections::HashMap;

/// Maximum number of entries that are remembered as logged: by calculation, about 0.2 MB with keys
/// of 200 bytes, the longest that the store allows. Beyond it, the memory is cleared, and some
/// entries are logged again when everything is read anew.
const MAX_REMEMBERED_ENTRIES: usize = 1_024;

/// Why an entry cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The value is not a valid document for the key.
    #[error("{0}")]
    InvalidDocument(String),
    /// The value is not UTF-8 text.
    #[error("the value is not UTF-8 text")]
    NotUtf8,
    /// The key does not have the format required under its prefix.
    #[error("the key does not have the format required under its prefix")]
    InvalidKey,
    /// The entry has no start time, while entries of other runners have one.
    #[error("the field born is missing, which other runners' entries have")]
    MissingStartTime,
}

/// The refused entries that have been logged, by key, with their revisions.
#[derive(Debug, Default)]
pub struct RefusedEntries {
    logged: RefCell<HashMap<String, RevisionNumber>>,
}

impl RefusedEntries {
    /// Handles a later era, in which the store may assign the same revisions to other contents:
    /// each entry that is still refused is logged once more.
    pub fn on_later_era(&self) {
        self.logged.borrow_mut().clear();
    }

    /// Records and logs a refused entry. Returns whether this revision of it had not been refused
    /// before.
    pub fn on_refused(
        &self,
        subject: &str,
        key: &str,
        revision: RevisionNumber,
        error: &EntryError,
    ) -> bool {
        let mut logged = self.logged.borrow_mut();
        if logged.get(key) == Some(&revision) {
            return false;
        }
        if logged.len() >= MAX_REMEMBERED_ENTRIES {
            logged.clear();
        }
        logged.insert(key.to_owned(), revision);
        let error = error.to_string();
        let revision = revision.0;
        log::warn!(target: "store", subject, key, revision, fault = error.as_str(); "entry refused");
        true
    }
}
