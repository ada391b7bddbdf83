//! Roles of a fleet in virtual time: schedulers place requests, the holder of the authority plans
//! with the loads that they report, and runners prefill, decode, leave and come back in unrequested
//! roles.
#![allow(clippy::unwrap_used, missing_docs)]

mod roles_world;
mod support;

use pitchstall_serving::runner::Stage;
use roles_world::{World, SECOND_US};

/// Requests per second that are too many for ten prefill runners among thirty, but not for twenty.
const REQUESTS_PER_SECOND: f64 = 190.0;

/// Half of the runners are replaced one by one, nearly all by decode runners. One of three
/// schedulers is disconnected from the registry for nine seconds.
#[test]
fn prefill_runners_follow_the_need_when_half_of_the_runners_are_replaced_by_decode_runners() {
    let mut world = World::new(10, 20, 3);
    world.disconnect_from_registry(0, SECOND_US, 10 * SECOND_US);
    let mut replaced = 0;
    while world.now_us() < 20 * SECOND_US {
        if replaced < 15 && world.now_us() >= 2 * SECOND_US + replaced * SECOND_US / 4 {
            let stage = if replaced % 14 == 13 { Stage::Prefill } else { Stage::Decode };
            world.replace(replaced as usize * 2, stage);
            replaced += 1;
        }
        world.step(REQUESTS_PER_SECOND);
    }
    let prefill_runners = world.count(Stage::Prefill);
    assert!((14..=22).contains(&prefill_runners), "{prefill_runners} of 30 prefill");
    let in_time = world.in_time_share(14 * SECOND_US..19 * SECOND_US);
    assert!(in_time > 0.8, "{in_time} in time after the prefill runners are back");
}

#[test]
fn a_calm_fleet_changes_no_role() {
    let mut world = World::new(10, 20, 3);
    while world.now_us() < 10 * SECOND_US {
        world.step(60.0);
    }
    assert_eq!(world.orders(), 0);
    assert!(world.in_time_share(SECOND_US..9 * SECOND_US) > 0.95);
}

/// Clients of one region move to another. The roles of each region follow the load by the orders of
/// the region's own authority.
#[test]
fn roles_of_two_regions_follow_their_clients_within_seconds() {
    let mut losing = World::new(10, 20, 2);
    let mut gaining = World::new(10, 20, 2);
    let mut followed_us = None;
    while losing.now_us() < 16 * SECOND_US {
        let is_shifted = losing.now_us() >= 3 * SECOND_US;
        losing.step(if is_shifted { 30.0 } else { 120.0 });
        gaining.step(if is_shifted { 170.0 } else { 120.0 });
        if followed_us.is_none() && gaining.count(Stage::Prefill) >= 14 {
            followed_us = Some(gaining.now_us());
        }
    }
    assert!(followed_us.is_some_and(|us| us < 9 * SECOND_US), "{followed_us:?}");
    let prefill_runners = gaining.count(Stage::Prefill);
    assert!(prefill_runners >= 14, "{prefill_runners} of 30 prefill in the gaining region");
    let in_time = gaining.in_time_share(10 * SECOND_US..15 * SECOND_US);
    assert!(in_time > 0.8, "{in_time} in time in the gaining region");
    assert!(losing.in_time_share(4 * SECOND_US..15 * SECOND_US) > 0.95);
}
