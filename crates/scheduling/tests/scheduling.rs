//! Limits, queue, budget, policies, routing and planning.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_protocol::configuration::{EngineSpeed, PlannerSpec};
use pitchstall_protocol::engine::{
    EngineReport, EngineRole, EngineStanding, EngineState, FencingToken,
};
use pitchstall_protocol::ids::{EngineId, ZoneId};
use pitchstall_scheduling::limits::{LimitDecision, TenantLimits};
use pitchstall_scheduling::load::{EngineLoad, SentWork};
use pitchstall_scheduling::planner::{work_of, PlannedEngine, Planner, PlannerConfig};
use pitchstall_scheduling::policy::{PolicyEngine, PolicyError, PolicyInput};
use pitchstall_scheduling::queue::{Entry, FairQueue};
use pitchstall_scheduling::retry_budget::{RetryBudget, RetryBudgetConfig};
use pitchstall_scheduling::routing::{choose, Demand, Plan, PrefixMap, RoutingConfig};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

#[test]
fn a_tenant_waits_for_just_the_tokens_it_lacks() {
    let mut limits = TenantLimits::default();
    let tenant = "t".into();
    assert_eq!(limits.take(0, &tenant, 100, 10, 100), LimitDecision::Within);
    let refused = limits.take(0, &tenant, 20, 10, 100);
    assert_eq!(refused, LimitDecision::Exceeded { retry_after_ms: 2_000 });
    assert_eq!(limits.take(2_000_000, &tenant, 20, 10, 100), LimitDecision::Within);
    assert_eq!(limits.take(0, &tenant, 101, 10, 100), LimitDecision::TooLarge);
}

fn entry(request: &str, tenant: &str, priority: i32) -> Entry {
    Entry {
        request: request.into(),
        tenant: tenant.into(),
        priority,
        tokens: 10,
        dispatch_by_us: 1_000,
    }
}

