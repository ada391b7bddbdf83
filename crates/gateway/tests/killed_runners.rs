//! Responses without a length whose runner ends in the middle: the end of its process closes the connection as the end of
//! the response would.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, event_text, stream_head, EventStream, Reaction, RunnerStandIn,
};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{Fixture, RawResponse};
use test_case::test_case;

const LAST_EVENT: u64 = 5;
const WHOLE_BODY: &str = "all of it";
const PROMPT: &str =
    "X-Pitchstall-Token-Count: 900,80\r\nX-Pitchstall-Prefix-Hash: a1:600,b2:300\r\n";

/// What a runner does after it has sent a part of a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Its process ends.
    Killed,
    /// It closes the connection, and another runner has its address.
    Replaced,
    /// It closes the connection and answers nothing more.
    Hung,
}

fn is_run(request: &ReceivedRequest) -> bool {
    request.method != "DELETE" && request.id().is_some()
}

fn unframed(request: &ReceivedRequest, content: &str) -> Vec<u8> {
    [stream_head(request, "connection: close\r\n"), content.as_bytes().to_vec()].concat()
}

fn events(ids: std::ops::Range<u64>) -> String {
    ids.map(event_text).collect()
}

/// Two runners; the first run at either sends the content without a length and ends so. All later ones are whole.
fn runners(content: String, ending: Ending) -> [RunnerStandIn; 2] {
    let has_ended = Arc::new(AtomicBool::new(false));
    ["i-1", "i-2"].map(|id| {
        let (content, has_ended) = (content.clone(), has_ended.clone());
        let has_ended_itself = AtomicBool::new(false);
        let script = move |request: &ReceivedRequest| {
            if is_run(request) && !has_ended.swap(true, Ordering::SeqCst) {
                has_ended_itself.store(true, Ordering::SeqCst);
                let response = unframed(request, &content);
                return match ending {
                    Ending::Killed => Reaction::RawThenKill(response),
                    Ending::Replaced | Ending::Hung => Reaction::RawThenClose(response),
                };
            }
            match ending {
                Ending::Replaced if has_ended_itself.load(Ordering::SeqCst) => {
                    Reaction::Misdirected
                }
                Ending::Hung if has_ended_itself.load(Ordering::SeqCst) => Reaction::Silent,
                _ => whole_response(request),
            }
        };
        RunnerStandIn::start(id, script).unwrap()
    })
}

fn whole_response(request: &ReceivedRequest) -> Reaction {
    match request.path() {
        "/booking/1" | "/lookup/1" => {
            Reaction::Respond { status: 200, body: WHOLE_BODY.as_bytes().to_vec() }
        }
        "/summary/1" | "/draft/1" => {
            Reaction::Stream(EventStream::for_request(request, LAST_EVENT))
        }
        _ => engine_script(LAST_EVENT)(request),
    }
}

fn respond(runners: &[RunnerStandIn], service: &str, method: &str, path: &str) -> RawResponse {
    let stage = (service == "llm").then_some("decode");
    let with_services: Vec<_> = runners.iter().map(|runner| (runner, service, stage)).collect();
    let node = Fixture::with_runners(&with_services);
    let mut client = node.client();
    let body: &[u8] = if method == "POST" { b"x" } else { b"" };
    client.request(method, path, "id-1", PROMPT, body);
    client.read_response()
}

fn run_count(runners: &[RunnerStandIn]) -> usize {
    runners.iter().flat_map(RunnerStandIn::requests).filter(is_run).count()
}

/// Guards against streams that end as complete before their last event because their runner was killed.
#[test_case(0, Ending::Killed; "killed before the first event")]
#[test_case(1, Ending::Killed; "killed after the first event")]
#[test_case(4, Ending::Killed; "killed after the fourth event")]
#[test_case(2, Ending::Replaced; "another runner has the address")]
#[test_case(2, Ending::Hung; "the runner answers nothing more")]
fn a_stream_without_a_length_whose_runner_is_gone_goes_on_at_another_one(
    sent: u64,
    ending: Ending,
) {
    let runners = runners(events(0..sent), ending);
    let response = respond(&runners, "llm", "POST", "/summary/1");
    assert_eq!((response.status, response.text()), (200, events(0..LAST_EVENT + 1)));
    assert!(response.complete);
    assert_eq!(run_count(&runners), 2);
}

