//! What goes into a node and what comes out of it.

use pitchstall_protocol::caller::{CallerEvent, CompletionRequest};
use pitchstall_protocol::configuration::Document;
pub use pitchstall_protocol::engine::{EngineCall, EngineInput};
use pitchstall_protocol::error::ErrorBody;
use pitchstall_protocol::ids::{ConnectionId, EngineId, Revision};
use pitchstall_protocol::membership::MembershipList;
use pitchstall_protocol::operator::{
    ApplyOutcome, ApplyRequest, EngineChangeOutcome, EngineChangeRequest, FleetStatus, SpreadStatus,
};
use pitchstall_protocol::peer::PeerEnvelope;
use pitchstall_protocol::store::{StoreError, StoreReply, StoreRequest, StoredValue};

/// Ties an answer to the call that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Ties an operator's answer to the operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCall(pub u64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// From a caller.
    Caller(CallerInput),
    /// From an engine.
    Engine {
        /// The call it belongs to.
        call: CallId,
        /// What came.
        input: EngineInput,
    },
    /// The store's answer, or that there will be none.
    Store {
        /// The call it belongs to.
        call: CallId,
        /// The answer.
        reply: Result<StoreReply, StoreError>,
    },
    /// The watch on the configuration saw a value.
    Watched(StoredValue),
    /// From another node.
    Peer(PeerEnvelope),
    /// A message to another node was surely not delivered: no connection could be made.
    PeerUnreachable {
        /// The message.
        call: CallId,
    },
    /// The platform's membership list has changed.
    Members(MembershipList),
    /// From an operator.
    Operator {
        /// The call to answer.
        call: OperatorCall,
        /// The request.
        request: OperatorRequest,
    },
    /// The process was asked to stop.
    Leave,
}

/// From a caller.
#[derive(Clone, Debug)]
pub enum CallerInput {
    /// A request on a new connection.
    Submit {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: CompletionRequest,
    },
    /// The caller closed the connection.
    Gone {
        /// The connection.
        connection: ConnectionId,
    },
}

/// From an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Submit a configuration.
    Apply(Box<ApplyRequest>),
    /// The configuration in force at this node.
    Configuration,
    /// A past revision.
    History(Revision),
    /// How far the configuration has spread.
    Spread,
    /// What the node knows of the fleet.
    Fleet,
    /// Change an engine by hand.
    ChangeEngine(EngineChangeRequest),
}

/// To an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// To `Apply`.
    Apply(ApplyOutcome),
    /// To `Configuration` and `History`; `None`: there is none.
    Document(Option<Box<Document>>),
    /// To `Spread`.
    Spread(SpreadStatus),
    /// To `Fleet`.
    Fleet(Box<FleetStatus>),
    /// To `ChangeEngine`.
    ChangeEngine(EngineChangeOutcome),
    /// The request failed.
    Failed(ErrorBody),
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tell a caller.
    Caller {
        /// Its connection.
        connection: ConnectionId,
        /// What to tell.
        event: CallerEvent,
    },
    /// Call an engine.
    Engine {
        /// The call.
        call: CallId,
        /// The engine.
        engine: EngineId,
        /// Its address, `IP:port`.
        address: String,
        /// What to call.
        request: EngineCall,
    },
    /// Stop reading a stream; nothing of it is wanted any more.
    CloseStream(CallId),
    /// Call the store.
    Store {
        /// The call.
        call: CallId,
        /// Milliseconds to wait before it is sent.
        delay_ms: u64,
        /// What to call.
        request: StoreRequest,
    },
    /// Watch the configuration at the store, or stop watching it.
    Watch(bool),
    /// Tell another node.
    Peer {
        /// Its address, `IP:port`.
        address: String,
        /// What to tell.
        envelope: PeerEnvelope,
        /// Set if the node wants to hear that the message was surely not delivered.
        report: Option<CallId>,
    },
    /// Ask for the membership list if it is newer than this version.
    PollMembers {
        /// The version known.
        since: u64,
    },
    /// Answer an operator.
    Operator {
        /// The call.
        call: OperatorCall,
        /// The answer.
        reply: OperatorReply,
    },
    /// All work is done; the process may end.
    Left,
}
