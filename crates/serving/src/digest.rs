//! What nodes tell each other about runners, so that each sees the load and the caches that
//! all of them make.
//!
//! A digest holds a node's whole load, not changes, so a lost or doubled one does no harm; one
//! that arrives late is told by its sequence. Only a word in haste is partial, to be small: it
//! goes to all nodes at once. Prefixes are repeated for the same reason. All
//! of it only ranks runners: whether a runner may get work is decided by the store alone.

use crate::fleet::Stage;
use crate::freshness::StoreWord;
use crate::ids::{NodeId, RunnerId};
use crate::membership::Member;
use crate::prefix::PromptPart;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// What a node has at a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Attempts in flight.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Prompt tokens that the runner has yet to read for the node.
    #[serde(rename = "t")]
    pub unread_tokens: u64,
    /// Tokens of KV cache that the attempts take.
    #[serde(rename = "k", default)]
    pub held_tokens: u64,
}

/// A runner holds parts of prompts in its KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixRead {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// The parts, in the order of the prompt.
    #[serde(rename = "p")]
    pub parts: Vec<PromptPart>,
}

/// A runner was ordered to change its role. The word grows old on its way from node to node:
/// told again it ends when it would have ended, and not later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangingRunner {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Its new role. A runner that has it already is not changing.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Milliseconds for which it is still to be left alone.
    #[serde(rename = "l")]
    pub left_ms: u64,
}

/// One node's word to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The node.
    pub node: NodeId,
    /// This start of the node, drawn at random: the time of day may jump back.
    pub incarnation: u64,
    /// Counts the node's digests.
    pub sequence: u64,
    /// Whether the node knows what runners have held since before it started: it has asked
    /// them, or was told by a node that knew.
    #[serde(default)]
    pub informed: bool,
    /// What the node tells of itself.
    pub member: Member,
    /// How fresh the node's copy of the store is.
    #[serde(default)]
    pub store: StoreWord,
    /// Whether `loads` leaves out runners at which the node has requests too: a word in haste.
    #[serde(default)]
    pub partial: bool,
    /// Where the node has requests.
    #[serde(default)]
    pub loads: Vec<RunnerLoad>,
    /// Runners that were ordered to change their role and take no work meanwhile.
    #[serde(default)]
    pub changing: Vec<ChangingRunner>,
    /// Prefixes that were read lately, or, for a newcomer, all that are known.
    #[serde(default)]
    pub read: Vec<PrefixRead>,
}

/// How fresh a digest is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// From a start of a node that was not known.
    Newcomer,
    /// Later than all before.
    Newer,
    /// Overtaken by a later one.
    Stale,
}

/// The last digest of each node.
#[derive(Clone, Debug, Default)]
pub struct DigestOrder {
    last: HashMap<NodeId, (u64, u64)>,
}

impl DigestOrder {
    /// Notes a digest and tells how fresh it is.
    pub fn on_digest(&mut self, digest: &Digest) -> Freshness {
        let now = (digest.incarnation, digest.sequence);
        match self.last.insert(digest.node.clone(), now) {
            Some((incarnation, last)) if incarnation == digest.incarnation => {
                if digest.sequence > last {
                    return Freshness::Newer;
                }
                self.last.insert(digest.node.clone(), (incarnation, last));
                Freshness::Stale
            }
            _ => Freshness::Newcomer,
        }
    }
}

/// Prefixes that are still to be told to the other nodes.
#[derive(Clone, Debug, Default)]
pub struct ReadLog {
    entries: Vec<(PrefixRead, u32)>,
}

/// Nodes that one digest goes to; with more of them they take turns.
pub const FAN_OUT: usize = 16;
/// Most prefixes in one digest.
const MOST_READS: usize = 32;

/// Shortest time between two digests of a node. A word on load is worth little when it is older
/// than a reading takes: until they hear of it, all nodes send to the runner that was idle.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(40);
/// Bytes of digests that a node sends in a second at most.
const BYTES_A_SECOND: usize = 150_000;

/// Time until the next digest, if the last one had so many bytes and went to so many nodes.
pub fn digest_interval(receivers: usize, bytes: usize) -> Duration {
    let sent = (receivers * bytes) as f64;
    SHORTEST_INTERVAL.max(Duration::from_secs_f64(sent / BYTES_A_SECOND as f64))
}

/// How often a prefix that a runner newly holds is told, so that all nodes hear of it: once in
/// each turn, and once more, for a digest may be lost.
pub fn tellings_of_news(nodes: usize) -> u32 {
    let turns = nodes.saturating_sub(1).div_ceil(FAN_OUT);
    u32::try_from(turns + 1).unwrap_or(u32::MAX)
}

impl ReadLog {
    /// A prefix was read through this node; it is to be told so often.
    pub fn push(&mut self, read: PrefixRead, tellings: u32) {
        self.entries.push((read, tellings));
    }

    /// Whether there is anything to tell.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The prefixes for the next digest.
    pub fn take_next(&mut self) -> Vec<PrefixRead> {
        let told = self.entries.iter().take(MOST_READS).map(|(read, _)| read.clone()).collect();
        for (_, tellings) in self.entries.iter_mut().take(MOST_READS) {
            *tellings = tellings.saturating_sub(1);
        }
        self.entries.retain(|(_, tellings)| *tellings > 0);
        told
    }
}
