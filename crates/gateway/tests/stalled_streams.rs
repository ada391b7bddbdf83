//! Streams whose runner pauses for longer than the node waits before it looks for another runner.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, event_text, stream_head, EventStream, Gate, LongPause, NoticeHeaders, Reaction,
    RunnerStandIn,
};
use pitchstall_platform_standins::store::StoreMode;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{configuration, get, wait_for, Fixture, RawClient};
use test_case::test_case;

/// Exceeds the pause after which a node looks for another runner, which is 1,200 ms on the route of these tests.
const PAUSE: Duration = Duration::from_millis(1_600);
const LAST_EVENT: u64 = 1;
const STALLED_RUNS_KEPT: &str = "pitchstall_stalled_runs_kept_total{";
const PROMPT: &str =
    "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event_text).collect()
}

/// A runner that pauses before each event of a stream and always goes on.
fn pausing_runner() -> RunnerStandIn {
    runner("i-pausing", |request| {
        if !is_run(request) {
            return engine_script(LAST_EVENT)(request);
        }
        let whole = EventStream::for_request(request, LAST_EVENT);
        Reaction::Stream(EventStream { pause: PAUSE, ..whole })
    })
}

fn runner(
    id: &str,
    script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
) -> RunnerStandIn {
    RunnerStandIn::start(id, script).unwrap()
}

/// Whether a runner is asked to run the stream or to prefill its prompt.
fn is_run(request: &ReceivedRequest) -> bool {
    request.method == "POST" && request.path() == "/summary/1"
}

/// How many streams a runner has been asked to run.
fn run_count(runner: &RunnerStandIn) -> usize {
    runner.requests().iter().filter(|request| is_run(request)).count()
}

/// Requests to a runner of another service, sent until they are dropped. While a runner responds, the node does not doubt
/// its links, so a runner that is slow is not probed early.
struct ShortRequests {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ShortRequests {
    fn start(node: &Fixture) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = is_stopped.clone();
        let mut client = node.client();
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                client.request("GET", "/lookup/1", "id-lookup", "", b"");
                client.read_response();
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        Self { is_stopped, thread: Some(thread) }
    }
}

impl Drop for ShortRequests {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

fn start_desk() -> RunnerStandIn {
    runner("i-desk", |_| Reaction::Respond { status: 200, body: b"found".to_vec() })
}

/// Starts a stream and waits for its first event.
fn start_stream(node: &Fixture, extra: &str) -> RawClient {
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", extra, b"x");
    client.wait_for_text(&event_text(0));
    client
}

fn assert_whole(client: &mut RawClient, pausing: &RunnerStandIn) {
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=LAST_EVENT)));
    assert!(response.complete);
    assert_eq!(pausing.closed_early(), 0, "the run was ended though it went on");
}

/// The configuration of a route whose streams last as long as a test waits.
fn patient_configuration() -> Value {
    let mut patient = configuration(3);
    for route in patient["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 30_000.into();
    }
    patient
}

/// A runner that pauses before the last event of the stream `id-1` until the gate is opened.
fn runner_behind(gate: &Gate) -> RunnerStandIn {
    let gate = gate.clone();
    runner("i-pausing", move |request| {
        if request.id() != Some("id-1") || !is_run(request) {
            return engine_script(LAST_EVENT)(request);
        }
        let whole = EventStream::for_request(request, LAST_EVENT);
        Reaction::Stream(EventStream { gate: Some(gate.clone()), ..whole })
    })
}

/// Waits until the node serves streams: its service's version is recorded a moment after the node is ready.
fn wait_until_streams_are_served(node: &Fixture) {
    wait_for("a stream to be served", || {
        let mut client = node.client();
        client.request("POST", "/summary/1", "id-0", "", b"x");
        client.read_response().status == 200
    });
}

/// How many stalled runs the node has kept after it sought a successor.
fn stalled_runs_kept(node: &Fixture) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let of_reasons = metrics.lines().filter(|line| line.starts_with(STALLED_RUNS_KEPT));
    let counts = of_reasons.filter_map(|line| line.rsplit(' ').next());
    counts.map(|count| count.parse::<u64>().unwrap()).sum()
}

