//! A request at the door: everything that can be refused is refused here, at once.

use crate::exchange::{Exchange, HeldPart, Origin, Stage};
use crate::io::Output;
use crate::node::Node;
use pitchstall_coordination::claims::claim_key;
use pitchstall_coordination::placement::stable_hash;
use pitchstall_coordination::stream::StreamAssembler;
use pitchstall_protocol::caller::{CallerEvent, CompletionRequest, TextDigest};
use pitchstall_protocol::configuration::{ServiceSpec, TenantSpec};
use pitchstall_protocol::error::{ErrorBody, ErrorCode};
use pitchstall_protocol::ids::{ConnectionId, NodeId, RequestId, ServiceName, ZoneId};
use pitchstall_protocol::peer::PeerMessage;
use pitchstall_scheduling::limits::LimitDecision;
use pitchstall_scheduling::policy::{PolicyDecision, PolicyError, PolicyInput};
use pitchstall_scheduling::queue::Entry;
use pitchstall_scheduling::routing::prefix_blocks;
use std::collections::BTreeSet;
use std::time::Duration;

/// Milliseconds after which a request refused by a leaving node may be sent to another one.
const RETRY_ELSEWHERE_MS: u64 = 50;
/// Milliseconds after which a node that is starting may have its configuration.
const RETRY_WHEN_STARTED_MS: u64 = 500;
/// Most times that a request is passed between zones.
pub(crate) const HOP_LIMIT: u8 = 1;

impl Node {
    pub(crate) fn on_submit(&mut self, connection: ConnectionId, request: CompletionRequest) {
        self.counters.submitted += 1;
        if self.exchanges.contains_key(&request.request) {
            let error = ErrorBody::failed(
                ErrorCode::KeyInUse,
                pitchstall_protocol::error::Execution::Unknown,
                "a request of this identifier is in work here",
            );
            self.refuse(&Origin::Connection(connection), &request.request, error);
            return;
        }
        self.connections.insert(connection, request.request.clone());
        self.admit(Origin::Connection(connection), request);
    }

    /// Takes in a request that another node forwarded.
    pub(crate) fn on_forward(&mut self, from: NodeId, request: CompletionRequest) {
        let id = request.request.clone();
        // A doubled message; the first one is in work.
        if !self.exchanges.contains_key(&id) {
            self.admit(Origin::Peer(from.clone()), request);
        }
        if self.exchanges.contains_key(&id) {
            self.tell_peer(&from, PeerMessage::ForwardsInWork { requests: vec![id] });
        }
    }

    fn admit(&mut self, origin: Origin, request: CompletionRequest) {
        match self.examine(&origin, &request) {
            Ok(exchange) => self.accept(exchange),
            Err(error) => self.refuse_at_door(&origin, &request, error),
        }
    }

    fn examine(
        &mut self,
        origin: &Origin,
        request: &CompletionRequest,
    ) -> Result<Exchange, ErrorBody> {
        if self.is_leaving() {
            return Err(ErrorBody::refused(ErrorCode::Leaving, "this node is leaving")
                .retry_after_ms(RETRY_ELSEWHERE_MS));
        }
        let Some(document) = self.replica.document().cloned() else {
            return Err(ErrorBody::refused(
                ErrorCode::PlatformUnavailable,
                "this node has no configuration yet",
            )
            .retry_after_ms(RETRY_WHEN_STARTED_MS));
        };
        let configuration = &document.configuration;
        let service = configuration.services.get(&request.service).ok_or_else(|| {
            let message = format!("no service is named `{}`", request.service);
            ErrorBody::refused(ErrorCode::UnknownService, message)
        })?;
        let tenant = configuration.tenants.get(&request.tenant).ok_or_else(|| {
            ErrorBody::refused(ErrorCode::Unauthorized, "the key belongs to no tenant")
        })?;
        self.check_size(request, service, tenant)?;
        let decision = self.run_policy(request, service)?;
        let zones = decision.zones.unwrap_or_else(|| service.zones.clone());
        // The service's data may not be in this zone at all, so it may not be kept here.
        if !service.zones.contains(&self.settings.zone) {
            let message = format!("data of `{}` may not be in this zone", request.service);
            return Err(ErrorBody::refused(ErrorCode::ZoneForbidden, message));
        }
        if zones.is_empty() {
            let message = "the policy of the service leaves no zone for this request";
            return Err(ErrorBody::refused(ErrorCode::ZoneForbidden, message));
        }
        let may_stay = zones.contains(&self.settings.zone);
        if !may_stay && request.hops >= HOP_LIMIT {
            let message = "the policy of the service does not allow this zone";
            return Err(ErrorBody::refused(ErrorCode::ZoneForbidden, message));
        }
        let expected_output = self.expected_output(request);
        // The first node has charged the tenant for a forwarded request.
        if matches!(origin, Origin::Connection(_)) {
            let tokens = u64::from(request.estimated_prompt_tokens()) + expected_output;
            self.charge_tenant(request, tenant, tokens)?;
        }
        let priority = decision.priority.unwrap_or(service.priority);
        Ok(self.new_exchange(origin, request, service, zones, priority, expected_output))
    }

