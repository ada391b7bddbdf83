//! Charges the cost of runs against their tenant's quota before they are sent.

use super::keeper;
use super::{bounds, own_address};
use crate::node::{configured_topology, Node};
use crate::peer_messages::PeerMessage;
use pitchstall_serving::quota::{QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict, TenantLimit};
use pitchstall_serving::quota_outcome::{QuotaGrant, QuotaOutcome};
use pitchstall_serving::quota_requester::{QuotaRequest, QuotaRequester, RequesterAction};
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::request::RequestMetadata;
use pitchstall_serving::scheduling::Ticket;
use pitchstall_serving::tenancy::Tenant;
use rand::RngExt;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Runs that wait for a keeper's reply, by ticket. The sender delivers the requester's next action.
pub type PendingQueries = HashMap<Ticket, oneshot::Sender<RequesterAction>>;

/// Maximum fraction by which the wait returned to a client is extended at random, so that clients
/// that were refused together do not retry together.
const RETRY_JITTER: f64 = 0.1;
/// Minimum time between two alarms that no keeper can be reached, microseconds.
const ALARM_INTERVAL_US: u64 = 1_000_000;

/// The cost of one run of a request, with the limit that it is charged against.
#[derive(Clone, Debug)]
pub struct RunCost {
    tenant: Rc<Tenant>,
    limit: TenantLimit,
    version: u64,
    cost: u64,
    priority: u8,
}

impl RunCost {
    /// The cost of a run of `tenant` under a version of the configuration; `None` if the run costs
    /// nothing, because there is no tenant or no limit or the cost is 0.
    pub fn of(
        tenant: Option<&Rc<Tenant>>,
        metadata: &RequestMetadata,
        priority: u8,
        version: u64,
    ) -> Option<Self> {
        let tenant = tenant?;
        let limit = tenant.limit?;
        let cost = limit.cost(metadata.prompt.as_ref().filter(|_| metadata.has_token_counts));
        (cost > 0).then(|| Self { tenant: tenant.clone(), limit, version, cost, priority })
    }

    /// The same cost for a run that was granted before: its query takes precedence over those of
    /// waiting requests.
    pub fn with_top_priority(&self) -> Self {
        Self { priority: 0, ..self.clone() }
    }
}

/// Why a run could not be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRejection {
    /// The tenant has reached its limit.
    OverQuota {
        /// Time until the tenant is expected to have enough units for the run, with jitter,
        /// milliseconds.
        wait_ms: u64,
    },
    /// No keeper of the tenant could be reached.
    Unreachable,
}

/// A charged run that has not been sent. Dropping it refunds the charge, unless it is [marked as
/// sent](QuotaReservation::mark_sent).
pub struct QuotaReservation {
    node: Rc<Node>,
    tenant: Rc<Tenant>,
    cost: u64,
    grant: Option<QuotaGrant>,
}

/// A charged run that has been sent and whose runner has not responded. Dropping it refunds the charge, unless the run
/// starts when it arrives at its runner.
pub struct SentReservation {
    /// `None` after the charge has been settled.
    reservation: Option<QuotaReservation>,
    starts_on_arrival: bool,
}

impl QuotaReservation {
    /// Whether the run may still be sent: the grant has not expired.
    pub fn is_usable(&self) -> bool {
        let now_us = self.node.now_us();
        self.grant.as_ref().is_some_and(|grant| grant.is_usable(now_us))
    }

    /// Marks the run as sent. From then on, the charge may have to be kept. `starts_on_arrival`: the run starts when it
    /// arrives at its runner; otherwise the runner responds when it starts.
    pub fn mark_sent(self, starts_on_arrival: bool) -> SentReservation {
        SentReservation { reservation: Some(self), starts_on_arrival }
    }

    /// Keeps the charge.
    fn keep(mut self) {
        self.grant = None;
    }
}

impl SentReservation {
    /// Returns the reservation for another attempt: the run has certainly not started.
    pub fn on_not_run(mut self) -> Option<QuotaReservation> {
        self.reservation.take()
    }

    /// Keeps the charge: the run may have started.
    pub fn on_started(mut self) {
        if let Some(reservation) = self.reservation.take() {
            reservation.keep();
        }
    }
}

