//! A model of a runner's KV cache, based on the prompts that nodes have observed being prefilled
//! there.
//!
//! The model may be wrong, because runners evict parts without notice. A part that is missing is
//! prefilled again, which only costs time.

use crate::prefix::PromptPart;
use std::collections::HashMap;

/// The prompt parts that a runner probably holds: the most recently used ones.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheModel {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used_at_us: u64,
}

/// Share of a runner's KV cache that is assumed to hold prefixes, in percent; running requests need
/// the rest.
const MAX_CACHED_PERCENT: u64 = 70;

impl PrefixCacheModel {
    /// Number of tokens held from the start of these parts without a gap.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let held = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Records that the runner has prefilled or fetched these parts, and evicts the least recently
    /// used ones beyond the assumed capacity. `capacity` is the size of its KV cache in tokens.
    pub fn on_prefix_cached(&mut self, parts: &[PromptPart], now_us: u64, capacity: u64) {
        for part in parts {
            let entry = CachedPart { tokens: part.tokens, used_at_us: now_us };
            if self.parts.insert(part.id, entry).is_none() {
                self.tokens += part.tokens;
            }
        }
        while self.tokens > capacity * MAX_CACHED_PERCENT / 100 {
            if !self.evict_least_recently_used() {
                break;
            }
        }
    }

    fn evict_least_recently_used(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used_at_us);
        let Some((id, tokens)) = oldest.map(|(id, part)| (*id, part.tokens)) else {
            return false;
        };
        self.parts.remove(&id);
        self.tokens -= tokens;
        true
    }
}
