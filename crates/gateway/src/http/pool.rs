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
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of a runner's idle limit that is used: it may close a little early, and a request
/// that crosses its close may or may not run.
const USED_IDLE_PERCENT: u32 = 70;
/// Most idle connections to one runner.
const MOST_IDLE: usize = 32;

/// Part of the rest after which a connection was found dead that is trusted from then on.
const TRUSTED_PERCENT: u32 = 60;
/// A connection that has rested shorter is not taken for forgotten: its runner failed.
const SHORTEST_REST: Duration = Duration::from_millis(60);
/// Time in which the trusted rest doubles again.
const TRUST_DOUBLES_IN: Duration = Duration::from_secs(4);

struct IdleConnection {
    connection: Upstream,
    usable_until: Instant,
    resting_since: Instant,
}

/// A connection that was kept.
pub struct KeptConnection {
    /// The connection.
    pub connection: Upstream,
    /// How long it has rested.
    pub rested: Duration,
}

/// How long connections can rest, as learned from those that were found dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrustedRest {
    learned: Option<(Duration, Instant)>,
}

impl TrustedRest {
    /// A connection that had rested so long was found dead.
    pub fn on_dead(&mut self, rested: Duration, now: Instant) {
        if rested < SHORTEST_REST {
            return;
        }
        let trusted = (rested * TRUSTED_PERCENT / 100).max(SHORTEST_REST);
        if self.at(now).is_none_or(|known| trusted < known) {
            self.learned = Some((trusted, now));
        }
    }

    /// The rest that is trusted now; `None`: nothing was learned.
    pub fn at(&self, now: Instant) -> Option<Duration> {
        let (rest, learned_at) = self.learned?;
        let age = now.saturating_duration_since(learned_at);
        let doublings = age.as_secs_f64() / TRUST_DOUBLES_IN.as_secs_f64();
        Some(rest.mul_f64(doublings.min(f64::from(u8::MAX)).exp2().min(f64::from(u16::MAX))))
    }
}

/// Idle connections by runner.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<RunnerId, Vec<IdleConnection>>>,
    trusted: Cell<TrustedRest>,
}

impl ConnectionPool {
    /// Takes the connection to a runner that was used last, if one is fit.
    pub fn take(&self, runner: &RunnerId) -> Option<KeptConnection> {
        let now = Instant::now();
        let trusted = self.trusted.get().at(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(runner)?;
        while let Some(last) = connections.pop() {
            let rested = now.saturating_duration_since(last.resting_since);
            let is_trusted = trusted.is_none_or(|trusted| rested < trusted);
            if is_trusted && now < last.usable_until && last.connection.is_reusable() {
                return Some(KeptConnection { connection: last.connection, rested });
            }
        }
        None
    }

    /// A request that was sent on a kept connection was lost without any answer.
    pub fn on_dead(&self, rested: Duration) {
        let mut trusted = self.trusted.get();
        trusted.on_dead(rested, Instant::now());
        self.trusted.set(trusted);
    }

    /// Keeps a connection, if it can be used again.
    pub fn give_back(&self, runner: &RunnerId, connection: Upstream, idle_limit: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let limit = idle_limit.map_or(DEFAULT_IDLE_LIMIT, |it| it * USED_IDLE_PERCENT / 100);
        let resting_since = Instant::now();
        let usable_until = resting_since + limit;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(runner.clone()).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(IdleConnection { connection, usable_until, resting_since });
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
