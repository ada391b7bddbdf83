//! The configuration that operators put in force.

use crate::capacity_planner::ScalingSpec;
use crate::ids::ServiceName;
use crate::tenancy::Tenants;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// One version of the whole configuration. Versions rise, not always by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version.
    pub version: u64,
    /// Routes by host.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
    /// Who may send requests.
    pub tenants: Tenants,
}

impl Configuration {
    /// The shortest target of the routes that a service has a share in, milliseconds.
    pub fn min_target_ms(&self, service: &ServiceName) -> Option<u64> {
        let serves = |route: &&Rc<Route>| {
            route.shares.iter().any(|share| share.service == *service && share.weight > 0)
        };
        self.routes.iter().filter(serves).map(|route| route.target_ms).min()
    }
}

/// Routes, found by host: a request looks at those of its own host alone, however many there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// By host in lower case; of a host, the longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// The route of a request: of the host's routes, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

impl FromIterator<Rc<Route>> for RouteTable {
    fn from_iter<I: IntoIterator<Item = Rc<Route>>>(routes: I) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Self { by_host }
    }
}

/// What may be done with a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that clients name.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// What may be done with a request that failed.
    pub kind: RequestKind,
    /// Longest time the operators want a request held, milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, milliseconds.
    pub target_ms: u64,
    /// Longest pause between events of a stream in time, milliseconds.
    pub gap_target_ms: Option<u64>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub shares: Vec<Share>,
    /// Most runners that may run one request.
    pub max_attempts: u32,
    /// Whether requests name the parts of their prompt.
    pub sticky: bool,
    /// Whether a broken stream may go on at another runner.
    pub resumable: bool,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RequestKind::Idempotent || self.resumable
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A service that runners offer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that a runner takes from all callers together.
    pub max_connections: u32,
    /// What its runners are, if they run a language model.
    pub engine: Option<EngineSpec>,
    /// How its runners can be ordered, if they can.
    pub scaling: Option<ScalingSpec>,
}

/// A runner of a language model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Prompt tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Seconds that a prompt's handle is kept.
    pub handle_ttl_s: f64,
    /// Bytes of KV cache of a token; 0: not told.
    pub token_bytes: u64,
    /// Bandwidth of a runner's link for KV cache, megabits a second; 0: not told.
    pub transfer_mbps: f64,
}

impl EngineSpec {
    /// How many times as long as inside a zone a move of KV cache between regions takes, by the
    /// platform's interface.
    const CROSS_REGION_FACTOR: f64 = 10.0;

    /// Time that a move of KV cache between regions takes, milliseconds a token; `None`: not told.
    pub fn cross_region_ms_per_token(&self) -> Option<f64> {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MS_PER_MBPS: f64 = 1_000.0;
        let bits = self.token_bytes as f64 * BITS_PER_BYTE;
        let is_known = bits > 0.0 && self.transfer_mbps > 0.0;
        is_known
            .then(|| bits / (self.transfer_mbps * BITS_PER_MS_PER_MBPS) * Self::CROSS_REGION_FACTOR)
    }
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a request's head, milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may rest between requests, milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
