//! The order in which a runner processes requests.
//!
//! A runner prefills the prompts of one rank in the order of their arrival. Under overload all of
//! them wait for longer than their target, and none is in time although the runner is never idle. A
//! prompt that the queue would make overdue is therefore deferred behind all prompts that can still
//! be in time, and is prefilled after them. A prompt that is too long to be in time even at an idle
//! runner keeps its place, since it is not the queue that makes it overdue.

use crate::placement::{PrefillPlan, RunnerChoice};

/// A prompt is deferred if its expected time exceeds what is left of its target by this factor.
/// Estimates err in both directions, and a prompt that is deferred without need is certain to be
/// late.
const OVERDUE_FACTOR: f64 = 1.4;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Largest priority value with a rank of its own; routes with larger values share it.
const LOWEST_PRIORITY: u8 = 2;
/// First rank of deferred prompts. Ranks range from 0 to 9.
const FIRST_DEFERRED_RANK: u8 = 7;
/// Prefill times, as fractions of the target, above which a prompt falls into the next size class.
const PREFILL_SIZE_BOUNDS: [f64; 2] = [0.15, 0.6];

/// Defers a prompt behind those that can still be in time, if waiting makes it overdue.
pub fn defer_if_overdue(plan: PrefillPlan, target_ms: f64, elapsed_ms: f64) -> PrefillPlan {
    let limit_ms = (target_ms - elapsed_ms).max(0.0) * OVERDUE_FACTOR;
    let is_overdue = |choice: &RunnerChoice| {
        choice.prefill_ms <= target_ms
            && choice.expected_prefill_us as f64 / MICROS_PER_MILLI > limit_ms
    };
    match plan {
        PrefillPlan::Split(choice) if is_overdue(&choice) => PrefillPlan::Split(choice.defer()),
        PrefillPlan::Direct(choice) if is_overdue(&choice) => PrefillPlan::Direct(choice.defer()),
        in_time => in_time,
    }
}

/// Rank of a request at a runner, 0 first: by the route's priority, then by the prefill time, since
/// a shorter prefill delays fewer other requests. Deferred prompts come last.
pub fn rank(priority: u8, choice: &RunnerChoice, target_ms: f64) -> u8 {
    let priority = priority.min(LOWEST_PRIORITY);
    if choice.demand.overdue_tokens > 0 {
        return FIRST_DEFERRED_RANK + priority;
    }
    let is_exceeded = |bound: &&f64| choice.prefill_ms > **bound * target_ms;
    let size_class = PREFILL_SIZE_BOUNDS.iter().filter(is_exceeded).count();
    priority * 2 + u8::try_from(size_class).unwrap_or(0)
}
