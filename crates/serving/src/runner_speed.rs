//! How fast one runner is, against the mean pace of its service.
//!
//! Runners differ by kind, and a fault or a slow link makes one slower for seconds. So each runner
//! has a factor: the time that its readings took, as a share of what they would have taken at
//! the service's pace. It is the sum of the last times over the sum of the expectations, since
//! single readings are far off: several are read by turns and end together, what a runner holds
//! of a prompt is only believed, and it reads in vain what was given up.
//!
//! A wait is no slowness. A scheduler hears of every reading at its runners, so a reading that
//! met a queue began there when the one before it ended; where only some readings are heard of,
//! those count that met no queue.

use std::collections::VecDeque;

/// A reading that has ended at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTiming {
    /// Time that the tokens take the service's runners on the mean, milliseconds.
    pub expected_ms: f64,
    /// Time that each reading takes besides, on the way mostly, milliseconds.
    pub fixed_ms: f64,
    /// From the sending of the request to the end of the answer, milliseconds.
    pub elapsed_ms: f64,
    /// Whether the runner was believed to have nothing else to read when it was sent.
    pub was_unqueued: bool,
    /// Whether this node hears of all readings at the runner.
    pub observes_all_prefills: bool,
}

/// Measured pace of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerSpeed {
    /// The last readings, the oldest first.
    samples: VecDeque<PrefillDuration>,
    /// When the last of them ended, microseconds.
    last_sample_us: u64,
    /// When a reading ended of which this node heard, microseconds.
    last_completion_us: Option<u64>,
}

/// What a reading took, and what it would have at the service's pace, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillDuration {
    /// What it took.
    pub actual_ms: f32,
    /// What it takes on the mean.
    pub expected_ms: f32,
}

/// Most readings that count: some five seconds at a busy runner.
const MAX_SAMPLES: usize = 40;
/// Readings that together show that a runner is slow, and the factor from which on they alone
/// count: kinds differ by less, and chance makes one in a hundred so.
const SLOW_SAMPLES: usize = 6;
const SLOW_FACTOR: f64 = 2.5;
/// Most that one reading counts for otherwise, as a factor.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Readings at the service's pace that a runner is credited with.
const PRIOR_SAMPLES: f64 = 4.0;
/// Slowest and fastest that a runner is held to be. Faults slow runners by less.
const MAX_FACTOR: f64 = 10.0;
const MIN_FACTOR: f64 = 0.1;
/// Shortest reading that tells something: times are told in whole milliseconds, and a node whose
/// processor is shared is late by some.
const MIN_EXPECTED_MS: f64 = 5.0;
/// Longest that is believed: an hour is no expectation.
const MAX_EXPECTED_MS: f64 = 3_600_000.0;
/// Time in which half of what shows a runner to be slow is forgotten while nothing more is heard:
/// faults last for some seconds, and one that is passed over would never be found to be over them.
const SLOWNESS_HALF_LIFE_US: f64 = 1_000_000.0;
/// Share of it below which such readings are dropped when another comes.
const MIN_SLOWNESS_SHARE: f64 = 0.25;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl RunnerSpeed {
    /// Time that a reading takes as a share of that at the service's pace; 1 until something is
    /// known, above it for a slow runner.
    pub fn slowdown_factor(&self, now_us: u64) -> f64 {
        let factor = self.recent_slowdown().unwrap_or_else(|| self.mean_factor());
        if factor > 1.0 {
            1.0 + (factor - 1.0) * self.slowness_share(now_us)
        } else {
            factor
        }
    }

    /// The runner has read a prompt; returns what that took if it can be told.
    pub fn on_prefilled(&mut self, timing: PrefillTiming, now_us: u64) -> Option<PrefillDuration> {
        let actual_ms = self.actual_ms(&timing, now_us);
        self.last_completion_us = Some(now_us);
        let expected_ms = timing.expected_ms;
        let is_measurable = (MIN_EXPECTED_MS..=MAX_EXPECTED_MS).contains(&expected_ms);
        let actual_ms = actual_ms.filter(|actual_ms| is_measurable && !actual_ms.is_nan())?;
        let actual_ms = actual_ms.clamp(0.0, expected_ms * MAX_FACTOR);
        let duration =
            PrefillDuration { actual_ms: actual_ms as f32, expected_ms: expected_ms as f32 };
        self.add(duration, now_us);
        Some(duration)
    }

    /// The factor over all readings that count.
    fn mean_factor(&self) -> f64 {
        let clipped = self.samples.iter().map(|it| {
            let actual_ms =
                f64::from(it.actual_ms).min(f64::from(it.expected_ms) * MAX_SAMPLE_FACTOR);
            PrefillDuration { actual_ms: actual_ms as f32, ..*it }
        });
        let counted = self.samples.len() as f64;
        (factor_of(clipped) * counted + PRIOR_SAMPLES) / (counted + PRIOR_SAMPLES)
    }

    /// The factor of the last readings, if these show that the runner is slow.
    fn recent_slowdown(&self) -> Option<f64> {
        let older = self.samples.len().checked_sub(SLOW_SAMPLES)?;
        let recent = factor_of(self.samples.iter().skip(older).copied());
        (recent > SLOW_FACTOR).then_some(recent)
    }

    /// Share that is left of the slowness that the last readings showed.
    fn slowness_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.last_sample_us) as f64;
        (-age_us / SLOWNESS_HALF_LIFE_US).exp2()
    }

    /// Time that the runner spent on a reading, milliseconds; `None` if that cannot be told.
    fn actual_ms(&self, timing: &PrefillTiming, now_us: u64) -> Option<f64> {
        let without_overhead_ms = timing.elapsed_ms - timing.fixed_ms;
        let since = |last_us: u64| now_us.saturating_sub(last_us) as f64 / MICROS_PER_MILLI;
        let since_last_ms = self.last_completion_us.map_or(f64::INFINITY, since);
        if timing.observes_all_prefills && since_last_ms < without_overhead_ms {
            return Some(since_last_ms);
        }
        timing.was_unqueued.then_some(without_overhead_ms)
    }

    fn add(&mut self, duration: PrefillDuration, now_us: u64) {
        if self.recent_slowdown().is_some() && self.slowness_share(now_us) < MIN_SLOWNESS_SHARE {
            self.samples.clear();
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(duration);
        self.last_sample_us = now_us;
    }
}

/// What readings took as a share of what they would have at the service's pace; 1 without any.
fn factor_of(durations: impl Iterator<Item = PrefillDuration>) -> f64 {
    let (actual_ms, expected_ms) = durations.fold((0.0, 0.0), |(actual_ms, expected_ms), it| {
        (actual_ms + f64::from(it.actual_ms), expected_ms + f64::from(it.expected_ms))
    });
    if expected_ms > 0.0 {
        (actual_ms / expected_ms).clamp(MIN_FACTOR, MAX_FACTOR)
    } else {
        1.0
    }
}
