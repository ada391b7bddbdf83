//! Compression (zlib) of large replica updates between nodes.
//!
//! A configuration repeats its names: 4,200 routes are 944 KB as JSON within JSON, and a tenth of
//! that compressed. Each follower receives it over a link of 10 Mbit/s.

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use ntex::util::Bytes;
use pitchstall_serving::store_replica::StoreUpdate;
use std::io::{Read, Write};

/// Maximum size of a decompressed update. The store limits an entry to 1 MiB before it is escaped
/// as a JSON string, and 1,300 runners take 0.4 MB.
const MAX_UPDATE_BYTES: u64 = 8 * 1024 * 1024;

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

/// The last compressed update of one subject, so that it is compressed once for all followers. The
/// update itself is kept for the comparison, at most 0.9 MB in the users' deployments: anything
/// smaller, such as a revision, may be equal in two different stores.
#[derive(Default)]
pub struct CompressedUpdateCache {
    last: Option<(StoreUpdate, Bytes)>,
}

impl CompressedUpdateCache {
    /// The compressed form of `update`, from the cache if it is the same update as the last one.
    pub fn get_or_compress(&mut self, update: StoreUpdate) -> std::io::Result<Bytes> {
        if let Some((_, compressed)) = self.last.as_ref().filter(|(known, _)| *known == update) {
            return Ok(compressed.clone());
        }
        let compressed = compress(&serde_json::to_vec(&update)?)?;
        self.last = Some((update, compressed.clone()));
        Ok(compressed)
    }
}
