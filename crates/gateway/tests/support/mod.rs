//! A node with stand-ins for the store and the runners, and a client that exposes every byte of the response.
#![allow(dead_code, clippy::unwrap_used, clippy::panic, missing_docs)]

pub mod cut_server;
pub mod log_lines;
pub mod versions;

use ntex::rt::{DefaultRuntime, System};
use pitchstall_gateway::daemon::{self, Signals};
use pitchstall_gateway::settings::Settings;
use pitchstall_platform_standins::runner::{Reaction, RunnerStandIn};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub const HOST: &str = "desk.example";

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A loopback address that no other fixture of this or another process uses. Picking free ports instead would be a
/// race: a port that is free now may be taken by the time it is used.
fn unique_loopback_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 200, low, NEXT.fetch_add(1, Ordering::SeqCst)).into()
}

/// The address of a node, reserved before the node starts.
#[derive(Clone, Copy)]
pub struct NodeAddress {
    ip: IpAddr,
}

impl NodeAddress {
    pub fn new() -> Self {
        Self { ip: unique_loopback_ip() }
    }

    /// Address at which other nodes reach the node.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }
}

const CLIENTS_PORT: u16 = 18_081;
const HEALTH_PORT: u16 = 18_082;
const PEERS_PORT: u16 = 18_083;

pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 5_000, "target_ms": 2_000, "priority": 1, "service": service,
        "max_attempts": 2, "sticky": false, "resumable": false, "gap_target_ms": 300,
    })
}

