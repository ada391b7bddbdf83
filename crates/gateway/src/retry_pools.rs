//! Pools retry tokens with the other nodes of the zone: deposits the node's tokens at the keepers,
//! takes tokens for an extra attempt, and acts as a keeper.
//!
//! What a pool holds is decided in [`pitchstall_serving::retry_pool`], and which nodes pool their
//! tokens in [`pitchstall_serving::retry_budget`].

use crate::missed_replies::MissedReplies;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::pending_replies::PendingReplies;
use pitchstall_serving::ids::{NodeId, ServiceName};
use pitchstall_serving::retry_budget::SharedRetryBudget;
use pitchstall_serving::retry_pool::{
    RetryDeposit, RetryPool, RetryQuery, RetryReply, RetryTokens,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two deposits of a node.
const DEPOSIT_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait for a keeper's reply in addition to the round trip.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_millis(30);
/// Time for which a node takes no tokens of a service after the keepers had too few, in
/// microseconds. It bounds the queries while most requests of the fleet fail.
const EMPTY_POOL_BACKOFF_US: u64 = 250_000;

/// State of a node that pools its retry tokens, and its own pool as a keeper.
#[derive(Default)]
pub struct RetryPools {
    pool: RefCell<RetryPool>,
    pending: PendingReplies<RetryTokens>,
    missed_replies: MissedReplies,
    deposits_sent: Cell<usize>,
    /// Until when no tokens of a service are requested, in microseconds.
    backoff_until_us: RefCell<HashMap<ServiceName, u64>>,
}

/// Deposits the node's tokens at regular intervals until the task is dropped.
pub async fn deposit_tokens(node: Rc<Node>) {
    loop {
        sleep(DEPOSIT_INTERVAL).await;
        deposit_once(&node);
    }
}

fn deposit_once(node: &Node) {
    let keepers = keepers(node);
    if !has_other_keeper(node, &keepers) {
        return;
    }
    let deposits = node.take_retry_deposits();
    if deposits.is_empty() {
        return;
    }
    let pools = &node.retry_pools;
    // The keepers take turns, so that half of the tokens remain if one of them is lost.
    let turn = pools.deposits_sent.get();
    pools.deposits_sent.set(turn.wrapping_add(1));
    let (keeper, address) = &keepers[turn % keepers.len()];
    let (ticket, sent_at_ms) = (node.scheduling.next_ticket(), node.wall_ms());
    let deposit = RetryDeposit { ticket, sent_at_ms, deposits };
    if *keeper == node.own_name() {
        on_deposit(node, &deposit);
    } else {
        node.scheduling.socket.send(&PeerMessage::RetryDeposit(deposit), &[*address]);
    }
}

/// Takes the tokens of one extra attempt, from the node's budget and from the pool. Returns `false`
/// if both together have too few.
pub async fn take_attempt(node: &Node, service: &ServiceName) -> bool {
    let now_us = node.now_us();
    let pools = &node.retry_pools;
    let backoff_until_us = pools.backoff_until_us.borrow().get(service).copied();
    let is_backing_off = backoff_until_us.is_some_and(|until_us| now_us < until_us);
    if is_backing_off {
        return false;
    }
    let mut tokens = node.with_retry_budget(service, SharedRetryBudget::take_fraction);
    for (keeper, address) in keepers(node) {
        let wanted = RetryTokens::ONE_ATTEMPT.minus(tokens);
        let query =
            RetryQuery { ticket: node.scheduling.next_ticket(), service: service.clone(), wanted };
        let granted = match keeper == node.own_name() {
            true => grant(node, &query),
            false => query_keeper(node, &keeper, address, query).await,
        };
        tokens = tokens.plus(granted.min(wanted));
        if tokens == RetryTokens::ONE_ATTEMPT {
            return true;
        }
    }
    node.with_retry_budget(service, |budget| budget.add_tokens(tokens));
    let until_us = node.now_us() + EMPTY_POOL_BACKOFF_US;
    pools.backoff_until_us.borrow_mut().insert(service.clone(), until_us);
    false
}

async fn query_keeper(
    node: &Node,
    keeper: &NodeId,
    address: SocketAddr,
    query: RetryQuery,
) -> RetryTokens {
    let pools = &node.retry_pools;
    let pending = pools.pending.register(query.ticket);
    node.scheduling.socket.send(&PeerMessage::RetryQuery(query), &[address]);
    let limit = node.round_trip(&node.zone) + REPLY_TIMEOUT_MARGIN;
    if let Some(granted) = pending.wait(limit).await {
        pools.missed_replies.on_reply(keeper);
        return granted;
    }
    node.metrics.retry_pool_timeouts.inc();
    if pools.missed_replies.on_timeout(keeper, node.now_us()) {
        log::info!(target: "retry", keeper = keeper.as_str(); "keeper skipped after missed replies");
    }
    RetryTokens::NONE
}

/// The keepers of the zone's pool that may be queried, in order of rank.
fn keepers(node: &Node) -> Vec<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let missed_replies = &node.retry_pools.missed_replies;
    let keepers = members.retry_pool_keepers().into_iter();
    let reachable = keepers.filter(|(name, _)| !missed_replies.is_skipped(name, now_us));
    reachable.map(|(name, address)| (name.clone(), address)).collect()
}

/// Whether there is a keeper besides this node. Without one, pooling would only let tokens expire.
fn has_other_keeper(node: &Node, keepers: &[(NodeId, SocketAddr)]) -> bool {
    let own_name = node.own_name();
    keepers.iter().any(|(keeper, _)| *keeper != own_name)
}

/// Handles a deposit of another node.
pub fn on_deposit(node: &Node, deposit: &RetryDeposit) {
    let (capacity, wall_ms) = (node.retry_pool_capacity(), node.wall_ms());
    node.retry_pools.pool.borrow_mut().on_deposit(deposit, capacity, wall_ms, node.now_us());
}

/// Replies to another node's query.
pub fn on_query(node: &Node, query: &RetryQuery, from: SocketAddr) {
    let reply = RetryReply { ticket: query.ticket, granted: grant(node, query) };
    node.scheduling.socket.send(&PeerMessage::RetryReply(reply), &[from]);
}

fn grant(node: &Node, query: &RetryQuery) -> RetryTokens {
    node.retry_pools.pool.borrow_mut().take(&query.service, query.wanted, node.now_us())
}

/// Handles a keeper's reply. The tokens of a late reply are lost.
pub fn on_reply(node: &Node, reply: RetryReply) {
    node.retry_pools.pending.on_reply(reply.ticket, reply.granted);
}
