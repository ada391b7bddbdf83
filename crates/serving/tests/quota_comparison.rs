//! Compares strategies for splitting a tenant's limit on the same simulated requests: cost above
//! the bound, refusals below the limit, and the messages and delays of queries.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::quota::{QuotaBounds, QuotaUnit, TenantLimit};
use pitchstall_serving::quota_bucket::{Bucket, Demand};
use pitchstall_serving::quota_share::SlotShare;
use pitchstall_serving::scheduling::Ticket;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };
const ZONES: usize = 3;
/// One-way delay within a zone and between zones, microseconds.
const IN_ZONE_US: u64 = 200;
const CROSS_ZONE_US: u64 = 900;
/// Time before the first request, two windows in which the holders refill, and duration of the
/// requests after it.
const WARM_UP_US: u64 = 16 * SECOND;
const DURATION_US: u64 = 120 * SECOND;
/// Time until the lease of a killed holder has expired and another node has taken over.
const TAKEOVER_US: u64 = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Every node has an equal share.
    EachNode,
    /// One slot per tenant.
    OneSlot,
    /// One slot per zone, queried only by the nodes of that zone.
    OwnZone,
    /// One slot per zone; queries are forwarded to the other slots.
    HandedOn,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    at_us: u64,
    tenant: usize,
    node: usize,
    cost: u64,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    tenants: usize,
    idle: usize,
    /// Demand of the tenants as a share of their limits.
    load: f64,
    /// Factor by which the first tenant exceeds its usual demand.
    hot_factor: f64,
    /// Whether the holder of one slot of each tenant is killed once.
    has_holder_loss: bool,
    seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Results {
    offered: f64,
    refused: f64,
    refused_below_limit: f64,
    /// The largest cost in any window, as a share of its bound.
    max_usage: f64,
    over_bound: f64,
    requests: f64,
    messages: f64,
    waited_us: f64,
}

fn limit(rate_per_s: u64) -> TenantLimit {
    TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
}

/// Limits from 47,000 to 737,214 tokens per second, only a few of them large.
fn limits(scenario: &Scenario) -> Vec<TenantLimit> {
    let active = scenario.tenants - scenario.idle;
    (0..scenario.tenants)
        .map(|number| {
            let place = (number % active) as f64 / active as f64;
            limit((737_214.0 * (-5.0 * place).exp()).max(47_000.0) as u64)
        })
        .collect()
}

/// Tokens of a request, of one of four kinds. Long requests are spread around their mean, up to
/// 93,000.
fn cost(random: &mut ChaCha8Rng) -> u64 {
    let spread = |random: &mut ChaCha8Rng, mean: f64| {
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (0.52 * normal - 0.135).exp()).clamp(200.0, 93_000.0) as u64
    };
    match random.random_range(0..280) {
        0..57 => spread(random, 17_020.0),
        57..100 => spread(random, 9_190.0),
        100..188 => spread(random, 1_460.0),
        _ => 200,
    }
}
/// Mean of [`cost`].
const MEAN_COST: f64 = 5_400.0;

fn requests(scenario: &Scenario, limits: &[TenantLimit]) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut requests = Vec::new();
    for (tenant, limit) in limits.iter().enumerate() {
        let is_idle = tenant >= scenario.tenants - scenario.idle;
        let times = if tenant == 0 { scenario.hot_factor } else { 1.0 };
        let usual = if is_idle { 0.02 } else { limit.rate_per_s as f64 / MEAN_COST };
        let gap_us = SECOND as f64 / (usual * scenario.load * times);
        let mut at_us = WARM_UP_US as f64;
        loop {
            at_us -= gap_us * (1.0 - random.random::<f64>()).ln();
            if at_us >= (WARM_UP_US + DURATION_US) as f64 {
                break;
            }
            let node = random.random_range(0..scenario.nodes);
            requests.push(Request { at_us: at_us as u64, tenant, node, cost: cost(&mut random) });
        }
    }
    requests.sort_by_key(|request| request.at_us);
    requests
}

