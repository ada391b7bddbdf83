//! Tenants' limits over several nodes: what is served, what is refused, and when nobody can be asked.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreMode;
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use support::{configuration, get, wait_for, Fixture, RawAnswer};

/// Keys of two tenants: one with a limit and one without.
const TAXIS: &str = "Authorization: Token taxis-key\r\n";
const BUSES: &str = "Authorization: Token buses-key\r\n";
/// Windows of a second, with room for some requests above the limit.
const QUOTA: &str = "[quota]\nwindow_s = 1\noverage = 0.1\nslack = 12\n";

fn desk() -> RunnerStandIn {
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    RunnerStandIn::start("i-desk", answer).unwrap()
}

/// A configuration in which the first of two tenants has these fields.
fn limited(version: u64, fields: &Value) -> Value {
    let mut taxis = json!({ "name": "taxis", "api_keys": ["taxis-key"], "priority": 0 });
    for (name, value) in fields.as_object().unwrap() {
        taxis[name] = value.clone();
    }
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([taxis, { "name": "buses", "api_keys": ["buses-key"] }]);
    configuration
}

/// A node whose first tenant has a limit, in front of the runner.
fn node_with(runner: &RunnerStandIn, fields: &Value) -> Fixture {
    let node = Fixture::start_with(QUOTA);
    node.store.put("op/config", &limited(3, fields));
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
    node
}

/// Another node before the same store, with the same settings.
fn beside(node: &Fixture, name: &str) -> Fixture {
    let other = node.start_beside_with(name, QUOTA);
    other.wait_until_ready();
    other
}

fn send(node: &Fixture, key: &str, number: usize) -> RawAnswer {
    let mut client = node.client();
    client.request("POST", "/booking/1", &format!("id-{number}"), key, b"x");
    client.read_answer()
}

/// Sends requests one after the other for some time; returns how many had each status.
fn send_for(nodes: &[&Fixture], key: &str, time: Duration) -> (usize, usize, usize) {
    let end = Instant::now() + time;
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

/// Waits until all keepers are known to a node.
fn wait_for_keepers(node: &Fixture) {
    wait_for("keepers", || report(node)["keepers"].as_array().unwrap().len() == 2);
}

fn held(node: &Fixture) -> usize {
    report(node)["held"].as_array().unwrap().len()
}

#[test]
fn a_tenant_over_its_limit_gets_429_with_a_pause_and_others_are_served() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    let mut refusal = None;
    for number in 0..200 {
        let answer = send(&node, TAXIS, number);
        assert!(matches!(answer.status, 200 | 429), "{}", answer.status);
        if answer.status == 429 {
            refusal = Some(answer);
            break;
        }
    }
    let pause = refusal.unwrap().header("retry-after").unwrap().parse::<f64>().unwrap();
    assert!(pause > 0.0 && pause < 10.0, "{pause}");
    for number in 0..50 {
        assert_eq!(send(&node, BUSES, 1_000 + number).status, 200);
    }
}

#[test]
fn what_was_refused_is_served_after_the_pause() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    let refusal = (0..200).map(|number| send(&node, TAXIS, number)).find(|it| it.status == 429);
    let pause: f64 = refusal.unwrap().header("retry-after").unwrap().parse().unwrap();
    std::thread::sleep(Duration::from_secs_f64(pause));
    assert_eq!(send(&node, TAXIS, 1_000).status, 200);
}

#[test]
fn a_limit_holds_over_two_nodes() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 20, "burst": 20 }));
    let other = beside(&node, "node-2");
    wait_for_keepers(&node);
    wait_for_keepers(&other);
    let time = Duration::from_secs(4);
    let (served, refused, failed) = send_for(&[&node, &other], TAXIS, time);
    // All that a window allows, four times over.
    let most = (f64::from(20 + 20) * 1.1 + 12.0) * 4.0;
    assert!((served as f64) <= most, "{served}");
    assert!(served >= 60, "{served} of at least 80 below the limit");
    assert!(refused > 0);
    assert_eq!(failed, 0);
    assert_eq!(runner.requests().iter().filter(|it| it.target == "/booking/1").count(), served);
}

