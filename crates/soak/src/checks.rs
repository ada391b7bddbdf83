//! One check for each guarantee to users whose violation clients and runners can observe.

use crate::configuration_checks::{late_configurations, reverted_configurations};
use crate::fleet::{response_body, LAST_EVENT};
use crate::history::{Event, Outcome, RequestKind, TimedEvent};
use crate::indexed_history::History;
use crate::interrupted_streams::streams_cut_by_their_node;
use crate::lost_link_checks::unserved_without_links;
use crate::region_checks::unserved_in_cut_off_regions;
use crate::reported_limit_checks::exceeded_reported_limits;
use crate::self_report_checks::{requests_after_leaving, requests_during_backoff};
use crate::tenant_limit_checks::{exceeded_tenant_limits, false_limit_refusals};
use crate::tenants::{tenant_of, BELOW_LIMIT};
use pitchstall_platform_standins::runner::event_text;
use std::collections::{BTreeMap, BTreeSet};

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
/// Number of bytes of a wrong response that a violation shows.
const MAX_SHOWN_BYTES: usize = 80;
/// Runner crashes caused by one poison request before its repeats are counted.
const FREE_CRASHES: usize = 3;
/// Number of counted repeats of a poison request that are tolerated.
const MAX_REPEATS: usize = 3;
pub(crate) const OK: u16 = 200;
pub(crate) const NOT_FOUND: u16 = 404;

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
const CHECKS: [(&str, Check); 20] = [
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
    ("a node without links to runners serves its callers", unserved_without_links),
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
                    let start = &body[..body.len().min(MAX_SHOWN_BYTES)];
                    let start = String::from_utf8_lossy(start);
                    wrong.push(format!(
                        "{request}: another answer, or a part of it: {echoed_id:?} {start:?}"
                    ));
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

fn runs_after_drain(history: &History) -> Vec<String> {
    let mut late = Vec::new();
    for (draining_us, event) in history.events {
        let Event::Draining { runner } = event else { continue };
        for (request, runs) in &history.runs {
            let Some(exchange) = history.exchanges.get(request) else { continue };
            for run in runs.iter().filter(|run| run.runner == runner) {
                let is_late = run.at_us > draining_us + DRAIN_BOUND_US + SLACK_US;
                let was_held_back = exchange.sent_us < draining_us + DRAIN_BOUND_US
                    && history.were_links_cut(exchange.node, run.at_us, run.at_us);
                if is_late
                    && !was_held_back
                    && history.was_in_contact(exchange.node, run.at_us, run.at_us)
                {
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
                        | Event::NodeLinksCut { .. }
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
