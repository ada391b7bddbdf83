//! Notices of runners: which runners get requests, for any order of notices, entries and times.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Eligible, Fleet, Sender};
use pitchstall_serving::ids::{RunnerId, RunnerName, ServiceName};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord};
use pitchstall_serving::runner_notice::{
    Availability, AvailabilityChange, RunnerNotice, MAX_REST_US,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{at, runner_record};

const SECOND_US: u64 = 1_000_000;
const LEAVING: RunnerNotice =
    RunnerNotice { is_leaving: true, rest_us: 0, limit: None, is_malformed: false };

fn rest(rest_us: u64) -> RunnerNotice {
    RunnerNotice { rest_us, ..RunnerNotice::default() }
}

fn incarnation(born_ms: u64) -> RunnerId {
    RunnerId::of_incarnation(&RunnerName::new("i-1"), Some(born_ms))
}

fn record(id: RunnerId, draining: bool, revision: u64) -> RunnerRecord {
    RunnerRecord { draining, revision: at(revision), ..runner_record(id) }
}

fn candidates(fleet: &Fleet, sender: Sender, now_us: u64) -> Vec<RunnerId> {
    let service = ServiceName::new("llm");
    let eligible = Eligible { sender, ..Eligible::all_of(&service) };
    let candidates = fleet.candidates(&eligible, now_us);
    candidates.into_iter().map(|runner| runner.record.id.clone()).collect()
}

#[test]
fn a_rest_ends_only_when_its_time_is_over() {
    let mut availability = Availability::default();
    let learned = availability.on_notice(rest(3 * SECOND_US), SECOND_US);
    assert_eq!(learned, AvailabilityChange { starts_leaving: false, rest_us: Some(3 * SECOND_US) });
    // A later request for a shorter rest, or a response without a notice, does not shorten the
    // rest.
    assert_eq!(
        availability.on_notice(rest(SECOND_US), 2 * SECOND_US),
        AvailabilityChange::default()
    );
    availability.on_notice(RunnerNotice::default(), 2 * SECOND_US);
    availability.on_accepted();
    assert_eq!(availability.rests_until_us(4 * SECOND_US - 1), Some(4 * SECOND_US));
    assert!(!availability.is_resting(4 * SECOND_US));
}

/// Guards against counting a request that was accepted before the rest as the trial after it. A
/// long stream then kept all new work of the node from a decode runner until the end of the stream.
#[test]
fn after_a_rest_one_request_tries_the_runner_before_others_follow() {
    let id = RunnerId::new("a");
    let mut fleet = Fleet::default();
    fleet.put(record(id.clone(), false, 1));
    let is_avoided = |fleet: &Fleet, now_us| fleet.get(&id).unwrap().is_avoided(now_us);
    fleet.on_sent(&id, AttemptDemand::default());
    fleet.on_accepted(&id);
    fleet.on_notice(&id, rest(SECOND_US), 0);
    assert!(is_avoided(&fleet, SECOND_US - 1));
    assert!(!is_avoided(&fleet, SECOND_US), "the earlier stream is not the trial");
    fleet.on_sent(&id, AttemptDemand::default());
    assert!(is_avoided(&fleet, SECOND_US), "one request is the trial");
    fleet.on_ended(&id, AttemptDemand::default());
    assert!(!is_avoided(&fleet, SECOND_US), "the trial failed, so the next request tries");
    fleet.on_sent(&id, AttemptDemand::default());
    fleet.on_accepted(&id);
    assert!(!is_avoided(&fleet, SECOND_US), "others may follow");
}

#[test]
fn a_rest_is_limited_to_the_maximum() {
    let mut availability = Availability::default();
    let learned = availability.on_notice(rest(u64::MAX), SECOND_US);
    assert_eq!(learned.rest_us, Some(MAX_REST_US));
    assert!(!availability.is_resting(SECOND_US + MAX_REST_US));
}

/// A scheduler that chooses for another node was asked for a rest itself, but the other node was
/// not.
#[test]
fn a_rest_requested_from_this_node_only_ranks_runners_for_others() {
    let mut fleet = Fleet::default();
    fleet.put(record(RunnerId::new("a"), false, 1));
    fleet.on_notice(&RunnerId::new("a"), rest(SECOND_US), 0);
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("a")]);
    fleet.put(record(RunnerId::new("b"), false, 2));
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("b")]);
    fleet.on_notice(&RunnerId::new("a"), LEAVING, 1);
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("b")]);
}

#[test]
fn the_earliest_end_of_a_rest_is_reported_without_leaving_runners() {
    let mut fleet = Fleet::default();
    let service = ServiceName::new("llm");
    let eligible = Eligible { sender: Sender::ThisNode, ..Eligible::all_of(&service) };
    for (name, rest_us) in [("a", 3 * SECOND_US), ("b", 2 * SECOND_US), ("c", SECOND_US)] {
        fleet.put(record(RunnerId::new(name), false, 1));
        fleet.on_notice(&RunnerId::new(name), rest(rest_us), 0);
    }
    fleet.on_notice(&RunnerId::new("c"), LEAVING, 0);
    assert_eq!(fleet.next_availability(&eligible, 1).map(|it| it.at_us), Some(2 * SECOND_US));
    assert_eq!(
        fleet.next_availability(&eligible, 2 * SECOND_US).map(|it| it.at_us),
        Some(3 * SECOND_US)
    );
    assert_eq!(
        fleet.withheld(&service, 1)[0],
        RunnerId::new("c"),
        "the leaving runner stays withheld"
    );
}

