//! The keepers of a tenant's limit, the order in which they are queried, and the nodes that may
//! hold them, with their terms.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{NodeId, RegionId, TenantName, ZoneId};
use pitchstall_serving::membership::Member;
use pitchstall_serving::quota::{QuotaBounds, QuotaUnit, TenantLimit};
use pitchstall_serving::quota_candidacy::{
    candidate_rank, Candidacy, CandidacyAction, QuotaKeeperKey,
};
use pitchstall_serving::quota_slots::{all_keepers, keepers_of, query_order, KeeperId};
use pitchstall_serving::quota_term::QuotaKeeperTerm;
use pitchstall_serving::store_revision::StoreRevision;
use pitchstall_serving::topology::Topology;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use test_case::test_case;

const SECOND: u64 = 1_000_000;
const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };

fn tokens(rate_per_s: u64) -> TenantLimit {
    TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
}

/// Zones `a1`, `a2`, `b1` and so on, for `regions` regions of `zones` zones each.
fn topology(regions: u8, zones: u8) -> Topology {
    let region = |number: u8| char::from(b'a' + number).to_string();
    Topology::new((0..regions).flat_map(|number| {
        let region = region(number);
        (1..=zones).map(move |zone| {
            (ZoneId::new(format!("{region}{zone}")), RegionId::new(region.as_str()))
        })
    }))
}

fn tenant(number: usize) -> TenantName {
    TenantName::new(format!("tenant-{number}"))
}

#[test_case(47_000, 3; "the smallest limit seen")]
#[test_case(737_214, 3; "the largest limit seen")]
#[test_case(100, 2; "only as many slots as fit a large request")]
fn a_limit_has_as_many_slots_as_fit_a_large_request(rate: u64, slots: usize) {
    let bounds = if rate == 100 { QuotaBounds { slack: 80_000, ..BOUNDS } } else { BOUNDS };
    let keepers = keepers_of(&tenant(1), &tokens(rate), &bounds, &topology(1, 3));
    assert_eq!(keepers.len(), slots);
    let zones: BTreeSet<&ZoneId> = keepers.iter().map(|keeper| &keeper.zone).collect();
    assert_eq!(zones.len(), slots, "each in another zone");
}

#[test]
fn a_limit_of_few_requests_is_not_split() {
    let limit =
        TenantLimit { rate_per_s: 10, burst: 5, unit: QuotaUnit::Requests, plain_tokens: 0 };
    let bounds = QuotaBounds { slack: 0, ..BOUNDS };
    assert_eq!(keepers_of(&tenant(1), &limit, &bounds, &topology(1, 3)).len(), 1);
}

#[test]
fn a_deployment_of_one_zone_has_two_slots_at_different_keepers() {
    let keepers = keepers_of(&tenant(1), &tokens(737_214), &BOUNDS, &topology(1, 1));
    assert_eq!(keepers.len(), 2);
    assert_ne!(keepers[0], keepers[1]);
}

#[test]
fn without_configured_zones_there_are_still_keepers() {
    let topology = Topology::default();
    let keepers = keepers_of(&tenant(1), &tokens(737_214), &BOUNDS, &topology);
    assert_eq!(keepers.len(), 2);
    assert!(keepers.iter().all(|keeper| all_keepers(&topology).contains(keeper)));
}

