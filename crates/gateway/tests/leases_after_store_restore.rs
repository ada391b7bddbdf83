//! What nodes hold under leases of a store that is restored from a backup.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::cloud::{CloudCall, CloudStandIn};
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{Backup, StoreMode};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{configuration, prefill_runner, wait_for, Fixture, RawClient};
use test_case::test_case;

const OUTAGE: Duration = Duration::from_millis(300);
/// Number of revisions that the store loses.
const LOST_REVISIONS: usize = 40;
const AUTHORITY: &str = "pitchstall/authority";
const NODE: &str = "pitchstall/nodes/node-1";

/// Fencing tokens of the orders that a runner has received.
fn fences(runner: &RunnerStandIn) -> Vec<u64> {
    let orders = runner.requests().into_iter().filter(|it| it.target == "/v1/order");
    let body = |order: &[u8]| serde_json::from_slice::<serde_json::Value>(order).unwrap();
    orders.map(|order| body(&order.body)["fence"].as_u64().unwrap()).collect()
}

/// A node that has acquired the authority and given orders, and a backup of the store from before.
fn holder_and_earlier_backup(runners: &[RunnerStandIn; 2]) -> (Fixture, Backup) {
    let node = Fixture::start();
    node.store.report_era(1);
    wait_for("the node to be registered", || node.store.contains(NODE));
    let backup = node.store.back_up();
    (0..LOST_REVISIONS).for_each(|number| node.store.put("other/key", &number.into()));
    write(&node, runners);
    wait_for("an order", || runners.iter().any(|runner| !fences(runner).is_empty()));
    (node, backup)
}

/// Writes the configuration and the runners' entries, as the operator and the runners do.
fn write(node: &Fixture, runners: &[RunnerStandIn; 2]) {
    node.store.put("op/config", &configuration(3));
    runners.iter().for_each(|runner| node.add_runner(runner, "llm", Some("prefill")));
}

/// Grants another holder the lease numbers that the store had already assigned.
fn grant_lease_numbers_to_another_holder(node: &Fixture) {
    const LEASES: usize = 8;
    let body = r#"{"ttl_ms":600000}"#;
    let length = body.len();
    let head = format!("POST /v1/kv-lease HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    for _ in 0..LEASES {
        let mut other = RawClient::connect(node.store.address());
        other.send((head.clone() + body).as_bytes());
        assert_eq!(other.read_response().status, 200);
    }
}

fn restore_backup(node: &Fixture, backup: &Backup) {
    node.store.set_mode(StoreMode::Unavailable);
    std::thread::sleep(OUTAGE);
    node.store.restore(backup);
    node.store.set_mode(StoreMode::Serving);
}

/// Runners refuse an order with a lower fencing token than one they have received.
#[test]
fn fencing_tokens_increase_when_the_store_reuses_revisions() {
    let runners = [prefill_runner("i-1"), prefill_runner("i-2")];
    let (node, backup) = holder_and_earlier_backup(&runners);
    let before = runners.iter().flat_map(fences).max().unwrap();
    let orders = runners.iter().flat_map(fences).count();
    restore_backup(&node, &backup);
    write(&node, &runners);
    wait_for("another order", || runners.iter().flat_map(fences).count() > orders);
    let mut after: Vec<u64> = runners.iter().flat_map(fences).collect();
    after.sort_unstable();
    assert_eq!(after.iter().filter(|fence| **fence <= before).count(), orders, "{after:?}");
}

#[test]
fn a_lease_number_reused_by_another_holder_keeps_no_authority() {
    let runners = [prefill_runner("i-1"), prefill_runner("i-2")];
    let (node, backup) = holder_and_earlier_backup(&runners);
    restore_backup(&node, &backup);
    grant_lease_numbers_to_another_holder(&node);
    write(&node, &runners);
    wait_for("the authority to be acquired again", || node.store.contains(AUTHORITY));
}

#[test]
fn a_node_registers_again_when_its_lease_number_is_reused() {
    let node = Fixture::start();
    node.store.report_era(1);
    let backup = node.store.back_up();
    wait_for("the node to be registered", || node.store.contains(NODE));
    restore_backup(&node, &backup);
    grant_lease_numbers_to_another_holder(&node);
    wait_for("the node to be registered again", || node.store.contains(NODE));
}

