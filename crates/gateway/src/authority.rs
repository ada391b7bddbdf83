//! Holds the authority over what one node does for all, if no other node does.
//!
//! One node at a time holds a leased key of a subject; the others look at it now and then, by reads
//! that may be old and cost little. What a holder may do when, and when it looks and renews, is
//! decided in [`pitchstall_serving::authority`]. The duties themselves are tasks of their own,
//! which ask a [`Holding`] before each thing that they order: [`crate::roles`], [`crate::usage`],
//! [`crate::scaling`].

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

/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Between two looks whether the regions have become several.
const REGIONS_POLL: Duration = Duration::from_millis(1_000);
/// Shortest lease.
const MIN_TTL_MS: u64 = 3_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// This node's authority over one subject.
#[derive(Debug, Default)]
pub struct Holding {
    holder: RefCell<AuthorityHolder>,
}

impl Holding {
    /// The fencing token, while orders may be given.
    pub fn fence_to_order(&self, now_us: u64) -> Option<FencingToken> {
        self.holder.borrow().fence_for_orders(now_us)
    }

    /// The fencing token, from the beginning of the term on.
    pub fn fence(&self) -> Option<FencingToken> {
        self.holder.borrow().fence()
    }

    /// An order was refused because a higher fencing token had been used: another node has the
    /// authority, and this one gives no further order in this term.
    pub fn on_refused(&self, fence: FencingToken) {
        self.holder.borrow_mut().on_refused(fence);
    }

    /// A later era of the store has begun, or another store is there: the lease may be gone, or be another holder's.
    pub fn on_later_era(&self) {
        if let Some(fence) = self.holder.borrow_mut().on_later_era() {
            let fence = fence.number();
            log::warn!(target: "authority", fence, reason = "another era of the store"; "lost");
        }
    }
}

/// The subject under which this node may order roles.
pub fn roles_subject(node: &Node) -> AuthoritySubject {
    AuthoritySubject::for_roles(node.fleet.borrow().topology(), &node.region())
}

/// What this node holds for ordering roles under a subject.
pub fn roles_holding<'a>(node: &'a Node, subject: &AuthoritySubject) -> &'a Holding {
    match subject {
        AuthoritySubject::Fleet => &node.authority,
        AuthoritySubject::Roles(_) => &node.roles_authority,
    }
}

struct Authority {
    node: Rc<Node>,
    client: PlatformClient,
    subject: AuthoritySubject,
    /// The subject's name in logs.
    name: String,
}

/// Holds the authority over the fleet whenever it can, until the node stops.
pub async fn hold_fleet(node: Rc<Node>) {
    let mut authority = Authority::new(node, AuthoritySubject::Fleet);
    while !authority.node.is_stopping() {
        authority.step().await;
    }
    authority.hand_over().await;
}

/// Holds the authority over the roles of this node's region whenever it can, where there are
/// several regions, until the node stops. The regions may change with the settings.
pub async fn hold_roles(node: Rc<Node>) {
    while !node.is_stopping() {
        let subject = roles_subject(&node);
        if subject == AuthoritySubject::Fleet {
            sleep(REGIONS_POLL).await;
            continue;
        }
        let mut authority = Authority::new(node.clone(), subject);
        while !node.is_stopping() && roles_subject(&node) == authority.subject {
            authority.step().await;
        }
        authority.hand_over().await;
    }
}

impl Authority {
    fn new(node: Rc<Node>, subject: AuthoritySubject) -> Self {
        let name = subject.region().map_or_else(|| "fleet".to_owned(), ToString::to_string);
        Self { node, client: PlatformClient::default(), subject, name }
    }

    fn with_holder<R>(&self, update: impl FnOnce(&mut AuthorityHolder) -> R) -> R {
        update(&mut roles_holding(&self.node, &self.subject).holder.borrow_mut())
    }

    async fn step(&mut self) {
        let now_us = self.node.now_us();
        let chance = rand::rng().random_range(0.0..1.0);
        match self.with_holder(|holder| holder.step(now_us, chance)) {
            AuthorityStep::Wait(us) => sleep(Duration::from_micros(us)).await,
            AuthorityStep::Poll => self.try_take().await,
            AuthorityStep::Renew(lease) => self.renew(lease).await,
            AuthorityStep::StepDown(lease) => {
                self.lose("a higher fencing token was seen");
                self.end_lease(lease).await;
            }
        }
        self.look_for_the_end();
    }

