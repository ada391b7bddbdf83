//! Tests of how regions partition the fleet, and when a request leaves its region.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::digest::DigestRotation;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::placement::{choose_least_occupied, Demand, PrefillPlan, RunnerChoice};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::prefix::{rendezvous_weight, Prompt, PromptPart};
use pitchstall_serving::regions::{
    service_load, LocalPlacement, RegionBacklogs, RegionLoads, ServiceLoad,
};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use pitchstall_serving::scheduler::{
    choose_decode_runner_in_any_region, choose_placement, preferred_remote_region,
    PlacementDecision, ResponseTarget,
};
use pitchstall_serving::scheduling::{CrossRegionReason, Shard};
use pitchstall_serving::topology::Topology;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::runner_record;

const SECOND: u64 = 1_000_000;
const DUE: ResponseTarget = ResponseTarget { target_ms: 500.0, elapsed_ms: 0.0 };

/// Zones `w-1`, `w-2`, `e-1` and `e-2` of the regions `w` and `e`.
fn two_regions() -> Topology {
    regions(2, 2)
}

/// A topology of so many regions with so many zones each.
fn regions(regions: usize, zones: usize) -> Topology {
    let names = ["w", "e", "n", "s", "a", "b", "c", "d"];
    let zone = move |region: &'static str| {
        (1..=zones).map(move |zone| (ZoneId::new(format!("{region}-{zone}")), region))
    };
    let zones = names.into_iter().take(regions).flat_map(zone);
    Topology::new(zones.map(|(zone, region)| (zone, RegionId::new(region))))
}

fn record(id: &str, zone: &str, stage: Option<Stage>) -> RunnerRecord {
    RunnerRecord { zone: ZoneId::new(zone), stage, ..runner_record(RunnerId::new(id)) }
}

/// Two prefill and two decode runners in each zone, seen by a node in `w-1`.
fn fleet(topology: &Topology) -> Fleet {
    let mut fleet = Fleet::new(ZoneId::new("w-1"), topology.clone());
    for (zone, _) in topology.zones() {
        for number in 0..2 {
            let prefill =
                record(&format!("p-{zone}-{number}"), zone.as_str(), Some(Stage::Prefill));
            let decode = record(&format!("d-{zone}-{number}"), zone.as_str(), Some(Stage::Decode));
            fleet.put(prefill);
            fleet.put(decode);
        }
    }
    fleet
}

struct Case {
    service: ServiceName,
    zone: ZoneId,
    prompt: Prompt,
}

impl Case {
    fn from(zone: &str) -> Self {
        let parts = vec![PromptPart { id: 1, tokens: 8_000 }, PromptPart { id: 2, tokens: 2_000 }];
        Self {
            service: ServiceName::new("llm"),
            zone: ZoneId::new(zone),
            prompt: Prompt { parts, tokens: 10_000, max_output_tokens: 10 },
        }
    }

    fn demand(&self) -> Demand<'_> {
        Demand {
            eligible: Eligible::all_of(&self.service),
            prompt: &self.prompt,
            zone: &self.zone,
            cache_tokens: 400_000,
            cross_region_ms_per_token: None,
            now_us: SECOND,
        }
    }

    fn placed(&self, fleet: &Fleet, shard: Option<&Shard>) -> PlacementDecision {
        choose_placement(fleet, &PrefillSpeed::default(), &self.demand(), shard, DUE)
    }
}

fn region_of(fleet: &Fleet, choice: &RunnerChoice) -> String {
    fleet.get(&choice.runner).unwrap().region.to_string()
}

fn read_load(tokens: u64) -> AttemptDemand {
    AttemptDemand { prefill_tokens: tokens, overdue_tokens: 0, held_tokens: 0 }
}

#[test]
fn an_unconfigured_zone_is_a_region_of_its_own() {
    let topology = two_regions();
    let unknown = ZoneId::new("elsewhere");
    assert_eq!(topology.region_of(&unknown), RegionId::new("elsewhere"));
    assert!(topology.is_in(&unknown, &RegionId::new("elsewhere")));
    assert!(!topology.is_same_region(&unknown, &ZoneId::new("w-1")));
    assert!(topology.is_same_region(&ZoneId::new("w-2"), &ZoneId::new("w-1")));
    let mut fleet = fleet(&topology);
    fleet.put(record("p-lost", "elsewhere", Some(Stage::Prefill)));
    fleet.put(record("d-lost", "elsewhere", Some(Stage::Decode)));
    let placed = Case::from("elsewhere").placed(&fleet, None);
    assert_eq!(placed.prefill_choice().unwrap().runner, RunnerId::new("p-lost"));
}

