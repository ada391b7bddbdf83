//! Time inside the state machines.

use std::ops::Add;
use std::time::Duration;

/// Microseconds on the monotonic clock of one process. Timestamps of different processes
/// cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// A timestamp from milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000)
    }

    /// The time since an earlier instant; zero if that instant is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant this long before; the clock's start if there was none.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

/// A duration as microseconds, saturating.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
