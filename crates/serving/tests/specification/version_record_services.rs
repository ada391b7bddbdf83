//! The record of versions with two origins of streams, which may be versions of one service or of two services whose route
//! is split or moved, and requests that are planned before they are sent.
//!
//! A stream may begin at either origin and must not be continued at the other one. Between the plan of a request and its
//! send, anything may happen. Each node reads the configuration on its own, so that it may act by an old one for any time,
//! also while it ends entries.
//!
//! Nodes are killed, cut off or paused as in [`super::version_record`], which also has calls that are done late, writes
//! without conditions, and a store that comes back older. This model contains none of these. What other nodes have told a node only lets it refuse more,
//! and is left out too. All steps happen at ticks, so a time of one tick stands for any time that is not 0.

use super::version_record::{Entry, RUNNER_TAIL_TICKS};

/// The service and version of a runner, as an index.
type Origin = usize;

const ORIGINS: [Origin; 2] = [0, 1];
const NODES: usize = 2;
/// Age in ticks from which on no client resumes a stream.
const STREAM_LIFE_TICKS: u8 = 1;
/// Ticks from the read of a retiring entry to its removal.
const REMOVAL_WAIT_TICKS: u8 = STREAM_LIFE_TICKS + RUNNER_TAIL_TICKS;
/// Maximum age in ticks of a confirmation that is told apart.
const MAX_CONFIRMED_AGE_TICKS: u8 = 1;

/// Switches of the safeguards.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A request is sent only to a version whose entry has been read as serving.
    pub checked_when_sent: bool,
    /// The origins of all services count together. Otherwise those of the service that is to continue the stream.
    pub services_count_together: bool,
    /// Entries count though the route does not send to their service any more.
    pub unrouted_entries_count: bool,
    /// The store is read after the request to continue the stream has arrived.
    pub read_on_request: bool,
    /// An entry is retiring before it is removed.
    pub retired_before_removal: bool,
    /// An entry is removed no earlier than [`REMOVAL_WAIT_TICKS`] after it was read as retiring.
    pub removal_waits: bool,
    /// An entry is not removed while its version has runners, though the route does not send to its service any more.
    pub removal_waits_for_registered_runners: bool,
}

impl Safeguards {
    /// Every safeguard.
    pub const ALL: Self = Self {
        checked_when_sent: true,
        services_count_together: true,
        unrouted_entries_count: true,
        read_on_request: true,
        retired_before_removal: true,
        removal_waits: true,
        removal_waits_for_registered_runners: true,
    };
}

/// The origins to which a configuration sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Route {
    /// Whether the route sends to each origin.
    pub sends_to: [bool; 2],
}

impl Route {
    /// A route to the first origin alone.
    pub const FIRST: Self = Self { sends_to: [true, false] };
    /// A route to the second origin alone.
    pub const SECOND: Self = Self { sends_to: [false, true] };
    /// A route that is split over both, or whose service has both versions.
    pub const BOTH: Self = Self { sends_to: [true, true] };
}

/// Size of the model, and what happens in it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The route before and after a change of the configuration, which happens at any time or never.
    pub routes: [Route; 2],
    /// Whether the origins are two versions of one service.
    pub is_one_service: bool,
    /// Number of times that a runner of each origin joins, after those that are there at the beginning.
    pub joins: [u8; 2],
    /// Maximum number of writes of each entry.
    pub max_writes: u8,
}

/// A runner that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Runner {
    incarnation: u8,
    /// Ticks for which it goes on once it has no entry in the registry.
    tail: u8,
}

/// What the store holds of one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    /// The runner in the registry, as the number of its incarnation.
    runner: Option<u8>,
    entry: Entry,
    /// Number of writes of the entry.
    revision: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Serving,
    Retiring,
    Removal,
}

/// What a node that is up keeps in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Node {
    route: Route,
    records: [Record; 2],
    /// Ticks since the store confirmed the records.
    confirmed_age: u8,
    /// Ticks since the node read each entry at its present revision, or heard that the version has had a runner.
    entry_ages: [u8; 2],
    /// Whether each origin has had a runner since the node last read the store. It learns of that with its next read.
    has_missed_runner: [bool; 2],
    /// The origins to which a request that is planned may be sent.
    plan: Option<[bool; 2]>,
    /// Whether the node knows where the stream began.
    knows_origin: bool,
}