    fn times(&self) -> LeaseTimes {
        let lease_ms = self.node.settings().bounds.lease_ms;
        LeaseTimes {
            ttl_us: lease_ms.max(MIN_TTL_MS) * MICROS_PER_MILLI,
            separation_us: lease_ms * MICROS_PER_MILLI,
        }
    }

    /// Whether there is anything to do for a holder.
    fn has_duties(&self) -> bool {
        let has_engines = |node: &Node| !node.engine_services().is_empty();
        let is_fleet = self.subject == AuthoritySubject::Fleet;
        (is_fleet && self.node.settings().cloud.is_some()) || has_engines(&self.node)
    }

    async fn try_take(&mut self) {
        // Only nodes that read the store look who has the authority, and only at that of their own
        // region: each look is a call.
        let is_mirror = self.node.members.borrow().is_store_reader();
        if !self.node.is_ready() || !self.has_duties() || !is_mirror {
            return;
        }
        let look = store::read_authority(&self.subject);
        match self.call(&look).await.map(|answer| answer.status) {
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
        // Without an answer the key may be ours unknown to us: the lease lapses by itself.
        let take = store::take_authority(&self.subject, &node, lease.number);
        let Some(taken) = self.call(&take).await.filter(StoreResponse::is_done) else { return };
        let Some(revision) = ok_or_log("authority", store::parse_transaction(&taken.body)) else {
            return;
        };
        let acquired_at = StoreRevision::new(taken.era, revision);
        if taken.era != lease.era || taken.era != self.node.store_era() {
            return self.undo(acquired_at).await;
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

    /// The store came back older between the granting of the lease and the writing of the key, which hangs on whatever
    /// lease has that number now.
    async fn undo(&mut self, acquired_at: StoreRevision) {
        let remove = store::remove_authority(&self.subject, acquired_at.number());
        let status = self.call(&remove).await.map(|answer| answer.status);
        log::warn!(target: "authority", subject = self.name.as_str(), status:?; "taken in another era");
    }

    async fn renew(&mut self, lease: StoreLease) {
        let sent_at_us = self.node.now_us();
        let answer = self.call(&store::keep_lease(lease.number)).await;
        if answer.as_ref().is_some_and(|answer| answer.era != lease.era) {
            // Whatever it says, it is of another lease.
            return self.lose("the lease is of another era of the store");
        }
        match answer.map(|answer| answer.status) {
            Some(StoreStatus::Done) => {
                let (now_us, times) = (self.node.now_us(), self.times());
                if self.with_holder(|holder| holder.on_renewed(sent_at_us, now_us, times)) {
                    let (subject, lease) = (self.name.as_str(), lease.number);
                    log::info!(target: "authority", subject, lease; "the lease was renewed after all");
                }
            }
            Some(StoreStatus::Absent) => self.lose("the lease is over"),
            _ => {}
        }
    }

    fn look_for_the_end(&mut self) {
        let now_us = self.node.now_us();
        if self.with_holder(|holder| holder.check_expiry(now_us)) {
            let fence = self.with_holder(|holder| holder.fence()).map(FencingToken::number);
            let subject = self.name.as_str();
            log::warn!(target: "authority", subject, fence; "the lease could not be renewed");
        }
    }

    fn lose(&mut self, reason: &str) {
        if let Some((_, fence)) = self.with_holder(AuthorityHolder::on_lost) {
            let fence = fence.number();
            log::warn!(target: "authority", subject = self.name.as_str(), fence, reason; "lost");
        }
    }

    /// Ends the lease, so that another node can take over at once.
    async fn hand_over(&mut self) {
        if let Some((lease, fence)) = self.with_holder(AuthorityHolder::on_lost) {
            self.end_lease(lease).await;
            let fence = fence.number();
            log::info!(target: "authority", subject = self.name.as_str(), fence; "handed over");
        }
    }

    /// Without an answer the lease lapses by itself. One of an earlier era may be another holder's by now.
    async fn end_lease(&mut self, lease: StoreLease) {
        let is_own = lease.era == self.node.store_era();
        if !is_own || self.call(&store::end_lease(lease.number)).await.is_none() {
            let (subject, lease) = (self.name.as_str(), lease.number);
            log::info!(target: "authority", subject, lease; "left to lapse");
        }
    }

    async fn call(&mut self, call: &PlatformCall) -> Option<StoreResponse> {
        self.node.call_store(&mut self.client, call, STORE_LIMIT).await
    }
}
