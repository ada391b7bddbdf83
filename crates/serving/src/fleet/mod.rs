//! The runners that a node knows of, with its estimates of their load and health.
//!
//! Three sources disagree in time: the platform's registry (late, sometimes stale), what the
//! runners report in their responses, and the failures that this node observes. The registry and a
//! runner's own report decide whether a runner may get work. Failures only rank runners: treating a
//! failure as a removal would empty the fleet during a short network partition.

mod estimates;
mod last_entries;
mod version_history;

use last_entries::LastEntries;
pub use version_history::{VersionHistory, MAX_STREAM_AGE_US};

use crate::distance::Distances;
use crate::ids::{NodeId, RegionId, RunnerId, RunnerName, ServiceName, SoftwareVersion, ZoneId};
use crate::prefix::rendezvous_weight;
use crate::runner::{Lapsed, Runner, RunnerRecord, Stage};
use crate::runner_notice::DepartedAvailability;
use crate::scheduling::Shard;
use crate::store_revision::StoreRevision;
use crate::topology::Topology;
use std::collections::{BTreeMap, BTreeSet};

/// The effect of a registry update on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// The runner was not known before.
    Joined,
    /// The runner has started again under the same name; its previous incarnation has ended.
    Restarted {
        /// The incarnation that ended.
        ended: EndedIncarnation,
    },
    /// The runner has begun to drain.
    Draining,
    /// The runner's stage has changed.
    StageChanged,
    /// The entry is gone, possibly only because the store was unavailable. The runner is kept for a
    /// grace period.
    Lapsed,
    /// The runner has been removed from the fleet.
    Removed,
    /// The update is stale or changes nothing that affects placement.
    Unchanged,
}

/// An incarnation of a runner that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedIncarnation {
    /// The id of the incarnation.
    pub id: RunnerId,
    /// Whether its entry or the runner itself had announced that it would leave.
    pub was_leaving: bool,
}

fn ended(runner: &Runner) -> EndedIncarnation {
    EndedIncarnation { id: runner.record.id.clone(), was_leaving: runner.is_leaving() }
}

/// The part of the fleet that runners are chosen from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    /// The runners of all regions.
    AllRegions,
    /// The runners of one region.
    Region(&'a RegionId),
    /// The runners of one shard of a region.
    Shard(&'a Shard),
}

impl Scope<'_> {
    /// Whether the runner belongs to this scope.
    pub fn contains(&self, runner: &Runner) -> bool {
        match self {
            Self::AllRegions => true,
            Self::Region(region) => runner.region == **region,
            Self::Shard(shard) => shard.contains(runner),
        }
    }
}

/// The moment from which a runner accepts requests of this node again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextAvailability {
    /// Microseconds of the node's steady clock.
    pub at_us: u64,
    /// Whether the runner names a request limit. A limit holds back other nodes as well, while a
    /// rest period applies to this node alone.
    pub has_limit: bool,
}

/// The node that sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// This node. Runners that have asked it for a rest period, or whose limit is used up, are not
    /// eligible.
    ThisNode,
    /// Another node, which knows itself which runners it may send to. Rest periods and limits that
    /// apply to this node only rank runners.
    AnotherNode,
}

/// Selects the runners that a request may go to, irrespective of their load and health.
#[derive(Clone, Copy, Debug)]
pub struct Eligible<'a> {
    /// The node that sends the request.
    pub sender: Sender,
    /// The service that has to be offered.
    pub service: &'a ServiceName,
    /// Runners to which the request has already been sent.
    pub excluded: &'a [RunnerId],
    /// Zones that the operators' policy allows; `None` allows all.
    pub zones: Option<&'a BTreeSet<ZoneId>>,
    /// The software version that has to run the request, as it continues a stream of that version; `None` allows all.
    pub version: Option<&'a SoftwareVersion>,
    /// Software versions that must not run the request, as no stream may begin at them yet.
    pub excluded_versions: &'a [SoftwareVersion],
    /// The part of the fleet that is considered.
    pub scope: Scope<'a>,
}

impl<'a> Eligible<'a> {
    /// All runners of a service, for a request that any node may send.
    pub fn all_of(service: &'a ServiceName) -> Self {
        let sender = Sender::AnotherNode;
        Self {
            sender,
            service,
            excluded: &[],
            zones: None,
            version: None,
            excluded_versions: &[],
            scope: Scope::AllRegions,
        }
    }

