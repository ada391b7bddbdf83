//! Authority by region: three nodes, the store's leased keys of three subjects, one runner.
//!
//! Two nodes lie in the runner's region, one in another. Each learns at a time of its own that there
//! are several regions; before, it orders under the subject of the fleet, and afterwards under that
//! of its region. What one key alone has to keep is the matter of the specification of authority.

use std::collections::BTreeSet;

const NODES: usize = 3;
const SUBJECTS: usize = 3;
const FLEET: usize = 0;
/// The subject of the runner's region, and of the other.
const NEAR: usize = 1;
const FAR: usize = 2;
/// Region of each node.
const REGIONS: [usize; NODES] = [NEAR, NEAR, FAR];
const MOST_REVISIONS: u8 = 3;
const MOST_ORDERS: u8 = 3;

/// The switches. All on: the protocol as built.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A holder orders only runners of its subject's region.
    pub own_runners: bool,
    /// The key of a subject is taken only while it is absent.
    pub take_if_absent: bool,
    /// Fencing tokens of all subjects come from the store's one sequence of revisions.
    pub one_sequence: bool,
}

impl Safeguards {
    pub const ALL: Self = Self { own_runners: true, take_if_absent: true, one_sequence: true };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Term {
    fence: u8,
    /// Revision of the store at which it was gained.
    gained: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    revision: u8,
    /// Writes of each key.
    versions: [u8; SUBJECTS],
    store_holders: [Option<u8>; SUBJECTS],
    terms: [[Option<Term>; SUBJECTS]; NODES],
    knows_regions: [bool; NODES],
    ordered: u8,
    on_the_way: BTreeSet<(u8, Term)>,
    highest_fence: u8,
    last_gained: u8,
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

    /// The subjects at which a node looks.
    fn subjects(&self, node: usize) -> Vec<usize> {
        let of_region = self.knows_regions[node].then_some(REGIONS[node]);
        [FLEET].into_iter().chain(of_region).collect()
    }

    fn take(&self, node: usize, subject: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_free = self.store_holders[subject].is_none() || !guards.take_if_absent;
        if !is_free || self.revision >= MOST_REVISIONS || self.terms[node][subject].is_some() {
            return;
        }
        let mut taken = self.clone();
        taken.revision += 1;
        taken.versions[subject] += 1;
        taken.store_holders[subject] = Some(node as u8);
        let own = if guards.one_sequence { taken.revision } else { taken.versions[subject] };
        taken.terms[node][subject] = Some(Term { fence: own, gained: taken.revision });
        states.push(taken);
    }

    /// A term ends by its own time, or with the node.
    fn end_term(&self, node: usize, subject: usize, states: &mut Vec<Self>) {
        if self.terms[node][subject].is_some() {
            let mut over = self.clone();
            over.terms[node][subject] = None;
            states.push(over);
        }
    }

    /// A key goes with its lease, which outlives the term.
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
        let is_own = subject == FLEET || subject == NEAR;
        self.terms[node][subject].filter(|_| is_own || !guards.own_runners)
    }

    fn order(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(term) = self.ordering_term(node, guards) else { return };
        if self.ordered >= MOST_ORDERS {
            return;
        }
        let mut ordered = self.clone();
        ordered.ordered += 1;
        ordered.on_the_way.insert((node as u8, term));
        // Nodes that agree on the regions never may order the same runner both.
        ordered.violated |= (0..NODES).any(|other| {
            let agrees = self.knows_regions[other] == self.knows_regions[node];
            other != node && agrees && self.ordering_term(other, guards).is_some()
        });
        states.push(ordered);
    }

    fn arrive(&self, states: &mut Vec<Self>) {
        for order in &self.on_the_way {
            let mut arrived = self.clone();
            arrived.on_the_way.remove(order);
            let (_, term) = *order;
            if term.fence >= self.highest_fence {
                arrived.highest_fence = term.fence;
                // Orders of two terms never are taken in turns.
                arrived.violated |= term.gained < self.last_gained;
                arrived.last_gained = term.gained;
            }
            states.push(arrived);
        }
    }
}
