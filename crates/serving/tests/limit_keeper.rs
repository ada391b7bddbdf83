//! What keepers of runners' limits give, whoever asks whom.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use pitchstall_serving::ids::{NodeId, RunnerId, ZoneId};
use pitchstall_serving::limit_keeper::{
    KeeperShare, KeeperTerm, LimitKeeper, GRANT_LIFE_US, MOST_KEEPERS,
};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::runner_limit::{LimitQuestion, LimitVerdict, LimitWord};
use pitchstall_serving::runner_notice::RequestRate;
use pitchstall_serving::scheduling::{Shard, Ticket};
use pitchstall_serving::topology::Topology;
use proptest::prelude::*;
use std::net::SocketAddr;
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const WINDOW_US: u64 = 4 * SECOND;

fn runner() -> RunnerId {
    RunnerId::new("i-1")
}

fn rate(requests_a_second: f64) -> RequestRate {
    RequestRate::from_requests_a_second(requests_a_second).unwrap()
}

fn word(rate: Option<RequestRate>, heard_ago_us: u64) -> LimitWord {
    LimitWord { runner: runner(), rate, heard_ago_us }
}

fn question(rate: RequestRate, heard_ago_us: u64) -> LimitQuestion {
    let ticket = Ticket { incarnation: 1, number: 1 };
    LimitQuestion { ticket, word: word(Some(rate), heard_ago_us) }
}

/// What may arrive in any window: one and a half times the limit, and five.
fn allowed(requests_a_second: f64) -> usize {
    (6.0 * requests_a_second + 5.0) as usize
}

/// The most that lies in any window.
fn fullest_window(times_us: &mut [u64]) -> usize {
    times_us.sort_unstable();
    let from = |first: u64| {
        let window = first..first + WINDOW_US;
        times_us.iter().filter(|at| window.contains(at)).count()
    };
    times_us.iter().copied().map(from).max().unwrap_or_default()
}

/// One question: when, to which keeper, and how long after it a grant is used.
type Asked = (u64, usize, u64);

fn asked() -> impl Strategy<Value = Vec<Asked>> {
    let one = (0..20_000_u64, 0..MOST_KEEPERS, 0..GRANT_LIFE_US);
    prop::collection::vec(one, 1..1_500)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// All four keepers answer all the time, each with its share, and know nothing of each other. Grants are used
    /// at any moment of their life.
    #[test]
    fn all_keepers_together_stay_within_the_bound(
        limit in prop_oneof![Just(0.0), Just(0.1), Just(0.5), Just(2.1), Just(10.0), Just(50.0)],
        mut asked in asked(),
    ) {
        asked.sort_unstable();
        let mut keepers = vec![LimitKeeper::default(); MOST_KEEPERS];
        let mut arrivals = Vec::new();
        for (at_ms, place, used_after_us) in asked {
            let now_us = at_ms * 1_000;
            let share = KeeperShare::of_place(place).unwrap();
            let verdict = keepers[place].on_question(&question(rate(limit), 0), share, now_us);
            if verdict == LimitVerdict::Granted {
                arrivals.push(now_us + used_after_us);
            }
        }
        prop_assert!(fullest_window(&mut arrivals) <= allowed(limit));
    }

    /// A runner names a limit, none, another one: at no edge more is given than the higher of them allows.
    #[test]
    fn limits_that_come_and_go_save_nothing(edges in prop::collection::vec(0..3_u8, 1..40)) {
        let mut keeper = LimitKeeper::default();
        let mut granted = Vec::new();
        for (number, edge) in edges.into_iter().enumerate() {
            let now_us = SECOND + number as u64 * SECOND / 2;
            match edge {
                0 => keeper.on_word(&word(None, 0), now_us),
                edge => {
                    let named = rate(f64::from(edge));
                    let asking = (0..20).map(|_| question(named, 0));
                    let grants = asking.filter(|question| {
                        let verdict = keeper.on_question(question, KeeperShare::FIRST, now_us);
                        verdict == LimitVerdict::Granted
                    });
                    granted.extend(grants.map(|_| now_us));
                }
            }
        }
        prop_assert!(fullest_window(&mut granted) <= allowed(2.0));
    }
}

