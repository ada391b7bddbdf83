//! A retry budget for the whole fleet that needs no communication between nodes.
//!
//! In any window, the fleet may send extra attempts for a share of its requests (the ratio), plus a
//! fixed number of attempts (the slack). Each node has a token bucket: a request adds a fraction of
//! a token, an extra attempt takes a whole token before it is sent, and the capacity is the node's
//! part of the slack. The tokens that leave a bucket within a window were either in it at the start
//! of the window or were added within it. The extra attempts of all nodes are therefore at most the
//! sum of the bucket capacities plus the ratio of the requests received in the same window. This
//! also holds across restarts: a new process starts with an empty bucket, and the tokens of its
//! predecessor are lost.

/// Bounds of a node's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Capacity of this node's bucket, in extra attempts; see [`RetryPolicy::node_slack`].
    pub max_saved: f64,
}

impl RetryPolicy {
    /// A node's part of the slack that a fleet of `nodes` nodes shares. A node that knows no other
    /// node may only not have discovered them yet, so its part is at most one attempt.
    pub fn node_slack(slack: f64, nodes: usize) -> f64 {
        let part = slack * SAVABLE_SLACK_SHARE / nodes.max(1) as f64;
        if nodes < 2 {
            return part.min(1.0);
        }
        part
    }
}

/// Fraction of the slack that the buckets of all nodes together may hold. The rest covers extra
/// attempts that were sent before a window and arrive within it, and nodes that do not know all
/// others yet.
const SAVABLE_SLACK_SHARE: f64 = 0.75;

/// Fraction of the ratio that a request adds to the bucket. The rest covers requests that a client
/// sent before a window but a node read within it, for example after the node was paused.
const EARNED_RATIO_SHARE: f64 = 0.9;

/// The retry budget of one node for one service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    policy: RetryPolicy,
    /// Extra attempts that are available now, with fractions.
    saved: f64,
}

impl SharedRetryBudget {
    /// Creates a budget without any tokens.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, saved: 0.0 }
    }

    /// Changes the bounds. Tokens beyond the new capacity are lost.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.saved = self.saved.min(policy.max_saved);
    }

    /// Adds the tokens for a request received from a client.
    pub fn on_request(&mut self) {
        self.add(self.policy.ratio * EARNED_RATIO_SHARE);
    }

    /// Takes one extra attempt; returns `false` if none is available.
    pub fn withdraw(&mut self) -> bool {
        if !self.has_attempt() {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns a withdrawn attempt that turned out not to be an extra one.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    /// Whether an extra attempt is available now.
    pub fn has_attempt(&self) -> bool {
        self.saved >= 1.0
    }

    fn add(&mut self, attempts: f64) {
        self.saved = (self.saved + attempts).min(self.policy.max_saved);
    }
}

/// How an arrival of a request at a runner is charged to the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalCost {
    /// The arrival is not an extra attempt and costs nothing.
    Free,
    /// The arrival is an extra attempt unless the runner accepts it: it is charged before it is
    /// sent, and refunded if it was accepted.
    Deposit,
    /// The arrival is an extra attempt, which is charged and not refunded.
    Extra,
}

/// Tracks which arrivals of one request at runners are charged to the budget.
///
/// The first arrival is free. In addition, the first prefill is free if a runner accepts it;
/// otherwise it counts as an ordinary arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalLedger {
    has_arrived: bool,
    has_tried_prefill: bool,
}

impl ArrivalLedger {
    /// Charges for sending the request to a runner that runs it.
    pub fn on_run(&mut self) -> ArrivalCost {
        match std::mem::replace(&mut self.has_arrived, true) {
            false => ArrivalCost::Free,
            true => ArrivalCost::Extra,
        }
    }

    /// Charges for sending the request to a runner that prefills it.
    pub fn on_prefill(&mut self) -> ArrivalCost {
        let has_tried_prefill = std::mem::replace(&mut self.has_tried_prefill, true);
        match (has_tried_prefill, self.has_arrived) {
            (true, _) => ArrivalCost::Extra,
            (false, true) => ArrivalCost::Deposit,
            (false, false) => ArrivalCost::Free,
        }
    }

    /// Records that a prefill was not accepted, or that its outcome is unknown: it counts as an
    /// arrival.
    pub fn on_prefill_not_accepted(&mut self) {
        self.has_arrived = true;
    }
}
