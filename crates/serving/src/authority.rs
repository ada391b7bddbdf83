//! Authority of one node at a time to issue orders, held under a lease in the store.
//!
//! The subject of an authority is what it covers: the duties of the fleet or, where there are
//! several regions, the roles of the runners of one region. Each subject has its own key, and so
//! its own term, fencing token and separation between holders. A runner belongs to one region, so
//! two holders never order the same runner. While nodes disagree on the regions during a change of
//! their settings, the fencing tokens decide; those of all subjects come from one sequence.
//!
//! The holder's term is measured from the time at which it sent the call that granted or renewed
//! the lease, so it ends no later than the lease in the store. A new holder waits for the length of
//! a lease before its first order. By then no order of the previous holder can be in flight, and
//! orders of the two never interleave. An order that is delayed even longer is rejected by its
//! fencing token, which is the store revision of the acquisition and so higher for each later
//! holder.
//!
//! A store that is restored from a backup grants its leases and revisions a second time. A term
//! therefore ends at the first sign of a later era. A holder that has not yet observed the new era
//! may go on for the length of its lease, so a new holder waits for that time as well. Fencing
//! tokens compare eras before revisions.

use crate::ids::RegionId;
use crate::store_revision::{StoreLease, StoreRevision};
use crate::topology::Topology;
use std::collections::BTreeSet;

/// What a term of authority covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthoritySubject {
    /// The duties that one node performs for the fleet. If there is only one region, this includes
    /// its runners' roles.
    Fleet,
    /// The roles of the runners of one region, where there are several regions.
    Roles(RegionId),
}

impl AuthoritySubject {
    /// The subject under which a node of region `own` orders roles. It depends only on the
    /// configured regions and not on which nodes are alive, since all nodes must agree on it.
    pub fn for_roles(topology: &Topology, own: &RegionId) -> Self {
        let configured: BTreeSet<&RegionId> = topology.zones().map(|(_, region)| region).collect();
        match configured.len() {
            0 | 1 => Self::Fleet,
            _ => Self::Roles(own.clone()),
        }
    }

    /// The region whose runners the subject covers; `None` for the whole fleet.
    pub fn region(&self) -> Option<&RegionId> {
        match self {
            Self::Fleet => None,
            Self::Roles(region) => Some(region),
        }
    }
}

/// Identifies a term to runners and to the platform's duties, which reject lower tokens than the
/// highest they have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    acquired_at: StoreRevision,
}

/// Bits of a fencing token that hold the revision within an era: enough for 1,000 revisions per
/// second over 34 years.
const REVISION_BITS: u32 = 40;

impl FencingToken {
    /// The token of a term whose key was written at `acquired_at`.
    pub fn new(acquired_at: StoreRevision) -> Self {
        Self { acquired_at }
    }

    /// The token as it is sent to runners and duties, higher for each later term. Up to about 8,000
    /// eras it is an integer that JSON represents exactly.
    pub fn number(self) -> u64 {
        let era = self.acquired_at.era().reported_number().unwrap_or_default();
        (era << REVISION_BITS) | self.acquired_at.number().0
    }

    /// Revision at which the key was written.
    pub fn acquired_at(self) -> StoreRevision {
        self.acquired_at
    }
}

/// A period in which one node holds the authority, and the fencing token of its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityTerm {
    /// Fencing token of every order in this term.
    pub fence: FencingToken,
    /// Start of the time in which orders may be sent, in microseconds.
    ready_at_us: u64,
    /// End of that time, in microseconds.
    valid_until_us: u64,
}

/// Durations that determine a term, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time to live of the lease.
    pub ttl_us: u64,
    /// Minimum time between orders of two holders.
    pub separation_us: u64,
}

/// Safety margin at the end of the lease, as a percentage of its time to live: clocks run at
/// different rates, and an order takes time to arrive.
const LEASE_MARGIN_PERCENT: u64 = 15;

