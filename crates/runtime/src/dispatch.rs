//! From the queue to an engine.

use crate::exchange::{Exchange, Origin, Stage};
use crate::intake::HOP_LIMIT;
use crate::io::EngineCall;
use crate::node::{Node, Purpose};
use pitchstall_protocol::configuration::EngineSpeed;
use pitchstall_protocol::engine::{EngineRole, GenerateRequest, Stage as EngineStage};
use pitchstall_protocol::error::{ErrorBody, ErrorCode};
use pitchstall_protocol::ids::{EngineId, ModelName, RequestId};
use pitchstall_scheduling::load::{EngineLoad, SentWork};
use pitchstall_scheduling::planner::Allocation;
use pitchstall_scheduling::queue::Entry;
use pitchstall_scheduling::routing::{choose, choose_writer, Demand, Plan};
use std::time::Duration;

/// Heads of tenants' queues that are tried before the queue is left for now.
const HEADS_TRIED: usize = 16;
/// Milliseconds after which an engine may be there again.
const RETRY_ENGINE_MS: u64 = 1_000;
/// Length of the local queue above which another zone with room is tried.
const FORWARD_ABOVE_QUEUE: usize = 8;

impl Node {
    /// Sends as many waiting requests to engines as have room.
    pub(crate) fn dispatch_queued(&mut self) {
        loop {
            let heads = self.queue.heads(HEADS_TRIED);
            let placed = heads.iter().any(|entry| self.try_dispatch(entry));
            if !placed {
                return;
            }
        }
    }

    fn try_dispatch(&mut self, entry: &Entry) -> bool {
        let Some(exchange) = self.exchanges.get(&entry.request) else {
            return self.queue.remove(&entry.request, entry.priority, &entry.tenant);
        };
        let plan = self.plan(exchange);
        let placed = match plan {
            Some(Plan::Full(engine)) => self.send_full(&entry.request, &engine),
            Some(Plan::Split { prefill, decode }) => {
                self.send_prefill(&entry.request, &prefill, &decode)
            }
            None => self.send_elsewhere(&entry.request),
        };
        if placed {
            self.queue.take(entry);
        }
        placed
    }

    fn plan(&self, exchange: &Exchange) -> Option<Plan> {
        if !exchange.zones.contains(&self.settings.zone) {
            return None;
        }
        let demand = self.demand_of(exchange)?;
        let config = &self.settings.routing;
        let excluded = exchange.excluded_at(self.now);
        choose(config, self.now.0, &self.engines, &self.prefixes, &demand, &excluded)
            .map(|choice| choice.plan)
    }

    /// The engine that writes an answer whose prompt is read: the one that was chosen with
    /// the prefill engine, if it still takes work.
    pub(crate) fn writer_now(&self, request: &RequestId, chosen: &EngineId) -> Option<EngineId> {
        let config = &self.settings.routing;
        let takes_work = |load: &EngineLoad| load.takes_work(self.now.0, config.silent_after_us);
        if self.engines.get(chosen).is_some_and(takes_work) {
            return Some(chosen.clone());
        }
        let exchange = self.exchanges.get(request)?;
        let demand = self.demand_of(exchange)?;
        let excluded = exchange.excluded_at(self.now);
        choose_writer(config, self.now.0, &self.engines, &self.prefixes, &demand, &excluded)
    }

