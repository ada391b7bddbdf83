//! The open connections of an address that the node listens on. When there are too many, room is made among those that do
//! least.

use crate::clock::Instant;
use ntex::io::{Io, IoRef};
use pitchstall_serving::connection_table::{Activity, ConnectionId, ConnectionTable};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Minimum time between two log lines about the room at one address. A crowd may connect thousands of times a second.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of one address.
pub struct OpenConnections {
    address: &'static str,
    table: RefCell<ConnectionTable<IoRef>>,
    started: Instant,
    shortage: RefCell<Shortage>,
}

/// What has happened for want of room since the last log line.
#[derive(Default)]
struct Shortage {
    closed: usize,
    rejected: usize,
    reported_at: Option<Instant>,
}

impl OpenConnections {
    /// No connections yet. `address` is the name of the address in the log.
    pub fn new(address: &'static str) -> Rc<Self> {
        Rc::new(Self {
            address,
            table: RefCell::default(),
            started: Instant::now(),
            shortage: RefCell::default(),
        })
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn open(self: &Rc<Self>, io: &Io) -> OpenConnection {
        let id = self.table.borrow_mut().open(io.get_ref(), self.now_us());
        OpenConnection { connections: self.clone(), id }
    }

    /// Closes connections, the least active first, until `has_room` holds. Returns whether it does.
    pub async fn make_room(&self, has_room: impl Fn() -> bool) -> bool {
        while !has_room() {
            let removed = self.remove_least_active();
            self.report_shortage(removed.is_some());
            let Some(connection) = removed else { return false };
            connection.terminate();
            // The connection's own task releases what it holds.
            tokio::task::yield_now().await;
        }
        true
    }

    fn remove_least_active(&self) -> Option<IoRef> {
        let has_unread_bytes = |io: &IoRef| io.with_read_buf(|buffer| !buffer.is_empty());
        self.table.borrow_mut().remove_least_active(self.now_us(), has_unread_bytes)
    }

    /// Counts a connection that is closed to make room, or for which there is none, and logs the counts once in a while.
    fn report_shortage(&self, is_closed: bool) {
        let mut shortage = self.shortage.borrow_mut();
        match is_closed {
            true => shortage.closed += 1,
            false => shortage.rejected += 1,
        }
        let is_due = |at: Instant| at.elapsed() >= REPORT_INTERVAL;
        if !shortage.reported_at.is_none_or(is_due) {
            return;
        }
        let Shortage { closed, rejected, .. } = *shortage;
        let (address, open) = (self.address, self.count());
        log::warn!(target: "listener", address, open, closed, rejected; "connections closed to make room");
        *shortage = Shortage { reported_at: Some(Instant::now()), ..Shortage::default() };
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Guard for an open connection.
pub struct OpenConnection {
    connections: Rc<OpenConnections>,
    id: ConnectionId,
}

impl OpenConnection {
    /// Records what the connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        let now_us = self.connections.now_us();
        self.connections.table.borrow_mut().set_activity(self.id, activity, now_us);
    }

    /// Whether the connection has been closed to make room for another one.
    pub fn is_closed_for_room(&self) -> bool {
        !self.connections.table.borrow().contains(self.id)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(self.id);
    }
}
