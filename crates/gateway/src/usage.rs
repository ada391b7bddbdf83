//! Counts the requests that started to run, by tenant, and reports them to the platform while this
//! node has the authority.
//!
//! The holder of the authority queries all nodes for their counts. It finalizes the report of a
//! window by writing it to the store, on the condition that no other node has done so, and only
//! then sends it. A later holder finds the finalized report in the store and sends the same bytes
//! again. [`pitchstall_serving::usage`] decides what is counted where and when a window is
//! complete.

use crate::clock::Instant;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::settings::{Duty, UsageSection};
use crate::store_pages::{read_pages, ListingError};
use crate::store_responses::{ok_or_log, StoreResponse};
use pitchstall_platform_adapter::cloud::{self, DutyHolder, DutyResponse};
use pitchstall_platform_adapter::store::{self, Page, StoreStatus};
use pitchstall_serving::authority::FencingToken;
use pitchstall_serving::ids::{NodeId, TenantName};
use pitchstall_serving::usage::{
    Origin, ReportSchedule, UsageCollector, UsageMessage, UsageQuery, Windows,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two checks for reports that are due.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two queries to all nodes. If a node fails, its counts since the last query that it
/// replied to are lost; one second out of a window of several seconds is within the accepted loss.
const QUERY_INTERVAL: Duration = Duration::from_millis(800);
/// Timeout of a call to the store or the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum and maximum pause after a report that the platform did not accept. The pause doubles
/// with each attempt.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// A report is dropped at this multiple of `due_ms` after the end of its window. Until then a late
/// report is still sent, since it records what the tenants owe.
const GIVE_UP_FACTOR: u64 = 3;
const MILLIS_PER_SECOND: f64 = 1_000.0;

fn report_schedule(section: UsageSection) -> ReportSchedule {
    let millis = |seconds: f64| (seconds * MILLIS_PER_SECOND) as u64;
    let windows = Windows { length_ms: millis(section.window_s) };
    ReportSchedule { windows, due_ms: millis(section.due_s) }
}

/// The schedule of usage reports; `None` if the settings do not configure usage reporting.
fn usage_schedule(node: &Node) -> Option<ReportSchedule> {
    let settings = node.settings();
    let cloud = settings.cloud.as_ref().filter(|cloud| cloud.has(Duty::Usage))?;
    cloud.usage.map(report_schedule)
}

/// Counts a request that was sent to a runner, once it is known to have started.
///
/// A language model starts a request with its first token, which arrives with the head of the
/// response. Other runners start a request on arrival, so it also counts if the recorder is dropped
/// before a response has arrived.
pub struct StartRecorder {
    node: Rc<Node>,
    tenant: Option<TenantName>,
    sent_at: Instant,
    starts_on_arrival: bool,
}

impl StartRecorder {
    /// A recorder for a request that is sent now. `tenant` is the tenant to count it for; `None` if
    /// it is not to be counted.
    pub fn new(
        node: &Rc<Node>,
        tenant: Option<TenantName>,
        sent_at: Instant,
        starts_on_arrival: bool,
    ) -> Self {
        Self { node: node.clone(), tenant, sent_at, starts_on_arrival }
    }

    /// Counts the request: its response has started.
    pub fn on_response(&mut self) {
        self.count();
    }

    /// Counts nothing: the runner replied that it does not run the request.
    pub fn on_declined(&mut self) {
        self.tenant = None;
    }

    /// Counts the request: there is no response, but the runner most likely ran the request and the
    /// response was lost.
    pub fn on_no_response(&mut self) {
        self.count();
    }

    fn count(&mut self) {
        let Some(tenant) = self.tenant.take() else { return };
        let elapsed = if self.starts_on_arrival { self.sent_at.elapsed() } else { Duration::ZERO };
        record_start(&self.node, &tenant, elapsed);
    }
}

impl Drop for StartRecorder {
    fn drop(&mut self) {
        if self.starts_on_arrival {
            self.count();
        }
    }
}

/// Counts a request of a tenant that started to run the given time ago.
fn record_start(node: &Node, tenant: &TenantName, elapsed: Duration) {
    let Some(schedule) = usage_schedule(node) else { return };
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or_default();
    let window = schedule.windows.at(node.wall_ms().saturating_sub(elapsed_ms));
    node.usage.borrow_mut().on_request_started(window, tenant);
}

/// Replies to a query of the collector.
pub fn on_query(node: &Node, query: &UsageQuery) {
    let origin = own_origin(node);
    let ledger = node.usage.borrow();
    let windows = ledger.own_since(query.from_window);
    let finalized = match query.wants_relayed {
        true => ledger.finalized_since(query.from_window),
        false => Vec::new(),
    };
    let own = UsageMessage { origin, in_reply_to: Some(query.number), windows, finalized };
    let mut messages = vec![own];
    if query.wants_relayed {
        messages.extend(ledger.relayed_since(query.from_window));
    }
    for message in messages {
        node.scheduling.socket.send(&PeerMessage::UsageMessage(message), &query.reply_to);
    }
}

/// Merges a node's counts, as the collector or its deputy.
pub fn on_message(node: &Node, message: &UsageMessage) {
    // A message relayed by another collector may return to the node whose counts it holds.
    if message.origin != own_origin(node) {
        node.usage.borrow_mut().merge(message);
    }
    if let Some(number) = message.in_reply_to {
        node.usage_collector.borrow_mut().on_reply(&message.origin.node, number);
    }
}

fn own_origin(node: &Node) -> Origin {
    Origin { node: own_name(node), incarnation: node.incarnation }
}

fn own_name(node: &Node) -> NodeId {
    NodeId::new(&node.settings().node.name)
}

/// A report that is finalized and not yet accepted by the platform.
struct PendingReport {
    body: Vec<u8>,
    next_attempt: Instant,
    pause: Duration,
}

impl PendingReport {
    fn new(body: Vec<u8>) -> Self {
        Self { body, next_attempt: Instant::now(), pause: MIN_RETRY_PAUSE }
    }
}

/// The reports in the store could not be read.
struct ReportsNotRead;

impl From<ListingError> for ReportsNotRead {
    fn from(error: ListingError) -> Self {
        let error = error.to_string();
        log::error!(target: "store", error; "list of usage reports not read");
        Self
    }
}

struct Reporter {
    node: Rc<Node>,
    store: PlatformClient,
    cloud: PlatformClient,
    /// The fencing token of the term that the fields below belong to.
    fence: Option<FencingToken>,
    queried_at: Option<Instant>,
    queries_sent: u64,
    /// Whether the reports that earlier holders finalized have been read from the store.
    has_read_finalized: bool,
    /// Reports to send to the platform, by window.
    pending: BTreeMap<u64, PendingReport>,
    /// Windows whose finalized reports are in the store.
    finalized_windows: Vec<u64>,
    /// When the node started, in milliseconds since the Unix epoch.
    started_ms: u64,
}

/// Reports usage whenever this node has the authority, until the task is dropped.
pub async fn run_reporter(node: Rc<Node>) {
    let mut reporter = Reporter {
        started_ms: node.wall_ms(),
        node,
        store: PlatformClient::default(),
        cloud: PlatformClient::default(),
        fence: None,
        queried_at: None,
        queries_sent: 0,
        has_read_finalized: false,
        pending: BTreeMap::new(),
        finalized_windows: Vec::new(),
    };
    loop {
        sleep(STEP_INTERVAL).await;
        let Some(schedule) = usage_schedule(&reporter.node) else { continue };
        if let Some(fence) = reporter.node.authority.fence() {
            reporter.step(fence, schedule).await;
        }
    }
}

impl Reporter {
    async fn step(&mut self, fence: FencingToken, schedule: ReportSchedule) {
        if self.fence != Some(fence) {
            self.start_term(fence);
        }
        self.query_nodes(schedule);
        if self.may_act() && !self.has_read_finalized {
            self.read_finalized(schedule).await;
        }
        if !self.has_read_finalized {
            return;
        }
        self.finalize_due(schedule).await;
        self.submit_pending(schedule).await;
    }

    fn start_term(&mut self, fence: FencingToken) {
        self.fence = Some(fence);
        self.queried_at = None;
        self.has_read_finalized = false;
        self.pending.clear();
        self.finalized_windows.clear();
        *self.node.usage_collector.borrow_mut() = UsageCollector::default();
    }

    fn may_act(&self) -> bool {
        self.fence_for_orders().is_some()
    }

    /// The fencing token of the reporter's term, while orders may be given in it.
    fn fence_for_orders(&self) -> Option<FencingToken> {
        let fence = self.node.authority.fence_for_orders(self.node.now_us());
        fence.filter(|fence| self.fence == Some(*fence))
    }

    /// Queries all nodes for their counts, if [`QUERY_INTERVAL`] has passed.
    fn query_nodes(&mut self, schedule: ReportSchedule) {
        if self.queried_at.is_some_and(|at| at.elapsed() < QUERY_INTERVAL) {
            return;
        }
        let is_before_first_order = !self.may_act();
        self.queried_at = Some(Instant::now());
        self.queries_sent += 1;
        let now_ms = self.node.wall_ms();
        let mut collector = self.node.usage_collector.borrow_mut();
        collector.on_query_sent(self.queries_sent, now_ms);
        collector.on_reply(&own_name(&self.node), self.queries_sent);
        let from_window = collector.first_open_window(schedule, now_ms);
        self.node.usage.borrow_mut().remove_before(from_window.saturating_sub(1));
        let members = self.node.members.borrow();
        let own = self.node.settings().listen.peers;
        let reply_to: Vec<SocketAddr> =
            [Some(own), members.backup_node()].into_iter().flatten().collect();
        let query = UsageQuery {
            number: self.queries_sent,
            reply_to,
            from_window,
            wants_relayed: is_before_first_order,
        };
        self.node
            .scheduling
            .socket
            .send(&PeerMessage::UsageQuery(query), &members.other_addresses());
    }

    /// Reads the reports that earlier holders finalized from the store.
    async fn read_finalized(&mut self, schedule: ReportSchedule) {
        let Ok(reports) = self.read_reports().await else { return };
        let now_ms = self.node.wall_ms();
        for item in reports.items {
            let (key, revision) = (item.key.clone(), item.revision);
            let Some((window, body)) = store::parse_stored_usage_report(item) else {
                let error =
                    EntryError::InvalidDocument("the entry names no usage window".to_owned());
                self.node.on_refused_entry("usage", &key, revision, &error);
                continue;
            };
            self.finalized_windows.push(window);
            self.on_finalized(window, &body);
            // An earlier holder may have failed before it sent the report.
            if now_ms < schedule.windows.end_ms(window) + schedule.due_ms {
                self.pending.insert(window, PendingReport::new(body));
            }
        }
        self.has_read_finalized = true;
    }

    /// Reads all pages of the reports in the store.
    async fn read_reports(&mut self) -> Result<Page, ReportsNotRead> {
        read_pages(async |after| {
            let read = store::read_usage_reports(after.as_deref());
            let response = self.node.call_store(&mut self.store, &read, CALL_TIMEOUT).await;
            let Some(response) = response.filter(StoreResponse::is_done) else {
                return Err(ReportsNotRead);
            };
            ok_or_log("usage reports", store::parse_page(&response.body)).ok_or(ReportsNotRead)
        })
        .await
    }

    /// Finalizes the reports of windows that are complete.
    async fn finalize_due(&mut self, schedule: ReportSchedule) {
        let now_ms = self.node.wall_ms();
        let due = {
            let members = self.node.members.borrow();
            self.node.usage_collector.borrow().to_finalize(members.names(), schedule, now_ms)
        };
        for window in due {
            let counts = self.node.usage.borrow().to_report(window);
            // A window before the start of this node is only known from the counts of other nodes.
            // Without any counts it must not be reported as empty.
            let precedes_start =
                schedule.windows.end_ms(window) < self.started_ms + schedule.windows.length_ms;
            if counts.is_empty() && precedes_start {
                self.node.usage_collector.borrow_mut().on_finalized(window);
                continue;
            }
            self.finalize(window, cloud::usage_report(window, &counts), schedule).await;
        }
    }

    async fn finalize(&mut self, window: u64, report: Vec<u8>, schedule: ReportSchedule) {
        let Some(fence) = self.fence_for_orders() else { return };
        let first_retained =
            window.saturating_sub(2 + schedule.due_ms / schedule.windows.length_ms.max(1));
        let older: Vec<u64> =
            self.finalized_windows.iter().copied().filter(|it| *it < first_retained).collect();
        let call = store::persist_usage_report(window, &report, fence, &older);
        let response = self.node.call_store(&mut self.store, &call, CALL_TIMEOUT).await;
        let finalized = match response.map(|response| (response.status, response.body)) {
            Some((StoreStatus::Done, _)) => Some(report),
            Some((StoreStatus::Conflict, body)) => {
                self.finalized_by_other_node(window, fence, &body)
            }
            // It is unknown whether the write succeeded; the next attempt shows whether it did.
            _ => None,
        };
        let Some(body) = finalized else { return };
        let bytes = body.len();
        log::info!(target: "usage", window, bytes, fence = fence.number(); "fixed");
        self.finalized_windows.retain(|window| !older.contains(window));
        self.finalized_windows.push(window);
        self.on_finalized(window, &body);
        self.pending.insert(window, PendingReport::new(body));
    }

    /// Records a report that is in the store. Its counts are also kept in memory, since the store
    /// may be restored from a backup without it.
    fn on_finalized(&self, window: u64, body: &[u8]) {
        self.node.usage_collector.borrow_mut().on_finalized(window);
        match cloud::parse_usage_report(body) {
            Some(counts) => self.node.usage.borrow_mut().on_finalized(window, counts),
            None => log::warn!(target: "usage", window; "finalized usage report cannot be parsed"),
        }
    }

    /// The report that is already in the store; `None` if there is none because the authority has
    /// passed to another node.
    fn finalized_by_other_node(
        &self,
        window: u64,
        fence: FencingToken,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let items = ok_or_log("usage report", store::parse_conflict(body))?;
        let reports = items.into_iter().filter_map(store::parse_stored_usage_report);
        let found = reports.into_iter().find(|(stored_window, _)| *stored_window == window);
        if found.is_none() {
            log::warn!(target: "usage", window, fence = fence.number(); "usage report not finalized: another node has the authority");
            self.node.authority.on_refused(fence);
        }
        found.map(|(_, report)| report)
    }

    /// Sends finalized reports until the platform has accepted them or they are too late.
    async fn submit_pending(&mut self, schedule: ReportSchedule) {
        let now_ms = self.node.wall_ms();
        let is_submittable = |window: u64| {
            now_ms < schedule.windows.end_ms(window) + schedule.due_ms * GIVE_UP_FACTOR
        };
        self.pending.retain(|window, _| {
            let is_retained = is_submittable(*window);
            if !is_retained {
                log::error!(target: "usage", window; "usage report dropped: the platform did not accept it in time");
            }
            is_retained
        });
        let now = Instant::now();
        let due = self.pending.iter().filter(|(_, report)| report.next_attempt <= now);
        let due: Vec<u64> = due.map(|(window, _)| *window).collect();
        for window in due {
            self.send(window).await;
        }
    }

    async fn send(&mut self, window: u64) {
        let Some(report) = self.pending.get(&window) else { return };
        let Some(fence) = self.fence_for_orders() else { return };
        let Some(cloud) = self.node.settings().cloud.clone() else { return };
        let holder = DutyHolder { node: own_name(&self.node).to_string(), fence };
        let call = cloud::report_usage(&holder, &report.body);
        self.node.metrics.cloud_calls.inc();
        let response = self.cloud.call(cloud.address, &call, CALL_TIMEOUT).await;
        let outcome = response.as_ref().map(|response| cloud::parse_status(response.status));
        let outcome_text = match &outcome {
            Ok(response) => format!("{response:?}"),
            Err(error) => error.to_string(),
        };
        log::info!(target: "usage", window, fence = fence.number(), answer = outcome_text; "reported");
        match outcome {
            Ok(DutyResponse::Done) => drop(self.pending.remove(&window)),
            Ok(DutyResponse::Conflict) => self.node.authority.on_refused(fence),
            Ok(DutyResponse::Later) | Err(_) => self.postpone(window),
        }
    }

    fn postpone(&mut self, window: u64) {
        if let Some(report) = self.pending.get_mut(&window) {
            report.next_attempt = Instant::now() + report.pause;
            report.pause = (report.pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}
