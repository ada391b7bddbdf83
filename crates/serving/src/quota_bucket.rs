//! One slot of a tenant's limit: a bucket that fills steadily and may go into debt.
//!
//! A run is paid for if the level is its cost above the floor. The floor is the debt that the slot
//! may have, and above it a reserve that the less urgent leave to the more urgent. What
//! costs less than a small share of the burst needs no reserve.
//!
//! A large run that was refused has its turn booked: until then smaller ones that are no more
//! urgent are let in only as far as they do not put it off. There is one booking at a time.

use crate::quota::{QuotaQuery, QuotaUnit, TenantLimit};
use crate::quota_grants::RefundableGrants;
use crate::quota_retry::RetrySchedule;
use crate::quota_share::{SlotShare, MICROS_PER_UNIT};
use crate::scheduling::Ticket;

/// Costs up to this share of the burst need no reserve, as a divisor.
const SMALL_COST_DIVISOR: i64 = 64;
/// Share of burst and debt that each rank leaves to the one before it, as a divisor.
const PRIORITY_RESERVE_DIVISOR: i64 = 16;
/// Ranks beyond this one leave what it leaves.
const LOWEST_PRIORITY: u8 = 2;

/// What a question is about.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The run.
    pub ticket: Ticket,
    /// What it costs, units.
    pub cost: u64,
    /// Its rank, 0 first.
    pub priority: u8,
}

impl Demand {
    /// What a question is about, by the limit that counts: the asking node may know an older one.
    pub fn from_query(query: &QuotaQuery, limit: &TenantLimit) -> Self {
        let cost = match (limit.unit, query.limit.unit) {
            (QuotaUnit::Requests, QuotaUnit::Tokens) => 1,
            (QuotaUnit::Tokens, QuotaUnit::Requests) => limit.plain_tokens,
            _ => query.cost,
        };
        Self { ticket: query.ticket, cost, priority: query.priority }
    }
}

