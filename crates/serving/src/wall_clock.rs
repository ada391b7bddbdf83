//! Wall-clock time that is consistent across nodes.
//!
//! A machine's wall clock may jump by seconds, in either direction. Each node reports its own wall
//! clock to the others. A node uses its own clock while that is close to the median of all clocks,
//! and the median otherwise. Between two evaluations it uses the monotonic clock, so a jump has no
//! immediate effect. Nodes report only their machine's clock, never a time derived from others, so
//! that a wrong clock cannot spread.

use crate::ids::NodeId;
use std::collections::HashMap;

/// Maximum deviation from the median at which a node still uses its own clock, in milliseconds.
/// Reports take about 10 ms on a busy machine, and clock jumps are of a second or more.
const MAX_DEVIATION_MS: i64 = 250;
/// Time for which another node's clock report is used, in microseconds. In fleets of several
/// hundred nodes, digests reach each node every few seconds.
const CLOCK_REPORT_TTL_US: u64 = 30_000_000;
/// Time between two evaluations of all clocks, in microseconds.
const EVALUATION_INTERVAL_US: u64 = 500_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Estimates the wall-clock time from this machine's clock and the reports of other nodes. Offsets
/// are relative to the node's monotonic clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    peers: HashMap<NodeId, PeerClock>,
    estimate: Option<Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct PeerClock {
    offset_ms: i64,
    received_at_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    offset_ms: i64,
    evaluated_at_us: u64,
}

fn offset_ms(wall_ms: u64, now_us: u64) -> i64 {
    wall_ms as i64 - (now_us / MICROS_PER_MILLI) as i64
}

impl WallClock {
    /// Records another machine's wall clock, in milliseconds since 1970.
    pub fn on_peer_clock(&mut self, node: &NodeId, wall_ms: u64, now_us: u64) {
        let offset_ms = offset_ms(wall_ms, now_us);
        self.peers.insert(node.clone(), PeerClock { offset_ms, received_at_us: now_us });
    }

    /// The current time in milliseconds since 1970. `own_ms` is the time on this machine's own wall
    /// clock.
    pub fn now_ms(&mut self, own_ms: u64, now_us: u64) -> u64 {
        let is_due =
            |estimate: Estimate| now_us >= estimate.evaluated_at_us + EVALUATION_INTERVAL_US;
        let estimate = match self.estimate {
            Some(estimate) if !is_due(estimate) => estimate,
            _ => self.evaluate(own_ms, now_us),
        };
        u64::try_from(estimate.offset_ms + (now_us / MICROS_PER_MILLI) as i64).unwrap_or_default()
    }

    fn evaluate(&mut self, own_ms: u64, now_us: u64) -> Estimate {
        self.peers.retain(|_, clock| now_us < clock.received_at_us + CLOCK_REPORT_TTL_US);
        let own = offset_ms(own_ms, now_us);
        let mut all: Vec<i64> = self.peers.values().map(|clock| clock.offset_ms).collect();
        all.push(own);
        all.sort_unstable();
        let median = all[all.len() / 2];
        let offset_ms = if (own - median).abs() <= MAX_DEVIATION_MS { own } else { median };
        let estimate = Estimate { offset_ms, evaluated_at_us: now_us };
        self.estimate = Some(estimate);
        estimate
    }
}
