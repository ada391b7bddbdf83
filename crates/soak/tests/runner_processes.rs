//! Runners that are processes of their own: their schedules, and the checks of what their clients receive.
#![allow(missing_docs)]

use pitchstall_soak::plan::{steps, Action, Step};
use pitchstall_soak::process_checks::{
    process_tally, process_violations, untested_processes, ProcessExchange, ProcessTally,
    COMPLETE_IS_WHOLE, EVENTS_IN_ORDER,
};
use pitchstall_soak::process_load::{draw_request, ProcessRoute, RUNNER_PROCESSES};
use pitchstall_soak::run_plan::{Framing, RunEnd, RunPlan};
use pitchstall_soak::runner_program::{start, Identity, LAST_EVENT};
use pitchstall_soak::seed_features::has_runner_processes;
use pitchstall_soak::stream_client::{fetch, Fetched};
use pitchstall_soak::stream_judgement::{ReceivedEvent, Try, TryEnd};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;
use ProcessRoute::{AtMostOnce, Repeatable, ResumableStream, SingleStream};

const LENGTH: Duration = Duration::from_secs(25);
const WHOLE_PLAN: RunPlan =
    RunPlan { framing: Framing::Unframed, end: RunEnd::Whole, after: 3, is_split: false };

/// A try with these events of a run.
fn attempt(run: &str, numbers: impl IntoIterator<Item = u64>, end: TryEnd) -> Try {
    let event = |number| ReceivedEvent { number, run: run.to_owned(), version: "v1".to_owned() };
    Try { events: numbers.into_iter().map(event).collect(), end }
}

fn exchange(route: ProcessRoute, tries: Vec<Try>) -> ProcessExchange {
    let fetched = Fetched { first_id: "1".to_owned(), tries };
    ProcessExchange { route, plan: WHOLE_PLAN, node: 0, fetched }
}

fn promises(exchange: ProcessExchange) -> Vec<&'static str> {
    process_violations(&[exchange]).iter().map(|violation| violation.promise).collect()
}

#[test_case(ResumableStream)]
#[test_case(SingleStream)]
#[test_case(Repeatable)]
#[test_case(AtMostOnce)]
fn a_complete_response_without_its_last_events_is_a_violation(route: ProcessRoute) {
    let short = vec![attempt("a", 0..LAST_EVENT, TryEnd::Complete)];
    assert_eq!(promises(exchange(route, short)), [COMPLETE_IS_WHOLE]);
    let empty = vec![attempt("a", [], TryEnd::Complete)];
    assert_eq!(promises(exchange(route, empty)), [COMPLETE_IS_WHOLE]);
    let cut = vec![attempt("a", 0..LAST_EVENT, TryEnd::Broken)];
    assert!(promises(exchange(route, cut)).is_empty(), "its client knows");
    let whole = vec![attempt("a", 0..=LAST_EVENT, TryEnd::Complete)];
    assert!(promises(exchange(route, whole)).is_empty());
}

#[test]
fn missing_and_doubled_events_are_violations() {
    let continued = |first| {
        let begun = attempt("a", 0..5, TryEnd::Broken);
        exchange(ResumableStream, vec![begun, attempt("b", first..=LAST_EVENT, TryEnd::Complete)])
    };
    assert_eq!(promises(continued(6)), [EVENTS_IN_ORDER], "event 5 is missing");
    assert_eq!(promises(continued(4)), [EVENTS_IN_ORDER], "event 4 came twice");
    assert!(promises(continued(5)).is_empty());
}

#[test_case(SingleStream)]
#[test_case(Repeatable)]
#[test_case(AtMostOnce)]
fn events_of_two_runs_are_a_violation_where_the_route_may_not_be_resumed(route: ProcessRoute) {
    let mut joined = attempt("a", 0..5, TryEnd::Complete);
    joined.events.extend(attempt("b", 5..=LAST_EVENT, TryEnd::Complete).events);
    assert_eq!(promises(exchange(route, vec![joined])), [EVENTS_IN_ORDER]);
}

