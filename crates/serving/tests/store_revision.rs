//! Revisions of a store that is restored from backups.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Fleet, FleetChange};
use pitchstall_serving::freshness::{Freshness, FreshnessReport, ReplicaFreshness};
use pitchstall_serving::ids::{RunnerId, RunnerName};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_replica::{StoreEntry, StoreReplica, StoreUpdate};
use pitchstall_serving::store_revision::{
    EraChange, RevisionNumber, StoreEra, StoreEras, StoreRevision,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::runner_record;
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;

fn era(number: u64) -> StoreEra {
    StoreEra::from_reported(number).unwrap()
}

fn at(in_era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(era(in_era), RevisionNumber(number))
}

fn eras_from(first: u64) -> StoreEras {
    let mut eras = StoreEras::default();
    eras.on_response(era(first), 0);
    eras
}

#[test]
fn revisions_of_a_later_era_are_later() {
    assert!(at(2, 1) > at(1, 900));
    assert!(at(1, 2) > at(1, 1));
    assert!(at(0, 1) > StoreRevision::without_era(900), "the first era is reported as 0");
}

#[test]
fn the_current_era_never_goes_back() {
    let mut eras = StoreEras::default();
    assert_eq!(eras.on_response(StoreEra::UNKNOWN, 0), EraChange::Unchanged);
    assert_eq!(eras.on_response(era(0), 1), EraChange::First);
    assert_eq!(eras.on_response(era(3), 2), EraChange::Later { before: era(0) });
    assert_eq!(eras.on_response(era(2), 3), EraChange::Superseded);
    assert_eq!(eras.on_response(StoreEra::UNKNOWN, 4), EraChange::Unchanged);
    assert_eq!((eras.current(), eras.since_us()), (era(3), Some(2)));
    assert_eq!(StoreEra::from_reported(u64::MAX), None);
}

/// A store that was set up anew counts its eras from the beginning.
#[test]
fn a_store_that_responds_only_in_earlier_eras_has_been_replaced() {
    let mut eras = eras_from(3);
    assert_eq!(eras.on_response(era(1), SECOND_US), EraChange::Superseded);
    assert_eq!(eras.on_response(era(3), 10 * SECOND_US), EraChange::Unchanged);
    assert_eq!(
        eras.on_response(era(1), 20 * SECOND_US),
        EraChange::Superseded,
        "single delayed responses"
    );
    assert_eq!(eras.on_response(era(1), 40 * SECOND_US), EraChange::Replaced { before: era(3) });
    assert_eq!((eras.current(), eras.resolve_reported(StoreEra::UNKNOWN)), (era(1), era(1)));
}

#[test]
fn entries_of_another_store_are_accepted_under_any_revision() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", false, at(3, 50)));
    fleet.on_store_replaced();
    assert_eq!(fleet.put(record("a", true, at(1, 7))), FleetChange::Draining);
}

#[test]
fn a_report_without_an_era_is_of_the_first_observed_era() {
    let mut eras = eras_from(4);
    assert_eq!(eras.resolve_reported(StoreEra::UNKNOWN), era(4));
    eras.on_response(era(5), 1);
    assert_eq!(eras.resolve_reported(StoreEra::UNKNOWN), era(4));
    assert_eq!(eras.resolve_reported(era(6)), era(6));
}

#[test]
fn a_report_of_an_earlier_era_confirms_nothing() {
    let mut replica = ReplicaFreshness::default();
    let everything = StoreUpdate {
        era: era(2),
        known_to: RevisionNumber(9),
        is_snapshot: true,
        entries: Vec::new(),
    };
    replica.on_full_read(&everything, 0);
    let eras = eras_from(2);
    replica.on_report(FreshnessReport::new(at(1, 4), Some(0)), &eras, 3 * SECOND_US);
    assert_eq!(replica.assess(3 * SECOND_US, SECOND_US), Freshness::Unconfirmed);
    replica.on_report(FreshnessReport::new(at(1, 900), Some(0)), &eras, 3 * SECOND_US);
    assert_eq!(replica.behind_for_us(4 * SECOND_US), None, "an earlier era has no later change");
    replica.on_report(FreshnessReport::new(at(2, 9), Some(0)), &eras, 4 * SECOND_US);
    assert_eq!(replica.assess(4 * SECOND_US, SECOND_US), Freshness::Fresh);
    replica.on_report(FreshnessReport::new(at(3, 1), Some(0)), &eras, 4 * SECOND_US);
    assert_eq!(replica.assess(5 * SECOND_US, SECOND_US), Freshness::Behind);
}

