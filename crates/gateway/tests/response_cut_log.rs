//! The log line of a response that is cut because it is too long.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{stream_head, Reaction, RunnerStandIn};
use support::log_lines::LogLines;
use support::Fixture;

static LINES: LogLines = LogLines::with("response cut");

#[test]
fn a_response_that_is_cut_has_one_line_with_request_runner_part_and_limit() {
    LINES.install();
    let runner = RunnerStandIn::start("i-desk", |request| Reaction::WithoutEnd {
        head: stream_head(request, ""),
        piece: vec![b'x'; 64 * 1024],
    })
    .unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"{}");
    assert_eq!(client.read_response().status, 502);
    let lines = LINES.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected =
        "WARN response cut: too long request=id-1 runner=i-desk part=body limit_bytes=16777216";
    assert_eq!(lines[0], expected);
}
