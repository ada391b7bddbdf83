//! Follows another node's replica instead of the store.

use super::{Follower, MIN_CHANGE_INTERVAL, SOURCE_RETRY_PAUSE};
use crate::clock::Instant;
use crate::node::Node;
use crate::replica_limits::{max_query_wait, percent_of_contact, stale_after};
use crate::replication::{ReplicationClient, ReplicationError};
use crate::transfer::Transfer;
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::full_read_gate::{Occasion, SourceState};
use pitchstall_serving::store_replica::{StoreUpdateQuery, StoreUpdateReply, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use rand::RngExt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two calls to the store while no peer's replica is confirmed, in percent of
/// `bounds.contact_ms`. Such calls are needed since this node alone may be cut off from the others.
const OWN_CALL_PERCENT: std::ops::Range<u64> = 50..150;
/// Minimum time between two calls to the store by a node that knows of a later change which no peer
/// could provide. The change has to be in force within a few seconds.
const MIN_BEHIND_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of queries that wait at a source which is obtaining a replica before the next one is
/// queried, which may have one already.
const MAX_WAITS_WITHOUT_UPDATE: u32 = 3;
const MICROS_PER_MILLI: u64 = 1_000;
/// Minimum number of bytes received from an abandoned source that count as a part of an update. A
/// reply without an update is smaller.
const MIN_PARTIAL_UPDATE_BYTES: usize = 1024;
/// Time between two queries to peers while a large response of the store is arriving. Before the
/// first query, a link of 10 Mbit/s has transferred 0.6 MB, and a fast link the whole of the
/// largest entry, so that no peer is queried.
const HEDGE_INTERVAL: Duration = Duration::from_millis(500);

/// Queries peers for an update newer than `known_to` while the store's response is slow to arrive,
/// and completes with the first complete one. The same content from a peer is a tenth of the size,
/// and the store's response would block this node for as long as the transfer takes. The store's
/// response continues until a peer's update is complete.
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
                    log::info!(target: "store", subject = subject.name(), source, received; "peer update overtook the store response");
                    return reply;
                }
                Ok(_) => {}
                Err(error) => {
                    let (source, error) = (source.to_string(), error.to_string());
                    log::debug!(target: "store", subject = subject.name(), source, error; "peer query failed");
                }
            }
        }
        std::future::pending().await
    }
}

/// From where a follower obtains an update.
pub(super) enum Source {
    /// The store.
    Store,
    /// Another node, at its address.
    Peer(SocketAddr),
    /// Nowhere for the moment.
    None,
}

impl Follower {
    /// From where to obtain the next update.
    pub(super) fn source(&mut self) -> Source {
        if self.is_store_reader() {
            return Source::Store;
        }
        if !self.is_round_over() {
            let sources = self.node.members.borrow().sources();
            if let Some(source) = sources.get(self.source_index) {
                return Source::Peer(*source);
            }
        }
        // All sources have been tried without success.
        self.source_index = 0;
        if self.may_call_store() {
            return Source::Store;
        }
        let sources = self.node.members.borrow().sources();
        sources.first().map_or(Source::None, |source| Source::Peer(*source))
    }

    /// Whether this node reads the store on behalf of others. Before it has the list of nodes it does
    /// not know.
    fn is_store_reader(&self) -> bool {
        self.node.has_listed_nodes() && self.node.members.borrow().is_store_reader()
    }

    /// Queries other nodes than the sources, none of which has replied, before this node counts as
    /// cut off from all of them.
    pub(super) async fn check_isolation(&mut self) {
        let is_suspected = !self.is_store_reader()
            && self.needs_full_read()
            && self.is_round_over()
            && !self.full_read_gate.has_reply();
        if is_suspected {
            self.query_other_nodes().await;
        }
    }

    /// Whether all sources have been queried since the round began, or enough of them to count as
    /// cut off.
    pub(super) fn is_round_over(&self) -> bool {
        self.full_read_gate.has_lost_sources()
            || self.source_index >= self.node.members.borrow().sources().len()
    }

    /// Whether this node calls the store after a round of queries in vain.
    fn may_call_store(&mut self) -> bool {
        if !self.needs_full_read() {
            self.full_read_gate.begin_round();
            return self.may_call_for_changes();
        }
        // Without the list of nodes, it does not know how many others would do the same.
        if !self.node.has_listed_nodes() {
            self.full_read_gate.begin_round();
            return false;
        }
        let occasion = Occasion {
            now_us: self.node.now_us(),
            nodes: self.node.known_node_count(),
            contact_us: self.node.settings().bounds.contact_ms * MICROS_PER_MILLI,
            random: rand::rng().random_range(0.0..1.0),
        };
        self.full_read_gate.end_round(&occasion)
    }

