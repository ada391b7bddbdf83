//! Responses of runners that never end, or that are longer than a node accepts.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    engine_script, signed_response, stream_head, Reaction, RunnerStandIn,
};
use support::{get, wait_for, Fixture, RawClient, RawResponse};
use test_case::test_case;

/// What the kernel may hold of a connection that is not read any more, in both sockets' buffers.
const SOCKET_BUFFER_BYTES: usize = 12 * 1024 * 1024;
const MIB: usize = 1024 * 1024;
const PIECE_BYTES: usize = 64 * 1024;
const SMALL_MACHINE: &str =
    "[machine]\nmemory_mb = 64\nfile_descriptors = 4000\nprocessor_share = 0.5\n";

fn repeated(text: &str) -> Vec<u8> {
    text.repeat(PIECE_BYTES / text.len()).into_bytes()
}

fn without_end(head: Vec<u8>, piece: &str) -> Reaction {
    Reaction::WithoutEnd { head, piece: repeated(piece) }
}

fn desk(script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static) -> RunnerStandIn {
    RunnerStandIn::start("i-desk", script).unwrap()
}

/// A decode runner that answers runs with a script, and state queries as an engine does.
fn decode(script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static) -> RunnerStandIn {
    let engine = engine_script(3);
    RunnerStandIn::start("i-decode", move |request| match request.method.as_str() {
        "POST" if !request.is_prefill() && request.order().is_none() => script(request),
        _ => engine(request),
    })
    .unwrap()
}

/// A node with one runner, whose routes allow more time than any response takes here.
fn start(sections: &str, runner: &RunnerStandIn, service: &str, stage: Option<&str>) -> Fixture {
    const ROUTE_TIMEOUT_MS: u64 = 20_000;
    let mut configuration = support::configuration(3);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    }
    let node = Fixture::start_with(sections);
    node.store.put("op/config", &configuration);
    node.add_runner(runner, service, stage);
    node.wait_until_ready();
    node
}

fn respond(client: &mut RawClient, path: &str, id: &str) -> RawResponse {
    client.request("POST", path, id, "", b"{}");
    client.read_response()
}

/// Number of responses that were cut at a limit.
fn responses_cut(node: &Fixture, part: &str) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let name = format!("pitchstall_responses_too_long_total{{part=\"{part}\"}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(name.as_str()));
    value.map_or(0, |value| value.parse().unwrap())
}

#[test_case("HTTP/1.1 102 Processing\r\n\r\n"; "interim heads")]
#[test_case("x"; "a header value")]
fn a_head_that_never_ends_is_cut(piece: &'static str) {
    let head = if piece == "x" { "HTTP/1.1 200 OK\r\nx-long: " } else { "" };
    let runner = desk(move |_| without_end(head.into(), piece));
    let node = start("", &runner, "desk", None);
    let response = respond(&mut node.client(), "/booking/1", "id-1");
    let sent = runner.bytes_without_end();
    assert_eq!((response.status, runner.requests().len()), (502, 1), "{sent} bytes");
    assert!(sent <= SOCKET_BUFFER_BYTES, "the runner sent {sent} bytes");
    assert_eq!(responses_cut(&node, "head"), 1);
}

#[test_case("", "x"; "without a length")]
#[test_case("transfer-encoding: chunked\r\n", "10\r\n0123456789abcdef\r\n"; "in chunks")]
#[test_case("content-length: 99999999999\r\n", "x"; "with a length over the limit")]
fn a_body_that_never_ends_is_cut(framing: &'static str, piece: &'static str) {
    let runner = desk(move |request| without_end(stream_head(request, framing), piece));
    let node = start("", &runner, "desk", None);
    let response = respond(&mut node.client(), "/booking/1", "id-1");
    let sent = runner.bytes_without_end();
    assert_eq!((response.status, runner.requests().len()), (502, 1), "{sent} bytes");
    assert!(sent <= 24 * MIB + SOCKET_BUFFER_BYTES, "the runner sent {sent} bytes");
    assert_eq!(responses_cut(&node, "body"), 1);
}

