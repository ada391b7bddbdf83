//! Idle connections to runners, kept for the next request.
//!
//! A connection is kept only after an answer that was read to its end, and given out only
//! while nothing has come on it since: a surplus answer must not meet the next request.

use super::upstream::Upstream;
use pitchstall_serving::ids::RunnerId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Idle time after which a connection is not used, if the runner does not say.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of a runner's idle limit that is used: it may close a little early, and a request
/// that crosses its close may or may not run.
const USED_IDLE_PERCENT: u32 = 70;
/// Most idle connections to one runner.
const MOST_IDLE: usize = 32;

struct IdleConnection {
    connection: Upstream,
    usable_until: Instant,
}

/// Idle connections by runner.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<RunnerId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the connection to a runner that was used last, if one is fit.
    pub fn take(&self, runner: &RunnerId) -> Option<Upstream> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(runner)?;
        while let Some(last) = connections.pop() {
            if now < last.usable_until && last.connection.is_reusable() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection, if it can be used again.
    pub fn give_back(&self, runner: &RunnerId, connection: Upstream, idle_limit: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let limit = idle_limit.map_or(DEFAULT_IDLE_LIMIT, |it| it * USED_IDLE_PERCENT / 100);
        let usable_until = Instant::now() + limit;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(runner.clone()).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(IdleConnection { connection, usable_until });
        }
    }

    /// Closes the connections to a runner that is gone.
    pub fn forget(&self, runner: &RunnerId) {
        self.idle.borrow_mut().remove(runner);
    }

    /// Closes connections that have rested too long or were closed by the runner.
    pub fn prune(&self) {
        let now = Instant::now();
        let fit = |idle: &IdleConnection| now < idle.usable_until && idle.connection.is_reusable();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(fit);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
