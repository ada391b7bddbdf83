//! What makes a runner suspect, and what does not.
#![allow(missing_docs)]

use pitchstall_serving::suspicion::Suspicion;
use proptest::prelude::*;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;

/// A look that a doubt asked for has found the runner, or has not.
fn probe(runner: &mut Suspicion, since_us: u64, reachable: Option<bool>, now_us: u64) {
    assert!(runner.begin_probe(since_us), "a look is due");
    runner.on_probe_result(reachable, now_us);
}

#[test]
fn a_busy_runner_is_not_suspected_however_long_one_request_waits() {
    let mut runner = Suspicion::default();
    runner.on_progress(900 * MILLI);
    runner.on_attempt_timeout(0, SECOND);
    assert!(!runner.is_suspected(), "it has answered others since that request was sent");
    probe(&mut runner, SECOND, Some(true), SECOND + 3 * MILLI);
    runner.on_attempt_timeout(SECOND, 2 * SECOND);
    assert!(!runner.is_suspected(), "it took a connection");
}

/// Once the attempts that had only 99 ms left condemned a busy runner in overload, and all
/// readings there were left.
#[test]
fn a_short_silence_proves_nothing() {
    let mut runner = Suspicion::default();
    runner.on_attempt_timeout(SECOND, SECOND + 99 * MILLI);
    assert!(!runner.is_suspected());
}

#[test]
fn a_dark_runner_is_suspected_when_it_takes_no_connection() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, Some(false), 200 * MILLI);
    assert!(runner.is_avoided(0, 300 * MILLI));
    assert!(!runner.begin_probe(300 * MILLI), "nothing is left to find out");
}

#[test]
fn one_look_at_a_time_is_enough() {
    let mut runner = Suspicion::default();
    assert!(runner.begin_probe(0));
    assert!(!runner.begin_probe(10));
    runner.on_probe_result(Some(true), 20);
    assert!(!runner.begin_probe(10), "it was found after that");
    assert!(runner.begin_probe(30));
}

#[test]
fn a_runner_that_takes_connections_and_answers_nobody_is_suspected_in_the_end() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, Some(true), 100 * MILLI);
    runner.on_attempt_timeout(200 * MILLI, SECOND);
    assert!(runner.is_suspected(), "health that says otherwise does not count");
}

#[test]
fn a_runner_cut_off_one_way_is_suspected_though_its_events_come() {
    let mut runner = Suspicion::default();
    runner.on_progress(100 * MILLI);
    probe(&mut runner, 150 * MILLI, Some(false), 350 * MILLI);
    assert!(runner.is_suspected());
    runner.on_progress(400 * MILLI);
    assert!(!runner.is_suspected(), "evidence of life takes it back");
}

#[test]
fn a_node_that_stood_still_condemns_nobody() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, None, 8 * SECOND);
    assert!(!runner.is_suspected());
    assert!(runner.begin_probe(8 * SECOND), "it looks again");
}

#[test]
fn a_flapping_runner_is_avoided_for_longer_each_time_until_it_answers() {
    let mut runner = Suspicion::default();
    runner.on_unreachable(0);
    assert!(runner.is_avoided(0, 499 * MILLI));
    assert!(!runner.is_avoided(0, 501 * MILLI));
    assert!(runner.is_avoided(1, 501 * MILLI), "one request tries it first");
    runner.on_unreachable(501 * MILLI);
    assert!(runner.is_avoided(0, 1_400 * MILLI));
    runner.on_progress(1_450 * MILLI);
    assert!(!runner.is_avoided(1, 1_460 * MILLI));
    runner.on_unreachable(2 * SECOND);
    assert!(!runner.is_avoided(0, 2_600 * MILLI), "it begins anew");
}

#[test]
fn failures_that_come_together_count_once() {
    let mut runner = Suspicion::default();
    (0..50).for_each(|at| runner.on_unreachable(at));
    assert!(!runner.is_avoided(0, 600 * MILLI));
}

proptest! {
    /// A slow runner answers each request after its time; as long as something comes from it
    /// while an attempt waits, the attempt's silence proves nothing.
    #[test]
    fn a_slow_runner_that_makes_progress_is_never_suspected(
        pauses in proptest::collection::vec(1_u64..500 * MILLI, 1..60),
        limit_us in 500 * MILLI..2 * SECOND,
    ) {
        let mut runner = Suspicion::default();
        let mut now_us = 0;
        for pause in pauses {
            now_us += pause;
            runner.on_progress(now_us);
            runner.on_attempt_timeout(now_us.saturating_sub(limit_us), now_us);
            prop_assert!(!runner.is_suspected());
        }
    }
}
