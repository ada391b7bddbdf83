//! The ordered parts of a prompt. Requests whose first parts are equal share KV cache.

use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// One part of a prompt, the unit in which requests share KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// A prompt as nodes know it: lengths and identities without text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order. The last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Upper bound of the output, in tokens.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    pub fn shared_prefix(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Length of the shared prefix in tokens.
    pub fn shared_prefix_tokens(&self) -> u64 {
        self.shared_prefix().iter().map(|part| part.tokens).sum()
    }

    /// A key that is equal for all requests with the same shared prefix; `None` without a shared
    /// prefix.
    pub fn affinity_key(&self) -> Option<String> {
        let last = self.shared_prefix().last()?;
        let mut key = String::with_capacity(16);
        // Writing to a string cannot fail.
        let _ = write!(key, "{:x}", last.id);
        Some(key)
    }
}

/// The rendezvous weight of a candidate for a key. The candidate with the highest weight is the
/// home of the key, which all nodes determine without coordination.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(OFFSET, |state, byte| (state ^ u64::from(byte)).wrapping_mul(PRIME));
    mix_bits(hash)
}

/// The finalizer of SplitMix64: spreads the few bits in which similar inputs differ.
fn mix_bits(hash: u64) -> u64 {
    let mut mixed = hash;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
