//! Registers the node in the store under a lease, and keeps its list of other nodes up to date.
//!
//! The registration is for others: to serve, a node needs only the list of nodes, and reads it also
//! while it cannot register.

use super::Peers;
use crate::clock::Instant;
use crate::platform_client::PlatformClient;
use crate::quota::RegistrationLease;
use crate::refused_entries::EntryError;
use crate::store_pages::{read_pages, ListingError};
use crate::store_responses::ok_or_log;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, Item, StoreStatus};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::membership::Member;
use pitchstall_serving::store_revision::{StoreEra, StoreLease};
use rand::RngExt;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after which a node is removed that has neither sent a digest nor been listed in the store.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Time to live of a node's registration, milliseconds. Quota keepers continue to grant for most of
/// it without contact with the store, so it is longer than the usual store outage.
const REGISTRATION_TTL_MS: u64 = 30_000;
const MICROS_PER_MILLI: u64 = 1_000;
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum delay before a node registers again after the store was restored from a backup. The
/// delay is random, so that the writes of a fleet are spread over this time.
const MAX_REREGISTRATION_DELAY: Duration = Duration::from_millis(700);
/// Number of renewals between two reads of the list of nodes.
const RENEWALS_PER_LISTING: u32 = 6;
/// Upper bound of the pause after a failed attempt to register, which doubles with further failures,
/// and of the pause between two attempts to read a first list of nodes.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A random pause of at most `longest`, so that nodes which failed together do not return together.
fn random_pause(longest: Duration) -> Duration {
    rand::rng().random_range(longest / 2..=longest)
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallError {
    /// The object of the call does not exist.
    Absent,
    /// The call was rejected or received no response.
    Other,
}

impl From<ListingError> for CallError {
    fn from(error: ListingError) -> Self {
        let error = error.to_string();
        log::error!(target: "store", error; "list of nodes not read");
        Self::Other
    }
}

impl Peers {
    /// Keeps this node registered and its list of other nodes up to date, until the task is
    /// dropped.
    pub async fn register(self: Rc<Self>) {
        let mut client = PlatformClient::default();
        let mut failures = 0;
        loop {
            match self.register_once(&mut client).await {
                Some(lease) => {
                    failures = 0;
                    self.keep_registered(&mut client, lease).await;
                    sleep(random_pause(STORE_RETRY_PAUSE)).await;
                }
                None => {
                    failures += 1;
                    self.send_hello();
                    self.pause_registration(&mut client, failures).await;
                }
            }
        }
    }

    /// Waits after a number of consecutive failures to register. Meanwhile a node without a list of
    /// nodes tries to read it: it needs the list to serve, and its own registration only for others.
    async fn pause_registration(&self, client: &mut PlatformClient, failures: u32) {
        let doublings = failures.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        let until = Instant::now() + random_pause(STORE_RETRY_PAUSE * 2_u32.pow(doublings));
        while Instant::now() < until {
            if !self.node.has_listed_nodes() {
                self.list_nodes(client, store::read_nodes).await;
            }
            let remaining = until.saturating_duration_since(Instant::now());
            sleep(remaining.min(random_pause(STORE_RETRY_PAUSE))).await;
        }
    }

    async fn register_once(&self, client: &mut PlatformClient) -> Option<StoreLease> {
        let sent_at_us = self.node.now_us();
        let (body, era) = self.call(client, &store::grant_lease(REGISTRATION_TTL_MS)).await.ok()?;
        let lease = StoreLease { era, number: ok_or_log("lease", store::parse_lease(&body))? };
        let granted_ttl_ms = ok_or_log("lease", store::parse_lease_ttl(&body))?;
        let granted_ttl_ms = granted_ttl_ms.unwrap_or(REGISTRATION_TTL_MS);
        let member = store::node_value(self.node.members.borrow().own());
        let key = store::node_key(self.name.as_str());
        let put = store::put_under_lease(&key, &member, lease.number);
        let (_, era) = self.call(client, &put).await.ok()?;
        if era != lease.era {
            // The key is attached to whichever lease has that number now. The next attempt attaches
            // it to its own lease.
            return None;
        }
        let ttl_us = granted_ttl_ms.min(REGISTRATION_TTL_MS) * MICROS_PER_MILLI;
        let registered = RegistrationLease { id: lease, renewed_us: sent_at_us, ttl_us };
        self.node.quotas.on_registered(registered);
        self.list_nodes(client, store::read_nodes).await;
        Some(lease)
    }

    /// Time until the next renewal. It is short while the first list of nodes, which is read with it,
    /// is missing.
    fn renewal_pause(&self) -> Duration {
        match self.node.has_listed_nodes() {
            true => RENEWAL_INTERVAL,
            false => random_pause(STORE_RETRY_PAUSE),
        }
    }

    /// Renews the registration until the store reports that the lease has expired. Leases do not
    /// expire while the store is unavailable, and a renewal costs a tenth of a new registration.
    async fn keep_registered(&self, client: &mut PlatformClient, lease: StoreLease) {
        for renewal in 1_u32.. {
            if lease.era == self.node.store_era() {
                // The wait ends after the interval or when a new era begins.
                let _ = timeout(self.renewal_pause(), self.node.later_era_began.notified()).await;
            }
            if lease.era != self.node.store_era() {
                // All nodes register again after a random delay, which is much shorter than the
                // time after which the others forget a node.
                return sleep(rand::rng().random_range(Duration::ZERO..MAX_REREGISTRATION_DELAY))
                    .await;
            }
            self.node.members.borrow_mut().forget_unreachable();
            let sent_at_us = self.node.now_us();
            match self.call(client, &store::renew_lease(lease.number)).await {
                Ok(_) => self.node.quotas.on_renewed(sent_at_us),
                Err(CallError::Absent) => return self.node.quotas.on_lease_expired(),
                Err(CallError::Other) => {}
            }
            if !self.node.has_listed_nodes() {
                self.list_nodes(client, store::read_nodes).await;
            } else if renewal % RENEWALS_PER_LISTING == 0 {
                self.list_nodes(client, store::read_nodes_stale).await;
            }
        }
    }

    /// Reads the list of nodes from the store and sends a digest to the new ones.
    async fn list_nodes(
        &self,
        client: &mut PlatformClient,
        read: fn(Option<&str>) -> PlatformCall,
    ) {
        let started_at = Instant::now();
        let page = read_pages(async |after| {
            let (body, _) = self.call(client, &read(after.as_deref())).await?;
            ok_or_log("nodes", store::parse_page(&body)).ok_or(CallError::Other)
        });
        let Ok(page) = page.await else { return self.node.on_nodes_listed(false) };
        let listed = page.items.iter().filter_map(|item| self.read_node(item));
        let others: Vec<(NodeId, Member)> = listed.filter(|(name, _)| *name != self.name).collect();
        for (name, member) in &others {
            if !self.state.borrow().peers.contains_key(name) {
                self.learn(name, member);
                self.send_digest(&[member.address]);
            }
        }
        self.log_node_list(others.len(), started_at);
        self.node.on_nodes_listed(true);
        let now = Instant::now();
        let listed: HashSet<&NodeId> = others.iter().map(|(name, _)| name).collect();
        let mut state = self.state.borrow_mut();
        state
            .peers
            .retain(|name, peer| listed.contains(name) || now < peer.last_received_at + PEER_TTL);
        self.node.members.borrow_mut().retain(|name| state.peers.contains_key(name));
    }

    /// Logs the first list of nodes, since a node that starts learns from it which nodes it can follow.
    fn log_node_list(&self, others: usize, started_at: Instant) {
        if self.node.has_listed_nodes() {
            return;
        }
        let (took_ms, uptime_ms) =
            (started_at.elapsed().as_millis(), self.node.now_us() / MICROS_PER_MILLI);
        log::info!(target: "peers", others, took_ms, uptime_ms; "first list of nodes received");
    }

    /// The node that a store entry names; `None` if the entry is invalid.
    fn read_node(&self, item: &Item) -> Option<(NodeId, Member)> {
        let node = store::parse_node(item);
        if node.is_none() {
            let error = EntryError::InvalidDocument("the entry names no node".to_owned());
            self.node.on_refused_entry("nodes", &item.key, item.revision, &error);
        }
        node
    }

    async fn call(
        &self,
        client: &mut PlatformClient,
        call: &PlatformCall,
    ) -> Result<(Vec<u8>, StoreEra), CallError> {
        self.node.metrics.store_calls.inc();
        let address = self.node.settings().store.address;
        let (outcome, error) = match client.call(address, call, STORE_TIMEOUT).await {
            Ok(response) => {
                let Some(era) = self.node.on_era_reported(address, response.era) else {
                    return Err(CallError::Other);
                };
                match store::parse_status(response.status) {
                    StoreStatus::Done => return Ok((response.body, era)),
                    StoreStatus::Absent => (response.status.to_string(), CallError::Absent),
                    _ => (response.status.to_string(), CallError::Other),
                }
            }
            Err(error) => (error.to_string(), CallError::Other),
        };
        self.node.metrics.store_failures.inc();
        self.node.store_suspected.notify_waiters();
        log::info!(target: "peers", target = call.target.as_str(), outcome; "store call failed");
        Err(error)
    }
}
