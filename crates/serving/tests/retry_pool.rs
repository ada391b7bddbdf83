//! Retry tokens that are pooled: whoever keeps them, the fleet's bound holds, and a fleet's size does
//! not decide how many of its requests can be sent again.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::retry_budget::{RetryPolicy, SharedRetryBudget};
use pitchstall_serving::retry_pool::{
    RetryDeposit, RetryPool, RetryQuery, RetryReturn, RetryTokens, ServiceDeposit, DEPOSIT_TTL_US,
    MAX_DEPOSIT_DELAY_US,
};
use pitchstall_serving::scheduling::Ticket;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const RATIO: f64 = 0.2;

fn desk() -> ServiceName {
    ServiceName::new("desk")
}

fn deposit(incarnation: u64, number: u64, attempts: f64) -> RetryDeposit {
    let tokens = RetryTokens::from_attempts(attempts);
    let deposits = vec![ServiceDeposit { service: desk(), tokens }];
    RetryDeposit { ticket: Ticket { incarnation, number }, sent_at_ms: 0, deposits }
}

/// A query with a ticket that no other query has.
fn query(wanted: RetryTokens) -> RetryQuery {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let ticket = Ticket { incarnation: 0, number: NUMBER.fetch_add(1, Ordering::Relaxed) };
    RetryQuery { ticket, service: desk(), wanted }
}

fn take_one(pool: &mut RetryPool, now_us: u64) -> f64 {
    pool.grant(&query(RetryTokens::ONE_ATTEMPT), now_us).attempts()
}

const LARGE: RetryTokens = RetryTokens::ONE_ATTEMPT;

#[test]
fn fractions_of_several_nodes_make_an_attempt() {
    let mut pool = RetryPool::default();
    (1..=3).for_each(|node| pool.on_deposit(&deposit(node, 1, 0.4), LARGE.plus(LARGE), 0, 0));
    assert_eq!(take_one(&mut pool, 0), 1.0);
    assert_eq!(take_one(&mut pool, 0), 0.2);
}

#[test]
fn a_repeated_or_overtaken_deposit_adds_nothing() {
    let mut pool = RetryPool::default();
    for number in [2, 2, 1] {
        pool.on_deposit(&deposit(1, number, 0.3), LARGE, 0, 0);
    }
    assert_eq!(take_one(&mut pool, 0), 0.3);
}

/// Guards against deposits of an earlier time that a keeper reads after a pause.
#[test]
fn a_deposit_that_was_under_way_for_long_adds_nothing() {
    let mut pool = RetryPool::default();
    pool.on_deposit(&deposit(1, 1, 0.5), LARGE, MAX_DEPOSIT_DELAY_US / MILLI + 1, 0);
    assert_eq!(take_one(&mut pool, 0), 0.0);
}

#[test]
fn a_deposit_expires() {
    let mut pool = RetryPool::default();
    pool.on_deposit(&deposit(1, 1, 0.5), LARGE, 0, 0);
    assert_eq!(take_one(&mut pool, DEPOSIT_TTL_US), 0.0);
}

#[test]
fn a_pool_holds_no_more_than_its_capacity() {
    let mut pool = RetryPool::default();
    (1..=9).for_each(|node| pool.on_deposit(&deposit(node, 1, 0.9), LARGE, 0, 0));
    assert_eq!(take_one(&mut pool, 0), 1.0);
    assert_eq!(take_one(&mut pool, 0), 0.0);
}

#[test]
fn deposited_tokens_take_up_capacity_until_they_may_have_expired() {
    let policy = RetryPolicy { ratio: RATIO, max_saved: 0.7, is_pooled: true };
    let mut budget = SharedRetryBudget::new(policy);
    let mut deposited = 0.0;
    for second in 0..100 {
        (0..10).for_each(|_| budget.on_request());
        let now_us = second * SECOND;
        deposited += budget.take_deposit(now_us).map_or(0.0, RetryTokens::attempts);
    }
    let lifetimes = (100 * SECOND / DEPOSIT_TTL_US) as f64;
    assert!(deposited <= 0.7 * lifetimes, "{deposited} attempts in {lifetimes} lifetimes");
}

