//! Nodes in virtual time that stop by plan and start again, while streams of two versions are of interest.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::fleet::MAX_STREAM_AGE_US;
use pitchstall_serving::ids::{NodeId, RegionId, ServiceName, SoftwareVersion, StreamId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::stream_origin::{StreamOrigin, StreamOriginMessage, StreamOrigins};
use pitchstall_serving::stream_origin_handover::{OriginHandover, STREAM_KEEPERS};
use pitchstall_serving::topology::Topology;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use test_case::test_case;

const STEP_US: u64 = 50_000;
/// Time from a node's planned stop until its process ends, microseconds.
const STOP_US: u64 = 300_000;
/// Time from the end of a node's process until the next one begins, microseconds.
const DOWN_US: u64 = 300_000;
/// Time that nodes have for settling before and after all restarts, microseconds.
const CALM_US: u64 = 4_000_000;
const ZONES: usize = 3;
const STREAMS_PER_NODE: usize = 3;
const KEEPERS_QUERIED: usize = 4;

fn name(number: usize) -> NodeId {
    NodeId::new(format!("node-{number}"))
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 1))
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{}", number % ZONES))
}

fn stream(number: usize) -> StreamId {
    StreamId::new(format!("{number:032x}"))
}

fn origin(number: usize) -> StreamOrigin {
    let version = SoftwareVersion::new(format!("v{}", number % 2));
    StreamOrigin { service: ServiceName::new("llm"), version }
}

/// One life of a node.
struct Node {
    started_us: u64,
    members: Membership,
    /// The nodes that have announced a planned stop, this one included.
    stopping: BTreeSet<NodeId>,
    origins: StreamOrigins,
    handover: OriginHandover,
}

impl Node {
    fn start(number: usize, nodes: usize, started_us: u64) -> Self {
        let member =
            |number| Member { address: address(number), zone: zone(number), millicpus: 250 };
        let zones = (0..ZONES).map(|it| (zone(it), RegionId::new("region")));
        let mut members = Membership::new(name(number), member(number), Topology::new(zones));
        (0..nodes).for_each(|it| members.upsert(&name(it), &member(it)));
        let (origins, handover) = (StreamOrigins::default(), OriginHandover::default());
        Self { started_us, members, stopping: BTreeSet::new(), origins, handover }
    }

    fn keepers(&self, stream: &StreamId, count: usize) -> Vec<SocketAddr> {
        let is_present = |name: &NodeId| !self.stopping.contains(name);
        let region = self.members.own_region();
        let keepers = self.members.stream_keepers(stream, &region, count, is_present);
        keepers.into_iter().map(|it| it.1).collect()
    }

    fn present_nodes(&self) -> BTreeMap<NodeId, SocketAddr> {
        let others = self.members.all().filter(|(it, _)| *it != self.members.own_name());
        let present = others.filter(|(it, _)| !self.stopping.contains(*it));
        present.map(|(name, member)| (name.clone(), member.address)).collect()
    }

    /// Begins a stream and returns the keepers that are told.
    fn begin(&mut self, message: StreamOriginMessage, now_us: u64) -> Vec<SocketAddr> {
        let keepers = self.keepers(&message.stream, STREAM_KEEPERS);
        self.handover.on_told(message.stream.clone(), keepers.clone());
        self.origins.record_message(message, now_us - self.started_us);
        keepers
    }

    fn receive(&mut self, message: StreamOriginMessage, now_us: u64) {
        let keepers = self.keepers(&message.stream, STREAM_KEEPERS);
        self.handover.on_heard(message.stream.clone(), keepers);
        self.origins.record_message(message, now_us - self.started_us);
    }

    /// What the node sends in a step.
    fn step(&mut self, now_us: u64) -> Vec<(SocketAddr, Vec<StreamOriginMessage>)> {
        let age_us = now_us - self.started_us;
        self.handover.observe_nodes(self.present_nodes(), age_us);
        let mut handover = std::mem::take(&mut self.handover);
        let untold = handover.check_next(|stream| self.keepers(stream, STREAM_KEEPERS));
        self.handover = handover;
        let told = |stream: &StreamId| self.origins.messages(stream, age_us);
        let messages = |streams: Vec<StreamId>| streams.iter().flat_map(told).collect();
        untold.into_iter().map(|(keeper, streams)| (keeper, messages(streams))).collect()
    }
}

enum Message {
    Streams(Vec<StreamOriginMessage>),
    Started(NodeId),
    Stopping(NodeId),
}

/// Nodes that exchange messages, each of which arrives one step later.
struct World {
    now_us: u64,
    nodes: Vec<Option<Node>>,
    in_flight: Vec<(SocketAddr, Message)>,
    /// Number of reports of a stream to a node that were sent because of stops and starts.
    reports: usize,
    /// The most reports that one node was sent in one step.
    max_reports_per_step: usize,
}

impl World {
    fn start(count: usize) -> Self {
        let nodes = (0..count).map(|number| Some(Node::start(number, count, 0))).collect();
        let mut world =
            Self { now_us: 0, nodes, in_flight: Vec::new(), reports: 0, max_reports_per_step: 0 };
        world.pass(CALM_US);
        world
    }

