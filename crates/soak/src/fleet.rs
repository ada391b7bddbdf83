//! The stand-ins that a soak runs against: the store, the cloud interface, runners behind links,
//! and the configuration that operators write.

use crate::checks::request_body;
use crate::history::{Event, Recorder, RequestKind};
use crate::node_links::NodeLinks;
use crate::process_load::{ProcessRoute, PROCESS_SERVICE};
use crate::proxy::Link;
use crate::regions::RegionLink;
use crate::reported_limits::LimitPhases;
use crate::runner_processes::StartedRunner;
use crate::runner_script::{poison_body, script, RunnerLocation, SelfReporting, Worker};
use crate::seed_features::{
    has_incarnations, has_large_configurations, has_limits, has_reported_limits, has_restores,
    has_runner_processes, has_self_reports, has_stream_pauses,
};
use crate::tenants::{document, tenant_of, tenants, SoakTenant, WINDOW_S};
use pitchstall_platform_standins::client::ClientRequest;
use pitchstall_platform_standins::cloud::CloudStandIn;
use pitchstall_platform_standins::documents::{
    self, runner_key, RouteDocument, RouteKind, RunnerDocument, ServiceDocument, CONFIGURATION_KEY,
};
use pitchstall_platform_standins::role::Role;
use pitchstall_platform_standins::runner::RunnerStandIn;
use pitchstall_platform_standins::store::StoreStandIn;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Host of all routes in the configuration.
pub const HOST: &str = "soak.example";
/// Id of the last event of each stream; ids start at 0.
pub const LAST_EVENT: u64 = 12;
/// Zones of nodes and runners. The store is in the first one.
pub const ZONES: [&str; 2] = ["east", "west"];

const ENGINE_SERVICE: &str = "engine";
const DESK_SERVICE: &str = "desk";
/// Deadline that clients send with each request, milliseconds.
pub const REQUEST_DEADLINE_MS: u64 = 5_000;
/// Delay on the link for a crashing runner's last responses.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the start of that delay until the crash, in which responses enter the link.
const DELAY_BEFORE_CRASH: Duration = Duration::from_millis(200);
/// The response body that a runner returns, derived from the request id.
pub fn response_body(request: &str) -> String {
    format!("answer to {request}")
}

/// A runner and the link through which nodes reach it.
pub struct SoakRunner {
    /// Id of the runner in the registry.
    pub id: String,
    /// The link through which nodes reach the runner.
    pub link: Link,
    service: &'static str,
    zone: &'static str,
    stage: Option<&'static str>,
    stand_in: RunnerStandIn,
    /// Current role; `None` if the runner does not accept orders.
    role: Option<Arc<Role>>,
    /// Whether the runner announces in its responses that it is leaving.
    reports_leaving: Arc<AtomicBool>,
    /// Start of this incarnation, Unix milliseconds; `None` if the seed's runners do not report it.
    born_ms: Option<u64>,
}

impl SoakRunner {
    /// Crashes the runner: its process ends and its link resets connections.
    pub fn crash(&self) {
        self.link.close();
        self.stand_in.crash();
    }

    /// Crashes the runner while its last responses are delayed on the link, so that they may arrive
    /// after its next incarnation has started. Returns the closure that performs this, which blocks
    /// for the delay.
    pub fn crash_with_delayed_responses(&self) -> impl FnOnce() + Send + 'static {
        let (link, stand_in) = (self.link.clone(), self.stand_in.clone());
        move || {
            link.set_delay(LATE_RESPONSE_DELAY);
            std::thread::sleep(DELAY_BEFORE_CRASH);
            stand_in.crash();
            std::thread::sleep(LATE_RESPONSE_DELAY);
            link.close();
        }
    }

    fn current_stage(&self) -> Option<&'static str> {
        self.role.as_ref().map_or(self.stage, |role| Some(role.stage()))
    }
}

/// All stand-ins of a soak.
pub struct SoakFleet {
    /// The store that nodes read.
    pub store: StoreStandIn,
    /// The cloud interface to which nodes deliver usage reports.
    pub cloud: CloudStandIn,
    /// Runners that are registered and not leaving.
    pub runners: Vec<SoakRunner>,
    /// The link between the two regions.
    pub regions: RegionLink,
    /// The links of each node to each runner.
    pub node_links: NodeLinks,
    recorder: Recorder,
    tenants: Vec<SoakTenant>,
    /// The registry entries that runners maintain, by store key.
    entries: RefCell<BTreeMap<String, Value>>,
    next_runner: u64,
    version: u64,
    seed: u64,
}

