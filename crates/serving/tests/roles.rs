//! Authority over roles, and the conditions under which roles change.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::authority::{AuthorityTerm, FencingToken, LeaseTimes};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RunnerId, ServiceName, SoftwareVersion};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::role_planner::{
    OrderResult, RoleChange, RoleDemand, RolePlanner, RolePolicy,
};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use proptest::prelude::*;
use support::{at, runner_record};

const SECOND_US: u64 = 1_000_000;
const TIMES: LeaseTimes = LeaseTimes { ttl_us: 3 * SECOND_US, separation_us: 3 * SECOND_US };

#[test]
fn a_new_holder_waits_before_its_first_order() {
    let mut term = AuthorityTerm::new(FencingToken::new(at(7)), 0, 10_000, TIMES);
    assert!(!term.may_order(10_000));
    term.renew(SECOND_US, TIMES);
    assert!(term.may_order(3 * SECOND_US + 10_000));
}

#[test]
fn a_holder_that_was_suspended_resumes_without_authority() {
    let mut term = AuthorityTerm::new(FencingToken::new(at(7)), 0, 0, TIMES);
    term.renew(2 * SECOND_US, TIMES);
    assert!(term.may_order(4 * SECOND_US));
    assert!(!term.may_order(9 * SECOND_US));
    assert!(term.has_expired(9 * SECOND_US));
}

#[test]
fn a_renewal_counts_from_its_sending_and_never_shortens_the_term() {
    let mut term =
        AuthorityTerm::new(FencingToken::new(at(7)), 5 * SECOND_US, 5 * SECOND_US, TIMES);
    term.renew(4 * SECOND_US, TIMES);
    assert!(!term.has_expired(7 * SECOND_US));
}

const STEP_US: usize = 1_000;

/// Last step at which a term that began at a given time is still valid.
fn end(term: &AuthorityTerm, began_us: u64) -> u64 {
    let valid = (began_us..).step_by(STEP_US).take_while(|now| !term.has_expired(*now));
    valid.last().unwrap()
}

/// Time at which a term that was requested at a given time allows orders, or at which it ends
/// without having allowed any.
fn first_order(term: &AuthorityTerm, requested_us: u64) -> u64 {
    let is_first = |now: &u64| term.may_order(*now) || term.has_expired(*now);
    (requested_us..).step_by(STEP_US).find(is_first).unwrap()
}

proptest! {
    /// The store is restored from a backup that lacks the key, so the next holder acquires it at
    /// once.
    #[test]
    fn orders_of_holders_of_two_eras_are_a_lease_apart(
        sent_at_us in 0_u64..10 * SECOND_US,
        request_delay_us in 0_u64..2 * SECOND_US,
        recovered_after_us in 0_u64..SECOND_US,
        observed_after_us in 0_u64..SECOND_US,
        response_delay_us in 0_u64..2 * SECOND_US,
    ) {
        let first = AuthorityTerm::new(FencingToken::new(at(7)), sent_at_us, sent_at_us, TIMES);
        let observed = sent_at_us + request_delay_us + recovered_after_us + observed_after_us;
        let second = AuthorityTerm::new(FencingToken::new(at(9)), observed, observed + response_delay_us, TIMES)
            .after_era_began(observed, TIMES);
        // The term is renewed for long enough to allow orders.
        let mut renewed = second;
        renewed.renew(observed + 20 * SECOND_US, TIMES);
        prop_assert!(first_order(&renewed, observed) >= end(&first, sent_at_us) + TIMES.separation_us);
    }
}

proptest! {
    /// The store grants the key to the next holder no earlier than one lease after the last renewal
    /// arrived there. Orders of the two holders are a lease apart however long calls take.
    #[test]
    fn orders_of_two_holders_are_a_lease_apart(
        sent_at_us in 0_u64..10 * SECOND_US,
        request_delay_us in 0_u64..2 * SECOND_US,
        granted_after_us in 0_u64..SECOND_US,
        response_delay_us in 0_u64..2 * SECOND_US,
    ) {
        let first = AuthorityTerm::new(FencingToken::new(at(7)), sent_at_us, sent_at_us + request_delay_us, TIMES);
        let over_at_store = sent_at_us + request_delay_us + TIMES.ttl_us;
        let requested = over_at_store + granted_after_us;
        let second = AuthorityTerm::new(FencingToken::new(at(9)), requested, requested + response_delay_us, TIMES);
        prop_assert!(first_order(&second, requested) >= end(&first, sent_at_us) + TIMES.separation_us);
    }
}

