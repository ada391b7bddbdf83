//! Exhaustive search of the specification: no violation with all safeguards, and at least one
//! without any one of them.
#![allow(clippy::unwrap_used, missing_docs)]

mod specification;

use pathfinding::directed::bfs::bfs_reach;
use specification::{
    adoption, authority, quota, regional_authority, resuming, retry_budget, retry_pool, usage,
    version_record, version_record_services,
};
use test_case::test_case;

/// Number of states up to the first violation, and whether there was one.
fn count<S>(states: impl Iterator<Item = S>, is_violated: impl Fn(&S) -> bool) -> (usize, bool) {
    let mut seen = 0;
    for state in states {
        seen += 1;
        if is_violated(&state) {
            return (seen, true);
        }
    }
    (seen, false)
}

fn search_authority(initial: authority::State, safeguards: authority::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(initial, |state| state.next(safeguards));
    count(reached, |state| state.violated)
}

fn search_regional_authority(safeguards: regional_authority::Safeguards) -> (usize, bool) {
    let initial = regional_authority::State::default();
    count(bfs_reach(initial, |state| state.next(safeguards)), |state| state.violated)
}

fn search_adoption(safeguards: adoption::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(adoption::State::default(), |state| state.next(safeguards));
    count(reached, |state| state.violated)
}

fn search_resuming(safeguards: resuming::Safeguards) -> (usize, bool) {
    let search = |resumable| {
        let initial = resuming::State::initial(resumable);
        count(bfs_reach(initial, |state| state.next(safeguards)), |state| state.violated)
    };
    let (resumable, single) = (search(true), search(false));
    (resumable.0 + single.0, resumable.1 || single.1)
}

fn search_retry_budget(safeguards: retry_budget::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(retry_budget::State::default(), |state| state.next(safeguards));
    count(reached, retry_budget::State::is_violated)
}

/// Number of states up to the first violation, and whether there was one.
fn search_retry_pool(safeguards: retry_pool::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(retry_pool::State::initial(), |state| state.next(safeguards));
    count(reached, |state| state.has_created() || state.has_vanished())
}

fn search_usage(safeguards: usage::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(usage::State::default(), |state| state.next(safeguards));
    count(reached, |state| state.violated)
}

fn search_quota(safeguards: quota::Safeguards) -> (usize, bool) {
    let reached = bfs_reach(quota::State::default(), |state| state.next(safeguards));
    count(reached, quota::State::is_violated)
}

#[test]
fn a_slot_keeps_to_the_bound_in_every_state() {
    let (states, violated) = search_quota(quota::Safeguards::ALL);
    println!("quota: {states} states");
    assert!(!violated);
    assert!(states > 10_000, "the search was cut short: {states} states");
}

#[test_case(quota::Safeguards { empty_start: false, ..quota::Safeguards::ALL }; "empty start")]
#[test_case(quota::Safeguards { term_from_send_time: false, ..quota::Safeguards::ALL }; "term from send time")]
#[test_case(quota::Safeguards { create_if_absent: false, ..quota::Safeguards::ALL }; "create if absent")]
#[test_case(quota::Safeguards { stop_before_handover: false, ..quota::Safeguards::ALL }; "stop before handover")]
#[test_case(quota::Safeguards { handover_names_key: false, ..quota::Safeguards::ALL }; "handover names key")]
#[test_case(quota::Safeguards { grants_expire: false, ..quota::Safeguards::ALL }; "grants expire")]
#[test_case(quota::Safeguards { used_once: false, ..quota::Safeguards::ALL }; "used once")]
#[test_case(quota::Safeguards { used_or_refunded: false, ..quota::Safeguards::ALL }; "used or refunded")]
#[test_case(quota::Safeguards { refunded_once: false, ..quota::Safeguards::ALL }; "refunded once")]
#[test_case(quota::Safeguards { own_grants_only: false, ..quota::Safeguards::ALL }; "own grants only")]
#[test_case(quota::Safeguards { headroom_since_grant: false, ..quota::Safeguards::ALL }; "headroom since grant")]
#[test_case(quota::Safeguards { shared_headroom: false, ..quota::Safeguards::ALL }; "shared headroom")]
#[test_case(quota::Safeguards { cap_at_once: false, ..quota::Safeguards::ALL }; "cap at once")]
fn a_slot_without_a_safeguard_breaks_the_bound(safeguards: quota::Safeguards) {
    assert!(search_quota(safeguards).1);
}

