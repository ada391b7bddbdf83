//! Entries that lapse while the store is unavailable: their runners continue to serve, and are
//! removed if the entries are not written again soon after its return.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Fleet, FleetChange};
use pitchstall_serving::freshness::ReplicaFreshness;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_replica::StoreUpdate;
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra};
use support::{at, runner_record};
use test_case::test_case;

const MILLI_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLI_US;
const GRACE_UNTIL_US: u64 = 2 * SECOND_US;

fn record(id: &str, draining: bool, revision: u64) -> RunnerRecord {
    RunnerRecord { draining, revision: at(revision), ..runner_record(RunnerId::new(id)) }
}

fn accepts_work(fleet: &Fleet, id: &str) -> bool {
    fleet.get(&RunnerId::new(id)).is_some_and(|runner| runner.accepts_work())
}

#[test]
fn a_runner_with_a_lapsed_entry_stays_until_it_is_written_again() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", false, 1));
    assert_eq!(fleet.remove(&RunnerId::new("a"), at(5), Some(GRACE_UNTIL_US)), FleetChange::Lapsed);
    assert!(accepts_work(&fleet, "a"));
    assert_eq!(fleet.put(record("a", false, 4)), FleetChange::Unchanged, "older than the removal");
    fleet.put(record("a", false, 6));
    assert!(fleet.remove_lapsed(GRACE_UNTIL_US).is_empty());
    assert!(accepts_work(&fleet, "a"));
}

#[test]
fn an_entry_not_written_again_in_time_is_removed() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", false, 1));
    assert!(fleet.replace_all(Vec::new(), at(5), Some(GRACE_UNTIL_US)).is_empty());
    assert!(fleet.remove_lapsed(GRACE_UNTIL_US - 1).is_empty());
    // A second snapshot without the entry does not extend the time.
    assert!(fleet.replace_all(Vec::new(), at(6), Some(2 * GRACE_UNTIL_US)).is_empty());
    assert_eq!(fleet.remove_lapsed(GRACE_UNTIL_US), [RunnerId::new("a")]);
    assert!(fleet.get(&RunnerId::new("a")).is_none());
}

#[test]
fn a_draining_runner_is_removed_at_once() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", true, 1));
    assert_eq!(
        fleet.remove(&RunnerId::new("a"), at(5), Some(GRACE_UNTIL_US)),
        FleetChange::Removed
    );
}

fn update_at(revision: u64) -> StoreUpdate {
    StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(revision),
        is_snapshot: true,
        entries: Vec::new(),
    }
}

fn confirmed_replica() -> ReplicaFreshness {
    let mut replica = ReplicaFreshness::default();
    replica.on_full_read(&update_at(1), 0);
    replica
}

/// The signs that the store does not respond.
fn on_failed_call(replica: &mut ReplicaFreshness, now_us: u64) {
    replica.on_store_silent(now_us);
}

fn on_reply_of_unserved_source(replica: &mut ReplicaFreshness, now_us: u64) {
    replica.on_source_age(now_us / MILLI_US, now_us);
}

#[test_case(on_failed_call)]
#[test_case(on_reply_of_unserved_source)]
fn entries_lapse_only_while_the_store_is_unavailable_and_shortly_after(
    on_outage: fn(&mut ReplicaFreshness, u64),
) {
    let mut replica = confirmed_replica();
    assert_eq!(replica.lapse_grace_until_us(SECOND_US), None, "the store responded recently");
    on_outage(&mut replica, SECOND_US);
    assert_eq!(replica.lapse_grace_until_us(SECOND_US), None, "the store responded recently");
    on_outage(&mut replica, 3 * SECOND_US);
    assert!(replica.lapse_grace_until_us(4 * SECOND_US).is_some(), "no response for seconds");
    replica.on_store_response(at(2), 5 * SECOND_US);
    let until_us = replica.lapse_grace_until_us(5 * SECOND_US).unwrap();
    assert!((SECOND_US..=2 * SECOND_US).contains(&(until_us - 5 * SECOND_US)));
    replica.on_store_response(at(3), 6 * SECOND_US);
    replica.on_store_response(at(4), 8 * SECOND_US);
    assert_eq!(
        replica.lapse_grace_until_us(8 * SECOND_US),
        None,
        "the store has been back for seconds"
    );
}

/// Guards against a node that takes its own lack of news for an outage of the store.
#[test]
fn an_entry_that_went_while_the_sources_were_silent_has_not_lapsed() {
    let mut replica = confirmed_replica();
    assert_eq!(replica.lapse_grace_until_us(4 * SECOND_US), None, "no call has failed");
    replica.on_peer_update(&update_at(2), Some(10), 4 * SECOND_US);
    assert_eq!(replica.lapse_grace_until_us(4 * SECOND_US), None, "no call had failed");
}

/// Guards against an earlier outage that makes a later lack of news count as one.
#[test]
fn a_sign_of_an_earlier_outage_does_not_hold_after_the_store_has_responded() {
    let mut replica = confirmed_replica();
    replica.on_store_silent(SECOND_US);
    replica.on_store_response(at(2), 2 * SECOND_US);
    assert_eq!(replica.lapse_grace_until_us(6 * SECOND_US), None);
}

/// Guards against entries that are removed at once where a peer, not the store, ends the lack of news after an outage.
#[test]
fn entries_lapse_also_if_another_node_tells_of_the_return_of_the_store() {
    let mut replica = confirmed_replica();
    on_reply_of_unserved_source(&mut replica, 3 * SECOND_US);
    replica.on_peer_update(&update_at(2), Some(10), 4 * SECOND_US);
    assert!(replica.lapse_grace_until_us(4 * SECOND_US).is_some());
}
