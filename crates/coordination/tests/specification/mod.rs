//! A small specification of the core protocol, for exhaustive search.
//!
//! Two nodes, one store, one engine; an operator who submits one change through either node;
//! a caller who submits one key through both. Messages may be lost, late and overtaken; nodes
//! pause (they simply take no step for a while: every interleaving is searched), crash and
//! start anew; the store's answers may be lost. Time is abstract: a lease may lapse at the
//! store at any step after its holder's own time is over, unless the safeguard that ties the
//! two is dropped.
//!
//! Each safeguard of the real protocol has a switch; the search must find a violation when
//! any one is off.

use std::collections::BTreeSet;

/// The switches. All on: the protocol as built.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// The engine refuses orders below the highest token seen.
    pub fence: bool,
    /// A new holder raises the fence and reads the engine back before it orders.
    pub raise_first: bool,
    /// The engine takes no order while a change is in flight.
    pub one_change_at_a_time: bool,
    /// A claim is written only if the key is absent.
    pub claim_compares: bool,
    /// A request runs only after its claim stands.
    pub claim_before_run: bool,
    /// A configuration is written only on top of the revision it was made from.
    pub commit_compares: bool,
    /// A lost answer is decided by reading the change id, not taken for a failure.
    pub read_after_lost_answer: bool,
    /// A node applies only higher revisions.
    pub only_higher: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        fence: true,
        raise_first: true,
        one_change_at_a_time: true,
        claim_compares: true,
        claim_before_run: true,
        commit_compares: true,
        read_after_lost_answer: true,
        only_higher: true,
    };
}

pub const NODES: usize = 2;

// --- authority: lease, epoch, fence, order -----------------------------------------------------

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    pub epoch: u8,
    pub sequence: u8,
    /// The role asked for; `None` raises the fence.
    pub role: Option<u8>,
    pub from: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Confirmed {
    Nothing,
    /// The role read back, and whether a change was in flight.
    Read(u8, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The epoch this node believes it holds.
    pub epoch: Option<u8>,
    pub next_sequence: u8,
    pub confirmed: Confirmed,
    pub outstanding: bool,
}

/// A reply on its way to a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reply {
    pub to: u8,
    pub epoch: u8,
    pub role: u8,
    pub changing: bool,
    pub accepted: bool,
}

/// State of the authority part.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Authority {
    pub store_epoch: u8,
    pub store_holder: Option<u8>,
    pub holders: [Holder; NODES],
    pub orders: BTreeSet<Order>,
    pub replies: BTreeSet<Reply>,
    pub fence: (u8, u8),
    pub role: u8,
    pub changing: Option<u8>,
    /// Set when an order took effect after a later holder had decided on its own picture of
    /// the engine, or when an order replaced a change in flight.
    pub violated: bool,
    /// The highest epoch whose holder has asked for a role.
    pub decided: u8,
}

/// Bounds of the search.
pub const EPOCHS: u8 = 2;
const ORDERS_OF_AN_EPOCH: u8 = 3;

