//! Sends this node's replica of the store to nodes that follow it, and queries other nodes for
//! theirs.
//!
//! A follower sends a query with the revision that it knows. The reply is delayed until there is a
//! later revision, or for the time that the query specifies. A large update is sent after the line
//! of its reply, and the follower waits for it as long as it makes progress. Every node replies,
//! whether or not it is a store reader, so that a node that starts while the store is unavailable
//! can serve from the others' replicas.

use crate::clock::Instant;
use crate::compression::{decompress, CompressedUpdateCache};
use crate::http::{open_stream, ConnectError};
use crate::json_lines::{
    read_chunk, read_line, read_line_within, write_bytes, write_line, LineError, MAX_QUERY_BYTES,
};
use crate::node::Node;
use crate::open_connections::OpenConnection;
use crate::transfer::{Transfer, MAX_TRANSFER_TIME, STALL_TIMEOUT};
use ntex::io::Io;
use ntex::util::Bytes;
use pitchstall_serving::connection_table::Activity;
use pitchstall_serving::store_replica::{StoreUpdateQuery, StoreUpdateReply, Subject};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum wait for a change that a query may request.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(5);
/// Time after which a connection without a query is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for opening a connection to another node. Nodes are at most tens of milliseconds
/// away; one that takes longer is cut off or has stopped, and another one can be queried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for the line of a reply, in addition to the wait that the query specifies. What
/// follows the line is limited by its progress.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Size from which an update is sent compressed after the line of its reply. It takes 7 ms on a
/// link of 10 Mbit/s.
const MIN_COMPRESSED_UPDATE_BYTES: usize = 8 * 1024;
/// Time within which another node must compress a large update after it has sent the line of its
/// reply. This is many times what the largest entry takes on a small share of a slow processor.
const COMPRESSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of compressed bytes after a line.
const MAX_COMPRESSED_BYTES: usize = 4 * 1024 * 1024;

/// Replies to nodes that follow this one's replica.
#[derive(Default)]
pub struct Followers {
    caches: CompressedUpdateCaches,
}

impl Followers {
    /// Replies to the queries on one connection, of which `query` is the first, until the connection ends.
    pub async fn serve(
        &self,
        io: &Io,
        node: &Node,
        query: StoreUpdateQuery,
        open: &OpenConnection,
    ) {
        let mut query = query;
        loop {
            wait_for_change(node, &query).await;
            open.set_activity(Activity::Sending);
            if let Err(error) = self.send_reply(io, node, &query).await {
                let error = error.to_string();
                log::info!(target: "mirror", error; "reply to a follower not written");
                return;
            }
            open.set_activity(Activity::Receiving);
            match timeout(IDLE_TIMEOUT, read_line_within(io, MAX_QUERY_BYTES)).await {
                Ok(Ok(next)) => query = next,
                _ => return,
            }
            open.set_activity(Activity::Handling);
        }
    }

    /// Sends a reply, and waits until the follower has read all but what its socket holds.
    async fn send_reply(
        &self,
        io: &Io,
        node: &Node,
        query: &StoreUpdateQuery,
    ) -> Result<(), LineError> {
        let cache = self.caches.cache(query.subject);
        let sent = timeout(MAX_TRANSFER_TIME, async {
            write_reply(io, node, query, cache).await?;
            Ok(io.flush(true).await?)
        });
        sent.await.unwrap_or(Err(LineError::Unread))
    }
}

async fn wait_for_change(node: &Node, query: &StoreUpdateQuery) {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms).min(MAX_QUERY_WAIT);
    let known_to = || node.store_replicas.borrow().get(query.subject).known_to();
    let after = query.after(&node.store_eras.borrow());
    while known_to() <= after {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if timeout(remaining, node.store_replica_changed.notified()).await.is_err() {
            return;
        }
    }
}

fn reply_to(node: &Node, query: &StoreUpdateQuery) -> StoreUpdateReply {
    let after = query.after(&node.store_eras.borrow());
    let replicas = node.store_replicas.borrow();
    let replica = replicas.get(query.subject);
    let is_compressed = replica.has_update_since(after)
        && replica.update_bytes_since(after) >= MIN_COMPRESSED_UPDATE_BYTES;
    let update = if is_compressed { None } else { replica.update_since(after) };
    let now_us = node.now_us();
    let age_ms = node.freshness.borrow().replica(query.subject).confirmed_age_ms(now_us);
    let is_obtaining = node.is_obtaining_replica(query.subject);
    StoreUpdateReply { update, age_ms, is_compressed, is_obtaining }
}

