//! Acquires and holds the authority to perform duties for the whole fleet or a region, if no other
//! node holds it.
//!
//! One node at a time holds the leased key of a subject. The other nodes poll the key with reads
//! that may be stale and are cheap. [`pitchstall_serving::authority`] decides when a node polls and
//! renews, and when a holder may give orders. The duties are separate tasks that check a
//! [`LocalAuthority`] before each order: [`crate::roles`], [`crate::usage`] and [`crate::scaling`].

use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::store_responses::{ok_or_log, StoreResponse};
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::authority::{
    AuthorityHolder, AuthorityStep, AuthoritySubject, AuthorityTerm, FencingToken, LeaseTimes,
};
use pitchstall_serving::store_revision::{StoreLease, StoreRevision};
use rand::RngExt;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two checks whether several regions are configured.
const REGIONS_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time to live of the lease, also if `bounds.lease_ms` is shorter, milliseconds.
const MIN_TTL_MS: u64 = 3_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// This node's state of the authority over one subject.
#[derive(Debug, Default)]
pub struct LocalAuthority {
    holder: RefCell<AuthorityHolder>,
}

impl LocalAuthority {
    /// The fencing token while this node may give orders; `None` otherwise.
    pub fn fence_for_orders(&self, now_us: u64) -> Option<FencingToken> {
        self.holder.borrow().fence_for_orders(now_us)
    }

    /// The fencing token from the start of the term, also before orders may be given; `None` if
    /// this node does not hold the authority.
    pub fn fence(&self) -> Option<FencingToken> {
        self.holder.borrow().fence()
    }

    /// Stops orders for the rest of this term: an order was rejected because a higher fencing token
    /// has been used, so another node has the authority.
    pub fn on_refused(&self, fence: FencingToken) {
        self.holder.borrow_mut().on_refused(fence);
    }

    /// Ends the term: the store is in a later era or has been replaced, so the lease may be missing
    /// or belong to another holder.
    pub fn on_later_era(&self) {
        if let Some(fence) = self.holder.borrow_mut().on_later_era() {
            let fence = fence.number();
            log::warn!(target: "authority", fence, reason = "the era of the store has changed"; "lost");
        }
    }
}

/// The subject under which this node may order role changes: its own region, or the whole fleet if
/// at most one region is configured.
pub fn roles_subject(node: &Node) -> AuthoritySubject {
    AuthoritySubject::for_roles(node.fleet.borrow().topology(), &node.region())
}

/// This node's state of the authority over roles under a subject.
pub fn local_roles_authority<'a>(node: &'a Node, subject: &AuthoritySubject) -> &'a LocalAuthority {
    match subject {
        AuthoritySubject::Fleet => &node.authority,
        AuthoritySubject::Roles(_) => &node.roles_authority,
    }
}

struct AuthorityTask {
    node: Rc<Node>,
    client: PlatformClient,
    subject: AuthoritySubject,
    /// Name of the subject in logs: the region or `fleet`.
    name: String,
}

/// Holds the authority over the fleet whenever possible, until the node stops.
pub async fn hold_fleet_authority(node: Rc<Node>) {
    let mut authority = AuthorityTask::new(node, AuthoritySubject::Fleet);
    while !authority.node.is_stopping() {
        authority.step().await;
    }
    authority.release().await;
}

/// Holds the authority over the roles of this node's region whenever possible, until the node
/// stops. Does nothing while there is only one region; the regions may change with the settings.
pub async fn hold_roles_authority(node: Rc<Node>) {
    while !node.is_stopping() {
        let subject = roles_subject(&node);
        if subject == AuthoritySubject::Fleet {
            sleep(REGIONS_POLL_INTERVAL).await;
            continue;
        }
        let mut authority = AuthorityTask::new(node.clone(), subject);
        while !node.is_stopping() && roles_subject(&node) == authority.subject {
            authority.step().await;
        }
        authority.release().await;
    }
}

impl AuthorityTask {
    fn new(node: Rc<Node>, subject: AuthoritySubject) -> Self {
        let name = subject.region().map_or_else(|| "fleet".to_owned(), ToString::to_string);
        Self { node, client: PlatformClient::default(), subject, name }
    }

    fn with_holder<R>(&self, update: impl FnOnce(&mut AuthorityHolder) -> R) -> R {
        update(&mut local_roles_authority(&self.node, &self.subject).holder.borrow_mut())
    }

    async fn step(&mut self) {
        // Orders go over the holder's own links only: through another node they would come from two machines.
        if self.node.has_lost_most_links() {
            self.release().await;
        }
        let now_us = self.node.now_us();
        let jitter_fraction = rand::rng().random_range(0.0..1.0);
        match self.with_holder(|holder| holder.step(now_us, jitter_fraction)) {
            AuthorityStep::Wait(us) => sleep(Duration::from_micros(us)).await,
            AuthorityStep::Poll => self.try_acquire().await,
            AuthorityStep::Renew(lease) => self.renew(lease).await,
            AuthorityStep::StepDown(lease) => {
                self.on_lost("an order was rejected because of a higher fencing token");
                self.end_lease(lease).await;
            }
        }
        self.check_expiry();
    }

    fn times(&self) -> LeaseTimes {
        let lease_ms = self.node.settings().bounds.lease_ms;
        LeaseTimes {
            ttl_us: lease_ms.max(MIN_TTL_MS) * MICROS_PER_MILLI,
            separation_us: lease_ms * MICROS_PER_MILLI,
        }
    }

