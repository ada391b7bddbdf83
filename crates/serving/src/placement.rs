//! Which runner reads a prompt and which one writes the answer.
//!
//! Requests with the same shared parts have the same home at every node (rendezvous
//! hashing), so the KV cache of the parts is read once and used by all. A home that is busy
//! for longer than reading the parts again takes gives way to another runner.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RunnerId, ZoneId};
use crate::prefix::{rendezvous_weight, Prompt};
use crate::read_pace::ReadPace;
use crate::runner::{AttemptDemand, Runner, Stage};

/// What a choice depends on besides the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Runners that it may go to.
    pub eligible: Eligible<'a>,
    /// The prompt, if the service runs a language model.
    pub prompt: &'a Prompt,
    /// The node's zone.
    pub zone: &'a ZoneId,
    /// Tokens of KV cache that a runner has.
    pub cache_tokens: u64,
    /// Time that a move of KV cache between regions takes, milliseconds a token; `None`: nothing
    /// is taken over from another region.
    pub region_move_ms: Option<f64>,
    /// Now, microseconds of a steady clock.
    pub now_us: u64,
}

/// The runner at which requests with a prompt's shared parts gather to be read; without shared
/// parts, or without prefill runners, `None`.
pub fn prefill_home<'a>(fleet: &'a Fleet, demand: &Demand<'_>) -> Option<&'a RunnerId> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (prefill_runners, _) = partition_by_stage(&candidates);
    rendezvous_home(&prefill_runners, demand.prompt)
}

/// A runner for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerChoice {
    /// The runner.
    pub runner: RunnerId,
    /// What the attempt asks of it.
    pub demand: AttemptDemand,
    /// The runner from which it takes over shared parts that it does not hold.
    pub fetch_from: Option<RunnerId>,
    /// Time until the prompt should have been read, microseconds.
    pub expected_prefill_us: u64,
    /// Time that reading takes without any wait, milliseconds.
    pub prefill_ms: f64,
}

impl RunnerChoice {
    /// The same, but its prompt is read after all that can still be in time.
    pub fn defer(mut self) -> Self {
        self.demand.late_tokens += std::mem::take(&mut self.demand.unread_tokens);
        self
    }

    /// Prompt tokens that the runner does not hold.
    pub fn prefill_tokens(&self) -> u64 {
        self.demand.unread_tokens + self.demand.late_tokens
    }
}

/// How a prompt is read.
#[derive(Clone, Debug, PartialEq)]
pub enum PrefillPlan {
    /// A prefill runner reads it; a decode runner then takes over its KV cache.
    Split(RunnerChoice),
    /// The decode runner reads it itself.
    Direct(RunnerChoice),
}

/// Occupancy, as a share of the slots, that has to be saved for each millisecond that the distance
/// counts as: another zone, 8 ms, has to save 0.3.
const OCCUPANCY_PER_MS: f64 = 0.0375;
/// Occupancy that a failure rate above the best runner's counts as.
const FAILURE_COST_OCCUPANCY: f64 = 4.0;
/// Milliseconds that a runner that answers with nothing but failures counts as.
const FAILURE_COST_MS: f64 = 400.0;
/// Milliseconds of waiting that the dearer bytes of a request count as, beside the way itself, to
/// another zone of the region and to another region.
const CROSS_ZONE_TRAFFIC_COST_MS: f64 = 6.5;
const CROSS_REGION_TRAFFIC_COST_MS: f64 = 40.0;
/// Milliseconds that leaving the home of a prompt's shared parts counts as: a second runner
/// that holds them leaves less room for others.
const OFF_HOME_COST_MS: f64 = 40.0;
/// Milliseconds that handing a prompt over from prefill to decode takes.
const HANDOVER_MS: f64 = 15.0;
/// What work that waits for all other counts as, against work that goes ahead: it keeps such
/// work from gathering at one runner.
const DEFERRED_WORK_WEIGHT: f64 = 0.2;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// A decode runner reads at this share of a prefill runner's pace.
const DECODE_PREFILL_SPEED: f64 = 0.5;
/// Share by which each of its streams slows a decode runner's reading.
const SLOWDOWN_PER_STREAM: f64 = 0.03;
/// Fewest tokens that are worth taking over from another runner.
const MIN_FETCH_TOKENS: u64 = 512;
/// Milliseconds that taking over counts as, and each token of it: the move itself takes less,
/// but it is paid for.
const FETCH_COST_MS: f64 = 10.0;
const FETCH_COST_MS_PER_TOKEN: f64 = 0.004;
/// A move between zones counts as so many moves inside one.
const CROSS_ZONE_FETCH_FACTOR: f64 = 3.0;
/// Shared parts are taken over from another region if that takes no longer than so many times what
/// reading them again does: a reading keeps the runner from others and is paid for by the token, a
/// move takes its link alone.
const PREFILL_COST_FACTOR: f64 = 1.5;
/// Milliseconds that each running request counts as when a decode runner is chosen.
const DECODE_COST_MS_PER_REQUEST: f64 = 4.0;
/// Share of a decode runner's memory above which it counts as short of it.
const MEMORY_PRESSURE_SHARE: f64 = 0.75;
/// Milliseconds that a whole memory too much counts as.
const MEMORY_PRESSURE_COST_MS: f64 = 4_000.0;
/// Occupancy of a decode runner's slots above which it counts as full.
const DECODE_FULL_SHARE: f64 = 0.8;
/// Milliseconds that a full decode runner counts as.
const DECODE_FULL_COST_MS: f64 = 2_000.0;

