//! A node's view of the limit that a runner reports.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::runner_limit::{LimitChange, LimitMessage, ReportedLimit};
use pitchstall_serving::runner_notice::{RequestRate, RunnerNotice};
use proptest::prelude::*;

const TWO: RequestRate = RequestRate(2_000_000);
const THREE: RequestRate = RequestRate(3_000_000);

fn notice_with(limit: Option<RequestRate>) -> RunnerNotice {
    RunnerNotice { limit, ..RunnerNotice::default() }
}

fn message(rate: Option<RequestRate>, age_us: u64) -> LimitMessage {
    LimitMessage { runner: RunnerId::new("i-1"), rate, age_us }
}

#[test]
fn a_response_without_a_limit_lifts_it() {
    let mut limit = ReportedLimit::default();
    assert_eq!(limit.on_response_head(notice_with(None), 1, 2), None);
    assert_eq!(limit.on_response_head(notice_with(Some(TWO)), 1, 10), Some(LimitChange::Set(TWO)));
    assert_eq!(limit.on_response_head(notice_with(Some(TWO)), 11, 12), None);
    assert_eq!(
        limit.on_response_head(notice_with(Some(THREE)), 13, 14),
        Some(LimitChange::Set(THREE))
    );
    assert_eq!(limit.on_response_head(notice_with(None), 15, 16), Some(LimitChange::Lifted));
    assert_eq!(limit.rate(), None);
}

#[test]
fn an_overtaken_response_neither_raises_nor_lifts_it() {
    let mut limit = ReportedLimit::default();
    limit.on_response_head(notice_with(Some(TWO)), 1, 10);
    assert_eq!(limit.on_response_head(notice_with(None), 9, 11), None);
    assert_eq!(limit.on_response_head(notice_with(Some(THREE)), 9, 12), None);
    assert_eq!(limit.rate(), Some(TWO));
    let lower = RequestRate(1);
    assert_eq!(
        limit.on_response_head(notice_with(Some(lower)), 9, 13),
        Some(LimitChange::Set(lower))
    );
}

#[test]
fn a_malformed_rate_changes_nothing() {
    let mut limit = ReportedLimit::default();
    limit.on_response_head(notice_with(Some(TWO)), 1, 10);
    let malformed = RunnerNotice { is_malformed: true, ..RunnerNotice::default() };
    assert_eq!(limit.on_response_head(malformed, 20, 21), None);
    assert_eq!(limit.rate(), Some(TWO));
}

#[test]
fn the_later_of_two_reports_wins() {
    let mut limit = ReportedLimit::default();
    assert_eq!(limit.on_message(&message(Some(TWO), 5), 100), Some(LimitChange::Set(TWO)));
    assert_eq!(limit.on_message(&message(None, 50), 110), None);
    assert_eq!(limit.on_message(&message(None, 5), 120), Some(LimitChange::Lifted));
}

#[test]
fn a_limit_that_was_named_before_the_start_of_a_node_is_believed_there() {
    const UPTIME_US: u64 = 1_000;
    let mut limit = ReportedLimit::default();
    let set = limit.on_message(&message(Some(TWO), 3 * UPTIME_US), UPTIME_US);
    assert_eq!(set, Some(LimitChange::Set(TWO)));
    let age_us = limit.message(&RunnerId::new("i-1"), UPTIME_US).age_us;
    assert_eq!(age_us, 3 * UPTIME_US);
    let lifted = limit.on_message(&message(None, 2 * UPTIME_US), UPTIME_US);
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert_eq!(limit.on_message(&message(Some(TWO), 3 * UPTIME_US), UPTIME_US), None);
}

#[test]
fn a_refusal_throttles_until_its_wait_is_over_or_the_limit_is_lifted() {
    let mut limit = ReportedLimit::default();
    limit.on_response_head(notice_with(Some(TWO)), 1, 10);
    limit.on_refused(100, 20);
    assert_eq!(limit.throttled_until_us(119), Some(120));
    assert_eq!(limit.throttled_until_us(120), None);
    limit.on_refused(100, 120);
    limit.on_response_head(notice_with(None), 121, 122);
    assert_eq!(limit.throttled_until_us(123), None);
}

proptest! {
    /// In any order of responses, only the response to a later request lifts a reported limit.
    #[test]
    fn no_response_order_lifts_a_limit_early(
        heads in prop::collection::vec((0..50_u64, prop::option::of(1..5_u64)), 0..40)
    ) {
        let mut limit = ReportedLimit::default();
        let mut reported_at_us = None;
        for (number, (sent_ago_us, reported)) in heads.into_iter().enumerate() {
            let now_us = 100 + number as u64 * 10;
            let sent_at_us = now_us - sent_ago_us;
            limit.on_response_head(notice_with(reported.map(RequestRate)), sent_at_us, now_us);
            if reported.is_some() {
                reported_at_us = Some(now_us);
            } else if reported_at_us.is_some_and(|reported_at_us| sent_at_us > reported_at_us) {
                reported_at_us = None;
            }
            prop_assert_eq!(limit.rate().is_some(), reported_at_us.is_some());
        }
    }
}
