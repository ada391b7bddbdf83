//! Real processes of the program under clients that read no answers, never end what they begin, or only hold connections.
//! What the process holds stays within its settings, and an ordinary request is answered.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_platform_standins::runner::{engine_script, Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use support::{Node, READY_TIMEOUT};

/// What the process may take, by its settings.
const MEMORY_MB: u64 = 64;
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
const FILE_DESCRIPTORS: usize = 256;
/// Descriptors that hold more connections than the memory does.
const MANY_FILE_DESCRIPTORS: usize = 4_000;
/// Connections that send ahead, and what each of them sends at most.
const SENDERS: usize = 16;
const BYTES_SENT_AHEAD: usize = 16 * 1024 * 1024;
/// Connections that are only held; more than the descriptors of the process.
const HOLDERS: usize = 300;
/// Time after which a client that cannot send sends no more.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an ordinary request is answered, over all of its attempts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// So long that no connection ends by its timeouts during a test.
const CLIENT_TIMEOUT_MS: u64 = 600_000;

/// Held while a test runs, as the crowds of two tests would take each other's processor and memory.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A node whose settings bound its memory and descriptors, with a runner that answers, one that never does, and one that
/// serves a language model.
struct Fixture {
    node: Node,
    file_descriptors: usize,
    _store: StoreStandIn,
    _runners: Vec<RunnerStandIn>,
    _turn: MutexGuard<'static, ()>,
}

impl Fixture {
    fn start() -> Self {
        Self::start_with(FILE_DESCRIPTORS)
    }

    fn start_with(file_descriptors: usize) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let store = StoreStandIn::start().unwrap();
        store.put("op/config", &configuration());
        let quick = RunnerStandIn::start("quick", |_| Reaction::Respond {
            status: 200,
            body: b"served".to_vec(),
        });
        let silent = RunnerStandIn::start("silent", |_| Reaction::Silent);
        let engine = RunnerStandIn::start("llm", engine_script(1));
        let runners = vec![quick.unwrap(), silent.unwrap(), engine.unwrap()];
        for runner in &runners {
            store.put(&format!("servers/{}", runner.id()), &runner_entry(runner));
        }
        let sections =
            format!("[machine]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {file_descriptors}\n");
        let mut node = Node::new("node-1", "north", store.address(), &sections);
        node.start();
        let fixture =
            Self { node, file_descriptors, _store: store, _runners: runners, _turn: turn };
        wait_for("the node to be ready", READY_TIMEOUT, || fixture.node.is_ready());
        fixture.assert_request_served();
        fixture
    }

    /// Asserts that an ordinary request on a connection of its own is answered, if need be after further attempts.
    fn assert_request_served(&self) {
        wait_for("an ordinary request to be answered", ANSWER_TIMEOUT, || {
            TcpStream::connect(self.node.clients()).is_ok_and(|stream| is_served(&stream))
        });
    }

    fn assert_within_bounds(&mut self) {
        assert!(self.node.is_running(), "the process has ended");
        let (peak, most) = (self.node.peak_memory_bytes(), MEMORY_MB * BYTES_PER_MEGABYTE);
        let open = self.node.open_descriptors();
        println!("{peak} bytes of memory at most, {open} descriptors open");
        assert!(peak <= most, "{peak} bytes of memory, {most} allowed");
        let allowed = self.file_descriptors;
        assert!(open <= allowed, "{open} descriptors, {allowed} allowed");
    }

    /// Asserts the bounds, and that an ordinary request is served, with the crowd and after it.
    fn assert_unharmed_by(&mut self, crowd: Vec<TcpStream>) {
        self.assert_request_served();
        self.assert_within_bounds();
        drop(crowd);
        self.assert_request_served();
        self.assert_within_bounds();
    }
}

