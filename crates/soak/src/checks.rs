//! One check for each guarantee to users whose violation clients and runners can observe.

use crate::fleet::{response_body, LAST_EVENT};
use crate::history::{Event, Outcome, RequestKind, TimedEvent};
use crate::interrupted_streams::streams_cut_by_their_node;
use crate::region_checks::unserved_in_cut_off_regions;
use crate::reported_limit_checks::exceeded_reported_limits;
use crate::self_report_checks::{requests_after_leaving, requests_during_backoff};
use crate::tenant_limit_checks::{exceeded_tenant_limits, false_limit_refusals};
use crate::tenants::{tenant_of, BELOW_LIMIT};
use pitchstall_platform_standins::runner::event_text;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time from the end of a fault until the time bounds apply to a node again, microseconds.
pub const CONTACT_BOUND_US: u64 = 3_000_000;
/// Time from the store's acknowledgement of a configuration until nodes must apply it,
/// microseconds.
pub const CONFIG_APPLY_BOUND_US: u64 = 2_000_000;
/// Time from a runner's announcement that it is leaving until it must receive no more requests,
/// microseconds.
pub const DRAIN_BOUND_US: u64 = 2_000_000;
/// Tolerance added to time bounds, microseconds: other work on the machine delays the processes.
pub const SLACK_US: u64 = 1_000_000;
/// Runner crashes caused by one poison request before its repeats are counted.
const FREE_CRASHES: usize = 3;
/// Number of counted repeats of a poison request that are tolerated.
const MAX_REPEATS: usize = 3;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// An observed violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The violated guarantee, as printed in reports.
    pub promise: &'static str,
    /// The request, node or runner concerned, and how the guarantee was violated.
    pub detail: String,
}

type Check = fn(&History) -> Vec<String>;

/// Each guarantee with the check that finds its violations.
const CHECKS: [(&str, Check); 19] = [
    ("the whole answer to its own request", wrong_responses),
    ("a stream whole and in order", incomplete_streams),
    ("at most once", repeated_runs),
    ("a refusal is true", false_refusals),
    ("runners run only what was asked", unrequested_runs),
    ("a configuration is in force in time", late_configurations),
    ("a configuration never reverts", reverted_configurations),
    ("a leaving runner gets no work", runs_after_drain),
    ("a runner that says that it leaves gets no work", requests_after_leaving),
    ("a runner that asks for rest gets it", requests_during_backoff),
    ("a runner gets no more than it names", exceeded_reported_limits),
    ("a planned stop cuts nothing", requests_cut_by_planned_stops),
    ("a stream whose runner goes on is whole", streams_cut_by_their_node),
    ("runners are told the tenant and not the key", tenant_identity_faults),
    ("one usage report for a window", conflicting_usage_reports),
    ("requests that end runners are contained", uncontained_poison_requests),
    ("no tenant runs more than it may", exceeded_tenant_limits),
    ("a tenant below its limit is not refused", refusals_below_limit),
    ("a region that is cut off serves its callers", unserved_in_cut_off_regions),
];

/// Runs every check on the recorded events and returns the violations found.
pub fn violations(events: &[TimedEvent]) -> Vec<Violation> {
    let history = History::new(events);
    let mut found = Vec::new();
    for (promise, check) in CHECKS {
        found.extend(check(&history).into_iter().map(|detail| Violation { promise, detail }));
    }
    let conflicting = fencing_tokens_of_several_holders(&history);
    let promise = "orders of one holder";
    found.extend(conflicting.into_iter().map(|detail| Violation { promise, detail }));
    found
}

fn refusals_below_limit(history: &History) -> Vec<String> {
    false_limit_refusals(history, |request| tenant_of(request).name == BELOW_LIMIT)
}

fn tenant_identity_faults(history: &History) -> Vec<String> {
    let faults = history.events.iter().filter_map(|(_, event)| match event {
        Event::TenantIdentityFault { request, runner } => Some(format!("{request} at {runner}")),
        _ => None,
    });
    faults.collect()
}

