//! A runner that restarts under its name has lost all state: nothing that a node recorded about one
//! incarnation carries over to the next, and reports about one do not affect the other.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::crash_evidence::CrashEvidence;
use pitchstall_serving::crash_messages::Crash;
use pitchstall_serving::digest::RoleTransition;
use pitchstall_serving::fleet::{Eligible, EndedIncarnation, Fleet, FleetChange};
use pitchstall_serving::ids::{RegionId, RunnerId, RunnerName, ServiceName, ZoneId};
use pitchstall_serving::prefix::{Prompt, PromptPart};
use pitchstall_serving::quarantine::{CrashChange, Quarantine};
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts, Suspect};
use pitchstall_serving::runner::{AttemptDemand, LoadReport, RunnerRecord, Stage};
use pitchstall_serving::runner_notice::RunnerNotice;
use pitchstall_serving::scheduling::{RunnerLoad, Shard};
use pitchstall_serving::topology::Topology;
use proptest::prelude::*;
use support::{at, runner_record};
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;
const DEMAND: AttemptDemand =
    AttemptDemand { prefill_tokens: 500, overdue_tokens: 200, held_tokens: 900 };

fn incarnation(born_ms: u64) -> RunnerId {
    RunnerId::of_incarnation(&RunnerName::new("i-1"), Some(born_ms))
}

fn record(id: RunnerId, revision: u64) -> RunnerRecord {
    RunnerRecord { stage: Some(Stage::Decode), revision: at(revision), ..runner_record(id) }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
    fleet.put(record(incarnation(1_000), 5));
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
        pending_prefills: 2,
        prefill_tokens: 700,
        overdue_tokens: 100,
        held_tokens: 900,
        prefill_tokens_per_s: 50,
    }
}

/// Gives the fleet one kind of state about an incarnation.
fn apply(fleet: &mut Fleet, id: &RunnerId, state: &str) {
    let shard = whole_shard(fleet);
    match state {
        "prefix cache" => fleet.on_prefix_cached(id, &prompt().parts, SECOND_US, 10_000),
        "requests in flight" => fleet.on_sent(id, DEMAND),
        "reservations" => fleet.on_reserved(id, DEMAND),
        "awaited prefills" => fleet.on_remote_prefill_pending(id),
        "placed" => fleet.on_placed(id, 10_000, SECOND_US),
        "loads reported by the scheduler" => {
            fleet.on_shard_loads(&shard, &[load_of(id)], SECOND_US)
        }
        "load reported by the runner" => {
            fleet.on_load(id, LoadReport { running: 5, waiting: 2 }, SECOND_US)
        }
        "failures" => (0..20).for_each(|_| fleet.on_response(id, true, SECOND_US)),
        "suspicion" => fleet.on_unreachable(id, SECOND_US),
        "full" => fleet.on_full(id, SECOND_US),
        "pending role change" => fleet.on_role_change_ordered(id, Stage::Prefill, 9 * SECOND_US),
        "misdirected" => fleet.on_misdirected(id),
        "leaving by its own notice" => {
            let notice = RunnerNotice { is_leaving: true, ..RunnerNotice::default() };
            fleet.on_notice(id, notice, SECOND_US);
        }
        "rest" => {
            let notice = RunnerNotice { rest_us: 9 * SECOND_US, ..RunnerNotice::default() };
            fleet.on_notice(id, notice, SECOND_US);
        }
        "lapsed" => drop(fleet.remove(id, at(6), Some(9 * SECOND_US))),
        "draining" => {
            drop(fleet.put(RunnerRecord { draining: true, ..record(id.clone(), 6) }));
        }
        other => unreachable!("{other}"),
    }
}

