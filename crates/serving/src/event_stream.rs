//! Streams of server-sent events. Only complete events are forwarded, so that a broken stream can
//! continue at another runner after the last event that the client has received.

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as the runner sent it.
    pub bytes: Vec<u8>,
    /// The `id` field without surrounding white space; `None` if the event has none. Of several fields the last one counts.
    pub id: Option<String>,
}

impl Event {
    /// Whether these are only comments and reconnection times, which say nothing about the stream and may come again.
    pub fn is_control(&self) -> bool {
        self.bytes.split(|byte| *byte == b'\n').all(is_control_line)
    }
}

/// Maximum length of an event, including its blank line. It bounds each line of the event too.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Splits a stream of bytes into events. Each byte is searched once, however the stream is split.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Start of the first line of `pending` whose end has not been found.
    line_start: usize,
    /// Number of bytes of `pending` that have been searched for line ends.
    searched: usize,
    is_event_too_long: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete. There are no further events after one that is longer than
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        if self.is_event_too_long {
            return Vec::new();
        }
        self.pending.extend_from_slice(bytes);
        let events = self.take_events();
        if self.pending.len() > MAX_EVENT_BYTES {
            self.is_event_too_long = true;
        }
        if self.is_event_too_long {
            self.pending = Vec::new();
        }
        events
    }

    /// Bytes of the event that is not yet complete.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Whether an event was longer than [`MAX_EVENT_BYTES`]. It has been dropped, so that the stream cannot go on.
    pub fn is_event_too_long(&self) -> bool {
        self.is_event_too_long
    }

    /// Removes the complete events from `pending`, up to one that is too long.
    fn take_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = self.find_end(start) {
            if end - start > MAX_EVENT_BYTES {
                self.is_event_too_long = true;
                return events;
            }
            let bytes = self.pending[start..end].to_vec();
            events.push(Event { id: event_id(&bytes), bytes });
            start = end;
        }
        self.pending.drain(..start);
        self.line_start -= start;
        self.searched -= start;
        events
    }

    /// End of the complete event that begins at `start`, which is after its blank line.
    fn find_end(&mut self, start: usize) -> Option<usize> {
        let is_line_end = |byte: &u8| *byte == b'\n';
        while let Some(length) = self.pending[self.searched..].iter().position(is_line_end) {
            let line_end = self.searched + length + 1;
            let line = &self.pending[self.line_start..line_end];
            let is_end = matches!(line, b"\n" | b"\r\n") && self.line_start > start;
            self.line_start = line_end;
            self.searched = line_end;
            if is_end {
                return Some(line_end);
            }
        }
        self.searched = self.pending.len();
        None
    }
}

fn is_control_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:")
}

/// The value of the last `id` field that the standard of server-sent events does not ignore.
fn event_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let last = lines.rev().filter_map(id_value).find(|value| !value.contains(&0))?;
    Some(String::from_utf8_lossy(last).trim().to_owned())
}

/// The value of an `id` line, which is empty if the line has no colon; `None` for other lines.
fn id_value(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let rest = line.strip_prefix(b"id")?;
    if rest.is_empty() {
        return Some(rest);
    }
    rest.strip_prefix(b":")
}
