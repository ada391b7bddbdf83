//! How many requests of each tenant began to run, by windows of the time of day.
//!
//! Each start of a node counts for itself and tells its counts as totals, so a word that is lost,
//! late or told twice changes nothing: totals of one start are merged by the greater one, and the
//! counts of all starts are added up. The node that has the authority collects them, and with it a
//! deputy, so that what a node had told outlives both the node and the collector.
//!
//! What was fixed for a window is final. It lies in the store, and in the memory of those that fixed it, who tell a
//! new collector of it: the store may come back from a copy without it.

use crate::ids::{NodeId, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Requests that began to run, by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// One start of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The node.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Its start, drawn at random.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// What one start of a node counted in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    #[serde(rename = "w")]
    pub window: u64,
    /// The counts so far.
    #[serde(rename = "c")]
    pub counts: TenantCounts,
}

/// The collector asks the nodes for their counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageQuery {
    /// Identifies the question at the collector.
    pub number: u64,
    /// Who gets the answer: the collector and its deputy.
    #[serde(rename = "answer_to")]
    pub reply_to: Vec<SocketAddr>,
    /// The first window that is asked for.
    pub from_window: u64,
    /// Whether to tell also what others have told: the collector is new.
    #[serde(rename = "relays")]
    pub wants_relayed: bool,
}

/// A start of a node tells its counts, or what it was told by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// Whose counts these are.
    pub origin: Origin,
    /// The question that it answers; `None`: handed on.
    #[serde(rename = "answers")]
    pub in_reply_to: Option<u64>,
    /// The counts.
    pub windows: Vec<WindowCounts>,
    /// What the node that tells it knows to be fixed for all. Former builds tell nothing of it.
    #[serde(rename = "fixed", default, skip_serializing_if = "Vec::is_empty")]
    pub finalized: Vec<WindowCounts>,
}

/// Windows of the time of day, numbered from 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// Length of a window, milliseconds.
    pub length_ms: u64,
}

impl Windows {
    /// The window of a moment, milliseconds since 1970.
    pub fn at(self, time_ms: u64) -> u64 {
        time_ms / self.length_ms.max(1)
    }

    /// When a window is over.
    pub fn end_ms(self, window: u64) -> u64 {
        (window + 1) * self.length_ms
    }
}

type CountsByWindow = BTreeMap<u64, TenantCounts>;

/// What a node has counted, and what others have told it.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    own: CountsByWindow,
    peers: HashMap<Origin, CountsByWindow>,
    /// What is fixed for all nodes.
    finalized: CountsByWindow,
}

/// Windows that are kept: reports are due within two or three, and a store that is away for longer
/// than the rest is left behind.
const RETAINED_WINDOWS: u64 = 8;

impl UsageLedger {
    /// A request of a tenant began to run at this node's word.
    pub fn on_request_started(&mut self, window: u64, tenant: &TenantName) {
        *self.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        let oldest = window.saturating_sub(RETAINED_WINDOWS);
        self.own.retain(|window, _| *window >= oldest);
    }

    /// The counts of a window are fixed for all nodes; the first word on it holds.
    pub fn on_finalized(&mut self, window: u64, counts: TenantCounts) {
        self.finalized.entry(window).or_insert(counts);
        let newest = self.finalized.keys().next_back().copied().unwrap_or_default();
        self.finalized.retain(|window, _| *window + RETAINED_WINDOWS >= newest);
    }

    /// What is fixed for all nodes from a window on, as far as is known here.
    pub fn finalized_since(&self, from_window: u64) -> Vec<WindowCounts> {
        windows_since(&self.finalized, from_window)
    }

    /// What is to be reported of a window: what is fixed, or the requests of all nodes, as far as they are known here.
    pub fn to_report(&self, window: u64) -> TenantCounts {
        self.finalized.get(&window).cloned().unwrap_or_else(|| self.total(window))
    }

    /// This start's counts from a window on.
    pub fn own_since(&self, from_window: u64) -> Vec<WindowCounts> {
        windows_since(&self.own, from_window)
    }

    /// Takes in another start's counts, which never fall.
    pub fn merge(&mut self, message: &UsageMessage) {
        message.finalized.iter().for_each(|it| self.on_finalized(it.window, it.counts.clone()));
        let known = self.peers.entry(message.origin.clone()).or_default();
        for reported in &message.windows {
            let counts = known.entry(reported.window).or_default();
            for (tenant, count) in &reported.counts {
                let highest = counts.entry(tenant.clone()).or_default();
                *highest = (*highest).max(*count);
            }
        }
        let newest = known.keys().next_back().copied().unwrap_or_default();
        known.retain(|window, _| *window + RETAINED_WINDOWS >= newest);
    }

    /// What others have told, from a window on.
    pub fn relayed_since(&self, from_window: u64) -> Vec<UsageMessage> {
        let message = |(origin, counts): (&Origin, &CountsByWindow)| {
            let windows = windows_since(counts, from_window);
            let has_any = !windows.is_empty();
            let (origin, finalized) = (origin.clone(), Vec::new());
            has_any.then_some(UsageMessage { origin, in_reply_to: None, windows, finalized })
        };
        self.peers.iter().filter_map(message).collect()
    }

