//! Tests of the bucket of one slot, and of the total over all slots of a tenant and their
//! successive holders.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::quota::{QuotaBounds, QuotaUnit, TenantLimit};
use pitchstall_serving::quota_bucket::{Bucket, Demand};
use pitchstall_serving::quota_share::{SlotShare, GRANT_TTL_US};
use pitchstall_serving::scheduling::Ticket;
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };
const SLOTS: usize = 3;

fn limit(rate_per_s: u64) -> TenantLimit {
    TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
}

fn demand(number: u64, cost: u64, priority: u8) -> Demand {
    Demand { ticket: Ticket { incarnation: 1, number }, cost, priority }
}

fn bucket(limit: TenantLimit, slots: usize, since_us: u64, now_us: u64) -> Bucket {
    Bucket::new(limit, 1, SlotShare::new(&limit, &BOUNDS, slots), since_us, now_us)
}

/// The cost that may run in a window.
fn allowed(limit: &TenantLimit, bounds: &QuotaBounds) -> f64 {
    let within = limit.rate_per_s as f64 * bounds.window_us as f64 / SECOND as f64;
    (within + limit.burst as f64) * (1.0 + bounds.overage) + bounds.slack as f64
}

/// Charges runs of one cost until one is refused, and returns the units charged.
fn drain(bucket: &mut Bucket, first: u64, cost: u64, now_us: u64) -> u64 {
    (first..).take_while(|number| bucket.try_charge(&demand(*number, cost, 0), now_us)).count()
        as u64
        * cost
}

#[test]
fn a_new_holder_has_nothing_to_spend() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 0);
    assert!(!bucket.try_charge(&demand(1, 1, 0), 0));
}

#[test]
fn an_established_holder_spends_its_burst_and_its_debt() {
    let limit = limit(47_000);
    let share = SlotShare::new(&limit, &BOUNDS, SLOTS);
    let mut bucket = bucket(limit, SLOTS, 0, 60 * SECOND);
    let spent = drain(&mut bucket, 1, 100, 60 * SECOND) as i64 * 1_000_000;
    assert!(spent <= share.burst + share.debt);
    assert!(spent > share.burst + share.debt - 100 * 1_000_000);
}

#[test]
fn a_resumed_bucket_has_what_the_previous_holder_had_left() {
    let limit = limit(47_000);
    let share = SlotShare::new(&limit, &BOUNDS, SLOTS);
    let mut previous = bucket(limit, SLOTS, 0, 60 * SECOND);
    drain(&mut previous, 1, 100, 60 * SECOND);
    previous.refund(demand(1, 0, 0).ticket, 60 * SECOND);
    let available = previous.available_above_debt(60 * SECOND);
    let resumed = Bucket::resume(limit, 1, share, available, 61 * SECOND);
    assert_eq!(resumed.level_units(), previous.level_units());
    let largest = Bucket::resume(limit, 1, share, i64::MAX, 61 * SECOND);
    assert_eq!(largest.level_units(), share.burst / 1_000_000);
}

#[test]
fn a_granted_run_is_granted_again_without_a_charge() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 60 * SECOND);
    assert!(bucket.try_charge(&demand(1, 10_000, 0), 60 * SECOND));
    let level = bucket.level_units();
    assert!(bucket.try_charge(&demand(1, 10_000, 0), 60 * SECOND));
    assert_eq!(bucket.level_units(), level);
}

#[test]
fn a_duplicate_refund_counts_once() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 60 * SECOND);
    let full = bucket.level_units();
    assert!(bucket.try_charge(&demand(1, 10_000, 0), 60 * SECOND));
    assert!(bucket.try_charge(&demand(2, 10_000, 0), 60 * SECOND));
    let ticket = demand(1, 0, 0).ticket;
    assert_eq!(bucket.refund(ticket, 60 * SECOND), 10_000);
    assert_eq!(bucket.refund(ticket, 60 * SECOND), 0);
    assert_eq!(bucket.level_units(), full - 10_000);
    assert_eq!(bucket.granted_units(), 10_000);
}

#[test]
fn a_holder_does_not_refund_runs_it_did_not_grant() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 60 * SECOND);
    drain(&mut bucket, 1, 1_000, 60 * SECOND);
    assert_eq!(bucket.refund(Ticket { incarnation: 2, number: 1 }, 60 * SECOND), 0);
}

