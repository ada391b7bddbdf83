//! Counts the requests that started to run, per tenant and time window.
//!
//! Each incarnation of a node keeps its own counts and reports them as totals, so lost, delayed or
//! duplicated messages change nothing: totals of one incarnation are merged by taking the maximum,
//! and the totals of all incarnations are added up. The node that holds the authority collects
//! them. It has a deputy that receives them too, so that reported counts survive the failure of
//! both the reporting node and the collector.
//!
//! The counts of a window are final once they are finalized. They are kept in the store and in the
//! memory of the nodes that finalized them, which report them to a new collector: the store may be
//! restored from a backup without them.

use crate::ids::{NodeId, TenantName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Number of requests that started to run, by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Identifier of the node.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Random number that identifies the incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The counts of one incarnation of a node in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window, see [`Windows`].
    #[serde(rename = "w")]
    pub window: u64,
    /// The totals so far.
    #[serde(rename = "c")]
    #[serde(deserialize_with = "crate::bounded::tenant_counts")]
    pub counts: TenantCounts,
}

/// Asks the nodes for their counts; sent by the collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageQuery {
    /// Identifies the query at the collector.
    pub number: u64,
    /// Where replies are sent: the collector and its deputy.
    #[serde(rename = "answer_to")]
    pub reply_to: Vec<SocketAddr>,
    /// The first window to report; all later ones are reported as well.
    pub from_window: u64,
    /// Whether nodes also report the counts that they received from others, as the collector is
    /// new.
    #[serde(rename = "relays")]
    pub wants_relayed: bool,
}

/// Reports the counts of one incarnation of a node, sent by that node or relayed by another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// The incarnation that counted the requests.
    pub origin: Origin,
    /// Number of the query that this message replies to; `None` if it is relayed.
    #[serde(rename = "answers")]
    pub in_reply_to: Option<u64>,
    /// Counts of that incarnation, one element for each window.
    pub windows: Vec<WindowCounts>,
    /// Finalized windows that the sender knows. Earlier versions do not send them.
    #[serde(rename = "fixed", default, skip_serializing_if = "Vec::is_empty")]
    pub finalized: Vec<WindowCounts>,
}

/// Time windows of equal length, numbered from 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// Length of a window, in milliseconds.
    pub length_ms: u64,
}

impl Windows {
    /// The window that contains a time, given in milliseconds since 1970.
    pub fn at(self, time_ms: u64) -> u64 {
        time_ms / self.length_ms.max(1)
    }

    /// The end of a window, in milliseconds since 1970.
    pub fn end_ms(self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }
}

type CountsByWindow = BTreeMap<u64, TenantCounts>;

/// The counts of this node and those that it received from others.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    own: CountsByWindow,
    peers: HashMap<Origin, CountsByWindow>,
    /// Finalized windows, which are the same on all nodes.
    finalized: CountsByWindow,
}

/// Number of windows that are retained. Reports are due within two or three windows; if the store
/// is unavailable for longer than the rest, older windows are dropped.
const RETAINED_WINDOWS: u64 = 8;

impl UsageLedger {
    /// Counts a request that this node started to run.
    pub fn on_request_started(&mut self, window: u64, tenant: &TenantName) {
        *self.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        let oldest = window.saturating_sub(RETAINED_WINDOWS);
        self.own.retain(|window, _| *window >= oldest);
    }

    /// Stores the finalized counts of a window. The first counts that are stored for a window win.
    pub fn on_finalized(&mut self, window: u64, counts: TenantCounts) {
        self.finalized.entry(window).or_insert(counts);
        let newest = self.finalized.keys().next_back().copied().unwrap_or_default();
        self.finalized.retain(|window, _| window.saturating_add(RETAINED_WINDOWS) >= newest);
    }

    /// The finalized windows that are known here, from `from_window` on.
    pub fn finalized_since(&self, from_window: u64) -> Vec<WindowCounts> {
        windows_since(&self.finalized, from_window)
    }

    /// The counts to report for a window: the finalized ones, or else the sum over all nodes that
    /// is known here.
    pub fn to_report(&self, window: u64) -> TenantCounts {
        self.finalized.get(&window).cloned().unwrap_or_else(|| self.total(window))
    }

    /// The counts of this incarnation, from `from_window` on.
    pub fn own_since(&self, from_window: u64) -> Vec<WindowCounts> {
        windows_since(&self.own, from_window)
    }

