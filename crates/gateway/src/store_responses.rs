//! Responses of the store to calls other than those of its replicas ([`crate::watcher`]).

use pitchstall_platform_adapter::store::{StoreResponseError, StoreStatus};
use pitchstall_serving::store_revision::StoreEra;

/// A response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// Outcome of the call.
    pub status: StoreStatus,
    /// Era of the store in which the response was given.
    pub era: StoreEra,
    /// Body; its format depends on the call and the status.
    pub body: Vec<u8>,
}

impl StoreResponse {
    /// Whether the store performed the call.
    pub fn is_done(&self) -> bool {
        self.status == StoreStatus::Done
    }
}

/// The parsed content of a response about `what`. A response that cannot be parsed is logged and
/// treated like a missing one: whatever it granted lapses.
pub fn ok_or_log<T>(what: &str, parsed: Result<T, StoreResponseError>) -> Option<T> {
    parsed
        .inspect_err(|error| {
            let error = error.to_string();
            log::error!(target: "store", what, error; "store response cannot be parsed");
        })
        .ok()
}
