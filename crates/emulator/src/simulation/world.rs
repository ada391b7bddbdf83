//! The world: an event loop over nodes, engines, platform and callers in virtual time.

use crate::models::engine::{EngineAction, EngineModel, Reader};
use crate::models::membership::MembershipModel;
use crate::models::store::StoreModel;
use crate::models::weights::WeightStoreModel;
use crate::simulation::callers::{Caller, CallerStep, Wish};
use crate::simulation::history::{Event, History};
use crate::simulation::network::{Endpoint, Network, Place};
use crate::simulation::topology::{Topology, MODEL};
use pitchstall_coordination::commit::{decode_document, history_key, CURRENT_KEY};
use pitchstall_coordination::placement::stable_hash;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::CallerEvent;
use pitchstall_protocol::configuration::Document;
use pitchstall_protocol::engine::{
    AttemptKey, EngineCall, EngineEvent, EngineEventKind, EngineInput, EngineRole, EngineState,
    OrderReply,
};
use pitchstall_protocol::ids::{
    ChangeId, ConnectionId, EngineId, Incarnation, ModelName, NodeId, RequestId, Revision, ZoneId,
};
use pitchstall_protocol::membership::{EngineMember, MemberState, MembershipList, NodeMember};
use pitchstall_protocol::operator::ApplyRequest;
use pitchstall_protocol::peer::{PeerEnvelope, PeerMessage};
use pitchstall_protocol::store::{StoreError, StoreRequest, StoredValue, Write};
use pitchstall_runtime::{
    CallId, CallerInput, Input, Node, NodeSettings, OperatorCall, OperatorReply, OperatorRequest,
    Output,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

/// Something that will happen.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A node's clock ticks.
    Tick {
        /// The node.
        node: usize,
        /// Its start.
        incarnation: u64,
    },
    /// An input reaches a node.
    Node {
        /// The node.
        node: usize,
        /// Its start.
        incarnation: u64,
        /// The input.
        input: Box<Input>,
    },
    /// A call reaches an engine.
    EngineCall {
        /// The engine.
        engine: usize,
        /// The node.
        node: usize,
        /// The node's start.
        incarnation: u64,
        /// The call.
        call: CallId,
        /// What is asked.
        request: Box<EngineCall>,
    },
    /// An engine wakes.
    EngineWake {
        /// The engine.
        engine: usize,
    },
    /// A reader's connection to an engine ends.
    ReaderGone {
        /// The engine.
        engine: usize,
        /// The reader.
        reader: Reader,
    },
    /// A KV cache has come, or is not to be had.
    CacheArrives {
        /// The engine that needs it.
        engine: usize,
        /// The attempt that needs it.
        needed_by: AttemptKey,
        /// Whether it came.
        found: bool,
    },
    /// Weights have come.
    WeightsArrive {
        /// The engine.
        engine: usize,
    },
    /// A request reaches the store.
    Store {
        /// The node.
        node: usize,
        /// The node's start.
        incarnation: u64,
        /// The call.
        call: CallId,
        /// When the node stops waiting.
        give_up: Timestamp,
        /// The request.
        request: StoreRequest,
    },
    /// A caller asks for the first time, or again.
    Ask {
        /// The caller.
        caller: usize,
    },
    /// An event reaches a caller.
    Caller {
        /// The caller.
        caller: usize,
        /// The connection it came on.
        connection: (usize, u64),
        /// The event; `None`: the connection broke.
        event: Option<CallerEvent>,
    },
    /// A caller looks whether it has waited too long.
    Patience {
        /// The caller.
        caller: usize,
        /// The connection it waits on.
        connection: (usize, u64),
    },
    /// An operator submits a change.
    Apply {
        /// The node that is asked.
        node: usize,
        /// The change.
        request: Box<ApplyRequest>,
    },
    /// Something breaks or is mended.
    Fault(crate::simulation::faults::Action),
}

