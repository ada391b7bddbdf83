//! How many clients a node takes.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use support::{configuration, Fixture};

/// Guards against limits of heads that leave a machine of little memory no client.
#[test]
fn a_node_with_less_memory_than_one_head_serves_clients() {
    const MAX_HEADER_BYTES: usize = 2_000_000;
    let reaction = |_: &_| Reaction::Respond { status: 200, body: b"booked".to_vec() };
    let desk = RunnerStandIn::start("i-desk", reaction).unwrap();
    let node = Fixture::start_with("[machine]\nmemory_mb = 1\nfile_descriptors = 1000\n");
    let mut limited = configuration(3);
    limited["limits"]["max_header_bytes"] = MAX_HEADER_BYTES.into();
    node.store.put("op/config", &limited);
    node.add_runner(&desk, "desk", None);
    node.wait_until_ready();
    let mut client = node.client();
    client.request("POST", "/booking/1", "id-1", "", b"x");
    assert_eq!(client.read_response().status, 200);
}
