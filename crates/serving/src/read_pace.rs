//! How fast prompts are read, as measured, and how wrong the expectation was.
//!
//! What a node knows of other nodes' load is late, the more so the more nodes there are. All of
//! them underestimate queues together then. So each compares the times that it expected with
//! those that it got, and adds the difference to what it expects next: when prefill is busier
//! than it looks, more prompts are read by decode runners, and the other way round.

use crate::fleet::Runner;

/// Who reads a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingPath {
    /// A prefill runner; the decode runner takes its KV cache over.
    Apart,
    /// The decode runner itself.
    Direct,
}

/// Measured pace of prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    tokens_per_ms: f64,
    mean_tokens: f64,
    apart: Surplus,
    direct: Surplus,
}

impl Default for ReadPace {
    fn default() -> Self {
        let none = Surplus::default();
        Self { tokens_per_ms: 30.0, mean_tokens: 3_000.0, apart: none, direct: none }
    }
}

impl ReadPace {
    const MIN_SAMPLE_TOKENS: u64 = 500;
    const FASTER_WEIGHT: f64 = 0.3;
    const SLOWER_WEIGHT: f64 = 0.02;
    const MEAN_WEIGHT: f64 = 0.05;

    /// A runner has read so many tokens in so many milliseconds. Time in its queue makes a
    /// sample slow, so fast samples count for more.
    pub fn on_read(&mut self, tokens: u64, elapsed_ms: f64) {
        self.mean_tokens += Self::MEAN_WEIGHT * (tokens as f64 - self.mean_tokens);
        if tokens < Self::MIN_SAMPLE_TOKENS || elapsed_ms <= 0.0 {
            return;
        }
        let sample = tokens as f64 / elapsed_ms;
        let faster = sample > self.tokens_per_ms;
        let weight = if faster { Self::FASTER_WEIGHT } else { Self::SLOWER_WEIGHT };
        self.tokens_per_ms += weight * (sample - self.tokens_per_ms);
    }

    /// A prompt was read in another time than expected, milliseconds.
    pub fn on_surprise(&mut self, path: ReadingPath, expected_ms: f64, got_ms: f64, now_us: u64) {
        let surplus = match path {
            ReadingPath::Apart => &mut self.apart,
            ReadingPath::Direct => &mut self.direct,
        };
        surplus.on_sample(got_ms - expected_ms, now_us);
    }

    /// Time that is to be added to what is expected of a path, milliseconds.
    pub fn surplus_ms(&self, path: ReadingPath, now_us: u64) -> f64 {
        match path {
            ReadingPath::Apart => self.apart.at(now_us),
            ReadingPath::Direct => self.direct.at(now_us),
        }
    }

    /// Time to read so many tokens, milliseconds.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms.max(0.001)
    }

    /// Time until a runner has read what waits there, milliseconds.
    pub fn backlog_ms(&self, runner: &Runner, now_us: u64) -> f64 {
        let told = runner.unread_for_peers(now_us) as f64;
        let guessed = runner.others(now_us) * self.mean_tokens;
        let others = if told > 0.0 { told } else { guessed };
        self.read_ms(runner.unread_tokens as f64 + others)
    }
}

/// A mean of late samples that fades without new ones, so that a path that is left because of
/// it is tried again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Surplus {
    mean_ms: f64,
    sampled_at_us: u64,
}

impl Surplus {
    const WEIGHT: f64 = 0.15;
    const HALF_LIFE_US: f64 = 1_500_000.0;
    const MOST_MS: f64 = 2_000.0;

    fn on_sample(&mut self, sample_ms: f64, now_us: u64) {
        let mean_ms = self.at(now_us);
        let sample_ms = sample_ms.clamp(-Self::MOST_MS, Self::MOST_MS);
        self.mean_ms = mean_ms + Self::WEIGHT * (sample_ms - mean_ms);
        self.sampled_at_us = now_us;
    }

    fn at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.sampled_at_us) as f64;
        (self.mean_ms * 0.5_f64.powf(age_us / Self::HALF_LIFE_US)).max(0.0)
    }
}