/// A node may repeat the usage report of a window only with identical counts.
fn conflicting_usage_reports(history: &History) -> Vec<String> {
    let mut known: BTreeMap<u64, &str> = BTreeMap::new();
    let mut broken = Vec::new();
    for (_, event) in history.events {
        let Event::UsageReported { window, counts } = event else { continue };
        let first = *known.entry(*window).or_insert(counts);
        if first != counts {
            broken.push(format!("window {window}: {first}, then {counts}"));
        }
    }
    broken
}

/// A request that a client sent, and its outcome.
pub(crate) struct Exchange<'a> {
    pub(crate) kind: RequestKind,
    pub(crate) node: usize,
    pub(crate) sent_us: u64,
    pub(crate) ended_us: u64,
    pub(crate) outcome: &'a Outcome,
}

impl Exchange<'_> {
    /// HTTP status of a complete response; `None` if the response is not complete.
    pub(crate) fn status(&self) -> Option<u16> {
        match self.outcome {
            Outcome::Complete { status, .. } => Some(*status),
            _ => None,
        }
    }
}

struct Run<'a> {
    at_us: u64,
    runner: &'a str,
    body: &'a [u8],
}

/// The recorded events, indexed for the checks.
pub(crate) struct History<'a> {
    pub(crate) events: &'a [TimedEvent],
    pub(crate) exchanges: BTreeMap<&'a str, Exchange<'a>>,
    /// The node that received each request, by request id.
    nodes: HashMap<&'a str, usize>,
    runs: HashMap<&'a str, Vec<Run<'a>>>,
    /// Faults, starts and stops. Checks search this short list instead of all events.
    disturbances: Vec<&'a TimedEvent>,
    /// Time of the last stream abort by a runner, microseconds, by request id.
    aborted_at_us: HashMap<&'a str, u64>,
}

fn is_disturbance(event: &Event) -> bool {
    matches!(
        event,
        Event::Disturbed { .. }
            | Event::RunnerLinkDisturbed
            | Event::RunnerCrashed { .. }
            | Event::NodeStarted { .. }
            | Event::PlannedStop { .. }
    )
}

impl<'a> History<'a> {
    fn new(events: &'a [TimedEvent]) -> Self {
        let mut sent: HashMap<&str, (u64, RequestKind, usize)> = HashMap::new();
        let mut exchanges = BTreeMap::new();
        let mut nodes = HashMap::new();
        let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
        let mut aborted_at_us = HashMap::new();
        for (at_us, event) in events {
            match event {
                Event::Sent { request, kind, node } => {
                    sent.insert(request, (*at_us, *kind, *node));
                    nodes.insert(request.as_str(), *node);
                }
                Event::Ended { request, outcome } => {
                    if let Some((sent_us, kind, node)) = sent.get(request.as_str()).copied() {
                        let ended_us = *at_us;
                        let exchange = Exchange { kind, node, sent_us, ended_us, outcome };
                        exchanges.insert(request.as_str(), exchange);
                    }
                }
                Event::Ran { request, runner, body } => {
                    runs.entry(request).or_default().push(Run { at_us: *at_us, runner, body });
                }
                Event::StreamAborted { request } => {
                    aborted_at_us.insert(request.as_str(), *at_us);
                }
                _ => {}
            }
        }
        let disturbances = events.iter().filter(|(_, event)| is_disturbance(event)).collect();
        Self { events, exchanges, nodes, runs, disturbances, aborted_at_us }
    }

    /// Whether the runner aborted the stream of the request's last run, in which case no node cut
    /// it.
    fn was_aborted_by_runner(&self, request: &str) -> bool {
        let last_run = self.runs.get(request).and_then(|runs| runs.last());
        let aborted_at_us = self.aborted_at_us.get(request);
        last_run.zip(aborted_at_us).is_some_and(|(run, aborted_at_us)| *aborted_at_us >= run.at_us)
    }

