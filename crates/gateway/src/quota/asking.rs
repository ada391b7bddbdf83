//! Has runs paid for by the tenant's keepers before they are sent.

use super::keeping;
use super::{bounds, own_address};
use crate::node::{configured_topology, Node};
use crate::peer_words::PeerWord;
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

/// Runs that wait for an answer, with what the desk does next about them.
pub type Waiting = HashMap<Ticket, oneshot::Sender<RequesterAction>>;

/// Share by which a told wait is lengthened at random, so that callers that were refused together do
/// not come back together.
const SPREAD_SHARE: f64 = 0.1;
/// Shortest time between two alarms that no keeper can be reached, microseconds.
const ALARM_EVERY_US: u64 = 1_000_000;

/// What one run of a request costs its tenant.
#[derive(Clone, Debug)]
pub struct RunCost {
    tenant: Rc<Tenant>,
    limit: TenantLimit,
    version: u64,
    cost: u64,
    priority: u8,
}

impl RunCost {
    /// What a run costs under a version of the configuration; `None`: nothing.
    pub fn of(
        tenant: Option<&Rc<Tenant>>,
        facts: &RequestMetadata,
        priority: u8,
        version: u64,
    ) -> Option<Self> {
        let tenant = tenant?;
        let limit = tenant.limit?;
        let cost = limit.cost(facts.prompt.as_ref().filter(|_| facts.has_token_counts));
        (cost > 0).then(|| Self { tenant: tenant.clone(), limit, version, cost, priority })
    }

    /// The same for a request that a run was granted before: it goes before those that wait.
    pub fn granted_before(&self) -> Self {
        Self { priority: 0, ..self.clone() }
    }
}

/// Why a run is not paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unpaid {
    /// The tenant has reached its limit.
    OverQuota {
        /// Milliseconds until there is room.
        wait_ms: u64,
    },
    /// No keeper of the tenant can be asked.
    Unreachable,
}

/// A run that is paid for. It is given back when dropped, unless it is [spent](Payment::spend).
pub struct Payment {
    node: Rc<Node>,
    tenant: Rc<Tenant>,
    cost: u64,
    grant: Option<QuotaGrant>,
}

/// A run that was paid for and is sent.
pub struct Spent(Payment);

impl Payment {
    /// Whether the run may still be sent.
    pub fn is_usable(&self) -> bool {
        let now_us = self.node.now_us();
        self.grant.as_ref().is_some_and(|grant| grant.is_usable(now_us))
    }

    /// The run is sent now.
    pub fn spend(self) -> Spent {
        Spent(self)
    }
}

impl Spent {
    /// The run has provably not begun: it is still paid for.
    pub fn not_run(self) -> Payment {
        self.0
    }

    /// The run may have begun.
    pub fn on_begun(mut self) {
        self.0.grant = None;
    }
}

impl Drop for Payment {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.node.metrics.quota.on_returned(self.tenant.name.as_str(), self.cost);
            give_back(&self.node, grant.into_refunds());
        }
    }
}

/// A question that is under way; a grant that comes after it is dropped is given back.
struct Asking<'a> {
    node: &'a Rc<Node>,
    ticket: Ticket,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.node.quotas.waiting.borrow_mut().remove(&self.ticket);
        let step = with_desk(self.node, |desk, now_us| desk.cancel(self.ticket, now_us));
        if let RequesterAction::Settled(_, _, words) = step {
            give_back(self.node, words);
        }
    }
}

/// Has a run of a request paid for.
pub async fn pay(node: &Rc<Node>, request: &str, run: &RunCost) -> Result<Payment, Unpaid> {
    let tenant = run.tenant.name.as_str();
    node.metrics.quota.on_asked(tenant);
    match ask(node, run).await {
        QuotaOutcome::Granted(grant) => {
            node.metrics.quota.on_granted(tenant, run.cost);
            log::debug!(target: "quota", request, tenant, cost = run.cost; "granted");
            let (node, tenant) = (node.clone(), run.tenant.clone());
            Ok(Payment { node, tenant, cost: run.cost, grant: Some(grant) })
        }
        QuotaOutcome::Refused { wait_ms, keeper, level } => {
            node.metrics.quota.on_refused(tenant);
            let (cost, left, keeper) = (run.cost, level, keeper.to_string());
            let rate = run.limit.rate_per_s;
            log::info!(target: "quota", request, tenant, cost, rate, left, keeper, wait_ms; "refused");
            let spread = rand::rng().random_range(0.0..SPREAD_SHARE);
            let wait_ms = wait_ms.saturating_add((wait_ms as f64 * spread) as u64);
            Err(Unpaid::OverQuota { wait_ms })
        }
        QuotaOutcome::Unreachable => {
            node.metrics.quota.on_unanswered(tenant);
            log::info!(target: "quota", request, tenant, cost = run.cost; "no keeper answered");
            alarm(node, tenant);
            Err(Unpaid::Unreachable)
        }
    }
}

/// Tells operators, now and then, that requests of a tenant are refused for want of a keeper.
fn alarm(node: &Node, tenant: &str) {
    let now_us = node.now_us();
    let last_us = node.quotas.alarm_at_us.get();
    if last_us.is_some_and(|last_us| now_us < last_us + ALARM_EVERY_US) {
        return;
    }
    node.quotas.alarm_at_us.set(Some(now_us));
    let known = node.quotas.holders.borrow().all().count();
    log::error!(target: "quota", tenant, known; "no keeper of a tenant can be reached");
}