struct Scheduled {
    at: Timestamp,
    sequence: u64,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A place for a node: a machine of the zone.
pub struct NodeSlot {
    /// The node's name.
    pub name: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its present start; counts up.
    pub incarnation: u64,
    /// The node; `None` while it is down.
    pub node: Option<Node>,
    /// Whether the process is stopped for now.
    pub paused: bool,
    /// Whether it was told to leave.
    pub leaving: bool,
    /// Control bytes sent to other nodes.
    pub peer_bytes: u64,
    /// Control messages sent to other nodes.
    pub peer_messages: u64,
    /// Time spent in the state machine.
    pub busy: Duration,
    started: Timestamp,
    drift_ppm: i64,
    backlog: Vec<Input>,
    readers: BTreeMap<CallId, (usize, Reader)>,
    callers: BTreeMap<ConnectionId, usize>,
    watching: bool,
    applied: Revision,
}

impl NodeSlot {
    /// When its process was last started.
    pub fn started(&self) -> Timestamp {
        self.started
    }
}

/// An engine in the world.
pub struct EngineSlot {
    /// Its model.
    pub model: EngineModel,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address.
    pub address: String,
    /// Whether its process lives.
    pub alive: bool,
    /// Whether its process is stopped for now.
    pub paused: bool,
    /// Whether it was told to leave.
    pub leaving: bool,
    backlog: Vec<Happening>,
    readers: BTreeMap<Reader, ReaderSlot>,
    next_reader: u64,
    wake_at: Option<Timestamp>,
}

struct ReaderSlot {
    node: usize,
    incarnation: u64,
    call: CallId,
    last_delivery: Timestamp,
    ended: bool,
    broken: bool,
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreTrouble {
    /// No request arrives.
    pub down: bool,
    /// Requests take effect and their answers are lost, in so many of a hundred.
    pub lose_answers_percent: u32,
    /// Added to the way of each request to the store, at most.
    pub slow: Duration,
}

/// Faults of engines' streams, in so many of a thousand events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamTrouble {
    /// An event is delivered twice.
    pub doubled_permille: u32,
    /// An event of another stream is delivered too.
    pub crossed_permille: u32,
    /// The stream breaks off.
    pub broken_permille: u32,
}

/// A stretch of virtual time with everything in it.
pub struct World {
    /// Now.
    pub now: Timestamp,
    /// The nodes.
    pub nodes: Vec<NodeSlot>,
    /// The engines.
    pub engines: Vec<EngineSlot>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The store.
    pub store: StoreModel,
    /// The membership list.
    pub members: MembershipModel,
    /// The network.
    pub network: Network,
    /// What happened.
    pub history: History,
    /// Whether [`History`] takes every token, or only what the checkers of long runs need.
    pub record: bool,
    /// Trouble at the store.
    pub store_trouble: StoreTrouble,
    /// Trouble with streams.
    pub stream_trouble: StreamTrouble,
    /// Requests to the store by second of the run.
    pub store_requests: BTreeMap<u64, u64>,
    /// The random source of the run.
    pub rng: ChaCha8Rng,
    topology: Topology,
    weights: WeightStoreModel,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    next_connection: u64,
    next_operator_call: u64,
    next_request: u64,
    applying: BTreeMap<(usize, OperatorCall), ChangeId>,
    committed: Revision,
    engine_by_address: BTreeMap<String, usize>,
    node_by_name: BTreeMap<NodeId, usize>,
    recent_events: Vec<EngineEvent>,
    listed_leaving: BTreeSet<EngineId>,
}

const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// One-way delay between a caller and a node.
const CALLER_DELAY: Duration = Duration::from_millis(2);
/// How long a caller waits without hearing anything.
const CALLER_PATIENCE: Duration = Duration::from_secs(25);
const WEIGHT_BYTES_PER_SECOND: u64 = 8_000_000_000;

impl World {
    /// A world at its start: all nodes and engines are there, nothing is broken.
    pub fn new(topology: Topology, seed: u64) -> Self {
        let network = Network::new(topology.delay_in_zone, topology.delay_between_zones);
        let mut world = Self {
            now: Timestamp(0),
            nodes: Vec::new(),
            engines: Vec::new(),
            callers: Vec::new(),
            store: StoreModel::new(topology.store_rate),
            members: MembershipModel::new(topology.membership_lag),
            network,
            history: History::default(),
            record: true,
            store_trouble: StoreTrouble::default(),
            stream_trouble: StreamTrouble::default(),
            store_requests: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            weights: WeightStoreModel::new(WEIGHT_BYTES_PER_SECOND),
            queue: BinaryHeap::new(),
            sequence: 0,
            next_connection: 1,
            next_operator_call: 1,
            next_request: 1,
            applying: BTreeMap::new(),
            committed: Revision(0),
            engine_by_address: BTreeMap::new(),
            node_by_name: BTreeMap::new(),
            recent_events: Vec::new(),
            listed_leaving: BTreeSet::new(),
            topology: topology.clone(),
        };
        if let Some(configuration) = topology.configuration {
            world.put_configuration(configuration);
        }
        for spec in &topology.zones {
            for number in 0..spec.nodes {
                let name = NodeId::new(format!("{}/node-{number:02}", spec.zone));
                world.add_node(name, spec.zone.clone());
            }
            for (number, role) in spec.engines.iter().enumerate() {
                let name = EngineId::new(format!("{}/engine-{number:02}", spec.zone));
                world.add_engine(name, spec.zone.clone(), *role);
            }
        }
        world
    }

    fn put_configuration(&mut self, configuration: pitchstall_protocol::Configuration) {
        let document =
            Document { revision: Revision(1), change: ChangeId::new("first"), configuration };
        let Ok(encoded) = serde_json::to_string(&document) else {
            return;
        };
        let put =
            |key: &str| Write { key: key.to_owned(), value: Some(encoded.clone()), lease: None };
        let writes = vec![put(CURRENT_KEY), put(&history_key(Revision(1)))];
        let request = StoreRequest::Transaction { compare: Vec::new(), writes };
        let (_, changed) = self.store.handle(self.now, &request);
        self.notice_commits(&changed);
    }

    // --- machines ------------------------------------------------------------------------

    /// Adds a machine with a node.
    pub fn add_node(&mut self, name: NodeId, zone: ZoneId) -> usize {
        let place = self.nodes.len();
        self.node_by_name.insert(name.clone(), place);
        self.nodes.push(NodeSlot {
            name,
            zone,
            incarnation: 0,
            node: None,
            paused: false,
            leaving: false,
            peer_bytes: 0,
            peer_messages: 0,
            busy: Duration::ZERO,
            started: self.now,
            drift_ppm: 0,
            backlog: Vec::new(),
            readers: BTreeMap::new(),
            callers: BTreeMap::new(),
            watching: false,
            applied: Revision(0),
        });
        self.start_node(place);
        place
    }

