//! Whether callers of a region that is cut off are served by its own runners.

use crate::checks::{Exchange, History, CONTACT_BOUND_US, SLACK_US};
use crate::history::{Event, RequestKind};
use crate::regions::zone_of;
use std::collections::BTreeMap;

/// Time within which a request has its answer while regions are cut off from each other: many
/// times what a runner of the own region takes.
const MAX_RESPONSE_US: u64 = 1_500_000;
/// Fewest requests of a region and a service that are judged.
const MIN_REQUESTS: usize = 8;
/// Share of them that is served at the least. Runners fail three in a hundred by themselves, and a
/// region that uses the runners of both serves half.
const MIN_SERVED_SHARE: f64 = 0.75;
const OK: u16 = 200;

/// Once nodes have had time to notice that the regions are cut off from each other, each serves
/// its callers with the runners of its own region.
pub(crate) fn unserved_in_cut_off_regions(history: &History) -> Vec<String> {
    let mut unserved = Vec::new();
    for (begins_us, ends_us) in cuts(history) {
        let mut groups: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
        for (_, exchange) in history
            .exchanges
            .iter()
            .filter(|(request, exchange)| qualifies(history, request, exchange, begins_us, ends_us))
        {
            let is_stream = exchange.kind == RequestKind::ResumableStream;
            let group = (zone_of(exchange.node), if is_stream { "streams" } else { "requests" });
            let (sent, served) = groups.entry(group).or_default();
            *sent += 1;
            let in_time = exchange.ended_us <= exchange.sent_us + MAX_RESPONSE_US;
            *served += usize::from(in_time && exchange.status() == Some(OK));
        }
        for ((zone, request_type), (sent, served)) in groups {
            if sent >= MIN_REQUESTS && (served as f64) < sent as f64 * MIN_SERVED_SHARE {
                unserved.push(format!("{served} of {sent} {request_type} at the nodes of {zone}"));
            }
        }
    }
    unserved
}

/// When the regions were cut off from each other, and until when.
fn cuts(history: &History) -> Vec<(u64, u64)> {
    let mut cuts = Vec::new();
    let mut since_us = None;
    for (at_us, event) in history.events {
        match (event, since_us) {
            (Event::RegionsCut { begins: true }, _) => since_us = Some(*at_us),
            (Event::RegionsCut { begins: false }, Some(begins_us)) => {
                cuts.push((begins_us, *at_us));
                since_us = None;
            }
            _ => {}
        }
    }
    cuts
}

/// Whether a request without a limit was sent while the regions were cut off, and nothing else
/// disturbed its node or the runners.
fn qualifies(
    history: &History,
    request: &str,
    exchange: &Exchange<'_>,
    begins_us: u64,
    ends_us: u64,
) -> bool {
    const DETECTION_US: u64 = CONTACT_BOUND_US + SLACK_US + SLACK_US / 10;
    let is_work = matches!(
        exchange.kind,
        RequestKind::AtMostOnce | RequestKind::Repeatable | RequestKind::ResumableStream
    );
    let counted_us = begins_us + DETECTION_US..ends_us.saturating_sub(MAX_RESPONSE_US);
    let until_us = exchange.sent_us + MAX_RESPONSE_US;
    is_work
        && crate::tenants::tenant_of(request).limit.is_none()
        && counted_us.contains(&exchange.sent_us)
        && history.was_in_contact(exchange.node, exchange.sent_us, until_us)
        && !history.did_runner_crash(exchange.sent_us, until_us)
}
