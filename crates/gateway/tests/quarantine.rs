//! Requests that crash the runners that execute them and are sent again.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, CrashHead, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use serde_json::Value;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{configuration, get, wait_for, Fixture};
use test_case::test_case;

const CRASHING_BODY: &[u8] = b"a request that ends runners";
const HARMLESS_BODY: &[u8] = b"a request like any other";
/// Number of crashes after which the request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Index of the arrival, from 0, that gets an error response instead of a crash.
const FAILED_ARRIVAL: usize = 2;
/// Maximum number of repetitions that reach runners after the quarantine.
const MAX_REPEATS: usize = 3;
/// Time after which all nodes know of a crash: `contact_ms` of the fixture plus a margin.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

fn engine(request: &ReceivedRequest, head: CrashHead) -> Reaction {
    if request.body == CRASHING_BODY {
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

/// A node with a configuration and these runners.
fn node_with(runners: &[RunnerStandIn], service: &str) -> Fixture {
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    for runner in runners {
        node.add_runner(runner, service, (service == "llm").then_some("decode"));
    }
    node.wait_until_ready();
    node
}

fn send_to(node: &Fixture, path: &str, id: &str, body: &[u8]) -> support::RawResponse {
    let mut client = node.client();
    client.request("POST", path, id, "X-Pitchstall-Deadline-Ms: 3000\r\n", body);
    client.read_response()
}

/// Lifts the quarantine of a request through the operator endpoint. Returns the status code.
fn lift(node: &Fixture, identity: &str) -> u16 {
    let mut client = support::RawClient::connect(node.health);
    let request = format!("DELETE /quarantine/{identity} HTTP/1.1\r\nHost: x\r\n\r\n");
    client.send(request.as_bytes());
    client.read_response().status
}

/// Number of runners that have crashed.
fn crashed_count(runners: &[RunnerStandIn]) -> usize {
    runners.iter().filter(|runner| runner.is_terminated()).count()
}

/// Number of times that the crashing request has reached a runner.
fn arrivals(runners: &[RunnerStandIn]) -> usize {
    let of = |runner: &RunnerStandIn| {
        runner.requests().iter().filter(|request| request.body == CRASHING_BODY).count()
    };
    runners.iter().map(of).sum()
}

/// Sends the crashing request to the nodes in turn until [`QUARANTINE_CRASHES`] runners have
/// crashed.
fn send_until_crashed(nodes: &[&Fixture], path: &str, runners: &[RunnerStandIn]) {
    for sent in 0..40 {
        if crashed_count(runners) >= QUARANTINE_CRASHES {
            return;
        }
        send_to(nodes[sent % nodes.len()], path, &format!("deadly-{sent}"), CRASHING_BODY);
    }
    panic!("too few stand-ins have crashed");
}

/// Keys of the entries of crashes, without the record of versions that lies under the same prefix.
fn crash_entries(store: &StoreStandIn) -> Vec<String> {
    let keys = store.keys("pitchstall/crashes/").into_iter();
    keys.filter(|key| !key.starts_with("pitchstall/crashes/versions/")).collect()
}

#[test_case("/summary/7", "llm", CrashHead::Chunked; "a stream that has started")]
#[test_case("/summary/7", "llm", CrashHead::None; "a stream without a head")]
#[test_case("/summary/7", "llm", CrashHead::Unframed; "a stream that looks complete")]
#[test_case("/lookup/7", "desk", CrashHead::None; "no stream")]
fn a_request_that_has_crashed_three_runners_reaches_few_others(
    path: &str,
    service: &str,
    head: CrashHead,
) {
    let runners = runners_of(14, head);
    let first = node_with(&runners, service);
    let second = first.start_peer("node-2");
    second.wait_until_ready();
    let nodes = [&first, &second];
    send_until_crashed(&nodes, path, &runners);
    std::thread::sleep(PROPAGATION_TIME);
    let before = arrivals(&runners);
    for repeat in 0..10 {
        send_to(nodes[repeat % 2], path, &format!("again-{repeat}"), CRASHING_BODY);
    }
    let repeats = arrivals(&runners) - before;
    assert!(repeats <= MAX_REPEATS, "the request reached runners {repeats} more times");
    assert_eq!(send_to(&first, path, "sound", HARMLESS_BODY).status, 200);
}

#[test]
fn a_quarantined_request_always_gets_503_without_retry_after() {
    let runners = runners_of(8, CrashHead::Chunked);
    let node = node_with(&runners, "llm");
    send_until_crashed(&[&node], "/summary/7", &runners);
    for repeat in 0..3 {
        let answer = send_to(&node, "/summary/7", &format!("again-{repeat}"), CRASHING_BODY);
        assert_eq!((answer.status, answer.header("retry-after")), (503, None));
    }
}

#[test]
fn a_node_that_starts_later_reads_the_quarantine_from_the_store() {
    let runners = runners_of(12, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    send_until_crashed(&[&first], "/summary/7", &runners);
    std::thread::sleep(PROPAGATION_TIME);
    let store = first.store.clone();
    first.request_stop();
    first.join();
    let later = Fixture::start_with_store(store, "node-later");
    later.wait_until_ready();
    std::thread::sleep(PROPAGATION_TIME);
    let before = arrivals(&runners);
    for repeat in 0..5 {
        assert_eq!(
            send_to(&later, "/summary/7", &format!("again-{repeat}"), CRASHING_BODY).status,
            503
        );
    }
    assert_eq!(arrivals(&runners), before);
}

#[test]
fn nodes_that_all_have_just_started_send_no_quarantined_request_before_they_know_the_crashes() {
    const REPEATS: usize = 10;
    const REPEAT_PAUSE: Duration = Duration::from_millis(100);
    let runners = runners_of(16, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    let second = first.start_peer("node-2");
    second.wait_until_ready();
    send_until_crashed(&[&first, &second], "/summary/7", &runners);
    std::thread::sleep(PROPAGATION_TIME);
    let store = first.store.clone();
    [first, second].into_iter().for_each(|node| {
        node.request_stop();
        node.join();
    });
    store.reject("crashes");
    let nodes = ["node-1", "node-2"].map(|name| Fixture::start_with_store(store.clone(), name));
    let before = arrivals(&runners);
    let mut statuses = Vec::new();
    for repeat in 0..REPEATS {
        std::thread::sleep(REPEAT_PAUSE);
        let id = format!("again-{repeat}");
        statuses.push(send_to(&nodes[repeat % 2], "/summary/7", &id, CRASHING_BODY).status);
    }
    let repeats = arrivals(&runners) - before;
    assert_eq!(repeats, 0, "the request reached runners {repeats} more times");
    assert_eq!(statuses, [503; REPEATS]);
    store.accept_all();
    for node in &nodes {
        node.wait_until_ready();
        assert_eq!(send_to(node, "/summary/7", "afterwards", CRASHING_BODY).status, 503);
        assert_eq!(send_to(node, "/summary/7", "sound", HARMLESS_BODY).status, 200);
    }
    assert_eq!(arrivals(&runners), before);
}

#[test]
fn crashes_during_a_store_outage_are_sent_to_peers_and_stored_later() {
    let runners = runners_of(12, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    let second = first.start_peer("node-2");
    second.wait_until_ready();
    first.store.set_mode(StoreMode::Unavailable);
    send_until_crashed(&[&first], "/summary/7", &runners);
    std::thread::sleep(PROPAGATION_TIME);
    assert_eq!(send_to(&second, "/summary/7", "again", CRASHING_BODY).status, 503);
    let is_written = || crash_entries(&first.store).len() >= QUARANTINE_CRASHES;
    assert!(!is_written());
    first.store.set_mode(StoreMode::Serving);
    wait_for("the crashes to be written", is_written);
}

#[test]
fn a_runner_that_only_resets_connections_has_not_crashed() {
    let resetting = |request: &ReceivedRequest| match request.body.as_slice() {
        CRASHING_BODY => Reaction::RawThenReset(Vec::new()),
        _ => engine(request, CrashHead::Chunked),
    };
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), resetting).unwrap();
    let runners: Vec<RunnerStandIn> = (0..6).map(start).collect();
    let node = node_with(&runners, "llm");
    for sent in 0..8 {
        send_to(&node, "/summary/7", &format!("lost-{sent}"), CRASHING_BODY);
    }
    let before = arrivals(&runners);
    std::thread::sleep(PROPAGATION_TIME);
    send_to(&node, "/summary/7", "again", CRASHING_BODY);
    assert!(arrivals(&runners) > before, "the request is quarantined without a crash");
    assert!(crash_entries(&node.store).is_empty());
}

#[test]
fn an_operator_lists_and_lifts_a_quarantine() {
    let runners = runners_of(8, CrashHead::Chunked);
    let node = node_with(&runners, "llm");
    send_until_crashed(&[&node], "/summary/7", &runners);
    wait_for("the quarantine", || {
        send_to(&node, "/summary/7", "again", CRASHING_BODY).status == 503
    });
    let listed: Value = serde_json::from_slice(&get(node.health, "/quarantine").body).unwrap();
    assert_eq!(listed[0]["quarantined"], true);
    let identity = listed[0]["identity"].as_str().unwrap();
    assert_eq!(lift(&node, identity), 200);
    let gone = || crash_entries(&node.store).is_empty();
    wait_for("the entries to be removed", gone);
    assert_eq!(get(node.health, "/quarantine").text(), "[]");
    assert_eq!(lift(&node, identity), 404);
}

#[test]
fn an_error_response_does_not_clear_a_request() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let script = move |request: &ReceivedRequest| {
        if request.body != CRASHING_BODY {
            return engine(request, CrashHead::None);
        }
        // One runner rejects the request without executing it, which shows nothing about its effect
        // on other runners.
        match arrivals.fetch_add(1, Ordering::SeqCst) {
            FAILED_ARRIVAL => Reaction::Respond { status: 500, body: b"failed".to_vec() },
            _ => engine(request, CrashHead::None),
        }
    };
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), script.clone()).unwrap();
    let runners: Vec<RunnerStandIn> = (0..12).map(start).collect();
    let node = node_with(&runners, "desk");
    send_until_crashed(&[&node], "/lookup/7", &runners);
    std::thread::sleep(PROPAGATION_TIME);
    for repeat in 0..4 {
        assert_eq!(
            send_to(&node, "/lookup/7", &format!("again-{repeat}"), CRASHING_BODY).status,
            503
        );
    }
    assert_eq!(crashed_count(&runners), QUARANTINE_CRASHES);
}

#[test]
fn cleared_crash_entries_are_removed_by_a_single_node() {
    let runners = runners_of(8, CrashHead::Chunked);
    let first = node_with(&runners, "llm");
    let second = first.start_peer("node-2");
    second.wait_until_ready();
    send_until_crashed(&[&first], "/summary/7", &runners);
    let entries = || crash_entries(&first.store).len();
    wait_for("the crashes to be written", || entries() >= QUARANTINE_CRASHES);
    wait_for("the crashes to spread", || get(second.health, "/quarantine").text() != "[]");
    std::thread::sleep(PROPAGATION_TIME);
    let writes = || first.store.calls().iter().filter(|call| *call == "/v1/kv-txn").count();
    let before = writes();
    let listed: Value = serde_json::from_slice(&get(first.health, "/quarantine").body).unwrap();
    lift(&first, listed[0]["identity"].as_str().unwrap());
    wait_for("the entries to be removed", || entries() == 0);
    std::thread::sleep(PROPAGATION_TIME);
    assert_eq!(writes() - before, 1);
    assert_eq!(get(second.health, "/quarantine").text(), "[]");
}
