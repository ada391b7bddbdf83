//! Which engine serves a request: the plan with the earliest expected first token.
//!
//! A plan is either one engine that reads the prompt and writes the output, or a prefill
//! engine followed by a decode engine, with the time to move the KV cache between them.
//! Each plan's cost is an estimate from the corrected load ([`crate::load`]); engines that
//! hold a prefix of the prompt need less time to read it, so requests with a common prefix
//! gather on an engine until its queue costs more than reading the prefix again.

use crate::load::EngineLoad;
use pitchstall_protocol::configuration::EngineSpeed;
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{EngineId, ModelName};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Prompt tokens in one cached block, as the engines hold them.
pub const BLOCK_TOKENS: usize = 2_000;
const BYTES_PER_TOKEN: usize = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingConfig {
    /// An engine without a report for this long gets no new work, microseconds.
    pub silent_after_us: u64,
    /// Whether cached prefixes count.
    pub prefix_affinity: bool,
    /// Whether what the node itself has sent corrects the reports.
    pub correct_lag: bool,
    /// Weight of the slowing of running sequences, in thousandths of their added time.
    pub interference_permille: u64,
    /// Most sequences beyond the batch that may wait at an engine.
    pub engine_queue: u64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            silent_after_us: 2_000_000,
            prefix_affinity: true,
            correct_lag: true,
            interference_permille: 1_000,
            engine_queue: 4,
        }
    }
}

/// The part of a request that matters for its place.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// Prompt tokens, with tokens already written by earlier attempts.
    pub prompt_tokens: u64,
    /// Output tokens still wanted.
    pub output_tokens: u64,
    /// Digests of the prompt's prefix blocks, shortest prefix first.
    pub blocks: &'a [u64],
    /// Bytes of KV cache for one token.
    pub kv_bytes_per_token: u64,
    /// Speed of an engine.
    pub speed: EngineSpeed,
}

/// Where a request should go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// One engine does all.
    Full(EngineId),
    /// One engine reads the prompt, another writes the output.
    Split {
        /// Reads.
        prefill: EngineId,
        /// Writes.
        decode: EngineId,
    },
}

/// A plan with its estimate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The plan.
    pub plan: Plan,
    /// Expected time to the first token, microseconds.
    pub first_token_us: u64,
}

/// Which engines hold which prefix blocks. A hint: engines drop blocks without a word.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    holders: HashMap<u64, EngineId>,
    order: VecDeque<u64>,
}

const PREFIX_MAP_LIMIT: usize = 16_384;

impl PrefixMap {
    /// An engine holds a block.
    pub fn on_block(&mut self, block: u64, engine: &EngineId) {
        if self.holders.insert(block, engine.clone()).is_none() {
            self.order.push_back(block);
        }
        while self.order.len() > PREFIX_MAP_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Prompt tokens of a prompt that an engine holds.
    pub fn cached_tokens(&self, blocks: &[u64], engine: &EngineId) -> u64 {
        let held = blocks.iter().take_while(|block| self.holders.get(block) == Some(engine));
        (held.count() * BLOCK_TOKENS) as u64
    }
}

/// Digests of the prefixes of a prompt that fill whole blocks, shortest first.
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let bytes_per_block = BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut digest = pitchstall_protocol::caller::TextDigest::default().0;
    let whole = prompt.as_bytes().chunks_exact(bytes_per_block);
    whole
        .map(|block| {
            digest = block.iter().fold(digest, |state, byte| {
                (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
            });
            digest
        })
        .collect()
}

/// Chooses the plan with the lowest cost; `None` if no engine has room.
pub fn choose(
    config: &RoutingConfig,
    now_us: u64,
    engines: &BTreeMap<EngineId, EngineLoad>,
    prefixes: &PrefixMap,
    demand: &Demand<'_>,
    excluded: &[EngineId],
) -> Option<Choice> {
    let estimator = Estimator { config, prefixes, demand };
    let usable = || engines.values().filter(|load| estimator.is_usable(load, now_us, excluded));
    let full = usable()
        .filter(|load| load.report.standing.role == EngineRole::Mixed)
        .map(|load| (estimator.full(load), Plan::Full(load.engine().clone())));
    let prefill = usable()
        .filter(|load| load.report.standing.role == EngineRole::Prefill)
        .min_by_key(|load| estimator.read_us(load));
    let decode = usable()
        .filter(|load| load.report.standing.role.writes_outputs())
        .min_by_key(|load| estimator.write_cost_us(load));
    let split = prefill.zip(decode).map(|(prefill, decode)| {
        let plan =
            Plan::Split { prefill: prefill.engine().clone(), decode: decode.engine().clone() };
        (estimator.split(prefill, decode), plan)
    });
    full.chain(split)
        .min_by(|(left, _), (right, _)| left.cost_us.cmp(&right.cost_us))
        .map(|(estimate, plan)| Choice { plan, first_token_us: estimate.first_token_us })
}

/// Chooses the engine that writes an answer whose prompt another engine has read.
pub fn choose_writer(
    config: &RoutingConfig,
    now_us: u64,
    engines: &BTreeMap<EngineId, EngineLoad>,
    prefixes: &PrefixMap,
    demand: &Demand<'_>,
    excluded: &[EngineId],
) -> Option<EngineId> {
    let estimator = Estimator { config, prefixes, demand };
    engines
        .values()
        .filter(|load| estimator.is_usable(load, now_us, excluded))
        .filter(|load| load.report.standing.role.writes_outputs())
        .min_by_key(|load| estimator.write_cost_us(load))
        .map(|load| load.engine().clone())
}

struct Estimate {
    first_token_us: u64,
    cost_us: u64,
}

struct Estimator<'a> {
    config: &'a RoutingConfig,
    prefixes: &'a PrefixMap,
    demand: &'a Demand<'a>,
}

