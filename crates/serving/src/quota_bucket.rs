//! One slot of a tenant's limit: a bucket that fills steadily and may go into debt.
//!
//! A run is paid for if the level reaches what it needs: its cost above the floor, or a full
//! bucket if it costs more than that. The floor is the debt that the holder may have, and above
//! it a reserve that the less urgent leave to the more urgent. What costs less than a small share
//! of the burst needs no reserve.
//!
//! A large run that was refused has its turn booked: until then smaller ones that are no more
//! urgent are let in only as far as they do not put it off. There is one booking at a time.

use crate::quota::TenantLimit;
use crate::quota_share::{SlotShare, MICRO};
use crate::scheduling::Ticket;
use std::collections::VecDeque;

/// Costs up to this share of the burst need no reserve, as a divisor.
const SMALL_DIVISOR: i64 = 64;
/// Share of the debt that each rank leaves to the one before it, as a divisor. Chosen.
const RESERVE_DIVISOR: i64 = 8;
/// Ranks beyond this one leave what it leaves.
const LAST_RANK: u8 = 2;
/// Time for which a booked turn is kept after it is due, microseconds: callers are told to come
/// back in whole seconds.
const TURN_KEPT_US: u64 = 1_200_000;
/// Share of a booked run that small ones may take meanwhile, as a divisor.
const SMALL_SHARE_DIVISOR: i64 = 2;
/// Longest wait that is told, microseconds: about the time within which callers want an answer.
const LONGEST_WAIT_US: u64 = 4_000_000;
/// Time within which a grant can be given back, microseconds: runners decline within a second.
const RETURN_LIFE_US: u64 = 3_000_000;
/// Grants of a tenant that are remembered for that: later ones push out the earliest.
const MOST_GRANTS: usize = 256;

/// What a question is about.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The run.
    pub ticket: Ticket,
    /// What it costs, units.
    pub cost: u64,
    /// Its rank, 0 first.
    pub rank: u8,
}

/// One slot of a tenant's limit, as its holder keeps it. Amounts are in millionths of a unit.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: TenantLimit,
    version: u64,
    share: SlotShare,
    is_first_slot: bool,
    level: i64,
    updated_at_us: u64,
    /// The debt grows from here on.
    since_us: u64,
    /// When all turns that were told so far will have passed.
    turns_end_us: u64,
    asked_at_us: u64,
    booking: Option<Booking>,
    grants: VecDeque<Grant>,
    granted_units: u64,
}

/// The turn of a run that was refused.
#[derive(Clone, Copy, Debug)]
struct Booking {
    cost: i64,
    rank: u8,
    /// The level that it needs.
    need: i64,
    due_us: u64,
    /// What small ones have taken since.
    taken_by_small: i64,
}

/// A grant that may still be given back.
#[derive(Clone, Copy, Debug)]
struct Grant {
    ticket: Ticket,
    cost: i64,
    at_us: u64,
    /// Least room that was left below the burst since: what is given back beyond it would have
    /// been lost to the full bucket, had the run never been granted.
    room: i64,
}

impl Bucket {
    /// The slot of a tenant that was not met before by a holder that counts since `since_us`: as
    /// if it had been empty then and nothing had been asked since.
    pub fn new(
        limit: TenantLimit,
        version: u64,
        share: SlotShare,
        is_first_slot: bool,
        since_us: u64,
        now_us: u64,
    ) -> Self {
        let level = share.refill(now_us.saturating_sub(since_us)).min(share.burst);
        Self {
            limit,
            version,
            share,
            is_first_slot,
            level,
            updated_at_us: now_us,
            since_us,
            turns_end_us: now_us,
            asked_at_us: now_us,
            booking: None,
            grants: VecDeque::new(),
            granted_units: 0,
        }
    }

    /// The limit that counts here.
    pub fn limit(&self) -> &TenantLimit {
        &self.limit
    }

