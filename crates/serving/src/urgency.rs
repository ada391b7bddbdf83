//! What goes ahead of what at a runner.
//!
//! A runner reads the prompts of one rank in the order in which they came. When more is asked
//! for than can be read, all of them wait for longer than their target, and nothing is in
//! time though the runner never rests. So a prompt that has to wait for too long to be in time
//! is put behind all that can still be, and is read when these are done. What is too long to be
//! in time even at an idle runner keeps its place: it is not the queue that makes it late.

use crate::placement::{PrefillPlan, RunnerChoice};

/// A prompt is put behind if it is expected to take so many times what is left of its target:
/// expectations err to both sides, and who is put behind without need is late for sure.
const SURELY_LATE: f64 = 1.4;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Lowest rank among the route's priorities; lower ones share it.
const LEAST_URGENT: u8 = 2;
/// First rank of what is put behind. Ranks go from 0 to 9.
const FIRST_BEHIND: u8 = 7;
/// Times that a reading takes, in targets, above which it is held to be longer.
const SIZES: [f64; 2] = [0.15, 0.6];

/// Puts a prompt behind those that can still be in time, if waiting makes it late.
pub fn put_behind_if_late(plan: PrefillPlan, target_ms: f64, elapsed_ms: f64) -> PrefillPlan {
    let limit_ms = (target_ms - elapsed_ms).max(0.0) * SURELY_LATE;
    let is_late = |choice: &RunnerChoice| {
        choice.prefill_ms <= target_ms
            && choice.expected_prefill_us as f64 / MICROS_PER_MILLI > limit_ms
    };
    match plan {
        PrefillPlan::Split(choice) if is_late(&choice) => PrefillPlan::Split(choice.defer()),
        PrefillPlan::Direct(choice) if is_late(&choice) => PrefillPlan::Direct(choice.defer()),
        in_time => in_time,
    }
}

/// Rank of a request at a runner, 0 first: the route's priority, and among equals the shorter
/// reading, which holds up fewer others; what was put behind comes last.
pub fn rank(priority: u8, choice: &RunnerChoice, target_ms: f64) -> u8 {
    let priority = priority.min(LEAST_URGENT);
    if choice.demand.overdue_tokens > 0 {
        return FIRST_BEHIND + priority;
    }
    let is_longer = |size: &&f64| choice.prefill_ms > **size * target_ms;
    let sizes_below = SIZES.iter().filter(is_longer).count();
    priority * 2 + u8::try_from(sizes_below).unwrap_or(0)
}
