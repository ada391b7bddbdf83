//! Large updates of copies, compressed (zlib) on their way from node to node.
//!
//! A configuration repeats its names: 4,200 routes are 944 KB as JSON in JSON and a tenth of that compressed.
//! It goes from one node to each of those that follow it, over links of 10 Mbit/s.

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use ntex::util::Bytes;
use pitchstall_serving::store_replica::StoreUpdate;
use std::io::{Read, Write};

/// Largest update: the store bounds an entry to 1 MiB, before its escaping as a string, and 1,300 runners
/// make 0.4 MB.
const MAX_UPDATE_BYTES: u64 = 8 * 1024 * 1024;

/// Compresses an update, as JSON, quickly rather than as small as possible.
pub fn compress(update: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(update)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses an update; what is larger than any update can be is an error, as is what is none.
pub fn decompress(compressed: &[u8]) -> std::io::Result<StoreUpdate> {
    let mut update = Vec::new();
    ZlibDecoder::new(compressed).take(MAX_UPDATE_BYTES).read_to_end(&mut update)?;
    Ok(serde_json::from_slice(&update)?)
}

/// The last update of one subject that was compressed, once for all that ask for the same. The update is kept
/// beside it, 0.9 MB at most on the users' deployments: whatever else is compared, such as revisions, may be
/// alike in two stores.
#[derive(Default)]
pub struct CompressedUpdateCache {
    last: Option<(StoreUpdate, Bytes)>,
}

impl CompressedUpdateCache {
    /// An update compressed.
    pub fn get_or_compress(&mut self, update: StoreUpdate) -> std::io::Result<Bytes> {
        if let Some((_, compressed)) = self.last.as_ref().filter(|(known, _)| *known == update) {
            return Ok(compressed.clone());
        }
        let compressed = compress(&serde_json::to_vec(&update)?)?;
        self.last = Some((update, compressed.clone()));
        Ok(compressed)
    }
}
