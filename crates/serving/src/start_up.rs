//! How long a store reader that refuses connections counts as one that is still starting.
//!
//! Nodes that start together do not start at the same instant. A reader that starts later than its
//! followers refuses their first connections; if another node took its place at once, both would
//! read all entries. Such a reader therefore keeps its place for a time, unless
//!
//! - this node has received a message from it, so that it has run and ended since, or
//! - this node started several seconds ago, so that other nodes do not start together with it.
//!
//! The time depends on what a wait costs: it is shortest while no source at all is obtaining a
//! replica, and longest while another reader of the same zone is there. It ends early once nearly
//! all other nodes have sent a message.

/// Time since this node's own start within which other nodes may be starting, in microseconds.
const MAX_START_UP_US: u64 = 5_000_000;
/// The same while no other reader of the zone is known to run, in microseconds.
const ZONE_START_UP_US: u64 = 2_000_000;
/// The same while no source is obtaining a replica, in microseconds.
const START_UP_US: u64 = 1_000_000;
/// Minimum share of the other nodes that have sent a message for the remaining ones to count as not
/// starting with them.
const STARTED_SHARE: f64 = 0.9;

/// What is known of sources that have refused a connection and may still be starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Starting {
    /// No source may still be starting.
    Nobody,
    /// They may still need the time that a start takes.
    InTime,
    /// They are given up unless another source is obtaining a replica.
    Overdue,
    /// They are given up, whatever the other sources do.
    Missed,
}

/// Whether a node that refuses a connection may be starting, `uptime_us` after the start of this node.
pub fn may_be_starting(uptime_us: u64) -> bool {
    uptime_us < MAX_START_UP_US
}

/// What a node knows when some of its sources may still be starting.
#[derive(Clone, Copy, Debug)]
pub struct StartUp {
    /// Time since its own start, in microseconds.
    pub uptime_us: u64,
    /// Share of the other nodes from which it has received a message, from 0 to 1.
    pub heard_share: f64,
    /// Whether another reader of its zone is not starting.
    pub has_near_reader: bool,
}

impl StartUp {
    /// Whether the sources that may still be starting are given up.
    pub fn assess(&self) -> Starting {
        let have_others_started = self.heard_share >= STARTED_SHARE;
        let is_zone_late = have_others_started || self.uptime_us >= ZONE_START_UP_US;
        if !self.has_near_reader && is_zone_late {
            return Starting::Missed;
        }
        match have_others_started || self.uptime_us >= START_UP_US {
            true => Starting::Overdue,
            false => Starting::InTime,
        }
    }
}