/// The slots of one tenant.
struct Slots {
    buckets: Vec<Bucket>,
    limit: TenantLimit,
    first_zone: usize,
}

impl Slots {
    fn new(strategy: Strategy, limit: TenantLimit, tenant: usize, nodes: usize) -> Self {
        let count = match strategy {
            Strategy::EachNode => nodes,
            Strategy::OneSlot => 1,
            Strategy::OwnZone | Strategy::HandedOn => ZONES,
        };
        let slot = |_| bucket(&limit, count, 0, 0);
        Self { buckets: (0..count).map(slot).collect(), limit, first_zone: tenant % ZONES }
    }

    /// Kills a holder. The slot has no holder until another node has taken over.
    fn replace_holder(&mut self, slot: usize, now_us: u64) {
        let count = self.buckets.len();
        let since_us = now_us + TAKEOVER_US;
        self.buckets[slot] = bucket(&self.limit, count, since_us, since_us);
    }

    /// The slots in the order in which a node queries them.
    fn order(&self, strategy: Strategy, node: usize) -> Vec<usize> {
        let own = (node + self.first_zone) % ZONES;
        match strategy {
            Strategy::EachNode => vec![node],
            Strategy::OneSlot => vec![0],
            Strategy::OwnZone => vec![own],
            Strategy::HandedOn => (0..ZONES).map(|step| (own + step) % ZONES).collect(),
        }
    }
}

fn bucket(limit: &TenantLimit, count: usize, since_us: u64, now_us: u64) -> Bucket {
    let share = SlotShare::new(limit, &BOUNDS, count);
    Bucket::new(*limit, 1, share, since_us, now_us)
}

/// A single exact bucket for all nodes, which defines the requests that are within the limit.
struct ReferenceBucket {
    level: f64,
    at_us: u64,
}

impl ReferenceBucket {
    fn grants(&mut self, limit: &TenantLimit, request: &Request) -> bool {
        let passed_s = (request.at_us - self.at_us) as f64 / SECOND as f64;
        self.at_us = request.at_us;
        let burst = limit.burst as f64;
        self.level = (self.level + passed_s * limit.rate_per_s as f64).min(burst);
        // A request that costs more than the burst is granted when the bucket is full.
        let grants = self.level >= (request.cost as f64).min(burst);
        if grants {
            self.level -= request.cost as f64;
        }
        grants
    }
}

/// The simulation of one strategy in one scenario.
struct Simulation {
    strategy: Strategy,
    limits: Vec<TenantLimit>,
    slots: Vec<Slots>,
    reference: Vec<ReferenceBucket>,
    runs: Vec<Vec<(u64, u64)>>,
    /// Time at which a holder of each tenant is killed.
    loss_at_us: Option<u64>,
    results: Results,
}

impl Simulation {
    fn new(strategy: Strategy, scenario: &Scenario) -> Self {
        let limits = limits(scenario);
        let slots =
            |(id, limit): (usize, &TenantLimit)| Slots::new(strategy, *limit, id, scenario.nodes);
        let reference =
            |limit: &TenantLimit| ReferenceBucket { level: limit.burst as f64, at_us: WARM_UP_US };
        Self {
            strategy,
            slots: limits.iter().enumerate().map(slots).collect(),
            reference: limits.iter().map(reference).collect(),
            runs: vec![Vec::new(); limits.len()],
            limits,
            loss_at_us: scenario.has_holder_loss.then_some(WARM_UP_US + DURATION_US / 2),
            results: Results::default(),
        }
    }

    fn replace_holders(&mut self, at_us: u64) {
        for (tenant, slots) in self.slots.iter_mut().enumerate() {
            let slot = tenant % slots.buckets.len();
            slots.replace_holder(slot, at_us);
        }
    }

    fn is_unavailable(&self, request: &Request, slot: usize) -> bool {
        let gap = self.loss_at_us.map(|at_us| at_us..at_us + TAKEOVER_US);
        let is_in_gap = gap.is_some_and(|gap| gap.contains(&request.at_us));
        is_in_gap && slot == request.tenant % self.slots[request.tenant].buckets.len()
    }

