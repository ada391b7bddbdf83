//! A retry budget that all nodes share without talking to each other.
//!
//! The fleet as a whole may repeat only a share of its requests in any window. Each node keeps
//! to that share of the requests it has taken itself, so the sum over all nodes keeps to it
//! too, whatever the others do; of the slack that the fleet has besides, each takes a small
//! part. A restarted node begins with nothing earned: what an earlier
//! process earned and spent stays with the requests of that process. So that this holds in any
//! window, what is earned is spent within a small part of one: a node that spent the earnings
//! of a whole window just before it was restarted, and earned anew, would spend them twice.

use std::collections::VecDeque;

/// The bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Extra attempts allowed for each request.
    pub ratio: f64,
    /// Length of the window, microseconds.
    pub window_us: u64,
    /// This node's part of the extra attempts that the fleet has besides, see
    /// [`RetryPolicy::part_of_slack`].
    pub slack: f64,
}

impl RetryPolicy {
    /// A node's part of the slack that a fleet of so many nodes shares. A node that knows of no
    /// other has none: it may only not have met them yet. Parts are small enough that they
    /// still fit when every node has been restarted, and so begun anew, within the window.
    pub fn part_of_slack(slack: f64, nodes: usize) -> f64 {
        if nodes < 2 {
            return 0.0;
        }
        slack * USED_SLACK / nodes as f64
    }
}

/// The part of the slack that is spent.
const USED_SLACK: f64 = 0.35;

/// The part of the ratio that is spent; the rest covers requests at the window's edge.
const USED_SHARE: f64 = 0.9;

/// So many times in a window what was earned lapses.
const LAPSES_IN_WINDOW: u64 = 8;

/// The budget of one node for one service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    policy: RetryPolicy,
    requests: VecDeque<u64>,
    extras: VecDeque<u64>,
}

impl SharedRetryBudget {
    /// A budget with nothing earned.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, requests: VecDeque::new(), extras: VecDeque::new() }
    }

    /// Changes the bounds; what was earned and spent stays.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
    }

    /// A request for the service was taken from a client.
    pub fn on_request(&mut self, now_us: u64) {
        self.forget_before(now_us);
        self.requests.push_back(now_us);
    }

    /// Takes one extra attempt, if the window allows it.
    pub fn withdraw(&mut self, now_us: u64) -> bool {
        self.forget_before(now_us);
        if self.available_at(now_us) < 1.0 {
            return false;
        }
        self.extras.push_back(now_us);
        true
    }

    /// An extra attempt was made that could not be foreseen.
    pub fn record(&mut self, now_us: u64) {
        self.forget_before(now_us);
        self.extras.push_back(now_us);
    }

    /// Extra attempts that could be made now.
    pub fn available(&mut self, now_us: u64) -> f64 {
        self.forget_before(now_us);
        self.available_at(now_us)
    }

    /// What is left of the whole window, and of the time in which earnings lapse.
    fn available_at(&self, now_us: u64) -> f64 {
        let window = self.left_of(self.requests.len(), self.extras.len());
        let lapsed = now_us.saturating_sub(self.policy.window_us / LAPSES_IN_WINDOW);
        let since = |times: &VecDeque<u64>| times.len() - times.partition_point(|at| *at < lapsed);
        window.min(self.left_of(since(&self.requests), since(&self.extras))).max(0.0)
    }

    fn left_of(&self, requests: usize, extras: usize) -> f64 {
        requests as f64 * self.policy.ratio * USED_SHARE + self.policy.slack - extras as f64
    }

    fn forget_before(&mut self, now_us: u64) {
        let start = now_us.saturating_sub(self.policy.window_us);
        for times in [&mut self.requests, &mut self.extras] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Which arrivals of one request at runners draw on the budget.
///
/// The first arrival is free. A reading of the prompt is free besides, but only the first one,
/// and only if a runner has taken it up: otherwise it was an arrival like any other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalLedger {
    has_arrived: bool,
    has_been_read: bool,
}

impl ArrivalLedger {
    /// The request goes to a runner that is to run it. Returns whether that is free.
    pub fn on_run(&mut self) -> bool {
        !std::mem::replace(&mut self.has_arrived, true)
    }

    /// The request goes to a runner that is to read it. Returns whether that is free.
    pub fn on_reading(&mut self) -> bool {
        !std::mem::replace(&mut self.has_been_read, true)
    }

    /// A reading that was free was not taken up, or nobody knows. Returns whether it has been
    /// an arrival that draws on the budget.
    pub fn on_reading_not_taken(&mut self) -> bool {
        std::mem::replace(&mut self.has_arrived, true)
    }
}