/// What requests, the role planner and other nodes observe of a runner.
fn observable_state(fleet: &Fleet, id: &RunnerId) -> String {
    let now_us = SECOND_US + 1_000;
    let runner = fleet.get(id).unwrap();
    let loads = fleet.shard_loads(&whole_shard(fleet), now_us);
    let service = ServiceName::new("llm");
    let candidates = fleet.candidates(&Eligible::all_of(&service), now_us).len();
    format!(
        "{} {} {} {} {} {} {} {} {:?} {} {} {loads:?} {candidates} {} {:?}",
        runner.accepts_work(),
        runner.is_avoided(now_us),
        runner.failure_rate(now_us),
        runner.is_changing_role(now_us),
        runner.is_suspected(),
        runner.occupancy(now_us),
        runner.peer_prefill_tokens(now_us),
        runner.prefill_tokens_per_s(now_us),
        runner.next_stage(now_us),
        runner.total_held_tokens(now_us),
        runner.cached_tokens(&prompt()),
        runner.slowdown_factor(now_us),
        fleet.role_transitions(now_us),
    )
}

#[test_case("prefix cache")]
#[test_case("requests in flight")]
#[test_case("reservations")]
#[test_case("awaited prefills")]
#[test_case("placed")]
#[test_case("loads reported by the scheduler")]
#[test_case("load reported by the runner")]
#[test_case("failures")]
#[test_case("suspicion")]
#[test_case("full")]
#[test_case("pending role change")]
#[test_case("misdirected")]
#[test_case("lapsed")]
#[test_case("leaving by its own notice")]
#[test_case("rest")]
#[test_case("draining")]
fn no_state_of_one_incarnation_passes_to_the_next(state: &str) {
    let mut fresh = fleet();
    fresh.put(record(incarnation(2_000), 9));
    let unknown = observable_state(&fresh, &incarnation(2_000));

    let mut restarted = fleet();
    apply(&mut restarted, &incarnation(1_000), state);
    let change = restarted.put(record(incarnation(2_000), 9));
    let was_leaving = matches!(state, "draining" | "leaving by its own notice");
    let ended = EndedIncarnation { id: incarnation(1_000), was_leaving };
    assert_eq!(change, FleetChange::Restarted { ended });
    assert_eq!(observable_state(&restarted, &incarnation(2_000)), unknown);
    assert!(restarted.get(&incarnation(1_000)).is_none());
}

/// Covers delayed reports and ends of attempts, and reports that arrive before the entry of the new
/// incarnation.
#[test_case("prefix cache")]
#[test_case("reservations")]
#[test_case("loads reported by the scheduler")]
#[test_case("load reported by the runner")]
#[test_case("suspicion")]
#[test_case("full")]
#[test_case("pending role change")]
#[test_case("misdirected")]
#[test_case("leaving by its own notice")]
#[test_case("rest")]
fn reports_about_one_incarnation_do_not_affect_another(state: &str) {
    let mut fleet = fleet();
    let known = observable_state(&fleet, &incarnation(1_000));
    apply(&mut fleet, &incarnation(2_000), state);
    assert_eq!(
        observable_state(&fleet, &incarnation(1_000)),
        known,
        "reports about an unknown incarnation"
    );
    fleet.put(record(incarnation(2_000), 9));
    let known = observable_state(&fleet, &incarnation(2_000));
    apply(&mut fleet, &incarnation(1_000), state);
    fleet.on_ended(&incarnation(1_000), DEMAND);
    fleet.on_reservation_ended(&incarnation(1_000), DEMAND);
    let report =
        RoleTransition { runner: incarnation(1_000), stage: Stage::Prefill, remaining_ms: 5_000 };
    fleet.on_role_transitions_reported(&[report], SECOND_US);
    assert_eq!(
        observable_state(&fleet, &incarnation(2_000)),
        known,
        "reports about a former incarnation"
    );
}

