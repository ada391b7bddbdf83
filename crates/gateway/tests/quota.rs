//! Limits of tenants over several nodes: which requests are served or refused, and what happens if
//! no keeper can be reached.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreMode;
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use support::{configuration, get, wait_for, Fixture, RawResponse};

/// Authorization headers of two tenants: the first one has a limit, the second has none.
const TAXIS: &str = "Authorization: Token taxis-key\r\n";
const BUSES: &str = "Authorization: Token buses-key\r\n";
/// Windows of one second, with some slack above the limit.
const QUOTA: &str = "[quota]\nwindow_s = 1\noverage = 0.1\nslack = 12\n";

fn desk() -> RunnerStandIn {
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    RunnerStandIn::start("i-desk", answer).unwrap()
}

/// A configuration with two tenants, the first of which has these additional fields.
fn configuration_with_limit(version: u64, fields: &Value) -> Value {
    let mut taxis = json!({ "name": "taxis", "api_keys": ["taxis-key"], "priority": 0 });
    for (name, value) in fields.as_object().unwrap() {
        taxis[name] = value.clone();
    }
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([taxis, { "name": "buses", "api_keys": ["buses-key"] }]);
    configuration
}

/// A node with one runner, whose first tenant has these additional fields.
fn node_with(runner: &RunnerStandIn, fields: &Value) -> Fixture {
    let node = Fixture::start_with(QUOTA);
    node.store.put("op/config", &configuration_with_limit(3, fields));
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
    node
}

/// Starts another node with the same store and settings.
fn start_second_node(node: &Fixture, name: &str) -> Fixture {
    let other = node.start_peer_with(name, QUOTA);
    other.wait_until_ready();
    other
}

fn send(node: &Fixture, key: &str, number: usize) -> RawResponse {
    let mut client = node.client();
    client.request("POST", "/booking/1", &format!("id-{number}"), key, b"x");
    client.read_response()
}

/// Sends requests in sequence, to the nodes in turn, for the given duration. Returns how many got
/// status 200, 429 and any other.
fn send_for(nodes: &[&Fixture], key: &str, duration: Duration) -> (usize, usize, usize) {
    let end = Instant::now() + duration;
    let (mut served, mut refused, mut other) = (0, 0, 0);
    for (number, node) in nodes.iter().cycle().enumerate() {
        match send(node, key, number).status {
            200 => served += 1,
            429 => refused += 1,
            _ => other += 1,
        }
        if Instant::now() >= end {
            break;
        }
    }
    (served, refused, other)
}

fn report(node: &Fixture) -> Value {
    serde_json::from_slice(&get(node.health, "/quota").body).unwrap()
}

/// Waits until a node knows the holders of all keepers.
fn wait_for_keepers(node: &Fixture) {
    wait_for("keepers", || report(node)["keepers"].as_array().unwrap().len() == 2);
}

fn held_keeper_count(node: &Fixture) -> usize {
    report(node)["held"].as_array().unwrap().len()
}

#[test]
fn a_tenant_over_its_limit_gets_429_with_retry_after_and_others_are_served() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    let mut refused = None;
    for number in 0..200 {
        let answer = send(&node, TAXIS, number);
        assert!(matches!(answer.status, 200 | 429), "{}", answer.status);
        if answer.status == 429 {
            refused = Some(answer);
            break;
        }
    }
    let retry_after = refused.unwrap().header("retry-after").unwrap().parse::<f64>().unwrap();
    assert!(retry_after > 0.0 && retry_after < 10.0, "{retry_after}");
    for number in 0..50 {
        assert_eq!(send(&node, BUSES, 1_000 + number).status, 200);
    }
}

#[test]
fn a_refused_request_is_served_after_the_retry_after_time() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    let refused = (0..200).map(|number| send(&node, TAXIS, number)).find(|it| it.status == 429);
    let retry_after: f64 = refused.unwrap().header("retry-after").unwrap().parse().unwrap();
    std::thread::sleep(Duration::from_secs_f64(retry_after));
    assert_eq!(send(&node, TAXIS, 1_000).status, 200);
}

