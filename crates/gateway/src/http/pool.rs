//! Pool of idle connections to runners.
//!
//! A connection is pooled only while no response is outstanding on it, which its type ensures ([`Upstream`]), and reused
//! only while no byte has arrived on it since, so that a surplus response cannot be taken for the response to the next
//! request.
//!
//! A runner may drop an idle connection silently and earlier than it advertises. The next request on it
//! is reset, and whether the request ran is unknown. The pool therefore learns from each such loss how
//! long a connection may stay idle; the learned limit grows again over time.

use super::upstream::Upstream;
use crate::clock::Instant;
use pitchstall_serving::ids::RunnerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Idle time after which a connection is not reused, if the runner advertises no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of a runner's advertised idle timeout for which a connection is reused. The runner may close a
/// little early, and a request that crosses the close may or may not run.
const IDLE_TIMEOUT_USED_PERCENT: u32 = 70;
/// Maximum number of idle connections to one runner.
const MAX_IDLE_PER_RUNNER: usize = 32;

/// The learned idle limit as a share of the idle time of the connection that was found closed.
const LEARNED_LIMIT_PERCENT: u32 = 60;
/// Minimum idle time after which a lost connection counts as stale. A connection that is lost after a shorter
/// idle time means that the runner failed. It is also the lower bound of the learned idle limit.
const MIN_STALE_IDLE: Duration = Duration::from_millis(60);
/// Time in which the learned idle limit doubles.
const LEARNED_LIMIT_DOUBLING_TIME: Duration = Duration::from_secs(4);

struct IdleConnection {
    connection: Upstream,
    usable_until: Instant,
    idle_since: Instant,
}

/// A connection taken from the pool.
pub struct PooledConnection {
    /// The connection, on which no response is outstanding.
    pub connection: Upstream,
    /// How long it was idle in the pool.
    pub idle_for: Duration,
}

/// Limit on the idle time of reused connections, learned from connections that the runner had dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnedIdleLimit {
    learned: Option<(Duration, Instant)>,
}

impl LearnedIdleLimit {
    /// Records that a connection was found closed after it had been idle for `idle_for`.
    pub fn on_stale_connection(&mut self, idle_for: Duration, now: Instant) {
        if idle_for < MIN_STALE_IDLE {
            return;
        }
        let limit = (idle_for * LEARNED_LIMIT_PERCENT / 100).max(MIN_STALE_IDLE);
        if self.at(now).is_none_or(|known| limit < known) {
            self.learned = Some((limit, now));
        }
    }

    /// The limit at `now`; `None` if nothing has been learned.
    pub fn at(&self, now: Instant) -> Option<Duration> {
        let (limit, learned_at) = self.learned?;
        let age = now.saturating_duration_since(learned_at);
        let doublings = age.as_secs_f64() / LEARNED_LIMIT_DOUBLING_TIME.as_secs_f64();
        Some(limit.mul_f64(doublings.min(f64::from(u8::MAX)).exp2().min(f64::from(u16::MAX))))
    }
}

/// Idle connections, grouped by runner.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<RunnerId, Vec<IdleConnection>>>,
    learned_limit: Cell<LearnedIdleLimit>,
}

impl ConnectionPool {
    /// Takes the most recently used connection to a runner that can be reused and for which `is_usable` holds. Other
    /// connections are closed on the way.
    pub fn take(
        &self,
        runner: &RunnerId,
        is_usable: impl Fn(&Upstream) -> bool,
    ) -> Option<PooledConnection> {
        let now = Instant::now();
        let limit = self.learned_limit.get().at(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(runner)?;
        while let Some(last) = connections.pop() {
            let idle_for = now.saturating_duration_since(last.idle_since);
            let is_within_learned_limit = limit.is_none_or(|limit| idle_for < limit);
            let is_reusable = last.connection.is_reusable() && is_usable(&last.connection);
            if is_within_learned_limit && now < last.usable_until && is_reusable {
                return Some(PooledConnection { connection: last.connection, idle_for });
            }
        }
        None
    }

    /// Records that a request on a pooled connection, idle for `idle_for` before, was lost without any response.
    pub fn on_stale_connection(&self, idle_for: Duration) {
        let mut learned = self.learned_limit.get();
        learned.on_stale_connection(idle_for, Instant::now());
        self.learned_limit.set(learned);
    }

    /// Adds a connection to the pool if it can be reused. `advertised_timeout` is the idle timeout that the
    /// runner announced, if any.
    pub fn put(
        &self,
        runner: &RunnerId,
        connection: Upstream,
        advertised_timeout: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let idle_timeout = advertised_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |it| it * IDLE_TIMEOUT_USED_PERCENT / 100);
        let idle_since = Instant::now();
        let usable_until = idle_since + idle_timeout;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(runner.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_RUNNER {
            connections.push(IdleConnection { connection, usable_until, idle_since });
        }
    }

    /// Number of idle connections to all runners.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all idle connections to a runner.
    pub fn remove_runner(&self, runner: &RunnerId) {
        self.idle.borrow_mut().remove(runner);
    }

    /// Closes connections that were idle for too long or were closed by the runner.
    pub fn prune(&self) {
        let now = Instant::now();
        let is_usable =
            |idle: &IdleConnection| now < idle.usable_until && idle.connection.is_reusable();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(is_usable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
