//! Memory for what a node holds of responses.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::http::{ResponsePart, ResponseTooLong};
use pitchstall_gateway::response_memory::{
    BodyBuffer, EventBuffer, ResponseMemory, UNCOUNTED_BYTES,
};
use std::rc::Rc;

const MAX_BYTES: usize = 1_000_000;
const NO_MEMORY: ResponseTooLong =
    ResponseTooLong { part: ResponsePart::Memory, limit_bytes: MAX_BYTES };

#[test]
fn all_responses_together_hold_no_more_than_their_share() {
    let memory = Rc::<ResponseMemory>::default();
    let mut first = memory.reserve(MAX_BYTES);
    let mut second = memory.reserve(MAX_BYTES);
    assert_eq!(first.resize(UNCOUNTED_BYTES + 600_000), Ok(()));
    assert_eq!(second.resize(UNCOUNTED_BYTES + 400_000), Ok(()));
    assert_eq!(second.resize(UNCOUNTED_BYTES + 400_001), Err(NO_MEMORY));
    assert_eq!(memory.counted_bytes(), MAX_BYTES);
    drop(first);
    assert_eq!(second.resize(UNCOUNTED_BYTES + MAX_BYTES), Ok(()));
    drop(second);
    assert_eq!(memory.counted_bytes(), 0);
}

#[test]
fn a_short_response_passes_while_long_ones_use_up_the_memory() {
    let memory = Rc::<ResponseMemory>::default();
    let mut long = memory.reserve(MAX_BYTES);
    long.resize(UNCOUNTED_BYTES + MAX_BYTES).unwrap();
    let mut short = memory.reserve(MAX_BYTES);
    assert_eq!(short.resize(UNCOUNTED_BYTES), Ok(()));
    assert_eq!(short.resize(UNCOUNTED_BYTES + 1), Err(NO_MEMORY));
}

#[test]
fn a_body_holds_no_more_than_is_reserved_for_it() {
    let memory = Rc::<ResponseMemory>::default();
    let mut buffer = BodyBuffer::new(MAX_BYTES, memory.reserve(MAX_BYTES));
    for _ in 0..MAX_BYTES / 1_000 {
        buffer.push(&[b'x'; 1_000]).unwrap();
    }
    let too_long = ResponseTooLong { part: ResponsePart::Body, limit_bytes: MAX_BYTES };
    assert_eq!(buffer.push(b"x"), Err(too_long));
    let (body, reservation) = buffer.into_parts();
    assert_eq!(body.len(), MAX_BYTES);
    assert!(body.capacity() <= memory.counted_bytes() + UNCOUNTED_BYTES);
    drop(reservation);
    assert_eq!(memory.counted_bytes(), 0);
}

#[test]
fn an_incomplete_event_takes_memory_until_it_is_complete() {
    let memory = Rc::<ResponseMemory>::default();
    let mut events = EventBuffer::new(memory.reserve(MAX_BYTES));
    assert!(events.push(&vec![b'x'; UNCOUNTED_BYTES + MAX_BYTES]).is_empty());
    assert_eq!(events.check(), Ok(()));
    assert_eq!(memory.counted_bytes(), MAX_BYTES);
    assert_eq!(events.push(b"\n\n").len(), 1);
    assert_eq!(events.check(), Ok(()));
    assert_eq!(memory.counted_bytes(), 0);
    assert!(events.push(&vec![b'x'; UNCOUNTED_BYTES + MAX_BYTES + 1]).is_empty());
    assert_eq!(events.check(), Err(NO_MEMORY));
}
