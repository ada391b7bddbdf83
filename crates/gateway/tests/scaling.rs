//! Runner orders by the node that holds the authority.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::cloud::{CloudCall, CloudStandIn};
use serde_json::json;
use std::time::Duration;
use support::{configuration, wait_for, Fixture};

const ZONES: [&str; 3] = ["a", "b", "c"];
const RUNNERS_PER_ZONE: usize = 4;

/// A node and runners in three zones where more can be ordered.
fn start(cloud: &CloudStandIn, sections: &str) -> Fixture {
    let sections =
        format!("[cloud]\naddress = \"{}\"\nduties = [\"autoscale\"]\n{sections}", cloud.address());
    let node = Fixture::start_with(&sections);
    let mut configuration = configuration(3);
    configuration["services"][1]["scaling"] = json!({
        "min_replicas": 1, "max_replicas": 20, "boot_s": 1.0, "spot_price": 0.2,
        "zone_prices": { "a": 1.0, "b": 1.0, "c": 1.0 },
    });
    node.store.put("op/config", &configuration);
    for zone in ZONES {
        for number in 0..RUNNERS_PER_ZONE {
            let entry = json!({
                "service": "llm", "address": "127.0.0.1:9", "zone": zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "decode", "seq": 1,
            });
            node.store.put(&format!("servers/i-{zone}-{number}"), &entry);
        }
    }
    node.wait_until_ready();
    node
}

fn orders(cloud: &CloudStandIn) -> Vec<CloudCall> {
    cloud.calls().into_iter().filter(|call| call.path == "/scale").collect()
}

#[test]
fn preemptible_runners_are_ordered_in_each_zone_and_none_released_before_they_serve() {
    let cloud = CloudStandIn::start().unwrap();
    let node = start(&cloud, "");
    wait_for("an order for each zone", || orders(&cloud).len() >= ZONES.len());
    wait_for("the recorded need", || node.store.contains("pitchstall/capacity/llm"));
    std::thread::sleep(Duration::from_millis(600));
    for order in orders(&cloud) {
        assert_eq!((order.holder.as_str(), &order.body["service"]), ("node-1", &json!("llm")));
        assert!(order.fence > 0);
        assert_eq!(order.body["preemptible"], true);
        // Twelve runners are needed even if one zone is lost, so each order is for at least five.
        assert!(order.body["replicas"].as_u64().unwrap() >= 5, "{}", order.body);
    }
}

#[test]
fn an_order_for_an_exhausted_zone_is_retried_within_the_same_term() {
    let cloud = CloudStandIn::start().unwrap();
    cloud.respond_next_with(409);
    let _node = start(&cloud, "");
    let refused = || orders(&cloud).into_iter().find(|order| order.status == 409);
    wait_for("a refused order", || refused().is_some());
    let zone = refused().unwrap().body["zone"].clone();
    let is_retry = |order: &CloudCall| order.status == 200 && order.body["zone"] == zone;
    wait_for("the order for the zone to be retried", || orders(&cloud).iter().any(is_retry));
    let fences: Vec<u64> = orders(&cloud).iter().map(|order| order.fence).collect();
    assert!(
        fences.windows(2).all(|pair| pair[0] == pair[1]),
        "fencing tokens of several terms: {fences:?}"
    );
}

#[test]
fn nothing_is_ordered_if_preemptible_runners_are_disabled() {
    let cloud = CloudStandIn::start().unwrap();
    let node = start(&cloud, "[capacity]\npreemptible = false\n");
    wait_for("the recorded need", || node.store.contains("pitchstall/capacity/llm"));
    std::thread::sleep(Duration::from_millis(600));
    assert!(orders(&cloud).is_empty());
}
