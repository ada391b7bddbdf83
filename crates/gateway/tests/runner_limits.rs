//! Runners that name in their answers how many requests a second they take from all nodes together.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, signed_response_with_notice, EventStream, NoticeHeaders, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{wait_for, Fixture, RawAnswer};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
/// Two requests a second.
const LIMITED: NoticeHeaders =
    NoticeHeaders { leaving: false, retry_after: None, limit: Some("2") };
/// What may arrive in any 4 s at a limit of two a second, from nodes that have been told: one and a half times the
/// limit, and five.
const ALLOWED: usize = 17;
const WINDOW: Duration = Duration::from_secs(4);
/// Time from an answer that names a limit until it counts.
const CROSSING: Duration = Duration::from_millis(500);

/// When requests arrived at a runner.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// The most that arrived in any window.
fn fullest_window(arrivals: &[Instant]) -> usize {
    let until =
        |last: &Instant| arrivals.iter().filter(|at| *at <= last && **at + WINDOW > *last).count();
    arrivals.iter().map(until).max().unwrap_or_default()
}

/// Three nodes before one store.
fn three_nodes(first: Fixture) -> [Fixture; 3] {
    let nodes = [first.start_beside("node-2"), first.start_beside("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    nodes
}

/// Three nodes and two runners of the service without prompts, one of which is limited.
fn nodes_with_limited_desk(arrivals: &Arrivals) -> ([Fixture; 3], [RunnerStandIn; 2]) {
    let noted = arrivals.clone();
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        noted.lock().unwrap().push(Instant::now());
        Reaction::Raw(signed_response_with_notice(request, 200, LIMITED, b"limited"))
    });
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"other".to_vec() };
    let runners = [limited.unwrap(), RunnerStandIn::start("i-2", answer).unwrap()];
    let first = Fixture::with_runners(&[(&runners[0], "desk", None), (&runners[1], "desk", None)]);
    (three_nodes(first), runners)
}

/// A limited decode runner.
fn limited_writer(arrivals: &Arrivals) -> RunnerStandIn {
    let noted = arrivals.clone();
    let script = move |request: &ReceivedRequest| {
        if request.method != "POST" {
            return engine_script(3)(request);
        }
        noted.lock().unwrap().push(Instant::now());
        let stream = Reaction::Stream(EventStream::for_request(request, 3));
        Reaction::WithNotice(LIMITED, Box::new(stream))
    };
    RunnerStandIn::start("w-1", script).unwrap()
}

/// Requests at all nodes for a time, one every 10 ms at each. Returns the answers' statuses.
fn ask_for(nodes: &[Fixture], path: &str, time: Duration) -> Vec<u16> {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let ask_one = |node: &Fixture, number: usize| -> RawAnswer {
            let mut client = node.client();
            client.request("POST", path, &format!("id-{number}"), PROMPT, b"{}");
            client.read_answer()
        };
        let asking = nodes.iter().map(|node| {
            scope.spawn(move || {
                let mut statuses = Vec::new();
                while begun.elapsed() < time {
                    statuses.push(ask_one(node, statuses.len()).status);
                    std::thread::sleep(Duration::from_millis(10));
                }
                statuses
            })
        });
        let asking: Vec<_> = asking.collect();
        asking.into_iter().flat_map(|one| one.join().unwrap()).collect()
    })
}

/// Arrivals from when all nodes had been told for the crossing time.
fn arrivals_since_told(arrivals: &Arrivals, begun: Instant) -> Vec<Instant> {
    let all = arrivals.lock().unwrap();
    // Each node asks a hundred times a second, so each has had an answer of the runner by then.
    let told = begun + CROSSING * 2;
    all.iter().copied().filter(|at| *at >= told).collect()
}

/// Requests without prompts are placed by each node for itself.
#[test]
fn a_runner_that_names_a_limit_gets_no_more_from_all_nodes_together() {
    let arrivals = Arrivals::default();
    let (nodes, _runners) = nodes_with_limited_desk(&arrivals);
    let begun = Instant::now();
    let statuses = ask_for(&nodes, "/lookup/1", Duration::from_secs(6));
    assert!(statuses.iter().all(|status| *status == 200), "the other runner takes all");
    let fullest = fullest_window(&arrivals_since_told(&arrivals, begun));
    assert!(fullest <= ALLOWED, "{fullest} in 4 s, {ALLOWED} allowed");
    assert!(fullest >= 4, "{fullest} in 4 s: the runner takes two a second");
}

