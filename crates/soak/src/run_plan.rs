//! What a runner process does with a request, as the client's request tells it.

use std::fmt;
use std::str::FromStr;

/// Header of a client's request that holds the plan.
pub const PLAN_HEADER: &str = "x-run-plan";

/// How a runner delimits its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By chunks.
    Chunked,
    /// By its length.
    Length,
    /// By the end of the connection.
    Unframed,
    /// By the end of the connection, as a response of HTTP/1.0.
    Http10,
}

/// What happens to a run in the middle of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Nothing; the stream is whole.
    Whole,
    /// The process kills itself with SIGKILL, after an event.
    Kill,
    /// The same inside an event.
    KillInside,
    /// The process exits by itself.
    Exit,
    /// The connection is closed after an event; the process lives.
    Close,
    /// The connection is closed inside an event; the process lives.
    CloseInside,
    /// The connection is reset after an event; the process lives.
    Reset,
    /// The run pauses and goes on.
    Pause,
    /// The process stops (SIGSTOP) until it is killed from outside.
    Stop,
}

/// The plan of a stream's first run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// How the response is delimited.
    pub framing: Framing,
    /// What happens after the event `after`.
    pub end: RunEnd,
    /// Number of the last event before the end or the pause.
    pub after: u64,
    /// Whether each event is written in two parts with a pause between, so that a signal from outside also meets the run
    /// inside an event.
    pub is_split: bool,
}

const FRAMINGS: [(Framing, &str); 4] = [
    (Framing::Chunked, "chunked"),
    (Framing::Length, "length"),
    (Framing::Unframed, "unframed"),
    (Framing::Http10, "http10"),
];
const SPLIT: &str = "split";
const ENDS: [(RunEnd, &str); 9] = [
    (RunEnd::Whole, "whole"),
    (RunEnd::Kill, "kill"),
    (RunEnd::KillInside, "kill-inside"),
    (RunEnd::Exit, "exit"),
    (RunEnd::Close, "close"),
    (RunEnd::CloseInside, "close-inside"),
    (RunEnd::Reset, "reset"),
    (RunEnd::Pause, "pause"),
    (RunEnd::Stop, "stop"),
];

fn name_of<T: PartialEq + Copy>(names: &[(T, &'static str)], value: T) -> &'static str {
    names.iter().find(|(it, _)| *it == value).map_or("", |(_, name)| name)
}

fn value_of<T: PartialEq + Copy>(names: &[(T, &'static str)], name: &str) -> Option<T> {
    names.iter().find(|(_, it)| *it == name).map(|(value, _)| *value)
}

impl fmt::Display for RunPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}",
            name_of(&FRAMINGS, self.framing),
            name_of(&ENDS, self.end),
            self.after
        )?;
        if self.is_split {
            write!(f, " {SPLIT}")?;
        }
        Ok(())
    }
}

/// The text is no plan.
#[derive(Debug)]
pub struct InvalidPlan;

impl FromStr for RunPlan {
    type Err = InvalidPlan;

    fn from_str(text: &str) -> Result<Self, InvalidPlan> {
        let mut words = text.split(' ');
        let mut next = || words.next().ok_or(InvalidPlan);
        let framing = value_of(&FRAMINGS, next()?).ok_or(InvalidPlan)?;
        let end = value_of(&ENDS, next()?).ok_or(InvalidPlan)?;
        let after = next()?;
        Ok(Self {
            framing,
            end,
            after: after.parse().map_err(|_| InvalidPlan)?,
            is_split: match words.next() {
                None => false,
                Some(SPLIT) => true,
                Some(_) => return Err(InvalidPlan),
            },
        })
    }
}
