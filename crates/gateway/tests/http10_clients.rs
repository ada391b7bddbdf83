//! Responses to clients that speak HTTP/1.0, which know neither chunks nor any mark of a truncated stream but a reset.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{
    event_text, stream_head, EventStream, LongPause, Reaction, RunnerStandIn,
};
use std::time::Duration;
use support::{configuration, wait_for, ConnectionEnd, Fixture, RawClient, RawResponse};
use test_case::test_case;

const LAST_EVENT: u64 = 9;
/// The last event that arrives of a stream that ends early.
const LAST_EVENT_BEFORE_CUT: u64 = 4;
/// Exceeds all deadlines in these tests, and the time that a planned stop takes.
const ENDLESS_PAUSE: Duration = Duration::from_secs(60);
const KEEP_ALIVE: &str = "Connection: keep-alive\r\n";

fn runner(
    id: &str,
    script: impl Fn(&ReceivedRequest) -> Reaction + Send + Sync + 'static,
) -> RunnerStandIn {
    RunnerStandIn::start(id, script).unwrap()
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event_text).collect()
}

fn whole_stream(request: &ReceivedRequest) -> Reaction {
    Reaction::Stream(EventStream::for_request(request, LAST_EVENT))
}

fn whole_stream_with_length(request: &ReceivedRequest) -> Reaction {
    let body = events(0..=LAST_EVENT);
    let framing = format!("content-length: {}\r\n", body.len());
    Reaction::Raw([stream_head(request, &framing), body.into_bytes()].concat())
}

fn cut_inside_an_event(request: &ReceivedRequest) -> Reaction {
    let cut_after_event = Some(LAST_EVENT_BEFORE_CUT);
    Reaction::Stream(EventStream {
        cut_after_event,
        ..EventStream::for_request(request, LAST_EVENT)
    })
}

fn cut_between_two_events(request: &ReceivedRequest) -> Reaction {
    Reaction::RawThenClose(beginning_with_declared_length(request))
}

fn reset_between_two_events(request: &ReceivedRequest) -> Reaction {
    Reaction::RawThenReset(beginning_with_declared_length(request))
}

/// The head and the events up to the cut, of which the head declares more.
fn beginning_with_declared_length(request: &ReceivedRequest) -> Vec<u8> {
    let framing = format!("content-length: {}\r\n", events(0..=LAST_EVENT).len());
    let beginning = events(0..=LAST_EVENT_BEFORE_CUT).into_bytes();
    [stream_head(request, &framing), beginning].concat()
}

fn pausing_without_end(request: &ReceivedRequest) -> Reaction {
    let long_pause =
        Some(LongPause { before_event: LAST_EVENT_BEFORE_CUT + 1, length: ENDLESS_PAUSE });
    Reaction::Stream(EventStream { long_pause, ..EventStream::for_request(request, LAST_EVENT) })
}

fn assert_delimited_by_the_end_of_the_connection(response: &RawResponse) {
    assert_eq!(response.status, 200);
    assert_eq!(response.header("transfer-encoding"), None);
    assert_eq!(response.header("content-length"), None);
    assert_eq!(response.header("connection"), Some("close"));
}

/// The text of a stream that one runner writes, and how its connection ends.
fn stream_to_http10_client(
    reaction: fn(&ReceivedRequest) -> Reaction,
    extra: &str,
) -> (String, ConnectionEnd) {
    let runner = runner("i-llm", reaction);
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request_http10("/draft/1", "id-1", extra);
    let (response, end) = client.read_until_end();
    assert_delimited_by_the_end_of_the_connection(&response);
    (response.text(), end)
}

#[test_case(whole_stream, ""; "chunks")]
#[test_case(whole_stream, KEEP_ALIVE; "chunks to a client that would keep the connection")]
#[test_case(whole_stream_with_length, ""; "a length")]
fn a_stream_to_an_http10_client_has_no_chunks_and_ends_with_the_connection(
    reaction: fn(&ReceivedRequest) -> Reaction,
    extra: &str,
) {
    let (text, end) = stream_to_http10_client(reaction, extra);
    assert_eq!((text, end), (events(0..=LAST_EVENT), ConnectionEnd::Closed));
}

