//! Store readers that refuse connections: which of them may still be starting, and when others take their place.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::full_read_gate::Occasion;
use pitchstall_serving::ids::{NodeId, ZoneId};
use pitchstall_serving::membership::{Member, Membership};
use pitchstall_serving::source_choice::{ChoiceContext, NextQuery, SourceChoice, SourceReply};
use pitchstall_serving::start_up::{may_be_starting, StartUp, Starting};
use pitchstall_serving::topology::Topology;
use std::net::{Ipv4Addr, SocketAddr};
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;
/// The strongest two nodes of the only zone read the store.
const READERS: [u8; 2] = [1, 2];
const NEXT: u8 = 3;
const NODES: u8 = 6;

fn address(number: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, number).into(), 9_000)
}

fn name(number: u8) -> NodeId {
    NodeId::new(format!("node-{number}"))
}

fn member(number: u8) -> Member {
    Member {
        address: address(number),
        zone: ZoneId::new("zone"),
        millicpus: 1_000 - u32::from(number),
    }
}

/// The view of the node that takes the place of a lost reader.
fn view_of_next() -> Membership {
    let mut view = Membership::new(name(NEXT), member(NEXT), Topology::default());
    (1..=NODES).for_each(|number| view.upsert(&name(number), &member(number)));
    view
}

/// Guards against a second full read because a reader starts later than its followers.
#[test]
fn a_reader_that_may_be_starting_keeps_its_place_and_is_not_followed() {
    let mut view = view_of_next();
    view.on_refused_while_starting(address(READERS[0]));
    assert!(!view.is_store_reader());
    assert!(view.has_near_store_reader());
    assert_eq!(view.sources(), [address(READERS[1])]);
    view.on_refused_while_starting(address(READERS[1]));
    assert!(!view.is_store_reader() && !view.has_near_store_reader());
    assert!(view.sources().is_empty());
}

/// Guards against a reader that is not followed after it has started.
#[test]
fn a_reader_that_was_starting_is_followed_once_it_sends_a_message() {
    let mut view = view_of_next();
    view.on_refused_while_starting(address(READERS[0]));
    view.upsert(&name(READERS[0]), &member(READERS[0]));
    assert!(!view.has_starting());
    assert_eq!(view.sources().len(), READERS.len());
}

/// Guards against a wait for the start of a reader that has ended.
#[test]
fn a_reader_that_was_heard_and_refuses_is_replaced_at_once() {
    let mut view = view_of_next();
    view.on_message_from(address(READERS[0]));
    view.on_refused_while_starting(address(READERS[0]));
    assert!(view.is_store_reader() && !view.has_starting());
}

/// Guards against a reader that is never replaced because it may be starting.
#[test]
fn readers_that_are_given_up_are_replaced() {
    let mut view = view_of_next();
    READERS.iter().for_each(|reader| view.on_refused_while_starting(address(*reader)));
    view.give_up_starting();
    assert!(view.is_store_reader() && !view.has_starting());
}

/// Guards against a wait for a dead reader by nodes that have been up for long.
#[test]
fn no_reader_may_be_starting_when_this_node_has_been_up_for_long() {
    assert!(may_be_starting(3 * SECOND_US));
    assert!(!may_be_starting(5 * SECOND_US));
}

#[test_case(0, 0.5, true => Starting::InTime; "others start too")]
#[test_case(SECOND_US, 0.5, true => Starting::Overdue; "up for a second")]
#[test_case(SECOND_US, 0.5, false => Starting::Overdue; "up for a second without a reader of the zone")]
#[test_case(2 * SECOND_US, 0.5, true => Starting::Overdue; "up for two seconds")]
#[test_case(2 * SECOND_US, 0.5, false => Starting::Missed; "up for two seconds without a reader of the zone")]
#[test_case(0, 0.95, true => Starting::Overdue; "most others are heard")]
#[test_case(0, 0.95, false => Starting::Missed; "most others are heard and no reader of the zone")]
fn the_wait_ends_by_what_is_known(
    uptime_us: u64,
    heard_share: f64,
    has_near_reader: bool,
) -> Starting {
    StartUp { uptime_us, heard_share, has_near_reader }.assess()
}

fn context(sources: &[SocketAddr], starting: Starting) -> ChoiceContext<'_> {
    ChoiceContext {
        sources,
        has_node_list: true,
        is_store_reader: false,
        needs_full_read: true,
        has_reporter: false,
        is_behind: false,
        starting,
        occasion: Occasion {
            now_us: SECOND_US,
            nodes: usize::from(NODES),
            contact_us: 2 * SECOND_US,
            random: 0.0,
        },
    }
}

fn next(choice: &mut SourceChoice, sources: &[SocketAddr], starting: Starting) -> NextQuery {
    choice.next(&context(sources, starting))
}

/// Guards against a second full read of one subject because another one, which has a replica, finds no source.
#[test]
fn overdue_readers_are_not_given_up_for_a_subject_that_has_a_replica() {
    let mut choice = SourceChoice::new(0);
    choice.on_silent(true);
    let context = ChoiceContext { needs_full_read: false, ..context(&[], Starting::Overdue) };
    assert_ne!(choice.next(&context), NextQuery::GiveUpStarting);
}

/// Guards against a second full read while another source is obtaining a replica.
#[test]
fn overdue_readers_are_kept_while_another_source_is_obtaining_a_replica() {
    let mut choice = SourceChoice::new(0);
    let source = [address(READERS[1])];
    choice.on_silent(true);
    for _ in 0..10 {
        let query = next(&mut choice, &source, Starting::Overdue);
        assert!(matches!(query, NextQuery::Source { .. }), "{query:?}");
        choice.on_reply(SourceReply::Obtaining);
    }
}

/// Guards against followers that wait for readers that are dead while nobody obtains a replica.
#[test]
fn overdue_readers_are_given_up_while_no_source_is_obtaining_a_replica() {
    let mut choice = SourceChoice::new(0);
    choice.on_silent(true);
    assert_eq!(next(&mut choice, &[], Starting::Overdue), NextQuery::GiveUpStarting);
}

/// Guards against full reads by nodes that take themselves for cut off while others start.
#[test]
fn a_node_reads_nothing_while_its_readers_may_be_starting() {
    let mut choice = SourceChoice::new(0);
    choice.on_silent(true);
    assert_eq!(next(&mut choice, &[], Starting::InTime), NextQuery::Pause);
}

/// Guards against a wait at other zones for readers of the own zone that are gone.
#[test]
fn missed_readers_are_given_up_before_another_source_is_queried() {
    let mut choice = SourceChoice::new(0);
    let source = [address(READERS[1])];
    assert_eq!(next(&mut choice, &source, Starting::Missed), NextQuery::GiveUpStarting);
}
