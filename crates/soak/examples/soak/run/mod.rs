//! Runs one seed: load, faults, recovery, checks.

mod faults;
mod releases;
mod runner_processes;

use crate::processes::{extra_settings, NodeProcess, Programs};
use crate::report::Report;
use pitchstall_platform_standins::throttled_link::ThrottledLink;
use pitchstall_soak::checks::Violation;
use pitchstall_soak::client::Client;
use pitchstall_soak::fleet::{request_bytes, SoakFleet, SoakRunner};
use pitchstall_soak::history::{Event, Outcome, Recorder, RequestKind};
use pitchstall_soak::node_health::is_ready;
use pitchstall_soak::plan::{steps, Step, RECOVERY_TIME};
use pitchstall_soak::process_checks::ProcessExchange;
use pitchstall_soak::proxy::Link;
use pitchstall_soak::recovery::{unserved_after_recovery, RecoveryBound};
use pitchstall_soak::regions::{id_with_node, is_in_store_region, zone_of, ONE_WAY_DELAY};
use pitchstall_soak::runner_processes::RunnerProcesses;
use pitchstall_soak::seed_features::{
    has_incarnations, has_large_configurations, has_limits, has_node_link_faults, has_regions,
    has_releases, has_runner_processes, has_self_reports,
};
use pitchstall_soak::takeup_checks::TakenUpStream;
use pitchstall_soak::tenants::{SoakTenant, LIMITED};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time from the last fault until every node serves every kind of request.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(200);
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Number of different poison requests.
const POISON_REQUESTS: usize = 2;
/// Time between two repeats of one poison request: about three per second.
const POISON_INTERVAL: Duration = Duration::from_millis(350);
/// Clients of each tenant with a limit, so that one that waits for a response does not hold up the
/// others.
const CLIENTS_PER_TENANT: u64 = 4;
/// Time between two checks for crashed runners.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a crashed runner is replaced by a new one.
const RUNNER_DOWNTIME: Duration = Duration::from_millis(2_000);
/// The same for runners that restart under the same id, in turn: before any node has noticed,
/// within a heartbeat, and after the registry entry is gone.
const RESTART_DELAYS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_secs(1), Duration::from_secs(10)];
/// Bandwidth from the store to a node: 10 Mbit/s.
const NODE_LINK_BYTES_PER_S: u64 = 1_250_000;
/// Time from a runner's crash until its registry entry is gone: three heartbeats of the users'
/// runners.
const REGISTRY_ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// State shared by the load and the faults.
struct SoakRun {
    recorder: Recorder,
    nodes: Vec<Mutex<NodeProcess>>,
    client_addresses: Vec<SocketAddr>,
    health_addresses: Vec<SocketAddr>,
    /// Whether each node accepted clients at the last poll of its health.
    ready: Vec<AtomicBool>,
    fleet: Mutex<SoakFleet>,
    is_finished: AtomicBool,
    /// Whether requests that end their runners are sent.
    sends_crashing_requests: AtomicBool,
    has_regions: bool,
    /// Whether runners restart under the same id.
    has_incarnations: bool,
    /// Whether runners report about themselves, and their last responses before a crash are
    /// delayed.
    has_self_reports: bool,
    next_restart: AtomicUsize,
    next_request: AtomicU64,
    /// Runners that are processes of their own; none on seeds without them.
    runner_processes: Mutex<RunnerProcesses>,
    process_exchanges: Mutex<Vec<ProcessExchange>>,
    /// Streams that clients left and took up.
    taken_up_streams: Mutex<Vec<TakenUpStream>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadSize {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of clients of the tenant without a limit.
    pub clients: usize,
}

/// Runs a seed and checks it. Fails if the stand-ins or nodes cannot be started or do not become
/// ready.
pub fn run(programs: &Programs, seed: u64, length: Duration, size: LoadSize) -> io::Result<Report> {
    let nodes = size.nodes;
    let name = format!("pitchstall-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let soak_run = SoakRun::start(programs, &folder, seed, nodes)?;
    let started = match has_runner_processes(seed) {
        true => soak_run.start_runner_processes(),
        false => Ok(()),
    };
    if let Err(error) = started.and_then(|()| soak_run.wait_until_ready()) {
        soak_run.kill_all();
        return Err(error);
    }
    let mut threads: Vec<JoinHandle<()>> = (0..size.clients)
        .map(|client| {
            let soak_run = soak_run.clone();
            std::thread::spawn(move || soak_run.send_load(client))
        })
        .collect();
    let limited_tenants = LIMITED.iter().filter(|_| has_limits(seed));
    threads.extend(
        limited_tenants.flat_map(|tenant| (0..CLIENTS_PER_TENANT).map(move |_| tenant)).map(
            |tenant| {
                let soak_run = soak_run.clone();
                std::thread::spawn(move || soak_run.send_for_tenant(tenant))
            },
        ),
    );
    let polling = soak_run.clone();
    threads.push(std::thread::spawn(move || polling.poll_health()));
    let replacing = soak_run.clone();
    threads.push(std::thread::spawn(move || replacing.replace_crashed_runners()));
    soak_run.sends_crashing_requests.store(true, Ordering::SeqCst);
    threads.extend((0..POISON_REQUESTS).map(|number| {
        let soak_run = soak_run.clone();
        std::thread::spawn(move || soak_run.send_poison(number))
    }));
    if has_runner_processes(seed) {
        threads.extend(soak_run.start_process_load(seed));
    }
    if has_releases(seed) {
        threads.extend(soak_run.start_absent_clients(seed));
    }
    let steps = steps(seed, length, nodes);
    soak_run.run_steps(&steps, Instant::now(), length);
    let unserved = soak_run.violations_after_recovery();
    soak_run.is_finished.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    // Threads that wait to replace a runner still hold this state, so dropping it here would not
    // end the processes.
    soak_run.kill_all();
    lock(&soak_run.fleet).record_usage_reports();
    let events = soak_run.recorder.events();
    let mut report = Report::new(&events, steps.len(), folder);
    report.violations.extend(unserved);
    if has_runner_processes(seed) {
        report.add_runner_processes(soak_run.runner_process_report());
    }
    if has_releases(seed) {
        report.add_takeups(soak_run.takeup_report());
    }
    if let Err(error) = report.keep_evidence(&events) {
        eprintln!("soak: seed {seed}: the events could not be written: {error}");
    }
    Ok(report)
}

impl SoakRun {
    fn start(programs: &Programs, folder: &Path, seed: u64, nodes: usize) -> io::Result<Arc<Self>> {
        let recorder = Recorder::default();
        let mut fleet = SoakFleet::start(seed, recorder.clone())?;
        let mut processes = Vec::new();
        for number in 0..nodes {
            let mut store_address = match has_node_link_faults(seed) {
                true => fleet.node_links.add_node(&fleet.store)?,
                false => fleet.store.address(),
            };
            if has_large_configurations(seed) {
                // Each node has a link of its own, whose bandwidth all its connections share.
                store_address = ThrottledLink::new(NODE_LINK_BYTES_PER_S).link_to(store_address)?;
            }
            let store = Link::start(store_address)?;
            let cloud = Link::start(fleet.cloud.address())?;
            if has_regions(seed) && !is_in_store_region(number) {
                store.set_delay(ONE_WAY_DELAY);
                cloud.set_delay(ONE_WAY_DELAY);
            }
            let (zone, extra_settings) = (zone_of(number), extra_settings(seed));
            let mut node =
                NodeProcess::new(programs, folder, number, zone, store, cloud, &extra_settings)?;
            node.start()?;
            recorder.record(Event::NodeStarted { node: number });
            processes.push(node);
        }
        Ok(Arc::new(Self {
            recorder,
            client_addresses: processes.iter().map(|node| node.client_address).collect(),
            health_addresses: processes.iter().map(|node| node.health_address).collect(),
            nodes: processes.into_iter().map(Mutex::new).collect(),
            ready: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            fleet: Mutex::new(fleet),
            is_finished: AtomicBool::new(false),
            sends_crashing_requests: AtomicBool::new(false),
            has_regions: has_regions(seed),
            has_incarnations: has_incarnations(seed),
            has_self_reports: has_self_reports(seed),
            next_restart: AtomicUsize::new(0),
            next_request: AtomicU64::new(0),
            runner_processes: Mutex::new(RunnerProcesses::new("process")),
            process_exchanges: Mutex::default(),
            taken_up_streams: Mutex::default(),
        }))
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.health_addresses.iter().all(|health| is_ready(*health)) {
            if Instant::now() >= deadline {
                return Err(io::Error::other("not all nodes became ready within 15 s"));
            }
            std::thread::sleep(HEALTH_POLL_INTERVAL);
        }
        self.ready.iter().for_each(|ready| ready.store(true, Ordering::SeqCst));
        Ok(())
    }

    fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::SeqCst)
    }

