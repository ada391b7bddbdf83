//! A fleet whose nodes start together, in virtual time: the product's choice of sources and readers, a store whose link
//! all nodes share, and nodes that die, are cut off or are refused.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

use pitchstall_serving::full_read_gate::Occasion;
use pitchstall_serving::ids::{NodeId, RegionId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::source_choice::{ChoiceContext, NextQuery, SourceChoice, SourceReply};
use pitchstall_serving::start_up::{self, StartUp, Starting};
use pitchstall_serving::topology::Topology;
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

pub const ZONES: usize = 5;
pub const READERS: usize = 10;
const STEP_US: u64 = 10_000;
const SECOND_US: u64 = 1_000_000;
const CONTACT_US: u64 = 6 * SECOND_US;
/// Time for which a source holds its reply back.
const QUERY_WAIT_US: u64 = CONTACT_US * 12 / 100;
/// Time after which a connection to a silent node is given up.
const CONNECT_TIMEOUT_US: u64 = 200_000;
const RETRY_PAUSE_US: u64 = 30_000;
/// Pause of a node whose call to the store was refused.
const REFUSED_PAUSE_US: u64 = 400_000;
/// Pause between two attempts to read the list of nodes.
const LIST_RETRY_US: u64 = 1_000_000;
/// Time over which the starts of processes that are started together are spread.
const START_SPREAD_US: f64 = 500_000.0;
const STORE_BYTES_PER_S: f64 = 125_000_000.0;
/// What one node receives from the store when it is idle: the pages of a read follow one another.
const PAGED_BYTES_PER_S: f64 = 10_000_000.0;
const STRONG_BYTES_PER_S: f64 = 25_000_000.0;
const WEAK_BYTES_PER_S: f64 = 2_500_000.0;
const STRONG_PER_ZONE: usize = 10;
const LIST_BYTES_PER_NODE: f64 = 250.0;
const READ_BYTES_PER_RUNNER: f64 = 400.0;
const COPY_BYTES_PER_RUNNER: f64 = 28.0;
const RUNNERS_PER_NODE: f64 = 10.0;

/// How the store treats a node's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    Served,
    Refused,
}

/// How other nodes reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Reachable,
    /// Connections to it are refused: its process does not run.
    Gone,
    /// Connections to it hang.
    CutOff,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Activity {
    /// Nothing before a time.
    Paused { until_us: u64 },
    /// Reading the list of nodes.
    Listing { left_bytes: f64 },
    /// A query that is answered, or given up, by the time `until_us`.
    Querying { target: usize, is_source: bool, until_us: u64 },
    /// Reading all entries from the store.
    Reading { left_bytes: f64 },
    /// Receiving another node's replica.
    Copying { from: usize, left_bytes: f64 },
}

/// Nodes that a node could not connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Refusals {
    unreachable: BTreeSet<usize>,
    starting: BTreeSet<usize>,
}

pub struct Node {
    starts_us: u64,
    pub reachability: Reachability,
    pub store: StoreAccess,
    is_listed: bool,
    has_failed_listing: bool,
    choice: SourceChoice,
    refusals: Refusals,
    /// By number, whether a message of a node was received since this one's start.
    heard: Vec<bool>,
    activity: Activity,
    pub has_replica_at_us: Option<u64>,
    /// A node that has reported a replica which it has read itself.
    reporter: Option<usize>,
}

type Sources = (Vec<SocketAddr>, BTreeSet<usize>);

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now_us: u64,
    /// Number of reads of all entries that were begun.
    pub reads: usize,
    /// How many times as long the store takes for a call as usual; it limits a node's transfers.
    pub store_slowness: f64,
    sources: HashMap<(usize, Refusals), Sources>,
    /// By zone.
    views: HashMap<usize, Membership>,
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), 9_000)
}

fn number_of(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all addresses of the model are of version 4"),
    }
}

fn zone_of(number: usize) -> usize {
    number % ZONES
}

