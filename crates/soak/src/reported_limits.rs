//! The limits that a runner reports over time: how many requests per second it accepts from all
//! nodes together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// A limit that a runner may report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportedLimit {
    /// The value in the runner's response header, requests per second.
    pub(crate) text: &'static str,
    /// The same value in thousandths of a request per second.
    pub(crate) milli_requests_per_s: u64,
}

const LIMITS: [ReportedLimit; 4] = [
    ReportedLimit { text: "0", milli_requests_per_s: 0 },
    ReportedLimit { text: "0.5", milli_requests_per_s: 500 },
    ReportedLimit { text: "2.1", milli_requests_per_s: 2_100 },
    ReportedLimit { text: "8", milli_requests_per_s: 8_000 },
];
/// Time for which a runner keeps reporting one limit, or none. It exceeds the sum of the contact
/// bound and the window of the check, so that each phase can be checked.
const PHASE_LENGTH: Duration = Duration::from_secs(9);
const LIMIT_PROBABILITY: f64 = 0.6;

/// The limit that one runner reports, determined by the seed and the time since its start.
pub(crate) struct LimitPhases {
    seed: u64,
    started: Instant,
}

impl LimitPhases {
    /// Phases of a runner that starts now.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, started: Instant::now() }
    }

    /// The limit in the current phase; `None` if the runner reports none.
    pub(crate) fn current(&self) -> Option<ReportedLimit> {
        let phase = self.started.elapsed().as_secs() / PHASE_LENGTH.as_secs();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(phase));
        let index = rng.random_range(0..LIMITS.len());
        rng.random_bool(LIMIT_PROBABILITY).then_some(LIMITS[index])
    }
}
