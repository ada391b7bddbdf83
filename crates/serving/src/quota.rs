//! Tenants' quotas: the limits and the messages that nodes exchange to enforce them.
//!
//! A tenant's limit is split among a few keepers, each held by one node. Before a node sends a
//! request to a runner, it queries a keeper, which charges the cost of the request against the
//! limit.

use crate::ids::TenantName;
use crate::prefix::Prompt;
use crate::quota_slots::KeeperId;
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The unit in which a limit is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request costs one unit.
    #[serde(rename = "r")]
    Requests,
    /// Each request costs its prompt tokens plus its maximum output tokens.
    #[serde(rename = "t")]
    Tokens,
}

/// The limit on a tenant's runs, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// Sustained rate, in units per second; greater than 0.
    #[serde(rename = "r")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub rate_per_s: u64,
    /// Units that may be used in a burst on top of the rate.
    #[serde(rename = "b")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub burst: u64,
    /// The unit of the rate, the burst and the cost.
    #[serde(rename = "u")]
    pub unit: QuotaUnit,
    /// Cost, in tokens, of a request that states no token counts. Used only if `unit` is
    /// [`QuotaUnit::Tokens`].
    #[serde(rename = "p")]
    #[serde(deserialize_with = "crate::bounded::units")]
    pub plain_tokens: u64,
}

impl TenantLimit {
    /// The cost, in units, of one run of a request. `prompt` is `None` if the request states no
    /// token counts.
    pub fn cost(&self, prompt: Option<&Prompt>) -> u64 {
        match (self.unit, prompt) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens, Some(prompt)) => prompt.tokens + prompt.max_output_tokens,
            (QuotaUnit::Tokens, None) => self.plain_tokens,
        }
    }
}

/// How far the total of all nodes may exceed a tenant's limit in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window, in microseconds.
    pub window_us: u64,
    /// Permitted excess as a share of what the limit allows in a window.
    pub overage: f64,
    /// Permitted excess in units, in addition to `overage`.
    pub slack: u64,
}

/// The query by which a node asks a keeper to charge the cost of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuery {
    /// Identifies the run at the node that sent the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The address that receives the reply. It differs from the sender's if the query was
    /// forwarded.
    #[serde(rename = "a")]
    pub reply_to: SocketAddr,
    /// The tenant whose quota is charged.
    #[serde(rename = "t")]
    pub tenant: TenantName,
    /// The tenant's limit as known to the node that sent the query.
    #[serde(rename = "l")]
    pub limit: TenantLimit,
    /// The version of the configuration that `limit` was read from.
    #[serde(rename = "v")]
    pub version: u64,
    /// Cost of the run, in units.
    #[serde(rename = "c")]
    #[serde(deserialize_with = "crate::bounded::cost")]
    pub cost: u64,
    /// Priority of the request; 0 is the most urgent.
    #[serde(rename = "k")]
    pub priority: u8,
    /// The keeper that is queried. A node may hold several keepers.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// Keepers that have been queried before and had too few units available.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<KeeperId>,
    /// Keepers that have not replied lately. The query is not forwarded to them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub unresponsive: Vec<KeeperId>,
    /// Sum of the units available at the keepers in `tried`; negative if they are below their
    /// floor.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    #[serde(deserialize_with = "crate::bounded::signed_units")]
    pub available_units: i64,
    /// Partial charges made so far. The cost is charged in parts if no keeper alone has enough
    /// units available, but all of them together have.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub charged: Vec<PartialCharge>,
}

/// What one keeper charged for a run whose cost is split among several keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialCharge {
    /// The keeper that made the charge.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// Units charged; may be 0.
    #[serde(rename = "c")]
    #[serde(deserialize_with = "crate::bounded::cost")]
    pub units: u64,
}

fn is_zero(units: &i64) -> bool {
    *units == 0
}

/// A keeper's decision on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// The cost has been charged, and the run may be sent.
    #[serde(rename = "g")]
    Granted,
    /// The tenant has too few units available.
    #[serde(rename = "r")]
    Refused {
        /// Time until there are units for a run of this cost, in milliseconds.
        #[serde(rename = "w")]
        #[serde(deserialize_with = "crate::bounded::time_ms")]
        wait_ms: u64,
    },
    /// The node does not hold the keeper, or cannot be sure that it still does.
    #[serde(rename = "n")]
    NotKeeper,
}

/// A keeper's reply to a [`QuotaQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Ticket of the query.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The keeper that decided.
    #[serde(rename = "k")]
    pub keeper: KeeperId,
    /// The decision of that keeper.
    #[serde(rename = "d")]
    pub verdict: QuotaVerdict,
    /// Units left in the keeper's bucket for the tenant, negative if it is in debt; for logs.
    #[serde(rename = "l")]
    pub level: i64,
    /// Keepers that made partial charges, whatever the verdict; empty if the cost was not split.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub charged: Vec<KeeperId>,
}

/// Refunds the charge of a run that has provably not started. The keeper knows the amount, and
/// refunds it only once if the message arrives twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRefund {
    /// Ticket of the run, as in the query that was granted.
    #[serde(rename = "i")]
    pub ticket: Ticket,
    /// The keeper that charged for it.
    #[serde(rename = "e")]
    pub keeper: KeeperId,
    /// The tenant whose quota was charged.
    #[serde(rename = "t")]
    pub tenant: TenantName,
}