/// Chooses a runner of a service without language models: the least occupied.
pub fn choose_least_occupied(fleet: &Fleet, demand: &Demand<'_>) -> Option<RunnerChoice> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let rates = candidates.iter().map(|runner| runner.failure_rate(demand.now_us));
    let best_rate = rates.fold(f64::INFINITY, f64::min);
    let cost = |runner: &Runner| {
        let slots = f64::from(runner.record.slots.max(1));
        let occupancy = (runner.occupancy(demand.now_us) + 1.0) / slots;
        let distance =
            distance_cost_ms(fleet, runner, demand.zone, demand.now_us) * OCCUPANCY_PER_MS;
        let failures = (runner.failure_rate(demand.now_us) - best_rate) * FAILURE_COST_OCCUPANCY;
        occupancy + distance + failures
    };
    let best = min_by_cost(&candidates, cost)?;
    Some(RunnerChoice {
        runner: best.record.id.clone(),
        demand: AttemptDemand::default(),
        fetch_from: None,
        expected_prefill_us: 0,
        prefill_ms: 0.0,
    })
}

/// Chooses how the prompt is read. `None` if no runner takes work.
pub fn plan_prefill(fleet: &Fleet, pace: &ReadPace, demand: &Demand<'_>) -> Option<PrefillPlan> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (prefill_runners, decode_runners) = partition_by_stage(&candidates);
    let view = PromptView::new(fleet, &candidates, pace, demand);
    let split =
        cheapest(&prefill_runners, &view, |runner| view.prefill_cost_ms(runner) + HANDOVER_MS);
    let direct = cheapest(&decode_runners, &view, |runner| view.direct_cost_ms(runner));
    match (split, direct) {
        (Some((split, split_ms)), Some((_, direct_ms))) if split_ms <= direct_ms => {
            Some(PrefillPlan::Split(split))
        }
        // Without a decode runner nobody can take the prompt over.
        (_, None) => None,
        (_, Some((direct, _))) => Some(PrefillPlan::Direct(direct)),
    }
}

/// Chooses the decode runner that takes over a prompt that was read in the given zone.
pub fn choose_decode_runner(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<RunnerChoice> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (_, decode_runners) = partition_by_stage(&candidates);
    let pace = ReadPace::default();
    let view = PromptView::new(fleet, &candidates, &pace, demand);
    let near = source.unwrap_or(demand.zone);
    cheapest(&decode_runners, &view, |runner| view.decode_cost_ms(runner, near))
        .map(|(choice, _)| RunnerChoice { fetch_from: None, ..choice })
}

fn partition_by_stage<'a>(candidates: &[&'a Runner]) -> (Vec<&'a Runner>, Vec<&'a Runner>) {
    candidates.iter().partition(|runner| runner.record.stage == Some(Stage::Prefill))
}