#[test]
fn usage_reports_of_a_window_never_differ() {
    let (states, violated) = search_usage(usage::Safeguards::ALL);
    println!("usage: {states} states");
    assert!(!violated);
    assert!(states > 1_000, "the search was cut short: {states} states");
}

#[test_case(usage::Safeguards { finalize_if_absent: false, ..usage::Safeguards::ALL }; "finalize if absent")]
#[test_case(usage::Safeguards { send_after_reply: false, ..usage::Safeguards::ALL }; "send after reply")]
#[test_case(usage::Safeguards { adopt_finalized: false, ..usage::Safeguards::ALL }; "adopt finalized")]
fn usage_reports_without_a_safeguard_differ(safeguards: usage::Safeguards) {
    assert!(search_usage(safeguards).1);
}

#[test]
fn the_retry_budget_is_safe_in_every_state() {
    let (states, violated) = search_retry_budget(retry_budget::Safeguards::ALL);
    println!("retry budget: {states} states");
    assert!(!violated);
    assert!(states > 100, "the search was cut short: {states} states");
}

#[test_case(retry_budget::Safeguards { pay_before_sending: false, ..retry_budget::Safeguards::ALL }; "pay before sending")]
#[test_case(retry_budget::Safeguards { bounded_bucket: false, ..retry_budget::Safeguards::ALL }; "bounded bucket")]
#[test_case(retry_budget::Safeguards { empty_start: false, ..retry_budget::Safeguards::ALL }; "empty start")]
fn the_retry_budget_without_a_safeguard_is_unsafe(safeguards: retry_budget::Safeguards) {
    assert!(search_retry_budget(safeguards).1);
}

#[test]
fn a_retry_pool_neither_creates_tokens_nor_loses_any_without_a_loss() {
    let (states, violated) = search_retry_pool(retry_pool::Safeguards::ALL);
    println!("retry pool: {states} states");
    assert!(!violated);
    assert!(states > 1_000, "the search was cut short: {states} states");
}

#[test_case(retry_pool::Safeguards { remembered_grants: false, ..retry_pool::Safeguards::ALL }; "remembered grants")]
#[test_case(retry_pool::Safeguards { returned_once: false, ..retry_pool::Safeguards::ALL }; "returned once")]
#[test_case(retry_pool::Safeguards { remembered_returns: false, ..retry_pool::Safeguards::ALL }; "remembered returns")]
#[test_case(retry_pool::Safeguards { unused_is_returned: false, ..retry_pool::Safeguards::ALL }; "unused is returned")]
#[test_case(retry_pool::Safeguards { unanswered_is_returned: false, ..retry_pool::Safeguards::ALL }; "unanswered is returned")]
#[test_case(retry_pool::Safeguards { late_reply_is_ignored: false, ..retry_pool::Safeguards::ALL }; "late reply is ignored")]
#[test_case(retry_pool::Safeguards { used_is_kept: false, ..retry_pool::Safeguards::ALL }; "used is kept")]
fn a_retry_pool_without_a_safeguard_creates_or_loses_tokens(safeguards: retry_pool::Safeguards) {
    assert!(search_retry_pool(safeguards).1);
}

#[test_case(authority::State::default(); "with a store that loses nothing")]
#[test_case(authority::State::with_restored_store(); "with a store restored from a backup")]
fn authority_is_safe_in_every_state(initial: authority::State) {
    let (states, violated) = search_authority(initial, authority::Safeguards::ALL);
    println!("authority: {states} states");
    assert!(!violated);
    assert!(states > 1_000, "the search was cut short: {states} states");
}

#[test]
fn two_holders_of_regions_never_order_one_runner() {
    let (states, violated) = search_regional_authority(regional_authority::Safeguards::ALL);
    println!("authority by region: {states} states");
    assert!(!violated);
    assert!(states > 1_000, "the search was cut short: {states} states");
}

#[test_case(regional_authority::Safeguards { own_runners: false, ..regional_authority::Safeguards::ALL }; "own runners")]
#[test_case(regional_authority::Safeguards { take_if_absent: false, ..regional_authority::Safeguards::ALL }; "take if absent")]
#[test_case(regional_authority::Safeguards { one_sequence: false, ..regional_authority::Safeguards::ALL }; "one sequence")]
fn authority_by_region_without_a_safeguard_is_unsafe(safeguards: regional_authority::Safeguards) {
    assert!(search_regional_authority(safeguards).1);
}

