//! How fast prompts are read, as measured.
//!
//! Reading takes a fixed time and a time for each token. Both are found by a least-squares line
//! through the readings that met no queue, the older ones fading; a reading that was faster
//! than the line says met none either, whatever was believed. Until there are such readings
//! the line is a guess that a few of them outweigh.

use crate::runner::Runner;
use crate::runner_speed::{PrefillDuration, PrefillTiming};

/// A reading that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSample {
    /// Tokens that the runner did not hold.
    pub tokens: u64,
    /// From the sending of the request to the end of the answer, milliseconds.
    pub elapsed_ms: f64,
    /// Whether the runner was believed to have nothing else to read when it was sent.
    pub was_unqueued: bool,
}

/// Measured pace of prefill of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    samples: LineFit,
    mean_tokens: f64,
    /// Time that readings took the runners, and what it would have been by the line: more or
    /// fewer tokens are read than a node believes.
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

    /// A runner has read a prompt.
    pub fn on_prefilled(&mut self, sample: PrefillSample) {
        let tokens = sample.tokens as f64;
        self.mean_tokens += Self::MEAN_TOKENS_WEIGHT * (tokens - self.mean_tokens);
        let is_faster = sample.elapsed_ms < self.fixed_ms() + self.prefill_ms(tokens);
        if sample.elapsed_ms > 0.0 && (sample.was_unqueued || is_faster) {
            self.samples.decay();
            self.samples.add(tokens, sample.elapsed_ms, 1.0);
        }
    }

    /// Time that a runner spends on so many tokens, milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.samples.slope().max(Self::MIN_MS_PER_TOKEN)
    }

    /// Time that one runner spends on so many tokens, milliseconds.
    pub fn prefill_ms_at(&self, runner: &Runner, tokens: f64, now_us: u64) -> f64 {
        self.prefill_ms(tokens) * runner.slowdown_factor(now_us)
    }

    /// A reading against what it takes at this pace; for `hears_of_all` see [`PrefillTiming`].
    pub fn timing_of(&self, sample: &PrefillSample, observes_all_prefills: bool) -> PrefillTiming {
        PrefillTiming {
            expected_ms: self.prefill_ms(sample.tokens as f64) * self.duration_ratio(),
            fixed_ms: self.fixed_ms(),
            elapsed_ms: sample.elapsed_ms,
            was_unqueued: sample.was_unqueued,
            observes_all_prefills,
        }
    }

    /// A runner has spent some time on a reading that was compared before.
    pub fn on_prefill_timed(&mut self, duration: PrefillDuration) {
        let expected_ms = f64::from(duration.expected_ms) / self.duration_ratio();
        self.actual_ms = self.actual_ms * LineFit::DECAY + f64::from(duration.actual_ms);
        self.expected_ms = self.expected_ms * LineFit::DECAY + expected_ms;
    }

    /// Time that readings take the runners, as a share of what it would be by the line.
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

    /// Time that each reading takes besides, milliseconds: the way there and back, and what the
    /// runner does once for each request.
    pub fn fixed_ms(&self) -> f64 {
        self.samples.intercept().max(0.0)
    }

    /// Time until a runner has read what waits there, milliseconds.
    pub fn backlog_ms(&self, runner: &Runner, now_us: u64) -> f64 {
        let reported = runner.peer_prefill_tokens(now_us) as f64;
        let estimated = runner.peer_requests(now_us) * self.mean_tokens;
        let others = if reported > 0.0 { reported } else { estimated };
        self.prefill_ms_at(runner, runner.prefill_tokens as f64 + others, now_us)
    }
}

/// A line fitted to points whose weight fades.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    /// Share of its weight that a point keeps when another comes.
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

    /// Rise of the line; where all points lie close together, that from the origin.
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