#[test]
fn trailers_that_never_end_are_cut() {
    let runner = desk(|request| {
        let mut head = stream_head(request, "transfer-encoding: chunked\r\n");
        head.extend_from_slice(b"2\r\nok\r\n0\r\n");
        without_end(head, "x-trailer: 1\r\n")
    });
    let node = start("", &runner, "desk", None);
    let response = respond(&mut node.client(), "/booking/1", "id-1");
    let sent = runner.bytes_without_end();
    assert_eq!(response.status, 502, "the runner sent {sent} bytes");
    assert!(sent <= SOCKET_BUFFER_BYTES, "the runner sent {sent} bytes");
    assert_eq!(responses_cut(&node, "head"), 1);
}

#[test_case("x"; "a line")]
#[test_case("data: x\n"; "lines")]
fn an_event_that_never_ends_is_cut(piece: &'static str) {
    let runner = decode(move |request| without_end(stream_head(request, ""), piece));
    let node = start("", &runner, "llm", Some("decode"));
    let response = respond(&mut node.client(), "/draft/1", "id-1");
    let sent = runner.bytes_without_end();
    assert!(sent <= 4 * MIB + SOCKET_BUFFER_BYTES, "the runner sent {sent} bytes");
    assert_eq!(response.status, 502);
    assert_eq!(responses_cut(&node, "event"), 1);
}

#[test]
fn bodies_that_never_end_share_a_quarter_of_the_memory() {
    const REQUESTS: usize = 12;
    let runner = desk(|request| match request.path() {
        "/booking/short" => Reaction::Respond { status: 200, body: vec![b'x'; 8 * 1024] },
        _ => without_end(stream_head(request, ""), "x"),
    });
    let node = start(SMALL_MACHINE, &runner, "desk", None);
    let mut clients: Vec<_> = (0..REQUESTS).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.request("POST", "/booking/long", &format!("id-{number}"), "", b"{}");
    }
    wait_for("the responses to begin", || runner.bytes_without_end() > MIB);
    assert_eq!(respond(&mut node.client(), "/booking/short", "id-short").status, 200);
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| client.read_response().status).collect();
    let sent = runner.bytes_without_end();
    assert_eq!(statuses, vec![502; REQUESTS], "the runner sent {sent} bytes");
    assert_eq!(responses_cut(&node, "memory") + responses_cut(&node, "body"), 12);
    assert!(responses_cut(&node, "memory") >= 10, "{sent} bytes were sent");
}

#[test]
fn a_body_of_the_maximum_size_passes() {
    let runner =
        desk(|request| Reaction::Raw(signed_response(request, 200, &vec![b'x'; 16 * MIB])));
    let node = start("", &runner, "desk", None);
    for id in ["id-1", "id-2"] {
        let response = respond(&mut node.client(), "/booking/1", id);
        assert_eq!((response.status, response.body.len()), (200, 16 * MIB));
    }
}

#[test]
fn a_body_above_the_maximum_size_is_cut() {
    let runner =
        desk(|request| Reaction::Raw(signed_response(request, 200, &vec![b'x'; 16 * MIB + 1])));
    let node = start("", &runner, "desk", None);
    assert_eq!(respond(&mut node.client(), "/booking/1", "id-1").status, 502);
    assert_eq!(responses_cut(&node, "body"), 1);
}

/// A stream of one event of this length, including its blank line.
fn stream_of_one_event(request: &ReceivedRequest, length: usize) -> Reaction {
    let mut bytes = stream_head(request, &format!("content-length: {length}\r\n"));
    bytes.resize(bytes.len() + length - 2, b'x');
    bytes.extend_from_slice(b"\n\n");
    Reaction::Raw(bytes)
}

