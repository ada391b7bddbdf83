//! Keepers and the nodes that ask them: hand-on, parts, versions of the limit, late answers.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{RegionId, TenantName, ZoneId};
use pitchstall_serving::quota::{
    QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaUnit, QuotaVerdict, TenantLimit,
};
use pitchstall_serving::quota_keeper::{Keeper, KeeperAction};
use pitchstall_serving::quota_outcome::QuotaOutcome;
use pitchstall_serving::quota_requester::{QuotaRequest, QuotaRequester, RequesterAction};
use pitchstall_serving::quota_slots::{all_keepers, keepers_of, KeeperId};
use pitchstall_serving::quota_term::KeeperTerm;
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

fn anyone(_: &KeeperId) -> bool {
    true
}

/// All keepers, held for long.
struct Keepers {
    held: BTreeMap<KeeperId, Keeper>,
    words: usize,
}

impl Keepers {
    fn new() -> Self {
        let held = all_keepers(&topology()).into_iter().map(|id| {
            let term = KeeperTerm::new(StoreRevision::without_era(1), 0, 0, 1_000 * SECOND);
            (id.clone(), Keeper::new(id, term, BOUNDS, topology()))
        });
        Self { held: held.collect(), words: 0 }
    }

    fn slots(limit: &TenantLimit) -> Vec<KeeperId> {
        keepers_of(&tenant(), limit, &BOUNDS, &topology())
    }

    /// Asks, with every hand-on.
    fn ask(&mut self, mut question: QuotaQuery, now_us: u64) -> QuotaReply {
        loop {
            self.words += 1;
            let keeper = self.held.get_mut(&question.keeper).unwrap();
            match keeper.on_query(&question, anyone, now_us) {
                KeeperAction::Reply(answer) => return answer,
                KeeperAction::Forward(next) => question = next,
            }
        }
    }

    fn level(&self) -> i64 {
        let levels = self.held.values().flat_map(|keeper| keeper.levels(NOW_US));
        levels.map(|tenant| tenant.level).sum()
    }

    fn give_back(&mut self, word: &QuotaRefund) -> u64 {
        self.held.get_mut(&word.keeper).unwrap().on_refund(word, NOW_US)
    }
}