    fn on_request(&mut self, number: usize, request: &Request) {
        let ticket = Ticket { incarnation: 1, number: number as u64 };
        let demand = Demand { ticket, cost: request.cost, priority: 0 };
        let order = self.slots[request.tenant].order(self.strategy, request.node);
        let order: Vec<usize> =
            order.into_iter().filter(|slot| !self.is_unavailable(request, *slot)).collect();
        let (is_granted, at_us) = self.query(request, &demand, &order);
        self.results.requests += 1.0;
        self.results.offered += request.cost as f64;
        self.results.waited_us += (at_us - request.at_us) as f64;
        let is_within_limit =
            self.reference[request.tenant].grants(&self.limits[request.tenant], request);
        if is_granted {
            self.runs[request.tenant].push((at_us, request.cost));
        } else {
            self.results.refused += request.cost as f64;
            self.results.refused_below_limit +=
                if is_within_limit { request.cost as f64 } else { 0.0 };
        }
    }

    /// Queries the slots in order. Returns whether the run is granted, and the time at which this
    /// is known.
    fn query(&mut self, request: &Request, demand: &Demand, order: &[usize]) -> (bool, u64) {
        let mut at_us = request.at_us;
        let mut available_units = 0;
        let mut is_granted = false;
        for (tried, slot) in order.iter().enumerate() {
            at_us += self.message_delay(tried == 0);
            let bucket = &mut self.slots[request.tenant].buckets[*slot];
            is_granted = bucket.try_charge(demand, at_us);
            if is_granted {
                break;
            }
            available_units += bucket.available_units(demand, at_us);
        }
        if self.strategy == Strategy::HandedOn
            && !is_granted
            && available_units >= request.cost as i64
        {
            is_granted = self.query_for_parts(request, demand, order, &mut at_us);
        }
        let last = order.last().filter(|_| !is_granted);
        if let Some(last) = last {
            let bucket = &mut self.slots[request.tenant].buckets[*last];
            bucket.schedule_retry(demand, available_units, order.len(), at_us);
        }
        if !order.is_empty() {
            at_us += self.message_delay(true);
        }
        (is_granted, at_us)
    }

    fn query_for_parts(
        &mut self,
        request: &Request,
        demand: &Demand,
        order: &[usize],
        at_us: &mut u64,
    ) -> bool {
        let mut left = request.cost;
        for slot in order.iter().rev() {
            let bucket = &mut self.slots[request.tenant].buckets[*slot];
            left = left.saturating_sub(bucket.charge_up_to(demand, left, *at_us));
            if left == 0 {
                break;
            }
            *at_us += self.message_delay(false);
        }
        left == 0
    }

    /// Counts a message and returns its delay.
    fn message_delay(&mut self, is_own: bool) -> u64 {
        if self.strategy == Strategy::EachNode {
            return 0;
        }
        self.results.messages += 1.0;
        if is_own && self.strategy != Strategy::OneSlot {
            IN_ZONE_US
        } else {
            CROSS_ZONE_US
        }
    }

    fn finish(mut self) -> Results {
        for (limit, runs) in self.limits.iter().zip(&mut self.runs) {
            runs.sort_unstable();
            let allowed = (limit.rate_per_s * 8 + limit.burst) as f64 * 1.1 + 190_000.0;
            let max_usage = max_window_cost(runs);
            self.results.max_usage = self.results.max_usage.max(max_usage / allowed);
            self.results.over_bound = self.results.over_bound.max(max_usage - allowed);
        }
        self.results
    }
}

fn simulate(strategy: Strategy, scenario: &Scenario) -> Results {
    let mut simulation = Simulation::new(strategy, scenario);
    let mut loss_at_us = simulation.loss_at_us;
    for (number, request) in requests(scenario, &limits(scenario)).into_iter().enumerate() {
        if let Some(at_us) = loss_at_us.filter(|at_us| request.at_us >= *at_us) {
            simulation.replace_holders(at_us);
            loss_at_us = None;
        }
        simulation.on_request(number, &request);
    }
    simulation.finish()
}

