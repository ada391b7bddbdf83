//! Tracks the store's era at a node. The node learns of an era from the first store response or
//! peer's update that reports it. A later era invalidates state that depends on store revisions.

use super::Node;
use pitchstall_platform_adapter::store::EraError;
use pitchstall_serving::store_revision::{EraChange, StoreEra};
use std::net::SocketAddr;

impl Node {
    /// Processes the era reported in a response of the store at `address`, and returns the era of
    /// the response. A response that reports no era, or an invalid one, is attributed to the
    /// current era. Returns `None` if the settings name another store by now.
    pub fn on_era_reported(
        &self,
        address: SocketAddr,
        reported: Result<StoreEra, EraError>,
    ) -> Option<StoreEra> {
        if address != self.settings().store.address {
            return None;
        }
        let reported = reported.unwrap_or_else(|error| {
            if !self.has_logged_invalid_era.replace(true) {
                let error = error.to_string();
                log::warn!(target: "store", error; "store reported an invalid era");
            }
            StoreEra::UNKNOWN
        });
        self.on_store_era(reported);
        Some(reported.or(self.store_era()))
    }

    /// Processes the era of the store, or of a store replica received from another node.
    pub fn on_store_era(&self, era: StoreEra) {
        let change = self.store_eras.borrow_mut().on_response(era, self.now_us());
        let era_text = era.to_string();
        match change {
            EraChange::First => log::info!(target: "store", era = era_text; "era"),
            EraChange::Later { before } => {
                let before = before.to_string();
                log::warn!(target: "store", era = era_text, before; "store was restored from a backup");
                self.on_later_era();
            }
            EraChange::Replaced { before } => {
                let before = before.to_string();
                log::warn!(target: "store", era = era_text, before; "store was replaced by another one");
                self.on_store_replaced();
            }
            EraChange::Superseded => {
                log::info!(target: "store", era = era_text; "received data of a superseded store era")
            }
            EraChange::Unchanged => {}
        }
        if let Some(number) = self.store_era().reported_number() {
            self.metrics.store_era.set(number as f64);
        }
    }

    /// Handles the replacement of the store by another one, detected from the settings or from its
    /// responses. Revisions of the former store have no order relative to those of the new one.
    pub(super) fn on_store_replaced(&self) {
        self.store_generation.set(self.store_generation.get() + 1);
        self.fleet.borrow_mut().on_store_replaced();
        self.on_later_era();
    }

    /// Discards what depends on store revisions, to be read again. Clients are served from the
    /// existing replicas meanwhile.
    fn on_later_era(&self) {
        self.freshness.borrow_mut().on_later_era(self.now_us());
        self.authority.on_later_era();
        self.roles_authority.on_later_era();
        self.quotas.on_later_era();
        self.refused_entries.on_later_era();
        self.store_suspected.notify_waiters();
        self.later_era_began.notify_waiters();
    }

    /// When this node first observed the store's current era, in microseconds of [`Node::now_us`];
    /// `None` if the store reports no eras.
    pub fn store_era_observed_us(&self) -> Option<u64> {
        self.store_eras.borrow().since_us()
    }

    /// The latest era of the store that this node has observed.
    pub fn store_era(&self) -> StoreEra {
        self.store_eras.borrow().current()
    }
}
