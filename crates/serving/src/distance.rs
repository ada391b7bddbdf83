//! Estimates of the round-trip times between zones.
//!
//! A node measures round trips from its own zone where they occur anyway: queries to other nodes
//! and connections to runners. A pair of zones without a recent measurement has the default for its
//! kind: within a zone, within a region or between regions.

use crate::ids::ZoneId;
use crate::topology::Topology;
use std::collections::BTreeMap;

/// Default round-trip times in milliseconds: within a zone, between two zones of a region, and
/// between two regions. The one-way times in the users' deployments are 0.2 to 0.9 ms between zones
/// and 30 ms between regions.
const SAME_ZONE_RTT_MS: f64 = 0.5;
const CROSS_ZONE_RTT_MS: f64 = 2.0;
const CROSS_REGION_RTT_MS: f64 = 60.0;
/// Length of a measurement window. The estimate is the minimum of the current and the previous
/// window, because longer round trips are mostly caused by a busy machine at either end. A path
/// that has become slower is detected once both windows have passed.
const WINDOW_US: u64 = 2_000_000;
/// Age of the last measurement up to which it has its full weight, and from which the default is
/// used, in microseconds. A path that is avoided because it was slow has to be tried again.
const FULL_WEIGHT_US: u64 = 10_000_000;
const EXPIRY_US: u64 = 30_000_000;

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    /// Minimum round trip of the previous window and of the current one.
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

    /// The estimate at a given time: it decays to the default with the age of the last measurement.
    fn at(self, default_ms: f64, now_us: u64) -> f64 {
        let estimate_ms = self.previous_min_ms.min(self.current_min_ms);
        let age_us = now_us.saturating_sub(self.measured_at_us);
        let decay_us = age_us.saturating_sub(FULL_WEIGHT_US) as f64;
        let decayed_share = (decay_us / (EXPIRY_US - FULL_WEIGHT_US) as f64).min(1.0);
        estimate_ms + (default_ms - estimate_ms) * decayed_share
    }
}

/// Measured round trips from a node's zone to other zones.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    own: ZoneId,
    measured: BTreeMap<ZoneId, RoundTrip>,
}

impl Distances {
    /// Creates the estimates for a node in the zone `own`, without any measurement.
    pub fn new(own: ZoneId) -> Self {
        Self { own, measured: BTreeMap::new() }
    }

    /// Records a round trip to another zone that took `rtt_ms` milliseconds.
    pub fn on_round_trip(&mut self, to: &ZoneId, rtt_ms: f64, now_us: u64) {
        let first = RoundTrip::new(rtt_ms, now_us);
        self.measured.entry(to.clone()).or_insert(first).add(rtt_ms, now_us);
    }

    /// The estimated round-trip time between two zones, in milliseconds.
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
            // Round trips between two other zones are not measured here.
            _ => return default_ms,
        };
        let measured = self.measured.get(remote_zone);
        measured.map_or(default_ms, |round_trip| round_trip.at(default_ms, now_us))
    }
}

fn default_ms(topology: &Topology, from: &ZoneId, to: &ZoneId) -> f64 {
    if from == to {
        SAME_ZONE_RTT_MS
    } else if topology.is_same_region(from, to) {
        CROSS_ZONE_RTT_MS
    } else {
        CROSS_REGION_RTT_MS
    }
}
