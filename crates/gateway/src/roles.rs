//! Orders role changes of runners while this node holds the authority. If there are several
//! regions, it orders those of its own region, under the authority subject of that region.
//!
//! The changes are decided in [`pitchstall_serving::role_planner`]. An order without a response may
//! still be executed later, so no further change is ordered for a while.

use crate::authority::{local_roles_authority, roles_subject, LocalAuthority};
use crate::http::request::encode_request;
use crate::http::{Header, Upstream};
use crate::node::Node;
use crate::response_memory::BodyBuffer;
use pitchstall_platform_adapter::headers;
use pitchstall_platform_adapter::paths::{self, OrderResponse, RunnerReport};
use pitchstall_serving::authority::{AuthoritySubject, FencingToken};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::role_planner::{
    NoChangeReason, OrderResult, RoleChange, RoleDemand, RoleMetrics, RolePlan, RolePlanner,
    RolePolicy,
};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::runner_notice::RunnerNotice;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum duration of a call to a runner.
const RUNNER_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time for which a runner counts as changing its role, in microseconds. The registry
/// usually shows the new role earlier. It never does if the order was lost.
const MAX_ROLE_CHANGE_US: u64 = 6_000_000;
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Minimum interval between two log lines about a service for which no change was ordered, in
/// microseconds.
const LOG_INTERVAL_US: u64 = 1_000_000;

struct RoleController {
    node: Rc<Node>,
    /// The authority subject under which this node orders changes.
    subject: AuthoritySubject,
    planners: HashMap<ServiceName, RolePlanner>,
    /// When a service without an ordered change was last logged, in microseconds.
    last_logged_us: HashMap<ServiceName, u64>,
}

/// Orders role changes whenever this node holds the authority, until the task is dropped.
pub async fn order_role_changes(node: Rc<Node>) {
    let subject = roles_subject(&node);
    let mut controller =
        RoleController { node, subject, planners: HashMap::new(), last_logged_us: HashMap::new() };
    loop {
        sleep(PLAN_INTERVAL).await;
        let subject = roles_subject(&controller.node);
        let has_new_subject =
            std::mem::replace(&mut controller.subject, subject) != controller.subject;
        if has_new_subject || controller.authority().fence().is_none() {
            // Measurements of an earlier term or of another region's runners do not apply to the
            // next term.
            controller.planners.clear();
            continue;
        }
        controller.plan().await;
    }
}

impl RoleController {
    fn authority(&self) -> &LocalAuthority {
        local_roles_authority(&self.node, &self.subject)
    }

    async fn plan(&mut self) {
        for (service, engine) in self.node.engine_services() {
            let Some(plan) = self.plan_service(&service, &engine) else { continue };
            let changes = match plan.decision {
                Ok(_) if self.fence_now().is_none() => {
                    // The planner keeps track of the pressure, so orders follow as soon as the term
                    // allows them.
                    self.log_no_order(&service, &plan.metrics, "authority not ready");
                    continue;
                }
                Ok(changes) => changes,
                Err(NoChangeReason::NoPressure) => continue,
                Err(reason) => {
                    self.log_no_order(&service, &plan.metrics, reason.name());
                    continue;
                }
            };
            log_ordering(&service, &plan.metrics, changes.len());
            let mut result = OrderResult::Unconfirmed;
            for change in &changes {
                if self.order_change(change).await == Some(OrderResponse::Taken) {
                    result = OrderResult::Accepted;
                }
            }
            if let Some(planner) = self.planners.get_mut(&service) {
                planner.on_ordered(self.node.now_us(), result);
            }
        }
    }

    /// Logs the measurements of a planner under pressure and the reason why it ordered no change.
    fn log_no_order(&mut self, service: &ServiceName, metrics: &RoleMetrics, reason: &str) {
        let now_us = self.node.now_us();
        let last_us = self.last_logged_us.get(service).copied();
        if last_us.is_some_and(|last_us| now_us < last_us + LOG_INTERVAL_US) {
            return;
        }
        self.last_logged_us.insert(service.clone(), now_us);
        let RoleMetrics { prefill, decode, .. } = *metrics;
        let needed = metrics.prefill_needed.round() as u64;
        let [wait, late, occupancy, memory] = percents(metrics);
        let service = service.as_str();
        log::info!(
            target: "authority",
            service, reason, wait, late, occupancy, memory, prefill, decode, needed; "no role change ordered"
        );
    }

    /// Plans the role changes of a service; `None` if the configuration has no target for the
    /// service.
    fn plan_service(&mut self, service: &ServiceName, engine: &EngineSpec) -> Option<RolePlan> {
        let configuration = self.node.configuration();
        let target_ms = configuration.and_then(|it| it.min_target_ms(service))?;
        let demand = RoleDemand {
            service,
            engine,
            target_ms: target_ms as f64,
            region: self.subject.region(),
        };
        let now_us = self.node.now_us();
        let new_planner = || RolePlanner::new(RolePolicy::default());
        let planner = self.planners.entry(service.clone()).or_insert_with(new_planner);
        let fleet = self.node.fleet.borrow();
        Some(
            self.node.with_prefill_speed(service, |speeds| {
                planner.plan(&fleet, speeds, &demand, now_us)
            }),
        )
    }

