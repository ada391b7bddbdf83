//! Holds the state of a node, which all tasks of its single thread share.

mod configuration;
mod crashes;
mod eras;
mod lifecycle;
mod links;
mod locations;

mod prefills;
mod replicas;
mod resources;
mod retries;
mod runners;

pub use links::LinkLoss;
pub use resources::RequestReservation;
pub use runners::{ProbeVerdict, Unreachability};

use crate::authority::LocalAuthority;
use crate::clock::Instant;
use crate::http::ConnectionPool;
use crate::metrics::Metrics;
use crate::open_connections::OpenConnections;
use crate::open_counter::OpenCounter;
use crate::peer_messages::PeerSocket;
use crate::policy::PolicyProgram;
use crate::quota::Quotas;
use crate::refused_entries::RefusedEntries;
use crate::response_memory::ResponseMemory;
use crate::retry_pools::RetryPools;
use crate::runner_limits::RunnerLimits;
use crate::scheduling::Scheduling;
use crate::settings::Settings;
use crate::stream_origin_handover::OriginHandovers;
use crate::stream_origins::StreamOriginRecords;
use crate::unknown_headers::UnknownHeaders;
use crate::version_reads::VersionReads;
use pitchstall_serving::configuration::{Configuration, Route};
use pitchstall_serving::crash_evidence::CrashEvidence;
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::freshness::StoreFreshness;
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::lost_links::LostLinks;
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::proven_parts::ProvenParts;
use pitchstall_serving::quarantine::Quarantine;
use pitchstall_serving::request_identity::RequestIdentity;
use pitchstall_serving::retry_budget::SharedRetryBudget;
use pitchstall_serving::routing::TrafficSplitter;
use pitchstall_serving::runner::{Runner, Stage};
use pitchstall_serving::scheduling::ShardLoads;
use pitchstall_serving::store_replica::StoreReplicas;
use pitchstall_serving::store_revision::StoreEras;
use pitchstall_serving::topology::Topology;
use pitchstall_serving::tunnel_peers::TunnelPeers;
use pitchstall_serving::usage::{UsageCollector, UsageLedger};
use pitchstall_serving::version_record::VersionRecord;
use pitchstall_serving::wall_clock::WallClock;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// State of a node. The tasks of a node run on one thread and share this state without locks.
pub struct Node {
    /// Zone of the node in the settings at its start; a change takes effect at the next start.
    pub zone: ZoneId,
    /// The runners that this node knows, and its estimate of their state.
    pub fleet: RefCell<Fleet>,
    /// Idle connections to runners, which later attempts reuse.
    pub pool: ConnectionPool,
    /// Counters, gauges and histograms, as exported to operators.
    pub metrics: Metrics,
    /// This node's own links to runners that are lost.
    pub links: RefCell<LostLinks>,
    /// Which other nodes have opened connections to runners for this one.
    pub tunnel_peers: RefCell<TunnelPeers>,
    /// Connections to runners that this node carries for others.
    pub open_tunnels: OpenCounter,
    /// Requests without a final response, which a planned stop waits for.
    pub open_requests: OpenCounter,
    /// Requests that may use a connection to a runner.
    pub dispatched_requests: OpenCounter,
    /// Second descriptors of client connections' sockets.
    pub second_descriptors: OpenCounter,
    /// Open connections of clients.
    pub client_connections: Rc<OpenConnections>,
    /// Open connections to the health address.
    pub health_connections: Rc<OpenConnections>,
    /// Open connections of other nodes.
    pub peer_connections: Rc<OpenConnections>,
    /// Notified when the suspicion of a runner, or the state of the link to it, may have changed.
    pub suspicion_changed: Notify,
    /// Notified when this node has ordered a runner to change its role.
    pub role_change_ordered: Notify,
    /// Notified when a runner's registry entry is added or updated.
    pub fleet_changed: Notify,
    /// Requests placements from schedulers and replies to placement queries.
    pub scheduling: Scheduling,
    /// The known nodes, including this one, and which of them read the store.
    pub members: RefCell<Membership>,
    /// Replicas of the store's entries, which followers receive as snapshots and updates.
    pub store_replicas: RefCell<StoreReplicas>,
    /// Notified when a replica has changed.
    pub store_replica_changed: Notify,
    /// Eras of the store that this node has observed.
    pub store_eras: RefCell<StoreEras>,
    /// Number of times the store has been replaced by another one, by the settings or as detected
    /// from its responses.
    pub store_generation: Cell<u64>,
    /// Whether an invalid era in a response has been logged; it is logged only once.
    pub has_logged_invalid_era: Cell<bool>,
    /// Notified when a later era of the store begins, or the store is replaced.
    pub later_era_began: Notify,
    /// How fresh the replicas of the store are.
    pub freshness: RefCell<StoreFreshness>,
    /// Notified when the store has confirmed a replica. Reporting it spares the other store readers
    /// a call.
    pub replica_confirmed: Notify,
    /// Notified when a call to the store has failed: pending watches may never receive a response.
    pub store_suspected: Notify,
    /// Notified when a planned stop begins.
    stop_began: Notify,
    /// Notified when idle client connections are to be closed.
    pub closing_started: Notify,
    /// Lease on the duties that one node performs for the whole fleet.
    pub authority: LocalAuthority,
    /// Lease on assigning roles in this node's region, used if there are several regions.
    pub roles_authority: LocalAuthority,
    /// Requests of tenants that began to run, here and at other nodes.
    pub usage: RefCell<UsageLedger>,
    /// Broken attempts that are kept until it is known whether their runners terminated.
    pub crash_evidence: RefCell<CrashEvidence>,
    /// Requests that were open when a runner crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Prompt parts on which runners have completed responses.
    pub proven_parts: RefCell<ProvenParts>,
    /// When a node last reported that a part is proven, in microseconds.
    reported_proven_us: RefCell<HashMap<RequestIdentity, u64>>,
    /// Number of trials of each blamed part.
    part_trials: RefCell<HashMap<RequestIdentity, u32>>,
    /// Notified when there are crashes to write to the store or to remove from it.
    pub quarantine_changed: Notify,
    /// Tenants' limits: pending charges, and the part of the quotas that this node keeps.
    pub quotas: Quotas,
    /// Limits that runners have reported, and the permits granted under them.
    pub runner_limits: RunnerLimits,
    /// The software versions at which recent streams began.
    pub stream_origins: StreamOriginRecords,
    /// The software versions at which streams may have begun, as the store has them.
    pub version_record: RefCell<VersionRecord>,
    /// Reads of that record for requests.
    pub version_reads: VersionReads,
    /// Notified when the versions of runners, or the record of them, may have changed.
    pub versions_changed: Notify,
    /// Which keepers of streams have been told where these began.
    pub origin_handovers: OriginHandovers,
    /// Retry tokens that this node pools with others, and those that it keeps for them.
    pub retry_pools: RetryPools,
    /// State of the usage collector, used while this node has that duty.
    pub usage_collector: RefCell<UsageCollector>,
    /// Entries of the store that cannot be used, each of which is logged once per revision.
    pub refused_entries: RefusedEntries,
    /// Names of runners' response headers that this build does not support.
    pub unknown_headers: RefCell<UnknownHeaders>,
    /// Whether any runner's entry in the registry has reported its start time; entries without one
    /// are refused from then on.
    pub entries_have_start_times: Cell<bool>,
    /// Identifies this start of the node. It is random because the wall clock may jump back.
    pub incarnation: u64,
    wall_clock: RefCell<WallClock>,
    settings: RefCell<Rc<Settings>>,
    policy_program: RefCell<Option<Rc<PolicyProgram>>>,
    started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    has_runner_list: Cell<bool>,
    /// Whether the crashes in the store have ever been received. Before that, an empty quarantine says nothing.
    has_crash_list: Cell<bool>,
    has_node_list: Cell<bool>,
    has_failed_listing: Cell<bool>,
    has_been_ready: Cell<bool>,
    /// Addresses of the nodes that last reported a later change, by the subject's name.
    reporters: RefCell<HashMap<&'static str, SocketAddr>>,
    is_stopping: Cell<bool>,
    splitter: RefCell<TrafficSplitter>,
    retry_budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    prefill_speeds: RefCell<HashMap<ServiceName, PrefillSpeed>>,
    is_closing: Cell<bool>,
    reserved_request_bytes: Cell<usize>,
    response_memory: Rc<ResponseMemory>,
}

