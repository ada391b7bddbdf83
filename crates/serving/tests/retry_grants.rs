//! Grants out of a retry pool that are used or returned: messages that are lost, late, overtaken or
//! repeated create no tokens, and without a loss none vanish.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::retry_budget::{RetryPolicy, SharedRetryBudget};
use pitchstall_serving::retry_pool::{
    RetryDeposit, RetryPool, RetryQuery, RetryReply, RetryReturn, RetryTokens, ServiceDeposit,
    DEPOSIT_TTL_US,
};
use pitchstall_serving::scheduling::Ticket;
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;
const CAPACITY: RetryTokens = RetryTokens::ONE_ATTEMPT;

fn desk() -> ServiceName {
    ServiceName::new("desk")
}

fn ticket(number: u64) -> Ticket {
    Ticket { incarnation: 1, number }
}

fn query(number: u64, wanted: RetryTokens) -> RetryQuery {
    RetryQuery { ticket: ticket(number), service: desk(), wanted }
}

fn returned(number: u64) -> RetryReturn {
    RetryReturn { ticket: ticket(number) }
}

fn deposit(number: u64, tokens: RetryTokens, sent_at_ms: u64) -> RetryDeposit {
    let deposits = vec![ServiceDeposit { service: desk(), tokens }];
    RetryDeposit { ticket: ticket(number), sent_at_ms, deposits }
}

fn tokens(attempts: f64) -> RetryTokens {
    RetryTokens::from_attempts(attempts)
}

fn pool_with(attempts: f64) -> RetryPool {
    let mut pool = RetryPool::default();
    pool.on_deposit(&deposit(1, tokens(attempts), 0), CAPACITY, 0, 0);
    pool
}

#[test]
fn a_repeated_query_is_granted_the_same_tokens() {
    let mut pool = pool_with(0.8);
    for _ in 0..2 {
        assert_eq!(pool.grant(&query(1, tokens(0.5)), 0), tokens(0.5));
    }
    assert_eq!(pool.grant(&query(2, tokens(0.5)), 0), tokens(0.3));
}

#[test]
fn a_repeated_return_adds_nothing() {
    let mut pool = pool_with(0.5);
    pool.grant(&query(1, CAPACITY), 0);
    (0..2).for_each(|_| pool.on_return(returned(1), CAPACITY, 0));
    assert_eq!(pool.grant(&query(2, CAPACITY), 0), tokens(0.5));
}

#[test]
fn a_return_without_a_grant_adds_nothing() {
    let mut pool = RetryPool::default();
    pool.on_return(returned(1), CAPACITY, 0);
    assert_eq!(pool.grant(&query(2, CAPACITY), 0), RetryTokens::NONE);
}

/// Guards against a grant that nobody waits for any more.
#[test]
fn a_query_whose_return_has_overtaken_it_is_granted_nothing() {
    let mut pool = pool_with(0.5);
    pool.on_return(returned(1), CAPACITY, 0);
    assert_eq!(pool.grant(&query(1, CAPACITY), 0), RetryTokens::NONE);
    assert_eq!(pool.grant(&query(2, CAPACITY), 0), tokens(0.5));
}

/// Guards against tokens that live longer than the capacity that they take up at their depositor.
#[test]
fn returned_tokens_expire_as_if_they_had_not_been_granted() {
    let mut pool = pool_with(0.5);
    pool.grant(&query(1, CAPACITY), DEPOSIT_TTL_US - 2);
    pool.on_return(returned(1), CAPACITY, DEPOSIT_TTL_US - 1);
    assert_eq!(pool.clone().grant(&query(2, CAPACITY), DEPOSIT_TTL_US - 1), tokens(0.5));
    assert_eq!(pool.grant(&query(2, CAPACITY), DEPOSIT_TTL_US), RetryTokens::NONE);
}

#[test]
fn tokens_that_are_returned_after_they_have_expired_are_lost() {
    let mut pool = pool_with(0.5);
    pool.grant(&query(1, CAPACITY), DEPOSIT_TTL_US - 1);
    pool.on_return(returned(1), CAPACITY, DEPOSIT_TTL_US);
    assert_eq!(pool.grant(&query(2, CAPACITY), DEPOSIT_TTL_US), RetryTokens::NONE);
}

