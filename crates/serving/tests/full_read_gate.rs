//! When followers read all entries from the store themselves, for one node and for a whole fleet in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::fleet_share::NODES_ACTING_AT_ONCE;
use pitchstall_serving::full_read_gate::{FullReadGate, Occasion, SourceState};

const CONTACT_US: u64 = 6_000_000;
const SECOND_US: u64 = 1_000_000;
const FIRST_US: u64 = 800_000;
const LARGE_FLEET: usize = 1_000;

fn occasion(now_us: u64, nodes: usize, random: f64) -> Occasion {
    Occasion { now_us, nodes, contact_us: CONTACT_US, random }
}

/// Ends a round in which one source has shown `state`.
fn round(gate: &mut FullReadGate, state: SourceState, occasion: &Occasion) -> bool {
    gate.on_source(state);
    gate.end_round(occasion)
}

#[test]
fn a_node_never_reads_while_a_source_is_obtaining_a_replica() {
    let mut gate = FullReadGate::new(FIRST_US);
    for second in 0..120 {
        let now = occasion(second * SECOND_US, 3, 0.0);
        gate.on_source(SourceState::Unconfirmed);
        assert!(!round(&mut gate, SourceState::Obtaining, &now));
    }
}

#[test]
fn a_node_that_is_cut_off_reads_after_the_first_delay() {
    let mut gate = FullReadGate::new(FIRST_US);
    assert!(!round(&mut gate, SourceState::Silent, &occasion(FIRST_US - 1, LARGE_FLEET, 1.0)));
    assert!(round(&mut gate, SourceState::Silent, &occasion(FIRST_US, LARGE_FLEET, 1.0)));
    let at_once = occasion(FIRST_US + 1, LARGE_FLEET, 1.0);
    assert!(!round(&mut gate, SourceState::Silent, &at_once));
}

#[test]
fn a_node_of_a_small_fleet_reads_soon_if_no_source_has_a_replica() {
    let mut gate = FullReadGate::new(FIRST_US);
    let now = occasion(FIRST_US, NODES_ACTING_AT_ONCE, 1.0);
    assert!(round(&mut gate, SourceState::Unconfirmed, &now));
}

#[test]
fn a_round_ends_early_only_if_no_source_replies() {
    const MANY: usize = 20;
    let mut gate = FullReadGate::new(FIRST_US);
    (0..MANY).for_each(|_| gate.on_source(SourceState::Silent));
    assert!(gate.has_lost_sources());
    gate.on_source(SourceState::Unconfirmed);
    assert!(!gate.has_lost_sources());
}

/// Numbers from 0 to 1 that are spread evenly over the nodes.
fn spread(node: usize) -> f64 {
    const GOLDEN_RATIO: f64 = 0.618_033_988_75;
    (node as f64 * GOLDEN_RATIO).fract()
}

/// Number of reads that the followers of a fleet begin within a time, while their sources show `state`.
fn reads(nodes: usize, seconds: u64, state: SourceState) -> usize {
    const ROUNDS_PER_SECOND: u64 = 5;
    let mut gates = vec![FullReadGate::new(FIRST_US); nodes];
    let rounds = 1..=seconds * ROUNDS_PER_SECOND;
    let at = |number: u64| number * SECOND_US / ROUNDS_PER_SECOND;
    let read_in = |gates: &mut [FullReadGate], number: u64| {
        let gates = gates.iter_mut().enumerate();
        let begun = gates.filter_map(|(node, gate)| {
            round(gate, state, &occasion(at(number), nodes, spread(node))).then_some(())
        });
        begun.count()
    };
    rounds.map(|number| read_in(&mut gates, number)).sum()
}

/// Guards against a demand that grows with the fleet while all its readers fail at the store.
#[test]
fn a_large_fleet_reads_no_more_often_than_a_small_one_while_no_source_has_a_replica() {
    const OBSERVED_S: u64 = 30;
    let small = reads(NODES_ACTING_AT_ONCE, OBSERVED_S, SourceState::Unconfirmed);
    let large = reads(LARGE_FLEET, OBSERVED_S, SourceState::Unconfirmed);
    let twice = reads(2 * LARGE_FLEET, OBSERVED_S, SourceState::Unconfirmed);
    assert!(large <= small && large > 0, "{large} reads, {small} in a small fleet");
    assert!(twice <= small && twice > 0, "{twice} reads, {small} in a small fleet");
    assert_eq!(reads(LARGE_FLEET, OBSERVED_S, SourceState::Obtaining), 0);
}
