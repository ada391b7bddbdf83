//! Nodes whose store is restored from a backup and assigns its revisions again.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use std::time::Duration;
use support::{configuration, route, runner_entry, serves, wait_for, Fixture};
use test_case::test_case;

/// Time for which the store is unavailable before it is restored.
const OUTAGE: Duration = Duration::from_millis(600);
/// Number of revisions that the store loses.
const LOST_REVISIONS: usize = 20;
/// Requests to each node in a check that a leaving runner receives none.
const REQUESTS_PER_CHECK: usize = 8;

fn runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |_| Reaction::Respond { status: 200, body: b"done".to_vec() }).unwrap()
}

/// Nodes of one zone: two read the store, the others follow one of them.
struct Cluster {
    nodes: Vec<Fixture>,
    leaving: RunnerStandIn,
    staying: RunnerStandIn,
    /// The runners' registry entries as they were last written.
    written: Vec<(String, serde_json::Value)>,
}

impl Cluster {
    fn start(nodes: usize) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.report_era(1);
        let (leaving, staying) = (runner("i-1"), runner("i-2"));
        store.put("op/config", &configuration(3));
        let written: Vec<_> = [&leaving, &staying]
            .map(|it| (format!("servers/{}", it.id()), runner_entry(it, "desk", "north", "ready")))
            .to_vec();
        written.iter().for_each(|(key, entry)| store.put(key, entry));
        let start =
            |number: usize| Fixture::start_with_store(store.clone(), &format!("node-{number}"));
        let nodes: Vec<Fixture> = (0..nodes).map(start).collect();
        nodes.iter().for_each(Fixture::wait_until_ready);
        Self { nodes, leaving, staying, written }
    }

    fn store(&self) -> &StoreStandIn {
        &self.nodes[0].store
    }

    /// Restores the store from a backup, so that it loses its last writes; the operator and the
    /// runners then write their entries again.
    fn restore_backup(&mut self) -> RestoredStore<'_> {
        let backup = self.store().back_up();
        self.write_filler(LOST_REVISIONS);
        self.written[0].1["seq"] = 2.into();
        self.rewrite_entries(5);
        for node in &self.nodes {
            wait_for("version 5 everywhere", || serves(node, "v5"));
        }
        self.store().set_mode(StoreMode::Unavailable);
        std::thread::sleep(OUTAGE);
        self.store().restore(&backup);
        self.rewrite_entries(5);
        RestoredStore { cluster: self }
    }

    /// The first runner announces that it leaves.
    fn leave(&mut self) {
        self.written[0].1["state"] = "draining".into();
        let (key, entry) = &self.written[0];
        self.store().put(key, entry);
    }

    fn write_filler(&self, writes: usize) {
        (0..writes).for_each(|number| self.store().put("other/key", &number.into()));
    }

    fn rewrite_entries(&self, version: u64) {
        let mut newer = configuration(version);
        let routes = newer["routes"].as_array_mut().unwrap();
        routes.push(route(&format!("v{version}"), "idempotent", "desk"));
        self.store().put("op/config", &newer);
        self.written.iter().for_each(|(key, entry)| self.store().put(key, entry));
    }

    /// Whether a number of requests to a node all reach other runners.
    fn sends_nothing_to(&self, node: &Fixture, runner: &RunnerStandIn) -> bool {
        let before = runner.requests().len();
        for _ in 0..REQUESTS_PER_CHECK {
            serves(node, "lookup");
        }
        runner.requests().len() == before
    }
}

/// A restored store that does not respond yet.
struct RestoredStore<'a> {
    cluster: &'a mut Cluster,
}

impl RestoredStore<'_> {
    /// Makes the store respond again and performs `write`: either after all nodes have read the
    /// store, or, if `is_overtaken`, before they query it and followed by more writes than were
    /// lost.
    fn serve_with(self, is_overtaken: bool, write: impl FnOnce(&mut Cluster)) {
        let cluster = self.cluster;
        if is_overtaken {
            write(cluster);
            cluster.write_filler(3 * LOST_REVISIONS);
            return cluster.store().set_mode(StoreMode::Serving);
        }
        cluster.store().set_mode(StoreMode::Serving);
        std::thread::sleep(OUTAGE);
        write(cluster);
    }
}

