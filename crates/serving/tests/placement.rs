//! Tests of route lookup, traffic splitting, fleet updates and the choice of runners.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::attempt::{final_response, EndReason, Execution, FinalResponse};
use pitchstall_serving::configuration::{Configuration, RequestKind, Route, Share};
use pitchstall_serving::digest::{Digest, DigestStatus, DigestTracker};
use pitchstall_serving::fleet::{Eligible, EndedIncarnation, Fleet, FleetChange, Scope, Sender};
use pitchstall_serving::freshness::StoreFreshnessReport;
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::membership::Member;
use pitchstall_serving::placement::{
    choose_decode_runner, choose_least_occupied, plan_prefill, Demand, PrefillPlan,
};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::routing::TrafficSplitter;
use pitchstall_serving::runner::{AttemptDemand, LoadReport, RunnerRecord, Stage};
use pitchstall_serving::scheduling::{RunnerLoad, Shard};
use pitchstall_serving::topology::Topology;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use support::{at, runner_record};
use test_case::test_case;

const CACHE_TOKENS: u64 = 400_000;

fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| Share {
        service: ServiceName::new(service),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_target_ms: None,
        priority: 0,
        shares: shares.iter().map(share).collect(),
        max_attempts: 2,
        sticky: false,
        resumable: false,
        is_public: false,
    }
}

#[test_case("desk.example", "/a/x", Some("short"))]
#[test_case("DESK.example", "/a/b/x", Some("long"); "the longest prefix of the host")]
#[test_case("desk.example", "/ab/x", None; "a prefix ends with a slash")]
#[test_case("other.example", "/a/x", None; "another host")]
fn routes_are_found_by_host_and_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let routes = [route("short", "/a/", &[("s", 1)]), route("long", "/a/b/", &[("s", 1)])];
    let configuration =
        Configuration { routes: routes.into_iter().map(Rc::new).collect(), ..Default::default() };
    let found = configuration.routes.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn each_share_gets_its_weight_in_short_sequences() {
    let route = route("split", "/a/", &[("big", 90), ("small", 10), ("none", 0)]);
    let mut splitter = TrafficSplitter::default();
    for _ in 0..5 {
        let mut counts: HashMap<ServiceName, u32> = HashMap::new();
        (0..10)
            .for_each(|_| *counts.entry(splitter.next_service(&route).unwrap()).or_default() += 1);
        assert_eq!(counts[&ServiceName::new("big")], 9);
        assert_eq!(counts[&ServiceName::new("small")], 1);
    }
}

#[test_case(Execution::NotRun, EndReason::OutOfTime, FinalResponse::Refuse)]
#[test_case(Execution::NotRun, EndReason::NoRunner, FinalResponse::Refuse)]
#[test_case(Execution::NotRun, EndReason::LimitUsedUp { wait_ms: 300 }, FinalResponse::RefuseUntil { wait_ms: 300 })]
#[test_case(Execution::Unknown, EndReason::LimitUsedUp { wait_ms: 300 }, FinalResponse::BadGateway)]
#[test_case(Execution::Unknown, EndReason::Refused, FinalResponse::BadGateway)]
#[test_case(Execution::Unknown, EndReason::OutOfTime, FinalResponse::TimedOut)]
#[test_case(Execution::Ran, EndReason::NoRunner, FinalResponse::BadGateway)]
fn a_refusal_is_only_given_for_what_has_not_run(
    execution: Execution,
    reason: EndReason,
    expected: FinalResponse,
) {
    assert_eq!(final_response(execution, reason), expected);
}

/// The only shard of the region `coast`.
fn only_shard() -> Shard {
    Shard { region: RegionId::new("coast"), number: 0, of: 1 }
}

/// An empty fleet whose zones all belong to the region `coast`.
fn one_region() -> Fleet {
    let zones = ["north", "south", "east"].map(ZoneId::new);
    let coast = RegionId::new("coast");
    let topology = Topology::new(zones.into_iter().map(|zone| (zone, coast.clone())));
    Fleet::new(ZoneId::new("north"), topology)
}

