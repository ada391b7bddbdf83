//! Responses whose heads are damaged: cut at a byte, or with lines that are missing before the blank line that ends the head.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, event_text, stream_head, EventStream, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{wait_for, Fixture, RawResponse};
use test_case::test_case;

const LAST_EVENT: u64 = 5;
const WHOLE_BODY: &str = "all of it";
const PROMPT: &str =
    "X-Pitchstall-Token-Count: 900,80\r\nX-Pitchstall-Prefix-Hash: a1:600,b2:300\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
const ANNOUNCED: &str = "connection: close\r\n";
/// Lines of a head up to the signature, without which a response is not taken for a runner's.
const SIGNED_LINES: usize = 3;

/// A kind of route, by its path and method.
#[derive(Clone, Copy)]
struct Kind {
    method: &'static str,
    path: &'static str,
    service: &'static str,
}

const BOOKING: Kind = Kind { method: "POST", path: "/booking/", service: "desk" };
const LOOKUP: Kind = Kind { method: "GET", path: "/lookup/", service: "desk" };
const DRAFT: Kind = Kind { method: "POST", path: "/draft/", service: "llm" };
const SUMMARY: Kind = Kind { method: "POST", path: "/summary/", service: "llm" };

impl Kind {
    fn is_stream(self) -> bool {
        self.service == "llm"
    }

    fn content(self) -> String {
        match self.is_stream() {
            true => events(LAST_EVENT + 1),
            false => WHOLE_BODY.to_owned(),
        }
    }

    /// Sends the request with this number on a new connection. Requests differ, so that none is blamed for another one.
    fn respond(self, node: &Fixture, number: usize) -> RawResponse {
        let mut client = node.client();
        let (path, body) = (format!("{}{number}", self.path), format!("body {number}"));
        let body = if self.method == "POST" { body.as_bytes() } else { b"" };
        client.request(self.method, &path, &format!("id-{number}"), PROMPT, body);
        client.read_response()
    }
}

fn events(count: u64) -> String {
    (0..count).map(event_text).collect()
}

fn is_run(request: &ReceivedRequest) -> bool {
    request.method != "DELETE" && request.id().is_some()
}

fn run_count(runners: &[RunnerStandIn]) -> usize {
    runners.iter().flat_map(RunnerStandIn::requests).filter(is_run).count()
}

/// A whole head and body, the body delimited by chunks.
fn chunked(request: &ReceivedRequest, content: &str) -> Vec<u8> {
    let body = format!("{:x}\r\n{content}\r\n0\r\n\r\n", content.len());
    [stream_head(request, CHUNKED), body.into_bytes()].concat()
}

/// A head of which only the first lines are left, and the blank line.
fn damaged_head(request: &ReceivedRequest, lines: usize) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request, CHUNKED)).unwrap();
    let kept: String = head.split_inclusive("\r\n").take(lines).collect();
    format!("{kept}\r\n").into_bytes()
}

fn whole(request: &ReceivedRequest) -> Reaction {
    match request.path().starts_with("/booking/") || request.path().starts_with("/lookup/") {
        true => Reaction::Respond { status: 200, body: WHOLE_BODY.as_bytes().to_vec() },
        false => Reaction::Stream(EventStream::for_request(request, LAST_EVENT)),
    }
}

fn react_to_others(request: &ReceivedRequest) -> Reaction {
    engine_script(LAST_EVENT)(request)
}

fn start(kind: Kind, runners: &[RunnerStandIn]) -> Fixture {
    let stage = kind.is_stream().then_some("decode");
    let all: Vec<_> = runners.iter().map(|runner| (runner, kind.service, stage)).collect();
    Fixture::with_runners(&all)
}

/// A runner that reacts to its runs, which are counted from 0, as `script` determines. It answers all else whole.
fn runner(
    script: impl Fn(&ReceivedRequest, usize) -> Reaction + Send + Sync + 'static,
) -> RunnerStandIn {
    let runs = AtomicUsize::new(0);
    let react = move |request: &ReceivedRequest| match is_run(request) {
        true => script(request, runs.fetch_add(1, Ordering::SeqCst)),
        false => react_to_others(request),
    };
    RunnerStandIn::start("i-1", react).unwrap()
}

