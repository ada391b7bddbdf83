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
const SAME_ZONE_RTT_MS: f64 = 0.5;
const CROSS_ZONE_RTT_MS: f64 = 2.0;
const CROSS_REGION_RTT_MS: f64 = 60.0;
/// Time of which the shortest round trip counts, and that before: what makes one longer is mostly a
/// busy machine at either end, and not the way. A way that has become longer is seen after that.
const WINDOW_US: u64 = 2_000_000;
/// Time after the last round trip for which the estimate stands, and until it is forgotten,
/// microseconds: a way that nobody takes because it was long has to be tried again.
const FULL_WEIGHT_US: u64 = 10_000_000;
const EXPIRY_US: u64 = 30_000_000;

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    /// The shortest of the window before, and of this one.
    previous_min_ms: f64,
    current_min_ms: f64,
    window_start_us: u64,
    measured_at_us: u64,
}

impl RoundTrip {
    fn new(rtt_ms: f64, now_us: u64) -> Self {
        let (previous_min_ms, current_min_ms) = (rtt_ms, rtt_ms);
        Self { previous_min_ms, current_min_ms, window_start_us: now_us, measured_at_us: now_us }
    }

    fn add(&mut self, rtt_ms: f64, now_us: u64) {
        let window_us = now_us.saturating_sub(self.window_start_us);
        if window_us >= WINDOW_US * 2 {
            *self = Self::new(rtt_ms, now_us);
        } else if window_us >= WINDOW_US {
            *self = Self { previous_min_ms: self.current_min_ms, ..Self::new(rtt_ms, now_us) };
        }
        self.current_min_ms = self.current_min_ms.min(rtt_ms);
        self.measured_at_us = now_us;
    }

    /// What it counts as: with its age, more and more what is usual.
    fn at(self, default_ms: f64, now_us: u64) -> f64 {
        let estimate_ms = self.previous_min_ms.min(self.current_min_ms);
        let age_us = now_us.saturating_sub(self.measured_at_us);
        let decay_us = age_us.saturating_sub(FULL_WEIGHT_US) as f64;
        let decayed_share = (decay_us / (EXPIRY_US - FULL_WEIGHT_US) as f64).min(1.0);
        estimate_ms + (default_ms - estimate_ms) * decayed_share
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
    pub fn on_round_trip(&mut self, to: &ZoneId, rtt_ms: f64, now_us: u64) {
        let first = RoundTrip::new(rtt_ms, now_us);
        self.measured.entry(to.clone()).or_insert(first).add(rtt_ms, now_us);
    }

    /// A round trip between two zones, milliseconds.
    pub fn round_trip_ms(
        &self,
        topology: &Topology,
        from: &ZoneId,
        to: &ZoneId,
        now_us: u64,
    ) -> f64 {
        let default_ms = default_ms(topology, from, to);
        let remote_zone = match (*from == self.own, *to == self.own) {
            (true, _) => to,
            (_, true) => from,
            // Nobody measures here what lies between others.
            _ => return default_ms,
        };
        let measured = self.measured.get(remote_zone);
        measured.map_or(default_ms, |round_trip| round_trip.at(default_ms, now_us))
    }
}

fn default_ms(topology: &Topology, from: &ZoneId, to: &ZoneId) -> f64 {
    if from == to {
        SAME_ZONE_RTT_MS
    } else if topology.is_one_region(from, to) {
        CROSS_ZONE_RTT_MS
    } else {
        CROSS_REGION_RTT_MS
    }
}
