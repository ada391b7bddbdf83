//! Plans how many runners a service has, of which kind and in which zone.
//!
//! Runners are billed by the second. Preemptible runners cost a fraction of the price of reserved
//! ones, but the platform may reclaim all of them in a zone at once, at a few seconds' notice. For
//! a while none are then available in that zone, or in any zone. The plan tolerates the loss of all
//! preemptible runners of any one zone: `need` runners remain when the zone with most of them loses
//! them. A fixed share of the runners is reserved in any case. If this redundancy costs more than
//! reserved runners, the plan uses no preemptible ones.
//!
//! Reserved runners are given up only when their replacements serve, and are ordered at once when
//! too few runners are left. A zone without available preemptible runners is tried again after a
//! pause; until then the other zones make up for it. Changes by others, for instance by operators,
//! are left alone: an order is repeated only when the plan changes.

use crate::ids::ZoneId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Scaling settings of a service whose runners can be ordered, as configured by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of runners in a zone, of both kinds together.
    pub min_runners: u32,
    /// Maximum number of runners in a zone, of both kinds together.
    pub max_runners: u32,
    /// Time from an order until a runner serves, in seconds.
    pub boot_s: f64,
    /// Price of a preemptible runner as a fraction of the price of a reserved one; `None` if there
    /// are no preemptible runners.
    pub preemptible_price: Option<f64>,
    /// Price of a runner per second, by zone.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// Kinds of runners that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerKind {
    /// Runs until the service gives it up.
    Reserved,
    /// Costs less and may be reclaimed by the platform.
    Preemptible,
}

/// Targets and limits that the plan observes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Minimum share of the need that reserved runners cover.
    pub min_reserved_share: f64,
    /// Preemptible runners beyond the need, as a share of the need.
    pub headroom: f64,
    /// Whether preemptible runners are ordered.
    pub uses_preemptible: bool,
    /// Deviation from the planned number of reserved runners that is left uncorrected, as a share
    /// of the need.
    pub tolerance: f64,
    /// Time for which surplus preemptible runners are kept, in microseconds.
    pub surplus_retention_us: u64,
    /// Maximum number of runners added or given up per second, over all zones: every node receives
    /// several messages about each change.
    pub max_changes_per_s: f64,
    /// Maximum number of runners added or given up at once.
    pub max_change_burst: f64,
    /// Time until a zone without available preemptible runners is tried again, in microseconds.
    pub unavailable_pause_us: u64,
}

impl Default for CapacityPolicy {
    fn default() -> Self {
        Self {
            min_reserved_share: 0.1,
            headroom: 0.4,
            uses_preemptible: true,
            tolerance: 0.1,
            surplus_retention_us: 15_000_000,
            // A runner that joins, leaves and disappears costs about 300 bytes each time to every
            // node: 90 KB a second in total, a tenth of the narrowest supported links (10 Mbit/s).
            // Without a limit, a fleet of 3,000 runners and 300 nodes violated its guarantees while
            // its runners were exchanged.
            max_changes_per_s: 100.0,
            max_change_burst: 200.0,
            unavailable_pause_us: 3_000_000,
        }
    }
}

/// State that must outlive the planning node. Without it, a successor would take the number of
/// runners that it happens to find for the need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// Number of runners that the workload needs.
    #[serde(deserialize_with = "crate::bounded::runner_count")]
    pub need: u32,
    /// Zones in which the service runs.
    pub zones: Vec<ZoneId>,
}

/// Runners of a zone that are not about to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSupply {
    /// Number of reserved runners.
    pub reserved: u32,
    /// Number of preemptible runners.
    pub preemptible: u32,
}

/// Order for the number of runners of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Zone in which the runners are placed.
    pub zone: ZoneId,
    /// Whether the runners are reserved or preemptible.
    pub kind: RunnerKind,
    /// Number of runners that the zone is to have.
    pub runners: u32,
}

/// Capacity planner of one service.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    policy: CapacityPolicy,
    /// Number of runners that the workload needs.
    need: u32,
    zones: Vec<ZoneId>,
    /// Zones without available preemptible runners, and when each is tried again, in microseconds.
    unavailable_until_us: BTreeMap<ZoneId, u64>,
    /// Latest order for each zone and kind.
    ordered: BTreeMap<(ZoneId, RunnerKind), u32>,
    /// Zones that had preemptible runners in the previous planning round.
    had_preemptible: BTreeSet<ZoneId>,
    /// Time since when there are surplus preemptible runners, in microseconds.
    surplus_since_us: Option<u64>,
    /// Whether the latest planning round found that the number of reserved runners has to change.
    is_changing_reserved: bool,
    /// Number of changes allowed now, and the time for which it was computed, in microseconds.
    allowance: Option<(f64, u64)>,
}

