//! Assignment of runners to schedulers, and the messages that nodes exchange about placement for
//! services that run language models.
//!
//! The runners of a service are split into shards, first by region, and each shard has a scheduler:
//! the node of the region with the largest share of a processor. Rendezvous hashing decides among
//! equal nodes, so all nodes select the same one. A node that receives a request queries the
//! scheduler of the shard in its own region that contains the home of the prompt's shared prefix.
//! The scheduler receives the queries for all requests to its runners, so its information on their
//! load and caches is as old as one datagram, and its traffic grows with the number of requests,
//! not with the square of the number of nodes.
//!
//! All of this only ranks runners. Two schedulers for a shard, or none, lead to worse choices but
//! not to failures: a node that gets no reply in time chooses from its own information.

use crate::ids::{NodeId, RegionId, RunnerId, ServiceName, SoftwareVersion, ZoneId};
use crate::placement::RunnerChoice;
use crate::prefix::{rendezvous_weight, Prompt, PromptPart};
use crate::runner::{AttemptDemand, Runner};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of nodes for each shard. At this size, placing requests takes a scheduler about 1 % of a
/// core.
const NODES_PER_SHARD: usize = 40;

/// One of the shards of a region's runners.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The region of the shard.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// Number of the shard within the region, from 0.
    #[serde(rename = "n")]
    #[serde(deserialize_with = "crate::bounded::shards")]
    pub number: usize,
    /// Number of shards in the region.
    #[serde(rename = "of")]
    #[serde(deserialize_with = "crate::bounded::shards")]
    pub of: usize,
}

impl Shard {
    /// The number of shards of a region that has `nodes` nodes; at least 1.
    pub fn count(nodes: usize) -> usize {
        nodes.div_ceil(NODES_PER_SHARD).max(1)
    }

    /// All shards of a region that has `of` shards.
    pub fn all(region: RegionId, of: usize) -> impl Iterator<Item = Self> {
        (0..of).map(move |number| Self { region: region.clone(), number, of })
    }

    /// The shard of a runner whose region has `of` shards.
    pub fn of_runner(runner: &Runner, of: usize) -> Self {
        let number = Self::number_of(&runner.record.id, of);
        Self { region: runner.region.clone(), number, of }
    }

    fn number_of(runner: &RunnerId, of: usize) -> usize {
        // The weight is computed from the name: a restarted runner stays with its scheduler.
        let weight = rendezvous_weight("shard", runner.name().as_str());
        usize::try_from(weight % of.max(1) as u64).unwrap_or_default()
    }

    /// Whether the runner belongs to this shard.
    pub fn contains(&self, runner: &Runner) -> bool {
        runner.region == self.region && Self::number_of(&runner.record.id, self.of) == self.number
    }

    /// The preference for a node as the scheduler of this shard; the highest weight wins.
    pub fn weight(&self, node: &NodeId) -> u64 {
        rendezvous_weight(&format!("scheduler/{}", self.number), node.as_str())
    }
}

/// A prompt part on the wire: its identity and its number of tokens.
type WirePart = (u64, u64);

/// Asks a scheduler where a request is to be prefilled and decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementQuery {
    /// Identifies the request at the requesting node.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The request's id, for the logs.
    #[serde(rename = "d")]
    pub request: String,
    /// Address for the reply, since the query may have been forwarded.
    #[serde(rename = "a")]
    pub reply_to: SocketAddr,
    /// The shard whose runners are considered.
    #[serde(rename = "h")]
    pub shard: Shard,
    /// Whether another scheduler has forwarded the query, or has named the region of this one. Such
    /// a query is not forwarded again.
    #[serde(rename = "w")]
    pub is_forwarded: bool,
    /// The service of the request.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The parts of the prompt, in order.
    #[serde(rename = "p")]
    #[serde(deserialize_with = "crate::bounded::parts")]
    pub parts: Vec<WirePart>,
    /// Length of the prompt in tokens.
    #[serde(rename = "t")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub tokens: u64,
    /// Upper bound of the output, in tokens.
    #[serde(rename = "o")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub max_output_tokens: u64,
    /// Time within which the response is due, counted from the arrival of the request, in
    /// milliseconds.
    #[serde(rename = "g")]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub target_ms: u64,
    /// Time since the request arrived, in milliseconds.
    #[serde(rename = "e")]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub elapsed_ms: u64,
    /// Time until the request's deadline, in milliseconds.
    #[serde(rename = "l")]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub remaining_ms: u64,
    /// Zone of the requesting node.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Runners to which the request has already been sent.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<RunnerId>,
    /// Zones that the operators' policy allows; `None` allows all.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<ZoneId>>,
    /// The software version that has to run the request; `None` allows all.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Software versions that must not run the request.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded_versions: Vec<SoftwareVersion>,
}

impl PlacementQuery {
    /// The prompt described by the query.
    pub fn prompt(&self) -> Prompt {
        let part = |(id, tokens): &WirePart| PromptPart { id: *id, tokens: *tokens };
        Prompt {
            parts: self.parts.iter().map(part).collect(),
            tokens: self.tokens,
            max_output_tokens: self.max_output_tokens,
        }
    }
}

/// The wire format of a prompt's parts.
pub fn wire_parts(prompt: &Prompt) -> Vec<WirePart> {
    prompt.parts.iter().map(|part| (part.id, part.tokens)).collect()
}

/// Identifies a placed request across all restarts of the requesting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Random number of the requesting node's current incarnation.
    #[serde(rename = "f")]
    pub incarnation: u64,
    /// Sequence number of the query at that node.
    #[serde(rename = "k")]
    pub number: u64,
}

