//! Checkers of what must always hold, over the history of a run.
//!
//! Each returns how often its promise was put to the test and every violation. They know
//! nothing of how the nodes work. `tests/checkers.rs` runs each on a history that breaks its
//! promise.

use crate::simulation::history::{Event, History};
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::engine::{AttemptKey, FencingToken, OrderKind, OrderReply};
use pitchstall_protocol::error::{ErrorCode, Execution};
use pitchstall_protocol::ids::{
    ChangeId, EngineId, Epoch, NodeId, RequestId, Revision, ServiceName, ZoneId,
};
use pitchstall_protocol::operator::ApplyOutcome;
use pitchstall_protocol::Configuration;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use todc_utils::linearizability::history::{Action, History as Operations};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An engine never receives conflicting orders.
    NoConflictingOrders,
    /// Orders from a process that has lost its authority have no effect.
    StaleOrdersHaveNoEffect,
    /// No request is cut by a planned change.
    PlannedChangesCutNothing,
    /// A planned stop cuts no request.
    PlannedStopsCutNothing,
    /// Every request is answered, be it by a failure.
    EveryRequestIsAnswered,
    /// A caller gets the whole answer to its own request.
    AnswersAreWhole,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after the bound.
    LeavingGetsNoWork,
    /// An accepted configuration never reverts, and submissions are linearizable.
    ConfigurationNeverReverts,
    /// An accepted configuration is in force everywhere within the bound.
    ConfigurationSpreads,
    /// No data moves to a forbidden zone after the bound.
    NoDataToForbiddenZones,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 12] = [
        Self::NoConflictingOrders,
        Self::StaleOrdersHaveNoEffect,
        Self::PlannedChangesCutNothing,
        Self::PlannedStopsCutNothing,
        Self::EveryRequestIsAnswered,
        Self::AnswersAreWhole,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingGetsNoWork,
        Self::ConfigurationNeverReverts,
        Self::ConfigurationSpreads,
        Self::NoDataToForbiddenZones,
    ];
}

/// What came of checking one promise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// How often it was put to the test.
    pub checked: u64,
    /// Each violation, for a person.
    pub violations: Vec<String>,
}

impl Verdict {
    fn expect(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.violations.push(describe());
        }
    }
}

/// Bounds that the promises name.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// New work for an engine that leaves.
    pub leaving: Duration,
    /// Spread of a configuration.
    pub configuration: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { leaving: Duration::from_secs(3), configuration: Duration::from_secs(8) }
    }
}

/// What a checker may know besides the history.
#[derive(Clone, Debug, Default)]
pub struct Circumstances {
    /// Whether nothing but planned changes happened.
    pub planned_only: bool,
    /// Spans in which a node could not be reached, was stopped or was down; `None` for the
    /// node: any of them.
    pub unreachable: Vec<(Option<NodeId>, Timestamp, Timestamp)>,
    /// Nodes that live at the end, with the time of their last start.
    pub alive_since: Vec<(NodeId, Timestamp)>,
}

/// Checks all promises.
pub fn check_all(
    history: &History,
    bounds: Bounds,
    circumstances: &Circumstances,
) -> BTreeMap<Promise, Verdict> {
    let events = &history.events;
    [
        (Promise::NoConflictingOrders, conflicting_orders(events)),
        (Promise::StaleOrdersHaveNoEffect, stale_orders(events)),
        (Promise::PlannedChangesCutNothing, planned_changes(events, circumstances)),
        (Promise::PlannedStopsCutNothing, planned_stops(events, circumstances)),
        (Promise::EveryRequestIsAnswered, every_answer(events)),
        (Promise::AnswersAreWhole, whole_answers(events)),
        (Promise::NotRunIsTrue, not_run(events)),
        (Promise::AtMostOnce, at_most_once(events)),
        (Promise::LeavingGetsNoWork, leaving(events, bounds.leaving)),
        (Promise::ConfigurationNeverReverts, never_reverts(events)),
        (Promise::ConfigurationSpreads, spreads(events, bounds.configuration, circumstances)),
        (Promise::NoDataToForbiddenZones, no_data(events, bounds.configuration)),
    ]
    .into()
}

