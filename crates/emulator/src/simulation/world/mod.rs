//! The world: an event loop over nodes, engines, platform and callers in virtual time.

mod callers;
mod engines;
mod machines;
mod nodes;
mod store;

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
                self.deliver_to_caller(caller, connection, event);
            }
            Happening::Patience { caller, connection } => self.check_patience(caller, connection),
            Happening::Apply { node, request } => self.apply(node, *request),
            Happening::Fault(action) => crate::simulation::faults::perform(self, action),
        }
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