fn is_strong(number: usize) -> bool {
    number < STRONG_PER_ZONE * ZONES
}

fn name(number: usize) -> NodeId {
    NodeId::new(format!("node-{number:04}"))
}

fn member(number: usize) -> Member {
    let millicpus = if is_strong(number) { 500 } else { 120 };
    let zone = ZoneId::new(format!("zone-{}", zone_of(number)));
    Member { address: address(number), zone, millicpus }
}

fn link_bytes_per_s(number: usize) -> f64 {
    if is_strong(number) {
        STRONG_BYTES_PER_S
    } else {
        WEAK_BYTES_PER_S
    }
}

/// Numbers from 0 to 1 that are spread evenly over the nodes and differ from step to step.
fn spread(number: usize, now_us: u64) -> f64 {
    const GOLDEN_RATIO: f64 = 0.618_033_988_75;
    ((number as f64 + now_us as f64 / STEP_US as f64 * 7.0) * GOLDEN_RATIO).fract()
}

/// The view of the weakest node of a zone, which has the same sources as its others.
fn view_of(zone: usize, count: usize) -> Membership {
    let own = count - ZONES + (zone + ZONES - count % ZONES) % ZONES;
    let mut view = Membership::new(name(own), member(own), Topology::default());
    (0..count).for_each(|number| view.upsert(&name(number), &member(number)));
    let region = || RegionId::new("region");
    let zones = (0..ZONES).map(|zone| (ZoneId::new(format!("zone-{zone}")), region()));
    view.set_topology(Topology::new(zones));
    view
}

fn new_node(number: usize, starts_us: u64) -> Node {
    let first_call_us = 600_000 + (spread(number, 0) * 600_000.0) as u64;
    let starts_us = starts_us.saturating_add((spread(number, STEP_US) * START_SPREAD_US) as u64);
    Node {
        starts_us,
        // Connections are refused until the process runs.
        reachability: Reachability::Gone,
        store: StoreAccess::Served,
        is_listed: false,
        has_failed_listing: false,
        choice: SourceChoice::new(first_call_us),
        refusals: Refusals::default(),
        heard: Vec::new(),
        activity: Activity::Paused { until_us: starts_us },
        has_replica_at_us: None,
        reporter: None,
    }
}

impl Node {
    fn on_message_from(&mut self, number: usize, nodes: usize) {
        self.heard.resize(nodes, false);
        self.heard[number] = true;
    }

    fn has_heard(&self, number: usize) -> bool {
        self.heard.get(number).is_some_and(|is_heard| *is_heard)
    }

    fn on_refused(&mut self, number: usize, now_us: u64) {
        let may_be_starting = start_up::may_be_starting(now_us - self.starts_us);
        match may_be_starting && !self.has_heard(number) {
            true => self.refusals.starting.insert(number),
            false => self.refusals.unreachable.insert(number),
        };
    }

    fn starting(&self, now_us: u64, nodes: usize, has_near_reader: bool) -> Starting {
        if self.refusals.starting.is_empty() {
            return Starting::Nobody;
        }
        let heard = self.heard.iter().filter(|is_heard| **is_heard).count();
        let heard_share = heard as f64 / (nodes - 1) as f64;
        let uptime_us = now_us - self.starts_us;
        StartUp { uptime_us, heard_share, has_near_reader }.assess()
    }
}

impl Fleet {
    /// Nodes that all start now. The store has their registrations.
    pub fn returning(count: usize) -> Self {
        Self {
            nodes: (0..count).map(|number| new_node(number, 0)).collect(),
            now_us: 0,
            reads: 0,
            store_slowness: 1.0,
            sources: HashMap::new(),
            views: HashMap::new(),
        }
    }

    /// The nodes that read the store by a full list.
    pub fn readers(&mut self) -> BTreeSet<usize> {
        (0..ZONES).flat_map(|zone| self.sources_of(zone, &Refusals::default()).1).collect()
    }

