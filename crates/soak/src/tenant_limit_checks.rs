//! Checks tenants' limits against the requests that runners observed.

use crate::history::Event;
use crate::indexed_history::History;
use std::collections::{BTreeMap, HashMap};

/// A run of a request whose tenant has a limit.
struct Charge {
    at_us: u64,
    units: u64,
    /// When the client sent the request, microseconds, if a fault may have delayed it on the way to
    /// the runner; otherwise `None`.
    delayed_since_us: Option<u64>,
}

/// In no window may the units of a tenant's runs, summed over all runners, exceed its limit. A
/// delayed run counts only in windows in which the client sent the request as well.
pub(crate) fn exceeded_tenant_limits(history: &History) -> Vec<String> {
    let charges = charges(history);
    let mut broken = Vec::new();
    for (_, event) in history.events {
        let Event::TenantLimitSet { tenant, window_us, max_units } = event else { continue };
        let charges = charges.get(tenant).map_or(&[][..], Vec::as_slice);
        let sums =
            charges.iter().map(|last| (units_in_window(charges, last, *window_us), last.at_us));
        let Some((units, at_us)) = sums.max() else { continue };
        if units > *max_units {
            let window = format!("in the {window_us} us until {at_us} us");
            broken.push(format!("{tenant}: {units} units {window}, {max_units} allowed"));
        }
    }
    broken
}

/// Units of the runs in the window that ends with `last`.
fn units_in_window(charges: &[Charge], last: &Charge, window_us: u64) -> u64 {
    let is_in = |at_us: u64| at_us <= last.at_us && at_us + window_us > last.at_us;
    let counts =
        |charge: &&Charge| is_in(charge.at_us) && charge.delayed_since_us.is_none_or(is_in);
    charges.iter().filter(counts).map(|charge| charge.units).sum()
}

fn charges<'a>(history: &History<'a>) -> BTreeMap<&'a str, Vec<Charge>> {
    let mut sent: HashMap<&str, u64> = HashMap::new();
    let mut charges: BTreeMap<&str, Vec<Charge>> = BTreeMap::new();
    let mut disturbed_us = Vec::new();
    for (at_us, event) in history.events {
        match event {
            Event::Sent { request, .. } => {
                sent.insert(request, *at_us);
            }
            Event::RunnerLinkDisturbed => disturbed_us.push(*at_us),
            Event::Charged { request, tenant, units } => {
                let sent_us = sent.get(request.as_str()).copied();
                let delayed_since_us = sent_us.filter(|sent_us| {
                    disturbed_us.iter().any(|disturbed_us| disturbed_us >= sent_us)
                });
                let charge = Charge { at_us: *at_us, units: *units, delayed_since_us };
                charges.entry(tenant).or_default().push(charge);
            }
            _ => {}
        }
    }
    charges
}

/// Finds requests of tenants below their limit that a node in contact refused because of the limit.
/// `is_below_limit` decides by the request id.
pub(crate) fn false_limit_refusals(
    history: &History,
    is_below_limit: impl Fn(&str) -> bool,
) -> Vec<String> {
    const TOO_MANY_REQUESTS: u16 = 429;
    let mut refused = Vec::new();
    for (request, exchange) in &history.exchanges {
        let is_refused = exchange.status() == Some(TOO_MANY_REQUESTS);
        if is_refused
            && is_below_limit(request)
            && history.was_in_contact(exchange.node, exchange.sent_us, exchange.ended_us)
        {
            refused.push(format!("{request} at node {}", exchange.node));
        }
    }
    refused
}
