//! Which nodes there are, and which of them read the store for the others.
//!
//! A few nodes of each zone (its mirrors) watch the store; the others follow a mirror, so the
//! calls to the store do not grow with the fleet. Every node finds the same mirrors, as far as
//! it knows the same nodes. Nodes that disagree for a while cost calls and nothing else: a
//! mirror is any node that is asked for its copy.

use crate::ids::{NodeId, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::scheduling::Shard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Mirrors of a zone: one may be lost or cut off without the zone's nodes noticing.
const MIRRORS_A_ZONE: usize = 2;

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
    pub processor: u32,
}

/// All nodes that are known, this one included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: NodeId,
    members: BTreeMap<NodeId, Member>,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(own: NodeId, member: Member) -> Self {
        let members = BTreeMap::from([(own.clone(), member)]);
        Self { own, members }
    }

    /// What this node tells of itself.
    pub fn own(&self) -> &Member {
        &self.members[&self.own]
    }

    /// Takes in what another node tells of itself.
    pub fn learn(&mut self, name: &NodeId, member: &Member) {
        if *name != self.own {
            self.members.insert(name.clone(), member.clone());
        }
    }

    /// Forgets the other nodes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        let own = self.own.clone();
        self.members.retain(|name, _| *name == own || is_kept(name));
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
    pub fn is_mirror(&self) -> bool {
        self.mirrors_of(&self.own().zone).contains(&&self.own)
    }

    /// How many nodes read the store.
    pub fn mirror_count(&self) -> usize {
        self.zones().iter().map(|zone| self.mirrors_of(zone).len()).sum()
    }

    /// Where this node may follow the store, the best first: the mirrors of its own zone, each
    /// node beginning with another one, then those of the other zones.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let own_zone = &self.own().zone;
        let mut zones = self.zones();
        zones.sort_by_key(|zone| (*zone != own_zone, self.weight(zone.as_str())));
        let mut names: Vec<&NodeId> = Vec::new();
        for zone in zones {
            let mut mirrors = self.mirrors_of(zone);
            mirrors.sort_by_key(|name| self.weight(name.as_str()));
            names.extend(mirrors);
        }
        names
            .into_iter()
            .filter(|name| **name != self.own)
            .map(|name| self.members[name].address)
            .collect()
    }

    /// The other nodes that read the store; they also order role changes.
    pub fn mirrors(&self) -> Vec<SocketAddr> {
        let zones = self.zones();
        let names = zones.iter().flat_map(|zone| self.mirrors_of(zone));
        names.filter(|name| **name != self.own).map(|name| self.members[name].address).collect()
    }

    /// All nodes.
    pub fn names(&self) -> impl Iterator<Item = &NodeId> + Clone {
        self.members.keys()
    }

    /// All nodes with what they tell of themselves.
    pub fn all(&self) -> impl Iterator<Item = (&NodeId, &Member)> + Clone {
        self.members.iter()
    }

    /// Some nodes with what they tell of themselves, this one among them.
    pub fn some(&self, most: usize) -> Vec<(NodeId, Member)> {
        let own = (self.own.clone(), self.own().clone());
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        let others = others.map(|(name, member)| (name.clone(), member.clone()));
        std::iter::once(own).chain(others).take(most).collect()
    }

    /// Where the other nodes are reached.
    pub fn others(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(name, _)| **name != self.own);
        others.map(|(_, member)| member.address).collect()
    }

    /// The node that is told what this one is told, so that it outlives this one: one that reads
    /// the store, if there is one of another zone.
    pub fn deputy(&self) -> Option<SocketAddr> {
        let own_zone = &self.own().zone;
        let mut zones = self.zones();
        zones.sort_by_key(|zone| (*zone == own_zone, self.weight(zone.as_str())));
        let mut names = zones.into_iter().flat_map(|zone| self.mirrors_of(zone));
        let name = names.find(|name| **name != self.own)?;
        Some(self.members[name].address)
    }

    /// The scheduler of a shard among the nodes for which `is_up` holds; `None` if it is this
    /// node.
    pub fn scheduler(
        &self,
        shard: Shard,
        is_up: impl Fn(&NodeId) -> bool,
    ) -> Option<(&NodeId, SocketAddr)> {
        let up = self.members.iter().filter(|(name, _)| **name == self.own || is_up(name));
        let best = up.max_by_key(|(name, member)| (member.processor, shard.weight(name)));
        best.filter(|(name, _)| **name != self.own).map(|(name, member)| (name, member.address))
    }

    /// Spreads the nodes over the places that they may choose.
    fn weight(&self, place: &str) -> u64 {
        rendezvous_weight(self.own.as_str(), place)
    }

    fn zones(&self) -> Vec<&ZoneId> {
        let mut zones: Vec<&ZoneId> = self.members.values().map(|member| &member.zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The strongest nodes of a zone; among equals the same ones at every node.
    fn mirrors_of(&self, zone: &ZoneId) -> Vec<&NodeId> {
        let of_zone = self.members.iter().filter(|(_, member)| member.zone == *zone);
        let mut ranked: Vec<_> = of_zone
            .map(|(name, member)| {
                (member.processor, rendezvous_weight("store", name.as_str()), name)
            })
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        ranked.into_iter().take(MIRRORS_A_ZONE).map(|(_, _, name)| name).collect()
    }
}
