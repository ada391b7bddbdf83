//! One slot of a tenant's limit: a bucket that fills steadily and may go into debt.
//!
//! A run is paid for if the level is its cost above the floor. The floor is the debt that the slot
//! may have, and above it a reserve that the less urgent leave to the more urgent. What
//! costs less than a small share of the burst needs no reserve.
//!
//! A large run that was refused has its turn booked: until then smaller ones that are no more
//! urgent are let in only as far as they do not put it off. There is one booking at a time.

use crate::quota::{QuotaQuestion, QuotaUnit, TenantLimit};
use crate::quota_grants::RememberedGrants;
use crate::quota_retry::Turns;
use crate::quota_share::{SlotShare, MICRO};
use crate::scheduling::Ticket;

/// Costs up to this share of the burst need no reserve, as a divisor.
const SMALL_DIVISOR: i64 = 64;
/// Share of burst and debt that each rank leaves to the one before it, as a divisor.
const RESERVE_DIVISOR: i64 = 16;
/// Ranks beyond this one leave what it leaves.
const LAST_RANK: u8 = 2;

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

impl Demand {
    /// What a question is about, by the limit that counts: the asking node may know an older one.
    pub fn of(question: &QuotaQuestion, limit: &TenantLimit) -> Self {
        let cost = match (limit.unit, question.limit.unit) {
            (QuotaUnit::Requests, QuotaUnit::Tokens) => 1,
            (QuotaUnit::Tokens, QuotaUnit::Requests) => limit.plain_tokens,
            _ => question.cost,
        };
        Self { ticket: question.ticket, cost, rank: question.priority }
    }
}

/// One slot of a tenant's limit, as its holder keeps it. Amounts are in millionths of a unit.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: TenantLimit,
    version: u64,
    share: SlotShare,
    level: i64,
    updated_at_us: u64,
    asked_at_us: u64,
    turns: Turns,
    grants: RememberedGrants,
    granted_units: u64,
}