impl SoakFleet {
    /// Starts the store with a first configuration, and runners in each zone. Fails if a stand-in
    /// cannot listen.
    pub fn start(seed: u64, recorder: Recorder) -> std::io::Result<Self> {
        let store = StoreStandIn::start()?;
        if has_restores(seed) {
            store.report_era(1);
        }
        let runners = Vec::new();
        let cloud = CloudStandIn::start()?;
        let mut fleet = Self {
            store,
            cloud,
            runners,
            regions: RegionLink::default(),
            node_links: NodeLinks::default(),
            recorder,
            tenants: tenants(has_limits(seed)),
            entries: RefCell::default(),
            next_runner: 0,
            version: 0,
            seed,
        };
        fleet.record_tenant_limits();
        fleet.configure();
        for zone in ZONES {
            for stage in initial_stages(seed, zone) {
                fleet.add_runner(zone, stage)?;
            }
        }
        Ok(fleet)
    }

    fn record_tenant_limits(&self) {
        const MICROS_PER_S: f64 = 1_000_000.0;
        for tenant in &self.tenants {
            if let Some(limit) = tenant.limit {
                let window_us = (WINDOW_S * MICROS_PER_S) as u64;
                let max_units = limit.max_units_per_window() as u64;
                let tenant = tenant.name;
                self.recorder.record(Event::TenantLimitSet { tenant, window_us, max_units });
            }
        }
    }

    /// Starts a runner under a new id and registers it.
    fn add_runner(
        &mut self,
        zone: &'static str,
        stage: Option<&'static str>,
    ) -> std::io::Result<()> {
        let id = format!("i-{}", self.next_runner);
        self.start_runner(id, zone, stage)
    }

    fn start_runner(
        &mut self,
        id: String,
        zone: &'static str,
        stage: Option<&'static str>,
    ) -> std::io::Result<()> {
        let number = self.next_runner;
        self.next_runner += 1;
        let own_link = Arc::new(OnceLock::new());
        let location = RunnerLocation { id: id.clone(), zone, regions: self.regions.clone() };
        let born_ms = has_incarnations(self.seed).then(unix_ms);
        let accepts_orders = has_self_reports(self.seed);
        let role =
            stage.filter(|_| accepts_orders).map(|stage| Arc::new(Role::new(stage, born_ms)));
        let pauses_in_streams = has_stream_pauses(self.seed);
        let worker = Worker { id: id.clone(), stage, role: role.clone(), pauses_in_streams };
        let reports_leaving = Arc::new(AtomicBool::new(false));
        let self_reporting = SelfReporting {
            is_enabled: has_self_reports(self.seed),
            reports_leaving: reports_leaving.clone(),
            limits: has_reported_limits(self.seed)
                .then(|| LimitPhases::new(self.seed ^ (number << 8))),
            last_reported: Mutex::default(),
        };
        if has_reported_limits(self.seed) {
            // A limit reported by the previous incarnation no longer applies.
            let change = Event::LimitChanged { runner: id.clone(), milli_requests_per_s: None };
            self.recorder.record(change);
        }
        let script = script(
            location,
            worker,
            self_reporting,
            self.recorder.clone(),
            self.seed ^ number,
            own_link.clone(),
        );
        let stand_in = RunnerStandIn::start(&id, script)?;
        let link = Link::start(stand_in.address())?;
        self.node_links.add_runner(link.address())?;
        // No request can have arrived yet, because the runner is not registered.
        let _ = own_link.set(link.clone());
        self.recorder.record(Event::RunnerStarted { runner: id.clone() });
        let service = if stage.is_some() { ENGINE_SERVICE } else { DESK_SERVICE };
        let runner =
            SoakRunner { id, link, service, zone, stage, stand_in, role, reports_leaving, born_ms };
        self.register(&runner, false);
        self.runners.push(runner);
        Ok(())
    }

    fn register(&self, runner: &SoakRunner, is_draining: bool) {
        let entry = RunnerDocument {
            service: runner.service,
            address: runner.link.address(),
            zone: runner.zone,
            is_draining,
            stage: runner.current_stage(),
            born_ms: runner.born_ms,
        };
        self.put_entry(&runner.id, entry.to_json());
    }

    /// Registers a runner that is a process of its own. Nodes reach it without a link, so that the process ends its
    /// connections as the kernel does.
    pub fn register_process(&self, runner: &StartedRunner) {
        let document = RunnerDocument {
            service: PROCESS_SERVICE,
            address: runner.address,
            zone: ZONES[0],
            is_draining: false,
            stage: None,
            born_ms: has_incarnations(self.seed).then(unix_ms),
        };
        let mut entry = document.to_json();
        entry["version"] = runner.version.into();
        self.put_entry(&runner.id, entry);
    }

