//! Which route and which service a request belongs to.

use crate::configuration::{Configuration, Route, Share};
use crate::ids::ServiceName;
use std::collections::HashMap;
use std::rc::Rc;

/// The route of a request: of the host's routes, the one with the longest prefix of the path.
pub fn find_route<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &str,
) -> Option<&'a Rc<Route>> {
    let same_host = |route: &&Rc<Route>| route.host.eq_ignore_ascii_case(host);
    configuration
        .routes
        .iter()
        .filter(same_host)
        .filter(|route| path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
}

/// Splits the requests of each route among its services in the proportion of their weights
/// (smooth weighted round robin, so that short runs are in proportion too).
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<String, Vec<i64>>,
}

impl TrafficSplitter {
    /// The service that gets the route's next request; `None` if no share has a weight.
    pub fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.shares.len(), 0);
        let index = take_turn(credits, &route.shares)?;
        Some(route.shares[index].service.clone())
    }

    /// Forgets routes that are no longer in force.
    pub fn retain(&mut self, configuration: &Configuration) {
        let in_force = |name: &String| configuration.routes.iter().any(|route| route.name == *name);
        self.credits.retain(|name, _| in_force(name));
    }
}

fn take_turn(credits: &mut [i64], shares: &[Share]) -> Option<usize> {
    for (credit, share) in credits.iter_mut().zip(shares) {
        *credit += i64::from(share.weight);
    }
    let total: i64 = shares.iter().map(|share| i64::from(share.weight)).sum();
    let weighted = |index: &usize| shares[*index].weight > 0;
    let index = (0..shares.len()).filter(weighted).max_by_key(|index| credits[*index])?;
    credits[index] -= total;
    Some(index)
}
