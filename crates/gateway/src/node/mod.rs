//! What the node believes and counts; shared by all tasks of its one thread.

mod configuration;
mod crashes;
mod eras;
mod locations;
mod open_work;
mod runners;

pub use open_work::{BodyReservation, OpenConnection, OpenRequest};

use crate::authority::Holding;
use crate::clock::Instant;
use crate::http::ConnectionPool;
use crate::metrics::Metrics;
use crate::peer_words::PeerSocket;
use crate::platform_client::PlatformClient;
use crate::policy::PolicyProgram;
use crate::quota::Quotas;
use crate::refused_entries::{EntryError, RefusedEntries};
use crate::runner_limits::RunnerLimits;
use crate::scheduling::Scheduling;
use crate::settings::Settings;
use crate::shard_scheduler;
use crate::store_responses::StoreResponse;
use crate::unknown_words::UnknownWords;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store;
use pitchstall_serving::configuration::{Configuration, Route};
use pitchstall_serving::crash_evidence::CrashEvidence;
use pitchstall_serving::digest::Digest;
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::freshness::StoreFreshness;
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::prefill_speed::{PrefillSample, PrefillSpeed};
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::quarantine::Quarantine;
use pitchstall_serving::retry_budget::{RetryPolicy, SharedRetryBudget};
use pitchstall_serving::routing::TrafficSplitter;
use pitchstall_serving::runner::{Runner, Stage};
use pitchstall_serving::scheduling::ShardLoads;
use pitchstall_serving::store_replica::{StoreReplicas, StoreUpdate, Subject};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEras};
use pitchstall_serving::topology::Topology;
use pitchstall_serving::usage::{UsageCollector, UsageLedger};
use pitchstall_serving::wall_clock::WallClock;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// The node.
pub struct Node {
    /// The node's zone.
    pub zone: ZoneId,
    /// Runners.
    pub fleet: RefCell<Fleet>,
    /// Idle connections to runners.
    pub pool: ConnectionPool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Told when a runner has become suspect.
    pub suspicion_changed: Notify,
    /// Told when this node has ordered a runner to change its role.
    pub role_change_ordered: Notify,
    /// Told when a runner joins or can be tried again.
    pub fleet_changed: Notify,
    /// Asks for and gives placements.
    pub scheduling: Scheduling,
    /// All nodes that are known.
    pub members: RefCell<Membership>,
    /// The store's entries, as they are handed on to other nodes.
    pub store_replicas: RefCell<StoreReplicas>,
    /// Told when one of them has changed.
    pub store_replica_changed: Notify,
    /// The store's eras.
    pub store_eras: RefCell<StoreEras>,
    /// Counts the stores that have been there: the settings may name another one.
    pub store_generation: Cell<u64>,
    /// Whether an era was told in a way that cannot be read, which is logged once.
    pub has_logged_unreadable_era: Cell<bool>,
    /// Told when the store has come back from an older copy.
    pub later_era_began: Notify,
    /// How fresh the copies of the store are.
    pub freshness: RefCell<StoreFreshness>,
    /// Told when the store has confirmed a copy: that spares the other nodes that read it a call.
    pub replica_confirmed: Notify,
    /// Told when a call to the store has failed: what waits for its answers may wait in vain.
    pub store_suspected: Notify,
    /// Told when connections that rest are to be closed.
    pub closing_started: Notify,
    /// This node's authority over what one node does for all.
    pub authority: Holding,
    /// This node's authority over the roles in its region, where there are several regions.
    pub roles_authority: Holding,
    /// Requests of tenants that began to run, here and at other nodes.
    pub usage: RefCell<UsageLedger>,
    /// Attempts that broke, until it is known whether their runners ended.
    pub crash_evidence: RefCell<CrashEvidence>,
    /// Requests under which runners have ended.
    pub quarantine: RefCell<Quarantine>,
    /// Told when the store is to be told of such requests.
    pub quarantine_changed: Notify,
    /// Tenants' limits.
    pub quotas: Quotas,
    /// Runners' limits.
    pub runner_limits: RunnerLimits,
    /// What the collector of usage knows, while this node is it.
    pub usage_collector: RefCell<UsageCollector>,
    /// Entries of the store that cannot be used.
    pub refused_entries: RefusedEntries,
    /// What runners say in ways that are not known here.
    pub unknown_words: RefCell<UnknownWords>,
    /// Whether runners' entries tell when their runners started.
    pub entries_have_start_times: Cell<bool>,
    /// This start of the node, drawn at random: the time of day may jump back.
    pub incarnation: u64,
    wall_clock: RefCell<WallClock>,
    settings: RefCell<Rc<Settings>>,
    policy_program: RefCell<Option<Rc<PolicyProgram>>>,
    started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    has_runner_list: Cell<bool>,
    has_node_list: Cell<bool>,
    is_stopping: Cell<bool>,
    splitter: RefCell<TrafficSplitter>,
    retry_budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    prefill_speeds: RefCell<HashMap<ServiceName, PrefillSpeed>>,
    open_requests: Cell<usize>,
    open_connections: Cell<usize>,
    is_closing: Cell<bool>,
    reserved_body_bytes: Cell<usize>,
}

