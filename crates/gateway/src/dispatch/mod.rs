//! Makes attempts until a request has its final answer.
//!
//! What may be repeated is decided here: a request that surely has not run may go to another
//! runner, one that may have run only if its route allows it, and both only within the retry
//! budget that all nodes share.

mod admission;
mod planning;

use self::admission::Admission;
use self::planning::elapsed_ms;
use crate::answers::OwnAnswer;
use crate::attempt::{self, Answering, AttemptEnd, AttemptParams, NotPrepared};
use crate::broken_attempt::{look_at_runner, on_broken, BrokenAttempt};
use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::intake::{ClientRequest, RequestEnd, WholeAnswer};
use crate::node::Node;
use crate::policy::PlacementRules;
use crate::quota::asking::{Payment, RunCost, Spent};
use crate::relay::{relay, RelayEnd, RelayLimits, StreamState};
use crate::usage::BeginMark;
use pitchstall_serving::attempt::{final_response, EndReason, Execution};
use pitchstall_serving::configuration::{Configuration, EngineSpec, RequestKind, Route};
use pitchstall_serving::event_stream::EventSplitter;
use pitchstall_serving::fleet::{Eligible, Scope, Sender};
use pitchstall_serving::ids::{RunnerId, ServiceName};
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::request::Work;
use pitchstall_serving::request_identity::RequestIdentity;
use pitchstall_serving::retry_budget::ArrivalLedger;
use pitchstall_serving::scheduling::Progress;
use pitchstall_serving::tenancy::Tenant;
use pitchstall_serving::urgency::rank;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Runners that are tried without reaching them before a request is given up.
const MOST_UNREACHABLE: usize = 8;
/// Part of the time left that one attempt may take when another could follow.
const ATTEMPT_SHARE: f64 = 0.45;
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
    /// The tenant for whom the request runs.
    tenant: Option<Rc<Tenant>>,
    /// Whether the configuration has tenants.
    has_tenants: bool,
    version: u64,
    /// What a run costs the tenant; `None`: nothing.
    run_cost: Option<RunCost>,
    /// The next run, if it is paid for by the tenant's keepers.
    payment: Option<Payment>,
    /// Whether the request has been counted as begun.
    is_counted: bool,
    /// Whether the next attempt is paid for: it was when the one before was left.
    is_prepaid: bool,
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

enum Step {
    Again,
    Done(RequestEnd),
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
            tenant: None,
            has_tenants: !configuration.tenants.is_empty(),
            version: configuration.version,
            run_cost: None,
            payment: None,
            is_counted: false,
            is_prepaid: false,
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

