//! Opens connections to runners: over this node's own link, or through another node if the link is lost.
//!
//! A connection that cannot be opened has two explanations: the runner is unreachable, or this node's link to it is lost.
//! Another node is asked to tell them apart, and if it reaches the runner, its connection is used at once.

use crate::clock::Instant;
use crate::http::request::encode_request;
use crate::http::{ConnectError, Header, OpenResponse, Upstream};
use crate::node::{LinkLoss, Node, Unreachability};
use crate::runner_probe::{on_link_lost, RUNNER_CONNECT_TIMEOUT};
use crate::tunnel::client::{self, TunnelOutcome};
use pitchstall_platform_adapter::{headers, paths};
use pitchstall_serving::ids::ZoneId;
use pitchstall_serving::runner::RunnerRecord;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time for which only the own link is tried. A runner connects within a few milliseconds unless something is wrong.
const OWN_LINK_HEAD_START: Duration = Duration::from_millis(100);
/// The same while other links have recently been lost.
const DOUBTED_LINK_HEAD_START: Duration = Duration::from_millis(20);
/// Maximum wait for another node after the own link has failed.
const MAX_PEER_WAIT: Duration = Duration::from_millis(60);
/// Maximum time for a runner's response to a request for its state, which takes no slot.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of that response's body.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// No connection to a runner could be opened, neither over this node's link nor through another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the runner is unreachable")]
pub struct RunnerUnreachable;

/// The zones that a request may pass on its way to a runner; `None` allows all.
pub type AllowedZones = Option<BTreeSet<ZoneId>>;

type OwnLinkAttempt = Pin<Box<dyn Future<Output = Result<Upstream, ConnectError>>>>;
type PeerAttempt = Pin<Box<dyn Future<Output = TunnelOutcome>>>;

/// Opens a connection to a runner, and records what the attempt shows about the runner and the link to it. Another node is
/// used only if it is in one of the `zones`.
pub async fn open(
    node: &Rc<Node>,
    record: &RunnerRecord,
    zones: &AllowedZones,
) -> Result<Upstream, RunnerUnreachable> {
    if node.is_link_lost(&record.id) {
        return open_through_peer(node, record, zones).await;
    }
    node.metrics.connections.inc();
    let started_at = Instant::now();
    let mut own_link: OwnLinkAttempt =
        Box::pin(Upstream::open(record.address, RUNNER_CONNECT_TIMEOUT));
    let is_doubted = node.links.borrow().are_others_in_doubt(node.now_us());
    let head_start = if is_doubted { DOUBTED_LINK_HEAD_START } else { OWN_LINK_HEAD_START };
    let early_result = tokio::select! {
        result = &mut own_link => Some(result),
        () = sleep(head_start) => None,
    };
    let through_peer: PeerAttempt =
        Box::pin(client::open(node.clone(), record.id.clone(), zones.clone()));
    match early_result {
        Some(Ok(connection)) => {
            node.on_round_trip(&record.zone, started_at.elapsed());
            Ok(connection)
        }
        Some(Err(error)) => open_after_failure(node, record, error, through_peer).await,
        None => open_by_either(node, record, own_link, through_peer).await,
    }
}

/// Opens a connection like [`open`] on which the runner has responded, if it responds on any. A runner that responds
/// neither over this node's link nor through another node is busy.
pub async fn open_verified(
    node: &Rc<Node>,
    record: &RunnerRecord,
    zones: &AllowedZones,
) -> Result<Upstream, RunnerUnreachable> {
    let connection = open(node, record, zones).await?;
    let is_comparable = connection.peer().is_none() && node.known_node_count() > 1;
    let is_verifiable = is_comparable && node.may_ask_for_state(&record.id);
    if !is_verifiable {
        return Ok(connection);
    }
    match verify(connection, record).await {
        Verification::Usable(connection) => return Ok(connection),
        Verification::Responded => return open(node, record, zones).await,
        Verification::NoResponse => {}
    }
    match open_responding_tunnel(node, record, zones).await {
        Some(tunnel) => Ok(tunnel),
        None => open(node, record, zones).await,
    }
}