#[test]
fn overflow_of_a_full_bucket_is_not_refunded() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 60 * SECOND);
    let full = bucket.level_units();
    assert!(bucket.try_charge(&demand(1, 5_000, 0), 60 * SECOND));
    // The bucket has refilled in the meantime: without the first run it would have been full
    // throughout.
    assert!(bucket.try_charge(&demand(2, 5_000, 0), 61 * SECOND));
    bucket.refund(demand(1, 0, 0).ticket, 61 * SECOND);
    assert_eq!(bucket.level_units(), full - 5_000);
}

/// Two refunds must not both use the same headroom. Each of them fitted below a full bucket alone,
/// but together they exceeded it. The model checker found this case.
#[test]
fn two_refunds_share_the_headroom() {
    let high = limit(470_000);
    let mut bucket = bucket(high, SLOTS, 0, 60 * SECOND);
    let full = bucket.level_units();
    assert!(bucket.try_charge(&demand(1, 60_000, 0), 60 * SECOND));
    assert!(bucket.try_charge(&demand(2, 60_000, 0), 60 * SECOND));
    // The limit is lowered. With the two runs charged, the bucket is 60,000 below full.
    let lower = TenantLimit { burst: 3 * (full as u64 - 60_000), ..high };
    bucket.set_limit(lower, 2, SlotShare::new(&lower, &BOUNDS, SLOTS), 60 * SECOND);
    assert!(bucket.try_charge(&demand(3, 20_000, 0), 60 * SECOND));
    bucket.refund(demand(1, 0, 0).ticket, 60 * SECOND);
    assert!(bucket.try_charge(&demand(4, 50_000, 0), 60 * SECOND));
    bucket.refund(demand(2, 0, 0).ticket, 60 * SECOND);
    // Without the two runs, the bucket would have been full at that time, and 70,000 were charged
    // since.
    assert!(bucket.level_units() <= full - 60_000 - 70_000);
}

#[test]
fn a_lowered_limit_caps_the_level_at_once() {
    let mut bucket = bucket(limit(470_000), SLOTS, 0, 60 * SECOND);
    let lower = limit(47_000);
    bucket.set_limit(lower, 2, SlotShare::new(&lower, &BOUNDS, SLOTS), 60 * SECOND);
    assert!(bucket.level_units() <= 47_000 / 3);
}

#[test]
fn less_urgent_runs_leave_a_reserve() {
    let mut bucket = bucket(limit(470_000), SLOTS, 0, 60 * SECOND);
    let priority_of = |priority| move |number: u64| demand(number, 10_000, priority);
    let taken = |bucket: &mut Bucket, first: u64, of: &dyn Fn(u64) -> Demand| {
        (first..).take_while(|number| bucket.try_charge(&of(*number), 60 * SECOND)).count()
    };
    assert!(taken(&mut bucket, 100, &priority_of(2)) > 0);
    assert!(taken(&mut bucket, 200, &priority_of(1)) > 0, "priority 2 leaves room to priority 1");
    assert!(taken(&mut bucket, 300, &priority_of(0)) > 0, "priority 1 leaves room to priority 0");
}

#[test]
fn small_runs_ignore_the_reserve() {
    let mut bucket = bucket(limit(470_000), SLOTS, 0, 60 * SECOND);
    while bucket.try_charge(&demand(bucket.granted_units() + 1, 10_000, 2), 60 * SECOND) {}
    assert!(bucket.try_charge(&demand(1, 200, 2), 60 * SECOND));
}

/// Requests of 8,000 tokens arrive far faster than the limit permits, and one of 60,000 tokens
/// retries after each wait that it is given.
#[test]
fn a_large_run_is_granted_after_few_retries_under_constant_load() {
    let limit = limit(470_000);
    let mut bucket = bucket(limit, SLOTS, 0, 60 * SECOND);
    drain(&mut bucket, 1, 1_000, 60 * SECOND);
    let mut number = 1_000_000;
    let mut now_us = 60 * SECOND;
    let mut refusals = 0;
    loop {
        let large = demand(2_000_000 + refusals, 60_000, 1);
        if bucket.try_charge(&large, now_us) {
            break;
        }
        refusals += 1;
        assert!(refusals < 3, "refused {refusals} times");
        let room = bucket.available_units(&large, now_us);
        let retry_at_us = now_us + bucket.schedule_retry(&large, room, 1, now_us);
        while now_us < retry_at_us {
            number += 1;
            bucket.try_charge(&demand(number, 8_000, 1), now_us);
            now_us += 5_000;
        }
    }
}

