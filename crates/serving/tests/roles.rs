//! Authority over roles, and when roles change.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::authority::{AuthorityTerm, FencingToken, LeaseTimes};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RunnerId, ServiceName};
use pitchstall_serving::read_pace::ReadPace;
use pitchstall_serving::role_planner::{RoleChange, RoleDemand, RolePlanner, RolePolicy};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use proptest::prelude::*;
use support::{at, runner_record};

const SECOND: u64 = 1_000_000;
const TIMES: LeaseTimes = LeaseTimes { ttl_us: 3 * SECOND, separation_us: 3 * SECOND };

#[test]
fn a_new_holder_waits_before_its_first_order() {
    let mut term = AuthorityTerm::new(FencingToken::new(at(7)), 0, 10_000, TIMES);
    assert!(!term.may_order(10_000));
    term.renew(SECOND, TIMES);
    assert!(term.may_order(3 * SECOND + 10_000));
}

#[test]
fn a_holder_that_slept_wakes_without_authority() {
    let mut term = AuthorityTerm::new(FencingToken::new(at(7)), 0, 0, TIMES);
    term.renew(2 * SECOND, TIMES);
    assert!(term.may_order(4 * SECOND));
    assert!(!term.may_order(9 * SECOND));
    assert!(term.has_expired(9 * SECOND));
}

#[test]
fn a_renewal_counts_from_its_sending_and_never_shortens() {
    let mut term = AuthorityTerm::new(FencingToken::new(at(7)), 5 * SECOND, 5 * SECOND, TIMES);
    term.renew(4 * SECOND, TIMES);
    assert!(!term.has_expired(7 * SECOND));
}

const STEP_US: usize = 1_000;

/// When a term that began at a time is over, but for a step.
fn end(term: &AuthorityTerm, began_us: u64) -> u64 {
    let valid = (began_us..).step_by(STEP_US).take_while(|now| !term.has_expired(*now));
    valid.last().unwrap()
}

/// When orders may first be given in a term that was asked for at a time, or when it is over without any.
fn first_order(term: &AuthorityTerm, asked_us: u64) -> u64 {
    let is_first = |now: &u64| term.may_order(*now) || term.has_expired(*now);
    (asked_us..).step_by(STEP_US).find(is_first).unwrap()
}

proptest! {
    /// The key is not in the copy from which the store comes back, and the next holder takes it at once.
    #[test]
    fn orders_of_holders_of_two_eras_are_a_lease_apart(
        sent_at_us in 0_u64..10 * SECOND,
        way_us in 0_u64..2 * SECOND,
        came_back_after_us in 0_u64..SECOND,
        heard_after_us in 0_u64..SECOND,
        answer_us in 0_u64..2 * SECOND,
    ) {
        let first = AuthorityTerm::new(FencingToken::new(at(7)), sent_at_us, sent_at_us, TIMES);
        let heard = sent_at_us + way_us + came_back_after_us + heard_after_us;
        let second = AuthorityTerm::new(FencingToken::new(at(9)), heard, heard + answer_us, TIMES)
            .after_era_began(heard, TIMES);
        // It is renewed for as long as it takes.
        let mut renewed = second;
        renewed.renew(heard + 20 * SECOND, TIMES);
        prop_assert!(first_order(&renewed, heard) >= end(&first, sent_at_us) + TIMES.separation_us);
    }
}

proptest! {
    /// The store grants the key to the next holder no earlier than one lease after the last
    /// renewal arrived there. However long calls take, orders of the two are apart.
    #[test]
    fn orders_of_two_holders_are_a_lease_apart(
        sent_at_us in 0_u64..10 * SECOND,
        way_us in 0_u64..2 * SECOND,
        granted_after_us in 0_u64..SECOND,
        answer_us in 0_u64..2 * SECOND,
    ) {
        let first = AuthorityTerm::new(FencingToken::new(at(7)), sent_at_us, sent_at_us + way_us, TIMES);
        let over_at_store = sent_at_us + way_us + TIMES.ttl_us;
        let asked = over_at_store + granted_after_us;
        let second = AuthorityTerm::new(FencingToken::new(at(9)), asked, asked + answer_us, TIMES);
        prop_assert!(first_order(&second, asked) >= end(&first, sent_at_us) + TIMES.separation_us);
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

fn load(fleet: &mut Fleet, runner: &str, requests: usize, unread_tokens: u64) {
    let demand = AttemptDemand { unread_tokens, late_tokens: 0, held_tokens: 1_000 };
    (0..requests).for_each(|_| fleet.on_sent(&RunnerId::new(runner), demand));
}

fn plan_all(planner: &mut RolePlanner, fleet: &Fleet, now_us: u64) -> Vec<RoleChange> {
    let engine =
        EngineSpec { slots: 8, kv_tokens: 100_000, handle_ttl_s: 5.0, ..EngineSpec::default() };
    let service = ServiceName::new("llm");
    let demand = RoleDemand { service: &service, engine: &engine, target_ms: 500.0, region: None };
    planner.plan(fleet, &ReadPace::default(), &demand, now_us).changes()
}

fn plan(planner: &mut RolePlanner, fleet: &Fleet, now_us: u64) -> Option<RoleChange> {
    plan_all(planner, fleet, now_us).into_iter().next()
}

#[test]
fn a_pressure_that_passes_changes_nothing() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 4);
    load(&mut busy, "p0", 2, 60_000);
    assert_eq!(plan(&mut planner, &busy, SECOND), None);
    assert_eq!(plan(&mut planner, &fleet(1, 4), 2 * SECOND), None);
    assert_eq!(plan(&mut planner, &busy, 3 * SECOND), None, "it began anew");
}

