//! What the stand-ins of a soak record about themselves.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_soak::fleet::SoakFleet;
use pitchstall_soak::history::{Event, Recorder};

/// A seed whose runners start again under the same id.
const SEED: u64 = 3_001;

fn starts_of(recorder: &Recorder, id: &str) -> usize {
    let is_start = |event: &Event| matches!(event, Event::RunnerStarted { runner } if runner == id);
    recorder.events().iter().filter(|(_, event)| is_start(event)).count()
}

#[test]
fn each_incarnation_of_a_runner_records_its_start() {
    let recorder = Recorder::default();
    let mut fleet = SoakFleet::start(SEED, recorder.clone()).unwrap();
    let id = fleet.runners[0].id.clone();
    assert_eq!(starts_of(&recorder, &id), 1);
    fleet.runners[0].crash();
    for crashed in fleet.take_crashed() {
        fleet.restart_or_replace(&crashed).unwrap();
    }
    assert_eq!(starts_of(&recorder, &id), 2);
}
