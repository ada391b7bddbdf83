//! Which nodes there are, and which of them read the store for the others.
//!
//! A few nodes of each zone (its mirrors) watch the store; the others follow a mirror, so the
//! calls to the store do not grow with the fleet. Where there are several regions, a call crosses
//! from one to another mostly: then a few nodes of each region watch it, of different zones. Every node finds the same mirrors, as far as
//! it knows the same nodes. Nodes that disagree for a while cost calls and nothing else: a
//! mirror is any node that is asked for its copy.

use crate::ids::{NodeId, RegionId, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::scheduling::Shard;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Mirrors of a zone: one may be lost or cut off without the zone's nodes noticing.
const STORE_READERS_PER_ZONE: usize = 2;
/// Mirrors of a region, where there are several: one may be lost or cut off without the region's
/// nodes noticing, or its zone.
const STORE_READERS_PER_REGION: usize = 2;

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where other nodes reach it, by datagrams and connections.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Its share of a processor, in thousandths.
    #[serde(rename = "p")]
    pub millicpus: u32,
}

/// All nodes that are known, this one included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: NodeId,
    topology: Topology,
    members: BTreeMap<NodeId, Member>,
}

impl Membership {
    /// A node that knows only itself, and the regions of the zones.
    pub fn new(own: NodeId, member: Member, topology: Topology) -> Self {
        let members = BTreeMap::from([(own.clone(), member)]);
        Self { own, topology, members }
    }

    /// Zones belong to other regions from now on.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// This node's name.
    pub fn own_name(&self) -> &NodeId {
        &self.own
    }

    /// What this node tells of itself.
    pub fn own(&self) -> &Member {
        &self.members[&self.own]
    }

    /// Takes in what another node tells of itself.
    pub fn upsert(&mut self, name: &NodeId, member: &Member) {
        if *name != self.own {
            self.members.insert(name.clone(), member.clone());
        }
    }

