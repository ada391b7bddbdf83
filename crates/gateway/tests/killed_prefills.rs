//! Requests whose prefill ends the process of a runner.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{stream_head, Reaction, RunnerStandIn};
use support::{json_response, wait_for, Fixture};
use test_case::test_case;

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// A runner whose process is killed after these bytes of its response to a prefill.
fn prefill_runner(framing: &'static str, sent: &'static str) -> RunnerStandIn {
    let script = move |request: &ReceivedRequest| match request.is_prefill() {
        true => Reaction::RawThenKill([&stream_head(request, framing), sent.as_bytes()].concat()),
        false => json_response(r#"{"epoch":"e","next_token":0,"held":[]}"#),
    };
    RunnerStandIn::start("i-prefill", script).unwrap()
}

/// A runner at which each request fails, so that no response shows that the request is harmless.
fn decode_runner() -> RunnerStandIn {
    let script = |request: &ReceivedRequest| match request.method.as_str() {
        "POST" => Reaction::Respond { status: 500, body: b"failed".to_vec() },
        _ => json_response(r#"{"epoch":"e","next_token":0,"held":[]}"#),
    };
    RunnerStandIn::start("i-decode", script).unwrap()
}

/// Guards against a killed runner whose end was taken for the end of its response, and that counted as no crash.
#[test_case("", ""; "without framing, before the body")]
#[test_case("", r#"{"kv_handle":"h1","#; "without framing, inside the body")]
#[test_case(CHUNKED, "12\r\n{\"kv_handle\":\"h1\",\r\n"; "between two chunks")]
#[test_case("content-length: 43\r\n", r#"{"kv_handle":"h1","#; "inside a known length")]
fn a_request_counts_as_running_at_a_runner_that_is_killed_in_its_prefill_response(
    framing: &'static str,
    sent: &'static str,
) {
    const PROMPT: &str =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    let (prefill, decode) = (prefill_runner(framing, sent), decode_runner());
    let runners = [(&prefill, "llm", Some("prefill")), (&decode, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = node.client();
    client.request("POST", "/summary/7", "id-1", PROMPT, b"a request that ends a runner");
    assert_eq!(client.read_response().status, 500);
    assert!(prefill.is_terminated());
    let names_runner = |key: &String| key.ends_with("/i-prefill");
    let is_recorded = || node.store.keys("pitchstall/crashes/").iter().any(names_runner);
    wait_for("the crash to be recorded", is_recorded);
}
