//! Rate at which prefill work is requested.

/// Time in which the weight of a request falls to 1/e, in microseconds. It covers some tens of
/// requests of a runner, and it is no longer than the time for which a pressure must last before
/// roles change.
const TIME_CONSTANT_US: f64 = 1_000_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Requested prompt tokens per second, an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PrefillDemand {
    tokens: f64,
    at_us: u64,
}

impl PrefillDemand {
    /// Adds the tokens of a requested prefill.
    pub(crate) fn add(&mut self, tokens: u64, now_us: u64) {
        self.tokens = self.remaining_tokens(now_us) + tokens as f64;
        self.at_us = now_us;
    }

    /// Requested tokens per second at a time.
    pub(crate) fn tokens_per_s(&self, now_us: u64) -> f64 {
        self.remaining_tokens(now_us) * MICROS_PER_SECOND / TIME_CONSTANT_US
    }

    fn remaining_tokens(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.tokens * (-age_us / TIME_CONSTANT_US).exp()
    }
}
