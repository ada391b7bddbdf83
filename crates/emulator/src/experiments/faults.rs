//! Runs under faults, each from a seed, with every promise checked over the history.

use crate::load::prompt_of;
use crate::simulation::callers::{Wish, WishOutcome};
use crate::simulation::checks::{check_all, Bounds, Circumstances, Promise, Verdict};
use crate::simulation::faults::{make_plan, Action, FaultMix, PlanBounds, Planned};
use crate::simulation::history::Event;
use crate::simulation::network::{Cut, Endpoint, Group};
use crate::simulation::topology::Topology;
use crate::simulation::world::World;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::configuration::{Configuration, ServiceSpec};
use pitchstall_protocol::error::ErrorCode;
use pitchstall_protocol::ids::{ChangeId, NodeId, ServiceName, TenantId, ZoneId};
use pitchstall_protocol::operator::ApplyRequest;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRunSpec {
    /// Zones.
    pub zones: usize,
    /// Nodes in each.
    pub nodes: usize,
    /// Engines in each.
    pub engines: usize,
    /// Requests of callers.
    pub wishes: usize,
    /// Changes of the configuration.
    pub changes: usize,
    /// Faults.
    pub faults: usize,
}

impl Default for FaultRunSpec {
    fn default() -> Self {
        Self { zones: 2, nodes: 3, engines: 3, wishes: 120, changes: 8, faults: 10 }
    }
}

/// What came of one run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultRun {
    /// Its seed.
    pub seed: u64,
    /// Each promise.
    pub promises: BTreeMap<Promise, Verdict>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Requests by outcome.
    pub requests: BTreeMap<String, u64>,
    /// Digest of the history: the same for the same seed.
    pub digest: u64,
}

impl FaultRun {
    /// Whether any promise was broken.
    pub fn is_violated(&self) -> bool {
        self.promises.values().any(|verdict| !verdict.violations.is_empty())
    }
}

const WARM_UP: Duration = Duration::from_secs(6);
const LOAD_UNTIL: Duration = Duration::from_secs(36);
const FAULTS_UNTIL: Duration = Duration::from_secs(34);
/// By then every fault is mended and every deadline is over.
const END: Timestamp = Timestamp::from_millis(100_000);
const DEADLINE: Duration = Duration::from_secs(20);

/// Seeds that leave this remainder run with planned changes only.
const PLANNED_ONLY_EVERY: u64 = 4;

/// Which faults a seed stands for.
pub fn mix_of(seed: u64) -> FaultMix {
    if seed.is_multiple_of(PLANNED_ONLY_EVERY) {
        FaultMix::PlannedOnly
    } else {
        FaultMix::All
    }
}

/// Runs one seed.
pub fn run_one(seed: u64, spec: FaultRunSpec) -> FaultRun {
    run_world(seed, spec).0
}

/// Runs one seed and hands out the world as it was at the end, to look into a violation.
pub fn run_world(seed: u64, spec: FaultRunSpec) -> (FaultRun, World) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut topology = Topology::uniform(spec.zones, spec.nodes, spec.engines);
    topology.profile.role_change_ms = 1_500;
    topology.profile.prompt_tokens_per_second = 40_000;
    let configuration = configuration_of(&topology);
    topology.configuration = Some(configuration.clone());
    let zones = topology.zone_names();
    let mut world = World::new(topology, seed);
    add_wishes(&mut world, &mut rng, spec, &zones);
    add_changes(&mut world, &mut rng, spec, &zones, &configuration);
    let zone_of_engine: Vec<ZoneId> = world.engines.iter().map(|it| it.zone.clone()).collect();
    let bounds = PlanBounds {
        nodes: spec.zones * spec.nodes,
        engines: spec.zones * spec.engines,
        from: WARM_UP,
        until: FAULTS_UNTIL,
        faults: spec.faults,
    };
    let mix = mix_of(seed);
    let plan = make_plan(&mut rng, bounds, mix, &zones, &zone_of_engine);
    for planned in &plan {
        world.add_fault(planned.at, planned.action.clone());
    }
    world.run_until(END);
    let circumstances = circumstances_of(&world, &plan, mix);
    let promises = check_all(&world.history, Bounds::default(), &circumstances);
    let run = FaultRun {
        seed,
        promises,
        faults: count_faults(&world),
        requests: count_requests(&world),
        digest: world.digest(),
    };
    (run, world)
}

