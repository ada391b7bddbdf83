//! Validates a request, finds its route, tenant and service, and dispatches it.

use crate::clock::Instant;
use crate::connection::ClientConnection;
use crate::dispatch::Dispatch;
use crate::http::{connection_options, is_hop_by_hop_header, Header};
use crate::local_responses::LocalResponse;
use crate::node::{Node, RequestReservation};
use crate::policy::{self, PlacementRules};
use crate::response_memory::ResponseReservation;
use crate::stream_origins::{self, StreamContinuation};
use ntex::http::Request;
use pitchstall_platform_adapter::headers;
use pitchstall_serving::configuration::{Configuration, RequestKind, Route};
use pitchstall_serving::ids::{ServiceName, SoftwareVersion, TenantName};
use pitchstall_serving::request::RequestMetadata;
use pitchstall_serving::request_identity::{self, RequestIdentity, RequestParts, Suspect};
use pitchstall_serving::retry_budget::SharedRetryBudget;
use pitchstall_serving::tenancy::{authorize, Access, Tenant};
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

/// A request as received from a client, with its complete body.
pub struct ClientRequest {
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// Path without the query, by which the route is found.
    pub path: String,
    /// Value of the `host` header, with the port if the client named one.
    pub host: String,
    /// End-to-end headers. The gateway's own headers are removed before they are forwarded to a runner.
    pub headers: Vec<Header>,
    /// The complete body, without transfer coding; empty if the request has none.
    pub body: Vec<u8>,
    /// Values that the node has parsed from the headers.
    pub metadata: RequestMetadata,
    /// When the node began to read the head, after the first byte had arrived.
    pub received_at: Instant,
    identity: OnceCell<RequestIdentity>,
    suspect_parts: OnceCell<Vec<Suspect>>,
    _reservation: RequestReservation,
}

/// A runner's response that was read completely before it is sent to the client.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The HTTP status code that the runner sent.
    pub status: u16,
    /// Headers that are sent to the client.
    pub headers: Vec<Header>,
    /// The complete body, without transfer coding.
    pub body: Vec<u8>,
    /// The memory that the body takes.
    pub memory: ResponseReservation,
}

/// How a request ended, and what is still to be written to the client.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A runner's response has to be written.
    Buffered(BufferedResponse),
    /// A response of the node itself has to be written.
    Local(LocalResponse),
    /// A stream was written completely.
    Streamed,
    /// A stream ended early. The client must be able to see that it is truncated.
    Truncated,
    /// The client disconnected before the request had ended.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Name of the outcome in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Buffered(response) if response.status < 300 => "answered",
            Self::Buffered(_) => "runner_failed",
            Self::Local(response) => response.name(),
            Self::Streamed => "streamed",
            Self::Truncated => "cut",
            Self::ClientDisconnected => "client_gone",
        }
    }
}

impl ClientRequest {
    /// Parses a request's head. Returns `None` if the host or a header that the node depends on is missing or
    /// invalid.
    pub fn new(
        head: &Request,
        body: Vec<u8>,
        received_at: Instant,
        reservation: RequestReservation,
    ) -> Option<Self> {
        let entries = head.headers().iter();
        let all_headers: Vec<Header> = entries
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect();
        let metadata = headers::parse_request(header_pairs(&all_headers)).ok()?;
        let options = connection_options(&all_headers);
        let host = all_headers.iter().find(|(name, _)| name == "host")?;
        let host = std::str::from_utf8(&host.1).ok()?.to_owned();
        let end_to_end = |header: &Header| !is_hop_by_hop_header(&header.0, &options);
        let uri = head.uri();
        Some(Self {
            method: head.method().as_str().to_owned(),
            target: uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
            path: uri.path().to_owned(),
            host,
            headers: all_headers.into_iter().filter(end_to_end).collect(),
            body,
            metadata,
            received_at,
            identity: OnceCell::new(),
            suspect_parts: OnceCell::new(),
            _reservation: reservation,
        })
    }

