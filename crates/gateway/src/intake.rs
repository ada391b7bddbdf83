//! Takes a request in: refuses at once what can be refused, finds its route and service.

use crate::answers::OwnAnswer;
use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::dispatch::Dispatch;
use crate::http::{is_connection_header, named_by_connection, Header};
use crate::node::{BodyReservation, Node};
use crate::policy;
use ntex::http::Request;
use pitchstall_platform_adapter::headers;
use pitchstall_serving::configuration::{Configuration, Route};
use pitchstall_serving::ids::TenantName;
use pitchstall_serving::request::RequestMetadata;
use pitchstall_serving::request_identity::{RequestIdentity, RequestParts};
use pitchstall_serving::retry_budget::SharedRetryBudget;
use pitchstall_serving::tenancy::{authorize, Access, Tenant};
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

/// A request as it came from a client, with its whole body.
pub struct ClientRequest {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// Path alone.
    pub path: String,
    /// The host that the client named.
    pub host: String,
    /// Headers that may go on to a runner, before those of the system are dropped.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// What matters of it.
    pub facts: RequestMetadata,
    /// When its first byte came.
    pub received: Instant,
    identity: OnceCell<RequestIdentity>,
    _reservation: Option<BodyReservation>,
}

/// An answer of a runner, read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// The status.
    pub status: u16,
    /// Headers for the client.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A runner's answer is to be written.
    Whole(WholeAnswer),
    /// An answer of the node's own is to be written.
    Own(OwnAnswer),
    /// A stream was written to its end.
    Streamed,
    /// A stream broke off and must be seen to have broken off.
    Cut,
    /// The client has gone.
    ClientGone,
}

impl RequestEnd {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Whole(answer) if answer.status < 300 => "answered",
            Self::Whole(_) => "runner_failed",
            Self::Own(answer) => answer.name(),
            Self::Streamed => "streamed",
            Self::Cut => "cut",
            Self::ClientGone => "client_gone",
        }
    }
}

impl ClientRequest {
    /// Reads a request's head; `None` if what a node must know of it cannot be read.
    pub fn new(
        head: &Request,
        body: Vec<u8>,
        received: Instant,
        reservation: Option<BodyReservation>,
    ) -> Option<Self> {
        let pairs = head.headers().iter();
        let all: Vec<Header> = pairs
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect();
        let facts = headers::parse_request(pair_refs(&all)).ok()?;
        let named = named_by_connection(&all);
        let host = all.iter().find(|(name, _)| name == "host")?;
        let host = std::str::from_utf8(&host.1).ok()?.to_owned();
        let end_to_end = |header: &Header| !is_connection_header(&header.0, &named);
        let uri = head.uri();
        Some(Self {
            method: head.method().as_str().to_owned(),
            target: uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
            path: uri.path().to_owned(),
            host,
            headers: all.into_iter().filter(end_to_end).collect(),
            body,
            facts,
            received,
            identity: OnceCell::new(),
            _reservation: reservation,
        })
    }

    /// What stays of the request when it comes again under another id. Worked out when it is first
    /// asked for: most requests never need it.
    pub fn identity(&self, tenant: Option<&TenantName>) -> RequestIdentity {
        *self.identity.get_or_init(|| {
            RequestIdentity::of(&RequestParts {
                method: &self.method,
                host: &self.host,
                target: &self.target,
                tenant,
                body: &self.body,
            })
        })
    }
}

fn pair_refs(headers: &[Header]) -> impl Iterator<Item = (&str, &[u8])> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
}

/// Answers a request; streams are written to `client` while they come.
pub async fn answer(
    node: &Rc<Node>,
    request: &ClientRequest,
    client: &ClientConnection,
) -> RequestEnd {
    let Some(configuration) = node.configuration() else {
        return finish(node, request, None, RequestEnd::Own(OwnAnswer::Unconfigured));
    };
    if node.has_outdated_configuration() {
        // Its route may have been moved or removed, by a version that other nodes have.
        return finish(node, request, None, RequestEnd::Own(OwnAnswer::Outdated));
    }
    let Some(route) = route_of(&configuration, request) else {
        return finish(node, request, None, RequestEnd::Own(without_route(node)));
    };
    let tenant = match access(node, &configuration, &route, request) {
        Ok(tenant) => tenant,
        Err(answer) => return finish(node, request, Some(&route), RequestEnd::Own(answer)),
    };
    let Some(service) = node.next_service(&route) else {
        return finish(node, request, Some(&route), RequestEnd::Own(OwnAnswer::Refused));
    };
    let priority = tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    let rules = match policy::rules_for(node, request, priority, &service) {
        Ok(rules) => rules,
        // A program that fails allows nothing: it may have been about to forbid a zone.
        Err(_) => return finish(node, request, Some(&route), RequestEnd::Own(OwnAnswer::Refused)),
    };
    let deadline = request.received + time_allowed(request, &route);
    node.with_retry_budget(&service, SharedRetryBudget::on_request);
    let dispatch = Dispatch::new(node, request, &route, service, rules, &configuration, deadline);
    let dispatch = dispatch.for_tenant(tenant);
    let end = dispatch.run(client).await;
    finish(node, request, Some(&route), end)
}

/// Only a node that would know a route says that there is none: the route may have been added by a version
/// that it has not got yet.
fn without_route(node: &Node) -> OwnAnswer {
    match node.configuration_age().is_current(node.key_policy().config_apply_ms) {
        true => OwnAnswer::NoRoute,
        false => OwnAnswer::Outdated,
    }
}

/// The tenant for whom a request runs, or why it may not run.
fn access(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    request: &ClientRequest,
) -> Result<Option<Rc<Tenant>>, OwnAnswer> {
    let credential = request.facts.credential;
    let (copy, policy) = (node.configuration_age(), node.key_policy());
    match authorize(&configuration.tenants, route.is_public, credential, copy, policy) {
        Access::Open => Ok(None),
        Access::Granted(tenant) => Ok(Some(tenant)),
        Access::Denied => Err(OwnAnswer::Unauthorized),
        Access::Unverifiable => Err(OwnAnswer::Unverifiable),
    }
}

fn route_of(configuration: &Configuration, request: &ClientRequest) -> Option<Rc<Route>> {
    let without_port = request.host.split_once(':').map(|(host, _)| host);
    let routes = &configuration.routes;
    routes
        .find(&request.host, &request.path)
        .or_else(|| routes.find(without_port?, &request.path))
        .cloned()
}

/// The client's deadline or the route's time limit, whichever is shorter.
fn time_allowed(request: &ClientRequest, route: &Route) -> Duration {
    let deadline_ms = request.facts.deadline_ms.unwrap_or(route.timeout_ms);
    Duration::from_millis(deadline_ms.min(route.timeout_ms))
}

fn finish(
    node: &Node,
    request: &ClientRequest,
    route: Option<&Route>,
    end: RequestEnd,
) -> RequestEnd {
    let outcome = end.name();
    node.metrics.on_request(outcome);
    let id = request.facts.id.as_str();
    let route = route.map_or("", |route| route.name.as_str());
    let elapsed_ms = u64::try_from(request.received.elapsed().as_millis()).unwrap_or(u64::MAX);
    let version = node.configuration().map_or(0, |it| it.version);
    log::info!(target: "request", request = id, route, outcome, elapsed_ms, version; "finished");
    end
}
