//! Shared parts of prompts are taken over from another region where that costs less than reading them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::{plan_reading, Choice, Demand, ReadingPlan};
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::read_pace::ReadPace;
use pitchstall_serving::regions::PartsRead;
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::topology::Topology;
use std::collections::BTreeSet;
use support::runner_record;
use test_case::test_case;

const SHARED: u64 = 8_000;
const ALL: u64 = 10_000;
const CACHE_TOKENS: u64 = 400_000;
/// By the guessed pace, reading a token takes 0.033 ms.
const FAST_MOVE_MS: f64 = 0.004;
const SLOW_MOVE_MS: f64 = 0.06;

fn fleet() -> Fleet {
    let zones = [("w-1", "w"), ("e-1", "e")];
    let regions = zones.map(|(zone, region)| (ZoneId::new(zone), RegionId::new(region)));
    let mut fleet = Fleet::new(ZoneId::new("w-1"), Topology::new(regions));
    for (zone, _) in zones {
        for (name, stage) in [("p", Stage::Prefill), ("d", Stage::Decode)] {
            fleet.put(RunnerRecord {
                zone: ZoneId::new(zone),
                stage: Some(stage),
                ..runner_record(RunnerId::new(format!("{name}-{zone}")))
            });
        }
    }
    fleet
}

fn prompt() -> Prompt {
    let parts =
        vec![PromptPart { id: 1, tokens: SHARED }, PromptPart { id: 2, tokens: ALL - SHARED }];
    Prompt { parts, tokens: ALL, max_output_tokens: 10 }
}

/// Who reads in the region `w`, where a move between regions takes so long.
fn read_in_w(
    fleet: &Fleet,
    region_move_ms: Option<f64>,
    zones: Option<&BTreeSet<ZoneId>>,
) -> Choice {
    let (service, prompt, zone) = (ServiceName::new("llm"), prompt(), ZoneId::new("w-1"));
    let only_w = [RunnerId::new("p-e-1"), RunnerId::new("d-e-1")];
    let demand = Demand {
        eligible: Eligible { excluded: &only_w, zones, ..Eligible::all_of(&service) },
        prompt: &prompt,
        zone: &zone,
        cache_tokens: CACHE_TOKENS,
        region_move_ms,
        now_us: 1_000_000,
    };
    match plan_reading(fleet, &ReadPace::default(), &demand).unwrap() {
        ReadingPlan::Split(choice) | ReadingPlan::Direct(choice) => choice,
    }
}

/// A runner of `e` has read the shared parts, and its region has told so.
fn told_of_e(fleet: &mut Fleet) {
    let told = PartsRead::new(&RunnerId::new("p-e-1"), prompt().shared_parts());
    fleet.on_read(&told.runner, &told.parts(), 0, CACHE_TOKENS);
}

#[test_case(Some(FAST_MOVE_MS), Some("p-e-1"), ALL - SHARED; "a fast link")]
#[test_case(Some(SLOW_MOVE_MS), None, ALL; "a link slower than reading")]
#[test_case(None, None, ALL; "a link of which nothing is told")]
fn parts_are_taken_over_from_another_region_if_that_takes_less_than_reading(
    region_move_ms: Option<f64>,
    expected_source: Option<&str>,
    expected_unread: u64,
) {
    let mut fleet = fleet();
    told_of_e(&mut fleet);
    let choice = read_in_w(&fleet, region_move_ms, None);
    assert_eq!(choice.fetch_from, expected_source.map(RunnerId::new));
    assert_eq!(choice.tokens_to_read(), expected_unread);
}

#[test]
fn what_the_own_region_holds_is_taken_over_from_no_other() {
    let mut fleet = fleet();
    told_of_e(&mut fleet);
    fleet.on_read(&RunnerId::new("p-w-1"), prompt().shared_parts(), 0, CACHE_TOKENS);
    let choice = read_in_w(&fleet, Some(FAST_MOVE_MS), None);
    assert_eq!((choice.runner.as_str(), choice.fetch_from), ("p-w-1", None));
}

#[test]
fn a_policy_that_keeps_a_request_in_its_zones_keeps_its_parts_there() {
    let mut fleet = fleet();
    told_of_e(&mut fleet);
    let allowed = BTreeSet::from([ZoneId::new("w-1")]);
    assert_eq!(read_in_w(&fleet, Some(FAST_MOVE_MS), Some(&allowed)).fetch_from, None);
}

#[test]
fn a_link_that_turns_slow_makes_parts_be_read_again() {
    let mut fleet = fleet();
    told_of_e(&mut fleet);
    fleet.on_round_trip(&ZoneId::new("e-1"), 900.0, 900_000);
    assert_eq!(read_in_w(&fleet, Some(FAST_MOVE_MS), None).fetch_from, None);
}

#[test]
fn the_time_of_a_move_between_regions_comes_from_the_engine() {
    let engine =
        EngineSpec { token_bytes: 18_432, transfer_mbps: 430_000.0, ..EngineSpec::default() };
    let move_ms = engine.cross_region_ms_per_token().unwrap();
    assert!((move_ms - 0.003_43).abs() < 0.000_01, "{move_ms}");
    assert_eq!(EngineSpec::default().cross_region_ms_per_token(), None);
}
