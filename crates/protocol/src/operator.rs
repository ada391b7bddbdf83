//! Messages between operators and nodes.

use crate::configuration::Configuration;
use crate::engine::EngineReport;
use crate::ids::{ChangeId, EngineId, NodeId, Revision, ZoneId};
use serde::{Deserialize, Serialize};

/// Submits a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision the change was made from; zero: no configuration yet.
    pub expected_revision: Revision,
    /// Unique for the submission. The same id submitted again is the same change.
    pub change: ChangeId,
    /// The whole new configuration.
    pub configuration: Configuration,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyOutcome {
    /// It will never be reverted. It need not be in force everywhere yet.
    Committed {
        /// Its revision.
        revision: Revision,
    },
    /// Another change took the revision. This one was not committed and never will be.
    Conflict {
        /// The revision that stands.
        current: Revision,
    },
    /// The store gave no answer in time. Submit the same change id again to learn more.
    Unknown,
    /// The store refused before doing anything, or cannot be reached.
    Unavailable,
    /// The configuration is not valid.
    Invalid {
        /// What is wrong.
        problems: Vec<crate::configuration::ConfigurationProblem>,
    },
}

/// How far a revision has spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadStatus {
    /// The revision that the answering node applies.
    pub revision: Revision,
    /// Whether every known zone has confirmed it.
    pub in_force_everywhere: bool,
    /// Whether every node has confirmed it, or can move no data between zones because it
    /// has been without proof of the latest revision for longer than the bound.
    pub in_force_for_data_movement: bool,
    /// Zones that have not confirmed, with the nodes that are known to be behind.
    pub unconfirmed: Vec<UnconfirmedZone>,
}

/// A zone that has not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedZone {
    /// The zone.
    pub zone: ZoneId,
    /// The lowest revision known to be applied there.
    pub lowest_revision: Revision,
    /// Nodes known to be behind.
    pub behind: Vec<NodeId>,
}

/// What a node knows of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The answering node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it holds the authority over its zone, and under which epoch.
    pub authority: Option<crate::ids::Epoch>,
    /// Nodes of the zone.
    pub nodes: Vec<NodeStatus>,
    /// Engines of the zone, as last reported.
    pub engines: Vec<EngineReport>,
    /// Summaries of the other zones.
    pub zones: Vec<crate::peer::ZoneSummary>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// The revision it applies.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is suspected.
    pub suspected: bool,
}

/// Asks for a change of an engine by hand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineChangeRequest {
    /// The engine.
    pub engine: EngineId,
    /// What to change.
    pub change: crate::engine::OrderKind,
}

/// Whether a change of an engine was taken up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum EngineChangeOutcome {
    /// The order will be given when the engine is free for it.
    Scheduled,
    /// Another node has the authority; ask it.
    NotAuthority {
        /// The holder, if known.
        holder: Option<NodeId>,
    },
    /// The engine is not known in this zone.
    UnknownEngine,
    /// The engines left would not be able to serve the model: there must be one that does
    /// both, or one that reads prompts and one that writes outputs.
    LeavesNoneToServe,
}
