//! Measurement of a service's prefill speed.
#![allow(missing_docs)]

use pitchstall_serving::prefill_speed::{PrefillSample, PrefillSpeed};
use test_case::test_case;

const PROMPT_TOKENS: [u64; 4] = [500, 2_000, 8_000, 20_000];

fn record(speed: &mut PrefillSpeed, rounds: usize, sample: impl Fn(u64) -> PrefillSample) {
    for _ in 0..rounds {
        PROMPT_TOKENS.iter().for_each(|tokens| speed.on_prefilled(sample(*tokens)));
    }
}

fn unqueued(tokens: u64, fixed_ms: f64, tokens_per_ms: f64) -> PrefillSample {
    PrefillSample {
        tokens,
        elapsed_ms: fixed_ms + tokens as f64 / tokens_per_ms,
        was_unqueued: true,
    }
}

#[test_case(3.7; "a tenth of the prior")]
#[test_case(36.7; "near the prior")]
#[test_case(307.0; "ten times the prior")]
fn speed_is_measured_far_from_the_prior(tokens_per_ms: f64) {
    let mut speed = PrefillSpeed::default();
    record(&mut speed, 60, |tokens| unqueued(tokens, 9.0, tokens_per_ms));
    let expected_ms = 10_000.0 / tokens_per_ms;
    assert!((speed.prefill_ms(10_000.0) - expected_ms).abs() < 0.05 * expected_ms);
    assert!((speed.fixed_ms() - 9.0).abs() < 2.0, "found {}", speed.fixed_ms());
}

#[test]
fn queued_prefills_do_not_lower_the_speed() {
    let mut speed = PrefillSpeed::default();
    record(&mut speed, 30, |tokens| unqueued(tokens, 9.0, 100.0));
    let before_ms = speed.prefill_ms(10_000.0);
    record(&mut speed, 30, |tokens| PrefillSample {
        elapsed_ms: 800.0,
        was_unqueued: false,
        ..unqueued(tokens, 9.0, 100.0)
    });
    assert!((speed.prefill_ms(10_000.0) - before_ms).abs() < 0.01 * before_ms);
}

#[test]
fn a_prefill_faster_than_predicted_counts_despite_an_estimated_queue() {
    let mut speed = PrefillSpeed::default();
    record(&mut speed, 30, |tokens| PrefillSample {
        was_unqueued: false,
        ..unqueued(tokens, 5.0, 300.0)
    });
    assert!(speed.prefill_ms(10_000.0) < 50.0);
}

#[test]
fn prefills_of_equal_size_give_no_negative_times() {
    let mut speed = PrefillSpeed::default();
    (0..200).for_each(|_| speed.on_prefilled(unqueued(4_000, 10.0, 50.0)));
    assert!(speed.prefill_ms(1_000.0) > 0.0);
    assert!(speed.fixed_ms() >= 0.0);
}
