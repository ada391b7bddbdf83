//! Real processes for tests: platform, engines and nodes on loopback.

// Each test file uses its own part of this module.
#![allow(dead_code, clippy::unwrap_used, clippy::panic, missing_docs)]

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use pitchstall_node::daemon::BoundAddresses;
use pitchstall_node::keys::digest_of;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

pub const CALLER_KEY: &str = "a-callers-key";
pub const OPERATOR_KEY: &str = "an-operators-key";
/// A wait that is over long before; it only keeps a broken run from hanging.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A process that ends with its owner.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(started.elapsed() < PATIENCE, "a process did not end");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct NodeProcess {
    pub process: Process,
    pub name: String,
    pub zone: String,
    pub callers: String,
    pub operators: String,
    pub peers: String,
}

pub struct Cluster {
    pub platform: String,
    pub platform_process: Process,
    pub engines: Vec<(String, String, Process)>,
    pub nodes: Vec<NodeProcess>,
    pub directory: PathBuf,
}

fn first_line(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    line
}

/// Starts a stand-in and reads the address it listens on.
fn start_stand_in(arguments: &[&str]) -> (String, Process) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pitchstall-emulator"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let line = first_line(&mut child);
    let address = line.trim().strip_prefix("listening on ").unwrap().to_owned();
    (address, Process { child })
}

pub fn pitchstall(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pitchstall"))
        .args(arguments)
        .env("PITCHSTALL_OPERATOR_KEY", OPERATOR_KEY)
        .output()
        .unwrap()
}

pub const PROFILE: &str = "
prompt_tokens_per_second = 100000
step_base_us = 2000
step_per_sequence_us = 50
role_change_ms = 200
report_lag_ms = 50
";

pub fn configuration() -> String {
    format!(
        "[models.base]
kv_bytes_per_token = 1000
[models.base.speed]
prompt_tokens_per_second = 100000
step_base_us = 2000
step_per_sequence_us = 50
[services.status]
model = \"base\"
zones = [\"east\", \"west\"]
repeatable = true
[services.booking]
model = \"base\"
zones = [\"east\", \"west\"]
[tenants.taxi]
key_sha256 = \"{}\"
tokens_per_second = 1000000
burst_tokens = 10000000
[planner]
enabled = false
",
        digest_of(CALLER_KEY)
    )
}

impl Cluster {
    /// Two zones with two nodes and three engines each, with a configuration in force.
    pub fn start(test: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("pitchstall-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("profile.toml"), PROFILE).unwrap();
        std::fs::write(directory.join("configuration.toml"), configuration()).unwrap();
        let (platform, platform_process) =
            start_stand_in(&["platform", "--membership-lag-ms", "100"]);
        let mut cluster =
            Self { platform, platform_process, engines: Vec::new(), nodes: Vec::new(), directory };
        for zone in ["east", "west"] {
            for role in ["mixed", "prefill", "decode"] {
                cluster.start_engine(&format!("{zone}-{role}"), zone, role);
            }
            for number in 0..2 {
                cluster.start_node(&format!("{zone}-{number}"), zone);
            }
        }
        cluster.wait_ready();
        let file = cluster.directory.join("configuration.toml");
        let operators = cluster.nodes[0].operators.clone();
        let output = pitchstall(&["ctl", "--node", &operators, "apply", file.to_str().unwrap()]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        cluster.wait_engines();
        cluster
    }

    pub fn start_engine(&mut self, name: &str, zone: &str, role: &str) {
        let profile = self.directory.join("profile.toml");
        let (address, process) = start_stand_in(&[
            "engine",
            "--name",
            name,
            "--zone",
            zone,
            "--role",
            role,
            "--platform",
            &self.platform,
            "--profile",
            profile.to_str().unwrap(),
        ]);
        self.engines.push((name.to_owned(), address, process));
    }

    pub fn start_node(&mut self, name: &str, zone: &str) {
        let platform = &self.platform;
        let settings = format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\n\
             [platform]\nstore = \"{platform}\"\nmembers = \"{platform}\"\n\
             [operators]\nkey_sha256 = \"{}\"\n\
             [log]\nlevels = \"warn\"\n",
            digest_of(OPERATOR_KEY)
        );
        let file = self.directory.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
            .args(["node", "--settings", file.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let addresses: BoundAddresses = serde_json::from_str(&first_line(&mut child)).unwrap();
        let member = format!(
            "{{\"node\":\"{name}\",\"zone\":\"{zone}\",\"peer_address\":\"{}\",\"state\":\"live\"}}",
            addresses.peers
        );
        post(&self.platform, "/members/nodes", &member);
        self.nodes.push(NodeProcess {
            process: Process { child },
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: addresses.callers.to_string(),
            operators: addresses.operators.to_string(),
            peers: addresses.peers.to_string(),
        });
    }

    fn wait_ready(&self) {
        for node in &self.nodes {
            wait_until("a node answers", || get(&node.operators, "/live").is_some());
        }
        for node in &self.nodes {
            let both = || {
                get(&node.operators, "/metrics")
                    .is_some_and(|text| text.contains("pitchstall_nodes_live 2\n"))
            };
            wait_until("a node sees the other one", both);
        }
    }

    pub fn wait_engines(&self) {
        for node in &self.nodes {
            let ready = || {
                get(&node.operators, "/metrics").is_some_and(|text| {
                    text.contains("pitchstall_engines_ready 3\n")
                        && !text.contains("configuration_revision 0\n")
                })
            };
            wait_until("a node knows its engines and the configuration", ready);
        }
    }

    pub fn callers(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.callers.clone()).collect()
    }

    /// The node that has the authority over a zone.
    pub fn holder(&self, zone: &str) -> usize {
        let mut found = None;
        wait_until("a zone has an authority", || {
            found = self.nodes.iter().position(|node| {
                node.zone == zone
                    && get(&node.operators, "/metrics")
                        .is_some_and(|text| !text.contains("pitchstall_authority_epoch 0\n"))
            });
            found.is_some()
        });
        found.unwrap()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// One HTTP exchange on a connection of its own: status code, head and body of the answer.
pub fn http(address: &str, head: &str, key: &str, body: &str) -> Option<(u16, String, String)> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!(
        "{head} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // A server may answer before it has read the whole body.
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}

/// An operator's exchange; the body of a 2xx answer.
fn exchange(address: &str, head: &str, body: &str) -> Option<String> {
    let (status, _, body) = http(address, head, OPERATOR_KEY, body)?;
    (200..300).contains(&status).then_some(body)
}

pub fn get(address: &str, path: &str) -> Option<String> {
    exchange(address, &format!("GET {path}"), "")
}

pub fn post(address: &str, path: &str, body: &str) {
    wait_until("a post is taken", || exchange(address, &format!("POST {path}"), body).is_some());
}
