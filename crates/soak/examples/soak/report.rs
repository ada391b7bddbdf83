//! The result of a seed.

use pitchstall_soak::checks::{violations, Violation};
use pitchstall_soak::history::{Event, Outcome, TimedEvent};
use pitchstall_soak::process_checks::ProcessTally;
use pitchstall_soak::takeup_checks::TakeupTally;
use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;

/// File with the recorded events, one per line: microseconds since the start of the recording, and the event.
const EVENTS_FILE: &str = "events.log";

/// What came of the requests to runners that are processes of their own.
pub struct RunnerProcessReport {
    /// How the requests ended.
    pub tally: ProcessTally,
    /// Number of processes that have ended.
    pub ended: usize,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// What came of the streams that clients left and took up.
pub struct TakeupReport {
    /// How the streams ended.
    pub tally: TakeupTally,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// The result of a seed.
pub struct Report {
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    requests: usize,
    complete: usize,
    /// Windows whose usage was reported.
    usage_windows: usize,
    steps: usize,
    /// Runners crashed by poison requests.
    crashes: usize,
    /// Orders received by runners.
    orders: usize,
    folder: PathBuf,
    /// How the requests to runner processes ended, and how many processes ended; `None` without such processes.
    runner_processes: Option<(ProcessTally, usize)>,
    /// How the streams that were taken up ended; `None` without clients that leave their streams.
    takeups: Option<TakeupTally>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (complete, requests, steps) = (self.complete, self.requests, self.steps);
        write!(formatter, "{complete} of {requests} answered whole under {steps} actions, ")?;
        write!(formatter, "{} runners ended by requests, ", self.crashes)?;
        write!(formatter, "{} windows reported, {} orders", self.usage_windows, self.orders)?;
        if let Some((tally, ended)) = &self.runner_processes {
            write!(formatter, ", {ended} runner processes ended ({tally})")?;
        }
        if let Some(tally) = &self.takeups {
            write!(formatter, ", streams taken up: {tally}")?;
        }
        for violation in &self.violations {
            write!(formatter, "\n  {}: {}", violation.promise, violation.detail)?;
        }
        if !self.violations.is_empty() {
            write!(formatter, "\n  logs: {}", self.folder.display())?;
        }
        Ok(())
    }
}

impl Report {
    /// Checks the recorded events of a run with `steps` actions. The nodes' logs are in `folder`.
    pub fn new(events: &[TimedEvent], steps: usize, folder: PathBuf) -> Self {
        let count =
            |wanted: fn(&Event) -> bool| events.iter().filter(|(_, event)| wanted(event)).count();
        Self {
            violations: violations(events),
            requests: count(|event| matches!(event, Event::Ended { .. })),
            complete: count(|event| {
                matches!(event, Event::Ended { outcome: Outcome::Complete { status: 200, .. }, .. })
            }),
            usage_windows: reported_windows(events),
            crashes: count(|event| matches!(event, Event::RunnerCrashed { cause: Some(_), .. })),
            orders: count(|event| matches!(event, Event::OrderReceived { .. })),
            steps,
            folder,
            runner_processes: None,
            takeups: None,
        }
    }

    /// Adds the results of runners that are processes of their own.
    pub fn add_runner_processes(&mut self, report: RunnerProcessReport) {
        let RunnerProcessReport { tally, ended, violations } = report;
        self.violations.extend(violations);
        self.runner_processes = Some((tally, ended));
    }

    /// Adds the results of streams that were taken up.
    pub fn add_takeups(&mut self, report: TakeupReport) {
        self.violations.extend(report.violations);
        self.takeups = Some(report.tally);
    }

    /// Writes the events beside the nodes' logs if a guarantee was violated; otherwise removes the logs. Fails if the file
    /// of the events cannot be written.
    pub fn keep_evidence(&self, events: &[TimedEvent]) -> io::Result<()> {
        if self.violations.is_empty() {
            // Leftover logs only occupy space.
            let _ = std::fs::remove_dir_all(&self.folder);
            return Ok(());
        }
        let mut file = BufWriter::new(File::create(self.folder.join(EVENTS_FILE))?);
        for (at_us, event) in events {
            writeln!(file, "{at_us} {event:?}")?;
        }
        file.flush()
    }
}

fn reported_windows(events: &[TimedEvent]) -> usize {
    let window = |(_, event): &TimedEvent| match event {
        Event::UsageReported { window, .. } => Some(*window),
        _ => None,
    };
    events.iter().filter_map(window).collect::<BTreeSet<u64>>().len()
}