#[test]
fn a_limit_holds_over_two_nodes() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 20, "burst": 20 }));
    let other = start_second_node(&node, "node-2");
    wait_for_keepers(&node);
    wait_for_keepers(&other);
    let duration = Duration::from_secs(4);
    let (served, refused, failed) = send_for(&[&node, &other], TAXIS, duration);
    // The maximum that the limits allow in one window, for four windows.
    let max_served = (f64::from(20 + 20) * 1.1 + 12.0) * 4.0;
    assert!((served as f64) <= max_served, "{served}");
    assert!(served >= 60, "{served} of at least 80 below the limit");
    assert!(refused > 0);
    assert_eq!(failed, 0);
    assert_eq!(runner.requests().iter().filter(|it| it.target == "/booking/1").count(), served);
}

#[test]
fn without_limits_no_node_becomes_a_keeper_or_accesses_keeper_keys() {
    let runner = desk();
    let node = node_with(&runner, &json!({}));
    for number in 0..20 {
        assert_eq!(send(&node, TAXIS, number).status, 200);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(held_keeper_count(&node), 0);
    assert_eq!(node.store.keys("pitchstall/quota/"), Vec::<String>::new());
    assert!(!node.store.calls().iter().any(|target| target.contains("quota")));
    let metrics = get(node.health, "/metrics").text();
    assert!(!metrics.contains("tenant=\""), "{metrics}");
}

#[test]
fn a_rate_of_zero_is_no_limit() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 0, "burst": 1 }));
    for number in 0..50 {
        assert_eq!(send(&node, TAXIS, number).status, 200);
    }
}

#[test]
fn a_tenant_with_an_invalid_limit_is_rejected_and_others_are_served() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": -1 }));
    wait_for("the configuration to be applied", || send(&node, TAXIS, 1).status == 401);
    assert_eq!(send(&node, BUSES, 2).status, 200);
}

#[test]
fn removing_and_restoring_a_limit_takes_effect() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    wait_for("a refused request", || send(&node, TAXIS, 1).status == 429);
    node.store.put("op/config", &configuration_with_limit(4, &json!({})));
    wait_for("the limit to be removed", || {
        (0..100).all(|number| send(&node, TAXIS, number).status == 200)
    });
    wait_for("the keepers to be released", || held_keeper_count(&node) == 0);
    wait_for("their keys to be removed", || node.store.keys("pitchstall/quota/").is_empty());
    node.store
        .put("op/config", &configuration_with_limit(5, &json!({ "rate_per_s": 5, "burst": 5 })));
    wait_for("the limit to be restored", || send(&node, TAXIS, 1).status == 429);
}

#[test]
fn a_node_that_reaches_no_keeper_returns_503_with_a_short_retry_after() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    node.store
        .put("op/config", &configuration_with_limit(3, &json!({ "rate_per_s": 5, "burst": 5 })));
    node.add_runner(&runner, "desk", None);
    // Another node holds all keepers, at an address where nobody replies.
    for number in 0..2 {
        let holder = json!({ "n": "gone", "a": "127.0.0.1:9" });
        node.store.put(&format!("pitchstall/quota//{number}"), &holder);
    }
    node.wait_until_ready();
    let answer = send(&node, TAXIS, 1);
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").unwrap().parse::<f64>().unwrap() < 1.0);
    assert_eq!(send(&node, BUSES, 2).status, 200);
    assert!(get(node.health, "/metrics").text().contains("pitchstall_quota_unanswered"));
}

#[test]
fn keepers_survive_a_store_outage() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    node.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(3_000));
    assert_eq!(held_keeper_count(&node), 2);
    assert_eq!(send(&node, TAXIS, 1).status, 200);
}

#[test]
fn a_graceful_shutdown_transfers_keepers_to_another_node() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    let other = start_second_node(&node, "node-2");
    wait_for_keepers(&other);
    assert_eq!(held_keeper_count(&other), 0);
    node.request_stop();
    wait_for("the other node to hold the keepers", || held_keeper_count(&other) == 2);
    // A new holder starts with no units to grant.
    wait_for("a grant", || send(&other, TAXIS, 1).status == 200);
}

/// The levels of the limited tenant at the keepers that a node holds.
fn levels(node: &Fixture) -> Vec<i64> {
    let held = report(node)["held"].as_array().unwrap().clone();
    let tenants = held.iter().flat_map(|keeper| keeper["tenants"].as_array().unwrap().clone());
    tenants.map(|tenant| tenant["level"].as_i64().unwrap()).collect()
}

#[test]
fn a_graceful_shutdown_hands_over_what_is_left_of_a_limit() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    let other = start_second_node(&node, "node-2");
    wait_for_keepers(&other);
    wait_for("a grant", || send(&other, TAXIS, 1).status == 200);
    wait_for("some units", || levels(&node).iter().any(|level| *level > 5));
    node.request_stop();
    wait_for("the other node to hold the keepers", || held_keeper_count(&other) == 2);
    // No query has reached the new holder, so it knows the tenant from the handover alone.
    assert!(levels(&other).iter().any(|level| *level > 0), "{:?}", levels(&other));
}

