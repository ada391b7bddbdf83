//! The key-value service.

use crate::etcd::{
    decode_reply, encode_request, Base64Text, RangeRequest, Streamed, WatchRequest, WatchResponse,
    WATCH_PATH,
};
use crate::http::{how_far, millis, Reached};
use crate::lines::LineBuffer;
use crate::LocalFuture;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::stream_recv;
use pitchstall_protocol::store::{StoreError, StoreReply, StoreRequest, StoredValue};
use std::rc::Rc;
use std::time::Duration;

/// What a node needs of a key-value service.
pub trait Store {
    /// Makes a request. It ends within the store's time limit.
    fn call(&self, request: StoreRequest) -> LocalFuture<Result<StoreReply, StoreError>>;

    /// Watches a key and hands each new value to `sink`. Ends when the watch breaks.
    fn watch(&self, key: String, sink: Rc<dyn Fn(StoredValue)>) -> LocalFuture<()>;
}

/// A store behind etcd's JSON gateway.
#[derive(Clone)]
pub struct EtcdStore {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl EtcdStore {
    /// A store at an address, `IP:port`.
    pub fn new(client: Client, address: &str, timeout: Duration) -> Self {
        Self { client, base_url: format!("http://{address}"), timeout }
    }

    async fn call_once(self, request: StoreRequest) -> Result<StoreReply, StoreError> {
        let (path, body) = encode_request(&request);
        // A request that cannot be encoded was not sent.
        let body = body.map_err(|_| StoreError::Unreachable)?;
        let answer = self
            .client
            .post(format!("{}{path}", self.base_url))
            .content_type("application/json")
            .timeout(millis(self.timeout))
            .send_body(body)
            .await
            .map_err(|error| match how_far(&error) {
                Reached::Nowhere => StoreError::Unreachable,
                Reached::Perhaps => StoreError::OutcomeUnknown,
            })?;
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(StoreError::RateLimited);
        }
        if !answer.status().is_success() {
            return Err(StoreError::OutcomeUnknown);
        }
        let body = answer.body().await.map_err(|_| StoreError::OutcomeUnknown)?;
        decode_reply(&request, &body).map_err(|_| StoreError::OutcomeUnknown)
    }

    async fn watch_once(self, key: String, sink: Rc<dyn Fn(StoredValue)>) {
        let request = WatchRequest { create_request: RangeRequest { key: Base64Text(key) } };
        let Ok(body) = serde_json::to_string(&request) else {
            return;
        };
        let answer = self
            .client
            .post(format!("{}{WATCH_PATH}", self.base_url))
            .content_type("application/json")
            .timeout(millis(self.timeout))
            .send_body(body)
            .await;
        let Ok(answer) = answer else {
            return;
        };
        let mut payload = answer.take_payload();
        let mut buffer = LineBuffer::default();
        while let Some(Ok(bytes)) = stream_recv(&mut payload).await {
            let mut lines = Vec::new();
            if buffer.push(&bytes, &mut lines).is_err() {
                return;
            }
            let responses = lines
                .iter()
                .filter_map(|line| serde_json::from_slice::<Streamed<WatchResponse>>(line).ok());
            for event in responses.flat_map(|it| it.result.events) {
                sink(event.kv.into());
            }
        }
    }
}

impl Store for EtcdStore {
    fn call(&self, request: StoreRequest) -> LocalFuture<Result<StoreReply, StoreError>> {
        Box::pin(self.clone().call_once(request))
    }

    fn watch(&self, key: String, sink: Rc<dyn Fn(StoredValue)>) -> LocalFuture<()> {
        Box::pin(self.clone().watch_once(key, sink))
    }
}