impl Bucket {
    /// The slot of a tenant that was not met before by a holder that counts since `since_us`: as
    /// if it had owed all of its debt then and nothing had been asked since.
    pub fn new(
        limit: TenantLimit,
        version: u64,
        share: SlotShare,
        since_us: u64,
        now_us: u64,
    ) -> Self {
        let refilled = share.refill(now_us.saturating_sub(since_us));
        let level = refilled.saturating_sub(share.debt).min(share.burst);
        Self {
            limit,
            version,
            share,
            level,
            updated_at_us: now_us,
            asked_at_us: now_us,
            turns: Turns::default(),
            grants: RememberedGrants::default(),
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

    /// Another limit counts from now on. What there was room for stays, as far as the new limit has
    /// room for it.
    pub fn set_limit(&mut self, limit: TenantLimit, version: u64, share: SlotShare, now_us: u64) {
        self.refill(now_us);
        let room = (self.level + self.share.debt).min(share.burst + share.debt);
        self.level = room - share.debt;
        (self.limit, self.version, self.share) = (limit, version, share);
        self.turns.cancel();
        self.refill(now_us);
    }

    /// The configuration has a later version with the same limit.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Takes what a run costs, if there is room for all of it. A run that has been granted is
    /// granted again without a cost: the answer was lost.
    pub fn take(&mut self, demand: &Demand, now_us: u64) -> bool {
        self.refill(now_us);
        self.asked_at_us = now_us;
        let cost = micros(demand.cost);
        if let Some(paid) = self.grants.paid(demand.ticket) {
            return paid >= cost;
        }
        let has_room = self.room_for(cost, cost, demand.rank, now_us) >= cost;
        if has_room {
            self.book_out(demand, cost, now_us);
        }
        has_room
    }

    /// Takes as much of what a run costs as there is room for, and no more than `left` units.
    /// Returns the units; what was taken for the run before is among them.
    pub fn take_part(&mut self, demand: &Demand, left: u64, now_us: u64) -> u64 {
        self.refill(now_us);
        if let Some(paid) = self.grants.paid(demand.ticket) {
            return whole(paid);
        }
        let room = self.room_for(micros(demand.cost), micros(left), demand.rank, now_us);
        let part = whole(room.min(micros(left)));
        if part > 0 {
            self.book_out(demand, micros(part), now_us);
        }
        part
    }

    /// Units that there is room for, below 0 if the level is below the floor.
    pub fn room_units(&self, demand: &Demand, now_us: u64) -> i64 {
        let cost = micros(demand.cost);
        self.room_for(cost, cost, demand.rank, now_us).div_euclid(MICRO)
    }

    /// A run that was granted has not begun. Returns the units that had been paid; none if this
    /// holder did not grant it, has had it back already or has forgotten it.
    pub fn give_back(&mut self, ticket: Ticket, now_us: u64) -> u64 {
        self.refill(now_us);
        let Some(given_back) = self.grants.give_back(ticket) else { return 0 };
        self.level = (self.level + given_back.returned).min(self.share.burst);
        self.grants.note_room(self.share.burst - self.level);
        let units = whole(given_back.paid);
        self.granted_units = self.granted_units.saturating_sub(units);
        units
    }

    /// A run is refused: tells when to come back, microseconds from now, and books the turn.
    /// `room` is what all slots that were asked have room for, so many of them, in units.
    pub fn refuse(&mut self, demand: &Demand, room: i64, slots: usize, now_us: u64) -> u64 {
        let cost = micros(demand.cost);
        let slots = i64::try_from(slots.max(1)).unwrap_or(1);
        let most = (self.share.burst + self.share.debt).saturating_mul(slots);
        if cost > most {
            return Turns::longest_wait(demand.ticket);
        }
        let missing = cost.saturating_sub(room.saturating_mul(MICRO)) / slots + MICRO;
        let time_us = self.share.time_for(missing);
        let turn_us = self.share.time_for(cost / slots);
        let wait_us = self.turns.wait(demand.ticket, time_us, turn_us, now_us);
        if !self.is_small(cost) {
            let need = (cost / slots - self.share.debt + self.reserve(cost, demand.rank))
                .min(self.share.burst);
            self.turns.book(cost, demand.rank, need, now_us + wait_us);
        }
        wait_us
    }

    /// Whether nothing is lost by forgetting it: it is full and has not been asked for a window.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.level >= self.share.burst && now_us >= self.asked_at_us + self.share.window_us
    }

    /// Units left, below 0 if it is in debt, as of the last question or return.
    pub fn level_units(&self) -> i64 {
        self.level.div_euclid(MICRO)
    }

    /// Units left at a later time, if nothing is asked until then.
    pub fn level_at(&self, now_us: u64) -> i64 {
        let passed_us = now_us.saturating_sub(self.updated_at_us);
        let refilled = self.level.saturating_add(self.share.refill(passed_us));
        refilled.min(self.share.burst).div_euclid(MICRO)
    }

    /// Units that may be owed.
    pub fn debt_units(&self) -> u64 {
        whole(self.share.debt)
    }

    /// Units granted and not given back since the holder met the tenant.
    pub fn granted_units(&self) -> u64 {
        self.granted_units
    }

    /// Room for a run, or for a part of one, that takes no more than `most`.
    fn room_for(&self, cost: i64, most: i64, rank: u8, now_us: u64) -> i64 {
        let room = self.level + self.share.debt - self.reserve(cost, rank);
        let is_small = self.is_small(cost);
        match self.turns.level_to_leave(cost, rank, is_small, now_us) {
            Some((level, at_us)) => {
                let refilled = self.share.refill(at_us.saturating_sub(now_us));
                room.min(self.level + refilled - level)
            }
            None => room,
        }
        .min(most)
    }

    fn book_out(&mut self, demand: &Demand, paid: i64, now_us: u64) {
        let cost = micros(demand.cost);
        self.turns.on_grant(cost, demand.rank, self.is_small(cost));
        self.level -= paid;
        self.granted_units = self.granted_units.saturating_add(whole(paid));
        self.grants.add(demand.ticket, paid, self.share.burst - self.level, now_us);
    }

    /// What a run leaves to more urgent ones.
    fn reserve(&self, cost: i64, rank: u8) -> i64 {
        if self.is_small(cost) {
            return 0;
        }
        (self.share.burst + self.share.debt) / RESERVE_DIVISOR * i64::from(rank.min(LAST_RANK))
    }

    fn is_small(&self, cost: i64) -> bool {
        cost <= self.share.burst / SMALL_DIVISOR
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_at_us);
        self.updated_at_us = self.updated_at_us.max(now_us);
        let refilled = self.level.saturating_add(self.share.refill(passed_us));
        self.level = refilled.min(self.share.burst);
        self.grants.forget(now_us);
        self.grants.note_room(self.share.burst - self.level);
        self.turns.forget(now_us);
    }
}

/// Units in millionths. Costs too large to count are larger than any slot.
fn micros(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MICRO)
}

/// Whole units, none if below 0.
fn whole(micros: i64) -> u64 {
    u64::try_from(micros / MICRO).unwrap_or_default()
}