/// Changes that were lost between two eras are unknown.
#[test]
fn only_a_snapshot_leads_a_replica_into_a_later_era() {
    let update = |in_era, known_to, is_snapshot| StoreUpdate {
        era: era(in_era),
        known_to: RevisionNumber(known_to),
        is_snapshot,
        entries: Vec::new(),
    };
    let mut replica = StoreReplica::default();
    replica.apply(&update(1, 50, true));
    assert!(!replica.accepts(&update(2, 60, false)));
    replica.apply(&update(2, 60, false));
    assert_eq!(replica.known_to(), Some(at(1, 50)));
    replica.apply(&update(2, 40, true));
    assert_eq!(replica.known_to(), Some(at(2, 40)));
    replica.apply(&update(1, 90, true));
    assert_eq!(replica.known_to(), Some(at(2, 40)), "an update of an earlier era");
    assert!(replica.update_since(Some(at(1, 90))).unwrap().is_snapshot);
    assert!(!replica.update_since(Some(at(2, 40))).unwrap().is_snapshot);
}

fn record(id: &str, draining: bool, revision: StoreRevision) -> RunnerRecord {
    RunnerRecord { draining, revision, ..runner_record(RunnerId::new(id)) }
}

fn accepts_work(fleet: &Fleet, id: &str) -> bool {
    fleet.get(&RunnerId::new(id)).is_some_and(|runner| runner.accepts_work())
}

#[test]
fn an_entry_written_again_under_a_lower_revision_is_accepted() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", false, at(1, 50)));
    assert_eq!(fleet.put(record("a", true, at(2, 7))), FleetChange::Draining);
    assert_eq!(fleet.put(record("b", false, at(2, 8))), FleetChange::Joined);
    assert_eq!(fleet.remove(&RunnerId::new("b"), at(2, 9), None), FleetChange::Removed);
}

#[test]
fn a_draining_runner_stays_draining_after_a_restore_of_the_store() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", true, at(1, 50)));
    fleet.replace_all(vec![record("a", false, at(2, 7))], at(2, 40), Some(SECOND_US));
    assert!(!accepts_work(&fleet, "a"));
    // The entry is missing from the backup altogether, and is written again as it was before.
    fleet.replace_all(Vec::new(), at(3, 5), Some(SECOND_US));
    fleet.put(record("a", false, at(3, 9)));
    assert!(!accepts_work(&fleet, "a"));
}

#[test]
fn a_removed_runner_does_not_return_with_a_restore_of_the_store() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", false, at(1, 50)));
    fleet.remove(&RunnerId::new("a"), at(1, 60), None);
    fleet.replace_all(vec![record("a", false, at(2, 50))], at(2, 55), None);
    assert!(fleet.get(&RunnerId::new("a")).is_none());
    fleet.put(record("a", false, at(2, 56)));
    assert!(accepts_work(&fleet, "a"), "the runner has written its entry again");
}

#[test]
fn an_ended_incarnation_does_not_return_with_a_restore_of_the_store() {
    let name = RunnerName::new("a");
    let incarnation = |born_ms| RunnerId::of_incarnation(&name, Some(born_ms));
    let record =
        |born_ms, revision| RunnerRecord { revision, ..runner_record(incarnation(born_ms)) };
    let mut fleet = Fleet::default();
    fleet.put(record(100, at(1, 50)));
    fleet.put(record(200, at(1, 60)));
    fleet.replace_all(vec![record(100, at(2, 50))], at(2, 55), Some(SECOND_US));
    assert_eq!(fleet.incarnation_of(&name), Some(&incarnation(200)));
}

