//! Follows the store: the operators' configuration, the runners' entries, and the requests under
//! which runners have ended.
//!
//! A few nodes of each zone read the store and watch it from the revision of the read; the
//! others follow one of these ([`crate::replication`]), another one as soon as that one does not
//! answer or has not heard of the store lately. Only when no node's copy is confirmed do they
//! ask the store themselves, and seldom. A watch that ends for any reason goes on from its last
//! revision; if that history is gone, or the store has come back from an older copy, everything is read anew. A watch may go silent in a fault
//! without a word. It is relied on while the copy is known to be fresh
//! ([`pitchstall_serving::freshness`]); otherwise the store is asked.

mod peer_source;

use crate::clock::Instant;
use crate::entries::{apply_update, to_entries};
use crate::node::Node;
use crate::platform_client::{PlatformClient, PlatformError};
use crate::replica_limits::random_confirmation_period;
use crate::replication::ReplicationClient;
use crate::store_pages::read_pages;
use crate::transfer::Transfer;
use peer_source::hedge_with_peers;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{
    self, Page, StoreAnswerError, StoreStatus, CONFIGURATION_KEY, CRASHES_PREFIX, RUNNERS_PREFIX,
};
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::store_replica::{StoreUpdate, StoreUpdateQuery, Subject};
use pitchstall_serving::store_revision::{StoreEra, StoreRevision};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for the head of the answer to a call that does not wait.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A watch asks for no more than that, so that its revision stays in the store's history.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
const WATCH_TIMEOUT: Duration = Duration::from_secs(12);
/// What a call asks for that only confirms the copy.
const CONFIRMATION_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Shortest time between two answers with changes: for a node alone and for each other node
/// that watches too, as each change costs each of them a call.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(100);
const MIN_CHANGE_INTERVAL_PER_READER: Duration = Duration::from_millis(8);
/// Part of the time after which a node counts as in touch again that changes wait at most.
const MAX_CHANGE_INTERVAL_DIVISOR: u32 = 6;
/// Time after the start for which a node waits to hear who is there before it reads the store
/// itself: three calls to the store take some 20 ms, and several times that on a busy machine.
const NODE_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after another node had nothing confirmed to say.
const SOURCE_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// An answer that takes this long on its way may have been overtaken: changes come three a second at most
/// on the users' deployments.
const MIN_SLOW_TRANSFER: Duration = Duration::from_millis(300);
/// From here on an answer is logged: 13 ms on a link of 10 Mbit/s.
const MIN_LOGGED_RESPONSE_BYTES: usize = 16 * 1024;
/// Between two looks whether a watch that waits is to be doubted.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failure, before it is multiplied and spread.
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 400;

/// Why the store could not be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] PlatformError),
    #[error(transparent)]
    Response(#[from] StoreAnswerError),
    #[error("the store says {0:?}")]
    Status(StoreStatus),
    #[error("the configuration cannot be read")]
    UnreadableConfiguration,
    #[error("the answer is of the store's era {0}, which is over")]
    SupersededEra(StoreEra),
    #[error("the settings name another store by now")]
    StoreReplaced,
    #[error("the store came back older while it was read")]
    EraChanged,
}

fn key_prefix(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => CONFIGURATION_KEY,
        Subject::Runners => RUNNERS_PREFIX,
        Subject::Crashes => CRASHES_PREFIX,
    }
}

