//! Names of headers in which runners say something that this program does not know.

use std::collections::BTreeSet;

/// Names that are remembered: each is logged once, and later ones beyond that not at all.
const MOST_NAMES: usize = 16;

/// The names that have been met.
#[derive(Debug, Default)]
pub struct UnknownWords {
    names: BTreeSet<String>,
}

impl UnknownWords {
    /// A name was met; returns whether operators are to hear of it.
    pub fn note(&mut self, name: &str) -> bool {
        self.names.len() < MOST_NAMES && self.names.insert(name.to_owned())
    }
}
