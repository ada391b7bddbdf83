//! Which streams an entry of the record of versions covers.
//!
//! Streams of a route that is not resumable are not continued, but the route may become resumable while clients still have
//! an interest in them, and be moved to another service at the same time. The record therefore names where they may have
//! begun too. Such an entry names its route, so that it does not count for the streams of other routes.

use crate::configuration::{Configuration, RequestKind, Route};
use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of routes of one service that are recorded one by one. The streams of a service with more such routes
/// are recorded as one, which counts for all routes.
pub const MAX_RECORDED_ROUTES: usize = 16;

/// The host and path prefix of a route, whatever its name is in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoutePattern {
    /// Host in lower case.
    pub host: String,
    /// Prefix of the paths.
    pub prefix: String,
}

impl RoutePattern {
    fn of(route: &Route) -> Self {
        Self { host: route.host.to_ascii_lowercase(), prefix: route.prefix.clone() }
    }

    /// Whether a path may have a prefix of both routes.
    pub fn overlaps(&self, other: &Self) -> bool {
        let has_prefix = |path: &str, prefix: &str| path.starts_with(prefix);
        let is_nested =
            has_prefix(&self.prefix, &other.prefix) || has_prefix(&other.prefix, &self.prefix);
        self.host == other.host && is_nested
    }

    /// Whether a request may have been one of the route, also if a longer prefix of another route matches it now.
    pub fn matches(&self, target: &StreamTarget) -> bool {
        let without_port = target.host.split_once(':').map_or(target.host, |(host, _)| host);
        let is_host = |host: &str| self.host.eq_ignore_ascii_case(host);
        target.path.starts_with(&self.prefix) && (is_host(target.host) || is_host(without_port))
    }
}

/// What a client requests when it begins a stream, and again when it resumes the stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamTarget<'a> {
    /// Host that the request names, with its port if it names one.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
}

/// The streams of a service that are recorded together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamScope {
    /// The service at which the streams begin.
    pub service: ServiceName,
    /// The only route whose streams are meant; `None`: those of any route.
    pub route: Option<RoutePattern>,
}

impl StreamScope {
    /// The scope of all streams of a service.
    pub fn of_service(service: ServiceName) -> Self {
        Self { service, route: None }
    }

    /// The scope of the streams that a route begins at a service. `None` if it begins none.
    pub fn of_route(route: &Route, service: &ServiceName) -> Option<Self> {
        let is_recorded = route.resumable || route.kind == RequestKind::Streaming;
        let pattern = (!route.resumable).then(|| RoutePattern::of(route));
        is_recorded.then(|| Self { service: service.clone(), route: pattern })
    }
}

/// The routes whose streams may be resumed under a configuration.
pub fn resumable_routes(configuration: &Configuration) -> BTreeSet<RoutePattern> {
    let routes = configuration.routes.iter().filter(|route| route.resumable);
    routes.map(|route| RoutePattern::of(route)).collect()
}

/// The scopes that are recorded under a configuration: they include every stream that may begin under it.
pub fn recorded_scopes(configuration: &Configuration) -> BTreeSet<StreamScope> {
    let mut by_service: BTreeMap<ServiceName, BTreeSet<StreamScope>> = BTreeMap::new();
    for route in configuration.routes.iter() {
        let scopes = route.shares.iter().filter_map(|it| StreamScope::of_route(route, &it.service));
        for scope in scopes {
            by_service.entry(scope.service.clone()).or_default().insert(scope);
        }
    }
    by_service
        .into_iter()
        .flat_map(|(service, scopes)| recorded_together(service, scopes))
        .collect()
}

/// The scopes of one service, or one of all its streams if that is one of them, or if they are many.
fn recorded_together(service: ServiceName, scopes: BTreeSet<StreamScope>) -> BTreeSet<StreamScope> {
    let all = StreamScope::of_service(service);
    match scopes.contains(&all) || scopes.len() > MAX_RECORDED_ROUTES {
        true => BTreeSet::from([all]),
        false => scopes,
    }
}
