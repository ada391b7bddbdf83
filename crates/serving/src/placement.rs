//! Chooses the runner that prefills a prompt and the runner that decodes the output.
//!
//! Requests with the same shared prefix have the same home on every node (rendezvous hashing), so
//! the KV cache of the prefix is computed once and reused. If the queue at the home takes longer
//! than prefilling the prefix again, another runner is chosen.
//!
//! Runners for a prompt are compared by a cost in milliseconds of expected latency. Constants named
//! `..._COST_MS` convert other disadvantages to that unit.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RunnerId, ZoneId};
use crate::prefill_speed::PrefillSpeed;
use crate::prefix::{rendezvous_weight, Prompt};
use crate::runner::{AttemptDemand, Runner, Stage};

/// The inputs of a choice besides the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The runners that the request may go to.
    pub eligible: Eligible<'a>,
    /// The prompt; empty if the service does not run a language model.
    pub prompt: &'a Prompt,
    /// The zone of the node that received the request.
    pub zone: &'a ZoneId,
    /// Size of a runner's KV cache in tokens.
    pub cache_tokens: u64,
    /// Time to transfer the KV cache of one token between regions, in milliseconds. `None` disables
    /// fetching a prefix from another region.
    pub cross_region_ms_per_token: Option<f64>,
    /// Current time of a steady clock, in microseconds.
    pub now_us: u64,
}

/// The prefill runner at which requests with this shared prefix are gathered. `None` without a
/// shared prefix or without prefill runners.
pub fn prefill_home<'a>(fleet: &'a Fleet, demand: &Demand<'_>) -> Option<&'a RunnerId> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (prefill_runners, _) = partition_by_stage(&candidates);
    rendezvous_home(&prefill_runners, demand.prompt)
}

/// The runner that is chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerChoice {
    /// Incarnation of the chosen runner.
    pub runner: RunnerId,
    /// The demand of the attempt on the runner.
    pub demand: AttemptDemand,
    /// The runner from which the chosen one fetches the part of the shared prefix that it lacks;
    /// `None` if it fetches nothing.
    pub fetch_from: Option<RunnerId>,
    /// Expected time until the prompt is prefilled, queueing included, in microseconds.
    pub expected_prefill_us: u64,
    /// Expected duration of the prefill without queueing, in milliseconds.
    pub prefill_ms: f64,
}

impl RunnerChoice {
    /// Moves the prefill behind all work that can still meet its target.
    pub fn defer(mut self) -> Self {
        self.demand.overdue_tokens += std::mem::take(&mut self.demand.prefill_tokens);
        self
    }

    /// Prompt tokens that the runner has to prefill, deferred or not.
    pub fn prefill_tokens(&self) -> u64 {
        self.demand.prefill_tokens + self.demand.overdue_tokens
    }
}

/// How a prompt is prefilled.
#[derive(Clone, Debug, PartialEq)]
pub enum PrefillPlan {
    /// A prefill runner prefills the prompt; a decode runner then takes over its KV cache.
    Split(RunnerChoice),
    /// The decode runner prefills the prompt itself.
    Direct(RunnerChoice),
}

