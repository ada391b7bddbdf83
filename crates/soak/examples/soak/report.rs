//! The result of a seed.

use pitchstall_soak::checks::{violations, Violation};
use pitchstall_soak::history::{Event, Outcome, TimedEvent};
use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

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
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (complete, requests, steps) = (self.complete, self.requests, self.steps);
        write!(formatter, "{complete} of {requests} answered whole under {steps} actions, ")?;
        write!(formatter, "{} runners ended by requests, ", self.crashes)?;
        write!(formatter, "{} windows reported, {} orders", self.usage_windows, self.orders)?;
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
        }
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
