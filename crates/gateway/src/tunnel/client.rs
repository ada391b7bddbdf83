//! Asks other nodes for connections to runners.

use super::{TunnelQuery, TunnelReply};
use crate::http::{open_stream, ConnectError, Upstream};
use crate::json_lines::{read_line, write_line, LineError};
use crate::node::Node;
use pitchstall_serving::ids::{NodeId, RunnerId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::tunnel_peers::{PeerOutcome, Proximity, TunnelPeer, TunnelPeers};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time limit for opening a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a node's reply. The node tries the runner and, if that fails, other runners, each for 200 ms at most.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a second node is asked, if the first one has recently opened a connection.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Result of asking other nodes for a connection to a runner.
pub enum TunnelOutcome {
    /// The runner is connected.
    Opened(Upstream),
    /// No node that was asked can connect to the runner, and some of them reach other runners.
    RunnerUnreachable {
        /// Whether every such node was refused: no process listens at the address.
        is_refused: bool,
    },
    /// No node could tell whether the runner is reachable.
    Unknown,
}

/// Why a node has not replied to a query.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    /// No connection to the node could be opened.
    #[error("cannot connect to the node: {0}")]
    Unreachable(#[from] ConnectError),
    /// The query could not be sent, or the reply could not be read. A build without tunnels closes the connection.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The reply did not arrive in time.
    #[error("the node did not reply in time")]
    TimedOut,
}

/// What one node, or several nodes together, have replied.
enum Reply {
    Opened(Upstream),
    Unreachable { is_refused: bool },
    Unknown,
}

impl Reply {
    fn is_opened(&self) -> bool {
        matches!(self, Self::Opened(_))
    }

    /// The reply of two nodes together, of which at most one has opened a connection.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (opened @ Self::Opened(_), _) | (_, opened @ Self::Opened(_)) => opened,
            (Self::Unknown, other) => other,
            (known, Self::Unknown) => known,
            (
                Self::Unreachable { is_refused },
                Self::Unreachable { is_refused: is_other_refused },
            ) => Self::Unreachable { is_refused: is_refused && is_other_refused },
        }
    }
}

/// Opens a connection to a runner through another node. Asks two nodes at a time until one of them opens the connection.
/// Nodes that reach other runners may have lost their links to this one, so the reply of a single node proves nothing.
/// `zones` are the zones that the request may pass; `None` allows all.
pub async fn open(
    node: Rc<Node>,
    runner: RunnerId,
    zones: Option<BTreeSet<ZoneId>>,
) -> TunnelOutcome {
    let known = other_nodes(&node.members.borrow(), zones.as_ref());
    let candidates = node.tunnel_peers.borrow().candidates(known, node.now_us());
    let mut replies = Reply::Unknown;
    for (index, pair) in candidates.chunks(2).enumerate() {
        let are_all_refused = matches!(replies, Reply::Unreachable { is_refused: true });
        if !TunnelPeers::is_another_asked(index * 2, are_all_refused) {
            break;
        }
        let reply = match pair {
            [first, second] => ask_both(&node, first, second, &runner).await,
            [only] => ask(&node, only, &runner).await,
            _ => Reply::Unknown,
        };
        replies = replies.and(reply);
        if replies.is_opened() {
            break;
        }
    }
    match replies {
        Reply::Opened(connection) => {
            node.metrics.tunnels_used.inc();
            TunnelOutcome::Opened(connection)
        }
        Reply::Unreachable { is_refused } => TunnelOutcome::RunnerUnreachable { is_refused },
        Reply::Unknown => TunnelOutcome::Unknown,
    }
}

/// The other nodes in the given zones, in random order.
fn other_nodes(members: &Membership, zones: Option<&BTreeSet<ZoneId>>) -> Vec<TunnelPeer> {
    let is_usable = |(name, member): &(&NodeId, &Member)| {
        *name != members.own_name() && zones.is_none_or(|zones| zones.contains(&member.zone))
    };
    let proximity = |name: &NodeId, member: &Member| match members.is_in_own_region(name) {
        true if member.zone == members.own().zone => Proximity::SameZone,
        true => Proximity::SameRegion,
        false => Proximity::OtherRegion,
    };
    let others = members.all().filter(is_usable);
    let mut peers: Vec<TunnelPeer> = others
        .map(|(name, member)| TunnelPeer {
            node: name.clone(),
            address: member.address,
            proximity: proximity(name, member),
        })
        .collect();
    peers.shuffle(&mut rand::rng());
    peers
}

/// Asks two nodes and uses the first connection that is opened. The second one is asked at once, or later if the first one
/// is expected to open the connection.
async fn ask_both(
    node: &Node,
    first: &TunnelPeer,
    second: &TunnelPeer,
    runner: &RunnerId,
) -> Reply {
    let is_proven = node.tunnel_peers.borrow().is_proven(&first.node, node.now_us());
    let mut from_first = pin!(ask(node, first, runner));
    if is_proven {
        tokio::select! {
            reply = &mut from_first => match reply.is_opened() {
                true => return reply,
                false => return reply.and(ask(node, second, runner).await),
            },
            () = sleep(HEDGE_DELAY) => {}
        }
    }
    let mut from_second = pin!(ask(node, second, runner));
    let (reply, is_first) = tokio::select! {
        reply = &mut from_first => (reply, true),
        reply = &mut from_second => (reply, false),
    };
    match (reply.is_opened(), is_first) {
        (true, _) => reply,
        (false, true) => reply.and(from_second.await),
        (false, false) => reply.and(from_first.await),
    }
}

async fn ask(node: &Node, peer: &TunnelPeer, runner: &RunnerId) -> Reply {
    let reply = timeout(CONNECT_TIMEOUT + REPLY_TIMEOUT, query(node, peer, runner)).await;
    let (reply, outcome) = match reply.unwrap_or(Err(QueryError::TimedOut)) {
        Ok((TunnelReply::Opened, connection)) => (Reply::Opened(connection), PeerOutcome::Opened),
        Ok((TunnelReply::Unreachable { is_refused, reaches_others: true }, _)) => {
            (Reply::Unreachable { is_refused }, PeerOutcome::RunnerUnreachable)
        }
        Ok((TunnelReply::Unreachable { reaches_others: false, .. }, _)) => {
            (Reply::Unknown, PeerOutcome::CutOff)
        }
        Ok((TunnelReply::Declined(reason), _)) => {
            let (peer, runner, reason) = (peer.node.as_str(), runner.as_str(), reason.name());
            log::info!(target: "links", peer, runner, reason; "tunnel declined");
            (Reply::Unknown, PeerOutcome::Unavailable)
        }
        Err(error) => {
            let (peer, runner, error) = (peer.node.as_str(), runner.as_str(), error.to_string());
            log::info!(target: "links", peer, runner, error; "no reply to a tunnel query");
            (Reply::Unknown, PeerOutcome::Unavailable)
        }
    };
    node.tunnel_peers.borrow_mut().on_outcome(&peer.node, outcome, node.now_us());
    reply
}

/// Sends a query and reads the reply. The connection carries the tunnel only if it was opened.
async fn query(
    node: &Node,
    peer: &TunnelPeer,
    runner: &RunnerId,
) -> Result<(TunnelReply, Upstream), QueryError> {
    let io = open_stream(peer.address, CONNECT_TIMEOUT).await?;
    let from = node.members.borrow().own_name().clone();
    write_line(&io, &TunnelQuery { runner: runner.clone(), from })?;
    let reply: TunnelReply = read_line(&io).await?;
    Ok((reply, Upstream::through(io, peer.node.clone())))
}
