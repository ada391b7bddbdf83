//! Progress of a response whose size the receiver does not choose, such as a snapshot of the
//! store's entries or a part of one.
//!
//! The time that such a response takes depends on its size and on the other traffic of the link, so
//! it is limited by its progress. A transfer that is aborted after a fixed time starts from the
//! beginning at the next source, loads the link once more and takes even longer: a livelock in
//! which no node ever receives the whole response.

use crate::clock::Instant;
use crate::http::{BodyPart, OpenResponse, ReadError, ResponsePart, ResponseTooLong};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::timeout;

/// Time without a received byte after which a response that has begun to arrive is aborted. It
/// equals the time after which unacknowledged data breaks a connection, and is several times the
/// retransmission timeout of a lost packet.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time of a response that makes progress: the largest entry of the store, 1 MiB in base64,
/// at 0.6 Mbit/s. Links are 10 Mbit/s or more.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_secs(20);

/// Why a response was not received completely.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The connection failed, or the body is malformed or too long.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The response made no progress, or took too long.
    #[error("the response stalled after {received} bytes")]
    Stalled {
        /// Number of bytes of the body received before the stall.
        received: usize,
    },
}

/// Progress of the response that a client is waiting for.
#[derive(Debug, Default)]
pub struct Transfer {
    received: Cell<usize>,
    started_at: Cell<Option<Instant>>,
}

impl Transfer {
    /// Resets the progress when a request is sent.
    pub fn reset(&self) {
        self.received.set(0);
        self.started_at.set(None);
    }

    /// Records that `bytes` more bytes of the response have arrived.
    pub fn on_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes);
        self.started_at.set(self.started_at.get().or_else(|| Some(Instant::now())));
    }

    /// Time since the first bytes of the response arrived, excluding the wait before them; zero if
    /// none has arrived.
    pub fn elapsed(&self) -> Duration {
        self.started_at.get().map_or(Duration::ZERO, |started_at| started_at.elapsed())
    }

    /// Number of bytes of the response that have arrived, also if it was never completed.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    /// Whether the response has begun to arrive.
    pub fn has_started(&self) -> bool {
        self.received() > 0
    }
}

/// Reads a whole body of at most `max_bytes` bytes for as long as it makes progress, and records
/// the progress in `transfer`.
pub async fn read_body(
    response: &OpenResponse,
    max_bytes: usize,
    transfer: &Transfer,
) -> Result<Vec<u8>, TransferError> {
    let stalled = || TransferError::Stalled { received: transfer.received() };
    let read = async {
        let mut body = Vec::new();
        loop {
            let next = timeout(STALL_TIMEOUT, response.read_part());
            // The callers decode JSON, which shows whether a body with an unproven end is whole.
            let BodyPart::Bytes(bytes) = next.await.map_err(|_| stalled())?? else {
                return Ok(body);
            };
            if body.len() + bytes.len() > max_bytes {
                let part = ResponsePart::Body;
                let too_long = ResponseTooLong { part, limit_bytes: max_bytes };
                return Err(ReadError::TooLong(too_long).into());
            }
            body.extend_from_slice(&bytes);
            transfer.on_received(bytes.len());
        }
    };
    timeout(MAX_TRANSFER_TIME, read).await.map_err(|_| stalled())?
}
