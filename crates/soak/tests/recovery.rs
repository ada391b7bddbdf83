//! What counts as recovered after the last fault.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_soak::history::RequestKind;
use pitchstall_soak::recovery::{unserved_after_recovery, RecoveryBound, RECOVERY_KINDS};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const BOUND: RecoveryBound =
    RecoveryBound { timeout: Duration::from_millis(400), interval: Duration::from_millis(5) };

/// The first node is never served; of the last node's requests every third one is.
#[test]
fn a_node_that_is_slow_to_recover_takes_no_time_from_the_others() {
    let tries = AtomicUsize::new(0);
    let is_served = |node: usize, _| node == 1 && tries.fetch_add(1, Ordering::SeqCst) % 9 > 5;
    let unserved = unserved_after_recovery(2, BOUND, is_served);
    assert_eq!(unserved, RECOVERY_KINDS.map(|kind| (0, kind)));
}

#[test]
fn a_kind_of_requests_that_one_node_does_not_serve_is_found() {
    let is_served = |node, kind| (node, kind) != (3, RequestKind::Repeatable);
    assert_eq!(unserved_after_recovery(4, BOUND, is_served), [(3, RequestKind::Repeatable)]);
}

#[test]
fn a_fleet_that_serves_at_once_is_tried_once() {
    let tries = AtomicUsize::new(0);
    let is_served = |_, _| tries.fetch_add(1, Ordering::SeqCst) < 12;
    assert_eq!(unserved_after_recovery(4, BOUND, is_served), []);
    assert_eq!(tries.into_inner(), 12);
}
