//! Sharing of the configuration, and thereby of the buffers, of client connections.
#![allow(missing_docs)]

use pitchstall_gateway::connection::client_config;
use pitchstall_serving::configuration::ClientLimits;

#[test]
fn connections_under_the_same_limits_share_one_configuration_and_its_buffers() {
    let limits = ClientLimits::default();
    let numbers: Vec<usize> = (0..100).map(|_| client_config(&limits).id()).collect();
    assert!(numbers.iter().all(|number| *number == numbers[0]));
    let longer = ClientLimits { max_header_bytes: limits.max_header_bytes + 1, ..limits };
    assert_ne!(client_config(&longer).id(), numbers[0], "another limit takes effect immediately");
}
