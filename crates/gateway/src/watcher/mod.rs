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
use crate::entries::{entries_of, take_update};
use crate::node::Node;
use crate::platform_client::{PlatformClient, PlatformFailure};
use crate::replica_limits::draw_confirmation;
use crate::replication::MirrorClient;
use crate::store_pages::read_pages;
use crate::transfer::Transfer;
use peer_source::hedged_copy;
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
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// A watch asks for no more than that, so that its revision stays in the store's history.
const LONGEST_WATCH: Duration = Duration::from_secs(10);
const LONGEST_WATCH_LIMIT: Duration = Duration::from_secs(12);
/// What a call asks for that only confirms the copy.
const SHORTEST_WATCH: Duration = Duration::from_millis(1);
/// Shortest time between two answers with changes: for a node alone and for each other node
/// that watches too, as each change costs each of them a call.
const BETWEEN_CHANGES: Duration = Duration::from_millis(100);
const BETWEEN_CHANGES_A_NODE: Duration = Duration::from_millis(8);
/// Part of the time after which a node counts as in touch again that changes wait at most.
const CHANGES_WAIT_PART: u32 = 6;
/// Time after the start for which a node waits to hear who is there before it reads the store
/// itself: three calls to the store take some 20 ms, and several times that on a busy machine.
const NODES_LIMIT: Duration = Duration::from_millis(400);
/// Pause after another node had nothing confirmed to say.
const SOURCE_PAUSE: Duration = Duration::from_millis(30);
/// An answer that takes this long on its way may have been overtaken: changes come three a second at most
/// on the users' deployments.
const SLOW_TRANSFER: Duration = Duration::from_millis(300);
/// From here on an answer is logged: 13 ms on a link of 10 Mbit/s.
const LARGE_COPY_BYTES: usize = 16 * 1024;
/// Between two looks whether a watch that waits is to be doubted.
const DOUBT_POLL: Duration = Duration::from_millis(100);
/// Pause after a failure, before it is multiplied and spread.
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 400;

/// Why the store could not be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] PlatformFailure),
    #[error(transparent)]
    Answer(#[from] StoreAnswerError),
    #[error("the store says {0:?}")]
    Status(StoreStatus),
    #[error("the configuration cannot be read")]
    Unreadable,
    #[error("the answer is of the store's era {0}, which is over")]
    EraIsOver(StoreEra),
    #[error("the settings name another store by now")]
    OtherStore,
    #[error("the store came back older while it was read")]
    EraBegan,
}

fn prefix_of(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => CONFIGURATION_KEY,
        Subject::Runners => RUNNERS_PREFIX,
        Subject::Crashes => CRASHES_PREFIX,
    }
}

/// Follows one subject until the process ends.
pub async fn follow(node: Rc<Node>, subject: Subject) {
    let address = node.settings().store.address;
    let confirmation = draw_confirmation(&node, subject);
    let transfer = Rc::<Transfer>::default();
    let mut follower = Follower {
        node,
        subject,
        client: PlatformClient::with_transfer(transfer.clone()),
        mirror: MirrorClient::with_transfer(transfer.clone()),
        transfer,
        turn: 0,
        own_call_at: Instant::now(),
        behind_call_at: Instant::now(),
        source_is_sound: false,
        asked_at: Instant::now(),
        started: Instant::now(),
        address,
        generation: 0,
        at: None,
        history_is_gone: false,
        changed_at: None,
        reads_latest: false,
        confirmation,
        failures: 0,
    };
    loop {
        match follower.step().await {
            Ok(()) => follower.on_success(),
            Err(error) => follower.on_failure(&error).await,
        }
    }
}

fn verdict(node: &Node, subject: Subject, confirmation: Duration) -> Freshness {
    let confirmation_us = u64::try_from(confirmation.as_micros()).unwrap_or(u64::MAX);
    let freshness = node.freshness.borrow();
    freshness.replica(subject).assess(node.now_us(), confirmation_us)
}