    /// The requests of all nodes in a window, as far as they are known here.
    pub fn total(&self, window: u64) -> TenantCounts {
        let mut total = TenantCounts::new();
        let all = self.peers.values().chain([&self.own]);
        for (tenant, count) in all.filter_map(|counts| counts.get(&window)).flatten() {
            *total.entry(tenant.clone()).or_default() += count;
        }
        total
    }

    /// Forgets starts of nodes that told nothing of the kept windows.
    pub fn remove_before(&mut self, window: u64) {
        self.own.retain(|known, _| *known >= window);
        self.peers.values_mut().for_each(|counts| counts.retain(|known, _| *known >= window));
        self.peers.retain(|_, counts| !counts.is_empty());
    }
}

fn windows_since(counts: &CountsByWindow, from_window: u64) -> Vec<WindowCounts> {
    let of_window = |(window, counts): (&u64, &TenantCounts)| WindowCounts {
        window: *window,
        counts: counts.clone(),
    };
    counts.range(from_window..).map(of_window).collect()
}

/// When windows are reported, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    /// The windows.
    pub windows: Windows,
    /// Time after the end of a window within which its report is due.
    pub due_ms: u64,
}

/// Time after the end of a window until nobody counts in it any more, milliseconds: a request is
/// counted when its answer begins, which may be late on a busy machine.
const COUNT_SETTLING_MS: u64 = 700;
/// Part of the time until a report is due for which nodes that do not answer are waited for, in
/// hundredths. The rest must do for another node to take over: three seconds until the lease has
/// lapsed and three until the next holder may act.
const MAX_WAIT_PERCENT: u64 = 40;

/// What the collector knows of its questions, for one term of its authority.
#[derive(Clone, Debug, Default)]
pub struct UsageCollector {
    /// When the first question was asked, milliseconds since 1970.
    first_query_ms: Option<u64>,
    /// When questions were asked, by their number, milliseconds since 1970.
    sent_ms: BTreeMap<u64, u64>,
    /// When the last question was asked that a node has answered.
    last_answered_ms: HashMap<NodeId, u64>,
    /// Windows whose counts are fixed.
    finalized: BTreeSet<u64>,
}

impl UsageCollector {
    /// A question has been asked.
    pub fn on_query_sent(&mut self, number: u64, now_ms: u64) {
        const MAX_TRACKED_QUERIES: usize = 32;
        self.first_query_ms.get_or_insert(now_ms);
        self.sent_ms.insert(number, now_ms);
        while self.sent_ms.len() > MAX_TRACKED_QUERIES {
            self.sent_ms.pop_first();
        }
    }

    /// A node has answered a question.
    pub fn on_reply(&mut self, node: &NodeId, number: u64) {
        let Some(sent_ms) = self.sent_ms.get(&number) else { return };
        let latest = self.last_answered_ms.entry(node.clone()).or_default();
        *latest = (*latest).max(*sent_ms);
    }

    /// The counts of a window are fixed.
    pub fn on_finalized(&mut self, window: u64) {
        self.finalized.insert(window);
    }

    /// The first window that is still of interest.
    pub fn first_open_window(&self, schedule: ReportSchedule, now_ms: u64) -> u64 {
        schedule.windows.at(now_ms.saturating_sub(schedule.due_ms)).saturating_sub(1)
    }

    /// Windows whose counts are to be fixed now: all nodes have told what they counted in them, or
    /// those that have not are not waited for any longer.
    pub fn to_finalize<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId> + Clone,
        schedule: ReportSchedule,
        now_ms: u64,
    ) -> Vec<u64> {
        let is_complete = |window: u64| {
            let settled_ms = schedule.windows.end_ms(window) + COUNT_SETTLING_MS;
            nodes.clone().all(|node| {
                let last_answered_ms = self.last_answered_ms.get(node).copied();
                let has_reported = last_answered_ms.is_some_and(|sent_ms| sent_ms >= settled_ms);
                // One that has said nothing for so long is gone: it would hold up every window.
                let silent_since_ms = last_answered_ms.or(self.first_query_ms);
                has_reported
                    || silent_since_ms.is_some_and(|since_ms| now_ms > since_ms + schedule.due_ms)
            })
        };
        let max_wait_ms = schedule.due_ms * MAX_WAIT_PERCENT / 100;
        let is_waited_for = |window: u64| {
            now_ms < schedule.windows.end_ms(window) + max_wait_ms.max(COUNT_SETTLING_MS)
        };
        let first = self.first_open_window(schedule, now_ms);
        let over = first..schedule.windows.at(now_ms);
        let open = over.filter(|window| !self.finalized.contains(window));
        open.filter(|window| is_complete(*window) || !is_waited_for(*window)).collect()
    }
}
