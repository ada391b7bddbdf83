//! Runners that report in their responses how many requests per second they accept from all nodes
//! together.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, signed_response_with_notice, EventStream, NoticeHeaders, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{wait_for, Fixture, RawResponse};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
/// Two requests per second.
const LIMITED: NoticeHeaders =
    NoticeHeaders { leaving: false, retry_after: None, limit: Some("2") };
/// Maximum number of requests in any 4 s at a limit of two per second, from nodes that know the
/// limit: one and a half times the limit, plus five.
const ALLOWED: usize = 17;
const WINDOW: Duration = Duration::from_secs(4);
/// Time from a response that reports a limit until the limit is enforced by all nodes.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// The times at which a runner received requests.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// The maximum number of arrivals in any window.
fn fullest_window(arrivals: &[Instant]) -> usize {
    let until =
        |last: &Instant| arrivals.iter().filter(|at| *at <= last && **at + WINDOW > *last).count();
    arrivals.iter().map(until).max().unwrap_or_default()
}

/// Three nodes that use the same store.
fn three_nodes(first: Fixture) -> [Fixture; 3] {
    let nodes = [first.start_peer("node-2"), first.start_peer("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    nodes
}

/// Three nodes and two runners of the service without prompts, one of which has a limit.
fn nodes_with_limited_desk(arrivals: &Arrivals) -> ([Fixture; 3], [RunnerStandIn; 2]) {
    let recorded = arrivals.clone();
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        recorded.lock().unwrap().push(Instant::now());
        Reaction::Raw(signed_response_with_notice(request, 200, LIMITED, b"limited"))
    });
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"other".to_vec() };
    let runners = [limited.unwrap(), RunnerStandIn::start("i-2", answer).unwrap()];
    let first = Fixture::with_runners(&[(&runners[0], "desk", None), (&runners[1], "desk", None)]);
    (three_nodes(first), runners)
}

/// A decode runner with a limit.
fn limited_decode_runner(arrivals: &Arrivals) -> RunnerStandIn {
    let recorded = arrivals.clone();
    let script = move |request: &ReceivedRequest| {
        if request.method != "POST" {
            return engine_script(3)(request);
        }
        recorded.lock().unwrap().push(Instant::now());
        let stream = Reaction::Stream(EventStream::for_request(request, 3));
        Reaction::WithNotice(LIMITED, Box::new(stream))
    };
    RunnerStandIn::start("w-1", script).unwrap()
}

