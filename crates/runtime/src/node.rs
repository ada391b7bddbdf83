//! The node's state and the one way into it.

use crate::exchange::Exchange;
use crate::io::{CallId, CallerInput, EngineCall, Input, OperatorCall, Output};
use crate::metrics::{Counters, Gauges};
use crate::settings::NodeSettings;
use pitchstall_coordination::authority::Authority;
use pitchstall_coordination::claims::ClaimWriter;
use pitchstall_coordination::commit::Commit;
use pitchstall_coordination::configuration::ConfigurationReplica;
use pitchstall_coordination::lease::LeaseHolder;
use pitchstall_coordination::members::Members;
use pitchstall_coordination::placement::stable_hash;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::engine::FencingToken;
use pitchstall_protocol::ids::{
    AttemptNumber, ClaimId, ConnectionId, EngineId, Epoch, Incarnation, ModelName, NodeId,
    RequestId, Revision, ServiceName, ZoneId,
};
use pitchstall_protocol::peer::{ArrivedWork, PeerEnvelope, PeerMessage};
use pitchstall_protocol::store::StoreRequest;
use pitchstall_scheduling::limits::TenantLimits;
use pitchstall_scheduling::load::EngineLoad;
use pitchstall_scheduling::planner::Planner;
use pitchstall_scheduling::policy::{Policy, PolicyEngine};
use pitchstall_scheduling::queue::FairQueue;
use pitchstall_scheduling::retry_budget::RetryBudget;
use pitchstall_scheduling::routing::PrefixMap;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What a call was made for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Lease { sent: Timestamp },
    Claims { sent: Timestamp },
    Commit(OperatorCall),
    History(OperatorCall),
    Verify { sent: Timestamp },
    Stream { request: RequestId, attempt: AttemptNumber, resumed: bool },
    Report { engine: EngineId, sent: Timestamp },
    Order { engine: EngineId, token: FencingToken },
    KeyCheck(Box<PendingRefusal>),
    Forward { request: RequestId },
}

/// A refusal that waits until it is known whether its idempotency key was used.
#[derive(Clone, Debug)]
pub(crate) struct PendingRefusal {
    pub origin: crate::exchange::Origin,
    pub request: RequestId,
    pub key: String,
    pub error: pitchstall_protocol::error::ErrorBody,
}

/// What this node remembers of a claim it made.
#[derive(Clone, Debug)]
pub(crate) struct OwnClaim {
    pub claim: ClaimId,
    pub body: u64,
    pub state: OwnClaimState,
    pub changed: Timestamp,
}

/// What became of an own claim.
#[derive(Clone, Debug)]
pub(crate) enum OwnClaimState {
    Running,
    Ended {
        text: String,
        usage: pitchstall_protocol::caller::Usage,
    },
    /// Will never be dispatched.
    Abandoned,
    /// Was dispatched and failed.
    Failed,
}

/// What is known of another zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneKnowledge {
    pub summary: pitchstall_protocol::peer::ZoneSummary,
    pub heard: Timestamp,
}

/// The latest clock reading heard of a node of another zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemoteClock {
    pub incarnation: Incarnation,
    pub clock_us: u64,
}

/// When periodic work is due next.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Schedule {
    pub heartbeat: Timestamp,
    pub digest: Timestamp,
    pub pull_digest: Timestamp,
    pub verify: Timestamp,
    pub members: Timestamp,
    pub reports: Timestamp,
    pub housekeeping: Timestamp,
    pub forward_word: Timestamp,
}