/// Routes `booking` (not idempotent), `lookup` (idempotent), `draft` (a stream) and `summary` (a
/// resumable stream).
pub fn configuration(version: u64) -> Value {
    let mut summary = route("summary", "streaming", "llm");
    summary["resumable"] = true.into();
    summary["sticky"] = true.into();
    let mut draft = route("draft", "streaming", "llm");
    draft["sticky"] = true.into();
    json!({
        "version": version,
        "routes": [
            route("booking", "non_idempotent", "desk"),
            route("lookup", "idempotent", "desk"),
            draft,
            summary,
        ],
        "services": [
            { "name": "desk", "health_path": "/health", "max_conns": 100 },
            { "name": "llm", "health_path": "/health", "max_conns": 100, "engine": {
                "slots": 8, "kv_tokens": 100_000, "handle_ttl_s": 5.0 } },
        ],
        "limits": { "max_header_bytes": 8_192, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
    })
}

/// The same configuration with 4,200 more routes and the route `added`, about 800 KB in total.
pub fn large_configuration(version: u64) -> Value {
    const MANY_ROUTES: usize = 4_200;
    let mut large = configuration(version);
    let routes = large["routes"].as_array_mut().unwrap();
    routes
        .extend((0..MANY_ROUTES).map(|number| route(&format!("n{number}"), "idempotent", "desk")));
    routes.push(route("added", "idempotent", "desk"));
    large
}

/// Whether a node serves a request on a route.
pub fn serves(node: &Fixture, name: &str) -> bool {
    let mut client = node.client();
    client.request("GET", &format!("/{name}/1"), "id", "", b"");
    client.read_response().status == 200
}

/// A runner's registry entry on a platform that does not report when runners start.
pub fn runner_entry(runner: &RunnerStandIn, service: &str, zone: &str, state: &str) -> Value {
    json!({
        "service": service, "address": runner.address().to_string(), "zone": zone,
        "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1,
    })
}

/// A complete JSON response with status 200.
pub fn json_response(text: &str) -> Reaction {
    Reaction::Respond { status: 200, body: text.as_bytes().to_vec() }
}

/// A prefill runner that accepts orders, reports that it has accepted three before, and stays in the prefill stage.
pub fn prefill_runner(id: &str) -> RunnerStandIn {
    RunnerStandIn::start(id, |request| match request.target.as_str() {
        "/v1/report" => json_response(r#"{"stage":"prefill","busy":false,"seq":3,"queued":0}"#),
        "/v1/kv-list" => json_response(r#"{"epoch":"e","next_token":0,"held":[]}"#),
        _ => Reaction::Respond { status: 202, body: Vec::new() },
    })
    .unwrap()
}

pub struct Fixture {
    pub store: StoreStandIn,
    pub clients: SocketAddr,
    pub health: SocketAddr,
    pub peers: SocketAddr,
    pub file: PathBuf,
    signals: Signals,
    thread: Option<JoinHandle<()>>,
}

impl Fixture {
    /// Starts a node with an empty store.
    pub fn start() -> Self {
        Self::start_with("")
    }

    /// Starts a node with an empty store and further sections in its settings. A first line with `retry_slack` replaces
    /// the usual one.
    pub fn start_with(sections: &str) -> Self {
        Self::start_node(StoreStandIn::start().unwrap(), "node-1", sections)
    }

    /// Starts another node with the same store.
    pub fn start_peer(&self, name: &str) -> Self {
        Self::start_node(self.store.clone(), name, "")
    }

    /// Starts another node with the same store and further sections in its settings.
    pub fn start_peer_with(&self, name: &str, sections: &str) -> Self {
        Self::start_node(self.store.clone(), name, sections)
    }

    /// Starts a node with a store that other nodes have used before.
    pub fn start_with_store(store: StoreStandIn, name: &str) -> Self {
        Self::start_node(store, name, "")
    }

    /// Starts another node with the same store and with this node as its seed.
    pub fn start_seeded_peer(&self, name: &str) -> Self {
        Self::start_node_at(
            self.store.clone(),
            name,
            &format!("seeds = [\"{}\"]\n", self.peers),
            "",
        )
    }

    /// Starts a node with an empty store and further lines in the `[node]` section of its settings.
    pub fn start_with_node_lines(node: &str) -> Self {
        Self::start_node_at(StoreStandIn::start().unwrap(), "node-1", node, "")
    }

    fn start_node(store: StoreStandIn, name: &str, sections: &str) -> Self {
        Self::start_node_at(store, name, "", sections)
    }

    fn start_node_at(store: StoreStandIn, name: &str, node: &str, sections: &str) -> Self {
        let store_address = store.address();
        Self::start_at(NodeAddress::new(), store, store_address, name, node, sections)
    }

    /// Starts a node at an address. The node reaches the store at `store_address`, which may be a proxy.
    pub fn start_at(
        address: NodeAddress,
        store: StoreStandIn,
        store_address: SocketAddr,
        name: &str,
        node: &str,
        sections: &str,
    ) -> Self {
        let at = |port: u16| SocketAddr::new(address.ip, port);
        let (clients, health, peers) = (at(CLIENTS_PORT), at(HEALTH_PORT), at(PEERS_PORT));
        let retry_slack =
            if sections.starts_with("retry_slack") { "" } else { "retry_slack = 4.0\n" };
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"north\"\n{node}\
             [listen]\ncallers = \"{clients}\"\nhealth = \"{health}\"\npeers = \"{peers}\"\n\
             [store]\naddress = \"{store_address}\"\n\
             [bounds]\ncontact_ms = 1000\ngrace_s = 5.0\nlease_ms = 200\nretry_ratio = 1.2\n{retry_slack}{sections}",
        );
        let file = std::env::temp_dir().join(format!("pitchstall-{}.toml", clients.ip()));
        std::fs::write(&file, &text).unwrap();
        let settings = Settings::read(&file).unwrap();
        let signals = Signals::default();
        let node_signals = signals.clone();
        let path = file.clone();
        let thread = std::thread::spawn(move || {
            let run = daemon::run(settings, path, node_signals);
            System::build().name("node").build(DefaultRuntime).block_on(run).unwrap();
        });
        let thread = Some(thread);
        let fixture = Self { store, clients, health, peers, file, signals, thread };
        // The node binds its addresses one after the other.
        let is_listening = |address| TcpStream::connect(address).is_ok();
        wait_for("the node to listen", || is_listening(clients) && is_listening(health));
        fixture
    }

    /// Starts a node and waits until it is ready with the default configuration and the given runners, each with its
    /// service and stage.
    pub fn with_runners(runners: &[(&RunnerStandIn, &str, Option<&str>)]) -> Self {
        let fixture = Self::start();
        fixture.store.put("op/config", &configuration(3));
        for (runner, service, stage) in runners {
            fixture.add_runner(runner, service, *stage);
        }
        fixture.wait_until_ready();
        fixture
    }

    pub fn add_runner(&self, runner: &RunnerStandIn, service: &str, stage: Option<&str>) {
        self.put_runner(runner, service, stage, "ready");
    }

    pub fn put_runner(
        &self,
        runner: &RunnerStandIn,
        service: &str,
        stage: Option<&str>,
        state: &str,
    ) {
        self.put_runner_in("north", runner, service, stage, state);
    }

    /// Adds a decode runner of a software version.
    pub fn add_runner_of_version(&self, runner: &RunnerStandIn, version: &str) {
        let mut entry = runner_entry(runner, "llm", "north", "ready");
        entry["stage"] = "decode".into();
        entry["version"] = version.into();
        self.store.put(&format!("servers/{}", runner.id()), &entry);
    }

    pub fn put_runner_in(
        &self,
        zone: &str,
        runner: &RunnerStandIn,
        service: &str,
        stage: Option<&str>,
        state: &str,
    ) {
        let mut entry = runner_entry(runner, service, zone, state);
        if let Some(stage) = stage {
            entry["stage"] = stage.into();
        }
        self.store.put(&format!("servers/{}", runner.id()), &entry);
    }

    pub fn is_ready(&self) -> bool {
        get(self.health, "/v1/ready").status == 200
    }

    pub fn wait_until_ready(&self) {
        wait_for("the node to be ready", || self.is_ready());
        // Entries written before the node was ready may arrive through the watch a moment later.
        std::thread::sleep(Duration::from_millis(100));
    }

    pub fn client(&self) -> RawClient {
        RawClient::connect(self.clients)
    }

    pub fn request_stop(&self) {
        self.signals.request_stop();
    }

    /// Waits until the node has stopped by itself.
    pub fn join(mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.signals.request_stop();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A response as received on the wire.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the response is complete according to its framing.
    pub complete: bool,
}

impl RawResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// How a connection ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The node closed its sending side in an orderly way (FIN).
    Closed,
    /// The node reset the connection (RST).
    Reset,
}

pub struct RawClient {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl RawClient {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self { stream, unread: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a request with a body of a known length.
    pub fn request(&mut self, method: &str, path: &str, id: &str, extra: &str, body: &[u8]) {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("content-length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Pitchstall-Request-Id: {id}\r\n{extra}{length}\r\n"
        );
        self.send(&[head.as_bytes(), body].concat());
    }

    /// Sends a POST request as a client that speaks HTTP/1.0 does.
    pub fn request_http10(&mut self, path: &str, id: &str, extra: &str) {
        let head = format!(
            "POST {path} HTTP/1.0\r\nHost: {HOST}\r\nX-Pitchstall-Request-Id: {id}\r\n{extra}content-length: 1\r\n\r\nx"
        );
        self.send(head.as_bytes());
    }

    /// Reads until the connection ends. Takes all bytes after the head for the body, as a client of HTTP/1.0 does if
    /// there is no length.
    pub fn read_until_end(&mut self) -> (RawResponse, ConnectionEnd) {
        let end = match self.stream.read_to_end(&mut self.unread) {
            Ok(_) => ConnectionEnd::Closed,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => ConnectionEnd::Reset,
            Err(error) => panic!("the connection did not end: {error}"),
        };
        let bytes = std::mem::take(&mut self.unread);
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
        let mut response = parse_head(std::str::from_utf8(&bytes[..head_end]).unwrap());
        response.body = bytes[head_end + 4..].to_vec();
        (response, end)
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.unread.extend_from_slice(&buffer[..length]);
                true
            }
        }
    }

    /// Whether the first byte of a response arrives within a time. It stays unread.
    pub fn has_response_within(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).unwrap();
        let has_response = matches!(self.stream.peek(&mut [0]), Ok(length) if length > 0);
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        has_response
    }

    /// Waits for further bytes and returns whether the node has closed the connection instead.
    pub fn is_closed_by_node(&mut self) -> bool {
        !self.read_more()
    }

    /// Reads until a text has arrived, and leaves it in the buffer.
    pub fn wait_for_text(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.unread).contains(text) {
            assert!(self.read_more(), "the connection ended before {text:?}");
        }
    }

    /// Whether a text is among the bytes that have arrived and are not read yet.
    pub fn has_received(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.unread).contains(text)
    }

    pub fn read_response(&mut self) -> RawResponse {
        let head_end = loop {
            let end = self.unread.windows(4).position(|window| window == b"\r\n\r\n");
            match end {
                Some(end) => break end + 4,
                None if self.read_more() => {}
                None => return RawResponse::default(),
            }
        };
        let head: Vec<u8> = self.unread.drain(..head_end).collect();
        let mut response = parse_head(&String::from_utf8(head).unwrap());
        if response.header("transfer-encoding") == Some("chunked") {
            self.read_chunks(&mut response);
        } else {
            let length = response.header("content-length").map_or(0, |it| it.parse().unwrap());
            while self.unread.len() < length && self.read_more() {}
            response.complete = self.unread.len() >= length;
            let length = length.min(self.unread.len());
            response.body = self.unread.drain(..length).collect();
        }
        response
    }

    fn read_chunks(&mut self, response: &mut RawResponse) {
        loop {
            let line_end = loop {
                match self.unread.windows(2).position(|window| window == b"\r\n") {
                    Some(end) => break end,
                    None if self.read_more() => {}
                    None => return,
                }
            };
            let line = String::from_utf8(self.unread[..line_end].to_vec()).unwrap();
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let chunk_end = line_end + 2 + size + 2;
            while self.unread.len() < chunk_end {
                if !self.read_more() {
                    return;
                }
            }
            response.body.extend_from_slice(&self.unread[line_end + 2..line_end + 2 + size]);
            self.unread.drain(..chunk_end);
            if size == 0 {
                response.complete = true;
                return;
            }
        }
    }
}

fn parse_head(text: &str) -> RawResponse {
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let headers = lines.filter_map(|line| line.split_once(": "));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()));
    RawResponse { status, headers: headers.collect(), ..RawResponse::default() }
}

/// Sends a GET request without an id on a new connection.
pub fn get(address: SocketAddr, path: &str) -> RawResponse {
    let mut client = RawClient::connect(address);
    client.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    client.read_response()
}
