//! One seed: load, faults, recovery, checks.

mod faults;

use crate::processes::{is_ready, more_settings, NodeProcess, Programs};
use crate::report::Report;
use pitchstall_platform_standins::narrow_link::NarrowLink;
use pitchstall_soak::checks::Violation;
use pitchstall_soak::client::Caller;
use pitchstall_soak::fleet::{request_bytes, SoakFleet, SoakRunner};
use pitchstall_soak::history::{Event, Kind, Outcome, Recorder};
use pitchstall_soak::plan::{
    has_large_configurations, has_limits, has_lives, has_regions, has_self_reports, steps, Step,
    RECOVERY,
};
use pitchstall_soak::proxy::Link;
use pitchstall_soak::regions::{id_with_node, is_near_the_store, zone_of, DELAY};
use pitchstall_soak::tenants::{SoakTenant, LIMITED};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const READY_WITHIN: Duration = Duration::from_secs(15);
/// Time in which everything is served again after the last fault.
const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
const HEALTH_EVERY: Duration = Duration::from_millis(200);
const BETWEEN_REQUESTS: Duration = Duration::from_millis(15);
/// Different requests that end runners, and the time between two of them: some three a second.
const DEADLY_REQUESTS: usize = 2;
const BETWEEN_DEADLY: Duration = Duration::from_millis(350);
/// Callers of each tenant with a limit: one that waits for an answer holds no other up.
const CALLERS_A_TENANT: u64 = 4;
/// Between two looks for runners that have ended.
const ENDED_POLL: Duration = Duration::from_millis(20);
/// Time after which an ended runner is back, and after which its entry is gone: three heartbeats of the users'
/// runners.
const RUNNER_DOWN: Duration = Duration::from_millis(2_000);
/// The same for runners that start again under their names, in turn: before anybody has noticed, within
/// a heartbeat, and after their entry is gone.
const REBORN_AFTER: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_secs(1), Duration::from_secs(10)];
/// Bytes a second from the store to a node: 10 Mbit/s.
const NODE_LINK: u64 = 1_250_000;
const ENTRY_LASTS: Duration = Duration::from_millis(3_600);

/// What the load and the faults share.
struct World {
    recorder: Recorder,
    nodes: Vec<Mutex<NodeProcess>>,
    callers: Vec<SocketAddr>,
    health: Vec<SocketAddr>,
    /// Nodes that said they take callers when they were last asked.
    ready: Vec<AtomicBool>,
    fleet: Mutex<SoakFleet>,
    over: AtomicBool,
    /// Whether requests that end runners are sent.
    deadly: AtomicBool,
    has_regions: bool,
    /// Whether runners start again under their names.
    has_lives: bool,
    /// Whether runners speak for themselves, and what they say last is held up.
    has_self_reports: bool,
    next_rebirth: AtomicUsize,
    next_request: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Callers.
    pub callers: usize,
}

