//! One check for each promise of the users' pages that callers and runners can see broken.

use crate::fleet::{answer_body, LAST_EVENT};
use crate::history::{Entry, Event, Kind, Outcome};
use crate::region_checks::unserved_when_cut;
use crate::reported_limit_checks::over_named_limits;
use crate::self_report_checks::{sent_to_leaving, sent_to_resting};
use crate::tenant_limit_checks::{over_limits, refused_below_limit};
use crate::tenants::{tenant_of, BELOW};
use pitchstall_platform_standins::runner::event_text;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time from the end of a fault until a node is bound again by rules with a time, microseconds.
pub const CONTACT_US: u64 = 3_000_000;
/// Time from a configuration's acknowledgement until nodes act by it, microseconds.
pub const APPLY_US: u64 = 2_000_000;
/// Time from a runner's word that it leaves until it gets no more requests, microseconds.
pub const DRAIN_US: u64 = 2_000_000;
/// Added to bounds on time: this machine is shared.
pub const SLACK_US: u64 = 1_000_000;
/// Ends of runners under a request before its repeats are counted, and repeats that may come then.
const FREE_ENDS: usize = 3;
const MOST_REPEATS: usize = 3;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// Which request, node or runner, and how.
    pub what: String,
}

type Check = fn(&History) -> Vec<String>;

/// Every promise with its check.
const CHECKS: [(&str, Check); 18] = [
    ("the whole answer to its own request", whole_answers),
    ("a stream whole and in order", whole_streams),
    ("at most once", at_most_once),
    ("a refusal is true", truthful_refusals),
    ("runners run only what was asked", only_asked),
    ("a configuration is in force in time", configuration_in_time),
    ("a configuration never reverts", configuration_never_reverts),
    ("a leaving runner gets no work", drained_in_time),
    ("a runner that says that it leaves gets no work", sent_to_leaving),
    ("a runner that asks for rest gets it", sent_to_resting),
    ("a runner gets no more than it names", over_named_limits),
    ("a planned stop cuts nothing", planned_stops),
    ("runners are told the tenant and not the key", guarded),
    ("one usage report for a window", one_report),
    ("requests that end runners are contained", contained),
    ("no tenant runs more than it may", over_limits),
    ("a tenant below its limit is not refused", refused_below),
    ("a region that is cut off serves its callers", unserved_when_cut),
];

/// Checks a history.
pub fn violations(entries: &[Entry]) -> Vec<Violation> {
    let history = History::new(entries);
    let mut found = Vec::new();
    for (promise, check) in CHECKS {
        found.extend(check(&history).into_iter().map(|what| Violation { promise, what }));
    }
    let conflicting = orders_of_one_holder(&history);
    let promise = "orders of one holder";
    found.extend(conflicting.into_iter().map(|what| Violation { promise, what }));
    found
}

fn refused_below(history: &History) -> Vec<String> {
    refused_below_limit(history, |request| tenant_of(request).name == BELOW)
}

fn guarded(history: &History) -> Vec<String> {
    let unguarded = history.entries.iter().filter_map(|(_, event)| match event {
        Event::Unguarded { request, runner } => Some(format!("{request} at {runner}")),
        _ => None,
    });
    unguarded.collect()
}

/// A report may be repeated as it was, and never with other counts.
fn one_report(history: &History) -> Vec<String> {
    let mut known: BTreeMap<u64, &str> = BTreeMap::new();
    let mut broken = Vec::new();
    for (_, event) in history.entries {
        let Event::Reported { window, counts } = event else { continue };
        let first = *known.entry(*window).or_insert(counts);
        if first != counts {
            broken.push(format!("window {window}: {first}, then {counts}"));
        }
    }
    broken
}

/// A request that a caller sent, and how that ended.
pub(crate) struct Exchange<'a> {
    pub(crate) kind: Kind,
    pub(crate) node: usize,
    pub(crate) sent_us: u64,
    pub(crate) ended_us: u64,
    outcome: &'a Outcome,
}

impl Exchange<'_> {
    /// The status of a whole answer.
    pub(crate) fn status(&self) -> Option<u16> {
        match self.outcome {
            Outcome::Whole { status, .. } => Some(*status),
            _ => None,
        }
    }
}

