//! Which nodes read the store, and which of them the others follow.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{NodeId, RegionId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::topology::Topology;
use std::cell::Cell;
use std::net::SocketAddr;
use test_case::test_case;

const STRONG_MILLICPUS: u32 = 500;
const WEAK_MILLICPUS: u32 = 120;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

/// Nodes spread over the zones in turn; of every twenty, the first `zones` nodes are strong.
fn fleet(nodes: usize, zones: usize) -> Vec<(NodeId, Member)> {
    let member = |number: usize| Member {
        address: address(number),
        zone: ZoneId::new(format!("zone-{}", number % zones)),
        millicpus: if number % 20 < zones { STRONG_MILLICPUS } else { WEAK_MILLICPUS },
    };
    (0..nodes).map(|number| (NodeId::new(format!("node-{number}")), member(number))).collect()
}

/// The view of one node; all zones belong to one region.
fn view_of(number: usize, all: &[(NodeId, Member)]) -> Membership {
    let zones = all.iter().map(|(_, member)| (member.zone.clone(), RegionId::new("coast")));
    let topology = Topology::new(zones);
    let (name, member) = &all[number];
    let mut membership = Membership::new(name.clone(), member.clone(), topology);
    all.iter().for_each(|(name, member)| membership.upsert(name, member));
    membership
}

#[test_case(7, 3, 6)]
#[test_case(66, 3, 6)]
#[test_case(295, 5, 10)]
#[test_case(330, 31, 62)]
fn each_zone_has_two_store_readers(nodes: usize, zones: usize, expected: usize) {
    let all = fleet(nodes, zones);
    let views: Vec<Membership> = (0..nodes).map(|number| view_of(number, &all)).collect();
    assert_eq!(views.iter().filter(|view| view.is_store_reader()).count(), expected);
    assert!(views.iter().all(|view| view.store_reader_count() == expected));
}

/// Guards against a search for a scheduler that examines all nodes of a fleet: each node makes it
/// for each shard several times a second.
#[test]
fn only_the_strongest_nodes_are_examined_as_schedulers() {
    const NODES: usize = 985;
    let all = fleet(NODES, 5);
    let strong = all.iter().filter(|(_, member)| member.millicpus == STRONG_MILLICPUS).count();
    let weak = all.iter().position(|(_, member)| member.millicpus == WEAK_MILLICPUS).unwrap();
    let view = view_of(weak, &all);
    let examined = Cell::new(0);
    let is_present = |_: &NodeId| {
        examined.set(examined.get() + 1);
        true
    };
    for shard in view.shards_of(RegionId::new("coast")) {
        let expected = view.schedulers_by_rank(&shard)[0];
        examined.set(0);
        assert_eq!(view.scheduler(&shard, is_present), Some(expected));
        assert!(examined.get() <= strong, "{} nodes", examined.get());
        examined.set(0);
        assert_eq!(view.scheduler_rank_of(view.own_name(), &shard, 4, is_present), 4);
        assert_eq!(examined.get(), 4);
    }
}

#[test]
fn store_readers_are_the_strong_nodes() {
    let all = fleet(295, 5);
    for number in 0..all.len() {
        let view = view_of(number, &all);
        assert!(
            !view.is_store_reader() || view.own().millicpus == STRONG_MILLICPUS,
            "node {number}"
        );
    }
}

#[test]
fn a_node_prefers_the_store_readers_of_its_own_zone() {
    let all = fleet(295, 5);
    let view = view_of(293, &all);
    let sources = view.sources();
    assert_eq!(sources.len(), 10);
    let zone_of = |address: &SocketAddr| {
        all.iter().find(|(_, member)| member.address == *address).unwrap().1.zone.clone()
    };
    assert_eq!(zone_of(&sources[0]), view.own().zone);
    assert_eq!(zone_of(&sources[1]), view.own().zone);
    assert_ne!(zone_of(&sources[2]), view.own().zone);
}

/// Otherwise one node's link would carry the configuration to its whole zone.
#[test]
fn followers_spread_over_the_store_readers() {
    let all = fleet(295, 5);
    let of_zone = (0..all.len()).filter(|number| number % 5 == 2);
    let followers =
        of_zone.map(|number| view_of(number, &all)).filter(|view| !view.is_store_reader());
    let first: Vec<SocketAddr> = followers.map(|view| view.sources()[0]).collect();
    let max_followers =
        first.iter().map(|it| first.iter().filter(|other| *other == it).count()).max();
    assert!(max_followers.unwrap() * 10 < first.len() * 8, "{max_followers:?} of {}", first.len());
}

#[test]
fn a_node_without_peers_reads_the_store() {
    let all = fleet(1, 1);
    let view = view_of(0, &all);
    assert!(view.is_store_reader());
    assert!(view.sources().is_empty());
}

#[test]
fn removed_nodes_are_not_followed() {
    let all = fleet(66, 3);
    let mut view = view_of(0, &all);
    view.retain(|_| false);
    assert_eq!(view.len(), 1);
    assert!(view.is_store_reader());
}
