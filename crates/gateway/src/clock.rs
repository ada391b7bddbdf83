//! The only clock by which a node measures elapsed time.
//!
//! The standard library's monotonic clock stops while a machine is suspended: afterwards a lease
//! would seem to hold, a replica to be fresh and a key to be valid for as long as the machine was
//! suspended. This clock includes that time (`CLOCK_BOOTTIME`). Timers still use the monotonic
//! clock, so a timer that expires during a suspension fires late; what is done then is decided by
//! this clock.

use nix::time::{clock_gettime, ClockId};
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Total of the suspensions simulated by tests, in microseconds.
static SIMULATED_SUSPENSION_US: AtomicU64 = AtomicU64::new(0);

/// A point in time that includes suspensions of the machine. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    since_boot: Duration,
}

impl Instant {
    /// The current time.
    ///
    /// # Panics
    ///
    /// Panics if the system does not have `CLOCK_BOOTTIME`. Linux has had it since 2.6.39, and
    /// falling back to another clock would make time jump.
    #[allow(clippy::expect_used)]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
        let since_boot = Duration::from(time);
        let simulated = Duration::from_micros(SIMULATED_SUSPENSION_US.load(Ordering::Relaxed));
        Self { since_boot: since_boot + simulated }
    }

    /// Time since this instant.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_add(duration) }
    }
}

/// For tests: makes the whole process behave as if its machine had just been suspended for
/// `duration`.
#[doc(hidden)]
pub fn simulate_suspension(duration: Duration) {
    let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_US.fetch_add(microseconds, Ordering::Relaxed);
}