/// A repeatable service, one that may not be repeated, and one whose program always sends
/// requests to another zone.
fn configuration_of(topology: &Topology) -> Configuration {
    let mut configuration = topology.default_configuration();
    let template = configuration.services.get(&ServiceName::new("status")).cloned();
    if let Some(template) = template {
        let policy = "#{ zones: zones.filter(|other| other != zone) }";
        let relay = ServiceSpec { policy: Some(policy.to_owned()), ..template };
        configuration.services.insert(ServiceName::new("relay"), relay);
    }
    configuration
}

fn add_wishes(world: &mut World, rng: &mut ChaCha8Rng, spec: FaultRunSpec, zones: &[ZoneId]) {
    let from = WARM_UP.as_millis() as u64;
    let until = LOAD_UNTIL.as_millis() as u64;
    for number in 0..spec.wishes {
        let at = Timestamp::from_millis(rng.random_range(from..until));
        let service = match rng.random_range(0..10) {
            0..4 => "status",
            4..8 => "booking",
            _ => "relay",
        };
        let is_booking = service == "booking";
        let wish = Wish {
            at,
            zone: zones[rng.random_range(0..zones.len())].clone(),
            tenant: TenantId::new("tenant"),
            service: ServiceName::new(service),
            prompt: prompt_of(rng.random(), rng.random_range(40..6_000)),
            max_tokens: rng.random_range(2..120),
            deadline: DEADLINE,
            key: is_booking.then(|| format!("key-{number}")),
            submissions: 5,
        };
        // Some bookings are submitted twice, at two nodes and nearly the same moment.
        if is_booking && rng.random_bool(0.4) {
            let later = Duration::from_millis(rng.random_range(0..1_500));
            world.add_wish(Wish { at: at + later, ..wish.clone() });
        }
        world.add_wish(wish);
    }
}

fn add_changes(
    world: &mut World,
    rng: &mut ChaCha8Rng,
    spec: FaultRunSpec,
    zones: &[ZoneId],
    configuration: &Configuration,
) {
    let nodes = spec.zones * spec.nodes;
    for number in 0..spec.changes {
        let span = LOAD_UNTIL.as_millis() as u64 - WARM_UP.as_millis() as u64;
        let each = span / spec.changes as u64;
        let wait =
            WARM_UP + Duration::from_millis(each * number as u64 + rng.random_range(0..each));
        let mut changed = configuration.clone();
        let relay = ServiceName::new("relay");
        // Every other revision takes a zone off the service whose requests change zones.
        if let Some(service) = changed.services.get_mut(&relay) {
            if rng.random_bool(0.5) {
                service.zones.remove(&zones[rng.random_range(0..zones.len())]);
            }
        }
        let expected_revision = pitchstall_protocol::Revision(number as u64 + 1);
        let racers = if rng.random_bool(0.3) { 2 } else { 1 };
        for racer in 0..racers {
            let request = ApplyRequest {
                expected_revision,
                change: ChangeId::new(format!("change-{number}-{racer}")),
                configuration: changed.clone(),
            };
            let later = Duration::from_millis(rng.random_range(0..30));
            world.add_apply(wait + later, rng.random_range(0..nodes), request);
        }
    }
}

/// Spans in which nodes cannot be expected to hear of a change.
fn circumstances_of(world: &World, plan: &[Planned], mix: FaultMix) -> Circumstances {
    let mut unreachable = Vec::new();
    let end_of = |from: usize, ends: &dyn Fn(&Action) -> bool| {
        let later = plan[from..].iter().find(|planned| ends(&planned.action));
        later.map_or(END, |planned| Timestamp(planned.at.as_micros() as u64))
    };
    let name_of = |place: usize| world.nodes[place].name.clone();
    for (place, planned) in plan.iter().enumerate() {
        let from = Timestamp(planned.at.as_micros() as u64);
        match &planned.action {
            Action::PauseNode(node) => {
                let until = end_of(place, &|it| *it == Action::WakeNode(*node));
                unreachable.push((Some(name_of(*node)), from, until));
                // What was committed through a node that stops then is known only to the
                // store, and the store may be down.
                unreachable.push((None, from, until));
            }
            Action::KillNode(node) => {
                unreachable.push((Some(name_of(*node)), from, from + Duration::from_secs(10)));
                unreachable.push((None, from, from + Duration::from_secs(1)));
            }
            Action::ReplaceNode(node) => {
                unreachable.push((Some(name_of(*node)), from, from + Duration::from_secs(14)));
            }
            // What it sends is on its way for up to this much longer.
            Action::Slow(slow) => {
                let until = end_of(place, &|it| *it == Action::Heal(slow.id));
                unreachable.push((None, from, until + slow.added));
            }
            Action::Cut(cut) => {
                let until = end_of(place, &|it| *it == Action::Heal(cut.id));
                unreachable.extend(cut_nodes(cut).map(|node| (node, from, until)));
            }
            _ => {}
        }
    }
    let alive_since = last_starts(world);
    Circumstances { planned_only: mix == FaultMix::PlannedOnly, unreachable, alive_since }
}

