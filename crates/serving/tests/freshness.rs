//! Confirmations that nodes pass to each other never make a replica look fresher than it is.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::freshness::{Freshness, FreshnessReport, ReplicaFreshness};
use pitchstall_serving::store_replica::{StoreEntry, StoreUpdate};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};
use proptest::prelude::*;
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;
const CONFIRMATION_TTL_US: u64 = 2 * SECOND_US;

fn at(number: u64) -> StoreRevision {
    StoreRevision::without_era(number)
}

fn report(changed_at: u64, age_ms: u64) -> FreshnessReport {
    FreshnessReport::new(at(changed_at), Some(age_ms))
}

fn replica_known_to(revision: u64) -> ReplicaFreshness {
    let mut replica = ReplicaFreshness::default();
    replica.on_change(at(revision));
    replica.on_store_response(at(revision), 0);
    replica
}

fn empty_snapshot_at(known_to: u64) -> StoreUpdate {
    StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(known_to),
        is_snapshot: true,
        entries: Vec::new(),
    }
}

#[test]
fn a_response_of_the_store_confirms_for_a_limited_time() {
    let replica = replica_known_to(5);
    assert_eq!(replica.assess(CONFIRMATION_TTL_US - 1, CONFIRMATION_TTL_US), Freshness::Fresh);
    assert_eq!(replica.assess(CONFIRMATION_TTL_US, CONFIRMATION_TTL_US), Freshness::Unconfirmed);
    assert_eq!(ReplicaFreshness::default().assess(0, CONFIRMATION_TTL_US), Freshness::Unconfirmed);
}

#[test]
fn another_nodes_report_confirms_according_to_its_age() {
    let mut replica = replica_known_to(5);
    replica.on_report(report(5, 500), &StoreEras::default(), CONFIRMATION_TTL_US);
    assert_eq!(
        replica.assess(CONFIRMATION_TTL_US + SECOND_US, CONFIRMATION_TTL_US),
        Freshness::Fresh
    );
    assert_eq!(
        replica.assess(CONFIRMATION_TTL_US + 3 * SECOND_US / 2, CONFIRMATION_TTL_US),
        Freshness::Unconfirmed
    );
}

/// Guards against a fault of a run with 295 nodes: a replica whose own watch was cut off from the
/// store was confirmed for seconds by nodes that had received a change through another node and did
/// not report it.
#[test]
fn a_follower_confirms_only_replicas_that_include_its_changes() {
    let entry =
        StoreEntry { key: "servers/i-1".to_owned(), document: None, revision: RevisionNumber(7) };
    let update = StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(9),
        is_snapshot: false,
        entries: vec![entry],
    };
    let mut follower = replica_known_to(5);
    follower.on_peer_update(&update, Some(100), SECOND_US);
    assert_eq!(follower.report(SECOND_US).changed_at(&StoreEras::default()), at(7));
    let mut lagging = replica_known_to(5);
    lagging.on_report(follower.report(SECOND_US), &StoreEras::default(), SECOND_US);
    assert_eq!(lagging.assess(2 * SECOND_US, 9 * SECOND_US), Freshness::Behind);
    let mut exact = replica_known_to(7);
    exact.on_report(follower.report(SECOND_US), &StoreEras::default(), SECOND_US);
    assert_eq!(exact.assess(2 * SECOND_US, 9 * SECOND_US), Freshness::Fresh);
}

#[test]
fn a_lagging_nodes_report_does_not_extend_a_confirmation() {
    let mut replica = replica_known_to(5);
    replica.on_store_response(at(5), SECOND_US);
    replica.on_report(report(4, 1_500), &StoreEras::default(), 2 * SECOND_US);
    assert_eq!(
        replica.assess(SECOND_US + CONFIRMATION_TTL_US - 1, CONFIRMATION_TTL_US),
        Freshness::Fresh
    );
    assert_eq!(
        replica.assess(SECOND_US + CONFIRMATION_TTL_US, CONFIRMATION_TTL_US),
        Freshness::Unconfirmed
    );
}

#[test]
fn a_read_of_all_entries_does_not_hide_earlier_removals() {
    // Revision 8 removed an entry. The reader saw only entries up to 5; the other node's watch went
    // silent at 6.
    let mut reader = ReplicaFreshness::default();
    reader.on_full_read(&empty_snapshot_at(9), 0);
    let mut other = replica_known_to(6);
    other.on_report(reader.report(0), &StoreEras::default(), 0);
    assert_eq!(
        other.assess(CONFIRMATION_TTL_US, CONFIRMATION_TTL_US),
        Freshness::Unconfirmed,
        "no change is reported at first"
    );
    other.on_report(reader.report(2 * SECOND_US), &StoreEras::default(), 2 * SECOND_US);
    assert_eq!(other.assess(3 * SECOND_US, CONFIRMATION_TTL_US), Freshness::Behind);
}