#[test]
fn a_quota_keeper_takes_its_lost_key_again() {
    let node = Fixture::start_with("[quota]\nwindow_s = 1\noverage = 0.1\nslack = 12\n");
    node.store.report_era(1);
    wait_for("the node to be registered", || node.store.contains(NODE));
    let backup = node.store.back_up();
    let mut limited = configuration(3);
    limited["tenants"] = serde_json::json!([
        { "name": "taxis", "api_keys": ["taxis-key"], "priority": 0, "rate_per_s": 5, "burst": 5 },
    ]);
    node.store.put("op/config", &limited);
    let is_kept = || !node.store.keys("pitchstall/quota/").is_empty();
    wait_for("a quota keeper", is_kept);
    restore_backup(&node, &backup);
    node.store.put("op/config", &limited);
    wait_for("a quota keeper again", is_kept);
}

/// This happens after an upgrade of the platform: no earlier lease is renewed.
#[test]
fn a_holder_continues_to_order_once_its_store_reports_eras() {
    const LEASE: Duration = Duration::from_secs(3);
    let runners = [prefill_runner("i-1"), prefill_runner("i-2")];
    let orders = || runners.iter().flat_map(fences).count();
    let node = Fixture::start();
    write(&node, &runners);
    wait_for("an order", || orders() > 0);
    node.store.report_era(1);
    std::thread::sleep(LEASE + OUTAGE);
    let before = orders();
    wait_for("another order", || orders() > before);
}

/// Each window is charged by the first report that is accepted.
#[test_case(1; "the collector goes on")]
#[test_case(3; "another node may be the next collector")]
fn no_window_is_reported_twice_after_the_store_loses_its_report(nodes: usize) {
    let (cloud, runner) = (CloudStandIn::start().unwrap(), desk());
    let sections = format!(
        "[cloud]\naddress = \"{}\"\nduties = [\"usage_report\"]\n\
         [cloud.usage]\nwindow_s = 1\ndue_s = 8\n",
        cloud.address()
    );
    let first = Fixture::start_with(&sections);
    first.store.report_era(1);
    let write = || {
        let mut configuration = configuration(3);
        let tenant = serde_json::json!({ "name": "taxis", "api_keys": ["right"] });
        configuration["tenants"] = serde_json::json!([tenant]);
        first.store.put("op/config", &configuration);
        first.add_runner(&runner, "desk", None);
    };
    write();
    first.wait_until_ready();
    let others: Vec<Fixture> = (1..nodes)
        .map(|number| first.start_peer_with(&format!("node-{}", number + 1), &sections))
        .collect();
    let all: Vec<&Fixture> = others.iter().chain([&first]).collect();
    all.iter().for_each(|node| node.wait_until_ready());
    let send = |id: &str| {
        for (number, node) in all.iter().enumerate() {
            let mut client = node.client();
            let key = "Authorization: Token right\r\n";
            client.request("POST", "/booking/1", &format!("{id}-{number}"), key, b"x");
            assert_eq!(client.read_response().status, 200);
        }
    };
    let windows = || -> Vec<(u64, u64)> {
        let accepted = cloud.calls().into_iter().filter(|call| call.status == 200);
        let count = |call: &CloudCall| call.body["counts"]["taxis"].as_u64().unwrap_or(0);
        accepted.map(|call| (call.body["window_id"].as_u64().unwrap(), count(&call))).collect()
    };
    let reported = || windows().into_iter().collect::<BTreeMap<u64, u64>>().values().sum::<u64>();
    let backup = first.store.back_up();
    send("before");
    wait_for("a report", || reported() == nodes as u64);
    // Requests counted later for a window that is over change nothing that was reported.
    let counted = windows();
    restore_backup(&first, &backup);
    write();
    send("after");
    wait_for("another report", || reported() == 2 * nodes as u64);
    let mut after = windows();
    after.sort_unstable();
    after.dedup();
    let distinct: BTreeMap<u64, u64> = after.iter().copied().collect();
    assert_eq!(after.len(), distinct.len(), "{counted:?} {after:?}");
}

fn desk() -> RunnerStandIn {
    let respond = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    RunnerStandIn::start("i-desk", respond).unwrap()
}
