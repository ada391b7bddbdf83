//! Adoption of configurations: one store, one node that watches it, and one peer.
//!
//! The node reads the store (its current state or a stale one), watches it from a revision, and
//! receives from the peer the version that the peer has in force. The store may discard its
//! history, and watches may be cut.

use std::collections::BTreeSet;

const MAX_VERSIONS: u8 = 3;

/// Switches of the safeguards; with all of them on, the protocol is as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// Only a higher version replaces the one in force.
    pub only_higher: bool,
    /// When the history is gone, the node reads everything again.
    pub reread_when_history_is_gone: bool,
    /// The first read is linearizable, and the watch continues from its revision.
    pub watch_from_read_revision: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        only_higher: true,
        reread_when_history_is_gone: true,
        watch_from_read_revision: true,
    };
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    /// The store's latest version; versions are also its revisions.
    stored: u8,
    /// Oldest revision from which a watch may continue.
    history_from: u8,
    in_force: u8,
    /// Revision up to which the node assumes that it knows everything.
    synced_to: Option<u8>,
    peer: u8,
    in_transit: BTreeSet<u8>,
    pub violated: bool,
}

impl State {
    pub fn next(&self, safeguards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        self.store_steps(&mut states);
        self.peer_steps(safeguards, &mut states);
        self.node_steps(safeguards, &mut states);
        states
    }

    fn store_steps(&self, states: &mut Vec<Self>) {
        if self.stored < MAX_VERSIONS {
            states.push(Self { stored: self.stored + 1, ..self.clone() });
        }
        states.push(Self { history_from: self.stored, ..self.clone() });
    }

    fn peer_steps(&self, safeguards: Safeguards, states: &mut Vec<Self>) {
        states.push(Self { peer: self.stored, ..self.clone() });
        let mut sent = self.clone();
        sent.in_transit.insert(self.peer);
        states.push(sent);
        for version in &self.in_transit {
            let mut received = self.clone();
            received.in_transit.remove(version);
            received.adopt(*version, safeguards);
            states.push(received);
        }
    }

    fn node_steps(&self, safeguards: Safeguards, states: &mut Vec<Self>) {
        let mut restarted = self.clone();
        restarted.in_force = 0;
        restarted.synced_to = None;
        states.push(restarted);
        let Some(synced_to) = self.synced_to else {
            return self.first_read(safeguards, states);
        };
        if synced_to < self.history_from {
            let mut gone = self.clone();
            gone.synced_to = (!safeguards.reread_when_history_is_gone).then_some(self.stored);
            gone.check();
            states.push(gone);
        } else if synced_to < self.stored {
            let mut event = self.clone();
            event.adopt(synced_to + 1, safeguards);
            event.synced_to = Some(synced_to + 1);
            event.check();
            states.push(event);
        }
    }

    fn first_read(&self, safeguards: Safeguards, states: &mut Vec<Self>) {
        let oldest = if safeguards.watch_from_read_revision { self.stored } else { 0 };
        for seen in oldest..=self.stored {
            let mut read = self.clone();
            read.adopt(seen, safeguards);
            // Without the safeguard the read is stale and the watch starts from the current
            // revision.
            read.synced_to = Some(self.stored);
            read.check();
            states.push(read);
        }
    }

    fn adopt(&mut self, version: u8, safeguards: Safeguards) {
        if version > self.in_force || !safeguards.only_higher {
            self.violated |= version < self.in_force;
            self.in_force = version;
        }
    }

    /// A node that assumes that it knows everything up to a revision has that version in force.
    fn check(&mut self) {
        self.violated |= self.synced_to.is_some_and(|synced_to| self.in_force < synced_to);
    }
}