impl Drop for SentReservation {
    fn drop(&mut self) {
        match self.reservation.take() {
            Some(reservation) if self.starts_on_arrival => reservation.keep(),
            reservation => drop(reservation),
        }
    }
}

impl Drop for QuotaReservation {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.node.metrics.quota.on_refunded(self.tenant.name.as_str(), self.cost);
            send_refunds(&self.node, grant.into_refunds());
        }
    }
}

/// Cancels a query when dropped. A grant that arrives later is refunded.
struct QueryGuard<'a> {
    node: &'a Rc<Node>,
    ticket: Ticket,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.node.quotas.pending.borrow_mut().remove(&self.ticket);
        let action =
            with_requester(self.node, |requester, now_us| requester.cancel(self.ticket, now_us));
        if let RequesterAction::Settled(_, _, refunds) = action {
            send_refunds(self.node, refunds);
        }
    }
}

/// Charges a run of a request against its tenant's quota. Fails if the tenant has reached its limit
/// or if no keeper can be reached.
pub async fn reserve(
    node: &Rc<Node>,
    request: &str,
    run: &RunCost,
) -> Result<QuotaReservation, QuotaRejection> {
    let tenant = run.tenant.name.as_str();
    node.metrics.quota.on_requested(tenant);
    match request_grant(node, run).await {
        QuotaOutcome::Granted(grant) => {
            node.metrics.quota.on_granted(tenant, run.cost);
            log::debug!(target: "quota", request, tenant, cost = run.cost; "granted");
            let (node, tenant) = (node.clone(), run.tenant.clone());
            Ok(QuotaReservation { node, tenant, cost: run.cost, grant: Some(grant) })
        }
        QuotaOutcome::Refused { wait_ms, keeper, level } => {
            node.metrics.quota.on_refused(tenant);
            let (cost, left, keeper) = (run.cost, level, keeper.to_string());
            let (rate, priority) = (run.limit.rate_per_s, run.priority);
            log::info!(target: "quota", request, tenant, cost, rate, priority, left, keeper, wait_ms; "refused");
            let jitter = rand::rng().random_range(0.0..RETRY_JITTER);
            let wait_ms = wait_ms.saturating_add((wait_ms as f64 * jitter) as u64);
            Err(QuotaRejection::OverQuota { wait_ms })
        }
        QuotaOutcome::Unreachable => {
            node.metrics.quota.on_unreachable(tenant);
            log::info!(target: "quota", request, tenant, cost = run.cost; "no quota keeper replied");
            alarm_unreachable(node, tenant);
            Err(QuotaRejection::Unreachable)
        }
    }
}

/// Logs an alarm that requests of a tenant are refused because no keeper can be reached, at most
/// once per [`ALARM_INTERVAL_US`] for all tenants.
fn alarm_unreachable(node: &Node, tenant: &str) {
    let now_us = node.now_us();
    let last_us = node.quotas.last_alarm_us.get();
    if last_us.is_some_and(|last_us| now_us < last_us + ALARM_INTERVAL_US) {
        return;
    }
    node.quotas.last_alarm_us.set(Some(now_us));
    let known = node.quotas.holders.borrow().all().count();
    log::error!(target: "quota", tenant, known; "no quota keeper of the tenant can be reached");
}

async fn request_grant(node: &Rc<Node>, run: &RunCost) -> QuotaOutcome {
    let ticket = node.scheduling.next_ticket();
    let guard = QueryGuard { node, ticket };
    let request = QuotaRequest {
        ticket,
        tenant: run.tenant.name.clone(),
        limit: run.limit,
        version: run.version,
        cost: run.cost,
        priority: run.priority,
    };
    let mut action = with_requester(node, |requester, now_us| {
        requester.start(request, is_reachable(node, now_us), now_us)
    });
    loop {
        action = match action {
            RequesterAction::Query(query, timeout_us) => send_query(node, query, timeout_us).await,
            RequesterAction::Settled(_, outcome, refunds) => {
                drop(guard);
                send_refunds(node, refunds);
                return outcome;
            }
            RequesterAction::Refund(_) | RequesterAction::Noop => return QuotaOutcome::Unreachable,
        };
    }
}

