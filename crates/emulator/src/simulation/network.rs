//! The simulated network: delays and cuts.

use pitchstall_protocol::ids::ZoneId;
use std::time::Duration;

/// One end of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A node, by its place in the world.
    Node(usize),
    /// An engine, by its place in the world.
    Engine(usize),
    /// The store.
    Store,
    /// The membership list.
    Members,
}

/// Some ends of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Group {
    /// One end.
    One(Endpoint),
    /// All nodes and engines of a zone.
    Zone(ZoneId),
    /// Everything.
    All,
}

/// Messages from one group to another are lost. A cut may be one-way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Identifies the cut, to heal it.
    pub id: u64,
    /// Senders.
    pub from: Group,
    /// Receivers.
    pub to: Group,
}

/// The network.
#[derive(Clone, Debug)]
pub struct Network {
    delay_in_zone: Duration,
    delay_between_zones: Duration,
    cuts: Vec<Cut>,
    slow: Vec<Slow>,
}

/// Messages of one end are held up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slow {
    /// Identifies the trouble, to mend it.
    pub id: u64,
    /// The sender.
    pub from: Endpoint,
    /// Whether only what goes to engines is held up.
    pub only_to_engines: bool,
    /// Added to the way of each message.
    pub added: Duration,
}

/// An end with its zone; the platform is in none.
#[derive(Clone, Debug)]
pub struct Place {
    /// The end.
    pub endpoint: Endpoint,
    /// Its zone.
    pub zone: Option<ZoneId>,
}

impl Network {
    /// A whole network.
    pub fn new(delay_in_zone: Duration, delay_between_zones: Duration) -> Self {
        Self { delay_in_zone, delay_between_zones, cuts: Vec::new(), slow: Vec::new() }
    }

    /// Makes a cut.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Holds messages up.
    pub fn slow_down(&mut self, slow: Slow) {
        self.slow.push(slow);
    }

    /// Heals a cut, or lets messages pass freely again.
    pub fn heal(&mut self, id: u64) {
        self.slow.retain(|slow| slow.id != id);
        self.cuts.retain(|cut| cut.id != id);
    }

    /// Whether a message sent now arrives.
    pub fn passes(&self, from: &Place, to: &Place) -> bool {
        !self.cuts.iter().any(|cut| {
            matches(&cut.from, from)
                && matches(&cut.to, to)
                // Inside a zone that is cut off from the rest, messages still arrive.
                && !(from.zone.is_some()
                    && from.zone == to.zone
                    && (cut.from == Group::All || cut.to == Group::All))
        })
    }

    /// One-way delay.
    pub fn delay(&self, from: &Place, to: &Place) -> Duration {
        let to_engine = matches!(to.endpoint, Endpoint::Engine(_));
        let held_up = self
            .slow
            .iter()
            .filter(|slow| slow.from == from.endpoint && (to_engine || !slow.only_to_engines));
        let added: Duration = held_up.map(|slow| slow.added).sum();
        added + self.usual_delay(from, to)
    }

    fn usual_delay(&self, from: &Place, to: &Place) -> Duration {
        if from.zone.is_some() && from.zone == to.zone {
            self.delay_in_zone
        } else {
            self.delay_between_zones
        }
    }
}

fn matches(group: &Group, place: &Place) -> bool {
    match group {
        Group::One(endpoint) => *endpoint == place.endpoint,
        Group::Zone(zone) => place.zone.as_ref() == Some(zone),
        Group::All => true,
    }
}