/// Nodes that a cut may keep from hearing of a change; `None`: any of them.
fn cut_nodes(cut: &Cut) -> impl Iterator<Item = Option<NodeId>> {
    let only_engines =
        [&cut.from, &cut.to].iter().any(|group| matches!(group, Group::One(Endpoint::Engine(_))));
    let affected: Vec<Option<NodeId>> = if only_engines {
        Vec::new()
    } else if [&cut.from, &cut.to].contains(&&Group::One(Endpoint::Store)) {
        // The others still tell it; and it tells them of what was committed through it.
        Vec::new()
    } else {
        vec![None]
    };
    affected.into_iter()
}

fn last_starts(world: &World) -> Vec<(NodeId, Timestamp)> {
    let live = world.nodes.iter().filter(|slot| slot.node.is_some());
    live.map(|slot| (slot.name.clone(), slot.started())).collect()
}

fn count_faults(world: &World) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for (_, event) in &world.history.events {
        if let Event::Fault { kind } = event {
            *counts.entry(*kind).or_default() += 1;
        }
    }
    counts
}

fn count_requests(world: &World) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for caller in &world.callers {
        let name = match &caller.outcome {
            WishOutcome::Whole => "whole".to_owned(),
            WishOutcome::Open => "open".to_owned(),
            WishOutcome::Failed(error) => {
                format!("{}_{}", snake_case(&error.execution), snake_case::<ErrorCode>(&error.code))
            }
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn snake_case<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_string(value).unwrap_or_default();
    json.trim_matches('"').to_owned()
}

/// What came of many runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultSummary {
    /// Runs.
    pub runs: u64,
    /// The first seed; the others follow it.
    pub first_seed: u64,
    /// Each promise.
    pub promises: BTreeMap<Promise, PromiseSummary>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Requests by outcome.
    pub requests: BTreeMap<String, u64>,
}

/// A promise over many runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PromiseSummary {
    /// How often it was put to the test.
    pub checked: u64,
    /// Violations.
    pub violations: u64,
    /// Seeds with violations; each replays them.
    pub seeds: Vec<u64>,
    /// The first violation, for a person.
    pub first: Option<String>,
}

impl FaultSummary {
    /// Takes in a run.
    pub fn add(&mut self, run: &FaultRun) {
        self.runs += 1;
        for (promise, verdict) in &run.promises {
            let summary = self.promises.entry(*promise).or_default();
            summary.checked += verdict.checked;
            summary.violations += verdict.violations.len() as u64;
            if let Some(first) = verdict.violations.first() {
                summary.seeds.push(run.seed);
                summary.first.get_or_insert_with(|| first.clone());
            }
        }
        for (kind, count) in &run.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        for (outcome, count) in &run.requests {
            *self.requests.entry(outcome.clone()).or_default() += count;
        }
    }

    /// Whether any promise was broken.
    pub fn is_violated(&self) -> bool {
        self.promises.values().any(|promise| promise.violations > 0)
    }
}

/// Runs many seeds on several threads. The summary does not depend on their number.
pub fn run_many(first_seed: u64, runs: u64, spec: FaultRunSpec, threads: usize) -> FaultSummary {
    let threads = threads.max(1) as u64;
    let results = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                scope.spawn(move || {
                    let mine = (0..runs).filter(move |run| run % threads == worker);
                    mine.map(|run| run_one(first_seed + run, spec)).collect::<Vec<_>>()
                })
            })
            .collect();
        let mut results: Vec<FaultRun> = Vec::new();
        for worker in workers {
            match worker.join() {
                Ok(done) => results.extend(done),
                // A run that could not be checked must not count as one without violations.
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
        results
    });
    let mut results = results;
    results.sort_by_key(|run| run.seed);
    let mut summary = FaultSummary { first_seed, ..FaultSummary::default() };
    results.iter().for_each(|run| summary.add(run));
    summary
}
