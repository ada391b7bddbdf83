//! Bounds of the numbers that clients, runners, operators and other nodes state.
//!
//! A larger number is cut to its bound where it is decoded. Sums and products of thousands of bounded numbers still fit
//! into 64 bits, so that no computation with them overflows. The functions decode fields of documents and messages.

use crate::usage::TenantCounts;
use serde::{Deserialize, Deserializer};

/// Upper bound of a time, in milliseconds: 1,000 years. It also holds times since 1970.
pub const MAX_TIME_MS: u64 = 31_557_600_000_000;
/// Upper bound of a time, in microseconds: 1,000 years.
pub const MAX_TIME_US: u64 = MAX_TIME_MS * 1_000;
/// Upper bound of a number of tokens, units or requests, above any limit that can be configured.
pub const MAX_UNITS: u64 = 1_000_000_000_000;
/// Upper bound of the cost of a run, in units: a prompt and its output.
pub const MAX_COST: u64 = 2 * MAX_UNITS;
/// Upper bound of a number of runners, slots or requests at a runner.
pub const MAX_RUNNER_COUNT: u32 = 1_000_000;
/// Upper bound of a number of shards of a region, enough for 40,000 nodes.
pub const MAX_SHARDS: usize = 1_000;
/// Upper bound of a share, price, rate or number of seconds that is written with fractions.
const MAX_FRACTIONAL: f64 = 1e12;

/// Decodes a time in milliseconds.
pub fn time_ms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|time_ms| time_ms.min(MAX_TIME_MS))
}

/// Decodes a time in milliseconds that may be absent.
pub fn optional_time_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    let time_ms = Option::<u64>::deserialize(deserializer)?;
    Ok(time_ms.map(|time_ms| time_ms.min(MAX_TIME_MS)))
}

/// Decodes a time in microseconds.
pub fn time_us<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|time_us| time_us.min(MAX_TIME_US))
}

/// Decodes a number of tokens, units or requests.
pub fn units<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|units| units.min(MAX_UNITS))
}

/// Decodes the cost of a run in units.
pub fn cost<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|cost| cost.min(MAX_COST))
}

/// Decodes units that may be negative.
pub fn signed_units<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    const MAX: i64 = MAX_COST as i64;
    i64::deserialize(deserializer).map(|units| units.clamp(-MAX, MAX))
}

/// Decodes the parts of a prompt: identities and numbers of tokens.
pub fn parts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<(u64, u64)>, D::Error> {
    let mut parts = Vec::<(u64, u64)>::deserialize(deserializer)?;
    parts.iter_mut().for_each(|(_, tokens)| *tokens = (*tokens).min(MAX_UNITS));
    Ok(parts)
}

/// Decodes counts of requests by tenant.
pub fn tenant_counts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<TenantCounts, D::Error> {
    let mut counts = TenantCounts::deserialize(deserializer)?;
    counts.values_mut().for_each(|count| *count = (*count).min(MAX_UNITS));
    Ok(counts)
}

/// Decodes a number of runners, slots or requests at a runner.
pub fn runner_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    u32::deserialize(deserializer).map(|count| count.min(MAX_RUNNER_COUNT))
}

/// Decodes a number of shards, or the number of one of them.
pub fn shards<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    u64::deserialize(deserializer)
        .map(|shards| usize::try_from(shards).unwrap_or(MAX_SHARDS).min(MAX_SHARDS))
}

/// Decodes a number with fractions that is not negative; a negative one becomes 0.
pub fn fractional<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    f64::deserialize(deserializer).map(bounded_fractional)
}

/// Decodes a number with fractions that may be absent.
pub fn optional_fractional<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    Ok(Option::<f64>::deserialize(deserializer)?.map(bounded_fractional))
}

/// A number with fractions within its bounds; 0 if it is negative or NaN.
pub fn bounded_fractional(number: f64) -> f64 {
    match number.is_nan() {
        true => 0.0,
        false => number.clamp(0.0, MAX_FRACTIONAL),
    }
}
