//! Hands this node's copy of the store on to nodes that follow it, and follows another's.
//!
//! A node that follows asks with the revision that it knows; the answer waits until there is a
//! later one, or for the time that the question names. A large update follows the line of its answer,
//! and is waited for as long as it makes progress. Any node answers, whether or not it is
//! one of those that read the store: so a node that starts while the store is away serves by
//! what the others know.

use crate::clock::Instant;
use crate::compression::{decompress, CompressedUpdate};
use crate::http::{open_stream, ConnectFailure};
use crate::json_lines::{read_line, read_piece, write_bytes, write_line, LineFailure};
use crate::listener::{accept, stream_of};
use crate::node::Node;
use crate::transfer::{Transfer, LONGEST_TRANSFER, STALLED_LIMIT};
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
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Time for which a connection may rest between questions.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time to open a connection to another node. Nodes are at most tens of milliseconds away; one that
/// takes longer is cut off or has stopped, and another can be asked.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Time for the line of an answer beyond the wait that the question names. What follows it is judged by
/// its progress.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// From here on an update follows the line of its answer compressed, bytes: 7 ms on a link of 10 Mbit/s.
const LARGE_UPDATE_BYTES: usize = 8 * 1024;
/// Time for another node to compress a large update, once its answer has begun: many times what the largest entry takes
/// on a small share of a slow processor.
const COMPRESSION_LIMIT: Duration = Duration::from_secs(5);
/// Most bytes that may follow a line.
const MOST_COMPRESSED_BYTES: usize = 4 * 1024 * 1024;
/// Nodes that may follow this one at a time; more are turned away and ask another.
const MOST_FOLLOWERS: usize = 512;

/// Answers other nodes' questions until the task is dropped.
pub async fn accept_followers(listener: TcpListener, node: Rc<Node>) {
    let followers = Rc::new(());
    let compressed = Rc::<CompressedUpdates>::default();
    // One for all connections: the buffers kept under a configuration are never let go.
    let config: ntex::SharedCfg = ntex::SharedCfg::new("mirror").into();
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        if Rc::strong_count(&followers) > MOST_FOLLOWERS {
            log::warn!(target: "mirror", most = MOST_FOLLOWERS; "no room for a follower");
            continue;
        }
        let Some(io) = stream_of(stream, config.clone()) else { continue };
        let (node, follower, compressed) = (node.clone(), followers.clone(), compressed.clone());
        ntex::rt::spawn(async move {
            serve_follower(&io, &node, &compressed).await;
            drop(follower);
        });
    }
}

async fn serve_follower(io: &Io, node: &Node, compressed: &CompressedUpdates) {
    while let Ok(Ok(question)) = timeout(IDLE_LIMIT, read_line::<StoreUpdateQuery>(io)).await {
        wait_for_change(node, &question).await;
        let answer = answer(node, &question);
        if let Err(error) = write_answer(io, answer, compressed.of(question.subject)).await {
            let error = error.to_string();
            log::info!(target: "mirror", error; "answer not written");
            return;
        }
    }
}

async fn wait_for_change(node: &Node, question: &StoreUpdateQuery) {
    let until = Instant::now() + Duration::from_millis(question.wait_ms).min(LONGEST_WAIT);
    let known_to = || node.copies.borrow().get(question.subject).known_to();
    let after = question.after(&node.eras.borrow());
    while known_to() <= after {
        let left = until.saturating_duration_since(Instant::now());
        if timeout(left, node.copy_changed.notified()).await.is_err() {
            return;
        }
    }
}

fn answer(node: &Node, question: &StoreUpdateQuery) -> StoreUpdateReply {
    let after = question.after(&node.eras.borrow());
    let update = node.copies.borrow().get(question.subject).update_since(after);
    let now_us = node.now_us();
    let age_ms = node.freshness.borrow().replica(question.subject).confirmed_age_ms(now_us);
    StoreUpdateReply { update, age_ms, is_compressed: false }
}

