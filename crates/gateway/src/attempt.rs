//! One attempt: a request sent to one runner, up to the head of its answer.

use crate::broken_attempt::{on_lost, on_under_way, BrokenAttempt, ConnectionUse};
use crate::clock::Instant;
use crate::http::request::encode_request;
use crate::http::{BodyDecoder, Header, ReadError, ResponseHead, Upstream};
use crate::intake::{BufferedResponse, ClientRequest};
use crate::node::Node;
use crate::runner_probe::{probe_while_silent, wait_until_suspected, RUNNER_CONNECT_TIMEOUT};
use pitchstall_platform_adapter::headers::{self, LeftOut};
use pitchstall_serving::ids::{RunnerId, TenantName};
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::request::{AttemptInstructions, ResponseMetadata, Work};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord};
use pitchstall_serving::runner_notice::RunnerNotice;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Largest answer that is read whole.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Surplus answers that are passed over while waiting for the right one.
const MOST_SURPLUS: usize = 4;
/// Largest surplus answer that is passed over.
const MOST_SURPLUS_BYTES: usize = 1024 * 1024;
const MICROS_PER_MILLI: u64 = 1_000;

/// Counts an attempt as in flight at its runner until dropped.
pub struct Flight {
    node: Rc<Node>,
    runner: RunnerId,
    demand: AttemptDemand,
}

impl Flight {
    fn new(node: &Rc<Node>, choice: &RunnerChoice) -> Self {
        node.fleet.borrow_mut().on_sent(&choice.runner, choice.demand);
        Self { node: node.clone(), runner: choice.runner.clone(), demand: choice.demand }
    }

    /// Something has come from the runner.
    pub fn on_progress(&self) {
        self.node.on_progress(&self.runner);
    }

    /// The runner has read the prompt; only the writing is left.
    pub fn on_read(&mut self) {
        self.node.fleet.borrow_mut().on_prefilled(&self.runner, self.demand);
        self.demand.prefill_tokens = 0;
        self.demand.overdue_tokens = 0;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.node.fleet.borrow_mut().on_ended(&self.runner, self.demand);
    }
}

/// A connection to a runner on which nothing of this request has been sent.
pub struct Prepared {
    connection: Upstream,
    record: RunnerRecord,
    flight: Flight,
    /// How long a kept connection has rested; `None`: a new one.
    rested: Option<Duration>,
}

impl Prepared {
    /// The runner.
    pub fn record(&self) -> &RunnerRecord {
        &self.record
    }
}

/// How an attempt ended, up to the head of the answer.
pub enum AttemptEnd {
    /// The runner answers.
    Answering(Box<Answering>),
    /// The runner has not run it and never will.
    Declined,
    /// The runner may have run it.
    Lost,
    /// No answer came within the attempt's time.
    Silent,
}

/// An answer whose head has come.
pub struct Answering {
    /// The head.
    pub head: ResponseHead,
    /// The runner.
    pub record: RunnerRecord,
    /// Counts the attempt.
    pub flight: Flight,
    connection: Upstream,
    decoder: BodyDecoder,
}

/// Why there is no connection to a chosen runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotPrepared {
    /// It takes no request from this node any more, or none now.
    Withheld,
    /// It cannot be reached.
    Unreachable,
}

/// Takes or opens a connection to the chosen runner.
pub async fn prepare(node: &Rc<Node>, choice: &RunnerChoice) -> Result<Prepared, NotPrepared> {
    let record = usable_record(node, &choice.runner)?;
    if in_flight(node, &choice.runner) >= node.connection_share(&record.service) {
        log::info!(target: "attempt", runner = choice.runner.as_str(); "no connection left");
        return Err(NotPrepared::Unreachable);
    }
    let flight = Flight::new(node, choice);
    if let Some(kept) = node.pool.take(&record.id) {
        let rested = Some(kept.idle_for);
        return Ok(Prepared { connection: kept.connection, record, flight, rested });
    }
    node.metrics.connections.inc();
    let begun = Instant::now();
    match Upstream::open(record.address, RUNNER_CONNECT_TIMEOUT).await {
        Ok(connection) => {
            node.on_round_trip(&record.zone, begun.elapsed());
            // The runner may have begun to leave, or to rest, while the connection was being opened.
            let record = usable_record(node, &choice.runner)?;
            Ok(Prepared { connection, record, flight, rested: None })
        }
        Err(error) => {
            let is_refused = error.is_refused();
            let error = error.to_string();
            let runner = record.id.as_str();
            log::info!(target: "attempt", runner, error; "unreachable");
            node.on_unreachable(&record.id, is_refused);
            Err(NotPrepared::Unreachable)
        }
    }
}