    /// Orders a change; `None` if the runner gave no response or no order was sent.
    async fn order_change(&mut self, change: &RoleChange) -> Option<OrderResponse> {
        let fence = self.fence_now()?;
        // An order takes two requests that no keeper counts, as the request for the runner's state.
        if !self.node.may_ask_for_state(&change.runner) {
            return None;
        }
        let record = self.node.fleet.borrow().get(&change.runner).map(|it| it.record.clone())?;
        let response = self.send_order(&record, change.stage, fence).await;
        let now_us = self.node.now_us();
        // An order without a response may have been accepted.
        if !matches!(response, Some(OrderResponse::Refused | OrderResponse::Outdated)) {
            let until_us = now_us + MAX_ROLE_CHANGE_US;
            self.node.on_role_change_ordered(&record.id, change.stage, until_us);
        }
        let runner = record.id.as_str();
        let (stage, fence) = (format!("{:?}", change.stage), fence.number());
        let answer = response.map_or_else(|| "none".to_owned(), |response| format!("{response:?}"));
        log::info!(target: "authority", runner, stage, fence, answer; "ordered");
        response
    }

    /// The current fencing token, if orders are allowed now.
    fn fence_now(&self) -> Option<FencingToken> {
        self.authority().fence_for_orders(self.node.now_us())
    }

    async fn send_order(
        &self,
        record: &RunnerRecord,
        stage: Stage,
        fence: FencingToken,
    ) -> Option<OrderResponse> {
        let (_, body) = call_runner(&self.node, record, "GET", paths::REPORT, &[]).await?;
        let Some(report) = paths::parse_runner_report(&body) else {
            return Some(OrderResponse::Refused);
        };
        // Another incarnation counts its accepted orders from the start, so the expected number
        // could match by chance.
        if !record.id.matches_start(report.started_at_ms) {
            self.node.on_incarnation_mismatch(&record.id, report.started_at_ms);
            return Some(OrderResponse::Refused);
        }
        let RunnerReport { accepted_orders, is_busy, is_draining: is_leaving } = report.value;
        self.node.on_notice(&record.id, RunnerNotice { is_leaving, ..RunnerNotice::default() });
        if is_busy || is_leaving {
            return Some(OrderResponse::Refused);
        }
        // The term may have ended while the runner's report was awaited.
        if self.fence_now() != Some(fence) {
            return Some(OrderResponse::Refused);
        }
        let name = self.node.settings().node.name.clone();
        let order = paths::role_order_body(stage, &name, fence, accepted_orders);
        let (status, _) = call_runner(&self.node, record, "POST", paths::ORDER, &order).await?;
        let response = paths::parse_order_status(status);
        if response == Some(OrderResponse::Outdated) {
            self.authority().on_refused(fence);
        }
        response
    }
}

/// Wait, wait because of overdue work, occupied slots and used memory, each in percent.
fn percents(metrics: &RoleMetrics) -> [u64; 4] {
    let percent = |share: f64| (share * 100.0).round() as u64;
    [metrics.wait, metrics.overdue_wait, metrics.occupancy, metrics.memory].map(percent)
}

/// Logs the measurements of a planner that orders role changes.
fn log_ordering(service: &ServiceName, metrics: &RoleMetrics, changes: usize) {
    let RoleMetrics { prefill, decode, .. } = *metrics;
    let needed = metrics.prefill_needed.round() as u64;
    let [wait, late, occupancy, memory] = percents(metrics);
    let service = service.as_str();
    log::info!(
        target: "authority",
        service, changes, wait, late, occupancy, memory, prefill, decode, needed; "ordering role changes"
    );
}

async fn call_runner(
    node: &Node,
    record: &RunnerRecord,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let connection = Upstream::open(record.address, RUNNER_CALL_TIMEOUT).await.ok()?;
        let mut all_headers: Vec<Header> =
            vec![("host".to_owned(), record.address.to_string().into_bytes())];
        let order_headers = headers::order_headers(&record.id).into_iter();
        all_headers
            .extend(order_headers.map(|(name, value)| (name.to_owned(), value.into_bytes())));
        if !body.is_empty() {
            all_headers.push(("content-type".to_owned(), b"application/json".to_vec()));
        }
        let sent_at_us = node.now_us();
        let pending = connection.send(encode_request(method, target, &all_headers, body)).ok()?;
        let response = pending.read_head().await.ok()?;
        let metadata = node.on_response_head(&record.id, &response.head);
        node.on_limit_in_response(&record.id, &metadata, sent_at_us);
        let mut buffer = BodyBuffer::new(MAX_REPORT_BYTES, node.reserve_response());
        response.read_body_into(&mut buffer).await.ok()?;
        let (body, _) = buffer.into_parts();
        Some((response.head.status, body))
    };
    timeout(RUNNER_CALL_TIMEOUT, exchange).await.ok().flatten()
}
