//! Simulates a fleet of 295 nodes and 160 runners in virtual time and compares the queueing times
//! that different ways of placing requests lead to.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, SoftwareVersion, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::placement::{prefill_home, Demand, PrefillPlan};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::reservations::Reservations;
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::scheduler::{
    choose_placement, less_loaded_shard, reservation, wire_plan, PlacementDecision, ResponseTarget,
};
use pitchstall_serving::scheduling::{wire_parts, PlacementQuery, Shard, Ticket, WirePlan};
use pitchstall_serving::topology::Topology;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use support::runner_record;

const NODES: usize = 295;
const PREFILL_RUNNERS: usize = 56;
const DECODE_RUNNERS: usize = 104;
const REQUESTS: u64 = 3_000;
/// 423 requests a second.
const REQUEST_INTERVAL_US: u64 = 2_364;
const MICROS_PER_MILLI: f64 = 1_000.0;
const TARGET_MS: u64 = 800;
const REMAINING_MS: u64 = 4_000;
const SHARED_PROMPTS: u64 = 800;
/// The first requests find empty runners and are not counted.
const WARM_UP_REQUESTS: u64 = 500;

/// A generator of pseudo-random numbers with a fixed sequence.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

fn shard_of(number: usize, of: usize) -> Shard {
    Shard { region: RegionId::new("north"), number, of }
}

fn runners() -> Vec<RunnerRecord> {
    let record = |number: usize| RunnerRecord {
        version: SoftwareVersion::new("v1"),
        slots: 64,
        stage: Some(if number < PREFILL_RUNNERS { Stage::Prefill } else { Stage::Decode }),
        ..runner_record(RunnerId::new(format!("i-{number}")))
    };
    (0..PREFILL_RUNNERS + DECODE_RUNNERS).map(record).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    runners().into_iter().for_each(|record| {
        fleet.put(record);
    });
    fleet
}

/// Who places the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// One scheduler for each of `shards` shards; `lost` percent of the progress messages are lost.
    Schedulers { shards: usize, lost: u64 },
    /// Each node, from what it knows of its own requests.
    EachNode,
}

/// A scheduler or node that places requests.
struct Placer {
    fleet: Fleet,
    reservations: Reservations,
}

/// The time at which each runner has worked off its queue.
#[derive(Default)]
struct Queues {
    free_at_us: BTreeMap<RunnerId, u64>,
}

impl Queues {
    /// Adds a prompt to a runner's queue; returns its wait and the time at which it is prefilled.
    fn add(&mut self, runner: &RunnerId, now_us: u64, prefill_us: u64) -> (u64, u64) {
        let free_at_us = self.free_at_us.entry(runner.clone()).or_default();
        let begins_us = now_us.max(*free_at_us);
        *free_at_us = begins_us + prefill_us;
        (begins_us - now_us, *free_at_us)
    }
}

struct Simulation {
    strategy: Strategy,
    placers: Vec<Placer>,
    queues: Queues,
    prefills: BinaryHeap<Reverse<(u64, usize, Ticket)>>,
    waits_us: Vec<u64>,
}

impl Simulation {
    fn new(strategy: Strategy) -> Self {
        let placers = match strategy {
            Strategy::Schedulers { shards, .. } => shards,
            Strategy::EachNode => NODES,
        };
        let placer = |_| Placer { fleet: fleet(), reservations: Reservations::default() };
        Self {
            strategy,
            placers: (0..placers).map(placer).collect(),
            queues: Queues::default(),
            prefills: BinaryHeap::new(),
            waits_us: Vec::new(),
        }
    }

    /// Runs the simulation; returns the mean wait of the counted requests in milliseconds.
    fn run(mut self) -> f64 {
        let mut rng = Rng(7);
        for number in 0..REQUESTS {
            let now_us = number * REQUEST_INTERVAL_US;
            self.deliver_progress(now_us, &mut rng);
            self.place(number, now_us, &mut rng);
        }
        let counted = &self.waits_us[WARM_UP_REQUESTS as usize..];
        counted.iter().sum::<u64>() as f64 / MICROS_PER_MILLI / counted.len() as f64
    }