/// State of the store, the runners, the nodes and one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    records: [Record; 2],
    route: Route,
    /// The route after the change of the configuration, until it has happened.
    next_route: Option<Route>,
    is_one_service: bool,
    runners: [Option<Runner>; 2],
    joins_left: [u8; 2],
    max_writes: u8,
    nodes: [Option<Node>; NODES],
    /// Where the stream began, and its age in ticks.
    stream: Option<(Origin, u8)>,
    /// Whether the stream was continued at the other origin.
    pub violated: bool,
}

impl State {
    /// Nodes that serve by the first configuration. The origins to which it sends have a runner and an entry; of one service,
    /// the first version alone.
    pub fn initial(limits: Limits) -> Self {
        let Limits { routes: [route, next_route], is_one_service, joins, max_writes } = limits;
        let mut state = Self {
            records: [Record::default(); 2],
            route,
            next_route: Some(next_route).filter(|next| *next != route),
            is_one_service,
            runners: [None; 2],
            joins_left: joins,
            max_writes,
            nodes: [None; NODES],
            stream: None,
            violated: false,
        };
        for origin in ORIGINS.into_iter().filter(|origin| route.sends_to[*origin]) {
            if is_one_service && origin > 0 {
                continue;
            }
            state = state.with_runner(origin);
            state.records[origin].entry = Entry::Serving;
        }
        state.nodes = [Some(Node::started(&state)); NODES];
        state
    }

    /// Whether a node would continue an unknown stream at the second origin after the configuration has changed.
    pub fn is_accepted_after_change(&self, guards: Safeguards) -> bool {
        let mut nodes = self.nodes.iter().flatten();
        self.next_route.is_none() && nodes.any(|node| self.accepts(node, 1, guards))
    }