/// Sends the reply to a query. The line is sent before a large update is compressed: on a busy
/// machine the compression may take longer than the time limit for the line, and the follower would
/// abandon this node. No copy of the update is held while the line is sent, since many followers
/// may wait for one at the same time.
async fn write_reply(
    io: &Io,
    node: &Node,
    query: &StoreUpdateQuery,
    cache: &RefCell<CompressedUpdateCache>,
) -> Result<(), LineError> {
    let reply = reply_to(node, query);
    write_line(io, &reply)?;
    if !reply.is_compressed {
        return Ok(());
    }
    io.flush(true).await?;
    let compressed = compressed_update(node, query, cache)?.ok_or(LineError::Closed)?;
    write_line(io, &CompressedHeader { bytes: compressed.len() })?;
    write_bytes(io, compressed)
}

/// The compressed update; `None` if the replica has been emptied for another store meanwhile.
fn compressed_update(
    node: &Node,
    query: &StoreUpdateQuery,
    cache: &RefCell<CompressedUpdateCache>,
) -> Result<Option<Bytes>, LineError> {
    let after = query.after(&node.store_eras.borrow());
    let replicas = node.store_replicas.borrow();
    let replica = replicas.get(query.subject);
    cache.borrow_mut().get_or_compress(replica, after).map_err(LineError::Compression)
}

/// Line that precedes a compressed update.
#[derive(Serialize, Deserialize)]
struct CompressedHeader {
    bytes: usize,
}

/// The last compressed update of each subject, shared by all followers.
#[derive(Default)]
struct CompressedUpdateCaches {
    configuration: RefCell<CompressedUpdateCache>,
    runners: RefCell<CompressedUpdateCache>,
    crashes: RefCell<CompressedUpdateCache>,
}

impl CompressedUpdateCaches {
    fn cache(&self, subject: Subject) -> &RefCell<CompressedUpdateCache> {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }
}

/// Why another node's replica could not be obtained.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// No connection to the node could be opened.
    #[error("cannot connect to the node: {0}")]
    Unreachable(#[from] ConnectError),
    /// A line could not be sent or received.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The reply did not begin within the time limit.
    #[error("the node did not reply in time")]
    TimedOut,
    /// The reply began to arrive and then made no progress, or took too long.
    #[error("the node's reply stalled after {received} of {bytes} bytes")]
    Stalled {
        /// Number of bytes of the compressed update received before the stall.
        received: usize,
        /// Size of the compressed update in bytes.
        bytes: usize,
    },
}

/// Queries other nodes for their replicas, one query at a time over one kept connection.
pub struct ReplicationClient {
    connection: Option<(SocketAddr, Io)>,
    transfer: Rc<Transfer>,
}

impl ReplicationClient {
    /// Creates a client that records the progress of replies in `transfer`.
    pub fn with_transfer(transfer: Rc<Transfer>) -> Self {
        Self { connection: None, transfer }
    }

    /// Sends a query on behalf of `node` and waits for the reply: for a limited time until it
    /// begins to arrive, and then for as long as it makes progress.
    pub async fn query(
        &mut self,
        node: &Node,
        address: SocketAddr,
        query: &StoreUpdateQuery,
    ) -> Result<StoreUpdateReply, ReplicationError> {
        self.transfer.reset();
        let connection =
            self.connection.take().filter(|(to, io)| *to == address && !io.is_closed());
        let io = match connection {
            Some((_, io)) => io,
            None => open_stream(address, CONNECT_TIMEOUT).await?,
        };
        write_line(&io, query)?;
        let reply_timeout = Duration::from_millis(query.wait_ms) + REPLY_TIMEOUT;
        let mut reply: StoreUpdateReply = timeout(reply_timeout, read_line(&io))
            .await
            .map_err(|_| ReplicationError::TimedOut)??;
        if reply.is_compressed {
            let header = timeout(COMPRESSION_TIMEOUT, read_line(&io)).await;
            let CompressedHeader { bytes } = header.map_err(|_| ReplicationError::TimedOut)??;
            let compressed = timeout(MAX_TRANSFER_TIME, self.read_compressed(&io, bytes));
            let compressed = compressed.await.map_err(|_| self.stalled(bytes))??;
            reply.update = Some(decompress(&compressed).map_err(LineError::Compression)?);
        }
        if let Some(update) = &mut reply.update {
            update.era = node.store_eras.borrow().resolve_reported(update.era);
        }
        self.connection = Some((address, io));
        Ok(reply)
    }

    async fn read_compressed(&self, io: &Io, bytes: usize) -> Result<Vec<u8>, ReplicationError> {
        if bytes > MAX_COMPRESSED_BYTES {
            return Err(LineError::TooLong.into());
        }
        let mut compressed = Vec::with_capacity(bytes);
        while compressed.len() < bytes {
            let chunk = timeout(STALL_TIMEOUT, read_chunk(io, bytes - compressed.len()));
            let chunk = chunk.await.map_err(|_| self.stalled(bytes))??;
            compressed.extend_from_slice(&chunk);
            self.transfer.on_received(chunk.len());
        }
        Ok(compressed)
    }

    fn stalled(&self, bytes: usize) -> ReplicationError {
        ReplicationError::Stalled { received: self.transfer.received(), bytes }
    }
}
