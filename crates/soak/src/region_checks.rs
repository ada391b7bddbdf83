//! Checks that clients of a region that is cut off are served by the region's own runners.

use crate::checks::{CONTACT_BOUND_US, SLACK_US};
use crate::history::{Event, RequestKind};
use crate::indexed_history::{Exchange, History};
use crate::regions::zone_of;
use std::collections::BTreeMap;

/// Maximum response time that counts as served while regions are cut off from each other,
/// microseconds. A runner of the same region takes a small fraction of it.
const MAX_RESPONSE_US: u64 = 1_500_000;
/// Minimum number of requests of one region and type for a verdict.
const MIN_REQUESTS: usize = 8;
/// Minimum share of them that must be served. Runners fail 3 % of requests by themselves, and a
/// region that also uses the remote region's runners serves only half.
const MIN_SERVED_SHARE: f64 = 0.75;
const OK: u16 = 200;

/// Once nodes have had time to detect that the regions are cut off from each other, each region
/// serves its clients with its own runners.
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

/// Start and end of each cut between the regions, microseconds.
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

/// Whether the request, of a tenant without a limit, was sent while the regions were cut off and no
/// other fault affected its node or the runners.
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
