//! Sends requests and sees every byte of their answers. A connection is kept and used for the next
//! request as long as it is open, whatever the node has been told meanwhile.

use crate::history::Outcome;
use pitchstall_platform_standins::client::ANSWERED_ID;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longer than any request is held.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);
const MOST_HEADERS: usize = 32;
const BUFFER_BYTES: usize = 16 * 1024;

/// A caller's connection to one node.
#[derive(Default)]
pub struct Caller {
    kept: Option<TcpStream>,
}

impl Caller {
    /// Whether there is an open connection, as far as is known.
    pub fn is_open(&self) -> bool {
        self.kept.is_some()
    }

    /// Sends a request to a node, on the open connection if there is one.
    pub fn exchange(&mut self, node: SocketAddr, request: &[u8]) -> Outcome {
        let stream = match self.kept.take() {
            Some(kept) => Some(kept),
            None => TcpStream::connect_timeout(&node, CONNECT_LIMIT).ok(),
        };
        let Some(mut stream) = stream else { return Outcome::NotSent };
        let ready = stream.set_read_timeout(Some(ANSWER_LIMIT)).is_ok();
        if !ready || stream.write_all(request).is_err() {
            return Outcome::Broken;
        }
        let (outcome, is_kept) = read_answer(&mut stream);
        if is_kept {
            self.kept = Some(stream);
        }
        outcome
    }
}

/// Reads an answer; also tells whether the connection may be used again.
fn read_answer(stream: &mut TcpStream) -> (Outcome, bool) {
    let end = Instant::now() + ANSWER_LIMIT;
    let mut bytes = Vec::new();
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        match parse(&bytes) {
            Some(Parsed::Whole { outcome, is_kept }) => return (outcome, is_kept),
            Some(Parsed::Garbage) => return (Outcome::Garbage, false),
            None if Instant::now() >= end => return (Outcome::Broken, false),
            None => {}
        }
        match stream.read(&mut buffer) {
            Ok(0) => return (Outcome::Broken, false),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return (Outcome::Broken, false),
        }
    }
}

enum Parsed {
    Whole { outcome: Outcome, is_kept: bool },
    Garbage,
}

/// Reads an answer; `None` if it is not whole.
fn parse(bytes: &[u8]) -> Option<Parsed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(Parsed::Garbage),
    };
    let status = response.code?;
    let header = |name: &str| {
        let found = response.headers.iter().find(|it| it.name.eq_ignore_ascii_case(name));
        found.map(|it| String::from_utf8_lossy(it.value).into_owned())
    };
    let rest = &bytes[head..];
    let is_chunked = header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let body = if is_chunked {
        dechunk(rest)?
    } else {
        let length: usize = header("content-length").map_or(Some(0), |it| it.parse().ok())?;
        rest.get(..length)?.to_vec()
    };
    let echoed = header(ANSWERED_ID);
    let closes = header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
    let outcome = Outcome::Whole { status, echoed, body };
    Some(Parsed::Whole { outcome, is_kept: !closes })
}

fn dechunk(mut rest: &[u8]) -> Option<Vec<u8>> {
    const LINE_END: &[u8] = b"\r\n";
    let mut body = Vec::new();
    loop {
        let line_end = rest.windows(LINE_END.len()).position(|window| window == LINE_END)?;
        let line = std::str::from_utf8(&rest[..line_end]).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = line_end + LINE_END.len();
        body.extend_from_slice(rest.get(start..start + size)?);
        rest = rest.get(start + size + LINE_END.len()..)?;
        if size == 0 {
            return Some(body);
        }
    }
}
