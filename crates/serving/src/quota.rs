//! Limits on what a tenant may have run, and what nodes say to each other to keep them.
//!
//! The limit of a tenant is split among a few keepers, one node each. A node that has taken a
//! request asks a keeper for what the request costs before it is sent to a runner.

use crate::ids::TenantName;
use crate::prefix::Prompt;
use crate::quota_slots::KeeperId;
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request is one.
    #[serde(rename = "r")]
    Requests,
    /// Each request is its prompt's tokens and the most that it may write.
    #[serde(rename = "t")]
    Tokens,
}

/// What a tenant may have run, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// Units a second, more than 0.
    #[serde(rename = "r")]
    pub rate_per_s: u64,
    /// Units above that which may come at once.
    #[serde(rename = "b")]
    pub burst: u64,
    /// What is counted.
    #[serde(rename = "u")]
    pub unit: QuotaUnit,
    /// Units of a request that tells no tokens, if tokens are counted.
    #[serde(rename = "p")]
    pub plain_tokens: u64,
}

impl TenantLimit {
    /// Units that one run of a request costs; `None` as prompt: it tells no tokens.
    pub fn cost(&self, prompt: Option<&Prompt>) -> u64 {
        match (self.unit, prompt) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens, Some(prompt)) => prompt.tokens + prompt.max_output_tokens,
            (QuotaUnit::Tokens, None) => self.plain_tokens,
        }
    }
}

/// How far the sum over all nodes may lie above a tenant's limit, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window, microseconds.
    pub window_us: u64,
    /// Share of what the limit allows in a window.
    pub overage: f64,
    /// Units besides.
    pub slack: u64,
}

/// A node asks for what one run of a request costs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuery {
    /// Identifies the run at the asking node.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// Where the answer goes: the question may have been handed on.
    #[serde(rename = "a")]
    pub reply_to: SocketAddr,
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantName,
    /// Its limit as the asking node knows it, and the version of the configuration that says so.
    #[serde(rename = "l")]
    pub limit: TenantLimit,
    /// That version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Units that the run costs.
    #[serde(rename = "c")]
    pub cost: u64,
    /// Rank of the request, 0 first.
    #[serde(rename = "k")]
    pub priority: u8,
    /// The keeper that is asked: a node may hold several.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// Keepers that have been asked before and were short.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<KeeperId>,
    /// Keepers that have been silent lately: the question is not handed on to them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub unresponsive: Vec<KeeperId>,
    /// Units that those that were asked had room for together; below 0 if they are short of the floor.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub available_units: i64,
    /// Parts that are paid already: no keeper has room for the whole, but all of them have.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub charged: Vec<PartialCharge>,
}

/// What one keeper paid of a run that none could pay alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialCharge {
    /// The keeper.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// Units, perhaps none.
    #[serde(rename = "c")]
    pub units: u64,
}

fn is_zero(units: &i64) -> bool {
    *units == 0
}

/// What a keeper decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// The run is paid for.
    #[serde(rename = "g")]
    Granted,
    /// There will be room for a run of this cost in so many milliseconds.
    #[serde(rename = "r")]
    Refused {
        /// Milliseconds.
        #[serde(rename = "w")]
        wait_ms: u64,
    },
    /// The node is no keeper, or does not know whether it still is.
    #[serde(rename = "n")]
    NotKeeper,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The run.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The keeper that decided.
    #[serde(rename = "k")]
    pub keeper: KeeperId,
    /// What it decided.
    #[serde(rename = "d")]
    pub verdict: QuotaVerdict,
    /// Units left there for the tenant, below 0 if it is in debt; for the logs.
    #[serde(rename = "l")]
    pub level: i64,
    /// Keepers that paid parts, whatever was decided then; empty if there were no parts.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub charged: Vec<KeeperId>,
}

/// A run that was paid for has provably not begun: what it cost is given back. The keeper knows
/// what that was, and a word that comes twice gives back once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRefund {
    /// The run.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The keeper that granted it.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantName,
}
