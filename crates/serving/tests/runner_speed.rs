//! Measurement of each runner's speed, and the share of work that follows from it, in virtual time.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::{plan_prefill, Demand, PrefillPlan};
use pitchstall_serving::prefill_speed::{PrefillSample, PrefillSpeed};
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use pitchstall_serving::runner_speed::{PrefillTiming, RunnerSpeed};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use support::{at, runner_record};
use test_case::test_case;

const MICROS_PER_MILLI: f64 = 1_000.0;
const SECOND_US: u64 = 1_000_000;
const FIXED_MS: f64 = 5.0;
const TOKENS_PER_MS: f64 = 100.0;

fn unqueued(expected_ms: f64, factor: f64) -> PrefillTiming {
    PrefillTiming {
        expected_ms,
        fixed_ms: FIXED_MS,
        elapsed_ms: FIXED_MS + expected_ms * factor,
        was_unqueued: true,
        observes_all_prefills: false,
    }
}

#[test_case(1.0)]
#[test_case(0.77; "faster hardware")]
#[test_case(5.0; "slowed down")]
fn the_slowdown_of_a_runner_is_found_within_a_few_prefills(factor: f64) {
    let mut speed = RunnerSpeed::default();
    (1..=12).for_each(|number| {
        speed.on_prefilled(unqueued(40.0, 1.0), number * 100_000);
    });
    (13..=22).for_each(|number| {
        speed.on_prefilled(unqueued(40.0, factor), number * 100_000);
    });
    let found = speed.slowdown_factor(2_200_000);
    assert!((found / factor - 1.0).abs() < 0.2, "found {found}");
}

#[test]
fn a_runner_with_few_samples_counts_as_average() {
    let mut speed = RunnerSpeed::default();
    assert!((speed.slowdown_factor(0) - 1.0).abs() < f64::EPSILON);
    speed.on_prefilled(unqueued(40.0, 3.0), 100_000);
    assert!(speed.slowdown_factor(100_000) <= 2.0);
}

#[test]
fn a_slow_runner_without_new_samples_is_trusted_again() {
    let mut speed = RunnerSpeed::default();
    (1..=6).for_each(|number| {
        speed.on_prefilled(unqueued(40.0, 5.0), number * 100_000);
    });
    assert!(speed.slowdown_factor(600_000) > 3.0);
    assert!(speed.slowdown_factor(13 * SECOND_US) < 1.1);
}

#[test]
fn queueing_is_not_slowness_if_all_prefills_are_observed() {
    let mut speed = RunnerSpeed::default();
    // All are sent at once and prefilled one after the other, 40 ms each.
    for number in 1..=20_u64 {
        let read_ms = 40.0 * number as f64;
        let queued = PrefillTiming {
            elapsed_ms: FIXED_MS + read_ms,
            was_unqueued: number == 1,
            observes_all_prefills: true,
            ..unqueued(40.0, 1.0)
        };
        speed.on_prefilled(queued, (read_ms * MICROS_PER_MILLI) as u64);
    }
    assert!(
        (speed.slowdown_factor(SECOND_US) - 1.0).abs() < 0.05,
        "found {}",
        speed.slowdown_factor(SECOND_US)
    );
}

#[test]
fn queued_prefills_are_ignored_if_not_all_are_observed() {
    let mut speed = RunnerSpeed::default();
    let queued = PrefillTiming { was_unqueued: false, ..unqueued(40.0, 9.0) };
    (1..=20).for_each(|number| {
        speed.on_prefilled(queued, number * 100_000);
    });
    assert!((speed.slowdown_factor(2 * SECOND_US) - 1.0).abs() < f64::EPSILON);
}

fn any_time() -> impl Strategy<Value = f64> {
    prop_oneof![any::<f64>(), 0.0..10_000.0, Just(0.0), Just(f64::NAN), Just(f64::INFINITY)]
}

