//! The processes of the nodes: starts, stops, pauses and kills them by process id.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use pitchstall_soak::proxy::Link;
use pitchstall_soak::regions::REGIONS;
use pitchstall_soak::seed_features::{has_limits, has_regions};
use pitchstall_soak::tenants::{OVERAGE, WINDOW_S};
use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CLIENT_PORT: u16 = 18_181;
const HEALTH_PORT: u16 = 18_182;
const PEER_PORT: u16 = 18_183;
/// Maximum time for a started process to install its signal handlers.
const SIGNAL_HANDLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from SIGTERM to SIGKILL.
pub const STOP_GRACE: Duration = Duration::from_secs(8);

/// The builds of the program that nodes run.
#[derive(Clone)]
pub struct Programs {
    builds: Vec<PathBuf>,
}

impl Programs {
    /// One build, or two that nodes alternate between.
    pub fn new(program: &Path, former_build: Option<&Path>) -> Self {
        let builds = std::iter::once(program).chain(former_build).map(Path::to_owned).collect();
        Self { builds }
    }

    /// The build that a node runs at the given start. With two builds, every second node begins
    /// with the former build, and each node changes builds whenever it starts, so that upgrades and
    /// rollbacks overlap.
    fn program_for_start(&self, node: usize, start: usize) -> &Path {
        &self.builds[(node + start) % self.builds.len()]
    }
}

/// A node with its settings file, its log, and its process while it runs.
pub struct NodeProcess {
    /// Address for clients.
    pub client_address: SocketAddr,
    /// The node's own link to the store.
    pub store_link: Link,
    /// The node's own link to the cloud interface.
    pub cloud_link: Link,
    /// Address on which the node reports whether it accepts clients.
    pub health_address: SocketAddr,
    programs: Programs,
    number: usize,
    /// Number of starts so far.
    starts: usize,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the node's settings file, including the `extra_settings` sections. Does not start the
    /// process. Fails if the file cannot be written.
    pub fn new(
        programs: &Programs,
        folder: &Path,
        number: usize,
        zone: &str,
        store_link: Link,
        cloud_link: Link,
        extra_settings: &str,
    ) -> io::Result<Self> {
        let [_, _, pid_high, pid_low] = std::process::id().to_be_bytes();
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        let ip: IpAddr = Ipv4Addr::new(127, 1 + pid_high % 200, pid_low, last).into();
        let at = |port: u16| SocketAddr::new(ip, port);
        let text = format!(
            "[node]\nname = \"node-{number}\"\nzone = \"{zone}\"\n\
             [listen]\ncallers = \"{}\"\nhealth = \"{}\"\npeers = \"{}\"\n\
             [store]\naddress = \"{}\"\n\
             [bounds]\ncontact_ms = 3000\ngrace_s = 8.0\nlease_ms = 3000\n\
             retry_ratio = 0.2\nretry_slack = 54\n\
             [cloud]\naddress = \"{}\"\nduties = [\"usage_report\"]\n\
             [cloud.usage]\nwindow_s = 2\ndue_s = 10\n{extra_settings}",
            at(CLIENT_PORT),
            at(HEALTH_PORT),
            at(PEER_PORT),
            store_link.address(),
            cloud_link.address(),
        );
        let settings = folder.join(format!("node-{number}.toml"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            client_address: at(CLIENT_PORT),
            health_address: at(HEALTH_PORT),
            store_link,
            cloud_link,
            programs: programs.clone(),
            number,
            starts: 0,
            settings,
            log: folder.join(format!("node-{number}.log")),
            child: None,
        })
    }

    /// Starts the process, which appends to the log of the previous one. Fails if the log cannot be
    /// opened or the program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let program = self.programs.program_for_start(self.number, self.starts);
        let child = Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    /// Whether the process has exited before the soak killed it.
    pub fn has_ended_by_itself(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends SIGHUP to make the process reload its settings. Waits until it handles that signal,
    /// because a process without a handler is terminated by it.
    pub fn reload(&self) {
        let deadline = Instant::now() + SIGNAL_HANDLER_TIMEOUT;
        while !self.handles_reload() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.signal(Signal::SIGHUP);
    }

    fn handles_reload(&self) -> bool {
        const SIGHUP_MASK: u64 = 1;
        let Some(child) = &self.child else { return true };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & SIGHUP_MASK != 0)
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            // The child has not been waited for, so its process id cannot have been reused.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Waits until a process that was told to stop has exited, and kills it after the grace period.
    pub fn wait_for_stop(&mut self) {
        let deadline = Instant::now() + STOP_GRACE;
        while Instant::now() < deadline && !self.has_ended_by_itself() {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }
}

/// Additional sections in the settings of a seed's nodes.
pub fn extra_settings(seed: u64) -> String {
    let mut extra_settings = String::new();
    if has_regions(seed) {
        let regions = REGIONS.map(|(zone, region)| format!("{zone} = \"{region}\"\n")).concat();
        extra_settings.push_str(&format!("[node.regions]\n{regions}"));
    }
    if has_limits(seed) {
        extra_settings
            .push_str(&format!("[quota]\nwindow_s = {WINDOW_S:?}\noverage = {OVERAGE:?}\n"));
        extra_settings.push_str("slack = 0\n");
    }
    extra_settings
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
