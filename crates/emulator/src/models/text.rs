//! The text that emulated engines write: a function of the prompt alone, so that a caller
//! can tell its own whole answer from any other.

use pitchstall_coordination::placement::{mix, stable_hash};
use pitchstall_protocol::caller::TextDigest;

/// The answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    seed: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl ExpectedAnswer {
    /// The answer to a prompt under a limit. Its length is between half of the limit and
    /// the limit, as services seldom use their limit up.
    pub fn to(prompt: &str, max_tokens: u32) -> Self {
        let seed = TextDigest::of(prompt).0;
        let least = max_tokens.div_ceil(2).max(1);
        let span = u64::from(max_tokens.saturating_sub(least)) + 1;
        let tokens = least + (stable_hash(&seed) % span) as u32;
        Self { seed, tokens }
    }

    /// The text of one token.
    pub fn token(&self, place: u32) -> String {
        const WORDS: u64 = 10_000;
        let word = mix(self.seed ^ (u64::from(place) << 32 | 0x5bd1)) % WORDS;
        format!(" w{word}")
    }

    /// The text of the first tokens.
    pub fn text(&self, tokens: u32) -> String {
        (0..tokens).map(|place| self.token(place)).collect()
    }

    /// The whole text.
    pub fn whole(&self) -> String {
        self.text(self.tokens)
    }
}