    /// All nodes lose their state and start again now.
    pub fn restart(&mut self) {
        let now_us = self.now_us;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            *node = new_node(number, now_us);
        }
    }

    /// A node's process ends, and starts again after a time if one is given.
    pub fn kill(&mut self, number: usize, returns_after_us: Option<u64>) {
        let starts_us = returns_after_us.map_or(u64::MAX, |after_us| self.now_us + after_us);
        self.nodes[number] = new_node(number, starts_us);
    }

    /// Size of a read of all entries.
    pub fn full_read_bytes(&self) -> f64 {
        self.nodes.len() as f64 * RUNNERS_PER_NODE * READ_BYTES_PER_RUNNER
    }

    /// Share of the running nodes that have a replica.
    pub fn served_share(&self) -> f64 {
        let running = self.nodes.iter().filter(|node| node.starts_us <= self.now_us);
        let (served, running): (Vec<_>, Vec<_>) =
            running.partition(|node| node.has_replica_at_us.is_some());
        served.len() as f64 / (served.len() + running.len()) as f64
    }

    /// Plays until a time.
    pub fn play_until(&mut self, end_us: u64) {
        while self.now_us < end_us {
            self.now_us += STEP_US;
            self.transfer();
            (0..self.nodes.len()).for_each(|number| self.act(number));
        }
    }

    /// Plays until all running nodes have a replica; returns that time in seconds, or `None` after `max_us`.
    pub fn play_until_served(&mut self, max_us: u64) -> Option<f64> {
        while self.now_us < max_us {
            self.play_until(self.now_us + STEP_US);
            if self.served_share() >= 1.0 {
                return Some(self.now_us as f64 / SECOND_US as f64);
            }
        }
        None
    }

    /// Moves the bytes of one step over the links.
    fn transfer(&mut self) {
        let step_s = STEP_US as f64 / SECOND_US as f64;
        let from_store = self.nodes.iter().filter(|node| {
            matches!(node.activity, Activity::Reading { .. } | Activity::Listing { .. })
        });
        let store_share = STORE_BYTES_PER_S / (from_store.count().max(1) as f64);
        let mut copies: HashMap<usize, usize> = HashMap::new();
        for node in &self.nodes {
            if let Activity::Copying { from, .. } = node.activity {
                *copies.entry(from).or_default() += 1;
            }
        }
        let slowness = self.store_slowness;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let own_link = link_bytes_per_s(number);
            let paged = own_link.min(PAGED_BYTES_PER_S) / slowness;
            match &mut node.activity {
                Activity::Listing { left_bytes } | Activity::Reading { left_bytes } => {
                    *left_bytes -= store_share.min(paged) * step_s;
                }
                Activity::Copying { from, left_bytes } => {
                    let share = link_bytes_per_s(*from) / copies[from] as f64;
                    *left_bytes -= share.min(own_link) * step_s;
                }
                Activity::Paused { .. } | Activity::Querying { .. } => {}
            }
        }
    }

    fn act(&mut self, number: usize) {
        let now_us = self.now_us;
        if self.nodes[number].starts_us > now_us {
            return;
        }
        if self.nodes[number].reachability == Reachability::Gone {
            self.nodes[number].reachability = Reachability::Reachable;
        }
        match self.nodes[number].activity {
            Activity::Paused { until_us } if until_us > now_us => {}
            Activity::Paused { .. } if !self.nodes[number].is_listed => self.begin_listing(number),
            Activity::Paused { .. } => self.choose(number),
            Activity::Listing { left_bytes } if left_bytes > 0.0 => {}
            Activity::Listing { .. } => {
                let node = &mut self.nodes[number];
                (node.is_listed, node.has_failed_listing) = (true, false);
                self.send_digests(number);
                self.choose(number);
            }
            Activity::Querying { target, is_source, until_us } => {
                self.on_query(number, target, is_source, until_us);
            }
            Activity::Reading { left_bytes } if left_bytes > 0.0 => {}
            Activity::Reading { .. } => {
                for reader in self.readers() {
                    self.nodes[reader].reporter = Some(number);
                }
                self.on_replica(number);
            }
            Activity::Copying { from, .. } if !self.is_running(from) => {
                self.pause(number, RETRY_PAUSE_US)
            }
            Activity::Copying { left_bytes, .. } if left_bytes > 0.0 => {}
            Activity::Copying { .. } => self.on_replica(number),
        }
    }

    /// A node sends a digest to all nodes of its list; those that run receive it.
    fn send_digests(&mut self, from: usize) {
        let is_reachable = |node: &Node| node.reachability == Reachability::Reachable;
        if !is_reachable(&self.nodes[from]) {
            return;
        }
        let count = self.nodes.len();
        let others = self.nodes.iter_mut().enumerate().filter(|(number, _)| *number != from);
        for node in others.map(|(_, node)| node).filter(|node| is_reachable(node)) {
            node.on_message_from(from, count);
            node.refusals.unreachable.remove(&from);
            node.refusals.starting.remove(&from);
        }
    }

    fn is_running(&self, number: usize) -> bool {
        self.nodes[number].starts_us <= self.now_us
    }

    fn pause(&mut self, number: usize, pause_us: u64) {
        self.nodes[number].activity = Activity::Paused { until_us: self.now_us + pause_us };
    }

    fn on_replica(&mut self, number: usize) {
        self.nodes[number].has_replica_at_us.get_or_insert(self.now_us);
        self.nodes[number].activity = Activity::Paused { until_us: u64::MAX };
    }

    fn begin_listing(&mut self, number: usize) {
        let left_bytes = self.nodes.len() as f64 * LIST_BYTES_PER_NODE;
        if self.nodes[number].store == StoreAccess::Refused {
            // The others are known from the digests that they send to all nodes of their lists.
            self.nodes[number].has_failed_listing = true;
            return self.choose(number);
        }
        self.nodes[number].activity = Activity::Listing { left_bytes };
    }

    fn choose(&mut self, number: usize) {
        if self.nodes[number].has_replica_at_us.is_some() {
            return;
        }
        let (sources, readers) =
            self.sources_of(zone_of(number), &self.nodes[number].refusals.clone());
        let has_near_reader = self.has_near_reader(number, &readers);
        let own = address(number);
        let mut sources: Vec<SocketAddr> = sources.into_iter().filter(|it| *it != own).collect();
        if number % 2 == 1 && sources.len() > 1 {
            sources.swap(0, 1);
        }
        // Nodes differ in their order of the other zones' readers.
        let near = sources.iter().filter(|it| zone_of(number_of(it)) == zone_of(number)).count();
        if near < sources.len() {
            let far = sources.len() - near;
            sources[near..].rotate_left(number / ZONES % far);
        }
        let (now_us, nodes) = (self.now_us, self.nodes.len());
        let node = &mut self.nodes[number];
        let occasion = Occasion {
            now_us: now_us - node.starts_us,
            nodes,
            contact_us: CONTACT_US,
            random: spread(number, now_us),
        };
        let next = node.choice.next(&ChoiceContext {
            sources: &sources,
            has_node_list: node.is_listed,
            is_store_reader: readers.contains(&number),
            needs_full_read: true,
            has_reporter: node.reporter.is_some(),
            is_behind: false,
            starting: node.starting(now_us, nodes, has_near_reader),
            occasion,
        });
        match next {
            NextQuery::Store => self.begin_read(number),
            NextQuery::Source { address, waits } => {
                self.begin_query(number, number_of(&address), true, waits)
            }
            NextQuery::OtherNode => {
                let random = (spread(number, now_us) * nodes as f64) as usize % nodes;
                let other = self.nodes[number].reporter.take().unwrap_or(random);
                self.begin_query(number, other, false, false);
            }
            NextQuery::GiveUpStarting => {
                let refusals = &mut self.nodes[number].refusals;
                refusals.unreachable.append(&mut refusals.starting);
                self.choose(number);
            }
            NextQuery::Pause => self.pause(number, RETRY_PAUSE_US),
        }
    }

    fn has_near_reader(&self, number: usize, readers: &BTreeSet<usize>) -> bool {
        let starting = &self.nodes[number].refusals.starting;
        let mut of_zone = readers.iter().filter(|reader| zone_of(**reader) == zone_of(number));
        of_zone.any(|reader| !starting.contains(reader))
    }

    fn begin_read(&mut self, number: usize) {
        if self.nodes[number].store == StoreAccess::Refused {
            // A reader that fails at the store queries the node that has reported a replica.
            return match self.nodes[number].reporter.take() {
                Some(reporter) => self.begin_query(number, reporter, false, false),
                None => self.pause(number, REFUSED_PAUSE_US),
            };
        }
        self.reads += 1;
        self.nodes[number].activity = Activity::Reading { left_bytes: self.full_read_bytes() };
    }

    fn begin_copy(&mut self, number: usize, from: usize) {
        let left_bytes = self.nodes.len() as f64 * RUNNERS_PER_NODE * COPY_BYTES_PER_RUNNER;
        self.nodes[number].activity = Activity::Copying { from, left_bytes };
    }

    fn begin_query(&mut self, number: usize, target: usize, is_source: bool, waits: bool) {
        let time_us = match self.nodes[target].reachability {
            Reachability::CutOff => CONNECT_TIMEOUT_US,
            Reachability::Reachable if waits => QUERY_WAIT_US,
            Reachability::Reachable | Reachability::Gone => 0,
        };
        let until_us = self.now_us + time_us;
        self.nodes[number].activity = Activity::Querying { target, is_source, until_us };
    }

    fn on_query(&mut self, number: usize, target: usize, is_source: bool, until_us: u64) {
        let is_reachable = self.nodes[target].reachability == Reachability::Reachable;
        if is_reachable && self.nodes[target].has_replica_at_us.is_some() {
            self.nodes[number].choice.on_reply(SourceReply::Reliable);
            return self.begin_copy(number, target);
        }
        if self.now_us < until_us {
            return;
        }
        let reply = self.reply_of(target);
        let (count, now_us) = (self.nodes.len(), self.now_us);
        let is_refused = self.nodes[target].reachability == Reachability::Gone;
        let node = &mut self.nodes[number];
        if is_reachable {
            node.on_message_from(target, count);
        }
        match (is_reachable, is_source) {
            (true, true) => drop(node.choice.on_reply(reply)),
            (true, false) => node.choice.on_other_reply(reply),
            (false, true) => {
                match is_refused {
                    true => node.on_refused(target, now_us),
                    false => drop(node.refusals.unreachable.insert(target)),
                }
                node.choice.on_silent(true);
            }
            (false, false) => {}
        }
        self.pause(number, RETRY_PAUSE_US);
    }

    fn reply_of(&self, target: usize) -> SourceReply {
        let node = &self.nodes[target];
        let is_reading = matches!(node.activity, Activity::Reading { .. });
        match is_reading || (!node.is_listed && !node.has_failed_listing) {
            true => SourceReply::Obtaining,
            false => SourceReply::Unconfirmed,
        }
    }

    /// Sources of a node of a zone that can't connect to some nodes, and all readers by its view.
    fn sources_of(&mut self, zone: usize, refusals: &Refusals) -> Sources {
        let count = self.nodes.len();
        let key = (zone, refusals.clone());
        let views = &mut self.views;
        let computed = self.sources.entry(key).or_insert_with(|| {
            let view = views.entry(zone).or_insert_with(|| view_of(zone, count));
            view.forget_unreachable();
            let unreachable = refusals.unreachable.iter();
            unreachable.for_each(|number| view.on_unreachable(address(*number)));
            let starting = refusals.starting.iter();
            starting.for_each(|number| view.on_refused_while_starting(address(*number)));
            let readers = view.other_store_readers().iter().map(number_of).collect();
            let sources = view.sources();
            (sources, readers)
        });
        computed.clone()
    }
}
