//! What a runner takes from all nodes together, by its own word, and what nodes say to each other about it.
//!
//! A node believes the limit that an answer names from the moment at which its head has come. From then on it
//! asks the keeper of the runner's limit before each request that it sends there ([`crate::limit_keeper`]).

use crate::ids::RunnerId;
use crate::runner_notice::{RequestRate, RunnerNotice};
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};

/// What has become known of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The runner names this limit, and named none or another one before.
    Set(RequestRate),
    /// It names none any more.
    Lifted,
}

/// What one life of a runner takes from all nodes together, as far as this node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLimit {
    /// `None`: as much as comes.
    rate: Option<RequestRate>,
    /// When the answer came that says so, at this node or another one, microseconds.
    reported_at_us: u64,
    /// No request may be sent before, as the keeper had none left; microseconds.
    throttled_until_us: u64,
}

impl ReportedLimit {
    /// The head of an answer has come, to a request that was sent at `sent_at_us`.
    ///
    /// Answers pass each other on different connections. One to a request from before the last word may have been
    /// given before that word, so it can lower a limit, but not raise or end it.
    pub fn on_response_head(
        &mut self,
        notice: RunnerNotice,
        sent_at_us: u64,
        now_us: u64,
    ) -> Option<LimitChange> {
        let is_later = self.rate.is_none() || sent_at_us > self.reported_at_us;
        match (notice.limit, self.rate) {
            // What is no rate says neither that there is a limit nor that there is none.
            (None, _) if notice.malformed => None,
            (None, Some(_)) if is_later => self.set(None, now_us),
            (None, _) => None,
            (Some(reported), _) if is_later => self.set(Some(reported), now_us),
            (Some(reported), current) => {
                self.set(current.map(|current| current.min(reported)), now_us)
            }
        }
    }

    /// Another node has heard a word of the runner. The later one holds.
    pub fn on_message(&mut self, message: &LimitMessage, now_us: u64) -> Option<LimitChange> {
        let reported_at_us = now_us.saturating_sub(message.age_us);
        if reported_at_us <= self.reported_at_us {
            return None;
        }
        self.set(message.rate, reported_at_us)
    }

    fn set(&mut self, rate: Option<RequestRate>, reported_at_us: u64) -> Option<LimitChange> {
        let before = std::mem::replace(&mut self.rate, rate);
        self.reported_at_us = reported_at_us;
        if before == rate {
            return None;
        }
        Some(rate.map_or(LimitChange::Lifted, LimitChange::Set))
    }

    /// The keeper has none left before so long, microseconds.
    pub fn on_refused(&mut self, wait_us: u64, now_us: u64) {
        self.throttled_until_us = now_us.saturating_add(wait_us);
    }

    /// Until when no request may be sent, microseconds; `None`: one may be asked for.
    pub fn throttled_until_us(&self, now_us: u64) -> Option<u64> {
        (self.rate.is_some() && now_us < self.throttled_until_us).then_some(self.throttled_until_us)
    }

    /// What the runner has said, as it is told to other nodes.
    pub fn message(&self, runner: &RunnerId, now_us: u64) -> LimitMessage {
        let age_us = now_us.saturating_sub(self.reported_at_us);
        LimitMessage { runner: runner.clone(), rate: self.rate, age_us }
    }

    /// The limit; `None`: it names none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }
}

/// A runner has said what it takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The life of the runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// What it takes from all nodes together; `None`: it has ceased to name a limit.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RequestRate>,
    /// Time since the answer came that says so, microseconds.
    #[serde(rename = "a", default)]
    pub age_us: u64,
}

/// A node asks whether it may send one request to a runner that names a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Identifies the question at the asking node.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// What the runner has said to the asking node.
    #[serde(rename = "w")]
    pub message: LimitMessage,
}

/// What the keeper of a limit decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitVerdict {
    /// The request may be sent, within [`crate::limit_keeper::GRANT_LIFE_US`] of the question.
    #[serde(rename = "g")]
    Granted,
    /// There is none left.
    #[serde(rename = "r")]
    Refused {
        /// Microseconds until one may be asked for again.
        #[serde(rename = "w")]
        wait_us: u64,
    },
    /// The runner has said to another node, later, that it takes as much as comes.
    #[serde(rename = "l")]
    Lifted {
        /// Microseconds since then.
        #[serde(rename = "a")]
        age_us: u64,
    },
    /// The node is no keeper of this limit.
    #[serde(rename = "n")]
    NotKeeper,
}

/// A keeper's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReply {
    /// The question.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// What it decides.
    #[serde(rename = "v")]
    pub verdict: LimitVerdict,
}
