//! Follows the store: the operators' configuration and the runners' entries.
//!
//! Each is read once and then watched from the revision of the read. A watch that ends for
//! any reason goes on from its last revision; if that history is gone, everything is read
//! anew. A watch may go silent in a fault without a word. It is relied on while the copy is
//! known to be fresh ([`pitchstall_serving::freshness`]); otherwise the store is asked.

use crate::node::Node;
use crate::store_client::{StoreClient, StoreFailure};
use pitchstall_platform_adapter::documents;
use pitchstall_platform_adapter::store::{
    self, Item, Page, StoreAnswerError, StoreCall, StoreStatus, CONFIGURATION_KEY, RUNNERS_PREFIX,
};
use pitchstall_serving::fleet::RunnerRecord;
use pitchstall_serving::freshness::{CopyFreshness, Freshness, StoreFreshness};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Limit of a call that does not wait.
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
/// How long a confirmation holds, in hundredths of the time after which a node counts as in
/// touch again: for the few nodes that ask early, and for those that their word spares.
const EARLY_HUNDREDTHS: std::ops::Range<u64> = 25..45;
const LATE_HUNDREDTHS: std::ops::Range<u64> = 55..65;
/// How many nodes of a fleet ask early.
const EARLY_NODES: f64 = 3.0;
/// Between two looks whether a watch that waits is to be doubted.
const DOUBT_POLL: Duration = Duration::from_millis(100);
/// Pause after a failure, before it is multiplied and spread.
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 400;

/// Why the store could not be followed.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreFailure),
    #[error(transparent)]
    Answer(#[from] StoreAnswerError),
    #[error("the store says {0:?}")]
    Status(StoreStatus),
}

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The runners' entries.
    Runners,
}

impl Subject {
    fn prefix(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KEY,
            Self::Runners => RUNNERS_PREFIX,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Runners => "runners",
        }
    }
}