#[test]
fn a_restarted_node_takes_over_the_keepers_of_its_previous_process_at_once() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    for number in 0..2 {
        let holder = json!({ "n": "node-1", "a": node.peers.to_string() });
        node.store.put(&format!("pitchstall/quota//{number}"), &holder);
    }
    node.store
        .put("op/config", &configuration_with_limit(3, &json!({ "rate_per_s": 50, "burst": 50 })));
    node.add_runner(&runner, "desk", None);
    node.wait_until_ready();
    wait_for("the keepers", || held_keeper_count(&node) == 2);
    wait_for("a grant", || send(&node, TAXIS, 1).status == 200);
}

#[test]
fn a_declined_request_is_refunded() {
    let answer = |request: &ReceivedRequest| {
        let is_first = request.header("x-pitchstall-request-id") == Some("id-0");
        if is_first {
            Reaction::Decline
        } else {
            Reaction::Respond { status: 200, body: Vec::new() }
        }
    };
    let runner = RunnerStandIn::start("i-desk", answer).unwrap();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    wait_for("units for a request", || send(&node, TAXIS, 5).status == 200);
    let mut status = 429;
    wait_for("units for another request", || {
        status = send(&node, TAXIS, 0).status;
        status != 429
    });
    assert_eq!(status, 503);
    let metrics = || get(node.health, "/metrics").text();
    wait_for("the refund", || {
        metrics().contains("pitchstall_quota_returned_total{tenant=\"taxis\"} 1")
    });
}

/// A socket that is registered in the store as the holder of keepers.
struct StubKeeper {
    socket: UdpSocket,
}

impl StubKeeper {
    /// Registers the socket as holder of some keepers. Call this before the node reads a
    /// configuration with limits.
    fn register(node: &Fixture, numbers: &[u8]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        for number in numbers {
            let holder = json!({ "n": "other", "a": socket.local_addr().unwrap().to_string() });
            node.store.put(&format!("pitchstall/quota//{number}"), &holder);
        }
        Self { socket }
    }

    /// The next message of a kind, as text and as a value.
    fn receive(&self, kind: &str) -> (String, Value) {
        let mut buffer = [0; 60_000];
        loop {
            let length = self.socket.recv(&mut buffer).unwrap();
            let text = String::from_utf8(buffer[..length].to_vec()).unwrap();
            let message: Value = serde_json::from_str(&text).unwrap();
            if let Some(body) = message.get(kind) {
                return (text, body.clone());
            }
        }
    }

    /// Replies to a query.
    fn reply(&self, query: &Value, verdict: &Value) {
        let reply = json!({ "quota": {
            "i": query["i"], "k": query["e"], "d": verdict, "l": 0,
        } });
        let to = query["a"].as_str().unwrap();
        self.socket.send_to(reply.to_string().as_bytes(), to).unwrap();
    }
}

fn start_with_limit_of_fifty(node: &Fixture, runner: &RunnerStandIn) {
    node.store
        .put("op/config", &configuration_with_limit(3, &json!({ "rate_per_s": 50, "burst": 50 })));
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
}

#[test]
fn a_silent_keeper_is_skipped_and_another_one_grants() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let _frozen = StubKeeper::register(&node, &[0]);
    start_with_limit_of_fifty(&node, &runner);
    wait_for("the other keeper", || held_keeper_count(&node) == 1);
    wait_for("a grant", || send(&node, TAXIS, 1).status == 200);
    std::thread::sleep(Duration::from_millis(200));
    for number in 0..5 {
        let sent_at = Instant::now();
        assert_eq!(send(&node, TAXIS, number).status, 200);
        assert!(sent_at.elapsed() < Duration::from_millis(400));
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_query_names_the_tenant_without_its_key_and_the_reply_is_applied() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let keeper = StubKeeper::register(&node, &[0, 1]);
    start_with_limit_of_fifty(&node, &runner);
    wait_for_keepers(&node);
    let granted = std::thread::scope(|scope| {
        let sent = scope.spawn(|| send(&node, TAXIS, 1).status);
        let (text, query) = keeper.receive("quota?");
        assert!(text.contains("taxis") && !text.contains("taxis-key"), "{text}");
        assert_eq!((query["c"].as_u64(), query["v"].as_u64()), (Some(1), Some(3)));
        keeper.reply(&query, &json!("g"));
        sent.join().unwrap()
    });
    assert_eq!(granted, 200);
    let refused = std::thread::scope(|scope| {
        let sent = scope.spawn(|| send(&node, TAXIS, 2));
        let (_, query) = keeper.receive("quota?");
        keeper.reply(&query, &json!({ "r": { "w": 700 } }));
        sent.join().unwrap()
    });
    assert_eq!(refused.status, 429);
    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.7..0.8).contains(&retry_after), "{retry_after}");
    assert_eq!(runner.requests().iter().filter(|it| it.target == "/booking/1").count(), 1);
}

