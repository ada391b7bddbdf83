//! Makes attempts until a request has its final response.
//!
//! This module decides what may be repeated. A request that has certainly not been executed may be
//! sent to another runner. One that may have been executed is repeated only if its route allows it.
//! Both are subject to the retry budget, which all nodes share.

mod admission;
mod planning;

use self::admission::Admission;
use self::planning::elapsed_ms;
use crate::attempt::{self, AttemptEnd, AttemptParams, AttemptResponse, PrepareError};
use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::intake::{BufferedResponse, ClientRequest, RequestOutcome};
use crate::interrupted_attempt::{on_interrupted, record_and_probe, InterruptedAttempt};
use crate::local_responses::LocalResponse;
use crate::node::Node;
use crate::policy::PlacementRules;
use crate::quota::requester::{QuotaReservation, RunCost, SentReservation};
use crate::relay::{relay, RelayLimits, RelayOutcome, StreamState};
use crate::usage::StartRecorder;
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

/// Maximum number of unreachable runners that are tried before a request fails.
const MAX_UNREACHABLE_RUNNERS: usize = 8;
/// Share of the remaining time that one attempt may take if another one could follow.
const MAX_ATTEMPT_TIME_SHARE: f64 = 0.45;
/// Time without data from a runner after which the runner is probed, as a share of the request's
/// target time.
const PROBE_AFTER_TARGET_SHARE: f64 = 0.5;
/// Maximum gap between two events of a stream, as a multiple of the route's gap target, before the
/// stream counts as stalled.
const STALL_GAP_TARGETS: u32 = 4;
/// Minimum gap between two events after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request that is being dispatched until it has its final response.
pub struct Dispatch<'a> {
    node: &'a Rc<Node>,
    request: &'a ClientRequest,
    route: &'a Route,
    service: ServiceName,
    engine: Option<EngineSpec>,
    prompt: Prompt,
    /// The decision of the operators' policy program.
    rules: PlacementRules,
    /// The tenant on whose behalf the request runs.
    tenant: Option<Rc<Tenant>>,
    /// Whether the configuration has tenants.
    has_tenants: bool,
    config_version: u64,
    /// What a run costs the tenant; `None` if it costs nothing.
    run_cost: Option<RunCost>,
    /// The reservation for the next run; `None` if the keepers of the tenant's quota have not
    /// granted one yet, or if the run costs nothing.
    reservation: Option<QuotaReservation>,
    /// Whether the request has been counted as begun for its tenant.
    is_counted: bool,
    /// Whether the retry budget has already been charged for the next attempt, which happens when a
    /// stalled attempt is abandoned.
    has_charged_retry: bool,
    deadline: Instant,
    /// Whether the request has been executed, as far as the attempts so far show.
    execution: Execution,
    /// Number of attempts that may have been executed.
    runs: u32,
    /// Determines which requests sent to runners are charged to the retry budget.
    arrivals: ArrivalLedger,
    excluded: Vec<RunnerId>,
    unreachable_count: usize,
    /// An error response of a runner, returned to the client if no attempt succeeds.
    runner_failure: Option<BufferedResponse>,
    stream: StreamState,
}

enum Step {
    Retry,
    Done(RequestOutcome),
}

