//! Streams that clients take up after all nodes have been restarted one after the other.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::Duration;
use support::versions::{
    begin_and_leave, is_of_one_version, node_with, start_node, take_up, wait_for_digests,
    Interruption, Runners, RETRY_SLACK,
};
use support::{configuration, get, wait_for, Fixture, NodeAddress};
use test_case::test_case;

const NODES: usize = 7;
const STREAMS: usize = 21;
/// Number of streams of [`STREAMS`] that go on at least: 0.95 of them.
const MIN_CONTINUED: usize = 20;

/// Nodes with the same store, which keep their names and addresses when they are restarted.
struct Cluster {
    store: StoreStandIn,
    addresses: Vec<NodeAddress>,
    nodes: Vec<Option<Fixture>>,
}

impl Cluster {
    fn start(runners: &Runners) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.put("op/config", &configuration(3));
        let addresses: Vec<_> = (0..NODES).map(|_| NodeAddress::new()).collect();
        let nodes = (0..NODES).map(|_| None).collect();
        let mut cluster = Self { store, addresses, nodes };
        (0..NODES).for_each(|number| cluster.start_node(number));
        runners.add_to(cluster.node(0));
        cluster.wait_until_ready();
        cluster
    }

    fn node(&self, number: usize) -> &Fixture {
        self.nodes[number % NODES].as_ref().unwrap()
    }

    fn start_node(&mut self, number: usize) {
        let (address, store) = (self.addresses[number], self.store.clone());
        let (store_address, name) = (store.address(), format!("node-{number}"));
        let node = Fixture::start_at(address, store, store_address, &name, "", RETRY_SLACK);
        self.nodes[number] = Some(node);
    }

    fn wait_until_ready(&self) {
        self.nodes.iter().flatten().for_each(Fixture::wait_until_ready);
        wait_for_digests();
    }

    /// Stops these nodes at once, and starts them when all have stopped.
    fn restart(&mut self, numbers: &[usize]) {
        let stopping: Vec<_> =
            numbers.iter().map(|number| self.nodes[*number].take().unwrap()).collect();
        stopping.iter().for_each(Fixture::request_stop);
        stopping.into_iter().for_each(Fixture::join);
        numbers.iter().for_each(|number| self.start_node(*number));
    }
}

/// Begins streams at all nodes, restarts groups of nodes, each a while after the one before, and takes each stream up at
/// the node after the one that began it. Returns how many go on, after checking that none is joined from two versions.
fn continued_streams(groups: &[&[usize]], gap: Duration) -> usize {
    let runners = Runners::start(Interruption::Slow);
    let mut cluster = Cluster::start(&runners);
    let stream_id = |number: usize| format!("stream-{number}");
    let begin = |number| begin_and_leave(cluster.node(number), &stream_id(number));
    let begun: Vec<String> = (0..STREAMS).map(begin).collect();
    for group in groups {
        cluster.restart(group);
        std::thread::sleep(gap);
    }
    cluster.wait_until_ready();
    let mut continued = 0;
    for (number, first) in begun.into_iter().enumerate() {
        let id = format!("{}-again", stream_id(number));
        let rest = take_up(cluster.node(number + 1), &stream_id(number), &id);
        if rest.status == 200 {
            let text = format!("{first}{}", rest.text());
            assert!(is_of_one_version(&text), "{text:?}");
            continued += 1;
        }
    }
    println!("{continued} of {STREAMS} streams go on");
    continued
}

#[test_case(200; "200 ms apart")]
#[test_case(600; "600 ms apart")]
#[test_case(1_200; "1200 ms apart")]
#[test_case(2_500; "2500 ms apart")]
fn streams_are_not_forgotten_when_nodes_are_restarted_one_after_the_other(gap_ms: u64) {
    let groups: [&[usize]; NODES] = [&[0], &[1], &[2], &[3], &[4], &[5], &[6]];
    assert!(continued_streams(&groups, Duration::from_millis(gap_ms)) >= MIN_CONTINUED);
}

