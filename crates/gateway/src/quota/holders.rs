//! Which node holds which keeper, as far as this one has heard, and whether it answers.
//!
//! Holders tell of themselves in their digests, and a key in the store that is in the way of this node's
//! own names its holder. A keeper that was taken at a later revision of the store counts.

use super::LastReceivedUs;
use pitchstall_serving::digest::{silence_timeout_us, HeldKeeper};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota_candidacy::KeeperKey;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::store_revision::{StoreEras, StoreRevision};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Answers missed one after the other after which a keeper is passed over, and for how long, as with
/// schedulers of shards.
const TIMEOUTS_UNTIL_BACKOFF: u32 = 2;
const BACKOFF_US: u64 = 2_000_000;
/// Each further one doubles that, so many times: a machine that is gone for good is asked seldom.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// Time for which one that says that it is no keeper is passed over.
const NOT_KEEPER_BACKOFF_US: u64 = 500_000;
/// Time without a word after which a keeper gets no question handed on by another one, which would not
/// notice that it is lost: keepers send each other a digest a second.
const FORWARD_MAX_SILENCE_US: u64 = 2_500_000;
/// Time within which a keeper says that it has a question that was handed on to it; after that none is
/// handed on to it until it is heard of. Some ten times what a word takes, and less than askers wait.
const FORWARD_ACK_TIMEOUT_US: u64 = 20_000;

/// A node that holds a keeper.
#[derive(Clone, Debug)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The store's revision at which it took the keeper.
    pub revision: StoreRevision,
    /// When it was heard from last, or first told of by the store, microseconds.
    pub last_received_us: u64,
    /// When it was last told by anybody that it holds the keeper, microseconds.
    last_confirmed_us: u64,
    consecutive_timeouts: u32,
    backoff_until_us: u64,
    /// Since when a question was handed on to it without a word from it, microseconds.
    unacked_forward_since_us: Option<u64>,
}

/// The holders that are known.
#[derive(Debug, Default)]
pub struct Holders {
    by_keeper: BTreeMap<KeeperId, Holder>,
    last_digest_us: LastReceivedUs,
    observing_since_us: Option<u64>,
}

impl Holders {
    /// A node holds a keeper, by its own word.
    pub fn on_holder_report(
        &mut self,
        keeper: &KeeperId,
        node: &NodeId,
        address: SocketAddr,
        revision: StoreRevision,
        now_us: u64,
    ) {
        self.learn(keeper, node, address, revision, now_us);
        let known = self.by_keeper.get_mut(keeper).filter(|known| known.revision == revision);
        if let Some(known) = known {
            known.address = address;
            known.last_received_us = now_us;
            known.unacked_forward_since_us = None;
            // It may have been frozen or cut off; one more miss passes it over again.
            known.backoff_until_us = 0;
        }
    }

    /// A node holds a keeper, by word of the store: whether it can be reached is not said.
    pub fn learn(
        &mut self,
        keeper: &KeeperId,
        node: &NodeId,
        address: SocketAddr,
        revision: StoreRevision,
        now_us: u64,
    ) {
        let known = self.by_keeper.get_mut(keeper);
        match known {
            Some(known) if known.revision > revision => {}
            Some(known) if known.revision == revision => {
                known.last_confirmed_us = now_us;
            }
            _ => {
                let holder = Holder {
                    node: node.clone(),
                    address,
                    revision,
                    last_received_us: now_us,
                    last_confirmed_us: now_us,
                    consecutive_timeouts: 0,
                    backoff_until_us: 0,
                    unacked_forward_since_us: None,
                };
                self.by_keeper.insert(keeper.clone(), holder);
            }
        }
    }

    /// A node tells which keepers it holds: all others it holds no longer.
    pub fn on_digest(
        &mut self,
        node: &NodeId,
        address: SocketAddr,
        held: &[HeldKeeper],
        eras: &StoreEras,
        now_us: u64,
    ) {
        self.observing_since_us.get_or_insert(now_us);
        self.last_digest_us.insert(node.clone(), now_us);
        let is_held = |keeper: &KeeperId| held.iter().any(|slot| slot.keeper == *keeper);
        self.by_keeper.retain(|keeper, holder| holder.node != *node || is_held(keeper));
        // A keeper of an era that is over may have lost its key to another one.
        let of_this_era = held.iter().map(|slot| (slot, slot.revision(eras)));
        for (slot, revision) in of_this_era.filter(|(_, revision)| revision.era() >= eras.current())
        {
            self.on_holder_report(&slot.keeper, node, address, revision, now_us);
        }
    }

