//! Which connection is closed to make room for a new one.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::connection_table::{Activity, ConnectionTable};
use test_case::test_case;

const SECOND_US: u64 = 1_000_000;

/// A table whose connections were all opened at 0 and are then as given, each since a second of its own.
fn table(connections: &[(&'static str, &[(Activity, u64)])]) -> ConnectionTable<&'static str> {
    let mut table = ConnectionTable::default();
    for (name, activities) in connections {
        let id = table.open(*name, 0);
        for (activity, second) in *activities {
            table.set_activity(id, *activity, second * SECOND_US);
        }
    }
    table
}

const HANDLED: (Activity, u64) = (Activity::Handling, 1);

#[test_case(&[("kept", &[HANDLED, (Activity::Receiving, 2)]), ("silent", &[])], "silent"; "one that is silent before one that rests")]
#[test_case(&[("later", &[HANDLED, (Activity::Receiving, 8)]), ("sooner", &[HANDLED, (Activity::Receiving, 3)])], "sooner"; "the one that rests longest")]
#[test_case(&[("unread", &[HANDLED, (Activity::Sending, 2)]), ("kept", &[HANDLED, (Activity::Receiving, 9)])], "kept"; "one that rests before one that does not read")]
#[test_case(&[("handled", &[HANDLED]), ("unread", &[HANDLED, (Activity::Sending, 2)])], "unread"; "one that does not read before one that is handled")]
fn room_is_made_by(connections: &[(&'static str, &[(Activity, u64)])], expected: &str) {
    assert_eq!(table(connections).remove_least_active(10 * SECOND_US, |_| false), Some(expected));
}

/// Guards against a connection that is closed for room while its request is handled.
#[test]
fn no_connection_is_closed_for_room_while_its_request_is_handled() {
    let mut table =
        table(&[("handled", &[HANDLED]), ("read", &[HANDLED, (Activity::Sending, 10)])]);
    assert_eq!(table.remove_least_active(10 * SECOND_US, |_| false), None);
    assert_eq!(table.len(), 2);
}

/// Guards against a table that is full of connections which all send requests ahead.
#[test]
fn a_connection_that_has_sent_ahead_is_closed_if_all_others_are_in_use() {
    let mut table = table(&[("in use", &[HANDLED]), ("ahead", &[(Activity::Handling, 2)])]);
    let has_sent_ahead = |name: &&str| *name == "ahead";
    assert_eq!(table.remove_least_active(10 * SECOND_US, has_sent_ahead), Some("ahead"));
    assert_eq!(table.remove_least_active(10 * SECOND_US, has_sent_ahead), None);
}

/// A table of connections that rest and of ones that have just been opened, and the current time.
fn table_with_newcomers(resting: usize, newcomers: usize) -> (ConnectionTable<&'static str>, u64) {
    let now_us = 10 * SECOND_US;
    let kept: &[(Activity, u64)] = &[HANDLED, (Activity::Receiving, 9)];
    let mut table = table(&vec![("kept", kept); resting]);
    for _ in 0..newcomers {
        table.open("newcomer", now_us);
    }
    (table, now_us)
}

/// Guards against newcomers that push out each other before their requests can arrive, while others only rest.
#[test]
fn a_few_newcomers_outlast_connections_that_rest() {
    let (mut table, now_us) = table_with_newcomers(3, 1);
    assert_eq!(table.remove_least_active(now_us, |_| false), Some("kept"));
}

/// Guards against a crowd that connects all at once and closes the connections that others keep.
#[test]
fn connections_that_rest_outlast_a_crowd_of_newcomers() {
    let (mut table, now_us) = table_with_newcomers(3, 2);
    assert_eq!(table.remove_least_active(now_us, |_| false), Some("newcomer"));
}

/// Guards against a connection that is used after it was closed for room.
#[test]
fn a_connection_that_was_closed_for_room_is_in_the_table_no_longer() {
    let mut table = ConnectionTable::default();
    let id = table.open("silent", 0);
    assert!(table.contains(id));
    assert_eq!(table.remove_least_active(0, |_| false), Some("silent"));
    table.set_activity(id, Activity::Handling, 0);
    assert!(!table.contains(id));
}
