//! A pool of retry tokens that nodes with small retry budgets share.
//!
//! A node of a large fleet receives few requests, and its part of the fleet's slack may be less than
//! one extra attempt. Its own budget then never covers a retry, although the budgets of all nodes
//! together would. Such a node deposits the tokens that it earns at a keeper of its zone, and
//! requests tokens from the keeper when it needs an attempt.
//!
//! Tokens are only moved. A depositor removes them from its budget before it sends them, and a keeper
//! removes them from its pool before it grants them, so a lost message or a lost keeper loses tokens,
//! and none are created. A keeper accepts no deposit that was under way for too long, for example
//! while the keeper was paused, and a deposit expires after [`DEPOSIT_TTL_US`]. Until then it takes up
//! capacity of its depositor's budget ([`crate::retry_budget`]). The tokens of all budgets and
//! pools together therefore never exceed the capacities of all budgets, whichever nodes act as
//! keepers.
//!
//! A requester that does not use what it was granted returns it to the pool
//! ([`crate::retry_grants`]), where it expires when it would have expired without the grant. It does
//! not go to the requester's budget, whose capacity the requester's own deposits may take up.

use crate::ids::ServiceName;
use crate::retry_grants::{PooledTokens, RetryGrant, RetryGrants};
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Time after which a deposit expires at its keeper, in microseconds.
pub const DEPOSIT_TTL_US: u64 = 4_000_000;
/// Maximum time that a deposit may be under way, in microseconds.
pub const MAX_DEPOSIT_DELAY_US: u64 = 1_000_000;
/// Time after which a depositor that was silent is forgotten, in microseconds. It is longer than a
/// repeated datagram is under way.
const DEPOSITOR_TTL_US: u64 = 60_000_000;
/// Deposits that arrive within this time are kept as one, in microseconds.
const DEPOSIT_MERGE_US: u64 = 100_000;
const MICROS_PER_MILLI: u64 = 1_000;
const THOUSANDTHS_PER_ATTEMPT: u32 = 1_000;

/// An amount of retry tokens, in thousandths of an extra attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RetryTokens(u32);

impl RetryTokens {
    /// No tokens.
    pub const NONE: Self = Self(0);
    /// The tokens that one extra attempt costs.
    pub const ONE_ATTEMPT: Self = Self(THOUSANDTHS_PER_ATTEMPT);

    /// The tokens for a number of attempts, rounded down.
    pub fn from_attempts(attempts: f64) -> Self {
        Self((attempts * f64::from(THOUSANDTHS_PER_ATTEMPT)) as u32)
    }

    /// The number of attempts that the tokens pay for, with fractions.
    pub fn attempts(self) -> f64 {
        f64::from(self.0) / f64::from(THOUSANDTHS_PER_ATTEMPT)
    }

    /// Both amounts together.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// What remains after `other` has been taken away; nothing if `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Tokens of one service in a [`RetryDeposit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDeposit {
    /// The service whose requests have earned the tokens.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The deposited tokens.
    #[serde(rename = "t")]
    pub tokens: RetryTokens,
}

/// Deposits tokens at a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryDeposit {
    /// Identifies the deposit. The numbers of one node increase, so that a repeated deposit is
    /// recognized.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// Wall-clock time at which the deposit was sent, in milliseconds since the Unix epoch.
    #[serde(rename = "w")]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub sent_at_ms: u64,
    /// The tokens, by service.
    #[serde(rename = "d")]
    pub deposits: Vec<ServiceDeposit>,
}

/// Asks a keeper for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryQuery {
    /// Identifies the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The service whose request is to be sent again.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The tokens that the node lacks for an attempt.
    #[serde(rename = "t")]
    pub wanted: RetryTokens,
}

/// A keeper's reply to a [`RetryQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryReply {
    /// Ticket of the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The granted tokens, at most those that were wanted.
    #[serde(rename = "t")]
    pub granted: RetryTokens,
}

/// Returns to a keeper what it granted for a [`RetryQuery`], which the requester does not use. It may
/// overtake the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryReturn {
    /// Ticket of the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
}

#[derive(Clone, Copy, Debug)]
struct Depositor {
    last_number: u64,
    received_us: u64,
}

/// The pool of one keeper.
#[derive(Clone, Debug, Default)]
pub struct RetryPool {
    /// Deposits by service, the oldest first.
    services: HashMap<ServiceName, VecDeque<PooledTokens>>,
    /// What was granted, and may be returned.
    grants: RetryGrants,
    /// The last deposit of each node, by the node's incarnation.
    depositors: HashMap<u64, Depositor>,
}

