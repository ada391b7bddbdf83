//! Makes attempts until a request has its final answer.
//!
//! What may be repeated is decided here: a request that surely has not run may go to another
//! runner, one that may have run only if its route allows it, and both only within the retry
//! budget that all nodes share.

use crate::answers::OwnAnswer;
use crate::attempt::{self, Answering, AttemptEnd, AttemptParams};
use crate::connection::ClientConnection;
use crate::intake::{ClientRequest, RequestEnd, WholeAnswer};
use crate::node::Node;
use crate::policy::PlacementRules;
use crate::reading::{self, ReadPrompt, ReadingDemand, ReadingEnd};
use crate::relay::{relay, RelayEnd, RelayLimits, StreamState};
use crate::scheduling::{self, FollowUp, Placement, PlacementDemand};
use pitchstall_serving::attempt::{final_answer, Execution, GiveUp};
use pitchstall_serving::configuration::{Configuration, EngineSpec, RequestKind, Route};
use pitchstall_serving::fleet::Eligible;
use pitchstall_serving::ids::{RunnerId, ServiceName};
use pitchstall_serving::placement::{choose_worker, choose_writer, Choice, Demand, ReadingPlan};
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::request::Work;
use pitchstall_serving::retry_budget::{ArrivalCost, ArrivalLedger, SharedRetryBudget};
use pitchstall_serving::scheduling::Progress;
use pitchstall_serving::urgency::rank;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Runners that are tried without reaching them before a request is given up.
const MOST_UNREACHABLE: usize = 8;
/// Part of the time left that one attempt may take when another could follow.
const ATTEMPT_SHARE: f64 = 0.45;
/// Part of the time left that a reading may take: a busy runner is no reason to read anew.
const READING_SHARE: f64 = 0.8;
/// Part of its target for which a request waits for a runner to appear.
const WAIT_SHARE: f64 = 0.25;
/// Part of its target for which a request hears nothing before its runner is doubted.
const DOUBT_SHARE: f64 = 0.5;
/// Pauses between events, in targets, after which a stream counts as silent.
const SILENT_PAUSES: u32 = 4;
/// Shortest pause after which a stream counts as silent.
const SHORTEST_SILENCE: Duration = Duration::from_millis(1_000);

/// One request on its way to its final answer.
pub struct Dispatch<'a> {
    node: &'a Rc<Node>,
    request: &'a ClientRequest,
    route: &'a Route,
    service: ServiceName,
    engine: Option<EngineSpec>,
    prompt: Prompt,
    /// What the operators' policy program decided.
    rules: PlacementRules,
    deadline: Instant,
    /// What is known of the request after the attempts so far.
    execution: Execution,
    /// Attempts that may have run.
    runs: u32,
    /// Which arrivals at runners draw on the retry budget.
    arrivals: ArrivalLedger,
    excluded: Vec<RunnerId>,
    unreachable: usize,
    /// A runner's own failure, for want of something better.
    failure: Option<WholeAnswer>,
    stream: StreamState,
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

enum Step {
    Again,
    Done(RequestEnd),
}

/// Where and how the request is to run next.
struct Plan {
    choice: Choice,
    prompt: Option<ReadPrompt>,
    /// Tells the scheduler that has placed it; `None`: nobody schedules it.
    follow_up: Option<FollowUp>,
}

impl Plan {
    fn tell(&self, progress: Progress) {
        if let Some(follow_up) = &self.follow_up {
            follow_up.tell(progress);
        }
    }
}

impl<'a> Dispatch<'a> {
    /// A request that no runner has seen.
    pub fn new(
        node: &'a Rc<Node>,
        request: &'a ClientRequest,
        route: &'a Route,
        service: ServiceName,
        rules: PlacementRules,
        configuration: &Configuration,
        deadline: Instant,
    ) -> Self {
        let engine = configuration.services.get(&service).and_then(|it| it.engine.clone());
        Self {
            node,
            request,
            route,
            service,
            engine,
            prompt: request.facts.prompt.clone().unwrap_or_default(),
            rules,
            deadline,
            execution: Execution::NotRun,
            runs: 0,
            arrivals: ArrivalLedger::default(),
            excluded: Vec::new(),
            unreachable: 0,
            failure: None,
            stream: StreamState::new(request.facts.last_event_id),
        }
    }

    /// Makes attempts until there is a final answer.
    pub async fn run(mut self, client: &ClientConnection) -> RequestEnd {
        loop {
            if let Step::Done(end) = self.step(client).await {
                return end;
            }
        }
    }

