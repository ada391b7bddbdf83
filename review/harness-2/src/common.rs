//! What all cases share: the record, free ports, nodes as separate processes, runners as separate processes, and a link
//! that can be cut.

use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>,
    times: Arc<Mutex<Vec<u128>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            lines: Arc::default(),
            times: Arc::default(),
            started: Instant::now(),
        }
    }

    pub fn write(&self, line: &str) {
        let ms = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} ms  {line}");
        println!("{ms:>6} ms  {line}");
        let (mut times, mut lines) = (self.times.lock().unwrap(), self.lines.lock().unwrap());
        times.push(ms);
        lines.push(line.to_owned());
    }

    pub fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// When the first line that contains a text was written, in milliseconds.
    pub fn time_of(&self, text: &str) -> Option<u128> {
        let (times, lines) = (self.times.lock().unwrap(), self.lines.lock().unwrap());
        lines.iter().position(|line| line.contains(text)).map(|index| times[index])
    }

    /// Lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        self.lines.lock().unwrap().iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

/// Whether the case brings its disruption about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An address with a free port of the loopback interface, below those that the system gives to outgoing connections, so
/// that none of these takes it before it is used.
pub fn free_address() -> SocketAddr {
    const FIRST: usize = 12_000;
    const PORTS: usize = 20_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    for _ in 0..PORTS {
        let offset = std::process::id() as usize * 64 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = u16::try_from(FIRST + offset % PORTS).unwrap();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
    cannot_run("no port is free")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A child process that is killed when it is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node of the project, started with the command of the deploy file.
pub struct Node {
    _process: Process,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    pub log: PathBuf,
}

/// Starts a node with the settings of `deploy/node.toml.template`, filled as for iroise-dispatch.
pub fn start_node(folder: &Folder, store: SocketAddr, name: &str, zone: &str) -> Node {
    let (callers, health, peers) = (free_address(), free_address(), free_address());
    let settings = format!(
        "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nseeds = []\n\
         [node.regions]\n\"brest-hall\" = \"finistere\"\n\"quimper-hall\" = \"finistere\"\n\"morlaix-hall\" = \"finistere\"\n\
         [listen]\ncallers = \"{callers}\"\nhealth = \"{health}\"\npeers = \"{peers}\"\n\
         [store]\naddress = \"{store}\"\n\
         [bounds]\ncontact_ms = 3000\ngrace_s = 8\nlease_ms = 3000\nretry_ratio = 0.2\nretry_slack = 54\nconfig_apply_ms = 2000\n\
         [machine]\nmemory_mb = 260\nfile_descriptors = 4100\nprocessor_share = 0.25\n"
    );
    let path = folder.0.join(format!("{name}.toml"));
    std::fs::write(&path, settings).unwrap();
    let log = folder.0.join(format!("{name}.log"));
    let child = Command::new("target/release/pitchstall")
        .args(["serve", "--settings", path.to_str().unwrap()])
        .env("PITCHSTALL_SETTINGS", &path)
        .stdout(File::create(&log).unwrap())
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("the node cannot be started: {error}")));
    Node { _process: Process(child), callers, health, log }
}

/// Why a case could not run.
pub struct CannotRun(pub String);

/// Ends the case, and all processes that it has started.
pub fn cannot_run(reason: &str) -> ! {
    std::panic::panic_any(CannotRun(reason.to_owned()))
}

/// Waits until a node says that it is ready.
pub fn wait_until_ready(node: &Node) {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(node.health) {
            let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let mut text = String::new();
            if stream.write_all(request).is_ok()
                && stream.read_to_string(&mut text).is_ok()
                && text.contains(" 200 ")
            {
                return;
            }
        }
        sleep_ms(100);
    }
    cannot_run("the node is not ready");
}

/// A runner: this program in another mode, as a process of its own.
pub struct Runner {
    pub process: Process,
    pub born: u64,
}

impl Runner {
    /// Tells the runner something on its standard input.
    pub fn tell(&mut self, word: &str) {
        if let Some(input) = &mut self.process.0.stdin {
            let _ = writeln!(input, "{word}");
        }
    }
}

/// Starts a runner at a port. What it runs is written to the record.
pub fn start_runner(record: &Record, id: &str, address: SocketAddr, script: &str) -> Runner {
    let born = unix_ms();
    let program = std::env::current_exe().unwrap();
    let mut child = Command::new(program)
        .args(["runner", id, &address.to_string(), &born.to_string(), script])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("the runner cannot be started: {error}")));
    let output = child.stdout.take().unwrap();
    let (record, id) = (record.clone(), id.to_owned());
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record.write(&format!("runner {id} born {born}: {line}"));
        }
    });
    let until = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until {
            cannot_run("the runner does not listen");
        }
        sleep_ms(5);
    }
    Runner { process: Process(child), born }
}

/// The entry of a runner in the platform's store.
pub fn runner_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    stage: Option<&str>,
    born: u64,
    seq: u64,
) -> Value {
    let mut entry = json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "born": born, "seq": seq,
    });
    if let Some(stage) = stage {
        entry["stage"] = stage.into();
        entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
    }
    entry
}

/// Writes a runner's entry, as the runner does about every `heartbeat_ms`.
pub fn write_entry(store: &StoreStandIn, id: &str, entry: &Value) {
    store.put(&format!("servers/{id}"), entry);
}

/// A link to a runner that can be cut: during a cut, nothing passes in either direction. What the kernel of either side
/// still sends, such as the end of a connection, arrives when the cut is over.
#[derive(Clone)]
pub struct CuttableLink {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl CuttableLink {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self { address: listener.local_addr().unwrap(), is_cut: Arc::default() };
        let accepting = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = accepting.clone();
                std::thread::spawn(move || link.carry(client, server));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn carry(&self, client: TcpStream, server: SocketAddr) {
        self.wait_while_cut();
        let Ok(server) = TcpStream::connect(server) else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (from_client, to_server) = (client.try_clone().unwrap(), server.try_clone().unwrap());
        let link = self.clone();
        std::thread::spawn(move || link.pass(from_client, to_server));
        self.pass(server, client);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            self.wait_while_cut();
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
