//! Tracks which node holds which keeper, as far as this node knows, and whether the holder replies.
//!
//! Nodes list the keepers that they hold in their digests. If this node fails to acquire a keeper
//! because its key exists, the value of the key names the holder. Of two holders, the one with the
//! higher store revision counts.

use super::LastReceivedUs;
use pitchstall_serving::digest::{digest_timeout_us, HeldKeeper};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota_candidacy::QuotaKeeperKey;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::store_revision::{StoreEras, StoreRevision};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Consecutive missed replies after which a keeper is skipped, and for how long, in microseconds;
/// the same values as for schedulers of shards ([`crate::missed_replies`]).
const MISSED_BEFORE_SKIP: u32 = 2;
const SKIP_DURATION_US: u64 = 2_000_000;
/// Each further missed reply doubles this time, at most this many times, so that a machine that is
/// gone for good is queried rarely.
const MAX_SKIP_DOUBLINGS: u32 = 2;
/// Time for which a keeper is skipped after the queried node replied that it does not hold it,
/// microseconds.
const NOT_KEEPER_SKIP_US: u64 = 500_000;
/// Maximum time since the last message from a keeper to which queries are forwarded, microseconds.
/// The forwarding keeper would not notice the loss of a query. Keepers send each other a digest
/// every second.
const MAX_FORWARD_INACTIVITY_US: u64 = 2_500_000;
/// Time within which a keeper acknowledges a forwarded query, microseconds. A keeper that exceeds
/// it receives no further forwarded query until a message from it arrives. The time is about ten
/// times what a datagram takes, and less than requesters wait for a reply.
const FORWARD_ACK_TIMEOUT_US: u64 = 20_000;

/// A node that holds a keeper.
#[derive(Clone, Debug)]
pub struct Holder {
    /// The node that holds the keeper.
    pub node: NodeId,
    /// Address at which the node receives messages.
    pub address: SocketAddr,
    /// Revision of the store at which the node acquired the keeper.
    pub revision: StoreRevision,
    /// When the last message from the node was received, or the store first named it as holder,
    /// microseconds.
    pub last_received_us: u64,
    /// When the node or the store last confirmed that it holds the keeper, microseconds.
    last_confirmed_us: u64,
    consecutive_missed: u32,
    skipped_until_us: u64,
    /// When the oldest unacknowledged query was forwarded to the node, microseconds; `None` if a
    /// message was received from it since.
    unacked_forward_since_us: Option<u64>,
}

/// The known holders of keepers, from digests and from the store.
#[derive(Debug, Default)]
pub struct Holders {
    by_keeper: BTreeMap<KeeperId, Holder>,
    last_digest_us: LastReceivedUs,
    observing_since_us: Option<u64>,
}

