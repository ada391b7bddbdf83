//! Requests through a node to runners that behave correctly and runners that misbehave.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::{response_bytes, ReceivedRequest};
use pitchstall_platform_standins::runner::{
    event_text, signed_response, stream_head, EventStream, Reaction, RunnerStandIn,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::{wait_for, Fixture};
use test_case::test_case;

fn ok(body: &str) -> Reaction {
    Reaction::Respond { status: 200, body: body.as_bytes().to_vec() }
}

fn desk(script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static) -> RunnerStandIn {
    RunnerStandIn::start("i-desk", script).unwrap()
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event_text).collect()
}

#[test]
fn a_request_and_its_response_pass_unchanged() {
    let runner = desk(|_| ok("booked"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    let extra = "X-Pitchstall-Deadline-Ms: 3000\r\nX-Own: 1\r\nX-Own: 2\r\n";
    client.request("POST", "/booking/a%20b?x=1&y", "id-1", extra, b"a booking");
    let response = client.read_response();
    assert_eq!((response.status, response.text().as_str()), (200, "booked"));
    assert_eq!(response.header("x-pitchstall-server-stamp"), Some("stamp"));
    assert_eq!(response.header("x-pitchstall-request-id"), Some("id-1"));
    assert_eq!(response.header("x-pitchstall-load-report"), None);
    let received = &runner.requests()[0];
    assert_eq!(received.target, "/booking/a%20b?x=1&y");
    assert_eq!(received.body, b"a booking");
    assert_eq!(received.header("x-pitchstall-expect-instance"), Some("i-desk"));
    let remaining_ms: u64 = received.header("x-pitchstall-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&remaining_ms));
    assert_eq!(received.headers.iter().filter(|(name, _)| name == "x-own").count(), 2);
}

#[test]
fn a_chunked_body_arrives_complete() {
    let runner = desk(|_| ok("booked"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "Transfer-Encoding: chunked\r\n", b"");
    client.send(b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n");
    assert_eq!(client.read_response().status, 200);
    assert_eq!(runner.requests()[0].body, b"abcdefg");
}

#[test]
fn clients_cannot_forge_internal_headers() {
    let runner = desk(|_| ok("booked"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    let forged = "X-Pitchstall-Expect-Instance: other\r\nX-Pitchstall-Stage: prefill\r\n\
        X-Pitchstall-Kv-Source: 1.2.3.4:5/h\r\nKv-Fetch: 1.2.3.4:5\r\n\
        X-Pitchstall-Request-Priority: 0\r\nX-Pitchstall-Hold: h\r\nX-Pitchstall-Pin-Ms: 9\r\n\
        X-Pitchstall-Kv-Backup: 1.2.3.4:5\r\nX-Pitchstall-Expect-Version: 9\r\n\
        Connection: keep-alive, X-Secret\r\nX-Secret: 1\r\n";
    client.request("POST", "/booking/1", "id-1", forged, b"x");
    assert_eq!(client.read_response().status, 200);
    let received = &runner.requests()[0];
    assert_eq!(received.header("x-pitchstall-expect-instance"), Some("i-desk"));
    for name in [
        "x-pitchstall-stage",
        "x-pitchstall-kv-source",
        "kv-fetch",
        "x-pitchstall-request-priority",
        "x-pitchstall-hold",
        "x-pitchstall-pin-ms",
        "x-pitchstall-kv-backup",
        "x-pitchstall-expect-version",
        "x-secret",
    ] {
        assert_eq!(received.header(name), None, "{name}");
    }
}

#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\
    Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "two framings")]
#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\
    Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 400; "two lengths")]
#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n", 400; "no id")]
#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\
    X-Pitchstall-Request-Id: b\r\n\r\n", 400; "two ids")]
#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\
    X-Pitchstall-Deadline-Ms: soon\r\n\r\n", 400; "a deadline that is not a number")]
#[test_case("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\
    Content-Length: 70000\r\n\r\n", 413; "a body over the limit")]
#[test_case("no HTTP at all\r\n\r\n", 400; "no HTTP")]
#[test_case("GET /nowhere/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: a\r\n\r\n", 404; "no route")]
fn bad_input_gets_a_clear_error_and_reaches_no_runner(request: &str, status: u16) {
    let runner = desk(|_| ok("booked"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.send(request.as_bytes());
    if status == 413 {
        client.send(&[b'x'; 70_000]);
    }
    assert_eq!(client.read_response().status, status);
    assert!(runner.requests().is_empty());
}

#[test]
fn a_head_over_the_size_limit_is_rejected() {
    let runner = desk(|_| ok("booked"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    let long = format!("X-Long: {}\r\n", "x".repeat(9_000));
    client.request("POST", "/booking/1", "id-1", &long, b"");
    assert_eq!(client.read_response().status, 431);
    assert!(runner.requests().is_empty());
}

#[test]
fn a_declined_request_goes_to_another_runner() {
    let full = RunnerStandIn::start("i-full", |_| Reaction::Decline).unwrap();
    let moved = RunnerStandIn::start("i-moved", |_| Reaction::Misdirected).unwrap();
    let is_released = Arc::new(AtomicBool::new(false));
    let released = is_released.clone();
    let hold_first = move |request: &ReceivedRequest| {
        while request.path() == "/booking/held" && !released.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        ok("booked")
    };
    let free = RunnerStandIn::start("i-free", hold_first).unwrap();
    let node = Fixture::with_runners(&[
        (&full, "desk", None),
        (&moved, "desk", None),
        (&free, "desk", None),
    ]);
    // While the free runner has a request, the others have fewer and are chosen first.
    let mut held = Vec::new();
    wait_for("a request to be held", || {
        let mut client = node.client();
        client.request("POST", "/booking/held", &format!("id-held-{}", held.len()), "", b"x");
        held.push(client);
        !free.requests().is_empty()
    });
    for number in 0..6 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"x");
        let response = client.read_response();
        // Requests fill the retry budget, so a refusal may be returned before it allows a retry.
        assert!(matches!(response.status, 200 | 503), "{}", response.status);
        assert_eq!(response.status == 503, response.header("retry-after").is_some());
    }
    is_released.store(true, Ordering::SeqCst);
    assert!(!full.requests().is_empty());
    assert!(!moved.requests().is_empty());
    assert!(free.requests().len() > 1);
}

#[test_case(Reaction::RawThenClose(Vec::new()); "closed without a response")]
#[test_case(Reaction::RawThenReset(Vec::new()); "reset without a response")]
#[test_case(Reaction::Raw(b"what is this\r\n\r\n".to_vec()); "no HTTP response")]
#[test_case(Reaction::RawThenClose(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhal".to_vec()); "unsigned and truncated")]
#[test_case(Reaction::Raw(response_bytes(200, &[], b"whose?")); "a success without a signature")]
#[test_case(Reaction::Raw(response_bytes(503, &[], b"")); "a refusal without a promise that it has not run")]
fn a_request_that_may_have_run_is_neither_retried_nor_reported_as_refused(reaction: Reaction) {
    let runs = std::sync::Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let script = move |_: &ReceivedRequest| {
        counted.fetch_add(1, Ordering::SeqCst);
        reaction.clone()
    };
    let one = RunnerStandIn::start("i-1", script.clone()).unwrap();
    let two = RunnerStandIn::start("i-2", script).unwrap();
    let node = Fixture::with_runners(&[(&one, "desk", None), (&two, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    assert_eq!(client.read_response().status, 502);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[test]
fn a_truncated_response_is_not_forwarded() {
    let runner = desk(|request| {
        let whole = signed_response(request, 200, b"a whole answer");
        Reaction::RawThenReset(whole[..whole.len() - 5].to_vec())
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    let response = client.read_response();
    assert_eq!((response.status, response.text().as_str()), (502, ""));
}

#[test]
fn a_response_without_a_length_is_complete_only_after_an_orderly_close() {
    let runner = desk(|request| {
        let response = [stream_head(request, ""), b"all of it".to_vec()].concat();
        match request.path() {
            "/booking/closed" => Reaction::RawThenClose(response),
            _ => Reaction::RawThenReset(response),
        }
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/closed", "id-1", "", b"x");
    let response = client.read_response();
    assert_eq!((response.status, response.text().as_str()), (200, "all of it"));
    client.request("POST", "/booking/reset", "id-2", "", b"x");
    assert_eq!(client.read_response().status, 502);
}

#[test]
fn a_surplus_response_never_reaches_another_request() {
    let runner = desk(|request| {
        let own = signed_response(request, 200, b"own");
        let surplus = signed_response(request, 200, b"surplus");
        Reaction::Raw([own, surplus].concat())
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for number in 0..5 {
        let id = format!("id-{number}");
        client.request("GET", "/lookup/1", &id, "", b"");
        let response = client.read_response();
        assert_eq!(response.status, 200);
        assert_eq!(response.header("x-pitchstall-request-id"), Some(id.as_str()));
        assert_eq!(response.text(), "own");
    }
}

#[test]
fn a_late_surplus_response_is_skipped() {
    let runner = desk(|request| {
        if request.path() == "/lookup/second" {
            let late = signed_response(
                &ReceivedRequest {
                    headers: vec![("x-pitchstall-request-id".into(), "id-1".into())],
                    ..request.clone()
                },
                200,
                b"late",
            );
            return Reaction::Raw([late, signed_response(request, 200, b"own")].concat());
        }
        ok("first")
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("GET", "/lookup/first", "id-1", "", b"");
    assert_eq!(client.read_response().text(), "first");
    client.request("GET", "/lookup/second", "id-2", "", b"");
    let response = client.read_response();
    assert_eq!(response.header("x-pitchstall-request-id"), Some("id-2"));
    assert_eq!(response.text(), "own");
}

#[test]
fn an_early_response_leaves_no_body_bytes_for_the_next_request() {
    let runner = desk(|_| ok("early"));
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for number in 0..4 {
        client.request("POST", "/booking/1", &format!("id-{number}"), "", &[b'x'; 60_000]);
        assert_eq!(client.read_response().status, 200);
    }
    assert!(runner.requests().iter().all(|request| request.body.len() == 60_000));
}

#[test]
fn a_runner_that_closes_after_a_response_gets_the_next_request_on_a_new_connection() {
    let runner = desk(|request| {
        let signed = signed_response(request, 200, b"booked");
        let text = String::from_utf8(signed).unwrap();
        let closing = text.replacen("\r\n", "\r\nconnection: close\r\n", 1);
        Reaction::RawThenClose(closing.into_bytes())
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for number in 0..3 {
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"a booking");
        let response = client.read_response();
        assert_eq!((response.status, response.text().as_str()), (200, "booked"));
    }
    assert_eq!(runner.requests().len(), 3);
}

#[test]
fn an_idempotent_request_is_retried_on_another_runner() {
    let bad = RunnerStandIn::start("i-bad", |_| Reaction::RawThenClose(Vec::new())).unwrap();
    let good = RunnerStandIn::start("i-good", |_| ok("found")).unwrap();
    let node = Fixture::with_runners(&[(&bad, "desk", None), (&good, "desk", None)]);
    let mut client = node.client();
    for number in 0..4 {
        client.request("GET", "/lookup/1", &format!("id-{number}"), "", b"");
        let response = client.read_response();
        assert!(matches!(response.status, 200 | 502), "{}", response.status);
    }
    assert!(!good.requests().is_empty());
}

#[test]
fn a_client_disconnect_stops_the_runner() {
    let runner = desk(|_| Reaction::Silent);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    wait_for("the runner to have the request", || runner.requests().len() == 1);
    drop(client);
    wait_for("the runner's connection to be closed", || runner.closed_early() == 1);
}

#[test]
fn a_request_past_its_deadline_gets_a_gateway_timeout() {
    let runner = desk(|_| Reaction::Silent);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "X-Pitchstall-Deadline-Ms: 200\r\n", b"x");
    assert_eq!(client.read_response().status, 504);
    wait_for("the runner's connection to be closed", || runner.closed_early() == 1);
}

#[test]
fn a_stream_is_forwarded_completely() {
    let runner = desk(|request| Reaction::Stream(EventStream::for_request(request, 20)));
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-1", "", b"x");
    let response = client.read_response();
    assert!(response.complete);
    assert_eq!(response.text(), events(0..=20));
    assert_eq!(response.header("x-pitchstall-server-stamp"), Some("stamp"));
}

#[test]
fn a_broken_stream_is_visibly_truncated() {
    let runner = desk(|request| {
        let whole = EventStream::for_request(request, 20);
        Reaction::Stream(EventStream { cut_after_event: Some(4), ..whole })
    });
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-1", "", b"x");
    let response = client.read_response();
    assert!(!response.complete);
    assert_eq!(response.text(), events(0..=4), "only complete events are forwarded");
    assert!(client.is_closed_by_node());
    // The node may also have asked the runner for its cache listing, which is not a run.
    let is_run = |request: &&ReceivedRequest| request.header("x-pitchstall-request-id").is_some();
    assert_eq!(runner.requests().iter().filter(is_run).count(), 1, "it may not run twice");
}

#[test]
fn a_resumable_stream_continues_on_another_runner() {
    let breaking = |request: &ReceivedRequest| {
        let whole = EventStream::for_request(request, 9);
        let cut_after_event =
            if request.header("last-event-id").is_none() { Some(4) } else { None };
        Reaction::Stream(EventStream { cut_after_event, ..whole })
    };
    let one = RunnerStandIn::start("i-1", breaking).unwrap();
    let two = RunnerStandIn::start("i-2", breaking).unwrap();
    let runners = [(&one, "llm", Some("decode")), (&two, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    // These requests fill the retry budget for the stream that is resumed below.
    let mut client = node.client();
    for number in 0..3 {
        let id = format!("earn-{number}");
        client.request("POST", "/summary/1", &id, "Last-Event-Id: 8\r\n", b"x");
        assert_eq!(client.read_response().text(), events(9..=9));
    }
    client.request("POST", "/summary/1", "id-1", "", b"x");
    let response = client.read_response();
    assert!(response.complete);
    assert_eq!(response.text(), events(0..=9));
    let received = [one.requests(), two.requests()].concat();
    let runs_of_request =
        received.iter().filter(|it| it.header("x-pitchstall-request-id") == Some("id-1"));
    let mut after: Vec<_> =
        runs_of_request.map(|it| it.header("last-event-id").map(str::to_owned)).collect();
    after.sort();
    assert_eq!(after, [None, Some("4".to_owned())]);
}

#[test]
fn a_prompt_is_prefilled_separately_and_its_handle_used_once() {
    let prefill = RunnerStandIn::start("i-prefill", |request| match request.method.as_str() {
        "POST" => ok(r#"{"kv_handle":"h1","tokens":9000,"version":1}"#),
        _ => ok(""),
    })
    .unwrap();
    let decode = RunnerStandIn::start("i-decode", |request| {
        Reaction::Stream(EventStream::for_request(request, 3))
    })
    .unwrap();
    let runners = [(&prefill, "llm", Some("prefill")), (&decode, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = node.client();
    let prompt =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    client.request("POST", "/draft/1", "id-1", prompt, b"x");
    assert_eq!(client.read_response().text(), events(0..=3));
    let read: Vec<_> = prefill.requests().into_iter().filter(|it| it.method == "POST").collect();
    assert_eq!(read.len(), 1);
    assert_eq!(read[0].header("x-pitchstall-stage"), Some("prefill"));
    let run = decode.requests().into_iter().find(|it| it.method == "POST").unwrap();
    let source = format!("{}/h1", prefill.address());
    assert_eq!(run.header("x-pitchstall-kv-source"), Some(source.as_str()));
    assert!(prefill.requests().iter().all(|it| it.method != "DELETE"));
}

#[test]
fn an_unused_handle_is_released() {
    let prefill = RunnerStandIn::start("i-prefill", |request| match request.method.as_str() {
        "POST" => ok(r#"{"kv_handle":"h1","tokens":9000,"version":1}"#),
        _ => ok(""),
    })
    .unwrap();
    let decode = RunnerStandIn::start("i-decode", |request| match request.method.as_str() {
        "POST" => Reaction::Silent,
        _ => ok(""),
    })
    .unwrap();
    let runners = [(&prefill, "llm", Some("prefill")), (&decode, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    let mut client = node.client();
    let prompt =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    client.request("POST", "/draft/1", "id-1", prompt, b"x");
    let has_request = || decode.requests().iter().any(|it| it.method == "POST");
    wait_for("the decode runner to be asked", has_request);
    drop(client);
    let is_released = || prefill.requests().iter().any(|it| it.target == "/v1/kv-handle/h1");
    wait_for("the handle to be freed", is_released);
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let runner = desk(|request| {
        let whole = EventStream::for_request(request, 1_000);
        Reaction::Stream(EventStream { pause: Duration::from_millis(20), ..whole })
    });
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request("POST", "/draft/1", "id-1", "", b"x");
    client.wait_for_text("token 1\n");
    assert_eq!(runner.closed_early(), 0);
    drop(client);
    wait_for("the runner to stop", || runner.closed_early() == 1);
}

#[test]
fn a_runner_gets_no_more_connections_than_its_limit() {
    let runner = desk(|request| match request.path() {
        "/booking/slow" => Reaction::Silent,
        _ => ok("booked"),
    });
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut limited = support::configuration(5);
    limited["services"][0]["max_conns"] = 3.into();
    let mut marker = support::route("marker", "idempotent", "desk");
    marker["timeout_ms"] = 4_000.into();
    limited["routes"].as_array_mut().unwrap().push(marker);
    node.store.put("op/config", &limited);
    let send_request = |path: &str| {
        let mut client = node.client();
        client.request("GET", path, "id", "", b"");
        client.read_response().status
    };
    wait_for("the configuration", || send_request("/marker/1") == 200);
    let mut slow = [node.client(), node.client()];
    for (number, client) in slow.iter_mut().enumerate() {
        client.request("POST", "/booking/slow", &format!("slow-{number}"), "", b"x");
    }
    let is_slow = |request: &&ReceivedRequest| request.path() == "/booking/slow";
    wait_for("both to be there", || runner.requests().iter().filter(is_slow).count() == 2);
    assert_eq!(send_request("/marker/1"), 503, "refused, because it has certainly not run");
}

#[test]
fn a_stalled_stream_is_kept_while_no_other_runner_can_resume_it() {
    let pause = Duration::from_millis(1_600);
    let slow = RunnerStandIn::start("i-slow", move |request| {
        Reaction::Stream(EventStream { pause, ..EventStream::for_request(request, 1) })
    })
    .unwrap();
    let node = Fixture::with_runners(&[(&slow, "llm", Some("decode"))]);
    // Gives the node a runner whose requests fill the retry budget.
    let desk = desk(|_| ok("booked"));
    node.add_runner(&desk, "desk", None);
    let mut client = node.client();
    client.request("POST", "/summary/1", "id-1", "", b"x");
    let response = client.read_response();
    assert_eq!((response.status, response.text()), (200, events(0..=1)));
    assert!(response.complete);
}
