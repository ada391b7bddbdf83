//! Runners that report in their responses that they are leaving or need a rest period.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, refusal_with_notice, signed_response_with_notice, EventStream, NoticeHeaders,
    Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{get, runner_entry, wait_for, Fixture, RawResponse};

const PROMPT: &str =
    "X-Pitchstall-Token-Count: 1460,80\r\nX-Pitchstall-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";

const LEAVING: NoticeHeaders = NoticeHeaders { leaving: true, retry_after: None, limit: None };
/// Longer than any of these tests.
const LONG_REST: NoticeHeaders =
    NoticeHeaders { leaving: false, retry_after: Some("120"), limit: None };

fn answering(text: &'static str) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    move |_| Reaction::Respond { status: 200, body: text.as_bytes().to_vec() }
}

fn send(node: &Fixture, path: &str, id: &str) -> RawResponse {
    let mut client = node.client();
    client.request("POST", path, id, PROMPT, b"{}");
    client.read_response()
}

/// Sends enough requests that each candidate runner receives some.
fn send_many(node: &Fixture, path: &str) {
    for number in 0..12 {
        send(node, path, &format!("id-{number}"));
    }
}

/// A decode runner that declines each decode and asks for a rest period.
fn resting_decode_runner() -> RunnerStandIn {
    let script = |request: &ReceivedRequest| match request.method.as_str() {
        "POST" => Reaction::Raw(refusal_with_notice(request, LONG_REST)),
        _ => engine_script(3)(request),
    };
    RunnerStandIn::start("w-1", script).unwrap()
}

/// A node with two runners of the service without prompts, one of which follows a script.
fn node_with_scripted_runner(
    script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
) -> (Fixture, RunnerStandIn) {
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let other = RunnerStandIn::start("i-2", answering("other")).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None), (&other, "desk", None)]);
    (node, one)
}

/// The registry entry says `ready` all the time, so the node learns only from a response that the
/// runner is leaving. One response of any kind is enough.
#[test]
fn a_runner_that_reports_leaving_gets_no_more_requests() {
    let whole = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, LEAVING, b"whole"))
    };
    let failure = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 500, LEAVING, b"failure"))
    };
    let declined = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LEAVING));
    let broken_off = |request: &ReceivedRequest| {
        let bytes = signed_response_with_notice(request, 200, LEAVING, b"broken off");
        Reaction::RawThenReset(bytes[..bytes.len() - 1].to_vec())
    };
    let unsigned = |request: &ReceivedRequest| {
        let bytes = signed_response_with_notice(request, 200, LEAVING, b"unsigned");
        let text = String::from_utf8(bytes).unwrap();
        Reaction::Raw(text.replace("x-pitchstall-server-stamp", "x-other").into_bytes())
    };
    type Script = fn(&ReceivedRequest) -> Reaction;
    let answers: [(&str, Script); 5] = [
        ("complete", whole),
        ("error response", failure),
        ("declined", declined),
        ("interrupted", broken_off),
        ("unsigned", unsigned),
    ];
    for (kind, script) in answers {
        let (node, leaving) = node_with_scripted_runner(script);
        send_many(&node, "/lookup/1");
        assert_eq!(leaving.requests().len(), 1, "{kind}");
    }
}

