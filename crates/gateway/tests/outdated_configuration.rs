//! A node that knows that its configuration is outdated and cannot obtain the later one.
//!
//! Such a node answered 404 for a route that had been added, or sent a request to the service that
//! the route had been taken from. It must refuse the request instead, so that the client tries
//! another node, which has the later version.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::proxy::{Link, LinkMode};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreMode;
use serde_json::json;
use std::net::UdpSocket;
use support::{configuration, route, wait_for, Fixture, NodeAddress, RawResponse};

const BOUNDS: &str = "config_apply_ms = 600\n";

/// Another node, which reports a later configuration but sends no replica.
struct ReportingPeer {
    socket: UdpSocket,
    sequence: u64,
}

impl ReportingPeer {
    fn send_digest(&mut self, node: &Fixture, changed_at: u64) {
        self.sequence += 1;
        let address = self.socket.local_addr().unwrap().to_string();
        let digest = json!({
            "node": "teller", "incarnation": 1, "sequence": self.sequence,
            "member": { "a": address, "z": "north", "p": 1_000 },
            "store": { "f": { "c": changed_at, "a": 0 }, "r": { "c": 0, "a": null } },
        });
        let datagram = json!({ "digest": digest }).to_string();
        self.socket.send_to(datagram.as_bytes(), node.peers).unwrap();
    }
}

fn send_request(node: &Fixture, name: &str) -> RawResponse {
    let mut client = node.client();
    client.request("GET", &format!("/{name}/1"), "id", "", b"");
    client.read_response()
}

#[test]
fn a_node_with_an_outdated_configuration_rejects_requests_until_it_has_caught_up() {
    let respond = |_: &_| Reaction::Respond { status: 200, body: b"done".to_vec() };
    let runner = RunnerStandIn::start("i-1", respond).unwrap();
    let node = Fixture::start_with(BOUNDS);
    node.store.put("op/config", &configuration(3));
    node.add_runner(&runner, "desk", None);
    node.wait_until_ready();
    assert_eq!(send_request(&node, "lookup").status, 200);
    assert_eq!(send_request(&node, "added").status, 404);
    node.store.set_mode(StoreMode::Silent);
    let mut peer = ReportingPeer { socket: UdpSocket::bind("127.0.0.1:0").unwrap(), sequence: 0 };
    wait_for("an unknown route to be answered with 503 instead of 404", || {
        peer.send_digest(&node, 1_000);
        send_request(&node, "added").status == 503
    });
    wait_for("the node to refuse a request whose route may have changed", || {
        peer.send_digest(&node, 1_000);
        let response = send_request(&node, "lookup");
        response.status == 503 && response.header("retry-after").is_some()
    });
    assert!(!node.is_ready());
    let mut later = configuration(4);
    later["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    node.store.put("op/config", &later);
    node.store.set_mode(StoreMode::Serving);
    wait_for("the later configuration", || send_request(&node, "added").status == 200);
    assert!(node.is_ready());
}

/// A store reader that has lost the store obtains a change from a node that has read it.
#[test]
fn a_node_without_the_store_gets_a_later_configuration_from_a_peer() {
    let respond = |_: &_| Reaction::Respond { status: 200, body: b"done".to_vec() };
    let runner = RunnerStandIn::start("i-1", respond).unwrap();
    let first = Fixture::start();
    first.store.put("op/config", &configuration(3));
    first.add_runner(&runner, "desk", None);
    first.wait_until_ready();
    let link = Link::start(first.store.address()).unwrap();
    let store = first.store.clone();
    let second =
        Fixture::start_at(NodeAddress::new(), store.clone(), link.address(), "node-2", "", "");
    second.wait_until_ready();
    link.set_mode(LinkMode::Resetting);
    let mut later = configuration(4);
    later["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    store.put("op/config", &later);
    wait_for("the change at the node with access to the store", || {
        send_request(&first, "added").status == 200
    });
    wait_for("the change at the node without access to the store", || {
        send_request(&second, "added").status == 200
    });
}
