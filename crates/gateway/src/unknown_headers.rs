//! Names of headers in which runners say something that this program does not know.

use std::collections::BTreeSet;

/// Names that are remembered: each is logged once, and later ones beyond that not at all.
const MAX_NAMES: usize = 16;

/// The names that have been met.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: BTreeSet<String>,
}

impl UnknownHeaders {
    /// A name was met; returns whether operators are to hear of it.
    pub fn record(&mut self, name: &str) -> bool {
        self.names.len() < MAX_NAMES && self.names.insert(name.to_owned())
    }
}
