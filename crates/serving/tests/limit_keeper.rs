//! Grants of limit keepers stay within the bound, whichever nodes ask whichever keepers.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

use pitchstall_serving::ids::{NodeId, RunnerId, ZoneId};
use pitchstall_serving::limit_keeper::{
    LimitKeeper, LimitKeeperShare, LimitKeeperTerm, GRANT_TTL_US, MAX_KEEPERS,
};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::runner_limit::{LimitMessage, LimitQuery, LimitVerdict};
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

fn rate(requests_per_s: f64) -> RequestRate {
    RequestRate::from_requests_per_s(requests_per_s).unwrap()
}

fn message(rate: Option<RequestRate>, age_us: u64) -> LimitMessage {
    LimitMessage { runner: runner(), rate, age_us }
}

fn query(rate: RequestRate, age_us: u64) -> LimitQuery {
    let ticket = Ticket { incarnation: 1, number: 1 };
    LimitQuery { ticket, message: message(Some(rate), age_us) }
}

/// Requests that may arrive in any window: one and a half times the limit, plus five.
fn max_arrivals(requests_per_s: f64) -> usize {
    (6.0 * requests_per_s + 5.0) as usize
}

/// The maximum number of arrivals in any window.
fn fullest_window(times_us: &mut [u64]) -> usize {
    times_us.sort_unstable();
    let from = |first: u64| {
        let window = first..first + WINDOW_US;
        times_us.iter().filter(|at| window.contains(at)).count()
    };
    times_us.iter().copied().map(from).max().unwrap_or_default()
}

/// One query: its time in milliseconds, the rank of the keeper, and the delay until a grant is
/// used.
type Query = (u64, usize, u64);

fn queries() -> impl Strategy<Value = Vec<Query>> {
    let one = (0..20_000_u64, 0..MAX_KEEPERS, 0..GRANT_TTL_US);
    prop::collection::vec(one, 1..1_500)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// All keepers reply all the time, each with its share, without knowing of each other.
    /// Grants are used at any time before they expire.
    #[test]
    fn all_keepers_together_stay_within_the_bound(
        limit in prop_oneof![Just(0.0), Just(0.1), Just(0.3), Just(0.5), Just(0.7), Just(1.3), Just(2.1), Just(10.0), Just(50.0)],
        mut queries in queries(),
    ) {
        queries.sort_unstable();
        let mut keepers = vec![LimitKeeper::default(); MAX_KEEPERS];
        let mut arrivals = Vec::new();
        for (at_ms, rank, send_delay_us) in queries {
            let now_us = at_ms * 1_000;
            let share = LimitKeeperShare::at_rank(rank).unwrap();
            let verdict = keepers[rank].on_query(&query(rate(limit), 0), share, now_us);
            if verdict == LimitVerdict::Granted {
                arrivals.push(now_us + send_delay_us);
            }
        }
        prop_assert!(fullest_window(&mut arrivals) <= max_arrivals(limit));
    }

    /// A runner changes its limit or lifts it again and again. At no change are more requests
    /// granted than the higher of the limits allows.
    #[test]
    fn changing_limits_accumulate_no_requests(edges in prop::collection::vec(0..3_u8, 1..40)) {
        let mut keeper = LimitKeeper::default();
        let mut granted = Vec::new();
        for (number, edge) in edges.into_iter().enumerate() {
            let now_us = SECOND + number as u64 * SECOND / 2;
            match edge {
                0 => keeper.on_message(&message(None, 0), now_us),
                edge => {
                    let limit = rate(f64::from(edge));
                    let queries = (0..20).map(|_| query(limit, 0));
                    let grants = queries.filter(|query| {
                        let verdict = keeper.on_query(query, LimitKeeperShare::FIRST, now_us);
                        verdict == LimitVerdict::Granted
                    });
                    granted.extend(grants.map(|_| now_us));
                }
            }
        }
        prop_assert!(fullest_window(&mut granted) <= max_arrivals(2.0));
    }
}

/// Number of nodes of which some stop.
const STOPPING_FLEET: usize = 6;

