//! Assignment of requests to the services of a route.

use crate::configuration::{Configuration, Route, Share};
use crate::ids::ServiceName;
use std::collections::{HashMap, HashSet};

/// Splits the requests of each route among its services in proportion to their weights. Smooth
/// weighted round robin keeps short sequences in proportion too.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<String, Vec<i64>>,
}

impl TrafficSplitter {
    /// The service for the route's next request; `None` if no share has a positive weight.
    pub fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.shares.len(), 0);
        let index = take_turn(credits, &route.shares)?;
        Some(route.shares[index].service.clone())
    }

    /// Drops the state of routes that are no longer configured.
    pub fn retain(&mut self, configuration: &Configuration) {
        let in_force: HashSet<&str> =
            configuration.routes.iter().map(|route| route.name.as_str()).collect();
        self.credits.retain(|name, _| in_force.contains(name.as_str()));
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