type Events = [(Timestamp, Event)];

// --- authority -------------------------------------------------------------------------------

/// Accepted orders of an engine come in the order of their tokens, one kind to a token, and
/// each epoch begins with its fence.
fn conflicting_orders(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let mut accepted: HashMap<&EngineId, BTreeMap<FencingToken, &OrderKind>> = HashMap::new();
    for (at, event) in events {
        let Event::Ordered { engine, node, token, kind, reply: OrderReply::Accepted { .. } } =
            event
        else {
            continue;
        };
        let known = accepted.entry(engine).or_default();
        let highest = known.keys().next_back().copied();
        let in_order = highest.is_none_or(|highest| *token >= highest);
        verdict.expect(in_order, || {
            format!("{at:?}: {engine} took {token:?} of {node} after {highest:?}")
        });
        let same_kind = known.get(token).is_none_or(|before| *before == kind);
        verdict.expect(same_kind, || format!("{at:?}: {engine} took two orders as {token:?}"));
        let fence_first = *kind == OrderKind::RaiseFence
            || known.keys().any(|before| before.epoch == token.epoch);
        verdict.expect(fence_first, || {
            format!("{at:?}: {engine} took {token:?} of {node} without a fence of its epoch")
        });
        known.insert(*token, kind);
    }
    verdict
}

/// Once an engine has taken an order of an epoch, orders of earlier epochs are refused.
fn stale_orders(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let mut highest: HashMap<&EngineId, Epoch> = HashMap::new();
    for (at, event) in events {
        let Event::Ordered { engine, node, token, reply, .. } = event else {
            continue;
        };
        let known = highest.entry(engine).or_default();
        if token.epoch < *known {
            let refused = matches!(reply, OrderReply::Stale { .. });
            verdict.expect(refused, || {
                format!("{at:?}: {engine} did not refuse {token:?} of {node} after {known}")
            });
        } else if matches!(reply, OrderReply::Accepted { .. }) {
            *known = token.epoch;
        }
    }
    verdict
}

// --- planned changes -------------------------------------------------------------------------

/// Whether a failure cuts a request. A refusal at the door does not, even if it cannot tell
/// whether another submission with the same idempotency key has run.
fn cuts(code: ErrorCode, execution: Execution) -> bool {
    match execution {
        Execution::NotRun => false,
        Execution::Partial => true,
        Execution::Unknown => matches!(
            code,
            ErrorCode::EngineFailed | ErrorCode::DeadlineExceeded | ErrorCode::CannotResume
        ),
    }
}

/// Requests that were in work when something was planned, and how they ended.
fn in_work_at(
    events: &Events,
    is_plan: impl Fn(&Event) -> Option<Option<NodeId>>,
    verdict: &mut Verdict,
) {
    let mut open: HashMap<usize, &RequestId> = HashMap::new();
    let mut touched: HashSet<usize> = HashSet::new();
    for (at, event) in events {
        if let Some(of_node) = is_plan(event) {
            let affected = open.iter().filter(|(_, request)| match &of_node {
                Some(node) => request.as_str().starts_with(&format!("{node}.")),
                None => true,
            });
            touched.extend(affected.map(|(wish, _)| *wish));
        }
        match event {
            Event::Submitted { wish, request, .. } => {
                open.insert(*wish, request);
            }
            Event::Finished { wish, .. } => {
                open.remove(wish);
                if touched.remove(wish) {
                    verdict.checked += 1;
                }
            }
            Event::Failed { wish, error, .. } => {
                open.remove(wish);
                if touched.remove(wish) {
                    verdict.expect(!cuts(error.code, error.execution), || {
                        format!("{at:?}: request of caller {wish} was cut: {error}")
                    });
                }
            }
            _ => {}
        }
    }
    for wish in touched {
        verdict.expect(false, || format!("request of caller {wish} was never answered"));
    }
}

