//! The runners that a node knows of, and what it believes about their load and health.
//!
//! Three sources disagree in time: the platform's list (late, sometimes stale), what the
//! runners say in their answers, and failures that this node sees. The list and a runner's own
//! word decide whether a runner may get work; failures only rank runners, because acting on a
//! failure as if the runner were gone would empty the fleet during a short cut.

mod beliefs;
mod last_entries;

use last_entries::LastEntries;

use crate::distance::Distances;
use crate::ids::{RegionId, RunnerId, RunnerName, ServiceName, ZoneId};
use crate::runner::{Lapsed, Runner, RunnerRecord, Stage};
use crate::runner_notice::DepartedAvailability;
use crate::scheduling::Shard;
use crate::store_revision::StoreRevision;
use crate::topology::Topology;
use std::collections::{BTreeMap, BTreeSet};

/// What a change of the list did to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// It is new.
    Joined,
    /// It has started again: another life of it ended before.
    Reborn {
        /// The life that ended.
        ended: EndedLife,
    },
    /// It began to leave.
    Draining,
    /// Its stage changed.
    Restaged,
    /// Its entry is gone, which may be only because the store was away.
    Lapsed,
    /// It is gone.
    Left,
    /// Nothing that matters.
    None,
}

/// A life of a runner that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedLife {
    /// The life.
    pub id: RunnerId,
    /// Whether it had said that it was about to leave.
    pub was_leaving: bool,
}

fn ended(runner: &Runner) -> EndedLife {
    EndedLife { id: runner.record.id.clone(), was_leaving: runner.is_leaving() }
}

/// The part of the fleet that runners are chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    /// All of it.
    Everywhere,
    /// One region.
    Region(&'a RegionId),
    /// One shard of a region.
    Shard(&'a Shard),
}

impl Scope<'_> {
    /// Whether a runner belongs to it.
    pub fn has(&self, runner: &Runner) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Region(region) => runner.region == **region,
            Self::Shard(shard) => shard.has(runner),
        }
    }
}

/// A runner takes requests of this node again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// When, microseconds.
    pub at_us: u64,
    /// Whether it names a limit: then other nodes wait as well, while a rest is this node's alone.
    pub has_limit: bool,
}

/// Which node a request is sent by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// This one. A runner that has asked it for rest, or has none left of its limit, gets nothing.
    ThisNode,
    /// Another one, which knows whom it may send to. What this node was asked for only ranks runners.
    AnotherNode,
}

/// Which runners a request may go to, whatever their load and health.
#[derive(Clone, Copy, Debug)]
pub struct Eligible<'a> {
    /// Who sends it.
    pub sender: Sender,
    /// The service.
    pub service: &'a ServiceName,
    /// Runners that have had the request already.
    pub excluded: &'a [RunnerId],
    /// Zones that the operators' policy leaves; `None`: all.
    pub zones: Option<&'a BTreeSet<ZoneId>>,
    /// Where they are.
    pub scope: Scope<'a>,
}

impl<'a> Eligible<'a> {
    /// Every runner of a service, for some node.
    pub fn all_of(service: &'a ServiceName) -> Self {
        let sender = Sender::AnotherNode;
        Self { sender, service, excluded: &[], zones: None, scope: Scope::Everywhere }
    }

    fn admits(&self, runner: &Runner) -> bool {
        let record = &runner.record;
        let zone_is_allowed = self.zones.is_none_or(|zones| zones.contains(&record.zone));
        record.service == *self.service
            && zone_is_allowed
            && !self.excluded.contains(&record.id)
            && self.scope.has(runner)
    }

    /// Whether the sender may send to a runner now.
    fn may_be_sent_to(&self, runner: &Runner, now_us: u64) -> bool {
        match self.sender {
            Sender::ThisNode => runner.is_available_for_placement(now_us),
            Sender::AnotherNode => runner.accepts_work(),
        }
    }
}

/// All runners that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    topology: Topology,
    distances: Distances,
    runners: BTreeMap<RunnerId, Runner>,
    /// The life that each runner is in.
    lives: BTreeMap<RunnerName, RunnerId>,
    /// What lives have said of themselves whose entries are gone: an entry may only have lapsed.
    departed: DepartedAvailability,
    /// The last entries of lives that are over.
    last_entries: LastEntries,
}

impl Fleet {
    /// A fleet without runners, as a node of the zone `own` sees it; zones belong to these regions.
    pub fn new(own: ZoneId, topology: Topology) -> Self {
        Self { topology, distances: Distances::new(own), ..Self::default() }
    }

