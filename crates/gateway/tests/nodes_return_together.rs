//! A whole fleet whose nodes start at the same moment, while the store has all their registrations and all runners.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_adapter::store;
use pitchstall_platform_standins::runner::RunnerStandIn;
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use pitchstall_platform_standins::throttled_link::ThrottledLink;
use pitchstall_serving::ids::{NodeId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::topology::Topology;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use support::{configuration, get, json_response, route, serves, wait_for, Fixture, NodeAddress};

const NODES: usize = 24;
const STORE_READERS: usize = 2;
const RUNNERS: usize = 2_000;
/// Number of entries in a page of the store.
const PAGE_ENTRIES: usize = 50;
const PAGES: usize = RUNNERS.div_ceil(PAGE_ENTRIES);
/// At this rate two nodes read all runners' entries in some two seconds, and all nodes in more than twenty.
const STORE_LINK_BYTES_PER_SECOND: u64 = 1_000_000;
const READ_OF_RUNNERS: &str = "path_prefix=servers/";

/// The share of a processor that [`member`] registers.
const MACHINE: &str =
    "[machine]\nmemory_mb = 512\nfile_descriptors = 4000\nprocessor_share = 0.5\n";

fn runner_entry(number: usize) -> Value {
    json!({
        "service": "desk", "address": format!("127.0.0.1:{}", 1 + number % 60_000), "zone": "north",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
    })
}

fn member(address: NodeAddress) -> Member {
    const MILLICPUS: u32 = 500;
    Member { address: address.peers(), zone: ZoneId::new("north"), millicpus: MILLICPUS }
}

/// A store with the registrations of nodes from their previous start.
fn store_with(nodes: &[(usize, NodeAddress)], runners: usize) -> StoreStandIn {
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &configuration(3));
    (0..runners).for_each(|it| store.put(&format!("servers/i-{it:05}"), &runner_entry(it)));
    for (number, address) in nodes {
        let registration = store::node_value(&member(*address));
        store.put_bytes(&store::node_key(&name(*number)), registration.as_bytes());
    }
    store
}

fn name(number: usize) -> String {
    format!("node-{number:02}")
}

/// Numbers and addresses of the nodes of a fleet.
fn fleet_of(count: usize) -> Vec<(usize, NodeAddress)> {
    (0..count).map(|number| (number, NodeAddress::new())).collect()
}

/// Starts nodes at the same moment. Each reaches the store at `store_address`.
fn start_all(
    nodes: &[(usize, NodeAddress)],
    store: &StoreStandIn,
    store_address: SocketAddr,
) -> Vec<Fixture> {
    let start = |number: usize, address: NodeAddress| {
        Fixture::start_at(address, store.clone(), store_address, &name(number), "", MACHINE)
    };
    std::thread::scope(|scope| {
        let starting = nodes.iter().map(|(number, at)| scope.spawn(move || start(*number, *at)));
        let starting: Vec<_> = starting.collect();
        starting.into_iter().map(|node| node.join().unwrap()).collect()
    })
}

/// Starts a fleet whose nodes share a link to a store that has their registrations.
fn start_behind_link(
    store: &StoreStandIn,
    nodes: &[(usize, NodeAddress)],
    bytes_per_s: u64,
) -> Vec<Fixture> {
    let link = ThrottledLink::new(bytes_per_s);
    start_all(nodes, store, link.link_to(store.address()).unwrap())
}

fn count_of(store: &StoreStandIn, call: &str) -> usize {
    store.calls().iter().filter(|target| target.contains(call)).count()
}

fn full_read_pages(store: &StoreStandIn) -> usize {
    let is_page =
        |target: &&String| target.contains("kv-range") && target.contains(READ_OF_RUNNERS);
    store.calls().iter().filter(is_page).count()
}

/// The nodes' own counts of full reads of the runners, with their reasons.
fn full_reads(nodes: &[Fixture]) -> Vec<String> {
    let metrics = nodes.iter().map(|node| get(node.health, "/metrics").text());
    let lines = metrics.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>());
    lines.filter(|line| line.contains("full_reads_total{") && line.contains("runners")).collect()
}

/// Guards against followers that read all runners from the store because their readers are still reading.
#[test]
fn nodes_that_return_together_do_not_all_read_every_runner_from_the_store() {
    let fleet = fleet_of(NODES);
    let store = store_with(&fleet, RUNNERS);
    let nodes = start_behind_link(&store, &fleet, STORE_LINK_BYTES_PER_SECOND);
    nodes.iter().for_each(Fixture::wait_until_ready);
    let pages = full_read_pages(&store);
    assert!(pages <= STORE_READERS * PAGES, "{pages} pages were read, a full read has {PAGES}");
}

/// Guards against nodes that take themselves for the only one while the list of nodes is still arriving.
#[test]
fn nodes_whose_list_of_nodes_arrives_late_do_not_all_become_store_readers() {
    const LISTED_BYTES_PER_SECOND: u64 = 60_000;
    const FEW_RUNNERS: usize = 100;
    let fleet = fleet_of(NODES);
    let store = store_with(&fleet, FEW_RUNNERS);
    let nodes = start_behind_link(&store, &fleet, LISTED_BYTES_PER_SECOND);
    nodes.iter().for_each(Fixture::wait_until_ready);
    let pages = full_read_pages(&store);
    let max_pages = STORE_READERS * FEW_RUNNERS.div_ceil(PAGE_ENTRIES);
    assert!(
        pages <= max_pages,
        "{pages} pages were read by {NODES} nodes, {max_pages} at the most"
    );
}

