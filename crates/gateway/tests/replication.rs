//! Nodes that follow another node's replica of the store.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_serving::store_replica::{StoreUpdateQuery, StoreUpdateReply, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::{configuration, get, route, wait_for, Fixture};

fn send_query(address: SocketAddr, query: &StoreUpdateQuery) -> StoreUpdateReply {
    let mut stream = TcpStream::connect(address).unwrap();
    let mut line = serde_json::to_vec(query).unwrap();
    line.push(b'\n');
    stream.write_all(&line).unwrap();
    let mut reply = String::new();
    BufReader::new(stream).read_line(&mut reply).unwrap();
    serde_json::from_str(&reply).unwrap()
}

fn query(subject: Subject, after: Option<StoreRevision>, wait_ms: u64) -> StoreUpdateQuery {
    StoreUpdateQuery::new(subject, after, wait_ms)
}

fn store_calls(node: &Fixture) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with("pitchstall_store_calls_total"));
    line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
}

fn runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |_| Reaction::Respond { status: 200, body: b"done".to_vec() }).unwrap()
}

#[test]
fn a_node_sends_a_snapshot_and_then_changes() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let first = send_query(node.peers, &query(Subject::Runners, None, 0)).update.unwrap();
    assert!(first.is_snapshot);
    assert_eq!(first.entries.len(), 1);
    let two = runner("i-2");
    let change = std::thread::spawn({
        let address = node.peers;
        move || send_query(address, &query(Subject::Runners, Some(first.known_to()), 4_000))
    });
    std::thread::sleep(Duration::from_millis(50));
    node.add_runner(&two, "desk", None);
    let change = change.join().unwrap();
    let update = change.update.unwrap();
    assert!(!update.is_snapshot);
    assert_eq!(update.entries[0].key, "servers/i-2");
    assert!(change.age_ms.unwrap() < 2_000);
}

#[test]
fn an_invalid_query_closes_the_connection_without_effect() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let mut stream = TcpStream::connect(node.peers).unwrap();
    stream.write_all(b"{\"subject\":\"everything\"}\n").unwrap();
    let mut reply = String::new();
    assert_eq!(BufReader::new(stream).read_line(&mut reply).unwrap(), 0);
    assert!(send_query(node.peers, &query(Subject::Configuration, None, 0)).update.is_some());
}

/// Guards against a call to the store by every node of a fleet that starts before its configuration
/// is written.
#[test]
fn a_follower_that_starts_without_a_configuration_makes_no_store_calls() {
    const REGISTRATION_CALLS: u64 = 3;
    const NAMES: [&str; 5] = ["node-2", "node-3", "node-4", "node-5", "node-6"];
    let first = Fixture::start();
    let others = NAMES.map(|name| first.start_peer(name));
    // Long enough for a follower to ask both store readers for a configuration, and again.
    std::thread::sleep(Duration::from_millis(400));
    first.store.put("op/config", &configuration(3));
    let one = runner("i-1");
    first.add_runner(&one, "desk", None);
    others.iter().for_each(Fixture::wait_until_ready);
    let calls: Vec<u64> = others.iter().map(store_calls).collect();
    assert!(calls.iter().any(|calls| *calls <= REGISTRATION_CALLS), "{calls:?}");
}

/// Of three nodes in one zone, two read the store and the third follows them.
#[test]
fn a_follower_makes_no_store_calls_and_receives_changes() {
    const OBSERVATION_TIME: Duration = Duration::from_millis(2_500);
    let one = runner("i-1");
    let first = Fixture::with_runners(&[(&one, "desk", None)]);
    let nodes = [first.start_peer("node-2"), first.start_peer("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    wait_for("one node to make no store calls", || {
        let before: Vec<u64> = nodes.iter().map(store_calls).collect();
        std::thread::sleep(OBSERVATION_TIME);
        let calls = nodes.iter().zip(before).map(|(node, before)| store_calls(node) - before);
        let calls: Vec<u64> = calls.collect();
        calls.iter().filter(|made| **made <= 1).count() == 1
    });
    let mut newer = configuration(7);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    nodes[0].store.put("op/config", &newer);
    for node in &nodes {
        wait_for("the added route", || {
            let mut client = node.client();
            client.request("GET", "/added/1", "id", "", b"");
            client.read_response().status == 200
        });
    }
}

/// After both store readers have stopped, the third node reads the store itself.
#[test]
fn a_node_without_sources_reads_the_store() {
    let one = runner("i-1");
    let first = Fixture::with_runners(&[(&one, "desk", None)]);
    let second = first.start_peer("node-2");
    let third = first.start_peer("node-3");
    second.wait_until_ready();
    third.wait_until_ready();
    let store = first.store.clone();
    for gone in [first, second] {
        gone.request_stop();
        gone.join();
    }
    let mut newer = configuration(7);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    store.put("op/config", &newer);
    wait_for("the added route", || {
        let mut client = third.client();
        client.request("GET", "/added/1", "id", "", b"");
        client.read_response().status == 200
    });
}