fn fleet(prefill: usize, decode: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let stages = [("p", prefill, Stage::Prefill), ("d", decode, Stage::Decode)];
    for (name, count, stage) in stages {
        for number in 0..count {
            fleet.put(RunnerRecord {
                stage: Some(stage),
                ..runner_record(RunnerId::new(format!("{name}{number}")))
            });
        }
    }
    fleet
}

fn load(fleet: &mut Fleet, runner: &str, requests: usize, prefill_tokens: u64) {
    let demand = AttemptDemand { prefill_tokens, overdue_tokens: 0, held_tokens: 1_000 };
    (0..requests).for_each(|_| fleet.on_sent(&RunnerId::new(runner), demand));
}

fn plan_all(planner: &mut RolePlanner, fleet: &Fleet, now_us: u64) -> Vec<RoleChange> {
    let engine =
        EngineSpec { slots: 8, kv_tokens: 100_000, handle_ttl_s: 5.0, ..EngineSpec::default() };
    let service = ServiceName::new("llm");
    let demand = RoleDemand { service: &service, engine: &engine, target_ms: 500.0, region: None };
    planner.plan(fleet, &PrefillSpeed::default(), &demand, now_us).changes()
}

fn plan(planner: &mut RolePlanner, fleet: &Fleet, now_us: u64) -> Option<RoleChange> {
    plan_all(planner, fleet, now_us).into_iter().next()
}

#[test]
fn a_short_pressure_causes_no_role_change() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 4);
    load(&mut busy, "p0", 2, 60_000);
    assert_eq!(plan(&mut planner, &busy, SECOND_US), None);
    assert_eq!(plan(&mut planner, &fleet(1, 4), 2 * SECOND_US), None);
    assert_eq!(plan(&mut planner, &busy, 3 * SECOND_US), None, "the pressure began again");
}

#[test]
fn waiting_prompts_move_the_least_loaded_decode_runner_to_prefill() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 3);
    load(&mut busy, "p0", 2, 60_000);
    load(&mut busy, "d0", 2, 0);
    load(&mut busy, "d2", 1, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND_US), None);
    let change = plan(&mut planner, &busy, 4 * SECOND_US).unwrap();
    assert_eq!(change, RoleChange { runner: RunnerId::new("d1"), stage: Stage::Prefill });
    planner.on_ordered(4 * SECOND_US, OrderResult::Accepted);
    assert_eq!(plan(&mut planner, &busy, 7 * SECOND_US), None, "a pause follows each change");
}

#[test]
fn decode_keeps_the_runners_that_it_needs() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 2);
    load(&mut busy, "p0", 2, 60_000);
    load(&mut busy, "d0", 5, 0);
    load(&mut busy, "d1", 5, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND_US), None);
    assert_eq!(plan(&mut planner, &busy, 9 * SECOND_US), None);
    let mut last = fleet(1, 1);
    load(&mut last, "p0", 2, 60_000);
    assert_eq!(plan(&mut planner, &last, 20 * SECOND_US), None);
    assert_eq!(plan(&mut planner, &last, 30 * SECOND_US), None, "the last decode runner stays");
}

#[test]
fn a_strong_pressure_moves_several_idle_decode_runners_and_keeps_the_minimum() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(8, 12);
    (0..8).for_each(|number| load(&mut busy, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &busy, SECOND_US).is_empty());
    let changes = plan_all(&mut planner, &busy, 4 * SECOND_US);
    assert_eq!(changes.len(), 3, "at most 15 percent at once");
    assert!(changes.iter().all(|change| change.stage == Stage::Prefill));
    let mut nearly = fleet(14, 6);
    (0..14).for_each(|number| load(&mut nearly, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &nearly, 30 * SECOND_US).is_empty());
    assert!(plan_all(&mut planner, &nearly, 33 * SECOND_US).is_empty(), "30 percent keep decoding");
}

#[test]
fn a_prefill_runner_replaces_decode_runners_that_left() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let idle = fleet(7, 1);
    assert_eq!(plan(&mut planner, &idle, SECOND_US), None, "the runner may be back at once");
    assert_eq!(plan(&mut planner, &idle, 4 * SECOND_US).unwrap().stage, Stage::Decode);
    assert_eq!(plan(&mut planner, &fleet(5, 3), 8 * SECOND_US), None);
}

