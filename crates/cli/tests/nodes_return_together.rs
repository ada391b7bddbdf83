//! Real processes of the program that are killed together and start again, before a store that has all their
//! registrations and all runners.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::proxy::Link;
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Node, READY_TIMEOUT};
use test_case::test_case;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ZONES: [&str; 2] = ["north", "south"];
const READERS: usize = 2 * ZONES.len();
const RUNNERS: usize = 1_000;
/// Number of entries in a page of the store.
const PAGE_ENTRIES: usize = 50;
const PAGES: usize = RUNNERS.div_ceil(PAGE_ENTRIES);
/// Delay of each direction between the nodes and the store, with which a full read takes most of a second.
const LINK_DELAY: Duration = Duration::from_millis(20);

/// Events of the nodes' logs that say who reads all entries, and why.
const READ_EVENTS: [&str; 8] = [
    "\"event\":\"lost\"",
    "all entries read",
    "call failed",
    "first list of nodes received",
    "first replica",
    "reading all entries",
    "source cannot be connected to",
    "sources that may be starting are given up",
];

/// The lines of a node's log with one of [`READ_EVENTS`], each after the address of the node.
fn read_events(node: &Node) -> Vec<String> {
    let log = std::fs::read(&node.log).unwrap();
    let log = String::from_utf8_lossy(&log);
    let lines = log.lines().filter(|line| READ_EVENTS.iter().any(|event| line.contains(event)));
    lines.map(|line| format!("{} {line}", node.ip)).collect()
}

fn new_node(number: usize, store: SocketAddr) -> Node {
    Node::new(&format!("node-{number:03}"), ZONES[number % ZONES.len()], store, "")
}

/// Nodes that have all been ready once, and their store.
struct Fleet {
    store: StoreStandIn,
    link: Link,
    nodes: Vec<Node>,
}

impl Fleet {
    fn start(count: usize) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.put("op/config", &configuration());
        (0..RUNNERS).for_each(|it| store.put(&format!("servers/i-{it:05}"), &runner_entry(it)));
        let link = Link::start(store.address()).unwrap();
        let nodes = (0..count).map(|number| new_node(number, link.address())).collect();
        let mut fleet = Self { store, link, nodes };
        fleet.start_all();
        fleet.wait_until_ready();
        fleet
    }

    fn start_all(&mut self) {
        self.nodes.iter_mut().for_each(Node::start);
    }

    fn kill_all(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
    }

    fn wait_until_ready(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        let mut waiting: Vec<&Node> = self.nodes.iter().collect();
        while !waiting.is_empty() {
            waiting.retain(|node| !node.is_ready());
            assert!(Instant::now() < end, "{} nodes are not ready", waiting.len());
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Number of pages of runners' entries that the nodes have asked for.
    fn pages(&self) -> usize {
        let calls = self.store.calls();
        calls.iter().filter(|call| call.contains("kv-range?path_prefix=servers/")).count()
    }

    /// Asserts that at most `readers` nodes have read all runners since `pages` pages had been read.
    fn assert_reads(&self, pages: usize, readers: usize) {
        let pages = self.pages() - pages;
        if pages > readers * PAGES {
            self.print_read_events();
        }
        assert!(pages <= readers * PAGES, "{pages} pages, {PAGES} in a full read");
    }

    fn print_read_events(&self) {
        self.nodes.iter().flat_map(read_events).for_each(|line| println!("{line}"));
    }
}

fn configuration() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "lookup", "host": "desk.example", "path_prefix": "/", "kind": "idempotent", "timeout_ms": 5_000,
            "target_ms": 2_000, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": false, "resumable": false,
            "gap_target_ms": 300,
        }],
        "services": [{ "name": "desk", "health_path": "/health", "max_conns": 100 }],
        "limits": { "max_header_bytes": 8_192, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000 },
    })
}

fn runner_entry(number: usize) -> Value {
    json!({
        "service": "desk", "address": format!("127.0.0.1:{}", 1 + number % 60_000), "zone": ZONES[number % ZONES.len()],
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
    })
}

/// Guards against full reads by followers while their readers read.
#[test_case(24)]
#[test_case(100)]
fn processes_that_are_killed_together_read_two_times_a_zone(count: usize) {
    let mut fleet = Fleet::start(count);
    fleet.link.set_delay(LINK_DELAY);
    let pages = fleet.pages();
    fleet.kill_all();
    fleet.start_all();
    fleet.wait_until_ready();
    fleet.assert_reads(pages, READERS);
}

/// Guards against full reads by followers when all nodes are killed once more while they return.
#[test]
fn processes_that_are_killed_again_while_they_return_read_two_times_a_zone_and_return() {
    const NODES: usize = 24;
    const BETWEEN: Duration = Duration::from_millis(300);
    let mut fleet = Fleet::start(NODES);
    fleet.link.set_delay(LINK_DELAY);
    let pages = fleet.pages();
    for _ in 0..2 {
        fleet.kill_all();
        fleet.start_all();
        std::thread::sleep(BETWEEN);
    }
    fleet.wait_until_ready();
    fleet.assert_reads(pages, 2 * READERS);
}

/// Guards against full reads by followers when the store is away and its history gone while all nodes return.
#[test]
fn processes_that_return_before_a_store_that_is_away_read_two_times_a_zone_once_it_is_back() {
    const NODES: usize = 24;
    const AWAY: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::start(NODES);
    fleet.kill_all();
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.start_all();
    std::thread::sleep(AWAY);
    fleet.store.compact_history();
    let pages = fleet.pages();
    fleet.store.set_mode(StoreMode::Serving);
    fleet.wait_until_ready();
    // A read that began while the store was away may be counted once more.
    fleet.assert_reads(pages, 2 * READERS);
}

/// Guards against full reads by followers when the store refuses a third of the nodes that return.
#[test]
fn processes_that_return_before_a_store_that_refuses_a_third_of_them_read_two_times_a_zone() {
    const NODES: usize = 24;
    const REFUSED_EVERY: usize = 3;
    let mut fleet = Fleet::start(NODES);
    fleet.link.set_delay(LINK_DELAY);
    let pages = fleet.pages();
    fleet.kill_all();
    let refusing = StoreStandIn::start().unwrap();
    refusing.set_mode(StoreMode::Throttling);
    for node in fleet.nodes.iter().step_by(REFUSED_EVERY) {
        let settings = std::fs::read_to_string(&node.settings).unwrap();
        let served = fleet.link.address().to_string();
        std::fs::write(&node.settings, settings.replace(&served, &refusing.address().to_string()))
            .unwrap();
    }
    fleet.start_all();
    fleet.wait_until_ready();
    fleet.assert_reads(pages, READERS);
}
