//! Operators' policy programs: short Rhai scripts that restrict where a request may run and set its
//! priority.
//!
//! A program reads `host` (as named by the client), `service`, `prompt_tokens`, `max_tokens`,
//! `zone` (in which the request arrived), `zones` (in which the service has runners) and `priority`
//! (of the route; 0 is the most urgent). It returns nothing, or a map with `zones` (a list of
//! names), `priority` (an integer) or both. The zones must be among those of the service: a program
//! can restrict the choice, never widen it. Programs have no modules, no `eval` and no clock, and
//! their number of operations is limited.

use pitchstall_serving::ids::{ServiceName, ZoneId};
use rhai::{Array, Dynamic, Engine, Map, Scope, AST};
use std::collections::BTreeSet;

/// Maximum number of operations of one run. A program of ten lines takes about a hundred.
pub const MAX_OPERATIONS: u64 = 20_000;
const MAX_EXPRESSION_DEPTH: usize = 32;
const MAX_COLLECTION_ITEMS: usize = 1_024;
const MAX_STRING_BYTES: usize = 4_096;

/// What a program can read about a request.
#[derive(Clone, Debug)]
pub struct PolicyInput<'a> {
    /// The host that the client named.
    pub host: &'a str,
    /// The service that the request is for.
    pub service: &'a ServiceName,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// The zone in which the request arrived.
    pub zone: &'a ZoneId,
    /// The zones in which the service has runners.
    pub zones: &'a BTreeSet<ZoneId>,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
}

/// What a program decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyDecision {
    /// The zones that remain, possibly none; `None`: no restriction.
    pub zones: Option<BTreeSet<ZoneId>>,
    /// The priority; `None`: the route's.
    pub priority: Option<u32>,
}

/// Why a program was rejected or failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// The program does not parse.
    #[error("the policy program does not parse: {0}")]
    Syntax(String),
    /// The program failed, or exceeded its limit of operations.
    #[error("the policy program failed: {0}")]
    Run(String),
    /// The program returned something other than nothing or a map with the expected fields.
    #[error("the policy program returned {0}; expected a map with `zones` or `priority`")]
    UnexpectedResult(String),
    /// The program named a zone that is not among the service's.
    #[error("the policy program named zone `{0}`, which the service may not use")]
    ForbiddenZone(ZoneId),
}

/// A compiled program.
#[derive(Clone, Debug)]
pub struct Policy {
    program: AST,
}

/// Compiles and runs programs.
pub struct PolicyEngine {
    engine: Engine,
}

impl Default for PolicyEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl PolicyEngine {
    /// An engine with all limits set.
    pub fn new() -> Self {
        let mut engine = Engine::new();
        engine.set_max_operations(MAX_OPERATIONS);
        engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
        engine.set_max_array_size(MAX_COLLECTION_ITEMS);
        engine.set_max_map_size(MAX_COLLECTION_ITEMS);
        engine.set_max_string_size(MAX_STRING_BYTES);
        engine.disable_symbol("eval");
        engine.on_print(|_| {});
        engine.on_debug(|_, _, _| {});
        Self { engine }
    }

    /// Compiles a program; fails if it does not parse.
    pub fn compile(&self, source: &str) -> Result<Policy, PolicyError> {
        let program =
            self.engine.compile(source).map_err(|error| PolicyError::Syntax(error.to_string()))?;
        Ok(Policy { program })
    }

    /// Runs a program. A zone outside the service's is an error, so that the operator learns of the
    /// mistake; the caller must then refuse the request.
    pub fn run(
        &self,
        policy: &Policy,
        input: &PolicyInput<'_>,
    ) -> Result<PolicyDecision, PolicyError> {
        let mut scope = scope_of(input);
        let result: Dynamic = self
            .engine
            .eval_ast_with_scope(&mut scope, &policy.program)
            .map_err(|error| PolicyError::Run(error.to_string()))?;
        if result.is_unit() {
            return Ok(PolicyDecision::default());
        }
        let type_name = result.type_name().to_owned();
        let map = result.try_cast::<Map>().ok_or(PolicyError::UnexpectedResult(type_name))?;
        parse_decision(map, input.zones)
    }
}

fn scope_of(input: &PolicyInput<'_>) -> Scope<'static> {
    let zones: Array =
        input.zones.iter().map(|zone| Dynamic::from(zone.as_str().to_owned())).collect();
    let mut scope = Scope::new();
    scope.push("host", input.host.to_owned());
    scope.push("service", input.service.as_str().to_owned());
    scope.push("prompt_tokens", saturating_i64(input.prompt_tokens));
    scope.push("max_tokens", saturating_i64(input.max_tokens));
    scope.push("priority", i64::from(input.priority));
    scope.push("zone", input.zone.as_str().to_owned());
    scope.push("zones", zones);
    scope
}

fn saturating_i64(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}

fn parse_decision(map: Map, allowed: &BTreeSet<ZoneId>) -> Result<PolicyDecision, PolicyError> {
    let mut decision = PolicyDecision::default();
    for (key, value) in map {
        match key.as_str() {
            "zones" => decision.zones = Some(parse_zones(value, allowed)?),
            "priority" => {
                let type_name = value.type_name().to_owned();
                let priority =
                    value.as_int().map_err(|_| PolicyError::UnexpectedResult(type_name))?;
                decision.priority = u32::try_from(priority.max(0)).ok();
            }
            other => return Err(PolicyError::UnexpectedResult(format!("a map with `{other}`"))),
        }
    }
    Ok(decision)
}

fn parse_zones(
    value: Dynamic,
    allowed: &BTreeSet<ZoneId>,
) -> Result<BTreeSet<ZoneId>, PolicyError> {
    let type_name = value.type_name().to_owned();
    let array = value.try_cast::<Array>().ok_or(PolicyError::UnexpectedResult(type_name))?;
    let mut zones = BTreeSet::new();
    for item in array {
        let type_name = item.type_name().to_owned();
        let name = item.into_string().map_err(|_| PolicyError::UnexpectedResult(type_name))?;
        let zone = ZoneId::new(name);
        if !allowed.contains(&zone) {
            return Err(PolicyError::ForbiddenZone(zone));
        }
        zones.insert(zone);
    }
    Ok(zones)
}
