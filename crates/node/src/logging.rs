//! Structured logs: one line an event.

use crate::settings::{LogFormat, LogSection};
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::kv::{Key, Value, VisitSource};
use log::Record;
use std::io::Write;

/// Starts the logger. The handle must live as long as the process.
pub fn start(section: &LogSection) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(&section.levels)?.log_to_stderr();
    match section.format {
        LogFormat::Json => logger.format(json_line).start(),
        LogFormat::Text => logger.format(text_line).start(),
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

fn fields_of(record: &Record<'_>) -> Fields {
    let mut fields = Fields(serde_json::Map::new());
    // A field that cannot be shown is left out.
    let _ = record.key_values().visit(&mut fields);
    fields
}

fn json_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let mut line = serde_json::Map::new();
    line.insert("time".to_owned(), now.format_rfc3339().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("module".to_owned(), record.module_path().unwrap_or_default().into());
    line.insert("event".to_owned(), record.args().to_string().into());
    line.extend(fields_of(record).0);
    write!(writer, "{}", serde_json::Value::Object(line))
}

fn text_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%H:%M:%S%.3f");
    write!(writer, "{time} {:5} {}", record.level(), record.args())?;
    for (key, value) in fields_of(record).0 {
        write!(writer, " {key}={value}")?;
    }
    Ok(())
}
