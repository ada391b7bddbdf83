//! Replicas of the store and the updates that nodes send to each other.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::store_replica::{StoreEntry, StoreReplica, StoreUpdate};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreRevision};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(number: u64) -> StoreRevision {
    StoreRevision::without_era(number)
}

fn entry(key: &str, document: Option<&str>, revision: u64) -> StoreEntry {
    StoreEntry {
        key: key.to_owned(),
        document: document.map(str::to_owned),
        revision: RevisionNumber(revision),
    }
}

fn update(known_to: u64, is_snapshot: bool, entries: Vec<StoreEntry>) -> StoreUpdate {
    StoreUpdate { era: StoreEra::UNKNOWN, known_to: RevisionNumber(known_to), is_snapshot, entries }
}

#[test]
fn an_empty_replica_serves_no_update() {
    assert_eq!(StoreReplica::default().update_since(None), None);
}

#[test]
fn a_lagging_replica_serves_no_update_to_one_that_is_ahead() {
    let mut replica = StoreReplica::default();
    replica.apply(&update(5, true, vec![]));
    assert_eq!(replica.update_since(Some(at(6))), None);
    assert_eq!(replica.update_since(Some(at(5))).unwrap().entries, vec![]);
}

#[test]
fn an_older_update_changes_nothing() {
    let mut replica = StoreReplica::default();
    replica.apply(&update(5, true, vec![entry("a", Some("new"), 5)]));
    replica.apply(&update(3, true, vec![entry("a", Some("old"), 3)]));
    assert_eq!(replica.update_since(None).unwrap().entries, vec![entry("a", Some("new"), 5)]);
}

/// Without the reset, nodes that follow this one would never learn of a store that took another's
/// place.
#[test]
fn a_reset_replica_accepts_lower_revisions() {
    let mut replica = StoreReplica::default();
    replica.apply(&update(50, true, vec![entry("a", Some("old"), 40)]));
    replica.reset();
    assert_eq!(replica.update_since(None), None);
    replica.apply(&update(3, true, vec![entry("a", Some("new"), 2)]));
    assert_eq!(replica.update_since(None).unwrap().entries, vec![entry("a", Some("new"), 2)]);
}

#[test]
fn removals_before_a_snapshot_require_a_snapshot() {
    let mut replica = StoreReplica::default();
    replica.apply(&update(5, true, vec![entry("a", Some("x"), 2)]));
    assert!(
        replica.update_since(Some(at(3))).unwrap().is_snapshot,
        "a removal at 4 would be missed"
    );
    assert!(!replica.update_since(Some(at(5))).unwrap().is_snapshot);
}

#[derive(Clone, Debug)]
enum Change {
    Put(u8),
    Remove(u8),
    /// The first replica reads the whole store again.
    Read,
    /// The second replica follows the first.
    Follow,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (0_u8..6).prop_map(Change::Put),
        3 => (0_u8..6).prop_map(Change::Remove),
        1 => Just(Change::Read),
        3 => Just(Change::Follow),
    ]
}

/// Applies an update to the entries, as a node does.
fn apply(view: &mut BTreeMap<String, String>, update: &StoreUpdate) {
    if update.is_snapshot {
        view.clear();
    }
    for entry in &update.entries {
        match &entry.document {
            Some(document) => view.insert(entry.key.clone(), document.clone()),
            None => view.remove(&entry.key),
        };
    }
}

proptest! {
    /// For any sequence of changes, and whenever it queries, a node that follows another one's
    /// replica ends up with the contents of the store.
    #[test]
    fn a_follower_ends_up_with_the_contents_of_the_store(
        changes in prop::collection::vec(change(), 1..120),
    ) {
        let mut store: BTreeMap<String, StoreEntry> = BTreeMap::new();
        let mut revision = 1;
        let mut first = StoreReplica::default();
        let mut second = BTreeMap::new();
        let mut known_to = None;
        first.apply(&update(revision, true, vec![]));
        for change in changes.into_iter().chain([Change::Follow]) {
            revision += 1;
            match change {
                Change::Put(key) => {
                    let put = entry(&key.to_string(), Some(&revision.to_string()), revision);
                    store.insert(put.key.clone(), put.clone());
                    first.apply(&update(revision, false, vec![put]));
                }
                Change::Remove(key) => {
                    store.remove(&key.to_string());
                    let removed = entry(&key.to_string(), None, revision);
                    first.apply(&update(revision, false, vec![removed]));
                }
                Change::Read => {
                    first.apply(&update(revision, true, store.values().cloned().collect()));
                }
                Change::Follow => {
                    let reply = first.update_since(known_to).unwrap();
                    apply(&mut second, &reply);
                    known_to = Some(reply.known_to());
                }
            }
        }
        let document = |entry: &StoreEntry| (entry.key.clone(), entry.document.clone().unwrap());
        let stored: BTreeMap<String, String> = store.values().map(document).collect();
        prop_assert_eq!(second, stored);
    }
}
