//! The log line about the release of a KV handle.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use support::log_lines::LogLines;
use support::{json_response, wait_for, Fixture};

static LINES: LogLines = LogLines::with("release of KV handle");

/// Guards against a refusal whose head was taken for the release of the handle.
#[test]
fn a_handle_whose_release_is_refused_is_not_logged_as_freed() {
    const PROMPT: &str =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    LINES.install();
    let prefill = RunnerStandIn::start("i-prefill", |request| match request.method.as_str() {
        "POST" => json_response(r#"{"kv_handle":"h1","tokens":9000,"version":1}"#),
        "DELETE" => Reaction::Respond { status: 503, body: Vec::new() },
        _ => json_response(""),
    });
    let decode = RunnerStandIn::start("i-decode", |request| match request.method.as_str() {
        "POST" => Reaction::Silent,
        _ => json_response(""),
    });
    let (prefill, decode) = (prefill.unwrap(), decode.unwrap());
    let runners = [(&prefill, "llm", Some("prefill")), (&decode, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-1", PROMPT, b"x");
    let is_run = |request: &ReceivedRequest| request.method == "POST";
    wait_for("the decode runner to be asked", || decode.requests().iter().any(is_run));
    drop(client);
    wait_for("the line", || !LINES.lines().is_empty());
    let line = LINES.lines()[0].clone();
    assert_eq!(line, "INFO release of KV handle requested runner=i-prefill handle=h1 freed=false");
}
