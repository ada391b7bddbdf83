//! The engine's side of the authority: a fence that refuses orders below the highest token
//! seen (fencing tokens, after Kleppmann). An engine keeps it for as long as its process
//! lives; a process that starts anew is another engine, under another identifier.

use pitchstall_protocol::engine::{
    EngineRole, EngineStanding, EngineState, FencingToken, OrderKind, OrderReply, RoleOrder,
};
use pitchstall_protocol::ids::ModelName;

/// What an accepted order sets off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: a repeated order, or only the fence.
    Nothing,
    /// Start the change; report its end with [`FenceGuard::complete`].
    Begin(Change),
    /// Take no more work.
    Drain,
}

/// A change in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The role after it.
    pub role: EngineRole,
    /// The model after it.
    pub model: ModelName,
}

/// The fence with the state it protects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FenceGuard {
    standing: EngineStanding,
    in_flight: Option<Change>,
}

impl FenceGuard {
    /// A fence below every order.
    pub fn new(role: EngineRole, model: ModelName) -> Self {
        let standing = EngineStanding {
            role,
            model,
            state: EngineState::Ready,
            fence: FencingToken::default(),
        };
        Self { standing, in_flight: None }
    }

    /// The state to report.
    pub fn standing(&self) -> &EngineStanding {
        &self.standing
    }

    /// The change in flight.
    pub fn in_flight(&self) -> Option<&Change> {
        self.in_flight.as_ref()
    }

    /// Takes or refuses an order.
    pub fn on_order(&mut self, order: &RoleOrder) -> (OrderReply, Effect) {
        if order.token < self.standing.fence {
            return (OrderReply::Stale { fence: self.standing.fence }, Effect::Nothing);
        }
        // The same order again, after its answer was lost.
        if order.token == self.standing.fence {
            return (self.accepted(), Effect::Nothing);
        }
        if order.kind == OrderKind::RaiseFence {
            self.standing.fence = order.token;
            return (self.accepted(), Effect::Nothing);
        }
        if order.kind == OrderKind::Drain {
            self.standing.fence = order.token;
            self.leave();
            return (self.accepted(), Effect::Drain);
        }
        if self.standing.state != EngineState::Ready {
            return (OrderReply::Busy { standing: self.standing.clone() }, Effect::Nothing);
        }
        self.standing.fence = order.token;
        let change = self.change_asked_for(&order.kind);
        let unchanged = change.role == self.standing.role && change.model == self.standing.model;
        if unchanged {
            return (self.accepted(), Effect::Nothing);
        }
        self.standing.state = EngineState::Changing;
        self.in_flight = Some(change.clone());
        (self.accepted(), Effect::Begin(change))
    }

    fn change_asked_for(&self, kind: &OrderKind) -> Change {
        let mut change = Change { role: self.standing.role, model: self.standing.model.clone() };
        match kind {
            OrderKind::SetRole { role } => change.role = *role,
            OrderKind::LoadModel { model } => change.model = model.clone(),
            OrderKind::RaiseFence | OrderKind::Drain => {}
        }
        change
    }

    fn accepted(&self) -> OrderReply {
        OrderReply::Accepted { standing: self.standing.clone() }
    }

    /// The change in flight has ended well.
    pub fn complete(&mut self) {
        let Some(change) = self.in_flight.take() else {
            return;
        };
        self.standing.role = change.role;
        self.standing.model = change.model;
        if self.standing.state == EngineState::Changing {
            self.standing.state = EngineState::Ready;
        }
    }

    /// The engine takes no more work.
    pub fn leave(&mut self) {
        self.standing.state = EngineState::Leaving;
    }
}
