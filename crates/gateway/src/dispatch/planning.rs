//! Plans the next attempt of a request: where it is placed, and the reading of its prompt.

use super::{Dispatch, EndReason};
use crate::attempt::{self, NotPrepared};
use crate::clock::Instant;
use crate::prefill::{self, PrefillOutcome, PrefillRequest, PrefilledPrompt};
use crate::runner_limits::{self, SendPermit};
use crate::scheduling::{self, FollowUp, Placement, PlacementDemand};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Scope, Sender};
use pitchstall_serving::ids::ZoneId;
use pitchstall_serving::placement::{choose_least_occupied, Demand, PrefillPlan, RunnerChoice};
use pitchstall_serving::request::Work;
use pitchstall_serving::retry_budget::{ArrivalCost, SharedRetryBudget};
use pitchstall_serving::scheduler::choose_decode_runner_in_any_region;
use pitchstall_serving::scheduling::Progress;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Part of the time left that a reading may take: a busy runner is no reason to read anew.
const READING_SHARE: f64 = 0.8;
/// Part of its target for which a request waits for a runner to appear.
const WAIT_SHARE: f64 = 0.25;

/// Where and how the request is to run next.
pub(super) struct Plan {
    pub(super) choice: RunnerChoice,
    pub(super) prompt: Option<PrefilledPrompt>,
    /// Tells the scheduler that has placed it; `None`: nobody schedules it.
    follow_up: Option<FollowUp>,
    /// Leave to send it; `None`: it has not been asked for.
    pub(super) permit: Option<SendPermit>,
}

impl Plan {
    /// Tells the scheduler of progress.
    pub(super) fn tell(&self, progress: Progress) {
        if let Some(follow_up) = &self.follow_up {
            follow_up.tell(progress);
        }
    }
}

/// A runner takes requests of this node again.
#[derive(Clone, Copy)]
struct NextOpening {
    opens_in: Duration,
    has_limit: bool,
}

impl NextOpening {
    /// Why a request is given up that can't wait so long. Another node has nothing more to give of a limit, so the caller
    /// is told when there will be something.
    fn give_up(self) -> EndReason {
        let wait_ms = u64::try_from(self.opens_in.as_millis()).unwrap_or(u64::MAX);
        match self.has_limit {
            true => EndReason::LimitUsedUp { wait_ms },
            false => EndReason::NoRunner,
        }
    }
}

/// Milliseconds since a moment.
pub(super) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