#[test_case(|_| Reaction::Decline; "the other runner declines")]
#[test_case(|request| Reaction::Respond { status: if is_run(request) { 500 } else { 200 }, body: Vec::new() }; "the other runner fails")]
#[test_case(|_| Reaction::RawThenReset(Vec::new()); "the other runner resets the connection")]
#[test_case(|_| Reaction::Silent; "the other runner stays silent")]
fn a_stream_that_pauses_is_whole_though_no_other_runner_takes_it(
    reaction: fn(&ReceivedRequest) -> Reaction,
) {
    let gate = Gate::before(LAST_EVENT);
    let pausing = runner_behind(&gate);
    let node = Fixture::start();
    node.store.put("op/config", &patient_configuration());
    node.add_runner(&pausing, "llm", Some("decode"));
    node.wait_until_ready();
    wait_until_streams_are_served(&node);
    let mut client = start_stream(&node, "");
    let other = runner("i-other", reaction);
    node.add_runner(&other, "llm", Some("decode"));
    wait_for("the other runner to be tried", || run_count(&other) > 0);
    wait_for("the stalled run to be kept", || stalled_runs_kept(&node) > 0);
    gate.open();
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_that_pauses_is_whole_though_the_other_runner_refuses_connections() {
    let pausing = pausing_runner();
    let node = Fixture::with_runners(&[(&pausing, "llm", Some("decode"))]);
    let mut client = start_stream(&node, "");
    let other = runner("i-other", |_| Reaction::Silent);
    other.crash();
    node.add_runner(&other, "llm", Some("decode"));
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_that_pauses_is_whole_though_its_runner_cannot_be_probed_and_the_other_declines_late() {
    let pausing = pausing_runner();
    let node = Fixture::with_runners(&[(&pausing, "llm", Some("decode"))]);
    let mut client = start_stream(&node, "");
    let other = runner("i-other", |request| {
        if is_run(request) {
            std::thread::sleep(Duration::from_millis(380));
        }
        Reaction::Decline
    });
    node.add_runner(&other, "llm", Some("decode"));
    // From now on, new connections to the pausing runner are refused, and its open connection goes on.
    let closed = runner("i-pausing", |_| Reaction::Silent);
    closed.crash();
    node.add_runner(&closed, "llm", Some("decode"));
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_that_pauses_is_whole_though_the_store_fails_and_the_settings_change() {
    let pausing = pausing_runner();
    let node = Fixture::with_runners(&[(&pausing, "llm", Some("decode"))]);
    let mut client = start_stream(&node, "");
    let other = runner("i-other", |_| Reaction::Decline);
    node.add_runner(&other, "llm", Some("decode"));
    node.wait_until_ready();
    node.store.set_mode(StoreMode::Silent);
    let settings = std::fs::read_to_string(&node.file).unwrap();
    let without_budget = settings.replace("retry_ratio = 1.2", "retry_ratio = 0.0");
    assert_ne!(settings, without_budget);
    std::fs::write(&node.file, without_budget).unwrap();
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_that_pauses_is_whole_though_the_other_runner_takes_nothing_by_its_limit() {
    let limited = runner("i-limited", |request| {
        let notice = NoticeHeaders { limit: Some("0"), ..NoticeHeaders::default() };
        let stream = EventStream::for_request(request, LAST_EVENT);
        Reaction::WithNotice(notice, Box::new(Reaction::Stream(stream)))
    });
    let node = Fixture::with_runners(&[(&limited, "llm", Some("decode"))]);
    let mut first = node.client();
    first.request("POST", "/summary/1", "id-0", "", b"x");
    assert_eq!(first.read_response().text(), events(0..=LAST_EVENT));
    let pausing = pausing_runner();
    node.add_runner(&pausing, "llm", Some("decode"));
    node.wait_until_ready();
    let mut client = start_stream(&node, "");
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_that_pauses_is_whole_though_the_budget_covers_its_second_prefill_alone() {
    let prefill = runner("i-prefill", engine_script(LAST_EVENT));
    let pausing = pausing_runner();
    let runners = [(&prefill, "llm", Some("prefill")), (&pausing, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = start_stream(&node, PROMPT);
    let other = runner("i-other", engine_script(LAST_EVENT));
    node.add_runner(&other, "llm", Some("decode"));
    assert_whole(&mut client, &pausing);
}

#[test]
fn a_stream_whose_runner_hangs_goes_on_at_another_runner() {
    let hanging = runner("i-hanging", |request| {
        let mut bytes = stream_head(request, "transfer-encoding: chunked\r\n");
        let first = event_text(0);
        bytes.extend_from_slice(format!("{:x}\r\n{first}\r\n", first.len()).as_bytes());
        Reaction::Raw(bytes)
    });
    let node = Fixture::with_runners(&[(&hanging, "llm", Some("decode"))]);
    let mut client = start_stream(&node, "");
    let other = runner("i-other", engine_script(LAST_EVENT));
    node.add_runner(&other, "llm", Some("decode"));
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=LAST_EVENT)));
    assert!(response.complete);
    let resumed = other.requests().into_iter().find(is_run).unwrap();
    assert_eq!(resumed.header("last-event-id"), Some("0"));
}

/// With the deadline of another request, its attempt ends before its runner is probed, and late enough to suspect the runner.
const SHORT_DEADLINE: &str = "X-Pitchstall-Deadline-Ms: 1400\r\n";

#[test]
fn two_runners_do_not_run_a_stream_together_though_another_request_got_no_response_of_the_first() {
    const SLOW_PAUSE: Duration = Duration::from_millis(3_800);
    // A successor that is not ended before ends when the slow runner goes on, more than 2 s after its start.
    const MAX_TIME_TOGETHER: Duration = Duration::from_millis(1_200);
    let slow = runner("i-slow", |request| match request.id() {
        Some("id-check") => Reaction::Silent,
        Some("id-1") => {
            let mut stream = EventStream::for_request(request, LAST_EVENT);
            stream.long_pause = Some(LongPause { before_event: LAST_EVENT, length: SLOW_PAUSE });
            Reaction::Stream(stream)
        }
        _ => engine_script(LAST_EVENT)(request),
    });
    let desk = start_desk();
    let node = Fixture::with_runners(&[(&slow, "llm", Some("decode")), (&desk, "desk", None)]);
    let _short_requests = ShortRequests::start(&node);
    let mut client = start_stream(&node, "");
    let mut check = node.client();
    check.request("POST", "/summary/1", "id-check", SHORT_DEADLINE, b"x");
    wait_for("the slow runner to get both requests", || run_count(&slow) == 2);
    let other = runner("i-other", |request| match request.id() {
        Some("id-1") => Reaction::Silent,
        _ => Reaction::Stream(EventStream::for_request(request, LAST_EVENT)),
    });
    node.add_runner(&other, "llm", Some("decode"));
    assert_eq!(check.read_response().text(), events(0..=LAST_EVENT));
    wait_for("the end of the other request's silent attempt", || slow.closed_early() == 1);
    // The retry budget earns from requests.
    check.request("POST", "/summary/1", "id-next", "", b"x");
    assert_eq!(check.read_response().text(), events(0..=LAST_EVENT));
    let is_successor = |request: &ReceivedRequest| request.header("last-event-id").is_some();
    wait_for("a successor", || other.requests().iter().any(is_successor));
    let started_at = Instant::now();
    wait_for("the end of the successor", || other.closed_early() == 1);
    let together = started_at.elapsed();
    assert!(together < MAX_TIME_TOGETHER, "both runners had the stream for {together:?}");
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=LAST_EVENT)));
    assert_eq!(slow.closed_early(), 1, "the stream was ended though it went on");
}

#[test]
fn a_request_is_not_taken_from_a_slow_runner_since_another_one_got_no_response_in_time() {
    let slow = runner("i-slow", |request| match request.id() {
        Some("id-check") => Reaction::Silent,
        Some("id-1") => {
            std::thread::sleep(Duration::from_millis(1_600));
            Reaction::Stream(EventStream::for_request(request, LAST_EVENT))
        }
        _ => engine_script(LAST_EVENT)(request),
    });
    let desk = start_desk();
    let node = Fixture::start_with("retry_slack = 400.0\n");
    node.store.put("op/config", &configuration(3));
    node.add_runner(&slow, "llm", Some("decode"));
    node.add_runner(&desk, "desk", None);
    let other_node = node.start_peer("node-2");
    node.wait_until_ready();
    other_node.wait_until_ready();
    // Nodes learn of each other by digests, one a second. A node that knows no other saves one retry at most.
    std::thread::sleep(Duration::from_millis(1_200));
    let mut check = node.client();
    for _ in 0..4 {
        check.request("POST", "/summary/1", "id-usual", "", b"x");
        assert_eq!(check.read_response().text(), events(0..=LAST_EVENT));
    }
    let earlier = run_count(&slow);
    let _short_requests = ShortRequests::start(&node);
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", "", b"x");
    wait_for("the slow runner to get the first request", || run_count(&slow) == earlier + 1);
    check.request("POST", "/summary/1", "id-check", SHORT_DEADLINE, b"x");
    wait_for("the slow runner to get both requests", || run_count(&slow) == earlier + 2);
    let other = runner("i-other", engine_script(LAST_EVENT));
    node.add_runner(&other, "llm", Some("decode"));
    assert_eq!(check.read_response().text(), events(0..=LAST_EVENT));
    assert_eq!(client.read_response().text(), events(0..=LAST_EVENT));
    let sent_on = other.requests().into_iter().filter(is_run);
    let ids: Vec<_> = sent_on.map(|request| request.id().unwrap().to_owned()).collect();
    assert_eq!(ids, ["id-check"], "the other request still had time");
}

#[test]
fn a_framed_stream_that_ends_inside_an_event_goes_on_at_another_runner() {
    let torn = runner("i-torn", |request| {
        let mut bytes = stream_head(request, "transfer-encoding: chunked\r\n");
        let part = event_text(0) + "id: 1\ndata: to";
        bytes.extend_from_slice(format!("{:x}\r\n{part}\r\n0\r\n\r\n", part.len()).as_bytes());
        std::thread::sleep(Duration::from_millis(300));
        Reaction::Raw(bytes)
    });
    let node = Fixture::with_runners(&[(&torn, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", "", b"x");
    let other = runner("i-other", engine_script(LAST_EVENT));
    node.add_runner(&other, "llm", Some("decode"));
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=LAST_EVENT)));
}

#[test]
fn a_stream_that_is_cut_off_goes_on_though_the_other_runner_reports_its_state_late() {
    let cut = runner("i-cut", |request| {
        let mut stream = EventStream::for_request(request, LAST_EVENT);
        stream.pause = Duration::from_millis(500);
        stream.cut_after_event = Some(0);
        Reaction::Stream(stream)
    });
    let node = Fixture::start_with("retry_slack = 400.0\n");
    node.store.put("op/config", &configuration(3));
    node.add_runner(&cut, "llm", Some("decode"));
    let other_node = node.start_peer("node-2");
    node.wait_until_ready();
    other_node.wait_until_ready();
    // Nodes learn of each other by digests, one a second.
    std::thread::sleep(Duration::from_millis(1_200));
    let mut client = start_stream(&node, "");
    let late = runner("i-late", |request| {
        if request.path() == "/v1/report" {
            std::thread::sleep(Duration::from_millis(400));
            return Reaction::Respond { status: 200, body: b"{}".to_vec() };
        }
        engine_script(LAST_EVENT)(request)
    });
    node.add_runner(&late, "llm", Some("decode"));
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=LAST_EVENT)));
}

