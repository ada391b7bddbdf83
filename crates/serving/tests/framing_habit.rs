//! What a runner's earlier responses show about a head without framing.
#![allow(missing_docs)]

mod support;

use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::framing_habit::{
    FramingHabit, FramingHabits, HeadDamage, ResponseKind, UnframedHead,
};
use pitchstall_serving::ids::{RunnerId, RunnerName, SoftwareVersion, ZoneId};
use pitchstall_serving::runner::RunnerRecord;
use pitchstall_serving::topology::Topology;
use support::{at, runner_record};
use test_case::test_case;

const NAMES: [&str; 2] = ["content-type", "x-stamp"];

fn head(names: &[&'static str], announces_end: bool) -> UnframedHead<'static> {
    UnframedHead { names: names.to_vec(), announces_end }
}

fn framed(responses: usize) -> FramingHabit {
    let mut habit = FramingHabit::default();
    (0..responses).for_each(|_| habit.on_framed(&NAMES));
    habit
}

fn unframed(responses: usize, announces_end: bool) -> FramingHabit {
    let mut habit = FramingHabit::default();
    (0..responses).for_each(|_| habit.on_unframed(announces_end));
    habit
}

#[test_case(false)]
#[test_case(true)]
fn nothing_shows_damage_while_nothing_is_known(announces_end: bool) {
    assert_eq!(FramingHabit::Unknown.check_head(&head(&[], announces_end)), Ok(()));
}

#[test]
fn a_runner_that_has_framed_one_response_does_not_stop_without_saying_so() {
    assert_eq!(framed(1).check_head(&head(&NAMES, false)), Err(HeadDamage::FramingMissing));
    assert_eq!(framed(1).check_head(&head(&NAMES, true)), Ok(()));
}

#[test_case(1, Ok(()))]
#[test_case(2, Ok(()))]
#[test_case(3, Err(HeadDamage::LineMissing))]
fn a_header_counts_as_usual_after_three_responses(
    responses: usize,
    expected: Result<(), HeadDamage>,
) {
    assert_eq!(framed(responses).check_head(&head(&["x-stamp"], true)), expected);
}

#[test]
fn a_header_that_one_framed_response_lacks_is_not_usual() {
    let mut habit = framed(3);
    habit.on_framed(&["x-stamp"]);
    assert_eq!(habit.check_head(&head(&["x-stamp"], true)), Ok(()));
}

#[test_case(1, false, Ok(()); "it has not said so")]
#[test_case(3, false, Ok(()); "it has never said so")]
#[test_case(2, true, Ok(()); "it has said so by chance")]
#[test_case(3, true, Err(HeadDamage::FramingMissing); "it always says so")]
fn a_runner_that_never_frames_may_leave_out_what_it_does_not_always_say(
    responses: usize,
    announces_end: bool,
    expected: Result<(), HeadDamage>,
) {
    let habit = unframed(responses, announces_end);
    assert_eq!(habit.check_head(&head(&NAMES, false)), expected);
}

#[test]
fn a_runner_that_frames_and_announces_its_other_ends_leaves_out_neither() {
    let mut habit = framed(1);
    habit.on_unframed(true);
    assert_eq!(habit.check_head(&head(&NAMES, false)), Err(HeadDamage::FramingMissing));
    assert_eq!(habit.check_head(&head(&NAMES, true)), Ok(()));
}

#[test]
fn only_the_rest_of_a_stream_of_a_runner_that_does_not_frame_may_be_empty() {
    assert!(unframed(1, true).allows_empty(true, true));
    assert!(!unframed(1, true).allows_empty(true, false));
    assert!(!unframed(1, true).allows_empty(false, true));
    assert!(!framed(3).allows_empty(true, true));
    assert!(!FramingHabit::Unknown.allows_empty(true, true));
}

#[test]
fn a_runner_that_frames_plain_responses_may_not_frame_its_streams() {
    let mut habits = FramingHabits::default();
    habits.of_mut(ResponseKind::Plain).on_framed(&NAMES);
    assert_eq!(habits.of(ResponseKind::Stream), &FramingHabit::Unknown);
}

fn runner(name: &str, born_ms: u64, version: &str) -> RunnerRecord {
    let id = RunnerId::of_incarnation(&RunnerName::new(name), Some(born_ms));
    RunnerRecord {
        version: SoftwareVersion::new(version),
        revision: at(born_ms),
        ..runner_record(id)
    }
}

fn fleet(records: &[&RunnerRecord]) -> Fleet {
    let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
    records.iter().for_each(|record| {
        fleet.put((*record).clone());
    });
    fleet
}

#[test]
fn a_new_life_of_a_runner_is_not_judged_by_what_the_last_one_has_sent() {
    let [first, second] = [runner("i-1", 1, "v1"), runner("i-1", 2, "v1")];
    let mut fleet = fleet(&[&first]);
    fleet.on_framed_response(&first.id, ResponseKind::Plain, &NAMES);
    assert_eq!(fleet.framing_habit(&first.id, ResponseKind::Plain).name(), "framed");
    fleet.put(second.clone());
    for id in [&first.id, &second.id] {
        assert_eq!(fleet.framing_habit(id, ResponseKind::Plain), FramingHabit::Unknown);
    }
}

#[test]
fn a_runner_without_responses_is_judged_by_those_of_its_software() {
    let [framing, other] = [runner("i-1", 1, "v1"), runner("i-2", 1, "v1")];
    let newcomers = [runner("i-3", 1, "v1"), runner("i-4", 1, "v2")];
    let mut fleet = fleet(&[&framing, &other, &newcomers[0], &newcomers[1]]);
    let habits = |fleet: &Fleet| {
        newcomers.each_ref().map(|it| fleet.framing_habit(&it.id, ResponseKind::Plain).name())
    };
    assert_eq!(habits(&fleet), ["unknown", "unknown"]);
    fleet.on_framed_response(&framing.id, ResponseKind::Plain, &NAMES);
    assert_eq!(habits(&fleet), ["framed", "unknown"]);
    fleet.on_unframed_response(&other.id, ResponseKind::Plain, true);
    assert_eq!(habits(&fleet), ["unframed", "unknown"]);
}
