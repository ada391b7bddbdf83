//! Responses of runners with a status that HTTP doesn't know, in front of one that looks like a success.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    signed_response, stream_head, EventStream, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use support::{json_response, Fixture};
use test_case::test_case;

const SUCCESS: u16 = 200;
const SUCCESS_BODY: &[u8] = b"all of it";
const LAST_EVENT: u64 = 3;
const BAD_GATEWAY: u16 = 502;

/// The signed head of a response without a body, with this status.
fn head(request: &ReceivedRequest, status: &str) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request, "content-length: 0\r\n")).unwrap();
    head.replacen("200 OK", &format!("{status} Unknown"), 1).into_bytes()
}

/// A runner that responds whole to the first `whole_runs` runs. To all others it responds with the status, and then with a
/// success.
fn runner(status: &'static str, whole_runs: usize) -> RunnerStandIn {
    let runs = AtomicUsize::new(0);
    let script = move |request: &ReceivedRequest| {
        let success = signed_response(request, SUCCESS, SUCCESS_BODY);
        let is_whole = request.id().is_none() || runs.fetch_add(1, Ordering::SeqCst) < whole_runs;
        match is_whole {
            true => Reaction::Raw(success),
            false => Reaction::Raw([head(request, status), success].concat()),
        }
    };
    RunnerStandIn::start("i-1", script).unwrap()
}

/// Guards against a status of a runner in trouble that the client gets, or that is skipped like an interim one.
#[test_case("000", 0; "000 on a new connection")]
#[test_case("000", 1; "000 on a kept connection")]
#[test_case("099", 0; "099 on a new connection")]
#[test_case("099", 1; "099 on a kept connection")]
#[test_case("600", 0; "600 on a new connection")]
#[test_case("600", 1; "600 on a kept connection")]
#[test_case("999", 0; "999 on a new connection")]
#[test_case("999", 1; "999 on a kept connection")]
fn a_response_with_an_unknown_status_is_no_response(status: &'static str, whole_runs: usize) {
    let runner = runner(status, whole_runs);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    for number in 0..whole_runs {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"x");
        assert_eq!(client.read_response().status, SUCCESS);
    }
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-unknown", "", b"x");
    let response = client.read_response();
    assert_eq!((response.status, response.text().as_str()), (BAD_GATEWAY, ""));
    assert_eq!(response.header("x-pitchstall-server-stamp"), None);
}

/// Guards against a handle that is used though its response began with such a status.
#[test_case("000")]
#[test_case("600")]
fn a_handle_after_an_unknown_status_is_not_used(status: &'static str) {
    const PROMPT: &str =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    const NO_PARTS: &str = r#"{"epoch":"e","next_token":0,"held":[]}"#;
    let prefill_script = move |request: &ReceivedRequest| match request.is_prefill() {
        true => {
            let handle = signed_response(
                request,
                SUCCESS,
                br#"{"kv_handle":"h1","tokens":9000,"version":1}"#,
            );
            Reaction::Raw([head(request, status), handle].concat())
        }
        false => json_response(NO_PARTS),
    };
    let prefill = RunnerStandIn::start("i-prefill", prefill_script).unwrap();
    let decode_script = |request: &ReceivedRequest| match request.method.as_str() {
        "POST" => Reaction::Stream(EventStream::for_request(request, LAST_EVENT)),
        _ => json_response(NO_PARTS),
    };
    let decode = RunnerStandIn::start("i-decode", decode_script).unwrap();
    let runners = [(&prefill, "llm", Some("prefill")), (&decode, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = node.client();
    client.request("POST", "/summary/7", "id-1", PROMPT, b"x");
    assert_eq!(client.read_response().status, SUCCESS);
    assert!(prefill.requests().iter().any(ReceivedRequest::is_prefill));
    let uses_handle =
        |request: &ReceivedRequest| request.header("x-pitchstall-kv-source").is_some();
    assert!(!decode.requests().iter().any(uses_handle));
}