/// Guards against a single decode runner in a busy fleet: when one of two changed its role, the
/// other had 126 streams in 128 slots two seconds later.
#[test]
fn a_fleet_of_several_runners_keeps_two_decode_runners() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(4, 2);
    (0..4).for_each(|number| load(&mut busy, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &busy, SECOND_US).is_empty());
    assert!(plan_all(&mut planner, &busy, 4 * SECOND_US).is_empty());
}

#[test]
fn full_slots_take_a_prefill_runner_that_can_be_spared() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(2, 1);
    load(&mut busy, "d0", 8, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND_US), None);
    assert_eq!(plan(&mut planner, &busy, 4 * SECOND_US).unwrap().stage, Stage::Decode);
}

#[test]
fn a_fleet_that_lost_all_decode_runners_gets_one_at_once() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    assert_eq!(plan(&mut planner, &fleet(3, 0), SECOND_US).unwrap().stage, Stage::Decode);
}

/// Two runners end by their orders, so that no response arrives, and return in their former role after a while.
#[test]
fn a_region_whose_runners_end_by_their_orders_has_a_decode_runner_within_seconds() {
    const PLAN_INTERVAL_US: u64 = SECOND_US / 4;
    const RETURN_US: u64 = 3 * SECOND_US;
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut fleet = fleet(3, 0);
    let mut ended: Vec<(u64, RunnerRecord)> = Vec::new();
    let mut ordered = Vec::new();
    let mut accepted_us = None;
    for now_us in (0..20).map(|round| SECOND_US + round * PLAN_INTERVAL_US) {
        for (_, record) in ended.extract_if(.., |(at_us, _)| *at_us <= now_us) {
            let life = at(2 + ordered.len() as u64);
            fleet.remove(&record.id, life, None);
            fleet.put(RunnerRecord { revision: life, ..record });
        }
        let Some(change) = plan(&mut planner, &fleet, now_us) else { continue };
        assert_eq!(change.stage, Stage::Decode);
        let record = fleet.get(&change.runner).unwrap().record.clone();
        fleet.on_role_change_ordered(&change.runner, Stage::Decode, now_us + 6 * SECOND_US);
        ordered.push(change.runner);
        if ordered.len() > 2 {
            planner.on_ordered(now_us, OrderResult::Accepted);
            accepted_us = Some(now_us);
            break;
        }
        planner.on_ordered(now_us, OrderResult::Unconfirmed);
        ended.push((now_us + RETURN_US, record));
    }
    let after_first_us = accepted_us.map(|at_us| at_us - SECOND_US);
    assert!(
        after_first_us.is_some_and(|us| us <= 3 * SECOND_US),
        "{after_first_us:?}: {ordered:?}"
    );
}

#[test]
fn an_order_for_the_only_decode_runner_is_not_repeated_at_once() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let fleet = fleet(3, 0);
    assert!(plan(&mut planner, &fleet, SECOND_US).is_some());
    planner.on_ordered(SECOND_US, OrderResult::Unconfirmed);
    assert_eq!(plan(&mut planner, &fleet, SECOND_US + SECOND_US / 4), None);
    assert_eq!(plan(&mut planner, &fleet, SECOND_US + SECOND_US * 3 / 4), None);
}

#[test]
fn no_second_runner_changes_while_one_that_accepted_its_order_becomes_the_only_decode_runner() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut fleet = fleet(3, 0);
    let change = plan(&mut planner, &fleet, SECOND_US).unwrap();
    fleet.on_role_change_ordered(&change.runner, Stage::Decode, 7 * SECOND_US);
    planner.on_ordered(SECOND_US, OrderResult::Accepted);
    assert_eq!(plan(&mut planner, &fleet, 5 * SECOND_US), None);
}

#[test]
fn a_runner_that_ends_after_it_accepted_its_order_is_replaced_without_the_pause() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut fleet = fleet(3, 0);
    let change = plan(&mut planner, &fleet, SECOND_US).unwrap();
    fleet.on_role_change_ordered(&change.runner, Stage::Decode, 7 * SECOND_US);
    planner.on_ordered(SECOND_US, OrderResult::Accepted);
    fleet.remove(&change.runner, at(2), None);
    assert_eq!(plan(&mut planner, &fleet, 3 * SECOND_US).unwrap().stage, Stage::Decode);
}

#[test]
fn a_runner_that_changes_its_role_takes_no_work_until_its_entry_shows_it() {
    let mut fleet = fleet(1, 1);
    let id = RunnerId::new("d0");
    fleet.on_role_change_ordered(&id, Stage::Prefill, 10 * SECOND_US);
    let candidates = |fleet: &Fleet| {
        fleet.candidates(&Eligible::all_of(&ServiceName::new("llm")), SECOND_US).len()
    };
    assert_eq!(candidates(&fleet), 1);
    let changed = fleet.get(&id).unwrap().record.clone();
    fleet.put(RunnerRecord { stage: Some(Stage::Prefill), revision: at(2), ..changed });
    assert_eq!(candidates(&fleet), 2);
}

