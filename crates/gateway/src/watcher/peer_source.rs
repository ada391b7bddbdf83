//! Follows another node's replica instead of the store.

use super::{Follower, MIN_CHANGE_INTERVAL, SOURCE_RETRY_PAUSE};
use crate::clock::Instant;
use crate::http::upstream::ConnectError;
use crate::node::Node;
use crate::replica_limits::{max_query_wait, stale_after};
use crate::replication::{ReplicationClient, ReplicationError};
use crate::transfer::Transfer;
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::full_read_gate::Occasion;
use pitchstall_serving::membership::Membership;
use pitchstall_serving::source_choice::{ChoiceContext, NextQuery, SourceReply};
use pitchstall_serving::start_up::{may_be_starting, StartUp, Starting};
use pitchstall_serving::store_replica::{StoreUpdateQuery, StoreUpdateReply, Subject};
use pitchstall_serving::store_revision::StoreRevision;
use rand::RngExt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

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

impl Follower {
    /// Where to send the next query.
    pub(super) fn next_query(&mut self) -> NextQuery {
        let members = self.node.members.borrow();
        let context = ChoiceContext {
            sources: &members.sources(),
            has_node_list: self.node.has_listed_nodes(),
            is_store_reader: members.is_store_reader(),
            needs_full_read: self.needs_full_read(),
            has_reporter: self.node.has_reporter(self.subject),
            is_behind: self.assess_freshness() == Freshness::Behind,
            starting: self.starting(&members),
            occasion: Occasion {
                now_us: self.node.now_us(),
                nodes: members.len(),
                contact_us: self.node.settings().bounds.contact_ms * MICROS_PER_MILLI,
                random: rand::rng().random_range(0.0..1.0),
            },
        };
        self.choice.next(&context)
    }

    /// What is known of sources that may still be starting.
    fn starting(&self, members: &Membership) -> Starting {
        if !members.has_starting() {
            return Starting::Nobody;
        }
        let uptime_us = self.node.now_us();
        let heard_share = members.heard_share();
        let has_near_reader = members.has_near_store_reader();
        StartUp { uptime_us, heard_share, has_near_reader }.assess()
    }

    /// Counts sources that may still be starting as unreachable, so that others take their place.
    pub(super) fn give_up_starting(&self) {
        let mut members = self.node.members.borrow_mut();
        let (subject, uptime_ms) = (self.subject.name(), self.started.elapsed().as_millis());
        let heard_share = members.heard_share();
        let has_near_reader = members.has_near_store_reader();
        log::info!(target: "store", subject, uptime_ms, heard_share, has_near_reader; "sources that may be starting are given up");
        members.give_up_starting();
    }

    /// Queries another node for the changes since `known_to`. If it `waits`, it holds its reply back
    /// until it has some; a new source may be outdated, and is queried without a wait.
    pub(super) async fn follow_peer(&mut self, source: SocketAddr, waits: bool) {
        self.pause_between_changes(MIN_CHANGE_INTERVAL).await;
        let wait = match waits {
            true => max_query_wait(&self.node),
            false => Duration::ZERO,
        };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = StoreUpdateQuery::new(self.subject, self.known_to_in_current_era(), wait_ms);
        self.begin_query();
        // The query is not dropped when another node reports a later change: reports are small and
        // arrive at once, while the change itself takes time. A source without changes replies
        // soon.
        match self.replication.query(&self.node, source, &query).await {
            Ok(reply) => {
                self.node.members.borrow_mut().on_message_from(source);
                self.handle_reply(source, &reply).await;
            }
            Err(error) => {
                self.on_silent_source(source, &error);
                self.abandon_source(source, &error.to_string()).await;
            }
        }
    }

    /// Records that a source did not reply. One that could not be connected to counts as gone, and
    /// the next node of its zone takes its place as a store reader, unless it may still be starting.
    fn on_silent_source(&mut self, source: SocketAddr, error: &ReplicationError) {
        let is_gone = match error {
            ReplicationError::Unreachable(cause) => {
                self.on_unconnected(source, cause);
                true
            }
            _ => false,
        };
        self.choice.on_silent(is_gone);
    }

    fn on_unconnected(&self, source: SocketAddr, cause: &ConnectError) {
        let may_be_starting = cause.is_refused() && may_be_starting(self.node.now_us());
        self.log_unconnected(source, cause, may_be_starting);
        let mut members = self.node.members.borrow_mut();
        match may_be_starting {
            true => members.on_refused_while_starting(source),
            false => members.on_unreachable(source),
        }
    }

    /// Logs that a source is not followed from now on.
    fn log_unconnected(&self, source: SocketAddr, cause: &ConnectError, may_be_starting: bool) {
        let (subject, source, error) = (self.subject.name(), source.to_string(), cause.to_string());
        let uptime_ms = self.started.elapsed().as_millis();
        log::info!(target: "store", subject, source, error, uptime_ms, may_be_starting; "source cannot be connected to");
    }

    async fn handle_reply(&mut self, source: SocketAddr, reply: &StoreUpdateReply) {
        let had_replica = self.known_to.is_some();
        let is_reliable = self.apply_reply(reply);
        if !had_replica && self.known_to.is_some() {
            self.log_first_replica(&source.to_string(), reply.age_ms);
        }
        self.log_large_response(&source.to_string(), self.transfer.received());
        if !self.choice.on_reply(classify_reply(reply, is_reliable)) {
            let age_ms = reply.age_ms;
            self.abandon_source(source, &format!("confirmed {age_ms:?} ms ago")).await;
        }
    }

    /// Applies another node's reply; returns whether its replica can be relied on.
    pub(super) fn apply_reply(&mut self, reply: &StoreUpdateReply) -> bool {
        if let Some(age_ms) = reply.age_ms {
            self.with_freshness(|replica, now_us| replica.on_source_age(age_ms, now_us));
        }
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

/// What a reply shows about its sender. `is_reliable`: its replica can be relied on.
pub(super) fn classify_reply(reply: &StoreUpdateReply, is_reliable: bool) -> SourceReply {
    match (is_reliable, reply.is_obtaining, &reply.update) {
        (true, _, _) => SourceReply::Reliable,
        (false, true, None) => SourceReply::Obtaining,
        (false, true, Some(_)) => SourceReply::ObtainingAnew,
        (false, false, _) => SourceReply::Unconfirmed,
    }
}
