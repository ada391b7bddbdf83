//! Acquires keepers that nobody holds, or that a node which stops hands over, by writing their keys
//! to the store under this node's registration lease. Hands them over when this node stops, and
//! releases those that nobody takes, or all when no tenant has a limit.

use super::handover;
use super::{bounds, has_limits, own_address, RegistrationLease};
use crate::node::{configured_topology, Node};
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::store_pages::{read_pages, ListingError};
use crate::store_responses::{ok_or_log, StoreResponse};
use pitchstall_platform_adapter::quota_slots::{self, KeeperHolder};
use pitchstall_platform_adapter::store::{self, Item, StoreStatus};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota_candidacy::{candidate_rank, Candidacy, CandidacyAction};
use pitchstall_serving::quota_handover::QuotaHandover;
use pitchstall_serving::quota_keeper::QuotaKeeper;
use pitchstall_serving::quota_slots::{all_keepers, KeeperId};
use pitchstall_serving::quota_term::QuotaKeeperTerm;
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreLease, StoreRevision};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time between two checks for keepers that nobody holds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum rank of a candidate that attempts to acquire a keeper. Each attempt is a call to the
/// store, and all candidates up to this rank can be gone only if the list of members is wrong.
const MAX_RANK: usize = 4;

struct Candidate {
    node: Rc<Node>,
    client: PlatformClient,
    candidacies: HashMap<KeeperId, Candidacy>,
    /// The lease under which this node last read the holders from the store.
    holders_read_under: Option<StoreLease>,
}

/// The holders of the keepers could not be read from the store.
struct HoldersNotRead;

impl From<ListingError> for HoldersNotRead {
    fn from(error: ListingError) -> Self {
        let error = error.to_string();
        log::error!(target: "store", error; "list of keepers not read");
        Self
    }
}

/// Time after the start of a planned stop in which keepers are handed over; the others are then
/// released, so that the node ends in time.
const HANDOVERS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Acquires and holds keepers as a candidate until the node stops, then hands them over.
pub async fn run(node: Rc<Node>) {
    let client = PlatformClient::default();
    let mut candidate =
        Candidate { node, client, candidacies: HashMap::new(), holders_read_under: None };
    while !candidate.node.is_stopping() {
        candidate.wait().await;
        if has_limits(&candidate.node) {
            candidate.poll().await;
        } else {
            candidate.release_all().await;
        }
    }
    candidate.hand_over_all().await;
    candidate.release_all().await;
}

impl Candidate {
    /// Waits until the next check is due, the node stops, or a keeper is handed over to it.
    async fn wait(&self) {
        tokio::select! {
            () = sleep(POLL_INTERVAL) => {}
            () = self.node.wait_for_stop() => {}
            () = self.node.quotas.handovers.received.notified() => {}
        }
    }

    async fn poll(&mut self) {
        let Some(lease) = self.valid_lease() else { return };
        if self.holders_read_under != Some(lease.id) && !self.read_holders(lease).await {
            return;
        }
        self.take_over(lease).await;
        let topology = configured_topology(&self.node.settings());
        for keeper in all_keepers(&topology) {
            if self.node.quotas.keepers.borrow().contains_key(&keeper) {
                continue;
            }
            let revision = match self.decide(&keeper) {
                CandidacyAction::Wait => continue,
                CandidacyAction::Acquire => RevisionNumber::ABSENT,
                CandidacyAction::TakeOver { revision } => revision.number(),
            };
            self.acquire(&keeper, lease, revision, None).await;
        }
    }

    /// Acquires the keepers that nodes which stop have handed over to this node.
    async fn take_over(&mut self, lease: RegistrationLease) {
        for handover in self.node.quotas.handovers.take() {
            let (keeper, revision) = (handover.keeper.clone(), handover.revision());
            let is_held = self.node.quotas.keepers.borrow().contains_key(&keeper);
            if !is_held && revision.era() == lease.id.era {
                self.acquire(&keeper, lease, revision.number(), Some(handover)).await;
            }
        }
    }

