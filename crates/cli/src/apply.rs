//! Submitting a configuration and following its spread.

use crate::ctl::Fleet;
use crate::{CommandError, EXIT_FAILED};
use ntex::time::{sleep, Millis};
use pitchstall_protocol::configuration::{Configuration, Document};
use pitchstall_protocol::ids::{ChangeId, Revision};
use pitchstall_protocol::operator::{ApplyOutcome, ApplyRequest, SpreadStatus};
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Exit code when it is not known whether a change was committed.
const EXIT_UNKNOWN: u8 = 3;

/// Submits a configuration; then waits, if asked to, until it is in force everywhere.
pub async fn submit(
    fleet: &Fleet,
    expected_revision: Revision,
    configuration: Configuration,
    wait_s: u64,
) -> Result<ExitCode, CommandError> {
    let request = ApplyRequest { expected_revision, change: new_change_id(), configuration };
    let mut outcome: ApplyOutcome = fleet.post("/configuration", &request).await?;
    // The same change id again: the answer tells what became of the first submission.
    const TRIES: usize = 5;
    for _ in 0..TRIES {
        if outcome != ApplyOutcome::Unknown {
            break;
        }
        outcome = fleet.post("/configuration", &request).await?;
    }
    match outcome {
        ApplyOutcome::Committed { revision } => {
            println!("committed as revision {revision}");
            follow_spread(fleet, revision, wait_s).await
        }
        ApplyOutcome::Conflict { current } => {
            eprintln!("not committed: revision {current} stands, expected {expected_revision}");
            Ok(ExitCode::from(EXIT_FAILED))
        }
        ApplyOutcome::Invalid { problems } => {
            for problem in problems {
                eprintln!("{problem}");
            }
            Ok(ExitCode::from(EXIT_FAILED))
        }
        ApplyOutcome::Unavailable => {
            eprintln!("not committed: the key-value service cannot be reached");
            Ok(ExitCode::from(EXIT_FAILED))
        }
        ApplyOutcome::Unknown => {
            eprintln!("not known whether it was committed; submit change {} again", request.change);
            Ok(ExitCode::from(EXIT_UNKNOWN))
        }
    }
}

/// An identifier that no other submission has: the time to the nanosecond and the process.
fn new_change_id() -> ChangeId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ChangeId::new(format!("{:x}-{:x}", since_epoch.as_nanos(), std::process::id()))
}

async fn follow_spread(
    fleet: &Fleet,
    revision: Revision,
    wait_s: u64,
) -> Result<ExitCode, CommandError> {
    const POLL: Millis = Millis(250);
    let started = Instant::now();
    loop {
        let status: SpreadStatus = fleet.get("/configuration/spread").await?;
        let everywhere = status.revision >= revision && status.in_force_everywhere;
        if everywhere {
            println!("in force everywhere after {:.2} s", started.elapsed().as_secs_f64());
            return Ok(ExitCode::SUCCESS);
        }
        if started.elapsed().as_secs() >= wait_s {
            report_unconfirmed(&status);
            return Ok(if wait_s == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) });
        }
        sleep(POLL).await;
    }
}

fn report_unconfirmed(status: &SpreadStatus) {
    for zone in &status.unconfirmed {
        let behind: Vec<&str> = zone.behind.iter().map(|node| node.as_str()).collect();
        let behind = behind.join(", ");
        println!("not confirmed by {}: at revision {} {behind}", zone.zone, zone.lowest_revision);
    }
    if status.in_force_for_data_movement {
        println!("no data moves between zones under an older revision");
    }
}

/// A past revision as the content of a new one.
pub async fn roll_back(fleet: &Fleet, to: Revision, wait_s: u64) -> Result<ExitCode, CommandError> {
    let past: Document = fleet.get(&format!("/configuration/history/{to}")).await?;
    let present: Document = fleet.get("/configuration").await?;
    submit(fleet, present.revision, past.configuration, wait_s).await
}
