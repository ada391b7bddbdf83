//! Tells the keepers of streams where these began, after nodes have stopped or started.
//!
//! [`pitchstall_serving::stream_origin_handover`] knows which keepers have been told. A task compares them with the
//! present ones, a limited number of streams at a time, so that nodes that start together are not flooded. A node that
//! stops goes on with this until its process ends; it then also tells of the streams that have begun during its stop.
//! Nothing is sent of a service while one version alone counts for it.

use crate::clock::Instant;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::stream_origins::has_several_origins;
use pitchstall_serving::ids::{NodeId, ServiceName, StreamId};
use pitchstall_serving::stream_origin::StreamOriginMessage;
use pitchstall_serving::stream_origin_handover::{OriginHandover, STREAM_KEEPERS};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two steps of a node whose process is about to end.
const FINAL_STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Number of steps between two removals of streams that have expired.
const STEPS_PER_REMOVAL: u32 = 200;
/// Maximum number of streams in one message, about 30 KB.
const MAX_STREAMS_PER_MESSAGE: usize = 200;
const MICROS_PER_MILLI: u64 = 1_000;

/// State of a node that tells the keepers of streams.
#[derive(Default)]
pub struct OriginHandovers {
    handover: RefCell<OriginHandover>,
    round: Cell<Option<Round>>,
}

/// What has been sent since there was last nothing left to tell.
#[derive(Clone, Copy, Debug)]
struct Round {
    began_at_us: u64,
    /// Reports of streams, counted for each keeper.
    reports: usize,
    bytes: usize,
}

/// Tells keepers of streams until the task is dropped.
pub async fn run(node: Rc<Node>) {
    for step in 1_u32.. {
        sleep(STEP_INTERVAL).await;
        check_streams(&node);
        if step % STEPS_PER_REMOVAL == 0 {
            remove_expired(&node);
        }
    }
}

/// Begins the handover of a node whose planned stop has begun.
pub fn begin_stop(node: &Node) {
    node.origin_handovers.handover.borrow_mut().begin_stop();
    check_streams(node);
}

/// Completes the handover of a node whose process is about to end, until `deadline` at the latest.
pub async fn finish(node: &Node, deadline: Instant) {
    while check_streams(node) > 0 && Instant::now() < deadline {
        sleep(FINAL_STEP_INTERVAL).await;
    }
    let left = untold_count(node, &mixed_services(node));
    if left > 0 {
        log::warn!(target: "stream", left; "handover ended before all keepers were told");
    }
}

/// Handles the start of another node.
pub fn on_node_started(node: &Node, address: SocketAddr) {
    let now_us = node.now_us();
    node.origin_handovers.handover.borrow_mut().on_node_started(address, now_us);
}

/// Records that this node has told a stream's present keepers where it began.
pub fn on_told(node: &Node, stream: &StreamId) {
    let keepers = present_keepers(node, stream);
    node.origin_handovers.handover.borrow_mut().on_told(stream.clone(), keepers);
}

/// Records that another node has told this one where a stream began.
pub fn on_heard(node: &Node, stream: &StreamId) {
    let keepers = present_keepers(node, stream);
    node.origin_handovers.handover.borrow_mut().on_heard(stream.clone(), keepers);
}

/// The other nodes of this node's region that keep where a stream began, without those that are stopping.
pub fn present_keepers(node: &Node, stream: &StreamId) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let is_present = |name: &NodeId| is_present(node, name);
    let keepers = members.stream_keepers(stream, &members.own_region(), STREAM_KEEPERS, is_present);
    keepers.into_iter().map(|(_, address)| address).collect()
}

/// Whether a node, which may be this one, has begun no planned stop.
pub fn is_present(node: &Node, name: &NodeId) -> bool {
    let is_own = node.members.borrow().own_name() == name;
    match is_own {
        true => !node.is_stopping(),
        false => !node.runner_limits.is_stopping(name),
    }
}

/// Checks the next streams and tells their keepers. Returns how many streams are left to be checked.
fn check_streams(node: &Node) -> usize {
    let services = mixed_services(node);
    match services.is_empty() {
        true => node.origin_handovers.handover.borrow_mut().forget_nodes(),
        false => tell_next(node, &services),
    }
    let left = untold_count(node, &services);
    node.metrics.stream_origins_untold.set(left as f64);
    if left == 0 {
        log_round(node);
    }
    left
}

/// The other nodes that have begun no planned stop.
fn present_nodes(node: &Node) -> BTreeMap<NodeId, SocketAddr> {
    let members = node.members.borrow();
    let others = members.all().filter(|(name, _)| *name != members.own_name());
    let present = others.filter(|(name, _)| is_present(node, name));
    present.map(|(name, member)| (name.clone(), member.address)).collect()
}

/// The services for which several versions count.
fn mixed_services(node: &Node) -> BTreeSet<ServiceName> {
    let mut services = node.stream_origins.mixed_services.borrow().clone();
    services.retain(|_| has_several_origins(node));
    services
}

/// 0 while nothing may be told.
fn untold_count(node: &Node, services: &BTreeSet<ServiceName>) -> usize {
    match services.is_empty() {
        true => 0,
        false => node.origin_handovers.handover.borrow().unchecked_count(),
    }
}

fn tell_next(node: &Node, services: &BTreeSet<ServiceName>) {
    let keepers_of = |stream: &StreamId| present_keepers(node, stream);
    let (present, now_us) = (present_nodes(node), node.now_us());
    let mut handover = node.origin_handovers.handover.borrow_mut();
    handover.observe_nodes(present, now_us);
    let untold = handover.check_next(keepers_of);
    drop(handover);
    for (keeper, streams) in untold {
        let origins = node.stream_origins.origins.borrow();
        let known = streams.iter().flat_map(|stream| origins.messages(stream, now_us));
        let messages: Vec<_> = known.filter(|it| services.contains(&it.origin.service)).collect();
        let bytes = send(node, keeper, &messages);
        count_sent(node, messages.len(), bytes);
    }
}

/// Sends reports to a keeper in batches. Returns their length in bytes.
pub(crate) fn send(node: &Node, keeper: SocketAddr, messages: &[StreamOriginMessage]) -> usize {
    let batches = messages.chunks(MAX_STREAMS_PER_MESSAGE);
    let socket = &node.scheduling.socket;
    batches.map(|batch| socket.send(&PeerMessage::StreamOrigins(batch.to_vec()), &[keeper])).sum()
}

fn count_sent(node: &Node, reports: usize, bytes: usize) {
    let round = &node.origin_handovers.round;
    let begun = Round { began_at_us: node.now_us(), reports: 0, bytes: 0 };
    let before = round.get().unwrap_or(begun);
    let (reports, bytes) = (before.reports + reports, before.bytes + bytes);
    round.set(Some(Round { reports, bytes, ..before }));
}

fn log_round(node: &Node) {
    let Some(round) = node.origin_handovers.round.take() else { return };
    let Round { began_at_us, reports, bytes } = round;
    let took_ms = node.now_us().saturating_sub(began_at_us) / MICROS_PER_MILLI;
    let stopping = node.is_stopping();
    log::info!(target: "stream", reports, bytes, took_ms, stopping; "handover");
}

fn remove_expired(node: &Node) {
    let (origins, now_us) = (node.stream_origins.origins.borrow(), node.now_us());
    let is_known = |stream: &StreamId| origins.is_known(stream, now_us);
    node.origin_handovers.handover.borrow_mut().retain(is_known);
}
