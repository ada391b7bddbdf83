//! Sends one request on a connection of its own and sees every byte of its answer.

use crate::history::Outcome;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longer than any request is held.
const ANSWER_LIMIT: Duration = Duration::from_secs(12);
const MOST_HEADERS: usize = 32;

/// Sends a request and reads until the node closes the connection.
pub fn exchange(node: SocketAddr, request: &[u8]) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&node, CONNECT_LIMIT) else {
        return Outcome::NotSent;
    };
    let ready = stream.set_read_timeout(Some(ANSWER_LIMIT)).is_ok();
    if !ready || stream.write_all(request).is_err() {
        return Outcome::Broken;
    }
    let mut bytes = Vec::new();
    let ended_in_order = stream.read_to_end(&mut bytes).is_ok();
    match parse(&bytes) {
        // An answer whose framing is complete counts, however the connection ended.
        Some(Parsed::Whole(outcome)) => outcome,
        Some(Parsed::Garbage) if ended_in_order => Outcome::Garbage,
        _ => Outcome::Broken,
    }
}

enum Parsed {
    Whole(Outcome),
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
    let echoed = header("x-pitchstall-request-id");
    Some(Parsed::Whole(Outcome::Whole { status, echoed, body }))
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