struct Run<'a> {
    at_us: u64,
    runner: &'a str,
    body: &'a [u8],
}

/// What was seen, put in order for the checks.
pub(crate) struct History<'a> {
    pub(crate) entries: &'a [Entry],
    pub(crate) exchanges: BTreeMap<&'a str, Exchange<'a>>,
    /// The node that each request was sent to.
    nodes: HashMap<&'a str, usize>,
    runs: HashMap<&'a str, Vec<Run<'a>>>,
    /// Faults, starts and stops: few among all events.
    disturbances: Vec<&'a Entry>,
    /// When a runner broke a stream off, by request: the last time.
    broken_off_at_us: HashMap<&'a str, u64>,
}

fn is_disturbance(event: &Event) -> bool {
    matches!(
        event,
        Event::Disturbed { .. }
            | Event::RunnerDisturbed
            | Event::Crashed { .. }
            | Event::Started { .. }
            | Event::StopPlanned { .. }
    )
}

impl<'a> History<'a> {
    fn new(entries: &'a [Entry]) -> Self {
        let mut sent: HashMap<&str, (u64, Kind, usize)> = HashMap::new();
        let mut exchanges = BTreeMap::new();
        let mut nodes = HashMap::new();
        let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
        let mut broken_off_at_us = HashMap::new();
        for (at_us, event) in entries {
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
                Event::BrokenOff { request } => {
                    broken_off_at_us.insert(request.as_str(), *at_us);
                }
                _ => {}
            }
        }
        let disturbances = entries.iter().filter(|(_, event)| is_disturbance(event)).collect();
        Self { entries, exchanges, nodes, runs, disturbances, broken_off_at_us }
    }

    /// Whether the last run of a request was broken off by its runner: then no node has cut it.
    fn was_broken_off(&self, request: &str) -> bool {
        let last_run = self.runs.get(request).and_then(|runs| runs.last());
        let broken_at_us = self.broken_off_at_us.get(request);
        last_run.zip(broken_at_us).is_some_and(|(run, broken_at_us)| *broken_at_us >= run.at_us)
    }

    /// The node that a request was sent to.
    pub(crate) fn node_of(&self, request: &str) -> Option<usize> {
        self.nodes.get(request).copied()
    }

    /// Whether a node started, stopped, was held up or was cut off from runners within a time.
    pub(crate) fn was_disturbed(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        self.disturbances.iter().any(|(at_us, event)| {
            let touches = match event {
                Event::RunnerDisturbed => true,
                Event::Disturbed { node: Some(other) }
                | Event::Started { node: other }
                | Event::StopPlanned { node: other } => *other == node,
                _ => false,
            };
            touches && (from_us..=to_us).contains(at_us)
        })
    }

    fn runs_of(&self, request: &str) -> usize {
        self.runs.get(request).map_or(0, Vec::len)
    }

    /// Whether a node, the store and the links to runners were without faults from a contact time
    /// before.
    pub(crate) fn in_touch(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        let since_us = from_us.saturating_sub(CONTACT_US + SLACK_US);
        let is_disturbed = |(at_us, event): &Entry| {
            *event == Event::RunnerDisturbed && (since_us..=to_us).contains(at_us)
        };
        let is_undisturbed = !self.disturbances.iter().copied().any(is_disturbed);
        is_undisturbed && self.in_touch_with_store(node, from_us, to_us)
    }

    /// Whether a runner ended from a contact time before.
    pub(crate) fn lost_a_runner(&self, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(CONTACT_US + SLACK_US);
        let is_end = |(at_us, event): &Entry| {
            matches!(event, Event::Crashed { .. }) && (from_us..=to_us).contains(at_us)
        };
        self.disturbances.iter().copied().any(is_end)
    }

    /// Whether a node and the store were without faults from a contact time before.
    fn in_touch_with_store(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(CONTACT_US + SLACK_US);
        !self.disturbances.iter().any(|(at_us, event)| {
            let touches = match event {
                Event::Disturbed { node: None } => true,
                Event::Disturbed { node: Some(other) }
                | Event::Started { node: other }
                | Event::StopPlanned { node: other } => *other == node,
                _ => false,
            };
            touches && (from_us..=to_us).contains(at_us)
        })
    }

    fn configured(&self) -> Vec<(u64, u64)> {
        let versions = self.entries.iter().filter_map(|(at_us, event)| match event {
            Event::Configured { version } => Some((*version, *at_us)),
            _ => None,
        });
        versions.collect()
    }

    fn probes(&self) -> impl Iterator<Item = (&&'a str, &Exchange<'a>, u64, u16)> {
        self.exchanges.iter().filter_map(|(request, exchange)| {
            match (exchange.kind, exchange.outcome) {
                (Kind::Probe { version }, Outcome::Whole { status, .. }) => {
                    Some((request, exchange, version, *status))
                }
                _ => None,
            }
        })
    }
}

