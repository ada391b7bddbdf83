//! The recorded events of a run, indexed for the checks.

use crate::checks::{CONTACT_BOUND_US, SLACK_US};
use crate::history::{Event, Outcome, RequestKind, TimedEvent};
use std::collections::{BTreeMap, HashMap};

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

/// A run of a request at a runner.
pub(crate) struct Run<'a> {
    pub(crate) at_us: u64,
    pub(crate) runner: &'a str,
    pub(crate) body: &'a [u8],
}

/// The recorded events, indexed for the checks.
pub(crate) struct History<'a> {
    pub(crate) events: &'a [TimedEvent],
    pub(crate) exchanges: BTreeMap<&'a str, Exchange<'a>>,
    /// The node that received each request, by request id.
    pub(crate) nodes: HashMap<&'a str, usize>,
    pub(crate) runs: HashMap<&'a str, Vec<Run<'a>>>,
    /// Faults, starts and stops. Checks search this short list instead of all events.
    pub(crate) disturbances: Vec<&'a TimedEvent>,
    /// Time of the last stream abort by a runner, microseconds, by request id.
    aborted_at_us: HashMap<&'a str, u64>,
}

fn is_disturbance(event: &Event) -> bool {
    matches!(
        event,
        Event::Disturbed { .. }
            | Event::RunnerLinkDisturbed
            | Event::NodeLinksCut { .. }
            | Event::RunnerStarted { .. }
            | Event::RunnerCrashed { .. }
            | Event::NodeStarted { .. }
            | Event::PlannedStop { .. }
    )
}

impl<'a> History<'a> {
    pub(crate) fn new(events: &'a [TimedEvent]) -> Self {
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
    pub(crate) fn was_aborted_by_runner(&self, request: &str) -> bool {
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

    /// Whether the node's links to runners were lost at any time in the given period or in the contact bound before it.
    /// Links hold bytes back and deliver them later, so a request may arrive at a runner long after it was sent.
    pub(crate) fn were_links_cut(&self, node: usize, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(CONTACT_BOUND_US);
        let mut is_cut = false;
        for (at_us, event) in self.disturbances.iter().copied() {
            let Event::NodeLinksCut { node: other, begins } = event else { continue };
            if *other != node {
                continue;
            }
            let was_cut_until_now = is_cut && *at_us >= from_us;
            if *at_us > to_us {
                return was_cut_until_now;
            }
            if was_cut_until_now || *at_us >= from_us {
                return true;
            }
            is_cut = *begins;
        }
        is_cut
    }

    pub(crate) fn run_count(&self, request: &str) -> usize {
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
    pub(crate) fn was_in_contact_with_store(&self, node: usize, from_us: u64, to_us: u64) -> bool {
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

    pub(crate) fn configured_versions(&self) -> Vec<(u64, u64)> {
        let versions = self.events.iter().filter_map(|(at_us, event)| match event {
            Event::Configured { version } => Some((*version, *at_us)),
            _ => None,
        });
        versions.collect()
    }

    pub(crate) fn probes(&self) -> impl Iterator<Item = (&&'a str, &Exchange<'a>, u64, u16)> {
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