    /// Starts the process of a node anew.
    pub fn start_node(&mut self, place: usize) {
        /// Clocks of machines run apart by at most this much, in millionths.
        const DRIFT_PPM: i64 = 500;
        let drift_ppm = self.rng.random_range(-DRIFT_PPM..=DRIFT_PPM);
        let slot = &mut self.nodes[place];
        slot.incarnation += 1;
        let incarnation = slot.incarnation;
        let address = slot.name.to_string();
        let mut settings = NodeSettings::new(
            slot.name.clone(),
            Incarnation(incarnation),
            slot.zone.clone(),
            address,
        );
        (self.topology.tune)(&mut settings);
        slot.node = Some(Node::new(settings));
        slot.paused = false;
        slot.leaving = false;
        slot.started = self.now;
        slot.drift_ppm = drift_ppm;
        slot.applied = Revision(0);
        slot.watching = false;
        let member = NodeMember {
            node: slot.name.clone(),
            zone: slot.zone.clone(),
            peer_address: slot.name.to_string(),
            state: MemberState::Live,
        };
        self.members.add_node(self.now, member);
        let tick_us = self.topology.tick.as_micros() as u64;
        let first = Duration::from_micros(self.rng.random_range(0..tick_us.max(1)));
        self.schedule(first, Happening::Tick { node: place, incarnation });
    }

    /// Kills the process of a node: all its connections break.
    pub fn kill_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if slot.node.take().is_none() {
            return;
        }
        slot.backlog.clear();
        slot.paused = false;
        let readers: Vec<(usize, Reader)> =
            std::mem::take(&mut slot.readers).into_values().collect();
        let callers = std::mem::take(&mut slot.callers);
        for (engine, reader) in readers {
            self.schedule(Duration::from_micros(500), Happening::ReaderGone { engine, reader });
        }
        for (connection, caller) in callers {
            let connection = (place, connection.0);
            self.schedule(CALLER_DELAY, Happening::Caller { caller, connection, event: None });
        }
        let lost: Vec<(usize, OperatorCall)> =
            self.applying.keys().filter(|(node, _)| *node == place).copied().collect();
        for key in lost {
            if let Some(change) = self.applying.remove(&key) {
                self.history.note(self.now, Event::ApplyEnds { change, outcome: None });
            }
        }
    }