/// A keeper that charges each run once, and what is charged of its present run.
struct ChargingKeeper {
    stub: StubKeeper,
    charged: u32,
}

impl ChargingKeeper {
    fn grant(&mut self, query: &Value) {
        self.charged = 1;
        self.stub.reply(query, &json!("g"));
    }

    /// Grants and refunds what arrives within a time.
    fn serve_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        self.stub.socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut buffer = [0; 60_000];
        while Instant::now() < end {
            let Ok(length) = self.stub.socket.recv(&mut buffer) else { continue };
            let message: Value = serde_json::from_slice(&buffer[..length]).unwrap();
            if let Some(query) = message.get("quota?") {
                self.grant(query);
            }
            if message.get("quota-").is_some() {
                self.charged = 0;
            }
        }
        self.stub.socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    }
}

/// Guards against a charge that is neither used nor refunded if a late grant arrives with another keeper's refusal.
#[test]
fn a_late_grant_that_arrives_right_after_a_refusal_is_used_or_refunded() {
    const RUNS: usize = 30;
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let mut keeper = ChargingKeeper { stub: StubKeeper::register(&node, &[0, 1]), charged: 0 };
    start_with_limit_of_fifty(&node, &runner);
    wait_for_keepers(&node);
    let outcome = |keeper: &mut ChargingKeeper, number: usize| {
        keeper.charged = 0;
        let node = &node;
        std::thread::scope(|scope| {
            let sent = scope.spawn(move || send(node, TAXIS, number).status);
            let (_, late) = keeper.stub.receive("quota?");
            let (_, refused) = keeper.stub.receive("quota?");
            keeper.stub.reply(&refused, &json!({ "r": { "w": 700 } }));
            keeper.grant(&late);
            keeper.serve_for(Duration::from_millis(300));
            (sent.join().unwrap(), keeper.charged)
        })
    };
    let outcomes: Vec<(u16, u32)> = (0..RUNS).map(|number| outcome(&mut keeper, number)).collect();
    let is_settled = |(status, charged): &(u16, u32)| (*status == 200) == (*charged == 1);
    assert!(outcomes.iter().all(is_settled), "{outcomes:?}");
}

/// How many runners the node knows.
fn known_runners(node: &Fixture) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let lines = metrics.lines().filter(|line| {
        line.starts_with("pitchstall_runners ") || line.starts_with("pitchstall_runners{")
    });
    lines.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap() as u64).sum()
}

/// Status of a request whose runner appears while its keeper is asked.
fn status_with_late_runner() -> u16 {
    let prefill = RunnerStandIn::start("i-reader", engine_script(3)).unwrap();
    let decode = RunnerStandIn::start("i-writer", engine_script(3)).unwrap();
    let node = Fixture::start_with(QUOTA);
    let keeper = StubKeeper::register(&node, &[0, 1]);
    node.add_runner(&prefill, "llm", Some("prefill"));
    start_with_limit_of_fifty(&node, &desk());
    wait_for_keepers(&node);
    let known = known_runners(&node);
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-1", TAXIS, b"x");
    let (_, query) = keeper.receive("quota?");
    node.add_runner(&decode, "llm", Some("decode"));
    wait_for("the node to know the runner", || known_runners(&node) > known);
    keeper.reply(&query, &json!("g"));
    client.read_response().status
}

#[test]
fn a_runner_that_appears_while_a_keeper_is_asked_gets_the_request() {
    // A keeper whose reply is late refuses as well, so a busy machine gets several tries.
    const TRIES: usize = 5;
    let mut statuses = (0..TRIES).map(|_| status_with_late_runner());
    assert!(statuses.any(|status| status == 200), "no try was served");
}

