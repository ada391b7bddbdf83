//! Engines over HTTP: attempts as server-sent events, orders and reports as JSON.

use crate::http::{how_far, millis, Reached};
use crate::lines::{event_data, LineBuffer};
use crate::LocalFuture;
use ntex::client::{error::ClientError, Client, ClientResponse};
use ntex::util::stream_recv;
use pitchstall_protocol::engine::{EngineCall, EngineEvent, EngineEventKind, EngineInput};
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// Path to run an attempt.
pub const GENERATE_PATH: &str = "/v1/completions";
/// Path to read an attempt on.
pub const RESUME_PATH: &str = "/v1/streams/resume";
/// Path to give an attempt up.
pub const CANCEL_PATH: &str = "/v1/streams/cancel";
/// Path of the load report.
pub const REPORT_PATH: &str = "/v1/load";
/// Path of orders.
pub const ORDER_PATH: &str = "/v1/orders";

/// What a node needs of engines.
pub trait Engines {
    /// Makes a call and hands what comes of it to `sink`, in order. The future ends when
    /// nothing more will come; dropping it closes the connection.
    fn call(
        &self,
        address: String,
        call: EngineCall,
        sink: Rc<dyn Fn(EngineInput)>,
    ) -> LocalFuture<()>;
}

/// Time limits of calls to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// For the head of a stream.
    pub stream_head: Duration,
    /// For the answer to an order, a cancellation or a request for a report.
    pub answer: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        Self { stream_head: Duration::from_secs(10), answer: Duration::from_millis(1_500) }
    }
}

/// Engines over HTTP.
#[derive(Clone)]
pub struct HttpEngines {
    client: Client,
    timeouts: EngineTimeouts,
}

impl HttpEngines {
    /// Engines reached with this client.
    pub fn new(client: Client, timeouts: EngineTimeouts) -> Self {
        Self { client, timeouts }
    }

    async fn run(self, address: String, call: EngineCall, sink: Rc<dyn Fn(EngineInput)>) {
        let timeouts = self.timeouts;
        match call {
            EngineCall::Generate(request) => {
                let answer =
                    self.post(&address, GENERATE_PATH, &request, timeouts.stream_head).await;
                follow_stream(answer, &sink).await;
            }
            EngineCall::Resume(request) => {
                let answer = self.post(&address, RESUME_PATH, &request, timeouts.stream_head).await;
                follow_stream(answer, &sink).await;
            }
            EngineCall::Cancel(key) => {
                // The engine gives unread attempts up by itself if this does not arrive.
                let _ = self.post(&address, CANCEL_PATH, &key, timeouts.answer).await;
            }
            EngineCall::Report => {
                let url = format!("http://{address}{REPORT_PATH}");
                let answer = self.client.get(url).timeout(millis(timeouts.answer)).send().await;
                sink(read_answer(answer).await.map_or_else(failure, EngineInput::Report));
            }
            EngineCall::Order(order) => {
                let answer = self.post(&address, ORDER_PATH, &order, timeouts.answer).await;
                sink(read_answer(answer).await.map_or_else(failure, EngineInput::Order));
            }
        }
    }

    async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        self.client
            .post(format!("http://{address}{path}"))
            .timeout(millis(timeout))
            .send_json(body)
            .await
    }
}

impl Engines for HttpEngines {
    fn call(
        &self,
        address: String,
        call: EngineCall,
        sink: Rc<dyn Fn(EngineInput)>,
    ) -> LocalFuture<()> {
        Box::pin(self.clone().run(address, call, sink))
    }
}

fn failure(reached: Reached) -> EngineInput {
    match reached {
        Reached::Nowhere => EngineInput::Unreachable,
        Reached::Perhaps => EngineInput::Broken,
    }
}

async fn read_answer<T: serde::de::DeserializeOwned>(
    answer: Result<ClientResponse, ClientError>,
) -> Result<T, Reached> {
    let answer = answer.map_err(|error| how_far(&error))?;
    let body = answer.body().await.map_err(|_| Reached::Perhaps)?;
    serde_json::from_slice(&body).map_err(|_| Reached::Perhaps)
}

async fn follow_stream(
    answer: Result<ClientResponse, ClientError>,
    sink: &Rc<dyn Fn(EngineInput)>,
) {
    let answer = match answer {
        Ok(answer) if answer.status().is_success() => answer,
        Ok(_) => return sink(EngineInput::Broken),
        Err(error) => return sink(failure(how_far(&error))),
    };
    let mut payload = answer.take_payload();
    let mut buffer = LineBuffer::default();
    while let Some(Ok(bytes)) = stream_recv(&mut payload).await {
        let mut lines = Vec::new();
        if buffer.push(&bytes, &mut lines).is_err() {
            break;
        }
        for line in &lines {
            let Some(data) = event_data(line) else {
                continue;
            };
            // What cannot be read ends the stream: the node then reads on or gives up.
            let Ok(event) = serde_json::from_slice::<EngineEvent>(data) else {
                return sink(EngineInput::Broken);
            };
            let is_last = !matches!(event.kind, EngineEventKind::Tokens { .. });
            sink(EngineInput::Event(event));
            if is_last {
                return;
            }
        }
    }
    sink(EngineInput::Broken);
}
