//! The store's era at a node, learnt from whichever answer of the store, or copy of it, tells it first, and what a node
//! does when a later one has begun.

use super::Node;
use pitchstall_platform_adapter::store::EraError;
use pitchstall_serving::store_revision::{EraChange, StoreEra};
use std::net::SocketAddr;

impl Node {
    /// An answer of the store at an address has come; returns the era that it is of. One that does not tell it, or not in
    /// a way that can be read, is taken to be of the era that is known. `None`: the settings name another store by now.
    pub fn on_era_reported(
        &self,
        address: SocketAddr,
        reported: Result<StoreEra, EraError>,
    ) -> Option<StoreEra> {
        if address != self.settings().store.address {
            return None;
        }
        let reported = reported.unwrap_or_else(|error| {
            if !self.has_logged_unreadable_era.replace(true) {
                let error = error.to_string();
                log::warn!(target: "store", error; "era not read");
            }
            StoreEra::UNKNOWN
        });
        self.on_store_era(reported);
        Some(reported.or(self.store_era()))
    }

    /// The store, or a copy of it that another node hands on, is of an era.
    pub fn on_store_era(&self, era: StoreEra) {
        let change = self.store_eras.borrow_mut().on_response(era, self.now_us());
        let era_text = era.to_string();
        match change {
            EraChange::First => log::info!(target: "store", era = era_text; "era"),
            EraChange::Later { before } => {
                let before = before.to_string();
                log::warn!(target: "store", era = era_text, before; "the store came back older");
                self.on_later_era();
            }
            EraChange::Replaced { before } => {
                let before = before.to_string();
                log::warn!(target: "store", era = era_text, before; "another store is there");
                self.on_store_replaced();
            }
            EraChange::Superseded => {
                log::info!(target: "store", era = era_text; "answer of an era that is over")
            }
            EraChange::Unchanged => {}
        }
        if let Some(number) = self.store_era().reported_number() {
            self.metrics.store_era.set(number as f64);
        }
    }

    /// Another store is there, by the settings or by its answers: what is known by revisions orders nothing there.
    pub(super) fn on_store_replaced(&self) {
        self.store_generation.set(self.store_generation.get() + 1);
        self.fleet.borrow_mut().on_store_replaced();
        self.on_later_era();
    }

    /// What is believed by a revision of the store is read again; what callers are served by holds meanwhile.
    fn on_later_era(&self) {
        self.freshness.borrow_mut().on_later_era(self.now_us());
        self.authority.on_later_era();
        self.roles_authority.on_later_era();
        self.quotas.on_later_era();
        self.refused_entries.on_later_era();
        self.store_suspected.notify_waiters();
        self.later_era_began.notify_waiters();
    }

    /// When this node first heard of the era that the store is in, microseconds; `None`: the store tells no eras.
    pub fn store_era_observed_us(&self) -> Option<u64> {
        self.store_eras.borrow().since_us()
    }

    /// The era that the store is in, as far as this node knows.
    pub fn store_era(&self) -> StoreEra {
        self.store_eras.borrow().current()
    }
}
