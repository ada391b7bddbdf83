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
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(30);

/// An attempt that ended before its answer was whole.
#[derive(Clone, Copy)]
pub struct InterruptedAttempt<'a> {
    /// The request.
    pub request: &'a ClientRequest,
    /// The tenant for whom it runs.
    pub tenant: Option<&'a TenantName>,
    /// The runner that had it.
    pub runner: &'a RunnerId,
}

/// A connection broke before its answer was whole: the runner has crashed, or it lost one
/// answer.
pub fn on_interrupted(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    let now_us = node.now_us();
    node.fleet.borrow_mut().on_response_interrupted(attempt.runner, now_us);
    verify_runner(node, attempt);
}

/// Finds out whether the runner of an attempt has ended.
pub fn verify_runner(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    record_unfinished_attempt(node, attempt);
    verify(node, attempt.runner, node.now_us());
}

/// A request was under way at a runner that may have ended.
pub fn record_unfinished_attempt(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    let identity = attempt.request.identity(attempt.tenant);
    node.on_broken_attempt(attempt.runner, attempt.request.facts.id.as_str(), identity);
}

/// How the connection of a lost attempt was used.
#[derive(Clone, Copy)]
pub struct ConnectionUse {
    /// How long a kept connection had rested; `None`: a new one.
    pub idle: Option<Duration>,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl ConnectionUse {
    /// The rest after which a kept connection was found dead: its end came as fast as an
    /// answer that nobody worked on.
    fn stale_after(&self) -> Option<Duration> {
        self.idle.filter(|_| self.sent_at.elapsed() < STALE_CONNECTION_WINDOW)
    }
}

/// A connection broke before the head of an answer had come.
pub fn on_connection_lost(
    node: &Rc<Node>,
    attempt: InterruptedAttempt<'_>,
    connection: ConnectionUse,
    error: &ReadFailure,
) {
    let error = error.to_string();
    let runner = attempt.runner;
    let id = attempt.request.facts.id.as_str();
    let stale_after = connection.stale_after();
    let rested_ms = stale_after.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    log::info!(target: "attempt", request = id, runner = runner.as_str(), rested_ms, error; "lost");
    match stale_after {
        Some(idle) => {
            node.pool.on_dead(idle);
            node.pool.forget(runner);
            // It may also have ended just after it took the request.
            verify_runner(node, attempt);
        }
        None => on_interrupted(node, attempt),
    }
}
