//! Runs the prefill of a prompt on a prefill runner and holds the KV handle until a decode runner uses it or it is
//! released.

use crate::attempt::{self, AttemptEnd, AttemptParams};
use crate::clock::Instant;
use crate::http::request::encode_request;
use crate::http::{BodyEnd, ReadError};
use crate::intake::ClientRequest;
use crate::interrupted_attempt::{on_interrupted, InterruptedAttempt};
use crate::node::Node;
use crate::prepared_connection::PreparedConnection;
use crate::response_memory::report_if_too_long;
use crate::runner_connection;
use pitchstall_platform_adapter::paths;
use pitchstall_serving::ids::{RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::prefill_speed::PrefillSample;
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::request::KvHandle;
use pitchstall_serving::runner::RunnerRecord;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const OK: u16 = 200;

/// Maximum time for releasing a handle. A handle that is not released expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Statuses of a response that says that a handle was released.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// The KV cache of a prefilled prompt. Its handle is released on drop, unless a decode runner has used it.
pub struct PrefilledPrompt {
    /// Handle of the KV cache on the prefill runner.
    pub handle: KvHandle,
    /// Zone of the prefill runner.
    pub zone: ZoneId,
    node: Rc<Node>,
    /// The registry record of the prefill runner.
    record: Box<RunnerRecord>,
    is_transferred: Cell<bool>,
}

impl PrefilledPrompt {
    /// Records that a decode runner has taken over the KV cache, so that its handle is not released.
    pub fn mark_transferred(&self) {
        self.is_transferred.set(true);
    }
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        if !self.is_transferred.get() {
            let name = self.handle.name.clone();
            ntex::rt::spawn(release_handle(self.node.clone(), self.record.clone(), name));
        }
    }
}

async fn release_handle(node: Rc<Node>, record: Box<RunnerRecord>, name: String) {
    let exchange = async {
        let connection = runner_connection::open(&node, &record, &None).await.ok()?;
        let headers = [("host".to_owned(), record.address.to_string().into_bytes())];
        let target = paths::kv_handle_path(&name);
        let pending = connection.send(encode_request("DELETE", &target, &headers, &[])).ok()?;
        pending.read_head().await.ok().map(|response| response.head.status)
    };
    let status = timeout(RELEASE_TIMEOUT, exchange).await.ok().flatten();
    let freed = status.is_some_and(|status| SUCCESS.contains(&status));
    log::info!(target: "reading", runner = record.id.as_str(), handle = name, freed; "release of KV handle requested");
}

/// How the attempt to prefill a prompt on a prefill runner ended.
pub enum PrefillOutcome {
    /// The runner has prefilled the prompt and returned a KV handle.
    Prefilled(PrefilledPrompt),
    /// The runner stated that it has not run the prefill and will not do so.
    Declined,
    /// The prefill failed, timed out or returned no handle. It may be repeated.
    Failed,
    /// This node's link to the runner was lost. The prefill may be repeated at the same runner.
    LinkLost,
}

/// A prefill that is sent to a chosen runner.
pub struct PrefillRequest<'a> {
    /// The client's request, which is forwarded to the prefill runner.
    pub request: &'a ClientRequest,
    /// The service, whose prefill speed the measured time updates.
    pub service: &'a ServiceName,
    /// The prompt, whose shared prefixes the runner caches by prefilling it.
    pub prompt: &'a Prompt,
    /// The prefill runner, with the number of tokens that it is expected to prefill.
    pub choice: &'a RunnerChoice,
}

/// Sends a request to a prefill runner and waits for the KV handle.
pub async fn run_prefill(
    node: &Rc<Node>,
    prefill: &PrefillRequest<'_>,
    prepared: PreparedConnection,
    params: &AttemptParams,
) -> PrefillOutcome {
    let started_at = Instant::now();
    let runner = prepared.record().id.clone();
    let tokens = prefill.choice.prefill_tokens();
    let was_unqueued = node.has_no_other_requests(&runner, tokens);
    let response = match attempt::send(node, prefill.request, prepared, params).await {
        AttemptEnd::Responding(response) => response,
        AttemptEnd::Declined(_) => return PrefillOutcome::Declined,
        AttemptEnd::NoResponse | AttemptEnd::Lost => return PrefillOutcome::Failed,
        AttemptEnd::LinkLost => return PrefillOutcome::LinkLost,
    };
    let received = match timeout(params.head_timeout, response.read_all()).await {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => {
            on_broken_response(node, prefill, &runner, params, &error);
            return PrefillOutcome::Failed;
        }
        Err(_) => return PrefillOutcome::Failed,
    };
    let prefill_result = if received.response.status == OK {
        paths::parse_prefill_response(&received.response.body)
    } else {
        None
    };
    let Some(prefill_result) = prefill_result else {
        // Neither the framing nor the content shows that the response is whole: the runner may have been killed.
        if received.end == BodyEnd::Unproven && received.response.status == OK {
            on_interrupted(node, interrupted_prefill(prefill, &runner, params));
        }
        return PrefillOutcome::Failed;
    };
    // The handle is valid whichever incarnation of the runner returned it. If it is not the known incarnation, the
    // state recorded for that one no longer applies.
    match runner.matches_start(prefill_result.started_at_ms) {
        true => node.on_prefix_cached(&runner, prefill.prompt.shared_prefix()),
        false => node.on_incarnation_mismatch(&runner, prefill_result.started_at_ms),
    }
    let name = prefill_result.value;
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    let sample = PrefillSample { tokens, elapsed_ms, was_unqueued };
    node.on_prefill_measured(prefill.service, &runner, sample);
    let record = response.record.clone();
    response.return_connection(node);
    PrefillOutcome::Prefilled(PrefilledPrompt {
        handle: KvHandle { address: record.address, name },
        zone: record.zone.clone(),
        node: node.clone(),
        record: Box::new(record),
        is_transferred: Cell::new(false),
    })
}

/// Handles a response that could not be read to its end.
fn on_broken_response(
    node: &Rc<Node>,
    prefill: &PrefillRequest<'_>,
    runner: &RunnerId,
    params: &AttemptParams,
    error: &ReadError,
) {
    let request = prefill.request.metadata.id.as_str();
    report_if_too_long(node, request, runner, error);
    let is_runners_failure = !error.is_lack_of_memory();
    let error = error.to_string();
    log::info!(target: "reading", request, runner = runner.as_str(), error; "prefill response interrupted");
    if is_runners_failure {
        on_interrupted(node, interrupted_prefill(prefill, runner, params));
    }
}

/// A prefill that ended before its response was known to be whole.
fn interrupted_prefill<'a>(
    prefill: &'a PrefillRequest<'_>,
    runner: &'a RunnerId,
    params: &'a AttemptParams,
) -> InterruptedAttempt<'a> {
    let tenant = params.tenant.as_ref();
    InterruptedAttempt { request: prefill.request, tenant, runner, parts: &[] }
}