/// A planned stop of one node: its number and its time, in milliseconds.
type Stop = (usize, u64);

fn stops() -> impl Strategy<Value = Vec<Stop>> {
    let order = Just((0..STOPPING_FLEET).collect::<Vec<usize>>()).prop_shuffle();
    let gaps = prop::collection::vec(2_000..6_000_u64, 3);
    (order, gaps).prop_map(|(order, gaps)| {
        let times = gaps.into_iter().scan(8_000, |at_ms, gap_ms| {
            *at_ms += gap_ms;
            Some(*at_ms)
        });
        order.into_iter().zip(times).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Nodes stop one after the other, the next ones move up, and every keeper is asked again and
    /// again.
    #[test]
    fn keepers_that_move_up_grant_no_more_than_the_bound(
        limit in prop_oneof![Just(0.0), Just(0.1), Just(0.4), Just(0.5), Just(2.1)],
        stops in stops(),
        mut queries in prop::collection::vec(
            (8_000..26_000_u64, 0..STOPPING_FLEET, 0..GRANT_TTL_US),
            1..900,
        ),
    ) {
        let is_stopped = |node: usize, at_ms: u64| {
            stops.iter().any(|(stopped, stop_ms)| *stopped == node && *stop_ms <= at_ms)
        };
        let rank_of = |node: usize, at_ms: u64| {
            (0..node).filter(|before| !is_stopped(*before, at_ms)).count()
        };
        let mut nodes = vec![(LimitKeeper::default(), LimitKeeperTerm::default()); STOPPING_FLEET];
        let mut arrivals = Vec::new();
        queries.sort_unstable();
        for from_ms in (0..26_000).step_by(500) {
            for (node, (keeper, term)) in nodes.iter_mut().enumerate() {
                let rank = rank_of(node, from_ms);
                term.on_rank_checked(rank, from_ms * 1_000);
                // Only the first keeper is told of a limit, the others learn it from queries.
                if rank == 0 {
                    keeper.on_message(&message(Some(rate(limit)), 0), from_ms * 1_000);
                }
            }
            let asked = queries.iter().filter(|asked| (from_ms..from_ms + 500).contains(&asked.0));
            for (at_ms, node, send_delay_us) in asked.filter(|asked| !is_stopped(asked.1, asked.0)) {
                let now_us = at_ms * 1_000;
                let (keeper, term) = &mut nodes[*node];
                let Some(share) = term.share(rank_of(*node, *at_ms), now_us) else { continue };
                let verdict = keeper.on_query(&query(rate(limit), 0), share, now_us);
                if verdict == LimitVerdict::Granted {
                    arrivals.push(now_us + send_delay_us);
                }
            }
        }
        let fullest = fullest_window(&mut arrivals);
        prop_assert!(fullest <= max_arrivals(limit), "{fullest} at {limit} a second, {stops:?}");
    }
}

/// Nobody has asked any keeper for long. Then all are asked all the time, while grants are used
/// late at first and at once later on.
#[test_case(0.0)]
#[test_case(0.1)]
#[test_case(0.3)]
#[test_case(0.39)]
#[test_case(0.5)]
#[test_case(0.67)]
#[test_case(1.0)]
#[test_case(2.1)]
#[test_case(3.9)]
#[test_case(8.0)]
#[test_case(50.0)]
fn keepers_with_full_buckets_stay_within_the_bound(limit: f64) {
    let mut grants = 0;
    for rank in 0..MAX_KEEPERS {
        let mut keeper = LimitKeeper::default();
        let share = LimitKeeperShare::at_rank(rank).unwrap();
        keeper.on_message(&message(Some(rate(limit)), 0), 0);
        let first_us = 20 * SECOND;
        for now_us in (first_us..first_us + WINDOW_US + GRANT_TTL_US).step_by(500) {
            let verdict = keeper.on_query(&query(rate(limit), 0), share, now_us);
            grants += usize::from(verdict == LimitVerdict::Granted);
        }
    }
    assert!(grants <= max_arrivals(limit), "{grants} within the window");
}

/// Demand at many nodes at once: each asks again when its refusal says so.
#[test_case(7, 0.5; "7 nodes, one in two seconds")]
#[test_case(7, 2.1; "7 nodes, two a second")]
#[test_case(7, 50.0; "7 nodes, fifty a second")]
#[test_case(30, 2.1; "30 nodes, two a second")]
#[test_case(100, 10.0; "100 nodes, ten a second")]
#[test_case(330, 0.5; "330 nodes, one in two seconds")]
#[test_case(330, 2.1; "330 nodes, two a second")]
#[test_case(330, 50.0; "330 nodes, fifty a second")]
fn the_limit_is_used_up_under_demand(nodes: usize, limit: f64) {
    const TIME_US: u64 = 60 * SECOND;
    let mut keeper = LimitKeeper::default();
    let mut next_query_us: Vec<u64> = (0..nodes).map(|node| node as u64 * 997).collect();
    let mut granted = Vec::new();
    let mut query_count = 0_u32;
    for now_us in (0..TIME_US).step_by(1_000) {
        for next_query_us in next_query_us.iter_mut().filter(|at_us| **at_us <= now_us) {
            query_count += 1;
            match keeper.on_query(&query(rate(limit), 0), LimitKeeperShare::FIRST, now_us) {
                LimitVerdict::Granted => granted.push(now_us),
                LimitVerdict::Refused { wait_us } => *next_query_us = now_us + wait_us.max(5_000),
                verdict => panic!("{verdict:?}"),
            }
        }
    }
    let used = granted.len() as f64 / (limit * TIME_US as f64 / SECOND as f64);
    assert!(used > 0.9, "{used} of the limit");
    assert!(fullest_window(&mut granted) <= max_arrivals(limit));
    // Each waiting node asks at most twice per second, in addition to the queries that are granted.
    let max_queries = (nodes as f64 / 2.0 + 4.0 * limit + 2.0) * TIME_US as f64 / SECOND as f64;
    assert!(f64::from(query_count) < max_queries, "{query_count} queries");
}

#[test]
fn a_node_grants_the_first_share_only_after_the_settling_period() {
    let mut term = LimitKeeperTerm::default();
    let check_rank = |term: &mut LimitKeeperTerm, rank: usize, from_us: u64, to_us: u64| {
        for now_us in (from_us..=to_us).step_by(250_000) {
            term.on_rank_checked(rank, now_us);
        }
    };
    assert_eq!(term.share(0, 0), LimitKeeperShare::at_rank(1));
    check_rank(&mut term, 0, 2 * SECOND, 3 * SECOND);
    assert_eq!(term.share(0, 3 * SECOND), LimitKeeperShare::at_rank(1));
    check_rank(&mut term, 0, 3 * SECOND, 6 * SECOND);
    assert_eq!(term.share(0, 6 * SECOND), Some(LimitKeeperShare::FIRST));
    assert_eq!(
        term.share(1, 6 * SECOND),
        LimitKeeperShare::at_rank(1),
        "one node is ranked before it"
    );
    assert_eq!(term.share(MAX_KEEPERS, 6 * SECOND), None);
    // The node was paused and may have been replaced: before its next rank check, and after it.
    assert_eq!(term.share(0, 8 * SECOND), LimitKeeperShare::at_rank(1));
    check_rank(&mut term, 0, 8 * SECOND, 9 * SECOND);
    assert_eq!(term.share(0, 9 * SECOND), LimitKeeperShare::at_rank(1));
    check_rank(&mut term, 0, 9 * SECOND, 11 * SECOND);
    assert_eq!(term.share(0, 11 * SECOND), Some(LimitKeeperShare::FIRST));
}

#[test]
fn the_latest_report_of_a_runner_wins() {
    let mut keeper = LimitKeeper::default();
    let query_after = |keeper: &mut LimitKeeper, age_us, now_us| {
        keeper.on_query(&query(rate(2.0), age_us), LimitKeeperShare::FIRST, now_us)
    };
    assert!(matches!(query_after(&mut keeper, 0, SECOND), LimitVerdict::Refused { .. }));
    keeper.on_message(&message(None, 0), 2 * SECOND);
    let lifted = LimitVerdict::Lifted { age_us: SECOND };
    assert_eq!(
        query_after(&mut keeper, 2 * SECOND, 3 * SECOND),
        lifted,
        "the report of the node is older"
    );
    assert!(
        matches!(query_after(&mut keeper, 0, 4 * SECOND), LimitVerdict::Refused { .. }),
        "a later report sets a limit again"
    );
    keeper.on_message(&message(None, 3 * SECOND), 5 * SECOND);
    assert_eq!(
        query_after(&mut keeper, 0, 5 * SECOND),
        LimitVerdict::Granted,
        "an older report changes nothing"
    );
}

#[test]
fn a_keeper_that_has_just_started_orders_the_reports_from_before_its_start() {
    const UPTIME_US: u64 = SECOND;
    let mut keeper = LimitKeeper::default();
    keeper.on_message(&message(None, 5 * SECOND), UPTIME_US);
    let verdict =
        keeper.on_query(&query(rate(2.0), 9 * SECOND), LimitKeeperShare::FIRST, UPTIME_US);
    assert_eq!(verdict, LimitVerdict::Lifted { age_us: 5 * SECOND });
    let ages: Vec<u64> = keeper.messages(1, UPTIME_US).iter().map(|it| it.age_us).collect();
    assert_eq!(ages, [5 * SECOND]);
}

#[test]
fn the_wait_after_a_refusal_is_bounded() {
    let mut keeper = LimitKeeper::default();
    for _ in 0..100 {
        let verdict = keeper.on_query(&query(rate(0.0), 0), LimitKeeperShare::FIRST, SECOND);
        let LimitVerdict::Refused { wait_us } = verdict else { panic!("{verdict:?}") };
        assert!(wait_us <= 2 * SECOND);
    }
}

#[test]
fn idle_runners_are_removed() {
    let mut keeper = LimitKeeper::default();
    keeper.on_message(&message(Some(rate(2.0)), 0), SECOND);
    assert_eq!(keeper.messages(8, SECOND).len(), 1);
    assert_eq!(keeper.exhausted(LimitKeeperShare::FIRST, SECOND), vec![runner()]);
    assert!(
        keeper.exhausted(LimitKeeperShare::FIRST, 2 * SECOND).is_empty(),
        "one request is left"
    );
    keeper.remove_idle(40 * SECOND);
    assert!(keeper.messages(8, 40 * SECOND).is_empty());
}

/// The rank of a node follows the order in which keepers are asked.
#[test]
fn the_rank_of_a_node_counts_reachable_nodes_before_it() {
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
    for (rank, (name, _)) in order.iter().enumerate() {
        assert_eq!(members.scheduler_rank_of(name, &shard, 40, |_| true), rank);
        assert_eq!(members.scheduler_rank_of(name, &shard, 40, |_| false), 0);
    }
    let is_not_second = |name: &NodeId| *name != *order[1].0;
    assert_eq!(members.scheduler_rank_of(order[2].0, &shard, 40, is_not_second), 1);
}

/// Only the response to a request shows that a limit has been lifted, and the first keeper may be
/// unavailable.
#[test_case(0, 2_500; "the first keeper")]
#[test_case(1, 5_000; "the second keeper")]
#[test_case(2, 5_000; "the third keeper")]
fn a_runner_with_limit_zero_is_probed_within_seconds(rank: usize, within_ms: u64) {
    let mut keeper = LimitKeeper::default();
    let share = LimitKeeperShare::at_rank(rank).unwrap();
    keeper.on_message(&message(Some(rate(0.0)), 0), 0);
    let is_granted = |keeper: &mut LimitKeeper, now_us| {
        keeper.on_query(&query(rate(0.0), 0), share, now_us) == LimitVerdict::Granted
    };
    assert!(!is_granted(&mut keeper, SECOND));
    assert!(is_granted(&mut keeper, within_ms * 1_000));
}
