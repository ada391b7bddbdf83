//! Keeps to what runners take from all nodes together: asks the keeper of a runner's limit before each request for it, and
//! answers as one.
//!
//! What a keeper gives is decided in [`pitchstall_serving::limit_keeper`], what is believed of a runner in
//! [`pitchstall_serving::runner_limit`]. Nothing is said while no runner names a limit.

use crate::missed_answers::MissedAnswers;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::shard_scheduler::possible_shards;
use pitchstall_serving::digest::digest_timeout_us;
use pitchstall_serving::ids::{NodeId, RunnerId};
use pitchstall_serving::limit_keeper::{
    LimitKeeper, LimitKeeperShare, LimitKeeperTerm, GRANT_TTL_US, MAX_KEEPERS,
};
use pitchstall_serving::request::ResponseMetadata;
use pitchstall_serving::runner_limit::{
    LimitChange, LimitMessage, LimitQuery, LimitReply, LimitVerdict,
};
use pitchstall_serving::scheduling::{Shard, Ticket};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long a keeper's answer is waited for beyond a round trip, as with keepers of tenants' limits.
const PATIENCE: Duration = Duration::from_millis(30);
/// Keepers that are asked for one request.
const MOST_ASKED: usize = 2;
/// Time for which a runner gets nothing whose keepers do not answer, microseconds.
const NOBODY_PAUSE_US: u64 = 250_000;
/// Shortest time for which a runner without a request left gets nothing, microseconds: below it asking costs more than the
/// request gains.
const SHORTEST_WAIT_US: u64 = 5_000;
/// Runners' words in one digest: some 2 KB.
const MOST_WORDS_TOLD: usize = 32;

/// What a node knows and keeps of runners' limits.
#[derive(Default)]
pub struct RunnerLimits {
    keeper: RefCell<LimitKeeper>,
    terms: RefCell<HashMap<Shard, LimitKeeperTerm>>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<LimitVerdict>>>,
    missed: MissedAnswers,
    /// When each node was heard of last, microseconds; `None`: it is stopping.
    last_heard_us: RefCell<HashMap<NodeId, Option<u64>>>,
}

impl RunnerLimits {
    /// Another node has said something.
    pub fn on_heard(&self, node: &NodeId, now_us: u64) {
        self.last_heard_us.borrow_mut().insert(node.clone(), Some(now_us));
    }

    /// Another node has begun a planned stop: the next one takes its place at once, not when it has not been heard of for
    /// some seconds.
    pub fn on_stopping(&self, node: &NodeId) {
        self.last_heard_us.borrow_mut().insert(node.clone(), None);
    }

    fn is_stopping(&self, node: &NodeId) -> bool {
        self.last_heard_us.borrow().get(node) == Some(&None)
    }

    /// What this node's digest tells of the limits that it counts.
    pub fn words(&self, now_us: u64) -> Vec<LimitMessage> {
        self.keeper.borrow().messages(MOST_WORDS_TOLD, now_us)
    }

    fn is_there(&self, node: &NodeId, nodes: usize, now_us: u64) -> bool {
        let heard_us = self.last_heard_us.borrow().get(node).copied().unwrap_or(Some(0));
        heard_us.is_some_and(|heard_us| now_us < heard_us + digest_timeout_us(nodes))
    }
}

/// Leave to send one request to a runner.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    /// A runner without a limit may name one at any moment, so a permit for it holds for no time: asking again costs nothing.
    usable_until_us: u64,
}

impl SendPermit {
    /// Whether the request may still be sent.
    pub fn is_usable(&self, now_us: u64) -> bool {
        now_us < self.usable_until_us
    }
}

/// Asks whether one request may be sent to a runner now; `None`: it may not, and the runner is left out of this node's plans
/// until there may be one.
pub async fn permit(node: &Rc<Node>, request: &str, runner: &RunnerId) -> Option<SendPermit> {
    let asked_at_us = node.now_us();
    let word = node.fleet.borrow().limit_message(runner, asked_at_us);
    let unlimited = SendPermit { usable_until_us: asked_at_us };
    let Some(word) = word else { return Some(unlimited) };
    let verdict = ask(node, word).await;
    let now_us = node.now_us();
    let wait_us = match verdict {
        Some(LimitVerdict::Granted) => {
            node.metrics.limit_grants.inc();
            let permit = SendPermit { usable_until_us: asked_at_us + GRANT_TTL_US };
            if permit.is_usable(now_us) {
                return Some(permit);
            }
            SHORTEST_WAIT_US
        }
        Some(LimitVerdict::Refused { wait_us }) => {
            node.metrics.limit_refusals.inc();
            wait_us.max(SHORTEST_WAIT_US)
        }
        Some(LimitVerdict::Lifted { age_us }) => {
            let word = LimitMessage { runner: runner.clone(), rate: None, age_us };
            node.on_limit_word(&word);
            if node.fleet.borrow().limit_message(runner, now_us).is_none() {
                return Some(unlimited);
            }
            SHORTEST_WAIT_US
        }
        Some(LimitVerdict::NotKeeper) | None => {
            node.metrics.limit_timeouts.inc();
            NOBODY_PAUSE_US
        }
    };
    node.fleet.borrow_mut().on_limit_exhausted(runner, wait_us, now_us);
    let (runner, verdict) = (runner.as_str(), verdict.map_or("no answer", verdict_name));
    log::info!(target: "limit", request, runner, verdict, wait_us; "withheld");
    None
}

