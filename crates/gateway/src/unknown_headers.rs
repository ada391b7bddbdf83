//! Remembers the names of runners' response headers that this version does not know.

use std::collections::BTreeSet;

/// Maximum number of names to remember. Each of them is logged once; further names are not logged.
const MAX_NAMES: usize = 16;

/// The unknown header names received so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: BTreeSet<String>,
}

impl UnknownHeaders {
    /// Records a name. Returns whether it is to be logged: it is new, and the limit is not reached.
    pub fn record(&mut self, name: &str) -> bool {
        self.names.len() < MAX_NAMES && self.names.insert(name.to_owned())
    }
}
