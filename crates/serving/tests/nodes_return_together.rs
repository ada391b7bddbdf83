//! A thousand nodes and ten thousand runners that return together: how often the store is read as a whole, and when all
//! nodes can serve.
#![allow(clippy::unwrap_used, missing_docs)]

mod returning_fleet;

use returning_fleet::{Fleet, Reachability, StoreAccess, READERS};
use std::collections::BTreeSet;
use test_case::test_case;

const NODES: usize = 1_000;
const SECOND_US: u64 = 1_000_000;
/// Time within which service has to be back.
const RECOVERY_US: u64 = 18 * SECOND_US;

/// Guards against full reads by followers while their readers read.
#[test_case(100; "at 100 nodes")]
#[test_case(300; "at 300 nodes")]
#[test_case(1_000; "at 1000 nodes")]
#[test_case(2_000; "at 2000 nodes")]
fn only_the_readers_read_when_all_nodes_return(nodes: usize) {
    let mut fleet = Fleet::returning(nodes);
    let served_s = fleet.play_until_served(RECOVERY_US);
    assert!(served_s.is_some(), "{} of the nodes serve", fleet.served_share());
    assert_eq!(fleet.reads, READERS);
}

/// Guards against full reads that grow with the time that the store takes.
#[test_case(5.0)]
#[test_case(40.0)]
fn only_the_readers_read_before_a_slow_store(slowness: f64) {
    let mut fleet = Fleet::returning(NODES);
    fleet.store_slowness = slowness;
    fleet.play_until_served(10 * RECOVERY_US).unwrap();
    assert_eq!(fleet.reads, READERS);
}

/// Guards against followers that all read once their readers do not return.
#[test_case(Reachability::Gone, 1; "one reader gone")]
#[test_case(Reachability::Gone, READERS; "all readers gone")]
#[test_case(Reachability::CutOff, 1; "one reader cut off")]
#[test_case(Reachability::CutOff, READERS; "all readers cut off")]
fn a_lost_reader_costs_one_more_full_read(reachability: Reachability, lost: usize) {
    let mut fleet = Fleet::returning(NODES);
    let readers: Vec<usize> = fleet.readers().into_iter().take(lost).collect();
    for reader in &readers {
        match reachability {
            Reachability::Gone => fleet.kill(*reader, None),
            other => fleet.nodes[*reader].reachability = other,
        }
    }
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= READERS + lost, "{} reads", fleet.reads);
}

/// Guards against followers that wait for the start of readers that do not return.
#[test_case(100, 1, 0.6; "one reader of 100 nodes")]
#[test_case(300, 1, 0.75; "one reader of 300 nodes")]
#[test_case(NODES, 1, 4.7; "one reader of 1000 nodes")]
#[test_case(100, READERS, 1.7; "all readers of 100 nodes")]
#[test_case(300, READERS, 1.7; "all readers of 300 nodes")]
fn readers_that_do_not_return_delay_service_little(nodes: usize, lost: usize, max_s: f64) {
    let mut fleet = Fleet::returning(nodes);
    let readers: Vec<usize> = fleet.readers().into_iter().take(lost).collect();
    readers.iter().for_each(|reader| fleet.kill(*reader, None));
    let served_s = fleet.play_until_served(RECOVERY_US).unwrap();
    assert!(served_s <= max_s, "{served_s} s");
    assert!(fleet.reads <= READERS, "{} reads", fleet.reads);
}

/// Guards against full reads by all followers of readers that come back last.
#[test]
fn readers_that_return_last_cost_one_more_full_read_each() {
    let mut fleet = Fleet::returning(NODES);
    let readers = fleet.readers();
    readers.iter().for_each(|reader| fleet.kill(*reader, Some(5 * SECOND_US)));
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= 2 * READERS, "{} reads", fleet.reads);
}

/// Guards against full reads by all followers of readers that die while they read.
#[test]
fn readers_that_die_while_they_read_cost_one_more_full_read_each() {
    let mut fleet = Fleet::returning(NODES);
    let readers = fleet.readers();
    while fleet.reads < READERS {
        fleet.play_until(fleet.now_us + 1);
    }
    readers.iter().for_each(|reader| fleet.kill(*reader, None));
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= 2 * READERS, "{} reads", fleet.reads);
}

/// Guards against full reads by all followers of readers that the store refuses.
#[test]
fn a_store_that_refuses_a_third_of_the_nodes_is_read_by_its_readers_alone() {
    let mut fleet = Fleet::returning(NODES);
    let refused = fleet.nodes.iter_mut().enumerate().filter(|(number, _)| number % 3 == 1);
    refused.for_each(|(_, node)| node.store = StoreAccess::Refused);
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= READERS, "{} reads", fleet.reads);
}

/// Guards against full reads by all followers when the store refuses every reader.
#[test]
fn a_store_that_refuses_all_readers_is_read_by_a_few_followers() {
    const MAX_READS: usize = 16;
    let mut fleet = Fleet::returning(NODES);
    let readers = fleet.readers();
    readers.iter().for_each(|reader| fleet.nodes[*reader].store = StoreAccess::Refused);
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= MAX_READS, "{} reads", fleet.reads);
}

/// Guards against full reads by all nodes when they return once more while they return.
#[test]
fn a_second_return_during_the_first_costs_the_same_again() {
    let mut fleet = Fleet::returning(NODES);
    let readers: BTreeSet<usize> = fleet.readers();
    fleet.play_until(2 * SECOND_US);
    fleet.restart();
    assert!(fleet.play_until_served(RECOVERY_US).is_some(), "{}", fleet.served_share());
    assert!(fleet.reads <= 2 * readers.len(), "{} reads", fleet.reads);
}
