//! What a scheduler decides: where a request is read and written, what is set aside for it, and
//! whether another shard's scheduler should be asked instead.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, ZoneId};
use crate::placement::{choose_decode_runner, plan_prefill, Demand, PrefillPlan, RunnerChoice};
use crate::prefix::Prompt;
use crate::read_pace::ReadPace;
use crate::regions::{regions_in_order, LocalPlacement, RegionBacklogs};
use crate::reservations::{Reservation, Reserved};
use crate::runner::Stage;
use crate::scheduling::{
    CrossRegionReason, PlacementQuery, RemoteRegion, Shard, WireChoice, WirePlan,
};
use crate::urgency::put_behind_if_late;

/// Wait of a request, in targets, from which on it is handed on to another shard: below, the
/// way there and its older knowledge cost more than they bring.
const MIN_FORWARDED_WAIT_SHARE: f64 = 0.25;
/// Part of that wait that the mean wait at the other shard must stay below.
const MAX_WAIT_RATIO: f64 = 0.5;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// When a request's answer is due.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTarget {
    /// Time within which the answer is due, counted from when the request came, milliseconds.
    pub target_ms: f64,
    /// Time since it came, milliseconds.
    pub elapsed_ms: f64,
}

/// Where a request is to be read, and by whom it is to be written if that is another runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementDecision {
    /// Who reads; `None`: no runner takes work.
    pub prefill: Option<PrefillPlan>,
    /// Who writes what another has read.
    pub decode: Option<RunnerChoice>,
}

impl PlacementDecision {
    /// Who reads.
    pub fn prefill_choice(&self) -> Option<&RunnerChoice> {
        let (PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = self.prefill.as_ref()?;
        Some(choice)
    }
}

/// Chooses among a shard's runners; if it has none to offer, among those of its region, and then
/// of the other regions. `None`: the region of the zone from which the request comes.
pub fn choose_placement(
    fleet: &Fleet,
    pace: &ReadPace,
    demand: &Demand<'_>,
    shard: Option<&Shard>,
    due: ResponseTarget,
) -> PlacementDecision {
    let of_shard = shard.and_then(|shard| choose_within(fleet, pace, demand, Scope::Shard(shard)));
    let own = || fleet.topology().region_of(demand.zone);
    let of_regions = || {
        let own = shard.map_or_else(own, |shard| shard.region.clone());
        let regions = regions_in_order(fleet, demand, &own);
        let mut regions = regions.iter().map(Scope::Region);
        regions.find_map(|region| choose_within(fleet, pace, demand, region))
    };
    let Some(placed) = of_shard.or_else(of_regions) else { return PlacementDecision::default() };
    let prefill = placed.prefill.map(|it| put_behind_if_late(it, due.target_ms, due.elapsed_ms));
    PlacementDecision { prefill, ..placed }
}

/// Chooses who reads and who writes inside one part of the fleet: what is read in one region is not
/// moved to another.
fn choose_within(
    fleet: &Fleet,
    pace: &ReadPace,
    demand: &Demand<'_>,
    scope: Scope<'_>,
) -> Option<PlacementDecision> {
    let within = Demand { eligible: Eligible { scope, ..demand.eligible }, ..*demand };
    let prefill = plan_prefill(fleet, pace, &within)?;
    let decode = match &prefill {
        PrefillPlan::Split(prefill) => {
            let source = fleet.get(&prefill.runner).map(|runner| &runner.record.zone);
            choose_decode_runner(fleet, &within, source)
        }
        PrefillPlan::Direct(_) => None,
    };
    Some(PlacementDecision { prefill: Some(prefill), decode })
}

/// Chooses who writes what was read in the zone `source`, or reads and writes it itself: a runner
/// of that region, or else of another one.
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

/// The answer to a question; `None` if no runner takes work.
pub fn wire_plan(placed: PlacementDecision) -> Option<WirePlan> {
    match placed.prefill? {
        PrefillPlan::Direct(choice) => Some(WirePlan::Direct(WireChoice::from(&choice))),
        PrefillPlan::Split(prefill) => {
            // Who writes takes the prompt over and does not read it.
            let decode = WireChoice { unread_tokens: 0, ..WireChoice::from(&placed.decode?) };
            Some(WirePlan::Split(WireChoice::from(&prefill), decode))
        }
    }
}

/// What is set aside for a request that was placed.
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
        Reserved { runner: choice.runner, demand: choice.demand }
    };
    let (reader, writer) = match plan {
        WirePlan::Split(reader, writer) => (reserved(reader), Some(reserved(writer))),
        WirePlan::Direct(choice) => (reserved(choice), None),
    };
    let is_idle = fleet.get(&reader.runner).is_some_and(|runner| runner.is_idle(now_us));
    Reservation {
        service: query.service.clone(),
        met_no_queue: is_idle,
        reader,
        writer,
        shared_parts: prompt.shared_prefix().to_vec(),
        deadline_us: now_us + query.remaining_ms * MICROS,
        is_read: false,
    }
}

/// A shard of the same region where a request would wait for much less than where it has been
/// placed. What has been handed on once stays where it is.
pub fn less_loaded_shard(
    fleet: &Fleet,
    pace: &ReadPace,
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
        let eligible = Eligible { scope, ..Eligible::all_of(&query.service) };
        mean_wait_ms(fleet, pace, &eligible, now_us)
    };
    let waits = others.filter_map(|shard| {
        let wait_ms = mean_wait_ms(&shard)?;
        Some((shard, wait_ms))
    });
    let (shard, min_wait_ms) = waits.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (min_wait_ms < wait_ms * MAX_WAIT_RATIO).then_some(shard)
}

/// What a request waits for where it has been placed, milliseconds.
fn wait_ms(choice: &RunnerChoice) -> f64 {
    choice.expected_prefill_us as f64 / MICROS_PER_MILLI - choice.prefill_ms
}

/// Where a request should rather be placed than in its own region; `placed` is what has been chosen
/// among the runners that are known here.
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

/// What a prompt waits for at the prefill runners, on the mean; `None` if there are none.
fn mean_wait_ms(
    fleet: &Fleet,
    pace: &ReadPace,
    eligible: &Eligible<'_>,
    now_us: u64,
) -> Option<f64> {
    let runners = fleet.candidates(eligible, now_us);
    let prefill_runners =
        runners.iter().filter(|runner| runner.record.stage == Some(Stage::Prefill));
    let waits: Vec<f64> = prefill_runners.map(|runner| pace.backlog_ms(runner, now_us)).collect();
    (!waits.is_empty()).then(|| waits.iter().sum::<f64>() / waits.len() as f64)
}