proptest! {
    #[test]
    fn factors_stay_finite_and_positive_for_any_timings(
        readings in prop::collection::vec(
            (any_time(), any_time(), any_time(), any::<bool>(), any::<bool>(), any::<u64>()), 0..60),
        asked_us in any::<u64>(),
    ) {
        let mut speed = RunnerSpeed::default();
        for (expected_ms, fixed_ms, elapsed_ms, was_unqueued, observes_all_prefills, now_us) in readings {
            let reading =
                PrefillTiming { expected_ms, fixed_ms, elapsed_ms, was_unqueued, observes_all_prefills };
            speed.on_prefilled(reading, now_us);
            for at_us in [now_us, asked_us] {
                let factor = speed.slowdown_factor(at_us);
                prop_assert!(factor.is_finite() && factor > 0.0, "{factor}");
            }
        }
    }
}

/// Completion and sending time of a prefill in microseconds, its runner, its tokens, and whether it
/// met no queue.
type PendingPrefill = (u64, u64, RunnerId, u64, bool);

/// Simulation of prefill runners with given speeds, the last of which is slowed down for some time.
struct Simulation {
    fleet: Fleet,
    speed: PrefillSpeed,
    speeds: BTreeMap<RunnerId, f64>,
    slow: (RunnerId, f64, std::ops::Range<u64>),
    free_at_us: BTreeMap<RunnerId, u64>,
    pending: BinaryHeap<Reverse<PendingPrefill>>,
    /// Tokens assigned to each runner, by second.
    assigned_tokens: BTreeMap<(RunnerId, u64), u64>,
}

const SPEEDS: [f64; 5] = [1.0, 1.0, 1.3, 3.0, 1.0];
/// Relative speed of prefill at a decode runner.
const DECODE_RUNNER_SPEED: f64 = 0.5;
const SLOWDOWN: f64 = 5.0;
const SLOW_US: std::ops::Range<u64> = 20 * SECOND_US..26 * SECOND_US;
const END_US: u64 = 45 * SECOND_US;
/// Interval between arrivals, slightly shorter than the runners can sustain.
const ARRIVAL_INTERVAL_US: u64 = 3_750;

/// Spread evenly over 500 to 5,500 tokens, 3,000 on average.
fn prompt_tokens(number: u64) -> u64 {
    const STEP: u64 = 2_137;
    500 + number * STEP % 5_000
}

fn id(number: usize) -> RunnerId {
    RunnerId::new(format!("r{number}"))
}

fn record(number: usize, stage: Stage) -> RunnerRecord {
    RunnerRecord { slots: 64, stage: Some(stage), ..runner_record(id(number)) }
}