fn planned_changes(events: &Events, circumstances: &Circumstances) -> Verdict {
    let mut verdict = Verdict::default();
    if circumstances.planned_only {
        let is_plan = |event: &Event| match event {
            Event::EngineChanged { .. } | Event::EngineLeaves { .. } => Some(None),
            _ => None,
        };
        in_work_at(events, is_plan, &mut verdict);
    }
    verdict
}

fn planned_stops(events: &Events, circumstances: &Circumstances) -> Verdict {
    let mut verdict = Verdict::default();
    if circumstances.planned_only {
        let is_plan = |event: &Event| match event {
            Event::NodeLeaves { node } => Some(Some(node.clone())),
            _ => None,
        };
        in_work_at(events, is_plan, &mut verdict);
    }
    verdict
}

// --- answers ------------------------------------------------------------------------------------

fn whole_answers(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let mut offsets: HashMap<(usize, &RequestId), u32> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Finished { wish, text, expected, .. } => {
                verdict.expect(text == expected, || {
                    format!(
                        "{at:?}: caller {wish} got {} bytes that are not its answer of {}",
                        text.len(),
                        expected.len()
                    )
                });
            }
            Event::Piece { wish, point, .. } => {
                let before = offsets.insert((*wish, &point.request), point.offset).unwrap_or(0);
                let replayed = point.engine.as_str() == "replay";
                verdict.expect(replayed || point.offset == before + 1, || {
                    format!("{at:?}: caller {wish} got token {} after {before}", point.offset)
                });
            }
            _ => {}
        }
    }
    verdict
}

/// Each caller's last submission ends with an answer or a failure.
fn every_answer(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let mut open: BTreeMap<usize, (Timestamp, &RequestId)> = BTreeMap::new();
    for (at, event) in events {
        match event {
            Event::Submitted { wish, request, .. } => {
                open.insert(*wish, (*at, request));
            }
            Event::Finished { wish, .. } | Event::Failed { wish, .. } => {
                open.remove(wish);
                verdict.checked += 1;
            }
            // Whoever breaks the connection has told the caller so.
            Event::GaveUp { wish } => {
                open.remove(wish);
            }
            _ => {}
        }
    }
    for (wish, (at, request)) in open {
        verdict.expect(false, || format!("caller {wish} waits for {request} since {at:?}"));
    }
    verdict
}

struct Runs<'a> {
    /// When each request's first token was written, at the earliest.
    started: HashMap<&'a RequestId, Timestamp>,
    /// Requests by idempotency key.
    by_key: HashMap<&'a str, BTreeSet<&'a RequestId>>,
    key_of: HashMap<&'a RequestId, &'a str>,
    /// Attempts that wrote, by request.
    attempts: HashMap<&'a RequestId, BTreeSet<&'a AttemptKey>>,
}

fn gather_runs(events: &Events) -> Runs<'_> {
    let mut runs = Runs {
        started: HashMap::new(),
        by_key: HashMap::new(),
        key_of: HashMap::new(),
        attempts: HashMap::new(),
    };
    for (at, event) in events {
        match event {
            Event::Submitted { request, key: Some(key), .. } => {
                runs.by_key.entry(key).or_default().insert(request);
                runs.key_of.insert(request, key);
            }
            Event::Started { key, .. } => {
                runs.started.entry(&key.request).or_insert(*at);
                runs.attempts.entry(&key.request).or_default().insert(key);
            }
            _ => {}
        }
    }
    runs
}