    /// Whether a runner began to run the request, and none aborted its stream.
    pub(crate) fn was_run_without_abort(&self, request: &str) -> bool {
        self.run_count(request) > 0 && !self.aborted_at_us.contains_key(request)
    }

    /// The node to which a client sent the request; `None` if the request was never sent.
    pub(crate) fn node_of(&self, request: &str) -> Option<usize> {
        self.nodes.get(request).copied()
    }

    /// Whether the node started, was told to stop, was under a fault, or any runner link was under
    /// a fault in the given period. Faults of the store alone do not count.
    pub(crate) fn was_disturbed(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        self.disturbances.iter().any(|(at_us, event)| {
            let affects_node = match event {
                Event::RunnerLinkDisturbed => true,
                Event::Disturbed { node: Some(other) }
                | Event::NodeStarted { node: other }
                | Event::PlannedStop { node: other } => *other == node,
                _ => false,
            };
            affects_node && (from_us..=to_us).contains(at_us)
        })
    }

    fn run_count(&self, request: &str) -> usize {
        self.runs.get(request).map_or(0, Vec::len)
    }

    /// Whether the node, the store and all runner links were free of faults in the given period and
    /// for the contact bound and the slack before it.
    pub(crate) fn was_in_contact(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        let since_us = from_us.saturating_sub(CONTACT_BOUND_US + SLACK_US);
        let is_disturbed = |(at_us, event): &TimedEvent| {
            *event == Event::RunnerLinkDisturbed && (since_us..=to_us).contains(at_us)
        };
        let is_undisturbed = !self.disturbances.iter().copied().any(is_disturbed);
        is_undisturbed && self.was_in_contact_with_store(node, from_us, to_us)
    }

    /// Whether any runner crashed in the given period or within the contact bound and the slack
    /// before it.
    pub(crate) fn did_runner_crash(&self, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(CONTACT_BOUND_US + SLACK_US);
        let is_crash = |(at_us, event): &TimedEvent| {
            matches!(event, Event::RunnerCrashed { .. }) && (from_us..=to_us).contains(at_us)
        };
        self.disturbances.iter().copied().any(is_crash)
    }

    /// Whether the node and the store were free of faults in the given period and for the contact
    /// bound and the slack before it.
    fn was_in_contact_with_store(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(CONTACT_BOUND_US + SLACK_US);
        !self.disturbances.iter().any(|(at_us, event)| {
            let affects_node = match event {
                Event::Disturbed { node: None } => true,
                Event::Disturbed { node: Some(other) }
                | Event::NodeStarted { node: other }
                | Event::PlannedStop { node: other } => *other == node,
                _ => false,
            };
            affects_node && (from_us..=to_us).contains(at_us)
        })
    }

    fn configured_versions(&self) -> Vec<(u64, u64)> {
        let versions = self.events.iter().filter_map(|(at_us, event)| match event {
            Event::Configured { version } => Some((*version, *at_us)),
            _ => None,
        });
        versions.collect()
    }

    fn probes(&self) -> impl Iterator<Item = (&&'a str, &Exchange<'a>, u64, u16)> {
        self.exchanges.iter().filter_map(|(request, exchange)| {
            match (exchange.kind, exchange.outcome) {
                (RequestKind::Probe { version }, Outcome::Complete { status, .. }) => {
                    Some((request, exchange, version, *status))
                }
                _ => None,
            }
        })
    }
}

fn wrong_responses(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    for (request, exchange) in &history.exchanges {
        match exchange.outcome {
            Outcome::Malformed => wrong.push(format!("{request}: no answer in the protocol")),
            Outcome::Complete { status: OK, echoed_id, body } => {
                let is_own = echoed_id.as_deref() == Some(request);
                let expected = response_body(request);
                let is_whole =
                    exchange.kind == RequestKind::ResumableStream || *body == expected.as_bytes();
                if !is_own || !is_whole {
                    wrong.push(format!("{request}: another answer, or a part of it"));
                }
            }
            _ => {}
        }
    }
    wrong
}

