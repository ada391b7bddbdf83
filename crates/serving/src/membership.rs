//! The nodes of the fleet, and which of them read the store on behalf of the others.
//!
//! A few nodes of each zone, the store readers, watch the store; all others follow a store reader,
//! so the number of calls to the store does not grow with the fleet. Where there are several
//! regions, most calls to the store cross between regions; there, a few nodes in different zones of
//! each region read it. Nodes that know the same members choose the same store readers. Nodes that
//! disagree for a while only cost additional calls, since every node answers queries from its
//! replica.

use crate::ids::{NodeId, RegionId, StreamId, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::scheduling::Shard;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of store readers in a zone: one of them may be lost or cut off without the zone's other
/// nodes noticing.
const STORE_READERS_PER_ZONE: usize = 2;
/// Number of store readers in a region, where there are several regions: one of them, or its zone,
/// may be lost or cut off without the region's other nodes noticing.
const STORE_READERS_PER_REGION: usize = 2;
/// Number of keepers of a zone's retry pool: one of them may be lost.
const RETRY_POOL_KEEPERS: usize = 2;

/// What a node reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which other nodes reach it, by datagrams and by connections.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The zone in which it runs.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Share of a processor that the node may use, in thousandths of a core.
    #[serde(rename = "p")]
    pub millicpus: u32,
}

/// A candidate for the scheduler of a shard.
struct SchedulerCandidate<'a> {
    millicpus: u32,
    /// Decides among candidates with the same share of a processor.
    weight: u64,
    name: &'a NodeId,
}

impl<'a> SchedulerCandidate<'a> {
    fn new(shard: &Shard, name: &'a NodeId, member: &Member) -> Self {
        Self { millicpus: member.millicpus, weight: shard.weight(name), name }
    }

    fn rank(&self) -> (u32, u64) {
        (self.millicpus, self.weight)
    }
}

/// All known nodes, including this one.
#[derive(Clone, Debug)]
pub struct Membership {
    own: NodeId,
    topology: Topology,
    members: BTreeMap<NodeId, Member>,
    /// Nodes that this node cannot connect to. Others take their place as store readers.
    unreachable: BTreeSet<NodeId>,
    /// Nodes that have refused a connection and may still be starting. They are not followed, and
    /// no other node takes their place as a store reader.
    starting: BTreeSet<NodeId>,
    /// Nodes from which a message has been received.
    heard: BTreeSet<NodeId>,
}

impl Membership {
    /// Creates the view of a node that knows no other node yet. `topology` assigns zones to
    /// regions.
    pub fn new(own: NodeId, member: Member, topology: Topology) -> Self {
        let members = BTreeMap::from([(own.clone(), member)]);
        Self {
            own,
            topology,
            members,
            unreachable: BTreeSet::new(),
            starting: BTreeSet::new(),
            heard: BTreeSet::new(),
        }
    }

    /// Replaces the assignment of zones to regions.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Identifier of this node.
    pub fn own_name(&self) -> &NodeId {
        &self.own
    }

    /// What this node reports about itself.
    pub fn own(&self) -> &Member {
        &self.members[&self.own]
    }

    /// Inserts or replaces what another node reports about itself. This node's own record is never
    /// replaced.
    pub fn upsert(&mut self, name: &NodeId, member: &Member) {
        if *name != self.own {
            self.members.insert(name.clone(), member.clone());
            self.unreachable.remove(name);
            self.starting.remove(name);
        }
    }

    /// Records that a message of a node has been received, so that it has run since this node's start.
    pub fn on_message_from(&mut self, address: SocketAddr) {
        self.heard.extend(self.others_at(address));
    }

    /// Records that no connection to a node could be opened. Until it sends a message, or
    /// [`Self::forget_unreachable`], it does not count as a store reader.
    pub fn on_unreachable(&mut self, address: SocketAddr) {
        self.unreachable.extend(self.others_at(address));
    }

    /// Records that a node has refused a connection while nodes may still be starting. One that has
    /// sent a message before has ended, and counts as unreachable; another one is not followed.
    pub fn on_refused_while_starting(&mut self, address: SocketAddr) {
        for name in self.others_at(address) {
            match self.heard.contains(&name) {
                true => self.unreachable.insert(name),
                false => self.starting.insert(name),
            };
        }
    }

    /// Counts the nodes that may still be starting as unreachable.
    pub fn give_up_starting(&mut self) {
        self.unreachable.append(&mut self.starting);
    }

