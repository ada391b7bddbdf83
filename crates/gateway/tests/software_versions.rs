//! Streams of a service whose runners run several versions of their software.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::event_text_of_version;
use pitchstall_platform_standins::store::StoreMode;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use support::versions::*;
use support::{configuration, get, wait_for, Fixture};
use test_case::test_case;

/// Enough nodes for one that is not told of a stream.
const MANY_NODES: usize = 7;
/// Enough streams for some that begin at both versions and whose keepers leave out a node.
const MANY_STREAMS: usize = 48;

#[test_case(Interruption::Cut; "that is cut off")]
#[test_case(Interruption::Pause; "that pauses")]
fn a_stream_goes_on_only_at_the_version_that_began_it(interruption: Interruption) {
    let runners = Runners::start(interruption);
    let node = node_with(&runners);
    let _other = peer_of(&node, "node-2");
    let texts = std::thread::scope(|scope| {
        let begin = |number: usize| {
            let node = &node;
            scope.spawn(move || stream(node, &format!("id-{number}"), "").text())
        };
        let clients: Vec<_> = (0..STREAMS).map(begin).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect::<Vec<_>>()
    });
    let broken: Vec<_> = texts.into_iter().filter(|text| !is_of_one_version(text)).collect();
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn a_stream_that_is_cut_off_goes_on_at_its_runner_if_no_other_has_its_version() {
    let old = runner("i-0-v1", "v1", Interruption::Cut);
    let new = runner("i-0-v2", "v2", Interruption::Cut);
    let node = start_node();
    node.add_runner_of_version(&old, "v1");
    node.add_runner_of_version(&new, "v2");
    node.wait_until_ready();
    let response = stream(&node, "id-1", "");
    assert!(is_of_one_version(&response.text()), "{:?}", response.text());
}

#[test_case(false; "at the same node")]
#[test_case(true; "at another node")]
fn a_stream_that_its_client_takes_up_goes_on_at_the_version_that_began_it(is_other: bool) {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let other = peer_of(&node, "node-2");
    let taken_up_at = if is_other { &other } else { &node };
    assert_eq!(broken_takeups(begin_streams(&node), &[taken_up_at]), Vec::<String>::new());
}

#[test]
fn a_stream_is_taken_up_at_its_version_though_the_node_that_began_it_has_ended() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let peers: Vec<_> = (2..=4).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let begun = begin_streams(&peers[0]);
    let mut peers = peers.into_iter();
    let ended = peers.next().unwrap();
    ended.request_stop();
    ended.join();
    let rest: Vec<_> = peers.collect();
    let rest: Vec<_> = rest.iter().collect();
    assert_eq!(broken_takeups(begun, &rest), Vec::<String>::new());
}

#[test]
fn a_stream_that_began_before_the_second_version_joined_is_taken_up_at_its_version() {
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    let other = peer_of(&node, "node-2");
    let begun = begin_streams(&node);
    runners.new.iter().for_each(|runner| node.add_runner_of_version(runner, "v2"));
    wait_for_digests();
    assert_eq!(broken_takeups(begun, &[&other]), Vec::<String>::new());
}

#[test]
fn a_stream_whose_version_no_longer_serves_is_refused_at_once() {
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    begin_and_leave(&node, "id-1");
    runners.new.iter().for_each(|runner| node.add_runner_of_version(runner, "v2"));
    for runner in &runners.old {
        node.store.remove(&format!("servers/{}", runner.id()));
    }
    wait_for_digests();
    let begun = Instant::now();
    let response = take_up(&node, "id-1", "again-1");
    assert_eq!((response.status, response.text().as_str()), (503, ""));
    assert!(begun.elapsed() < ROUTE_TARGET / 4, "the refusal took {:?}", begun.elapsed());
    assert_eq!(runners.runs_after(INTERRUPTED_AFTER), 0);
}

#[test_case("Resumes: id-unknown\r\n"; "that nobody knows")]
#[test_case(""; "that its client does not name")]
fn a_stream_of_unknown_version_is_refused_while_two_versions_serve(resumes: &str) {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let _other = peer_of(&node, "node-2");
    let response = stream(&node, "id-1", &format!("Last-Event-Id: 1\r\n{resumes}"));
    assert_eq!((response.status, response.text().as_str()), (503, ""));
    assert_eq!(runners.runs_after(INTERRUPTED_AFTER), 0);
}

#[test_case("Resumes: id-unknown\r\n"; "that nobody knows")]
#[test_case(""; "that its client does not name")]
fn a_stream_of_unknown_version_goes_on_while_one_version_serves(resumes: &str) {
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    let other = peer_of(&node, "node-2");
    let response = stream(&other, "id-1", &format!("Last-Event-Id: 1\r\n{resumes}"));
    let rest: String = (2..=LAST_EVENT).map(|id| event_text_of_version(id, "v1")).collect();
    assert_eq!((response.status, response.text()), (200, rest));
}