fn cheapest(
    runners: &[&Runner],
    view: &PromptView<'_>,
    cost_ms: impl Fn(&Runner) -> f64,
) -> Option<(RunnerChoice, f64)> {
    let best = min_by_cost(runners, &cost_ms)?;
    let source = view.source_for(best);
    let choice = RunnerChoice {
        runner: best.record.id.clone(),
        demand: AttemptDemand {
            unread_tokens: view.unread_tokens(best),
            late_tokens: 0,
            held_tokens: view.held_tokens(),
        },
        fetch_from: source.map(|source| source.record.id.clone()),
        expected_prefill_us: (view.expected_prefill_ms(best) * MICROS_PER_MILLI) as u64,
        prefill_ms: view.prefill_duration_ms(best, view.unread_tokens(best)),
    };
    Some((choice, cost_ms(best)))
}

/// A prompt as the runners of its service see it.
struct PromptView<'a> {
    fleet: &'a Fleet,
    pace: &'a ReadPace,
    demand: &'a Demand<'a>,
    /// Where the shared parts gather, by stage.
    prefill_home: Option<&'a RunnerId>,
    decode_home: Option<&'a RunnerId>,
    /// The runner that holds most of the shared parts.
    source: Option<&'a Runner>,
    /// The runner of another region that holds more of them than that.
    remote_source: Option<&'a Runner>,
}

impl<'a> PromptView<'a> {
    fn new(
        fleet: &'a Fleet,
        candidates: &[&'a Runner],
        pace: &'a ReadPace,
        demand: &'a Demand<'a>,
    ) -> Self {
        let (prefill_runners, decode_runners) = partition_by_stage(candidates);
        let holders = candidates.iter().copied();
        let source = holders.max_by_key(|runner| runner.cached_tokens(demand.prompt));
        let source = source.filter(|runner| runner.cached_tokens(demand.prompt) > 0);
        Self {
            fleet,
            pace,
            demand,
            prefill_home: rendezvous_home(&prefill_runners, demand.prompt),
            decode_home: rendezvous_home(&decode_runners, demand.prompt),
            source,
            remote_source: remote_source(fleet, demand, source),
        }
    }

    /// The runner from which another takes over parts that it does not hold: one of the candidates
    /// or, if that gains more and is worth the way, one of another region.
    fn source_for(&self, runner: &Runner) -> Option<&'a Runner> {
        let held = runner.cached_tokens(self.demand.prompt);
        let gains = |source: &&Runner, held: u64| {
            let gained = source.cached_tokens(self.demand.prompt).saturating_sub(held);
            gained >= MIN_FETCH_TOKENS
        };
        let near = self.source.filter(|source| gains(source, held));
        let held_near = near.map_or(held, |source| source.cached_tokens(self.demand.prompt));
        let remote = self.remote_source.filter(|source| gains(source, held_near));
        remote.filter(|source| self.is_remote_fetch_worthwhile(source, runner)).or(near)
    }

    /// Whether parts are better taken over from another region than read again.
    fn is_remote_fetch_worthwhile(&self, source: &Runner, runner: &Runner) -> bool {
        let held = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = source.cached_tokens(self.demand.prompt).saturating_sub(held) as f64;
        self.cross_region_fetch_ms(source, runner)
            <= self.pace.read_ms(moved_tokens) * PREFILL_COST_FACTOR
    }

    /// Time in which parts are taken over from a runner of another region.
    fn cross_region_fetch_ms(&self, source: &Runner, runner: &Runner) -> f64 {
        let held = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = source.cached_tokens(self.demand.prompt).saturating_sub(held) as f64;
        let (from, to) = (&source.record.zone, &runner.record.zone);
        let rtt_ms = self.fleet.round_trip_ms(from, to, self.demand.now_us);
        rtt_ms + moved_tokens * self.demand.region_move_ms.unwrap_or(f64::INFINITY)
    }

    /// Tokens that a runner has to read, once it has taken over what another holds.
    fn unread_tokens(&self, runner: &Runner) -> u64 {
        let holder = self.source_for(runner).unwrap_or(runner);
        self.demand.prompt.tokens.saturating_sub(holder.cached_tokens(self.demand.prompt))
    }

