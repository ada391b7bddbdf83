//! Who is there, from three sources: the platform's list, which lags; each node's own word;
//! and silence. A node or engine that any of them names as leaving gets no new work.

use crate::detector::{Detector, DetectorConfig};
use crate::time::Timestamp;
use pitchstall_protocol::ids::{EngineId, Incarnation, NodeId, Revision, ZoneId};
use pitchstall_protocol::membership::{EngineMember, MemberState, MembershipList, NodeMember};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings of the view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembersConfig {
    /// Time between heartbeats.
    pub heartbeat_every: Duration,
    /// The detector.
    pub detector: DetectorConfig,
    /// Whether a node is suspected only if every node heard lately suspects it too: the
    /// gossiped minimum of the paper cited in [`crate::detector`].
    pub gossip_minimum: bool,
}

impl Default for MembersConfig {
    fn default() -> Self {
        Self {
            heartbeat_every: Duration::from_millis(500),
            detector: DetectorConfig::default(),
            gossip_minimum: false,
        }
    }
}

/// What is known of another node of the zone.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its entry in the list.
    pub member: NodeMember,
    /// Its start, as last heard.
    pub incarnation: Option<Incarnation>,
    /// The revision it said it applies.
    pub revision: Revision,
    /// Whether it said that it is leaving.
    pub said_leaving: bool,
    /// Its latest clock reading, to be echoed.
    pub clock_us: Option<u64>,
    /// Whom it suspects.
    suspects: BTreeSet<NodeId>,
    detector: Detector,
    heard: bool,
}

/// One node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Members {
    config: MembersConfig,
    own: NodeId,
    own_zone: ZoneId,
    version: u64,
    peers: BTreeMap<NodeId, Peer>,
    remote: BTreeMap<ZoneId, Vec<NodeMember>>,
    zone_engines: BTreeMap<EngineId, EngineMember>,
    other_engines: BTreeMap<EngineId, EngineMember>,
}

/// What a heartbeat says of its sender.
#[derive(Clone, Debug)]
pub struct PeerWord {
    /// The sender's start.
    pub incarnation: Incarnation,
    /// The revision it applies.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its clock at sending, microseconds.
    pub sent_at_us: u64,
    /// Whom it suspects.
    pub suspects: BTreeSet<NodeId>,
}

impl Members {
    /// An empty view.
    pub fn new(config: MembersConfig, own: NodeId, own_zone: ZoneId) -> Self {
        Self {
            config,
            own,
            own_zone,
            version: 0,
            peers: BTreeMap::new(),
            remote: BTreeMap::new(),
            zone_engines: BTreeMap::new(),
            other_engines: BTreeMap::new(),
        }
    }

    /// The version of the list seen last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes the platform's list. An older version is ignored.
    pub fn on_list(&mut self, now: Timestamp, list: MembershipList) {
        if list.version <= self.version {
            return;
        }
        self.version = list.version;
        // Work on each heartbeat goes over the zone's engines: it must not grow with the fleet.
        let own_zone = &self.own_zone;
        (self.zone_engines, self.other_engines) = list
            .engines
            .into_iter()
            .map(|it| (it.engine.clone(), it))
            .partition(|(_, it)| it.zone == *own_zone);
        let mut previous = std::mem::take(&mut self.peers);
        self.remote.clear();
        for member in list.nodes {
            if member.zone != self.own_zone {
                self.remote.entry(member.zone.clone()).or_default().push(member);
            } else if member.node != self.own {
                let peer = match previous.remove(&member.node) {
                    Some(known) => Peer { member: member.clone(), ..known },
                    None => self.new_peer(now, member.clone()),
                };
                self.peers.insert(member.node, peer);
            }
        }
    }

    fn new_peer(&self, now: Timestamp, member: NodeMember) -> Peer {
        Peer {
            member,
            incarnation: None,
            revision: Revision(0),
            said_leaving: false,
            clock_us: None,
            suspects: BTreeSet::new(),
            detector: Detector::new(self.config.detector, now, self.config.heartbeat_every),
            heard: false,
        }
    }

