//! Orders to runners, given by the node that holds the authority.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::time::Duration;
use support::{configuration, json_answer, prefill_runner, runner_entry, wait_for, Fixture};
use test_case::test_case;

fn orders(runner: &RunnerStandIn) -> Vec<ReceivedRequest> {
    runner.requests().into_iter().filter(|it| it.target == "/v1/order").collect()
}

#[test]
fn a_fleet_without_decode_runners_gets_one_by_a_fenced_order() {
    let (one, two) = (prefill_runner("i-1"), prefill_runner("i-2"));
    let runners = [(&one, "llm", Some("prefill")), (&two, "llm", Some("prefill"))];
    let node = Fixture::with_runners(&runners);
    wait_for("an order", || !orders(&one).is_empty() || !orders(&two).is_empty());
    let runner = if orders(&one).is_empty() { &two } else { &one };
    let order = &orders(runner)[0];
    assert_eq!(order.header("x-pitchstall-expect-instance"), Some(runner.id()));
    let body: serde_json::Value = serde_json::from_slice(&order.body).unwrap();
    assert_eq!(body["op"], "stage");
    assert_eq!(body["stage"], "decode");
    assert_eq!(body["holder"], "node-1");
    assert_eq!(body["expected_rev"], 3);
    assert!(body["fence"].as_u64().unwrap() > 0);
    assert!(node.store.contains("pitchstall/authority"));
    assert_eq!(orders(&one).len() + orders(&two).len(), 1, "one change at a time");
}

#[test]
fn a_node_gives_no_orders_while_another_has_the_authority() {
    let one = prefill_runner("i-1");
    let node = Fixture::start();
    node.store.put("pitchstall/authority", &serde_json::json!("another"));
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    node.wait_until_ready();
    let looks = || {
        let calls = node.store.calls();
        calls.iter().filter(|call| call.contains("pitchstall/authority")).count()
    };
    wait_for("two looks at the authority", || looks() >= 2);
    assert!(orders(&one).is_empty());
}

/// A runner of a zone that is not the node's.
fn add_runner_in(node: &Fixture, runner: &RunnerStandIn, zone: &str) {
    let entry = serde_json::json!({
        "service": "llm", "address": runner.address().to_string(), "zone": zone,
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
        "stage": "prefill",
    });
    node.store.put(&format!("servers/{}", runner.id()), &entry);
}

fn calls_with(node: &Fixture, part: &str) -> usize {
    node.store.calls().iter().filter(|call| call.contains(part)).count()
}

#[test]
fn roles_of_a_region_are_ordered_under_its_own_key_and_those_of_another_are_left() {
    let (one, two, far) = (prefill_runner("i-1"), prefill_runner("i-2"), prefill_runner("i-3"));
    let node = Fixture::start_with("[node.regions]\nnorth = \"here\"\nsouth = \"there\"\n");
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    node.add_runner(&two, "llm", Some("prefill"));
    add_runner_in(&node, &far, "south");
    node.wait_until_ready();
    wait_for("an order", || !orders(&one).is_empty() || !orders(&two).is_empty());
    assert!(node.store.contains("pitchstall/authority/roles/here"));
    assert_eq!(calls_with(&node, "authority/roles/there"), 0);
    assert!(orders(&far).is_empty());
}

#[test]
fn several_zones_of_one_region_have_one_authority() {
    let (one, far) = (prefill_runner("i-1"), prefill_runner("i-2"));
    let node = Fixture::start_with("[node.regions]\nnorth = \"here\"\nsouth = \"here\"\n");
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    add_runner_in(&node, &far, "south");
    node.wait_until_ready();
    wait_for("an order", || !orders(&one).is_empty() || !orders(&far).is_empty());
    assert!(node.store.contains("pitchstall/authority"));
    assert_eq!(calls_with(&node, "authority/roles"), 0);
}

/// Two prefill runners whose entries tell when they began; both have started again since, or say that they leave.
fn node_with_reports(report: &'static str) -> (Fixture, [RunnerStandIn; 2]) {
    let start = |id| {
        let script = move |request: &ReceivedRequest| match request.target.as_str() {
            "/v1/report" => json_answer(report),
            "/v1/kv-list" => json_answer(r#"{"epoch":"e","next_token":0,"held":[]}"#),
            _ => Reaction::Respond { status: 202, body: Vec::new() },
        };
        RunnerStandIn::start(id, script).unwrap()
    };
    let runners = ["i-1", "i-2"].map(start);
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    for runner in &runners {
        let mut entry = runner_entry(runner, "llm", "north", "ready");
        entry["stage"] = "prefill".into();
        entry["born"] = 1_000.into();
        node.store.put(&format!("servers/{}", runner.id()), &entry);
    }
    node.wait_until_ready();
    (node, runners)
}

fn reports(runner: &RunnerStandIn) -> usize {
    runner.requests().iter().filter(|it| it.target == "/v1/report").count()
}

/// It has started again, and has taken as many orders as its life before: the number alone would hold by chance. A
/// runner that leaves changes no role any more, though its entry does not say so yet.
#[test_case(r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":2000}"#; "another life")]
#[test_case(r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":1000,"state":"draining"}"#; "leaving")]
fn a_runner_that_reports_so_gets_no_order(report: &'static str) {
    let (_node, runners) = node_with_reports(report);
    wait_for("both to be asked", || runners.iter().all(|runner| reports(runner) > 0));
    std::thread::sleep(Duration::from_millis(600));
    assert!(runners.iter().all(|runner| orders(runner).is_empty()));
    assert!(runners.iter().all(|runner| reports(runner) == 1), "it is believed at once");
}

#[test]
fn a_runner_that_reports_the_life_of_its_entry_gets_its_order() {
    let report =
        r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":1000,"state":"ready"}"#;
    let (_node, runners) = node_with_reports(report);
    wait_for("an order", || runners.iter().any(|runner| !orders(runner).is_empty()));
}