    /// Whether the request may go to the runner, irrespective of its load and health.
    pub fn admits(&self, runner: &Runner) -> bool {
        let record = &runner.record;
        let zone_is_allowed = self.zones.is_none_or(|zones| zones.contains(&record.zone));
        record.service == *self.service
            && zone_is_allowed
            && self.version.is_none_or(|version| record.version == *version)
            && !self.excluded_versions.contains(&record.version)
            && !self.excluded.contains(&record.id)
            && self.scope.contains(runner)
    }

    /// Whether the sender may send requests to the runner now.
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
    /// Name of the node, by which it ranks runners that are equal otherwise.
    node: String,
    topology: Topology,
    distances: Distances,
    runners: BTreeMap<RunnerId, Runner>,
    /// The current incarnation of each runner.
    incarnations: BTreeMap<RunnerName, RunnerId>,
    /// What runners without an entry have reported about themselves. It is kept because an entry
    /// may have lapsed while its runner is alive.
    departed: DepartedAvailability,
    /// The last entries of incarnations that have ended.
    last_entries: LastEntries,
    /// The software versions of each service.
    versions: VersionHistory,
}

impl Fleet {
    /// Creates an empty fleet for a node in the zone `own`; `topology` assigns zones to regions.
    pub fn new(own: ZoneId, topology: Topology) -> Self {
        Self { topology, distances: Distances::new(own), ..Self::default() }
    }

    /// Sets the name of the node. Nodes with different names prefer different runners among equal
    /// ones, so those that know no loads do not all choose the same runner.
    pub fn set_node(&mut self, node: &NodeId) {
        self.node = node.as_str().to_owned();
    }

    /// Preference of this node for a runner among equal ones. A node keeps it, so that it can use its
    /// connections to the runner again.
    pub fn preference(&self, runner: &Runner) -> u64 {
        rendezvous_weight(&self.node, runner.record.id.name().as_str())
    }

    /// Replaces the assignment of zones to regions and updates the region of every runner.
    pub fn set_topology(&mut self, topology: Topology) {
        for runner in self.runners.values_mut() {
            runner.region = topology.region_of(&runner.record.zone);
        }
        self.topology = topology;
    }

    /// The assignment of zones to regions.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Records a measured round trip from this node's zone to another one.
    pub fn on_round_trip(&mut self, to: &ZoneId, rtt_ms: f64, now_us: u64) {
        self.distances.on_round_trip(to, rtt_ms, now_us);
    }

    /// The estimated round-trip time between two zones, in milliseconds.
    pub fn round_trip_ms(&self, one: &ZoneId, other: &ZoneId, now_us: u64) -> f64 {
        self.distances.round_trip_ms(&self.topology, one, other, now_us)
    }

    /// The round-trip time from a zone to the nearest zone with runners of a region, in
    /// milliseconds; `None` if the region has no runners.
    pub fn nearest_runner_rtt_ms(
        &self,
        from: &ZoneId,
        region: &RegionId,
        now_us: u64,
    ) -> Option<f64> {
        let of_region = self.runners.values().filter(|runner| runner.region == *region);
        let zones: BTreeSet<&ZoneId> = of_region.map(|runner| &runner.record.zone).collect();
        let round_trips = zones.into_iter().map(|zone| self.round_trip_ms(from, zone, now_us));
        round_trips.min_by(f64::total_cmp)
    }

    /// The regions in which a service has runners.
    pub fn regions_of(&self, service: &ServiceName) -> BTreeSet<RegionId> {
        let of_service = self.runners.values().filter(|runner| runner.record.service == *service);
        of_service.map(|runner| runner.region.clone()).collect()
    }

