//! When a node that follows others reads all entries of a subject from the store itself.
//!
//! All entries are some megabytes in a large fleet. If every follower read them, the store's link
//! would be full, the store readers would take as long as all other nodes, and the demand would
//! not fall. The gate keeps these invariants:
//!
//! - While a source is obtaining a replica, its followers wait for it.
//! - While sources reply and none of them is obtaining a replica, all followers together begin about
//!   as many reads as a fleet of [`NODES_ACTING_AT_ONCE`] nodes does.
//! - Only a node that receives no reply from any other node reads as soon as if it were alone.

use crate::fleet_share::{fleet_factor, NODES_ACTING_AT_ONCE};
use std::ops::Range;

/// Pause between two reads of a node, in percent of `bounds.contact_ms`.
const PAUSE_PERCENT: Range<f64> = 50.0..150.0;
/// Time in which a store reader whose calls have failed makes the next one, or another node takes
/// the place of a lost one, in microseconds.
const READER_RETRY_US: u64 = 1_500_000;
/// Number of sources in a row that do not reply after which the node counts as cut off, unless one
/// of a few other nodes replies.
const MAX_SILENT_SOURCES: usize = 8;

/// What an unsuccessful query has shown about the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceState {
    /// The source has no replica that can be relied on, and is reading one from the store.
    Obtaining,
    /// The source has no replica that can be relied on.
    Unconfirmed,
    /// The source did not reply.
    Silent,
}

/// What a follower knows when it has queried all its sources without success.
#[derive(Clone, Copy, Debug)]
pub struct Occasion {
    /// Time since the start of the node, in microseconds.
    pub now_us: u64,
    /// Number of known nodes, including this one.
    pub nodes: usize,
    /// `bounds.contact_ms` in microseconds.
    pub contact_us: u64,
    /// A random number from 0 to 1, which keeps nodes that started together apart.
    pub random: f64,
}

impl Occasion {
    /// A random pause within a range of percentages of `bounds.contact_ms`, in microseconds.
    pub(crate) fn pause_us(&self, percent: &Range<f64>) -> u64 {
        let percent = percent.start + self.random * (percent.end - percent.start);
        (self.contact_us as f64 * percent / 100.0) as u64
    }

    /// Random time by which the first read of a node is delayed because there are many nodes.
    fn first_delay_us(&self) -> u64 {
        if self.nodes <= NODES_ACTING_AT_ONCE {
            return 0;
        }
        let spread_us = self.contact_us as f64 * fleet_factor(self.nodes);
        READER_RETRY_US + (spread_us * self.random) as u64
    }
}

/// Decides for one subject when a follower without a usable replica may read all entries itself.
#[derive(Clone, Debug)]
pub struct FullReadGate {
    /// Earliest time of a read by a node that is cut off from the others, in microseconds.
    alone_from_us: u64,
    /// Earliest time of a read while other nodes reply and none of them is obtaining a replica, in
    /// microseconds; `None` until that has been so for a whole round of queries.
    unserved_from_us: Option<u64>,
    has_reply: bool,
    is_awaited: bool,
    silent_sources: usize,
}

impl FullReadGate {
    /// Creates the gate of a node that reads nothing before `first_us`, in microseconds.
    pub fn new(first_us: u64) -> Self {
        Self {
            alone_from_us: first_us,
            unserved_from_us: None,
            has_reply: false,
            is_awaited: false,
            silent_sources: 0,
        }
    }

    /// Records what a query has shown.
    pub fn on_source(&mut self, state: SourceState) {
        match state {
            SourceState::Silent => self.silent_sources += 1,
            SourceState::Unconfirmed => self.has_reply = true,
            SourceState::Obtaining => {
                self.has_reply = true;
                self.is_awaited = true;
            }
        }
    }

    /// Records that the node has a usable replica.
    pub fn on_replica(&mut self) {
        *self = Self::new(self.alone_from_us);
    }

    /// Whether the round ends before all sources have been queried, because none of many replied.
    pub fn has_lost_sources(&self) -> bool {
        !self.has_reply && self.silent_sources >= MAX_SILENT_SOURCES
    }

    /// Whether a node has replied in this round of queries.
    pub fn has_reply(&self) -> bool {
        self.has_reply
    }

    /// Whether a source was obtaining a replica in this round of queries.
    pub fn is_awaited(&self) -> bool {
        self.is_awaited
    }

    /// Begins a new round of queries without a read.
    pub fn begin_round(&mut self) {
        (self.has_reply, self.is_awaited, self.silent_sources) = (false, false, 0);
    }

    /// Ends a round of queries; returns whether the node may read all entries now.
    pub fn end_round(&mut self, occasion: &Occasion) -> bool {
        let (has_reply, is_awaited) = (self.has_reply, self.is_awaited);
        self.begin_round();
        if is_awaited {
            self.unserved_from_us = None;
            return false;
        }
        if has_reply {
            return self.may_read_among_others(occasion);
        }
        if occasion.now_us < self.alone_from_us {
            return false;
        }
        self.alone_from_us = occasion.now_us + occasion.pause_us(&PAUSE_PERCENT);
        true
    }

    fn may_read_among_others(&mut self, occasion: &Occasion) -> bool {
        let now_us = occasion.now_us;
        let first_us = now_us.max(self.alone_from_us) + occasion.first_delay_us();
        let due_us = *self.unserved_from_us.get_or_insert(first_us);
        if now_us < due_us {
            return false;
        }
        let pause_us = occasion.pause_us(&PAUSE_PERCENT) as f64 * fleet_factor(occasion.nodes);
        self.unserved_from_us = Some(now_us + pause_us as u64);
        true
    }
}