fn verdict_name(verdict: LimitVerdict) -> &'static str {
    match verdict {
        LimitVerdict::Granted => "granted late",
        LimitVerdict::Refused { .. } => "none left",
        LimitVerdict::Lifted { .. } => "lifted",
        LimitVerdict::NotKeeper => "no keeper",
    }
}

/// Asks the first keeper that answers; `None`: none did.
async fn ask(node: &Rc<Node>, word: LimitMessage) -> Option<LimitVerdict> {
    let shard = shard_of(node, &word.runner)?;
    for (keeper, address) in keepers(node, &shard).into_iter().take(MOST_ASKED) {
        let ticket = node.scheduling.next_ticket();
        let question = LimitQuery { ticket, message: word.clone() };
        let verdict = if keeper == node.own_name() {
            Some(verdict_of(node, &question))
        } else {
            put(node, &keeper, address, question).await
        };
        match verdict {
            Some(LimitVerdict::NotKeeper) | None => {}
            verdict => return verdict,
        }
    }
    None
}

/// The nodes that may be asked, the first one first.
fn keepers(node: &Node, shard: &Shard) -> Vec<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let in_order = members.schedulers_by_rank(shard).into_iter().take(MAX_KEEPERS);
    let limits = &node.runner_limits;
    let answers = |(name, _): &(&NodeId, _)| {
        !limits.missed.is_passed_over(name, now_us) && !limits.is_stopping(name)
    };
    in_order.filter(answers).map(|(name, address)| (name.clone(), address)).collect()
}

async fn put(
    node: &Rc<Node>,
    keeper: &NodeId,
    address: SocketAddr,
    question: LimitQuery,
) -> Option<LimitVerdict> {
    let ticket = question.ticket;
    let (sender, receiver) = oneshot::channel();
    node.runner_limits.waiting.borrow_mut().insert(ticket, sender);
    node.scheduling.socket.send(&PeerMessage::LimitQuery(question), &[address]);
    let zone = node.members.borrow().zone_of(keeper).cloned();
    let way = zone.map_or(Duration::ZERO, |zone| node.round_trip(&zone));
    let answer = timeout(way + PATIENCE, receiver).await;
    node.runner_limits.waiting.borrow_mut().remove(&ticket);
    let missed = &node.runner_limits.missed;
    match answer {
        Ok(Ok(verdict)) => {
            missed.on_answered(keeper);
            Some(verdict)
        }
        _ => {
            if missed.on_missed(keeper, node.now_us()) {
                log::info!(target: "limit", keeper = keeper.as_str(); "passed over");
            }
            None
        }
    }
}

/// Takes in a keeper's answer. One that comes too late is lost to all, and safe.
pub fn on_answer(node: &Node, answer: LimitReply) {
    let waiting = node.runner_limits.waiting.borrow_mut().remove(&answer.ticket);
    if let Some(sender) = waiting {
        // The request may have ended just now: then what it was granted is lost.
        let _ = sender.send(answer.verdict);
    }
}

/// Answers another node's question.
pub fn on_question(node: &Node, question: &LimitQuery, from: SocketAddr) {
    let verdict = verdict_of(node, question);
    let answer = LimitReply { ticket: question.ticket, verdict };
    node.scheduling.socket.send(&PeerMessage::LimitReply(answer), &[from]);
}

fn verdict_of(node: &Node, question: &LimitQuery) -> LimitVerdict {
    let shard = shard_of(node, &question.message.runner);
    let share = shard.and_then(|shard| own_share(node, &shard));
    let Some(share) = share else { return LimitVerdict::NotKeeper };
    let now_us = node.now_us();
    node.runner_limits.keeper.borrow_mut().on_query(question, share, now_us)
}

