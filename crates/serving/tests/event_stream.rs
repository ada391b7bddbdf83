//! Splitting of streams into events, and merging of runs.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::event_runs::{EventAction, EventDeduplicator, RunPlace};
use pitchstall_serving::event_stream::{EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;
use test_case::test_case;

fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 7))
}

proptest! {
    #[test]
    fn events_are_complete_however_the_bytes_are_split(count in 0_u64..20, piece in 1_usize..30) {
        let all: String = (0..count).map(event_text).collect();
        let mut splitter = EventSplitter::default();
        let events: Vec<_> =
            all.as_bytes().chunks(piece).flat_map(|bytes| splitter.push(bytes)).collect();
        let ids: Vec<String> = events.iter().map(|event| event.id.clone().unwrap()).collect();
        prop_assert_eq!(ids, (0..count).map(|id| id.to_string()).collect::<Vec<_>>());
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(bytes, all.into_bytes());
        prop_assert!(splitter.pending().is_empty());
    }

    /// A run breaks off at any byte, and another one continues after the last complete event.
    #[test]
    fn two_runs_merge_without_gaps_or_duplicates(count in 1_u64..20, cut in 0_usize..400, overlap in 0_u64..4) {
        let all: String = (0..count).map(event_text).collect();
        let mut deduplicator = EventDeduplicator::default();
        let mut forwarded = Vec::new();
        let mut forward = |bytes: &[u8], deduplicator: &mut EventDeduplicator| {
            let mut place = RunPlace::default();
            for event in EventSplitter::default().push(bytes) {
                if deduplicator.on_event(&mut place, &event) == EventAction::Forward {
                    forwarded.extend_from_slice(&event.bytes);
                }
            }
        };
        forward(&all.as_bytes()[..cut.min(all.len())], &mut deduplicator);
        let next = deduplicator.last_id().map_or(0, |id| id + 1);
        let second: String = (next.saturating_sub(overlap)..count).map(event_text).collect();
        forward(second.as_bytes(), &mut deduplicator);
        prop_assert_eq!(forwarded, all.into_bytes());
    }
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let events = EventSplitter::default().push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id.as_deref(), Some("4"));
}

#[test_case("id: 5\n", Some("5"); "a space")]
#[test_case("id:5\n", Some("5"); "no space")]
#[test_case("id: 5\r\n", Some("5"); "a carriage return")]
#[test_case("id: 4\ndata: a\nid: 5\n", Some("5"); "the last of two")]
#[test_case("id: 5\nid: 6\0\n", Some("5"); "a null character is ignored")]
#[test_case("id: 5\nid\n", Some(""); "no colon")]
#[test_case("id: 5\nid:\n", Some(""); "no value")]
#[test_case("identity: 5\n", None; "another field")]
#[test_case("data: a\n", None; "no line")]
fn the_last_id_line_of_an_event_counts(lines: &str, expected: Option<&str>) {
    let events = EventSplitter::default().push(format!("{lines}\n").as_bytes());
    assert_eq!(events[0].id.as_deref(), expected);
}

/// Processor time that this thread has used, in nanoseconds.
fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    text.split_whitespace().next().unwrap().parse().unwrap()
}

/// Processor time for an event whose line has this many pieces.
fn cost_of_a_line(pieces: usize) -> u64 {
    let mut splitter = EventSplitter::default();
    let started_ns = thread_cpu_ns();
    for _ in 0..pieces {
        assert!(splitter.push(&[b'x'; 64]).is_empty());
    }
    thread_cpu_ns() - started_ns
}

#[test]
fn a_long_line_is_not_searched_again_with_each_piece() {
    const PIECES: usize = 500;
    const FACTOR: usize = 16;
    const CLOCK_RESOLUTION_NS: u64 = 4_000_000;
    cost_of_a_line(PIECES);
    let (short_ns, long_ns) = (cost_of_a_line(PIECES), cost_of_a_line(PIECES * FACTOR));
    // 16 times the bytes cost 256 times as much if each piece searches all bytes before it.
    assert!(long_ns < short_ns.max(CLOCK_RESOLUTION_NS) * 64, "{short_ns} ns, {long_ns} ns");
}

/// Splits an event of this length, after a short one, in pieces of 16 KiB.
fn split_event_of(length: usize) -> (EventSplitter, Vec<usize>) {
    const PIECE_BYTES: usize = 16 * 1024;
    let mut bytes = b"id: 1\n\n".to_vec();
    bytes.extend(std::iter::repeat_n(b'x', length - 2));
    bytes.extend_from_slice(b"\n\nid: 2\n\n");
    let mut splitter = EventSplitter::default();
    let events: Vec<_> = bytes.chunks(PIECE_BYTES).flat_map(|piece| splitter.push(piece)).collect();
    (splitter, events.into_iter().map(|event| event.bytes.len()).collect())
}

#[test]
fn an_event_of_the_maximum_length_passes() {
    let (splitter, lengths) = split_event_of(MAX_EVENT_BYTES);
    assert_eq!(lengths, [7, MAX_EVENT_BYTES, 7]);
    assert!(!splitter.is_event_too_long());
}

#[test]
fn an_event_above_the_maximum_length_ends_the_stream_and_frees_its_memory() {
    let (splitter, lengths) = split_event_of(MAX_EVENT_BYTES + 1);
    assert_eq!(lengths, [7]);
    assert!(splitter.is_event_too_long());
    assert!(splitter.pending().is_empty());
}