#[test]
fn adoption_is_safe_in_every_state() {
    let (states, violated) = search_adoption(adoption::Safeguards::ALL);
    println!("adoption: {states} states");
    assert!(!violated);
    assert!(states > 300, "the search was cut short: {states} states");
}

#[test]
fn resuming_is_safe_in_every_state() {
    let (states, violated) = search_resuming(resuming::Safeguards::ALL);
    println!("resuming: {states} states");
    assert!(!violated);
    assert!(states > 20, "the search was cut short: {states} states");
}

#[test_case(authority::Safeguards { take_if_absent: false, ..authority::Safeguards::ALL }; "take if absent")]
#[test_case(authority::Safeguards { time_from_sending: false, ..authority::Safeguards::ALL }; "time from sending")]
#[test_case(authority::Safeguards { fence_from_revision: false, ..authority::Safeguards::ALL }; "fence from revision")]
#[test_case(authority::Safeguards { expected_orders: false, ..authority::Safeguards::ALL }; "expected orders")]
#[test_case(authority::Safeguards { named_instance: false, ..authority::Safeguards::ALL }; "named instance")]
#[test_case(authority::Safeguards { renewed_by_store: false, ..authority::Safeguards::ALL }; "renewed by store")]
fn authority_without_a_safeguard_is_unsafe(safeguards: authority::Safeguards) {
    assert!(search_authority(authority::State::default(), safeguards).1);
}

#[test_case(authority::Safeguards { fence_counts_eras: false, ..authority::Safeguards::ALL }; "fence counts eras")]
#[test_case(authority::Safeguards { lease_of_its_era: false, ..authority::Safeguards::ALL }; "lease of its era")]
#[test_case(authority::Safeguards { wait_for_earlier_era: false, ..authority::Safeguards::ALL }; "wait for earlier era")]
fn authority_across_eras_without_a_safeguard_is_unsafe(safeguards: authority::Safeguards) {
    assert!(search_authority(authority::State::with_restored_store(), safeguards).1);
}

#[test_case(adoption::Safeguards { only_higher: false, ..adoption::Safeguards::ALL }; "only higher")]
#[test_case(adoption::Safeguards { reread_when_history_is_gone: false, ..adoption::Safeguards::ALL }; "reread when history is gone")]
#[test_case(adoption::Safeguards { watch_from_read_revision: false, ..adoption::Safeguards::ALL }; "watch from read revision")]
fn adoption_without_a_safeguard_is_unsafe(safeguards: adoption::Safeguards) {
    assert!(search_adoption(safeguards).1);
}

#[test_case(resuming::Safeguards { whole_events: false, ..resuming::Safeguards::ALL }; "whole events")]
#[test_case(resuming::Safeguards { after_last_forwarded: false, ..resuming::Safeguards::ALL }; "after last forwarded")]
#[test_case(resuming::Safeguards { stop_first: false, ..resuming::Safeguards::ALL }; "stop first")]
#[test_case(resuming::Safeguards { only_resumable: false, ..resuming::Safeguards::ALL }; "only resumable")]
#[test_case(resuming::Safeguards { own_end: false, ..resuming::Safeguards::ALL }; "own end")]
fn resuming_without_a_safeguard_is_unsafe(safeguards: resuming::Safeguards) {
    assert!(search_resuming(safeguards).1);
}

const A_RETURNS: version_record::Limits = version_record::Limits {
    nodes: 2,
    joins: 2,
    can_be_restored: false,
    max_writes: 6,
    stream_life: 1,
};
const LONG_STREAM: version_record::Limits =
    version_record::Limits { joins: 1, stream_life: 2, ..A_RETURNS };
const THREE_NODES: version_record::Limits =
    version_record::Limits { nodes: 3, joins: 1, max_writes: 4, ..A_RETURNS };
const STORE_IS_RESTORED: version_record::Limits =
    version_record::Limits { joins: 1, can_be_restored: true, max_writes: 3, ..A_RETURNS };
const B_ALONE: version_record::Limits = version_record::Limits { joins: 0, ..A_RETURNS };

fn search_version_record(
    limits: version_record::Limits,
    safeguards: version_record::Safeguards,
) -> (usize, bool) {
    let initial = version_record::State::initial(limits);
    count(bfs_reach(initial, |state| state.next(safeguards)), |state| state.violated)
}

