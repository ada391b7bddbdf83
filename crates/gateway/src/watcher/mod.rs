//! Keeps replicas of the store's subjects up to date: the operators' configuration, the runners'
//! registry entries, and the crashes of runners.
//!
//! A few nodes of each zone, the store readers, read the store and watch it from the revision of
//! that read. The other nodes follow one of them ([`crate::replication`]), and switch to another
//! one as soon as it does not respond or its replica has not been confirmed by the store recently.
//! Followers query the store themselves only while no node's replica is confirmed, and seldom. A
//! watch that ends for any reason is resumed from its last revision; if that part of the history is
//! gone, or the store was restored from a backup, everything is read again. A watch can stop
//! delivering changes without an error, so it is relied on only while the replica is known to be
//! fresh ([`pitchstall_serving::freshness`]); otherwise the store is queried.

mod full_read;
mod peer_source;
mod store_source;

use crate::clock::Instant;
use crate::entries::apply_update;
use crate::node::Node;
use crate::platform_client::{PlatformClient, PlatformError};
use crate::replica_limits::random_confirmation_period;
use crate::replication::ReplicationClient;
use crate::store_pages::ListingError;
use crate::transfer::Transfer;
use full_read::FullRead;
use peer_source::{classify_reply, hedge_with_peers};
use pitchstall_platform_adapter::store::{
    Page, StoreResponseError, StoreStatus, CONFIGURATION_KEY, CRASHES_PREFIX, RUNNERS_PREFIX,
};
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::source_choice::{NextQuery, SourceChoice};
use pitchstall_serving::store_replica::{StoreUpdate, StoreUpdateQuery, Subject};
use pitchstall_serving::store_revision::{StoreEra, StoreRevision};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Minimum time between two responses with changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// A change is delayed by at most `bounds.contact_ms` divided by this number.
const MAX_CHANGE_INTERVAL_DIVISOR: u32 = 6;
/// Time after the start within which a node that has no replica makes no call to the store while
/// another node can be asked, in milliseconds. The followers of a fleet that starts before its
/// configuration is written would otherwise all call the store.
const FIRST_OWN_CALL_DELAY_MS: std::ops::Range<u64> = 600..1_200;
/// Pause after a peer that had no confirmed replica.
const SOURCE_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Minimum size of a response that is logged. It takes 13 ms on a link of 10 Mbit/s.
const MIN_LOGGED_RESPONSE_BYTES: usize = 16 * 1024;
/// Time between two checks whether a waiting watch can still be relied on.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the first pause after a failure. It doubles with each further failure, and the
/// actual pause is random.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 400;

/// Why an attempt to follow the store failed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] PlatformError),
    #[error(transparent)]
    Response(#[from] StoreResponseError),
    #[error("the store responded with status {0:?}")]
    Status(StoreStatus),
    #[error("the configuration in the store is invalid")]
    InvalidConfiguration,
    #[error("the response is of the superseded store era {0}")]
    SupersededEra(StoreEra),
    #[error("the settings name another store since the call was made")]
    StoreReplaced,
    #[error("a later era of the store began during a read of several pages")]
    EraChanged,
    #[error(transparent)]
    Listing(#[from] ListingError),
}

impl FollowError {
    /// Whether the store did not respond, or refused the call.
    fn is_store_failure(&self) -> bool {
        matches!(self, Self::Store(_) | Self::Response(_) | Self::Status(_))
    }

    /// Whether the pages that were received before this error must not be used.
    fn ends_partial_read(&self) -> bool {
        matches!(
            self,
            Self::EraChanged | Self::SupersededEra(_) | Self::StoreReplaced | Self::Listing(_)
        )
    }
}

/// The pages of a read of all entries that has failed at a later page, with the era of the first.
#[derive(Default)]
struct PartialRead {
    era: Option<StoreEra>,
    pages: Option<Page>,
}

fn key_prefix(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => CONFIGURATION_KEY,
        Subject::Runners => RUNNERS_PREFIX,
        Subject::Crashes => CRASHES_PREFIX,
    }
}

