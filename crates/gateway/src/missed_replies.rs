//! Nodes that did not answer soon, and are passed over for a time.

use pitchstall_serving::ids::NodeId;
use std::cell::RefCell;
use std::collections::HashMap;

/// Answers missed one after the other after which a node is passed over, and for how long, microseconds:
/// one may be a lost datagram; a process that was killed is back after some seconds.
const MISSED_BEFORE_SKIP: u32 = 2;
const SKIP_DURATION_US: u64 = 2_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Missed {
    consecutive: u32,
    skipped_until_us: u64,
}

/// The nodes that have missed answers.
#[derive(Debug, Default)]
pub struct MissedReplies {
    by_node: RefCell<HashMap<NodeId, Missed>>,
}

impl MissedReplies {
    /// Whether a node is passed over now.
    pub fn is_skipped(&self, node: &NodeId, now_us: u64) -> bool {
        let by_node = self.by_node.borrow();
        by_node.get(node).is_some_and(|missed| now_us < missed.skipped_until_us)
    }

    /// A node has answered.
    pub fn on_reply(&self, node: &NodeId) {
        self.by_node.borrow_mut().remove(node);
    }

    /// A node has not answered; returns whether it is passed over because of that.
    pub fn on_timeout(&self, node: &NodeId, now_us: u64) -> bool {
        let mut by_node = self.by_node.borrow_mut();
        let missed = by_node.entry(node.clone()).or_default();
        missed.consecutive += 1;
        let is_skipped = missed.consecutive >= MISSED_BEFORE_SKIP;
        if is_skipped {
            missed.skipped_until_us = now_us + SKIP_DURATION_US;
        }
        is_skipped
    }
}
