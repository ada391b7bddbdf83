//! The share of a tenant's limit that one slot may spend.
//!
//! In any window, the runs of a tenant may cost at most `allowed = (rate x window + burst) x (1 +
//! overage) + slack` in total. A run reaches its runner at most [`GRANT_TTL_US`] after the first
//! query for it. Runs that arrive within a window were therefore granted within a window that is
//! longer by that time, and the refill of the longer window is taken from `allowed` first. The
//! remainder covers the burst and the debts of the slots.
//!
//! The refill rate spreads what the limit allows in a window evenly, `rate + burst / window`, or is
//! lower if the remainder would otherwise be less than the burst. The holder of a slot spends at
//! most `burst + debt + refill` in a window. The next holder of the same slot starts in full debt,
//! or continues with what that one left, in which case both count as one holder. However many holders follow each other within a window, the later ones spend no more than what
//! is refilled during their terms.

use crate::quota::{QuotaBounds, QuotaUnit, TenantLimit};

/// Time after the first query within which a grant is used or refunded, in microseconds.
pub const GRANT_TTL_US: u64 = 500_000;
/// Tokens of a large request; each slot must fit one. This is twice a mean long prompt. Larger
/// requests are charged in parts.
const LARGE_REQUEST_TOKENS: i64 = 32_768;
/// Requests that each slot must fit if the unit is requests.
const MIN_REQUESTS_PER_SLOT: i64 = 4;
/// Bucket levels are counted in millionths of a unit.
pub const MICROS_PER_UNIT: i64 = 1_000_000;
const MICROS_PER_SECOND: i128 = 1_000_000;
/// Upper bound of the units used in calculations. In millionths, they still fit into an `i64`.
const MAX_UNITS: u64 = 1_000_000_000_000;
/// Upper bound of the overage used in calculations, the maximum that the settings accept.
const MAX_OVERAGE: f64 = 10.0;
/// Upper bound of the window used in calculations, in microseconds: one day.
const MAX_WINDOW_US: u64 = 86_400 * 1_000_000;

/// Upper bound of the burst and of the debt of one slot, in millionths of a unit: twice the largest burst. Sums of a level,
/// a debt and a cost fit into an `i64`.
const MAX_SLOT_MICROS: i64 = 2 * MAX_UNITS as i64 * MICROS_PER_UNIT;

/// What one slot may spend. Amounts are in millionths of a unit unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// Refill rate of all slots together, millionths of a unit per second.
    pub total_refill_per_s: i64,
    /// Number of slots that the limit is split into.
    pub slots: i64,
    /// Maximum level of the slot's bucket.
    pub burst: i64,
    /// Maximum debt of the slot's bucket.
    pub debt: i64,
    /// Length of the window, in microseconds.
    pub window_us: u64,
}

impl SlotShare {
    /// The share of one of `slots` equal slots of a limit.
    pub fn new(limit: &TenantLimit, bounds: &QuotaBounds, slots: usize) -> Self {
        let slots = i128::try_from(slots.max(1)).unwrap_or(1);
        let rate = i128::from(limit.rate_per_s.min(MAX_UNITS));
        let burst = i128::from(limit.burst.min(MAX_UNITS)) * i128::from(MICROS_PER_UNIT);
        let window_us = bounds.window_us.clamp(1, MAX_WINDOW_US);
        let grant_span_us = i128::from(window_us + GRANT_TTL_US);
        let allowed = allowed(rate, burst, bounds, window_us);
        // If nothing would be left beside the refill, the refill is reduced to leave one request
        // per slot.
        let min_burst = burst.max(i128::from(MICROS_PER_UNIT) * slots);
        let even_refill =
            rate * i128::from(MICROS_PER_UNIT) + burst * MICROS_PER_SECOND / i128::from(window_us);
        let max_refill = (allowed - min_burst).max(0) * MICROS_PER_SECOND / grant_span_us;
        let refill = even_refill.min(max_refill);
        let remaining = (allowed - refill * grant_span_us / MICROS_PER_SECOND).max(0);
        let total_burst = min_burst.min(remaining);
        let debt = (remaining - total_burst) / slots;
        Self {
            total_refill_per_s: saturating_i64(refill),
            slots: saturating_i64(slots),
            burst: saturating_i64(total_burst / slots).min(MAX_SLOT_MICROS),
            debt: saturating_i64(debt).min(MAX_SLOT_MICROS),
            window_us,
        }
    }

    /// Refill of the slot during `time_us`.
    pub fn refill(&self, time_us: u64) -> i64 {
        let refill = i128::from(self.total_refill_per_s) * i128::from(time_us) / MICROS_PER_SECOND;
        saturating_i64(refill / i128::from(self.slots))
    }

    /// Time in which the slot refills by `micros` millionths, in microseconds, rounded up.
    pub fn refill_time_us(&self, micros: i64) -> u64 {
        let refill = i128::from(self.total_refill_per_s.max(1));
        let needed = i128::from(micros.max(0)) * i128::from(self.slots) * MICROS_PER_SECOND;
        let time = (needed + refill - 1) / refill;
        u64::try_from(time).unwrap_or(u64::MAX)
    }

    /// Whether the slot's burst and debt together cover a large request.
    pub fn fits_large_request(&self, unit: QuotaUnit) -> bool {
        let large = match unit {
            QuotaUnit::Requests => MIN_REQUESTS_PER_SLOT,
            QuotaUnit::Tokens => LARGE_REQUEST_TOKENS,
        };
        self.burst + self.debt >= large * MICROS_PER_UNIT
    }
}

/// The cost that may run in a window, millionths of a unit.
fn allowed(rate: i128, burst: i128, bounds: &QuotaBounds, window_us: u64) -> i128 {
    let nominal = rate * i128::from(window_us) + burst;
    let slack = i128::from(bounds.slack.min(MAX_UNITS)) * i128::from(MICROS_PER_UNIT);
    // Rounded down to millionths, so that it never exceeds the bound.
    let overage = (bounds.overage.clamp(0.0, MAX_OVERAGE) * MICROS_PER_UNIT as f64).floor() as i128;
    nominal + nominal * overage / i128::from(MICROS_PER_UNIT) + slack
}

fn saturating_i64(value: i128) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
