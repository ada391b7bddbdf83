//! A small fleet in virtual time: nodes that ask and nodes that are keepers, the store's keys
//! under leases, words that take time, are lost or come twice, and faults.

mod leases;
mod messages;

use pitchstall_serving::ids::{NodeId, RegionId, TenantName, ZoneId};
use pitchstall_serving::membership::Member;
use pitchstall_serving::quota::{
    QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaUnit, TenantLimit,
};
use pitchstall_serving::quota_candidacy::{candidate_rank, Candidacy, CandidacyAction, KeeperKey};
use pitchstall_serving::quota_keeper::{Keeper, KeeperAction};
use pitchstall_serving::quota_outcome::QuotaOutcome;
use pitchstall_serving::quota_requester::{QuotaRequest, QuotaRequester, RequesterAction};
use pitchstall_serving::quota_slots::{all_keepers, KeeperId};
use pitchstall_serving::quota_term::KeeperTerm;
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
const LOOK_EVERY_US: u64 = 250_000;
/// Time from a decision to the run's arrival at its runner.
const SEND_US: u64 = 2_000;

/// What happens to the fleet at some time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Processes end; they start anew at the same address after so long, if at all.
    Kill { nodes: Vec<usize>, back_after_us: Option<u64> },
    /// Nodes do nothing for so long; their clocks go on.
    Freeze { nodes: Vec<usize>, for_us: u64 },
    /// Nodes reach neither the store nor the others, but each other.
    CutOff { nodes: Vec<usize>, for_us: u64 },
    /// Nodes do not reach the store.
    NoStore { nodes: Vec<usize>, for_us: u64 },
    /// Nodes know no keeper.
    KnowNobody { nodes: Vec<usize>, for_us: u64 },
    /// All limits are multiplied; each node hears of it within 3 s.
    Limits { times: f64 },
}

enum Word {
    Question(QuotaQuery),
    Answer(QuotaReply),
    Return(QuotaRefund),
}

enum Event {
    Request(usize),
    Word { to: usize, word: Word },
    Patience { node: usize, start: u64, ticket: Ticket, keeper: KeeperId },
    Renew { node: usize, start: u64 },
    Look { node: usize, start: u64 },
    Fault(Fault),
    Back { nodes: Vec<usize> },
    Reach { nodes: Vec<usize> },
    Hear { node: usize, version: u64, times: f64 },
}

/// A request that is being paid for.
struct Asked {
    tenant: usize,
    cost: u64,
}

struct Node {
    start: u64,
    is_up: bool,
    frozen_until_us: u64,
    is_cut: bool,
    has_store: bool,
    knows_nobody: bool,
    desk: QuotaRequester,
    keepers: BTreeMap<KeeperId, Keeper>,
    candidacies: BTreeMap<KeeperId, Candidacy>,
    copy: BTreeMap<KeeperId, usize>,
    renewed_sent_us: u64,
    version: u64,
    times: f64,
    asked: BTreeMap<Ticket, Asked>,
}

#[derive(Clone, Copy)]
struct Key {
    node: usize,
    start: u64,
    revision: u64,
}

/// What a play showed.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub offered: u64,
    pub refused: u64,
    pub unreachable: u64,
    /// Requests and words.
    pub requests: u64,
    pub words: u64,
    /// Arrivals at runners by tenant.
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
    pub figures: Figures,
}

fn zone(node: usize) -> ZoneId {
    ZoneId::new(format!("zone-{}", node % ZONES))
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_000))
}

fn name(node: usize, start: u64) -> NodeId {
    NodeId::new(format!("node-{node}-{start}"))
}

fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("all are of version 4"),
    }
}

