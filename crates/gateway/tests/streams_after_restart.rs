//! Streams that clients take up at nodes which have started after the streams began, so that nobody remembers them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::store::StoreMode;
use std::time::{Duration, Instant};
use support::versions::*;
use support::{wait_for, Fixture, NodeAddress};
use test_case::test_case;

/// Number of nodes.
const NODES: usize = 3;

fn start_nodes(runners: &Runners) -> Vec<Fixture> {
    let first = node_with(runners);
    let peers: Vec<Fixture> =
        (2..=NODES).map(|number| peer_of(&first, &format!("node-{number}"))).collect();
    std::iter::once(first).chain(peers).collect()
}

fn remove_old_runners(node: &Fixture, runners: &Runners) {
    runners.old.iter().for_each(|runner| node.store.remove(&format!("servers/{}", runner.id())));
}

/// Ends all nodes at once and starts as many with the same store, which know nothing of each other's predecessors.
fn restart_all(nodes: Vec<Fixture>) -> Vec<Fixture> {
    let store = nodes[0].store.clone();
    nodes.iter().for_each(Fixture::request_stop);
    nodes.into_iter().for_each(Fixture::join);
    let address = store.address();
    let first = Fixture::start_at(NodeAddress::new(), store, address, "node-1", "", RETRY_SLACK);
    first.wait_until_ready();
    let peers: Vec<Fixture> =
        (2..=NODES).map(|number| peer_of(&first, &format!("node-{number}"))).collect();
    std::iter::once(first).chain(peers).collect()
}

/// The texts of the streams that have events of two versions.
fn joined_texts(begun: Vec<String>, nodes: &[Fixture]) -> Vec<String> {
    let take_up_one = |(number, first): (usize, String)| {
        let node = &nodes[number % nodes.len()];
        let rest = take_up_persistently(node, &format!("id-{number}"));
        format!("{first}{rest}")
    };
    let texts = begun.into_iter().enumerate().map(take_up_one);
    texts.filter(|text| text.contains("of v1") && text.contains("of v2")).collect()
}

#[derive(Clone, Copy)]
enum OldVersion {
    LeavesBeforeRestart,
    LeavesWithoutNodes,
}

#[test_case(OldVersion::LeavesBeforeRestart; "before all nodes end")]
#[test_case(OldVersion::LeavesWithoutNodes; "while no node is there")]
fn a_stream_is_not_joined_from_two_versions_when_its_version_leaves(leaves: OldVersion) {
    let runners = Runners::start(Interruption::Slow);
    let nodes = start_nodes(&runners);
    let begun = begin_streams(&nodes[0]);
    if matches!(leaves, OldVersion::LeavesBeforeRestart) {
        remove_old_runners(&nodes[0], &runners);
        wait_for_digests();
    }
    nodes.iter().for_each(Fixture::request_stop);
    if matches!(leaves, OldVersion::LeavesWithoutNodes) {
        remove_old_runners(&nodes[0], &runners);
    }
    let nodes = restart_all(nodes);
    assert_eq!(joined_texts(begun, &nodes), Vec::<String>::new());
}

#[test]
fn streams_of_the_only_version_go_on_after_all_nodes_have_started_again() {
    let runners = Runners::start(Interruption::Slow);
    let first = start_node();
    runners.old.iter().for_each(|runner| first.add_runner_of_version(runner, "v1"));
    first.wait_until_ready();
    let begun = begin_streams(&first);
    let nodes = restart_all(vec![first]);
    let nodes: Vec<&Fixture> = nodes.iter().collect();
    assert_eq!(broken_takeups(begun, &nodes), Vec::<String>::new());
}

#[test]
fn a_stream_of_a_version_that_nobody_remembers_is_refused_at_once() {
    let runners = Runners::start(Interruption::Slow);
    let nodes = start_nodes(&runners);
    begin_and_leave(&nodes[0], "id-1");
    remove_old_runners(&nodes[0], &runners);
    wait_for_digests();
    let nodes = restart_all(nodes);
    let begun = Instant::now();
    let response = take_up(&nodes[0], "id-1", "again");
    assert_eq!((response.status, response.text().as_str()), (503, ""));
    assert!(begun.elapsed() < Duration::from_millis(500), "the refusal took {:?}", begun.elapsed());
}

/// A node without peers and with runners of the old version, at which streams may begin.
fn node_with_old_version(runners: &Runners) -> Fixture {
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    wait_for("streams to begin", || stream(&node, "first", "").status == 200);
    node
}

#[test]
fn no_stream_begins_at_a_version_that_a_later_node_would_not_know() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with_old_version(&runners);
    node.store.set_mode(StoreMode::WithoutTransactions);
    runners.new.iter().for_each(|runner| node.add_runner_of_version(runner, "v2"));
    wait_for_digests();
    let texts = begin_streams(&node);
    assert!(texts.iter().all(|text| text.contains("of v1")), "{texts:?}");
    remove_old_runners(&node, &runners);
    wait_for_digests();
    let refused = stream(&node, "refused", "");
    assert_eq!((refused.status, refused.text().as_str()), (503, ""));
    node.store.set_mode(StoreMode::Serving);
    wait_for("streams to begin", || stream(&node, "later", "").text().contains("of v2"));
}

#[test]
fn a_stream_is_not_joined_when_all_nodes_start_again_twice() {
    let runners = Runners::start(Interruption::Slow);
    let mut nodes = start_nodes(&runners);
    let begun = begin_streams(&nodes[0]);
    remove_old_runners(&nodes[0], &runners);
    for _ in 0..2 {
        nodes = restart_all(nodes);
    }
    assert_eq!(joined_texts(begun, &nodes), Vec::<String>::new());
}

#[test]
fn a_stream_is_not_joined_when_the_store_returns_older_while_no_node_is_there() {
    let runners = Runners::start(Interruption::Slow);
    let first = node_with_old_version(&runners);
    first.store.report_era(0);
    let backup = first.store.back_up();
    runners.new.iter().for_each(|runner| first.add_runner_of_version(runner, "v2"));
    remove_old_runners(&first, &runners);
    wait_for_digests();
    let begun = begin_streams(&first);
    assert!(begun.iter().all(|text| text.contains("of v2")), "{begun:?}");
    let store = first.store.clone();
    first.request_stop();
    first.join();
    // The runners of the new version are gone, those of the old one are back, and the record knows the old one alone.
    store.restore(&backup);
    let address = store.address();
    let node = Fixture::start_at(NodeAddress::new(), store, address, "node-1", "", RETRY_SLACK);
    node.wait_until_ready();
    assert_eq!(joined_texts(begun, &[node]), Vec::<String>::new());
}

#[test_case(false; "at the node that has run on")]
#[test_case(true; "at another node")]
fn a_stream_of_the_only_version_goes_on_while_the_store_fails(is_other: bool) {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with_old_version(&runners);
    let others: Vec<Fixture> =
        (2..=3).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let begun = begin_streams(&node);
    node.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(2_500));
    let taken_up_at = if is_other { &others[0] } else { &node };
    assert_eq!(broken_takeups(begun, &[taken_up_at]), Vec::<String>::new());
}