/// Occupancy, as a share of the slots, that one millisecond of distance cost is worth. A runner in
/// another zone, at a cost of 8 ms, has to be emptier by a share of 0.3.
const OCCUPANCY_PER_MS: f64 = 0.0375;
/// Occupancy cost per unit of failure rate above that of the best runner.
const FAILURE_COST_OCCUPANCY: f64 = 4.0;
/// Cost of a runner whose responses are all failures, in milliseconds.
const FAILURE_COST_MS: f64 = 400.0;
/// Cost of the more expensive traffic of a request to another zone of the region and to another
/// region, in milliseconds of waiting. It is added to the round-trip time.
const CROSS_ZONE_TRAFFIC_COST_MS: f64 = 6.5;
const CROSS_REGION_TRAFFIC_COST_MS: f64 = 40.0;
/// Cost of not using the home of a shared prefix, in milliseconds: a second copy of the prefix
/// leaves less room for others.
const OFF_HOME_COST_MS: f64 = 40.0;
/// Time to hand a prompt over from a prefill runner to a decode runner, in milliseconds.
const HANDOVER_MS: f64 = 15.0;
/// Weight of deferred work relative to other work. It keeps deferred work from accumulating on one
/// runner.
const DEFERRED_WORK_WEIGHT: f64 = 0.2;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Prefill speed of a decode runner relative to that of a prefill runner.
const DECODE_PREFILL_SPEED: f64 = 0.5;
/// Relative slowdown of the prefill on a decode runner for each of its streams.
const SLOWDOWN_PER_STREAM: f64 = 0.03;
/// Minimum number of tokens that are worth fetching from another runner.
const MIN_FETCH_TOKENS: u64 = 512;
/// Cost of fetching a prefix, in milliseconds, fixed and for each token. The transfer itself takes
/// less time, but its traffic is paid for.
const FETCH_COST_MS: f64 = 10.0;
const FETCH_COST_MS_PER_TOKEN: f64 = 0.004;
/// Factor on the fetch cost of a token if source and destination are in different zones.
const CROSS_ZONE_FETCH_FACTOR: f64 = 3.0;
/// A prefix is fetched from another region if that takes at most this many times as long as
/// prefilling it again: a prefill occupies the runner and is paid for by the token, while a
/// transfer only uses its link.
const PREFILL_COST_FACTOR: f64 = 1.5;
/// Cost of each running request on a decode runner, in milliseconds.
const DECODE_COST_MS_PER_REQUEST: f64 = 4.0;
/// Share of a runner's KV cache above which it counts as short of memory.
const MEMORY_PRESSURE_SHARE: f64 = 0.75;
/// Cost of exceeding that share by the whole KV cache, in milliseconds.
const MEMORY_PRESSURE_COST_MS: f64 = 4_000.0;
/// Share of a decode runner's slots from which on it counts as full.
const DECODE_FULL_SHARE: f64 = 0.8;
/// Cost of a full decode runner, in milliseconds.
const DECODE_FULL_COST_MS: f64 = 2_000.0;

/// Chooses the runner with the lowest occupancy for a service that does not run a language model,
/// adjusted by distance and failure rate. Among equal runners, the node's preference decides. `None` if
/// no runner takes work.
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
    let costs = candidates.iter().map(|runner| (cost(runner), *runner));
    let (_, best) = costs.min_by(|(left_cost, left), (right_cost, right)| {
        let preferred = || fleet.preference(right).cmp(&fleet.preference(left));
        left_cost.total_cmp(right_cost).then_with(preferred)
    })?;
    Some(RunnerChoice {
        runner: best.record.id.clone(),
        demand: AttemptDemand::default(),
        fetch_from: None,
        expected_prefill_us: 0,
        prefill_ms: 0.0,
    })
}

/// Chooses how the prompt is prefilled and by which runner. `None` if no decode runner takes work.
pub fn plan_prefill(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    demand: &Demand<'_>,
) -> Option<PrefillPlan> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (prefill_runners, decode_runners) = partition_by_stage(&candidates);
    let view = PromptView::new(fleet, &candidates, speed, demand);
    let split =
        cheapest(&prefill_runners, &view, |runner| view.prefill_cost_ms(runner) + HANDOVER_MS);
    let direct = cheapest(&decode_runners, &view, |runner| view.direct_cost_ms(runner));
    match (split, direct) {
        (Some((split, split_ms)), Some((_, direct_ms))) if split_ms <= direct_ms => {
            Some(PrefillPlan::Split(split))
        }
        // Without a decode runner, no runner can take over the prompt.
        (_, None) => None,
        (_, Some((direct, _))) => Some(PrefillPlan::Direct(direct)),
    }
}

/// Chooses the decode runner that takes over a prompt that was prefilled in the zone `source`;
/// `None` stands for the zone of the requesting node.
pub fn choose_decode_runner(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<RunnerChoice> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (_, decode_runners) = partition_by_stage(&candidates);
    let speed = PrefillSpeed::default();
    let view = PromptView::new(fleet, &candidates, &speed, demand);
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
            prefill_tokens: view.prefill_tokens(best),
            overdue_tokens: 0,
            held_tokens: view.held_tokens(),
        },
        fetch_from: source.map(|source| source.record.id.clone()),
        expected_prefill_us: (view.expected_prefill_ms(best) * MICROS_PER_MILLI) as u64,
        prefill_ms: view.prefill_duration_ms(best, view.prefill_tokens(best)),
    };
    Some((choice, cost_ms(best)))
}

/// A prompt and its cost on each runner of the service.
struct PromptView<'a> {
    fleet: &'a Fleet,
    speed: &'a PrefillSpeed,
    demand: &'a Demand<'a>,
    /// The homes of the shared prefix among the prefill and the decode runners.
    prefill_home: Option<&'a RunnerId>,
    decode_home: Option<&'a RunnerId>,
    /// The candidate that holds most of the shared prefix.
    source: Option<&'a Runner>,
    /// The runner of another region that holds more of the shared prefix than `source`.
    remote_source: Option<&'a Runner>,
}