#[test]
fn a_new_topology_moves_runners_and_nodes_to_their_new_regions() {
    let mut fleet = fleet(&two_regions());
    assert_eq!(fleet.regions().len(), 2);
    let all = two_regions();
    let one = Topology::new(all.zones().map(|(zone, _)| (zone.clone(), RegionId::new("all"))));
    fleet.set_topology(one.clone());
    assert_eq!(fleet.regions(), [RegionId::new("all")].into());
    let mut seen = membership(&all, 8, 0);
    assert_eq!(seen.count_in(&RegionId::new("w")), 4);
    seen.set_topology(one);
    assert_eq!(seen.count_in(&RegionId::new("all")), 8);
}

/// Nodes distributed over the zones in turn, as seen by the node `own`. In each ten, as many nodes
/// as there are zones are strong.
fn membership(topology: &Topology, nodes: usize, own: usize) -> Membership {
    let zones: Vec<ZoneId> = topology.zones().map(|(zone, _)| zone.clone()).collect();
    let name = |number: usize| NodeId::new(format!("node-{number}"));
    let member = |number: usize| Member {
        address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000)),
        zone: zones[number % zones.len()].clone(),
        millicpus: if number % 10 < zones.len() { 500 } else { 120 },
    };
    let mut seen = Membership::new(name(own), member(own), topology.clone());
    (0..nodes).for_each(|number| seen.upsert(&name(number), &member(number)));
    seen
}

#[test]
fn eight_regions_with_thirty_one_zones_each_schedule_their_own_shards() {
    let all = regions(8, 4);
    let topology =
        Topology::new(all.zones().take(31).map(|(zone, region)| (zone.clone(), region.clone())));
    const NODES: usize = 330;
    let seen = membership(&topology, NODES, 5);
    assert_eq!(seen.regions().len(), 8);
    assert_eq!(seen.store_reader_count(), 16);
    let mut nodes = 0;
    for region in seen.regions() {
        nodes += seen.count_in(&region);
        for shard in seen.shards_of(region.clone()) {
            assert_eq!(shard.of, if seen.count_in(&region) > 40 { 2 } else { 1 });
            let Some((scheduler, _)) = seen.scheduler(&shard, |_| true) else {
                assert_eq!(region, seen.own_region());
                continue;
            };
            assert!(topology.is_in(seen.zone_of(scheduler).unwrap(), &region));
            let other = membership(&topology, NODES, 77);
            let found = other.scheduler(&shard, |_| true).map(|(name, _)| name.clone());
            assert!(found.is_none() || found.as_ref() == Some(scheduler));
        }
    }
    assert_eq!(nodes, NODES);
}

#[test]
fn a_region_has_two_mirrors_in_different_zones_that_are_followed_first() {
    let topology = regions(3, 2);
    let views: Vec<Membership> = (0..91).map(|own| membership(&topology, 91, own)).collect();
    let mirrors: Vec<&Membership> = views.iter().filter(|view| view.is_store_reader()).collect();
    let zones: Vec<&ZoneId> = mirrors.iter().map(|view| &view.own().zone).collect();
    assert_eq!(zones.len(), 6);
    assert!(topology.zones().all(|(zone, _)| zones.contains(&zone)), "{zones:?}");
    for view in views.iter().filter(|view| !view.is_store_reader()) {
        let near = view.other_store_readers_in(&view.own_region());
        assert_eq!(near.len(), 2);
        let sources = view.sources();
        assert_eq!(sources.len(), 6);
        assert!(sources[..2].iter().all(|source| near.contains(source)));
        let first = mirrors.iter().find(|mirror| mirror.own().address == sources[0]).unwrap();
        assert_eq!(first.own().zone, view.own().zone, "the mirror in its own zone comes first");
    }
}

#[test]
fn a_region_with_one_zone_has_two_mirrors_there() {
    let topology = regions(4, 1);
    let views = (0..40).map(|own| membership(&topology, 40, own));
    let mirrors: Vec<Membership> = views.filter(Membership::is_store_reader).collect();
    assert_eq!(mirrors.len(), 8);
    let seen = membership(&topology, 40, 0);
    assert_ne!(seen.own_region(), RegionId::new("w"));
    assert_eq!(seen.other_store_readers_in(&RegionId::new("w")).len(), 2);
}

