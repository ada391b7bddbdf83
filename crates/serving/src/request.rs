//! Metadata of requests and responses that a node evaluates; everything else is opaque to it.

use crate::ids::{RunnerId, RunnerName, TenantName};
use crate::prefix::Prompt;
use crate::runner_notice::RunnerNotice;
use crate::tenancy::Credential;
use std::net::SocketAddr;

/// What a client states about a request in its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The client's id for this try; every attempt carries it unchanged.
    pub id: String,
    /// Time for which the client waits, in milliseconds; `None` if it states none.
    pub deadline_ms: Option<u64>,
    /// The prompt; `None` if the request is not for a language model.
    pub prompt: Option<Prompt>,
    /// Whether the request states the token counts of its prompt and of its maximum output.
    pub has_token_counts: bool,
    /// Id of the last stream event that the client has received; `None` for a new stream.
    pub last_event_id: Option<u64>,
    /// Id of the try that brought the first event of the stream that the request resumes; `None` if the client names
    /// none.
    pub resumed_stream: Option<String>,
    /// The credential that identifies the sender.
    pub credential: Credential,
}

/// The work that an attempt asks of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Runs the request, including the prefill if it has a prompt.
    Run,
    /// Only prefills the prompt and keeps the KV cache under a handle.
    Prefill,
    /// Runs the request with the KV cache that another runner has prefilled.
    DecodeFrom(KvHandle),
}

/// The KV cache of one request's prompt, held by the runner that prefilled it. It may be taken
/// once, and only for that request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvHandle {
    /// Address of the runner that holds the KV cache.
    pub address: SocketAddr,
    /// The name that the runner gave to the KV cache.
    pub name: String,
}

/// Instructions that are sent to a runner with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptInstructions {
    /// Time until the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The only runner that may run the attempt.
    pub runner: RunnerId,
    /// Rank of the attempt at the runner, 0 first; `None` sends no rank.
    pub priority: Option<u8>,
    /// What the runner does with the request.
    pub work: Work,
    /// The stream resumes after this event; `None` starts it from the beginning.
    pub after_event: Option<u64>,
    /// The runner from which to fetch the cached prefix of the prompt first; `None` fetches
    /// nothing.
    pub fetch_from: Option<SocketAddr>,
    /// The tenant for whom the request runs; `None` states no tenant to the runner.
    pub tenant: Option<TenantName>,
}

/// What the head of a runner's response states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Whether the head may have lost its last lines: what it does not say shows nothing.
    pub may_have_lost_lines: bool,
    /// Id of the request to which the response belongs.
    pub request_id: Option<String>,
    /// Whether the response carries a runner's signature.
    pub is_signed: bool,
    /// Whether the runner states that it has not run the request and never will.
    pub is_declined: bool,
    /// Whether a runner other than the addressed one has responded.
    pub is_misdirected: bool,
    /// Whether an intermediary has encoded the body.
    pub is_encoded: bool,
    /// The load that the runner reports; `None` if it reports none.
    pub load: Option<crate::runner::LoadReport>,
    /// The runner that responds, if it states its name.
    pub instance: Option<RunnerName>,
    /// Further notices of the runner about itself.
    pub notice: RunnerNotice,
    /// Names of the runner's headers that this version does not recognize.
    pub unknown_headers: Vec<String>,
}

impl ResponseMetadata {
    /// Whether the metadata describes this runner. An address may have been reassigned to another
    /// runner, which then states that it was not the addressed one.
    pub fn is_about(&self, runner: &RunnerId) -> bool {
        match &self.instance {
            Some(name) => *name == runner.name(),
            None => !self.is_misdirected,
        }
    }
}
