//! Has a prompt read by a prefill runner, and keeps the handle until it is taken or freed.

use crate::attempt::{self, AttemptEnd, AttemptParams, Prepared};
use crate::broken_attempt::{on_broken, BrokenAttempt};
use crate::clock::Instant;
use crate::http::request::request_bytes;
use crate::http::Upstream;
use crate::intake::ClientRequest;
use crate::node::Node;
use pitchstall_platform_adapter::paths;
use pitchstall_serving::ids::{RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::RunnerChoice;
use pitchstall_serving::prefill_speed::PrefillSample;
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::request::KvHandle;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time to free a handle. One that is not freed lapses by itself.
const FREE_LIMIT: Duration = Duration::from_millis(1_000);

/// The KV cache of a prompt that was read. Freed when dropped, unless it was taken.
pub struct ReadPrompt {
    /// The handle.
    pub handle: KvHandle,
    /// Zone of the runner that keeps it.
    pub zone: ZoneId,
    runner: RunnerId,
    taken: Cell<bool>,
}

impl ReadPrompt {
    /// A decode runner has taken it over.
    pub fn on_taken(&self) {
        self.taken.set(true);
    }
}

impl Drop for ReadPrompt {
    fn drop(&mut self) {
        if !self.taken.get() {
            let name = self.handle.name.clone();
            ntex::rt::spawn(free(self.handle.address, name, self.runner.clone()));
        }
    }
}

async fn free(address: std::net::SocketAddr, name: String, runner: RunnerId) {
    let exchange = async {
        let connection = Upstream::open(address, FREE_LIMIT).await.ok()?;
        let headers = [("host".to_owned(), address.to_string().into_bytes())];
        let target = paths::free_handle(&name);
        connection.send(request_bytes("DELETE", &target, &headers, &[])).ok()?;
        connection.read_head().await.ok()
    };
    let freed = matches!(timeout(FREE_LIMIT, exchange).await, Ok(Some(_)));
    log::info!(target: "reading", runner = runner.as_str(), handle = name, freed; "handle freed");
}

/// How the reading of a prompt ended.
pub enum ReadingEnd {
    /// It was read.
    Read(ReadPrompt),
    /// The runner declined it.
    Declined,
    /// It failed; reading may be repeated.
    Failed,
}

/// The request whose prompt is to be read.
pub struct ReadingDemand<'a> {
    /// The request.
    pub request: &'a ClientRequest,
    /// Its service.
    pub service: &'a ServiceName,
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// Who is to read it.
    pub choice: &'a RunnerChoice,
}

/// Sends a request to be read only.
pub async fn read_prompt(
    node: &Rc<Node>,
    demand: &ReadingDemand<'_>,
    prepared: Prepared,
    params: &AttemptParams,
) -> ReadingEnd {
    let begun = Instant::now();
    let runner = prepared.record().id.clone();
    let tokens = demand.choice.prefill_tokens();
    let was_unqueued = node.has_no_other_requests(&runner, tokens);
    let answering = match attempt::send(node, demand.request, prepared, params).await {
        AttemptEnd::Answering(answering) => answering,
        AttemptEnd::Declined => return ReadingEnd::Declined,
        AttemptEnd::Silent | AttemptEnd::Lost => return ReadingEnd::Failed,
    };
    let answer = match timeout(params.head_limit, answering.read_whole()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            let (request, error) = (demand.request.facts.id.as_str(), error.to_string());
            log::info!(target: "reading", request, runner = runner.as_str(), error; "broken off");
            let tenant = params.tenant.as_ref();
            let broken = BrokenAttempt { request: demand.request, tenant, runner: &runner };
            on_broken(node, broken);
            return ReadingEnd::Failed;
        }
        Err(_) => return ReadingEnd::Failed,
    };
    let read = if answer.status == 200 { paths::parse_prompt_read(&answer.body) } else { None };
    let Some(read) = read else { return ReadingEnd::Failed };
    // The handle holds whichever life has given it; what else is believed of this one is over.
    match runner.matches_start(read.born_ms) {
        true => node.on_prefix_cached(&runner, demand.prompt.shared_prefix()),
        false => node.on_incarnation_mismatch(&runner, read.born_ms),
    }
    let name = read.what;
    let elapsed_ms = begun.elapsed().as_secs_f64() * 1_000.0;
    let sample = PrefillSample { tokens, elapsed_ms, was_unqueued };
    node.on_prefill_measured(demand.service, &runner, sample);
    let handle = KvHandle { address: answering.record.address, name };
    let zone = answering.record.zone.clone();
    answering.give_back(node);
    ReadingEnd::Read(ReadPrompt { handle, zone, runner, taken: Cell::new(false) })
}