impl CapacityPlanner {
    /// Creates a planner that continues from a record.
    pub fn new(policy: CapacityPolicy, record: CapacityRecord) -> Self {
        let CapacityRecord { need, zones } = record;
        Self {
            policy,
            need,
            zones,
            unavailable_until_us: BTreeMap::new(),
            ordered: BTreeMap::new(),
            had_preemptible: BTreeSet::new(),
            surplus_since_us: None,
            is_changing_reserved: false,
            allowance: None,
        }
    }

    /// Replaces need and zones after a recount that took place before the need was recorded.
    pub fn on_recounted(&mut self, record: CapacityRecord) {
        self.need = record.need;
        self.zones = record.zones;
    }

    /// Orders to place while the registry may still be incomplete. Nothing is given up.
    pub fn plan_additions(
        &mut self,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let mut orders = self.pending_orders(supply, spec, now_us);
        orders.retain(|order| {
            order.kind == RunnerKind::Preemptible && !self.is_reduction(order, supply)
        });
        self.rate_limit(orders, supply, now_us)
    }

    /// Orders to place now, additions first and at most as many changes as the policy allows.
    pub fn plan(
        &mut self,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let mut orders = self.pending_orders(supply, spec, now_us);
        self.retain_surplus(&mut orders, supply, now_us);
        // Additions are ordered before anything is given up.
        orders.sort_by_key(|order| self.is_reduction(order, supply));
        self.rate_limit(orders, supply, now_us)
    }

    /// Target orders that differ from the orders in force.
    fn pending_orders(
        &mut self,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        self.detect_reclaims(supply, now_us);
        let mut orders = self.target_orders(supply, spec, now_us);
        orders.retain(|order| !self.is_in_force(order, supply));
        let changes_reserved = |order: &CapacityOrder| order.kind == RunnerKind::Reserved;
        self.is_changing_reserved = orders.iter().any(changes_reserved);
        orders
    }

    /// Reduces orders to the number of changes allowed now; later rounds order the rest.
    fn rate_limit(
        &mut self,
        orders: Vec<CapacityOrder>,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let (remaining, since_us) =
            self.allowance.unwrap_or((self.policy.max_change_burst, now_us));
        let seconds = now_us.saturating_sub(since_us) as f64 / MICROS_PER_SECOND;
        let refilled = remaining + seconds * self.policy.max_changes_per_s;
        let mut remaining = refilled.min(self.policy.max_change_burst);
        let mut allowed = Vec::new();
        for order in orders {
            let current = self.current_count(&order, supply);
            let changes = f64::from(order.runners.abs_diff(current)).min(remaining.floor());
            if changes < 1.0 {
                continue;
            }
            remaining -= changes;
            let changes = changes as u32;
            let runners = match order.runners > current {
                true => current + changes,
                false => current - changes,
            };
            allowed.push(CapacityOrder { runners, ..order });
        }
        self.allowance = Some((remaining, now_us));
        allowed
    }

    /// Records that an order was accepted, or may have been.
    pub fn on_ordered(&mut self, order: &CapacityOrder) {
        self.ordered.insert((order.zone.clone(), order.kind), order.runners);
    }

    /// Records that no runners of the ordered kind are available in the zone.
    pub fn on_unavailable(&mut self, order: &CapacityOrder, now_us: u64) {
        self.mark_unavailable(&order.zone, now_us);
    }

    fn mark_unavailable(&mut self, zone: &ZoneId, now_us: u64) {
        self.unavailable_until_us.insert(zone.clone(), now_us + self.policy.unavailable_pause_us);
        self.ordered.remove(&(zone.clone(), RunnerKind::Preemptible));
    }

