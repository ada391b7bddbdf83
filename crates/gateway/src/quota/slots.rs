//! Takes keepers that nobody holds, by keys of the store under this node's registration, and gives
//! them up when it stops or no tenant has a limit.

use super::{bounds, has_limits, own_address, RegistrationLease};
use crate::node::{configured_topology, Node};
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::store_pages::read_pages;
use crate::store_responses::{ok_or_log, StoreResponse};
use pitchstall_platform_adapter::quota_slots::{self, KeeperHolder};
use pitchstall_platform_adapter::store::{self, Item, StoreStatus};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota_candidacy::{candidate_rank, Candidacy, CandidacyAction};
use pitchstall_serving::quota_keeper::Keeper;
use pitchstall_serving::quota_slots::{all_keepers, KeeperId};
use pitchstall_serving::quota_term::KeeperTerm;
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreLease, StoreRevision};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the keepers that nobody holds.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Candidates beyond this rank do not try: each try is a call to the store, and those before them are
/// all gone only if the members that are known are wrong.
const LAST_RANK: usize = 4;

struct Candidate {
    node: Rc<Node>,
    client: PlatformClient,
    candidacies: HashMap<KeeperId, Candidacy>,
    /// The lease under which the store was asked who holds what.
    read_under: Option<StoreLease>,
}

/// Keeps tenants' limits whenever this node is to, until it stops.
pub async fn keep(node: Rc<Node>) {
    let client = PlatformClient::default();
    let mut candidate = Candidate { node, client, candidacies: HashMap::new(), read_under: None };
    while !candidate.node.is_stopping() {
        sleep(LOOK_EVERY).await;
        if has_limits(&candidate.node) {
            candidate.look().await;
        } else {
            candidate.give_up().await;
        }
    }
    candidate.give_up().await;
}

impl Candidate {
    async fn look(&mut self) {
        let Some(lease) = self.lease_in_force() else { return };
        if self.read_under != Some(lease.id) && !self.read_holders(lease).await {
            return;
        }
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
            self.take(&keeper, lease, revision).await;
        }
    }

    /// The lease, if the store has lately said that it holds.
    fn lease_in_force(&self) -> Option<RegistrationLease> {
        let lease = self.node.quotas.lease.get()?;
        (self.node.now_us() < lease.renewed_us + lease.ttl_us).then_some(lease)
    }

    /// Learns from the store who holds what: once a start, as holders tell of changes.
    async fn read_holders(&mut self, lease: RegistrationLease) -> bool {
        let mut era = lease.id.era;
        let page = read_pages(async |after| {
            let read = quota_slots::read_keepers(after.as_deref());
            let answer = self.node.call_store(&mut self.client, &read, STORE_LIMIT).await;
            let Some(answer) = answer.filter(StoreResponse::is_done) else { return Err(()) };
            era = answer.era;
            ok_or_log("keepers", store::parse_page(&answer.body)).ok_or(())
        });
        let Ok(page) = page.await else { return false };
        page.items.iter().for_each(|item| self.learn(item, era));
        self.read_under = Some(lease.id);
        true
    }

    /// Learns who holds a keeper from an item of the store, read in an era.
    fn learn(&self, item: &Item, era: StoreEra) {
        let Some((keeper, holder, revision)) = quota_slots::keeper_of(item) else {
            let fault = EntryError::InvalidDocument("it tells of no keeper".to_owned());
            self.node.on_refused_entry("keepers", &item.key, item.revision, &fault);
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
        if rank > LAST_RANK && !is_own {
            return CandidacyAction::Wait;
        }
        let candidacy = self.candidacies.entry(keeper.clone()).or_default();
        candidacy.decide(key.as_ref(), address, rank, now_us)
    }

    /// Writes the key, if it is still at the revision. Without an answer it may be written unknown to
    /// this node, which then finds its own name there and takes it over.
    async fn take(
        &mut self,
        keeper: &KeeperId,
        lease: RegistrationLease,
        revision: RevisionNumber,
    ) {
        let address = own_address(&self.node);
        let holder = KeeperHolder { node: own_name(&self.node), address };
        let call = quota_slots::take_keeper(keeper, &holder, lease.id.number, revision);
        let answer = self.node.call_store(&mut self.client, &call, STORE_LIMIT).await;
        match answer.map(|answer| (answer.status, answer.era, answer.body)) {
            Some((StoreStatus::Done, era, body)) => {
                if let Some(revision) = ok_or_log("keeper", store::parse_transaction(&body)) {
                    let revision = StoreRevision::new(era, revision);
                    self.on_taken(keeper, &holder, lease, revision);
                }
            }
            Some((StoreStatus::Conflict, era, body)) => self.on_conflict(keeper, era, &body),
            other => {
                let status = other.map(|(status, ..)| status);
                log::info!(target: "quota", keeper = keeper.to_string(), status:?; "not taken");
            }
        }
    }

    fn on_taken(
        &self,
        keeper: &KeeperId,
        holder: &KeeperHolder,
        lease: RegistrationLease,
        revision: StoreRevision,
    ) {
        // The lease may have been renewed meanwhile, or be over, also with its era.
        let is_of_lease =
            |now: &RegistrationLease| now.id == lease.id && now.id.era == revision.era();
        let Some(now_in_force) = self.lease_in_force().filter(is_of_lease) else { return };
        let now_us = self.node.now_us();
        let term = KeeperTerm::new(revision, now_in_force.renewed_us, now_us, now_in_force.ttl_us);
        let settings = self.node.settings();
        let held =
            Keeper::new(keeper.clone(), term, bounds(&settings), configured_topology(&settings));
        let quotas = &self.node.quotas;
        quotas.keepers.borrow_mut().insert(keeper.clone(), held);
        let mut holders = quotas.holders.borrow_mut();
        holders.learn(keeper, &holder.node, holder.address, revision, now_us);
        drop(holders);
        let revision = revision.to_string();
        log::info!(target: "quota", keeper = keeper.to_string(), revision; "keeper gained");
        quotas.changed.notify_one();
    }

    /// Somebody holds it, or held it at another revision than was thought.
    fn on_conflict(&self, keeper: &KeeperId, era: StoreEra, body: &[u8]) {
        let Some(items) = ok_or_log("keeper", store::parse_conflict(body)) else { return };
        if items.is_empty() {
            self.node.quotas.holders.borrow_mut().forget(keeper);
        }
        items.iter().for_each(|item| self.learn(item, era));
    }

    /// Gives up all keepers: first here, so that nothing is granted any more, then in the store.
    async fn give_up(&mut self) {
        if !self.node.quotas.is_keeper() {
            return;
        }
        let held = std::mem::take(&mut *self.node.quotas.keepers.borrow_mut());
        for (keeper, held) in held {
            let revision = held.term().revision;
            self.node.quotas.holders.borrow_mut().forget(&keeper);
            if revision.era() < self.node.store_era() {
                // What has that number now may be another holder's.
                continue;
            }
            let call = quota_slots::remove_keeper(&keeper, revision.number());
            let answer = self.node.call_store(&mut self.client, &call, STORE_LIMIT).await;
            let status = answer.map(|answer| answer.status);
            let (keeper, revision) = (keeper.to_string(), revision.to_string());
            log::info!(target: "quota", keeper, revision, status:?; "keeper given up");
        }
        self.read_under = None;
        self.node.quotas.changed.notify_one();
    }
}

fn own_name(node: &Node) -> NodeId {
    NodeId::new(&node.settings().node.name)
}
