//! What the node believes and counts; shared by all tasks of its one thread.

mod configuration;
mod crashes;
mod eras;
mod places;
mod runners;
mod work;

pub use work::{BodyReservation, OpenConnection, OpenRequest};

use crate::authority::LocalAuthority;
use crate::clock::Instant;
use crate::http::ConnectionPool;
use crate::metrics::Metrics;
use crate::peer_messages::PeerSocket;
use crate::platform_client::PlatformClient;
use crate::policy::PolicyProgram;
use crate::quota::Quotas;
use crate::refused_entries::{EntryFault, RefusedEntries};
use crate::runner_limits::RunnerLimits;
use crate::scheduling::Scheduling;
use crate::settings::Settings;
use crate::shard_scheduler;
use crate::store_answers::StoreAnswer;
use crate::unknown_headers::UnknownHeaders;
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
    pub role_ordered: Notify,
    /// Told when a runner joins or can be tried again.
    pub fleet_changed: Notify,
    /// Asks for and gives placements.
    pub scheduling: Scheduling,
    /// All nodes that are known.
    pub members: RefCell<Membership>,
    /// The store's entries, as they are handed on to other nodes.
    pub copies: RefCell<StoreReplicas>,
    /// Told when one of them has changed.
    pub copy_changed: Notify,
    /// The store's eras.
    pub eras: RefCell<StoreEras>,
    /// Counts the stores that have been there: the settings may name another one.
    pub store_generation: Cell<u64>,
    /// Whether an era was told in a way that cannot be read, which is logged once.
    pub era_was_unread: Cell<bool>,
    /// Told when the store has come back from an older copy.
    pub era_began: Notify,
    /// How fresh the copies of the store are.
    pub freshness: RefCell<StoreFreshness>,
    /// Told when the store has confirmed a copy: that spares the other nodes that read it a call.
    pub store_confirmed: Notify,
    /// Told when a call to the store has failed: what waits for its answers may wait in vain.
    pub store_suspected: Notify,
    /// Told when connections that rest are to be closed.
    pub stopping: Notify,
    /// This node's authority over what one node does for all.
    pub authority: LocalAuthority,
    /// This node's authority over the roles in its region, where there are several regions.
    pub roles_authority: LocalAuthority,
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
    pub unknown_words: RefCell<UnknownHeaders>,
    /// Whether runners' entries tell when their runners started.
    pub tells_starts: Cell<bool>,
    /// This start of the node, drawn at random: the time of day may jump back.
    pub incarnation: u64,
    wall_clock: RefCell<WallClock>,
    settings: RefCell<Rc<Settings>>,
    policy_program: RefCell<Option<Rc<PolicyProgram>>>,
    started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    runners_known: Cell<bool>,
    nodes_listed: Cell<bool>,
    is_stopping: Cell<bool>,
    splitter: RefCell<TrafficSplitter>,
    budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    paces: RefCell<HashMap<ServiceName, PrefillSpeed>>,
    open_requests: Cell<usize>,
    open_connections: Cell<usize>,
    is_closing: Cell<bool>,
    body_bytes: Cell<usize>,
}

/// What this machine's clock says, milliseconds since 1970.
pub fn machine_wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What a node tells the others of itself.
fn member_of(settings: &Settings) -> Member {
    const THOUSANDTHS: f64 = 1_000.0;
    Member {
        address: settings.listen.peers,
        zone: ZoneId::new(&settings.node.zone),
        millicpus: (settings.machine.processor_share * THOUSANDTHS) as u32,
    }
}

