//! Opens connections to runners on behalf of other nodes and moves the bytes.

use super::frames::{data_header, end_frame, go_away_frame};
use super::{DeclineReason, TunnelQuery, TunnelReply};
use crate::descriptor_shares::DescriptorShare;
use crate::http::{open_stream, ConnectError};
use crate::json_lines::{read_available, read_chunk, write_bytes, write_line, Available};
use crate::node::Node;
use crate::open_counter::OpenGuard;
use crate::runner_probe::RUNNER_CONNECT_TIMEOUT;
use ntex::io::Io;
use ntex::util::Bytes;
use pitchstall_serving::ids::RunnerId;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;

/// Maximum number of simultaneous tunnels of all other nodes.
const MAX_TUNNELS: usize = 256;
/// A tunnel takes the other node's connection and the one to the runner.
const DESCRIPTORS_PER_TUNNEL: usize = 2;
/// Maximum number of bytes that are moved at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Number of other runners that are tried before this node assumes that its own links are lost.
const OTHER_RUNNERS_TRIED: usize = 3;

/// Replies to a query and carries the tunnel until either side closes it.
pub async fn serve(client: &Io, node: &Node, query: &TunnelQuery) {
    let opened = open(node, query).await;
    let reply = opened.as_ref().map_or_else(|reply| *reply, |_| TunnelReply::Opened);
    log_reply(query, reply);
    if write_line(client, &reply).is_err() {
        return;
    }
    match opened {
        Ok((runner, _open)) => {
            node.metrics.tunnels_carried.inc();
            carry(client, &runner, node).await;
        }
        // If the reply does not arrive, the node that asks gives up waiting for it.
        Err(_) => drop(client.flush(true).await),
    }
}

/// Connects to the runner, or returns the reply that says why not.
async fn open(node: &Node, query: &TunnelQuery) -> Result<(Io, OpenGuard), TunnelReply> {
    let address = runner_address(node, query).map_err(TunnelReply::Declined)?;
    let open = node.open_tunnels.open();
    if node.links.borrow().is_lost(&query.runner) {
        return Err(TunnelReply::Unreachable { is_refused: false, reaches_others: false });
    }
    match open_stream(address, RUNNER_CONNECT_TIMEOUT).await {
        Ok(runner) => Ok((runner, open)),
        Err(error) => Err(TunnelReply::Unreachable {
            is_refused: ConnectError::is_refused(&error),
            reaches_others: reaches_other_runners(node, &query.runner).await,
        }),
    }
}

fn runner_address(node: &Node, query: &TunnelQuery) -> Result<SocketAddr, DeclineReason> {
    // A node that has begun to stop still carries a request for those that find no other way.
    if node.is_closing() {
        return Err(DeclineReason::Stopping);
    }
    if node.members.borrow().zone_of(&query.from).is_none() {
        return Err(DeclineReason::UnknownNode);
    }
    let by_descriptors = DescriptorShare::Tunnels.of(&node.settings()) / DESCRIPTORS_PER_TUNNEL;
    if node.open_tunnels.count() >= by_descriptors.min(MAX_TUNNELS) {
        return Err(DeclineReason::Busy);
    }
    let fleet = node.fleet.borrow();
    let runner = fleet.get(&query.runner).ok_or(DeclineReason::UnknownRunner)?;
    Ok(runner.record.address)
}

/// Whether this node reaches any other runner over its own links.
async fn reaches_other_runners(node: &Node, unreachable: &RunnerId) -> bool {
    if node.links.borrow().has_recent_data(node.now_us()) {
        return true;
    }
    let others: Vec<SocketAddr> = {
        let fleet = node.fleet.borrow();
        let others = fleet.iter().filter(|runner| runner.record.id != *unreachable);
        others.map(|runner| runner.record.address).sample(&mut rand::rng(), OTHER_RUNNERS_TRIED)
    };
    let tries = others.into_iter().map(|address| open_stream(address, RUNNER_CONNECT_TIMEOUT));
    let tries: Vec<_> = tries.map(ntex::rt::spawn).collect();
    for connected in tries {
        if matches!(connected.await, Ok(Ok(_))) {
            return true;
        }
    }
    false
}

fn log_reply(query: &TunnelQuery, reply: TunnelReply) {
    let (runner, from) = (query.runner.as_str(), query.from.as_str());
    match reply {
        TunnelReply::Opened => log::info!(target: "links", runner, from; "tunnel carried"),
        TunnelReply::Unreachable { is_refused, reaches_others } => {
            log::info!(target: "links", runner, from, is_refused, reaches_others; "tunnel not opened: runner unreachable");
        }
        TunnelReply::Declined(reason) => {
            let reason = reason.name();
            log::info!(target: "links", runner, from, reason; "tunnel not opened");
        }
    }
}

/// Moves bytes in both directions. Returning closes both connections.
async fn carry(client: &Io, runner: &Io, node: &Node) {
    tokio::select! {
        () = forward_requests(client, runner, node) => {}
        () = forward_responses(runner, client, node) => {}
    }
}

/// Moves bytes to the runner until the node that uses the tunnel closes it.
async fn forward_requests(client: &Io, runner: &Io, node: &Node) {
    while let Ok(bytes) = read_chunk(client, CHUNK_BYTES).await {
        node.metrics.tunnel_bytes.inc_by(bytes.len() as u64);
        if write_bytes(runner, bytes).is_err() || runner.flush(true).await.is_err() {
            return;
        }
    }
}

/// Moves the runner's bytes in frames. Without the last frame, the connection counts as broken at the other node.
async fn forward_responses(runner: &Io, client: &Io, node: &Node) {
    let mut is_stop_announced = false;
    loop {
        let received = tokio::select! {
            received = read_available(runner, CHUNK_BYTES) => received,
            () = node.wait_for_stop(), if !is_stop_announced => {
                is_stop_announced = true;
                if write_bytes(client, go_away_frame()).is_err() {
                    return;
                }
                continue;
            }
        };
        let is_written = match &received {
            Available::Bytes(bytes) => write_frame(client, bytes, node),
            Available::End => write_bytes(client, end_frame()).is_ok(),
            Available::Broken => false,
        };
        if !is_written || client.flush(true).await.is_err() || matches!(received, Available::End) {
            return;
        }
    }
}

fn write_frame(client: &Io, bytes: &Bytes, node: &Node) -> bool {
    node.metrics.tunnel_bytes.inc_by(bytes.len() as u64);
    let header = write_bytes(client, data_header(bytes.len()));
    header.and_then(|()| write_bytes(client, bytes.clone())).is_ok()
}