    /// Tells a node to finish its work and leave.
    pub fn leave_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if slot.node.is_none() || slot.leaving {
            return;
        }
        slot.leaving = true;
        let (name, incarnation) = (slot.name.clone(), slot.incarnation);
        self.history.note(self.now, Event::NodeLeaves { node: name.clone() });
        self.members.node_leaves(self.now, &name);
        let input = Box::new(Input::Leave);
        self.schedule(Duration::ZERO, Happening::Node { node: place, incarnation, input });
    }

    /// Adds an engine.
    pub fn add_engine(&mut self, name: EngineId, zone: ZoneId, role: EngineRole) -> usize {
        let place = self.engines.len();
        let address = name.to_string();
        let model = EngineModel::new(
            name.clone(),
            zone.clone(),
            self.topology.profile.clone(),
            role,
            ModelName::new(MODEL),
        );
        self.engine_by_address.insert(address.clone(), place);
        let member = EngineMember {
            engine: name,
            zone: zone.clone(),
            address: address.clone(),
            state: MemberState::Live,
        };
        self.members.add_engine(self.now, member);
        self.engines.push(EngineSlot {
            model,
            zone,
            address,
            alive: true,
            paused: false,
            leaving: false,
            backlog: Vec::new(),
            readers: BTreeMap::new(),
            next_reader: 1,
            wake_at: None,
        });
        place
    }

    /// Kills the process of an engine: its streams break, and it is listed no more.
    pub fn kill_engine(&mut self, place: usize) {
        let slot = &mut self.engines[place];
        if !slot.alive {
            return;
        }
        slot.alive = false;
        slot.backlog.clear();
        let name = slot.model.engine().clone();
        let readers: Vec<ReaderSlot> = std::mem::take(&mut slot.readers).into_values().collect();
        self.members.remove_engine(self.now, &name);
        for reader in readers.into_iter().filter(|it| !it.ended) {
            let input = Input::Engine { call: reader.call, input: EngineInput::Broken };
            self.to_node(Duration::from_micros(500), reader.node, reader.incarnation, input);
        }
    }

    /// Tells an engine to take no new work.
    pub fn leave_engine(&mut self, place: usize, by_list: bool) {
        let slot = &mut self.engines[place];
        if !slot.alive || slot.leaving {
            return;
        }
        slot.leaving = true;
        let name = slot.model.engine().clone();
        if by_list {
            self.members.engine_leaves(self.now, &name);
        } else {
            slot.model.leave();
            self.history.note(self.now, Event::EngineLeaves { engine: name });
        }
    }

    /// Breaks all streams of an engine off.
    pub fn cut_streams(&mut self, place: usize) {
        let readers: Vec<Reader> = self.engines[place].readers.keys().copied().collect();
        for reader in readers {
            self.break_stream(place, reader);
        }
    }

    fn break_stream(&mut self, place: usize, reader: Reader) {
        let Some(slot) = self.engines[place].readers.get_mut(&reader) else {
            return;
        };
        if slot.ended || slot.broken {
            return;
        }
        slot.broken = true;
        let (node, incarnation, call) = (slot.node, slot.incarnation, slot.call);
        let input = Input::Engine { call, input: EngineInput::Broken };
        self.to_node(Duration::from_micros(300), node, incarnation, input);
        self.schedule(Duration::from_micros(300), Happening::ReaderGone { engine: place, reader });
    }

    /// Lets a stopped process go on: first it sees all that has waited for it.
    pub fn wake_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if !slot.paused {
            return;
        }
        slot.paused = false;
        let backlog = std::mem::take(&mut slot.backlog);
        for input in backlog {
            self.feed(place, input);
        }
    }

    /// Lets a stopped engine go on.
    pub fn wake_engine(&mut self, place: usize) {
        let slot = &mut self.engines[place];
        if !slot.paused {
            return;
        }
        slot.paused = false;
        let backlog = std::mem::take(&mut slot.backlog);
        for happening in backlog {
            self.happen(happening);
        }
        self.advance_engine(place);
    }

    // --- callers and operators ---------------------------------------------------------

    /// Adds a caller with a wish.
    pub fn add_wish(&mut self, wish: Wish) -> usize {
        let caller = self.callers.len();
        let wait = wish.at.since(self.now);
        self.callers.push(Caller::new(wish));
        self.schedule(wait, Happening::Ask { caller });
        caller
    }

    /// Lets an operator submit a change at a time from now.
    pub fn add_apply(&mut self, wait: Duration, node: usize, request: ApplyRequest) {
        self.schedule(wait, Happening::Apply { node, request: Box::new(request) });
    }

    /// Lets something break or be mended at a time from now.
    pub fn add_fault(&mut self, wait: Duration, action: crate::simulation::faults::Action) {
        self.schedule(wait, Happening::Fault(action));
    }

    // --- the event loop -------------------------------------------------------------------

    fn schedule(&mut self, wait: Duration, happening: Happening) {
        self.sequence += 1;
        let scheduled = Scheduled { at: self.now + wait, sequence: self.sequence, happening };
        self.queue.push(Reverse(scheduled));
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.happen(next.happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { node, incarnation } => self.tick(node, incarnation),
            Happening::Node { node, incarnation, input } => {
                if self.nodes[node].incarnation == incarnation {
                    self.feed(node, *input);
                }
            }
            Happening::EngineCall { engine, .. }
            | Happening::CacheArrives { engine, .. }
            | Happening::WeightsArrive { engine }
            | Happening::ReaderGone { engine, .. }
                if self.engines[engine].paused =>
            {
                self.engines[engine].backlog.push(happening);
            }
            Happening::EngineCall { engine, node, incarnation, call, request } => {
                self.engine_call(engine, node, incarnation, call, *request);
            }
            Happening::EngineWake { engine } => {
                if self.engines[engine].wake_at == Some(self.now) {
                    self.engines[engine].wake_at = None;
                    self.advance_engine(engine);
                }
            }
            Happening::ReaderGone { engine, reader } => self.reader_gone(engine, reader),
            Happening::CacheArrives { engine, needed_by, found } => {
                let now = self.now;
                let actions = self.engines[engine].model.cache_arrived(now, &needed_by, found);
                self.perform_engine(engine, actions);
            }
            Happening::WeightsArrive { engine } => {
                let now = self.now;
                self.engines[engine].model.weights_arrived(now);
                self.perform_engine(engine, Vec::new());
            }
            Happening::Store { node, incarnation, call, give_up, request } => {
                self.store_request(node, incarnation, call, give_up, &request);
            }
            Happening::Ask { caller } => self.ask(caller),
            Happening::Caller { caller, connection, event } => {
                self.to_caller(caller, connection, event);
            }
            Happening::Patience { caller, connection } => self.check_patience(caller, connection),
            Happening::Apply { node, request } => self.apply(node, *request),
            Happening::Fault(action) => crate::simulation::faults::perform(self, action),
        }
    }

    // --- nodes --------------------------------------------------------------------------------

    fn tick(&mut self, place: usize, incarnation: u64) {
        let slot = &self.nodes[place];
        if slot.incarnation != incarnation || slot.node.is_none() {
            return;
        }
        if !slot.paused {
            self.feed(place, Input::Tick);
        }
        let tick = self.topology.tick;
        self.schedule(tick, Happening::Tick { node: place, incarnation });
    }

    fn to_node(&mut self, wait: Duration, node: usize, incarnation: u64, input: Input) {
        let input = Box::new(input);
        self.schedule(wait, Happening::Node { node, incarnation, input });
    }

    fn node_place(&self, node: usize) -> Place {
        let zone = Some(self.nodes[node].zone.clone());
        Place { endpoint: Endpoint::Node(node), zone }
    }

    fn engine_place(&self, engine: usize) -> Place {
        let zone = Some(self.engines[engine].zone.clone());
        Place { endpoint: Endpoint::Engine(engine), zone }
    }

    /// Feeds an input to a node and does what comes of it.
    pub fn feed(&mut self, place: usize, input: Input) {
        let slot = &mut self.nodes[place];
        if slot.paused {
            slot.backlog.push(input);
            return;
        }
        let Some(node) = &mut slot.node else {
            return;
        };
        let elapsed_us = self.now.0 - slot.started.0;
        let drift_us = (elapsed_us as i64 * slot.drift_ppm) / 1_000_000;
        let local = Timestamp(elapsed_us.saturating_add_signed(drift_us));
        let mut outputs = Vec::new();
        let began = std::time::Instant::now();
        node.step(local, input, &mut outputs);
        slot.busy += began.elapsed();
        let revision = node.configuration().revision();
        if revision != slot.applied {
            slot.applied = revision;
            let name = slot.name.clone();
            self.history.note(self.now, Event::Applied { node: name, revision });
        }
        for output in outputs {
            self.perform_node(place, output);
        }
    }

    fn perform_node(&mut self, place: usize, output: Output) {
        let incarnation = self.nodes[place].incarnation;
        match output {
            Output::Caller { connection, event } => {
                let Some(caller) = self.nodes[place].callers.get(&connection).copied() else {
                    return;
                };
                if !matches!(event, CallerEvent::Piece { .. }) {
                    self.nodes[place].callers.remove(&connection);
                }
                let connection = (place, connection.0);
                let event = Some(event);
                self.schedule(CALLER_DELAY, Happening::Caller { caller, connection, event });
            }
            Output::Engine { call, address, request, .. } => {
                self.call_engine(place, incarnation, call, &address, request);
            }
            Output::CloseStream(call) => {
                if let Some((engine, reader)) = self.nodes[place].readers.remove(&call) {
                    let wait = self.topology.delay_in_zone;
                    self.schedule(wait, Happening::ReaderGone { engine, reader });
                }
            }
            Output::Store { call, delay_ms, request } => {
                self.call_store(place, incarnation, call, delay_ms, request);
            }
            Output::Watch(on) => self.nodes[place].watching = on,
            Output::Peer { envelope, report, .. } => self.send_peer(place, envelope, report),
            Output::PollMembers { since } => self.poll_members(place, incarnation, since),
            Output::Operator { call, reply } => {
                if let Some(change) = self.applying.remove(&(place, call)) {
                    if let OperatorReply::Apply(outcome) = reply {
                        let outcome = Some(outcome);
                        self.history.note(self.now, Event::ApplyEnds { change, outcome });
                    }
                }
            }
            Output::Left => {
                let name = self.nodes[place].name.clone();
                self.members.remove_node(self.now, &name);
                self.history.note(self.now, Event::NodeLeft { node: name });
                self.kill_node(place);
            }
        }
    }

    fn send_peer(&mut self, place: usize, envelope: PeerEnvelope, report: Option<CallId>) {
        let bytes = serde_json::to_vec(&envelope).map_or(0, |line| line.len() as u64 + 1);
        let is_data =
            matches!(envelope.message, PeerMessage::Forward { .. } | PeerMessage::Forwarded { .. });
        if !is_data {
            self.nodes[place].peer_bytes += bytes;
            self.nodes[place].peer_messages += 1;
        }
        let Some(to) = self.node_by_name.get(&envelope.to).copied() else {
            return;
        };
        if let PeerMessage::Forward { request, .. } = &envelope.message {
            let event = Event::Moved {
                node: self.nodes[place].name.clone(),
                service: request.service.clone(),
                to: self.nodes[to].zone.clone(),
            };
            self.history.note(self.now, event);
        }
        let (from, target) = (self.node_place(place), self.node_place(to));
        if !self.network.passes(&from, &target) {
            return;
        }
        let wait = self.network.delay(&from, &target);
        if self.nodes[to].node.is_none() {
            let own = self.nodes[place].incarnation;
            if let Some(call) = report {
                self.to_node(wait * 2, place, own, Input::PeerUnreachable { call });
            }
            return;
        }
        let incarnation = self.nodes[to].incarnation;
        self.to_node(wait, to, incarnation, Input::Peer(envelope));
    }

    fn poll_members(&mut self, place: usize, incarnation: u64, since: u64) {
        let from = self.node_place(place);
        let list = Place { endpoint: Endpoint::Members, zone: None };
        if !self.network.passes(&from, &list) {
            return;
        }
        let wait = self.network.delay(&from, &list) * 2;
        if let Some(members) = self.members.poll(self.now, since).cloned() {
            self.note_listed_leaving(place, &members);
            self.to_node(wait, place, incarnation, Input::Members(members));
        }
    }

    /// An engine counts as named by the list once a node of its zone has seen that.
    fn note_listed_leaving(&mut self, place: usize, list: &MembershipList) {
        let zone = self.nodes[place].zone.clone();
        let leaving = list.engines.iter().filter(|it| it.state == MemberState::Leaving);
        for member in leaving.filter(|it| it.zone == zone) {
            if self.listed_leaving.insert(member.engine.clone()) {
                let engine = member.engine.clone();
                self.history.note(self.now, Event::EngineLeaves { engine });
            }
        }
    }

    // --- the store --------------------------------------------------------------------------------

    fn call_store(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        delay_ms: u64,
        request: StoreRequest,
    ) {
        let wait = Duration::from_millis(delay_ms);
        let give_up = self.now + wait + STORE_TIMEOUT;
        let from = self.node_place(node);
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let down = self.store_trouble.down || !self.network.passes(&from, &store);
        if down {
            // Half of the requests cannot connect, half are sent and never answered.
            let connects = self.rng.random_bool(0.5);
            let (after, error) = if connects {
                (STORE_TIMEOUT, StoreError::OutcomeUnknown)
            } else {
                (Duration::from_millis(1), StoreError::Unreachable)
            };
            let input = Input::Store { call, reply: Err(error) };
            self.to_node(wait + after, node, incarnation, input);
            return;
        }
        let slow_us = self.store_trouble.slow.as_micros() as u64;
        let added = Duration::from_micros(self.rng.random_range(0..=slow_us));
        let way = wait + self.network.delay(&from, &store) + added;
        self.schedule(way, Happening::Store { node, incarnation, call, give_up, request });
    }

    fn store_request(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        give_up: Timestamp,
        request: &StoreRequest,
    ) {
        *self.store_requests.entry(self.now.0 / 1_000_000).or_default() += 1;
        let (reply, changed) = self.store.handle(self.now, request);
        self.notice_commits(&changed);
        let from = self.node_place(node);
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let back = self.now + self.network.delay(&store, &from);
        let lost = self.rng.random_range(0..100) < self.store_trouble.lose_answers_percent
            || !self.network.passes(&store, &from)
            || back > give_up;
        let (at, reply) =
            if lost { (give_up, Err(StoreError::OutcomeUnknown)) } else { (back, reply) };
        let wait = at.since(self.now);
        self.to_node(wait, node, incarnation, Input::Store { call, reply });
        self.notify_watchers(&changed);
    }

    fn notice_commits(&mut self, changed: &[StoredValue]) {
        let Some(value) = changed.iter().find(|value| value.key == CURRENT_KEY) else {
            return;
        };
        if let Some(document) = decode_document(&value.value) {
            self.committed = document.revision;
            let event = Event::Committed {
                revision: document.revision,
                change: document.change,
                configuration: Rc::new(document.configuration),
            };
            self.history.note(self.now, event);
        }
    }

    fn notify_watchers(&mut self, changed: &[StoredValue]) {
        let Some(value) = changed.iter().find(|value| value.key == CURRENT_KEY).cloned() else {
            return;
        };
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let watchers: Vec<usize> =
            (0..self.nodes.len()).filter(|place| self.nodes[*place].watching).collect();
        for node in watchers {
            let to = self.node_place(node);
            if self.network.passes(&store, &to) {
                let wait = self.network.delay(&store, &to);
                let incarnation = self.nodes[node].incarnation;
                self.to_node(wait, node, incarnation, Input::Watched(value.clone()));
            }
        }
    }

    // --- engines -------------------------------------------------------------------------------------

    fn call_engine(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        address: &str,
        request: EngineCall,
    ) {
        let refused = Input::Engine { call, input: EngineInput::Unreachable };
        let Some(engine) = self.engine_by_address.get(address).copied() else {
            self.to_node(Duration::from_millis(1), node, incarnation, refused);
            return;
        };
        if let EngineCall::Generate(generate) = &request {
            let key = AttemptKey { request: generate.request.clone(), attempt: generate.attempt };
            let name = self.engines[engine].model.engine().clone();
            self.history.note(self.now, Event::Attempted { engine: name, key });
        }
        let (from, to) = (self.node_place(node), self.engine_place(engine));
        if !self.engines[engine].alive {
            self.to_node(Duration::from_millis(1), node, incarnation, refused);
            return;
        }
        if !self.network.passes(&from, &to) {
            let timeout = answer_timeout(&request);
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.to_node(timeout, node, incarnation, input);
            return;
        }
        let wait = self.network.delay(&from, &to);
        let request = Box::new(request);
        self.schedule(wait, Happening::EngineCall { engine, node, incarnation, call, request });
    }

    fn engine_call(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: EngineCall,
    ) {
        if !self.engines[engine].alive {
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.to_node(Duration::from_millis(1), node, incarnation, input);
            return;
        }
        let now = self.now;
        match request {
            EngineCall::Generate(generate) => {
                let reader = self.open_reader(engine, node, incarnation, call);
                let actions = self.engines[engine].model.generate(now, reader, &generate);
                self.perform_engine(engine, actions);
            }
            EngineCall::Resume(resume) => {
                let reader = self.open_reader(engine, node, incarnation, call);
                let actions = self.engines[engine].model.resume(now, reader, &resume);
                self.perform_engine(engine, actions);
            }
            EngineCall::Cancel(key) => self.engines[engine].model.cancel(&key),
            EngineCall::Report => {
                let report = self.engines[engine].model.report(now);
                let input = Input::Engine { call, input: EngineInput::Report(report) };
                self.answer_from_engine(engine, node, incarnation, input);
            }
            EngineCall::Order(order) => {
                let (reply, actions) = self.engines[engine].model.on_order(now, &order);
                let event = Event::Ordered {
                    engine: self.engines[engine].model.engine().clone(),
                    node: self.nodes[node].name.clone(),
                    token: order.token,
                    kind: order.kind,
                    reply: reply.clone(),
                };
                self.history.note(now, event);
                if changes_state(&reply) {
                    let name = self.engines[engine].model.engine().clone();
                    self.history.note(now, Event::EngineChanged { engine: name });
                }
                let input = Input::Engine { call, input: EngineInput::Order(reply) };
                self.answer_from_engine(engine, node, incarnation, input);
                self.perform_engine(engine, actions);
            }
        }
    }

    fn answer_from_engine(&mut self, engine: usize, node: usize, incarnation: u64, input: Input) {
        let (from, to) = (self.engine_place(engine), self.node_place(node));
        if self.network.passes(&from, &to) {
            let wait = self.network.delay(&from, &to);
            self.to_node(wait, node, incarnation, input);
        } else if let Input::Engine { call, .. } = input {
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.to_node(ANSWER_TIMEOUT, node, incarnation, input);
        }
    }

    fn open_reader(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        call: CallId,
    ) -> Reader {
        let now = self.now;
        let slot = &mut self.engines[engine];
        let reader = Reader(slot.next_reader);
        slot.next_reader += 1;
        let reader_slot =
            ReaderSlot { node, incarnation, call, last_delivery: now, ended: false, broken: false };
        slot.readers.insert(reader, reader_slot);
        let owner = &mut self.nodes[node];
        if owner.incarnation == incarnation && owner.node.is_some() {
            owner.readers.insert(call, (engine, reader));
        } else {
            let wait = self.topology.delay_in_zone;
            self.schedule(wait, Happening::ReaderGone { engine, reader });
        }
        reader
    }

    fn reader_gone(&mut self, engine: usize, reader: Reader) {
        let now = self.now;
        let slot = &mut self.engines[engine];
        if slot.readers.remove(&reader).is_some() && slot.alive {
            slot.model.reader_gone(now, reader);
            self.schedule_engine(engine);
        }
    }

    fn advance_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        if !slot.alive || slot.paused {
            return;
        }
        let actions = slot.model.advance(self.now);
        self.perform_engine(engine, actions);
    }

    fn perform_engine(&mut self, engine: usize, actions: Vec<EngineAction>) {
        let started = self.engines[engine].model.take_started_runs();
        for key in started {
            let name = self.engines[engine].model.engine().clone();
            self.history.note(self.now, Event::Started { engine: name, key });
        }
        for action in actions {
            match action {
                EngineAction::Send(reader, event) => self.send_event(engine, reader, event),
                EngineAction::End(reader) => self.end_reader(engine, reader),
                EngineAction::FetchCache { needed_by, address, key, .. } => {
                    self.fetch_cache(engine, needed_by, &address, &key);
                }
                EngineAction::LoadWeights { bytes } => {
                    let done = self.weights.load(self.now, bytes);
                    self.schedule(done.since(self.now), Happening::WeightsArrive { engine });
                }
            }
        }
        self.schedule_engine(engine);
    }

    fn schedule_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let Some(wake) = slot.model.next_wake().map(|wake| wake.max(self.now)) else {
            return;
        };
        if slot.wake_at.is_some_and(|scheduled| scheduled <= wake) {
            return;
        }
        slot.wake_at = Some(wake);
        self.schedule(wake.since(self.now), Happening::EngineWake { engine });
    }

    fn send_event(&mut self, engine: usize, reader: Reader, event: EngineEvent) {
        let trouble = self.stream_trouble;
        let mut roll = |permille: u32| permille > 0 && self.rng.random_range(0..1_000) < permille;
        let breaks = roll(trouble.broken_permille);
        let doubles = roll(trouble.doubled_permille);
        let crosses = roll(trouble.crossed_permille);
        if breaks {
            self.break_stream(engine, reader);
        }
        let Some(slot) = self.engines[engine].readers.get(&reader) else {
            return;
        };
        let (from, to) = (self.engine_place(engine), self.node_place(slot.node));
        if slot.broken {
            return;
        }
        if !self.network.passes(&from, &to) {
            // The rest of the stream is lost with this event; the node hears nothing.
            if let Some(slot) = self.engines[engine].readers.get_mut(&reader) {
                slot.broken = true;
            }
            return;
        }
        let delay = self.network.delay(&from, &to);
        let crossed = crosses.then(|| self.pick_recent_event()).flatten();
        if trouble != StreamTrouble::default() {
            self.remember_event(&event);
        }
        let copies = if doubles { 2 } else { 1 };
        for event in crossed.into_iter().chain(std::iter::repeat_n(event, copies)) {
            self.deliver_event(engine, reader, delay, event);
        }
    }

    fn deliver_event(
        &mut self,
        engine: usize,
        reader: Reader,
        delay: Duration,
        event: EngineEvent,
    ) {
        let earliest = self.now + delay;
        let Some(slot) = self.engines[engine].readers.get_mut(&reader) else {
            return;
        };
        // A stream keeps its order.
        let at = earliest.max(slot.last_delivery);
        slot.last_delivery = at;
        slot.ended |= !matches!(event.kind, EngineEventKind::Tokens { .. });
        let (node, incarnation, call) = (slot.node, slot.incarnation, slot.call);
        let input = Input::Engine { call, input: EngineInput::Event(event) };
        self.to_node(at.since(self.now), node, incarnation, input);
    }

    fn remember_event(&mut self, event: &EngineEvent) {
        const REMEMBERED: usize = 16;
        if self.recent_events.len() >= REMEMBERED {
            self.recent_events.remove(0);
        }
        self.recent_events.push(event.clone());
    }

    fn pick_recent_event(&mut self) -> Option<EngineEvent> {
        if self.recent_events.is_empty() {
            return None;
        }
        let place = self.rng.random_range(0..self.recent_events.len());
        Some(self.recent_events[place].clone())
    }

    fn end_reader(&mut self, engine: usize, reader: Reader) {
        let Some(slot) = self.engines[engine].readers.remove(&reader) else {
            return;
        };
        if !slot.ended && !slot.broken {
            // Another reader took the attempt over.
            let input = Input::Engine { call: slot.call, input: EngineInput::Broken };
            self.to_node(self.topology.delay_in_zone, slot.node, slot.incarnation, input);
        }
        self.nodes[slot.node].readers.remove(&slot.call);
    }

    fn fetch_cache(
        &mut self,
        engine: usize,
        needed_by: AttemptKey,
        address: &str,
        key: &AttemptKey,
    ) {
        let source = self.engine_by_address.get(address).copied();
        let tokens = source
            .filter(|source| self.engines[*source].alive && !self.engines[*source].paused)
            .filter(|source| {
                let (from, to) = (self.engine_place(*source), self.engine_place(engine));
                self.network.passes(&from, &to)
            })
            .and_then(|source| self.engines[source].model.export(key));
        let wait = match tokens {
            Some(tokens) => self.engines[engine].model.transfer_time(tokens),
            None => Duration::from_millis(1),
        };
        let found = tokens.is_some();
        self.schedule(wait, Happening::CacheArrives { engine, needed_by, found });
    }

    /// Engines of a zone in a state.
    pub fn engines_in(&self, state: EngineState) -> usize {
        let live = self.engines.iter().filter(|slot| slot.alive);
        live.filter(|slot| slot.model.standing().state == state).count()
    }

    // --- callers ----------------------------------------------------------------------------------

    fn ask(&mut self, caller: usize) {
        let Some(node) = self.pick_node(caller) else {
            // No node of the zone can be reached.
            self.follow_broken(caller);
            return;
        };
        let number = self.next_request;
        self.next_request += 1;
        let incarnation = self.nodes[node].incarnation;
        let id = RequestId::new(format!("{}.{incarnation}-{number}", self.nodes[node].name));
        let request = self.callers[caller].submission(self.now, id);
        let connection = (node, self.next_connection);
        self.next_connection += 1;
        self.callers[caller].connection = Some(connection);
        self.nodes[node].callers.insert(ConnectionId(connection.1), caller);
        let event = Event::Submitted {
            wish: caller,
            request: request.request.clone(),
            key: request.idempotency_key.clone(),
            service: request.service.clone(),
        };
        self.history.note(self.now, event);
        let input =
            Input::Caller(CallerInput::Submit { connection: ConnectionId(connection.1), request });
        self.to_node(CALLER_DELAY, node, incarnation, input);
        self.schedule(CALLER_PATIENCE, Happening::Patience { caller, connection });
    }

    /// A node of the caller's zone whose process takes connections.
    fn pick_node(&mut self, caller: usize) -> Option<usize> {
        let zone = &self.callers[caller].wish.zone;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].zone == *zone && self.nodes[*node].node.is_some())
            .collect();
        if up.is_empty() {
            return None;
        }
        let place = self.rng.random_range(0..up.len());
        Some(up[place])
    }

    fn to_caller(&mut self, caller: usize, connection: (usize, u64), event: Option<CallerEvent>) {
        if self.callers[caller].connection != Some(connection) {
            return;
        }
        let now = self.now;
        let Some(event) = event else {
            self.follow_broken(caller);
            return;
        };
        let step = self.callers[caller].on_event(now, &event);
        self.note_caller_event(caller, event);
        self.follow(caller, step);
    }

    fn note_caller_event(&mut self, wish: usize, event: CallerEvent) {
        let caller = &self.callers[wish];
        let request = caller.request.clone().unwrap_or_default();
        match event {
            CallerEvent::Piece { point, text } => {
                if self.record {
                    self.history.note(self.now, Event::Piece { wish, point, text });
                }
            }
            CallerEvent::Finished { .. } => {
                let text = caller.text.clone();
                let expected = caller.expected.whole();
                self.history.note(self.now, Event::Finished { wish, request, text, expected });
            }
            CallerEvent::Failed { error } => {
                self.history.note(self.now, Event::Failed { wish, request, error });
            }
        }
    }

    fn follow_broken(&mut self, caller: usize) {
        let now = self.now;
        let step = self.callers[caller].on_broken(now);
        if step == CallerStep::Done {
            self.history.note(now, Event::GaveUp { wish: caller });
        }
        self.follow(caller, step);
    }

    fn follow(&mut self, caller: usize, step: CallerStep) {
        if let CallerStep::AskAgain(wait) = step {
            self.schedule(wait, Happening::Ask { caller });
        }
    }

    fn check_patience(&mut self, caller: usize, connection: (usize, u64)) {
        if self.callers[caller].connection != Some(connection) {
            return;
        }
        let silent = self.now.since(self.callers[caller].heard);
        if silent < CALLER_PATIENCE {
            let wait = CALLER_PATIENCE.saturating_sub(silent);
            self.schedule(wait, Happening::Patience { caller, connection });
            return;
        }
        // The caller closes the connection and goes elsewhere.
        let (node, number) = connection;
        self.nodes[node].callers.remove(&ConnectionId(number));
        let incarnation = self.nodes[node].incarnation;
        let input = Input::Caller(CallerInput::Gone { connection: ConnectionId(number) });
        self.to_node(CALLER_DELAY, node, incarnation, input);
        self.follow_broken(caller);
    }

    // --- operators ------------------------------------------------------------------------------------

    fn apply(&mut self, node: usize, request: ApplyRequest) {
        let call = OperatorCall(self.next_operator_call);
        self.next_operator_call += 1;
        let begins = Event::ApplyBegins {
            change: request.change.clone(),
            expected: request.expected_revision,
        };
        self.history.note(self.now, begins);
        if self.nodes[node].node.is_none() {
            let change = request.change;
            self.history.note(self.now, Event::ApplyEnds { change, outcome: None });
            return;
        }
        self.applying.insert((node, call), request.change.clone());
        let request = OperatorRequest::Apply(Box::new(request));
        self.feed(node, Input::Operator { call, request });
    }

    /// The revision that stands at the store.
    pub fn committed(&self) -> Revision {
        self.committed
    }

    /// Names of nodes whose processes live, with the revision that each applies.
    pub fn applied_revisions(&self) -> Vec<(NodeId, Revision)> {
        let live = self.nodes.iter().filter(|slot| slot.node.is_some());
        live.map(|slot| (slot.name.clone(), slot.applied)).collect()
    }

    /// A digest of the run so far: the same seed must give the same one.
    pub fn digest(&self) -> u64 {
        let events = self.history.events.iter().map(|(at, event)| (at.0, format!("{event:?}")));
        stable_hash(&events.collect::<Vec<_>>())
    }

    /// Callers whose wish is open.
    pub fn open_wishes(&self) -> BTreeSet<usize> {
        let open = |caller: &Caller| caller.ended.is_none();
        (0..self.callers.len()).filter(|place| open(&self.callers[*place])).collect()
    }
}

fn answer_timeout(request: &EngineCall) -> Duration {
    match request {
        EngineCall::Generate(_) | EngineCall::Resume(_) => STREAM_HEAD_TIMEOUT,
        EngineCall::Cancel(_) | EngineCall::Report | EngineCall::Order(_) => ANSWER_TIMEOUT,
    }
}

fn changes_state(reply: &OrderReply) -> bool {
    matches!(reply, OrderReply::Accepted { standing } if standing.state == EngineState::Changing)
}
