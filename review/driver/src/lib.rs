//! Starts nodes of pitchstall as separate processes, with stand-ins for the store and the runners in this process, and
//! records what clients and runners see.

use pitchstall_platform_standins::documents::{runner_key, RunnerDocument, CONFIGURATION_KEY};
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The rule held.
pub const HELD: i32 = 0;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// Writes what happened to the case's `record.txt`, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:>7} ms  {text}");
        }
    }
}

/// A node's process.
pub struct NodeProcess {
    child: Child,
    /// Name of the node.
    pub name: String,
    /// Address for clients.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub health: SocketAddr,
}

impl NodeProcess {
    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Lines of the node's output that contain a text.
    pub fn log_lines(&self, places: &Places, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(places.temporary.join(format!("{}.log", self.name)))
            .unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address on which nobody listens. Ports below those that the system gives to outgoing connections are tried, so that
/// no connection takes the port before the node does.
fn free_address() -> std::io::Result<SocketAddr> {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const FIRST: u16 = 20_000;
    const COUNT: u16 = 10_000;
    let start = (std::process::id() % 200) as u16 * 50;
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(start) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// Process ids of the nodes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all nodes and this program if the case takes too long.
fn end_after_time_limit() {
    const TIME_LIMIT: Duration = Duration::from_secs(100);
    std::thread::sleep(TIME_LIMIT);
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for pid in started {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    std::process::exit(NOT_RUN);
}

/// Where the programs and the temporary files are.
pub struct Places {
    /// The root of the repository.
    pub root: PathBuf,
    /// The case's `record.txt`.
    pub record: PathBuf,
    /// A temporary folder, removed at the end.
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Places {
    /// Reads the root of the repository and the path of the record from the arguments.
    pub fn from_arguments() -> Option<Self> {
        let mut arguments = std::env::args().skip(1);
        let root = PathBuf::from(arguments.next()?);
        let record = PathBuf::from(arguments.next()?);
        let temporary =
            std::env::temp_dir().join(format!("pitchstall-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        std::thread::spawn(end_after_time_limit);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        Some(Self { root, record, temporary, trouble })
    }
}

impl Drop for Places {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.temporary);
    }
}

/// Starts a node with the command of the deploy file and settings as its template fills them in for a small deployment.
pub fn start_node(
    places: &Places,
    name: &str,
    zone: &str,
    zones: &[&str],
    store: SocketAddr,
) -> std::io::Result<NodeProcess> {
    let (callers, health, peers) = (free_address()?, free_address()?, free_address()?);
    let regions: String =
        zones.iter().map(|zone| format!("\"{zone}\" = \"finistere\"\n")).collect();
    let settings = format!(
        "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nseeds = []\n\n[node.regions]\n{regions}\n[listen]\ncallers = \"{callers}\"\n\
         health = \"{health}\"\npeers = \"{peers}\"\n\n[store]\naddress = \"{store}\"\n\n[bounds]\ncontact_ms = 3000\ngrace_s = 8\n\
         lease_ms = 3000\nretry_ratio = 0.2\nretry_slack = 54\nconfig_apply_ms = 2000\n\n[machine]\nmemory_mb = 260\n\
         file_descriptors = 4100\nprocessor_share = 0.25\n"
    );
    let path = places.temporary.join(format!("{name}.toml"));
    std::fs::write(&path, settings)?;
    let log = File::create(places.temporary.join(format!("{name}.log")))?;
    let child = Command::new(places.root.join("target/release/pitchstall"))
        .args(["serve", "--settings"])
        .arg(&path)
        .current_dir(&places.root)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    if let Ok(mut started) = STARTED.lock() {
        started.push(child.id());
    }
    Ok(NodeProcess { child, name: name.to_owned(), callers, health })
}

/// Waits until each node says that it is ready.
pub fn wait_until_ready(nodes: &[&NodeProcess]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    let is_ready = |node: &&NodeProcess| {
        let mut client = match Client::connect(node.health) {
            Ok(client) => client,
            Err(_) => return false,
        };
        matches!(
            client
                .exchange(b"GET /v1/ready HTTP/1.1\r\nhost: ready\r\n\r\n", Duration::from_secs(1)),
            Answer::Whole { status: 200, .. }
        )
    };
    while Instant::now() < end {
        if nodes.iter().all(is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Writes the configuration in the way the operator does.
pub fn put_configuration(store: &StoreStandIn, configuration: &Value) {
    store.put(CONFIGURATION_KEY, configuration);
}

/// Writes a runner's entry.
pub fn put_runner(
    store: &StoreStandIn,
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    stage: Option<&str>,
) {
    let document =
        RunnerDocument { service, address, zone, is_draining: false, stage, born_ms: None };
    store.put(&runner_key(id), &document.to_json());
}

/// What a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete answer.
    Whole {
        /// Status code.
        status: u16,
        /// The head, in lower case.
        head: String,
        /// The whole body.
        body: Vec<u8>,
    },
    /// The connection ended before the answer was complete; `bytes` were received.
    Closed {
        /// Number of bytes received.
        bytes: usize,
    },
    /// The answer was not complete in time.
    TimedOut {
        /// Number of bytes received.
        bytes: usize,
    },
}

/// A client's kept connection.
pub struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    /// Opens a connection.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, unread: Vec::new() })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The stream, for unusual ways of closing.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> Answer {
        if !self.send(request) {
            return Answer::Closed { bytes: 0 };
        }
        self.read_answer(limit)
    }

    /// Reads an answer with a length or in chunks.
    pub fn read_answer(&mut self, limit: Duration) -> Answer {
        let end = Instant::now() + limit;
        loop {
            if let Some(answer) = self.take_answer() {
                return answer;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Answer::TimedOut { bytes: self.unread.len() };
            }
            let _ = self.stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1))));
            let mut buffer = [0; 16 * 1024];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Answer::Closed { bytes: self.unread.len() },
                Ok(length) => self.unread.extend_from_slice(&buffer[..length]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return Answer::Closed { bytes: self.unread.len() },
            }
        }
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let end = find(&self.unread, b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.unread[..end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let value = |name: &str| {
            head.lines().find_map(|line| {
                line.strip_prefix(&format!("{name}:")).map(|value| value.trim().to_owned())
            })
        };
        let rest = &self.unread[end..];
        let (body, used) = if value("transfer-encoding").as_deref() == Some("chunked") {
            dechunk(rest)?
        } else {
            let length: usize =
                value("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            (rest.get(..length)?.to_vec(), length)
        };
        self.unread.drain(..end + used);
        Some(Answer::Whole { status, head, body })
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn dechunk(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let line = at + find(&bytes[at..], b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&bytes[at..line]).ok()?.trim(), 16).ok()?;
        let start = line + 2;
        body.extend_from_slice(bytes.get(start..start + size)?);
        bytes.get(start + size..start + size + 2)?;
        at = start + size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

/// Builds a request.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Pitchstall-Request-Id: {id}\r\nX-Pitchstall-Deadline-Ms: {deadline_ms}\r\n{extra}"
    )
    .into_bytes();
    if method != "GET" || !body.is_empty() {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// The ids of the requests that runners have run, with the runner.
#[derive(Clone, Default)]
pub struct Runs {
    ids: Arc<Mutex<BTreeSet<String>>>,
}

impl Runs {
    /// Records a run.
    pub fn add(&self, id: &str) {
        if let Ok(mut ids) = self.ids.lock() {
            ids.insert(id.to_owned());
        }
    }

    /// Whether a request has run.
    pub fn has(&self, id: &str) -> bool {
        self.ids.lock().is_ok_and(|ids| ids.contains(id))
    }
}
