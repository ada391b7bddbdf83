//! Capacity plans in virtual time, against a simulated platform that boots, refuses and reclaims
//! runners.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::capacity_planner::{
    CapacityOrder, CapacityPlanner, CapacityPolicy, CapacityRecord, RunnerKind, ScalingSpec,
    ZoneSupply,
};
use pitchstall_serving::ids::ZoneId;
use std::collections::BTreeMap;
use test_case::test_case;

const STEP_US: u64 = 250_000;
const SECOND_US: u64 = 1_000_000;
const MAX_RUNNERS_PER_ZONE: u32 = 94;

/// A simulated platform: orders by zone and kind, and the runners that result.
struct Platform {
    ordered: BTreeMap<(ZoneId, RunnerKind), u32>,
    /// Zone and kind of each runner, and the time from which it is ready.
    booted: Vec<(ZoneId, RunnerKind, u64)>,
    boot_us: u64,
    unavailable_until_us: BTreeMap<ZoneId, u64>,
    now_us: u64,
    order_count: usize,
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}"))
}

impl Platform {
    fn new(zones: usize, reserved: u32, boot_s: u64) -> Self {
        let all = (0..zones).map(zone);
        let mut booted = Vec::new();
        let mut ordered = BTreeMap::new();
        for zone in all {
            ordered.insert((zone.clone(), RunnerKind::Reserved), reserved);
            booted.extend((0..reserved).map(|_| (zone.clone(), RunnerKind::Reserved, 0)));
        }
        let (boot_us, unavailable_until_us) = (boot_s * SECOND_US, BTreeMap::new());
        Self { ordered, booted, boot_us, unavailable_until_us, now_us: 0, order_count: 0 }
    }

    fn count(&self, zone: &ZoneId, kind: RunnerKind) -> u32 {
        let is_ready =
            |it: &&(ZoneId, RunnerKind, u64)| it.0 == *zone && it.1 == kind && it.2 <= self.now_us;
        self.booted.iter().filter(is_ready).count() as u32
    }

    fn zones(&self) -> Vec<ZoneId> {
        let mut zones: Vec<ZoneId> = self.ordered.keys().map(|(zone, _)| zone.clone()).collect();
        zones.dedup();
        zones
    }

    fn supply(&self) -> BTreeMap<ZoneId, ZoneSupply> {
        let zone_supply = |zone: ZoneId| {
            let reserved = self.count(&zone, RunnerKind::Reserved);
            let preemptible = self.count(&zone, RunnerKind::Preemptible);
            (zone, ZoneSupply { reserved, preemptible })
        };
        self.zones().into_iter().map(zone_supply).collect()
    }

    fn serving(&self) -> u32 {
        self.supply().values().map(|zone| zone.reserved + zone.preemptible).sum()
    }

    /// Applies an order; `false` if no runners are available.
    fn order(&mut self, order: &CapacityOrder) -> bool {
        self.order_count += 1;
        let is_unavailable =
            self.unavailable_until_us.get(&order.zone).is_some_and(|it| self.now_us < *it);
        let present =
            self.booted.iter().filter(|it| it.0 == order.zone && it.1 == order.kind).count();
        if is_unavailable && order.kind == RunnerKind::Preemptible && order.runners > present as u32
        {
            return false;
        }
        self.ordered.insert((order.zone.clone(), order.kind), order.runners);
        for _ in present as u32..order.runners {
            self.booted.push((order.zone.clone(), order.kind, self.now_us + self.boot_us));
        }
        for _ in order.runners..present as u32 {
            let last = self.booted.iter().rposition(|it| it.0 == order.zone && it.1 == order.kind);
            self.booted.remove(last.unwrap());
        }
        let in_zone = self.booted.iter().filter(|it| it.0 == order.zone).count();
        assert!(in_zone as u32 <= MAX_RUNNERS_PER_ZONE, "more runners than the zone admits");
        true
    }