    /// The store has come back from an older copy: whoever held a keeper may have lost its key.
    pub fn on_later_era(&mut self) {
        self.by_keeper.clear();
    }

    /// Nobody holds the keeper any more.
    pub fn remove(&mut self, keeper: &KeeperId) {
        self.by_keeper.remove(keeper);
    }

    /// Where a keeper is asked; `None`: nobody is known to hold it, or its holder does not answer.
    pub fn query_address(&self, keeper: &KeeperId, now_us: u64) -> Option<SocketAddr> {
        let holder = self.by_keeper.get(keeper)?;
        (now_us >= holder.backoff_until_us).then_some(holder.address)
    }

    /// Where the holder of a keeper is reached, whether it answers or not.
    pub fn address_of(&self, keeper: &KeeperId) -> Option<SocketAddr> {
        self.by_keeper.get(keeper).map(|holder| holder.address)
    }

    /// Whether a keeper may hand a question on to this one.
    pub fn accepts_forwards(&self, keeper: &KeeperId, own: SocketAddr, now_us: u64) -> bool {
        let is_ack_pending = |since_us: u64| now_us < since_us + FORWARD_ACK_TIMEOUT_US;
        let is_responsive = |holder: &Holder| {
            holder.address == own
                || (now_us < holder.last_received_us + FORWARD_MAX_SILENCE_US
                    && holder.unacked_forward_since_us.is_none_or(is_ack_pending))
        };
        self.query_address(keeper, now_us).is_some()
            && self.by_keeper.get(keeper).is_some_and(is_responsive)
    }

    /// The key of a keeper, as far as is known among so many nodes; `None`: it may be absent.
    pub fn key(&self, keeper: &KeeperId, nodes: usize, now_us: u64) -> Option<KeeperKey> {
        let holder = self.by_keeper.get(keeper)?;
        let last_known_us = holder.last_received_us.max(holder.last_confirmed_us);
        let is_current = now_us < last_known_us + silence_timeout_us(nodes);
        let key = KeeperKey { holder: holder.address, revision: holder.revision };
        is_current.then_some(key)
    }

    /// Whether a node counts as there among so many.
    pub fn is_up(&self, node: &NodeId, nodes: usize, now_us: u64) -> bool {
        let last_received_us = self.last_digest_us.get(node).copied().or(self.observing_since_us);
        last_received_us
            .is_none_or(|last_received_us| now_us < last_received_us + silence_timeout_us(nodes))
    }

    /// A question is handed on to a keeper.
    pub fn on_forwarded(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.unacked_forward_since_us.get_or_insert(now_us);
        }
    }

    /// A keeper has a question that was handed on to it.
    pub fn on_forward_ack(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.last_received_us = now_us;
            holder.unacked_forward_since_us = None;
        }
    }

    /// A keeper has answered.
    pub fn on_reply(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.last_received_us = now_us;
            holder.consecutive_timeouts = 0;
            holder.backoff_until_us = 0;
        }
    }

    /// The node that was asked says that it is no keeper, or does not know whether it still is.
    pub fn on_not_keeper(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.backoff_until_us = now_us + NOT_KEEPER_BACKOFF_US;
        }
    }

    /// A keeper has not answered soon; returns whether it is passed over from now on.
    pub fn on_reply_timeout(&mut self, keeper: &KeeperId, now_us: u64) -> bool {
        let Some(holder) = self.by_keeper.get_mut(keeper) else { return false };
        holder.consecutive_timeouts += 1;
        let is_backing_off = holder.consecutive_timeouts >= TIMEOUTS_UNTIL_BACKOFF;
        if is_backing_off {
            let doublings =
                (holder.consecutive_timeouts - TIMEOUTS_UNTIL_BACKOFF).min(MAX_BACKOFF_DOUBLINGS);
            holder.backoff_until_us = now_us + (BACKOFF_US << doublings);
        }
        is_backing_off
    }

    /// Where the holders are reached, each once.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.by_keeper.values().map(|holder| holder.address).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// All that are known.
    pub fn all(&self) -> impl Iterator<Item = (&KeeperId, &Holder)> {
        self.by_keeper.iter()
    }
}