/// Opens a connection through another node to a runner that does not respond over this node's link. If the runner responds
/// there, the link is lost. `None`: it does not respond there either, or it closed that connection.
pub async fn open_responding_tunnel(
    node: &Rc<Node>,
    record: &RunnerRecord,
    zones: &AllowedZones,
) -> Option<Upstream> {
    let outcome = client::open(node.clone(), record.id.clone(), zones.clone()).await;
    let TunnelOutcome::Opened(connection) = outcome else { return None };
    let peer = peer_name(&connection);
    let connection = match verify(connection, record).await {
        Verification::Usable(connection) => Some(connection),
        Verification::Responded => None,
        Verification::NoResponse => return None,
    };
    on_link_lost(node, &record.id, &peer, LinkLoss::NoResponse);
    connection
}

/// Waits for the own link, which is slow, and for another node. The first connection is used.
async fn open_by_either(
    node: &Rc<Node>,
    record: &RunnerRecord,
    mut own_link: OwnLinkAttempt,
    mut through_peer: PeerAttempt,
) -> Result<Upstream, RunnerUnreachable> {
    let outcome = tokio::select! {
        result = &mut own_link => match result {
            Ok(connection) => return Ok(connection),
            Err(error) => return open_after_failure(node, record, error, through_peer).await,
        },
        outcome = &mut through_peer => outcome,
    };
    if let TunnelOutcome::Opened(connection) = outcome {
        let peer = peer_name(&connection);
        ntex::rt::spawn(watch_own_link(node.clone(), record.clone(), own_link, peer));
        return Ok(connection);
    }
    match own_link.await {
        Ok(connection) => Ok(connection),
        Err(error) => conclude(node, record, &error, outcome),
    }
}

/// Waits for the result of the own link after another node has already opened a connection.
async fn watch_own_link(
    node: Rc<Node>,
    record: RunnerRecord,
    own_link: OwnLinkAttempt,
    peer: String,
) {
    match own_link.await {
        Ok(connection) => node.pool.put(&record.id, connection, None),
        Err(error) => on_link_lost(&node, &record.id, &peer, loss_of(&error)),
    }
}

/// Waits for another node after the own link has failed, but not for the replies of all that are asked: a node that
/// reaches the runner replies soon. What the others reply is concluded in the background.
async fn open_after_failure(
    node: &Rc<Node>,
    record: &RunnerRecord,
    error: ConnectError,
    mut through_peer: PeerAttempt,
) -> Result<Upstream, RunnerUnreachable> {
    if let Ok(outcome) = timeout(MAX_PEER_WAIT, &mut through_peer).await {
        return conclude(node, record, &error, outcome);
    }
    node.on_unreachable(&record.id, Unreachability::Unconfirmed);
    let (node, record) = (node.clone(), record.clone());
    ntex::rt::spawn(async move {
        let outcome = through_peer.await;
        if let Ok(connection) = conclude(&node, &record, &error, outcome) {
            node.pool.put(&record.id, connection, None);
        }
    });
    Err(RunnerUnreachable)
}

async fn open_through_peer(
    node: &Rc<Node>,
    record: &RunnerRecord,
    zones: &AllowedZones,
) -> Result<Upstream, RunnerUnreachable> {
    // Without other runners, each request would ask other nodes for this one.
    let now_us = node.now_us();
    let runner = &record.id;
    if node.fleet.borrow().get(runner).is_some_and(|known| known.was_just_unreachable(now_us)) {
        return Err(RunnerUnreachable);
    }
    let evidence = match client::open(node.clone(), record.id.clone(), zones.clone()).await {
        TunnelOutcome::Opened(connection) => return Ok(connection),
        TunnelOutcome::RunnerUnreachable { is_refused } => {
            Unreachability::Confirmed { has_terminated: is_refused }
        }
        TunnelOutcome::Unknown => Unreachability::Unconfirmed,
    };
    on_unreachable(node, record, "link lost", evidence);
    Err(RunnerUnreachable)
}

fn on_unreachable(node: &Rc<Node>, record: &RunnerRecord, error: &str, evidence: Unreachability) {
    log::info!(target: "attempt", runner = record.id.as_str(), error, evidence:?; "unreachable");
    node.on_unreachable(&record.id, evidence);
}

