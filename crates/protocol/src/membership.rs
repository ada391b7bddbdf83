//! The platform's list of live and leaving machines. It lags.

use crate::ids::{EngineId, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Serves.
    Live,
    /// Is about to go.
    Leaving,
}

/// A machine that runs a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMember {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address for other nodes, `IP:port`.
    pub peer_address: String,
    /// Whether it stays.
    pub state: MemberState,
}

/// A machine that runs an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMember {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address of its HTTP interface, `IP:port`.
    pub address: String,
    /// Whether it stays.
    pub state: MemberState,
}

/// One state of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// Counts up with each change. A poll that names it gets an answer only when it changed.
    pub version: u64,
    /// Nodes.
    pub nodes: Vec<NodeMember>,
    /// Engines.
    pub engines: Vec<EngineMember>,
}
