//! How far zones are from each other.
//!
//! A node measures round trips from its own zone where it sees them anyway: questions that other
//! nodes answer, and connections that it opens to runners. A pair of zones that it has not
//! measured lately counts as what is usual inside a region, or between two.

use crate::ids::ZoneId;
use crate::topology::Topology;
use std::collections::BTreeMap;

/// Round trips that are usual, milliseconds: inside a zone, between two zones of a region, and
/// between two regions. The users' deployments have 0.2 to 0.9 ms one way between zones, and 30 ms
/// between regions.
const SAME_ZONE_MS: f64 = 0.5;
const OTHER_ZONE_MS: f64 = 2.0;
const OTHER_REGION_MS: f64 = 60.0;
/// Time of which the shortest round trip counts, and that before: what makes one longer is mostly a
/// busy machine at either end, and not the way. A way that has become longer is seen after that.
const WINDOW_US: u64 = 2_000_000;
/// Time after the last round trip for which the estimate stands, and until it is forgotten,
/// microseconds: a way that nobody takes because it was long has to be tried again.
const STANDS_US: u64 = 10_000_000;
const FORGOTTEN_US: u64 = 30_000_000;

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    /// The shortest of the window before, and of this one.
    before_ms: f64,
    shortest_ms: f64,
    window_from_us: u64,
    seen_at_us: u64,
}

impl RoundTrip {
    fn new(took_ms: f64, now_us: u64) -> Self {
        let (before_ms, shortest_ms) = (took_ms, took_ms);
        Self { before_ms, shortest_ms, window_from_us: now_us, seen_at_us: now_us }
    }

    fn add(&mut self, took_ms: f64, now_us: u64) {
        let window_us = now_us.saturating_sub(self.window_from_us);
        if window_us >= WINDOW_US * 2 {
            *self = Self::new(took_ms, now_us);
        } else if window_us >= WINDOW_US {
            *self = Self { before_ms: self.shortest_ms, ..Self::new(took_ms, now_us) };
        }
        self.shortest_ms = self.shortest_ms.min(took_ms);
        self.seen_at_us = now_us;
    }

    /// What it counts as: with its age, more and more what is usual.
    fn at(self, usual_ms: f64, now_us: u64) -> f64 {
        let estimate_ms = self.before_ms.min(self.shortest_ms);
        let age_us = now_us.saturating_sub(self.seen_at_us);
        let aged_us = age_us.saturating_sub(STANDS_US) as f64;
        let forgotten = (aged_us / (FORGOTTEN_US - STANDS_US) as f64).min(1.0);
        estimate_ms + (usual_ms - estimate_ms) * forgotten
    }
}

/// Round trips from a node's zone to the others.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    own: ZoneId,
    measured: BTreeMap<ZoneId, RoundTrip>,
}

impl Distances {
    /// Distances of a node in this zone; nothing is measured yet.
    pub fn new(own: ZoneId) -> Self {
        Self { own, measured: BTreeMap::new() }
    }

    /// A round trip to another zone took so long.
    pub fn on_round_trip(&mut self, to: &ZoneId, took_ms: f64, now_us: u64) {
        let first = RoundTrip::new(took_ms, now_us);
        self.measured.entry(to.clone()).or_insert(first).add(took_ms, now_us);
    }

    /// A round trip between two zones, milliseconds.
    pub fn round_trip_ms(
        &self,
        topology: &Topology,
        one: &ZoneId,
        other: &ZoneId,
        now_us: u64,
    ) -> f64 {
        let usual_ms = usual_ms(topology, one, other);
        let far_end = match (*one == self.own, *other == self.own) {
            (true, _) => other,
            (_, true) => one,
            // Nobody measures here what lies between others.
            _ => return usual_ms,
        };
        let measured = self.measured.get(far_end);
        measured.map_or(usual_ms, |round_trip| round_trip.at(usual_ms, now_us))
    }
}

fn usual_ms(topology: &Topology, one: &ZoneId, other: &ZoneId) -> f64 {
    if one == other {
        SAME_ZONE_MS
    } else if topology.is_same_region(one, other) {
        OTHER_ZONE_MS
    } else {
        OTHER_REGION_MS
    }
}
