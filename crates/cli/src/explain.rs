//! `pitchstall explain`: prints the history of a request from the logs of all nodes.

use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `pitchstall explain`.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the request's id, followed by log files")]
    rest: Vec<String>,
}

/// A parsed log line.
struct LogEntry {
    time: String,
    /// The node that wrote the line, or the log file if the line does not name the node.
    source: String,
    fields: Map<String, Value>,
}

impl LogEntry {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }
}

/// Prints in order of time every log line about a request, the lines about the runners that it was sent
/// to from the time between its first and last line, and all lines about runners that crashed while they ran
/// the same request, under whatever id it had then.
pub fn run(arguments: &ExplainArguments) -> Result<ExitCode, CommandError> {
    let Some((id, files)) = arguments.rest.split_first().filter(|(_, files)| !files.is_empty())
    else {
        return Err(CommandError::Usage("expected a request's id and log files".to_owned()));
    };
    let mut entries = Vec::new();
    for file in files.iter().map(PathBuf::from) {
        entries.extend(read_entries(&file)?);
    }
    entries.sort_by(|left, right| left.time.cmp(&right.time));
    let related = related_entries(&entries, id);
    if related.is_empty() {
        println!("no line names the request {id}");
        return Ok(ExitCode::from(EXIT_FAILED));
    }
    related.iter().for_each(|entry| println!("{}", render(entry)));
    Ok(ExitCode::SUCCESS)
}

/// Reads the JSON lines of a log file. Text before the object of a line is a prefix of the log collector;
/// lines without an object are skipped.
fn read_entries(path: &Path) -> Result<Vec<LogEntry>, CommandError> {
    let text = crate::check::read(path)?;
    let source = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    Ok(text.lines().filter_map(|line| parse_line(line, &source)).collect())
}

fn parse_line(line: &str, file: &str) -> Option<LogEntry> {
    let start = line.find('{')?;
    let (before, object) = line.split_at(start);
    let Ok(Value::Object(fields)) = serde_json::from_str(object.trim()) else { return None };
    let time = fields.get("time")?.as_str()?.to_owned();
    // Log collectors prefix each line with the node's name, as the last word before the object.
    let node = before.split_whitespace().last();
    Some(LogEntry { time, source: node.unwrap_or(file).to_owned(), fields })
}

fn related_entries<'a>(entries: &'a [LogEntry], id: &str) -> Vec<&'a LogEntry> {
    let is_about_request = |entry: &&LogEntry| entry.text("request") == id;
    let Some(first) = entries.iter().find(is_about_request) else { return Vec::new() };
    let last = entries.iter().rfind(is_about_request).unwrap_or(first);
    let runners: BTreeSet<&str> = entries
        .iter()
        .filter(is_about_request)
        .map(|entry| entry.text("runner"))
        .filter(|runner| !runner.is_empty())
        .collect();
    let is_during_request = |entry: &LogEntry| first.time <= entry.time && entry.time <= last.time;
    let is_about_runner = |entry: &LogEntry| {
        entry.text("request").is_empty() && runners.contains(entry.text("runner"))
    };
    let identities: BTreeSet<&str> =
        entries.iter().filter(is_about_request).flat_map(request_identities).collect();
    // The same request may have crashed runners long before it arrived under this id.
    let shares_identity =
        |entry: &LogEntry| request_identities(entry).any(|it| identities.contains(it));
    let is_related = |entry: &&LogEntry| {
        is_about_request(entry)
            || shares_identity(entry)
            || (is_during_request(entry) && is_about_runner(entry))
    };
    entries.iter().filter(is_related).collect()
}

/// The request identities that a line names. An identity stays the same when a request is sent again under
/// another id.
fn request_identities(entry: &LogEntry) -> impl Iterator<Item = &str> {
    let named = entry.text("identities").split_whitespace();
    named.chain([entry.text("identity")]).filter(|identity| !identity.is_empty())
}

fn render(entry: &LogEntry) -> String {
    const SHOWN_FIRST: [&str; 5] = ["time", "level", "kind", "event", "request"];
    let mut line =
        format!("{} {} {}: {}", entry.time, entry.source, entry.text("kind"), entry.text("event"));
    for (name, value) in &entry.fields {
        if SHOWN_FIRST.contains(&name.as_str()) {
            continue;
        }
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        line.push_str(&format!(" {name}={text}"));
    }
    line
}
