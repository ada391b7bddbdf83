//! Messages between nodes. Each is one JSON line; any may be lost, late or doubled.

use crate::caller::{CallerEvent, CompletionRequest};
use crate::configuration::Document;
use crate::engine::{EngineReport, EngineStanding};
use crate::ids::{
    ClaimId, EngineId, Epoch, Incarnation, ModelName, NodeId, RequestId, Revision, ZoneId,
};
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver. A receiver drops what is meant for another
/// node: an address may have passed to a new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    #[serde(rename = "f")]
    pub from: NodeId,
    /// The sender's start.
    #[serde(rename = "fi")]
    pub from_incarnation: Incarnation,
    /// The receiver.
    #[serde(rename = "t")]
    pub to: NodeId,
    /// The receiver's start, as far as the sender knows it. Clock readings inside the message
    /// are those of this start.
    #[serde(rename = "ti", default, skip_serializing_if = "Option::is_none")]
    pub to_incarnation: Option<Incarnation>,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// Kinds of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum PeerMessage {
    /// Signs of life inside a zone.
    Heartbeat(Box<Heartbeat>),
    /// Summaries of zones, passed on between zones.
    Digest(Digest),
    /// Asks the node that carries its zone's digests for what it knows of other zones.
    PullDigest,
    /// Asks for the configuration if the receiver has a newer one.
    PullConfiguration {
        /// The revision the sender has.
        have: Revision,
    },
    /// The configuration.
    PushConfiguration(Box<Document>),
    /// Passes a caller's request to a node of another zone.
    Forward {
        /// The request.
        request: Box<CompletionRequest>,
        /// The sender's address. The receiver's membership list may not show the sender yet.
        reply_to: String,
    },
    /// The sender has these forwarded requests in work. Sent at once and then regularly, so
    /// that silence tells of a request, or of its node, that is lost.
    ForwardsInWork {
        /// The requests.
        requests: Vec<RequestId>,
    },
    /// An event of a forwarded request.
    Forwarded {
        /// The request.
        request: RequestId,
        /// Place of the event in the stream of this request, from zero.
        sequence: u64,
        /// The event.
        event: CallerEvent,
    },
    /// The caller of a forwarded request has left.
    CancelForward {
        /// The request.
        request: RequestId,
    },
    /// Asks what became of a claim.
    AskClaim {
        /// The claim.
        claim: ClaimId,
    },
    /// The answer.
    ClaimFate {
        /// The claim.
        claim: ClaimId,
        /// What became of it.
        fate: ClaimFate,
    },
}

/// Signs of life, with everything that the zone has to know of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// The sender's clock at sending, microseconds.
    #[serde(rename = "at")]
    pub sent_at_us: u64,
    /// The latest `sent_at_us` received from the receiver. It proves to the receiver that
    /// this message was sent after that instant of its own clock.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo_us: Option<u64>,
    /// The configuration revision the sender applies.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Microseconds since the instant at which the sender knows that `revision` was the
    /// latest committed one; absent: it never knew.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub verified_age_us: Option<u64>,
    /// Whether the sender takes no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// The epoch of the authority over the zone, if the sender holds it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub authority: Option<Epoch>,
    /// Fresh reports of the engines the sender watches over.
    #[serde(rename = "er", default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<SharedReport>,
    /// Engines that the sender saw listed as leaving: it may see the list when others do not.
    #[serde(rename = "le", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving_engines: Vec<EngineId>,
    /// Work that has come in at the sender since its start, by model.
    #[serde(rename = "aw", default, skip_serializing_if = "Vec::is_empty")]
    pub arrived: Vec<ArrivedWork>,
    /// Nodes of the zone that the sender suspects.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<NodeId>,
}

/// An engine's report on its way through the zone: what routing needs of it, under short
/// names, since every node sends the reports of its engines to every other one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedReport {
    /// Microseconds since the sender asked for the report.
    #[serde(rename = "a")]
    pub age_us: u64,
    /// The engine.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// Counts up with each report.
    #[serde(rename = "n")]
    pub report: u64,
    /// Role, model, state and fence.
    #[serde(rename = "s")]
    pub standing: EngineStanding,
    /// Sequences in the running batch.
    #[serde(rename = "r")]
    pub running: u32,
    /// Sequences that wait.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    #[serde(rename = "p")]
    pub waiting_prompt_tokens: u64,
    /// Prefix blocks lately added to the cache.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub cached_blocks: Vec<u64>,
}

impl SharedReport {
    /// What is shared of a report that was asked for `age_us` ago.
    pub fn of(report: &EngineReport, age_us: u64) -> Self {
        Self {
            age_us,
            engine: report.engine.clone(),
            report: report.report,
            standing: report.standing.clone(),
            running: report.running,
            waiting: report.waiting,
            waiting_prompt_tokens: report.waiting_prompt_tokens,
            cached_blocks: report.cached_blocks.clone(),
        }
    }

    /// The report of an engine of a zone. What was not shared is zero.
    pub fn into_report(self, zone: ZoneId) -> EngineReport {
        EngineReport {
            engine: self.engine,
            zone,
            report: self.report,
            standing: self.standing,
            running: self.running,
            waiting: self.waiting,
            waiting_prompt_tokens: self.waiting_prompt_tokens,
            waiting_output_tokens: 0,
            cache_used_permille: 0,
            accepted_total: 0,
            cached_blocks: self.cached_blocks,
        }
    }
}

/// Work that has come in since the start of a node. Totals, so that a lost message loses
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivedWork {
    /// The model.
    pub model: ModelName,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens, as far as can be expected.
    pub output_tokens: u64,
}

/// Summaries of zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's clock at sending, microseconds.
    pub sent_at_us: u64,
    /// As in [`Heartbeat::echo_us`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo_us: Option<u64>,
    /// The configuration revision the sender applies.
    pub revision: Revision,
    /// As in [`Heartbeat::verified_age_us`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verified_age_us: Option<u64>,
    /// The summaries that are newest at the sender.
    pub zones: Vec<ZoneSummary>,
}

/// What the other zones know of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneId,
    /// The node that made the summary.
    pub carrier: NodeId,
    /// Counts up with each summary of this carrier.
    pub sequence: u64,
    /// The lowest revision applied by a live node of the zone.
    pub lowest_revision: Revision,
    /// Live nodes of the zone.
    pub live_nodes: u32,
    /// Nodes that apply less than the carrier does; at most a few are named.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub behind: Vec<NodeId>,
    /// Free room by model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub capacity: Vec<ModelCapacity>,
}

/// Room for a model in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCapacity {
    /// The model.
    pub model: ModelName,
    /// Engines that are ready.
    pub engines: u32,
    /// Sequences running or waiting on them.
    pub sequences: u32,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fate")]
pub enum ClaimFate {
    /// It runs now.
    Running,
    /// It ended; the answer.
    Ended {
        /// The text.
        text: String,
        /// Token counts.
        usage: crate::caller::Usage,
    },
    /// It will never be dispatched.
    Abandoned,
    /// It ran and failed, or this node does not know it.
    Unknown,
}