/// Keeps the replica of one subject up to date until the process ends.
pub async fn follow(node: Rc<Node>, subject: Subject) {
    let address = node.settings().store.address;
    let confirmation_period = random_confirmation_period(&node, subject);
    let transfer = Rc::<Transfer>::default();
    let first_call_us = node.now_us() + micros(first_own_call_delay());
    let mut follower = Follower {
        node,
        subject,
        client: PlatformClient::with_transfer(transfer.clone()),
        replication: ReplicationClient::with_transfer(transfer.clone()),
        transfer,
        choice: SourceChoice::new(first_call_us),
        full_read: None,
        query_sent_at: Instant::now(),
        started: Instant::now(),
        address,
        generation: 0,
        known_to: None,
        history_is_gone: false,
        partial_read: PartialRead::default(),
        last_change_at: None,
        should_read_latest: false,
        configuration_bytes: None,
        confirmation_period,
        failures: 0,
    };
    loop {
        match follower.step().await {
            Ok(()) => follower.on_success(),
            Err(error) => follower.on_failure(&error).await,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Random, so that nodes that start together do not call the store together.
fn first_own_call_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(FIRST_OWN_CALL_DELAY_MS))
}

fn assess_freshness(node: &Node, subject: Subject, confirmation_period: Duration) -> Freshness {
    let confirmation_us = micros(confirmation_period);
    let freshness = node.freshness.borrow();
    freshness.replica(subject).assess(node.now_us(), confirmation_us)
}

/// Completes when a waiting watch should no longer be relied on. A watch whose response has begun
/// to arrive is kept: reports of a later change arrive before the change itself, and dropping the
/// response would delay it further.
async fn until_not_fresh(
    node: Rc<Node>,
    subject: Subject,
    confirmation_period: Duration,
    transfer: Rc<Transfer>,
) {
    loop {
        tokio::select! {
            () = sleep(FRESHNESS_POLL_INTERVAL) => {
                if assess_freshness(&node, subject, confirmation_period) == Freshness::Fresh {
                    continue;
                }
            }
            () = node.store_suspected.notified() => {}
        }
        if !transfer.has_started() {
            return;
        }
    }
}

struct Follower {
    node: Rc<Node>,
    subject: Subject,
    client: PlatformClient,
    replication: ReplicationClient,
    /// Progress of the response from the peer or store that was queried last.
    transfer: Rc<Transfer>,
    /// From where the replica is obtained.
    choice: SourceChoice,
    /// The read of all entries that was begun and has not ended, also if its last attempt failed.
    full_read: Option<FullRead>,
    /// Time of the last query or call.
    query_sent_at: Instant,
    started: Instant,
    address: SocketAddr,
    /// Value of [`Node::store_generation`] for the store that is followed.
    generation: u64,
    /// Revision of the store up to which all changes are known; `None` before the first read.
    known_to: Option<StoreRevision>,
    /// Whether the store no longer has the history after `known_to`, so that a watch cannot continue
    /// and everything has to be read again. The known entries stay valid; a peer's update that is
    /// not later does not clear this flag.
    history_is_gone: bool,
    /// What a failed read of all entries has received.
    partial_read: PartialRead,
    /// Time at which the last change arrived.
    last_change_at: Option<Instant>,
    /// Whether to read the latest version of the entry before watching it again.
    should_read_latest: bool,
    /// Size of the known configuration, in bytes, from the store or from another node; `None` before the first one, and
    /// for other subjects.
    configuration_bytes: Option<usize>,
    /// How long the store's confirmation of the replica holds.
    confirmation_period: Duration,
    failures: u32,
}

impl Follower {
    async fn step(&mut self) -> Result<(), FollowError> {
        if self.known_to.is_none() && self.awaits_node_list() {
            sleep(SOURCE_RETRY_PAUSE).await;
            return Ok(());
        }
        let address = self.node.settings().store.address;
        let generation = self.node.store_generation.get();
        if generation != self.generation {
            // Another store may number its revisions in a different way.
            (self.address, self.generation) = (address, generation);
            self.known_to = None;
            self.partial_read = PartialRead::default();
            self.node.store_replicas.borrow_mut().get_mut(self.subject).reset();
        }
        match self.next_query() {
            NextQuery::Store => self.query_store_or_peers().await,
            NextQuery::Source { address, waits } => {
                self.follow_peer(address, waits).await;
                Ok(())
            }
            NextQuery::OtherNode => {
                self.query_any_node().await;
                Ok(())
            }
            NextQuery::GiveUpStarting => {
                self.give_up_starting();
                Ok(())
            }
            NextQuery::Pause => {
                sleep(SOURCE_RETRY_PAUSE).await;
                Ok(())
            }
        }
    }

    async fn query_store_or_peers(&mut self) -> Result<(), FollowError> {
        self.transfer.reset();
        let hedge =
            hedge_with_peers(self.node.clone(), self.subject, self.known_to, &self.transfer);
        tokio::select! {
            done = self.query_store() => done,
            reply = hedge => {
                // The reply contains everything that the store was sending. The rest of the store's
                // response is dropped with its connection.
                self.set_obtaining(false);
                self.apply_reply(&reply);
                Ok(())
            }
        }
    }

    /// Whether the store was restored from a backup after the replica was read. The store then
    /// assigns revisions again, and a watch would miss changes under revisions that are already
    /// known.
    fn is_replica_of_earlier_era(&self) -> bool {
        self.known_to.is_some_and(|at| at.era() < self.node.store_era())
    }

    /// Revision after which another node may reply with changes only; `None` if it has to send a
    /// snapshot.
    fn known_to_in_current_era(&self) -> Option<StoreRevision> {
        self.known_to.filter(|_| !self.is_replica_of_earlier_era())
    }

    /// Whether no other node is known, and the store has not told yet that there is none. A node
    /// that took itself for the only one would read all entries, as would all others that started
    /// with it.
    fn awaits_node_list(&self) -> bool {
        !self.node.has_listed_nodes() && self.node.known_node_count() == 1
    }

    /// Whether the next response of the store is of use only if it holds all entries.
    fn needs_full_read(&self) -> bool {
        self.known_to.is_none() || self.history_is_gone || self.is_replica_of_earlier_era()
    }

    fn begin_query(&mut self) {
        self.query_sent_at = Instant::now();
        self.transfer.reset();
    }

    /// Logs a snapshot or change that is large enough to take some time on a slow link. `waited_ms`
    /// is the time until its first bytes arrived, which includes waiting for a change, and
    /// `transfer_ms` the time from then on.
    fn log_large_response(&self, source: &str, bytes: usize) {
        if bytes < MIN_LOGGED_RESPONSE_BYTES {
            return;
        }
        let subject = self.subject.name();
        let known_to = self.known_to.unwrap_or_default().to_string();
        let transfer = self.transfer.elapsed();
        let waited_ms = self.query_sent_at.elapsed().saturating_sub(transfer).as_millis();
        let transfer_ms = transfer.as_millis();
        log::info!(target: "store", subject, source, known_to, bytes, waited_ms, transfer_ms; "fetched");
    }

    /// Logs from where the node has its first replica of the subject, and how long ago the store had
    /// confirmed it.
    fn log_first_replica(&self, source: &str, age_ms: Option<u64>) {
        let subject = self.subject.name();
        let uptime_ms = self.started.elapsed().as_millis();
        log::info!(target: "store", subject, source, age_ms, uptime_ms; "first replica");
    }

    /// Whether another node has reported a change that this node has not received.
    fn is_behind(&self) -> bool {
        let freshness = self.node.freshness.borrow();
        freshness.replica(self.subject).behind_for_us(self.node.now_us()).is_some()
    }

    /// Queries a node: one that has reported a later change, or else a random one.
    async fn query_any_node(&mut self) {
        let others = self.node.members.borrow().other_addresses();
        if others.is_empty() {
            return;
        }
        let reporter = self.node.take_reporter(self.subject);
        let other = reporter.unwrap_or_else(|| others[rand::rng().random_range(0..others.len())]);
        let query = StoreUpdateQuery::new(self.subject, self.known_to_in_current_era(), 0);
        match self.replication.query(&self.node, other, &query).await {
            Ok(reply) => {
                let is_reliable = self.apply_reply(&reply);
                self.choice.on_other_reply(classify_reply(&reply, is_reliable));
            }
            Err(error) => {
                let (other, error) = (other.to_string(), error.to_string());
                log::info!(target: "store", subject = self.subject.name(), other, error; "peer query failed");
            }
        }
    }

    fn apply_update(&mut self, update: &StoreUpdate) {
        // The store's history may still reach back to a later replica received from another node.
        self.history_is_gone &= self.known_to.is_some_and(|at| update.known_to() <= at);
        self.known_to = Some(update.known_to());
        self.partial_read = PartialRead::default();
        self.full_read = None;
        if self.subject == Subject::Configuration {
            let document = update.entries.last().and_then(|entry| entry.document.as_ref());
            self.configuration_bytes = document.map(String::len).or(self.configuration_bytes);
        }
        apply_update(&self.node, self.subject, update);
    }

    /// Delays the next query so that changes in quick succession are received together.
    async fn pause_between_changes(&self, interval: Duration) {
        let contact_time = Duration::from_millis(self.node.settings().bounds.contact_ms);
        let due = self
            .last_change_at
            .map(|at| at + interval.min(contact_time / MAX_CHANGE_INTERVAL_DIVISOR));
        let remaining = due.map(|due| due.saturating_duration_since(Instant::now()));
        if let Some(remaining) = remaining.filter(|remaining| !remaining.is_zero()) {
            sleep(remaining).await;
        }
    }

    fn assess_freshness(&self) -> Freshness {
        assess_freshness(&self.node, self.subject, self.confirmation_period)
    }

    fn with_freshness(&self, change: impl FnOnce(&mut ReplicaFreshness, u64)) {
        let now_us = self.node.now_us();
        change(self.node.freshness.borrow_mut().replica_mut(self.subject), now_us);
    }

    fn on_success(&mut self) {
        if self.failures > 0 {
            let failures = self.failures;
            log::info!(target: "store", subject = self.subject.name(), failures; "regained");
        }
        self.failures = 0;
    }

    async fn on_failure(&mut self, error: &FollowError) {
        self.node.metrics.store_failures.inc();
        if error.is_store_failure() {
            self.with_freshness(ReplicaFreshness::on_store_silent);
        }
        if self.failures == 0 {
            let error = error.to_string();
            log::warn!(target: "store", subject = self.subject.name(), error; "lost");
        }
        let max_pause_ms = INITIAL_BACKOFF_MS << self.failures.min(3);
        let max_pause_ms = max_pause_ms.min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        // The pause is random, so that nodes that lost the store together do not return together.
        let pause = rand::rng().random_range(max_pause_ms / 2..=max_pause_ms);
        sleep(Duration::from_millis(pause)).await;
    }
}
