//! When a runner of the soak names how many requests a second it takes from all nodes together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// A limit that a runner may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    /// As the runner writes it, requests a second.
    pub(crate) text: &'static str,
    /// Thousandths of a request a second.
    pub(crate) thousandths: u64,
}

const LIMITS: [NamedLimit; 4] = [
    NamedLimit { text: "0", thousandths: 0 },
    NamedLimit { text: "0.5", thousandths: 500 },
    NamedLimit { text: "2.1", thousandths: 2_100 },
    NamedLimit { text: "8", thousandths: 8_000 },
];
/// A limit is named, or not, for so long; longer than a contact time and a window.
const PHASE: Duration = Duration::from_secs(9);
const LIMITED_SHARE: f64 = 0.6;

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
    pub(crate) fn now(&self) -> Option<NamedLimit> {
        let phase = self.started.elapsed().as_secs() / PHASE.as_secs();
        let mut chance = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(phase));
        let index = chance.random_range(0..LIMITS.len());
        chance.random_bool(LIMITED_SHARE).then_some(LIMITS[index])
    }
}
