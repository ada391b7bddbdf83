//! A small fleet in virtual time: nodes that query and nodes that hold keepers, the store's keys
//! and leases, messages that are delayed, lost or duplicated, and faults.

mod leases;
mod messages;

use pitchstall_serving::ids::{NodeId, RegionId, TenantName, ZoneId};
use pitchstall_serving::membership::Member;
use pitchstall_serving::quota::{
    QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaUnit, TenantLimit,
};
use pitchstall_serving::quota_candidacy::{
    candidate_rank, Candidacy, CandidacyAction, QuotaKeeperKey,
};
use pitchstall_serving::quota_handover::QuotaHandover;
use pitchstall_serving::quota_keeper::{QuotaKeeper, QuotaKeeperAction};
use pitchstall_serving::quota_outcome::QuotaOutcome;
use pitchstall_serving::quota_requester::{QuotaRequest, QuotaRequester, RequesterAction};
use pitchstall_serving::quota_slots::{all_keepers, KeeperId};
use pitchstall_serving::quota_term::QuotaKeeperTerm;
use pitchstall_serving::scheduling::Ticket;
use pitchstall_serving::store_revision::StoreRevision;
use pitchstall_serving::topology::Topology;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: u64 = 1_000_000;
pub const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };
pub const NODES: usize = 12;
const ZONES: usize = 3;
const LEASE_US: u64 = 30 * SECOND;
const RENEW_EVERY_US: u64 = 5 * SECOND;
const RETRY_RENEWAL_US: u64 = SECOND / 2;
const POLL_EVERY_US: u64 = 250_000;
/// Time from the end of a holder's grants to the term of its successor: a message and a write to
/// the store.
const HANDOVER_US: u64 = 20_000;
/// Time from a grant to the arrival of the run at its runner.
const SEND_US: u64 = 2_000;

/// A fault injected into the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Ends processes. They restart at the same address after the given time, or never.
    Kill { nodes: Vec<usize>, back_after_us: Option<u64> },
    /// Stops nodes as planned: each hands over its keepers and then campaigns for none. They
    /// restart at the same address after the given time.
    Stop { nodes: Vec<usize>, back_after_us: u64 },
    /// Suspends nodes for the given time, while their clocks continue.
    Freeze { nodes: Vec<usize>, for_us: u64 },
    /// Separates nodes from the store and from all nodes outside the group, but not from each
    /// other.
    Partition { nodes: Vec<usize>, for_us: u64 },
    /// Separates nodes from the store.
    StoreUnreachable { nodes: Vec<usize>, for_us: u64 },
    /// Makes nodes lose their knowledge of all keepers.
    NoKeepers { nodes: Vec<usize>, for_us: u64 },
    /// Multiplies all limits. Each node receives the new limits within 3 s.
    ChangeLimits { factor: f64 },
}

enum Message {
    Query(QuotaQuery),
    Reply(QuotaReply),
    Refund(QuotaRefund),
}

enum Event {
    Request(usize),
    Message { to: usize, message: Message },
    ReplyTimeout { node: usize, incarnation: u64, ticket: Ticket, keeper: KeeperId },
    Renew { node: usize, incarnation: u64 },
    Poll { node: usize, incarnation: u64 },
    HandOver { node: usize, incarnation: u64, keeper: KeeperId },
    TakeOver { to: usize, handover: QuotaHandover },
    Fault(Fault),
    Restart { nodes: Vec<usize> },
    Heal { nodes: Vec<usize> },
    ReceiveConfiguration { node: usize, version: u64, factor: f64 },
}

/// A request that waits for its quota.
struct PendingRequest {
    tenant: usize,
    cost: u64,
}

struct Node {
    incarnation: u64,
    is_up: bool,
    /// Whether the node finishes its open requests before it ends.
    is_stopping: bool,
    frozen_until_us: u64,
    is_partitioned: bool,
    has_store: bool,
    knows_no_keepers: bool,
    requester: QuotaRequester,
    keepers: BTreeMap<KeeperId, QuotaKeeper>,
    candidacies: BTreeMap<KeeperId, Candidacy>,
    replica: BTreeMap<KeeperId, usize>,
    renewed_sent_us: u64,
    version: u64,
    factor: f64,
    pending: BTreeMap<Ticket, PendingRequest>,
}

