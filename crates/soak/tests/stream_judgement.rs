//! What is wrong with a stream that its client has received.
#![allow(missing_docs)]

use pitchstall_soak::stream_judgement::{faults_of, ReceivedEvent, StreamFault, Try, TryEnd};
use test_case::test_case;

const LAST: u64 = 3;

/// A try with these events of a run, all of one version.
fn attempt(run: &str, version: &str, numbers: &[u64], end: TryEnd) -> Try {
    let event = |number: &u64| ReceivedEvent {
        number: *number,
        run: run.to_owned(),
        version: version.to_owned(),
    };
    Try { events: numbers.iter().map(event).collect(), end }
}

#[test_case(&[0, 1, 2, 3], TryEnd::Complete, &[]; "whole")]
#[test_case(&[0, 1], TryEnd::Broken, &[]; "cut, and its client knows it")]
#[test_case(&[], TryEnd::Status(503), &[]; "refused")]
#[test_case(&[0, 1], TryEnd::Complete, &[StreamFault::CompleteTooEarly]; "complete too early")]
#[test_case(&[], TryEnd::Complete, &[StreamFault::CompleteTooEarly]; "complete without an event")]
#[test_case(&[0, 2, 3], TryEnd::Complete, &[StreamFault::Missing]; "an event is missing")]
#[test_case(&[1, 2, 3], TryEnd::Complete, &[StreamFault::Missing]; "the first event is missing")]
#[test_case(&[0, 1, 1, 2, 3], TryEnd::Complete, &[StreamFault::Repeated]; "an event came twice")]
fn one_try(numbers: &[u64], end: TryEnd, expected: &[StreamFault]) {
    let tries = [attempt("i-1/0", "v1", numbers, end)];
    assert_eq!(faults_of(&tries, LAST, true), expected);
}

#[test_case("v1", true, &[]; "continued")]
#[test_case("v1", false, &[StreamFault::Joined]; "continued though it must not be")]
#[test_case("v2", true, &[StreamFault::MixedVersions]; "continued at another version")]
fn two_tries(version: &str, is_resumable: bool, expected: &[StreamFault]) {
    let tries = [
        attempt("i-1/0", "v1", &[0, 1], TryEnd::Broken),
        attempt("i-2/0", version, &[2, 3], TryEnd::Complete),
    ];
    assert_eq!(faults_of(&tries, LAST, is_resumable), expected);
}