/// What this machine's clock says, milliseconds since 1970.
pub fn system_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What a node tells the others of itself.
fn own_member(settings: &Settings) -> Member {
    const THOUSANDTHS: f64 = 1_000.0;
    Member {
        address: settings.listen.peers,
        zone: ZoneId::new(&settings.node.zone),
        millicpus: (settings.machine.processor_share * THOUSANDTHS) as u32,
    }
}

/// The regions of the zones, as the settings tell them.
pub fn configured_topology(settings: &Settings) -> Topology {
    let regions = settings.node.regions.iter();
    Topology::new(regions.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region))))
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: Settings, socket: PeerSocket) -> Rc<Self> {
        let zone = ZoneId::new(&settings.node.zone);
        let topology = configured_topology(&settings);
        let name = NodeId::new(&settings.node.name);
        let membership = Membership::new(name, own_member(&settings), topology.clone());
        let fleet = Fleet::new(zone.clone(), topology);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            policy_program: RefCell::default(),
            zone,
            fleet: RefCell::new(fleet),
            pool: ConnectionPool::default(),
            metrics: Metrics::new(socket.far_traffic()),
            suspicion_changed: Notify::new(),
            role_change_ordered: Notify::new(),
            fleet_changed: Notify::new(),
            scheduling: Scheduling::new(socket),
            members: RefCell::new(membership),
            store_replicas: RefCell::default(),
            store_replica_changed: Notify::new(),
            store_eras: RefCell::default(),
            store_generation: Cell::new(0),
            has_logged_unreadable_era: Cell::new(false),
            later_era_began: Notify::new(),
            freshness: RefCell::default(),
            replica_confirmed: Notify::new(),
            store_suspected: Notify::new(),
            closing_started: Notify::new(),
            authority: Holding::default(),
            roles_authority: Holding::default(),
            usage: RefCell::default(),
            crash_evidence: RefCell::default(),
            quarantine: RefCell::default(),
            quarantine_changed: Notify::new(),
            quotas: Quotas::default(),
            runner_limits: RunnerLimits::default(),
            usage_collector: RefCell::default(),
            refused_entries: RefusedEntries::default(),
            unknown_words: RefCell::default(),
            entries_have_start_times: Cell::new(false),
            incarnation: rand::rng().random(),
            wall_clock: RefCell::default(),
            started: Instant::now(),
            configuration: RefCell::default(),
            has_runner_list: Cell::new(false),
            has_node_list: Cell::new(false),
            is_stopping: Cell::new(false),
            splitter: RefCell::default(),
            retry_budgets: RefCell::default(),
            prefill_speeds: RefCell::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            is_closing: Cell::new(false),
            reserved_body_bytes: Cell::new(0),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Takes changed settings into force.
    pub fn adopt_settings(&self, settings: Settings) {
        self.adopt_topology(configured_topology(&settings));
        let store_before = self.settings().store.address;
        let is_other_store = settings.store.address != store_before;
        *self.settings.borrow_mut() = Rc::new(settings);
        if is_other_store {
            *self.store_eras.borrow_mut() = StoreEras::default();
            self.on_store_replaced();
        }
    }

    /// The operators' policy program in force.
    pub fn policy_program(&self) -> Option<Rc<PolicyProgram>> {
        self.policy_program.borrow().clone()
    }

    /// Takes a policy program into force, or none.
    pub fn adopt_policy_program(&self, program: Option<PolicyProgram>) {
        *self.policy_program.borrow_mut() = program.map(Rc::new);
    }

    /// Microseconds of a steady clock since the start.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The time of day that the nodes agree on, milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.wall_clock.borrow_mut().now_ms(system_time_ms(), self.now_us())
    }

    /// Makes a call to the store; `None`: there was no answer.
    pub async fn call_store(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
        limit: Duration,
    ) -> Option<StoreResponse> {
        self.metrics.store_calls.inc();
        let address = self.settings().store.address;
        match client.call(address, call, limit).await {
            Ok(answer) => {
                let era = self.on_era_reported(address, answer.era)?;
                Some(StoreResponse {
                    status: store::parse_status(answer.status),
                    era,
                    body: answer.body,
                })
            }
            Err(error) => {
                self.metrics.store_failures.inc();
                let (target, error) = (call.target.as_str(), error.to_string());
                log::info!(target: "store", target, error; "call failed");
                None
            }
        }
    }

    /// A runner holds parts of prompts in its KV cache, for it has read them or taken them over.
    pub fn on_prefix_cached(&self, runner: &RunnerId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let service = self.fleet.borrow().get(runner).map(|runner| runner.record.service.clone());
        let Some(service) = service else { return };
        let capacity = self.kv_cache_tokens(&service);
        self.fleet.borrow_mut().on_prefix_cached(runner, parts, self.now_us(), capacity);
    }

    /// Whether this node may plan to send requests to a runner, as far as it knows.
    pub fn accepts_placements(&self, runner: &RunnerId) -> bool {
        let now_us = self.now_us();
        let takes = |runner: &Runner| {
            runner.is_available_for_placement(now_us) && !runner.is_changing_role(now_us)
        };
        self.fleet.borrow().get(runner).is_some_and(takes)
    }

    /// The store has told who is there.
    pub fn on_nodes_listed(&self) {
        self.has_node_list.set(true);
    }

    /// Whether the store has ever told who is there.
    pub fn has_listed_nodes(&self) -> bool {
        self.has_node_list.get()
    }

    /// How many nodes there are, this one included, as far as it knows.
    pub fn known_node_count(&self) -> usize {
        self.members.borrow().len()
    }

    /// Takes an update into the copy that is handed on to other nodes.
    pub fn update_replica(&self, subject: Subject, update: &StoreUpdate) {
        self.store_replicas.borrow_mut().get_mut(subject).apply(update);
        self.store_replica_changed.notify_waiters();
    }

    /// An entry of the store cannot be used: another writer left it there.
    pub fn on_refused_entry(
        &self,
        subject: &'static str,
        key: &str,
        revision: RevisionNumber,
        fault: &EntryError,
    ) {
        if self.refused_entries.on_refused(subject, key, revision, fault) {
            self.metrics.on_refused_entry(subject);
        }
    }

    /// Connections that this node may have to one runner of a service: its part of what a
    /// runner takes from all callers. Beyond that a runner resets connections, and a request
    /// sent on one would not be known to be unrun.
    pub fn max_connections_per_runner(&self, service: &ServiceName) -> u32 {
        const MIN_CONNECTIONS: u32 = 2;
        const MAX_USED_PERCENT: u32 = 80;
        let configuration = self.configuration();
        let limit = configuration.and_then(|it| Some(it.services.get(service)?.max_connections));
        match limit {
            None | Some(0) => u32::MAX,
            Some(limit) => {
                let nodes = u32::try_from(self.known_node_count()).unwrap_or(u32::MAX).max(1);
                (limit.saturating_mul(MAX_USED_PERCENT) / 100 / nodes).max(MIN_CONNECTIONS)
            }
        }
    }

    /// Whether another client's connection fits the file descriptors of the process; the rest
    /// is for runners, other nodes and the store.
    pub fn can_accept_client(&self) -> bool {
        const MAX_CLIENT_PERCENT: u64 = 60;
        let max_connections = self.settings().machine.file_descriptors * MAX_CLIENT_PERCENT / 100;
        (self.open_connections() as u64) < max_connections
    }

    /// This node has ordered a runner to change its role; the other nodes are to hear of it.
    pub fn on_role_change_ordered(&self, runner: &RunnerId, stage: Stage, until_us: u64) {
        self.fleet.borrow_mut().on_role_change_ordered(runner, stage, until_us);
        self.role_change_ordered.notify_one();
    }

    /// Takes in another node's digest.
    pub fn on_peer_digest(&self, digest: &Digest) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_role_changes_reported(&digest.changing, now_us);
        digest.limits.iter().for_each(|report| self.on_limit_word(report));
        self.freshness.borrow_mut().on_report(&digest.store, &self.store_eras.borrow(), now_us);
        self.wall_clock.borrow_mut().on_peer_clock(&digest.node, digest.wall_ms, now_us);
    }

    /// Takes in a scheduler's word on the loads of its runners.
    pub fn on_shard_loads(&self, report: &ShardLoads) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_shard_loads(&report.shard, &report.loads, now_us);
    }

    /// The service that gets the route's next request.
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        self.splitter.borrow_mut().next_service(route)
    }

    /// The retry budget of a service, handed to `use_budget`.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        use_budget: impl FnOnce(&mut SharedRetryBudget) -> R,
    ) -> R {
        let settings = self.settings();
        let bounds = &settings.bounds;
        let policy = RetryPolicy {
            ratio: bounds.retry_ratio,
            max_saved: RetryPolicy::node_slack(bounds.retry_slack, self.known_node_count()),
        };
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let new_budget = || SharedRetryBudget::new(policy);
        let budget = retry_budgets.entry(service.clone()).or_insert_with(new_budget);
        budget.set_policy(policy);
        use_budget(budget)
    }

    /// The measured pace of a service's prefill runners, handed to `use_pace`.
    pub fn with_prefill_speed<R>(
        &self,
        service: &ServiceName,
        use_speed: impl FnOnce(&mut PrefillSpeed) -> R,
    ) -> R {
        use_speed(self.prefill_speeds.borrow_mut().entry(service.clone()).or_default())
    }

    /// A runner of a service has read a prompt.
    pub fn on_prefill_measured(
        &self,
        service: &ServiceName,
        runner: &RunnerId,
        sample: PrefillSample,
    ) {
        let observes_all_prefills = shard_scheduler::schedules(self, runner);
        let timing = self.with_prefill_speed(service, |speed| {
            speed.on_prefilled(sample);
            speed.timing_of(&sample, observes_all_prefills)
        });
        let measured = self.fleet.borrow_mut().on_prefill_measured(runner, timing, self.now_us());
        if let Some(measured) = measured {
            self.with_prefill_speed(service, |speed| speed.on_prefill_timed(measured));
        }
    }

    /// Whether a runner is believed to read only what this node has just sent it.
    pub fn has_no_other_requests(&self, runner: &RunnerId, sent_tokens: u64) -> bool {
        let fleet = self.fleet.borrow();
        let Some(runner) = fleet.get(runner) else { return false };
        let peer_requests = runner.peer_requests(self.now_us());
        runner.prefill_tokens <= sent_tokens && runner.in_flight <= 1 && peer_requests < 1.0
    }

    /// Whether the node takes new callers.
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.borrow().is_some() && !self.has_outdated_configuration();
        !self.is_stopping() && is_configured && self.has_runner_list.get()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
    }

    /// Begins to close connections that rest; the node takes no new ones any more.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.closing_started.notify_waiters();
    }

    /// Whether connections that rest are to be closed.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }
}