#[derive(Clone, Copy)]
struct Key {
    node: usize,
    incarnation: u64,
    revision: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub offered: u64,
    pub refused: u64,
    pub unreachable: u64,
    /// Counts of requests and of messages.
    pub requests: u64,
    pub messages: u64,
    /// Arrivals at runners for each tenant, as (time, cost).
    pub arrivals: Vec<Vec<(u64, u64)>>,
}

pub struct Fleet {
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    random: ChaCha8Rng,
    topology: Topology,
    nodes: Vec<Node>,
    keys: BTreeMap<KeeperId, Key>,
    leases: BTreeMap<(usize, u64), u64>,
    revision: u64,
    rates: Vec<u64>,
    load: f64,
    loss: f64,
    end_us: u64,
    version: u64,
    pub results: Results,
}

fn zone(node: usize) -> ZoneId {
    ZoneId::new(format!("zone-{}", node % ZONES))
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_000))
}

fn name(node: usize, incarnation: u64) -> NodeId {
    NodeId::new(format!("node-{node}-{incarnation}"))
}

fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("all are of version 4"),
    }
}

impl Fleet {
    /// A fleet whose tenants have these rates and send `load` times their limits until `end_us`.
    /// `loss` is the share of messages that are lost, and also the share that are duplicated.
    pub fn new(rates: &[u64], load: f64, loss: f64, end_us: u64, seed: u64) -> Self {
        let zones = (0..ZONES).map(|number| (zone(number), RegionId::new("region")));
        let topology = Topology::new(zones);
        let mut fleet = Self {
            now_us: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES).map(|node| start_node(node, 0, &topology)).collect(),
            topology,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 0,
            rates: rates.to_vec(),
            load,
            loss,
            end_us,
            version: 1,
            results: Results { arrivals: vec![Vec::new(); rates.len()], ..Results::default() },
        };
        (0..NODES).for_each(|node| fleet.schedule_timers(node));
        (0..rates.len()).for_each(|tenant| fleet.push(SECOND, Event::Request(tenant)));
        fleet
    }

    pub fn at(&mut self, at_us: u64, fault: Fault) {
        self.push_at(at_us, Event::Fault(fault));
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        while let Some(Reverse((at_us, sequence))) = self.queue.pop() {
            let event = self.events.remove(&sequence).unwrap();
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            self.on_event(event);
        }
        self.results
    }

    /// The nodes that hold keepers after 10 s without faults, according to the store.
    pub fn holders_of(rates: &[u64]) -> Vec<usize> {
        let mut fleet = Self::new(rates, 0.0, 0.0, 10 * SECOND, 1);
        while let Some(Reverse((at_us, sequence))) = fleet.queue.pop() {
            if at_us > fleet.end_us {
                break;
            }
            let event = fleet.events.remove(&sequence).unwrap();
            fleet.now_us = at_us;
            fleet.on_event(event);
        }
        let mut holders: Vec<usize> = fleet.keys.values().map(|key| key.node).collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn push(&mut self, after_us: u64, event: Event) {
        self.push_at(self.now_us + after_us, event);
    }

    fn push_at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_timers(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.push(10_000 * node as u64, Event::Renew { node, incarnation });
        self.push(20_000 + 10_000 * node as u64, Event::Poll { node, incarnation });
    }

    /// The time until which an event must wait since its node is frozen; `None` if it need not
    /// wait.
    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let node = match event {
            Event::Message { to: node, .. }
            | Event::ReplyTimeout { node, .. }
            | Event::Renew { node, .. }
            | Event::Poll { node, .. }
            | Event::ReceiveConfiguration { node, .. } => *node,
            _ => return None,
        };
        let until_us = self.nodes[node].frozen_until_us;
        (self.now_us < until_us).then_some(until_us)
    }

    fn on_event(&mut self, event: Event) {
        if let Some(until_us) = self.frozen_until(&event) {
            return self.push_at(until_us, event);
        }
        match event {
            Event::Request(tenant) => self.on_request(tenant),
            Event::Message { to, message } if self.nodes[to].is_up => self.on_message(to, message),
            Event::ReplyTimeout { node, incarnation, ticket, keeper }
                if self.is_at(node, incarnation) =>
            {
                let is_reachable = self.is_reachable(node);
                let now_us = self.now_us;
                let action = self.nodes[node].requester.on_reply_timeout(
                    ticket,
                    &keeper,
                    is_reachable,
                    now_us,
                );
                self.on_action(node, action);
            }
            Event::Renew { node, incarnation } if self.is_at(node, incarnation) => self.renew(node),
            Event::Poll { node, incarnation } if self.is_at(node, incarnation) => self.poll(node),
            Event::HandOver { node, incarnation, keeper } if self.is_at(node, incarnation) => {
                self.hand_over(node, &keeper);
            }
            Event::TakeOver { to, handover } if self.nodes[to].is_up => {
                self.take_over(to, handover);
            }
            Event::Fault(fault) => self.on_fault(fault),
            Event::Restart { nodes } => {
                for node in nodes {
                    let (incarnation, version, factor) = (
                        self.nodes[node].incarnation + 1,
                        self.nodes[node].version,
                        self.nodes[node].factor,
                    );
                    self.nodes[node] = start_node(node, incarnation, &self.topology);
                    (self.nodes[node].version, self.nodes[node].factor) = (version, factor);
                    self.schedule_timers(node);
                }
            }
            Event::Heal { nodes } => {
                for node in nodes {
                    let node = &mut self.nodes[node];
                    (node.is_partitioned, node.has_store, node.knows_no_keepers) =
                        (false, true, false);
                }
            }
            Event::ReceiveConfiguration { node, version, factor } => {
                (self.nodes[node].version, self.nodes[node].factor) = (version, factor);
            }
            _ => {}
        }
    }

    fn is_at(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].incarnation == incarnation
    }

    fn is_reachable(&self, node: usize) -> impl Fn(&KeeperId) -> bool {
        let knows_no_keepers = self.nodes[node].knows_no_keepers;
        let replica = self.nodes[node].replica.clone();
        move |keeper: &KeeperId| !knows_no_keepers && replica.contains_key(keeper)
    }

    fn limit(&self, node: usize, tenant: usize) -> TenantLimit {
        let rate_per_s = (self.rates[tenant] as f64 * self.nodes[node].factor) as u64;
        TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { nodes, back_after_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].is_up = false);
                if let Some(after_us) = back_after_us {
                    self.push(after_us, Event::Restart { nodes });
                }
            }
            Fault::Stop { nodes, back_after_us } => {
                nodes.iter().for_each(|node| self.stop(*node));
                self.push(back_after_us, Event::Restart { nodes });
            }
            Fault::Freeze { nodes, for_us } => {
                let until_us = self.now_us + for_us;
                nodes.iter().for_each(|node| self.nodes[*node].frozen_until_us = until_us);
            }
            Fault::Partition { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].is_partitioned = true);
                self.push(for_us, Event::Heal { nodes });
            }
            Fault::StoreUnreachable { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].has_store = false);
                self.push(for_us, Event::Heal { nodes });
            }
            Fault::NoKeepers { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].knows_no_keepers = true);
                self.push(for_us, Event::Heal { nodes });
            }
            Fault::ChangeLimits { factor } => {
                self.version += 1;
                let version = self.version;
                for node in 0..NODES {
                    let after_us = self.random.random_range(0..3 * SECOND);
                    self.push(after_us, Event::ReceiveConfiguration { node, version, factor });
                }
            }
        }
    }
}