/// A node.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) now: Timestamp,
    pub(crate) out: Vec<Output>,
    pub(crate) next_call: u64,
    pub(crate) calls: HashMap<CallId, Purpose>,
    pub(crate) counters: Counters,
    pub(crate) schedule: Schedule,
    pub(crate) leaving_since: Option<Timestamp>,
    pub(crate) left: bool,

    pub(crate) replica: ConfigurationReplica,
    pub(crate) revision_learnt: Timestamp,
    pub(crate) commits: HashMap<OperatorCall, Commit>,
    pub(crate) members: Members,
    /// Addresses of nodes that the membership list does not show yet.
    pub(crate) reply_addresses: HashMap<NodeId, String>,
    pub(crate) remote_clocks: HashMap<NodeId, RemoteClock>,
    pub(crate) zones: BTreeMap<ZoneId, ZoneKnowledge>,
    pub(crate) summary_sequence: u64,
    pub(crate) zones_wanted_until: Timestamp,

    pub(crate) lease: LeaseHolder,
    pub(crate) authority: Authority,
    pub(crate) authority_heard: Option<(NodeId, Epoch, Timestamp)>,
    pub(crate) watching: bool,
    pub(crate) planners: BTreeMap<ModelName, Planner>,
    pub(crate) arrived: BTreeMap<ModelName, ArrivedWork>,
    pub(crate) arrived_seen: HashMap<(NodeId, ModelName), ArrivedWork>,

    pub(crate) engines: BTreeMap<EngineId, EngineLoad>,
    pub(crate) prefixes: PrefixMap,
    pub(crate) exchanges: BTreeMap<RequestId, Exchange>,
    pub(crate) connections: HashMap<ConnectionId, RequestId>,
    pub(crate) queue: FairQueue,
    pub(crate) limits: TenantLimits,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) policy_engine: PolicyEngine,
    pub(crate) policies: HashMap<ServiceName, Option<Policy>>,
    pub(crate) policies_of: Revision,
    pub(crate) output_ratio: HashMap<ServiceName, f64>,

    pub(crate) claim_writer: ClaimWriter,
    pub(crate) claim_count: u64,
    pub(crate) own_claims: HashMap<String, OwnClaim>,
    pub(crate) claim_waiters: HashMap<ClaimId, RequestId>,
    pub(crate) abandoned_claims: HashMap<ClaimId, Timestamp>,
    pub(crate) pending_refusals: usize,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: NodeSettings) -> Self {
        let jitter = spread_of(&settings.node, settings.lease.retry_every);
        let lease = LeaseHolder::new(
            settings.lease,
            &settings.zone,
            settings.node.clone(),
            settings.incarnation,
            jitter,
        );
        let members = Members::new(settings.members, settings.node.clone(), settings.zone.clone());
        let claim_writer = ClaimWriter::new(settings.claims, settings.node.clone());
        let replica = ConfigurationReplica::new(settings.control.movement_bound);
        Self {
            now: Timestamp(0),
            out: Vec::new(),
            next_call: 1,
            calls: HashMap::new(),
            counters: Counters::default(),
            schedule: first_schedule(&settings),
            leaving_since: None,
            left: false,
            replica,
            revision_learnt: Timestamp(0),
            commits: HashMap::new(),
            members,
            reply_addresses: HashMap::new(),
            remote_clocks: HashMap::new(),
            zones: BTreeMap::new(),
            summary_sequence: 0,
            zones_wanted_until: Timestamp(0),
            lease,
            authority: Authority::new(settings.control.order_resend),
            authority_heard: None,
            watching: false,
            planners: BTreeMap::new(),
            arrived: BTreeMap::new(),
            arrived_seen: HashMap::new(),
            engines: BTreeMap::new(),
            prefixes: PrefixMap::default(),
            exchanges: BTreeMap::new(),
            connections: HashMap::new(),
            queue: FairQueue::default(),
            limits: TenantLimits::default(),
            retry_budget: RetryBudget::new(settings.retry_budget),
            policy_engine: PolicyEngine::new(),
            policies: HashMap::new(),
            policies_of: Revision(0),
            output_ratio: HashMap::new(),
            claim_writer,
            claim_count: 0,
            own_claims: HashMap::new(),
            claim_waiters: HashMap::new(),
            abandoned_claims: HashMap::new(),
            pending_refusals: 0,
            settings,
        }
    }

    /// Takes one input and appends what is to be done to `outputs`. Time never goes back:
    /// an earlier `now` counts as the latest one seen.
    pub fn step(&mut self, now: Timestamp, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.on_tick(),
            Input::Caller(CallerInput::Submit { connection, request }) => {
                self.on_submit(connection, request);
            }
            Input::Caller(CallerInput::Gone { connection }) => self.on_caller_gone(connection),
            Input::Engine { call, input } => self.on_engine(call, input),
            Input::Store { call, reply } => self.on_store(call, reply),
            Input::Watched(value) => self.on_watched(&value),
            Input::Peer(envelope) => self.on_peer(envelope),
            Input::PeerUnreachable { call } => self.on_peer_unreachable(call),
            Input::Members(list) => self.on_members(list),
            Input::Operator { call, request } => self.on_operator(call, request),
            Input::Leave => self.on_leave(),
        }
        outputs.append(&mut self.out);
    }

    fn on_tick(&mut self) {
        self.tick_control();
        self.tick_spread();
        self.tick_claims();
        self.tick_requests();
        self.tick_leaving();
    }

    fn on_store(
        &mut self,
        call: CallId,
        reply: Result<
            pitchstall_protocol::store::StoreReply,
            pitchstall_protocol::store::StoreError,
        >,
    ) {
        match self.calls.remove(&call) {
            Some(Purpose::Lease { sent }) => self.on_lease_reply(sent, &reply),
            Some(Purpose::Claims { sent }) => self.on_claims_reply(sent, reply),
            Some(Purpose::Commit(operator)) => self.on_commit_reply(operator, &reply),
            Some(Purpose::History(operator)) => self.on_history_reply(operator, reply),
            Some(Purpose::KeyCheck(refusal)) => self.on_key_checked(*refusal, &reply),
            Some(Purpose::Verify { sent }) => self.on_verify_reply(sent, reply),
            _ => {}
        }
    }

    fn on_leave(&mut self) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(self.now);
            // Tell the others now, not at the next heartbeat.
            self.schedule.heartbeat = self.now;
            self.tick_control();
            self.tick_spread();
        }
    }

    fn tick_leaving(&mut self) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let noticed = self.now.since(since) >= self.settings.control.leave_notice;
        let idle = self.exchanges.is_empty() && self.pending_refusals == 0;
        if noticed && idle && !self.left {
            self.left = true;
            self.out.push(Output::Left);
        }
    }

    /// Whether the node takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The replica of the configuration.
    pub fn configuration(&self) -> &ConfigurationReplica {
        &self.replica
    }

    /// The epoch held at `now`, if any.
    pub fn epoch(&self, now: Timestamp) -> Option<Epoch> {
        self.lease.epoch(now)
    }

    /// Whether this node takes another one of its zone for live.
    pub fn sees_live(&self, node: &NodeId) -> bool {
        self.members.takes_work(self.now, node)
    }

    /// Levels now.
    pub fn gauges(&self) -> Gauges {
        let age = self.replica.verified_age(self.now);
        let silent_after_us = self.settings.routing.silent_after_us;
        let ready =
            self.engines.values().filter(|it| it.takes_work(self.now.0, silent_after_us)).count();
        Gauges {
            queued: self.queue.len(),
            in_work: self.exchanges.len(),
            revision: self.replica.revision().0,
            configuration_age_ms: age.map(|age| age.as_millis() as u64),
            epoch: self.lease.epoch(self.now).map_or(0, |epoch| epoch.0),
            engines_ready: ready,
            nodes_live: self.members.live_in_zone(self.now).len(),
        }
    }

    /// Whether the node can serve: it has a configuration and takes work.
    pub fn is_ready(&self) -> bool {
        self.replica.document().is_some() && !self.is_leaving()
    }

    pub(crate) fn new_call(&mut self, purpose: Purpose) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        call
    }

    pub(crate) fn call_store(&mut self, purpose: Purpose, request: StoreRequest) {
        self.call_store_later(purpose, Duration::ZERO, request);
    }

    pub(crate) fn call_store_later(
        &mut self,
        purpose: Purpose,
        delay: Duration,
        request: StoreRequest,
    ) {
        self.counters.store_requests += 1;
        let call = self.new_call(purpose);
        let delay_ms = delay.as_millis() as u64;
        self.out.push(Output::Store { call, delay_ms, request });
    }

    /// Calls an engine of the zone. Returns `None` if it is not listed any more.
    pub(crate) fn call_engine(
        &mut self,
        purpose: Purpose,
        engine: &EngineId,
        request: EngineCall,
    ) -> Option<CallId> {
        let address = self.members.engine(engine)?.address.clone();
        let call = self.new_call(purpose);
        self.out.push(Output::Engine { call, engine: engine.clone(), address, request });
        Some(call)
    }

    fn incarnation_of(&self, node: &NodeId) -> Option<Incarnation> {
        match self.members.peer(node) {
            Some(peer) => peer.incarnation,
            None => self.remote_clocks.get(node).map(|clock| clock.incarnation),
        }
    }

    pub(crate) fn tell_peer(&mut self, to: &NodeId, message: PeerMessage) -> bool {
        self.send_to_peer(to, message, None)
    }

    /// Sends a message to another node. Returns whether the node is listed.
    pub(crate) fn send_to_peer(
        &mut self,
        to: &NodeId,
        message: PeerMessage,
        report: Option<CallId>,
    ) -> bool {
        let listed = self.members.peer_address(to).map(str::to_owned);
        let Some(address) = listed.or_else(|| self.reply_addresses.get(to).cloned()) else {
            return false;
        };
        self.counters.peer_messages += 1;
        let envelope = PeerEnvelope {
            from: self.settings.node.clone(),
            from_incarnation: self.settings.incarnation,
            to: to.clone(),
            to_incarnation: self.incarnation_of(to),
            message,
        };
        self.out.push(Output::Peer { address, envelope, report });
        true
    }
}

/// A share of a period that differs between nodes, so that their work does not coincide.
pub(crate) fn spread_of(node: &NodeId, period: Duration) -> Duration {
    let period_us = period.as_micros().max(1) as u64;
    Duration::from_micros(stable_hash(node) % period_us)
}

fn first_schedule(settings: &NodeSettings) -> Schedule {
    let control = &settings.control;
    let after = |period| Timestamp(0) + spread_of(&settings.node, period);
    Schedule {
        heartbeat: after(settings.members.heartbeat_every),
        digest: after(control.digest_every),
        pull_digest: Timestamp(0),
        verify: after(control.verify_every),
        members: Timestamp(0),
        reports: after(control.report_every),
        housekeeping: Timestamp(0),
        forward_word: Timestamp(0),
    }
}
