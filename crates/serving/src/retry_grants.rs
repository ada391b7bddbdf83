//! The grants that a keeper of a retry pool ([`crate::retry_pool`]) has given out of it.
//!
//! Tokens leave a pool in two steps: the keeper grants them for a query, and the requester then
//! either uses them or returns them. The keeper remembers each query by its ticket, so that
//! messages that are repeated, late or overtaken move each token at most once.

use crate::ids::ServiceName;
use crate::retry_pool::{RetryTokens, DEPOSIT_TTL_US};
use crate::scheduling::Ticket;
use std::collections::{HashMap, VecDeque};

/// Time for which a ticket is remembered, in microseconds. All tokens of a grant have expired by
/// then, so nothing could be returned.
pub const GRANT_TTL_US: u64 = DEPOSIT_TTL_US;

/// Tokens that a keeper received at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledTokens {
    /// When the keeper received them, in microseconds. They expire [`DEPOSIT_TTL_US`] later, also
    /// if they are granted and returned in between.
    pub received_us: u64,
    /// How many of them the pool still has, or a grant holds.
    pub tokens: RetryTokens,
}

impl PooledTokens {
    /// Whether the tokens have expired.
    pub fn is_expired(&self, now_us: u64) -> bool {
        self.received_us + DEPOSIT_TTL_US <= now_us
    }
}

/// Tokens of one service that a keeper has granted for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryGrant {
    /// The service whose request is to be sent again.
    pub service: ServiceName,
    /// The tokens, the oldest first. Empty if the pool had none.
    pub parts: Vec<PooledTokens>,
}

impl RetryGrant {
    /// The sum of the granted tokens.
    pub fn tokens(&self) -> RetryTokens {
        self.parts.iter().fold(RetryTokens::NONE, |sum, part| sum.plus(part.tokens))
    }
}

/// The queries that a keeper has answered within the last [`GRANT_TTL_US`].
#[derive(Clone, Debug, Default)]
pub struct RetryGrants {
    /// The grant of each ticket; `None` once it has been returned, even if its query has not
    /// arrived yet.
    grants: HashMap<Ticket, Option<RetryGrant>>,
    /// When each ticket is forgotten, in microseconds, the earliest first.
    forgotten_at: VecDeque<(u64, Ticket)>,
}

impl RetryGrants {
    /// The tokens that a ticket was granted: none if they have been returned. `None` if the
    /// ticket is not known.
    pub fn granted(&self, ticket: Ticket) -> Option<RetryTokens> {
        let grant = self.grants.get(&ticket)?;
        Some(grant.as_ref().map_or(RetryTokens::NONE, RetryGrant::tokens))
    }

    /// Records the grant of a ticket that is not known yet.
    pub fn insert(&mut self, ticket: Ticket, grant: RetryGrant, now_us: u64) {
        self.record(ticket, Some(grant), now_us);
    }

    /// Ends the grant of a ticket. Returns it the first time, and `None` if the ticket is not known
    /// or its grant has been returned before.
    pub fn take_back(&mut self, ticket: Ticket, now_us: u64) -> Option<RetryGrant> {
        match self.grants.get_mut(&ticket) {
            Some(grant) => grant.take(),
            // The return has overtaken its query, which must be granted nothing any more.
            None => {
                self.record(ticket, None, now_us);
                None
            }
        }
    }

    /// Forgets tickets whose time is over.
    pub fn remove_expired(&mut self, now_us: u64) {
        while let Some((_, ticket)) = self.forgotten_at.front().filter(|(at, _)| *at <= now_us) {
            self.grants.remove(ticket);
            self.forgotten_at.pop_front();
        }
    }

    fn record(&mut self, ticket: Ticket, grant: Option<RetryGrant>, now_us: u64) {
        self.grants.insert(ticket, grant);
        self.forgotten_at.push_back((now_us + GRANT_TTL_US, ticket));
    }
}
