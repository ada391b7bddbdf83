//! A single attempt: sends a request to one runner and receives the head of its response.

use crate::attempt_wait::{log_end, wait_for_end, EarlyEnd, EndCause};
use crate::clock::Instant;
use crate::http::request::encode_request;
use crate::http::{BodyDecoder, Header, ReadError, ResponseHead, Upstream};
use crate::intake::{BufferedResponse, ClientRequest};
use crate::interrupted_attempt::{
    on_connection_lost, record_unfinished_attempt, ConnectionUse, InterruptedAttempt,
};
use crate::node::Node;
use crate::runner_connection::{self, AllowedZones, RunnerUnreachable};
use crate::runner_probe::{probe_while_silent, RUNNER_CONNECT_TIMEOUT};
use pitchstall_platform_adapter::headers::{self, OmittedHeaders};
use pitchstall_serving::ids::{NodeId, RunnerId, TenantName};
use pitchstall_serving::placement::RunnerChoice;
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

/// Counts an attempt as in flight at its runner until the guard is dropped.
pub struct InFlightGuard {
    node: Rc<Node>,
    runner: RunnerId,
    demand: AttemptDemand,
}

impl InFlightGuard {
    fn new(node: &Rc<Node>, choice: &RunnerChoice) -> Self {
        node.fleet.borrow_mut().on_sent(&choice.runner, choice.demand);
        Self { node: node.clone(), runner: choice.runner.clone(), demand: choice.demand }
    }

    /// Records that data has been received from the runner.
    pub fn on_progress(&self) {
        self.node.on_progress(&self.runner);
    }

    /// Records that the runner has finished the prefill, so that only the decode counts as load.
    pub fn on_prefilled(&mut self) {
        self.node.fleet.borrow_mut().on_prefilled(&self.runner, self.demand);
        self.demand.prefill_tokens = 0;
        self.demand.overdue_tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.fleet.borrow_mut().on_ended(&self.runner, self.demand);
    }
}

/// A connection to a runner on which nothing of this request has been sent yet.
pub struct PreparedConnection {
    connection: Upstream,
    record: RunnerRecord,
    in_flight: InFlightGuard,
    /// How long a pooled connection was idle; `None` for a new connection.
    idle: Option<Duration>,
}

impl PreparedConnection {
    /// The registry record of the runner, as of when the connection was prepared.
    pub fn record(&self) -> &RunnerRecord {
        &self.record
    }
}

/// How an attempt ended, up to and including the head of the response.
pub enum AttemptEnd {
    /// The head of a valid response was received; the body is still to be read.
    Responding(Box<AttemptResponse>),
    /// The runner has not executed the request and will not do so.
    Declined,
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

/// A response whose head has been received.
pub struct AttemptResponse {
    /// Status line and headers of the response.
    pub head: ResponseHead,
    /// The registry record of the responding runner.
    pub record: RunnerRecord,
    /// Keeps the attempt counted as in flight until the response has been handled.
    pub in_flight: InFlightGuard,
    connection: Upstream,
    decoder: BodyDecoder,
}

/// Why no connection to a chosen runner is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrepareError {
    /// The runner accepts no requests of this node at the moment, or is leaving.
    Withheld,
    /// The runner cannot be reached through any node, or this node's connection limit for it is used up.
    Unreachable,
}

/// Which connection an attempt needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionNeed {
    /// Whether it must be a new connection on which the runner has responded, since an earlier
    /// attempt of the request has been lost and this node's links may be the reason.
    pub is_verified: bool,
    /// The zones in which a node that the connection leads through may be.
    pub zones: AllowedZones,
}

impl ConnectionNeed {
    /// Whether a connection leads through no node outside of the allowed zones.
    fn allows(&self, node: &Node, connection: &Upstream) -> bool {
        let (Some(zones), Some(peer)) = (&self.zones, connection.peer()) else { return true };
        node.members.borrow().zone_of(peer).is_some_and(|zone| zones.contains(zone))
    }
}

