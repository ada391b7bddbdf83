//! Idle connections to runners, kept for the next request.
//!
//! A connection is kept only after an answer that was read to its end, and given out only
//! while nothing has come on it since: a surplus answer must not meet the next request.
//!
//! A runner may forget a connection without a word, earlier than it says; what is sent on it
//! next is reset, and whether it ran is not known. So the pool learns from each such loss how
//! long connections can rest, and forgets that again in time.

use super::upstream::Upstream;
use crate::clock::Instant;
use pitchstall_serving::ids::RunnerId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// Idle time after which a connection is not used, if the runner does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of a runner's idle limit that is used: it may close a little early, and a request
/// that crosses its close may or may not run.
const IDLE_TIMEOUT_USED_PERCENT: u32 = 70;
/// Most idle connections to one runner.
const MAX_IDLE_PER_RUNNER: usize = 32;

/// Part of the rest after which a connection was found dead that is trusted from then on.
const LEARNED_LIMIT_PERCENT: u32 = 60;
/// A connection that has rested shorter is not taken for forgotten: its runner failed.
const MIN_STALE_IDLE: Duration = Duration::from_millis(60);
/// Time in which the trusted rest doubles again.
const LEARNED_LIMIT_DOUBLING_TIME: Duration = Duration::from_secs(4);

struct IdleConnection {
    connection: Upstream,
    usable_until: Instant,
    idle_since: Instant,
}

/// A connection that was kept.
pub struct PooledConnection {
    /// The connection.
    pub connection: Upstream,
    /// How long it has rested.
    pub idle_for: Duration,
}

/// How long connections can rest, as learned from those that were found dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnedIdleLimit {
    learned: Option<(Duration, Instant)>,
}

impl LearnedIdleLimit {
    /// A connection that had rested so long was found dead.
    pub fn on_stale_connection(&mut self, idle_for: Duration, now: Instant) {
        if idle_for < MIN_STALE_IDLE {
            return;
        }
        let limit = (idle_for * LEARNED_LIMIT_PERCENT / 100).max(MIN_STALE_IDLE);
        if self.at(now).is_none_or(|known| limit < known) {
            self.learned = Some((limit, now));
        }
    }

    /// The rest that is trusted now; `None`: nothing was learned.
    pub fn at(&self, now: Instant) -> Option<Duration> {
        let (limit, learned_at) = self.learned?;
        let age = now.saturating_duration_since(learned_at);
        let doublings = age.as_secs_f64() / LEARNED_LIMIT_DOUBLING_TIME.as_secs_f64();
        Some(limit.mul_f64(doublings.min(f64::from(u8::MAX)).exp2().min(f64::from(u16::MAX))))
    }
}

/// Idle connections by runner.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<RunnerId, Vec<IdleConnection>>>,
    learned_limit: Cell<LearnedIdleLimit>,
}

impl ConnectionPool {
    /// Takes the connection to a runner that was used last, if one is fit.
    pub fn take(&self, runner: &RunnerId) -> Option<PooledConnection> {
        let now = Instant::now();
        let limit = self.learned_limit.get().at(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(runner)?;
        while let Some(last) = connections.pop() {
            let idle_for = now.saturating_duration_since(last.idle_since);
            let is_within_learned_limit = limit.is_none_or(|limit| idle_for < limit);
            if is_within_learned_limit && now < last.usable_until && last.connection.is_reusable() {
                return Some(PooledConnection { connection: last.connection, idle_for });
            }
        }
        None
    }

    /// A request that was sent on a kept connection was lost without any answer.
    pub fn on_stale_connection(&self, idle_for: Duration) {
        let mut learned = self.learned_limit.get();
        learned.on_stale_connection(idle_for, Instant::now());
        self.learned_limit.set(learned);
    }

    /// Keeps a connection, if it can be used again.
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

    /// Closes the connections to a runner that is gone.
    pub fn remove_runner(&self, runner: &RunnerId) {
        self.idle.borrow_mut().remove(runner);
    }

    /// Closes connections that have rested too long or were closed by the runner.
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