    /// Removes the registry entry of a runner that was a process of its own.
    pub fn unregister_process(&self, id: &str) {
        self.remove_entry(id);
    }

    fn put_entry(&self, id: &str, entry: Value) {
        let key = runner_key(id);
        self.store.put(&key, &entry);
        self.entries.borrow_mut().insert(key, entry);
    }

    fn remove_entry(&self, id: &str) {
        let key = runner_key(id);
        self.store.remove(&key);
        self.entries.borrow_mut().remove(&key);
    }

    /// Starts a replacement for a runner, then announces that the runner is leaving. Returns the
    /// leaving runner. Where runners announce this in their responses, the registry learns of it
    /// only from a later call of [`Self::register_leaving`]. Fails if the replacement cannot start.
    pub fn replace_runner(&mut self, index: usize) -> std::io::Result<SoakRunner> {
        let leaving = self.runners.swap_remove(index);
        self.add_runner(leaving.zone, leaving.stage)?;
        match has_self_reports(self.seed) {
            true => leaving.reports_leaving.store(true, Ordering::SeqCst),
            false => self.register_leaving(&leaving),
        }
        Ok(leaving)
    }

    /// Marks a leaving runner as draining in the registry.
    pub fn register_leaving(&self, leaving: &SoakRunner) {
        self.register(leaving, true);
        self.recorder.record(Event::Draining { runner: leaving.id.clone() });
    }

    /// Whether runners announce that they are leaving to nodes before the registry shows it.
    pub fn registers_leaving_late(&self) -> bool {
        has_self_reports(self.seed)
    }

    /// Updates the registry entries of runners whose role change has completed.
    pub fn register_changed_roles(&self) {
        let has_changed =
            |runner: &&SoakRunner| runner.role.as_ref().is_some_and(|it| it.finish_due_change());
        self.runners.iter().filter(has_changed).for_each(|runner| self.register(runner, false));
    }

    /// Removes the runners that have crashed from the list and returns them. Their registry entries
    /// remain.
    pub fn take_crashed(&mut self) -> Vec<SoakRunner> {
        let (crashed, others) = std::mem::take(&mut self.runners)
            .into_iter()
            .partition(|runner| runner.stand_in.is_terminated());
        self.runners = others;
        crashed
    }

    /// Starts a runner in place of a crashed one: a new incarnation under the same id if the seed
    /// has incarnations, otherwise a runner with a new id. Fails if it cannot listen.
    pub fn restart_or_replace(&mut self, crashed: &SoakRunner) -> std::io::Result<()> {
        match crashed.born_ms {
            Some(_) => self.start_runner(crashed.id.clone(), crashed.zone, crashed.stage),
            None => self.add_runner(crashed.zone, crashed.stage),
        }
    }

    /// Removes the registry entry of a runner's incarnation, unless a later incarnation has
    /// registered.
    pub fn unregister(&self, runner: &SoakRunner) {
        let has_restarted =
            |other: &SoakRunner| other.id == runner.id && other.born_ms != runner.born_ms;
        if self.runners.iter().any(has_restarted) {
            return;
        }
        self.remove_entry(&runner.id);
    }

    /// Writes the configuration and all registry entries again, as operators and runners do after
    /// the store was restored from an older backup.
    pub fn rewrite_documents(&self) {
        self.put_configuration();
        self.entries.borrow().iter().for_each(|(key, entry)| self.store.put(key, entry));
    }

    /// Removes registry entries that a restored backup has brought back and that no runner
    /// maintains.
    pub fn remove_stale_entries(&self) {
        let entries = self.entries.borrow();
        let found = self.store.keys(&runner_key(""));
        found
            .iter()
            .filter(|key| !entries.contains_key(*key))
            .for_each(|key| self.store.remove(key));
    }

    /// Writes the next version of the configuration. Each version has a route of its own and keeps
    /// the route of the previous version.
    pub fn configure(&mut self) {
        self.version += 1;
        self.put_configuration();
        self.recorder.record(Event::Configured { version: self.version });
    }

    fn put_configuration(&self) {
        let process_routes: &[ProcessRoute] =
            if has_runner_processes(self.seed) { &ProcessRoute::ALL } else { &[] };
        let document =
            configuration(self.version, &self.tenants, self.idle_routes(), process_routes);
        self.store.put(CONFIGURATION_KEY, &document);
    }

