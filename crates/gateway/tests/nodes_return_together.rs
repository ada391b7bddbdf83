//! A whole fleet whose nodes start at the same moment, while the store has all their registrations and all runners.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_adapter::store;
use pitchstall_platform_standins::runner::RunnerStandIn;
use pitchstall_platform_standins::store::StoreStandIn;
use pitchstall_platform_standins::throttled_link::ThrottledLink;
use pitchstall_serving::ids::ZoneId;
use pitchstall_serving::membership::Member;
use serde_json::{json, Value};
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
fn store_with(addresses: &[NodeAddress], runners: usize) -> StoreStandIn {
    let store = StoreStandIn::start().unwrap();
    store.put("op/config", &configuration(3));
    (0..runners).for_each(|it| store.put(&format!("servers/i-{it:05}"), &runner_entry(it)));
    for (number, address) in addresses.iter().enumerate() {
        let registration = store::node_value(&member(*address));
        store.put_bytes(&store::node_key(&name(number)), registration.as_bytes());
    }
    store
}

fn name(number: usize) -> String {
    format!("node-{number:02}")
}

/// Starts all nodes at the same moment. Each reaches the store at `store_address`.
fn start_all(
    addresses: &[NodeAddress],
    store: &StoreStandIn,
    store_address: std::net::SocketAddr,
) -> Vec<Fixture> {
    std::thread::scope(|scope| {
        let starting = addresses.iter().enumerate().map(|(number, address)| {
            let (store, address) = (store.clone(), *address);
            scope.spawn(move || {
                Fixture::start_at(address, store, store_address, &name(number), "", MACHINE)
            })
        });
        let starting: Vec<_> = starting.collect();
        starting.into_iter().map(|node| node.join().unwrap()).collect()
    })
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
    let addresses: Vec<NodeAddress> = (0..NODES).map(|_| NodeAddress::new()).collect();
    let store = store_with(&addresses, RUNNERS);
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let nodes = start_all(&addresses, &store, link.link_to(store.address()).unwrap());
    nodes.iter().for_each(Fixture::wait_until_ready);
    let pages = full_read_pages(&store);
    assert!(pages <= STORE_READERS * PAGES, "{pages} pages were read, a full read has {PAGES}");
}

/// Guards against nodes that take themselves for the only one while the list of nodes is still arriving.
#[test]
fn nodes_whose_list_of_nodes_arrives_late_do_not_all_become_store_readers() {
    const LISTED_BYTES_PER_SECOND: u64 = 60_000;
    const FEW_RUNNERS: usize = 100;
    let addresses: Vec<NodeAddress> = (0..NODES).map(|_| NodeAddress::new()).collect();
    let store = store_with(&addresses, FEW_RUNNERS);
    let link = ThrottledLink::new(LISTED_BYTES_PER_SECOND);
    let nodes = start_all(&addresses, &store, link.link_to(store.address()).unwrap());
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
    let addresses = [NodeAddress::new()];
    let store = store_with(&addresses, RUNNERS);
    let failing_page = format!("after=servers/i-{:05}", RUNNERS / 2 - 1);
    store.reject_once(&failing_page);
    let nodes = start_all(&addresses, &store, store.address());
    nodes.iter().for_each(Fixture::wait_until_ready);
    assert_eq!(count_of(&store, &failing_page), 2, "{:?}", store.calls());
    assert_eq!(full_read_pages(&store), PAGES + 1);
}

/// Guards against a read of all entries by every follower after their readers have ended.
#[test]
fn the_loss_of_all_readers_costs_one_full_read_for_each_of_them() {
    const FEW_RUNNERS: usize = 400;
    let addresses: Vec<NodeAddress> = (0..NODES).map(|_| NodeAddress::new()).collect();
    let store = store_with(&addresses, FEW_RUNNERS);
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let address = link.link_to(store.address()).unwrap();
    // The two nodes that would read the store are registered and do not return.
    let members = addresses.iter().enumerate().map(|(number, it)| (name(number), member(*it)));
    let members: Vec<(String, Member)> = members.collect();
    let lost = store_readers(&members);
    let returning: Vec<usize> =
        (0..NODES).filter(|number| !lost.contains(&name(*number))).collect();
    let nodes: Vec<Fixture> = std::thread::scope(|scope| {
        let starting = returning.iter().map(|number| {
            let (store, at, number) = (store.clone(), addresses[*number], *number);
            scope.spawn(move || Fixture::start_at(at, store, address, &name(number), "", MACHINE))
        });
        let starting: Vec<_> = starting.collect();
        starting.into_iter().map(|node| node.join().unwrap()).collect()
    });
    nodes.iter().for_each(Fixture::wait_until_ready);
    let pages = full_read_pages(&store);
    let max_pages = (STORE_READERS + lost.len()) * FEW_RUNNERS.div_ceil(PAGE_ENTRIES);
    assert!(pages <= max_pages, "{pages} pages were read, {max_pages} at the most");
}

/// Names of the nodes that read the store, by a node that knows all members.
fn store_readers(members: &[(String, Member)]) -> Vec<String> {
    use pitchstall_serving::ids::NodeId;
    use pitchstall_serving::membership::Membership;
    use pitchstall_serving::topology::Topology;
    let is_reader = |own: &str, member: &Member| {
        let mut view = Membership::new(NodeId::new(own), member.clone(), Topology::default());
        members.iter().for_each(|(name, member)| view.upsert(&NodeId::new(name), member));
        view.is_store_reader()
    };
    let readers = members.iter().filter(|(name, member)| is_reader(name, member));
    readers.map(|(name, _)| name.clone()).collect()
}

/// A fleet that serves again after its store was silent for a while does not read every entry at every node either.
#[test]
fn the_return_of_the_store_costs_no_full_read_by_every_node() {
    use pitchstall_platform_standins::store::StoreMode;
    const SILENCE: Duration = Duration::from_secs(3);
    let addresses: Vec<NodeAddress> = (0..NODES).map(|_| NodeAddress::new()).collect();
    let store = store_with(&addresses, RUNNERS);
    store.set_mode(StoreMode::Unavailable);
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let nodes = start_all(&addresses, &store, link.link_to(store.address()).unwrap());
    std::thread::sleep(SILENCE);
    let before = full_read_pages(&store);
    store.set_mode(StoreMode::Serving);
    wait_for("all nodes to be ready", || nodes.iter().all(Fixture::is_ready));
    let pages = full_read_pages(&store) - before;
    // A node that knows only some of the others may take itself for a reader for a moment.
    let reads = full_reads(&nodes);
    assert!(pages <= 2 * STORE_READERS * PAGES, "{pages} pages, {PAGES} a read: {reads:?}");
}

/// A fleet whose nodes are all ready, behind one link to the store.
fn running_fleet() -> (StoreStandIn, Vec<Fixture>) {
    let addresses: Vec<NodeAddress> = (0..NODES).map(|_| NodeAddress::new()).collect();
    let store = store_with(&addresses, RUNNERS);
    store.report_era(1);
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let nodes = start_all(&addresses, &store, link.link_to(store.address()).unwrap());
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
    store.put("servers/i-00000", &runner_entry(1));
    store.compact_history();
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