    /// The regions that have runners of any service.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        let regions: BTreeSet<&RegionId> = self.runners.values().map(|it| &it.region).collect();
        regions.into_iter().cloned().collect()
    }

    /// Applies an entry of the registry. Entries older than the known one are ignored. The revision
    /// of an entry also orders incarnations, because a machine's clock may have been set back
    /// before the runner started. Entries of ended incarnations, which an older state of the store
    /// brings back, are ignored too.
    pub fn put(&mut self, mut record: RunnerRecord) -> FleetChange {
        if self.last_entries.is_last_entry(&record) {
            return FleetChange::Unchanged;
        }
        record.draining |= self.last_entries.was_draining(&record);
        let region = self.topology.region_of(&record.zone);
        let name = record.id.name();
        let Some(incarnation) = self.incarnations.get(&name).cloned() else {
            self.insert(record, region);
            return FleetChange::Joined;
        };
        let Some(known) = self.runners.get_mut(&incarnation) else { return FleetChange::Unchanged };
        let gone_at = known.lapsed.map_or(StoreRevision::default(), |lapsed| lapsed.revision);
        if record.revision <= known.record.revision.max(gone_at) {
            return FleetChange::Unchanged;
        }
        if incarnation != record.id {
            // The new incarnation inherits no estimates from the previous one.
            let ended = ended(known);
            self.forget(&incarnation);
            self.insert(record, region);
            return FleetChange::Restarted { ended };
        }
        if record.revision.era() > known.record.revision.era() {
            // After a change of the store's era the entry may be older than the known one, so a
            // runner that is draining stays draining.
            record.draining |= known.record.draining;
            record.leaves_ms = record.leaves_ms.or(known.record.leaves_ms);
        }
        let change = if record.draining && !known.record.draining {
            FleetChange::Draining
        } else if record.stage != known.record.stage {
            FleetChange::StageChanged
        } else {
            FleetChange::Unchanged
        };
        if record.version != known.record.version {
            self.versions.on_left(&known.record);
            self.versions.on_joined(&record);
        }
        known.record = record;
        known.region = region;
        known.is_misdirected = false;
        known.lapsed = None;
        change
    }

    fn insert(&mut self, record: RunnerRecord, region: RegionId) {
        let incarnation = record.id.clone();
        let availability = self.departed.take(&incarnation);
        self.versions.on_joined(&record);
        self.incarnations.insert(incarnation.name(), incarnation.clone());
        self.runners.insert(incarnation, Runner::new(record, region, availability));
    }

    /// Applies the removal of an entry at the given revision. If `lapses_until_us` is set, the
    /// entry may only have lapsed while the store was unavailable: the runner is kept until then,
    /// unless it was about to leave.
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
                FleetChange::Removed
            }
            _ => FleetChange::Unchanged,
        }
    }

    /// Resets the known revisions after the store has been replaced by another one that counts
    /// revisions independently: every entry of the new store is taken as newer.
    pub fn on_store_replaced(&mut self) {
        for runner in self.runners.values_mut() {
            runner.record.revision = StoreRevision::default();
            if let Some(lapsed) = &mut runner.lapsed {
                lapsed.revision = StoreRevision::default();
            }
        }
        self.last_entries = LastEntries::default();
    }

    /// The software versions of each service.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Whether runners of several software versions have served a service recently.
    pub fn has_several_versions(&mut self, service: &ServiceName, now_us: u64) -> bool {
        self.versions.counted(service, now_us).len() > 1
    }

    /// Mutable access to the software versions of each service, whose ages are updated when they are looked at.
    pub fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }

    /// Whether any runner of a software version takes work.
    pub fn serves_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let is_of_version = |runner: &Runner| {
            runner.record.service == *service && runner.record.version == *version
        };
        self.runners.values().any(|runner| is_of_version(runner) && runner.accepts_work())
    }

    /// The current incarnation of a runner according to its entries.
    pub fn incarnation_of(&self, name: &RunnerName) -> Option<&RunnerId> {
        self.incarnations.get(name)
    }

    fn forget(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.remove(id) {
            self.departed.remember(id, runner.availability);
            self.versions.on_left(&runner.record);
            self.last_entries.remember(runner.record);
        }
        self.incarnations.remove(&id.name());
    }

    /// Removes and returns the runners whose entries lapsed and did not return in time.
    pub fn remove_lapsed(&mut self, now_us: u64) -> Vec<RunnerId> {
        let is_over = |runner: &&Runner| runner.lapsed.is_some_and(|it| now_us >= it.until_us);
        let gone: Vec<RunnerId> =
            self.runners.values().filter(is_over).map(|runner| runner.record.id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        gone
    }

    /// Applies a complete list of entries that was read at the given revision and returns the
    /// incarnations that ended. For `lapses_until_us` see [`Fleet::remove`].
    pub fn replace_all(
        &mut self,
        records: Vec<RunnerRecord>,
        revision: StoreRevision,
        lapses_until_us: Option<u64>,
    ) -> Vec<EndedIncarnation> {
        let listed: BTreeSet<RunnerName> = records.iter().map(|record| record.id.name()).collect();
        let is_gone = |runner: &&Runner| {
            runner.record.revision <= revision && !listed.contains(&runner.record.id.name())
        };
        let gone = self.runners.values().filter(is_gone);
        let gone: Vec<EndedIncarnation> = gone.map(ended).collect();
        let is_removed = |incarnation: &EndedIncarnation| {
            self.remove(&incarnation.id, revision.next(), lapses_until_us) == FleetChange::Removed
        };
        let mut over: Vec<EndedIncarnation> = gone.into_iter().filter(is_removed).collect();
        for record in records {
            if let FleetChange::Restarted { ended } = self.put(record) {
                over.push(ended);
            }
        }
        self.versions.on_list_replaced();
        over
    }

    /// The zones in which a service has runners.
    pub fn zones_of(&self, service: &ServiceName) -> BTreeSet<ZoneId> {
        let of_service = self.runners.values().filter(|runner| runner.record.service == *service);
        of_service.map(|runner| runner.record.zone.clone()).collect()
    }

    /// Looks up an incarnation of a runner; `None` if it is not known or has ended.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Iterates over all runners in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// The runners that may get new requests. Runners that are to be avoided are returned only if
    /// there are no others.
    pub fn candidates(&self, eligible: &Eligible<'_>, now_us: u64) -> Vec<&Runner> {
        let is_eligible = |runner: &&Runner| {
            let may_be_sent_to = eligible.may_be_sent_to(runner, now_us);
            eligible.admits(runner) && may_be_sent_to && !runner.is_changing_role(now_us)
        };
        let all: Vec<&Runner> = self.runners.values().filter(is_eligible).collect();
        let healthy: Vec<&Runner> =
            all.iter().copied().filter(|runner| !runner.is_avoided(now_us)).collect();
        if healthy.is_empty() {
            all
        } else {
            healthy
        }
    }

    /// The earliest moment at which a runner accepts requests of this node again, among the runners
    /// that are unavailable only because of a rest period or a limit.
    pub fn next_availability(
        &self,
        eligible: &Eligible<'_>,
        now_us: u64,
    ) -> Option<NextAvailability> {
        let is_only_withheld = |runner: &&Runner| {
            eligible.admits(runner) && runner.accepts_work() && !runner.is_changing_role(now_us)
        };
        let withheld = self.runners.values().filter(is_only_withheld);
        let availability = |runner: &Runner| {
            let at_us = runner.withheld_until_us(now_us)?;
            Some(NextAvailability { at_us, has_limit: runner.limit().is_some() })
        };
        withheld.filter_map(availability).min_by_key(|availability| availability.at_us)
    }

    /// Runners of a service that currently refuse requests of this node by their own report,
    /// because they leave, rest or have reached a limit. Leaving runners come first.
    pub fn withheld(&self, service: &ServiceName, now_us: u64) -> Vec<RunnerId> {
        let is_withheld = |runner: &&Runner| {
            let is_refusing =
                runner.availability.is_leaving() || runner.withheld_until_us(now_us).is_some();
            runner.record.service == *service && is_refusing
        };
        let mut withheld: Vec<&Runner> = self.runners.values().filter(is_withheld).collect();
        withheld.sort_by_key(|runner| !runner.is_leaving());
        withheld.into_iter().map(|runner| runner.record.id.clone()).collect()
    }

    /// Whether any candidate that can decode (or serves without stages) need not be avoided.
    pub fn has_healthy(&self, eligible: &Eligible<'_>, now_us: u64) -> bool {
        let candidates = self.candidates(eligible, now_us);
        let is_decode_capable = |runner: &&Runner| runner.record.stage != Some(Stage::Prefill);
        candidates.into_iter().filter(is_decode_capable).any(|runner| !runner.is_avoided(now_us))
    }
}
