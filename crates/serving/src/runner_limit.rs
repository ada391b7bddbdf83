//! The request rate limit that a runner reports for all nodes together, and the messages in which
//! nodes exchange it.
//!
//! A node applies the limit in a response as soon as the response head has arrived. From then on it
//! queries the keeper of the runner's limit before each request that it sends there
//! ([`crate::limit_keeper`]).

use crate::ids::RunnerId;
use crate::limit_keeper::MAX_WAIT_US;
use crate::report_time::ReportTime;
use crate::runner_notice::{RequestRate, RunnerNotice};
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};

/// A change of a runner's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The runner reports this limit, and reported none or a different one before.
    Set(RequestRate),
    /// The runner no longer reports a limit.
    Lifted,
}

/// The limit of one incarnation of a runner for all nodes together, as far as this node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLimit {
    /// `None` if there is no limit.
    rate: Option<RequestRate>,
    /// When the response with this limit arrived, at this node or another one.
    reported_at: ReportTime,
    /// No request may be sent before this time, since the keeper refused one; in microseconds.
    throttled_until_us: u64,
}

impl ReportedLimit {
    /// Applies the head of a response to a request sent at `sent_at_us`.
    ///
    /// Responses can overtake each other on different connections. If the request was sent before
    /// the last report was received, the runner may have sent this response before that report.
    /// Such a response can lower a limit, but not raise or lift it.
    pub fn on_response_head(
        &mut self,
        notice: RunnerNotice,
        sent_at_us: u64,
        now_us: u64,
    ) -> Option<LimitChange> {
        let is_later = self.rate.is_none() || ReportTime::at(sent_at_us) > self.reported_at;
        match (notice.limit, self.rate) {
            // A malformed rate neither sets nor lifts a limit.
            (None, _) if notice.is_malformed => None,
            (None, Some(_)) if is_later => self.set(None, ReportTime::at(now_us)),
            (None, _) => None,
            (Some(reported), _) if is_later => self.set(Some(reported), ReportTime::at(now_us)),
            (Some(reported), current) => {
                self.set(current.map(|current| current.min(reported)), ReportTime::at(now_us))
            }
        }
    }

    /// Applies a report that another node has received. The later report wins.
    pub fn on_message(&mut self, message: &LimitMessage, now_us: u64) -> Option<LimitChange> {
        let reported_at = ReportTime::before(now_us, message.age_us);
        if reported_at <= self.reported_at {
            return None;
        }
        self.set(message.rate, reported_at)
    }

    fn set(&mut self, rate: Option<RequestRate>, reported_at: ReportTime) -> Option<LimitChange> {
        let before = std::mem::replace(&mut self.rate, rate);
        self.reported_at = reported_at;
        if before == rate {
            return None;
        }
        Some(rate.map_or(LimitChange::Lifted, LimitChange::Set))
    }

    /// Records that the keeper refused a request, which may be retried after `wait_us`
    /// microseconds. A longer wait than keepers give is cut to theirs.
    pub fn on_refused(&mut self, wait_us: u64, now_us: u64) {
        self.throttled_until_us = now_us.saturating_add(wait_us.min(MAX_WAIT_US));
    }

    /// Time until which no request may be sent, in microseconds; `None` if the keeper may be
    /// queried now.
    pub fn throttled_until_us(&self, now_us: u64) -> Option<u64> {
        (self.rate.is_some() && now_us < self.throttled_until_us).then_some(self.throttled_until_us)
    }

    /// The limit as it is sent to other nodes.
    pub fn message(&self, runner: &RunnerId, now_us: u64) -> LimitMessage {
        let age_us = self.reported_at.age_us(now_us);
        LimitMessage { runner: runner.clone(), rate: self.rate, age_us }
    }

    /// The limit; `None` if the runner reports none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }
}

/// Reports the limit of a runner to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The incarnation of the runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// The limit for all nodes together; `None` if the runner no longer reports one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RequestRate>,
    /// Time since the response with this limit arrived, in microseconds.
    #[serde(rename = "a", default)]
    #[serde(deserialize_with = "crate::bounded::time_us")]
    pub age_us: u64,
}

/// Asks a keeper whether the sender may send one request to a runner with a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Identifies the query at the sender.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The limit as the sender knows it.
    #[serde(rename = "w")]
    pub message: LimitMessage,
}

/// The decision of a limit keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitVerdict {
    /// The request may be sent within [`crate::limit_keeper::GRANT_TTL_US`] of the query.
    #[serde(rename = "g")]
    Granted,
    /// The keeper's share of the limit is used up.
    #[serde(rename = "r")]
    Refused {
        /// Time until the keeper may be queried again, in microseconds.
        #[serde(rename = "w")]
        #[serde(deserialize_with = "crate::bounded::time_us")]
        wait_us: u64,
    },
    /// The runner has later reported to another node that it has no limit.
    #[serde(rename = "l")]
    Lifted {
        /// Time since that report, in microseconds.
        #[serde(rename = "a")]
        #[serde(deserialize_with = "crate::bounded::time_us")]
        age_us: u64,
    },
    /// The node is not a keeper of this limit.
    #[serde(rename = "n")]
    NotKeeper,
}

/// A keeper's reply to a [`LimitQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    /// The ticket of the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The decision of the keeper.
    #[serde(rename = "v")]
    pub verdict: LimitVerdict,
}
