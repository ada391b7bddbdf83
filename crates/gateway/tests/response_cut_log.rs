//! The log line of a response that is cut because it is too long.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use pitchstall_platform_standins::runner::{stream_head, Reaction, RunnerStandIn};
use std::fmt::Write;
use std::sync::Mutex;
use support::Fixture;

/// Keeps the lines about responses that were cut.
struct CutLines(Mutex<Vec<String>>);

static LINES: CutLines = CutLines(Mutex::new(Vec::new()));

impl Log for CutLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(format!("{} {}", record.level(), record.args()));
        record.key_values().visit(&mut line).unwrap();
        if line.0.contains("response cut") {
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

#[test]
fn a_response_that_is_cut_has_one_line_with_request_runner_part_and_limit() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Info);
    let runner = RunnerStandIn::start("i-desk", |request| Reaction::WithoutEnd {
        head: stream_head(request, ""),
        piece: vec![b'x'; 64 * 1024],
    })
    .unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"{}");
    assert_eq!(client.read_response().status, 502);
    let lines = LINES.0.lock().unwrap().clone();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected =
        "WARN response cut: too long request=id-1 runner=i-desk part=body limit_bytes=16777216";
    assert_eq!(lines[0], expected);
}
