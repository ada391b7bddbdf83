//! Orders to runners from the node that holds the authority.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::time::Duration;
use support::{configuration, json_response, prefill_runner, runner_entry, wait_for, Fixture};
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
fn a_node_gives_no_orders_while_another_node_holds_the_authority() {
    let one = prefill_runner("i-1");
    let node = Fixture::start();
    node.store.put("pitchstall/authority", &serde_json::json!("another"));
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    node.wait_until_ready();
    let reads = || {
        let calls = node.store.calls();
        calls.iter().filter(|call| call.contains("pitchstall/authority")).count()
    };
    wait_for("two reads of the authority key", || reads() >= 2);
    assert!(orders(&one).is_empty());
}

/// Adds a runner in another zone than that of the node.
fn add_runner_in(node: &Fixture, runner: &RunnerStandIn, zone: &str) {
    let entry = serde_json::json!({
        "service": "llm", "address": runner.address().to_string(), "zone": zone,
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
        "stage": "prefill",
    });
    node.store.put(&format!("servers/{}", runner.id()), &entry);
}

fn calls_containing(node: &Fixture, part: &str) -> usize {
    node.store.calls().iter().filter(|call| call.contains(part)).count()
}

#[test]
fn a_node_orders_roles_of_its_own_region_only_under_the_key_of_that_region() {
    let (one, two, remote) = (prefill_runner("i-1"), prefill_runner("i-2"), prefill_runner("i-3"));
    let node = Fixture::start_with("[node.regions]\nnorth = \"here\"\nsouth = \"there\"\n");
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    node.add_runner(&two, "llm", Some("prefill"));
    add_runner_in(&node, &remote, "south");
    node.wait_until_ready();
    wait_for("an order", || !orders(&one).is_empty() || !orders(&two).is_empty());
    assert!(node.store.contains("pitchstall/authority/roles/here"));
    assert_eq!(calls_containing(&node, "authority/roles/there"), 0);
    assert!(orders(&remote).is_empty());
}

#[test]
fn several_zones_of_one_region_have_one_authority() {
    let (one, remote) = (prefill_runner("i-1"), prefill_runner("i-2"));
    let node = Fixture::start_with("[node.regions]\nnorth = \"here\"\nsouth = \"here\"\n");
    node.store.put("op/config", &support::configuration(3));
    node.add_runner(&one, "llm", Some("prefill"));
    add_runner_in(&node, &remote, "south");
    node.wait_until_ready();
    wait_for("an order", || !orders(&one).is_empty() || !orders(&remote).is_empty());
    assert!(node.store.contains("pitchstall/authority"));
    assert_eq!(calls_containing(&node, "authority/roles"), 0);
}

/// A node with two prefill runners whose entries name an incarnation that started at 1,000 ms, and
/// which send the given load report.
fn start_with_load_report(report: &'static str) -> (Fixture, [RunnerStandIn; 2]) {
    let start = |id| {
        let script = move |request: &ReceivedRequest| match request.target.as_str() {
            "/v1/report" => json_response(report),
            "/v1/kv-list" => json_response(r#"{"epoch":"e","next_token":0,"held":[]}"#),
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

fn load_report_requests(runner: &RunnerStandIn) -> usize {
    runner.requests().iter().filter(|it| it.target == "/v1/report").count()
}

/// A restarted runner may have processed as many orders as its previous incarnation, so the order
/// number alone could match by chance. A draining runner no longer changes its role, even if its
/// entry does not show the drain yet.
#[test_case(r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":2000}"#; "another incarnation")]
#[test_case(r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":1000,"state":"draining"}"#; "draining")]
fn a_restarted_or_draining_runner_gets_no_order(report: &'static str) {
    let (_node, runners) = start_with_load_report(report);
    wait_for("both reports", || runners.iter().all(|runner| load_report_requests(runner) > 0));
    std::thread::sleep(Duration::from_millis(600));
    assert!(runners.iter().all(|runner| orders(runner).is_empty()));
    assert!(
        runners.iter().all(|runner| load_report_requests(runner) == 1),
        "the first report is accepted"
    );
}

#[test]
fn a_runner_that_reports_the_incarnation_of_its_entry_gets_an_order() {
    let report =
        r#"{"stage":"prefill","busy":false,"seq":0,"queued":0,"born":1000,"state":"ready"}"#;
    let (_node, runners) = start_with_load_report(report);
    wait_for("an order", || runners.iter().any(|runner| !orders(runner).is_empty()));
}