#[test_case(cut_inside_an_event, ""; "the runner closes inside an event")]
#[test_case(cut_between_two_events, ""; "the runner closes between two events")]
#[test_case(reset_between_two_events, ""; "the runner resets between two events")]
#[test_case(cut_inside_an_event, KEEP_ALIVE; "the client would keep the connection")]
#[test_case(pausing_without_end, "X-Pitchstall-Deadline-Ms: 700\r\n"; "the deadline passes")]
fn a_stream_to_an_http10_client_that_ends_early_is_reset(
    reaction: fn(&ReceivedRequest) -> Reaction,
    extra: &str,
) {
    let (text, end) = stream_to_http10_client(reaction, extra);
    assert_eq!((text, end), (events(0..=LAST_EVENT_BEFORE_CUT), ConnectionEnd::Reset));
}

#[test]
fn a_stream_to_an_http10_client_that_a_planned_stop_cuts_is_reset() {
    let runner = runner("i-llm", pausing_without_end);
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut with_longer_timeouts = configuration(4);
    for route in with_longer_timeouts["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 60_000.into();
        // A route of this name appears once the configuration is in force.
        route["path_prefix"] = format!("/slow-{}/", route["name"].as_str().unwrap()).into();
    }
    node.store.put("op/config", &with_longer_timeouts);
    wait_for("the configuration to be in force", || {
        let mut client = node.client();
        client.request("GET", "/slow-lookup/1", "id-probe", "", b"");
        client.read_response().status != 404
    });
    let mut client = node.client();
    client.request_http10("/slow-draft/1", "id-1", "");
    client.wait_for_text(&event_text(LAST_EVENT_BEFORE_CUT));
    node.request_stop();
    let (response, end) = client.read_until_end();
    assert_eq!(response.text(), events(0..=LAST_EVENT_BEFORE_CUT));
    assert_eq!(end, ConnectionEnd::Reset);
    node.join();
}

