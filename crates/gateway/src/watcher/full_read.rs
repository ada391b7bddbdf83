//! Reads of all entries of a subject from the store, and why a node makes them.

use crate::clock::Instant;
use crate::node::Node;
use pitchstall_serving::store_replica::Subject;

/// Why a node reads all entries from the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FullReadReason {
    /// The node reads the store on behalf of others.
    StoreReader,
    /// No node that could be followed has a replica that can be relied on.
    NoSource,
}

impl FullReadReason {
    /// Name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::StoreReader => "store_reader",
            Self::NoSource => "no_source",
        }
    }
}

/// A read of all entries that is under way.
pub(super) struct FullRead {
    subject: Subject,
    reason: FullReadReason,
    started_at: Instant,
}

impl FullRead {
    /// Logs and counts the beginning of a read.
    pub(super) fn begin(node: &Node, subject: Subject, reason: FullReadReason) -> Self {
        let (name, nodes) = (subject.name(), node.known_node_count());
        let reason_name = reason.name();
        node.metrics.on_full_read(name, reason_name);
        log::info!(target: "store", subject = name, reason = reason_name, nodes; "reading all entries");
        Self { subject, reason, started_at: Instant::now() }
    }

    /// Logs the end of a read that has received all entries.
    pub(super) fn end(self, entries: usize) {
        let (subject, reason) = (self.subject.name(), self.reason.name());
        let took_ms = self.started_at.elapsed().as_millis();
        log::info!(target: "store", subject, reason, entries, took_ms; "all entries read");
    }
}
