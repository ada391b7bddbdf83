//! The log line about the release of a KV handle.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::fmt::Write;
use std::sync::Mutex;
use support::{json_response, wait_for, Fixture};

/// Keeps the lines about released handles.
struct ReleaseLines(Mutex<Vec<String>>);

static LINES: ReleaseLines = ReleaseLines(Mutex::new(Vec::new()));

impl Log for ReleaseLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(record.args().to_string());
        record.key_values().visit(&mut line).unwrap();
        if line.0.contains("release of KV handle") {
            self.0.lock().unwrap().push(line.0);
        }
    }

    fn flush(&self) {}
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

/// Guards against a refusal whose head was taken for the release of the handle.
#[test]
fn a_handle_whose_release_is_refused_is_not_logged_as_freed() {
    const PROMPT: &str =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Info);
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
    wait_for("the line", || !LINES.0.lock().unwrap().is_empty());
    let line = LINES.0.lock().unwrap()[0].clone();
    assert_eq!(line, "release of KV handle requested runner=i-prefill handle=h1 freed=false");
}
