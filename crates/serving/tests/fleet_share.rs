//! How often a fleet acts as a whole when every node may act on its own.
#![allow(missing_docs)]

use pitchstall_serving::fleet_share::{spread_delay, NODES_ACTING_AT_ONCE};
use test_case::test_case;

const DELAY_MS: std::ops::Range<u64> = 2_000..6_000;

/// Number of nodes whose delay ends within a time, with random numbers that are spread evenly.
fn acting_within(nodes: usize, time_ms: u64) -> usize {
    let delay = |node: usize| spread_delay(&DELAY_MS, nodes, node as f64 / nodes as f64);
    (0..nodes).filter(|node| delay(*node) < time_ms).count()
}

/// Guards against rewrites of lost entries by all nodes of a large fleet within the same seconds.
#[test_case(100)]
#[test_case(1_000)]
#[test_case(2_000)]
fn a_large_fleet_acts_as_often_as_a_small_one(nodes: usize) {
    for time_ms in [2_500, 4_000, DELAY_MS.end] {
        let small = acting_within(NODES_ACTING_AT_ONCE, time_ms);
        assert!(acting_within(nodes, time_ms) <= small + 1, "within {time_ms} ms");
    }
}
