//! The decisions of a scheduler: which runners prefill and decode a request, what is reserved for
//! it, and whether the scheduler of another shard should be queried instead.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, ZoneId};
use crate::placement::{choose_decode_runner, plan_prefill, Demand, PrefillPlan, RunnerChoice};
use crate::prefill_speed::PrefillSpeed;
use crate::prefix::Prompt;
use crate::regions::{regions_in_order, LocalPlacement, RegionBacklogs};
use crate::reservations::{Reservation, RunnerReservation};
use crate::runner::Stage;
use crate::scheduling::{
    CrossRegionReason, PlacementQuery, RemoteRegion, Shard, WireChoice, WirePlan,
};
use crate::urgency::defer_if_overdue;

/// Minimum wait, as a share of the target, from which a request is forwarded to another shard.
/// Below it, the extra hop and the older information about the other shard cost more than they
/// gain.
const MIN_FORWARDED_WAIT_SHARE: f64 = 0.25;
/// Maximum mean wait at the other shard, as a share of the wait at this one.
const MAX_WAIT_RATIO: f64 = 0.5;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// The latency target of a request.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTarget {
    /// Time within which the response is due, counted from the arrival of the request, in
    /// milliseconds.
    pub target_ms: f64,
    /// Time since the request arrived, in milliseconds.
    pub elapsed_ms: f64,
}

/// The runners that are chosen for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementDecision {
    /// The prefill of the prompt; `None` if no runner takes work.
    pub prefill: Option<PrefillPlan>,
    /// The decode runner that takes over the prompt; `None` if the prefilling runner also decodes.
    pub decode: Option<RunnerChoice>,
}

