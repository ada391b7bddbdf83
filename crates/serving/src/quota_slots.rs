//! The assignment of a tenant's limit to keepers.
//!
//! A limit is split into a few equal slots, each of which belongs to a keeper. Each zone has a
//! fixed number of keepers, and each keeper is held by one node at a time. The assignment depends
//! only on the tenant's name, its limit, the bounds and the zones in the settings, so every node
//! computes the same keepers without communication, whichever nodes are up.

use crate::ids::{TenantName, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::quota::{QuotaBounds, TenantLimit};
use crate::quota_share::SlotShare;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Keepers per zone. With two, the loss of one leaves half of the zone's tenants unaffected.
pub const KEEPERS_PER_ZONE: u8 = 2;
/// Minimum number of slots of a tenant whose limit is large enough. Two of three slots exceed the
/// 0.56 of its limit that a tenant usually uses, so the loss of one slot shows only at load peaks.
const MIN_SLOTS: usize = 3;

/// Identifies one of the keepers of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId {
    /// Zone to which the keeper belongs.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Number within the zone, less than [`KEEPERS_PER_ZONE`].
    #[serde(rename = "n")]
    pub number: u8,
}

impl fmt::Display for KeeperId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.zone, self.number)
    }
}

/// All keepers of the deployment, in order. If no zones are configured, the keepers of a single
/// unnamed zone.
pub fn all_keepers(topology: &Topology) -> Vec<KeeperId> {
    let of_zone = |zone: ZoneId| {
        (0..KEEPERS_PER_ZONE).map(move |number| KeeperId { zone: zone.clone(), number })
    };
    configured_zones(topology).into_iter().flat_map(of_zone).collect()
}

/// The keepers of a tenant, one for each slot of its limit.
pub fn keepers_of(
    tenant: &TenantName,
    limit: &TenantLimit,
    bounds: &QuotaBounds,
    topology: &Topology,
) -> Vec<KeeperId> {
    let mut zones = configured_zones(topology);
    let weight = |node: &str| rendezvous_weight(tenant.as_str(), node);
    zones.sort_by_cached_key(|zone| (std::cmp::Reverse(weight(zone.as_str())), zone.clone()));
    let slots = slot_count(limit, bounds, zones.len());
    let keeper_of_slot = |slot: usize| {
        let zone = &zones[slot % zones.len()];
        let first_number = weight(&format!("keeper/{zone}"));
        let round = (slot / zones.len()) as u64;
        let number = (first_number.wrapping_add(round) % u64::from(KEEPERS_PER_ZONE)) as u8;
        KeeperId { zone: zone.clone(), number }
    };
    (0..slots).map(keeper_of_slot).collect()
}

/// Sorts keepers in the order in which a node of `zone` queries them: its own zone, its own region,
/// then remote regions. Within each group, the order differs from zone to zone.
pub fn query_order(keepers: &[KeeperId], zone: &ZoneId, topology: &Topology) -> Vec<KeeperId> {
    let region = topology.region_of(zone);
    let mut ordered = keepers.to_vec();
    ordered.sort_by_cached_key(|keeper| {
        let is_other_zone = keeper.zone != *zone;
        let is_remote_region = topology.region_of(&keeper.zone) != region;
        let name = keeper.to_string();
        (is_other_zone, is_remote_region, rendezvous_weight(zone.as_str(), &name), name)
    });
    ordered
}

/// The number of slots of a limit: as many as there are zones and at least [`MIN_SLOTS`], but only
/// as many as leave each slot room for a large request.
fn slot_count(limit: &TenantLimit, bounds: &QuotaBounds, zones: usize) -> usize {
    let max_slots = zones.max(MIN_SLOTS).min(zones * usize::from(KEEPERS_PER_ZONE));
    let fits = |slots: &usize| SlotShare::new(limit, bounds, *slots).fits_large_request(limit.unit);
    (1..=max_slots).rev().find(fits).unwrap_or(1)
}

fn configured_zones(topology: &Topology) -> Vec<ZoneId> {
    let zones: Vec<ZoneId> = topology.zones().map(|(zone, _)| zone.clone()).collect();
    if zones.is_empty() {
        return vec![ZoneId::default()];
    }
    zones
}
