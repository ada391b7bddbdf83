//! A runner that starts again under its name holds nothing and knows nothing of before: no belief of one life
//! survives into the next, and words about the one change nothing of the other.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::crash_evidence::CrashEvidence;
use pitchstall_serving::digest::RoleTransition;
use pitchstall_serving::fleet::{Eligible, EndedLife, Fleet, FleetChange};
use pitchstall_serving::ids::{RegionId, RunnerId, RunnerName, ServiceName, ZoneId};
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::quarantine::{Crash, CrashChange, Quarantine};
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts};
use pitchstall_serving::runner::{AttemptDemand, LoadReport, RunnerRecord, Stage};
use pitchstall_serving::runner_notice::RunnerNotice;
use pitchstall_serving::scheduling::{RunnerLoad, Shard};
use pitchstall_serving::topology::Topology;
use proptest::prelude::*;
use support::{at, runner_record};
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const DEMAND: AttemptDemand =
    AttemptDemand { unread_tokens: 500, late_tokens: 200, held_tokens: 900 };

fn life(born_ms: u64) -> RunnerId {
    RunnerId::of_incarnation(&RunnerName::new("i-1"), Some(born_ms))
}

fn record(id: RunnerId, revision: u64) -> RunnerRecord {
    RunnerRecord { stage: Some(Stage::Decode), revision: at(revision), ..runner_record(id) }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
    fleet.put(record(life(1_000), 5));
    fleet
}

fn prompt() -> Prompt {
    let parts = vec![PromptPart { id: 1, tokens: 400 }, PromptPart { id: 2, tokens: 100 }];
    Prompt { parts, tokens: 500, max_output_tokens: 10 }
}

fn whole_shard(fleet: &Fleet) -> Shard {
    Shard::of_runner(fleet.iter().next().unwrap(), 1)
}

fn load_of(id: &RunnerId) -> RunnerLoad {
    RunnerLoad {
        runner: id.clone(),
        in_flight: 4,
        unread_requests: 2,
        unread_tokens: 700,
        late_tokens: 100,
        held_tokens: 900,
        asked_a_second: 50,
    }
}

/// What may be believed of a life, one belief each.
fn believe(fleet: &mut Fleet, id: &RunnerId, belief: &str) {
    let shard = whole_shard(fleet);
    match belief {
        "prefix cache" => fleet.on_read(id, &prompt().parts, SECOND, 10_000),
        "requests in flight" => fleet.on_sent(id, DEMAND),
        "reservations" => fleet.on_reserved(id, DEMAND),
        "prompts awaited" => fleet.on_awaiting_prompt(id),
        "placed" => fleet.on_placed(id, 10_000, SECOND),
        "told loads" => fleet.on_shard_loads(&shard, &[load_of(id)], SECOND),
        "reported load" => fleet.on_load(id, LoadReport { running: 5, waiting: 2 }, SECOND),
        "failures" => (0..20).for_each(|_| fleet.on_answered(id, true, SECOND)),
        "suspicion" => fleet.on_unreachable(id, SECOND),
        "full" => fleet.on_full(id, SECOND),
        "role under way" => fleet.on_changing(id, Stage::Prefill, 9 * SECOND),
        "misdirected" => fleet.on_misdirected(id),
        "leaving by its own word" => {
            let notice = RunnerNotice { leaving: true, ..RunnerNotice::default() };
            fleet.on_notice(id, notice, SECOND);
        }
        "rest" => {
            let notice = RunnerNotice { rest_us: 9 * SECOND, ..RunnerNotice::default() };
            fleet.on_notice(id, notice, SECOND);
        }
        "lapsed" => drop(fleet.remove(id, at(6), Some(9 * SECOND))),
        "draining" => {
            drop(fleet.put(RunnerRecord { draining: true, ..record(id.clone(), 6) }));
        }
        other => unreachable!("{other}"),
    }
}

