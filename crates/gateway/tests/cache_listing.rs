//! Whose caches a node lists after a restart of all nodes.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::cache_listing::{runners_to_list, MOST_RUNNERS};
use pitchstall_gateway::node::Node;
use pitchstall_gateway::settings::Settings;
use pitchstall_serving::fleet::{RunnerRecord, Stage};
use pitchstall_serving::ids::{RunnerId, ServiceName, ZoneId};
use std::path::Path;
use test_case::test_case;

fn runner(number: usize, stage: Option<Stage>) -> RunnerRecord {
    RunnerRecord {
        id: RunnerId::new(format!("i-{number}")),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneId::new("north"),
        slots: 8,
        draining: false,
        stage,
        revision: 1,
    }
}

/// Once the lists of 90 runners, told to 60 nodes, kept their links full for the rest of a day.
#[test_case(MOST_RUNNERS, MOST_RUNNERS; "a fleet that can be told")]
#[test_case(MOST_RUNNERS + 1, 0; "a fleet that cannot")]
fn only_a_fleet_that_can_be_told_is_listed(runners: usize, listed: usize) {
    let text = include_str!("../../../examples/serve.toml");
    let node = Node::new(Settings::parse(Path::new("serve.toml"), text).unwrap());
    for number in 0..runners {
        node.put_runner(runner(number, Some(Stage::Decode)));
    }
    node.put_runner(runner(runners, None));
    assert_eq!(runners_to_list(&node).len(), listed);
}
