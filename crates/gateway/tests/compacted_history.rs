//! Store readers whose part of the store's history has been dropped.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use pitchstall_platform_standins::throttled_link::ThrottledLink;
use std::time::Duration;
use support::{configuration, large_configuration, serves, wait_for, Fixture, NodeAddress};
use test_case::test_case;

/// At this rate the store's response takes about four seconds.
const BYTES_PER_SECOND: u64 = 300_000;

/// All nodes are in one zone and read the store, each over its own narrow link; the links between
/// the nodes are fast.
#[test_case(1; "a single store reader")]
#[test_case(2; "two store readers at the same revision")]
fn store_readers_get_the_configuration_after_their_history_is_compacted(readers: usize) {
    let store = StoreStandIn::start().unwrap();
    let runner =
        RunnerStandIn::start("i-1", |_| Reaction::Respond { status: 200, body: b"done".to_vec() })
            .unwrap();
    store.put("op/config", &configuration(3));
    let links: Vec<ThrottledLink> =
        (0..readers).map(|_| ThrottledLink::new(BYTES_PER_SECOND)).collect();
    let start = |(number, link): (usize, &ThrottledLink)| {
        let view = link.link_to(store.address()).unwrap();
        let name = format!("node-{number}");
        Fixture::start_at(NodeAddress::new(), store.clone(), view, &name, "", "")
    };
    let nodes: Vec<Fixture> = links.iter().enumerate().map(start).collect();
    nodes[0].add_runner(&runner, "desk", None);
    nodes.iter().for_each(Fixture::wait_until_ready);
    store.set_mode(StoreMode::Unavailable);
    // By then, waiting watches have been closed.
    std::thread::sleep(Duration::from_millis(500));
    store.put("op/config", &large_configuration(7));
    store.compact_history();
    store.set_mode(StoreMode::Serving);
    for (number, node) in nodes.iter().enumerate() {
        wait_for(&format!("the added route at node {number}"), || serves(node, "added"));
    }
}