/// The regions of the zones, as the settings tell them.
pub fn topology_of(settings: &Settings) -> Topology {
    let regions = settings.node.regions.iter();
    Topology::new(regions.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region))))
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: Settings, socket: PeerSocket) -> Rc<Self> {
        let zone = ZoneId::new(&settings.node.zone);
        let topology = topology_of(&settings);
        let name = NodeId::new(&settings.node.name);
        let membership = Membership::new(name, member_of(&settings), topology.clone());
        let fleet = Fleet::new(zone.clone(), topology);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            policy_program: RefCell::default(),
            zone,
            fleet: RefCell::new(fleet),
            pool: ConnectionPool::default(),
            metrics: Metrics::new(socket.cross_region_traffic()),
            suspicion_changed: Notify::new(),
            role_ordered: Notify::new(),
            fleet_changed: Notify::new(),
            scheduling: Scheduling::new(socket),
            members: RefCell::new(membership),
            copies: RefCell::default(),
            copy_changed: Notify::new(),
            eras: RefCell::default(),
            store_generation: Cell::new(0),
            era_was_unread: Cell::new(false),
            era_began: Notify::new(),
            freshness: RefCell::default(),
            store_confirmed: Notify::new(),
            store_suspected: Notify::new(),
            stopping: Notify::new(),
            authority: LocalAuthority::default(),
            roles_authority: LocalAuthority::default(),
            usage: RefCell::default(),
            crash_evidence: RefCell::default(),
            quarantine: RefCell::default(),
            quarantine_changed: Notify::new(),
            quotas: Quotas::default(),
            runner_limits: RunnerLimits::default(),
            usage_collector: RefCell::default(),
            refused_entries: RefusedEntries::default(),
            unknown_words: RefCell::default(),
            tells_starts: Cell::new(false),
            incarnation: rand::rng().random(),
            wall_clock: RefCell::default(),
            started: Instant::now(),
            configuration: RefCell::default(),
            runners_known: Cell::new(false),
            nodes_listed: Cell::new(false),
            is_stopping: Cell::new(false),
            splitter: RefCell::default(),
            budgets: RefCell::default(),
            paces: RefCell::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            is_closing: Cell::new(false),
            body_bytes: Cell::new(0),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Takes changed settings into force.
    pub fn adopt_settings(&self, settings: Settings) {
        self.adopt_topology(topology_of(&settings));
        let store_before = self.settings().store.address;
        let is_other_store = settings.store.address != store_before;
        *self.settings.borrow_mut() = Rc::new(settings);
        if is_other_store {
            *self.eras.borrow_mut() = StoreEras::default();
            self.on_other_store();
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
        self.wall_clock.borrow_mut().now_ms(machine_wall_ms(), self.now_us())
    }

    /// Makes a call to the store; `None`: there was no answer.
    pub async fn call_store(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
        limit: Duration,
    ) -> Option<StoreAnswer> {
        self.metrics.store_calls.inc();
        let address = self.settings().store.address;
        match client.call(address, call, limit).await {
            Ok(answer) => {
                let era = self.on_told_era(address, answer.era)?;
                Some(StoreAnswer {
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
    pub fn on_parts_held(&self, runner: &RunnerId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let service = self.fleet.borrow().get(runner).map(|runner| runner.record.service.clone());
        let Some(service) = service else { return };
        let capacity = self.cache_tokens(&service);
        self.fleet.borrow_mut().on_prefix_cached(runner, parts, self.now_us(), capacity);
    }

    /// Whether this node may plan to send requests to a runner, as far as it knows.
    pub fn accepts_work(&self, runner: &RunnerId) -> bool {
        let now_us = self.now_us();
        let takes = |runner: &Runner| {
            runner.is_available_for_placement(now_us) && !runner.is_changing_role(now_us)
        };
        self.fleet.borrow().get(runner).is_some_and(takes)
    }

    /// The store has told who is there.
    pub fn on_nodes_listed(&self) {
        self.nodes_listed.set(true);
    }

    /// Whether the store has ever told who is there.
    pub fn has_listed_nodes(&self) -> bool {
        self.nodes_listed.get()
    }

    /// How many nodes there are, this one included, as far as it knows.
    pub fn known_nodes(&self) -> usize {
        self.members.borrow().len()
    }

    /// Takes an update into the copy that is handed on to other nodes.
    pub fn update_copy(&self, subject: Subject, update: &StoreUpdate) {
        self.copies.borrow_mut().get_mut(subject).apply(update);
        self.copy_changed.notify_waiters();
    }

    /// An entry of the store cannot be used: another writer left it there.
    pub fn on_refused_entry(
        &self,
        subject: &'static str,
        key: &str,
        revision: RevisionNumber,
        fault: &EntryFault,
    ) {
        if self.refused_entries.on_refused(subject, key, revision, fault) {
            self.metrics.on_refused_entry(subject);
        }
    }

    /// Connections that this node may have to one runner of a service: its part of what a
    /// runner takes from all callers. Beyond that a runner resets connections, and a request
    /// sent on one would not be known to be unrun.
    pub fn connection_share(&self, service: &ServiceName) -> u32 {
        const LEAST: u32 = 2;
        const USED_PERCENT: u32 = 80;
        let configuration = self.configuration();
        let limit = configuration.and_then(|it| Some(it.services.get(service)?.max_connections));
        match limit {
            None | Some(0) => u32::MAX,
            Some(limit) => {
                let nodes = u32::try_from(self.known_nodes()).unwrap_or(u32::MAX).max(1);
                (limit.saturating_mul(USED_PERCENT) / 100 / nodes).max(LEAST)
            }
        }
    }

    /// Whether another client's connection fits the file descriptors of the process; the rest
    /// is for runners, other nodes and the store.
    pub fn has_room_for_client(&self) -> bool {
        const CLIENTS_PERCENT: u64 = 60;
        let most = self.settings().machine.file_descriptors * CLIENTS_PERCENT / 100;
        (self.open_connections() as u64) < most
    }

    /// This node has ordered a runner to change its role; the other nodes are to hear of it.
    pub fn on_role_ordered(&self, runner: &RunnerId, stage: Stage, until_us: u64) {
        self.fleet.borrow_mut().on_role_change_ordered(runner, stage, until_us);
        self.role_ordered.notify_one();
    }

    /// Takes in another node's digest.
    pub fn on_peer_digest(&self, digest: &Digest) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_role_transitions_reported(&digest.changing, now_us);
        digest.limits.iter().for_each(|word| self.on_limit_word(word));
        self.freshness.borrow_mut().on_report(&digest.store, &self.eras.borrow(), now_us);
        self.wall_clock.borrow_mut().on_peer_clock(&digest.node, digest.wall_ms, now_us);
    }

    /// Takes in a scheduler's word on the loads of its runners.
    pub fn on_shard_loads(&self, word: &ShardLoads) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_shard_loads(&word.shard, &word.loads, now_us);
    }

    /// The service that gets the route's next request.
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        self.splitter.borrow_mut().next_service(route)
    }

    /// The retry budget of a service, handed to `use_budget`.
    pub fn with_budget<R>(
        &self,
        service: &ServiceName,
        use_budget: impl FnOnce(&mut SharedRetryBudget) -> R,
    ) -> R {
        let settings = self.settings();
        let bounds = &settings.bounds;
        let policy = RetryPolicy {
            ratio: bounds.retry_ratio,
            max_saved: RetryPolicy::node_slack(bounds.retry_slack, self.known_nodes()),
        };
        let mut budgets = self.budgets.borrow_mut();
        let new_budget = || SharedRetryBudget::new(policy);
        let budget = budgets.entry(service.clone()).or_insert_with(new_budget);
        budget.set_policy(policy);
        use_budget(budget)
    }

    /// The measured pace of a service's prefill runners, handed to `use_pace`.
    pub fn with_pace<R>(
        &self,
        service: &ServiceName,
        use_pace: impl FnOnce(&mut PrefillSpeed) -> R,
    ) -> R {
        use_pace(self.paces.borrow_mut().entry(service.clone()).or_default())
    }

    /// A runner of a service has read a prompt.
    pub fn on_read_in(&self, service: &ServiceName, runner: &RunnerId, sample: PrefillSample) {
        let observes_all_prefills = shard_scheduler::schedules(self, runner);
        let reading = self.with_pace(service, |speed| {
            speed.on_prefilled(sample);
            speed.timing_of(&sample, observes_all_prefills)
        });
        let spent = self.fleet.borrow_mut().on_prefill_measured(runner, reading, self.now_us());
        if let Some(spent) = spent {
            self.with_pace(service, |speed| speed.on_prefill_timed(spent));
        }
    }

    /// Whether a runner is believed to read only what this node has just sent it.
    pub fn has_nothing_else_to_read(&self, runner: &RunnerId, just_sent: u64) -> bool {
        let fleet = self.fleet.borrow();
        let Some(runner) = fleet.get(runner) else { return false };
        let others = runner.peer_requests(self.now_us());
        runner.prefill_tokens <= just_sent && runner.in_flight <= 1 && others < 1.0
    }

    /// Whether the node takes new callers.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.configuration.borrow().is_some() && !self.is_outdated();
        !self.is_stopping() && is_configured && self.runners_known.get()
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
        self.stopping.notify_waiters();
    }

    /// Whether connections that rest are to be closed.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }
}