/// The wire format of a [`RunnerChoice`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireChoice {
    /// Incarnation of the chosen runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Prompt tokens to prefill that are not overdue.
    #[serde(rename = "u")]
    #[serde(deserialize_with = "crate::bounded::cost")]
    pub prefill_tokens: u64,
    /// Overdue prompt tokens, which are prefilled after all work that can still be in time.
    #[serde(rename = "l")]
    #[serde(deserialize_with = "crate::bounded::cost")]
    pub overdue_tokens: u64,
    /// KV cache that the request takes, in tokens.
    #[serde(rename = "k")]
    #[serde(deserialize_with = "crate::bounded::cost")]
    pub held_tokens: u64,
    /// The runner from which the chosen one fetches the shared prefix; `None` if it fetches
    /// nothing.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub fetch_from: Option<RunnerId>,
    /// Expected time until the prompt is prefilled, queueing included, in microseconds.
    #[serde(rename = "e")]
    #[serde(deserialize_with = "crate::bounded::time_us")]
    pub expected_prefill_us: u64,
    /// Expected duration of the prefill without queueing, in microseconds.
    #[serde(rename = "m")]
    #[serde(deserialize_with = "crate::bounded::time_us")]
    pub prefill_us: u64,
}

const MICROS_PER_MILLI: f64 = 1_000.0;

impl From<&RunnerChoice> for WireChoice {
    fn from(choice: &RunnerChoice) -> Self {
        Self {
            runner: choice.runner.clone(),
            prefill_tokens: choice.demand.prefill_tokens,
            overdue_tokens: choice.demand.overdue_tokens,
            held_tokens: choice.demand.held_tokens,
            fetch_from: choice.fetch_from.clone(),
            expected_prefill_us: choice.expected_prefill_us,
            prefill_us: (choice.prefill_ms * MICROS_PER_MILLI) as u64,
        }
    }
}

impl From<WireChoice> for RunnerChoice {
    fn from(wire: WireChoice) -> Self {
        Self {
            runner: wire.runner,
            demand: AttemptDemand {
                prefill_tokens: wire.prefill_tokens,
                overdue_tokens: wire.overdue_tokens,
                held_tokens: wire.held_tokens,
            },
            fetch_from: wire.fetch_from,
            expected_prefill_us: wire.expected_prefill_us,
            prefill_ms: wire.prefill_us as f64 / MICROS_PER_MILLI,
        }
    }
}

/// The runners that a scheduler assigns to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WirePlan {
    /// The first runner prefills, the second decodes.
    #[serde(rename = "s")]
    Split(WireChoice, WireChoice),
    /// One runner prefills and decodes.
    #[serde(rename = "d")]
    Direct(WireChoice),
}

/// Why a request is not placed in its own region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrossRegionReason {
    /// No runner of the region takes work.
    #[serde(rename = "n")]
    NoRunner,
    /// The request would wait much longer in the region.
    #[serde(rename = "w")]
    LongWait,
}

impl CrossRegionReason {
    /// The name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRunner => "no_runner",
            Self::LongWait => "long_wait",
        }
    }
}

/// Redirects a requesting node to the scheduler of another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteRegion {
    /// The region whose scheduler should be queried.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// Why the request should leave its own region.
    #[serde(rename = "w")]
    pub reason: CrossRegionReason,
}

/// A scheduler's reply to a [`PlacementQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// Ticket of the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The assigned runners; `None` if no runner takes work.
    #[serde(rename = "p")]
    pub plan: Option<WirePlan>,
    /// The region whose scheduler should be queried instead, in which case nothing has been
    /// reserved here; `None` if the request stays.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub remote_region: Option<RemoteRegion>,
}

/// The progress of a placed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The prompt was prefilled. Contains the time since the attempt was sent, in milliseconds.
    #[serde(rename = "r")]
    Prefilled(#[serde(deserialize_with = "crate::bounded::time_ms")] u64),
    /// A runner declined the request because it was full.
    #[serde(rename = "d")]
    Declined(RunnerId),
    /// A runner could not be reached.
    #[serde(rename = "u")]
    Unreachable(RunnerId),
    /// The request has ended or does not use the placement, so its reservation is released.
    #[serde(rename = "e")]
    Ended,
}

/// Reports the progress of a request to the scheduler that placed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressMessage {
    /// Ticket of the request.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// What happened to the request.
    #[serde(rename = "g")]
    pub progress: Progress,
}

fn is_zero<N: Default + PartialEq>(number: &N) -> bool {
    *number == N::default()
}

/// A scheduler's information on the load of one of its runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// Incarnation of the runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Number of requests in flight.
    #[serde(rename = "n")]
    #[serde(deserialize_with = "crate::bounded::runner_count")]
    pub in_flight: u32,
    /// Number of requests in flight whose prompt has not been prefilled yet, here or at the runner
    /// that prefills it for this one.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    #[serde(deserialize_with = "crate::bounded::runner_count")]
    pub pending_prefills: u32,
    /// Prompt tokens to prefill that are not overdue.
    #[serde(rename = "t")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub prefill_tokens: u64,
    /// Overdue prompt tokens, which are prefilled after all work that can still be in time.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub overdue_tokens: u64,
    /// KV cache that the requests take, in tokens.
    #[serde(rename = "k")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub held_tokens: u64,
    /// Rate at which the runner was recently asked to prefill, in prompt tokens per second.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub prefill_tokens_per_s: u64,
}

/// A scheduler's report of the loads in a shard. Runners without load are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLoads {
    /// The shard that is reported.
    #[serde(rename = "h")]
    pub shard: Shard,
    /// The loads of the shard's runners, without the runners that have none.
    #[serde(rename = "l")]
    pub loads: Vec<RunnerLoad>,
}
