//! What every node tells the others now and then: that it is there, how fresh its copy of the
//! store is, which runners are changing their role, and what its clock says.
//!
//! A digest holds all of that, not changes, so a lost or doubled one does no harm; one that
//! arrives late is told by its sequence. Loads and caches of runners are not in it: they are
//! known to the runners' schedulers ([`crate::scheduling`]).

use crate::freshness::StoreFreshnessReport;
use crate::ids::{NodeId, RunnerId};
use crate::membership::Member;
use crate::quota_slots::KeeperId;
use crate::runner::Stage;
use crate::runner_limit::LimitWord;
use crate::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A runner was ordered to change its role. The word grows old on its way from node to node:
/// told again it ends when it would have ended, and not later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleTransition {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Its new role. A runner that has it already is not changing.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Milliseconds for which it is still to be left alone.
    #[serde(rename = "l")]
    pub remaining_ms: u64,
}

/// A node holds a keeper of tenants' limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldKeeper {
    /// The keeper.
    #[serde(rename = "k")]
    pub keeper: KeeperId,
    /// The store's revision at which the node took it.
    #[serde(rename = "r")]
    revision: RevisionNumber,
    /// The era of that revision. Builds that know no eras tell none.
    #[serde(rename = "e", default, skip_serializing_if = "StoreEra::is_unknown")]
    era: StoreEra,
}

impl HeldKeeper {
    /// A node took a keeper at a revision.
    pub fn new(keeper: KeeperId, revision: StoreRevision) -> Self {
        Self { keeper, revision: revision.number(), era: revision.era() }
    }

    /// The store's revision at which the node took it, as a node takes it that has heard of these eras.
    pub fn revision(&self, eras: &StoreEras) -> StoreRevision {
        StoreRevision::new(eras.resolve_reported(self.era), self.revision)
    }
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
    /// What the node tells of itself.
    pub member: Member,
    /// How fresh the node's copy of the store is.
    #[serde(default)]
    pub store: StoreFreshnessReport,
    /// Runners that were ordered to change their role and take no work meanwhile.
    #[serde(default)]
    pub changing: Vec<RoleTransition>,
    /// The keepers of tenants' limits that the node holds.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub held_keepers: Vec<HeldKeeper>,
    /// What runners take from all nodes together that the node counts for all.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitWord>,
    /// Whether a planned stop of the node has begun: it counts no runner's limit any more.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stopping: bool,
    /// What the machine's clock says, milliseconds since 1970.
    #[serde(default)]
    pub wall_ms: u64,
}

/// How fresh a digest is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestStatus {
    /// From a start of a node that was not known.
    NewIncarnation,
    /// Later than all before.
    Newer,
    /// Overtaken by a later one.
    Stale,
}

/// The last digest of each node.
#[derive(Clone, Debug, Default)]
pub struct DigestTracker {
    last: HashMap<NodeId, (u64, u64)>,
}

impl DigestTracker {
    /// Notes a digest and tells how fresh it is.
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

/// Nodes that one digest goes to; with more of them they take turns.
pub const DIGEST_FAN_OUT: usize = 16;
/// How many of them are of other regions, if there are any: with a digest a second each node there
/// hears of this one twice a minute in fleets of 60 nodes elsewhere, and the list tells who is there.
const REMOTE_FAN_OUT: usize = 2;

/// Time without a digest after which a node counts as gone among so many, microseconds.
pub fn silence_timeout_us(nodes: usize) -> u64 {
    /// Between two digests of a node, and what may be lost of them.
    const DIGEST_INTERVAL_US: u64 = 1_000_000;
    const MAX_LOST_DIGESTS: u64 = 3;
    /// Rounds of digests, which go to some nodes at a time.
    const ROUNDS: u64 = 2;
    let rounds = nodes.div_ceil(DIGEST_FAN_OUT) as u64 * ROUNDS;
    (rounds + MAX_LOST_DIGESTS) * DIGEST_INTERVAL_US
}

/// Whose turn it is to hear of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct DigestRotation {
    next_in_region: usize,
    next_remote: usize,
}

impl DigestRotation {
    /// The nodes that the next digest goes to: most are of the own region.
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