/// Runs a seed.
pub fn run(programs: &Programs, seed: u64, length: Duration, size: Size) -> io::Result<Report> {
    let nodes = size.nodes;
    let name = format!("pitchstall-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let world = World::start(programs, &folder, seed, nodes)?;
    if let Err(error) = world.wait_until_ready() {
        world.kill_all();
        return Err(error);
    }
    let mut threads: Vec<JoinHandle<()>> = (0..size.callers)
        .map(|caller| {
            let world = world.clone();
            std::thread::spawn(move || world.send_load(caller))
        })
        .collect();
    let limited = LIMITED.iter().filter(|_| has_limits(seed));
    threads.extend(limited.flat_map(|tenant| (0..CALLERS_A_TENANT).map(move |_| tenant)).map(
        |tenant| {
            let world = world.clone();
            std::thread::spawn(move || world.send_for(tenant))
        },
    ));
    let asking = world.clone();
    threads.push(std::thread::spawn(move || asking.ask_health()));
    let replacing = world.clone();
    threads.push(std::thread::spawn(move || replacing.replace_ended()));
    world.deadly.store(true, Ordering::SeqCst);
    threads.extend((0..DEADLY_REQUESTS).map(|number| {
        let world = world.clone();
        std::thread::spawn(move || world.send_deadly(number))
    }));
    let steps = steps(seed, length, nodes);
    world.play(&steps, Instant::now(), length);
    let unserved = world.unserved_after_recovery();
    world.over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    // Threads that wait to replace a runner still hold the world, which so outlives this run.
    world.kill_all();
    lock(&world.fleet).note_reports();
    let mut report = Report::of(&world.recorder.entries(), steps.len(), folder);
    report.violations.extend(unserved);
    report.keep_logs_of_violations();
    Ok(report)
}

impl World {
    fn start(programs: &Programs, folder: &Path, seed: u64, nodes: usize) -> io::Result<Arc<Self>> {
        let recorder = Recorder::default();
        let fleet = SoakFleet::start(seed, recorder.clone())?;
        let mut processes = Vec::new();
        for number in 0..nodes {
            let mut store_address = fleet.store.address();
            if has_large_configurations(seed) {
                // A link of its own for each node, whatever connections there are.
                store_address = NarrowLink::new(NODE_LINK).reach(store_address)?;
            }
            let store = Link::start(store_address)?;
            let cloud = Link::start(fleet.cloud.address())?;
            if has_regions(seed) && !is_near_the_store(number) {
                store.set_delay(DELAY);
                cloud.set_delay(DELAY);
            }
            let (zone, more) = (zone_of(number), more_settings(seed));
            let mut node = NodeProcess::new(programs, folder, number, zone, store, cloud, &more)?;
            node.start()?;
            recorder.note(Event::Started { node: number });
            processes.push(node);
        }
        Ok(Arc::new(Self {
            recorder,
            callers: processes.iter().map(|node| node.callers).collect(),
            health: processes.iter().map(|node| node.health).collect(),
            nodes: processes.into_iter().map(Mutex::new).collect(),
            ready: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            fleet: Mutex::new(fleet),
            over: AtomicBool::new(false),
            deadly: AtomicBool::new(false),
            has_regions: has_regions(seed),
            has_lives: has_lives(seed),
            has_self_reports: has_self_reports(seed),
            next_rebirth: AtomicUsize::new(0),
            next_request: AtomicU64::new(0),
        }))
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_WITHIN;
        while !self.health.iter().all(|health| is_ready(*health)) {
            if Instant::now() >= end {
                return Err(io::Error::other("the nodes did not become ready"));
            }
            std::thread::sleep(HEALTH_EVERY);
        }
        self.ready.iter().for_each(|ready| ready.store(true, Ordering::SeqCst));
        Ok(())
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Keeps note of which nodes take callers, as the platform's entrance does.
    fn ask_health(&self) {
        while !self.is_over() {
            for (health, ready) in self.health.iter().zip(&self.ready) {
                ready.store(is_ready(*health), Ordering::SeqCst);
            }
            std::thread::sleep(HEALTH_EVERY);
        }
    }

    fn send_load(&self, caller: usize) {
        let mut turn = caller;
        let mut connections: Vec<Caller> = self.nodes.iter().map(|_| Caller::default()).collect();
        while !self.is_over() {
            turn += 1;
            let node = turn % self.nodes.len();
            // An open connection is used until it ends, also when the node takes no new ones.
            if connections[node].is_open() || self.ready[node].load(Ordering::SeqCst) {
                self.send(&mut connections[node], node, self.kind(turn));
            }
            std::thread::sleep(BETWEEN_REQUESTS);
        }
    }

    fn kind(&self, turn: usize) -> Kind {
        const KINDS: usize = 4;
        match turn / self.nodes.len() % KINDS {
            0 => Kind::AtMostOnce,
            1 => Kind::Repeatable,
            2 => Kind::ResumableStream,
            _ => Kind::Probe { version: lock(&self.fleet).version() },
        }
    }

    /// Sends the requests of one of a tenant's callers.
    fn send_for(&self, tenant: &SoakTenant) {
        let mut connections: Vec<Caller> = self.nodes.iter().map(|_| Caller::default()).collect();
        for node in (0..self.nodes.len()).cycle() {
            if self.is_over() {
                return;
            }
            if self.ready[node].load(Ordering::SeqCst) {
                let kind = if node.is_multiple_of(2) { Kind::AtMostOnce } else { Kind::Repeatable };
                self.send_as(tenant.name, &mut connections[node], node, kind);
            }
            std::thread::sleep(Duration::from_millis(tenant.asks_every_ms * CALLERS_A_TENANT));
        }
    }

    /// Sends a request that ends runners again and again, to any node.
    fn send_deadly(&self, number: usize) {
        let mut turn = number;
        while self.deadly.load(Ordering::SeqCst) {
            turn += 1;
            let node = turn % self.nodes.len();
            if self.ready[node].load(Ordering::SeqCst) {
                self.send(&mut Caller::default(), node, Kind::Deadly { number });
            }
            std::thread::sleep(BETWEEN_DEADLY);
        }
    }

    /// Starts new runners for those that have ended.
    fn replace_ended(self: &Arc<Self>) {
        while !self.is_over() {
            lock(&self.fleet).list_changed_roles();
            let ended = lock(&self.fleet).take_ended();
            for runner in ended {
                let world = self.clone();
                std::thread::spawn(move || world.replace_one(&runner));
            }
            std::thread::sleep(ENDED_POLL);
        }
    }

    fn replace_one(&self, ended: &SoakRunner) {
        let down = if self.has_lives { self.next_pause() } else { RUNNER_DOWN };
        if down > ENTRY_LASTS {
            std::thread::sleep(ENTRY_LASTS);
            lock(&self.fleet).unlist(ended);
            std::thread::sleep(down - ENTRY_LASTS);
        } else {
            std::thread::sleep(down);
        }
        if let Err(error) = lock(&self.fleet).start_in_place_of(ended) {
            eprintln!("soak: no runner in place of {}: {error}", ended.id);
        }
        std::thread::sleep(ENTRY_LASTS.saturating_sub(down));
        lock(&self.fleet).unlist(ended);
    }

    /// After which time the next runner that has ended starts again.
    fn next_pause(&self) -> Duration {
        let turn = self.next_rebirth.fetch_add(1, Ordering::SeqCst);
        REBORN_AFTER[turn % REBORN_AFTER.len()]
    }

    fn send(&self, caller: &mut Caller, node: usize, kind: Kind) -> Outcome {
        self.send_as("r", caller, node, kind)
    }

    fn send_as(&self, sender: &str, caller: &mut Caller, node: usize, kind: Kind) -> Outcome {
        let number = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("{sender}-{number}");
        let request = if self.has_regions { id_with_node(&id, node) } else { id };
        self.recorder.note(Event::Sent { request: request.clone(), kind, node });
        let outcome = caller.exchange(self.callers[node], &request_bytes(&request, kind));
        self.recorder.note(Event::Ended { request, outcome: outcome.clone() });
        outcome
    }

    fn play(self: &Arc<Self>, steps: &[Step], started: Instant, length: Duration) {
        let mut running = Vec::new();
        let deadly_until = started + length.saturating_sub(RECOVERY);
        for step in steps {
            std::thread::sleep((started + step.at).saturating_duration_since(Instant::now()));
            let (world, step) = (self.clone(), step.clone());
            running.push(std::thread::spawn(move || world.act(&step)));
        }
        running.into_iter().for_each(|step| drop(step.join()));
        std::thread::sleep(deadly_until.saturating_duration_since(Instant::now()));
        self.deadly.store(false, Ordering::SeqCst);
        let rest = started + length;
        std::thread::sleep(rest.saturating_duration_since(Instant::now()));
    }

    /// After the last fault each node answers each kind of request.
    fn unserved_after_recovery(&self) -> Vec<Violation> {
        let kinds = [Kind::AtMostOnce, Kind::Repeatable, Kind::ResumableStream];
        let mut unserved = Vec::new();
        let end = Instant::now() + RECOVERED_WITHIN;
        for (number, node) in self.nodes.iter().enumerate() {
            if lock(node).has_ended_by_itself() {
                let what = format!("node {number} ended by itself");
                unserved.push(Violation { promise: "no process ends by itself", what });
            }
            for kind in kinds {
                let answers = || {
                    matches!(
                        self.send(&mut Caller::default(), number, kind),
                        Outcome::Whole { status: 200, .. }
                    )
                };
                while !answers() {
                    if Instant::now() >= end {
                        let what = format!("node {number} does not answer {kind:?}");
                        unserved.push(Violation { promise: "recovery", what });
                        break;
                    }
                    std::thread::sleep(HEALTH_EVERY);
                }
            }
        }
        unserved
    }
}