#[test]
fn a_stream_to_an_http10_client_that_reads_nothing_in_time_is_reset() {
    let runner = runner("i-llm", |request| Reaction::WithoutEnd {
        head: stream_head(request, ""),
        piece: "data: token\n\n".repeat(5_000).into_bytes(),
    });
    let node = Fixture::with_runners(&[(&runner, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request_http10("/draft/1", "id-1", "X-Pitchstall-Deadline-Ms: 60000\r\n");
    wait_for("the node to give the client up", || runner.closed_early() == 1);
    let (response, end) = client.read_until_end();
    assert_delimited_by_the_end_of_the_connection(&response);
    assert_eq!(end, ConnectionEnd::Reset);
}

/// Sends requests from which the retry budget earns what the stream of the test needs to be resumed.
fn fill_retry_budget(node: &Fixture) {
    const REQUESTS: usize = 3;
    for number in 0..REQUESTS {
        let mut client = node.client();
        let id = format!("earn-{number}");
        client.request("POST", "/summary/1", &id, "Last-Event-Id: 8\r\n", b"x");
        assert_eq!(client.read_response().text(), events(9..=LAST_EVENT));
    }
}

#[test]
fn a_stream_to_an_http10_client_that_another_runner_continues_is_closed_in_an_orderly_way() {
    let breaking = |request: &ReceivedRequest| match request.header("last-event-id") {
        None => cut_inside_an_event(request),
        Some(_) => whole_stream(request),
    };
    let (one, two) = (runner("i-1", breaking), runner("i-2", breaking));
    let runners = [(&one, "llm", Some("decode")), (&two, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    fill_retry_budget(&node);
    let mut client = node.client();
    client.request_http10("/summary/1", "id-1", "");
    let (response, end) = client.read_until_end();
    assert_delimited_by_the_end_of_the_connection(&response);
    assert_eq!(response.text(), events(0..=LAST_EVENT));
    assert_eq!(end, ConnectionEnd::Closed);
}

#[test]
fn a_stream_to_an_http10_client_that_no_runner_can_continue_is_reset() {
    let breaking = |request: &ReceivedRequest| match request.header("last-event-id") {
        None => cut_inside_an_event(request),
        Some("8") => whole_stream(request),
        Some(_) => Reaction::Respond { status: 500, body: b"failed".to_vec() },
    };
    let (one, two) = (runner("i-1", breaking), runner("i-2", breaking));
    let runners = [(&one, "llm", Some("decode")), (&two, "llm", Some("decode"))];
    let node = Fixture::with_runners(&runners);
    fill_retry_budget(&node);
    let mut client = node.client();
    client.request_http10("/summary/1", "id-1", "");
    let (response, end) = client.read_until_end();
    assert_eq!(response.text(), events(0..=LAST_EVENT_BEFORE_CUT));
    assert_eq!(end, ConnectionEnd::Reset);
}

#[test_case(|_| Reaction::Respond { status: 200, body: b"booked".to_vec() }, 200, "booked"; "a runner's response")]
#[test_case(|_| Reaction::RawThenReset(Vec::new()), 502, ""; "a response of the node")]
fn a_response_of_known_length_to_an_http10_client_has_its_length_and_an_orderly_end(
    reaction: fn(&ReceivedRequest) -> Reaction,
    status: u16,
    body: &str,
) {
    let runner = runner("i-desk", reaction);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    client.request_http10("/booking/1", "id-1", "");
    let (response, end) = client.read_until_end();
    assert_eq!((response.status, response.text().as_str()), (status, body));
    assert_eq!(response.header("content-length"), Some(body.len().to_string().as_str()));
    assert_eq!(response.header("transfer-encoding"), None);
    assert_eq!(end, ConnectionEnd::Closed);
}

#[test]
fn an_http10_client_keeps_its_connection_until_a_stream_has_used_it() {
    let desk = runner("i-desk", |_| Reaction::Respond { status: 200, body: b"booked".to_vec() });
    let llm = runner("i-llm", whole_stream);
    let node = Fixture::with_runners(&[(&desk, "desk", None), (&llm, "llm", Some("decode"))]);
    let mut client = node.client();
    for id in ["id-1", "id-2"] {
        client.request_http10("/booking/1", id, KEEP_ALIVE);
        let response = client.read_response();
        assert_eq!((response.status, response.text().as_str()), (200, "booked"));
        assert_eq!(response.header("connection"), Some("keep-alive"));
    }
    client.request_http10("/draft/1", "id-3", KEEP_ALIVE);
    let (response, end) = client.read_until_end();
    assert_delimited_by_the_end_of_the_connection(&response);
    assert_eq!(response.text(), events(0..=LAST_EVENT));
    assert_eq!(end, ConnectionEnd::Closed);
}

#[test]
fn a_stream_whose_truncation_could_not_be_marked_is_refused_and_its_connection_closed() {
    let desk = runner("i-desk", |_| Reaction::Respond { status: 200, body: b"booked".to_vec() });
    let llm = runner("i-llm", whole_stream);
    let node = Fixture::with_runners(&[(&desk, "desk", None), (&llm, "llm", Some("decode"))]);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    assert_eq!(client.read_response().status, 200);
    // The node has given up its hold on the socket, since the first request was one of HTTP/1.1.
    client.request_http10("/draft/1", "id-2", KEEP_ALIVE);
    let (response, end) = client.read_until_end();
    assert_eq!((response.status, response.text().as_str()), (503, ""));
    assert!(response.header("retry-after").is_some());
    assert_eq!(end, ConnectionEnd::Closed);
    assert!(llm.requests().iter().all(|it| it.path() != "/draft/1"));
}

/// The settings allow six file descriptors to clients.
#[test_case(false, 6; "one descriptor for a client of HTTP 1 1")]
#[test_case(true, 3; "two descriptors for a client of HTTP 1 0")]
fn client_connections_keep_to_their_share_of_the_file_descriptors(
    is_http10: bool,
    max_connections: usize,
) {
    let desk = runner("i-desk", |_| Reaction::Respond { status: 200, body: b"booked".to_vec() });
    let node = Fixture::start_with(
        "[machine]\nmemory_mb = 256\nfile_descriptors = 10\nprocessor_share = 0.5\n",
    );
    node.store.put("op/config", &configuration(3));
    node.add_runner(&desk, "desk", None);
    node.wait_until_ready();
    let send = |client: &mut RawClient, number: usize| match is_http10 {
        true => client.request_http10("/booking/1", &format!("id-{number}"), KEEP_ALIVE),
        false => client.request("POST", "/booking/1", &format!("id-{number}"), "", b"x"),
    };
    let mut open = Vec::new();
    for number in 0..max_connections {
        let mut client = node.client();
        send(&mut client, number);
        assert_eq!(client.read_response().status, 200);
        open.push(client);
    }
    // A further client is served, and the connection that has rested for longest is closed for it, no other.
    let mut newcomer = node.client();
    send(&mut newcomer, max_connections);
    assert_eq!(newcomer.read_response().status, 200);
    for (number, client) in open.iter_mut().enumerate().skip(1) {
        send(client, 2 * max_connections + number);
        assert_eq!(client.read_response().status, 200);
    }
    assert!(open[0].is_closed_by_node());
}