/// Guards against streams that may not be resumed and end as complete before their last event.
#[test_case(Ending::Killed; "killed")]
#[test_case(Ending::Replaced; "another runner has the address")]
#[test_case(Ending::Hung; "the runner answers nothing more")]
fn a_stream_that_may_not_be_resumed_does_not_end_as_complete_when_its_runner_is_gone(
    ending: Ending,
) {
    let runners = runners(events(0..2), ending);
    let response = respond(&runners, "llm", "POST", "/draft/1");
    assert_eq!((response.status, response.text()), (200, events(0..2)));
    assert!(!response.complete);
    assert_eq!(run_count(&runners), 1);
}

/// Guards against parts of plain responses that are delivered as whole ones.
#[test_case("")]
#[test_case("all of")]
fn a_repeatable_request_whose_response_is_cut_by_the_end_of_its_runner_is_repeated(sent: &str) {
    let runners = runners(sent.to_owned(), Ending::Killed);
    let response = respond(&runners, "desk", "GET", "/lookup/1");
    assert_eq!((response.status, response.text().as_str()), (200, WHOLE_BODY));
    assert_eq!(run_count(&runners), 2);
}

/// Guards against parts of plain responses that are delivered as whole ones where the request must not be repeated.
#[test]
fn a_request_that_must_not_be_repeated_fails_when_its_response_is_cut_by_the_end_of_its_runner() {
    let runners = runners("all of".to_owned(), Ending::Killed);
    let response = respond(&runners, "desk", "POST", "/booking/1");
    assert_eq!(response.status, 502);
    assert_eq!(run_count(&runners), 1);
}

#[test_case("POST", "/summary/1", "llm", &events(0..LAST_EVENT + 1))]
#[test_case("POST", "/draft/1", "llm", &events(0..LAST_EVENT + 1))]
#[test_case("GET", "/lookup/1", "desk", WHOLE_BODY)]
#[test_case("POST", "/booking/1", "desk", WHOLE_BODY)]
fn a_response_without_a_length_of_a_runner_that_lives_is_complete_after_one_run(
    method: &str,
    path: &str,
    service: &str,
    content: &str,
) {
    let content = content.to_owned();
    let sent = content.clone();
    let script = move |request: &ReceivedRequest| match is_run(request) {
        true => Reaction::RawThenClose(unframed(request, &sent)),
        false => engine_script(LAST_EVENT)(request),
    };
    let runners = ["i-1", "i-2"].map(|id| RunnerStandIn::start(id, script.clone()).unwrap());
    let response = respond(&runners, service, method, path);
    assert_eq!((response.status, response.text()), (200, content));
    assert!(response.complete);
    assert_eq!(run_count(&runners), 1);
    let questions =
        runners.iter().flat_map(RunnerStandIn::requests).filter(ReceivedRequest::is_report);
    assert!(questions.count() <= 1, "the runner was asked more than once");
}

/// Guards against whole streams that are cut because an idle connection to their runner has gone silent.
#[test]
fn a_runner_that_lives_is_asked_on_a_new_connection_when_an_idle_one_is_silent() {
    const STREAM_GAP: Duration = Duration::from_millis(50);
    // Connections that have carried a stream, and are idle afterwards.
    let used = Mutex::new(HashSet::new());
    let script = move |request: &ReceivedRequest| match (request.path(), is_run(request)) {
        ("/draft/framed", _) => {
            used.lock().unwrap().insert(request.connection);
            let whole = EventStream::for_request(request, LAST_EVENT);
            Reaction::Stream(EventStream { pause: STREAM_GAP, ..whole })
        }
        (_, true) => Reaction::RawThenClose(unframed(request, &events(0..LAST_EVENT + 1))),
        ("/v1/report", false) if used.lock().unwrap().contains(&request.connection) => {
            Reaction::Silent
        }
        _ => engine_script(LAST_EVENT)(request),
    };
    let runner = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut clients = [node.client(), node.client()];
    for client in &mut clients {
        client.request("POST", "/draft/framed", "id-framed", PROMPT, b"x");
    }
    for client in &mut clients {
        assert!(client.read_response().complete);
    }
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-unframed", PROMPT, b"x");
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..LAST_EVENT + 1)));
    assert!(response.complete);
    let reports = runner.requests().into_iter().filter(ReceivedRequest::is_report);
    assert_eq!(reports.count(), 2, "the silent connection was not asked first");
}
