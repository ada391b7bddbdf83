//! Compression (zlib) of large replica updates between nodes.
//!
//! A configuration repeats its names: 4,200 routes are 944 KB as JSON within JSON, and a tenth of
//! that compressed. Each follower receives it over a link of 10 Mbit/s.

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use ntex::util::Bytes;
use pitchstall_serving::store_replica::{StoreReplica, StoreUpdate};
use pitchstall_serving::store_revision::StoreRevision;
use std::io::{Read, Write};

/// Maximum size of a decompressed update. The store limits an entry to 1 MiB before it is escaped
/// as a JSON string; 20,000 runners whose entries have 1 KB each take 20 MB, escaped 30 MB.
const MAX_UPDATE_BYTES: u64 = 48 * 1024 * 1024;

/// Compresses an update in JSON, for speed rather than for size.
pub fn compress(update: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(update)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses an update. Fails if the data is larger than any update can be, or is not a valid
/// update.
pub fn decompress(compressed: &[u8]) -> std::io::Result<StoreUpdate> {
    let mut update = Vec::new();
    ZlibDecoder::new(compressed).take(MAX_UPDATE_BYTES).read_to_end(&mut update)?;
    Ok(serde_json::from_slice(&update)?)
}

/// The last compressed update of one replica, so that it is compressed once for all followers. No
/// copy of the update itself is kept.
#[derive(Default)]
pub struct CompressedUpdateCache {
    last: Option<(UpdateIdentity, Bytes)>,
}

/// Identifies an update among all that a replica has had, also after it was emptied for another
/// store, which may assign the same revisions.
#[derive(Clone, Copy, PartialEq, Eq)]
struct UpdateIdentity {
    changes: u64,
    since: Option<StoreRevision>,
}

impl CompressedUpdateCache {
    /// The compressed form of the replica's update since `after`; `None` if the replica has none.
    pub fn get_or_compress(
        &mut self,
        replica: &StoreReplica,
        after: Option<StoreRevision>,
    ) -> std::io::Result<Option<Bytes>> {
        let identity = UpdateIdentity { changes: replica.changes(), since: replica.since(after) };
        if let Some((_, compressed)) = self.last.as_ref().filter(|(known, _)| *known == identity) {
            return Ok(Some(compressed.clone()));
        }
        let Some(update) = replica.update_since(after) else { return Ok(None) };
        let compressed = compress(&serde_json::to_vec(&update)?)?;
        self.last = Some((identity, compressed.clone()));
        Ok(Some(compressed))
    }
}