    /// The version of the configuration that says so.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Another limit counts from now on: a level above it is lost at once. If the number of slots
    /// is another one, the debt grows anew: the other slots had theirs of the old number.
    pub fn set_limit(
        &mut self,
        limit: TenantLimit,
        version: u64,
        share: SlotShare,
        is_first_slot: bool,
        now_us: u64,
    ) {
        self.refill(now_us);
        if share.slots != self.share.slots {
            self.since_us = now_us;
        }
        (self.limit, self.version, self.share) = (limit, version, share);
        self.is_first_slot = is_first_slot;
        self.booking = None;
        self.refill(now_us);
    }

    /// The configuration has a later version with the same limit.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Takes what a run costs, if it may run now. A run that has been granted is granted again
    /// without a cost: the answer was lost.
    pub fn take(&mut self, demand: &Demand, now_us: u64) -> bool {
        self.refill(now_us);
        self.asked_at_us = now_us;
        if self.grants.iter().any(|grant| grant.ticket == demand.ticket) {
            return true;
        }
        let cost = micros(demand.cost);
        if !self.allows(cost, demand.rank, now_us) {
            return false;
        }
        self.book_out(cost, demand.rank);
        self.level -= cost;
        self.granted_units = self.granted_units.saturating_add(demand.cost);
        if self.grants.len() == MOST_GRANTS {
            self.grants.pop_front();
        }
        let room = self.share.burst - self.level;
        self.grants.push_back(Grant { ticket: demand.ticket, cost, at_us: now_us, room });
        true
    }

    /// A run that was granted has not begun. Returns the units given back; none if this holder
    /// did not grant it, has had it back already or has forgotten it.
    pub fn give_back(&mut self, ticket: Ticket, now_us: u64) -> u64 {
        self.refill(now_us);
        let Some(place) = self.grants.iter().position(|grant| grant.ticket == ticket) else {
            return 0;
        };
        let Some(grant) = self.grants.remove(place) else { return 0 };
        let units = grant.cost.min(grant.room).max(0);
        self.level = (self.level + units).min(self.share.burst);
        for other in &mut self.grants {
            other.room = other.room.min(self.share.burst - self.level);
        }
        let whole = u64::try_from(grant.cost / MICRO).unwrap_or_default();
        self.granted_units = self.granted_units.saturating_sub(whole);
        whole
    }

    /// Time until there is room for a run, by the level alone, microseconds; `None`: this slot
    /// never has room for it.
    pub fn time_until_room(&self, demand: &Demand, now_us: u64) -> Option<u64> {
        let cost = micros(demand.cost);
        if cost > self.most_cost() {
            return None;
        }
        let missing = self.need(cost, demand.rank, now_us) - self.level;
        let refill_us = self.share.time_for(missing);
        if cost <= self.share.burst + self.debt(now_us) {
            return Some(refill_us);
        }
        let grown_at_us = self.since_us + self.share.window_us;
        Some(refill_us.max(grown_at_us.saturating_sub(now_us)))
    }

    /// A run is refused: tells when to come back, microseconds from now, and books the turn.
    /// `shortest_us` is the shortest time in which a slot of the tenant has room.
    pub fn refuse(&mut self, demand: &Demand, shortest_us: Option<u64>, now_us: u64) -> u64 {
        let Some(shortest_us) = shortest_us else { return LONGEST_WAIT_US };
        let ahead_us = self.turns_end_us.saturating_sub(now_us);
        let wait_us = shortest_us.saturating_add(ahead_us);
        if wait_us >= LONGEST_WAIT_US {
            return spread_over_longest(demand.ticket);
        }
        let cost = micros(demand.cost);
        self.turns_end_us = self.turns_end_us.max(now_us) + self.share.time_for(cost);
        self.book(cost, demand.rank, now_us, wait_us);
        wait_us
    }

