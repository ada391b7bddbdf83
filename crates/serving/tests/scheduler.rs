//! A fleet of 295 nodes and 160 runners in virtual time: how long requests wait where they are
//! placed, by who places them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::placement::{reading_home, Demand, ReadingPlan};
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::read_pace::ReadPace;
use pitchstall_serving::reservations::Reservations;
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::scheduler::{
    choose, reservation, shorter_shard, told_plan, Due, PlacedRequest,
};
use pitchstall_serving::scheduling::{told_parts, PlacementQuestion, Shard, Ticket, ToldPlan};
use pitchstall_serving::topology::Topology;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use support::runner_record;

const NODES: usize = 295;
const PREFILL: usize = 56;
const DECODE: usize = 104;
const REQUESTS: u64 = 3_000;
/// 423 requests a second.
const BETWEEN_REQUESTS_US: u64 = 2_364;
const MICROS_PER_MILLI: f64 = 1_000.0;
const TARGET_MS: u64 = 800;
const LEFT_MS: u64 = 4_000;
const SHARED_PROMPTS: u64 = 800;
/// The first requests meet empty runners.
const WARM_UP: u64 = 500;

/// Numbers that are the same in each run.
struct Numbers(u64);

impl Numbers {
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
        slots: 64,
        stage: Some(if number < PREFILL { Stage::Prefill } else { Stage::Decode }),
        ..runner_record(RunnerId::new(format!("i-{number}")))
    };
    (0..PREFILL + DECODE).map(record).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    runners().into_iter().for_each(|record| {
        fleet.put(record);
    });
    fleet
}

/// Who places requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Placer {
    /// Schedulers of so many shards; so many of a hundred words on progress are lost.
    Schedulers { shards: usize, lost: u64 },
    /// Each node by what it knows of its own requests.
    EachNode,
}

/// One who places requests: a scheduler or a node.
struct Mind {
    fleet: Fleet,
    reservations: Reservations,
}

/// What a runner has to do until it is free.
#[derive(Default)]
struct Queues {
    free_at_us: BTreeMap<RunnerId, u64>,
}

impl Queues {
    /// A prompt comes to a runner; returns its wait, and when it has been read.
    fn add(&mut self, runner: &RunnerId, now_us: u64, reading_us: u64) -> (u64, u64) {
        let free_at_us = self.free_at_us.entry(runner.clone()).or_default();
        let begins_us = now_us.max(*free_at_us);
        *free_at_us = begins_us + reading_us;
        (begins_us - now_us, *free_at_us)
    }
}

struct Play {
    placer: Placer,
    minds: Vec<Mind>,
    queues: Queues,
    read: BinaryHeap<Reverse<(u64, usize, Ticket)>>,
    waits_us: Vec<u64>,
}

impl Play {
    fn new(placer: Placer) -> Self {
        let minds = match placer {
            Placer::Schedulers { shards, .. } => shards,
            Placer::EachNode => NODES,
        };
        let mind = |_| Mind { fleet: fleet(), reservations: Reservations::default() };
        Self {
            placer,
            minds: (0..minds).map(mind).collect(),
            queues: Queues::default(),
            read: BinaryHeap::new(),
            waits_us: Vec::new(),
        }
    }

    /// Mean wait of requests, milliseconds.
    fn run(mut self) -> f64 {
        let mut numbers = Numbers(7);
        for number in 0..REQUESTS {
            let now_us = number * BETWEEN_REQUESTS_US;
            self.take_words(now_us, &mut numbers);
            self.place(number, now_us, &mut numbers);
        }
        let counted = &self.waits_us[WARM_UP as usize..];
        counted.iter().sum::<u64>() as f64 / MICROS_PER_MILLI / counted.len() as f64
    }

    fn take_words(&mut self, now_us: u64, numbers: &mut Numbers) {
        while self.read.peek().is_some_and(|Reverse((at_us, ..))| *at_us <= now_us) {
            let Reverse((_, mind, ticket)) = self.read.pop().unwrap();
            let lost = match self.placer {
                Placer::Schedulers { lost, .. } => numbers.below(100) < lost,
                Placer::EachNode => false,
            };
            let Mind { fleet, reservations } = &mut self.minds[mind];
            if !lost {
                reservations.on_read(fleet, ticket);
                reservations.end(fleet, ticket);
            }
        }
        if now_us % 100 < 10 {
            self.minds.iter_mut().for_each(|mind| {
                mind.reservations.expire(&mut mind.fleet, now_us);
            });
        }
    }

