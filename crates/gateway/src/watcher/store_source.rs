//! Reads the store and watches it for changes.

use super::full_read::{FullRead, FullReadReason};
use super::{key_prefix, until_not_fresh, FollowError, Follower, PartialRead, MIN_CHANGE_INTERVAL};
use crate::clock::Instant;
use crate::entries::to_entries;
use crate::node::Node;
use crate::platform_client::{PlatformError, MAX_RESPONSE_BYTES};
use crate::replica_limits::random_confirmation_period;
use crate::store_pages::read_remaining_pages;
use crate::transfer::Transfer;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, Page, StoreStatus, CONFIGURATION_KEY};
use pitchstall_serving::freshness::{Freshness, ReplicaFreshness};
use pitchstall_serving::store_replica::{StoreUpdate, Subject};
use pitchstall_serving::store_revision::{StoreEra, StoreRevision};
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time until the head of the response to a call that does not wait for changes.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which such a call that has received nothing is a sign that the store is unavailable.
/// The store responds within tens of milliseconds.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);
/// Maximum wait that a watch requests. It is bounded so that the revision of the watch stays within
/// the store's history.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
const WATCH_TIMEOUT: Duration = Duration::from_secs(12);
/// Wait requested by a call that only confirms the replica.
const CONFIRMATION_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Added to the minimum time between two responses with changes for each store reader, since each change costs every store
/// reader a call.
const MIN_CHANGE_INTERVAL_PER_READER: Duration = Duration::from_millis(8);
/// Maximum size of a watch's response with a configuration, in percent of the size of the previous version. A larger one
/// most likely contains several versions.
const MAX_WATCH_RESPONSE_PERCENT: usize = 150;
/// Minimum size of a watch's response that is given up, which takes 0.2 s on a link of 10 Mbit/s.
const MIN_GIVEN_UP_RESPONSE_BYTES: usize = 256 * 1024;

impl Follower {
    /// Queries the store, and from the second consecutive failure on also another node. While
    /// nothing is known here, an old replica is better than none, and a later change that others
    /// have reported must be obtained from them. The store's first response replaces such a replica.
    pub(super) async fn query_store(&mut self) -> Result<(), FollowError> {
        let outcome = match self.known_to.filter(|_| !self.needs_full_read()) {
            None => self.read_all().await,
            Some(_) if self.should_read_latest => self.read_latest().await,
            Some(at) => self.watch(at).await,
        };
        let is_incomplete = self.needs_full_read() || self.is_behind();
        if outcome.is_err() && self.failures > 0 && is_incomplete {
            self.query_any_node().await;
        }
        outcome
    }

    async fn read_all(&mut self) -> Result<(), FollowError> {
        if self.full_read.is_none() {
            self.full_read =
                Some(FullRead::begin(&self.node, self.subject, self.full_read_reason()));
        }
        self.set_obtaining(true);
        let update = match self.subject {
            Subject::Configuration => self.read_configuration().await,
            Subject::Runners | Subject::Crashes => self.read_list().await,
        };
        self.set_obtaining(false);
        let update = update?;
        if let Some(read) = self.full_read.take() {
            read.end(update.entries.len());
        }
        if self.known_to.is_none() {
            self.log_first_replica("store", Some(0));
        }
        self.apply_update(&update);
        self.history_is_gone = false;
        self.confirmation_period = random_confirmation_period(&self.node, self.subject);
        self.with_freshness(|replica, now_us| replica.on_full_read(&update, now_us));
        self.node.replica_confirmed.notify_one();
        Ok(())
    }

    /// Records whether this node is reading all entries, which its followers then wait for.
    pub(super) fn set_obtaining(&self, is_obtaining: bool) {
        self.node.store_replicas.borrow_mut().get_mut(self.subject).set_obtaining(is_obtaining);
    }

    fn full_read_reason(&self) -> FullReadReason {
        match self.node.members.borrow().is_store_reader() {
            true => FullReadReason::StoreReader,
            false => FullReadReason::NoSource,
        }
    }