    fn pass(&mut self, time_us: u64) {
        let until_us = self.now_us + time_us;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            self.deliver();
            self.step();
        }
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        for (to, message) in std::mem::take(&mut self.in_flight) {
            let mut nodes = self.nodes.iter_mut().flatten();
            let Some(node) = nodes.find(|it| it.members.own().address == to) else { continue };
            match message {
                Message::Streams(messages) => {
                    messages.into_iter().for_each(|it| node.receive(it, now_us));
                }
                Message::Stopping(name) => drop(node.stopping.insert(name)),
                Message::Started(name) => {
                    node.stopping.remove(&name);
                    let started = node.members.all().find(|it| *it.0 == name).unwrap().1.address;
                    node.handover.on_node_started(started, now_us - node.started_us);
                }
            }
        }
    }

    fn step(&mut self) {
        let now_us = self.now_us;
        let sent: Vec<_> = self.nodes.iter_mut().flatten().flat_map(|it| it.step(now_us)).collect();
        let mut by_receiver: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for (keeper, messages) in sent {
            self.reports += messages.len();
            *by_receiver.entry(keeper).or_default() += messages.len();
            self.in_flight.push((keeper, Message::Streams(messages)));
        }
        let max = by_receiver.into_values().max().unwrap_or_default();
        self.max_reports_per_step = self.max_reports_per_step.max(max);
    }

    fn announce(&mut self, number: usize, message: fn(NodeId) -> Message) {
        let others = (0..self.nodes.len()).filter(|other| *other != number);
        self.in_flight.extend(others.map(|other| (address(other), message(name(number)))));
    }

    fn begin_streams(&mut self) {
        for number in 0..self.stream_count() {
            let message =
                StreamOriginMessage { stream: stream(number), origin: origin(number), age_ms: 0 };
            let count = self.nodes.len();
            let node = self.nodes[number % count].as_mut().unwrap();
            for keeper in node.begin(message.clone(), self.now_us) {
                self.in_flight.push((keeper, Message::Streams(vec![message.clone()])));
            }
        }
        self.pass(STEP_US);
    }

    fn stream_count(&self) -> usize {
        self.nodes.len() * STREAMS_PER_NODE
    }

    /// Stops nodes by plan at the same time, and starts them again.
    fn restart(&mut self, numbers: &[usize]) {
        for number in numbers {
            let node = self.nodes[*number].as_mut().unwrap();
            node.stopping.insert(name(*number));
            node.handover.begin_stop();
            self.announce(*number, Message::Stopping);
        }
        self.pass(STOP_US);
        numbers.iter().for_each(|number| self.nodes[*number] = None);
        self.pass(DOWN_US);
        for number in numbers {
            self.nodes[*number] = Some(Node::start(*number, self.nodes.len(), self.now_us));
            self.announce(*number, Message::Started);
        }
    }

    /// Ends a node without a planned stop, and starts it again.
    fn kill(&mut self, number: usize) {
        self.nodes[number] = None;
        self.pass(DOWN_US);
        self.nodes[number] = Some(Node::start(number, self.nodes.len(), self.now_us));
        self.announce(number, Message::Started);
    }

    /// Number of streams that go on at the node after the one that began them, as its keepers know them.
    fn continued_streams(&self) -> usize {
        (0..self.stream_count()).filter(|number| self.goes_on(*number)).count()
    }

    fn goes_on(&self, number: usize) -> bool {
        let asking = self.nodes[(number + 1) % self.nodes.len()].as_ref().unwrap();
        let asked = asking.keepers(&stream(number), KEEPERS_QUERIED);
        let is_asked = |it: &&Node| asked.contains(&it.members.own().address);
        let keepers = self.nodes.iter().flatten().filter(is_asked);
        let mut known = std::iter::once(asking)
            .chain(keepers)
            .filter_map(|it| it.origins.find(&stream(number), self.now_us - it.started_us));
        known.next() == Some(&origin(number))
    }
}

#[derive(Clone, Copy)]
enum Order {
    Ascending,
    Descending,
    ByZone,
}

impl Order {
    fn of(self, nodes: usize) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..nodes).collect();
        match self {
            Self::Ascending => {}
            Self::Descending => numbers.reverse(),
            Self::ByZone => numbers.sort_by_key(|number| zone(*number)),
        }
        numbers
    }
}

/// The share of streams that go on, as new ones do, is to be 0.95.
fn assert_streams_go_on(world: &World, what: &str) {
    let (continued, streams) = (world.continued_streams(), world.stream_count());
    let (reports, peak) = (world.reports, world.max_reports_per_step);
    println!(
        "{what}: {continued} of {streams} streams go on; {reports} reports, at most {peak} to a node in a step"
    );
    assert!(continued * 100 >= streams * 95, "{continued} of {streams} streams go on");
}

