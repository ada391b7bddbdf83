//! Structured logging to standard output, one JSON object per line.
//!
//! The rate of lines is limited for each kind (target and event). The first line of a kind in a later second says how
//! many were dropped. Logging never blocks the node: a separate thread writes from a bounded queue, and lines that find
//! the queue full are dropped.

use crate::clock::Instant;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::kv::{Key, Value, VisitSource};
use log::Record;
use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Mutex;
use std::time::Duration;

/// Maximum number of lines of one kind that are written in a second.
const MAX_LINES_PER_S: u32 = 200;
/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger with the given levels, such as `info` or `info,pitchstall_gateway=debug`. The handle must live as long as the
/// process.
pub fn start(levels: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let writer = BoundedWriter { sender, limits: Mutex::default() };
    Logger::try_with_str(levels)?.log_to_writer(Box::new(writer)).start()
}

fn write_lines(receiver: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = receiver.recv() {
        // There is no other place to report that standard output is closed.
        let _ = output.write_all(line.as_bytes());
    }
}

/// Limits the rate of lines of one kind to [`MAX_LINES_PER_S`].
struct RateLimit {
    window_start: Instant,
    written: u32,
    dropped: u32,
}

impl RateLimit {
    fn new(now: Instant) -> Self {
        Self { window_start: now, written: 0, dropped: 0 }
    }

    /// Starts a new window if the current one is over, and returns the number of lines that the old one dropped.
    fn roll_window(&mut self, now: Instant) -> u32 {
        if now.saturating_duration_since(self.window_start) < RATE_WINDOW {
            return 0;
        }
        let dropped = self.dropped;
        *self = Self::new(now);
        dropped
    }

    fn admit(&mut self) -> bool {
        let admitted = self.written < MAX_LINES_PER_S;
        if admitted {
            self.written += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }
}

struct BoundedWriter {
    sender: SyncSender<String>,
    limits: Mutex<HashMap<(String, String), RateLimit>>,
}

impl BoundedWriter {
    /// Returns whether a line may be written, and how many lines of its kind were dropped in the window before it.
    fn admit(&self, target: &str, event: &str) -> (bool, u32) {
        let now = Instant::now();
        let Ok(mut limits) = self.limits.lock() else { return (false, 0) };
        let kind = (target.to_owned(), event.to_owned());
        let limit = limits.entry(kind).or_insert_with(|| RateLimit::new(now));
        let dropped = limit.roll_window(now);
        (limit.admit(), dropped)
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let event = record.args().to_string();
        let (admitted, dropped) = self.admit(record.target(), &event);
        if !admitted {
            return Ok(());
        }
        let mut line = serde_json::Map::new();
        line.insert("time".to_owned(), now.format_rfc3339().into());
        line.insert("level".to_owned(), record.level().as_str().into());
        line.insert("kind".to_owned(), record.target().into());
        line.insert("event".to_owned(), event.into());
        if dropped > 0 {
            line.insert("left_out_before".to_owned(), dropped.into());
        }
        line.extend(fields(record).0);
        let mut text = serde_json::Value::Object(line).to_string();
        text.push('\n');
        // If the queue is full, the line is dropped, because the node must not wait for its logs.
        let _ = self.sender.try_send(text);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (_, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Fields {
    let mut fields = Fields(serde_json::Map::new());
    // Fields that cannot be formatted are omitted.
    let _ = record.key_values().visit(&mut fields);
    fields
}
