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
/// more than one newer than the probed one must not serve the old route again in the same
/// incarnation.
pub(crate) fn reverted_configurations(history: &History) -> Vec<String> {
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