/// A number that depends on the request and on whether it resumes a stream.
fn draw(request: &ReceivedRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (request.id(), request.header("last-event-id")).hash(&mut hasher);
    hasher.finish()
}

/// Pauses for up to 2 s in each stream that it starts. Continues a stream of another runner, quickly or slowly, or does
/// not run it.
fn erratic_reaction(request: &ReceivedRequest) -> Reaction {
    const EVENTS: u64 = 5;
    const MAX_PAUSE_MS: u64 = 2_000;
    if !is_run(request) {
        return engine_script(EVENTS - 1)(request);
    }
    let number = draw(request);
    let mut stream = EventStream::for_request(request, EVENTS - 1);
    if request.header("last-event-id").is_none() {
        let length = Duration::from_millis(number / EVENTS % MAX_PAUSE_MS);
        stream.long_pause = Some(LongPause { before_event: number % EVENTS, length });
        return Reaction::Stream(stream);
    }
    match number % 6 {
        0 => Reaction::Decline,
        1 => Reaction::RawThenReset(Vec::new()),
        2 => Reaction::Respond { status: 500, body: Vec::new() },
        3 => Reaction::Silent,
        4 => Reaction::Stream(EventStream { pause: Duration::from_millis(250), ..stream }),
        _ => Reaction::Stream(stream),
    }
}

#[test]
fn streams_that_pause_are_whole_whatever_the_other_runners_do() {
    const CLIENTS: usize = 40;
    const STREAMS_PER_CLIENT: usize = 3;
    let runners: Vec<_> =
        (0..4).map(|number| runner(&format!("i-{number}"), erratic_reaction)).collect();
    let entries: Vec<_> = runners.iter().map(|runner| (runner, "llm", Some("decode"))).collect();
    let node = Fixture::with_runners(&entries);
    wait_until_streams_are_served(&node);
    let whole = events(0..=4);
    let send_streams = |client_number: usize| {
        let stream = |number: usize| {
            let mut client = node.client();
            let id = format!("id-{client_number}-{number}");
            client.request("POST", "/summary/1", &id, "", b"x");
            let response = client.read_response();
            (id, response.status, response.text())
        };
        (0..STREAMS_PER_CLIENT).map(stream).collect::<Vec<_>>()
    };
    let broken: Vec<_> = std::thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send_streams(client))).collect();
        let streams = clients.into_iter().flat_map(|client| client.join().unwrap());
        streams.filter(|(_, status, text)| (*status, text) != (200, &whole)).collect()
    });
    assert_eq!(broken, []);
}