impl<'a> PromptView<'a> {
    fn new(
        fleet: &'a Fleet,
        candidates: &[&'a Runner],
        speed: &'a PrefillSpeed,
        demand: &'a Demand<'a>,
    ) -> Self {
        let (prefill_runners, decode_runners) = partition_by_stage(candidates);
        let holders = candidates.iter().copied();
        let source = holders.max_by_key(|runner| runner.cached_tokens(demand.prompt));
        let source = source.filter(|runner| runner.cached_tokens(demand.prompt) > 0);
        Self {
            fleet,
            speed,
            demand,
            prefill_home: rendezvous_home(&prefill_runners, demand.prompt),
            decode_home: rendezvous_home(&decode_runners, demand.prompt),
            source,
            remote_source: remote_source(fleet, demand, source),
        }
    }

    /// The runner from which `runner` fetches the part of the prefix that it lacks: one of the
    /// candidates or, if it holds more and the transfer is worthwhile, one of another region.
    fn source_for(&self, runner: &Runner) -> Option<&'a Runner> {
        let cached_tokens = runner.cached_tokens(self.demand.prompt);
        let gains = |source: &&Runner, cached_tokens: u64| {
            let gained = source.cached_tokens(self.demand.prompt).saturating_sub(cached_tokens);
            gained >= MIN_FETCH_TOKENS
        };
        let local = self.source.filter(|source| gains(source, cached_tokens));
        let local_tokens =
            local.map_or(cached_tokens, |source| source.cached_tokens(self.demand.prompt));
        let remote = self.remote_source.filter(|source| gains(source, local_tokens));
        remote.filter(|source| self.is_remote_fetch_worthwhile(source, runner)).or(local)
    }

    /// Whether fetching the prefix from another region is preferable to prefilling it again.
    fn is_remote_fetch_worthwhile(&self, source: &Runner, runner: &Runner) -> bool {
        let cached_tokens = runner.cached_tokens(self.demand.prompt);
        let moved_tokens =
            source.cached_tokens(self.demand.prompt).saturating_sub(cached_tokens) as f64;
        self.cross_region_fetch_ms(source, runner)
            <= self.speed.prefill_ms(moved_tokens) * PREFILL_COST_FACTOR
    }

    /// Time to fetch the prefix from a runner of another region, in milliseconds.
    fn cross_region_fetch_ms(&self, source: &Runner, runner: &Runner) -> f64 {
        let cached_tokens = runner.cached_tokens(self.demand.prompt);
        let moved_tokens =
            source.cached_tokens(self.demand.prompt).saturating_sub(cached_tokens) as f64;
        let (from, to) = (&source.record.zone, &runner.record.zone);
        let rtt_ms = self.fleet.round_trip_ms(from, to, self.demand.now_us);
        rtt_ms + moved_tokens * self.demand.cross_region_ms_per_token.unwrap_or(f64::INFINITY)
    }

    /// Prompt tokens that a runner has to prefill after it has fetched what another one holds.
    fn prefill_tokens(&self, runner: &Runner) -> u64 {
        let holder = self.source_for(runner).unwrap_or(runner);
        self.demand.prompt.tokens.saturating_sub(holder.cached_tokens(self.demand.prompt))
    }

    /// Mean KV cache of the request while it runs, in tokens: its output grows from zero to
    /// `max_output_tokens`.
    fn held_tokens(&self) -> u64 {
        self.demand.prompt.tokens + self.demand.prompt.max_output_tokens / 2
    }

    /// Cost of a shortage of memory: requests then wait, or are preempted and prefilled again.
    fn memory_cost_ms(&self, runner: &Runner) -> f64 {
        let held = runner.total_held_tokens(self.demand.now_us) + self.held_tokens();
        let share = held as f64 / self.demand.cache_tokens.max(1) as f64;
        (share - MEMORY_PRESSURE_SHARE).max(0.0) * MEMORY_PRESSURE_COST_MS
    }

    /// Cost of fetching the shared prefix, in milliseconds; 0 if nothing is fetched.
    fn fetch_cost_ms(&self, runner: &Runner) -> f64 {
        let Some(source) = self.source_for(runner) else { return 0.0 };
        if source.region != runner.region {
            return self.cross_region_fetch_ms(source, runner);
        }
        let cached_tokens = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = source.cached_tokens(self.demand.prompt).saturating_sub(cached_tokens);
        let zone_factor =
            if source.record.zone == runner.record.zone { 1.0 } else { CROSS_ZONE_FETCH_FACTOR };
        FETCH_COST_MS + moved_tokens as f64 * FETCH_COST_MS_PER_TOKEN * zone_factor
    }

