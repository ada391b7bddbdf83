//! What runners say of themselves binds the node to which they have said it, whatever the store says.

use crate::checks::{History, CONTACT_US, DRAIN_US};
use crate::history::Event;
use std::collections::HashMap;

/// Time from an answer that asks for rest until it counts, microseconds: what is under way then may arrive.
const CROSSING_US: u64 = 500_000;
/// Requests that may arrive in the time of a rest.
const MOST_IN_A_REST: usize = 2;

/// Arrivals at each runner from each node, in order of time.
type Arrivals<'a> = HashMap<(&'a str, usize), Vec<(u64, &'a str)>>;

fn arrivals<'a>(history: &History<'a>) -> Arrivals<'a> {
    let mut all = Arrivals::new();
    for (at_us, event) in history.entries {
        let Event::Arrived { request, runner } = event else { continue };
        let Some(node) = history.node_of(request) else { continue };
        all.entry((runner, node)).or_default().push((*at_us, request));
    }
    all
}

/// Requests that callers sent later than the time to drain after a node had passed on an answer whose runner says
/// in it that it leaves, and which that node sent to that runner.
pub(crate) fn sent_to_leaving(history: &History) -> Vec<String> {
    let arrivals = arrivals(history);
    let mut broken = Vec::new();
    for (_, event) in history.entries {
        let Event::ToldLeaving { request, runner } = event else { continue };
        let Some(told) = history.exchanges.get(request.as_str()) else { continue };
        let Some(arrived) = arrivals.get(&(runner.as_str(), told.node)) else { continue };
        for (at_us, later) in arrived {
            let Some(exchange) = history.exchanges.get(later) else { continue };
            let is_late = exchange.sent_us > told.ended_us + DRAIN_US;
            if is_late && !history.was_disturbed(told.node, told.sent_us, *at_us) {
                broken.push(format!(
                    "{later}: sent to {runner}, which said in {request} that it leaves"
                ));
            }
        }
    }
    broken
}

/// More than a few requests that reached a runner from a node in the time for which it wanted none.
pub(crate) fn sent_to_resting(history: &History) -> Vec<String> {
    let arrivals = arrivals(history);
    let mut broken = Vec::new();
    for (asked_us, event) in history.entries {
        let Event::AskedForRest { request, runner, rest_us } = event else { continue };
        let Some(node) = history.node_of(request) else { continue };
        let (from_us, to_us) = (asked_us + CROSSING_US, asked_us + rest_us);
        // A node that was cut off or held up may not have heard it yet.
        if history.was_disturbed(node, asked_us.saturating_sub(CONTACT_US), to_us) {
            continue;
        }
        let arrived = arrivals.get(&(runner.as_str(), node)).map_or(&[][..], Vec::as_slice);
        let in_rest = arrived.iter().filter(|(at_us, _)| (from_us..to_us).contains(at_us)).count();
        if in_rest > MOST_IN_A_REST {
            broken.push(format!(
                "{in_rest} from node {node} at {runner}, which asked for rest in {request}"
            ));
        }
    }
    broken
}
