//! Ways to split a tenant's limit, played on the same requests: what runs above the bound, what
//! is refused below the limit, and what asking costs.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::quota::{QuotaBounds, QuotaUnit, TenantLimit};
use pitchstall_serving::quota_bucket::{Bucket, Demand};
use pitchstall_serving::quota_share::SlotShare;
use pitchstall_serving::scheduling::Ticket;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000_000;
const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };
const ZONES: usize = 3;
/// One way within a zone and between zones, microseconds.
const IN_ZONE_US: u64 = 200;
const CROSS_ZONE_US: u64 = 900;
/// Length of a play, after the holders' first two windows.
const LEAD_US: u64 = 16 * SECOND;
const LENGTH_US: u64 = 120 * SECOND;
/// Time until the lease of a killed holder has run out and another one has begun.
const TAKEOVER_US: u64 = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Every node has an equal share.
    EachNode,
    /// One slot a tenant.
    OneSlot,
    /// A slot a zone, each asked by its own zone only.
    OwnZone,
    /// A slot a zone, questions handed on.
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
struct Scene {
    nodes: usize,
    tenants: usize,
    idle: usize,
    /// What the tenants send, as a share of their limits.
    load: f64,
    /// Times which the first tenant sends its usual.
    hot: f64,
    /// Whether a holder of a slot of each tenant is killed once.
    with_loss: bool,
    seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    offered: f64,
    refused: f64,
    refused_below: f64,
    /// The largest sum of a window over its bound.
    fullest: f64,
    over_bound: f64,
    requests: f64,
    words: f64,
    waited_us: f64,
}

fn limit(rate_per_s: u64) -> TenantLimit {
    TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
}

/// Limits from 47,000 to 737,214 tokens a second, a few of them large.
fn limits(scene: &Scene) -> Vec<TenantLimit> {
    let active = scene.tenants - scene.idle;
    (0..scene.tenants)
        .map(|number| {
            let place = (number % active) as f64 / active as f64;
            limit((737_214.0 * (-5.0 * place).exp()).max(47_000.0) as u64)
        })
        .collect()
}

/// A request's tokens: four kinds, long ones spread about their mean up to 93,000.
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
/// Mean of it.
const MEAN_COST: f64 = 5_400.0;