impl Fleet {
    /// Tenants with these rates that send `load` times their limits until `end_us`; of the words
    /// this share is lost, and as many come twice.
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
            figures: Figures { arrivals: vec![Vec::new(); rates.len()], ..Figures::default() },
        };
        (0..NODES).for_each(|node| fleet.begin(node));
        (0..rates.len()).for_each(|tenant| fleet.push(SECOND, Event::Request(tenant)));
        fleet
    }

    pub fn at(&mut self, at_us: u64, fault: Fault) {
        self.push_at(at_us, Event::Fault(fault));
    }

    /// Plays to the end.
    pub fn play(mut self) -> Figures {
        while let Some(Reverse((at_us, sequence))) = self.queue.pop() {
            let event = self.events.remove(&sequence).unwrap();
            if at_us > self.end_us {
                break;
            }
            self.now_us = at_us;
            self.on_event(event);
        }
        self.figures
    }

    /// A node that holds a keeper in the zone, as far as the store knows.
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

    fn begin(&mut self, node: usize) {
        let start = self.nodes[node].start;
        self.push(10_000 * node as u64, Event::Renew { node, start });
        self.push(20_000 + 10_000 * node as u64, Event::Look { node, start });
    }

    /// Whether an event at a node has to wait for it to wake, and till when.
    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let node = match event {
            Event::Word { to: node, .. }
            | Event::Patience { node, .. }
            | Event::Renew { node, .. }
            | Event::Look { node, .. }
            | Event::Hear { node, .. } => *node,
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
            Event::Word { to, word } if self.nodes[to].is_up => self.on_word(to, word),
            Event::Patience { node, start, ticket, keeper } if self.is_at(node, start) => {
                let can_ask = self.can_ask(node);
                let now_us = self.now_us;
                let step = self.nodes[node].desk.on_reply_timeout(ticket, &keeper, can_ask, now_us);
                self.on_step(node, step);
            }
            Event::Renew { node, start } if self.is_at(node, start) => self.renew(node),
            Event::Look { node, start } if self.is_at(node, start) => self.look(node),
            Event::Fault(fault) => self.on_fault(fault),
            Event::Back { nodes } => {
                for node in nodes {
                    let (start, version, times) = (
                        self.nodes[node].start + 1,
                        self.nodes[node].version,
                        self.nodes[node].times,
                    );
                    self.nodes[node] = start_node(node, start, &self.topology);
                    (self.nodes[node].version, self.nodes[node].times) = (version, times);
                    self.begin(node);
                }
            }
            Event::Reach { nodes } => {
                for node in nodes {
                    let node = &mut self.nodes[node];
                    (node.is_cut, node.has_store, node.knows_nobody) = (false, true, false);
                }
            }
            Event::Hear { node, version, times } => {
                (self.nodes[node].version, self.nodes[node].times) = (version, times);
            }
            _ => {}
        }
    }

    fn is_at(&self, node: usize, start: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].start == start
    }

    fn can_ask(&self, node: usize) -> impl Fn(&KeeperId) -> bool {
        let is_blind = self.nodes[node].knows_nobody;
        let copy = self.nodes[node].copy.clone();
        move |keeper: &KeeperId| !is_blind && copy.contains_key(keeper)
    }

    fn limit(&self, node: usize, tenant: usize) -> TenantLimit {
        let rate_per_s = (self.rates[tenant] as f64 * self.nodes[node].times) as u64;
        TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { nodes, back_after_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].is_up = false);
                if let Some(after_us) = back_after_us {
                    self.push(after_us, Event::Back { nodes });
                }
            }
            Fault::Freeze { nodes, for_us } => {
                let until_us = self.now_us + for_us;
                nodes.iter().for_each(|node| self.nodes[*node].frozen_until_us = until_us);
            }
            Fault::CutOff { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].is_cut = true);
                self.push(for_us, Event::Reach { nodes });
            }
            Fault::NoStore { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].has_store = false);
                self.push(for_us, Event::Reach { nodes });
            }
            Fault::KnowNobody { nodes, for_us } => {
                nodes.iter().for_each(|node| self.nodes[*node].knows_nobody = true);
                self.push(for_us, Event::Reach { nodes });
            }
            Fault::Limits { times } => {
                self.version += 1;
                let version = self.version;
                for node in 0..NODES {
                    let after_us = self.random.random_range(0..3 * SECOND);
                    self.push(after_us, Event::Hear { node, version, times });
                }
            }
        }
    }
}

fn start_node(node: usize, start: u64, topology: &Topology) -> Node {
    Node {
        start,
        is_up: true,
        frozen_until_us: 0,
        is_cut: false,
        has_store: true,
        knows_nobody: false,
        desk: QuotaRequester::new(zone(node), address(node), BOUNDS, topology.clone()),
        keepers: BTreeMap::new(),
        candidacies: BTreeMap::new(),
        copy: BTreeMap::new(),
        renewed_sent_us: 0,
        version: 1,
        times: 1.0,
        asked: BTreeMap::new(),
    }
}

/// The largest sum of a window that begins within a time, units.
pub fn fullest_window(arrivals: &[(u64, u64)], begins: std::ops::Range<u64>) -> u64 {
    let mut sorted: Vec<(u64, u64)> = arrivals.to_vec();
    sorted.sort_unstable();
    let (mut last, mut sum, mut fullest) = (0, 0, 0);
    for (at_us, cost) in &sorted {
        while last < sorted.len() && sorted[last].0 <= at_us + BOUNDS.window_us {
            sum += sorted[last].1;
            last += 1;
        }
        if begins.contains(at_us) {
            fullest = fullest.max(sum);
        }
        sum -= cost;
    }
    fullest
}
