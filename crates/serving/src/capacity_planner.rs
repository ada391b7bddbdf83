//! How many runners a service has, of which kind, in which zone.
//!
//! Runners are paid by the second. Some cost a part of the others but may be taken away, all of a
//! zone at once, at a few seconds' notice; for a time there are none to be had there, or nowhere.
//! The plan keeps what is needed although any one zone loses all of these: `need` runners are left
//! when the zone with most of them goes. Beside them stands a share that nobody takes away. If
//! that costs more than runners that stay, the plan has no others.
//!
//! Runners that stay are given up only when their replacements serve, and ordered at once when too
//! few are left. A zone in which there are none to be had is asked again after a pause; until then
//! the other zones make up for it. What others order, operators for instance, is left as it is:
//! an order is repeated only when the plan changes.

use crate::ids::ZoneId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// What operators say of a service whose runners can be ordered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingSpec {
    /// Fewest runners of a zone, of both kinds together.
    pub min_runners: u32,
    /// Most runners of a zone, of both kinds together.
    pub max_runners: u32,
    /// Time from an order until a runner serves, seconds.
    pub boot_s: f64,
    /// Price of a runner that may be taken away, as a share of that of others; `None`: there are
    /// none.
    pub preemptible_price: Option<f64>,
    /// Price of a runner by zone, for a second.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// Kinds of runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerKind {
    /// It stays until it is given up.
    Reserved,
    /// It costs less and may be taken away.
    Preemptible,
}

/// What a plan is bound by besides what is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Share of the need that stands on runners that stay.
    pub min_reserved_share: f64,
    /// Runners that may be taken away that are kept beyond the need, as a share of it.
    pub headroom: f64,
    /// Whether runners that may be taken away are ordered at all.
    pub uses_preemptible: bool,
    /// Difference from what is wanted that is let stand, as a share of the need.
    pub tolerance: f64,
    /// Time for which more runners than are needed are kept, microseconds.
    pub surplus_retention_us: u64,
    /// Runners that may be added or given up in a second, over all zones: every node hears of each
    /// of them several times.
    pub max_changes_per_second: f64,
    /// Most of them that may come at once.
    pub max_change_burst: f64,
    /// Pause until a zone that had no runners to be had is asked again, microseconds.
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
            // Joining, leaving and being gone are some 300 bytes each to every node: 90 KB a second,
            // a tenth of the users' narrowest links (10 Mbit/s). Without a limit a fleet of 3,000
            // runners and 300 nodes broke rules while it was being exchanged.
            max_changes_per_second: 100.0,
            max_change_burst: 200.0,
            unavailable_pause_us: 3_000_000,
        }
    }
}

/// What must outlast the node that plans: without it a successor would take what it happens to
/// find for what is needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// Runners that serve what is asked.
    pub need: u32,
    /// Zones in which the service runs.
    pub zones: Vec<ZoneId>,
}

/// Runners that a zone has and that are not about to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSupply {
    /// Runners that stay.
    pub reserved: u32,
    /// Runners that may be taken away.
    pub preemptible: u32,
}

/// How many runners of a kind a zone is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The zone.
    pub zone: ZoneId,
    /// The kind.
    pub kind: RunnerKind,
    /// How many.
    pub runners: u32,
}

/// Plans the runners of one service.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    policy: CapacityPolicy,
    /// Runners that serve what is asked.
    need: u32,
    zones: Vec<ZoneId>,
    /// Zones that have none that may be taken away, and when they are asked again.
    unavailable_until_us: BTreeMap<ZoneId, u64>,
    /// What was ordered last.
    ordered: BTreeMap<(ZoneId, RunnerKind), u32>,
    /// Zones that had runners that may be taken away when the plan last looked.
    had_preemptible: BTreeSet<ZoneId>,
    /// Since when fewer runners that may be taken away would do.
    surplus_since_us: Option<u64>,
    /// Whether the last look found that the number of runners that stay has to change.
    is_changing_reserved: bool,
    /// Runners that may be added or given up now, and when that was worked out.
    allowance: Option<(f64, u64)>,
}

impl CapacityPlanner {
    /// A planner that goes on by a record.
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

    /// Runners were counted anew before the need was recorded.
    pub fn on_recounted(&mut self, record: CapacityRecord) {
        self.need = record.need;
        self.zones = record.zones;
    }

    /// The orders that are due while not all runners may be listed yet: nothing is given up.
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

    /// The orders that are due.
    pub fn plan(
        &mut self,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let mut orders = self.pending_orders(supply, spec, now_us);
        self.retain_surplus(&mut orders, supply, now_us);
        // What is added is ordered before anything is given up.
        orders.sort_by_key(|order| self.is_reduction(order, supply));
        self.rate_limit(orders, supply, now_us)
    }

    /// What differs from what was ordered.
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

    /// Cuts orders down to what may change now; the rest follows later.
    fn rate_limit(
        &mut self,
        orders: Vec<CapacityOrder>,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let (left, since_us) = self.allowance.unwrap_or((self.policy.max_change_burst, now_us));
        let seconds = now_us.saturating_sub(since_us) as f64 / MICROS_PER_SECOND;
        let refilled = left + seconds * self.policy.max_changes_per_second;
        let mut left = refilled.min(self.policy.max_change_burst);
        let mut allowed = Vec::new();
        for order in orders {
            let current = self.current_count(&order, supply);
            let changes = f64::from(order.runners.abs_diff(current)).min(left.floor());
            if changes < 1.0 {
                continue;
            }
            left -= changes;
            let changes = changes as u32;
            let runners = match order.runners > current {
                true => current + changes,
                false => current - changes,
            };
            allowed.push(CapacityOrder { runners, ..order });
        }
        self.allowance = Some((left, now_us));
        allowed
    }