    /// Marks a zone as unavailable if all its preemptible runners are gone without an order: the
    /// platform reclaims all of a zone at once.
    fn detect_reclaims(&mut self, supply: &BTreeMap<ZoneId, ZoneSupply>, now_us: u64) {
        let has_some = supply.iter().filter(|(_, zone)| zone.preemptible > 0);
        let have_some: BTreeSet<ZoneId> = has_some.map(|(zone, _)| zone.clone()).collect();
        let had_some = std::mem::replace(&mut self.had_preemptible, have_some);
        for zone in had_some {
            let key = (zone.clone(), RunnerKind::Preemptible);
            let was_released = self.ordered.get(&key) == Some(&0);
            if !self.had_preemptible.contains(&zone) && !was_released {
                self.mark_unavailable(&zone, now_us);
            }
        }
    }

    /// Keeps surplus preemptible runners for some time: a zone that lost its runners may lose them
    /// again soon, and new runners have empty caches.
    fn retain_surplus(
        &mut self,
        orders: &mut Vec<CapacityOrder>,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        now_us: u64,
    ) {
        let is_release = |order: &CapacityOrder| {
            order.kind == RunnerKind::Preemptible && self.is_reduction(order, supply)
        };
        if !orders.iter().any(is_release) {
            self.surplus_since_us = None;
            return;
        }
        let since_us = self.surplus_since_us.unwrap_or(now_us);
        if now_us < since_us + self.policy.surplus_retention_us {
            orders.retain(|order| !is_release(order));
        }
        self.surplus_since_us = Some(since_us);
    }

    fn is_unavailable(&self, zone: &ZoneId, now_us: u64) -> bool {
        self.unavailable_until_us.get(zone).is_some_and(|until_us| now_us < *until_us)
    }

