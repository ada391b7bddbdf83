//! Crashes of runners as nodes tell each other of them and keep them in the store.

use crate::ids::RunnerId;
use crate::request_identity::RequestIdentity;
use serde::{Deserialize, Serialize};

/// A runner that crashed while a request was in progress there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// The request that was in progress.
    pub request: RequestIdentity,
    /// The runner that crashed.
    pub runner: RunnerId,
}

/// The value stored for a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// When the crash was observed, in milliseconds since 1970.
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub at_ms: u64,
    /// Position of the part in its prompts; `None` for a whole request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub depth: Option<u8>,
    /// Whether a runner had completed a response on the part before it. Nodes keep the proven parts in memory, so this
    /// is all that remains of them once every node has been restarted. Builds that do not know the field leave it out.
    #[serde(rename = "proven", default, skip_serializing_if = "std::ops::Not::not")]
    pub was_proven: bool,
}

/// A message that a node sends to all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// A runner crashed with these requests in progress.
    #[serde(rename = "ended")]
    Crashed {
        /// The runner that crashed.
        #[serde(rename = "r")]
        runner: RunnerId,
        /// The requests that were in progress.
        #[serde(rename = "q")]
        requests: Vec<RequestIdentity>,
        /// The parts of their prompts.
        #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<SuspectPart>,
    },
    /// Runners have completed responses on these parts before.
    #[serde(rename = "proven")]
    Proven {
        /// Identities of the parts.
        #[serde(rename = "p")]
        parts: Vec<RequestIdentity>,
    },
    /// A request is cleared: a runner completed it, or an operator lifted its quarantine.
    #[serde(rename = "cleared")]
    Cleared {
        /// Identity of the cleared request.
        #[serde(rename = "q")]
        request: RequestIdentity,
    },
}

/// A prompt part that was in progress at a crash, as it is reported to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// Identity of the part.
    #[serde(rename = "i")]
    pub identity: RequestIdentity,
    /// Its position in the prompt.
    #[serde(rename = "d")]
    pub depth: u8,
}
