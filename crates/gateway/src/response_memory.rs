//! Memory for what is held of runners' responses: bodies that are read completely before they are used, and events that
//! are not complete yet. Each has its own maximum, and all of them together have a share of the machine's memory.

use crate::http::{ReadError, ResponsePart, ResponseTooLong};
use crate::node::Node;
use pitchstall_serving::event_stream::{Event, EventSplitter, MAX_EVENT_BYTES};
use pitchstall_serving::ids::RunnerId;
use std::cell::Cell;
use std::rc::Rc;

/// Bytes of each response that are not counted, so that short responses pass while long ones use up the memory.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Bytes by which the buffer of a body grows at least.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// The bytes that all responses hold together.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    counted_bytes: Cell<usize>,
}

impl ResponseMemory {
    /// A reservation for one response, of 0 bytes at first. All responses together may hold `max_bytes`.
    pub fn reserve(self: &Rc<Self>, max_bytes: usize) -> ResponseReservation {
        ResponseReservation { memory: self.clone(), max_bytes, counted_bytes: 0 }
    }

    /// Number of bytes that are reserved, without the uncounted ones.
    pub fn counted_bytes(&self) -> usize {
        self.counted_bytes.get()
    }
}

/// Memory that is reserved for one response until the guard is dropped.
#[derive(Debug)]
pub struct ResponseReservation {
    memory: Rc<ResponseMemory>,
    max_bytes: usize,
    counted_bytes: usize,
}

impl ResponseReservation {
    /// Changes the reservation to `bytes`. Fails, and leaves it as it was, if too little memory is left.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ResponseTooLong> {
        let counted_bytes = bytes.saturating_sub(UNCOUNTED_BYTES);
        let total = self.memory.counted_bytes.get() - self.counted_bytes + counted_bytes;
        if counted_bytes > self.counted_bytes && total > self.max_bytes {
            let limit_bytes = self.max_bytes;
            return Err(ResponseTooLong { part: ResponsePart::Memory, limit_bytes });
        }
        self.memory.counted_bytes.set(total);
        self.counted_bytes = counted_bytes;
        Ok(())
    }
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        self.memory.counted_bytes.set(self.memory.counted_bytes.get() - self.counted_bytes);
    }
}

/// The body of a response that is read completely before it is used.
#[derive(Debug)]
pub struct BodyBuffer {
    body: Vec<u8>,
    max_bytes: usize,
    reservation: ResponseReservation,
}

impl BodyBuffer {
    /// An empty buffer for a body of at most `max_bytes`.
    pub fn new(max_bytes: usize, reservation: ResponseReservation) -> Self {
        Self { body: Vec::new(), max_bytes, reservation }
    }

    /// Appends bytes. Fails if the body is too long, or if too little memory is left.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ResponseTooLong> {
        let length = self.body.len() + bytes.len();
        if length > self.max_bytes {
            let limit_bytes = self.max_bytes;
            return Err(ResponseTooLong { part: ResponsePart::Body, limit_bytes });
        }
        if length > self.body.capacity() {
            let doubled = (self.body.capacity() * 2).max(MIN_GROWTH_BYTES).min(self.max_bytes);
            let capacity = doubled.max(length);
            self.reservation.resize(capacity)?;
            self.body.reserve_exact(capacity - self.body.len());
        }
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    /// The body, and the reservation that lasts as long as the body is held.
    pub fn into_parts(self) -> (Vec<u8>, ResponseReservation) {
        (self.body, self.reservation)
    }
}

/// Splits a stream into events, and holds the one that is not complete yet.
#[derive(Debug)]
pub struct EventBuffer {
    splitter: EventSplitter,
    reservation: ResponseReservation,
}

impl EventBuffer {
    /// A buffer for a stream of which nothing has been received.
    pub fn new(reservation: ResponseReservation) -> Self {
        Self { splitter: EventSplitter::default(), reservation }
    }

    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.splitter.push(bytes)
    }

    /// Whether the last event is incomplete.
    pub fn has_incomplete_event(&self) -> bool {
        !self.splitter.pending().is_empty()
    }

    /// Fails if an event is too long, or if too little memory is left for the incomplete one.
    pub fn check(&mut self) -> Result<(), ResponseTooLong> {
        if self.splitter.is_event_too_long() {
            let limit_bytes = MAX_EVENT_BYTES;
            return Err(ResponseTooLong { part: ResponsePart::Event, limit_bytes });
        }
        self.reservation.resize(self.splitter.pending().len())
    }
}

/// Logs and counts a response that was cut because it is too long. Does nothing if it failed for another reason.
pub fn report_if_too_long(node: &Node, request: &str, runner: &RunnerId, error: &ReadError) {
    let Some(ResponseTooLong { part, limit_bytes }) = error.exceeded_limit() else { return };
    let (runner, part) = (runner.as_str(), part.name());
    node.metrics.on_response_too_long(part);
    log::warn!(target: "attempt", request, runner, part, limit_bytes; "response cut: too long");
}
