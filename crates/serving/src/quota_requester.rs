//! What a node does to have its runs paid for: whom it asks, for how long, and what follows.
//!
//! A question goes to one keeper at a time. A keeper that does not answer soon is passed over, and
//! asked last for a while; if it answers later all the same, and another one has paid, its grant
//! is given back. A grant is used within [`GRANT_LIFE_US`] of the first question or given back.

use crate::ids::{TenantName, ZoneId};
use crate::quota::{
    QuotaAnswer, QuotaBounds, QuotaQuestion, QuotaReturn, QuotaVerdict, TenantLimit,
};
use crate::quota_outcome::{payers, returns, QuotaGrant, QuotaOutcome};
use crate::quota_share::GRANT_LIFE_US;
use crate::quota_slots::{keepers_of, order_for, KeeperId};
use crate::scheduling::Ticket;
use crate::topology::Topology;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time for which a keeper of the own region is waited for, microseconds: some ten times what an
/// answer takes, also if the question is handed on twice.
const PATIENCE_US: u64 = 30_000;
/// The same for a keeper of another region: two crossings of 30 ms, twice.
const FAR_PATIENCE_US: u64 = 130_000;
/// Time for which a keeper that has not answered in time is asked last, microseconds: a lost word
/// costs little, and one that is gone costs few callers a patience.
const SILENT_FOR_US: u64 = 1_000_000;
/// Time after the first question until which keepers are asked, microseconds; then nobody can be
/// reached. It leaves a grant that comes at the end time to be used.
const GIVE_UP_AFTER_US: u64 = 400_000;
/// Questions for one run: each keeper of a tenant of three twice.
const MOST_QUESTIONS: usize = 6;
/// Time for which a run that is settled is remembered, microseconds: late answers are told by it.
const REMEMBERED_US: u64 = 3_000_000;
/// Runs that are remembered: far more than a node settles in that time.
const MOST_REMEMBERED: usize = 16_384;

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
pub enum DeskStep {
    /// It sends the question to the holder of the keeper that it names, and calls
    /// [`QuotaDesk::on_patience_over`] after so many microseconds.
    Ask(QuotaQuestion, u64),
    /// It is settled. What was paid in vain is given back: each word goes to the holder of the
    /// keeper that it names.
    Settled(Ticket, QuotaOutcome, Vec<QuotaReturn>),
    /// A grant came too late and is given back.
    GiveBack(Vec<QuotaReturn>),
    /// Nothing.
    Nothing,
}

#[derive(Debug)]
struct Pending {
    request: QuotaRequest,
    first_sent_us: u64,
    /// Keepers that were asked, the last one last.
    asked: Vec<KeeperId>,
    /// Those that said that they are none.
    not_keepers: Vec<KeeperId>,
    /// Those that paid parts for a question that came to nothing.
    part_payers: Vec<KeeperId>,
}

#[derive(Debug)]
struct SettledRun {
    tenant: TenantName,
    /// Keepers that paid and are not to give back any more: the run is paid by them, or they have
    /// been told.
    done: Vec<KeeperId>,
}

/// A node's questions.
#[derive(Debug)]
pub struct QuotaDesk {
    zone: ZoneId,
    bounds: QuotaBounds,
    topology: Topology,
    answer_to: SocketAddr,
    /// Until when keepers that did not answer are asked last.
    silent_until_us: BTreeMap<KeeperId, u64>,
    pending: HashMap<Ticket, Pending>,
    settled: HashMap<Ticket, SettledRun>,
    settled_order: VecDeque<(u64, Ticket)>,
}

impl QuotaDesk {
    /// A node of a zone that is answered at this address.
    pub fn new(
        zone: ZoneId,
        answer_to: SocketAddr,
        bounds: QuotaBounds,
        topology: Topology,
    ) -> Self {
        Self {
            zone,
            bounds,
            topology,
            answer_to,
            silent_until_us: BTreeMap::new(),
            pending: HashMap::new(),
            settled: HashMap::new(),
            settled_order: VecDeque::new(),
        }
    }

