//! Which requests and prompt parts are blamed for crashes, and which harmless ones are beside them.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::crash_messages::{Crash, CrashRecord};
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::proven_parts::ProvenParts;
use pitchstall_serving::quarantine::Quarantine;
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts, Suspect};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// The first part of all prompts, the crashing second part, and the harmless second parts.
const FIRST: u64 = 1;
const CRASHING: u64 = 2;
const HARMLESS: std::ops::Range<u64> = 10..14;

fn part(id: u64, depth: u8) -> Suspect {
    Suspect { identity: RequestIdentity::of_prompt_part(id), depth: Some(depth) }
}

fn request(number: u64) -> Suspect {
    let body = number.to_le_bytes();
    let parts = RequestParts { method: "POST", host: "h", target: "/x", tenant: None, body: &body };
    Suspect::request(RequestIdentity::of(&parts))
}

/// Runners crash one after the other, in the order of their numbers.
const CRASH_INTERVAL_MS: u64 = 500;

/// Records that a runner has crashed with these suspects in progress.
fn crash(
    quarantine: &mut Quarantine,
    runner_number: u64,
    suspects: &[Suspect],
    proven: &ProvenParts,
) {
    for suspect in suspects {
        let runner = RunnerId::new(format!("i-{runner_number}"));
        let was_proven = suspect.depth.is_some() && proven.contains(suspect.identity);
        quarantine.describe(*suspect, was_proven);
        let at_ms = runner_number * CRASH_INTERVAL_MS;
        quarantine.on_observed(&Crash { request: suspect.identity, runner }, at_ms, 0);
    }
}

fn is_blamed(quarantine: &Quarantine, suspect: Suspect) -> bool {
    quarantine.blamed_part(&[suspect]).is_some()
}

#[test]
fn a_part_that_all_crashes_have_in_common_is_blamed_and_not_what_was_beside_it() {
    let (mut quarantine, proven) = (Quarantine::default(), ProvenParts::default());
    for number in 0..3 {
        let beside = part(HARMLESS.start + number, 1);
        let suspects = [request(number), part(FIRST, 0), part(CRASHING, 1), beside];
        crash(&mut quarantine, number, &suspects, &proven);
    }
    assert!(is_blamed(&quarantine, part(CRASHING, 1)));
    assert!(!is_blamed(&quarantine, part(FIRST, 0)), "the later part explains the crashes");
}

#[test]
fn a_first_part_that_crashes_runners_with_any_later_part_is_blamed() {
    let (mut quarantine, proven) = (Quarantine::default(), ProvenParts::default());
    for number in 0..3 {
        let suspects = [request(number), part(CRASHING, 0), part(HARMLESS.start + number, 1)];
        crash(&mut quarantine, number, &suspects, &proven);
    }
    assert!(is_blamed(&quarantine, part(CRASHING, 0)));
}

#[test]
fn a_request_that_crashes_runners_takes_the_blame_from_its_parts() {
    let (mut quarantine, proven) = (Quarantine::default(), ProvenParts::default());
    for runner in 0..3 {
        crash(&mut quarantine, runner, &[request(1), part(FIRST, 0)], &proven);
    }
    assert!(quarantine.is_quarantined(request(1).identity, std::iter::empty()));
    assert!(!is_blamed(&quarantine, part(FIRST, 0)));
}

#[test]
fn a_part_that_cannot_be_told_from_the_crashing_one_is_released_by_the_next_crash() {
    let (mut quarantine, proven) = (Quarantine::default(), ProvenParts::default());
    let beside = part(HARMLESS.start, 1);
    for runner in 0..3 {
        crash(&mut quarantine, runner, &[part(CRASHING, 1), beside], &proven);
    }
    assert!(is_blamed(&quarantine, beside) && quarantine.is_blame_uncertain(beside.identity));
    crash(&mut quarantine, 3, &[part(CRASHING, 1)], &proven);
    assert!(is_blamed(&quarantine, part(CRASHING, 1)));
    assert!(!is_blamed(&quarantine, beside));
}

#[test]
fn a_proven_part_needs_more_crashes_than_one_that_never_succeeded() {
    let (mut quarantine, mut proven) = (Quarantine::default(), ProvenParts::default());
    proven.on_success(part(FIRST, 0).identity);
    for runner in 0..4 {
        crash(&mut quarantine, runner, &[part(FIRST, 0)], &proven);
        assert!(!is_blamed(&quarantine, part(FIRST, 0)));
    }
    crash(&mut quarantine, 4, &[part(FIRST, 0)], &proven);
    assert!(is_blamed(&quarantine, part(FIRST, 0)));
    assert!(quarantine.is_blame_uncertain(part(FIRST, 0).identity));
}

#[test]
fn a_proven_part_that_two_crashing_parts_share_is_not_blamed() {
    let (mut quarantine, mut proven) = (Quarantine::default(), ProvenParts::default());
    proven.on_success(part(FIRST, 0).identity);
    let crashing = [part(CRASHING, 1), part(CRASHING + 1, 1)];
    for number in 0..8 {
        let suspects = [part(FIRST, 0), crashing[number as usize % 2]];
        crash(&mut quarantine, number, &suspects, &proven);
    }
    assert!(crashing.iter().all(|part| is_blamed(&quarantine, *part)));
    // They share no crash, so each of them is certain.
    assert!(!crashing.iter().any(|part| quarantine.is_blame_uncertain(part.identity)));
    assert!(!is_blamed(&quarantine, part(FIRST, 0)));
}

