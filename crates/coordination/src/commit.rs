//! Committing a configuration by compare-and-swap, when the store's answer may be lost.
//!
//! Each revision is written once under a key of its own, beside the current document, in
//! one transaction. Whether a submission went in is decided by the change id found under
//! the key of its revision, never by guessing. A transaction whose outcome is unknown is
//! sent again: its comparison makes the second run harmless.

use crate::time::Timestamp;
use pitchstall_protocol::configuration::Document;
use pitchstall_protocol::ids::Revision;
use pitchstall_protocol::operator::{ApplyOutcome, ApplyRequest};
use pitchstall_protocol::store::{
    Compare, StoreError, StoreReply, StoreRequest, StoredValue, Write,
};
use std::time::Duration;

/// The store's key of the document in force.
pub const CURRENT_KEY: &str = "pitchstall/configuration/current";

/// The store's key of a past revision.
pub fn history_key(revision: Revision) -> String {
    format!("pitchstall/configuration/history/{:012}", revision.0)
}

/// Reads a document from a stored value; `None` if it is no document.
pub fn decode_document(value: &str) -> Option<Document> {
    serde_json::from_str(value).ok()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Read,
    Write,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitStep {
    /// Send this to the store.
    Send(StoreRequest),
    /// Send this to the store after a pause.
    SendLater(Duration, StoreRequest),
    /// Tell the operator.
    Done(ApplyOutcome),
}

/// One submission on its way into the store.
#[derive(Clone, Debug)]
pub struct Commit {
    request: ApplyRequest,
    give_up_at: Timestamp,
    phase: Phase,
    may_have_written: bool,
}

const PAUSE_BETWEEN_TRIES: Duration = Duration::from_millis(200);

impl Commit {
    /// A submission, and its first step. After `give_up_at` the operator is told what is
    /// known by then.
    pub fn begin(request: ApplyRequest, give_up_at: Timestamp) -> (Self, CommitStep) {
        let commit = Self { request, give_up_at, phase: Phase::Read, may_have_written: false };
        let step = CommitStep::Send(commit.read());
        (commit, step)
    }

    fn target(&self) -> Revision {
        self.request.expected_revision.next()
    }

    fn read(&self) -> StoreRequest {
        StoreRequest::Get { keys: vec![CURRENT_KEY.to_owned(), history_key(self.target())] }
    }

    /// Takes the store's answer.
    pub fn on_reply(
        &mut self,
        now: Timestamp,
        reply: &Result<StoreReply, StoreError>,
    ) -> CommitStep {
        match (self.phase, reply) {
            (Phase::Read, Ok(StoreReply::Values { values, .. })) => self.decide(values),
            (Phase::Write, Ok(StoreReply::Transaction { succeeded: true, .. })) => {
                CommitStep::Done(ApplyOutcome::Committed { revision: self.target() })
            }
            // Another change was first, or our own earlier try was: reading decides.
            (Phase::Write, Ok(_)) => self.read_again(),
            (Phase::Write, Err(StoreError::OutcomeUnknown)) => {
                self.may_have_written = true;
                self.retry(now)
            }
            (_, Err(_)) => self.retry(now),
            (Phase::Read, Ok(_)) => self.retry(now),
        }
    }

    fn read_again(&mut self) -> CommitStep {
        self.phase = Phase::Read;
        CommitStep::Send(self.read())
    }

    fn retry(&mut self, now: Timestamp) -> CommitStep {
        if now >= self.give_up_at {
            let outcome = if self.may_have_written {
                ApplyOutcome::Unknown
            } else {
                ApplyOutcome::Unavailable
            };
            return CommitStep::Done(outcome);
        }
        self.phase = Phase::Read;
        CommitStep::SendLater(PAUSE_BETWEEN_TRIES, self.read())
    }

    fn decide(&mut self, values: &[StoredValue]) -> CommitStep {
        let target_key = history_key(self.target());
        let taken = values.iter().find(|value| value.key == target_key);
        let current = values.iter().find(|value| value.key == CURRENT_KEY);
        let current_document = current.and_then(|value| decode_document(&value.value));
        let current_revision = current_document.map_or(Revision(0), |document| document.revision);
        if let Some(taken) = taken {
            let ours = decode_document(&taken.value)
                .is_some_and(|document| document.change == self.request.change);
            return CommitStep::Done(if ours {
                ApplyOutcome::Committed { revision: self.target() }
            } else {
                ApplyOutcome::Conflict { current: current_revision }
            });
        }
        if current_revision != self.request.expected_revision {
            return CommitStep::Done(ApplyOutcome::Conflict { current: current_revision });
        }
        let write = self.write(current.map_or(0, |value| value.mod_revision));
        self.phase = Phase::Write;
        CommitStep::Send(write)
    }

    /// The document of this submission, committed under `revision`.
    pub fn document(&self, revision: Revision) -> Document {
        Document {
            revision,
            change: self.request.change.clone(),
            configuration: self.request.configuration.clone(),
        }
    }

    fn write(&self, current_mod_revision: u64) -> StoreRequest {
        let document = self.document(self.target());
        let encoded = serde_json::to_string(&document).unwrap_or_default();
        let put = |key: String| Write { key, value: Some(encoded.clone()), lease: None };
        StoreRequest::Transaction {
            compare: vec![Compare {
                key: CURRENT_KEY.to_owned(),
                mod_revision: current_mod_revision,
            }],
            writes: vec![put(CURRENT_KEY.to_owned()), put(history_key(self.target()))],
        }
    }
}
