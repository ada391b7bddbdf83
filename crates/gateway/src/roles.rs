//! Changes the roles of runners, while this node has the authority: where there are several regions,
//! of those in its own region, under the subject of that region.
//!
//! What is ordered is decided in [`pitchstall_serving::role_planner`]. An order that was not
//! answered may be carried out later: nothing else is ordered for a time.

use crate::authority::{roles_holding, roles_subject, Holding};
use crate::http::request::request_bytes;
use crate::http::{BodyDecoder, Header, Upstream};
use crate::node::Node;
use pitchstall_platform_adapter::headers;
use pitchstall_platform_adapter::paths::{self, OrderAnswer, RunnerReport};
use pitchstall_serving::authority::{AuthoritySubject, FencingToken};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::role_planner::{
    NoChangeReason, RoleChange, RoleDemand, RoleMetrics, RolePlan, RolePlanner, RolePolicy,
};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::runner_notice::RunnerNotice;
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

/// Between two lines on what a service's planner saw when it ordered nothing.
const LINE_EVERY_US: u64 = 1_000_000;

struct Roles {
    node: Rc<Node>,
    /// The subject under which this node may order.
    subject: AuthoritySubject,
    planners: HashMap<ServiceName, RolePlanner>,
    /// When a service's last line was written.
    lines: HashMap<ServiceName, u64>,
}

/// Orders role changes whenever this node may, until the task is dropped.
pub async fn order_changes(node: Rc<Node>) {
    let subject = roles_subject(&node);
    let mut roles = Roles { node, subject, planners: HashMap::new(), lines: HashMap::new() };
    loop {
        sleep(PLAN_EVERY).await;
        let subject = roles_subject(&roles.node);
        let is_other = std::mem::replace(&mut roles.subject, subject) != roles.subject;
        if is_other || roles.holding().fence().is_none() {
            // What was seen in an earlier term, or of other runners, says nothing about the next.
            roles.planners.clear();
            continue;
        }
        roles.plan().await;
    }
}

impl Roles {
    fn holding(&self) -> &Holding {
        roles_holding(&self.node, &self.subject)
    }

    async fn plan(&mut self) {
        for (service, engine) in self.node.engine_services() {
            let Some(plan) = self.look(&service, &engine) else { continue };
            let changes = match plan.decision {
                Ok(_) if self.fence_now().is_none() => {
                    // The planner's pressure goes on: orders follow when the term allows them.
                    self.log_nothing(&service, &plan.metrics, "authority not ready");
                    continue;
                }
                Ok(changes) => changes,
                Err(NoChangeReason::NoPressure) => continue,
                Err(reason) => {
                    self.log_nothing(&service, &plan.metrics, reason.name());
                    continue;
                }
            };
            log_seen(&service, &plan.metrics, changes.len());
            for change in &changes {
                self.order(change).await;
            }
            if let Some(planner) = self.planners.get_mut(&service) {
                planner.on_ordered(self.node.now_us());
            }
        }
    }

    /// Says what a planner saw under pressure and why it ordered nothing.
    fn log_nothing(&mut self, service: &ServiceName, seen: &RoleMetrics, reason: &str) {
        let now_us = self.node.now_us();
        let last_us = self.lines.get(service).copied();
        if last_us.is_some_and(|last_us| now_us < last_us + LINE_EVERY_US) {
            return;
        }
        self.lines.insert(service.clone(), now_us);
        let RoleMetrics { prefill, decode, .. } = *seen;
        let needed = seen.prefill_needed.round() as u64;
        let [wait, late, occupancy, memory] = percents(seen);
        let service = service.as_str();
        log::info!(
            target: "authority",
            service, reason, wait, late, occupancy, memory, prefill, decode, needed; "nothing ordered"
        );
    }

