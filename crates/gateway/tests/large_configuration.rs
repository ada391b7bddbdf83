//! A large configuration comes into force at nodes behind links of low bandwidth.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::proxy::{Link, LinkMode};
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use pitchstall_platform_standins::throttled_link::{NodePair, ThrottledLink};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Duration;
use support::{configuration, large_configuration, route, serves, wait_for, Fixture, NodeAddress};
use test_case::test_case;

/// At this rate the replica takes longer to transfer, in each way, than any time limit that does
/// not depend on its size.
const PEER_LINK_BYTES_PER_SECOND: u64 = 40_000;
/// The same for the store's responses, which are neither compressed nor started again.
const STORE_LINK_BYTES_PER_SECOND: u64 = 300_000;
/// Settings of a node with a narrow link: the other nodes are stronger and read the store for it.
const WEAK_MACHINE: &str =
    "[machine]\nmemory_mb = 160\nfile_descriptors = 4000\nprocessor_share = 0.12\n";
const STRONG_MACHINE: &str =
    "[machine]\nmemory_mb = 512\nfile_descriptors = 4000\nprocessor_share = 0.5\n";

fn runner() -> RunnerStandIn {
    RunnerStandIn::start("i-1", |_| Reaction::Respond { status: 200, body: b"done".to_vec() })
        .unwrap()
}

/// Writes large configurations in quick succession, each with its own route; returns the name of
/// the last version's route.
fn write_many_versions(store: &StoreStandIn) -> String {
    const VERSIONS: std::ops::RangeInclusive<u64> = 7..=18;
    const WRITE_INTERVAL: Duration = Duration::from_millis(330);
    for version in VERSIONS {
        store.put("op/config", &large_version(version));
        std::thread::sleep(WRITE_INTERVAL);
    }
    version_route(*VERSIONS.end())
}

/// A large configuration with a route of its own.
fn large_version(version: u64) -> Value {
    let mut large = large_configuration(version);
    let routes = large["routes"].as_array_mut().unwrap();
    routes.push(route(&version_route(version), "idempotent", "desk"));
    large
}

fn version_route(version: u64) -> String {
    format!("version-{version}")
}

/// A single node that reads the store over a narrow link.
struct NarrowReader {
    store: StoreStandIn,
    link: ThrottledLink,
    node: Fixture,
    _runner: RunnerStandIn,
}

/// Starts the node with a configuration.
fn narrow_reader(configuration: &Value) -> NarrowReader {
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let store = StoreStandIn::start().unwrap();
    let runner = runner();
    store.put("op/config", configuration);
    let address = link.link_to(store.address()).unwrap();
    let node = Fixture::start_at(NodeAddress::new(), store.clone(), address, "node-1", "", "");
    node.add_runner(&runner, "desk", None);
    NarrowReader { store, link, node, _runner: runner }
}

/// Two store readers with fast links, and a follower behind a narrow link.
struct Nodes {
    store: StoreStandIn,
    _strong: Vec<Fixture>,
    weak: Fixture,
    link: ThrottledLink,
    /// The links between the weak node and each of the others.
    pairs: Vec<NodePair>,
    _runner: RunnerStandIn,
}

fn nodes() -> Nodes {
    let link = ThrottledLink::new(PEER_LINK_BYTES_PER_SECOND);
    let store = StoreStandIn::start().unwrap();
    let runner = runner();
    store.put("op/config", &configuration(3));
    let weak_place = NodeAddress::new();
    let mut seen_from_weak = HashMap::new();
    let mut pairs = Vec::new();
    let strong: Vec<Fixture> = ["node-1", "node-2"]
        .into_iter()
        .map(|name| {
            let place = NodeAddress::new();
            let pair = link.connect_nodes(weak_place.peers(), place.peers()).unwrap();
            let seen = pair.remote_address_for_local.to_string();
            seen_from_weak.insert(place.peers().to_string(), seen);
            let seen = pair.local_address_for_remote.to_string();
            let view = HashMap::from([(weak_place.peers().to_string(), seen)]);
            let view = store.serve_view(view).unwrap();
            pairs.push(pair);
            Fixture::start_at(place, store.clone(), view, name, "", STRONG_MACHINE)
        })
        .collect();
    strong[0].add_runner(&runner, "desk", None);
    let view = store.serve_view(seen_from_weak).unwrap();
    let view = link.link_to(view).unwrap();
    let weak = Fixture::start_at(weak_place, store.clone(), view, "weak", "", WEAK_MACHINE);
    strong.iter().for_each(Fixture::wait_until_ready);
    weak.wait_until_ready();
    Nodes { store, _strong: strong, weak, link, pairs, _runner: runner }
}

