//! Configuration, runners and graceful shutdown, with a working and a failing store.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use serde_json::json;
use std::net::UdpSocket;
use std::time::Duration;
use support::{configuration, get, route, wait_for, Fixture};
use test_case::test_case;

fn runner(id: &str) -> RunnerStandIn {
    let body = id.as_bytes().to_vec();
    RunnerStandIn::start(id, move |_| Reaction::Respond { status: 200, body: body.clone() })
        .unwrap()
}

fn request(node: &Fixture, path: &str) -> (u16, String) {
    let mut client = node.client();
    client.request("GET", path, "id", "", b"");
    let answer = client.read_response();
    (answer.status, answer.text())
}

#[test]
fn a_node_without_a_configuration_is_not_ready_and_rejects_requests() {
    let node = Fixture::start();
    assert!(!node.is_ready());
    let mut client = node.client();
    client.request("GET", "/lookup/1", "id-1", "", b"");
    let answer = client.read_response();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[test_case(StoreMode::Silent)]
#[test_case(StoreMode::Unavailable)]
#[test_case(StoreMode::Throttling)]
fn a_node_that_starts_during_a_store_failure_serves_once_the_store_recovers(mode: StoreMode) {
    let node = Fixture::start();
    node.store.set_mode(mode);
    let one = runner("i-1");
    node.store.put("op/config", &configuration(3));
    node.add_runner(&one, "desk", None);
    assert_eq!(request(&node, "/lookup/1").0, 503);
    node.store.set_mode(StoreMode::Serving);
    // The node may be ready before it knows the runner: its first read returned no entries, and the
    // watch that was sent to the silent store is replaced only after its timeout.
    wait_for("the response", || request(&node, "/lookup/1") == (200, "i-1".to_owned()));
    assert!(node.is_ready());
}

/// Guards against a node that has registered, and waits for its next regular list because the first one failed.
#[test]
fn a_node_whose_first_list_of_nodes_has_failed_reads_it_again_soon() {
    let store = StoreStandIn::start().unwrap();
    store.reject_once("pitchstall/nodes/");
    let one = runner("i-1");
    let node = Fixture::start_with_store(store, "node-1");
    node.store.put("op/config", &configuration(3));
    node.add_runner(&one, "desk", None);
    wait_for("the response", || request(&node, "/lookup/1") == (200, "i-1".to_owned()));
}

#[test_case(StoreMode::Silent)]
#[test_case(StoreMode::Unavailable)]
fn a_node_that_starts_during_a_store_outage_serves_from_the_replica_of_another_node(
    mode: StoreMode,
) {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    node.store.set_mode(mode);
    let new_node = node.start_seeded_peer("node-2");
    wait_for("the new node to serve", || {
        request(&new_node, "/lookup/1") == (200, "i-1".to_owned())
    });
    assert!(new_node.is_ready());
}

#[test]
fn a_node_continues_serving_during_a_store_failure() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    node.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(request(&node, "/lookup/1"), (200, "i-1".to_owned()));
    assert!(node.is_ready());
}

#[test]
fn a_newer_configuration_is_applied_and_an_older_one_is_not() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let mut newer = configuration(7);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    node.store.put("op/config", &newer);
    wait_for("the added route", || request(&node, "/added/1").0 == 200);
    node.store.put("op/config", &configuration(5));
    // The older version has been received once a later write to the key is observed.
    newer["version"] = 8.into();
    newer["routes"].as_array_mut().unwrap().push(route("marker", "idempotent", "desk"));
    assert_eq!(request(&node, "/added/1").0, 200);
    node.store.put("op/config", &newer);
    wait_for("the marker", || request(&node, "/marker/1").0 == 200);
    assert_eq!(request(&node, "/added/1").0, 200);
}

#[test]
fn a_draining_runner_gets_no_new_requests() {
    let (one, two) = (runner("i-1"), runner("i-2"));
    let node = Fixture::with_runners(&[(&one, "desk", None), (&two, "desk", None)]);
    node.put_runner(&one, "desk", None, "draining");
    wait_for("responses only from the other runner", || {
        (0..8).all(|_| request(&node, "/lookup/1") == (200, "i-2".to_owned()))
    });
    node.store.remove("servers/i-2");
    wait_for("all runners to be removed", || request(&node, "/lookup/1").0 == 503);
}

#[test]
fn changes_in_compacted_history_are_found_by_a_full_read() {
    let (one, two) = (runner("i-1"), runner("i-2"));
    let node = Fixture::with_runners(&[(&one, "desk", None), (&two, "desk", None)]);
    node.store.set_mode(StoreMode::Unavailable);
    node.put_runner(&one, "desk", None, "draining");
    node.store.remove("servers/i-2");
    let three = runner("i-3");
    node.add_runner(&three, "desk", None);
    node.store.compact_history();
    node.store.set_mode(StoreMode::Serving);
    wait_for("the third runner", || request(&node, "/lookup/1") == (200, "i-3".to_owned()));
}