    /// Reclaims all preemptible runners of a zone; no others are available there for some time.
    fn reclaim(&mut self, number: usize, unavailable_s: u64) {
        let lost = zone(number);
        self.booted.retain(|it| it.0 != lost || it.1 == RunnerKind::Reserved);
        self.unavailable_until_us.insert(lost, self.now_us + unavailable_s * SECOND_US);
    }
}

fn spec(price: Option<f64>, boot_s: f64) -> ScalingSpec {
    ScalingSpec {
        min_runners: 1,
        max_runners: MAX_RUNNERS_PER_ZONE,
        boot_s,
        preemptible_price: price,
        zone_prices: BTreeMap::new(),
    }
}

fn planner(platform: &Platform, need: u32) -> CapacityPlanner {
    planner_with(platform, need, 0.0)
}

fn planner_with(platform: &Platform, need: u32, headroom: f64) -> CapacityPlanner {
    let record = CapacityRecord { need, zones: platform.zones() };
    CapacityPlanner::new(CapacityPolicy { headroom, ..CapacityPolicy::default() }, record)
}

/// Runs until a given time and returns the minimum number of serving runners meanwhile.
fn run(
    platform: &mut Platform,
    planner: &mut CapacityPlanner,
    spec: &ScalingSpec,
    until_s: u64,
) -> u32 {
    let mut min_serving = u32::MAX;
    while platform.now_us < until_s * SECOND_US {
        for order in planner.plan(&platform.supply(), spec, platform.now_us) {
            if platform.order(&order) {
                planner.on_ordered(&order);
            } else {
                planner.on_unavailable(&order, platform.now_us);
            }
        }
        min_serving = min_serving.min(platform.serving());
        platform.now_us += STEP_US;
    }
    min_serving
}

#[test_case(1; "fast boot")]
#[test_case(4; "boot time of the reference deployments")]
#[test_case(60; "slow boot")]
fn preemptible_runners_replace_reserved_ones_without_a_gap(boot_s: u64) {
    let mut platform = Platform::new(3, 47, boot_s);
    let mut planner = planner(&platform, 141);
    let min_serving = run(&mut platform, &mut planner, &spec(Some(0.18), 4.0), 6 * boot_s + 30);
    assert!(min_serving >= 141, "{min_serving}");
    let supply = platform.supply();
    let reserved: u32 = supply.values().map(|zone| zone.reserved).sum();
    assert!(reserved <= 20, "{reserved}");
    for lost in supply.values() {
        assert!(
            platform.serving() - lost.preemptible >= 141,
            "the need is covered without one zone"
        );
    }
}

#[test]
fn after_a_reclaim_the_rest_serves_and_the_zone_is_asked_again() {
    let mut platform = Platform::new(3, 47, 4);
    let mut planner = planner(&platform, 141);
    let spec = spec(Some(0.18), 4.0);
    run(&mut platform, &mut planner, &spec, 30);
    platform.reclaim(1, 10);
    let min_serving = run(&mut platform, &mut planner, &spec, 38);
    assert!(min_serving >= 135, "{min_serving}");
    run(&mut platform, &mut planner, &spec, 60);
    assert!(platform.supply()[&zone(1)].preemptible >= 60, "the preemptible runners are back");
}

#[test]
fn after_two_reclaims_reserved_runners_fill_in_and_are_given_up_later() {
    let mut platform = Platform::new(3, 47, 4);
    let mut planner = planner(&platform, 141);
    let spec = spec(Some(0.18), 4.0);
    run(&mut platform, &mut planner, &spec, 30);
    platform.reclaim(0, 60);
    run(&mut platform, &mut planner, &spec, 40);
    platform.reclaim(1, 60);
    run(&mut platform, &mut planner, &spec, 50);
    assert!(platform.serving() >= 127, "{}", platform.serving());
    run(&mut platform, &mut planner, &spec, 160);
    let reserved: u32 = platform.supply().values().map(|zone| zone.reserved).sum();
    assert!(reserved <= 20, "{reserved}");
}

