//! Limits on the idle time of pooled connections to runners.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_gateway::clock::Instant;
use pitchstall_gateway::http::LearnedIdleLimit;
use pitchstall_platform_standins::runner::{signed_response, Reaction, RunnerStandIn};
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;
use support::Fixture;

const MILLI: Duration = Duration::from_millis(1);

#[test]
fn a_stale_connection_lowers_the_idle_limit_which_grows_again() {
    let now = Instant::now();
    let mut limit = LearnedIdleLimit::default();
    assert_eq!(limit.at(now), None);
    limit.on_stale_connection(500 * MILLI, now);
    assert_eq!(limit.at(now), Some(300 * MILLI));
    limit.on_stale_connection(400 * MILLI, now);
    assert_eq!(limit.at(now), Some(240 * MILLI));
    limit.on_stale_connection(900 * MILLI, now);
    assert_eq!(limit.at(now), Some(240 * MILLI), "a longer idle time does not raise the limit");
    let later = limit.at(now + Duration::from_secs(4)).unwrap();
    assert!((470 * MILLI..490 * MILLI).contains(&later), "{later:?}");
    assert!(limit.at(now + Duration::from_secs(4_000)).unwrap() > Duration::from_secs(10));
}

#[test]
fn a_connection_idle_only_briefly_does_not_count_as_stale() {
    let mut limit = LearnedIdleLimit::default();
    limit.on_stale_connection(20 * MILLI, Instant::now());
    assert_eq!(limit.at(Instant::now()), None);
}

/// The runner responds to the first request of each connection and resets the connection at the second, like a runner
/// that has dropped an idle connection silently.
#[test]
fn after_one_stale_connection_no_request_uses_another_idle_one() {
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
    // Each idle time is longer than the previous one, even on a slow machine.
    let mut idle_time = 200 * MILLI;
    for number in 0..5 {
        let mut client = node.client();
        client.request("POST", "/booking/1", &format!("id-{number}"), "", b"a booking");
        statuses.push(client.read_response().status);
        let began = Instant::now();
        std::thread::sleep(idle_time);
        idle_time = began.elapsed() * 3 / 2;
    }
    // The second request is lost and may have run. The later ones use new connections.
    assert_eq!(statuses, [200, 502, 200, 200, 200]);
}
