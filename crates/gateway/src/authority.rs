//! Holds the authority over the duties that one node does for all, if no other node does.
//!
//! One node at a time holds a leased key; the others look at it now and then, by reads that
//! may be old and cost little. What a holder may do when is decided in
//! [`pitchstall_serving::authority`]. The duties themselves are tasks of their own, which ask
//! [`Holding`] before each thing that they order: [`crate::roles`], [`crate::usage`],
//! [`crate::scaling`].

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{self, StoreStatus};
use pitchstall_serving::authority::{AuthorityTerm, LeaseTimes};
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the lease.
const KEEP_EVERY: Duration = Duration::from_millis(250);
/// Between two looks whether somebody has the authority, milliseconds.
const LOOK_EVERY_MS: std::ops::Range<u64> = 2_000..4_000;
/// The same while this node has not seen anybody have it: the fleet has just started.
const FIRST_LOOK_EVERY_MS: std::ops::Range<u64> = 300..900;
/// Limit of a call to the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Shortest lease.
const MIN_TTL_MS: u64 = 3_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Renewals in the time of a lease.
const RENEWALS: u32 = 3;
/// Between two tries to renew a lease after one that failed.
const RETRY_EVERY: Duration = Duration::from_millis(400);

/// This node's term of authority, if it has one.
#[derive(Debug, Default)]
pub struct Holding {
    term: Cell<Option<AuthorityTerm>>,
    refused: Cell<bool>,
}

impl Holding {
    /// The fencing token, while orders may be given.
    pub fn fence_to_order(&self, now_us: u64) -> Option<u64> {
        let term = self.term.get().filter(|_| !self.refused.get())?;
        term.may_order(now_us).then_some(term.fence)
    }

    /// The fencing token, from the beginning of the term on.
    pub fn fence(&self) -> Option<u64> {
        self.term.get().filter(|_| !self.refused.get()).map(|term| term.fence)
    }

    /// An order was refused because a higher fencing token had been used: another node has the
    /// authority, and this one gives no further order in this term.
    pub fn on_refused(&self, fence: u64) {
        if self.fence() == Some(fence) {
            self.refused.set(true);
        }
    }
}

struct Lease {
    id: u64,
    next_try: Instant,
    /// Whether the term has run out without a word from the store.
    is_in_doubt: bool,
}

struct Authority {
    node: Rc<Node>,
    client: PlatformClient,
    lease: Option<Lease>,
    /// Whether this node has ever seen that somebody has the authority.
    has_seen_holder: bool,
}

/// Holds the authority whenever it can, until the node stops.
pub async fn hold(node: Rc<Node>) {
    let client = PlatformClient::default();
    let mut authority = Authority { node, client, lease: None, has_seen_holder: false };
    while !authority.node.is_stopping() {
        if authority.lease.is_none() {
            let every = if authority.has_seen_holder { LOOK_EVERY_MS } else { FIRST_LOOK_EVERY_MS };
            sleep(Duration::from_millis(rand::rng().random_range(every))).await;
            authority.try_take().await;
        } else {
            sleep(KEEP_EVERY).await;
            authority.keep().await;
        }
    }
    authority.hand_over().await;
}

impl Authority {
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
        self.node.settings().cloud.is_some() || has_engines(&self.node)
    }

    async fn try_take(&mut self) {
        // Only nodes that read the store look who has the authority: each look is a call.
        let is_mirror = self.node.members.borrow().is_mirror();
        if !self.node.is_ready() || !self.has_duties() || !is_mirror {
            return;
        }
        let seen = self.call(&store::read_authority()).await.map(|(status, _)| status);
        self.has_seen_holder |= seen == Some(StoreStatus::Done);
        if seen != Some(StoreStatus::Absent) {
            return;
        }
        let times = self.times();
        let sent_at_us = self.node.now_us();
        let grant = store::grant_lease(times.ttl_us / MICROS_PER_MILLI);
        let Some((StoreStatus::Done, body)) = self.call(&grant).await else { return };
        let Ok(lease) = store::parse_lease(&body) else { return };
        let name = self.node.settings().node.name.clone();
        // Without an answer the key may be ours unknown to us: the lease lapses by itself.
        let take = store::take_authority(&name, lease);
        let Some((StoreStatus::Done, body)) = self.call(&take).await else { return };
        let Ok(fence) = store::parse_transaction(&body) else { return };
        let term = AuthorityTerm::new(fence, sent_at_us, self.node.now_us(), times);
        log::info!(target: "authority", fence, lease; "gained");
        self.has_seen_holder = true;
        self.lease = Some(Lease {
            id: lease,
            next_try: Instant::now() + Duration::from_micros(times.ttl_us) / RENEWALS,
            is_in_doubt: false,
        });
        self.node.authority.term.set(Some(term));
        self.node.authority.refused.set(false);
    }

    async fn keep(&mut self) {
        if self.node.authority.refused.get() {
            return self.step_down().await;
        }
        let Some(lease) = &mut self.lease else { return };
        if Instant::now() >= lease.next_try {
            lease.next_try = Instant::now() + RETRY_EVERY;
            let sent_at_us = self.node.now_us();
            let keep = store::keep_lease(lease.id);
            match self.call(&keep).await {
                Some((StoreStatus::Done, _)) => self.on_renewed(sent_at_us),
                Some((StoreStatus::Absent, _)) => return self.lose("the lease is over"),
                _ => {}
            }
        }
        self.look_for_the_end();
    }

    /// A term that has run out gives no orders. The lease may wait in a store that is away, and with
    /// it the key, so that nobody else can have had the authority: if it can be renewed after all,
    /// the term goes on.
    fn look_for_the_end(&mut self) {
        let now_us = self.node.now_us();
        let Some(term) = self.node.authority.term.get() else { return };
        let Some(lease) = &mut self.lease else { return };
        if term.is_over(now_us) && !lease.is_in_doubt {
            lease.is_in_doubt = true;
            log::warn!(target: "authority", fence = term.fence; "the lease could not be renewed");
        }
    }

    fn on_renewed(&mut self, sent_at_us: u64) {
        let times = self.times();
        let term = &self.node.authority.term;
        if let Some(mut renewed) = term.get() {
            renewed.renew(sent_at_us, times);
            term.set(Some(renewed));
        }
        if let Some(lease) = &mut self.lease {
            lease.next_try = Instant::now() + Duration::from_micros(times.ttl_us) / RENEWALS;
            if std::mem::take(&mut lease.is_in_doubt) {
                log::info!(target: "authority", lease = lease.id; "the lease was renewed after all");
            }
        }
    }

    fn lose(&mut self, reason: &str) {
        self.lease = None;
        if let Some(term) = self.node.authority.term.take() {
            log::warn!(target: "authority", fence = term.fence, reason; "lost");
        }
    }

    /// Gives up a term in which an order was refused.
    async fn step_down(&mut self) {
        let lease = self.lease.take();
        self.lose("a higher fencing token was seen");
        if let Some(lease) = lease {
            let _ = self.call(&store::end_lease(lease.id)).await;
        }
    }

    /// Ends the lease, so that another node can take over at once.
    async fn hand_over(&mut self) {
        let term = self.node.authority.term.take();
        if let (Some(lease), Some(term)) = (self.lease.take(), term) {
            let _ = self.call(&store::end_lease(lease.id)).await;
            log::info!(target: "authority", fence = term.fence; "handed over");
        }
    }

    async fn call(&mut self, call: &PlatformCall) -> Option<(StoreStatus, Vec<u8>)> {
        self.node.call_store(&mut self.client, call, STORE_LIMIT).await
    }
}
