//! Streams that clients take up at nodes which have started after the streams began, so that nobody remembers them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::{Duration, Instant};
use support::versions::*;
use support::{Fixture, NodeAddress};
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