    /// Whether nothing is lost by forgetting it: it is full and has not been asked for a window.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        let idle_since_us = self.asked_at_us.max(self.since_us);
        self.level >= self.share.burst && now_us >= idle_since_us + self.share.window_us
    }

    /// Units left, below 0 if it is in debt, as of the last question or return.
    pub fn level_units(&self) -> i64 {
        self.level.div_euclid(MICRO)
    }

    /// Units that may be owed now.
    pub fn debt_units(&self, now_us: u64) -> u64 {
        u64::try_from(self.debt(now_us) / MICRO).unwrap_or_default()
    }

    /// Units granted and not given back since the holder met the tenant.
    pub fn granted_units(&self) -> u64 {
        self.granted_units
    }

    fn allows(&self, cost: i64, rank: u8, now_us: u64) -> bool {
        if self.level < self.need(cost, rank, now_us) {
            return false;
        }
        let fits = cost <= self.share.burst + self.debt(now_us);
        let is_grown = now_us >= self.since_us + self.share.window_us;
        (fits || (is_grown && cost <= self.most_cost())) && self.leaves_booked(cost, rank, now_us)
    }

    /// Whether a run puts off no booked turn.
    fn leaves_booked(&self, cost: i64, rank: u8, now_us: u64) -> bool {
        let Some(booking) = &self.booking else { return true };
        if rank < booking.rank || cost >= booking.cost {
            return true;
        }
        let most_by_small = booking.cost / SMALL_SHARE_DIVISOR;
        if self.is_small(cost) && booking.taken_by_small + cost <= most_by_small {
            return true;
        }
        let until_due_us = booking.due_us.saturating_sub(now_us);
        self.level - cost + self.share.refill(until_due_us) >= booking.need
    }

    /// A run is let in: it may be the booked one, or one that may go before it.
    fn book_out(&mut self, cost: i64, rank: u8) {
        let is_small = self.is_small(cost);
        let Some(booking) = &mut self.booking else { return };
        if cost >= booking.cost && rank <= booking.rank {
            self.booking = None;
        } else if is_small {
            booking.taken_by_small += cost;
        }
    }

    fn book(&mut self, cost: i64, rank: u8, now_us: u64, wait_us: u64) {
        let is_first = self.booking.is_none_or(|booking| rank < booking.rank);
        if self.is_small(cost) || !is_first {
            return;
        }
        let need = self.need(cost, rank, now_us);
        let due_us = now_us + wait_us;
        self.booking = Some(Booking { cost, rank, need, due_us, taken_by_small: 0 });
    }

    /// The level at which a run of this cost is let in.
    fn need(&self, cost: i64, rank: u8, now_us: u64) -> i64 {
        let debt = self.debt(now_us);
        let ranks = i64::from(rank.min(LAST_RANK));
        let reserve = if self.is_small(cost) { 0 } else { debt / RESERVE_DIVISOR * ranks };
        cost.saturating_add(reserve - debt).min(self.share.burst)
    }

    fn debt(&self, now_us: u64) -> i64 {
        self.share.debt_at(now_us.saturating_sub(self.since_us))
    }

    /// The most that one run may cost here.
    fn most_cost(&self) -> i64 {
        let oversize = if self.is_first_slot { self.share.oversize } else { 0 };
        self.share.burst + self.share.debt + oversize
    }

    fn is_small(&self, cost: i64) -> bool {
        cost <= self.share.burst / SMALL_DIVISOR
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_at_us);
        self.updated_at_us = self.updated_at_us.max(now_us);
        let refilled = self.level.saturating_add(self.share.refill(passed_us));
        self.level = refilled.min(self.share.burst);
        let room = self.share.burst - self.level;
        self.grants.retain(|grant| now_us < grant.at_us + RETURN_LIFE_US);
        for grant in &mut self.grants {
            grant.room = grant.room.min(room);
        }
        let is_over = |booking: Booking| now_us > booking.due_us + TURN_KEPT_US;
        if self.booking.is_some_and(is_over) {
            self.booking = None;
        }
    }
}

/// Some time up to the longest wait: what is refused in numbers comes back spread.
fn spread_over_longest(ticket: Ticket) -> u64 {
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let drawn = (ticket.number ^ ticket.incarnation).wrapping_mul(SPREAD) >> 32;
    LONGEST_WAIT_US / 2 + drawn % (LONGEST_WAIT_US / 2)
}

/// Units in millionths. Costs too large to count are larger than any slot.
fn micros(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MICRO)
}
