//! Counters of a node. The daemon publishes them; the state machine only counts.

use pitchstall_protocol::error::ErrorCode;
use std::collections::BTreeMap;

/// Counters since the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests submitted by callers.
    pub submitted: u64,
    /// Answers delivered whole.
    pub finished: u64,
    /// Failures by kind.
    pub failed: BTreeMap<ErrorCode, u64>,
    /// Output tokens delivered.
    pub tokens: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Streams read on after a break.
    pub stream_resumes: u64,
    /// Events dropped because they belonged to another request.
    pub crossed_events: u64,
    /// Requests passed to another zone.
    pub forwarded: u64,
    /// Orders sent to engines.
    pub orders: u64,
    /// Role changes that were begun.
    pub role_changes: u64,
    /// Claims asked for.
    pub claims: u64,
    /// Answers replayed for a repeated idempotency key.
    pub replays: u64,
    /// Requests sent to the store.
    pub store_requests: u64,
    /// Messages sent to other nodes.
    pub peer_messages: u64,
}

impl Counters {
    /// Counts a failure.
    pub fn count_failure(&mut self, code: ErrorCode) {
        *self.failed.entry(code).or_default() += 1;
    }
}

/// Levels at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that wait.
    pub queued: usize,
    /// Requests in work, waiting ones included.
    pub in_work: usize,
    /// The configuration revision in force here.
    pub revision: u64,
    /// Milliseconds since the configuration was surely the latest; `None`: never.
    pub configuration_age_ms: Option<u64>,
    /// The epoch held; zero: none.
    pub epoch: u64,
    /// Engines of the zone that take work.
    pub engines_ready: usize,
    /// Nodes of the zone that are live, this one included.
    pub nodes_live: usize,
}