fn incomplete_streams(history: &History) -> Vec<String> {
    let expected: String = (0..=LAST_EVENT).map(event_text).collect();
    let streams =
        history.exchanges.iter().filter(|(_, it)| it.kind == RequestKind::ResumableStream);
    let is_incomplete = |outcome: &Outcome| match outcome {
        Outcome::Complete { status: OK, body, .. } => *body != expected.as_bytes(),
        _ => false,
    };
    let incomplete = streams.filter(|(_, exchange)| is_incomplete(exchange.outcome));
    incomplete
        .map(|(request, _)| format!("{request}: events are missing, doubled or out of order"))
        .collect()
}

fn repeated_runs(history: &History) -> Vec<String> {
    let at_most_once =
        history.exchanges.iter().filter(|(_, it)| it.kind == RequestKind::AtMostOnce);
    let repeated = at_most_once.filter(|(request, _)| history.run_count(request) > 1);
    repeated
        .map(|(request, _)| format!("{request}: ran {} times", history.run_count(request)))
        .collect()
}

fn false_refusals(history: &History) -> Vec<String> {
    const REFUSALS: [u16; 4] = [408, 421, 429, 503];
    let is_refused = |outcome: &Outcome| matches!(outcome, Outcome::Complete { status, .. } if REFUSALS.contains(status));
    let at_most_once =
        history.exchanges.iter().filter(|(_, it)| it.kind == RequestKind::AtMostOnce);
    let untrue = at_most_once
        .filter(|(request, it)| is_refused(it.outcome) && history.run_count(request) > 0);
    untrue.map(|(request, _)| format!("{request}: refused, and ran")).collect()
}

fn unrequested_runs(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    for (request, runs) in &history.runs {
        if !history.nodes.contains_key(request) {
            wrong.push(format!("{request}: nobody asked for it"));
        }
        let expected = request_body(request);
        if runs.iter().any(|run| run.body != expected.as_bytes()) {
            wrong.push(format!("{request}: ran with another body"));
        }
    }
    wrong
}

/// The request body that clients send, derived from the request id.
pub fn request_body(request: &str) -> String {
    format!("body of {request}")
}

fn late_configurations(history: &History) -> Vec<String> {
    let configured_versions = history.configured_versions();
    let mut late = Vec::new();
    for (request, exchange, version, status) in history.probes() {
        let known = configured_versions.iter().find(|(known, _)| *known == version);
        let Some((_, acknowledged_us)) = known else { continue };
        let replaced = configured_versions
            .iter()
            .any(|(other, at_us)| *other > version + 1 && *at_us <= exchange.ended_us + SLACK_US);
        let due_us = acknowledged_us + CONFIG_APPLY_BOUND_US + SLACK_US;
        let is_due = exchange.sent_us > due_us && !replaced;
        if is_due
            && status == NOT_FOUND
            && history.was_in_contact(exchange.node, exchange.sent_us, exchange.ended_us)
        {
            late.push(format!("{request}: node {} does not know version {version}", exchange.node));
        }
    }
    late
}

/// The route of a version exists in that version and the next one. A node that has served a version
/// more than one newer than the probed one must not serve the old route again in the same
/// incarnation.
fn reverted_configurations(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut newest_versions: HashMap<usize, u64> = HashMap::new();
    let mut ended: Vec<(u64, usize, u64, u16, u64)> = history
        .probes()
        .map(|(_, it, version, status)| (it.ended_us, it.node, version, status, it.sent_us))
        .collect();
    ended.sort_unstable();
    let starts: Vec<(u64, usize)> = history
        .events
        .iter()
        .filter_map(|(at_us, event)| match event {
            Event::NodeStarted { node } => Some((*at_us, *node)),
            _ => None,
        })
        .collect();
    let mut incarnations: HashMap<usize, u64> = HashMap::new();
    for (ended_us, node, version, status, sent_us) in ended {
        let incarnation =
            starts.iter().filter(|(at_us, it)| *it == node && *at_us <= sent_us).count();
        if incarnations.insert(node, incarnation as u64) != Some(incarnation as u64) {
            newest_versions.remove(&node);
        }
        let newest_version = newest_versions.entry(node).or_default();
        if status == OK {
            if *newest_version > version + 1 {
                wrong.push(format!(
                    "node {node} at {ended_us} us: version {version} after {newest_version}"
                ));
            }
            *newest_version = (*newest_version).max(version);
        }
    }
    wrong
}