#[test]
fn a_region_without_nodes_is_scheduled_by_another_region() {
    let topology = two_regions();
    let mut seen = membership(&topology, 40, 6);
    assert_eq!(seen.own_region(), RegionId::new("w"));
    let of_east: Vec<NodeId> = seen
        .names()
        .filter(|name| topology.is_in(seen.zone_of(name).unwrap(), &RegionId::new("e")))
        .cloned()
        .collect();
    seen.retain(|name| !of_east.contains(name));
    let east = RegionId::new("e");
    assert_eq!(seen.count_in(&east), 0);
    let shards: Vec<Shard> = seen.shards_of(east).collect();
    assert_eq!(shards.len(), 1);
    let (scheduler, _) = seen.scheduler(&shards[0], |_| true).unwrap();
    assert!(!of_east.contains(scheduler));
}

/// The shard number that nodes computed before regions were introduced.
fn number_without_regions(runner: &RunnerId, of: usize) -> usize {
    (rendezvous_weight("shard", runner.as_str()) % of as u64) as usize
}

proptest! {
    #[test]
    fn a_single_region_has_the_same_shards_and_schedulers_as_without_regions(
        nodes in 1_usize..200,
        zones in 1_usize..6,
        runners in proptest::collection::vec("[a-z]{1,8}", 1..40),
    ) {
        let topology = regions(1, zones);
        let seen = membership(&topology, nodes, 0);
        let of = nodes.div_ceil(40);
        let region = RegionId::new("w");
        let shards: Vec<Shard> = seen.shards_of(region.clone()).collect();
        prop_assert_eq!(shards.len(), of);
        let mut fleet = Fleet::new(ZoneId::new("w-1"), topology);
        for (number, id) in runners.iter().enumerate() {
            let zone = format!("w-{}", number % zones + 1);
            fleet.put(record(id, &zone, Some(Stage::Decode)));
        }
        for runner in fleet.iter() {
            let shard = Shard::of_runner(runner, of);
            prop_assert_eq!(shard.number, number_without_regions(&runner.record.id, of));
            prop_assert!(shards.iter().all(|other| other.contains(runner) == (*other == shard)));
        }
        for shard in &shards {
            let key = format!("scheduler/{}", shard.number);
            let rank = |number: &usize| {
                let strong = number % 10 < zones;
                (strong, rendezvous_weight(&key, &format!("node-{number}")))
            };
            let expected = (0..nodes).max_by_key(rank).unwrap();
            let found = seen.scheduler(shard, |_| true).map(|(name, _)| name.to_string());
            prop_assert_eq!(found.unwrap_or("node-0".to_owned()), format!("node-{expected}"));
        }
    }
}

#[test]
fn prefill_and_decode_run_in_the_region_of_the_request() {
    let fleet = fleet(&regions(3, 2));
    for (zone, region) in [("w-1", "w"), ("e-2", "e"), ("n-1", "n")] {
        let placed = Case::from(zone).placed(&fleet, None);
        assert!(matches!(placed.prefill, Some(PrefillPlan::Split(_))));
        assert_eq!(region_of(&fleet, placed.prefill_choice().unwrap()), region);
        assert_eq!(region_of(&fleet, placed.decode.as_ref().unwrap()), region);
    }
}

#[test]
fn an_isolated_region_serves_with_its_own_runners() {
    let mut fleet = fleet(&two_regions());
    let far: Vec<RunnerId> = fleet
        .iter()
        .filter(|runner| runner.region == RegionId::new("e"))
        .map(|runner| runner.record.id.clone())
        .collect();
    far.iter().for_each(|id| fleet.on_unreachable(id, SECOND));
    let case = Case::from("w-1");
    let placed = case.placed(&fleet, None);
    assert_eq!(region_of(&fleet, placed.prefill_choice().unwrap()), "w");
    let own = RegionId::new("w");
    let none = RegionBacklogs::default();
    assert_eq!(preferred_remote_region(&fleet, &none, &case.demand(), &own, &placed, DUE), None);
}

#[test]
fn a_region_without_reachable_runners_is_ranked_last_after_the_nearest() {
    let topology = regions(3, 1);
    let mut fleet = fleet(&topology);
    fleet.on_round_trip(&ZoneId::new("n-1"), 20.0, SECOND);
    let case = Case::from("w-1");
    for id in ["p-w-1-0", "p-w-1-1", "d-w-1-0", "d-w-1-1"] {
        fleet.on_unreachable(&RunnerId::new(id), SECOND);
    }
    let placed = case.placed(&fleet, None);
    assert_eq!(region_of(&fleet, placed.prefill_choice().unwrap()), "n");
    assert_eq!(region_of(&fleet, placed.decode.as_ref().unwrap()), "n");
    let own = RegionId::new("w");
    let none = RegionBacklogs::default();
    let left = preferred_remote_region(&fleet, &none, &case.demand(), &own, &placed, DUE).unwrap();
    assert_eq!((left.region.as_str(), left.reason), ("n", CrossRegionReason::NoRunner));
    let far: Vec<RunnerId> = fleet.iter().map(|runner| runner.record.id.clone()).collect();
    far.iter().for_each(|id| fleet.on_unreachable(id, SECOND));
    let placed = case.placed(&fleet, None);
    assert_eq!(
        region_of(&fleet, placed.prefill_choice().unwrap()),
        "w",
        "no other region is reachable"
    );
}

