//! Location of nodes and runners: zones, and the regions to which zones belong.
//!
//! The node's settings assign zones to regions. A zone without an assignment is a region of its
//! own, since nothing is known about what is near it.

use crate::ids::{RegionId, ZoneId};
use std::collections::BTreeMap;

/// The regions of the zones that the settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<ZoneId, RegionId>,
}

impl Topology {
    /// Builds the topology from zones and their regions.
    pub fn new(regions: impl IntoIterator<Item = (ZoneId, RegionId)>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// Region of a zone; a zone without an assignment is a region of its own.
    pub fn region_of(&self, zone: &ZoneId) -> RegionId {
        self.regions.get(zone).cloned().unwrap_or_else(|| RegionId::new(zone.as_str()))
    }

    /// Whether a zone belongs to a region.
    pub fn is_in(&self, zone: &ZoneId, region: &RegionId) -> bool {
        match self.regions.get(zone) {
            Some(assigned) => assigned == region,
            None => zone.as_str() == region.as_str(),
        }
    }

    /// Whether two zones belong to the same region.
    pub fn is_same_region(&self, one: &ZoneId, other: &ZoneId) -> bool {
        one == other || self.is_in(other, &self.region_of(one))
    }

    /// The zones that the settings name, with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &RegionId)> {
        self.regions.iter()
    }
}
