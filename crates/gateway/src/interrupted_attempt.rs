//! Handling of attempts that ended before their responses were complete.
//!
//! Each of them may mean that the runner has crashed. The runner is therefore probed, and the
//! request that was in progress there is recorded until the result is known (see
//! [`pitchstall_serving::crash_evidence`]).

use crate::clock::Instant;
use crate::http::ReadError;
use crate::intake::ClientRequest;
use crate::node::Node;
use crate::response_memory::report_if_too_long;
use crate::runner_probe::{probe, ProbeCause};
use pitchstall_serving::ids::{RunnerId, TenantName};
use pitchstall_serving::request_identity::Suspect;
use std::rc::Rc;
use std::time::Duration;

/// If a pooled connection ends within this time after a request was sent on it, the runner is
/// assumed to have closed the idle connection before.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(30);

/// An attempt that ended before its response was complete.
#[derive(Clone, Copy)]
pub struct InterruptedAttempt<'a> {
    /// The request of the attempt.
    pub request: &'a ClientRequest,
    /// The tenant on whose behalf the request runs.
    pub tenant: Option<&'a TenantName>,
    /// The runner to which the request was sent.
    pub runner: &'a RunnerId,
    /// The parts of the prompt that may have crashed the runner; empty if it has only prefilled the prompt.
    pub parts: &'a [Suspect],
}

/// Handles a connection that broke after the head of the response: the runner has crashed, or has
/// lost this one response.
pub fn on_interrupted(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    on_broken_connection(node, attempt, ProbeCause::Silence);
}

fn on_broken_connection(node: &Rc<Node>, attempt: InterruptedAttempt<'_>, cause: ProbeCause) {
    let now_us = node.now_us();
    // Through another node, the connection to that node may have failed as well.
    if !node.is_link_lost(attempt.runner) {
        node.fleet.borrow_mut().on_response_interrupted(attempt.runner, now_us);
    }
    record_unfinished_attempt(node, attempt);
    probe(node, attempt.runner, now_us, cause);
}

/// Records the unfinished attempt and probes its runner, which may have crashed.
fn record_and_probe(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    record_unfinished_attempt(node, attempt);
    probe(node, attempt.runner, node.now_us(), ProbeCause::Silence);
}

/// Records that a request was in progress at a runner that may have crashed.
pub fn record_unfinished_attempt(node: &Rc<Node>, attempt: InterruptedAttempt<'_>) {
    let identity = attempt.request.identity(attempt.tenant);
    let request = attempt.request.metadata.id.as_str();
    node.on_attempt_interrupted(attempt.runner, request, identity, attempt.parts);
}

/// How the connection was used by an attempt that was lost with it.
#[derive(Clone, Copy)]
pub struct ConnectionUse {
    /// How long a pooled connection was idle before the request; `None` for a new connection.
    pub idle: Option<Duration>,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl ConnectionUse {
    /// The idle time of a pooled connection that was already closed by the runner when the request
    /// was sent. This is assumed if the connection ended faster than any response could have been
    /// computed. `None` otherwise.
    fn idle_if_stale(&self) -> Option<Duration> {
        self.idle.filter(|_| self.sent_at.elapsed() < STALE_CONNECTION_WINDOW)
    }
}

/// Handles a connection that broke before the head of the response was received.
pub fn on_connection_lost(
    node: &Rc<Node>,
    attempt: InterruptedAttempt<'_>,
    connection: ConnectionUse,
    error: &ReadError,
) {
    let runner = attempt.runner;
    let id = attempt.request.metadata.id.as_str();
    report_if_too_long(node, id, runner, error);
    let error = error.to_string();
    let idle_if_stale = connection.idle_if_stale();
    let idle_ms = idle_if_stale.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    log::info!(target: "attempt", request = id, runner = runner.as_str(), rested_ms = idle_ms, error; "lost");
    match idle_if_stale {
        Some(idle) => {
            node.pool.on_stale_connection(idle);
            node.pool.remove_runner(runner);
            // The runner may also have crashed just after it accepted the request.
            record_and_probe(node, attempt);
        }
        None => on_broken_connection(node, attempt, ProbeCause::BrokenConnection),
    }
}
