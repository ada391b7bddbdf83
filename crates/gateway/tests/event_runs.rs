//! Streams that a runner breaks off and whose next run does not continue them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{engine_script, stream_head, Reaction, RunnerStandIn};
use support::{Fixture, RawResponse};
use test_case::test_case;

/// Events with these ids; `-` stands for an event without id.
fn events(ids: &str) -> String {
    let event = |id: &str| match id {
        "-" => "data: x\n\n".to_owned(),
        id => format!("id: {id}\ndata: x\n\n"),
    };
    ids.split_whitespace().map(event).collect()
}

fn is_run(request: &ReceivedRequest) -> bool {
    request.method == "POST" && request.path() == "/summary/1"
}

/// A runner that breaks off each stream that it begins, and sends `second` as the rest of one that it continues.
fn runner(id: &str, first: &'static str, second: &'static str) -> RunnerStandIn {
    let script = move |request: &ReceivedRequest| {
        if !is_run(request) {
            return engine_script(0)(request);
        }
        let mut bytes = stream_head(request, "transfer-encoding: chunked\r\n");
        let is_continued = request.header("last-event-id").is_some();
        let text = events(if is_continued { second } else { first });
        bytes.extend_from_slice(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        if !is_continued {
            return Reaction::RawThenClose(bytes);
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        Reaction::Raw(bytes)
    };
    RunnerStandIn::start(id, script).unwrap()
}

/// What a client receives of a stream from two such runners, and how many runs there were.
fn receive(first: &'static str, second: &'static str, headers: &str) -> (RawResponse, usize) {
    receive_from(&["i-1", "i-2"].map(|id| runner(id, first, second)), headers)
}

/// What a client receives of a stream from one of these runners, and how many runs there were.
fn receive_from(runners: &[RunnerStandIn; 2], headers: &str) -> (RawResponse, usize) {
    let decode_runners = runners.each_ref().map(|runner| (runner, "llm", Some("decode")));
    let node = Fixture::with_runners(&decode_runners);
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", headers, b"x");
    let response = client.read_response();
    let runs = runners.iter().flat_map(RunnerStandIn::requests).filter(is_run).count();
    (response, runs)
}

#[test_case("0 1 2", "3 4"; "the rest")]
#[test_case("0 4 8", "0 4 8 12"; "all again")]
#[test_case("0 1 2", "3 -"; "a last event without id")]
fn a_stream_is_whole_if_its_second_run_fits(first: &'static str, second: &'static str) {
    let (response, runs) = receive(first, second, "");
    let rest = second.trim_start_matches(first);
    assert_eq!(response.text(), events(&format!("{first} {rest}")));
    assert!(response.complete);
    assert_eq!(runs, 2);
}

#[test_case("0 3 6", "4 8"; "ids of other steps")]
#[test_case("0 1 2 3", "0 1"; "an end before the last event")]
fn a_stream_is_cut_if_its_second_run_repeats_other_events(
    first: &'static str,
    second: &'static str,
) {
    let (response, runs) = receive(first, second, "");
    assert_eq!(response.text(), events(first));
    assert!(!response.complete);
    assert_eq!(runs, 2);
}

#[test]
fn a_stream_that_a_client_takes_up_gets_nothing_from_runs_that_repeat_other_events() {
    let (response, runs) = receive("", "4 8", "Last-Event-Id: 6\r\n");
    assert_eq!((response.status, runs), (502, 2));
}

#[test]
fn a_stream_is_cut_if_its_second_run_begins_without_id() {
    let (response, runs) = receive("0 1 2", "- 3", "");
    assert_eq!(response.text(), events("0 1 2"));
    assert!(!response.complete);
    assert_eq!(runs, 2);
}

#[test_case("- -"; "no ids")]
#[test_case("0 1 -"; "no last id")]
fn a_stream_is_not_continued_after_an_event_without_id(first: &'static str) {
    let (response, runs) = receive(first, "2 3", "");
    assert_eq!(response.text(), events(first));
    assert!(!response.complete);
    assert_eq!(runs, 1);
}

#[test_case("0 1 1"; "repeated")]
#[test_case("5 3 4"; "falling")]
fn no_event_is_lost_where_the_ids_of_a_run_do_not_rise(first: &'static str) {
    let (response, runs) = receive(first, "6", "");
    assert_eq!(response.text(), events(first));
    assert!(!response.complete);
    assert_eq!(runs, 1);
}

#[test]
fn no_second_runner_is_asked_for_a_stalled_stream_after_an_event_without_id() {
    let stalling = |id: &str| {
        let script = |request: &ReceivedRequest| {
            if !is_run(request) {
                return engine_script(0)(request);
            }
            let mut bytes = stream_head(request, "");
            bytes.extend_from_slice(events("0 -").as_bytes());
            Reaction::Raw(bytes)
        };
        RunnerStandIn::start(id, script).unwrap()
    };
    let runners = ["i-1", "i-2"].map(stalling);
    let (response, runs) = receive_from(&runners, "X-Pitchstall-Deadline-Ms: 2500\r\n");
    assert_eq!(response.text(), events("0 -"));
    assert!(!response.complete);
    assert_eq!(runs, 1);
}