    fn place(&mut self, number: u64, now_us: u64, numbers: &mut Numbers) {
        let tokens = 500 + numbers.below(5_000);
        let shared = PromptPart { id: numbers.below(SHARED_PROMPTS), tokens: 1 };
        let own = PromptPart { id: SHARED_PROMPTS + number, tokens };
        let prompt = Prompt { parts: vec![shared, own], tokens: tokens + 1, max_output_tokens: 8 };
        let service = ServiceName::new("llm");
        let zone = ZoneId::new("north");
        let demand = Demand {
            eligible: Eligible::all_of(&service),
            prompt: &prompt,
            zone: &zone,
            cache_tokens: 400_000,
            region_move_ms: None,
            now_us,
        };
        let shards = match self.placer {
            Placer::Schedulers { shards, .. } => shards,
            Placer::EachNode => 1,
        };
        let home = reading_home(&self.minds[0].fleet, &demand).unwrap();
        let home = self.minds[0].fleet.get(home).unwrap();
        let shard = Shard::of_runner(home, shards);
        let mut question = PlacementQuestion {
            ticket: Ticket { incarnation: 1, number },
            request: String::new(),
            answer_to: SocketAddr::from(([127, 0, 0, 1], 1)),
            shard: shard.clone(),
            handed_on: false,
            service: service.clone(),
            parts: told_parts(&prompt),
            tokens: prompt.tokens,
            max_output_tokens: 8,
            target_ms: TARGET_MS,
            elapsed_ms: 0,
            left_ms: LEFT_MS,
            zone: zone.clone(),
            excluded: Vec::new(),
            zones: None,
        };
        let mut mind = match self.placer {
            Placer::Schedulers { .. } => shard.number,
            Placer::EachNode => numbers.below(NODES as u64) as usize,
        };
        let pace = ReadPace::default();
        let mut placed = self.decide(mind, &demand, &question.shard, &pace);
        let told: Vec<_> = self
            .minds
            .iter()
            .enumerate()
            .take(shards)
            .map(|(number, mind)| {
                let shard = shard_of(number, shards);
                let loads = mind.fleet.shard_loads(&shard, now_us);
                (shard, loads)
            })
            .collect();
        if matches!(self.placer, Placer::Schedulers { .. }) {
            for (other, loads) in &told {
                if other.number != mind {
                    self.minds[mind].fleet.on_shard_loads(other, loads, now_us);
                }
            }
        }
        let better = shorter_shard(&self.minds[mind].fleet, &pace, &question, &placed, now_us);
        if let Some(better) = better {
            mind = better.number;
            question.shard = better;
            question.handed_on = true;
            placed = self.decide(mind, &demand, &question.shard, &pace);
        }
        let plan = told_plan(placed).unwrap();
        let Mind { fleet, reservations } = &mut self.minds[mind];
        let reservation = reservation(fleet, &question, &prompt, &plan, now_us);
        reservations.reserve(fleet, question.ticket, reservation);
        let (ToldPlan::Split(reader, _) | ToldPlan::Direct(reader)) = &plan;
        let slower = if matches!(plan, ToldPlan::Direct(_)) { 2.0 } else { 1.0 };
        let reading_us = (pace.read_ms(tokens as f64) * MICROS_PER_MILLI * slower) as u64;
        let (wait_us, read_at_us) = self.queues.add(&reader.runner, now_us, reading_us);
        self.waits_us.push(wait_us);
        self.read.push(Reverse((read_at_us, mind, question.ticket)));
    }

    fn decide(
        &self,
        mind: usize,
        demand: &Demand<'_>,
        shard: &Shard,
        pace: &ReadPace,
    ) -> PlacedRequest {
        let due = Due { target_ms: TARGET_MS as f64, elapsed_ms: 0.0 };
        let shard = matches!(self.placer, Placer::Schedulers { .. }).then_some(shard);
        choose(&self.minds[mind].fleet, pace, demand, shard, due)
    }
}

#[test]
fn schedulers_of_shards_place_nearly_as_well_as_one_that_sees_all() {
    let mean_wait_ms = |placer| Play::new(placer).run();
    let one = mean_wait_ms(Placer::Schedulers { shards: 1, lost: 0 });
    let shards = Shard::count(NODES);
    let eight = mean_wait_ms(Placer::Schedulers { shards, lost: 0 });
    let lossy = mean_wait_ms(Placer::Schedulers { shards, lost: 5 });
    let alone = mean_wait_ms(Placer::EachNode);
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
fn all_nodes_find_the_same_strong_scheduler_and_the_next_one_when_it_is_gone() {
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
fn a_node_that_knows_nobody_schedules_all_shards_itself() {
    let alone = membership(0, 1);
    assert_eq!(Shard::count(alone.len()), 1);
    assert!(alone.scheduler(&shard_of(0, 1), |_| true).is_none());
}

#[test]
fn a_request_without_a_long_wait_stays_in_its_shard() {
    let fleet = fleet();
    let question = PlacementQuestion {
        ticket: Ticket { incarnation: 1, number: 1 },
        request: String::new(),
        answer_to: SocketAddr::from(([127, 0, 0, 1], 1)),
        shard: shard_of(0, 8),
        handed_on: false,
        service: ServiceName::new("llm"),
        parts: Vec::new(),
        tokens: 1_000,
        max_output_tokens: 8,
        target_ms: TARGET_MS,
        elapsed_ms: 0,
        left_ms: LEFT_MS,
        zone: ZoneId::new("north"),
        excluded: Vec::new(),
        zones: None,
    };
    let prompt = question.prompt();
    let demand = Demand {
        eligible: Eligible::all_of(&question.service),
        prompt: &prompt,
        zone: &question.zone,
        cache_tokens: 400_000,
        region_move_ms: None,
        now_us: 0,
    };
    let due = Due { target_ms: TARGET_MS as f64, elapsed_ms: 0.0 };
    let placed = choose(&fleet, &ReadPace::default(), &demand, Some(&question.shard), due);
    let reading = placed.reading.as_ref().unwrap();
    let (ReadingPlan::Split(choice) | ReadingPlan::Direct(choice)) = reading;
    assert!(question.shard.has(fleet.get(&choice.runner).unwrap()));
    assert_eq!(shorter_shard(&fleet, &ReadPace::default(), &question, &placed, 0), None);
}