/// Sends requests to all nodes for the given time, pausing 10 ms after each response of a node.
/// Returns the statuses of the responses.
fn send_requests(nodes: &[Fixture], path: &str, time: Duration) -> Vec<u16> {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let send_one = |node: &Fixture, number: usize| -> RawResponse {
            let mut client = node.client();
            client.request("POST", path, &format!("id-{number}"), PROMPT, b"{}");
            client.read_response()
        };
        let clients = nodes.iter().map(|node| {
            scope.spawn(move || {
                let mut statuses = Vec::new();
                while begun.elapsed() < time {
                    statuses.push(send_one(node, statuses.len()).status);
                    std::thread::sleep(Duration::from_millis(10));
                }
                statuses
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().flat_map(|one| one.join().unwrap()).collect()
    })
}

/// Arrivals after the limit has reached all nodes.
fn arrivals_after_propagation(arrivals: &Arrivals, begun: Instant) -> Vec<Instant> {
    let all = arrivals.lock().unwrap();
    // Each node sends up to a hundred requests per second, so it has received a response of the
    // runner by then.
    let propagated_at = begun + PROPAGATION_TIME * 2;
    all.iter().copied().filter(|at| *at >= propagated_at).collect()
}

/// Each node places requests without prompts itself.
#[test]
fn all_nodes_together_stay_within_the_limit_of_a_runner() {
    let arrivals = Arrivals::default();
    let (nodes, _runners) = nodes_with_limited_desk(&arrivals);
    let begun = Instant::now();
    let statuses = send_requests(&nodes, "/lookup/1", Duration::from_secs(6));
    assert!(statuses.iter().all(|status| *status == 200), "the other runner serves the rest");
    let fullest = fullest_window(&arrivals_after_propagation(&arrivals, begun));
    assert!(fullest <= ALLOWED, "{fullest} requests in 4 s, {ALLOWED} allowed");
    assert!(fullest >= 4, "{fullest} requests in 4 s: the runner accepts two per second");
}

/// The scheduler of the runner's shard places requests with prompts and chooses their decode
/// runner.
#[test]
fn all_nodes_together_stay_within_the_limit_of_a_decode_runner() {
    let arrivals = Arrivals::default();
    let limited = limited_decode_runner(&arrivals);
    let other = RunnerStandIn::start("w-2", engine_script(3)).unwrap();
    let prefill_runner = RunnerStandIn::start("r-1", engine_script(3)).unwrap();
    let first = Fixture::with_runners(&[
        (&limited, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
        (&prefill_runner, "llm", Some("prefill")),
    ]);
    let nodes = three_nodes(first);
    let begun = Instant::now();
    let statuses = send_requests(&nodes, "/summary/1", Duration::from_secs(6));
    assert!(
        statuses.iter().all(|status| *status == 200),
        "the other decode runner serves the rest"
    );
    let fullest = fullest_window(&arrivals_after_propagation(&arrivals, begun));
    assert!(fullest <= ALLOWED, "{fullest} requests in 4 s, {ALLOWED} allowed");
}

/// The keeper stops in the middle of the test, and another node replaces it.
#[test]
fn a_limit_holds_while_its_keeper_is_replaced() {
    let arrivals = Arrivals::default();
    let (nodes, _runners) = nodes_with_limited_desk(&arrivals);
    let begun = Instant::now();
    send_requests(&nodes, "/lookup/1", Duration::from_secs(4));
    // Whichever node is the keeper: two of the three nodes stop, one after the other.
    let [one, two, three] = nodes;
    one.request_stop();
    one.join();
    let remaining = [two, three];
    send_requests(&remaining, "/lookup/1", Duration::from_secs(4));
    let [two, three] = remaining;
    two.request_stop();
    two.join();
    // The stopped nodes have announced their stop, so the last node soon becomes the first keeper.
    send_requests(&[three], "/lookup/1", Duration::from_secs(8));
    let after_propagation = arrivals_after_propagation(&arrivals, begun);
    let fullest = fullest_window(&after_propagation);
    assert!(fullest <= ALLOWED, "{fullest} requests in 4 s, {ALLOWED} allowed");
    let last = begun.elapsed();
    let is_in_last_window =
        |at: &&Instant| at.duration_since(begun) + Duration::from_secs(4) > last;
    let late = after_propagation.iter().filter(is_in_last_window).count();
    assert!(late >= 4, "{late} requests in the last 4 s: the last node is the first keeper");
}

/// One node receives a response without the limit. Soon afterwards all nodes use the runner without
/// restriction.
#[test]
fn a_lifted_limit_reaches_all_nodes_soon() {
    let is_limited = Arc::new(AtomicBool::new(true));
    let (limited_now, arrivals) = (is_limited.clone(), Arrivals::default());
    let recorded = arrivals.clone();
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        recorded.lock().unwrap().push(Instant::now());
        let limit = limited_now.load(Ordering::SeqCst).then_some("0.5");
        let report = NoticeHeaders { limit, ..NoticeHeaders::default() };
        Reaction::Raw(signed_response_with_notice(request, 200, report, b"limited"))
    });
    let answer = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"other".to_vec() };
    let other = RunnerStandIn::start("i-2", answer).unwrap();
    let first = Fixture::with_runners(&[(&limited.unwrap(), "desk", None), (&other, "desk", None)]);
    let nodes = three_nodes(first);
    send_requests(&nodes, "/lookup/1", Duration::from_secs(5));
    is_limited.store(false, Ordering::SeqCst);
    let lifted = Instant::now();
    // At this limit one request every two seconds shows that the limit is lifted. The other nodes
    // learn it by report or by their next query, within two more seconds.
    send_requests(&nodes, "/lookup/1", Duration::from_secs(5));
    let full = arrivals.lock().unwrap().iter().filter(|at| **at > lifted).count();
    assert!(full > 100, "{full} requests in 5 s after the limit was lifted");
}

/// All runners of a service have a limit. Excess requests are refused at once, with the time until
/// one is allowed.
#[test]
fn requests_beyond_the_limit_are_refused_at_once_with_retry_after() {
    let report = NoticeHeaders { limit: Some("0.5"), ..NoticeHeaders::default() };
    let limited = RunnerStandIn::start("i-1", move |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, report, b"limited"))
    });
    let node = Fixture::with_runners(&[(&limited.unwrap(), "desk", None)]);
    let send = |number: usize| {
        let begun = Instant::now();
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"{}");
        (client.read_response(), begun.elapsed())
    };
    let mut refusals = 0;
    for number in 0..20 {
        let (answer, elapsed) = send(number);
        if answer.status == 503 {
            refusals += 1;
            let wait_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!(
                wait_s > 0.5 && wait_s <= 2.0,
                "wait of {wait_s} s: expected more than a quarter of the target"
            );
            assert!(
                elapsed < Duration::from_millis(500),
                "refused after {elapsed:?} instead of at once"
            );
        }
    }
    assert!(refusals >= 15, "{refusals} of 20 requests refused");
    wait_for("a request within the limit", || send(99).0.status == 200);
}

/// There is no other decode runner: its limit is used up, and the excess requests are refused.
#[test]
fn the_only_decode_runner_is_used_up_to_its_limit() {
    let arrivals = Arrivals::default();
    let limited = limited_decode_runner(&arrivals);
    let prefill_runner = RunnerStandIn::start("r-1", engine_script(3)).unwrap();
    let first = Fixture::with_runners(&[
        (&limited, "llm", Some("decode")),
        (&prefill_runner, "llm", Some("prefill")),
    ]);
    let nodes = three_nodes(first);
    let begun = Instant::now();
    let statuses = send_requests(&nodes, "/summary/1", Duration::from_secs(10));
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    let after_propagation = arrivals_after_propagation(&arrivals, begun);
    let fullest = fullest_window(&after_propagation);
    assert!(fullest <= ALLOWED, "{fullest} requests in 4 s, {ALLOWED} allowed");
    assert!(fullest >= 6, "{fullest} requests in 4 s: the runner accepts two per second");
}
