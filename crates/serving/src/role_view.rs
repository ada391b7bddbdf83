//! The role planner's view of a service's runners: their roles, queued prefill work, the number of
//! prefill runners that the requested work needs, and the occupancy of decode.

use crate::configuration::EngineSpec;
use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, RunnerId, ServiceName, SoftwareVersion};
use crate::prefill_speed::PrefillSpeed;
use crate::runner::{Runner, Stage};
use std::collections::BTreeMap;

/// Service whose roles are planned, and its targets.
#[derive(Clone, Copy, Debug)]
pub struct RoleDemand<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Specification of the service's runners.
    pub engine: &'a EngineSpec,
    /// Shortest latency target of the service, in milliseconds.
    pub target_ms: f64,
    /// Region whose runners are considered; `None` for all regions.
    pub region: Option<&'a RegionId>,
}

impl RoleDemand<'_> {
    fn scope(&self) -> Scope<'_> {
        self.region.map_or(Scope::AllRegions, Scope::Region)
    }

    fn has(&self, runner: &Runner) -> bool {
        runner.record.service == *self.service && self.scope().contains(runner)
    }
}

/// Metrics of a service's runners in one planning round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoleMetrics {
    /// Number of prefill runners that may get work.
    pub prefill: usize,
    /// Number of decode runners that may get work.
    pub decode: usize,
    /// Number of runners that are changing to prefill.
    pub becoming_prefill: usize,
    /// Number of fully utilized prefill runners that the requested work needs.
    pub prefill_needed: f64,
    /// Queueing time of a prompt in latency targets, overdue work included.
    pub wait: f64,
    /// Part of `wait` that is due to overdue work.
    pub overdue_wait: f64,
    /// Share of the decode runners' slots that requests in decode occupy.
    pub occupancy: f64,
    /// Share of the decode runners' KV cache that requests in decode occupy.
    pub memory: f64,
}

/// Weight of overdue work relative to work that can still be in time. An overdue prompt would have
/// been in time with enough prefill runners, so it shows the same shortage as work in the queue.
const OVERDUE_WORK_WEIGHT: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The runners of one service at one time.
pub(crate) struct RoleView<'a> {
    prefill: Vec<&'a Runner>,
    decode: Vec<&'a Runner>,
    /// Versions of the runners that are changing to decode.
    becoming_decode: Vec<&'a SoftwareVersion>,
    metrics: RoleMetrics,
    now_us: u64,
}

