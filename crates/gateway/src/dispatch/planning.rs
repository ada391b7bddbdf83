//! Plans the next attempt of a request: its placement and the prefill of its prompt.

use super::{Dispatch, EndReason};
use crate::attempt_wait::EarlyEnd;
use crate::clock::Instant;
use crate::prefill::{self, PrefillOutcome, PrefillRequest, PrefilledPrompt};
use crate::prepared_connection::{self, PrepareError};
use crate::runner_limits::{self, SendPermit};
use crate::scheduling::{self, Placement, PlacementDemand, ProgressReporter};
use crate::version_record;
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::ids::{RunnerId, ZoneId};
use pitchstall_serving::placement::{choose_least_occupied, Demand, PrefillPlan, RunnerChoice};
use pitchstall_serving::request::Work;
use pitchstall_serving::retry_budget::ArrivalCost;
use pitchstall_serving::scheduler::choose_decode_runner_in_any_region;
use pitchstall_serving::scheduling::Progress;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Share of the remaining time that a prefill may take. It is large, since a busy runner is no
/// reason to prefill again elsewhere.
const MAX_PREFILL_TIME_SHARE: f64 = 0.8;
/// Share of a request's target time to wait for a runner to become available.
const MAX_WAIT_TARGET_SHARE: f64 = 0.25;

/// Where and how the request is to run next.
pub(super) struct Plan {
    pub(super) choice: RunnerChoice,
    pub(super) prefilled: Option<PrefilledPrompt>,
    /// Reports progress to the scheduler that placed the request; `None` for a service without an
    /// engine, which has no scheduler.
    progress_reporter: Option<ProgressReporter>,
    /// Permit to send the request; `None` if it has not been requested yet.
    pub(super) permit: Option<SendPermit>,
}

impl Plan {
    /// Reports progress to the scheduler.
    pub(super) fn report(&self, progress: Progress) {
        if let Some(progress_reporter) = &self.progress_reporter {
            progress_reporter.report(progress);
        }
    }
}

/// When a runner accepts requests of this node again.
#[derive(Clone, Copy)]
struct NextAvailability {
    available_in: Duration,
    has_limit: bool,
}

impl NextAvailability {
    /// The reason for failing a request that cannot wait this long. A runner's limit applies to all
    /// nodes together, so the response states when the client may retry.
    fn end_reason(self) -> EndReason {
        let wait_ms = u64::try_from(self.available_in.as_millis()).unwrap_or(u64::MAX);
        match self.has_limit {
            true => EndReason::LimitUsedUp { wait_ms },
            false => EndReason::NoRunner,
        }
    }
}

/// Time since a moment, in milliseconds.
pub(super) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

