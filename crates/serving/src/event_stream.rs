//! Streams of server-sent events. Only complete events are forwarded, so that a broken stream can
//! continue at another runner after the last event that the client has received.

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as the runner sent it.
    pub bytes: Vec<u8>,
    /// The `id` field; `None` if the event has none.
    pub id: Option<String>,
}

/// Splits a stream of bytes into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let rest = self.pending.split_off(end);
            let bytes = std::mem::replace(&mut self.pending, rest);
            self.scanned = 0;
            events.push(Event { id: event_id(&bytes), bytes });
        }
        events
    }

    /// Bytes of the event that is not yet complete.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// End of the first complete event, which is after its blank line.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.scanned;
        while let Some(length) = self.pending[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + length + 1;
            let line = &self.pending[line_start..line_end];
            if matches!(line, b"\n" | b"\r\n") && line_start > 0 {
                return Some(line_end);
            }
            line_start = line_end;
        }
        self.scanned = line_start;
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let line = bytes.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[b"id:".len()..]).ok()?;
    Some(text.trim().to_owned())
}

/// Merges consecutive runs of one stream, so that each event is forwarded once and in order.
#[derive(Clone, Debug, Default)]
pub struct EventDeduplicator {
    last_id: Option<u64>,
}

/// What to do with an event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// The event is new; forward it.
    Forward,
    /// The client has already received the event.
    Skip,
}

impl EventDeduplicator {
    /// A stream that continues after the event with this id; `None`: from its start.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id }
    }

    /// Id of the last event that was forwarded; `None` if there is none.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Decides about the next event of a run. An event without a numeric id is always forwarded.
    pub fn on_event(&mut self, event: &Event) -> EventAction {
        let Some(id) = event.id.as_deref().and_then(|id| id.parse::<u64>().ok()) else {
            return EventAction::Forward;
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return EventAction::Skip;
        }
        self.last_id = Some(id);
        EventAction::Forward
    }
}
