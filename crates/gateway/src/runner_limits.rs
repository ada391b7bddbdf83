//! Enforces runners' request limits across all nodes: requests a permit from the keeper of a
//! runner's limit before each request to that runner, and acts as a keeper for other nodes.
//!
//! Grants are decided in [`pitchstall_serving::limit_keeper`]; a node's estimate of a runner's
//! limit is kept in [`pitchstall_serving::runner_limit`]. No messages are sent while no runner
//! reports a limit.

use crate::missed_replies::MissedReplies;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::pending_replies::PendingReplies;
use crate::shard_scheduler::candidate_shards;
use pitchstall_serving::digest::digest_timeout_us;
use pitchstall_serving::ids::{NodeId, RunnerId};
use pitchstall_serving::limit_keeper::{
    LimitKeeper, LimitKeeperShare, LimitKeeperTerm, GRANT_TTL_US, MAX_KEEPERS,
};
use pitchstall_serving::request::ResponseMetadata;
use pitchstall_serving::runner_limit::{
    LimitChange, LimitMessage, LimitQuery, LimitReply, LimitVerdict,
};
use pitchstall_serving::scheduling::Shard;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a keeper's reply in addition to the round trip. Queries to the keepers of
/// tenants' quotas use the same value.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_millis(30);
/// Maximum number of keepers that are queried for one request.
const MAX_KEEPERS_QUERIED: usize = 2;
/// How long a runner receives no requests of this node after no keeper has replied, in
/// microseconds.
const NO_KEEPER_BACKOFF_US: u64 = 250_000;
/// Minimum time for which a runner with an exhausted limit receives no requests of this node, in
/// microseconds. With a shorter time, the queries would cost more than the request gains.
const MIN_BACKOFF_US: u64 = 5_000;
/// Maximum number of runner limits reported in one digest, about 2 KB.
const MAX_DIGEST_LIMITS: usize = 32;

/// State of a node that requests permits of keepers and is a keeper of runners' limits itself.
#[derive(Default)]
pub struct RunnerLimits {
    keeper: RefCell<LimitKeeper>,
    terms: RefCell<HashMap<Shard, LimitKeeperTerm>>,
    pending_queries: PendingReplies<LimitVerdict>,
    missed_replies: MissedReplies,
    /// When the last message of each node was received, in microseconds; `None` if the node is
    /// stopping.
    last_received_us: RefCell<HashMap<NodeId, Option<u64>>>,
}

impl RunnerLimits {
    /// Records that a message of another node has been received.
    pub fn on_node_message(&self, node: &NodeId, now_us: u64) {
        self.last_received_us.borrow_mut().insert(node.clone(), Some(now_us));
    }

    /// Records that another node has begun a planned stop. The next keeper then takes over
    /// immediately instead of after the silence timeout of some seconds.
    pub fn on_stopping(&self, node: &NodeId) {
        self.last_received_us.borrow_mut().insert(node.clone(), None);
    }

    /// Whether another node has begun a planned stop.
    pub fn is_stopping(&self, node: &NodeId) -> bool {
        self.last_received_us.borrow().get(node) == Some(&None)
    }

    /// The limits counted by this node, for its next digest.
    pub fn digest_messages(&self, now_us: u64) -> Vec<LimitMessage> {
        self.keeper.borrow().messages(MAX_DIGEST_LIMITS, now_us)
    }

    fn is_alive(&self, node: &NodeId, nodes: usize, now_us: u64) -> bool {
        let received_us = self.last_received_us.borrow().get(node).copied().unwrap_or(Some(0));
        received_us.is_some_and(|received_us| now_us < received_us + digest_timeout_us(nodes))
    }
}

/// Permission of a keeper to send one request to a runner.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    /// Microseconds on the node's clock. A runner without a limit may report one at any moment, so a
    /// permit for it expires at once; requesting another one costs nothing.
    expires_at_us: u64,
}

impl SendPermit {
    /// Whether the request may still be sent.
    pub fn is_usable(&self, now_us: u64) -> bool {
        now_us < self.expires_at_us
    }
}