/// What requests, the planner of roles and other nodes see of a runner.
fn seen(fleet: &Fleet, id: &RunnerId) -> String {
    let now_us = SECOND + 1_000;
    let runner = fleet.get(id).unwrap();
    let loads = fleet.shard_loads(&whole_shard(fleet), now_us);
    let service = ServiceName::new("llm");
    let candidates = fleet.candidates(&Eligible::all_of(&service), now_us).len();
    format!(
        "{} {} {} {} {} {} {} {} {:?} {} {} {loads:?} {candidates} {} {:?}",
        runner.takes_work(),
        runner.is_avoided(now_us),
        runner.failure_rate(now_us),
        runner.is_changing(now_us),
        runner.is_suspected(),
        runner.occupancy(now_us),
        runner.unread_for_peers(now_us),
        runner.asked_a_second(now_us),
        runner.becoming(now_us),
        runner.held_by_all(now_us),
        runner.cached_tokens(&prompt()),
        runner.pace_factor(now_us),
        fleet.changing(now_us),
    )
}

#[test_case("prefix cache")]
#[test_case("requests in flight")]
#[test_case("reservations")]
#[test_case("prompts awaited")]
#[test_case("placed")]
#[test_case("told loads")]
#[test_case("reported load")]
#[test_case("failures")]
#[test_case("suspicion")]
#[test_case("full")]
#[test_case("role under way")]
#[test_case("misdirected")]
#[test_case("lapsed")]
#[test_case("leaving by its own word")]
#[test_case("rest")]
#[test_case("draining")]
fn no_belief_of_one_life_passes_to_the_next(belief: &str) {
    let mut fresh = fleet();
    fresh.put(record(life(2_000), 9));
    let unknown = seen(&fresh, &life(2_000));

    let mut reborn = fleet();
    believe(&mut reborn, &life(1_000), belief);
    let change = reborn.put(record(life(2_000), 9));
    let was_leaving = matches!(belief, "draining" | "leaving by its own word");
    let ended = EndedLife { id: life(1_000), was_leaving };
    assert_eq!(change, FleetChange::Reborn { ended });
    assert_eq!(seen(&reborn, &life(2_000)), unknown);
    assert!(reborn.get(&life(1_000)).is_none());
}

/// Words and ends of attempts that were held up, and words that come before the entry of the new life.
#[test_case("prefix cache")]
#[test_case("reservations")]
#[test_case("told loads")]
#[test_case("reported load")]
#[test_case("suspicion")]
#[test_case("full")]
#[test_case("role under way")]
#[test_case("misdirected")]
#[test_case("leaving by its own word")]
#[test_case("rest")]
fn words_about_one_life_change_nothing_of_another(belief: &str) {
    let mut fleet = fleet();
    let known = seen(&fleet, &life(1_000));
    believe(&mut fleet, &life(2_000), belief);
    assert_eq!(seen(&fleet, &life(1_000)), known, "of a life that is not known yet");
    fleet.put(record(life(2_000), 9));
    let known = seen(&fleet, &life(2_000));
    believe(&mut fleet, &life(1_000), belief);
    fleet.on_ended(&life(1_000), DEMAND);
    fleet.on_reservation_ended(&life(1_000), DEMAND);
    let word = RoleTransition { runner: life(1_000), stage: Stage::Prefill, remaining_ms: 5_000 };
    fleet.on_changing_words(&[word], SECOND);
    assert_eq!(seen(&fleet, &life(2_000)), known, "of a life that is over");
}

/// The revision of the entry orders lives: a machine's clock may have been set back.
#[test]
fn a_later_entry_is_a_later_life_whatever_its_clock_said() {
    let mut fleet = fleet();
    assert_eq!(fleet.put(record(life(9_000), 4)), FleetChange::None, "an entry that came late");
    assert!(fleet.get(&life(1_000)).is_some());
    let ended = EndedLife { id: life(1_000), was_leaving: false };
    assert_eq!(fleet.put(record(life(500), 8)), FleetChange::Reborn { ended });
    assert_eq!(fleet.put(record(life(1_000), 6)), FleetChange::None, "the life that is over");
    assert_eq!(fleet.life_of(&RunnerName::new("i-1")), Some(&life(500)));
    assert_eq!(fleet.remove(&life(1_000), at(9), None), FleetChange::None);
    assert_eq!(fleet.remove(&life(500), at(9), None), FleetChange::Left);
    assert_eq!(fleet.life_of(&RunnerName::new("i-1")), None);
}