#[test]
fn the_queue_serves_priorities_first_and_tenants_in_turn() {
    let mut queue = FairQueue::default();
    for entry in
        [entry("a1", "a", 0), entry("a2", "a", 0), entry("b1", "b", 0), entry("c1", "c", 5)]
    {
        queue.push(entry);
    }
    let mut order = Vec::new();
    while let Some(head) = queue.heads(1).pop() {
        queue.take(&head);
        order.push(head.request.to_string());
    }
    assert_eq!(order, ["c1", "a1", "b1", "a2"]);
    queue.push(entry("d1", "d", 0));
    assert_eq!(queue.take_expired(1_000).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new(RetryBudgetConfig { earned_permille: 200, reserve: 2 });
    assert!(budget.withdraw() && budget.withdraw() && !budget.withdraw());
    (0..5).for_each(|_| budget.deposit());
    assert!(budget.withdraw() && !budget.withdraw());
}

fn run_policy(source: &str) -> Result<Option<BTreeSet<ZoneId>>, PolicyError> {
    let engine = PolicyEngine::new();
    let zones: BTreeSet<ZoneId> = ["a".into(), "b".into()].into();
    let input = PolicyInput {
        tenant: &"t".into(),
        service: &"s".into(),
        prompt_tokens: 10,
        max_tokens: 10,
        zone: &"a".into(),
        zones: &zones,
    };
    let policy = engine.compile(source)?;
    engine.run(&policy, &input).map(|decision| decision.zones)
}

#[test]
fn a_policy_narrows() {
    let narrowed = run_policy("#{ zones: zones.filter(|other| other != zone) }").unwrap();
    assert_eq!(narrowed, Some(["b".into()].into()));
    assert_eq!(run_policy("if prompt_tokens > 100 { #{ priority: 1 } }").unwrap(), None);
}

#[test_case("#{ zones: [\"c\"] }"; "a forbidden zone")]
#[test_case("loop { }"; "a loop")]
#[test_case("let x = \"x\"; loop { x += x; }"; "a string that grows")]
#[test_case("eval(\"1\")"; "eval")]
#[test_case("import \"os\" as os;"; "a module")]
#[test_case("fn f(n) { f(n + 1) } f(0)"; "endless recursion")]
#[test_case("#{ zones: 4 }"; "another shape")]
#[test_case("#{ zone"; "no program")]
fn a_policy_that_misbehaves_is_refused(source: &str) {
    assert!(run_policy(source).is_err());
}

fn load(name: &str, role: EngineRole) -> EngineLoad {
    let standing = EngineStanding {
        role,
        model: "m".into(),
        state: EngineState::Ready,
        fence: FencingToken::default(),
    };
    let report = EngineReport {
        engine: name.into(),
        zone: "z".into(),
        report: 1,
        standing,
        running: 0,
        waiting: 0,
        waiting_prompt_tokens: 0,
        waiting_output_tokens: 0,
        cache_used_permille: 0,
        accepted_total: 0,
        cached_blocks: Vec::new(),
    };
    EngineLoad::new(report, 0)
}

fn route(
    engines: &BTreeMap<EngineId, EngineLoad>,
    prefixes: &PrefixMap,
    now_us: u64,
) -> Option<Plan> {
    let model = "m".into();
    let demand = Demand {
        model: &model,
        prompt_tokens: 8_000,
        output_tokens: 100,
        blocks: &[1, 2, 3],
        kv_bytes_per_token: 1_000,
        speed: EngineSpeed::default(),
    };
    choose(&RoutingConfig::default(), now_us, engines, prefixes, &demand, &[]).map(|it| it.plan)
}

fn engines(loads: Vec<EngineLoad>) -> BTreeMap<EngineId, EngineLoad> {
    loads.into_iter().map(|load| (load.engine().clone(), load)).collect()
}

#[test]
fn what_was_sent_since_the_report_counts() {
    let mut first = load("a", EngineRole::Mixed);
    let work = SentWork { sent_us: 5, prompt_tokens: 50_000, output_tokens: 10 };
    first.on_sent("r".into(), work);
    let fleet = engines(vec![first, load("b", EngineRole::Mixed)]);
    assert_eq!(route(&fleet, &PrefixMap::default(), 10), Some(Plan::Full("b".into())));
}

#[test]
fn a_cached_prefix_draws_until_the_queue_costs_more() {
    let mut prefixes = PrefixMap::default();
    (1..=3).for_each(|block| prefixes.on_block(block, &"b".into()));
    let fleet = engines(vec![load("a", EngineRole::Mixed), load("b", EngineRole::Mixed)]);
    assert_eq!(route(&fleet, &prefixes, 10), Some(Plan::Full("b".into())));
    let mut busy = load("b", EngineRole::Mixed);
    busy.on_sent("r".into(), SentWork { sent_us: 5, prompt_tokens: 50_000, output_tokens: 9 });
    let fleet = engines(vec![load("a", EngineRole::Mixed), busy]);
    assert_eq!(route(&fleet, &prefixes, 10), Some(Plan::Full("a".into())));
}

#[test]
fn an_engine_that_is_silent_or_leaves_gets_nothing() {
    let fleet = engines(vec![load("a", EngineRole::Mixed)]);
    assert_eq!(route(&fleet, &PrefixMap::default(), 2_000_000), None);
    let mut leaving = load("a", EngineRole::Mixed);
    leaving.name_leaving();
    assert_eq!(route(&engines(vec![leaving]), &PrefixMap::default(), 10), None);
}

fn planned(roles: &[EngineRole]) -> Vec<PlannedEngine> {
    let engine = |(place, role): (usize, &EngineRole)| PlannedEngine {
        engine: EngineId::new(format!("e{place}")),
        role: *role,
        free: true,
        sequences: 0,
    };
    roles.iter().enumerate().map(engine).collect()
}

fn plan_under_reading(weight_permille: u32) -> Option<EngineRole> {
    use EngineRole::{Decode, Prefill};
    let mut planner = Planner::new(PlannerConfig::default());
    let speed = EngineSpeed::default();
    let spec = PlannerSpec {
        enabled: true,
        role_change_weight_permille: weight_permille,
        max_engines_away: 1,
    };
    let fleet = planned(&[Prefill, Decode, Decode, Decode]);
    let mut decided = None;
    for second in 0..60u64 {
        planner.on_request(second * 1_000_000, work_of(&speed, 30_000, 100));
        decided = decided.or_else(|| planner.decide(second * 1_000_000, &fleet, &spec, &speed, 0));
    }
    decided.map(|change| change.role)
}

#[test]
fn a_lasting_shift_moves_an_engine_unless_changes_weigh_too_much() {
    assert!(plan_under_reading(1_000).is_some_and(EngineRole::reads_prompts));
    assert_eq!(plan_under_reading(100_000), None);
}

#[test]
fn an_allocation_that_cannot_serve_is_mended_at_once() {
    let mut planner = Planner::new(PlannerConfig::default());
    let fleet = planned(&[EngineRole::Decode, EngineRole::Decode]);
    let change =
        planner.decide(2_000_000, &fleet, &PlannerSpec::default(), &EngineSpeed::default(), 0);
    assert_eq!(change.unwrap().role, EngineRole::Mixed);
}
