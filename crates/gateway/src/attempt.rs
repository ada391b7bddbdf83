//! A single attempt: sends a request to one runner and receives the head of its response.

use crate::attempt_wait::{log_end, wait_for_end, EarlyEnd, EndCause};
use crate::clock::Instant;
use crate::http::request::encode_request;
use crate::http::{
    BodyEnd, BodyPart, Header, OpenResponse, PendingResponse, ReadError, ResponseHead,
};
use crate::intake::{BufferedResponse, ClientRequest};
use crate::interrupted_attempt::{
    on_connection_lost, record_unfinished_attempt, ConnectionUse, InterruptedAttempt,
};
use crate::node::Node;
use crate::prepared_connection::{InFlightGuard, PreparedConnection};
use crate::response_memory::BodyBuffer;
use crate::runner_probe::{probe_while_silent, RUNNER_CONNECT_TIMEOUT};
use pitchstall_platform_adapter::headers::{self, OmittedHeaders};
use pitchstall_serving::attempt::{DeclineDoubt, NotRunProof};
use pitchstall_serving::ids::{NodeId, RunnerId, TenantName};
use pitchstall_serving::request::{AttemptInstructions, ResponseMetadata, Work};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord};
use pitchstall_serving::runner_notice::RunnerNotice;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a response body that is read into memory as a whole.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of surplus responses that are discarded while waiting for the matching one. A
/// surplus response belongs to an earlier request on a reused connection.
const MAX_SURPLUS_RESPONSES: usize = 4;
/// Maximum body size of a surplus response that is read and discarded.
const MAX_SURPLUS_RESPONSE_BYTES: usize = 1024 * 1024;
const US_PER_MS: u64 = 1_000;

/// How an attempt ended, up to and including the head of the response.
pub enum AttemptEnd {
    /// The head of a valid response was received; the body is still to be read.
    Responding(Box<AttemptResponse>),
    /// The runner has not executed the request and will not do so.
    Declined(NotRunProof),
    /// The connection broke, or the response is not valid. The runner may have executed the
    /// request.
    Lost,
    /// No response head was received in time, or it was proven that the runner cannot be reached
    /// meanwhile. It may have executed the request.
    NoResponse,
    /// This node's link to the runner was lost, and another node reaches the runner. It may have
    /// executed the request.
    LinkLost,
}

/// A response that has been read to its end.
#[derive(Debug)]
pub struct ReceivedResponse {
    /// The response. It may be cut short if its end is unproven.
    pub response: BufferedResponse,
    /// What has marked its end.
    pub end: BodyEnd,
}

/// A response whose head has been received.
pub struct AttemptResponse {
    /// The registry record of the responding runner.
    pub record: RunnerRecord,
    /// Keeps the attempt counted as in flight until the response has been handled.
    pub in_flight: InFlightGuard,
    response: OpenResponse,
}

/// Parameters of one attempt, set by the dispatcher for each attempt of a request.
#[derive(Clone)]
pub struct AttemptParams {
    /// The work for the runner: the whole request, only the prefill, or the decode of a prefilled
    /// prompt.
    pub work: Work,
    /// Priority sent to the runner, 0 being the most urgent. `None` for services without an engine.
    pub priority: Option<u8>,
    /// ID of the last event the client has received, if this node resumes the stream.
    pub after_event: Option<u64>,
    /// Address of the runner from which the chosen runner fetches shared prefixes before it
    /// prefills.
    pub fetch_from: Option<SocketAddr>,
    /// The tenant on whose behalf the request runs.
    pub tenant: Option<TenantName>,
    /// Whether the configuration has tenants. If so, the client's credentials are not forwarded to
    /// the runner.
    pub has_tenants: bool,
    /// When the request's deadline expires. The runner receives the remaining time.
    pub deadline: Instant,
    /// Maximum wait for the head of the response.
    pub head_timeout: Duration,
    /// When the attempt is ended for another one; `None` if the request may not be repeated.
    pub early_end: Option<EarlyEnd>,
    /// Expected time until the prefill is finished. It is only logged.
    pub expected_prefill: Duration,
    /// Time without data from the runner after which the runner is probed for the first time.
    pub probe_after: Duration,
}

