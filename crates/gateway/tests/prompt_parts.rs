//! Parts of prompts that crash each runner which begins to write a response on them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, CrashHead, Reaction, RunnerStandIn};
use std::time::Duration;
use support::{configuration, Fixture, RawResponse};
use test_case::test_case;

const CRASHING_PART: &str = "bad1";
/// Number of crashes after which no request with the part reaches a runner, as far as they come one after the other.
const MAX_CRASHES: usize = 3;
const RUNNERS: usize = 12;
const REQUESTS: usize = 8;

fn has_crashing_part(request: &ReceivedRequest) -> bool {
    request.header("x-pitchstall-prefix-hash").is_some_and(|parts| parts.contains(CRASHING_PART))
}

/// Crashes when it writes a response on the part. It prefills such a prompt.
fn react(request: &ReceivedRequest) -> Reaction {
    let is_prefill = request.header("x-pitchstall-stage") == Some("prefill");
    if has_crashing_part(request) && !is_prefill {
        return Reaction::Crash {
            head: CrashHead::Chunked,
            crash_after: Duration::from_millis(20),
        };
    }
    engine_script(4)(request)
}

fn start_runners(first: usize, count: usize) -> Vec<RunnerStandIn> {
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), react).unwrap();
    (first..first + count).map(start).collect()
}

/// A node with runners that decode, and at most one that prefills.
fn node_with(decode: &[RunnerStandIn], prefill: Option<&RunnerStandIn>) -> Fixture {
    let node = Fixture::start_with("retry_slack = 400.0\n");
    node.store.put("op/config", &configuration(3));
    decode.iter().for_each(|runner| node.add_runner(runner, "llm", Some("decode")));
    prefill.iter().for_each(|runner| node.add_runner(runner, "llm", Some("prefill")));
    node.wait_until_ready();
    node
}

/// Sends a request with these parts in its prompt and one part of its own. No two requests are alike.
fn send(node: &Fixture, number: usize, parts: &str) -> RawResponse {
    let mut client = node.client();
    let headers = format!(
        "X-Pitchstall-Token-Count: 900,80\r\nX-Pitchstall-Prefix-Hash: {parts},{number:x}f:100\r\n\
         X-Pitchstall-Deadline-Ms: 3000\r\n"
    );
    let id = format!("id-{number}");
    client.request("POST", "/summary/1", &id, &headers, id.as_bytes());
    client.read_response()
}

fn send_crashing(node: &Fixture, number: usize) -> RawResponse {
    send(node, number, &format!("a1:600,{CRASHING_PART}:200"))
}

fn crashes(runners: &[RunnerStandIn]) -> usize {
    runners.iter().filter(|runner| runner.is_terminated()).count()
}

fn arrivals(runners: &[RunnerStandIn]) -> usize {
    runners.iter().flat_map(RunnerStandIn::requests).filter(has_crashing_part).count()
}

/// Waits until all nodes know of a crash.
fn wait_for_messages() {
    std::thread::sleep(Duration::from_millis(300));
}

/// Sends requests with the crashing part one after the other. Only a few of them may crash runners.
fn send_crashing_requests(node: &Fixture, runners: &[RunnerStandIn]) {
    for number in 0..REQUESTS {
        send_crashing(node, number);
        wait_for_messages();
    }
    assert!(crashes(runners) <= MAX_CRASHES, "{} runners crashed", crashes(runners));
}

#[test]
fn requests_with_a_part_that_has_crashed_three_runners_reach_no_other() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    let other = node.start_peer("node-2");
    other.wait_until_ready();
    wait_for_messages();
    for number in 0..REQUESTS {
        send_crashing(if number % 2 == 0 { &node } else { &other }, number);
        wait_for_messages();
    }
    assert!(crashes(&runners) <= MAX_CRASHES, "{} runners crashed", crashes(&runners));
    let refused = send_crashing(&other, REQUESTS);
    assert_eq!((refused.status, refused.header("retry-after")), (503, None));
}

#[test]
fn a_part_that_crashes_decode_runners_is_not_prefilled_either() {
    let prefill = start_runners(100, 1).remove(0);
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, Some(&prefill));
    send_crashing_requests(&node, &runners);
    let prefills = arrivals(std::slice::from_ref(&prefill));
    send_crashing(&node, REQUESTS);
    assert_eq!(arrivals(std::slice::from_ref(&prefill)), prefills);
}

#[test_case("a1:600"; "of the first part alone")]
#[test_case("a1:600,c3:200"; "of another second part")]
fn requests_that_share_other_parts_are_served(parts: &str) {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let statuses: Vec<u16> =
        (0..REQUESTS).map(|number| send(&node, 100 + number, parts).status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
}

#[test]
fn a_node_that_starts_later_knows_the_parts_that_crash_runners() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let later = node.start_peer("node-2");
    later.wait_until_ready();
    wait_for_messages();
    let before = arrivals(&runners);
    let refused = send_crashing(&later, REQUESTS);
    assert_eq!((refused.status, arrivals(&runners)), (503, before));
}

#[test]
fn a_part_that_no_longer_crashes_runners_after_an_operator_frees_it_is_served() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let listed: serde_json::Value =
        serde_json::from_str(&support::get(node.health, "/quarantine").text()).unwrap();
    let held = listed.as_array().unwrap().iter().find(|it| it["quarantined"] == true).unwrap();
    let identity = held["identity"].as_str().unwrap();
    let mut operator = support::RawClient::connect(node.health);
    operator.send(format!("DELETE /quarantine/{identity} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    assert_eq!(operator.read_response().status, 200);
    let before = arrivals(&runners);
    send_crashing(&node, REQUESTS);
    assert!(arrivals(&runners) > before);
}