/// Sends a query to a keeper and returns the next action, after its reply or the timeout.
async fn send_query(node: &Rc<Node>, query: QuotaQuery, timeout_us: u64) -> RequesterAction {
    let (ticket, keeper) = (query.ticket, query.keeper.clone());
    let (sender, receiver) = oneshot::channel();
    node.quotas.pending.borrow_mut().insert(ticket, sender);
    deliver_query(node, query);
    if let Ok(Ok(action)) = timeout(Duration::from_micros(timeout_us), receiver).await {
        return action;
    }
    on_reply_timeout(node, &keeper);
    with_requester(node, |requester, now_us| {
        requester.on_reply_timeout(ticket, &keeper, is_reachable(node, now_us), now_us)
    })
}

fn on_reply_timeout(node: &Node, keeper: &KeeperId) {
    node.metrics.quota.reply_timeouts.inc();
    if node.quotas.holders.borrow_mut().on_reply_timeout(keeper, node.now_us()) {
        log::info!(target: "quota", keeper = keeper.to_string(); "quota keeper skipped after missed replies");
    }
}

fn with_requester<R>(node: &Node, use_requester: impl FnOnce(&mut QuotaRequester, u64) -> R) -> R {
    let mut requester = node.quotas.requester.borrow_mut();
    let new_requester = || {
        let settings = node.settings();
        let (bounds, topology) = (bounds(&settings), configured_topology(&settings));
        QuotaRequester::new(node.zone.clone(), settings.listen.peers, bounds, topology)
    };
    use_requester(requester.get_or_insert_with(new_requester), node.now_us())
}

fn is_reachable(node: &Node, now_us: u64) -> impl Fn(&KeeperId) -> bool + '_ {
    move |keeper| node.quotas.holders.borrow().query_address(keeper, now_us).is_some()
}

/// Delivers a query to the holder of the keeper that it names. If no holder is known, the query is
/// dropped.
pub(super) fn deliver_query(node: &Node, query: QuotaQuery) {
    let address = node.quotas.holders.borrow().query_address(&query.keeper, node.now_us());
    match address {
        Some(address) if address == own_address(node) => keeper::handle_query(node, &query),
        Some(address) => {
            node.scheduling.socket.send(&PeerMessage::QuotaQuery(query), &[address]);
        }
        None => {}
    }
}

/// Handles a keeper's reply to a query.
pub fn on_reply(node: &Node, reply: &QuotaReply) {
    let now_us = node.now_us();
    {
        let mut holders = node.quotas.holders.borrow_mut();
        match reply.verdict {
            QuotaVerdict::NotKeeper => holders.on_not_keeper(&reply.keeper, now_us),
            _ => holders.on_reply(&reply.keeper, now_us),
        }
    }
    let action = with_requester(node, |requester, now_us| {
        requester.on_reply(reply, is_reachable(node, now_us), now_us)
    });
    match action {
        RequesterAction::Noop => {}
        RequesterAction::Refund(refunds) => send_refunds(node, refunds),
        action => resume(node, reply.ticket, action),
    }
}

/// Passes the next action to the request that waits for it. If that request has just ended, its
/// grant is refunded.
fn resume(node: &Node, ticket: Ticket, action: RequesterAction) {
    let pending = node.quotas.pending.borrow_mut().remove(&ticket);
    let undelivered = match pending {
        Some(sender) => sender.send(action).err(),
        None => Some(action),
    };
    if let Some(RequesterAction::Settled(_, outcome, refunds)) = undelivered {
        send_refunds(node, refunds);
        if let QuotaOutcome::Granted(grant) = outcome {
            send_refunds(node, grant.into_refunds());
        }
    }
}

/// Sends refunds to the holders of the keepers that made the charges.
fn send_refunds(node: &Node, refunds: Vec<QuotaRefund>) {
    for refund in refunds {
        let address = node.quotas.holders.borrow().address_of(&refund.keeper);
        match address {
            Some(address) if address == own_address(node) => keeper::on_refund(node, &refund),
            Some(address) => {
                node.scheduling.socket.send(&PeerMessage::QuotaRefund(refund), &[address]);
            }
            // The charge is kept. The tenant loses these units, but is granted nothing above its
            // limit.
            None => {
                let (keeper, tenant) = (refund.keeper.to_string(), refund.tenant.as_str());
                log::info!(target: "quota", keeper, tenant; "quota charge not refunded: the holder of the keeper is unknown");
            }
        }
    }
}
