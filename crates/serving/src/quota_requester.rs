//! A node's quota queries: which keeper is queried for a run, how long a reply is awaited, and how
//! the run is settled.
//!
//! A run is queried at one keeper at a time. A keeper that does not reply in time is skipped and
//! queried last for a while. If its grant arrives after another keeper has granted the run, that
//! late grant is refunded. A grant is used within [`GRANT_TTL_US`] of the first query or refunded.

use crate::ids::{TenantName, ZoneId};
use crate::quota::{QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict, TenantLimit};
use crate::quota_outcome::{charged_keepers, refunds, QuotaGrant, QuotaOutcome};
use crate::quota_share::GRANT_TTL_US;
use crate::quota_slots::{keepers_of, query_order, KeeperId};
use crate::scheduling::Ticket;
use crate::topology::Topology;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time to wait for a keeper in the node's own region, in microseconds: about ten times what a
/// reply takes, even if the query is forwarded twice.
const REPLY_TIMEOUT_US: u64 = 30_000;
/// Time to wait for a keeper in a remote region, in microseconds: two round trips with 30 ms each
/// way, and some margin.
const CROSS_REGION_REPLY_TIMEOUT_US: u64 = 130_000;
/// Time for which a keeper that has not replied in time is queried last, in microseconds. A lost
/// datagram thus has little effect, and only few requests wait for a keeper that is gone.
const UNRESPONSIVE_FOR_US: u64 = 1_000_000;
/// Time after the first query at which no further keeper is queried and the quota counts as
/// unreachable, in microseconds. A grant that arrives at the end still has time to be used.
const QUERY_DEADLINE_US: u64 = 400_000;
/// Maximum number of queries for one run: twice each of the three keepers of a tenant.
const MAX_QUERIES: usize = 6;
/// Time for which a settled run is remembered to recognize late replies, in microseconds.
const SETTLED_RUN_TTL_US: u64 = 3_000_000;
/// Maximum number of settled runs to remember: far more than a node settles within
/// [`SETTLED_RUN_TTL_US`].
const MAX_SETTLED_RUNS: usize = 16_384;

/// A run whose cost is to be charged against its tenant's quota.
#[derive(Clone, Debug)]
pub struct QuotaRequest {
    /// Identifies the run at this node. Another run of the same request has another ticket.
    pub ticket: Ticket,
    /// The tenant whose quota is charged.
    pub tenant: TenantName,
    /// The tenant's limit as known to this node.
    pub limit: TenantLimit,
    /// The version of the configuration that `limit` was read from.
    pub version: u64,
    /// Cost of the run in units, see [`TenantLimit::cost`].
    pub cost: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The next action of the node for a run.
#[derive(Debug, PartialEq, Eq)]
pub enum RequesterAction {
    /// Send the query to the holder of the keeper that it names, and call
    /// [`QuotaRequester::on_reply_timeout`] if no reply arrives within the given time, in
    /// microseconds.
    Query(QuotaQuery, u64),
    /// The run is settled. Send each refund, for charges that were not used, to the holder of the
    /// keeper that it names.
    Settled(Ticket, QuotaOutcome, Vec<QuotaRefund>),
    /// A grant arrived too late. Send the refunds to the holders of the keepers that they name.
    Refund(Vec<QuotaRefund>),
    /// Nothing to do.
    Noop,
}

#[derive(Debug)]
struct PendingRun {
    request: QuotaRequest,
    first_queried_at_us: u64,
    /// Keepers that were queried, in order.
    tried: Vec<KeeperId>,
    /// Keepers for which the queried node replied that it does not hold them.
    not_keepers: Vec<KeeperId>,
    /// Keepers that made partial charges for a query that was not granted.
    unused_charges: Vec<KeeperId>,
}

#[derive(Debug)]
struct SettledRun {
    tenant: TenantName,
    /// Keepers whose charges are accounted for: they paid for the run or have been sent a refund.
    handled: Vec<KeeperId>,
}

/// The state of all quota queries of a node.
#[derive(Debug)]
pub struct QuotaRequester {
    zone: ZoneId,
    bounds: QuotaBounds,
    topology: Topology,
    reply_to: SocketAddr,
    /// Time until which each unresponsive keeper is queried last, in microseconds.
    unresponsive_until_us: BTreeMap<KeeperId, u64>,
    pending: HashMap<Ticket, PendingRun>,
    settled: HashMap<Ticket, SettledRun>,
    settled_order: VecDeque<(u64, Ticket)>,
}

impl QuotaRequester {
    /// Creates the requester of a node in `zone` that receives replies at `reply_to`.
    pub fn new(
        zone: ZoneId,
        reply_to: SocketAddr,
        bounds: QuotaBounds,
        topology: Topology,
    ) -> Self {
        Self {
            zone,
            bounds,
            topology,
            reply_to,
            unresponsive_until_us: BTreeMap::new(),
            pending: HashMap::new(),
            settled: HashMap::new(),
            settled_order: VecDeque::new(),
        }
    }