impl RetryPool {
    /// Adds a deposit, unless it is repeated, overtaken or was under way for too long. `wall_ms` is
    /// the wall-clock time in milliseconds since the Unix epoch. Tokens of a service beyond `capacity`
    /// are lost.
    pub fn on_deposit(
        &mut self,
        deposit: &RetryDeposit,
        capacity: RetryTokens,
        wall_ms: u64,
        now_us: u64,
    ) {
        self.remove_expired(now_us);
        let delay_us = wall_ms.saturating_sub(deposit.sent_at_ms).saturating_mul(MICROS_PER_MILLI);
        if delay_us > MAX_DEPOSIT_DELAY_US {
            return;
        }
        let Ticket { incarnation, number } = deposit.ticket;
        let depositor = Depositor { last_number: number, received_us: now_us };
        let previous = self.depositors.insert(incarnation, depositor);
        if let Some(previous) = previous.filter(|previous| previous.last_number >= number) {
            self.depositors.insert(incarnation, previous);
            return;
        }
        for ServiceDeposit { service, tokens } in &deposit.deposits {
            let room = capacity.minus(self.balance(service));
            self.add(service, (*tokens).min(room), now_us);
        }
    }

    /// Grants tokens for a query and takes them out of the pool: those that are wanted, or as many as
    /// there are. A repeated query is granted the same tokens as before, or none if they have been
    /// returned.
    pub fn grant(&mut self, query: &RetryQuery, now_us: u64) -> RetryTokens {
        self.remove_expired(now_us);
        if let Some(granted) = self.grants.granted(query.ticket) {
            return granted;
        }
        let parts = self.take(&query.service, query.wanted);
        let grant = RetryGrant { service: query.service.clone(), parts };
        let granted = grant.tokens();
        self.grants.insert(query.ticket, grant, now_us);
        granted
    }

    /// Puts back what was granted for a query, unless that was done before. Tokens that have expired
    /// meanwhile, or of which the pool then holds more than `capacity`, are lost.
    pub fn on_return(&mut self, returned: RetryReturn, capacity: RetryTokens, now_us: u64) {
        self.remove_expired(now_us);
        let Some(grant) = self.grants.take_back(returned.ticket, now_us) else { return };
        for part in grant.parts.iter().filter(|part| !part.is_expired(now_us)) {
            let room = capacity.minus(self.balance(&grant.service));
            self.put_back(&grant.service, PooledTokens { tokens: part.tokens.min(room), ..*part });
        }
    }

    fn take(&mut self, service: &ServiceName, wanted: RetryTokens) -> Vec<PooledTokens> {
        let Some(pooled) = self.services.get_mut(service) else { return Vec::new() };
        let mut parts = Vec::new();
        let mut missing = wanted;
        while let Some(oldest) = pooled.front_mut().filter(|_| missing > RetryTokens::NONE) {
            let tokens = oldest.tokens.min(missing);
            parts.push(PooledTokens { tokens, ..*oldest });
            missing = missing.minus(tokens);
            oldest.tokens = oldest.tokens.minus(tokens);
            if oldest.tokens == RetryTokens::NONE {
                pooled.pop_front();
            }
        }
        parts
    }

    /// Puts tokens back among those of the service, which stay ordered by age.
    fn put_back(&mut self, service: &ServiceName, part: PooledTokens) {
        if part.tokens == RetryTokens::NONE {
            return;
        }
        let pooled = self.services.entry(service.clone()).or_default();
        let place = pooled.partition_point(|other| other.received_us < part.received_us);
        match pooled.get_mut(place).filter(|other| other.received_us == part.received_us) {
            Some(other) => other.tokens = other.tokens.plus(part.tokens),
            None => pooled.insert(place, part),
        }
    }

    /// Tokens of a service in the pool.
    fn balance(&self, service: &ServiceName) -> RetryTokens {
        let pooled = self.services.get(service).into_iter().flatten();
        pooled.fold(RetryTokens::NONE, |sum, pooled| sum.plus(pooled.tokens))
    }

    fn add(&mut self, service: &ServiceName, tokens: RetryTokens, now_us: u64) {
        if tokens == RetryTokens::NONE {
            return;
        }
        let pooled = self.services.entry(service.clone()).or_default();
        match pooled.back_mut() {
            // Counted from the first of the merged deposits, so that none outlives its time.
            Some(last) if now_us < last.received_us + DEPOSIT_MERGE_US => {
                last.tokens = last.tokens.plus(tokens);
            }
            _ => pooled.push_back(PooledTokens { received_us: now_us, tokens }),
        }
    }

    fn remove_expired(&mut self, now_us: u64) {
        for pooled in self.services.values_mut() {
            while pooled.front().is_some_and(|oldest| oldest.is_expired(now_us)) {
                pooled.pop_front();
            }
        }
        self.services.retain(|_, pooled| !pooled.is_empty());
        self.grants.remove_expired(now_us);
        self.depositors.retain(|_, depositor| now_us < depositor.received_us + DEPOSITOR_TTL_US);
    }
}