#[test]
fn small_runs_are_granted_while_a_large_run_waits() {
    let mut bucket = bucket(limit(470_000), SLOTS, 0, 60 * SECOND);
    drain(&mut bucket, 1, 1_000, 60 * SECOND);
    let large = demand(2_000_000, 60_000, 1);
    let room = bucket.available_units(&large, 60 * SECOND);
    bucket.schedule_retry(&large, room, 1, 60 * SECOND);
    let granted = (0..100).filter(|number| {
        bucket.try_charge(&demand(3_000_000 + number, 200, 2), 60 * SECOND + 5_000 * number)
    });
    assert!(granted.count() >= 98);
}

#[test]
fn runs_refused_together_retry_one_after_the_other() {
    let mut bucket = bucket(limit(47_000), 1, 0, 60 * SECOND);
    drain(&mut bucket, 1, 1_000, 60 * SECOND);
    let mut waits = Vec::new();
    for number in 0..6 {
        let demand = demand(1_000 + number, 20_000, 0);
        let room = bucket.available_units(&demand, 60 * SECOND);
        waits.push(bucket.schedule_retry(&demand, room, 1, 60 * SECOND));
    }
    let gaps: Vec<u64> = waits.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| (370_000..390_000).contains(gap)), "{waits:?}");
}

#[test]
fn a_run_that_retries_after_its_wait_is_granted() {
    let mut bucket = bucket(limit(47_000), 1, 0, 60 * SECOND);
    drain(&mut bucket, 1, 1_000, 60 * SECOND);
    let demand = demand(2_000, 30_000, 0);
    let room = bucket.available_units(&demand, 60 * SECOND);
    let wait_us = bucket.schedule_retry(&demand, room, 1, 60 * SECOND);
    assert!(
        !bucket.try_charge(&demand, 60 * SECOND + wait_us / 2),
        "retried long before the end of its wait"
    );
    assert!(bucket.try_charge(&demand, 60 * SECOND + wait_us));
}

#[test]
fn a_limit_of_one_request_per_second_without_tolerance_is_usable() {
    let limit = TenantLimit { rate_per_s: 1, burst: 1, unit: QuotaUnit::Requests, plain_tokens: 0 };
    let bounds = QuotaBounds { overage: 0.0, slack: 0, ..BOUNDS };
    let mut bucket = Bucket::new(limit, 1, SlotShare::new(&limit, &bounds, 1), 0, 0);
    let asked = (0..80 * SECOND).step_by(100_000);
    let served = asked.filter(|now_us| bucket.try_charge(&demand(*now_us, 1, 0), *now_us)).count();
    assert!((70..=90).contains(&served), "{served} in 80 s");
}

#[test]
fn a_bucket_without_queries_for_a_window_is_idle() {
    let mut bucket = bucket(limit(47_000), SLOTS, 0, 60 * SECOND);
    assert!(bucket.try_charge(&demand(1, 10_000, 0), 60 * SECOND));
    assert!(!bucket.is_idle(67 * SECOND));
    assert!(bucket.is_idle(69 * SECOND));
}

/// With 2,300 tenants at one keeper, buckets of this size take at most 600 kB.
#[test]
fn a_bucket_fits_in_256_bytes() {
    assert!(std::mem::size_of::<Bucket>() <= 256, "{}", std::mem::size_of::<Bucket>());
}

#[derive(Clone, Debug)]
enum Operation {
    /// One slot is queried for a run, which arrives or is refunded after `after_us`.
    Single { slot: usize, cost: u64, priority: u8, is_used: bool, after_us: u64 },
    /// All slots together charge for a run.
    Split { cost: u64, is_used: bool, after_us: u64 },
    /// The holder of a slot is lost and a new one starts.
    ReplaceHolder { slot: usize },
    /// The holder of a slot hands over what is left to the next one, which counts as the same holder.
    HandOver { slot: usize },
}

fn operation() -> impl Strategy<Value = Operation> {
    let cost = prop_oneof![3 => 1_u64..30_000, 1 => 30_000_u64..200_000];
    let whole = (0..SLOTS, cost, 0_u8..3, any::<bool>(), 0..=GRANT_TTL_US).prop_map(
        |(slot, cost, priority, is_used, after_us)| Operation::Single {
            slot,
            cost,
            priority,
            is_used,
            after_us,
        },
    );
    let parts = (10_000_u64..200_000, any::<bool>(), 0..=GRANT_TTL_US)
        .prop_map(|(cost, is_used, after_us)| Operation::Split { cost, is_used, after_us });
    prop_oneof![
        30 => whole,
        8 => parts,
        1 => (0..SLOTS).prop_map(|slot| Operation::ReplaceHolder { slot }),
        2 => (0..SLOTS).prop_map(|slot| Operation::HandOver { slot }),
    ]
}

