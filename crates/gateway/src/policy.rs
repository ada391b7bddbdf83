//! Runs the operators' policy program.
//!
//! The program is compiled once, when the settings are read, and runs once per request. It can only
//! restrict where a request may run. If it fails, the request is refused.

use crate::intake::ClientRequest;
use crate::node::Node;
use crate::settings::{PolicySection, SettingsError};
use pitchstall_policy::{Policy, PolicyEngine, PolicyError, PolicyInput};
use pitchstall_serving::ids::{ServiceName, ZoneId};
use std::collections::BTreeSet;

/// Where a request may run and with which priority.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementRules {
    /// Zones in which the request may run; `None`: all zones.
    pub zones: Option<BTreeSet<ZoneId>>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The operators' policy program, compiled.
pub struct PolicyProgram {
    engine: PolicyEngine,
    policy: Policy,
}

impl PolicyProgram {
    /// Reads and compiles the program that the settings name; `None` if they name none.
    pub fn read(section: &PolicySection) -> Result<Option<Self>, SettingsError> {
        let Some(path) = &section.program else { return Ok(None) };
        let source = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { path: path.clone(), cause })?;
        let engine = PolicyEngine::new();
        let policy = engine
            .compile(&source)
            .map_err(|cause| SettingsError::Policy { path: path.clone(), cause })?;
        Ok(Some(Self { engine, policy }))
    }
}

/// Runs the current program for a request. `priority` applies if there is no program or if the
/// program does not set one.
pub fn placement_rules(
    node: &Node,
    request: &ClientRequest,
    priority: u8,
    service: &ServiceName,
) -> Result<PlacementRules, PolicyError> {
    let Some(program) = node.policy_program() else {
        return Ok(PlacementRules { zones: None, priority });
    };
    let zones = node.fleet.borrow().zones_of(service);
    let prompt = request.metadata.prompt.as_ref();
    let input = PolicyInput {
        host: &request.host,
        service,
        prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
        max_tokens: prompt.map_or(0, |prompt| prompt.max_output_tokens),
        zone: &node.zone,
        zones: &zones,
        priority: u32::from(priority),
    };
    let decision = program.engine.run(&program.policy, &input).inspect_err(|error| {
        let (id, error) = (request.metadata.id.as_str(), error.to_string());
        log::warn!(target: "policy", request = id, error; "failed");
    })?;
    let decided = decision.priority.map(|decided| u8::try_from(decided).unwrap_or(u8::MAX));
    let priority = decided.unwrap_or(priority);
    Ok(PlacementRules { zones: decision.zones, priority })
}