/// A node that was cut off reads everything anew: nobody has noticed the gap.
#[test]
fn a_list_that_is_read_whole_tells_of_new_lives() {
    let mut fleet = fleet();
    let over = fleet.replace_all(vec![record(life(2_000), 8)], at(9), Some(SECOND));
    assert_eq!(over, [EndedLife { id: life(1_000), was_leaving: false }]);
    assert!(fleet.get(&life(2_000)).is_some());
    assert!(fleet.replace_all(vec![record(life(2_000), 8)], at(10), None).is_empty());
}

/// Runners that start again keep their scheduler and the prompts that are gathered at them.
#[test]
fn a_new_life_stays_in_its_shard() {
    let of = 16;
    for number in 0..50 {
        let name = RunnerName::new(format!("i-{number}"));
        let shard_in = |born_ms| {
            let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
            fleet.put(record(RunnerId::of_incarnation(&name, Some(born_ms)), 1));
            let shard = Shard::of_runner(fleet.iter().next().unwrap(), of);
            (shard.number, RegionId::clone(&shard.region))
        };
        assert_eq!(shard_in(1), shard_in(2));
    }
}

/// A request that ends a runner, and ends it again after its restart, ends two lives.
#[test]
fn each_life_that_ends_under_a_request_counts() {
    let request = RequestIdentity::of(&RequestParts {
        method: "POST",
        host: "desk.example",
        target: "/summary/1",
        tenant: None,
        body: b"deadly",
    });
    let mut quarantine = Quarantine::default();
    let mut evidence = CrashEvidence::default();
    let changes: Vec<CrashChange> = (1..=3)
        .map(|born_ms| {
            assert!(!evidence.on_broken(&life(born_ms), request, born_ms * SECOND));
            assert_eq!(evidence.on_ended(&life(born_ms), born_ms * SECOND), [request]);
            let crash = Crash { request, runner: life(born_ms) };
            quarantine.on_seen(&crash, 0, born_ms * SECOND)
        })
        .collect();
    use CrashChange::{Counted, Quarantined};
    assert_eq!(changes, [Counted, Counted, Quarantined]);
}

proptest! {
    /// A name and a time come apart as they were put together, and no two lives have one id.
    #[test]
    fn a_life_is_told_by_name_and_time(
        one in ("[a-z0-9@-]{1,12}", proptest::option::of(0..20_u64)),
        other in ("[a-z0-9@-]{1,12}", proptest::option::of(0..20_u64)),
    ) {
        let id = |(name, born_ms): &(String, Option<u64>)| {
            RunnerId::of_incarnation(&RunnerName::new(name), *born_ms)
        };
        prop_assert_eq!(id(&one).name(), RunnerName::new(&one.0));
        prop_assert_eq!(id(&one).started_at_ms(), one.1);
        prop_assert_eq!(id(&one) == id(&other), one == other);
    }

    /// In any order of entries, removals and whole lists, the fleet holds the life of the latest of them.
    #[test]
    fn the_latest_entry_tells_the_life(changes in proptest::collection::vec((0..3_u8, 0..4_u64), 1..30), swaps in proptest::collection::vec(0..30_usize, 0..4)) {
        let mut ordered: Vec<(u64, u8, u64)> =
            changes.iter().enumerate().map(|(at, (kind, born))| (at as u64 + 1, *kind, *born)).collect();
        let last = ordered[ordered.len() - 1];
        // Entries that are late come after later ones; removals and lists come in order.
        for at in swaps {
            if at + 1 < ordered.len() && ordered[at].1 == 0 && ordered[at + 1].1 == 0 {
                ordered.swap(at, at + 1);
            }
        }
        let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
        for (revision, kind, born_ms) in ordered {
            match kind {
                0 => drop(fleet.put(record(life(born_ms), revision))),
                1 => {
                    if let Some(id) = fleet.life_of(&RunnerName::new("i-1")).cloned() {
                        fleet.remove(&id, at(revision), None);
                    }
                }
                _ => drop(fleet.replace_all(vec![record(life(born_ms), revision)], at(revision), None)),
            }
            prop_assert!(fleet.iter().count() <= 1);
        }
        let expected = (last.1 != 1).then(|| life(last.2));
        prop_assert_eq!(fleet.iter().next().map(|runner| runner.record.id.clone()), expected);
    }
}