/// Follows one subject until the process ends.
pub async fn follow(node: Rc<Node>, subject: Subject) {
    let address = node.settings().store.address;
    let confirmation_period = random_confirmation_period(&node, subject);
    let transfer = Rc::<Transfer>::default();
    let mut follower = Follower {
        node,
        subject,
        client: PlatformClient::with_transfer(transfer.clone()),
        replication: ReplicationClient::with_transfer(transfer.clone()),
        transfer,
        source_index: 0,
        next_own_call_at: Instant::now(),
        next_behind_call_at: Instant::now(),
        is_source_reliable: false,
        query_sent_at: Instant::now(),
        started: Instant::now(),
        address,
        generation: 0,
        known_to: None,
        history_is_gone: false,
        last_change_at: None,
        should_reread_entry: false,
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

fn assess_freshness(node: &Node, subject: Subject, confirmation_period: Duration) -> Freshness {
    let confirmation_us = u64::try_from(confirmation_period.as_micros()).unwrap_or(u64::MAX);
    let freshness = node.freshness.borrow();
    freshness.replica(subject).assess(node.now_us(), confirmation_us)
}

/// Ends when a watch that waits should not be relied on any more. Once its answer has begun to come it is:
/// words of a later change come before the change itself, and dropping it would prolong the doubt.
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
    /// Progress of the answer of the node or the store that is asked.
    transfer: Rc<Transfer>,
    /// Which of the nodes that can be followed is followed.
    source_index: usize,
    /// When the store may next be asked though this node does not read it for others.
    next_own_call_at: Instant,
    /// When it may be asked because another node has seen a later change.
    next_behind_call_at: Instant,
    /// Whether the node that is followed has given a sound answer.
    is_source_reliable: bool,
    /// When it was last asked.
    query_sent_at: Instant,
    started: Instant,
    address: SocketAddr,
    /// Which of the stores that have been there is followed.
    generation: u64,
    /// The store's revision up to which everything is known.
    known_to: Option<StoreRevision>,
    /// Whether the store has no history from there on: a watch can't go on, everything is read anew. What is known stays
    /// known, so that a copy which is no later ends no such read.
    history_is_gone: bool,
    /// When the last change came.
    last_change_at: Option<Instant>,
    /// Whether the entry is read again before it is watched.
    should_reread_entry: bool,
    /// How long a confirmation of the copy holds.
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
            // Another store may count its revisions in another way.
            (self.address, self.generation) = (address, generation);
            self.known_to = None;
            self.node.store_replicas.borrow_mut().get_mut(self.subject).reset();
        }
        if let Some(source) = self.source() {
            self.follow_peer(source).await;
            return Ok(());
        }
        self.transfer.reset();
        let hedge =
            hedge_with_peers(self.node.clone(), self.subject, self.known_to, &self.transfer);
        tokio::select! {
            done = self.query_store() => done,
            reply = hedge => {
                // What the store had sent is dropped with its connection, as it is all in here.
                self.apply_reply(&reply);
                Ok(())
            }
        }
    }

    /// Asks the store, and after it has failed any node that knows something: while nothing is known here a copy
    /// that is old serves better than none, and a later change that others tell of has to be got from
    /// them. The first answer of the store replaces it.
    async fn query_store(&mut self) -> Result<(), FollowError> {
        let outcome = match self.known_to {
            None => self.read_all().await,
            Some(_) if self.history_is_gone || self.is_replica_of_earlier_era() => {
                self.read_all().await
            }
            Some(_) if self.should_reread_entry => self.read_latest().await,
            Some(at) => self.watch(at).await,
        };
        let is_incomplete = self.known_to.is_none()
            || self.history_is_gone
            || self.is_replica_of_earlier_era()
            || self.is_behind();
        if outcome.is_err() && self.failures > 0 && is_incomplete {
            self.query_any_node().await;
        }
        outcome
    }

    /// Whether the store has come back from an older copy since what is known here: its revisions are given out again, so
    /// that a watch would pass over what is written under those that are known.
    fn is_replica_of_earlier_era(&self) -> bool {
        self.known_to.is_some_and(|at| at.era() < self.node.store_era())
    }

    /// Revision from which another node may tell what has changed; `None`: it has to tell everything.
    fn known_to_in_current_era(&self) -> Option<StoreRevision> {
        self.known_to.filter(|_| !self.is_replica_of_earlier_era())
    }

    /// Whether the node has just started and may soon know whom it can follow.
    fn awaits_node_list(&self) -> bool {
        !self.node.has_listed_nodes() && self.started.elapsed() < NODE_LIST_TIMEOUT
    }

    fn begin_query(&mut self) {
        self.query_sent_at = Instant::now();
        self.transfer.reset();
    }

    /// One line for each copy or change that is large enough to take some time on a slow link.
    /// `waited_ms`: until its first bytes came, as long as there was no change; `transfer_ms`: from then on.
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

    /// Whether another node has told of a change that this one has not got.
    fn is_behind(&self) -> bool {
        let freshness = self.node.freshness.borrow();
        freshness.replica(self.subject).behind_for_us(self.node.now_us()).is_some()
    }

    async fn query_any_node(&mut self) {
        let others = self.node.members.borrow().other_addresses();
        if others.is_empty() {
            return;
        }
        let other = others[rand::rng().random_range(0..others.len())];
        let query = StoreUpdateQuery::new(self.subject, self.known_to_in_current_era(), 0);
        match self.replication.query(&self.node, other, &query).await {
            Ok(reply) => drop(self.apply_reply(&reply)),
            Err(error) => {
                let (other, error) = (other.to_string(), error.to_string());
                log::info!(target: "store", subject = self.subject.name(), other, error; "no copy");
            }
        }
    }

    async fn read_all(&mut self) -> Result<(), FollowError> {
        let update = match self.subject {
            Subject::Configuration => self.read_configuration().await?,
            Subject::Runners | Subject::Crashes => self.read_list().await?,
        };
        self.apply_update(&update);
        self.history_is_gone = false;
        self.confirmation_period = random_confirmation_period(&self.node, self.subject);
        self.with_freshness(|replica, now_us| replica.on_full_read(&update, now_us));
        self.node.replica_confirmed.notify_one();
        Ok(())
    }

    /// Reads the only entry of the subject again, until it has not changed meanwhile. A watch tells each version
    /// that was written since, one after the other, so that those that come while one is on its way take
    /// longer than it did. The entry is the latest alone.
    async fn read_latest(&mut self) -> Result<(), FollowError> {
        let revision = |node: &Node| {
            node.store_replicas.borrow().get(Subject::Configuration).last_changed_at()
        };
        let before = revision(&self.node);
        self.read_all().await?;
        let has_changed = revision(&self.node) != before;
        self.should_reread_entry = has_changed && self.transfer.elapsed() >= MIN_SLOW_TRANSFER;
        Ok(())
    }

    /// The answer of the store has told a change; one of the configuration may have been overtaken by the
    /// time that it has come.
    fn note_transfer_time(&mut self) {
        let has_one_entry = self.subject == Subject::Configuration;
        self.should_reread_entry = has_one_entry && self.transfer.elapsed() >= MIN_SLOW_TRANSFER;
    }

    async fn read_configuration(&mut self) -> Result<StoreUpdate, FollowError> {
        let (status, body, era) =
            self.call(&store::read_key(CONFIGURATION_KEY), READ_TIMEOUT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        let (item, at) = store::parse_item(&body)?;
        let entries = to_entries(&self.node, self.subject, vec![item]);
        if entries.is_empty() {
            // Another node may have the one before it.
            return Err(FollowError::UnreadableConfiguration);
        }
        Ok(StoreUpdate { era, known_to: at, is_snapshot: true, entries })
    }

    async fn read_list(&mut self) -> Result<StoreUpdate, FollowError> {
        let mut first_era = None;
        let all = read_pages(async |after| {
            let (page, era) = self.read_page(after.as_deref()).await?;
            match *first_era.get_or_insert(era) == era {
                true => Ok(page),
                false => Err(FollowError::EraChanged),
            }
        });
        let all = all.await?;
        let entries = to_entries(&self.node, self.subject, all.items);
        let era = first_era.unwrap_or_default();
        Ok(StoreUpdate { era, known_to: all.at, is_snapshot: true, entries })
    }

    fn apply_update(&mut self, update: &StoreUpdate) {
        // The history may reach back to a later copy of another node.
        self.history_is_gone &= self.known_to.is_some_and(|at| update.known_to() <= at);
        self.known_to = Some(update.known_to());
        apply_update(&self.node, self.subject, update);
    }

    async fn read_page(&mut self, after: Option<&str>) -> Result<(Page, StoreEra), FollowError> {
        let call = store::read_range(key_prefix(self.subject), after);
        let (status, body, era) = self.call(&call, READ_TIMEOUT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        Ok((store::parse_page(&body)?, era))
    }

    /// Waits for changes. While the copy is not confirmed, the store is only asked: its answer
    /// confirms the copy, here and at the other nodes.
    async fn watch(&mut self, at: StoreRevision) -> Result<(), FollowError> {
        let readers = self.node.members.borrow().store_reader_count();
        let readers = u32::try_from(readers).unwrap_or(u32::MAX);
        let pause = MIN_CHANGE_INTERVAL + MIN_CHANGE_INTERVAL_PER_READER.saturating_mul(readers);
        self.pause_between_changes(pause).await;
        let is_fresh = self.assess_freshness() == Freshness::Fresh;
        if is_fresh {
            let (node, subject) = (self.node.clone(), self.subject);
            let (period, transfer) = (self.confirmation_period, self.transfer.clone());
            self.begin_query();
            tokio::select! {
                done = self.watch_once(at, MAX_WATCH_WAIT, WATCH_TIMEOUT) => done,
                // The connection is dropped with the call.
                () = until_not_fresh(node, subject, period, transfer) => Ok(()),
            }
        } else {
            self.with_freshness(ReplicaFreshness::on_store_queried);
            self.watch_once(at, CONFIRMATION_WATCH_WAIT, READ_TIMEOUT).await
        }
    }

    /// Changes that come in quick succession are taken in together.
    async fn pause_between_changes(&self, interval: Duration) {
        let contact_time = Duration::from_millis(self.node.settings().bounds.contact_ms);
        let due = self
            .last_change_at
            .map(|at| at + interval.min(contact_time / MAX_CHANGE_INTERVAL_DIVISOR));
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        if let Some(left) = left.filter(|left| !left.is_zero()) {
            sleep(left).await;
        }
    }

    async fn watch_once(
        &mut self,
        at: StoreRevision,
        max_wait: Duration,
        timeout: Duration,
    ) -> Result<(), FollowError> {
        let wait_ms = u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX);
        let call = store::watch(key_prefix(self.subject), at.number(), wait_ms);
        let (status, body, era) = self.call(&call, timeout).await?;
        if era != at.era() {
            // Whatever it says: it may have passed over what was written under revisions that are known.
            return Ok(());
        }
        match status {
            StoreStatus::Done => {
                let page = store::parse_page(&body)?;
                if !page.items.is_empty() {
                    self.last_change_at = Some(Instant::now());
                    self.note_transfer_time();
                }
                let known_to = StoreRevision::new(era, page.at).max(at);
                let entries = to_entries(&self.node, self.subject, page.items);
                let number = known_to.number();
                let update = StoreUpdate { era, known_to: number, is_snapshot: false, entries };
                for entry in &update.entries {
                    self.with_freshness(|replica, _| replica.on_change(update.revision_of(entry)));
                }
                self.apply_update(&update);
                self.confirmation_period = random_confirmation_period(&self.node, self.subject);
                self.with_freshness(|replica, now_us| replica.on_store_response(known_to, now_us));
                self.node.replica_confirmed.notify_one();
                Ok(())
            }
            StoreStatus::HistoryGone => {
                self.history_is_gone = true;
                let at = at.to_string();
                log::info!(target: "store", subject = self.subject.name(), at; "history gone");
                Ok(())
            }
            other => Err(FollowError::Status(other)),
        }
    }

    fn assess_freshness(&self) -> Freshness {
        assess_freshness(&self.node, self.subject, self.confirmation_period)
    }

    fn with_freshness(&self, change: impl FnOnce(&mut ReplicaFreshness, u64)) {
        let now_us = self.node.now_us();
        change(self.node.freshness.borrow_mut().replica_mut(self.subject), now_us);
    }

    async fn call(
        &mut self,
        call: &PlatformCall,
        timeout: Duration,
    ) -> Result<(StoreStatus, Vec<u8>, StoreEra), FollowError> {
        self.node.metrics.store_calls.inc();
        self.begin_query();
        let response = self.client.call(self.address, call, timeout).await?;
        let era = self.node.on_era_reported(self.address, response.era);
        let era = era.ok_or(FollowError::StoreReplaced)?;
        if era < self.node.store_era() {
            return Err(FollowError::SupersededEra(era));
        }
        self.log_large_response("store", response.body.len());
        Ok((store::parse_status(response.status), response.body, era))
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
        if self.failures == 0 {
            let error = error.to_string();
            log::warn!(target: "store", subject = self.subject.name(), error; "lost");
        }
        let max_pause_ms = INITIAL_BACKOFF_MS << self.failures.min(3);
        let max_pause_ms = max_pause_ms.min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        // Spread, so that nodes that lost the store together do not come back together.
        let pause = rand::rng().random_range(max_pause_ms / 2..=max_pause_ms);
        sleep(Duration::from_millis(pause)).await;
    }
}
