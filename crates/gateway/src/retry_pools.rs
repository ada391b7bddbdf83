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
    RetryDeposit, RetryPool, RetryQuery, RetryReply, RetryReturn, RetryTokens,
};
use pitchstall_serving::scheduling::Ticket;
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

/// The tokens of one extra attempt, out of the node's budget and the pool. They are spent when this
/// is dropped without a refund.
pub struct PooledAttempt {
    service: ServiceName,
    /// Tokens out of the node's own budget.
    own: RetryTokens,
    /// What the keepers have granted, or may have.
    grants: Vec<KeeperGrant>,
}

/// What a keeper has granted for a query, or may have if it has not replied.
struct KeeperGrant {
    keeper: NodeId,
    address: SocketAddr,
    ticket: Ticket,
}

impl PooledAttempt {
    /// Gives the tokens back to where they were taken from: no attempt was sent for them.
    pub fn refund(self, node: &Node) {
        node.with_retry_budget(&self.service, |budget| budget.add_tokens(self.own));
        self.grants.iter().for_each(|grant| return_grant(node, grant));
    }
}

/// An attempt for which tokens are still being taken. It is refunded on drop, for example when the
/// request no longer waits for it.
struct IncompleteAttempt<'a> {
    node: &'a Node,
    attempt: Option<PooledAttempt>,
}

impl Drop for IncompleteAttempt<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.refund(self.node);
        }
    }
}

/// Takes the tokens of one extra attempt, from the node's budget and from the pool. Returns `None`,
/// and leaves all tokens where they were, if both together have too few.
pub async fn take_attempt(node: &Node, service: &ServiceName) -> Option<PooledAttempt> {
    if is_backing_off(node, service) {
        return None;
    }
    let own = node.with_retry_budget(service, SharedRetryBudget::take_fraction);
    let attempt = PooledAttempt { service: service.clone(), own, grants: Vec::new() };
    let mut incomplete = IncompleteAttempt { node, attempt: Some(attempt) };
    let mut tokens = own;
    for (keeper, address) in keepers(node) {
        let wanted = RetryTokens::ONE_ATTEMPT.minus(tokens);
        tokens = tokens.plus(incomplete.query(keeper, address, wanted).await);
        if tokens == RetryTokens::ONE_ATTEMPT {
            return incomplete.attempt.take();
        }
    }
    let until_us = node.now_us() + EMPTY_POOL_BACKOFF_US;
    node.retry_pools.backoff_until_us.borrow_mut().insert(service.clone(), until_us);
    None
}

fn is_backing_off(node: &Node, service: &ServiceName) -> bool {
    let backoff_until_us = node.retry_pools.backoff_until_us.borrow();
    backoff_until_us.get(service).is_some_and(|until_us| node.now_us() < *until_us)
}

impl IncompleteAttempt<'_> {
    /// Takes tokens out of the pool of a keeper: those that are wanted, or as many as there are.
    async fn query(
        &mut self,
        keeper: NodeId,
        address: SocketAddr,
        wanted: RetryTokens,
    ) -> RetryTokens {
        let node = self.node;
        let Some(attempt) = &mut self.attempt else { return RetryTokens::NONE };
        let ticket = node.scheduling.next_ticket();
        let query = RetryQuery { ticket, service: attempt.service.clone(), wanted };
        // Recorded before the keeper replies, so that the grant is returned if this is dropped.
        attempt.grants.push(KeeperGrant { keeper: keeper.clone(), address, ticket });
        let reply = match keeper == node.own_name() {
            true => Some(grant(node, &query)),
            false => query_keeper(node, &keeper, address, query).await,
        };
        let granted = reply.unwrap_or(RetryTokens::NONE).min(wanted);
        if granted == RetryTokens::NONE {
            let unused = attempt.grants.pop().filter(|_| reply.is_none());
            unused.iter().for_each(|grant| return_grant(node, grant));
        }
        granted
    }
}

/// Returns what a keeper has granted. A lost return loses the tokens.
fn return_grant(node: &Node, grant: &KeeperGrant) {
    let returned = RetryReturn { ticket: grant.ticket };
    if grant.keeper == node.own_name() {
        on_return(node, returned);
    } else {
        node.scheduling.socket.send(&PeerMessage::RetryReturn(returned), &[grant.address]);
    }
}

/// Queries another node. Returns `None` if it does not reply in time.
async fn query_keeper(
    node: &Node,
    keeper: &NodeId,
    address: SocketAddr,
    query: RetryQuery,
) -> Option<RetryTokens> {
    let pools = &node.retry_pools;
    let pending = pools.pending.register(query.ticket);
    node.scheduling.socket.send(&PeerMessage::RetryQuery(query), &[address]);
    let limit = node.round_trip(&node.zone) + REPLY_TIMEOUT_MARGIN;
    if let Some(granted) = pending.wait(limit).await {
        pools.missed_replies.on_reply(keeper);
        return Some(granted);
    }
    node.metrics.retry_pool_timeouts.inc();
    if pools.missed_replies.on_timeout(keeper, node.now_us()) {
        log::info!(target: "retry", keeper = keeper.as_str(); "keeper skipped after missed replies");
    }
    None
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
    node.retry_pools.pool.borrow_mut().grant(query, node.now_us())
}

/// Handles the return of a grant that another node or this one does not use.
pub fn on_return(node: &Node, returned: RetryReturn) {
    let capacity = node.retry_pool_capacity();
    node.retry_pools.pool.borrow_mut().on_return(returned, capacity, node.now_us());
}

/// Handles a keeper's reply. A late reply is ignored: its grant has been returned.
pub fn on_reply(node: &Node, reply: RetryReply) {
    node.retry_pools.pending.on_reply(reply.ticket, reply.granted);
}