fn record(id: &str, zone: &str, stage: Option<Stage>, revision: u64) -> RunnerRecord {
    RunnerRecord {
        zone: ZoneId::new(zone),
        stage,
        revision: at(revision),
        ..runner_record(RunnerId::new(id))
    }
}

#[test]
fn an_older_entry_is_ignored() {
    let mut fleet = one_region();
    let draining = RunnerRecord { draining: true, ..record("a", "north", None, 7) };
    assert_eq!(fleet.put(record("a", "north", None, 5)), FleetChange::Joined);
    assert_eq!(fleet.put(draining), FleetChange::Draining);
    assert_eq!(fleet.put(record("a", "north", None, 6)), FleetChange::Unchanged);
    assert!(!fleet.get(&RunnerId::new("a")).unwrap().accepts_work());
    assert_eq!(
        fleet.remove(&RunnerId::new("a"), at(6), None),
        FleetChange::Unchanged,
        "a removal older than the entry"
    );
    assert_eq!(fleet.remove(&RunnerId::new("a"), at(8), None), FleetChange::Removed);
}

#[test]
fn a_list_removes_missing_runners_unless_their_entries_are_newer() {
    let mut fleet = one_region();
    fleet.put(record("old", "north", None, 3));
    fleet.put(record("new", "north", None, 9));
    let gone = fleet.replace_all(vec![record("listed", "north", None, 4)], at(6), None);
    assert_eq!(gone, [EndedIncarnation { id: RunnerId::new("old"), was_leaving: false }]);
    assert!(fleet.get(&RunnerId::new("new")).is_some());
    assert!(fleet.get(&RunnerId::new("listed")).is_some());
}

struct Case {
    service: ServiceName,
    zone: ZoneId,
    prompt: Prompt,
    excluded: Vec<RunnerId>,
    zones: Option<BTreeSet<ZoneId>>,
}

impl Case {
    fn new(shared: u64, own: u64) -> Self {
        let parts = vec![PromptPart { id: 1, tokens: shared }, PromptPart { id: 2, tokens: own }];
        Self {
            service: ServiceName::new("llm"),
            zone: ZoneId::new("north"),
            prompt: Prompt { parts, tokens: shared + own, max_output_tokens: 10 },
            excluded: Vec::new(),
            zones: None,
        }
    }

    fn demand(&self) -> Demand<'_> {
        Demand {
            eligible: Eligible {
                sender: Sender::ThisNode,
                service: &self.service,
                excluded: &self.excluded,
                zones: self.zones.as_ref(),
                version: None,
                excluded_versions: &[],
                scope: Scope::AllRegions,
            },
            prompt: &self.prompt,
            zone: &self.zone,
            cache_tokens: CACHE_TOKENS,
            cross_region_ms_per_token: None,
            now_us: 1_000,
        }
    }
}

fn engines() -> Fleet {
    let mut fleet = one_region();
    for id in ["p1", "p2", "p3"] {
        fleet.put(record(id, "north", Some(Stage::Prefill), 1));
    }
    for id in ["d1", "d2"] {
        fleet.put(record(id, "north", Some(Stage::Decode), 1));
    }
    fleet
}

fn planned_runner(plan: Option<PrefillPlan>) -> String {
    match plan.unwrap() {
        PrefillPlan::Split(choice) => choice.runner.to_string(),
        PrefillPlan::Direct(choice) => format!("direct {}", choice.runner),
    }
}