/// Ends when a watch that waits should not be relied on any more. Once its answer has begun to come it is:
/// words of a later change come before the change itself, and dropping it would prolong the doubt.
async fn until_doubted(
    node: Rc<Node>,
    subject: Subject,
    confirmation: Duration,
    transfer: Rc<Transfer>,
) {
    loop {
        tokio::select! {
            () = sleep(DOUBT_POLL) => {
                if verdict(&node, subject, confirmation) == Freshness::Fresh {
                    continue;
                }
            }
            () = node.store_suspected.notified() => {}
        }
        if !transfer.is_under_way() {
            return;
        }
    }
}

struct Follower {
    node: Rc<Node>,
    subject: Subject,
    client: PlatformClient,
    mirror: MirrorClient,
    /// Progress of the answer of the node or the store that is asked.
    transfer: Rc<Transfer>,
    /// Which of the nodes that can be followed is followed.
    turn: usize,
    /// When the store may next be asked though this node does not read it for others.
    own_call_at: Instant,
    /// When it may be asked because another node has seen a later change.
    behind_call_at: Instant,
    /// Whether the node that is followed has given a sound answer.
    source_is_sound: bool,
    /// When it was last asked.
    asked_at: Instant,
    started: Instant,
    address: SocketAddr,
    /// Which of the stores that have been there is followed.
    generation: u64,
    /// The store's revision up to which everything is known.
    at: Option<StoreRevision>,
    /// Whether the store has no history from there on: a watch can't go on, everything is read anew. What is known stays
    /// known, so that a copy which is no later ends no such read.
    history_is_gone: bool,
    /// When the last change came.
    changed_at: Option<Instant>,
    /// Whether the entry is read again before it is watched.
    reads_latest: bool,
    /// How long a confirmation of the copy holds.
    confirmation: Duration,
    failures: u32,
}

impl Follower {
    async fn step(&mut self) -> Result<(), FollowError> {
        if self.at.is_none() && self.may_yet_hear_of_nodes() {
            sleep(SOURCE_PAUSE).await;
            return Ok(());
        }
        let address = self.node.settings().store.address;
        let generation = self.node.store_generation.get();
        if generation != self.generation {
            // Another store may count its revisions in another way.
            (self.address, self.generation) = (address, generation);
            self.at = None;
            self.node.copies.borrow_mut().get_mut(self.subject).reset();
        }
        if let Some(source) = self.source() {
            self.follow_node(source).await;
            return Ok(());
        }
        self.transfer.begin();
        let hedged = hedged_copy(self.node.clone(), self.subject, self.at, &self.transfer);
        tokio::select! {
            done = self.ask_store() => done,
            answer = hedged => {
                // What the store had sent is dropped with its connection, as it is all in here.
                self.take_answer(&answer);
                Ok(())
            }
        }
    }

    /// Asks the store, and after it has failed any node that knows something: while nothing is known here a copy
    /// that is old serves better than none, and a later change that others tell of has to be got from
    /// them. The first answer of the store replaces it.
    async fn ask_store(&mut self) -> Result<(), FollowError> {
        let asked = match self.at {
            None => self.read_all().await,
            Some(_) if self.history_is_gone || self.is_of_earlier_era() => self.read_all().await,
            Some(_) if self.reads_latest => self.read_latest().await,
            Some(at) => self.watch(at).await,
        };
        let lacks_something = self.at.is_none()
            || self.history_is_gone
            || self.is_of_earlier_era()
            || self.is_behind();
        if asked.is_err() && self.failures > 0 && lacks_something {
            self.ask_any_node().await;
        }
        asked
    }

    /// Whether the store has come back from an older copy since what is known here: its revisions are given out again, so
    /// that a watch would pass over what is written under those that are known.
    fn is_of_earlier_era(&self) -> bool {
        self.at.is_some_and(|at| at.era() < self.node.store_era())
    }

    /// Revision from which another node may tell what has changed; `None`: it has to tell everything.
    fn at_of_this_era(&self) -> Option<StoreRevision> {
        self.at.filter(|_| !self.is_of_earlier_era())
    }

    /// Whether the node has just started and may soon know whom it can follow.
    fn may_yet_hear_of_nodes(&self) -> bool {
        !self.node.has_listed_nodes() && self.started.elapsed() < NODES_LIMIT
    }

    fn begin_question(&mut self) {
        self.asked_at = Instant::now();
        self.transfer.begin();
    }

