//! Runners that are processes of their own: starts them, sends them signals and replaces those that have ended.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time for which the entry of a runner that has ended stays in the store: three heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// Time after which a runner that has stopped itself is killed.
const MAX_STOP: Duration = Duration::from_millis(2_500);
/// Time for which runners serve after their entries were removed, before they are killed.
const RETIREMENT: Duration = Duration::from_millis(4_000);

/// A process that is killed when it is dropped.
pub struct Process(Child);

impl From<Child> for Process {
    fn from(child: Child) -> Self {
        Self(child)
    }
}

impl Process {
    /// Sends a signal to the process. It has not been waited for, so that its id names no other process.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.0.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }

    /// Whether the process is stopped by SIGSTOP.
    fn is_stopped(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        status.unwrap_or_default().lines().any(|line| line.starts_with("State:\tT"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct RunnerProcess {
    id: String,
    version: &'static str,
    process: Process,
    stopped_since: Option<Instant>,
}

impl RunnerProcess {
    /// Kills a process that has been stopped for too long, and returns whether the process has ended.
    fn has_ended(&mut self) -> bool {
        if self.process.is_stopped() {
            let since = *self.stopped_since.get_or_insert_with(Instant::now);
            if since.elapsed() > MAX_STOP {
                self.process.signal(Signal::SIGKILL);
            }
        }
        self.process.has_ended()
    }
}

/// The entry of a runner that has ended.
struct LapsingEntry {
    id: String,
    version: &'static str,
    lapses_at: Instant,
}

/// A runner that has started and serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRunner {
    /// Id of the runner, which no earlier runner had.
    pub id: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Software version that it reports.
    pub version: &'static str,
}

/// What the registry has to be told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Runners that have started.
    pub started: Vec<StartedRunner>,
    /// Ids of ended runners whose entries have lapsed.
    pub lapsed: Vec<String>,
}

/// The runner processes of a fleet. All are killed when this is dropped.
pub struct RunnerProcesses {
    id_prefix: String,
    next_number: usize,
    runners: Vec<RunnerProcess>,
    /// Runners that have ended and still have an entry.
    lapsing: Vec<LapsingEntry>,
    /// Runners without an entry, with the time at which they are killed.
    retired: Vec<(RunnerProcess, Instant)>,
    ended: usize,
}

impl RunnerProcesses {
    /// No processes yet. The ids of all runners begin with `id_prefix`.
    pub fn new(id_prefix: &str) -> Self {
        Self {
            id_prefix: id_prefix.to_owned(),
            next_number: 0,
            runners: Vec::new(),
            lapsing: Vec::new(),
            retired: Vec::new(),
            ended: 0,
        }
    }

    /// Starts a runner under a new id and waits until it serves. Fails if the process cannot be started or writes no address.
    pub fn start(&mut self, version: &'static str) -> io::Result<StartedRunner> {
        let id = format!("{}-{}", self.id_prefix, self.next_number);
        self.next_number += 1;
        self.start_as(id, version)
    }

    /// Kills all runners of a version, and starts each one again under its id at another version. Fails if one cannot be
    /// started.
    pub fn change_version(
        &mut self,
        from: &str,
        to: &'static str,
    ) -> io::Result<Vec<StartedRunner>> {
        let changed = self.runners.extract_if(.., |runner| runner.version == from);
        let ids: Vec<String> = changed.map(|runner| runner.id.clone()).collect();
        ids.into_iter().map(|id| self.start_as(id, to)).collect()
    }

    /// Starts the current program again as a runner, with the arguments `--runner ID --version VERSION`.
    fn start_as(&mut self, id: String, version: &'static str) -> io::Result<StartedRunner> {
        // The process ends when its input does, so that it does not outlive this one.
        let mut child = Command::new(std::env::current_exe()?)
            .args(["--runner", &id, "--version", version])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take();
        let process = Process(child);
        let output = output.ok_or_else(|| io::Error::other("the runner has no output"))?;
        let mut address = String::new();
        BufReader::new(output).read_line(&mut address)?;
        let address = address.trim().parse().map_err(io::Error::other)?;
        self.runners.push(RunnerProcess { id: id.clone(), version, process, stopped_since: None });
        Ok(StartedRunner { id, address, version })
    }

    /// Starts a runner of the same version, under a new id, for each one that has ended. Fails if one cannot be started.
    pub fn replace_ended(&mut self) -> io::Result<RegistryChanges> {
        let mut changes = RegistryChanges::default();
        let mut ended = Vec::new();
        for mut runner in std::mem::take(&mut self.runners) {
            match runner.has_ended() {
                true => ended.push(runner),
                false => self.runners.push(runner),
            }
        }
        self.ended += ended.len();
        let now = Instant::now();
        for runner in ended {
            let (id, version) = (runner.id, runner.version);
            self.lapsing.push(LapsingEntry { id, version, lapses_at: now + ENTRY_LIFE });
            changes.started.push(self.start(version)?);
        }
        let lapsed = self.lapsing.extract_if(.., |entry| entry.lapses_at <= now);
        changes.lapsed = lapsed.map(|entry| entry.id).collect();
        self.retired.retain(|(_, killed_at)| *killed_at > now);
        Ok(changes)
    }

    /// Lets all runners of a version serve for a last time, after which they are killed and not replaced. Returns the ids whose
    /// entries have to be removed, those of runners that have ended included.
    pub fn retire(&mut self, version: &str) -> Vec<String> {
        let killed_at = Instant::now() + RETIREMENT;
        let lapsing = self.lapsing.extract_if(.., |entry| entry.version == version);
        let mut ids: Vec<String> = lapsing.map(|entry| entry.id).collect();
        for runner in self.runners.extract_if(.., |runner| runner.version == version) {
            ids.push(runner.id.clone());
            self.retired.push((runner, killed_at));
        }
        ids
    }

    /// Software versions of all runners that have an entry and have not ended.
    pub fn versions(&self) -> BTreeSet<&'static str> {
        self.runners.iter().map(|runner| runner.version).collect()
    }

    /// Ids of the processes at these indexes, modulo the number of processes.
    pub fn ids_at(&self, indexes: &[usize]) -> Vec<String> {
        let count = self.runners.len().max(1);
        let runners = indexes.iter().filter_map(|index| self.runners.get(index % count));
        runners.map(|runner| runner.id.clone()).collect()
    }

    /// Sends a signal to the runners with these ids, as far as they have not been replaced.
    pub fn signal(&self, ids: &[String], signal: Signal) {
        let runners = self.runners.iter().filter(|runner| ids.contains(&runner.id));
        runners.for_each(|runner| runner.process.signal(signal));
    }

    /// Number of processes that have ended and been replaced.
    pub fn ended(&self) -> usize {
        self.ended
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        self.runners.clear();
        self.retired.clear();
    }
}
