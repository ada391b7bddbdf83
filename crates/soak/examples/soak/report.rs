//! What came of a seed.

use pitchstall_soak::checks::{violations, Violation};
use pitchstall_soak::history::{Entry, Event, Outcome};
use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

/// What came of a seed.
pub struct Report {
    /// Broken promises.
    pub violations: Vec<Violation>,
    requests: usize,
    whole: usize,
    /// Windows whose usage was reported.
    windows: usize,
    steps: usize,
    /// Runners that ended under requests that end them.
    ended: usize,
    /// Orders that reached runners.
    orders: usize,
    folder: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, requests, steps) = (self.whole, self.requests, self.steps);
        write!(formatter, "{whole} of {requests} answered whole under {steps} actions, ")?;
        write!(formatter, "{} runners ended by requests, ", self.ended)?;
        write!(formatter, "{} windows reported, {} orders", self.windows, self.orders)?;
        for violation in &self.violations {
            write!(formatter, "\n  {}: {}", violation.promise, violation.what)?;
        }
        if !self.violations.is_empty() {
            write!(formatter, "\n  logs: {}", self.folder.display())?;
        }
        Ok(())
    }
}

impl Report {
    /// The report of a history under so many actions; the nodes' logs are in `folder`.
    pub fn of(entries: &[Entry], steps: usize, folder: PathBuf) -> Self {
        let count =
            |wanted: fn(&Event) -> bool| entries.iter().filter(|(_, event)| wanted(event)).count();
        Self {
            violations: violations(entries),
            requests: count(|event| matches!(event, Event::Ended { .. })),
            whole: count(|event| {
                matches!(event, Event::Ended { outcome: Outcome::Whole { status: 200, .. }, .. })
            }),
            windows: reported_windows(entries),
            ended: count(|event| matches!(event, Event::Crashed { under: Some(_), .. })),
            orders: count(|event| matches!(event, Event::Ordered { .. })),
            steps,
            folder,
        }
    }

    /// Removes the nodes' logs if no promise was broken.
    pub fn keep_logs_of_violations(&self) {
        if self.violations.is_empty() {
            // What is left over is only in the way.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn reported_windows(entries: &[Entry]) -> usize {
    let window = |(_, event): &Entry| match event {
        Event::Reported { window, .. } => Some(*window),
        _ => None,
    };
    entries.iter().filter_map(window).collect::<BTreeSet<u64>>().len()
}
