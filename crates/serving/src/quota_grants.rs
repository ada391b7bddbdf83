//! Grants that can still be refunded.
//!
//! A grant is refunded for a run that has not started, and the bucket is then left as if the run
//! had never been granted. Without the grant, the bucket would have been fuller since and might
//! have overflowed; the overflow must not be refunded. Each grant therefore records the minimum
//! headroom of the bucket since it was made, and a refund reduces the headroom recorded for the
//! other grants. Each grant is refunded at most once, and a grant that is no longer remembered is
//! not refunded.

use crate::scheduling::Ticket;
use std::collections::VecDeque;

/// Time within which a grant can be refunded, in microseconds. A prompt may wait for its prefill as
/// long as its client waits, and a grant that has expired meanwhile is refunded after that.
const REFUND_WINDOW_US: u64 = 8_000_000;
/// Maximum number of grants to remember; the oldest are dropped first. A tenant with 50 runs per
/// second at one keeper has 400 within [`REFUND_WINDOW_US`].
const MAX_GRANTS: usize = 1_024;

/// A grant that can be refunded. Amounts are in millionths of a unit.
#[derive(Clone, Copy, Debug)]
struct RefundableGrant {
    ticket: Ticket,
    charged: i64,
    granted_at_us: u64,
    min_headroom: i64,
}

impl RefundableGrant {
    /// The part of the charge that would not have overflowed the bucket.
    fn refundable(&self) -> i64 {
        self.charged.min(self.min_headroom).max(0)
    }
}

/// The refund of a grant. Amounts are in millionths of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refund {
    /// The amount that was charged for the run.
    pub charged: i64,
    /// The part of `charged` that is returned to the bucket.
    pub refunded: i64,
}

/// The refundable grants of one bucket, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RefundableGrants {
    grants: VecDeque<RefundableGrant>,
}

impl RefundableGrants {
    /// Records a grant. `headroom` is the space below a full bucket after the charge.
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

    /// The amount charged for a run; `None` if no grant is remembered.
    pub fn charged(&self, ticket: Ticket) -> Option<i64> {
        let grant = self.grants.iter().find(|grant| grant.ticket == ticket)?;
        Some(grant.charged)
    }

    /// Removes a run's grant and returns its refund; `None` if no grant is remembered.
    pub fn refund(&mut self, ticket: Ticket) -> Option<Refund> {
        let index = self.grants.iter().position(|grant| grant.ticket == ticket)?;
        let grant = self.grants.remove(index)?;
        let refunded = grant.refundable();
        // After a partial refund, the bucket would have been full at some time without this grant,
        // so no headroom is left for the other grants.
        let is_full_refund = refunded == grant.charged;
        for other in &mut self.grants {
            other.min_headroom = if is_full_refund { other.min_headroom - refunded } else { 0 };
        }
        Some(Refund { charged: grant.charged, refunded })
    }

    /// Records the current headroom of the bucket. Minimum headroom never decreases from older to
    /// newer grants, since an older grant has observed everything that a newer one has.
    pub fn record_headroom(&mut self, headroom: i64) {
        for grant in self.grants.iter_mut().rev().take_while(|grant| grant.min_headroom > headroom)
        {
            grant.min_headroom = headroom;
        }
    }

    /// Drops grants that are too old to be refunded.
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