fn in_flight(node: &Node, runner: &RunnerId) -> u32 {
    node.fleet.borrow().get(runner).map_or(0, |runner| runner.in_flight)
}

fn usable_record(node: &Node, runner: &RunnerId) -> Result<RunnerRecord, NotPrepared> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let usable = fleet.get(runner).filter(|runner| runner.accepts_work_from_this_node(now_us));
    usable.map(|runner| runner.record.clone()).ok_or(NotPrepared::Withheld)
}

/// What goes with an attempt.
#[derive(Clone, Debug)]
pub struct AttemptParams {
    /// What to do.
    pub work: Work,
    /// Rank, 0 first.
    pub priority: Option<u8>,
    /// The stream goes on after this event, if the node resumes it.
    pub after_event: Option<u64>,
    /// The runner first takes over what this one holds of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The tenant for whom the request runs.
    pub tenant: Option<TenantName>,
    /// Whether the configuration has tenants, so that clients' words on who they are stay here.
    pub has_tenants: bool,
    /// When the request's time is up.
    pub deadline: Instant,
    /// Longest wait for the head of the answer.
    pub head_limit: Duration,
    /// Time until the prompt should have been read.
    pub expected: Duration,
    /// Silence after which the runner is looked at.
    pub doubt_after: Duration,
    /// Whether the attempt ends when its runner cannot be reached any more: only for what may
    /// be repeated.
    pub leaves_suspects: bool,
}

/// Sends a request and waits for the head of its answer.
pub async fn send(
    node: &Rc<Node>,
    request: &ClientRequest,
    prepared: Prepared,
    params: &AttemptParams,
) -> AttemptEnd {
    let runner = prepared.record.id.clone();
    node.metrics.attempts.inc();
    let bytes = attempt_bytes(request, &prepared.record, params);
    log_sent(request, &prepared, params);
    let sent_at = Instant::now();
    let sent_at_us = node.now_us();
    let connection = ConnectionUse { rested: prepared.rested, sent_at };
    let broken = BrokenAttempt { request, tenant: params.tenant.as_ref(), runner: &runner };
    if !node.may_send_to(&runner) {
        node.metrics.unwanted_attempts.inc();
    }
    if let Err(error) = prepared.connection.send(bytes) {
        on_lost(node, broken, connection, &error);
        return AttemptEnd::Lost;
    }
    let head = read_own_head(node, request, &prepared, sent_at_us);
    let answer = tokio::select! {
        answer = timeout(params.head_limit, head) => answer,
        () = wait_until_suspected(node, &runner), if params.leaves_suspects => {
            log::info!(target: "attempt", request = request.metadata.id.as_str(), runner = runner.as_str(); "left");
            on_under_way(node, broken);
            return AttemptEnd::Silent;
        }
        () = probe_while_silent(node, &runner, params.doubt_after) => return AttemptEnd::Silent,
    };
    match answer {
        Err(_) => {
            let limit_ms = u64::try_from(params.head_limit.as_millis()).unwrap_or(u64::MAX);
            let id = request.metadata.id.as_str();
            log::info!(target: "attempt", request = id, runner = runner.as_str(), limit_ms; "silent");
            node.on_silence(&runner, sent_at_us);
            on_under_way(node, broken);
            AttemptEnd::Silent
        }
        Ok(Err(error)) => {
            on_lost(node, broken, connection, &error);
            AttemptEnd::Lost
        }
        Ok(Ok((head, facts))) => {
            log_head(request, &runner, &head, &facts, sent_at);
            classify(node, request, prepared, params, head, &facts)
        }
    }
}

