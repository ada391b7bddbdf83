//! Joining of consecutive runs of one stream.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::event_runs::{EventAction, EventDeduplicator, RunMismatch, RunPlace};
use pitchstall_serving::event_stream::EventSplitter;
use test_case::test_case;

/// What a client that has events up to `after` receives from these runs, and why the last one is ended early.
fn join(after: Option<u64>, runs: &[&str]) -> (String, Option<RunMismatch>) {
    let mut deduplicator = EventDeduplicator::after(after);
    let mut forwarded = String::new();
    let mut mismatch = None;
    for run in runs {
        assert_eq!(mismatch, None, "only the last run may be ended");
        mismatch = forward(run, &mut deduplicator, &mut forwarded).err();
    }
    (forwarded, mismatch)
}

fn forward(
    run: &str,
    deduplicator: &mut EventDeduplicator,
    forwarded: &mut String,
) -> Result<(), RunMismatch> {
    let mut place = RunPlace::default();
    for event in EventSplitter::default().push(run.as_bytes()) {
        match deduplicator.on_event(&mut place, &event) {
            EventAction::Forward => forwarded.push_str(std::str::from_utf8(&event.bytes).unwrap()),
            EventAction::Skip => {}
            EventAction::EndRun(mismatch) => return Err(mismatch),
        }
    }
    deduplicator.on_end(place)
}

/// A run whose events have these ids; `-` stands for an event without id.
fn run(ids: &str) -> String {
    let event = |id: &str| match id {
        "-" => "data: x\n\n".to_owned(),
        id => format!("id: {id}\ndata: x\n\n"),
    };
    ids.split_whitespace().map(event).collect()
}

#[test_case("0 1 2", "3 4", "0 1 2 3 4"; "the rest")]
#[test_case("0 1 2", "0 1 2 3", "0 1 2 3"; "all again")]
#[test_case("0 1 2", "2 3", "0 1 2 3"; "the last event again")]
#[test_case("0 4 8", "12 16", "0 4 8 12 16"; "steps of more than one")]
#[test_case("0 1 2", "3 -", "0 1 2 3 -"; "a last event without id")]
#[test_case("- 0 1", "2 3", "- 0 1 2 3"; "a first event without id")]
fn a_run_that_fits_continues_the_stream(first: &str, second: &str, expected: &str) {
    let (forwarded, mismatch) = join(None, &[&run(first), &run(second)]);
    assert_eq!(forwarded, run(expected));
    assert_eq!(mismatch, None);
}

#[test_case("0 3 6", "4 8", "0 3 6"; "ids of other steps")]
#[test_case("0 3 6", "0 4 8", "0 3 6"; "ids of other steps from the start")]
#[test_case("0 1 2 3", "0 1", "0 1 2 3"; "an end before the last event")]
fn a_run_that_repeats_other_events_than_the_last_one_is_ended(
    first: &str,
    second: &str,
    expected: &str,
) {
    let (forwarded, mismatch) = join(None, &[&run(first), &run(second)]);
    assert_eq!(forwarded, run(expected));
    assert!(mismatch.is_some());
}

#[test]
fn a_continuing_run_whose_ids_fall_is_ended_before_it_reaches_the_last_event() {
    let expected = (String::new(), Some(RunMismatch::IdsNotRising));
    assert_eq!(join(Some(6), &[&run("3 2 6 7")]), expected);
}

#[test_case("4 8"; "other steps")]
fn a_stream_that_a_client_takes_up_is_not_joined_at_another_place(ids: &str) {
    let (forwarded, mismatch) = join(Some(6), &[&run(ids)]);
    assert_eq!(forwarded, "");
    assert!(mismatch.is_some());
}
