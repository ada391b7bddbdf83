//! Which node places the requests of a service of language models, and what nodes say to it.
//!
//! The runners of a service are split into shards, by region first, and each shard has a scheduler:
//! the node of the region that all nodes find by rendezvous hashing, strong machines first. A node
//! that has taken a request asks the scheduler of the shard of its own region in which the
//! prompt's shared parts have their home. The scheduler sees all requests to its runners, so it knows their load and caches to within the
//! age of a datagram, and what it is told grows with requests, not with nodes squared.
//!
//! All of it only ranks runners. Two schedulers of a shard, or none, cost a worse choice: a node
//! that gets no answer soon chooses by what it knows itself.

use crate::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use crate::placement::Choice;
use crate::prefix::{rendezvous_weight, Prompt, PromptPart};
use crate::runner::{AttemptDemand, Runner};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Nodes for which there is one shard, so that placing for them takes a scheduler about 1 % of a core.
const NODES_A_SHARD: usize = 40;

/// One of the shards of a region's runners.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The region.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// Its number among the region's shards.
    #[serde(rename = "n")]
    pub number: usize,
    /// How many the region has.
    #[serde(rename = "of")]
    pub of: usize,
}

impl Shard {
    /// How many shards a region of so many nodes has.
    pub fn count(nodes: usize) -> usize {
        nodes.div_ceil(NODES_A_SHARD).max(1)
    }

    /// All shards of a region.
    pub fn all(region: RegionId, of: usize) -> impl Iterator<Item = Self> {
        (0..of).map(move |number| Self { region: region.clone(), number, of })
    }

    /// The shard of a runner, where its region has so many.
    pub fn of_runner(runner: &Runner, of: usize) -> Self {
        let number = Self::number_of(&runner.record.id, of);
        Self { region: runner.region.clone(), number, of }
    }

    fn number_of(runner: &RunnerId, of: usize) -> usize {
        // By name: a runner that starts again stays with its scheduler.
        let weight = rendezvous_weight("shard", runner.name().as_str());
        usize::try_from(weight % of.max(1) as u64).unwrap_or_default()
    }

    /// Whether a runner belongs to it.
    pub fn has(&self, runner: &Runner) -> bool {
        runner.region == self.region && Self::number_of(&runner.record.id, self.of) == self.number
    }

    /// How much a node is preferred as its scheduler.
    pub fn weight(&self, node: &NodeId) -> u64 {
        rendezvous_weight(&format!("scheduler/{}", self.number), node.as_str())
    }
}

/// A part of a prompt as it is told: its identity and its tokens.
type ToldPart = (u64, u64);

/// A node asks where a request is to be read and written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementQuestion {
    /// Identifies the request at the asking node.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The request's id, for the logs.
    #[serde(rename = "d")]
    pub request: String,
    /// Where the answer goes: the question may have been handed on.
    #[serde(rename = "a")]
    pub answer_to: SocketAddr,
    /// The shard whose runners are asked for.
    #[serde(rename = "h")]
    pub shard: Shard,
    /// Whether another scheduler has handed it on, or has named this one's region: it is not handed
    /// on again.
    #[serde(rename = "w")]
    pub handed_on: bool,
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The prompt's parts.
    #[serde(rename = "p")]
    pub parts: Vec<ToldPart>,
    /// Tokens in.
    #[serde(rename = "t")]
    pub tokens: u64,
    /// Most tokens out.
    #[serde(rename = "o")]
    pub max_output_tokens: u64,
    /// Time within which the answer is due, counted from when the request came, milliseconds.
    #[serde(rename = "g")]
    pub target_ms: u64,
    /// Time since the request came, milliseconds.
    #[serde(rename = "e")]
    pub elapsed_ms: u64,
    /// Time until the request's deadline, milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// Zone of the asking node.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Runners that have had the request already.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<RunnerId>,
    /// Zones that the operators' policy leaves; `None`: all.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<ZoneId>>,
}

impl PlacementQuestion {
    /// The prompt.
    pub fn prompt(&self) -> Prompt {
        let part = |(id, tokens): &ToldPart| PromptPart { id: *id, tokens: *tokens };
        Prompt {
            parts: self.parts.iter().map(part).collect(),
            tokens: self.tokens,
            max_output_tokens: self.max_output_tokens,
        }
    }
}

/// The parts of a prompt as they are told.
pub fn told_parts(prompt: &Prompt) -> Vec<ToldPart> {
    prompt.parts.iter().map(|part| (part.id, part.tokens)).collect()
}

