//! Orders how many runners there are, while this node has the authority.
//!
//! What is ordered is decided in [`pitchstall_serving::capacity_planner`]. What was needed is kept
//! in the store: a node that takes over goes on by it, and orders nothing before it knows it.

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::settings::Duty;
use crate::store_responses::ok_or_log;
use pitchstall_platform_adapter::cloud::{self, DutyAnswer, DutyHolder, ScaleOrder};
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::authority::FencingToken;
use pitchstall_serving::capacity_planner::{
    CapacityOrder, CapacityPlanner, CapacityPolicy, CapacityRecord, RunnerKind, ScalingSpec,
    ZoneSupply,
};
use pitchstall_serving::ids::{ServiceName, ZoneId};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the fleet.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Limit of a call.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which the number of runners must not change before all are taken to be listed: runners
/// write to the store about every second.
const LISTED_WITHIN: Duration = Duration::from_millis(2_000);
/// Pause after an order that the platform did not take.
const LATER_PAUSE: Duration = Duration::from_millis(500);

struct Scaling {
    node: Rc<Node>,
    store: PlatformClient,
    cloud: PlatformClient,
    /// The term for which the plans hold; `None`: there has been none.
    fence: Option<FencingToken>,
    plans: HashMap<ServiceName, Plan>,
}

/// The plan of a service.
struct Plan {
    planner: CapacityPlanner,
    record: CapacityRecord,
    /// Preemptible runners that were there before any was ordered.
    found_preemptible: u32,
    /// Since when the runners that are listed are as many as the record says; `None`: it is final.
    counting: Option<Instant>,
}

/// Orders runners whenever this node may, until the task is dropped.
pub async fn order_runners(node: Rc<Node>) {
    let mut scaling = Scaling {
        node,
        store: PlatformClient::default(),
        cloud: PlatformClient::default(),
        fence: None,
        plans: HashMap::new(),
    };
    loop {
        sleep(PLAN_EVERY).await;
        let node = &scaling.node;
        let has_duty = node.settings().cloud.as_ref().is_some_and(|it| it.has(Duty::Scaling));
        let fence = node.authority.fence_to_order(node.now_us());
        if let Some(fence) = fence.filter(|_| has_duty) {
            scaling.step(fence).await;
        }
    }
}

impl Scaling {
    async fn step(&mut self, fence: FencingToken) {
        if self.fence != Some(fence) {
            self.fence = Some(fence);
            self.plans.clear();
        }
        for (service, spec) in self.scalable_services() {
            if !self.plans.contains_key(&service) && !self.begin_plan(&service).await {
                continue;
            }
            self.count(&service).await;
            self.plan(&service, &spec).await;
        }
    }

    fn policy(&self) -> CapacityPolicy {
        let section = self.node.settings().capacity;
        CapacityPolicy {
            min_reserved_share: section.least_reserved,
            headroom: section.headroom,
            uses_preemptible: section.preemptible,
            ..CapacityPolicy::default()
        }
    }

    fn scalable_services(&self) -> Vec<(ServiceName, ScalingSpec)> {
        let Some(configuration) = self.node.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        services.filter_map(|(name, it)| Some((name.clone(), it.scaling.clone()?))).collect()
    }

    /// Begins to plan by what an earlier holder recorded, or by what is there; `false`: the store
    /// does not tell.
    async fn begin_plan(&mut self, service: &ServiceName) -> bool {
        let read = store::read_capacity(service);
        let answer = self.node.call_store(&mut self.store, &read, CALL_LIMIT).await;
        let (record, counting) = match answer.map(|answer| (answer.status, answer.body)) {
            Some((StoreStatus::Done, body)) => {
                let record = ok_or_log(service.as_str(), store::parse_capacity(&body));
                let Some(record) = record else { return false };
                (record, None)
            }
            Some((StoreStatus::Absent, _)) => (self.present(service), Some(Instant::now())),
            _ => return false,
        };
        let planner = CapacityPlanner::new(self.policy(), record.clone());
        let found_preemptible = self.supply(service).values().map(|zone| zone.preemptible).sum();
        let plan = Plan { planner, record, found_preemptible, counting };
        self.plans.insert(service.clone(), plan);
        true
    }

    /// What is there. Operators set a service up with as many runners as it needs.
    fn present(&self, service: &ServiceName) -> CapacityRecord {
        let supply = self.supply(service);
        let need = supply.values().map(|zone| zone.reserved + zone.preemptible).sum();
        CapacityRecord { need, zones: supply.into_keys().collect() }
    }