fn attempt_bytes(
    request: &ClientRequest,
    record: &RunnerRecord,
    params: &AttemptParams,
) -> Vec<u8> {
    let left = params.deadline.saturating_duration_since(Instant::now());
    let order = AttemptInstructions {
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
        runner: record.id.clone(),
        priority: params.priority,
        work: params.work.clone(),
        after_event: params.after_event,
        fetch_from: params.fetch_from,
        tenant: params.tenant.clone(),
    };
    let left_out =
        LeftOut { last_event: params.after_event.is_some(), authorization: params.has_tenants };
    let is_forwarded = |(name, value): &&Header| headers::is_forwarded(name, value, left_out);
    let forwarded = request.headers.iter().filter(is_forwarded);
    let mut all: Vec<Header> = forwarded.cloned().collect();
    let own = headers::attempt_headers(&order).into_iter();
    all.extend(own.map(|(name, value)| (name.to_owned(), value.into_bytes())));
    encode_request(&request.method, &request.target, &all, &request.body)
}

/// Reads heads until the one that answers this request. A surplus answer to an earlier
/// request may stand in its place on a kept connection; what it says of its runner holds as well.
async fn read_own_head(
    node: &Node,
    request: &ClientRequest,
    prepared: &Prepared,
    sent_at_us: u64,
) -> Result<(ResponseHead, ResponseMetadata), ReadError> {
    for _ in 0..MOST_SURPLUS {
        let head = prepared.connection.read_head().await?;
        let facts = node.on_answer_head(&prepared.record.id, &head);
        let is_other = facts.request_id.as_deref().is_some_and(|id| id != request.metadata.id);
        // When an earlier request was sent is not known here.
        let sent_at_us = if is_other { 0 } else { sent_at_us };
        node.on_limit_in_head(&prepared.record.id, &facts, sent_at_us);
        if !is_other || prepared.rested.is_none() {
            return Ok((head, facts));
        }
        let runner = prepared.record.id.as_str();
        log::info!(target: "attempt", request = request.metadata.id.as_str(), runner; "surplus answer");
        let decoder = BodyDecoder::new(head.framing);
        prepared.connection.read_whole_body(&decoder, MOST_SURPLUS_BYTES).await?;
    }
    Err(ReadError::Closed)
}

/// Decides what the head of an answer means.
fn classify(
    node: &Rc<Node>,
    request: &ClientRequest,
    prepared: Prepared,
    params: &AttemptParams,
    head: ResponseHead,
    facts: &ResponseMetadata,
) -> AttemptEnd {
    let runner = prepared.record.id.clone();
    let id = request.metadata.id.as_str();
    let status = head.status;
    if let Some(load) = facts.load {
        node.fleet.borrow_mut().on_load(&runner, load, node.now_us());
    }
    let is_own = facts.request_id.as_deref() == Some(id);
    if facts.not_run && (is_own || facts.request_id.is_none()) {
        let misdirected = facts.misdirected;
        log::info!(target: "attempt", request = id, runner = runner.as_str(), status, misdirected; "declined");
        on_declined(node, prepared, head, misdirected);
        return AttemptEnd::Declined;
    }
    let success = (200..300).contains(&status);
    let only_read = params.work == Work::Prefill && success;
    // What is not signed by a runner is no runner's answer, whatever its status.
    if !is_own || facts.encoded || !(facts.signed || only_read) {
        log::warn!(target: "attempt", request = id, runner = runner.as_str(), status, is_own; "no answer");
        node.fleet.borrow_mut().on_response(&runner, true, node.now_us());
        return AttemptEnd::Lost;
    }
    node.fleet.borrow_mut().on_response(&runner, status >= 500, node.now_us());
    node.fleet.borrow_mut().on_accepted(&runner);
    let decoder = BodyDecoder::new(head.framing);
    let Prepared { connection, record, flight, .. } = prepared;
    AttemptEnd::Answering(Box::new(Answering { head, record, flight, connection, decoder }))
}