/// Two runners whose runs are whole, but for one after the first `whole_runs` requests: of that one, the first run is damaged.
fn pair(
    whole_runs: usize,
    damaged: impl Fn(&ReceivedRequest) -> Vec<u8> + Clone + Send + Sync + 'static,
) -> [RunnerStandIn; 2] {
    let has_damaged = Arc::new(AtomicBool::new(false));
    ["i-1", "i-2"].map(|id| {
        let (damaged, has_damaged) = (damaged.clone(), has_damaged.clone());
        let script = move |request: &ReceivedRequest| {
            if !is_run(request) {
                return react_to_others(request);
            }
            let is_early = (0..whole_runs).any(|it| request.path().ends_with(&format!("/{it}")));
            if is_early || has_damaged.swap(true, Ordering::SeqCst) {
                return whole(request);
            }
            Reaction::RawThenClose(damaged(request))
        };
        RunnerStandIn::start(id, script).unwrap()
    })
}

#[test_case(BOOKING, false; "plain, closed")]
#[test_case(BOOKING, true; "plain, reset")]
#[test_case(DRAFT, false; "stream, closed")]
#[test_case(DRAFT, true; "stream, reset")]
fn a_head_that_is_cut_at_any_byte_is_never_a_success(kind: Kind, is_reset: bool) {
    let cut = Arc::new(AtomicUsize::new(0));
    let script_cut = cut.clone();
    let runners = [runner(move |request, _| {
        let head = stream_head(request, CHUNKED);
        match (script_cut.load(Ordering::SeqCst), is_reset) {
            (usize::MAX, _) => whole(request),
            (cut, false) => Reaction::RawThenClose(head[..cut.min(head.len() - 1)].to_vec()),
            (cut, true) => Reaction::RawThenReset(head[..cut.min(head.len() - 1)].to_vec()),
        }
    })];
    let node = start(kind, &runners);
    let request = ReceivedRequest {
        method: String::new(),
        target: String::new(),
        headers: vec![("x-pitchstall-request-id".to_owned(), "id-100".to_owned())],
        body: Vec::new(),
        connection: 0,
    };
    let head_bytes = stream_head(&request, CHUNKED).len();
    for bytes in 0..head_bytes {
        cut.store(bytes, Ordering::SeqCst);
        let response = kind.respond(&node, bytes);
        assert_ne!(response.status, 200, "cut at {bytes}");
    }
    cut.store(usize::MAX, Ordering::SeqCst);
    let response = kind.respond(&node, head_bytes);
    assert_eq!((response.status, response.text()), (200, kind.content()));
    assert_eq!(run_count(&runners), head_bytes + 1, "a request was not sent to the runner");
}

/// Guards against damaged heads that are taken for whole, empty responses.
#[test_case(BOOKING, 0; "plain, first response of the runner")]
#[test_case(BOOKING, 1; "plain, after a whole response")]
#[test_case(DRAFT, 0; "stream, first response of the runner")]
#[test_case(DRAFT, 1; "stream, after a whole response")]
fn a_head_whose_lines_end_early_is_never_an_empty_success(kind: Kind, whole_runs: usize) {
    for lines in 1..=SIGNED_LINES + 1 {
        let runners = [runner(move |request, run| match run < whole_runs {
            true => whole(request),
            false => Reaction::RawThenClose(damaged_head(request, lines)),
        })];
        let node = start(kind, &runners);
        for number in 0..whole_runs {
            assert_eq!(kind.respond(&node, number).text(), kind.content());
        }
        let response = kind.respond(&node, whole_runs);
        assert_eq!(response.status, 502, "{lines} lines are left");
        assert_eq!(run_count(&runners), whole_runs + 1);
    }
}

