//! What a node does to have its runs paid for: whom it asks, for how long, and what follows.
//!
//! A question goes to one keeper at a time. A keeper that does not answer soon is passed over, and
//! asked last for a while; if it answers later all the same, and another one has paid, its grant
//! is given back. A grant is used within [`GRANT_LIFE_US`] of the first question or given back.

use crate::ids::{TenantName, ZoneId};
use crate::quota::{QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict, TenantLimit};
use crate::quota_outcome::{charged_keepers, refunds, QuotaGrant, QuotaOutcome};
use crate::quota_share::GRANT_TTL_US;
use crate::quota_slots::{keepers_of, query_order, KeeperId};
use crate::scheduling::Ticket;
use crate::topology::Topology;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time for which a keeper of the own region is waited for, microseconds: some ten times what an
/// answer takes, also if the question is handed on twice.
const REPLY_TIMEOUT_US: u64 = 30_000;
/// The same for a keeper of another region: two crossings of 30 ms, twice.
const CROSS_REGION_REPLY_TIMEOUT_US: u64 = 130_000;
/// Time for which a keeper that has not answered in time is asked last, microseconds: a lost word
/// costs little, and one that is gone costs few callers a patience.
const UNRESPONSIVE_FOR_US: u64 = 1_000_000;
/// Time after the first question until which keepers are asked, microseconds; then nobody can be
/// reached. It leaves a grant that comes at the end time to be used.
const QUERY_DEADLINE_US: u64 = 400_000;
/// Questions for one run: each keeper of a tenant of three twice.
const MAX_QUERIES: usize = 6;
/// Time for which a run that is settled is remembered, microseconds: late answers are told by it.
const SETTLED_RUN_TTL_US: u64 = 3_000_000;
/// Runs that are remembered: far more than a node settles in that time.
const MAX_SETTLED_RUNS: usize = 16_384;

/// A run that is to be paid for.
#[derive(Clone, Debug)]
pub struct QuotaRequest {
    /// Identifies the run at this node; a further run of the same request has another one.
    pub ticket: Ticket,
    /// The tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: TenantLimit,
    /// The version of the configuration that says so.
    pub version: u64,
    /// What the run costs, see [`TenantLimit::cost`].
    pub cost: u64,
    /// Rank of the request, 0 first.
    pub priority: u8,
}

/// What the node does next about a run.
#[derive(Debug, PartialEq, Eq)]
pub enum RequesterAction {
    /// It sends the question to the holder of the keeper that it names, and calls
    /// [`QuotaDesk::on_patience_over`] after so many microseconds.
    Query(QuotaQuery, u64),
    /// It is settled. What was paid in vain is given back: each word goes to the holder of the
    /// keeper that it names.
    Settled(Ticket, QuotaOutcome, Vec<QuotaRefund>),
    /// A grant came too late and is given back.
    Refund(Vec<QuotaRefund>),
    /// Nothing.
    Noop,
}

#[derive(Debug)]
struct PendingRun {
    request: QuotaRequest,
    first_queried_at_us: u64,
    /// Keepers that were asked, the last one last.
    tried: Vec<KeeperId>,
    /// Those that said that they are none.
    not_keepers: Vec<KeeperId>,
    /// Those that paid parts for a question that came to nothing.
    unused_charges: Vec<KeeperId>,
}

#[derive(Debug)]
struct SettledRun {
    tenant: TenantName,
    /// Keepers that paid and are not to give back any more: the run is paid by them, or they have
    /// been told.
    handled: Vec<KeeperId>,
}

/// A node's questions.
#[derive(Debug)]
pub struct QuotaRequester {
    zone: ZoneId,
    bounds: QuotaBounds,
    topology: Topology,
    reply_to: SocketAddr,
    /// Until when keepers that did not answer are asked last.
    unresponsive_until_us: BTreeMap<KeeperId, u64>,
    pending: HashMap<Ticket, PendingRun>,
    settled: HashMap<Ticket, SettledRun>,
    settled_order: VecDeque<(u64, Ticket)>,
}

impl QuotaRequester {
    /// A node of a zone that is answered at this address.
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

    /// A run is to be paid for. `can_ask` says whether a keeper has a holder that is in touch.
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

    /// The keeper that was asked last has not answered in time.
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

    /// A keeper answers.
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
                // They are not told yet: the next question may be paid by what they have paid.
                pending.unused_charges.extend(charged_keepers(reply));
                pending.not_keepers.push(reply.keeper.clone());
                self.query_next(ticket, is_reachable, now_us)
            }
        }
    }

    /// The caller has gone: a grant that comes is given back.
    pub fn cancel(&mut self, ticket: Ticket, now_us: u64) -> RequesterAction {
        self.settle(ticket, QuotaOutcome::Unreachable, now_us)
    }

    /// Runs that wait for an answer.
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

    /// What others than those that paid for the run have paid is given back, once. What is not
    /// remembered is not given back: the run may have been sent.
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

/// Adds those that are not yet in a list, and returns them.
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