#[test]
fn without_limits_nobody_is_a_keeper_and_the_store_is_not_asked() {
    let runner = desk();
    let node = node_with(&runner, &json!({}));
    for number in 0..20 {
        assert_eq!(send(&node, TAXIS, number).status, 200);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(held(&node), 0);
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
fn a_tenant_whose_limit_cannot_be_read_is_not_served_and_others_are() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": -1 }));
    wait_for("a node that knows its configuration", || send(&node, TAXIS, 1).status == 401);
    assert_eq!(send(&node, BUSES, 2).status, 200);
}

#[test]
fn a_limit_that_is_taken_away_or_changed_counts_from_then_on() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 5, "burst": 5 }));
    wait_for_keepers(&node);
    wait_for("a refusal", || send(&node, TAXIS, 1).status == 429);
    node.store.put("op/config", &limited(4, &json!({})));
    wait_for("the limit to be gone", || {
        (0..100).all(|number| send(&node, TAXIS, number).status == 200)
    });
    wait_for("the keepers to be given up", || held(&node) == 0);
    wait_for("their keys to be gone", || node.store.keys("pitchstall/quota/").is_empty());
    node.store.put("op/config", &limited(5, &json!({ "rate_per_s": 5, "burst": 5 })));
    wait_for("the limit to be back", || send(&node, TAXIS, 1).status == 429);
}

#[test]
fn a_node_that_reaches_no_keeper_refuses_with_a_short_pause() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    node.store.put("op/config", &limited(3, &json!({ "rate_per_s": 5, "burst": 5 })));
    node.add_runner(&runner, "desk", None);
    // Another node holds all keepers, and nobody knows where it is.
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
fn keepers_outlive_an_outage_of_the_store() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    node.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(3_000));
    assert_eq!(held(&node), 2);
    assert_eq!(send(&node, TAXIS, 1).status, 200);
}

#[test]
fn a_planned_stop_hands_the_keepers_to_another_node() {
    let runner = desk();
    let node = node_with(&runner, &json!({ "rate_per_s": 50, "burst": 50 }));
    wait_for_keepers(&node);
    let other = beside(&node, "node-2");
    wait_for_keepers(&other);
    assert_eq!(held(&other), 0);
    node.request_stop();
    wait_for("the other to keep them", || held(&other) == 2);
    // A new holder begins with nothing.
    wait_for("a grant", || send(&other, TAXIS, 1).status == 200);
}

#[test]
fn a_node_takes_over_at_once_what_an_earlier_process_at_its_address_held() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    for number in 0..2 {
        let holder = json!({ "n": "node-1", "a": node.peers.to_string() });
        node.store.put(&format!("pitchstall/quota//{number}"), &holder);
    }
    node.store.put("op/config", &limited(3, &json!({ "rate_per_s": 50, "burst": 50 })));
    node.add_runner(&runner, "desk", None);
    node.wait_until_ready();
    wait_for("the keepers", || held(&node) == 2);
    wait_for("a grant", || send(&node, TAXIS, 1).status == 200);
}

#[test]
fn what_a_runner_declined_is_given_back() {
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
    wait_for("room", || send(&node, TAXIS, 5).status == 200);
    assert_eq!(send(&node, TAXIS, 0).status, 503);
    let metrics = || get(node.health, "/metrics").text();
    wait_for("the return", || {
        metrics().contains("pitchstall_quota_returned_total{tenant=\"taxis\"} 1")
    });
}

/// A place where another node holds keepers, as far as the store says.
struct OtherKeeper {
    socket: UdpSocket,
}

impl OtherKeeper {
    /// Holds some keepers, from before the node knows that there are limits.
    fn holding(node: &Fixture, numbers: &[u8]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        for number in numbers {
            let holder = json!({ "n": "other", "a": socket.local_addr().unwrap().to_string() });
            node.store.put(&format!("pitchstall/quota//{number}"), &holder);
        }
        Self { socket }
    }

    /// The next word of a kind, as text and value.
    fn word(&self, kind: &str) -> (String, Value) {
        let mut buffer = [0; 60_000];
        loop {
            let length = self.socket.recv(&mut buffer).unwrap();
            let text = String::from_utf8(buffer[..length].to_vec()).unwrap();
            let word: Value = serde_json::from_str(&text).unwrap();
            if let Some(body) = word.get(kind) {
                return (text, body.clone());
            }
        }
    }

    /// Answers a question.
    fn answer(&self, question: &Value, verdict: &Value) {
        let answer = json!({ "quota": {
            "i": question["i"], "k": question["e"], "d": verdict, "l": 0,
        } });
        let to = question["a"].as_str().unwrap();
        self.socket.send_to(answer.to_string().as_bytes(), to).unwrap();
    }
}

fn limit_of_fifty(node: &Fixture, runner: &RunnerStandIn) {
    node.store.put("op/config", &limited(3, &json!({ "rate_per_s": 50, "burst": 50 })));
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
}

