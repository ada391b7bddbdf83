//! Versions that the record in the store does not name yet, and reads of the record that take long.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::proxy::Link;
use pitchstall_platform_standins::runner::{engine_script, EventStream, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use serde_json::Value;
use std::time::Duration;
use support::versions::*;
use support::{configuration, runner_entry, wait_for, Fixture, NodeAddress};
use test_case::test_case;

const PREFILL_TIME: Duration = Duration::from_millis(1_200);
/// Enough nodes for one that is not asked about a stream.
const NODES: usize = 7;

fn is_prefill(request: &ReceivedRequest) -> bool {
    request.header("x-pitchstall-stage") == Some("prefill")
}

fn slow_prefill_runner() -> RunnerStandIn {
    let script = |request: &ReceivedRequest| {
        if !is_prefill(request) {
            return engine_script(LAST_EVENT)(request);
        }
        std::thread::sleep(PREFILL_TIME);
        let body = br#"{"kv_handle":"h1","tokens":100,"version":1}"#.to_vec();
        Reaction::Respond { status: 200, body }
    };
    RunnerStandIn::start("i-prefill", script).unwrap()
}

fn decode_runner(id: &str, version: &'static str) -> RunnerStandIn {
    let script = move |request: &ReceivedRequest| {
        if !is_run(request) {
            return engine_script(LAST_EVENT)(request);
        }
        let mut events = EventStream::for_request(request, LAST_EVENT);
        events.version = Some(version);
        Reaction::Stream(events)
    };
    RunnerStandIn::start(id, script).unwrap()
}

fn add_prefill_runner(node: &Fixture, runner: &RunnerStandIn) {
    let mut entry = runner_entry(runner, "llm", "north", "ready");
    entry["stage"] = "prefill".into();
    entry["version"] = "v1".into();
    node.store.put("servers/i-prefill", &entry);
}

fn prompt(part: &str) -> String {
    format!("X-Pitchstall-Prefix-Hash: {part}:4000\r\nX-Pitchstall-Token-Count: 4000,100\r\n")
}

#[test]
fn no_stream_begins_at_a_version_that_joins_during_its_prefill() {
    let prefill_runner = slow_prefill_runner();
    let (old, new) = (decode_runner("i-old", "v1"), decode_runner("i-new", "v2"));
    let node = start_node();
    node.add_runner_of_version(&old, "v1");
    add_prefill_runner(&node, &prefill_runner);
    node.wait_until_ready();
    wait_for("streams to begin", || stream(&node, "first", &prompt("aa")).status == 200);
    let prefills = || prefill_runner.requests().iter().filter(|it| is_prefill(it)).count();
    let before = prefills();
    node.store.set_mode(StoreMode::WithoutTransactions);
    let response = std::thread::scope(|scope| {
        let asked = scope.spawn(|| stream(&node, "second", &prompt("bb")));
        wait_for("the prefill", || prefills() > before);
        node.add_runner_of_version(&new, "v2");
        node.store.remove("servers/i-old");
        asked.join().unwrap()
    });
    assert!(!response.text().contains("of v2"), "{}", response.text());
}

#[test_case(0; "without delay")]
#[test_case(150; "after 150 ms")]
#[test_case(350; "after 350 ms")]
fn a_stream_of_the_only_version_goes_on_while_the_store_is_slow(delay_ms: u64) {
    let runners = Runners::start(Interruption::Slow);
    let store = StoreStandIn::start().unwrap();
    let link = Link::start(store.address()).unwrap();
    let start = |name: &str| {
        let (store, address) = (store.clone(), link.address());
        Fixture::start_at(NodeAddress::new(), store, address, name, "", RETRY_SLACK)
    };
    let node = start("node-1");
    node.store.put("op/config", &configuration(3));
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    let others: Vec<Fixture> = (2..=NODES).map(|number| start(&format!("node-{number}"))).collect();
    others.iter().for_each(Fixture::wait_until_ready);
    for asked in [&node, &others[0]] {
        wait_for("streams to begin", || stream(asked, "first", "").status == 200);
    }
    wait_for_digests();
    link.set_delay(Duration::from_millis(delay_ms));
    let begun = begin_streams(&node);
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let take_up_one = |number: usize| {
            let peer = &others[0];
            scope.spawn(move || take_up(peer, &format!("id-{number}"), &format!("again-{number}")))
        };
        let asked: Vec<_> = (0..begun.len()).map(take_up_one).collect();
        asked.into_iter().map(|it| it.join().unwrap().status).collect()
    });
    assert_eq!(statuses, vec![200; begun.len()]);
}

#[test]
fn a_stream_that_no_node_remembers_is_refused_while_an_entry_of_the_record_cannot_be_parsed() {
    const KEY: &str = "pitchstall/crashes/versions/other";
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    wait_for("streams to begin", || stream(&node, "first", "").status == 200);
    assert_eq!(take_up(&node, "unknown-1", "before").status, 200);
    node.store.put(KEY, &serde_json::json!({ "service": "llm" }));
    assert_eq!(take_up(&node, "unknown-2", "meanwhile").status, 503);
    node.store.remove(KEY);
    assert_eq!(take_up(&node, "unknown-2", "after").status, 200);
}

/// The configuration with the route `summary` at a service that has the runners of another one.
fn summary_at(version: u64, service: &str, is_resumable: bool) -> Value {
    let mut configured = configuration(version);
    let services = configured["services"].as_array_mut().unwrap();
    let mut next = services.last().unwrap().clone();
    next["name"] = "llm-next".into();
    services.push(next);
    let summary = configured["routes"].as_array_mut().unwrap().last_mut().unwrap();
    summary["service"] = service.into();
    summary["resumable"] = is_resumable.into();
    configured
}

#[test_case(false; "that may not be resumed")]
#[test_case(true; "that may be resumed")]
fn a_stream_is_not_refused_because_its_route_is_moved_during_its_prefill(is_resumable: bool) {
    /// An entry that is older than this ends at once when no route names its service.
    const AGE_OF_ENTRY: Duration = Duration::from_millis(3_500);
    let prefill_runner = slow_prefill_runner();
    let decode = decode_runner("i-old", "v1");
    let node = start_node();
    node.store.put("op/config", &summary_at(4, "llm", is_resumable));
    node.add_runner_of_version(&decode, "v1");
    add_prefill_runner(&node, &prefill_runner);
    node.wait_until_ready();
    wait_for("streams to begin", || stream(&node, "first", &prompt("aa")).status == 200);
    std::thread::sleep(AGE_OF_ENTRY);
    let prefills = || prefill_runner.requests().iter().filter(|it| is_prefill(it)).count();
    let before = prefills();
    let response = std::thread::scope(|scope| {
        let asked = scope.spawn(|| stream(&node, "second", &prompt("bb")));
        wait_for("the prefill", || prefills() > before);
        node.store.put("op/config", &summary_at(5, "llm-next", is_resumable));
        asked.join().unwrap()
    });
    assert_eq!(response.status, 200, "{}", response.text());
}
