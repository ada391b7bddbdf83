//! What a scheduler decides: where a request is read and written, what is set aside for it, and
//! whether another shard's scheduler should be asked instead.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, ZoneId};
use crate::placement::{choose_writer, plan_reading, Choice, Demand, ReadingPlan};
use crate::prefix::Prompt;
use crate::read_pace::ReadPace;
use crate::regions::{regions_in_order, Placed, RegionBacklogs};
use crate::reservations::{Reservation, Reserved};
use crate::runner::Stage;
use crate::scheduling::{Elsewhere, LeavingReason, PlacementQuestion, Shard, ToldChoice, ToldPlan};
use crate::urgency::defer_if_overdue;

/// Wait of a request, in targets, from which on it is handed on to another shard: below, the
/// way there and its older knowledge cost more than they bring.
const LONG_WAIT_SHARE: f64 = 0.25;
/// Part of that wait that the mean wait at the other shard must stay below.
const SHORTER_SHARE: f64 = 0.5;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// When a request's answer is due.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// Time within which the answer is due, counted from when the request came, milliseconds.
    pub target_ms: f64,
    /// Time since it came, milliseconds.
    pub elapsed_ms: f64,
}

/// Where a request is to be read, and by whom it is to be written if that is another runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacedRequest {
    /// Who reads; `None`: no runner takes work.
    pub reading: Option<ReadingPlan>,
    /// Who writes what another has read.
    pub writer: Option<Choice>,
}

impl PlacedRequest {
    /// Who reads.
    pub fn first(&self) -> Option<&Choice> {
        let (ReadingPlan::Split(choice) | ReadingPlan::Direct(choice)) = self.reading.as_ref()?;
        Some(choice)
    }
}

/// Chooses among a shard's runners; if it has none to offer, among those of its region, and then
/// of the other regions. `None`: the region of the zone from which the request comes.
pub fn choose(
    fleet: &Fleet,
    pace: &ReadPace,
    demand: &Demand<'_>,
    shard: Option<&Shard>,
    due: Due,
) -> PlacedRequest {
    let of_shard = shard.and_then(|shard| choose_within(fleet, pace, demand, Scope::Shard(shard)));
    let own = || fleet.topology().region_of(demand.zone);
    let of_regions = || {
        let own = shard.map_or_else(own, |shard| shard.region.clone());
        let regions = regions_in_order(fleet, demand, &own);
        let mut regions = regions.iter().map(Scope::Region);
        regions.find_map(|region| choose_within(fleet, pace, demand, region))
    };
    let Some(placed) = of_shard.or_else(of_regions) else { return PlacedRequest::default() };
    let reading = placed.reading.map(|it| defer_if_overdue(it, due.target_ms, due.elapsed_ms));
    PlacedRequest { reading, ..placed }
}

/// Chooses who reads and who writes inside one part of the fleet: what is read in one region is not
/// moved to another.
fn choose_within(
    fleet: &Fleet,
    pace: &ReadPace,
    demand: &Demand<'_>,
    scope: Scope<'_>,
) -> Option<PlacedRequest> {
    let within = Demand { eligible: Eligible { scope, ..demand.eligible }, ..*demand };
    let reading = plan_reading(fleet, pace, &within)?;
    let writer = match &reading {
        ReadingPlan::Split(reader) => {
            let source = fleet.get(&reader.runner).map(|runner| &runner.record.zone);
            choose_writer(fleet, &within, source)
        }
        ReadingPlan::Direct(_) => None,
    };
    Some(PlacedRequest { reading: Some(reading), writer })
}

/// Chooses who writes what was read in the zone `source`, or reads and writes it itself: a runner
/// of that region, or else of another one.
pub fn choose_any_writer(
    fleet: &Fleet,
    demand: &Demand<'_>,
    source: Option<&ZoneId>,
) -> Option<Choice> {
    let own = fleet.topology().region_of(source.unwrap_or(demand.zone));
    let regions = regions_in_order(fleet, demand, &own);
    let within = |scope| Demand { eligible: Eligible { scope, ..demand.eligible }, ..*demand };
    let mut regions = regions.iter().map(Scope::Region);
    regions.find_map(|region| choose_writer(fleet, &within(region), source))
}

