//! Metrics that the role planner derives from a fleet, and its reasons for ordering nothing.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::reservations::{Reservation, Reservations, RunnerReservation};
use pitchstall_serving::role_planner::{
    NoChangeReason, OrderResult, RoleDemand, RolePlan, RolePlanner, RolePolicy,
};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use pitchstall_serving::runner_notice::{RequestRate, RunnerNotice};
use pitchstall_serving::scheduling::{RunnerLoad, Shard, Ticket};
use pitchstall_serving::topology::Topology;
use support::runner_record;

const SECOND_US: u64 = 1_000_000;
const SLOTS: u32 = 8;

/// The shard that holds all runners: their zone is a region of its own.
fn only_shard() -> Shard {
    Shard { region: RegionId::new("north"), number: 0, of: 1 }
}

fn fleet(prefill: usize, decode: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, count, stage) in [("p", prefill, Stage::Prefill), ("d", decode, Stage::Decode)] {
        for number in 0..count {
            fleet.put(RunnerRecord {
                slots: SLOTS,
                stage: Some(stage),
                ..runner_record(RunnerId::new(format!("{name}{number}")))
            });
        }
    }
    fleet
}

fn plan_roles(planner: &mut RolePlanner, fleet: &Fleet, now_us: u64) -> RolePlan {
    let engine =
        EngineSpec { slots: SLOTS, kv_tokens: 100_000, handle_ttl_s: 5.0, ..EngineSpec::default() };
    let service = ServiceName::new("llm");
    let demand = RoleDemand { service: &service, engine: &engine, target_ms: 500.0, region: None };
    planner.plan(fleet, &PrefillSpeed::default(), &demand, now_us)
}

fn planner() -> RolePlanner {
    RolePlanner::new(RolePolicy::default())
}

fn reserved(runner: &str, prefill_tokens: u64) -> RunnerReservation {
    let demand = AttemptDemand { prefill_tokens, overdue_tokens: 0, held_tokens: 100 };
    RunnerReservation { runner: RunnerId::new(runner), demand }
}

/// Reserves a place at a decode runner before the prompt is prefilled at another runner.
fn reserve(fleet: &mut Fleet, reservations: &mut Reservations, number: u64, decode_runner: &str) {
    let reservation = Reservation {
        service: ServiceName::new("llm"),
        prefill: reserved("p0", 3_000),
        decode: Some(reserved(decode_runner, 0)),
        shared_prefix: Vec::new(),
        was_unqueued: false,
        deadline_us: 9 * SECOND_US,
        is_prefilled: false,
    };
    reservations.reserve(fleet, Ticket { incarnation: 1, number }, reservation);
}

/// Guards against decode runners that look full because of requests whose prompts no runner has
/// prefilled yet. Then no runner changes its role although prefill is short; a third of the
/// requests failed in that state.
#[test]
fn requests_that_await_prefill_do_not_occupy_decode_runners() {
    let mut scheduler = fleet(1, 3);
    let mut reservations = Reservations::default();
    for number in 0..24 {
        let decode_runner = format!("d{}", number % 3);
        reserve(&mut scheduler, &mut reservations, number, &decode_runner);
    }
    let mut holder = fleet(1, 3);
    holder.on_shard_loads(
        &only_shard(),
        &scheduler.shard_loads(&only_shard(), SECOND_US),
        SECOND_US,
    );
    for fleet in [&scheduler, &holder] {
        let mut planner = planner();
        let first = plan_roles(&mut planner, fleet, SECOND_US);
        assert_eq!(first.decision, Err(NoChangeReason::PressureTooRecent));
        assert!(
            first.metrics.occupancy < 0.01 && first.metrics.memory < 0.01,
            "{:?}",
            first.metrics
        );
    }
    // After prefill, the requests occupy their decode runners.
    for number in 0..24 {
        reservations.on_prefilled(&mut scheduler, Ticket { incarnation: 1, number });
    }
    let prefilled = plan_roles(&mut planner(), &scheduler, SECOND_US).metrics;
    assert!(prefilled.occupancy > 0.99 && prefilled.wait < 0.01, "{prefilled:?}");
}

#[test]
fn a_request_that_ends_before_prefill_leaves_no_load_behind() {
    let mut fleet = fleet(1, 1);
    let mut reservations = Reservations::default();
    reserve(&mut fleet, &mut reservations, 1, "d0");
    reserve(&mut fleet, &mut reservations, 2, "d0");
    reservations.end(&mut fleet, Ticket { incarnation: 1, number: 1 });
    let loads = fleet.shard_loads(&only_shard(), SECOND_US);
    assert!(loads.iter().all(|load| (load.in_flight, load.pending_prefills) == (1, 1)));
    reservations.on_prefilled(&mut fleet, Ticket { incarnation: 1, number: 2 });
    reservations.end(&mut fleet, Ticket { incarnation: 1, number: 2 });
    assert!(fleet.shard_loads(&only_shard(), SECOND_US).is_empty());
}

