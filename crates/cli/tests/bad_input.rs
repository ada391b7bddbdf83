//! Bad input gets a clear error and loses nothing.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_emulator::load::{self, LoadPlan};
use std::io::{Read, Write};
use support::{http, Cluster, CALLER_KEY, OPERATOR_KEY};

const ASK: &str = "POST /v1/completions";

fn body(service: &str, prompt: &str, max_tokens: u32) -> String {
    format!("{{\"model\":\"{service}\",\"prompt\":\"{prompt}\",\"max_tokens\":{max_tokens}}}")
}

#[ntex::test]
async fn bad_input_is_told_and_loses_nothing() {
    let cluster = Cluster::start("bad-input");
    let callers = cluster.nodes[0].callers.clone();
    let operators = cluster.nodes[0].operators.clone();
    let good = body("status", "Is slot 4 free?", 8);
    let huge = body("status", &"x".repeat(5 * 1024 * 1024), 8);
    let cases: [(&str, &str, &str, u16, &str); 9] = [
        (ASK, "a-wrong-key", &good, 401, "unauthorized"),
        (ASK, OPERATOR_KEY, &good, 401, "unauthorized"),
        (ASK, CALLER_KEY, "{\"model\":\"status\",\"prom", 400, "invalid_request"),
        (ASK, CALLER_KEY, "[1, 2]", 400, "invalid_request"),
        (ASK, CALLER_KEY, &huge, 413, "request_too_large"),
        (ASK, CALLER_KEY, &body("nobody", "x", 8), 404, "unknown_service"),
        (ASK, CALLER_KEY, &body("status", "x", 0), 400, "invalid_request"),
        (ASK, CALLER_KEY, &body("booking", "x", 8), 400, "Idempotency-Key"),
        ("POST /v1/completions/", CALLER_KEY, &good, 404, ""),
    ];
    for (head, key, body, status, expected) in cases {
        let (got, _, answer) = http(&callers, head, key, body).unwrap();
        assert_eq!(got, status, "{head} {}: {answer}", &body[..body.len().min(60)]);
        assert!(answer.contains(expected), "{answer}");
        assert!(status == 404 && expected.is_empty() || answer.contains("\"not_run\""), "{answer}");
    }
    // A caller's key opens nothing of the operators'.
    for path in ["/configuration", "/fleet", "/configuration/spread"] {
        let (status, _, _) = http(&operators, &format!("GET {path}"), CALLER_KEY, "").unwrap();
        assert_eq!(status, 401, "{path}");
    }
    let (status, _, answer) = http(&operators, "POST /configuration", OPERATOR_KEY, "{").unwrap();
    assert_eq!((status, answer.contains("invalid_request")), (400, true), "{answer}");

    // Another event id than one of ours, and a header that is no number.
    for header in ["Last-Event-ID: nonsense", "X-Deadline-Ms: soon"] {
        let head = format!("{ASK} HTTP/1.1\r\n{header}\r\nX-Rest:");
        let (status, _, answer) = http(&callers, &head, CALLER_KEY, &good).unwrap();
        assert_eq!(status, 400, "{header}: {answer}");
    }

    // A peer that speaks garbage is cut off.
    let peer = cluster.nodes[0].peers.clone();
    let mut stream = std::net::TcpStream::connect(peer).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n\x00\xff{\n").unwrap();
    stream.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0, "the connection is closed");

    // After all that the node serves as before.
    let plan = LoadPlan {
        nodes: vec![callers],
        key: CALLER_KEY.to_owned(),
        service: "status".to_owned(),
        requests: 6,
        concurrency: 2,
        seed: 3,
        prompt_bytes: 10..100,
        max_tokens: 8,
        idempotent: false,
    };
    let report = load::run(plan).await.unwrap();
    assert!(report.all_whole(), "{report}");
}
