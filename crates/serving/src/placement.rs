//! Which runner reads a prompt and which one writes the answer.
//!
//! Requests with the same shared parts have the same home at every node (rendezvous
//! hashing), so the KV cache of the parts is read once and used by all. A home that is busy
//! for longer than reading the parts again takes gives way to another runner.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RunnerId, ZoneId};
use crate::prefill_speed::PrefillSpeed;
use crate::prefix::{rendezvous_weight, Prompt};
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
pub fn reading_home<'a>(fleet: &'a Fleet, demand: &Demand<'_>) -> Option<&'a RunnerId> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (readers, _) = by_stage(&candidates);
    home_of(&readers, demand.prompt)
}

/// A runner for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub runner: RunnerId,
    /// What the attempt asks of it.
    pub demand: AttemptDemand,
    /// The runner from which it takes over shared parts that it does not hold.
    pub fetch_from: Option<RunnerId>,
    /// Time until the prompt should have been read, microseconds.
    pub expected_us: u64,
    /// Time that reading takes without any wait, milliseconds.
    pub reading_ms: f64,
}

impl Choice {
    /// The same, but its prompt is read after all that can still be in time.
    pub fn put_behind(mut self) -> Self {
        self.demand.overdue_tokens += std::mem::take(&mut self.demand.prefill_tokens);
        self
    }

    /// Prompt tokens that the runner does not hold.
    pub fn tokens_to_read(&self) -> u64 {
        self.demand.prefill_tokens + self.demand.overdue_tokens
    }
}

/// How a prompt is read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadingPlan {
    /// A prefill runner reads it; a decode runner then takes over its KV cache.
    Split(Choice),
    /// The decode runner reads it itself.
    Direct(Choice),
}

/// Occupancy, as a share of the slots, that has to be saved for each millisecond that the distance
/// counts as: another zone, 8 ms, has to save 0.3.
const OCCUPANCY_A_MS: f64 = 0.0375;
/// Occupancy that a failure rate above the best runner's counts as.
const FAILURE_OCCUPANCY: f64 = 4.0;
/// Milliseconds that a runner that answers with nothing but failures counts as.
const FAILURE_MS: f64 = 400.0;
/// Milliseconds of waiting that the dearer bytes of a request count as, beside the way itself, to
/// another zone of the region and to another region.
const ZONE_BYTES_MS: f64 = 6.5;
const REGION_BYTES_MS: f64 = 40.0;
/// Milliseconds that leaving the home of a prompt's shared parts counts as: a second runner
/// that holds them leaves less room for others.
const AWAY_MS: f64 = 40.0;
/// Milliseconds that handing a prompt over from prefill to decode takes.
const HANDOVER_MS: f64 = 15.0;
/// What work that waits for all other counts as, against work that goes ahead: it keeps such
/// work from gathering at one runner.
const LATE_WORK: f64 = 0.2;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// A decode runner reads at this share of a prefill runner's pace.
const DECODE_READ_PACE: f64 = 0.5;
/// Share by which each of its streams slows a decode runner's reading.
const STREAM_SLOWDOWN: f64 = 0.03;
/// Fewest tokens that are worth taking over from another runner.
const LEAST_FETCH_TOKENS: u64 = 512;
/// Milliseconds that taking over counts as, and each token of it: the move itself takes less,
/// but it is paid for.
const FETCH_MS: f64 = 10.0;
const FETCH_TOKEN_MS: f64 = 0.004;
/// A move between zones counts as so many moves inside one.
const FAR_MOVE: f64 = 3.0;
/// Shared parts are taken over from another region if that takes no longer than so many times what
/// reading them again does: a reading keeps the runner from others and is paid for by the token, a
/// move takes its link alone.
const READ_AGAIN_COST: f64 = 1.5;
/// Milliseconds that each running request counts as when a decode runner is chosen.
const DECODE_BUSY_MS: f64 = 4.0;
/// Share of a decode runner's memory above which it counts as short of it.
const MEMORY_SHARE: f64 = 0.75;
/// Milliseconds that a whole memory too much counts as.
const MEMORY_FULL_MS: f64 = 4_000.0;
/// Occupancy of a decode runner's slots above which it counts as full.
const DECODE_FULL: f64 = 0.8;
/// Milliseconds that a full decode runner counts as.
const DECODE_FULL_MS: f64 = 2_000.0;

