//! Checks that configurations come into force in time and stay in force.

use crate::checks::{CONFIG_APPLY_BOUND_US, NOT_FOUND, OK, SLACK_US};
use crate::history::Event;
use crate::indexed_history::History;
use std::collections::HashMap;

/// Probes that a node in contact refused because it did not have a configuration that had to be in force.
pub(crate) fn late_configurations(history: &History) -> Vec<String> {
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
/// more than one newer than the probed one must not serve the old route to a request that is sent
/// later in the same incarnation.
pub(crate) fn reverted_configurations(history: &History) -> Vec<String> {
    let starts: Vec<(u64, usize)> = history
        .events
        .iter()
        .filter_map(|(at_us, event)| match event {
            Event::NodeStarted { node } => Some((*at_us, *node)),
            _ => None,
        })
        .collect();
    let incarnation = |node: usize, sent_us: u64| {
        starts.iter().filter(|(at_us, it)| *it == node && *at_us <= sent_us).count()
    };
    let mut wrong = Vec::new();
    // The responses that have shown a version so far, by node and incarnation: when they ended, and the version.
    let mut shown: HashMap<(usize, usize), Vec<(u64, u64)>> = HashMap::new();
    let mut served: Vec<(u64, u64, usize, u64)> = history
        .probes()
        .filter(|(_, _, _, status)| *status == OK)
        .map(|(_, it, version, _)| (it.ended_us, it.sent_us, it.node, version))
        .collect();
    served.sort_unstable();
    for (ended_us, sent_us, node, version) in served {
        let shown = shown.entry((node, incarnation(node, sent_us))).or_default();
        let before = shown.iter().filter(|(at_us, _)| *at_us <= sent_us);
        let newest_version = before.map(|(_, version)| *version).max().unwrap_or_default();
        if newest_version > version + 1 {
            wrong.push(format!(
                "node {node} at {ended_us} us: version {version} after {newest_version}"
            ));
        }
        shown.push((ended_us, version));
    }
    wrong
}