/// The configuration must not be sent repeatedly: the link transfers at most twice the size of the
/// document.
#[test]
fn a_large_configuration_comes_into_force_at_a_node_that_follows_others() {
    const MAX_DOCUMENT_MULTIPLE: u64 = 2;
    let nodes = nodes();
    let large = large_configuration(7);
    let before = nodes.link.transferred_bytes();
    nodes.store.put("op/config", &large);
    wait_for("the added route at the node behind the narrow link", || serves(&nodes.weak, "added"));
    let document_bytes = large.to_string().len() as u64;
    assert!(nodes.link.transferred_bytes() - before <= MAX_DOCUMENT_MULTIPLE * document_bytes);
}

/// A node that knows no peer with a configuration begins to read a large one from the store, and
/// then takes it from a peer that has received it meanwhile. On a busy machine, both sources of a
/// node had no confirmation by the store for half a second; the node read the store itself, and its
/// response blocked the node for 20 s.
#[test]
fn a_peer_snapshot_overtakes_a_slow_store_response() {
    let link = ThrottledLink::new(PEER_LINK_BYTES_PER_SECOND);
    let store = StoreStandIn::start().unwrap();
    let runner = runner();
    store.put("op/config", &large_configuration(3));
    let weak_place = NodeAddress::new();
    let strong_place = NodeAddress::new();
    let pair = link.connect_nodes(weak_place.peers(), strong_place.peers()).unwrap();
    let seen = |place: NodeAddress, address: std::net::SocketAddr| {
        HashMap::from([(place.peers().to_string(), address.to_string())])
    };
    let view = store.serve_view(seen(strong_place, pair.remote_address_for_local)).unwrap();
    let view = link.link_to(view).unwrap();
    let weak = Fixture::start_at(weak_place, store.clone(), view, "weak", "", WEAK_MACHINE);
    wait_for("the store's response to begin", || {
        link.transferred_bytes() > 3 * PEER_LINK_BYTES_PER_SECOND / 2
    });
    let view = store.serve_view(seen(weak_place, pair.local_address_for_remote)).unwrap();
    let strong = Fixture::start_at(strong_place, store.clone(), view, "node-1", "", STRONG_MACHINE);
    strong.add_runner(&runner, "desk", None);
    wait_for("the configuration at the node behind the narrow link", || serves(&weak, "added"));
}

/// Changes in quick succession: a node completes the transfer of a version although a later one
/// exists.
#[test]
fn large_configurations_in_quick_succession_come_into_force() {
    let nodes = nodes();
    let last = write_many_versions(&nodes.store);
    wait_for("the last version", || serves(&nodes.weak, &last));
}

/// A single node reads the store over a narrow link, at its start and after a change.
#[test]
fn a_large_configuration_is_read_from_the_store_over_a_narrow_link() {
    let NarrowReader { store, node, .. } = &narrow_reader(&large_configuration(3));
    wait_for("the first configuration", || serves(node, "added"));
    let mut changed = large_configuration(4);
    changed["limits"]["max_body_bytes"] = json!(70_000);
    changed["routes"].as_array_mut().unwrap().push(route("later", "idempotent", "desk"));
    store.put("op/config", &changed);
    wait_for("the change", || serves(node, "later"));
}

/// The response of a watch holds every version written since its revision.
#[test]
fn versions_in_quick_succession_do_not_accumulate_at_a_store_reader() {
    let NarrowReader { store, node, .. } = &narrow_reader(&configuration(3));
    node.wait_until_ready();
    let last = write_many_versions(store);
    wait_for("the last version", || serves(node, &last));
}