    async fn step(&mut self, client: &ClientConnection) -> Step {
        if self.time_left().is_zero() {
            return self.give_up(GiveUp::OutOfTime);
        }
        let plan = match self.plan().await {
            Ok(plan) => plan,
            Err(reason) => return self.give_up(reason),
        };
        let Some(prepared) = attempt::prepare(self.node, &plan.choice).await else {
            plan.tell(Progress::Unreachable(plan.choice.runner.clone()));
            return self.on_unreachable(plan.choice.runner);
        };
        let cost = self.arrivals.on_run();
        if cost != ArrivalCost::Free && plan.prompt.is_none() && self.is_too_late(&plan.choice) {
            return self.give_up(GiveUp::OutOfTime);
        }
        if !self.pay(cost) {
            return self.give_up(GiveUp::Refused);
        }
        let work = match &plan.prompt {
            Some(prompt) => Work::RunFrom(prompt.handle.clone()),
            None => Work::Run,
        };
        let params = self.params(work, &plan.choice);
        let sent_at = Instant::now();
        match attempt::send(self.node, self.request, prepared, &params).await {
            AttemptEnd::Answering(answering) => {
                if let Some(prompt) = &plan.prompt {
                    prompt.on_taken();
                } else {
                    plan.tell(Progress::Read(elapsed_ms(sent_at)));
                }
                self.deliver(*answering, client).await
            }
            AttemptEnd::Declined => {
                plan.tell(Progress::Declined(plan.choice.runner.clone()));
                self.excluded.push(plan.choice.runner);
                Step::Again
            }
            AttemptEnd::Lost | AttemptEnd::Silent => self.on_lost(plan.choice.runner),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn params(&self, work: Work, choice: &Choice) -> AttemptParams {
        AttemptParams {
            fetch_from: self.address_of(choice.fetch_from.as_ref()),
            work,
            priority: self
                .engine
                .as_ref()
                .map(|_| rank(self.rules.priority, choice, self.route.target_ms as f64)),
            after_event: self.resume_point(),
            deadline: self.deadline,
            head_limit: self.attempt_limit(),
            expected: Duration::from_micros(choice.expected_us),
            doubt_after: Duration::from_millis(self.route.target_ms).mul_f64(DOUBT_SHARE),
            leaves_suspects: self.could_follow(),
        }
    }

    fn address_of(&self, runner: Option<&RunnerId>) -> Option<SocketAddr> {
        let fleet = self.node.fleet.borrow();
        Some(fleet.get(runner?)?.record.address)
    }

    /// The event after which the node itself makes a stream go on.
    fn resume_point(&self) -> Option<u64> {
        if self.stream.begun {
            self.stream.join.last_id()
        } else {
            None
        }
    }

    /// Silence gives no reason to end an attempt, unless another can follow.
    fn attempt_limit(&self) -> Duration {
        let left = self.time_left();
        if self.could_follow() {
            left.mul_f64(ATTEMPT_SHARE)
        } else {
            left
        }
    }

    /// Whether another attempt may follow the one that is made now.
    fn could_follow(&self) -> bool {
        self.may_run_again(1) && self.budget_allows_one()
    }

    /// Whether the request may run once more after so many further runs.
    fn may_run_again(&self, further: u32) -> bool {
        self.route.is_repeatable() && self.runs + further < self.route.max_attempts
    }

    fn budget_allows_one(&self) -> bool {
        self.node.with_budget(&self.service, |budget| budget.allows_one())
    }

    /// Whether the prompt would be read only when the request's time is up: an extra attempt
    /// that cannot be answered in time takes budget and capacity from those that can.
    fn is_too_late(&self, choice: &Choice) -> bool {
        Duration::from_micros(choice.expected_us) > self.time_left()
    }

    /// Pays for an arrival at a runner before it is sent; `false`: it may not be sent.
    fn pay(&self, cost: ArrivalCost) -> bool {
        cost == ArrivalCost::Free || self.withdraw()
    }

    fn withdraw(&self) -> bool {
        let allowed = self.node.with_budget(&self.service, SharedRetryBudget::withdraw);
        let metrics = &self.node.metrics;
        if allowed { &metrics.retries } else { &metrics.retries_denied }.inc();
        allowed
    }

    fn demand(&self) -> Demand<'_> {
        Demand {
            eligible: Eligible {
                service: &self.service,
                excluded: &self.excluded,
                zones: self.rules.zones.as_ref(),
                shard: None,
            },
            prompt: &self.prompt,
            zone: &self.node.zone,
            cache_tokens: self.engine.as_ref().map_or(0, |engine| engine.kv_tokens),
            now_us: self.node.now_us(),
        }
    }

    async fn plan(&mut self) -> Result<Plan, GiveUp> {
        let wait = Duration::from_millis(self.route.target_ms).mul_f64(WAIT_SHARE);
        let give_up_at = Instant::now() + wait.min(self.time_left());
        loop {
            if let Some(plan) = self.plan_now().await? {
                return Ok(plan);
            }
            let left = give_up_at.saturating_duration_since(Instant::now());
            let changed = timeout(left, self.node.fleet_changed.notified()).await;
            if changed.is_err() {
                return Err(GiveUp::NoRunner);
            }
        }
    }

    async fn plan_now(&mut self) -> Result<Option<Plan>, GiveUp> {
        if self.engine.is_none() {
            let choice = choose_worker(&self.node.fleet.borrow(), &self.demand());
            return Ok(choice.map(|choice| Plan { choice, prompt: None, follow_up: None }));
        }
        let Placement { reading, writer, follow_up } = self.place().await;
        match reading {
            None => Ok(None),
            Some(ReadingPlan::Direct(choice)) => {
                Ok(Some(Plan { choice, prompt: None, follow_up: Some(follow_up) }))
            }
            Some(ReadingPlan::Split(reader)) => {
                self.read_then_write(reader, writer, follow_up).await
            }
        }
    }

    async fn place(&self) -> Placement {
        let demand = PlacementDemand {
            request: &self.request.facts.id,
            service: &self.service,
            demand: self.demand(),
            target_ms: self.route.target_ms,
            elapsed: self.request.received.elapsed(),
            left: self.time_left(),
        };
        scheduling::place(self.node, &demand).await
    }

    /// Has the prompt read, then has it written where that was planned. A prompt that could not
    /// be read apart is read by the decode runner; while it was read, much may have changed.
    async fn read_then_write(
        &mut self,
        reader: Choice,
        writer: Option<Choice>,
        follow_up: FollowUp,
    ) -> Result<Option<Plan>, GiveUp> {
        let sent_at = Instant::now();
        let prompt = self.read_prompt(reader, &follow_up).await;
        if self.time_left().is_zero() {
            return Err(GiveUp::OutOfTime);
        }
        if prompt.is_some() {
            follow_up.tell(Progress::Read(elapsed_ms(sent_at)));
        }
        let is_usable = |writer: &Choice| prompt.is_some() && self.node.takes_work(&writer.runner);
        let choice = writer.filter(is_usable).or_else(|| {
            let source = prompt.as_ref().map(|prompt| &prompt.zone);
            choose_writer(&self.node.fleet.borrow(), &self.demand(), source)
        });
        let follow_up = Some(follow_up);
        Ok(choice.map(|choice| Plan { choice, prompt, follow_up }))
    }

    async fn read_prompt(&mut self, reader: Choice, follow_up: &FollowUp) -> Option<ReadPrompt> {
        let prepared = attempt::prepare(self.node, &reader).await;
        let Some(prepared) = prepared else {
            follow_up.tell(Progress::Unreachable(reader.runner.clone()));
            self.excluded.push(reader.runner);
            return None;
        };
        let cost = self.arrivals.on_reading();
        if cost != ArrivalCost::Free && self.is_too_late(&reader) {
            return None;
        }
        if !self.pay(cost) {
            return None;
        }
        let mut params = self.params(Work::ReadPrompt, &reader);
        params.after_event = None;
        params.head_limit = self.time_left().mul_f64(READING_SHARE);
        params.leaves_suspects = self.budget_allows_one();
        let demand = ReadingDemand {
            request: self.request,
            service: &self.service,
            prompt: &self.prompt,
            choice: &reader,
        };
        match reading::read_prompt(self.node, &demand, prepared, &params).await {
            ReadingEnd::Read(prompt) => {
                if cost == ArrivalCost::Deposit {
                    self.node.with_budget(&self.service, SharedRetryBudget::refund);
                }
                Some(prompt)
            }
            end @ (ReadingEnd::Declined | ReadingEnd::Failed) => {
                if matches!(end, ReadingEnd::Declined) {
                    follow_up.tell(Progress::Declined(reader.runner.clone()));
                }
                self.arrivals.on_reading_not_taken();
                self.excluded.push(reader.runner);
                None
            }
        }
    }

    fn on_unreachable(&mut self, runner: RunnerId) -> Step {
        self.excluded.push(runner);
        self.unreachable += 1;
        if self.unreachable >= MOST_UNREACHABLE {
            return self.give_up(GiveUp::NoRunner);
        }
        Step::Again
    }

    fn on_lost(&mut self, runner: RunnerId) -> Step {
        self.execution = self.execution.max(Execution::Unknown);
        self.runs += 1;
        self.excluded.push(runner);
        if self.time_left().is_zero() {
            return self.give_up(GiveUp::OutOfTime);
        }
        if self.may_run_again(0) {
            return Step::Again;
        }
        self.give_up(GiveUp::Failed)
    }

    async fn deliver(&mut self, mut answering: Answering, client: &ClientConnection) -> Step {
        answering.flight.on_read();
        self.node.on_parts_held(&answering.record.id, self.prompt.shared_parts());
        let first_byte = self.request.received.elapsed().as_secs_f64();
        self.node.metrics.first_byte.observe(first_byte);
        let success = (200..300).contains(&answering.head.status);
        if success && self.route.kind == RequestKind::Streaming {
            self.deliver_stream(answering, client).await
        } else {
            self.deliver_whole(answering).await
        }
    }

    async fn deliver_whole(&mut self, answering: Answering) -> Step {
        let runner = answering.record.id.clone();
        let answer = match timeout(self.attempt_limit(), answering.read_whole()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                let error = error.to_string();
                let id = self.request.facts.id.as_str();
                log::info!(target: "attempt", request = id, runner = runner.as_str(), error; "broken off");
                return self.on_lost(runner);
            }
            Err(_) => return self.on_lost(runner),
        };
        answering.give_back(self.node);
        const FIRST_FAILURE: u16 = 500;
        if answer.status < FIRST_FAILURE || self.stream.begun {
            return self.done_whole(answer);
        }
        self.execution = Execution::Ran;
        self.runs += 1;
        self.excluded.push(runner);
        if !self.may_run_again(0) || !self.budget_allows_one() {
            return self.done_whole(answer);
        }
        self.failure = Some(answer);
        Step::Again
    }

