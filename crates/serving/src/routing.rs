//! Which of a route's services a request belongs to.

use crate::configuration::{Configuration, Route, Share};
use crate::ids::ServiceName;
use std::collections::{HashMap, HashSet};

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