    /// The distinct successor states. Nodes are interchangeable.
    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        if self.violated || self.can_begin_no_stream() {
            return states;
        }
        self.runner_steps(&mut states);
        if let Some(route) = self.next_route {
            states.push(Self { route, next_route: None, ..*self });
        }
        for node in 0..NODES {
            self.life_steps(node, &mut states);
            self.write_steps(node, guards, &mut states);
            self.stream_steps(node, guards, &mut states);
        }
        if self.stream.is_none_or(|(_, age)| age + 1 < STREAM_LIFE_TICKS) {
            states.push(self.tick());
        }
        for state in &mut states {
            for node in state.nodes.iter_mut().flatten() {
                node.forget_what_is_of_no_effect(guards);
            }
            state.nodes.sort_unstable();
            state.nodes.reverse();
        }
        states
    }

    /// Whether there is no stream, and no runner at which one may still begin.
    fn can_begin_no_stream(&self) -> bool {
        let is_gone =
            |origin: Origin| self.runners[origin].is_none() && self.joins_left[origin] == 0;
        self.stream.is_none() && ORIGINS.into_iter().all(is_gone)
    }

    /// A runner joins, or leaves the registry and ends later.
    fn runner_steps(&self, states: &mut Vec<Self>) {
        for origin in ORIGINS {
            let is_registered = self.records[origin].runner.is_some();
            if !is_registered && self.joins_left[origin] > 0 {
                let mut joined = *self;
                joined.joins_left[origin] -= 1;
                states.push(joined.with_runner(origin));
            }
            if is_registered {
                let mut left = *self;
                left.records[origin].runner = None;
                states.push(left);
            }
        }
    }

    fn with_runner(mut self, origin: Origin) -> Self {
        let incarnation = self.joins_left[origin];
        self.records[origin].runner = Some(incarnation);
        self.runners[origin] = Some(Runner { incarnation, tail: RUNNER_TAIL_TICKS });
        for node in self.nodes.iter_mut().flatten() {
            node.has_missed_runner[origin] = true;
        }
        self
    }

    /// A node starts, is killed, or reads the store or the configuration.
    fn life_steps(&self, node: usize, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else {
            states.push(self.with_node(node, Some(Node::started(self))));
            return;
        };
        states.push(self.with_node(node, None));
        states.push(self.with_node(node, Some(up.reading(&self.records))));
        states.push(self.with_node(node, Some(Node { route: self.route, ..up })));
    }

    fn with_node(&self, node: usize, changed: Option<Node>) -> Self {
        let mut state = *self;
        state.nodes[node] = changed;
        state
    }

    fn write_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else { return };
        for origin in ORIGINS {
            if let Some(write) = up.write(origin, guards) {
                states.push(self.written(origin, write, up.records[origin].revision));
            }
        }
    }

    /// The state after a write, which has no effect if its condition does not hold.
    fn written(&self, origin: Origin, write: Write, read_at: u8) -> Self {
        let mut state = *self;
        let record = &mut state.records[origin];
        let holds = record.revision == read_at;
        let entry = match write {
            Write::Serving => Entry::Serving,
            Write::Retiring if holds => Entry::Retiring,
            Write::Removal if holds => Entry::Absent,
            Write::Retiring | Write::Removal => return state,
        };
        if record.revision < self.max_writes {
            record.entry = entry;
            record.revision += 1;
        }
        state
    }

    /// A request is planned, or sent and begins the stream, or a node is asked to continue the stream.
    fn stream_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else { return };
        if let Some((origin, _)) = self.stream {
            if !up.knows_origin && self.accepts(&up, 1 - origin, guards) {
                states.push(Self { violated: true, ..*self });
            }
            return;
        }
        let has_plan = self.nodes.iter().flatten().any(|it| it.plan.is_some());
        if !has_plan {
            let plans = up.plans(self.is_one_service).into_iter().flatten();
            states.extend(
                plans.map(|plan| self.with_node(node, Some(Node { plan: Some(plan), ..up }))),
            );
        }
        let Some(plan) = up.plan else { return };
        for origin in ORIGINS.into_iter().filter(|origin| plan[*origin]) {
            let is_allowed = !guards.checked_when_sent || up.may_begin(origin);
            if is_allowed && self.can_reach(&up, origin) {
                let begun = Node { knows_origin: true, plan: None, ..up };
                states
                    .push(Self { stream: Some((origin, 0)), ..self.with_node(node, Some(begun)) });
            }
        }
    }

    fn can_reach(&self, node: &Node, origin: Origin) -> bool {
        let known = node.records[origin].runner;
        known.is_some() && known == self.runners[origin].map(|it| it.incarnation)
    }

    /// Whether a node that does not know where the stream began would continue it at an origin.
    fn accepts(&self, node: &Node, origin: Origin, guards: Safeguards) -> bool {
        if !node.route.sends_to[origin] || !self.counts(node, origin, guards) {
            return false;
        }
        let other = 1 - origin;
        let is_considered = self.is_one_service || guards.services_count_together;
        !is_considered || !self.counts(node, other, guards)
    }

    /// Whether an origin counts at a node by the store and by the node's view.
    fn counts(&self, node: &Node, origin: Origin, guards: Safeguards) -> bool {
        let is_routed = node.route.sends_to[origin];
        let is_recorded = |record: Record| {
            record.entry != Entry::Absent && (is_routed || guards.unrouted_entries_count)
        };
        let is_read = guards.read_on_request && is_recorded(self.records[origin]);
        let known = node.records[origin];
        is_read || is_recorded(known) || (is_routed && known.runner.is_some())
    }

    fn tick(&self) -> Self {
        let mut passed = *self;
        passed.stream = self.stream.map(|(origin, age)| (origin, age + 1));
        for origin in ORIGINS {
            let runner = self.runners[origin];
            if self.records[origin].runner != runner.map(|it| it.incarnation) {
                passed.runners[origin] = runner.and_then(Runner::tick);
            }
        }
        passed.nodes.iter_mut().flatten().for_each(Node::tick);
        passed
    }
}

