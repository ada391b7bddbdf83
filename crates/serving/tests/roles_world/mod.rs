//! Simulation of a region in virtual time: its runners, its schedulers and the holder of its
//! authority.

use crate::support::{at, runner_record};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::Demand;
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::reservations::Reservations;
use pitchstall_serving::role_planner::{OrderResult, RoleDemand, RolePlanner, RolePolicy};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::scheduler::{
    choose_placement, less_loaded_shard, reservation, wire_plan, PlacementDecision, ResponseTarget,
};
use pitchstall_serving::scheduling::{wire_parts, PlacementQuery, Shard, Ticket, WirePlan};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

pub const SECOND_US: u64 = 1_000_000;
const STEP_US: u64 = 5_000;
const REPORT_INTERVAL_US: u64 = SECOND_US / 4;
const ROLE_CHANGE_US: u64 = 3 * SECOND_US;
const DECODE_US: u64 = 300_000;
const TOKENS: u64 = 3_000;
/// Equals the prior of the planner's prefill speed.
const TOKENS_PER_MS: f64 = 30.0;
const DECODE_RUNNER_SPEED: f64 = 0.5;
const SLOTS: u32 = 24;
const TARGET_MS: u64 = 500;
const DEADLINE_MS: u64 = 3_000;

struct Scheduler {
    shard: Shard,
    fleet: Fleet,
    reservations: Reservations,
    disconnected_us: Range<u64>,
}

#[derive(Clone)]
struct Request {
    ticket: Ticket,
    scheduler: usize,
    arrived_us: u64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Request>,
    overdue_queue: VecDeque<Request>,
    prefilling: Option<(Request, u64)>,
}

pub struct World {
    now_us: u64,
    records: BTreeMap<RunnerId, RunnerRecord>,
    engines: BTreeMap<RunnerId, Engine>,
    joining: Vec<(u64, RunnerRecord)>,
    changing: Vec<(u64, RunnerId, Stage)>,
    decoding: VecDeque<(u64, Request)>,
    schedulers: Vec<Scheduler>,
    planner_fleet: Fleet,
    planner: RolePlanner,
    requested: f64,
    requests: u64,
    orders: usize,
    revision: u64,
    /// For each request, its arrival time, and whether it was prefilled within its target.
    outcomes: Vec<(u64, bool)>,
}

fn service() -> ServiceName {
    ServiceName::new("llm")
}

fn record(id: String, stage: Stage, revision: u64) -> RunnerRecord {
    RunnerRecord {
        service: service(),
        slots: SLOTS,
        stage: Some(stage),
        revision: at(revision),
        ..runner_record(RunnerId::new(id))
    }
}

fn prompt(number: u64) -> Prompt {
    let parts = vec![PromptPart { id: number, tokens: TOKENS }];
    Prompt { parts, tokens: TOKENS, max_output_tokens: 100 }
}

impl World {
    pub fn new(prefill: usize, decode: usize, schedulers: usize) -> Self {
        let scheduler = |shard| Scheduler {
            shard,
            fleet: Fleet::default(),
            reservations: Reservations::default(),
            disconnected_us: 0..0,
        };
        let mut world = Self {
            now_us: 0,
            records: BTreeMap::new(),
            engines: BTreeMap::new(),
            joining: Vec::new(),
            changing: Vec::new(),
            decoding: VecDeque::new(),
            schedulers: Shard::all(RegionId::new("north"), schedulers).map(scheduler).collect(),
            planner_fleet: Fleet::default(),
            planner: RolePlanner::new(RolePolicy::default()),
            requested: 0.0,
            requests: 0,
            orders: 0,
            revision: 1,
            outcomes: Vec::new(),
        };
        for number in 0..prefill + decode {
            // Every third runner is a prefill runner until their number is reached.
            let is_prefill = number % 3 == 0 && number / 3 < prefill;
            let stage = if is_prefill { Stage::Prefill } else { Stage::Decode };
            world.register(record(format!("i-{number}"), stage, 1));
        }
        world
    }

    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    pub fn orders(&self) -> usize {
        self.orders
    }

    /// Keeps registry changes from a scheduler for some time.
    pub fn disconnect_from_registry(&mut self, scheduler: usize, from_us: u64, until_us: u64) {
        self.schedulers[scheduler].disconnected_us = from_us..until_us;
    }

    pub fn count(&self, stage: Stage) -> usize {
        self.records.values().filter(|record| record.stage == Some(stage)).count()
    }

    /// Share of the requests that arrived in a period and were prefilled within their target.
    pub fn in_time_share(&self, arrived: Range<u64>) -> f64 {
        let all: Vec<bool> = self
            .outcomes
            .iter()
            .filter(|(at, _)| arrived.contains(at))
            .map(|(_, ok)| *ok)
            .collect();
        all.iter().filter(|ok| **ok).count() as f64 / all.len().max(1) as f64
    }

    fn register(&mut self, record: RunnerRecord) {
        self.engines.entry(record.id.clone()).or_default();
        self.planner_fleet.put(record.clone());
        for scheduler in &mut self.schedulers {
            if !scheduler.disconnected_us.contains(&self.now_us) {
                scheduler.fleet.put(record.clone());
            }
        }
        self.records.insert(record.id.clone(), record);
    }