    fn done_whole(&self, answer: WholeAnswer) -> Step {
        if self.stream.begun {
            return Step::Done(RequestEnd::Cut);
        }
        Step::Done(RequestEnd::Whole(answer))
    }

    async fn deliver_stream(&mut self, answering: Answering, client: &ClientConnection) -> Step {
        let runner = answering.record.id.clone();
        let limits = RelayLimits { deadline: self.deadline, pause: self.longest_pause() };
        let end = relay(&answering, client, &mut self.stream, limits).await;
        match end {
            RelayEnd::Complete => {
                answering.give_back(self.node);
                Step::Done(RequestEnd::Streamed)
            }
            RelayEnd::ClientGone => Step::Done(RequestEnd::ClientGone),
            RelayEnd::OutOfTime => self.on_out_of_time(),
            RelayEnd::Broken => {
                // The connection is closed first, so that the runner stops before the next
                // one goes on.
                drop(answering);
                self.on_broken_stream(runner)
            }
        }
    }

    /// Only a stream that can go on elsewhere is left because of a pause.
    fn longest_pause(&self) -> Duration {
        let gap = self.route.gap_target_ms.filter(|_| self.could_follow());
        let silence = gap.map(|gap_ms| Duration::from_millis(gap_ms) * SILENT_PAUSES);
        silence.map_or(self.time_left(), |silence| silence.max(SHORTEST_SILENCE))
    }

    fn on_out_of_time(&mut self) -> Step {
        self.execution = Execution::Ran;
        self.give_up(GiveUp::OutOfTime)
    }

    fn on_broken_stream(&mut self, runner: RunnerId) -> Step {
        attempt::on_broken(self.node, &runner);
        let id = self.request.facts.id.as_str();
        let after = self.stream.join.last_id().unwrap_or_default();
        let begun = self.stream.begun;
        log::info!(target: "stream", request = id, runner = runner.as_str(), after, begun; "broken off");
        self.node.metrics.resumes.inc();
        self.on_lost(runner)
    }

    fn give_up(&mut self, reason: GiveUp) -> Step {
        let id = self.request.facts.id.as_str();
        let execution = format!("{:?}", self.execution);
        let reason_name = format!("{reason:?}");
        let runs = self.runs;
        log::info!(target: "request", request = id, reason = reason_name, execution, runs; "given up");
        if self.stream.begun {
            return Step::Done(RequestEnd::Cut);
        }
        if let Some(answer) = self.failure.take() {
            return Step::Done(RequestEnd::Whole(answer));
        }
        let answer = OwnAnswer::from(final_answer(self.execution, reason));
        Step::Done(RequestEnd::Own(answer))
    }
}
