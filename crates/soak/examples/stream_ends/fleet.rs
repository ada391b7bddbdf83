//! The processes of one scenario: nodes, runners, and a store in this process.

use nix::sys::signal::Signal;
use pitchstall_platform_standins::documents::{runner_key, CONFIGURATION_KEY};
use pitchstall_platform_standins::store::{Backup, StoreMode, StoreStandIn};
use pitchstall_soak::node_health::is_ready;
use pitchstall_soak::runner_processes::{Process, RunnerProcesses, StartedRunner};
use serde_json::{json, Value};
use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Host of all requests.
pub const HOST: &str = "streams.example";
const CLIENT_PORT: u16 = 18_281;
const HEALTH_PORT: u16 = 18_282;
const PEER_PORT: u16 = 18_283;
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A node, which is started again with the same settings after it has ended.
struct Node {
    process: Process,
    settings: PathBuf,
    log: PathBuf,
}

/// The fleet of a scenario.
pub struct Fleet {
    number: u8,
    program: PathBuf,
    store: StoreStandIn,
    nodes: Vec<Node>,
    runners: RunnerProcesses,
    /// The runners that maintain an entry in the registry.
    registered: Vec<StartedRunner>,
    /// The last copy of the store that was made.
    backup: Option<Backup>,
}

/// What a fleet consists of.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of nodes.
    pub nodes: u8,
    /// Software version of each runner.
    pub versions: &'static [&'static str],
    /// Whether the store reports its era.
    pub has_eras: bool,
}

