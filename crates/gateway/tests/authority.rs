//! Orders to runners, given by the node that holds the authority.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use support::{wait_for, Fixture};

fn json(text: &str) -> Reaction {
    Reaction::Answer { status: 200, body: text.as_bytes().to_vec() }
}

/// A prefill runner that takes orders and tells that it has taken three before.
fn prefill(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| match request.target.as_str() {
        "/v1/report" => json(r#"{"stage":"prefill","busy":false,"seq":3,"queued":0}"#),
        "/v1/kv-list" => json(r#"{"epoch":"e","next_token":0,"held":[]}"#),
        _ => Reaction::Answer { status: 202, body: Vec::new() },
    })
    .unwrap()
}

fn orders(runner: &RunnerStandIn) -> Vec<ReceivedRequest> {
    runner.requests().into_iter().filter(|it| it.target == "/v1/order").collect()
}

#[test]
fn a_fleet_without_decode_runners_gets_one_by_a_fenced_order() {
    let (one, two) = (prefill("i-1"), prefill("i-2"));
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
    let one = prefill("i-1");
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