#[test]
fn a_return_does_not_fill_a_pool_beyond_its_capacity() {
    let mut pool = pool_with(0.8);
    pool.grant(&query(1, CAPACITY), 0);
    pool.on_deposit(&deposit(2, tokens(0.7), 0), CAPACITY, 0, 0);
    pool.on_return(returned(1), CAPACITY, 0);
    assert_eq!(pool.grant(&query(2, CAPACITY.plus(CAPACITY)), 0), CAPACITY);
}

const NODES: usize = 3;
/// The first nodes keep the pools.
const KEEPERS: usize = 2;
const RATIO: f64 = 0.2;
const SLACK: f64 = 12.0;
const WINDOW_US: u64 = 10 * SECOND;
/// Tokens that a request earns, in thousandths of an attempt.
const EARNED_THOUSANDTHS: u64 = 180;
/// Steps between two checks of the sum of all tokens.
const CHECK_INTERVAL_STEPS: usize = 10;
const FEW_RETRIES: u32 = 2;
const MANY_RETRIES: u32 = 16;
/// How long a node waits for replies.
const REPLY_TIMEOUT_US: u64 = 100 * MILLI;

#[derive(Clone, Debug)]
enum Message {
    Deposit(RetryDeposit),
    Query(RetryQuery, usize),
    Reply(RetryReply),
    Return(RetryReturn),
}

/// What happens next. Numbers choose a node or a message under way.
#[derive(Clone, Copy, Debug)]
enum Step {
    Requests { node: usize, count: u8 },
    Deposit { node: usize },
    Retry { node: usize },
    Deliver { message: usize },
    Repeat { message: usize },
    Lose { message: usize },
    Restart { node: usize },
}

/// An attempt for which a node has queried both keepers.
#[derive(Clone)]
struct OpenAttempt {
    own: RetryTokens,
    granted: RetryTokens,
    /// The queries, and whether each has been answered.
    queries: Vec<(usize, Ticket, bool)>,
    started_us: u64,
}

#[derive(Clone)]
struct Node {
    budget: SharedRetryBudget,
    pool: RetryPool,
    attempt: Option<OpenAttempt>,
    incarnation: u64,
    sent: u64,
    started_us: u64,
}

impl Node {
    fn new(policy: RetryPolicy, incarnation: u64, started_us: u64) -> Self {
        Self {
            budget: SharedRetryBudget::new(policy),
            pool: RetryPool::default(),
            attempt: None,
            incarnation,
            sent: 0,
            started_us,
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.sent += 1;
        Ticket { incarnation: self.incarnation, number: self.sent }
    }
}

/// Nodes whose messages arrive in any order, in virtual time.
#[derive(Clone)]
struct Fleet {
    nodes: Vec<Node>,
    policy: RetryPolicy,
    capacity: RetryTokens,
    messages: Vec<(usize, Message)>,
    starts: u64,
    now_us: u64,
    requests_at_us: Vec<u64>,
    retries_at_us: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let policy = RetryPolicy::of_node(RATIO, SLACK, NODES);
        assert!(policy.is_pooled);
        let nodes = (0..NODES).map(|node| Node::new(policy, node as u64, 0)).collect();
        Self {
            nodes,
            policy,
            capacity: RetryTokens::from_attempts(policy.max_saved * NODES as f64),
            messages: Vec::new(),
            starts: NODES as u64,
            now_us: 0,
            requests_at_us: Vec::new(),
            retries_at_us: Vec::new(),
        }
    }

    fn after(&mut self, time_us: u64) {
        self.now_us += time_us;
        for node in 0..NODES {
            let started_us = self.nodes[node].attempt.as_ref().map(|attempt| attempt.started_us);
            if started_us.is_some_and(|started_us| started_us + REPLY_TIMEOUT_US <= self.now_us) {
                self.end_attempt(node);
            }
        }
    }

    fn on_step(&mut self, step: Step) {
        match step {
            Step::Requests { node, count } => {
                (0..count).for_each(|_| self.nodes[node].budget.on_request());
                self.requests_at_us.extend(vec![self.now_us; usize::from(count)]);
            }
            Step::Deposit { node } => self.deposit_savings(node),
            Step::Retry { node } => self.retry(node),
            Step::Deliver { message } => {
                if let Some(message) = self.remove_message(message) {
                    self.deliver(message);
                }
            }
            Step::Repeat { message } => {
                if !self.messages.is_empty() {
                    let message = self.messages[message % self.messages.len()].clone();
                    self.deliver(message);
                }
            }
            Step::Lose { message } => drop(self.remove_message(message)),
            Step::Restart { node } => {
                self.nodes[node] = Node::new(self.policy, self.starts, self.now_us);
                self.starts += 1;
            }
        }
    }

