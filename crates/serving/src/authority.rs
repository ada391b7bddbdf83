//! Authority over what one node at a time orders, under a lease of the store.
//!
//! What it is over is its subject: the duties of the fleet, and, where there are several regions,
//! the roles of the runners of each region. Each subject has a key, and so a term, a fencing token
//! and a separation of its own. A runner belongs to one region, so two holders never order the
//! same runner; while nodes differ on the regions because their settings are being changed, the
//! fencing tokens decide, which come from one sequence for all subjects.
//!
//! The holder's time runs from the sending of the call that granted or renewed the lease, so
//! it ends no later than the store's. A new holder waits for the length of a lease before its
//! first order: then no order of the holder before it can be on its way, and orders of the two
//! never come in turns. What is late all the same is refused by the fencing token, which is
//! the store's revision of the acquisition and so higher for each later holder.
//!
//! When the store comes back from an older copy, its leases and revisions are given out again: a term ends at the
//! first sign of a later era. A holder that has not heard of it may go on for the length of its lease, so that a new
//! one waits for that too. Fencing tokens count eras before revisions.

use crate::ids::RegionId;
use crate::store_revision::{StoreLease, StoreRevision};
use crate::topology::Topology;
use std::collections::BTreeSet;

/// What a term of authority is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthoritySubject {
    /// What one node does for the fleet; where there is one region, its runners' roles, too.
    Fleet,
    /// The roles of a region's runners, where there are several regions.
    Roles(RegionId),
}

impl AuthoritySubject {
    /// The subject under which a node of a region orders roles. It goes by the regions that the
    /// settings tell, and not by who is up: all nodes have to agree on it.
    pub fn of_roles(topology: &Topology, own: &RegionId) -> Self {
        let told: BTreeSet<&RegionId> = topology.zones().map(|(_, region)| region).collect();
        match told.len() {
            0 | 1 => Self::Fleet,
            _ => Self::Roles(own.clone()),
        }
    }

    /// The region whose runners it is over; `None`: all.
    pub fn region(&self) -> Option<&RegionId> {
        match self {
            Self::Fleet => None,
            Self::Roles(region) => Some(region),
        }
    }
}

/// Names a term to runners and to the platform's duties, which refuse lower ones than they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    acquired_at: StoreRevision,
}

/// Bits of a fencing token that count revisions within an era: a thousand a second for 34 years.
const REVISION_BITS: u32 = 40;

impl FencingToken {
    /// The token of a term whose key was written at a revision.
    pub fn new(acquired_at: StoreRevision) -> Self {
        Self { acquired_at }
    }

    /// As runners and duties are told it: higher for each later term. Up to some 8,000 eras it is an integer that JSON
    /// carries exactly.
    pub fn number(self) -> u64 {
        let era = self.acquired_at.era().reported_number().unwrap_or_default();
        (era << REVISION_BITS) | self.acquired_at.number().0
    }

    /// Revision at which the key was written.
    pub fn acquired_at(self) -> StoreRevision {
        self.acquired_at
    }
}

/// One term of authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityTerm {
    /// Fencing token of every order in this term.
    pub fence: FencingToken,
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
    pub fn new(fence: FencingToken, sent_at_us: u64, now_us: u64, times: LeaseTimes) -> Self {
        Self {
            fence,
            ready_at_us: now_us + times.separation_us,
            valid_until_us: valid_until(sent_at_us, times),
        }
    }

    /// The store's era was first heard of at a time: a holder of the era before may give orders until its lease is
    /// over.
    pub fn after_era_began(self, heard_at_us: u64, times: LeaseTimes) -> Self {
        let ready_at_us = heard_at_us + times.ttl_us + times.separation_us;
        Self { ready_at_us: self.ready_at_us.max(ready_at_us), ..self }
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

/// Between two looks whether somebody has the authority, microseconds: the shortest, and what
/// chance adds at the most. Each look is a call that is paid for.
const LOOK_EVERY_US: u64 = 2_000_000;
const LOOK_SPREAD_US: f64 = 2_000_000.0;
/// The same while this node has not seen anybody have it: the fleet has just started.
const FIRST_LOOK_EVERY_US: u64 = 300_000;
const FIRST_LOOK_SPREAD_US: f64 = 600_000.0;
/// Between two looks at an own lease, microseconds.
const KEEP_EVERY_US: u64 = 250_000;
/// Renewals in the time of a lease.
const RENEWALS: u64 = 3;
/// Between two tries to renew a lease after one that failed, microseconds.
const RETRY_EVERY_US: u64 = 400_000;

/// What a node does next about a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityStep {
    /// Nothing, for so many microseconds.
    Wait(u64),
    /// Look whether somebody has the authority, and take it if nobody has.
    Look,
    /// Renew the lease.
    Renew(StoreLease),
    /// End the lease: an order was refused, as another node has the authority.
    StepDown(StoreLease),
}