/// Demand at many nodes at once: each asks again when it was told to.
#[test_case(7, 0.5; "7 nodes, one in two seconds")]
#[test_case(7, 2.1; "7 nodes, two a second")]
#[test_case(7, 50.0; "7 nodes, fifty a second")]
#[test_case(30, 2.1; "30 nodes, two a second")]
#[test_case(100, 10.0; "100 nodes, ten a second")]
#[test_case(330, 0.5; "330 nodes, one in two seconds")]
#[test_case(330, 2.1; "330 nodes, two a second")]
#[test_case(330, 50.0; "330 nodes, fifty a second")]
fn what_the_runner_takes_is_used(nodes: usize, limit: f64) {
    const TIME_US: u64 = 60 * SECOND;
    let mut keeper = LimitKeeper::default();
    let mut asks_at_us: Vec<u64> = (0..nodes).map(|node| node as u64 * 997).collect();
    let mut granted = Vec::new();
    let mut questions = 0_u32;
    for now_us in (0..TIME_US).step_by(1_000) {
        for asks_at_us in asks_at_us.iter_mut().filter(|at_us| **at_us <= now_us) {
            questions += 1;
            match keeper.on_question(&question(rate(limit), 0), KeeperShare::FIRST, now_us) {
                LimitVerdict::Granted => granted.push(now_us),
                LimitVerdict::Refused { wait_us } => *asks_at_us = now_us + wait_us.max(5_000),
                verdict => panic!("{verdict:?}"),
            }
        }
    }
    let used = granted.len() as f64 / (limit * TIME_US as f64 / SECOND as f64);
    assert!(used > 0.9, "{used} of the limit");
    assert!(fullest_window(&mut granted) <= allowed(limit));
    // Each node that waits asks twice a second at the most, besides those that get one.
    let most = (nodes as f64 / 2.0 + 4.0 * limit + 2.0) * TIME_US as f64 / SECOND as f64;
    assert!(f64::from(questions) < most, "{questions} questions");
}

#[test]
fn a_node_gives_the_first_share_only_when_it_has_been_the_first_for_some_time() {
    let mut term = KeeperTerm::default();
    let look = |term: &mut KeeperTerm, place: usize, from_us: u64, to_us: u64| {
        for now_us in (from_us..=to_us).step_by(250_000) {
            term.on_look(place, now_us);
        }
    };
    assert_eq!(term.share(0, 0), KeeperShare::of_place(1));
    look(&mut term, 0, 2 * SECOND, 3 * SECOND);
    assert_eq!(term.share(0, 3 * SECOND), KeeperShare::of_place(1));
    look(&mut term, 0, 3 * SECOND, 6 * SECOND);
    assert_eq!(term.share(0, 6 * SECOND), Some(KeeperShare::FIRST));
    assert_eq!(term.share(1, 6 * SECOND), KeeperShare::of_place(1), "one comes before it now");
    assert_eq!(term.share(4, 6 * SECOND), None);
    // It stood still, and may have been replaced: before it has looked, and after.
    assert_eq!(term.share(0, 8 * SECOND), KeeperShare::of_place(1));
    look(&mut term, 0, 8 * SECOND, 9 * SECOND);
    assert_eq!(term.share(0, 9 * SECOND), KeeperShare::of_place(1));
    look(&mut term, 0, 9 * SECOND, 11 * SECOND);
    assert_eq!(term.share(0, 11 * SECOND), Some(KeeperShare::FIRST));
}

