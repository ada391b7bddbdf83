//! Which node tries to become a keeper, and when.
//!
//! The nodes of a keeper's zone are ranked, the strongest first, the same way at each node. The
//! first one tries as soon as the key has been seen to be absent for a while; the next ones give
//! it some time each. Two that try at once cost a call: the store writes the key only if it is
//! absent.

use crate::ids::NodeId;
use crate::membership::Member;
use crate::prefix::rendezvous_weight;
use crate::quota_slots::KeeperId;
use crate::store_revision::StoreRevision;
use std::net::SocketAddr;

/// Time for which the key has to be absent before the first candidate tries, microseconds: a copy
/// of the store that has just been read anew may lack it for a moment.
const FIRST_TRY_AFTER_US: u64 = 200_000;
/// Time that each further candidate leaves to the one before it, microseconds: a write in the
/// store and the word of it take less than half of it.
const RANK_SPREAD_US: u64 = 300_000;
/// Ranks beyond this one try with it.
const LAST_RANK: u64 = 10;
/// Time until a candidate that tried in vain tries again, microseconds.
const RETRY_AFTER_US: u64 = 1_000_000;

/// The rank of a node as candidate for a keeper, 0 first. Nodes of the keeper's zone come before
/// all others, stronger ones before weaker ones.
pub fn candidate_rank<'a>(
    keeper: &KeeperId,
    own: &NodeId,
    members: impl Iterator<Item = (&'a NodeId, &'a Member)> + Clone,
) -> usize {
    let key = format!("quota/{keeper}");
    let standing = |name: &NodeId, member: &Member| {
        let weight = rendezvous_weight(&key, name.as_str());
        (member.zone == keeper.zone, member.millicpus, weight)
    };
    let Some((_, own_member)) = members.clone().find(|(name, _)| *name == own) else {
        return usize::MAX;
    };
    let own_standing = standing(own, own_member);
    members.filter(|(name, member)| standing(name, member) > own_standing).count()
}

/// The key of a keeper, as this node's copy of the store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperKey {
    /// Where the holder is reached.
    pub holder: SocketAddr,
    /// The store's revision at which the key was written.
    pub revision: StoreRevision,
}

/// What a node does about a keeper that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidacyStep {
    /// Nothing.
    Wait,
    /// It tries to write the key, if it is absent.
    Take,
    /// It tries to write the key over the one of this revision: that was written by a process at
    /// this node's own address, which cannot be up any more.
    TakeOver {
        /// The revision that the key must still have.
        revision: StoreRevision,
    },
}

/// A node's candidacy for one keeper.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    absent_since_us: Option<u64>,
    tried_at_us: Option<u64>,
}

impl Candidacy {
    /// A node that has not looked yet.
    pub fn new() -> Self {
        Self { absent_since_us: None, tried_at_us: None }
    }

    /// Looks at the key and decides. To be asked a few times a second while the node's copy of
    /// the store is confirmed, and not while the node holds the keeper or a try is under way.
    /// `rank` is that of [`candidate_rank`].
    pub fn decide(
        &mut self,
        key: Option<&KeeperKey>,
        own_address: SocketAddr,
        rank: usize,
        now_us: u64,
    ) -> CandidacyStep {
        let step = match key {
            Some(key) if key.holder == own_address => {
                self.absent_since_us = None;
                CandidacyStep::TakeOver { revision: key.revision }
            }
            Some(_) => {
                *self = Self::new();
                return CandidacyStep::Wait;
            }
            None => {
                let since_us = *self.absent_since_us.get_or_insert(now_us);
                let rank = u64::try_from(rank).unwrap_or(u64::MAX).min(LAST_RANK);
                if now_us < since_us + FIRST_TRY_AFTER_US + rank * RANK_SPREAD_US {
                    return CandidacyStep::Wait;
                }
                CandidacyStep::Take
            }
        };
        if self.tried_at_us.is_some_and(|tried_us| now_us < tried_us + RETRY_AFTER_US) {
            return CandidacyStep::Wait;
        }
        self.tried_at_us = Some(now_us);
        step
    }
}

impl Default for Candidacy {
    fn default() -> Self {
        Self::new()
    }
}
