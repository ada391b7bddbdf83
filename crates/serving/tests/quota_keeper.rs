//! Keepers and the nodes that query them: forwarding, partial charges, versions of the limit and
//! late replies.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{RegionId, TenantName, ZoneId};
use pitchstall_serving::quota::{
    QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaUnit, QuotaVerdict, TenantLimit,
};
use pitchstall_serving::quota_handover::{QuotaHandover, TenantHandover, MAX_HANDOVER_TENANTS};
use pitchstall_serving::quota_keeper::{QuotaKeeper, QuotaKeeperAction};
use pitchstall_serving::quota_outcome::QuotaOutcome;
use pitchstall_serving::quota_requester::{QuotaRequest, QuotaRequester, RequesterAction};
use pitchstall_serving::quota_slots::{all_keepers, keepers_of, KeeperId};
use pitchstall_serving::quota_term::QuotaKeeperTerm;
use pitchstall_serving::scheduling::Ticket;
use pitchstall_serving::store_revision::StoreRevision;
use pitchstall_serving::topology::Topology;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: u64 = 1_000_000;
const NOW_US: u64 = 60 * SECOND;
const BOUNDS: QuotaBounds = QuotaBounds { window_us: 8 * SECOND, overage: 0.1, slack: 190_000 };

fn topology() -> Topology {
    let zones = ["a1", "a2", "a3"];
    Topology::new(zones.map(|zone| (ZoneId::new(zone), RegionId::new("a"))))
}

fn limit(rate_per_s: u64) -> TenantLimit {
    TenantLimit { rate_per_s, burst: rate_per_s, unit: QuotaUnit::Tokens, plain_tokens: 200 }
}

fn tenant() -> TenantName {
    TenantName::new("t")
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000))
}

fn all_reachable(_: &KeeperId) -> bool {
    true
}

/// All keepers, with terms that do not end during a test.
struct Keepers {
    held: BTreeMap<KeeperId, QuotaKeeper>,
    messages: usize,
}

impl Keepers {
    fn new() -> Self {
        let held = all_keepers(&topology()).into_iter().map(|id| {
            let term = QuotaKeeperTerm::new(StoreRevision::without_era(1), 0, 0, 1_000 * SECOND);
            (id.clone(), QuotaKeeper::new(id, term, BOUNDS, topology()))
        });
        Self { held: held.collect(), messages: 0 }
    }

    fn slots(limit: &TenantLimit) -> Vec<KeeperId> {
        keepers_of(&tenant(), limit, &BOUNDS, &topology())
    }

    /// Sends a query and follows it through all keepers to which it is forwarded.
    fn query(&mut self, mut query: QuotaQuery, now_us: u64) -> QuotaReply {
        loop {
            self.messages += 1;
            let keeper = self.held.get_mut(&query.keeper).unwrap();
            match keeper.on_query(&query, all_reachable, now_us) {
                QuotaKeeperAction::Reply(reply) => return reply,
                QuotaKeeperAction::Forward(next) => query = next,
            }
        }
    }

    fn level(&self) -> i64 {
        let levels = self.held.values().flat_map(|keeper| keeper.levels(NOW_US));
        levels.map(|tenant| tenant.level).sum()
    }

    fn refund(&mut self, refund: &QuotaRefund) -> u64 {
        self.held.get_mut(&refund.keeper).unwrap().on_refund(refund, NOW_US)
    }
}

fn query(number: u64, cost: u64, limit: TenantLimit, version: u64) -> QuotaQuery {
    QuotaQuery {
        ticket: Ticket { incarnation: 1, number },
        reply_to: address(),
        tenant: tenant(),
        limit,
        version,
        cost,
        priority: 0,
        keeper: Keepers::slots(&limit)[0].clone(),
        tried: Vec::new(),
        unresponsive: Vec::new(),
        available_units: 0,
        charged: Vec::new(),
    }
}

