//! From an engine's stream to the caller.

use crate::exchange::{Exchange, HeldPart, Origin, Stage};
use crate::io::{CallId, EngineCall, EngineInput, Output};
use crate::node::{Node, OwnClaimState, Purpose};
use pitchstall_coordination::stream::Assembly;
use pitchstall_protocol::caller::{CallerEvent, ResumePoint, Usage};
use pitchstall_protocol::engine::{
    AttemptKey, EngineEvent, OrderReply, RefusalReason, ResumeRequest,
};
use pitchstall_protocol::error::{ErrorBody, ErrorCode, Execution};
use pitchstall_protocol::ids::{AttemptNumber, ConnectionId, EngineId, RequestId};
use pitchstall_protocol::peer::PeerMessage;
use std::time::Duration;

/// How long an engine that refused an attempt is not tried again for the same request.
const REFUSED_FOR: Duration = Duration::from_millis(500);
/// How long an engine that lost an attempt is not tried again for the same request.
const LOST_FOR: Duration = Duration::from_secs(5);

/// What is known of the execution of a request that an engine may have started.
pub fn execution_of(tokens_delivered: u32) -> Execution {
    if tokens_delivered > 0 {
        Execution::Partial
    } else {
        Execution::Unknown
    }
}

impl Node {
    pub(crate) fn on_engine(&mut self, call: CallId, input: EngineInput) {
        match (self.calls.get(&call).cloned(), input) {
            (Some(Purpose::Stream { request, attempt, resumed }), input) => {
                self.on_stream(call, &request, attempt, resumed, input);
            }
            (Some(Purpose::Report { engine, sent }), EngineInput::Report(report)) => {
                self.calls.remove(&call);
                if report.engine == engine {
                    self.on_report(report, sent);
                }
            }
            (Some(Purpose::Order { engine, token }), input) => {
                self.calls.remove(&call);
                let reply: Option<&OrderReply> = match &input {
                    EngineInput::Order(reply) => Some(reply),
                    _ => None,
                };
                self.on_order_reply(&engine, token, reply);
            }
            (Some(_), _) => {
                self.calls.remove(&call);
            }
            // A stream that was closed, or a doubled answer.
            (None, _) => {}
        }
    }

    fn on_stream(
        &mut self,
        call: CallId,
        request: &RequestId,
        attempt: AttemptNumber,
        resumed: bool,
        input: EngineInput,
    ) {
        let present = self
            .exchanges
            .get(request)
            .is_some_and(|exchange| exchange.answer.attempt() == attempt)
            && self.stream_of(request) == Some(call);
        if !present {
            self.calls.remove(&call);
            return;
        }
        match input {
            EngineInput::Event(event) => self.on_event(request, event, resumed),
            EngineInput::Unreachable => {
                self.calls.remove(&call);
                self.on_unreachable(request, resumed);
            }
            _ => {
                self.calls.remove(&call);
                self.on_broken(request);
            }
        }
    }

    fn stream_of(&self, request: &RequestId) -> Option<CallId> {
        match &self.exchanges.get(request)?.stage {
            Stage::Reading { call, .. } | Stage::Writing { call, .. } => Some(*call),
            _ => None,
        }
    }

    fn engine_of(&self, request: &RequestId) -> Option<EngineId> {
        match &self.exchanges.get(request)?.stage {
            Stage::Reading { prefill, .. } => Some(prefill.clone()),
            Stage::Writing { engine, .. } => Some(engine.clone()),
            _ => None,
        }
    }

