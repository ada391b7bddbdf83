//! The store's era at a node, learnt from whichever answer of the store tells it first.

use super::Node;
use pitchstall_platform_adapter::store::EraError;
use pitchstall_serving::store_revision::{EraNews, StoreEra};

impl Node {
    /// An answer of the store has come; returns the era that it is of. One that does not tell it, or not in a way
    /// that can be read, is taken to be of the era that is known.
    pub fn on_store_era(&self, told: Result<StoreEra, EraError>) -> StoreEra {
        let told = told.unwrap_or_else(|error| {
            let error = error.to_string();
            log::warn!(target: "store", error; "era not read");
            StoreEra::UNTOLD
        });
        let news = self.eras.borrow_mut().on_answer(told, self.now_us());
        let era = told.to_string();
        match news {
            EraNews::First => log::info!(target: "store", era; "era"),
            EraNews::Later { before } => {
                let before = before.to_string();
                log::warn!(target: "store", era, before; "the store came back older");
            }
            EraNews::Over => log::info!(target: "store", era; "answer of an era that is over"),
            EraNews::None => {}
        }
        if let Some(number) = self.store_era().told_number() {
            self.metrics.store_era.set(number as f64);
        }
        told.or(self.store_era())
    }

    /// The era that the store is in, as far as this node knows.
    pub fn store_era(&self) -> StoreEra {
        self.eras.borrow().current()
    }
}