/// Guards against a node whose first request to a service earns nothing.
#[test]
fn a_budget_that_is_first_used_long_after_the_start_earns_at_once() {
    let policy = RetryPolicy { ratio: RATIO, max_saved: 0.7, is_pooled: true };
    let mut budget = SharedRetryBudget::new_at(policy, 60 * SECOND);
    budget.on_request();
    assert!(budget.take_deposit(61 * SECOND).is_some());
}

/// Guards against tokens that a denied query takes out of the pool and nobody has afterwards.
#[test]
fn a_query_that_covers_no_attempt_loses_no_tokens() {
    const STARTED_US: u64 = 10 * SECOND;
    const CAPACITY: f64 = 0.75;
    let policy = RetryPolicy { ratio: 1.0, max_saved: CAPACITY, is_pooled: true };
    let mut budget = SharedRetryBudget::new_at(policy, STARTED_US);
    budget.on_request();
    let saved = budget.take_deposit(STARTED_US).unwrap();
    let mut pool = RetryPool::default();
    pool.on_deposit(&deposit(1, 1, saved.attempts()), LARGE, 0, STARTED_US);
    let denied = query(RetryTokens::ONE_ATTEMPT);
    let granted = pool.grant(&denied, STARTED_US);
    assert!(granted < RetryTokens::ONE_ATTEMPT);
    pool.on_return(RetryReturn { ticket: denied.ticket }, LARGE, STARTED_US);
    let left = pool.grant(&query(RetryTokens::ONE_ATTEMPT), STARTED_US);
    assert_eq!(budget.take_fraction().plus(left), saved);
}

/// Guards against a node without another keeper, which deposits nothing, that never earns anything.
#[test]
fn a_node_that_deposits_nothing_earns_once_inherited_deposits_have_expired() {
    let policy = RetryPolicy { ratio: RATIO, max_saved: 2.0, is_pooled: true };
    let mut budget = SharedRetryBudget::new(policy);
    (0..20).for_each(|_| budget.on_request());
    assert!(!budget.has_attempt());
    budget.expire_deposits(60 * SECOND);
    (0..20).for_each(|_| budget.on_request());
    assert!(budget.has_attempt());
}

#[test]
fn a_large_budget_is_not_pooled() {
    let policy = RetryPolicy::of_node(RATIO, 54.0, 7);
    let mut budget = SharedRetryBudget::new(policy);
    budget.on_request();
    assert_eq!(budget.take_deposit(0), None);
}

/// A generator of random numbers with a fixed seed.
struct Random(u64);

impl Random {
    /// A number from 0 to 1.
    fn share(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1_u64 << 24) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        ((self.share() * count as f64) as usize).min(count - 1)
    }
}

const ZONES: usize = 5;
const KEEPERS: usize = 2;
const WINDOW_US: u64 = 10 * SECOND;
const SLACK: f64 = 1_040.0;

struct SimulatedNode {
    budget: SharedRetryBudget,
    pool: RetryPool,
    incarnation: u64,
    deposits: u64,
    started_at_us: u64,
}

/// A fleet in virtual time. Node `n` is in zone `n % ZONES`, and the first nodes of a zone keep its
/// pool.
struct SimulatedFleet {
    nodes: Vec<SimulatedNode>,
    policy: RetryPolicy,
    random: Random,
    starts: u64,
    requests_at_us: Vec<u64>,
    retries_at_us: Vec<u64>,
    wanted: u64,
}

impl SimulatedFleet {
    fn new(count: usize) -> Self {
        let policy = RetryPolicy::of_node(RATIO, SLACK, count);
        let mut fleet = Self {
            nodes: Vec::new(),
            policy,
            random: Random(count as u64),
            starts: 0,
            requests_at_us: Vec::new(),
            retries_at_us: Vec::new(),
            wanted: 0,
        };
        (0..count).for_each(|_| {
            let node = fleet.started_node(0);
            fleet.nodes.push(node);
        });
        fleet
    }