/// Chooses a runner of a service without language models: the least occupied.
pub fn choose_worker(fleet: &Fleet, demand: &Demand<'_>) -> Option<Choice> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let rates = candidates.iter().map(|runner| runner.failure_rate(demand.now_us));
    let best_rate = rates.fold(f64::INFINITY, f64::min);
    let cost = |runner: &Runner| {
        let slots = f64::from(runner.record.slots.max(1));
        let occupancy = (runner.occupancy(demand.now_us) + 1.0) / slots;
        let distance = distance_ms(fleet, runner, demand.zone, demand.now_us) * OCCUPANCY_A_MS;
        let failures = (runner.failure_rate(demand.now_us) - best_rate) * FAILURE_OCCUPANCY;
        occupancy + distance + failures
    };
    let best = least(&candidates, cost)?;
    Some(Choice {
        runner: best.record.id.clone(),
        demand: AttemptDemand::default(),
        fetch_from: None,
        expected_us: 0,
        reading_ms: 0.0,
    })
}

/// Chooses how the prompt is read. `None` if no runner takes work.
pub fn plan_reading(
    fleet: &Fleet,
    pace: &PrefillSpeed,
    demand: &Demand<'_>,
) -> Option<ReadingPlan> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (readers, writers) = by_stage(&candidates);
    let view = PromptView::new(fleet, &candidates, pace, demand);
    let split = cheapest(&readers, &view, |runner| view.prefill_ms(runner) + HANDOVER_MS);
    let direct = cheapest(&writers, &view, |runner| view.direct_ms(runner));
    match (split, direct) {
        (Some((split, split_ms)), Some((_, direct_ms))) if split_ms <= direct_ms => {
            Some(ReadingPlan::Split(split))
        }
        // Without a decode runner nobody can take the prompt over.
        (_, None) => None,
        (_, Some((direct, _))) => Some(ReadingPlan::Direct(direct)),
    }
}

/// Chooses the decode runner that takes over a prompt that was read in the given zone.
pub fn choose_writer(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<Choice> {
    let candidates = fleet.candidates(&demand.eligible, demand.now_us);
    let (_, writers) = by_stage(&candidates);
    let pace = PrefillSpeed::default();
    let view = PromptView::new(fleet, &candidates, &pace, demand);
    let near = source.unwrap_or(demand.zone);
    cheapest(&writers, &view, |runner| view.writing_ms(runner, near))
        .map(|(choice, _)| Choice { fetch_from: None, ..choice })
}

fn by_stage<'a>(candidates: &[&'a Runner]) -> (Vec<&'a Runner>, Vec<&'a Runner>) {
    candidates.iter().partition(|runner| runner.record.stage == Some(Stage::Prefill))
}

fn cheapest(
    runners: &[&Runner],
    view: &PromptView<'_>,
    cost_ms: impl Fn(&Runner) -> f64,
) -> Option<(Choice, f64)> {
    let best = least(runners, &cost_ms)?;
    let source = view.source_for(best);
    let choice = Choice {
        runner: best.record.id.clone(),
        demand: AttemptDemand {
            prefill_tokens: view.unread_tokens(best),
            overdue_tokens: 0,
            held_tokens: view.held_tokens(),
        },
        fetch_from: source.map(|source| source.record.id.clone()),
        expected_us: (view.time_ms(best) * MICROS_PER_MILLI) as u64,
        reading_ms: view.read_ms(best, view.unread_tokens(best)),
    };
    Some((choice, cost_ms(best)))
}

/// A prompt as the runners of its service see it.
struct PromptView<'a> {
    fleet: &'a Fleet,
    pace: &'a PrefillSpeed,
    demand: &'a Demand<'a>,
    /// Where the shared parts gather, by stage.
    reading_home: Option<&'a RunnerId>,
    writing_home: Option<&'a RunnerId>,
    /// The runner that holds most of the shared parts.
    source: Option<&'a Runner>,
    /// The runner of another region that holds more of them than that.
    far_source: Option<&'a Runner>,
}