    /// The identity of the request, which stays the same when it is sent again under another id. It is
    /// computed on first use, since most requests never need it.
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

impl ClientRequest {
    /// The parts of the prompt that may crash runners. They are computed on first use.
    pub fn suspect_parts(&self) -> &[Suspect] {
        self.suspect_parts.get_or_init(|| {
            self.metadata.prompt.as_ref().map_or_else(Vec::new, request_identity::suspect_parts)
        })
    }
}

fn header_pairs(headers: &[Header]) -> impl Iterator<Item = (&str, &[u8])> {
    headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
}

/// Handles a request to its end. Streams are written to `client` while they arrive; any other response is
/// returned.
pub async fn handle(
    node: &Rc<Node>,
    request: &ClientRequest,
    client: &ClientConnection,
) -> RequestOutcome {
    let admitted = match admit(node, request).await {
        Ok(admitted) => admitted,
        Err(Rejection { route, response }) => {
            return finish(node, request, route.as_deref(), RequestOutcome::Local(response));
        }
    };
    let AdmittedRequest { configuration, route, tenant, service, version, rules } = admitted;
    if route.kind == RequestKind::Streaming && !client.can_serve_streams() {
        let id = request.metadata.id.as_str();
        log::warn!(target: "request", request = id; "stream refused: its client speaks HTTP/1.0 on a connection that was begun otherwise");
        let refused = RequestOutcome::Local(LocalResponse::Refused);
        return finish(node, request, Some(&route), refused);
    }
    if !node.make_room_for_request().await {
        let id = request.metadata.id.as_str();
        log::warn!(target: "request", request = id; "request refused: all file descriptors for connections to runners are in use");
        return finish(node, request, Some(&route), RequestOutcome::Local(LocalResponse::Refused));
    }
    let _dispatched = node.dispatched_requests.open();
    let time_limit = TimeLimit::new(request, Some(&route));
    let deadline = request.received_at + Duration::from_millis(time_limit.limit_ms);
    node.with_retry_budget(&service, SharedRetryBudget::on_request);
    let dispatch = Dispatch::new(node, request, &route, service, rules, &configuration, deadline);
    let end = dispatch.for_tenant(tenant).at_version(version).run(client).await;
    finish(node, request, Some(&route), end)
}

/// A request that may be sent to a runner.
struct AdmittedRequest {
    configuration: Rc<Configuration>,
    route: Rc<Route>,
    /// `None`: the request runs without a tenant.
    tenant: Option<Rc<Tenant>>,
    service: ServiceName,
    /// Software version that began the stream which the request resumes; `None` if it may run anywhere.
    version: Option<SoftwareVersion>,
    rules: PlacementRules,
}

/// A request that the node answers itself.
struct Rejection {
    /// `None` if the request has no route, or it is not known.
    route: Option<Rc<Route>>,
    response: LocalResponse,
}

impl Rejection {
    fn without_route(response: LocalResponse) -> Self {
        Self { route: None, response }
    }
}

/// Finds out whether and where a request may run.
async fn admit(node: &Rc<Node>, request: &ClientRequest) -> Result<AdmittedRequest, Rejection> {
    let configuration = node
        .configuration()
        .ok_or_else(|| Rejection::without_route(LocalResponse::Unconfigured))?;
    if node.has_outdated_configuration() {
        // The route may have been moved or removed by a newer version that other nodes have.
        return Err(Rejection::without_route(LocalResponse::Outdated));
    }
    let route = find_route(&configuration, request)
        .ok_or_else(|| Rejection::without_route(no_route_response(node)))?;
    let rejected = |response| Rejection { route: Some(route.clone()), response };
    if !node.has_listed_crashes() {
        return Err(rejected(LocalResponse::CrashesUnknown));
    }
    let tenant = authorize_tenant(node, &configuration, &route, request).map_err(rejected)?;
    let service = node.next_service(&route).ok_or_else(|| rejected(LocalResponse::Refused))?;
    let (service, version) =
        stream_origin(node, request, &route, service).await.map_err(rejected)?;
    let priority = tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    // A program that fails allows no zone, since it might have forbidden any of them.
    let rules = policy::placement_rules(node, request, priority, &service)
        .map_err(|_| rejected(LocalResponse::Refused))?;
    Ok(AdmittedRequest { configuration, route, tenant, service, version, rules })
}

/// The service of a request, and the software version that it has to run at: those that began the stream which it
/// resumes, or `service` and any version.
async fn stream_origin(
    node: &Rc<Node>,
    request: &ClientRequest,
    route: &Route,
    service: ServiceName,
) -> Result<(ServiceName, Option<SoftwareVersion>), LocalResponse> {
    match stream_origins::continuation(node, request, route, &service).await {
        StreamContinuation::Anywhere => Ok((service, None)),
        StreamContinuation::Unknown => Err(LocalResponse::StreamUnknown),
        StreamContinuation::AtOrigin(origin) | StreamContinuation::AtOnlyVersion(origin) => {
            match route.sends_to(&origin.service) {
                true => Ok((origin.service, Some(origin.version))),
                false => Err(LocalResponse::StreamVersionGone),
            }
        }
    }
}

/// The response to a request without a route. `NoRoute` is returned only if the configuration is current: otherwise
/// the route may have been added by a version that this node has not received yet.
fn no_route_response(node: &Node) -> LocalResponse {
    match node.configuration_age().is_current(node.key_policy().config_apply_ms) {
        true => LocalResponse::NoRoute,
        false => LocalResponse::Outdated,
    }
}

/// The tenant of a request (`None`: it runs without one), or the response if it is not authorized.
fn authorize_tenant(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    request: &ClientRequest,
) -> Result<Option<Rc<Tenant>>, LocalResponse> {
    let credential = request.metadata.credential;
    let (age, policy) = (node.configuration_age(), node.key_policy());
    match authorize(&configuration.tenants, route.is_public, credential, age, policy) {
        Access::Open => Ok(None),
        Access::Granted(tenant) => Ok(Some(tenant)),
        Access::Denied => Err(LocalResponse::Unauthorized),
        Access::Unverifiable => Err(LocalResponse::Unverifiable),
    }
}

fn find_route(configuration: &Configuration, request: &ClientRequest) -> Option<Rc<Route>> {
    let without_port = request.host.split_once(':').map(|(host, _)| host);
    let routes = &configuration.routes;
    routes
        .find(&request.host, &request.path)
        .or_else(|| routes.find(without_port?, &request.path))
        .cloned()
}

/// The time that a request may take.
struct TimeLimit {
    /// Milliseconds from [`ClientRequest::received_at`]; 0 if there is no limit.
    limit_ms: u64,
    /// Who has set the limit: `client`, `route` or `none`.
    set_by: &'static str,
}

impl TimeLimit {
    /// The client's deadline or the route's timeout, whichever is shorter. `route` is `None` if the request has no
    /// route.
    fn new(request: &ClientRequest, route: Option<&Route>) -> Self {
        let timeout_ms = route.map(|route| route.timeout_ms);
        let (limit_ms, set_by) = match (request.metadata.deadline_ms, timeout_ms) {
            (Some(deadline_ms), Some(timeout_ms)) if deadline_ms > timeout_ms => {
                (timeout_ms, "route")
            }
            (Some(deadline_ms), _) => (deadline_ms, "client"),
            (None, Some(timeout_ms)) => (timeout_ms, "route"),
            (None, None) => (0, "none"),
        };
        Self { limit_ms, set_by }
    }
}

/// Ends a request whose client has disconnected before its response was complete. `error` is the error of the
/// connection; `None` if the client closed it in an orderly way.
pub fn on_disconnected(
    node: &Node,
    request: &ClientRequest,
    error: Option<std::io::Error>,
) -> RequestOutcome {
    let id = request.metadata.id.as_str();
    let error = error.map_or_else(|| "closed by peer".to_owned(), |error| error.to_string());
    log::info!(target: "request", request = id, error; "client disconnected");
    let configuration = node.configuration();
    let route = configuration.and_then(|configuration| find_route(&configuration, request));
    finish(node, request, route.as_deref(), RequestOutcome::ClientDisconnected)
}

/// Ends a request whose handling has panicked.
pub fn on_panicked(
    node: &Node,
    request: &ClientRequest,
    outcome: RequestOutcome,
) -> RequestOutcome {
    let configuration = node.configuration();
    let route = configuration.and_then(|configuration| find_route(&configuration, request));
    finish(node, request, route.as_deref(), outcome)
}

fn finish(
    node: &Node,
    request: &ClientRequest,
    route: Option<&Route>,
    end: RequestOutcome,
) -> RequestOutcome {
    let outcome = end.name();
    node.metrics.on_request(outcome);
    let id = request.metadata.id.as_str();
    let TimeLimit { limit_ms, set_by: limited_by } = TimeLimit::new(request, route);
    let route = route.map_or("", |route| route.name.as_str());
    let elapsed_ms = u64::try_from(request.received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let version = node.configuration().map_or(0, |it| it.version);
    log::info!(target: "request", request = id, route, outcome, elapsed_ms, limit_ms, limited_by, version; "finished");
    end
}
