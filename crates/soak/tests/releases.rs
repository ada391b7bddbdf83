//! Releases beside restarts of nodes: their schedules, and the checks of streams that clients take up.
#![allow(missing_docs)]

use pitchstall_soak::plan::{steps, Action, Step, RECOVERY_TIME};
use pitchstall_soak::process_checks::{ProcessExchange, EVENTS_IN_ORDER};
use pitchstall_soak::process_load::ProcessRoute;
use pitchstall_soak::releases::{draw_absence, FIRST_VERSION, VERSIONS};
use pitchstall_soak::run_plan::{Framing, RunEnd, RunPlan};
use pitchstall_soak::runner_program::LAST_EVENT;
use pitchstall_soak::seed_features::{has_faults, has_releases};
use pitchstall_soak::stream_client::Fetched;
use pitchstall_soak::stream_judgement::{ReceivedEvent, Try, TryEnd};
use pitchstall_soak::takeup_checks::{
    takeup_tally, takeup_violations, untested_takeups, TakenUpStream, TakeupSituation, TakeupTally,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const LENGTH: Duration = Duration::from_secs(25);
const NODES: usize = 4;
const PLAN: RunPlan =
    RunPlan { framing: Framing::Chunked, end: RunEnd::Whole, after: 3, is_split: false };
const OWN_VERSION_SERVES: TakeupSituation =
    TakeupSituation { has_own_version: true, has_other_version: true };
const OTHER_VERSION_ALONE: TakeupSituation =
    TakeupSituation { has_own_version: false, has_other_version: true };

/// Events of a run at a version.
fn attempt(version: &str, numbers: impl IntoIterator<Item = u64>, end: TryEnd) -> Try {
    let event = |number| ReceivedEvent {
        number,
        run: format!("run at {version}"),
        version: version.to_owned(),
    };
    Try { events: numbers.into_iter().map(event).collect(), end }
}

/// A stream whose client leaves after event 4 and then receives `takeup`.
fn taken_up(situation: TakeupSituation, takeup: Try) -> TakenUpStream {
    let tries = vec![attempt("v1", 0..5, TryEnd::Left), takeup];
    let fetched = Fetched { first_id: "1".to_owned(), tries };
    let route = ProcessRoute::ResumableStream;
    TakenUpStream { situation, exchange: ProcessExchange { route, plan: PLAN, node: 0, fetched } }
}

#[test_case("v2", 5, "MixedVersions"; "two versions")]
#[test_case("v1", 4, "Repeated"; "an event twice")]
#[test_case("v1", 6, "Missing"; "a gap")]
fn a_wrong_takeup_is_a_violation(version: &str, first: u64, fault: &str) {
    let takeup = attempt(version, first..=LAST_EVENT, TryEnd::Complete);
    let violations = takeup_violations(&[taken_up(OTHER_VERSION_ALONE, takeup)]);
    let found = violations.first().map(|it| (it.promise, it.detail.starts_with(fault)));
    assert_eq!((violations.len(), found), (1, Some((EVENTS_IN_ORDER, true))), "{violations:?}");
}

#[test]
fn takeups_are_counted_by_how_they_ended() {
    let streams = [
        taken_up(OWN_VERSION_SERVES, attempt("v1", 5..=LAST_EVENT, TryEnd::Complete)),
        taken_up(OTHER_VERSION_ALONE, attempt("v1", [], TryEnd::Status(503))),
        taken_up(OWN_VERSION_SERVES, attempt("v1", 5..7, TryEnd::Broken)),
        taken_up(OTHER_VERSION_ALONE, attempt("v2", 5..=LAST_EVENT, TryEnd::Complete)),
    ];
    let expected = TakeupTally { whole: 1, refused: 1, cut: 1, faulty: 1, mixed: 2 };
    assert_eq!(takeup_tally(&streams), expected);
    assert_eq!(takeup_violations(&streams).len(), 1);
}

#[test]
fn a_run_without_takeups_or_without_a_mixed_situation_is_untested() {
    let tested = TakeupTally { whole: 1, refused: 1, mixed: 1, ..TakeupTally::default() };
    assert!(untested_takeups(tested).is_none());
    assert!(untested_takeups(TakeupTally { mixed: 0, ..tested }).is_some());
    assert!(untested_takeups(TakeupTally::default()).is_some());
    let one_version = TakeupSituation { has_own_version: true, has_other_version: false };
    let nothing_serves = TakeupSituation { has_own_version: false, has_other_version: false };
    for situation in [OWN_VERSION_SERVES, one_version, nothing_serves] {
        let whole = attempt("v1", 5..=LAST_EVENT, TryEnd::Complete);
        let tally = takeup_tally(&[taken_up(situation, whole)]);
        assert!(untested_takeups(tally).is_some(), "{situation:?}");
    }
}

fn is_release(step: &Step) -> bool {
    matches!(
        step.action,
        Action::JoinVersion { .. }
            | Action::LeaveVersion { .. }
            | Action::KillSeveral { .. }
            | Action::RestartAll
    )
}

#[test]
fn only_later_seeds_release_versions() {
    let has_release = |seed| steps(seed, LENGTH, NODES).iter().any(is_release);
    assert!((0..14_000).all(|seed| !has_release(seed) && !has_releases(seed)));
    assert!((14_000..14_300).all(|seed| has_release(seed) && has_releases(seed)));
}

#[test]
fn each_release_joins_another_version_before_the_old_one_leaves() {
    let mut returns = 0;
    for seed in 14_000..14_300 {
        let mut serving = BTreeSet::from([FIRST_VERSION]);
        let mut previous = None;
        for step in steps(seed, LENGTH, NODES) {
            match step.action {
                Action::JoinVersion { version } => {
                    assert!(version < VERSIONS.len() && serving.insert(version), "seed {seed}");
                    returns += usize::from(previous == Some(version));
                }
                Action::LeaveVersion { version } => {
                    assert!(serving.remove(&version) && !serving.is_empty(), "seed {seed}");
                    previous = Some(version);
                }
                _ => {}
            }
        }
    }
    assert!(returns >= 100, "{returns} returns of the version that has just left");
}

#[test]
fn nodes_restart_soon_after_each_version_that_leaves() {
    const MAX_DELAY: Duration = Duration::from_millis(1_500);
    for seed in 14_000..14_300 {
        let steps = steps(seed, LENGTH, NODES);
        let is_restart = |step: &Step| match &step.action {
            Action::KillAll => has_faults(seed),
            Action::KillSeveral { nodes } => {
                assert!(has_faults(seed) && nodes.is_sorted() && !nodes.is_empty(), "seed {seed}");
                true
            }
            action => *action == Action::RestartAll,
        };
        let leaves: Vec<Duration> = steps
            .iter()
            .filter(|step| matches!(step.action, Action::LeaveVersion { .. }))
            .map(|step| step.at)
            .collect();
        assert!(leaves.len() >= 4, "seed {seed}");
        for left_at in leaves {
            let restarts_soon = |step: &Step| {
                is_restart(step) && step.at >= left_at && step.at < left_at + MAX_DELAY
            };
            assert!(steps.iter().any(restarts_soon), "seed {seed}");
        }
        let release_steps = steps.iter().filter(|step| is_release(step));
        assert!(release_steps.clone().all(|step| step.at + step.duration < LENGTH - RECOVERY_TIME));
    }
}

#[test]
fn absences_are_short_and_long_and_end_before_the_last_event() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let absences: Vec<_> = (0..1_000).map(|_| draw_absence(&mut rng)).collect();
    let count = |range: std::ops::Range<u64>| {
        absences.iter().filter(|it| range.contains(&(it.duration.as_millis() as u64))).count()
    };
    assert!(count(0..600) >= 400 && count(3_000..7_000) >= 200);
    assert!(absences.iter().all(|it| it.after < LAST_EVENT - 1));
}