    /// Zones belong to other regions from now on.
    pub fn set_topology(&mut self, topology: Topology) {
        for runner in self.runners.values_mut() {
            runner.region = topology.region_of(&runner.record.zone);
        }
        self.topology = topology;
    }

    /// The regions of the zones.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// A round trip from this node's zone to another took so long.
    pub fn on_round_trip(&mut self, to: &ZoneId, took_ms: f64, now_us: u64) {
        self.distances.on_round_trip(to, took_ms, now_us);
    }

    /// A round trip between two zones, milliseconds.
    pub fn round_trip_ms(&self, one: &ZoneId, other: &ZoneId, now_us: u64) -> f64 {
        self.distances.round_trip_ms(&self.topology, one, other, now_us)
    }

    /// A round trip from a zone to the nearest runners of a region, milliseconds; `None` if it has
    /// none.
    pub fn way_ms(&self, from: &ZoneId, region: &RegionId, now_us: u64) -> Option<f64> {
        let of_region = self.runners.values().filter(|runner| runner.region == *region);
        let zones: BTreeSet<&ZoneId> = of_region.map(|runner| &runner.record.zone).collect();
        let ways = zones.into_iter().map(|zone| self.round_trip_ms(from, zone, now_us));
        ways.min_by(f64::total_cmp)
    }

    /// Regions in which a service has runners.
    pub fn regions_of(&self, service: &ServiceName) -> BTreeSet<RegionId> {
        let of_service = self.runners.values().filter(|runner| runner.record.service == *service);
        of_service.map(|runner| runner.region.clone()).collect()
    }