#[test_case(7, Order::Ascending, 200; "of 7 nodes in ascending order 200 ms apart")]
#[test_case(7, Order::Descending, 600; "of 7 nodes in descending order 600 ms apart")]
#[test_case(7, Order::ByZone, 2_500; "of 7 nodes by zone 2500 ms apart")]
#[test_case(60, Order::Ascending, 200; "of 60 nodes in ascending order 200 ms apart")]
#[test_case(60, Order::Descending, 200; "of 60 nodes in descending order 200 ms apart")]
#[test_case(60, Order::ByZone, 200; "of 60 nodes by zone 200 ms apart")]
fn streams_are_not_forgotten_over_a_rolling_restart(nodes: usize, order: Order, gap_ms: u64) {
    let mut world = World::start(nodes);
    world.begin_streams();
    for number in order.of(nodes) {
        world.restart(&[number]);
        world.pass(gap_ms * 1_000);
    }
    world.pass(CALM_US);
    assert!(world.now_us < CALM_US + MAX_STREAM_AGE_US, "the streams have expired");
    assert_streams_go_on(&world, "rolling restart");
}

#[test_case(7; "of 7 nodes")]
#[test_case(60; "of 60 nodes")]
fn streams_are_not_forgotten_when_one_zone_after_the_other_is_restarted(nodes: usize) {
    let mut world = World::start(nodes);
    world.begin_streams();
    for restarted in 0..ZONES {
        let of_zone: Vec<usize> = (0..nodes).filter(|number| number % ZONES == restarted).collect();
        world.restart(&of_zone);
        assert_streams_go_on(&world, "zone restarted");
        world.pass(CALM_US);
    }
    assert_streams_go_on(&world, "all zones restarted");
}

#[test]
fn streams_are_not_forgotten_when_nodes_are_killed_one_after_the_other() {
    let mut world = World::start(7);
    world.begin_streams();
    for number in 0..world.nodes.len() {
        world.kill(number);
        world.pass(CALM_US);
    }
    assert_streams_go_on(&world, "nodes killed");
}

#[test]
fn a_node_that_stops_tells_all_present_keepers_also_those_that_it_has_told() {
    let keepers = || vec![address(1), address(2), address(3)];
    let mut handover = OriginHandover::default();
    handover.on_told(stream(1), keepers());
    handover.begin_stop();
    let untold = handover.check_next(|_| keepers());
    assert_eq!(untold.into_keys().collect::<Vec<_>>(), keepers());
    assert_eq!(handover.unchecked_count(), 0);
}

#[test]
fn a_stream_that_a_stopping_node_is_told_of_is_told_on() {
    let keepers = || vec![address(1), address(2)];
    let mut handover = OriginHandover::default();
    handover.on_heard(stream(1), keepers());
    assert_eq!(handover.unchecked_count(), 0);
    handover.begin_stop();
    handover.check_next(|_| keepers());
    handover.on_heard(stream(2), keepers());
    let untold = handover.check_next(|_| keepers());
    assert_eq!(untold.into_values().flatten().collect::<Vec<_>>(), [stream(2), stream(2)]);
}

#[test]
fn the_streams_of_a_large_handover_are_told_in_parts() {
    const STREAMS: usize = 1_000;
    let mut handover = OriginHandover::default();
    (0..STREAMS).for_each(|number| handover.on_told(stream(number), Vec::new()));
    handover.begin_stop();
    let mut told = 0;
    while handover.unchecked_count() > 0 {
        let untold = handover.check_next(|_| vec![address(1)]);
        let streams: usize = untold.values().map(Vec::len).sum();
        assert!((1..=STREAMS / 10).contains(&streams));
        told += streams;
    }
    assert_eq!(told, STREAMS);
}

#[test]
fn a_stream_that_is_handed_over_is_forgotten_as_soon_as_others() {
    let (mut first, mut second) = (StreamOrigins::default(), StreamOrigins::default());
    first.record(stream(1), origin(1), 5_000_000);
    let message = first.messages(&stream(1), 45_000_000).next().unwrap();
    // The clock of a node that has just started begins at 0.
    second.record_message(message, 1_000_000);
    let expires_us = 1_000_000 + MAX_STREAM_AGE_US - 40_000_000;
    assert_eq!(second.find(&stream(1), expires_us - 1), Some(&origin(1)));
    assert_eq!(second.find(&stream(1), expires_us), None);
    let reused = StreamOriginMessage { stream: stream(1), origin: origin(2), age_ms: 0 };
    second.record_message(reused, expires_us);
    assert_eq!(second.find(&stream(1), expires_us), Some(&origin(2)));
}

#[test]
fn an_id_of_two_streams_is_handed_over_as_such() {
    let (mut first, mut second) = (StreamOrigins::default(), StreamOrigins::default());
    (1..=2).for_each(|version| first.record(stream(1), origin(version), 1));
    first.messages(&stream(1), 2).for_each(|message| second.record_message(message, 2));
    assert_eq!(second.find(&stream(1), 3), None);
    assert!(second.is_ambiguous(&stream(1), 3));
}