    /// Polls which nodes accept clients, as the platform's load balancer does.
    fn poll_health(&self) {
        while !self.is_finished() {
            for (health, ready) in self.health_addresses.iter().zip(&self.ready) {
                ready.store(is_ready(*health), Ordering::SeqCst);
            }
            std::thread::sleep(HEALTH_POLL_INTERVAL);
        }
    }

    fn send_load(&self, client: usize) {
        let mut index = client;
        let mut connections: Vec<Client> = self.nodes.iter().map(|_| Client::default()).collect();
        while !self.is_finished() {
            index += 1;
            let node = index % self.nodes.len();
            // A client uses an open connection until it closes, even if the node accepts no new
            // ones.
            if connections[node].is_open() || self.ready[node].load(Ordering::SeqCst) {
                self.send(&mut connections[node], node, self.kind(index));
            }
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }

    fn kind(&self, index: usize) -> RequestKind {
        const KINDS: usize = 4;
        match index / self.nodes.len() % KINDS {
            0 => RequestKind::AtMostOnce,
            1 => RequestKind::Repeatable,
            2 => RequestKind::ResumableStream,
            _ => RequestKind::Probe { version: lock(&self.fleet).version() },
        }
    }

    /// Sends the requests of one client of a tenant.
    fn send_for_tenant(&self, tenant: &SoakTenant) {
        let mut connections: Vec<Client> = self.nodes.iter().map(|_| Client::default()).collect();
        for node in (0..self.nodes.len()).cycle() {
            if self.is_finished() {
                return;
            }
            if self.ready[node].load(Ordering::SeqCst) {
                let kind = if node.is_multiple_of(2) {
                    RequestKind::AtMostOnce
                } else {
                    RequestKind::Repeatable
                };
                self.send_as(tenant.name, &mut connections[node], node, kind);
            }
            std::thread::sleep(Duration::from_millis(
                tenant.request_interval_ms * CLIENTS_PER_TENANT,
            ));
        }
    }

    /// Repeats a poison request at all nodes in turn.
    fn send_poison(&self, number: usize) {
        let mut index = number;
        while self.sends_crashing_requests.load(Ordering::SeqCst) {
            index += 1;
            let node = index % self.nodes.len();
            if self.ready[node].load(Ordering::SeqCst) {
                self.send(&mut Client::default(), node, RequestKind::Poison { number });
            }
            std::thread::sleep(POISON_INTERVAL);
        }
    }

    /// Restarts or replaces runners that have crashed.
    fn replace_crashed_runners(self: &Arc<Self>) {
        while !self.is_finished() {
            lock(&self.fleet).register_changed_roles();
            let crashed = lock(&self.fleet).take_crashed();
            for runner in crashed {
                let soak_run = self.clone();
                std::thread::spawn(move || soak_run.replace_crashed_runner(&runner));
            }
            std::thread::sleep(CRASH_POLL_INTERVAL);
        }
    }

    fn replace_crashed_runner(&self, crashed: &SoakRunner) {
        let downtime =
            if self.has_incarnations { self.next_restart_delay() } else { RUNNER_DOWNTIME };
        if downtime > REGISTRY_ENTRY_TTL {
            std::thread::sleep(REGISTRY_ENTRY_TTL);
            lock(&self.fleet).unregister(crashed);
            std::thread::sleep(downtime - REGISTRY_ENTRY_TTL);
        } else {
            std::thread::sleep(downtime);
        }
        if let Err(error) = lock(&self.fleet).restart_or_replace(crashed) {
            eprintln!("soak: failed to restart or replace runner {}: {error}", crashed.id);
        }
        std::thread::sleep(REGISTRY_ENTRY_TTL.saturating_sub(downtime));
        lock(&self.fleet).unregister(crashed);
    }

    /// Time until the next crashed runner restarts; the delays alternate.
    fn next_restart_delay(&self) -> Duration {
        let index = self.next_restart.fetch_add(1, Ordering::SeqCst);
        RESTART_DELAYS[index % RESTART_DELAYS.len()]
    }

    fn send(&self, client: &mut Client, node: usize, kind: RequestKind) -> Outcome {
        self.send_as("r", client, node, kind)
    }

    fn send_as(
        &self,
        sender: &str,
        client: &mut Client,
        node: usize,
        kind: RequestKind,
    ) -> Outcome {
        let number = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("{sender}-{number}");
        let request = if self.has_regions { id_with_node(&id, node) } else { id };
        self.recorder.record(Event::Sent { request: request.clone(), kind, node });
        let outcome = client.exchange(self.client_addresses[node], &request_bytes(&request, kind));
        self.recorder.record(Event::Ended { request, outcome: outcome.clone() });
        outcome
    }

    fn run_steps(self: &Arc<Self>, steps: &[Step], started: Instant, length: Duration) {
        let mut running = Vec::new();
        let poison_until = started + length.saturating_sub(RECOVERY_TIME);
        for step in steps {
            std::thread::sleep((started + step.at).saturating_duration_since(Instant::now()));
            let (soak_run, step) = (self.clone(), step.clone());
            running.push(std::thread::spawn(move || soak_run.perform(&step)));
        }
        running.into_iter().for_each(|step| drop(step.join()));
        std::thread::sleep(poison_until.saturating_duration_since(Instant::now()));
        self.sends_crashing_requests.store(false, Ordering::SeqCst);
        let end = started + length;
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
    }

    /// Checks that after the last fault each node serves each kind of request and no process has
    /// exited by itself.
    fn violations_after_recovery(&self) -> Vec<Violation> {
        let bound = RecoveryBound { timeout: RECOVERY_TIMEOUT, interval: HEALTH_POLL_INTERVAL };
        let is_served = |node, kind| {
            let outcome = self.send(&mut Client::default(), node, kind);
            matches!(outcome, Outcome::Complete { status: 200, .. })
        };
        let unserved = unserved_after_recovery(self.nodes.len(), bound, is_served);
        let not_served = unserved.into_iter().map(|(node, kind)| {
            let detail = format!("node {node} does not answer {kind:?}");
            Violation { promise: "recovery", detail }
        });
        let has_ended = |number: &usize| lock(&self.nodes[*number]).has_ended_by_itself();
        let ended = (0..self.nodes.len()).filter(has_ended).map(|number| {
            let detail = format!("node {number} ended by itself");
            Violation { promise: "no process ends by itself", detail }
        });
        ended.chain(not_served).collect()
    }
}