#[test]
fn all_nodes_choose_the_same_home_and_avoid_it_when_it_is_busy() {
    let mut fleet = engines();
    let case = Case::new(10_000, 3_000);
    let speed = PrefillSpeed::default();
    let home = planned_runner(plan_prefill(&fleet, &speed, &case.demand()));
    assert_eq!(planned_runner(plan_prefill(&engines(), &speed, &case.demand())), home);
    // The scheduler reports a long prefill queue at the home.
    let load = RunnerLoad {
        runner: RunnerId::new(&home),
        in_flight: 3,
        pending_prefills: 3,
        prefill_tokens: 90_000,
        overdue_tokens: 0,
        held_tokens: 90_000,
        prefill_tokens_per_s: 0,
    };
    fleet.on_shard_loads(&only_shard(), &[load], 1_000);
    assert_ne!(planned_runner(plan_prefill(&fleet, &speed, &case.demand())), home);
    // Its next report contains no load.
    fleet.on_shard_loads(&only_shard(), &[], 1_000);
    assert_eq!(planned_runner(plan_prefill(&fleet, &speed, &case.demand())), home);
}

#[test]
fn a_shared_prefix_is_fetched_from_the_runner_that_holds_it() {
    let mut fleet = engines();
    let case = Case::new(10_000, 3_000);
    let speed = PrefillSpeed::default();
    let home = planned_runner(plan_prefill(&fleet, &speed, &case.demand()));
    let other = ["p1", "p2", "p3"].into_iter().find(|id| *id != home).unwrap();
    let held = case.prompt.shared_prefix();
    fleet.on_prefix_cached(&RunnerId::new(other), held, 1_000, CACHE_TOKENS);
    let Some(PrefillPlan::Split(choice)) = plan_prefill(&fleet, &speed, &case.demand()) else {
        unreachable!("prefill runners are idle")
    };
    assert_eq!(choice.demand.prefill_tokens, 3_000);
    if choice.runner.as_str() != other {
        assert_eq!(choice.fetch_from, Some(RunnerId::new(other)));
    }
}

#[test]
fn a_decode_runner_prefills_when_prefill_runners_are_busy() {
    let mut fleet = engines();
    let case = Case::new(0, 1_000);
    for id in ["p1", "p2", "p3"] {
        fleet.on_sent(
            &RunnerId::new(id),
            AttemptDemand { prefill_tokens: 200_000, overdue_tokens: 0, held_tokens: 200_000 },
        );
    }
    let plan = planned_runner(plan_prefill(&fleet, &PrefillSpeed::default(), &case.demand()));
    assert!(plan.starts_with("direct d"), "{plan}");
}

#[test]
fn without_decode_runners_there_is_no_prefill_plan() {
    let mut fleet = one_region();
    fleet.put(record("p1", "north", Some(Stage::Prefill), 1));
    let case = Case::new(0, 1_000);
    assert_eq!(plan_prefill(&fleet, &PrefillSpeed::default(), &case.demand()), None);
}

#[test]
fn the_decode_runner_is_in_the_zone_of_the_prefill_runner() {
    let mut fleet = one_region();
    for (id, zone) in [("d1", "north"), ("d2", "south"), ("d3", "east")] {
        fleet.put(record(id, zone, Some(Stage::Decode), 1));
    }
    let case = Case::new(0, 10_000);
    for (zone, expected) in [("north", "d1"), ("south", "d2"), ("east", "d3")] {
        let choice =
            choose_decode_runner(&fleet, &case.demand(), Some(&ZoneId::new(zone))).unwrap();
        assert_eq!(choice.runner.as_str(), expected);
    }
}

#[test]
fn the_least_occupied_runner_of_the_zone_is_chosen() {
    let mut fleet = one_region();
    fleet.put(record("near", "north", None, 1));
    fleet.put(record("far", "south", None, 1));
    let case = Case::new(0, 0);
    let chosen =
        |fleet: &Fleet| choose_least_occupied(fleet, &case.demand()).unwrap().runner.to_string();
    assert_eq!(chosen(&fleet), "near");
    fleet.on_load(&RunnerId::new("near"), LoadReport { running: 8, waiting: 4 }, 1_000);
    assert_eq!(chosen(&fleet), "far");
    fleet.on_unreachable(&RunnerId::new("far"), 1_000);
    assert_eq!(chosen(&fleet), "near", "an unreachable runner is ranked last");
}

