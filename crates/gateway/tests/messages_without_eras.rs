//! Messages of builds without support for store eras.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::freshness::FreshnessReport;
use pitchstall_serving::store_replica::{StoreUpdate, StoreUpdateQuery, Subject};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreEras, StoreRevision};

fn at(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::from_reported(era).unwrap(), RevisionNumber(number))
}

fn eras_since(first: u64) -> StoreEras {
    let mut eras = StoreEras::default();
    eras.on_response(StoreEra::from_reported(first).unwrap(), 0);
    eras
}

/// Until the store is first restored from a backup, builds with and without support for eras
/// understand each other.
#[test]
fn messages_without_eras_are_read_and_written() {
    let old: FreshnessReport = serde_json::from_str(r#"{"c":7,"a":20}"#).unwrap();
    assert_eq!(old.changed_at(&eras_since(4)), at(4, 7));
    let new = serde_json::to_value(FreshnessReport::new(at(4, 7), Some(20))).unwrap();
    assert_eq!(new["c"], 7);
    let without_era = FreshnessReport::new(StoreRevision::without_era(7), Some(20));
    assert_eq!(serde_json::to_string(&without_era).unwrap(), r#"{"c":7,"a":20}"#);
    let old: StoreUpdateQuery =
        serde_json::from_str(r#"{"subject":"r","after":5,"wait_ms":0}"#).unwrap();
    assert_eq!(old.after(&eras_since(4)), Some(at(4, 5)));
    let query = StoreUpdateQuery::new(Subject::Runners, Some(at(4, 5)), 0);
    assert_eq!(serde_json::to_value(query).unwrap()["after"], 5);
}

/// The update has the form in which a build without support for eras sends it.
#[test]
fn updates_without_eras_are_read() {
    let text = r#"{"known_to":9,"whole":true,"entries":[{"k":"op/config","v":"{}","r":7}]}"#;
    let update: StoreUpdate = serde_json::from_str(text).unwrap();
    assert!(update.era.is_unknown());
    assert_eq!(serde_json::to_string(&update).unwrap(), text);
}
