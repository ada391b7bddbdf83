//! When a runner of the soak names how many requests a second it takes from all nodes together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// A limit that a runner may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportedLimit {
    /// As the runner writes it, requests a second.
    pub(crate) text: &'static str,
    /// Thousandths of a request a second.
    pub(crate) milli_requests_per_s: u64,
}

const LIMITS: [ReportedLimit; 4] = [
    ReportedLimit { text: "0", milli_requests_per_s: 0 },
    ReportedLimit { text: "0.5", milli_requests_per_s: 500 },
    ReportedLimit { text: "2.1", milli_requests_per_s: 2_100 },
    ReportedLimit { text: "8", milli_requests_per_s: 8_000 },
];
/// A limit is named, or not, for so long; longer than a contact time and a window.
const PHASE_LENGTH: Duration = Duration::from_secs(9);
const LIMIT_PROBABILITY: f64 = 0.6;

/// What one runner names, by the time since it started.
pub(crate) struct LimitPhases {
    seed: u64,
    started: Instant,
}

impl LimitPhases {
    /// A runner that starts now.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, started: Instant::now() }
    }

    /// What it names now.
    pub(crate) fn current(&self) -> Option<ReportedLimit> {
        let phase = self.started.elapsed().as_secs() / PHASE_LENGTH.as_secs();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(phase));
        let index = rng.random_range(0..LIMITS.len());
        rng.random_bool(LIMIT_PROBABILITY).then_some(LIMITS[index])
    }
}
