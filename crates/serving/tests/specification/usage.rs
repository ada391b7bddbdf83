//! Model of the usage report of one window: two nodes with different counts, the store and the
//! platform.
//!
//! A node that has the authority, or wrongly assumes so, finalizes its count in the store and sends
//! what is finalized there. Calls to the store and the platform arrive at any time or never, even
//! after those of a later holder. Replies may be lost. Nodes may be paused and continue, or restart
//! without any state.

use std::collections::BTreeSet;

const NODES: usize = 2;
const MAX_TERMS: u8 = 3;

/// The safeguards of the protocol. All on: the protocol as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A report is only finalized while the store has none for the window.
    pub finalize_if_absent: bool,
    /// A report is only sent once the store has replied that it is finalized.
    pub send_after_reply: bool,
    /// A node that finds another report finalized sends that one.
    pub adopt_finalized: bool,
}

impl Safeguards {
    pub const ALL: Self =
        Self { finalize_if_absent: true, send_after_reply: true, adopt_finalized: true };
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    fence: Option<u8>,
    /// The report that the node may send.
    report: Option<u8>,
    has_requested: bool,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Finalize { node: u8, count: u8 },
    Report { fence: u8, count: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    terms: u8,
    nodes: [Node; NODES],
    finalized: Option<u8>,
    in_flight: BTreeSet<Call>,
    highest_fence: u8,
    accepted: Option<u8>,
    pub violated: bool,
}

/// The count of a node, different for each node, as they have received different counts.
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
        for call in &self.in_flight {
            self.arrival(*call, guards, &mut states);
        }
        states
    }

    /// A term may start regardless of the views of the other nodes: one of them may be paused in an
    /// expired term and continue later.
    fn term_steps(&self, node: usize, states: &mut Vec<Self>) {
        if self.terms < MAX_TERMS {
            let mut started = self.clone();
            started.terms += 1;
            started.nodes[node] = Node { fence: Some(started.terms), ..Node::default() };
            states.push(started);
        }
        if self.nodes[node].fence.is_some() {
            let mut restarted = self.clone();
            restarted.nodes[node] = Node::default();
            states.push(restarted);
        }
    }

    fn report_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(fence) = self.nodes[node].fence else { return };
        let mut requested = self.clone();
        requested.nodes[node].has_requested = true;
        requested.in_flight.insert(Call::Finalize { node: node as u8, count: own_count(node) });
        states.push(requested);
        let may_skip_reply = self.nodes[node].has_requested && !guards.send_after_reply;
        let report = self.nodes[node].report.or(may_skip_reply.then(|| own_count(node)));
        if let Some(count) = report {
            let mut sent = self.clone();
            sent.in_flight.insert(Call::Report { fence, count });
            states.push(sent);
        }
    }

    fn arrival(&self, call: Call, guards: Safeguards, states: &mut Vec<Self>) {
        let mut arrived = self.clone();
        arrived.in_flight.remove(&call);
        // The call is lost.
        states.push(arrived.clone());
        match call {
            Call::Finalize { node, count } => {
                arrived.on_finalize(usize::from(node), count, guards, states)
            }
            Call::Report { fence, count } => states.push(arrived.on_report(fence, count)),
        }
    }

    fn on_finalize(mut self, node: usize, count: u8, guards: Safeguards, states: &mut Vec<Self>) {
        let found = self.finalized.filter(|_| guards.finalize_if_absent);
        self.finalized = found.or(Some(count));
        // The reply is lost.
        states.push(self.clone());
        if self.nodes[node].fence.is_some() {
            let adopted = found.filter(|_| guards.adopt_finalized);
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
