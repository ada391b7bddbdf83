//! Checks that a node respects what a runner has reported to it about itself, even if the store
//! does not show it yet.

use crate::checks::{CONTACT_BOUND_US, DRAIN_BOUND_US};
use crate::history::Event;
use crate::indexed_history::History;
use std::collections::HashMap;

/// Time from a response that asks for a pause until arrivals count, microseconds. Requests already
/// in flight may arrive before.
const IN_FLIGHT_US: u64 = 500_000;
/// Number of requests that may still arrive during a pause.
const MAX_ARRIVALS_IN_BACKOFF: usize = 2;
/// Number of arrivals that a violation shows.
const MAX_SHOWN_ARRIVALS: usize = 5;

/// Time and id of the arrivals by runner and node, in order of time.
type Arrivals<'a> = HashMap<(&'a str, usize), Vec<(u64, &'a str)>>;

fn arrivals<'a>(history: &History<'a>) -> Arrivals<'a> {
    let mut all = Arrivals::new();
    for (at_us, event) in history.events {
        let Event::Arrived { request, runner } = event else { continue };
        let Some(node) = history.node_of(request) else { continue };
        all.entry((runner, node)).or_default().push((*at_us, request));
    }
    all
}

/// Finds requests that a node sent to a runner although it had passed on a response in which the
/// runner announced that it is leaving, and although clients sent them later than the drain bound
/// after that.
pub(crate) fn requests_after_leaving(history: &History) -> Vec<String> {
    let arrivals = arrivals(history);
    let mut broken = Vec::new();
    for (_, event) in history.events {
        let Event::LeavingReported { request, runner } = event else { continue };
        let Some(reporting) = history.exchanges.get(request.as_str()) else { continue };
        // The response may have been lost with the link, and the request repeated at another runner.
        if history.were_links_cut(reporting.node, reporting.sent_us, reporting.ended_us) {
            continue;
        }
        let Some(arrived) = arrivals.get(&(runner.as_str(), reporting.node)) else { continue };
        for (at_us, later_request) in arrived {
            let Some(exchange) = history.exchanges.get(later_request) else { continue };
            let is_late = exchange.sent_us > reporting.ended_us + DRAIN_BOUND_US;
            if is_late && !history.was_disturbed(reporting.node, reporting.sent_us, *at_us) {
                broken.push(format!(
                    "{later_request}: sent to {runner}, which said in {request} that it leaves"
                ));
            }
        }
    }
    broken
}

/// Finds runners that received more than a few requests from one node during the pause that they
/// had asked it for.
pub(crate) fn requests_during_backoff(history: &History) -> Vec<String> {
    let arrivals = arrivals(history);
    let mut broken = Vec::new();
    for (asked_us, event) in history.events {
        let Event::BackoffRequested { request, runner, backoff_us } = event else { continue };
        let Some(node) = history.node_of(request) else { continue };
        // The next incarnation has not asked for anything.
        let ended_us = end_of_incarnation(history, runner, *asked_us);
        let (from_us, to_us) = (asked_us + IN_FLIGHT_US, (asked_us + backoff_us).min(ended_us));
        // A node that was cut off or paused may not have received the response yet.
        if history.was_disturbed(node, asked_us.saturating_sub(CONTACT_BOUND_US), to_us) {
            continue;
        }
        let arrived = arrivals.get(&(runner.as_str(), node)).map_or(&[][..], Vec::as_slice);
        // The response may have been lost with the link, and requests that were sent before it may arrive late.
        if history.were_links_cut(node, *asked_us, to_us) {
            continue;
        }
        let is_in_backoff = |(at_us, _): &(u64, &str)| (from_us..to_us).contains(at_us);
        let in_backoff: Vec<_> = arrived.iter().copied().filter(is_in_backoff).collect();
        if in_backoff.len() > MAX_ARRIVALS_IN_BACKOFF {
            let (count, arrivals) = (in_backoff.len(), shown(&in_backoff));
            broken.push(format!(
                "{count} from node {node} at {runner}, which asked for rest in {request} at {asked_us} us: {arrivals}"
            ));
        }
    }
    broken
}

/// The first of some arrivals: the ids of their requests, with their times in microseconds.
fn shown(arrivals: &[(u64, &str)]) -> String {
    let text = |(at_us, request): &(u64, &str)| format!("{request} at {at_us} us");
    let first: Vec<String> = arrivals.iter().take(MAX_SHOWN_ARRIVALS).map(text).collect();
    first.join(", ")
}

/// Until when a runner is bound by what it said at a moment: until it begins to crash or, if it had begun before that moment
/// and still responded, until its next incarnation starts. `u64::MAX` if neither happens.
fn end_of_incarnation(history: &History, name: &str, after_us: u64) -> u64 {
    let ended = history.disturbances.iter().find_map(|(at_us, event)| match event {
        Event::RunnerCrashed { runner, .. } | Event::RunnerStarted { runner }
            if runner == name && *at_us >= after_us =>
        {
            Some(*at_us)
        }
        _ => None,
    });
    ended.unwrap_or(u64::MAX)
}