    fn check_size(
        &self,
        request: &CompletionRequest,
        service: &ServiceSpec,
        tenant: &TenantSpec,
    ) -> Result<(), ErrorBody> {
        if !tenant.services.is_empty() && !tenant.services.contains(&request.service) {
            let message = format!("the tenant may not use `{}`", request.service);
            return Err(ErrorBody::refused(ErrorCode::Forbidden, message));
        }
        let limits = &service.limits;
        if request.estimated_prompt_tokens() > limits.max_prompt_tokens {
            let message = format!("the prompt is longer than {} tokens", limits.max_prompt_tokens);
            return Err(ErrorBody::refused(ErrorCode::RequestTooLarge, message));
        }
        if request.max_tokens == 0 || request.max_tokens > limits.max_output_tokens {
            let message = format!("max_tokens must be from 1 to {}", limits.max_output_tokens);
            return Err(ErrorBody::refused(ErrorCode::InvalidRequest, message));
        }
        if !service.repeatable && request.idempotency_key.is_none() {
            let message =
                format!("requests to `{}` need an Idempotency-Key header", request.service);
            return Err(ErrorBody::refused(ErrorCode::InvalidRequest, message));
        }
        Ok(())
    }

    fn charge_tenant(
        &mut self,
        request: &CompletionRequest,
        tenant: &TenantSpec,
        tokens: u64,
    ) -> Result<(), ErrorBody> {
        let decision = self.limits.take(
            self.now.0,
            &request.tenant,
            tokens,
            tenant.tokens_per_second,
            tenant.burst_tokens,
        );
        match decision {
            LimitDecision::Within => Ok(()),
            LimitDecision::Exceeded { retry_after_ms } => {
                let message = "the tenant has used up its tokens for now";
                Err(ErrorBody::refused(ErrorCode::TenantLimit, message)
                    .retry_after_ms(retry_after_ms))
            }
            LimitDecision::TooLarge => {
                let message = format!(
                    "the request is larger than the tenant's {} tokens",
                    tenant.burst_tokens
                );
                Err(ErrorBody::refused(ErrorCode::RequestTooLarge, message))
            }
        }
    }

    fn run_policy(
        &mut self,
        request: &CompletionRequest,
        service: &ServiceSpec,
    ) -> Result<PolicyDecision, ErrorBody> {
        let Some(source) = &service.policy else {
            return Ok(PolicyDecision::default());
        };
        self.compile_policy(&request.service, source)?;
        let Some(Some(policy)) = self.policies.get(&request.service) else {
            return Ok(PolicyDecision::default());
        };
        let input = PolicyInput {
            tenant: &request.tenant,
            service: &request.service,
            prompt_tokens: request.estimated_prompt_tokens(),
            max_tokens: request.max_tokens,
            zone: request.entry_zone.as_ref().unwrap_or(&self.settings.zone),
            zones: &service.zones,
        };
        self.policy_engine.run(policy, &input).map_err(|error| policy_failed(&error))
    }

    fn compile_policy(&mut self, service: &ServiceName, source: &str) -> Result<(), ErrorBody> {
        let revision = self.replica.revision();
        if self.policies_of != revision {
            self.policies.clear();
            self.policies_of = revision;
        }
        if !self.policies.contains_key(service) {
            let policy =
                self.policy_engine.compile(source).map_err(|error| policy_failed(&error))?;
            self.policies.insert(service.clone(), Some(policy));
        }
        Ok(())
    }