fn whole_answers(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    for (request, exchange) in &history.exchanges {
        match exchange.outcome {
            Outcome::Garbage => wrong.push(format!("{request}: no answer in the protocol")),
            Outcome::Whole { status: OK, echoed, body } => {
                let is_own = echoed.as_deref() == Some(request);
                let expected = answer_body(request);
                let is_whole =
                    exchange.kind == Kind::ResumableStream || *body == expected.as_bytes();
                if !is_own || !is_whole {
                    wrong.push(format!("{request}: another answer, or a part of it"));
                }
            }
            _ => {}
        }
    }
    wrong
}

fn whole_streams(history: &History) -> Vec<String> {
    let whole: String = (0..=LAST_EVENT).map(event_text).collect();
    let streams = history.exchanges.iter().filter(|(_, it)| it.kind == Kind::ResumableStream);
    let is_torn = |outcome: &Outcome| match outcome {
        Outcome::Whole { status: OK, body, .. } => *body != whole.as_bytes(),
        _ => false,
    };
    let torn = streams.filter(|(_, exchange)| is_torn(exchange.outcome));
    torn.map(|(request, _)| format!("{request}: events are missing, doubled or out of order"))
        .collect()
}

fn at_most_once(history: &History) -> Vec<String> {
    let once = history.exchanges.iter().filter(|(_, it)| it.kind == Kind::AtMostOnce);
    let doubled = once.filter(|(request, _)| history.runs_of(request) > 1);
    doubled
        .map(|(request, _)| format!("{request}: ran {} times", history.runs_of(request)))
        .collect()
}

fn truthful_refusals(history: &History) -> Vec<String> {
    const PROMISES: [u16; 4] = [408, 421, 429, 503];
    let is_refused = |outcome: &Outcome| matches!(outcome, Outcome::Whole { status, .. } if PROMISES.contains(status));
    let once = history.exchanges.iter().filter(|(_, it)| it.kind == Kind::AtMostOnce);
    let false_ones =
        once.filter(|(request, it)| is_refused(it.outcome) && history.runs_of(request) > 0);
    false_ones.map(|(request, _)| format!("{request}: refused, and ran")).collect()
}

