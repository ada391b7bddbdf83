//! How many client connections fit, and memory that is reserved for request bodies and responses until a guard is dropped.

use super::Node;
use crate::descriptor_shares::DescriptorShare;
use crate::response_memory::ResponseReservation;
use std::rc::Rc;

/// The part of the machine's memory that the buffers of all client connections get together.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Memory that a client connection takes at most, unless longer heads are allowed: its read buffer, the head that is copied from
/// it, and its state.
const MIN_CONNECTION_BYTES: usize = 32 * 1024;
/// Number of client connections that are accepted however little memory there is.
const MIN_CLIENTS: usize = 4;
/// The part of the machine's memory that all requests get together.
const REQUEST_MEMORY_DIVISOR: u64 = 4;
/// Memory that a request takes while it is handled, as a multiple of its head: the values that are parsed from it, and the
/// copies that are sent to runners.
const HEAD_MEMORY_FACTOR: usize = 8;
/// The part of the machine's memory that everything held of responses gets together.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;

impl Node {
    /// Whether another client connection fits within the process's file descriptors and memory. The rest is reserved for
    /// runners, other nodes and the store.
    pub fn has_room_for_client(&self) -> bool {
        let most = DescriptorShare::Clients.of(&self.settings());
        let connections = self.client_connections.count();
        connections + self.second_descriptors.count() < most
            && connections < self.max_clients_by_memory()
    }

    /// Makes room for the connection to a runner of one more request, among idle connections to runners and then among those
    /// of clients. Returns whether there is room.
    pub async fn make_room_for_request(&self) -> bool {
        if self.has_room_for_request() {
            return true;
        }
        self.pool.clear();
        self.client_connections.make_room(|| self.has_room_for_request()).await
    }

    /// Whether the connection to a runner of one more request fits within the process's file descriptors.
    fn has_room_for_request(&self) -> bool {
        let clients = self.client_connections.count() + self.second_descriptors.count();
        let runners = self.pool.idle_count() + self.dispatched_requests.count();
        let settings = self.settings();
        let most = DescriptorShare::Clients.of(&settings) + DescriptorShare::Runners.of(&settings);
        clients + runners < most
    }

    /// Number of client connections whose buffers fit into their part of the machine's memory, with heads of the longest
    /// size allowed; a few in any case.
    fn max_clients_by_memory(&self) -> usize {
        let max_header_bytes =
            self.configuration().map(|it| it.limits).unwrap_or_default().max_header_bytes;
        let connection_bytes = max_header_bytes.saturating_mul(2).max(MIN_CONNECTION_BYTES);
        (self.memory_share(CONNECTION_MEMORY_DIVISOR) / connection_bytes).max(MIN_CLIENTS)
    }

    /// Reserves memory for a request with a head and a body of these sizes until the guard is dropped. All requests together
    /// get a quarter of the machine's memory; `None` if too little of it is left.
    pub fn reserve_request(
        self: &Rc<Self>,
        head_bytes: usize,
        body_bytes: usize,
    ) -> Option<RequestReservation> {
        let max_bytes = self.memory_share(REQUEST_MEMORY_DIVISOR);
        let bytes = head_bytes.saturating_mul(HEAD_MEMORY_FACTOR).saturating_add(body_bytes);
        let total = self.reserved_request_bytes.get() + bytes;
        if total > max_bytes {
            return None;
        }
        self.reserved_request_bytes.set(total);
        Some(RequestReservation { node: self.clone(), bytes })
    }

    /// Reserves memory for what is held of a response, 0 bytes at first, until the guard is dropped. All responses
    /// together get a quarter of the machine's memory.
    pub fn reserve_response(&self) -> ResponseReservation {
        self.response_memory.reserve(self.memory_share(RESPONSE_MEMORY_DIVISOR))
    }

    /// A share of the machine's memory, in bytes.
    fn memory_share(&self, divisor: u64) -> usize {
        const BYTES_PER_MEGABYTE: u64 = 1_000_000;
        let share_bytes = self.settings().machine.memory_mb * BYTES_PER_MEGABYTE / divisor;
        usize::try_from(share_bytes).unwrap_or(usize::MAX)
    }
}

/// Guard for memory that is reserved for a request.
pub struct RequestReservation {
    node: Rc<Node>,
    bytes: usize,
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        self.node.reserved_request_bytes.set(self.node.reserved_request_bytes.get() - self.bytes);
    }
}