/// Versions that are written while a store reader is busy all come in one response of its watch.
#[test]
fn versions_written_during_a_transfer_are_not_all_transferred() {
    const BURST: std::ops::RangeInclusive<u64> = 9..=13;
    let NarrowReader { store, link, node, .. } = &narrow_reader(&configuration(3));
    node.wait_until_ready();
    let before = link.transferred_bytes();
    store.put("op/config", &large_configuration(7));
    wait_for("the first large version", || serves(node, "added"));
    let version_bytes = link.transferred_bytes() - before;
    let before = link.transferred_bytes();
    store.put("op/config", &large_version(8));
    wait_for("the second transfer", || link.transferred_bytes() > before + version_bytes / 4);
    BURST.for_each(|version| store.put("op/config", &large_version(version)));
    wait_for("the last version", || serves(node, &version_route(*BURST.end())));
    let transferred = link.transferred_bytes() - before;
    assert!(transferred < version_bytes * 7 / 2, "{transferred} of {version_bytes} a version");
}

/// A version that was written while the one before was read once more waited for two transfers.
#[test]
fn a_version_that_was_read_slowly_is_not_read_again() {
    let NarrowReader { store, node, .. } = &narrow_reader(&configuration(3));
    node.wait_until_ready();
    let reads = || store.calls().iter().filter(|call| is_configuration_read(call)).count();
    let before = reads();
    // The response of the watch is far longer than the known version, so that the node reads the entry instead.
    store.put("op/config", &large_configuration(7));
    wait_for("the large version", || serves(node, "added"));
    let calls = store.calls().len();
    wait_for("the next watch", || {
        store.calls()[calls..].iter().any(|it| is_configuration_watch(it))
    });
    assert_eq!(reads(), before + 1);
}

fn is_configuration_read(call: &str) -> bool {
    call == "/v1/kv-key?key_file=op/config"
}

fn is_configuration_watch(call: &str) -> bool {
    call.starts_with("/v1/kv-watch?path_prefix=op/config&")
}

/// A reader that read each version again after its transfer received the next one a transfer late.
#[test]
fn a_version_that_arrived_slowly_is_not_transferred_again() {
    let NarrowReader { store, link, node, .. } = &narrow_reader(&large_configuration(7));
    node.wait_until_ready();
    let before = link.transferred_bytes();
    for version in [8, 9] {
        store.put("op/config", &large_version(version));
        wait_for("the version", || serves(node, &version_route(version)));
    }
    let transferred = link.transferred_bytes() - before;
    // Two transfers in base64 take 8/3 of a document; a half is left for other responses.
    let version_bytes = large_version(9).to_string().len() as u64;
    assert!(transferred < version_bytes * 7 / 2, "{transferred} of {version_bytes} a document");
}

/// A source stalls during its transfer. Whichever source it is, the other one has the configuration
/// too.
#[test_case(0)]
#[test_case(1)]
fn a_source_that_stalls_mid_transfer_is_abandoned(which: usize) {
    const PARTIAL_SNAPSHOT_BYTES: u64 = 8 * 1024;
    let nodes = nodes();
    let before = nodes.link.transferred_bytes();
    nodes.store.put("op/config", &large_configuration(7));
    wait_for("a transfer to begin", || {
        nodes.link.transferred_bytes() > before + PARTIAL_SNAPSHOT_BYTES
    });
    assert!(!serves(&nodes.weak, "added"));
    nodes.pairs[which].start_blackhole();
    wait_for("the added route at the node behind the narrow link", || serves(&nodes.weak, "added"));
}

/// The store stalls during its response and recovers later.
#[test]
fn a_stalled_store_response_is_requested_again() {
    const OUTAGE: Duration = Duration::from_secs(3);
    let link = ThrottledLink::new(STORE_LINK_BYTES_PER_SECOND);
    let store = StoreStandIn::start().unwrap();
    let runner = runner();
    store.put("op/config", &configuration(3));
    let faulty = Link::start(store.address()).unwrap();
    let address = link.link_to(faulty.address()).unwrap();
    let node = Fixture::start_at(NodeAddress::new(), store.clone(), address, "node-1", "", "");
    node.add_runner(&runner, "desk", None);
    node.wait_until_ready();
    let before = link.transferred_bytes();
    store.put("op/config", &large_configuration(7));
    wait_for("the response to begin", || {
        link.transferred_bytes() > before + STORE_LINK_BYTES_PER_SECOND / 2
    });
    faulty.set_mode(LinkMode::Silent);
    std::thread::sleep(OUTAGE);
    faulty.set_mode(LinkMode::Passing);
    wait_for("the added route", || serves(&node, "added"));
}