/// The slots of a tenant, with the runs and refunds in transit.
struct Simulation {
    limit: TenantLimit,
    bounds: QuotaBounds,
    buckets: Vec<Bucket>,
    now_us: u64,
    number: u64,
    arrivals: Vec<(u64, u64)>,
    returns: Vec<(u64, usize, Ticket)>,
    /// The charges of runs that were sent, as (time, units), for each holder; a holder is
    /// identified by its slot and its start.
    used_grants: BTreeMap<(usize, u64), Vec<(u64, u64)>>,
    started_at_us: [u64; SLOTS],
}

impl Simulation {
    fn new(limit: TenantLimit, bounds: QuotaBounds, is_established: bool) -> Self {
        let now_us = if is_established { 100 * SECOND } else { 0 };
        let share = SlotShare::new(&limit, &bounds, SLOTS);
        let bucket = |_| Bucket::new(limit, 1, share, 0, now_us);
        let buckets = (0..SLOTS).map(bucket).collect();
        Self {
            limit,
            bounds,
            buckets,
            now_us,
            number: 0,
            arrivals: Vec::new(),
            returns: Vec::new(),
            used_grants: BTreeMap::new(),
            started_at_us: [0; SLOTS],
        }
    }

    fn apply(&mut self, operation: &Operation) {
        self.number += 1;
        let number = self.number;
        match *operation {
            Operation::Single { slot, cost, priority, is_used, after_us } => {
                let demand = demand(number, cost, priority);
                if self.buckets[slot].try_charge(&demand, self.now_us) {
                    self.settle(&[(slot, cost)], demand, is_used, after_us);
                }
            }
            Operation::Split { cost, is_used, after_us } => {
                let demand = demand(number, cost, 0);
                let mut left = cost;
                let mut parts = Vec::new();
                for (slot, bucket) in self.buckets.iter_mut().enumerate() {
                    let part = bucket.charge_up_to(&demand, left, self.now_us);
                    left = left.saturating_sub(part);
                    parts.push((slot, part));
                }
                self.settle(&parts, demand, is_used && left == 0, after_us);
            }
            Operation::ReplaceHolder { slot } => {
                let share = SlotShare::new(&self.limit, &self.bounds, SLOTS);
                self.buckets[slot] = Bucket::new(self.limit, 1, share, self.now_us, self.now_us);
                self.started_at_us[slot] = self.now_us;
            }
            Operation::HandOver { slot } => {
                let share = SlotShare::new(&self.limit, &self.bounds, SLOTS);
                let available = self.buckets[slot].available_above_debt(self.now_us);
                self.buckets[slot] = Bucket::resume(self.limit, 1, share, available, self.now_us);
            }
        }
    }

    fn settle(&mut self, parts: &[(usize, u64)], demand: Demand, is_used: bool, after_us: u64) {
        let at_us = self.now_us + after_us;
        if is_used {
            self.arrivals.push((at_us, demand.cost));
            for (slot, units) in parts {
                let holder = (*slot, self.started_at_us[*slot]);
                self.used_grants.entry(holder).or_default().push((self.now_us, *units));
            }
            return;
        }
        // Each refund is delivered twice.
        for (slot, _) in parts.iter().chain(parts) {
            self.returns.push((at_us, *slot, demand.ticket));
        }
    }

    /// The maximum by which a holder's charges exceed its bounds: burst, debt and refill between
    /// any two of its grants, and the refill alone during the window after its start.
    fn max_overspend(&self) -> i64 {
        let share = SlotShare::new(&self.limit, &self.bounds, SLOTS);
        let mut max_overspend = i64::MIN;
        for ((_, started_at_us), used_grants) in &self.used_grants {
            let sum_from = |first: usize, last: usize| {
                used_grants[first..=last]
                    .iter()
                    .map(|(_, units)| *units as i64 * 1_000_000)
                    .sum::<i64>()
            };
            for last in 0..used_grants.len() {
                let at_us = used_grants[last].0;
                for (first, (first_at_us, _)) in used_grants[..=last].iter().enumerate() {
                    let max = share.burst + share.debt + share.refill(at_us - first_at_us);
                    max_overspend = max_overspend.max(sum_from(first, last) - max);
                }
                let age_us = at_us - started_at_us;
                if age_us < self.bounds.window_us {
                    let max = share.refill(age_us);
                    max_overspend = max_overspend.max(sum_from(0, last) - max);
                }
            }
        }
        max_overspend
    }

