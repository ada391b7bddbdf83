//! A node as one deterministic state machine.
//!
//! [`Node::step`] takes the time and one [`Input`] and appends [`Output`]s. It holds no
//! clock, socket or random source: the daemon drives it from the network, the simulation from
//! virtual time, and both run the same code.
//!
//! The modules follow a request: [`intake`], [`claiming`], [`dispatch`], [`answers`],
//! [`forwarding`]. Beside them work [`spread`] (heartbeats, digests, configuration),
//! [`control`] (lease, orders, role planning) and [`operators`].

pub mod answers;
pub mod claiming;
pub mod control;
pub mod dispatch;
pub mod exchange;
pub mod forwarding;
pub mod intake;
pub mod io;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod settings;
pub mod spread;

pub use io::{
    CallId, CallerInput, EngineCall, EngineInput, Input, OperatorCall, OperatorReply,
    OperatorRequest, Output,
};
pub use node::Node;
pub use settings::NodeSettings;
