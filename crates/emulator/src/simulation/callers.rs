//! Simulated callers: each has a wish, asks a node, goes on at another node when the
//! connection breaks, and asks again when told that this is sensible.

use crate::models::text::ExpectedAnswer;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::{CallerEvent, CompletionRequest, ResumePoint};
use pitchstall_protocol::error::{ErrorBody, Execution};
use pitchstall_protocol::ids::{RequestId, ServiceName, TenantId, ZoneId};
use std::time::Duration;

/// What a caller wants.
#[derive(Clone, Debug)]
pub struct Wish {
    /// When it asks first.
    pub at: Timestamp,
    /// The zone whose nodes it asks.
    pub zone: ZoneId,
    /// The tenant.
    pub tenant: TenantId,
    /// The service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Deadline of each submission.
    pub deadline: Duration,
    /// Idempotency key.
    pub key: Option<String>,
    /// Submissions in all.
    pub submissions: u32,
}

/// How a wish ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WishOutcome {
    /// The whole answer.
    Whole,
    /// A failure after the last submission.
    Failed(ErrorBody),
    /// No answer by the end of the run.
    Open,
}

/// A caller at work.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What it wants.
    pub wish: Wish,
    /// The answer that it should get.
    pub expected: ExpectedAnswer,
    /// Submissions so far.
    pub submitted: u32,
    /// The request in work.
    pub request: Option<RequestId>,
    /// Connection in use: the node's place in the world and a number.
    pub connection: Option<(usize, u64)>,
    /// Text so far.
    pub text: String,
    /// The point reached.
    pub point: Option<ResumePoint>,
    /// When it first asked.
    pub asked: Option<Timestamp>,
    /// When the first token came.
    pub first_token: Option<Timestamp>,
    /// When the last token came.
    pub last_token: Option<Timestamp>,
    /// Tokens received.
    pub tokens: u32,
    /// How it ended.
    pub outcome: WishOutcome,
    /// When it ended.
    pub ended: Option<Timestamp>,
    /// When anything was last heard.
    pub heard: Timestamp,
}

/// What a caller does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStep {
    /// Waits for more.
    Wait,
    /// Asks again after a time, at any node.
    AskAgain(Duration),
    /// Has ended.
    Done,
}

impl Caller {
    /// A caller that has not asked yet.
    pub fn new(wish: Wish) -> Self {
        let expected = ExpectedAnswer::to(&wish.prompt, wish.max_tokens);
        Self {
            wish,
            expected,
            submitted: 0,
            request: None,
            connection: None,
            text: String::new(),
            point: None,
            asked: None,
            first_token: None,
            last_token: None,
            tokens: 0,
            outcome: WishOutcome::Open,
            ended: None,
            heard: Timestamp(0),
        }
    }

    /// The submission to send: a new request, or the rest of the present one.
    pub fn submission(&mut self, now: Timestamp, fresh_id: RequestId) -> CompletionRequest {
        self.submitted += 1;
        self.asked.get_or_insert(now);
        self.heard = now;
        let request = match &self.point {
            Some(point) => point.request.clone(),
            None => fresh_id,
        };
        self.request = Some(request.clone());
        CompletionRequest {
            request,
            tenant: self.wish.tenant.clone(),
            service: self.wish.service.clone(),
            prompt: self.wish.prompt.clone(),
            max_tokens: self.wish.max_tokens,
            deadline_ms: self.wish.deadline.as_millis() as u64,
            idempotency_key: self.wish.key.clone(),
            resume: self.point.clone(),
            entry_zone: None,
            hops: 0,
        }
    }

    /// Takes an event of the present connection.
    pub fn on_event(&mut self, now: Timestamp, event: &CallerEvent) -> CallerStep {
        self.heard = now;
        match event {
            CallerEvent::Piece { point, text } => {
                self.first_token.get_or_insert(now);
                self.last_token = Some(now);
                self.tokens += 1;
                self.text.push_str(text);
                self.point = Some(point.clone());
                CallerStep::Wait
            }
            CallerEvent::Finished { .. } => {
                self.end(now, WishOutcome::Whole);
                CallerStep::Done
            }
            CallerEvent::Failed { error } => self.on_failed(now, error),
        }
    }

    fn on_failed(&mut self, now: Timestamp, error: &ErrorBody) -> CallerStep {
        self.connection = None;
        let safe = error.execution == Execution::NotRun || self.wish.key.is_some();
        let again = safe && error.retry_after_ms.is_some();
        if again && self.submitted < self.wish.submissions {
            let wait = Duration::from_millis(error.retry_after_ms.unwrap_or(0).min(3_000));
            return CallerStep::AskAgain(wait);
        }
        self.end(now, WishOutcome::Failed(error.clone()));
        CallerStep::Done
    }

    /// The connection broke, or nothing was heard for too long.
    pub fn on_broken(&mut self, now: Timestamp) -> CallerStep {
        const PAUSE: Duration = Duration::from_millis(200);
        self.connection = None;
        if self.submitted < self.wish.submissions {
            return CallerStep::AskAgain(PAUSE);
        }
        let message = "the connection broke";
        let code = pitchstall_protocol::error::ErrorCode::EngineFailed;
        let error = ErrorBody::failed(code, Execution::Unknown, message);
        self.end(now, WishOutcome::Failed(error));
        CallerStep::Done
    }

    fn end(&mut self, now: Timestamp, outcome: WishOutcome) {
        self.outcome = outcome;
        self.ended = Some(now);
        self.connection = None;
    }
}
