//! A refusal promises that a request has not run and never will: what proves that, and what does not.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use pitchstall_platform_standins::http::{response_bytes, ReceivedRequest};
use pitchstall_platform_standins::runner::{signed_response, Reaction, RunnerStandIn};
use std::sync::atomic::{AtomicBool, Ordering};
use support::Fixture;
use test_case::test_case;

const NOT_EXECUTED: (&str, &str) = ("x-pitchstall-not-executed", "1");
const OTHER_REQUEST: (&str, &str) = ("x-pitchstall-request-id", "id-other");

/// Responds to the first request as usual. The second one gets these bytes first and is run all the same.
fn runner_that_sends_first(foreign: Vec<u8>) -> RunnerStandIn {
    let is_first = AtomicBool::new(true);
    let script = move |request: &ReceivedRequest| {
        let own = signed_response(request, 200, b"booked");
        match is_first.swap(false, Ordering::SeqCst) {
            true => Reaction::Raw(own),
            false => Reaction::Raw([foreign.clone(), own].concat()),
        }
    };
    RunnerStandIn::start("i-desk", script).unwrap()
}

/// Status of a booking, which must not be repeated, on a connection that has already carried another request.
fn status_of_second_booking(runner: &RunnerStandIn) -> u16 {
    let node = Fixture::with_runners(&[(runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    assert_eq!(client.read_response().status, 200);
    client.request("POST", "/booking/1", "id-2", "", b"x");
    client.read_response().status
}

/// Guards against refusals on the ground of a response to another exchange on the same connection.
#[test_case(400, &[NOT_EXECUTED]; "bad request that names none")]
#[test_case(503, &[NOT_EXECUTED]; "full runner that names none")]
#[test_case(421, &[]; "misdirected request that names none")]
fn a_response_that_names_no_request_is_no_promise(status: u16, headers: &[(&str, &str)]) {
    let runner = runner_that_sends_first(response_bytes(status, headers, b""));
    assert_eq!(status_of_second_booking(&runner), 502);
}

/// Guards against requests to an address at which another runner has responded.
#[test]
fn a_misdirected_response_that_names_no_request_takes_the_runner_out_of_use() {
    let runner = runner_that_sends_first(response_bytes(421, &[], b""));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let statuses = ["id-1", "id-2", "id-3"].map(|id| {
        let mut client = node.client();
        client.request("POST", "/booking/1", id, "", b"x");
        client.read_response().status
    });
    assert_eq!(statuses, [200, 502, 503]);
}

/// Guards against refusals on the ground of a late response to another request.
#[test_case(503, &[NOT_EXECUTED, OTHER_REQUEST]; "full runner")]
#[test_case(421, &[OTHER_REQUEST]; "misdirected request")]
fn a_response_that_names_another_request_is_no_promise(status: u16, headers: &[(&str, &str)]) {
    let runner = runner_that_sends_first(response_bytes(status, headers, b""));
    assert_eq!(status_of_second_booking(&runner), 200);
}

/// Guards against passing a status on as a promise that the runner has not given.
#[test_case(408)]
#[test_case(429)]
#[test_case(503)]
fn a_runners_status_without_its_word_that_it_has_not_run_is_no_promise(status: u16) {
    let script =
        move |request: &ReceivedRequest| Reaction::Raw(signed_response(request, status, b"no"));
    let runner = RunnerStandIn::start("i-desk", script).unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    let response = client.read_response();
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-pitchstall-server-stamp"), None);
}
