//! A runner that names how many requests a second it takes from all nodes together gets no more.

use crate::checks::{History, CONTACT_US};
use crate::history::Event;
use std::collections::{BTreeMap, HashMap};

/// Length of the windows in which requests are counted, microseconds.
const WINDOW_US: u64 = 4_000_000;
/// Time from an answer that names a limit until its node counts as told, microseconds.
const TOLD_AFTER_US: u64 = 500_000;

/// A time for which a runner named one limit.
struct NamedTime {
    from_us: u64,
    to_us: u64,
    /// The most that may arrive in a window.
    allowed: usize,
}

/// In any 4 s: one and a half times what the limit allows, and five.
fn allowed(thousandths: u64) -> usize {
    const SIX: u64 = 6;
    const FIVE: u64 = 5;
    const THOUSAND: u64 = 1_000;
    usize::try_from(thousandths * SIX / THOUSAND + FIVE).unwrap_or(usize::MAX)
}

/// From a contact time after a runner first named a limit, its arrivals in some window from nodes that had passed on such an
/// answer half a second before. Windows that begin earlier count as well. A node that was disturbed is excused.
pub(crate) fn over_named_limits(history: &History) -> Vec<String> {
    let named = named_times(history);
    let told = told(history);
    let mut broken = Vec::new();
    for (runner, times) in &named {
        for time in times {
            let counted = counted_arrivals(history, runner, time, &told);
            let after_contact = counted.iter().filter(|at| **at >= time.from_us + CONTACT_US);
            let until = |last: u64| {
                counted.iter().filter(|at| **at <= last && **at + WINDOW_US > last).count()
            };
            let fullest = after_contact.map(|last| (until(*last), *last)).max();
            if let Some((count, at_us)) = fullest.filter(|(count, _)| *count > time.allowed) {
                let allowed = time.allowed;
                broken.push(format!(
                    "{runner}: {count} in the 4 s until {at_us} us, {allowed} allowed"
                ));
            }
        }
    }
    broken
}

fn named_times<'a>(history: &History<'a>) -> BTreeMap<&'a str, Vec<NamedTime>> {
    let mut all: BTreeMap<&str, Vec<NamedTime>> = BTreeMap::new();
    for (at_us, event) in history.entries {
        let Event::LimitChanged { runner, thousandths } = event else { continue };
        let times = all.entry(runner).or_default();
        if let Some(last) = times.last_mut().filter(|last| last.to_us == u64::MAX) {
            last.to_us = *at_us;
        }
        if let Some(thousandths) = thousandths {
            let allowed = allowed(*thousandths);
            times.push(NamedTime { from_us: *at_us, to_us: u64::MAX, allowed });
        }
    }
    all
}

/// When each node had passed on an answer of each runner that names a limit.
fn told<'a>(history: &History<'a>) -> HashMap<(&'a str, usize), Vec<u64>> {
    let mut told: HashMap<(&str, usize), Vec<u64>> = HashMap::new();
    for (_, event) in history.entries {
        let Event::NamedLimit { request, runner } = event else { continue };
        let Some(exchange) = history.exchanges.get(request.as_str()) else { continue };
        told.entry((runner.as_str(), exchange.node)).or_default().push(exchange.ended_us);
    }
    told
}

fn counted_arrivals(
    history: &History,
    runner: &str,
    time: &NamedTime,
    told: &HashMap<(&str, usize), Vec<u64>>,
) -> Vec<u64> {
    let arrived = history.entries.iter().filter_map(|(at_us, event)| match event {
        Event::Arrived { request, runner: at } if at == runner => Some((*at_us, request)),
        _ => None,
    });
    let counts = |(at_us, request): &(u64, &String)| {
        let Some(node) = history.node_of(request) else { return false };
        let told_at = told.get(&(runner, node)).map_or(&[][..], Vec::as_slice);
        let was_told = told_at
            .iter()
            .any(|told_us| *told_us >= time.from_us && told_us + TOLD_AFTER_US <= *at_us);
        let since_us = at_us.saturating_sub(CONTACT_US + WINDOW_US);
        (time.from_us..time.to_us).contains(at_us)
            && was_told
            && !history.was_disturbed(node, since_us, *at_us)
    };
    arrived.filter(counts).map(|(at_us, _)| at_us).collect()
}
