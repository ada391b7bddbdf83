//! Runners that restart under the same name and address, as seen by clients.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, Reaction, RunnerStandIn};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use support::{configuration, get, runner_entry, wait_for, Fixture, RawResponse};
use test_case::test_case;

const NAME: &str = "i-1";
const KEY: &str = "servers/i-1";

fn answering(text: &'static str) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    move |_| Reaction::Respond { status: 200, body: text.as_bytes().to_vec() }
}

fn entry(runner: &RunnerStandIn, born: &Value, state: &str) -> Value {
    let mut entry = runner_entry(runner, "desk", "north", state);
    entry["born"] = born.clone();
    entry
}

fn send(node: &Fixture, method: &str, path: &str, id: &str) -> RawResponse {
    let mut client = node.client();
    client.request(method, path, id, "", b"x");
    client.read_response()
}

/// Sends a request and waits until the runner has received it; the response is still pending.
fn start_pending_request(
    node: &Fixture,
    runner: &RunnerStandIn,
    method: &'static str,
    path: &'static str,
) -> JoinHandle<RawResponse> {
    let mut client = node.client();
    let waiting = std::thread::spawn(move || {
        client.request(method, path, "id-waiting", "", b"x");
        client.read_response()
    });
    wait_for("the runner to receive the request", || !runner.requests().is_empty());
    waiting
}

/// A node and a runner in its first incarnation.
fn node_with(runner: &RunnerStandIn) -> Fixture {
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    node.store.put(KEY, &entry(runner, &json!(1_000), "ready"));
    node.wait_until_ready();
    node
}

/// No node notices the restart as a gap, since the registry entry existed all the time.
#[test]
fn a_restarted_runner_serves_on_new_connections() {
    let first = RunnerStandIn::start(NAME, answering("first")).unwrap();
    let node = node_with(&first);
    assert_eq!(send(&node, "POST", "/booking/1", "id-1").text(), "first");
    first.crash();
    let second = first.restart(answering("second")).unwrap();
    node.store.put(KEY, &entry(&second, &json!(2_000), "ready"));
    wait_for("the restarted runner", || send(&node, "GET", "/lookup/1", "id-2").text() == "second");
    for number in 0..4 {
        let answer = send(&node, "POST", "/booking/1", &format!("id-{}", 3 + number));
        assert_eq!(answer.text(), "second");
    }
}

/// The previous incarnation was draining when it crashed; the new one is not.
#[test]
fn a_new_incarnation_does_not_inherit_the_draining_of_the_previous_one() {
    let first = RunnerStandIn::start(NAME, answering("first")).unwrap();
    let node = node_with(&first);
    node.store.put(KEY, &entry(&first, &json!(1_000), "draining"));
    wait_for("the drain to begin", || send(&node, "GET", "/lookup/1", "id-1").status == 503);
    first.crash();
    let second = first.restart(answering("second")).unwrap();
    node.store.put(KEY, &entry(&second, &json!(2_000), "ready"));
    wait_for("the restarted runner", || send(&node, "GET", "/lookup/1", "id-2").text() == "second");
}

/// A request that must not be repeated may have run when its incarnation crashed, so it is not sent
/// to the next one.
#[test]
fn a_non_repeatable_request_is_not_sent_to_the_next_incarnation() {
    let hold = |_: &ReceivedRequest| Reaction::Silent;
    let first = RunnerStandIn::start(NAME, hold).unwrap();
    let node = node_with(&first);
    let waiting = start_pending_request(&node, &first, "POST", "/booking/1");
    first.crash();
    let second = first.restart(answering("second")).unwrap();
    node.store.put(KEY, &entry(&second, &json!(2_000), "ready"));
    let answer = waiting.join().unwrap();
    assert_eq!(answer.status, 502, "a request that may have run must not be refused");
    assert!(second.requests().is_empty());
}

