//! Compression of replica updates between nodes.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::compression::{compress, decompress, CompressedUpdateCache};
use pitchstall_serving::store_replica::{StoreEntry, StoreReplica, StoreUpdate};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra};
use proptest::prelude::*;

fn update(known_to: u64, documents: &[String]) -> StoreUpdate {
    let entry = |(number, document): (usize, &String)| StoreEntry {
        key: format!("key-{number}"),
        document: Some(document.clone()),
        revision: RevisionNumber(number as u64),
    };
    let entries = documents.iter().enumerate().map(entry).collect();
    StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(known_to),
        is_snapshot: true,
        entries,
    }
}

#[test]
fn an_update_is_compressed_once_for_all_followers() {
    let mut cache = CompressedUpdateCache::default();
    let mut replica = StoreReplica::default();
    let large = update(2, &["a".repeat(2_000)]);
    replica.apply(&large);
    let first = cache.get_or_compress(&replica, None).unwrap().unwrap();
    let second = cache.get_or_compress(&replica, None).unwrap().unwrap();
    assert_eq!(first.as_ptr(), second.as_ptr());
    assert_eq!(decompress(&first).unwrap(), large);
    let later = update(3, &["b".repeat(2_000)]);
    replica.apply(&later);
    let compressed = cache.get_or_compress(&replica, None).unwrap().unwrap();
    assert_eq!(decompress(&compressed).unwrap(), later);
}

/// After a change to another store, two updates can have the same revisions and the same number of
/// entries, and still differ.
#[test]
fn updates_of_two_stores_are_not_confused() {
    let mut cache = CompressedUpdateCache::default();
    let mut replica = StoreReplica::default();
    for document in ["one", "two"] {
        let update = update(2, &[document.repeat(1_000)]);
        replica.reset();
        replica.apply(&update);
        let compressed = cache.get_or_compress(&replica, None).unwrap().unwrap();
        assert_eq!(decompress(&compressed).unwrap(), update);
    }
}

/// A follower that needs changes alone must not receive the snapshot of the one before it.
#[test]
fn a_snapshot_and_the_changes_since_a_revision_are_not_confused() {
    let mut cache = CompressedUpdateCache::default();
    let mut replica = StoreReplica::default();
    replica.apply(&update(2, &["a".repeat(2_000)]));
    let known_to = replica.known_to();
    let snapshot = cache.get_or_compress(&replica, None).unwrap().unwrap();
    let changes = cache.get_or_compress(&replica, known_to).unwrap().unwrap();
    assert!(decompress(&snapshot).unwrap().is_snapshot);
    assert!(!decompress(&changes).unwrap().is_snapshot);
}

/// Guards against followers that can decompress no snapshot of a fleet of twice the stated size.
#[test]
fn a_snapshot_of_twenty_thousand_runners_is_decompressed() {
    const RUNNERS: usize = 20_000;
    const DOCUMENT_BYTES: usize = 1_000;
    let documents = vec!["\"".repeat(DOCUMENT_BYTES / 2); RUNNERS];
    let large = update(2, &documents);
    let compressed = compress(&serde_json::to_vec(&large).unwrap()).unwrap();
    assert_eq!(decompress(&compressed).unwrap(), large);
}

/// A few bytes that decompress to more than any valid update must not use the memory for it.
#[test]
fn a_decompression_bomb_is_refused() {
    const DECOMPRESSED_BYTES: usize = 64 * 1024 * 1024;
    let bomb = compress(&vec![b' '; DECOMPRESSED_BYTES]).unwrap();
    assert!(bomb.len() < DECOMPRESSED_BYTES / 100);
    assert!(decompress(&bomb).is_err());
}

proptest! {
    #[test]
    fn a_compressed_update_round_trips(known_to in 0..u64::MAX, documents in proptest::collection::vec(".*", 0..20)) {
        let update = update(known_to, &documents);
        let compressed = compress(&serde_json::to_vec(&update).unwrap()).unwrap();
        prop_assert_eq!(decompress(&compressed).unwrap(), update);
    }

    /// Truncated, changed or random bytes are an error and never end the process.
    #[test]
    fn invalid_compressed_data_is_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0_usize..60) {
        prop_assert!(decompress(&bytes).is_err());
        let compressed = compress(&serde_json::to_vec(&update(1, &["some document".to_owned()])).unwrap()).unwrap();
        let cut = cut.min(compressed.len() - 1);
        prop_assert!(decompress(&compressed[..cut]).is_err());
    }
}

#[test]
fn a_compressed_update_that_ends_early_is_an_error() {
    let document = serde_json::to_vec(&update(2, &["a document".repeat(200)])).unwrap();
    let compressed = compress(&document).unwrap();
    for cut in 0..compressed.len() {
        assert!(decompress(&compressed[..cut]).is_err(), "{cut} of {} bytes", compressed.len());
    }
}
