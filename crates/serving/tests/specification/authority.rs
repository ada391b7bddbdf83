//! Model of the authority over a runner's role: two nodes, the store's leased key, one runner.
//!
//! A node acquires the key if it is absent; the revision of that write is its fencing token. It
//! asks the runner how many orders it has accepted, then sends an order. Orders arrive at any time
//! or never, even after a restart of the runner. The store may be restored from an older copy: the
//! key may then be missing, and revisions and lease numbers are assigned again.

use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 2;
const MAX_REVISIONS: u8 = 2;
/// Maximum number of orders per node. It is lower with a restored store, so that the search ends
/// within seconds.
const MAX_ORDERS: u8 = 2;
const MAX_ORDERS_ACROSS_ERAS: u8 = 1;
const MAX_INSTANCES: u8 = 2;
/// Revisions that a fencing token can represent within an era.
const REVISIONS_PER_ERA: u8 = 16;

/// The safeguards of the protocol. All on: the protocol as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// The key is only acquired while it is absent.
    pub take_if_absent: bool,
    /// A holder's term ends no later than its lease in the store.
    pub time_from_sending: bool,
    /// The fencing token is the revision of the write that acquired the key.
    pub fence_from_revision: bool,
    /// An order contains the number of orders that the runner had accepted when it was decided.
    pub expected_orders: bool,
    /// An order contains the incarnation of the runner that it is for.
    pub named_instance: bool,
    /// An expired term only continues if the store still has its lease, and so its key.
    pub renewed_by_store: bool,
    /// Fencing tokens compare eras before revisions.
    pub fence_counts_eras: bool,
    /// A renewal whose reply comes from a later era renews nothing: the lease number may belong to
    /// another holder.
    pub lease_of_its_era: bool,
    /// A new holder waits until a holder of an earlier era that has not observed the later one must
    /// have given up.
    pub wait_for_earlier_era: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        take_if_absent: true,
        time_from_sending: true,
        fence_from_revision: true,
        expected_orders: true,
        named_instance: true,
        renewed_by_store: true,
        fence_counts_eras: true,
        lease_of_its_era: true,
        wait_for_earlier_era: true,
    };
}

/// What a holder has observed at the runner: its incarnation and the number of accepted orders.
type Observation = (u8, u8);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
    fence: Option<u8>,
    /// Fencing token of a term that has expired while the store did not reply.
    expired_fence: Option<u8>,
    observation: Option<Observation>,
    order_count: u8,
    /// Store era of the term.
    era: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    from: u8,
    number: u8,
    fence: u8,
    observation: Observation,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    revision: u8,
    store_holder: Option<u8>,
    /// Whether the store is restored from an older copy, at most once.
    may_be_restored: bool,
    era: u8,
    /// The backup from which the store may be restored: its revision and the holder of the key.
    backup: Option<(u8, Option<u8>)>,
    holders: [Holder; NODES],
    in_flight: BTreeSet<Order>,
    /// The node that has sent orders with a fencing token.
    token_users: BTreeMap<u8, u8>,
    instance: u8,
    order_total: u8,
    highest_fence: u8,
    pub violated: bool,
}

impl State {
    /// The initial state for a store that may be restored from an older copy of itself.
    pub fn with_restored_store() -> Self {
        Self { may_be_restored: true, ..Self::default() }
    }

