//! Measured prefill speed of a service.
//!
//! A prefill takes a fixed time and a time for each token. Both come from a least-squares line
//! through the prefills that met no queue, with exponentially decaying weights. A prefill that was
//! faster than the line predicts met no queue either, even if the runner was estimated to be busy.
//! Until there are such samples, the line is a prior that a few samples outweigh.

use crate::runner::Runner;
use crate::runner_speed::{PrefillDuration, PrefillTiming};

/// A measurement of a completed prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSample {
    /// Number of prompt tokens that were not in the runner's cache.
    pub tokens: u64,
    /// Time from sending the request to the end of the response, in milliseconds.
    pub elapsed_ms: f64,
    /// Whether the runner was estimated to have no other prefill when the request was sent.
    pub was_unqueued: bool,
}

/// Measured prefill speed of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    samples: LineFit,
    mean_tokens: f64,
    /// Decaying sums of measured and of predicted prefill times, in milliseconds. They differ
    /// because the runners prefill more or fewer tokens than a node estimates.
    actual_ms: f64,
    expected_ms: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        const PRIOR_WEIGHT: f64 = 0.5;
        const PRIOR_MS_PER_TOKEN: f64 = 1.0 / 30.0;
        const PRIOR_FIXED_MS: f64 = 5.0;
        let mut samples = LineFit::default();
        for tokens in [0.0, 3_000.0, 12_000.0] {
            let elapsed_ms = PRIOR_FIXED_MS + tokens * PRIOR_MS_PER_TOKEN;
            samples.add(tokens, elapsed_ms, PRIOR_WEIGHT);
        }
        Self { samples, mean_tokens: 3_000.0, actual_ms: 0.0, expected_ms: 0.0 }
    }
}

impl PrefillSpeed {
    const MEAN_TOKENS_WEIGHT: f64 = 0.05;
    const MIN_MS_PER_TOKEN: f64 = 1e-6;

    /// Records a completed prefill. Only a prefill that met no queue becomes a point of the line.
    pub fn on_prefilled(&mut self, sample: PrefillSample) {
        let tokens = sample.tokens as f64;
        self.mean_tokens += Self::MEAN_TOKENS_WEIGHT * (tokens - self.mean_tokens);
        let is_faster = sample.elapsed_ms < self.fixed_ms() + self.prefill_ms(tokens);
        if sample.elapsed_ms > 0.0 && (sample.was_unqueued || is_faster) {
            self.samples.decay();
            self.samples.add(tokens, sample.elapsed_ms, 1.0);
        }
    }

    /// Mean prefill time of the service's runners for a number of tokens, without the fixed time,
    /// in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.samples.slope().max(Self::MIN_MS_PER_TOKEN)
    }

    /// Prefill time of one runner for a number of tokens, without the fixed time, in milliseconds.
    pub fn prefill_ms_at(&self, runner: &Runner, tokens: f64, now_us: u64) -> f64 {
        self.prefill_ms(tokens) * runner.slowdown_factor(now_us)
    }

    /// Compares a sample with the prediction of this speed; for `observes_all_prefills` see
    /// [`PrefillTiming`].
    pub fn timing_of(&self, sample: &PrefillSample, observes_all_prefills: bool) -> PrefillTiming {
        PrefillTiming {
            expected_ms: self.prefill_ms(sample.tokens as f64) * self.duration_ratio(),
            fixed_ms: self.fixed_ms(),
            elapsed_ms: sample.elapsed_ms,
            was_unqueued: sample.was_unqueued,
            observes_all_prefills,
        }
    }

    /// Records the duration of a prefill that [`Self::timing_of`] compared before.
    pub fn on_prefill_timed(&mut self, duration: PrefillDuration) {
        let expected_ms = f64::from(duration.expected_ms) / self.duration_ratio();
        self.actual_ms = self.actual_ms * LineFit::DECAY + f64::from(duration.actual_ms);
        self.expected_ms = self.expected_ms * LineFit::DECAY + expected_ms;
    }

    /// Ratio of measured to predicted prefill time; 1 without samples.
    fn duration_ratio(&self) -> f64 {
        const MIN_RATIO: f64 = 0.1;
        const MAX_RATIO: f64 = 10.0;
        let share = self.actual_ms / self.expected_ms;
        if share.is_finite() {
            share.clamp(MIN_RATIO, MAX_RATIO)
        } else {
            1.0
        }
    }

    /// Fixed time of each prefill, in milliseconds: the network round trip, and what the runner
    /// does once per request.
    pub fn fixed_ms(&self) -> f64 {
        self.samples.intercept().max(0.0)
    }

    /// Estimated time until a runner has prefilled all queued prompts, in milliseconds.
    pub fn backlog_ms(&self, runner: &Runner, now_us: u64) -> f64 {
        let reported = runner.peer_prefill_tokens(now_us) as f64;
        let estimated = runner.peer_requests(now_us) * self.mean_tokens;
        let others = if reported > 0.0 { reported } else { estimated };
        self.prefill_ms_at(runner, runner.prefill_tokens as f64 + others, now_us)
    }
}

/// A least-squares line through points with decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    /// Factor by which the weight of a point shrinks with each new point.
    const DECAY: f64 = 0.98;

    fn decay(&mut self) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= Self::DECAY;
        }
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Slope of the line; if all points lie close together, slope of the line through the origin.
    fn slope(&self) -> f64 {
        const MIN_SPREAD: f64 = 0.01;
        let spread = self.xx * self.weight - self.x * self.x;
        if spread <= MIN_SPREAD * self.xx * self.weight {
            return self.y / self.x.max(1.0);
        }
        (self.xy * self.weight - self.x * self.y) / spread
    }

    fn intercept(&self) -> f64 {
        (self.y - self.slope() * self.x) / self.weight.max(f64::MIN_POSITIVE)
    }
}