impl AuthorityTerm {
    /// Creates the term that the store granted. `sent_at_us` is when the lease was requested,
    /// `now_us` when the key was known to be written.
    pub fn new(fence: FencingToken, sent_at_us: u64, now_us: u64, times: LeaseTimes) -> Self {
        Self {
            fence,
            ready_at_us: now_us + times.separation_us,
            valid_until_us: valid_until(sent_at_us, times),
        }
    }

    /// Delays the term's first order after a new store era, first observed at `observed_at_us`: a
    /// holder of the previous era may issue orders until its lease expires.
    pub fn after_era_began(self, observed_at_us: u64, times: LeaseTimes) -> Self {
        let ready_at_us = observed_at_us + times.ttl_us + times.separation_us;
        Self { ready_at_us: self.ready_at_us.max(ready_at_us), ..self }
    }

    /// Extends the term after a renewal call that was sent at `sent_at_us`.
    pub fn renew(&mut self, sent_at_us: u64, times: LeaseTimes) {
        self.valid_until_us = self.valid_until_us.max(valid_until(sent_at_us, times));
    }

    /// Whether an order may be sent now.
    pub fn may_order(&self, now_us: u64) -> bool {
        self.ready_at_us <= now_us && now_us < self.valid_until_us
    }

    /// Whether the term has expired.
    pub fn has_expired(&self, now_us: u64) -> bool {
        now_us >= self.valid_until_us
    }
}

fn valid_until(sent_at_us: u64, times: LeaseTimes) -> u64 {
    sent_at_us + times.ttl_us * (100 - LEASE_MARGIN_PERCENT) / 100
}

/// Minimum time between two polls for a holder, in microseconds, and the maximum jitter that is
/// added. Each poll is a call that costs money.
const POLL_INTERVAL_US: u64 = 2_000_000;
const POLL_JITTER_US: f64 = 2_000_000.0;
/// The same bounds while this node has not observed any holder, when the fleet has just started.
const INITIAL_POLL_INTERVAL_US: u64 = 300_000;
const INITIAL_POLL_JITTER_US: f64 = 600_000.0;
/// Time between two checks of a held lease, in microseconds.
const HOLDER_CHECK_INTERVAL_US: u64 = 250_000;
/// Number of renewals within the time to live of a lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// Time between two attempts to renew a lease after a failure, in microseconds.
const RENEWAL_RETRY_INTERVAL_US: u64 = 400_000;

/// The next action of a node for a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityStep {
    /// Wait for this many microseconds.
    Wait(u64),
    /// Check whether a node holds the authority, and acquire it if none does.
    Poll,
    /// Renew this lease, which the node holds.
    Renew(StoreLease),
    /// Revoke the lease: an order was rejected because another node has the authority.
    StepDown(StoreLease),
}

#[derive(Clone, Debug)]
struct Held {
    lease: StoreLease,
    term: AuthorityTerm,
    next_try_us: u64,
    /// Whether the term has expired while the store did not reply.
    is_unconfirmed: bool,
    is_refused: bool,
}

/// State machine of one node for acquiring and holding the authority over one subject. It has no
/// clock; each call passes the current time.
#[derive(Clone, Debug, Default)]
pub struct AuthorityHolder {
    held: Option<Held>,
    next_poll_us: Option<u64>,
    /// Whether this node has observed any holder in the current era of the store.
    has_observed_holder: bool,
}

impl AuthorityHolder {
    /// The next action. `jitter_fraction` is between 0 and 1 and spreads the polls of many nodes.
    pub fn step(&mut self, now_us: u64, jitter_fraction: f64) -> AuthorityStep {
        let Some(held) = &mut self.held else { return self.poll_step(now_us, jitter_fraction) };
        if held.is_refused {
            return AuthorityStep::StepDown(held.lease);
        }
        if now_us < held.next_try_us {
            return AuthorityStep::Wait(HOLDER_CHECK_INTERVAL_US);
        }
        held.next_try_us = now_us + RENEWAL_RETRY_INTERVAL_US;
        AuthorityStep::Renew(held.lease)
    }

