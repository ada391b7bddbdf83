//! Prefill speed of one runner relative to the mean of its service.
//!
//! Runners differ by hardware, and a fault or a slow link makes one slower for seconds. Each runner
//! therefore has a slowdown factor: the duration of its prefills divided by the duration that the
//! service's mean speed predicts. The factor is the sum of the latest durations over the sum of the
//! predictions, since single prefills are poor estimates: a runner interleaves several prefills,
//! which then end together; the cached part of a prompt is only estimated; and a runner also spends
//! time on prompts of requests that were given up.
//!
//! Queueing time must not count as slowness. A scheduler observes every prefill at its runners, so
//! a queued prefill began when the one before it ended. A node that observes only some prefills
//! uses the ones that met no queue.

use std::collections::VecDeque;

/// Timing of a prefill that a runner has completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTiming {
    /// Mean prefill time of the service's runners for these tokens, in milliseconds.
    pub expected_ms: f64,
    /// Fixed overhead of each prefill, mostly network time, in milliseconds.
    pub fixed_ms: f64,
    /// Time from sending the request to the end of the response, in milliseconds.
    pub elapsed_ms: f64,
    /// Whether the runner was estimated to have no other prefill when the request was sent.
    pub was_unqueued: bool,
    /// Whether this node observes all prefills at the runner.
    pub observes_all_prefills: bool,
}

/// Measured prefill speed of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerSpeed {
    /// Latest samples, the oldest first.
    samples: VecDeque<PrefillDuration>,
    /// Time at which the latest sample was added, in microseconds.
    last_sample_us: u64,
    /// Time at which the latest observed prefill ended, in microseconds.
    last_completion_us: Option<u64>,
}

/// Duration of a prefill, and the duration that the service's mean speed predicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillDuration {
    /// Measured duration, in milliseconds.
    pub actual_ms: f32,
    /// Predicted duration, in milliseconds.
    pub expected_ms: f32,
}

/// Upper bound of the number of samples kept: about five seconds of a busy runner.
const MAX_SAMPLES: usize = 40;
/// A runner counts as slow when its latest `SLOW_SAMPLES` samples together exceed `SLOW_FACTOR`;
/// then only these count. Hardware kinds differ by less than this factor, and chance alone exceeds
/// it in one of a hundred cases.
const SLOW_SAMPLES: usize = 6;
const SLOW_FACTOR: f64 = 2.5;
/// Upper bound of the factor of a single sample when the runner does not count as slow.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Number of virtual samples at the service's mean speed with which each runner starts.
const PRIOR_SAMPLES: f64 = 4.0;
/// Bounds of the slowdown factor. Faults slow runners by less than the upper bound.
const MAX_FACTOR: f64 = 10.0;
const MIN_FACTOR: f64 = 0.1;
/// Shortest predicted duration that is measured: times are reported in whole milliseconds, and a
/// node on a shared processor handles responses a little late.
const MIN_EXPECTED_MS: f64 = 5.0;
/// Longest predicted duration that is measured. A prediction of more than an hour is not plausible.
const MAX_EXPECTED_MS: f64 = 3_600_000.0;
/// Half-life of a detected slowness without new samples. Faults last for some seconds, and a runner
/// that gets no work would otherwise never be found to have recovered.
const SLOWNESS_HALF_LIFE_US: f64 = 1_000_000.0;
/// Remaining share of a slowness below which a new sample discards the earlier ones.
const MIN_SLOWNESS_SHARE: f64 = 0.25;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl RunnerSpeed {
    /// Prefill time of the runner divided by the service's mean; 1 without samples, above 1 for a
    /// slow runner.
    pub fn slowdown_factor(&self, now_us: u64) -> f64 {
        let factor = self.recent_slowdown().unwrap_or_else(|| self.mean_factor());
        if factor > 1.0 {
            1.0 + (factor - 1.0) * self.slowness_share(now_us)
        } else {
            factor
        }
    }

    /// Records a completed prefill; returns its duration, or `None` if it cannot be determined.
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

    /// Factor over all samples, each clipped, with the virtual samples included.
    fn mean_factor(&self) -> f64 {
        let clipped = self.samples.iter().map(|it| {
            let actual_ms =
                f64::from(it.actual_ms).min(f64::from(it.expected_ms) * MAX_SAMPLE_FACTOR);
            PrefillDuration { actual_ms: actual_ms as f32, ..*it }
        });
        let counted = self.samples.len() as f64;
        (factor_of(clipped) * counted + PRIOR_SAMPLES) / (counted + PRIOR_SAMPLES)
    }

    /// Factor of the latest samples if they show that the runner is slow.
    fn recent_slowdown(&self) -> Option<f64> {
        let older = self.samples.len().checked_sub(SLOW_SAMPLES)?;
        let recent = factor_of(self.samples.iter().skip(older).copied());
        (recent > SLOW_FACTOR).then_some(recent)
    }

    /// Share of the detected slowness that remains at a time.
    fn slowness_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.last_sample_us) as f64;
        (-age_us / SLOWNESS_HALF_LIFE_US).exp2()
    }

    /// Time that the runner spent on a prefill, in milliseconds; `None` if queueing time cannot be
    /// separated.
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

/// Ratio of the total measured to the total predicted duration; 1 without samples.
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
