//! What goes ahead of what at a runner.
//!
//! A runner reads the prompts of one rank in the order in which they came. When more is asked
//! for than can be read, all of them wait for longer than their target, and nothing is in
//! time though the runner never rests. So a prompt that has to wait for too long to be in time
//! is put behind all that can still be, and is read when these are done. What is too long to be
//! in time even at an idle runner keeps its place: it is not the queue that makes it late.

use crate::placement::{Choice, ReadingPlan};

/// A prompt is put behind if it is expected to take so many times what is left of its target:
/// expectations err to both sides, and who is put behind without need is late for sure.
const OVERDUE_FACTOR: f64 = 1.4;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Lowest rank among the route's priorities; lower ones share it.
const LOWEST_PRIORITY: u8 = 2;
/// First rank of what is put behind. Ranks go from 0 to 9.
const FIRST_DEFERRED_RANK: u8 = 7;
/// Times that a reading takes, in targets, above which it is held to be longer.
const PREFILL_SIZE_BOUNDS: [f64; 2] = [0.15, 0.6];

/// Puts a prompt behind those that can still be in time, if waiting makes it late.
pub fn defer_if_overdue(plan: ReadingPlan, target_ms: f64, elapsed_ms: f64) -> ReadingPlan {
    let limit_ms = (target_ms - elapsed_ms).max(0.0) * OVERDUE_FACTOR;
    let is_overdue = |choice: &Choice| {
        choice.reading_ms <= target_ms && choice.expected_us as f64 / MICROS_PER_MILLI > limit_ms
    };
    match plan {
        ReadingPlan::Split(choice) if is_overdue(&choice) => {
            ReadingPlan::Split(choice.put_behind())
        }
        ReadingPlan::Direct(choice) if is_overdue(&choice) => {
            ReadingPlan::Direct(choice.put_behind())
        }
        in_time => in_time,
    }
}

/// Rank of a request at a runner, 0 first: the route's priority, and among equals the shorter
/// reading, which holds up fewer others; what was put behind comes last.
pub fn rank(priority: u8, choice: &Choice, target_ms: f64) -> u8 {
    let priority = priority.min(LOWEST_PRIORITY);
    if choice.demand.late_tokens > 0 {
        return FIRST_DEFERRED_RANK + priority;
    }
    let is_exceeded = |bound: &&f64| choice.reading_ms > **bound * target_ms;
    let size_class = PREFILL_SIZE_BOUNDS.iter().filter(is_exceeded).count();
    priority * 2 + u8::try_from(size_class).unwrap_or(0)
}
