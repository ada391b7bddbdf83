//! Follows another node's copy instead of the store.

use super::{Follower, MIN_CHANGE_INTERVAL, SOURCE_RETRY_PAUSE};
use crate::clock::Instant;
use crate::node::Node;
use crate::replica_limits::{max_query_wait, percent_of_contact, stale_after};
use crate::replication::ReplicationClient;
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
const OWN_CALL_PERCENT: std::ops::Range<u64> = 50..150;
/// Between two calls to the store of a node that knows of a later change which no other node
/// could hand it: the change has to be in force within some seconds.
const MIN_BEHIND_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// From here on what a source has sent before it is left was part of a copy, not the answer that
/// it knows nothing.
const MIN_PARTIAL_UPDATE_BYTES: usize = 1024;
/// Time between two other nodes that are asked while a large answer of the store is on its way. By the first, a
/// link of 10 Mbit/s has brought 0.6 MB, and a wide one the whole of the largest entry, so that nobody is asked.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);

/// Another node's copy that is newer than what is known, while the store's answer is slow to come.
/// The same from a node is a tenth of the bytes, and the store's answer would hold this node for as
/// long as its link takes; it goes on until the copy has come whole.
pub(super) fn hedge_with_peers(
    node: Rc<Node>,
    subject: Subject,
    known_to: Option<StoreRevision>,
    store_transfer: &Rc<Transfer>,
) -> impl Future<Output = StoreUpdateReply> + use<> {
    let store_transfer = store_transfer.clone();
    let mut replication = ReplicationClient::with_transfer(Rc::default());
    let after = known_to.filter(|known_to| known_to.era() >= node.store_era());
    let query = StoreUpdateQuery::new(subject, after, 0);
    let is_newer = move |reply: &StoreUpdateReply| {
        let update = reply.update.as_ref().filter(|update| !update.entries.is_empty());
        update.is_some_and(|update| known_to.is_none_or(|known_to| update.known_to() > known_to))
    };
    async move {
        for source_index in 0_usize.. {
            sleep(HEDGE_INTERVAL).await;
            if !store_transfer.has_started() {
                continue;
            }
            let sources = node.members.borrow().sources();
            let Some(source) = sources.get(source_index % sources.len().max(1)) else { continue };
            match replication.query(&node, *source, &query).await {
                Ok(reply) if is_newer(&reply) => {
                    let source = source.to_string();
                    let received = store_transfer.received();
                    log::info!(target: "store", subject = subject.name(), source, received; "hedge won");
                    return reply;
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
        if let Some(source) = sources.get(self.source_index) {
            return Some(*source);
        }
        // All have been tried in vain.
        self.source_index = 0;
        let now = Instant::now();
        let is_behind =
            self.assess_freshness() == Freshness::Behind && now >= self.next_behind_call_at;
        if now < self.next_own_call_at && !is_behind {
            return sources.first().copied();
        }
        self.next_behind_call_at = now + MIN_BEHIND_CALL_INTERVAL;
        let pause = rand::rng().random_range(OWN_CALL_PERCENT);
        self.next_own_call_at = now + percent_of_contact(&self.node, pause);
        None
    }

    /// Asks another node for what has changed since the last answer.
    pub(super) async fn follow_peer(&mut self, source: SocketAddr) {
        self.pause_between_changes(MIN_CHANGE_INTERVAL).await;
        // A source that is new may lag too: it is only asked what it knows, so that the next one
        // follows at once.
        let wait = match self.is_source_reliable {
            true => max_query_wait(&self.node),
            false => Duration::ZERO,
        };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = StoreUpdateQuery::new(self.subject, self.known_to_in_current_era(), wait_ms);
        self.begin_query();
        // Not dropped when another node tells of a later change: words are small and come at once, while
        // the change itself takes its time. A source that has nothing to say answers soon.
        let reply = self.replication.query(&self.node, source, &query).await;
        self.is_source_reliable = match reply {
            Ok(reply) => self.handle_reply(source, &reply).await,
            Err(error) => {
                self.abandon_source(source, &error.to_string()).await;
                false
            }
        };
    }

    async fn handle_reply(&mut self, source: SocketAddr, reply: &StoreUpdateReply) -> bool {
        let is_reliable = self.apply_reply(reply);
        self.log_large_response(&source.to_string(), self.transfer.received());
        if !is_reliable {
            let age_ms = reply.age_ms;
            self.abandon_source(source, &format!("confirmed {age_ms:?} ms ago")).await;
        }
        is_reliable
    }

    /// Takes in another node's answer; returns whether its copy can be relied on.
    pub(super) fn apply_reply(&mut self, reply: &StoreUpdateReply) -> bool {
        let Some(update) = &reply.update else { return false };
        let known_to = update.known_to();
        let is_applicable = self.node.store_replicas.borrow().get(self.subject).accepts(update);
        if !is_applicable || known_to.era() < self.node.store_era() {
            self.log_older_update_ignored(known_to);
            return false;
        }
        self.node.on_store_era(known_to.era());
        if !update.entries.is_empty() {
            self.last_change_at = Some(Instant::now());
        }
        self.apply_update(update);
        let age_ms = reply.age_ms;
        self.with_freshness(|replica, now_us| replica.on_peer_update(update, age_ms, now_us));
        let max_age = stale_after(&self.node, self.subject);
        let is_confirmed = age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) < max_age);
        // Another node has told of a later change than this one knows of.
        is_confirmed && self.assess_freshness() != Freshness::Behind
    }

    fn log_older_update_ignored(&self, known_to: StoreRevision) {
        let (subject, known_to) = (self.subject.name(), known_to.to_string());
        let at = self.known_to.unwrap_or_default().to_string();
        log::info!(target: "store", subject, known_to, at; "older copy passed over");
    }

    async fn abandon_source(&mut self, source: SocketAddr, reason: &str) {
        let source = source.to_string();
        let (subject, received) = (self.subject.name(), self.transfer.received());
        let took_ms = self.query_sent_at.elapsed().as_millis();
        // Sources that know nothing are left many times a second while the store is away.
        let had_partial_update = received >= MIN_PARTIAL_UPDATE_BYTES;
        let level = if had_partial_update { log::Level::Info } else { log::Level::Debug };
        log::log!(target: "store", level, subject, source, reason, received, took_ms; "source left");
        self.with_freshness(ReplicaFreshness::on_store_queried);
        self.source_index += 1;
        sleep(SOURCE_RETRY_PAUSE).await;
    }
}