#[test]
fn a_grant_received_after_the_client_disconnected_is_refunded() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let keeper = StubKeeper::register(&node, &[0, 1]);
    start_with_limit_of_fifty(&node, &runner);
    wait_for_keepers(&node);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", TAXIS, b"x");
    let (_, query) = keeper.receive("quota?");
    drop(client);
    std::thread::sleep(Duration::from_millis(100));
    keeper.reply(&query, &json!("g"));
    let (_, refund) = keeper.receive("quota-");
    assert_eq!((&refund["i"], &refund["e"]), (&query["i"], &query["e"]));
    assert!(runner.requests().iter().all(|it| it.target != "/booking/1"));
}

#[test]
fn a_request_whose_client_disconnects_while_it_runs_stays_charged() {
    let runner = RunnerStandIn::start("i-desk", |request| match request.header("x-slow") {
        Some(_) => Reaction::Silent,
        None => Reaction::Respond { status: 200, body: Vec::new() },
    })
    .unwrap();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    wait_for("units for a request", || send(&node, TAXIS, 5).status == 200);
    let is_slow = |request: &ReceivedRequest| request.header("x-slow").is_some();
    let is_running = || runner.requests().iter().any(is_slow);
    let mut last_client = None;
    // The keepers may refuse the first requests.
    wait_for("the run", || {
        let mut client = node.client();
        client.request("POST", "/booking/1", "id-0", &format!("{TAXIS}X-Slow: 1\r\n"), b"x");
        while !is_running() && !client.has_response_within(Duration::from_millis(20)) {}
        last_client = Some(client);
        is_running()
    });
    drop(last_client);
    let metrics = || get(node.health, "/metrics").text();
    wait_for("the end of the request", || metrics().contains("outcome=\"client_gone\"}"));
    let refunds = "pitchstall_quota_returned_total{tenant=\"taxis\"}";
    assert!(!metrics().contains(refunds), "the request may have run");
}

#[test]
fn a_request_with_separate_prefill_is_charged_once() {
    let prefill = RunnerStandIn::start("i-reader", engine_script(3)).unwrap();
    let decode = RunnerStandIn::start("i-writer", engine_script(3)).unwrap();
    let node = Fixture::start_with(QUOTA);
    let limit =
        json!({ "rate_per_s": 50_000, "burst": 50_000, "unit": "tokens", "plain_tokens": 10 });
    node.store.put("op/config", &configuration_with_limit(3, &limit));
    node.add_runner(&prefill, "llm", Some("prefill"));
    node.add_runner(&decode, "llm", Some("decode"));
    node.wait_until_ready();
    wait_for_keepers(&node);
    std::thread::sleep(Duration::from_millis(1_000));
    let prompt = "X-Pitchstall-Token-Count: 9000,20\r\nX-Pitchstall-Prefix-Hash: a:6000,b:3000\r\n";
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", &format!("{TAXIS}{prompt}"), b"x");
    assert_eq!(client.read_response().status, 200);
    assert!(prefill.requests().iter().any(|it| it.target == "/summary/1"));
    let metrics = get(node.health, "/metrics").text();
    assert!(metrics.contains("pitchstall_quota_units_total{tenant=\"taxis\"} 9020"), "{metrics}");
}

#[test]
fn a_keeper_stops_forwarding_to_a_keeper_that_does_not_acknowledge() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let silent = StubKeeper::register(&node, &[0]);
    start_with_limit_of_fifty(&node, &runner);
    wait_for("the other keeper", || held_keeper_count(&node) == 1);
    let requester = StubKeeper::register(&node, &[]);
    // The cost is more than the keeper can ever grant.
    let send_query = |number: u64| {
        let query = json!({ "quota?": {
            "i": { "f": 1, "k": number }, "a": requester.socket.local_addr().unwrap().to_string(),
            "t": "taxis", "l": { "r": 50, "b": 50, "u": "r", "p": 0 }, "v": 3, "c": 10_000, "k": 0,
            "e": { "z": "", "n": 1 },
        } });
        requester.socket.send_to(query.to_string().as_bytes(), node.peers).unwrap();
    };
    send_query(1);
    let (_, forwarded) = silent.receive("quota?");
    assert_eq!(forwarded["i"]["k"], 1);
    std::thread::sleep(Duration::from_millis(50));
    send_query(2);
    let (_, reply) = requester.receive("quota");
    assert_eq!(reply["i"]["k"], 2);
    assert!(reply["d"]["r"]["w"].as_u64().unwrap() > 0, "{reply}");
}