impl<'a> PromptView<'a> {
    fn new(
        fleet: &'a Fleet,
        candidates: &[&'a Runner],
        pace: &'a PrefillSpeed,
        demand: &'a Demand<'a>,
    ) -> Self {
        let (readers, writers) = by_stage(candidates);
        let holders = candidates.iter().copied();
        let source = holders.max_by_key(|runner| runner.cached_tokens(demand.prompt));
        let source = source.filter(|runner| runner.cached_tokens(demand.prompt) > 0);
        Self {
            fleet,
            pace,
            demand,
            reading_home: home_of(&readers, demand.prompt),
            writing_home: home_of(&writers, demand.prompt),
            source,
            far_source: far_source(fleet, demand, source),
        }
    }

    /// The runner from which another takes over parts that it does not hold: one of the candidates
    /// or, if that gains more and is worth the way, one of another region.
    fn source_for(&self, runner: &Runner) -> Option<&'a Runner> {
        let held = runner.cached_tokens(self.demand.prompt);
        let gains = |source: &&Runner, held: u64| {
            let gained = source.cached_tokens(self.demand.prompt).saturating_sub(held);
            gained >= LEAST_FETCH_TOKENS
        };
        let near = self.source.filter(|source| gains(source, held));
        let held_near = near.map_or(held, |source| source.cached_tokens(self.demand.prompt));
        let far = self.far_source.filter(|source| gains(source, held_near));
        far.filter(|source| self.is_worth_the_way(source, runner)).or(near)
    }

    /// Whether parts are better taken over from another region than read again.
    fn is_worth_the_way(&self, source: &Runner, runner: &Runner) -> bool {
        let held = runner.cached_tokens(self.demand.prompt);
        let moved = source.cached_tokens(self.demand.prompt).saturating_sub(held) as f64;
        self.region_fetch_ms(source, runner) <= self.pace.prefill_ms(moved) * READ_AGAIN_COST
    }

    /// Time in which parts are taken over from a runner of another region.
    fn region_fetch_ms(&self, source: &Runner, runner: &Runner) -> f64 {
        let held = runner.cached_tokens(self.demand.prompt);
        let moved = source.cached_tokens(self.demand.prompt).saturating_sub(held) as f64;
        let (from, to) = (&source.record.zone, &runner.record.zone);
        let way_ms = self.fleet.round_trip_ms(from, to, self.demand.now_us);
        way_ms + moved * self.demand.region_move_ms.unwrap_or(f64::INFINITY)
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
    fn memory_ms(&self, runner: &Runner) -> f64 {
        let held = runner.total_held_tokens(self.demand.now_us) + self.held_tokens();
        let share = held as f64 / self.demand.cache_tokens.max(1) as f64;
        (share - MEMORY_SHARE).max(0.0) * MEMORY_FULL_MS
    }

    /// What taking over shared parts counts as.
    fn fetch_ms(&self, runner: &Runner) -> f64 {
        let Some(source) = self.source_for(runner) else { return 0.0 };
        if source.region != runner.region {
            return self.region_fetch_ms(source, runner);
        }
        let held = runner.cached_tokens(self.demand.prompt);
        let moved = source.cached_tokens(self.demand.prompt).saturating_sub(held);
        let far = if source.record.zone == runner.record.zone { 1.0 } else { FAR_MOVE };
        FETCH_MS + moved as f64 * FETCH_TOKEN_MS * far
    }

    /// Time that a runner spends on so many tokens.
    fn read_ms(&self, runner: &Runner, tokens: u64) -> f64 {
        self.pace.prefill_ms_at(runner, tokens as f64, self.demand.now_us)
    }

    /// Time in which a prefill runner has read the prompt.
    fn prefill_time_ms(&self, runner: &Runner) -> f64 {
        let wait = self.pace.backlog_ms(runner, self.demand.now_us);
        wait + self.pace.fixed_ms() + self.read_ms(runner, self.unread_tokens(runner))
    }

    /// Time in which a runner has read the prompt, by its role.
    fn time_ms(&self, runner: &Runner) -> f64 {
        if runner.record.stage == Some(Stage::Prefill) {
            self.prefill_time_ms(runner)
        } else {
            self.direct_time_ms(runner)
        }
    }

    fn prefill_ms(&self, runner: &Runner) -> f64 {
        let way = self.distance_ms(runner, self.demand.zone) + away_ms(runner, self.reading_home);
        let late = self.read_ms(runner, runner.local_overdue_tokens()) * LATE_WORK;
        self.prefill_time_ms(runner) + late + self.fetch_ms(runner) + way + self.failures_ms(runner)
    }

    fn distance_ms(&self, runner: &Runner, zone: &ZoneId) -> f64 {
        distance_ms(self.fleet, runner, zone, self.demand.now_us)
    }

    /// What the failures that a runner has lately answered with count as.
    fn failures_ms(&self, runner: &Runner) -> f64 {
        runner.failure_rate(self.demand.now_us) * FAILURE_MS
    }

    /// Time in which a decode runner has read the prompt itself, between the tokens of its
    /// streams.
    fn direct_time_ms(&self, runner: &Runner) -> f64 {
        let slowed = self.prefill_time_ms(runner) / DECODE_READ_PACE;
        slowed * (1.0 + runner.occupancy(self.demand.now_us) * STREAM_SLOWDOWN)
    }

    fn direct_ms(&self, runner: &Runner) -> f64 {
        let place = self.place_ms(runner, self.demand.zone);
        self.direct_time_ms(runner) + self.fetch_ms(runner) + place
    }

    /// A decode runner that takes over a prompt read in the zone `near`.
    fn writing_ms(&self, runner: &Runner, near: &ZoneId) -> f64 {
        let cached = runner.cached_tokens(self.demand.prompt);
        let moved = self.demand.prompt.tokens.saturating_sub(cached) as f64;
        let far = if runner.record.zone == *near { 1.0 } else { FAR_MOVE };
        let wait = self.pace.backlog_ms(runner, self.demand.now_us) / DECODE_READ_PACE;
        wait + moved * FETCH_TOKEN_MS * far + self.place_ms(runner, near)
    }

    fn place_ms(&self, runner: &Runner, near: &ZoneId) -> f64 {
        let occupancy = runner.occupancy(self.demand.now_us);
        let slots = f64::from(runner.record.slots.max(1));
        let full = if occupancy >= slots * DECODE_FULL { DECODE_FULL_MS } else { 0.0 };
        let way = self.distance_ms(runner, near) + away_ms(runner, self.writing_home);
        occupancy * DECODE_BUSY_MS + full + self.memory_ms(runner) + way + self.failures_ms(runner)
    }
}

/// The runner of another region than the asking node's that holds most of a prompt's shared parts,
/// if it holds more than `near`. Policies on zones bind it as they bind who reads.
fn far_source<'a>(
    fleet: &'a Fleet,
    demand: &Demand<'_>,
    near: Option<&Runner>,
) -> Option<&'a Runner> {
    demand.region_move_ms?;
    let held_near = near.map_or(0, |runner| runner.cached_tokens(demand.prompt));
    if held_near >= demand.prompt.shared_tokens() {
        return None;
    }
    let eligible = Eligible { scope: Scope::Everywhere, excluded: &[], ..demand.eligible };
    let holders = fleet.candidates(&eligible, demand.now_us).into_iter();
    let far = holders.filter(|runner| !fleet.topology().is_in(demand.zone, &runner.region));
    let most = far.max_by_key(|runner| runner.cached_tokens(demand.prompt))?;
    (most.cached_tokens(demand.prompt) > held_near).then_some(most)
}