/// One slot of a tenant's limit, as its holder keeps it. Amounts are in millionths of a unit.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: TenantLimit,
    version: u64,
    share: SlotShare,
    level: i64,
    refilled_at_us: u64,
    queried_at_us: u64,
    retries: RetrySchedule,
    grants: RefundableGrants,
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
            refilled_at_us: now_us,
            queried_at_us: now_us,
            retries: RetrySchedule::default(),
            grants: RefundableGrants::default(),
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
        let available = (self.level + self.share.debt).min(share.burst + share.debt);
        self.level = available - share.debt;
        (self.limit, self.version, self.share) = (limit, version, share);
        self.retries.cancel();
        self.refill(now_us);
    }

    /// The configuration has a later version with the same limit.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Takes what a run costs, if there is room for all of it. A run that has been granted is
    /// granted again without a cost: the answer was lost.
    pub fn try_charge(&mut self, demand: &Demand, now_us: u64) -> bool {
        self.refill(now_us);
        self.queried_at_us = now_us;
        let cost = to_micros(demand.cost);
        if let Some(charged) = self.grants.charged(demand.ticket) {
            return charged >= cost;
        }
        let is_affordable = self.available_micros(cost, cost, demand.priority, now_us) >= cost;
        if is_affordable {
            self.record_charge(demand, cost, now_us);
        }
        is_affordable
    }

    /// Takes as much of what a run costs as there is room for, and no more than `left` units.
    /// Returns the units; what was taken for the run before is among them.
    pub fn charge_up_to(&mut self, demand: &Demand, remaining_units: u64, now_us: u64) -> u64 {
        self.refill(now_us);
        if let Some(charged) = self.grants.charged(demand.ticket) {
            return to_units(charged);
        }
        let available = self.available_micros(
            to_micros(demand.cost),
            to_micros(remaining_units),
            demand.priority,
            now_us,
        );
        let charged_units = to_units(available.min(to_micros(remaining_units)));
        if charged_units > 0 {
            self.record_charge(demand, to_micros(charged_units), now_us);
        }
        charged_units
    }

    /// Units that there is room for, below 0 if the level is below the floor.
    pub fn available_units(&self, demand: &Demand, now_us: u64) -> i64 {
        let cost = to_micros(demand.cost);
        self.available_micros(cost, cost, demand.priority, now_us).div_euclid(MICROS_PER_UNIT)
    }

    /// A run that was granted has not begun. Returns the units that had been paid; none if this
    /// holder did not grant it, has had it back already or has forgotten it.
    pub fn refund(&mut self, ticket: Ticket, now_us: u64) -> u64 {
        self.refill(now_us);
        let Some(refund) = self.grants.refund(ticket) else { return 0 };
        self.level = (self.level + refund.refunded).min(self.share.burst);
        self.grants.record_headroom(self.share.burst - self.level);
        let units = to_units(refund.charged);
        self.granted_units = self.granted_units.saturating_sub(units);
        units
    }

    /// A run is refused: tells when to come back, microseconds from now, and books the turn.
    /// `room` is what all slots that were asked have room for, so many of them, in units.
    pub fn schedule_retry(
        &mut self,
        demand: &Demand,
        available_units: i64,
        slots: usize,
        now_us: u64,
    ) -> u64 {
        let cost = to_micros(demand.cost);
        let slots = i64::try_from(slots.max(1)).unwrap_or(1);
        let max_micros = (self.share.burst + self.share.debt).saturating_mul(slots);
        if cost > max_micros {
            return RetrySchedule::spread_wait(demand.ticket);
        }
        let missing = cost.saturating_sub(available_units.saturating_mul(MICROS_PER_UNIT)) / slots
            + MICROS_PER_UNIT;
        let refill_us = self.share.refill_time_us(missing);
        let delay_us = self.share.refill_time_us(cost / slots);
        let wait_us = self.retries.schedule(demand.ticket, refill_us, delay_us, now_us);
        if !self.is_small(cost) {
            let required_level = (cost / slots - self.share.debt
                + self.priority_reserve(cost, demand.priority))
            .min(self.share.burst);
            self.retries.reserve(cost, demand.priority, required_level, now_us + wait_us);
        }
        wait_us
    }

    /// Whether nothing is lost by forgetting it: it is full and has not been asked for a window.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.level >= self.share.burst && now_us >= self.queried_at_us + self.share.window_us
    }

    /// Units left, below 0 if it is in debt, as of the last question or return.
    pub fn level_units(&self) -> i64 {
        self.level.div_euclid(MICROS_PER_UNIT)
    }

    /// Units left at a later time, if nothing is asked until then.
    pub fn level_at(&self, now_us: u64) -> i64 {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        let refilled = self.level.saturating_add(self.share.refill(elapsed_us));
        refilled.min(self.share.burst).div_euclid(MICROS_PER_UNIT)
    }

    /// Units that may be owed.
    pub fn debt_units(&self) -> u64 {
        to_units(self.share.debt)
    }

    /// Units granted and not given back since the holder met the tenant.
    pub fn granted_units(&self) -> u64 {
        self.granted_units
    }

    /// Room for a run, or for a part of one, that takes no more than `most`.
    fn available_micros(&self, cost: i64, max_micros: i64, priority: u8, now_us: u64) -> i64 {
        let available = self.level + self.share.debt - self.priority_reserve(cost, priority);
        let is_small = self.is_small(cost);
        match self.retries.reserved_level(cost, priority, is_small, now_us) {
            Some((level, at_us)) => {
                let refilled = self.share.refill(at_us.saturating_sub(now_us));
                available.min(self.level + refilled - level)
            }
            None => available,
        }
        .min(max_micros)
    }

    fn record_charge(&mut self, demand: &Demand, charged: i64, now_us: u64) {
        let cost = to_micros(demand.cost);
        self.retries.on_grant(cost, demand.priority, self.is_small(cost));
        self.level -= charged;
        self.granted_units = self.granted_units.saturating_add(to_units(charged));
        self.grants.add(demand.ticket, charged, self.share.burst - self.level, now_us);
    }

    /// What a run leaves to more urgent ones.
    fn priority_reserve(&self, cost: i64, priority: u8) -> i64 {
        if self.is_small(cost) {
            return 0;
        }
        (self.share.burst + self.share.debt) / PRIORITY_RESERVE_DIVISOR
            * i64::from(priority.min(LOWEST_PRIORITY))
    }

    fn is_small(&self, cost: i64) -> bool {
        cost <= self.share.burst / SMALL_COST_DIVISOR
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        self.refilled_at_us = self.refilled_at_us.max(now_us);
        let refilled = self.level.saturating_add(self.share.refill(elapsed_us));
        self.level = refilled.min(self.share.burst);
        self.grants.expire(now_us);
        self.grants.record_headroom(self.share.burst - self.level);
        self.retries.expire(now_us);
    }
}

/// Units in millionths. Costs too large to count are larger than any slot.
fn to_micros(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MICROS_PER_UNIT)
}

/// Whole units, none if below 0.
fn to_units(micros: i64) -> u64 {
    u64::try_from(micros / MICROS_PER_UNIT).unwrap_or_default()
}
