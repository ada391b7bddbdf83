//! Real processes of the program, each with its own address, settings and log.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub const READY_TIMEOUT: Duration = Duration::from_secs(60);
const CLIENTS_PORT: u16 = 18_081;
const HEALTH_PORT: u16 = 18_082;
const PEERS_PORT: u16 = 18_083;
const BYTES_PER_KILOBYTE: u64 = 1024;

/// A loopback address that no other process of this test uses.
fn unique_loopback_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 200, low, NEXT.fetch_add(1, Ordering::SeqCst)).into()
}

/// One node: its settings, its log, and its process while it runs.
pub struct Node {
    pub ip: IpAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// Writes the settings of a node, with further `sections` at their end. The process is not started yet.
    pub fn new(name: &str, zone: &str, store: SocketAddr, sections: &str) -> Self {
        let ip = unique_loopback_ip();
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\n\
             [node.regions]\nnorth = \"all\"\nsouth = \"all\"\n\
             [listen]\ncallers = \"{ip}:{CLIENTS_PORT}\"\nhealth = \"{ip}:{HEALTH_PORT}\"\npeers = \"{ip}:{PEERS_PORT}\"\n\
             [store]\naddress = \"{store}\"\n\
             [bounds]\ncontact_ms = 2000\ngrace_s = 5.0\nlease_ms = 1000\nretry_ratio = 0.2\nretry_slack = 10.0\n{sections}"
        );
        let settings = std::env::temp_dir().join(format!("pitchstall-process-{ip}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = settings.with_extension("log");
        File::create(&log).unwrap();
        Self { ip, settings, log, process: None }
    }

    pub fn clients(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CLIENTS_PORT)
    }

    pub fn health(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HEALTH_PORT)
    }

    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    pub fn start(&mut self) {
        let log = OpenOptions::new().append(true).open(&self.log).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_pitchstall"))
            .args(["serve", "--settings", self.settings.to_str().unwrap()])
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.process = Some(process.unwrap());
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Whether the process has been started and has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.try_wait().unwrap().is_none())
    }

    /// The most memory that the process has had at any time, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes * BYTES_PER_KILOBYTE
    }

    /// Number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_path("fd")).unwrap().count()
    }

    fn proc_path(&self, name: &str) -> PathBuf {
        let process = self.process.as_ref().unwrap();
        PathBuf::from(format!("/proc/{}/{name}", process.id()))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.health()) else { return false };
        stream.set_read_timeout(Some(READY_TIMEOUT)).unwrap();
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut status = [0; 12];
        let is_answered = stream.write_all(request).and_then(|()| stream.read_exact(&mut status));
        is_answered.is_ok() && status.ends_with(b"200")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}
