//! How a runner delimits its successful responses, by which a head that has lost lines is recognized.
//!
//! A response without a length and without chunks ends with its connection. A runner may delimit its responses so, always or
//! now and then. But a head that has lost its last lines looks the same, and what follows it may be anything. What one life
//! of a runner has sent before tells the two apart. A node that has seen no response of it yet knows nothing, which is a value
//! of its own.

use std::collections::BTreeSet;

/// Maximum number of header names that are remembered of a runner's responses.
const MAX_NAMES: usize = 64;

/// Number of responses after which something that all of them have had counts as something that the runner always sends. A
/// single response may carry a header by chance.
const MIN_RESPONSES: u32 = 3;

/// Kind of a successful response. A runner may delimit each kind in its own way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A stream of events.
    Stream,
    /// Any other response.
    Plain,
}

/// What a response's head without a length and without chunks says of itself.
#[derive(Clone, Debug)]
pub struct UnframedHead<'a> {
    /// Names of its headers, in lower case.
    pub names: Vec<&'a str>,
    /// Whether the head says that the connection ends with the response, by `connection: close` or as HTTP/1.0.
    pub announces_end: bool,
}

/// Why the head of a successful response is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadDamage {
    /// The runner always frames its responses of the kind or says that their connections end, and the head does neither.
    #[error(
        "response head without a word of where the response ends, which the runner always sends"
    )]
    FramingMissing,
    /// The head lacks a header that all framed responses of the kind have had, of which there were some.
    #[error("response head without a line that the runner always sends")]
    LineMissing,
}

impl HeadDamage {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::FramingMissing => "framing_missing",
            Self::LineMissing => "line_missing",
        }
    }
}

/// The headers that all framed responses of a runner have had.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsualHeaders {
    names: BTreeSet<String>,
    /// Number of responses that have been seen.
    responses: u32,
}

impl UsualHeaders {
    fn on_response(&mut self, received: &[&str]) {
        if self.responses == 0 {
            self.names = received.iter().take(MAX_NAMES).map(|name| (*name).to_owned()).collect();
        }
        self.names.retain(|name| received.contains(&name.as_str()));
        self.responses = self.responses.saturating_add(1);
    }

    /// Whether a head has them all; true while too few responses have been seen.
    fn are_in(&self, received: &[&str]) -> bool {
        let has = |name: &String| received.contains(&name.as_str());
        self.responses < MIN_RESPONSES || self.names.iter().all(has)
    }
}

/// What is known of a runner that delimits responses by the end of their connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnframedHabit {
    /// The headers of its framed responses.
    usual: UsualHeaders,
    /// Number of its responses that have ended with their connections and were proven to be whole.
    responses: u32,
    /// Whether one of them has not said that its connection ends.
    has_unannounced: bool,
}

impl UnframedHabit {
    fn on_response(&mut self, announces_end: bool) {
        self.responses = self.responses.saturating_add(1);
        self.has_unannounced |= !announces_end;
    }

    /// Whether the runner always says that a connection ends. One that frames some of its responses keeps the connection
    /// open unless it says so.
    fn always_announces(&self) -> bool {
        let is_known = self.usual.responses > 0 || self.responses >= MIN_RESPONSES;
        is_known && !self.has_unannounced
    }
}

/// How a runner has delimited its responses of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum FramingHabit {
    /// No whole response has been seen.
    #[default]
    Unknown,
    /// All have had a length or chunks.
    Framed(UsualHeaders),
    /// Some have ended with their connections and were proven to be whole.
    Unframed(UnframedHabit),
}

impl FramingHabit {
    /// Name of the habit in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Framed(_) => "framed",
            Self::Unframed(_) => "unframed",
        }
    }

    /// Records a response with a length or chunks, by the names of its headers without those that concern its connection or
    /// its framing.
    pub fn on_framed(&mut self, received: &[&str]) {
        match self {
            Self::Unknown => {
                let mut usual = UsualHeaders::default();
                usual.on_response(received);
                *self = Self::Framed(usual);
            }
            Self::Framed(usual) => usual.on_response(received),
            Self::Unframed(habit) => habit.usual.on_response(received),
        }
    }

    /// Records a response that has ended with its connection and is proven to be whole.
    pub fn on_unframed(&mut self, announces_end: bool) {
        let mut habit = match std::mem::take(self) {
            Self::Unknown => UnframedHabit::default(),
            Self::Framed(usual) => UnframedHabit { usual, ..UnframedHabit::default() },
            Self::Unframed(habit) => habit,
        };
        habit.on_response(announces_end);
        *self = Self::Unframed(habit);
    }

    /// Checks a head without framing. Nothing shows damage while the habit is unknown.
    pub fn check_head(&self, head: &UnframedHead<'_>) -> Result<(), HeadDamage> {
        let (usual, always_announces) = match self {
            Self::Unknown => return Ok(()),
            Self::Framed(usual) => (usual, true),
            Self::Unframed(habit) => (&habit.usual, habit.always_announces()),
        };
        if always_announces && !head.announces_end {
            return Err(HeadDamage::FramingMissing);
        }
        usual.are_in(&head.names).then_some(()).ok_or(HeadDamage::LineMissing)
    }

    /// Whether an empty response without framing may be whole. Only the rest of a stream of which nothing is left is empty
    /// by nature, and only a runner that is known to send responses without framing ends it so.
    pub fn allows_empty(&self, is_rest_of_stream: bool, announces_end: bool) -> bool {
        matches!(self, Self::Unframed(_)) && is_rest_of_stream && announces_end
    }
}

/// The habits of one life of a runner, by the kind of response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FramingHabits {
    stream: FramingHabit,
    plain: FramingHabit,
}

impl FramingHabits {
    /// The habit for a kind of response.
    pub fn of(&self, kind: ResponseKind) -> &FramingHabit {
        match kind {
            ResponseKind::Stream => &self.stream,
            ResponseKind::Plain => &self.plain,
        }
    }

    /// The habit for a kind of response, to be updated.
    pub fn of_mut(&mut self, kind: ResponseKind) -> &mut FramingHabit {
        match kind {
            ResponseKind::Stream => &mut self.stream,
            ResponseKind::Plain => &mut self.plain,
        }
    }
}