    fn demand_of<'a>(&self, exchange: &'a Exchange) -> Option<Demand<'a>> {
        let speed = self.speed_of(&exchange.model);
        let configuration = self.replica.configuration()?;
        let kv_bytes_per_token =
            configuration.models.get(&exchange.model).map_or(0, |model| model.kv_bytes_per_token);
        let written = u64::from(exchange.answer.tokens());
        Some(Demand {
            model: &exchange.model,
            prompt_tokens: exchange.prompt_tokens(),
            output_tokens: exchange.expected_output.saturating_sub(written).max(1),
            blocks: &exchange.blocks,
            kv_bytes_per_token,
            speed,
        })
    }

    /// Tries another zone, if the policy, the configuration's age and the queue allow.
    fn send_elsewhere(&mut self, request: &RequestId) -> bool {
        let Some(exchange) = self.exchanges.get(request) else {
            return false;
        };
        let crowded = self.queue.len() > FORWARD_ABOVE_QUEUE;
        let may_wait = self.has_engine_here(exchange) && !crowded;
        if exchange.request.hops >= HOP_LIMIT || may_wait {
            return false;
        }
        self.want_zones();
        self.forward_to_best_zone(request)
    }

    /// What one engine does with a model.
    pub(crate) fn speed_of(&self, model: &ModelName) -> EngineSpeed {
        let models = self.replica.configuration().map(|it| &it.models);
        models.and_then(|it| it.get(model)).map(|it| it.speed).unwrap_or_default()
    }

    fn send_full(&mut self, request: &RequestId, engine: &EngineId) -> bool {
        self.send_attempt(request, engine, EngineStage::Full)
    }

    fn send_prefill(&mut self, request: &RequestId, prefill: &EngineId, decode: &EngineId) -> bool {
        if !self.send_attempt(request, prefill, EngineStage::Prefill) {
            return false;
        }
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return false;
        };
        if let Stage::Writing { call, .. } = exchange.stage {
            exchange.stage =
                Stage::Reading { prefill: prefill.clone(), decode: decode.clone(), call };
        }
        // The decode engine's place is taken now, so that others do not fill it meanwhile.
        let work = SentWork {
            sent_us: self.now.0,
            prompt_tokens: 0,
            output_tokens: exchange.expected_output,
        };
        if let Some(load) = self.engines.get_mut(decode) {
            load.on_sent(request.clone(), work);
        }
        true
    }

    /// The prompt is read: let the decode engine fetch the cache and write.
    pub(crate) fn send_decode(
        &mut self,
        request: &RequestId,
        prefill: &EngineId,
        decode: &EngineId,
    ) -> bool {
        let Some(source_address) =
            self.members.engine(prefill).map(|member| member.address.clone())
        else {
            return false;
        };
        let Some(exchange) = self.exchanges.get(request) else {
            return false;
        };
        let source_attempt = exchange.answer.attempt();
        let stage = EngineStage::Decode { source: prefill.clone(), source_address, source_attempt };
        self.send_attempt(request, decode, stage)
    }

    fn send_attempt(&mut self, request: &RequestId, engine: &EngineId, stage: EngineStage) -> bool {
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return false;
        };
        let reads = !matches!(stage, EngineStage::Decode { .. });
        let attempt = exchange.answer.begin_attempt();
        // Text that was made before the caller's own part began is not shown to the engine.
        let generate = GenerateRequest {
            request: request.clone(),
            attempt,
            model: exchange.model.clone(),
            prompt: exchange.request.prompt.clone(),
            max_tokens: exchange.request.max_tokens,
            written: exchange.answer.text().to_owned(),
            written_tokens: exchange.answer.tokens(),
            priority: exchange.priority,
            stage,
        };
        let work = SentWork {
            sent_us: self.now.0,
            prompt_tokens: if reads { exchange.prompt_tokens() } else { 0 },
            output_tokens: exchange.expected_output,
        };
        let purpose = Purpose::Stream { request: request.clone(), attempt, resumed: false };
        let Some(call) =
            self.call_engine(purpose, engine, EngineCall::Generate(Box::new(generate)))
        else {
            return false;
        };
        self.counters.attempts += 1;
        if let Some(load) = self.engines.get_mut(engine) {
            load.on_sent(request.clone(), work);
        }
        let now = self.now;
        if let Some(exchange) = self.exchanges.get_mut(request) {
            if reads {
                exchange.attempts += 1;
            }
            exchange.resumes = 0;
            exchange.may_have_started = true;
            exchange.last_progress = now;
            exchange.stage = Stage::Writing { engine: engine.clone(), call };
        }
        true
    }

    /// Puts a request back after an attempt that came to nothing.
    pub(crate) fn try_again(&mut self, request: &RequestId) {
        let limit = self.settings.requests.attempt_limit;
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        if exchange.attempts >= limit {
            let tokens = exchange.delivered.tokens;
            let started = exchange.may_have_started;
            let message = "no engine could serve the request";
            let error = if started {
                let execution = crate::answers::execution_of(tokens);
                ErrorBody::failed(ErrorCode::EngineFailed, execution, message)
            } else {
                ErrorBody::refused(ErrorCode::NoEngine, message)
            };
            self.fail(request, error.retry_after_ms(RETRY_ENGINE_MS));
            return;
        }
        self.counters.retries += 1;
        self.enqueue(request);
    }

    pub(crate) fn tick_requests(&mut self) {
        let expired = self.queue.take_expired(self.now.0);
        for entry in expired {
            self.refuse_late(&entry.request);
        }
        self.refuse_hopeless();
        self.check_time_limits();
        self.tell_forwards_in_work();
        self.dispatch_queued();
        if self.now >= self.schedule.housekeeping {
            self.schedule.housekeeping = self.now + std::time::Duration::from_secs(1);
            self.expire_claims();
        }
    }

    /// The deadline of a waiting request cannot be met any more.
    fn refuse_late(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let wait = self.expected_wait(exchange.priority);
        let any_engine = self.has_engine_here(exchange);
        let error = if exchange.may_have_started {
            let execution = crate::answers::execution_of(exchange.delivered.tokens);
            let message = "no engine was free in time to go on with the answer";
            ErrorBody::failed(ErrorCode::EngineFailed, execution, message)
        } else if any_engine {
            ErrorBody::refused(ErrorCode::Overloaded, "no engine was free in time")
        } else {
            ErrorBody::refused(
                ErrorCode::NoEngine,
                "no engine that may serve it is known to be live",
            )
        };
        self.fail(request, error.retry_after_ms(wait.as_millis() as u64));
    }

    /// Refuses waiting requests that nothing can serve now: their callers do better to ask
    /// elsewhere than to wait for their deadline. A request that an engine has had is not
    /// given up so soon: its caller could not be told that nothing has run.
    fn refuse_hopeless(&mut self) {
        let hopeless: Vec<RequestId> = self
            .exchanges
            .values()
            .filter(|exchange| matches!(exchange.stage, Stage::Queued(_)))
            .filter(|exchange| !exchange.may_have_started)
            .filter(|exchange| {
                let since = exchange.arrived.max(exchange.last_progress);
                self.now.since(since) >= self.settings.requests.hopeless_after
            })
            .filter(|exchange| !self.has_engine_here(exchange))
            .map(|exchange| exchange.request.request.clone())
            .collect();
        for request in hopeless {
            // Refusing one may have let another one go.
            let still_waits = self
                .exchanges
                .get(&request)
                .is_some_and(|exchange| matches!(exchange.stage, Stage::Queued(_)));
            if still_waits {
                self.refuse_late(&request);
            }
        }
    }

    /// Whether an engine of this zone may come to serve a request.
    fn has_engine_here(&self, exchange: &Exchange) -> bool {
        exchange.zones.contains(&self.settings.zone)
            && self.allocation_of(&exchange.model, None).serves()
    }

    /// The roles of the engines of this zone that serve a model and stay, with one engine
    /// in another role, or in none.
    pub(crate) fn allocation_of(
        &self,
        model: &ModelName,
        changed: Option<(&EngineId, Option<EngineRole>)>,
    ) -> Allocation {
        let mut allocation = Allocation::default();
        for (engine, load) in &self.engines {
            let stays = load.stays(self.now.0, self.settings.routing.silent_after_us)
                && load.report.standing.model == *model;
            let role = match changed {
                Some((other, role)) if other == engine => role,
                _ => self.authority.intended_role(engine).or(Some(load.report.standing.role)),
            };
            if let Some(role) = role.filter(|_| stays) {
                allocation.add(role, 1);
            }
        }
        allocation
    }

    fn check_time_limits(&mut self) {
        let settings = self.settings.requests;
        let now = self.now;
        let mut late = Vec::new();
        let mut stalled = Vec::new();
        let mut left = Vec::new();
        for (request, exchange) in &self.exchanges {
            let silence = now.since(exchange.last_progress);
            let limit = match &exchange.stage {
                Stage::Reading { prefill, .. } => Some(self.first_token_limit(prefill)),
                Stage::Writing { engine, .. } if exchange.answer.tokens() == 0 => {
                    Some(self.first_token_limit(engine))
                }
                Stage::Writing { .. } => Some(settings.between_tokens_timeout),
                Stage::Forwarded { taken: false, .. } => Some(settings.forward_taken_timeout),
                Stage::Forwarded { taken: true, .. } => Some(settings.forward_silent_timeout),
                _ => None,
            };
            if now >= exchange.deadline {
                late.push(request.clone());
            } else if limit.is_some_and(|limit| silence >= limit) {
                stalled.push(request.clone());
            } else if exchange.caller_gone.is_some_and(|it| now.since(it) >= settings.resume_grace)
            {
                left.push(request.clone());
            }
        }
        for request in late {
            self.fail_late(&request);
        }
        for request in stalled {
            self.on_stalled(&request);
        }
        for request in left {
            self.drop_abandoned(&request);
        }
    }

    /// How long an engine may take to the first token: not long if it reports nothing either.
    fn first_token_limit(&self, engine: &EngineId) -> Duration {
        let settings = &self.settings.requests;
        let silent_after_us = self.settings.routing.silent_after_us;
        let is_heard = self
            .engines
            .get(engine)
            .is_some_and(|load| self.now.0.saturating_sub(load.reported_us) < silent_after_us);
        if is_heard {
            settings.first_token_timeout
        } else {
            settings.between_tokens_timeout
        }
    }

    fn fail_late(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let message = "the deadline has passed";
        let error = if exchange.may_have_started {
            let execution = crate::answers::execution_of(exchange.delivered.tokens);
            ErrorBody::failed(ErrorCode::DeadlineExceeded, execution, message)
        } else {
            ErrorBody::refused(ErrorCode::DeadlineExceeded, message)
        };
        self.fail(request, error);
    }

    /// The caller has not come back for its answer.
    fn drop_abandoned(&mut self, request: &RequestId) {
        if self.keeps_answer(request) {
            if let Some(exchange) = self.exchanges.get_mut(request) {
                exchange.origin = Origin::Nobody;
                exchange.caller_gone = None;
            }
            return;
        }
        self.close(request);
    }
}
