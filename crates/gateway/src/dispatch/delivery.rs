//! Delivers the response of a run to the client.

use super::planning::{elapsed_ms, Plan};
use super::{Dispatch, Step};
use crate::attempt::{AttemptResponse, ReceivedResponse};
use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::http::{BodyEnd, ReadError};
use crate::intake::{BufferedResponse, RequestOutcome};
use crate::interrupted_attempt::{on_interrupted, InterruptedAttempt};
use crate::relay::{complete, relay, RelayLimits, RelayOutcome, RunEvents};
use crate::response_end::{self, EndDoubt, UnprovenResponse};
use crate::response_head;
use crate::response_memory::{report_if_too_long, EventBuffer};
use pitchstall_platform_adapter::headers;
use pitchstall_serving::attempt::EndReason;
use pitchstall_serving::configuration::RequestKind;
use pitchstall_serving::event_runs::RunMismatch;
use pitchstall_serving::framing_habit::{HeadDamage, ResponseKind};
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::runner::RunnerRecord;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum gap between two events of a stream, as a multiple of the route's gap target, before the
/// stream counts as stalled.
const STALL_GAP_TARGETS: u32 = 4;
/// Minimum gap between two events after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A response was not complete in time.
struct TooSlow;

/// A run whose response has begun. Dropping it closes the connection, so that the runner stops.
pub(super) struct Run {
    /// The response, from its head on.
    pub(super) response: AttemptResponse,
    /// The run's event that is not complete yet, and the run's place in the stream.
    events: RunEvents,
    /// Reports the end of the run to its scheduler when dropped.
    _plan: Plan,
}

impl Run {
    /// A run whose head has just been received.
    pub(super) fn new(response: AttemptResponse, plan: Plan) -> Self {
        let buffer = EventBuffer::new(response.in_flight.reserve_response());
        let events = RunEvents::new(buffer);
        Self { response, events, _plan: plan }
    }

    /// The runner that runs the request.
    pub(super) fn runner(&self) -> &RunnerId {
        &self.response.record.id
    }

    /// Whether no complete event has arrived.
    fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Whether the response has a success status.
    pub(super) fn is_successful(&self) -> bool {
        self.response.is_successful()
    }
}