fn question(number: u64, cost: u64, limit: TenantLimit, version: u64) -> QuotaQuery {
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

fn is_granted(answer: &QuotaReply) -> bool {
    answer.verdict == QuotaVerdict::Granted
}

#[test]
fn a_keeper_that_is_short_hands_the_question_on() {
    let mut keepers = Keepers::new();
    let mut granted_by = std::collections::BTreeSet::new();
    let mut number = 0;
    loop {
        number += 1;
        let answer = keepers.ask(question(number, 1_000, limit(300_000), 1), NOW_US);
        if !is_granted(&answer) {
            break;
        }
        granted_by.insert(answer.keeper);
    }
    assert_eq!(granted_by.len(), 3, "each slot has paid");
    let spent = number * 1_000;
    assert!((290_000..320_000).contains(&spent), "burst and debt of all: {spent}");
}

#[test]
fn what_no_keeper_has_room_for_alone_is_paid_in_parts() {
    let mut keepers = Keepers::new();
    let answer = keepers.ask(question(1, 150_000, limit(47_000), 1), NOW_US);
    assert!(is_granted(&answer));
    assert_eq!(answer.charged.len(), 3);
    assert!(keepers.words <= 5, "{} words", keepers.words);
    let level = 47_000 - 150_000;
    assert!((level - 3..=level).contains(&keepers.level()), "rounded down at each keeper");
}

#[test]
fn parts_that_are_given_back_leave_all_as_it_was() {
    let mut keepers = Keepers::new();
    let answer = keepers.ask(question(1, 120_000, limit(47_000), 1), NOW_US);
    let returned: u64 = answer
        .charged
        .iter()
        .map(|keeper| {
            let word =
                QuotaRefund { ticket: answer.ticket, keeper: keeper.clone(), tenant: tenant() };
            keepers.give_back(&word) + keepers.give_back(&word)
        })
        .sum();
    assert_eq!(returned, 120_000);
}

#[test]
fn what_all_together_have_no_room_for_is_refused_and_nothing_is_paid() {
    let mut keepers = Keepers::new();
    let answer = keepers.ask(question(1, 500_000, limit(47_000), 1), NOW_US);
    assert!(matches!(answer.verdict, QuotaVerdict::Refused { wait_ms } if wait_ms > 1_000));
    assert!(answer.charged.is_empty());
    assert_eq!(keepers.level(), 47_000 - 2, "rounded down at two keepers");
}

#[test]
fn the_wait_is_the_time_until_all_together_have_room() {
    let mut keepers = Keepers::new();
    let mut number = 0;
    let mut next = |cost| {
        number += 1;
        question(number, cost, limit(300_000), 1)
    };
    while is_granted(&keepers.ask(next(1_000), NOW_US)) {}
    let answer = keepers.ask(next(60_000), NOW_US);
    let QuotaVerdict::Refused { wait_ms } = answer.verdict else { unreachable!("{answer:?}") };
    assert!((170..230).contains(&wait_ms), "60,000 at 336,000 a second: {wait_ms}");
    let back_us = NOW_US + wait_ms * 1_000;
    assert!(is_granted(&keepers.ask(next(60_000), back_us)));
}

#[test]
fn a_node_whose_term_may_be_over_is_no_keeper() {
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let term = KeeperTerm::new(StoreRevision::without_era(1), 0, 0, 15 * SECOND);
    let mut keeper = Keeper::new(id.clone(), term, BOUNDS, topology());
    let mut ask = |number, now_us| match keeper.on_query(
        &question(number, 200, limit(300_000), 1),
        anyone,
        now_us,
    ) {
        KeeperAction::Reply(answer) => answer.verdict,
        KeeperAction::Forward(_) => unreachable!("there is room"),
    };
    assert_eq!(ask(1, 12 * SECOND), QuotaVerdict::Granted);
    assert_eq!(ask(2, 13 * SECOND), QuotaVerdict::NotKeeper);
    keeper.renew(10 * SECOND, 15 * SECOND);
    let renewed = keeper.on_query(&question(3, 200, limit(300_000), 1), anyone, 13 * SECOND);
    assert!(matches!(renewed, KeeperAction::Reply(answer) if is_granted(&answer)));
}

#[test]
fn the_limit_of_the_latest_version_counts_whoever_asks() {
    let mut keepers = Keepers::new();
    keepers.ask(question(1, 200, limit(300_000), 5), NOW_US);
    keepers.ask(question(2, 200, limit(60_000), 6), NOW_US);
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let level = |keepers: &Keepers| keepers.held[&id].levels(NOW_US)[0].clone();
    let (lowered, version) = (level(&keepers).level, level(&keepers).version);
    assert!(lowered <= 20_000 && version == 6, "{lowered} by version {version}");
    // A node that has not heard of it asks by the old one.
    for number in 3..6 {
        keepers.ask(question(number, 200, limit(300_000), 5), NOW_US + number * SECOND);
    }
    assert!(level(&keepers).level <= 20_000 && level(&keepers).version == 6);
}

#[test]
fn a_tenant_first_met_after_a_change_of_the_configuration_begins_with_nothing() {
    let mut keepers = Keepers::new();
    let id = Keepers::slots(&limit(300_000))[0].clone();
    let mut other = question(1, 200, limit(300_000), 5);
    other.tenant = TenantName::new("other");
    let keeper = keepers.held.get_mut(&id).unwrap();
    keeper.on_query(&other, anyone, NOW_US);
    other.version = 6;
    keeper.on_query(&other, anyone, NOW_US + 1);
    let reply = keeper.on_query(&question(2, 50_000, limit(300_000), 6), anyone, NOW_US + 2);
    assert!(matches!(reply, KeeperAction::Forward(_)), "{reply:?}");
}

#[test]
fn a_cost_in_the_unit_of_an_older_version_is_counted_by_the_latest() {
    let requests =
        TenantLimit { rate_per_s: 100, burst: 100, unit: QuotaUnit::Requests, plain_tokens: 0 };
    let mut keepers = Keepers::new();
    keepers.ask(question(1, 1, requests, 6), NOW_US);
    let answer = keepers.ask(question(2, 17_000, limit(300_000), 5), NOW_US);
    assert!(is_granted(&answer), "one request");
}

#[test]
fn idle_tenants_are_forgotten() {
    let id = KeeperId { zone: ZoneId::new("a1"), number: 0 };
    let term = KeeperTerm::new(StoreRevision::without_era(1), 0, 0, 1_000 * SECOND);
    let mut keeper = Keeper::new(id.clone(), term, BOUNDS, topology());
    let mut ask = |name: String, number, now_us| {
        let mut question = question(number, 200, limit(300_000), 1);
        question.tenant = TenantName::new(name);
        question.keeper = id.clone();
        keeper.on_query(&question, |_| false, now_us);
        keeper.levels(now_us).len()
    };
    let met = (0..2_300).map(|number| ask(format!("t-{number}"), number, NOW_US)).max().unwrap();
    assert!(met > 900, "about half of them have a slot here: {met}");
    let later_us = NOW_US + 30 * SECOND;
    assert!(ask("busy".into(), 10_000, later_us) <= 1);
}

fn desk() -> QuotaRequester {
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

fn asked(step: RequesterAction) -> QuotaQuery {
    match step {
        RequesterAction::Query(question, _) => question,
        other => unreachable!("{other:?}"),
    }
}

fn answer(question: &QuotaQuery, verdict: QuotaVerdict) -> QuotaReply {
    let (ticket, keeper) = (question.ticket, question.keeper.clone());
    QuotaReply { ticket, keeper, verdict, level: 0, charged: Vec::new() }
}

#[test]
fn the_keeper_of_the_own_zone_is_asked_first() {
    let question = asked(desk().start(request(1), anyone, 0));
    assert_eq!(question.keeper.zone.as_str(), "a1");
}

#[test]
fn a_keeper_that_does_not_answer_is_passed_over_and_asked_last_for_a_while() {
    let mut desk = desk();
    let first = asked(desk.start(request(1), anyone, 0));
    let second = asked(desk.on_reply_timeout(first.ticket, &first.keeper, anyone, 30_000));
    assert_ne!(second.keeper, first.keeper);
    assert_eq!(second.unresponsive, vec![first.keeper.clone()], "nor is it handed on to it");
    let other = asked(desk.start(request(2), anyone, 40_000));
    assert_ne!(other.keeper, first.keeper);
    let later = asked(desk.start(request(3), anyone, 2 * SECOND));
    assert_eq!(later.keeper, first.keeper);
}

#[test]
fn a_grant_that_comes_after_another_one_is_given_back_once() {
    let mut desk = desk();
    let first = asked(desk.start(request(1), anyone, 0));
    let second = asked(desk.on_reply_timeout(first.ticket, &first.keeper, anyone, 30_000));
    let settled = desk.on_reply(&answer(&second, QuotaVerdict::Granted), anyone, 31_000);
    assert!(matches!(settled, RequesterAction::Settled(_, QuotaOutcome::Granted(_), _)));
    let late = answer(&first, QuotaVerdict::Granted);
    match desk.on_reply(&late, anyone, 90_000) {
        RequesterAction::Refund(words) => assert_eq!(words[0].keeper, first.keeper),
        other => unreachable!("{other:?}"),
    }
    assert_eq!(desk.on_reply(&late, anyone, 91_000), RequesterAction::Noop);
}

#[test]
fn a_grant_that_comes_twice_is_neither_used_twice_nor_given_back() {
    let mut desk = desk();
    let question = asked(desk.start(request(1), anyone, 0));
    let granted = answer(&question, QuotaVerdict::Granted);
    desk.on_reply(&granted, anyone, 1_000);
    assert_eq!(desk.on_reply(&granted, anyone, 2_000), RequesterAction::Noop);
}

#[test]
fn a_grant_is_usable_for_half_a_second_from_the_first_question() {
    let mut desk = desk();
    let first = asked(desk.start(request(1), anyone, 0));
    let second = asked(desk.on_reply_timeout(first.ticket, &first.keeper, anyone, 30_000));
    let step = desk.on_reply(&answer(&second, QuotaVerdict::Granted), anyone, 31_000);
    let RequesterAction::Settled(_, QuotaOutcome::Granted(grant), _) = step else { unreachable!() };
    assert!(grant.is_usable(499_999) && !grant.is_usable(500_000));
    assert_eq!(grant.into_refunds()[0].keeper, second.keeper);
}

#[test]
fn a_node_that_can_ask_nobody_says_so_at_once() {
    let step = desk().start(request(1), |_| false, 0);
    assert!(matches!(step, RequesterAction::Settled(_, QuotaOutcome::Unreachable, _)));
}

#[test]
fn a_node_that_nobody_answers_gives_up_in_time() {
    let mut desk = desk();
    let mut question = asked(desk.start(request(1), anyone, 0));
    let mut questions = 1;
    for now_us in (30_000..).step_by(30_000) {
        match desk.on_reply_timeout(question.ticket, &question.keeper, anyone, now_us) {
            RequesterAction::Query(next, _) => question = next,
            RequesterAction::Settled(_, QuotaOutcome::Unreachable, _) => break,
            other => unreachable!("{other:?}"),
        }
        questions += 1;
    }
    assert_eq!(questions, 6);
    assert_eq!(desk.pending_count(), 0);
}

#[test]
fn one_that_is_no_keeper_is_not_asked_again_for_the_run() {
    let mut desk = desk();
    let first = asked(desk.start(request(1), anyone, 0));
    let second = asked(desk.on_reply(&answer(&first, QuotaVerdict::NotKeeper), anyone, 1_000));
    let third = asked(desk.on_reply(&answer(&second, QuotaVerdict::NotKeeper), anyone, 2_000));
    let step = desk.on_reply(&answer(&third, QuotaVerdict::NotKeeper), anyone, 3_000);
    assert!(matches!(step, RequesterAction::Settled(_, QuotaOutcome::Unreachable, _)));
}

#[test]
fn parts_that_were_paid_in_vain_are_given_back() {
    let mut desk = desk();
    let question = asked(desk.start(request(1), anyone, 0));
    let payer = KeeperId { zone: ZoneId::new("a2"), number: 1 };
    let mut refused = answer(&question, QuotaVerdict::Refused { wait_ms: 10 });
    refused.charged.push(payer.clone());
    match desk.on_reply(&refused, anyone, 1_000) {
        RequesterAction::Settled(_, QuotaOutcome::Refused { .. }, words) => {
            assert_eq!(words[0].keeper, payer);
        }
        other => unreachable!("{other:?}"),
    }
}

#[test]
fn a_grant_for_a_caller_that_has_gone_is_given_back() {
    let mut desk = desk();
    let question = asked(desk.start(request(1), anyone, 0));
    desk.cancel(question.ticket, 500);
    let step = desk.on_reply(&answer(&question, QuotaVerdict::Granted), anyone, 1_000);
    assert!(matches!(step, RequesterAction::Refund(words) if words.len() == 1));
}