#[test]
fn a_first_part_that_several_crashing_parts_share_is_held_as_uncertain() {
    let (mut quarantine, proven) = (Quarantine::default(), ProvenParts::default());
    let crashing = [part(CRASHING, 1), part(CRASHING + 1, 1)];
    for number in 0..8 {
        let suspects = [part(FIRST, 0), crashing[number as usize % 2]];
        crash(&mut quarantine, number, &suspects, &proven);
    }
    assert!(is_blamed(&quarantine, part(FIRST, 0)));
    assert!(quarantine.is_blame_uncertain(part(FIRST, 0).identity));
    quarantine.clear(part(FIRST, 0).identity);
    assert!(crashing.iter().all(|part| is_blamed(&quarantine, *part)));
}

#[test]
fn a_proven_part_is_not_blamed_for_crashes_of_many_runners_at_once() {
    let (mut quarantine, popular) = (Quarantine::default(), part(FIRST, 0));
    quarantine.describe(popular, true);
    for number in 0..40 {
        let runner = RunnerId::new(format!("i-{number}"));
        quarantine.describe(popular, true);
        quarantine.on_observed(&Crash { request: popular.identity, runner }, 7, 0);
    }
    assert!(!is_blamed(&quarantine, popular));
}

/// The crashes that a node has written to the store, as another node reads them.
fn stored_crashes(quarantine: &mut Quarantine) -> Vec<(Crash, CrashRecord)> {
    let written = quarantine.due_writes(u64::MAX);
    quarantine.on_written(&written);
    written
}

#[test_case(true; "at nodes that have all just started")]
#[test_case(false; "at a node that reads all crashes again")]
fn a_proven_part_is_not_blamed_after_its_crashes_were_read_from_the_store(is_new_node: bool) {
    const SECOND: u64 = 3;
    let (mut quarantine, mut proven) = (Quarantine::default(), ProvenParts::default());
    let parts = [part(FIRST, 0), part(SECOND, 1)];
    parts.iter().for_each(|part| proven.on_success(part.identity));
    for runner in 0..4 {
        crash(&mut quarantine, runner, &[request(runner), parts[0], parts[1]], &proven);
    }
    let stored = stored_crashes(&mut quarantine);
    let mut quarantine = if is_new_node { Quarantine::default() } else { quarantine };
    quarantine.on_store_snapshot(&stored);
    assert!(!parts.iter().any(|part| is_blamed(&quarantine, *part)));
}

#[test]
fn proven_parts_are_bounded_and_the_recent_ones_stay() {
    const MANY: u64 = 20_000;
    let mut proven = ProvenParts::default();
    (0..MANY).for_each(|number| proven.on_success(RequestIdentity::of_prompt_part(number)));
    assert!(proven.contains(RequestIdentity::of_prompt_part(MANY - 1)));
    assert!(!proven.contains(RequestIdentity::of_prompt_part(0)));
    let popular = RequestIdentity::of_prompt_part(1);
    for number in 0..MANY {
        proven.on_success(popular);
        proven.on_success(RequestIdentity::of_prompt_part(MANY + number));
    }
    assert!(proven.contains(popular));
}

/// Runners crash one after the other under one part, each with harmless requests in progress, of which few are completed
/// in between.
#[test]
fn in_a_storm_of_crashes_no_harmless_part_is_held_for_certain() {
    const SEEDS: u64 = 200;
    const MAX_CRASHES: u64 = 5;
    /// The one that no runner has completed a response on.
    const UNPROVEN: u64 = HARMLESS.start;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut quarantine, mut proven) = (Quarantine::default(), ProvenParts::default());
        // Before the storm, most of the parts have succeeded.
        proven.on_success(part(FIRST, 0).identity);
        HARMLESS
            .filter(|id| *id != UNPROVEN)
            .for_each(|id| proven.on_success(part(id, 1).identity));
        let mut crashes = 0;
        while !is_blamed(&quarantine, part(CRASHING, 1)) {
            let mut suspects = vec![part(FIRST, 0), part(CRASHING, 1), request(crashes)];
            for number in 0..4 {
                suspects.push(part(random.random_range(HARMLESS), 1));
                suspects.push(request(1_000 + crashes * 10 + number));
            }
            crash(&mut quarantine, crashes, &suspects, &proven);
            crashes += 1;
            if random.random_bool(0.2) {
                let succeeded = part(random.random_range(HARMLESS), 1);
                quarantine.clear(succeeded.identity);
                quarantine.clear(part(FIRST, 0).identity);
                proven.on_success(succeeded.identity);
            }
        }
        assert!(crashes <= MAX_CRASHES, "seed {seed}: found after {crashes} crashes");
        for harmless in HARMLESS.map(|id| part(id, 1)).chain([part(FIRST, 0)]) {
            let may_be_held =
                harmless == part(UNPROVEN, 1) && quarantine.is_blame_uncertain(harmless.identity);
            assert!(may_be_held || !is_blamed(&quarantine, harmless), "seed {seed}: {harmless:?}");
        }
    }
}
