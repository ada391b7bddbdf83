//! Admission checks before a request is sent to its runner.

use super::planning::Plan;
use super::Dispatch;
use crate::quota::requester::{self, QuotaRejection, QuotaReservation, SentReservation};
use crate::retry_charge::ChargedAttempt;
use crate::runner_limits;
use pitchstall_serving::attempt::EndReason;
use pitchstall_serving::retry_budget::ArrivalCost;

/// Result of the admission checks of a planned run.
pub(super) enum Admission {
    /// The run may be sent. Contains its quota reservation; `None` if the run costs nothing.
    Admitted(Option<SentReservation>),
    /// The run must not be sent to the planned runner: the runner accepts no more requests of this
    /// node, or the quota reservation has expired. The reservation has not been used.
    Withheld,
}

impl Dispatch<'_> {
    /// Checks whether a planned run may be sent. The request must not be quarantined because runners
    /// crashed under it, its tenant must have quota left, its runner must still accept requests, and
    /// it must be the first run or one that the retry budget covers. After admission, the run must be
    /// sent without any further wait.
    pub(super) async fn admit(&mut self, plan: &Plan) -> Result<Admission, EndReason> {
        // The quarantine may have been reported while the request was being placed or prefilled.
        if self.is_quarantined() {
            return Err(EndReason::Quarantined);
        }
        if self.arrivals.is_next_run_extra() && !self.retry_charge.charge().await {
            return Err(EndReason::Refused);
        }
        self.ensure_reserved().await?;
        // Since it was chosen, the runner may have reported that it accepts no requests, for example
        // while another runner prefilled the prompt.
        if !self.node.may_send_to(&plan.choice.runner) {
            return Ok(Admission::Withheld);
        }
        // This is the last check that may wait, since a permit is valid for a short time only.
        if !self.is_permitted(plan).await {
            return Ok(Admission::Withheld);
        }
        let is_reserved = self.run_cost.is_none()
            || self.reservation.as_ref().is_some_and(QuotaReservation::is_usable);
        if !is_reserved || !self.node.may_send_to(&plan.choice.runner) {
            return Ok(Admission::Withheld);
        }
        // The runner's version may have joined since the request was planned, for example while the prompt was prefilled.
        if !self.may_begin_at(&plan.choice.runner) {
            return Ok(Admission::Withheld);
        }
        let cost = self.arrivals.on_run();
        if cost != ArrivalCost::Free
            && plan.prefilled.is_none()
            && self.would_miss_deadline(&plan.choice)
        {
            return Err(EndReason::OutOfTime);
        }
        if self.use_charge(cost).is_none() {
            return Err(EndReason::Refused);
        }
        let starts_on_arrival = self.engine.is_none();
        let reservation = self.reservation.take();
        Ok(Admission::Admitted(reservation.map(|it| it.mark_sent(starts_on_arrival))))
    }

    /// Whether the runner's limit allows one more request.
    async fn is_permitted(&self, plan: &Plan) -> bool {
        if plan.permit.is_some_and(|permit| permit.is_usable(self.node.now_us())) {
            return true;
        }
        let request = &self.request.metadata.id;
        runner_limits::request_permit(self.node, request, &plan.choice.runner).await.is_some()
    }

    /// Requests a reservation for the next run from the keepers of the tenant's quota. Returns
    /// `None` if there already is one or if the run costs nothing.
    pub(super) async fn request_reservation(&self) -> Result<Option<QuotaReservation>, EndReason> {
        match &self.run_cost {
            Some(run) if self.reservation.is_none() => {
                let request = &self.request.metadata.id;
                requester::reserve(self.node, request, run).await.map(Some).map_err(end_reason)
            }
            _ => Ok(None),
        }
    }

    /// Ensures that there is a usable reservation for the run. One that has expired, for example
    /// during a prefill, is refunded and requested again with top priority.
    pub(super) async fn ensure_reserved(&mut self) -> Result<(), EndReason> {
        let Some(run) = &self.run_cost else { return Ok(()) };
        if self.reservation.as_ref().is_some_and(QuotaReservation::is_usable) {
            return Ok(());
        }
        let expired = self.reservation.take();
        let run = if expired.is_some() { &run.with_top_priority() } else { run };
        drop(expired);
        let reservation = requester::reserve(self.node, &self.request.metadata.id, run).await;
        self.reservation = Some(reservation.map_err(end_reason)?);
        Ok(())
    }

    /// Uses the charge to the retry budget for sending a request to a runner, if that is an extra
    /// attempt. Returns `None` if the budget has not been charged, so that the request must not be
    /// sent.
    pub(super) fn use_charge(&self, cost: ArrivalCost) -> Option<ChargedAttempt> {
        match cost {
            ArrivalCost::Free => Some(ChargedAttempt::Free),
            ArrivalCost::Deposit | ArrivalCost::Extra => self.retry_charge.take(),
        }
    }
}

fn end_reason(rejection: QuotaRejection) -> EndReason {
    match rejection {
        QuotaRejection::OverQuota { wait_ms } => EndReason::OverQuota { wait_ms },
        QuotaRejection::Unreachable => EndReason::QuotaUnknown,
    }
}