fn requests(scene: &Scene, limits: &[TenantLimit]) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(scene.seed);
    let mut requests = Vec::new();
    for (tenant, limit) in limits.iter().enumerate() {
        let is_idle = tenant >= scene.tenants - scene.idle;
        let times = if tenant == 0 { scene.hot } else { 1.0 };
        let usual = if is_idle { 0.02 } else { limit.rate_per_s as f64 / MEAN_COST };
        let gap_us = SECOND as f64 / (usual * scene.load * times);
        let mut at_us = LEAD_US as f64;
        loop {
            at_us -= gap_us * (1.0 - random.random::<f64>()).ln();
            if at_us >= (LEAD_US + LENGTH_US) as f64 {
                break;
            }
            let node = random.random_range(0..scene.nodes);
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
    fn new(way: Way, limit: TenantLimit, tenant: usize, nodes: usize) -> Self {
        let count = match way {
            Way::EachNode => nodes,
            Way::OneSlot => 1,
            Way::OwnZone | Way::HandedOn => ZONES,
        };
        let slot = |_| bucket(&limit, count, 0, 0);
        Self { buckets: (0..count).map(slot).collect(), limit, first_zone: tenant % ZONES }
    }

    /// A holder is killed; there is none until another one has begun.
    fn lose(&mut self, slot: usize, now_us: u64) {
        let count = self.buckets.len();
        let since_us = now_us + TAKEOVER_US;
        self.buckets[slot] = bucket(&self.limit, count, since_us, since_us);
    }

    /// Slots in the order in which a node asks them.
    fn order(&self, way: Way, node: usize) -> Vec<usize> {
        let own = (node + self.first_zone) % ZONES;
        match way {
            Way::EachNode => vec![node],
            Way::OneSlot => vec![0],
            Way::OwnZone => vec![own],
            Way::HandedOn => (0..ZONES).map(|step| (own + step) % ZONES).collect(),
        }
    }
}

fn bucket(limit: &TenantLimit, count: usize, since_us: u64, now_us: u64) -> Bucket {
    let share = SlotShare::of(limit, &BOUNDS, count);
    Bucket::new(*limit, 1, share, since_us, now_us)
}

/// An exact bucket over all nodes: what it lets in is below the limit.
struct ExactBucket {
    level: f64,
    at_us: u64,
}

impl ExactBucket {
    fn lets_in(&mut self, limit: &TenantLimit, request: &Request) -> bool {
        let passed_s = (request.at_us - self.at_us) as f64 / SECOND as f64;
        self.at_us = request.at_us;
        let burst = limit.burst as f64;
        self.level = (self.level + passed_s * limit.rate_per_s as f64).min(burst);
        // What is larger than the burst is let in when it is full.
        let lets_in = self.level >= (request.cost as f64).min(burst);
        if lets_in {
            self.level -= request.cost as f64;
        }
        lets_in
    }
}

fn is_lost(request: &Request, slots: &Slots, slot: usize, lost_at_us: Option<u64>) -> bool {
    let gap = lost_at_us.map(|at_us| at_us..at_us + TAKEOVER_US);
    slot == request.tenant % slots.buckets.len()
        && gap.is_some_and(|gap| gap.contains(&request.at_us))
}

fn play(way: Way, scene: &Scene) -> Figures {
    let limits = limits(scene);
    let mut slots: Vec<Slots> = limits
        .iter()
        .enumerate()
        .map(|(tenant, limit)| Slots::new(way, *limit, tenant, scene.nodes))
        .collect();
    let mut exact: Vec<ExactBucket> = limits
        .iter()
        .map(|limit| ExactBucket { level: limit.burst as f64, at_us: LEAD_US })
        .collect();
    let mut runs = vec![Vec::new(); limits.len()];
    let mut figures = Figures::default();
    let lost_at_us = scene.with_loss.then_some(LEAD_US + LENGTH_US / 2);
    let mut is_killed = false;
    for (number, request) in requests(scene, &limits).into_iter().enumerate() {
        if let Some(at_us) = lost_at_us.filter(|at_us| !is_killed && request.at_us >= *at_us) {
            is_killed = true;
            for (tenant, slots) in slots.iter_mut().enumerate() {
                let slot = tenant % slots.buckets.len();
                slots.lose(slot, at_us);
            }
        }
        let tenant_slots = &mut slots[request.tenant];
        let ticket = Ticket { incarnation: 1, number: number as u64 };
        let demand = Demand { ticket, cost: request.cost, rank: 0 };
        let mut at_us = request.at_us;
        let mut has_answer = false;
        let mut is_granted = false;
        let order: Vec<usize> = tenant_slots
            .order(way, request.node)
            .into_iter()
            .filter(|slot| !is_lost(&request, tenant_slots, *slot, lost_at_us))
            .collect();
        let mut room = 0;
        for (asked, slot) in order.iter().copied().enumerate() {
            let is_own = asked == 0 && way != Way::OneSlot;
            at_us += if is_own { IN_ZONE_US } else { CROSS_ZONE_US };
            has_answer = true;
            figures.words += f64::from(u8::from(way != Way::EachNode));
            is_granted = tenant_slots.buckets[slot].take(&demand, at_us);
            if is_granted {
                break;
            }
            room += tenant_slots.buckets[slot].room_units(&demand, at_us);
        }
        let in_parts = way == Way::HandedOn && !is_granted && room >= request.cost as i64;
        if in_parts {
            let mut left = request.cost;
            for slot in order.iter().rev().copied() {
                let bucket = &mut tenant_slots.buckets[slot];
                left = left.saturating_sub(bucket.take_part(&demand, left, at_us));
                if left == 0 {
                    break;
                }
                at_us += CROSS_ZONE_US;
                figures.words += 1.0;
            }
            is_granted = left == 0;
        }
        if !is_granted {
            if let Some(last) = order.last() {
                tenant_slots.buckets[*last].refuse(&demand, room, order.len(), at_us);
            }
        }
        if has_answer && way != Way::EachNode {
            figures.words += 1.0;
            at_us += if way == Way::OneSlot { CROSS_ZONE_US } else { IN_ZONE_US };
            figures.waited_us += (at_us - request.at_us) as f64;
        }
        figures.requests += 1.0;
        figures.offered += request.cost as f64;
        let is_below = exact[request.tenant].lets_in(&limits[request.tenant], &request);
        if is_granted {
            runs[request.tenant].push((at_us, request.cost));
        } else {
            figures.refused += request.cost as f64;
            figures.refused_below += if is_below { request.cost as f64 } else { 0.0 };
        }
    }
    for (limit, runs) in limits.iter().zip(&mut runs) {
        runs.sort_unstable();
        let allowed = (limit.rate_per_s * 8 + limit.burst) as f64 * 1.1 + 190_000.0;
        let fullest = fullest_window(runs);
        figures.fullest = figures.fullest.max(fullest / allowed);
        figures.over_bound = figures.over_bound.max(fullest - allowed);
    }
    figures
}

/// The largest sum over a window.
fn fullest_window(runs: &[(u64, u64)]) -> f64 {
    let (mut first, mut sum, mut fullest) = (0, 0, 0);
    for (at_us, cost) in runs {
        sum += cost;
        while runs[first].0 + BOUNDS.window_us < *at_us {
            sum -= runs[first].1;
            first += 1;
        }
        fullest = fullest.max(sum);
    }
    fullest as f64
}

fn print_row(scene: &str, way: Way, figures: &Figures) {
    println!(
        "{scene} | {way:?} | refused {:.4} | below the limit {:.5} | fullest window {:.3} | over {:.0} | words {:.2} | ms {:.2}",
        figures.refused / figures.offered,
        figures.refused_below / figures.offered,
        figures.fullest,
        figures.over_bound.max(0.0),
        figures.words / figures.requests,
        figures.waited_us / figures.requests / 1_000.0,
    );
}

const SCENE: Scene =
    Scene { nodes: 58, tenants: 16, idle: 0, load: 0.56, hot: 1.0, with_loss: false, seed: 1 };

#[test]
fn ways_to_split_a_limit_are_compared() {
    let scenes = [
        ("58 nodes, 16 tenants, usual", SCENE),
        ("58 nodes, 16 tenants, peak", Scene { load: 0.7, ..SCENE }),
        ("58 nodes, 16 tenants, one hot", Scene { hot: 7.5, ..SCENE }),
        ("58 nodes, 16 tenants, holders lost", Scene { with_loss: true, ..SCENE }),
        ("300 nodes, 2,300 tenants", Scene { nodes: 300, tenants: 2_300, idle: 2_200, ..SCENE }),
    ];
    for (name, scene) in scenes {
        for way in [Way::EachNode, Way::OneSlot, Way::OwnZone, Way::HandedOn] {
            let figures = play(way, &scene);
            print_row(name, way, &figures);
        }
    }
}