#[test]
fn decode_stays_in_the_region_of_the_prefill_if_it_has_decode_runners() {
    let mut fleet = fleet(&regions(2, 1));
    let case = Case::from("w-1");
    let decode_region = |fleet: &Fleet, source: &str| {
        let source = ZoneId::new(source);
        region_of(
            fleet,
            &choose_decode_runner_in_any_region(fleet, &case.demand(), Some(&source)).unwrap(),
        )
    };
    assert_eq!(decode_region(&fleet, "e-1"), "e");
    for id in ["d-e-1-0", "d-e-1-1"] {
        fleet.on_misdirected(&RunnerId::new(id));
    }
    assert_eq!(decode_region(&fleet, "e-1"), "w");
}

#[test]
fn a_plain_service_uses_another_region_only_if_its_own_is_full() {
    let mut fleet = Fleet::new(ZoneId::new("w-1"), two_regions());
    for zone in ["w-1", "w-2", "e-1", "e-2"] {
        fleet.put(record(zone, zone, None));
    }
    let case = Case::from("w-1");
    let mut taken: BTreeMap<RunnerId, u32> = BTreeMap::new();
    for _ in 0..40 {
        let choice = choose_least_occupied(&fleet, &case.demand()).unwrap();
        fleet.on_sent(&choice.runner, choice.demand);
        *taken.entry(choice.runner).or_default() += 1;
    }
    assert!(taken.keys().all(|id| id.as_str().starts_with('w')), "{taken:?}");
    assert!(taken.values().all(|count| *count >= 18), "{taken:?}");
    for _ in 0..40 {
        let choice = choose_least_occupied(&fleet, &case.demand()).unwrap();
        fleet.on_sent(&choice.runner, choice.demand);
        *taken.entry(choice.runner).or_default() += 1;
    }
    assert!(taken.keys().any(|id| id.as_str().starts_with('e')), "{taken:?}");
}

fn loads(region: &str, wait_ms: f64) -> RegionLoads {
    let load = ServiceLoad {
        service: ServiceName::new("llm"),
        prefill_runners: 4,
        wait_us: (wait_ms * 1_000.0) as u64,
        occupancy: 300,
    };
    RegionLoads { region: RegionId::new(region), services: vec![load] }
}

/// Whether a request that waits so long in the region `from` leaves it, given `backlogs`.
fn leaves(fleet: &Fleet, backlogs: &RegionBacklogs, from: &str, wait_ms: f64, now_us: u64) -> bool {
    let placed = LocalPlacement {
        service: &ServiceName::new("llm"),
        region: &RegionId::new(from),
        zone: &ZoneId::new(format!("{from}-1")),
        wait_ms,
        prefill_ms: 30.0,
        remaining_target_ms: 10_000.0,
        now_us,
    };
    backlogs.better_region(fleet, &placed).is_some()
}

#[test]
fn a_request_leaves_its_region_when_the_gain_exceeds_the_cost() {
    let fleet = fleet(&two_regions());
    let mut backlogs = RegionBacklogs::default();
    assert!(!leaves(&fleet, &backlogs, "w", 5_000.0, SECOND), "the other region has not reported");
    backlogs.on_loads(loads("e", 100.0), SECOND);
    // Three round trips of 60 ms, and 100 ms for the traffic cost and the minimum gain.
    assert!(!leaves(&fleet, &backlogs, "w", 370.0, SECOND));
    assert!(leaves(&fleet, &backlogs, "w", 390.0, SECOND));
    assert!(
        !leaves(&fleet, &backlogs, "w", 390.0, SECOND + 200_000),
        "the reported wait grows with its age"
    );
    assert!(!leaves(&fleet, &backlogs, "w", 60_000.0, SECOND * 6), "the report has expired");
    backlogs.on_request_sent(&RegionId::new("e"), &ServiceName::new("llm"), 400.0);
    assert!(!leaves(&fleet, &backlogs, "w", 390.0, SECOND), "requests sent there add to its wait");
    let mut full = loads("e", 0.0);
    full.services[0].occupancy = 900;
    backlogs.on_loads(full, SECOND);
    assert!(!leaves(&fleet, &backlogs, "w", 5_000.0, SECOND), "the decode runners there are full");
}

