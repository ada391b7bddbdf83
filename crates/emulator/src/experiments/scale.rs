//! The cost of control against the size of the fleet: hollow nodes and engines, many to this
//! process, that run the real coordination code.
//!
//! One run goes through phases: quiet, changes of the configuration, nodes that die, an
//! outage of the store, a zone that is cut off, and the replacement of every node.

use crate::simulation::faults::Action;
use crate::simulation::history::Event;
use crate::simulation::network::{Cut, Group};
use crate::simulation::topology::{Topology, ZoneSpec};
use crate::simulation::world::{StoreTrouble, World};
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{ChangeId, NodeId, Revision, ZoneId};
use pitchstall_protocol::operator::ApplyRequest;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Nodes in all.
    pub nodes: usize,
    /// Engines in all.
    pub engines: usize,
    /// Zones.
    pub zones: usize,
}

/// Seconds from a commit until a change was in force at every node.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SpreadTimes {
    /// Median over the changes.
    pub median_s: f64,
    /// The longest.
    pub worst_s: f64,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// The size.
    pub size: FleetSize,
    /// Control bytes a second that a node sends to other nodes, mean over the nodes.
    pub peer_bytes_per_second_mean: f64,
    /// The same of the busiest node: the one that carries its zone's digests.
    pub peer_bytes_per_second_max: f64,
    /// Control messages a second that a node sends, mean.
    pub peer_messages_per_second_mean: f64,
    /// Share of a core that the state machine takes, mean, in per cent.
    pub processor_percent_mean: f64,
    /// The same of the busiest node.
    pub processor_percent_max: f64,
    /// Resident memory of this process for each node, with its share of the emulated
    /// engines and of messages on the way, in kilobytes.
    pub memory_kb_per_node: u64,
    /// Requests a second to the store in the quiet phase.
    pub store_requests_per_second_quiet: f64,
    /// Requests to the store in the worst second after its outage.
    pub store_requests_worst_second_after_outage: u64,
    /// Requests to the store in the worst second of the replacement of every node.
    pub store_requests_worst_second_replacing: u64,
    /// Spread of changes in the quiet phase.
    pub spread: SpreadTimes,
    /// Spread of a change that was committed while the store went down at once.
    pub spread_into_outage_s: Option<f64>,
    /// Seconds after a zone was reached again until a change made meanwhile was in force.
    pub spread_after_cut_s: Option<f64>,
    /// Seconds until every other node of a zone held a killed node for dead: median.
    pub detection_median_s: f64,
    /// The longest.
    pub detection_worst_s: f64,
    /// Live nodes held for dead by a node of their zone, over all looks.
    pub detection_mistakes: u64,
    /// Looks at a pair of live nodes.
    pub detection_looks: u64,
    /// Whether every node had the latest configuration at the end.
    pub all_recovered: bool,
}

const QUIET_FROM: Timestamp = Timestamp::from_millis(15_000);
const QUIET_UNTIL: Timestamp = Timestamp::from_millis(45_000);
const STEP: Duration = Duration::from_millis(100);
const CHANGES: u64 = 5;
const KILLS: usize = 4;

/// Runs all phases at one size.
pub fn run(size: FleetSize, seed: u64) -> ScaleReport {
    let memory_before = resident_kb();
    let mut run = Run::new(size, seed);
    run.world.run_until(QUIET_FROM);
    let traffic = run.quiet_phase();
    let memory_kb = resident_kb().saturating_sub(memory_before);
    let spread = run.change_phase();
    let (mut detections, mistakes, looks) = run.kill_phase();
    detections.sort_by(f64::total_cmp);
    let (spread_into_outage_s, worst_after_outage) = run.outage_phase();
    let spread_after_cut_s = run.cut_phase();
    let worst_replacing = run.replacement_phase();
    ScaleReport {
        size,
        peer_bytes_per_second_mean: traffic.bytes_mean,
        peer_bytes_per_second_max: traffic.bytes_max,
        peer_messages_per_second_mean: traffic.messages_mean,
        processor_percent_mean: traffic.processor_mean,
        processor_percent_max: traffic.processor_max,
        memory_kb_per_node: memory_kb / size.nodes as u64,
        store_requests_per_second_quiet: traffic.store_requests,
        store_requests_worst_second_after_outage: worst_after_outage,
        store_requests_worst_second_replacing: worst_replacing,
        spread,
        spread_into_outage_s,
        spread_after_cut_s,
        detection_median_s: detections.get(detections.len() / 2).copied().unwrap_or(f64::NAN),
        detection_worst_s: detections.last().copied().unwrap_or(f64::NAN),
        detection_mistakes: mistakes,
        detection_looks: looks,
        all_recovered: run.all_at(run.world.committed()),
    }
}