fn is_granted(reply: &QuotaReply) -> bool {
    reply.verdict == QuotaVerdict::Granted
}

#[test]
fn a_keeper_without_enough_units_forwards_the_query() {
    let mut keepers = Keepers::new();
    let mut granted_by = std::collections::BTreeSet::new();
    let mut number = 0;
    loop {
        number += 1;
        let reply = keepers.query(query(number, 1_000, limit(300_000), 1), NOW_US);
        if !is_granted(&reply) {
            break;
        }
        granted_by.insert(reply.keeper);
    }
    assert_eq!(granted_by.len(), 3, "each slot was charged");
    let spent = number * 1_000;
    assert!((290_000..320_000).contains(&spent), "burst and debt of all: {spent}");
}

#[test]
fn a_cost_too_large_for_any_keeper_alone_is_charged_in_parts() {
    let mut keepers = Keepers::new();
    let reply = keepers.query(query(1, 150_000, limit(47_000), 1), NOW_US);
    assert!(is_granted(&reply));
    assert_eq!(reply.charged.len(), 3);
    assert!(keepers.messages <= 5, "{} messages", keepers.messages);
    let level = 47_000 - 150_000;
    assert!((level - 3..=level).contains(&keepers.level()), "rounded down at each keeper");
}

#[test]
fn refunded_parts_restore_the_whole_cost() {
    let mut keepers = Keepers::new();
    let reply = keepers.query(query(1, 120_000, limit(47_000), 1), NOW_US);
    let returned: u64 = reply
        .charged
        .iter()
        .map(|keeper| {
            let refund =
                QuotaRefund { ticket: reply.ticket, keeper: keeper.clone(), tenant: tenant() };
            keepers.refund(&refund) + keepers.refund(&refund)
        })
        .sum();
    assert_eq!(returned, 120_000);
}

#[test]
fn a_cost_too_large_for_all_keepers_is_refused_without_a_charge() {
    let mut keepers = Keepers::new();
    let reply = keepers.query(query(1, 500_000, limit(47_000), 1), NOW_US);
    assert!(matches!(reply.verdict, QuotaVerdict::Refused { wait_ms } if wait_ms > 1_000));
    assert!(reply.charged.is_empty());
    assert_eq!(keepers.level(), 47_000 - 2, "rounded down at two keepers");
}

#[test]
fn the_wait_lasts_until_all_keepers_together_have_enough_units() {
    let mut keepers = Keepers::new();
    let mut number = 0;
    let mut next = |cost| {
        number += 1;
        query(number, cost, limit(300_000), 1)
    };
    while is_granted(&keepers.query(next(1_000), NOW_US)) {}
    let reply = keepers.query(next(60_000), NOW_US);
    let QuotaVerdict::Refused { wait_ms } = reply.verdict else { unreachable!("{reply:?}") };
    assert!((170..230).contains(&wait_ms), "60,000 at 336,000 a second: {wait_ms}");
    let back_us = NOW_US + wait_ms * 1_000;
    assert!(is_granted(&keepers.query(next(60_000), back_us)));
}

#[test]
fn a_node_whose_term_may_have_ended_is_not_a_keeper() {
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let term = QuotaKeeperTerm::new(StoreRevision::without_era(1), 0, 0, 15 * SECOND);
    let mut keeper = QuotaKeeper::new(id.clone(), term, BOUNDS, topology());
    let mut query_at = |number, now_us| match keeper.on_query(
        &query(number, 200, limit(300_000), 1),
        all_reachable,
        now_us,
    ) {
        QuotaKeeperAction::Reply(reply) => reply.verdict,
        QuotaKeeperAction::Forward(_) => unreachable!("there is room"),
    };
    assert_eq!(query_at(1, 12 * SECOND), QuotaVerdict::Granted);
    assert_eq!(query_at(2, 13 * SECOND), QuotaVerdict::NotKeeper);
    keeper.renew(10 * SECOND, 15 * SECOND);
    let renewed = keeper.on_query(&query(3, 200, limit(300_000), 1), all_reachable, 13 * SECOND);
    assert!(matches!(renewed, QuotaKeeperAction::Reply(reply) if is_granted(&reply)));
}

