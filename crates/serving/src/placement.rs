//! Which runner reads a prompt and which one writes the answer.
//!
//! Requests with the same shared parts have the same home at every node (rendezvous
//! hashing), so the KV cache of the parts is read once and used by all. A home that is busy
//! for longer than reading the parts again takes gives way to another runner.

use crate::fleet::{Fleet, Runner, Stage};
use crate::prefix::{rendezvous_weight, Prompt};
use pitchstall_protocol::ids::{RunnerId, ServiceName, ZoneId};

/// What a choice depends on besides the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, if the service runs a language model.
    pub prompt: &'a Prompt,
    /// The node's zone.
    pub zone: &'a ZoneId,
    /// Runners that have had the request already.
    pub excluded: &'a [RunnerId],
    /// Now, microseconds of a steady clock.
    pub now_us: u64,
}

/// A runner for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The runner.
    pub runner: RunnerId,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
}

/// How a prompt is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadingPlan {
    /// A prefill runner reads it; a decode runner then takes over its KV cache.
    Split(Choice),
    /// The decode runner reads it itself.
    Direct(Choice),
}

/// Occupancy, as a share of the slots, that another zone has to save to be worth it.
const OTHER_ZONE_OCCUPANCY: f64 = 0.3;
/// Occupancy that a failure rate above the best runner's counts as.
const FAILURE_OCCUPANCY: f64 = 4.0;
/// Milliseconds of waiting that crossing a zone counts as.
const OTHER_ZONE_MS: f64 = 8.0;
/// Milliseconds that handing a prompt over from prefill to decode takes.
const HANDOVER_MS: f64 = 15.0;
/// A decode runner reads at this share of a prefill runner's pace.
const DECODE_READ_PACE: f64 = 0.5;
/// Most tokens that a decode runner reads itself while a prefill runner could: more would
/// hold up the streams that it writes.
const DIRECT_READ_LIMIT: u64 = 2_048;
/// Milliseconds that each running request counts as when a decode runner is chosen.
const DECODE_BUSY_MS: f64 = 4.0;
/// Milliseconds that moving or reading one token counts as when a decode runner is chosen.
const DECODE_TOKEN_MS: f64 = 0.02;
/// Occupancy of a decode runner's slots above which it counts as full.
const DECODE_FULL: f64 = 0.8;
/// Milliseconds that a full decode runner counts as.
const DECODE_FULL_MS: f64 = 2_000.0;

/// Chooses a runner of a service without language models: the least occupied.
pub fn choose_worker(fleet: &Fleet, demand: &Demand<'_>) -> Option<Choice> {
    let candidates = fleet.candidates(demand.service, demand.excluded, demand.now_us);
    let best_rate =
        candidates.iter().map(|runner| runner.failure_rate).fold(f64::INFINITY, f64::min);
    let cost = |runner: &Runner| {
        let slots = f64::from(runner.record.slots.max(1));
        let occupancy = (runner.occupancy(demand.now_us) + 1.0) / slots;
        let distance = if runner.record.zone == *demand.zone { 0.0 } else { OTHER_ZONE_OCCUPANCY };
        let failures = (runner.failure_rate - best_rate) * FAILURE_OCCUPANCY;
        occupancy + distance + failures
    };
    let best = least(&candidates, cost)?;
    Some(Choice { runner: best.record.id.clone(), unread_tokens: 0 })
}

/// Measured pace of prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    tokens_per_ms: f64,
    mean_tokens: f64,
}

impl Default for ReadPace {
    fn default() -> Self {
        Self { tokens_per_ms: 30.0, mean_tokens: 3_000.0 }
    }
}

impl ReadPace {
    const MIN_SAMPLE_TOKENS: u64 = 500;
    const FASTER_WEIGHT: f64 = 0.3;
    const SLOWER_WEIGHT: f64 = 0.02;
    const MEAN_WEIGHT: f64 = 0.05;

    /// A runner has read so many tokens in so many milliseconds. Time in its queue makes a
    /// sample slow, so fast samples count for more.
    pub fn on_read(&mut self, tokens: u64, elapsed_ms: f64) {
        self.mean_tokens += Self::MEAN_WEIGHT * (tokens as f64 - self.mean_tokens);
        if tokens < Self::MIN_SAMPLE_TOKENS || elapsed_ms <= 0.0 {
            return;
        }
        let sample = tokens as f64 / elapsed_ms;
        let faster = sample > self.tokens_per_ms;
        let weight = if faster { Self::FASTER_WEIGHT } else { Self::SLOWER_WEIGHT };
        self.tokens_per_ms += weight * (sample - self.tokens_per_ms);
    }

