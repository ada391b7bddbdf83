//! Counts requests by tenant, and reports them while this node has the authority.
//!
//! The holder asks all nodes for their counts, fixes the report of a window in the store under the
//! condition that nobody has fixed it yet, and only then sends it: whoever takes over finds it
//! there and sends the same bytes again. What is counted where and when a window is complete is
//! decided in [`pitchstall_serving::usage`].

use crate::clock::Instant;
use crate::node::Node;
use crate::peer_words::PeerWord;
use crate::platform_client::PlatformClient;
use crate::refused_entries::EntryError;
use crate::settings::{Duty, UsageSection};
use crate::store_responses::{ok_or_log, StoreResponse};
use pitchstall_platform_adapter::cloud::{self, DutyAnswer, DutyHolder};
use pitchstall_platform_adapter::store::{self, StoreStatus};
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

/// Between two looks at what is due.
const STEP_EVERY: Duration = Duration::from_millis(200);
/// Between two questions to all nodes: what a node that dies has counted since the last one is
/// lost, and a second of a window of some seconds is within what the users let pass.
const ASK_EVERY: Duration = Duration::from_millis(800);
/// Limit of a call.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// First and longest pause after a call that the platform did not take.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);
/// Time after a report is due for which it is still sent, in the time until it is due: it is late
/// then, and what the tenants owe is known all the same.
const LATE_FACTOR: u64 = 3;
const MILLIS_A_SECOND: f64 = 1_000.0;

fn report_times(section: UsageSection) -> ReportSchedule {
    let millis = |seconds: f64| (seconds * MILLIS_A_SECOND) as u64;
    let windows = Windows { length_ms: millis(section.window_s) };
    ReportSchedule { windows, due_ms: millis(section.due_s) }
}

/// When usage is reported; `None`: it is not.
fn usage_times(node: &Node) -> Option<ReportSchedule> {
    let settings = node.settings();
    let cloud = settings.cloud.as_ref().filter(|cloud| cloud.has(Duty::Usage))?;
    cloud.usage.map(report_times)
}

/// Counts a request that was sent to a runner as begun, once it is known that it has.
///
/// A language model begins with its first token, which the head of its answer comes with. Other
/// runners begin when the request comes, so one whose answer nobody waits for any more has begun.
pub struct BeginMark {
    node: Rc<Node>,
    tenant: Option<TenantName>,
    sent_at: Instant,
    begins_at_once: bool,
}

impl BeginMark {
    /// A request that is sent now. `tenant`: for whom it is to be counted.
    pub fn new(
        node: &Rc<Node>,
        tenant: Option<TenantName>,
        sent_at: Instant,
        begins_at_once: bool,
    ) -> Self {
        Self { node: node.clone(), tenant, sent_at, begins_at_once }
    }

    /// The runner answers.
    pub fn on_answer(&mut self) {
        self.count();
    }

    /// The runner said that it does not run it.
    pub fn on_declined(&mut self) {
        self.tenant = None;
    }

    /// There is no answer; most likely the runner ran the request and the answer was lost.
    pub fn on_lost(&mut self) {
        self.count();
    }

    fn count(&mut self) {
        let Some(tenant) = self.tenant.take() else { return };
        let ago = if self.begins_at_once { self.sent_at.elapsed() } else { Duration::ZERO };
        on_begun(&self.node, &tenant, ago);
    }
}

impl Drop for BeginMark {
    fn drop(&mut self) {
        if self.begins_at_once {
            self.count();
        }
    }
}

/// A request of a tenant began to run, so long ago.
fn on_begun(node: &Node, tenant: &TenantName, ago: Duration) {
    let Some(times) = usage_times(node) else { return };
    let ago_ms = u64::try_from(ago.as_millis()).unwrap_or_default();
    let window = times.windows.at(node.wall_ms().saturating_sub(ago_ms));
    node.usage.borrow_mut().on_request_started(window, tenant);
}

/// Answers the collector.
pub fn on_question(node: &Node, question: &UsageQuery) {
    let origin = own_origin(node);
    let ledger = node.usage.borrow();
    let windows = ledger.own_since(question.from_window);
    let finalized = match question.wants_relayed {
        true => ledger.finalized_since(question.from_window),
        false => Vec::new(),
    };
    let own = UsageMessage { origin, in_reply_to: Some(question.number), windows, finalized };
    let mut words = vec![own];
    if question.wants_relayed {
        words.extend(ledger.relayed_since(question.from_window));
    }
    for word in words {
        node.scheduling.socket.send(&PeerWord::Usage(word), &question.reply_to);
    }
}

/// Takes in a node's counts, as the collector or its deputy.
pub fn on_word(node: &Node, word: &UsageMessage) {
    // Words may come back to the node whose counts they hold, by way of another collector.
    if word.origin != own_origin(node) {
        node.usage.borrow_mut().merge(word);
    }
    if let Some(number) = word.in_reply_to {
        node.usage_collector.borrow_mut().on_reply(&word.origin.node, number);
    }
}

