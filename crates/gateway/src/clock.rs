//! The only clock by which the node judges how long ago something was.
//!
//! The steady clock of the standard library stands still while a machine is suspended: after it, a
//! lease would seem to hold, a copy to be fresh and a key to be good for as long as the machine slept.
//! This one counts that time (`CLOCK_BOOTTIME`). Timers go by the steady clock all the same, so one that
//! slept through its end fires late; what is done then is judged by this clock.

use nix::time::{clock_gettime, ClockId};
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Suspensions that tests have made up, microseconds.
static SIMULATED_SUSPENSION_US: AtomicU64 = AtomicU64::new(0);

/// A point in time that suspensions do not stretch. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    since_boot: Duration,
}

impl Instant {
    /// Now.
    ///
    /// # Panics
    ///
    /// If the system has no such clock. Linux has had it since 2.6.39, and a reading of another clock
    /// in its place would let time jump.
    #[allow(clippy::expect_used)]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
        let since_boot = Duration::from(time);
        let simulated = Duration::from_micros(SIMULATED_SUSPENSION_US.load(Ordering::Relaxed));
        Self { since_boot: since_boot + simulated }
    }

    /// Time since then.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from `earlier` to this one; zero if that is not earlier.
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

/// For tests: makes the whole process believe that its machine was suspended for so long just now.
#[doc(hidden)]
pub fn simulate_suspension(duration: Duration) {
    let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_US.fetch_add(microseconds, Ordering::Relaxed);
}
