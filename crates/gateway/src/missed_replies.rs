//! Tracks nodes that did not reply in time and skips them for a while.

use pitchstall_serving::ids::NodeId;
use std::cell::RefCell;
use std::collections::HashMap;

/// Number of consecutive missed replies after which a node is skipped. A single missing reply may
/// be a lost datagram.
const MISSED_BEFORE_SKIP: u32 = 2;
/// How long a node is skipped, in microseconds. A process that was killed is restarted within a few
/// seconds.
const SKIP_DURATION_US: u64 = 2_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Missed {
    consecutive: u32,
    skipped_until_us: u64,
}

/// The nodes that have not replied in time since their last reply.
#[derive(Debug, Default)]
pub struct MissedReplies {
    by_node: RefCell<HashMap<NodeId, Missed>>,
}

impl MissedReplies {
    /// Whether a node is currently skipped.
    pub fn is_skipped(&self, node: &NodeId, now_us: u64) -> bool {
        let by_node = self.by_node.borrow();
        by_node.get(node).is_some_and(|missed| now_us < missed.skipped_until_us)
    }

    /// Records that a node has replied, which resets its count of missed replies.
    pub fn on_reply(&self, node: &NodeId) {
        self.by_node.borrow_mut().remove(node);
    }

    /// Records that a node has not replied in time. Returns whether the node is skipped as a
    /// result.
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
