//! Roles of a fleet in virtual time: schedulers place, a holder of the authority sees what they
//! tell, runners read, write, leave and come back in roles that nobody asked for.
#![allow(clippy::unwrap_used, missing_docs)]

mod roles_world;
mod support;

use pitchstall_serving::runner::Stage;
use roles_world::{World, SECOND};

/// Requests a second that ten readers in thirty can't read in time, and twenty can.
const ASKED: f64 = 190.0;

/// Half of the runners are replaced one by one, and nearly all that join write. A third of the
/// schedulers see nothing of the list for nine seconds.
#[test]
fn readers_follow_need_when_half_of_the_runners_are_replaced_by_writers() {
    let mut world = World::new(10, 20, 3);
    world.cut_from_list(0, SECOND, 10 * SECOND);
    let mut replaced = 0;
    while world.now_us() < 20 * SECOND {
        if replaced < 15 && world.now_us() >= 2 * SECOND + replaced * SECOND / 4 {
            let stage = if replaced % 14 == 13 { Stage::Prefill } else { Stage::Decode };
            world.replace(replaced as usize * 2, stage);
            replaced += 1;
        }
        world.step(ASKED);
    }
    let readers = world.count(Stage::Prefill);
    assert!((14..=22).contains(&readers), "{readers} of 30 read");
    let in_time = world.in_time(14 * SECOND..19 * SECOND);
    assert!(in_time > 0.8, "{in_time} in time once the readers are back");
}

#[test]
fn a_calm_fleet_changes_no_role() {
    let mut world = World::new(10, 20, 3);
    while world.now_us() < 10 * SECOND {
        world.step(60.0);
    }
    assert_eq!(world.orders(), 0);
    assert!(world.in_time(SECOND..9 * SECOND) > 0.95);
}

/// Callers of one region go to another: each region's roles follow by its own holder.
#[test]
fn roles_of_two_regions_follow_their_callers_within_seconds() {
    let mut left = World::new(10, 20, 2);
    let mut joined = World::new(10, 20, 2);
    let mut followed_us = None;
    while left.now_us() < 16 * SECOND {
        let is_shifted = left.now_us() >= 3 * SECOND;
        left.step(if is_shifted { 30.0 } else { 120.0 });
        joined.step(if is_shifted { 170.0 } else { 120.0 });
        if followed_us.is_none() && joined.count(Stage::Prefill) >= 14 {
            followed_us = Some(joined.now_us());
        }
    }
    assert!(followed_us.is_some_and(|us| us < 9 * SECOND), "{followed_us:?}");
    let readers = joined.count(Stage::Prefill);
    assert!(readers >= 14, "{readers} of 30 read where the callers went");
    let in_time = joined.in_time(10 * SECOND..15 * SECOND);
    assert!(in_time > 0.8, "{in_time} in time where the callers went");
    assert!(left.in_time(4 * SECOND..15 * SECOND) > 0.95);
}
