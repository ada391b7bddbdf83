//! Tenants' limits at this node: charges runs against the quota of their tenant, and manages the
//! part of the quotas that is held here for all nodes.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`requester`] | queries keepers before a run and refunds charges that were not used |
//! | [`keeper`] | handles the queries and refunds that other nodes send to the keepers held here |
//! | [`candidate`] | acquires keepers' keys in the store and releases them |
//! | [`handover`] | hands the keepers of a node that stops to their next holders |
//! | [`holders`] | tracks which node holds which keeper and whether it replies |
//! | [`metrics`] | metrics by tenant |
//! | [`report`] | the report for operators |
//!
//! [`pitchstall_serving::quota_keeper`] decides what is charged, and
//! [`pitchstall_serving::quota_requester`] which keeper is queried. While no tenant has a limit, no
//! keeper is queried or held.

pub mod candidate;
pub mod handover;
pub mod holders;
pub mod keeper;
pub mod metrics;
pub mod report;
pub mod requester;

use self::handover::Handovers;
use self::holders::Holders;
use self::requester::PendingQueries;
use crate::node::Node;
use crate::settings::Settings;
use pitchstall_serving::digest::HeldKeeper;
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::quota::QuotaBounds;
use pitchstall_serving::quota_keeper::QuotaKeeper;
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
    /// Number of the lease, and the era of the store in which it was granted.
    pub id: StoreLease,
    /// When the last successful call that granted or renewed the lease was sent, microseconds.
    pub renewed_us: u64,
    /// Time to live of the lease, microseconds.
    pub ttl_us: u64,
}

/// The quota state of this node: its pending queries, the known holders of keepers, and the keepers
/// that it holds itself.
#[derive(Default)]
pub struct Quotas {
    requester: RefCell<Option<QuotaRequester>>,
    pending: RefCell<PendingQueries>,
    holders: RefCell<Holders>,
    keepers: RefCell<BTreeMap<KeeperId, QuotaKeeper>>,
    handovers: Handovers,
    lease: Cell<Option<RegistrationLease>>,
    last_alarm_us: Cell<Option<u64>>,
    /// Notified when this node has acquired, lost or released a keeper.
    pub keepers_changed: Notify,
}

impl Quotas {
    /// Records the lease under which this node has been registered.
    pub fn on_registered(&self, lease: RegistrationLease) {
        self.lease.set(Some(lease));
    }

    /// Extends the terms of the held keepers after the lease was renewed. `sent_at_us` is when the
    /// renewal was sent, microseconds.
    pub fn on_renewed(&self, sent_at_us: u64) {
        let Some(lease) = self.lease.get() else { return };
        self.lease.set(Some(RegistrationLease { renewed_us: sent_at_us, ..lease }));
        for keeper in self.keepers.borrow_mut().values_mut() {
            keeper.renew(sent_at_us, lease.ttl_us);
        }
    }

    /// Drops all held keepers: the store has reported that the lease has expired, and the keys
    /// under it are deleted with it.
    pub fn on_lease_expired(&self) {
        self.lease.set(None);
        let lost = std::mem::take(&mut *self.keepers.borrow_mut());
        for keeper in lost.keys() {
            log::warn!(target: "quota", keeper = keeper.to_string(); "quota keeper lost: the registration lease has expired");
        }
        if !lost.is_empty() {
            self.keepers_changed.notify_one();
        }
    }

    /// Drops all held keepers and known holders: the store was restored from a backup, so the
    /// lease and the keys under it may be missing or belong to another holder.
    pub fn on_later_era(&self) {
        self.on_lease_expired();
        self.holders.borrow_mut().on_later_era();
    }

    /// The keepers that this node holds, as announced in its digests.
    pub fn held_keepers(&self) -> Vec<HeldKeeper> {
        let to_held = |(keeper, held): (&KeeperId, &QuotaKeeper)| {
            HeldKeeper::new(keeper.clone(), held.term().revision)
        };
        self.keepers.borrow().iter().map(to_held).collect()
    }

    /// Whether this node holds at least one keeper.
    pub fn is_keeper(&self) -> bool {
        !self.keepers.borrow().is_empty()
    }

    /// Addresses of the other nodes that hold keepers; empty if this node holds none. Keepers
    /// exchange digests more often than other nodes.
    pub fn other_keeper_addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        if !self.is_keeper() {
            return Vec::new();
        }
        let mut addresses = self.holders.borrow().addresses();
        addresses.retain(|address| *address != own);
        addresses
    }
}

/// Whether any tenant in the current configuration has a limit.
pub fn has_limits(node: &Node) -> bool {
    node.configuration().is_some_and(|configuration| configuration.tenants.has_limits())
}

/// Updates the known holders with the keepers listed in another node's digest.
pub fn on_digest(node: &Node, from: &NodeId, address: SocketAddr, held_keepers: &[HeldKeeper]) {
    if !has_limits(node) {
        return;
    }
    let eras = node.store_eras.borrow();
    node.quotas.holders.borrow_mut().on_digest(from, address, held_keepers, &eras, node.now_us());
    node.quotas.handovers.reported.notify_waiters();
}

fn bounds(settings: &Settings) -> QuotaBounds {
    const MICROS_PER_SECOND: f64 = 1_000_000.0;
    let section = &settings.quota;
    let window_us = (section.window_s * MICROS_PER_SECOND) as u64;
    QuotaBounds { window_us, overage: section.overage, slack: section.slack }
}

fn own_address(node: &Node) -> SocketAddr {
    node.settings().listen.peers
}

/// Time at which the last digest of each node was received, microseconds.
type LastReceivedUs = HashMap<NodeId, u64>;