fn wait_for(what: &str, time: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + time;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The route of a path, to the service that the path begins with.
fn route(path: &str) -> Value {
    let service = path.split('/').next().unwrap();
    json!({
        "name": path, "host": "desk.example", "path_prefix": format!("/{path}/"), "kind": "idempotent",
        "timeout_ms": 3_000, "target_ms": 2_000, "priority": 1, "service": service, "max_attempts": 2, "sticky": false,
        "resumable": false, "gap_target_ms": 300,
    })
}

/// A configuration of some kilobytes, which nodes send each other in one line.
fn configuration() -> Value {
    const FURTHER_ROUTES: usize = 20;
    let further = (0..FURTHER_ROUTES).map(|number| format!("quick/further-{number}"));
    let names = ["quick".to_owned(), "silent".to_owned()].into_iter().chain(further);
    let mut routes: Vec<Value> = names.map(|name| route(&name)).collect();
    let mut stream = route("llm");
    stream["kind"] = "streaming".into();
    stream["sticky"] = true.into();
    routes.push(stream);
    json!({
        "version": 3,
        "routes": routes,
        "services": [
            { "name": "quick", "health_path": "/health", "max_conns": 100 },
            { "name": "silent", "health_path": "/health", "max_conns": 2_000 },
            { "name": "llm", "health_path": "/health", "max_conns": 100, "engine": {
                "slots": 32, "kv_tokens": 100_000, "handle_ttl_s": 5.0 } },
        ],
        "limits": { "max_header_bytes": 15_000, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": CLIENT_TIMEOUT_MS, "idle_timeout_ms": CLIENT_TIMEOUT_MS },
    })
}

fn runner_entry(runner: &RunnerStandIn) -> Value {
    json!({
        "service": runner.id(), "address": runner.address().to_string(), "zone": "north", "version": "v1", "slots": 2_000,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "stage": "decode",
    })
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: 9c41d07be2a35f68\r\n\r\n")
        .into_bytes()
}

/// Whether an ordinary request on this connection is served.
fn is_served(stream: &TcpStream) -> bool {
    ask(stream, "/quick/1").is_some_and(|answer| {
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nserved")
    })
}

/// The answer to a `GET` whose body is short; `None` if there is none.
fn ask(mut stream: &TcpStream, path: &str) -> Option<String> {
    const ANSWER_BYTES: usize = 4_096;
    stream.set_read_timeout(Some(ATTEMPT_TIMEOUT)).ok()?;
    stream.write_all(&get(path)).ok()?;
    let mut answer = vec![0; ANSWER_BYTES];
    let mut length = 0;
    loop {
        let text = String::from_utf8_lossy(&answer[..length]).into_owned();
        if is_complete(&text) {
            return Some(text);
        }
        match stream.read(&mut answer[length..]) {
            Ok(read) if read > 0 => length += read,
            _ => return None,
        }
    }
}

fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().unwrap())
}

/// Sends `piece` again and again on each of some connections, until nothing more is taken, and reads nothing.
fn send_ahead(address: SocketAddr, senders: usize, piece: &[u8]) -> Vec<TcpStream> {
    let start = || {
        let piece = piece.repeat(1 + 64 * 1024 / piece.len());
        std::thread::spawn(move || send_until_refused(address, &piece))
    };
    let threads: Vec<_> = (0..senders).map(|_| start()).collect();
    threads.into_iter().filter_map(|thread| thread.join().unwrap()).collect()
}

fn send_until_refused(address: SocketAddr, pieces: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    let mut sent = 0;
    while sent < BYTES_SENT_AHEAD {
        match stream.write(&pieces[sent % pieces.len()..]) {
            Ok(length) if length > 0 => sent += length,
            _ => break,
        }
    }
    Some(stream)
}

/// Opens connections on which only `bytes` are sent.
fn hold(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect_timeout(&address, ATTEMPT_TIMEOUT).ok()?;
        stream.write_all(bytes).ok()?;
        Some(stream)
    };
    (0..HOLDERS).filter_map(connect).collect()
}

/// Guards against bytes read without bound while a request is handled.
#[test]
fn requests_sent_ahead_and_unread_at_a_route_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = send_ahead(fixture.node.clients(), SENDERS, &get("/quick/1"));
    fixture.assert_unharmed_by(crowd);
}

/// Guards against bytes read without bound while a runner does not answer.
#[test]
fn requests_sent_ahead_and_unread_at_a_route_with_a_silent_runner_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = send_ahead(fixture.node.clients(), SENDERS, &get("/silent/1"));
    fixture.assert_unharmed_by(crowd);
}

/// Guards against bytes read without bound beside requests that the node answers itself.
#[test]
fn requests_sent_ahead_and_unread_at_the_ready_path_are_bounded() {
    let mut fixture = Fixture::start();
    let mut crowd = send_ahead(fixture.node.clients(), SENDERS, &get("/v1/ready"));
    crowd.extend(send_ahead(fixture.node.health(), SENDERS, &get("/v1/ready")));
    fixture.assert_unharmed_by(crowd);
}

