//! Streams that their clients take up after nodes were killed or restarted while software versions joined and left.

mod clients;
mod rows;
mod steps;

use crate::fleet::{Fleet, FleetSize};
use crate::{Arguments, Counts};
use clients::{ClientPlay, Clients, StepProgress};
use std::fmt;
use std::path::Path;
use std::sync::Barrier;
use std::time::Duration;
use steps::Step;

pub use rows::scenarios;

/// Time from the first request of clients that stay until the first step; a stream has four to six of its events by then.
const BEFORE_STEPS: Duration = Duration::from_millis(150);

/// A scenario of this module.
#[derive(Clone, Debug)]
pub struct Rejoined {
    name: String,
    size: FleetSize,
    clients: Clients,
    /// What happens before the streams begin.
    before: Vec<Step>,
    /// What happens while the streams are open, or while their clients are absent.
    steps: Vec<Step>,
    /// Minimum share of streams that have to be whole, in percent.
    min_whole_percent: usize,
}

impl fmt::Display for Rejoined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rejoined {}", self.name)
    }
}

/// Begins all streams at once and performs the steps.
pub fn play(
    arguments: &Arguments,
    folder: &Path,
    number: u8,
    scenario: &Rejoined,
) -> std::io::Result<Counts> {
    let mut fleet = Fleet::start(&arguments.program, folder, number, scenario.size)?;
    scenario.before.iter().try_for_each(|step| step.perform(&mut fleet))?;
    let nodes = fleet.client_addresses();
    let begun = Barrier::new(arguments.streams + 1);
    let progress = StepProgress::default();
    let play = ClientPlay {
        nodes: &nodes,
        clients: scenario.clients,
        begun: &begun,
        progress: &progress,
        steps: scenario.steps.len(),
    };
    let mut counts = Counts::default();
    let performed = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..arguments.streams)
            .map(|stream| scope.spawn(move || play.read_stream(stream)))
            .collect();
        begun.wait();
        if scenario.clients == Clients::Stay {
            std::thread::sleep(BEFORE_STEPS);
        }
        let performed = scenario.steps.iter().try_for_each(|step| {
            let performed = step.perform(&mut fleet);
            progress.finish_step();
            performed
        });
        progress.finish_all();
        for client in clients.into_iter().filter_map(|client| client.join().ok()) {
            counts.add(&client.tries, true);
        }
        performed
    });
    counts.require_whole((arguments.streams * scenario.min_whole_percent).div_ceil(100));
    performed.map(|()| counts)
}
