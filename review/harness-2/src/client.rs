//! A client: sends one request on a new connection and reads the answer to its end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client has seen of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0: no answer.
    pub status: u16,
    pub head: String,
    /// The body without transfer coding, as far as it has arrived.
    pub body: String,
    /// Whether the framing says that the body is whole.
    pub is_whole: bool,
    pub after_ms: u128,
}

/// Sends a request and reads its answer. `on_body` is called with the body so far.
pub fn send(
    node: SocketAddr,
    request: &str,
    max: Duration,
    mut on_body: impl FnMut(&str),
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect(node) else { return answer };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let _ = stream.write_all(request.as_bytes());
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut has_ended = false;
    while !has_ended && !answer.is_whole && started.elapsed() < max {
        match stream.read(&mut buffer) {
            Ok(0) => has_ended = true,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => has_ended = true,
        }
        parse(&bytes, &mut answer);
        on_body(&answer.body);
    }
    answer.after_ms = started.elapsed().as_millis();
    answer
}

fn parse(bytes: &[u8], answer: &mut Answer) {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return };
    answer.head = head.to_owned();
    answer.status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let lower = head.to_ascii_lowercase();
    if lower.contains("transfer-encoding: chunked") {
        (answer.body, answer.is_whole) = unchunk(rest);
        return;
    }
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
    answer.body = rest.chars().take(length).collect();
    answer.is_whole = rest.len() >= length;
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(usize::MAX);
        if size == 0 {
            return (body, after.starts_with("\r\n"));
        }
        let Some(piece) = after.get(..size) else {
            body.push_str(after);
            return (body, false);
        };
        body.push_str(piece);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
