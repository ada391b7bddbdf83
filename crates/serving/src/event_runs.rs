//! Joins consecutive runs of one stream, so that its client receives each event once and in order.
//!
//! Only the ids of the events tell where a run continues the stream. A run whose place cannot be told from them is ended
//! before any of its events is forwarded.

use crate::event_stream::Event;
use thiserror::Error;

/// Decides which events of a stream's runs are forwarded to its client.
#[derive(Clone, Debug, Default)]
pub struct EventDeduplicator {
    position: Position,
}

/// What the client has of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// All events up to the one with this id; `None`: nothing.
    After(Option<u64>),
    /// These, and events without a numeric id after them. A run that continues the stream would send those again.
    UnnumberedAfter(Option<u64>),
    /// Events whose ids did not rise, so that no id names a place in the stream.
    Unordered,
}

impl Default for Position {
    fn default() -> Self {
        Self::After(None)
    }
}

/// Where the events of one run stand in the stream. Each run begins with the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunPlace(Place);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    /// The run has sent no event.
    #[default]
    Unknown,
    /// The run repeats events that the client has, so far up to this id. Events without an id before the last one of
    /// them are repeated too.
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
    /// The first event of the run has no numeric id, so that it may be new or not.
    #[error("the run does not begin with a numeric event id")]
    PlaceUnknown,
    /// No id tells what the client has.
    #[error("no event id tells what the client has")]
    PositionUnknown,
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
        Self { position: Position::After(last_id) }
    }

    /// The last numeric id that was forwarded; `None` if there is none, or if the ids have not risen.
    pub fn last_id(&self) -> Option<u64> {
        match self.position {
            Position::After(id) | Position::UnnumberedAfter(id) => id,
            Position::Unordered => None,
        }
    }

    /// Whether another run can continue the stream: ids tell what the client has.
    pub fn may_continue(&self) -> bool {
        matches!(self.position, Position::After(_))
    }

    /// Decides about the next event of a run. Comments and reconnection times are always forwarded.
    pub fn on_event(&mut self, run: &mut RunPlace, event: &Event) -> EventAction {
        if event.is_control() {
            return EventAction::Forward;
        }
        let id = numeric_id(event);
        match run.0 {
            Place::Unknown => self.on_first_event(run, id),
            Place::Repeating(previous) => self.on_repeated_event(run, previous, id),
            Place::Joined => self.on_next_event(id),
        }
    }

    /// Checks whether a run that has ended as its framing requires has reached the end of the stream.
    pub fn on_end(&self, run: RunPlace) -> Result<(), RunMismatch> {
        match run.0 {
            Place::Repeating(_) => Err(RunMismatch::LastEventMissing),
            Place::Unknown if !self.may_continue() => Err(RunMismatch::PositionUnknown),
            Place::Unknown | Place::Joined => Ok(()),
        }
    }

    fn on_first_event(&mut self, run: &mut RunPlace, id: Option<u64>) -> EventAction {
        let last = match self.position {
            Position::After(last) => last,
            Position::UnnumberedAfter(_) | Position::Unordered => {
                return EventAction::EndRun(RunMismatch::PositionUnknown)
            }
        };
        match (id, last) {
            (None, Some(_)) => EventAction::EndRun(RunMismatch::PlaceUnknown),
            (Some(id), Some(last)) if id <= last => repeat(run, id, last),
            _ => {
                run.0 = Place::Joined;
                self.on_next_event(id)
            }
        }
    }

    fn on_repeated_event(&self, run: &mut RunPlace, previous: u64, id: Option<u64>) -> EventAction {
        match (id, self.last_id()) {
            (Some(id), _) if id <= previous => EventAction::EndRun(RunMismatch::IdsNotRising),
            (Some(id), Some(last)) => repeat(run, id, last),
            _ => EventAction::Skip,
        }
    }

    /// Forwards an event of the run that the stream is at. All of them belong to the stream, whatever their ids.
    fn on_next_event(&mut self, id: Option<u64>) -> EventAction {
        self.position = self.position.next(id);
        EventAction::Forward
    }
}

impl Position {
    /// The position after a further event; `None`: one without a numeric id.
    fn next(self, id: Option<u64>) -> Self {
        let (Self::After(last) | Self::UnnumberedAfter(last)) = self else { return self };
        match id {
            None => Self::UnnumberedAfter(last),
            Some(id) if last.is_none_or(|last| id > last) => Self::After(Some(id)),
            Some(_) => Self::Unordered,
        }
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