/// Draws the conclusion from a failure of the own link and what other nodes have replied.
fn conclude(
    node: &Rc<Node>,
    record: &RunnerRecord,
    error: &ConnectError,
    outcome: TunnelOutcome,
) -> Result<Upstream, RunnerUnreachable> {
    if let Some(evidence) = unreachability(node, error, &outcome) {
        on_unreachable(node, record, &error.to_string(), evidence);
    }
    let TunnelOutcome::Opened(connection) = outcome else { return Err(RunnerUnreachable) };
    on_link_lost(node, &record.id, &peer_name(&connection), loss_of(error));
    Ok(connection)
}

/// What a failure of the own link proves about the runner, given what other nodes have replied; `None` if another node
/// reaches it.
pub(crate) fn unreachability(
    node: &Node,
    error: &ConnectError,
    outcome: &TunnelOutcome,
) -> Option<Unreachability> {
    match outcome {
        TunnelOutcome::Opened(_) => None,
        TunnelOutcome::RunnerUnreachable { is_refused } => {
            let has_terminated = error.is_refused() && *is_refused;
            Some(Unreachability::Confirmed { has_terminated })
        }
        // A node without any others has nobody to ask.
        TunnelOutcome::Unknown if node.known_node_count() == 1 => {
            Some(Unreachability::Confirmed { has_terminated: error.is_refused() })
        }
        TunnelOutcome::Unknown => Some(Unreachability::Unconfirmed),
    }
}

/// How the link has failed, by the error of a connection over it.
pub(crate) fn loss_of(error: &ConnectError) -> LinkLoss {
    if error.is_refused() {
        LinkLoss::Refused
    } else {
        LinkLoss::NotConnected
    }
}

/// Name of the node that a connection leads through; empty if there is none.
pub(crate) fn peer_name(connection: &Upstream) -> String {
    connection.peer().map_or_else(String::new, ToString::to_string)
}

/// Result of asking a runner for its state on a connection.
pub enum Verification {
    /// The runner has responded, and the connection may be used for another request.
    Usable(Upstream),
    /// The runner has responded, and the connection is closed.
    Responded,
    /// The runner has not responded in time. It still owes the response, so the connection is closed.
    NoResponse,
}

/// Asks a runner for its state on a connection. The request takes no slot at the runner; whatever the status of the response
/// is, the runner is there.
pub async fn verify(connection: Upstream, record: &RunnerRecord) -> Verification {
    let exchange = async {
        let response = ask_for_state(connection, record).await?;
        response.discard_body(MAX_RESPONSE_BYTES).await.ok()?;
        Some(response)
    };
    match timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten() {
        Some(response) => {
            response.into_connection().map_or(Verification::Responded, Verification::Usable)
        }
        None => Verification::NoResponse,
    }
}

/// Asks a runner for its state on a connection and waits for the head of the response. `None` if the connection ends before.
pub async fn ask_for_state(connection: Upstream, record: &RunnerRecord) -> Option<OpenResponse> {
    let mut all_headers: Vec<Header> =
        vec![("host".to_owned(), record.address.to_string().into_bytes())];
    let identity_headers = headers::order_headers(&record.id).into_iter();
    all_headers.extend(identity_headers.map(|(name, value)| (name.to_owned(), value.into_bytes())));
    let request = encode_request("GET", paths::REPORT, &all_headers, &[]);
    connection.send(request).ok()?.read_head().await.ok()
}

/// Discards the body of a response with a runner's state in the background, and returns its connection to the pool if it may
/// be used again.
pub fn return_after_state_response(node: &Rc<Node>, record: &RunnerRecord, response: OpenResponse) {
    let (node, runner) = (node.clone(), record.id.clone());
    ntex::rt::spawn(async move {
        let body = response.discard_body(MAX_RESPONSE_BYTES);
        let is_whole = matches!(timeout(RESPONSE_TIMEOUT, body).await, Ok(Ok(_)));
        if let Some(connection) = response.into_connection().filter(|_| is_whole) {
            node.pool.put(&runner, connection, None);
        }
    });
}