#[test]
fn tenants_are_spread_over_the_keepers_of_a_zone() {
    let topology = topology(1, 3);
    let mut counts: BTreeMap<KeeperId, usize> = BTreeMap::new();
    for number in 0..600 {
        for keeper in keepers_of(&tenant(number), &tokens(737_214), &BOUNDS, &topology) {
            *counts.entry(keeper).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 6);
    assert!(counts.values().all(|count| (240..360).contains(count)), "{counts:?}");
}

#[test]
fn a_node_queries_its_own_zone_then_its_region_then_others() {
    let topology = topology(2, 2);
    let keepers = all_keepers(&topology);
    let zone = ZoneId::new("b1");
    let ordered = query_order(&keepers, &zone, &topology);
    let zones: Vec<&str> = ordered.iter().map(|keeper| keeper.zone.as_str()).collect();
    assert_eq!(zones[..4], ["b1", "b1", "b2", "b2"]);
    assert_eq!(ordered, query_order(&keepers, &zone, &topology), "and always in that order");
}

#[test]
fn many_zones_have_many_slots_only_if_each_fits_a_large_request() {
    let topology = topology(8, 4);
    let count = |rate| keepers_of(&tenant(1), &tokens(rate), &BOUNDS, &topology).len();
    assert!(count(47_000) < 8);
    assert!(count(737_214) > 12);
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn members(zones: &[(&str, u32)]) -> BTreeMap<NodeId, Member> {
    let member = |(number, (zone, processor)): (usize, &(&str, u32))| {
        let name = NodeId::new(format!("node-{number}"));
        let address = address(number as u8);
        (name, Member { address, zone: ZoneId::new(zone), millicpus: *processor })
    };
    zones.iter().enumerate().map(member).collect()
}

fn keeper(zone: &str) -> KeeperId {
    KeeperId { zone: ZoneId::new(zone), number: 0 }
}

#[test]
fn the_strongest_nodes_of_the_zone_are_the_first_candidates() {
    let members = members(&[("a1", 500), ("a1", 1_000), ("a2", 4_000), ("a1", 500)]);
    let rank = |number: usize| {
        candidate_rank(&keeper("a1"), &NodeId::new(format!("node-{number}")), members.iter())
    };
    assert_eq!((rank(1), rank(2)), (0, 3));
    let ranks: BTreeSet<usize> = (0..4).map(rank).collect();
    assert_eq!(ranks.len(), 4, "no two have the same rank");
}

#[test]
fn a_zone_without_nodes_has_candidates_of_other_zones() {
    let members = members(&[("a1", 500), ("a2", 1_000)]);
    assert_eq!(candidate_rank(&keeper("b1"), &NodeId::new("node-1"), members.iter()), 0);
}

#[test]
fn candidates_attempt_to_claim_an_absent_key_one_after_the_other() {
    let first_attempt = |rank: usize| {
        let mut candidacy = Candidacy::new();
        (0..100 * SECOND)
            .step_by(50_000)
            .find(|us| candidacy.decide(None, address(1), rank, *us) == CandidacyAction::Acquire)
    };
    let attempts: Vec<u64> = (0..5).map(|rank| first_attempt(rank).unwrap()).collect();
    assert!(attempts[0] >= 200_000);
    assert!(attempts.windows(2).all(|pair| pair[1] >= pair[0] + 250_000), "{attempts:?}");
    assert!(
        first_attempt(usize::MAX).unwrap() < 5 * SECOND,
        "the last candidate attempts it soon enough"
    );
}

#[test]
fn a_failed_attempt_is_not_repeated_at_once() {
    let mut candidacy = Candidacy::new();
    let attempts = (0..10 * SECOND)
        .step_by(50_000)
        .filter(|now_us| candidacy.decide(None, address(1), 0, *now_us) != CandidacyAction::Wait);
    assert_eq!(attempts.count(), 10);
}

#[test]
fn a_key_that_another_node_holds_is_left_alone() {
    let mut candidacy = Candidacy::new();
    let key = QuotaKeeperKey { holder: address(2), revision: StoreRevision::without_era(7) };
    for now_us in (0..10 * SECOND).step_by(50_000) {
        let action = candidacy.decide(Some(&key), address(1), 0, now_us);
        assert_eq!(action, CandidacyAction::Wait);
    }
}

#[test]
fn a_restarted_process_takes_over_its_previous_key_at_once() {
    let key = QuotaKeeperKey { holder: address(1), revision: StoreRevision::without_era(7) };
    let action = Candidacy::new().decide(Some(&key), address(1), 5, 0);
    assert_eq!(action, CandidacyAction::TakeOver { revision: StoreRevision::without_era(7) });
}

#[test]
fn a_term_ends_before_the_lease_counted_from_sending_its_renewal() {
    let ttl_us = 15 * SECOND;
    let mut term =
        QuotaKeeperTerm::new(StoreRevision::without_era(7), 2 * SECOND, 6 * SECOND, ttl_us);
    assert_eq!(term.started_at_us(), 6 * SECOND);
    assert!(term.is_valid(14 * SECOND) && !term.is_valid(15 * SECOND));
    term.renew(10 * SECOND, ttl_us);
    assert!(term.is_valid(22 * SECOND) && !term.is_valid(23 * SECOND));
    term.renew(3 * SECOND, ttl_us);
    assert_eq!(term.remaining_us(22 * SECOND), 750_000, "a late reply does not shorten the term");
}