/// The largest cost in any window.
fn max_window_cost(runs: &[(u64, u64)]) -> f64 {
    let (mut first, mut sum, mut max_usage) = (0, 0, 0);
    for (at_us, cost) in runs {
        sum += cost;
        while runs[first].0 + BOUNDS.window_us < *at_us {
            sum -= runs[first].1;
            first += 1;
        }
        max_usage = max_usage.max(sum);
    }
    max_usage as f64
}

impl Results {
    fn print(&self, scenario: &str, strategy: Strategy) {
        println!(
            "| {scenario} | {strategy:?} | {:.4} | {:.4} | {:.3} | {:.0} | {:.2} | {:.2} |",
            self.refused_share(),
            self.refused_below_limit / self.offered,
            self.max_usage,
            self.over_bound.max(0.0),
            self.messages / self.requests,
            self.waited_us / self.requests / 1_000.0,
        );
    }

    fn refused_share(&self) -> f64 {
        self.refused / self.offered
    }
}

const BASE_SCENARIO: Scenario = Scenario {
    nodes: 58,
    tenants: 16,
    idle: 0,
    load: 0.56,
    hot_factor: 1.0,
    has_holder_loss: false,
    seed: 1,
};
const ALL_STRATEGIES: [Strategy; 4] =
    [Strategy::EachNode, Strategy::OneSlot, Strategy::OwnZone, Strategy::HandedOn];

/// Simulates all strategies in one scenario and returns their results in the order of
/// [`ALL_STRATEGIES`].
fn compare(name: &str, scenario: &Scenario) -> [Results; 4] {
    ALL_STRATEGIES.map(|strategy| {
        let results = simulate(strategy, scenario);
        results.print(name, strategy);
        assert!(results.over_bound <= 0.0, "{strategy:?}: {} over the bound", results.over_bound);
        results
    })
}

#[test_case(58, 16, 0; "58 nodes, 16 tenants")]
#[test_case(300, 16, 0; "300 nodes, 16 tenants")]
#[test_case(58, 2_300, 2_200; "58 nodes, 2,300 tenants")]
#[test_case(300, 2_300, 2_200; "300 nodes, 2,300 tenants")]
fn at_usual_load_almost_nothing_is_refused(nodes: usize, tenants: usize, idle: usize) {
    let scenario = Scenario { nodes, tenants, idle, ..BASE_SCENARIO };
    let name = format!("usual, {nodes} nodes, {tenants} tenants");
    let [each_node, one_slot, own_zone, handed_on] = compare(&name, &scenario);
    assert!(handed_on.refused_share() < 0.001);
    assert!(one_slot.refused_share() < 0.001);
    assert!(own_zone.refused_share() > 0.001 && each_node.refused_share() > 0.5);
    assert!(handed_on.waited_us < one_slot.waited_us / 2.0, "queried in the own zone");
}

#[test]
fn at_a_peak_almost_nothing_is_refused() {
    let [.., handed_on] = compare("peak", &Scenario { load: 0.7, ..BASE_SCENARIO });
    assert!(handed_on.refused_share() < 0.001);
}

#[test]
fn an_overloading_tenant_gets_its_limit() {
    let [_, one_slot, _, handed_on] =
        compare("one hot", &Scenario { hot_factor: 7.5, ..BASE_SCENARIO });
    assert!((handed_on.refused_share() - one_slot.refused_share()).abs() < 0.005);
}

#[test]
fn the_loss_of_a_holder_costs_only_its_share() {
    let [_, one_slot, _, handed_on] =
        compare("holders lost", &Scenario { has_holder_loss: true, ..BASE_SCENARIO });
    assert!(one_slot.refused_share() > 0.05);
    assert!(handed_on.refused_share() < 0.001);
}
