//! Followers whose sources freeze just before a runner leaves, in virtual time: the product's choice of sources, its
//! readers and its judgement of entries that went. The store responds all the time.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::freshness::ReplicaFreshness;
use pitchstall_serving::full_read_gate::Occasion;
use pitchstall_serving::ids::{NodeId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::source_choice::{ChoiceContext, NextQuery, SourceChoice, SourceReply};
use pitchstall_serving::start_up::Starting;
use pitchstall_serving::store_replica::StoreUpdate;
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreRevision};
use pitchstall_serving::topology::Topology;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use test_case::test_case;

const MILLI_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLI_US;
/// Time from a change in the store until it must be in force at every node.
const BOUND_US: u64 = 2 * SECOND_US;
const FREEZE_US: u64 = 10 * SECOND_US;
const CHANGE_US: u64 = FREEZE_US + 100 * MILLI_US;
/// Time until a frozen source counts as silent, in addition to the wait that the query requests.
const REPLY_TIMEOUT_US: u64 = 600 * MILLI_US;
const RETRY_PAUSE_US: u64 = 30 * MILLI_US;
const QUERY_WAIT_PERCENT: u64 = 12;
/// Longest time since the store confirmed the replica of a live reader, in percent of the contact time.
const MAX_READER_AGE_PERCENT: u64 = 32;
/// Time of a call to the store, and of a reply.
const RESPONSE_US: u64 = 20 * MILLI_US;
/// Phases of the queries and of the readers' confirmations, by which the plays differ.
const PHASES: u64 = 24;
/// Calls of a follower to the store from the freeze to the end of a play.
const MAX_CALLS: usize = 8;

struct Site {
    nodes: usize,
    zones: usize,
    contact_us: u64,
}

struct Follower<'a> {
    site: &'a Site,
    sources: Vec<SocketAddr>,
    frozen: BTreeSet<SocketAddr>,
    choice: SourceChoice,
    freshness: ReplicaFreshness,
    now_us: u64,
    phase: u64,
    calls: usize,
    /// When the change is in force here, also if the entry that went was taken for a lapsed one.
    in_force_us: Option<u64>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, u8::try_from(number).unwrap()).into(), 9_000)
}

fn view_of(site: &Site, own: usize) -> Membership {
    let name = |number| NodeId::new(format!("node-{number:02}"));
    let member = |number: usize| Member {
        address: address(number),
        zone: ZoneId::new(format!("zone-{}", number % site.zones)),
        millicpus: 500,
    };
    let mut view = Membership::new(name(own), member(own), Topology::default());
    (0..site.nodes).for_each(|number| view.upsert(&name(number), &member(number)));
    view
}

impl Follower<'_> {
    /// Plays until the change is in force.
    fn play(&mut self) {
        const END_US: u64 = FREEZE_US + 30 * SECOND_US;
        while self.in_force_us.is_none() && self.now_us < END_US {
            let next = self.choice.next(&ChoiceContext {
                sources: &self.sources,
                has_node_list: true,
                is_store_reader: false,
                needs_full_read: false,
                has_reporter: false,
                is_behind: false,
                starting: Starting::Nobody,
                occasion: Occasion {
                    now_us: self.now_us,
                    nodes: self.site.nodes,
                    contact_us: self.site.contact_us,
                    random: self.phase as f64 / PHASES as f64,
                },
            });
            match next {
                NextQuery::Store => self.call_store(),
                NextQuery::Source { address, waits } => self.query(address, waits),
                NextQuery::OtherNode | NextQuery::GiveUpStarting | NextQuery::Pause => {
                    self.now_us += RETRY_PAUSE_US
                }
            }
        }
    }

    fn query(&mut self, source: SocketAddr, waits: bool) {
        let wait_us = match waits {
            true => self.site.contact_us * QUERY_WAIT_PERCENT / 100,
            false => 0,
        };
        let until_us = self.now_us + wait_us;
        if until_us >= FREEZE_US && self.frozen.contains(&source) {
            self.now_us = until_us + REPLY_TIMEOUT_US;
            self.choice.on_silent(false);
            self.now_us += RETRY_PAUSE_US;
            return;
        }
        let told_us = if self.now_us < CHANGE_US { until_us.min(CHANGE_US) } else { self.now_us };
        self.now_us = told_us.max(self.now_us) + RESPONSE_US;
        assert!(self.choice.on_reply(SourceReply::Reliable));
        let max_age_ms = self.site.contact_us * MAX_READER_AGE_PERCENT / 100 / MILLI_US;
        let age_ms = max_age_ms * (self.phase % 5) / 4;
        self.learn();
        let update = StoreUpdate {
            era: StoreEra::UNKNOWN,
            known_to: RevisionNumber(1),
            is_snapshot: false,
            entries: Vec::new(),
        };
        self.freshness.on_peer_update(&update, Some(age_ms), self.now_us);
    }

    fn call_store(&mut self) {
        self.now_us += RESPONSE_US;
        self.calls += usize::from(self.now_us >= FREEZE_US);
        self.learn();
        let known_to = StoreRevision::new(StoreEra::UNKNOWN, RevisionNumber(1));
        self.freshness.on_store_response(known_to, self.now_us);
    }

    /// Takes what a reply or response tells, before it confirms the replica.
    fn learn(&mut self) {
        if self.now_us > CHANGE_US + RESPONSE_US {
            let lapses_until_us = self.freshness.lapse_grace_until_us(self.now_us);
            self.in_force_us = Some(lapses_until_us.unwrap_or(self.now_us));
        }
    }
}