/// Takes a pooled connection to the chosen runner or opens a new one. Fails if the runner accepts
/// no requests of this node or cannot be reached.
pub async fn prepare(
    node: &Rc<Node>,
    choice: &RunnerChoice,
    need: &ConnectionNeed,
) -> Result<PreparedConnection, PrepareError> {
    let record = record_accepting_work(node, &choice.runner)?;
    if attempts_in_flight(node, &choice.runner) >= node.max_connections_per_runner(&record.service)
    {
        log::info!(target: "attempt", runner = choice.runner.as_str(); "runner not used: connection limit for one runner reached");
        return Err(PrepareError::Unreachable);
    }
    let in_flight = InFlightGuard::new(node, choice);
    let pooled = match need.is_verified {
        true => None,
        false => node.pool.take(&record.id, |connection| need.allows(node, connection)),
    };
    if let Some(pooled) = pooled {
        let idle = Some(pooled.idle_for);
        return Ok(PreparedConnection { connection: pooled.connection, record, in_flight, idle });
    }
    let connection = match need.is_verified {
        true => runner_connection::open_verified(node, &record, &need.zones).await,
        false => runner_connection::open(node, &record, &need.zones).await,
    };
    let connection = connection.map_err(|_: RunnerUnreachable| PrepareError::Unreachable)?;
    // The runner may have started to leave, or may have requested a rest, while the connection was
    // being opened.
    let record = record_accepting_work(node, &choice.runner)?;
    Ok(PreparedConnection { connection, record, in_flight, idle: None })
}

fn attempts_in_flight(node: &Node, runner: &RunnerId) -> u32 {
    node.fleet.borrow().get(runner).map_or(0, |runner| runner.in_flight)
}

