//! Parts of prompts that crash each runner which begins to write a response on them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, CrashHead, Reaction, RunnerStandIn};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{configuration, Fixture, RawResponse};
use test_case::test_case;

const CRASHING_PART: &str = "bad1";
/// Number of crashes after which no request with the part reaches a runner, as far as they come one after the other.
const MAX_CRASHES: usize = 3;
const RUNNERS: usize = 12;
const REQUESTS: usize = 8;

fn has_crashing_part(request: &ReceivedRequest) -> bool {
    request.header("x-pitchstall-prefix-hash").is_some_and(|parts| parts.contains(CRASHING_PART))
}

/// Crashes when it writes a response on the part. It prefills such a prompt.
fn react(request: &ReceivedRequest) -> Reaction {
    let is_prefill = request.header("x-pitchstall-stage") == Some("prefill");
    if has_crashing_part(request) && !is_prefill {
        return Reaction::Crash {
            head: CrashHead::Chunked,
            crash_after: Duration::from_millis(20),
        };
    }
    engine_script(4)(request)
}

fn start_runners(first: usize, count: usize) -> Vec<RunnerStandIn> {
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), react).unwrap();
    (first..first + count).map(start).collect()
}

/// A node with runners that decode, and at most one that prefills.
fn node_with(decode: &[RunnerStandIn], prefill: Option<&RunnerStandIn>) -> Fixture {
    let node = Fixture::start_with("retry_slack = 400.0\n");
    node.store.put("op/config", &configuration(3));
    decode.iter().for_each(|runner| node.add_runner(runner, "llm", Some("decode")));
    prefill.iter().for_each(|runner| node.add_runner(runner, "llm", Some("prefill")));
    node.wait_until_ready();
    node
}

/// Sends a request with these parts in its prompt and one part of its own. No two requests are alike.
fn send(node: &Fixture, number: usize, parts: &str) -> RawResponse {
    let mut client = node.client();
    let headers = format!(
        "X-Pitchstall-Token-Count: 900,80\r\nX-Pitchstall-Prefix-Hash: {parts},{number:x}f:100\r\n\
         X-Pitchstall-Deadline-Ms: 3000\r\n"
    );
    let id = format!("id-{number}");
    client.request("POST", "/summary/1", &id, &headers, id.as_bytes());
    client.read_response()
}

fn send_crashing(node: &Fixture, number: usize) -> RawResponse {
    send(node, number, &format!("a1:600,{CRASHING_PART}:200"))
}

fn crashes(runners: &[RunnerStandIn]) -> usize {
    runners.iter().filter(|runner| runner.is_terminated()).count()
}

fn arrivals(runners: &[RunnerStandIn]) -> usize {
    runners.iter().flat_map(RunnerStandIn::requests).filter(has_crashing_part).count()
}

/// Waits until all nodes know of a crash.
fn wait_for_messages() {
    std::thread::sleep(Duration::from_millis(300));
}

/// Sends requests with the crashing part one after the other. Only a few of them may crash runners.
fn send_crashing_requests(node: &Fixture, runners: &[RunnerStandIn]) {
    for number in 0..REQUESTS {
        send_crashing(node, number);
        wait_for_messages();
    }
    assert!(crashes(runners) <= MAX_CRASHES, "{} runners crashed", crashes(runners));
}

#[test]
fn requests_with_a_part_that_has_crashed_three_runners_reach_no_other() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    let other = node.start_peer("node-2");
    other.wait_until_ready();
    wait_for_messages();
    for number in 0..REQUESTS {
        send_crashing(if number % 2 == 0 { &node } else { &other }, number);
        wait_for_messages();
    }
    assert!(crashes(&runners) <= MAX_CRASHES, "{} runners crashed", crashes(&runners));
    let refused = send_crashing(&other, REQUESTS);
    assert_eq!((refused.status, refused.header("retry-after")), (503, None));
}

#[test]
fn a_part_that_crashes_decode_runners_is_not_prefilled_either() {
    let prefill = start_runners(100, 1).remove(0);
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, Some(&prefill));
    send_crashing_requests(&node, &runners);
    let prefills = arrivals(std::slice::from_ref(&prefill));
    send_crashing(&node, REQUESTS);
    assert_eq!(arrivals(std::slice::from_ref(&prefill)), prefills);
}

