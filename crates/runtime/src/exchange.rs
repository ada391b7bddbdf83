//! One request on its way through a node.

use crate::io::CallId;
use pitchstall_coordination::claims::ClaimRecord;
use pitchstall_coordination::stream::StreamAssembler;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::{CompletionRequest, TextDigest};
use pitchstall_protocol::ids::{
    AttemptNumber, ClaimId, ConnectionId, EngineId, Incarnation, ModelName, NodeId, ZoneId,
};
use pitchstall_scheduling::queue::Entry;
use std::collections::BTreeSet;

/// Who gets the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller connected to this node.
    Connection(ConnectionId),
    /// A node that forwarded the request.
    Peer(NodeId),
    /// Nobody any more; the answer is kept for a replay.
    Nobody,
}

/// Where the request stands.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Its idempotency key is being claimed.
    Claiming(ClaimId),
    /// The node of another claim on the key is asked what became of it.
    Asking {
        /// The other claim.
        record: ClaimRecord,
        /// The store's revision of it.
        mod_revision: u64,
        /// When the question was sent.
        since: Timestamp,
    },
    /// It waits for an engine.
    Queued(Entry),
    /// A prefill engine reads the prompt.
    Reading {
        /// The engine that reads.
        prefill: EngineId,
        /// The engine that will write.
        decode: EngineId,
        /// The stream.
        call: CallId,
    },
    /// An engine writes the answer.
    Writing {
        /// The engine.
        engine: EngineId,
        /// The stream.
        call: CallId,
    },
    /// A node of another zone has it.
    Forwarded {
        /// The node.
        node: NodeId,
        /// The message by which it was forwarded.
        call: CallId,
        /// Place of the next event.
        next_sequence: u64,
        /// Whether the node said that it has the request.
        taken: bool,
    },
}

/// An answer that is made anew for a caller that holds a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// Tokens that the caller holds.
    pub tokens: u32,
    /// Digest of their text.
    pub digest: TextDigest,
}

/// An engine that is not tried for a while. Not for good: where engines are few, the one that
/// refused during its role change may soon be the only one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exclusion {
    /// The engine.
    pub engine: EngineId,
    /// Until when.
    pub until: Timestamp,
}

/// A request in work.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request.
    pub request: CompletionRequest,
    /// Who gets the answer.
    pub origin: Origin,
    /// The model that serves it.
    pub model: ModelName,
    /// Whether it may run again after a failure.
    pub repeatable: bool,
    /// Higher goes first.
    pub priority: i32,
    /// Zones in which it may run, after the policy program.
    pub zones: BTreeSet<ZoneId>,
    /// Digests of the prompt's prefix blocks.
    pub blocks: Vec<u64>,
    /// When it came in.
    pub arrived: Timestamp,
    /// When its answer must be whole.
    pub deadline: Timestamp,
    /// The answer so far.
    pub answer: StreamAssembler,
    /// Where it stands.
    pub stage: Stage,
    /// Attempts made.
    pub attempts: u32,
    /// Breaks of the present attempt's stream.
    pub resumes: u32,
    /// Engines not to be tried for now.
    pub excluded: Vec<Exclusion>,
    /// Nodes of other zones not to be tried again.
    pub excluded_nodes: Vec<NodeId>,
    /// What was handed on so far: every further piece must follow from it.
    pub delivered: HeldPart,
    /// Whether an engine may have started it. Decides what a failure says of execution.
    pub may_have_started: bool,
    /// Whether an attempt before the present one may have written.
    pub ran_before: bool,
    /// Whether an engine may have read the prompt. That has no effect outside the engine, so
    /// it does not forbid another attempt; but it is not "not run".
    pub read_before: bool,
    /// Key of its claim at the store.
    pub claim_key: Option<String>,
    /// When anything was last heard of the present attempt.
    pub last_progress: Timestamp,
    /// What the caller held before, if the answer is made anew.
    pub held: Option<HeldPart>,
    /// Place of the next event to a node that forwarded the request.
    pub events_sent: u64,
    /// When the caller's connection broke.
    pub caller_gone: Option<Timestamp>,
    /// Output tokens that are expected.
    pub expected_output: u64,
}

impl Exchange {
    /// Keeps an engine from being tried until an instant.
    pub fn exclude(&mut self, engine: Option<EngineId>, until: Timestamp) {
        self.excluded.extend(engine.map(|engine| Exclusion { engine, until }));
    }

    /// Engines that are not tried now.
    pub fn excluded_at(&self, now: Timestamp) -> Vec<EngineId> {
        let present = self.excluded.iter().filter(|exclusion| exclusion.until > now);
        present.map(|exclusion| exclusion.engine.clone()).collect()
    }

    /// Tokens it counts for in queues and limits.
    pub fn tokens(&self) -> u64 {
        u64::from(self.request.estimated_prompt_tokens()) + self.expected_output
    }

    /// Prompt tokens that an engine has to read, with those written before.
    pub fn prompt_tokens(&self) -> u64 {
        u64::from(self.request.estimated_prompt_tokens()) + u64::from(self.answer.tokens())
    }

    /// The attempt numbers of a node start here: they differ between nodes.
    pub fn attempt_base(node: &NodeId, incarnation: Incarnation) -> AttemptNumber {
        const COUNTER_BITS: u32 = 16;
        const NODE_BITS: u64 = (1 << 32) - 1;
        let node_part =
            pitchstall_coordination::placement::stable_hash(&(node, incarnation)) & NODE_BITS;
        AttemptNumber(node_part << COUNTER_BITS)
    }
}