    /// Takes a heartbeat of a node of the zone. Unknown nodes are ignored until listed.
    pub fn on_heartbeat(&mut self, now: Timestamp, from: &NodeId, word: PeerWord) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        // A message of an earlier start, late.
        if peer.incarnation.is_some_and(|known| known > word.incarnation) {
            return;
        }
        if peer.incarnation != Some(word.incarnation) {
            peer.incarnation = Some(word.incarnation);
            peer.clock_us = None;
            peer.revision = Revision(0);
            peer.said_leaving = false;
        }
        peer.detector.heartbeat(now);
        peer.heard = true;
        // A message that was overtaken must not take back a later word.
        if peer.clock_us.is_some_and(|known| known > word.sent_at_us) {
            return;
        }
        peer.clock_us = Some(word.sent_at_us);
        peer.revision = peer.revision.max(word.revision);
        peer.said_leaving |= word.leaving;
        peer.suspects = word.suspects;
    }

    /// Whether a node of the zone is suspected.
    pub fn suspects(&self, now: Timestamp, node: &NodeId) -> bool {
        let Some(peer) = self.peers.get(node) else {
            return true;
        };
        if !peer.detector.suspects(now) {
            return false;
        }
        if !self.config.gossip_minimum {
            return true;
        }
        self.peers
            .iter()
            .filter(|(other, _)| *other != node)
            .filter(|(_, other)| other.heard && !other.detector.suspects(now))
            .all(|(_, other)| other.suspects.contains(node))
    }

    /// Nodes whose own detector here suspects them, to be told to others.
    pub fn locally_suspected(&self, now: Timestamp) -> Vec<NodeId> {
        let silent = self.peers.iter().filter(|(_, peer)| peer.detector.suspects(now));
        silent.map(|(node, _)| node.clone()).collect()
    }

    /// How long nothing was heard of a node of the zone; `None`: never anything.
    pub fn silent_for(&self, now: Timestamp, node: &NodeId) -> Option<Duration> {
        let peer = self.peers.get(node).filter(|peer| peer.heard)?;
        Some(now.since(peer.detector.last_heard()))
    }

    /// Whether a node of the zone may be given new work.
    pub fn takes_work(&self, now: Timestamp, node: &NodeId) -> bool {
        let Some(peer) = self.peers.get(node) else {
            return false;
        };
        peer.member.state == MemberState::Live && !peer.said_leaving && !self.suspects(now, node)
    }

    /// Other nodes of the zone, as listed.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        self.peers.iter()
    }

    /// A node of the zone, as listed.
    pub fn peer(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Nodes of the zone that are live in this node's eyes, itself included, in order.
    pub fn live_in_zone(&self, now: Timestamp) -> BTreeSet<NodeId> {
        let live = self.peers.keys().filter(|node| self.takes_work(now, node));
        live.cloned().chain(std::iter::once(self.own.clone())).collect()
    }

    /// Zones other than the own, with their listed nodes.
    pub fn remote_zones(&self) -> impl Iterator<Item = (&ZoneId, &[NodeMember])> {
        self.remote.iter().map(|(zone, nodes)| (zone, nodes.as_slice()))
    }

    /// The listed nodes of another zone.
    pub fn remote_nodes(&self, zone: &ZoneId) -> &[NodeMember] {
        self.remote.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The listed engines of the own zone.
    pub fn zone_engines(&self) -> impl Iterator<Item = &EngineMember> {
        self.zone_engines.values()
    }

    /// Engines of the own zone that are known to be leaving.
    pub fn leaving_engines(&self) -> impl Iterator<Item = &EngineId> {
        let leaving = self.zone_engines().filter(|member| member.state == MemberState::Leaving);
        leaving.map(|member| &member.engine)
    }

    /// Another node saw an engine listed as leaving. That is never taken back: an engine that
    /// stays after all comes back under another name.
    pub fn on_engine_leaving(&mut self, engine: &EngineId) {
        if let Some(member) = self.zone_engines.get_mut(engine) {
            member.state = MemberState::Leaving;
        }
    }

    /// A listed engine.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineMember> {
        self.zone_engines.get(engine).or_else(|| self.other_engines.get(engine))
    }

    /// The address of any listed node.
    pub fn peer_address(&self, node: &NodeId) -> Option<&str> {
        if let Some(peer) = self.peers.get(node) {
            return Some(&peer.member.peer_address);
        }
        let mut remote = self.remote.values().flatten();
        remote.find(|member| member.node == *node).map(|member| member.peer_address.as_str())
    }
}