fn own_origin(node: &Node) -> Origin {
    Origin { node: own_name(node), incarnation: node.incarnation }
}

fn own_name(node: &Node) -> NodeId {
    NodeId::new(&node.settings().node.name)
}

/// A report that is fixed and not yet handed in.
struct Report {
    body: Vec<u8>,
    next_try: Instant,
    pause: Duration,
}

impl Report {
    fn new(body: Vec<u8>) -> Self {
        Self { body, next_try: Instant::now(), pause: FIRST_PAUSE }
    }
}

struct Reporter {
    node: Rc<Node>,
    store: PlatformClient,
    cloud: PlatformClient,
    /// The term for which this is the reporter's work.
    fence: Option<FencingToken>,
    asked_at: Option<Instant>,
    questions: u64,
    /// Whether the reports that earlier holders have fixed are known.
    knows_fixed: bool,
    /// Reports to hand in, by window.
    open: BTreeMap<u64, Report>,
    /// Windows whose fixed reports are in the store.
    stored: Vec<u64>,
    /// The time of day at which the node started.
    started_ms: u64,
}

/// Reports usage whenever this node has the authority, until the task is dropped.
pub async fn report(node: Rc<Node>) {
    let mut reporter = Reporter {
        started_ms: node.wall_ms(),
        node,
        store: PlatformClient::default(),
        cloud: PlatformClient::default(),
        fence: None,
        asked_at: None,
        questions: 0,
        knows_fixed: false,
        open: BTreeMap::new(),
        stored: Vec::new(),
    };
    loop {
        sleep(STEP_EVERY).await;
        let Some(times) = usage_times(&reporter.node) else { continue };
        if let Some(fence) = reporter.node.authority.fence() {
            reporter.step(fence, times).await;
        }
    }
}

impl Reporter {
    async fn step(&mut self, fence: FencingToken, times: ReportSchedule) {
        if self.fence != Some(fence) {
            self.begin_term(fence);
        }
        self.ask(times);
        if self.may_act() && !self.knows_fixed {
            self.read_fixed(times).await;
        }
        if !self.knows_fixed {
            return;
        }
        self.fix_due(times).await;
        self.hand_in(times).await;
    }

    fn begin_term(&mut self, fence: FencingToken) {
        self.fence = Some(fence);
        self.asked_at = None;
        self.knows_fixed = false;
        self.open.clear();
        self.stored.clear();
        *self.node.usage_collector.borrow_mut() = UsageCollector::default();
    }

    fn may_act(&self) -> bool {
        self.fence_to_act().is_some()
    }

    /// The fencing token of the term that this knows of, while it may act in it.
    fn fence_to_act(&self) -> Option<FencingToken> {
        let fence = self.node.authority.fence_to_order(self.node.now_us());
        fence.filter(|fence| self.fence == Some(*fence))
    }

    /// Asks all nodes for their counts, now and then.
    fn ask(&mut self, times: ReportSchedule) {
        if self.asked_at.is_some_and(|at| at.elapsed() < ASK_EVERY) {
            return;
        }
        let is_new = !self.may_act();
        self.asked_at = Some(Instant::now());
        self.questions += 1;
        let now_ms = self.node.wall_ms();
        let mut collector = self.node.usage_collector.borrow_mut();
        collector.on_query_sent(self.questions, now_ms);
        collector.on_reply(&own_name(&self.node), self.questions);
        let from_window = collector.first_open_window(times, now_ms);
        self.node.usage.borrow_mut().remove_before(from_window.saturating_sub(1));
        let members = self.node.members.borrow();
        let own = self.node.settings().listen.peers;
        let reply_to: Vec<SocketAddr> =
            [Some(own), members.backup_node()].into_iter().flatten().collect();
        let question =
            UsageQuery { number: self.questions, reply_to, from_window, wants_relayed: is_new };
        self.node
            .scheduling
            .socket
            .send(&PeerWord::UsageQuestion(question), &members.other_addresses());
    }

    /// Learns what earlier holders have fixed.
    async fn read_fixed(&mut self, times: ReportSchedule) {
        let read = store::read_usage_reports();
        let answer = self.node.call_store(&mut self.store, &read, CALL_LIMIT).await;
        let Some(answer) = answer.filter(StoreResponse::is_done) else { return };
        let Some(page) = ok_or_log("usage reports", store::parse_page(&answer.body)) else {
            return;
        };
        let now_ms = self.node.wall_ms();
        for item in page.items {
            let (key, revision) = (item.key.clone(), item.revision);
            let Some((window, body)) = store::usage_report_of(item) else {
                let fault = EntryError::InvalidDocument("it tells of no window".to_owned());
                self.node.on_refused_entry("usage", &key, revision, &fault);
                continue;
            };
            self.stored.push(window);
            self.on_fixed(window, &body);
            // An earlier holder may have died before it sent it.
            if now_ms < times.windows.end_ms(window) + times.due_ms {
                self.open.insert(window, Report::new(body));
            }
        }
        self.knows_fixed = true;
    }

