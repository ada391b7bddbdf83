//! The report of one window: two nodes that know different counts, the store, the platform.
//!
//! A node that has, or believes to have, the authority fixes its count in the store and sends what
//! is fixed. Calls to the store and to the platform arrive at any time or never, also after a later
//! holder's; answers are lost; nodes stand still and go on, or start anew and know nothing.

use std::collections::BTreeSet;

const NODES: usize = 2;
const MOST_TERMS: u8 = 3;

/// The switches. All on: the protocol as built.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A report is fixed only while the store has none of the window.
    pub fix_if_absent: bool,
    /// A report is sent only once the store has answered that it is fixed.
    pub send_after_answer: bool,
    /// A node that finds another report fixed sends that one.
    pub adopt_fixed: bool,
}

impl Safeguards {
    pub const ALL: Self = Self { fix_if_absent: true, send_after_answer: true, adopt_fixed: true };
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    fence: Option<u8>,
    /// The report that it may send.
    report: Option<u8>,
    has_asked: bool,
}

/// A call on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Fix { node: u8, count: u8 },
    Report { fence: u8, count: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    terms: u8,
    nodes: [Node; NODES],
    fixed: Option<u8>,
    on_the_way: BTreeSet<Call>,
    highest_fence: u8,
    accepted: Option<u8>,
    pub violated: bool,
}

/// What a node counts by itself: nodes have heard of different counts.
fn own_count(node: usize) -> u8 {
    node as u8 + 1
}

impl State {
    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            self.term_steps(node, &mut states);
            self.report_steps(node, guards, &mut states);
        }
        for call in &self.on_the_way {
            self.arrival(*call, guards, &mut states);
        }
        states
    }

    /// A term begins whatever the others believe: one of them may stand still with a term that is
    /// over, and go on later.
    fn term_steps(&self, node: usize, states: &mut Vec<Self>) {
        if self.terms < MOST_TERMS {
            let mut begun = self.clone();
            begun.terms += 1;
            begun.nodes[node] = Node { fence: Some(begun.terms), ..Node::default() };
            states.push(begun);
        }
        if self.nodes[node].fence.is_some() {
            let mut restarted = self.clone();
            restarted.nodes[node] = Node::default();
            states.push(restarted);
        }
    }

    fn report_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(fence) = self.nodes[node].fence else { return };
        let mut asked = self.clone();
        asked.nodes[node].has_asked = true;
        asked.on_the_way.insert(Call::Fix { node: node as u8, count: own_count(node) });
        states.push(asked);
        let is_early = self.nodes[node].has_asked && !guards.send_after_answer;
        let report = self.nodes[node].report.or(is_early.then(|| own_count(node)));
        if let Some(count) = report {
            let mut sent = self.clone();
            sent.on_the_way.insert(Call::Report { fence, count });
            states.push(sent);
        }
    }

    fn arrival(&self, call: Call, guards: Safeguards, states: &mut Vec<Self>) {
        let mut arrived = self.clone();
        arrived.on_the_way.remove(&call);
        // It is lost on its way.
        states.push(arrived.clone());
        match call {
            Call::Fix { node, count } => arrived.on_fix(usize::from(node), count, guards, states),
            Call::Report { fence, count } => states.push(arrived.on_report(fence, count)),
        }
    }

    fn on_fix(mut self, node: usize, count: u8, guards: Safeguards, states: &mut Vec<Self>) {
        let found = self.fixed.filter(|_| guards.fix_if_absent);
        self.fixed = found.or(Some(count));
        // The answer is lost.
        states.push(self.clone());
        if self.nodes[node].fence.is_some() {
            let adopted = found.filter(|_| guards.adopt_fixed);
            self.nodes[node].report = adopted.or(Some(count));
            states.push(self);
        }
    }

    fn on_report(mut self, fence: u8, count: u8) -> Self {
        if fence >= self.highest_fence {
            self.highest_fence = fence;
            self.violated |= self.accepted.is_some_and(|accepted| accepted != count);
            self.accepted = Some(count);
        }
        self
    }
}
