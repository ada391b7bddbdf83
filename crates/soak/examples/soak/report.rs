//! The result of a seed.

use pitchstall_soak::checks::{violations, Violation};
use pitchstall_soak::history::{Event, Outcome, TimedEvent};
use pitchstall_soak::process_checks::ProcessTally;
use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

/// What came of the requests to runners that are processes of their own.
pub struct RunnerProcessReport {
    /// How the requests ended.
    pub tally: ProcessTally,
    /// Number of processes that have ended.
    pub ended: usize,
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
        }
    }

    /// Adds the results of runners that are processes of their own.
    pub fn add_runner_processes(&mut self, report: RunnerProcessReport) {
        let RunnerProcessReport { tally, ended, violations } = report;
        self.violations.extend(violations);
        self.runner_processes = Some((tally, ended));
    }

    /// Removes the nodes' logs if no guarantee was violated.
    pub fn remove_logs_without_violations(&self) {
        if self.violations.is_empty() {
            // Leftover logs only occupy space.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn reported_windows(events: &[TimedEvent]) -> usize {
    let window = |(_, event): &TimedEvent| match event {
        Event::UsageReported { window, .. } => Some(*window),
        _ => None,
    };
    events.iter().filter_map(window).collect::<BTreeSet<u64>>().len()
}