    fn on_event(&mut self, request: &RequestId, event: EngineEvent, resumed: bool) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        let first = exchange.answer.tokens() == 0;
        let assembly = exchange.answer.on_event(event);
        if assembly != Assembly::Ignored {
            exchange.last_progress = now;
        }
        match assembly {
            Assembly::Piece(text) => {
                if first {
                    self.note_first_token(request);
                }
                self.on_piece(request, text);
            }
            Assembly::Whole { prompt_tokens } => self.on_whole(request, prompt_tokens),
            Assembly::Prefilled => self.on_prefilled(request),
            Assembly::Ignored => {}
            Assembly::Crossed => {
                self.counters.crossed_events += 1;
                self.on_broken(request);
            }
            Assembly::Gap => self.on_broken(request),
            Assembly::Refused(reason) => self.on_refused(request, reason, resumed),
            Assembly::Failed => self.on_lost(request),
        }
    }

    fn note_first_token(&mut self, request: &RequestId) {
        if let Some(engine) = self.engine_of(request) {
            if let Some(load) = self.engines.get_mut(&engine) {
                load.on_first_token(request);
            }
        }
    }

    fn on_piece(&mut self, request: &RequestId, text: String) {
        let Some(engine) = self.engine_of(request) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        if let Some(held) = exchange.held {
            let reached = exchange.answer.tokens();
            match pass_held_part(exchange, held) {
                HeldCheck::Within => return,
                HeldCheck::Reached => return,
                HeldCheck::Differs => {
                    let message = format!("the answer made anew differs before token {reached}");
                    let error =
                        ErrorBody::failed(ErrorCode::CannotResume, Execution::Partial, message);
                    self.fail(request, error);
                    return;
                }
            }
        }
        let point = ResumePoint {
            request: request.clone(),
            attempt: exchange.answer.attempt(),
            engine,
            offset: exchange.answer.tokens(),
            digest: exchange.answer.digest(),
        };
        self.deliver(request, point, text);
    }

    /// Hands a piece of the answer to whoever gets it.
    pub(crate) fn deliver(&mut self, request: &RequestId, point: ResumePoint, text: String) {
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        // Whatever way the piece came: if it does not follow from what was handed on before,
        // it belongs to another answer or a part is missing.
        let follows = exchange.delivered.digest.extend(&text) == point.digest
            && point.offset > exchange.delivered.tokens;
        if !follows {
            let execution = execution_of(exchange.delivered.tokens);
            let message = "the rest of the answer does not fit what was delivered";
            self.fail(request, ErrorBody::failed(ErrorCode::CannotResume, execution, message));
            return;
        }
        exchange.delivered = HeldPart { tokens: point.offset, digest: point.digest };
        self.counters.tokens += 1;
        self.emit(request, CallerEvent::Piece { point, text });
    }

    fn emit(&mut self, request: &RequestId, event: CallerEvent) {
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        match &exchange.origin {
            Origin::Connection(connection) => {
                let connection = *connection;
                self.out.push(Output::Caller { connection, event });
            }
            Origin::Peer(node) => {
                let node = node.clone();
                let sequence = exchange.events_sent;
                exchange.events_sent += 1;
                let message = PeerMessage::Forwarded { request: request.clone(), sequence, event };
                self.tell_peer(&node, message);
            }
            Origin::Nobody => {}
        }
    }

    fn on_prefilled(&mut self, request: &RequestId) {
        let Some(Stage::Reading { prefill, decode, .. }) =
            self.exchanges.get(request).map(|exchange| exchange.stage.clone())
        else {
            return;
        };
        self.close_stream(request);
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.read_before = true;
        }
        if let Some(load) = self.engines.get_mut(&prefill) {
            load.on_ended(request);
        }
        // The engine that was chosen before the prompt was read may have left since.
        let writer = self.writer_now(request, &decode);
        if let Some(load) = self.engines.get_mut(&decode) {
            load.on_ended(request);
        }
        let sent = writer.is_some_and(|writer| self.send_decode(request, &prefill, &writer));
        if !sent {
            self.on_lost(request);
        }
    }

    fn on_whole(&mut self, request: &RequestId, prompt_tokens: u32) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        if exchange.held.is_some() {
            // The answer made anew ended before what the caller holds.
            let message = "the answer made anew is shorter";
            let error = ErrorBody::failed(ErrorCode::CannotResume, Execution::Partial, message);
            self.fail(request, error);
            return;
        }
        let completion_tokens = exchange.answer.tokens();
        let service = exchange.request.service.clone();
        let max_tokens = exchange.request.max_tokens;
        self.learn_output(&service, max_tokens, completion_tokens);
        self.finish(request, Usage { prompt_tokens, completion_tokens });
    }

    /// The answer is whole.
    pub(crate) fn finish(&mut self, request: &RequestId, usage: Usage) {
        self.counters.finished += 1;
        let text = self
            .exchanges
            .get(request)
            .filter(|exchange| exchange.claim_key.is_some())
            .map(|exchange| exchange.answer.whole_text().map(str::to_owned));
        // Of an answer that was read on from another node's, only the rest is known here.
        match text {
            Some(Some(text)) => self.settle_claim(request, OwnClaimState::Ended { text, usage }),
            Some(None) => self.settle_claim(request, OwnClaimState::Failed),
            None => {}
        }
        self.emit(request, CallerEvent::Finished { usage });
        self.remove(request);
    }

    /// The request has failed. Its final answer goes out at once.
    pub(crate) fn fail(&mut self, request: &RequestId, error: ErrorBody) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        self.counters.count_failure(error.code);
        let never_ran = !exchange.may_have_started;
        let state = if never_ran { OwnClaimState::Abandoned } else { OwnClaimState::Failed };
        let error = truthful(exchange, error);
        self.settle_claim(request, state);
        self.emit(request, CallerEvent::Failed { error });
        self.close(request);
    }

    /// Ends all work on a request without a word to its caller.
    pub(crate) fn close(&mut self, request: &RequestId) {
        self.cancel_attempt(request);
        if let Some(exchange) = self.exchanges.get(request) {
            if let Stage::Forwarded { node, .. } = &exchange.stage {
                let node = node.clone();
                self.tell_peer(&node, PeerMessage::CancelForward { request: request.clone() });
            }
            let never_ran =
                self.exchanges.get(request).is_some_and(|exchange| !exchange.may_have_started);
            if never_ran {
                self.settle_claim(request, OwnClaimState::Abandoned);
            }
        }
        self.remove(request);
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(Stage::Forwarded { call, .. }) =
            self.exchanges.get(request).map(|exchange| &exchange.stage)
        {
            self.calls.remove(call);
        }
        self.release_engines(request);
        self.close_stream(request);
        let Some(exchange) = self.exchanges.remove(request) else {
            return;
        };
        if let Stage::Queued(entry) = &exchange.stage {
            self.queue.remove(request, entry.priority, &entry.tenant);
        }
        if let Origin::Connection(connection) = exchange.origin {
            self.connections.remove(&connection);
        }
        self.dispatch_queued();
    }

    fn release_engines(&mut self, request: &RequestId) {
        let engines = match self.exchanges.get(request).map(|exchange| &exchange.stage) {
            Some(Stage::Reading { prefill, decode, .. }) => vec![prefill.clone(), decode.clone()],
            Some(Stage::Writing { engine, .. }) => vec![engine.clone()],
            _ => Vec::new(),
        };
        for engine in engines {
            if let Some(load) = self.engines.get_mut(&engine) {
                load.on_ended(request);
            }
        }
    }

    fn close_stream(&mut self, request: &RequestId) {
        if let Some(call) = self.stream_of(request) {
            if self.calls.remove(&call).is_some() {
                self.out.push(Output::CloseStream(call));
            }
        }
    }

    fn cancel_attempt(&mut self, request: &RequestId) {
        let Some(engine) = self.engine_of(request) else {
            return;
        };
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let key = exchange.answer.key();
        self.close_stream(request);
        self.cancel_at(&engine, key);
    }

    fn cancel_at(&mut self, engine: &EngineId, key: AttemptKey) {
        let Some(address) = self.members.engine(engine).map(|it| it.address.clone()) else {
            return;
        };
        let call = CallId(self.next_call);
        self.next_call += 1;
        let request = EngineCall::Cancel(key);
        self.out.push(Output::Engine { call, engine: engine.clone(), address, request });
    }

    /// The engine never saw the attempt.
    fn on_unreachable(&mut self, request: &RequestId, resumed: bool) {
        if resumed {
            // It saw the attempt before; its process is gone, and the attempt with it.
            self.on_lost(request);
            return;
        }
        self.on_never_started(request);
    }

    fn on_refused(&mut self, request: &RequestId, reason: RefusalReason, resumed: bool) {
        if resumed || reason == RefusalReason::UnknownAttempt {
            self.on_lost(request);
            return;
        }
        self.on_never_started(request);
    }

    /// The present attempt was surely not started: another engine may have it.
    fn on_never_started(&mut self, request: &RequestId) {
        let engine = self.engine_of(request);
        self.close_stream(request);
        self.release_engines(request);
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.may_have_started = exchange.ran_before || exchange.read_before;
        exchange.exclude(engine, self.now + REFUSED_FOR);
        if exchange.ran_before && !exchange.repeatable {
            self.fail_lost(request);
            return;
        }
        self.try_again(request);
    }

    /// The stream broke off or cannot be trusted: read on from where the answer stands.
    fn on_broken(&mut self, request: &RequestId) {
        let limit = self.settings.requests.resume_limit;
        self.close_stream(request);
        let Some(engine) = self.engine_of(request) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.resumes += 1;
        if exchange.resumes > limit {
            self.on_lost(request);
            return;
        }
        self.read_on_at(request, &engine);
    }

    fn read_on_at(&mut self, request: &RequestId, engine: &EngineId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let key = exchange.answer.key();
        let offset = exchange.answer.tokens();
        let attempt = key.attempt;
        let purpose = Purpose::Stream { request: request.clone(), attempt, resumed: true };
        let resume = EngineCall::Resume(ResumeRequest { key, offset });
        let Some(call) = self.call_engine(purpose, engine, resume) else {
            self.on_lost(request);
            return;
        };
        self.counters.stream_resumes += 1;
        let now = self.now;
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.last_progress = now;
            match &mut exchange.stage {
                Stage::Reading { call: present, .. } => *present = call,
                _ => exchange.stage = Stage::Writing { engine: engine.clone(), call },
            }
        }
    }

    /// A caller has come back with a point that names an engine of this zone.
    pub(crate) fn read_on(&mut self, request: &RequestId, point: ResumePoint) {
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.answer = pitchstall_coordination::stream::StreamAssembler::resumed(
            request.clone(),
            point.attempt,
            point.offset,
            point.digest,
        );
        exchange.may_have_started = true;
        exchange.attempts = 1;
        // Several tries are of no use: an engine that does not know the attempt never will.
        exchange.resumes = self.settings.requests.resume_limit;
        self.read_on_at(request, &point.engine);
    }

    /// The present attempt is lost, and it may have run.
    pub(crate) fn on_lost(&mut self, request: &RequestId) {
        let engine = self.engine_of(request);
        let was_reading = matches!(
            self.exchanges.get(request).map(|exchange| &exchange.stage),
            Some(Stage::Reading { .. })
        );
        self.cancel_attempt(request);
        self.release_engines(request);
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.exclude(engine, self.now + LOST_FOR);
        // A prefill engine writes nothing, so losing it repeats no effect.
        if was_reading {
            exchange.read_before = true;
        } else {
            exchange.ran_before = true;
        }
        if exchange.ran_before && !exchange.repeatable {
            self.fail_lost(request);
            return;
        }
        if !self.retry_budget.withdraw() {
            self.fail_lost(request);
            return;
        }
        if let Some(point) = self.unseen_part(request) {
            self.make_anew(request, point);
            return;
        }
        self.try_again(request);
    }

    /// The point reached by a caller whose earlier text this node has never seen: an engine
    /// cannot be given that text to go on from.
    fn unseen_part(&self, request: &RequestId) -> Option<ResumePoint> {
        let exchange = self.exchanges.get(request)?;
        let answer = &exchange.answer;
        if answer.tokens() == 0 || answer.whole_text().is_some() {
            return None;
        }
        Some(ResumePoint {
            request: request.clone(),
            attempt: answer.attempt(),
            engine: EngineId::new(""),
            offset: answer.tokens(),
            digest: answer.digest(),
        })
    }

    fn fail_lost(&mut self, request: &RequestId) {
        const RETRY_MS: u64 = 500;
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let execution = execution_of(exchange.delivered.tokens);
        let repeatable = exchange.repeatable;
        let message = "the engine failed while it had the request";
        let mut error = ErrorBody::failed(ErrorCode::EngineFailed, execution, message);
        if repeatable {
            error = error.retry_after_ms(RETRY_MS);
        }
        self.fail(request, error);
    }

    /// Nothing was heard of the present attempt for too long.
    pub(crate) fn on_stalled(&mut self, request: &RequestId) {
        let forwarded = matches!(
            self.exchanges.get(request).map(|exchange| &exchange.stage),
            Some(Stage::Forwarded { .. })
        );
        if forwarded {
            self.on_forward_lost(request);
        } else {
            self.on_lost(request);
        }
    }

    pub(crate) fn on_caller_gone(&mut self, connection: ConnectionId) {
        let Some(request) = self.connections.get(&connection).cloned() else {
            return;
        };
        let now = self.now;
        if let Some(exchange) = self.exchanges.get_mut(&request) {
            exchange.caller_gone = Some(now);
        }
    }
}

/// The one place that decides whether a failure may say that nothing has run.
fn truthful(exchange: &Exchange, error: ErrorBody) -> ErrorBody {
    if error.execution != Execution::NotRun {
        return error;
    }
    let delivered = exchange.delivered.tokens;
    if exchange.may_have_started || exchange.request.resume.is_some() {
        return ErrorBody { execution: execution_of(delivered), ..error };
    }
    // As long as the claim is not decided, an earlier submission may have run.
    if matches!(exchange.stage, Stage::Claiming(_) | Stage::Asking { .. }) {
        return ErrorBody { execution: Execution::Unknown, ..error };
    }
    error
}

enum HeldCheck {
    /// Not yet at the end of what the caller holds.
    Within,
    /// Just there; the next piece is new to the caller.
    Reached,
    /// Another answer.
    Differs,
}

fn pass_held_part(exchange: &mut Exchange, held: HeldPart) -> HeldCheck {
    let reached = exchange.answer.tokens();
    if reached < held.tokens {
        return HeldCheck::Within;
    }
    if reached == held.tokens && exchange.answer.digest() == held.digest {
        exchange.held = None;
        return HeldCheck::Reached;
    }
    HeldCheck::Differs
}
