//! The driver: feeds the state machine from the network and does what it asks for.

use crate::keys::TenantKeys;
use crate::peers::{PeerConnections, Undelivered};
use ntex::channel::{mpsc, oneshot};
use ntex::time::{sleep, Millis};
use pitchstall_coordination::commit::CURRENT_KEY;
use pitchstall_coordination::Timestamp;
use pitchstall_platform::engines::Engines;
use pitchstall_platform::membership::Membership;
use pitchstall_platform::store::Store;
use pitchstall_protocol::caller::{CallerEvent, CompletionRequest};
use pitchstall_protocol::engine::EngineCall;
use pitchstall_protocol::ids::{ConnectionId, Incarnation, NodeId, RequestId, TenantId, ZoneId};
use pitchstall_protocol::peer::PeerEnvelope;
use pitchstall_protocol::store::StoreRequest;
use pitchstall_runtime::{
    CallId, CallerInput, Input, Node, NodeSettings, OperatorCall, OperatorReply, OperatorRequest,
    Output,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Between two ticks of the state machine.
const TICK: Millis = Millis(20);
/// Before a broken watch is set up again.
const WATCH_RETRY: Millis = Millis(1_000);

/// The adapters that a node works with.
pub struct Adapters {
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The membership list.
    pub membership: Rc<dyn Membership>,
    /// The engines.
    pub engines: Rc<dyn Engines>,
}

/// The driver of one node, for one thread.
pub struct Driver {
    node: RefCell<Node>,
    name: NodeId,
    zone: ZoneId,
    incarnation: Incarnation,
    started: Instant,
    adapters: Adapters,
    peers: PeerConnections,
    callers: RefCell<HashMap<ConnectionId, mpsc::Sender<CallerEvent>>>,
    operators: RefCell<HashMap<OperatorCall, oneshot::Sender<OperatorReply>>>,
    streams: RefCell<HashMap<CallId, oneshot::Sender<()>>>,
    watch: RefCell<Option<oneshot::Sender<()>>>,
    tenant_keys: RefCell<TenantKeys>,
    next_number: Cell<u64>,
    left: RefCell<Option<oneshot::Sender<()>>>,
}

impl Driver {
    /// A driver at work. The receiver hears when the node has left.
    pub fn start(settings: NodeSettings, adapters: Adapters) -> (Rc<Self>, oneshot::Receiver<()>) {
        let (left, has_left) = oneshot::channel();
        let driver = Rc::new(Self {
            name: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            node: RefCell::new(Node::new(settings)),
            started: Instant::now(),
            adapters,
            peers: PeerConnections::default(),
            callers: RefCell::new(HashMap::new()),
            operators: RefCell::new(HashMap::new()),
            streams: RefCell::new(HashMap::new()),
            watch: RefCell::new(None),
            tenant_keys: RefCell::new(TenantKeys::default()),
            next_number: Cell::new(1),
            left: RefCell::new(Some(left)),
        });
        ntex::rt::spawn(tick(driver.clone()));
        (driver, has_left)
    }

    /// Feeds one input and does what comes of it.
    pub fn input(self: &Rc<Self>, input: Input) {
        let now = Timestamp(self.started.elapsed().as_micros() as u64);
        let mut outputs = Vec::new();
        self.node.borrow_mut().step(now, input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
    }

    /// Looks at the state machine.
    pub fn with_node<T>(&self, look: impl FnOnce(&Node) -> T) -> T {
        look(&self.node.borrow())
    }

    /// The node's name.
    pub fn name(&self) -> &NodeId {
        &self.name
    }

    /// The node's zone.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// The tenant that a key belongs to.
    pub fn tenant_of(&self, key: &str) -> Option<TenantId> {
        let node = self.node.borrow();
        let document = node.configuration().document()?;
        let mut keys = self.tenant_keys.borrow_mut();
        keys.refresh(document.revision.0, &document.configuration);
        keys.tenant_of(key).cloned()
    }

    /// An identifier for a new request, unique over all nodes and starts.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.take_number();
        RequestId::new(format!("{}-{:x}-{number}", self.name, self.incarnation.0))
    }

    fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Submits a request; its events come out of the receiver.
    pub fn submit(
        self: &Rc<Self>,
        request: CompletionRequest,
    ) -> (ConnectionId, mpsc::Receiver<CallerEvent>) {
        let connection = ConnectionId(self.take_number());
        let (sender, receiver) = mpsc::channel();
        self.callers.borrow_mut().insert(connection, sender);
        self.input(Input::Caller(CallerInput::Submit { connection, request }));
        (connection, receiver)
    }

    /// The caller has closed its connection.
    pub fn caller_gone(self: &Rc<Self>, connection: ConnectionId) {
        if self.callers.borrow_mut().remove(&connection).is_some() {
            self.input(Input::Caller(CallerInput::Gone { connection }));
        }
    }

    /// Asks on behalf of an operator; `None` if the node is shutting down.
    pub async fn ask(self: &Rc<Self>, request: OperatorRequest) -> Option<OperatorReply> {
        let call = OperatorCall(self.take_number());
        let (sender, receiver) = oneshot::channel();
        self.operators.borrow_mut().insert(call, sender);
        self.input(Input::Operator { call, request });
        receiver.await.ok()
    }

    fn perform(self: &Rc<Self>, output: Output) {
        match output {
            Output::Caller { connection, event } => self.tell_caller(connection, event),
            Output::Engine { call, address, request, .. } => {
                self.call_engine(call, address, request);
            }
            Output::CloseStream(call) => {
                self.streams.borrow_mut().remove(&call);
            }
            Output::Store { call, delay_ms, request } => self.call_store(call, delay_ms, request),
            Output::Watch(on) => self.set_watch(on),
            Output::Peer { address, envelope, report } => {
                self.send_peer(&address, &envelope, report);
            }
            Output::PollMembers { since } => self.poll_members(since),
            Output::Operator { call, reply } => {
                if let Some(sender) = self.operators.borrow_mut().remove(&call) {
                    // The operator may have gone.
                    let _ = sender.send(reply);
                }
            }
            Output::Left => {
                if let Some(left) = self.left.borrow_mut().take() {
                    let _ = left.send(());
                }
            }
        }
    }

    fn tell_caller(self: &Rc<Self>, connection: ConnectionId, event: CallerEvent) {
        let is_last = !matches!(event, CallerEvent::Piece { .. });
        let sent = match self.callers.borrow().get(&connection) {
            Some(sender) => sender.send(event).is_ok(),
            None => return,
        };
        if is_last {
            self.callers.borrow_mut().remove(&connection);
        } else if !sent {
            // Not from inside this step: the state machine is told in a turn of its own.
            let driver = self.clone();
            ntex::rt::spawn(async move { driver.caller_gone(connection) });
        }
    }

    fn send_peer(self: &Rc<Self>, address: &str, envelope: &PeerEnvelope, report: Option<CallId>) {
        let on_undelivered = report.map(|call| {
            let driver = self.clone();
            Box::new(move || driver.input(Input::PeerUnreachable { call })) as Undelivered
        });
        self.peers.send(address, envelope, on_undelivered);
    }

    fn call_engine(self: &Rc<Self>, call: CallId, address: String, request: EngineCall) {
        let driver = self.clone();
        let sink = Rc::new(move |input| driver.input(Input::Engine { call, input }));
        let work = self.adapters.engines.call(address, request, sink);
        let (stop, stopped) = oneshot::channel::<()>();
        self.streams.borrow_mut().insert(call, stop);
        let driver = self.clone();
        ntex::rt::spawn(async move {
            ntex::util::select(work, stopped).await;
            driver.streams.borrow_mut().remove(&call);
        });
    }

    fn call_store(self: &Rc<Self>, call: CallId, delay_ms: u64, request: StoreRequest) {
        let driver = self.clone();
        ntex::rt::spawn(async move {
            if delay_ms > 0 {
                sleep(Millis(delay_ms as u32)).await;
            }
            let reply = driver.adapters.store.call(request).await;
            driver.input(Input::Store { call, reply });
        });
    }

    fn poll_members(self: &Rc<Self>, since: u64) {
        let driver = self.clone();
        ntex::rt::spawn(async move {
            if let Some(list) = driver.adapters.membership.poll(since).await {
                driver.input(Input::Members(list));
            }
        });
    }

    fn set_watch(self: &Rc<Self>, on: bool) {
        if !on {
            self.watch.borrow_mut().take();
            return;
        }
        let (stop, stopped) = oneshot::channel::<()>();
        *self.watch.borrow_mut() = Some(stop);
        let driver = self.clone();
        ntex::rt::spawn(async move {
            ntex::util::select(keep_watching(driver), stopped).await;
        });
    }
}

async fn keep_watching(driver: Rc<Driver>) {
    loop {
        let feeder = driver.clone();
        let sink = Rc::new(move |value| feeder.input(Input::Watched(value)));
        driver.adapters.store.watch(CURRENT_KEY.to_owned(), sink).await;
        sleep(WATCH_RETRY).await;
    }
}

async fn tick(driver: Rc<Driver>) {
    loop {
        driver.input(Input::Tick);
        if driver.left.borrow().is_none() {
            return;
        }
        sleep(TICK).await;
    }
}