#[test]
fn the_later_word_of_a_runner_holds() {
    let mut keeper = LimitKeeper::default();
    let ask = |keeper: &mut LimitKeeper, ago_us, now_us| {
        keeper.on_question(&question(rate(2.0), ago_us), KeeperShare::FIRST, now_us)
    };
    assert!(matches!(ask(&mut keeper, 0, SECOND), LimitVerdict::Refused { .. }));
    keeper.on_word(&word(None, 0), 2 * SECOND);
    let lifted = LimitVerdict::Lifted { heard_ago_us: SECOND };
    assert_eq!(ask(&mut keeper, 2 * SECOND, 3 * SECOND), lifted, "the node heard it before");
    assert!(matches!(ask(&mut keeper, 0, 4 * SECOND), LimitVerdict::Refused { .. }), "again");
    keeper.on_word(&word(None, 3 * SECOND), 5 * SECOND);
    assert_eq!(
        ask(&mut keeper, 0, 5 * SECOND),
        LimitVerdict::Granted,
        "an old word changes nothing"
    );
}

#[test]
fn a_refusal_tells_when_and_no_later_than_a_lifted_limit_is_to_be_noticed() {
    let mut keeper = LimitKeeper::default();
    for _ in 0..100 {
        let verdict = keeper.on_question(&question(rate(0.0), 0), KeeperShare::FIRST, SECOND);
        let LimitVerdict::Refused { wait_us } = verdict else { panic!("{verdict:?}") };
        assert!(wait_us <= 2 * SECOND);
    }
}

#[test]
fn runners_that_nobody_asks_for_are_forgotten() {
    let mut keeper = LimitKeeper::default();
    keeper.on_word(&word(Some(rate(2.0)), 0), SECOND);
    assert_eq!(keeper.words(8, SECOND).len(), 1);
    assert_eq!(keeper.short(KeeperShare::FIRST, SECOND), vec![runner()]);
    assert!(keeper.short(KeeperShare::FIRST, 2 * SECOND).is_empty(), "one is left");
    keeper.sweep(40 * SECOND);
    assert!(keeper.words(8, 40 * SECOND).is_empty());
}

/// Keepers are counted in the order in which they are asked.
#[test]
fn a_node_counts_those_before_it_that_are_there() {
    let node = |number: u32| NodeId::new(format!("node-{number}"));
    let member = |number: u32| Member {
        address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
        zone: ZoneId::new("north"),
        millicpus: 500 + number % 3 * 100,
    };
    let mut members = Membership::new(node(0), member(0), Topology::default());
    (1..40).for_each(|number| members.upsert(&node(number), &member(number)));
    let shard = Shard { region: members.own_region(), number: 0, of: 1 };
    let order = members.schedulers_by_rank(&shard);
    assert_eq!(order.len(), 40);
    for (place, (name, _)) in order.iter().enumerate() {
        assert_eq!(members.scheduler_rank_of(name, &shard, |_| true), place);
        assert_eq!(members.scheduler_rank_of(name, &shard, |_| false), 0);
    }
    let second_is_gone = |name: &NodeId| *name != *order[1].0;
    assert_eq!(members.scheduler_rank_of(order[2].0, &shard, second_is_gone), 1);
}

/// A request is what tells that a limit is over: the first keeper may be gone.
#[test_case(0, 10; "the first keeper")]
#[test_case(1, 13; "the second one")]
fn a_runner_that_takes_nothing_is_tried_within_seconds(place: usize, within_s: u64) {
    let mut keeper = LimitKeeper::default();
    let share = KeeperShare::of_place(place).unwrap();
    keeper.on_word(&word(Some(rate(0.0)), 0), 0);
    let is_granted = |keeper: &mut LimitKeeper, now_us| {
        keeper.on_question(&question(rate(0.0), 0), share, now_us) == LimitVerdict::Granted
    };
    assert!(!is_granted(&mut keeper, SECOND));
    assert!(is_granted(&mut keeper, within_s * SECOND));
}