/// A request that was refused as not run never writes a token, before or after; and no
/// request with the same idempotency key had written one before.
fn not_run(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let runs = gather_runs(events);
    for (at, event) in events {
        let Event::Failed { request, error, .. } = event else {
            continue;
        };
        if error.execution != Execution::NotRun {
            continue;
        }
        verdict.expect(!runs.started.contains_key(request), || {
            format!("{at:?}: {request} was said not to have run, and has: {error}")
        });
        let Some(key) = runs.key_of.get(request) else {
            continue;
        };
        let others = runs.by_key.get(key).into_iter().flatten();
        let ran_before =
            others.filter_map(|other| runs.started.get(other)).any(|started| started < at);
        verdict.expect(!ran_before, || {
            format!("{at:?}: {key} was said not to have run, and another submission had: {error}")
        });
    }
    verdict
}

/// Over all requests of one idempotency key, at most one attempt writes tokens; and the
/// answers to the key are linearizable as a register that is written once.
fn at_most_once(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let runs = gather_runs(events);
    for (key, requests) in &runs.by_key {
        let attempts: BTreeSet<&AttemptKey> = requests
            .iter()
            .filter_map(|request| runs.attempts.get(request))
            .flatten()
            .copied()
            .collect();
        verdict.expect(attempts.len() <= 1, || format!("{key} ran as {attempts:?}"));
        let linearizable = is_linearizable::<WrittenOnce>(key_operations(events, requests));
        verdict.expect(linearizable, || format!("answers to {key} are not linearizable"));
    }
    verdict
}

/// Whether operations, each with its process, have an order that the specification allows.
fn is_linearizable<S: Specification>(actions: Vec<(usize, Action<S::Operation>)>) -> bool
where
    S::Operation: Clone + std::fmt::Debug,
    S::State: Clone + Eq + std::hash::Hash,
{
    // The library has no empty histories.
    actions.is_empty() || WGLChecker::<S>::is_linearizable(Operations::from_actions(actions))
}

/// What a submission with an idempotency key came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum KeyOperation {
    /// The whole answer, from its own run or replayed.
    Answered,
    /// Refused: nothing with this key has run.
    NotRun,
}

/// A register that is written once: the run of a key.
struct WrittenOnce;

impl Specification for WrittenOnce {
    type State = bool;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        false
    }

    fn apply(operation: &Self::Operation, has_run: &Self::State) -> (bool, Self::State) {
        match operation {
            KeyOperation::Answered => (true, true),
            KeyOperation::NotRun => (!has_run, *has_run),
        }
    }
}

fn key_operations(
    events: &Events,
    requests: &BTreeSet<&RequestId>,
) -> Vec<(usize, Action<KeyOperation>)> {
    // What a submission came to is known at its end; unknown ends say nothing.
    // A resumed request is one operation, which ends with its last end.
    let mut ends: HashMap<(usize, &RequestId), (usize, KeyOperation)> = HashMap::new();
    for (place, (_, event)) in events.iter().enumerate() {
        match event {
            Event::Finished { wish, request, .. } if requests.contains(request) => {
                ends.insert((*wish, request), (place, KeyOperation::Answered));
            }
            Event::Failed { wish, request, error } if requests.contains(request) => {
                if error.execution == Execution::NotRun {
                    ends.insert((*wish, request), (place, KeyOperation::NotRun));
                } else {
                    ends.remove(&(*wish, request));
                }
            }
            _ => {}
        }
    }
    let mut processes: HashMap<(usize, &RequestId), usize> = HashMap::new();
    let mut actions = Vec::new();
    for (place, (_, event)) in events.iter().enumerate() {
        match event {
            Event::Submitted { wish, request, .. } => {
                let operation = (*wish, request);
                let fresh = processes.len();
                if let Some((_, end)) = ends.get(&operation) {
                    if let std::collections::hash_map::Entry::Vacant(entry) =
                        processes.entry(operation)
                    {
                        entry.insert(fresh);
                        actions.push((fresh, Action::Call(*end)));
                    }
                }
            }
            Event::Finished { wish, request, .. } | Event::Failed { wish, request, .. } => {
                let operation = (*wish, request);
                if let (Some(process), Some((ended, end))) =
                    (processes.get(&operation), ends.get(&operation))
                {
                    if *ended == place {
                        actions.push((*process, Action::Response(*end)));
                    }
                }
            }
            _ => {}
        }
    }
    actions
}

