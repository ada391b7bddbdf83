//! Follows another node's copy instead of the store.

use super::{Follower, BETWEEN_CHANGES, SOURCE_PAUSE};
use crate::clock::Instant;
use crate::node::Node;
use crate::replica_limits::{longest_question, part_of_contact, stale_after};
use crate::replication::MirrorClient;
use crate::transfer::Transfer;
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::store_replica::{StoreUpdateQuery, StoreUpdateReply, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use rand::RngExt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two calls to the store while no other node's copy is confirmed, in hundredths of the
/// same time: a node may alone be cut off from the others.
const OWN_CALL_HUNDREDTHS: std::ops::Range<u64> = 50..150;
/// Between two calls to the store of a node that knows of a later change which no other node
/// could hand it: the change has to be in force within some seconds.
const BEHIND_PAUSE: Duration = Duration::from_millis(500);
/// From here on what a source has sent before it is left was part of a copy, not the answer that
/// it knows nothing.
const PART_OF_A_COPY_BYTES: usize = 1024;
/// Time between two other nodes that are asked while a large answer of the store is on its way. By the first, a
/// link of 10 Mbit/s has brought 0.6 MB, and a wide one the whole of the largest entry, so that nobody is asked.
const HEDGE_AFTER: Duration = Duration::from_millis(500);

/// Another node's copy that is newer than what is known, while the store's answer is slow to come.
/// The same from a node is a tenth of the bytes, and the store's answer would hold this node for as
/// long as its link takes; it goes on until the copy has come whole.
pub(super) fn hedged_copy(
    node: Rc<Node>,
    subject: Subject,
    known_to: Option<StoreRevision>,
    store_answer: &Rc<Transfer>,
) -> impl Future<Output = StoreUpdateReply> + use<> {
    let store_answer = store_answer.clone();
    let mut mirror = MirrorClient::with_transfer(Rc::default());
    let after = known_to.filter(|known_to| known_to.era() >= node.store_era());
    let question = StoreUpdateQuery::new(subject, after, 0);
    let brings_news = move |answer: &StoreUpdateReply| {
        let update = answer.update.as_ref().filter(|update| !update.entries.is_empty());
        update.is_some_and(|update| known_to.is_none_or(|known_to| update.known_to() > known_to))
    };
    async move {
        for turn in 0_usize.. {
            sleep(HEDGE_AFTER).await;
            if !store_answer.is_under_way() {
                continue;
            }
            let sources = node.members.borrow().sources();
            let Some(source) = sources.get(turn % sources.len().max(1)) else { continue };
            match mirror.ask(&node, *source, &question).await {
                Ok(answer) if brings_news(&answer) => {
                    let source = source.to_string();
                    let received = store_answer.received();
                    log::info!(target: "store", subject = subject.name(), source, received; "hedge won");
                    return answer;
                }
                Ok(_) => {}
                Err(error) => {
                    let (source, error) = (source.to_string(), error.to_string());
                    log::debug!(target: "store", subject = subject.name(), source, error; "no copy");
                }
            }
        }
        std::future::pending().await
    }
}

impl Follower {
    /// The node to follow; `None`: the store itself.
    pub(super) fn source(&mut self) -> Option<SocketAddr> {
        let members = self.node.members.borrow();
        if members.is_store_reader() {
            return None;
        }
        let sources = members.sources();
        if let Some(source) = sources.get(self.turn) {
            return Some(*source);
        }
        // All have been tried in vain.
        self.turn = 0;
        let now = Instant::now();
        let is_behind = self.verdict() == Freshness::Behind && now >= self.behind_call_at;
        if now < self.own_call_at && !is_behind {
            return sources.first().copied();
        }
        self.behind_call_at = now + BEHIND_PAUSE;
        let pause = rand::rng().random_range(OWN_CALL_HUNDREDTHS);
        self.own_call_at = now + part_of_contact(&self.node, pause);
        None
    }

    /// Asks another node for what has changed since the last answer.
    pub(super) async fn follow_node(&mut self, source: SocketAddr) {
        self.pause_between_changes(BETWEEN_CHANGES).await;
        // A source that is new may lag too: it is only asked what it knows, so that the next one
        // follows at once.
        let wait = match self.source_is_sound {
            true => longest_question(&self.node),
            false => Duration::ZERO,
        };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let question = StoreUpdateQuery::new(self.subject, self.at_of_this_era(), wait_ms);
        self.begin_question();
        // Not dropped when another node tells of a later change: words are small and come at once, while
        // the change itself takes its time. A source that has nothing to say answers soon.
        let answer = self.mirror.ask(&self.node, source, &question).await;
        self.source_is_sound = match answer {
            Ok(answer) => self.judge_answer(source, &answer).await,
            Err(error) => {
                self.leave_source(source, &error.to_string()).await;
                false
            }
        };
    }

    async fn judge_answer(&mut self, source: SocketAddr, answer: &StoreUpdateReply) -> bool {
        let is_sound = self.take_answer(answer);
        self.log_large_copy(&source.to_string(), self.transfer.received());
        if !is_sound {
            let age_ms = answer.age_ms;
            self.leave_source(source, &format!("confirmed {age_ms:?} ms ago")).await;
        }
        is_sound
    }

    /// Takes in another node's answer; returns whether its copy can be relied on.
    pub(super) fn take_answer(&mut self, answer: &StoreUpdateReply) -> bool {
        let Some(update) = &answer.update else { return false };
        let known_to = update.known_to();
        let leads_on = self.node.copies.borrow().get(self.subject).accepts(update);
        if !leads_on || known_to.era() < self.node.store_era() {
            self.pass_over(known_to);
            return false;
        }
        self.node.on_store_era(known_to.era());
        if !update.entries.is_empty() {
            self.changed_at = Some(Instant::now());
        }
        self.take_update(update);
        let age_ms = answer.age_ms;
        self.with_freshness(|copy, now_us| copy.on_peer_update(update, age_ms, now_us));
        let stale = stale_after(&self.node, self.subject);
        let is_confirmed = age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) < stale);
        // Another node has told of a later change than this one knows of.
        is_confirmed && self.verdict() != Freshness::Behind
    }

    fn pass_over(&self, known_to: StoreRevision) {
        let (subject, known_to) = (self.subject.name(), known_to.to_string());
        let at = self.at.unwrap_or_default().to_string();
        log::info!(target: "store", subject, known_to, at; "older copy passed over");
    }

    async fn leave_source(&mut self, source: SocketAddr, reason: &str) {
        let source = source.to_string();
        let (subject, received) = (self.subject.name(), self.transfer.received());
        let took_ms = self.asked_at.elapsed().as_millis();
        // Sources that know nothing are left many times a second while the store is away.
        let is_worth_a_line = received >= PART_OF_A_COPY_BYTES;
        let level = if is_worth_a_line { log::Level::Info } else { log::Level::Debug };
        log::log!(target: "store", level, subject, source, reason, received, took_ms; "source left");
        self.with_freshness(ReplicaFreshness::on_store_queried);
        self.turn += 1;
        sleep(SOURCE_PAUSE).await;
    }
}
