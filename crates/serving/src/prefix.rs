//! The parts of a prompt, in order. Requests with the same first parts share KV cache.

use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt as the router sees it: lengths and identities, no text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Tokens in.
    pub tokens: u64,
    /// Most tokens out.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// The parts that other requests may have too.
    pub fn shared_prefix(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_prefix_tokens(&self) -> u64 {
        self.shared_prefix().iter().map(|part| part.tokens).sum()
    }

    /// What requests with the same shared parts have in common; `None` without shared parts.
    pub fn affinity_key(&self) -> Option<String> {
        let last = self.shared_prefix().last()?;
        let mut key = String::with_capacity(16);
        // Writing to a string cannot fail.
        let _ = write!(key, "{:x}", last.id);
        Some(key)
    }
}

/// Rendezvous weight of a key at a place: the place with the highest weight is its home, and
/// all nodes find the same one without talking to each other.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(OFFSET, |state, byte| (state ^ u64::from(byte)).wrapping_mul(PRIME));
    mix_bits(hash)
}

/// The finishing step of SplitMix64: spreads the few differing bits of similar inputs.
fn mix_bits(hash: u64) -> u64 {
    let mut mixed = hash;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
