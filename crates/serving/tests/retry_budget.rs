//! The retry budget, and which arrivals are charged to it.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::retry_budget::{
    ArrivalCost, ArrivalLedger, RetryPolicy, SharedRetryBudget,
};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;
const WINDOW_US: u64 = 10 * SECOND;
const RATIO: f64 = 0.2;

fn policy(max_saved: f64) -> RetryPolicy {
    RetryPolicy { ratio: RATIO, max_saved, is_pooled: false }
}

fn budget_after_requests(requests: usize) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(policy(5.0));
    (0..requests).for_each(|_| budget.on_request());
    budget
}

#[test]
fn a_new_budget_is_empty() {
    assert!(!SharedRetryBudget::new(policy(5.0)).withdraw());
}

#[test]
fn requests_fill_the_bucket_up_to_its_capacity() {
    let mut budget = budget_after_requests(1_000);
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 5);
}

#[test]
fn a_deposit_that_is_refunded_can_be_spent() {
    let mut budget = budget_after_requests(6);
    assert!(budget.withdraw());
    assert!(!budget.has_attempt());
    budget.refund();
    assert!(budget.withdraw());
}

#[test]
fn an_accepted_prefill_is_free_in_addition_to_the_run() {
    let mut arrivals = ArrivalLedger::default();
    assert_eq!(arrivals.on_prefill(), ArrivalCost::Free);
    assert_eq!(arrivals.on_run(), ArrivalCost::Free);
    assert_eq!(arrivals.on_run(), ArrivalCost::Extra);
}

/// Guards against free extra arrivals: a randomized soak run under load counted 217 arrivals beyond
/// the first where 208 were allowed, since prefills that no runner accepted were not charged.
#[test]
fn a_prefill_that_is_not_accepted_uses_up_the_free_arrival() {
    let mut arrivals = ArrivalLedger::default();
    assert_eq!(arrivals.on_prefill(), ArrivalCost::Free);
    arrivals.on_prefill_not_accepted();
    assert_eq!(arrivals.on_run(), ArrivalCost::Extra, "the run is the second arrival");
}

#[test]
fn a_second_prefill_is_charged() {
    let mut arrivals = ArrivalLedger::default();
    assert_eq!(arrivals.on_prefill(), ArrivalCost::Free);
    assert_eq!(arrivals.on_prefill(), ArrivalCost::Extra);
}

/// Under heavy overload, many requests are first declined by a decode runner and then sent to a
/// prefill runner. Whether that runner accepts the prefill is known only afterwards.
#[test]
fn the_first_prefill_after_an_arrival_needs_a_deposit() {
    let mut arrivals = ArrivalLedger::default();
    assert_eq!(arrivals.on_run(), ArrivalCost::Free);
    assert_eq!(arrivals.on_prefill(), ArrivalCost::Deposit);
}

