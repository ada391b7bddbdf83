//! The record of versions at which resumable streams may have begun: nodes that are killed, cut off
//! or paused, and a store that may come back once from an older copy.
//!
//! The versions of one service are A and B. B has runners and an entry all along, and each node
//! counts it. A joins, leaves and returns. A stream begins at A and must not be continued at B. It
//! is continued there by a node that does not know where it began, does not count A, and has a
//! founded view. So the model contains no state of B.
//!
//! Calls that fail, a store that is away, and nodes that are cut off or paused are steps that are
//! not taken for any time. Each node may act as the one with the authority. What a node may know
//! beyond the record only lets it refuse more: the versions with a runner in the registry, those
//! that it has seen before, and what other nodes have told it. The model contains none of it.
//!
//! All steps happen at ticks, so a time of one tick stands for any time that is not 0. A runner
//! never serves for longer than [`RUNNER_TAIL_TICKS`] without an entry in the registry.

const MAX_NODES: usize = 3;
/// Maximum time in ticks for which a runner serves after its entry in the registry is gone.
pub const RUNNER_TAIL_TICKS: u8 = 1;
/// Maximum age in ticks of the confirmation of a view; a stream begins at a version that long after its entry was read.
const CONFIRMATION_TICKS: u8 = 1;
/// Maximum number of ticks for which a write without an answer may still be done.
const WRITE_DELAY_TICKS: u8 = 1;
/// Era of the store at the beginning.
const FIRST_ERA: u8 = 1;

/// When the view of the node that is asked to continue a stream must have been confirmed by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Within the life of a stream, with a reply of another node that is up, or at the tick of the decision.
    WithinStreamLife,
    /// Within [`CONFIRMATION_TICKS`].
    Recent,
    /// After the request to continue the stream has arrived.
    AfterRequest,
    /// Not at all.
    Never,
}

/// Switches of the safeguards.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A stream begins only at a version whose entry was read as serving.
    pub write_ahead: bool,
    /// A stream begins [`CONFIRMATION_TICKS`] after the entry was read.
    pub settled_entry: bool,
    /// An entry that is retiring counts.
    pub retiring_counts: bool,
    /// An entry is removed no earlier than a stream's life after it was read as retiring.
    pub removal_waits_for_streams: bool,
    /// The removal also waits for [`RUNNER_TAIL_TICKS`].
    pub removal_waits_for_runners: bool,
    /// An entry becomes retiring, or is removed, only at the revision that was read.
    pub conditional_writes: bool,
    /// When the store must have confirmed the view.
    pub confirmation: Confirmation,
    /// A view is founded only if the record is marked as complete in the era in which it was read.
    pub complete_in_era: bool,
    /// The record is marked as complete only by a node whose view the store has confirmed after the
    /// wait.
    pub completed_by_confirmed_view: bool,
    /// An entry is removed only by a node whose view the store has confirmed after the wait.
    pub removed_by_confirmed_view: bool,
    /// A node that learns that the version has had a runner begins anew to wait for the removal of its entry, and, if it
    /// had no entry, for the completion of the record.
    pub restarted_waits: bool,
    /// Nodes that were up when the era began wait before they mark the record as complete, as other nodes do.
    pub survivors_wait: bool,
}

impl Safeguards {
    /// Every safeguard, with a recent confirmation.
    pub const ALL: Self = Self {
        write_ahead: true,
        settled_entry: true,
        retiring_counts: true,
        removal_waits_for_streams: true,
        removal_waits_for_runners: true,
        conditional_writes: true,
        confirmation: Confirmation::Recent,
        complete_in_era: true,
        completed_by_confirmed_view: true,
        removed_by_confirmed_view: true,
        restarted_waits: true,
        survivors_wait: true,
    };

    /// Every safeguard, with a read of the store for each request to continue an unknown stream. New entries are used at once.
    pub const READ_ON_REQUEST: Self =
        Self { settled_entry: false, confirmation: Confirmation::AfterRequest, ..Self::ALL };
}