#[test]
fn a_node_that_read_all_entries_learns_the_last_change_from_another() {
    let mut reader = ReplicaFreshness::default();
    reader.on_full_read(&empty_snapshot_at(9), 0);
    let mut other = replica_known_to(6);
    other.on_store_response(at(9), SECOND_US);
    reader.on_report(other.report(SECOND_US), &StoreEras::default(), SECOND_US + 1);
    // The report now confirms the other node's replica instead of making that node query the store.
    reader.on_store_response(at(9), 3 * SECOND_US);
    other.on_report(reader.report(3 * SECOND_US), &StoreEras::default(), 3 * SECOND_US);
    assert_eq!(other.assess(3 * SECOND_US, CONFIRMATION_TTL_US), Freshness::Fresh);
}

/// How a node that has just started learns when the store last confirmed the entries.
#[derive(Clone, Copy)]
enum Source {
    Update,
    Report,
}

fn learn(replica: &mut ReplicaFreshness, source: Source, age_ms: u64, now_us: u64) {
    replica.on_peer_update(&empty_snapshot_at(5), Some(age_ms), now_us);
    if matches!(source, Source::Report) {
        replica.on_report(report(5, age_ms), &StoreEras::default(), now_us);
    }
}

#[test_case(Source::Update; "told with the entries")]
#[test_case(Source::Report; "told by a report")]
fn a_confirmation_from_before_the_start_of_a_node_is_as_old_there_as_elsewhere(source: Source) {
    const AGE_MS: u64 = 50_000;
    const UPTIME_US: u64 = SECOND_US / 2;
    let mut replica = ReplicaFreshness::default();
    learn(&mut replica, source, AGE_MS, UPTIME_US);
    let age_ms = replica.confirmed_age_ms(UPTIME_US);
    assert!(age_ms >= Some(AGE_MS), "{age_ms:?}");
    assert_eq!(replica.assess(UPTIME_US, CONFIRMATION_TTL_US), Freshness::Unconfirmed);
}

#[test]
fn nodes_that_start_while_the_store_is_away_renew_no_confirmation() {
    const STARTS: u64 = 5;
    const START_INTERVAL_US: u64 = 10 * SECOND_US;
    const UPTIME_US: u64 = SECOND_US / 2;
    let mut first = ReplicaFreshness::for_single_entry();
    first.on_full_read(&empty_snapshot_at(5), 0);
    for start in 1..=STARTS {
        let now_us = start * START_INTERVAL_US;
        let mut started = ReplicaFreshness::for_single_entry();
        started.on_peer_update(&empty_snapshot_at(5), first.confirmed_age_ms(now_us), UPTIME_US);
        let age_ms = started.confirmed_age_ms(UPTIME_US).unwrap();
        first.on_report(report(5, age_ms), &StoreEras::default(), now_us);
        let true_age_ms = now_us / 1_000;
        assert!(first.confirmed_age_ms(now_us) >= Some(true_age_ms), "after start {start}");
    }
}

#[test]
fn a_change_that_the_watch_does_not_deliver_makes_the_replica_behind() {
    let mut replica = replica_known_to(5);
    replica.on_report(report(6, 0), &StoreEras::default(), SECOND_US);
    assert_eq!(
        replica.assess(SECOND_US, CONFIRMATION_TTL_US),
        Freshness::Fresh,
        "the watch may still deliver the change"
    );
    replica.on_report(report(6, 0), &StoreEras::default(), SECOND_US + 200_000);
    assert_eq!(replica.assess(SECOND_US + 400_000, CONFIRMATION_TTL_US), Freshness::Behind);
    replica.on_store_response(at(6), SECOND_US + 400_000);
    assert_eq!(replica.assess(SECOND_US + 400_000, CONFIRMATION_TTL_US), Freshness::Fresh);
}

#[test]
fn a_node_that_cannot_catch_up_queries_at_intervals() {
    let mut replica = replica_known_to(5);
    replica.on_report(report(9, 0), &StoreEras::default(), 0);
    assert_eq!(replica.assess(SECOND_US, CONFIRMATION_TTL_US), Freshness::Behind);
    replica.on_store_queried(SECOND_US);
    assert_eq!(replica.assess(SECOND_US + 1, CONFIRMATION_TTL_US), Freshness::Fresh);
    assert_eq!(replica.assess(2 * SECOND_US, CONFIRMATION_TTL_US), Freshness::Behind);
}

