//! Authority over the runners' roles: one node at a time, under a lease of the store.
//!
//! The holder's time runs from the sending of the call that granted or renewed the lease, so
//! it ends no later than the store's. A new holder waits for the length of a lease before its
//! first order: then no order of the holder before it can be on its way, and orders of the two
//! never come in turns. What is late all the same is refused by the fencing token, which is
//! the store's revision of the acquisition and so higher for each later holder.

/// One term of authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityTerm {
    /// Fencing token of every order in this term.
    pub fence: u64,
    /// Orders may be given from here on, microseconds.
    ready_at_us: u64,
    /// And until here.
    valid_until_us: u64,
}

/// Lengths that a term depends on, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time to live of the lease.
    pub ttl_us: u64,
    /// Time that must lie between orders of two holders.
    pub separation_us: u64,
}

/// Part of the lease's time that is left unused, in hundredths: clocks differ in pace, and an
/// order takes time to arrive.
const UNUSED_PERCENT: u64 = 15;

impl AuthorityTerm {
    /// A term that the store granted. `sent_at_us` is when the lease was asked for, `now_us`
    /// when the key was known to be written.
    pub fn new(fence: u64, sent_at_us: u64, now_us: u64, times: LeaseTimes) -> Self {
        Self {
            fence,
            ready_at_us: now_us + times.separation_us,
            valid_until_us: valid_until(sent_at_us, times),
        }
    }

    /// The lease was renewed by a call sent at the given time.
    pub fn renew(&mut self, sent_at_us: u64, times: LeaseTimes) {
        self.valid_until_us = self.valid_until_us.max(valid_until(sent_at_us, times));
    }

    /// Whether an order may be sent now.
    pub fn may_order(&self, now_us: u64) -> bool {
        self.ready_at_us <= now_us && now_us < self.valid_until_us
    }

    /// Whether the term is over.
    pub fn is_over(&self, now_us: u64) -> bool {
        now_us >= self.valid_until_us
    }
}

fn valid_until(sent_at_us: u64, times: LeaseTimes) -> u64 {
    sent_at_us + times.ttl_us * (100 - UNUSED_PERCENT) / 100
}
