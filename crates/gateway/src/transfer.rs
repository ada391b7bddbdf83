//! Headway of an answer whose size this node does not choose: a copy of the store's entries, or a
//! part of one, on its way here.
//!
//! How long such an answer takes follows from its size and from what else fills the link, so it is
//! judged by its headway. One that is given up at a fixed time is begun again from the start at
//! the next source, fills the link once more, and is later still: a livelock in which no node
//! ever has it whole.

use std::cell::Cell;
use std::time::Duration;

/// Time without a byte after which an answer that has begun to come is given up: as long as bytes
/// that are not acknowledged break a connection, and several times the pause in which a lost packet
/// is sent again.
pub const STALLED_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time of an answer that makes headway: the largest entry of the store, 1 MiB in base64,
/// at 0.6 Mbit/s. Links are 10 Mbit/s and more.
pub const LONGEST_TRANSFER: Duration = Duration::from_secs(20);

/// The answer that a client waits for.
#[derive(Debug, Default)]
pub struct Transfer {
    received: Cell<usize>,
}

impl Transfer {
    /// A question is asked; nothing has come yet.
    pub fn begin(&self) {
        self.received.set(0);
    }

    /// So many more bytes of the answer have come.
    pub fn on_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes);
    }

    /// Bytes of the answer that have come, also if it never came whole.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    /// Whether the answer has begun to come.
    pub fn is_under_way(&self) -> bool {
        self.received() > 0
    }
}
