//! Configuration, runners and planned stops, through a store that behaves and one that does not.
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

fn ask(node: &Fixture, path: &str) -> (u16, String) {
    let mut client = node.client();
    client.request("GET", path, "id", "", b"");
    let answer = client.read_answer();
    (answer.status, answer.text())
}

#[test]
fn a_node_without_a_configuration_is_not_ready_and_refuses() {
    let node = Fixture::start();
    assert!(!node.is_ready());
    let mut client = node.client();
    client.request("GET", "/lookup/1", "id-1", "", b"");
    let answer = client.read_answer();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[test_case(StoreMode::Silent)]
#[test_case(StoreMode::Unavailable)]
#[test_case(StoreMode::Throttling)]
fn a_node_that_starts_while_the_store_fails_serves_once_it_answers(mode: StoreMode) {
    let node = Fixture::start();
    node.store.set_mode(mode);
    let one = runner("i-1");
    node.store.put("op/config", &configuration(3));
    node.add_runner(&one, "desk", None);
    assert_eq!(ask(&node, "/lookup/1").0, 503);
    node.store.set_mode(StoreMode::Serving);
    // The node may be ready before it knows the runner: its first list was empty, and the
    // watch that the silent store swallowed takes its time to be replaced.
    wait_for("the runner to answer", || ask(&node, "/lookup/1") == (200, "i-1".to_owned()));
    assert!(node.is_ready());
}

#[test_case(StoreMode::Silent)]
#[test_case(StoreMode::Unavailable)]
fn a_node_that_starts_while_the_store_is_away_serves_by_what_another_knows(mode: StoreMode) {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    node.store.set_mode(mode);
    let newcomer = node.start_seeded("node-2");
    wait_for("the newcomer to serve", || ask(&newcomer, "/lookup/1") == (200, "i-1".to_owned()));
    assert!(newcomer.is_ready());
}

#[test]
fn a_node_goes_on_serving_while_the_store_fails() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    node.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(ask(&node, "/lookup/1"), (200, "i-1".to_owned()));
    assert!(node.is_ready());
}

#[test]
fn a_new_configuration_comes_into_force_and_an_older_one_does_not() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let mut newer = configuration(7);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    node.store.put("op/config", &newer);
    wait_for("the added route", || ask(&node, "/added/1").0 == 200);
    node.store.put("op/config", &configuration(5));
    // The watch has delivered the older version once a later write to it has been seen.
    newer["version"] = 8.into();
    newer["routes"].as_array_mut().unwrap().push(route("marker", "idempotent", "desk"));
    assert_eq!(ask(&node, "/added/1").0, 200);
    node.store.put("op/config", &newer);
    wait_for("the marker", || ask(&node, "/marker/1").0 == 200);
    assert_eq!(ask(&node, "/added/1").0, 200);
}

#[test]
fn a_draining_runner_gets_no_new_requests() {
    let (one, two) = (runner("i-1"), runner("i-2"));
    let node = Fixture::with_runners(&[(&one, "desk", None), (&two, "desk", None)]);
    node.put_runner(&one, "desk", None, "draining");
    wait_for("only the other to answer", || {
        (0..8).all(|_| ask(&node, "/lookup/1") == (200, "i-2".to_owned()))
    });
    node.store.remove("servers/i-2");
    wait_for("no runner to be left", || ask(&node, "/lookup/1").0 == 503);
}

#[test]
fn changes_in_a_forgotten_history_are_found_by_reading_anew() {
    let (one, two) = (runner("i-1"), runner("i-2"));
    let node = Fixture::with_runners(&[(&one, "desk", None), (&two, "desk", None)]);
    node.store.set_mode(StoreMode::Unavailable);
    node.put_runner(&one, "desk", None, "draining");
    node.store.remove("servers/i-2");
    let three = runner("i-3");
    node.add_runner(&three, "desk", None);
    node.store.compact_history();
    node.store.set_mode(StoreMode::Serving);
    wait_for("the third to answer", || ask(&node, "/lookup/1") == (200, "i-3".to_owned()));
}

#[test]
fn a_refused_connection_does_not_count_as_run() {
    let gone = runner("i-gone");
    let live = runner("i-live");
    let node = Fixture::with_runners(&[(&live, "desk", None)]);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let entry = serde_json::json!({
        "service": "desk", "address": nobody.to_string(), "zone": "north", "slots": 800,
        "version": "v1", "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    node.store.put(&format!("servers/{}", gone.id()), &entry);
    wait_for("the entry to be known", || {
        get(node.health, "/metrics").text().contains("pitchstall_connections_total")
    });
    for number in 0..8 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"x");
        assert_eq!(client.read_answer().text(), "i-live");
    }
}

