//! A logger that keeps the lines with a text, each with its level and its values.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write;
use std::sync::Mutex;

/// The lines that contain a text.
pub struct LogLines {
    text: &'static str,
    lines: Mutex<Vec<String>>,
}

impl LogLines {
    pub const fn with(text: &'static str) -> Self {
        Self { text, lines: Mutex::new(Vec::new()) }
    }

    /// Makes this the logger of the process. Works once in each process.
    pub fn install(&'static self) {
        log::set_logger(self).unwrap();
        log::set_max_level(LevelFilter::Info);
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

impl Log for LogLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(format!("{} {}", record.level(), record.args()));
        record.key_values().visit(&mut line).unwrap();
        if line.0.contains(self.text) {
            self.lines.lock().unwrap().push(line.0);
        }
    }

    fn flush(&self) {}
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}