    fn poll_step(&mut self, now_us: u64, jitter_fraction: f64) -> AuthorityStep {
        let (interval_us, jitter_us) = match self.has_observed_holder {
            true => (POLL_INTERVAL_US, POLL_JITTER_US),
            false => (INITIAL_POLL_INTERVAL_US, INITIAL_POLL_JITTER_US),
        };
        let next_us = now_us + interval_us + (jitter_us * jitter_fraction) as u64;
        let due_us = *self.next_poll_us.get_or_insert(next_us);
        if now_us < due_us {
            return AuthorityStep::Wait(due_us - now_us);
        }
        self.next_poll_us = None;
        AuthorityStep::Poll
    }

    /// Records that a poll found a holder.
    pub fn on_holder_observed(&mut self) {
        self.has_observed_holder = true;
    }

    /// Records that the store granted a term under a lease that was requested at `sent_at_us`.
    pub fn on_acquired(
        &mut self,
        lease: StoreLease,
        term: AuthorityTerm,
        now_us: u64,
        times: LeaseTimes,
    ) {
        self.has_observed_holder = true;
        let next_try_us = now_us + times.ttl_us / RENEWALS_PER_LEASE;
        let (is_unconfirmed, is_refused) = (false, false);
        self.held = Some(Held { lease, term, next_try_us, is_unconfirmed, is_refused });
    }

    /// Records a successful renewal by a call that was sent at `sent_at_us`. Returns whether the
    /// term had expired: the lease, and with it the key, then survived while the store was
    /// unavailable, so no other node can have held the authority.
    pub fn on_renewed(&mut self, sent_at_us: u64, now_us: u64, times: LeaseTimes) -> bool {
        let Some(held) = &mut self.held else { return false };
        held.term.renew(sent_at_us, times);
        held.next_try_us = now_us + times.ttl_us / RENEWALS_PER_LEASE;
        std::mem::take(&mut held.is_unconfirmed)
    }

    /// Whether the term has just expired without a reply from the store; `true` once per expiry. An
    /// expired term issues no orders, but continues if the lease can still be renewed.
    pub fn check_expiry(&mut self, now_us: u64) -> bool {
        let Some(held) = &mut self.held else { return false };
        let is_newly_expired = held.term.has_expired(now_us) && !held.is_unconfirmed;
        held.is_unconfirmed |= is_newly_expired;
        is_newly_expired
    }

    /// Ends the term after its lease has expired or has been revoked. Returns the lease and the
    /// fencing token of the term.
    pub fn on_lost(&mut self) -> Option<(StoreLease, FencingToken)> {
        self.held.take().map(|held| (held.lease, held.term.fence))
    }

    /// Handles a store that was restored from a backup. The key may have no holder, so this node
    /// polls soon, and at once if it was the holder itself. Returns the fencing token of the term
    /// that this ends.
    pub fn on_later_era(&mut self) -> Option<FencingToken> {
        self.has_observed_holder = false;
        let lost = self.on_lost().map(|(_, fence)| fence);
        self.next_poll_us = lost.map(|_| 0);
        lost
    }

    /// The fencing token while orders may be sent.
    pub fn fence_for_orders(&self, now_us: u64) -> Option<FencingToken> {
        let held = self.held.as_ref().filter(|held| !held.is_refused)?;
        held.term.may_order(now_us).then_some(held.term.fence)
    }

    /// The fencing token from the start of the term on, also before the first order may be sent.
    pub fn fence(&self) -> Option<FencingToken> {
        self.held.as_ref().filter(|held| !held.is_refused).map(|held| held.term.fence)
    }

    /// Records that an order was rejected because a higher fencing token has been used: another
    /// node has the authority, and this one sends no further orders in this term.
    pub fn on_refused(&mut self, fence: FencingToken) {
        if let Some(held) = self.held.as_mut().filter(|held| held.term.fence == fence) {
            held.is_refused = true;
        }
    }
}
