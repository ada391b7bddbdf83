//! How long a node is a keeper.
//!
//! A keeper's key in the store hangs on the node's lease. The holder's time runs from the sending
//! of the call that granted or renewed the lease, by a clock that counts suspensions, so it ends
//! before the store can give the key to another node. There is no separation between two holders:
//! a later one begins with nothing (see [`crate::quota_share`]).

use crate::store_revision::StoreRevision;

/// Part of the lease's time that is left unused, in hundredths: clocks differ in pace, and a
/// grant takes time to be used.
const LEASE_MARGIN_PERCENT: u64 = 15;

/// One term as a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperTerm {
    /// The store's revision at which the key was written: names the term.
    pub revision: StoreRevision,
    started_at_us: u64,
    valid_until_us: u64,
}

impl KeeperTerm {
    /// The key is written, known at `now_us`. The lease was last renewed by a call sent at
    /// `renewed_sent_at_us`, and lives for `ttl_us` from when the store took that.
    pub fn new(revision: StoreRevision, renewed_sent_at_us: u64, now_us: u64, ttl_us: u64) -> Self {
        let valid_until_us = valid_until(renewed_sent_at_us, ttl_us);
        Self { revision, started_at_us: now_us, valid_until_us }
    }

    /// The lease was renewed by a call sent at the given time, before which the store said that
    /// it still had it.
    pub fn renew(&mut self, sent_at_us: u64, ttl_us: u64) {
        self.valid_until_us = self.valid_until_us.max(valid_until(sent_at_us, ttl_us));
    }

    /// When the term began, microseconds: its buckets fill from here.
    pub fn started_at_us(&self) -> u64 {
        self.started_at_us
    }

    /// Whether the node may grant now.
    pub fn is_valid(&self, now_us: u64) -> bool {
        now_us < self.valid_until_us
    }

    /// Microseconds for which the node may still grant.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        self.valid_until_us.saturating_sub(now_us)
    }
}

fn valid_until(sent_at_us: u64, ttl_us: u64) -> u64 {
    sent_at_us + ttl_us * (100 - LEASE_MARGIN_PERCENT) / 100
}