fn runs_after_drain(history: &History) -> Vec<String> {
    let mut late = Vec::new();
    for (draining_us, event) in history.events {
        let Event::Draining { runner } = event else { continue };
        for (request, runs) in &history.runs {
            let Some(exchange) = history.exchanges.get(request) else { continue };
            for run in runs.iter().filter(|run| run.runner == runner) {
                let is_late = run.at_us > draining_us + DRAIN_BOUND_US + SLACK_US;
                if is_late && history.was_in_contact(exchange.node, run.at_us, run.at_us) {
                    late.push(format!("{request}: sent to {runner} too late"));
                }
            }
        }
    }
    late
}

fn requests_cut_by_planned_stops(history: &History) -> Vec<String> {
    let mut cut = Vec::new();
    for (stopped_us, event) in history.events {
        let Event::PlannedStop { node } = event else { continue };
        for (request, it) in &history.exchanges {
            let ends_after_stop = it.node == *node && it.ended_us >= *stopped_us;
            let is_before_restart = it.sent_us < stopped_us + CONTACT_BOUND_US;
            let from_us = it.sent_us.saturating_sub(CONTACT_BOUND_US);
            let undisturbed = !history.disturbances.iter().any(|(at_us, event)| {
                let affects_node = matches!(
                    event,
                    Event::Disturbed { node: None }
                        | Event::RunnerLinkDisturbed
                        | Event::RunnerCrashed { .. }
                ) || matches!(event, Event::Disturbed { node: Some(other) } if other == node);
                affects_node && (from_us..=it.ended_us).contains(at_us)
            });
            let was_begun = history.run_count(request) > 0;
            if ends_after_stop
                && is_before_restart
                && undisturbed
                && was_begun
                && !history.was_aborted_by_runner(request)
                && *it.outcome == Outcome::Disconnected
            {
                cut.push(format!("{request}: cut by the planned stop of node {node}"));
            }
        }
    }
    cut
}

/// After a poison request has crashed three runners, nodes in contact may send it to only a few
/// more.
fn uncontained_poison_requests(history: &History) -> Vec<String> {
    let mut crashes: BTreeMap<usize, Vec<(u64, &str)>> = BTreeMap::new();
    for (at_us, event) in history.events {
        if let Event::RunnerCrashed { cause: Some((request, number)), .. } = event {
            crashes.entry(*number).or_default().push((*at_us, request));
        }
    }
    let mut broken = Vec::new();
    for (number, crashes) in crashes {
        let Some((last_free_crash_us, _)) = crashes.get(FREE_CRASHES - 1) else { continue };
        let known_since_us = last_free_crash_us + CONTACT_BOUND_US + SLACK_US;
        let is_counted = |(at_us, request): &&(u64, &str)| {
            let node = history.nodes.get(request);
            let was_in_contact =
                |node: &usize| history.was_in_contact_with_store(*node, *at_us, *at_us);
            *at_us > known_since_us && node.is_some_and(was_in_contact)
        };
        let repeats = crashes.iter().filter(is_counted).count();
        if repeats > MAX_REPEATS {
            let all = crashes.len();
            broken.push(format!("request {number}: {repeats} times more, {all} ended in all"));
        }
    }
    broken
}

fn fencing_tokens_of_several_holders(history: &History) -> Vec<String> {
    let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for (_, event) in history.events {
        if let Event::OrderReceived { holder, fence, .. } = event {
            holders.entry(*fence).or_default().insert(holder);
        }
    }
    let shared = holders.iter().filter(|(_, holders)| holders.len() > 1);
    shared.map(|(fence, holders)| format!("token {fence} was used by {holders:?}")).collect()
}