    fn remove_message(&mut self, message: usize) -> Option<(usize, Message)> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.remove(message % count))
    }

    fn deposit_savings(&mut self, node: usize) {
        let now_us = self.now_us;
        let depositor = &mut self.nodes[node];
        let uptime_us = now_us - depositor.started_us;
        let Some(tokens) = depositor.budget.take_deposit(uptime_us) else { return };
        let ticket = depositor.next_ticket();
        let deposit = RetryDeposit { ticket, ..deposit(0, tokens, now_us / MILLI) };
        let keeper = ticket.number as usize % KEEPERS;
        self.messages.push((keeper, Message::Deposit(deposit)));
    }

    fn retry(&mut self, node: usize) {
        let requester = &mut self.nodes[node];
        if requester.attempt.is_some() {
            return;
        }
        if requester.budget.withdraw() {
            self.retries_at_us.push(self.now_us);
            return;
        }
        let own = requester.budget.take_fraction();
        let wanted = RetryTokens::ONE_ATTEMPT.minus(own);
        let mut queries = Vec::new();
        for keeper in 0..KEEPERS {
            let ticket = requester.next_ticket();
            queries.push((keeper, ticket, false));
            let query = RetryQuery { ticket, service: desk(), wanted };
            self.messages.push((keeper, Message::Query(query, node)));
        }
        let (granted, started_us) = (RetryTokens::NONE, self.now_us);
        requester.attempt = Some(OpenAttempt { own, granted, queries, started_us });
    }

    fn deliver(&mut self, (to, message): (usize, Message)) {
        let (now_us, capacity) = (self.now_us, self.capacity);
        let pool = &mut self.nodes[to].pool;
        match message {
            Message::Deposit(deposit) => {
                pool.on_deposit(&deposit, capacity, now_us / MILLI, now_us);
            }
            Message::Query(query, from) => {
                let granted = pool.grant(&query, now_us);
                let reply = RetryReply { ticket: query.ticket, granted };
                self.messages.push((from, Message::Reply(reply)));
            }
            Message::Reply(reply) => self.on_reply(to, reply),
            Message::Return(returned) => pool.on_return(returned, capacity, now_us),
        }
    }

    fn on_reply(&mut self, node: usize, reply: RetryReply) {
        let Some(attempt) = &mut self.nodes[node].attempt else { return };
        let query = attempt.queries.iter_mut().find(|query| query.1 == reply.ticket);
        let Some(query) = query.filter(|query| !query.2) else { return };
        let missing = RetryTokens::ONE_ATTEMPT.minus(attempt.own).minus(attempt.granted);
        if reply.granted > missing {
            // Both keepers together granted more than is missing. This grant is returned whole.
            return;
        }
        query.2 = true;
        attempt.granted = attempt.granted.plus(reply.granted);
        let is_covered = reply.granted == missing;
        if is_covered || attempt.queries.iter().all(|query| query.2) {
            self.end_attempt(node);
        }
    }

    /// Sends the attempt if its tokens cover it, and returns all grants that it does not use.
    fn end_attempt(&mut self, node: usize) {
        let Some(attempt) = self.nodes[node].attempt.take() else { return };
        let is_covered = attempt.own.plus(attempt.granted) == RetryTokens::ONE_ATTEMPT;
        if is_covered {
            self.retries_at_us.push(self.now_us);
        } else {
            self.nodes[node].budget.add_tokens(attempt.own);
        }
        for (keeper, ticket, is_granted) in attempt.queries {
            if !(is_covered && is_granted) {
                self.messages.push((keeper, Message::Return(RetryReturn { ticket })));
            }
        }
    }

    /// Checks every window that ends with a retry.
    fn is_within_bound(&self) -> bool {
        let count = |times: &[u64], end: u64| {
            times.iter().filter(|at| **at <= end && end < **at + WINDOW_US).count() as f64
        };
        let is_within = |end: &u64| {
            let allowed = RATIO * count(&self.requests_at_us, *end) + SLACK;
            count(&self.retries_at_us, *end) <= allowed
        };
        self.retries_at_us.iter().all(is_within)
    }

    /// Delivers all messages, also those that are sent meanwhile.
    fn deliver_all(&mut self) {
        while let Some(message) = self.remove_message(0) {
            self.deliver(message);
        }
    }

    /// All tokens of the budgets and pools, in thousandths of an attempt. Empties them.
    fn drain(&mut self) -> u64 {
        let mut sum = 0.0;
        for node in &mut self.nodes {
            while node.budget.withdraw() {
                sum += 1.0;
            }
            sum += node.budget.take_fraction().attempts();
            let ticket = node.next_ticket();
            let everything = RetryQuery { ticket, service: desk(), wanted: self.capacity };
            sum += node.pool.grant(&everything, self.now_us).attempts();
        }
        (sum * 1_000.0).round() as u64
    }
}