impl<'a> RoleView<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        speed: &PrefillSpeed,
        demand: &RoleDemand<'_>,
        now_us: u64,
    ) -> Self {
        let is_of_service = |runner: &&Runner| demand.has(runner);
        let (prefill, decode): (Vec<&Runner>, Vec<&Runner>) = usable(fleet, demand, now_us)
            .into_iter()
            .partition(|runner| runner.record.stage == Some(Stage::Prefill));
        let becomes_prefill = |runner: &&Runner| runner.next_stage(now_us) == Some(Stage::Prefill);
        let becomes_decode = |runner: &&Runner| runner.next_stage(now_us) == Some(Stage::Decode);
        let becoming_decode = fleet.iter().filter(is_of_service).filter(becomes_decode);
        let becoming_decode = becoming_decode.map(|runner| &runner.record.version).collect();
        let demanded: f64 = fleet
            .iter()
            .filter(is_of_service)
            .map(|runner| runner.prefill_tokens_per_s(now_us))
            .sum();
        // Decode runners prefill too when the prefill runners are busy, at half the speed.
        let prefill_capacity = prefill.len() as f64 + decode.len() as f64 / 2.0;
        let target_ms = demand.target_ms.max(1.0) * prefill_capacity.max(1.0);
        let overdue_ms: f64 =
            prefill.iter().chain(&decode).map(|runner| overdue_ms(runner, speed, now_us)).sum();
        let at_prefill = prefill.iter().map(|runner| speed.backlog_ms(runner, now_us));
        let at_decode = decode.iter().map(|runner| decode_backlog_ms(runner, speed, now_us));
        let backlog_ms: f64 = at_prefill.chain(at_decode).sum();
        let decoding: f64 = decode.iter().map(|runner| runner.decoding(now_us)).sum();
        let held: f64 = decode.iter().map(|runner| held_by_decoding(runner, now_us)).sum();
        let decode_runners = decode.len().max(1) as f64;
        let metrics = RoleMetrics {
            prefill: prefill.len(),
            decode: decode.len(),
            becoming_prefill: fleet.iter().filter(is_of_service).filter(becomes_prefill).count(),
            prefill_needed: speed.prefill_ms(demanded) / MILLIS_PER_SECOND,
            wait: (backlog_ms + overdue_ms * OVERDUE_WORK_WEIGHT) / target_ms,
            overdue_wait: overdue_ms / target_ms,
            occupancy: decoding / (f64::from(demand.engine.slots.max(1)) * decode_runners),
            memory: held / (demand.engine.kv_tokens.max(1) as f64 * decode_runners),
        };
        Self { prefill, decode, becoming_decode, metrics, now_us }
    }

    pub(crate) fn metrics(&self) -> RoleMetrics {
        self.metrics
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Occupancy with a given number of decode runners, of slots or of KV cache, whichever is
    /// higher.
    pub(crate) fn occupancy_with(&self, decode_runners: usize) -> f64 {
        let fuller = self.metrics.occupancy.max(self.metrics.memory);
        fuller * self.metrics.decode.max(1) as f64 / decode_runners.max(1) as f64
    }

    /// Number of runners that may get work, now or after a pending role change.
    pub(crate) fn runner_count(&self) -> f64 {
        (self.prefill.len() + self.decode.len() + self.metrics.becoming_prefill) as f64
    }

    /// Whether a runner has a pending change to decode.
    pub(crate) fn becomes_decode(&self) -> bool {
        !self.becoming_decode.is_empty()
    }

    /// Number of prefill runners, those with a pending change to prefill included.
    pub(crate) fn prefill_runners(&self) -> usize {
        self.metrics.prefill + self.metrics.becoming_prefill
    }

    /// At most `count` runners of the other role that can take the wanted one, in order of increasing load. Each
    /// software version keeps a decode runner, and one that has none gets it first.
    pub(crate) fn least_loaded(&self, wanted: Stage, count: usize) -> Vec<RunnerId> {
        let others = if wanted == Stage::Prefill { &self.decode } else { &self.prefill };
        let lacking = self.version_without_decode();
        let rank = |runner: &&Runner| {
            let is_lacking = Some(&runner.record.version) == lacking;
            let load = (runner.occupancy(self.now_us) * 1_000.0) as u64 + runner.prefill_tokens;
            (!is_lacking, load)
        };
        let mut others = others.clone();
        others.sort_by_key(rank);
        if wanted == Stage::Prefill {
            self.keep_one_of_each_version(&mut others);
        }
        others.iter().take(count).map(|runner| runner.record.id.clone()).collect()
    }

    /// A version with two runners or more of which none decodes, while runners of several versions serve. The streams
    /// that it began can be continued by no other version.
    pub(crate) fn version_without_decode(&self) -> Option<&'a SoftwareVersion> {
        let decodes = |version: &SoftwareVersion| {
            let decode = self.decode.iter().map(|runner| &runner.record.version);
            decode.chain(self.becoming_decode.iter().copied()).any(|other| other == version)
        };
        let versions = self.prefill_runners_by_version();
        let lacking = versions.into_iter().find(|(version, count)| *count > 1 && !decodes(version));
        // A version that serves alone is covered by the minimum of decode runners.
        let is_alone = self.decode.is_empty() && self.becoming_decode.is_empty();
        lacking.filter(|_| !is_alone).map(|(version, _)| version)
    }

    fn prefill_runners_by_version(&self) -> BTreeMap<&'a SoftwareVersion, usize> {
        let mut counts = BTreeMap::new();
        for runner in &self.prefill {
            *counts.entry(&runner.record.version).or_default() += 1;
        }
        counts
    }

    /// Removes the last decode runner of each version from a list of decode runners, unless all are of one version.
    fn keep_one_of_each_version(&self, decode: &mut Vec<&Runner>) {
        let mut remaining: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
        for runner in &self.decode {
            *remaining.entry(&runner.record.version).or_default() += 1;
        }
        if remaining.len() < 2 {
            return;
        }
        decode.retain(|runner| {
            let count = remaining.entry(&runner.record.version).or_default();
            *count = count.saturating_sub(1);
            *count > 0
        });
    }
}

/// Runners that may get work. Runners with a limit take only a part of the usual work and get no
/// role orders, so they count only if there are no others. Runners that have just refused a request
/// as full count, because they are serving. Runners that are suspected of being unreachable count
/// only if there are no others.
fn usable<'a>(fleet: &'a Fleet, demand: &RoleDemand<'_>, now_us: u64) -> Vec<&'a Runner> {
    let is_usable = |runner: &&Runner| {
        let is_there = runner.accepts_work() && !runner.is_suspected();
        let is_whole = runner.limit().is_none();
        demand.has(runner) && is_there && is_whole && !runner.is_changing_role(now_us)
    };
    let usable: Vec<&Runner> = fleet.iter().filter(is_usable).collect();
    if usable.is_empty() {
        return fleet.candidates(
            &Eligible { scope: demand.scope(), ..Eligible::all_of(demand.service) },
            now_us,
        );
    }
    usable
}

fn overdue_ms(runner: &Runner, speed: &PrefillSpeed, now_us: u64) -> f64 {
    speed.prefill_ms((runner.local_overdue_tokens() + runner.peer_overdue_tokens(now_us)) as f64)
}

/// Prefill time of the work that is known to be queued at a decode runner. Other requests there are
/// in decode, so unlike at prefill runners nothing is estimated for them.
fn decode_backlog_ms(runner: &Runner, speed: &PrefillSpeed, now_us: u64) -> f64 {
    speed.prefill_ms((runner.prefill_tokens + runner.peer_prefill_tokens(now_us)) as f64)
}

/// Tokens of KV cache of the requests in decode at a runner. Memory reserved for prompts that are
/// not prefilled yet is left out: it will be needed with any split of roles.
fn held_by_decoding(runner: &Runner, now_us: u64) -> f64 {
    let share = runner.decoding(now_us) / runner.occupancy(now_us).max(1.0);
    runner.total_held_tokens(now_us) as f64 * share.min(1.0)
}
