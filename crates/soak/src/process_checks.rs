//! Checks of what clients have received from runner processes that end at any moment.

use crate::checks::Violation;
use crate::process_load::ProcessRoute;
use crate::run_plan::RunPlan;
use crate::runner_program::LAST_EVENT;
use crate::stream_client::Fetched;
use crate::stream_judgement::{faults_of, StreamFault, Try, TryEnd};
use std::fmt;

/// A request to runner processes and what its client has received.
#[derive(Clone, Debug)]
pub struct ProcessExchange {
    /// Route of the request.
    pub route: ProcessRoute,
    /// What its first runner does.
    pub plan: RunPlan,
    /// Index of the node that got the first request.
    pub node: usize,
    /// What the client has received.
    pub fetched: Fetched,
}

/// The guarantee that a response which its framing calls complete is the whole one.
pub const COMPLETE_IS_WHOLE: &str = "an answer that ends early does not look complete";
/// The guarantee that the events of a response are whole and in order, and of one run where no other may continue it.
pub const EVENTS_IN_ORDER: &str = "events of a runner process whole and in order";

/// The guarantee that some requests to runner processes are served while some processes end.
pub const PROCESSES_SERVE: &str = "runner processes serve and end";

/// The violations of all exchanges.
pub fn process_violations(exchanges: &[ProcessExchange]) -> Vec<Violation> {
    exchanges.iter().flat_map(violations_of).collect()
}

fn violations_of(exchange: &ProcessExchange) -> Vec<Violation> {
    let faults = faults_of(&exchange.fetched.tries, LAST_EVENT, exchange.route.is_resumable());
    let violation = |fault: StreamFault| {
        let promise = match fault {
            StreamFault::CompleteTooEarly => COMPLETE_IS_WHOLE,
            StreamFault::Missing
            | StreamFault::Repeated
            | StreamFault::Joined
            | StreamFault::MixedVersions => EVENTS_IN_ORDER,
        };
        Violation { promise, detail: format!("{fault:?}: {}", description(exchange)) }
    };
    faults.into_iter().map(violation).collect()
}

fn description(exchange: &ProcessExchange) -> String {
    let ProcessExchange { route, plan, node, fetched } = exchange;
    let tries = tries_text(&fetched.tries);
    format!("{} ({}, plan {plan}) at node {node}: {tries}", fetched.first_id, route.name())
}

/// All tries in order; several equal ones in a row as one with their number.
fn tries_text(tries: &[Try]) -> String {
    let texts: Vec<String> = tries.iter().map(try_text).collect();
    let groups = texts.chunk_by(|first, second| first == second);
    let group_text = |group: &[String]| match group {
        [one] => one.clone(),
        several => format!("{} times {}", several.len(), several[0]),
    };
    groups.map(group_text).collect::<Vec<_>>().join(", then ")
}

fn try_text(attempt: &Try) -> String {
    let Try { events, end } = attempt;
    match (events.first(), events.last()) {
        (Some(first), Some(last)) => {
            format!("{} to {} of {} {end:?}", first.number, last.number, last.version)
        }
        _ => format!("no event {end:?}"),
    }
}

/// How many exchanges ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessTally {
    /// The client has received all of the response.
    pub whole: usize,
    /// The response is not whole, and the client knows it.
    pub cut: usize,
    /// No event has arrived, and the client has got a status that is no success.
    pub refused: usize,
    /// A guarantee is violated.
    pub faulty: usize,
}

impl fmt::Display for ProcessTally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { whole, cut, refused, faulty } = self;
        write!(formatter, "{whole} whole, {cut} cut, {refused} refused, {faulty} faulty")
    }
}

/// Counts the exchanges by how they ended.
pub fn process_tally(exchanges: &[ProcessExchange]) -> ProcessTally {
    let mut tally = ProcessTally::default();
    for exchange in exchanges {
        let tries = &exchange.fetched.tries;
        let has_events = tries.iter().any(|it| !it.events.is_empty());
        let count = match tries.last().map(|it| it.end) {
            _ if !violations_of(exchange).is_empty() => &mut tally.faulty,
            Some(TryEnd::Complete) => &mut tally.whole,
            Some(TryEnd::Status(_)) if !has_events => &mut tally.refused,
            _ => &mut tally.cut,
        };
        *count += 1;
    }
    tally
}

/// A violation if no response was whole or no process has ended, since then the other checks have found nothing to check.
pub fn untested_processes(tally: ProcessTally, ended_processes: usize) -> Option<Violation> {
    let is_tested = tally.whole > 0 && ended_processes > 0;
    (!is_tested).then(|| Violation {
        promise: PROCESSES_SERVE,
        detail: format!("{ended_processes} processes ended, {tally}"),
    })
}
