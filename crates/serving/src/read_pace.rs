//! How fast prompts are read, as measured.

use crate::fleet::Runner;

/// Measured pace of prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    tokens_per_ms: f64,
    mean_tokens: f64,
}

impl Default for ReadPace {
    fn default() -> Self {
        Self { tokens_per_ms: 30.0, mean_tokens: 3_000.0 }
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