/// A repeatable request is sent to the next incarnation. The stand-in stays up so that no
/// connection is refused: it resets the connection of the first incarnation's request and answers
/// those of the next one.
#[test]
fn a_repeatable_request_is_sent_to_the_next_incarnation() {
    let has_restarted = Arc::new(AtomicBool::new(false));
    let has_restarted_now = has_restarted.clone();
    let runner = RunnerStandIn::start(NAME, move |_: &ReceivedRequest| {
        if has_restarted_now.load(Ordering::SeqCst) {
            return Reaction::Respond { status: 200, body: b"second".to_vec() };
        }
        while !has_restarted_now.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        Reaction::RawThenReset(Vec::new())
    })
    .unwrap();
    let node = node_with(&runner);
    let waiting = start_pending_request(&node, &runner, "GET", "/lookup/1");
    node.store.put(KEY, &entry(&runner, &json!(2_000), "ready"));
    std::thread::sleep(Duration::from_millis(100));
    has_restarted.store(true, Ordering::SeqCst);
    let answer = waiting.join().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "second"));
    assert_eq!(runner.requests().len(), 2);
}

/// Entries of another writer, next to entries that contain a valid start time.
#[test_case(json!(null); "null")]
#[test_case(json!(-5); "negative")]
#[test_case(json!("1000"); "string")]
#[test_case(json!(1000.5); "fraction")]
#[test_case(json!([1000]); "list")]
fn an_entry_with_an_invalid_start_time_is_refused(born: Value) {
    let runner = RunnerStandIn::start(NAME, answering("right")).unwrap();
    let node = node_with(&runner);
    let other = RunnerStandIn::start("i-2", answering("wrong")).unwrap();
    node.store.put("servers/i-2", &entry(&other, &born, "ready"));
    let mut without = entry(&other, &born, "ready");
    without.as_object_mut().unwrap().remove("born");
    node.store.put("servers/i-3", &without);
    let refused = "pitchstall_entries_refused_total{subject=\"runners\"} 2";
    wait_for("both refusals", || get(node.health, "/metrics").text().contains(refused));
    for number in 0..8 {
        assert_eq!(send(&node, "GET", "/lookup/1", &format!("id-{number}")).text(), "right");
    }
}

/// A response reports a later incarnation than the registry entry. The node discards its view of
/// the known incarnation and sends the runner nothing until the entry contains the new one.
#[test]
fn a_response_of_another_incarnation_resets_the_view_of_the_known_one() {
    const NEXT: u64 = 2_000;
    let prefill = format!("{{\"kv_handle\":\"h1\",\"tokens\":100,\"version\":1,\"born\":{NEXT}}}");
    let prefill_runner = RunnerStandIn::start("i-reader", move |request: &ReceivedRequest| {
        match request.header("x-pitchstall-stage") {
            Some(_) => Reaction::Respond { status: 200, body: prefill.clone().into_bytes() },
            None => Reaction::Respond { status: 200, body: Vec::new() },
        }
    })
    .unwrap();
    let decode_runner = RunnerStandIn::start("i-writer", engine_script(3)).unwrap();
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    let register = |runner: &RunnerStandIn, stage: &str, born: u64| {
        let mut entry = runner_entry(runner, "llm", "north", "ready");
        entry["stage"] = stage.into();
        entry["born"] = born.into();
        node.store.put(&format!("servers/{}", runner.id()), &entry);
    };
    register(&prefill_runner, "prefill", 1_000);
    register(&decode_runner, "decode", 1_000);
    node.wait_until_ready();
    // Each prompt is different, so no runner holds a shared prefix of it.
    let prompts_sent = std::cell::Cell::new(0);
    let send_new_prompt = || {
        let number = prompts_sent.replace(prompts_sent.get() + 1);
        let prompt = format!(
            "X-Pitchstall-Token-Count: 60000,10\r\n\
             X-Pitchstall-Prefix-Hash: a{number}:50000,b{number}:10000\r\n"
        );
        let mut client = node.client();
        client.request("POST", "/summary/1", &format!("id-{number}"), &prompt, b"x");
        assert_eq!(client.read_response().status, 200);
        let is_prefill = |request: &ReceivedRequest| request.header("x-pitchstall-stage").is_some();
        prefill_runner.requests().iter().filter(|request| is_prefill(request)).count()
    };
    assert_eq!(send_new_prompt(), 1);
    assert_eq!(send_new_prompt(), 1, "no prompts before the entry is updated");
    register(&prefill_runner, "prefill", NEXT);
    wait_for("the new incarnation to receive prompts", || send_new_prompt() > 1);
}
