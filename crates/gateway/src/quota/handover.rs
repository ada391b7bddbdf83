//! Hands the keepers of a node that stops to their next holders.
//!
//! The node stops granting, sends what is left to the first candidate, and waits until a digest
//! names a new holder. The candidate replaces the key in the store at the revision that the handover
//! names, so only one node uses the handover, even if it is sent to several.

use super::own_address;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota_candidacy::candidate_rank;
use pitchstall_serving::quota_handover::QuotaHandover;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::store_revision::StoreRevision;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// Time within which a candidate takes a keeper over: a write to the store and a message, with a
/// margin for a node that is busy.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of candidates to which a keeper is offered. The first may be about to stop too.
const MAX_CANDIDATES: usize = 2;

/// Handovers between this node and others.
#[derive(Default)]
pub struct Handovers {
    /// Handovers to this node that it has not acted on.
    offered: RefCell<BTreeMap<KeeperId, QuotaHandover>>,
    /// Notified when a handover to this node has been received.
    pub received: Notify,
    /// Notified when another node has reported which keepers it holds.
    pub reported: Notify,
}

impl Handovers {
    /// Removes and returns the handovers to this node.
    pub fn take(&self) -> Vec<QuotaHandover> {
        std::mem::take(&mut *self.offered.borrow_mut()).into_values().collect()
    }
}

/// Handles a handover from the holder of a keeper. A node that stops itself does not take it.
pub fn on_handover(node: &Node, handover: QuotaHandover) {
    if node.is_stopping() {
        return;
    }
    let handovers = &node.quotas.handovers;
    handovers.offered.borrow_mut().insert(handover.keeper.clone(), handover);
    handovers.received.notify_one();
}

/// Hands a keeper over, until `deadline` at the latest. Returns the revision of its key if nobody
/// has taken it: the key has to be removed then. `None` if another node holds it.
pub async fn hand_over(node: &Node, keeper: &KeeperId, deadline: Instant) -> Option<StoreRevision> {
    let candidates = candidates(node, keeper);
    let held = node.quotas.keepers.borrow_mut().remove(keeper)?;
    node.quotas.holders.borrow_mut().remove(keeper);
    let handover = held.hand_over(node.now_us());
    let revision = handover.revision();
    for address in candidates {
        let message = PeerMessage::QuotaHandover(handover.clone());
        node.scheduling.socket.send(&message, &[address]);
        let until = deadline.min(Instant::now() + TAKE_OVER_TIMEOUT);
        if timeout_at(until, wait_for_next_holder(node, keeper, revision)).await.is_ok() {
            let (keeper, tenants) = (keeper.to_string(), handover.tenants.len());
            log::info!(target: "quota", keeper, revision = revision.to_string(), tenants; "quota keeper handed over");
            return None;
        }
    }
    Some(revision)
}

/// Completes when this node knows a holder of the keeper that has acquired it after `revision`.
async fn wait_for_next_holder(node: &Node, keeper: &KeeperId, revision: StoreRevision) {
    loop {
        let reported = node.quotas.handovers.reported.notified();
        let latest = node.quotas.holders.borrow().revision_of(keeper);
        if latest.is_some_and(|latest| latest > revision) {
            return;
        }
        reported.await;
    }
}

/// Addresses of the nodes that are next in rank for a keeper and do not stop.
fn candidates(node: &Node, keeper: &KeeperId) -> Vec<SocketAddr> {
    let (now_us, nodes) = (node.now_us(), node.known_node_count());
    let (own, holders) = (own_address(node), node.quotas.holders.borrow());
    let members = node.members.borrow();
    let is_candidate =
        |name: &NodeId| holders.is_up(name, nodes, now_us) && !node.runner_limits.is_stopping(name);
    let up = members.all().filter(|(name, member)| member.address != own && is_candidate(name));
    let mut ranked: Vec<(usize, SocketAddr)> = up
        .clone()
        .map(|(name, member)| (candidate_rank(keeper, name, up.clone()), member.address))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(MAX_CANDIDATES).map(|(_, address)| address).collect()
}