    /// Whether an order is in force: it was placed before, or nothing was ordered yet and the zone
    /// has exactly this number.
    fn is_in_force(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> bool {
        self.current_count(order, supply) == order.runners
    }

    fn is_reduction(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> bool {
        order.runners < self.current_count(order, supply)
    }

    fn current_count(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> u32 {
        self.current_count_of(&order.zone, order.kind, supply)
    }

    /// Number of runners of a kind by the latest order for the zone, or as present if there was no
    /// order.
    fn current_count_of(
        &self,
        zone: &ZoneId,
        kind: RunnerKind,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
    ) -> u32 {
        let present = supply.get(zone).copied().unwrap_or_default();
        let present_count = match kind {
            RunnerKind::Reserved => present.reserved,
            RunnerKind::Preemptible => present.preemptible,
        };
        self.ordered.get(&(zone.clone(), kind)).copied().unwrap_or(present_count)
    }

    /// Orders that describe the planned state of each zone.
    fn target_orders(
        &self,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        if self.is_preemptible_cheaper(spec) {
            let min_reserved =
                (f64::from(self.need) * self.policy.min_reserved_share).ceil() as u32;
            return self.target_orders_with_preemptible(min_reserved, supply, spec, now_us);
        }
        let total = |count: fn(&ZoneSupply) -> u32| -> u32 { supply.values().map(count).sum() };
        if total(|zone| zone.preemptible) == 0 {
            // Without preemptible runners the fleet stays as operators have set it up.
            return Vec::new();
        }
        let mut orders = self.reserved_orders(Some(self.need), spec, supply);
        // Preemptible runners are given up as the reserved ones that replace them begin to serve.
        let missing = self.need.saturating_sub(total(|zone| zone.reserved));
        let zones = u32::try_from(self.zones.len()).unwrap_or(u32::MAX).max(1);
        let per_zone = missing.div_ceil(zones);
        orders.extend(self.preemptible_orders(per_zone, supply, spec, now_us));
        orders
    }

    fn target_orders_with_preemptible(
        &self,
        min_reserved: u32,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let available = self.zones.iter().filter(|zone| !self.is_unavailable(zone, now_us)).count();
        let with_headroom = (f64::from(self.need) * (1.0 + self.policy.headroom)).ceil() as u32;
        let per_zone =
            runners_per_available_zone(with_headroom.saturating_sub(min_reserved), available);
        let change = self.reserved_change(min_reserved, supply);
        let mut orders = self.reserved_orders(change, spec, supply);
        orders.extend(self.preemptible_orders(per_zone, supply, spec, now_us));
        orders
    }

    /// Orders for reserved runners, redistributed over the zones; none if their number does not
    /// change.
    fn reserved_orders(
        &self,
        change: Option<u32>,
        spec: &ScalingSpec,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
    ) -> Vec<CapacityOrder> {
        let Some(total) = change else { return Vec::new() };
        let kind = RunnerKind::Reserved;
        let order = |(zone, runners)| CapacityOrder { zone, kind, runners };
        self.spread(total, spec, supply).into_iter().map(order).collect()
    }

    /// Orders for a number of preemptible runners in each zone where they are available.
    fn preemptible_orders(
        &self,
        per_zone: u32,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let kind = RunnerKind::Preemptible;
        let order = |zone: &ZoneId| {
            // Reserved runners that are still to be given up take up room, too.
            let other_kind = self.current_count_of(zone, RunnerKind::Reserved, supply);
            let runners = per_zone.min(spec.max_runners.saturating_sub(other_kind));
            CapacityOrder { zone: zone.clone(), kind, runners }
        };
        self.zones.iter().filter(|zone| !self.is_unavailable(zone, now_us)).map(order).collect()
    }

    /// Distributes reserved runners over the zones within the room that preemptible runners leave.
    fn spread(
        &self,
        reserved: u32,
        spec: &ScalingSpec,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
    ) -> Vec<(ZoneId, u32)> {
        let room = |zone: &ZoneId| {
            let other_kind = self.current_count_of(zone, RunnerKind::Preemptible, supply);
            spec.max_runners.saturating_sub(other_kind).max(spec.min_runners)
        };
        let mut zones: Vec<(ZoneId, u32)> =
            self.zones.iter().map(|zone| (zone.clone(), room(zone))).collect();
        // Zones with little room come first, so that the others take what does not fit there.
        zones.sort_by_key(|(_, room)| *room);
        let mut remaining = reserved;
        let count = zones.len();
        for (index, (_, per_zone)) in zones.iter_mut().enumerate() {
            let remaining_zones = u32::try_from(count - index).unwrap_or(u32::MAX);
            *per_zone = remaining.div_ceil(remaining_zones).max(spec.min_runners).min(*per_zone);
            remaining = remaining.saturating_sub(*per_zone);
        }
        zones
    }

    /// Whether preemptible runners cost less than reserved ones, including the redundancy for the
    /// loss of one zone.
    fn is_preemptible_cheaper(&self, spec: &ScalingSpec) -> bool {
        let zones = self.zones.len() as f64;
        let Some(price) = spec.preemptible_price.filter(|_| self.policy.uses_preemptible) else {
            return false;
        };
        self.zones.len() > 1 && price * zones / (zones - 1.0) < 1.0
    }

    /// Planned number of reserved runners; `None` if it stays. It is the minimum share or what the
    /// preemptible runners leave uncovered, whichever is larger. Reserved runners are given up when
    /// the need is covered even without the zone that has the most preemptible runners. They are
    /// added only when the need is uncovered now, and not already when the loss of one more zone
    /// would leave it uncovered: cover for a second loss costs more than the seconds until new
    /// runners serve.
    fn reserved_change(
        &self,
        min_reserved: u32,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
    ) -> Option<u32> {
        let total: u32 = supply.values().map(|zone| zone.preemptible).sum();
        let largest = supply.values().map(|zone| zone.preemptible).max().unwrap_or(0);
        let reserved_to_keep = self.need.saturating_sub(total - largest).max(min_reserved);
        let reserved_to_have = self.need.saturating_sub(total).max(min_reserved);
        let current = self.current_reserved(supply);
        // Each order is billed, and a crashed runner may be back before a new one has started. So
        // small deviations are tolerated, but a change that has begun is completed.
        let share = if self.is_changing_reserved { 0.0 } else { self.policy.tolerance };
        let tolerance = (f64::from(self.need) * share).floor() as u32;
        if reserved_to_keep + tolerance < current {
            return Some(reserved_to_keep);
        }
        (reserved_to_have > current + tolerance).then_some(reserved_to_have)
    }

    fn current_reserved(&self, supply: &BTreeMap<ZoneId, ZoneSupply>) -> u32 {
        let per_zone = |zone: &ZoneId| self.current_count_of(zone, RunnerKind::Reserved, supply);
        self.zones.iter().map(per_zone).sum()
    }
}

/// Number of runners for each available zone such that enough remain when one zone loses them.
fn runners_per_available_zone(needed: u32, available_zones: usize) -> u32 {
    let others = u32::try_from(available_zones.saturating_sub(1)).unwrap_or(u32::MAX).max(1);
    needed.div_ceil(others)
}
