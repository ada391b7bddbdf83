//! Entries of the store that another writer left there and that cannot be used: each is told once a revision.

use pitchstall_serving::store_revision::RevisionNumber;
use std::cell::RefCell;
use std::collections::HashMap;

/// Entries that are remembered, to be told once only: some 0.2 MB with keys of 200 bytes, the store's longest
/// (worked out). With more of them, some are told again when everything is read anew.
const MAX_REMEMBERED_ENTRIES: usize = 1_024;

/// Why an entry is not used.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// Its value is not the document that belongs under its key.
    #[error("{0}")]
    InvalidDocument(String),
    /// Its value is no text.
    #[error("its value is no text in JSON")]
    NotUtf8,
    /// Its key is none that belongs under its prefix.
    #[error("its key names nothing")]
    InvalidKey,
    /// Other runners tell when they started, and this entry does not.
    #[error("it lacks the field born, which other runners' entries have")]
    MissingStartTime,
}

/// The entries that were refused, and at which revision.
#[derive(Debug, Default)]
pub struct RefusedEntries {
    logged: RefCell<HashMap<String, RevisionNumber>>,
}

impl RefusedEntries {
    /// The store gives its revisions out again: each entry is told once more.
    pub fn on_later_era(&self) {
        self.logged.borrow_mut().clear();
    }

    /// An entry is refused. Returns whether this revision of it had not been refused before; then a line
    /// says why.
    pub fn on_refused(
        &self,
        subject: &str,
        key: &str,
        revision: RevisionNumber,
        fault: &EntryError,
    ) -> bool {
        let mut logged = self.logged.borrow_mut();
        if logged.get(key) == Some(&revision) {
            return false;
        }
        if logged.len() >= MAX_REMEMBERED_ENTRIES {
            logged.clear();
        }
        logged.insert(key.to_owned(), revision);
        let fault = fault.to_string();
        let revision = revision.0;
        log::warn!(target: "store", subject, key, revision, fault = fault.as_str(); "entry refused");
        true
    }
}
