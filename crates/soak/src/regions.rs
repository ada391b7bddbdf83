//! The link between two regions. Requests to a runner in the remote region are delayed, and are
//! lost while the regions are cut off from each other.
//!
//! Clients put the index of the addressed node into the ids of their requests, so that a runner can
//! tell which region a request comes from. Messages between nodes do not use this link and are not
//! delayed.

use crate::fleet::ZONES;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Region of each zone.
pub const REGIONS: [(&str, &str); 2] = [(ZONES[0], "shore"), (ZONES[1], "hills")];
/// Delay of the link between the regions in one direction.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(30);
/// Separates a request id from the index of the node in it.
const NODE_SEPARATOR: &str = "-n";

/// State of the link between the regions. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RegionLink {
    is_cut: Arc<AtomicBool>,
}

impl RegionLink {
    /// Cuts the regions off from each other, or restores the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Whether the regions are cut off from each other.
    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }
}

/// The zone of a node, by its index.
pub fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// Whether a node lies in the region of the store.
pub fn is_in_store_region(node: usize) -> bool {
    zone_of(node) == ZONES[0]
}

/// The request id with the index of the addressed node appended.
pub fn id_with_node(id: &str, node: usize) -> String {
    format!("{id}{NODE_SEPARATOR}{node}")
}

/// Whether a request was sent to a node outside the given zone, and so in the remote region.
/// `false` if the id contains no node.
pub fn is_from_other_zone(request: &str, zone: &str) -> bool {
    let node = request.rsplit_once(NODE_SEPARATOR).and_then(|(_, node)| node.parse::<usize>().ok());
    node.is_some_and(|node| zone_of(node) != zone)
}
