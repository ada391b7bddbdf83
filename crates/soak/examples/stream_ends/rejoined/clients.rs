//! The clients of these scenarios: those that stay until their stream breaks, and those that leave it and come back.

use crate::fleet::HOST;
use crate::DISTURBED_AFTER;
use pitchstall_soak::run_plan::{Framing, RunEnd, RunPlan};
use pitchstall_soak::stream_client::{Fetched, Patience, StreamClient, StreamRequest};
use std::net::SocketAddr;
use std::sync::{Barrier, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Clients that wait for the nodes' return.
const PATIENCE: Patience = Patience { max_tries: 80, pause: Duration::from_millis(50) };

/// When clients that have left take their streams up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takeup {
    /// At once after the last step.
    AfterAllSteps,
    /// Each client after another number of steps, so that some come while steps are performed.
    DuringSteps,
}

/// What the clients of a scenario do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// They read until the stream breaks, and take it up at once.
    Stay,
    /// They leave after an event and take the stream up at another node.
    Leave {
        takeup: Takeup,
        /// Whether the takeup names the try that began the stream.
        names_origin: bool,
        /// The streams begin at this number of nodes, the first ones of the fleet.
        begin_nodes: usize,
    },
}

/// Tells clients how many steps have been performed.
#[derive(Default)]
pub struct StepProgress {
    finished: Mutex<usize>,
    changed: Condvar,
}

impl StepProgress {
    /// Counts a step that has been performed.
    pub fn finish_step(&self) {
        self.advance(|finished| finished + 1);
    }

    /// Lets all clients go on, though steps may have failed.
    pub fn finish_all(&self) {
        self.advance(|_| usize::MAX);
    }

    fn advance(&self, next: impl FnOnce(usize) -> usize) {
        let mut finished = self.finished.lock().unwrap_or_else(PoisonError::into_inner);
        *finished = next(*finished);
        self.changed.notify_all();
    }

    fn wait_for(&self, steps: usize) {
        let finished = self.finished.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.changed.wait_while(finished, |finished| *finished < steps));
    }
}

/// What the clients of one play share.
#[derive(Clone, Copy)]
pub struct ClientPlay<'a> {
    /// Addresses of all nodes.
    pub nodes: &'a [SocketAddr],
    /// What they do.
    pub clients: Clients,
    /// Passed by all clients before the first step.
    pub begun: &'a Barrier,
    pub progress: &'a StepProgress,
    /// Number of steps of the scenario.
    pub steps: usize,
}

impl ClientPlay<'_> {
    /// Reads the stream with this number to its end.
    pub fn read_stream(self, stream: usize) -> Fetched {
        match self.clients {
            Clients::Stay => self.read_without_absence(stream),
            Clients::Leave { takeup, names_origin, begin_nodes } => {
                let request = StreamRequest { names_origin, ..request() };
                let mut client = StreamClient::new(self.nodes, stream % begin_nodes, request);
                client.read(Some(DISTURBED_AFTER), |_, _| {});
                self.begun.wait();
                self.progress.wait_for(match takeup {
                    Takeup::AfterAllSteps => self.steps,
                    Takeup::DuringSteps => 1 + stream % self.steps.max(1),
                });
                client.read(None, |_, _| {});
                client.into_fetched()
            }
        }
    }

    fn read_without_absence(self, stream: usize) -> Fetched {
        let mut client = StreamClient::new(self.nodes, stream % self.nodes.len(), request());
        self.begun.wait();
        client.read(None, |_, _| {});
        client.into_fetched()
    }
}

fn request() -> StreamRequest<'static> {
    let plan = RunPlan {
        framing: Framing::Chunked,
        end: RunEnd::Whole,
        after: DISTURBED_AFTER,
        is_split: false,
    };
    StreamRequest {
        host: HOST,
        key: None,
        path: "/resumable/",
        is_resumable: true,
        http_version: "1.1",
        plan,
        patience: PATIENCE,
        names_origin: true,
    }
}
