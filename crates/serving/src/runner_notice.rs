//! What runners say of themselves in the heads of answers, and what a node believes because of it.
//!
//! Two sources tell that a runner leaves: its entry in the store, which may be late by as long as the store
//! is away, and its answers, which are there at once. Either is enough, and within a life neither
//! takes back what the other has said. A rest is asked of one node, and ends by its time alone.

use crate::ids::RunnerId;
use crate::runner_limit::ReportedLimit;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Longest rest that is believed, microseconds. It bounds what one wrong word costs: after it one request
/// tries the runner.
pub const LONGEST_REST_US: u64 = 600_000_000;

/// A rate of requests, millionths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// A rate in requests a second; one too large to count is the largest. `None`: it is no rate.
    pub fn from_requests_a_second(requests: f64) -> Option<Self> {
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

/// What the head of one answer says of the runner that gave it, whatever becomes of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// It is about to leave.
    pub leaving: bool,
    /// It wants no request from this node for so long, microseconds; 0: it has not asked for rest.
    pub rest_us: u64,
    /// What it takes from all nodes together. `None`: it names no limit.
    pub limit: Option<RequestRate>,
    /// It said one of these in a form that is not known. Nothing is believed of that.
    pub malformed: bool,
}

impl RunnerNotice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What has become known by a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Learned {
    /// The runner leaves, which its answers had not said before.
    pub leaving: bool,
    /// The runner wants rest for so long, microseconds, though it was not known to rest.
    pub rest_us: Option<u64>,
}

/// Whether one life of a runner takes requests from this node, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    leaving: bool,
    rest_until_us: u64,
    /// It has asked for rest, and has not taken up anything of this node since.
    is_returning: bool,
    /// A request has been sent to it since the end of the rest, and has not ended. What it had taken up before is
    /// no try: a stream may go on for many seconds.
    is_tried: bool,
    /// What it takes from all nodes together.
    pub(crate) limit: ReportedLimit,
}

impl Availability {
    /// Takes in what an answer said.
    pub fn on_notice(&mut self, notice: RunnerNotice, now_us: u64) -> Learned {
        let begins_to_leave = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        let was_resting = self.is_resting(now_us);
        let rest_us = notice.rest_us.min(LONGEST_REST_US);
        if rest_us > 0 {
            self.rest_until_us = self.rest_until_us.max(now_us.saturating_add(rest_us));
            self.is_returning = true;
            self.is_tried = false;
        }
        let begins_to_rest = rest_us > 0 && !was_resting;
        Learned { leaving: begins_to_leave, rest_us: begins_to_rest.then_some(rest_us) }
    }

    /// A request is sent to the runner.
    pub fn on_sent(&mut self) {
        self.is_tried = self.is_returning;
    }

    /// The runner has taken a request up.
    pub fn on_accepted(&mut self) {
        self.is_returning = false;
    }

    /// A request has ended there, perhaps the one that tries it: another one may.
    pub fn on_ended(&mut self) {
        self.is_tried = false;
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it wants no request from this node now.
    pub fn is_resting(&self, now_us: u64) -> bool {
        now_us < self.rest_until_us
    }

    /// When its rest ends, microseconds; `None`: it does not rest.
    pub fn rests_until_us(&self, now_us: u64) -> Option<u64> {
        self.is_resting(now_us).then_some(self.rest_until_us)
    }

    /// Whether requests rather go elsewhere: while it rests, and after that while one request tries it, so that
    /// not all that would go to it arrive at once at the end of the rest.
    pub fn is_avoided(&self, now_us: u64) -> bool {
        self.is_resting(now_us) || (self.is_returning && self.is_tried)
    }
}

/// Lives whose entries are gone for which availability is remembered. An entry that lapses while the store is
/// away comes back; the aim's 1,300 runners may lapse at once.
const MOST_REMEMBERED: usize = 2_048;

/// What lives have said of themselves whose entries are gone, the latest last.
#[derive(Clone, Debug, Default)]
pub struct DepartedAvailability {
    lives: VecDeque<(RunnerId, Availability)>,
}

impl DepartedAvailability {
    /// The entry of a life is gone.
    pub fn remember(&mut self, life: &RunnerId, availability: Availability) {
        self.take(life);
        if availability == Availability::default() {
            return;
        }
        if self.lives.len() >= MOST_REMEMBERED {
            self.lives.pop_front();
        }
        self.lives.push_back((life.clone(), availability));
    }

    /// The entry of a life is there, perhaps again.
    pub fn take(&mut self, life: &RunnerId) -> Availability {
        let index = self.lives.iter().position(|(known, _)| known == life);
        let known = index.and_then(|index| self.lives.remove(index));
        known.map_or_else(Availability::default, |(_, availability)| availability)
    }
}