    fn new_exchange(
        &self,
        origin: &Origin,
        request: &CompletionRequest,
        service: &ServiceSpec,
        zones: BTreeSet<ZoneId>,
        priority: i32,
        expected_output: u64,
    ) -> Exchange {
        let deadline = self.now + Duration::from_millis(request.deadline_ms);
        let base = Exchange::attempt_base(&self.settings.node, self.settings.incarnation);
        let entry = Entry {
            request: request.request.clone(),
            tenant: request.tenant.clone(),
            priority,
            tokens: u64::from(request.estimated_prompt_tokens()) + expected_output,
            dispatch_by_us: deadline.0,
        };
        Exchange {
            request: request.clone(),
            origin: origin.clone(),
            model: service.model.clone(),
            repeatable: service.repeatable,
            priority,
            zones,
            blocks: prefix_blocks(&request.prompt),
            arrived: self.now,
            deadline,
            answer: StreamAssembler::new(request.request.clone(), base),
            stage: Stage::Queued(entry),
            attempts: 0,
            resumes: 0,
            excluded: Vec::new(),
            excluded_nodes: Vec::new(),
            delivered: held_by_caller(request),
            may_have_started: false,
            ran_before: false,
            read_before: false,
            claim_key: claim_key(request),
            last_progress: self.now,
            held: None,
            events_sent: 0,
            caller_gone: None,
            expected_output,
        }
    }

    fn accept(&mut self, exchange: Exchange) {
        let request = exchange.request.request.clone();
        let resume = exchange.request.resume.clone();
        let has_key = exchange.claim_key.is_some();
        if exchange.request.hops == 0 {
            self.count_arrival(&exchange);
        }
        self.retry_budget.deposit();
        self.exchanges.insert(request.clone(), exchange);
        match resume {
            Some(point) => self.resume_at_engine(&request, point),
            None if has_key => self.claim(&request),
            None => self.enqueue(&request),
        }
    }

