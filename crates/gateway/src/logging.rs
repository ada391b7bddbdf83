//! Structured logs on standard output: one JSON line a decision.
//!
//! Lines are bounded by kind (target and event): so many a second, and then one line that
//! tells how many were left out. Writing never holds the node up: a thread of its own writes
//! from a bounded queue, and lines that find it full are counted and left out.

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

/// Lines of one kind that are written in a second.
const MAX_LINES_PER_S: u32 = 200;
/// Lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts the logger. The handle must live as long as the process.
pub fn start(levels: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let writer = BoundedWriter { sender, limits: Mutex::default() };
    Logger::try_with_str(levels)?.log_to_writer(Box::new(writer)).start()
}

fn write_lines(receiver: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = receiver.recv() {
        // Nobody is left to tell when standard output is gone.
        let _ = output.write_all(line.as_bytes());
    }
}

/// What one kind of line may still write in its second.
struct RateLimit {
    window_start: Instant,
    written: u32,
    dropped: u32,
}

impl RateLimit {
    fn new(now: Instant) -> Self {
        Self { window_start: now, written: 0, dropped: 0 }
    }

    /// Begins a new second if it is time; returns how many lines the last one left out.
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
    /// Whether a line may be written, and how many of its kind were left out before.
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
        // A full queue loses the line: the node must not wait for its logs.
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
    // A field that cannot be shown is left out.
    let _ = record.key_values().visit(&mut fields);
    fields
}