/// Sends a request on a prepared connection and waits for the head of the response.
pub async fn send(
    node: &Rc<Node>,
    request: &ClientRequest,
    prepared: PreparedConnection,
    params: &AttemptParams,
) -> AttemptEnd {
    let runner = prepared.record.id.clone();
    node.metrics.attempts.inc();
    let bytes = encode_attempt(request, &prepared.record, params);
    log_sent(request, &prepared, params);
    let sent_at = Instant::now();
    let sent_at_us = node.now_us();
    let connection = ConnectionUse { idle: prepared.idle, sent_at };
    let uses_own_link = prepared.connection.peer().is_none();
    let parts = match params.work {
        Work::Prefill => &[],
        Work::Run | Work::DecodeFrom(_) => request.suspect_parts(),
    };
    let tenant = params.tenant.as_ref();
    let attempt = InterruptedAttempt { request, tenant, runner: &runner, parts };
    if !node.may_send_to(&runner) {
        node.metrics.unwanted_attempts.inc();
    }
    let PreparedConnection { connection: idle_connection, record, in_flight, idle } = prepared;
    let pending = match idle_connection.send(bytes) {
        Ok(pending) => pending,
        Err(error) => {
            on_connection_lost(node, attempt, connection, &error);
            return AttemptEnd::Lost;
        }
    };
    let sent = SentRequest { id: &request.metadata.id, runner: &runner, sent_at_us, idle };
    let outcome = tokio::select! {
        outcome = read_matching_response(node, pending, sent) => outcome,
        cause = wait_for_end(node, &runner, params, uses_own_link) => {
            log_end(request, &runner, &cause);
            return match cause {
                EndCause::LinkLost => AttemptEnd::LinkLost,
                EndCause::Unreachable | EndCause::Silent(_) => {
                    if let EndCause::Silent(_) = cause {
                        node.on_attempt_timeout(&runner, sent_at_us);
                    }
                    record_unfinished_attempt(node, attempt);
                    AttemptEnd::NoResponse
                }
            };
        }
        () = probe_while_silent(node, &runner, params.probe_after) => return AttemptEnd::NoResponse,
    };
    match outcome {
        Err(error) => {
            on_connection_lost(node, attempt, connection, &error);
            AttemptEnd::Lost
        }
        Ok((response, metadata)) => {
            log_head(request, &runner, response.head.status, &metadata, connection);
            let response = AttemptResponse { record, in_flight, response };
            classify(node, request, response, params, &metadata)
        }
    }
}

fn encode_attempt(
    request: &ClientRequest,
    record: &RunnerRecord,
    params: &AttemptParams,
) -> Vec<u8> {
    let remaining = params.deadline.saturating_duration_since(Instant::now());
    let instructions = AttemptInstructions {
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
        runner: record.id.clone(),
        priority: params.priority,
        work: params.work.clone(),
        after_event: params.after_event,
        fetch_from: params.fetch_from,
        tenant: params.tenant.clone(),
    };
    let omitted = OmittedHeaders {
        last_event_id: params.after_event.is_some(),
        authorization: params.has_tenants,
    };
    let is_forwarded =
        |(name, value): &&Header| headers::is_forwarded_to_runner(name, value, omitted);
    let forwarded_headers = request.headers.iter().filter(is_forwarded);
    let mut headers_to_send: Vec<Header> = forwarded_headers.cloned().collect();
    let attempt_headers = headers::attempt_headers(&instructions).into_iter();
    headers_to_send
        .extend(attempt_headers.map(|(name, value)| (name.to_owned(), value.into_bytes())));
    encode_request(&request.method, &request.target, &headers_to_send, &request.body)
}

/// A request that was sent to a runner.
struct SentRequest<'a> {
    id: &'a str,
    runner: &'a RunnerId,
    /// When it was sent, in microseconds on the node's clock.
    sent_at_us: u64,
    /// How long its connection was idle before; `None` for a new connection.
    idle: Option<Duration>,
}