/// Guards against bytes read without bound beside requests without a route.
#[test]
fn requests_sent_ahead_and_unread_at_unrouted_paths_are_bounded() {
    let mut fixture = Fixture::start();
    let mut crowd = send_ahead(fixture.node.clients(), SENDERS, &get("/nowhere/1"));
    crowd.extend(send_ahead(fixture.node.health(), SENDERS, &get("/nowhere/1")));
    fixture.assert_unharmed_by(crowd);
}

/// Guards against bodies that take more memory than all of them together may.
#[test]
fn bodies_that_never_end_are_bounded() {
    const CLIENTS: usize = 96;
    let mut fixture = Fixture::start();
    let address = fixture.node.clients();
    let head = format!(
        "POST /quick/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: 9c41d07be2a35f68\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let unended = [head.as_bytes(), &vec![b'x'; MAX_BODY_BYTES - 1]].concat();
    let send = |_| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
        let _ = stream.write_all(&unended);
        Some(stream)
    };
    let crowd = (0..CLIENTS).filter_map(send).collect();
    fixture.assert_unharmed_by(crowd);
}

/// Guards against prompts of which a node remembers parts without end, as they have no tokens.
#[test]
fn prompts_of_many_parts_without_tokens_are_bounded() {
    const REQUESTS: usize = 1_500;
    const PARTS: usize = 1_200;
    let mut fixture = Fixture::start();
    let address = fixture.node.clients();
    for number in 0..REQUESTS {
        let parts = (0..PARTS).map(|part| format!("{:x}:0", number * PARTS + part));
        let parts: Vec<String> = parts.collect();
        let request = format!(
            "GET /llm/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: id-{number}\r\n\
             X-Pitchstall-Model: m\r\nX-Pitchstall-Token-Count: 10,1\r\nX-Pitchstall-Prefix-Hash: {}\r\n\
             Connection: close\r\n\r\n",
            parts.join(",")
        );
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(ATTEMPT_TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("token 1"), "{answer}");
    }
    fixture.assert_unharmed_by(Vec::new());
}

/// Guards against connections to runners that take the descriptors which clients leave.
#[test]
fn requests_in_progress_take_no_more_descriptors_than_there_are() {
    let mut fixture = Fixture::start();
    let crowd = hold(fixture.node.clients(), &get("/silent/1"));
    fixture.assert_unharmed_by(crowd);
}

/// Guards against bytes read ahead on many connections that together exceed the memory, though those of each are few.
#[test]
fn requests_sent_ahead_on_many_connections_are_bounded_together() {
    const BYTES_EACH: usize = 160 * 1024;
    let request = get("/silent/1");
    let pieces = request.repeat(BYTES_EACH / request.len());
    let mut fixture = Fixture::start_with(MANY_FILE_DESCRIPTORS);
    let crowd = send_on_many(fixture.node.clients(), &pieces);
    fixture.assert_unharmed_by(crowd);
}

/// Guards against requests in progress whose heads together exceed the memory, though each is within the limits.
#[test]
fn long_heads_of_many_requests_in_progress_are_bounded_together() {
    const PARTS: usize = 1_200;
    let parts: Vec<String> = (0..PARTS).map(|part| format!("{:08x}:1", part)).collect();
    let parts = parts.join(",");
    let request = format!(
        "GET /silent/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pitchstall-Request-Id: 9c41d07be2a35f68\r\n\
         X-Pitchstall-Model: m\r\nX-Pitchstall-Token-Count: {PARTS},1\r\nX-Pitchstall-Prefix-Hash: {parts}\r\n\r\n"
    );
    let mut fixture = Fixture::start_with(MANY_FILE_DESCRIPTORS);
    let crowd = send_on_many(fixture.node.clients(), request.as_bytes());
    fixture.assert_unharmed_by(crowd);
}

/// Guards against buffers kept for configurations of connections that are no longer in use.
#[test]
fn connections_to_two_addresses_in_turn_take_no_further_memory() {
    const TURNS: usize = 4_000;
    let mut fixture = Fixture::start();
    for _ in 0..TURNS {
        ask(&TcpStream::connect(fixture.node.clients()).unwrap(), "/nowhere/1").unwrap();
        ask(&TcpStream::connect(fixture.node.health()).unwrap(), "/v1/ready").unwrap();
    }
    fixture.assert_unharmed_by(Vec::new());
}