/// Guards against nodes that prolong a role change by repeating it to each other: three nodes kept
/// a runner out of work for a whole day in this way.
#[test]
fn role_changes_that_nodes_repeat_to_each_other_expire() {
    const REPORT_INTERVAL_US: u64 = 120_000;
    const DELAY_US: u64 = 5_000;
    let mut nodes = vec![fleet(1, 1), fleet(1, 1), fleet(1, 1)];
    let id = RunnerId::new("d0");
    nodes[0].on_role_change_ordered(&id, Stage::Prefill, 2 * SECOND_US);
    for round in 0..60 {
        let now_us = round * REPORT_INTERVAL_US;
        let reports: Vec<_> = nodes.iter().map(|node| node.role_transitions(now_us)).collect();
        for (from, report) in reports.iter().enumerate() {
            for (to, node) in nodes.iter_mut().enumerate() {
                if from != to {
                    node.on_role_transitions_reported(report, now_us + DELAY_US);
                }
            }
        }
    }
    for node in &nodes {
        assert!(!node.get(&id).unwrap().is_changing_role(3 * SECOND_US));
    }
}

#[test]
fn a_report_of_a_role_change_that_is_already_done_is_ignored() {
    let mut fleet = fleet(1, 1);
    let id = RunnerId::new("d0");
    let record = fleet.get(&id).unwrap().record.clone();
    fleet.put(RunnerRecord { stage: Some(Stage::Prefill), revision: at(2), ..record });
    fleet.on_role_change_ordered(&id, Stage::Prefill, 10 * SECOND_US);
    assert!(!fleet.get(&id).unwrap().is_changing_role(SECOND_US));
}

/// Runners of two versions: names begin with the version, then `p` for prefill and `d` for decode.
fn fleet_of_versions(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for name in names {
        let (version, role) = name.split_at(2);
        let stage = if role.starts_with('p') { Stage::Prefill } else { Stage::Decode };
        let record = runner_record(RunnerId::new(name));
        let version = SoftwareVersion::new(version);
        fleet.put(RunnerRecord { version, stage: Some(stage), ..record });
    }
    fleet
}

#[test]
fn waiting_prompts_do_not_take_the_last_decode_runner_of_a_version() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet_of_versions(&["v1p0", "v1d0", "v1d1", "v1d2", "v2d0"]);
    load(&mut busy, "v1p0", 2, 60_000);
    (0..3).for_each(|number| load(&mut busy, &format!("v1d{number}"), 1, 0));
    assert_eq!(plan(&mut planner, &busy, SECOND_US), None);
    let change = plan(&mut planner, &busy, 4 * SECOND_US).unwrap();
    assert_eq!(change.stage, Stage::Prefill);
    assert_ne!(change.runner, RunnerId::new("v2d0"));
}

#[test]
fn a_version_without_a_decode_runner_gets_one_at_once() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let fleet = fleet_of_versions(&["v1p0", "v1p1", "v1d0", "v1d1", "v1d2", "v2p0", "v2p1"]);
    let change = plan(&mut planner, &fleet, SECOND_US).unwrap();
    assert_eq!(change.stage, Stage::Decode);
    assert!(change.runner.as_str().starts_with("v2"), "{change:?}");
}

#[test]
fn a_single_runner_of_a_version_keeps_its_role() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let fleet = fleet_of_versions(&["v1p0", "v1p1", "v1d0", "v1d1", "v1d2", "v2p0"]);
    assert_eq!(plan(&mut planner, &fleet, 9 * SECOND_US), None);
}

#[test]
fn an_order_for_a_version_without_a_decode_runner_is_not_repeated_at_once() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let fleet = fleet_of_versions(&["v1p0", "v1p1", "v1d0", "v1d1", "v1d2", "v2p0", "v2p1"]);
    assert!(plan(&mut planner, &fleet, SECOND_US).is_some());
    planner.on_ordered(SECOND_US, OrderResult::Unconfirmed);
    assert_eq!(plan(&mut planner, &fleet, SECOND_US + SECOND_US / 4), None);
    assert!(plan(&mut planner, &fleet, 3 * SECOND_US).is_some(), "the runner may have refused");
}
