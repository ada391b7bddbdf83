//! Checks that a runner that reports how many requests per second it accepts from all nodes
//! together receives no more.

use crate::checks::CONTACT_BOUND_US;
use crate::history::Event;
use crate::indexed_history::History;
use std::collections::{BTreeMap, HashMap};

/// Length of the windows in which arrivals are counted, microseconds.
const WINDOW_US: u64 = 4_000_000;
/// Time from the end of an exchange that carries a reported limit until its node must know the
/// limit, microseconds.
const PROPAGATION_US: u64 = 500_000;

/// A period in which a runner reports one limit.
struct LimitPeriod {
    from_us: u64,
    to_us: u64,
    /// Maximum number of arrivals in a window.
    max_arrivals: usize,
}

/// Maximum number of arrivals in 4 s: one and a half times what the limit allows, plus 5.
fn max_arrivals(milli_requests_per_s: u64) -> usize {
    const TOLERATED_SECONDS: u64 = 6;
    const ALLOWANCE: u64 = 5;
    const MILLI: u64 = 1_000;
    usize::try_from(milli_requests_per_s * TOLERATED_SECONDS / MILLI + ALLOWANCE)
        .unwrap_or(usize::MAX)
}

/// Counts the arrivals at a runner from nodes that had passed on a response with a limit of the
/// same period at least half a second before. Only windows that end at least the contact bound
/// after the start of the period are checked; they may begin before that. Arrivals from a node that
/// was recently disturbed do not count.
pub(crate) fn exceeded_reported_limits(history: &History) -> Vec<String> {
    let periods_by_runner = limit_periods(history);
    let reports = reports(history);
    let mut broken = Vec::new();
    for (runner, periods) in &periods_by_runner {
        for period in periods {
            let counted = counted_arrivals(history, runner, period, &reports);
            let after_contact =
                counted.iter().filter(|at| **at >= period.from_us + CONTACT_BOUND_US);
            let arrivals_in_window = |last: u64| {
                counted.iter().filter(|at| **at <= last && **at + WINDOW_US > last).count()
            };
            let fullest = after_contact.map(|last| (arrivals_in_window(*last), *last)).max();
            if let Some((count, at_us)) = fullest.filter(|(count, _)| *count > period.max_arrivals)
            {
                let max_arrivals = period.max_arrivals;
                broken.push(format!(
                    "{runner}: {count} in the 4 s until {at_us} us, {max_arrivals} allowed"
                ));
            }
        }
    }
    broken
}

fn limit_periods<'a>(history: &History<'a>) -> BTreeMap<&'a str, Vec<LimitPeriod>> {
    let mut all: BTreeMap<&str, Vec<LimitPeriod>> = BTreeMap::new();
    for (at_us, event) in history.events {
        let Event::LimitChanged { runner, milli_requests_per_s } = event else { continue };
        let periods = all.entry(runner).or_default();
        if let Some(last) = periods.last_mut().filter(|last| last.to_us == u64::MAX) {
            last.to_us = *at_us;
        }
        if let Some(milli_requests_per_s) = milli_requests_per_s {
            let max_arrivals = max_arrivals(*milli_requests_per_s);
            periods.push(LimitPeriod { from_us: *at_us, to_us: u64::MAX, max_arrivals });
        }
    }
    all
}

/// When each node had passed on responses of each runner that report a limit, microseconds.
fn reports<'a>(history: &History<'a>) -> HashMap<(&'a str, usize), Vec<u64>> {
    let mut reports: HashMap<(&str, usize), Vec<u64>> = HashMap::new();
    for (_, event) in history.events {
        let Event::LimitReported { request, runner } = event else { continue };
        let Some(exchange) = history.exchanges.get(request.as_str()) else { continue };
        reports.entry((runner.as_str(), exchange.node)).or_default().push(exchange.ended_us);
    }
    reports
}

fn counted_arrivals(
    history: &History,
    runner: &str,
    period: &LimitPeriod,
    reports: &HashMap<(&str, usize), Vec<u64>>,
) -> Vec<u64> {
    let arrived = history.events.iter().filter_map(|(at_us, event)| match event {
        Event::Arrived { request, runner: at } if at == runner => Some((*at_us, request)),
        _ => None,
    });
    let counts = |(at_us, request): &(u64, &String)| {
        let Some(node) = history.node_of(request) else { return false };
        let report_times_us = reports.get(&(runner, node)).map_or(&[][..], Vec::as_slice);
        let has_received_report = report_times_us
            .iter()
            .any(|report_us| *report_us >= period.from_us && report_us + PROPAGATION_US <= *at_us);
        let since_us = at_us.saturating_sub(CONTACT_BOUND_US + WINDOW_US);
        (period.from_us..period.to_us).contains(at_us)
            && has_received_report
            && !history.was_disturbed(node, since_us, *at_us)
    };
    arrived.filter(counts).map(|(at_us, _)| at_us).collect()
}
