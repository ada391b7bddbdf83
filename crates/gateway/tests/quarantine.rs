//! Requests that end the runners that run them, and come again.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, CrashHead, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreMode;
use serde_json::Value;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{configuration, get, wait_for, Fixture};
use test_case::test_case;

const DEADLY: &[u8] = b"a request that ends runners";
const SOUND: &[u8] = b"a request like any other";
/// Ends of runners under a request after which it may be repeated but a few times.
const ENDS: usize = 3;
/// The arrival, from 0, that a runner fails instead.
const FAILED_ARRIVAL: usize = 2;
/// Repeats that may reach runners from then on.
const REPEATS: usize = 3;
/// `contact_ms` of the fixture, and some more.
const HEARD: Duration = Duration::from_millis(1_500);

fn engine(request: &ReceivedRequest, head: CrashHead) -> Reaction {
    if request.body == DEADLY {
        return Reaction::Crash { head, crash_after: Duration::from_millis(20) };
    }
    if request.path().starts_with("/lookup/") {
        return Reaction::Respond { status: 200, body: b"found".to_vec() };
    }
    engine_script(4)(request)
}

fn runners_of(count: usize, head: CrashHead) -> Vec<RunnerStandIn> {
    let script = move |request: &ReceivedRequest| engine(request, head);
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), script).unwrap();
    (0..count).map(start).collect()
}

/// A node before a store with a configuration and these runners.
fn node_with(runners: &[RunnerStandIn], service: &str) -> Fixture {
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    for runner in runners {
        node.add_runner(runner, service, (service == "llm").then_some("decode"));
    }
    node.wait_until_ready();
    node
}

fn send_to(node: &Fixture, path: &str, id: &str, body: &[u8]) -> support::RawAnswer {
    let mut client = node.client();
    client.request("POST", path, id, "X-Pitchstall-Deadline-Ms: 3000\r\n", body);
    client.read_answer()
}

/// Takes a request out of quarantine as an operator does; returns the status.
fn lift(node: &Fixture, identity: &str) -> u16 {
    let mut client = support::RawClient::connect(node.health);
    let request = format!("DELETE /quarantine/{identity} HTTP/1.1\r\nHost: x\r\n\r\n");
    client.send(request.as_bytes());
    client.read_answer().status
}

/// Runners that have ended.
fn ended(runners: &[RunnerStandIn]) -> usize {
    runners.iter().filter(|runner| runner.is_terminated()).count()
}

/// Times that the deadly request has reached a runner.
fn arrivals(runners: &[RunnerStandIn]) -> usize {
    let of = |runner: &RunnerStandIn| {
        runner.requests().iter().filter(|request| request.body == DEADLY).count()
    };
    runners.iter().map(of).sum()
}

/// Sends the deadly request to the nodes in turn until enough runners have ended under it.
fn send_until_ended(nodes: &[&Fixture], path: &str, runners: &[RunnerStandIn]) {
    for sent in 0..40 {
        if ended(runners) >= ENDS {
            return;
        }
        send_to(nodes[sent % nodes.len()], path, &format!("deadly-{sent}"), DEADLY);
    }
    panic!("the stand-ins do not end");
}

#[test_case("/summary/7", "llm", CrashHead::Chunked; "a stream that has begun to run")]
#[test_case("/summary/7", "llm", CrashHead::None; "a stream without a head")]
#[test_case("/summary/7", "llm", CrashHead::Unframed; "a stream that seems to be whole")]
#[test_case("/lookup/7", "desk", CrashHead::None; "no stream")]
fn a_request_that_has_ended_three_runners_reaches_hardly_any_more(
    path: &str,
    service: &str,
    head: CrashHead,
) {
    let runners = runners_of(14, head);
    let first = node_with(&runners, service);
    let second = first.start_beside("node-2");
    second.wait_until_ready();
    let nodes = [&first, &second];
    send_until_ended(&nodes, path, &runners);
    std::thread::sleep(HEARD);
    let before = arrivals(&runners);
    for repeat in 0..10 {
        send_to(nodes[repeat % 2], path, &format!("again-{repeat}"), DEADLY);
    }
    let repeats = arrivals(&runners) - before;
    assert!(repeats <= REPEATS, "it reached runners {repeats} times more");
    assert_eq!(send_to(&first, path, "sound", SOUND).status, 200);
}

#[test]
fn what_is_told_is_final_and_the_same_each_time() {
    let runners = runners_of(8, CrashHead::Chunked);
    let node = node_with(&runners, "llm");
    send_until_ended(&[&node], "/summary/7", &runners);
    for repeat in 0..3 {
        let answer = send_to(&node, "/summary/7", &format!("again-{repeat}"), DEADLY);
        assert_eq!((answer.status, answer.header("retry-after")), (503, None));
    }
}