/// The last moment at which the change comes into force at a follower that is not frozen, counted from the change; and the
/// most calls that a follower makes.
fn last_in_force(site: &Site, frozen: usize) -> (u64, usize) {
    let mut last = (0, 0);
    for (own, phase) in (0..site.nodes).flat_map(|own| (0..PHASES).map(move |it| (own, it))) {
        let view = view_of(site, own);
        if view.is_store_reader() {
            continue;
        }
        let sources = view.sources();
        // The sources that the follower asks first freeze.
        let mut follower = Follower {
            site,
            frozen: sources.iter().copied().take(frozen).collect(),
            sources,
            choice: SourceChoice::new(0),
            freshness: ReplicaFreshness::default(),
            now_us: FREEZE_US - 5 * SECOND_US + phase * site.contact_us / 100 / 2,
            phase,
            calls: 0,
            in_force_us: None,
        };
        follower.play();
        let took_us = follower.in_force_us.map_or(u64::MAX, |it| it - CHANGE_US);
        last = (last.0.max(took_us), last.1.max(follower.calls));
    }
    last
}

/// Guards against a node that asks frozen sources one after the other while the store has the change, and that takes its own
/// lack of news for an outage of the store.
#[test_case(8, 3, 3, 1; "1 of 8 nodes")]
#[test_case(8, 3, 3, 3; "3 of 8 nodes")]
#[test_case(8, 3, 3, 6; "6 of 8 nodes")]
#[test_case(60, 5, 3, 30; "30 of 60 nodes")]
#[test_case(8, 3, 6, 1; "1 of 8 nodes with twice the contact time")]
#[test_case(8, 3, 6, 3; "3 of 8 nodes with twice the contact time")]
#[test_case(8, 3, 6, 6; "6 of 8 nodes with twice the contact time")]
#[test_case(60, 5, 6, 30; "30 of 60 nodes with twice the contact time")]
fn a_change_is_in_force_in_time_at_followers_of_frozen_nodes(
    nodes: usize,
    zones: usize,
    contact_s: u64,
    frozen: usize,
) {
    let site = Site { nodes, zones, contact_us: contact_s * SECOND_US };
    let (last_us, calls) = last_in_force(&site, frozen);
    assert!(last_us <= BOUND_US, "in force after {} ms", last_us / MILLI_US);
    assert!(calls <= MAX_CALLS, "{calls} calls to the store");
}

/// Guards against calls to the store by followers whose sources reply.
#[test]
fn followers_of_live_nodes_do_not_call_the_store() {
    let site = Site { nodes: 60, zones: 5, contact_us: 3 * SECOND_US };
    let (last_us, calls) = last_in_force(&site, 0);
    assert!(last_us <= BOUND_US, "in force after {} ms", last_us / MILLI_US);
    assert_eq!(calls, 0);
}
