//! Numbers of runners and clients that no computation can hold. Each request that runs must get its response.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use support::Fixture;
use test_case::test_case;

/// A runner that states in each response how long it keeps idle connections open.
fn runner_with_keep_alive(timeout: &'static str) -> RunnerStandIn {
    let runner = RunnerStandIn::start("i-desk", move |request| {
        let id = request.id().unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-pitchstall-request-id: {id}\r\nx-pitchstall-server-stamp: stamp\r\n\
             keep-alive: timeout={timeout}\r\ncontent-length: 6\r\n\r\nbooked"
        );
        Reaction::Raw(response.into_bytes())
    });
    runner.unwrap()
}

#[test_case("0"; "zero")]
#[test_case("-1"; "minus one")]
#[test_case("-9223372036854775808"; "smallest signed 64 bit number")]
#[test_case("1e308"; "a large float")]
#[test_case("86401"; "more than a day")]
#[test_case("263524915338707881"; "the smallest whose product with 70 overflows")]
#[test_case("9223372036854775807"; "largest signed 64 bit number")]
#[test_case("18446744073709551615"; "largest 64 bit number")]
#[test_case("18446744073709551616"; "more than 64 bits")]
fn an_extreme_keep_alive_does_not_lose_responses(timeout: &'static str) {
    let runner = runner_with_keep_alive(timeout);
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut client = node.client();
    for number in 0..3 {
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"a booking");
        let response = client.read_response();
        assert_eq!((response.status, response.body), (200, b"booked".to_vec()));
    }
}
