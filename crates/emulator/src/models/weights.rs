//! A stand-in for the weight store: one rate, shared by all that load at the same time in
//! the order in which they came.

use pitchstall_coordination::Timestamp;
use std::time::Duration;

/// The weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreModel {
    bytes_per_second: u64,
    busy_until: Timestamp,
}

impl WeightStoreModel {
    /// A store that hands out so many bytes a second.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second.max(1), busy_until: Timestamp(0) }
    }

    /// Takes a load of so many bytes; returns when it is done.
    pub fn load(&mut self, now: Timestamp, bytes: u64) -> Timestamp {
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.bytes_per_second);
        let time = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.busy_until = self.busy_until.max(now) + time;
        self.busy_until
    }
}