impl Dispatch<'_> {
    fn demand(&self) -> Demand<'_> {
        Demand {
            eligible: self.eligible(),
            prompt: &self.prompt,
            zone: &self.node.zone,
            cache_tokens: self.engine.as_ref().map_or(0, |engine| engine.kv_tokens),
            cross_region_ms_per_token: self
                .engine
                .as_ref()
                .and_then(EngineSpec::cross_region_ms_per_token),
            now_us: self.node.now_us(),
        }
    }

    /// Determines where the request runs next. Waits for a short time if no runner accepts work.
    pub(super) async fn plan(&mut self) -> Result<Plan, EndReason> {
        let give_up_at = Instant::now() + self.max_wait();
        let node = self.node;
        loop {
            // A change while the scheduler or a keeper is asked must not be missed.
            let changed = node.fleet_changed.notified();
            if self.has_lost_its_version() {
                return Err(EndReason::StreamVersionGone);
            }
            self.update_unrecorded_versions();
            if let Some(plan) = self.plan_now().await? {
                return Ok(plan);
            }
            let remaining = give_up_at.saturating_duration_since(Instant::now());
            // If the runner becomes available too late, waiting for it would only keep the client
            // from retrying at another node.
            let availability = self.next_availability();
            if let Some(availability) =
                availability.filter(|availability| availability.available_in > remaining)
            {
                return Err(availability.end_reason());
            }
            let rest_remaining = availability.map(|availability| availability.available_in);
            let wait = timeout(rest_remaining.unwrap_or(remaining), changed);
            let has_timed_out = remaining.is_zero() || wait.await.is_err();
            if has_timed_out && rest_remaining.is_none() {
                return Err(EndReason::NoRunner);
            }
        }
    }

    /// A stream that may be resumed begins only at a version that is recorded, so that nodes which start later know of it.
    fn update_unrecorded_versions(&mut self) {
        self.unrecorded_versions = match self.begins_resumable_stream() {
            true => version_record::unrecorded_versions(self.node, &self.service),
            false => Vec::new(),
        };
    }

    fn begins_resumable_stream(&self) -> bool {
        self.route.resumable && self.version.is_none()
    }

    /// Whether the run may begin at a runner: its version is recorded, or the run begins no stream that may be resumed.
    pub(super) fn may_begin_at(&self, runner: &RunnerId) -> bool {
        let fleet = self.node.fleet.borrow();
        let version = fleet.get(runner).map(|runner| &runner.record.version);
        let record = self.node.version_record.borrow();
        !self.begins_resumable_stream()
            || version.is_some_and(|version| record.may_begin(&self.service, version))
    }

    /// Whether no runner serves any more that may continue the stream.
    fn has_lost_its_version(&self) -> bool {
        let fleet = self.node.fleet.borrow();
        let version = self.version.as_ref();
        version.is_some_and(|version| !fleet.serves_version(&self.service, version))
    }

    /// When the first of the runners that are only temporarily unavailable accepts requests again;
    /// `None` if there is none.
    fn next_availability(&self) -> Option<NextAvailability> {
        let Demand { eligible, now_us, .. } = self.demand();
        let availability = self.node.fleet.borrow().next_availability(&eligible, now_us)?;
        let available_in = Duration::from_micros(availability.at_us.saturating_sub(now_us));
        Some(NextAvailability { available_in, has_limit: availability.has_limit })
    }

    async fn plan_now(&mut self) -> Result<Option<Plan>, EndReason> {
        if self.engine.is_none() {
            self.ensure_reserved().await?;
            let choice = choose_least_occupied(&self.node.fleet.borrow(), &self.demand());
            return Ok(choice.map(|choice| Plan {
                choice,
                prefilled: None,
                progress_reporter: None,
                permit: None,
            }));
        }
        let (placement, reservation) = tokio::join!(self.place(), self.request_reservation());
        self.reservation = reservation?.or(self.reservation.take());
        let Placement { prefill, decode, progress_reporter } = placement;
        match prefill {
            None => Ok(None),
            Some(PrefillPlan::Direct(choice)) => {
                let progress_reporter = Some(progress_reporter);
                Ok(Some(Plan { choice, prefilled: None, progress_reporter, permit: None }))
            }
            Some(PrefillPlan::Split(prefill_runner)) => {
                self.prefill_then_decode(prefill_runner, decode, progress_reporter).await
            }
        }
    }

    async fn place(&self) -> Placement {
        let demand = PlacementDemand {
            request: &self.request.metadata.id,
            service: &self.service,
            demand: self.demand(),
            target_ms: self.route.target_ms,
            elapsed: self.request.received_at.elapsed(),
            remaining: self.time_remaining(),
        };
        scheduling::place(self.node, &demand).await
    }

    /// Runs the prefill, then plans the decode at the planned runner or, if that runner accepts no
    /// more work, at another one. If the separate prefill fails, the decode runner prefills the
    /// prompt itself.
    async fn prefill_then_decode(
        &mut self,
        prefill_runner: RunnerChoice,
        decode_runner: Option<RunnerChoice>,
        progress_reporter: ProgressReporter,
    ) -> Result<Option<Plan>, EndReason> {
        let sent_at = Instant::now();
        let prefilled = self.prefill_prompt(prefill_runner, &progress_reporter).await;
        if self.time_remaining().is_zero() {
            return Err(EndReason::OutOfTime);
        }
        if prefilled.is_some() {
            progress_reporter.report(Progress::Prefilled(elapsed_ms(sent_at)));
        }
        let is_usable = |choice: &RunnerChoice| {
            prefilled.is_some() && self.node.accepts_placements(&choice.runner)
        };
        let decode_runner = decode_runner.filter(is_usable);
        let zone = prefilled.as_ref().map(|prefilled| prefilled.zone.clone());
        let (choice, permit) =
            self.permitted_decode_runner(decode_runner, zone.as_ref()).await.unzip();
        // Moving the prefilled prompt between regions takes longer than prefilling it again.
        let is_in_same_region = |prefilled: &PrefilledPrompt| {
            let choice = choice.as_ref();
            choice.is_some_and(|choice| self.node.is_in_region_of(&choice.runner, &prefilled.zone))
        };
        let prefilled = prefilled.filter(is_in_same_region);
        let progress_reporter = Some(progress_reporter);
        Ok(choice.map(|choice| Plan { choice, prefilled, progress_reporter, permit }))
    }

    /// A decode runner whose limit allows one more request: the planned one, or another one so that
    /// the prefill is not wasted. Waits for a short time if all limits are exhausted.
    async fn permitted_decode_runner(
        &self,
        planned: Option<RunnerChoice>,
        source: Option<&ZoneId>,
    ) -> Option<(RunnerChoice, SendPermit)> {
        let give_up_at = Instant::now() + self.max_wait();
        let mut planned = planned;
        loop {
            let other_decode_runner = || {
                choose_decode_runner_in_any_region(
                    &self.node.fleet.borrow(),
                    &self.demand(),
                    source,
                )
            };
            if let Some(decode_runner) = planned.take().or_else(other_decode_runner) {
                let request = &self.request.metadata.id;
                let permit =
                    runner_limits::request_permit(self.node, request, &decode_runner.runner).await;
                match permit {
                    Some(permit) => return Some((decode_runner, permit)),
                    None => continue,
                }
            }
            let available_in = self.next_availability()?.available_in;
            if Instant::now() + available_in > give_up_at {
                return None;
            }
            sleep(available_in).await;
        }
    }

    /// How long the request waits for a runner.
    fn max_wait(&self) -> Duration {
        let wait = Duration::from_millis(self.route.target_ms).mul_f64(MAX_WAIT_TARGET_SHARE);
        wait.min(self.time_remaining())
    }

    async fn prefill_prompt(
        &mut self,
        prefill_runner: RunnerChoice,
        progress_reporter: &ProgressReporter,
    ) -> Option<PrefilledPrompt> {
        let prepared = match prepared_connection::prepare(
            self.node,
            &prefill_runner,
            &self.connection_need(&prefill_runner.runner),
        )
        .await
        {
            Ok(prepared) => prepared,
            Err(PrepareError::Withheld) => return None,
            Err(PrepareError::Unreachable) => {
                progress_reporter.report(Progress::Unreachable(prefill_runner.runner.clone()));
                self.excluded.push(prefill_runner.runner);
                return None;
            }
        };
        if self.arrivals.is_next_prefill_charged() && !self.retry_charge.charge().await {
            return None;
        }
        runner_limits::request_permit(self.node, &self.request.metadata.id, &prefill_runner.runner)
            .await?;
        if self.is_quarantined() {
            return None;
        }
        let cost = self.arrivals.on_prefill();
        if cost != ArrivalCost::Free && self.would_miss_deadline(&prefill_runner) {
            return None;
        }
        let charged = self.use_charge(cost)?;
        let mut params = self.attempt_params(Work::Prefill, &prefill_runner);
        params.after_event = None;
        params.head_timeout = self.time_remaining().mul_f64(MAX_PREFILL_TIME_SHARE);
        let charge = self.retry_charge.clone();
        params.early_end = Some(EarlyEnd { charge, head_timeout: None });
        self.sent_to.push(prefill_runner.runner.clone());
        let prefill_request = PrefillRequest {
            request: self.request,
            service: &self.service,
            prompt: &self.prompt,
            choice: &prefill_runner,
        };
        match prefill::run_prefill(self.node, &prefill_request, prepared, &params).await {
            PrefillOutcome::Prefilled(prompt) => {
                if cost == ArrivalCost::Deposit {
                    self.retry_charge.refund_sent(charged);
                }
                Some(prompt)
            }
            PrefillOutcome::LinkLost => {
                self.arrivals.on_prefill_not_accepted();
                None
            }
            end @ (PrefillOutcome::Declined | PrefillOutcome::Failed) => {
                if matches!(end, PrefillOutcome::Declined) {
                    progress_reporter.report(Progress::Declined(prefill_runner.runner.clone()));
                }
                self.arrivals.on_prefill_not_accepted();
                self.excluded.push(prefill_runner.runner);
                None
            }
        }
    }

    /// Whether the prefill is expected to end only after the request's deadline. An additional
    /// attempt that cannot meet the deadline would take budget and capacity from requests that can.
    pub(super) fn would_miss_deadline(&self, choice: &RunnerChoice) -> bool {
        Duration::from_micros(choice.expected_prefill_us) > self.time_remaining()
    }
}