#[test]
fn overdue_work_of_other_schedulers_counts_as_waiting() {
    let mut holder = fleet(1, 3);
    let load = RunnerLoad {
        runner: RunnerId::new("p0"),
        in_flight: 40,
        pending_prefills: 40,
        prefill_tokens: 0,
        overdue_tokens: 120_000,
        held_tokens: 0,
        prefill_tokens_per_s: 0,
    };
    holder.on_shard_loads(&only_shard(), &[load], SECOND_US);
    let seen = plan_roles(&mut planner(), &holder, SECOND_US).metrics;
    assert!(seen.overdue_wait > 1.0 && seen.wait >= seen.overdue_wait, "{seen:?}");
}

#[test]
fn requests_in_decode_do_not_count_as_waiting_prompts() {
    let mut fleet = fleet(1, 3);
    let decode_demand = AttemptDemand { held_tokens: 100, ..AttemptDemand::default() };
    (0..10).for_each(|_| fleet.on_sent(&RunnerId::new("d0"), decode_demand));
    let mut holder = self::fleet(1, 3);
    holder.on_shard_loads(&only_shard(), &fleet.shard_loads(&only_shard(), SECOND_US), SECOND_US);
    let plan = plan_roles(&mut planner(), &holder, SECOND_US);
    assert_eq!(plan.decision, Err(NoChangeReason::NoPressure));
    assert!(plan.metrics.wait < 0.01, "{:?}", plan.metrics);
}

#[test]
fn as_many_prefill_runners_are_ordered_as_the_requested_work_needs() {
    let mut fleet = fleet(4, 26);
    // 200,000 tokens per second at 30 tokens per millisecond: 6.7 fully utilized prefill runners.
    for number in 0..4 {
        let id = RunnerId::new(format!("p{number}"));
        fleet.on_placed(&id, 50_000, SECOND_US);
        let prefill_demand = AttemptDemand { prefill_tokens: 20_000, ..AttemptDemand::default() };
        fleet.on_sent(&id, prefill_demand);
    }
    let mut planner = planner();
    assert_eq!(
        plan_roles(&mut planner, &fleet, SECOND_US).decision,
        Err(NoChangeReason::PressureTooRecent)
    );
    fleet.on_placed(&RunnerId::new("p0"), 126_000, 2 * SECOND_US);
    let plan = plan_roles(&mut planner, &fleet, 2 * SECOND_US);
    assert!((6.0..7.5).contains(&plan.metrics.prefill_needed), "{:?}", plan.metrics);
    assert_eq!(plan.changes().len(), 6, "10 prefill runners are utilized to 70 percent");
}

#[test]
fn prefill_runners_that_come_back_as_decode_runners_are_replaced_at_once() {
    let mut planner = planner();
    assert!(plan_roles(&mut planner, &fleet(8, 12), SECOND_US).decision.is_err());
    let mut replaced = fleet(3, 17);
    for number in 0..3 {
        let id = RunnerId::new(format!("p{number}"));
        replaced.on_placed(&id, 60_000, 2 * SECOND_US);
        let prefill_demand = AttemptDemand { prefill_tokens: 60_000, ..AttemptDemand::default() };
        replaced.on_sent(&id, prefill_demand);
    }
    assert!(!plan_roles(&mut planner, &replaced, 2 * SECOND_US).changes().is_empty());
}

#[test]
fn each_situation_without_an_order_gives_its_own_reason() {
    let mut planner = planner();
    let mut busy = fleet(1, 2);
    let prefill_demand = AttemptDemand { prefill_tokens: 60_000, ..AttemptDemand::default() };
    let decode_demand = AttemptDemand { held_tokens: 100, ..AttemptDemand::default() };
    busy.on_sent(&RunnerId::new("p0"), prefill_demand);
    let reason = |plan: RolePlan| plan.decision.unwrap_err();
    assert_eq!(reason(plan_roles(&mut planner, &fleet(1, 2), 0)), NoChangeReason::NoPressure);
    assert_eq!(
        reason(plan_roles(&mut planner, &busy, SECOND_US)),
        NoChangeReason::PressureTooRecent
    );
    planner.on_ordered(2 * SECOND_US, OrderResult::Accepted);
    assert_eq!(reason(plan_roles(&mut planner, &busy, 3 * SECOND_US)), NoChangeReason::Paused);
    ["d0", "d1"].iter().for_each(|id| {
        (0..5).for_each(|_| busy.on_sent(&RunnerId::new(*id), decode_demand));
    });
    assert_eq!(
        reason(plan_roles(&mut planner, &busy, 9 * SECOND_US)),
        NoChangeReason::NoSpareDecode
    );
    let mut last = fleet(1, 1);
    last.on_sent(&RunnerId::new("p0"), prefill_demand);
    assert_eq!(
        reason(plan_roles(&mut planner, &last, 9 * SECOND_US)),
        NoChangeReason::MinDecodeReached
    );
    let mut full = fleet(1, 1);
    (0..SLOTS).for_each(|_| full.on_sent(&RunnerId::new("d0"), decode_demand));
    assert_eq!(reason(plan_roles(&mut planner, &full, 9 * SECOND_US)), NoChangeReason::PrefillBusy);
}