    fn max_orders(&self) -> u8 {
        if self.may_be_restored {
            MAX_ORDERS_ACROSS_ERAS
        } else {
            MAX_ORDERS
        }
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            self.lease_steps(node, guards, &mut states);
            self.order_steps(node, &mut states);
        }
        self.runner_steps(guards, &mut states);
        self.store_steps(&mut states);
        states
    }

    fn store_steps(&self, states: &mut Vec<Self>) {
        if !self.may_be_restored || self.era > 0 {
            return;
        }
        match self.backup {
            None => {
                states.push(Self {
                    backup: Some((self.revision, self.store_holder)),
                    ..self.clone()
                });
            }
            Some((revision, store_holder)) => {
                let era = self.era + 1;
                states.push(Self { era, revision, store_holder, backup: None, ..self.clone() });
            }
        }
    }

    /// Whether a node with a term of an earlier era may still send orders.
    fn is_earlier_era_held(&self) -> bool {
        self.holders.iter().any(|holder| holder.fence.is_some() && holder.era < self.era)
    }

    fn lease_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_absent = self.store_holder.is_none() || !guards.take_if_absent;
        let may_take = is_absent && !(guards.wait_for_earlier_era && self.is_earlier_era_held());
        if may_take && self.revision < MAX_REVISIONS && self.holders[node].fence.is_none() {
            let mut acquired = self.clone();
            acquired.revision += 1;
            acquired.store_holder = Some(node as u8);
            // The reply is lost: the key is written, but its holder does not know.
            states.push(acquired.clone());
            let eras = if guards.fence_counts_eras { acquired.era * REVISIONS_PER_ERA } else { 0 };
            let fence = eras + if guards.fence_from_revision { acquired.revision } else { 1 };
            acquired.holders[node] =
                Holder { fence: Some(fence), era: self.era, ..Holder::default() };
            let holder_count =
                acquired.holders.iter().filter(|holder| holder.fence.is_some()).count();
            acquired.violated |= holder_count > 1;
            states.push(acquired);
        }
        let has_term = self.holders[node].fence.is_some();
        if has_term {
            // The node crashes.
            let mut crashed = self.clone();
            crashed.holders[node] = Holder::default();
            states.push(crashed);
            // The term expires.
            let mut expired = self.clone();
            let Holder { fence, order_count, era, .. } = self.holders[node];
            expired.holders[node] =
                Holder { expired_fence: fence, order_count, era, ..Holder::default() };
            states.push(expired);
        }
        self.renewal_steps(node, guards, states);
        let is_stored = self.store_holder == Some(node as u8);
        if is_stored && (!has_term || !guards.time_from_sending) {
            let mut lapsed = self.clone();
            lapsed.store_holder = None;
            states.push(lapsed);
        }
    }

    /// The store replies to the renewal of a lease whose term has expired.
    fn renewal_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let Some(fence) = self.holders[node].expired_fence else { return };
        let Holder { era, order_count, .. } = self.holders[node];
        let has_key =
            self.store_holder == Some(node as u8) && self.revision == fence % REVISIONS_PER_ERA;
        // The lease number may now be that of the current holder of the key.
        let is_renewed = match era == self.era {
            true => has_key,
            false => !guards.lease_of_its_era && self.store_holder.is_some(),
        };
        if is_renewed || !guards.renewed_by_store {
            let mut renewed = self.clone();
            renewed.holders[node] =
                Holder { fence: Some(fence), order_count, era, ..Holder::default() };
            let holder_count =
                renewed.holders.iter().filter(|holder| holder.fence.is_some()).count();
            renewed.violated |= holder_count > 1;
            states.push(renewed);
        }
    }

    fn order_steps(&self, node: usize, states: &mut Vec<Self>) {
        let holder = &self.holders[node];
        let Some(fence) = holder.fence else { return };
        let mut observed = self.clone();
        observed.holders[node].observation = Some((self.instance, self.order_total));
        states.push(observed);
        if let Some(observation) =
            holder.observation.filter(|_| holder.order_count < self.max_orders())
        {
            let mut ordered = self.clone();
            let number = holder.order_count;
            ordered.in_flight.insert(Order { from: node as u8, number, fence, observation });
            // A token identifies one holder: two holders that share it cannot be told apart.
            let user = *ordered.token_users.entry(fence).or_insert(node as u8);
            ordered.violated |= user != node as u8;
            ordered.holders[node].order_count += 1;
            ordered.holders[node].observation = None;
            states.push(ordered);
        }
    }

    fn runner_steps(&self, guards: Safeguards, states: &mut Vec<Self>) {
        if self.instance + 1 < MAX_INSTANCES {
            // The runner loses its accepted orders and its highest fencing token.
            let mut restarted = self.clone();
            restarted.instance += 1;
            restarted.order_total = 0;
            restarted.highest_fence = 0;
            states.push(restarted);
        }
        for order in &self.in_flight {
            let mut arrived = self.clone();
            arrived.in_flight.remove(order);
            let (instance, order_total) = order.observation;
            let misdirected = guards.named_instance && instance != self.instance;
            let outdated = guards.expected_orders && order_total != self.order_total;
            // The current holder is never rejected because of a token that was used before.
            let is_current = self.holders[order.from as usize].fence == Some(order.fence);
            arrived.violated |= is_current && order.fence < self.highest_fence;
            if !misdirected && !outdated && order.fence >= self.highest_fence {
                arrived.highest_fence = order.fence;
                arrived.order_total += 1;
                // The order was decided on an observation that no longer matches the runner.
                arrived.violated |= order.observation != (self.instance, self.order_total);
            }
            states.push(arrived);
        }
    }
}