    /// This node's registration lease, if the store has confirmed it within its time to live.
    fn valid_lease(&self) -> Option<RegistrationLease> {
        let lease = self.node.quotas.lease.get()?;
        (self.node.now_us() < lease.renewed_us + lease.ttl_us).then_some(lease)
    }

    /// Reads the holders of all keepers from the store, once per lease: later changes are announced
    /// in digests. Returns whether the read succeeded.
    async fn read_holders(&mut self, lease: RegistrationLease) -> bool {
        let mut era = lease.id.era;
        let page = read_pages(async |after| {
            let read = quota_slots::read_keepers(after.as_deref());
            let response = self.node.call_store(&mut self.client, &read, STORE_TIMEOUT).await;
            let Some(response) = response.filter(StoreResponse::is_done) else {
                return Err(HoldersNotRead);
            };
            era = response.era;
            ok_or_log("keepers", store::parse_page(&response.body)).ok_or(HoldersNotRead)
        });
        let Ok(page) = page.await else { return false };
        page.items.iter().for_each(|item| self.learn(item, era));
        self.holders_read_under = Some(lease.id);
        true
    }

    /// Records the holder of a keeper from a store item that was read in the given era.
    fn learn(&self, item: &Item, era: StoreEra) {
        let Some((keeper, holder, revision)) = quota_slots::parse_keeper(item) else {
            let error = EntryError::InvalidDocument("the entry names no keeper".to_owned());
            self.node.on_refused_entry("keepers", &item.key, item.revision, &error);
            return;
        };
        if era < self.node.store_era() {
            return;
        }
        let revision = StoreRevision::new(era, revision);
        let now_us = self.node.now_us();
        let mut holders = self.node.quotas.holders.borrow_mut();
        holders.learn(&keeper, &holder.node, holder.address, revision, now_us);
    }

    fn decide(&mut self, keeper: &KeeperId) -> CandidacyAction {
        let node = &self.node;
        let (now_us, nodes) = (node.now_us(), node.known_node_count());
        let own = own_name(node);
        let holders = node.quotas.holders.borrow();
        let key = holders.key(keeper, nodes, now_us);
        let rank = {
            let members = node.members.borrow();
            let up = members
                .all()
                .filter(|(name, _)| **name == own || holders.is_up(name, nodes, now_us));
            candidate_rank(keeper, &own, up)
        };
        let address = own_address(node);
        let is_own = key.as_ref().is_some_and(|key| key.holder == address);
        if rank > MAX_RANK && !is_own {
            return CandidacyAction::Wait;
        }
        let candidacy = self.candidacies.entry(keeper.clone()).or_default();
        candidacy.decide(key.as_ref(), address, rank, now_us)
    }

    /// Writes the key if it is still at `revision`. If the call gets no response, the key may have
    /// been written all the same; this node then finds its own address in it and takes it over.
    async fn acquire(
        &mut self,
        keeper: &KeeperId,
        lease: RegistrationLease,
        revision: RevisionNumber,
        handover: Option<QuotaHandover>,
    ) {
        let address = own_address(&self.node);
        let holder = KeeperHolder { node: own_name(&self.node), address };
        let call = quota_slots::acquire_keeper(keeper, &holder, lease.id.number, revision);
        let response = self.node.call_store(&mut self.client, &call, STORE_TIMEOUT).await;
        match response.map(|response| (response.status, response.era, response.body)) {
            Some((StoreStatus::Done, era, body)) => {
                if let Some(revision) = ok_or_log("keeper", store::parse_transaction(&body)) {
                    let revision = StoreRevision::new(era, revision);
                    self.on_acquired(keeper, &holder, lease, revision, handover);
                }
            }
            Some((StoreStatus::Conflict, era, body)) => self.on_conflict(keeper, era, &body),
            other => {
                let status = other.map(|(status, ..)| status);
                log::info!(target: "quota", keeper = keeper.to_string(), status:?; "quota keeper not acquired");
            }
        }
    }