impl PlacementDecision {
    /// The runner that prefills the prompt, whether split or direct.
    pub fn prefill_choice(&self) -> Option<&RunnerChoice> {
        let (PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = self.prefill.as_ref()?;
        Some(choice)
    }
}

/// Chooses among the runners of a shard; if none of them takes work, among those of its region, and
/// then of the other regions. If `shard` is `None`, the region of the requesting zone comes first.
pub fn choose_placement(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    demand: &Demand<'_>,
    shard: Option<&Shard>,
    due: ResponseTarget,
) -> PlacementDecision {
    let of_shard = shard.and_then(|shard| choose_within(fleet, speed, demand, Scope::Shard(shard)));
    let own = || fleet.topology().region_of(demand.zone);
    let of_regions = || {
        let own = shard.map_or_else(own, |shard| shard.region.clone());
        let regions = regions_in_order(fleet, demand, &own);
        let mut regions = regions.iter().map(Scope::Region);
        regions.find_map(|region| choose_within(fleet, speed, demand, region))
    };
    let Some(placed) = of_shard.or_else(of_regions) else { return PlacementDecision::default() };
    let prefill = placed.prefill.map(|it| defer_if_overdue(it, due.target_ms, due.elapsed_ms));
    PlacementDecision { prefill, ..placed }
}

/// Chooses the prefill and the decode runner within one part of the fleet. A prompt that is
/// prefilled in one region is not moved to another.
fn choose_within(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    demand: &Demand<'_>,
    scope: Scope<'_>,
) -> Option<PlacementDecision> {
    let within = Demand { eligible: Eligible { scope, ..demand.eligible }, ..*demand };
    let prefill = plan_prefill(fleet, speed, &within)?;
    let decode = match &prefill {
        PrefillPlan::Split(prefill) => {
            let source = fleet.get(&prefill.runner).map(|runner| &runner.record.zone);
            choose_decode_runner(fleet, &within, source)
        }
        PrefillPlan::Direct(_) => None,
    };
    Some(PlacementDecision { prefill: Some(prefill), decode })
}

/// Chooses the runner that decodes a prompt prefilled in the zone `source`, or that prefills and
/// decodes it itself: a runner of the region of `source`, or else of another region.
pub fn choose_decode_runner_in_any_region(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<RunnerChoice> {
    let own = fleet.topology().region_of(source.unwrap_or(demand.zone));
    let regions = regions_in_order(fleet, demand, &own);
    let within = |scope| Demand { eligible: Eligible { scope, ..demand.eligible }, ..*demand };
    let mut regions = regions.iter().map(Scope::Region);
    regions.find_map(|region| choose_decode_runner(fleet, &within(region), source))
}

/// Converts a decision to its wire format; `None` if no runner takes work.
pub fn wire_plan(placed: PlacementDecision) -> Option<WirePlan> {
    match placed.prefill? {
        PrefillPlan::Direct(choice) => Some(WirePlan::Direct(WireChoice::from(&choice))),
        PrefillPlan::Split(prefill) => {
            // The decode runner takes over the KV cache and prefills nothing.
            let decode = WireChoice { prefill_tokens: 0, ..WireChoice::from(&placed.decode?) };
            Some(WirePlan::Split(WireChoice::from(&prefill), decode))
        }
    }
}

/// The reservation for a request that is placed according to `plan`.
pub fn reservation(
    fleet: &Fleet,
    query: &PlacementQuery,
    prompt: &Prompt,
    plan: &WirePlan,
    now_us: u64,
) -> Reservation {
    const MICROS: u64 = 1_000;
    let reserved = |choice: &WireChoice| {
        let choice = RunnerChoice::from(choice.clone());
        RunnerReservation { runner: choice.runner, demand: choice.demand }
    };
    let (prefill, decode) = match plan {
        WirePlan::Split(prefill, decode) => (reserved(prefill), Some(reserved(decode))),
        WirePlan::Direct(choice) => (reserved(choice), None),
    };
    let is_idle = fleet.get(&prefill.runner).is_some_and(|runner| runner.is_idle(now_us));
    Reservation {
        service: query.service.clone(),
        was_unqueued: is_idle,
        prefill,
        decode,
        shared_prefix: prompt.shared_prefix().to_vec(),
        deadline_us: now_us + query.remaining_ms * MICROS,
        is_prefilled: false,
    }
}

/// Another shard of the same region where the request would wait much less than where it has been
/// placed. Requests that were already forwarded stay where they are.
pub fn less_loaded_shard(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    query: &PlacementQuery,
    placed: &PlacementDecision,
    now_us: u64,
) -> Option<Shard> {
    let wait_ms = wait_ms(placed.prefill_choice()?);
    if query.is_forwarded || wait_ms < query.target_ms as f64 * MIN_FORWARDED_WAIT_SHARE {
        return None;
    }
    let all = Shard::all(query.shard.region.clone(), query.shard.of);
    let others = all.filter(|shard| *shard != query.shard);
    let mean_wait_ms = |shard: &Shard| {
        let scope = Scope::Shard(shard);
        let version = query.version.as_ref();
        let excluded_versions = &query.excluded_versions;
        let all = Eligible::all_of(&query.service);
        let eligible = Eligible { scope, version, excluded_versions, ..all };
        mean_wait_ms(fleet, speed, &eligible, now_us)
    };
    let waits = others.filter_map(|shard| {
        let wait_ms = mean_wait_ms(&shard)?;
        Some((shard, wait_ms))
    });
    let (shard, min_wait_ms) = waits.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (min_wait_ms < wait_ms * MAX_WAIT_RATIO).then_some(shard)
}

/// Expected wait of a request before its prefill starts, in milliseconds.
fn wait_ms(choice: &RunnerChoice) -> f64 {
    choice.expected_prefill_us as f64 / MICROS_PER_MILLI - choice.prefill_ms
}

/// The region in which a request should be placed instead of `own`; `None` if it should stay.
/// `placed` is the choice among the runners that are known here.
pub fn preferred_remote_region(
    fleet: &Fleet,
    backlogs: &RegionBacklogs,
    demand: &Demand<'_>,
    own: &RegionId,
    placed: &PlacementDecision,
    due: ResponseTarget,
) -> Option<RemoteRegion> {
    let choice = placed.prefill_choice()?;
    let region = &fleet.get(&choice.runner)?.region;
    if region != own {
        return Some(RemoteRegion { region: region.clone(), reason: CrossRegionReason::NoRunner });
    }
    // The regions report their loads for all software versions together.
    if demand.eligible.version.is_some() {
        return None;
    }
    let placed = LocalPlacement {
        service: demand.eligible.service,
        region: own,
        zone: demand.zone,
        wait_ms: wait_ms(choice),
        prefill_ms: choice.prefill_ms,
        remaining_target_ms: due.target_ms - due.elapsed_ms,
        now_us: demand.now_us,
    };
    let region = backlogs.better_region(fleet, &placed)?;
    Some(RemoteRegion { region, reason: CrossRegionReason::LongWait })
}

/// Mean wait of a prompt at the eligible prefill runners, in milliseconds; `None` if there are
/// none.
fn mean_wait_ms(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    eligible: &Eligible<'_>,
    now_us: u64,
) -> Option<f64> {
    let runners = fleet.candidates(eligible, now_us);
    let prefill_runners =
        runners.iter().filter(|runner| runner.record.stage == Some(Stage::Prefill));
    let waits: Vec<f64> = prefill_runners.map(|runner| speed.backlog_ms(runner, now_us)).collect();
    (!waits.is_empty()).then(|| waits.iter().sum::<f64>() / waits.len() as f64)
}