#[derive(Clone, Debug)]
struct Held {
    lease: StoreLease,
    term: AuthorityTerm,
    next_try_us: u64,
    /// Whether the term has run out without a word from the store.
    is_in_doubt: bool,
    is_refused: bool,
}

/// One node's way to and through the authority over one subject. It has no clock: each call says
/// what time it is.
#[derive(Clone, Debug, Default)]
pub struct AuthorityHolder {
    held: Option<Held>,
    next_look_us: Option<u64>,
    /// Whether this node has ever seen that somebody has the authority.
    has_seen_holder: bool,
}

impl AuthorityHolder {
    /// What to do now. `chance` lies between 0 and 1 and spreads the looks of many nodes.
    pub fn step(&mut self, now_us: u64, chance: f64) -> AuthorityStep {
        let Some(held) = &mut self.held else { return self.look_step(now_us, chance) };
        if held.is_refused {
            return AuthorityStep::StepDown(held.lease);
        }
        if now_us < held.next_try_us {
            return AuthorityStep::Wait(KEEP_EVERY_US);
        }
        held.next_try_us = now_us + RETRY_EVERY_US;
        AuthorityStep::Renew(held.lease)
    }

    fn look_step(&mut self, now_us: u64, chance: f64) -> AuthorityStep {
        let (every_us, spread_us) = match self.has_seen_holder {
            true => (LOOK_EVERY_US, LOOK_SPREAD_US),
            false => (FIRST_LOOK_EVERY_US, FIRST_LOOK_SPREAD_US),
        };
        let next_us = now_us + every_us + (spread_us * chance) as u64;
        let due_us = *self.next_look_us.get_or_insert(next_us);
        if now_us < due_us {
            return AuthorityStep::Wait(due_us - now_us);
        }
        self.next_look_us = None;
        AuthorityStep::Look
    }

    /// A look found that somebody has the authority.
    pub fn on_holder_seen(&mut self) {
        self.has_seen_holder = true;
    }

    /// The store has granted a term under a lease that was asked for at `sent_at_us`.
    pub fn on_gained(
        &mut self,
        lease: StoreLease,
        term: AuthorityTerm,
        now_us: u64,
        times: LeaseTimes,
    ) {
        self.has_seen_holder = true;
        let next_try_us = now_us + times.ttl_us / RENEWALS;
        let (is_in_doubt, is_refused) = (false, false);
        self.held = Some(Held { lease, term, next_try_us, is_in_doubt, is_refused });
    }

    /// The lease was renewed by a call sent at the given time. Whether the term had run out: the
    /// lease had waited in a store that was away, and with it the key, so that nobody else can have
    /// had the authority.
    pub fn on_renewed(&mut self, sent_at_us: u64, now_us: u64, times: LeaseTimes) -> bool {
        let Some(held) = &mut self.held else { return false };
        held.term.renew(sent_at_us, times);
        held.next_try_us = now_us + times.ttl_us / RENEWALS;
        std::mem::take(&mut held.is_in_doubt)
    }

    /// Whether the term has just run out without a word from the store. It gives no orders, and
    /// goes on if the lease can be renewed after all.
    pub fn has_run_out(&mut self, now_us: u64) -> bool {
        let Some(held) = &mut self.held else { return false };
        let has_run_out = held.term.is_over(now_us) && !held.is_in_doubt;
        held.is_in_doubt |= has_run_out;
        has_run_out
    }

    /// The lease is over or has been given up. Returns it, and the fencing token of its term.
    pub fn on_lost(&mut self) -> Option<(StoreLease, FencingToken)> {
        self.held.take().map(|held| (held.lease, held.term.fence))
    }

    /// The store has come back from an older copy: this node looks soon whether the key is there, as nobody may hold
    /// it, and at once if it has held it. Returns the fencing token of a term that is over with that.
    pub fn on_later_era(&mut self) -> Option<FencingToken> {
        self.has_seen_holder = false;
        let lost = self.on_lost().map(|(_, fence)| fence);
        self.next_look_us = lost.map(|_| 0);
        lost
    }

    /// The fencing token, while orders may be given.
    pub fn fence_to_order(&self, now_us: u64) -> Option<FencingToken> {
        let held = self.held.as_ref().filter(|held| !held.is_refused)?;
        held.term.may_order(now_us).then_some(held.term.fence)
    }

    /// The fencing token, from the beginning of the term on.
    pub fn fence(&self) -> Option<FencingToken> {
        self.held.as_ref().filter(|held| !held.is_refused).map(|held| held.term.fence)
    }

    /// An order was refused because a higher fencing token had been used: another node has the
    /// authority, and this one gives no further order in this term.
    pub fn on_refused(&mut self, fence: FencingToken) {
        if let Some(held) = self.held.as_mut().filter(|held| held.term.fence == fence) {
            held.is_refused = true;
        }
    }
}
