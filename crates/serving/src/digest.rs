//! The digest that every node sends to others periodically: that it is running, how fresh its
//! replica of the store is, which runners are changing their role, and its wall clock.
//!
//! A digest holds the whole state, not changes, so a lost or duplicated one does no harm; a digest
//! that arrives late is recognized by its sequence number. Loads and caches of runners are not part
//! of it: the runners' schedulers know them ([`crate::scheduling`]).

use crate::freshness::StoreFreshnessReport;
use crate::ids::{NodeId, RunnerId};
use crate::membership::Member;
use crate::quota_slots::KeeperId;
use crate::runner::Stage;
use crate::runner_limit::LimitMessage;
use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashMap;

/// A runner that was ordered to change its role. The remaining time shrinks as the report passes
/// from node to node, so a repeated report does not prolong the transition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleTransition {
    /// Incarnation of the runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// The new role. A runner that already has it is not in transition.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Time for which the runner still gets no new work unless it takes the role earlier, in
    /// milliseconds.
    #[serde(rename = "l")]
    #[serde(deserialize_with = "remaining_ms")]
    pub remaining_ms: u64,
}

/// Upper bound of the time for which a report keeps work from a runner, in milliseconds. Orders allow some seconds.
const MAX_ROLE_TRANSITION_MS: u64 = 60_000;

fn remaining_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|remaining_ms| remaining_ms.min(MAX_ROLE_TRANSITION_MS))
}

/// A keeper of tenants' limits that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldKeeper {
    /// Identity of the keeper.
    #[serde(rename = "k")]
    pub keeper: KeeperId,
    /// Revision of the store at which the node took the keeper.
    #[serde(rename = "r")]
    revision: RevisionNumber,
    /// Era of that revision. Builds without support for eras leave it out.
    #[serde(rename = "e", default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
}

impl HeldKeeper {
    /// A keeper that a node took at `revision`.
    pub fn new(keeper: KeeperId, revision: StoreRevision) -> Self {
        Self { keeper, revision: revision.number(), era: revision.era() }
    }

    /// Revision of the store at which the node took the keeper; `eras` resolves an era that was
    /// left out.
    pub fn revision(&self, eras: &StoreEras) -> StoreRevision {
        StoreRevision::new(eras.resolve_reported(self.era), self.revision)
    }
}

/// A node's report of its state to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The node that sends the digest.
    pub node: NodeId,
    /// Random number of this start of the node. The time of day would not do, since it may jump
    /// back.
    pub incarnation: u64,
    /// Number of the digest, counted within the incarnation.
    pub sequence: u64,
    /// What the node reports about itself.
    pub member: Member,
    /// How fresh the node's replica of the store is.
    #[serde(default)]
    pub store: StoreFreshnessReport,
    /// Runners that were ordered to change their role and receive no work meanwhile.
    #[serde(default)]
    pub changing: Vec<RoleTransition>,
    /// The keepers of tenants' limits that the node holds.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub held_keepers: Vec<HeldKeeper>,
    /// Limits of runners that apply to all nodes together and that this node enforces as their
    /// keeper.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitMessage>,
    /// Whether a planned stop of the node has begun, after which it no longer acts as a keeper of
    /// runners' limits.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stopping: bool,
    /// Wall clock of the machine, in milliseconds since 1970.
    #[serde(default)]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub wall_ms: u64,
}

/// How a digest relates to earlier ones of the same node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestStatus {
    /// The first digest of a start of a node.
    NewIncarnation,
    /// Later than all earlier digests.
    Newer,
    /// Overtaken by a later digest.
    Stale,
}

/// The latest digest of each node.
#[derive(Clone, Debug, Default)]
pub struct DigestTracker {
    last: HashMap<NodeId, (u64, u64)>,
}

impl DigestTracker {
    /// Records a digest and returns how it relates to earlier ones.
    pub fn on_digest(&mut self, digest: &Digest) -> DigestStatus {
        let newest = (digest.incarnation, digest.sequence);
        match self.last.insert(digest.node.clone(), newest) {
            Some((incarnation, last)) if incarnation == digest.incarnation => {
                if digest.sequence > last {
                    return DigestStatus::Newer;
                }
                self.last.insert(digest.node.clone(), (incarnation, last));
                DigestStatus::Stale
            }
            _ => DigestStatus::NewIncarnation,
        }
    }
}

/// Maximum number of nodes that receive one digest. In a larger fleet, digests rotate over the
/// nodes.
pub const DIGEST_FAN_OUT: usize = 16;
/// Number of these receivers that are in other regions, if there are such nodes. At one digest a
/// second, each of 60 remote nodes receives one twice a minute; the lists of members that nodes
/// exchange show the rest.
const REMOTE_FAN_OUT: usize = 2;

/// Time without a digest after which a node counts as gone in a fleet of `nodes`, in microseconds.
pub fn digest_timeout_us(nodes: usize) -> u64 {
    /// Time between two digests of a node, and the number of lost digests that is tolerated.
    const DIGEST_INTERVAL_US: u64 = 1_000_000;
    const MAX_LOST_DIGESTS: u64 = 3;
    /// Rounds over all nodes to allow for, since each digest reaches only some of them.
    const ROUNDS: u64 = 2;
    let rounds = nodes.div_ceil(DIGEST_FAN_OUT) as u64 * ROUNDS;
    (rounds + MAX_LOST_DIGESTS) * DIGEST_INTERVAL_US
}

/// Positions in the rotation over the nodes that receive a digest.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestRotation {
    next_in_region: usize,
    next_remote: usize,
}

impl DigestRotation {
    /// The nodes that receive the next digest; most of them are in the own region.
    pub fn next<A: Copy>(&mut self, in_region: &[A], remote: &[A]) -> Vec<A> {
        let remote_count =
            if in_region.is_empty() { DIGEST_FAN_OUT } else { REMOTE_FAN_OUT }.min(remote.len());
        let mut to = take_next(&mut self.next_in_region, in_region, DIGEST_FAN_OUT - remote_count);
        to.extend(take_next(&mut self.next_remote, remote, remote_count));
        to
    }
}

fn take_next<A: Copy>(next: &mut usize, all: &[A], max_count: usize) -> Vec<A> {
    if all.len() <= max_count {
        return all.to_vec();
    }
    let first = *next % all.len();
    *next = first + max_count;
    all.iter().cycle().skip(first).take(max_count).copied().collect()
}