async fn ask(node: &Rc<Node>, run: &RunCost) -> QuotaOutcome {
    let ticket = node.scheduling.next_ticket();
    let asking = Asking { node, ticket };
    let request = QuotaRequest {
        ticket,
        tenant: run.tenant.name.clone(),
        limit: run.limit,
        version: run.version,
        cost: run.cost,
        priority: run.priority,
    };
    let mut step =
        with_desk(node, |desk, now_us| desk.start(request, can_ask(node, now_us), now_us));
    loop {
        step = match step {
            RequesterAction::Query(question, patience_us) => put(node, question, patience_us).await,
            RequesterAction::Settled(_, outcome, words) => {
                drop(asking);
                give_back(node, words);
                return outcome;
            }
            RequesterAction::Refund(_) | RequesterAction::Noop => return QuotaOutcome::Unreachable,
        };
    }
}

/// Asks a keeper, and waits for what follows.
async fn put(node: &Rc<Node>, question: QuotaQuery, patience_us: u64) -> RequesterAction {
    let (ticket, keeper) = (question.ticket, question.keeper.clone());
    let (sender, receiver) = oneshot::channel();
    node.quotas.waiting.borrow_mut().insert(ticket, sender);
    deliver_question(node, question);
    if let Ok(Ok(step)) = timeout(Duration::from_micros(patience_us), receiver).await {
        return step;
    }
    on_missed(node, &keeper);
    with_desk(node, |desk, now_us| {
        desk.on_reply_timeout(ticket, &keeper, can_ask(node, now_us), now_us)
    })
}

fn on_missed(node: &Node, keeper: &KeeperId) {
    node.metrics.quota.missed.inc();
    if node.quotas.holders.borrow_mut().on_missed(keeper, node.now_us()) {
        log::info!(target: "quota", keeper = keeper.to_string(); "passed over");
    }
}

fn with_desk<R>(node: &Node, use_desk: impl FnOnce(&mut QuotaRequester, u64) -> R) -> R {
    let mut desk = node.quotas.desk.borrow_mut();
    let new_desk = || {
        let settings = node.settings();
        let (bounds, topology) = (bounds(&settings), configured_topology(&settings));
        QuotaRequester::new(node.zone.clone(), settings.listen.peers, bounds, topology)
    };
    use_desk(desk.get_or_insert_with(new_desk), node.now_us())
}

fn can_ask(node: &Node, now_us: u64) -> impl Fn(&KeeperId) -> bool + '_ {
    move |keeper| node.quotas.holders.borrow().asked_at(keeper, now_us).is_some()
}

/// Brings a question to the holder of the keeper that it names; without one it is lost.
pub(super) fn deliver_question(node: &Node, question: QuotaQuery) {
    let address = node.quotas.holders.borrow().asked_at(&question.keeper, node.now_us());
    match address {
        Some(address) if address == own_address(node) => keeping::on_question(node, &question),
        Some(address) => {
            node.scheduling.socket.send(&PeerWord::QuotaQuestion(question), &[address]);
        }
        None => {}
    }
}

/// Takes in a keeper's answer.
pub fn on_answer(node: &Node, answer: &QuotaReply) {
    let now_us = node.now_us();
    {
        let mut holders = node.quotas.holders.borrow_mut();
        match answer.verdict {
            QuotaVerdict::NotKeeper => holders.on_no_keeper(&answer.keeper, now_us),
            _ => holders.on_answered(&answer.keeper, now_us),
        }
    }
    let step = with_desk(node, |desk, now_us| desk.on_reply(answer, can_ask(node, now_us), now_us));
    match step {
        RequesterAction::Noop => {}
        RequesterAction::Refund(words) => give_back(node, words),
        step => hand_over(node, answer.ticket, step),
    }
}

/// Hands what follows to the request that waits for it; if that has ended just now, a grant is
/// given back.
fn hand_over(node: &Node, ticket: Ticket, step: RequesterAction) {
    let waiting = node.quotas.waiting.borrow_mut().remove(&ticket);
    let unheard = match waiting {
        Some(sender) => sender.send(step).err(),
        None => Some(step),
    };
    if let Some(RequesterAction::Settled(_, outcome, words)) = unheard {
        give_back(node, words);
        if let QuotaOutcome::Granted(grant) = outcome {
            give_back(node, grant.into_refunds());
        }
    }
}

/// Tells keepers that what they have paid for has not begun.
fn give_back(node: &Node, words: Vec<QuotaRefund>) {
    for word in words {
        let address = node.quotas.holders.borrow().address_of(&word.keeper);
        match address {
            Some(address) if address == own_address(node) => keeping::on_return(node, &word),
            Some(address) => {
                node.scheduling.socket.send(&PeerWord::QuotaReturn(word), &[address]);
            }
            // What is not given back is lost to the tenant and opens nothing.
            None => {
                let (keeper, tenant) = (word.keeper.to_string(), word.tenant.as_str());
                log::info!(target: "quota", keeper, tenant; "not given back");
            }
        }
    }
}
