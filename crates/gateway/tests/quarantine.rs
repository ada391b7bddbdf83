//! Requests that end the runners that run them, and come again.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, Reaction, RunnerStandIn};
use std::time::Duration;
use support::{configuration, Fixture};

const DEADLY: &[u8] = b"a request that ends runners";
const SOUND: &[u8] = b"a request like any other";
/// Ends of runners under a request after which it may be repeated but a few times.
const ENDS: usize = 3;
/// Repeats that may reach runners from then on.
const REPEATS: usize = 3;
/// `contact_ms` of the fixture, and some more.
const HEARD: Duration = Duration::from_millis(1_500);

fn engine(request: &ReceivedRequest) -> Reaction {
    if request.body == DEADLY {
        return Reaction::Crash { after_head: true, runs_for: Duration::from_millis(20) };
    }
    engine_script(4)(request)
}

fn runners(count: usize) -> Vec<RunnerStandIn> {
    let start = |number| RunnerStandIn::start(&format!("i-{number}"), engine).unwrap();
    (0..count).map(start).collect()
}

/// A node before a store with a configuration and these runners.
fn node_with(runners: &[RunnerStandIn]) -> Fixture {
    let node = Fixture::start();
    node.store.put("op/config", &configuration(3));
    for runner in runners {
        node.add_runner(runner, "llm", Some("decode"));
    }
    node.wait_until_ready();
    node
}

fn send(node: &Fixture, id: &str, body: &[u8]) -> support::RawAnswer {
    let mut client = node.client();
    client.request("POST", "/summary/7", id, "X-Pitchstall-Deadline-Ms: 3000\r\n", body);
    client.read_answer()
}

/// Runners that have ended.
fn ended(runners: &[RunnerStandIn]) -> usize {
    runners.iter().filter(|runner| runner.has_ended()).count()
}

/// Times that the deadly request has reached a runner.
fn arrivals(runners: &[RunnerStandIn]) -> usize {
    let of = |runner: &RunnerStandIn| {
        runner.requests().iter().filter(|request| request.body == DEADLY).count()
    };
    runners.iter().map(of).sum()
}

#[test]
fn a_request_that_has_ended_three_runners_reaches_hardly_any_more() {
    let runners = runners(14);
    let first = node_with(&runners);
    let second = first.start_beside("node-2");
    second.wait_until_ready();
    let mut sent = 0;
    while ended(&runners) < ENDS {
        sent += 1;
        send(if sent % 2 == 0 { &first } else { &second }, &format!("deadly-{sent}"), DEADLY);
        assert!(sent < 40, "the stand-ins do not end");
    }
    std::thread::sleep(HEARD);
    let before = arrivals(&runners);
    for repeat in 0..10 {
        send(if repeat % 2 == 0 { &first } else { &second }, &format!("again-{repeat}"), DEADLY);
    }
    let repeats = arrivals(&runners) - before;
    assert!(repeats <= REPEATS, "it reached runners {repeats} times more");
    assert_eq!(send(&first, "sound", SOUND).status, 200);
}