/// Reads responses until the head of one matches the request. On a reused connection, a surplus response
/// to an earlier request may come first. What that one reports about the runner is used too.
async fn read_matching_response(
    node: &Node,
    mut pending: PendingResponse,
    sent: SentRequest<'_>,
) -> Result<(OpenResponse, ResponseMetadata), ReadError> {
    let SentRequest { id, runner, sent_at_us, idle } = sent;
    for _ in 0..MAX_SURPLUS_RESPONSES {
        let response = pending.read_head().await?;
        let metadata = node.on_response_head(runner, &response.head);
        let is_other = metadata.request_id.as_deref().is_some_and(|named| named != id);
        let is_own = metadata.request_id.as_deref() == Some(id);
        // The time at which an earlier request was sent is not known here.
        let sent_at_us = if is_own { sent_at_us } else { 0 };
        node.on_limit_in_response(runner, &metadata, sent_at_us);
        if !is_other || idle.is_none() {
            return Ok((response, metadata));
        }
        let runner = runner.as_str();
        log::info!(target: "attempt", request = id, runner; "surplus response discarded");
        pending = response.skip(MAX_SURPLUS_RESPONSE_BYTES).await?;
    }
    Err(ReadError::Closed)
}

/// Classifies the attempt by the head of its response, and updates the state of the runner.
fn classify(
    node: &Rc<Node>,
    request: &ClientRequest,
    response: AttemptResponse,
    params: &AttemptParams,
    metadata: &ResponseMetadata,
) -> AttemptEnd {
    let runner = response.record.id.clone();
    let id = request.metadata.id.as_str();
    let status = response.status();
    if let Some(load) = metadata.load {
        node.fleet.borrow_mut().on_load(&runner, load, node.now_us());
    }
    match NotRunProof::from_response(id, metadata) {
        Some(Ok(proof)) => {
            let misdirected = metadata.is_misdirected;
            log::info!(target: "attempt", request = id, runner = runner.as_str(), status, misdirected; "declined");
            on_declined(node, response, misdirected);
            return AttemptEnd::Declined(proof);
        }
        Some(Err(doubt)) => {
            log_doubted_decline(request, &response, doubt);
            node.metrics.on_doubted_decline(doubt);
            node.fleet.borrow_mut().on_response(&runner, true, node.now_us());
            // Whichever request it answers, another process has responded at the runner's address.
            if metadata.is_misdirected {
                on_misdirected(node, &runner);
            }
            return AttemptEnd::Lost;
        }
        None => {}
    }
    let is_own = metadata.request_id.as_deref() == Some(id);
    let is_success = (200..300).contains(&status);
    let is_prefill_response = params.work == Work::Prefill && is_success;
    // A response without a runner's signature was not sent by a runner, whatever its status.
    if !is_own || metadata.is_encoded || !(metadata.is_signed || is_prefill_response) {
        log::warn!(target: "attempt", request = id, runner = runner.as_str(), status, is_own; "invalid response discarded");
        node.fleet.borrow_mut().on_response(&runner, true, node.now_us());
        return AttemptEnd::Lost;
    }
    node.fleet.borrow_mut().on_response(&runner, status >= 500, node.now_us());
    node.fleet.borrow_mut().on_accepted(&runner);
    AttemptEnd::Responding(Box::new(response))
}

fn on_declined(node: &Rc<Node>, declined: AttemptResponse, is_misdirected: bool) {
    let AttemptResponse { record, in_flight, response } = declined;
    let runner = record.id;
    if is_misdirected {
        return on_misdirected(node, &runner);
    }
    node.fleet.borrow_mut().on_full(&runner, node.now_us());
    let node = node.clone();
    ntex::rt::spawn(async move {
        drop(in_flight);
        let body = response.discard_body(MAX_SURPLUS_RESPONSE_BYTES);
        if matches!(timeout(RUNNER_CONNECT_TIMEOUT, body).await, Ok(Ok(_))) {
            return_connection(&node, &runner, response);
        }
    });
}

fn on_misdirected(node: &Node, runner: &RunnerId) {
    node.fleet.borrow_mut().on_misdirected(runner);
    node.pool.remove_runner(runner);
}

/// Returns the connection of a response to the pool if another request may be sent on it.
fn return_connection(node: &Node, runner: &RunnerId, response: OpenResponse) {
    let idle_timeout = response.head.idle_timeout;
    if let Some(connection) = response.into_connection() {
        node.pool.put(runner, connection, idle_timeout);
    }
}