    fn advance(&mut self, time_us: u64) {
        let until_us = self.now_us + time_us;
        self.returns.sort_unstable();
        let due = self.returns.partition_point(|(at_us, ..)| *at_us <= until_us);
        for (at_us, slot, ticket) in self.returns.drain(..due) {
            self.buckets[slot].refund(ticket, at_us);
        }
        self.now_us = until_us;
    }

    /// The largest cost in any window, as a share of the allowed cost.
    fn max_usage(&mut self) -> f64 {
        self.arrivals.sort_unstable();
        let (mut first, mut sum, mut max_usage) = (0, 0, 0);
        for (at_us, cost) in &self.arrivals {
            sum += cost;
            while self.arrivals[first].0 + self.bounds.window_us < *at_us {
                sum -= self.arrivals[first].1;
                first += 1;
            }
            max_usage = max_usage.max(sum);
        }
        max_usage as f64 / allowed(&self.limit, &self.bounds)
    }
}

proptest! {
    /// The bound holds for any sequence of queries, uses, duplicate refunds and holder changes,
    /// with a demand far above the limit.
    #[test]
    fn no_window_exceeds_the_allowed_cost(
        rate in 1_000_u64..60_000,
        overage in 0.0_f64..0.5,
        slack in 0_u64..100_000,
        is_established in any::<bool>(),
        operations in prop::collection::vec((operation(), 0_u64..120_000), 1..400),
    ) {
        let bounds = QuotaBounds { overage, slack, ..BOUNDS };
        let mut simulation = Simulation::new(limit(rate), bounds, is_established);
        for (operation, pause_us) in &operations {
            simulation.apply(operation);
            simulation.advance(*pause_us);
        }
        let max_usage = simulation.max_usage();
        prop_assert!(max_usage <= 1.0, "{max_usage}");
        // Rounding may lose a millionth.
        let max_overspend = simulation.max_overspend();
        prop_assert!(max_overspend <= 1, "a holder overspent {max_overspend} millionths");
    }

    /// Whatever the limit and the bounds, all slots together cannot spend more than the allowed
    /// cost in a window.
    #[test]
    fn shares_of_any_limit_stay_within_the_allowed_cost(
        rate in 1_u64..2_000_000_000,
        burst in 0_u64..2_000_000_000,
        overage in 0.0_f64..10.0,
        slack in 0_u64..2_000_000_000,
        window_us in 1_u64..3_600 * SECOND,
        slots in 1_usize..32,
    ) {
        let limit = TenantLimit { burst, ..limit(rate) };
        let bounds = QuotaBounds { window_us, overage, slack };
        let share = SlotShare::new(&limit, &bounds, slots);
        prop_assert!(share.burst >= 0 && share.debt >= 0 && share.total_refill_per_s >= 0);
        let total = |micros: i64| micros as f64 / 1e6 * slots as f64;
        let refill = share.total_refill_per_s as f64 * (window_us + GRANT_TTL_US) as f64 / 1e12;
        // This holds for any number of successive holders, since the later ones start with nothing
        // to spend.
        let max = total(share.burst) + total(share.debt) + refill;
        prop_assert!(max <= allowed(&limit, &bounds) * (1.0 + 1e-9) + 1e-3, "{max}");
    }
}

/// Holders are replaced at various intervals, down to 250 ms, while the demand uses up all that is
/// available.
#[test]
fn frequent_holder_changes_stay_within_the_bound() {
    for interval_us in [250_000, SECOND, 3 * SECOND, 7 * SECOND, 9 * SECOND, 30 * SECOND] {
        let mut simulation = Simulation::new(limit(47_000), BOUNDS, true);
        let end_us = simulation.now_us + 60 * SECOND;
        while simulation.now_us < end_us {
            if simulation.now_us.is_multiple_of(interval_us) {
                (0..SLOTS).for_each(|slot| simulation.apply(&Operation::ReplaceHolder { slot }));
            }
            for slot in 0..SLOTS {
                for cost in [5_000, 500, 50] {
                    let take =
                        Operation::Single { slot, cost, priority: 0, is_used: true, after_us: 0 };
                    simulation.apply(&take);
                }
            }
            simulation.advance(10_000);
        }
        let max_usage = simulation.max_usage();
        println!("holders replaced every {interval_us} us: {max_usage:.3} of the allowed cost");
        assert!(max_usage <= 1.0);
    }
}
