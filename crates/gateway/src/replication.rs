//! Hands this node's copy of the store on to nodes that follow it, and follows another's.
//!
//! A node that follows asks with the revision that it knows; the answer waits until there is a
//! later one, or for the time that the question names. A large update follows the line of its answer,
//! and is waited for as long as it makes progress. Any node answers, whether or not it is
//! one of those that read the store: so a node that starts while the store is away serves by
//! what the others know.

use crate::clock::Instant;
use crate::compression::{decompress, CompressedUpdateCache};
use crate::http::{open_stream, ConnectFailure};
use crate::json_lines::{read_chunk, read_line, write_bytes, write_line, LineError};
use crate::listener::{accept, stream_of};
use crate::node::Node;
use crate::transfer::{Transfer, MAX_TRANSFER_TIME, STALL_TIMEOUT};
use ntex::io::Io;
use pitchstall_serving::store_replica::{StoreUpdate, StoreUpdateQuery, StoreUpdateReply, Subject};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Longest wait for a change that a question may ask for.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(5);
/// Time for which a connection may rest between questions.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time to open a connection to another node. Nodes are at most tens of milliseconds away; one that
/// takes longer is cut off or has stopped, and another can be asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the line of an answer beyond the wait that the question names. What follows it is judged by
/// its progress.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// From here on an update follows the line of its answer compressed, bytes: 7 ms on a link of 10 Mbit/s.
const MIN_COMPRESSED_UPDATE_BYTES: usize = 8 * 1024;
/// Time for another node to compress a large update, once its answer has begun: many times what the largest entry takes
/// on a small share of a slow processor.
const COMPRESSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes that may follow a line.
const MAX_COMPRESSED_BYTES: usize = 4 * 1024 * 1024;
/// Nodes that may follow this one at a time; more are turned away and ask another.
const MAX_FOLLOWERS: usize = 512;

/// Answers other nodes' questions until the task is dropped.
pub async fn accept_followers(listener: TcpListener, node: Rc<Node>) {
    let followers = Rc::new(());
    let caches = Rc::<CompressedUpdateCaches>::default();
    // One for all connections: the buffers kept under a configuration are never let go.
    let config: ntex::SharedCfg = ntex::SharedCfg::new("mirror").into();
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        if Rc::strong_count(&followers) > MAX_FOLLOWERS {
            log::warn!(target: "mirror", most = MAX_FOLLOWERS; "no room for a follower");
            continue;
        }
        let Some(io) = stream_of(stream, config.clone()) else { continue };
        let (node, follower, caches) = (node.clone(), followers.clone(), caches.clone());
        ntex::rt::spawn(async move {
            serve_follower(&io, &node, &caches).await;
            drop(follower);
        });
    }
}

async fn serve_follower(io: &Io, node: &Node, caches: &CompressedUpdateCaches) {
    while let Ok(Ok(query)) = timeout(IDLE_TIMEOUT, read_line::<StoreUpdateQuery>(io)).await {
        wait_for_change(node, &query).await;
        let reply = reply_to(node, &query);
        if let Err(error) = write_reply(io, reply, caches.cache(query.subject)).await {
            let error = error.to_string();
            log::info!(target: "mirror", error; "answer not written");
            return;
        }
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
    let update = node.store_replicas.borrow().get(query.subject).update_since(after);
    let now_us = node.now_us();
    let age_ms = node.freshness.borrow().replica(query.subject).confirmed_age_ms(now_us);
    StoreUpdateReply { update, age_ms, is_compressed: false }
}

/// The line of the answer goes out before a large update is compressed: on a busy machine that may take longer
/// than the line may, and the node that asks would leave.
async fn write_reply(
    io: &Io,
    mut reply: StoreUpdateReply,
    cache: &RefCell<CompressedUpdateCache>,
) -> Result<(), LineError> {
    let is_large = |update: &mut StoreUpdate| update.content_bytes() >= MIN_COMPRESSED_UPDATE_BYTES;
    let Some(update) = reply.update.take_if(is_large) else { return write_line(io, &reply) };
    reply.is_compressed = true;
    write_line(io, &reply)?;
    io.flush(true).await?;
    let compressed = cache.borrow_mut().get_or_compress(update).map_err(LineError::Compression)?;
    write_line(io, &CompressedHeader { bytes: compressed.len() })?;
    write_bytes(io, compressed)
}

/// Stands before a compressed update.
#[derive(Serialize, Deserialize)]
struct CompressedHeader {
    bytes: usize,
}

/// The last update of each subject that was compressed, for all nodes that follow this one.
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

/// Another node's copy could not be had.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// The node cannot be reached.
    #[error("the node cannot be reached: {0}")]
    Unreachable(#[from] ConnectFailure),
    /// The exchange failed.
    #[error(transparent)]
    Line(#[from] LineError),
    /// Nothing came in time.
    #[error("the node did not answer in time")]
    TimedOut,
    /// The answer began to come and went no further.
    #[error("the node's answer went no further after {received} of {bytes} bytes")]
    Stalled {
        /// Bytes that had come.
        received: usize,
        /// Bytes that were to come.
        bytes: usize,
    },
}

/// Asks other nodes for their copies, one question at a time over one kept connection.
pub struct ReplicationClient {
    connection: Option<(SocketAddr, Io)>,
    transfer: Rc<Transfer>,
}

impl ReplicationClient {
    /// A client that tells `transfer` of the progress of its answers.
    pub fn with_transfer(transfer: Rc<Transfer>) -> Self {
        Self { connection: None, transfer }
    }

    /// Asks another node on behalf of `node` and waits for its answer: for a time until it begins to come, and then for as
    /// long as it makes progress.
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
