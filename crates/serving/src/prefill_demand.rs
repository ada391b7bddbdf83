//! How many prompt tokens are asked for a second.

/// Time in which what was asked for counts to a third less, microseconds: some tens of requests
/// of a runner, and no longer than a pressure has to last.
const TIME_CONSTANT_US: f64 = 1_000_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Tokens asked for a second; older ones fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PrefillDemand {
    tokens: f64,
    at_us: u64,
}

impl PrefillDemand {
    /// So many tokens are to be read.
    pub(crate) fn add(&mut self, tokens: u64, now_us: u64) {
        self.tokens = self.remaining_tokens(now_us) + tokens as f64;
        self.at_us = now_us;
    }

    /// Tokens a second.
    pub(crate) fn tokens_per_second(&self, now_us: u64) -> f64 {
        self.remaining_tokens(now_us) * MICROS_PER_SECOND / TIME_CONSTANT_US
    }

    fn remaining_tokens(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.tokens * (-age_us / TIME_CONSTANT_US).exp()
    }
}
