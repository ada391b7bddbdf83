//! The open connections of an address that the node listens on. When there are too many, room is made among those that do
//! least.

use crate::clock::Instant;
use ntex::io::{Io, IoRef};
use pitchstall_serving::connection_table::{Activity, ConnectionId, ConnectionTable};
use std::cell::RefCell;
use std::rc::Rc;

/// The open connections of one address.
pub struct OpenConnections {
    table: RefCell<ConnectionTable<IoRef>>,
    started: Instant,
}

impl Default for OpenConnections {
    fn default() -> Self {
        Self { table: RefCell::default(), started: Instant::now() }
    }
}

impl OpenConnections {
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
            let has_unread_bytes = |io: &IoRef| io.with_read_buf(|buffer| !buffer.is_empty());
            let removed =
                self.table.borrow_mut().remove_least_active(self.now_us(), has_unread_bytes);
            let Some(connection) = removed else { return false };
            log::info!(target: "listener", open = self.count(), address = connection.tag(); "connection closed to make room");
            connection.terminate();
            // The connection's own task releases what it holds.
            tokio::task::yield_now().await;
        }
        true
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
