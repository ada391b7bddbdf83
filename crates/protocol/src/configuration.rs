//! The operators' configuration: one revisioned document.

use crate::caller::ServiceLimits;
use crate::ids::{ChangeId, ModelName, Revision, ServiceName, TenantId, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The configuration as it stands at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision, counted from one.
    pub revision: Revision,
    /// The submission that committed it.
    pub change: ChangeId,
    /// What is in force.
    pub configuration: Configuration,
}

/// What operators decide.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Models that engines may load.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Services that callers may name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Tenants, their keys and limits.
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, TenantSpec>,
    /// Weights and bounds of the role planner.
    #[serde(default)]
    pub planner: PlannerSpec,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Bytes of KV cache for one token.
    pub kv_bytes_per_token: u64,
    /// What one engine does with the model, as measured by the operators.
    #[serde(default)]
    pub speed: EngineSpeed,
}

/// What one engine does with a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpeed {
    /// Prompt tokens read a second when nothing else runs.
    pub prompt_tokens_per_second: u64,
    /// Microseconds of a decoding step without sequences.
    pub step_base_us: u64,
    /// Microseconds that each sequence adds to a step.
    pub step_per_sequence_us: u64,
    /// Most sequences in a batch.
    pub max_sequences: u32,
    /// Bytes of KV cache moved a second between two engines.
    pub cache_transfer_bytes_per_second: u64,
    /// Milliseconds that a role change takes.
    pub role_change_ms: u64,
}

impl Default for EngineSpeed {
    /// An assumed mid-size model on one accelerator; see the emulator's page on parameters.
    fn default() -> Self {
        Self {
            prompt_tokens_per_second: 12_000,
            step_base_us: 6_000,
            step_per_sequence_us: 250,
            max_sequences: 32,
            cache_transfer_bytes_per_second: 5_000_000_000,
            role_change_ms: 4_000,
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The model that serves it.
    pub model: ModelName,
    /// The only zones in which its data may be.
    pub zones: BTreeSet<ZoneId>,
    /// Whether a request may run again after a failure. Absent: no.
    #[serde(default)]
    pub repeatable: bool,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i32,
    /// Limits on one request.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// A policy program; see the operators' guide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// SHA-256 of the tenant's key, in hexadecimal. The key itself is stored nowhere.
    pub key_sha256: String,
    /// Services the tenant may use; empty: all.
    #[serde(default)]
    pub services: BTreeSet<ServiceName>,
    /// Tokens a second, prompt and output together, at each node.
    pub tokens_per_second: u64,
    /// Tokens that may be used at once after a quiet time.
    pub burst_tokens: u64,
}

/// Weights and bounds of the role planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerSpec {
    /// Whether roles are changed at all.
    pub enabled: bool,
    /// Cost of a role change, in thousandths of the work the engine would have done
    /// while it is away. 1000 counts the lost work only; more makes changes rarer.
    pub role_change_weight_permille: u32,
    /// Most engines of a zone away at once.
    pub max_engines_away: u32,
}

impl Default for PlannerSpec {
    fn default() -> Self {
        Self { enabled: true, role_change_weight_permille: 1_000, max_engines_away: 1 }
    }
}

/// A place in the configuration and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct ConfigurationProblem {
    /// Dotted path of the setting.
    pub place: String,
    /// What is wrong and what is expected.
    pub problem: String,
}

impl Configuration {
    /// Everything that is wrong, each with its place. Programs are checked by the
    /// scheduling crate, which can compile them.
    pub fn problems(&self) -> Vec<ConfigurationProblem> {
        let mut problems = Vec::new();
        let mut report = |place: String, problem: String| {
            problems.push(ConfigurationProblem { place, problem });
        };
        for (name, service) in &self.services {
            if !self.models.contains_key(&service.model) {
                let model = &service.model;
                report(format!("services.{name}.model"), format!("no model is named `{model}`"));
            }
            if service.zones.is_empty() {
                let expected = "expected at least one zone".to_owned();
                report(format!("services.{name}.zones"), expected);
            }
        }
        for (name, tenant) in &self.tenants {
            const HEX_DIGITS: usize = 64;
            let hexadecimal = tenant.key_sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
            if tenant.key_sha256.len() != HEX_DIGITS || !hexadecimal {
                let expected = "expected 64 hexadecimal digits".to_owned();
                report(format!("tenants.{name}.key_sha256"), expected);
            }
            if tenant.burst_tokens < tenant.tokens_per_second {
                let expected = "expected at least tokens_per_second".to_owned();
                report(format!("tenants.{name}.burst_tokens"), expected);
            }
            for service in tenant.services.iter().filter(|it| !self.services.contains_key(*it)) {
                let problem = format!("no service is named `{service}`");
                report(format!("tenants.{name}.services"), problem);
            }
        }
        if self.planner.max_engines_away == 0 && self.planner.enabled {
            let expected = "expected at least 1 while the planner is enabled".to_owned();
            report("planner.max_engines_away".to_owned(), expected);
        }
        problems
    }
}
