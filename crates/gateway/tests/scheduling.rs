//! Requests that another node places, and what happens when that node is gone.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{EventStream, Reaction, RunnerStandIn};
use std::net::UdpSocket;
use std::time::Duration;
use support::{get, wait_for, Fixture};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";

fn writer(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| Reaction::Stream(EventStream::for_request(request, 3)))
        .unwrap()
}

/// Nodes of one zone before the same store, with two runners of a language model.
fn nodes(runners: &[RunnerStandIn; 2]) -> [Fixture; 3] {
    let [one, two] = runners;
    let first =
        Fixture::with_runners(&[(one, "llm", Some("decode")), (two, "llm", Some("decode"))]);
    let nodes = [first.start_beside("node-2"), first.start_beside("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    nodes
}

fn is_served(node: &Fixture, id: &str) -> bool {
    let mut client = node.client();
    client.request("POST", "/summary/1", id, PROMPT, b"{}");
    let answer = client.read_answer();
    answer.status == 200 && answer.complete
}

fn counted(node: &Fixture, name: &str) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// The nodes that have been told by another one where a request runs.
fn told(nodes: &[Fixture]) -> Vec<bool> {
    nodes.iter().map(|node| counted(node, "pitchstall_placements_told_total") > 0).collect()
}

#[test]
fn one_node_places_the_requests_of_all() {
    let nodes = nodes(&[writer("i-1"), writer("i-2")]);
    wait_for("two nodes to be told by the third", || {
        assert!(nodes.iter().all(|node| is_served(node, "id")));
        told(&nodes).iter().filter(|told| **told).count() == 2
    });
}

#[test]
fn requests_are_served_while_their_scheduler_is_gone() {
    let nodes = nodes(&[writer("i-1"), writer("i-2")]);
    wait_for("two nodes to be told by the third", || {
        assert!(nodes.iter().all(|node| is_served(node, "id")));
        told(&nodes).iter().filter(|told| **told).count() == 2
    });
    let told = told(&nodes);
    let (mut left, mut gone) = (Vec::new(), Vec::new());
    for (node, told) in nodes.into_iter().zip(told) {
        if told {
            left.push(node)
        } else {
            gone.push(node)
        }
    }
    for node in gone {
        node.request_stop();
        node.join();
    }
    for _ in 0..5 {
        assert!(left.iter().all(|node| is_served(node, "id")));
    }
    assert!(left.iter().any(|node| counted(node, "pitchstall_placements_missed_total") > 0));
}

/// Datagrams that nobody sent for a request of this node: they may change a choice, no answer.
#[test]
fn forged_and_broken_words_do_no_harm() {
    let nodes = nodes(&[writer("i-1"), writer("i-2")]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let words: [&[u8]; 9] = [
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
        words.iter().for_each(|word| {
            socket.send_to(word, node.peers).unwrap();
        });
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(nodes.iter().all(|node| is_served(node, "id") && node.is_ready()));
}