/// The state of a version's entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Entry {
    /// There is none.
    #[default]
    Absent,
    /// Streams may begin.
    Serving,
    /// No stream may begin.
    Retiring,
}

/// What the store holds, or a replica of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    /// The runner of A in the registry, as the number of its incarnation.
    runner: Option<u8>,
    entry: Entry,
    /// Number of writes of the entry of A. It goes back with the store.
    revision: u8,
    /// Era in which the record was last marked as complete.
    complete_in: u8,
    era: u8,
}

/// A write that may be done later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Write {
    Serving,
    /// On condition of a revision.
    Retiring(u8),
    /// On condition of a revision.
    Removal(u8),
    /// The record is complete in an era.
    Complete(u8),
}

/// What a node that is up keeps in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Node {
    replica: Record,
    /// Ticks since the store confirmed the replica.
    confirmed_age: u8,
    /// Ticks since the node read the entry at its present revision.
    entry_age: u8,
    /// Ticks since the node first read the store in its present era.
    era_age: u8,
    /// Whether it had read the store in an earlier era.
    is_survivor: bool,
    /// Whether A has had a runner since the node last read the store. It learns of that with its next read.
    has_missed_runner: bool,
    /// Whether the node knows that the stream began at A.
    knows_origin: bool,
}

/// Size of the model.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of nodes, at most 3.
    pub nodes: u8,
    /// Number of times that A joins.
    pub joins: u8,
    /// Whether the store may come back from an older copy, once.
    pub can_be_restored: bool,
    /// Maximum number of writes of the entry of A.
    pub max_writes: u8,
    /// Age in ticks from which on no client resumes a stream.
    pub stream_life: u8,
}

/// A runner of A that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Runner {
    incarnation: u8,
    /// Ticks for which it goes on once it has no entry in the registry.
    tail: u8,
}

/// State of the store, the runners of A, the nodes and one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    store: Record,
    /// The copy from which the store may come back.
    copy: Option<Record>,
    /// A write that got no answer, and the ticks since it was sent.
    delayed: Option<(Write, u8)>,
    /// Whether the store may still come back from a copy.
    can_be_restored: bool,
    /// How often A may still join.
    joins_left: u8,
    /// The runner of A, if it is up.
    runner: Option<Runner>,
    nodes: [Option<Node>; MAX_NODES],
    node_count: u8,
    /// Maximum number of writes of the entry of A.
    max_writes: u8,
    /// Whether A joins at all.
    has_second_version: bool,
    /// Age in ticks from which on no client resumes a stream.
    stream_life: u8,
    /// Age of the stream in ticks.
    stream_age: Option<u8>,
    /// Whether the stream was continued at B.
    pub violated: bool,
}

impl State {
    /// Nodes that have read a record of B alone.
    pub fn initial(limits: Limits) -> Self {
        let Limits { nodes: node_count, joins, can_be_restored, max_writes, stream_life } = limits;
        let store = Record {
            runner: None,
            entry: Entry::Absent,
            revision: 0,
            complete_in: FIRST_ERA,
            era: FIRST_ERA,
        };
        let mut nodes = [None; MAX_NODES];
        for node in &mut nodes[..usize::from(node_count)] {
            *node = Some(Node::started(store));
        }
        Self {
            store,
            copy: None,
            can_be_restored,
            delayed: None,
            joins_left: joins,
            runner: None,
            nodes,
            node_count,
            max_writes,
            has_second_version: joins > 0,
            stream_life,
            stream_age: None,
            violated: false,
        }
    }

    /// Whether a node that has just read the store would refuse to continue an unknown stream.
    pub fn is_refused_after_read(&self, guards: Safeguards) -> bool {
        let has_read = |node: usize| self.nodes[node].is_some_and(|it| it.confirmed_age == 0);
        (0..MAX_NODES).any(|node| has_read(node) && !self.accepts(node, guards))
    }

