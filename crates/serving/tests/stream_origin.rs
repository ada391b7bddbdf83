//! What nodes keep of the software versions at which streams began.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Fleet, MAX_STREAM_AGE_US};
use pitchstall_serving::ids::{
    NodeId, RegionId, RunnerId, ServiceName, SoftwareVersion, StreamId, ZoneId,
};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::stream_origin::{StreamOrigin, StreamOrigins};
use pitchstall_serving::topology::Topology;
use std::net::SocketAddr;
use support::{at, runner_record};

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: ServiceName::new("llm"), version: SoftwareVersion::new(version) }
}

#[test]
fn an_id_of_two_streams_of_different_versions_is_not_known() {
    let (mut origins, stream) = (StreamOrigins::default(), StreamId::new("id"));
    origins.record(stream.clone(), origin("v1"), 1);
    origins.record(stream.clone(), origin("v1"), 2);
    assert_eq!(origins.find(&stream, 3), Some(&origin("v1")));
    assert!(!origins.is_ambiguous(&stream, 3));
    origins.record(stream.clone(), origin("v2"), 4);
    assert_eq!(origins.find(&stream, 5), None);
    assert!(origins.is_ambiguous(&stream, 5));
}

#[test]
fn streams_are_forgotten_after_a_while_and_their_number_is_bounded() {
    const MANY: usize = 20_000;
    let mut origins = StreamOrigins::default();
    let stream = |number: usize| StreamId::new(format!("id-{number}"));
    (0..MANY).for_each(|number| origins.record(stream(number), origin("v1"), 1));
    let service = ServiceName::new("llm");
    assert!(origins.of_service(&service, 2).count() < MANY / 2);
    assert_eq!(origins.find(&stream(0), 2), None);
    assert!(origins.find(&stream(MANY - 1), MAX_STREAM_AGE_US).is_some());
    assert_eq!(origins.find(&stream(MANY - 1), MAX_STREAM_AGE_US + 1), None);
}

#[test]
fn a_long_id_is_replaced_by_a_digest_of_bounded_length() {
    let [one, other] = ["a", "b"].map(|end| StreamId::of_request(&("x".repeat(4_000) + end)));
    assert_ne!(one, other);
    assert_eq!(one.as_str().len(), 64);
    assert_eq!(StreamId::of_request("short").as_str(), "short");
}

fn record(name: &str, version: &str, revision: u64) -> RunnerRecord {
    RunnerRecord {
        version: SoftwareVersion::new(version),
        revision: at(revision),
        ..runner_record(RunnerId::new(name))
    }
}

#[test]
fn a_version_counts_for_a_while_after_its_last_runner_has_left() {
    let mut fleet = Fleet::default();
    let service = record("a", "v1", 1).service;
    fleet.put(record("a", "v1", 1));
    assert!(!fleet.has_several_versions(&service, 10));
    fleet.put(record("b", "v2", 2));
    assert!(fleet.has_several_versions(&service, 20));
    fleet.remove(&RunnerId::new("a"), at(3), None);
    assert!(fleet.has_several_versions(&service, 30));
    assert!(fleet.has_several_versions(&service, 30 + MAX_STREAM_AGE_US - 1));
    assert!(!fleet.has_several_versions(&service, 30 + MAX_STREAM_AGE_US));
}

#[test]
fn an_entry_whose_version_changes_counts_for_the_new_one() {
    let mut fleet = Fleet::default();
    fleet.put(record("a", "v1", 1));
    fleet.put(record("a", "v2", 2));
    let versions: Vec<_> =
        fleet.versions().runners_by_version().map(|it| (it.1.as_str(), it.2)).collect();
    assert_eq!(versions, [("v2", 1)]);
}

/// Nodes in two zones, as the node with this name sees them.
fn members(own: &str) -> Membership {
    const NODES: u8 = 8;
    let member = |number: u8| Member {
        address: SocketAddr::from(([10, 0, 0, number], 1)),
        zone: ZoneId::new(if number.is_multiple_of(2) { "north" } else { "south" }),
        millicpus: 250,
    };
    let number = own.trim_start_matches("node-").parse().unwrap();
    let zones = ["north", "south"].map(|zone| (ZoneId::new(zone), RegionId::new("region")));
    let topology = Topology::new(zones);
    let mut members = Membership::new(NodeId::new(own), member(number), topology);
    (0..NODES).for_each(|it| members.upsert(&NodeId::new(format!("node-{it}")), &member(it)));
    members
}

#[test]
fn all_nodes_find_the_same_keepers_of_a_stream_in_different_zones() {
    const KEEPERS: usize = 3;
    let (one, other) = (members("node-0"), members("node-1"));
    let region = one.own_region();
    for number in 0..50 {
        let stream = StreamId::new(format!("id-{number}"));
        let of_one = one.stream_keepers(&stream, &region, KEEPERS, |_| true);
        let of_other = other.stream_keepers(&stream, &region, KEEPERS, |_| true);
        // A node is not among the keepers that it tells; it knows its own streams.
        let is_third =
            |it: &&(&ZoneId, SocketAddr)| it.1 != one.own().address && it.1 != other.own().address;
        let of_one_third: Vec<_> = of_one.iter().filter(is_third).collect();
        let of_other_third: Vec<_> = of_other.iter().filter(is_third).collect();
        assert_eq!(of_one_third, of_other_third);
        let zones: std::collections::BTreeSet<_> = of_one.iter().map(|it| it.0).collect();
        assert!(zones.len() == 2 || of_one.len() < KEEPERS);
    }
}