    /// Tokens of KV cache that the request takes while it runs, on the mean: its output grows
    /// from nothing to what it may be at the most.
    fn held_tokens(&self) -> u64 {
        self.demand.prompt.tokens + self.demand.prompt.max_output_tokens / 2
    }

    /// What running with too little memory counts as: then requests wait, or are put back and
    /// read anew.
    fn memory_cost_ms(&self, runner: &Runner) -> f64 {
        let held = runner.held_by_all(self.demand.now_us) + self.held_tokens();
        let share = held as f64 / self.demand.cache_tokens.max(1) as f64;
        (share - MEMORY_PRESSURE_SHARE).max(0.0) * MEMORY_PRESSURE_COST_MS
    }

    /// What taking over shared parts counts as.
    fn fetch_cost_ms(&self, runner: &Runner) -> f64 {
        let Some(source) = self.source_for(runner) else { return 0.0 };
        if source.region != runner.region {
            return self.cross_region_fetch_ms(source, runner);
        }
        let held = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = source.cached_tokens(self.demand.prompt).saturating_sub(held);
        let zone_factor =
            if source.record.zone == runner.record.zone { 1.0 } else { CROSS_ZONE_FETCH_FACTOR };
        FETCH_COST_MS + moved_tokens as f64 * FETCH_COST_MS_PER_TOKEN * zone_factor
    }

    /// Time that a runner spends on so many tokens.
    fn prefill_duration_ms(&self, runner: &Runner, tokens: u64) -> f64 {
        self.pace.read_ms_at(runner, tokens as f64, self.demand.now_us)
    }

    /// Time in which a prefill runner has read the prompt.
    fn dedicated_prefill_ms(&self, runner: &Runner) -> f64 {
        let wait = self.pace.backlog_ms(runner, self.demand.now_us);
        wait + self.pace.fixed_ms() + self.prefill_duration_ms(runner, self.unread_tokens(runner))
    }

    /// Time in which a runner has read the prompt, by its role.
    fn expected_prefill_ms(&self, runner: &Runner) -> f64 {
        if runner.record.stage == Some(Stage::Prefill) {
            self.dedicated_prefill_ms(runner)
        } else {
            self.direct_prefill_ms(runner)
        }
    }

    fn prefill_cost_ms(&self, runner: &Runner) -> f64 {
        let distance = self.distance_cost_ms(runner, self.demand.zone)
            + off_home_cost_ms(runner, self.prefill_home);
        let deferred =
            self.prefill_duration_ms(runner, runner.late_tokens_of_all()) * DEFERRED_WORK_WEIGHT;
        self.dedicated_prefill_ms(runner)
            + deferred
            + self.fetch_cost_ms(runner)
            + distance
            + self.failure_cost_ms(runner)
    }

    fn distance_cost_ms(&self, runner: &Runner, zone: &ZoneId) -> f64 {
        distance_cost_ms(self.fleet, runner, zone, self.demand.now_us)
    }

    /// What the failures that a runner has lately answered with count as.
    fn failure_cost_ms(&self, runner: &Runner) -> f64 {
        runner.failure_rate(self.demand.now_us) * FAILURE_COST_MS
    }

    /// Time in which a decode runner has read the prompt itself, between the tokens of its
    /// streams.
    fn direct_prefill_ms(&self, runner: &Runner) -> f64 {
        let undisturbed_ms = self.dedicated_prefill_ms(runner) / DECODE_PREFILL_SPEED;
        undisturbed_ms * (1.0 + runner.occupancy(self.demand.now_us) * SLOWDOWN_PER_STREAM)
    }

    fn direct_cost_ms(&self, runner: &Runner) -> f64 {
        let load = self.decode_load_cost_ms(runner, self.demand.zone);
        self.direct_prefill_ms(runner) + self.fetch_cost_ms(runner) + load
    }