/// Another node has heard what a runner takes.
pub fn on_word(node: &Node, word: &LimitMessage) {
    node.runner_limits.keeper.borrow_mut().on_message(word, node.now_us());
    node.on_limit_word(word);
}

/// Runners of a shard that have none left, as far as this node counts.
pub fn short_runners(node: &Node, shard: &Shard) -> Vec<RunnerId> {
    // Asked for each placement: the share takes a look at all nodes.
    if node.runner_limits.keeper.borrow().is_empty() {
        return Vec::new();
    }
    let Some(share) = own_share(node, shard) else { return Vec::new() };
    let mut short = node.runner_limits.keeper.borrow().exhausted(share, node.now_us());
    let fleet = node.fleet.borrow();
    short.retain(|runner| fleet.get(runner).is_some_and(|runner| shard.contains(runner)));
    short
}

fn shard_of(node: &Node, runner: &RunnerId) -> Option<Shard> {
    let fleet = node.fleet.borrow();
    let runner = fleet.get(runner)?;
    let nodes = node.members.borrow().count_in(&runner.region);
    Some(Shard::of_runner(runner, Shard::count(nodes)))
}

/// How many nodes that are heard of come before this one as keepers of a shard's limits.
fn own_place(node: &Node, shard: &Shard) -> usize {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let nodes = members.len();
    let is_there = |name: &NodeId| node.runner_limits.is_there(name, nodes, now_us);
    members.scheduler_rank_of(&node.own_name(), shard, is_there)
}

fn own_share(node: &Node, shard: &Shard) -> Option<LimitKeeperShare> {
    if node.is_stopping() {
        return None;
    }
    let place = own_place(node, shard);
    let terms = node.runner_limits.terms.borrow();
    let term = terms.get(shard).copied().unwrap_or_default();
    term.share(place, node.now_us())
}

/// Looks at this node's place among the keepers of each shard that it may keep: to be called at least every second.
pub fn look(node: &Node) {
    let now_us = node.now_us();
    let shards = possible_shards(node);
    let mut terms = node.runner_limits.terms.borrow_mut();
    terms.retain(|shard, _| shards.contains(shard));
    for shard in shards {
        let place = own_place(node, &shard);
        terms.entry(shard).or_default().on_rank_checked(place, now_us);
    }
    node.runner_limits.keeper.borrow_mut().remove_idle(now_us);
}

impl Node {
    /// The head of an answer has come, to a request that was sent at `sent_at_us`: it names a limit, or none.
    pub fn on_limit_in_head(&self, runner: &RunnerId, facts: &ResponseMetadata, sent_at_us: u64) {
        if !facts.is_about(runner) {
            return;
        }
        let now_us = self.now_us();
        let change =
            self.fleet.borrow_mut().on_limit_in_response(runner, facts.notice, sent_at_us, now_us);
        let Some(change) = change else { return };
        self.log_limit(runner, change, "answer");
        let rate = match change {
            LimitChange::Set(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        let word = LimitMessage { runner: runner.clone(), rate, age_us: 0 };
        self.tell_keeper(word);
    }

    /// Tells the keeper, so that it plans with what is left before it is asked, and tells all nodes.
    fn tell_keeper(&self, word: LimitMessage) {
        let Some(shard) = shard_of(self, &word.runner) else { return };
        match keepers(self, &shard).into_iter().next() {
            Some((keeper, _)) if keeper == self.own_name() => {
                self.runner_limits.keeper.borrow_mut().on_message(&word, self.now_us());
            }
            Some((_, address)) => {
                self.scheduling.socket.send(&PeerMessage::LimitMessage(word), &[address]);
            }
            None => {}
        }
    }

    /// Another node has heard what a runner takes.
    pub fn on_limit_word(&self, word: &LimitMessage) {
        let change = self.fleet.borrow_mut().on_limit_reported(word, self.now_us());
        if let Some(change) = change {
            self.log_limit(&word.runner, change, "node");
        }
    }

    fn log_limit(&self, runner: &RunnerId, change: LimitChange, source: &str) {
        let runner = runner.as_str();
        match change {
            LimitChange::Set(limit) => {
                self.metrics.on_runner_notice("limit");
                let limit = limit.to_string();
                log::info!(target: "limit", runner, limit, source; "named");
            }
            LimitChange::Lifted => {
                self.metrics.on_runner_notice("limit lifted");
                log::info!(target: "limit", runner, source; "lifted");
            }
        }
    }

    /// This node's name.
    pub fn own_name(&self) -> NodeId {
        self.members.borrow().own_name().clone()
    }
}
