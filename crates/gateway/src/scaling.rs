//! Orders how many runners there are, while this node has the authority.
//!
//! What is ordered is decided in [`pitchstall_serving::capacity_planner`]. What was needed is kept
//! in the store: a node that takes over goes on by it, and orders nothing before it knows it.

use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::settings::Duty;
use pitchstall_platform_adapter::cloud::{self, DutyAnswer, DutyHolder, ScaleOrder};
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::capacity_planner::{
    CapacityOrder, CapacityPlanner, CapacityPolicy, CapacityRecord, RunnerKind, ScalingSpec,
    ZoneSupply,
};
use pitchstall_serving::ids::{ServiceName, ZoneId};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
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
    /// The term for which the planners hold.
    fence: u64,
    planners: HashMap<ServiceName, CapacityPlanner>,
    /// Runners of a service that has never been planned, and since when it has so many.
    counted: HashMap<ServiceName, (u32, Instant)>,
}

/// Orders runners whenever this node may, until the task is dropped.
pub async fn order_runners(node: Rc<Node>) {
    let mut scaling = Scaling {
        node,
        store: PlatformClient::default(),
        cloud: PlatformClient::default(),
        fence: 0,
        planners: HashMap::new(),
        counted: HashMap::new(),
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
    async fn step(&mut self, fence: u64) {
        if fence != self.fence {
            self.fence = fence;
            self.planners.clear();
        }
        for (service, spec) in self.scalable_services() {
            if !self.planners.contains_key(&service) {
                let Some(record) = self.record_of(&service).await else { continue };
                let planner = CapacityPlanner::new(self.policy(), record);
                self.planners.insert(service.clone(), planner);
            }
            self.plan(&service, &spec).await;
        }
    }

    fn policy(&self) -> CapacityPolicy {
        let section = self.node.settings().capacity;
        CapacityPolicy {
            least_reserved: section.least_reserved,
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

    /// What the service needs, as an earlier holder found it or as this one does.
    async fn record_of(&mut self, service: &ServiceName) -> Option<CapacityRecord> {
        let read = store::read_capacity(service);
        match self.node.call_store(&mut self.store, &read, CALL_LIMIT).await? {
            (StoreStatus::Done, body) => match store::parse_capacity(&body) {
                Ok(record) => Some(record),
                Err(error) => {
                    let (service, error) = (service.as_str(), error.to_string());
                    log::error!(target: "scaling", service, error; "plan cannot be read");
                    None
                }
            },
            (StoreStatus::Absent, _) => self.first_record(service).await,
            _ => None,
        }
    }

    /// Operators have set the service up with as many runners as it needs. They are counted once all
    /// are listed.
    async fn first_record(&mut self, service: &ServiceName) -> Option<CapacityRecord> {
        let supply = self.supply(service);
        let need = supply.values().map(|zone| zone.reserved + zone.preemptible).sum();
        let record = CapacityRecord { need, zones: supply.into_keys().collect() };
        let now = Instant::now();
        let (counted, since) = self.counted.entry(service.clone()).or_insert((need, now));
        if *counted != need {
            (*counted, *since) = (need, now);
        }
        if need == 0 || since.elapsed() < LISTED_WITHIN {
            return None;
        }
        let write = store::write_capacity(service, &record, self.fence);
        let answer = self.node.call_store(&mut self.store, &write, CALL_LIMIT).await;
        match answer {
            Some((StoreStatus::Done, _)) => Some(record),
            Some((StoreStatus::Conflict, _)) => {
                self.node.authority.on_refused(self.fence);
                None
            }
            _ => None,
        }
    }

    /// The service's runners by zone, without those that leave.
    fn supply(&self, service: &ServiceName) -> BTreeMap<ZoneId, ZoneSupply> {
        let mut supply: BTreeMap<ZoneId, ZoneSupply> = BTreeMap::new();
        let fleet = self.node.fleet.borrow();
        for runner in fleet.iter().filter(|runner| runner.record.service == *service) {
            let record = &runner.record;
            let zone = supply.entry(record.zone.clone()).or_default();
            match (record.draining, record.preemptible) {
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
        let Some(planner) = self.planners.get_mut(service) else { return };
        for order in planner.plan(&supply, spec, now_us) {
            if !self.order(service, &order).await {
                return;
            }
        }
    }

    /// Gives an order; returns whether the next one may follow.
    async fn order(&mut self, service: &ServiceName, order: &CapacityOrder) -> bool {
        if self.node.authority.fence_to_order(self.node.now_us()) != Some(self.fence) {
            return false;
        }
        let Some(cloud) = self.node.settings().cloud.clone() else { return false };
        let holder = DutyHolder { node: self.node.settings().node.name.clone(), fence: self.fence };
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
        log_order(service, order, self.fence, &outcome);
        let now_us = self.node.now_us();
        let Some(planner) = self.planners.get_mut(service) else { return false };
        match outcome {
            Ok(DutyAnswer::Done) => planner.on_ordered(order),
            Ok(DutyAnswer::Conflict) if preemptible => planner.on_none_to_be_had(order, now_us),
            Ok(DutyAnswer::Conflict) => {
                self.node.authority.on_refused(self.fence);
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
    fence: u64,
    outcome: &Result<DutyAnswer, E>,
) {
    let answer = match outcome {
        Ok(answer) => format!("{answer:?}"),
        Err(error) => error.to_string(),
    };
    let (service, zone, runners) = (service.as_str(), order.zone.as_str(), order.runners);
    let runner_kind = format!("{:?}", order.kind);
    log::info!(target: "scaling", service, zone, runner_kind, runners, fence, answer; "ordered");
}
