//! What a node believes of an engine's load: its last report, which is always somewhat old,
//! corrected by what the node itself has sent there since.

use pitchstall_protocol::engine::{EngineReport, EngineState};
use pitchstall_protocol::ids::{EngineId, RequestId};
use std::collections::BTreeMap;

/// Work that this node has sent to an engine and that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentWork {
    /// When it was sent, microseconds.
    pub sent_us: u64,
    /// Prompt tokens to read there; zero once the first token is back.
    pub prompt_tokens: u64,
    /// Output tokens still to write there.
    pub output_tokens: u64,
}

/// The load of one engine.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// The last report.
    pub report: EngineReport,
    /// When the report was made at the earliest, microseconds.
    pub reported_us: u64,
    sent: BTreeMap<RequestId, SentWork>,
    named_leaving: bool,
}

impl EngineLoad {
    /// The load as reported.
    pub fn new(report: EngineReport, reported_us: u64) -> Self {
        Self { report, reported_us, sent: BTreeMap::new(), named_leaving: false }
    }

    /// Takes a report if it is newer than the last.
    pub fn on_report(&mut self, report: EngineReport, reported_us: u64) -> bool {
        let newer = report.report > self.report.report
            || report.standing.fence > self.report.standing.fence;
        if newer {
            let known = std::mem::replace(&mut self.report, report);
            // A report that was made before the last order says nothing of what followed it.
            if self.report.standing.fence < known.standing.fence {
                self.report.standing = known.standing;
            }
        }
        self.reported_us = self.reported_us.max(reported_us);
        newer
    }

    /// The engine, by name.
    pub fn engine(&self) -> &EngineId {
        &self.report.engine
    }

    /// The membership list names the engine as leaving. No later word of the engine itself
    /// takes that back: it may not know yet.
    pub fn name_leaving(&mut self) {
        self.named_leaving = true;
    }

    /// Whether the engine stays, as far as known at `now_us`: it was heard of lately and
    /// nobody says that it leaves.
    pub fn stays(&self, now_us: u64, silent_after_us: u64) -> bool {
        !self.named_leaving
            && self.report.standing.state != EngineState::Leaving
            && now_us.saturating_sub(self.reported_us) < silent_after_us
    }

    /// Whether the engine takes work, as far as known at `now_us`.
    pub fn takes_work(&self, now_us: u64, silent_after_us: u64) -> bool {
        self.report.standing.state == EngineState::Ready && self.stays(now_us, silent_after_us)
    }

    /// Work was sent.
    pub fn on_sent(&mut self, request: RequestId, work: SentWork) {
        self.sent.insert(request, work);
    }

    /// The prompt of a request has been read.
    pub fn on_first_token(&mut self, request: &RequestId) {
        if let Some(work) = self.sent.get_mut(request) {
            work.prompt_tokens = 0;
        }
    }

    /// Work has ended.
    pub fn on_ended(&mut self, request: &RequestId) {
        self.sent.remove(request);
    }

    fn sent_since_report(&self) -> impl Iterator<Item = &SentWork> {
        self.sent.values().filter(|work| work.sent_us >= self.reported_us)
    }

    /// Sequences running or waiting.
    pub fn sequences(&self) -> u64 {
        let reported = u64::from(self.report.running) + u64::from(self.report.waiting);
        let since = self.sent_since_report().count() as u64;
        (reported + since).max(self.sent.len() as u64)
    }

    /// Prompt tokens that will be read before those of a new request.
    pub fn prompt_tokens_ahead(&self) -> u64 {
        let since: u64 = self.sent_since_report().map(|work| work.prompt_tokens).sum();
        let own: u64 = self.sent.values().map(|work| work.prompt_tokens).sum();
        (self.report.waiting_prompt_tokens + since).max(own)
    }
}
