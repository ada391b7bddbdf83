//! Readers of the store whose history the store has dropped.
//!
//! What callers saw: from the moment of a large change of the configuration on, every request at both nodes of a region was
//! refused as outdated, for good, though the store was there and the nodes of the other region served.
//! Order of events: the store dropped its history beyond what both nodes knew; each began to read everything anew, which took
//! longer than half a second over its link; then it asked the other one, took its copy, which was as old as its own, and dropped
//! what the store had sent; the watch from there was refused, and so on, every 0.7 s.
//! Cause: a node that was told that the history is gone forgot up to where it knew everything, so that any copy counted as news, also
//! one at the very revision that the store had just refused; and news ends a read of the store.
//! Evidence: lines `history gone`, `hedge won` and `history gone` again with the same revision, some thirty rounds, with 220 KB of the
//! store's answer received in each; a reader alone has the configuration.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::narrow_link::NarrowLink;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use std::time::Duration;
use support::{configuration, large_configuration, serves, wait_for, Fixture, Place};
use test_case::test_case;

/// The store's answer takes some four seconds.
const BYTES_A_SECOND: u64 = 300_000;

/// Nodes of one zone that all read the store, over narrow links of their own, and reach each other at once.
#[test_case(1; "a reader alone")]
#[test_case(2; "two readers that know the same")]
fn readers_have_the_configuration_though_the_history_of_what_they_know_is_gone(readers: usize) {
    let store = StoreStandIn::start().unwrap();
    let runner =
        RunnerStandIn::start("i-1", |_| Reaction::Answer { status: 200, body: b"done".to_vec() })
            .unwrap();
    store.put("op/config", &configuration(3));
    let links: Vec<NarrowLink> = (0..readers).map(|_| NarrowLink::new(BYTES_A_SECOND)).collect();
    let start = |(number, link): (usize, &NarrowLink)| {
        let view = link.reach(store.address()).unwrap();
        let name = format!("node-{number}");
        Fixture::start_in(Place::new(), store.clone(), view, &name, "", "")
    };
    let nodes: Vec<Fixture> = links.iter().enumerate().map(start).collect();
    nodes[0].add_runner(&runner, "desk", None);
    nodes.iter().for_each(Fixture::wait_until_ready);
    store.set_mode(StoreMode::Unavailable);
    // Watches that wait have been cut by then.
    std::thread::sleep(Duration::from_millis(500));
    store.put("op/config", &large_configuration(7));
    store.forget_history();
    store.set_mode(StoreMode::Serving);
    for (number, node) in nodes.iter().enumerate() {
        wait_for(&format!("the added route at node {number}"), || serves(node, "added"));
    }
}