impl Dispatch<'_> {
    fn demand(&self) -> Demand<'_> {
        Demand {
            eligible: Eligible {
                sender: Sender::ThisNode,
                service: &self.service,
                excluded: &self.excluded,
                zones: self.rules.zones.as_ref(),
                scope: Scope::AllRegions,
            },
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

    /// Finds where the request runs next; waits a little if no runner takes work.
    pub(super) async fn plan(&mut self) -> Result<Plan, EndReason> {
        let give_up_at = Instant::now() + self.longest_wait();
        loop {
            if let Some(plan) = self.plan_now().await? {
                return Ok(plan);
            }
            let left = give_up_at.saturating_duration_since(Instant::now());
            // Waiting for a rest that ends too late keeps the caller from trying elsewhere.
            let opening = self.next_availability();
            if let Some(opening) = opening.filter(|opening| opening.opens_in > left) {
                return Err(opening.give_up());
            }
            let rest_left = opening.map(|opening| opening.opens_in);
            let changed = self.node.fleet_changed.notified();
            let has_waited = timeout(rest_left.unwrap_or(left), changed).await.is_err();
            if has_waited && rest_left.is_none() {
                return Err(EndReason::NoRunner);
            }
        }
    }

    /// When the first runner takes requests again that is only withheld; `None`: none is.
    fn next_availability(&self) -> Option<NextOpening> {
        let Demand { eligible, now_us, .. } = self.demand();
        let opening = self.node.fleet.borrow().next_availability(&eligible, now_us)?;
        let opens_in = Duration::from_micros(opening.at_us.saturating_sub(now_us));
        Some(NextOpening { opens_in, has_limit: opening.has_limit })
    }

    async fn plan_now(&mut self) -> Result<Option<Plan>, EndReason> {
        if self.engine.is_none() {
            self.ensure_paid().await?;
            let choice = choose_least_occupied(&self.node.fleet.borrow(), &self.demand());
            return Ok(choice.map(|choice| Plan {
                choice,
                prompt: None,
                follow_up: None,
                permit: None,
            }));
        }
        let (placement, paid) = tokio::join!(self.place(), self.payment_to_make());
        self.payment = paid?.or(self.payment.take());
        let Placement { reading, writer, follow_up } = placement;
        match reading {
            None => Ok(None),
            Some(PrefillPlan::Direct(choice)) => {
                let follow_up = Some(follow_up);
                Ok(Some(Plan { choice, prompt: None, follow_up, permit: None }))
            }
            Some(PrefillPlan::Split(reader)) => {
                self.read_then_write(reader, writer, follow_up).await
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
            left: self.time_left(),
        };
        scheduling::place(self.node, &demand).await
    }

    /// Has the prompt read, then has it written where that was planned. A prompt that could not
    /// be read apart is read by the decode runner; while it was read, much may have changed.
    async fn read_then_write(
        &mut self,
        reader: RunnerChoice,
        writer: Option<RunnerChoice>,
        follow_up: FollowUp,
    ) -> Result<Option<Plan>, EndReason> {
        let sent_at = Instant::now();
        let prompt = self.read_prompt(reader, &follow_up).await;
        if self.time_left().is_zero() {
            return Err(EndReason::OutOfTime);
        }
        if prompt.is_some() {
            follow_up.tell(Progress::Prefilled(elapsed_ms(sent_at)));
        }
        let is_usable =
            |writer: &RunnerChoice| prompt.is_some() && self.node.accepts_work(&writer.runner);
        let writer = writer.filter(is_usable);
        let zone = prompt.as_ref().map(|prompt| prompt.zone.clone());
        let (choice, permit) = self.permitted_writer(writer, zone.as_ref()).await.unzip();
        // A move between regions takes longer than reading the prompt anew.
        let is_near = |prompt: &PrefilledPrompt| {
            let choice = choice.as_ref();
            choice.is_some_and(|choice| self.node.is_in_region_of(&choice.runner, &prompt.zone))
        };
        let prompt = prompt.filter(is_near);
        let follow_up = Some(follow_up);
        Ok(choice.map(|choice| Plan { choice, prompt, follow_up, permit }))
    }

    /// A writer that takes one request more of what it has named as its limit: the planned one, or another one, so that a
    /// prompt is not read in vain. Waits a little if all have none left.
    async fn permitted_writer(
        &self,
        planned: Option<RunnerChoice>,
        source: Option<&ZoneId>,
    ) -> Option<(RunnerChoice, SendPermit)> {
        let give_up_at = Instant::now() + self.longest_wait();
        let mut planned = planned;
        loop {
            let any = || {
                choose_decode_runner_in_any_region(
                    &self.node.fleet.borrow(),
                    &self.demand(),
                    source,
                )
            };
            if let Some(writer) = planned.take().or_else(any) {
                let request = &self.request.metadata.id;
                let permit = runner_limits::permit(self.node, request, &writer.runner).await;
                match permit {
                    Some(permit) => return Some((writer, permit)),
                    None => continue,
                }
            }
            let opens_in = self.next_availability()?.opens_in;
            if Instant::now() + opens_in > give_up_at {
                return None;
            }
            sleep(opens_in).await;
        }
    }

    /// How long a request waits for a runner.
    fn longest_wait(&self) -> Duration {
        let wait = Duration::from_millis(self.route.target_ms).mul_f64(WAIT_SHARE);
        wait.min(self.time_left())
    }

    async fn read_prompt(
        &mut self,
        reader: RunnerChoice,
        follow_up: &FollowUp,
    ) -> Option<PrefilledPrompt> {
        let prepared = match attempt::prepare(self.node, &reader).await {
            Ok(prepared) => prepared,
            Err(NotPrepared::Withheld) => return None,
            Err(NotPrepared::Unreachable) => {
                follow_up.tell(Progress::Unreachable(reader.runner.clone()));
                self.excluded.push(reader.runner);
                return None;
            }
        };
        runner_limits::permit(self.node, &self.request.metadata.id, &reader.runner).await?;
        if self.is_quarantined() {
            return None;
        }
        let cost = self.arrivals.on_prefill();
        if cost != ArrivalCost::Free && self.is_too_late(&reader) {
            return None;
        }
        if !self.pay(cost) {
            return None;
        }
        let mut params = self.params(Work::Prefill, &reader);
        params.after_event = None;
        params.head_limit = self.time_left().mul_f64(READING_SHARE);
        params.leaves_suspects = self.budget_allows_one();
        let demand = PrefillRequest {
            request: self.request,
            service: &self.service,
            prompt: &self.prompt,
            choice: &reader,
        };
        match prefill::run_prefill(self.node, &demand, prepared, &params).await {
            PrefillOutcome::Prefilled(prompt) => {
                if cost == ArrivalCost::Deposit {
                    self.node.with_budget(&self.service, SharedRetryBudget::refund);
                }
                Some(prompt)
            }
            end @ (PrefillOutcome::Declined | PrefillOutcome::Failed) => {
                if matches!(end, PrefillOutcome::Declined) {
                    follow_up.tell(Progress::Declined(reader.runner.clone()));
                }
                self.arrivals.on_prefill_not_accepted();
                self.excluded.push(reader.runner);
                None
            }
        }
    }

    /// Whether the prompt would be read only when the request's time is up: an extra attempt
    /// that cannot be answered in time takes budget and capacity from those that can.
    pub(super) fn is_too_late(&self, choice: &RunnerChoice) -> bool {
        Duration::from_micros(choice.expected_prefill_us) > self.time_left()
    }
}