/// This machine's wall clock, in milliseconds since the Unix epoch.
pub fn system_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What a node reports to others about itself.
fn own_member(settings: &Settings) -> Member {
    const THOUSANDTHS: f64 = 1_000.0;
    Member {
        address: settings.listen.peers,
        zone: ZoneId::new(&settings.node.zone),
        millicpus: (settings.machine.processor_share * THOUSANDTHS) as u32,
    }
}

/// The assignment of zones to regions in the settings.
pub fn configured_topology(settings: &Settings) -> Topology {
    let regions = settings.node.regions.iter();
    Topology::new(regions.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region))))
}

impl Node {
    /// Creates a node that has received neither a configuration nor lists of runners and nodes.
    pub fn new(settings: Settings, socket: PeerSocket) -> Rc<Self> {
        let zone = ZoneId::new(&settings.node.zone);
        let topology = configured_topology(&settings);
        let name = NodeId::new(&settings.node.name);
        let membership = Membership::new(name, own_member(&settings), topology.clone());
        let mut fleet = Fleet::new(zone.clone(), topology);
        fleet.set_node(membership.own_name());
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            policy_program: RefCell::default(),
            zone,
            fleet: RefCell::new(fleet),
            pool: ConnectionPool::default(),
            metrics: Metrics::new(&socket),
            links: RefCell::default(),
            tunnel_peers: RefCell::default(),
            open_tunnels: OpenCounter::default(),
            open_requests: OpenCounter::default(),
            dispatched_requests: OpenCounter::default(),
            second_descriptors: OpenCounter::default(),
            client_connections: OpenConnections::new("clients"),
            health_connections: OpenConnections::new("health"),
            peer_connections: OpenConnections::new("peers"),
            suspicion_changed: Notify::new(),
            role_change_ordered: Notify::new(),
            fleet_changed: Notify::new(),
            scheduling: Scheduling::new(socket),
            members: RefCell::new(membership),
            store_replicas: RefCell::default(),
            store_replica_changed: Notify::new(),
            store_eras: RefCell::default(),
            store_generation: Cell::new(0),
            has_logged_invalid_era: Cell::new(false),
            later_era_began: Notify::new(),
            freshness: RefCell::default(),
            replica_confirmed: Notify::new(),
            store_suspected: Notify::new(),
            stop_began: Notify::new(),
            closing_started: Notify::new(),
            authority: LocalAuthority::default(),
            roles_authority: LocalAuthority::default(),
            usage: RefCell::default(),
            crash_evidence: RefCell::default(),
            quarantine: RefCell::default(),
            proven_parts: RefCell::default(),
            reported_proven_us: RefCell::default(),
            part_trials: RefCell::default(),
            quarantine_changed: Notify::new(),
            quotas: Quotas::default(),
            runner_limits: RunnerLimits::default(),
            stream_origins: StreamOriginRecords::default(),
            version_record: RefCell::default(),
            version_reads: VersionReads::default(),
            versions_changed: Notify::new(),
            origin_handovers: OriginHandovers::default(),
            retry_pools: RetryPools::default(),
            usage_collector: RefCell::default(),
            refused_entries: RefusedEntries::default(),
            unknown_headers: RefCell::default(),
            entries_have_start_times: Cell::new(false),
            incarnation: rand::rng().random(),
            wall_clock: RefCell::default(),
            started: Instant::now(),
            configuration: RefCell::default(),
            has_runner_list: Cell::new(false),
            has_crash_list: Cell::new(false),
            has_node_list: Cell::new(false),
            has_failed_listing: Cell::new(false),
            has_been_ready: Cell::new(false),
            reporters: RefCell::default(),
            is_stopping: Cell::new(false),
            splitter: RefCell::default(),
            retry_budgets: RefCell::default(),
            prefill_speeds: RefCell::default(),
            is_closing: Cell::new(false),
            reserved_request_bytes: Cell::new(0),
            response_memory: Rc::default(),
        })
    }

    /// The settings in force; the next reload replaces them.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed settings into force. Another store address counts as the replacement of the
    /// store.
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

    /// The operators' policy program in force; `None` if there is none.
    pub fn policy_program(&self) -> Option<Rc<PolicyProgram>> {
        self.policy_program.borrow().clone()
    }

    /// Puts a policy program into force, or removes the current one.
    pub fn adopt_policy_program(&self, program: Option<PolicyProgram>) {
        *self.policy_program.borrow_mut() = program.map(Rc::new);
    }

    /// Time since the start of the node by the suspension-aware clock, in microseconds.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Wall-clock time that is consistent across nodes, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall_clock.borrow_mut().now_ms(system_time_ms(), self.now_us())
    }

    /// Whether this node may place requests on a runner, by its own view of the runner.
    pub fn accepts_placements(&self, runner: &RunnerId) -> bool {
        let now_us = self.now_us();
        let is_available = |runner: &Runner| {
            runner.is_available_for_placement(now_us) && !runner.is_changing_role(now_us)
        };
        self.fleet.borrow().get(runner).is_some_and(is_available)
    }

    /// Number of known nodes, including this one.
    pub fn known_node_count(&self) -> usize {
        self.members.borrow().len()
    }

    /// Maximum number of connections from this node to one runner of a service; `u32::MAX` if the
    /// service has no limit. It is this node's share of the runner's limit over all clients: a
    /// runner resets connections beyond that limit, and the node could not tell whether a request
    /// sent on a reset connection was executed.
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

    /// Records that this node has ordered a runner to change its role, and wakes the task that
    /// reports this to the other nodes.
    pub fn on_role_change_ordered(&self, runner: &RunnerId, stage: Stage, until_us: u64) {
        self.fleet.borrow_mut().on_role_change_ordered(runner, stage, until_us);
        self.role_change_ordered.notify_one();
    }

    /// Applies a scheduler's report on the loads of its runners.
    pub fn on_shard_loads(&self, report: &ShardLoads) {
        let now_us = self.now_us();
        self.fleet.borrow_mut().on_shard_loads(&report.shard, &report.loads, now_us);
    }

    /// The service that receives the route's next request; `None` if no share of the route has a
    /// positive weight.
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        self.splitter.borrow_mut().next_service(route)
    }
}