    /// Puts a request that may be dispatched into the queue, or refuses it if it cannot be
    /// served in time.
    pub(crate) fn enqueue(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        if self.queue.len() >= self.settings.requests.queue_limit {
            let error = ErrorBody::refused(ErrorCode::Overloaded, "the queue is full")
                .retry_after_ms(self.expected_wait(exchange.priority).as_millis() as u64);
            self.fail(request, error);
            return;
        }
        let entry = Entry {
            request: request.clone(),
            tenant: exchange.request.tenant.clone(),
            priority: exchange.priority,
            tokens: exchange.tokens(),
            dispatch_by_us: self.latest_dispatch(exchange).0,
        };
        let wait = self.expected_wait(exchange.priority);
        let too_late = self.now.0 + wait.as_micros() as u64 > entry.dispatch_by_us;
        let waits_for_others = !self.queue.is_empty();
        // A request that an engine may have had is not given up before its deadline: nobody
        // could be told that it has not run.
        let was_tried = exchange.may_have_started || exchange.ran_before || exchange.read_before;
        if too_late && waits_for_others && !was_tried {
            let message = "the deadline cannot be met with the requests ahead";
            let error = ErrorBody::refused(ErrorCode::Overloaded, message)
                .retry_after_ms(wait.as_millis() as u64);
            self.fail(request, error);
            return;
        }
        self.queue.push(entry.clone());
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.stage = Stage::Queued(entry);
        }
        self.dispatch_queued();
    }

    /// The latest instant at which a dispatch can still meet the deadline, for an idle engine.
    fn latest_dispatch(&self, exchange: &Exchange) -> pitchstall_coordination::Timestamp {
        let speed = self.speed_of(&exchange.model);
        let work = pitchstall_scheduling::planner::work_of(&speed, exchange.prompt_tokens(), 0);
        let remaining =
            exchange.expected_output.saturating_sub(u64::from(exchange.answer.tokens()));
        let write_us = remaining * (speed.step_base_us + speed.step_per_sequence_us);
        let least = Duration::from_secs_f64(work.reading) + Duration::from_micros(write_us);
        exchange.deadline.before(least)
    }

    /// Expected wait of a new request of this priority at this node.
    pub(crate) fn expected_wait(&self, priority: i32) -> Duration {
        const LEAST_WAIT: Duration = Duration::from_millis(100);
        let ahead = self.queue.tokens_ahead(priority);
        let silent_after_us = self.settings.routing.silent_after_us;
        let ready =
            self.engines.values().filter(|it| it.takes_work(self.now.0, silent_after_us)).count();
        let nodes = self.members.live_in_zone(self.now).len().max(1);
        let tokens_per_second = self.zone_tokens_per_second(ready) / nodes as f64;
        let seconds = ahead as f64 / tokens_per_second.max(1.0);
        LEAST_WAIT.max(Duration::from_secs_f64(seconds.min(600.0)))
    }

    fn zone_tokens_per_second(&self, engines: usize) -> f64 {
        let speeds = self.replica.configuration().into_iter().flat_map(|it| it.models.values());
        let slowest = speeds
            .map(|model| {
                let sequences = f64::from(model.speed.max_sequences);
                let step_us = model.speed.step_base_us as f64
                    + model.speed.step_per_sequence_us as f64 * sequences;
                sequences * 1_000_000.0 / step_us.max(1.0)
            })
            .fold(f64::INFINITY, f64::min);
        if slowest.is_finite() {
            slowest * engines as f64
        } else {
            0.0
        }
    }

    /// Output tokens to expect: services seldom use up their limit.
    fn expected_output(&self, request: &CompletionRequest) -> u64 {
        let ratio = self.output_ratio.get(&request.service).copied().unwrap_or(1.0);
        ((f64::from(request.max_tokens) * ratio).ceil() as u64).max(1)
    }

    /// Learns how much of its limit a service uses.
    pub(crate) fn learn_output(&mut self, service: &ServiceName, max_tokens: u32, tokens: u32) {
        const WEIGHT_OF_NEWEST: f64 = 0.05;
        let newest = f64::from(tokens) / f64::from(max_tokens.max(1));
        let ratio = self.output_ratio.entry(service.clone()).or_insert(1.0);
        *ratio += WEIGHT_OF_NEWEST * (newest - *ratio);
    }

    fn resume_at_engine(
        &mut self,
        request: &RequestId,
        point: pitchstall_protocol::caller::ResumePoint,
    ) {
        let in_zone = self
            .members
            .engine(&point.engine)
            .map(|member| (member.zone == self.settings.zone, member.zone.clone()));
        match in_zone {
            Some((true, _)) => self.read_on(request, point),
            Some((false, zone)) => {
                let hops = self.exchanges.get(request).map_or(HOP_LIMIT, |it| it.request.hops);
                let forwarded = hops < HOP_LIMIT && self.forward_to_zone(request, &zone);
                if !forwarded {
                    self.make_anew(request, point);
                }
            }
            None => self.make_anew(request, point),
        }
    }

    /// The engine that had the answer is gone: make it anew, if that is allowed, and give
    /// the caller only what it does not hold, if it proves to be the same answer.
    pub(crate) fn make_anew(
        &mut self,
        request: &RequestId,
        point: pitchstall_protocol::caller::ResumePoint,
    ) {
        let base = Exchange::attempt_base(&self.settings.node, self.settings.incarnation);
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        if !exchange.repeatable {
            let execution = crate::answers::execution_of(point.offset);
            let message = "the engine that had the answer is not known any more";
            self.fail(request, ErrorBody::failed(ErrorCode::CannotResume, execution, message));
            return;
        }
        let first = base.0 + (stable_hash(&(point.attempt, point.offset)) & 0x7fff);
        let base = pitchstall_protocol::ids::AttemptNumber(first);
        exchange.answer = StreamAssembler::new(request.clone(), base);
        exchange.held = Some(HeldPart { tokens: point.offset, digest: point.digest });
        self.enqueue(request);
    }

    /// Refuses at the door. What is said of execution has to hold for what the caller asked,
    /// not only for this submission: an earlier one may have run.
    fn refuse_at_door(&mut self, origin: &Origin, request: &CompletionRequest, error: ErrorBody) {
        if let Some(point) = &request.resume {
            let execution = crate::answers::execution_of(point.offset);
            self.refuse(origin, &request.request, ErrorBody { execution, ..error });
            return;
        }
        let key = claim_key(request).filter(|_| may_be_accepted_later(error.code));
        match key {
            Some(key) => self.refuse_if_unused(origin, request, key, error),
            None => self.refuse(origin, &request.request, error),
        }
    }

    pub(crate) fn refuse(&mut self, origin: &Origin, request: &RequestId, error: ErrorBody) {
        self.counters.count_failure(error.code);
        let event = CallerEvent::Failed { error };
        match origin {
            Origin::Connection(connection) => {
                self.connections.remove(connection);
                self.out.push(Output::Caller { connection: *connection, event });
            }
            Origin::Peer(node) => {
                let message =
                    PeerMessage::Forwarded { request: request.clone(), sequence: 0, event };
                self.tell_peer(node, message);
            }
            Origin::Nobody => {}
        }
    }
}

/// What the caller has of the answer already.
fn held_by_caller(request: &CompletionRequest) -> HeldPart {
    match &request.resume {
        Some(point) => HeldPart { tokens: point.offset, digest: point.digest },
        None => HeldPart { tokens: 0, digest: TextDigest::default() },
    }
}

/// Whether the same request may have been accepted at another time or node.
fn may_be_accepted_later(code: ErrorCode) -> bool {
    !matches!(
        code,
        ErrorCode::InvalidRequest | ErrorCode::RequestTooLarge | ErrorCode::Unauthorized
    )
}

fn policy_failed(error: &PolicyError) -> ErrorBody {
    ErrorBody::refused(ErrorCode::ZoneForbidden, error.to_string())
}