/// Requests a permit to send one request to a runner now. If it returns `None`, the request must
/// not be sent, and this node does not choose the runner until the next permit may be available.
pub async fn request_permit(
    node: &Rc<Node>,
    request: &str,
    runner: &RunnerId,
) -> Option<SendPermit> {
    let queried_at_us = node.now_us();
    let message = node.fleet.borrow().limit_message(runner, queried_at_us);
    let unlimited = SendPermit { expires_at_us: queried_at_us };
    let Some(message) = message else { return Some(unlimited) };
    let verdict = query_keepers(node, message).await;
    let now_us = node.now_us();
    let wait_us = match verdict {
        Some(LimitVerdict::Granted) => {
            node.metrics.limit_grants.inc();
            let permit = SendPermit { expires_at_us: queried_at_us + GRANT_TTL_US };
            if permit.is_usable(now_us) {
                return Some(permit);
            }
            MIN_BACKOFF_US
        }
        Some(LimitVerdict::Refused { wait_us }) => {
            node.metrics.limit_refusals.inc();
            wait_us.max(MIN_BACKOFF_US)
        }
        Some(LimitVerdict::Lifted { age_us }) => {
            let message = LimitMessage { runner: runner.clone(), rate: None, age_us };
            node.on_limit_message(&message);
            if node.fleet.borrow().limit_message(runner, now_us).is_none() {
                return Some(unlimited);
            }
            MIN_BACKOFF_US
        }
        Some(LimitVerdict::NotKeeper) | None => {
            node.metrics.limit_timeouts.inc();
            NO_KEEPER_BACKOFF_US
        }
    };
    node.fleet.borrow_mut().on_limit_exhausted(runner, wait_us, now_us);
    let (runner, verdict) = (runner.as_str(), verdict.map_or("no reply", verdict_name));
    log::info!(target: "limit", request, runner, verdict, wait_us; "withheld");
    None
}

fn verdict_name(verdict: LimitVerdict) -> &'static str {
    match verdict {
        LimitVerdict::Granted => "granted too late",
        LimitVerdict::Refused { .. } => "exhausted",
        LimitVerdict::Lifted { .. } => "lifted",
        LimitVerdict::NotKeeper => "no keeper",
    }
}

/// Queries the keepers in order of rank until one decides; `None` if none does.
async fn query_keepers(node: &Rc<Node>, message: LimitMessage) -> Option<LimitVerdict> {
    let shard = shard_of(node, &message.runner)?;
    for (keeper, address) in keepers(node, &shard).into_iter().take(MAX_KEEPERS_QUERIED) {
        let ticket = node.scheduling.next_ticket();
        let query = LimitQuery { ticket, message: message.clone() };
        let verdict = if keeper == node.own_name() {
            Some(verdict_of(node, &query))
        } else {
            query_keeper(node, &keeper, address, query).await
        };
        match verdict {
            Some(LimitVerdict::NotKeeper) | None => {}
            verdict => return verdict,
        }
    }
    None
}

/// The keepers that may be queried, in order of rank.
fn keepers(node: &Node, shard: &Shard) -> Vec<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let by_rank = members.schedulers_by_rank(shard).into_iter().take(MAX_KEEPERS);
    let limits = &node.runner_limits;
    let is_reachable = |(name, _): &(&NodeId, _)| {
        !limits.missed_replies.is_skipped(name, now_us) && !limits.is_stopping(name)
    };
    by_rank.filter(is_reachable).map(|(name, address)| (name.clone(), address)).collect()
}

async fn query_keeper(
    node: &Rc<Node>,
    keeper: &NodeId,
    address: SocketAddr,
    query: LimitQuery,
) -> Option<LimitVerdict> {
    let pending = node.runner_limits.pending_queries.register(query.ticket);
    node.scheduling.socket.send(&PeerMessage::LimitQuery(query), &[address]);
    let zone = node.members.borrow().zone_of(keeper).cloned();
    let round_trip = zone.map_or(Duration::ZERO, |zone| node.round_trip(&zone));
    let reply = pending.wait(round_trip + REPLY_TIMEOUT_MARGIN).await;
    let missed_replies = &node.runner_limits.missed_replies;
    match reply {
        Some(verdict) => {
            missed_replies.on_reply(keeper);
            Some(verdict)
        }
        None => {
            if missed_replies.on_timeout(keeper, node.now_us()) {
                log::info!(target: "limit", keeper = keeper.as_str(); "keeper skipped after missed replies");
            }
            None
        }
    }
}

/// Handles a keeper's reply. A late reply is discarded. Its grant stays unused, so the limit still
/// holds.
pub fn on_reply(node: &Node, reply: LimitReply) {
    node.runner_limits.pending_queries.on_reply(reply.ticket, reply.verdict);
}

/// Decides another node's query and sends the reply.
pub fn on_query(node: &Node, query: &LimitQuery, from: SocketAddr) {
    let verdict = verdict_of(node, query);
    let reply = LimitReply { ticket: query.ticket, verdict };
    node.scheduling.socket.send(&PeerMessage::LimitReply(reply), &[from]);
}

fn verdict_of(node: &Node, query: &LimitQuery) -> LimitVerdict {
    let shard = shard_of(node, &query.message.runner);
    let share = shard.and_then(|shard| own_share(node, &shard));
    let Some(share) = share else { return LimitVerdict::NotKeeper };
    let now_us = node.now_us();
    node.runner_limits.keeper.borrow_mut().on_query(query, share, now_us)
}

/// Handles a limit reported by another node.
pub fn on_message(node: &Node, message: &LimitMessage) {
    node.runner_limits.keeper.borrow_mut().on_message(message, node.now_us());
    node.on_limit_message(message);
}