#[test]
fn a_replica_is_behind_from_the_first_report_of_a_change_until_it_has_it() {
    let mut replica = replica_known_to(5);
    assert_eq!(replica.behind_for_us(SECOND_US), None);
    replica.on_report(report(6, 0), &StoreEras::default(), SECOND_US);
    replica.on_report(report(8, 0), &StoreEras::default(), 2 * SECOND_US);
    replica.on_store_queried(2 * SECOND_US);
    assert_eq!(replica.behind_for_us(3 * SECOND_US), Some(2 * SECOND_US));
    let entry =
        StoreEntry { key: "op/config".to_owned(), document: None, revision: RevisionNumber(6) };
    let update = StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(6),
        is_snapshot: false,
        entries: vec![entry],
    };
    replica.on_peer_update(&update, Some(0), 3 * SECOND_US);
    assert_eq!(
        replica.behind_for_us(3 * SECOND_US),
        Some(SECOND_US),
        "the later change is still missing"
    );
}

/// A node that reports the last of many changes has also seen the first one.
#[test]
fn a_report_of_a_later_change_renews_that_of_an_earlier_one() {
    let mut replica = replica_known_to(5);
    replica.on_report(report(6, 0), &StoreEras::default(), 0);
    for second in 1..20 {
        replica.on_report(report(6 + second, 0), &StoreEras::default(), second * SECOND_US);
    }
    assert_eq!(replica.behind_for_us(20 * SECOND_US), Some(20 * SECOND_US));
}

/// A node whose settings name another store reports revisions that this node's store never had. A
/// response of the store, or the end of the reports, clears them.
#[test]
fn reports_of_another_stores_revisions_expire() {
    let mut replica = replica_known_to(5);
    replica.on_report(report(50_000, 0), &StoreEras::default(), SECOND_US);
    assert!(replica.behind_for_us(2 * SECOND_US).is_some());
    replica.on_store_response(at(5), 2 * SECOND_US);
    assert_eq!(replica.behind_for_us(2 * SECOND_US), None);
    replica.on_report(report(50_000, 0), &StoreEras::default(), 3 * SECOND_US);
    assert_eq!(replica.behind_for_us(9 * SECOND_US), None, "no node has repeated the report");
}

/// A configuration is a single entry, so a node that has it knows the last change. Otherwise a node
/// that starts just before the store becomes unavailable would make nodes look outdated that are up
/// to date, until the store is back.
#[test]
fn a_node_that_has_the_only_entry_makes_no_other_look_behind() {
    let entry =
        StoreEntry { key: "op/config".to_owned(), document: None, revision: RevisionNumber(5) };
    let snapshot = StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(9),
        is_snapshot: true,
        entries: vec![entry],
    };
    let mut reader = ReplicaFreshness::for_single_entry();
    reader.on_full_read(&snapshot, 0);
    let mut follower = ReplicaFreshness::for_single_entry();
    follower.on_peer_update(&snapshot, Some(0), 0);
    for report in [reader.report(0), reader.report(3 * SECOND_US), follower.report(3 * SECOND_US)] {
        assert_eq!(report.changed_at(&StoreEras::default()), at(5));
        let mut other = replica_known_to(6);
        other.on_report(report, &StoreEras::default(), 0);
        assert_eq!(other.behind_for_us(SECOND_US), None);
    }
}

proptest! {
    /// Nodes that only exchange reports with each other stop relying on them in time: no cycle of
    /// reports prolongs a confirmation that the store does not renew.
    #[test]
    fn confirmations_do_not_circulate_forever(delays_ms in prop::collection::vec((0_usize..4, 0_usize..4, 1_u64..300), 50..200)) {
        let mut replicas = vec![replica_known_to(5); 4];
        let mut now_us = 0;
        for (from, to, delay_ms) in delays_ms {
            now_us += delay_ms * 1_000;
            let report = replicas[from].report(now_us);
            // The report is under way for up to the time that is added for each hop.
            replicas[to].on_report(report, &StoreEras::default(), now_us + 20_000);
        }
        let end_us = now_us.max(CONFIRMATION_TTL_US) + 20_000;
        for replica in &replicas {
            prop_assert_ne!(replica.assess(end_us, CONFIRMATION_TTL_US), Freshness::Fresh);
        }
    }
}
