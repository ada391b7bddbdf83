//! A request with an idempotency key: its claim, and what is told to those who come second.

use crate::exchange::{Origin, Stage};
use crate::node::{Node, OwnClaim, OwnClaimState, PendingRefusal, Purpose};
use pitchstall_coordination::claims::{body_digest, ClaimOutcome, ClaimRecord};
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::{CompletionRequest, ResumePoint, TextDigest, Usage};
use pitchstall_protocol::error::{ErrorBody, ErrorCode, Execution};
use pitchstall_protocol::ids::{ClaimId, EngineId, NodeId, RequestId};
use pitchstall_protocol::peer::{ClaimFate, PeerMessage};
use pitchstall_protocol::store::{StoreError, StoreReply, StoreRequest};

/// Milliseconds after which a running request may have ended.
const RETRY_WHILE_RUNNING_MS: u64 = 1_000;
/// Milliseconds after which a store that refused may be asked again.
const RETRY_STORE_MS: u64 = 2_000;

impl Node {
    /// Claims the idempotency key of a request, or finds that it was used here before.
    pub(crate) fn claim(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let Some(key) = exchange.claim_key.clone() else {
            return;
        };
        let body = body_digest(&exchange.request);
        let known = self.own_claims.get(&key).cloned();
        match known {
            Some(own) if !matches!(own.state, OwnClaimState::Abandoned) => {
                self.tell_fate(request, body, own.body, &fate_of(&own.state));
            }
            _ => self.submit_claim(request, key, body, None),
        }
    }

