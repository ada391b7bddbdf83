//! Joining of consecutive runs of one stream.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::event_runs::{EventAction, EventDeduplicator, RunMismatch, RunPlace};
use pitchstall_serving::event_stream::EventSplitter;
use proptest::prelude::*;
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
#[test_case("0 - 1", "0 - 1 - 2", "0 - 1 - 2"; "events without id between all events again")]
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

#[test_case("0 1 2", "- 3", "0 1 2"; "a run that begins without id")]
#[test_case("0 1 2", "a 3", "0 1 2"; "a run that begins with a word as id")]
#[test_case("0 1 -", "2 3", "0 1 -"; "an event without id after the last id")]
#[test_case("- - -", "- - - -", "- - -"; "no ids at all")]
#[test_case("a b c", "a b c d", "a b c"; "words as ids")]
fn events_without_an_id_do_not_come_twice(first: &str, second: &str, expected: &str) {
    let (forwarded, mismatch) = join(None, &[&run(first), &run(second)]);
    assert_eq!(forwarded, run(expected));
    assert!(mismatch.is_some());
}

#[test_case("0 1 1 2"; "repeated")]
#[test_case("5 3 4"; "falling")]
#[test_case("0 1 2 0 1 2"; "begun anew")]
fn events_are_not_lost_where_the_ids_of_a_run_do_not_rise(ids: &str) {
    assert_eq!(join(None, &[&run(ids)]), (run(ids), None));
    let (forwarded, mismatch) = join(None, &[&run(ids), &run("3 7")]);
    assert_eq!(forwarded, run(ids));
    assert!(mismatch.is_some());
}

#[test]
fn a_continuing_run_whose_ids_fall_is_ended_before_it_reaches_the_last_event() {
    let expected = (String::new(), Some(RunMismatch::IdsNotRising));
    assert_eq!(join(Some(6), &[&run("3 2 6 7")]), expected);
}

#[test_case("- 7"; "no id")]
#[test_case("4 8"; "other steps")]
fn a_stream_that_a_client_takes_up_is_not_joined_at_another_place(ids: &str) {
    let (forwarded, mismatch) = join(Some(6), &[&run(ids)]);
    assert_eq!(forwarded, "");
    assert!(mismatch.is_some());
}

#[test_case(": ping\n\n"; "a comment")]
#[test_case("retry: 3000\n\n"; "a reconnection time")]
fn a_block_that_is_no_event_leaves_the_position_known(block: &str) {
    let (first, second) = (run("0 1") + block, block.to_owned() + &run("2"));
    assert_eq!(join(None, &[&first, &second]), (first + &second, None));
}

/// A stream whose events have ids that rise by these steps, or none where the step is 0.
fn stream(steps: &[u64]) -> Vec<(Option<u64>, String)> {
    let mut id = 0;
    let event = |(number, step): (usize, &u64)| {
        id += step;
        let line = if *step == 0 { String::new() } else { format!("id: {id}\n") };
        ((*step > 0).then_some(id), format!("{line}data: {number}\n\n"))
    };
    steps.iter().enumerate().map(event).collect()
}

/// How a run begins, and how many of its bytes arrive.
#[derive(Clone, Copy, Debug)]
struct RunShape {
    heeds_last_id: bool,
    bytes: usize,
}

fn run_shape() -> impl Strategy<Value = RunShape> {
    (any::<bool>(), 0_usize..300)
        .prop_map(|(heeds_last_id, bytes)| RunShape { heeds_last_id, bytes })
}

/// The text of a whole run that is asked to continue after the event `last_id`.
fn whole_run(stream: &[(Option<u64>, String)], last_id: Option<u64>, shape: RunShape) -> String {
    let is_last = |(id, _): &(Option<u64>, String)| id.is_some() && *id == last_id;
    let first = stream.iter().position(is_last).map_or(0, |last| last + 1);
    let first = if shape.heeds_last_id { first } else { 0 };
    stream[first..].iter().map(|(_, text)| text.as_str()).collect()
}

proptest! {
    #[test]
    fn runs_that_break_off_anywhere_never_lose_double_or_reorder_an_event(
        steps in prop::collection::vec(0_u64..4, 0..15),
        shapes in prop::collection::vec(run_shape(), 1..5),
    ) {
        let stream = stream(&steps);
        let all: String = stream.iter().map(|(_, text)| text.as_str()).collect();
        let mut deduplicator = EventDeduplicator::default();
        let mut forwarded = String::new();
        for shape in shapes {
            if !deduplicator.may_continue() {
                break;
            }
            let text = whole_run(&stream, deduplicator.last_id(), shape);
            let is_whole = shape.bytes >= text.len();
            let received = &text[..shape.bytes.min(text.len())];
            let end = forward(received, &mut deduplicator, &mut forwarded);
            prop_assert!(all.starts_with(&forwarded), "{forwarded:?}");
            if is_whole && end.is_ok() {
                prop_assert_eq!(&forwarded, &all);
                break;
            }
        }
    }

    #[test]
    fn a_stream_whose_events_all_have_ids_is_whole_after_its_last_run(
        steps in prop::collection::vec(1_u64..4, 0..15),
        shapes in prop::collection::vec(run_shape(), 0..5),
        heeds_last_id: bool,
    ) {
        let stream = stream(&steps);
        let all: String = stream.iter().map(|(_, text)| text.as_str()).collect();
        let mut deduplicator = EventDeduplicator::default();
        let mut forwarded = String::new();
        for shape in shapes {
            let text = whole_run(&stream, deduplicator.last_id(), shape);
            let received = &text[..shape.bytes.min(text.len())];
            let _ = forward(received, &mut deduplicator, &mut forwarded);
        }
        let last = RunShape { heeds_last_id, bytes: usize::MAX };
        let text = whole_run(&stream, deduplicator.last_id(), last);
        prop_assert_eq!(forward(&text, &mut deduplicator, &mut forwarded), Ok(()));
        prop_assert_eq!(forwarded, all);
    }
}
