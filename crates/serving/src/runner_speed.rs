//! How fast one runner is, against the mean pace of its service.
//!
//! Runners differ by kind, and a fault or a slow link makes one slower for seconds. So each runner
//! has a factor: the time that its readings took, as a share of what they would have taken at
//! the service's pace. It is the sum of the last times over the sum of the expectations, since
//! single readings are far off: several are read by turns and end together, what a runner holds
//! of a prompt is only believed, and it reads in vain what was given up.
//!
//! A wait is no slowness. A scheduler hears of every reading at its runners, so a reading that
//! met a queue began there when the one before it ended; where only some readings are heard of,
//! those count that met no queue.

use std::collections::VecDeque;

/// A reading that has ended at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerReading {
    /// Time that the tokens take the service's runners on the mean, milliseconds.
    pub expected_ms: f64,
    /// Time that each reading takes besides, on the way mostly, milliseconds.
    pub fixed_ms: f64,
    /// From the sending of the request to the end of the answer, milliseconds.
    pub elapsed_ms: f64,
    /// Whether the runner was believed to have nothing else to read when it was sent.
    pub met_no_queue: bool,
    /// Whether this node hears of all readings at the runner.
    pub hears_of_all: bool,
}

/// Measured pace of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerPace {
    /// The last readings, the oldest first.
    last: VecDeque<Spent>,
    /// When the last of them ended, microseconds.
    measured_at_us: u64,
    /// When a reading ended of which this node heard, microseconds.
    last_read_us: Option<u64>,
}

/// What a reading took, and what it would have at the service's pace, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spent {
    /// What it took.
    pub spent_ms: f32,
    /// What it takes on the mean.
    pub expected_ms: f32,
}

/// Most readings that count: some five seconds at a busy runner.
const MOST_READINGS: usize = 40;
/// Readings that together show that a runner is slow, and the factor from which on they alone
/// count: kinds differ by less, and chance makes one in a hundred so.
const TELLING_READINGS: usize = 6;
const SLOW: f64 = 2.5;
/// Most that one reading counts for otherwise, as a factor.
const MOST_OF_ONE: f64 = 3.0;
/// Readings at the service's pace that a runner is credited with.
const CREDIT: f64 = 4.0;
/// Slowest and fastest that a runner is held to be. Faults slow runners by less.
const SLOWEST: f64 = 10.0;
const FASTEST: f64 = 0.1;
/// Shortest reading that tells something: times are told in whole milliseconds, and a node whose
/// processor is shared is late by some.
const LEAST_TELLING_MS: f64 = 5.0;
/// Longest that is believed: an hour is no expectation.
const MOST_TELLING_MS: f64 = 3_600_000.0;
/// Time in which half of what shows a runner to be slow is forgotten while nothing more is heard:
/// faults last for some seconds, and one that is passed over would never be found to be over them.
const FORGOTTEN_BY_HALF_US: f64 = 1_000_000.0;
/// Share of it below which such readings are dropped when another comes.
const FORGOTTEN: f64 = 0.25;
const MICROS_PER_MILLI: f64 = 1_000.0;

impl RunnerPace {
    /// Time that a reading takes as a share of that at the service's pace; 1 until something is
    /// known, above it for a slow runner.
    pub fn factor(&self, now_us: u64) -> f64 {
        let factor = self.slow().unwrap_or_else(|| self.usual());
        if factor > 1.0 {
            1.0 + (factor - 1.0) * self.left(now_us)
        } else {
            factor
        }
    }

    /// The runner has read a prompt; returns what that took if it can be told.
    pub fn on_read(&mut self, reading: RunnerReading, now_us: u64) -> Option<Spent> {
        let spent_ms = self.spent_ms(&reading, now_us);
        self.last_read_us = Some(now_us);
        let expected_ms = reading.expected_ms;
        let is_telling = (LEAST_TELLING_MS..=MOST_TELLING_MS).contains(&expected_ms);
        let spent_ms = spent_ms.filter(|spent_ms| is_telling && !spent_ms.is_nan())?;
        let spent_ms = spent_ms.clamp(0.0, expected_ms * SLOWEST);
        let spent = Spent { spent_ms: spent_ms as f32, expected_ms: expected_ms as f32 };
        self.add(spent, now_us);
        Some(spent)
    }

    /// The factor over all readings that count.
    fn usual(&self) -> f64 {
        let clipped = self.last.iter().map(|it| {
            let spent_ms = f64::from(it.spent_ms).min(f64::from(it.expected_ms) * MOST_OF_ONE);
            Spent { spent_ms: spent_ms as f32, ..*it }
        });
        let counted = self.last.len() as f64;
        (factor_of(clipped) * counted + CREDIT) / (counted + CREDIT)
    }

    /// The factor of the last readings, if these show that the runner is slow.
    fn slow(&self) -> Option<f64> {
        let older = self.last.len().checked_sub(TELLING_READINGS)?;
        let last = factor_of(self.last.iter().skip(older).copied());
        (last > SLOW).then_some(last)
    }

    /// Share that is left of the slowness that the last readings showed.
    fn left(&self, now_us: u64) -> f64 {
        let unheard_us = now_us.saturating_sub(self.measured_at_us) as f64;
        (-unheard_us / FORGOTTEN_BY_HALF_US).exp2()
    }

    /// Time that the runner spent on a reading, milliseconds; `None` if that cannot be told.
    fn spent_ms(&self, reading: &RunnerReading, now_us: u64) -> Option<f64> {
        let alone_ms = reading.elapsed_ms - reading.fixed_ms;
        let since = |last_us: u64| now_us.saturating_sub(last_us) as f64 / MICROS_PER_MILLI;
        let since_last_ms = self.last_read_us.map_or(f64::INFINITY, since);
        if reading.hears_of_all && since_last_ms < alone_ms {
            return Some(since_last_ms);
        }
        reading.met_no_queue.then_some(alone_ms)
    }

    fn add(&mut self, spent: Spent, now_us: u64) {
        if self.slow().is_some() && self.left(now_us) < FORGOTTEN {
            self.last.clear();
        }
        if self.last.len() == MOST_READINGS {
            self.last.pop_front();
        }
        self.last.push_back(spent);
        self.measured_at_us = now_us;
    }
}

/// What readings took as a share of what they would have at the service's pace; 1 without any.
fn factor_of(readings: impl Iterator<Item = Spent>) -> f64 {
    let (spent_ms, expected_ms) = readings.fold((0.0, 0.0), |(spent_ms, expected_ms), it| {
        (spent_ms + f64::from(it.spent_ms), expected_ms + f64::from(it.expected_ms))
    });
    if expected_ms > 0.0 {
        (spent_ms / expected_ms).clamp(FASTEST, SLOWEST)
    } else {
        1.0
    }
}