/// The store was unavailable: the entry lapses and comes back unchanged.
#[test]
fn an_entry_that_comes_back_overrides_no_notice() {
    let mut fleet = Fleet::default();
    fleet.put(record(incarnation(1), false, 1));
    fleet.on_notice(&incarnation(1), LEAVING, 0);
    // The entry of a leaving runner is not kept as one that may have lapsed.
    fleet.remove(&incarnation(1), at(2), Some(SECOND_US));
    assert!(fleet.get(&incarnation(1)).is_none());
    fleet.put(record(incarnation(1), false, 3));
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    // A response may also arrive while the entry is gone.
    fleet.remove(&incarnation(1), at(4), None);
    fleet.put(record(incarnation(2), false, 5));
    fleet.remove(&incarnation(2), at(6), None);
    fleet.on_notice(&incarnation(2), rest(SECOND_US), 0);
    fleet.put(record(incarnation(2), false, 7));
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    assert_eq!(candidates(&fleet, Sender::ThisNode, SECOND_US), [incarnation(2)]);
}

/// An event at a runner that goes through three incarnations.
#[derive(Clone, Debug)]
enum Step {
    Put { born: u64, draining: bool },
    Removed { may_have_lapsed: bool },
    RegistryRead { listed: bool },
    LapseExpired,
    Notice { born: u64, is_leaving: bool, rest_us: u64 },
    Sent,
    Accepted { born: u64 },
    TimePasses { us: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let born = 1..4_u64;
    prop_oneof![
        (born.clone(), any::<bool>()).prop_map(|(born, draining)| Step::Put { born, draining }),
        any::<bool>().prop_map(|may_have_lapsed| Step::Removed { may_have_lapsed }),
        any::<bool>().prop_map(|listed| Step::RegistryRead { listed }),
        Just(Step::LapseExpired),
        (born.clone(), prop::bool::weighted(0.2), 0..4 * SECOND_US)
            .prop_map(|(born, is_leaving, rest_us)| Step::Notice { born, is_leaving, rest_us }),
        Just(Step::Sent),
        born.prop_map(|born| Step::Accepted { born }),
        (0..2 * SECOND_US).prop_map(|us| Step::TimePasses { us }),
    ]
}

/// What each incarnation has announced, recorded regardless of entries.
#[derive(Default)]
struct Announced {
    is_leaving: bool,
    rest_until_us: u64,
}

proptest! {
    /// For any events between a notice and a request: an incarnation that has announced that it
    /// leaves gets no request, one that has requested a rest gets none before the end of the rest,
    /// and other incarnations are not withheld.
    #[test]
    fn no_order_of_events_revokes_a_notice(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::default();
        let mut announced: BTreeMap<RunnerId, Announced> = BTreeMap::new();
        let (mut now_us, mut revision) = (0_u64, 1_u64);
        for step in steps {
            revision += 2;
            let current = fleet.incarnation_of(&RunnerName::new("i-1")).cloned();
            match step {
                Step::Put { born, draining } => {
                    fleet.put(record(incarnation(born), draining, revision));
                }
                Step::Removed { may_have_lapsed } => {
                    let until_us = may_have_lapsed.then_some(now_us + SECOND_US);
                    if let Some(current) = &current {
                        fleet.remove(current, at(revision), until_us);
                    }
                }
                Step::RegistryRead { listed } => {
                    let entry = current.filter(|_| listed).map(|it| record(it, false, revision));
                    fleet.replace_all(entry.into_iter().collect(), at(revision), None);
                }
                Step::LapseExpired => drop(fleet.remove_lapsed(now_us)),
                Step::Notice { born, is_leaving, rest_us } => {
                    fleet.on_notice(&incarnation(born), RunnerNotice { is_leaving, rest_us, ..RunnerNotice::default() }, now_us);
                    let announced = announced.entry(incarnation(born)).or_default();
                    announced.is_leaving |= is_leaving;
                    if rest_us > 0 {
                        announced.rest_until_us = announced.rest_until_us.max(now_us + rest_us);
                    }
                }
                Step::Sent => if let Some(current) = &current {
                    fleet.on_sent(current, AttemptDemand::default());
                }
                Step::Accepted { born } => fleet.on_accepted(&incarnation(born)),
                Step::TimePasses { us } => now_us += us,
            }
            let chosen = candidates(&fleet, Sender::ThisNode, now_us);
            let listed = fleet.iter().next().map(|runner| (runner.record.id.clone(), runner.record.draining));
            if let Some((id, draining)) = listed {
                let announced = announced.get(&id);
                let withheld = announced.is_some_and(|announced| announced.is_leaving || now_us < announced.rest_until_us);
                prop_assert_eq!(chosen.is_empty(), withheld || draining, "{} at {}", id, now_us);
            }
        }
    }
}
