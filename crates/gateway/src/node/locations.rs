//! Locates a node, its peers and its runners in regions, and measures the round-trip times between
//! zones.

use super::Node;
use pitchstall_serving::ids::{RegionId, RunnerId, ZoneId};
use pitchstall_serving::topology::Topology;
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl Node {
    /// The region that contains this node's zone.
    pub fn region(&self) -> RegionId {
        self.members.borrow().own_region()
    }

    /// Applies a changed assignment of zones to regions; does nothing if it is the current one.
    pub(super) fn adopt_topology(&self, topology: Topology) {
        if *self.fleet.borrow().topology() == topology {
            return;
        }
        self.members.borrow_mut().set_topology(topology.clone());
        self.fleet.borrow_mut().set_topology(topology);
        self.log_topology();
    }

    /// Logs this node's region and the configured region of each zone.
    pub fn log_topology(&self) {
        let region = self.region().to_string();
        let fleet = self.fleet.borrow();
        let zones = fleet.topology().zones().map(|(zone, region)| format!("{zone}={region}"));
        let zones = zones.collect::<Vec<_>>().join(",");
        log::info!(target: "process", region, zones; "regions in force");
    }

    /// Whether a runner is in the region that contains `zone`.
    pub fn is_in_region_of(&self, runner: &RunnerId, zone: &ZoneId) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(runner).is_some_and(|runner| fleet.topology().is_in(zone, &runner.region))
    }

    /// Records a measured round trip from this node to a zone.
    pub fn on_round_trip(&self, to: &ZoneId, took: Duration) {
        let took_ms = took.as_secs_f64() * MILLIS_PER_SECOND;
        self.fleet.borrow_mut().on_round_trip(to, took_ms, self.now_us());
    }

    /// Estimated round-trip time from this node to a zone.
    pub fn round_trip(&self, to: &ZoneId) -> Duration {
        let round_trip_ms = self.fleet.borrow().round_trip_ms(&self.zone, to, self.now_us());
        Duration::from_secs_f64(round_trip_ms / MILLIS_PER_SECOND)
    }
}
