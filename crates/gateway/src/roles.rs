//! Changes the roles of runners, while this node has the authority.
//!
//! What is ordered is decided in [`pitchstall_serving::role_planner`]. An order that was not
//! answered may be carried out later: nothing else is ordered for a time.

use crate::http::request::request_bytes;
use crate::http::{BodyDecoder, Header, Upstream};
use crate::node::Node;
use pitchstall_platform_adapter::headers;
use pitchstall_platform_adapter::paths::{self, OrderAnswer};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::role_planner::{RoleChange, RoleDemand, RolePlanner, RolePolicy};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Between two looks at the fleet.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Limit of a call to a runner.
const RUNNER_LIMIT: Duration = Duration::from_millis(700);
/// Longest time for which a runner counts as changing its role. The list tells earlier, unless
/// the order was lost.
const CHANGING_US: u64 = 6_000_000;
const MOST_REPORT_BYTES: usize = 1024 * 1024;

struct Roles {
    node: Rc<Node>,
    planners: HashMap<ServiceName, RolePlanner>,
}

/// Orders role changes whenever this node may, until the task is dropped.
pub async fn order_changes(node: Rc<Node>) {
    let mut roles = Roles { node, planners: HashMap::new() };
    loop {
        sleep(PLAN_EVERY).await;
        if roles.node.authority.fence().is_none() {
            // What was seen in an earlier term says nothing about the next.
            roles.planners.clear();
            continue;
        }
        roles.plan().await;
    }
}

impl Roles {
    async fn plan(&mut self) {
        for (service, engine) in self.node.engine_services() {
            let changes = self.due_changes(&service, &engine);
            for change in &changes {
                self.order(change).await;
            }
            if let Some(planner) = self.planners.get_mut(&service).filter(|_| !changes.is_empty()) {
                planner.on_ordered(self.node.now_us());
            }
        }
    }

    fn due_changes(&mut self, service: &ServiceName, engine: &EngineSpec) -> Vec<RoleChange> {
        let configuration = self.node.configuration();
        let target_ms = configuration.and_then(|it| it.shortest_target_ms(service));
        let Some(target_ms) = target_ms else { return Vec::new() };
        let demand = RoleDemand { service, engine, target_ms: target_ms as f64 };
        let now_us = self.node.now_us();
        let new_planner = || RolePlanner::new(RolePolicy::default());
        let planner = self.planners.entry(service.clone()).or_insert_with(new_planner);
        let fleet = self.node.fleet.borrow();
        self.node.with_pace(service, |pace| planner.plan(&fleet, pace, &demand, now_us))
    }

    async fn order(&mut self, change: &RoleChange) {
        let Some(fence) = self.fence_now() else { return };
        let record = self.node.fleet.borrow().get(&change.runner).map(|it| it.record.clone());
        let Some(record) = record else { return };
        let answer = self.send_order(&record, change.stage, fence).await;
        let now_us = self.node.now_us();
        // An order without an answer may have been taken.
        if !matches!(answer, Some(OrderAnswer::Refused | OrderAnswer::Outdated)) {
            let until_us = now_us + CHANGING_US;
            self.node.on_role_ordered(&record.id, change.stage, until_us);
        }
        let runner = record.id.as_str();
        let stage = format!("{:?}", change.stage);
        let answer = answer.map_or_else(|| "none".to_owned(), |answer| format!("{answer:?}"));
        log::info!(target: "authority", runner, stage, fence, answer; "ordered");
    }

    /// The fencing token, while orders may be given.
    fn fence_now(&self) -> Option<u64> {
        self.node.authority.fence_to_order(self.node.now_us())
    }

    async fn send_order(
        &self,
        record: &RunnerRecord,
        stage: Stage,
        fence: u64,
    ) -> Option<OrderAnswer> {
        let (_, body) = call_runner(record, "GET", paths::REPORT, &[]).await?;
        let Some(orders_taken) = paths::parse_orders_taken(&body) else {
            return Some(OrderAnswer::Refused);
        };
        // The term may have ended while the runner was asked.
        if self.fence_now() != Some(fence) {
            return Some(OrderAnswer::Refused);
        }
        let name = self.node.settings().node.name.clone();
        let order = paths::role_order(stage, &name, fence, orders_taken);
        let (status, _) = call_runner(record, "POST", paths::ORDER, &order).await?;
        let answer = paths::parse_order_status(status);
        if answer == Some(OrderAnswer::Outdated) {
            self.node.authority.on_refused(fence);
        }
        answer
    }
}

async fn call_runner(
    record: &RunnerRecord,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let connection = Upstream::open(record.address, RUNNER_LIMIT).await.ok()?;
        let mut all: Vec<Header> =
            vec![("host".to_owned(), record.address.to_string().into_bytes())];
        let own = headers::order_headers(&record.id).into_iter();
        all.extend(own.map(|(name, value)| (name.to_owned(), value.into_bytes())));
        if !body.is_empty() {
            all.push(("content-type".to_owned(), b"application/json".to_vec()));
        }
        connection.send(request_bytes(method, target, &all, body)).ok()?;
        let head = connection.read_head().await.ok()?;
        let decoder = BodyDecoder::new(head.framing);
        let body = connection.read_whole_body(&decoder, MOST_REPORT_BYTES).await.ok()?;
        Some((head.status, body))
    };
    timeout(RUNNER_LIMIT, exchange).await.ok().flatten()
}