/// Guards against a full read that begins again at its first page because a later one was not answered.
#[test]
fn pages_of_a_full_read_are_not_read_again_after_a_failed_one() {
    let fleet = fleet_of(1);
    let store = store_with(&fleet, RUNNERS);
    let failing_page = format!("after=servers/i-{:05}", RUNNERS / 2 - 1);
    store.reject_once(&failing_page);
    let nodes = start_all(&fleet, &store, store.address());
    nodes.iter().for_each(Fixture::wait_until_ready);
    assert_eq!(count_of(&store, &failing_page), 2, "{:?}", store.calls());
    assert_eq!(full_read_pages(&store), PAGES + 1);
}

/// Guards against a read of all entries by every follower after their readers have ended.
#[test]
fn the_loss_of_all_readers_costs_one_full_read_for_each_of_them() {
    const FEW_RUNNERS: usize = 400;
    let mut fleet = fleet_of(NODES);
    let store = store_with(&fleet, FEW_RUNNERS);
    // The two nodes that would read the store are registered and do not return.
    let lost = store_readers(&fleet);
    fleet.retain(|(number, _)| !lost.contains(number));
    let nodes = start_behind_link(&store, &fleet, STORE_LINK_BYTES_PER_SECOND);
    nodes.iter().for_each(Fixture::wait_until_ready);
    let pages = full_read_pages(&store);
    let max_pages = (STORE_READERS + lost.len()) * FEW_RUNNERS.div_ceil(PAGE_ENTRIES);
    assert!(pages <= max_pages, "{pages} pages were read, {max_pages} at the most");
}

/// Numbers of the nodes that read the store for a fleet that knows all its nodes.
fn store_readers(fleet: &[(usize, NodeAddress)]) -> Vec<usize> {
    let is_reader = |own: usize, address: NodeAddress| {
        let own = NodeId::new(name(own));
        let mut view = Membership::new(own, member(address), Topology::default());
        fleet.iter().for_each(|(it, at)| view.upsert(&NodeId::new(name(*it)), &member(*at)));
        view.is_store_reader()
    };
    let readers = fleet.iter().filter(|(number, address)| is_reader(*number, *address));
    readers.map(|(number, _)| *number).collect()
}

/// Guards against a read of all entries by every node once a store that was away is back.
#[test]
fn the_return_of_the_store_costs_no_full_read_by_every_node() {
    const AWAY: Duration = Duration::from_secs(3);
    let fleet = fleet_of(NODES);
    let store = store_with(&fleet, RUNNERS);
    store.set_mode(StoreMode::Unavailable);
    let nodes = start_behind_link(&store, &fleet, STORE_LINK_BYTES_PER_SECOND);
    std::thread::sleep(AWAY);
    let before = full_read_pages(&store);
    store.set_mode(StoreMode::Serving);
    wait_for("all nodes to be ready", || nodes.iter().all(Fixture::is_ready));
    let pages = full_read_pages(&store) - before;
    // The readers have failed at the store, so that a few followers may read as well.
    let reads = full_reads(&nodes);
    assert!(pages <= 2 * STORE_READERS * PAGES, "{pages} pages, {PAGES} a read: {reads:?}");
}

/// A fleet whose nodes are all ready, behind one link to the store.
fn running_fleet() -> (StoreStandIn, Vec<Fixture>) {
    let fleet = fleet_of(NODES);
    let store = store_with(&fleet, RUNNERS);
    store.report_era(1);
    let nodes = start_behind_link(&store, &fleet, STORE_LINK_BYTES_PER_SECOND);
    nodes.iter().for_each(Fixture::wait_until_ready);
    (store, nodes)
}

/// Adds a service with one runner and a route to it, and waits until all nodes serve the route. Returns the number of
/// pages of runners' entries that they read meanwhile.
fn pages_until_new_service_is_served(store: &StoreStandIn, nodes: &[Fixture]) -> usize {
    let before = full_read_pages(store);
    let mut newer = configuration(7);
    newer["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "added"));
    let service = json!({ "name": "added", "health_path": "/health", "max_conns": 100 });
    newer["services"].as_array_mut().unwrap().push(service);
    store.put("op/config", &newer);
    let runner = RunnerStandIn::start("i-added", |_| json_response("{}")).unwrap();
    let mut entry = runner_entry(0);
    entry["service"] = "added".into();
    entry["address"] = runner.address().to_string().into();
    store.put("servers/i-added", &entry);
    wait_for("the new service at all nodes", || nodes.iter().all(|node| serves(node, "added")));
    full_read_pages(store) - before
}

/// Guards against a read of all entries by every follower after the store has dropped its history.
#[test]
fn followers_do_not_read_every_runner_after_the_store_has_lost_its_history() {
    let (store, nodes) = running_fleet();
    store.put_without_history("servers/i-00000", &runner_entry(1));
    let pages = pages_until_new_service_is_served(&store, &nodes);
    let reads = full_reads(&nodes);
    assert!(pages <= 2 * STORE_READERS * PAGES, "{pages} pages, {PAGES} a read: {reads:?}");
}

/// Guards against a read of all entries by every follower after the store was restored from a backup.
#[test]
fn followers_do_not_read_every_runner_after_the_store_was_restored() {
    let (store, nodes) = running_fleet();
    store.restore(&store.back_up());
    let pages = pages_until_new_service_is_served(&store, &nodes);
    let reads = full_reads(&nodes);
    assert!(pages <= 2 * STORE_READERS * PAGES, "{pages} pages, {PAGES} a read: {reads:?}");
}
