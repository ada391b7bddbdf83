//! What a run has to pass before it is sent to its runner.

use super::planning::Plan;
use super::Dispatch;
use crate::quota::asking::{self, Payment, Spent, Unpaid};
use crate::runner_limits;
use pitchstall_serving::attempt::EndReason;
use pitchstall_serving::retry_budget::{ArrivalCost, SharedRetryBudget};

/// What came of asking whether a planned run may be sent.
pub(super) enum Admission {
    /// It may; what was spent on it, if its tenant has a limit.
    Paid(Option<Spent>),
    /// Its runner takes nothing from this node any more. Nothing has been spent.
    Withheld,
}

impl Dispatch<'_> {
    /// Whether a planned run may be sent: unless runners have ended under the request, if its tenant
    /// has room for it, if its runner still takes requests, and if it is the first one or the retry
    /// budget allows it. It has to be sent without any further wait.
    pub(super) async fn admit(&mut self, plan: &Plan) -> Result<Admission, EndReason> {
        // The word may have come while the request was placed and its prompt read.
        if self.is_quarantined() {
            return Err(EndReason::Quarantined);
        }
        self.ensure_paid().await?;
        // The runner may have said so since it was chosen, as while a prompt was read elsewhere.
        if !self.node.may_send_to(&plan.choice.runner) {
            return Ok(Admission::Withheld);
        }
        // Asked last of all that has to be waited for, as a permit holds for a moment only.
        if !self.is_permitted(plan).await {
            return Ok(Admission::Withheld);
        }
        let is_paid =
            self.run_cost.is_none() || self.payment.as_ref().is_some_and(Payment::is_usable);
        if !is_paid || !self.node.may_send_to(&plan.choice.runner) {
            return Ok(Admission::Withheld);
        }
        let cost = self.arrivals.on_run();
        if cost != ArrivalCost::Free && plan.prompt.is_none() && self.is_too_late(&plan.choice) {
            return Err(EndReason::OutOfTime);
        }
        if !self.pay(cost) {
            return Err(EndReason::Refused);
        }
        Ok(Admission::Paid(self.payment.take().map(Payment::spend)))
    }

    /// Whether the runner takes one request more of what it has named as its limit.
    async fn is_permitted(&self, plan: &Plan) -> bool {
        if plan.permit.is_some_and(|permit| permit.is_usable(self.node.now_us())) {
            return true;
        }
        let request = &self.request.facts.id;
        runner_limits::permit(self.node, request, &plan.choice.runner).await.is_some()
    }

    /// Has the next run paid for by the tenant's keepers, if it is not; `None`: it is, or costs
    /// nothing.
    pub(super) async fn payment_to_make(&self) -> Result<Option<Payment>, EndReason> {
        match &self.run_cost {
            Some(run) if self.payment.is_none() => {
                let request = &self.request.facts.id;
                asking::pay(self.node, request, run).await.map(Some).map_err(reason_of)
            }
            _ => Ok(None),
        }
    }

    /// Makes sure that the run is paid for now. A grant that has lapsed, as while a prompt was read,
    /// is given back and asked for anew.
    pub(super) async fn ensure_paid(&mut self) -> Result<(), EndReason> {
        let Some(run) = &self.run_cost else { return Ok(()) };
        if self.payment.as_ref().is_some_and(Payment::is_usable) {
            return Ok(());
        }
        let lapsed = self.payment.take();
        let run = if lapsed.is_some() { &run.granted_before() } else { run };
        drop(lapsed);
        let paid = asking::pay(self.node, &self.request.facts.id, run).await;
        self.payment = Some(paid.map_err(reason_of)?);
        Ok(())
    }

    /// Pays for an arrival at a runner before it is sent; `false`: it may not be sent.
    pub(super) fn pay(&mut self, cost: ArrivalCost) -> bool {
        cost == ArrivalCost::Free || std::mem::take(&mut self.is_prepaid) || self.withdraw()
    }

    pub(super) fn withdraw(&self) -> bool {
        let allowed = self.node.with_retry_budget(&self.service, SharedRetryBudget::withdraw);
        let metrics = &self.node.metrics;
        if allowed { &metrics.retries } else { &metrics.retries_denied }.inc();
        allowed
    }
}

fn reason_of(unpaid: Unpaid) -> EndReason {
    match unpaid {
        Unpaid::OverQuota { wait_ms } => EndReason::OverQuota { wait_ms },
        Unpaid::Unreachable => EndReason::QuotaUnknown,
    }
}