    fn on_acquired(
        &self,
        keeper: &KeeperId,
        holder: &KeeperHolder,
        lease: RegistrationLease,
        revision: StoreRevision,
        handover: Option<QuotaHandover>,
    ) {
        // In the meantime, the lease may have been renewed or have expired, or its era may have
        // ended.
        let is_same_lease =
            |now: &RegistrationLease| now.id == lease.id && now.id.era == revision.era();
        let Some(current_lease) = self.valid_lease().filter(is_same_lease) else { return };
        let now_us = self.node.now_us();
        let term =
            QuotaKeeperTerm::new(revision, current_lease.renewed_us, now_us, current_lease.ttl_us);
        let settings = self.node.settings();
        let handed_over = handover.as_ref().map(|handover| handover.tenants.len());
        let (bounds, topology) = (bounds(&settings), configured_topology(&settings));
        let held = match handover {
            Some(handover) => QuotaKeeper::resume(term, bounds, topology, handover),
            None => QuotaKeeper::new(keeper.clone(), term, bounds, topology),
        };
        let quotas = &self.node.quotas;
        quotas.keepers.borrow_mut().insert(keeper.clone(), held);
        let mut holders = quotas.holders.borrow_mut();
        holders.learn(keeper, &holder.node, holder.address, revision, now_us);
        drop(holders);
        let revision = revision.to_string();
        log::info!(target: "quota", keeper = keeper.to_string(), revision, handed_over:?; "quota keeper acquired");
        quotas.keepers_changed.notify_one();
    }

    /// Handles a failed attempt: another node holds the keeper, or the key is at another revision
    /// than expected.
    fn on_conflict(&self, keeper: &KeeperId, era: StoreEra, body: &[u8]) {
        let Some(items) = ok_or_log("keeper", store::parse_conflict(body)) else { return };
        if items.is_empty() {
            self.node.quotas.holders.borrow_mut().remove(keeper);
        }
        items.iter().for_each(|item| self.learn(item, era));
    }

    /// Hands the keepers over one after the other, so that the other slots of a tenant serve it.
    async fn hand_over_all(&mut self) {
        let deadline = Instant::now() + HANDOVERS_TIMEOUT;
        let held: Vec<KeeperId> = self.node.quotas.keepers.borrow().keys().cloned().collect();
        for keeper in held {
            if Instant::now() >= deadline {
                return;
            }
            let Some(revision) = handover::hand_over(&self.node, &keeper, deadline).await else {
                continue;
            };
            self.release(&keeper, revision).await;
        }
    }

    /// Releases all keepers: first in memory, so that they grant nothing more, then in the store.
    async fn release_all(&mut self) {
        if !self.node.quotas.is_keeper() {
            return;
        }
        let held = std::mem::take(&mut *self.node.quotas.keepers.borrow_mut());
        for (keeper, held) in held {
            self.node.quotas.holders.borrow_mut().remove(&keeper);
            self.release(&keeper, held.term().revision).await;
        }
        self.holders_read_under = None;
        self.node.quotas.keepers_changed.notify_one();
    }

    /// Removes the key of a keeper that this node no longer holds, if it is still at `revision`.
    async fn release(&mut self, keeper: &KeeperId, revision: StoreRevision) {
        if revision.era() < self.node.store_era() {
            // The key at that revision may be another holder's now.
            return;
        }
        let call = quota_slots::release_keeper(keeper, revision.number());
        let response = self.node.call_store(&mut self.client, &call, STORE_TIMEOUT).await;
        let status = response.map(|response| response.status);
        let (keeper, revision) = (keeper.to_string(), revision.to_string());
        log::info!(target: "quota", keeper, revision, status:?; "quota keeper released");
    }
}

fn own_name(node: &Node) -> NodeId {
    NodeId::new(&node.settings().node.name)
}
