//! Which keepers a tenant's limit is split among.
//!
//! A limit is split into a few equal slots, and each slot belongs to a keeper: one of a fixed
//! number in each zone, held by one node at a time. All of it follows from the tenant's name, its
//! limit, the bounds and the zones that the settings tell, so every node finds the same keepers
//! without talking to others, whoever is up.

use crate::ids::{TenantName, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::quota::{QuotaBounds, TenantLimit};
use crate::quota_share::SlotShare;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Keepers of a zone: the loss of one leaves half of the zone's tenants untouched.
pub const KEEPERS_PER_ZONE: u8 = 2;
/// Fewest slots of a tenant whose limit is large enough: two of three are more than the 0.56 of
/// its limit that a tenant usually sends, so the loss of one is felt at peaks only.
const MIN_SLOTS: usize = 3;

/// One of the keepers of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Its number in the zone, less than [`KEEPERS_A_ZONE`].
    #[serde(rename = "n")]
    pub number: u8,
}

impl fmt::Display for KeeperId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.zone, self.number)
    }
}

/// All keepers there are, in order. Without a told zone, those of one zone without a name.
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

/// Keepers in the order in which one of a zone asks them: its own zone, its own region, the
/// others; among equals each zone has its own order.
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

/// How many slots a limit has: as many as zones, three at the least, and no more than leave
/// each slot room for a large request.
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