/// Follows one subject until the process ends.
pub async fn follow(node: Rc<Node>, subject: Subject) {
    let client = StoreClient::default();
    let address = node.settings().store.address;
    let confirmation = draw_confirmation(&node);
    let mut follower = Follower {
        node,
        subject,
        client,
        address,
        at: None,
        changed_at: None,
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

/// How long a confirmation holds: well under the time after which the node counts as in touch
/// again, so that a watch that went silent in a fault has been replaced before the node is
/// bound by it. Drawn at random, so that a few nodes ask early and their word spares the others.
fn draw_confirmation(node: &Node) -> Duration {
    let contact_ms = node.settings().bounds.contact_ms;
    let mut rng = rand::rng();
    let is_early = rng.random_bool((EARLY_NODES / node.known_nodes() as f64).min(1.0));
    let hundredths = rng.random_range(if is_early { EARLY_HUNDREDTHS } else { LATE_HUNDREDTHS });
    Duration::from_millis(contact_ms * hundredths / 100)
}

fn copy_of(freshness: &mut StoreFreshness, subject: Subject) -> &mut CopyFreshness {
    match subject {
        Subject::Configuration => &mut freshness.configuration,
        Subject::Runners => &mut freshness.runners,
    }
}

fn verdict(node: &Node, subject: Subject, confirmation: Duration) -> Freshness {
    let confirmation_us = u64::try_from(confirmation.as_micros()).unwrap_or(u64::MAX);
    let mut freshness = node.freshness.borrow_mut();
    copy_of(&mut freshness, subject).verdict(node.now_us(), confirmation_us)
}

/// Ends when a watch that waits should not be relied on any more.
async fn until_doubted(node: Rc<Node>, subject: Subject, confirmation: Duration) {
    let doubted = async {
        while verdict(&node, subject, confirmation) == Freshness::Fresh {
            sleep(DOUBT_POLL).await;
        }
    };
    tokio::select! {
        () = doubted => {}
        () = node.store_suspected.notified() => {}
    }
}

struct Follower {
    node: Rc<Node>,
    subject: Subject,
    client: StoreClient,
    address: SocketAddr,
    /// The store's revision up to which everything is known.
    at: Option<u64>,
    /// When the last change came.
    changed_at: Option<Instant>,
    /// How long a confirmation of the copy holds.
    confirmation: Duration,
    failures: u32,
}

impl Follower {
    async fn step(&mut self) -> Result<(), FollowError> {
        let address = self.node.settings().store.address;
        if address != self.address {
            // Another store may count its revisions in another way.
            self.address = address;
            self.at = None;
        }
        match self.at {
            None => self.read_all().await,
            Some(at) => self.watch(at).await,
        }
    }

    async fn read_all(&mut self) -> Result<(), FollowError> {
        let at = match self.subject {
            Subject::Configuration => self.read_configuration().await?,
            Subject::Runners => self.read_runners().await?,
        };
        self.at = Some(at);
        self.confirmation = draw_confirmation(&self.node);
        self.with_freshness(|copy, now_us| copy.on_read(at, now_us));
        Ok(())
    }

    async fn read_configuration(&mut self) -> Result<u64, FollowError> {
        let (status, body) = self.call(&store::read_key(CONFIGURATION_KEY), READ_LIMIT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        let (item, at) = store::parse_item(&body)?;
        let at = at.max(item.revision);
        self.take_item(item);
        Ok(at)
    }

    async fn read_runners(&mut self) -> Result<u64, FollowError> {
        let first = self.read_page(None).await?;
        let at = first.at;
        let mut more = first.more;
        let mut items = first.items;
        while more {
            let after = items.last().map(|item| item.key.clone());
            let page = self.read_page(after.as_deref()).await?;
            more = page.more && !page.items.is_empty();
            items.extend(page.items);
        }
        let records = items.iter().filter_map(|item| self.record_of(item)).collect();
        self.node.replace_runners(records, at);
        Ok(at)
    }

    async fn read_page(&mut self, after: Option<&str>) -> Result<Page, FollowError> {
        let call = store::read_range(RUNNERS_PREFIX, after);
        let (status, body) = self.call(&call, READ_LIMIT).await?;
        if status != StoreStatus::Done {
            return Err(FollowError::Status(status));
        }
        Ok(store::parse_page(&body)?)
    }

    /// Waits for changes. While the copy is not confirmed, the store is only asked: its answer
    /// confirms the copy, here and at the other nodes.
    async fn watch(&mut self, at: u64) -> Result<(), FollowError> {
        self.pause_between_changes().await;
        let is_fresh = self.verdict() == Freshness::Fresh;
        if is_fresh {
            let (node, subject) = (self.node.clone(), self.subject);
            let holds = self.confirmation;
            tokio::select! {
                done = self.watch_once(at, LONGEST_WATCH, LONGEST_WATCH_LIMIT) => done,
                // The connection is dropped with the call.
                () = until_doubted(node, subject, holds) => Ok(()),
            }
        } else {
            self.with_freshness(CopyFreshness::on_asked);
            self.watch_once(at, SHORTEST_WATCH, READ_LIMIT).await
        }
    }

    /// Changes that come in quick succession are taken in together.
    async fn pause_between_changes(&mut self) {
        let nodes = u32::try_from(self.node.known_nodes()).unwrap_or(u32::MAX);
        let contact = Duration::from_millis(self.node.settings().bounds.contact_ms);
        let wished = BETWEEN_CHANGES + BETWEEN_CHANGES_A_NODE.saturating_mul(nodes);
        let due = self.changed_at.map(|at| at + wished.min(contact / CHANGES_WAIT_PART));
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
        if let Some(left) = left.filter(|left| !left.is_zero()) {
            sleep(left).await;
        }
    }

    async fn watch_once(
        &mut self,
        at: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<(), FollowError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = store::watch(self.subject.prefix(), at, wait_ms);
        let (status, body) = self.call(&call, limit).await?;
        match status {
            StoreStatus::Done => {
                let page = store::parse_page(&body)?;
                if !page.items.is_empty() {
                    self.changed_at = Some(Instant::now());
                }
                let at = page.at.max(at);
                for item in page.items {
                    self.with_freshness(|copy, _| copy.on_change(item.revision));
                    self.take_item(item);
                }
                self.know_to(at);
                Ok(())
            }
            StoreStatus::HistoryGone => {
                self.at = None;
                log::info!(target: "store", subject = self.subject.name(), at; "history gone");
                Ok(())
            }
            other => Err(FollowError::Status(other)),
        }
    }

    /// Everything up to a revision is known, as the store has just confirmed.
    fn know_to(&mut self, at: u64) {
        self.at = Some(at);
        self.confirmation = draw_confirmation(&self.node);
        self.with_freshness(|copy, now_us| copy.on_store_answer(at, now_us));
    }

    fn verdict(&self) -> Freshness {
        verdict(&self.node, self.subject, self.confirmation)
    }

    fn with_freshness(&self, change: impl FnOnce(&mut CopyFreshness, u64)) {
        let now_us = self.node.now_us();
        change(copy_of(&mut self.node.freshness.borrow_mut(), self.subject), now_us);
    }

    async fn call(
        &mut self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<(StoreStatus, Vec<u8>), FollowError> {
        self.node.metrics.store_calls.inc();
        let answer = self.client.call(self.address, call, limit).await?;
        Ok((store::parse_status(answer.status), answer.body))
    }

    fn take_item(&self, item: Item) {
        match self.subject {
            Subject::Configuration => self.take_configuration(&item),
            Subject::Runners => self.take_runner(&item),
        }
    }

    fn take_configuration(&self, item: &Item) {
        if item.key != CONFIGURATION_KEY {
            return;
        }
        let Some(document) = &item.value else { return };
        match documents::parse_configuration(document) {
            Ok(configuration) => self.node.adopt_configuration(configuration),
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "configuration", revision = item.revision, error; "unreadable");
            }
        }
    }

    fn take_runner(&self, item: &Item) {
        match (&item.value, documents::runner_of_key(&item.key)) {
            (Some(_), _) => {
                if let Some(record) = self.record_of(item) {
                    self.node.put_runner(record);
                }
            }
            (None, Some(id)) => self.node.remove_runner(&id, item.revision),
            (None, None) => {}
        }
    }

    fn record_of(&self, item: &Item) -> Option<RunnerRecord> {
        let document = item.value.as_deref()?;
        match documents::parse_runner(&item.key, document, item.revision) {
            Ok(record) => Some(record),
            Err(error) => {
                let (key, error) = (item.key.as_str(), error.to_string());
                log::warn!(target: "fleet", key, error; "unreadable entry");
                None
            }
        }
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