impl Holders {
    /// Records that a node holds a keeper, as reported by that node.
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
            // The node may have been frozen or partitioned. After one more missed reply, it
            // is skipped again.
            known.skipped_until_us = 0;
        }
    }

    /// Records that a node holds a keeper, as read from the store. This does not show that the node
    /// is reachable.
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
                    consecutive_missed: 0,
                    skipped_until_us: 0,
                    unacked_forward_since_us: None,
                };
                self.by_keeper.insert(keeper.clone(), holder);
            }
        }
    }

    /// Records the keepers that a node lists in its digest, and removes it as holder of all others.
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
        // The key of a keeper from an earlier era may now belong to another holder.
        let of_this_era = held.iter().map(|slot| (slot, slot.revision(eras)));
        for (slot, revision) in of_this_era.filter(|(_, revision)| revision.era() >= eras.current())
        {
            self.on_holder_report(&slot.keeper, node, address, revision, now_us);
        }
    }

    /// Removes all holders: the store was restored from a backup, and any holder may have lost its
    /// key.
    pub fn on_later_era(&mut self) {
        self.by_keeper.clear();
    }

    /// Removes the holder of a keeper that no node holds any more.
    pub fn remove(&mut self, keeper: &KeeperId) {
        self.by_keeper.remove(keeper);
    }

    /// Address to send queries for a keeper to; `None` if no holder is known or the holder is
    /// skipped.
    pub fn query_address(&self, keeper: &KeeperId, now_us: u64) -> Option<SocketAddr> {
        let holder = self.by_keeper.get(keeper)?;
        (now_us >= holder.skipped_until_us).then_some(holder.address)
    }

    /// Address of the holder of a keeper, whether it replies or not; `None` if no holder is known.
    pub fn address_of(&self, keeper: &KeeperId) -> Option<SocketAddr> {
        self.by_keeper.get(keeper).map(|holder| holder.address)
    }

    /// Revision at which the holder of a keeper acquired it; `None` if no holder is known.
    pub fn revision_of(&self, keeper: &KeeperId) -> Option<StoreRevision> {
        self.by_keeper.get(keeper).map(|holder| holder.revision)
    }

    /// Whether a query may be forwarded to a keeper: it is held by this node, at address `own`, or
    /// its holder is responsive.
    pub fn accepts_forwards(&self, keeper: &KeeperId, own: SocketAddr, now_us: u64) -> bool {
        let is_ack_pending = |since_us: u64| now_us < since_us + FORWARD_ACK_TIMEOUT_US;
        let is_responsive = |holder: &Holder| {
            holder.address == own
                || (now_us < holder.last_received_us + MAX_FORWARD_INACTIVITY_US
                    && holder.unacked_forward_since_us.is_none_or(is_ack_pending))
        };
        self.query_address(keeper, now_us).is_some()
            && self.by_keeper.get(keeper).is_some_and(is_responsive)
    }

    /// The key of a keeper as far as this node knows, in a fleet of `nodes`; `None` if the key may
    /// be absent from the store.
    pub fn key(&self, keeper: &KeeperId, nodes: usize, now_us: u64) -> Option<QuotaKeeperKey> {
        let holder = self.by_keeper.get(keeper)?;
        let last_known_us = holder.last_received_us.max(holder.last_confirmed_us);
        let is_current = now_us < last_known_us + digest_timeout_us(nodes);
        let key = QuotaKeeperKey { holder: holder.address, revision: holder.revision };
        is_current.then_some(key)
    }

    /// Whether a node counts as alive in a fleet of `nodes`.
    pub fn is_up(&self, node: &NodeId, nodes: usize, now_us: u64) -> bool {
        let last_received_us = self.last_digest_us.get(node).copied().or(self.observing_since_us);
        last_received_us
            .is_none_or(|last_received_us| now_us < last_received_us + digest_timeout_us(nodes))
    }

    /// Records that a query is forwarded to a keeper.
    pub fn on_forwarded(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.unacked_forward_since_us.get_or_insert(now_us);
        }
    }

    /// Records that a keeper has acknowledged a forwarded query.
    pub fn on_forward_ack(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.last_received_us = now_us;
            holder.unacked_forward_since_us = None;
        }
    }

    /// Records a reply of a keeper, which is then no longer skipped.
    pub fn on_reply(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.last_received_us = now_us;
            holder.consecutive_missed = 0;
            holder.skipped_until_us = 0;
        }
    }

    /// Skips a keeper for a short time: the queried node replied that it does not hold the keeper,
    /// or that it does not know whether it still does.
    pub fn on_not_keeper(&mut self, keeper: &KeeperId, now_us: u64) {
        if let Some(holder) = self.by_keeper.get_mut(keeper) {
            holder.skipped_until_us = now_us + NOT_KEEPER_SKIP_US;
        }
    }

    /// Records that a keeper did not reply in time. Returns whether it is skipped from now on.
    pub fn on_reply_timeout(&mut self, keeper: &KeeperId, now_us: u64) -> bool {
        let Some(holder) = self.by_keeper.get_mut(keeper) else { return false };
        holder.consecutive_missed += 1;
        let is_skipped = holder.consecutive_missed >= MISSED_BEFORE_SKIP;
        if is_skipped {
            let doublings =
                (holder.consecutive_missed - MISSED_BEFORE_SKIP).min(MAX_SKIP_DOUBLINGS);
            holder.skipped_until_us = now_us + (SKIP_DURATION_US << doublings);
        }
        is_skipped
    }

    /// Addresses of all holders, without duplicates.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.by_keeper.values().map(|holder| holder.address).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// All known keepers with their holders.
    pub fn all(&self) -> impl Iterator<Item = (&KeeperId, &Holder)> {
        self.by_keeper.iter()
    }
}