#[test_case(A_RETURNS, version_record::Safeguards::ALL; "that returns")]
#[test_case(A_RETURNS, version_record::Safeguards::READ_ON_REQUEST; "that returns, with reads on request")]
#[test_case(LONG_STREAM, version_record::Safeguards::ALL; "with a longer stream")]
#[test_case(LONG_STREAM, version_record::Safeguards::READ_ON_REQUEST; "with a longer stream and reads on request")]
#[test_case(THREE_NODES, version_record::Safeguards::ALL; "at three nodes")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards::ALL; "with a store restored from a backup")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards::READ_ON_REQUEST; "with a store restored from a backup and reads on request")]
fn a_stream_of_one_version_is_never_continued_at_another(
    limits: version_record::Limits,
    safeguards: version_record::Safeguards,
) {
    let (states, violated) = search_version_record(limits, safeguards);
    println!("version record: {states} states");
    assert!(!violated);
    assert!(states > 10_000, "the search was cut short: {states} states");
}

#[test_case(A_RETURNS, version_record::Safeguards { write_ahead: false, ..version_record::Safeguards::ALL }; "write ahead")]
#[test_case(A_RETURNS, version_record::Safeguards { settled_entry: false, ..version_record::Safeguards::ALL }; "settled entry")]
#[test_case(A_RETURNS, version_record::Safeguards { retiring_counts: false, ..version_record::Safeguards::ALL }; "retiring counts")]
#[test_case(A_RETURNS, version_record::Safeguards { removal_waits_for_streams: false, ..version_record::Safeguards::ALL }; "removal waits for streams")]
#[test_case(A_RETURNS, version_record::Safeguards { removal_waits_for_runners: false, ..version_record::Safeguards::ALL }; "removal waits for runners")]
#[test_case(A_RETURNS, version_record::Safeguards { conditional_writes: false, ..version_record::Safeguards::ALL }; "conditional writes")]
#[test_case(A_RETURNS, version_record::Safeguards { restarted_waits: false, ..version_record::Safeguards::ALL }; "restarted waits")]
#[test_case(A_RETURNS, version_record::Safeguards { confirmation: version_record::Confirmation::Never, ..version_record::Safeguards::ALL }; "confirmation")]
#[test_case(LONG_STREAM, version_record::Safeguards { confirmation: version_record::Confirmation::WithinStreamLife, ..version_record::Safeguards::ALL }; "recent confirmation")]
#[test_case(THREE_NODES, version_record::Safeguards { confirmation: version_record::Confirmation::WithinStreamLife, settled_entry: false, ..version_record::Safeguards::ALL }; "recent confirmation and settled entry")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards { complete_in_era: false, ..version_record::Safeguards::ALL }; "complete in era")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards { survivors_wait: false, ..version_record::Safeguards::ALL }; "survivors wait")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards { completed_by_confirmed_view: false, ..version_record::Safeguards::ALL }; "completed by confirmed view")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards { removed_by_confirmed_view: false, ..version_record::Safeguards::ALL }; "removed by confirmed view")]
#[test_case(STORE_IS_RESTORED, version_record::Safeguards { restarted_waits: false, ..version_record::Safeguards::ALL }; "restarted waits after a restore")]
fn a_stream_is_continued_at_another_version_without(
    limits: version_record::Limits,
    safeguards: version_record::Safeguards,
) {
    assert!(search_version_record(limits, safeguards).1);
}

#[test_case(version_record::Safeguards::ALL; "with recent confirmations")]
#[test_case(version_record::Safeguards::READ_ON_REQUEST; "with reads on request")]
fn unknown_streams_go_on_with_one_version_though_all_nodes_were_killed(
    safeguards: version_record::Safeguards,
) {
    let initial = version_record::State::initial(B_ALONE);
    let reached = bfs_reach(initial, |state| state.next(safeguards));
    assert!(!count(reached, |state| state.is_refused_after_read(safeguards)).1);
}

#[test_case(version_record::Safeguards::ALL; "with recent confirmations")]
#[test_case(version_record::Safeguards::READ_ON_REQUEST; "with reads on request")]
fn unknown_streams_go_on_again_after_a_restore(safeguards: version_record::Safeguards) {
    let limits = version_record::Limits { can_be_restored: true, ..B_ALONE };
    let initial = version_record::State::initial(limits);
    let reached = bfs_reach(initial, |state| state.next(safeguards));
    assert!(count(reached, |state| state.is_accepted_after_restore(safeguards)).1);
}