    /// Starts to query keepers for a run. `is_reachable` returns whether a keeper has a holder that
    /// this node is in contact with.
    pub fn start(
        &mut self,
        request: QuotaRequest,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> RequesterAction {
        self.expire(now_us);
        let ticket = request.ticket;
        let pending = PendingRun {
            request,
            first_queried_at_us: now_us,
            tried: Vec::new(),
            not_keepers: Vec::new(),
            unused_charges: Vec::new(),
        };
        self.pending.insert(ticket, pending);
        self.query_next(ticket, is_reachable, now_us)
    }

    /// Records that `keeper` has not replied in time. Ignored unless it was the last one queried
    /// for the run.
    pub fn on_reply_timeout(
        &mut self,
        ticket: Ticket,
        keeper: &KeeperId,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> RequesterAction {
        let last = self.pending.get(&ticket).and_then(|pending| pending.tried.last());
        if last != Some(keeper) {
            return RequesterAction::Noop;
        }
        self.unresponsive_until_us.insert(keeper.clone(), now_us + UNRESPONSIVE_FOR_US);
        self.query_next(ticket, is_reachable, now_us)
    }

    /// Handles a keeper's reply, which may be late or duplicated.
    pub fn on_reply(
        &mut self,
        reply: &QuotaReply,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> RequesterAction {
        let ticket = reply.ticket;
        self.unresponsive_until_us.remove(&reply.keeper);
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return self.on_late_reply(reply);
        };
        match reply.verdict {
            QuotaVerdict::Granted => {
                let tenant = pending.request.tenant.clone();
                let expires_at_us = pending.first_queried_at_us + GRANT_TTL_US;
                let grant = QuotaGrant::new(ticket, tenant, charged_keepers(reply), expires_at_us);
                self.settle(ticket, QuotaOutcome::Granted(grant), now_us)
            }
            QuotaVerdict::Refused { wait_ms } => {
                pending.unused_charges.extend(charged_keepers(reply));
                let keeper = reply.keeper.clone();
                let refused = QuotaOutcome::Refused { wait_ms, keeper, level: reply.level };
                self.settle(ticket, refused, now_us)
            }
            QuotaVerdict::NotKeeper => {
                // No refund yet: the next query may use the charges that these keepers have made.
                pending.unused_charges.extend(charged_keepers(reply));
                pending.not_keepers.push(reply.keeper.clone());
                self.query_next(ticket, is_reachable, now_us)
            }
        }
    }

    /// Abandons a run whose client has disconnected. A grant that arrives later is refunded.
    pub fn cancel(&mut self, ticket: Ticket, now_us: u64) -> RequesterAction {
        self.settle(ticket, QuotaOutcome::Unreachable, now_us)
    }

    /// Number of runs that wait for a reply.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    fn query_next(
        &mut self,
        ticket: Ticket,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> RequesterAction {
        self.unresponsive_until_us.retain(|_, until_us| now_us < *until_us);
        let Some(pending) = self.pending.get_mut(&ticket) else { return RequesterAction::Noop };
        let request = &pending.request;
        let keepers = keepers_of(&request.tenant, &request.limit, &self.bounds, &self.topology);
        let ordered = query_order(&keepers, &self.zone, &self.topology);
        let query_count =
            |keeper: &KeeperId| pending.tried.iter().filter(|one| *one == keeper).count();
        let is_unresponsive = |keeper: &KeeperId| self.unresponsive_until_us.contains_key(keeper);
        let unresponsive: Vec<KeeperId> = keepers.into_iter().filter(is_unresponsive).collect();
        let next = ordered
            .into_iter()
            .filter(|keeper| is_reachable(keeper) && !pending.not_keepers.contains(keeper))
            .min_by_key(|keeper| (query_count(keeper), unresponsive.contains(keeper)));
        let is_exhausted = now_us >= pending.first_queried_at_us + QUERY_DEADLINE_US
            || pending.tried.len() >= MAX_QUERIES;
        let Some(keeper) = next.filter(|_| !is_exhausted) else {
            return self.settle(ticket, QuotaOutcome::Unreachable, now_us);
        };
        pending.tried.push(keeper.clone());
        let is_same_region =
            self.topology.region_of(&keeper.zone) == self.topology.region_of(&self.zone);
        let query = QuotaQuery {
            ticket,
            reply_to: self.reply_to,
            tenant: pending.request.tenant.clone(),
            limit: pending.request.limit,
            version: pending.request.version,
            cost: pending.request.cost,
            priority: pending.request.priority,
            keeper,
            tried: Vec::new(),
            unresponsive,
            available_units: 0,
            charged: Vec::new(),
        };
        RequesterAction::Query(
            query,
            if is_same_region { REPLY_TIMEOUT_US } else { CROSS_REGION_REPLY_TIMEOUT_US },
        )
    }

    fn settle(&mut self, ticket: Ticket, outcome: QuotaOutcome, now_us: u64) -> RequesterAction {
        let Some(pending) = self.pending.remove(&ticket) else { return RequesterAction::Noop };
        let mut handled = match &outcome {
            QuotaOutcome::Granted(grant) => grant.keepers().to_vec(),
            QuotaOutcome::Refused { .. } | QuotaOutcome::Unreachable => Vec::new(),
        };
        let to_refund = insert_new(&mut handled, pending.unused_charges);
        let tenant = pending.request.tenant;
        let refund_messages = refunds(ticket, &tenant, to_refund);
        self.settled.insert(ticket, SettledRun { tenant, handled });
        self.settled_order.push_back((now_us, ticket));
        RequesterAction::Settled(ticket, outcome, refund_messages)
    }

    /// Refunds, once, the charges of keepers other than those that paid for the run. A run that is
    /// no longer remembered is not refunded, since it may have been sent.
    fn on_late_reply(&mut self, reply: &QuotaReply) -> RequesterAction {
        let Some(run) = self.settled.get_mut(&reply.ticket) else { return RequesterAction::Noop };
        let to_refund = insert_new(&mut run.handled, charged_keepers(reply));
        if to_refund.is_empty() {
            return RequesterAction::Noop;
        }
        RequesterAction::Refund(refunds(reply.ticket, &run.tenant, to_refund))
    }

    fn expire(&mut self, now_us: u64) {
        while let Some((settled_at_us, ticket)) = self.settled_order.front().copied() {
            let is_expired = now_us >= settled_at_us + SETTLED_RUN_TTL_US;
            if !is_expired && self.settled_order.len() <= MAX_SETTLED_RUNS {
                return;
            }
            self.settled_order.pop_front();
            self.settled.remove(&ticket);
        }
    }
}

/// Adds the keepers that are not yet in `handled`, and returns those added.
fn insert_new(handled: &mut Vec<KeeperId>, keepers: Vec<KeeperId>) -> Vec<KeeperId> {
    let mut added = Vec::new();
    for keeper in keepers {
        if !handled.contains(&keeper) {
            handled.push(keeper.clone());
            added.push(keeper);
        }
    }
    added
}
