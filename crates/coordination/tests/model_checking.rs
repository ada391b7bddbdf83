//! Exhaustive search of the specification: no violation as built, and one for each safeguard
//! that is dropped.
#![allow(clippy::unwrap_used, missing_docs)]

mod specification;

use pathfinding::directed::bfs::bfs_reach;
use specification::{Authority, Once, Safeguards, Spread};
use test_case::test_case;

fn search_authority(guards: Safeguards) -> (usize, bool) {
    let reached = bfs_reach(Authority::initial(), |state| match state.violated {
        true => Vec::new(),
        false => state.next(guards),
    });
    count(reached, |state| state.violated)
}

fn search_spread(guards: Safeguards) -> (usize, bool) {
    let reached = bfs_reach(Spread::initial(), |state| match state.violated {
        true => Vec::new(),
        false => state.next(guards),
    });
    count(reached, |state| state.violated)
}

fn search_once(guards: Safeguards) -> (usize, bool) {
    count(bfs_reach(Once::initial(), |state| state.next(guards)), Once::violated)
}

/// States up to the first violation, and whether there was one.
fn count<S>(states: impl Iterator<Item = S>, is_violated: impl Fn(&S) -> bool) -> (usize, bool) {
    let mut seen = 0;
    for state in states {
        seen += 1;
        if is_violated(&state) {
            return (seen, true);
        }
    }
    (seen, false)
}

#[test]
fn the_authority_is_safe_in_every_state() {
    let (states, violated) = search_authority(Safeguards::ALL);
    println!("authority: {states} states");
    assert!(!violated);
    assert!(states > 10_000, "the search was cut short: {states} states");
}

#[test]
fn the_configuration_is_safe_in_every_state() {
    let (states, violated) = search_spread(Safeguards::ALL);
    println!("configuration: {states} states");
    assert!(!violated);
    assert!(states > 300, "the search was cut short: {states} states");
}

#[test]
fn a_key_runs_at_most_once_in_every_state() {
    let (states, violated) = search_once(Safeguards::ALL);
    println!("at most once: {states} states");
    assert!(!violated);
    assert!(states > 30, "the search was cut short: {states} states");
}

#[test_case(Safeguards { fence: false, ..Safeguards::ALL }; "fence")]
#[test_case(Safeguards { raise_first: false, ..Safeguards::ALL }; "raise first")]
#[test_case(Safeguards { one_change_at_a_time: false, ..Safeguards::ALL }; "one change at a time")]
fn an_authority_without_a_safeguard_is_unsafe(guards: Safeguards) {
    assert!(search_authority(guards).1);
}

#[test_case(Safeguards { commit_compares: false, ..Safeguards::ALL }; "commit compares")]
#[test_case(Safeguards { read_after_lost_answer: false, ..Safeguards::ALL }; "read after lost answer")]
#[test_case(Safeguards { only_higher: false, ..Safeguards::ALL }; "only higher")]
fn a_configuration_without_a_safeguard_is_unsafe(guards: Safeguards) {
    assert!(search_spread(guards).1);
}

#[test_case(Safeguards { claim_compares: false, ..Safeguards::ALL }; "claim compares")]
#[test_case(Safeguards { claim_before_run: false, ..Safeguards::ALL }; "claim before run")]
fn a_claim_without_a_safeguard_is_unsafe(guards: Safeguards) {
    assert!(search_once(guards).1);
}
