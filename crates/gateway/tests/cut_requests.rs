//! Requests of clients whose connection ends at any byte, in an orderly way or with a reset.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use support::cut_server::{end_connection, ConnectionEnd};
use support::{Fixture, HOST, WAIT_TIMEOUT};
use test_case::test_case;

const WITH_LENGTH: &str = "content-length: 11\r\n\r\nhello world";
const IN_CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

fn connect(node: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(node).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends the bytes and ends the connection in the direction of the node. Returns what the node sends until it closes the
/// connection as well.
fn response_after_orderly_end(node: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(node);
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut response = Vec::new();
    // The node may reset a connection whose bytes it has not read.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn reset_after(node: SocketAddr, bytes: &[u8]) {
    let mut stream = connect(node);
    stream.write_all(bytes).unwrap();
    end_connection(stream, ConnectionEnd::Reset);
}

#[test_case(WITH_LENGTH; "with a length")]
#[test_case(IN_CHUNKS; "in chunks")]
fn a_request_that_is_cut_reaches_no_runner(framed_body: &str) {
    let done = |_: &_| Reaction::Respond { status: 200, body: b"done".to_vec() };
    let runner = RunnerStandIn::start("i-desk", done).unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let head =
        format!("POST /booking/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Pitchstall-Request-Id: id\r\n");
    let request = format!("{head}{framed_body}").into_bytes();
    for cut in 0..request.len() {
        let response = response_after_orderly_end(node.clients, &request[..cut]);
        assert!(!response.starts_with("HTTP/1.1 200"), "cut at {cut}: {response}");
        reset_after(node.clients, &request[..cut]);
    }
    let mut client = node.client();
    client.send(&request);
    assert_eq!(client.read_response().status, 200);
    let bodies: Vec<Vec<u8>> = runner.requests().into_iter().map(|it| it.body).collect();
    assert_eq!(bodies, [b"hello world".to_vec()]);
}
