//! What one slot of a tenant's limit may spend.
//!
//! In any window the runs of a tenant may cost so much in all (`allowed`):
//! `(rate x window + burst) x (1 + overage) + slack`. A run reaches its runner at most [`GRANT_LIFE_US`] after it was asked for, so runs
//! that arrive in a window were granted in a window longer by that time, and the refill of that
//! longer window comes out of `allowed` first. What is left pays for the burst and for the debts of
//! the slots.
//!
//! The refill is what the limit allows in each window, spread evenly: `rate + burst / window`, or
//! less, so that what is left holds the burst at once. A holder of a slot spends at most `burst +
//! debt + refill` in a window. A later holder of the same slot begins with all of the debt: so
//! however many holders follow each other in a window, the later ones spend no more than the refill
//! of their time.

use crate::quota::{QuotaBounds, QuotaUnit, TenantLimit};

/// Time from the question within which a grant is used or given back, microseconds.
pub const GRANT_TTL_US: u64 = 500_000;
/// Tokens of a large request: each slot has room for one. Twice a mean long prompt; what is
/// larger is paid in parts.
const LARGE_REQUEST_TOKENS: i64 = 32_768;
/// Requests that each slot has room for, if requests are counted.
const MIN_REQUESTS_PER_SLOT: i64 = 4;
/// Millionths of a unit: what levels are counted in.
pub const MICROS_PER_UNIT: i64 = 1_000_000;
const MICROS_PER_SECOND: i128 = 1_000_000;
/// Largest figure that is counted with, units: a million millionths of it fit into an `i64`.
const MAX_UNITS: u64 = 1_000_000_000_000;
/// Largest overage that is counted with: what the settings allow.
const MAX_OVERAGE: f64 = 10.0;
/// Longest window that is counted with, microseconds: a day.
const MAX_WINDOW_US: u64 = 86_400 * 1_000_000;

/// What one slot may spend, in millionths of a unit unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// Refill of all slots together, millionths a second.
    pub total_refill_per_s: i64,
    /// How many slots there are.
    pub slots: i64,
    /// Most that the slot saves up.
    pub burst: i64,
    /// Most that it may owe.
    pub debt: i64,
    /// Length of the window, microseconds.
    pub window_us: u64,
}

impl SlotShare {
    /// One of so many slots of a limit.
    pub fn new(limit: &TenantLimit, bounds: &QuotaBounds, slots: usize) -> Self {
        let slots = i128::try_from(slots.max(1)).unwrap_or(1);
        let rate = i128::from(limit.rate_per_s.min(MAX_UNITS));
        let burst = i128::from(limit.burst.min(MAX_UNITS)) * i128::from(MICROS_PER_UNIT);
        let window_us = bounds.window_us.clamp(1, MAX_WINDOW_US);
        let grant_span_us = i128::from(window_us + GRANT_TTL_US);
        let allowed = allowed(rate, burst, bounds, window_us);
        // A limit that leaves nothing beside its refill gives up refill for one request a slot.
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
            burst: saturating_i64(total_burst / slots),
            debt: saturating_i64(debt),
            window_us,
        }
    }

    /// Refill of the slot in some time, microseconds.
    pub fn refill(&self, time_us: u64) -> i64 {
        let refill = i128::from(self.total_refill_per_s) * i128::from(time_us) / MICROS_PER_SECOND;
        saturating_i64(refill / i128::from(self.slots))
    }

    /// Time in which the slot gets so much, microseconds, rounded up.
    pub fn refill_time_us(&self, micros: i64) -> u64 {
        let refill = i128::from(self.total_refill_per_s.max(1));
        let needed = i128::from(micros.max(0)) * i128::from(self.slots) * MICROS_PER_SECOND;
        let time = (needed + refill - 1) / refill;
        u64::try_from(time).unwrap_or(u64::MAX)
    }

    /// Whether a large request fits between the burst and the debt.
    pub fn fits_large_request(&self, unit: QuotaUnit) -> bool {
        let large = match unit {
            QuotaUnit::Requests => MIN_REQUESTS_PER_SLOT,
            QuotaUnit::Tokens => LARGE_REQUEST_TOKENS,
        };
        self.burst + self.debt >= large * MICROS_PER_UNIT
    }
}

/// What may run in a window, millionths.
fn allowed(rate: i128, burst: i128, bounds: &QuotaBounds, window_us: u64) -> i128 {
    let nominal = rate * i128::from(window_us) + burst;
    let slack = i128::from(bounds.slack.min(MAX_UNITS)) * i128::from(MICROS_PER_UNIT);
    // Rounded down to a millionth share, so that it is never more than the bound.
    let overage = (bounds.overage.clamp(0.0, MAX_OVERAGE) * MICROS_PER_UNIT as f64).floor() as i128;
    nominal + nominal * overage / i128::from(MICROS_PER_UNIT) + slack
}

fn saturating_i64(value: i128) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