/// The line of the answer goes out before a large update is compressed: on a busy machine that may take longer
/// than the line may, and the node that asks would leave.
async fn write_answer(
    io: &Io,
    mut answer: StoreUpdateReply,
    compressed: &RefCell<CompressedUpdate>,
) -> Result<(), LineFailure> {
    let is_large = |update: &mut StoreUpdate| update.content_bytes() >= LARGE_UPDATE_BYTES;
    let Some(update) = answer.update.take_if(is_large) else { return write_line(io, &answer) };
    answer.is_compressed = true;
    write_line(io, &answer)?;
    io.flush(true).await?;
    let compressed = compressed.borrow_mut().of(update).map_err(LineFailure::Compression)?;
    write_line(io, &CompressedHead { bytes: compressed.len() })?;
    write_bytes(io, compressed)
}

/// Stands before a compressed update.
#[derive(Serialize, Deserialize)]
struct CompressedHead {
    bytes: usize,
}

/// The last update of each subject that was compressed, for all nodes that follow this one.
#[derive(Default)]
struct CompressedUpdates {
    configuration: RefCell<CompressedUpdate>,
    runners: RefCell<CompressedUpdate>,
    crashes: RefCell<CompressedUpdate>,
}

impl CompressedUpdates {
    fn of(&self, subject: Subject) -> &RefCell<CompressedUpdate> {
        match subject {
            Subject::Configuration => &self.configuration,
            Subject::Runners => &self.runners,
            Subject::Crashes => &self.crashes,
        }
    }
}

/// Another node's copy could not be had.
#[derive(Debug, thiserror::Error)]
pub enum MirrorFailure {
    /// The node cannot be reached.
    #[error("the node cannot be reached: {0}")]
    Unreachable(#[from] ConnectFailure),
    /// The exchange failed.
    #[error(transparent)]
    Line(#[from] LineFailure),
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
pub struct MirrorClient {
    kept: Option<(SocketAddr, Io)>,
    transfer: Rc<Transfer>,
}

impl MirrorClient {
    /// A client that tells `transfer` of the progress of its answers.
    pub fn with_transfer(transfer: Rc<Transfer>) -> Self {
        Self { kept: None, transfer }
    }

    /// Asks another node on behalf of `node` and waits for its answer: for a time until it begins to come, and then for as
    /// long as it makes progress.
    pub async fn ask(
        &mut self,
        node: &Node,
        address: SocketAddr,
        question: &StoreUpdateQuery,
    ) -> Result<StoreUpdateReply, MirrorFailure> {
        self.transfer.begin();
        let kept = self.kept.take().filter(|(to, io)| *to == address && !io.is_closed());
        let io = match kept {
            Some((_, io)) => io,
            None => open_stream(address, CONNECT_LIMIT).await?,
        };
        write_line(&io, question)?;
        let limit = Duration::from_millis(question.wait_ms) + ANSWER_LIMIT;
        let mut answer: StoreUpdateReply =
            timeout(limit, read_line(&io)).await.map_err(|_| MirrorFailure::TimedOut)??;
        if answer.is_compressed {
            let head = timeout(COMPRESSION_LIMIT, read_line(&io)).await;
            let CompressedHead { bytes } = head.map_err(|_| MirrorFailure::TimedOut)??;
            let compressed = timeout(LONGEST_TRANSFER, self.read_compressed(&io, bytes));
            let compressed = compressed.await.map_err(|_| self.stalled(bytes))??;
            answer.update = Some(decompress(&compressed).map_err(LineFailure::Compression)?);
        }
        if let Some(update) = &mut answer.update {
            update.era = node.eras.borrow().resolve_reported(update.era);
        }
        self.kept = Some((address, io));
        Ok(answer)
    }

    async fn read_compressed(&self, io: &Io, bytes: usize) -> Result<Vec<u8>, MirrorFailure> {
        if bytes > MOST_COMPRESSED_BYTES {
            return Err(LineFailure::TooLong.into());
        }
        let mut compressed = Vec::with_capacity(bytes);
        while compressed.len() < bytes {
            let piece = timeout(STALLED_LIMIT, read_piece(io, bytes - compressed.len()));
            let piece = piece.await.map_err(|_| self.stalled(bytes))??;
            compressed.extend_from_slice(&piece);
            self.transfer.on_received(piece.len());
        }
        Ok(compressed)
    }

    fn stalled(&self, bytes: usize) -> MirrorFailure {
        MirrorFailure::Stalled { received: self.transfer.received(), bytes }
    }
}