/// The answer to a question; `None` if no runner takes work.
pub fn told_plan(placed: PlacedRequest) -> Option<ToldPlan> {
    match placed.reading? {
        ReadingPlan::Direct(choice) => Some(ToldPlan::Direct(ToldChoice::from(&choice))),
        ReadingPlan::Split(reader) => {
            // Who writes takes the prompt over and does not read it.
            let writer = ToldChoice { unread_tokens: 0, ..ToldChoice::from(&placed.writer?) };
            Some(ToldPlan::Split(ToldChoice::from(&reader), writer))
        }
    }
}

/// What is set aside for a request that was placed.
pub fn reservation(
    fleet: &Fleet,
    question: &PlacementQuestion,
    prompt: &Prompt,
    plan: &ToldPlan,
    now_us: u64,
) -> Reservation {
    const MICROS: u64 = 1_000;
    let reserved = |told: &ToldChoice| {
        let choice = Choice::from(told.clone());
        Reserved { runner: choice.runner, demand: choice.demand }
    };
    let (reader, writer) = match plan {
        ToldPlan::Split(reader, writer) => (reserved(reader), Some(reserved(writer))),
        ToldPlan::Direct(choice) => (reserved(choice), None),
    };
    let is_idle = fleet.get(&reader.runner).is_some_and(|runner| runner.is_idle(now_us));
    Reservation {
        service: question.service.clone(),
        met_no_queue: is_idle,
        reader,
        writer,
        shared_parts: prompt.shared_parts().to_vec(),
        deadline_us: now_us + question.left_ms * MICROS,
        is_read: false,
    }
}

/// A shard of the same region where a request would wait for much less than where it has been
/// placed. What has been handed on once stays where it is.
pub fn shorter_shard(
    fleet: &Fleet,
    pace: &ReadPace,
    question: &PlacementQuestion,
    placed: &PlacedRequest,
    now_us: u64,
) -> Option<Shard> {
    let wait_ms = wait_ms(placed.first()?);
    if question.handed_on || wait_ms < question.target_ms as f64 * LONG_WAIT_SHARE {
        return None;
    }
    let all = Shard::all(question.shard.region.clone(), question.shard.of);
    let others = all.filter(|shard| *shard != question.shard);
    let mean_wait_ms = |shard: &Shard| {
        let scope = Scope::Shard(shard);
        let eligible = Eligible { scope, ..Eligible::all_of(&question.service) };
        mean_wait_ms(fleet, pace, &eligible, now_us)
    };
    let waits = others.filter_map(|shard| {
        let wait_ms = mean_wait_ms(&shard)?;
        Some((shard, wait_ms))
    });
    let (shard, least_ms) = waits.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (least_ms < wait_ms * SHORTER_SHARE).then_some(shard)
}

/// What a request waits for where it has been placed, milliseconds.
fn wait_ms(choice: &Choice) -> f64 {
    choice.expected_us as f64 / MICROS_PER_MILLI - choice.reading_ms
}

/// Where a request should rather be placed than in its own region; `placed` is what has been chosen
/// among the runners that are known here.
pub fn other_region(
    fleet: &Fleet,
    backlogs: &RegionBacklogs,
    demand: &Demand<'_>,
    own: &RegionId,
    placed: &PlacedRequest,
    due: Due,
) -> Option<Elsewhere> {
    let choice = placed.first()?;
    let region = &fleet.get(&choice.runner)?.region;
    if region != own {
        return Some(Elsewhere { region: region.clone(), reason: LeavingReason::NoRunner });
    }
    let placed = Placed {
        service: demand.eligible.service,
        region: own,
        zone: demand.zone,
        wait_ms: wait_ms(choice),
        reading_ms: choice.reading_ms,
        due_in_ms: due.target_ms - due.elapsed_ms,
        now_us: demand.now_us,
    };
    let region = backlogs.better_region(fleet, &placed)?;
    Some(Elsewhere { region, reason: LeavingReason::LongWait })
}

/// What a prompt waits for at the prefill runners, on the mean; `None` if there are none.
fn mean_wait_ms(
    fleet: &Fleet,
    pace: &ReadPace,
    eligible: &Eligible<'_>,
    now_us: u64,
) -> Option<f64> {
    let runners = fleet.candidates(eligible, now_us);
    let readers = runners.iter().filter(|runner| runner.record.stage == Some(Stage::Prefill));
    let waits: Vec<f64> = readers.map(|runner| pace.backlog_ms(runner, now_us)).collect();
    (!waits.is_empty()).then(|| waits.iter().sum::<f64>() / waits.len() as f64)
}