#[test]
fn streams_are_not_forgotten_when_half_of_the_nodes_are_restarted_at_once() {
    let groups: [&[usize]; 2] = [&[0, 1, 2], &[3, 4, 5, 6]];
    assert!(continued_streams(&groups, Duration::from_millis(2_500)) >= MIN_CONTINUED);
}

/// A simulated node, which is the only other one and so a keeper of all streams.
struct Keeper {
    socket: UdpSocket,
}

impl Keeper {
    fn introduce_to(node: &Fixture) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        let keeper = Self { socket };
        keeper.send_digest(node, 1);
        wait_for_digests();
        keeper
    }

    /// Sends the first digest of an incarnation.
    fn send_digest(&self, node: &Fixture, incarnation: u64) {
        let address = self.socket.local_addr().unwrap().to_string();
        let member = json!({ "a": address, "z": "north", "p": 250 });
        let digest = json!({ "node": "keeper", "incarnation": incarnation, "sequence": 1, "member": member });
        let message = json!({ "digest": digest }).to_string();
        self.socket.send_to(message.as_bytes(), node.peers).unwrap();
    }

    /// The streams that it is told of, until nothing arrives for longer than nodes take between two digests.
    fn told_streams(&self) -> Vec<Value> {
        const MAX_SILENT_READS: usize = 3;
        let mut buffer = vec![0; 65_536];
        let (mut told, mut silent_reads) = (Vec::new(), 0);
        while silent_reads < MAX_SILENT_READS {
            let Ok(length) = self.socket.recv(&mut buffer) else {
                silent_reads += 1;
                continue;
            };
            let message: Value = serde_json::from_slice(&buffer[..length]).unwrap();
            told.extend(
                message.get("streams").and_then(Value::as_array).into_iter().flatten().cloned(),
            );
            silent_reads = 0;
        }
        told
    }
}

fn untold_streams(node: &Fixture) -> String {
    let metrics = get(node.health, "/metrics").text();
    let is_gauge = |line: &&str| line.starts_with("pitchstall_stream_origins_untold ");
    metrics.lines().find(is_gauge).unwrap().to_owned()
}

#[test]
fn a_node_that_stops_hands_over_its_streams_with_their_age() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let keeper = Keeper::introduce_to(&node);
    begin_and_leave(&node, "id-1");
    std::thread::sleep(Duration::from_millis(500));
    node.request_stop();
    node.join();
    let told = keeper.told_streams();
    let ages_ms: Vec<u64> = told.iter().map(|it| it["a"].as_u64().unwrap_or_default()).collect();
    assert!(told.iter().all(|it| it["i"] == "id-1"), "{told:?}");
    assert!(matches!(ages_ms[..], [0, age_ms] if age_ms >= 500), "{told:?}");
}

#[test]
fn a_keeper_that_has_started_again_is_told_of_streams() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let keeper = Keeper::introduce_to(&node);
    begin_and_leave(&node, "id-1");
    // A node that has started a moment ago takes it that the keepers that it meets have been told.
    std::thread::sleep(Duration::from_secs(2));
    keeper.send_digest(&node, 2);
    wait_for("all keepers to be told", || untold_streams(&node).ends_with(" 0.0"));
    std::thread::sleep(Duration::from_millis(200));
    node.request_stop();
    node.join();
    let told = keeper.told_streams();
    assert_eq!(told.len(), 3, "at its begin, after the start and at the stop: {told:?}");
}

#[test]
fn nothing_is_handed_over_while_one_version_serves() {
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    let keeper = Keeper::introduce_to(&node);
    begin_and_leave(&node, "id-1");
    keeper.send_digest(&node, 2);
    std::thread::sleep(Duration::from_millis(500));
    node.request_stop();
    node.join();
    assert_eq!(keeper.told_streams(), Vec::<Value>::new());
}
