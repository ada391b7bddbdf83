//! The wire forms of the platform: lines and the JSON gateway.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_platform::etcd::{decode_reply, decode_transaction, encode_request};
use pitchstall_platform::lines::{event_data, LineBuffer};
use pitchstall_protocol::store::{Compare, StoreLease, StoreReply, StoreRequest, Write};
use test_case::test_case;

#[test_case(1; "byte by byte")]
#[test_case(3; "in threes")]
#[test_case(100; "at once")]
fn lines_are_found_however_the_bytes_come(size: usize) {
    let mut buffer = LineBuffer::new(16);
    let mut lines = Vec::new();
    for piece in b"one\r\ntwo\n\nthree\nrest".chunks(size) {
        buffer.push(piece, &mut lines).unwrap();
    }
    assert_eq!(lines, [b"one".to_vec(), b"two".to_vec(), b"".to_vec(), b"three".to_vec()]);
}

#[test]
fn a_line_without_an_end_is_refused_at_the_limit() {
    let mut buffer = LineBuffer::new(4);
    assert!(buffer.push(b"12345", &mut Vec::new()).is_err());
}

#[test]
fn events_are_told_from_other_lines() {
    assert_eq!(event_data(b"data: {}"), Some(&b"{}"[..]));
    assert_eq!(event_data(b"id: 4"), None);
}

#[test]
fn requests_are_encoded_as_the_gateway_takes_them() {
    let request = StoreRequest::Transaction {
        compare: vec![Compare { key: "k".into(), mod_revision: 0 }],
        writes: vec![Write {
            key: "k".into(),
            value: Some("v".into()),
            lease: Some(StoreLease(5)),
        }],
    };
    let (path, body) = encode_request(&request);
    let body = body.unwrap();
    assert_eq!(path, "/v3/kv/txn");
    assert!(body.contains(r#""key":"aw==","target":"MOD","result":"EQUAL","mod_revision":"0""#));
    assert!(body.contains(r#""request_put":{"key":"aw==","value":"dg==","lease":"5"}"#));
    assert_eq!(decode_transaction(&serde_json::from_str(&body).unwrap()), request);
}

#[test_case(StoreRequest::KeepAlive { lease: StoreLease(5) }, r#"{"result":{"ID":"5"}}"#, &StoreReply::KeptAlive { ttl_s: 0 }; "a lease that has ended")]
#[test_case(StoreRequest::Grant { ttl_s: 6 }, r#"{"ID":"7","TTL":"6"}"#, &StoreReply::Granted { lease: StoreLease(7) }; "a lease")]
#[test_case(StoreRequest::Transaction { compare: vec![], writes: vec![] }, r#"{"header":{"revision":"9"}}"#, &StoreReply::Transaction { succeeded: false, revision: 9 }; "fields with zero are left out")]
fn answers_are_read_as_the_gateway_gives_them(
    request: StoreRequest,
    body: &str,
    reply: &StoreReply,
) {
    assert_eq!(decode_reply(&request, body.as_bytes()).unwrap(), *reply);
}

#[test]
fn garbage_is_no_answer() {
    assert!(decode_reply(&StoreRequest::Grant { ttl_s: 1 }, b"<html>").is_err());
}
