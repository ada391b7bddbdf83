//! Reservations of a scheduler, and that each is released whatever messages are lost or duplicated.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName};
use pitchstall_serving::reservations::{Reservation, Reservations, RunnerReservation};
use pitchstall_serving::runner::{AttemptDemand, RunnerRecord, Stage};
use pitchstall_serving::scheduling::{Shard, Ticket};
use proptest::prelude::*;
use support::runner_record;

const SECOND_US: u64 = 1_000_000;

fn only_shard() -> Shard {
    Shard { region: RegionId::new("north"), number: 0, of: 1 }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, stage) in [("p", Stage::Prefill), ("d", Stage::Decode)] {
        fleet.put(RunnerRecord {
            service: ServiceName::new("s"),
            stage: Some(stage),
            ..runner_record(RunnerId::new(id))
        });
    }
    fleet
}

fn ticket(number: u64) -> Ticket {
    Ticket { incarnation: 7, number }
}

fn reserved(runner: &str, prefill_tokens: u64) -> RunnerReservation {
    let demand = AttemptDemand { prefill_tokens, overdue_tokens: 0, held_tokens: 500 };
    RunnerReservation { runner: RunnerId::new(runner), demand }
}

fn split(deadline_us: u64) -> Reservation {
    Reservation {
        service: ServiceName::new("s"),
        prefill: reserved("p", 400),
        decode: Some(reserved("d", 0)),
        shared_prefix: Vec::new(),
        was_unqueued: true,
        deadline_us,
        is_prefilled: false,
    }
}

fn unsplit(deadline_us: u64) -> Reservation {
    Reservation { prefill: reserved("d", 400), decode: None, ..split(deadline_us) }
}

/// Number of requests and of prompt tokens to prefill, at the prefill and at the decode runner.
fn load(fleet: &Fleet) -> [(u32, u64); 2] {
    let loads = fleet.shard_loads(&only_shard(), 0);
    let of = |id: &str| {
        let load = loads.iter().find(|load| load.runner.as_str() == id);
        load.map_or((0, 0), |load| (load.in_flight, load.prefill_tokens))
    };
    [of("p"), of("d")]
}

#[test]
fn prefill_by_a_separate_runner_releases_that_runner() {
    let (mut fleet, mut reservations) = (fleet(), Reservations::default());
    reservations.reserve(&mut fleet, ticket(1), split(SECOND_US));
    assert_eq!(load(&fleet), [(1, 400), (1, 0)]);
    assert!(reservations.on_prefilled(&mut fleet, ticket(1)).is_some());
    assert_eq!(load(&fleet), [(0, 0), (1, 0)]);
    assert!(reservations.on_prefilled(&mut fleet, ticket(1)).is_none(), "a duplicate message");
    reservations.end(&mut fleet, ticket(1));
    assert_eq!(load(&fleet), [(0, 0), (0, 0)]);
}

#[test]
fn prefill_at_the_decode_runner_keeps_its_reservation() {
    let (mut fleet, mut reservations) = (fleet(), Reservations::default());
    reservations.reserve(&mut fleet, ticket(1), unsplit(SECOND_US));
    assert_eq!(load(&fleet), [(0, 0), (1, 400)]);
    reservations.on_prefilled(&mut fleet, ticket(1)).unwrap();
    assert_eq!(load(&fleet), [(0, 0), (1, 0)]);
}

#[test]
fn a_reservation_of_a_crashed_node_expires_after_the_deadline() {
    let (mut fleet, mut reservations) = (fleet(), Reservations::default());
    reservations.reserve(&mut fleet, ticket(1), split(SECOND_US));
    assert_eq!(reservations.expire(&mut fleet, SECOND_US), 0);
    assert_eq!(reservations.expire(&mut fleet, 2 * SECOND_US), 1);
    assert_eq!(load(&fleet), [(0, 0), (0, 0)]);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Split(u64),
    Unsplit(u64),
    Prefilled(u64),
    Ended(u64),
    Pause(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u64..8).prop_map(Event::Split),
        (0_u64..8).prop_map(Event::Unsplit),
        (0_u64..8).prop_map(Event::Prefilled),
        (0_u64..8).prop_map(Event::Ended),
        (0_u64..SECOND_US).prop_map(Event::Pause),
    ]
}

proptest! {
    /// Messages may be duplicated, late, lost, or concern unknown requests. The reserved load is
    /// never below that of the open reservations, and nothing is reserved once all deadlines have
    /// passed.
    #[test]
    fn every_reservation_ends_whatever_messages_are_lost(events in prop::collection::vec(event(), 1..200)) {
        let (mut fleet, mut reservations) = (fleet(), Reservations::default());
        let mut now_us = 0;
        for event in events {
            match event {
                Event::Split(number) => {
                    reservations.reserve(&mut fleet, ticket(number), split(now_us + SECOND_US));
                }
                Event::Unsplit(number) => {
                    reservations.reserve(&mut fleet, ticket(number), unsplit(now_us + SECOND_US));
                }
                Event::Prefilled(number) => {
                    reservations.on_prefilled(&mut fleet, ticket(number));
                }
                Event::Ended(number) => reservations.end(&mut fleet, ticket(number)),
                Event::Pause(pause_us) => now_us += pause_us,
            }
            reservations.expire(&mut fleet, now_us);
            let [(prefilling, _), (decoding, _)] = load(&fleet);
            prop_assert!((prefilling + decoding) as usize >= reservations.len());
            prop_assert!(decoding as usize == reservations.len(), "each is written once");
        }
        reservations.expire(&mut fleet, now_us + 10 * SECOND_US);
        prop_assert!(reservations.is_empty());
        prop_assert_eq!(load(&fleet), [(0, 0), (0, 0)]);
    }
}
