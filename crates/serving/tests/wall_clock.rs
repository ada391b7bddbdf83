//! Wall-clock time that is consistent across nodes.
#![allow(missing_docs)]

use pitchstall_serving::ids::NodeId;
use pitchstall_serving::wall_clock::WallClock;
use test_case::test_case;

const TRUE_MS: u64 = 1_700_000_000_000;
const SECOND_US: u64 = 1_000_000;

fn clock_among(peers: &[i64]) -> WallClock {
    let mut clock = WallClock::default();
    for (number, offset_ms) in peers.iter().enumerate() {
        let wall_ms = TRUE_MS.saturating_add_signed(*offset_ms);
        clock.on_peer_clock(&NodeId::new(format!("node-{number}")), wall_ms, 0);
    }
    clock
}

#[test_case(0, &[], 0; "no peers")]
#[test_case(40, &[0, 10, -20], 40; "own clock close to the median")]
#[test_case(-2_000, &[0, 10, -20], 0; "own clock jumped back")]
#[test_case(3_000, &[5, 5, 9], 5; "own clock jumped ahead")]
#[test_case(20, &[0, 10, -20, 2_000, 2_000], 20; "a minority of peers jumped ahead")]
fn a_deviating_clock_is_replaced_by_the_median(own_ms: i64, peers: &[i64], expected_ms: i64) {
    let mut clock = clock_among(peers);
    let now = clock.now_ms(TRUE_MS.saturating_add_signed(own_ms), 0);
    assert!(now.abs_diff(TRUE_MS.saturating_add_signed(expected_ms)) <= 10, "{now}");
}

#[test]
fn a_jump_of_the_own_clock_has_no_effect_on_the_estimate() {
    let mut clock = clock_among(&[0, 0, 0]);
    assert_eq!(clock.now_ms(TRUE_MS, 0), TRUE_MS);
    for second in 1..10 {
        let jumped_ms = TRUE_MS + second * 1_000 - 5_000;
        assert_eq!(clock.now_ms(jumped_ms, second * SECOND_US), TRUE_MS + second * 1_000);
    }
}

#[test]
fn expired_clock_reports_are_ignored() {
    let mut clock = clock_among(&[0, 0, 0]);
    let later = 60 * SECOND_US;
    assert_eq!(clock.now_ms(TRUE_MS + 90_000, later), TRUE_MS + 90_000);
}