/// The entry's revision orders incarnations, because a machine's clock may be set back.
#[test]
fn a_later_entry_is_a_later_incarnation_whatever_its_clock_says() {
    let mut fleet = fleet();
    assert_eq!(fleet.put(record(incarnation(9_000), 4)), FleetChange::Unchanged, "a late entry");
    assert!(fleet.get(&incarnation(1_000)).is_some());
    let ended = EndedIncarnation { id: incarnation(1_000), was_leaving: false };
    assert_eq!(fleet.put(record(incarnation(500), 8)), FleetChange::Restarted { ended });
    assert_eq!(
        fleet.put(record(incarnation(1_000), 6)),
        FleetChange::Unchanged,
        "the former incarnation"
    );
    assert_eq!(fleet.incarnation_of(&RunnerName::new("i-1")), Some(&incarnation(500)));
    assert_eq!(fleet.remove(&incarnation(1_000), at(9), None), FleetChange::Unchanged);
    assert_eq!(fleet.remove(&incarnation(500), at(9), None), FleetChange::Removed);
    assert_eq!(fleet.incarnation_of(&RunnerName::new("i-1")), None);
}

/// A disconnected node reads the whole registry again, although it observed no gap.
#[test]
fn a_full_read_of_the_registry_reveals_new_incarnations() {
    let mut fleet = fleet();
    let over = fleet.replace_all(vec![record(incarnation(2_000), 8)], at(9), Some(SECOND_US));
    assert_eq!(over, [EndedIncarnation { id: incarnation(1_000), was_leaving: false }]);
    assert!(fleet.get(&incarnation(2_000)).is_some());
    assert!(fleet.replace_all(vec![record(incarnation(2_000), 8)], at(10), None).is_empty());
}

/// Restarted runners keep their scheduler and the prompts that are routed to them by prefix.
#[test]
fn a_new_incarnation_stays_in_its_shard() {
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

/// A request that crashes a runner, and crashes it again after the restart, counts as two crashed
/// incarnations.
#[test]
fn each_incarnation_that_crashes_under_a_request_counts() {
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
            assert!(!evidence.on_attempt_interrupted(
                &incarnation(born_ms),
                Suspect::request(request),
                born_ms * SECOND_US
            ));
            assert_eq!(
                evidence.on_terminated(&incarnation(born_ms), born_ms * SECOND_US),
                [Suspect::request(request)]
            );
            let crash = Crash { request, runner: incarnation(born_ms) };
            quarantine.on_observed(&crash, 0, born_ms * SECOND_US)
        })
        .collect();
    use CrashChange::{Counted, Quarantined};
    assert_eq!(changes, [Counted, Counted, Quarantined]);
}

proptest! {
    /// Name and time can be recovered from an id, and no two incarnations share an id.
    #[test]
    fn an_incarnation_is_identified_by_name_and_time(
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

    /// For any order of entries, removals and full reads, the fleet holds the incarnation of the
    /// latest of them.
    #[test]
    fn the_latest_entry_determines_the_incarnation(changes in proptest::collection::vec((0..3_u8, 0..4_u64), 1..30), swaps in proptest::collection::vec(0..30_usize, 0..4)) {
        let mut ordered: Vec<(u64, u8, u64)> =
            changes.iter().enumerate().map(|(at, (kind, born))| (at as u64 + 1, *kind, *born)).collect();
        let last = ordered[ordered.len() - 1];
        // Late entries arrive after later entries; removals and full reads arrive in order.
        for at in swaps {
            if at + 1 < ordered.len() && ordered[at].1 == 0 && ordered[at + 1].1 == 0 {
                ordered.swap(at, at + 1);
            }
        }
        let mut fleet = Fleet::new(ZoneId::new("north"), Topology::default());
        for (revision, kind, born_ms) in ordered {
            match kind {
                0 => drop(fleet.put(record(incarnation(born_ms), revision))),
                1 => {
                    if let Some(id) = fleet.incarnation_of(&RunnerName::new("i-1")).cloned() {
                        fleet.remove(&id, at(revision), None);
                    }
                }
                _ => drop(fleet.replace_all(vec![record(incarnation(born_ms), revision)], at(revision), None)),
            }
            prop_assert!(fleet.iter().count() <= 1);
        }
        let expected = (last.1 != 1).then(|| incarnation(last.2));
        prop_assert_eq!(fleet.iter().next().map(|runner| runner.record.id.clone()), expected);
    }
}
