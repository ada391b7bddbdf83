//! The open connections of one address, and which of them is closed to make room for a new one.
//!
//! Room is made among those that do least, so that a crowd of silent connections shuts nobody out. A connection whose
//! request is being handled is never closed for room, unless more has been sent on it ahead of the response.

use std::collections::BTreeMap;

/// Age in microseconds up to which a connection that has not sent a whole request yet is spared: it may have been opened for a
/// request that is on its way.
const NEWCOMER_GRACE_US: u64 = 1_000_000;
/// Share of the connections, in percent, up to which newcomers push out connections that rest. Beyond it they push out each
/// other, so that a crowd that connects all at once closes no connection that is kept between requests.
const NEWCOMER_PERCENT: usize = 25;
/// Time in microseconds for which a peer may leave a response unread before it counts as one that does not read.
const UNREAD_GRACE_US: u64 = 1_000_000;

/// Identifies a connection in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// A request is awaited, or has been received in part.
    Receiving,
    /// A request is being handled.
    Handling,
    /// A part of a response waits for the peer to read.
    Sending,
}

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    activity: Activity,
    since_us: u64,
    /// Whether a whole request has been received.
    has_sent_request: bool,
}

/// The open connections of one address, each with a handle by which it can be closed.
#[derive(Debug)]
pub struct ConnectionTable<H> {
    entries: BTreeMap<ConnectionId, Entry<H>>,
    next: u64,
}

impl<H> Default for ConnectionTable<H> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), next: 0 }
    }
}

/// Why a connection may be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClosingReason {
    /// It has sent no whole request, though there was time to.
    Silent,
    /// It has just been opened.
    Newcomer,
    /// It rests after a request, or sends the next one.
    Resting,
    /// Its peer does not read the response to its request.
    Unread,
    /// Its peer has sent more while its request is handled.
    SentAhead,
}

impl<H> Entry<H> {
    /// `None` if the connection must not be closed for room. `has_sent_ahead` tells whether bytes have been received beyond the
    /// request that is being handled.
    fn closing_reason(
        &self,
        now_us: u64,
        has_sent_ahead: impl Fn(&H) -> bool,
    ) -> Option<ClosingReason> {
        let age_us = now_us.saturating_sub(self.since_us);
        match self.activity {
            Activity::Receiving if self.has_sent_request => Some(ClosingReason::Resting),
            Activity::Receiving if age_us < NEWCOMER_GRACE_US => Some(ClosingReason::Newcomer),
            Activity::Receiving => Some(ClosingReason::Silent),
            Activity::Sending if age_us >= UNREAD_GRACE_US => Some(ClosingReason::Unread),
            Activity::Sending | Activity::Handling => {
                has_sent_ahead(&self.handle).then_some(ClosingReason::SentAhead)
            }
        }
    }
}

/// The order in which connections are closed; within one kind, the one that has been so for longest is closed first.
fn closing_order(newcomers: usize, connections: usize) -> [ClosingReason; 5] {
    use ClosingReason::{Newcomer, Resting, SentAhead, Silent, Unread};
    match newcomers * 100 > connections * NEWCOMER_PERCENT {
        true => [Silent, Newcomer, Resting, Unread, SentAhead],
        false => [Silent, Resting, Newcomer, Unread, SentAhead],
    }
}

impl<H> ConnectionTable<H> {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a connection that was accepted at `now_us`, in microseconds.
    pub fn open(&mut self, handle: H, now_us: u64) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let activity = Activity::Receiving;
        self.entries
            .insert(id, Entry { handle, activity, since_us: now_us, has_sent_request: false });
        id
    }

    /// Whether a connection is in the table: it has been neither removed nor closed for room.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Records what a connection does from `now_us` on. Does nothing if the connection is not in the table.
    pub fn set_activity(&mut self, id: ConnectionId, activity: Activity, now_us: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.activity = activity;
        entry.since_us = now_us;
        entry.has_sent_request |= activity == Activity::Handling;
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.entries.remove(&id);
    }

    /// Removes the connection that does least and returns its handle, by which the caller has to close it. `None` if a
    /// request is being handled on each of them. `has_sent_ahead` tells whether bytes have been received beyond that request.
    pub fn remove_least_active(
        &mut self,
        now_us: u64,
        has_sent_ahead: impl Fn(&H) -> bool,
    ) -> Option<H> {
        let mut candidates = Vec::new();
        for (id, entry) in &self.entries {
            if let Some(reason) = entry.closing_reason(now_us, &has_sent_ahead) {
                candidates.push((reason, entry.since_us, *id));
            }
        }
        let of_kind = |kind| candidates.iter().filter(move |(reason, ..)| *reason == kind);
        let newcomers = of_kind(ClosingReason::Newcomer).count();
        let longest = |kind| of_kind(kind).map(|(_, since_us, id)| (*since_us, *id)).min();
        let order = closing_order(newcomers, self.len());
        let (_, id) = order.into_iter().find_map(longest)?;
        self.entries.remove(&id).map(|entry| entry.handle)
    }
}