impl Fleet {
    /// Starts all processes and waits until the nodes are ready.
    pub fn start(program: &Path, folder: &Path, number: u8, size: FleetSize) -> io::Result<Self> {
        let store = StoreStandIn::start()?;
        if size.has_eras {
            store.report_era(1);
        }
        store.put(CONFIGURATION_KEY, &configuration());
        let mut fleet = Self {
            number,
            program: program.to_owned(),
            store,
            nodes: Vec::new(),
            runners: RunnerProcesses::new(&format!("i-{number}")),
            registered: Vec::new(),
            backup: None,
        };
        for version in size.versions {
            fleet.add_runner(version)?;
        }
        for node in 0..size.nodes {
            fleet.add_node(folder, node)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Addresses of the nodes for clients.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        (0..self.nodes.len()).map(|node| SocketAddr::new(self.ip(node), CLIENT_PORT)).collect()
    }

    /// Sends a signal to a node.
    pub fn signal_node(&self, node: usize, signal: Signal) {
        self.nodes[node].process.signal(signal);
    }

    /// Waits until a node that was told to stop has ended, and kills it after its grace time.
    pub fn wait_for_end(&mut self, node: usize) {
        let deadline = Instant::now() + GRACE;
        let process = &mut self.nodes[node].process;
        while !process.has_ended() && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL);
        }
        process.signal(Signal::SIGKILL);
    }

    /// Replaces runners and nodes that have ended or stopped, and waits until all nodes are ready.
    pub fn repair(&mut self) -> io::Result<()> {
        self.replace_runners()?;
        self.restart_ended_nodes()?;
        self.wait_until_ready()
    }

    /// Starts the nodes that have ended again, and does not wait until they are ready.
    pub fn restart_ended_nodes(&mut self) -> io::Result<()> {
        for node in &mut self.nodes {
            if node.process.has_ended() {
                node.process = start_node(&self.program, &node.settings, &node.log)?;
            }
        }
        Ok(())
    }

    /// Starts a runner of a version and registers it.
    pub fn add_runner(&mut self, version: &'static str) -> io::Result<()> {
        let runner = self.runners.start(version)?;
        self.register(runner);
        Ok(())
    }

    /// Removes the registry entries of all runners of a version; their processes go on.
    pub fn remove_entries_of(&mut self, version: &str) {
        let leaving = self.registered.extract_if(.., |runner| runner.version == version);
        leaving.for_each(|runner| self.store.remove(&runner_key(&runner.id)));
    }

    /// Replaces all runners of a version by ones of another version, with the same ids.
    pub fn change_version(&mut self, from: &str, to: &'static str) -> io::Result<()> {
        self.registered.retain(|runner| runner.version != from);
        let started = self.runners.change_version(from, to)?;
        started.into_iter().for_each(|runner| self.register(runner));
        Ok(())
    }

    /// Sets the behaviour of the store.
    pub fn set_store_mode(&self, mode: StoreMode) {
        self.store.set_mode(mode);
    }

    /// Makes a copy of the store, which replaces an earlier one.
    pub fn back_up_store(&mut self) {
        self.backup = Some(self.store.back_up());
    }

    /// Restores the copy of the store. Then the configuration and the entries of the registered runners are written again,
    /// and entries that no runner maintains go.
    pub fn restore_store(&self) {
        let Some(backup) = &self.backup else { return };
        self.store.restore(backup);
        self.store.put(CONFIGURATION_KEY, &configuration());
        self.registered.iter().for_each(|runner| self.put_entry(runner));
        let is_maintained =
            |key: &String| self.registered.iter().any(|runner| runner_key(&runner.id) == *key);
        let entries = self.store.keys(&runner_key(""));
        let stale = entries.iter().filter(|key| !is_maintained(key));
        stale.for_each(|key| self.store.remove(key));
    }

    fn replace_runners(&mut self) -> io::Result<()> {
        let changes = self.runners.replace_ended()?;
        changes.started.into_iter().for_each(|runner| self.register(runner));
        changes.lapsed.iter().for_each(|id| self.store.remove(&runner_key(id)));
        self.registered.retain(|runner| !changes.lapsed.contains(&runner.id));
        Ok(())
    }

    fn register(&mut self, runner: StartedRunner) {
        self.put_entry(&runner);
        self.registered.push(runner);
    }

    fn put_entry(&self, runner: &StartedRunner) {
        let entry = json!({
            "service": "streams", "address": runner.address.to_string(), "zone": "north",
            "version": runner.version, "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        self.store.put(&runner_key(&runner.id), &entry);
    }

    fn add_node(&mut self, folder: &Path, number: u8) -> io::Result<()> {
        let ip = self.ip(usize::from(number));
        let text = format!(
            "[node]\nname = \"node-{number}\"\nzone = \"north\"\n\
             [listen]\ncallers = \"{ip}:{CLIENT_PORT}\"\nhealth = \"{ip}:{HEALTH_PORT}\"\npeers = \"{ip}:{PEER_PORT}\"\n\
             [store]\naddress = \"{}\"\n\
             [bounds]\ncontact_ms = 3000\ngrace_s = 8.0\nlease_ms = 3000\nretry_ratio = 0.2\nretry_slack = 400.0\n",
            self.store.address(),
        );
        let settings = folder.join(format!("fleet-{}-node-{number}.toml", self.number));
        std::fs::write(&settings, text)?;
        let log = settings.with_extension("log");
        let process = start_node(&self.program, &settings, &log)?;
        self.nodes.push(Node { process, settings, log });
        Ok(())
    }

    fn ip(&self, node: usize) -> IpAddr {
        let [_, _, pid_high, pid_low] = std::process::id().to_be_bytes();
        let last = self.number * 16 + u8::try_from(node + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, 1 + pid_high % 200, pid_low, last).into()
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in 0..self.nodes.len() {
            while !is_ready(SocketAddr::new(self.ip(node), HEALTH_PORT)) {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!("node {node} is not ready in time")));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }
}

fn start_node(program: &Path, settings: &Path, log: &Path) -> io::Result<Process> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    Ok(child.into())
}

fn configuration() -> Value {
    let route = |name: &str, is_resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "streaming", "timeout_ms": 8_000,
            "target_ms": 800, "priority": 1, "service": "streams", "max_attempts": 2, "sticky": true,
            "resumable": is_resumable, "gap_target_ms": 300,
        })
    };
    let mut plain = route("plain", false);
    plain["kind"] = "idempotent".into();
    json!({
        "version": 3,
        "routes": [route("resumable", true), route("once", false), plain],
        "services": [{ "name": "streams", "health_path": "/health", "max_conns": 100 }],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000 },
    })
}
