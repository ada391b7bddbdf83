//! The outcome of a quota query: a grant that is used or refunded, a refusal, or no reply.

use crate::ids::TenantName;
use crate::quota::{QuotaRefund, QuotaReply, QuotaVerdict};
use crate::quota_slots::KeeperId;
use crate::scheduling::Ticket;

/// A charge that permits one run. It is either used, by sending the run, or refunded, and only
/// once.
#[derive(Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    ticket: Ticket,
    keepers: Vec<KeeperId>,
    tenant: TenantName,
    /// Time before which the run must be sent, in microseconds.
    pub expires_at_us: u64,
}

impl QuotaGrant {
    /// A grant for a run of `tenant` that was charged by `keepers`.
    pub fn new(
        ticket: Ticket,
        tenant: TenantName,
        keepers: Vec<KeeperId>,
        expires_at_us: u64,
    ) -> Self {
        Self { ticket, keepers, tenant, expires_at_us }
    }

    /// The keepers that charged for the run.
    pub fn keepers(&self) -> &[KeeperId] {
        &self.keepers
    }

    /// Whether the run may still be sent.
    pub fn is_usable(&self, now_us: u64) -> bool {
        now_us < self.expires_at_us
    }

    /// Converts the grant into refunds, each for the holder of the keeper that it names.
    pub fn into_refunds(self) -> Vec<QuotaRefund> {
        refunds(self.ticket, &self.tenant, self.keepers)
    }
}

/// The outcome of querying the keepers for a run.
#[derive(Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The run's cost has been charged.
    Granted(QuotaGrant),
    /// The tenant has reached its limit.
    Refused {
        /// Time until there are units for a run of this cost, in milliseconds.
        wait_ms: u64,
        /// The keeper that refused.
        keeper: KeeperId,
        /// Units left at that keeper, for logs.
        level: i64,
    },
    /// No keeper of the tenant could be queried, or none replied.
    Unreachable,
}

/// The keepers that charged for the run, according to a reply.
pub fn charged_keepers(reply: &QuotaReply) -> Vec<KeeperId> {
    let is_single_charge = reply.charged.is_empty() && reply.verdict == QuotaVerdict::Granted;
    if is_single_charge {
        return vec![reply.keeper.clone()];
    }
    reply.charged.clone()
}

/// The refunds to send to `keepers` for a run that has not started.
pub fn refunds(ticket: Ticket, tenant: &TenantName, keepers: Vec<KeeperId>) -> Vec<QuotaRefund> {
    let refund = |keeper| QuotaRefund { ticket, keeper, tenant: tenant.clone() };
    keepers.into_iter().map(refund).collect()
}
