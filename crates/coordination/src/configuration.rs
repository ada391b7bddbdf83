//! A node's replica of the configuration, and how long ago it was surely the latest.
//!
//! The replica takes only higher revisions, so nothing reverts, by whichever way a document
//! comes: from the store, or from another node.
//!
//! Beside the document it keeps the instant, on its own clock, at which it knew that no later
//! revision had been committed: the sending of a read of the store, or of a message that
//! another node answered with such a proof and its age. Data moves between zones only while
//! that instant lies within a bound. So a node that is cut off with an old document stops
//! moving data by itself, and a zone that was taken off a service is safe everywhere one
//! bound after the commit, whoever was cut off.

use crate::time::{micros, Timestamp};
use pitchstall_protocol::configuration::{Configuration, Document};
use pitchstall_protocol::ids::Revision;
use std::rc::Rc;
use std::time::Duration;

/// The default bound on the age of the proof under which data moves between zones.
pub const DEFAULT_MOVEMENT_BOUND: Duration = Duration::from_secs(6);

/// What a message from another node asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// Nothing; both have the same.
    Nothing,
    /// Ask that node for its document.
    Pull,
    /// Send that node ours.
    Push,
}

/// A node's replica of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationReplica {
    document: Option<Rc<Document>>,
    verified_at: Option<Timestamp>,
    movement_bound: Duration,
}

impl ConfigurationReplica {
    /// An empty replica.
    pub fn new(movement_bound: Duration) -> Self {
        Self { document: None, verified_at: None, movement_bound }
    }

    /// The revision in force here; zero without a document.
    pub fn revision(&self) -> Revision {
        self.document.as_ref().map_or(Revision(0), |document| document.revision)
    }

    /// The document in force here.
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.document.as_ref()
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.document.as_deref().map(|document| &document.configuration)
    }

    /// Takes a document if it is newer. Returns whether it was.
    pub fn on_document(&mut self, document: Rc<Document>) -> bool {
        let newer = document.revision > self.revision();
        if newer {
            self.document = Some(document);
        }
        newer
    }

    /// Takes what a read of the store returned that was sent at `sent`. Returns whether
    /// the document was newer.
    pub fn on_store_read(&mut self, sent: Timestamp, document: Option<Rc<Document>>) -> bool {
        let newer = document.is_some_and(|document| self.on_document(document));
        self.verify(sent);
        newer
    }

    /// Takes another node's proof. `echo` is the instant of our own clock that the message
    /// proves to have been sent after; `age` is the age of the proof at its sending.
    pub fn on_peer(
        &mut self,
        revision: Revision,
        echo: Option<Timestamp>,
        age: Option<Duration>,
    ) -> Exchange {
        if revision > self.revision() {
            // The proof is about a document that we do not have yet.
            return Exchange::Pull;
        }
        // All that was committed before the proof is at most `revision`, which we have.
        if let (Some(echo), Some(age)) = (echo, age) {
            self.verify(echo.before(age));
        }
        if revision < self.revision() {
            Exchange::Push
        } else {
            Exchange::Nothing
        }
    }

    /// Takes an instant at which the replica was surely the latest.
    fn verify(&mut self, instant: Timestamp) {
        if self.verified_at.is_none_or(|known| instant > known) {
            self.verified_at = Some(instant);
        }
    }

    /// Time since the replica was surely the latest; `None`: it never was.
    pub fn verified_age(&self, now: Timestamp) -> Option<Duration> {
        self.verified_at.map(|instant| now.since(instant))
    }

    /// The same in microseconds, for messages.
    pub fn verified_age_us(&self, now: Timestamp) -> Option<u64> {
        self.verified_age(now).map(micros)
    }

    /// Whether data may move from this zone to another one now.
    pub fn may_move_data(&self, now: Timestamp) -> bool {
        self.verified_age(now).is_some_and(|age| age < self.movement_bound)
    }

    /// The bound after which a cut-off node moves no data.
    pub fn movement_bound(&self) -> Duration {
        self.movement_bound
    }
}
