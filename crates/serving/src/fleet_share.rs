//! Actions that every node of a fleet may take on its own, and that must not become more frequent
//! for the fleet as a whole when it grows.

use std::ops::Range;

/// Size of a fleet whose nodes act without regard to the others. In a larger fleet, each node waits
/// longer by the same factor.
pub const NODES_ACTING_AT_ONCE: usize = 16;

/// How many times as large as [`NODES_ACTING_AT_ONCE`] a fleet is; at least 1.
pub fn fleet_factor(nodes: usize) -> f64 {
    (nodes as f64 / NODES_ACTING_AT_ONCE as f64).max(1.0)
}

/// A delay within a range that is stretched with the size of the fleet, in the unit of the range.
/// `random` is a number from 0 to 1.
pub fn spread_delay(range: &Range<u64>, nodes: usize, random: f64) -> u64 {
    let width = (range.end - range.start) as f64 * fleet_factor(nodes);
    range.start + (width * random) as u64
}