    /// An order was taken, or may have been.
    pub fn on_ordered(&mut self, order: &CapacityOrder) {
        self.ordered.insert((order.zone.clone(), order.kind), order.runners);
    }

    /// There are no runners of this kind to be had in the zone.
    pub fn on_unavailable(&mut self, order: &CapacityOrder, now_us: u64) {
        self.mark_unavailable(&order.zone, now_us);
    }

    fn mark_unavailable(&mut self, zone: &ZoneId, now_us: u64) {
        self.unavailable_until_us.insert(zone.clone(), now_us + self.policy.unavailable_pause_us);
        self.ordered.remove(&(zone.clone(), RunnerKind::Preemptible));
    }

    /// A zone that had some that may be taken away and has none any more has lost them: all of a
    /// zone go at once.
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

    /// Runners that may be taken away are given up only some time after fewer would do: what was
    /// lost once may be lost again soon, and new ones have read nothing.
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

    /// Whether an order is in force already: it was given, or nothing was ordered yet and the zone
    /// has just so many.
    fn is_in_force(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> bool {
        self.current_count(order, supply) == order.runners
    }

    fn is_reduction(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> bool {
        order.runners < self.current_count(order, supply)
    }

    fn current_count(&self, order: &CapacityOrder, supply: &BTreeMap<ZoneId, ZoneSupply>) -> u32 {
        self.current_count_of(&order.zone, order.kind, supply)
    }

    /// Runners that a zone has by the last order, or by itself.
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

    /// What each zone is to have.
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
            // Without cheaper runners the fleet stays as operators have set it up.
            return Vec::new();
        }
        let mut orders = self.reserved_orders(Some(self.need), spec, supply);
        // They make room for those that stay as these come.
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

    /// Runners that stay, spread anew if their number changes.
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

    /// So many runners that may be taken away in each zone that has some to be had.
    fn preemptible_orders(
        &self,
        per_zone: u32,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
        spec: &ScalingSpec,
        now_us: u64,
    ) -> Vec<CapacityOrder> {
        let kind = RunnerKind::Preemptible;
        let order = |zone: &ZoneId| {
            // Those that are still to be given up count, too.
            let other_kind = self.current_count_of(zone, RunnerKind::Reserved, supply);
            let runners = per_zone.min(spec.max_runners.saturating_sub(other_kind));
            CapacityOrder { zone: zone.clone(), kind, runners }
        };
        self.zones.iter().filter(|zone| !self.is_unavailable(zone, now_us)).map(order).collect()
    }

    /// Spreads runners that stay over the zones, as far as these have room beside the others.
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
        // Zones with little room first: what they cannot take goes to the others.
        zones.sort_by_key(|(_, room)| *room);
        let mut left = reserved;
        let count = zones.len();
        for (index, (_, per_zone)) in zones.iter_mut().enumerate() {
            let zones_left = u32::try_from(count - index).unwrap_or(u32::MAX);
            *per_zone = left.div_ceil(zones_left).max(spec.min_runners).min(*per_zone);
            left = left.saturating_sub(*per_zone);
        }
        zones
    }

    /// Whether runners that may be taken away cost less, with those that stand in for a zone that
    /// loses them.
    fn is_preemptible_cheaper(&self, spec: &ScalingSpec) -> bool {
        let zones = self.zones.len() as f64;
        let Some(price) = spec.preemptible_price.filter(|_| self.policy.uses_preemptible) else {
            return false;
        };
        self.zones.len() > 1 && price * zones / (zones - 1.0) < 1.0
    }

    /// How many runners are to stay, if that changes: the least, and those that make up for what is
    /// missing now. They are given up when what serves beside them would also do without the zone
    /// that has most; they are added when what serves does not do, and not already when it would
    /// not without one more zone: to stand in for a second loss costs more than the seconds that
    /// pass until they serve.
    fn reserved_change(
        &self,
        min_reserved: u32,
        supply: &BTreeMap<ZoneId, ZoneSupply>,
    ) -> Option<u32> {
        let total: u32 = supply.values().map(|zone| zone.preemptible).sum();
        let largest = supply.values().map(|zone| zone.preemptible).max().unwrap_or(0);
        let min_to_keep = self.need.saturating_sub(total - largest).max(min_reserved);
        let min_to_have = self.need.saturating_sub(total).max(min_reserved);
        let current = self.current_reserved(supply);
        // Each order is paid for, and a runner that crashed may be back before another has begun. A
        // change that has begun is carried through.
        let share = if self.is_changing_reserved { 0.0 } else { self.policy.tolerance };
        let tolerance = (f64::from(self.need) * share).floor() as u32;
        if min_to_keep + tolerance < current {
            return Some(min_to_keep);
        }
        (min_to_have > current + tolerance).then_some(min_to_have)
    }

    fn current_reserved(&self, supply: &BTreeMap<ZoneId, ZoneSupply>) -> u32 {
        let per_zone = |zone: &ZoneId| self.current_count_of(zone, RunnerKind::Reserved, supply);
        self.zones.iter().map(per_zone).sum()
    }
}

/// Runners for each zone that has some to be had, so that enough are left when one loses them.
fn runners_per_available_zone(needed: u32, available_zones: usize) -> u32 {
    let others = u32::try_from(available_zones.saturating_sub(1)).unwrap_or(u32::MAX).max(1);
    needed.div_ceil(others)
}