#[test_case(1, false; "at a store reader")]
#[test_case(4, false; "at followers")]
#[test_case(1, true; "at a store reader that queries after more writes than were lost")]
#[test_case(4, true; "at followers of store readers that query after more writes than were lost")]
fn a_leaving_runner_gets_no_requests_when_its_revision_is_reused(nodes: usize, is_overtaken: bool) {
    let mut cluster = Cluster::start(nodes);
    cluster.restore_backup().serve_with(is_overtaken, Cluster::leave);
    for node in &cluster.nodes {
        wait_for("the leaving runner to receive no requests", || {
            cluster.sends_nothing_to(node, &cluster.leaving)
        });
    }
}

#[test_case(1, false; "at a store reader")]
#[test_case(4, false; "at followers")]
#[test_case(1, true; "at a store reader that queries after more writes than were lost")]
#[test_case(4, true; "at followers of store readers that query after more writes than were lost")]
fn a_configuration_comes_into_force_when_its_revision_is_reused(nodes: usize, is_overtaken: bool) {
    let mut cluster = Cluster::start(nodes);
    cluster.restore_backup().serve_with(is_overtaken, |cluster| cluster.rewrite_entries(8));
    for node in &cluster.nodes {
        wait_for("version 8", || serves(node, "v8"));
    }
}

#[test_case(1; "at a store reader")]
#[test_case(4; "at followers")]
fn a_joining_runner_is_used_when_its_revision_is_reused(nodes: usize) {
    let mut cluster = Cluster::start(nodes);
    let joined = runner("i-3");
    let entry = runner_entry(&joined, "desk", "north", "ready");
    cluster
        .restore_backup()
        .serve_with(false, |cluster| cluster.store().put("servers/i-3", &entry));
    std::thread::sleep(OUTAGE);
    // Only the joined runner remains available.
    cluster.written.iter_mut().for_each(|(_, entry)| entry["state"] = "draining".into());
    cluster.written.iter().for_each(|(key, entry)| cluster.store().put(key, entry));
    for node in &cluster.nodes {
        wait_for("the joined runner to receive requests", || {
            !cluster.sends_nothing_to(node, &joined)
        });
    }
}

/// The backup contains the runner's entry from before it announced that it leaves.
#[test]
fn a_leaving_runner_gets_no_requests_while_the_backup_has_its_earlier_entry() {
    let mut cluster = Cluster::start(4);
    let backup = cluster.store().back_up();
    cluster.leave();
    for node in &cluster.nodes {
        wait_for("the leaving runner to receive no requests", || {
            cluster.sends_nothing_to(node, &cluster.leaving)
        });
    }
    cluster.store().set_mode(StoreMode::Unavailable);
    std::thread::sleep(OUTAGE);
    cluster.store().restore(&backup);
    cluster.store().set_mode(StoreMode::Serving);
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for node in &cluster.nodes {
            assert!(
                cluster.sends_nothing_to(node, &cluster.leaving),
                "the runner had announced that it leaves"
            );
        }
    }
    assert!(!cluster.staying.requests().is_empty());
}

/// The other store has fewer revisions, and its era has a lower number.
#[test]
fn a_leaving_runner_gets_no_requests_after_the_store_address_changes() {
    let mut cluster = Cluster::start(1);
    cluster.store().report_era(3);
    cluster.restore_backup().serve_with(false, |_| {});
    let other = StoreStandIn::start().unwrap();
    other.report_era(1);
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().unwrap().push(route("moved", "idempotent", "desk"));
    other.put("op/config", &newer);
    cluster.written[0].1["state"] = "draining".into();
    cluster.written.iter().for_each(|(key, entry)| other.put(key, entry));
    let node = &cluster.nodes[0];
    let text = std::fs::read_to_string(&node.file).unwrap();
    let (before, after) = (node.store.address().to_string(), other.address().to_string());
    std::fs::write(&node.file, text.replace(&before, &after)).unwrap();
    wait_for("the configuration of the other store", || serves(node, "moved"));
    wait_for("the leaving runner to receive no requests", || {
        cluster.sends_nothing_to(node, &cluster.leaving)
    });
}