    /// A run is to be paid for. `can_ask` says whether a keeper has a holder that is in touch.
    pub fn ask(
        &mut self,
        request: QuotaRequest,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> DeskStep {
        self.forget(now_us);
        let ticket = request.ticket;
        let pending = Pending {
            request,
            first_sent_us: now_us,
            asked: Vec::new(),
            not_keepers: Vec::new(),
            part_payers: Vec::new(),
        };
        self.pending.insert(ticket, pending);
        self.ask_next(ticket, can_ask, now_us)
    }

    /// The keeper that was asked last has not answered in time.
    pub fn on_patience_over(
        &mut self,
        ticket: Ticket,
        keeper: &KeeperId,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> DeskStep {
        let last = self.pending.get(&ticket).and_then(|pending| pending.asked.last());
        if last != Some(keeper) {
            return DeskStep::Nothing;
        }
        self.silent_until_us.insert(keeper.clone(), now_us + SILENT_FOR_US);
        self.ask_next(ticket, can_ask, now_us)
    }

    /// A keeper answers.
    pub fn on_answer(
        &mut self,
        answer: &QuotaAnswer,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> DeskStep {
        let ticket = answer.ticket;
        self.silent_until_us.remove(&answer.keeper);
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return self.on_late_answer(answer);
        };
        match answer.verdict {
            QuotaVerdict::Granted => {
                let tenant = pending.request.tenant.clone();
                let use_before_us = pending.first_sent_us + GRANT_LIFE_US;
                let grant = QuotaGrant::new(ticket, tenant, payers(answer), use_before_us);
                self.settle(ticket, QuotaOutcome::Granted(grant), now_us)
            }
            QuotaVerdict::Refused { wait_ms } => {
                pending.part_payers.extend(payers(answer));
                let keeper = answer.keeper.clone();
                let refused = QuotaOutcome::Refused { wait_ms, keeper, level: answer.level };
                self.settle(ticket, refused, now_us)
            }
            QuotaVerdict::NotKeeper => {
                // They are not told yet: the next question may be paid by what they have paid.
                pending.part_payers.extend(payers(answer));
                pending.not_keepers.push(answer.keeper.clone());
                self.ask_next(ticket, can_ask, now_us)
            }
        }
    }

    /// The caller has gone: a grant that comes is given back.
    pub fn on_gone(&mut self, ticket: Ticket, now_us: u64) -> DeskStep {
        self.settle(ticket, QuotaOutcome::Unreachable, now_us)
    }

    /// Runs that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    fn ask_next(
        &mut self,
        ticket: Ticket,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> DeskStep {
        self.silent_until_us.retain(|_, until_us| now_us < *until_us);
        let Some(pending) = self.pending.get_mut(&ticket) else { return DeskStep::Nothing };
        let request = &pending.request;
        let keepers = keepers_of(&request.tenant, &request.limit, &self.bounds, &self.topology);
        let ordered = order_for(&keepers, &self.zone, &self.topology);
        let times = |keeper: &KeeperId| pending.asked.iter().filter(|one| *one == keeper).count();
        let is_silent = |keeper: &KeeperId| self.silent_until_us.contains_key(keeper);
        let silent: Vec<KeeperId> = keepers.into_iter().filter(is_silent).collect();
        let left = ordered
            .into_iter()
            .filter(|keeper| can_ask(keeper) && !pending.not_keepers.contains(keeper))
            .min_by_key(|keeper| (times(keeper), silent.contains(keeper)));
        let is_over = now_us >= pending.first_sent_us + GIVE_UP_AFTER_US
            || pending.asked.len() >= MOST_QUESTIONS;
        let Some(keeper) = left.filter(|_| !is_over) else {
            return self.settle(ticket, QuotaOutcome::Unreachable, now_us);
        };
        pending.asked.push(keeper.clone());
        let is_near = self.topology.region_of(&keeper.zone) == self.topology.region_of(&self.zone);
        let question = QuotaQuestion {
            ticket,
            answer_to: self.answer_to,
            tenant: pending.request.tenant.clone(),
            limit: pending.request.limit,
            version: pending.request.version,
            cost: pending.request.cost,
            priority: pending.request.priority,
            keeper,
            asked: Vec::new(),
            silent,
            room: 0,
            paid: Vec::new(),
        };
        DeskStep::Ask(question, if is_near { PATIENCE_US } else { FAR_PATIENCE_US })
    }

    fn settle(&mut self, ticket: Ticket, outcome: QuotaOutcome, now_us: u64) -> DeskStep {
        let Some(pending) = self.pending.remove(&ticket) else { return DeskStep::Nothing };
        let mut done = match &outcome {
            QuotaOutcome::Granted(grant) => grant.payers().to_vec(),
            QuotaOutcome::Refused { .. } | QuotaOutcome::Unreachable => Vec::new(),
        };
        let told = not_yet_in(&mut done, pending.part_payers);
        let tenant = pending.request.tenant;
        let words = returns(ticket, &tenant, told);
        self.settled.insert(ticket, SettledRun { tenant, done });
        self.settled_order.push_back((now_us, ticket));
        DeskStep::Settled(ticket, outcome, words)
    }

    /// What others than those that paid for the run have paid is given back, once. What is not
    /// remembered is not given back: the run may have been sent.
    fn on_late_answer(&mut self, answer: &QuotaAnswer) -> DeskStep {
        let Some(run) = self.settled.get_mut(&answer.ticket) else { return DeskStep::Nothing };
        let told = not_yet_in(&mut run.done, payers(answer));
        if told.is_empty() {
            return DeskStep::Nothing;
        }
        DeskStep::GiveBack(returns(answer.ticket, &run.tenant, told))
    }

    fn forget(&mut self, now_us: u64) {
        while let Some((settled_us, ticket)) = self.settled_order.front().copied() {
            let is_old = now_us >= settled_us + REMEMBERED_US;
            if !is_old && self.settled_order.len() <= MOST_REMEMBERED {
                return;
            }
            self.settled_order.pop_front();
            self.settled.remove(&ticket);
        }
    }
}

/// Adds those that are not yet in a list, and returns them.
fn not_yet_in(done: &mut Vec<KeeperId>, keepers: Vec<KeeperId>) -> Vec<KeeperId> {
    let mut added = Vec::new();
    for keeper in keepers {
        if !done.contains(&keeper) {
            done.push(keeper.clone());
            added.push(keeper);
        }
    }
    added
}