/// Resident memory of this process, kilobytes; zero where it cannot be read.
fn resident_kb() -> u64 {
    const PAGE_KB: u64 = 4;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

struct Traffic {
    bytes_mean: f64,
    bytes_max: f64,
    messages_mean: f64,
    processor_mean: f64,
    processor_max: f64,
    store_requests: f64,
}

struct Run {
    world: World,
    size: FleetSize,
    changes: u64,
}

fn topology_of(size: FleetSize) -> Topology {
    const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
    let share =
        |total: usize, zone: usize| total / size.zones + usize::from(zone < total % size.zones);
    let zones = (0..size.zones).map(|zone| ZoneSpec {
        zone: ZoneId::new(format!("zone-{zone:02}")),
        nodes: share(size.nodes, zone),
        engines: ROLES.iter().copied().cycle().take(share(size.engines, zone)).collect(),
    });
    let mut topology = Topology::uniform(0, 0, 0);
    topology.zones = zones.collect();
    topology.delay_between_zones = Duration::from_millis(10);
    topology.tick = Duration::from_millis(50);
    topology.configuration = Some(topology.default_configuration());
    topology
}

impl Run {
    fn new(size: FleetSize, seed: u64) -> Self {
        Self { world: World::new(topology_of(size), seed), size, changes: 0 }
    }

    fn after(&self, wait: Duration) -> Timestamp {
        self.world.now + wait
    }

    fn quiet_phase(&mut self) -> Traffic {
        for slot in &mut self.world.nodes {
            slot.peer_bytes = 0;
            slot.peer_messages = 0;
            slot.busy = Duration::ZERO;
        }
        let handled = self.world.store.handled();
        self.world.run_until(QUIET_UNTIL);
        let seconds = QUIET_UNTIL.since(QUIET_FROM).as_secs_f64();
        let rate = |total: f64| total / seconds;
        let bytes = self.world.nodes.iter().map(|slot| rate(slot.peer_bytes as f64));
        let messages = self.world.nodes.iter().map(|slot| rate(slot.peer_messages as f64));
        let busy = self.world.nodes.iter().map(|slot| 100.0 * rate(slot.busy.as_secs_f64()));
        let nodes = self.size.nodes as f64;
        Traffic {
            bytes_mean: bytes.clone().sum::<f64>() / nodes,
            bytes_max: bytes.fold(0.0, f64::max),
            messages_mean: messages.sum::<f64>() / nodes,
            processor_mean: busy.clone().sum::<f64>() / nodes,
            processor_max: busy.fold(0.0, f64::max),
            store_requests: rate((self.world.store.handled() - handled) as f64),
        }
    }

    /// Submits a change through a node; returns the revision it should get.
    fn change(&mut self, node: usize) -> Revision {
        self.changes += 1;
        let expected_revision = self.world.committed();
        let mut configuration = topology_of(self.size).default_configuration();
        configuration.planner.max_engines_away = 1 + (self.changes % 2) as u32;
        let change = ChangeId::new(format!("scale-{}", self.changes));
        let request = ApplyRequest { expected_revision, change, configuration };
        self.world.add_apply(Duration::from_millis(1), node, request);
        expected_revision.next()
    }

    fn all_at(&self, revision: Revision) -> bool {
        self.world.applied_revisions().iter().all(|(_, applied)| *applied >= revision)
    }

    /// Runs until a revision is in force everywhere; `None` if it takes longer than a limit.
    fn run_until_in_force(&mut self, revision: Revision, limit: Duration) -> Option<f64> {
        let end = self.after(limit);
        while self.world.now < end {
            self.world.run_until(self.after(Duration::from_millis(20)));
            if self.world.committed() >= revision && self.all_at(revision) {
                return self.time_of_spread(revision);
            }
        }
        None
    }

    /// From the commit of a revision to the last node that applied it or a later one.
    fn time_of_spread(&self, revision: Revision) -> Option<f64> {
        let events = &self.world.history.events;
        let committed = events.iter().find_map(|(at, event)| match event {
            Event::Committed { revision: it, .. } if *it == revision => Some(*at),
            _ => None,
        })?;
        let mut first: BTreeMap<&NodeId, Timestamp> = BTreeMap::new();
        for (at, event) in events {
            if let Event::Applied { node, revision: it } = event {
                if *it >= revision && *at >= committed {
                    first.entry(node).or_insert(*at);
                }
            }
        }
        let last = first.values().max()?;
        Some(last.since(committed).as_secs_f64())
    }

    fn change_phase(&mut self) -> SpreadTimes {
        let mut times: Vec<f64> = (0..CHANGES)
            .filter_map(|number| {
                let node = (number as usize * 7) % self.size.nodes;
                let revision = self.change(node);
                self.run_until_in_force(revision, Duration::from_secs(20))
            })
            .collect();
        times.sort_by(f64::total_cmp);
        if times.len() < CHANGES as usize {
            return SpreadTimes { median_s: f64::NAN, worst_s: f64::NAN };
        }
        SpreadTimes { median_s: times[times.len() / 2], worst_s: times[times.len() - 1] }
    }

    fn kill_phase(&mut self) -> (Vec<f64>, u64, u64) {
        let victims: Vec<usize> =
            (0..KILLS).map(|number| (number * 13 + 3) % self.size.nodes).collect();
        let mut detections = Vec::new();
        let (mut mistakes, mut looks) = (0, 0);
        for victim in victims {
            let killed = self.world.now;
            self.world.kill_node(victim);
            let end = self.after(Duration::from_secs(8));
            let mut detected = None;
            while self.world.now < end {
                self.world.run_until(self.after(STEP));
                if detected.is_none() && !self.is_seen_live(victim) {
                    detected = Some(self.world.now.since(killed).as_secs_f64());
                }
                let (wrong, all) = self.look_for_mistakes();
                mistakes += wrong;
                looks += all;
            }
            detections.extend(detected);
            self.world.start_node(victim);
            self.world.run_until(self.after(Duration::from_secs(5)));
        }
        (detections, mistakes, looks)
    }

    fn others_in_zone(&self, place: usize) -> impl Iterator<Item = usize> + '_ {
        let zone = &self.world.nodes[place].zone;
        (0..self.world.nodes.len())
            .filter(move |other| *other != place && self.world.nodes[*other].zone == *zone)
    }

    fn is_seen_live(&self, place: usize) -> bool {
        let name = &self.world.nodes[place].name;
        self.others_in_zone(place).any(|other| {
            self.world.nodes[other].node.as_ref().is_some_and(|node| node.sees_live(name))
        })
    }

    fn look_for_mistakes(&self) -> (u64, u64) {
        let (mut mistakes, mut looks) = (0, 0);
        for (place, slot) in self.world.nodes.iter().enumerate() {
            if slot.node.is_none() {
                continue;
            }
            for other in self.others_in_zone(place) {
                if let Some(node) = &self.world.nodes[other].node {
                    looks += 1;
                    mistakes += u64::from(!node.sees_live(&slot.name));
                }
            }
        }
        (mistakes, looks)
    }

    fn worst_second(&self, from: Timestamp) -> u64 {
        let first = from.0 / 1_000_000;
        self.world.store_requests.range(first..).map(|(_, count)| *count).max().unwrap_or(0)
    }

    /// The store goes down just after a commit, for 30 seconds.
    fn outage_phase(&mut self) -> (Option<f64>, u64) {
        let revision = self.change(0);
        while self.world.committed() < revision {
            self.world.run_until(self.after(Duration::from_millis(1)));
        }
        self.world.store_trouble = StoreTrouble { down: true, ..StoreTrouble::default() };
        let spread = self.run_until_in_force(revision, Duration::from_secs(20));
        self.world.run_until(self.after(Duration::from_secs(30)));
        self.world.store_trouble = StoreTrouble::default();
        let back = self.world.now;
        self.world.run_until(self.after(Duration::from_secs(15)));
        (spread, self.worst_second(back))
    }

    /// One zone is cut off from everything for 60 seconds, with a change meanwhile.
    fn cut_phase(&mut self) -> Option<f64> {
        const ID: u64 = 1 << 40;
        let zone = self.world.nodes[self.size.nodes - 1].zone.clone();
        for (from, to) in
            [(Group::Zone(zone.clone()), Group::All), (Group::All, Group::Zone(zone.clone()))]
        {
            self.world.network.cut(Cut { id: ID, from, to });
        }
        let revision = self.change(0);
        self.world.run_until(self.after(Duration::from_secs(60)));
        self.world.network.heal(ID);
        let healed = self.world.now;
        self.run_until_in_force(revision, Duration::from_secs(30))?;
        Some(self.world.now.since(healed).as_secs_f64())
    }

    /// Every node is replaced once within two minutes.
    fn replacement_phase(&mut self) -> u64 {
        let from = self.world.now;
        let each = Duration::from_secs(120) / self.size.nodes as u32;
        for place in 0..self.size.nodes {
            self.world.add_fault(each * place as u32, Action::ReplaceNode(place));
        }
        self.world.run_until(self.after(Duration::from_secs(160)));
        self.worst_second(from)
    }
}