/// Guards against damaged heads that end a repeatable request.
#[test_case(LOOKUP, 0; "plain, first response of the runner")]
#[test_case(LOOKUP, 4; "plain, after whole responses")]
#[test_case(SUMMARY, 0; "stream, first response of the runner")]
#[test_case(SUMMARY, 4; "stream, after whole responses")]
fn a_repeatable_request_whose_head_is_damaged_is_run_elsewhere(kind: Kind, whole_runs: usize) {
    for lines in SIGNED_LINES..=SIGNED_LINES + 1 {
        let runners = pair(whole_runs, move |request| damaged_head(request, lines));
        let node = start(kind, &runners);
        for number in 0..=whole_runs {
            let response = kind.respond(&node, number);
            assert_eq!((response.status, response.text()), (200, kind.content()));
            assert!(response.complete);
        }
        assert_eq!(run_count(&runners), whole_runs + 2);
    }
}

/// Guards against a head that has lost the line with its framing, before a body that is then read as it is.
#[test_case(BOOKING, || b"all".to_vec(); "plain, a part of the body")]
#[test_case(BOOKING, || b"9\r\nall of it\r\n0\r\n\r\n".to_vec(); "plain, chunks")]
#[test_case(DRAFT, || events(2).into_bytes(); "stream, two events")]
#[test_case(DRAFT, || format!("1c\r\n{}\r\n", event_text(0)).into_bytes(); "stream, chunks")]
fn a_body_without_framing_of_a_runner_that_frames_is_not_delivered(
    kind: Kind,
    body: fn() -> Vec<u8>,
) {
    let runners = [runner(move |request, run| match run {
        0 => Reaction::Raw(chunked(request, &kind.content())),
        _ => Reaction::RawThenClose([damaged_head(request, SIGNED_LINES + 1), body()].concat()),
    })];
    let node = start(kind, &runners);
    assert_eq!(kind.respond(&node, 0).text(), kind.content());
    for number in 1..4 {
        let response = kind.respond(&node, number);
        assert_eq!((response.status, response.text().as_str()), (502, ""));
    }
}

/// Guards against damaged heads of a runner that has not responded before, though all others of its software frame.
#[test]
fn the_first_response_of_a_runner_is_compared_with_those_of_its_software() {
    let framing = runner(|request, _| Reaction::Raw(chunked(request, WHOLE_BODY)));
    let node = start(BOOKING, std::slice::from_ref(&framing));
    assert_eq!(BOOKING.respond(&node, 0).text(), WHOLE_BODY);
    let damaging = RunnerStandIn::start("i-2", |request| match is_run(request) {
        true => Reaction::RawThenClose(
            [damaged_head(request, SIGNED_LINES + 1), b"all".to_vec()].concat(),
        ),
        false => react_to_others(request),
    })
    .unwrap();
    node.add_runner(&damaging, "desk", None);
    node.put_runner(&framing, "desk", None, "draining");
    wait_for("the other runner to be chosen", || {
        let number = run_count(&[framing.clone(), damaging.clone()]);
        let response = BOOKING.respond(&node, number);
        assert!(response.status != 200 || response.text() == WHOLE_BODY, "{:?}", response.text());
        response.status == 502
    });
    assert_eq!(run_count(&[damaging]), 1);
}

/// Guards against heads that say that the connection ends and have lost other lines.
#[test_case(BOOKING; "plain")]
#[test_case(DRAFT; "stream")]
fn a_head_that_lacks_a_line_of_all_framed_ones_is_damaged(kind: Kind) {
    const WHOLE_RUNS: usize = 3;
    let runners = [runner(move |request, run| match run {
        0..WHOLE_RUNS => Reaction::Raw(chunked(request, &kind.content())),
        _ => {
            let head = String::from_utf8(damaged_head(request, SIGNED_LINES)).unwrap();
            let head = head.replacen("\r\n", &format!("\r\n{ANNOUNCED}"), 1);
            Reaction::RawThenClose([head.into_bytes(), events(2).into_bytes()].concat())
        }
    })];
    let node = start(kind, &runners);
    for number in 0..WHOLE_RUNS {
        assert_eq!(kind.respond(&node, number).text(), kind.content());
    }
    assert_eq!(kind.respond(&node, WHOLE_RUNS).status, 502);
}