#[test]
fn runners_of_another_region_are_neither_counted_nor_ordered() {
    let zones = [("north", "here"), ("south", "there")];
    let zones = zones.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region)));
    let mut fleet = Fleet::new(ZoneId::new("north"), Topology::new(zones));
    for number in 0..6 {
        let (zone, stage) = match number {
            0 | 1 => ("north", Stage::Prefill),
            2 => ("south", Stage::Prefill),
            _ => ("south", Stage::Decode),
        };
        let record = self::fleet(1, 0).get(&RunnerId::new("p0")).unwrap().record.clone();
        let id = RunnerId::new(format!("i-{number}"));
        fleet.put(RunnerRecord { id, zone: ZoneId::new(zone), stage: Some(stage), ..record });
    }
    let here = RegionId::new("here");
    let engine =
        EngineSpec { slots: SLOTS, kv_tokens: 100_000, handle_ttl_s: 5.0, ..EngineSpec::default() };
    let service = ServiceName::new("llm");
    let region = Some(&here);
    let demand = RoleDemand { service: &service, engine: &engine, target_ms: 500.0, region };
    let plan = planner().plan(&fleet, &PrefillSpeed::default(), &demand, SECOND_US);
    assert_eq!((plan.metrics.prefill, plan.metrics.decode), (2, 0));
    let changes = plan.changes();
    assert_eq!(changes.len(), 1, "a region without decode runners gets one of its own");
    assert!(["i-0", "i-1"].contains(&changes[0].runner.as_str()));
}

/// Guards against a lasting overload of decode: five of thirty runners held streams in twice their
/// slots for ten seconds, because prompts waited a little at prefill runners that the requested
/// work did not fill.
#[test]
fn decode_much_fuller_than_prefill_gets_runners_though_prompts_wait_a_little() {
    let mut busy = fleet(22, 5);
    let decode_demand = AttemptDemand { held_tokens: 100, ..AttemptDemand::default() };
    for number in 0..5 {
        let id = RunnerId::new(format!("d{number}"));
        (0..2 * SLOTS).for_each(|_| busy.on_sent(&id, decode_demand));
    }
    for number in 0..22 {
        let id = RunnerId::new(format!("p{number}"));
        let prefill_demand = AttemptDemand { prefill_tokens: 5_000, ..AttemptDemand::default() };
        busy.on_sent(&id, prefill_demand);
        // Half of the prefill runners' time at 30 tokens per millisecond.
        busy.on_placed(&id, 15_000, SECOND_US);
        busy.on_placed(&id, 15_000, 2 * SECOND_US);
    }
    let mut planner = planner();
    let first = plan_roles(&mut planner, &busy, SECOND_US);
    assert!(first.metrics.wait > RolePolicy::default().high_wait, "{:?}", first.metrics);
    assert_eq!(first.decision, Err(NoChangeReason::PressureTooRecent));
    let changes = plan_roles(&mut planner, &busy, 2 * SECOND_US).changes();
    assert!((2..=5).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|change| change.stage == Stage::Decode));
}

/// The planner would otherwise wait for work that such runners do not take, and its orders to them
/// would be withheld.
#[test]
fn runners_with_limits_are_neither_counted_nor_ordered() {
    let mut fleet = fleet(6, 3);
    let limit = Some(RequestRate(2_500_000));
    for name in ["d0", "d1", "p0"] {
        let notice = RunnerNotice { limit, ..RunnerNotice::default() };
        fleet.on_limit_in_response(&RunnerId::new(name), notice, 1, 2);
    }
    let mut planner = planner();
    let first = plan_roles(&mut planner, &fleet, SECOND_US);
    assert_eq!((first.metrics.prefill, first.metrics.decode), (5, 1));
    let changes = plan_roles(&mut planner, &fleet, 3 * SECOND_US).decision.unwrap();
    assert!(!changes.is_empty(), "one decode runner is too few");
    for change in &changes {
        assert_eq!(change.stage, Stage::Decode);
        assert_ne!(change.runner.as_str(), "p0", "it accepts no orders");
    }
}

#[test]
fn runners_with_limits_count_if_there_are_no_others() {
    let mut fleet = fleet(2, 2);
    let notice = RunnerNotice { limit: Some(RequestRate(1)), ..RunnerNotice::default() };
    for name in ["p0", "p1", "d0", "d1"] {
        fleet.on_limit_in_response(&RunnerId::new(name), notice, 1, 2);
    }
    let seen = plan_roles(&mut planner(), &fleet, SECOND_US).metrics;
    assert_eq!((seen.prefill, seen.decode), (2, 2));
}
