//! Usage reports by the node that holds the authority.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::cloud::{CloudCall, CloudStandIn};
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};
use support::{configuration, wait_for, Fixture};

const WITH_KEY: &str = "Authorization: Token right\r\n";

fn sections(cloud: &CloudStandIn) -> String {
    format!(
        "[cloud]\naddress = \"{}\"\nduties = [\"usage_report\", \"something new\"]\n\
         [cloud.usage]\nwindow_s = 1\ndue_s = 6\n",
        cloud.address()
    )
}

fn start(cloud: &CloudStandIn, runner: &RunnerStandIn) -> Fixture {
    let node = Fixture::start_with(&sections(cloud));
    configure(&node, runner);
    node
}

/// Applies a configuration with a tenant and a runner.
fn configure(node: &Fixture, runner: &RunnerStandIn) {
    let mut configuration = configuration(3);
    configuration["tenants"] = json!([{ "name": "taxis", "api_keys": ["right"] }]);
    node.store.put("op/config", &configuration);
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
}

fn desk() -> RunnerStandIn {
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    RunnerStandIn::start("i-desk", answer).unwrap()
}

fn send(node: &Fixture, requests: std::ops::Range<usize>) {
    for number in requests {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), WITH_KEY, b"x");
        assert_eq!(client.read_response().status, 200);
    }
}

/// Requests in the reports that the platform has accepted, by window.
fn reported(cloud: &CloudStandIn) -> BTreeMap<u64, u64> {
    let accepted = cloud.calls().into_iter().filter(|call| call.status == 200);
    let count = |call: &CloudCall| call.body["counts"]["taxis"].as_u64().unwrap_or(0);
    accepted.map(|call| (call.body["window_id"].as_u64().unwrap(), count(&call))).collect()
}

fn total_reported(cloud: &CloudStandIn) -> u64 {
    reported(cloud).values().sum()
}

#[test]
fn every_request_is_reported_once_with_a_fencing_token() {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    let node = start(&cloud, &runner);
    send(&node, 0..12);
    wait_for("all requests to be reported", || total_reported(&cloud) == 12);
    for call in cloud.calls() {
        assert_eq!((call.path.as_str(), call.holder.as_str()), ("/usage", "node-1"));
        assert!(call.fence > 0);
    }
    let windows: Vec<u64> =
        cloud.calls().iter().filter_map(|it| it.body["window_id"].as_u64()).collect();
    let distinct: std::collections::BTreeSet<u64> = windows.iter().copied().collect();
    assert_eq!(windows.len(), distinct.len(), "an accepted report is not sent again");
}

#[test]
fn a_rejected_report_is_sent_again_unchanged() {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    cloud.respond_next_with(429);
    let node = start(&cloud, &runner);
    send(&node, 0..3);
    wait_for("all requests to be reported", || total_reported(&cloud) == 3);
    let calls = cloud.calls();
    let refused = calls.iter().find(|call| call.status == 429).unwrap();
    let again = calls
        .iter()
        .find(|call| call.status == 200 && call.body["window_id"] == refused.body["window_id"]);
    assert_eq!(again.unwrap().body, refused.body);
}

#[test]
fn a_refused_holder_sends_nothing_more_with_its_fencing_token() {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    cloud.respond_next_with(409);
    let node = start(&cloud, &runner);
    send(&node, 0..3);
    wait_for("a refusal", || cloud.calls().iter().any(|call| call.status == 409));
    let refused = cloud.calls().iter().find(|call| call.status == 409).unwrap().fence;
    wait_for("a later term", || cloud.calls().iter().any(|call| call.fence > refused));
    let under_old = cloud.calls().iter().filter(|call| call.fence == refused).count();
    assert_eq!(under_old, 1);
}

#[test]
fn a_report_finalized_by_an_earlier_holder_is_submitted_unchanged() {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    let node = Fixture::start_with(&sections(&cloud));
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let window = since_1970.as_secs() - 1;
    let finalized = json!({ "window_id": window, "counts": { "taxis": 7 } });
    node.store.put(&format!("pitchstall/usage/{window}"), &finalized);
    configure(&node, &runner);
    send(&node, 0..2);
    wait_for("all reports", || total_reported(&cloud) == 9);
    let of_window = |call: &&CloudCall| call.body["window_id"].as_u64() == Some(window);
    assert_eq!(cloud.calls().iter().find(of_window).unwrap().body, finalized);
}

/// Guards against a first page of reports that is taken for all of them.
#[test]
fn a_report_that_an_earlier_holder_finalized_is_submitted_though_it_is_on_a_later_page() {
    const OLDER_REPORTS: u64 = 60;
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    let node = Fixture::start_with(&sections(&cloud));
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let window = since_1970.as_secs() - 1;
    for window in window - OLDER_REPORTS..=window {
        let finalized = json!({ "window_id": window, "counts": { "taxis": 7 } });
        node.store.put(&format!("pitchstall/usage/{window}"), &finalized);
    }
    configure(&node, &runner);
    wait_for("the last report", || reported(&cloud).contains_key(&window));
}

#[test]
fn a_report_is_in_the_store_before_it_is_sent() {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    let node = start(&cloud, &runner);
    send(&node, 0..2);
    wait_for("a report", || total_reported(&cloud) == 2);
    for call in cloud.calls() {
        assert!(node.store.contains(&format!("pitchstall/usage/{}", call.body["window_id"])));
    }
}