#[test_case("a1:600"; "of the first part alone")]
#[test_case("a1:600,c3:200"; "of another second part")]
fn requests_that_share_other_parts_are_served(parts: &str) {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let statuses: Vec<u16> =
        (0..REQUESTS).map(|number| send(&node, 100 + number, parts).status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
}

#[test]
fn a_node_that_starts_later_knows_the_parts_that_crash_runners() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let later = node.start_peer("node-2");
    later.wait_until_ready();
    wait_for_messages();
    let before = arrivals(&runners);
    let refused = send_crashing(&later, REQUESTS);
    assert_eq!((refused.status, arrivals(&runners)), (503, before));
}

#[test]
fn a_part_that_no_longer_crashes_runners_after_an_operator_frees_it_is_served() {
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    send_crashing_requests(&node, &runners);
    let listed: serde_json::Value =
        serde_json::from_str(&support::get(node.health, "/quarantine").text()).unwrap();
    let held = listed.as_array().unwrap().iter().find(|it| it["quarantined"] == true).unwrap();
    let identity = held["identity"].as_str().unwrap();
    let mut operator = support::RawClient::connect(node.health);
    operator.send(format!("DELETE /quarantine/{identity} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    assert_eq!(operator.read_response().status, 200);
    let before = arrivals(&runners);
    send_crashing(&node, REQUESTS);
    assert!(arrivals(&runners) > before);
}

#[test]
fn a_part_that_may_be_harmless_is_tried_by_one_of_the_nodes_that_have_all_just_started() {
    /// Requests that are sent to find out whether the part is harmless.
    const TRIALS: usize = 2;
    const PARTS: &str = "bad1:600";
    let runners = start_runners(0, RUNNERS);
    let node = node_with(&runners, None);
    for number in 0..2 {
        send(&node, number, PARTS);
        wait_for_messages();
    }
    assert_eq!(crashes(&runners), MAX_CRASHES);
    let store = node.store.clone();
    node.request_stop();
    node.join();
    std::thread::sleep(Duration::from_secs(1));
    let nodes =
        ["node-1", "node-2", "node-3"].map(|name| Fixture::start_with_store(store.clone(), name));
    let before = arrivals(&runners);
    let until = Instant::now() + Duration::from_secs(6);
    std::thread::scope(|scope| {
        for (index, node) in nodes.iter().enumerate() {
            scope.spawn(move || {
                for number in 1.. {
                    if Instant::now() > until {
                        return;
                    }
                    send(node, 1_000 * (index + 1) + number, PARTS);
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
    });
    let tried = arrivals(&runners) - before;
    assert!((1..=TRIALS).contains(&tried), "{tried} more requests reached runners");
}

/// Numbers of the requests at which a runner crashes, though their parts are harmless.
const UNLUCKY_NUMBERS: std::ops::Range<usize> = 500..504;

/// Crashes at the first attempt of an unlucky request, and fails its later ones, so that no response clears its parts.
fn crash_once(failing: &Mutex<HashSet<String>>, request: &ReceivedRequest) -> Reaction {
    let id = request.id().unwrap_or_default().to_owned();
    if !UNLUCKY_NUMBERS.map(|number| format!("id-{number}")).any(|unlucky| unlucky == id) {
        return engine_script(4)(request);
    }
    match failing.lock().unwrap().insert(id) {
        true => Reaction::Crash { head: CrashHead::None, crash_after: Duration::ZERO },
        false => Reaction::Respond { status: 500, body: b"failed".to_vec() },
    }
}

#[test]
fn harmless_parts_with_crashes_are_served_after_all_nodes_have_started_again() {
    const PARTS: &str = "a1:600,c3:200";
    let failing = Arc::<Mutex<HashSet<String>>>::default();
    let start = |number| {
        let failing = failing.clone();
        RunnerStandIn::start(&format!("i-{number}"), move |it| crash_once(&failing, it)).unwrap()
    };
    let runners: Vec<RunnerStandIn> = (0..RUNNERS).map(start).collect();
    let node = node_with(&runners, None);
    let other = node.start_peer_with("node-2", "retry_slack = 400.0\n");
    other.wait_until_ready();
    assert_eq!(send(&node, 0, PARTS).status, 200);
    for number in UNLUCKY_NUMBERS {
        send(&node, number, PARTS);
        wait_for_messages();
    }
    assert_eq!(crashes(&runners), UNLUCKY_NUMBERS.len());
    let store = node.store.clone();
    for stopped in [node, other] {
        stopped.request_stop();
        stopped.join();
    }
    let nodes = ["node-1", "node-2"].map(|name| Fixture::start_with_store(store.clone(), name));
    nodes.iter().for_each(Fixture::wait_until_ready);
    let statuses: Vec<u16> =
        (0..REQUESTS).map(|number| send(&nodes[number % 2], 100 + number, PARTS).status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
}

/// Runners that crash one after the other while harmless requests run beside, and are replaced under new names.
struct Storm {
    node: Fixture,
    other: Fixture,
    runners: Mutex<Vec<RunnerStandIn>>,
    crash_times: Mutex<Vec<Instant>>,
    is_over: AtomicBool,
}

impl Storm {
    fn start() -> Self {
        let runners = start_runners(0, RUNNERS);
        let node = node_with(&runners, None);
        let other = node.start_peer_with("node-2", "retry_slack = 400.0\n");
        other.wait_until_ready();
        wait_for_messages();
        let (crash_times, is_over) = (Mutex::default(), AtomicBool::new(false));
        Self { node, other, runners: Mutex::new(runners), crash_times, is_over }
    }

    fn node(&self, number: usize) -> &Fixture {
        if number.is_multiple_of(2) {
            &self.node
        } else {
            &self.other
        }
    }

    /// Removes runners that have crashed, and adds others a while later.
    fn replace_crashed_runners(&self) {
        const RESTART_TIME: Duration = Duration::from_millis(700);
        let mut replaced = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
            let runners = self.runners.lock().unwrap();
            let crashed = runners.iter().filter(|runner| runner.is_terminated()).count();
            drop(runners);
            while replaced < crashed {
                self.crash_times.lock().unwrap().push(Instant::now());
                replaced += 1;
            }
            let is_due = |at: &&Instant| at.elapsed() > RESTART_TIME;
            let due = self.crash_times.lock().unwrap().iter().filter(is_due).count();
            let mut runners = self.runners.lock().unwrap();
            while runners.len() < RUNNERS + due {
                let runner = start_runners(runners.len(), 1).remove(0);
                self.node.add_runner(&runner, "llm", Some("decode"));
                runners.push(runner);
            }
        }
    }

    /// Sends requests with the crashing part. Returns when each began and whether it reached a runner.
    fn send_crashing(&self, pause: Duration, count: usize) -> Vec<(Instant, usize)> {
        let send_one = |number: usize| {
            std::thread::sleep(pause);
            let began = Instant::now();
            send_crashing(self.node(number), number);
            let id = format!("id-{number}");
            let runners = self.runners.lock().unwrap();
            let requests = runners.iter().flat_map(RunnerStandIn::requests);
            (began, requests.filter(|request| request.id() == Some(&id)).count())
        };
        (0..count).map(send_one).collect()
    }

    /// Sends harmless requests that share the first part. Returns when each began and its status.
    fn send_harmless(&self, first: usize) -> Vec<(Instant, u16)> {
        const PAUSE: Duration = Duration::from_millis(40);
        const SECOND_PARTS: usize = 3;
        let mut responses = Vec::new();
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(PAUSE);
            let (number, began) = (first + responses.len(), Instant::now());
            let parts = format!("a1:600,c{}:200", number % SECOND_PARTS);
            responses.push((began, send(self.node(number), number, &parts).status));
        }
        responses
    }
}

#[test_case(Duration::from_millis(250), 20; "four a second")]
#[test_case(Duration::from_millis(1_000), 9; "one a second")]
fn in_a_storm_of_crashes_the_part_is_held_and_harmless_requests_are_served(
    pause: Duration,
    count: usize,
) {
    /// `contact_ms` of the fixture.
    const CONTACT_TIME: Duration = Duration::from_millis(1_000);
    const MAX_CRASHES_BEFORE: usize = 5;
    const MAX_LATE_ARRIVALS: usize = 3;
    const CLIENTS: usize = 4;
    let storm = Storm::start();
    let (crashing, harmless) = std::thread::scope(|scope| {
        scope.spawn(|| storm.replace_crashed_runners());
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let storm = &storm;
                scope.spawn(move || storm.send_harmless(10_000 * (client + 1)))
            })
            .collect();
        // The parts of the harmless requests have responses before the first crash.
        std::thread::sleep(Duration::from_millis(500));
        let crashing = storm.send_crashing(pause, count);
        storm.is_over.store(true, Ordering::SeqCst);
        let harmless = clients.into_iter().flat_map(|client| client.join().unwrap());
        (crashing, harmless.collect::<Vec<_>>())
    });
    let crash_times = storm.crash_times.lock().unwrap().clone();
    let last = crash_times.get(MAX_CRASHES_BEFORE - 1).or(crash_times.last()).copied().unwrap();
    let is_late = |began: &Instant| *began > last + CONTACT_TIME;
    let late = crashing.iter().filter(|(began, _)| is_late(began));
    let late_arrivals: usize = late.map(|(_, arrivals)| arrivals).sum();
    assert!(
        late_arrivals <= MAX_LATE_ARRIVALS,
        "{late_arrivals} late, {} crashes",
        crash_times.len()
    );
    let afterwards: Vec<u16> = harmless
        .iter()
        .filter(|(began, _)| *began > last + 2 * CONTACT_TIME)
        .map(|(_, status)| *status)
        .collect();
    let served = afterwards.iter().filter(|status| **status == 200).count();
    assert!(served * 2 >= afterwards.len(), "{served} of {} served", afterwards.len());
}

#[test]
fn two_parts_that_crash_runners_at_once_are_both_held_and_the_first_part_is_not() {
    const EACH: usize = 6;
    let runners = start_runners(0, RUNNERS + 4);
    let node = node_with(&runners, None);
    assert_eq!(send(&node, 99, "a1:600,c3:200").status, 200);
    for number in 0..EACH {
        send(&node, number, &format!("a1:600,{CRASHING_PART}:200"));
        send(&node, 50 + number, &format!("a1:600,{CRASHING_PART}2:200"));
        wait_for_messages();
    }
    let most = 2 * MAX_CRASHES;
    assert!(crashes(&runners) <= most, "{} runners crashed", crashes(&runners));
    let statuses: Vec<u16> =
        (0..REQUESTS).map(|number| send(&node, 100 + number, "a1:600,c3:200").status).collect();
    assert_eq!(statuses, [200; REQUESTS]);
}

#[test]
fn a_request_that_crashes_runners_is_held_beside_a_part_that_does() {
    let runners = start_runners(0, RUNNERS + 4);
    let node = node_with(&runners, None);
    assert_eq!(send(&node, 99, "a1:600,c3:200").status, 200);
    for number in 0..REQUESTS {
        send_crashing(&node, number);
        // The same request each time: its identity is counted as well as its part.
        send(&node, 50, &format!("a1:600,{CRASHING_PART}3:200"));
        wait_for_messages();
    }
    let most = 2 * MAX_CRASHES;
    assert!(crashes(&runners) <= most, "{} runners crashed", crashes(&runners));
    assert_eq!(send(&node, 200, "a1:600,c3:200").status, 200);
}

#[test]
fn a_part_that_two_crashing_parts_share_is_freed_on_a_route_that_was_never_served() {
    const EACH: usize = 4;
    /// Requests that are sent to find out whether the shared part is harmless.
    const TRIALS: usize = 2;
    let runners = start_runners(0, RUNNERS + 4);
    let node = node_with(&runners, None);
    for number in 0..EACH {
        send(&node, number, &format!("a1:600,{CRASHING_PART}:200"));
        send(&node, 50 + number, &format!("a1:600,{CRASHING_PART}2:200"));
        wait_for_messages();
    }
    let mut number = 100;
    support::wait_for("a harmless request to be served", || {
        number += 1;
        send(&node, number, "a1:600,c3:200").status == 200
    });
    for number in 0..EACH {
        send(&node, 10 + number, &format!("a1:600,{CRASHING_PART}:200"));
        send(&node, 60 + number, &format!("a1:600,{CRASHING_PART}2:200"));
        wait_for_messages();
    }
    let most = 2 * MAX_CRASHES + TRIALS;
    assert!(crashes(&runners) <= most, "{} runners crashed", crashes(&runners));
    assert_eq!(send(&node, 99, "a1:600,c3:200").status, 200);
}
