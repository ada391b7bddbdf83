//! Tests of the default and the measured round-trip times between zones.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::distance::Distances;
use pitchstall_serving::ids::{RegionId, ZoneId};
use pitchstall_serving::topology::Topology;

const SECOND: u64 = 1_000_000;

/// Zones `w-1` and `w-2` of the region `w`, and `e-1` of the region `e`.
fn two_regions() -> Topology {
    let zones = [("w-1", "w"), ("w-2", "w"), ("e-1", "e")];
    Topology::new(zones.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region))))
}

#[test]
fn unmeasured_distances_default_by_region() {
    let topology = two_regions();
    let (here, near, far) = (ZoneId::new("w-1"), ZoneId::new("w-2"), ZoneId::new("e-1"));
    let distances = Distances::new(here.clone());
    let rtt_ms = |other: &ZoneId| distances.round_trip_ms(&topology, &here, other, 0);
    assert!(rtt_ms(&here) < rtt_ms(&near) && rtt_ms(&near) * 10.0 < rtt_ms(&far));
    assert!((rtt_ms(&far) - distances.round_trip_ms(&topology, &far, &here, 0)).abs() < 0.01);
}

#[test]
fn a_tenfold_distance_for_twenty_seconds_is_detected_and_so_is_its_end() {
    let topology = two_regions();
    let (here, far) = (ZoneId::new("w-1"), ZoneId::new("e-1"));
    let mut distances = Distances::new(here.clone());
    const MEASUREMENT_INTERVAL_US: u64 = 200_000;
    let mut now_us = 0;
    let mut measure_for = |distances: &mut Distances, rtt_ms: f64, seconds: u64| {
        for _ in 0..seconds * SECOND / MEASUREMENT_INTERVAL_US {
            now_us += MEASUREMENT_INTERVAL_US;
            distances.on_round_trip(&far, rtt_ms, now_us);
        }
        distances.round_trip_ms(&topology, &here, &far, now_us)
    };
    assert!((measure_for(&mut distances, 60.0, 10) - 60.0).abs() < 1.0);
    assert!(measure_for(&mut distances, 600.0, 5) > 500.0);
    assert!(measure_for(&mut distances, 600.0, 15) > 590.0);
    assert!(measure_for(&mut distances, 60.0, 2) < 70.0);
    let single = measure_for(&mut distances, 60.0, 10);
    distances.on_round_trip(&far, 300.0, now_us);
    let after_one_slow = distances.round_trip_ms(&topology, &here, &far, now_us);
    assert!(
        after_one_slow < single + 35.0,
        "a single slow measurement has little effect: {after_one_slow}"
    );
}

/// Without the decay, a path that was slow once is never tried again.
#[test]
fn an_unmeasured_distance_decays_to_the_default() {
    let topology = two_regions();
    let (here, far) = (ZoneId::new("w-1"), ZoneId::new("e-1"));
    let mut distances = Distances::new(here.clone());
    distances.on_round_trip(&far, 900.0, 0);
    let rtt_ms = |now_us| distances.round_trip_ms(&topology, &here, &far, now_us);
    assert!((rtt_ms(9 * SECOND) - 900.0).abs() < 0.01);
    assert!(rtt_ms(20 * SECOND) < 600.0);
    assert!((rtt_ms(40 * SECOND) - 60.0).abs() < 0.01);
}
