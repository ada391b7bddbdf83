//! Nodes before a store that comes back from an older copy of itself and gives its revisions out again.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::{StoreMode, StoreStandIn};
use std::time::Duration;
use support::{configuration, route, runner_entry, serves, wait_for, Fixture};
use test_case::test_case;

/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(600);
/// Revisions that the store loses.
const LOST: usize = 20;
/// Requests to each node in which a runner that leaves must get none.
const LOOKS: usize = 8;

fn runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |_| Reaction::Answer { status: 200, body: b"done".to_vec() }).unwrap()
}

/// Nodes of one zone: two read the store, the others follow one of these.
struct World {
    nodes: Vec<Fixture>,
    leaving: RunnerStandIn,
    staying: RunnerStandIn,
    /// What the runners have last written of themselves.
    written: Vec<(String, serde_json::Value)>,
}

impl World {
    fn start(nodes: usize) -> Self {
        let store = StoreStandIn::start().unwrap();
        store.tell_era(1);
        let (leaving, staying) = (runner("i-1"), runner("i-2"));
        store.put("op/config", &configuration(3));
        let written: Vec<_> = [&leaving, &staying]
            .map(|it| (format!("servers/{}", it.id()), runner_entry(it, "desk", "north", "ready")))
            .to_vec();
        written.iter().for_each(|(key, entry)| store.put(key, entry));
        let start = |number: usize| Fixture::start_before(store.clone(), &format!("node-{number}"));
        let nodes: Vec<Fixture> = (0..nodes).map(start).collect();
        nodes.iter().for_each(Fixture::wait_until_ready);
        Self { nodes, leaving, staying, written }
    }

    fn store(&self) -> &StoreStandIn {
        &self.nodes[0].store
    }

    /// The store loses what was written last and comes back; the operator and the runners write theirs again.
    fn lose_writes(&mut self) -> Returning<'_> {
        let backup = self.store().back_up();
        self.fill(LOST);
        self.written[0].1["seq"] = 2.into();
        self.write_again(5);
        for node in &self.nodes {
            wait_for("version 5 everywhere", || serves(node, "v5"));
        }
        self.store().set_mode(StoreMode::Unavailable);
        std::thread::sleep(AWAY);
        self.store().come_back_as(&backup);
        self.write_again(5);
        Returning { world: self }
    }

    /// The first runner says that it leaves.
    fn leave(&mut self) {
        self.written[0].1["state"] = "draining".into();
        let (key, entry) = &self.written[0];
        self.store().put(key, entry);
    }

    fn fill(&self, writes: usize) {
        (0..writes).for_each(|number| self.store().put("other/key", &number.into()));
    }

    fn write_again(&self, version: u64) {
        let mut newer = configuration(version);
        let routes = newer["routes"].as_array_mut().unwrap();
        routes.push(route(&format!("v{version}"), "idempotent", "desk"));
        self.store().put("op/config", &newer);
        self.written.iter().for_each(|(key, entry)| self.store().put(key, entry));
    }

    /// Whether none of some requests to a node reaches a runner.
    fn spares(&self, node: &Fixture, runner: &RunnerStandIn) -> bool {
        let before = runner.requests().len();
        for _ in 0..LOOKS {
            serves(node, "lookup");
        }
        runner.requests().len() == before
    }
}

/// A store that is back, and does not answer yet.
struct Returning<'a> {
    world: &'a mut World,
}

impl Returning<'_> {
    /// It answers again, and something is written: after all nodes have read it, or, overtaken by more others than
    /// were lost, before they ask.
    fn serve_with(self, is_overtaken: bool, write: impl FnOnce(&mut World)) {
        let world = self.world;
        if is_overtaken {
            write(world);
            world.fill(3 * LOST);
            return world.store().set_mode(StoreMode::Serving);
        }
        world.store().set_mode(StoreMode::Serving);
        std::thread::sleep(AWAY);
        write(world);
    }
}