    /// Removes one of the initial runners; another joins in the given role a second later.
    pub fn replace(&mut self, number: usize, stage: Stage) {
        let id = RunnerId::new(format!("i-{number}"));
        self.revision += 1;
        self.records.remove(&id);
        let engine = self.engines.remove(&id).unwrap();
        let prefilling = engine.prefilling.into_iter().map(|(request, _)| request);
        for lost in prefilling.chain(engine.queue).chain(engine.overdue_queue) {
            self.end(&lost, false);
        }
        self.planner_fleet.remove(&id, at(self.revision), None);
        for scheduler in &mut self.schedulers {
            if !scheduler.disconnected_us.contains(&self.now_us) {
                scheduler.fleet.remove(&id, at(self.revision), None);
            }
        }
        let joins = record(format!("j-{number}"), stage, self.revision);
        self.joining.push((self.now_us + SECOND_US, joins));
    }

    pub fn step(&mut self, requests_per_s: f64) {
        self.now_us += STEP_US;
        self.update_registry();
        self.requested += requests_per_s * STEP_US as f64 / SECOND_US as f64;
        while self.requested >= 1.0 {
            self.requested -= 1.0;
            self.place();
        }
        self.prefill();
        self.decode();
        if self.now_us.is_multiple_of(REPORT_INTERVAL_US) {
            self.report_and_plan();
        }
    }

    fn update_registry(&mut self) {
        let now_us = self.now_us;
        let joined: Vec<RunnerRecord> =
            self.joining.extract_if(.., |(at, _)| *at <= now_us).map(|(_, it)| it).collect();
        let changed: Vec<_> = self.changing.extract_if(.., |(at, ..)| *at <= now_us).collect();
        for (_, id, stage) in changed {
            if let Some(record) = self.records.get(&id).cloned() {
                self.revision += 1;
                self.register(RunnerRecord {
                    stage: Some(stage),
                    revision: at(self.revision),
                    ..record
                });
            }
        }
        joined.into_iter().for_each(|record| self.register(record));
        let all: Vec<RunnerRecord> = self.records.values().cloned().collect();
        for scheduler in self.schedulers.iter_mut().filter(|it| it.disconnected_us.end == now_us) {
            scheduler.fleet.replace_all(all.clone(), at(self.revision), None);
        }
    }

    /// Home runners of prompts, and with them their shards, are spread evenly over the prefill
    /// runners.
    fn scheduler_of_home(&self) -> usize {
        let reads = |it: &&RunnerRecord| it.stage == Some(Stage::Prefill);
        let prefill_runners: Vec<&RunnerRecord> = self.records.values().filter(reads).collect();
        let home = prefill_runners[self.requests as usize % prefill_runners.len()];
        let home = self.planner_fleet.get(&home.id).unwrap();
        Shard::of_runner(home, self.schedulers.len()).number
    }

    /// Where a scheduler places a request, and the scheduler to hand it on to if the wait is
    /// shorter there.
    fn choose(
        &self,
        index: usize,
        ticket: Ticket,
        is_forwarded: bool,
    ) -> (PlacementDecision, Option<usize>) {
        let (prompt, service, zone) = (prompt(ticket.number), service(), ZoneId::new("north"));
        let scheduler = &self.schedulers[index];
        let demand = Demand {
            eligible: Eligible::all_of(&service),
            prompt: &prompt,
            zone: &zone,
            cache_tokens: 900_000,
            cross_region_ms_per_token: None,
            now_us: self.now_us,
        };
        let due = ResponseTarget { target_ms: TARGET_MS as f64, elapsed_ms: 0.0 };
        let speed = PrefillSpeed::default();
        let placed =
            choose_placement(&scheduler.fleet, &speed, &demand, Some(&scheduler.shard), due);
        let question =
            PlacementQuery { is_forwarded, ..question(ticket, &prompt, scheduler.shard.clone()) };
        let shorter = less_loaded_shard(&scheduler.fleet, &speed, &question, &placed, self.now_us);
        (placed, shorter.map(|shard| shard.number))
    }

    fn place(&mut self) {
        self.requests += 1;
        let home = self.scheduler_of_home();
        let ticket = Ticket { incarnation: 1, number: self.requests };
        let (index, placed) = match self.choose(home, ticket, false) {
            (placed, None) => (home, placed),
            (_, Some(shorter)) => (shorter, self.choose(shorter, ticket, true).0),
        };
        let request = Request { ticket, scheduler: index, arrived_us: self.now_us };
        let prompt = prompt(self.requests);
        let scheduler = &mut self.schedulers[index];
        let Some(plan) = wire_plan(placed) else { return self.outcomes.push((self.now_us, false)) };
        let question = question(ticket, &prompt, scheduler.shard.clone());
        let reserved = reservation(&scheduler.fleet, &question, &prompt, &plan, self.now_us);
        scheduler.reservations.reserve(&mut scheduler.fleet, ticket, reserved);
        let (WirePlan::Split(prefill, _) | WirePlan::Direct(prefill)) = plan;
        scheduler.fleet.on_placed(&prefill.runner, TOKENS, self.now_us);
        // A runner that has left is unreachable, so the request fails.
        let Some(engine) = self.engines.get_mut(&prefill.runner) else {
            self.schedulers[index].fleet.on_unreachable(&prefill.runner, self.now_us);
            return self.end(&request, false);
        };
        let queue =
            if prefill.overdue_tokens > 0 { &mut engine.overdue_queue } else { &mut engine.queue };
        queue.push_back(request);
    }