/// Guards against all nodes of a large fleet choosing the same one of many idle runners.
#[test]
fn nodes_that_know_no_loads_spread_over_equal_runners() {
    const RUNNERS: usize = 60;
    const NODES: usize = 200;
    let case = Case::new(0, 0);
    let chosen_by = |node: usize| {
        let mut fleet = one_region();
        fleet.set_node(&NodeId::new(format!("node-{node}")));
        (0..RUNNERS).for_each(|number| {
            fleet.put(record(&format!("i-{number}"), "north", None, 1));
        });
        choose_least_occupied(&fleet, &case.demand()).unwrap().runner.to_string()
    };
    let mut choices: HashMap<String, usize> = HashMap::new();
    (0..NODES).for_each(|node| *choices.entry(chosen_by(node)).or_default() += 1);
    let busiest = choices.values().max().unwrap();
    assert!(choices.len() > RUNNERS / 2 && *busiest < NODES / 10, "{choices:?}");
    assert_eq!(chosen_by(7), chosen_by(7), "a node keeps its preference");
}

#[test]
fn an_unhealthy_runner_is_used_if_there_is_no_other() {
    let mut fleet = one_region();
    fleet.put(record("only", "north", None, 1));
    fleet.on_unreachable(&RunnerId::new("only"), 1_000);
    assert!(choose_least_occupied(&fleet, &Case::new(0, 0).demand()).is_some());
    fleet.on_misdirected(&RunnerId::new("only"));
    assert!(
        choose_least_occupied(&fleet, &Case::new(0, 0).demand()).is_none(),
        "another runner has its address"
    );
}

fn digest(incarnation: u64, sequence: u64) -> Digest {
    let node = NodeId::new("a");
    Digest {
        held_keepers: Vec::new(),
        limits: Vec::new(),
        is_stopping: false,
        node,
        incarnation,
        sequence,
        member: Member {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: ZoneId::new("north"),
            millicpus: 1_000,
        },
        store: StoreFreshnessReport::default(),
        changing: Vec::new(),
        wall_ms: 0,
    }
}

#[test]
fn a_digest_that_arrives_out_of_order_is_stale() {
    let mut order = DigestTracker::default();
    assert_eq!(order.on_digest(&digest(5, 1)), DigestStatus::NewIncarnation);
    assert_eq!(order.on_digest(&digest(5, 3)), DigestStatus::Newer);
    assert_eq!(order.on_digest(&digest(5, 2)), DigestStatus::Stale);
    assert_eq!(order.on_digest(&digest(5, 3)), DigestStatus::Stale, "a duplicated datagram");
    assert_eq!(
        order.on_digest(&digest(4, 1)),
        DigestStatus::NewIncarnation,
        "the node has restarted"
    );
}

#[test]
fn a_suspected_runner_is_probed_by_one_request_first() {
    let mut fleet = one_region();
    fleet.put(record("a", "north", None, 1));
    fleet.put(record("b", "south", None, 1));
    let a = RunnerId::new("a");
    fleet.on_unreachable(&a, 0);
    let much_later = 60_000_000;
    assert!(!fleet.get(&a).unwrap().is_avoided(much_later));
    fleet.on_sent(&a, AttemptDemand::default());
    assert!(fleet.get(&a).unwrap().is_avoided(much_later), "other requests wait for the probe");
    fleet.on_response(&a, false, much_later);
    assert!(!fleet.get(&a).unwrap().is_avoided(much_later));
}