    /// Lets nodes that could not be connected to count as store readers again.
    pub fn forget_unreachable(&mut self) {
        self.unreachable.clear();
        self.starting.clear();
    }

    /// Whether any node has refused a connection and may still be starting.
    pub fn has_starting(&self) -> bool {
        !self.starting.is_empty()
    }

    /// Share of the other nodes from which a message has been received, from 0 to 1; 0 if there are no others.
    pub fn heard_share(&self) -> f64 {
        let others = self.members.len() - 1;
        self.heard.len() as f64 / others.max(1) as f64
    }

    /// Whether a node that is not starting reads the store for this node's zone, or for its region if
    /// no node reads it for the zone.
    pub fn has_near_store_reader(&self) -> bool {
        let own_zone = &self.own().zone;
        let readers = self.store_readers_of(&self.own_region());
        let of_zone = readers.iter().filter(|name| self.members[**name].zone == *own_zone);
        let of_zone: Vec<&NodeId> = of_zone.copied().collect();
        let near = if of_zone.is_empty() { readers } else { of_zone };
        near.into_iter().any(|name| !self.starting.contains(name))
    }

    fn others_at(&self, address: SocketAddr) -> Vec<NodeId> {
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        let at_address = others.filter(|(_, member)| member.address == address);
        at_address.map(|(name, _)| name.clone()).collect()
    }

