//! Choice of the nodes that are asked for connections to runners.
#![allow(missing_docs)]

use pitchstall_serving::ids::NodeId;
use pitchstall_serving::tunnel_peers::{PeerOutcome, TunnelPeer, TunnelPeers};
use std::net::SocketAddr;
use test_case::test_case;

const NOW_US: u64 = 50_000_000;
const MS: u64 = 1_000;

/// Ten nodes; the first three are in the zone of the node that asks.
fn known() -> Vec<TunnelPeer> {
    let peer = |number: u16| TunnelPeer {
        node: NodeId::new(format!("node-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        is_in_own_zone: number < 3,
    };
    (0..10).map(peer).collect()
}

fn names(peers: &TunnelPeers, now_us: u64) -> Vec<String> {
    let candidates = peers.candidates(known(), now_us);
    candidates.iter().map(|peer| peer.node.to_string()).collect()
}

#[test]
fn other_zones_are_asked_beside_the_own_one() {
    let candidates = TunnelPeers::default().candidates(known(), NOW_US);
    let own: Vec<bool> = candidates.iter().map(|peer| peer.is_in_own_zone).collect();
    assert_eq!(own, [true, false, false, false, false, false]);
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