#[test]
fn exchanges_are_counted_by_how_they_ended() {
    let exchanges = [
        exchange(AtMostOnce, vec![attempt("a", 0..=LAST_EVENT, TryEnd::Complete)]),
        exchange(AtMostOnce, vec![attempt("a", 0..4, TryEnd::Complete)]),
        exchange(AtMostOnce, vec![attempt("a", 0..4, TryEnd::Broken)]),
        exchange(AtMostOnce, vec![attempt("a", [], TryEnd::Status(503))]),
    ];
    let expected = ProcessTally { whole: 1, cut: 1, refused: 1, faulty: 1 };
    assert_eq!(process_tally(&exchanges), expected);
}

#[test]
fn a_run_without_whole_responses_or_ended_processes_is_a_violation() {
    let served = ProcessTally { whole: 1, ..ProcessTally::default() };
    assert!(untested_processes(served, 1).is_none());
    assert!(untested_processes(served, 0).is_some(), "no process ended");
    assert!(untested_processes(ProcessTally::default(), 1).is_some(), "no response is whole");
}

/// Reads a response from a runner without a node between, so that the end of the connection is all that the client sees.
fn fetch_from_runner(route: ProcessRoute, plan: RunPlan) -> ProcessExchange {
    let identity = Identity { id: "i-0".to_owned(), version: "v1".to_owned() };
    let runner = start(identity).expect("the runner listens");
    let fetched = fetch(&[runner], 0, route.request(plan), |_, _| {});
    ProcessExchange { route, plan, node: 0, fetched }
}

#[test_case(Framing::Unframed, RunEnd::Close, &[COMPLETE_IS_WHOLE]; "orderly end without framing")]
#[test_case(Framing::Http10, RunEnd::Close, &[COMPLETE_IS_WHOLE]; "orderly end of HTTP 1.0")]
#[test_case(Framing::Unframed, RunEnd::Reset, &[]; "reset")]
#[test_case(Framing::Length, RunEnd::Close, &[]; "length")]
#[test_case(Framing::Chunked, RunEnd::Close, &[]; "chunks")]
#[test_case(Framing::Unframed, RunEnd::Whole, &[]; "whole without framing")]
fn a_client_sees_where_a_response_ends_too_early(framing: Framing, end: RunEnd, expected: &[&str]) {
    for is_split in [false, true] {
        let plan = RunPlan { framing, end, after: 3, is_split };
        assert_eq!(promises(fetch_from_runner(AtMostOnce, plan)), expected);
    }
}

#[test]
fn requests_of_all_routes_and_framings_and_ends_are_drawn() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let drawn: Vec<_> = (0..1_000).map(|_| draw_request(&mut rng, true)).collect();
    let routes: BTreeSet<_> = drawn.iter().map(|(route, _)| route.name()).collect();
    let count = |framing, end| {
        drawn.iter().filter(|(_, it)| it.framing == framing && it.end == end).count()
    };
    assert_eq!(routes.len(), ProcessRoute::ALL.len());
    for framing in [Framing::Chunked, Framing::Length, Framing::Unframed, Framing::Http10] {
        for end in [RunEnd::Whole, RunEnd::Kill, RunEnd::KillInside, RunEnd::Exit, RunEnd::Stop] {
            assert!(count(framing, end) > 0, "{framing:?} {end:?}");
        }
    }
    for (_, plan) in &drawn {
        assert_eq!(plan.to_string().parse::<RunPlan>().ok(), Some(*plan));
    }
    let ends = (0..1_000).filter(|_| draw_request(&mut rng, false).1.end != RunEnd::Whole);
    assert_eq!(ends.count(), 0);
}

#[test]
fn only_later_seeds_end_runner_processes() {
    let ends = |seed| -> Vec<Step> {
        let steps = steps(seed, LENGTH, 4).into_iter();
        steps.filter(|step| matches!(step.action, Action::EndRunnerProcesses { .. })).collect()
    };
    assert!((0..13_000).all(|seed| ends(seed).is_empty() && !has_runner_processes(seed)));
    let (mut has_several, mut has_stops) = (false, false);
    for step in (13_000..13_100).flat_map(ends) {
        let Action::EndRunnerProcesses { processes, is_stopped_first } = step.action else {
            continue;
        };
        let distinct: BTreeSet<_> = processes.iter().collect();
        assert!(distinct.len() == processes.len() && processes.len() < RUNNER_PROCESSES);
        has_several |= processes.len() > 1;
        has_stops |= is_stopped_first;
    }
    assert!(has_several && has_stops);
    assert!((13_000..13_100).all(|seed| ends(seed).len() >= 10));
}
