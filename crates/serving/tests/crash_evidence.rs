//! Which requests were in progress at a runner when it terminated.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::crash_evidence::CrashEvidence;
use pitchstall_serving::crash_messages::Crash;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::quarantine::Quarantine;
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts, Suspect};

const SECOND_US: u64 = 1_000_000;

fn request(number: u8) -> Suspect {
    let parts =
        RequestParts { method: "POST", host: "h", target: "/x", tenant: None, body: &[number] };
    Suspect::request(RequestIdentity::of(&parts))
}

fn runner(name: &str) -> RunnerId {
    RunnerId::new(name)
}

#[test]
fn a_broken_attempt_is_in_doubt_until_its_runner_has_terminated() {
    let mut evidence = CrashEvidence::default();
    assert!(!evidence.on_attempt_interrupted(&runner("a"), request(1), 0));
    assert!(!evidence.on_attempt_interrupted(&runner("a"), request(2), 5));
    assert_eq!(evidence.runners_in_doubt(request(1).identity, 10).count(), 1);
    assert_eq!(evidence.runners_in_doubt(request(1).identity, SECOND_US).count(), 0);
    let mut in_progress = evidence.on_terminated(&runner("a"), 10);
    in_progress.sort_unstable();
    let mut expected = vec![request(1), request(2)];
    expected.sort_unstable();
    assert_eq!(in_progress, expected);
    assert!(evidence.is_empty());
}

#[test]
fn a_termination_returns_each_request_once() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_attempt_interrupted(&runner("a"), request(1), 1);
    assert_eq!(evidence.on_terminated(&runner("a"), 10).len(), 1);
    assert!(evidence.on_terminated(&runner("a"), 20).is_empty());
}

#[test]
fn an_attempt_that_breaks_after_its_runner_terminated_is_not_in_doubt() {
    let mut evidence = CrashEvidence::default();
    evidence.on_terminated(&runner("a"), 0);
    assert!(evidence.on_attempt_interrupted(&runner("a"), request(1), SECOND_US));
    assert!(!evidence.on_attempt_interrupted(&runner("b"), request(1), SECOND_US));
}

#[test]
fn a_planned_departure_of_a_live_runner_proves_no_crash() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_connection_accepted(&runner("a"));
    assert_eq!(evidence.runners_in_doubt(request(1).identity, 5).count(), 0);
    assert!(evidence.on_planned_departure(&runner("a"), 10).is_empty());
}

#[test]
fn a_reused_address_does_not_hide_a_termination() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_connection_accepted(&runner("a"));
    assert_eq!(evidence.on_terminated(&runner("a"), 4 * SECOND_US), [request(1)]);
}

#[test]
fn a_response_clears_its_request_and_old_attempts_expire() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_attempt_interrupted(&runner("a"), request(2), 0);
    evidence.on_response_completed(request(1).identity);
    assert_eq!(evidence.on_terminated(&runner("a"), 10), [request(2)]);
    evidence.on_attempt_interrupted(&runner("b"), request(1), 0);
    evidence.on_attempt_interrupted(&runner("c"), request(1), 60 * SECOND_US);
    assert!(evidence.on_terminated(&runner("b"), 60 * SECOND_US).is_empty());
}

#[test]
fn a_request_that_ends_its_runner_counts_though_the_link_to_the_runner_seemed_lost_before() {
    const UNTIL_PROOF_US: u64 = 32_000;
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_link_lost(&runner("a"));
    assert_eq!(evidence.on_terminated(&runner("a"), UNTIL_PROOF_US), vec![request(1)]);
}

#[test]
fn a_request_that_ends_its_runner_counts_though_only_the_registry_proves_the_end() {
    const UNTIL_ENTRY_LEAVES_US: u64 = 3_600_000;
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_link_lost(&runner("a"));
    evidence.on_connection_accepted(&runner("a"));
    assert_eq!(evidence.on_terminated(&runner("a"), UNTIL_ENTRY_LEAVES_US), [request(1)]);
}

#[test]
fn an_attempt_that_a_lost_link_broke_is_not_in_doubt_and_its_runner_may_leave_as_planned() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    assert_eq!(evidence.on_link_lost(&runner("a")), 1);
    assert_eq!(evidence.runners_in_doubt(request(1).identity, 5).count(), 0);
    assert!(evidence.on_planned_departure(&runner("a"), 10).is_empty());
}

#[test]
fn a_request_that_breaks_again_after_the_loss_of_the_link_is_in_doubt_anew() {
    let mut evidence = CrashEvidence::default();
    evidence.on_attempt_interrupted(&runner("a"), request(1), 0);
    evidence.on_link_lost(&runner("a"));
    evidence.on_attempt_interrupted(&runner("a"), request(1), 3 * SECOND_US);
    assert_eq!(evidence.runners_in_doubt(request(1).identity, 3 * SECOND_US).count(), 1);
    assert_eq!(evidence.on_terminated(&runner("a"), 6 * SECOND_US), [request(1)]);
}

/// The requests of a node that loses its links to nine runners, of which one ends in each second from then on.
#[test]
fn sound_requests_that_lost_links_broke_are_not_quarantined_while_runners_end_for_other_reasons() {
    const RUNNERS: u64 = 9;
    const REQUESTS: u8 = 9;
    const ATTEMPTS: u64 = 3;
    const TIME_BETWEEN_ENDS_US: u64 = SECOND_US;
    let name = |number: u64| runner(&format!("i-{}", number % RUNNERS));
    let mut evidence = CrashEvidence::default();
    for number in 0..REQUESTS {
        // Each request breaks at three runners and has no response anywhere.
        for attempt in 0..ATTEMPTS {
            let broken_at = name(u64::from(number) + attempt * RUNNERS / ATTEMPTS);
            evidence.on_attempt_interrupted(&broken_at, request(number), 0);
        }
    }
    for number in 0..RUNNERS {
        evidence.on_link_lost(&name(number));
    }
    let mut quarantine = Quarantine::default();
    for number in 0..RUNNERS {
        let ended_us = (number + 1) * TIME_BETWEEN_ENDS_US;
        for suspect in evidence.on_terminated(&name(number), ended_us) {
            let crash = Crash { request: suspect.identity, runner: name(number) };
            quarantine.on_observed(&crash, ended_us / 1_000, ended_us);
        }
    }
    let is_held =
        |number: &u8| quarantine.is_quarantined(request(*number).identity, std::iter::empty());
    assert_eq!((0..REQUESTS).filter(is_held).collect::<Vec<u8>>(), Vec::<u8>::new());
}