fn only_asked(history: &History) -> Vec<String> {
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

/// The body of a request, from its id.
pub fn request_body(request: &str) -> String {
    format!("body of {request}")
}

fn configuration_in_time(history: &History) -> Vec<String> {
    let configured = history.configured();
    let mut late = Vec::new();
    for (request, exchange, version, status) in history.probes() {
        let known = configured.iter().find(|(known, _)| *known == version);
        let Some((_, acknowledged_us)) = known else { continue };
        let replaced = configured
            .iter()
            .any(|(other, at_us)| *other > version + 1 && *at_us <= exchange.ended_us + SLACK_US);
        let due_us = acknowledged_us + APPLY_US + SLACK_US;
        let is_due = exchange.sent_us > due_us && !replaced;
        if is_due
            && status == NOT_FOUND
            && history.in_touch(exchange.node, exchange.sent_us, exchange.ended_us)
        {
            late.push(format!("{request}: node {} does not know version {version}", exchange.node));
        }
    }
    late
}

/// A route lives in its own version and the next one. A node that has refused it as gone is
/// beyond that, and must not serve it again in the same life.
fn configuration_never_reverts(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut newest: HashMap<usize, u64> = HashMap::new();
    let mut ended: Vec<(u64, usize, u64, u16, u64)> = history
        .probes()
        .map(|(_, it, version, status)| (it.ended_us, it.node, version, status, it.sent_us))
        .collect();
    ended.sort_unstable();
    let starts: Vec<(u64, usize)> = history
        .entries
        .iter()
        .filter_map(|(at_us, event)| match event {
            Event::Started { node } => Some((*at_us, *node)),
            _ => None,
        })
        .collect();
    let mut lives: HashMap<usize, u64> = HashMap::new();
    for (ended_us, node, version, status, sent_us) in ended {
        let life = starts.iter().filter(|(at_us, it)| *it == node && *at_us <= sent_us).count();
        if lives.insert(node, life as u64) != Some(life as u64) {
            newest.remove(&node);
        }
        let seen = newest.entry(node).or_default();
        if status == OK {
            if *seen > version + 1 {
                wrong.push(format!("node {node} at {ended_us} us: version {version} after {seen}"));
            }
            *seen = (*seen).max(version);
        }
    }
    wrong
}

fn drained_in_time(history: &History) -> Vec<String> {
    let mut late = Vec::new();
    for (drained_us, event) in history.entries {
        let Event::Draining { runner } = event else { continue };
        for (request, runs) in &history.runs {
            let Some(exchange) = history.exchanges.get(request) else { continue };
            for run in runs.iter().filter(|run| run.runner == runner) {
                let is_late = run.at_us > drained_us + DRAIN_US + SLACK_US;
                if is_late && history.in_touch(exchange.node, run.at_us, run.at_us) {
                    late.push(format!("{request}: sent to {runner} too late"));
                }
            }
        }
    }
    late
}

fn planned_stops(history: &History) -> Vec<String> {
    let mut cut = Vec::new();
    for (stopped_us, event) in history.entries {
        let Event::StopPlanned { node } = event else { continue };
        for (request, it) in &history.exchanges {
            let around = it.node == *node && it.ended_us >= *stopped_us;
            let is_of_this_life = it.sent_us < stopped_us + CONTACT_US;
            let from_us = it.sent_us.saturating_sub(CONTACT_US);
            let undisturbed = !history.disturbances.iter().any(|(at_us, event)| {
                let touches = matches!(
                    event,
                    Event::Disturbed { node: None }
                        | Event::RunnerDisturbed
                        | Event::Crashed { .. }
                ) || matches!(event, Event::Disturbed { node: Some(other) } if other == node);
                touches && (from_us..=it.ended_us).contains(at_us)
            });
            let was_begun = history.runs_of(request) > 0;
            if around
                && is_of_this_life
                && undisturbed
                && was_begun
                && !history.was_broken_off(request)
                && *it.outcome == Outcome::Broken
            {
                cut.push(format!("{request}: cut by the planned stop of node {node}"));
            }
        }
    }
    cut
}

/// Once three runners have ended under a request, nodes that are in touch send it to hardly any more.
fn contained(history: &History) -> Vec<String> {
    let mut ends: BTreeMap<usize, Vec<(u64, &str)>> = BTreeMap::new();
    for (at_us, event) in history.entries {
        if let Event::Crashed { under: Some((request, number)), .. } = event {
            ends.entry(*number).or_default().push((*at_us, request));
        }
    }
    let mut broken = Vec::new();
    for (number, ends) in ends {
        let Some((last_free_us, _)) = ends.get(FREE_ENDS - 1) else { continue };
        let heard_us = last_free_us + CONTACT_US + SLACK_US;
        let is_counted = |(at_us, request): &&(u64, &str)| {
            let node = history.nodes.get(request);
            let in_touch = |node: &usize| history.in_touch_with_store(*node, *at_us, *at_us);
            *at_us > heard_us && node.is_some_and(in_touch)
        };
        let repeats = ends.iter().filter(is_counted).count();
        if repeats > MOST_REPEATS {
            let all = ends.len();
            broken.push(format!("request {number}: {repeats} times more, {all} ended in all"));
        }
    }
    broken
}

fn orders_of_one_holder(history: &History) -> Vec<String> {
    let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for (_, event) in history.entries {
        if let Event::Ordered { holder, fence, .. } = event {
            holders.entry(*fence).or_default().insert(holder);
        }
    }
    let shared = holders.iter().filter(|(_, holders)| holders.len() > 1);
    shared.map(|(fence, holders)| format!("token {fence} was used by {holders:?}")).collect()
}
