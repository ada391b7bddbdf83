//! Rendezvous hashing (Thaler and Ravishankar, 1998): which of several members has charge
//! of a key. A member that goes moves only the keys it had charge of.

use std::hash::{Hash, Hasher};

/// A deterministic hasher (FNV-1a); the standard one is seeded differently on each start.
#[derive(Clone, Copy)]
pub struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Spreads the bits of a state (finalizer of SplitMix64, after Steele, Lea and Flood).
pub fn mix(state: u64) -> u64 {
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// A hash that is the same in every process.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = StableHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The member that has charge of the key; `None` without members.
pub fn owner<'a, Member: Hash + Ord>(
    key: &impl Hash,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.into_iter().max_by_key(|member| (stable_hash(&(key, *member)), *member))
}