impl Simulation {
    fn new() -> Self {
        let mut fleet = Fleet::default();
        (0..SPEEDS.len()).for_each(|number| {
            fleet.put(record(number, Stage::Prefill));
        });
        fleet.put(record(SPEEDS.len(), Stage::Decode));
        Self {
            fleet,
            speed: PrefillSpeed::default(),
            speeds: SPEEDS
                .into_iter()
                .chain([DECODE_RUNNER_SPEED])
                .enumerate()
                .map(|(number, speed)| (id(number), speed))
                .collect(),
            slow: (id(SPEEDS.len() - 1), SLOWDOWN, SLOW_US),
            free_at_us: BTreeMap::new(),
            pending: BinaryHeap::new(),
            assigned_tokens: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Self {
        for now_us in (0..END_US).step_by(ARRIVAL_INTERVAL_US as usize) {
            self.complete_prefills(now_us);
            self.place(now_us, prompt_tokens(now_us / ARRIVAL_INTERVAL_US));
        }
        self
    }

    fn complete_prefills(&mut self, now_us: u64) {
        while self.pending.peek().is_some_and(|Reverse((at_us, ..))| *at_us <= now_us) {
            let Reverse((at_us, sent_us, runner, tokens, was_unqueued)) =
                self.pending.pop().unwrap();
            self.fleet.on_ended(&runner, demand_of(tokens));
            let elapsed_ms = (at_us - sent_us) as f64 / MICROS_PER_MILLI;
            let sample = PrefillSample { tokens, elapsed_ms, was_unqueued };
            if runner != id(SPEEDS.len()) {
                self.speed.on_prefilled(sample);
                let reading = self.speed.timing_of(&sample, true);
                let duration = self.fleet.on_prefill_measured(&runner, reading, at_us);
                duration.into_iter().for_each(|duration| self.speed.on_prefill_timed(duration));
            }
        }
    }

    fn place(&mut self, now_us: u64, tokens: u64) {
        let prompt = Prompt { parts: Vec::new(), tokens, max_output_tokens: 8 };
        let service = ServiceName::new("llm");
        let demand = Demand {
            eligible: Eligible::all_of(&service),
            prompt: &prompt,
            zone: &ZoneId::new("north"),
            cache_tokens: 10_000_000,
            cross_region_ms_per_token: None,
            now_us,
        };
        let plan = plan_prefill(&self.fleet, &self.speed, &demand).unwrap();
        let (PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = plan;
        let runner = choice.runner;
        let was_unqueued = self.fleet.get(&runner).unwrap().is_idle(now_us);
        self.fleet.on_sent(&runner, demand_of(tokens));
        let (slow_runner, by, when) = &self.slow;
        let slowed = if *slow_runner == runner && when.contains(&now_us) { *by } else { 1.0 };
        let duration_ms = tokens as f64 / TOKENS_PER_MS / self.speeds[&runner] * slowed;
        let free_at_us = self.free_at_us.entry(runner.clone()).or_default();
        *free_at_us = now_us.max(*free_at_us) + (duration_ms * MICROS_PER_MILLI) as u64;
        let completed_at_us = *free_at_us + (FIXED_MS * MICROS_PER_MILLI) as u64;
        *self.assigned_tokens.entry((runner.clone(), now_us / SECOND_US)).or_default() += tokens;
        self.pending.push(Reverse((completed_at_us, now_us, runner, tokens, was_unqueued)));
    }

    fn assigned_tokens(&self, number: usize, seconds: std::ops::Range<u64>) -> f64 {
        let of =
            |second| self.assigned_tokens.get(&(id(number), second)).copied().unwrap_or_default();
        seconds.map(of).sum::<u64>() as f64
    }
}

fn demand_of(tokens: u64) -> AttemptDemand {
    AttemptDemand { prefill_tokens: tokens, overdue_tokens: 0, held_tokens: tokens }
}

#[test]
fn runners_get_work_in_proportion_to_their_speed() {
    let simulation = Simulation::new().run();
    let usual = simulation.assigned_tokens(0, 5..20);
    assert!((simulation.assigned_tokens(1, 5..20) / usual - 1.0).abs() < 0.15);
    let (faster, fastest) = (
        simulation.assigned_tokens(2, 5..20) / usual,
        simulation.assigned_tokens(3, 5..20) / usual,
    );
    assert!((1.15..1.5).contains(&faster), "1.3 times as fast: {faster} times the work");
    assert!((2.5..3.6).contains(&fastest), "3 times as fast: {fastest} times the work");
}

#[test]
fn a_runner_that_turns_slow_gets_less_work_until_it_recovers() {
    let simulation = Simulation::new().run();
    let share = |seconds: std::ops::Range<u64>| {
        simulation.assigned_tokens(4, seconds.clone()) / simulation.assigned_tokens(0, seconds)
    };
    assert!(share(22..26) < 0.4, "while it is slow: {}", share(22..26));
    assert!(share(31..45) > 0.85, "after it has recovered: {}", share(31..45));
}

#[test]
fn the_measured_speed_is_dropped_with_its_runner() {
    let mut fleet = Fleet::default();
    fleet.put(record(0, Stage::Prefill));
    (1..=6).for_each(|number| {
        fleet.on_prefill_measured(&id(0), unqueued(40.0, 5.0), number * 100_000);
    });
    assert!(fleet.get(&id(0)).unwrap().slowdown_factor(600_000) > 3.0);
    fleet.remove(&id(0), at(5), None);
    fleet.on_prefill_measured(&id(0), unqueued(40.0, 5.0), 700_000);
    assert!(fleet.get(&id(0)).is_none());
    fleet.put(RunnerRecord { revision: at(9), ..record(0, Stage::Prefill) });
    let factor = fleet.get(&id(0)).unwrap().slowdown_factor(800_000);
    assert!((factor - 1.0).abs() < f64::EPSILON);
}