// --- departures ------------------------------------------------------------------------------------

fn leaving(events: &Events, bound: Duration) -> Verdict {
    let mut verdict = Verdict::default();
    let mut since: HashMap<&EngineId, Timestamp> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::EngineLeaves { engine } => {
                since.entry(engine).or_insert(*at);
                verdict.checked += 1;
            }
            Event::Attempted { engine, key } => {
                if let Some(left) = since.get(engine) {
                    let after = at.since(*left);
                    verdict.expect(after <= bound, || {
                        format!("{at:?}: {engine} got {key:?} {after:?} after it began to leave")
                    });
                }
            }
            _ => {}
        }
    }
    verdict
}

// --- configuration --------------------------------------------------------------------------------

/// A submission, as an operation on the register that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ConfigurationOperation {
    /// Committed on top of this revision.
    Committed(u64),
    /// Refused because the revision was another one.
    Conflict(u64),
}

struct RevisionRegister;

impl Specification for RevisionRegister {
    type State = u64;
    type Operation = ConfigurationOperation;

    fn init() -> Self::State {
        1
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            ConfigurationOperation::Committed(expected) => (expected == state, state + 1),
            ConfigurationOperation::Conflict(expected) => (expected != state, *state),
        }
    }
}

fn never_reverts(events: &Events) -> Verdict {
    let mut verdict = Verdict::default();
    let mut committed: HashMap<&ChangeId, Revision> = HashMap::new();
    let mut last = Revision(0);
    let mut applied: HashMap<&NodeId, Revision> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Committed { revision, change, .. } => {
                verdict.expect(*revision == last.next(), || {
                    format!("{at:?}: revision {revision} was committed after {last}")
                });
                last = *revision;
                committed.insert(change, *revision);
            }
            Event::Applied { node, revision } => {
                let before = applied.insert(node, *revision).unwrap_or_default();
                // A node that starts anew begins with nothing.
                verdict.expect(*revision >= before || before > last, || {
                    format!("{at:?}: {node} went from revision {before} to {revision}")
                });
            }
            Event::NodeLeft { node } => {
                applied.remove(node);
            }
            Event::ApplyEnds { change, outcome: Some(outcome) } => {
                let stands = committed.get(change);
                let is_true = match outcome {
                    ApplyOutcome::Committed { revision } => stands == Some(revision),
                    ApplyOutcome::Conflict { .. } | ApplyOutcome::Unavailable => stands.is_none(),
                    ApplyOutcome::Unknown | ApplyOutcome::Invalid { .. } => true,
                };
                verdict.expect(is_true, || {
                    format!("{at:?}: {change} was answered {outcome:?}, and {stands:?} stands")
                });
            }
            _ => {}
        }
    }
    let linearizable = is_linearizable::<RevisionRegister>(submissions(events, &committed));
    verdict.expect(linearizable, || "submissions are not linearizable".to_owned());
    verdict
}