    /// Regions with runners.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        self.runners.values().map(|runner| runner.region.clone()).collect()
    }

    /// Takes in an entry of the list. Entries older than what is known are passed over: the revision of an
    /// entry orders lives too, as a machine's clock may have been set back before a runner's start. So are those of
    /// lives that are over, which an older copy of the store brings back.
    pub fn put(&mut self, mut record: RunnerRecord) -> FleetChange {
        if self.last_entries.has(&record) {
            return FleetChange::None;
        }
        record.draining |= self.last_entries.left_before(&record);
        let region = self.topology.region_of(&record.zone);
        let name = record.id.name();
        let Some(life) = self.lives.get(&name).cloned() else {
            self.insert(record, region);
            return FleetChange::Joined;
        };
        let Some(known) = self.runners.get_mut(&life) else { return FleetChange::None };
        let gone_at = known.lapsed.map_or(StoreRevision::default(), |lapsed| lapsed.revision);
        if record.revision <= known.record.revision.max(gone_at) {
            return FleetChange::None;
        }
        if life != record.id {
            // Nothing that is believed of the life that ended passes to the new one.
            let ended = ended(known);
            self.forget(&life);
            self.insert(record, region);
            return FleetChange::Reborn { ended };
        }
        if record.revision.era() > known.record.revision.era() {
            // The entry may be older than what is known; a life that leaves goes on leaving.
            record.draining |= known.record.draining;
            record.leaves_ms = record.leaves_ms.or(known.record.leaves_ms);
        }
        let change = if record.draining && !known.record.draining {
            FleetChange::Draining
        } else if record.stage != known.record.stage {
            FleetChange::Restaged
        } else {
            FleetChange::None
        };
        known.record = record;
        known.region = region;
        known.misdirected = false;
        known.lapsed = None;
        change
    }

    fn insert(&mut self, record: RunnerRecord, region: RegionId) {
        let life = record.id.clone();
        let availability = self.departed.take(&life);
        self.lives.insert(life.name(), life.clone());
        self.runners.insert(life, Runner::new(record, region, availability));
    }

    /// An entry has gone from the list at the given revision. One that may only have lapsed while the
    /// store was away is kept until `lapses_until_us`, unless its runner was about to leave.
    pub fn remove(
        &mut self,
        id: &RunnerId,
        revision: StoreRevision,
        lapses_until_us: Option<u64>,
    ) -> FleetChange {
        match self.runners.get_mut(id) {
            Some(known) if known.record.revision < revision => {
                if let Some(until_us) = lapses_until_us.filter(|_| !known.is_leaving()) {
                    known.lapsed.get_or_insert(Lapsed { until_us, revision });
                    return FleetChange::Lapsed;
                }
                self.forget(id);
                FleetChange::Left
            }
            _ => FleetChange::None,
        }
    }

    /// Entries come from another store from now on, which counts its revisions in another way: whatever it has is later.
    pub fn on_other_store(&mut self) {
        for runner in self.runners.values_mut() {
            runner.record.revision = StoreRevision::default();
            if let Some(lapsed) = &mut runner.lapsed {
                lapsed.revision = StoreRevision::default();
            }
        }
        self.last_entries = LastEntries::default();
    }

    /// The life that a runner is in, as far as its entries tell.
    pub fn life_of(&self, name: &RunnerName) -> Option<&RunnerId> {
        self.lives.get(name)
    }

    fn forget(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.remove(id) {
            self.departed.remember(id, runner.availability);
            self.last_entries.remember(runner.record);
        }
        self.lives.remove(&id.name());
    }

    /// Removes runners whose entries lapsed and have not come back in time; returns them.
    pub fn remove_lapsed(&mut self, now_us: u64) -> Vec<RunnerId> {
        let is_over = |runner: &&Runner| runner.lapsed.is_some_and(|it| now_us >= it.until_us);
        let gone: Vec<RunnerId> =
            self.runners.values().filter(is_over).map(|runner| runner.record.id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        gone
    }

    /// Takes in a whole list that was read at the given revision; returns the lives that are over. For
    /// `lapses_until_us` see [`Fleet::remove`].
    pub fn replace_all(
        &mut self,
        records: Vec<RunnerRecord>,
        revision: StoreRevision,
        lapses_until_us: Option<u64>,
    ) -> Vec<EndedLife> {
        let listed: BTreeSet<RunnerName> = records.iter().map(|record| record.id.name()).collect();
        let is_gone = |runner: &&Runner| {
            runner.record.revision <= revision && !listed.contains(&runner.record.id.name())
        };
        let gone = self.runners.values().filter(is_gone);
        let gone: Vec<EndedLife> = gone.map(ended).collect();
        let has_left = |life: &EndedLife| {
            self.remove(&life.id, revision.next(), lapses_until_us) == FleetChange::Left
        };
        let mut over: Vec<EndedLife> = gone.into_iter().filter(has_left).collect();
        for record in records {
            if let FleetChange::Reborn { ended } = self.put(record) {
                over.push(ended);
            }
        }
        over
    }

    /// Zones in which a service has runners.
    pub fn zones_of(&self, service: &ServiceName) -> BTreeSet<ZoneId> {
        let of_service = self.runners.values().filter(|runner| runner.record.service == *service);
        of_service.map(|runner| runner.record.zone.clone()).collect()
    }

    /// A runner by its id.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Runners that may get new requests; those that are avoided only if there are no others.
    pub fn candidates(&self, eligible: &Eligible<'_>, now_us: u64) -> Vec<&Runner> {
        let is_eligible = |runner: &&Runner| {
            let may_be_sent_to = eligible.may_be_sent_to(runner, now_us);
            eligible.admits(runner) && may_be_sent_to && !runner.is_changing_role(now_us)
        };
        let all: Vec<&Runner> = self.runners.values().filter(is_eligible).collect();
        let sound: Vec<&Runner> =
            all.iter().copied().filter(|runner| !runner.is_avoided(now_us)).collect();
        if sound.is_empty() {
            all
        } else {
            sound
        }
    }

    /// The first runner that takes requests of this node again, of those that get none because of a rest or a limit alone.
    pub fn first_opening(&self, eligible: &Eligible<'_>, now_us: u64) -> Option<Opening> {
        let is_only_withheld = |runner: &&Runner| {
            eligible.admits(runner) && runner.accepts_work() && !runner.is_changing_role(now_us)
        };
        let withheld = self.runners.values().filter(is_only_withheld);
        let opening = |runner: &Runner| {
            let at_us = runner.withheld_until_us(now_us)?;
            Some(Opening { at_us, has_limit: runner.limit().is_some() })
        };
        withheld.filter_map(opening).min_by_key(|opening| opening.at_us)
    }

    /// Runners of a service that get nothing from this node by their own word, leaving ones first.
    pub fn withheld(&self, service: &ServiceName, now_us: u64) -> Vec<RunnerId> {
        let is_withheld = |runner: &&Runner| {
            let own_word =
                runner.availability.is_leaving() || runner.withheld_until_us(now_us).is_some();
            runner.record.service == *service && own_word
        };
        let mut withheld: Vec<&Runner> = self.runners.values().filter(is_withheld).collect();
        withheld.sort_by_key(|runner| !runner.is_leaving());
        withheld.into_iter().map(|runner| runner.record.id.clone()).collect()
    }

    /// Whether there is a runner for new requests that is not avoided and writes answers.
    pub fn has_sound(&self, eligible: &Eligible<'_>, now_us: u64) -> bool {
        let candidates = self.candidates(eligible, now_us);
        let writes = |runner: &&Runner| runner.record.stage != Some(Stage::Prefill);
        candidates.into_iter().filter(writes).any(|runner| !runner.is_avoided(now_us))
    }
}
