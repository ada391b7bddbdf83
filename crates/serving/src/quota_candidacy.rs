//! Election of keepers: which node tries to take over a keeper, and when.
//!
//! The nodes of a keeper's zone are ranked by strength, and every node computes the same ranking.
//! The first one attempts to write the keeper's key as soon as the key has been absent for a while;
//! each further one waits a little longer. Concurrent attempts cost only a wasted call, since the
//! store writes the key only if it is absent.

use crate::ids::NodeId;
use crate::membership::Member;
use crate::prefix::rendezvous_weight;
use crate::quota_slots::KeeperId;
use crate::store_revision::StoreRevision;
use std::net::SocketAddr;

/// Time for which the key must be absent before the first candidate attempts to write it, in
/// microseconds. A replica of the store that has just been reloaded may lack the key for a moment.
const FIRST_ATTEMPT_DELAY_US: u64 = 200_000;
/// Additional delay for each further rank, in microseconds. A write to the store and its
/// notification take less than half of it.
const ATTEMPT_STAGGER_US: u64 = 300_000;
/// Ranks beyond this one wait no longer than it.
const MAX_DELAYED_RANK: u64 = 10;
/// Minimum time between two attempts of the same candidate, in microseconds.
const RETRY_INTERVAL_US: u64 = 1_000_000;

/// The rank of node `own` among the candidates for a keeper; 0 is the first. Nodes in the keeper's
/// zone rank before all others, and nodes with more processing power before those with less.
/// Returns `usize::MAX` if the node is not a member.
pub fn candidate_rank<'a>(
    keeper: &KeeperId,
    own: &NodeId,
    members: impl Iterator<Item = (&'a NodeId, &'a Member)> + Clone,
) -> usize {
    let key = format!("quota/{keeper}");
    let preference = |name: &NodeId, member: &Member| {
        let weight = rendezvous_weight(&key, name.as_str());
        (member.zone == keeper.zone, member.millicpus, weight)
    };
    let Some((_, own_member)) = members.clone().find(|(name, _)| *name == own) else {
        return usize::MAX;
    };
    let own_preference = preference(own, own_member);
    members.filter(|(name, member)| preference(name, member) > own_preference).count()
}

/// A keeper's key as found in this node's replica of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaKeeperKey {
    /// Address of the node that holds the keeper.
    pub holder: SocketAddr,
    /// Revision of the store at which the key was written.
    pub revision: StoreRevision,
}

/// What a node does about a keeper that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidacyAction {
    /// Do nothing for now.
    Wait,
    /// Write the key if it is absent.
    Acquire,
    /// Overwrite the key of this revision. It was written by an earlier process at this node's own
    /// address, which cannot be running any more.
    TakeOver {
        /// The write succeeds only if the key still has this revision.
        revision: StoreRevision,
    },
}

/// A node's candidacy for one keeper.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    absent_since_us: Option<u64>,
    attempted_at_us: Option<u64>,
}

impl Candidacy {
    /// The candidacy of a node that has not observed the key yet.
    pub fn new() -> Self {
        Self { absent_since_us: None, attempted_at_us: None }
    }

    /// Decides what to do given the observed key. To be called a few times per second while the
    /// node's replica of the store is confirmed, but not while the node holds the keeper or an
    /// attempt is in progress. `rank` is the result of [`candidate_rank`].
    pub fn decide(
        &mut self,
        key: Option<&QuotaKeeperKey>,
        own_address: SocketAddr,
        rank: usize,
        now_us: u64,
    ) -> CandidacyAction {
        let action = match key {
            Some(key) if key.holder == own_address => {
                self.absent_since_us = None;
                CandidacyAction::TakeOver { revision: key.revision }
            }
            Some(_) => {
                *self = Self::new();
                return CandidacyAction::Wait;
            }
            None => {
                let since_us = *self.absent_since_us.get_or_insert(now_us);
                let rank = u64::try_from(rank).unwrap_or(u64::MAX).min(MAX_DELAYED_RANK);
                if now_us < since_us + FIRST_ATTEMPT_DELAY_US + rank * ATTEMPT_STAGGER_US {
                    return CandidacyAction::Wait;
                }
                CandidacyAction::Acquire
            }
        };
        if self
            .attempted_at_us
            .is_some_and(|attempted_us| now_us < attempted_us + RETRY_INTERVAL_US)
        {
            return CandidacyAction::Wait;
        }
        self.attempted_at_us = Some(now_us);
        action
    }
}

impl Default for Candidacy {
    fn default() -> Self {
        Self::new()
    }
}
