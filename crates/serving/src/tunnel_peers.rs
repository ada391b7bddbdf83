//! Which nodes are asked for a connection to a runner that this node cannot reach itself.
//!
//! A node that has recently opened such a connection is asked first. Otherwise one node of the own zone, where a
//! connection is short, and nodes of other zones and regions, since a whole zone or region may be cut off.
//!
//! Times are in microseconds of the node's clock.

use crate::ids::NodeId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of nodes that are asked for one connection.
const MAX_ASKED: usize = 6;
/// Maximum number of nodes that are asked before their refused connections count as proof that a runner has terminated.
/// All of them may have lost their links in the same way.
const MAX_WITNESSES: usize = 12;
/// Maximum number of them in the own zone and in other zones of the region, as long as there are others.
const MAX_IN_OWN_ZONE: usize = 1;
const MAX_IN_OWN_REGION: usize = 3;
/// Age up to which a success makes a node preferred.
const PROVEN_US: u64 = 10_000_000;
/// Time for which a node is not asked after it has not replied, or has declined.
const SILENT_AVOIDANCE_US: u64 = 1_000_000;
/// Time for which a node is not asked after it has reported that it reaches no runners either.
const CUT_OFF_AVOIDANCE_US: u64 = 500_000;

/// How a node has replied to a request for a connection to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerOutcome {
    /// It has opened the connection.
    Opened,
    /// It reaches other runners, but not this one.
    RunnerUnreachable,
    /// It does not reach the runner, and is not known to reach any.
    CutOff,
    /// It did not reply in time, or opens no further connections.
    Unavailable,
}

/// How far another node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// It is in the same zone.
    SameZone,
    /// It is in another zone of the same region.
    SameRegion,
    /// It is in another region.
    OtherRegion,
}

/// A node that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Identifier of the node.
    pub node: NodeId,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// How far it is from the node that asks.
    pub proximity: Proximity,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    opened_at_us: Option<u64>,
    avoided_until_us: u64,
}

/// What one node knows of the others' ability to open connections to runners.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    records: HashMap<NodeId, Record>,
}

impl TunnelPeers {
    /// Records how a node has replied.
    pub fn on_outcome(&mut self, node: &NodeId, outcome: PeerOutcome, now_us: u64) {
        let record = self.records.entry(node.clone()).or_default();
        match outcome {
            PeerOutcome::Opened => {
                *record = Record { opened_at_us: Some(now_us), avoided_until_us: 0 }
            }
            PeerOutcome::RunnerUnreachable => {}
            PeerOutcome::CutOff => {
                *record =
                    Record { opened_at_us: None, avoided_until_us: now_us + CUT_OFF_AVOIDANCE_US }
            }
            PeerOutcome::Unavailable => {
                *record =
                    Record { opened_at_us: None, avoided_until_us: now_us + SILENT_AVOIDANCE_US }
            }
        }
    }

    /// Whether a node has recently opened a connection.
    pub fn is_proven(&self, node: &NodeId, now_us: u64) -> bool {
        let opened_at_us = self.records.get(node).and_then(|record| record.opened_at_us);
        opened_at_us.is_some_and(|opened_at_us| now_us < opened_at_us + PROVEN_US)
    }

    /// Whether another node is asked after `asked` nodes, none of which has opened a connection. `are_all_refused`: whether
    /// all of them were refused, which takes more of them to be believed.
    pub fn is_another_asked(asked: usize, are_all_refused: bool) -> bool {
        asked < if are_all_refused { MAX_WITNESSES } else { MAX_ASKED }
    }

    /// The nodes to ask, in order. `known` lists the other nodes in random order, so that the load spreads.
    pub fn candidates(&self, known: Vec<TunnelPeer>, now_us: u64) -> Vec<TunnelPeer> {
        let is_avoided = |peer: &TunnelPeer| {
            self.records.get(&peer.node).is_some_and(|record| now_us < record.avoided_until_us)
        };
        let mut usable: Vec<TunnelPeer> =
            known.into_iter().filter(|peer| !is_avoided(peer)).collect();
        usable.sort_by_key(|peer| peer.proximity);
        let (proven, others): (Vec<TunnelPeer>, Vec<TunnelPeer>) =
            usable.into_iter().partition(|peer| self.is_proven(&peer.node, now_us));
        proven.into_iter().chain(spread(others)).take(MAX_WITNESSES).collect()
    }
}

/// Puts a few nodes of each proximity first, the near ones before the far ones, and then the rest. `peers` is sorted by
/// proximity.
fn spread(peers: Vec<TunnelPeer>) -> Vec<TunnelPeer> {
    let max_of = |proximity: Proximity| match proximity {
        Proximity::SameZone => MAX_IN_OWN_ZONE,
        Proximity::SameRegion => MAX_IN_OWN_REGION,
        Proximity::OtherRegion => MAX_WITNESSES,
    };
    let mut first = Vec::new();
    let mut rest = Vec::new();
    for peer in peers {
        let taken = first.iter().filter(|it: &&TunnelPeer| it.proximity == peer.proximity).count();
        if taken < max_of(peer.proximity) {
            first.push(peer);
        } else {
            rest.push(peer);
        }
    }
    first.extend(rest);
    first
}