    /// The request runs for a tenant.
    pub fn for_tenant(self, tenant: Option<Rc<Tenant>>) -> Self {
        let facts = &self.request.facts;
        let run_cost = RunCost::of(tenant.as_ref(), facts, self.rules.priority, self.version);
        Self { tenant, run_cost, ..self }
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
            return self.give_up(EndReason::OutOfTime);
        }
        if self.is_quarantined() {
            return self.give_up(EndReason::Quarantined);
        }
        let plan = match self.plan().await {
            Ok(plan) => plan,
            Err(reason) => return self.give_up(reason),
        };
        let prepared = match attempt::prepare(self.node, &plan.choice).await {
            Ok(prepared) => prepared,
            // The runner is no candidate any more: another one is chosen.
            Err(NotPrepared::Withheld) => return Step::Again,
            Err(NotPrepared::Unreachable) => {
                plan.tell(Progress::Unreachable(plan.choice.runner.clone()));
                return self.on_unreachable(plan.choice.runner);
            }
        };
        let spent = match self.admit(&plan).await {
            Ok(Admission::Paid(spent)) => spent,
            Ok(Admission::Withheld) => return Step::Again,
            Err(reason) => return self.give_up(reason),
        };
        let work = match &plan.prompt {
            Some(prompt) => Work::DecodeFrom(prompt.handle.clone()),
            None => Work::Run,
        };
        let params = self.params(work, &plan.choice);
        let sent_at = Instant::now();
        let mut begin = self.begin_mark(sent_at);
        let end = attempt::send(self.node, self.request, prepared, &params).await;
        match (&end, spent) {
            (AttemptEnd::Declined, spent) => self.payment = spent.map(Spent::not_run),
            (_, Some(spent)) => spent.on_begun(),
            (_, None) => {}
        }
        match end {
            AttemptEnd::Answering(answering) => {
                begin.on_answer();
                self.is_counted = true;
                if let Some(prompt) = &plan.prompt {
                    prompt.on_taken();
                } else {
                    plan.tell(Progress::Prefilled(elapsed_ms(sent_at)));
                }
                self.deliver(*answering, client).await
            }
            AttemptEnd::Declined => {
                begin.on_declined();
                plan.tell(Progress::Declined(plan.choice.runner.clone()));
                self.excluded.push(plan.choice.runner);
                Step::Again
            }
            AttemptEnd::Lost | AttemptEnd::Silent => {
                begin.on_lost();
                self.is_counted = true;
                self.on_lost(plan.choice.runner)
            }
        }
    }

    /// Whether it reaches no runner any more: asked before each time that it would.
    fn is_quarantined(&self) -> bool {
        self.node.is_quarantined(|| self.identity())
    }

    fn identity(&self) -> RequestIdentity {
        self.request.identity(self.tenant.as_ref().map(|tenant| &tenant.name))
    }

    /// Counts the request for its tenant when it begins to run; once, however often it is repeated.
    fn begin_mark(&self, sent_at: Instant) -> BeginMark {
        let tenant = self.tenant.as_ref().filter(|_| !self.is_counted);
        let tenant = tenant.map(|tenant| tenant.name.clone());
        BeginMark::new(self.node, tenant, sent_at, self.engine.is_none())
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn params(&self, work: Work, choice: &RunnerChoice) -> AttemptParams {
        AttemptParams {
            fetch_from: self.address_of(choice.fetch_from.as_ref()),
            work,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
            has_tenants: self.has_tenants,
            priority: self
                .engine
                .as_ref()
                .map(|_| rank(self.rules.priority, choice, self.route.target_ms as f64)),
            after_event: self.resume_point(),
            deadline: self.deadline,
            head_limit: self.attempt_limit(),
            expected: Duration::from_micros(choice.expected_prefill_us),
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
        self.node.with_retry_budget(&self.service, |budget| budget.has_attempt())
    }

    fn on_unreachable(&mut self, runner: RunnerId) -> Step {
        self.excluded.push(runner);
        self.unreachable += 1;
        if self.unreachable >= MOST_UNREACHABLE {
            return self.give_up(EndReason::NoRunner);
        }
        Step::Again
    }

    fn on_lost(&mut self, runner: RunnerId) -> Step {
        self.execution = self.execution.max(Execution::Unknown);
        self.runs += 1;
        self.excluded.push(runner);
        if self.time_left().is_zero() {
            return self.give_up(EndReason::OutOfTime);
        }
        if self.may_run_again(0) {
            return Step::Again;
        }
        self.give_up(EndReason::Failed)
    }

    async fn deliver(&mut self, mut answering: Answering, client: &ClientConnection) -> Step {
        answering.flight.on_read();
        self.node.on_prefix_cached(&answering.record.id, self.prompt.shared_prefix());
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
                on_broken(self.node, self.broken(&runner));
                return self.on_lost(runner);
            }
            Err(_) => return self.on_lost(runner),
        };
        let is_framed = !answering.ends_with_connection();
        answering.give_back(self.node);
        // A failure may come from a runner that has not begun to run it.
        if (200..300).contains(&answer.status) {
            self.on_success(&runner, is_framed);
        }
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

    /// A runner has answered with success. Where only the end of the connection tells that the answer
    /// is whole, the runner may as well have ended.
    fn on_success(&self, runner: &RunnerId, is_framed: bool) {
        if is_framed {
            self.node.on_request_succeeded(|| self.identity());
        } else {
            look_at_runner(self.node, self.broken(runner));
        }
    }

    fn done_whole(&self, answer: WholeAnswer) -> Step {
        if self.stream.begun {
            return Step::Done(RequestEnd::Cut);
        }
        Step::Done(RequestEnd::Whole(answer))
    }

    async fn deliver_stream(&mut self, answering: Answering, client: &ClientConnection) -> Step {
        let runner = answering.record.id.clone();
        let mut splitter = EventSplitter::default();
        let end = loop {
            let limits = RelayLimits { deadline: self.deadline, pause: self.longest_pause() };
            let end = relay(&answering, client, &mut self.stream, &mut splitter, limits).await;
            if end != RelayEnd::Silent || self.may_leave(&runner) {
                break end;
            }
        };
        match end {
            RelayEnd::Complete => {
                let is_framed = !answering.ends_with_connection();
                answering.give_back(self.node);
                self.on_success(&runner, is_framed);
                Step::Done(RequestEnd::Streamed)
            }
            RelayEnd::ClientGone => Step::Done(RequestEnd::ClientGone),
            RelayEnd::OutOfTime => self.on_out_of_time(),
            RelayEnd::Broken | RelayEnd::Silent => {
                // The connection is closed first, so that the runner stops before the next
                // one goes on.
                drop(answering);
                self.on_broken_stream(runner)
            }
        }
    }

    /// Whether a run that is silent is left: only if another runner is there to go on, and what that
    /// costs is paid. Silence alone is no reason to end an answer sooner.
    fn may_leave(&mut self, runner: &RunnerId) -> bool {
        let others: Vec<RunnerId> = self.excluded.iter().chain([runner]).cloned().collect();
        let eligible = Eligible {
            sender: Sender::ThisNode,
            service: &self.service,
            excluded: &others,
            zones: self.rules.zones.as_ref(),
            scope: Scope::AllRegions,
        };
        let has_other = self.node.fleet.borrow().has_healthy(&eligible, self.node.now_us());
        self.is_prepaid =
            self.is_prepaid || (has_other && self.may_run_again(1) && self.withdraw());
        self.is_prepaid
    }

    /// Only a stream that can go on elsewhere is left because of a pause.
    fn longest_pause(&self) -> Duration {
        let gap = self.route.gap_target_ms.filter(|_| self.could_follow());
        let silence = gap.map(|gap_ms| Duration::from_millis(gap_ms) * SILENT_PAUSES);
        silence.map_or(self.time_left(), |silence| silence.max(SHORTEST_SILENCE))
    }

    fn on_out_of_time(&mut self) -> Step {
        self.execution = Execution::Ran;
        self.give_up(EndReason::OutOfTime)
    }

    fn broken<'b>(&'b self, runner: &'b RunnerId) -> BrokenAttempt<'b> {
        let tenant = self.tenant.as_ref().map(|tenant| &tenant.name);
        BrokenAttempt { request: self.request, tenant, runner }
    }

    fn on_broken_stream(&mut self, runner: RunnerId) -> Step {
        on_broken(self.node, self.broken(&runner));
        let id = self.request.facts.id.as_str();
        let after = self.stream.join.last_id().unwrap_or_default();
        let begun = self.stream.begun;
        log::info!(target: "stream", request = id, runner = runner.as_str(), after, begun; "broken off");
        self.node.metrics.resumes.inc();
        self.on_lost(runner)
    }

    fn give_up(&mut self, reason: EndReason) -> Step {
        let id = self.request.facts.id.as_str();
        let execution = format!("{:?}", self.execution);
        let reason_name = format!("{reason:?}");
        let runs = self.runs;
        log::info!(target: "request", request = id, reason = reason_name, execution, runs; "given up");
        if reason == EndReason::Quarantined {
            let identity = self.identity().to_string();
            log::info!(target: "crash", request = id, identity; "held back");
        }
        if self.stream.begun {
            return Step::Done(RequestEnd::Cut);
        }
        if let Some(answer) = self.failure.take() {
            return Step::Done(RequestEnd::Whole(answer));
        }
        let answer = OwnAnswer::from(final_response(self.execution, reason));
        Step::Done(RequestEnd::Own(answer))
    }
}
