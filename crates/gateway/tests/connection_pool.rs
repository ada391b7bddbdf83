//! How long connections to runners are trusted to rest.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_gateway::clock::Instant;
use pitchstall_gateway::http::TrustedRest;
use pitchstall_platform_standins::runner::{signed_response, Reaction, RunnerStandIn};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use support::Fixture;

const MILLI: Duration = Duration::from_millis(1);

#[test]
fn a_dead_connection_shortens_the_trusted_rest_which_grows_again() {
    let now = Instant::now();
    let mut trusted = TrustedRest::default();
    assert_eq!(trusted.at(now), None);
    trusted.on_dead(500 * MILLI, now);
    assert_eq!(trusted.at(now), Some(300 * MILLI));
    trusted.on_dead(400 * MILLI, now);
    assert_eq!(trusted.at(now), Some(240 * MILLI));
    trusted.on_dead(900 * MILLI, now);
    assert_eq!(trusted.at(now), Some(240 * MILLI), "a longer rest teaches nothing new");
    let later = trusted.at(now + Duration::from_secs(4)).unwrap();
    assert!((470 * MILLI..490 * MILLI).contains(&later), "{later:?}");
    assert!(trusted.at(now + Duration::from_secs(4_000)).unwrap() > Duration::from_secs(10));
}

#[test]
fn a_connection_that_hardly_rested_is_not_taken_for_forgotten() {
    let mut trusted = TrustedRest::default();
    trusted.on_dead(20 * MILLI, Instant::now());
    assert_eq!(trusted.at(Instant::now()), None);
}

/// The runner answers the first request of each connection and resets it at the next.
#[test]
fn after_one_forgotten_connection_no_other_request_is_sent_on_one_that_rested() {
    let known = Mutex::new(HashSet::new());
    let runner = RunnerStandIn::start("i-desk", move |request| {
        if known.lock().unwrap().insert(request.connection) {
            return Reaction::Raw(signed_response(request, 200, b"booked"));
        }
        Reaction::RawThenReset(Vec::new())
    });
    let runner = runner.unwrap();
    let node = Fixture::with_runners(&[(&runner, "desk", None)]);
    let mut statuses = Vec::new();
    // Each rest is longer than the one before it, however slow this machine is.
    let mut rest = 200 * MILLI;
    for number in 0..5 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"a booking");
        statuses.push(client.read_answer().status);
        let began = Instant::now();
        std::thread::sleep(rest);
        rest = began.elapsed() * 3 / 2;
    }
    // The second is lost: it may have run. The others go on new connections.
    assert_eq!(statuses, [200, 502, 200, 200, 200]);
}
