//! A runner as a process of its own. `SCRIPT` says how it answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests that a plain runner works on at a time; it rejects what exceeds them.
const SLOTS: usize = 2;
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(60);
/// Time between two looks at a flag or a connection.
const POLL: Duration = Duration::from_millis(2);
/// Time that an event takes, which carries several tokens, and how many times as long at a slow runner.
const EVENT: Duration = Duration::from_millis(500);
const SLOW_FACTOR: u32 = 8;
/// One of this many answers of a faulty runner is spoiled: x = 0.02.
const ANSWERS_PER_SPOILED: usize = 50;

#[derive(Default)]
struct Runner {
    id: String,
    born: u64,
    script: String,
    running: AtomicUsize,
    answers: AtomicUsize,
    spoiled: AtomicUsize,
    /// Whether it works slowly.
    is_slow: AtomicBool,
    /// Whether its queue is so long that it takes no more connections.
    is_full: AtomicBool,
}

/// The beginnings of the last rejection and of the last answer on a connection, which a faulty runner sends again.
#[derive(Default)]
struct Memory {
    rejection: Option<String>,
    answer: Option<String>,
}

struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

pub fn run(arguments: &[String]) {
    let [id, address, born, script] = arguments else { std::process::exit(2) };
    let address: SocketAddr = address.parse().unwrap();
    let (id, born, script) = (id.clone(), born.parse().unwrap(), script.clone());
    let runner = Arc::new(Runner { id, born, script, ..Runner::default() });
    let listener = TcpListener::bind(address).unwrap();
    listener.set_nonblocking(true).unwrap();
    let obeying = runner.clone();
    std::thread::spawn(move || obeying.obey());
    // While it takes no more connections, the port resets them.
    while !runner.is_full.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(POLL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let runner = runner.clone();
        std::thread::spawn(move || runner.serve(stream));
    }
    drop(listener);
    println!("takes no more connections");
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

impl Runner {
    /// Does what the driver says on standard input.
    fn obey(&self) {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.as_str() {
                "slow" => self.is_slow.store(true, Ordering::SeqCst),
                "full" => self.is_full.store(true, Ordering::SeqCst),
                _ => {}
            }
            println!("is now {line}");
        }
    }

    /// Runs a stream of six events. The run starts with its first token; an event carries several tokens and is sent once
    /// they are made, the head with the first one. The request is dropped once its connection closes.
    fn run_tokens(&self, stream: &mut TcpStream, id: &str, first: u64, head: &str) -> bool {
        println!("{id}: run starts, first token");
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut is_head_sent = false;
        for event in first..=6 {
            let until = Instant::now() + EVENT;
            let mut until_slow = None;
            while Instant::now() < until_slow.unwrap_or(until) {
                if self.is_slow.load(Ordering::SeqCst) {
                    until_slow.get_or_insert(until + EVENT * (SLOW_FACTOR - 1));
                }
                if is_closed(stream) {
                    println!("{id}: run ends, its connection is closed");
                    return false;
                }
                std::thread::sleep(POLL);
            }
            let text = format!("id: {event}\ndata: piece {event} of 6\n\n");
            let head = if is_head_sent { "" } else { head.as_str() };
            is_head_sent = true;
            if write!(stream, "{head}{:x}\r\n{text}\r\n", text.len()).is_err() {
                println!("{id}: run ends, its connection is closed");
                return false;
            }
            println!("{id}: piece {event} of 6 sent");
        }
        println!("{id}: run ends, whole");
        write!(stream, "0\r\n\r\n").is_ok()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut memory = Memory::default();
        while let Some(request) = read_request(&mut stream) {
            if !self.answer(&mut stream, &request, &mut memory) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, stream: &mut TcpStream, request: &Request, memory: &mut Memory) -> bool {
        let expected = request.header("x-pitchstall-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return self.write(stream, request, 421, "x-pitchstall-not-executed: 1\r\n", "");
        }
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/health") => self.write(stream, request, 200, "", "{}"),
            ("GET", "/v1/report") => {
                let report = format!(
                    "{{\"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                println!("asked for its state: 200, born {}", self.born);
                self.write(stream, request, 200, "content-type: application/json\r\n", &report)
            }
            ("GET", target) if target.starts_with("/v1/kv-list") => {
                let list = format!(
                    "{{\"epoch\":\"e{0}\",\"next_token\":0,\"held\":[],\"born\":{0}}}",
                    self.born
                );
                self.write(stream, request, 200, "content-type: application/json\r\n", &list)
            }
            _ if self.script.starts_with("plain") => self.run_plain(stream, request, memory),
            _ => self.run(stream, request),
        }
    }

    fn run(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let id = request.header("x-pitchstall-request-id").to_owned();
        println!("runs {id} ({} {})", request.method, request.target);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pitchstall-Request-Id: {id}\r\nX-Pitchstall-Server-Stamp: s-{}-{}\r\n",
            self.id, self.born
        );
        match self.script.split(':').next().unwrap_or_default() {
            // A stream without a length, which finishes with its connection.
            "unframed-stream" => {
                let _ = write!(
                    stream,
                    "{head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                );
                for event in 1..=6 {
                    std::thread::sleep(Duration::from_millis(250));
                    if write!(stream, "id: {event}\ndata: piece {event} of 6\n\n").is_err() {
                        println!("{id}: its connection is closed");
                        return false;
                    }
                    println!("{id}: piece {event} of 6 sent");
                }
                println!("{id}: run ends, whole");
                false
            }
            "tokens" => {
                let after: Option<u64> = request.header("last-event-id").parse().ok();
                self.run_tokens(stream, &id, after.unwrap_or(0) + 1, &head)
            }
            other => panic!("unknown script {other}"),
        }
    }

    /// Runs a plain request, or rejects it while all slots are taken. A faulty runner sends more after a whole answer: the
    /// beginning of an earlier answer on the connection comes late, in the place where the next answer is due.
    fn run_plain(&self, stream: &mut TcpStream, request: &Request, memory: &mut Memory) -> bool {
        let id = request.header("x-pitchstall-request-id").to_owned();
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let is_full = running > SLOTS;
        if is_full {
            self.running.fetch_sub(1, Ordering::SeqCst);
            println!("rejects {id}: 503, not executed");
        } else {
            println!("runs {id} ({} {})", request.method, request.target);
        }
        // The beginning of a rejection comes before an answer, and that of an answer before a rejection.
        let earlier = if is_full { &mut memory.answer } else { &mut memory.rejection };
        let is_spoiled = self.script == "plain:torn-surplus"
            && earlier.is_some()
            && answers >= (self.spoiled.load(Ordering::SeqCst) + 1) * ANSWERS_PER_SPOILED;
        if let Some(torn) = earlier.take_if(|_| is_spoiled) {
            self.spoiled.fetch_add(1, Ordering::SeqCst);
            println!("{id}: the beginning of an earlier answer comes late: {torn:?}");
            let _ = stream.write_all(torn.as_bytes());
        }
        let load = format!("X-Pitchstall-Load-Report: {},0,{SLOTS}", running.min(SLOTS));
        if is_full {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Pitchstall-Request-Id: {id}\r\n\
                 X-Pitchstall-Not-Executed: 1\r\n{load}"
            );
            memory.rejection = Some(head.clone());
            return write!(stream, "{head}\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        std::thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        println!("{id}: run ends, 200");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pitchstall-Request-Id: {id}\r\n\
             X-Pitchstall-Server-Stamp: s-{}-{}\r\n{load}",
            self.id, self.born
        );
        memory.answer = Some(head.clone());
        let body = format!("answer to {id}");
        write!(stream, "{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
    }

    fn write(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        status: u16,
        headers: &str,
        body: &str,
    ) -> bool {
        let id = request.header("x-pitchstall-request-id");
        let id = if id.is_empty() {
            String::new()
        } else {
            format!("X-Pitchstall-Request-Id: {id}\r\n")
        };
        write!(
            stream,
            "HTTP/1.1 {status} Status\r\n{id}X-Pitchstall-Instance-Id: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .is_ok()
    }
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.lines();
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let request = Request { method, target, headers };
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(request)
}

/// Whether the peer has closed a connection on which it has sent nothing more.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