fn on_declined(node: &Rc<Node>, prepared: Prepared, head: ResponseHead, misdirected: bool) {
    let runner = prepared.record.id.clone();
    if misdirected {
        node.fleet.borrow_mut().on_misdirected(&runner);
        node.pool.remove_runner(&runner);
        return;
    }
    node.fleet.borrow_mut().on_full(&runner, node.now_us());
    let node = node.clone();
    ntex::rt::spawn(async move {
        let Prepared { connection, flight, .. } = prepared;
        drop(flight);
        let decoder = BodyDecoder::new(head.framing);
        let whole = connection.read_whole_body(&decoder, MOST_SURPLUS_BYTES);
        let read = timeout(RUNNER_CONNECT_TIMEOUT, whole).await;
        if matches!(read, Ok(Ok(_))) && head.keep_alive {
            node.pool.put(&runner, connection, head.idle_timeout);
        }
    });
}

fn log_sent(request: &ClientRequest, prepared: &Prepared, params: &AttemptParams) {
    let work = match params.work {
        Work::Run => "run",
        Work::Prefill => "read",
        Work::DecodeFrom(_) => "run from handle",
    };
    let id = request.metadata.id.as_str();
    let runner = prepared.record.id.as_str();
    let reused = prepared.rested.is_some();
    let revision = prepared.record.revision.to_string();
    let unread = prepared.flight.demand.prefill_tokens;
    let late = prepared.flight.demand.overdue_tokens;
    let expected_ms = u64::try_from(params.expected.as_millis()).unwrap_or(u64::MAX);
    let rank = params.priority.unwrap_or_default();
    let fetch = params.fetch_from.is_some();
    log::info!(target: "attempt", request = id, runner, work, reused, revision, unread, late, rank, fetch, expected_ms; "sent");
}

fn log_head(
    request: &ClientRequest,
    runner: &RunnerId,
    head: &ResponseHead,
    facts: &ResponseMetadata,
    sent_at: Instant,
) {
    let id = request.metadata.id.as_str();
    let runner = runner.as_str();
    let status = head.status;
    let head_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let running = facts.load.map_or(0, |load| load.running);
    let waiting = facts.load.map_or(0, |load| load.waiting);
    let RunnerNotice { leaving, rest_us, limit, malformed } = facts.notice;
    let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    let rest_ms = rest_us / MICROS_PER_MILLI;
    log::info!(
        target: "attempt",
        request = id, runner, status, head_ms, running, waiting, leaving, rest_ms, limit, malformed; "head"
    );
}

impl Answering {
    /// The headers of the answer that are for the client.
    pub fn client_headers(&self) -> Vec<Header> {
        let named = crate::http::connection_options(&self.head.headers);
        let passes = |header: &&Header| {
            headers::is_for_client(&header.0)
                && !crate::http::is_hop_by_hop_header(&header.0, &named)
        };
        self.head.headers.iter().filter(passes).cloned().collect()
    }

    /// Reads the next bytes of the body; `None` at its end.
    pub async fn read(&self) -> Result<Option<ntex::util::Bytes>, ReadError> {
        self.connection.read_body(&self.decoder).await
    }

    /// Whether only the end of the connection tells the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.decoder.ends_with_connection()
    }

    /// Reads the whole body.
    pub async fn read_whole(&self) -> Result<BufferedResponse, ReadError> {
        let body = self.connection.read_whole_body(&self.decoder, MOST_ANSWER_BYTES).await?;
        Ok(BufferedResponse { status: self.head.status, headers: self.client_headers(), body })
    }

    /// The body was read to its end: the connection may serve another request.
    pub fn give_back(self, node: &Node) {
        if self.head.keep_alive {
            node.pool.put(&self.record.id, self.connection, self.head.idle_timeout);
        }
    }
}
