//! The record of the software versions at which streams may have begun.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Fleet, MAX_STREAM_AGE_US};
use pitchstall_serving::ids::{RunnerId, ServiceName, SoftwareVersion};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::store_revision::{StoreEra, StoreRevision};
use pitchstall_serving::stream_origin::StreamOrigin;
use pitchstall_serving::version_record::{
    entry_name, recorded_origins, RecordChange, VersionEntry, VersionRecord, VersionState,
    MAX_INTEREST_US,
};
use pitchstall_serving::version_view::{only_origin, RecordedOrigins};
use std::collections::BTreeSet;
use support::runner_record;
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;
/// A node that has run for so long has seen all versions that count.
const LONG_AFTER_US: u64 = MAX_INTEREST_US + SECOND_US;
/// Time from the end of a version's last runner, or from the read of its entry, until the entry goes.
const REMOVAL_US: u64 = MAX_INTEREST_US + 5 * SECOND_US;

fn at(revision: u64) -> StoreRevision {
    StoreRevision::without_era(revision)
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn service() -> ServiceName {
    runner("any", "v1", 1).service
}

fn runner(name: &str, version: &str, revision: u64) -> RunnerRecord {
    RunnerRecord {
        version: SoftwareVersion::new(version),
        revision: at(revision),
        ..runner_record(RunnerId::new(name))
    }
}

fn entry(name: &str, state: VersionState, era: StoreEra) -> VersionEntry {
    VersionEntry { service: service(), version: version(name), state, era }
}

fn item(entry: VersionEntry, revision: u64) -> (String, VersionEntry, StoreRevision) {
    (entry_name(&entry.service, &entry.version), entry, at(revision))
}

fn era(number: u64) -> StoreEra {
    StoreEra::from_reported(number).unwrap()
}

/// A record that was read as these entries, and a fleet with one runner of each of these versions.
struct World {
    record: VersionRecord,
    fleet: Fleet,
}

impl World {
    fn new(entries: Vec<VersionEntry>, versions: &[&str]) -> Self {
        Self::in_era(StoreEra::UNKNOWN, entries, versions)
    }

    /// The record is read in this era of the store.
    fn in_era(era: StoreEra, entries: Vec<VersionEntry>, versions: &[&str]) -> Self {
        let mut record = VersionRecord::default();
        let items = entries.into_iter().zip(100..).map(|(entry, revision)| item(entry, revision));
        record.on_snapshot(items.collect(), era, 0);
        let mut fleet = Fleet::default();
        versions.iter().for_each(|name| drop(fleet.put(runner(name, name, 1))));
        Self { record, fleet }
    }

    fn puts(&mut self, era: StoreEra, now_us: u64) -> Vec<RecordChange> {
        let services = BTreeSet::from([service()]);
        self.record.due_puts(&services, self.fleet.versions_mut(), era, now_us)
    }

    fn ends(&mut self, now_us: u64) -> Vec<RecordChange> {
        let services = BTreeSet::from([service()]);
        self.record.due_ends(&services, self.fleet.versions_mut(), now_us)
    }
}

#[test]
fn no_stream_begins_at_a_version_before_its_entry_was_read() {
    let mut world = World::new(Vec::new(), &["v1"]);
    assert!(!world.record.may_begin(&service(), &version("v1")));
    let serving = entry("v1", VersionState::Serving, StoreEra::UNKNOWN);
    assert_eq!(world.puts(StoreEra::UNKNOWN, 1), [RecordChange::Put(vec![serving.clone()])]);
    let (key, entry, revision) = item(serving, 7);
    world.record.on_written(key, entry, revision, 2);
    assert!(world.record.may_begin(&service(), &version("v1")));
    assert_eq!(world.puts(StoreEra::UNKNOWN, 3), []);
}

#[test]
fn nothing_is_written_before_the_record_was_read() {
    let mut world = World::new(Vec::new(), &["v1"]);
    world.record = VersionRecord::default();
    assert_eq!(world.puts(StoreEra::UNKNOWN, LONG_AFTER_US), []);
}

#[test]
fn a_version_without_runners_is_retired_and_removed_only_after_the_life_of_a_stream() {
    let serving = |name| entry(name, VersionState::Serving, StoreEra::UNKNOWN);
    let mut world = World::new(vec![serving("v1"), serving("v2")], &["v1", "v2"]);
    assert_eq!(world.ends(LONG_AFTER_US), []);
    world.fleet.remove(&RunnerId::new("v1"), at(2), None);
    let gone_us = LONG_AFTER_US + 1;
    assert_eq!(world.ends(gone_us), []);
    let retired_us = gone_us + 5 * SECOND_US;
    let retiring = entry("v1", VersionState::Retiring, StoreEra::UNKNOWN);
    assert_eq!(world.ends(retired_us), [RecordChange::Retire(retiring.clone(), at(100))]);
    let (key, entry, revision) = item(retiring, 200);
    world.record.on_written(key, entry, revision, retired_us);
    assert!(!world.record.may_begin(&service(), &version("v1")));
    assert!(world.record.versions(&service()).contains(&version("v1")));
    assert_eq!(world.ends(retired_us + REMOVAL_US - 1), []);
    let removal = RecordChange::Remove(service(), version("v1"), at(200));
    assert_eq!(world.ends(retired_us + REMOVAL_US), [removal]);
}

#[test]
fn a_version_that_returns_is_recorded_again_before_a_stream_begins_there() {
    let retiring = entry("v1", VersionState::Retiring, StoreEra::UNKNOWN);
    let mut world = World::new(vec![retiring], &["v1"]);
    assert!(!world.record.may_begin(&service(), &version("v1")));
    let serving = entry("v1", VersionState::Serving, StoreEra::UNKNOWN);
    assert_eq!(world.puts(StoreEra::UNKNOWN, 1), [RecordChange::Put(vec![serving])]);
    assert_eq!(world.ends(LONG_AFTER_US), []);
}

#[test]
fn a_list_that_was_read_anew_begins_the_time_without_runners_again() {
    let retiring = entry("v1", VersionState::Retiring, StoreEra::UNKNOWN);
    let mut world = World::new(vec![retiring], &["v1", "v2"]);
    world.fleet.remove(&RunnerId::new("v1"), at(2), None);
    assert_eq!(world.ends(SECOND_US), []);
    world.fleet.replace_all(vec![runner("v2", "v2", 1)], at(9), None);
    let read_us = MAX_STREAM_AGE_US;
    assert_eq!(world.ends(read_us), []);
    assert_eq!(world.ends(read_us + REMOVAL_US - 1), []);
    assert_eq!(world.ends(read_us + REMOVAL_US).len(), 1);
}

#[test]
fn a_record_that_was_read_anew_begins_the_time_without_runners_again() {
    let retiring = entry("v1", VersionState::Retiring, StoreEra::UNKNOWN);
    let mut world = World::new(vec![retiring.clone()], &[]);
    let read_us = MAX_STREAM_AGE_US;
    world.record.on_snapshot(vec![item(retiring, 100)], StoreEra::UNKNOWN, read_us);
    assert_eq!(world.ends(read_us + REMOVAL_US - 1), []);
    assert_eq!(world.ends(read_us + REMOVAL_US).len(), 1);
}

#[test]
fn versions_are_written_again_after_a_restore_once_all_that_may_have_been_lost_are_past() {
    let serving = |name, era| entry(name, VersionState::Serving, era);
    let mut world = World::in_era(era(1), vec![serving("v1", era(0))], &["v1"]);
    assert_eq!(world.puts(era(1), MAX_INTEREST_US - 1), []);
    let expected = RecordChange::Put(vec![serving("v1", era(1))]);
    assert_eq!(world.puts(era(1), MAX_INTEREST_US), [expected]);
}

#[test]
fn a_version_that_the_restored_store_had_lost_begins_the_wait_again() {
    let serving = |name, era| entry(name, VersionState::Serving, era);
    let mut world = World::in_era(era(1), vec![serving("v1", era(0))], &["v1"]);
    world.fleet.put(runner("v2", "v2", 2));
    let lost = serving("v2", era(0));
    assert_eq!(world.puts(era(1), MAX_INTEREST_US - 1), [RecordChange::Put(vec![lost.clone()])]);
    let (key, entry, revision) = item(lost, 300);
    world.record.on_written(key, entry, revision, MAX_INTEREST_US);
    assert_eq!(world.puts(era(1), MAX_INTEREST_US), []);
    assert_eq!(world.puts(era(1), 2 * MAX_INTEREST_US).len(), 1);
}

#[test]
fn nothing_is_written_by_a_record_of_an_earlier_era() {
    let mut world = World::in_era(era(0), Vec::new(), &["v1"]);
    assert_eq!(world.puts(era(1), LONG_AFTER_US), []);
}

#[test]
fn a_read_of_entries_is_complete_if_one_was_written_in_the_era_or_there_is_none() {
    let is_complete = |entries: &[VersionEntry], era| recorded_origins(entries, era).is_complete;
    let entries = [entry("v1", VersionState::Serving, era(0))];
    assert!(is_complete(&entries, era(0)));
    assert!(!is_complete(&entries, era(1)));
    assert!(is_complete(&[], era(1)));
}

#[test]
fn a_service_that_no_route_sends_to_is_retired_though_it_has_runners() {
    let mut world =
        World::new(vec![entry("v1", VersionState::Serving, StoreEra::UNKNOWN)], &["v1"]);
    let (none, now_us) = (BTreeSet::new(), LONG_AFTER_US);
    let ends = world.record.due_ends(&none, world.fleet.versions_mut(), now_us);
    let retiring = entry("v1", VersionState::Retiring, StoreEra::UNKNOWN);
    assert_eq!(ends, [RecordChange::Retire(retiring, at(100))]);
}

#[test]
fn an_entry_is_not_removed_while_a_node_that_is_cut_off_may_still_begin_streams_at_its_runners() {
    let mut world =
        World::new(vec![entry("v1", VersionState::Retiring, StoreEra::UNKNOWN)], &["v1"]);
    let none = BTreeSet::new();
    let ends = |world: &mut World, now_us| {
        world.record.due_ends(&none, world.fleet.versions_mut(), now_us)
    };
    assert_eq!(ends(&mut world, 2 * REMOVAL_US), []);
    world.fleet.remove(&RunnerId::new("v1"), at(2), None);
    let gone_us = 2 * REMOVAL_US;
    assert_eq!(ends(&mut world, gone_us + REMOVAL_US - 1), []);
    let removal = RecordChange::Remove(service(), version("v1"), at(100));
    assert_eq!(ends(&mut world, gone_us + 2 * REMOVAL_US), [removal]);
}

fn origins(names: &[&str]) -> BTreeSet<StreamOrigin> {
    let origin = |name: &&str| {
        let (service, name) = name.split_once('/').unwrap_or(("llm", name));
        StreamOrigin { service: ServiceName::new(service), version: version(name) }
    };
    names.iter().map(origin).collect()
}

#[test_case(&["v1"], true, &[], true; "one entry")]
#[test_case(&["v1"], true, &["v1"], true; "one entry with runners")]
#[test_case(&["v1"], false, &["v1"], false; "the record may lack versions")]
#[test_case(&["v1"], true, &["v2"], false; "another version has runners")]
#[test_case(&["v1", "v2"], true, &["v1"], false; "two entries")]
#[test_case(&["v1", "next/v1"], true, &["v1"], false; "an entry of another service")]
#[test_case(&["v1"], true, &["next/v1"], false; "another service has runners")]
#[test_case(&[], true, &["v1"], true; "no entry")]
#[test_case(&[], true, &[], false; "no version")]
fn a_stream_that_nobody_remembers_goes_on_only_if_one_version_can_have_begun_it(
    recorded: &[&str],
    is_complete: bool,
    counted: &[&str],
    goes_on: bool,
) {
    let recorded = RecordedOrigins { origins: origins(recorded), is_complete };
    let found = only_origin(&recorded, &origins(counted));
    assert_eq!(found, origins(&["v1"]).into_iter().next().filter(|_| goes_on));
}
