//! What makes a runner suspected, and what does not.
#![allow(missing_docs)]

use pitchstall_serving::suspicion::Suspicion;
use proptest::prelude::*;

const MILLI_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

/// A probe that a doubt requested has reached the runner, or has not.
fn probe(runner: &mut Suspicion, since_us: u64, reachable: Option<bool>, now_us: u64) {
    assert!(runner.begin_probe(since_us), "a probe is due");
    runner.on_probe_result(reachable, now_us);
}

#[test]
fn a_busy_runner_is_not_suspected_however_long_one_request_waits() {
    let mut runner = Suspicion::default();
    runner.on_progress(900 * MILLI_US);
    runner.on_attempt_timeout(0, SECOND_US);
    assert!(!runner.is_suspected(), "the runner responded to others since that request was sent");
    probe(&mut runner, SECOND_US, Some(true), SECOND_US + 3 * MILLI_US);
    runner.on_attempt_timeout(SECOND_US, 2 * SECOND_US);
    assert!(!runner.is_suspected(), "the runner accepted a connection");
}

/// Guards against a fault under overload: attempts that had only 99 ms left marked a busy runner as
/// unreachable, and all prefills that were under way there were abandoned.
#[test]
fn a_short_silence_proves_nothing() {
    let mut runner = Suspicion::default();
    runner.on_attempt_timeout(SECOND_US, SECOND_US + 99 * MILLI_US);
    assert!(!runner.is_suspected());
}

#[test]
fn a_runner_that_accepts_no_connection_is_suspected() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, Some(false), 200 * MILLI_US);
    assert!(runner.is_avoided(0, 300 * MILLI_US));
    assert!(!runner.begin_probe(300 * MILLI_US), "the runner is already suspected");
}

#[test]
fn only_one_probe_runs_at_a_time() {
    let mut runner = Suspicion::default();
    assert!(runner.begin_probe(0));
    assert!(!runner.begin_probe(10));
    runner.on_probe_result(Some(true), 20);
    assert!(!runner.begin_probe(10), "the runner was reached after that time");
    assert!(runner.begin_probe(30));
}

#[test]
fn a_runner_that_accepts_connections_but_never_responds_is_suspected() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, Some(true), 100 * MILLI_US);
    runner.on_attempt_timeout(200 * MILLI_US, SECOND_US);
    assert!(runner.is_suspected(), "a successful probe before the attempt does not count");
}

#[test]
fn a_runner_cut_off_in_one_direction_is_suspected_although_its_events_arrive() {
    let mut runner = Suspicion::default();
    runner.on_progress(100 * MILLI_US);
    probe(&mut runner, 150 * MILLI_US, Some(false), 350 * MILLI_US);
    assert!(runner.is_suspected());
    runner.on_progress(400 * MILLI_US);
    assert!(!runner.is_suspected(), "progress clears the suspicion");
}

#[test]
fn a_runner_that_is_only_silent_may_still_be_probed() {
    let mut runner = Suspicion::default();
    runner.on_attempt_timeout(SECOND_US, 2 * SECOND_US);
    assert!(runner.is_avoided(0, 2 * SECOND_US + MILLI_US));
    probe(&mut runner, 2 * SECOND_US, Some(true), 2 * SECOND_US + 3 * MILLI_US);
    assert!(!runner.is_suspected(), "it accepted a connection");
}

#[test]
fn a_runner_that_is_only_silent_is_not_reported_as_unreachable() {
    let mut runner = Suspicion::default();
    runner.on_attempt_timeout(SECOND_US, 2 * SECOND_US);
    assert!(!runner.is_unreached(2 * SECOND_US + MILLI_US));
    assert!(!runner.was_just_unreachable(2 * SECOND_US + MILLI_US), "a connection is still tried");
}

#[test]
fn a_suspended_node_suspects_no_runner() {
    let mut runner = Suspicion::default();
    probe(&mut runner, 0, None, 8 * SECOND_US);
    assert!(!runner.is_suspected());
    assert!(runner.begin_probe(8 * SECOND_US), "another probe is due");
}

#[test]
fn a_flapping_runner_is_avoided_for_longer_each_time_until_it_responds() {
    let mut runner = Suspicion::default();
    runner.on_unreachable(0);
    assert!(runner.is_avoided(0, 499 * MILLI_US));
    assert!(!runner.is_avoided(0, 501 * MILLI_US));
    assert!(runner.is_avoided(1, 501 * MILLI_US), "one request tries the runner first");
    runner.on_unreachable(501 * MILLI_US);
    assert!(runner.is_avoided(0, 1_400 * MILLI_US));
    runner.on_progress(1_450 * MILLI_US);
    assert!(!runner.is_avoided(1, 1_460 * MILLI_US));
    runner.on_unreachable(2 * SECOND_US);
    assert!(!runner.is_avoided(0, 2_600 * MILLI_US), "the back-off starts again at its minimum");
}

#[test]
fn simultaneous_failures_count_once() {
    let mut runner = Suspicion::default();
    (0..50).for_each(|at| runner.on_unreachable(at));
    assert!(!runner.is_avoided(0, 600 * MILLI_US));
}

proptest! {
    /// A slow runner responds to each request only after its time. As long as it sends something
    /// while an attempt waits, the attempt's silence proves nothing.
    #[test]
    fn a_slow_runner_that_makes_progress_is_never_suspected(
        pauses in proptest::collection::vec(1_u64..500 * MILLI_US, 1..60),
        limit_us in 500 * MILLI_US..2 * SECOND_US,
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

#[test]
fn a_failure_that_may_be_due_to_the_own_link_ends_no_requests_and_does_not_grow() {
    let mut runner = Suspicion::default();
    for failure in 0..5 {
        let now_us = failure * SECOND_US;
        runner.on_unconfirmed_failure(now_us);
        assert!(!runner.is_suspected());
        assert!(runner.is_avoided(0, now_us + 499 * MILLI_US));
        assert!(!runner.is_avoided(1, now_us + 500 * MILLI_US));
    }
}

#[test]
fn a_failure_that_is_confirmed_later_makes_the_runner_suspected_at_once() {
    let mut runner = Suspicion::default();
    runner.on_unconfirmed_failure(SECOND_US);
    runner.on_unreachable(SECOND_US + 100 * MILLI_US);
    assert!(runner.is_suspected());
}
