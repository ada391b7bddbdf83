//! Model of authority by region: three nodes, the store's leased keys of three subjects, one
//! runner.
//!
//! Two nodes are in the runner's region, one is in another region. Each node learns at a different
//! time that there are several regions. Before that it orders under the subject of the fleet,
//! afterwards under that of its region. The properties of a single key are covered by the model of
//! authority.

use std::collections::BTreeSet;

const NODES: usize = 3;
const SUBJECTS: usize = 3;
const FLEET: usize = 0;
/// The subjects of the runner's region and of the other region.
const LOCAL: usize = 1;
const REMOTE: usize = 2;
/// Region of each node.
const REGIONS: [usize; NODES] = [LOCAL, LOCAL, REMOTE];
const MAX_REVISIONS: u8 = 3;
const MAX_ORDERS: u8 = 3;

/// The safeguards of the protocol. All on: the protocol as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A holder only orders runners of its subject's region.
    pub own_runners: bool,
    /// The key of a subject is only acquired while it is absent.
    pub take_if_absent: bool,
    /// The fencing tokens of all subjects come from the store's single sequence of revisions.
    pub one_sequence: bool,
}

impl Safeguards {
    pub const ALL: Self = Self { own_runners: true, take_if_absent: true, one_sequence: true };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Term {
    fence: u8,
    /// Store revision at which the term was acquired.
    acquired_at: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    revision: u8,
    /// Number of writes of each key.
    versions: [u8; SUBJECTS],
    store_holders: [Option<u8>; SUBJECTS],
    terms: [[Option<Term>; SUBJECTS]; NODES],
    knows_regions: [bool; NODES],
    order_count: u8,
    in_flight: BTreeSet<(u8, Term)>,
    highest_fence: u8,
    last_acquired_at: u8,
    pub violated: bool,
}

impl State {
    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            if !self.knows_regions[node] {
                let mut learned = self.clone();
                learned.knows_regions[node] = true;
                states.push(learned);
            }
            for subject in self.subjects(node) {
                self.take(node, subject, guards, &mut states);
            }
            for subject in 0..SUBJECTS {
                self.end_term(node, subject, &mut states);
            }
            self.order(node, guards, &mut states);
        }
        self.lapse(&mut states);
        self.arrive(&mut states);
        states
    }

    /// The subjects that a node polls.
    fn subjects(&self, node: usize) -> Vec<usize> {
        let of_region = self.knows_regions[node].then_some(REGIONS[node]);
        [FLEET].into_iter().chain(of_region).collect()
    }

    fn take(&self, node: usize, subject: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_free = self.store_holders[subject].is_none() || !guards.take_if_absent;
        if !is_free || self.revision >= MAX_REVISIONS || self.terms[node][subject].is_some() {
            return;
        }
        let mut taken = self.clone();
        taken.revision += 1;
        taken.versions[subject] += 1;
        taken.store_holders[subject] = Some(node as u8);
        let own = if guards.one_sequence { taken.revision } else { taken.versions[subject] };
        taken.terms[node][subject] = Some(Term { fence: own, acquired_at: taken.revision });
        states.push(taken);
    }

    /// A term expires, or its node fails.
    fn end_term(&self, node: usize, subject: usize, states: &mut Vec<Self>) {
        if self.terms[node][subject].is_some() {
            let mut expired = self.clone();
            expired.terms[node][subject] = None;
            states.push(expired);
        }
    }

    /// A key is deleted with its lease, which outlasts the term.
    fn lapse(&self, states: &mut Vec<Self>) {
        for (subject, holder) in self.store_holders.iter().enumerate() {
            let Some(holder) = holder else { continue };
            if self.terms[usize::from(*holder)][subject].is_none() {
                let mut lapsed = self.clone();
                lapsed.store_holders[subject] = None;
                states.push(lapsed);
            }
        }
    }

    /// The term under which a node would order the runner now.
    fn ordering_term(&self, node: usize, guards: Safeguards) -> Option<Term> {
        let subject = if self.knows_regions[node] { REGIONS[node] } else { FLEET };
        let is_own = subject == FLEET || subject == LOCAL;
        self.terms[node][subject].filter(|_| is_own || !guards.own_runners)
    }

    fn order(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(term) = self.ordering_term(node, guards) else { return };
        if self.order_count >= MAX_ORDERS {
            return;
        }
        let mut ordered = self.clone();
        ordered.order_count += 1;
        ordered.in_flight.insert((node as u8, term));
        // Two nodes that agree on the regions never may both order the same runner.
        ordered.violated |= (0..NODES).any(|other| {
            let agrees = self.knows_regions[other] == self.knows_regions[node];
            other != node && agrees && self.ordering_term(other, guards).is_some()
        });
        states.push(ordered);
    }

    fn arrive(&self, states: &mut Vec<Self>) {
        for order in &self.in_flight {
            let mut arrived = self.clone();
            arrived.in_flight.remove(order);
            let (_, term) = *order;
            if term.fence >= self.highest_fence {
                arrived.highest_fence = term.fence;
                // Orders of two terms are never accepted alternately.
                arrived.violated |= term.acquired_at < self.last_acquired_at;
                arrived.last_acquired_at = term.acquired_at;
            }
            states.push(arrived);
        }
    }
}
