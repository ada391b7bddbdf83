//! What runners say of themselves: who gets a request, whatever order words, entries and time come in.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::{Eligible, Fleet, Sender};
use pitchstall_serving::ids::{RunnerId, RunnerName, ServiceName};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord};
use pitchstall_serving::runner_notice::{Availability, Learned, RunnerNotice, LONGEST_REST_US};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{at, runner_record};

const SECOND: u64 = 1_000_000;
const LEAVING: RunnerNotice =
    RunnerNotice { leaving: true, rest_us: 0, limit: None, malformed: false };

fn rest(rest_us: u64) -> RunnerNotice {
    RunnerNotice { rest_us, ..RunnerNotice::default() }
}

fn life(born_ms: u64) -> RunnerId {
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
fn a_rest_ends_by_its_time_alone() {
    let mut availability = Availability::default();
    let learned = availability.on_notice(rest(3 * SECOND), SECOND);
    assert_eq!(learned, Learned { leaving: false, rest_us: Some(3 * SECOND) });
    // A shorter one that is asked for later, and an answer that says nothing, take nothing back.
    assert_eq!(availability.on_notice(rest(SECOND), 2 * SECOND), Learned::default());
    availability.on_notice(RunnerNotice::default(), 2 * SECOND);
    availability.on_accepted();
    assert_eq!(availability.rests_until_us(4 * SECOND - 1), Some(4 * SECOND));
    assert!(!availability.is_resting(4 * SECOND));
}

/// A stream that the runner had taken up before it asked for rest goes on for long after: it is no try. Counted as one,
/// it kept all new work of the node from a writer until the stream's end.
#[test]
fn after_a_rest_one_request_tries_the_runner_before_others_follow() {
    let id = RunnerId::new("a");
    let mut fleet = Fleet::default();
    fleet.put(record(id.clone(), false, 1));
    let is_avoided = |fleet: &Fleet, now_us| fleet.get(&id).unwrap().is_avoided(now_us);
    fleet.on_sent(&id, AttemptDemand::default());
    fleet.on_accepted(&id);
    fleet.on_notice(&id, rest(SECOND), 0);
    assert!(is_avoided(&fleet, SECOND - 1));
    assert!(!is_avoided(&fleet, SECOND), "the stream from before is no try");
    fleet.on_sent(&id, AttemptDemand::default());
    assert!(is_avoided(&fleet, SECOND), "one tries it");
    fleet.on_ended(&id, AttemptDemand::default());
    assert!(!is_avoided(&fleet, SECOND), "it was in vain: the next one tries");
    fleet.on_sent(&id, AttemptDemand::default());
    fleet.on_accepted(&id);
    assert!(!is_avoided(&fleet, SECOND), "others follow");
}

#[test]
fn no_word_costs_a_runner_more_than_the_longest_rest() {
    let mut availability = Availability::default();
    let learned = availability.on_notice(rest(u64::MAX), SECOND);
    assert_eq!(learned.rest_us, Some(LONGEST_REST_US));
    assert!(!availability.is_resting(SECOND + LONGEST_REST_US));
}

/// The scheduler that chooses for another node was asked for rest itself; the other node was not.
#[test]
fn a_rest_asked_of_this_node_only_ranks_runners_for_others() {
    let mut fleet = Fleet::default();
    fleet.put(record(RunnerId::new("a"), false, 1));
    fleet.on_notice(&RunnerId::new("a"), rest(SECOND), 0);
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("a")]);
    fleet.put(record(RunnerId::new("b"), false, 2));
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("b")]);
    fleet.on_notice(&RunnerId::new("a"), LEAVING, 1);
    assert_eq!(candidates(&fleet, Sender::AnotherNode, 1), [RunnerId::new("b")]);
}

#[test]
fn the_first_end_of_a_rest_is_told_and_what_leaves_is_not_waited_for() {
    let mut fleet = Fleet::default();
    let service = ServiceName::new("llm");
    let eligible = Eligible { sender: Sender::ThisNode, ..Eligible::all_of(&service) };
    for (name, rest_us) in [("a", 3 * SECOND), ("b", 2 * SECOND), ("c", SECOND)] {
        fleet.put(record(RunnerId::new(name), false, 1));
        fleet.on_notice(&RunnerId::new(name), rest(rest_us), 0);
    }
    fleet.on_notice(&RunnerId::new("c"), LEAVING, 0);
    assert_eq!(fleet.first_opening(&eligible, 1).map(|it| it.at_us), Some(2 * SECOND));
    assert_eq!(fleet.first_opening(&eligible, 2 * SECOND).map(|it| it.at_us), Some(3 * SECOND));
    assert_eq!(fleet.withheld(&service, 1)[0], RunnerId::new("c"), "it stays withheld");
}

