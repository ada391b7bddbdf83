//! Words between nodes of builds that are not this one: what is not known is passed over, and costs nothing else.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_gateway::peer_words::PeerWord;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use serde_json::{json, Value};
use std::net::UdpSocket;
use support::{get, wait_for, Fixture};
use test_case::test_case;

/// A greeting as the build of the folder's commit has sent it, which knows of no limits of runners.
fn former_greeting() -> Value {
    serde_json::from_str(include_str!("recorded_words/5d6b701/hello.json")).unwrap()
}

/// The same of a later build, with fields that nobody knows here.
fn later_greeting() -> Value {
    let mut greeting = former_greeting();
    greeting["hello"]["later"] = json!({ "field": [1, 2, 3] });
    greeting["hello"]["member"]["later"] = json!(1);
    greeting
}

#[test_case(&former_greeting(); "of a former build")]
#[test_case(&later_greeting(); "of a later build")]
fn a_greeting_of_another_build_is_read(greeting: &Value) {
    let word: PeerWord = serde_json::from_value(greeting.clone()).unwrap();
    let PeerWord::Hello(digest) = word else { unreachable!("{word:?}") };
    assert_eq!(digest.node.as_str(), "node-0");
    assert!(digest.limits.is_empty() && digest.held_keepers.is_empty());
}

/// What is written while no runner names a limit is what a former build writes, field by field.
#[test]
fn a_greeting_without_limits_is_written_as_a_former_build_writes_it() {
    let word: PeerWord = serde_json::from_value(former_greeting()).unwrap();
    assert_eq!(serde_json::to_value(&word).unwrap(), former_greeting());
}

#[test]
fn words_that_cannot_be_read_are_counted_and_cost_nothing_else() {
    let runner =
        RunnerStandIn::start("i-1", |_| Reaction::Respond { status: 200, body: b"done".to_vec() })
            .unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let words: [&[u8]; 5] = [
        br#"{"later word":{"a":1}}"#,
        br#"{"limit?":{"i":{"f":1,"k":1}}}"#,
        br#"{"digest":{"node":"x"}}"#,
        b"",
        b"\xff\xfe",
    ];
    for word in words {
        socket.send_to(word, node.peers).unwrap();
    }
    wait_for("the words to be counted", || {
        get(node.health, "/metrics").text().contains("pitchstall_words_unread_total 5")
    });
    let mut client = node.client();
    client.request("GET", "/lookup/1", "id", "", b"");
    assert_eq!(client.read_answer().status, 200);
}
