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

/// Called when a message was surely not delivered.
pub type Undelivered = Box<dyn FnOnce()>;

/// A message on its way.
struct Line {
    bytes: Bytes,
    on_undelivered: Option<Undelivered>,
}

struct Connection {
    sender: mpsc::Sender<Line>,
    waiting: Rc<Cell<usize>>,
}

/// The connections to other nodes.
#[derive(Default)]
pub struct PeerConnections {
    connections: RefCell<HashMap<String, Connection>>,
}

impl PeerConnections {
    /// Sends a message to the node at an address, or drops it.
    pub fn send(
        &self,
        address: &str,
        envelope: &PeerEnvelope,
        on_undelivered: Option<Undelivered>,
    ) {
        let Ok(mut line) = serde_json::to_vec(envelope) else {
            return;
        };
        line.push(b'\n');
        let line = Line { bytes: Bytes::from(line), on_undelivered };
        let mut connections = self.connections.borrow_mut();
        let is_open = connections.get(address).is_some_and(|it| !it.sender.is_closed());
        if !is_open {
            connections.insert(address.to_owned(), open(address.to_owned()));
        }
        let Some(connection) = connections.get(address) else {
            return;
        };
        if connection.waiting.get() < QUEUE_LIMIT && connection.sender.send(line).is_ok() {
            connection.waiting.set(connection.waiting.get() + 1);
        }
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
    mut lines: mpsc::Receiver<Line>,
    waiting: Rc<Cell<usize>>,
) -> std::io::Result<()> {
    let connected = match timeout(CONNECT_TIMEOUT, connect(address.to_owned())).await {
        Ok(Ok(io)) => Ok(io),
        Ok(Err(error)) => Err(std::io::Error::other(error)),
        Err(()) => Err(std::io::Error::from(std::io::ErrorKind::TimedOut)),
    };
    let io = match connected {
        Ok(io) => io,
        Err(error) => {
            report_undelivered(lines).await;
            return Err(error);
        }
    };
    while let Some(line) = stream_recv(&mut lines).await {
        waiting.set(waiting.get().saturating_sub(1));
        if io.is_closed() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        io.send(line.bytes, &BytesCodec).await.map_err(|error| error.into_inner())?;
    }
    Ok(())
}

/// Nothing that waits for a connection that was never made has left this process.
async fn report_undelivered(mut lines: mpsc::Receiver<Line>) {
    lines.close();
    while let Some(line) = stream_recv(&mut lines).await {
        if let Some(on_undelivered) = line.on_undelivered {
            on_undelivered();
        }
    }
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
