//! Connections to runners through another node.
//!
//! A node that cannot reach a runner over its own link asks another node to open a connection to it, and then speaks to
//! the runner through that node. All decisions stay with the node that asks; the other one moves bytes. It opens
//! connections only to runners of its own registry replica, and only over its own links, so a tunnel never leads through a
//! third node.
//!
//! The first line on the connection between the nodes is a [`TunnelQuery`], the reply a [`TunnelReply`]. After
//! [`TunnelReply::Opened`], the bytes to the runner follow as they are, and those from the runner in [`frames`]. A build
//! that does not know the query closes the connection, and another node is asked.

pub mod client;
pub mod frames;
pub mod server;

use pitchstall_serving::ids::{NodeId, RunnerId};
use serde::{Deserialize, Serialize};

/// Asks a node to open a connection to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelQuery {
    /// The incarnation of the runner. The address is the one in the replying node's replica.
    #[serde(rename = "tunnel")]
    pub runner: RunnerId,
    /// The node that asks.
    pub from: NodeId,
}

/// Reply to a [`TunnelQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TunnelReply {
    /// The runner is connected.
    Opened,
    /// The replying node cannot connect to the runner.
    Unreachable {
        /// Whether the connection was refused: no process listens at the address.
        is_refused: bool,
        /// Whether the replying node reaches other runners. Otherwise its own links may be lost.
        reaches_others: bool,
    },
    /// The replying node opens no connection.
    Declined(DeclineReason),
}

/// Why a node opens no connection for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// It has too many tunnels already.
    Busy,
    /// It is stopping.
    Stopping,
    /// It does not know the runner.
    UnknownRunner,
    /// It does not know the node that asks.
    UnknownNode,
}

impl DeclineReason {
    /// Name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::UnknownRunner => "unknown_runner",
            Self::UnknownNode => "unknown_node",
        }
    }
}