const MOVED_ROUTE: version_record_services::Limits = version_record_services::Limits {
    routes: [version_record_services::Route::FIRST, version_record_services::Route::SECOND],
    is_one_service: false,
    joins: [0, 1],
    max_writes: 2,
};
const SPLIT_ROUTE: version_record_services::Limits = version_record_services::Limits {
    routes: [version_record_services::Route::FIRST, version_record_services::Route::BOTH],
    ..MOVED_ROUTE
};
const JOINED_ROUTE: version_record_services::Limits = version_record_services::Limits {
    routes: [version_record_services::Route::BOTH, version_record_services::Route::SECOND],
    joins: [0, 0],
    ..MOVED_ROUTE
};
const TWO_VERSIONS: version_record_services::Limits = version_record_services::Limits {
    routes: [version_record_services::Route::BOTH; 2],
    is_one_service: true,
    ..MOVED_ROUTE
};
const RETURNING_VERSION: version_record_services::Limits =
    version_record_services::Limits { joins: [1, 1], ..TWO_VERSIONS };

fn search_version_record_services(
    limits: version_record_services::Limits,
    safeguards: version_record_services::Safeguards,
) -> (usize, bool) {
    let initial = version_record_services::State::initial(limits);
    count(bfs_reach(initial, |state| state.next(safeguards)), |state| state.violated)
}

#[test_case(MOVED_ROUTE; "of a moved route")]
#[test_case(SPLIT_ROUTE; "of a route that is split")]
#[test_case(JOINED_ROUTE; "of a route that is split no longer")]
#[test_case(TWO_VERSIONS; "of one service with two versions")]
fn a_stream_that_is_planned_before_it_is_sent_goes_on_at_its_origin_alone(
    limits: version_record_services::Limits,
) {
    let safeguards = version_record_services::Safeguards::ALL;
    let (states, violated) = search_version_record_services(limits, safeguards);
    println!("version record, services: {states} states");
    assert!(!violated);
    assert!(states > 10_000, "the search was cut short: {states} states");
}

#[test_case(TWO_VERSIONS, version_record_services::Safeguards { checked_when_sent: false, ..version_record_services::Safeguards::ALL }; "checked when sent two versions")]
#[test_case(MOVED_ROUTE, version_record_services::Safeguards { services_count_together: false, ..version_record_services::Safeguards::ALL }; "services count together moved route")]
#[test_case(SPLIT_ROUTE, version_record_services::Safeguards { services_count_together: false, ..version_record_services::Safeguards::ALL }; "services count together split route")]
#[test_case(MOVED_ROUTE, version_record_services::Safeguards { unrouted_entries_count: false, ..version_record_services::Safeguards::ALL }; "unrouted entries count moved route")]
#[test_case(MOVED_ROUTE, version_record_services::Safeguards { read_on_request: false, ..version_record_services::Safeguards::ALL }; "read on request moved route")]
#[test_case(RETURNING_VERSION, version_record_services::Safeguards { retired_before_removal: false, ..version_record_services::Safeguards::ALL }; "retired before removal returning version")]
#[test_case(MOVED_ROUTE, version_record_services::Safeguards { removal_waits: false, ..version_record_services::Safeguards::ALL }; "removal waits moved route")]
#[test_case(MOVED_ROUTE, version_record_services::Safeguards { removal_waits_for_registered_runners: false, ..version_record_services::Safeguards::ALL }; "removal waits for registered runners moved route")]
#[test_case(TWO_VERSIONS, version_record_services::Safeguards { removal_waits: false, ..version_record_services::Safeguards::ALL }; "removal waits two versions")]
#[test_case(TWO_VERSIONS, version_record_services::Safeguards { read_on_request: false, ..version_record_services::Safeguards::ALL }; "read on request two versions")]
#[test_case(JOINED_ROUTE, version_record_services::Safeguards { removal_waits_for_registered_runners: false, ..version_record_services::Safeguards::ALL }; "removal waits for registered runners joined route")]
#[test_case(JOINED_ROUTE, version_record_services::Safeguards { unrouted_entries_count: false, ..version_record_services::Safeguards::ALL }; "unrouted entries count joined route")]
fn a_planned_stream_is_continued_at_the_other_origin_without(
    limits: version_record_services::Limits,
    safeguards: version_record_services::Safeguards,
) {
    assert!(search_version_record_services(limits, safeguards).1);
}

#[test]
fn unknown_streams_go_on_after_a_route_was_moved_and_the_runners_of_its_old_service_have_gone() {
    let safeguards = version_record_services::Safeguards::ALL;
    let initial = version_record_services::State::initial(MOVED_ROUTE);
    let reached = bfs_reach(initial, |state| state.next(safeguards));
    assert!(count(reached, |state| state.is_accepted_after_change(safeguards)).1);
}
