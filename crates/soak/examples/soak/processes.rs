//! The nodes' processes: started, told to stop, paused and killed by their ids.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use pitchstall_platform_standins::client::READY_QUESTION;
use pitchstall_soak::plan::{has_limits, has_regions};
use pitchstall_soak::proxy::Link;
use pitchstall_soak::regions::REGIONS;
use pitchstall_soak::tenants::{OVERAGE, WINDOW_S};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CLIENT_PORT: u16 = 18_181;
const HEALTH_PORT: u16 = 18_182;
const PEER_PORT: u16 = 18_183;
/// Time within which a process that was started catches signals.
const SIGNAL_HANDLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from SIGTERM to SIGKILL.
pub const STOP_GRACE: Duration = Duration::from_secs(8);

/// The builds that nodes run.
#[derive(Clone)]
pub struct Programs {
    builds: Vec<PathBuf>,
}

impl Programs {
    /// One build, or a former one beside it.
    pub fn new(program: &Path, former_build: Option<&Path>) -> Self {
        let builds = std::iter::once(program).chain(former_build).map(Path::to_owned).collect();
        Self { builds }
    }

    /// What a node runs at one of its starts: with two builds every second node begins with the former one, and each changes
    /// to the other one whenever it starts, so that upgrades and ways back overlap.
    fn program_for_start(&self, node: usize, start: usize) -> &Path {
        &self.builds[(node + start) % self.builds.len()]
    }
}

/// One node: its settings file, its log, and its process while it runs.
pub struct NodeProcess {
    /// Where callers reach it.
    pub client_address: SocketAddr,
    /// Its own link to the store.
    pub store_link: Link,
    /// Its own link to the interface for duties.
    pub cloud_link: Link,
    /// Where it says whether it takes callers.
    pub health_address: SocketAddr,
    programs: Programs,
    number: usize,
    /// How often it has been started.
    starts: usize,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the node's settings, `more` sections among them; it does not start yet.
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

    /// Starts the process. Its log goes on where the one before it ended.
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

    /// Whether the process has ended without having been asked to.
    pub fn has_ended_by_itself(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Tells the process that its settings have changed, once it catches that signal: one that has just
    /// been started would end, as any program does.
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

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            // The process is a child that has not been waited for, so the id is its own.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Waits until a process that was told to stop has ended; kills it after the grace time.
    pub fn wait_for_stop(&mut self) {
        let deadline = Instant::now() + STOP_GRACE;
        while Instant::now() < deadline && !self.has_ended_by_itself() {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }
}

/// What the settings of a seed's nodes hold besides.
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

/// Whether the node with this health address says that it takes callers.
pub fn is_ready(health: SocketAddr) -> bool {
    const TIMEOUT: Duration = Duration::from_millis(300);
    let query = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&health, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(READY_QUESTION)?;
        let mut head = [0; b"HTTP/1.1 200".len()];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };
    query().unwrap_or(false)
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
