//! Streams of server-sent events: only whole events are forwarded, so that a stream that
//! breaks off can go on at another runner after the last event that the client has.

/// A whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as the runner sent them.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Cuts a stream of bytes into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Takes the next bytes and returns the events that they complete.
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

    /// Bytes of an event that is not whole yet.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Where the first whole event ends: after an empty line.
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

/// Joins the runs of one stream: an event passes once, in order.
#[derive(Clone, Debug, Default)]
pub struct EventDeduplicator {
    last_id: Option<u64>,
}

/// What to do with an event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// It follows; forward it.
    Forward,
    /// The client has it already.
    Skip,
}

impl EventDeduplicator {
    /// A stream that goes on after the given event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id }
    }

    /// The id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Decides about the next event of a run.
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
