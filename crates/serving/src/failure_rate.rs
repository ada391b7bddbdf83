//! Rate of a runner's own failures among its recent responses.

/// Weight of the newest response in the moving average.
const NEWEST_RESPONSE_WEIGHT: f64 = 0.15;
/// Time in which the rate decays by half, in microseconds.
const FAILURE_HALF_LIFE_US: f64 = 4_000_000.0;

/// Moving average of failures that also decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    rate: f64,
    updated_at_us: u64,
}

impl FailureRate {
    /// Failure rate at a time, 0 to 1.
    pub fn at(self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_at_us) as f64;
        self.rate * 0.5_f64.powf(age_us / FAILURE_HALF_LIFE_US)
    }

    /// Records a response; `failed` is set if it was a failure of the runner's own.
    pub fn on_response(&mut self, failed: bool, now_us: u64) {
        let newest = if failed { 1.0 } else { 0.0 };
        let before = self.at(now_us);
        self.rate = before + NEWEST_RESPONSE_WEIGHT * (newest - before);
        self.updated_at_us = now_us;
    }
}
