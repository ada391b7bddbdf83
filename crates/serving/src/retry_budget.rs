//! A retry budget that all nodes share without talking to each other.
//!
//! The fleet as a whole may repeat a share of its requests in any window, and a fixed number of
//! attempts (the slack) besides. Each node keeps a token bucket: a request adds a share of a
//! token, an extra attempt takes a whole one before it is sent, and the bucket holds no more
//! than the node's part of the slack. What leaves a bucket within a window was in it when the
//! window began, or was added within the window. So the extra attempts of all nodes are at most
//! the sum of their buckets plus the share of the requests that they took in the same window,
//! whatever the window, and whoever was restarted in it: a new process begins with an empty
//! bucket, and what an earlier one had saved is lost with it.

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Extra attempts allowed for each request.
    pub ratio: f64,
    /// Most extra attempts that this node saves up, see [`RetryPolicy::part_of_slack`].
    pub max_saved: f64,
}

impl RetryPolicy {
    /// A node's part of the slack that a fleet of so many nodes shares. A node that knows of no
    /// other may only not have met them yet, so it saves no more than one attempt.
    pub fn node_slack(slack: f64, nodes: usize) -> f64 {
        let part = slack * SAVABLE_SLACK_SHARE / nodes.max(1) as f64;
        if nodes < 2 {
            return part.min(1.0);
        }
        part
    }
}

/// Share of the slack that all nodes together may save. The rest covers extra attempts that were
/// sent before a window and arrive in it, and nodes that do not know all others yet.
const SAVABLE_SLACK_SHARE: f64 = 0.75;

/// Share of the ratio that a request earns. The rest covers requests that a client sent before a
/// window and that a node read only in it, as after a pause of the node.
const EARNED_RATIO_SHARE: f64 = 0.9;

/// The budget of one node for one service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    policy: RetryPolicy,
    /// Extra attempts that may be made now.
    saved: f64,
}

impl SharedRetryBudget {
    /// A budget with nothing earned.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, saved: 0.0 }
    }

    /// Changes the bounds; what was saved beyond them is lost.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.saved = self.saved.min(policy.max_saved);
    }

    /// A request for the service was taken from a client.
    pub fn on_request(&mut self) {
        self.add(self.policy.ratio * EARNED_RATIO_SHARE);
    }

    /// Takes one extra attempt, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if !self.has_attempt() {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// An extra attempt that was withdrawn turned out not to be one.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    /// Whether an extra attempt could be made now.
    pub fn has_attempt(&self) -> bool {
        self.saved >= 1.0
    }

    fn add(&mut self, attempts: f64) {
        self.saved = (self.saved + attempts).min(self.policy.max_saved);
    }
}

/// How an arrival of a request at a runner is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalCost {
    /// It is no extra attempt.
    Free,
    /// It is an extra attempt unless the runner takes it up: paid for before it is sent, and
    /// refunded afterwards if it was taken up.
    Deposit,
    /// It is an extra attempt.
    Extra,
}

/// Which arrivals of one request at runners draw on the budget.
///
/// The first arrival is free. A reading of the prompt is free besides, but only the first one,
/// and only if a runner takes it up: otherwise it was an arrival like any other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalLedger {
    has_arrived: bool,
    has_tried_prefill: bool,
}

impl ArrivalLedger {
    /// The request goes to a runner that is to run it.
    pub fn on_run(&mut self) -> ArrivalCost {
        match std::mem::replace(&mut self.has_arrived, true) {
            false => ArrivalCost::Free,
            true => ArrivalCost::Extra,
        }
    }

    /// The request goes to a runner that is to read it.
    pub fn on_prefill(&mut self) -> ArrivalCost {
        let has_tried_prefill = std::mem::replace(&mut self.has_tried_prefill, true);
        match (has_tried_prefill, self.has_arrived) {
            (true, _) => ArrivalCost::Extra,
            (false, true) => ArrivalCost::Deposit,
            (false, false) => ArrivalCost::Free,
        }
    }

    /// A reading was not taken up, or nobody knows: then it has been an arrival.
    pub fn on_prefill_not_accepted(&mut self) {
        self.has_arrived = true;
    }
}
