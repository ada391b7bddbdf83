//! The way between two regions: what a runner gets over it comes late, and while the regions are
//! cut off from each other it gets nothing.
//!
//! Callers name the node that they ask in the ids of their requests, so that a runner can tell from
//! which region a request comes. Words between nodes pass by another way and are not held up.

use crate::fleet::ZONES;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Region of each zone.
pub const REGIONS: [(&str, &str); 2] = [(ZONES[0], "shore"), (ZONES[1], "hills")];
/// Time that the way between the regions takes, each way.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(30);
/// Stands before the node's number in an id.
const NODE_SEPARATOR: &str = "-n";

/// The way between the regions.
#[derive(Clone, Debug, Default)]
pub struct RegionLink {
    is_cut: Arc<AtomicBool>,
}

impl RegionLink {
    /// Cuts the regions off from each other, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Whether the regions are cut off from each other.
    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }
}

/// The zone of a node.
pub fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// Whether a node lies in the region where the store is.
pub fn is_in_store_region(node: usize) -> bool {
    zone_of(node) == ZONES[0]
}

/// An id that names the node that is asked.
pub fn id_with_node(id: &str, node: usize) -> String {
    format!("{id}{NODE_SEPARATOR}{node}")
}

/// Whether a request was sent to a node of another zone, which is another region here; `false` if
/// its id does not tell.
pub fn is_from_other_zone(request: &str, zone: &str) -> bool {
    let node = request.rsplit_once(NODE_SEPARATOR).and_then(|(_, node)| node.parse::<usize>().ok());
    node.is_some_and(|node| zone_of(node) != zone)
}