fn record_accepting_work(node: &Node, runner: &RunnerId) -> Result<RunnerRecord, PrepareError> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let accepting = fleet.get(runner).filter(|runner| runner.accepts_work_from_this_node(now_us));
    accepting.map(|runner| runner.record.clone()).ok_or(PrepareError::Withheld)
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
    if let Err(error) = prepared.connection.send(bytes) {
        on_connection_lost(node, attempt, connection, &error);
        return AttemptEnd::Lost;
    }
    let head = read_matching_head(node, request, &prepared, sent_at_us);
    let outcome = tokio::select! {
        outcome = head => outcome,
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
        Ok((head, metadata)) => {
            log_head(request, &runner, &head, &metadata, sent_at);
            classify(node, request, prepared, params, head, &metadata)
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

/// Reads response heads until one matches this request. On a reused connection, a surplus response
/// to an earlier request may come first. What that one reports about the runner is used too.
async fn read_matching_head(
    node: &Node,
    request: &ClientRequest,
    prepared: &PreparedConnection,
    sent_at_us: u64,
) -> Result<(ResponseHead, ResponseMetadata), ReadError> {
    for _ in 0..MAX_SURPLUS_RESPONSES {
        let head = prepared.connection.read_head().await?;
        let metadata = node.on_response_head(&prepared.record.id, &head);
        let is_other = metadata.request_id.as_deref().is_some_and(|id| id != request.metadata.id);
        // The time at which the earlier request was sent is not known here.
        let sent_at_us = if is_other { 0 } else { sent_at_us };
        node.on_limit_in_response(&prepared.record.id, &metadata, sent_at_us);
        if !is_other || prepared.idle.is_none() {
            return Ok((head, metadata));
        }
        let runner = prepared.record.id.as_str();
        log::info!(target: "attempt", request = request.metadata.id.as_str(), runner; "surplus response discarded");
        let decoder = BodyDecoder::new(head.framing);
        prepared.connection.read_whole_body(&decoder, MAX_SURPLUS_RESPONSE_BYTES).await?;
    }
    Err(ReadError::Closed)
}

/// Classifies the attempt by the head of its response, and updates the state of the runner.
fn classify(
    node: &Rc<Node>,
    request: &ClientRequest,
    prepared: PreparedConnection,
    params: &AttemptParams,
    head: ResponseHead,
    metadata: &ResponseMetadata,
) -> AttemptEnd {
    let runner = prepared.record.id.clone();
    let id = request.metadata.id.as_str();
    let status = head.status;
    if let Some(load) = metadata.load {
        node.fleet.borrow_mut().on_load(&runner, load, node.now_us());
    }
    let is_own = metadata.request_id.as_deref() == Some(id);
    if metadata.is_declined && (is_own || metadata.request_id.is_none()) {
        let misdirected = metadata.is_misdirected;
        log::info!(target: "attempt", request = id, runner = runner.as_str(), status, misdirected; "declined");
        on_declined(node, prepared, head, misdirected);
        return AttemptEnd::Declined;
    }
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
    let decoder = BodyDecoder::new(head.framing);
    let PreparedConnection { connection, record, in_flight, .. } = prepared;
    AttemptEnd::Responding(Box::new(AttemptResponse {
        head,
        record,
        in_flight,
        connection,
        decoder,
    }))
}

fn on_declined(
    node: &Rc<Node>,
    prepared: PreparedConnection,
    head: ResponseHead,
    is_misdirected: bool,
) {
    let runner = prepared.record.id.clone();
    if is_misdirected {
        node.fleet.borrow_mut().on_misdirected(&runner);
        node.pool.remove_runner(&runner);
        return;
    }
    node.fleet.borrow_mut().on_full(&runner, node.now_us());
    let node = node.clone();
    ntex::rt::spawn(async move {
        let PreparedConnection { connection, in_flight, .. } = prepared;
        drop(in_flight);
        let decoder = BodyDecoder::new(head.framing);
        let body = connection.read_whole_body(&decoder, MAX_SURPLUS_RESPONSE_BYTES);
        let read = timeout(RUNNER_CONNECT_TIMEOUT, body).await;
        if matches!(read, Ok(Ok(_))) && head.keep_alive {
            node.pool.put(&runner, connection, head.idle_timeout);
        }
    });
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
    let prefill_tokens = prepared.in_flight.demand.prefill_tokens;
    let overdue_tokens = prepared.in_flight.demand.overdue_tokens;
    let expected_ms = u64::try_from(params.expected_prefill.as_millis()).unwrap_or(u64::MAX);
    let rank = params.priority.unwrap_or_default();
    let fetch = params.fetch_from.is_some();
    let peer = prepared.connection.peer().map_or("", NodeId::as_str);
    log::info!(target: "attempt", request = id, runner, version, peer, work, reused, revision, unread = prefill_tokens, late = overdue_tokens, rank, fetch, expected_ms; "sent");
}

fn log_head(
    request: &ClientRequest,
    runner: &RunnerId,
    head: &ResponseHead,
    metadata: &ResponseMetadata,
    sent_at: Instant,
) {
    let id = request.metadata.id.as_str();
    let runner = runner.as_str();
    let status = head.status;
    let head_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let running = metadata.load.map_or(0, |load| load.running);
    let waiting = metadata.load.map_or(0, |load| load.waiting);
    let RunnerNotice { is_leaving, rest_us, limit, is_malformed } = metadata.notice;
    let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    let rest_ms = rest_us / US_PER_MS;
    log::info!(
        target: "attempt",
        request = id, runner, status, head_ms, running, waiting, leaving = is_leaving, rest_ms, limit, malformed = is_malformed; "head"
    );
}

impl AttemptResponse {
    /// The response headers that are forwarded to the client.
    pub fn client_headers(&self) -> Vec<Header> {
        let options = crate::http::connection_options(&self.head.headers);
        let passes = |header: &&Header| {
            headers::is_forwarded_to_client(&header.0)
                && !crate::http::is_hop_by_hop_header(&header.0, &options)
        };
        self.head.headers.iter().filter(passes).cloned().collect()
    }

    /// Reads the next bytes of the body; `None` at its end.
    pub async fn read_chunk(&self) -> Result<Option<ntex::util::Bytes>, ReadError> {
        self.connection.read_body(&self.decoder).await
    }

    /// Completes when further bytes of the body arrive. Never completes if the connection ends before.
    pub async fn wait_for_data(&self) {
        self.connection.wait_for_data().await;
    }

    /// Whether the end of the body is only marked by the end of the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.decoder.ends_with_connection()
    }

    /// Reads the whole body. Fails if it is larger than 16 MiB or the connection breaks.
    pub async fn read_all(&self) -> Result<BufferedResponse, ReadError> {
        let body = self.connection.read_whole_body(&self.decoder, MAX_RESPONSE_BYTES).await?;
        Ok(BufferedResponse { status: self.head.status, headers: self.client_headers(), body })
    }

    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn return_connection(self, node: &Node) {
        if self.head.keep_alive {
            node.pool.put(&self.record.id, self.connection, self.head.idle_timeout);
        }
    }
}