fn submissions(
    events: &Events,
    committed: &HashMap<&ChangeId, Revision>,
) -> Vec<(usize, Action<ConfigurationOperation>)> {
    let mut outcomes: HashMap<&ChangeId, ConfigurationOperation> = HashMap::new();
    let mut expected_of: HashMap<&ChangeId, u64> = HashMap::new();
    for (_, event) in events {
        match event {
            Event::ApplyBegins { change, expected } => {
                expected_of.insert(change, expected.0);
                // Whatever its operator was told, it went in.
                if committed.contains_key(change) {
                    outcomes.insert(change, ConfigurationOperation::Committed(expected.0));
                }
            }
            Event::ApplyEnds { change, outcome: Some(ApplyOutcome::Conflict { .. }) } => {
                let expected = expected_of.get(change).copied().unwrap_or(0);
                outcomes.insert(change, ConfigurationOperation::Conflict(expected));
            }
            _ => {}
        }
    }
    let mut actions = Vec::new();
    let mut processes: HashMap<&ChangeId, usize> = HashMap::new();
    let mut open: BTreeMap<usize, ConfigurationOperation> = BTreeMap::new();
    for (_, event) in events {
        match event {
            Event::ApplyBegins { change, .. } => {
                if let Some(outcome) = outcomes.get(change) {
                    let process = processes.len();
                    processes.insert(change, process);
                    open.insert(process, *outcome);
                    actions.push((process, Action::Call(*outcome)));
                }
            }
            Event::ApplyEnds { change, outcome: Some(outcome) } => {
                let decided = matches!(
                    outcome,
                    ApplyOutcome::Committed { .. } | ApplyOutcome::Conflict { .. }
                );
                if let (true, Some(process)) = (decided, processes.get(change)) {
                    if let Some(operation) = open.remove(process) {
                        actions.push((*process, Action::Response(operation)));
                    }
                }
            }
            _ => {}
        }
    }
    // Submissions without an answer may have gone in at any later time.
    let unanswered = open.into_iter().map(|(process, it)| (process, Action::Response(it)));
    actions.into_iter().chain(unanswered).collect()
}

/// Whether a node was in reach and at work for a whole span.
fn was_reachable(
    circumstances: &Circumstances,
    node: &NodeId,
    from: Timestamp,
    until: Timestamp,
) -> bool {
    !circumstances.unreachable.iter().any(|(whom, began, ended)| {
        whom.as_ref().is_none_or(|it| it == node) && *began < until && *ended > from
    })
}

fn spreads(events: &Events, bound: Duration, circumstances: &Circumstances) -> Verdict {
    let mut verdict = Verdict::default();
    let end = events.last().map_or(Timestamp(0), |(at, _)| *at);
    let mut applied: HashMap<&NodeId, Vec<(Timestamp, Revision)>> = HashMap::new();
    for (at, event) in events {
        if let Event::Applied { node, revision } = event {
            applied.entry(node).or_default().push((*at, *revision));
        }
    }
    for (at, event) in events {
        let Event::Committed { revision, .. } = event else {
            continue;
        };
        let until = *at + bound;
        if until > end {
            continue;
        }
        for (node, started) in &circumstances.alive_since {
            if started > at || !was_reachable(circumstances, node, *at, until) {
                continue;
            }
            let in_force = applied
                .get(node)
                .into_iter()
                .flatten()
                .any(|(when, it)| *when <= until && it >= revision);
            verdict.expect(in_force, || {
                format!("{node} did not apply revision {revision}, committed at {at:?}, in time")
            });
        }
    }
    verdict
}

/// Prompts go from zone to zone only where the service is allowed, or was until one bound
/// ago.
fn no_data(events: &Events, bound: Duration) -> Verdict {
    let mut verdict = Verdict::default();
    let mut revisions: Vec<(Timestamp, Rc<Configuration>)> = Vec::new();
    for (at, event) in events {
        match event {
            Event::Committed { configuration, .. } => {
                revisions.push((*at, configuration.clone()));
            }
            Event::Moved { node, service, to } => {
                let allowed = allowed_lately(&revisions, *at, bound, service, to);
                verdict.expect(allowed, || {
                    format!("{at:?}: {node} sent a prompt of {service} to {to}")
                });
            }
            _ => {}
        }
    }
    verdict
}

fn allowed_lately(
    revisions: &[(Timestamp, Rc<Configuration>)],
    now: Timestamp,
    bound: Duration,
    service: &ServiceName,
    zone: &ZoneId,
) -> bool {
    let earliest = now.before(bound);
    // Revisions that stood at some instant since then: those committed since, and the last
    // one before.
    let first = revisions.iter().rposition(|(at, _)| *at <= earliest).unwrap_or(0);
    revisions[first..].iter().any(|(_, configuration)| {
        configuration.services.get(service).is_some_and(|spec| spec.zones.contains(zone))
    })
}