    fn submit_claim(&mut self, request: &RequestId, key: String, body: u64, replaces: Option<u64>) {
        self.claim_count += 1;
        self.counters.claims += 1;
        let claim = ClaimId::new(format!(
            "{}.{}/{}",
            self.settings.node, self.settings.incarnation, self.claim_count
        ));
        let own = OwnClaim {
            claim: claim.clone(),
            body,
            state: OwnClaimState::Running,
            changed: self.now,
        };
        if let Some(previous) = self.own_claims.insert(key.clone(), own) {
            // Only an abandoned claim is ever followed by another.
            self.abandoned_claims.insert(previous.claim, self.now);
        }
        self.claim_waiters.insert(claim.clone(), request.clone());
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.stage = Stage::Claiming(claim.clone());
        }
        self.claim_writer.submit(key, claim, body, replaces);
        self.poll_claims();
    }

    pub(crate) fn tick_claims(&mut self) {
        self.poll_claims();
        let timeout = self.settings.requests.claim_question_timeout;
        let overdue: Vec<RequestId> = self
            .exchanges
            .values()
            .filter(|exchange| match &exchange.stage {
                Stage::Asking { since, .. } => self.now.since(*since) >= timeout,
                _ => false,
            })
            .map(|exchange| exchange.request.request.clone())
            .collect();
        for request in overdue {
            self.tell_key_in_use(&request, None);
        }
    }

    fn poll_claims(&mut self) {
        if let Some(request) = self.claim_writer.poll(self.now) {
            self.call_store(Purpose::Claims { sent: self.now }, request);
        }
    }

    pub(crate) fn on_claims_reply(
        &mut self,
        sent: Timestamp,
        reply: Result<StoreReply, StoreError>,
    ) {
        let (outcomes, next) = self.claim_writer.on_reply(self.now, sent, reply);
        if let Some(request) = next {
            self.call_store(Purpose::Claims { sent: self.now }, request);
        }
        for (claim, outcome) in outcomes {
            self.on_claim_outcome(&claim, outcome);
        }
        self.poll_claims();
    }

    fn on_claim_outcome(&mut self, claim: &ClaimId, outcome: ClaimOutcome) {
        // Without a waiter the claim was given up; it stays abandoned whatever it came to.
        let Some(request) = self.claim_waiters.remove(claim) else {
            return;
        };
        match outcome {
            ClaimOutcome::Won => self.enqueue(&request),
            ClaimOutcome::Taken { record, mod_revision } => {
                self.on_key_taken(&request, record, mod_revision);
            }
            // This submission has not run; whether an earlier one has cannot be known.
            ClaimOutcome::Unavailable => {
                let message = "the claim on the idempotency key could not be stored";
                let code = ErrorCode::PlatformUnavailable;
                let error = ErrorBody::failed(code, Execution::Unknown, message)
                    .retry_after_ms(RETRY_STORE_MS);
                self.fail(&request, error);
            }
        }
    }

    fn on_key_taken(&mut self, request: &RequestId, record: ClaimRecord, mod_revision: u64) {
        self.forget_own_claim(request);
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        if record.body != body_digest(&exchange.request) {
            self.tell_key_mismatch(request);
            return;
        }
        let node = record.node.clone();
        let claim = record.claim.clone();
        exchange.stage = Stage::Asking { record, mod_revision, since: self.now };
        if node == self.settings.node {
            let fate = self.fate_of_claim(&claim);
            self.on_claim_fate(&node, &claim, &fate);
        } else if !self.tell_peer(&node, PeerMessage::AskClaim { claim }) {
            self.tell_key_in_use(request, None);
        }
    }

    pub(crate) fn on_ask_claim(&mut self, from: &NodeId, claim: ClaimId) {
        let fate = self.fate_of_claim(&claim);
        self.tell_peer(from, PeerMessage::ClaimFate { claim, fate });
    }

    fn fate_of_claim(&self, claim: &ClaimId) -> ClaimFate {
        if self.abandoned_claims.contains_key(claim) {
            return ClaimFate::Abandoned;
        }
        let own = self.own_claims.values().find(|own| own.claim == *claim);
        own.map_or(ClaimFate::Unknown, |own| fate_of(&own.state))
    }

    pub(crate) fn on_claim_fate(&mut self, from: &NodeId, claim: &ClaimId, fate: &ClaimFate) {
        let asker = self.exchanges.values().find_map(|exchange| match &exchange.stage {
            Stage::Asking { record, mod_revision, .. }
                if record.claim == *claim && record.node == *from =>
            {
                Some((exchange.request.request.clone(), record.body, *mod_revision))
            }
            _ => None,
        });
        let Some((request, body, mod_revision)) = asker else {
            return;
        };
        if *fate == ClaimFate::Abandoned {
            // Its node will never dispatch it, so the key is free to be claimed anew. Of
            // several that try, the comparison at the store lets one through.
            let key = self.exchanges.get(&request).and_then(|it| it.claim_key.clone());
            if let Some(key) = key {
                self.submit_claim(&request, key, body, Some(mod_revision));
            }
            return;
        }
        self.tell_fate(&request, body, body, fate);
    }

    fn tell_fate(&mut self, request: &RequestId, body: u64, claimed_body: u64, fate: &ClaimFate) {
        if body != claimed_body {
            self.tell_key_mismatch(request);
            return;
        }
        match fate {
            ClaimFate::Ended { text, usage } => self.replay(request, text, *usage),
            ClaimFate::Running => self.tell_key_in_use(request, Some(RETRY_WHILE_RUNNING_MS)),
            ClaimFate::Abandoned | ClaimFate::Unknown => self.tell_key_in_use(request, None),
        }
    }

    /// Refuses a request whose key may have been used before: only if the store shows no
    /// claim on it is it true that nothing has run.
    pub(crate) fn refuse_if_unused(
        &mut self,
        origin: &Origin,
        request: &CompletionRequest,
        key: String,
        error: ErrorBody,
    ) {
        /// More checks at once would put an overload on to the store.
        const CHECKS_LIMIT: usize = 32;
        let refusal = PendingRefusal {
            origin: origin.clone(),
            request: request.request.clone(),
            key: key.clone(),
            error,
        };
        if self.pending_refusals >= CHECKS_LIMIT {
            self.refuse_with(refusal, Execution::Unknown);
            return;
        }
        self.pending_refusals += 1;
        let get = StoreRequest::Get { keys: vec![key] };
        self.call_store(Purpose::KeyCheck(Box::new(refusal)), get);
    }

    pub(crate) fn on_key_checked(
        &mut self,
        refusal: PendingRefusal,
        reply: &Result<StoreReply, StoreError>,
    ) {
        self.pending_refusals -= 1;
        let unused = match reply {
            Ok(StoreReply::Values { values, .. }) => {
                !values.iter().any(|value| value.key == refusal.key)
            }
            _ => false,
        };
        let execution = if unused { Execution::NotRun } else { Execution::Unknown };
        self.refuse_with(refusal, execution);
    }

    fn refuse_with(&mut self, refusal: PendingRefusal, execution: Execution) {
        let PendingRefusal { origin, request, error, .. } = refusal;
        self.refuse(&origin, &request, ErrorBody { execution, ..error });
    }

    fn tell_key_mismatch(&mut self, request: &RequestId) {
        let message = "the idempotency key was used before with another body";
        let error = ErrorBody::failed(ErrorCode::KeyMismatch, Execution::Unknown, message);
        self.fail_second(request, error);
    }

    fn tell_key_in_use(&mut self, request: &RequestId, retry_after_ms: Option<u64>) {
        let message = match retry_after_ms {
            Some(_) => "a request with this idempotency key is running",
            None => "a request with this idempotency key may have run; its result is not known",
        };
        let mut error = ErrorBody::failed(ErrorCode::KeyInUse, Execution::Unknown, message);
        error.retry_after_ms = retry_after_ms;
        self.fail_second(request, error);
    }

    /// Fails a request whose key belongs to another claim, which must not be touched.
    fn fail_second(&mut self, request: &RequestId, error: ErrorBody) {
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.claim_key = None;
        }
        self.fail(request, error);
    }

    fn replay(&mut self, request: &RequestId, text: &str, usage: Usage) {
        self.counters.replays += 1;
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.claim_key = None;
        let point = ResumePoint {
            request: request.clone(),
            attempt: exchange.answer.attempt(),
            engine: EngineId::new("replay"),
            offset: usage.completion_tokens,
            digest: TextDigest::of(text),
        };
        self.deliver(request, point, text.to_owned());
        self.finish(request, usage);
    }

    /// The own record of a claim that lost to another one.
    fn forget_own_claim(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        if let (Some(key), Stage::Claiming(claim)) = (&exchange.claim_key, &exchange.stage) {
            if self.own_claims.get(key).is_some_and(|own| own.claim == *claim) {
                self.own_claims.remove(key);
            }
        }
    }

    /// Notes what became of the claim of a request that has ended.
    pub(crate) fn settle_claim(&mut self, request: &RequestId, state: OwnClaimState) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        if let Stage::Claiming(claim) = &exchange.stage {
            self.claim_writer.withdraw(claim);
            self.claim_waiters.remove(claim);
        }
        let Some(key) = &exchange.claim_key else {
            return;
        };
        if let Some(own) = self.own_claims.get_mut(key) {
            own.state = state;
            own.changed = self.now;
        }
    }

    /// Forgets old answers. A claim without a record here is answered as unknown, so this
    /// is always safe.
    pub(crate) fn expire_claims(&mut self) {
        let retention = self.settings.requests.answer_retention;
        let now = self.now;
        self.own_claims.retain(|_, own| {
            matches!(own.state, OwnClaimState::Running) || now.since(own.changed) < retention
        });
        self.abandoned_claims.retain(|_, since| now.since(*since) < retention);
        let excess = self.own_claims.len().saturating_sub(self.settings.requests.answer_limit);
        if excess == 0 {
            return;
        }
        let mut ended: Vec<(Timestamp, String)> = self
            .own_claims
            .iter()
            .filter(|(_, own)| !matches!(own.state, OwnClaimState::Running))
            .map(|(key, own)| (own.changed, key.clone()))
            .collect();
        ended.sort();
        for (_, key) in ended.into_iter().take(excess) {
            self.own_claims.remove(&key);
        }
    }

    /// Whether an answer is wanted even when its caller has gone: it will be replayed.
    pub(crate) fn keeps_answer(&self, request: &RequestId) -> bool {
        self.exchanges
            .get(request)
            .is_some_and(|it| it.claim_key.is_some() && !matches!(it.origin, Origin::Nobody))
    }
}

fn fate_of(state: &OwnClaimState) -> ClaimFate {
    match state {
        OwnClaimState::Running => ClaimFate::Running,
        OwnClaimState::Ended { text, usage } => {
            ClaimFate::Ended { text: text.clone(), usage: *usage }
        }
        OwnClaimState::Abandoned => ClaimFate::Abandoned,
        OwnClaimState::Failed => ClaimFate::Unknown,
    }
}
