//! Notices that runners give about themselves in response headers, and the availability that a node
//! derives from them.
//!
//! Two sources announce that a runner leaves: its registry entry, which may be late by as long as
//! the store is unavailable, and its responses, which arrive at once. Either one is enough, and
//! within an incarnation neither overrides the other. A rest is requested from one node and ends
//! only when its time is over.

use crate::ids::RunnerId;
use crate::runner_limit::ReportedLimit;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Upper bound of a requested rest, in microseconds. It bounds the cost of one wrong notice: when
/// the rest ends, one request tries the runner.
pub const MAX_REST_US: u64 = 600_000_000;

/// A rate of requests, in millionths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Converts a rate in requests per second; a rate that is too large saturates. `None` if the
    /// number is negative or not finite.
    pub fn from_requests_per_s(requests: f64) -> Option<Self> {
        const MICRO: f64 = 1_000_000.0;
        let is_rate = requests.is_finite() && requests >= 0.0;
        is_rate.then_some(Self((requests * MICRO) as u64))
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        const MICRO: f64 = 1_000_000.0;
        write!(formatter, "{:.3}/s", self.0 as f64 / MICRO)
    }
}

/// What the head of one response states about the runner that sent it, whatever the outcome of the
/// request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// Whether the runner is about to leave.
    pub is_leaving: bool,
    /// Time for which the runner requests that this node send it nothing, in microseconds; 0 if it
    /// requests no rest.
    pub rest_us: u64,
    /// Rate of requests that the runner accepts from all nodes together; `None` if it names no
    /// limit.
    pub limit: Option<RequestRate>,
    /// Whether one of these headers had an unknown form. Such a header is ignored.
    pub is_malformed: bool,
}

impl RunnerNotice {
    /// Whether the notice carries no information.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What changed in a runner's availability by a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AvailabilityChange {
    /// Whether the runner announced for the first time that it leaves.
    pub starts_leaving: bool,
    /// Length of the rest that begins with the notice, in microseconds; `None` if none was
    /// requested or the runner was already resting.
    pub rest_us: Option<u64>,
}

/// Whether one incarnation of a runner accepts requests from this node, as reported by the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    is_leaving: bool,
    rest_until_us: u64,
    /// The runner has requested a rest and has not accepted a request of this node since.
    awaits_trial: bool,
    /// A request that was sent to the runner since the rest was requested has not ended yet.
    /// Requests that it had accepted before do not count: a stream may go on for many seconds.
    is_trial_in_flight: bool,
    /// Rate of requests that the runner accepts from all nodes together.
    pub(crate) limit: ReportedLimit,
}

impl Availability {
    /// Applies the notice of a response and returns what it changed.
    pub fn on_notice(&mut self, notice: RunnerNotice, now_us: u64) -> AvailabilityChange {
        let starts_leaving = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let was_resting = self.is_resting(now_us);
        let rest_us = notice.rest_us.min(MAX_REST_US);
        if rest_us > 0 {
            self.rest_until_us = self.rest_until_us.max(now_us.saturating_add(rest_us));
            self.awaits_trial = true;
            self.is_trial_in_flight = false;
        }
        let starts_resting = rest_us > 0 && !was_resting;
        AvailabilityChange { starts_leaving, rest_us: starts_resting.then_some(rest_us) }
    }

    /// Records that a request was sent to the runner.
    pub fn on_sent(&mut self) {
        self.is_trial_in_flight = self.awaits_trial;
    }

    /// Records that the runner accepted a request.
    pub fn on_accepted(&mut self) {
        self.awaits_trial = false;
    }

    /// Records that a request has ended at the runner. It may have been the trial, so another
    /// request may try.
    pub fn on_ended(&mut self) {
        self.is_trial_in_flight = false;
    }

    /// Whether the runner has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether the runner has requested to get nothing from this node now.
    pub fn is_resting(&self, now_us: u64) -> bool {
        now_us < self.rest_until_us
    }

    /// End of the rest, in microseconds; `None` if the runner does not rest.
    pub fn rests_until_us(&self, now_us: u64) -> Option<u64> {
        self.is_resting(now_us).then_some(self.rest_until_us)
    }

    /// Whether requests should prefer other runners: during a rest, and after it while a single
    /// request tries the runner, so that the end of the rest does not release all held-back
    /// requests at once.
    pub fn is_avoided(&self, now_us: u64) -> bool {
        self.is_resting(now_us) || (self.awaits_trial && self.is_trial_in_flight)
    }
}

/// Number of incarnations without an entry whose availability is kept. An entry that lapses while
/// the store is unavailable comes back, and all 1,300 runners of the design target may lapse at
/// once.
const MAX_REMEMBERED_INCARNATIONS: usize = 2_048;

/// Availability of incarnations whose registry entries are gone, the most recent last.
#[derive(Clone, Debug, Default)]
pub struct DepartedAvailability {
    incarnations: VecDeque<(RunnerId, Availability)>,
}

impl DepartedAvailability {
    /// Stores the availability of an incarnation whose entry is gone.
    pub fn remember(&mut self, runner: &RunnerId, availability: Availability) {
        self.take(runner);
        if availability == Availability::default() {
            return;
        }
        if self.incarnations.len() >= MAX_REMEMBERED_INCARNATIONS {
            self.incarnations.pop_front();
        }
        self.incarnations.push_back((runner.clone(), availability));
    }

    /// Removes and returns the availability of an incarnation whose entry has appeared, perhaps
    /// again.
    pub fn take(&mut self, runner: &RunnerId) -> Availability {
        let index = self.incarnations.iter().position(|(known, _)| known == runner);
        let known = index.and_then(|index| self.incarnations.remove(index));
        known.map_or_else(Availability::default, |(_, availability)| availability)
    }
}
