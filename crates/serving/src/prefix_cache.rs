//! A model of a runner's KV cache, based on the prompts that nodes have observed being prefilled
//! there.
//!
//! The model may be wrong, because runners evict parts without notice. A part that is missing is
//! prefilled again, which only costs time.

use crate::prefix::PromptPart;
use std::collections::{BTreeSet, HashMap};

/// The prompt parts that a runner probably holds: the most recently used ones.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheModel {
    parts: HashMap<u64, CachedPart>,
    /// The parts by the time of their last use, in microseconds, and their identity.
    by_use: BTreeSet<(u64, u64)>,
    /// Tokens of all parts, each with at least [`MIN_COUNTED_TOKENS`].
    counted_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    counted_tokens: u64,
    used_at_us: u64,
}

/// Share of a runner's KV cache that is assumed to hold prefixes, in percent; running requests need
/// the rest.
const MAX_CACHED_PERCENT: u64 = 70;
/// Tokens that a part counts for at least, so that the number of parts is bounded whatever lengths clients give.
const MIN_COUNTED_TOKENS: u64 = 128;

impl PrefixCacheModel {
    /// Number of parts held.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Number of tokens held from the start of these parts without a gap.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let held = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Records that the runner has prefilled or fetched these parts, and evicts the least recently
    /// used ones beyond the assumed capacity. `capacity` is the size of its KV cache in tokens.
    pub fn on_prefix_cached(&mut self, parts: &[PromptPart], now_us: u64, capacity: u64) {
        for part in parts {
            self.remove(part.id);
            self.insert(part, now_us);
        }
        let max_tokens = capacity.saturating_mul(MAX_CACHED_PERCENT) / 100;
        while self.counted_tokens > max_tokens {
            let Some((_, oldest)) = self.by_use.first().copied() else { return };
            self.remove(oldest);
        }
    }

    fn insert(&mut self, part: &PromptPart, used_at_us: u64) {
        let counted_tokens = part.tokens.max(MIN_COUNTED_TOKENS);
        self.parts.insert(part.id, CachedPart { counted_tokens, used_at_us });
        self.by_use.insert((used_at_us, part.id));
        self.counted_tokens = self.counted_tokens.saturating_add(counted_tokens);
    }

    fn remove(&mut self, id: u64) {
        let Some(part) = self.parts.remove(&id) else { return };
        self.by_use.remove(&(part.used_at_us, id));
        self.counted_tokens = self.counted_tokens.saturating_sub(part.counted_tokens);
    }
}