#[test]
fn a_refused_connection_does_not_count_as_execution() {
    let unreachable = runner("i-gone");
    let live = runner("i-live");
    let node = Fixture::with_runners(&[(&live, "desk", None)]);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let entry = serde_json::json!({
        "service": "desk", "address": nobody.to_string(), "zone": "north", "slots": 800,
        "version": "v1", "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    node.store.put(&format!("servers/{}", unreachable.id()), &entry);
    wait_for("the entry to be known", || {
        get(node.health, "/metrics").text().contains("pitchstall_connections_total")
    });
    for number in 0..8 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"x");
        assert_eq!(client.read_response().text(), "i-live");
    }
}

#[test]
fn a_graceful_shutdown_finishes_open_requests_and_accepts_no_new_clients() {
    let slow = RunnerStandIn::start("i-slow", |request| {
        if request.path() == "/booking/slow" {
            std::thread::sleep(Duration::from_millis(2_500));
        }
        Reaction::Respond { status: 200, body: b"done".to_vec() }
    })
    .unwrap();
    let node = Fixture::with_runners(&[(&slow, "desk", None)]);
    let mut idle = node.client();
    idle.request("GET", "/lookup/1", "id-0", "", b"");
    assert_eq!(idle.read_response().status, 200);
    let mut busy = node.client();
    busy.request("POST", "/booking/slow", "id-1", "", b"x");
    wait_for("the runner to have the request", || slow.requests().len() == 2);
    node.request_stop();
    wait_for("the node not to be ready", || !node.is_ready());
    let mut late = node.client();
    late.request("GET", "/lookup/1", "id-2", "", b"");
    let answer = late.read_response();
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert!(idle.is_closed_by_node(), "the idle connection is closed");
    let answer = busy.read_response();
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    node.join();
}

#[test]
fn the_metrics_count_requests_by_outcome() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(request(&node, "/lookup/1").0, 200);
    assert_eq!(request(&node, "/nowhere/1").0, 404);
    let text = get(node.health, "/metrics").text();
    assert!(text.contains("pitchstall_requests_total{outcome=\"answered\"} 1"), "{text}");
    assert!(text.contains("pitchstall_requests_total{outcome=\"no_route\"} 1"), "{text}");
}

#[test]
fn a_changed_settings_file_is_applied_and_an_invalid_one_is_not() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let text = std::fs::read_to_string(&node.file).unwrap();
    std::fs::write(&node.file, text.replace("contact_ms = 1000", "contact_ms = \"soon\"")).unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(request(&node, "/lookup/1").0, 200);
    // The settings now name another store with a newer configuration.
    let other_store = StoreStandIn::start().unwrap();
    other_store.put("servers/unrelated", &serde_json::json!({}));
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    other_store.put("op/config", &newer);
    let entry = serde_json::json!({
        "service": "desk", "address": one.address().to_string(), "zone": "north", "slots": 8,
        "version": "v1", "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    other_store.put("servers/i-1", &entry);
    let before = node.store.address().to_string();
    std::fs::write(&node.file, text.replace(&before, &other_store.address().to_string())).unwrap();
    wait_for("the configuration of the other store", || request(&node, "/added/1").0 == 200);
}

/// Guards against a request that is cut off during a graceful shutdown: it was still being received
/// when the node stopped accepting clients, and was forwarded and then aborted.
#[test]
fn a_graceful_shutdown_waits_for_a_request_that_is_being_received() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let mut idle = node.client();
    idle.request("GET", "/lookup/1", "id-0", "", b"");
    assert_eq!(idle.read_response().status, 200);
    node.request_stop();
    wait_for("the node not to be ready", || !node.is_ready());
    let mut slow = node.client();
    slow.send(b"GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\n");
    assert!(idle.is_closed_by_node(), "the node accepts no more clients");
    std::thread::sleep(Duration::from_millis(300));
    slow.send(b"X-Pitchstall-Request-Id: id-1\r\n\r\n");
    let answer = slow.read_response();
    assert_eq!((answer.status, answer.text().as_str()), (200, "i-1"));
    node.join();
}

/// The store returns the nodes of a large fleet in several pages. If only the first page is read,
/// the nodes of later pages stay unknown until they send a digest, which takes half a minute where
/// nodes send their digests in rotation.
#[test]
fn nodes_of_every_page_receive_a_digest() {
    const OTHER_NODES: usize = 120;
    let last = UdpSocket::bind("127.0.0.1:0").unwrap();
    last.set_read_timeout(Some(support::WAIT_TIMEOUT)).unwrap();
    let store = StoreStandIn::start().unwrap();
    let member = |address: String| json!({ "a": address, "z": "north", "p": 1_000 });
    for number in 0..OTHER_NODES {
        let address = format!("127.0.0.1:{}", 1_000 + number);
        store.put(&format!("pitchstall/nodes/filling-{number:03}"), &member(address));
    }
    let address = last.local_addr().unwrap().to_string();
    store.put("pitchstall/nodes/last", &member(address));
    let _node = Fixture::start_with_store(store, "node-1");
    let mut buffer = [0; 60_000];
    let (length, _) = last.recv_from(&mut buffer).expect("a digest");
    assert!(buffer[..length].starts_with(b"{\"digest\""));
}
