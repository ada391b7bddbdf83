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

    /// Whether a zone belongs to a region.
    pub fn is_in(&self, zone: &ZoneId, region: &RegionId) -> bool {
        match self.regions.get(zone) {
            Some(told) => told == region,
            None => zone.as_str() == region.as_str(),
        }
    }

    /// Whether two zones belong to one region.
    pub fn is_same_region(&self, one: &ZoneId, other: &ZoneId) -> bool {
        one == other || self.is_in(other, &self.region_of(one))
    }

    /// The zones that were told of, with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &RegionId)> {
        self.regions.iter()
    }
}