    /// Number of routes that receive no requests. In large configurations it grows with the version
    /// up to the maximum size of a store entry.
    fn idle_routes(&self) -> usize {
        const ROUTES_PER_VERSION: u64 = 1_400;
        const MAX_IDLE_ROUTES: u64 = 4_200;
        let is_large = has_large_configurations(self.seed);
        let routes =
            if is_large { (self.version * ROUTES_PER_VERSION).min(MAX_IDLE_ROUTES) } else { 0 };
        usize::try_from(routes).unwrap_or(usize::MAX)
    }

    /// Records the usage reports that the cloud interface has accepted.
    pub fn record_usage_reports(&self) {
        const OK: u16 = 200;
        for call in self.cloud.calls().into_iter().filter(|call| call.status == OK) {
            let (window, counts) = call.usage_report();
            self.recorder.record(Event::UsageReported { window, counts });
        }
    }

    /// The configuration version written last.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// Stages with which the runners of a zone start; `None` for a runner without a language model.
/// Where runners accept orders, the store's zone starts without a decode runner: nodes must order
/// the role change at the start, and again whenever the runner that received it crashes and
/// restarts in its initial stage.
fn initial_stages(seed: u64, zone: &str) -> [Option<&'static str>; 5] {
    let starts_without_decode = has_self_reports(seed) && zone == ZONES[0];
    let others = if starts_without_decode { "prefill" } else { "decode" };
    [Some("prefill"), Some(others), Some(others), None, None]
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn configuration(
    version: u64,
    tenants: &[SoakTenant],
    idle_routes: usize,
    process_routes: &[ProcessRoute],
) -> Value {
    const TIMEOUT_MS: u64 = 6_000;
    const MAX_ATTEMPTS: u32 = 3;
    const MAX_CONNECTIONS: u32 = 200;
    let route = |name, kind, service| RouteDocument {
        name,
        host: HOST,
        kind,
        service,
        timeout_ms: TIMEOUT_MS,
        max_attempts: MAX_ATTEMPTS,
    };
    let service =
        |name, has_engines| ServiceDocument { name, has_engines, max_connections: MAX_CONNECTIONS };
    let version_routes: Vec<String> =
        (version.saturating_sub(1).max(1)..=version).map(|number| format!("v{number}")).collect();
    let mut routes = vec![
        route("booking", RouteKind::AtMostOnce, DESK_SERVICE),
        route("lookup", RouteKind::Repeatable, DESK_SERVICE),
        route("summary", RouteKind::ResumableStream, ENGINE_SERVICE),
    ];
    routes
        .extend(version_routes.iter().map(|name| route(name, RouteKind::Repeatable, DESK_SERVICE)));
    let idle_routes: Vec<String> =
        (0..idle_routes).map(|number| format!("idle-{number}")).collect();
    routes.extend(idle_routes.iter().map(|name| route(name, RouteKind::Repeatable, DESK_SERVICE)));
    routes.extend(process_routes.iter().map(|it| route(it.name(), it.kind(), PROCESS_SERVICE)));
    let mut services = vec![service(DESK_SERVICE, false), service(ENGINE_SERVICE, true)];
    if !process_routes.is_empty() {
        services.push(service(PROCESS_SERVICE, false));
    }
    let tenants: Vec<_> = tenants.iter().map(document).collect();
    documents::configuration(version, &routes, &services, &tenants)
}

/// The HTTP request of a kind, as bytes.
pub fn request_bytes(request: &str, kind: RequestKind) -> Vec<u8> {
    let (method, path) = match kind {
        RequestKind::Repeatable => ("GET", "lookup".to_owned()),
        RequestKind::AtMostOnce => ("POST", "booking".to_owned()),
        RequestKind::ResumableStream => ("POST", "summary".to_owned()),
        RequestKind::Poison { number } if number.is_multiple_of(2) => {
            ("POST", "summary".to_owned())
        }
        RequestKind::Poison { .. } => ("POST", "lookup".to_owned()),
        RequestKind::Probe { version } => ("GET", format!("v{version}")),
    };
    let body = match kind {
        RequestKind::Poison { number } => poison_body(number),
        _ => request_body(request),
    };
    let path = format!("/{path}/x");
    let (id, key, deadline_ms) = (request, tenant_of(request).key, REQUEST_DEADLINE_MS);
    let request =
        ClientRequest { method, host: HOST, path: &path, id, key, deadline_ms, body: &body };
    request.to_bytes()
}
