//! What comes of a question: a grant that is used or given back, a refusal, or nobody to ask.

use crate::ids::TenantName;
use crate::quota::{QuotaAnswer, QuotaReturn, QuotaVerdict};
use crate::quota_slots::KeeperId;
use crate::scheduling::Ticket;

/// A run that is paid for. It is used once, by sending the run, or given back once.
#[derive(Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    ticket: Ticket,
    payers: Vec<KeeperId>,
    tenant: TenantName,
    /// The run may be sent before this time, microseconds.
    pub use_before_us: u64,
}

impl QuotaGrant {
    /// A run of a tenant that these keepers have paid for.
    pub fn new(
        ticket: Ticket,
        tenant: TenantName,
        payers: Vec<KeeperId>,
        use_before_us: u64,
    ) -> Self {
        Self { ticket, payers, tenant, use_before_us }
    }

    /// Who paid.
    pub fn payers(&self) -> &[KeeperId] {
        &self.payers
    }

    /// Whether the run may still be sent.
    pub fn is_usable(&self, now_us: u64) -> bool {
        now_us < self.use_before_us
    }

    /// The words by which it is given back, each to the holder of the keeper that it names.
    pub fn into_returns(self) -> Vec<QuotaReturn> {
        returns(self.ticket, &self.tenant, self.payers)
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
pub fn payers(answer: &QuotaAnswer) -> Vec<KeeperId> {
    let is_whole = answer.paid.is_empty() && answer.verdict == QuotaVerdict::Granted;
    if is_whole {
        return vec![answer.keeper.clone()];
    }
    answer.paid.clone()
}

/// The words by which payers are told that a run has not begun.
pub fn returns(ticket: Ticket, tenant: &TenantName, payers: Vec<KeeperId>) -> Vec<QuotaReturn> {
    let word = |keeper| QuotaReturn { ticket, keeper, tenant: tenant.clone() };
    payers.into_iter().map(word).collect()
}
