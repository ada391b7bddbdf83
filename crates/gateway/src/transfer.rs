//! Progress of an answer whose size this node does not choose: a copy of the store's entries, or a
//! part of one, on its way here.
//!
//! How long such an answer takes follows from its size and from what else fills the link, so it is
//! judged by its progress. One that is given up at a fixed time is begun again from the start at
//! the next source, fills the link once more, and is later still: a livelock in which no node
//! ever has it whole.

use crate::clock::Instant;
use crate::http::{AnswerFault, BodyDecoder, ReadFailure, Upstream};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::timeout;

/// Time without a byte after which an answer that has begun to come is given up: as long as bytes
/// that are not acknowledged break a connection, and several times the pause in which a lost packet
/// is sent again.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time of an answer that makes progress: the largest entry of the store, 1 MiB in base64,
/// at 0.6 Mbit/s. Links are 10 Mbit/s and more.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_secs(20);

/// An answer did not come whole.
#[derive(Debug, thiserror::Error)]
pub enum TransferFailure {
    /// The connection failed.
    #[error(transparent)]
    Read(#[from] ReadFailure),
    /// It went no further.
    #[error("the answer went no further after {received} bytes")]
    Stalled {
        /// Bytes that had come.
        received: usize,
    },
}

/// The answer that a client waits for.
#[derive(Debug, Default)]
pub struct Transfer {
    received: Cell<usize>,
    started_at: Cell<Option<Instant>>,
}

impl Transfer {
    /// A question is asked; nothing has come yet.
    pub fn reset(&self) {
        self.received.set(0);
        self.started_at.set(None);
    }

    /// So many more bytes of the answer have come.
    pub fn on_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes);
        self.started_at.set(self.started_at.get().or_else(|| Some(Instant::now())));
    }

    /// Time since the first bytes of the answer came, without what it waited for before.
    pub fn elapsed(&self) -> Duration {
        self.started_at.get().map_or(Duration::ZERO, |started_at| started_at.elapsed())
    }

    /// Bytes of the answer that have come, also if it never came whole.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    /// Whether the answer has begun to come.
    pub fn has_started(&self) -> bool {
        self.received() > 0
    }
}

/// Reads a whole body of at most so many bytes for as long as it makes progress, and tells `transfer` of it.
pub async fn read_body(
    connection: &Upstream,
    decoder: &BodyDecoder,
    max_bytes: usize,
    transfer: &Transfer,
) -> Result<Vec<u8>, TransferFailure> {
    let stalled = || TransferFailure::Stalled { received: transfer.received() };
    let read = async {
        let mut body = Vec::new();
        loop {
            let next = timeout(STALL_TIMEOUT, connection.read_body(decoder));
            let Some(bytes) = next.await.map_err(|_| stalled())?? else { return Ok(body) };
            if body.len() + bytes.len() > max_bytes {
                return Err(ReadFailure::Fault(AnswerFault::Length).into());
            }
            body.extend_from_slice(&bytes);
            transfer.on_received(bytes.len());
        }
    };
    timeout(MAX_TRANSFER_TIME, read).await.map_err(|_| stalled())?
}