    /// Whether this node makes a call that confirms its replica or brings the changes since.
    fn may_call_for_changes(&mut self) -> bool {
        let now = Instant::now();
        let is_behind =
            self.assess_freshness() == Freshness::Behind && now >= self.next_behind_call_at;
        if now < self.next_own_call_at && !is_behind {
            return false;
        }
        self.next_behind_call_at = now + MIN_BEHIND_CALL_INTERVAL;
        let pause = rand::rng().random_range(OWN_CALL_PERCENT);
        self.next_own_call_at = now + percent_of_contact(&self.node, pause);
        true
    }

    /// Queries another node for the changes since `known_to`.
    pub(super) async fn follow_peer(&mut self, source: SocketAddr) {
        self.pause_between_changes(MIN_CHANGE_INTERVAL).await;
        // A new source may be outdated too. It is queried without a wait, so that the next one can
        // be tried at once.
        let wait = match self.waits_at_source {
            true => max_query_wait(&self.node),
            false => Duration::ZERO,
        };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = StoreUpdateQuery::new(self.subject, self.known_to_in_current_era(), wait_ms);
        self.begin_query();
        // The query is not dropped when another node reports a later change: reports are small and
        // arrive at once, while the change itself takes time. A source without changes replies
        // soon.
        let reply = self.replication.query(&self.node, source, &query).await;
        self.waits_at_source = match reply {
            Ok(reply) => self.handle_reply(source, &reply).await,
            Err(error) => {
                self.on_silent_source(source, &error);
                self.abandon_source(source, &error.to_string()).await;
                false
            }
        };
    }

    /// Records that a source did not reply. One that could not be connected to counts as gone, and
    /// the next node of its zone takes its place as a store reader.
    fn on_silent_source(&mut self, source: SocketAddr, error: &ReplicationError) {
        self.full_read_gate.on_source(SourceState::Silent);
        match error {
            // The next source takes the index of this one.
            ReplicationError::Unreachable(_) => {
                self.node.members.borrow_mut().on_unreachable(source);
            }
            _ => self.source_index += 1,
        }
    }

    /// Applies a source's reply; returns whether the next query to it waits for a change.
    async fn handle_reply(&mut self, source: SocketAddr, reply: &StoreUpdateReply) -> bool {
        let had_replica = self.known_to.is_some();
        let is_reliable = self.apply_reply(reply);
        if !had_replica && self.known_to.is_some() {
            self.log_first_replica(&source.to_string(), reply.age_ms);
        }
        self.log_large_response(&source.to_string(), self.transfer.received());
        if is_reliable {
            self.full_read_gate.on_replica();
            self.waits_without_update = 0;
            return true;
        }
        let state = match reply.is_obtaining {
            true => SourceState::Obtaining,
            false => SourceState::Unconfirmed,
        };
        self.full_read_gate.on_source(state);
        // A reply with an update of no use is not held back, so waiting would be a busy loop.
        let can_wait = reply.is_obtaining && reply.update.is_none();
        if can_wait && self.waits_without_update < MAX_WAITS_WITHOUT_UPDATE {
            self.waits_without_update += 1;
            return true;
        }
        self.waits_without_update = 0;
        self.source_index += 1;
        let age_ms = reply.age_ms;
        self.abandon_source(source, &format!("confirmed {age_ms:?} ms ago")).await;
        false
    }

    /// Applies another node's reply; returns whether its replica can be relied on.
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
        // The replica is not reliable if a third node has reported a later change.
        is_confirmed && self.assess_freshness() != Freshness::Behind
    }

    fn log_older_update_ignored(&self, known_to: StoreRevision) {
        let (subject, known_to) = (self.subject.name(), known_to.to_string());
        let at = self.known_to.unwrap_or_default().to_string();
        log::info!(target: "store", subject, known_to, at; "older update ignored");
    }

    async fn abandon_source(&mut self, source: SocketAddr, reason: &str) {
        let source = source.to_string();
        let (subject, received) = (self.subject.name(), self.transfer.received());
        let took_ms = self.query_sent_at.elapsed().as_millis();
        // Sources without an update are abandoned many times per second while the store is
        // unavailable.
        let had_partial_update = received >= MIN_PARTIAL_UPDATE_BYTES;
        let level = if had_partial_update { log::Level::Info } else { log::Level::Debug };
        log::log!(target: "store", level, subject, source, reason, received, took_ms; "source abandoned");
        self.with_freshness(ReplicaFreshness::on_store_queried);
        sleep(SOURCE_RETRY_PAUSE).await;
    }
}
