//! Attempts that ended before their answers were whole: what follows for their runners.
//!
//! Each of them may mean that the runner has ended, so it is looked at, and which request was under way
//! there is remembered until that is known ([`pitchstall_serving::crash_evidence`]).

use crate::clock::Instant;
use crate::http::ReadFailure;
use crate::intake::ClientRequest;
use crate::node::Node;
use crate::verification::verify;
use pitchstall_serving::ids::{RunnerId, TenantName};
use std::rc::Rc;
use std::time::Duration;

/// Time after sending within which a kept connection that ends is taken for one that the
/// runner had forgotten.
const DEAD_WITHIN: Duration = Duration::from_millis(30);

/// An attempt that ended before its answer was whole.
#[derive(Clone, Copy)]
pub struct BrokenAttempt<'a> {
    /// The request.
    pub request: &'a ClientRequest,
    /// The tenant for whom it runs.
    pub tenant: Option<&'a TenantName>,
    /// The runner that had it.
    pub runner: &'a RunnerId,
}

/// A connection broke before its answer was whole: the runner has crashed, or it lost one
/// answer.
pub fn on_broken(node: &Rc<Node>, broken: BrokenAttempt<'_>) {
    let now_us = node.now_us();
    node.fleet.borrow_mut().on_response_interrupted(broken.runner, now_us);
    look_at_runner(node, broken);
}

/// Finds out whether the runner of an attempt has ended.
pub fn look_at_runner(node: &Rc<Node>, broken: BrokenAttempt<'_>) {
    on_under_way(node, broken);
    verify(node, broken.runner, node.now_us());
}

/// A request was under way at a runner that may have ended.
pub fn on_under_way(node: &Rc<Node>, broken: BrokenAttempt<'_>) {
    let identity = broken.request.identity(broken.tenant);
    node.on_broken_attempt(broken.runner, broken.request.facts.id.as_str(), identity);
}

/// How the connection of a lost attempt was used.
#[derive(Clone, Copy)]
pub struct ConnectionUse {
    /// How long a kept connection had rested; `None`: a new one.
    pub rested: Option<Duration>,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl ConnectionUse {
    /// The rest after which a kept connection was found dead: its end came as fast as an
    /// answer that nobody worked on.
    fn found_dead(&self) -> Option<Duration> {
        self.rested.filter(|_| self.sent_at.elapsed() < DEAD_WITHIN)
    }
}

/// A connection broke before the head of an answer had come.
pub fn on_lost(
    node: &Rc<Node>,
    broken: BrokenAttempt<'_>,
    connection: ConnectionUse,
    error: &ReadFailure,
) {
    let error = error.to_string();
    let runner = broken.runner;
    let id = broken.request.facts.id.as_str();
    let found_dead = connection.found_dead();
    let rested_ms = found_dead.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    log::info!(target: "attempt", request = id, runner = runner.as_str(), rested_ms, error; "lost");
    match found_dead {
        Some(rested) => {
            node.pool.on_dead(rested);
            node.pool.forget(runner);
            // It may also have ended just after it took the request.
            look_at_runner(node, broken);
        }
        None => on_broken(node, broken),
    }
}