#[test]
fn a_stream_is_taken_up_at_its_version_while_the_store_fails() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let other = peer_of(&node, "node-2");
    node.store.set_mode(StoreMode::Silent);
    assert_eq!(broken_takeups(begin_streams(&node), &[&other]), Vec::<String>::new());
}

#[test_case("Resumes: \r\n"; "an empty one")]
#[test_case("Resumes: a\r\nResumes: b\r\n"; "two")]
fn a_request_with_an_invalid_id_of_the_resumed_stream_is_rejected(resumes: &str) {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let response = stream(&node, "id-1", &format!("Last-Event-Id: 1\r\n{resumes}"));
    assert_eq!(response.status, 400);
}

#[test]
fn a_stream_that_is_taken_up_twice_and_late_stays_at_its_version() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let others: Vec<_> = (2..=3).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let begun = begin_streams(&node);
    let take_up_twice = |(number, first): (usize, String)| {
        let stream_id = format!("id-{number}");
        let extra = format!("Last-Event-Id: {INTERRUPTED_AFTER}\r\nResumes: {stream_id}\r\n");
        let mut client = others[0].client();
        client.request("POST", "/summary/1", &format!("second-{number}"), &extra, b"x");
        client.wait_for_text(&format!("id: {}\n", INTERRUPTED_AFTER + 1));
        drop(client);
        (stream_id, first)
    };
    let interrupted: Vec<_> = begun.into_iter().enumerate().map(take_up_twice).collect();
    std::thread::sleep(Duration::from_secs(3));
    // The client goes on after the event that it had before the second try.
    let take_up_again = |(stream_id, first): (String, String)| {
        let rest = take_up_persistently(&others[1], &stream_id);
        format!("{first}{rest}")
    };
    let texts = interrupted.into_iter().map(take_up_again);
    let broken: Vec<_> = texts.filter(|text| !is_of_one_version(text)).collect();
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn a_stream_is_taken_up_at_its_version_at_a_node_that_has_started_again() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let _keepers: Vec<_> =
        (2..=4).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let ended = peer_of(&node, "node-5");
    let begun = begin_streams(&ended);
    ended.request_stop();
    ended.join();
    let again = peer_of(&node, "node-5");
    assert_eq!(broken_takeups(begun, &[&again]), Vec::<String>::new());
}

/// Two zones that are a region each.
const REGIONS: &str = "retry_slack = 400.0\n[node.regions]\nnorth = \"up\"\nsouth = \"down\"\n";

/// A simulated node of another region.
struct RemoteNode {
    socket: UdpSocket,
}

impl RemoteNode {
    fn introduce_to(node: &Fixture) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let address = socket.local_addr().unwrap().to_string();
        let member = json!({ "a": address, "z": "south", "p": 250 });
        let digest = json!({ "node": "remote", "incarnation": 1, "sequence": 1, "member": member });
        let message = json!({ "digest": digest }).to_string();
        socket.send_to(message.as_bytes(), node.peers).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        Self { socket }
    }

    /// The next query for a stream's origin, and the node that asks.
    fn receive_query(&self) -> (Value, SocketAddr) {
        self.try_receive_query().unwrap()
    }

    /// As [`Self::receive_query`]; `None` if none arrives for a while.
    fn try_receive_query(&self) -> Option<(Value, SocketAddr)> {
        const MAX_WAIT: Duration = Duration::from_secs(5);
        let deadline = Instant::now() + MAX_WAIT;
        let mut buffer = vec![0; 65_536];
        while Instant::now() < deadline {
            let (length, from) = self.socket.recv_from(&mut buffer).ok()?;
            let message: Value = serde_json::from_slice(&buffer[..length]).unwrap();
            if let Some(query) = message.get("stream?") {
                return Some((query.clone(), from));
            }
        }
        None
    }
}

fn node_in_two_regions(runners: &Runners) -> Fixture {
    let node = Fixture::start_with(REGIONS);
    node.store.put("op/config", &configuration(3));
    runners.add_to(&node);
    node.wait_until_ready();
    node
}

#[test]
fn a_stream_that_began_in_another_region_is_taken_up_at_its_version() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_in_two_regions(&runners);
    let remote = RemoteNode::introduce_to(&node);
    let response = std::thread::scope(|scope| {
        let client = scope.spawn(|| take_up(&node, "id-remote", "again"));
        let (query, from) = remote.receive_query();
        assert_eq!((&query["i"], &query["s"]), (&json!("id-remote"), &json!("llm")));
        let origin = json!({ "s": "llm", "v": "v2" });
        let reply = json!({ "stream": { "t": query["t"], "o": origin, "m": true } }).to_string();
        remote.socket.send_to(reply.as_bytes(), from).unwrap();
        client.join().unwrap()
    });
    let rest: String =
        (INTERRUPTED_AFTER + 1..=LAST_EVENT).map(|id| event_text_of_version(id, "v2")).collect();
    assert_eq!((response.status, response.text()), (200, rest));
}