/// The runner declines one request and reports how long it accepts none.
#[test]
fn a_resting_runner_gets_no_request_before_its_rest_ends() {
    let script = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LONG_REST));
    let (node, resting) = node_with_scripted_runner(script);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(600) {
        assert_eq!(send(&node, "/lookup/1", "id").status, 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(resting.requests().len(), 1);
}

/// While prompts are being prefilled, the decode runner planned for some of them declines another
/// request and asks for a rest period. None of the prompts may be decoded there.
#[test]
fn a_prefilled_prompt_is_not_decoded_by_a_resting_runner() {
    let resting = resting_decode_runner();
    let posts_at = |runner: &RunnerStandIn| {
        let requests = runner.requests();
        requests.into_iter().filter(|request| request.method == "POST").count()
    };
    let resting_clone = resting.clone();
    let prefill_runner = RunnerStandIn::start("r-1", move |request: &ReceivedRequest| {
        if request.path().starts_with("/summary/held") {
            wait_for("the other runner to request a rest", || posts_at(&resting_clone) > 0);
            std::thread::sleep(Duration::from_millis(50));
        }
        engine_script(3)(request)
    });
    let stream = |request: &ReceivedRequest| {
        let pause = Duration::from_millis(50);
        Reaction::Stream(EventStream { pause, ..EventStream::for_request(request, 3) })
    };
    let other = RunnerStandIn::start("w-2", stream).unwrap();
    let node = Fixture::with_runners(&[
        (&prefill_runner.unwrap(), "llm", Some("prefill")),
        (&resting, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
    ]);
    std::thread::scope(|scope| {
        for number in 0..6 {
            let node = &node;
            scope.spawn(move || send(node, "/summary/held", &format!("id-held-{number}")));
        }
        std::thread::sleep(Duration::from_millis(100));
        let mut number = 0;
        wait_for("a request to reach the runner that asks for a rest", || {
            number += 1;
            let (node, id) = (&node, format!("id-quick-{number}"));
            scope.spawn(move || send(node, "/summary/quick", &id));
            std::thread::sleep(Duration::from_millis(20));
            posts_at(&resting) > 0
        });
    });
    assert_eq!(posts_at(&resting), 1);
}

/// The entry is rewritten, expires and returns, while the registry does not know that the runner is
/// leaving.
#[test]
fn a_ready_entry_does_not_revoke_a_reported_leave() {
    let script = |request: &ReceivedRequest| {
        Reaction::Raw(signed_response_with_notice(request, 200, LEAVING, b"leaving"))
    };
    let (node, leaving) = node_with_scripted_runner(script);
    send_many(&node, "/lookup/1");
    assert_eq!(leaving.requests().len(), 1);
    let mut entry = runner_entry(&leaving, "desk", "north", "ready");
    entry["slots"] = 16.into();
    node.store.put("servers/i-1", &entry);
    std::thread::sleep(Duration::from_millis(200));
    send_many(&node, "/lookup/1");
    node.store.remove("servers/i-1");
    std::thread::sleep(Duration::from_millis(200));
    node.store.put("servers/i-1", &entry);
    std::thread::sleep(Duration::from_millis(200));
    send_many(&node, "/lookup/1");
    assert_eq!(leaving.requests().len(), 1);
}

/// All runners rest for longer than a request may wait, so it is refused at once without reaching a
/// runner.
#[test]
fn a_request_is_refused_at_once_while_all_runners_rest() {
    let rest = |request: &ReceivedRequest| Reaction::Raw(refusal_with_notice(request, LONG_REST));
    let one = RunnerStandIn::start("i-1", rest).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(send(&node, "/booking/1", "id-first").status, 503);
    for number in 0..20 {
        let answer = send(&node, "/booking/1", &format!("id-{number}"));
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(one.requests().len(), 1);
    let metrics = get(node.health, "/metrics").text();
    assert!(metrics.contains("pitchstall_unwanted_attempts_total 0"));
    assert!(metrics.contains("pitchstall_runner_notices_total{notice=\"rest\"} 1"));
}

/// The rest period ends within the time that a request may wait, so the request is held and then
/// served.
#[test]
fn a_request_waits_for_the_end_of_a_short_rest() {
    let has_declined = AtomicBool::new(false);
    let short = NoticeHeaders { leaving: false, retry_after: Some("0.2"), limit: None };
    let script = move |request: &ReceivedRequest| match has_declined.swap(true, Ordering::SeqCst) {
        false => Reaction::Raw(refusal_with_notice(request, short)),
        true => Reaction::Respond { status: 200, body: b"served".to_vec() },
    };
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    let declined = std::thread::scope(|scope| {
        let declined = scope.spawn(|| send(&node, "/booking/1", "id-declined"));
        wait_for("the runner to request a rest", || !one.requests().is_empty());
        std::thread::sleep(Duration::from_millis(20));
        assert_eq!(send(&node, "/booking/1", "id-held").text(), "served");
        declined.join().unwrap()
    });
    assert_eq!(declined.status, 503, "the only runner has declined the request");
    let received = one.requests();
    assert_eq!(received.len(), 2);
}

/// Another runner now uses the address and reports that it is leaving. This says nothing about the
/// runner that the node addressed.
#[test]
fn a_notice_of_another_runner_at_the_address_is_ignored() {
    let is_other = Arc::new(AtomicBool::new(true));
    let other = is_other.clone();
    let script = move |request: &ReceivedRequest| {
        if !other.load(Ordering::SeqCst) {
            return Reaction::Respond { status: 200, body: b"meant".to_vec() };
        }
        let id = request.header("x-pitchstall-request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 421 Status\r\nx-pitchstall-request-id: {id}\r\n\
             x-pitchstall-instance-id: another\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"
        );
        Reaction::Raw(head.into_bytes())
    };
    let one = RunnerStandIn::start("i-1", script).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None)]);
    assert_eq!(send(&node, "/booking/1", "id-1").status, 503);
    is_other.store(false, Ordering::SeqCst);
    let mut entry = runner_entry(&one, "desk", "north", "ready");
    entry["slots"] = 16.into();
    node.store.put("servers/i-1", &entry);
    wait_for("the runner to be used again", || send(&node, "/booking/1", "id-2").text() == "meant");
}

/// Another node chooses the runner and does not know what the runner has reported to this node.
#[test]
fn a_scheduler_choice_is_not_sent_to_a_resting_runner() {
    let resting = resting_decode_runner();
    let stream = |request: &ReceivedRequest| Reaction::Stream(EventStream::for_request(request, 3));
    let other = RunnerStandIn::start("w-2", stream).unwrap();
    let first = Fixture::with_runners(&[
        (&resting, "llm", Some("decode")),
        (&other, "llm", Some("decode")),
    ]);
    let nodes = [first.start_peer("node-2"), first.start_peer("node-3"), first];
    nodes.iter().for_each(Fixture::wait_until_ready);
    let was_placed_by_other_node = |node: &Fixture| {
        let metrics = get(node.health, "/metrics").text();
        !metrics.contains("pitchstall_placements_told_total 0")
    };
    wait_for("the third node to place requests of two others", || {
        nodes.iter().for_each(|node| send_many(node, "/summary/1"));
        nodes.iter().filter(|node| was_placed_by_other_node(node)).count() == 2
    });
    nodes.iter().for_each(|node| send_many(node, "/summary/1"));
    let posts = resting.requests().into_iter().filter(|request| request.method == "POST");
    assert!(posts.count() <= nodes.len(), "at most one request per node that was notified");
}
