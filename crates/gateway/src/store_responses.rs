//! Responses of the store to all calls but those that keep its replicas up to date
//! ([`crate::watcher`]).

use pitchstall_platform_adapter::store::{StoreResponseError, StoreStatus};
use pitchstall_serving::store_revision::StoreEra;

/// A complete response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// Outcome of the call, from the HTTP status.
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

/// Returns the parsed content of a response. If it could not be parsed, logs the error with `what`,
/// the kind of content, and returns `None`. The response is then treated like a missing one:
/// whatever it granted lapses.
pub fn ok_or_log<T>(what: &str, parsed: Result<T, StoreResponseError>) -> Option<T> {
    parsed
        .inspect_err(|error| {
            let error = error.to_string();
            log::error!(target: "store", what, error; "store response cannot be parsed");
        })
        .ok()
}
