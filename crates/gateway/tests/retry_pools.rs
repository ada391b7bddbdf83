//! Nodes whose parts of the fleet's retry slack are less than one extra attempt.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{wait_for, Fixture};

/// A runner of a pair that answers a request with 500 unless the other one has received it before.
fn runner_that_fails_first(id: &str, seen: &Arc<Mutex<HashSet<String>>>) -> RunnerStandIn {
    let seen = seen.clone();
    let answer = move |request: &ReceivedRequest| {
        let id = request.header("x-pitchstall-request-id").unwrap_or_default().to_owned();
        let is_first = seen.lock().unwrap().insert(id);
        let status = if is_first { 500 } else { 200 };
        Reaction::Respond { status, body: b"done".to_vec() }
    };
    RunnerStandIn::start(id, answer).unwrap()
}

/// Lowers the slack so that the part of each of two nodes is 0.75 extra attempts.
fn lower_slack(node: &Fixture) {
    let settings = std::fs::read_to_string(&node.file).unwrap();
    let lowered = settings.replace("retry_slack = 4.0", "retry_slack = 2.0");
    assert_ne!(settings, lowered);
    std::fs::write(&node.file, lowered).unwrap();
}

/// Guards against a retry budget that no node can use because each has less than one attempt.
#[test]
fn a_failed_request_is_sent_again_though_no_node_alone_has_an_attempt() {
    let seen = Arc::default();
    let runners = [runner_that_fails_first("i-1", &seen), runner_that_fails_first("i-2", &seen)];
    let first = Fixture::with_runners(&[(&runners[0], "desk", None), (&runners[1], "desk", None)]);
    let second = first.start_peer("node-2");
    second.wait_until_ready();
    let nodes = [first, second];
    nodes.iter().for_each(lower_slack);
    // The settings files are read every half second.
    std::thread::sleep(Duration::from_secs(1));
    let mut number = 0;
    wait_for("a request that is sent again", || {
        std::thread::sleep(Duration::from_millis(100));
        nodes.iter().any(|node| {
            number += 1;
            let mut client = node.client();
            client.request("GET", "/lookup/1", &format!("id-{number}"), "", b"");
            client.read_response().status == 200
        })
    });
}
