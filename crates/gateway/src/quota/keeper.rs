//! Handles queries and refunds for the keepers that this node holds.

use super::own_address;
use super::requester::{deliver_query, on_reply};
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use pitchstall_serving::quota::{QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict};
use pitchstall_serving::quota_keeper::QuotaKeeperAction;
use pitchstall_serving::quota_slots::KeeperId;
use std::net::SocketAddr;

/// Handles a query from another node. If a keeper forwarded it, the receipt is acknowledged to that
/// keeper at once: no other node would notice that a forwarded query was lost.
pub fn on_query(node: &Node, query: &QuotaQuery, from: SocketAddr) {
    if from != query.reply_to {
        let ack = PeerMessage::QuotaForwardAck(query.keeper.clone());
        node.scheduling.socket.send(&ack, &[from]);
    }
    handle_query(node, query);
}

/// Handles the acknowledgement of a query that this node forwarded to a keeper.
pub fn on_forward_ack(node: &Node, keeper: &KeeperId) {
    node.quotas.holders.borrow_mut().on_forward_ack(keeper, node.now_us());
}

/// Replies to a query, or forwards it to another keeper of the tenant.
pub fn handle_query(node: &Node, query: &QuotaQuery) {
    let now_us = node.now_us();
    let action = {
        let own = own_address(node);
        let can_forward =
            |keeper: &_| node.quotas.holders.borrow().accepts_forwards(keeper, own, now_us);
        let mut keepers = node.quotas.keepers.borrow_mut();
        let keeper = keepers.get_mut(&query.keeper);
        keeper.map(|keeper| keeper.on_query(query, can_forward, now_us))
    };
    match action {
        Some(QuotaKeeperAction::Forward(query)) => {
            node.metrics.quota.forwarded.inc();
            node.quotas.holders.borrow_mut().on_forwarded(&query.keeper, now_us);
            deliver_query(node, query);
        }
        Some(QuotaKeeperAction::Reply(reply)) => {
            if reply.verdict != QuotaVerdict::NotKeeper {
                node.metrics.quota.on_level(query.tenant.as_str(), reply.level);
            }
            deliver_reply(node, reply, query.reply_to);
        }
        None => {
            let (ticket, keeper) = (query.ticket, query.keeper.clone());
            let verdict = QuotaVerdict::NotKeeper;
            let reply = QuotaReply { ticket, keeper, verdict, level: 0, charged: Vec::new() };
            deliver_reply(node, reply, query.reply_to);
        }
    }
}

fn deliver_reply(node: &Node, reply: QuotaReply, to: SocketAddr) {
    if to == own_address(node) {
        on_reply(node, &reply);
    } else {
        node.scheduling.socket.send(&PeerMessage::QuotaReply(reply), &[to]);
    }
}

/// Returns the units charged for a run that has certainly not started.
pub fn on_refund(node: &Node, refund: &QuotaRefund) {
    let now_us = node.now_us();
    if let Some(keeper) = node.quotas.keepers.borrow_mut().get_mut(&refund.keeper) {
        let units = keeper.on_refund(refund, now_us);
        let (keeper, tenant) = (refund.keeper.to_string(), refund.tenant.as_str());
        log::debug!(target: "quota", keeper, tenant, units; "quota charge refunded");
    }
}