#[test]
fn a_node_that_starts_later_knows_it_from_the_store() {
    let runners = runners_of(12, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    send_until_ended(&[&first], "/summary/7", &runners);
    std::thread::sleep(HEARD);
    let store = first.store.clone();
    first.request_stop();
    first.join();
    let later = Fixture::start_before(store, "node-later");
    later.wait_until_ready();
    std::thread::sleep(HEARD);
    let before = arrivals(&runners);
    for repeat in 0..5 {
        assert_eq!(send_to(&later, "/summary/7", &format!("again-{repeat}"), DEADLY).status, 503);
    }
    assert_eq!(arrivals(&runners), before);
}

#[test]
fn ends_while_the_store_is_away_are_told_by_words_and_written_later() {
    let runners = runners_of(12, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    let second = first.start_beside("node-2");
    second.wait_until_ready();
    first.store.set_mode(StoreMode::Unavailable);
    send_until_ended(&[&first], "/summary/7", &runners);
    std::thread::sleep(HEARD);
    assert_eq!(send_to(&second, "/summary/7", "again", DEADLY).status, 503);
    let is_written = || first.store.keys("pitchstall/crashes/").len() >= ENDS;
    assert!(!is_written());
    first.store.set_mode(StoreMode::Serving);
    wait_for("the ends to be written", is_written);
}

#[test]
fn a_runner_that_only_lost_answers_has_not_ended() {
    let losing = |request: &ReceivedRequest| match request.body.as_slice() {
        DEADLY => Reaction::RawThenReset(Vec::new()),
        _ => engine(request, CrashHead::Chunked),
    };
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), losing).unwrap();
    let runners: Vec<RunnerStandIn> = (0..6).map(start).collect();
    let node = node_with(&runners, "llm");
    for sent in 0..8 {
        send_to(&node, "/summary/7", &format!("lost-{sent}"), DEADLY);
    }
    let before = arrivals(&runners);
    std::thread::sleep(HEARD);
    send_to(&node, "/summary/7", "again", DEADLY);
    assert!(arrivals(&runners) > before, "it is taken for one that ends runners");
    assert!(node.store.keys("pitchstall/crashes/").is_empty());
}

#[test]
fn an_operator_sees_and_lifts_a_quarantine() {
    let runners = runners_of(8, CrashHead::Chunked);
    let node = node_with(&runners, "llm");
    send_until_ended(&[&node], "/summary/7", &runners);
    wait_for("the quarantine", || send_to(&node, "/summary/7", "again", DEADLY).status == 503);
    let listed: Value = serde_json::from_slice(&get(node.health, "/quarantine").body).unwrap();
    assert_eq!(listed[0]["quarantined"], true);
    let identity = listed[0]["identity"].as_str().unwrap();
    assert_eq!(lift(&node, identity), 200);
    let gone = || node.store.keys("pitchstall/crashes/").is_empty();
    wait_for("the entries to be removed", gone);
    assert_eq!(get(node.health, "/quarantine").text(), "[]");
    assert_eq!(lift(&node, identity), 404);
}

#[test]
fn a_failure_that_a_runner_answers_clears_no_request() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let script = move |request: &ReceivedRequest| {
        if request.body != DEADLY {
            return engine(request, CrashHead::None);
        }
        // One runner fails it without running it: that tells nothing of what it does to others.
        match arrivals.fetch_add(1, Ordering::SeqCst) {
            FAILED_ARRIVAL => Reaction::Respond { status: 500, body: b"failed".to_vec() },
            _ => engine(request, CrashHead::None),
        }
    };
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), script.clone()).unwrap();
    let runners: Vec<RunnerStandIn> = (0..12).map(start).collect();
    let node = node_with(&runners, "desk");
    send_until_ended(&[&node], "/lookup/7", &runners);
    std::thread::sleep(HEARD);
    for repeat in 0..4 {
        assert_eq!(send_to(&node, "/lookup/7", &format!("again-{repeat}"), DEADLY).status, 503);
    }
    assert_eq!(ended(&runners), ENDS);
}

#[test]
fn what_one_node_clears_one_node_removes() {
    let runners = runners_of(8, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    let second = first.start_beside("node-2");
    second.wait_until_ready();
    send_until_ended(&[&first], "/summary/7", &runners);
    let entries = || first.store.keys("pitchstall/crashes/").len();
    wait_for("the crashes to be written", || entries() >= ENDS);
    wait_for("the other node to know", || get(second.health, "/quarantine").text() != "[]");
    std::thread::sleep(HEARD);
    let writes = || first.store.calls().iter().filter(|call| *call == "/v1/kv-txn").count();
    let before = writes();
    let listed: Value = serde_json::from_slice(&get(first.health, "/quarantine").body).unwrap();
    lift(&first, listed[0]["identity"].as_str().unwrap());
    wait_for("the entries to be removed", || entries() == 0);
    std::thread::sleep(HEARD);
    assert_eq!(writes() - before, 1);
    assert_eq!(get(second.health, "/quarantine").text(), "[]");
}