impl Authority {
    pub fn initial() -> Self {
        let holder = Holder {
            epoch: None,
            next_sequence: 1,
            confirmed: Confirmed::Nothing,
            outstanding: false,
        };
        Self {
            store_epoch: 0,
            store_holder: None,
            holders: [holder.clone(), holder],
            orders: BTreeSet::new(),
            replies: BTreeSet::new(),
            fence: (0, 0),
            role: 0,
            changing: None,
            violated: false,
            decided: 0,
        }
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            self.lease_steps(node, &mut states);
            self.order_steps(node, guards, &mut states);
        }
        self.engine_steps(guards, &mut states);
        self.reply_steps(&mut states);
        states
    }

    fn lease_steps(&self, node: usize, states: &mut Vec<Self>) {
        // Acquire a free lease.
        if self.store_holder.is_none() && self.store_epoch < EPOCHS {
            let mut next = self.clone();
            next.store_epoch += 1;
            next.store_holder = Some(node as u8);
            next.holders[node] = Holder {
                epoch: Some(next.store_epoch),
                next_sequence: 1,
                confirmed: Confirmed::Nothing,
                outstanding: false,
            };
            states.push(next);
        }
        // The lease lapses at the store. The holder may be paused and not know it.
        if self.store_holder == Some(node as u8) {
            let mut next = self.clone();
            next.store_holder = None;
            states.push(next);
        }
        // A holder whose lease has lapsed learns it, or crashes and starts anew.
        if self.holders[node].epoch.is_some() && self.store_holder != Some(node as u8) {
            let mut next = self.clone();
            next.holders[node].epoch = None;
            states.push(next);
        }
    }

    fn order_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let holder = &self.holders[node];
        let Some(epoch) = holder.epoch else {
            return;
        };
        // An order without an answer is given up after a while; here, at any time.
        if holder.outstanding {
            let mut next = self.clone();
            next.holders[node].outstanding = false;
            states.push(next);
            return;
        }
        if holder.next_sequence > ORDERS_OF_AN_EPOCH {
            return;
        }
        let roles: Vec<Option<u8>> = match &holder.confirmed {
            Confirmed::Nothing if guards.raise_first => vec![None],
            Confirmed::Nothing => vec![Some(1), Some(2)],
            Confirmed::Read(_, true) if guards.one_change_at_a_time => vec![None],
            Confirmed::Read(role, _) => vec![Some(1 + (*role % 2))],
        };
        for role in roles {
            let mut next = self.clone();
            let order = Order { epoch, sequence: holder.next_sequence, role, from: node as u8 };
            if role.is_some() {
                next.decided = next.decided.max(epoch);
            }
            next.orders.insert(order);
            next.holders[node].next_sequence += 1;
            next.holders[node].outstanding = true;
            states.push(next);
        }
    }

    fn engine_steps(&self, guards: Safeguards, states: &mut Vec<Self>) {
        for order in &self.orders {
            // It arrives now. One that is lost is one that never does.
            let mut next = self.clone();
            next.orders.remove(order);
            let token = (order.epoch, order.sequence);
            let stale = guards.fence && token < next.fence;
            let busy = guards.one_change_at_a_time && next.changing.is_some();
            let accepted = !stale && (order.role.is_none() || !busy);
            if accepted {
                next.fence = next.fence.max(token);
                if let Some(role) = order.role {
                    next.violated |= order.epoch < next.decided;
                    next.violated |= next.changing.is_some();
                    next.changing = Some(role);
                }
            }
            next.replies.insert(Reply {
                to: order.from,
                epoch: order.epoch,
                role: next.role,
                changing: next.changing.is_some(),
                accepted,
            });
            states.push(next);
        }
        if let Some(role) = self.changing {
            let mut done = self.clone();
            done.role = role;
            done.changing = None;
            states.push(done);
        }
    }

    fn reply_steps(&self, states: &mut Vec<Self>) {
        for reply in &self.replies {
            let mut next = self.clone();
            next.replies.remove(reply);
            let holder = &mut next.holders[reply.to as usize];
            if holder.epoch == Some(reply.epoch) {
                holder.outstanding = false;
                if reply.accepted {
                    holder.confirmed = Confirmed::Read(reply.role, reply.changing);
                }
                states.push(next);
            }
        }
    }
}

// --- configuration: commit and spread ------------------------------------------------------------

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Submission {
    NotYet,
    /// Write sent; it may take effect at any time, or never.
    Written {
        effect_pending: bool,
    },
    /// The answer was lost.
    Lost {
        effect_pending: bool,
    },
    ToldCommitted,
    ToldNot {
        effect_pending: bool,
    },
}

/// State of the configuration part: two operators race, each through its own node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Spread {
    /// Change ids by revision; revision 0 is the first configuration.
    pub log: Vec<u8>,
    pub submissions: [Submission; NODES],
    /// The revision that each submission was made from.
    pub expected: [u8; NODES],
    pub applied: [u8; NODES],
    /// Documents on their way: to, revision.
    pub pushes: BTreeSet<(u8, u8)>,
    pub violated: bool,
}

impl Spread {
    pub fn initial() -> Self {
        Self {
            log: vec![0],
            submissions: [Submission::NotYet, Submission::NotYet],
            expected: [0, 0],
            applied: [0, 0],
            pushes: BTreeSet::new(),
            violated: false,
        }
    }

    fn latest(&self) -> u8 {
        (self.log.len() - 1) as u8
    }

    fn stands(&self, operator: usize) -> bool {
        self.log.contains(&(operator as u8 + 1))
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for operator in 0..NODES {
            self.submission_steps(operator, guards, &mut states);
            self.spread_steps(operator, guards, &mut states);
        }
        states
    }

    fn take_effect(&mut self, operator: usize, guards: Safeguards) {
        let expected = self.expected[operator];
        if self.stands(operator) {
            return;
        }
        if self.latest() == expected {
            self.log.push(operator as u8 + 1);
        } else if !guards.commit_compares {
            // Written over what another operator committed: that reverts.
            self.log.truncate(expected as usize + 1);
            self.log.push(operator as u8 + 1);
            self.violated = true;
        }
    }