#[test]
fn a_stream_whose_id_a_keeper_knows_of_two_versions_is_refused_though_one_alone_serves() {
    let runners = Runners::start(Interruption::Slow);
    let node = Fixture::start_with(REGIONS);
    node.store.put("op/config", &configuration(3));
    runners.new.iter().for_each(|runner| node.add_runner_of_version(runner, "v2"));
    node.wait_until_ready();
    wait_for("streams to begin", || stream(&node, "first", "").status == 200);
    let remote = RemoteNode::introduce_to(&node);
    let response = std::thread::scope(|scope| {
        let client = scope.spawn(|| take_up(&node, "id-remote", "again"));
        let (query, from) = remote.receive_query();
        let reply = json!({ "stream": { "t": query["t"], "x": true } }).to_string();
        remote.socket.send_to(reply.as_bytes(), from).unwrap();
        client.join().unwrap()
    });
    assert_eq!((response.status, response.header("retry-after")), (503, Some("0.1")));
    assert_eq!(runners.runs_after(INTERRUPTED_AFTER), 0);
}

#[test]
fn a_stream_whose_id_the_node_knows_of_two_versions_is_refused_though_a_keeper_knows_one() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_in_two_regions(&runners);
    let remote = RemoteNode::introduce_to(&node);
    let told = |version: &str| json!({ "i": "id-twice", "o": { "s": "llm", "v": version } });
    let message = json!({ "streams": [told("v1"), told("v2")] }).to_string();
    remote.socket.send_to(message.as_bytes(), node.peers).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let response = std::thread::scope(|scope| {
        let client = scope.spawn(|| take_up(&node, "id-twice", "again"));
        // The node need not ask.
        if let Some((query, from)) = remote.try_receive_query() {
            let origin = json!({ "s": "llm", "v": "v1" });
            let reply = json!({ "stream": { "t": query["t"], "o": origin } }).to_string();
            remote.socket.send_to(reply.as_bytes(), from).unwrap();
        }
        client.join().unwrap()
    });
    assert_eq!((response.status, response.header("retry-after")), (503, Some("0.1")));
    assert_eq!(runners.runs_after(INTERRUPTED_AFTER), 0);
}

#[test]
fn a_stream_is_not_joined_with_one_of_its_id_by_a_node_that_began_the_other() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_with(&runners);
    let others: Vec<_> =
        (2..=MANY_NODES).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let version_of = |text: &str| if text.contains("of v1") { "v1" } else { "v2" };
    let begin_twice = |number: usize| {
        let id = format!("id-{number}");
        let first = begin_and_leave(&node, &id);
        let second = begin_and_leave(&others[0], &id);
        (version_of(&first) != version_of(&second)).then_some((id, second))
    };
    let begun: Vec<_> = (0..MANY_STREAMS).filter_map(begin_twice).collect();
    assert!(!begun.is_empty(), "no id was used at both versions");
    std::thread::sleep(Duration::from_millis(100));
    let take_up_second = |(id, second): (String, String)| {
        let response = take_up(&node, &id, &format!("{id}-again"));
        format!("{second}{}", response.text())
    };
    let texts = begun.into_iter().map(take_up_second);
    let joined: Vec<_> =
        texts.filter(|text| text.contains("of v1") && text.contains("of v2")).collect();
    assert_eq!(joined, Vec::<String>::new());
}

#[test]
fn a_stream_whose_keeper_is_silent_is_refused_soon() {
    let runners = Runners::start(Interruption::Slow);
    let node = node_in_two_regions(&runners);
    let _silent = RemoteNode::introduce_to(&node);
    let begun = Instant::now();
    let response = take_up(&node, "id-remote", "again");
    assert_eq!((response.status, response.header("retry-after")), (503, Some("0.1")));
    assert!(begun.elapsed() < ROUTE_TARGET / 4, "the refusal took {:?}", begun.elapsed());
    assert_eq!(runners.runs_after(INTERRUPTED_AFTER), 0);
}

#[test]
fn nothing_is_told_of_streams_while_one_version_serves() {
    let runners = Runners::start(Interruption::Slow);
    let node = start_node();
    runners.old.iter().for_each(|runner| node.add_runner_of_version(runner, "v1"));
    node.wait_until_ready();
    let _others: Vec<_> = (2..=4).map(|number| peer_of(&node, &format!("node-{number}"))).collect();
    let is_told = || get(node.health, "/metrics").text().contains("kind=\"stream_origins\"");
    (0..STREAMS).for_each(|number| drop(stream(&node, &format!("id-{number}"), "")));
    assert!(!is_told());
    node.add_runner_of_version(&runners.new[0], "v2");
    wait_for("the keepers to be told", is_told);
}