    fn deliver_progress(&mut self, now_us: u64, rng: &mut Rng) {
        while self.prefills.peek().is_some_and(|Reverse((at_us, ..))| *at_us <= now_us) {
            let Reverse((_, placer, ticket)) = self.prefills.pop().unwrap();
            let lost = match self.strategy {
                Strategy::Schedulers { lost, .. } => rng.below(100) < lost,
                Strategy::EachNode => false,
            };
            let Placer { fleet, reservations } = &mut self.placers[placer];
            if !lost {
                reservations.on_prefilled(fleet, ticket);
                reservations.end(fleet, ticket);
            }
        }
        if now_us % 100 < 10 {
            self.placers.iter_mut().for_each(|placer| {
                placer.reservations.expire(&mut placer.fleet, now_us);
            });
        }
    }

    fn place(&mut self, number: u64, now_us: u64, rng: &mut Rng) {
        let tokens = 500 + rng.below(5_000);
        let shared = PromptPart { id: rng.below(SHARED_PROMPTS), tokens: 1 };
        let own = PromptPart { id: SHARED_PROMPTS + number, tokens };
        let prompt = Prompt { parts: vec![shared, own], tokens: tokens + 1, max_output_tokens: 8 };
        let service = ServiceName::new("llm");
        let zone = ZoneId::new("north");
        let demand = Demand {
            eligible: Eligible::all_of(&service),
            prompt: &prompt,
            zone: &zone,
            cache_tokens: 400_000,
            cross_region_ms_per_token: None,
            now_us,
        };
        let shards = match self.strategy {
            Strategy::Schedulers { shards, .. } => shards,
            Strategy::EachNode => 1,
        };
        let home = prefill_home(&self.placers[0].fleet, &demand).unwrap();
        let home = self.placers[0].fleet.get(home).unwrap();
        let shard = Shard::of_runner(home, shards);
        let mut query = PlacementQuery {
            ticket: Ticket { incarnation: 1, number },
            request: String::new(),
            reply_to: SocketAddr::from(([127, 0, 0, 1], 1)),
            shard: shard.clone(),
            is_forwarded: false,
            service: service.clone(),
            parts: wire_parts(&prompt),
            tokens: prompt.tokens,
            max_output_tokens: 8,
            target_ms: TARGET_MS,
            elapsed_ms: 0,
            remaining_ms: REMAINING_MS,
            zone: zone.clone(),
            excluded: Vec::new(),
            zones: None,
            version: None,
            excluded_versions: Vec::new(),
        };
        let mut placer = match self.strategy {
            Strategy::Schedulers { .. } => shard.number,
            Strategy::EachNode => rng.below(NODES as u64) as usize,
        };
        let speed = PrefillSpeed::default();
        let mut placed = self.decide(placer, &demand, &query.shard, &speed);
        let reported: Vec<_> = self
            .placers
            .iter()
            .enumerate()
            .take(shards)
            .map(|(number, placer)| {
                let shard = shard_of(number, shards);
                let loads = placer.fleet.shard_loads(&shard, now_us);
                (shard, loads)
            })
            .collect();
        if matches!(self.strategy, Strategy::Schedulers { .. }) {
            for (other, loads) in &reported {
                if other.number != placer {
                    self.placers[placer].fleet.on_shard_loads(other, loads, now_us);
                }
            }
        }
        let better =
            less_loaded_shard(&self.placers[placer].fleet, &speed, &query, &placed, now_us);
        if let Some(better) = better {
            placer = better.number;
            query.shard = better;
            query.is_forwarded = true;
            placed = self.decide(placer, &demand, &query.shard, &speed);
        }
        let plan = wire_plan(placed).unwrap();
        let Placer { fleet, reservations } = &mut self.placers[placer];
        let reservation = reservation(fleet, &query, &prompt, &plan, now_us);
        reservations.reserve(fleet, query.ticket, reservation);
        let (WirePlan::Split(prefill, _) | WirePlan::Direct(prefill)) = &plan;
        let slower = if matches!(plan, WirePlan::Direct(_)) { 2.0 } else { 1.0 };
        let prefill_us = (speed.prefill_ms(tokens as f64) * MICROS_PER_MILLI * slower) as u64;
        let (wait_us, prefilled_at_us) = self.queues.add(&prefill.runner, now_us, prefill_us);
        self.waits_us.push(wait_us);
        self.prefills.push(Reverse((prefilled_at_us, placer, query.ticket)));
    }

