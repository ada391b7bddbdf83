//! Messages between nodes: JSON lines over TCP, one connection to each node that is told
//! something. A message that cannot be sent now is dropped; the state machine expects that.

use crate::driver::Driver;
use ntex::channel::mpsc;
use ntex::codec::BytesCodec;
use ntex::connect::connect;
use ntex::io::Io;
use ntex::time::{timeout, Millis};
use ntex::util::{stream_recv, Bytes};
use pitchstall_platform::lines::LineBuffer;
use pitchstall_protocol::peer::PeerEnvelope;
use pitchstall_runtime::Input;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Most messages that wait for one connection.
const QUEUE_LIMIT: usize = 4_096;
const CONNECT_TIMEOUT: Millis = Millis(1_000);

struct Connection {
    sender: mpsc::Sender<Bytes>,
    waiting: Rc<Cell<usize>>,
}

/// The connections to other nodes.
#[derive(Default)]
pub struct PeerConnections {
    connections: RefCell<HashMap<String, Connection>>,
}

impl PeerConnections {
    /// Sends a message to the node at an address, or drops it.
    pub fn send(&self, address: &str, envelope: &PeerEnvelope) {
        let Ok(mut line) = serde_json::to_vec(envelope) else {
            return;
        };
        line.push(b'\n');
        let mut line = Bytes::from(line);
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(address) {
            if connection.waiting.get() >= QUEUE_LIMIT {
                return;
            }
            match connection.sender.send(line.clone()) {
                Ok(()) => {
                    connection.waiting.set(connection.waiting.get() + 1);
                    return;
                }
                // The connection has ended; a new one takes the message.
                Err(_) => line = line.clone(),
            }
        }
        let connection = open(address.to_owned());
        if connection.sender.send(line).is_ok() {
            connection.waiting.set(1);
        }
        connections.insert(address.to_owned(), connection);
    }
}

fn open(address: String) -> Connection {
    let (sender, receiver) = mpsc::channel();
    let waiting = Rc::new(Cell::new(0));
    let counter = waiting.clone();
    ntex::rt::spawn(async move {
        // Dropping the receiver ends the connection for the sender.
        if let Err(error) = write_lines(&address, receiver, counter).await {
            log::debug!(address = address, error:% = error; "connection to a node ended");
        }
    });
    Connection { sender, waiting }
}

async fn write_lines(
    address: &str,
    mut lines: mpsc::Receiver<Bytes>,
    waiting: Rc<Cell<usize>>,
) -> std::io::Result<()> {
    let connecting = connect(address.to_owned());
    let io = timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|()| std::io::Error::from(std::io::ErrorKind::TimedOut))?
        .map_err(std::io::Error::other)?;
    while let Some(line) = stream_recv(&mut lines).await {
        waiting.set(waiting.get().saturating_sub(1));
        if io.is_closed() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        io.send(line, &BytesCodec).await.map_err(|error| error.into_inner())?;
    }
    Ok(())
}

/// Reads the messages of one connection until it ends or sends what cannot be read.
pub async fn serve(driver: Rc<Driver>, io: Io) -> std::io::Result<()> {
    let mut buffer = LineBuffer::default();
    while let Some(bytes) = io.recv(&BytesCodec).await.map_err(|error| error.into_inner())? {
        let mut lines = Vec::new();
        let within_limit = buffer.push(&bytes, &mut lines).is_ok();
        for line in lines {
            match serde_json::from_slice::<PeerEnvelope>(&line) {
                Ok(envelope) => driver.input(Input::Peer(envelope)),
                Err(error) => {
                    log::warn!(error:% = error; "a node sent what cannot be read; closing");
                    return Ok(());
                }
            }
        }
        if !within_limit {
            log::warn!("a node sent a line past the limit; closing");
            return Ok(());
        }
    }
    Ok(())
}