#[test]
fn a_request_that_would_miss_its_target_in_the_other_region_stays() {
    let fleet = fleet(&two_regions());
    let mut backlogs = RegionBacklogs::default();
    backlogs.on_loads(loads("e", 400.0), SECOND);
    let (service, region, zone) = (ServiceName::new("llm"), RegionId::new("w"), ZoneId::new("w-1"));
    let placed = |remaining_target_ms| LocalPlacement {
        service: &service,
        region: &region,
        zone: &zone,
        wait_ms: 4_000.0,
        prefill_ms: 30.0,
        remaining_target_ms,
        now_us: SECOND,
    };
    assert_eq!(backlogs.better_region(&fleet, &placed(500.0)), None);
    assert!(backlogs.better_region(&fleet, &placed(700.0)).is_some());
}

proptest! {
    /// Waits grow at most as fast as time passes and shrink arbitrarily; they are reported once a
    /// second.
    #[test]
    fn two_regions_never_exchange_their_requests(
        steps in proptest::collection::vec((0.0_f64..1.0, 0.0_f64..1.0), 1..200),
        slow_link_ms in 1.0_f64..600.0,
    ) {
        const STEP_US: u64 = 100_000;
        const STEP_MS: f64 = 100.0;
        const STEPS_PER_REPORT: usize = 10;
        let mut west = fleet(&two_regions());
        west.on_round_trip(&ZoneId::new("e-1"), slow_link_ms, 0);
        let (mut of_west, mut of_east) = (RegionBacklogs::default(), RegionBacklogs::default());
        let (mut wait_west, mut wait_east) = (0.0_f64, 0.0_f64);
        let next = |wait: f64, change: f64| if change < 0.2 { wait * change } else { wait + STEP_MS * change };
        for (step, (west_change, east_change)) in steps.into_iter().enumerate() {
            let now_us = step as u64 * STEP_US;
            if step % STEPS_PER_REPORT == 0 {
                of_east.on_loads(loads("w", wait_west), now_us);
            }
            if step % STEPS_PER_REPORT == STEPS_PER_REPORT / 2 {
                of_west.on_loads(loads("e", wait_east), now_us);
            }
            let west_leaves = leaves(&west, &of_west, "w", wait_west, now_us);
            let east_leaves = leaves(&west, &of_east, "e", wait_east, now_us);
            prop_assert!(!(west_leaves && east_leaves), "{wait_west} and {wait_east}");
            wait_west = next(wait_west, west_change);
            wait_east = next(wait_east, east_change);
        }
    }
}

#[test]
fn a_regions_load_covers_only_its_own_runners() {
    let mut fleet = fleet(&two_regions());
    let service = ServiceName::new("llm");
    let speed = PrefillSpeed::default();
    for id in ["p-w-1-0", "p-w-1-1", "p-w-2-0", "p-w-2-1"] {
        fleet.on_sent(&RunnerId::new(id), read_load(20_000));
    }
    let load = |region: &str| {
        service_load(&fleet, &speed, &service, &RegionId::new(region), SECOND).unwrap()
    };
    assert_eq!((load("w").prefill_runners, load("e").prefill_runners), (4, 4));
    let expected_prefill_us = (speed.prefill_ms(20_000.0) * 1_000.0) as u64;
    assert_eq!((load("w").wait_us, load("e").wait_us), (expected_prefill_us, 0));
    assert_eq!(service_load(&fleet, &speed, &service, &RegionId::new("n"), SECOND), None);
}

#[test]
fn most_digests_go_to_the_own_region_and_eventually_each_node_gets_one() {
    const FAR: u32 = 1_000;
    let near: Vec<u32> = (0..30).collect();
    let far: Vec<u32> = (FAR..FAR + 60).collect();
    let mut turns = DigestRotation::default();
    let mut received: BTreeMap<u32, u32> = BTreeMap::new();
    for _ in 0..30 {
        let to = turns.next(&near, &far);
        assert_eq!(to.len(), 16);
        assert_eq!(to.iter().filter(|node| **node >= FAR).count(), 2);
        to.into_iter().for_each(|node| *received.entry(node).or_default() += 1);
    }
    assert_eq!(received.len(), 90);
    assert!(received.iter().all(|(node, count)| *node >= FAR || *count >= 13), "{received:?}");
    let mut turns = DigestRotation::default();
    assert_eq!(turns.next(&near[..20], &[]).len(), 16, "a single region");
    assert_eq!(turns.next(&[], &far).len(), 16, "a node that is alone in its region");
    assert_eq!(turns.next(&near[..3], &far[..1]).len(), 4);
}