    fn decide(
        &self,
        placer: usize,
        demand: &Demand<'_>,
        shard: &Shard,
        speed: &PrefillSpeed,
    ) -> PlacementDecision {
        let due = ResponseTarget { target_ms: TARGET_MS as f64, elapsed_ms: 0.0 };
        let shard = matches!(self.strategy, Strategy::Schedulers { .. }).then_some(shard);
        choose_placement(&self.placers[placer].fleet, speed, demand, shard, due)
    }
}

#[test]
fn sharded_schedulers_place_nearly_as_well_as_a_single_scheduler() {
    let mean_wait_ms = |strategy| Simulation::new(strategy).run();
    let one = mean_wait_ms(Strategy::Schedulers { shards: 1, lost: 0 });
    let shards = Shard::count(NODES);
    let eight = mean_wait_ms(Strategy::Schedulers { shards, lost: 0 });
    let lossy = mean_wait_ms(Strategy::Schedulers { shards, lost: 5 });
    let alone = mean_wait_ms(Strategy::EachNode);
    println!("mean wait, ms: one {one:.1}, {shards} shards {eight:.1}, with losses {lossy:.1}, each node alone {alone:.1}");
    assert!(eight < one + 25.0, "{eight} against {one}");
    assert!(lossy < alone / 2.0, "{lossy} against {alone}");
    assert!(eight < alone / 4.0, "{eight} against {alone}");
}

fn membership(own: usize, nodes: usize) -> Membership {
    let member = |number: usize| Member {
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        zone: ZoneId::new("north"),
        millicpus: if number.is_multiple_of(20) { 500 } else { 120 },
    };
    let name = |number: usize| NodeId::new(format!("node-{number}"));
    let mut membership = Membership::new(name(own), member(own), Topology::default());
    (0..nodes).for_each(|number| membership.upsert(&name(number), &member(number)));
    membership
}

#[test]
fn all_nodes_choose_the_same_strong_scheduler_and_the_same_successor() {
    let shard = &shard_of(3, 8);
    let seen = membership(1, NODES);
    let (first, address) = seen.scheduler(shard, |_| true).unwrap();
    let first = first.clone();
    assert_eq!(address.port() % 20, 0, "a strong node");
    for own in (2..NODES).step_by(17) {
        let other = membership(own, NODES);
        let found = other.scheduler(shard, |_| true);
        assert_eq!(
            found.map_or(format!("node-{own}"), |(name, _)| name.to_string()),
            first.to_string()
        );
    }
    let (second, _) = seen.scheduler(shard, |name| *name != first).unwrap();
    assert_ne!(*second, first);
}

#[test]
fn a_node_without_peers_schedules_all_shards_itself() {
    let alone = membership(0, 1);
    assert_eq!(Shard::count(alone.len()), 1);
    assert!(alone.scheduler(&shard_of(0, 1), |_| true).is_none());
}

#[test]
fn a_request_without_a_long_wait_stays_in_its_shard() {
    let fleet = fleet();
    let query = PlacementQuery {
        ticket: Ticket { incarnation: 1, number: 1 },
        request: String::new(),
        reply_to: SocketAddr::from(([127, 0, 0, 1], 1)),
        shard: shard_of(0, 8),
        is_forwarded: false,
        service: ServiceName::new("llm"),
        parts: Vec::new(),
        tokens: 1_000,
        max_output_tokens: 8,
        target_ms: TARGET_MS,
        elapsed_ms: 0,
        remaining_ms: REMAINING_MS,
        zone: ZoneId::new("north"),
        excluded: Vec::new(),
        zones: None,
        version: None,
        excluded_versions: Vec::new(),
    };
    let prompt = query.prompt();
    let demand = Demand {
        eligible: Eligible::all_of(&query.service),
        prompt: &prompt,
        zone: &query.zone,
        cache_tokens: 400_000,
        cross_region_ms_per_token: None,
        now_us: 0,
    };
    let due = ResponseTarget { target_ms: TARGET_MS as f64, elapsed_ms: 0.0 };
    let placed =
        choose_placement(&fleet, &PrefillSpeed::default(), &demand, Some(&query.shard), due);
    let prefill = placed.prefill.as_ref().unwrap();
    let (PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = prefill;
    assert!(query.shard.contains(fleet.get(&choice.runner).unwrap()));
    assert_eq!(less_loaded_shard(&fleet, &PrefillSpeed::default(), &query, &placed, 0), None);
}