impl Dispatch<'_> {
    /// Delivers a run to the client. Streams are forwarded as they arrive.
    pub(super) async fn deliver(&mut self, mut run: Box<Run>, client: &ClientConnection) -> Step {
        self.on_run_started(&mut run);
        let first_byte = self.request.received_at.elapsed().as_secs_f64();
        self.node.metrics.first_byte.observe(first_byte);
        if run.is_successful() && self.route.kind == RequestKind::Streaming {
            self.deliver_stream(run, client).await
        } else {
            self.deliver_complete(run.response).await
        }
    }

    /// Records that the runner has prefilled the prompt and has begun to respond.
    pub(super) fn on_run_started(&self, run: &mut Run) {
        run.response.in_flight.on_prefilled();
        self.node.on_prefix_cached(run.runner(), self.prompt.shared_prefix());
    }

    async fn deliver_complete(&mut self, response: AttemptResponse) -> Step {
        let runner = response.record.id.clone();
        let full_response = match self.read_whole(&response).await {
            Ok(Ok(full_response)) => full_response,
            Ok(Err(error)) => {
                let id = self.request.metadata.id.as_str();
                self.on_broken_response(&runner, &error);
                let error = error.to_string();
                log::info!(target: "attempt", request = id, runner = runner.as_str(), error; "response interrupted");
                return self.on_lost(Some(runner));
            }
            Err(TooSlow) => return self.on_lost(Some(runner)),
        };
        self.return_connection_later(response);
        // An error response may come from a runner that has not begun to execute the request.
        if (200..300).contains(&full_response.status) {
            self.on_success();
        }
        if self.is_unproven_promise(full_response.status) {
            return self.replace_unproven_promise(&runner, full_response.status);
        }
        const MIN_SERVER_ERROR_STATUS: u16 = 500;
        if full_response.status < MIN_SERVER_ERROR_STATUS || self.stream.is_head_sent {
            return self.finish_complete(full_response);
        }
        self.runs.on_ran();
        self.excluded.push(runner);
        if !self.may_run_again() || !self.retry_charge.charge().await {
            return self.finish_complete(full_response);
        }
        self.runner_failure = Some(full_response);
        Step::Retry
    }

    /// Whether the client would take a runner's status for a promise that the request has not run. The runner has given no
    /// proof of that, so a request that must not be repeated may have run.
    fn is_unproven_promise(&self, status: u16) -> bool {
        headers::promises_not_run(status) && !self.route.is_repeatable()
    }

    fn replace_unproven_promise(&mut self, runner: &RunnerId, status: u16) -> Step {
        let (request, runner) = (self.request.metadata.id.as_str(), runner.as_str());
        log::warn!(target: "attempt", request, runner, status; "status not passed on: the runner has not said that the request has not run");
        self.runs.on_lost();
        self.give_up(EndReason::Failed)
    }

    /// Returns the connection of a response that has been read to the pool, in a task of its own: the response must reach
    /// the client whatever happens there.
    fn return_connection_later(&self, response: AttemptResponse) {
        let node = self.node.clone();
        ntex::rt::spawn(async move { response.return_connection(&node) });
    }

    /// Reads a response to its end, and fails if it is not proven to be whole.
    async fn read_whole(
        &self,
        response: &AttemptResponse,
    ) -> Result<Result<BufferedResponse, ReadError>, TooSlow> {
        let received = match self.read_in_time(response).await? {
            Ok(received) => received,
            Err(error) => return Ok(Err(error)),
        };
        let proof = match received.end {
            BodyEnd::Framed => Ok(()),
            BodyEnd::Unproven => self.prove_end(response, received.response.body.is_empty()).await,
        };
        Ok(proof.map(|()| received.response))
    }

    /// Reads a response to its end. A slow one is ended early once another attempt can follow.
    async fn read_in_time(
        &self,
        response: &AttemptResponse,
    ) -> Result<Result<ReceivedResponse, ReadError>, TooSlow> {
        let early_end = async {
            match self.early_end() {
                Some(early_end) => early_end.charged_when_silent().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            read = timeout(self.time_remaining(), response.read_all()) => read.map_err(|_| TooSlow),
            _ = early_end => Err(TooSlow),
        }
    }

    /// Handles a successful response that is proven to be whole.
    fn on_success(&self) {
        self.node.on_request_succeeded(|| self.identity(), self.request.suspect_parts());
    }

    /// Proves that a response which has ended with its connection is whole. Its runner may have ended in the middle.
    async fn prove_end(&self, response: &AttemptResponse, is_empty: bool) -> Result<(), ReadError> {
        let ended_at = Instant::now();
        let proof = match self.check_for_damage(response, is_empty) {
            Ok(()) => self.ask_for_proof(&response.record).await,
            Err(doubt) => Err(doubt),
        };
        let verdict = proof.map_or_else(EndDoubt::name, |()| "whole");
        self.node.metrics.on_unframed_response(verdict);
        let (id, runner) = (self.request.metadata.id.as_str(), response.record.id.as_str());
        let after = self.stream.deduplicator.last_id();
        let took_ms = elapsed_ms(ended_at);
        log::info!(target: "attempt", request = id, runner, after, verdict, took_ms; "response ended with its connection");
        proof.map_err(|_| ReadError::UnprovenEnd)?;
        if !is_empty {
            response_head::on_proven(self.node, response, self.response_kind());
        }
        Ok(())
    }

    /// Looks for damage that no further response of the runner can rule out.
    fn check_for_damage(&self, response: &AttemptResponse, is_empty: bool) -> Result<(), EndDoubt> {
        let kind = self.response_kind();
        response_head::judge(self.node, response, kind).map_err(EndDoubt::DamagedHead)?;
        let is_rest = kind == ResponseKind::Stream && self.stream.deduplicator.last_id().is_some();
        match is_empty && !response_head::may_be_empty(self.node, response, kind, is_rest) {
            true => Err(EndDoubt::EmptyBody),
            false => Ok(()),
        }
    }

    async fn ask_for_proof(&self, record: &RunnerRecord) -> Result<(), EndDoubt> {
        let unproven = UnprovenResponse {
            request: &self.request.metadata.id,
            record,
            is_repeatable: self.may_run_again(),
            time_remaining: self.time_remaining(),
        };
        response_end::prove(self.node, unproven).await
    }

    /// Handles a successful response whose head has lost lines. What follows it is not read: it may not be the body.
    pub(super) fn on_damaged_head(&self, response: AttemptResponse, damage: HeadDamage) {
        let runner = response.record.id.clone();
        drop(response);
        self.node.metrics.on_unframed_response(damage.name());
        self.on_broken_response(&runner, &damage.into());
        let (request, runner) = (self.request.metadata.id.as_str(), runner.as_str());
        let error = damage.to_string();
        log::warn!(target: "attempt", request, runner, error; "response interrupted");
    }

    fn finish_complete(&mut self, full_response: BufferedResponse) -> Step {
        if self.stream.is_head_sent {
            return self.give_up(EndReason::Failed);
        }
        Step::Done(RequestOutcome::Buffered(full_response))
    }

    async fn deliver_stream(&mut self, mut run: Box<Run>, client: &ClientConnection) -> Step {
        loop {
            let limits = RelayLimits { deadline: self.deadline, max_pause: self.max_stream_gap() };
            let Run { response, events, .. } = run.as_mut();
            let outcome = relay(response, client, &mut self.stream, events, limits).await;
            if self.stream.is_head_sent {
                self.version.get_or_insert_with(|| run.response.record.version.clone());
            }
            match outcome {
                RelayOutcome::Complete => return self.on_stream_complete(run),
                RelayOutcome::EndUnproven => return self.on_unproven_end(run, client).await,
                RelayOutcome::ClientDisconnected => {
                    return Step::Done(RequestOutcome::ClientDisconnected)
                }
                RelayOutcome::DeadlineExceeded => return self.on_out_of_time(),
                RelayOutcome::ConnectionLost(error) => {
                    return self.on_stream_interrupted(run, &error)
                }
                RelayOutcome::Mismatch(mismatch) => return self.on_run_mismatch(run, mismatch),
                RelayOutcome::Stalled => run = self.replace_stalled_run(run).await,
            }
        }
    }

    fn on_stream_complete(&self, run: Box<Run>) -> Step {
        run.response.return_connection(self.node);
        self.on_success();
        Step::Done(RequestOutcome::Streamed)
    }

    /// Ends the client's stream only if it is proven that the runner's one is whole. Otherwise the run has been interrupted.
    async fn on_unproven_end(&mut self, run: Box<Run>, client: &ClientConnection) -> Step {
        if let Err(error) = self.prove_end(&run.response, run.is_empty()).await {
            return self.on_stream_interrupted(run, &error);
        }
        match complete(&run.response, client, &mut self.stream).await {
            RelayOutcome::Complete => self.on_stream_complete(run),
            _ => Step::Done(RequestOutcome::ClientDisconnected),
        }
    }

    /// Maximum gap between two events before another runner is sought. Only a stream that another
    /// runner can continue has one.
    fn max_stream_gap(&self) -> Duration {
        let may_be_replaced = self.may_run_again() && self.retry_charge.may_succeed();
        let gap = self.route.gap_target_ms.filter(|_| may_be_replaced);
        let max_gap = gap.map(|gap_ms| Duration::from_millis(gap_ms) * STALL_GAP_TARGETS);
        max_gap.map_or(self.time_remaining(), |max_gap| max_gap.max(MIN_STALL_TIMEOUT))
    }

    fn on_out_of_time(&mut self) -> Step {
        self.runs.on_ran();
        self.give_up(EndReason::OutOfTime)
    }

    pub(super) fn interrupted_attempt<'b>(
        &'b self,
        runner: &'b RunnerId,
    ) -> InterruptedAttempt<'b> {
        let tenant = self.tenant.as_ref().map(|tenant| &tenant.name);
        let parts = self.request.suspect_parts();
        InterruptedAttempt { request: self.request, tenant, runner, parts }
    }

    /// Handles a response that broke off, or that was cut because it is too long.
    fn on_broken_response(&self, runner: &RunnerId, error: &ReadError) {
        report_if_too_long(self.node, self.request.metadata.id.as_str(), runner, error);
        if !error.is_lack_of_memory() {
            on_interrupted(self.node, self.interrupted_attempt(runner));
        }
    }

    fn on_stream_interrupted(&mut self, run: Box<Run>, error: &ReadError) -> Step {
        let record = run.response.record.clone();
        drop(run);
        self.on_broken_response(&record.id, error);
        self.log_interruption(&record, &error.to_string());
        self.node.metrics.resumes.inc();
        let runner = record.id;
        self.on_lost(Some(runner))
    }

    /// Handles a run that does not continue the stream. That is no sign of a crash.
    fn on_run_mismatch(&mut self, run: Box<Run>, mismatch: RunMismatch) -> Step {
        let record = run.response.record.clone();
        drop(run);
        self.log_interruption(&record, &mismatch.to_string());
        self.node.metrics.resumes.inc();
        self.runs.on_ran();
        self.excluded.push(record.id);
        self.retry_or_give_up()
    }

    /// Logs that a run ended before its stream was complete.
    pub(super) fn log_interruption(&self, record: &RunnerRecord, cause: &str) {
        let (runner, version) = (record.id.as_str(), record.version.as_str());
        let id = self.request.metadata.id.as_str();
        let after = self.stream.deduplicator.last_id().unwrap_or_default();
        let begun = self.stream.is_head_sent;
        let silent_ms = self.stream.last_event_at.map_or(0, elapsed_ms);
        log::info!(target: "stream", request = id, runner, version, after, begun, cause, silent_ms; "stream interrupted");
    }
}
