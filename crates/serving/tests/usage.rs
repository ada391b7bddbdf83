//! Usage counts per tenant: lost, delayed or duplicated messages change nothing.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::{NodeId, TenantName};
use pitchstall_serving::usage::{
    Origin, ReportSchedule, UsageCollector, UsageLedger, UsageMessage, WindowCounts, Windows,
};
use proptest::prelude::*;
use test_case::test_case;

const SCHEDULE: ReportSchedule =
    ReportSchedule { windows: Windows { length_ms: 5_000 }, due_ms: 10_000 };
/// A window, and its end in milliseconds.
const WINDOW: u64 = 100;
const END_MS: u64 = 505_000;

fn message(node: &str, incarnation: u64, window: u64, count: u64) -> UsageMessage {
    let counts = [(TenantName::new("taxis"), count)].into();
    UsageMessage {
        origin: Origin { node: NodeId::new(node), incarnation },
        in_reply_to: None,
        windows: vec![WindowCounts { window, counts }],
        finalized: Vec::new(),
    }
}

fn total(ledger: &UsageLedger) -> u64 {
    ledger.total(WINDOW).get(&TenantName::new("taxis")).copied().unwrap_or_default()
}

#[test]
fn counts_of_all_incarnations_add_up() {
    let mut ledger = UsageLedger::default();
    ledger.on_request_started(WINDOW, &TenantName::new("taxis"));
    ledger.merge(&message("a", 1, WINDOW, 4));
    ledger.merge(&message("a", 2, WINDOW, 2));
    ledger.merge(&message("b", 1, WINDOW, 7));
    ledger.merge(&message("b", 1, WINDOW + 1, 9));
    assert_eq!(total(&ledger), 14);
}

#[test]
fn reported_counts_survive_the_node_and_the_collector() {
    let mut deputy = UsageLedger::default();
    deputy.merge(&message("dead", 1, WINDOW, 4));
    let mut successor = UsageLedger::default();
    deputy.relayed_since(WINDOW).iter().for_each(|message| successor.merge(message));
    assert_eq!(total(&successor), 4);
}

proptest! {
    #[test]
    fn lost_delayed_or_duplicated_messages_change_nothing(
        order in proptest::collection::vec((0_usize..6, 1_u64..4), 1..60),
    ) {
        // The counts of each incarnation rise from 1 to 6; the last message of each always arrives.
        let mut ledger = UsageLedger::default();
        for (count, incarnation) in &order {
            ledger.merge(&message("a", *incarnation, WINDOW, 1 + *count as u64));
        }
        for incarnation in 1..4 {
            ledger.merge(&message("a", incarnation, WINDOW, 6));
        }
        prop_assert_eq!(total(&ledger), 18);
    }
}

fn collector_with(replies: &[(&str, u64)]) -> UsageCollector {
    let mut collector = UsageCollector::default();
    for (number, (node, sent_ms)) in (1..).zip(replies) {
        collector.on_query_sent(number, *sent_ms);
        collector.on_reply(&NodeId::new(node), number);
    }
    collector
}

#[test_case(&[("a", END_MS + 800), ("b", END_MS + 900)], END_MS + 1_000, true; "all nodes have reported their final counts")]
#[test_case(&[("a", END_MS + 800), ("b", END_MS + 100)], END_MS + 1_000, false; "one replied to a query before the counts settled")]
#[test_case(&[("a", END_MS + 800)], END_MS + 1_000, false; "one has not replied")]
#[test_case(&[("a", END_MS + 800)], END_MS + 4_000, true; "the wait for a missing reply has timed out")]
#[test_case(&[], END_MS - 1, false; "the window has not ended")]
fn a_window_is_finalized_once_its_counts_are_complete(
    replies: &[(&str, u64)],
    now_ms: u64,
    expected: bool,
) {
    let nodes = [NodeId::new("a"), NodeId::new("b")];
    let mut collector = collector_with(replies);
    let due = collector.to_finalize(nodes.iter(), SCHEDULE, now_ms);
    assert_eq!(due.contains(&WINDOW), expected);
    collector.on_finalized(WINDOW);
    assert!(
        !collector.to_finalize(nodes.iter(), SCHEDULE, now_ms).contains(&WINDOW),
        "a window is finalized once"
    );
}

#[test_case(END_MS - 4_000, false; "silent for seconds, may be partitioned off")]
#[test_case(END_MS - 12_000, true; "silent for longer than the report time")]
fn a_silent_node_is_not_waited_for(last_reply_ms: u64, expected: bool) {
    let replies = [("b", last_reply_ms), ("a", END_MS + 800)];
    let nodes = [NodeId::new("a"), NodeId::new("b")];
    let due = collector_with(&replies).to_finalize(nodes.iter(), SCHEDULE, END_MS + 1_000);
    assert_eq!(due.contains(&WINDOW), expected);
}

#[test]
fn a_reply_to_an_unknown_query_is_ignored() {
    let mut collector = collector_with(&[]);
    collector.on_reply(&NodeId::new("a"), 77);
    let nodes = [NodeId::new("a")];
    assert!(!collector.to_finalize(nodes.iter(), SCHEDULE, END_MS + 1_000).contains(&WINDOW));
}

#[test]
fn old_windows_are_removed() {
    let mut ledger = UsageLedger::default();
    ledger.merge(&message("a", 1, WINDOW, 4));
    ledger.on_request_started(WINDOW, &TenantName::new("taxis"));
    ledger.remove_before(WINDOW + 1);
    assert_eq!(total(&ledger), 0);
    assert!(ledger.relayed_since(0).is_empty());
}

/// The node that finalized a window may no longer be the collector, and may have lost the counts of
/// others.
#[test]
fn finalized_counts_are_not_changed_by_later_reports() {
    let mut collector = UsageLedger::default();
    collector.merge(&message("a", 1, 7, 3));
    collector.on_finalized(7, collector.total(7));
    let mut next = UsageLedger::default();
    next.merge(&message("a", 1, 7, 5));
    next.merge(&UsageMessage { finalized: collector.finalized_since(6), ..message("b", 1, 8, 1) });
    assert_eq!(next.to_report(7)[&TenantName::new("taxis")], 3);
    assert_eq!(next.to_report(8)[&TenantName::new("taxis")], 1, "this window is not finalized");
}
