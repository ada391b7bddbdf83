//! The log line of a successful response that neither a length nor chunks delimit.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{stream_head, Reaction, RunnerStandIn};
use std::sync::atomic::{AtomicUsize, Ordering};
use support::log_lines::LogLines;
use support::Fixture;

static LINES: LogLines = LogLines::with("response without framing");

#[test]
fn a_response_without_framing_has_a_line_that_says_what_its_runner_has_sent_before() {
    LINES.install();
    let runs = AtomicUsize::new(0);
    let runner = RunnerStandIn::start("i-desk", move |request| {
        if request.method != "POST" || runs.fetch_add(1, Ordering::SeqCst) == 0 {
            return Reaction::Respond { status: 200, body: b"ok".to_vec() };
        }
        Reaction::RawThenClose([stream_head(request, ""), b"ok".to_vec()].concat())
    })
    .unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    for number in 0..2 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"{}");
        client.read_response();
    }
    let lines = LINES.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected = "INFO response without framing request=id-1 runner=i-desk habit=framed \
                    announced=false damage=framing_missing";
    assert_eq!(lines[0], expected);
}