    fn started_node(&mut self, now_us: u64) -> SimulatedNode {
        self.starts += 1;
        SimulatedNode {
            budget: SharedRetryBudget::new(self.policy),
            pool: RetryPool::default(),
            incarnation: self.starts,
            deposits: 0,
            started_at_us: now_us,
        }
    }

    fn keeper(&self, node: usize, number: usize) -> usize {
        node % ZONES + number % KEEPERS * ZONES
    }

    fn pool_capacity(&self) -> RetryTokens {
        let zone_nodes = self.nodes.len() / ZONES;
        RetryTokens::from_attempts(self.policy.max_saved * zone_nodes as f64)
    }

    fn deposit_savings(&mut self, node: usize, now_us: u64) {
        let depositor = &mut self.nodes[node];
        let uptime_us = now_us - depositor.started_at_us;
        let Some(tokens) = depositor.budget.take_deposit(uptime_us) else { return };
        depositor.deposits += 1;
        let (incarnation, number) = (depositor.incarnation, depositor.deposits);
        let deposit = deposit(incarnation, number, tokens.attempts());
        let keeper = self.keeper(node, number as usize);
        let capacity = self.pool_capacity();
        for _ in 0..self.random_copies() {
            self.nodes[keeper].pool.on_deposit(&deposit, capacity, 0, now_us);
        }
    }

    fn on_request(&mut self, now_us: u64, failing_share: f64) {
        let node = self.random.below(self.nodes.len());
        self.requests_at_us.push(now_us);
        self.nodes[node].budget.on_request();
        if self.random.share() < failing_share {
            self.wanted += 1;
            if self.retry(node, now_us) {
                self.retries_at_us.push(now_us);
            }
        }
    }

    fn retry(&mut self, node: usize, now_us: u64) -> bool {
        let budget = &mut self.nodes[node].budget;
        if budget.withdraw() {
            return true;
        }
        if !budget.is_pooled() {
            return false;
        }
        let own = budget.take_fraction();
        let mut tokens = own;
        let mut grants = Vec::new();
        for number in 0..KEEPERS {
            let keeper = self.keeper(node, number);
            let query = query(RetryTokens::ONE_ATTEMPT.minus(tokens));
            tokens = tokens.plus(self.nodes[keeper].pool.grant(&query, now_us));
            grants.push((keeper, RetryReturn { ticket: query.ticket }));
        }
        if tokens == RetryTokens::ONE_ATTEMPT {
            return true;
        }
        self.nodes[node].budget.add_tokens(own);
        grants.into_iter().for_each(|(keeper, grant)| self.return_grant(keeper, grant, now_us));
        false
    }

    fn return_grant(&mut self, keeper: usize, grant: RetryReturn, now_us: u64) {
        let capacity = self.pool_capacity();
        for _ in 0..self.random_copies() {
            self.nodes[keeper].pool.on_return(grant, capacity, now_us);
        }
    }

    /// How often a message arrives: one in fifty is lost, one in fifty arrives twice.
    fn random_copies(&mut self) -> usize {
        match self.random.below(50) {
            0 => 0,
            1 => 2,
            _ => 1,
        }
    }

    /// Plays a time with a rate of requests to one service, of which a share fails once. Every
    /// `restart_interval_us`, a random node and a keeper start anew.
    fn play(
        &mut self,
        period_us: std::ops::Range<u64>,
        requests_per_s: u64,
        failing_share: f64,
        restart_interval_us: u64,
    ) {
        const STEP_US: u64 = MILLI;
        let mut due = 0;
        for now_us in period_us.step_by(STEP_US as usize) {
            due += requests_per_s * STEP_US;
            while due >= SECOND {
                due -= SECOND;
                self.on_request(now_us, failing_share);
            }
            let step = (now_us / STEP_US) as usize % 1_000;
            for node in (step..self.nodes.len()).step_by(1_000) {
                self.deposit_savings(node, now_us);
            }
            if now_us % restart_interval_us == restart_interval_us - STEP_US {
                let (any, keeper) = (self.random.below(self.nodes.len()), self.random.below(ZONES));
                self.nodes[any] = self.started_node(now_us);
                self.nodes[keeper] = self.started_node(now_us);
            }
        }
    }

