//! Tenants' limits at this node: has runs paid for, and keeps a part of the limits for all nodes.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`asking`] | asks keepers, and gives back what was not used |
//! | [`keeping`] | answers questions as a keeper |
//! | [`slots`] | takes keepers' keys in the store, and gives them up |
//! | [`holders`] | which node holds which keeper, and whether it answers |
//! | [`figures`] | metrics by tenant |
//! | [`report`] | what operators are shown |
//!
//! Who pays what is decided in [`pitchstall_serving::quota_keeper`], whom to ask in
//! [`pitchstall_serving::quota_requester`]. Nothing is said, asked or kept while no tenant has a limit.

pub mod asking;
pub mod figures;
pub mod holders;
pub mod keeping;
pub mod report;
pub mod slots;

use self::asking::Waiting;
use self::holders::Holders;
use crate::node::Node;
use crate::settings::Settings;
use pitchstall_serving::digest::HeldKeeper;
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota::QuotaBounds;
use pitchstall_serving::quota_keeper::Keeper;
use pitchstall_serving::quota_requester::QuotaRequester;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::store_revision::StoreLease;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// The lease under which this node is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrationLease {
    /// The lease.
    pub id: StoreLease,
    /// When the last call that granted or renewed it was sent, microseconds.
    pub renewed_us: u64,
    /// Its time to live, microseconds.
    pub ttl_us: u64,
}

/// What the node knows and keeps of tenants' limits.
#[derive(Default)]
pub struct Quotas {
    desk: RefCell<Option<QuotaRequester>>,
    waiting: RefCell<Waiting>,
    holders: RefCell<Holders>,
    keepers: RefCell<BTreeMap<KeeperId, Keeper>>,
    lease: Cell<Option<RegistrationLease>>,
    alarm_at_us: Cell<Option<u64>>,
    /// Told when this node has become a keeper or is one no longer.
    pub changed: Notify,
}

impl Quotas {
    /// This node has been registered under a lease.
    pub fn on_registered(&self, lease: RegistrationLease) {
        self.lease.set(Some(lease));
    }

    /// The lease was renewed by a call that was sent at this time, microseconds.
    pub fn on_renewed(&self, sent_at_us: u64) {
        let Some(lease) = self.lease.get() else { return };
        self.lease.set(Some(RegistrationLease { renewed_us: sent_at_us, ..lease }));
        for keeper in self.keepers.borrow_mut().values_mut() {
            keeper.renew(sent_at_us, lease.ttl_us);
        }
    }

    /// The store says that the lease is over: the keys under it are gone.
    pub fn on_lease_over(&self) {
        self.lease.set(None);
        let lost = std::mem::take(&mut *self.keepers.borrow_mut());
        for keeper in lost.keys() {
            log::warn!(target: "quota", keeper = keeper.to_string(); "keeper lost with the lease");
        }
        if !lost.is_empty() {
            self.changed.notify_one();
        }
    }

    /// The store has come back from an older copy: the lease and the keys under it may be gone, or another holder's.
    pub fn on_later_era(&self) {
        self.on_lease_over();
        self.holders.borrow_mut().on_later_era();
    }

    /// The keepers that this node holds, as other nodes are told of them.
    pub fn kept(&self) -> Vec<HeldKeeper> {
        let kept = |(keeper, held): (&KeeperId, &Keeper)| {
            HeldKeeper::new(keeper.clone(), held.term().revision)
        };
        self.keepers.borrow().iter().map(kept).collect()
    }

    /// Whether this node holds a keeper.
    pub fn is_keeper(&self) -> bool {
        !self.keepers.borrow().is_empty()
    }

    /// Where the other nodes that hold keepers are reached: keepers hear from each other often.
    pub fn other_keepers(&self, own: SocketAddr) -> Vec<SocketAddr> {
        if !self.is_keeper() {
            return Vec::new();
        }
        let mut addresses = self.holders.borrow().addresses();
        addresses.retain(|address| *address != own);
        addresses
    }
}

/// Whether any tenant has a limit.
pub fn has_limits(node: &Node) -> bool {
    node.configuration().is_some_and(|configuration| configuration.tenants.has_limits())
}

/// Takes in what another node's digest says of the keepers that it holds.
pub fn on_digest(node: &Node, from: &NodeId, address: SocketAddr, kept: &[HeldKeeper]) {
    if !has_limits(node) {
        return;
    }
    let eras = node.store_eras.borrow();
    node.quotas.holders.borrow_mut().on_digest(from, address, kept, &eras, node.now_us());
}

fn bounds(settings: &Settings) -> QuotaBounds {
    const MICROS_A_SECOND: f64 = 1_000_000.0;
    let section = &settings.quota;
    let window_us = (section.window_s * MICROS_A_SECOND) as u64;
    QuotaBounds { window_us, overage: section.overage, slack: section.slack }
}

/// Where other nodes reach this one.
fn own_address(node: &Node) -> SocketAddr {
    node.settings().listen.peers
}

/// The nodes that were heard of last when, microseconds.
type LastHeard = HashMap<NodeId, u64>;
