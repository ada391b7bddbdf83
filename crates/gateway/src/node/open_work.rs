//! Work that is open at a node, counted by guards: a planned stop waits for it, and memory for bodies
//! is bounded by it.

use super::Node;
use std::rc::Rc;

impl Node {
    /// Connections of clients. One that is not at rest may be about to bring a request.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Counts a client's connection as open until the guard is dropped.
    pub fn open_connection(self: &Rc<Self>) -> OpenConnection {
        self.open_connections.set(self.open_connections.get() + 1);
        OpenConnection { node: self.clone() }
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { node: self.clone() }
    }

    /// Sets memory for a body aside until the guard is dropped; `None` if there is too little.
    pub fn reserve_body(self: &Rc<Self>, bytes: usize) -> Option<BodyReservation> {
        const BODY_MEMORY_DIVISOR: u64 = 4;
        const BYTES_PER_MEGABYTE: u64 = 1_000_000;
        let share_bytes =
            self.settings().machine.memory_mb * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR;
        let max_bytes = usize::try_from(share_bytes).unwrap_or(usize::MAX);
        let total = self.reserved_body_bytes.get() + bytes;
        if total > max_bytes {
            return None;
        }
        self.reserved_body_bytes.set(total);
        Some(BodyReservation { node: self.clone(), bytes })
    }
}

/// A client's connection.
pub struct OpenConnection {
    node: Rc<Node>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.node.open_connections.set(self.node.open_connections.get() - 1);
    }
}

/// A request without its final answer.
pub struct OpenRequest {
    node: Rc<Node>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
    }
}

/// Memory set aside for a body.
pub struct BodyReservation {
    node: Rc<Node>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.node.reserved_body_bytes.set(self.node.reserved_body_bytes.get() - self.bytes);
    }
}