#[test]
fn the_node_slacks_add_up_to_at_most_the_slack() {
    const SLACK: f64 = 54.0;
    assert_eq!(RetryPolicy::node_slack(SLACK, 1), 1.0, "the others may not be known yet");
    for nodes in 2..400 {
        assert!(RetryPolicy::node_slack(SLACK, nodes) * nodes as f64 <= SLACK);
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// A prefill is accepted, or a run is completed.
    Accepted,
    /// The runner declines it.
    Declined,
    /// The outcome is unknown.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request arrives and is sent to be prefilled (`true`) or run (`false`) until a run
    /// completes; each attempt has the given outcome.
    Request {
        node: usize,
        attempts: [(bool, Outcome); 4],
    },
    Restart {
        node: usize,
    },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![Just(Outcome::Accepted), Just(Outcome::Declined), Just(Outcome::Unknown)]
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    let attempts = prop::array::uniform4((any::<bool>(), outcome()));
    prop_oneof![
        30 => (0..nodes, attempts).prop_map(|(node, attempts)| Step::Request { node, attempts }),
        1 => (0..nodes).prop_map(|node| Step::Restart { node }),
    ]
}

/// Arrivals of one request as the runners count them: the first one is free, and so is the first
/// accepted prefill.
#[derive(Default)]
struct CountedArrivals {
    count: u64,
    prefill_accepted: bool,
}

impl CountedArrivals {
    /// Whether this arrival is an extra one.
    fn is_extra(&mut self, is_prefill: bool, outcome: Outcome) -> bool {
        if is_prefill && matches!(outcome, Outcome::Accepted) && !self.prefill_accepted {
            self.prefill_accepted = true;
            return false;
        }
        self.count += 1;
        self.count > 1
    }
}

/// Makes the attempts of a request as far as the budget allows; returns the number of extra
/// arrivals.
fn run_request(budget: &mut SharedRetryBudget, attempts: [(bool, Outcome); 4]) -> u64 {
    let mut ledger = ArrivalLedger::default();
    let mut counted = CountedArrivals::default();
    let mut extras = 0;
    budget.on_request();
    for (is_prefill, outcome) in attempts {
        let cost = if is_prefill { ledger.on_prefill() } else { ledger.on_run() };
        if cost != ArrivalCost::Free && !budget.withdraw() {
            return extras;
        }
        extras += u64::from(counted.is_extra(is_prefill, outcome));
        match (is_prefill, outcome) {
            (true, Outcome::Accepted) if cost == ArrivalCost::Deposit => budget.refund(),
            (true, Outcome::Declined | Outcome::Unknown) => ledger.on_prefill_not_accepted(),
            (false, Outcome::Accepted) => return extras,
            _ => {}
        }
    }
    extras
}

proptest! {
    /// Whatever the nodes do, whatever the outcome of their attempts and whichever nodes restart:
    /// the extra arrivals in any window are at most the ratio of the requests in that window plus
    /// the slack.
    #[test]
    fn extra_attempts_of_all_nodes_stay_within_the_bound_in_any_window(
        steps in prop::collection::vec((step(5), 0_u64..100_000), 1..400),
        slack in 2.0_f64..60.0,
    ) {
        const NODES: usize = 5;
        let policy = policy(RetryPolicy::node_slack(slack, NODES));
        let mut budgets = vec![SharedRetryBudget::new(policy); NODES];
        let mut now_us = 0;
        let mut history = Vec::new();
        for (step, pause_us) in steps {
            now_us += pause_us;
            match step {
                Step::Request { node, attempts } => {
                    history.push((now_us, run_request(&mut budgets[node], attempts)));
                }
                Step::Restart { node } => budgets[node] = SharedRetryBudget::new(policy),
            }
        }
        for (first, (start_us, _)) in history.iter().enumerate() {
            let mut extras = 0;
            for (number, (at_us, extra)) in history[first..].iter().enumerate() {
                if *at_us > start_us + WINDOW_US {
                    break;
                }
                extras += extra;
                let allowed = (number + 1) as f64 * RATIO + slack;
                prop_assert!(extras as f64 <= allowed, "{extras} of {allowed} from {start_us}");
            }
        }
    }
}

/// Guards against a rolling restart under load that exceeded the bound of the fleet: the record of
/// spent attempts is lost with a process, so a new process must not start with a filled bucket.
#[test]
fn rolling_restarts_stay_within_the_bound() {
    const NODES: u64 = 8;
    const SLACK: f64 = 56.0;
    const REQUEST_EVERY_US: u64 = 25_000;
    const RESTART_EVERY_US: u64 = 1_500_000;
    let policy = policy(RetryPolicy::node_slack(SLACK, NODES as usize));
    let mut nodes: Vec<_> = (0..NODES).map(|_| SharedRetryBudget::new(policy)).collect();
    let mut requests = Vec::new();
    let mut extras = Vec::new();
    for now_us in (0..30 * SECOND).step_by(REQUEST_EVERY_US as usize) {
        if now_us >= 8 * SECOND && now_us % RESTART_EVERY_US == 0 {
            let restarted = (now_us / RESTART_EVERY_US) % NODES;
            nodes[restarted as usize] = SharedRetryBudget::new(policy);
        }
        for node in &mut nodes {
            node.on_request();
            requests.push(now_us);
            // Overload follows a period without retries, and each node then spends all that its
            // budget allows.
            while now_us >= 7 * SECOND && node.withdraw() {
                extras.push(now_us);
            }
        }
    }
    for start in (0..20 * SECOND).step_by(100_000) {
        let within = |times: &[u64]| {
            times.iter().filter(|at| (start..start + 10 * SECOND).contains(*at)).count() as f64
        };
        let allowed = within(&requests) * RATIO + SLACK;
        assert!(within(&extras) <= allowed, "{} of {allowed} from {start}", within(&extras));
    }
}
