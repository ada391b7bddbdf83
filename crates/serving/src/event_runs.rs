//! Joins consecutive runs of one stream, so that its client receives each event once and in order.
//!
//! Only the ids of the events tell where a run continues the stream. A run whose place cannot be told from them is ended
//! before any of its events is forwarded.

use crate::event_stream::Event;
use thiserror::Error;

/// Decides which events of a stream's runs are forwarded to its client.
#[derive(Clone, Debug, Default)]
pub struct EventDeduplicator {
    /// Id of the last event that the client has; `None` if it has none.
    last_id: Option<u64>,
}

/// Where the events of one run stand in the stream. Each run begins with the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunPlace(Place);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    /// The run has sent no event with an id.
    #[default]
    Unknown,
    /// The run repeats events that the client has, so far up to this id.
    Repeating(u64),
    /// The next event of the run is the next one of the stream.
    Joined,
}

/// What to do with an event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// The event is new; forward it.
    Forward,
    /// The client has already received the event.
    Skip,
    /// End the run without forwarding the event.
    EndRun(RunMismatch),
}

/// Why a run does not continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RunMismatch {
    /// The run numbers its events in another way than the earlier runs, or is shorter than what the client has.
    #[error("the run repeats earlier events, but not the last one that the client has")]
    LastEventMissing,
    /// The ids of the repeated events do not tell their order.
    #[error("the ids of the repeated events do not rise")]
    IdsNotRising,
}

impl EventDeduplicator {
    /// A stream that continues after the event with this id; `None`: from its start.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id }
    }

    /// Id of the last event that was forwarded; `None` if there is none.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Decides about the next event of a run. An event without a numeric id is always forwarded.
    pub fn on_event(&mut self, run: &mut RunPlace, event: &Event) -> EventAction {
        let Some(id) = numeric_id(event) else { return EventAction::Forward };
        let Some(last) = self.last_id else { return self.join(run, id) };
        match run.0 {
            Place::Joined if id <= last => EventAction::Skip,
            Place::Joined => self.join(run, id),
            Place::Unknown if id > last => self.join(run, id),
            Place::Repeating(previous) if id <= previous => {
                EventAction::EndRun(RunMismatch::IdsNotRising)
            }
            Place::Unknown | Place::Repeating(_) => repeat(run, id, last),
        }
    }

    /// Checks whether a run that has ended as its framing requires has reached the end of the stream.
    pub fn on_end(&self, run: RunPlace) -> Result<(), RunMismatch> {
        match run.0 {
            Place::Repeating(_) => Err(RunMismatch::LastEventMissing),
            Place::Unknown | Place::Joined => Ok(()),
        }
    }

    fn join(&mut self, run: &mut RunPlace, id: u64) -> EventAction {
        run.0 = Place::Joined;
        self.last_id = Some(id);
        EventAction::Forward
    }
}

/// Decides about an event of a run that began with events that the client has, of which `last` is the last one.
fn repeat(run: &mut RunPlace, id: u64, last: u64) -> EventAction {
    if id > last {
        return EventAction::EndRun(RunMismatch::LastEventMissing);
    }
    run.0 = if id == last { Place::Joined } else { Place::Repeating(id) };
    EventAction::Skip
}

fn numeric_id(event: &Event) -> Option<u64> {
    event.id.as_deref()?.parse().ok()
}
