//! Grants that may still be given back.
//!
//! A run that was granted and has not begun is given back as if it had never been granted. Had it
//! not been, the bucket would have been fuller since, and might have been full: what would have
//! run over then is not given back. So a grant remembers the least room that the bucket has had
//! since; what is given back for another one takes its part of that room. Each grant is given
//! back once; one that is not remembered is not given back.

use crate::scheduling::Ticket;
use std::collections::VecDeque;

/// Time within which a grant can be given back, microseconds: a prompt that waits to be read may
/// take as long as callers wait, and the grant that has lapsed meanwhile is given back after it.
const REFUND_WINDOW_US: u64 = 8_000_000;
/// Grants that are remembered: later ones push out the earliest. A tenant of 50 runs a second at a
/// keeper has 400 in that time.
const MAX_GRANTS: usize = 1_024;

/// A grant, in millionths of a unit.
#[derive(Clone, Copy, Debug)]
struct RefundableGrant {
    ticket: Ticket,
    charged: i64,
    granted_at_us: u64,
    min_headroom: i64,
}

impl RefundableGrant {
    /// What may be given back of it.
    fn refundable(&self) -> i64 {
        self.charged.min(self.min_headroom).max(0)
    }
}

/// A grant that was given back, in millionths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refund {
    /// What had been paid.
    pub charged: i64,
    /// What of it the bucket gets back.
    pub refunded: i64,
}

/// The grants of one bucket, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct RefundableGrants {
    grants: VecDeque<RefundableGrant>,
}

impl RefundableGrants {
    /// A run was granted, which left so much room below a full bucket.
    pub fn add(&mut self, ticket: Ticket, charged: i64, headroom: i64, now_us: u64) {
        if self.grants.len() == MAX_GRANTS {
            self.grants.pop_front();
        }
        self.grants.push_back(RefundableGrant {
            ticket,
            charged,
            granted_at_us: now_us,
            min_headroom: headroom,
        });
    }

    /// What was paid for a run.
    pub fn charged(&self, ticket: Ticket) -> Option<i64> {
        let grant = self.grants.iter().find(|grant| grant.ticket == ticket)?;
        Some(grant.charged)
    }

    /// A run is given back.
    pub fn refund(&mut self, ticket: Ticket) -> Option<Refund> {
        let index = self.grants.iter().position(|grant| grant.ticket == ticket)?;
        let grant = self.grants.remove(index)?;
        let refunded = grant.refundable();
        // Without it the bucket would have been full at some time: what others leave then is lost.
        let is_full_refund = refunded == grant.charged;
        for other in &mut self.grants {
            other.min_headroom = if is_full_refund { other.min_headroom - refunded } else { 0 };
        }
        Some(Refund { charged: grant.charged, refunded })
    }

    /// The bucket has so much room now. An earlier grant has seen all that a later one has, so its
    /// least room is never more.
    pub fn record_headroom(&mut self, headroom: i64) {
        for grant in self.grants.iter_mut().rev().take_while(|grant| grant.min_headroom > headroom)
        {
            grant.min_headroom = headroom;
        }
    }

    /// Forgets what is too old to be given back.
    pub fn expire(&mut self, now_us: u64) {
        let is_expired = |grant: &RefundableGrant| now_us >= grant.granted_at_us + REFUND_WINDOW_US;
        while self.grants.front().is_some_and(is_expired) {
            self.grants.pop_front();
        }
        if self.grants.is_empty() && self.grants.capacity() > 0 {
            self.grants = VecDeque::new();
        }
    }
}