/// The store was away: the entry lapsed and comes back as it was.
#[test]
fn an_entry_that_comes_back_takes_no_word_back() {
    let mut fleet = Fleet::default();
    fleet.put(record(life(1), false, 1));
    fleet.on_notice(&life(1), LEAVING, 0);
    // A leaving runner's entry is not kept as one that may have lapsed.
    fleet.remove(&life(1), at(2), Some(SECOND));
    assert!(fleet.get(&life(1)).is_none());
    fleet.put(record(life(1), false, 3));
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    // An answer may also come when the entry is gone.
    fleet.remove(&life(1), at(4), None);
    fleet.put(record(life(2), false, 5));
    fleet.remove(&life(2), at(6), None);
    fleet.on_notice(&life(2), rest(SECOND), 0);
    fleet.put(record(life(2), false, 7));
    assert!(candidates(&fleet, Sender::ThisNode, 1).is_empty());
    assert_eq!(candidates(&fleet, Sender::ThisNode, SECOND), [life(2)]);
}

/// One thing that happens to a runner that is now in one of three lives.
#[derive(Clone, Debug)]
enum Step {
    Put { born: u64, draining: bool },
    Removed { may_have_lapsed: bool },
    ListRead { listed: bool },
    LapseOver,
    Says { born: u64, leaving: bool, rest_us: u64 },
    Sent,
    Accepted { born: u64 },
    Passes { us: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let born = 1..4_u64;
    prop_oneof![
        (born.clone(), any::<bool>()).prop_map(|(born, draining)| Step::Put { born, draining }),
        any::<bool>().prop_map(|may_have_lapsed| Step::Removed { may_have_lapsed }),
        any::<bool>().prop_map(|listed| Step::ListRead { listed }),
        Just(Step::LapseOver),
        (born.clone(), prop::bool::weighted(0.2), 0..4 * SECOND)
            .prop_map(|(born, leaving, rest_us)| Step::Says { born, leaving, rest_us }),
        Just(Step::Sent),
        born.prop_map(|born| Step::Accepted { born }),
        (0..2 * SECOND).prop_map(|us| Step::Passes { us }),
    ]
}

/// What each life has said, kept without any regard to entries.
#[derive(Default)]
struct Said {
    leaving: bool,
    rest_until_us: u64,
}

proptest! {
    /// Whatever comes between a word and a request, in whatever order: a life that has said that it leaves gets
    /// none, and one that has asked for rest none before its end; and one that has said neither is no worse off.
    #[test]
    fn no_order_of_events_takes_a_word_back(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::default();
        let mut said: BTreeMap<RunnerId, Said> = BTreeMap::new();
        let (mut now_us, mut revision) = (0_u64, 1_u64);
        for step in steps {
            revision += 2;
            let current = fleet.life_of(&RunnerName::new("i-1")).cloned();
            match step {
                Step::Put { born, draining } => {
                    fleet.put(record(life(born), draining, revision));
                }
                Step::Removed { may_have_lapsed } => {
                    let until_us = may_have_lapsed.then_some(now_us + SECOND);
                    if let Some(current) = &current {
                        fleet.remove(current, at(revision), until_us);
                    }
                }
                Step::ListRead { listed } => {
                    let entry = current.filter(|_| listed).map(|it| record(it, false, revision));
                    fleet.replace_all(entry.into_iter().collect(), at(revision), None);
                }
                Step::LapseOver => drop(fleet.remove_lapsed(now_us)),
                Step::Says { born, leaving, rest_us } => {
                    fleet.on_notice(&life(born), RunnerNotice { leaving, rest_us, ..RunnerNotice::default() }, now_us);
                    let said = said.entry(life(born)).or_default();
                    said.leaving |= leaving;
                    if rest_us > 0 {
                        said.rest_until_us = said.rest_until_us.max(now_us + rest_us);
                    }
                }
                Step::Sent => if let Some(current) = &current {
                    fleet.on_sent(current, AttemptDemand::default());
                }
                Step::Accepted { born } => fleet.on_accepted(&life(born)),
                Step::Passes { us } => now_us += us,
            }
            let chosen = candidates(&fleet, Sender::ThisNode, now_us);
            let listed = fleet.iter().next().map(|runner| (runner.record.id.clone(), runner.record.draining));
            if let Some((life, draining)) = listed {
                let said = said.get(&life);
                let withheld = said.is_some_and(|said| said.leaving || now_us < said.rest_until_us);
                prop_assert_eq!(chosen.is_empty(), withheld || draining, "{} at {}", life, now_us);
            }
        }
    }
}
