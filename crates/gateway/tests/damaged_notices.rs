//! What a runner reports of itself, after a head that has lost lines.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    signed_response_with_notice, stream_head, NoticeHeaders, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{wait_for, Fixture};

const LIMITED: NoticeHeaders =
    NoticeHeaders { leaving: false, retry_after: None, limit: Some("2") };
const CLIENTS: usize = 24;
const BURST: Duration = Duration::from_millis(600);
/// Maximum number of requests in the time of the burst at two per second: those, and five saved ones.
const ALLOWED: usize = 6;

fn is_run(request: &ReceivedRequest) -> bool {
    request.method == "POST"
}

/// Guards against limits that end because the line that names them was lost.
#[test]
fn a_head_that_has_lost_lines_does_not_lift_the_limit_of_its_runner() {
    let runs = AtomicUsize::new(0);
    let script = move |request: &ReceivedRequest| {
        let run = if is_run(request) { runs.fetch_add(1, Ordering::SeqCst) } else { 0 };
        match run {
            0 => Reaction::Raw(signed_response_with_notice(request, 200, LIMITED, b"limited")),
            1 => Reaction::RawThenClose(stream_head(request, "")),
            _ => Reaction::Silent,
        }
    };
    let runner = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let send = |number: usize| {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"{}");
        client
    };
    let run_count = || runner.requests().iter().filter(|request| is_run(request)).count();
    assert_eq!(send(0).read_response().status, 200);
    // A request beyond the limit is refused.
    wait_for("the second run", || send(1).read_response().status == 502);
    assert_eq!(run_count(), 2);
    let clients: Vec<_> = (2..CLIENTS + 2).map(send).collect();
    std::thread::sleep(BURST);
    assert!(run_count() <= 2 + ALLOWED, "{} requests were sent in the burst", run_count() - 2);
    drop(clients);
}