    /// A decode runner that takes over a prompt read in the zone `near`.
    fn decode_cost_ms(&self, runner: &Runner, near: &ZoneId) -> f64 {
        let cached = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = self.demand.prompt.tokens.saturating_sub(cached) as f64;
        let zone_factor = if runner.record.zone == *near { 1.0 } else { CROSS_ZONE_FETCH_FACTOR };
        let wait = self.pace.backlog_ms(runner, self.demand.now_us) / DECODE_PREFILL_SPEED;
        wait + moved_tokens * FETCH_COST_MS_PER_TOKEN * zone_factor
            + self.decode_load_cost_ms(runner, near)
    }

    fn decode_load_cost_ms(&self, runner: &Runner, near: &ZoneId) -> f64 {
        let occupancy = runner.occupancy(self.demand.now_us);
        let slots = f64::from(runner.record.slots.max(1));
        let full_cost_ms =
            if occupancy >= slots * DECODE_FULL_SHARE { DECODE_FULL_COST_MS } else { 0.0 };
        let distance =
            self.distance_cost_ms(runner, near) + off_home_cost_ms(runner, self.decode_home);
        occupancy * DECODE_COST_MS_PER_REQUEST
            + full_cost_ms
            + self.memory_cost_ms(runner)
            + distance
            + self.failure_cost_ms(runner)
    }
}

/// The runner of another region than the asking node's that holds most of a prompt's shared parts,
/// if it holds more than `near`. Policies on zones bind it as they bind who reads.
fn remote_source<'a>(
    fleet: &'a Fleet,
    demand: &Demand<'_>,
    near: Option<&Runner>,
) -> Option<&'a Runner> {
    demand.region_move_ms?;
    let held_near = near.map_or(0, |runner| runner.cached_tokens(demand.prompt));
    if held_near >= demand.prompt.shared_prefix_tokens() {
        return None;
    }
    let eligible = Eligible { scope: Scope::AllRegions, excluded: &[], ..demand.eligible };
    let holders = fleet.candidates(&eligible, demand.now_us).into_iter();
    let remote = holders.filter(|runner| !fleet.topology().is_in(demand.zone, &runner.region));
    let best = remote.max_by_key(|runner| runner.cached_tokens(demand.prompt))?;
    (best.cached_tokens(demand.prompt) > held_near).then_some(best)
}

/// What a runner's distance from a zone counts as: the way there and back, as far as it is longer
/// than inside the zone, and dearer bytes.
fn distance_cost_ms(fleet: &Fleet, runner: &Runner, zone: &ZoneId, now_us: u64) -> f64 {
    if runner.record.zone == *zone {
        return 0.0;
    }
    let is_near = fleet.topology().is_in(zone, &runner.region);
    let traffic_cost_ms =
        if is_near { CROSS_ZONE_TRAFFIC_COST_MS } else { CROSS_REGION_TRAFFIC_COST_MS };
    let rtt_ms = fleet.round_trip_ms(zone, &runner.record.zone, now_us);
    let same_zone_rtt_ms = fleet.round_trip_ms(zone, zone, now_us);
    (rtt_ms - same_zone_rtt_ms).max(0.0) + traffic_cost_ms
}

/// The runner at which all nodes gather requests with the prompt's shared parts.
fn rendezvous_home<'a>(runners: &[&'a Runner], prompt: &Prompt) -> Option<&'a RunnerId> {
    let key = prompt.affinity_key()?;
    // By name: prompts go on being gathered at a runner that starts again.
    let weight = |runner: &&&Runner| rendezvous_weight(&key, runner.record.id.name().as_str());
    runners.iter().max_by_key(weight).map(|runner| &runner.record.id)
}

/// What a runner that is not the home of a prompt's shared parts costs besides.
fn off_home_cost_ms(runner: &Runner, home: Option<&RunnerId>) -> f64 {
    if home.is_some_and(|home| *home != runner.record.id) {
        OFF_HOME_COST_MS
    } else {
        0.0
    }
}

fn min_by_cost<'a>(runners: &[&'a Runner], cost: impl Fn(&Runner) -> f64) -> Option<&'a Runner> {
    let costs = runners.iter().map(|runner| (cost(runner), *runner));
    costs.min_by(|(left, _), (right, _)| left.total_cmp(right)).map(|(_, runner)| runner)
}
