//! Answers questions as a keeper, and takes back what was not used.

use super::own_address;
use super::requester::{deliver_question, on_answer};
use crate::node::Node;
use crate::peer_messages::PeerWord;
use pitchstall_serving::quota::{QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict};
use pitchstall_serving::quota_keeper::KeeperAction;
use pitchstall_serving::quota_slots::KeeperId;
use std::net::SocketAddr;

/// Takes in a question from another node, which hears at once that it has come if it handed it on:
/// one that is lost on its way is noticed by nobody else.
pub fn on_word(node: &Node, question: &QuotaQuery, from: SocketAddr) {
    if from != question.reply_to {
        let word = PeerWord::QuotaTaken(question.keeper.clone());
        node.scheduling.socket.send(&word, &[from]);
    }
    on_question(node, question);
}

/// A keeper has a question that this one handed on to it.
pub fn on_taken(node: &Node, keeper: &KeeperId) {
    node.quotas.holders.borrow_mut().on_taken(keeper, node.now_us());
}

/// Answers a question, or hands it on to another keeper of the tenant.
pub fn on_question(node: &Node, question: &QuotaQuery) {
    let now_us = node.now_us();
    let reply = {
        let own = own_address(node);
        let can_ask = |keeper: &_| node.quotas.holders.borrow().is_in_touch(keeper, own, now_us);
        let mut keepers = node.quotas.keepers.borrow_mut();
        let keeper = keepers.get_mut(&question.keeper);
        keeper.map(|keeper| keeper.on_query(question, can_ask, now_us))
    };
    match reply {
        Some(KeeperAction::Forward(question)) => {
            node.metrics.quota.handed_on.inc();
            node.quotas.holders.borrow_mut().on_handed(&question.keeper, now_us);
            deliver_question(node, question);
        }
        Some(KeeperAction::Reply(answer)) => {
            if answer.verdict != QuotaVerdict::NotKeeper {
                node.metrics.quota.on_level(question.tenant.as_str(), answer.level);
            }
            deliver_answer(node, answer, question.reply_to);
        }
        None => {
            let (ticket, keeper) = (question.ticket, question.keeper.clone());
            let verdict = QuotaVerdict::NotKeeper;
            let answer = QuotaReply { ticket, keeper, verdict, level: 0, charged: Vec::new() };
            deliver_answer(node, answer, question.reply_to);
        }
    }
}

fn deliver_answer(node: &Node, answer: QuotaReply, to: SocketAddr) {
    if to == own_address(node) {
        on_answer(node, &answer);
    } else {
        node.scheduling.socket.send(&PeerWord::QuotaAnswer(answer), &[to]);
    }
}

/// Takes back what a run costs that has provably not begun.
pub fn on_return(node: &Node, word: &QuotaRefund) {
    let now_us = node.now_us();
    if let Some(keeper) = node.quotas.keepers.borrow_mut().get_mut(&word.keeper) {
        let units = keeper.on_refund(word, now_us);
        let (keeper, tenant) = (word.keeper.to_string(), word.tenant.as_str());
        log::debug!(target: "quota", keeper, tenant, units; "taken back");
    }
}
