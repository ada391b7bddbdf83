//! Requests that are placed by another node, and the behavior when that node stops.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{EventStream, Reaction, RunnerStandIn};
use std::net::UdpSocket;
use std::time::Duration;
use support::{get, wait_for, Fixture};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";

fn decode_runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| Reaction::Stream(EventStream::for_request(request, 3)))
        .unwrap()
}

/// Three nodes of one zone that use the same store, with two runners of a language model.
fn nodes(runners: &[RunnerStandIn; 2]) -> [Fixture; 3] {
    let [one, two] = runners;
    let first =
        Fixture::with_runners(&[(one, "llm", Some("decode")), (two, "llm", Some("decode"))]);
    let nodes = [first.start_peer("node-2"), first.start_peer("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    nodes
}

fn is_served(node: &Fixture, id: &str) -> bool {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, PROMPT, b"{}");
    let answer = client.read_response();
    answer.status == 200 && answer.complete
}

fn metric_value(node: &Fixture, name: &str) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// For each node, whether another node has placed one of its requests.
fn placed_by_other_node(nodes: &[Fixture]) -> Vec<bool> {
    nodes.iter().map(|node| metric_value(node, "pitchstall_placements_told_total") > 0).collect()
}

fn wait_until_one_node_places(nodes: &[Fixture]) {
    wait_for("the third node to place requests of two others", || {
        assert!(nodes.iter().all(|node| is_served(node, "id")));
        placed_by_other_node(nodes)
            .into_iter()
            .filter(|is_placed_by_other| *is_placed_by_other)
            .count()
            == 2
    });
}

#[test]
fn one_node_places_the_requests_of_all_nodes() {
    let nodes = nodes(&[decode_runner("i-1"), decode_runner("i-2")]);
    wait_until_one_node_places(&nodes);
}

#[test]
fn requests_are_served_after_their_scheduler_has_stopped() {
    let nodes = nodes(&[decode_runner("i-1"), decode_runner("i-2")]);
    wait_until_one_node_places(&nodes);
    let placed_by_other_node = placed_by_other_node(&nodes);
    let (mut remaining, mut stopped) = (Vec::new(), Vec::new());
    for (node, placed_by_other_node) in nodes.into_iter().zip(placed_by_other_node) {
        if placed_by_other_node {
            remaining.push(node)
        } else {
            stopped.push(node)
        }
    }
    for node in stopped {
        node.request_stop();
        node.join();
    }
    for _ in 0..5 {
        assert!(remaining.iter().all(|node| is_served(node, "id")));
    }
    assert!(remaining
        .iter()
        .any(|node| metric_value(node, "pitchstall_placements_missed_total") > 0));
}

/// Datagrams that do not belong to any request of the node may influence a placement but not a
/// response.
#[test]
fn forged_and_malformed_messages_are_harmless() {
    let nodes = nodes(&[decode_runner("i-1"), decode_runner("i-2")]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let messages: [&[u8]; 9] = [
        b"",
        b"{",
        b"{\"nothing\":{}}",
        b"{\"place\":{\"i\":{\"f\":1,\"k\":1},\"p\":null}}",
        b"{\"progress\":{\"i\":{\"f\":1,\"k\":1},\"g\":\"e\"}}",
        b"{\"progress\":{\"i\":{\"f\":1,\"k\":1},\"g\":{\"u\":\"i-9\"}}}",
        b"{\"loads\":{\"h\":{\"n\":0,\"of\":0},\"l\":[{\"r\":\"i-1\",\"n\":9,\"t\":9,\"k\":9}]}}",
        b"{\"loads\":{\"h\":{\"r\":\"north\",\"n\":0,\"of\":0},\"l\":[{\"r\":\"i-1\",\"n\":9,\"t\":9,\"k\":9}]}}",
        b"{\"region\":{\"r\":\"south\",\"l\":[{\"s\":\"llm\",\"n\":0,\"w\":0,\"o\":0}]}}",
    ];
    for node in &nodes {
        messages.iter().for_each(|message| {
            socket.send_to(message, node.peers).unwrap();
        });
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(nodes.iter().all(|node| is_served(node, "id") && node.is_ready()));
}
