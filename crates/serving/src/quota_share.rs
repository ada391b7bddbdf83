//! What one slot of a tenant's limit may spend.
//!
//! In any window the runs of a tenant may cost so much in all (`allowed`):
//! `(rate x window + burst) x (1 + overage) + slack`. A run reaches its runner at most [`GRANT_LIFE_US`] after it was asked for, so runs
//! that arrive in a window were granted in a window longer by that time, and the refill of that
//! longer window comes out of `allowed` first. What is left pays for the burst and for the debts of
//! the slots.
//!
//! A holder of a slot spends at most `burst + debt + refill` in a window. A later holder of the
//! same slot begins with nothing, and its debt grows by `debt / DEBT_GROWTH_WINDOWS` a window: so
//! however many holders follow each other in a window, the later ones spend no more than the
//! refill of their time and that share of a debt. `debt x (1 + 1 / DEBT_GROWTH_WINDOWS)` of all
//! slots is what the bound leaves.

use crate::quota::{QuotaBounds, QuotaUnit, TenantLimit};

/// Time from the question within which a grant is used or given back, microseconds.
pub const GRANT_LIFE_US: u64 = 500_000;
/// Windows in which the debt of a new holder grows from nothing to the whole. The longer, the
/// larger the debt that old holders may have, and the less a new one has. Chosen, not measured.
pub const DEBT_GROWTH_WINDOWS: u64 = 2;
/// Tokens of a large request: each slot has room for one. Twice a mean long prompt; what is
/// larger is paid in parts.
const LARGE_TOKENS: i64 = 32_768;
/// Requests that each slot has room for, if requests are counted.
const LARGE_REQUESTS: i64 = 4;
/// Millionths of a unit: what levels are counted in.
pub const MICRO: i64 = 1_000_000;
/// Largest figure that is counted with, units: a million millionths of it fit into an `i64`.
const MOST_UNITS: u64 = 1_000_000_000_000;
/// Largest overage that is counted with: what the settings allow.
const MOST_OVERAGE: f64 = 10.0;
/// Longest window that is counted with, microseconds: a day.
const MOST_WINDOW_US: u64 = 86_400 * 1_000_000;

/// What one slot may spend, in millionths of a unit unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// Refill of all slots together, units a second: millionths a microsecond.
    pub refill_of_all: i64,
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
    pub fn of(limit: &TenantLimit, bounds: &QuotaBounds, slots: usize) -> Self {
        let slots = i128::try_from(slots.max(1)).unwrap_or(1);
        let rate = i128::from(limit.rate_per_s.min(MOST_UNITS));
        let burst = i128::from(limit.burst.min(MOST_UNITS)) * i128::from(MICRO);
        let window_us = bounds.window_us.clamp(1, MOST_WINDOW_US);
        let granted_us = i128::from(window_us + GRANT_LIFE_US);
        let allowed = allowed(rate, burst, bounds, window_us);
        // A limit that leaves nothing beside its refill gives up refill for one request a slot.
        let least = i128::from(MICRO) * slots;
        let refill = rate.min((allowed - least).max(0) / granted_us);
        let left = (allowed - refill * granted_us).max(0);
        let saved = burst.max(least).min(left);
        let beside = left - saved;
        let growth = i128::from(DEBT_GROWTH_WINDOWS);
        let debt = beside * growth / (growth + 1) / slots;
        Self {
            refill_of_all: narrow(refill),
            slots: narrow(slots),
            burst: narrow(saved / slots),
            debt: narrow(debt),
            window_us,
        }
    }

    /// Refill of the slot in some time, microseconds.
    pub fn refill(&self, time_us: u64) -> i64 {
        let refill = i128::from(self.refill_of_all) * i128::from(time_us);
        narrow(refill / i128::from(self.slots))
    }

    /// Time in which the slot gets so much, microseconds, rounded up.
    pub fn time_for(&self, micros: i64) -> u64 {
        let refill = i128::from(self.refill_of_all.max(1));
        let time = (i128::from(micros.max(0)) * i128::from(self.slots) + refill - 1) / refill;
        u64::try_from(time).unwrap_or(u64::MAX)
    }

    /// The debt that a holder may have so long after its start, microseconds.
    pub fn debt_at(&self, age_us: u64) -> i64 {
        let whole_at = self.window_us * DEBT_GROWTH_WINDOWS;
        let age = i128::from(age_us.min(whole_at));
        narrow(i128::from(self.debt) * age / i128::from(whole_at))
    }

    /// Whether a large request fits between the burst and the debt.
    pub fn has_room_for_large(&self, unit: QuotaUnit) -> bool {
        let large = match unit {
            QuotaUnit::Requests => LARGE_REQUESTS,
            QuotaUnit::Tokens => LARGE_TOKENS,
        };
        self.burst + self.debt >= large * MICRO
    }
}

/// What may run in a window, millionths.
fn allowed(rate: i128, burst: i128, bounds: &QuotaBounds, window_us: u64) -> i128 {
    let within = rate * i128::from(window_us) + burst;
    let slack = i128::from(bounds.slack.min(MOST_UNITS)) * i128::from(MICRO);
    // Rounded down to a millionth share, so that it is never more than the bound.
    let overage = (bounds.overage.clamp(0.0, MOST_OVERAGE) * MICRO as f64).floor() as i128;
    within + within * overage / i128::from(MICRO) + slack
}

fn narrow(value: i128) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
