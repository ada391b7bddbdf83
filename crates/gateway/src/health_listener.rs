//! Serves readiness, metrics and reports on the health address.

use crate::descriptor_shares::DescriptorShare;
use crate::listener::{accept, into_ntex_io};
use crate::metrics;
use crate::node::Node;
use crate::open_connections::OpenConnection;
use crate::quota::report::report;
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message};
use ntex::http::header::{HeaderValue, CONTENT_TYPE};
use ntex::http::{HttpServiceConfig, Method, Response, StatusCode};
use ntex::io::{Io, IoConfig};
use ntex::util::Bytes;
use ntex::SharedCfg;
use pitchstall_platform_adapter::paths;
use pitchstall_serving::connection_table::Activity;
use pitchstall_serving::request_identity::InvalidIdentity;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Path of the OpenMetrics text on the health address.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the list of requests under which runners have crashed, on the health address. `DELETE` on this
/// path followed by `/` and a request's identity takes that request out of quarantine.
pub const QUARANTINE_PATH: &str = "/quarantine";
/// Path of the node's view of tenants' limits, on the health address.
pub const QUOTA_PATH: &str = "/quota";
/// Maximum number of simultaneous connections.
const MAX_CONNECTIONS: usize = 64;
/// Maximum time for flushing a response to a client that reads slowly.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Size of the read buffer. Further bytes stay in the socket.
const READ_BUFFER_BYTES: usize = 4 * 1024;
const READ_BUFFER_LOW_WATERMARK_BYTES: usize = 1024;
const BUFFER_CACHE_SIZE: usize = 4;
/// Time after which an idle connection on the health address is closed.
const HEALTH_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

thread_local! {
    /// One configuration for all connections of a thread, because ntex gives each configuration its own id and
    /// never frees the buffers that it keeps for an id.
    static HEALTH_CONFIG: SharedCfg = {
        let io = IoConfig::new().set_read_buf(
            READ_BUFFER_BYTES,
            READ_BUFFER_LOW_WATERMARK_BYTES,
            BUFFER_CACHE_SIZE,
        );
        let http = HttpServiceConfig::new().set_max_buf_size(MAX_HEADER_BYTES);
        SharedCfg::new("health").add(io).add(http).into()
    };
}

/// Serves readiness, metrics and reports on the health address until the task is dropped.
pub async fn accept_health(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let most = DescriptorShare::Health.of(&node.settings()).min(MAX_CONNECTIONS);
        let connections = &node.health_connections;
        if !connections.make_room(|| connections.count() < most).await {
            continue;
        }
        let config = HEALTH_CONFIG.with(Clone::clone);
        if let Some(io) = into_ntex_io(stream, config.clone()) {
            let open = connections.open(&io);
            ntex::rt::spawn(serve_health(io, config, node.clone(), open));
        }
    }
}

async fn serve_health(io: Io, config: SharedCfg, node: Rc<Node>, open: OpenConnection) {
    let codec = Codec::new(0, config.get());
    while let Ok(Ok(Some((request, _)))) = timeout(HEALTH_IDLE_TIMEOUT, io.recv(&codec)).await {
        open.set_activity(Activity::Handling);
        let (response, body) = health_response(request.method(), request.path(), &node);
        let size = BodySize::Sized(body.len() as u64);
        let written = io.encode(Message::Item((response, size)), &codec).is_ok()
            && io.encode(Message::Chunk(Some(Bytes::from(body))), &codec).is_ok()
            && io.encode(Message::Chunk(None), &codec).is_ok();
        open.set_activity(Activity::Sending);
        let is_sent = written && matches!(timeout(WRITE_TIMEOUT, io.flush(true)).await, Ok(Ok(())));
        if !is_sent || !codec.keepalive() {
            break;
        }
        open.set_activity(Activity::Receiving);
    }
    io.close();
}

fn health_response(method: &Method, path: &str, node: &Node) -> (Response<()>, String) {
    if let Some(identity) = path.strip_prefix(QUARANTINE_PATH).and_then(|it| it.strip_prefix('/')) {
        return lift_quarantine(method, identity, node);
    }
    match path {
        paths::READY if node.is_ready() => text_response(StatusCode::OK, "ready\n"),
        paths::READY => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        METRICS_PATH => {
            let (mut response, _) = text_response(StatusCode::OK, "");
            let content_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            node.metrics.configuration_lag.set(node.configuration_lag().as_secs_f64());
            (response, node.metrics.render())
        }
        QUARANTINE_PATH => {
            let suspects = node.quarantine.borrow().suspects();
            text_response(StatusCode::OK, &serde_json::json!(suspects).to_string())
        }
        QUOTA_PATH => text_response(StatusCode::OK, &report(node).to_string()),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Takes a request out of quarantine on all nodes, on behalf of an operator.
fn lift_quarantine(method: &Method, identity: &str, node: &Node) -> (Response<()>, String) {
    if method != Method::DELETE {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "expected DELETE\n");
    }
    match identity.parse() {
        Err(error) => {
            let error: InvalidIdentity = error;
            text_response(StatusCode::BAD_REQUEST, &format!("{error}\n"))
        }
        Ok(identity) if node.lift_quarantine(identity) => text_response(StatusCode::OK, "lifted\n"),
        Ok(_) => text_response(StatusCode::NOT_FOUND, "no runner has ended under it\n"),
    }
}

fn text_response(status: StatusCode, body: &str) -> (Response<()>, String) {
    (Response::with_body(status, ()), body.to_owned())
}
