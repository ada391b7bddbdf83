//! Holds the authority over runners' roles, if no other node does, and gives orders.
//!
//! One node at a time holds a leased key; the others look at it now and then, by reads that
//! may be old and cost little. What a holder may do when is decided in
//! [`pitchstall_serving::authority`], what it orders in [`pitchstall_serving::role_planner`].
//! An order that was not answered may be carried out later: nothing else is ordered for a time.

use crate::http::request::request_bytes;
use crate::http::{BodyDecoder, Header, Upstream};
use crate::node::Node;
use crate::store_client::StoreClient;
use pitchstall_platform_adapter::headers;
use pitchstall_platform_adapter::paths::{self, OrderAnswer};
use pitchstall_platform_adapter::store::{self, StoreCall, StoreStatus};
use pitchstall_serving::authority::{AuthorityTerm, LeaseTimes};
use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::role_planner::{RoleChange, RoleDemand, RolePlanner, RolePolicy};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use rand::RngExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Between two looks at the fleet.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Between two looks whether somebody has the authority, milliseconds.
const LOOK_EVERY_MS: std::ops::Range<u64> = 2_000..4_000;
/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Limit of a call to a runner.
const RUNNER_LIMIT: Duration = Duration::from_millis(700);
/// Longest time for which a runner counts as changing its role. The list tells earlier, unless
/// the order was lost.
const CHANGING_US: u64 = 6_000_000;
/// Shortest lease.
const MIN_TTL_MS: u64 = 3_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Renewals in the time of a lease.
const RENEWALS: u32 = 3;
const MOST_REPORT_BYTES: usize = 1024 * 1024;

struct Term {
    lease: u64,
    term: AuthorityTerm,
    renewed_at: Instant,
}

struct Authority {
    node: Rc<Node>,
    client: StoreClient,
    term: Option<Term>,
    planners: HashMap<ServiceName, RolePlanner>,
}

/// Holds the authority whenever it can, until the node stops.
pub async fn hold(node: Rc<Node>) {
    let client = StoreClient::default();
    let mut authority = Authority { node, client, term: None, planners: HashMap::new() };
    while !authority.node.is_stopping() {
        if authority.term.is_none() {
            let pause = rand::rng().random_range(LOOK_EVERY_MS);
            sleep(Duration::from_millis(pause)).await;
            authority.try_take().await;
        } else {
            sleep(PLAN_EVERY).await;
            authority.keep().await;
            authority.plan().await;
        }
    }
    authority.hand_over().await;
}

impl Authority {
    fn times(&self) -> LeaseTimes {
        let lease_ms = self.node.settings().bounds.lease_ms;
        LeaseTimes {
            ttl_us: lease_ms.max(MIN_TTL_MS) * MICROS_PER_MILLI,
            separation_us: lease_ms * MICROS_PER_MILLI,
        }
    }

    async fn try_take(&mut self) {
        let has_engines = !self.engine_services().is_empty();
        // Only nodes that read the store look who has the authority: each look is a call.
        let is_mirror = self.node.members.borrow().is_mirror();
        if !self.node.is_ready() || !has_engines || !is_mirror {
            return;
        }
        if self.call(&store::read_authority()).await.map(|(status, _)| status)
            != Some(StoreStatus::Absent)
        {
            return;
        }
        let times = self.times();
        let sent_at_us = self.node.now_us();
        let grant = store::grant_lease(times.ttl_us / MICROS_PER_MILLI);
        let Some((StoreStatus::Done, body)) = self.call(&grant).await else { return };
        let Ok(lease) = store::parse_lease(&body) else { return };
        let name = self.node.settings().node.name.clone();
        // Without an answer the key may be ours unknown to us: the lease lapses by itself.
        let take = store::take_authority(&name, lease);
        let Some((StoreStatus::Done, body)) = self.call(&take).await else { return };
        let Ok(fence) = store::parse_transaction(&body) else { return };
        let term = AuthorityTerm::new(fence, sent_at_us, self.node.now_us(), times);
        log::info!(target: "authority", fence, lease; "gained");
        self.term = Some(Term { lease, term, renewed_at: Instant::now() });
    }

    async fn keep(&mut self) {
        let times = self.times();
        let Some(held) = &self.term else { return };
        let every = Duration::from_micros(times.ttl_us) / RENEWALS;
        if held.renewed_at.elapsed() >= every {
            let sent_at_us = self.node.now_us();
            let answer = self.call(&store::keep_lease(held.lease)).await;
            let Some(held) = &mut self.term else { return };
            match answer {
                Some((StoreStatus::Done, _)) => {
                    held.term.renew(sent_at_us, times);
                    held.renewed_at = Instant::now();
                }
                Some((StoreStatus::Absent, _)) => return self.lose("the lease is over"),
                _ => {}
            }
        }
        let now_us = self.node.now_us();
        if self.term.as_ref().is_some_and(|held| held.term.is_over(now_us)) {
            self.lose("the lease could not be renewed");
        }
    }

    fn lose(&mut self, reason: &str) {
        if let Some(held) = self.term.take() {
            log::warn!(target: "authority", fence = held.term.fence, reason; "lost");
        }
    }

    /// Ends the lease, so that another node can take over at once.
    async fn hand_over(&mut self) {
        if let Some(held) = self.term.take() {
            let _ = self.call(&store::end_lease(held.lease)).await;
            log::info!(target: "authority", fence = held.term.fence; "handed over");
        }
    }

    fn engine_services(&self) -> Vec<(ServiceName, EngineSpec)> {
        let Some(configuration) = self.node.configuration() else { return Vec::new() };
        let services = configuration.services.iter();
        services.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?))).collect()
    }

    async fn plan(&mut self) {
        for (service, engine) in self.engine_services() {
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
        if answer != Some(OrderAnswer::Refused) {
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
        let now_us = self.node.now_us();
        let term = self.term.as_ref()?.term;
        term.may_order(now_us).then_some(term.fence)
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
        paths::parse_order_status(status)
    }

    async fn call(&mut self, call: &StoreCall) -> Option<(StoreStatus, Vec<u8>)> {
        self.node.metrics.store_calls.inc();
        let address = self.node.settings().store.address;
        match self.client.call(address, call, STORE_LIMIT).await {
            Ok(answer) => Some((store::parse_status(answer.status), answer.body)),
            Err(_) => {
                self.node.metrics.store_failures.inc();
                None
            }
        }
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