#[test_case(false; "the store is not known to have been unavailable")]
#[test_case(true; "the store has been unavailable")]
fn entries_missing_after_a_restore_may_be_written_again(was_unavailable: bool) {
    let mut replica = ReplicaFreshness::default();
    let confirmed_at_us = if was_unavailable { 0 } else { 4 * SECOND_US };
    replica.on_store_response(at(1, 50), confirmed_at_us);
    replica.on_later_era(4 * SECOND_US + 50_000);
    assert!(replica.lapse_grace_until_us(4 * SECOND_US + 60_000).is_some());
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    /// The store is restored from its last backup.
    Restore,
    Backup,
    /// The reader queries the store.
    Read,
    /// A follower queries the reader.
    Follow,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_u8..5).prop_map(Step::Write),
        2 => (0_u8..5).prop_map(Step::Remove),
        1 => Just(Step::Restore),
        1 => Just(Step::Backup),
        3 => Just(Step::Read),
        3 => Just(Step::Follow),
    ]
}

/// A store that gives each write a number of its own, whatever its revision.
#[derive(Clone, Default)]
struct Store {
    entries: BTreeMap<String, (u64, u64)>,
    changes: Vec<(u64, String, Option<u64>)>,
    revision: u64,
}

impl Store {
    fn snapshot(&self, in_era: u64) -> StoreUpdate {
        let entry = |(key, (revision, write)): (&String, &(u64, u64))| StoreEntry {
            key: key.clone(),
            document: Some(write.to_string()),
            revision: RevisionNumber(*revision),
        };
        let entries = self.entries.iter().map(entry).collect();
        let known_to = RevisionNumber(self.revision);
        StoreUpdate { era: era(in_era), known_to, is_snapshot: true, entries }
    }

    /// What a watch from a revision of this era delivers.
    fn changes_since(&self, in_era: u64, after: u64) -> StoreUpdate {
        let entry = |(revision, key, write): &(u64, String, Option<u64>)| StoreEntry {
            key: key.clone(),
            document: write.map(|write| write.to_string()),
            revision: RevisionNumber(*revision),
        };
        let entries = self.changes.iter().filter(|(it, _, _)| *it > after).map(entry).collect();
        let known_to = RevisionNumber(self.revision);
        StoreUpdate { era: era(in_era), known_to, is_snapshot: false, entries }
    }
}

proptest! {
    /// A reader that reads all entries in a later era, and a node that follows it, end up with the
    /// contents of the store.
    #[test]
    fn replicas_match_the_store_across_restores(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let (mut store, mut backup, mut in_era, mut writes) = (Store::default(), Store::default(), 0, 0);
        let (mut reader, mut follower) = (StoreReplica::default(), StoreReplica::default());
        for step in steps.into_iter().chain([Step::Read, Step::Follow]) {
            writes += 1;
            match step {
                Step::Write(key) => {
                    store.revision += 1;
                    let (key, revision) = (key.to_string(), store.revision);
                    store.entries.insert(key.clone(), (revision, writes));
                    store.changes.push((revision, key, Some(writes)));
                }
                Step::Remove(key) => {
                    store.revision += 1;
                    store.entries.remove(&key.to_string());
                    store.changes.push((store.revision, key.to_string(), None));
                }
                Step::Backup => backup = store.clone(),
                Step::Restore => {
                    store = backup.clone();
                    in_era += 1;
                }
                Step::Read => {
                    let revision_of_this_era = reader.known_to().filter(|at| at.era() == era(in_era));
                    let update = revision_of_this_era
                        .map_or_else(|| store.snapshot(in_era), |at| store.changes_since(in_era, at.number().0));
                    reader.apply(&update);
                }
                Step::Follow => {
                    if let Some(update) = reader.update_since(follower.known_to()) {
                        follower.apply(&update);
                    }
                }
            }
        }
        let stored: BTreeMap<String, String> =
            store.entries.iter().map(|(key, (_, write))| (key.clone(), write.to_string())).collect();
        for replica in [reader, follower] {
            let entries = replica.update_since(None).unwrap().entries;
            let replicated: BTreeMap<String, String> =
                entries.into_iter().map(|it| (it.key, it.document.unwrap())).collect();
            prop_assert_eq!(&replicated, &stored);
        }
    }
}
