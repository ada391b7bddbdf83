//! State of a node's own links to runners.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::lost_links::{LinkProbe, LostLinks};

const MS: u64 = 1_000;
const START_US: u64 = 100_000 * MS;

fn runner(number: usize) -> RunnerId {
    RunnerId::new(format!("i-{number}"))
}

/// Loses and restores a link; returns for how long it had to work before it was used again, in milliseconds.
fn lose_and_restore(links: &mut LostLinks, at_us: u64) -> u64 {
    const PROBE_INTERVAL_MS: u64 = 50;
    assert!(links.on_lost(&runner(0), at_us));
    for waited_ms in (0..).step_by(usize::try_from(PROBE_INTERVAL_MS).unwrap()) {
        let now_us = at_us + waited_ms * MS;
        if links.on_probed(&runner(0), LinkProbe::Responded, now_us).is_some() {
            return waited_ms;
        }
    }
    u64::MAX
}

#[test]
fn a_lost_link_is_used_again_after_the_first_response_over_it() {
    let mut links = LostLinks::default();
    links.on_lost(&runner(0), START_US);
    assert_eq!(links.on_probed(&runner(0), LinkProbe::Failed, START_US + 250 * MS), None);
    assert!(links.is_lost(&runner(0)));
    let restored = links.on_probed(&runner(0), LinkProbe::Responded, START_US + 500 * MS);
    assert_eq!(restored, Some(500 * MS));
    assert!(!links.is_lost(&runner(0)));
}

#[test]
fn a_link_that_comes_and_goes_must_work_for_longer_each_time() {
    let mut links = LostLinks::default();
    let waits: Vec<u64> =
        (0..7).map(|loss| lose_and_restore(&mut links, START_US + loss * 6_000 * MS)).collect();
    assert_eq!(waits, [0, 500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    assert_eq!(lose_and_restore(&mut links, START_US + 90_000 * MS), 0);
}

#[test]
fn each_lost_link_is_probed_at_intervals_whatever_their_number() {
    const LINKS: usize = 100;
    const PER_ROUND: usize = 16;
    let mut links = LostLinks::default();
    (0..LINKS).for_each(|number| assert!(links.on_lost(&runner(number), START_US)));
    assert!(links.take_due(PER_ROUND, START_US + 249 * MS).is_empty());
    let now_us = START_US + 250 * MS;
    let mut probed: Vec<RunnerId> = Vec::new();
    loop {
        let due = links.take_due(PER_ROUND, now_us);
        assert!(due.len() <= PER_ROUND);
        if due.is_empty() {
            break;
        }
        probed.extend(due);
    }
    probed.sort();
    probed.dedup();
    assert_eq!(probed.len(), LINKS);
}

#[test]
fn data_that_came_through_another_node_shows_nothing_about_the_own_links() {
    let mut links = LostLinks::default();
    links.on_lost(&runner(0), START_US);
    links.on_data(&runner(0), START_US + MS);
    assert!(!links.has_recent_data(START_US + 2 * MS));
    links.on_data(&runner(1), START_US + 3 * MS);
    assert!(links.has_recent_data(START_US + 4 * MS));
    assert!(links.has_no_data_since(START_US + 4 * MS));
    assert!(!links.has_no_data_since(START_US + 3 * MS));
}

#[test]
fn a_runner_that_leaves_takes_its_lost_link_along() {
    let mut links = LostLinks::default();
    links.on_lost(&runner(0), START_US);
    links.forget(&runner(0));
    assert_eq!(links.count(), 0);
    assert!(links.are_others_in_doubt(START_US + MS));
}