#[test_case(1, Some(0.18); "one zone that may lose all of them at once")]
#[test_case(3, Some(0.8); "more expensive with the redundancy")]
#[test_case(3, None; "no preemptible runners")]
fn without_a_saving_from_preemptible_runners_the_fleet_stays_as_it_is(
    zones: usize,
    price: Option<f64>,
) {
    let mut platform = Platform::new(zones, 47, 4);
    let mut planner = planner(&platform, 47 * zones as u32);
    run(&mut platform, &mut planner, &spec(price, 4.0), 60);
    assert_eq!(platform.order_count, 0);
}

#[test]
fn without_a_saving_from_preemptible_runners_uneven_zones_stay_uneven() {
    let mut platform = Platform::new(3, 47, 4);
    platform.booted.pop();
    let mut planner = planner(&platform, 140);
    run(&mut platform, &mut planner, &spec(None, 4.0), 30);
    assert_eq!(platform.order_count, 0);
}

#[test]
fn when_preemptible_runners_become_expensive_reserved_ones_come_first() {
    let mut platform = Platform::new(3, 47, 4);
    let mut planner = planner(&platform, 141);
    run(&mut platform, &mut planner, &spec(Some(0.18), 4.0), 30);
    let min_serving = run(&mut platform, &mut planner, &spec(Some(0.9), 4.0), 90);
    assert!(min_serving >= 141, "{min_serving}");
    let preemptible: u32 = platform.supply().values().map(|zone| zone.preemptible).sum();
    assert_eq!(preemptible, 0);
}

#[test]
fn with_many_zones_little_redundancy_is_needed() {
    let mut platform = Platform::new(31, 10, 4);
    let mut planner = planner(&platform, 310);
    run(&mut platform, &mut planner, &spec(Some(0.3), 4.0), 60);
    assert!((310..=350).contains(&platform.serving()), "{}", platform.serving());
}

#[test]
fn headroom_keeps_preemptible_runners_beyond_the_need() {
    let mut platform = Platform::new(3, 47, 4);
    let mut planner = planner_with(&platform, 141, 0.4);
    run(&mut platform, &mut planner, &spec(Some(0.18), 4.0), 60);
    for lost in platform.supply().values() {
        assert!(platform.serving() - lost.preemptible >= 141 * 13 / 10);
    }
}

#[test]
fn a_large_fleet_is_exchanged_gradually() {
    let mut platform = Platform::new(31, 47, 4);
    let mut planner = planner(&platform, 31 * 47);
    let spec = spec(Some(0.18), 4.0);
    let mut before = platform.booted.len();
    let mut max_change = 0;
    for second in 1..120 {
        run(&mut platform, &mut planner, &spec, second);
        max_change = max_change.max(platform.booted.len().abs_diff(before));
        before = platform.booted.len();
        assert!(platform.serving() >= 31 * 47);
    }
    assert!(max_change <= 300, "{max_change} changes in a second");
    let reserved: u32 = platform.supply().values().map(|zone| zone.reserved).sum();
    assert!(reserved <= 31 * 47 / 8, "{reserved}");
}

#[test]
fn changes_by_others_are_left_alone() {
    let mut platform = Platform::new(3, 47, 4);
    let mut planner = planner(&platform, 141);
    let spec = spec(Some(0.18), 4.0);
    run(&mut platform, &mut planner, &spec, 30);
    let order_count = platform.order_count;
    // Operators add some runners, and others crash.
    platform.booted.extend((0..3).map(|_| (zone(0), RunnerKind::Reserved, 0)));
    let crashed = platform.booted.iter().position(|it| it.1 == RunnerKind::Preemptible).unwrap();
    platform.booted.remove(crashed);
    run(&mut platform, &mut planner, &spec, 60);
    assert_eq!(platform.order_count, order_count);
}
