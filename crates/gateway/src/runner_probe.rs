//! Checks whether silent runners can be reached by opening connections to them.

use crate::clock::Instant;
use crate::http::{ConnectError, Upstream};
use crate::node::Node;
use pitchstall_serving::ids::RunnerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time for opening a connection to a runner. Runners are tens of milliseconds away at most. One that takes
/// longer is overloaded, down or cut off, and since nothing has been sent, another runner may be tried.
pub const RUNNER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A probe that took more than this multiple of its timeout was delayed by the node itself, so its failure says
/// nothing about the runner.
const NODE_STALL_FACTOR: u32 = 2;

/// Opens a connection in the background to check whether a runner can be reached. Does nothing if data has arrived
/// from the runner since `since_us` (microseconds on the node's clock), if the runner is already suspected of having
/// failed, or if another check is under way. A connection that could be opened is added to the pool.
pub fn probe(node: &Rc<Node>, runner: &RunnerId, since_us: u64) {
    let mut fleet = node.fleet.borrow_mut();
    let is_due = fleet.update_suspicion(runner, |suspicion| suspicion.begin_probe(since_us));
    let address = fleet.get(runner).map(|known| known.record.address);
    if let (Some(true), Some(address)) = (is_due, address) {
        let (node, runner) = (node.clone(), runner.clone());
        ntex::rt::spawn(async move {
            let started_at = Instant::now();
            let connect_result = Upstream::open(address, RUNNER_CONNECT_TIMEOUT).await;
            let is_node_stalled = started_at.elapsed() > RUNNER_CONNECT_TIMEOUT * NODE_STALL_FACTOR;
            let reachable =
                (connect_result.is_ok() || !is_node_stalled).then_some(connect_result.is_ok());
            let took_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            log::info!(target: "verification", runner = runner.as_str(), reachable:?, took_ms; "verified");
            let is_refused = connect_result.as_ref().is_err_and(ConnectError::is_refused);
            node.on_probe_result(&runner, reachable, is_refused);
            if let Ok(connection) = connect_result {
                node.pool.put(&runner, connection, None);
            }
        });
    }
}

/// Probes a runner after `after`, and then at intervals that double each time. Never completes; the caller drops it
/// when the runner responds.
pub async fn probe_while_silent(node: &Rc<Node>, runner: &RunnerId, after: Duration) {
    let mut interval = after;
    loop {
        let since_us = node.now_us();
        sleep(interval).await;
        probe(node, runner, since_us);
        interval *= 2;
    }
}

/// Completes when a runner becomes suspected of having failed. Never completes if the runner is suspected already.
pub async fn wait_until_suspected(node: &Node, runner: &RunnerId) {
    let is_suspected = || {
        let fleet = node.fleet.borrow();
        fleet.get(runner).is_some_and(pitchstall_serving::runner::Runner::is_suspected)
    };
    if is_suspected() {
        std::future::pending::<()>().await;
    }
    loop {
        let changed = node.suspicion_changed.notified();
        if is_suspected() {
            return;
        }
        changed.await;
    }
}
