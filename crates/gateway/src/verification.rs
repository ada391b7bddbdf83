//! Settles doubts about runners by opening connections to them.

use crate::clock::Instant;
use crate::http::{ConnectFailure, Upstream};
use crate::node::Node;
use pitchstall_serving::ids::RunnerId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time to open a connection to a runner. Runners are tens of milliseconds away at most; one that takes longer is full,
/// dark or cut off, and another may be tried since nothing has been sent.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// A look that took so many times its limit was held up by the node itself.
const OWN_STOP: u32 = 2;

/// Looks whether a runner can be reached, unless it has shown that since `since_us`, or
/// somebody is looking. The connection is kept for the next request.
pub fn verify(node: &Rc<Node>, runner: &RunnerId, since_us: u64) {
    let mut fleet = node.fleet.borrow_mut();
    let is_due = fleet.update_suspicion(runner, |suspicion| suspicion.begin_probe(since_us));
    let address = fleet.get(runner).map(|known| known.record.address);
    if let (Some(true), Some(address)) = (is_due, address) {
        let (node, runner) = (node.clone(), runner.clone());
        ntex::rt::spawn(async move {
            let begun = Instant::now();
            let opened = Upstream::open(address, CONNECT_LIMIT).await;
            let stood_still = begun.elapsed() > CONNECT_LIMIT * OWN_STOP;
            let reachable = (opened.is_ok() || !stood_still).then_some(opened.is_ok());
            let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
            log::info!(target: "verification", runner = runner.as_str(), reachable:?, took_ms; "verified");
            let is_refused = opened.as_ref().is_err_and(ConnectFailure::is_refused);
            node.on_probe_result(&runner, reachable, is_refused);
            if let Ok(connection) = opened {
                node.pool.give_back(&runner, connection, None);
            }
        });
    }
}

/// Doubts a runner whenever nothing has come from it for so long. Ends never.
pub async fn doubt(node: &Rc<Node>, runner: &RunnerId, after: Duration) {
    let mut pause = after;
    loop {
        let since_us = node.now_us();
        sleep(pause).await;
        verify(node, runner, since_us);
        pause *= 2;
    }
}

/// Ends when a runner that was not suspected is.
pub async fn becomes_suspect(node: &Node, runner: &RunnerId) {
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
