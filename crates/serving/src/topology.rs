//! Where nodes and runners are: zones, and the regions that zones belong to.
//!
//! Regions are told by the node's settings. A zone that nobody has told of is a region of its own:
//! nothing is known of what is near it.

use crate::ids::{RegionId, ZoneId};
use std::collections::BTreeMap;

/// The regions of the zones that a node was told of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<ZoneId, RegionId>,
}

impl Topology {
    /// The zones with their regions.
    pub fn new(regions: impl IntoIterator<Item = (ZoneId, RegionId)>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// The region of a zone; one that nobody has told of is a region of its own.
    pub fn region_of(&self, zone: &ZoneId) -> RegionId {
        self.regions.get(zone).cloned().unwrap_or_else(|| RegionId::new(zone.as_str()))
    }

    /// The zones that were told of, with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &RegionId)> {
        self.regions.iter()
    }
}