/// Sends bytes once on each of many connections, as far as they are taken, and reads nothing.
fn send_on_many(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    const CONNECTIONS: usize = 800;
    let send = |_| {
        let mut stream = TcpStream::connect_timeout(&address, ATTEMPT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write(bytes);
        Some(stream)
    };
    (0..CONNECTIONS).filter_map(send).collect()
}

/// Guards against a table of client connections that silent ones fill.
#[test]
fn silent_connections_shut_out_no_client() {
    let mut fixture = Fixture::start();
    let crowd = hold(fixture.node.clients(), b"");
    fixture.assert_unharmed_by(crowd);
}

/// Guards against a table of client connections that are held open by a byte now and then.
#[test]
fn heads_that_never_end_shut_out_no_client() {
    let mut fixture = Fixture::start();
    let mut crowd =
        hold(fixture.node.clients(), b"GET /quick/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pad: ");
    crowd.retain_mut(|stream| stream.write_all(b"x").is_ok());
    fixture.assert_unharmed_by(crowd);
}

/// Guards against a table of client connections that rest after a request.
#[test]
fn connections_that_rest_after_a_request_shut_out_no_client() {
    let mut fixture = Fixture::start();
    let address = fixture.node.clients();
    let connect = |_| TcpStream::connect(address).ok().filter(|it| ask(it, "/nowhere/1").is_some());
    let crowd = (0..HOLDERS).filter_map(connect).collect();
    fixture.assert_unharmed_by(crowd);
}

/// Guards against room that is made by closing the connection of a client that sends its requests whole.
#[test]
fn a_kept_connection_outlasts_silent_ones() {
    let mut fixture = Fixture::start();
    let kept = TcpStream::connect(fixture.node.clients()).unwrap();
    assert!(is_served(&kept));
    let crowd = hold(fixture.node.clients(), b"");
    assert!(is_served(&kept), "the kept connection was closed");
    fixture.assert_unharmed_by(crowd);
}

/// Guards against connections to the health address without a bound.
#[test]
fn silent_connections_to_the_health_address_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = hold(fixture.node.health(), b"");
    fixture.assert_unharmed_by(crowd);
    let crowd = hold(fixture.node.health(), b"");
    wait_for("the node to say that it is ready", ANSWER_TIMEOUT, || fixture.node.is_ready());
    fixture.assert_unharmed_by(crowd);
}

/// Guards against connections to the address for other nodes without a bound by descriptors.
#[test]
fn silent_connections_to_the_address_for_nodes_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = hold(fixture.node.peers(), b"");
    assert_replica_sent(&fixture.node);
    fixture.assert_unharmed_by(crowd);
}

/// Guards against addresses whose bounds together exceed the descriptors of the process.
#[test]
fn silent_connections_to_all_addresses_are_bounded_together() {
    let mut fixture = Fixture::start();
    let mut crowd = hold(fixture.node.health(), b"");
    crowd.extend(hold(fixture.node.peers(), b""));
    crowd.extend(hold(fixture.node.clients(), b""));
    wait_for("the node to say that it is ready", ANSWER_TIMEOUT, || fixture.node.is_ready());
    assert_replica_sent(&fixture.node);
    fixture.assert_unharmed_by(crowd);
}

/// Guards against lines of any length on the address for other nodes.
#[test]
fn lines_that_never_end_at_the_address_for_nodes_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = hold(fixture.node.peers(), &vec![b' '; 1_000_000]);
    assert_replica_sent(&fixture.node);
    fixture.assert_unharmed_by(crowd);
}

/// Guards against replies that are written on and on to a node that reads none.
#[test]
fn queries_sent_ahead_and_unread_at_the_address_for_nodes_are_bounded() {
    let mut fixture = Fixture::start();
    let crowd = send_ahead(fixture.node.peers(), SENDERS, REPLICA_QUERY);
    assert_replica_sent(&fixture.node);
    fixture.assert_unharmed_by(crowd);
}

/// Asks for the configuration, at once.
const REPLICA_QUERY: &[u8] = b"{\"subject\":\"c\",\"after\":null,\"wait_ms\":0}\n";

/// Asserts that a node that follows this one's replica gets a reply, if need be after further attempts.
fn assert_replica_sent(node: &Node) {
    wait_for("a replica to be sent", ANSWER_TIMEOUT, || {
        let Ok(mut stream) = TcpStream::connect(node.peers()) else { return false };
        stream.set_read_timeout(Some(ATTEMPT_TIMEOUT)).unwrap();
        let mut first = [0];
        stream.write_all(REPLICA_QUERY).is_ok() && matches!(stream.read(&mut first), Ok(1))
    });
}