    /// Merges the counts of another incarnation, which never decrease.
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
        known.retain(|window, _| window.saturating_add(RETAINED_WINDOWS) >= newest);
    }

    /// The counts received from others, from `from_window` on.
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
            let sum = total.entry(tenant.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        total
    }

    /// Removes windows before `window`, and incarnations that have no later one.
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

/// When usage windows are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSchedule {
    /// Length and numbering of the windows.
    pub windows: Windows,
    /// Time after the end of a window within which its report is due, in milliseconds.
    pub due_ms: u64,
}

/// Time after the end of a window until its counts no longer change, in milliseconds. A request is
/// counted when its response starts, which may be late on a busy machine.
const COUNT_SETTLING_MS: u64 = 700;
/// Maximum wait for nodes that do not reply, as a percentage of the time until the report is due.
/// The rest is needed for another node to take over: 3 s until the lease expires, and 3 s until the
/// next holder may act.
const MAX_WAIT_PERCENT: u64 = 40;

/// The queries of a collector and their replies, during one term of its authority.
#[derive(Clone, Debug, Default)]
pub struct UsageCollector {
    /// When the first query was sent, in milliseconds since 1970.
    first_query_ms: Option<u64>,
    /// When each query was sent, by query number, in milliseconds since 1970.
    sent_ms: BTreeMap<u64, u64>,
    /// For each node, when the latest query that it has replied to was sent, in milliseconds since
    /// 1970.
    last_replied_query_ms: HashMap<NodeId, u64>,
    /// Windows whose counts are finalized.
    finalized: BTreeSet<u64>,
}

impl UsageCollector {
    /// Records that a query was sent.
    pub fn on_query_sent(&mut self, number: u64, now_ms: u64) {
        const MAX_TRACKED_QUERIES: usize = 32;
        self.first_query_ms.get_or_insert(now_ms);
        self.sent_ms.insert(number, now_ms);
        while self.sent_ms.len() > MAX_TRACKED_QUERIES {
            self.sent_ms.pop_first();
        }
    }

    /// Records a node's reply. Replies to unknown queries are ignored.
    pub fn on_reply(&mut self, node: &NodeId, number: u64) {
        let Some(sent_ms) = self.sent_ms.get(&number) else { return };
        let latest = self.last_replied_query_ms.entry(node.clone()).or_default();
        *latest = (*latest).max(*sent_ms);
    }

    /// Records that the counts of a window are finalized.
    pub fn on_finalized(&mut self, window: u64) {
        self.finalized.insert(window);
    }

    /// The first window that may still have to be reported.
    pub fn first_open_window(&self, schedule: ReportSchedule, now_ms: u64) -> u64 {
        schedule.windows.at(now_ms.saturating_sub(schedule.due_ms)).saturating_sub(1)
    }

    /// Windows to finalize now: all nodes have reported their final counts, or the wait for the
    /// missing nodes has timed out.
    pub fn to_finalize<'a>(
        &self,
        nodes: impl Iterator<Item = &'a NodeId> + Clone,
        schedule: ReportSchedule,
        now_ms: u64,
    ) -> Vec<u64> {
        let is_complete = |window: u64| {
            let settled_ms = schedule.windows.end_ms(window).saturating_add(COUNT_SETTLING_MS);
            nodes.clone().all(|node| {
                let last_replied_query_ms = self.last_replied_query_ms.get(node).copied();
                let has_reported =
                    last_replied_query_ms.is_some_and(|sent_ms| sent_ms >= settled_ms);
                // A node that has been silent for this long is gone; waiting for it would delay
                // every window.
                let last_contact_ms = last_replied_query_ms.or(self.first_query_ms);
                has_reported
                    || last_contact_ms.is_some_and(|since_ms| now_ms > since_ms + schedule.due_ms)
            })
        };
        let max_wait_ms = schedule.due_ms * MAX_WAIT_PERCENT / 100;
        let is_waited_for = |window: u64| {
            let end_ms = schedule.windows.end_ms(window);
            now_ms < end_ms.saturating_add(max_wait_ms.max(COUNT_SETTLING_MS))
        };
        let first = self.first_open_window(schedule, now_ms);
        let over = first..schedule.windows.at(now_ms);
        let open = over.filter(|window| !self.finalized.contains(window));
        open.filter(|window| is_complete(*window) || !is_waited_for(*window)).collect()
    }
}