/// Runners of a shard that have no requests left, by the count of this node as a keeper.
pub fn exhausted_runners(node: &Node, shard: &Shard) -> Vec<RunnerId> {
    // This is called for each placement, and determining the share iterates over all nodes.
    if node.runner_limits.keeper.borrow().is_empty() {
        return Vec::new();
    }
    let Some(share) = own_share(node, shard) else { return Vec::new() };
    let mut exhausted = node.runner_limits.keeper.borrow().exhausted(share, node.now_us());
    let fleet = node.fleet.borrow();
    exhausted.retain(|runner| fleet.get(runner).is_some_and(|runner| shard.contains(runner)));
    exhausted
}

fn shard_of(node: &Node, runner: &RunnerId) -> Option<Shard> {
    let fleet = node.fleet.borrow();
    let runner = fleet.get(runner)?;
    let nodes = node.members.borrow().count_in(&runner.region);
    Some(Shard::of_runner(runner, Shard::count(nodes)))
}

/// Number of live nodes that precede this one as keepers of a shard's limits, at most
/// [`MAX_KEEPERS`].
fn own_rank(node: &Node, shard: &Shard) -> usize {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let nodes = members.len();
    let is_alive = |name: &NodeId| node.runner_limits.is_alive(name, nodes, now_us);
    members.scheduler_rank_of(&node.own_name(), shard, MAX_KEEPERS, is_alive)
}

fn own_share(node: &Node, shard: &Shard) -> Option<LimitKeeperShare> {
    if node.is_stopping() {
        return None;
    }
    let rank = own_rank(node, shard);
    let terms = node.runner_limits.terms.borrow();
    let term = terms.get(shard).copied().unwrap_or_default();
    term.share(rank, node.now_us())
}

/// Updates this node's rank among the keepers of each shard that it may serve. Must be called at
/// least once per second.
pub fn update_terms(node: &Node) {
    let now_us = node.now_us();
    let shards = candidate_shards(node);
    let mut terms = node.runner_limits.terms.borrow_mut();
    terms.retain(|shard, _| shards.contains(shard));
    for shard in shards {
        let rank = own_rank(node, &shard);
        terms.entry(shard).or_default().on_rank_checked(rank, now_us);
    }
    node.runner_limits.keeper.borrow_mut().remove_idle(now_us);
}

impl Node {
    /// Handles the limit in the head of a response, or its absence. `sent_at_us` is the time at
    /// which the request was sent; 0 if it is unknown. The absence shows nothing in a head that may have lost lines.
    pub fn on_limit_in_response(
        &self,
        runner: &RunnerId,
        metadata: &ResponseMetadata,
        sent_at_us: u64,
    ) {
        let lacks_limit = metadata.may_have_lost_lines && metadata.notice.limit.is_none();
        if !metadata.is_about(runner) || lacks_limit {
            return;
        }
        let now_us = self.now_us();
        let change = self.fleet.borrow_mut().on_limit_in_response(
            runner,
            metadata.notice,
            sent_at_us,
            now_us,
        );
        let Some(change) = change else { return };
        self.log_limit(runner, change, "answer");
        let rate = match change {
            LimitChange::Set(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        let message = LimitMessage { runner: runner.clone(), rate, age_us: 0 };
        self.notify_keeper(message);
    }

    /// Reports a limit to the keeper, so that it takes the limit into account before the first
    /// query and reports it to all nodes.
    fn notify_keeper(&self, message: LimitMessage) {
        let Some(shard) = shard_of(self, &message.runner) else { return };
        match keepers(self, &shard).into_iter().next() {
            Some((keeper, _)) if keeper == self.own_name() => {
                self.runner_limits.keeper.borrow_mut().on_message(&message, self.now_us());
            }
            Some((_, address)) => {
                self.scheduling.socket.send(&PeerMessage::LimitMessage(message), &[address]);
            }
            None => {}
        }
    }

    /// Handles a limit reported by another node.
    pub fn on_limit_message(&self, message: &LimitMessage) {
        let change = self.fleet.borrow_mut().on_limit_reported(message, self.now_us());
        if let Some(change) = change {
            self.log_limit(&message.runner, change, "node");
        }
    }

    fn log_limit(&self, runner: &RunnerId, change: LimitChange, source: &str) {
        let runner = runner.as_str();
        match change {
            LimitChange::Set(limit) => {
                self.metrics.on_runner_notice("limit");
                let limit = limit.to_string();
                log::info!(target: "limit", runner, limit, source; "named");
            }
            LimitChange::Lifted => {
                self.metrics.on_runner_notice("limit lifted");
                log::info!(target: "limit", runner, source; "lifted");
            }
        }
    }

    /// The name of this node.
    pub fn own_name(&self) -> NodeId {
        self.members.borrow().own_name().clone()
    }
}