    /// Forgets the other nodes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        let own = self.own.clone();
        self.members.retain(|name, _| *name == own || is_kept(name));
    }

    /// The region of this node.
    pub fn own_region(&self) -> RegionId {
        self.topology.region_of(&self.own().zone)
    }

    /// Regions with nodes.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        self.zones().into_iter().map(|zone| self.topology.region_of(zone)).collect()
    }

    /// Whether there are nodes in another region than this node's.
    pub fn has_other_regions(&self) -> bool {
        let own_zone = &self.own().zone;
        self.members.values().any(|member| !self.topology.is_same_region(&member.zone, own_zone))
    }

    /// How many nodes a region has.
    pub fn count_in(&self, region: &RegionId) -> usize {
        let zones = self.members.values().map(|member| &member.zone);
        zones.filter(|zone| self.topology.is_in(zone, region)).count()
    }

    /// The shards of a region's runners.
    pub fn shards_of(&self, region: RegionId) -> impl Iterator<Item = Shard> {
        let of = Shard::count(self.count_in(&region));
        Shard::all(region, of)
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no node: never, as there is this one.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether this node reads the store for others.
    pub fn is_store_reader(&self) -> bool {
        self.store_readers_of(&self.own_region()).contains(&&self.own)
    }

    /// How many nodes read the store.
    pub fn store_reader_count(&self) -> usize {
        self.store_readers().len()
    }

    /// Where this node may follow the store, the best first: the mirrors of its own zone, each
    /// node beginning with another one, then those of its region's other zones, then the rest.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let own_zone = &self.own().zone;
        let mut names = self.store_readers();
        names.sort_by_key(|name| {
            let zone = &self.members[*name].zone;
            let is_remote = !self.topology.is_same_region(zone, own_zone);
            (
                zone != own_zone,
                is_remote,
                self.spread_weight(zone.as_str()),
                self.spread_weight(name.as_str()),
            )
        });
        self.addresses_of_others(names)
    }

    /// The other nodes that read the store.
    pub fn other_store_readers(&self) -> Vec<SocketAddr> {
        self.addresses_of_others(self.store_readers())
    }

    /// The other nodes of a region that read the store.
    pub fn other_store_readers_in(&self, region: &RegionId) -> Vec<SocketAddr> {
        self.addresses_of_others(self.store_readers_of(region))
    }

    fn addresses_of_others(&self, names: Vec<&NodeId>) -> Vec<SocketAddr> {
        let others = names.into_iter().filter(|name| **name != self.own);
        others.map(|name| self.members[name].address).collect()
    }

    /// All nodes.
    pub fn names(&self) -> impl Iterator<Item = &NodeId> + Clone {
        self.members.keys()
    }

    /// Whether a node is of this node's region.
    pub fn is_in_own_region(&self, name: &NodeId) -> bool {
        let own_zone = &self.own().zone;
        self.zone_of(name).is_some_and(|zone| self.topology.is_same_region(zone, own_zone))
    }

    /// The zone of a node.
    pub fn zone_of(&self, name: &NodeId) -> Option<&ZoneId> {
        self.members.get(name).map(|member| &member.zone)
    }

    /// All nodes with what they tell of themselves.
    pub fn all(&self) -> impl Iterator<Item = (&NodeId, &Member)> + Clone {
        self.members.iter()
    }

    /// Some nodes with what they tell of themselves, this one among them.
    pub fn sample(&self, max_count: usize) -> Vec<(NodeId, Member)> {
        let own = (self.own.clone(), self.own().clone());
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        let others = others.map(|(name, member)| (name.clone(), member.clone()));
        std::iter::once(own).chain(others).take(max_count).collect()
    }

    /// Where the other nodes are reached.
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        others.map(|(_, member)| member.address).collect()
    }

    /// The node that is told what this one is told, so that it outlives this one: one that reads
    /// the store, if there is one of another zone, of the own region if there is one.
    pub fn backup_node(&self) -> Option<SocketAddr> {
        let own_zone = &self.own().zone;
        let mut names = self.store_readers();
        names.sort_by_key(|name| {
            let zone = &self.members[*name].zone;
            let is_remote = !self.topology.is_same_region(zone, own_zone);
            (zone == own_zone, is_remote, self.spread_weight(zone.as_str()))
        });
        self.addresses_of_others(names).first().copied()
    }

    /// The scheduler of a shard among the nodes of its region for which `is_up` holds, or among
    /// all nodes if none of the region is known; `None` if it is this node, or nobody is up.
    pub fn scheduler(
        &self,
        shard: &Shard,
        is_up: impl Fn(&NodeId) -> bool,
    ) -> Option<(&NodeId, SocketAddr)> {
        let candidates = self.scheduler_candidates(shard);
        let reachable = candidates.filter(|(name, _)| **name == self.own || is_up(name));
        let best = reachable.max_by_key(|(name, member)| (member.millicpus, shard.weight(name)));
        best.filter(|(name, _)| **name != self.own).map(|(name, member)| (name, member.address))
    }

    /// The nodes of a shard's region, or all nodes if none of the region is known.
    fn scheduler_candidates<'a>(
        &'a self,
        shard: &Shard,
    ) -> impl Iterator<Item = (&'a NodeId, &'a Member)> + 'a {
        let region = shard.region.clone();
        let has_nodes = self.count_in(&region) > 0;
        let is_candidate = move |zone: &ZoneId| !has_nodes || self.topology.is_in(zone, &region);
        self.members.iter().filter(move |(_, member)| is_candidate(&member.zone))
    }

    /// How many nodes for which `is_there` holds come before one as the scheduler of a shard, and keeper of its
    /// runners' limits.
    pub fn scheduler_rank_of(
        &self,
        name: &NodeId,
        shard: &Shard,
        is_present: impl Fn(&NodeId) -> bool,
    ) -> usize {
        let rank = |name: &NodeId, member: &Member| (member.millicpus, shard.weight(name));
        let Some(own) = self.members.get(name) else { return self.members.len() };
        let own = rank(name, own);
        let others = self.scheduler_candidates(shard).filter(|(other, _)| *other != name);
        others.filter(|(other, member)| rank(other, member) > own && is_present(other)).count()
    }

    /// The nodes that may be the scheduler of a shard, the first one first.
    pub fn schedulers_by_rank(&self, shard: &Shard) -> Vec<(&NodeId, SocketAddr)> {
        let mut candidates: Vec<_> = self.scheduler_candidates(shard).collect();
        candidates.sort_by_cached_key(|(name, member)| {
            std::cmp::Reverse((member.millicpus, shard.weight(name)))
        });
        candidates.into_iter().map(|(name, member)| (name, member.address)).collect()
    }

    /// Spreads the nodes over the places that they may choose.
    fn spread_weight(&self, place: &str) -> u64 {
        rendezvous_weight(self.own.as_str(), place)
    }

    fn zones(&self) -> Vec<&ZoneId> {
        let mut zones: Vec<&ZoneId> = self.members.values().map(|member| &member.zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    fn store_readers(&self) -> Vec<&NodeId> {
        self.regions().iter().flat_map(|region| self.store_readers_of(region)).collect()
    }

    /// The nodes of a region that read the store; the same ones at every node.
    fn store_readers_of(&self, region: &RegionId) -> Vec<&NodeId> {
        let mut zones = self.zones();
        let is_only_region = zones.iter().all(|zone| self.topology.is_in(zone, region));
        zones.retain(|zone| self.topology.is_in(zone, region));
        let ranked = zones.into_iter().map(|zone| self.strongest_of(zone, STORE_READERS_PER_ZONE));
        if is_only_region {
            return ranked.flatten().map(|(_, _, name)| name).collect();
        }
        // The first of each zone go before the second of any.
        let ranked_by_zone = ranked.flat_map(|nodes| nodes.into_iter().enumerate());
        let mut ranked_by_zone: Vec<_> = ranked_by_zone.collect();
        ranked_by_zone.sort_by(|(rank_in_zone, node), (other_rank, other)| {
            rank_in_zone.cmp(other_rank).then(other.cmp(node))
        });
        ranked_by_zone
            .into_iter()
            .take(STORE_READERS_PER_REGION)
            .map(|(_, (_, _, name))| name)
            .collect()
    }

    /// The strongest nodes of a zone with their rank; among equals the same ones at every node.
    fn strongest_of(&self, zone: &ZoneId, max_count: usize) -> Vec<(u32, u64, &NodeId)> {
        let of_zone = self.members.iter().filter(|(_, member)| member.zone == *zone);
        let mut ranked: Vec<_> = of_zone
            .map(|(name, member)| {
                (member.millicpus, rendezvous_weight("store", name.as_str()), name)
            })
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        ranked.truncate(max_count);
        ranked
    }
}
