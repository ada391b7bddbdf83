//! Check that nodes without links to any runner serve their clients through other nodes.

use crate::checks::{CONTACT_BOUND_US, SLACK_US};
use crate::history::{Event, RequestKind};
use crate::indexed_history::{Exchange, History};
use std::collections::BTreeSet;

/// Failed requests at nodes without links that are tolerated: a number, and one in so many of all requests.
const TOLERATED_FAILURES: usize = 10;
const TOLERATED_FAILURE_RATIO: usize = 50;
const OK: u16 = 200;
const REFUSED: u16 = 503;

/// A time during which some nodes have no links, microseconds.
struct Cut {
    nodes: BTreeSet<usize>,
    begins_us: u64,
    ends_us: u64,
}

/// Requests sent and served.
#[derive(Clone, Copy, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn add(&mut self, exchange: &Exchange<'_>) {
        self.sent += 1;
        self.served += usize::from(exchange.status() == Some(OK));
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }
}

/// Once the bounds apply, nodes without links serve at least two thirds as often as the others, unless few requests fail.
pub(crate) fn unserved_without_links(history: &History) -> Vec<String> {
    cuts(history).iter().filter_map(|cut| violation(history, cut)).collect()
}

fn violation(history: &History, cut: &Cut) -> Option<String> {
    let mut without_links = Tally::default();
    let mut others = Tally::default();
    let exchanges = history.exchanges.iter();
    for (_, exchange) in exchanges.filter(|(request, it)| qualifies(history, request, it, cut)) {
        match cut.nodes.contains(&exchange.node) {
            true => without_links.add(exchange),
            false => others.add(exchange),
        }
    }
    let sent = without_links.sent + others.sent;
    let is_tolerated =
        without_links.failed() <= TOLERATED_FAILURES + sent / TOLERATED_FAILURE_RATIO;
    // Both shares multiplied by the numbers of requests sent, so that no division is needed.
    let is_equal = 3 * without_links.served * others.sent >= 2 * others.served * without_links.sent;
    (!is_tolerated && !is_equal).then(|| {
        let (Tally { sent, served }, Tally { sent: other_sent, served: other_served }) =
            (without_links, others);
        let nodes = &cut.nodes;
        format!(
            "{served} of {sent} at nodes {nodes:?}, {other_served} of {other_sent} at the others"
        )
    })
}

/// The cuts in order of their starts. Nodes that lose their links at the same time belong to one cut.
fn cuts(history: &History) -> Vec<Cut> {
    let mut cuts: Vec<Cut> = Vec::new();
    for (at_us, event) in history.events {
        let Event::NodeLinksCut { node, begins } = event else { continue };
        let open = cuts.iter_mut().rfind(|cut| cut.ends_us == u64::MAX);
        match (begins, open) {
            (true, Some(cut)) => drop(cut.nodes.insert(*node)),
            (true, None) => cuts.push(Cut {
                nodes: BTreeSet::from([*node]),
                begins_us: *at_us,
                ends_us: u64::MAX,
            }),
            (false, Some(cut)) => cut.ends_us = *at_us,
            (false, None) => {}
        }
    }
    cuts
}

/// Whether the request, of a tenant without a limit, was sent during the cut and no other fault affected its node or the
/// runners.
fn qualifies(history: &History, request: &str, exchange: &Exchange<'_>, cut: &Cut) -> bool {
    let is_work = matches!(
        exchange.kind,
        RequestKind::AtMostOnce | RequestKind::Repeatable | RequestKind::ResumableStream
    );
    let counted_us = cut.begins_us + CONTACT_BOUND_US + SLACK_US..cut.ends_us;
    is_work
        && crate::tenants::tenant_of(request).limit.is_none()
        && counted_us.contains(&exchange.sent_us)
        && history.was_in_contact(exchange.node, exchange.sent_us, exchange.ended_us)
        && !history.did_runner_crash(exchange.sent_us, exchange.ended_us)
        && !was_refused_during_rest(history, exchange)
}

/// Whether a node refused the request while a runner had asked it for a rest. All runners of the service may rest at once.
fn was_refused_during_rest(history: &History, exchange: &Exchange<'_>) -> bool {
    let rests = |at_us: u64, event: &Event| match event {
        Event::BackoffRequested { request, backoff_us, .. } => {
            let is_asked = history.node_of(request) == Some(exchange.node);
            is_asked && (at_us..at_us + backoff_us).contains(&exchange.sent_us)
        }
        _ => false,
    };
    exchange.status() == Some(REFUSED)
        && history.events.iter().any(|(at_us, event)| rests(*at_us, event))
}