    /// `None` for a service for which the configuration names no target.
    fn look(&mut self, service: &ServiceName, engine: &EngineSpec) -> Option<RolePlan> {
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
            self.node
                .with_prefill_speed(service, |pace| planner.plan(&fleet, pace, &demand, now_us)),
        )
    }

    async fn order(&mut self, change: &RoleChange) {
        let Some(fence) = self.fence_now() else { return };
        // An order is two requests, which nobody counts; a runner in need keeps its role.
        let has_limit =
            |fleet: &Fleet| fleet.get(&change.runner).is_some_and(|it| it.limit().is_some());
        if !self.node.may_send_to(&change.runner) || has_limit(&self.node.fleet.borrow()) {
            return;
        }
        let record = self.node.fleet.borrow().get(&change.runner).map(|it| it.record.clone());
        let Some(record) = record else { return };
        let answer = self.send_order(&record, change.stage, fence).await;
        let now_us = self.node.now_us();
        // An order without an answer may have been taken.
        if !matches!(answer, Some(OrderAnswer::Refused | OrderAnswer::Outdated)) {
            let until_us = now_us + CHANGING_US;
            self.node.on_role_change_ordered(&record.id, change.stage, until_us);
        }
        let runner = record.id.as_str();
        let (stage, fence) = (format!("{:?}", change.stage), fence.number());
        let answer = answer.map_or_else(|| "none".to_owned(), |answer| format!("{answer:?}"));
        log::info!(target: "authority", runner, stage, fence, answer; "ordered");
    }

    /// The fencing token, while orders may be given.
    fn fence_now(&self) -> Option<FencingToken> {
        self.holding().fence_to_order(self.node.now_us())
    }

    async fn send_order(
        &self,
        record: &RunnerRecord,
        stage: Stage,
        fence: FencingToken,
    ) -> Option<OrderAnswer> {
        let (_, body) = call_runner(&self.node, record, "GET", paths::REPORT, &[]).await?;
        let Some(report) = paths::parse_report(&body) else {
            return Some(OrderAnswer::Refused);
        };
        // Another life counts its orders anew: the number that it is asked to expect would hold by chance.
        if !record.id.matches_start(report.born_ms) {
            self.node.on_incarnation_mismatch(&record.id, report.born_ms);
            return Some(OrderAnswer::Refused);
        }
        let RunnerReport { orders_taken, is_busy, leaving } = report.what;
        self.node.on_notice(&record.id, RunnerNotice { leaving, ..RunnerNotice::default() });
        if is_busy || leaving {
            return Some(OrderAnswer::Refused);
        }
        // The term may have ended while the runner was asked.
        if self.fence_now() != Some(fence) {
            return Some(OrderAnswer::Refused);
        }
        let name = self.node.settings().node.name.clone();
        let order = paths::role_order(stage, &name, fence, orders_taken);
        let (status, _) = call_runner(&self.node, record, "POST", paths::ORDER, &order).await?;
        let answer = paths::parse_order_status(status);
        if answer == Some(OrderAnswer::Outdated) {
            self.holding().on_refused(fence);
        }
        answer
    }
}

/// Wait, late work, slots and memory in use, each in hundredths.
fn percents(seen: &RoleMetrics) -> [u64; 4] {
    let percent = |share: f64| (share * 100.0).round() as u64;
    [seen.wait, seen.overdue_wait, seen.occupancy, seen.memory].map(percent)
}

/// Says what a planner saw when it orders changes.
fn log_seen(service: &ServiceName, seen: &RoleMetrics, changes: usize) {
    let RoleMetrics { prefill, decode, .. } = *seen;
    let needed = seen.prefill_needed.round() as u64;
    let [wait, late, occupancy, memory] = percents(seen);
    let service = service.as_str();
    log::info!(
        target: "authority",
        service, changes, wait, late, occupancy, memory, prefill, decode, needed; "ordering changes"
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
        let connection = Upstream::open(record.address, RUNNER_LIMIT).await.ok()?;
        let mut all: Vec<Header> =
            vec![("host".to_owned(), record.address.to_string().into_bytes())];
        let own = headers::order_headers(&record.id).into_iter();
        all.extend(own.map(|(name, value)| (name.to_owned(), value.into_bytes())));
        if !body.is_empty() {
            all.push(("content-type".to_owned(), b"application/json".to_vec()));
        }
        let sent_at_us = node.now_us();
        connection.send(request_bytes(method, target, &all, body)).ok()?;
        let head = connection.read_head().await.ok()?;
        let facts = node.on_response_head(&record.id, &head);
        node.on_limit_in_head(&record.id, &facts, sent_at_us);
        let decoder = BodyDecoder::new(head.framing);
        let body = connection.read_whole_body(&decoder, MOST_REPORT_BYTES).await.ok()?;
        Some((head.status, body))
    };
    timeout(RUNNER_LIMIT, exchange).await.ok().flatten()
}