    /// Counts the runners of a service that has never been planned, until all are listed; then
    /// records them. Those that were ordered meanwhile do not count.
    async fn count(&mut self, service: &ServiceName) {
        let supply = self.supply(service);
        let Some(plan) = self.plans.get_mut(service) else { return };
        let Some(since) = plan.counting else { return };
        let reserved: u32 = supply.values().map(|zone| zone.reserved).sum();
        let need = reserved + plan.found_preemptible;
        if need != plan.record.need {
            plan.record = CapacityRecord { need, zones: supply.into_keys().collect() };
            plan.planner.on_recounted(plan.record.clone());
            plan.counting = Some(Instant::now());
            return;
        }
        if need == 0 || since.elapsed() < LISTED_WITHIN {
            return;
        }
        let Some(fence) = self.fence else { return };
        let write = store::write_capacity(service, &plan.record, fence);
        let answer = self.node.call_store(&mut self.store, &write, CALL_LIMIT).await;
        match answer.map(|answer| answer.status) {
            Some(StoreStatus::Done) => plan.counting = None,
            Some(StoreStatus::Conflict) => self.node.authority.on_refused(fence),
            _ => {}
        }
    }

    /// The service's runners by zone, without those that leave.
    fn supply(&self, service: &ServiceName) -> BTreeMap<ZoneId, ZoneSupply> {
        let mut supply: BTreeMap<ZoneId, ZoneSupply> = BTreeMap::new();
        let fleet = self.node.fleet.borrow();
        for runner in fleet.iter().filter(|runner| runner.record.service == *service) {
            let record = &runner.record;
            let zone = supply.entry(record.zone.clone()).or_default();
            match (runner.is_leaving(), record.preemptible) {
                (true, _) => {}
                (false, true) => zone.preemptible += 1,
                (false, false) => zone.reserved += 1,
            }
        }
        supply
    }

    async fn plan(&mut self, service: &ServiceName, spec: &ScalingSpec) {
        let supply = self.supply(service);
        let now_us = self.node.now_us();
        let Some(plan) = self.plans.get_mut(service) else { return };
        let orders = match plan.counting {
            None => plan.planner.plan(&supply, spec, now_us),
            Some(_) => plan.planner.plan_additions(&supply, spec, now_us),
        };
        for order in orders {
            if !self.order(service, &order).await {
                return;
            }
        }
    }

    /// Gives an order; returns whether the next one may follow.
    async fn order(&mut self, service: &ServiceName, order: &CapacityOrder) -> bool {
        let may_order = self.node.authority.fence_to_order(self.node.now_us());
        let Some(fence) = may_order.filter(|fence| self.fence == Some(*fence)) else {
            return false;
        };
        let Some(cloud) = self.node.settings().cloud.clone() else { return false };
        let holder = DutyHolder { node: self.node.settings().node.name.clone(), fence };
        let preemptible = order.kind == RunnerKind::Preemptible;
        let told = ScaleOrder {
            service: service.clone(),
            zone: order.zone.clone(),
            runners: order.runners,
            preemptible,
        };
        self.node.metrics.cloud_calls.inc();
        let answer =
            self.cloud.call(cloud.address, &cloud::scale(&holder, &told), CALL_LIMIT).await;
        let outcome = answer.as_ref().map(|answer| cloud::parse_status(answer.status));
        log_order(service, order, fence, &outcome);
        let now_us = self.node.now_us();
        let Some(plan) = self.plans.get_mut(service) else { return false };
        match outcome {
            Ok(DutyAnswer::Done) => plan.planner.on_ordered(order),
            // The same status tells of a higher fencing token: that one shows at the next order of
            // the other kind, at a usage report, or when the lease is renewed.
            Ok(DutyAnswer::Conflict) if preemptible => plan.planner.on_unavailable(order, now_us),
            Ok(DutyAnswer::Conflict) => {
                self.node.authority.on_refused(fence);
                return false;
            }
            // Without an answer it may have been taken or not: it is given again.
            Ok(DutyAnswer::Later) | Err(_) => {
                sleep(LATER_PAUSE).await;
                return false;
            }
        }
        true
    }
}

fn log_order<E: std::fmt::Display>(
    service: &ServiceName,
    order: &CapacityOrder,
    fence: FencingToken,
    outcome: &Result<DutyAnswer, E>,
) {
    let answer = match outcome {
        Ok(answer) => format!("{answer:?}"),
        Err(error) => error.to_string(),
    };
    let (service, zone, runners) = (service.as_str(), order.zone.as_str(), order.runners);
    let (runner_kind, fence) = (format!("{:?}", order.kind), fence.number());
    log::info!(target: "scaling", service, zone, runner_kind, runners, fence, answer; "ordered");
}
