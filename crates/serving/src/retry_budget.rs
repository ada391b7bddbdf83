//! A retry budget for the whole fleet that holds without agreement between nodes.
//!
//! In any window, the fleet may send extra attempts for a share of its requests (the ratio), plus a
//! fixed number of attempts (the slack). Each node has a token bucket: a request adds a fraction of
//! a token, an extra attempt takes a whole token before it is sent, and the capacity is the node's
//! part of the slack. The tokens that leave a bucket within a window were either in it at the start
//! of the window or were added within it. The extra attempts of all nodes are therefore at most the
//! sum of the bucket capacities plus the ratio of the requests received in the same window. This
//! also holds across restarts: a new process starts with an empty bucket, and the tokens of its
//! predecessor are lost.
//!
//! In a large fleet, a node's part of the slack is less than a few attempts and its requests are few.
//! Its tokens are then pooled with those of other nodes ([`crate::retry_pool`]). Tokens in a pool
//! take up the capacity of the bucket from which they came, so the bound above still holds.

use crate::retry_pool::{RetryTokens, DEPOSIT_TTL_US, MAX_DEPOSIT_DELAY_US};
use std::collections::VecDeque;

/// Bounds of a node's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Capacity of this node's bucket, in extra attempts; see [`RetryPolicy::node_slack`].
    pub max_saved: f64,
    /// Whether the node pools its tokens with those of other nodes.
    pub is_pooled: bool,
}

impl RetryPolicy {
    /// The bounds for one of `nodes` nodes that share a slack, in extra attempts. Tokens are pooled
    /// if the node's part of the slack is too small to be used well by itself.
    pub fn of_node(ratio: f64, slack: f64, nodes: usize) -> Self {
        let max_saved = Self::node_slack(slack, nodes);
        Self { ratio, max_saved, is_pooled: nodes > 1 && max_saved < MIN_UNPOOLED_ATTEMPTS }
    }

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

/// Minimum capacity of a bucket whose tokens are not pooled, in extra attempts. A smaller bucket is
/// emptied by a few failures in a row, while those of other nodes are full.
const MIN_UNPOOLED_ATTEMPTS: f64 = 4.0;
/// Time after which a deposit has certainly expired, in microseconds.
const DEPOSIT_LIFETIME_US: u64 = DEPOSIT_TTL_US + MAX_DEPOSIT_DELAY_US;

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
    /// Tokens that may be in a pool, the oldest first.
    deposits: VecDeque<PooledDeposit>,
    /// Whether tokens of the node's previous process may be in a pool. They are unknown, so they
    /// count as the whole capacity.
    may_have_inherited_deposits: bool,
}

/// Tokens that a node has deposited in a pool.
#[derive(Clone, Copy, Debug)]
struct PooledDeposit {
    expires_at_us: u64,
    tokens: RetryTokens,
}

impl SharedRetryBudget {
    /// Creates a budget without any tokens at a process that has just started.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, saved: 0.0, deposits: VecDeque::new(), may_have_inherited_deposits: true }
    }

    /// Creates a budget without any tokens at a process that was started `uptime_us` microseconds
    /// before.
    pub fn new_at(policy: RetryPolicy, uptime_us: u64) -> Self {
        let may_have_inherited_deposits = uptime_us < DEPOSIT_LIFETIME_US;
        Self { may_have_inherited_deposits, ..Self::new(policy) }
    }

    /// Changes the bounds. Tokens beyond the new capacity are lost.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.saved = self.saved.min(self.capacity());
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

    /// Returns a withdrawn attempt that turned out not to be an extra one. An attempt that tokens out
    /// of a pool paid for is returned to the pool instead.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    /// Whether an extra attempt is available now.
    pub fn has_attempt(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes the tokens that are to be deposited in a pool. Returns `None` if there are none, if the
    /// node's capacity is large enough without a pool, or if the tokens cover an attempt of this node.
    /// `now_us` is the time since the start of the process, in microseconds.
    pub fn take_deposit(&mut self, now_us: u64) -> Option<RetryTokens> {
        self.expire_deposits(now_us);
        if !self.policy.is_pooled || self.has_attempt() {
            return None;
        }
        let tokens = self.take_fraction();
        if tokens == RetryTokens::NONE {
            return None;
        }
        let expires_at_us = now_us + DEPOSIT_LIFETIME_US;
        self.deposits.push_back(PooledDeposit { expires_at_us, tokens });
        Some(tokens)
    }

    /// Frees the capacity that expired deposits took up. `now_us` is the time since the start of the
    /// process, in microseconds.
    pub fn expire_deposits(&mut self, now_us: u64) {
        self.may_have_inherited_deposits &= now_us < DEPOSIT_LIFETIME_US;
        while self.deposits.front().is_some_and(|oldest| oldest.expires_at_us <= now_us) {
            self.deposits.pop_front();
        }
    }

    /// Takes the available tokens, less than those of a whole attempt, to complete them from a pool.
    pub fn take_fraction(&mut self) -> RetryTokens {
        let tokens = RetryTokens::from_attempts(self.saved.min(1.0));
        self.saved -= tokens.attempts();
        tokens
    }

    /// Returns tokens of [`Self::take_fraction`] that were not used. Tokens out of a pool are returned
    /// to the pool instead.
    pub fn add_tokens(&mut self, tokens: RetryTokens) {
        self.add(tokens.attempts());
    }

    /// Whether the node pools its tokens with those of other nodes.
    pub fn is_pooled(&self) -> bool {
        self.policy.is_pooled
    }

    fn add(&mut self, attempts: f64) {
        self.saved = (self.saved + attempts).min(self.capacity());
    }

    /// The capacity that tokens in pools do not take up, in extra attempts.
    fn capacity(&self) -> f64 {
        if self.policy.is_pooled && self.may_have_inherited_deposits {
            return 0.0;
        }
        let deposited: f64 = self.deposits.iter().map(|deposit| deposit.tokens.attempts()).sum();
        (self.policy.max_saved - deposited).max(0.0)
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

    /// Whether sending the request to a runner that runs it is an extra attempt.
    pub fn is_next_run_extra(&self) -> bool {
        self.has_arrived
    }

    /// Whether sending the request to a runner that prefills it is charged.
    pub fn is_next_prefill_charged(&self) -> bool {
        self.has_tried_prefill || self.has_arrived
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