    /// Whether the holder of the subject would have any duties.
    fn has_duties(&self) -> bool {
        let has_engines = |node: &Node| !node.engine_services().is_empty();
        let is_fleet = self.subject == AuthoritySubject::Fleet;
        (is_fleet && self.node.settings().cloud.is_some()) || has_engines(&self.node)
    }

    async fn try_acquire(&mut self) {
        // Each poll is a call to the store. Therefore only store readers poll, and only the key of
        // their own region.
        let is_store_reader = self.node.members.borrow().is_store_reader();
        let can_order = self.node.is_ready() && !self.node.has_lost_most_links();
        if !can_order || !self.has_duties() || !is_store_reader {
            return;
        }
        let read = store::read_authority(&self.subject);
        match self.call(&read).await.map(|response| response.status) {
            Some(StoreStatus::Done) => {
                return self.with_holder(AuthorityHolder::on_holder_observed)
            }
            Some(StoreStatus::Absent) => {}
            _ => return,
        }
        let times = self.times();
        let sent_at_us = self.node.now_us();
        let grant = store::grant_lease(times.ttl_us / MICROS_PER_MILLI);
        let Some(granted) = self.call(&grant).await.filter(StoreResponse::is_done) else { return };
        let Some(number) = ok_or_log("lease", store::parse_lease(&granted.body)) else { return };
        let lease = StoreLease { era: granted.era, number };
        let node = self.node.settings().node.name.clone();
        // If this call gets no response, the key may have been written without this node knowing.
        // It is deleted when the lease expires.
        let acquire = store::acquire_authority(&self.subject, &node, lease.number);
        let Some(acquired) = self.call(&acquire).await.filter(StoreResponse::is_done) else {
            return;
        };
        let Some(revision) = ok_or_log("authority", store::parse_transaction(&acquired.body))
        else {
            return;
        };
        let acquired_at = StoreRevision::new(acquired.era, revision);
        if acquired.era != lease.era || acquired.era != self.node.store_era() {
            return self.undo_acquisition(acquired_at).await;
        }
        let fence = FencingToken::new(acquired_at);
        let now_us = self.node.now_us();
        let term = AuthorityTerm::new(fence, sent_at_us, now_us, times);
        let term = self
            .node
            .store_era_observed_us()
            .map_or(term, |at_us| term.after_era_began(at_us, times));
        let (subject, fence, lease_number) = (self.name.as_str(), fence.number(), lease.number);
        log::info!(target: "authority", subject, fence, lease = lease_number; "gained");
        self.with_holder(|holder| holder.on_acquired(lease, term, now_us, times));
    }

    /// Removes a key that was written in a later era than its lease was granted in: the store was
    /// restored from a backup in between, and the key is attached to whichever lease has that
    /// number now.
    async fn undo_acquisition(&mut self, acquired_at: StoreRevision) {
        let remove = store::release_authority(&self.subject, acquired_at.number());
        let status = self.call(&remove).await.map(|response| response.status);
        log::warn!(target: "authority", subject = self.name.as_str(), status:?; "tried to remove an authority key that was written in another era of the store than its lease");
    }

    async fn renew(&mut self, lease: StoreLease) {
        let sent_at_us = self.node.now_us();
        let response = self.call(&store::renew_lease(lease.number)).await;
        if response.as_ref().is_some_and(|response| response.era != lease.era) {
            // The response is about another lease with the same number.
            return self.on_lost("the lease is of another era of the store");
        }
        match response.map(|response| response.status) {
            Some(StoreStatus::Done) => {
                let (now_us, times) = (self.node.now_us(), self.times());
                if self.with_holder(|holder| holder.on_renewed(sent_at_us, now_us, times)) {
                    let (subject, lease) = (self.name.as_str(), lease.number);
                    log::info!(target: "authority", subject, lease; "authority lease renewed after the term had expired");
                }
            }
            Some(StoreStatus::Absent) => self.on_lost("the lease has expired"),
            _ => {}
        }
    }

    fn check_expiry(&mut self) {
        let now_us = self.node.now_us();
        if self.with_holder(|holder| holder.check_expiry(now_us)) {
            let fence = self.with_holder(|holder| holder.fence()).map(FencingToken::number);
            let subject = self.name.as_str();
            log::warn!(target: "authority", subject, fence; "authority term expired: the lease could not be renewed");
        }
    }

    fn on_lost(&mut self, reason: &str) {
        if let Some((_, fence)) = self.with_holder(AuthorityHolder::on_lost) {
            let fence = fence.number();
            log::warn!(target: "authority", subject = self.name.as_str(), fence, reason; "lost");
        }
    }

    /// Revokes the lease, so that another node can take over at once.
    async fn release(&mut self) {
        if let Some((lease, fence)) = self.with_holder(AuthorityHolder::on_lost) {
            self.end_lease(lease).await;
            let fence = fence.number();
            log::info!(target: "authority", subject = self.name.as_str(), fence; "authority released");
        }
    }

    /// Revokes a lease of the current era. A lease of an earlier era is left alone, as its number
    /// may belong to another holder's lease by now. Without a response the lease expires by itself.
    async fn end_lease(&mut self, lease: StoreLease) {
        let is_own = lease.era == self.node.store_era();
        if !is_own || self.call(&store::revoke_lease(lease.number)).await.is_none() {
            let (subject, lease) = (self.name.as_str(), lease.number);
            log::info!(target: "authority", subject, lease; "authority lease not revoked: it expires by itself");
        }
    }

    async fn call(&mut self, call: &PlatformCall) -> Option<StoreResponse> {
        self.node.call_store(&mut self.client, call, STORE_TIMEOUT).await
    }
}
