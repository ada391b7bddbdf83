//! Times of events that nodes report to each other by their age.
//!
//! A node's clock begins at the start of its process. What another node reports may be older than
//! that, so the time of a reported event may be negative. Cutting it to 0 would make the event as
//! young as the process.

/// Time of a reported event on this process's clock, in microseconds. It is negative if the event
/// was before the start of the process. The default is earlier than any event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportTime(i64);

impl Default for ReportTime {
    fn default() -> Self {
        Self(i64::MIN)
    }
}

impl ReportTime {
    /// The time of an event that this node observes at `now_us`.
    pub(crate) fn at(now_us: u64) -> Self {
        Self(i64::try_from(now_us).unwrap_or(i64::MAX))
    }

    /// The time of an event that another node reports at `now_us` to be `age_us` microseconds old.
    pub(crate) fn before(now_us: u64, age_us: u64) -> Self {
        Self(Self::at(now_us).0.saturating_sub_unsigned(age_us))
    }

    /// Time since the event, in microseconds; 0 if it is later than `now_us`.
    pub(crate) fn age_us(self, now_us: u64) -> u64 {
        Self::at(now_us).since_us(self)
    }

    /// Time from an earlier event to this one, in microseconds; 0 if that one is not earlier.
    pub(crate) fn since_us(self, earlier: Self) -> u64 {
        u64::try_from(self.0.saturating_sub(earlier.0)).unwrap_or_default()
    }
}