#[test]
fn prompts_that_wait_make_the_idlest_decode_runner_read() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 3);
    load(&mut busy, "p0", 2, 60_000);
    load(&mut busy, "d0", 2, 0);
    load(&mut busy, "d2", 1, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND), None);
    let change = plan(&mut planner, &busy, 4 * SECOND).unwrap();
    assert_eq!(change, RoleChange { runner: RunnerId::new("d1"), stage: Stage::Prefill });
    planner.on_ordered(4 * SECOND);
    assert_eq!(plan(&mut planner, &busy, 7 * SECOND), None, "a pause follows each change");
}

#[test]
fn decode_keeps_the_runners_that_it_needs() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(1, 2);
    load(&mut busy, "p0", 2, 60_000);
    load(&mut busy, "d0", 5, 0);
    load(&mut busy, "d1", 5, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND), None);
    assert_eq!(plan(&mut planner, &busy, 9 * SECOND), None);
    let mut last = fleet(1, 1);
    load(&mut last, "p0", 2, 60_000);
    assert_eq!(plan(&mut planner, &last, 20 * SECOND), None);
    assert_eq!(plan(&mut planner, &last, 30 * SECOND), None, "the last one stays");
}

#[test]
fn a_strong_pressure_takes_several_idle_decode_runners_and_leaves_a_share() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(8, 12);
    (0..8).for_each(|number| load(&mut busy, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &busy, SECOND).is_empty());
    let changes = plan_all(&mut planner, &busy, 4 * SECOND);
    assert_eq!(changes.len(), 3, "most at once, 15 of 100");
    assert!(changes.iter().all(|change| change.stage == Stage::Prefill));
    let mut nearly = fleet(14, 6);
    (0..14).for_each(|number| load(&mut nearly, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &nearly, 30 * SECOND).is_empty());
    assert!(plan_all(&mut planner, &nearly, 33 * SECOND).is_empty(), "30 of 100 write");
}

#[test]
fn a_prefill_runner_replaces_decode_runners_that_left() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let idle = fleet(7, 1);
    assert_eq!(plan(&mut planner, &idle, SECOND), None, "it may be back at once");
    assert_eq!(plan(&mut planner, &idle, 4 * SECOND).unwrap().stage, Stage::Decode);
    assert_eq!(plan(&mut planner, &fleet(5, 3), 8 * SECOND), None);
}

/// Once one of two decode runners changed on a crowded day; the other had 126 streams in 128
/// slots two seconds later.
#[test]
fn one_decode_runner_of_several_runners_is_never_left_alone() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(4, 2);
    (0..4).for_each(|number| load(&mut busy, &format!("p{number}"), 4, 10_000));
    assert!(plan_all(&mut planner, &busy, SECOND).is_empty());
    assert!(plan_all(&mut planner, &busy, 4 * SECOND).is_empty());
}

#[test]
fn full_slots_take_a_prefill_runner_that_can_be_spared() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    let mut busy = fleet(2, 1);
    load(&mut busy, "d0", 8, 0);
    assert_eq!(plan(&mut planner, &busy, SECOND), None);
    assert_eq!(plan(&mut planner, &busy, 4 * SECOND).unwrap().stage, Stage::Decode);
}

#[test]
fn a_fleet_that_lost_all_decode_runners_gets_one_at_once() {
    let mut planner = RolePlanner::new(RolePolicy::default());
    assert_eq!(plan(&mut planner, &fleet(3, 0), SECOND).unwrap().stage, Stage::Decode);
}

#[test]
fn a_runner_that_changes_its_role_takes_no_work_until_the_list_tells() {
    let mut fleet = fleet(1, 1);
    let id = RunnerId::new("d0");
    fleet.on_changing(&id, Stage::Prefill, 10 * SECOND);
    let takers =
        |fleet: &Fleet| fleet.candidates(&Eligible::all_of(&ServiceName::new("llm")), SECOND).len();
    assert_eq!(takers(&fleet), 1);
    let changed = fleet.get(&id).unwrap().record.clone();
    fleet.put(RunnerRecord { stage: Some(Stage::Prefill), revision: at(2), ..changed });
    assert_eq!(takers(&fleet), 2);
}

/// Once three nodes kept a runner out of work for a whole day by telling each other.
#[test]
fn nodes_that_repeat_each_others_word_on_a_change_forget_it_in_time() {
    const EVERY_US: u64 = 120_000;
    const WAY_US: u64 = 5_000;
    let mut nodes = vec![fleet(1, 1), fleet(1, 1), fleet(1, 1)];
    let id = RunnerId::new("d0");
    nodes[0].on_changing(&id, Stage::Prefill, 2 * SECOND);
    for round in 0..60 {
        let now_us = round * EVERY_US;
        let words: Vec<_> = nodes.iter().map(|node| node.changing(now_us)).collect();
        for (from, told) in words.iter().enumerate() {
            for (to, node) in nodes.iter_mut().enumerate() {
                if from != to {
                    node.on_changing_words(told, now_us + WAY_US);
                }
            }
        }
    }
    for node in &nodes {
        assert!(!node.get(&id).unwrap().is_changing(3 * SECOND));
    }
}

#[test]
fn a_word_on_a_change_that_the_list_shows_done_is_passed_over() {
    let mut fleet = fleet(1, 1);
    let id = RunnerId::new("d0");
    let record = fleet.get(&id).unwrap().record.clone();
    fleet.put(RunnerRecord { stage: Some(Stage::Prefill), revision: at(2), ..record });
    fleet.on_changing(&id, Stage::Prefill, 10 * SECOND);
    assert!(!fleet.get(&id).unwrap().is_changing(SECOND));
}