#[test]
fn the_limit_of_the_latest_version_applies_to_all_queries() {
    let mut keepers = Keepers::new();
    keepers.query(query(1, 200, limit(300_000), 5), NOW_US);
    keepers.query(query(2, 200, limit(60_000), 6), NOW_US);
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let level = |keepers: &Keepers| keepers.held[&id].levels(NOW_US)[0].clone();
    let (lowered, version) = (level(&keepers).level, level(&keepers).version);
    assert!(lowered <= 20_000 && version == 6, "{lowered} by version {version}");
    // A node that has not received the new version queries with the old limit.
    for number in 3..6 {
        keepers.query(query(number, 200, limit(300_000), 5), NOW_US + number * SECOND);
    }
    assert!(level(&keepers).level <= 20_000 && level(&keepers).version == 6);
}

#[test]
fn a_tenant_first_queried_after_a_configuration_change_starts_with_nothing() {
    let mut keepers = Keepers::new();
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let mut other = query(1, 200, limit(300_000), 5);
    other.tenant = TenantName::new("other");
    let keeper = keepers.held.get_mut(&id).unwrap();
    keeper.on_query(&other, all_reachable, NOW_US);
    other.version = 6;
    keeper.on_query(&other, all_reachable, NOW_US + 1);
    let reply = keeper.on_query(&query(2, 50_000, limit(300_000), 6), all_reachable, NOW_US + 2);
    assert!(matches!(reply, QuotaKeeperAction::Forward(_)), "{reply:?}");
}

#[test]
fn a_cost_in_the_unit_of_an_older_version_is_converted() {
    let requests =
        TenantLimit { rate_per_s: 100, burst: 100, unit: QuotaUnit::Requests, plain_tokens: 0 };
    let mut keepers = Keepers::new();
    keepers.query(query(1, 1, requests, 6), NOW_US);
    let reply = keepers.query(query(2, 17_000, limit(300_000), 5), NOW_US);
    assert!(is_granted(&reply), "one request");
}

#[test]
fn idle_tenants_are_evicted() {
    let id = KeeperId { zone: ZoneId::new("a1"), number: 0 };
    let term = QuotaKeeperTerm::new(StoreRevision::without_era(1), 0, 0, 1_000 * SECOND);
    let mut keeper = QuotaKeeper::new(id.clone(), term, BOUNDS, topology());
    let mut query_at = |name: String, number, now_us| {
        let mut query = query(number, 200, limit(300_000), 1);
        query.tenant = TenantName::new(name);
        query.keeper = id.clone();
        keeper.on_query(&query, |_| false, now_us);
        keeper.levels(now_us).len()
    };
    let met =
        (0..2_300).map(|number| query_at(format!("t-{number}"), number, NOW_US)).max().unwrap();
    assert!(met > 900, "about half of them have a slot here: {met}");
    let later_us = NOW_US + 30 * SECOND;
    assert!(query_at("busy".into(), 10_000, later_us) <= 1);
}

fn handed_over(keeper: QuotaKeeper) -> QuotaKeeper {
    let handover = keeper.hand_over(NOW_US);
    let revision = StoreRevision::without_era(2);
    let term = QuotaKeeperTerm::new(revision, NOW_US, NOW_US, 1_000 * SECOND);
    QuotaKeeper::resume(term, BOUNDS, topology(), handover)
}

#[test]
fn a_successor_grants_what_the_previous_holder_had_left() {
    let mut keepers = Keepers::new();
    assert!(is_granted(&keepers.query(query(1, 10_000, limit(47_000), 1), NOW_US)));
    let left = keepers.level();
    keepers.held = keepers.held.into_iter().map(|(id, held)| (id, handed_over(held))).collect();
    assert_eq!(keepers.level(), left);
    assert!(is_granted(&keepers.query(query(2, 10_000, limit(47_000), 1), NOW_US)));
}