    /// Fixes the reports of windows that are complete.
    async fn fix_due(&mut self, times: ReportSchedule) {
        let now_ms = self.node.wall_ms();
        let due = {
            let members = self.node.members.borrow();
            self.node.usage_collector.borrow().to_finalize(members.names(), times, now_ms)
        };
        for window in due {
            let counts = self.node.usage.borrow().to_report(window);
            // Nobody knows what began before this node did, if nobody has told it anything.
            let is_unknown =
                times.windows.end_ms(window) < self.started_ms + times.windows.length_ms;
            if counts.is_empty() && is_unknown {
                self.node.usage_collector.borrow_mut().on_finalized(window);
                continue;
            }
            self.fix(window, cloud::usage_report(window, &counts), times).await;
        }
    }

    async fn fix(&mut self, window: u64, report: Vec<u8>, times: ReportSchedule) {
        let Some(fence) = self.fence_to_act() else { return };
        let kept_from = window.saturating_sub(2 + times.due_ms / times.windows.length_ms.max(1));
        let older: Vec<u64> = self.stored.iter().copied().filter(|it| *it < kept_from).collect();
        let call = store::fix_usage_report(window, &report, fence, &older);
        let answer = self.node.call_store(&mut self.store, &call, CALL_LIMIT).await;
        let fixed = match answer.map(|answer| (answer.status, answer.body)) {
            Some((StoreStatus::Done, _)) => Some(report),
            Some((StoreStatus::Conflict, body)) => self.fixed_by_another(window, fence, &body),
            // Done or not, the next try finds out.
            _ => None,
        };
        let Some(body) = fixed else { return };
        let bytes = body.len();
        log::info!(target: "usage", window, bytes, fence = fence.number(); "fixed");
        self.stored.retain(|window| !older.contains(window));
        self.stored.push(window);
        self.on_fixed(window, &body);
        self.open.insert(window, Report::new(body));
    }

    /// A report lies in the store. Its counts are kept here too, in case the store comes back from a copy without it.
    fn on_fixed(&self, window: u64, body: &[u8]) {
        self.node.usage_collector.borrow_mut().on_finalized(window);
        match cloud::parse_usage_report(body) {
            Some(counts) => self.node.usage.borrow_mut().on_finalized(window, counts),
            None => log::warn!(target: "usage", window; "a fixed report cannot be read"),
        }
    }

    /// The report that is in the store already; `None`: the authority has gone to another node.
    fn fixed_by_another(&self, window: u64, fence: FencingToken, body: &[u8]) -> Option<Vec<u8>> {
        let items = ok_or_log("usage report", store::parse_conflict(body))?;
        let reports = items.into_iter().filter_map(store::usage_report_of);
        let found = reports.into_iter().find(|(of, _)| *of == window);
        if found.is_none() {
            log::warn!(target: "usage", window, fence = fence.number(); "authority lost");
            self.node.authority.on_refused(fence);
        }
        found.map(|(_, report)| report)
    }

    /// Sends fixed reports until the platform has taken them.
    async fn hand_in(&mut self, times: ReportSchedule) {
        let now_ms = self.node.wall_ms();
        let is_of_use =
            |window: u64| now_ms < times.windows.end_ms(window) + times.due_ms * LATE_FACTOR;
        self.open.retain(|window, _| {
            let is_kept = is_of_use(*window);
            if !is_kept {
                log::error!(target: "usage", window; "report given up");
            }
            is_kept
        });
        let now = Instant::now();
        let due = self.open.iter().filter(|(_, report)| report.next_try <= now);
        let due: Vec<u64> = due.map(|(window, _)| *window).collect();
        for window in due {
            self.send(window).await;
        }
    }

    async fn send(&mut self, window: u64) {
        let Some(report) = self.open.get(&window) else { return };
        let Some(fence) = self.fence_to_act() else { return };
        let Some(cloud) = self.node.settings().cloud.clone() else { return };
        let holder = DutyHolder { node: own_name(&self.node).to_string(), fence };
        let call = cloud::report_usage(&holder, &report.body);
        self.node.metrics.cloud_calls.inc();
        let answer = self.cloud.call(cloud.address, &call, CALL_LIMIT).await;
        let outcome = answer.as_ref().map(|answer| cloud::parse_status(answer.status));
        let told = match &outcome {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => error.to_string(),
        };
        log::info!(target: "usage", window, fence = fence.number(), answer = told; "reported");
        match outcome {
            Ok(DutyAnswer::Done) => drop(self.open.remove(&window)),
            Ok(DutyAnswer::Conflict) => self.node.authority.on_refused(fence),
            Ok(DutyAnswer::Later) | Err(_) => self.put_off(window),
        }
    }

    fn put_off(&mut self, window: u64) {
        if let Some(report) = self.open.get_mut(&window) {
            report.next_try = Instant::now() + report.pause;
            report.pause = (report.pause * 2).min(LONGEST_PAUSE);
        }
    }
}
