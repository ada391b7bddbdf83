//! Messages between nodes and engines.

use crate::ids::{AttemptNumber, EngineId, Epoch, ModelName, OrderSequence, RequestId, ZoneId};
use serde::{Deserialize, Serialize};

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and hands the KV cache on.
    Prefill,
    /// Writes outputs from a KV cache that another engine filled.
    Decode,
    /// Does both.
    Mixed,
}

impl EngineRole {
    /// Whether an engine of this role reads prompts.
    pub fn reads_prompts(self) -> bool {
        matches!(self, Self::Prefill | Self::Mixed)
    }

    /// Whether an engine of this role writes outputs.
    pub fn writes_outputs(self) -> bool {
        matches!(self, Self::Decode | Self::Mixed)
    }
}

/// The state an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Takes work.
    Ready,
    /// Changes its role or loads a model, and takes no work.
    Changing,
    /// Finishes its work and takes none.
    Leaving,
}

/// Place of an order in the total order of all orders to one engine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The term of the authority that gave the order.
    pub epoch: Epoch,
    /// The order's place within the term.
    pub sequence: OrderSequence,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Refuse every order below the token from now on, and say what you are doing.
    RaiseFence,
    /// Take this role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
    /// Load this model.
    LoadModel {
        /// The model.
        model: ModelName,
    },
    /// Finish the work in hand and take none.
    Drain,
}

/// A fenced order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleOrder {
    /// Place in the total order.
    pub token: FencingToken,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OrderReply {
    /// The order was taken now or had been taken before.
    Accepted {
        /// The engine's state after taking it.
        standing: EngineStanding,
    },
    /// A higher fence stands.
    Stale {
        /// The fence.
        fence: FencingToken,
    },
    /// A change is in flight; the order was not taken.
    Busy {
        /// The engine's state.
        standing: EngineStanding,
    },
}

/// What an engine is and which order it took last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineStanding {
    /// The role, or during a change the role before it.
    pub role: EngineRole,
    /// The model.
    pub model: ModelName,
    /// Whether it takes work.
    pub state: EngineState,
    /// The highest token seen.
    pub fence: FencingToken,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Counts up with each report; a gap means lost cache events.
    pub report: u64,
    /// Role, model, state and fence.
    pub standing: EngineStanding,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_prompt_tokens: u64,
    /// Output tokens still to write for all sequences, as far as limits tell.
    pub waiting_output_tokens: u64,
    /// Share of the KV cache in use, in thousandths.
    pub cache_used_permille: u16,
    /// Highest attempts served so far; used to correct a lagged report.
    pub accepted_total: u64,
    /// Prefix blocks lately added to the cache, by digest. Late and with gaps: a hint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cached_blocks: Vec<u64>,
}

/// Which part of the work an attempt asks an engine for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
pub enum Stage {
    /// Read the prompt and write the output.
    Full,
    /// Read the prompt and keep the KV cache for export under the request and attempt.
    Prefill,
    /// Import the KV cache from the engine that read the prompt, then write the output.
    Decode {
        /// The engine that holds the cache.
        source: EngineId,
        /// Its address.
        source_address: String,
        /// The attempt under which it was filled.
        source_attempt: AttemptNumber,
    },
}

/// An attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt; an engine never runs the same pair twice.
    pub attempt: AttemptNumber,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Most output tokens of the whole answer.
    pub max_tokens: u32,
    /// Text of the tokens that earlier attempts wrote, to go on from.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub written: String,
    /// How many tokens that text has.
    #[serde(default)]
    pub written_tokens: u32,
    /// Higher goes first.
    pub priority: i32,
    /// The part of the work.
    #[serde(flatten)]
    pub stage: Stage,
}

/// Names one attempt at an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// Asks for the pieces of an attempt from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The attempt.
    #[serde(flatten)]
    pub key: AttemptKey,
    /// First token wanted.
    pub offset: u32,
}

/// What an engine sends in a stream. Every event names its attempt, so that a crossed
/// stream is seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvent {
    /// The attempt.
    #[serde(flatten)]
    pub key: AttemptKey,
    /// What happened.
    #[serde(flatten)]
    pub kind: EngineEventKind,
}

/// Kinds of engine events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum EngineEventKind {
    /// Tokens of the answer.
    Tokens {
        /// Place of the first token in the whole answer.
        offset: u32,
        /// Number of tokens.
        count: u32,
        /// Their text.
        text: String,
    },
    /// The prompt is read and the cache can be fetched.
    Prefilled,
    /// The answer is whole.
    Finished {
        /// Prompt tokens read.
        prompt_tokens: u32,
        /// Tokens of the whole answer.
        total_tokens: u32,
    },
    /// The engine has not started the attempt and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// The engine gave the attempt up after starting it.
    Failed,
}

/// Why an engine refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A change is in flight.
    Changing,
    /// The engine is leaving.
    Leaving,
    /// The role does not do this stage.
    WrongRole,
    /// Another model is loaded.
    WrongModel,
    /// The queue is full.
    Full,
    /// The attempt was cancelled before it began.
    Cancelled,
    /// The attempt to resume is not known.
    UnknownAttempt,
    /// The KV cache to import is not there any more.
    CacheGone,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCall {
    /// Run an attempt; answered by a stream of events.
    Generate(Box<GenerateRequest>),
    /// Go on reading an attempt; answered by a stream of events.
    Resume(ResumeRequest),
    /// Give an attempt up if nobody reads it. Not answered.
    Cancel(AttemptKey),
    /// Report the load.
    Report,
    /// An order.
    Order(RoleOrder),
}

/// What comes of a call to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineInput {
    /// An event of a stream.
    Event(EngineEvent),
    /// The connection could not be made: the engine never saw the call.
    Unreachable,
    /// The call or stream broke off; the engine may have seen it.
    Broken,
    /// A report.
    Report(EngineReport),
    /// The answer to an order.
    Order(OrderReply),
}
