//! The token bucket of one slot of a tenant's limit. It refills at a constant rate and may go into
//! debt.
//!
//! A run is granted if the level minus its cost stays at or above a floor. The floor is the
//! negative of the slot's maximum debt, plus a reserve that less urgent runs leave to more urgent
//! ones. Runs that cost less than a small share of the burst ignore the reserve.
//!
//! When a large run is refused, the level that it needs is reserved for the time at which it is
//! told to retry. Until then, smaller runs that are no more urgent are granted only as far as they
//! do not delay it. There is one reservation at a time.

use crate::quota::{QuotaQuery, QuotaUnit, TenantLimit};
use crate::quota_grants::RefundableGrants;
use crate::quota_retry::RetrySchedule;
use crate::quota_share::{SlotShare, MICROS_PER_UNIT};
use crate::scheduling::Ticket;

/// Costs of up to `burst / SMALL_COST_DIVISOR` ignore the priority reserve.
const SMALL_COST_DIVISOR: i64 = 64;
/// Each priority leaves `(burst + debt) / PRIORITY_RESERVE_DIVISOR` to the next more urgent one.
const PRIORITY_RESERVE_DIVISOR: i64 = 16;
/// Priorities beyond this one are treated like it.
const LOWEST_PRIORITY: u8 = 2;

/// The demand of one run, as far as a bucket needs it.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Identifies the run, which is charged only once.
    pub ticket: Ticket,
    /// Cost of the run, in units.
    pub cost: u64,
    /// Priority of the run; 0 is the most urgent.
    pub priority: u8,
}

impl Demand {
    /// Converts a query's cost to the unit of `limit`, the limit in force at the keeper. The node
    /// that sent the query may know an older one.
    pub fn from_query(query: &QuotaQuery, limit: &TenantLimit) -> Self {
        let cost = match (limit.unit, query.limit.unit) {
            (QuotaUnit::Requests, QuotaUnit::Tokens) => 1,
            (QuotaUnit::Tokens, QuotaUnit::Requests) => limit.plain_tokens,
            _ => query.cost,
        };
        Self { ticket: query.ticket, cost, priority: query.priority }
    }
}

/// The token bucket of one slot, kept by the slot's holder. Amounts are in millionths of a unit.
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
    /// Creates the bucket of a tenant that is new to this holder. It starts in full debt at
    /// `since_us`, from which the holder counts, and has refilled without a charge until `now_us`.
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

    /// Continues the bucket of the previous holder, which had `available` millionths of a unit left
    /// above full debt when it stopped granting. What would have been refilled since then is lost,
    /// and so are refunds of runs that the previous holder granted.
    pub fn resume(
        limit: TenantLimit,
        version: u64,
        share: SlotShare,
        available: i64,
        now_us: u64,
    ) -> Self {
        let mut bucket = Self::new(limit, version, share, now_us, now_us);
        let available = available.min(share.burst + share.debt);
        bucket.level = available.saturating_sub(share.debt);
        bucket
    }

    /// What is left above full debt, in millionths of a unit; negative if a lowered limit has put
    /// the level below it.
    pub fn available_above_debt(&mut self, now_us: u64) -> i64 {
        self.refill(now_us);
        self.level.saturating_add(self.share.debt)
    }

    /// The tenant's limit in force at this holder.
    pub fn limit(&self) -> &TenantLimit {
        &self.limit
    }

    /// The version of the configuration that the limit in force was read from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the limit. The available units are kept, up to the capacity under the new limit; a
    /// reservation made under the old limit is dropped.
    pub fn set_limit(&mut self, limit: TenantLimit, version: u64, share: SlotShare, now_us: u64) {
        self.refill(now_us);
        let available = (self.level + self.share.debt).min(share.burst + share.debt);
        self.level = available - share.debt;
        (self.limit, self.version, self.share) = (limit, version, share);
        self.retries.cancel();
        self.refill(now_us);
    }

    /// Records a later version of the configuration that leaves the limit unchanged.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Charges the whole cost of a run if it is available, and returns whether the run is granted.
    /// A run that was granted before is granted again without a charge, since the reply may have
    /// been lost.
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

    /// Charges as much of a run's cost as is available, at most `remaining_units`. Returns the
    /// units charged, including those of an earlier charge for the same run.
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

    /// Units available to a run of this cost and priority; negative if the level is below the
    /// floor.
    pub fn available_units(&self, demand: &Demand, now_us: u64) -> i64 {
        let cost = to_micros(demand.cost);
        self.available_micros(cost, cost, demand.priority, now_us).div_euclid(MICROS_PER_UNIT)
    }

    /// Refunds a run that was granted and has not started. Returns the units that were charged; 0
    /// if this holder did not grant the run, has refunded it already or no longer remembers it.
    pub fn refund(&mut self, ticket: Ticket, now_us: u64) -> u64 {
        self.refill(now_us);
        let Some(refund) = self.grants.refund(ticket) else { return 0 };
        self.level = (self.level + refund.refunded).min(self.share.burst);
        self.grants.record_headroom(self.share.burst - self.level);
        let units = to_units(refund.charged);
        self.granted_units = self.granted_units.saturating_sub(units);
        units
    }

    /// Returns how long a refused run should wait before it retries, in microseconds, and reserves
    /// the level that it needs then. `available_units` is the sum available at all `slots` that
    /// were queried.
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

    /// Whether the bucket can be dropped without loss: it is full and has not been queried for a
    /// window.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        self.level >= self.share.burst && now_us >= self.queried_at_us + self.share.window_us
    }

    /// Level in units as of the last query or refund; negative if the bucket is in debt.
    pub fn level_units(&self) -> i64 {
        self.level.div_euclid(MICROS_PER_UNIT)
    }

    /// Level in units at `now_us`, assuming that nothing is charged until then.
    pub fn level_at(&self, now_us: u64) -> i64 {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        let refilled = self.level.saturating_add(self.share.refill(elapsed_us));
        refilled.min(self.share.burst).div_euclid(MICROS_PER_UNIT)
    }

    /// Maximum debt in units, a positive number.
    pub fn debt_units(&self) -> u64 {
        to_units(self.share.debt)
    }

    /// Units granted and not refunded since this holder created the bucket.
    pub fn granted_units(&self) -> u64 {
        self.granted_units
    }

    /// Amount available to a run, or to a part of one, capped at `max_micros`.
    fn available_micros(&self, cost: i64, max_micros: i64, priority: u8, now_us: u64) -> i64 {
        let available = self.level + self.share.debt - self.priority_reserve(cost, priority);
        let is_small = self.is_small(cost);
        match self.retries.reserved_level(cost, priority, is_small, now_us) {
            Some((level, at_us)) => {
                let refilled = self.share.refill(at_us.saturating_sub(now_us));
                available.min(self.level.saturating_add(refilled).saturating_sub(level))
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

    /// The amount that a run of this cost and priority leaves to more urgent runs.
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

/// Converts units to millionths. The result saturates: costs that overflow exceed any slot.
fn to_micros(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MICROS_PER_UNIT)
}

/// Converts millionths to units, rounded down; 0 if negative.
fn to_units(micros: i64) -> u64 {
    u64::try_from(micros / MICROS_PER_UNIT).unwrap_or_default()
}
