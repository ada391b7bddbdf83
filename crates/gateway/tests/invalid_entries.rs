//! Invalid entries that another program wrote to the store: they name no runner, and do not affect
//! other entries.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde_json::{json, Value};
use support::{configuration, get, route, runner_entry, wait_for, Fixture};
use test_case::test_case;

fn runner(id: &'static str) -> RunnerStandIn {
    let body = id.as_bytes().to_vec();
    RunnerStandIn::start(id, move |_| Reaction::Respond { status: 200, body: body.clone() })
        .unwrap()
}

fn send_lookup(node: &Fixture) -> (u16, String) {
    let mut client = node.client();
    client.request("GET", "/lookup/1", "id", "", b"");
    let response = client.read_response();
    (response.status, response.text())
}

fn refused_entries(node: &Fixture, subject: &str) -> u64 {
    let metrics = get(node.health, "/metrics").text();
    let name = format!("pitchstall_entries_refused_total{{subject=\"{subject}\"}} ");
    let count = metrics.lines().find_map(|line| line.strip_prefix(name.as_str()));
    count.map_or(0, |count| count.parse().unwrap())
}

/// Replaces an entry that a node has read by an invalid one, and later by a valid one again.
fn check_replaced_entry(write: impl Fn(&StoreStandIn, &RunnerStandIn)) {
    let good = runner("i-good");
    let node = Fixture::with_runners(&[(&good, "desk", None)]);
    wait_for("the valid entry to be used", || send_lookup(&node) == (200, "i-good".to_owned()));
    write(&node.store, &good);
    wait_for("the runner not to be used", || send_lookup(&node).0 == 503);
    assert_eq!(refused_entries(&node, "runners"), 1);
    let reader = node.start_peer("node-2");
    reader.wait_until_ready();
    assert_eq!(
        send_lookup(&reader).0,
        503,
        "a node that reads all entries does not use the runner either"
    );
    node.add_runner(&good, "desk", None);
    wait_for("the runner to be used again", || send_lookup(&node) == (200, "i-good".to_owned()));
    wait_for("the other node to use the runner again", || {
        send_lookup(&reader) == (200, "i-good".to_owned())
    });
}

#[test_case("service")]
#[test_case("address")]
#[test_case("zone")]
#[test_case("version")]
#[test_case("slots")]
#[test_case("state")]
#[test_case("cold_left_ms")]
#[test_case("seq")]
fn an_entry_without_a_field_names_no_runner(field: &str) {
    check_replaced_entry(|store, runner| {
        let mut entry = runner_entry(runner, "desk", "north", "ready");
        entry.as_object_mut().unwrap().remove(field);
        store.put("servers/i-good", &entry);
    });
}

#[test_case("service", json!(7))]
#[test_case("address", json!("nowhere"))]
#[test_case("zone", json!({}))]
#[test_case("slots", json!(-1))]
#[test_case("slots", json!("8"))]
#[test_case("state", json!("resting"); "an unknown state")]
#[test_case("state", json!(true))]
#[test_case("stage", json!("polishing"); "an unknown stage")]
#[test_case("service", json!("nobodys"); "an unknown service")]
fn an_entry_with_an_invalid_field_names_no_runner(field: &str, value: Value) {
    let is_readable = value == json!("nobodys");
    let write = |store: &StoreStandIn, runner: &RunnerStandIn| {
        let mut entry = runner_entry(runner, "desk", "north", "ready");
        entry[field] = value.clone();
        store.put("servers/i-good", &entry);
    };
    if !is_readable {
        return check_replaced_entry(write);
    }
    // The entry is valid, but no route leads to that service.
    let good = runner("i-good");
    let node = Fixture::with_runners(&[(&good, "desk", None)]);
    write(&node.store, &good);
    wait_for("the runner not to be used", || send_lookup(&node).0 == 503);
}

#[test_case(b"\xff\xfe\x00\x80"; "not UTF-8")]
#[test_case(b"{\"service\":"; "a truncated document")]
#[test_case(b""; "empty")]
#[test_case(b"[1,2]"; "a list")]
fn undecodable_bytes_name_no_runner(bytes: &'static [u8]) {
    check_replaced_entry(|store, _| store.put_bytes("servers/i-good", bytes));
}

/// A single invalid entry must not make a node lose its page, the watch, a read of all entries or
/// the replica sent to followers.
#[test]
fn arbitrary_entries_do_not_affect_valid_ones() {
    const ENTRIES: usize = 300;
    let prefixes = [
        "servers/",
        "pitchstall/crashes/",
        "pitchstall/nodes/",
        "pitchstall/quota/",
        "pitchstall/usage/",
    ];
    let mut random = StdRng::seed_from_u64(17);
    let store = StoreStandIn::start().unwrap();
    let random_entry = |random: &mut StdRng| {
        let prefix = prefixes[random.random_range(0..prefixes.len())];
        let name: String = (0..random.random_range(0..12))
            .map(|_| {
                ['a', '/', '%', ' ', '&', '=', '#', 'é', '@', '7', '\u{0}', '"']
                    [random.random_range(0..12)]
            })
            .collect();
        let mut bytes = vec![0; random.random_range(0..80)];
        random.fill_bytes(&mut bytes);
        (format!("{prefix}{name}"), bytes)
    };
    for _ in 0..ENTRIES {
        let (key, bytes) = random_entry(&mut random);
        store.put_bytes(&key, &bytes);
    }
    let good = runner("i-good");
    store.put("op/config", &configuration(3));
    store.put("servers/i-good", &runner_entry(&good, "desk", "north", "ready"));
    let nodes: Vec<Fixture> = ["node-1", "node-2", "node-3"]
        .map(|name| Fixture::start_with_store(store.clone(), name))
        .into();
    for node in &nodes {
        wait_for("the valid entry to be used", || send_lookup(node) == (200, "i-good".to_owned()));
    }
    for _ in 0..ENTRIES {
        let (key, bytes) = random_entry(&mut random);
        store.put_bytes(&key, &bytes);
    }
    let later = runner("i-later");
    store.put("servers/i-later", &runner_entry(&later, "desk", "north", "ready"));
    store.remove("servers/i-good");
    let mut changed = configuration(4);
    changed["routes"].as_array_mut().unwrap().push(route("added", "idempotent", "desk"));
    store.put("op/config", &changed);
    for node in &nodes {
        wait_for("the entry written last to be used", || {
            send_lookup(node) == (200, "i-later".to_owned())
        });
        wait_for("the changed configuration to come into force", || {
            let mut client = node.client();
            client.request("GET", "/added/1", "id", "", b"");
            client.read_response().status == 200
        });
        assert!(refused_entries(node, "runners") > 0);
    }
}

/// An invalid configuration leaves the version before it in force.
#[test]
fn an_invalid_configuration_changes_nothing() {
    let good = runner("i-good");
    let node = Fixture::with_runners(&[(&good, "desk", None)]);
    node.store.put_bytes("op/config", b"\xff{");
    wait_for("the configuration to be refused", || refused_entries(&node, "configuration") == 1);
    assert_eq!(send_lookup(&node), (200, "i-good".to_owned()));
    let other = node.start_peer("node-2");
    wait_for("another node to receive the configuration in force", || {
        send_lookup(&other) == (200, "i-good".to_owned())
    });
}