    /// Starts half of the nodes anew, but none of the keepers.
    fn restart_half(&mut self, now_us: u64) {
        for node in ZONES * KEEPERS..self.nodes.len() {
            if self.random.share() < 0.5 {
                self.nodes[node] = self.started_node(now_us);
            }
        }
    }

    /// The largest number of retries in a window in excess of the ratio of the requests in it.
    fn largest_excess(&self) -> f64 {
        let count = |times: &[u64], end: u64| {
            let first = times.partition_point(|at| at + WINDOW_US <= end);
            times.partition_point(|at| *at <= end) - first
        };
        let excess = |end: &u64| {
            count(&self.retries_at_us, *end) as f64
                - RATIO * count(&self.requests_at_us, *end) as f64
        };
        self.retries_at_us.iter().map(excess).fold(0.0, f64::max)
    }
}

/// Guards against a budget that is cut into parts too small to be used: in fleets of several hundred
/// nodes, hardly a request was sent again.
#[test_case(30)]
#[test_case(300)]
#[test_case(1_000)]
#[test_case(2_000)]
fn a_fleet_of_any_size_sends_the_same_share_of_failed_requests_again(nodes: usize) {
    let mut fleet = SimulatedFleet::new(nodes);
    // Nodes that have just started may have tokens of a previous process in a pool, and earn none.
    fleet.play(0..8 * SECOND, 110, 0.0, 60 * SECOND);
    fleet.play(8 * SECOND..38 * SECOND, 110, 0.05, 60 * SECOND);
    let share = fleet.retries_at_us.len() as f64 / fleet.wanted as f64;
    assert!(share >= 0.95, "{share} of {} failed requests", fleet.wanted);
}

/// All requests fail and are repeated while nodes and keepers are lost.
#[test_case(60, 2_000)]
#[test_case(300, 2_000)]
#[test_case(1_000, 4_000)]
#[test_case(2_000, 4_000)]
fn a_fleet_stays_within_its_retry_budget_whoever_keeps_the_pools(
    nodes: usize,
    requests_per_s: u64,
) {
    let mut fleet = SimulatedFleet::new(nodes);
    fleet.play(0..8 * SECOND, requests_per_s, 0.0, SECOND);
    fleet.play(8 * SECOND..14 * SECOND, requests_per_s, 1.0, 200 * MILLI);
    fleet.play(14 * SECOND..20 * SECOND, requests_per_s / 10, 1.0, 200 * MILLI);
    let excess = fleet.largest_excess();
    assert!(excess <= SLACK, "{excess} retries beyond the ratio of the requests");
}

/// Guards against tokens that a node earns again although its predecessor's are still in a pool.
#[test_case(300)]
#[test_case(1_000)]
#[test_case(2_000)]
fn nodes_that_start_again_do_not_exceed_the_retry_budget(nodes: usize) {
    const REQUESTS_PER_S: u64 = 40_000;
    let mut fleet = SimulatedFleet::new(nodes);
    fleet.play(0..8 * SECOND, REQUESTS_PER_S, 0.0, 60 * SECOND);
    fleet.restart_half(8 * SECOND);
    fleet.play(8 * SECOND..8 * SECOND + 1_100 * MILLI, REQUESTS_PER_S, 0.0, 60 * SECOND);
    // No request arrives that earns anything; only those that failed are sent again.
    let end_us = 8 * SECOND + 1_100 * MILLI;
    for node in (0..nodes).cycle().take(20 * nodes) {
        if fleet.retry(node, end_us) {
            fleet.retries_at_us.push(end_us);
        }
    }
    let sent = fleet.retries_at_us.len() as f64;
    assert!(sent <= SLACK, "{sent} retries without requests");
}