    fn end(&mut self, request: &Request, in_time: bool) {
        let scheduler = &mut self.schedulers[request.scheduler];
        scheduler.reservations.end(&mut scheduler.fleet, request.ticket);
        self.outcomes.push((request.arrived_us, in_time));
    }

    fn prefill(&mut self) {
        let now_us = self.now_us;
        let (mut prefilled, mut expired) = (Vec::new(), Vec::new());
        for (id, engine) in &mut self.engines {
            if engine.prefilling.as_ref().is_some_and(|(_, until_us)| *until_us <= now_us) {
                prefilled.extend(engine.prefilling.take().map(|(request, _)| request));
            }
            let is_expired = |it: &Request| now_us > it.arrived_us + DEADLINE_MS * 1_000;
            while engine.prefilling.is_none() {
                let next = engine.queue.pop_front().or_else(|| engine.overdue_queue.pop_front());
                let Some(next) = next else { break };
                if is_expired(&next) {
                    expired.push(next);
                    continue;
                }
                let is_prefill = self.records[id].stage == Some(Stage::Prefill);
                let tokens_per_ms =
                    if is_prefill { TOKENS_PER_MS } else { TOKENS_PER_MS * DECODE_RUNNER_SPEED };
                let prefill_us = (TOKENS as f64 / tokens_per_ms * 1_000.0) as u64;
                engine.prefilling = Some((next, now_us + prefill_us));
            }
        }
        expired.iter().for_each(|request| self.end(request, false));
        for request in prefilled {
            let scheduler = &mut self.schedulers[request.scheduler];
            scheduler.reservations.on_prefilled(&mut scheduler.fleet, request.ticket);
            self.decoding.push_back((now_us + DECODE_US, request));
        }
    }

    fn decode(&mut self) {
        while self.decoding.front().is_some_and(|(until_us, _)| *until_us <= self.now_us) {
            let (until_us, request) = self.decoding.pop_front().unwrap();
            let wait_us = until_us - DECODE_US - request.arrived_us;
            self.end(&request, wait_us <= TARGET_MS * 1_000);
        }
    }

    fn report_and_plan(&mut self) {
        let now_us = self.now_us;
        let reported = |it: &Scheduler| (it.shard.clone(), it.fleet.shard_loads(&it.shard, now_us));
        let reported: Vec<_> = self.schedulers.iter().map(reported).collect();
        for (shard, loads) in reported.iter().filter(|(_, loads)| !loads.is_empty()) {
            self.planner_fleet.on_shard_loads(shard, loads, now_us);
            for scheduler in self.schedulers.iter_mut().filter(|it| it.shard != *shard) {
                scheduler.fleet.on_shard_loads(shard, loads, now_us);
            }
        }
        let engine = EngineSpec {
            slots: SLOTS,
            kv_tokens: 900_000,
            handle_ttl_s: 5.0,
            ..EngineSpec::default()
        };
        let service = service();
        let demand = RoleDemand {
            service: &service,
            engine: &engine,
            target_ms: TARGET_MS as f64,
            region: None,
        };
        let plan =
            self.planner.plan(&self.planner_fleet, &PrefillSpeed::default(), &demand, now_us);
        let changes = plan.changes();
        if !changes.is_empty() {
            self.planner.on_ordered(now_us, OrderResult::Accepted);
        }
        for change in changes {
            self.orders += 1;
            self.planner_fleet.on_role_change_ordered(
                &change.runner,
                change.stage,
                now_us + 6 * SECOND_US,
            );
            for scheduler in &mut self.schedulers {
                scheduler.fleet.on_role_change_ordered(
                    &change.runner,
                    change.stage,
                    now_us + 6 * SECOND_US,
                );
            }
            self.changing.push((now_us + ROLE_CHANGE_US, change.runner, change.stage));
        }
    }
}

fn question(ticket: Ticket, prompt: &Prompt, shard: Shard) -> PlacementQuery {
    PlacementQuery {
        ticket,
        request: "request".to_owned(),
        reply_to: SocketAddr::from(([127, 0, 0, 1], 1)),
        shard,
        is_forwarded: false,
        service: service(),
        parts: wire_parts(prompt),
        tokens: prompt.tokens,
        max_output_tokens: prompt.max_output_tokens,
        target_ms: TARGET_MS,
        elapsed_ms: 0,
        remaining_ms: DEADLINE_MS,
        zone: ZoneId::new("north"),
        excluded: Vec::new(),
        zones: None,
        version: None,
        excluded_versions: Vec::new(),
    }
}
