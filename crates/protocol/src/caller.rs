//! Messages between callers and nodes, after HTTP has been taken off.

use crate::ids::{AttemptNumber, EngineId, RequestId, ServiceName, TenantId, ZoneId};
use serde::{Deserialize, Serialize};

/// Upper limits on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLimits {
    /// Most prompt tokens.
    pub max_prompt_tokens: u32,
    /// Most output tokens.
    pub max_output_tokens: u32,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self { max_prompt_tokens: 131_072, max_output_tokens: 8_192 }
    }
}

/// One request for a completion, as the node's state machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Unique over all nodes and all time.
    pub request: RequestId,
    /// Who asks.
    pub tenant: TenantId,
    /// Which service is asked; callers name it as the `model`.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Milliseconds from arrival to the end of the answer.
    pub deadline_ms: u64,
    /// Idempotency key, unique for a tenant and a service.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub idempotency_key: Option<String>,
    /// Where to go on after a broken connection.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub resume: Option<ResumePoint>,
    /// The zone in which the request came in, once it has been passed to another one.
    /// Policy programs decide by it, wherever they run.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub entry_zone: Option<ZoneId>,
    /// How often the request has been passed from node to node.
    #[serde(default)]
    pub hops: u8,
}

impl CompletionRequest {
    /// Estimated prompt tokens. Without the model's tokenizer a token is taken as four
    /// bytes, the common rule of thumb for English text; engines report the true count.
    pub fn estimated_prompt_tokens(&self) -> u32 {
        const BYTES_PER_TOKEN: usize = 4;
        u32::try_from(self.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
    }
}

/// The point reached by a caller in an answer, carried in each server-sent event's `id`
/// and handed back as `Last-Event-ID`. It names the engine, so that any node can go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The request.
    pub request: RequestId,
    /// The attempt that produced the answer so far.
    pub attempt: AttemptNumber,
    /// The engine that runs the attempt.
    pub engine: EngineId,
    /// Tokens that the caller holds.
    pub offset: u32,
    /// Digest of the text that the caller holds; see [`TextDigest`].
    pub digest: TextDigest,
}

impl ResumePoint {
    /// The wire form: `request~attempt~engine~offset~digest`.
    pub fn encode(&self) -> String {
        format!(
            "{}~{}~{}~{}~{:016x}",
            self.request, self.attempt, self.engine, self.offset, self.digest.0
        )
    }

    /// Reads the wire form; `None` if it has another shape.
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split('~');
        let request = parts.next().filter(|part| !part.is_empty())?;
        let attempt = parts.next()?.parse().ok()?;
        let engine = parts.next()?;
        let offset = parts.next()?.parse().ok()?;
        let digest = u64::from_str_radix(parts.next()?, 16).ok()?;
        if parts.next().is_some() {
            return None;
        }
        Some(Self {
            request: request.into(),
            attempt: AttemptNumber(attempt),
            engine: engine.into(),
            offset,
            digest: TextDigest(digest),
        })
    }
}

/// Rolling digest of an answer's text (FNV-1a, 64 bit, after Fowler, Noll and Vo). It tells
/// a repeated answer from a different one; it is no defence against an adversary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextDigest(pub u64);

impl Default for TextDigest {
    fn default() -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        Self(OFFSET_BASIS)
    }
}

impl TextDigest {
    /// The digest after more text.
    pub fn extend(self, text: &str) -> Self {
        const PRIME: u64 = 0x0100_0000_01b3;
        Self(text.bytes().fold(self.0, |state, byte| (state ^ u64::from(byte)).wrapping_mul(PRIME)))
    }

    /// The digest of a whole text.
    pub fn of(text: &str) -> Self {
        Self::default().extend(text)
    }
}

/// What a caller receives, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum CallerEvent {
    /// A piece of the answer.
    Piece {
        /// The point reached after this piece.
        point: ResumePoint,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Token counts of the whole answer.
        usage: Usage,
    },
    /// The request has failed; nothing follows.
    Failed {
        /// The failure.
        error: crate::error::ErrorBody,
    },
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read.
    pub prompt_tokens: u32,
    /// Tokens written.
    pub completion_tokens: u32,
}
