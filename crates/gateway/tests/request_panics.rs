//! A panic in the task of a client connection. It is provoked by a logger that panics at one event of one request.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use log::kv::Key;
use log::{LevelFilter, Log, Metadata, Record};
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::sync::{Mutex, Once};
use support::{get, wait_for, ConnectionEnd, Fixture};

/// Panics at the event that a request's id names: `panic-at-<event>-<number>`. Other events are recorded as text.
struct PanickingLogger {
    lines: Mutex<Vec<String>>,
}

static LOGGER: PanickingLogger = PanickingLogger { lines: Mutex::new(Vec::new()) };

impl Log for PanickingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let value = |name: &str| {
            let value = record.key_values().get(Key::from_str(name));
            value.map(|value| value.to_string()).unwrap_or_default()
        };
        let (request, event) = (value("request"), record.args().to_string());
        let error = value("error");
        LOGGER.lines.lock().unwrap().push(format!("{request} {event} {error}"));
        if request.starts_with(&format!("panic-at-{event}-")) {
            panic!("provoked at {event}");
        }
    }

    fn flush(&self) {}
}

fn install_logger() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&LOGGER).unwrap();
        log::set_max_level(LevelFilter::Debug);
    });
}

fn has_logged(line: &str) -> bool {
    LOGGER.lines.lock().unwrap().iter().any(|logged| logged == line)
}

fn counted_panics(node: &Fixture) -> String {
    let metrics = get(node.health, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with("pitchstall_request_panics_total"));
    line.unwrap_or_default().to_owned()
}

fn desk_runner() -> RunnerStandIn {
    let booked = |_: &ReceivedRequest| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    RunnerStandIn::start("i-desk", booked).unwrap()
}

#[test]
fn a_panic_before_the_response_is_answered_with_a_status_that_promises_nothing() {
    install_logger();
    let runner = desk_runner();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for (number, event) in ["sent", "head"].into_iter().enumerate() {
        client.request("POST", "/booking/1", &format!("panic-at-{event}-1"), "", b"a booking");
        let response = client.read_response();
        assert_eq!((response.status, response.header("retry-after")), (502, None), "{event}");
        assert!(has_logged(&format!("panic-at-{event}-1 panicked provoked at {event}")));
        let counted = format!("pitchstall_request_panics_total {}", number + 1);
        assert_eq!(counted_panics(&node), counted);
    }
    assert!(runner.requests().iter().any(|it| it.id() == Some("panic-at-head-1")));
    // The connection and the node go on.
    client.request("POST", "/booking/1", "no-panic", "", b"a booking");
    assert_eq!(client.read_response().status, 200);
}

#[test]
fn a_panic_after_a_response_was_chosen_is_counted_and_its_client_gets_a_response() {
    install_logger();
    let runner = desk_runner();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    // The response has been written whole when the event `closed` is logged.
    client.request("POST", "/booking/1", "panic-at-closed-1", "", b"a booking");
    let response = client.read_response();
    assert_eq!((response.status, response.complete), (200, true));
    assert!(client.is_closed_by_node());
    wait_for("the panic to be counted", || {
        counted_panics(&node) == "pitchstall_request_panics_total 1"
    });
    assert!(has_logged("panic-at-closed-1 panicked provoked at closed"));
}

/// Starts a node with a runner that breaks each stream off after its first event.
fn node_with_breaking_runner() -> Fixture {
    let prefill_runner = support::prefill_runner("i-prefill");
    let runner = RunnerStandIn::start("i-llm", |request| {
        let head = pitchstall_platform_standins::runner::stream_head(
            request,
            "transfer-encoding: chunked\r\n",
        );
        let event = "id: 0\ndata: token 0\n\n";
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        Reaction::RawThenClose([head, chunk.into_bytes()].concat())
    });
    let runner = runner.unwrap();
    Fixture::with_runners(&[
        (&prefill_runner, "llm", Some("prefill")),
        (&runner, "llm", Some("decode")),
    ])
}

#[test]
fn a_panic_in_a_begun_stream_never_looks_like_its_end() {
    install_logger();
    let node = node_with_breaking_runner();
    let mut client = node.client();
    client.request("POST", "/draft/1", "panic-at-stream interrupted-1", "", b"a prompt");
    let response = client.read_response();
    assert_eq!((response.status, response.complete), (200, false));
    assert!(client.is_closed_by_node());
    assert_eq!(counted_panics(&node), "pitchstall_request_panics_total 1");
}

#[test]
fn a_panic_in_a_begun_stream_to_an_http10_client_resets_its_connection() {
    install_logger();
    let node = node_with_breaking_runner();
    let mut client = node.client();
    client.request_http10("/draft/1", "panic-at-stream interrupted-2", "");
    let (response, end) = client.read_until_end();
    assert_eq!((response.status, response.text().as_str()), (200, "id: 0\ndata: token 0\n\n"));
    assert_eq!(end, ConnectionEnd::Reset);
    assert_eq!(counted_panics(&node), "pitchstall_request_panics_total 1");
}
