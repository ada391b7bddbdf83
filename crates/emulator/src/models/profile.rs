//! Parameters of emulated engines and deployments. `docs/emulator.md` says where each
//! number is from and which are assumed.

use pitchstall_protocol::configuration::EngineSpeed;
use serde::{Deserialize, Serialize};

/// Parameters of an emulated engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Prompt tokens read a second when nothing else runs.
    pub prompt_tokens_per_second: u64,
    /// Microseconds of a step without sequences.
    pub step_base_us: u64,
    /// Microseconds that each sequence adds to a step.
    pub step_per_sequence_us: u64,
    /// Most sequences in a batch.
    pub max_sequences: usize,
    /// Most prompt tokens read in one step.
    pub prompt_tokens_per_step: u64,
    /// Most sequences that wait.
    pub queue_limit: usize,
    /// Tokens of KV cache.
    pub cache_tokens: u64,
    /// Tokens in a cached block.
    pub block_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_bytes_per_token: u64,
    /// Bytes of KV cache moved a second between two engines.
    pub cache_transfer_bytes_per_second: u64,
    /// Milliseconds that a role change takes once the engine is idle.
    pub role_change_ms: u64,
    /// Bytes of a model's weights.
    pub weight_bytes: u64,
    /// Milliseconds by which load reports lag.
    pub report_lag_ms: u64,
    /// Milliseconds that an attempt without a reader goes on.
    pub unread_grace_ms: u64,
    /// Milliseconds that an ended attempt can be read again.
    pub ended_retention_ms: u64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        let speed = EngineSpeed::default();
        Self {
            prompt_tokens_per_second: speed.prompt_tokens_per_second,
            step_base_us: speed.step_base_us,
            step_per_sequence_us: speed.step_per_sequence_us,
            max_sequences: speed.max_sequences as usize,
            prompt_tokens_per_step: 1_024,
            queue_limit: 64,
            cache_tokens: 200_000,
            block_tokens: 2_000,
            kv_bytes_per_token: 300_000,
            cache_transfer_bytes_per_second: speed.cache_transfer_bytes_per_second,
            role_change_ms: speed.role_change_ms,
            weight_bytes: 16_000_000_000,
            report_lag_ms: 250,
            unread_grace_ms: 8_000,
            ended_retention_ms: 30_000,
        }
    }
}

impl EngineProfile {
    /// What operators would measure of such an engine.
    pub fn speed(&self) -> EngineSpeed {
        EngineSpeed {
            prompt_tokens_per_second: self.prompt_tokens_per_second,
            step_base_us: self.step_base_us,
            step_per_sequence_us: self.step_per_sequence_us,
            max_sequences: self.max_sequences as u32,
            cache_transfer_bytes_per_second: self.cache_transfer_bytes_per_second,
            role_change_ms: self.role_change_ms,
        }
    }
}
