//! Hands this node's copy of the store on to nodes that follow it, and follows another's.
//!
//! A node that follows asks with the revision that it knows; the answer waits until there is a
//! later one, or for the time that the question names. Any node answers, whether or not it is
//! one of those that read the store: so a node that starts while the store is away serves by
//! what the others know.

use crate::clock::Instant;
use crate::http::{open_stream, ConnectFailure};
use crate::json_lines::{read_line, read_line_noting, write_line, LineFailure};
use crate::listener::{accept, stream_of};
use crate::node::Node;
use ntex::io::Io;
use pitchstall_serving::store_copy::{CopyAnswer, CopyQuestion};
use std::cell::Cell;
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
/// Time for an answer beyond the wait that the question names: the copy may be some hundred
/// kilobytes, on links of 10 Mbit/s.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// Nodes that may follow this one at a time; more are turned away and ask another.
const MOST_FOLLOWERS: usize = 512;

/// Answers other nodes' questions until the task is dropped.
pub async fn accept_followers(listener: TcpListener, node: Rc<Node>) {
    let followers = Rc::new(());
    // One for all connections: the buffers kept under a configuration are never let go.
    let config: ntex::SharedCfg = ntex::SharedCfg::new("mirror").into();
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        if Rc::strong_count(&followers) > MOST_FOLLOWERS {
            log::warn!(target: "mirror", most = MOST_FOLLOWERS; "no room for a follower");
            continue;
        }
        let Some(io) = stream_of(stream, config.clone()) else { continue };
        let (node, follower) = (node.clone(), followers.clone());
        ntex::rt::spawn(async move {
            serve_follower(&io, &node).await;
            drop(follower);
        });
    }
}

async fn serve_follower(io: &Io, node: &Node) {
    while let Ok(Ok(question)) = timeout(IDLE_LIMIT, read_line::<CopyQuestion>(io)).await {
        wait_for_change(node, &question).await;
        if let Err(error) = write_line(io, &answer(node, &question)) {
            let error = error.to_string();
            log::info!(target: "mirror", error; "answer not written");
            return;
        }
    }
}

async fn wait_for_change(node: &Node, question: &CopyQuestion) {
    let until = Instant::now() + Duration::from_millis(question.wait_ms).min(LONGEST_WAIT);
    let known_to = || node.copies.borrow().of(question.subject).known_to();
    while known_to() <= question.after {
        let left = until.saturating_duration_since(Instant::now());
        if timeout(left, node.copy_changed.notified()).await.is_err() {
            return;
        }
    }
}

fn answer(node: &Node, question: &CopyQuestion) -> CopyAnswer {
    let update = node.copies.borrow().of(question.subject).update_since(question.after);
    let now_us = node.now_us();
    let age_ms = node.freshness.borrow().copy_of(question.subject).confirmed_age_ms(now_us);
    CopyAnswer { update, age_ms }
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
}

/// Asks other nodes for their copies, one question at a time over one kept connection.
#[derive(Default)]
pub struct MirrorClient {
    kept: Option<(SocketAddr, Io)>,
    received: Cell<usize>,
}

impl MirrorClient {
    /// Asks a node and waits for its answer.
    pub async fn ask(
        &mut self,
        address: SocketAddr,
        question: &CopyQuestion,
    ) -> Result<CopyAnswer, MirrorFailure> {
        self.received.set(0);
        let kept = self.kept.take().filter(|(to, io)| *to == address && !io.is_closed());
        let io = match kept {
            Some((_, io)) => io,
            None => open_stream(address, CONNECT_LIMIT).await?,
        };
        write_line(&io, question)?;
        let limit = Duration::from_millis(question.wait_ms) + ANSWER_LIMIT;
        let answer = timeout(limit, read_line_noting(&io, &self.received))
            .await
            .map_err(|_| MirrorFailure::TimedOut)??;
        self.kept = Some((address, io));
        Ok(answer)
    }

    /// Bytes of the last answer that have come, also if it never came whole.
    pub fn received(&self) -> usize {
        self.received.get()
    }
}
