//! What proves that a response without a length is whole, and what does not.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, event_text, stream_head, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use support::{wait_for, Fixture, RawResponse};
use test_case::test_case;

const LAST_EVENT: u64 = 5;
const PROMPT: &str =
    "X-Pitchstall-Token-Count: 900,80\r\nX-Pitchstall-Prefix-Hash: a1:600,b2:300\r\n";

fn is_run(request: &ReceivedRequest) -> bool {
    request.method == "POST" && request.id().is_some()
}

fn events(count: u64) -> String {
    (0..count).map(event_text).collect()
}

fn unframed(request: &ReceivedRequest, headers: &str, content: &str) -> Reaction {
    let head = stream_head(request, &format!("connection: close\r\n{headers}"));
    Reaction::RawThenClose([head, content.as_bytes().to_vec()].concat())
}

/// A runner that sends the content without a length, and then reacts to each request as `after` says, which also gets the
/// number of the earlier requests for its state.
fn runner(
    headers: &'static str,
    content: String,
    after: impl Fn(&ReceivedRequest, usize) -> Reaction + Send + Sync + 'static,
) -> RunnerStandIn {
    let has_run = AtomicBool::new(false);
    let reports = AtomicUsize::new(0);
    let script = move |request: &ReceivedRequest| {
        if is_run(request) && !has_run.swap(true, Ordering::SeqCst) {
            return unframed(request, headers, &content);
        }
        if !has_run.load(Ordering::SeqCst) {
            return engine_script(LAST_EVENT)(request);
        }
        let earlier = match request.is_report() {
            true => reports.fetch_add(1, Ordering::SeqCst),
            false => reports.load(Ordering::SeqCst),
        };
        after(request, earlier)
    };
    RunnerStandIn::start("i-1", script).unwrap()
}

/// The response to a stream that may not be resumed, or to a plain request that must not be repeated.
fn respond(runner: &RunnerStandIn, path: &str) -> RawResponse {
    let (service, stage) = match path {
        "/draft/1" => ("llm", Some("decode")),
        _ => ("desk", None),
    };
    let node = Fixture::with_runners(&[(runner, service, stage)]);
    let mut client = node.client();
    client.request("POST", path, "id-1", PROMPT, b"x");
    client.read_response()
}

/// Guards against cut streams that end as complete because their runner states a limit or that it leaves, and is not asked.
#[test_case("", true; "another process at the address")]
#[test_case("server-limit: 100\r\n", true; "a limit, another process at the address")]
#[test_case("server-limit: 100\r\n", false; "a limit, no further response")]
#[test_case("server-leaving: 1\r\n", true; "leaving, another process at the address")]
#[test_case("server-leaving: 1\r\n", false; "leaving, no further response")]
#[test_case("retry-after: 2\r\n", true; "a rest, another process at the address")]
fn a_cut_stream_does_not_end_as_complete_whatever_its_runner_states(
    headers: &'static str,
    is_replaced: bool,
) {
    let runner = runner(headers, events(2), move |_, _| match is_replaced {
        true => Reaction::Misdirected,
        false => Reaction::Silent,
    });
    let response = respond(&runner, "/draft/1");
    assert_eq!(response.text(), events(2));
    assert!(!response.complete);
}

/// Guards against parts of plain responses that are delivered as whole because their runner states a limit.
#[test]
fn a_cut_plain_response_is_not_delivered_when_its_runner_states_a_limit() {
    let runner = runner("server-limit: 100\r\n", "all of".to_owned(), |_, _| Reaction::Misdirected);
    assert_eq!(respond(&runner, "/booking/1").status, 502);
}

/// Guards against a surplus response to another request that is taken for the proof.
#[test]
fn a_response_that_names_another_request_proves_nothing() {
    const SURPLUS: &[u8] = b"HTTP/1.1 200 OK\r\nx-pitchstall-request-id: id-old\r\n\
        x-pitchstall-server-stamp: s\r\ncontent-length: 2\r\n\r\nok";
    let runner = runner("", events(2), |_, _| Reaction::RawThenClose(SURPLUS.to_vec()));
    let response = respond(&runner, "/draft/1");
    assert_eq!(response.text(), events(2));
    assert!(!response.complete);
}

/// Guards against whole responses that are cut because their runner does not answer at once whether it lives.
#[test_case(Reaction::Silent, 1; "the first question gets no response")]
#[test_case(Reaction::Silent, 2; "two questions get no response")]
#[test_case(Reaction::RawThenReset(Vec::new()), 3; "a full runner resets three connections")]
#[test_case(Reaction::RawThenReset(Vec::new()), 5; "a full runner resets five connections")]
fn a_whole_response_is_delivered_once_its_runner_responds(reaction: Reaction, failures: usize) {
    for (path, content) in [("/draft/1", events(LAST_EVENT + 1)), ("/booking/1", events(1))] {
        let failing = reaction.clone();
        let runner = runner("", content.clone(), move |request, earlier| {
            if request.is_report() && earlier < failures {
                return failing.clone();
            }
            engine_script(LAST_EVENT)(request)
        });
        let response = respond(&runner, path);
        assert_eq!((response.status, response.text()), (200, content));
        assert!(response.complete);
    }
}

/// Guards against blame for a request whose response without a length was whole, when its runner crashes later.
#[test]
fn a_request_with_a_whole_response_is_not_among_those_of_a_later_crash() {
    let runs = Arc::new(AtomicUsize::new(0));
    let script = move |request: &ReceivedRequest| {
        if !is_run(request) {
            return engine_script(LAST_EVENT)(request);
        }
        match runs.fetch_add(1, Ordering::SeqCst) {
            0 => unframed(request, "", &events(LAST_EVENT + 1)),
            _ => Reaction::RawThenKill(stream_head(request, "transfer-encoding: chunked\r\n")),
        }
    };
    let runner = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    for (path, body) in [("/draft/1", b"whole"), ("/draft/2", b"crash")] {
        let mut client = node.client();
        client.request("POST", path, path, "", body);
        client.read_response();
    }
    assert!(runner.is_terminated());
    let crashes = || {
        let keys = node.store.keys("pitchstall/crashes/");
        keys.into_iter().filter(|key| key.ends_with("/i-1")).collect::<Vec<_>>()
    };
    wait_for("the crash to be recorded", || !crashes().is_empty());
    assert_eq!(crashes().len(), 1, "{:?}", crashes());
}