#[test_case(1, false; "at a node that reads the store")]
#[test_case(4, false; "at nodes that follow another")]
#[test_case(1, true; "at a reader that asks after as many revisions as were lost")]
#[test_case(4, true; "at followers of readers that ask after as many revisions as were lost")]
fn a_leaving_runner_gets_nothing_though_the_store_gave_its_revision_out_before(
    nodes: usize,
    is_overtaken: bool,
) {
    let mut world = World::start(nodes);
    world.lose_writes().serve_with(is_overtaken, World::leave);
    for node in &world.nodes {
        wait_for("the leaving runner to get nothing", || world.spares(node, &world.leaving));
    }
}

#[test_case(1, false; "at a node that reads the store")]
#[test_case(4, false; "at nodes that follow another")]
#[test_case(1, true; "at a reader that asks after as many revisions as were lost")]
#[test_case(4, true; "at followers of readers that ask after as many revisions as were lost")]
fn a_configuration_is_in_force_though_the_store_gave_its_revision_out_before(
    nodes: usize,
    is_overtaken: bool,
) {
    let mut world = World::start(nodes);
    world.lose_writes().serve_with(is_overtaken, |world| world.write_again(8));
    for node in &world.nodes {
        wait_for("version 8", || serves(node, "v8"));
    }
}

#[test_case(1; "at a node that reads the store")]
#[test_case(4; "at nodes that follow another")]
fn a_runner_that_joins_is_used_though_the_store_gave_its_revision_out_before(nodes: usize) {
    let mut world = World::start(nodes);
    let joined = runner("i-3");
    let entry = runner_entry(&joined, "desk", "north", "ready");
    world.lose_writes().serve_with(false, |world| world.store().put("servers/i-3", &entry));
    std::thread::sleep(AWAY);
    // The joined one alone is left.
    world.written.iter_mut().for_each(|(_, entry)| entry["state"] = "draining".into());
    world.written.iter().for_each(|(key, entry)| world.store().put(key, entry));
    for node in &world.nodes {
        wait_for("the joined runner to get some", || !world.spares(node, &joined));
    }
}

/// The copy has the runner's entry from before it said that it leaves.
#[test]
fn a_leaving_runner_gets_nothing_while_the_older_copy_has_its_entry_from_before() {
    let mut world = World::start(4);
    let backup = world.store().back_up();
    world.leave();
    for node in &world.nodes {
        wait_for("the leaving runner to get nothing", || world.spares(node, &world.leaving));
    }
    world.store().set_mode(StoreMode::Unavailable);
    std::thread::sleep(AWAY);
    world.store().come_back_as(&backup);
    world.store().set_mode(StoreMode::Serving);
    let looked = std::time::Instant::now();
    while looked.elapsed() < Duration::from_secs(3) {
        for node in &world.nodes {
            assert!(world.spares(node, &world.leaving), "it had said that it leaves");
        }
    }
    assert!(!world.staying.requests().is_empty());
}

/// The other store has fewer revisions behind it, and began its eras later.
#[test]
fn a_leaving_runner_gets_nothing_once_the_settings_name_another_store() {
    let mut world = World::start(1);
    world.store().tell_era(3);
    world.lose_writes().serve_with(false, |_| {});
    let other = StoreStandIn::start().unwrap();
    other.tell_era(1);
    let mut newer = configuration(9);
    newer["routes"].as_array_mut().unwrap().push(route("moved", "idempotent", "desk"));
    other.put("op/config", &newer);
    world.written[0].1["state"] = "draining".into();
    world.written.iter().for_each(|(key, entry)| other.put(key, entry));
    let node = &world.nodes[0];
    let text = std::fs::read_to_string(&node.file).unwrap();
    let (before, after) = (node.store.address().to_string(), other.address().to_string());
    std::fs::write(&node.file, text.replace(&before, &after)).unwrap();
    wait_for("the configuration of the other store", || serves(node, "moved"));
    wait_for("the leaving runner to get nothing", || world.spares(node, &world.leaving));
}
