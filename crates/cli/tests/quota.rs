//! Output and exit code of `pitchstall quota` for a node's response.
#![allow(clippy::unwrap_used, missing_docs)]

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

/// Starts a health address that responds to one request with the given status and report.
fn health_address(status: &'static str, report: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 512];
        let length = stream.read(&mut request).unwrap();
        assert!(request[..length].starts_with(b"GET /quota HTTP/1.1\r\n"));
        let body = report.to_string();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).unwrap();
    });
    address
}

fn run_quota(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pitchstall")).arg("quota").args(arguments).output().unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn keepers_and_remaining_quotas_are_printed() {
    let report = json!({
        "has_limits": true,
        "held": [{ "keeper": "east/0", "revision": 7, "left_ms": 9_240, "tenants": [
            { "tenant": "taxis", "level": -300, "debt": 500, "granted": 12_000, "version": 4 },
        ] }],
        "keepers": [
            { "keeper": "east/0", "node": "node-1", "address": "127.0.0.1:9", "heard_ms": 0, "asked": true },
            { "keeper": "west/1", "node": "node-2", "address": "127.0.0.1:8", "heard_ms": 2_400, "asked": false },
        ],
    });
    let output = run_quota(&[&health_address("200 OK", report).to_string()]);
    assert!(output.status.success());
    assert_eq!(
        text(&output),
        "east/0 is kept here for 9.2 s more, if not renewed\n  \
         taxis: -300 units left, down to -500; 12000 granted; configuration 4\n\
         east/0 is held by node-1 at 127.0.0.1:9, heard of 0.0 s ago\n\
         west/1 is held by node-2 at 127.0.0.1:8, heard of 2.4 s ago, passed over\n"
    );
}

#[test]
fn limits_without_a_known_keeper_are_a_failure() {
    let report = json!({ "has_limits": true, "held": [], "keepers": [] });
    let output = run_quota(&[&health_address("200 OK", report).to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).starts_with("no keeper is known"));
}

#[test]
fn missing_limits_are_reported() {
    let report = json!({ "has_limits": false, "held": [], "keepers": [] });
    let output = run_quota(&[&health_address("200 OK", report).to_string()]);
    assert!(output.status.success());
    assert_eq!(text(&output), "no tenant has a limit\n");
}

#[test]
fn an_invalid_address_or_an_unexpected_response_is_an_error() {
    let other = health_address("404 Not Found", json!({})).to_string();
    for arguments in [&[][..], &["here"][..], &["127.0.0.1:1"][..], &[other.as_str()][..]] {
        let output = run_quota(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty());
    }
}
