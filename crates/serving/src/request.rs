//! What a node needs to know of a request; everything else in it is opaque.

use crate::ids::{RunnerId, RunnerName, TenantName};
use crate::prefix::Prompt;
use crate::runner_notice::RunnerNotice;
use crate::tenancy::Credential;
use std::net::SocketAddr;

/// A request's own words on itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The client's id for this try; every attempt carries it unchanged.
    pub id: String,
    /// Milliseconds for which the client waits.
    pub deadline_ms: Option<u64>,
    /// The prompt, if the request is for a language model.
    pub prompt: Option<Prompt>,
    /// Whether it tells how many tokens its prompt has and how many it may write.
    pub has_token_counts: bool,
    /// Id of the last event that the client has of a stream.
    pub last_event_id: Option<u64>,
    /// What it shows of who sent it.
    pub credential: Credential,
}

/// What a runner is asked to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Run it, reading the prompt if there is one.
    Run,
    /// Only read its prompt and keep the KV cache under a handle.
    Prefill,
    /// Run it with the KV cache that another runner has read.
    DecodeFrom(KvHandle),
}

/// KV cache of one request's prompt, kept by the runner that read it. It may be taken once,
/// and only for that request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvHandle {
    /// The runner's address.
    pub address: SocketAddr,
    /// The runner's name for it.
    pub name: String,
}

/// Instructions that go with one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptInstructions {
    /// Milliseconds that are left.
    pub deadline_ms: u64,
    /// Only this runner may run it.
    pub runner: RunnerId,
    /// Rank, 0 first.
    pub priority: Option<u8>,
    /// What to do.
    pub work: Work,
    /// The stream goes on after this event.
    pub after_event: Option<u64>,
    /// The runner first takes over what this one holds of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The tenant for whom it runs.
    pub tenant: Option<TenantName>,
}

/// What the head of a runner's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it carries a runner's signature.
    pub signed: bool,
    /// Whether the runner says that it has not run the request and never will.
    pub not_run: bool,
    /// Whether another runner answered than the one that was meant.
    pub misdirected: bool,
    /// Whether the body was encoded by somebody on the way.
    pub encoded: bool,
    /// The runner's load.
    pub load: Option<crate::runner::LoadReport>,
    /// The runner that answers, if it names itself.
    pub instance: Option<RunnerName>,
    /// What else the runner says of itself.
    pub notice: RunnerNotice,
    /// Names of headers in which it says something of itself that is not known here.
    pub unknown_headers: Vec<String>,
}

impl ResponseMetadata {
    /// Whether what it says of its runner is said by this one. An address may have been given to another runner,
    /// which says then that it was not meant.
    pub fn is_about(&self, runner: &RunnerId) -> bool {
        match &self.instance {
            Some(name) => *name == runner.name(),
            None => !self.misdirected,
        }
    }
}