    /// One line for each copy or change that is large enough to take some time on a slow link.
    /// `waited_ms`: until its first bytes came, as long as there was no change; `transfer_ms`: from then on.
    fn log_large_copy(&self, source: &str, bytes: usize) {
        if bytes < LARGE_COPY_BYTES {
            return;
        }
        let subject = self.subject.name();
        let known_to = self.at.unwrap_or_default().to_string();
        let transfer = self.transfer.elapsed();
        let waited_ms = self.asked_at.elapsed().saturating_sub(transfer).as_millis();
        let transfer_ms = transfer.as_millis();
        log::info!(target: "store", subject, source, known_to, bytes, waited_ms, transfer_ms; "fetched");
    }

    /// Whether another node has told of a change that this one has not got.
    fn is_behind(&self) -> bool {
        let freshness = self.node.freshness.borrow();
        freshness.replica(self.subject).behind_for_us(self.node.now_us()).is_some()
    }

    async fn ask_any_node(&mut self) {
        let others = self.node.members.borrow().other_addresses();
        if others.is_empty() {
            return;
        }
        let other = others[rand::rng().random_range(0..others.len())];
        let question = StoreUpdateQuery::new(self.subject, self.at_of_this_era(), 0);
        match self.mirror.ask(&self.node, other, &question).await {
            Ok(answer) => drop(self.take_answer(&answer)),
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
        self.take_update(&update);
        self.history_is_gone = false;
        self.confirmation = draw_confirmation(&self.node, self.subject);
        self.with_freshness(|copy, now_us| copy.on_full_read(&update, now_us));
        self.node.store_confirmed.notify_one();
        Ok(())
    }

    /// Reads the only entry of the subject again, until it has not changed meanwhile. A watch tells each version
    /// that was written since, one after the other, so that those that come while one is on its way take
    /// longer than it did. The entry is the latest alone.
    async fn read_latest(&mut self) -> Result<(), FollowError> {
        let revision =
            |node: &Node| node.copies.borrow().get(Subject::Configuration).last_changed_at();
        let before = revision(&self.node);
        self.read_all().await?;
        let has_changed = revision(&self.node) != before;
        self.reads_latest = has_changed && self.transfer.elapsed() >= SLOW_TRANSFER;
        Ok(())
    }

    /// The answer of the store has told a change; one of the configuration may have been overtaken by the
    /// time that it has come.
    fn note_pace(&mut self) {
        let is_one_entry = self.subject == Subject::Configuration;
        self.reads_latest = is_one_entry && self.transfer.elapsed() >= SLOW_TRANSFER;
    }

    async fn read_configuration(&mut self) -> Result<StoreUpdate, FollowError> {
        let (status, body, era) =
            self.call(&store::read_key(CONFIGURATION_KEY), READ_LIMIT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        let (item, at) = store::parse_item(&body)?;
        let entries = entries_of(&self.node, self.subject, vec![item]);
        if entries.is_empty() {
            // Another node may have the one before it.
            return Err(FollowError::Unreadable);
        }
        Ok(StoreUpdate { era, known_to: at, is_snapshot: true, entries })
    }

    async fn read_list(&mut self) -> Result<StoreUpdate, FollowError> {
        let mut of_first = None;
        let all = read_pages(async |after| {
            let (page, era) = self.read_page(after.as_deref()).await?;
            match *of_first.get_or_insert(era) == era {
                true => Ok(page),
                false => Err(FollowError::EraBegan),
            }
        });
        let all = all.await?;
        let entries = entries_of(&self.node, self.subject, all.items);
        let era = of_first.unwrap_or_default();
        Ok(StoreUpdate { era, known_to: all.at, is_snapshot: true, entries })
    }

    fn take_update(&mut self, update: &StoreUpdate) {
        // The history may reach back to a later copy of another node.
        self.history_is_gone &= self.at.is_some_and(|at| update.known_to() <= at);
        self.at = Some(update.known_to());
        take_update(&self.node, self.subject, update);
    }

    async fn read_page(&mut self, after: Option<&str>) -> Result<(Page, StoreEra), FollowError> {
        let call = store::read_range(prefix_of(self.subject), after);
        let (status, body, era) = self.call(&call, READ_LIMIT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        Ok((store::parse_page(&body)?, era))
    }

    /// Waits for changes. While the copy is not confirmed, the store is only asked: its answer
    /// confirms the copy, here and at the other nodes.
    async fn watch(&mut self, at: StoreRevision) -> Result<(), FollowError> {
        let mirrors = self.node.members.borrow().store_reader_count();
        let mirrors = u32::try_from(mirrors).unwrap_or(u32::MAX);
        let pause = BETWEEN_CHANGES + BETWEEN_CHANGES_A_NODE.saturating_mul(mirrors);
        self.pause_between_changes(pause).await;
        let is_fresh = self.verdict() == Freshness::Fresh;
        if is_fresh {
            let (node, subject) = (self.node.clone(), self.subject);
            let (holds, transfer) = (self.confirmation, self.transfer.clone());
            self.begin_question();
            tokio::select! {
                done = self.watch_once(at, LONGEST_WATCH, LONGEST_WATCH_LIMIT) => done,
                // The connection is dropped with the call.
                () = until_doubted(node, subject, holds, transfer) => Ok(()),
            }
        } else {
            self.with_freshness(ReplicaFreshness::on_store_queried);
            self.watch_once(at, SHORTEST_WATCH, READ_LIMIT).await
        }
    }

    /// Changes that come in quick succession are taken in together.
    async fn pause_between_changes(&self, wished: Duration) {
        let contact = Duration::from_millis(self.node.settings().bounds.contact_ms);
        let due = self.changed_at.map(|at| at + wished.min(contact / CHANGES_WAIT_PART));
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        if let Some(left) = left.filter(|left| !left.is_zero()) {
            sleep(left).await;
        }
    }

    async fn watch_once(
        &mut self,
        at: StoreRevision,
        wait: Duration,
        limit: Duration,
    ) -> Result<(), FollowError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = store::watch(prefix_of(self.subject), at.number(), wait_ms);
        let (status, body, era) = self.call(&call, limit).await?;
        if era != at.era() {
            // Whatever it says: it may have passed over what was written under revisions that are known.
            return Ok(());
        }
        match status {
            StoreStatus::Done => {
                let page = store::parse_page(&body)?;
                if !page.items.is_empty() {
                    self.changed_at = Some(Instant::now());
                    self.note_pace();
                }
                let known_to = StoreRevision::new(era, page.at).max(at);
                let entries = entries_of(&self.node, self.subject, page.items);
                let number = known_to.number();
                let update = StoreUpdate { era, known_to: number, is_snapshot: false, entries };
                for entry in &update.entries {
                    self.with_freshness(|copy, _| copy.on_change(update.revision_of(entry)));
                }
                self.take_update(&update);
                self.confirmation = draw_confirmation(&self.node, self.subject);
                self.with_freshness(|copy, now_us| copy.on_store_response(known_to, now_us));
                self.node.store_confirmed.notify_one();
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

    fn verdict(&self) -> Freshness {
        verdict(&self.node, self.subject, self.confirmation)
    }

    fn with_freshness(&self, change: impl FnOnce(&mut ReplicaFreshness, u64)) {
        let now_us = self.node.now_us();
        change(self.node.freshness.borrow_mut().replica_mut(self.subject), now_us);
    }

    async fn call(
        &mut self,
        call: &PlatformCall,
        limit: Duration,
    ) -> Result<(StoreStatus, Vec<u8>, StoreEra), FollowError> {
        self.node.metrics.store_calls.inc();
        self.begin_question();
        let answer = self.client.call(self.address, call, limit).await?;
        let era = self.node.on_told_era(self.address, answer.era);
        let era = era.ok_or(FollowError::OtherStore)?;
        if era < self.node.store_era() {
            return Err(FollowError::EraIsOver(era));
        }
        self.log_large_copy("store", answer.body.len());
        Ok((store::parse_status(answer.status), answer.body, era))
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
        let longest = FIRST_PAUSE_MS << self.failures.min(3);
        let longest = longest.min(LONGEST_PAUSE_MS);
        self.failures = self.failures.saturating_add(1);
        // Spread, so that nodes that lost the store together do not come back together.
        let pause = rand::rng().random_range(longest / 2..=longest);
        sleep(Duration::from_millis(pause)).await;
    }
}
