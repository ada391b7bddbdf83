//! A server whose message is cut after a number of bytes.

use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The kernel sends FIN, as it does for a process that is killed and has read all received bytes.
    Orderly,
    /// The kernel sends RST.
    Reset,
}

/// Ends a connection by dropping its stream.
pub fn end_connection(stream: TcpStream, end: ConnectionEnd) {
    if end == ConnectionEnd::Reset {
        // With a linger time of 0, closing the socket sends a reset.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Number of bytes after which the message is cut, and how the connection then ends.
type Cut = (usize, ConnectionEnd);

/// Sends part of one message on each connection, once a request has arrived on it, and ends the connection.
pub struct CutServer {
    address: SocketAddr,
    cut: Arc<Mutex<Cut>>,
}

impl CutServer {
    pub fn start(message: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(Mutex::new((message.len(), ConnectionEnd::Orderly)));
        let served = cut.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut request = [0; 4 * 1024];
                let _ = stream.read(&mut request);
                let (cut, end) = *served.lock().unwrap();
                let _ = stream.write_all(&message[..cut]);
                end_connection(stream, end);
            }
        });
        Self { address, cut }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the message on all later connections after this number of bytes.
    pub fn cut_at(&self, bytes: usize, end: ConnectionEnd) {
        *self.cut.lock().unwrap() = (bytes, end);
    }
}