fn start_node(node: usize, incarnation: u64, topology: &Topology) -> Node {
    Node {
        incarnation,
        is_up: true,
        is_stopping: false,
        frozen_until_us: 0,
        is_partitioned: false,
        has_store: true,
        knows_no_keepers: false,
        requester: QuotaRequester::new(zone(node), address(node), BOUNDS, topology.clone()),
        keepers: BTreeMap::new(),
        candidacies: BTreeMap::new(),
        replica: BTreeMap::new(),
        renewed_sent_us: 0,
        version: 1,
        factor: 1.0,
        pending: BTreeMap::new(),
    }
}

/// The largest cost, in units, of any window that starts within `starts`.
pub fn max_window_cost(arrivals: &[(u64, u64)], starts: std::ops::Range<u64>) -> u64 {
    let mut sorted: Vec<(u64, u64)> = arrivals.to_vec();
    sorted.sort_unstable();
    let (mut last, mut sum, mut max_cost) = (0, 0, 0);
    for (at_us, cost) in &sorted {
        while last < sorted.len() && sorted[last].0 <= at_us + BOUNDS.window_us {
            sum += sorted[last].1;
            last += 1;
        }
        if starts.contains(at_us) {
            max_cost = max_cost.max(sum);
        }
        sum -= cost;
    }
    max_cost
}