#[test]
fn a_planned_stop_finishes_open_requests_and_takes_no_new_clients() {
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
    assert_eq!(idle.read_answer().status, 200);
    let mut busy = node.client();
    busy.request("POST", "/booking/slow", "id-1", "", b"x");
    wait_for("the runner to have the request", || slow.requests().len() == 2);
    node.request_stop();
    wait_for("the node not to be ready", || !node.is_ready());
    let mut late = node.client();
    late.request("GET", "/lookup/1", "id-2", "", b"");
    let answer = late.read_answer();
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert!(idle.is_closed_by_node(), "an idle connection is closed");
    let answer = busy.read_answer();
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    node.join();
}

#[test]
fn the_metrics_count_requests_by_outcome() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(ask(&node, "/lookup/1").0, 200);
    assert_eq!(ask(&node, "/nowhere/1").0, 404);
    let text = get(node.health, "/metrics").text();
    assert!(text.contains("pitchstall_requests_total{outcome=\"answered\"} 1"), "{text}");
    assert!(text.contains("pitchstall_requests_total{outcome=\"no_route\"} 1"), "{text}");
}

#[test]
fn a_changed_settings_file_is_taken_and_a_wrong_one_is_not() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let text = std::fs::read_to_string(&node.file).unwrap();
    std::fs::write(&node.file, text.replace("contact_ms = 1000", "contact_ms = \"soon\"")).unwrap();
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(ask(&node, "/lookup/1").0, 200);
    // The store moves, and with it the configuration.
    let moved = StoreStandIn::start().unwrap();
    moved.put("servers/unrelated", &serde_json::json!({}));
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    moved.put("op/config", &newer);
    let entry = serde_json::json!({
        "service": "desk", "address": one.address().to_string(), "zone": "north", "slots": 8,
        "version": "v1", "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    moved.put("servers/i-1", &entry);
    let before = node.store.address().to_string();
    std::fs::write(&node.file, text.replace(&before, &moved.address().to_string())).unwrap();
    wait_for("the configuration of the other store", || ask(&node, "/added/1").0 == 200);
}

/// Found by a hunt on sapvsb-swapnet (hunt-abee-63): a request that was being read when the
/// node stopped taking clients was passed on and then cut.
#[test]
fn a_planned_stop_waits_for_a_request_that_is_being_read() {
    let one = runner("i-1");
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let mut idle = node.client();
    idle.request("GET", "/lookup/1", "id-0", "", b"");
    assert_eq!(idle.read_answer().status, 200);
    node.request_stop();
    wait_for("the node not to be ready", || !node.is_ready());
    let mut slow = node.client();
    slow.send(b"GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\n");
    assert!(idle.is_closed_by_node(), "the node takes no more clients");
    std::thread::sleep(Duration::from_millis(300));
    slow.send(b"X-Pitchstall-Request-Id: id-1\r\n\r\n");
    let answer = slow.read_answer();
    assert_eq!((answer.status, answer.text().as_str()), (200, "i-1"));
    node.join();
}

/// A fleet that the store tells in more than one page: nodes of the later pages would not be known until they
/// spoke, and where they take turns to speak that is half a minute.
#[test]
fn nodes_of_every_page_are_greeted() {
    const FILLING: usize = 120;
    let last = UdpSocket::bind("127.0.0.1:0").unwrap();
    last.set_read_timeout(Some(support::PATIENCE)).unwrap();
    let store = StoreStandIn::start().unwrap();
    let member = |address: String| json!({ "a": address, "z": "north", "p": 1_000 });
    for number in 0..FILLING {
        let silent = format!("127.0.0.1:{}", 1_000 + number);
        store.put(&format!("pitchstall/nodes/filling-{number:03}"), &member(silent));
    }
    let address = last.local_addr().unwrap().to_string();
    store.put("pitchstall/nodes/last", &member(address));
    let _node = Fixture::start_before(store, "node-1");
    let mut buffer = [0; 60_000];
    let (length, _) = last.recv_from(&mut buffer).expect("a greeting");
    assert!(buffer[..length].starts_with(b"{\"digest\""));
}
