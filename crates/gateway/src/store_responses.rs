//! Answers of the store to calls that are not its copies' ([`crate::watcher`]).

use pitchstall_platform_adapter::store::{StoreAnswerError, StoreStatus};
use pitchstall_serving::store_revision::StoreEra;

/// An answer.
#[derive(Debug)]
pub struct StoreResponse {
    /// What it means.
    pub status: StoreStatus,
    /// The era that it is of.
    pub era: StoreEra,
    /// What it holds.
    pub body: Vec<u8>,
}

impl StoreResponse {
    /// Whether the call was done.
    pub fn is_done(&self) -> bool {
        self.status == StoreStatus::Done
    }
}

/// What an answer says of `what`; one that cannot be read is logged, and is as good as none: whatever was granted by
/// it lapses.
pub fn ok_or_log<T>(what: &str, parsed: Result<T, StoreAnswerError>) -> Option<T> {
    parsed
        .inspect_err(|error| {
            let error = error.to_string();
            log::error!(target: "store", what, error; "an answer cannot be read");
        })
        .ok()
}