/// Steps of which a share that grows with `retry_weight` are retries. With few, budgets and pools are
/// full; with many, most queries are denied.
fn step(retry_weight: u32) -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..NODES, 1..20_u8).prop_map(|(node, count)| Step::Requests { node, count }),
        12 => (0..NODES).prop_map(|node| Step::Deposit { node }),
        retry_weight => (0..NODES).prop_map(|node| Step::Retry { node }),
        24 => any::<usize>().prop_map(|message| Step::Deliver { message }),
        4 => any::<usize>().prop_map(|message| Step::Repeat { message }),
        2 => any::<usize>().prop_map(|message| Step::Lose { message }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
    ]
}

/// Steps in which no message and no process is lost.
fn lossless_step() -> impl Strategy<Value = Step> {
    step(MANY_RETRIES)
        .prop_filter("a loss", |step| !matches!(step, Step::Lose { .. } | Step::Restart { .. }))
}

/// Steps, each with the time before it in microseconds.
fn timed_steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let weight = prop_oneof![Just(FEW_RETRIES), Just(MANY_RETRIES)];
    weight.prop_flat_map(|weight| prop::collection::vec((step(weight), 0..60 * MILLI), 100..1_200))
}

proptest! {
    /// Whatever is lost, repeated, late or overtaken, and whichever nodes restart.
    #[test]
    fn retries_of_pooled_nodes_stay_within_the_bound_in_any_window(
        steps in timed_steps(),
    ) {
        let mut fleet = Fleet::new();
        // Afterwards no deposit of a predecessor can be in a pool.
        fleet.after(6 * SECOND);
        (0..NODES).for_each(|node| fleet.nodes[node].budget.expire_deposits(6 * SECOND));
        let capacity = (fleet.capacity.attempts() * 1_000.0) as u64;
        for (number, (step, time_us)) in steps.into_iter().enumerate() {
            fleet.after(time_us);
            fleet.on_step(step);
            if number % CHECK_INTERVAL_STEPS == 0 {
                let existing = fleet.clone().drain();
                prop_assert!(existing <= capacity, "{existing} tokens, capacities of {capacity}");
            }
        }
        prop_assert!(fleet.is_within_bound());
    }

    /// In whichever order messages arrive, and whichever of them arrive twice.
    #[test]
    fn no_token_vanishes_or_is_created_while_nothing_is_lost_or_expires(
        earned in 0..9_u8,
        steps in prop::collection::vec(lossless_step(), 1..200),
    ) {
        let mut fleet = Fleet::new();
        fleet.after(6 * SECOND);
        for node in 0..NODES {
            fleet.nodes[node].budget.expire_deposits(6 * SECOND);
            fleet.on_step(Step::Requests { node, count: earned });
        }
        let requests = fleet.requests_at_us.len() as u64;
        for step in steps {
            if !matches!(step, Step::Requests { .. }) {
                fleet.on_step(step);
            }
        }
        (0..NODES).for_each(|node| fleet.end_attempt(node));
        fleet.deliver_all();
        let used = fleet.retries_at_us.len() as u64 * 1_000;
        let existing = fleet.drain() + used;
        let created = requests * EARNED_THOUSANDTHS;
        prop_assert!(existing <= created, "{existing} of {created}");
        // A part of a thousandth stays in each budget, as only whole ones are moved.
        prop_assert!(existing + NODES as u64 >= created, "{existing} of {created}");
    }
}