/// What a runner's distance from a zone counts as: the way there and back, as far as it is longer
/// than inside the zone, and dearer bytes.
fn distance_ms(fleet: &Fleet, runner: &Runner, zone: &ZoneId, now_us: u64) -> f64 {
    if runner.record.zone == *zone {
        return 0.0;
    }
    let is_near = fleet.topology().is_in(zone, &runner.region);
    let bytes_ms = if is_near { ZONE_BYTES_MS } else { REGION_BYTES_MS };
    let way_ms = fleet.round_trip_ms(zone, &runner.record.zone, now_us);
    let inside_ms = fleet.round_trip_ms(zone, zone, now_us);
    (way_ms - inside_ms).max(0.0) + bytes_ms
}

/// The runner at which all nodes gather requests with the prompt's shared parts.
fn home_of<'a>(runners: &[&'a Runner], prompt: &Prompt) -> Option<&'a RunnerId> {
    let key = prompt.affinity_key()?;
    // By name: prompts go on being gathered at a runner that starts again.
    let weight = |runner: &&&Runner| rendezvous_weight(&key, runner.record.id.name().as_str());
    runners.iter().max_by_key(weight).map(|runner| &runner.record.id)
}

/// What a runner that is not the home of a prompt's shared parts costs besides.
fn away_ms(runner: &Runner, home: Option<&RunnerId>) -> f64 {
    if home.is_some_and(|home| *home != runner.record.id) {
        AWAY_MS
    } else {
        0.0
    }
}

fn least<'a>(runners: &[&'a Runner], cost: impl Fn(&Runner) -> f64) -> Option<&'a Runner> {
    let costs = runners.iter().map(|runner| (cost(runner), *runner));
    costs.min_by(|(left, _), (right, _)| left.total_cmp(right)).map(|(_, runner)| runner)
}