fn log_sent(request: &ClientRequest, prepared: &PreparedConnection, params: &AttemptParams) {
    let work = match params.work {
        Work::Run => "run",
        Work::Prefill => "read",
        Work::DecodeFrom(_) => "run from handle",
    };
    let id = request.metadata.id.as_str();
    let runner = prepared.record.id.as_str();
    let version = prepared.record.version.as_str();
    let reused = prepared.idle.is_some();
    let revision = prepared.record.revision.to_string();
    let AttemptDemand { prefill_tokens, overdue_tokens, .. } = prepared.in_flight.demand();
    let expected_ms = u64::try_from(params.expected_prefill.as_millis()).unwrap_or(u64::MAX);
    let rank = params.priority.unwrap_or_default();
    let fetch = params.fetch_from.is_some();
    let peer = prepared.connection.peer().map_or("", NodeId::as_str);
    log::info!(target: "attempt", request = id, runner, version, peer, work, reused, revision, unread = prefill_tokens, late = overdue_tokens, rank, fetch, expected_ms; "sent");
}

fn log_head(
    request: &ClientRequest,
    runner: &RunnerId,
    status: u16,
    metadata: &ResponseMetadata,
    connection: ConnectionUse,
) {
    let id = request.metadata.id.as_str();
    let runner = runner.as_str();
    let head_ms = u64::try_from(connection.sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let reused = connection.idle.is_some();
    let named = named_request(metadata, id);
    let running = metadata.load.map_or(0, |load| load.running);
    let waiting = metadata.load.map_or(0, |load| load.waiting);
    let RunnerNotice { is_leaving, rest_us, limit, is_malformed } = metadata.notice;
    let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    let rest_ms = rest_us / US_PER_MS;
    log::info!(
        target: "attempt",
        request = id, runner, status, head_ms, reused, named, running, waiting, leaving = is_leaving, rest_ms, limit, malformed = is_malformed; "head"
    );
}

fn log_doubted_decline(request: &ClientRequest, response: &AttemptResponse, doubt: DeclineDoubt) {
    let (id, runner) = (request.metadata.id.as_str(), response.record.id.as_str());
    let (status, reason) = (response.status(), doubt.name());
    log::warn!(target: "attempt", request = id, runner, status, reason; "decline not believed");
}

/// Which request a response names by its id: `own`, `other` or `none`.
fn named_request(metadata: &ResponseMetadata, id: &str) -> &'static str {
    match metadata.request_id.as_deref() {
        Some(named) if named == id => "own",
        Some(_) => "other",
        None => "none",
    }
}

impl AttemptResponse {
    /// The HTTP status code of the response.
    pub fn status(&self) -> u16 {
        self.response.head.status
    }

    /// The response headers that are forwarded to the client.
    pub fn client_headers(&self) -> Vec<Header> {
        let all_headers = &self.response.head.headers;
        let options = crate::http::connection_options(all_headers);
        let passes = |header: &&Header| {
            headers::is_forwarded_to_client(&header.0)
                && !crate::http::is_hop_by_hop_header(&header.0, &options)
        };
        all_headers.iter().filter(passes).cloned().collect()
    }

    /// The head of the response.
    pub fn head(&self) -> &ResponseHead {
        &self.response.head
    }

    /// Whether the response has a success status.
    pub fn is_successful(&self) -> bool {
        (200..300).contains(&self.status())
    }

    /// Reads the next part of the body.
    pub async fn read_part(&self) -> Result<BodyPart, ReadError> {
        self.response.read_part().await
    }

    /// Completes when further bytes of the body arrive. Never completes if the connection ends before.
    pub async fn wait_for_data(&self) {
        self.response.wait_for_data().await;
    }

    /// Reads the body to its end. Fails if it is larger than 16 MiB, if too little memory is left, or if the connection
    /// breaks.
    pub async fn read_all(&self) -> Result<ReceivedResponse, ReadError> {
        let mut buffer = BodyBuffer::new(MAX_RESPONSE_BYTES, self.in_flight.reserve_response());
        let end = self.response.read_body_into(&mut buffer).await?;
        let (body, memory) = buffer.into_parts();
        let (status, headers) = (self.status(), self.client_headers());
        let response = BufferedResponse { status, headers, body, memory };
        Ok(ReceivedResponse { response, end })
    }

    /// Returns the connection to the pool if the body has been read to its end.
    pub fn return_connection(self, node: &Node) {
        return_connection(node, &self.record.id, self.response);
    }
}
