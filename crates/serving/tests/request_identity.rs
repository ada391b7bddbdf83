//! Which requests count as repetitions of the same request.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::TenantName;
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts};
use test_case::test_case;

const PARTS: RequestParts<'static> = RequestParts {
    method: "POST",
    host: "desk.example",
    target: "/match/1?x=1",
    tenant: None,
    body: b"a call",
};

fn identity(parts: RequestParts<'_>) -> RequestIdentity {
    RequestIdentity::of(&parts)
}

#[test]
fn the_same_parts_are_the_same_request() {
    assert_eq!(identity(PARTS), identity(PARTS));
    assert_eq!(identity(PARTS), identity(RequestParts { host: "Desk.Example", ..PARTS }));
}

#[test_case(RequestParts { method: "PUT", ..PARTS }; "method")]
#[test_case(RequestParts { host: "other.example", ..PARTS }; "host")]
#[test_case(RequestParts { target: "/match/2?x=1", ..PARTS }; "path")]
#[test_case(RequestParts { body: b"", ..PARTS }; "no body")]
#[test_case(RequestParts { body: b"another", ..PARTS }; "body")]
#[test_case(RequestParts { target: "/match/1a", body: b" call", ..PARTS }; "boundary between parts")]
fn a_different_part_makes_a_different_request(other: RequestParts<'_>) {
    assert_ne!(identity(PARTS), identity(other));
}

#[test]
fn the_query_is_included_only_without_a_body() {
    let identity_of = |target, body| identity(RequestParts { target, body, ..PARTS });
    assert_eq!(
        identity_of("/match/1?x=1", b"a call".as_slice()),
        identity_of("/match/1?x=2", b"a call")
    );
    assert_ne!(identity_of("/match/1?x=1", b"".as_slice()), identity_of("/match/1?x=2", b""));
}

#[test]
fn a_different_tenant_makes_a_different_request() {
    let (one, two) = (TenantName::new("one"), TenantName::new("two"));
    let of = |tenant| identity(RequestParts { tenant: Some(tenant), ..PARTS });
    assert_ne!(of(&one), of(&two));
    assert_ne!(of(&one), identity(PARTS));
}

#[test]
fn an_identity_survives_a_round_trip_as_text() {
    let known = identity(PARTS);
    assert_eq!(known.to_string().len(), 32);
    assert_eq!(known.to_string().parse(), Ok(known));
    for text in ["", "12", "zz345678901234567890123456789012", "é2345678901234567890123456789012"]
    {
        assert!(text.parse::<RequestIdentity>().is_err(), "{text}");
    }
}
