//! Checks of streams that clients left and took up again, beside releases and restarts.

use crate::checks::Violation;
use crate::process_checks::{process_violations, ProcessExchange};
use crate::stream_judgement::TryEnd;
use std::fmt;

/// The guarantee that streams are taken up in situations in which they could be joined from two versions.
pub const STREAMS_TAKEN_UP: &str = "streams are taken up beside releases";

/// The registry at the time of a takeup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeupSituation {
    /// Whether runners of the version that began the stream are registered.
    pub has_own_version: bool,
    /// Whether runners of another version are registered.
    pub has_other_version: bool,
}

impl TakeupSituation {
    /// Whether runners of other versions alone could continue the stream.
    fn is_mixed(self) -> bool {
        self.has_other_version && !self.has_own_version
    }
}

/// A stream that its client left and took up again.
#[derive(Clone, Debug)]
pub struct TakenUpStream {
    /// The registry when the client came back.
    pub situation: TakeupSituation,
    /// The request and what the client has received.
    pub exchange: ProcessExchange,
}

/// How many streams that were taken up ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakeupTally {
    /// The client has received all events.
    pub whole: usize,
    /// The last takeup was refused.
    pub refused: usize,
    /// The last takeup broke off.
    pub cut: usize,
    /// A guarantee is violated.
    pub faulty: usize,
    /// Of all these, those at whose takeup runners of other versions alone were registered.
    pub mixed: usize,
}

impl fmt::Display for TakeupTally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { whole, refused, cut, faulty, mixed } = self;
        write!(formatter, "{whole} whole, {refused} refused, {cut} cut, {faulty} faulty, ")?;
        write!(formatter, "{mixed} of them without runners of their version")
    }
}

/// Counts the streams by how they ended.
pub fn takeup_tally(streams: &[TakenUpStream]) -> TakeupTally {
    let mut tally = TakeupTally::default();
    for stream in streams {
        let count = match stream.exchange.fetched.tries.last().map(|it| it.end) {
            _ if !violations_of(stream).is_empty() => &mut tally.faulty,
            Some(TryEnd::Complete) => &mut tally.whole,
            Some(TryEnd::Status(_)) => &mut tally.refused,
            _ => &mut tally.cut,
        };
        *count += 1;
        tally.mixed += usize::from(stream.situation.is_mixed());
    }
    tally
}

/// The violations of all streams that were taken up: events of two versions, events that came twice, and missing ones.
pub fn takeup_violations(streams: &[TakenUpStream]) -> Vec<Violation> {
    streams.iter().flat_map(violations_of).collect()
}

fn violations_of(stream: &TakenUpStream) -> Vec<Violation> {
    process_violations(std::slice::from_ref(&stream.exchange))
}

/// A violation if no stream was taken up, or none without runners of its version, since then the other checks have found
/// nothing to check.
pub fn untested_takeups(tally: TakeupTally) -> Option<Violation> {
    let TakeupTally { whole, refused, cut, faulty, mixed } = tally;
    let is_tested = whole + refused + cut + faulty > 0 && mixed > 0;
    (!is_tested)
        .then(|| Violation { promise: STREAMS_TAKEN_UP, detail: format!("untested: {tally}") })
}