#[test]
fn a_decode_runner_without_free_memory_is_avoided() {
    let mut fleet = one_region();
    fleet.put(record("d1", "north", Some(Stage::Decode), 1));
    fleet.put(record("d2", "south", Some(Stage::Decode), 1));
    let case = Case::new(0, 10_000);
    let chosen = |fleet: &Fleet| choose_decode_runner(fleet, &case.demand(), None).unwrap().runner;
    assert_eq!(chosen(&fleet), RunnerId::new("d1"));
    let demand = AttemptDemand { prefill_tokens: 0, overdue_tokens: 0, held_tokens: CACHE_TOKENS };
    fleet.on_sent(&RunnerId::new("d1"), demand);
    assert_eq!(chosen(&fleet), RunnerId::new("d2"));
    fleet.on_ended(&RunnerId::new("d1"), demand);
    assert_eq!(chosen(&fleet), RunnerId::new("d1"));
}

#[test]
fn a_failing_runner_is_avoided_and_retried_later() {
    let mut fleet = engines();
    let case = Case::new(10_000, 3_000);
    let speed = PrefillSpeed::default();
    let home = planned_runner(plan_prefill(&fleet, &speed, &case.demand()));
    for _ in 0..5 {
        fleet.on_response(&RunnerId::new(&home), true, 1_000);
    }
    assert_ne!(planned_runner(plan_prefill(&fleet, &speed, &case.demand())), home);
    let later = Demand { now_us: 60_000_000, ..case.demand() };
    assert_eq!(planned_runner(plan_prefill(&fleet, &speed, &later)), home);
}

#[test]
fn a_zone_excluded_by_policy_gets_no_request_even_if_idle() {
    let mut fleet = one_region();
    fleet.put(record("near", "north", None, 1));
    fleet.put(record("far", "south", None, 1));
    let mut case = Case::new(0, 0);
    case.zones = Some([ZoneId::new("south")].into());
    for _ in 0..50 {
        let choice = choose_least_occupied(&fleet, &case.demand()).unwrap();
        assert_eq!(choice.runner, RunnerId::new("far"));
        fleet.on_sent(&choice.runner, choice.demand);
    }
    case.excluded.push(RunnerId::new("far"));
    assert_eq!(
        choose_least_occupied(&fleet, &case.demand()),
        None,
        "no runner rather than one in an excluded zone"
    );
}

#[test]
fn load_reported_by_a_scheduler_decays_until_the_next_report() {
    let mut fleet = one_region();
    fleet.put(record("a", "north", None, 1));
    let id = RunnerId::new("a");
    let load = RunnerLoad {
        runner: id.clone(),
        in_flight: 4,
        pending_prefills: 1,
        prefill_tokens: 1_000,
        overdue_tokens: 0,
        held_tokens: 50,
        prefill_tokens_per_s: 0,
    };
    fleet.on_shard_loads(&only_shard(), &[load], 0);
    let runner = fleet.get(&id).unwrap();
    assert_eq!((runner.occupancy(0), runner.peer_prefill_tokens(0)), (4.0, 1_000));
    assert!(runner.occupancy(400_000) < 3.0 && runner.peer_prefill_tokens(400_000) < 600);
    assert_eq!((runner.occupancy(1_000_000), runner.peer_prefill_tokens(1_000_000)), (0.0, 0));
    assert_eq!(
        runner.total_held_tokens(1_000_000),
        50,
        "memory is released only when the run ends"
    );
}

/// A misdirected runner has to be used again after its entry has changed. Otherwise a runner that
/// changes its role while the registry is late gets no requests, which once lasted a whole day.
#[test]
fn a_misdirected_runner_is_used_again_after_a_newer_entry() {
    let mut fleet = one_region();
    let id = RunnerId::new("a");
    fleet.put(record("a", "north", Some(Stage::Decode), 3));
    fleet.on_misdirected(&id);
    assert_eq!(fleet.put(record("a", "north", Some(Stage::Decode), 3)), FleetChange::Unchanged);
    assert!(!fleet.get(&id).unwrap().accepts_work(), "the same entry arrives again");
    fleet.replace_all(vec![record("a", "north", Some(Stage::Prefill), 5)], at(6), None);
    assert!(fleet.get(&id).unwrap().accepts_work());
}
