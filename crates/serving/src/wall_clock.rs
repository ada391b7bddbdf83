//! The time of day that all nodes agree on.
//!
//! A machine's time of day may jump by seconds, and back. Each node tells the others what its own
//! says; a node goes by its own as long as that is close to the median of all, and by the median
//! otherwise. Between two looks it goes by the steady clock, so a jump changes nothing at once.
//! Nodes tell what their machine says, never what they have worked out from others: a wrong clock
//! cannot spread.

use crate::ids::NodeId;
use std::collections::HashMap;

/// How far a clock may be from the median of all and still be gone by, milliseconds. Words take
/// some ten milliseconds on a busy machine, and jumps are of a second and more.
const MAX_DEVIATION_MS: i64 = 250;
/// Time for which another node's word counts, microseconds: digests reach each node every few
/// seconds in fleets of some hundred.
const CLOCK_REPORT_TTL_US: u64 = 30_000_000;
/// Between two looks at all clocks, microseconds.
const EVALUATION_INTERVAL_US: u64 = 500_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// What a node knows of the time of day. Offsets are from its steady clock, in milliseconds.
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
    /// Another node told what its machine's clock says, milliseconds since 1970.
    pub fn on_peer_clock(&mut self, node: &NodeId, wall_ms: u64, now_us: u64) {
        let offset_ms = offset_ms(wall_ms, now_us);
        self.peers.insert(node.clone(), PeerClock { offset_ms, received_at_us: now_us });
    }

    /// The time of day, milliseconds since 1970. `own_ms` is what this machine's clock says.
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
