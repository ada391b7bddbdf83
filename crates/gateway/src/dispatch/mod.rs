//! Makes attempts until a request has its final response.
//!
//! This module decides what may be repeated. A request that has certainly not been executed may be
//! sent to another runner. One that may have been executed is repeated only if its route allows it.
//! Both are subject to the retry budget, which all nodes share.

mod admission;
mod delivery;
mod planning;
mod successor;

use self::admission::Admission;
use self::delivery::Run;
use self::planning::{elapsed_ms, Plan};
use crate::attempt::{self, AttemptEnd, AttemptParams, AttemptResponse};
use crate::attempt_wait::EarlyEnd;
use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::intake::{BufferedResponse, ClientRequest, RequestOutcome};
use crate::local_responses::LocalResponse;
use crate::node::Node;
use crate::policy::PlacementRules;
use crate::prepared_connection::{self, ConnectionNeed, PrepareError, PreparedConnection};
use crate::quota::requester::{QuotaReservation, RunCost, SentReservation};
use crate::relay::StreamState;
use crate::response_head;
use crate::retry_charge::RetryCharge;
use crate::stream_origins::OriginRecorder;
use crate::usage::StartRecorder;
use pitchstall_serving::attempt::{final_response, EndReason, RunHistory};
use pitchstall_serving::configuration::{Configuration, EngineSpec, RequestKind, Route};
use pitchstall_serving::fleet::{Eligible, Scope, Sender};
use pitchstall_serving::framing_habit::{HeadDamage, ResponseKind};
use pitchstall_serving::ids::{RunnerId, ServiceName, SoftwareVersion};
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::request::Work;
use pitchstall_serving::request_identity::RequestIdentity;
use pitchstall_serving::retry_budget::ArrivalLedger;
use pitchstall_serving::scheduling::Progress;
use pitchstall_serving::tenancy::Tenant;
use pitchstall_serving::urgency::rank;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of unreachable runners that are tried before a request fails.
const MAX_UNREACHABLE_RUNNERS: usize = 8;
/// Share of the remaining time that one attempt may take if another one could follow.
const MAX_ATTEMPT_TIME_SHARE: f64 = 0.45;
/// Time without data from a runner after which the runner is probed, as a share of the request's
/// target time.
const PROBE_AFTER_TARGET_SHARE: f64 = 0.5;

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
    /// The charge to the retry budget for the next extra attempt.
    retry_charge: Rc<RetryCharge>,
    deadline: Instant,
    /// The runs so far, and what they show about the execution of the request.
    runs: RunHistory,
    /// Determines which requests sent to runners are charged to the retry budget.
    arrivals: ArrivalLedger,
    /// The runners to which a run or a prefill of the request has been sent.
    sent_to: Vec<RunnerId>,
    excluded: Vec<RunnerId>,
    unreachable_count: usize,
    /// An error response of a runner, returned to the client if no attempt succeeds.
    runner_failure: Option<BufferedResponse>,
    stream: StreamState,
    /// The software version that began the stream, which alone may continue it; `None` if the client has received no
    /// event yet.
    version: Option<SoftwareVersion>,
    /// The versions at which no stream may begin yet; empty if the request is bound to a version or begins no stream that may
    /// be resumed.
    unrecorded_versions: Vec<SoftwareVersion>,
    /// The blamed part that this request tries, until its first run has been lost.
    tried_part: Cell<Option<RequestIdentity>>,
}

enum Step {
    Retry,
    Done(RequestOutcome),
}

/// An attempt that may be sent now: it is admitted, and there is a connection to its runner.
struct ReadyAttempt {
    plan: Plan,
    prepared: PreparedConnection,
    /// The reservation of the tenant's quota for the run; `None` if the run costs nothing.
    reservation: Option<SentReservation>,
}

