//! What comes of a question: a grant that is used or given back, a refusal, or nobody to ask.

use crate::ids::TenantName;
use crate::quota::{QuotaRefund, QuotaReply, QuotaVerdict};
use crate::quota_slots::KeeperId;
use crate::scheduling::Ticket;

/// A run that is paid for. It is used once, by sending the run, or given back once.
#[derive(Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    ticket: Ticket,
    keepers: Vec<KeeperId>,
    tenant: TenantName,
    /// The run may be sent before this time, microseconds.
    pub expires_at_us: u64,
}

impl QuotaGrant {
    /// A run of a tenant that these keepers have paid for.
    pub fn new(
        ticket: Ticket,
        tenant: TenantName,
        keepers: Vec<KeeperId>,
        expires_at_us: u64,
    ) -> Self {
        Self { ticket, keepers, tenant, expires_at_us }
    }

    /// Who paid.
    pub fn keepers(&self) -> &[KeeperId] {
        &self.keepers
    }

    /// Whether the run may still be sent.
    pub fn is_usable(&self, now_us: u64) -> bool {
        now_us < self.expires_at_us
    }

    /// The words by which it is given back, each to the holder of the keeper that it names.
    pub fn into_refunds(self) -> Vec<QuotaRefund> {
        refunds(self.ticket, &self.tenant, self.keepers)
    }
}

/// What became of a run's question.
#[derive(Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// It is paid for.
    Granted(QuotaGrant),
    /// The tenant has reached its limit.
    Refused {
        /// Milliseconds until there is room for a run of this cost.
        wait_ms: u64,
        /// Who said so.
        keeper: KeeperId,
        /// Units left there, for the logs.
        level: i64,
    },
    /// No keeper of the tenant could be asked, or none answered.
    Unreachable,
}

/// The keepers that paid, by an answer.
pub fn charged_keepers(reply: &QuotaReply) -> Vec<KeeperId> {
    let is_single_charge = reply.charged.is_empty() && reply.verdict == QuotaVerdict::Granted;
    if is_single_charge {
        return vec![reply.keeper.clone()];
    }
    reply.charged.clone()
}

/// The words by which payers are told that a run has not begun.
pub fn refunds(ticket: Ticket, tenant: &TenantName, keepers: Vec<KeeperId>) -> Vec<QuotaRefund> {
    let refund = |keeper| QuotaRefund { ticket, keeper, tenant: tenant.clone() };
    keepers.into_iter().map(refund).collect()
}
