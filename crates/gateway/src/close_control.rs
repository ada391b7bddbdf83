//! Decides whether a client's connection ends by an orderly close or by a TCP reset.
//!
//! A stream to a client that speaks HTTP/1.0 is delimited by the end of its connection. To that client an orderly end says
//! that the stream is whole, and a reset is the only mark of a truncated one. The reset is therefore set when the stream
//! begins and taken back when it is whole: whatever ends it before, also the end of the process, resets the connection.

use crate::node::Node;
use crate::open_counter::OpenGuard;
use socket2::{SockRef, Socket};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A second descriptor of a client's socket. ntex does not give access to the socket that it has taken over. The
/// connection is not closed before this value is dropped.
pub struct CloseControl {
    socket: Socket,
    _descriptor: OpenGuard,
}

impl CloseControl {
    /// Duplicates the descriptor of an accepted connection. Fails if the process has no descriptor left.
    pub fn new(stream: &TcpStream, node: &Node) -> io::Result<Self> {
        let socket = SockRef::from(stream).try_clone()?;
        Ok(Self { socket, _descriptor: node.second_descriptors.open() })
    }

    /// Makes the kernel reset the connection when it is closed. Bytes that have not been sent by then are dropped.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.socket.set_linger(Some(Duration::ZERO))
    }

    /// Makes the kernel close the connection in an orderly way, after all written bytes have been sent.
    pub fn close_in_order(&self) -> io::Result<()> {
        self.socket.set_linger(None)
    }
}
