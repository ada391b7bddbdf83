//! Policy programs of operators, run by a node.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use std::path::PathBuf;
use support::{configuration, Fixture};

/// The node and the stand-in runners are all in zone `north`.
const FORBIDS_ITS_ZONE: &str = "#{ zones: zones.filter(|other| other != zone) }";

fn node_with_program(name: &str, program: &str, runner: &RunnerStandIn) -> (Fixture, PathBuf) {
    let file = std::env::temp_dir().join(format!("pitchstall-{}-{name}.rhai", std::process::id()));
    std::fs::write(&file, program).unwrap();
    let node = Fixture::start_with(&format!("[policy]\nprogram = \"{}\"\n", file.display()));
    node.store.put("op/config", &configuration(1));
    node.add_runner(runner, "desk", None);
    node.wait_until_ready();
    (node, file)
}

fn response_with_program(name: &str, program: &str) -> (u16, usize) {
    let response = Reaction::Respond { status: 200, body: b"booked".to_vec() };
    let runner = RunnerStandIn::start("i-desk", move |_| response.clone()).unwrap();
    let (node, file) = node_with_program(name, program, &runner);
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"a booking");
    let status = client.read_response().status;
    std::fs::remove_file(file).unwrap();
    (status, runner.requests().len())
}

#[test]
fn a_program_that_allows_the_zone_lets_the_request_through() {
    assert_eq!(response_with_program("allows", "#{ zones: zones }"), (200, 1));
}

#[test]
fn a_forbidden_zone_gets_no_request_even_if_no_other_has_a_runner() {
    assert_eq!(response_with_program("forbids", FORBIDS_ITS_ZONE), (503, 0));
}

#[test]
fn a_program_that_fails_allows_nothing() {
    assert_eq!(response_with_program("fails", "throw \"no\""), (503, 0));
}