    /// Time that a runner takes to prefill `tokens` tokens without queueing, in milliseconds.
    fn prefill_duration_ms(&self, runner: &Runner, tokens: u64) -> f64 {
        self.speed.prefill_ms_at(runner, tokens as f64, self.demand.now_us)
    }

    /// Expected time until the prompt is prefilled by a runner that is not decoding, queueing
    /// included.
    fn dedicated_prefill_ms(&self, runner: &Runner) -> f64 {
        let wait = self.speed.backlog_ms(runner, self.demand.now_us);
        wait + self.speed.fixed_ms() + self.prefill_duration_ms(runner, self.prefill_tokens(runner))
    }

    /// Expected time until the prompt is prefilled, by the runner's stage.
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
            self.prefill_duration_ms(runner, runner.local_overdue_tokens()) * DEFERRED_WORK_WEIGHT;
        self.dedicated_prefill_ms(runner)
            + deferred
            + self.fetch_cost_ms(runner)
            + distance
            + self.failure_cost_ms(runner)
    }

    fn distance_cost_ms(&self, runner: &Runner, zone: &ZoneId) -> f64 {
        distance_cost_ms(self.fleet, runner, zone, self.demand.now_us)
    }

    /// Cost of the runner's recent failures, in milliseconds.
    fn failure_cost_ms(&self, runner: &Runner) -> f64 {
        runner.failure_rate(self.demand.now_us) * FAILURE_COST_MS
    }

    /// Expected time until a decode runner has prefilled the prompt itself, interleaved with the
    /// tokens of its streams.
    fn direct_prefill_ms(&self, runner: &Runner) -> f64 {
        let undisturbed_ms = self.dedicated_prefill_ms(runner) / DECODE_PREFILL_SPEED;
        undisturbed_ms * (1.0 + runner.occupancy(self.demand.now_us) * SLOWDOWN_PER_STREAM)
    }

    fn direct_cost_ms(&self, runner: &Runner) -> f64 {
        let load = self.decode_load_cost_ms(runner, self.demand.zone);
        self.direct_prefill_ms(runner) + self.fetch_cost_ms(runner) + load
    }

    /// Cost of a decode runner that takes over a prompt prefilled in the zone `near`, in
    /// milliseconds.
    fn decode_cost_ms(&self, runner: &Runner, near: &ZoneId) -> f64 {
        let cached = runner.cached_tokens(self.demand.prompt);
        let moved_tokens = self.demand.prompt.tokens.saturating_sub(cached) as f64;
        let zone_factor = if runner.record.zone == *near { 1.0 } else { CROSS_ZONE_FETCH_FACTOR };
        let wait = self.speed.backlog_ms(runner, self.demand.now_us) / DECODE_PREFILL_SPEED;
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

/// The runner outside the requesting node's region that holds most of the shared prefix, if it
/// holds more than `local`. Zone policies restrict it in the same way as the runners that prefill.
fn remote_source<'a>(
    fleet: &'a Fleet,
    demand: &Demand<'_>,
    local: Option<&Runner>,
) -> Option<&'a Runner> {
    demand.cross_region_ms_per_token?;
    let local_tokens = local.map_or(0, |runner| runner.cached_tokens(demand.prompt));
    if local_tokens >= demand.prompt.shared_prefix_tokens() {
        return None;
    }
    let eligible = Eligible { scope: Scope::AllRegions, excluded: &[], ..demand.eligible };
    let holders = fleet.candidates(&eligible, demand.now_us).into_iter();
    let remote = holders.filter(|runner| !fleet.topology().is_in(demand.zone, &runner.region));
    let best = remote.max_by_key(|runner| runner.cached_tokens(demand.prompt))?;
    (best.cached_tokens(demand.prompt) > local_tokens).then_some(best)
}

/// Cost of a runner's distance from a zone: the round-trip time in excess of the one inside the
/// zone, and the more expensive traffic.
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

/// The runner at which all nodes gather requests with this shared prefix.
fn rendezvous_home<'a>(runners: &[&'a Runner], prompt: &Prompt) -> Option<&'a RunnerId> {
    let key = prompt.affinity_key()?;
    // The weight is computed from the name: a restarted runner remains the home.
    let weight = |runner: &&&Runner| rendezvous_weight(&key, runner.record.id.name().as_str());
    runners.iter().max_by_key(weight).map(|runner| &runner.record.id)
}

/// Additional cost of a runner that is not the home of the shared prefix.
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