    /// Time to read so many tokens, milliseconds.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms.max(0.001)
    }

    fn backlog_ms(&self, runner: &Runner, now_us: u64) -> f64 {
        let others = runner.others(now_us) * self.mean_tokens;
        self.read_ms(runner.unread_tokens as f64 + others)
    }
}

/// Chooses how the prompt is read. `None` if no runner takes work.
pub fn plan_reading(fleet: &Fleet, pace: &ReadPace, demand: &Demand<'_>) -> Option<ReadingPlan> {
    let candidates = fleet.candidates(demand.service, demand.excluded, demand.now_us);
    let (readers, writers) = by_stage(&candidates);
    let direct = choose_writer_among(&writers, demand, None);
    let split = choose_reader(&readers, pace, demand);
    match (split, direct) {
        (Some((split, split_ms)), Some(direct)) => {
            let direct_ms = pace.read_ms(direct.unread_tokens as f64) / DECODE_READ_PACE;
            let small = direct.unread_tokens <= DIRECT_READ_LIMIT;
            if small && direct_ms < split_ms + HANDOVER_MS {
                Some(ReadingPlan::Direct(direct))
            } else {
                Some(ReadingPlan::Split(split))
            }
        }
        // Without a decode runner nobody can take the prompt over.
        (Some(_), None) | (None, None) => None,
        (None, Some(direct)) => Some(ReadingPlan::Direct(direct)),
    }
}

/// Chooses the decode runner that takes over a prompt that was read in the given zone.
pub fn choose_writer(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<Choice> {
    let candidates = fleet.candidates(demand.service, demand.excluded, demand.now_us);
    let (_, writers) = by_stage(&candidates);
    choose_writer_among(&writers, demand, source)
}

fn by_stage<'a>(candidates: &[&'a Runner]) -> (Vec<&'a Runner>, Vec<&'a Runner>) {
    candidates.iter().partition(|runner| runner.record.stage == Some(Stage::Prefill))
}

fn choose_reader(
    readers: &[&Runner],
    pace: &ReadPace,
    demand: &Demand<'_>,
) -> Option<(Choice, f64)> {
    let home = home_of(readers, demand.prompt);
    let cost = |runner: &Runner| {
        let unread = unread_tokens(runner, home, demand.prompt);
        let wait = pace.backlog_ms(runner, demand.now_us) + pace.read_ms(unread as f64);
        wait + distance_ms(runner, demand.zone)
    };
    let best = least(readers, cost)?;
    let unread_tokens = unread_tokens(best, home, demand.prompt);
    Some((Choice { runner: best.record.id.clone(), unread_tokens }, cost(best)))
}

fn choose_writer_among(
    writers: &[&Runner],
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<Choice> {
    let home = home_of(writers, demand.prompt);
    let near = source.unwrap_or(demand.zone);
    let cost = |runner: &Runner| {
        let occupancy = runner.occupancy(demand.now_us);
        let slots = f64::from(runner.record.slots.max(1));
        let full = if occupancy >= slots * DECODE_FULL { DECODE_FULL_MS } else { 0.0 };
        let unread = unread_tokens(runner, home, demand.prompt) as f64;
        let busy = occupancy * DECODE_BUSY_MS;
        busy + full + unread * DECODE_TOKEN_MS + distance_ms(runner, near)
    };
    let best = least(writers, cost)?;
    let unread_tokens = unread_tokens(best, home, demand.prompt);
    Some(Choice { runner: best.record.id.clone(), unread_tokens })
}

fn distance_ms(runner: &Runner, zone: &ZoneId) -> f64 {
    if runner.record.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_MS
    }
}

/// The runner at which all nodes gather requests with the prompt's shared parts.
fn home_of<'a>(runners: &[&'a Runner], prompt: &Prompt) -> Option<&'a RunnerId> {
    let key = prompt.affinity_key()?;
    let weight = |runner: &&&Runner| rendezvous_weight(&key, runner.record.id.as_str());
    runners.iter().max_by_key(weight).map(|runner| &runner.record.id)
}

/// Tokens that a runner would have to read. The home counts as holding the shared parts:
/// other nodes send their requests there.
fn unread_tokens(runner: &Runner, home: Option<&RunnerId>, prompt: &Prompt) -> u64 {
    let cached = if home == Some(&runner.record.id) {
        prompt.shared_tokens()
    } else {
        runner.cached_tokens(prompt)
    };
    prompt.tokens.saturating_sub(cached)
}

fn least<'a>(runners: &[&'a Runner], cost: impl Fn(&Runner) -> f64) -> Option<&'a Runner> {
    let costs = runners.iter().map(|runner| (cost(runner), *runner));
    costs.min_by(|(left, _), (right, _)| left.total_cmp(right)).map(|(_, runner)| runner)
}