/// Requests with prompts are placed by the scheduler of the runner's shard, and written where it says.
#[test]
fn a_decode_runner_that_names_a_limit_gets_no_more_from_all_nodes_together() {
    let arrivals = Arrivals::default();
    let limited = limited_writer(&arrivals);
    let other = RunnerStandIn::start("w-2", engine_script(3)).unwrap();
    let reader = RunnerStandIn::start("r-1", engine_script(3)).unwrap();
    let first = Fixture::with_runners(&[
        (&limited, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
        (&reader, "llm", Some("prefill")),
    ]);
    let nodes = three_nodes(first);
    let begun = Instant::now();
    let statuses = ask_for(&nodes, "/summary/1", Duration::from_secs(6));
    assert!(statuses.iter().all(|status| *status == 200), "the other writer takes all");
    let fullest = fullest_window(&arrivals_since_told(&arrivals, begun));
    assert!(fullest <= ALLOWED, "{fullest} in 4 s, {ALLOWED} allowed");
}

/// The node that counts for all stops in the middle, and another one takes its place.
#[test]
fn a_limit_is_kept_while_the_node_that_counts_is_replaced() {
    let arrivals = Arrivals::default();
    let (nodes, _runners) = nodes_with_limited_desk(&arrivals);
    let begun = Instant::now();
    ask_for(&nodes, "/lookup/1", Duration::from_secs(4));
    // Whichever of them counts: two of the three are gone one after the other.
    let [one, two, three] = nodes;
    one.request_stop();
    one.join();
    let left = [two, three];
    ask_for(&left, "/lookup/1", Duration::from_secs(4));
    let [two, three] = left;
    two.request_stop();
    two.join();
    // The others have told it that they stop, so that it is soon the first.
    ask_for(&[three], "/lookup/1", Duration::from_secs(8));
    let since_told = arrivals_since_told(&arrivals, begun);
    let fullest = fullest_window(&since_told);
    assert!(fullest <= ALLOWED, "{fullest} in 4 s, {ALLOWED} allowed");
    let last = begun.elapsed();
    let is_late = |at: &&Instant| at.duration_since(begun) + Duration::from_secs(4) > last;
    let late = since_told.iter().filter(is_late).count();
    assert!(late >= 4, "{late} in the last 4 s: the last node counts as the first");
}

/// One node hears that the limit is over; all use the runner fully soon after.
#[test]
fn a_limit_that_is_lifted_is_lifted_at_all_nodes_soon() {
    let is_limited = Arc::new(AtomicBool::new(true));
    let (limited_now, arrivals) = (is_limited.clone(), Arrivals::default());
    let noted = arrivals.clone();
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        noted.lock().unwrap().push(Instant::now());
        let limit = limited_now.load(Ordering::SeqCst).then_some("0.5");
        let report = NoticeHeaders { limit, ..NoticeHeaders::default() };
        Reaction::Raw(signed_response_with_notice(request, 200, report, b"limited"))
    });
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"other".to_vec() };
    let other = RunnerStandIn::start("i-2", answer).unwrap();
    let first = Fixture::with_runners(&[(&limited.unwrap(), "desk", None), (&other, "desk", None)]);
    let nodes = three_nodes(first);
    ask_for(&nodes, "/lookup/1", Duration::from_secs(5));
    is_limited.store(false, Ordering::SeqCst);
    let lifted = Instant::now();
    // One request every two seconds is what tells; each of the others is told or asks within two more.
    ask_for(&nodes, "/lookup/1", Duration::from_secs(5));
    let full = arrivals.lock().unwrap().iter().filter(|at| **at > lifted).count();
    assert!(full > 100, "{full} requests in 5 s after the limit was lifted");
}

/// All runners of a service are limited: what does not fit is refused at once, with the time at which one fits.
#[test]
fn what_a_limit_does_not_allow_is_refused_at_once_with_the_time_to_come_back() {
    let report = NoticeHeaders { limit: Some("0.5"), ..NoticeHeaders::default() };
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, report, b"limited"))
    });
    let node = Fixture::with_runners(&[(&limited.unwrap(), "desk", None)]);
    let ask = |number: usize| {
        let begun = Instant::now();
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"{}");
        (client.read_answer(), begun.elapsed())
    };
    let mut refusals = 0;
    for number in 0..20 {
        let (answer, took) = ask(number);
        if answer.status == 503 {
            refusals += 1;
            let wait_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!(wait_s > 0.5 && wait_s <= 2.0, "{wait_s}: more than a quarter of the target");
            assert!(took < Duration::from_millis(500), "not held until it is refused");
        }
    }
    assert!(refusals >= 15, "{refusals} of 20");
    wait_for("one that fits", || ask(99).0.status == 200);
}

/// Nobody else writes: what the runner takes is used, and the rest is refused.
#[test]
fn the_only_writer_is_used_as_far_as_its_limit_allows() {
    let arrivals = Arrivals::default();
    let limited = limited_writer(&arrivals);
    let reader = RunnerStandIn::start("r-1", engine_script(3)).unwrap();
    let first = Fixture::with_runners(&[
        (&limited, "llm", Some("decode")),
        (&reader, "llm", Some("prefill")),
    ]);
    let nodes = three_nodes(first);
    let begun = Instant::now();
    let statuses = ask_for(&nodes, "/summary/1", Duration::from_secs(10));
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    let since_told = arrivals_since_told(&arrivals, begun);
    let fullest = fullest_window(&since_told);
    assert!(fullest <= ALLOWED, "{fullest} in 4 s, {ALLOWED} allowed");
    assert!(fullest >= 6, "{fullest} in 4 s: the runner takes two a second");
}
