//! Whether tenants ran more than they may, by what runners saw.

use crate::checks::History;
use crate::history::Event;
use std::collections::{BTreeMap, HashMap};

/// A run of a tenant with a limit.
struct Charge {
    at_us: u64,
    units: u64,
    /// When its caller sent it, if it may have been held up on the way to the runner.
    held_since_us: Option<u64>,
}

/// In no window may a tenant's runs, summed over all runners, be more than its limit allows. A run
/// counts in windows in which it was both sent and came to its runner.
pub(crate) fn over_limits(history: &History) -> Vec<String> {
    let charges = charges(history);
    let mut broken = Vec::new();
    for (_, event) in history.entries {
        let Event::Limited { tenant, window_us, most_units } = event else { continue };
        let charges = charges.get(tenant).map_or(&[][..], Vec::as_slice);
        let sums = charges.iter().map(|last| (units_until(charges, last, *window_us), last.at_us));
        let Some((units, at_us)) = sums.max() else { continue };
        if units > *most_units {
            let window = format!("in the {window_us} us until {at_us} us");
            broken.push(format!("{tenant}: {units} units {window}, {most_units} allowed"));
        }
    }
    broken
}

/// Units of the window that ends with a run.
fn units_until(charges: &[Charge], last: &Charge, window_us: u64) -> u64 {
    let is_in = |at_us: u64| at_us <= last.at_us && at_us + window_us > last.at_us;
    let counts = |charge: &&Charge| is_in(charge.at_us) && charge.held_since_us.is_none_or(is_in);
    charges.iter().filter(counts).map(|charge| charge.units).sum()
}

fn charges<'a>(history: &History<'a>) -> BTreeMap<&'a str, Vec<Charge>> {
    let mut sent: HashMap<&str, u64> = HashMap::new();
    let mut charges: BTreeMap<&str, Vec<Charge>> = BTreeMap::new();
    let mut disturbed_us = Vec::new();
    for (at_us, event) in history.entries {
        match event {
            Event::Sent { request, .. } => {
                sent.insert(request, *at_us);
            }
            Event::RunnerDisturbed => disturbed_us.push(*at_us),
            Event::Charged { request, tenant, units } => {
                let sent_us = sent.get(request.as_str()).copied();
                let held_since_us = sent_us.filter(|sent_us| {
                    disturbed_us.iter().any(|disturbed_us| disturbed_us >= sent_us)
                });
                let charge = Charge { at_us: *at_us, units: *units, held_since_us };
                charges.entry(tenant).or_default().push(charge);
            }
            _ => {}
        }
    }
    charges
}

/// A tenant that asks for less than it may is not refused as if it had asked for more, by a node in
/// touch. `below` tells which tenants do.
pub(crate) fn refused_below_limit(history: &History, below: impl Fn(&str) -> bool) -> Vec<String> {
    const TOO_MANY: u16 = 429;
    let mut refused = Vec::new();
    for (request, exchange) in &history.exchanges {
        let is_refused = exchange.status() == Some(TOO_MANY);
        if is_refused
            && below(request)
            && history.in_touch(exchange.node, exchange.sent_us, exchange.ended_us)
        {
            refused.push(format!("{request} at node {}", exchange.node));
        }
    }
    refused
}