#[test_case(4 * MIB, 200; "of the maximum length passes")]
#[test_case(4 * MIB + 1, 502; "above the maximum length is cut")]
fn an_event(length: usize, status: u16) {
    let runner = decode(move |request| stream_of_one_event(request, length));
    let node = start("", &runner, "llm", Some("decode"));
    let response = respond(&mut node.client(), "/draft/1", "id-1");
    assert_eq!(response.status, status);
    assert_eq!(response.body.len(), if status == 200 { length } else { 0 });
}

#[test]
fn a_surplus_response_that_never_ends_is_cut() {
    let runner = desk(|request| {
        if request.path() == "/booking/first" {
            return Reaction::Respond { status: 200, body: b"first".to_vec() };
        }
        let earlier = ReceivedRequest {
            headers: vec![("x-pitchstall-request-id".into(), "id-1".into())],
            ..request.clone()
        };
        without_end(stream_head(&earlier, ""), "x")
    });
    let node = start("", &runner, "desk", None);
    let mut client = node.client();
    assert_eq!(respond(&mut client, "/booking/first", "id-1").text(), "first");
    let response = respond(&mut client, "/booking/second", "id-2");
    let sent = runner.bytes_without_end();
    assert_eq!((response.status, runner.requests().len()), (502, 2), "{sent} bytes");
    assert!(sent <= MIB + SOCKET_BUFFER_BYTES, "the runner sent {sent} bytes");
    assert_eq!(responses_cut(&node, "body"), 1);
}

#[test]
fn a_prefill_response_that_never_ends_is_cut_and_the_request_served() {
    let prefill = RunnerStandIn::start("i-prefill", |request| match request.is_prefill() {
        true => without_end(stream_head(request, ""), "x"),
        false => engine_script(3)(request),
    })
    .unwrap();
    let decode = RunnerStandIn::start("i-decode", engine_script(3)).unwrap();
    let node = start("", &decode, "llm", Some("decode"));
    node.add_runner(&prefill, "llm", Some("prefill"));
    std::thread::sleep(std::time::Duration::from_millis(300));
    let mut client = node.client();
    let prompt =
        "X-Pitchstall-Token-Count: 9000,80\r\nX-Pitchstall-Prefix-Hash: a1:6000,b2:3000\r\n";
    client.request("POST", "/summary/1", "id-1", prompt, b"x");
    let response = client.read_response();
    let sent = prefill.bytes_without_end();
    assert!(sent > MIB, "the prefill runner was not used: {sent} bytes");
    assert!(sent <= 48 * MIB, "the runner sent {sent} bytes");
    assert!(responses_cut(&node, "body") >= 1);
    assert_eq!(response.status, 200);
}

#[test]
fn cache_lists_and_state_reports_that_never_end_are_cut() {
    let runner = RunnerStandIn::start("i-decode", |request| match request.method.as_str() {
        "GET" => without_end(stream_head(request, ""), "x"),
        _ => engine_script(3)(request),
    })
    .unwrap();
    let node = start("", &runner, "llm", Some("decode"));
    wait_for("the node to cut a response", || runner.closed_early() > 0);
    let response = respond(&mut node.client(), "/summary/1", "id-1");
    assert_eq!((response.status, response.complete), (200, true));
    let asked = runner.requests().iter().filter(|request| request.method == "GET").count();
    let sent = runner.bytes_without_end();
    assert!(sent <= asked * (MIB + SOCKET_BUFFER_BYTES), "{sent} bytes in {asked} responses");
}

#[test]
fn complete_events_before_one_that_never_ends_are_delivered() {
    let runner = decode(|request| {
        let mut head = stream_head(request, "");
        head.extend_from_slice(b"id: 0\ndata: first\n\n");
        without_end(head, "x")
    });
    let node = start("", &runner, "llm", Some("decode"));
    let response = respond(&mut node.client(), "/draft/1", "id-1");
    assert_eq!((response.status, response.complete), (200, false));
    assert_eq!(response.text(), "id: 0\ndata: first\n\n");
    assert_eq!(responses_cut(&node, "event"), 1);
}
