//! Records what clients, runners and the soak itself observe, with timestamps of one clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// How often and where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that may be resumed on another runner.
    ResumableStream,
    /// Crashes every runner that runs it. Clients send it repeatedly with the same body.
    Poison {
        /// Index among the seed's poison requests.
        number: usize,
    },
    /// Asks for the route that only a configuration version and its successor have, which shows the
    /// version in force.
    Probe {
        /// The configuration version whose route is requested.
        version: u64,
    },
}

/// Result of an exchange, as the client observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response that is complete according to its framing.
    Complete {
        /// HTTP status code.
        status: u16,
        /// The request id that the response echoes.
        echoed_id: Option<String>,
        /// Decoded body.
        body: Vec<u8>,
    },
    /// The connection failed or timed out before the response was complete.
    Disconnected,
    /// The received bytes are not an HTTP response.
    Malformed,
    /// The connection could not be established; nothing was sent.
    NotSent,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client sends a request to a node.
    Sent {
        /// Id of the request.
        request: String,
        /// The kind of the request.
        kind: RequestKind,
        /// Index of the node.
        node: usize,
    },
    /// A client's exchange with a node has ended.
    Ended {
        /// Id of the request.
        request: String,
        /// How the exchange ended.
        outcome: Outcome,
    },
    /// A runner starts to run a request.
    Ran {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
        /// The request body that the runner received.
        body: Vec<u8>,
    },
    /// A runner will abort the stream that it has started for a request.
    StreamAborted {
        /// Id of the request.
        request: String,
    },
    /// An incarnation of a runner starts. No request can have arrived at it before.
    RunnerStarted {
        /// Id of the runner, which all its incarnations share.
        runner: String,
    },
    /// A runner begins to crash. It may still respond until its process has ended.
    RunnerCrashed {
        /// Id of the runner.
        runner: String,
        /// Id and index of the poison request that caused the crash; `None` if the crash had
        /// another cause.
        cause: Option<(String, usize)>,
    },
    /// A node loses its links to all runners, or has them back.
    NodeLinksCut {
        /// Index of the node.
        node: usize,
        /// Whether the links are lost from now on.
        begins: bool,
    },
    /// A runner received a request without the name of its tenant, or with the tenant's API key.
    TenantIdentityFault {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
    },
    /// A runner runs a request of a tenant that has a limit.
    Charged {
        /// Id of the request.
        request: String,
        /// Name of the tenant.
        tenant: &'static str,
        /// Units that the run costs.
        units: u64,
    },
    /// From now on, at most `max_units` of a tenant may run in any window.
    TenantLimitSet {
        /// Name of the tenant.
        tenant: &'static str,
        /// Length of a window, microseconds.
        window_us: u64,
        /// Maximum number of units in a window.
        max_units: u64,
    },
    /// The connection between the two regions is cut or restored.
    RegionsCut {
        /// `true` if the cut begins, `false` if it ends.
        begins: bool,
    },
    /// The cloud interface has accepted the usage report of a window.
    UsageReported {
        /// Number of the window.
        window: u64,
        /// The reported counts, as text.
        counts: String,
    },
    /// A runner receives an order to change its role, whether or not it obeys.
    OrderReceived {
        /// Id of the runner.
        runner: String,
        /// The holder of the authority that sent the order.
        holder: String,
        /// Fencing token of the order.
        fence: u64,
    },
    /// The store has acknowledged a configuration.
    Configured {
        /// Version of the configuration.
        version: u64,
    },
    /// The store has acknowledged that a runner is draining.
    Draining {
        /// Id of the runner.
        runner: String,
    },
    /// A request arrives at a runner, which may run or decline it.
    Arrived {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
    },
    /// A runner announces in its response to a request that it is leaving.
    LeavingReported {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
    },
    /// A runner declines a request and asks the node that sent it for a pause.
    BackoffRequested {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
        /// Length of the pause, microseconds.
        backoff_us: u64,
    },
    /// A runner starts to report a limit, changes it, or stops reporting one.
    LimitChanged {
        /// Id of the runner.
        runner: String,
        /// The rate that the runner accepts from all nodes together, thousandths of a request per
        /// second; `None` if it reports no limit.
        milli_requests_per_s: Option<u64>,
    },
    /// A runner reports its limit in the response to a request.
    LimitReported {
        /// Id of the request.
        request: String,
        /// Id of the runner.
        runner: String,
    },
    /// A fault begins or ends at a node, at one of its links or at the store.
    Disturbed {
        /// Index of the node; `None` if the fault affects all nodes.
        node: Option<usize>,
    },
    /// A fault begins or ends at the link to a runner.
    RunnerLinkDisturbed,
    /// The process of a node starts.
    NodeStarted {
        /// Index of the node.
        node: usize,
    },
    /// A node is told to shut down gracefully.
    PlannedStop {
        /// Index of the node.
        node: usize,
    },
}

/// Time since the start of the recording, microseconds, and the event.
pub type TimedEvent = (u64, Event);

/// Records events of all threads. Clones share one list.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    events: Arc<Mutex<Vec<TimedEvent>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { started: Instant::now(), events: Arc::default() }
    }
}

impl Recorder {
    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let mut events = self.lock();
        let at_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        events.push((at_us, event));
    }

    /// A copy of all events recorded so far, in order of time.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
