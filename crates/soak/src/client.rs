//! Sends requests and reads the complete responses. A client reuses its connection for the next
//! request as long as the connection is open, even if the node is draining.

use crate::history::Outcome;
use pitchstall_platform_standins::client::REQUEST_ID_HEADER;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Exceeds the time for which a node may hold a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_HEADERS: usize = 32;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A client's connection to one node.
#[derive(Default)]
pub struct Client {
    connection: Option<TcpStream>,
}

impl Client {
    /// Whether the client holds a connection that it has not yet seen closed.
    pub fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request to a node, over the open connection if there is one, and waits for the
    /// complete response.
    pub fn exchange(&mut self, node: SocketAddr, request: &[u8]) -> Outcome {
        let stream = match self.connection.take() {
            Some(connection) => Some(connection),
            None => TcpStream::connect_timeout(&node, CONNECT_TIMEOUT).ok(),
        };
        let Some(mut stream) = stream else { return Outcome::NotSent };
        let has_timeout = stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).is_ok();
        if !has_timeout || stream.write_all(request).is_err() {
            return Outcome::Disconnected;
        }
        let (outcome, is_reusable) = read_response(&mut stream);
        if is_reusable {
            self.connection = Some(stream);
        }
        outcome
    }
}

/// Reads a response. The second value is whether the connection can be reused.
fn read_response(stream: &mut TcpStream) -> (Outcome, bool) {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let mut bytes = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match parse(&bytes) {
            Some(Parsed::Complete { outcome, is_reusable }) => return (outcome, is_reusable),
            Some(Parsed::Malformed) => return (Outcome::Malformed, false),
            None if Instant::now() >= deadline => return (Outcome::Disconnected, false),
            None => {}
        }
        match stream.read(&mut buffer) {
            Ok(0) => return (Outcome::Disconnected, false),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return (Outcome::Disconnected, false),
        }
    }
}

enum Parsed {
    Complete { outcome: Outcome, is_reusable: bool },
    Malformed,
}

/// Parses a response; `None` if it is incomplete so far.
fn parse(bytes: &[u8]) -> Option<Parsed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(Parsed::Malformed),
    };
    let status = response.code?;
    let value_of = |name: &str| {
        let header = response.headers.iter().find(|it| it.name.eq_ignore_ascii_case(name));
        header.map(|it| String::from_utf8_lossy(it.value).into_owned())
    };
    let remaining = &bytes[head_bytes..];
    let is_chunked = value_of("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let body = if is_chunked {
        decode_chunked(remaining)?
    } else {
        let length: usize = value_of("content-length").map_or(Some(0), |it| it.parse().ok())?;
        remaining.get(..length)?.to_vec()
    };
    let echoed_id = value_of(REQUEST_ID_HEADER);
    let closes = value_of("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
    let outcome = Outcome::Complete { status, echoed_id, body };
    Some(Parsed::Complete { outcome, is_reusable: !closes })
}

fn decode_chunked(mut remaining: &[u8]) -> Option<Vec<u8>> {
    const LINE_END: &[u8] = b"\r\n";
    let mut body = Vec::new();
    loop {
        let line_end = remaining.windows(LINE_END.len()).position(|window| window == LINE_END)?;
        let line = std::str::from_utf8(&remaining[..line_end]).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = line_end + LINE_END.len();
        body.extend_from_slice(remaining.get(start..start + size)?);
        remaining = remaining.get(start + size + LINE_END.len()..)?;
        if size == 0 {
            return Some(body);
        }
    }
}
