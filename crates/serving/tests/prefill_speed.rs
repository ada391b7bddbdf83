//! The measured pace of reading.
#![allow(missing_docs)]

use pitchstall_serving::prefill_speed::{ReadPace, ReadSample};
use test_case::test_case;

const SIZES: [u64; 4] = [500, 2_000, 8_000, 20_000];

fn read(pace: &mut ReadPace, rounds: usize, sample: impl Fn(u64) -> ReadSample) {
    for _ in 0..rounds {
        SIZES.iter().for_each(|tokens| pace.on_read(sample(*tokens)));
    }
}

fn alone(tokens: u64, fixed_ms: f64, tokens_per_ms: f64) -> ReadSample {
    ReadSample { tokens, elapsed_ms: fixed_ms + tokens as f64 / tokens_per_ms, met_no_queue: true }
}

#[test_case(3.7; "a tenth of the guess")]
#[test_case(36.7; "near the guess")]
#[test_case(307.0; "ten times the guess")]
fn the_pace_is_found_whatever_it_is(tokens_per_ms: f64) {
    let mut pace = ReadPace::default();
    read(&mut pace, 60, |tokens| alone(tokens, 9.0, tokens_per_ms));
    let expected_ms = 10_000.0 / tokens_per_ms;
    assert!((pace.read_ms(10_000.0) - expected_ms).abs() < 0.05 * expected_ms);
    assert!((pace.fixed_ms() - 9.0).abs() < 2.0, "found {}", pace.fixed_ms());
}

#[test]
fn readings_that_waited_do_not_slow_the_pace_down() {
    let mut pace = ReadPace::default();
    read(&mut pace, 30, |tokens| alone(tokens, 9.0, 100.0));
    let before_ms = pace.read_ms(10_000.0);
    read(&mut pace, 30, |tokens| ReadSample {
        elapsed_ms: 800.0,
        met_no_queue: false,
        ..alone(tokens, 9.0, 100.0)
    });
    assert!((pace.read_ms(10_000.0) - before_ms).abs() < 0.01 * before_ms);
}

#[test]
fn a_reading_faster_than_expected_counts_though_others_were_believed_there() {
    let mut pace = ReadPace::default();
    read(&mut pace, 30, |tokens| ReadSample { met_no_queue: false, ..alone(tokens, 5.0, 300.0) });
    assert!(pace.read_ms(10_000.0) < 50.0);
}

#[test]
fn readings_of_one_size_give_no_negative_times() {
    let mut pace = ReadPace::default();
    (0..200).for_each(|_| pace.on_read(alone(4_000, 10.0, 50.0)));
    assert!(pace.read_ms(1_000.0) > 0.0);
    assert!(pace.fixed_ms() >= 0.0);
}
