//! Failure detection from heartbeats: a fixed timeout, and the accrual detector of Dobre,
//! Pop, Costan, Andreica and Cristea ("Robust Failure Detection Architecture for Large Scale
//! Distributed Systems"). Both answer the same question, so that one trace can be put to both.
//!
//! The accrual detector predicts the next arrival by an exponential moving average of the
//! gaps, and its suspicion level is `max(0, log10(now - predicted + 1))`, in units of the
//! mean gap, so that the level does not depend on the heartbeat period. The paper's gossiped
//! minimum is applied by [`crate::members`], which knows the other nodes.

use crate::time::{micros, Timestamp};
use std::time::Duration;

/// Which detector, with its settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DetectorConfig {
    /// Suspect after this long without a heartbeat.
    FixedTimeout {
        /// The timeout.
        timeout: Duration,
    },
    /// Suspect above a suspicion level.
    Accrual {
        /// The level, as a base-ten logarithm of mean gaps past the prediction plus one.
        threshold: f64,
        /// Weight of the newest gap in the moving average, in (0, 1].
        smoothing: f64,
    },
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self::FixedTimeout { timeout: Duration::from_millis(2_000) }
    }
}

/// Watches one node.
#[derive(Clone, Debug)]
pub struct Detector {
    config: DetectorConfig,
    last: Timestamp,
    mean_gap_us: f64,
}

impl Detector {
    /// A detector that heard of its node at `now` and expects a heartbeat each `period`.
    pub fn new(config: DetectorConfig, now: Timestamp, period: Duration) -> Self {
        Self { config, last: now, mean_gap_us: micros(period) as f64 }
    }

    /// A heartbeat has arrived.
    pub fn heartbeat(&mut self, now: Timestamp) {
        let gap_us = micros(now.since(self.last)) as f64;
        if let DetectorConfig::Accrual { smoothing, .. } = self.config {
            self.mean_gap_us = smoothing * gap_us + (1.0 - smoothing) * self.mean_gap_us;
        }
        self.last = now;
    }

    /// When the last heartbeat arrived.
    pub fn last_heard(&self) -> Timestamp {
        self.last
    }

    /// Whether the node is suspected.
    pub fn suspects(&self, now: Timestamp) -> bool {
        match self.config {
            DetectorConfig::FixedTimeout { timeout } => now.since(self.last) >= timeout,
            DetectorConfig::Accrual { threshold, .. } => self.level(now) >= threshold,
        }
    }

    /// The suspicion level of the accrual detector.
    pub fn level(&self, now: Timestamp) -> f64 {
        let elapsed_us = micros(now.since(self.last)) as f64;
        let mean_gap_us = self.mean_gap_us.max(1.0);
        let late_gaps = (elapsed_us - mean_gap_us) / mean_gap_us;
        (late_gaps.max(0.0) + 1.0).log10()
    }
}