/// Identifies a request that was placed for a node, over all starts of that node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// This start of the node that asked, drawn at random.
    #[serde(rename = "f")]
    pub incarnation: u64,
    /// Counts the node's questions.
    #[serde(rename = "k")]
    pub number: u64,
}

/// A runner that a scheduler has chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldChoice {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Prompt tokens to read.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
    /// Prompt tokens to read after all that can still be in time.
    #[serde(rename = "l")]
    pub late_tokens: u64,
    /// Tokens of KV cache.
    #[serde(rename = "k")]
    pub held_tokens: u64,
    /// The runner from which it takes over shared parts.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<RunnerId>,
    /// Time until the prompt should have been read, microseconds.
    #[serde(rename = "e")]
    pub expected_us: u64,
    /// Time that reading takes without any wait, microseconds.
    #[serde(rename = "m")]
    pub reading_us: u64,
}

const MICROS_PER_MILLI: f64 = 1_000.0;

impl From<&Choice> for ToldChoice {
    fn from(choice: &Choice) -> Self {
        Self {
            runner: choice.runner.clone(),
            unread_tokens: choice.demand.prefill_tokens,
            late_tokens: choice.demand.overdue_tokens,
            held_tokens: choice.demand.held_tokens,
            fetch_from: choice.fetch_from.clone(),
            expected_us: choice.expected_us,
            reading_us: (choice.reading_ms * MICROS_PER_MILLI) as u64,
        }
    }
}

impl From<ToldChoice> for Choice {
    fn from(told: ToldChoice) -> Self {
        Self {
            runner: told.runner,
            demand: AttemptDemand {
                prefill_tokens: told.unread_tokens,
                overdue_tokens: told.late_tokens,
                held_tokens: told.held_tokens,
            },
            fetch_from: told.fetch_from,
            expected_us: told.expected_us,
            reading_ms: told.reading_us as f64 / MICROS_PER_MILLI,
        }
    }
}

/// Where a request is to be read and written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToldPlan {
    /// The first reads, the second writes.
    #[serde(rename = "s")]
    Split(ToldChoice, ToldChoice),
    /// One does both.
    #[serde(rename = "d")]
    Direct(ToldChoice),
}

/// Why a request is not placed in its own region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeavingReason {
    /// No runner there takes work.
    #[serde(rename = "n")]
    NoRunner,
    /// It would wait there for much longer.
    #[serde(rename = "w")]
    LongWait,
}

impl LeavingReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRunner => "no_runner",
            Self::LongWait => "long_wait",
        }
    }
}

/// Another region's scheduler is to be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The region.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// Why.
    #[serde(rename = "w")]
    pub reason: LeavingReason,
}

/// A scheduler's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The request.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// Where it is to run; `None`: no runner takes work.
    #[serde(rename = "p")]
    pub plan: Option<ToldPlan>,
    /// Who is to be asked instead; then nothing has been set aside here.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub elsewhere: Option<Elsewhere>,
}

/// What became of a request that was placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its prompt has been read, so many milliseconds after it was sent.
    #[serde(rename = "r")]
    Read(u64),
    /// A runner declined it as full.
    #[serde(rename = "d")]
    Declined(RunnerId),
    /// A runner could not be reached.
    #[serde(rename = "u")]
    Unreachable(RunnerId),
    /// It is over.
    #[serde(rename = "e")]
    Ended,
}

/// A node tells a scheduler what became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressWord {
    /// The request.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// What became of it.
    #[serde(rename = "g")]
    pub progress: Progress,
}

fn is_zero<N: Default + PartialEq>(number: &N) -> bool {
    *number == N::default()
}

/// What a scheduler knows of the load at one of its runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Requests.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Requests among them whose prompt has not been read, here or at the runner that reads it
    /// for this one.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub unread_requests: u32,
    /// Prompt tokens to read.
    #[serde(rename = "t")]
    pub unread_tokens: u64,
    /// Prompt tokens to read after all that can still be in time.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub late_tokens: u64,
    /// Tokens of KV cache that the requests take.
    #[serde(rename = "k")]
    pub held_tokens: u64,
    /// Prompt tokens a second that it is asked to read, lately.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub asked_a_second: u64,
}

/// A scheduler's word on the runners of a shard. It leaves out those without load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLoads {
    /// The shard.
    #[serde(rename = "h")]
    pub shard: Shard,
    /// The loads.
    #[serde(rename = "l")]
    pub loads: Vec<RunnerLoad>,
}
