//! Putting an answer together from an engine's stream, so that a caller gets the whole of
//! its own answer or an error, and nothing else.
//!
//! Every event names its request, attempt and offset. What belongs elsewhere is dropped,
//! what came before is dropped, a gap asks for a resume, and an end at the wrong place is
//! no end.

use pitchstall_protocol::caller::TextDigest;
use pitchstall_protocol::engine::{AttemptKey, EngineEvent, EngineEventKind, RefusalReason};
use pitchstall_protocol::ids::{AttemptNumber, RequestId};

/// What an event means for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assembly {
    /// The next piece of the answer.
    Piece(String),
    /// The event changes nothing: a duplicate, or of an attempt that was given up.
    Ignored,
    /// The event belongs to another request: the stream is not to be trusted.
    Crossed,
    /// Tokens are missing before this event.
    Gap,
    /// The prompt is read.
    Prefilled,
    /// The answer is whole.
    Whole {
        /// Prompt tokens read.
        prompt_tokens: u32,
    },
    /// The engine never started the attempt.
    Refused(RefusalReason),
    /// The engine gave the attempt up.
    Failed,
}

/// The answer to one request so far.
#[derive(Clone, Debug)]
pub struct StreamAssembler {
    request: RequestId,
    attempt: AttemptNumber,
    text: String,
    tokens: u32,
    digest: TextDigest,
    started: bool,
}

impl StreamAssembler {
    /// An answer of which nothing has arrived. Attempts are counted from `base`, which
    /// differs between nodes, so that two nodes never give one number to two attempts.
    pub fn new(request: RequestId, base: AttemptNumber) -> Self {
        Self {
            request,
            attempt: base,
            text: String::new(),
            tokens: 0,
            digest: TextDigest::default(),
            started: false,
        }
    }

    /// An answer of which the caller holds a part, whose text is known only by its digest.
    pub fn resumed(
        request: RequestId,
        attempt: AttemptNumber,
        tokens: u32,
        digest: TextDigest,
    ) -> Self {
        Self { request, attempt, text: String::new(), tokens, digest, started: true }
    }

    /// Listens to another node's attempt, to go on reading it.
    pub fn adopt_attempt(&mut self, attempt: AttemptNumber) {
        self.attempt = attempt;
    }

    /// Starts a new attempt, which goes on where the answer stands. Events of earlier
    /// attempts are ignored from now on.
    pub fn begin_attempt(&mut self) -> AttemptNumber {
        self.attempt = self.attempt.next();
        self.attempt
    }

    /// The attempt that is listened to.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// The key of that attempt.
    pub fn key(&self) -> AttemptKey {
        AttemptKey { request: self.request.clone(), attempt: self.attempt }
    }

    /// Tokens of the answer so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Text of the answer so far; only the part after the resume for a resumed answer.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Text of the answer so far, if all of it was seen here.
    pub fn whole_text(&self) -> Option<&str> {
        (TextDigest::of(&self.text) == self.digest).then_some(self.text.as_str())
    }

    /// Digest of the whole text so far.
    pub fn digest(&self) -> TextDigest {
        self.digest
    }

    /// Whether any engine is known to have started the request.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Takes an event.
    pub fn on_event(&mut self, event: EngineEvent) -> Assembly {
        if event.key.request != self.request {
            return Assembly::Crossed;
        }
        if event.key.attempt != self.attempt {
            return Assembly::Ignored;
        }
        match event.kind {
            EngineEventKind::Tokens { offset, count, text } => {
                self.started = true;
                self.on_tokens(offset, count, text)
            }
            EngineEventKind::Prefilled => {
                self.started = true;
                Assembly::Prefilled
            }
            EngineEventKind::Finished { prompt_tokens, total_tokens } => {
                self.started = true;
                if total_tokens == self.tokens {
                    Assembly::Whole { prompt_tokens }
                } else {
                    Assembly::Gap
                }
            }
            EngineEventKind::Refused { reason } => Assembly::Refused(reason),
            EngineEventKind::Failed => {
                self.started = true;
                Assembly::Failed
            }
        }
    }

    fn on_tokens(&mut self, offset: u32, count: u32, text: String) -> Assembly {
        let end = offset.saturating_add(count);
        if end <= self.tokens {
            return Assembly::Ignored;
        }
        // A piece that reaches back cannot be cut: its text has no token borders.
        if offset != self.tokens {
            return Assembly::Gap;
        }
        self.tokens = end;
        self.digest = self.digest.extend(&text);
        self.text.push_str(&text);
        Assembly::Piece(text)
    }
}
