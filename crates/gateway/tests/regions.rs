//! Requests of a node with one scheduler in its own region and one in another region. The other
//! nodes are simulated by sockets.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{EventStream, Reaction, RunnerStandIn};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use support::{configuration, get, wait_for, Fixture};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
/// `north` and `coast` belong to one region, `south` to another.
const REGIONS: &str = "[node.regions]\nnorth = \"up\"\ncoast = \"up\"\nsouth = \"down\"\n";

fn decode_runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| Reaction::Stream(EventStream::for_request(request, 3)))
        .unwrap()
}

fn metric_value(node: &Fixture, name: &str) -> Option<u64> {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next().unwrap().parse().ok()
}

fn is_served(node: &Fixture, id: &str) -> bool {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, PROMPT, b"{}");
    let answer = client.read_response();
    answer.status == 200 && answer.complete
}

/// A simulated node with a higher capacity than any other, so that it is the scheduler of its
/// region.
struct Scheduler {
    name: &'static str,
    zone: &'static str,
    socket: UdpSocket,
}

impl Scheduler {
    fn new(name: &'static str, zone: &'static str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        Self { name, zone, socket }
    }

    /// Waits until the end of a request that this scheduler placed is reported.
    fn expect_end_report(&self, query: &Value) {
        loop {
            let message = self.receive("progress").expect("a report of the end of the request");
            assert_eq!(message["i"], query["i"]);
            if message["g"] == "e" {
                return;
            }
        }
    }

    fn send(&self, node: &Fixture, message: &Value) {
        self.socket.send_to(message.to_string().as_bytes(), node.peers).unwrap();
    }

    fn introduce(&self, node: &Fixture, sequence: u64) {
        let address = self.socket.local_addr().unwrap().to_string();
        let member = json!({ "a": address, "z": self.zone, "p": 60_000 });
        let digest =
            json!({ "node": self.name, "incarnation": 1, "sequence": sequence, "member": member });
        self.send(node, &json!({ "digest": digest }));
    }

    /// The next message of a kind, if one is received within 3 s.
    fn receive(&self, kind: &str) -> Option<Value> {
        let deadline = Instant::now() + Duration::from_secs(3);
        let mut buffer = vec![0; 60_000];
        while Instant::now() < deadline {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let message: Value = serde_json::from_slice(&buffer[..length]).unwrap();
            if let Some(found) = message.get(kind) {
                return Some(found.clone());
            }
        }
        None
    }
}

/// The number of prompts that a runner received. It also receives requests for its cache list,
/// which are not counted.
fn prompt_count(runner: &RunnerStandIn) -> usize {
    runner.requests().iter().filter(|request| request.method == "POST").count()
}

/// A node with one runner in its own region and one in the other, and a scheduler of each region.
fn node(own: &RunnerStandIn, remote: &RunnerStandIn) -> (Fixture, Scheduler, Scheduler) {
    let node = Fixture::start_with_node_lines(REGIONS);
    node.store.put("op/config", &configuration(3));
    node.put_runner_in("coast", own, "llm", Some("decode"), "ready");
    node.put_runner_in("south", remote, "llm", Some("decode"), "ready");
    node.wait_until_ready();
    let own_scheduler = Scheduler::new("near", "coast");
    let remote_scheduler = Scheduler::new("far", "south");
    own_scheduler.introduce(&node, 1);
    remote_scheduler.introduce(&node, 1);
    std::thread::sleep(Duration::from_millis(50));
    (node, own_scheduler, remote_scheduler)
}

fn plan(runner: &RunnerStandIn) -> Value {
    json!({ "d": { "r": runner.id(), "u": 1, "l": 0, "k": 1, "e": 1, "m": 1 } })
}

#[test]
fn a_query_goes_to_the_own_region_and_then_to_the_region_it_names() {
    let (own, remote) = (decode_runner("i-1"), decode_runner("i-2"));
    let (node, own_scheduler, remote_scheduler) = node(&own, &remote);
    std::thread::scope(|scope| {
        let served = scope.spawn(|| is_served(&node, "id"));
        let query = own_scheduler.receive("ask").unwrap();
        assert_eq!((&query["h"]["r"], &query["w"]), (&json!("up"), &json!(false)));
        let remote_region = json!({ "r": "down", "w": "w" });
        own_scheduler
            .send(&node, &json!({ "place": { "i": query["i"], "p": null, "o": remote_region } }));
        let query = remote_scheduler.receive("ask").unwrap();
        assert_eq!((&query["h"]["r"], &query["w"]), (&json!("down"), &json!(true)));
        // The timeout of a query to another region is longer than that of one within the region.
        std::thread::sleep(Duration::from_millis(30));
        remote_scheduler.send(&node, &json!({ "place": { "i": query["i"], "p": plan(&remote) } }));
        remote_scheduler.expect_end_report(&query);
        assert!(served.join().unwrap());
    });
    assert_eq!((prompt_count(&own), prompt_count(&remote)), (0, 1));
    let departures = metric_value(&node, "pitchstall_left_region_total{reason=\"long_wait\"}");
    assert_eq!(departures, Some(1));
    assert!(metric_value(&node, "pitchstall_far_bytes_total{word=\"question\"}").unwrap() > 0);
}

#[test]
fn a_timed_out_query_leaves_no_reservation_in_either_region() {
    let (own, remote) = (decode_runner("i-1"), decode_runner("i-2"));
    let (node, own_scheduler, remote_scheduler) = node(&own, &remote);
    std::thread::scope(|scope| {
        let served = scope.spawn(|| is_served(&node, "id"));
        let query = own_scheduler.receive("ask").unwrap();
        let remote_region = json!({ "r": "down", "w": "w" });
        own_scheduler
            .send(&node, &json!({ "place": { "i": query["i"], "p": null, "o": remote_region } }));
        let query = remote_scheduler.receive("ask").unwrap();
        assert!(served.join().unwrap(), "served by the node's own view");
        remote_scheduler.expect_end_report(&query);
        // That report may have overtaken the query, so a late reply is answered by another one.
        remote_scheduler.send(&node, &json!({ "place": { "i": query["i"], "p": plan(&remote) } }));
        remote_scheduler.expect_end_report(&query);
    });
    assert_eq!((prompt_count(&own), prompt_count(&remote)), (1, 0));
}

#[test]
fn a_request_leaves_a_region_without_a_runner() {
    let (own, remote) = (decode_runner("i-1"), decode_runner("i-2"));
    let node = Fixture::start_with_node_lines(REGIONS);
    node.store.put("op/config", &configuration(3));
    node.put_runner_in("south", &remote, "llm", Some("decode"), "ready");
    node.wait_until_ready();
    assert!(is_served(&node, "id"));
    assert_eq!(prompt_count(&remote), 1);
    node.put_runner_in("coast", &own, "llm", Some("decode"), "ready");
    wait_for("the runner of the own region to be used", || {
        assert!(is_served(&node, "id"));
        prompt_count(&own) > 0
    });
    let departures = metric_value(&node, "pitchstall_left_region_total{reason=\"no_runner\"}");
    assert!(departures.is_some_and(|departures| departures >= 1), "{departures:?}");
}
