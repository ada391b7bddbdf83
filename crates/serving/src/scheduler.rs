//! What a scheduler decides: where a request is read and written, what is set aside for it, and
//! whether another shard's scheduler should be asked instead.

use crate::fleet::{Eligible, Fleet};
use crate::placement::{choose_writer, plan_reading, Choice, Demand, ReadingPlan};
use crate::prefix::Prompt;
use crate::read_pace::ReadPace;
use crate::reservations::{Reservation, Reserved};
use crate::runner::Stage;
use crate::scheduling::{PlacementQuestion, Shard, ToldChoice, ToldPlan};
use crate::urgency::put_behind_if_late;

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

/// Chooses among a shard's runners, or among all if it has none to offer.
pub fn choose(
    fleet: &Fleet,
    pace: &ReadPace,
    demand: &Demand<'_>,
    shard: Option<Shard>,
    due: Due,
) -> PlacedRequest {
    let within = |shard: Option<Shard>| Demand {
        eligible: Eligible { shard, ..demand.eligible },
        ..*demand
    };
    let plan_within = |shard: Option<Shard>| plan_reading(fleet, pace, &within(shard));
    let of_shard = shard.and_then(|shard| plan_within(Some(shard)));
    let reading = of_shard
        .or_else(|| plan_within(None))
        .map(|plan| put_behind_if_late(plan, due.target_ms, due.elapsed_ms));
    let Some(ReadingPlan::Split(reader)) = &reading else {
        return PlacedRequest { reading, writer: None };
    };
    let source = fleet.get(&reader.runner).map(|runner| &runner.record.zone);
    let of_shard = choose_writer(fleet, &within(shard), source);
    let writer = of_shard.or_else(|| choose_writer(fleet, &within(None), source));
    PlacedRequest { reading, writer }
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

/// A shard where a request would wait for much less than where it has been placed. What has been
/// handed on once stays where it is.
pub fn shorter_shard(
    fleet: &Fleet,
    pace: &ReadPace,
    question: &PlacementQuestion,
    placed: &PlacedRequest,
    now_us: u64,
) -> Option<Shard> {
    let (ReadingPlan::Split(choice) | ReadingPlan::Direct(choice)) = placed.reading.as_ref()?;
    let wait_ms = choice.expected_us as f64 / MICROS_PER_MILLI - choice.reading_ms;
    if question.handed_on || wait_ms < question.target_ms as f64 * LONG_WAIT_SHARE {
        return None;
    }
    let others = Shard::all(question.shard.of).filter(|shard| *shard != question.shard);
    let mean_wait_ms = |shard: Shard| {
        let eligible = Eligible { shard: Some(shard), ..Eligible::all_of(&question.service) };
        mean_wait_ms(fleet, pace, &eligible, now_us)
    };
    let waits = others.filter_map(|shard| Some((shard, mean_wait_ms(shard)?)));
    let (shard, least_ms) = waits.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
    (least_ms < wait_ms * SHORTER_SHARE).then_some(shard)
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