/// How an attempt that was sent ended, up to and including the head of the response.
enum SentAttempt {
    /// The runner has begun to respond.
    Responding(Box<Run>),
    /// The runner has not executed the request and will not do so.
    Declined,
    /// There is no response, or its head is damaged. The runner may have executed the request.
    Lost(RunnerId),
    /// The node's link to the runner was lost. The runner may have executed the request, and can be
    /// reached through another node.
    LinkLost,
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
        let retry_charge = Rc::new(RetryCharge::new(node, &request.metadata.id, &service));
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
            retry_charge,
            deadline,
            runs: RunHistory::default(),
            arrivals: ArrivalLedger::default(),
            sent_to: Vec::new(),
            excluded: Vec::new(),
            unreachable_count: 0,
            runner_failure: None,
            stream: StreamState::new(
                request.metadata.last_event_id,
                route.resumable.then(|| OriginRecorder::new(node, request)),
            ),
            version: None,
            unrecorded_versions: Vec::new(),
            tried_part: Cell::new(None),
        }
    }

    /// Sets the tenant on whose behalf the request runs.
    pub fn for_tenant(self, tenant: Option<Rc<Tenant>>) -> Self {
        let metadata = &self.request.metadata;
        let run_cost =
            RunCost::of(tenant.as_ref(), metadata, self.rules.priority, self.config_version);
        Self { tenant, run_cost, ..self }
    }

    /// Sets the software version that began the stream which the request resumes; `None` if it may run anywhere.
    pub fn at_version(self, version: Option<SoftwareVersion>) -> Self {
        Self { version, ..self }
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
        let ready = match self.prepare_attempt().await {
            Ok(Some(ready)) => ready,
            Ok(None) => return Step::Retry,
            Err(reason) => return self.give_up(reason),
        };
        match self.send_attempt(ready).await {
            SentAttempt::Responding(run) => self.deliver(run, client).await,
            SentAttempt::Declined => Step::Retry,
            SentAttempt::Lost(runner) => self.on_lost(Some(runner)),
            SentAttempt::LinkLost => self.on_lost(None),
        }
    }

    /// Plans an attempt, connects to its runner and admits it. `None`: the planned runner cannot take
    /// the request, and another one may be chosen.
    async fn prepare_attempt(&mut self) -> Result<Option<ReadyAttempt>, EndReason> {
        if self.time_remaining().is_zero() {
            return Err(EndReason::OutOfTime);
        }
        if self.is_quarantined() {
            return Err(EndReason::Quarantined);
        }
        let plan = self.plan().await?;
        let prepared = match prepared_connection::prepare(
            self.node,
            &plan.choice,
            &self.connection_need(&plan.choice.runner),
        )
        .await
        {
            Ok(prepared) => prepared,
            // The runner is no longer a candidate, so another one is chosen.
            Err(PrepareError::Withheld) => return Ok(None),
            Err(PrepareError::Unreachable) => {
                plan.report(Progress::Unreachable(plan.choice.runner.clone()));
                self.on_unreachable(plan.choice.runner)?;
                return Ok(None);
            }
        };
        let admission = self.admit(&plan).await?;
        Ok(match admission {
            Admission::Admitted(reservation) => Some(ReadyAttempt { plan, prepared, reservation }),
            Admission::Withheld => None,
        })
    }

    fn connection_need(&self, runner: &RunnerId) -> ConnectionNeed {
        let is_verified = self.runs.is_fate_unknown();
        let is_new = self.sent_to.contains(runner);
        ConnectionNeed { is_verified, is_new, zones: self.rules.zones.clone() }
    }

    /// Sends an attempt and waits for the head of its response. The run counts as begun from the start,
    /// so that dropping the future leaves it counted.
    async fn send_attempt(&mut self, ready: ReadyAttempt) -> SentAttempt {
        let ReadyAttempt { plan, prepared, reservation } = ready;
        let work = match &plan.prefilled {
            Some(prompt) => Work::DecodeFrom(prompt.handle.clone()),
            None => Work::Run,
        };
        self.runs.on_sent();
        self.sent_to.push(plan.choice.runner.clone());
        let params = self.attempt_params(work, &plan.choice);
        let sent_at = Instant::now();
        let mut start_recorder = self.start_recorder(sent_at);
        let end = attempt::send(self.node, self.request, prepared, &params).await;
        match (&end, reservation) {
            (AttemptEnd::Declined(_), reservation) => {
                self.reservation = reservation.and_then(SentReservation::on_not_run)
            }
            (_, Some(reservation)) => reservation.on_started(),
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
                match self.check_head(&response) {
                    Ok(()) => SentAttempt::Responding(Box::new(Run::new(*response, plan))),
                    Err(damage) => {
                        self.on_damaged_head(*response, damage);
                        SentAttempt::Lost(plan.choice.runner)
                    }
                }
            }
            AttemptEnd::Declined(proof) => {
                start_recorder.on_declined();
                plan.report(Progress::Declined(plan.choice.runner.clone()));
                self.excluded.push(plan.choice.runner);
                self.runs.on_not_run(proof);
                SentAttempt::Declined
            }
            AttemptEnd::Lost | AttemptEnd::NoResponse => {
                start_recorder.on_no_response();
                self.is_counted = true;
                SentAttempt::Lost(plan.choice.runner)
            }
            AttemptEnd::LinkLost => {
                start_recorder.on_no_response();
                self.is_counted = true;
                SentAttempt::LinkLost
            }
        }
    }

    /// Whether the request is quarantined and must not be sent to a runner. Checked before each
    /// send.
    fn is_quarantined(&self) -> bool {
        self.node.is_quarantined(|| self.identity()) || self.has_blamed_part()
    }

    /// Whether a part of the prompt is blamed for crashes, unless this request tries whether it is harmless.
    fn has_blamed_part(&self) -> bool {
        let has_lost_run = self.runs.has_failed_run();
        let Some(part) = self.node.blamed_part(self.request, has_lost_run) else { return false };
        if self.tried_part.get() == Some(part) {
            return false;
        }
        let is_trial = !has_lost_run && self.node.begin_part_trial(part);
        if is_trial {
            self.tried_part.set(Some(part));
        }
        !is_trial
    }

    /// Kind of the responses that the route's runners send on success.
    fn response_kind(&self) -> ResponseKind {
        match self.route.kind {
            RequestKind::Streaming => ResponseKind::Stream,
            RequestKind::Idempotent | RequestKind::NonIdempotent => ResponseKind::Plain,
        }
    }

    fn check_head(&self, response: &AttemptResponse) -> Result<(), HeadDamage> {
        let id = &self.request.metadata.id;
        response_head::check(self.node, id, response, self.response_kind())
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
            head_timeout: self.time_remaining(),
            early_end: self.early_end(),
            expected_prefill: Duration::from_micros(choice.expected_prefill_us),
            probe_after: Duration::from_millis(self.route.target_ms)
                .mul_f64(PROBE_AFTER_TARGET_SHARE),
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

    /// When the next attempt is ended so that another one can follow; `None` if none may follow. The
    /// next attempt itself is one of the runs that have begun.
    fn early_end(&self) -> Option<EarlyEnd> {
        let head_timeout = Some(self.time_remaining().mul_f64(MAX_ATTEMPT_TIME_SHARE));
        let charge = self.retry_charge.clone();
        self.may_run_again().then_some(EarlyEnd { charge, head_timeout })
    }

    /// Whether the request may run once more in addition to the runs that have begun. Another run can go on only where
    /// it is known what the client has of the stream.
    fn may_run_again(&self) -> bool {
        self.route.is_repeatable()
            && self.runs.begun() < self.route.max_attempts
            && self.stream.deduplicator.may_continue()
    }

    fn on_unreachable(&mut self, runner: RunnerId) -> Result<(), EndReason> {
        self.excluded.push(runner);
        self.unreachable_count += 1;
        if self.unreachable_count >= MAX_UNREACHABLE_RUNNERS {
            return Err(EndReason::NoRunner);
        }
        Ok(())
    }

    /// Handles an attempt without a complete response. `excluded` is a runner that the request must
    /// not be sent to again.
    fn on_lost(&mut self, excluded: Option<RunnerId>) -> Step {
        self.runs.on_lost();
        self.tried_part.set(None);
        let excluded = excluded.filter(|runner| !self.is_only_one_of_its_version(runner));
        self.excluded.extend(excluded);
        self.retry_or_give_up()
    }

    /// Ends the request after a run without a complete response, unless it may run again.
    fn retry_or_give_up(&mut self) -> Step {
        if self.time_remaining().is_zero() {
            return self.give_up(EndReason::OutOfTime);
        }
        if self.may_run_again() {
            return Step::Retry;
        }
        self.give_up(EndReason::Failed)
    }

    /// Whether no other runner can continue the stream, so that this one may be tried again.
    fn is_only_one_of_its_version(&self, runner: &RunnerId) -> bool {
        let others: Vec<RunnerId> = self.excluded.iter().chain([runner]).cloned().collect();
        let eligible = Eligible { excluded: &others, ..self.eligible() };
        self.version.is_some()
            && !self.node.fleet.borrow().has_healthy(&eligible, self.node.now_us())
    }

    /// The runners that the request may go to.
    fn eligible(&self) -> Eligible<'_> {
        Eligible {
            sender: Sender::ThisNode,
            service: &self.service,
            excluded: &self.excluded,
            zones: self.rules.zones.as_ref(),
            version: self.version.as_ref(),
            excluded_versions: &self.unrecorded_versions,
            scope: Scope::AllRegions,
        }
    }

    fn give_up(&mut self, reason: EndReason) -> Step {
        let id = self.request.metadata.id.as_str();
        let execution = self.runs.execution();
        let execution_name = format!("{execution:?}");
        let reason_name = format!("{reason:?}");
        let runs = self.runs.begun();
        log::info!(target: "request", request = id, reason = reason_name, execution = execution_name, runs; "no further attempts");
        if reason == EndReason::Quarantined {
            let part = self.node.blamed_part(self.request, true);
            let part = part.map_or_else(String::new, |part| part.to_string());
            let identity = self.identity().to_string();
            log::info!(target: "crash", request = id, identity, part; "request not sent: quarantined");
        }
        if self.stream.is_head_sent {
            self.node.metrics.on_stream_cut(reason.name());
            return Step::Done(RequestOutcome::Truncated);
        }
        if let Some(response) = self.runner_failure.take() {
            return Step::Done(RequestOutcome::Buffered(response));
        }
        let response = LocalResponse::from(final_response(execution, reason));
        Step::Done(RequestOutcome::Local(response))
    }
}