#[test]
fn a_tenant_that_the_previous_holder_was_not_queried_for_has_its_units_at_the_successor() {
    let mut keepers = Keepers::new();
    keepers.held = keepers.held.into_iter().map(|(id, held)| (id, handed_over(held))).collect();
    assert!(is_granted(&keepers.query(query(1, 10_000, limit(47_000), 1), NOW_US)));
}

#[test]
fn a_handover_that_leaves_tenants_out_vouches_for_no_other_tenant() {
    let handed = TenantHandover { tenant: tenant(), limit: limit(1), version: 1, available: 0 };
    let keeper = Keepers::slots(&limit(47_000))[0].clone();
    let revision = StoreRevision::without_era(1);
    let handover = |count| {
        let tenants = vec![handed.clone(); count];
        QuotaHandover::new(keeper.clone(), revision, 1, NOW_US, tenants)
    };
    assert_eq!(handover(MAX_HANDOVER_TENANTS).counted_for_us, NOW_US);
    assert_eq!(handover(MAX_HANDOVER_TENANTS + 1).counted_for_us, 0);
    assert_eq!(handover(MAX_HANDOVER_TENANTS + 1).tenants.len(), MAX_HANDOVER_TENANTS);
}

fn requester() -> QuotaRequester {
    QuotaRequester::new(ZoneId::new("a1"), address(), BOUNDS, topology())
}

fn request(number: u64) -> QuotaRequest {
    QuotaRequest {
        ticket: Ticket { incarnation: 1, number },
        tenant: tenant(),
        limit: limit(300_000),
        version: 1,
        cost: 1_000,
        priority: 0,
    }
}

fn queried(action: RequesterAction) -> QuotaQuery {
    match action {
        RequesterAction::Query(query, _) => query,
        other => unreachable!("{other:?}"),
    }
}

fn reply(query: &QuotaQuery, verdict: QuotaVerdict) -> QuotaReply {
    let (ticket, keeper) = (query.ticket, query.keeper.clone());
    QuotaReply { ticket, keeper, verdict, level: 0, charged: Vec::new() }
}

#[test]
fn the_keeper_of_the_own_zone_is_queried_first() {
    let query = queried(requester().start(request(1), all_reachable, 0));
    assert_eq!(query.keeper.zone.as_str(), "a1");
}

#[test]
fn an_unresponsive_keeper_is_skipped_and_queried_last_for_a_while() {
    let mut requester = requester();
    let first = queried(requester.start(request(1), all_reachable, 0));
    let second =
        queried(requester.on_reply_timeout(first.ticket, &first.keeper, all_reachable, 30_000));
    assert_ne!(second.keeper, first.keeper);
    assert_eq!(
        second.unresponsive,
        vec![first.keeper.clone()],
        "the query is not forwarded to it either"
    );
    let other = queried(requester.start(request(2), all_reachable, 40_000));
    assert_ne!(other.keeper, first.keeper);
    let later = queried(requester.start(request(3), all_reachable, 2 * SECOND));
    assert_eq!(later.keeper, first.keeper);
}

#[test]
fn a_second_grant_is_refunded_once() {
    let mut requester = requester();
    let first = queried(requester.start(request(1), all_reachable, 0));
    let second =
        queried(requester.on_reply_timeout(first.ticket, &first.keeper, all_reachable, 30_000));
    let settled = requester.on_reply(&reply(&second, QuotaVerdict::Granted), all_reachable, 31_000);
    assert!(matches!(settled, RequesterAction::Settled(_, QuotaOutcome::Granted(_), _)));
    let late = reply(&first, QuotaVerdict::Granted);
    match requester.on_reply(&late, all_reachable, 90_000) {
        RequesterAction::Refund(refunds) => assert_eq!(refunds[0].keeper, first.keeper),
        other => unreachable!("{other:?}"),
    }
    assert_eq!(requester.on_reply(&late, all_reachable, 91_000), RequesterAction::Noop);
}

