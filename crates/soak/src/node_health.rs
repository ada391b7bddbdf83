//! The health address of a node.

use pitchstall_platform_standins::client::READY_REQUEST;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum time for each step of a query.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Whether the node with this health address reports that it accepts clients.
pub fn is_ready(health: SocketAddr) -> bool {
    query(health).unwrap_or(false)
}

fn query(health: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&health, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(READY_REQUEST)?;
    let mut head = [0; b"HTTP/1.1 200".len()];
    stream.read_exact(&mut head)?;
    Ok(head.ends_with(b"200"))
}