#[test_case(BOOKING, ANNOUNCED, 1; "plain, announced, after a framed response")]
#[test_case(DRAFT, ANNOUNCED, 1; "stream, announced, after a framed response")]
#[test_case(BOOKING, "", 0; "plain, never framed")]
#[test_case(DRAFT, "", 0; "stream, never framed")]
fn a_whole_response_without_framing_is_delivered(
    kind: Kind,
    line: &'static str,
    framed_runs: usize,
) {
    let runners = [runner(move |request, run| match run < framed_runs {
        true => Reaction::Raw(chunked(request, &kind.content())),
        false => {
            let body = kind.content().into_bytes();
            Reaction::RawThenClose([stream_head(request, line), body].concat())
        }
    })];
    let node = start(kind, &runners);
    for number in 0..framed_runs + 2 {
        let response = kind.respond(&node, number);
        assert_eq!((response.status, response.text()), (200, kind.content()));
        assert!(response.complete);
    }
    assert_eq!(run_count(&runners), framed_runs + 2);
}

/// Guards against a status without a body that is taken for a framed response.
#[test]
fn a_response_without_a_body_shows_nothing_about_framing() {
    let runners = [runner(|request, run| match run {
        0 => {
            let head = String::from_utf8(stream_head(request, "")).unwrap();
            Reaction::Raw(head.replacen("200 OK", "204 No Content", 1).into_bytes())
        }
        _ => {
            let body = WHOLE_BODY.as_bytes().to_vec();
            Reaction::RawThenClose([stream_head(request, ""), body].concat())
        }
    })];
    let node = start(BOOKING, &runners);
    assert_eq!(BOOKING.respond(&node, 0).status, 204);
    let response = BOOKING.respond(&node, 1);
    assert_eq!((response.status, response.text().as_str()), (200, WHOLE_BODY));
}

/// Guards against streams of damaged heads that end as complete because nothing was known of the runner at their heads.
#[test]
fn a_stream_is_not_complete_if_its_runner_turns_out_to_frame_all_others() {
    const PAUSE: Duration = Duration::from_millis(1_500);
    let runners = [runner(|request, run| match run {
        0 => {
            let head = damaged_head(request, SIGNED_LINES + 1);
            Reaction::RawThenPauseThenClose([head, events(2).into_bytes()].concat(), PAUSE)
        }
        _ => Reaction::Raw(chunked(request, &DRAFT.content())),
    })];
    let node = start(DRAFT, &runners);
    let mut client = node.client();
    client.request("POST", "/draft/0", "id-0", PROMPT, b"body");
    client.wait_for_text("token 1");
    assert_eq!(DRAFT.respond(&node, 1).text(), DRAFT.content());
    let response = client.read_response();
    assert_eq!(response.text(), events(2));
    assert!(!response.complete);
}

/// Guards against streams that never end because nothing is left of them at a runner that does not frame.
#[test]
fn the_empty_rest_of_a_stream_of_a_runner_that_never_frames_is_whole() {
    let runners = [runner(|request, run| {
        let rest = if run == 0 { events(LAST_EVENT + 1) } else { String::new() };
        Reaction::RawThenClose([stream_head(request, ANNOUNCED), rest.into_bytes()].concat())
    })];
    let node = start(SUMMARY, &runners);
    assert!(SUMMARY.respond(&node, 0).complete);
    let mut client = node.client();
    let after = format!("{PROMPT}Last-Event-Id: {LAST_EVENT}\r\n");
    client.request("POST", "/summary/1", "id-1", &after, b"rest");
    let response = client.read_response();
    assert_eq!((response.status, response.text().as_str()), (200, ""));
    assert!(response.complete);
}