    /// Whether the store has come back from an older copy, and a node would continue an unknown
    /// stream.
    pub fn is_accepted_after_restore(&self, guards: Safeguards) -> bool {
        let is_restored = self.store.era > FIRST_ERA;
        is_restored && (0..MAX_NODES).any(|node| self.accepts(node, guards))
    }

    /// The distinct successor states. Nodes are interchangeable.
    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        let can_begin = self.runner.is_some() || self.joins_left > 0;
        let is_over = self.has_second_version && self.stream_age.is_none() && !can_begin;
        if self.violated || is_over {
            return states;
        }
        self.runner_steps(&mut states);
        self.store_steps(&mut states);
        for node in 0..usize::from(self.node_count) {
            self.life_steps(node, guards, &mut states);
            self.write_steps(node, guards, &mut states);
            self.stream_steps(node, guards, &mut states);
        }
        if self.stream_age.is_none_or(|age| age + 1 < self.stream_life) {
            states.push(self.tick(guards));
        }
        for state in &mut states {
            state.nodes.sort_unstable();
            state.nodes.reverse();
        }
        states
    }

    /// A runner of A joins, writes its entry again after the store came back, or leaves the registry and ends later.
    fn runner_steps(&self, states: &mut Vec<Self>) {
        if self.joins_left > 0 && self.store.runner.is_none() {
            let joining = Runner { incarnation: self.joins_left, tail: RUNNER_TAIL_TICKS };
            let joined = Self { joins_left: self.joins_left - 1, ..*self };
            states.push(joined.with_registered(joining));
        }
        let is_restored = self.store.era > FIRST_ERA;
        if let Some(runner) = self.runner.filter(|_| is_restored && !self.is_runner_registered()) {
            states.push(self.with_registered(Runner { tail: RUNNER_TAIL_TICKS, ..runner }));
        }
        if self.store.runner.is_some() {
            let store = Record { runner: None, ..self.store };
            states.push(Self { store, ..*self });
        }
    }

    fn with_registered(self, runner: Runner) -> Self {
        let store = Record { runner: Some(runner.incarnation), ..self.store };
        let mut registered = Self { store, runner: Some(runner), ..self };
        registered.mark_missed_runner();
        registered
    }

    fn mark_missed_runner(&mut self) {
        let has_runner = self.store.runner.is_some();
        for node in self.nodes.iter_mut().flatten() {
            node.has_missed_runner |= has_runner;
        }
    }

    fn is_runner_registered(&self) -> bool {
        self.store.runner == self.runner.map(|it| it.incarnation)
    }

    /// A delayed write is done, a copy of the store is taken, or the store comes back from it.
    fn store_steps(&self, states: &mut Vec<Self>) {
        if let Some((write, _)) = self.delayed {
            states.push(Self { delayed: None, ..*self }.written(write, true));
        }
        if !self.can_be_restored {
            return;
        }
        if self.copy.is_none() {
            states.push(Self { copy: Some(self.store), ..*self });
        }
        if let Some(copy) = self.copy {
            let mut restored = *self;
            restored.store = Record { era: self.store.era + 1, ..copy };
            restored.copy = None;
            restored.can_be_restored = false;
            restored.mark_missed_runner();
            states.push(restored);
        }
    }

    /// A node starts, is killed, or reads the store.
    fn life_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else {
            states.push(self.with_node(node, Some(Node::started(self.store))));
            return;
        };
        states.push(self.with_node(node, None));
        states.push(self.with_node(node, Some(up.reading(self.store, guards))));
    }

    fn with_node(&self, node: usize, changed: Option<Node>) -> Self {
        let mut state = *self;
        state.nodes[node] = changed;
        state
    }

    /// A node writes to the store, at once or with a delay.
    fn write_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else { return };
        for write in up.writes(guards, self.stream_life).into_iter().flatten() {
            states.push(self.written(write, guards.conditional_writes));
            let is_harmless_if_late = matches!(write, Write::Complete(_));
            if self.delayed.is_none() && !is_harmless_if_late {
                states.push(Self { delayed: Some((write, 0)), ..*self });
            }
        }
    }

    /// The state after a write, which has no effect if its condition does not hold.
    fn written(&self, write: Write, is_conditional: bool) -> Self {
        let mut state = *self;
        let store = &mut state.store;
        let holds = |revision: u8| !is_conditional || revision == store.revision;
        let entry = match write {
            Write::Complete(era) => {
                store.complete_in = era;
                return state;
            }
            Write::Serving => Entry::Serving,
            Write::Retiring(revision) if holds(revision) => Entry::Retiring,
            Write::Removal(revision) if holds(revision) => Entry::Absent,
            Write::Retiring(_) | Write::Removal(_) => return state,
        };
        if store.revision < self.max_writes {
            store.entry = entry;
            store.revision += 1;
        }
        state
    }

    /// The stream begins at a node, or a node is asked to continue it.
    fn stream_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(up) = self.nodes[node] else { return };
        let can_reach_runner = up.replica.runner.is_some()
            && up.replica.runner == self.runner.map(|it| it.incarnation);
        if self.stream_age.is_none() && can_reach_runner && up.may_begin(guards) {
            let mut begun = self.with_node(node, Some(Node { knows_origin: true, ..up }));
            begun.stream_age = Some(0);
            states.push(begun);
        }
        if self.stream_age.is_some() && self.accepts(node, guards) {
            states.push(Self { violated: true, ..*self });
        }
    }

    /// Whether the node would continue the stream at B, for any set of replies of the other nodes.
    fn accepts(&self, node: usize, guards: Safeguards) -> bool {
        let Some(up) = self.nodes[node] else { return false };
        let is_unknown = !up.knows_origin && !up.counts(guards);
        is_unknown && self.is_founded(node, up, guards)
    }

    fn is_founded(&self, node: usize, up: Node, guards: Safeguards) -> bool {
        let replica = up.replica;
        if guards.complete_in_era && replica.complete_in != replica.era {
            return false;
        }
        match guards.confirmation {
            Confirmation::Never => true,
            Confirmation::AfterRequest => replica == self.store,
            Confirmation::Recent => up.confirmed_age < CONFIRMATION_TICKS,
            Confirmation::WithinStreamLife => {
                up.confirmed_age < self.stream_life
                    && (up.confirmed_age == 0 || self.is_confirmed_by_reply(node, guards))
            }
        }
    }

    /// Whether no other node is up, or one of them replies that it neither knows the stream nor counts A.
    fn is_confirmed_by_reply(&self, node: usize, guards: Safeguards) -> bool {
        let mut others = self.nodes.iter().enumerate().filter(|(other, _)| *other != node);
        let mut is_alone = true;
        let has_reply = others.any(|(_, other)| {
            is_alone &= other.is_none();
            other.is_some_and(|it| !it.knows_origin && !it.counts(guards))
        });
        is_alone || has_reply
    }

    fn tick(&self, guards: Safeguards) -> Self {
        let mut passed = *self;
        passed.stream_age = self.stream_age.map(|age| age + 1);
        passed.delayed = self
            .delayed
            .map(|(write, age)| (write, age + 1))
            .filter(|(_, age)| *age <= WRITE_DELAY_TICKS);
        if !self.is_runner_registered() {
            passed.runner = self.runner.and_then(Runner::tick);
        }
        for node in passed.nodes.iter_mut().flatten() {
            node.tick(guards, self.stream_life);
        }
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
    fn started(store: Record) -> Self {
        Self {
            replica: store,
            confirmed_age: 0,
            entry_age: 0,
            era_age: 0,
            is_survivor: false,
            has_missed_runner: store.runner.is_some(),
            knows_origin: false,
        }
    }

    /// The node after it has read the store again.
    fn reading(self, store: Record, guards: Safeguards) -> Self {
        let is_new_era = self.replica.era != store.era;
        let has_missed_runner = store.runner.is_some();
        let mut read = Self { replica: store, confirmed_age: 0, has_missed_runner, ..self };
        let lacked_entry = self.has_missed_runner && self.replica.entry == Entry::Absent;
        if lacked_entry && guards.restarted_waits {
            read.era_age = 0;
        }
        let is_retiring = store.entry == Entry::Retiring;
        if is_retiring && self.has_missed_runner && guards.restarted_waits {
            read.entry_age = 0;
        }
        if is_new_era {
            read.era_age = 0;
            read.is_survivor = !guards.survivors_wait;
        }
        if is_new_era || self.replica.revision != store.revision {
            read.entry_age = 0;
        }
        read
    }

    /// Whether the node counts A among the versions at which the stream may have begun.
    fn counts(self, guards: Safeguards) -> bool {
        match self.replica.entry {
            Entry::Absent => false,
            Entry::Serving => true,
            Entry::Retiring => guards.retiring_counts,
        }
    }

    /// Whether a stream may begin at A.
    fn may_begin(self, guards: Safeguards) -> bool {
        let is_settled = self.entry_age >= CONFIRMATION_TICKS || !guards.settled_entry;
        let is_recorded = self.replica.entry == Entry::Serving && is_settled;
        is_recorded || !guards.write_ahead
    }

    /// The writes that the node may now make.
    fn writes(self, guards: Safeguards, stream_life: u8) -> [Option<Write>; 2] {
        let replica = self.replica;
        let is_confirmed = self.confirmed_age == 0 || !guards.removed_by_confirmed_view;
        let may_remove = is_confirmed && self.entry_age >= removal_wait(guards, stream_life);
        let entry = match (replica.entry, replica.runner.is_some()) {
            (Entry::Absent | Entry::Retiring, true) => Some(Write::Serving),
            (Entry::Serving, false) => Some(Write::Retiring(replica.revision)),
            (Entry::Retiring, false) if may_remove => Some(Write::Removal(replica.revision)),
            _ => None,
        };
        let is_complete = self.era_age >= stream_life + RUNNER_TAIL_TICKS || self.is_survivor;
        let is_confirmed = self.confirmed_age == 0 || !guards.completed_by_confirmed_view;
        let marks = is_complete && is_confirmed && replica.complete_in != replica.era;
        [entry, marks.then_some(Write::Complete(replica.era))]
    }

    /// Ages are kept up to the number of ticks that matters.
    fn tick(&mut self, guards: Safeguards, stream_life: u8) {
        let max_confirmed_age = match guards.confirmation {
            Confirmation::WithinStreamLife => stream_life,
            _ => CONFIRMATION_TICKS,
        };
        let max_entry_age = match self.replica.entry {
            Entry::Absent => 0,
            Entry::Serving => CONFIRMATION_TICKS,
            Entry::Retiring => removal_wait(guards, stream_life),
        };
        let is_complete = self.replica.complete_in == self.replica.era;
        let max_era_age = if is_complete { 0 } else { stream_life + RUNNER_TAIL_TICKS };
        self.confirmed_age = (self.confirmed_age + 1).min(max_confirmed_age);
        self.entry_age = (self.entry_age + 1).min(max_entry_age);
        self.era_age = (self.era_age + 1).min(max_era_age);
    }
}

/// Ticks from the read of a retiring entry to its removal.
fn removal_wait(guards: Safeguards, stream_life: u8) -> u8 {
    let streams = if guards.removal_waits_for_streams { stream_life } else { 0 };
    let runners = if guards.removal_waits_for_runners { RUNNER_TAIL_TICKS } else { 0 };
    streams + runners
}
