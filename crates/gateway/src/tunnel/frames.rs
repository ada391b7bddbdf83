//! Framing of the bytes that a runner sends through a tunnel.
//!
//! Each frame begins with its length, four bytes in network order. Two lengths mark events instead: that the runner has
//! closed its connection in an orderly way, and that the tunnel takes no further request. Without the first one, a
//! response that ends with its connection would look complete when the node in between dies.

use ntex::io::{FilterBuf, FilterLayer};
use ntex::util::{Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Length of a frame's header in bytes.
const HEADER_BYTES: usize = 4;
/// Header of the frame after which the runner has closed its connection.
const END: u32 = 0;
/// Header of the frame after which no further request may be sent.
const GO_AWAY: u32 = u32::MAX;

/// Encodes the header of a frame with this many bytes, which must be more than 0 and less than 4 GiB.
pub fn data_header(length: usize) -> Bytes {
    let length = u32::try_from(length).unwrap_or(GO_AWAY - 1);
    Bytes::copy_from_slice(&length.to_be_bytes())
}

/// Encodes the frame that ends an orderly closed connection.
pub fn end_frame() -> Bytes {
    Bytes::copy_from_slice(&END.to_be_bytes())
}

/// Encodes the frame that announces that the tunnel takes no further request.
pub fn go_away_frame() -> Bytes {
    Bytes::copy_from_slice(&GO_AWAY.to_be_bytes())
}

/// What the frames of a tunnel have announced.
#[derive(Debug, Default)]
pub struct TunnelState {
    has_ended: Cell<bool>,
    is_going_away: Cell<bool>,
}

impl TunnelState {
    /// Whether the runner has closed its connection in an orderly way.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Whether the tunnel may be used for a further request.
    pub fn is_reusable(&self) -> bool {
        !self.has_ended.get() && !self.is_going_away.get()
    }
}

/// Extracts the payload of the frames that arrive through a tunnel, which may be split at any byte.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    state: Rc<TunnelState>,
    /// Bytes of the current frame that have not arrived yet.
    remaining: Cell<usize>,
}

impl FrameDecoder {
    /// A decoder that records announcements in `state`.
    pub fn new(state: Rc<TunnelState>) -> Self {
        Self { state, remaining: Cell::new(0) }
    }

    /// Moves the bytes of all frames that have arrived from `source` to `target`. Fails if bytes follow the last frame.
    pub fn decode(&self, source: &mut BytesMut, target: &mut BytesMut) -> io::Result<()> {
        loop {
            let length = self.remaining.get().min(source.len());
            if length > 0 {
                target.extend_from_slice(&source.split_to(length));
                self.remaining.set(self.remaining.get() - length);
            }
            if self.remaining.get() > 0 || source.is_empty() {
                return Ok(());
            }
            if self.state.has_ended.get() {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "bytes after the last frame",
                ));
            }
            let Some(header) = source.first_chunk::<HEADER_BYTES>() else { return Ok(()) };
            let header = u32::from_be_bytes(*header);
            source.advance_to(HEADER_BYTES);
            match header {
                END => self.state.has_ended.set(true),
                GO_AWAY => self.state.is_going_away.set(true),
                length => self.remaining.set(length as usize),
            }
        }
    }
}

impl FilterLayer for FrameDecoder {
    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_read_buffers(|source, target| match source {
            Some(source) => self.decode(source, target),
            None => Ok(()),
        })
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, target| {
            source.move_to(target);
            Ok(())
        })
    }
}
