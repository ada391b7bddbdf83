//! What callers, runners and the soak itself saw, on one clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that may go on at another runner.
    ResumableStream,
    /// Ends whatever runs it, and comes again and again with the same body.
    Poison {
        /// Which of the seed's such requests.
        number: usize,
    },
    /// Asks which configuration is in force: the version whose own route it names.
    Probe {
        /// The version.
        version: u64,
    },
}

/// How an exchange ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer that its framing calls whole.
    Complete {
        /// The status.
        status: u16,
        /// The id that the answer echoes.
        echoed_id: Option<String>,
        /// The body.
        body: Vec<u8>,
    },
    /// The connection ended within an answer, or before one.
    Disconnected,
    /// What came is no answer.
    Malformed,
    /// No connection could be made; nothing was sent.
    NotSent,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sends a request to a node.
    Sent {
        /// The request's id.
        request: String,
        /// What may be done with it.
        kind: RequestKind,
        /// The node.
        node: usize,
    },
    /// The exchange has ended.
    Ended {
        /// The request's id.
        request: String,
        /// How.
        outcome: Outcome,
    },
    /// A runner runs a request.
    Ran {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
        /// The body that it was given.
        body: Vec<u8>,
    },
    /// A runner is going to break off the stream that it has begun for a request.
    StreamAborted {
        /// The request's id.
        request: String,
    },
    /// A runner ends.
    RunnerCrashed {
        /// The runner.
        runner: String,
        /// The id and the number of the request that ended it; `None`: it ended by itself.
        cause: Option<(String, usize)>,
    },
    /// A runner was given a request without the name of its tenant, or with its key.
    TenantIdentityFault {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
    },
    /// A runner runs a request of a tenant with a limit.
    Charged {
        /// The request's id.
        request: String,
        /// The tenant.
        tenant: &'static str,
        /// What the run costs.
        units: u64,
    },
    /// From now on no more than so many units of a tenant may run in any window.
    TenantLimitSet {
        /// The tenant.
        tenant: &'static str,
        /// Length of the windows, microseconds.
        window_us: u64,
        /// The most.
        max_units: u64,
    },
    /// Two regions are cut off from each other, or that ends.
    RegionsCut {
        /// Whether it begins.
        begins: bool,
    },
    /// The platform has taken the usage report of a window.
    UsageReported {
        /// The window.
        window: u64,
        /// Its counts.
        counts: String,
    },
    /// A runner takes an order.
    OrderReceived {
        /// The runner.
        runner: String,
        /// Who gives it.
        holder: String,
        /// Its fencing token.
        fence: u64,
    },
    /// The store has acknowledged a configuration.
    Configured {
        /// Its version.
        version: u64,
    },
    /// The store has acknowledged that a runner leaves.
    Draining {
        /// The runner.
        runner: String,
    },
    /// A request arrives at a runner, whatever becomes of it there.
    Arrived {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
    },
    /// A runner says in its answer to a request that it leaves.
    LeavingReported {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
    },
    /// A runner turns a request away and says for how long it wants none from the node that has sent it.
    BackoffRequested {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
        /// For how long, microseconds.
        backoff_us: u64,
    },
    /// A runner begins to name a limit, names another one, or (`None`) ceases to name one.
    LimitChanged {
        /// The runner.
        runner: String,
        /// What it takes from all nodes together, thousandths of a request a second.
        milli_requests_per_s: Option<u64>,
    },
    /// A runner names its limit in the answer to a request.
    LimitReported {
        /// The request's id.
        request: String,
        /// The runner.
        runner: String,
    },
    /// A fault begins or ends at a node, at its links or at the store (`None`: at all nodes).
    Disturbed {
        /// The node.
        node: Option<usize>,
    },
    /// A fault begins or ends at the link to a runner.
    RunnerLinkDisturbed,
    /// A node's process starts.
    NodeStarted {
        /// The node.
        node: usize,
    },
    /// A node is told to stop, as planned.
    PlannedStop {
        /// The node.
        node: usize,
    },
}

/// An event and its time, microseconds.
pub type TimedEvent = (u64, Event);

/// Records events.
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
    /// Notes an event.
    pub fn record(&self, event: Event) {
        let mut events = self.lock();
        let at_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        events.push((at_us, event));
    }

    /// All events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
