//! The term for which a node holds a keeper.
//!
//! A keeper's key in the store is attached to the node's lease. The holder counts the term from
//! when it sent the call that granted or renewed the lease, with a clock that includes time in
//! suspension, so the term ends before the store can give the key to another node. No waiting time
//! is needed between two holders, since the later one starts with nothing to spend (see
//! [`crate::quota_share`]) or with what the earlier one left when it had stopped granting (see
//! [`crate::quota_handover`]).

use crate::store_revision::StoreRevision;

/// Share of the lease that is left unused, in percent. Clocks run at different rates, and a grant
/// takes time to be used.
const LEASE_MARGIN_PERCENT: u64 = 15;

/// A node's term as holder of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaKeeperTerm {
    /// Revision of the store at which the key was written; identifies the term.
    pub revision: StoreRevision,
    started_at_us: u64,
    valid_until_us: u64,
}

impl QuotaKeeperTerm {
    /// The term of a key that was written and confirmed at `now_us`. The lease was last renewed by
    /// a call sent at `renewed_sent_at_us` and lasts for `ttl_us` from when the store processed
    /// that call.
    pub fn new(revision: StoreRevision, renewed_sent_at_us: u64, now_us: u64, ttl_us: u64) -> Self {
        let valid_until_us = valid_until(renewed_sent_at_us, ttl_us);
        Self { revision, started_at_us: now_us, valid_until_us }
    }

    /// Extends the term after the lease was renewed by a call sent at `sent_at_us`, to which the
    /// store replied that the lease still existed.
    pub fn renew(&mut self, sent_at_us: u64, ttl_us: u64) {
        self.valid_until_us = self.valid_until_us.max(valid_until(sent_at_us, ttl_us));
    }

    /// Start of the term, in microseconds. The buckets refill from then on.
    pub fn started_at_us(&self) -> u64 {
        self.started_at_us
    }

    /// Whether the node may grant runs now.
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.valid_until_us
    }

    /// Time for which the node may still grant runs, in microseconds.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.valid_until_us.saturating_sub(now_us)
    }
}

fn valid_until(sent_at_us: u64, ttl_us: u64) -> u64 {
    sent_at_us + ttl_us * (100 - LEASE_MARGIN_PERCENT) / 100
}