    /// Reads the only entry of the subject, after a watch that had several versions of it. A watch delivers every version
    /// written since its revision, one after the other, so versions written during a slow transfer take even longer to
    /// transfer. A read delivers only the latest version. A version is not read again: unless it has changed, that would
    /// transfer the same bytes twice, and the next version would wait behind them. The next watch tells whether it has.
    async fn read_latest(&mut self) -> Result<(), FollowError> {
        self.read_all().await?;
        self.should_read_latest = false;
        Ok(())
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
            // After repeated failures, another node is queried, which may have the previous
            // version.
            return Err(FollowError::InvalidConfiguration);
        }
        Ok(StoreUpdate { era, known_to: at, is_snapshot: true, entries })
    }

    /// Reads all entries, after those that an earlier attempt has received in the same era.
    async fn read_list(&mut self) -> Result<StoreUpdate, FollowError> {
        let PartialRead { mut era, mut pages } = std::mem::take(&mut self.partial_read);
        let read = read_remaining_pages(&mut pages, async |after| {
            let (page, page_era) = self.read_page(after.as_deref()).await?;
            match *era.get_or_insert(page_era) == page_era {
                true => Ok(page),
                false => Err(FollowError::EraChanged),
            }
        });
        match read.await {
            Ok(all) => {
                let entries = to_entries(&self.node, self.subject, all.items);
                let era = era.unwrap_or_default();
                Ok(StoreUpdate { era, known_to: all.revision, is_snapshot: true, entries })
            }
            Err(error) => {
                if !error.ends_partial_read() {
                    self.partial_read = PartialRead { era, pages };
                }
                Err(error)
            }
        }
    }

    async fn read_page(&mut self, after: Option<&str>) -> Result<(Page, StoreEra), FollowError> {
        let call = store::read_range(key_prefix(self.subject), after);
        let (status, body, era) = self.call(&call, READ_TIMEOUT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        Ok((store::parse_page(&body)?, era))
    }

    /// Waits for changes. While the replica is not confirmed, the call returns at once: its
    /// response confirms the replica, at this node and through its reports at the others.
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
                // Dropping the call closes its connection.
                () = until_not_fresh(node, subject, period, transfer) => Ok(()),
            }
        } else {
            self.with_freshness(ReplicaFreshness::on_store_queried);
            self.watch_once(at, CONFIRMATION_WATCH_WAIT, READ_TIMEOUT).await
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
        let (status, body, era) =
            match self.call_limited(&call, timeout, self.max_watch_response_bytes()).await {
                Err(FollowError::Store(PlatformError::TooLong { bytes })) => {
                    self.on_several_versions(bytes);
                    return Ok(());
                }
                response => response?,
            };
        if era != at.era() {
            // The response is of no use: it may omit changes under revisions that are already
            // known.
            return Ok(());
        }
        match status {
            StoreStatus::Done => {
                let page = store::parse_page(&body)?;
                if !page.items.is_empty() {
                    self.last_change_at = Some(Instant::now());
                }
                let known_to = StoreRevision::new(era, page.revision).max(at);
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
                log::info!(target: "store", subject = self.subject.name(), at; "store no longer has the history after this revision");
                Ok(())
            }
            other => Err(FollowError::Status(other)),
        }
    }

    /// Maximum size of a watch's response that is worth its transfer. One with several versions of the configuration
    /// takes longer than reading the latest version alone.
    fn max_watch_response_bytes(&self) -> usize {
        let Some(known_bytes) = self.configuration_bytes else { return MAX_RESPONSE_BYTES };
        let max_bytes = base64_length(known_bytes) * MAX_WATCH_RESPONSE_PERCENT / 100;
        max_bytes.clamp(MIN_GIVEN_UP_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    fn on_several_versions(&mut self, bytes: u64) {
        self.should_read_latest = true;
        log::info!(target: "store", subject = self.subject.name(), bytes; "long watch response given up: reading the latest entry");
    }

    async fn call(
        &mut self,
        call: &PlatformCall,
        timeout: Duration,
    ) -> Result<(StoreStatus, Vec<u8>, StoreEra), FollowError> {
        self.call_limited(call, timeout, MAX_RESPONSE_BYTES).await
    }

    async fn call_limited(
        &mut self,
        call: &PlatformCall,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StoreStatus, Vec<u8>, StoreEra), FollowError> {
        self.node.metrics.store_calls.inc();
        self.begin_query();
        let is_prompt = timeout <= READ_TIMEOUT;
        let (node, subject, transfer) = (self.node.clone(), self.subject, self.transfer.clone());
        let note_silence = note_silence(&node, subject, &transfer, is_prompt);
        let response = self.client.call_limited(self.address, call, timeout, max_bytes);
        let response = tokio::select! {
            response = response => response?,
            never = note_silence => match never {},
        };
        let era = self.node.on_era_reported(self.address, response.era);
        let era = era.ok_or(FollowError::StoreReplaced)?;
        if era < self.node.store_era() {
            return Err(FollowError::SupersededEra(era));
        }
        self.log_large_response("store", response.body.len());
        Ok((store::parse_status(response.status), response.body, era))
    }
}

/// Records that the store is silent if a call that `is_prompt`, which does not wait for changes, has received nothing for
/// a while. Never completes.
async fn note_silence(
    node: &Node,
    subject: Subject,
    transfer: &Transfer,
    is_prompt: bool,
) -> Infallible {
    sleep(UNANSWERED_AFTER).await;
    if is_prompt && !transfer.has_started() {
        let now_us = node.now_us();
        node.freshness.borrow_mut().replica_mut(subject).on_store_silent(now_us);
    }
    std::future::pending().await
}

/// Length of a value of the store in a response, where it is encoded in base64.
fn base64_length(bytes: usize) -> usize {
    const BYTES_PER_GROUP: usize = 3;
    const CHARACTERS_PER_GROUP: usize = 4;
    bytes.div_ceil(BYTES_PER_GROUP) * CHARACTERS_PER_GROUP
}
