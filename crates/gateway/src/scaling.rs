//! Orders runners from the platform while this node holds the authority.
//!
//! The orders are decided in [`pitchstall_serving::capacity_planner`]. The required capacity is
//! kept in the store. A node that takes over continues from this record, and orders nothing before
//! it has read the record.

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::settings::Duty;
use crate::store_responses::ok_or_log;
use pitchstall_platform_adapter::cloud::{self, DutyHolder, DutyResponse, ScaleOrder};
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

/// Interval between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum duration of a call to the store or the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the number of runners must be unchanged before all of them are assumed to be
/// registered. Runners write to the store about once per second.
const REGISTRATION_SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Pause after an order that the platform did not accept.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

struct ScalingController {
    node: Rc<Node>,
    store: PlatformClient,
    cloud: PlatformClient,
    /// The fencing token of the term for which the plans hold; `None` before the first term.
    fence: Option<FencingToken>,
    plans: HashMap<ServiceName, ServicePlan>,
}

struct ServicePlan {
    planner: CapacityPlanner,
    record: CapacityRecord,
    /// Number of preemptible runners that existed before the first order.
    initial_preemptible: u32,
    /// Since when the number of registered runners has matched the record; `None` once the record
    /// is final.
    counting_since: Option<Instant>,
}

/// Orders runners whenever this node holds the authority, until the task is dropped.
pub async fn order_runners(node: Rc<Node>) {
    let mut controller = ScalingController {
        node,
        store: PlatformClient::default(),
        cloud: PlatformClient::default(),
        fence: None,
        plans: HashMap::new(),
    };
    loop {
        sleep(PLAN_INTERVAL).await;
        let node = &controller.node;
        let has_duty = node.settings().cloud.as_ref().is_some_and(|it| it.has(Duty::Scaling));
        let fence = node.authority.fence_for_orders(node.now_us());
        if let Some(fence) = fence.filter(|_| has_duty) {
            controller.plan_services(fence).await;
        }
    }
}

impl ScalingController {
    async fn plan_services(&mut self, fence: FencingToken) {
        if self.fence != Some(fence) {
            self.fence = Some(fence);
            self.plans.clear();
        }
        for (service, spec) in self.scalable_services() {
            if !self.plans.contains_key(&service) && !self.create_plan(&service).await {
                continue;
            }
            self.count_initial_runners(&service).await;
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

    /// Creates the plan of a service from the record of an earlier authority holder or, if there is
    /// none, from the existing runners. Returns `false` if the store does not respond or its record
    /// is unreadable.
    async fn create_plan(&mut self, service: &ServiceName) -> bool {
        let read = store::read_capacity(service);
        let response = self.node.call_store(&mut self.store, &read, CALL_TIMEOUT).await;
        let (record, counting_since) =
            match response.map(|response| (response.status, response.body)) {
                Some((StoreStatus::Done, body)) => {
                    let record = ok_or_log(service.as_str(), store::parse_capacity(&body));
                    let Some(record) = record else { return false };
                    (record, None)
                }
                Some((StoreStatus::Absent, _)) => (self.observed(service), Some(Instant::now())),
                _ => return false,
            };
        let planner = CapacityPlanner::new(self.policy(), record.clone());
        let initial_preemptible = self.supply(service).values().map(|zone| zone.preemptible).sum();
        let plan = ServicePlan { planner, record, initial_preemptible, counting_since };
        self.plans.insert(service.clone(), plan);
        true
    }

    /// The existing capacity, which is the initial requirement: operators set up a service with as
    /// many runners as it needs.
    fn observed(&self, service: &ServiceName) -> CapacityRecord {
        let supply = self.supply(service);
        let need = supply.values().map(|zone| zone.reserved + zone.preemptible).sum();
        CapacityRecord { need, zones: supply.into_keys().collect() }
    }

    /// Counts the runners of a service that has never been planned until all of them are
    /// registered, then writes the record. Runners that were ordered meanwhile are not counted.
    async fn count_initial_runners(&mut self, service: &ServiceName) {
        let supply = self.supply(service);
        let Some(plan) = self.plans.get_mut(service) else { return };
        let Some(since) = plan.counting_since else { return };
        let reserved: u32 = supply.values().map(|zone| zone.reserved).sum();
        let need = reserved + plan.initial_preemptible;
        if need != plan.record.need {
            plan.record = CapacityRecord { need, zones: supply.into_keys().collect() };
            plan.planner.on_recounted(plan.record.clone());
            plan.counting_since = Some(Instant::now());
            return;
        }
        if need == 0 || since.elapsed() < REGISTRATION_SETTLE_TIME {
            return;
        }
        let Some(fence) = self.fence else { return };
        let write = store::write_capacity(service, &plan.record, fence);
        let response = self.node.call_store(&mut self.store, &write, CALL_TIMEOUT).await;
        match response.map(|response| response.status) {
            Some(StoreStatus::Done) => plan.counting_since = None,
            Some(StoreStatus::Conflict) => self.node.authority.on_refused(fence),
            _ => {}
        }
    }

    /// Number of the service's runners in each zone, without those that are leaving.
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
        let orders = match plan.counting_since {
            None => plan.planner.plan(&supply, spec, now_us),
            Some(_) => plan.planner.plan_additions(&supply, spec, now_us),
        };
        for order in orders {
            if !self.order(service, &order).await {
                return;
            }
        }
    }

    /// Sends an order to the platform. Returns whether the next order may be sent.
    async fn order(&mut self, service: &ServiceName, order: &CapacityOrder) -> bool {
        let current_fence = self.node.authority.fence_for_orders(self.node.now_us());
        let Some(fence) = current_fence.filter(|fence| self.fence == Some(*fence)) else {
            return false;
        };
        let Some(cloud) = self.node.settings().cloud.clone() else { return false };
        let holder = DutyHolder { node: self.node.settings().node.name.clone(), fence };
        let preemptible = order.kind == RunnerKind::Preemptible;
        let scale_order = ScaleOrder {
            service: service.clone(),
            zone: order.zone.clone(),
            runners: order.runners,
            preemptible,
        };
        self.node.metrics.cloud_calls.inc();
        let response = self
            .cloud
            .call(cloud.address, &cloud::scale(&holder, &scale_order), CALL_TIMEOUT)
            .await;
        let outcome = response.as_ref().map(|response| cloud::parse_status(response.status));
        log_order(service, order, fence, &outcome);
        let now_us = self.node.now_us();
        let Some(plan) = self.plans.get_mut(service) else { return false };
        match outcome {
            Ok(DutyResponse::Done) => plan.planner.on_ordered(order),
            // The same status also reports a higher fencing token. This is then noticed at the next
            // order of the other kind, at a usage report, or when the lease is renewed.
            Ok(DutyResponse::Conflict) if preemptible => plan.planner.on_unavailable(order, now_us),
            Ok(DutyResponse::Conflict) => {
                self.node.authority.on_refused(fence);
                return false;
            }
            // Without a response the order may or may not have been accepted, so it is sent again.
            Ok(DutyResponse::Later) | Err(_) => {
                sleep(RETRY_PAUSE).await;
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
    outcome: &Result<DutyResponse, E>,
) {
    let response = match outcome {
        Ok(response) => format!("{response:?}"),
        Err(error) => error.to_string(),
    };
    let (service, zone, runners) = (service.as_str(), order.zone.as_str(), order.runners);
    let (runner_kind, fence) = (format!("{:?}", order.kind), fence.number());
    log::info!(target: "scaling", service, zone, runner_kind, runners, fence, answer = response; "ordered");
}