    fn submission_steps(&self, operator: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let set = |submission: Submission| {
            let mut next = self.clone();
            next.submissions[operator] = submission;
            next
        };
        match &self.submissions[operator] {
            Submission::NotYet => {
                let mut next = set(Submission::Written { effect_pending: true });
                next.expected[operator] = self.applied[operator];
                states.push(next);
            }
            Submission::Written { effect_pending: true } => {
                let mut next = set(Submission::Written { effect_pending: false });
                next.take_effect(operator, guards);
                states.push(next);
                states.push(set(Submission::Lost { effect_pending: true }));
            }
            Submission::Written { effect_pending: false } => {
                let told = if self.stands(operator) {
                    Submission::ToldCommitted
                } else {
                    Submission::ToldNot { effect_pending: false }
                };
                states.push(set(told));
                states.push(set(Submission::Lost { effect_pending: false }));
            }
            Submission::Lost { effect_pending } => {
                if *effect_pending {
                    let mut next = set(Submission::Lost { effect_pending: false });
                    next.take_effect(operator, guards);
                    states.push(next);
                }
                if !guards.read_after_lost_answer {
                    let pending = *effect_pending;
                    states.push(set(Submission::ToldNot { effect_pending: pending }));
                } else if self.stands(operator) {
                    states.push(set(Submission::ToldCommitted));
                } else if self.latest() > self.expected[operator] {
                    // Another change stands at our revision: ours can never go in.
                    states.push(set(Submission::ToldNot { effect_pending: *effect_pending }));
                } else {
                    states.push(set(Submission::Written { effect_pending: true }));
                }
            }
            Submission::ToldNot { effect_pending: true } => {
                let mut next = set(Submission::ToldNot { effect_pending: false });
                next.take_effect(operator, guards);
                next.violated |= next.stands(operator);
                states.push(next);
            }
            Submission::ToldNot { effect_pending: false } => {
                if self.stands(operator) && !self.violated {
                    let mut next = self.clone();
                    next.violated = true;
                    states.push(next);
                }
            }
            Submission::ToldCommitted => {}
        }
    }

    fn spread_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        // A node reads the store, or sends what it applies to the other, late.
        let mut read = self.clone();
        read.apply(node, self.latest(), guards);
        states.push(read);
        let mut push = self.clone();
        push.pushes.insert((1 - node as u8, self.applied[node]));
        states.push(push);
        for (to, revision) in &self.pushes {
            if *to as usize == node {
                let mut arrived = self.clone();
                arrived.pushes.remove(&(*to, *revision));
                arrived.apply(node, *revision, guards);
                states.push(arrived);
            }
        }
    }

    fn apply(&mut self, node: usize, revision: u8, guards: Safeguards) {
        if revision > self.applied[node] {
            self.applied[node] = revision;
        } else if revision < self.applied[node] && !guards.only_higher {
            self.applied[node] = revision;
            self.violated = true;
        }
    }
}

// --- at most once ------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Claim {
    NotYet,
    /// Write sent; it may take effect at any time.
    Written,
    /// The answer was lost; the write may still take effect.
    Lost {
        effect_pending: bool,
    },
    Won,
    Ran,
    /// Another's stands.
    Second,
    Crashed {
        effect_pending: bool,
    },
}

/// State of the at-most-once part: one key, submitted through both nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Once {
    pub stands: Option<u8>,
    pub claims: [Claim; NODES],
    pub runs: u8,
}

impl Once {
    pub fn initial() -> Self {
        Self { stands: None, claims: [Claim::NotYet, Claim::NotYet], runs: 0 }
    }

    pub fn violated(&self) -> bool {
        self.runs > 1
    }

    fn take_effect(&mut self, node: usize, guards: Safeguards) {
        if self.stands.is_none() || !guards.claim_compares {
            self.stands = Some(node as u8);
        }
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            let set = |claim: Claim| {
                let mut next = self.clone();
                next.claims[node] = claim;
                next
            };
            let ours = self.stands == Some(node as u8);
            match &self.claims[node] {
                Claim::NotYet if !guards.claim_before_run => states.push(set(Claim::Won)),
                Claim::NotYet => states.push(set(Claim::Written)),
                Claim::Written => {
                    let mut answered = self.clone();
                    answered.take_effect(node, guards);
                    let won = answered.stands == Some(node as u8);
                    answered.claims[node] = if won { Claim::Won } else { Claim::Second };
                    states.push(answered);
                    let mut lost = self.clone();
                    lost.take_effect(node, guards);
                    lost.claims[node] = Claim::Lost { effect_pending: false };
                    states.push(lost);
                    states.push(set(Claim::Lost { effect_pending: true }));
                    states.push(set(Claim::Crashed { effect_pending: true }));
                }
                Claim::Lost { effect_pending } => {
                    if *effect_pending {
                        let mut next = set(Claim::Lost { effect_pending: false });
                        next.take_effect(node, guards);
                        states.push(next);
                    }
                    // Reading decides; a key that is still free is written again.
                    states.push(match self.stands {
                        Some(_) if ours => set(Claim::Won),
                        Some(_) => set(Claim::Second),
                        None => set(Claim::Written),
                    });
                }
                Claim::Won => {
                    let mut ran = set(Claim::Ran);
                    ran.runs += 1;
                    states.push(ran);
                    states.push(set(Claim::Crashed { effect_pending: false }));
                }
                Claim::Crashed { effect_pending: true } => {
                    let mut next = set(Claim::Crashed { effect_pending: false });
                    next.take_effect(node, guards);
                    states.push(next);
                }
                Claim::Ran | Claim::Second | Claim::Crashed { effect_pending: false } => {}
            }
        }
        states
    }
}