impl<'a> Dispatch<'a> {
    /// Creates the dispatch of a request that has not been sent to any runner.
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
            prompt: request.metadata.prompt.clone().unwrap_or_default(),
            rules,
            tenant: None,
            has_tenants: !configuration.tenants.is_empty(),
            config_version: configuration.version,
            run_cost: None,
            reservation: None,
            is_counted: false,
            has_charged_retry: false,
            deadline,
            execution: Execution::NotRun,
            runs: 0,
            arrivals: ArrivalLedger::default(),
            excluded: Vec::new(),
            unreachable_count: 0,
            runner_failure: None,
            stream: StreamState::new(request.metadata.last_event_id),
        }
    }

    /// Sets the tenant on whose behalf the request runs.
    pub fn for_tenant(self, tenant: Option<Rc<Tenant>>) -> Self {
        let metadata = &self.request.metadata;
        let run_cost =
            RunCost::of(tenant.as_ref(), metadata, self.rules.priority, self.config_version);
        Self { tenant, run_cost, ..self }
    }

    /// Makes attempts until there is a final response.
    pub async fn run(mut self, client: &ClientConnection) -> RequestOutcome {
        loop {
            if let Step::Done(end) = self.run_next_attempt(client).await {
                return end;
            }
        }
    }

    async fn run_next_attempt(&mut self, client: &ClientConnection) -> Step {
        if self.time_remaining().is_zero() {
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
            // The runner is no longer a candidate, so another one is chosen.
            Err(PrepareError::Withheld) => return Step::Retry,
            Err(PrepareError::Unreachable) => {
                plan.report(Progress::Unreachable(plan.choice.runner.clone()));
                return self.on_unreachable(plan.choice.runner);
            }
        };
        let sent_reservation = match self.admit(&plan).await {
            Ok(Admission::Admitted(sent_reservation)) => sent_reservation,
            Ok(Admission::Withheld) => return Step::Retry,
            Err(reason) => return self.give_up(reason),
        };
        let work = match &plan.prefilled {
            Some(prompt) => Work::DecodeFrom(prompt.handle.clone()),
            None => Work::Run,
        };
        let params = self.attempt_params(work, &plan.choice);
        let sent_at = Instant::now();
        let mut start_recorder = self.start_recorder(sent_at);
        let end = attempt::send(self.node, self.request, prepared, &params).await;
        match (&end, sent_reservation) {
            (AttemptEnd::Declined, sent_reservation) => {
                self.reservation = sent_reservation.map(SentReservation::on_not_run)
            }
            (_, Some(sent_reservation)) => sent_reservation.on_started(),
            (_, None) => {}
        }
        match end {
            AttemptEnd::Responding(response) => {
                start_recorder.on_response();
                self.is_counted = true;
                if let Some(prompt) = &plan.prefilled {
                    prompt.mark_transferred();
                } else {
                    plan.report(Progress::Prefilled(elapsed_ms(sent_at)));
                }
                self.deliver(*response, client).await
            }
            AttemptEnd::Declined => {
                start_recorder.on_declined();
                plan.report(Progress::Declined(plan.choice.runner.clone()));
                self.excluded.push(plan.choice.runner);
                Step::Retry
            }
            AttemptEnd::Lost | AttemptEnd::NoResponse => {
                start_recorder.on_no_response();
                self.is_counted = true;
                self.on_lost(plan.choice.runner)
            }
        }
    }

    /// Whether the request is quarantined and must not be sent to a runner. Checked before each
    /// send.
    fn is_quarantined(&self) -> bool {
        self.node.is_quarantined(|| self.identity())
    }

    fn identity(&self) -> RequestIdentity {
        self.request.identity(self.tenant.as_ref().map(|tenant| &tenant.name))
    }

    /// A recorder that counts the request for its tenant when it begins to run. A request is
    /// counted once, however often it is repeated.
    fn start_recorder(&self, sent_at: Instant) -> StartRecorder {
        let tenant = self.tenant.as_ref().filter(|_| !self.is_counted);
        let tenant = tenant.map(|tenant| tenant.name.clone());
        StartRecorder::new(self.node, tenant, sent_at, self.engine.is_none())
    }

    fn time_remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn attempt_params(&self, work: Work, choice: &RunnerChoice) -> AttemptParams {
        AttemptParams {
            fetch_from: self.address_of(choice.fetch_from.as_ref()),
            work,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
            has_tenants: self.has_tenants,
            priority: self
                .engine
                .as_ref()
                .map(|_| rank(self.rules.priority, choice, self.route.target_ms as f64)),
            after_event: self.resume_after_event(),
            deadline: self.deadline,
            head_timeout: self.attempt_timeout(),
            expected_prefill: Duration::from_micros(choice.expected_prefill_us),
            probe_after: Duration::from_millis(self.route.target_ms)
                .mul_f64(PROBE_AFTER_TARGET_SHARE),
            abandons_suspects: self.allows_another_attempt(),
        }
    }

    fn address_of(&self, runner: Option<&RunnerId>) -> Option<SocketAddr> {
        let fleet = self.node.fleet.borrow();
        Some(fleet.get(runner?)?.record.address)
    }

    /// The event after which this node resumes a stream; `None` if nothing has been sent to the
    /// client.
    fn resume_after_event(&self) -> Option<u64> {
        if self.stream.is_head_sent {
            self.stream.deduplicator.last_id()
        } else {
            None
        }
    }

    /// How long an attempt may take. A slow attempt is only ended early if another one can follow.
    fn attempt_timeout(&self) -> Duration {
        let remaining = self.time_remaining();
        if self.allows_another_attempt() {
            remaining.mul_f64(MAX_ATTEMPT_TIME_SHARE)
        } else {
            remaining
        }
    }

    /// Whether another attempt may follow the current one.
    fn allows_another_attempt(&self) -> bool {
        self.may_run_again(1) && self.has_retry_budget()
    }

    /// Whether the request may run once more after `further` runs in addition to the past ones.
    fn may_run_again(&self, further: u32) -> bool {
        self.route.is_repeatable() && self.runs + further < self.route.max_attempts
    }

    fn has_retry_budget(&self) -> bool {
        self.node.with_retry_budget(&self.service, |budget| budget.has_attempt())
    }

    fn on_unreachable(&mut self, runner: RunnerId) -> Step {
        self.excluded.push(runner);
        self.unreachable_count += 1;
        if self.unreachable_count >= MAX_UNREACHABLE_RUNNERS {
            return self.give_up(EndReason::NoRunner);
        }
        Step::Retry
    }

    fn on_lost(&mut self, runner: RunnerId) -> Step {
        self.execution = self.execution.max(Execution::Unknown);
        self.runs += 1;
        self.excluded.push(runner);
        if self.time_remaining().is_zero() {
            return self.give_up(EndReason::OutOfTime);
        }
        if self.may_run_again(0) {
            return Step::Retry;
        }
        self.give_up(EndReason::Failed)
    }

    async fn deliver(&mut self, mut response: AttemptResponse, client: &ClientConnection) -> Step {
        response.in_flight.on_prefilled();
        self.node.on_prefix_cached(&response.record.id, self.prompt.shared_prefix());
        let first_byte = self.request.received_at.elapsed().as_secs_f64();
        self.node.metrics.first_byte.observe(first_byte);
        let success = (200..300).contains(&response.head.status);
        if success && self.route.kind == RequestKind::Streaming {
            self.deliver_stream(response, client).await
        } else {
            self.deliver_complete(response).await
        }
    }

    async fn deliver_complete(&mut self, response: AttemptResponse) -> Step {
        let runner = response.record.id.clone();
        let full_response = match timeout(self.attempt_timeout(), response.read_all()).await {
            Ok(Ok(full_response)) => full_response,
            Ok(Err(error)) => {
                let error = error.to_string();
                let id = self.request.metadata.id.as_str();
                log::info!(target: "attempt", request = id, runner = runner.as_str(), error; "response interrupted");
                on_interrupted(self.node, self.interrupted_attempt(&runner));
                return self.on_lost(runner);
            }
            Err(_) => return self.on_lost(runner),
        };
        let is_framed = !response.ends_with_connection();
        response.return_connection(self.node);
        // An error response may come from a runner that has not begun to execute the request.
        if (200..300).contains(&full_response.status) {
            self.on_success(&runner, is_framed);
        }
        const MIN_SERVER_ERROR_STATUS: u16 = 500;
        if full_response.status < MIN_SERVER_ERROR_STATUS || self.stream.is_head_sent {
            return self.finish_complete(full_response);
        }
        self.execution = Execution::Ran;
        self.runs += 1;
        self.excluded.push(runner);
        if !self.may_run_again(0) || !self.has_retry_budget() {
            return self.finish_complete(full_response);
        }
        self.runner_failure = Some(full_response);
        Step::Retry
    }

    /// Handles a successful response. If only the end of the connection marked the end of the body,
    /// the runner may have crashed before the real end, so it is probed.
    fn on_success(&self, runner: &RunnerId, is_framed: bool) {
        if is_framed {
            self.node.on_request_succeeded(|| self.identity());
        } else {
            record_and_probe(self.node, self.interrupted_attempt(runner));
        }
    }

    fn finish_complete(&mut self, full_response: BufferedResponse) -> Step {
        if self.stream.is_head_sent {
            return self.give_up(EndReason::Failed);
        }
        Step::Done(RequestOutcome::Buffered(full_response))
    }

    async fn deliver_stream(
        &mut self,
        response: AttemptResponse,
        client: &ClientConnection,
    ) -> Step {
        let runner = response.record.id.clone();
        let mut splitter = EventSplitter::default();
        let end = loop {
            let limits = RelayLimits { deadline: self.deadline, max_pause: self.max_stream_gap() };
            let end = relay(&response, client, &mut self.stream, &mut splitter, limits).await;
            if !matches!(end, RelayOutcome::Stalled) || self.may_abandon(&runner) {
                break end;
            }
        };
        match end {
            RelayOutcome::Complete => {
                let is_framed = !response.ends_with_connection();
                response.return_connection(self.node);
                self.on_success(&runner, is_framed);
                Step::Done(RequestOutcome::Streamed)
            }
            RelayOutcome::ClientDisconnected => Step::Done(RequestOutcome::ClientDisconnected),
            RelayOutcome::DeadlineExceeded => self.on_out_of_time(),
            RelayOutcome::ConnectionLost(error) => {
                drop(response);
                self.on_stream_interrupted(runner, &error.to_string())
            }
            RelayOutcome::Stalled => {
                // Dropping the response closes the connection, so that this runner stops before the
                // next one continues.
                drop(response);
                self.on_stream_interrupted(runner, "abandoned after a pause")
            }
        }
    }

    /// Whether a stalled run may be abandoned. This requires another healthy runner, a route that
    /// allows another run, and the retry budget for it, which is charged here. A stall alone is no
    /// reason to end a response early.
    fn may_abandon(&mut self, runner: &RunnerId) -> bool {
        let others: Vec<RunnerId> = self.excluded.iter().chain([runner]).cloned().collect();
        let eligible = Eligible {
            sender: Sender::ThisNode,
            service: &self.service,
            excluded: &others,
            zones: self.rules.zones.as_ref(),
            scope: Scope::AllRegions,
        };
        let has_other = self.node.fleet.borrow().has_healthy(&eligible, self.node.now_us());
        self.has_charged_retry =
            self.has_charged_retry || (has_other && self.may_run_again(1) && self.charge_retry());
        self.has_charged_retry
    }

    /// Maximum gap between two events. Only a stream that can be continued by another runner is
    /// abandoned because of a gap.
    fn max_stream_gap(&self) -> Duration {
        let gap = self.route.gap_target_ms.filter(|_| self.allows_another_attempt());
        let max_gap = gap.map(|gap_ms| Duration::from_millis(gap_ms) * STALL_GAP_TARGETS);
        max_gap.map_or(self.time_remaining(), |max_gap| max_gap.max(MIN_STALL_TIMEOUT))
    }

    fn on_out_of_time(&mut self) -> Step {
        self.execution = Execution::Ran;
        self.give_up(EndReason::OutOfTime)
    }

    fn interrupted_attempt<'b>(&'b self, runner: &'b RunnerId) -> InterruptedAttempt<'b> {
        let tenant = self.tenant.as_ref().map(|tenant| &tenant.name);
        InterruptedAttempt { request: self.request, tenant, runner }
    }

    fn on_stream_interrupted(&mut self, runner: RunnerId, cause: &str) -> Step {
        on_interrupted(self.node, self.interrupted_attempt(&runner));
        let id = self.request.metadata.id.as_str();
        let after = self.stream.deduplicator.last_id().unwrap_or_default();
        let begun = self.stream.is_head_sent;
        let silent_ms = self.stream.last_event_at.map_or(0, elapsed_ms);
        log::info!(target: "stream", request = id, runner = runner.as_str(), after, begun, cause, silent_ms; "stream interrupted");
        self.node.metrics.resumes.inc();
        self.on_lost(runner)
    }

    fn give_up(&mut self, reason: EndReason) -> Step {
        let id = self.request.metadata.id.as_str();
        let execution = format!("{:?}", self.execution);
        let reason_name = format!("{reason:?}");
        let runs = self.runs;
        log::info!(target: "request", request = id, reason = reason_name, execution, runs; "no further attempts");
        if reason == EndReason::Quarantined {
            let identity = self.identity().to_string();
            log::info!(target: "crash", request = id, identity; "request not sent: quarantined");
        }
        if self.stream.is_head_sent {
            self.node.metrics.on_stream_cut(reason.name());
            return Step::Done(RequestOutcome::Truncated);
        }
        if let Some(response) = self.runner_failure.take() {
            return Step::Done(RequestOutcome::Buffered(response));
        }
        let response = LocalResponse::from(final_response(self.execution, reason));
        Step::Done(RequestOutcome::Local(response))
    }
}
