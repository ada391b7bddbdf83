//! What is assumed of a runner's KV cache.
#![allow(missing_docs)]

use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::prefix_cache::PrefixCacheModel;
use test_case::test_case;

const CAPACITY_TOKENS: u64 = 100_000;

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

/// Guards against parts that are remembered without end, as clients give them few tokens or none.
#[test_case(0)]
#[test_case(1)]
fn the_number_of_parts_is_bounded_whatever_their_length(tokens: u64) {
    const PARTS: u64 = 100_000;
    const MAX_PARTS: usize = 1_000;
    let mut cache = PrefixCacheModel::default();
    for id in 0..PARTS {
        cache.on_prefix_cached(&[part(id, tokens)], id, CAPACITY_TOKENS);
    }
    assert!(cache.part_count() <= MAX_PARTS, "{} parts", cache.part_count());
    assert_eq!(cache.cached_tokens(&[part(PARTS - 1, tokens)]), tokens);
}

#[test]
fn the_parts_that_were_used_last_are_held() {
    let mut cache = PrefixCacheModel::default();
    cache.on_prefix_cached(&[part(1, 30_000), part(2, 30_000)], 0, CAPACITY_TOKENS);
    cache.on_prefix_cached(&[part(1, 30_000), part(3, 30_000)], 1, CAPACITY_TOKENS);
    assert_eq!(cache.cached_tokens(&[part(1, 30_000), part(3, 30_000)]), 60_000);
    assert_eq!(cache.cached_tokens(&[part(2, 30_000)]), 0);
}