impl Runner {
    /// The runner a tick later, without an entry in the registry.
    fn tick(self) -> Option<Self> {
        Some(Self { tail: self.tail.checked_sub(1)?, ..self })
    }
}

impl Node {
    /// A node that has just read the store for the first time.
    fn started(state: &State) -> Self {
        Self {
            route: state.route,
            records: state.records,
            confirmed_age: 0,
            entry_ages: [0; 2],
            has_missed_runner: state.records.map(|record| record.runner.is_some()),
            plan: None,
            knows_origin: false,
        }
    }

    /// The node after it has read the store again.
    fn reading(self, records: &[Record; 2]) -> Self {
        let mut read = Self { records: *records, confirmed_age: 0, ..self };
        for origin in ORIGINS {
            let is_new = records[origin].revision != self.records[origin].revision;
            let is_gone = records[origin].runner.is_none();
            if is_new || (is_gone && self.has_missed_runner[origin]) {
                read.entry_ages[origin] = 0;
            }
            read.has_missed_runner[origin] = records[origin].runner.is_some();
        }
        read
    }

    /// Whether a stream may begin at an origin by its entry.
    fn may_begin(&self, origin: Origin) -> bool {
        self.records[origin].entry == Entry::Serving
    }

    /// The plans that the node may now make of a request: one of the route's services is chosen, and the versions at which no
    /// stream may begin are left out. A version that joins later is not.
    fn plans(&self, is_one_service: bool) -> [Option<[bool; 2]>; 2] {
        let is_left_out = |origin: Origin| {
            let has_runner = self.records[origin].runner.is_some();
            has_runner && !self.may_begin(origin)
        };
        let plan_for = |service: Origin| {
            let is_of_service = |origin: Origin| is_one_service || origin == service;
            ORIGINS.map(|origin| is_of_service(origin) && !is_left_out(origin))
        };
        let has_runner = |plan: [bool; 2]| {
            ORIGINS.into_iter().any(|origin| plan[origin] && self.records[origin].runner.is_some())
        };
        ORIGINS.map(|service| {
            let plan = plan_for(service);
            (self.route.sends_to[service] && has_runner(plan)).then_some(plan)
        })
    }

    /// The write that the node may now make of an entry.
    fn write(&self, origin: Origin, guards: Safeguards) -> Option<Write> {
        let Record { runner, entry, .. } = self.records[origin];
        let is_served = runner.is_some() && self.route.sends_to[origin];
        match entry {
            Entry::Absent | Entry::Retiring if is_served => Some(Write::Serving),
            Entry::Serving if is_served => None,
            Entry::Serving if guards.retired_before_removal => Some(Write::Retiring),
            Entry::Absent => None,
            Entry::Serving | Entry::Retiring => {
                self.may_remove(origin, guards).then_some(Write::Removal)
            }
        }
    }

    fn may_remove(&self, origin: Origin, guards: Safeguards) -> bool {
        let is_confirmed = self.confirmed_age == 0;
        let has_waited = self.entry_ages[origin] >= REMOVAL_WAIT_TICKS || !guards.removal_waits;
        let has_runner = self.records[origin].runner.is_some();
        let is_kept = has_runner && guards.removal_waits_for_registered_runners;
        is_confirmed && has_waited && !is_kept
    }

    fn tick(&mut self) {
        self.confirmed_age = (self.confirmed_age + 1).min(MAX_CONFIRMED_AGE_TICKS);
        for age in &mut self.entry_ages {
            *age = (*age + 1).min(REMOVAL_WAIT_TICKS);
        }
    }

    /// Forgets what is of no effect: only the time since an entry that may be removed was read matters.
    fn forget_what_is_of_no_effect(&mut self, guards: Safeguards) {
        for origin in ORIGINS {
            let matters = match self.records[origin].entry {
                Entry::Absent => false,
                Entry::Serving => !guards.retired_before_removal,
                Entry::Retiring => true,
            };
            if !matters {
                self.entry_ages[origin] = 0;
                self.has_missed_runner[origin] = false;
            }
        }
    }
}
