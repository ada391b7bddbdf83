//! Messages from nodes of other versions: unknown fields are ignored, and an unreadable message has
//! no effect but to be counted.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_gateway::peer_messages::{PeerMessage, MAX_DATAGRAM_BYTES};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_serving::ids::{TenantName, ZoneId};
use pitchstall_serving::quota::{QuotaUnit, TenantLimit};
use pitchstall_serving::quota_handover::{QuotaHandover, TenantHandover, MAX_HANDOVER_TENANTS};
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::store_revision::StoreRevision;
use serde_json::{json, Value};
use std::net::UdpSocket;
use support::{get, wait_for, Fixture};
use test_case::test_case;

/// A hello message recorded from the version whose commit names the folder; it does not know the
/// limits of runners.
fn hello_of_earlier_build() -> Value {
    serde_json::from_str(include_str!("recorded_messages/5d6b701/hello.json")).unwrap()
}

/// The same message from a later version, with fields that this version does not know.
fn hello_of_later_build() -> Value {
    let mut hello = hello_of_earlier_build();
    hello["hello"]["later"] = json!({ "field": [1, 2, 3] });
    hello["hello"]["member"]["later"] = json!(1);
    hello
}

#[test_case(&hello_of_earlier_build(); "from an earlier version")]
#[test_case(&hello_of_later_build(); "from a later version")]
fn a_hello_of_another_build_is_parsed(hello: &Value) {
    let message: PeerMessage = serde_json::from_value(hello.clone()).unwrap();
    let PeerMessage::Hello(digest) = message else { unreachable!("{message:?}") };
    assert_eq!(digest.node.as_str(), "node-0");
    assert!(digest.limits.is_empty() && digest.held_keepers.is_empty());
}

/// Without runner limits, this version writes the same fields as the earlier one.
#[test]
fn a_hello_without_limits_is_serialized_as_by_an_earlier_build() {
    let message: PeerMessage = serde_json::from_value(hello_of_earlier_build()).unwrap();
    assert_eq!(serde_json::to_value(&message).unwrap(), hello_of_earlier_build());
}

#[test]
fn the_largest_handover_of_a_quota_keeper_fits_into_a_datagram() {
    let limit = TenantLimit {
        rate_per_s: u64::MAX,
        burst: u64::MAX,
        unit: QuotaUnit::Tokens,
        plain_tokens: u64::MAX,
    };
    let tenant = TenantName::new("t".repeat(128));
    let handed = TenantHandover { tenant, limit, version: u64::MAX, available: i64::MIN };
    let keeper = KeeperId { zone: ZoneId::new("z".repeat(128)), number: u8::MAX };
    let revision = StoreRevision::without_era(u64::MAX);
    let tenants = vec![handed; MAX_HANDOVER_TENANTS + 1];
    let handover = QuotaHandover::new(keeper, revision, u64::MAX, u64::MAX, tenants);
    let bytes = serde_json::to_vec(&PeerMessage::QuotaHandover(handover)).unwrap().len();
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
}

#[test]
fn unreadable_datagrams_are_counted_and_otherwise_ignored() {
    let runner =
        RunnerStandIn::start("i-1", |_| Reaction::Respond { status: 200, body: b"done".to_vec() })
            .unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let datagrams: [&[u8]; 5] = [
        br#"{"later word":{"a":1}}"#,
        br#"{"limit?":{"i":{"f":1,"k":1}}}"#,
        br#"{"digest":{"node":"x"}}"#,
        b"",
        b"\xff\xfe",
    ];
    for message in datagrams {
        socket.send_to(message, node.peers).unwrap();
    }
    wait_for("the datagrams to be counted", || {
        get(node.health, "/metrics").text().contains("pitchstall_words_unread_total 5")
    });
    let mut client = node.client();
    client.request("GET", "/lookup/1", "id", "", b"");
    assert_eq!(client.read_response().status, 200);
}
