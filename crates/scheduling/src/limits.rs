//! Limits on a tenant's tokens: a token bucket for each tenant.

use pitchstall_protocol::ids::TenantId;
use std::collections::HashMap;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level_micro_tokens: u64,
    updated_us: u64,
}

/// Whether a request is within its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// It is; the tokens were taken.
    Within,
    /// It is not. A request of this size will be within the limit after this many
    /// milliseconds, if no other comes first.
    Exceeded {
        /// Milliseconds.
        retry_after_ms: u64,
    },
    /// It is larger than the tenant's burst and never will be.
    TooLarge,
}

/// The buckets of all tenants.
#[derive(Clone, Debug, Default)]
pub struct TenantLimits {
    buckets: HashMap<TenantId, Bucket>,
}

impl TenantLimits {
    /// Takes tokens from a tenant's bucket, if they are there.
    pub fn take(
        &mut self,
        now_us: u64,
        tenant: &TenantId,
        tokens: u64,
        tokens_per_second: u64,
        burst_tokens: u64,
    ) -> LimitDecision {
        if tokens > burst_tokens {
            return LimitDecision::TooLarge;
        }
        let full = burst_tokens.saturating_mul(MICROS_PER_SECOND);
        let bucket = self
            .buckets
            .entry(tenant.clone())
            .or_insert(Bucket { level_micro_tokens: full, updated_us: now_us });
        let elapsed_us = now_us.saturating_sub(bucket.updated_us);
        let earned = elapsed_us.saturating_mul(tokens_per_second);
        bucket.level_micro_tokens = bucket.level_micro_tokens.saturating_add(earned).min(full);
        bucket.updated_us = now_us;
        let wanted = tokens.saturating_mul(MICROS_PER_SECOND);
        if bucket.level_micro_tokens >= wanted {
            bucket.level_micro_tokens -= wanted;
            return LimitDecision::Within;
        }
        let missing = wanted - bucket.level_micro_tokens;
        let wait_us = missing.div_ceil(tokens_per_second.max(1));
        LimitDecision::Exceeded { retry_after_ms: wait_us.div_ceil(1_000).max(1) }
    }

    /// Gives tokens back that a request did not use.
    pub fn give_back(&mut self, tenant: &TenantId, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            let returned = tokens.saturating_mul(MICROS_PER_SECOND);
            bucket.level_micro_tokens = bucket.level_micro_tokens.saturating_add(returned);
        }
    }
}
