//! The platform's membership list.

use crate::http::millis;
use crate::LocalFuture;
use ntex::client::Client;
use ntex::http::StatusCode;
use pitchstall_protocol::membership::MembershipList;
use std::time::Duration;

/// Path of the list.
pub const MEMBERS_PATH: &str = "/members";

/// What a node needs of a membership list.
pub trait Membership {
    /// The list, if it is newer than `since`.
    fn poll(&self, since: u64) -> LocalFuture<Option<MembershipList>>;
}

/// A list served over HTTP: `GET /members?since=N` answers 200 with the list, or 204.
#[derive(Clone)]
pub struct HttpMembership {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl HttpMembership {
    /// A list at an address, `IP:port`.
    pub fn new(client: Client, address: &str, timeout: Duration) -> Self {
        Self { client, base_url: format!("http://{address}"), timeout }
    }

    async fn poll_once(self, since: u64) -> Option<MembershipList> {
        let url = format!("{}{MEMBERS_PATH}?since={since}", self.base_url);
        let answer = self.client.get(url).timeout(millis(self.timeout)).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = answer.body().await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}

impl Membership for HttpMembership {
    fn poll(&self, since: u64) -> LocalFuture<Option<MembershipList>> {
        Box::pin(self.clone().poll_once(since))
    }
}
