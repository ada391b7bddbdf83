//! The configuration that the operators have put in force.

use crate::capacity_planner::ScalingSpec;
use crate::ids::ServiceName;
use crate::tenancy::Tenants;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// One version of the whole configuration. Versions increase, not necessarily by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; a later version has a higher one.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: RouteTable,
    /// Services to which routes lead, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
    /// The tenants that may send requests.
    pub tenants: Tenants,
}

impl Configuration {
    /// The smallest target time among the routes in which a service has a share, in milliseconds;
    /// `None` if there is no such route.
    pub fn min_target_ms(&self, service: &ServiceName) -> Option<u64> {
        let serves = |route: &&Rc<Route>| {
            route.shares.iter().any(|share| share.service == *service && share.weight > 0)
        };
        self.routes.iter().filter(serves).map(|route| route.target_ms).min()
    }
}

/// Routes by host. A lookup examines only the routes of the request's host, however many routes
/// there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Keys are hosts in lower case; the routes of a host are sorted with the longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// The route of a request: among the host's routes, the one with the longest matching path
    /// prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// Number of routes over all hosts.
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

/// Whether a failed request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once; retried only if it provably has not run.
    NonIdempotent,
    /// The response is a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that a request must name, in any case.
    pub host: String,
    /// Prefix that the path of a request must have.
    pub prefix: String,
    /// Whether a failed request may be retried.
    pub kind: RequestKind,
    /// Maximum time for which the operators want a request to be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a response earns its full value, in milliseconds.
    pub target_ms: u64,
    /// Maximum gap between events of a stream that counts as in time, in milliseconds; `None`: no
    /// target.
    pub gap_target_ms: Option<u64>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub shares: Vec<Share>,
    /// Maximum number of runners that may run one request.
    pub max_attempts: u32,
    /// Whether requests name the shared prefixes of their prompt.
    pub sticky: bool,
    /// Whether a broken stream may continue at another runner.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RequestKind::Idempotent || self.resumable
    }

    /// Whether requests may go to a service.
    pub fn sends_to(&self, service: &ServiceName) -> bool {
        self.shares.iter().any(|share| share.service == *service && share.weight > 0)
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service that gets this share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route; a share of weight 0 gets no requests.
    pub weight: u32,
}

/// A service that runners offer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Maximum number of connections that a runner accepts in total.
    pub max_connections: u32,
    /// Properties of its runners; `None` if they do not run a language model.
    pub engine: Option<EngineSpec>,
    /// How its runners can be ordered; `None` if they cannot.
    pub scaling: Option<ScalingSpec>,
}

/// Properties of the runners of a language model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that a runner processes in one batch.
    pub slots: u32,
    /// Capacity of the KV cache, in prompt tokens.
    pub kv_tokens: u64,
    /// Time for which a runner keeps the KV cache of a prefilled prompt under its handle, in
    /// seconds.
    pub handle_ttl_s: f64,
    /// Size of a token in the KV cache, in bytes; 0: unknown.
    pub token_bytes: u64,
    /// Bandwidth of a runner's link for transfers of KV cache, in megabits per second; 0: unknown.
    pub transfer_mbps: f64,
}

impl EngineSpec {
    /// A transfer of KV cache between regions takes this many times as long as one within a zone,
    /// according to the platform's interface.
    const CROSS_REGION_FACTOR: f64 = 10.0;

    /// Time of a transfer of KV cache between regions, in milliseconds per token; `None` if the
    /// size of a token or the bandwidth is unknown.
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
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a client must send a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle between requests, in milliseconds.
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