#[test]
fn a_keeper_that_is_silent_is_passed_over_and_another_one_pays() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let _frozen = OtherKeeper::holding(&node, &[0]);
    limit_of_fifty(&node, &runner);
    wait_for("the other keeper", || held(&node) == 1);
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
fn a_question_tells_the_tenant_and_no_key_and_its_answer_counts() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let keeper = OtherKeeper::holding(&node, &[0, 1]);
    limit_of_fifty(&node, &runner);
    wait_for_keepers(&node);
    let granted = std::thread::scope(|scope| {
        let sent = scope.spawn(|| send(&node, TAXIS, 1).status);
        let (text, question) = keeper.word("quota?");
        assert!(text.contains("taxis") && !text.contains("taxis-key"), "{text}");
        assert_eq!((question["c"].as_u64(), question["v"].as_u64()), (Some(1), Some(3)));
        keeper.answer(&question, &json!("g"));
        sent.join().unwrap()
    });
    assert_eq!(granted, 200);
    let refused = std::thread::scope(|scope| {
        let sent = scope.spawn(|| send(&node, TAXIS, 2));
        let (_, question) = keeper.word("quota?");
        keeper.answer(&question, &json!({ "r": { "w": 700 } }));
        sent.join().unwrap()
    });
    assert_eq!(refused.status, 429);
    let pause: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.7..0.8).contains(&pause), "{pause}");
    assert_eq!(runner.requests().iter().filter(|it| it.target == "/booking/1").count(), 1);
}

#[test]
fn a_grant_that_comes_after_the_client_has_gone_is_given_back() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let keeper = OtherKeeper::holding(&node, &[0, 1]);
    limit_of_fifty(&node, &runner);
    wait_for_keepers(&node);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", TAXIS, b"x");
    let (_, question) = keeper.word("quota?");
    drop(client);
    std::thread::sleep(Duration::from_millis(100));
    keeper.answer(&question, &json!("g"));
    let (_, word) = keeper.word("quota-");
    assert_eq!((&word["i"], &word["e"]), (&question["i"], &question["e"]));
    assert!(runner.requests().iter().all(|it| it.target != "/booking/1"));
}

#[test]
fn a_prompt_that_is_read_apart_is_paid_for_once() {
    let reader = RunnerStandIn::start("i-reader", engine_script(3)).unwrap();
    let writer = RunnerStandIn::start("i-writer", engine_script(3)).unwrap();
    let node = Fixture::start_with(QUOTA);
    let limit =
        json!({ "rate_per_s": 50_000, "burst": 50_000, "unit": "tokens", "plain_tokens": 10 });
    node.store.put("op/config", &limited(3, &limit));
    node.add_runner(&reader, "llm", Some("prefill"));
    node.add_runner(&writer, "llm", Some("decode"));
    node.wait_until_ready();
    wait_for_keepers(&node);
    std::thread::sleep(Duration::from_millis(1_000));
    let prompt = "X-Pitchstall-Token-Count: 9000,20\r\nX-Pitchstall-Prefix-Hash: a:6000,b:3000\r\n";
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", &format!("{TAXIS}{prompt}"), b"x");
    assert_eq!(client.read_answer().status, 200);
    assert!(reader.requests().iter().any(|it| it.target == "/summary/1"));
    let metrics = get(node.health, "/metrics").text();
    assert!(metrics.contains("pitchstall_quota_units_total{tenant=\"taxis\"} 9020"), "{metrics}");
}

#[test]
fn a_keeper_hands_nothing_on_to_one_that_does_not_say_that_it_has_it() {
    let runner = desk();
    let node = Fixture::start_with(QUOTA);
    let silent = OtherKeeper::holding(&node, &[0]);
    limit_of_fifty(&node, &runner);
    wait_for("the other keeper", || held(&node) == 1);
    let asker = OtherKeeper::holding(&node, &[]);
    // More than the keeper ever has room for.
    let ask = |number: u64| {
        let question = json!({ "quota?": {
            "i": { "f": 1, "k": number }, "a": asker.socket.local_addr().unwrap().to_string(),
            "t": "taxis", "l": { "r": 50, "b": 50, "u": "r", "p": 0 }, "v": 3, "c": 10_000, "k": 0,
            "e": { "z": "", "n": 1 },
        } });
        asker.socket.send_to(question.to_string().as_bytes(), node.peers).unwrap();
    };
    ask(1);
    let (_, handed_on) = silent.word("quota?");
    assert_eq!(handed_on["i"]["k"], 1);
    std::thread::sleep(Duration::from_millis(50));
    ask(2);
    let (_, answer) = asker.word("quota");
    assert_eq!(answer["i"]["k"], 2);
    assert!(answer["d"]["r"]["w"].as_u64().unwrap() > 0, "{answer}");
}