impl Estimator<'_> {
    fn sequences(&self, load: &EngineLoad) -> u64 {
        if self.config.correct_lag {
            load.sequences()
        } else {
            u64::from(load.report.running) + u64::from(load.report.waiting)
        }
    }

    fn is_usable(&self, load: &EngineLoad, now_us: u64, excluded: &[EngineId]) -> bool {
        load.takes_work(now_us, self.config.silent_after_us)
            && load.report.standing.model == *self.demand.model
            && !excluded.contains(load.engine())
            && self.has_room(load)
    }

    fn has_room(&self, load: &EngineLoad) -> bool {
        let limit = u64::from(self.demand.speed.max_sequences) + self.config.engine_queue;
        self.sequences(load) < limit
    }

    /// Time until the prompt is read.
    fn read_us(&self, load: &EngineLoad) -> u64 {
        let ahead = if self.config.correct_lag {
            load.prompt_tokens_ahead()
        } else {
            load.report.waiting_prompt_tokens
        };
        let cached = if self.config.prefix_affinity {
            self.prefixes.cached_tokens(self.demand.blocks, load.engine())
        } else {
            0
        };
        let own = self.demand.prompt_tokens.saturating_sub(cached);
        let speed = self.demand.speed.prompt_tokens_per_second.max(1);
        (ahead + own) * MICROS_PER_SECOND / speed
    }

    /// Time until the engine's next step, and a share of a step for a full batch.
    fn step_us(&self, load: &EngineLoad) -> u64 {
        let speed = &self.demand.speed;
        speed.step_base_us + speed.step_per_sequence_us * self.sequences(load)
    }

    /// What one more sequence costs itself and the others over its whole output.
    fn write_cost_us(&self, load: &EngineLoad) -> u64 {
        let added = self.demand.speed.step_per_sequence_us * self.demand.output_tokens;
        let batch_share =
            self.sequences(load) * added / u64::from(self.demand.speed.max_sequences).max(1);
        self.step_us(load)
            + batch_share * self.config.interference_permille / 1_000
            + self.overflow_us(load)
    }

    /// Wait for a place in a batch that is full.
    fn overflow_us(&self, load: &EngineLoad) -> u64 {
        let places = u64::from(self.demand.speed.max_sequences);
        let waiting = (self.sequences(load) + 1).saturating_sub(places);
        const MEAN_OUTPUT_TOKENS: u64 = 100;
        waiting * MEAN_OUTPUT_TOKENS * self.step_us(load) / places.max(1)
    }

    fn full(&self, load: &EngineLoad) -> Estimate {
        let first_token_us = self.read_us(load) + self.step_us(load) + self.overflow_us(load);
        // Reading a prompt in the same batch holds up all sequences that are written there.
        let held_up = self.sequences(load).min(u64::from(self.demand.speed.max_sequences));
        let speed = self.demand.speed.prompt_tokens_per_second.max(1);
        let read_us = self.demand.prompt_tokens * MICROS_PER_SECOND / speed;
        let interference = held_up * read_us / u64::from(self.demand.speed.max_sequences).max(1);
        let interference = interference * self.config.interference_permille / 1_000;
        let cost_us = self.read_us(load) + self.write_cost_us(load) + interference;
        Estimate { first_token_us, cost_us }
    }

    fn split(&self, prefill: &EngineLoad, decode: &EngineLoad) -> Estimate {
        let bytes = self.demand.prompt_tokens * self.demand.kv_bytes_per_token;
        let transfer_speed = self.demand.speed.cache_transfer_bytes_per_second.max(1);
        let transfer_us = bytes.saturating_mul(MICROS_PER_SECOND) / transfer_speed;
        let read_us = self.read_us(prefill);
        let first_token_us =
            read_us + transfer_us + self.step_us(decode) + self.overflow_us(decode);
        let cost_us = read_us + transfer_us + self.write_cost_us(decode);
        Estimate { first_token_us, cost_us }
    }
}
