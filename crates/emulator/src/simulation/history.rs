//! What happened in a run, for the checkers.

use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::ResumePoint;
use pitchstall_protocol::engine::{AttemptKey, FencingToken, OrderKind, OrderReply};
use pitchstall_protocol::error::ErrorBody;
use pitchstall_protocol::ids::{
    ChangeId, EngineId, NodeId, RequestId, Revision, ServiceName, ZoneId,
};
use pitchstall_protocol::operator::ApplyOutcome;
use pitchstall_protocol::Configuration;
use std::rc::Rc;

/// An event of a run. All times are the world's.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request, or came back for the rest of its answer.
    Submitted {
        /// Which of the caller's wishes it is; several submissions may serve one wish.
        wish: usize,
        /// The request.
        request: RequestId,
        /// The idempotency key.
        key: Option<String>,
        /// The service.
        service: ServiceName,
    },
    /// A caller received a piece.
    Piece {
        /// The wish.
        wish: usize,
        /// The point reached.
        point: ResumePoint,
        /// The text.
        text: String,
    },
    /// A caller received the end of its answer.
    Finished {
        /// The wish.
        wish: usize,
        /// The request.
        request: RequestId,
        /// The text the caller put together.
        text: String,
        /// The text it should be.
        expected: String,
    },
    /// A caller received a failure.
    Failed {
        /// The wish.
        wish: usize,
        /// The request.
        request: RequestId,
        /// The failure.
        error: ErrorBody,
    },
    /// A caller's connection broke, and it does not ask again.
    GaveUp {
        /// The wish.
        wish: usize,
    },
    /// A node sent an attempt to an engine.
    Attempted {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        key: AttemptKey,
    },
    /// An engine wrote the first token of an attempt.
    Started {
        /// The engine.
        engine: EngineId,
        /// The attempt.
        key: AttemptKey,
    },
    /// An order arrived at an engine.
    Ordered {
        /// The engine.
        engine: EngineId,
        /// Who gave it.
        node: NodeId,
        /// Its place.
        token: FencingToken,
        /// What it asked for.
        kind: OrderKind,
        /// What the engine said.
        reply: OrderReply,
    },
    /// An engine said, or the list showed, that it leaves.
    EngineLeaves {
        /// The engine.
        engine: EngineId,
    },
    /// A change of role or model began or ended well.
    EngineChanged {
        /// The engine.
        engine: EngineId,
    },
    /// A node was told to stop.
    NodeLeaves {
        /// The node.
        node: NodeId,
    },
    /// A node has left by itself.
    NodeLeft {
        /// The node.
        node: NodeId,
    },
    /// An operator submitted a change.
    ApplyBegins {
        /// The change.
        change: ChangeId,
        /// The revision it was made from.
        expected: Revision,
    },
    /// An operator was answered.
    ApplyEnds {
        /// The change.
        change: ChangeId,
        /// The answer; `None`: the node died.
        outcome: Option<ApplyOutcome>,
    },
    /// The store took a revision.
    Committed {
        /// The revision.
        revision: Revision,
        /// The change.
        change: ChangeId,
        /// The content.
        configuration: Rc<Configuration>,
    },
    /// A node applies a revision.
    Applied {
        /// The node.
        node: NodeId,
        /// The revision.
        revision: Revision,
    },
    /// A prompt was sent from one zone to another.
    Moved {
        /// The sending node.
        node: NodeId,
        /// The service.
        service: ServiceName,
        /// To where.
        to: ZoneId,
    },
    /// Something was broken or mended.
    Fault {
        /// What.
        kind: &'static str,
    },
}

/// The events of a run in order.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The events with their times.
    pub events: Vec<(Timestamp, Event)>,
}

impl History {
    /// Notes an event.
    pub fn note(&mut self, now: Timestamp, event: Event) {
        self.events.push((now, event));
    }
}
