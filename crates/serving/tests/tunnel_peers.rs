//! Choice of the nodes that are asked for connections to runners.
#![allow(missing_docs)]

use pitchstall_serving::ids::NodeId;
use pitchstall_serving::tunnel_peers::{PeerOutcome, Proximity, TunnelPeer, TunnelPeers};
use std::net::SocketAddr;
use test_case::test_case;

const NOW_US: u64 = 50_000_000;
const MS: u64 = 1_000;

fn peer(number: u16, proximity: Proximity) -> TunnelPeer {
    TunnelPeer {
        node: NodeId::new(format!("node-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        proximity,
    }
}

/// Twelve nodes: four in the zone of the node that asks, four in other zones of its region, four in other regions.
fn known() -> Vec<TunnelPeer> {
    let proximity = |number: u16| match number {
        0..4 => Proximity::SameZone,
        4..8 => Proximity::SameRegion,
        _ => Proximity::OtherRegion,
    };
    (0..12).map(|number| peer(number, proximity(number))).collect()
}

fn names(peers: &TunnelPeers, now_us: u64) -> Vec<String> {
    let candidates = peers.candidates(known(), now_us);
    candidates.iter().map(|peer| peer.node.to_string()).collect()
}

#[test]
fn other_zones_and_regions_are_asked_beside_the_own_ones() {
    let candidates = TunnelPeers::default().candidates(known(), NOW_US);
    let proximities: Vec<Proximity> = candidates.iter().map(|peer| peer.proximity).collect();
    let [zone, region, other] =
        [Proximity::SameZone, Proximity::SameRegion, Proximity::OtherRegion];
    assert_eq!(proximities[..6], [zone, region, region, region, other, other]);
}

#[test]
fn all_nodes_of_the_own_zone_are_asked_if_there_are_no_others() {
    let known = (0..4).map(|number| peer(number, Proximity::SameZone)).collect();
    assert_eq!(TunnelPeers::default().candidates(known, NOW_US).len(), 4);
}

#[test]
fn a_node_that_has_opened_a_connection_is_asked_first_for_a_while() {
    let mut peers = TunnelPeers::default();
    let proven = NodeId::new("node-7");
    peers.on_outcome(&proven, PeerOutcome::Opened, NOW_US);
    assert_eq!(names(&peers, NOW_US + 9_999 * MS)[0], "node-7");
    assert!(peers.is_proven(&proven, NOW_US + 9_999 * MS));
    assert!(!peers.is_proven(&proven, NOW_US + 10_000 * MS));
}

#[test_case(PeerOutcome::CutOff, 500; "it reaches no runner itself")]
#[test_case(PeerOutcome::Unavailable, 1_000; "it does not reply")]
fn a_node_that_cannot_help_is_not_asked_for_a_while(outcome: PeerOutcome, avoided_ms: u64) {
    let mut peers = TunnelPeers::default();
    let node = NodeId::new("node-0");
    peers.on_outcome(&node, PeerOutcome::Opened, NOW_US);
    peers.on_outcome(&node, outcome, NOW_US);
    let is_asked = |at_us: u64| names(&peers, at_us).contains(&"node-0".to_owned());
    assert!(!is_asked(NOW_US + (avoided_ms - 1) * MS));
    assert!(is_asked(NOW_US + avoided_ms * MS));
}

#[test]
fn a_node_that_cannot_reach_one_runner_is_asked_for_others() {
    let mut peers = TunnelPeers::default();
    let node = NodeId::new("node-0");
    peers.on_outcome(&node, PeerOutcome::Opened, NOW_US);
    peers.on_outcome(&node, PeerOutcome::RunnerUnreachable, NOW_US);
    assert_eq!(names(&peers, NOW_US)[0], "node-0");
}

#[test]
fn more_nodes_are_asked_before_a_runner_counts_as_terminated() {
    assert!(TunnelPeers::is_another_asked(5, false));
    assert!(!TunnelPeers::is_another_asked(6, false));
    assert!(TunnelPeers::is_another_asked(11, true));
    assert!(!TunnelPeers::is_another_asked(12, true));
}
