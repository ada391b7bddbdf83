//! A shared prefix is fetched from another region where that costs less than prefilling it.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::configuration::EngineSpec;
use pitchstall_serving::fleet::{Eligible, Fleet};
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use pitchstall_serving::placement::{plan_prefill, Demand, PrefillPlan, RunnerChoice};
use pitchstall_serving::prefill_speed::PrefillSpeed;
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::regions::CachedPrefixMessage;
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::topology::Topology;
use std::collections::BTreeSet;
use support::runner_record;
use test_case::test_case;

const SHARED_TOKENS: u64 = 8_000;
const PROMPT_TOKENS: u64 = 10_000;
const CACHE_TOKENS: u64 = 400_000;
/// At the default speed, prefilling a token takes 0.033 ms.
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
    let parts = vec![
        PromptPart { id: 1, tokens: SHARED_TOKENS },
        PromptPart { id: 2, tokens: PROMPT_TOKENS - SHARED_TOKENS },
    ];
    Prompt { parts, tokens: PROMPT_TOKENS, max_output_tokens: 10 }
}

/// The choice for a request of the region `w` if transferring a token between regions takes
/// `cross_region_ms_per_token`. The runners of `e` only serve as sources.
fn plan_in_w(
    fleet: &Fleet,
    cross_region_ms_per_token: Option<f64>,
    zones: Option<&BTreeSet<ZoneId>>,
) -> RunnerChoice {
    let (service, prompt, zone) = (ServiceName::new("llm"), prompt(), ZoneId::new("w-1"));
    let only_w = [RunnerId::new("p-e-1"), RunnerId::new("d-e-1")];
    let demand = Demand {
        eligible: Eligible { excluded: &only_w, zones, ..Eligible::all_of(&service) },
        prompt: &prompt,
        zone: &zone,
        cache_tokens: CACHE_TOKENS,
        cross_region_ms_per_token,
        now_us: 1_000_000,
    };
    match plan_prefill(fleet, &PrefillSpeed::default(), &demand).unwrap() {
        PrefillPlan::Split(choice) | PrefillPlan::Direct(choice) => choice,
    }
}

/// Records that a runner of `e` holds the shared prefix, as announced by its region.
fn announce_prefix_of_e(fleet: &mut Fleet) {
    let announced = CachedPrefixMessage::new(&RunnerId::new("p-e-1"), prompt().shared_prefix());
    fleet.on_prefix_cached(&announced.runner, &announced.parts(), 0, CACHE_TOKENS);
}

#[test_case(Some(FAST_MOVE_MS), Some("p-e-1"), PROMPT_TOKENS - SHARED_TOKENS; "a fast link")]
#[test_case(Some(SLOW_MOVE_MS), None, PROMPT_TOKENS; "a link slower than prefilling")]
#[test_case(None, None, PROMPT_TOKENS; "a link of unknown speed")]
fn a_prefix_is_fetched_from_another_region_if_that_is_faster_than_prefill(
    cross_region_ms_per_token: Option<f64>,
    expected_source: Option<&str>,
    expected_unread: u64,
) {
    let mut fleet = fleet();
    announce_prefix_of_e(&mut fleet);
    let choice = plan_in_w(&fleet, cross_region_ms_per_token, None);
    assert_eq!(choice.fetch_from, expected_source.map(RunnerId::new));
    assert_eq!(choice.prefill_tokens(), expected_unread);
}

#[test]
fn a_prefix_held_in_the_own_region_is_not_fetched_from_another() {
    let mut fleet = fleet();
    announce_prefix_of_e(&mut fleet);
    fleet.on_prefix_cached(&RunnerId::new("p-w-1"), prompt().shared_prefix(), 0, CACHE_TOKENS);
    let choice = plan_in_w(&fleet, Some(FAST_MOVE_MS), None);
    assert_eq!((choice.runner.as_str(), choice.fetch_from), ("p-w-1", None));
}

#[test]
fn a_zone_policy_also_restricts_prefix_sources() {
    let mut fleet = fleet();
    announce_prefix_of_e(&mut fleet);
    let allowed = BTreeSet::from([ZoneId::new("w-1")]);
    assert_eq!(plan_in_w(&fleet, Some(FAST_MOVE_MS), Some(&allowed)).fetch_from, None);
}

#[test]
fn a_slow_link_makes_the_prefix_be_prefilled_again() {
    let mut fleet = fleet();
    announce_prefix_of_e(&mut fleet);
    fleet.on_round_trip(&ZoneId::new("e-1"), 900.0, 900_000);
    assert_eq!(plan_in_w(&fleet, Some(FAST_MOVE_MS), None).fetch_from, None);
}

#[test]
fn the_transfer_time_per_token_comes_from_the_engine_spec() {
    let engine =
        EngineSpec { token_bytes: 18_432, transfer_mbps: 430_000.0, ..EngineSpec::default() };
    let move_ms = engine.cross_region_ms_per_token().unwrap();
    assert!((move_ms - 0.003_43).abs() < 0.000_01, "{move_ms}");
    assert_eq!(EngineSpec::default().cross_region_ms_per_token(), None);
}