    /// Removes the other nodes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        let own = self.own.clone();
        self.members.retain(|name, _| *name == own || is_kept(name));
        let members = &self.members;
        self.unreachable.retain(|name| members.contains_key(name));
        self.starting.retain(|name| members.contains_key(name));
        self.heard.retain(|name| members.contains_key(name));
    }

    /// Region of this node.
    pub fn own_region(&self) -> RegionId {
        self.topology.region_of(&self.own().zone)
    }

    /// All regions that have nodes.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        self.zones().into_iter().map(|zone| self.topology.region_of(zone)).collect()
    }

    /// Whether any node is in another region than this node.
    pub fn has_other_regions(&self) -> bool {
        let own_zone = &self.own().zone;
        self.members.values().any(|member| !self.topology.is_same_region(&member.zone, own_zone))
    }

    /// Number of nodes in a region.
    pub fn count_in(&self, region: &RegionId) -> usize {
        let zones = self.members.values().map(|member| &member.zone);
        zones.filter(|zone| self.topology.is_in(zone, region)).count()
    }

    /// All shards of a region's runners.
    pub fn shards_of(&self, region: RegionId) -> impl Iterator<Item = Shard> {
        let of = Shard::count(self.count_in(&region));
        Shard::all(region, of)
    }

    /// Number of nodes, including this one.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Always false, since this node is included.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether this node reads the store on behalf of others.
    pub fn is_store_reader(&self) -> bool {
        self.store_readers_of(&self.own_region()).contains(&&self.own)
    }

    /// Rank of this node among the store readers for a duty, from 0, in an order that all nodes with the same members find;
    /// `None` if it does not read the store.
    pub fn own_rank_among_store_readers(&self, duty: &str) -> Option<usize> {
        let mut readers = self.store_readers();
        readers.sort_by_key(|name| Reverse(rendezvous_weight(duty, name.as_str())));
        readers.into_iter().position(|name| *name == self.own)
    }

    /// Number of nodes that read the store.
    pub fn store_reader_count(&self) -> usize {
        self.store_readers().len()
    }

    /// Addresses from which this node may follow the store, in order of preference: the store
    /// readers of its own zone, in an order that differs between nodes, then those of the region's
    /// other zones, then all others. Without those that may still be starting.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let own_zone = &self.own().zone;
        let mut names = self.store_readers();
        names.retain(|name| !self.starting.contains(*name));
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

    /// Addresses of the other nodes that read the store.
    pub fn other_store_readers(&self) -> Vec<SocketAddr> {
        self.addresses_of_others(self.store_readers())
    }

    /// Addresses of the other nodes of a region that read the store.
    pub fn other_store_readers_in(&self, region: &RegionId) -> Vec<SocketAddr> {
        self.addresses_of_others(self.store_readers_of(region))
    }

    fn addresses_of_others(&self, names: Vec<&NodeId>) -> Vec<SocketAddr> {
        let others = names.into_iter().filter(|name| **name != self.own);
        others.map(|name| self.members[name].address).collect()
    }

    /// Identifiers of all nodes.
    pub fn names(&self) -> impl Iterator<Item = &NodeId> + Clone {
        self.members.keys()
    }

    /// Whether a node is known and in this node's region.
    pub fn is_in_own_region(&self, name: &NodeId) -> bool {
        let own_zone = &self.own().zone;
        self.zone_of(name).is_some_and(|zone| self.topology.is_same_region(zone, own_zone))
    }

    /// Zone of a node; `None` if the node is unknown.
    pub fn zone_of(&self, name: &NodeId) -> Option<&ZoneId> {
        self.members.get(name).map(|member| &member.zone)
    }

    /// All nodes with what they report about themselves.
    pub fn all(&self) -> impl Iterator<Item = (&NodeId, &Member)> + Clone {
        self.members.iter()
    }

    /// At most `max_count` nodes with what they report about themselves, this node first.
    pub fn sample(&self, max_count: usize) -> Vec<(NodeId, Member)> {
        let own = (self.own.clone(), self.own().clone());
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        let others = others.map(|(name, member)| (name.clone(), member.clone()));
        std::iter::once(own).chain(others).take(max_count).collect()
    }

    /// Addresses of all other nodes.
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        others.map(|(_, member)| member.address).collect()
    }

    /// Address of the node that receives the same reports as this one, so that they survive the
    /// loss of this node: a store reader, preferably of another zone and of the same region.
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

    /// The scheduler of a shard: the candidate with the largest share of a processor for which
    /// `is_up` holds. Returns `None` if that is this node, or if no candidate is up.
    pub fn scheduler(
        &self,
        shard: &Shard,
        is_up: impl Fn(&NodeId) -> bool,
    ) -> Option<(&NodeId, SocketAddr)> {
        let mut best: Option<SchedulerCandidate<'_>> = None;
        for (name, member) in self.scheduler_candidates(shard) {
            // Most nodes are weaker than the best one so far, and need no further check.
            let is_weaker = best.as_ref().is_some_and(|best| member.millicpus < best.millicpus);
            if is_weaker || (*name != self.own && !is_up(name)) {
                continue;
            }
            let candidate = SchedulerCandidate::new(shard, name, member);
            if best.as_ref().is_none_or(|best| candidate.rank() > best.rank()) {
                best = Some(candidate);
            }
        }
        let best = best.filter(|best| *best.name != self.own)?;
        Some((best.name, self.members[best.name].address))
    }

    /// The nodes of a shard's region, or all nodes if none of the region is known.
    fn scheduler_candidates<'a>(
        &'a self,
        shard: &Shard,
    ) -> impl Iterator<Item = (&'a NodeId, &'a Member)> + 'a {
        let region = shard.region.clone();
        let has_nodes = self.members.values().any(|it| self.topology.is_in(&it.zone, &region));
        let is_candidate = move |zone: &ZoneId| !has_nodes || self.topology.is_in(zone, &region);
        self.members.iter().filter(move |(_, member)| is_candidate(&member.zone))
    }

    /// Number of candidates for which `is_present` holds that rank before `name` as the scheduler
    /// of a shard and the keeper of its runners' limits. Counts up to `max_rank`, which is also
    /// returned for an unknown node.
    pub fn scheduler_rank_of(
        &self,
        name: &NodeId,
        shard: &Shard,
        max_rank: usize,
        is_present: impl Fn(&NodeId) -> bool,
    ) -> usize {
        let Some(own) = self.members.get(name) else { return max_rank };
        let own_weight = shard.weight(name);
        let ranks_before = |other: &NodeId, member: &Member| match member.millicpus {
            millicpus if millicpus == own.millicpus => shard.weight(other) > own_weight,
            millicpus => millicpus > own.millicpus,
        };
        let others = self.scheduler_candidates(shard).filter(|(other, _)| *other != name);
        let before = others.filter(|(other, member)| ranks_before(other, member));
        before.filter(|(other, _)| is_present(other)).take(max_rank).count()
    }

    /// The candidates for the scheduler of a shard, the highest rank first.
    pub fn schedulers_by_rank(&self, shard: &Shard) -> Vec<(&NodeId, SocketAddr)> {
        let mut candidates: Vec<_> = self.scheduler_candidates(shard).collect();
        candidates
            .sort_by_cached_key(|(name, member)| Reverse((member.millicpus, shard.weight(name))));
        candidates.into_iter().map(|(name, member)| (name, member.address)).collect()
    }

    /// Weight of `place` for this node. Nodes that choose the target with the highest weight are
    /// distributed evenly over the targets.
    fn spread_weight(&self, place: &str) -> u64 {
        rendezvous_weight(self.own.as_str(), place)
    }

    /// The keepers of the retry pool of this node's zone with their addresses, in the same order at
    /// every node that knows the same members.
    pub fn retry_pool_keepers(&self) -> Vec<(&NodeId, SocketAddr)> {
        let ranked = self.strongest_of(&self.own().zone, "retry", RETRY_POOL_KEEPERS, |_| true);
        ranked.into_iter().map(|(_, _, name)| (name, self.members[name].address)).collect()
    }

    /// The other nodes of a region that keep what is known of a stream, at most `count`, with their zones. Every node
    /// that knows the same members, and the same ones as present, finds the same ones. They are in different zones as
    /// far as possible.
    pub fn stream_keepers(
        &self,
        stream: &StreamId,
        region: &RegionId,
        count: usize,
        is_present: impl Fn(&NodeId) -> bool,
    ) -> Vec<(&ZoneId, SocketAddr)> {
        let of_region = self
            .members
            .iter()
            .filter(|(name, member)| self.topology.is_in(&member.zone, region) && is_present(name));
        let mut ranked: Vec<_> = of_region
            .map(|(name, member)| {
                (Reverse(rendezvous_weight(stream.as_str(), name.as_str())), name, member)
            })
            .collect();
        ranked.sort_by_key(|(weight, name, _)| (*weight, *name));
        let mut zones = BTreeSet::new();
        let (first, others): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(_, _, member)| zones.insert(&member.zone));
        let keepers = first.into_iter().chain(others).take(count);
        let others = keepers.filter(|(_, name, _)| **name != self.own);
        others.map(|(_, _, member)| (&member.zone, member.address)).collect()
    }

    /// Whether this node is the one that all nodes with the same members choose for a subject.
    pub fn is_own_duty(&self, subject: &str) -> bool {
        let chosen =
            self.members.keys().max_by_key(|name| rendezvous_weight(subject, name.as_str()));
        chosen == Some(&self.own)
    }

    /// Number of nodes in this node's zone, including this one.
    pub fn own_zone_count(&self) -> usize {
        let own_zone = &self.own().zone;
        self.members.values().filter(|member| member.zone == *own_zone).count()
    }

    fn zones(&self) -> BTreeSet<&ZoneId> {
        self.members.values().map(|member| &member.zone).collect()
    }

    fn store_readers(&self) -> Vec<&NodeId> {
        self.regions().iter().flat_map(|region| self.store_readers_of(region)).collect()
    }

    /// The nodes of a region that read the store; every node with the same members finds the same
    /// ones.
    fn store_readers_of(&self, region: &RegionId) -> Vec<&NodeId> {
        let mut zones = self.zones();
        let is_only_region = zones.iter().all(|zone| self.topology.is_in(zone, region));
        zones.retain(|zone| self.topology.is_in(zone, region));
        let is_reachable = |name: &NodeId| !self.unreachable.contains(name);
        let ranked = zones
            .into_iter()
            .map(|zone| self.strongest_of(zone, "store", STORE_READERS_PER_ZONE, is_reachable));
        if is_only_region {
            return ranked.flatten().map(|(_, _, name)| name).collect();
        }
        // The first node of each zone ranks before the second one of any zone.
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

    /// The candidates of a zone with the largest shares of a processor, with their ranks. A hash that is
    /// the same at every node and differs between duties breaks ties.
    fn strongest_of(
        &self,
        zone: &ZoneId,
        duty: &str,
        max_count: usize,
        is_candidate: impl Fn(&NodeId) -> bool,
    ) -> Vec<(u32, u64, &NodeId)> {
        let of_zone = self.members.iter().filter(|(_, member)| member.zone == *zone);
        let of_zone = of_zone.filter(|(name, _)| is_candidate(name));
        let mut of_zone: Vec<(u32, &NodeId)> =
            of_zone.map(|(name, member)| (member.millicpus, name)).collect();
        of_zone.sort_by_key(|(millicpus, _)| Reverse(*millicpus));
        // Only the nodes that are as strong as the last one to be returned need a weight.
        let last = of_zone.get(max_count.saturating_sub(1)).map(|(millicpus, _)| *millicpus);
        let strong = of_zone.into_iter().take_while(|(millicpus, _)| Some(*millicpus) >= last);
        let mut ranked: Vec<_> = strong
            .map(|(millicpus, name)| (millicpus, rendezvous_weight(duty, name.as_str()), name))
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        ranked.truncate(max_count);
        ranked
    }
}