#[test]
fn a_duplicate_grant_is_neither_used_again_nor_refunded() {
    let mut requester = requester();
    let query = queried(requester.start(request(1), all_reachable, 0));
    let granted = reply(&query, QuotaVerdict::Granted);
    requester.on_reply(&granted, all_reachable, 1_000);
    assert_eq!(requester.on_reply(&granted, all_reachable, 2_000), RequesterAction::Noop);
}

#[test]
fn a_grant_is_usable_for_half_a_second_from_the_first_query() {
    let mut requester = requester();
    let first = queried(requester.start(request(1), all_reachable, 0));
    let second =
        queried(requester.on_reply_timeout(first.ticket, &first.keeper, all_reachable, 30_000));
    let action = requester.on_reply(&reply(&second, QuotaVerdict::Granted), all_reachable, 31_000);
    let RequesterAction::Settled(_, QuotaOutcome::Granted(grant), _) = action else {
        unreachable!()
    };
    assert!(grant.is_usable(499_999) && !grant.is_usable(500_000));
    assert_eq!(grant.into_refunds()[0].keeper, second.keeper);
}

#[test]
fn a_node_without_reachable_keepers_settles_at_once() {
    let action = requester().start(request(1), |_| false, 0);
    assert!(matches!(action, RequesterAction::Settled(_, QuotaOutcome::Unreachable, _)));
}

#[test]
fn a_node_without_replies_gives_up_in_time() {
    let mut requester = requester();
    let mut query = queried(requester.start(request(1), all_reachable, 0));
    let mut queries = 1;
    for now_us in (30_000..).step_by(30_000) {
        match requester.on_reply_timeout(query.ticket, &query.keeper, all_reachable, now_us) {
            RequesterAction::Query(next, _) => query = next,
            RequesterAction::Settled(_, QuotaOutcome::Unreachable, _) => break,
            other => unreachable!("{other:?}"),
        }
        queries += 1;
    }
    assert_eq!(queries, 6);
    assert_eq!(requester.pending_count(), 0);
}

#[test]
fn a_node_that_is_not_a_keeper_is_not_queried_again_for_the_run() {
    let mut requester = requester();
    let first = queried(requester.start(request(1), all_reachable, 0));
    let second =
        queried(requester.on_reply(&reply(&first, QuotaVerdict::NotKeeper), all_reachable, 1_000));
    let third =
        queried(requester.on_reply(&reply(&second, QuotaVerdict::NotKeeper), all_reachable, 2_000));
    let action = requester.on_reply(&reply(&third, QuotaVerdict::NotKeeper), all_reachable, 3_000);
    assert!(matches!(action, RequesterAction::Settled(_, QuotaOutcome::Unreachable, _)));
}

#[test]
fn unused_partial_charges_are_refunded() {
    let mut requester = requester();
    let query = queried(requester.start(request(1), all_reachable, 0));
    let payer = KeeperId { zone: ZoneId::new("a2"), number: 1 };
    let mut refused = reply(&query, QuotaVerdict::Refused { wait_ms: 10 });
    refused.charged.push(payer.clone());
    match requester.on_reply(&refused, all_reachable, 1_000) {
        RequesterAction::Settled(_, QuotaOutcome::Refused { .. }, refunds) => {
            assert_eq!(refunds[0].keeper, payer);
        }
        other => unreachable!("{other:?}"),
    }
}

#[test]
fn a_grant_for_a_disconnected_client_is_refunded() {
    let mut requester = requester();
    let query = queried(requester.start(request(1), all_reachable, 0));
    requester.cancel(query.ticket, 500);
    let action = requester.on_reply(&reply(&query, QuotaVerdict::Granted), all_reachable, 1_000);
    assert!(matches!(action, RequesterAction::Refund(refunds) if refunds.len() == 1));
}
