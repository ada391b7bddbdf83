//! The order in which a runner processes requests.
#![allow(missing_docs)]

use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::placement::{PrefillPlan, RunnerChoice};
use pitchstall_serving::runner::AttemptDemand;
use pitchstall_serving::urgency::{defer_if_overdue, rank};
use test_case::test_case;

const TARGET_MS: f64 = 200.0;

fn choice(wait_ms: f64, prefill_ms: f64) -> RunnerChoice {
    RunnerChoice {
        runner: RunnerId::new("p"),
        demand: AttemptDemand { prefill_tokens: 1_000, overdue_tokens: 0, held_tokens: 1_000 },
        fetch_from: None,
        expected_prefill_us: ((wait_ms + prefill_ms) * 1_000.0) as u64,
        prefill_ms,
    }
}

fn is_deferred(wait_ms: f64, prefill_ms: f64, elapsed_ms: f64) -> bool {
    let plan = PrefillPlan::Split(choice(wait_ms, prefill_ms));
    let planned = defer_if_overdue(plan, TARGET_MS, elapsed_ms);
    let PrefillPlan::Split(choice) = planned else {
        unreachable!("the kind of plan stays the same")
    };
    choice.demand.overdue_tokens > 0
}

#[test_case(0.0, 30.0, 0.0, false; "an idle runner")]
#[test_case(180.0, 30.0, 0.0, false; "a little late at worst")]
#[test_case(300.0, 30.0, 0.0, true; "a long queue")]
#[test_case(100.0, 30.0, 150.0, true; "most of the time has passed")]
#[test_case(0.0, 900.0, 0.0, false; "too long at any runner")]
#[test_case(0.0, 30.0, 400.0, true; "already late")]
fn waiting_defers_a_prompt(wait_ms: f64, prefill_ms: f64, elapsed_ms: f64, expected: bool) {
    assert_eq!(is_deferred(wait_ms, prefill_ms, elapsed_ms), expected);
}

#[test]
fn deferred_prompts_still_count_and_rank_last() {
    let deferred = choice(900.0, 30.0).defer();
    assert_eq!(deferred.prefill_tokens(), 1_000);
    assert_eq!(deferred.demand.prefill_tokens, 0, "a deferred prompt delays no other");
    let last_in_time = rank(u8::MAX, &choice(0.0, 190.0), TARGET_MS);
    assert!(rank(0, &deferred, TARGET_MS) > last_in_time);
    assert!(rank(1, &deferred, TARGET_MS) > rank(0, &deferred, TARGET_MS));
}

#[test]
fn shorter_prefills_go_first_within_a_priority() {
    let ranks: Vec<u8> =
        [10.0, 60.0, 150.0].iter().map(|ms| rank(0, &choice(0.0, *ms), TARGET_MS)).collect();
    assert_eq!(ranks, [0, 1, 2]);
    assert!(rank(1, &choice(0.0, 10.0), TARGET_MS) > rank(0, &choice(0.0, 60.0), TARGET_MS));
}

/// Engines that are ten times as fast or as slow, with targets to match, get the same order.
#[test_case(0.1)]
#[test_case(10.0)]
fn order_scales_with_the_target(scale: f64) {
    for (wait_ms, prefill_ms) in [(0.0, 20.0), (150.0, 40.0), (300.0, 40.0), (0.0, 150.0)] {
        let ranked = |scale: f64| {
            let plan = PrefillPlan::Split(choice(wait_ms * scale, prefill_ms * scale));
            let planned = defer_if_overdue(plan, TARGET_MS * scale, 0.0);
            let PrefillPlan::Split(choice) = planned else {
                unreachable!("the kind of plan stays the same")
            };
            rank(1, &choice, TARGET_MS * scale)
        };
        assert_eq!(ranked(scale), ranked(1.0));
    }
}
