//! Takes connections: from clients, and on the address that tells whether the node is ready.
//!
//! ntex's server cannot stop taking connections while it goes on with those it has, so the
//! listeners are tokio's; each connection is an ntex stream.

use crate::connection;
use crate::metrics;
use crate::node::Node;
use crate::quota::report::report;
use ntex::http::body::BodySize;
use ntex::http::h1::{Codec, Message};
use ntex::http::header::{HeaderValue, CONTENT_TYPE};
use ntex::http::{Method, Response, StatusCode};
use ntex::io::Io;
use ntex::util::Bytes;
use ntex::SharedCfg;
use pitchstall_platform_adapter::paths;
use pitchstall_serving::configuration::ClientLimits;
use pitchstall_serving::request_identity::InvalidIdentity;
use socket2::SockRef;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Path of the metrics on the health address.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the requests under which runners have ended, on the health address. With `DELETE`, and an
/// identity after it, one of them is taken out of quarantine.
pub const QUARANTINE_PATH: &str = "/quarantine";
/// Path of what is known of tenants' limits, on the health address.
pub const QUOTA_PATH: &str = "/quota";
/// Bytes that a client does not acknowledge for this long break its connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a connection of the health address may rest.
const HEALTH_IDLE: Duration = Duration::from_secs(30);
/// Pause after a connection could not be taken, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes clients' connections until the task is dropped.
pub async fn accept_clients(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        if !node.can_accept_client() {
            // Closed unread, so the client may try another node.
            log::warn!(target: "listener", open = node.open_connections(); "no room for a client");
            continue;
        }
        let limits = node.configuration().map(|it| it.limits).unwrap_or_default();
        let config = connection::client_config(&limits);
        if let Some(io) = stream_of(stream, config.clone()) {
            let open = node.open_connection();
            ntex::rt::spawn(connection::serve(io, config, node.clone(), open));
        }
    }
}

/// Answers questions on the health address until the task is dropped.
pub async fn accept_health(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let config = connection::client_config(&ClientLimits::default());
        if let Some(io) = stream_of(stream, config.clone()) {
            ntex::rt::spawn(serve_health(io, config, node.clone()));
        }
    }
}

/// Takes the next connection; `None` after a pause if it could not be taken.
pub async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "listener", error; "accept failed");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Makes an ntex stream of a connection that was taken.
pub fn stream_of(stream: TcpStream, config: SharedCfg) -> Option<Io> {
    let stream = stream.into_std().ok()?;
    // A system without this option is served too, only later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    ntex::rt::from_tcp_stream(stream, config).ok()
}

async fn serve_health(io: Io, config: SharedCfg, node: Rc<Node>) {
    let codec = Codec::new(0, config.get());
    while let Ok(Ok(Some((request, _)))) = timeout(HEALTH_IDLE, io.recv(&codec)).await {
        let (response, body) = health_answer(request.method(), request.path(), &node);
        let size = BodySize::Sized(body.len() as u64);
        let written = io.encode(Message::Item((response, size)), &codec).is_ok()
            && io.encode(Message::Chunk(Some(Bytes::from(body))), &codec).is_ok()
            && io.encode(Message::Chunk(None), &codec).is_ok()
            && io.flush(true).await.is_ok();
        if !written || !codec.keepalive() {
            break;
        }
    }
    io.close();
}

fn health_answer(method: &Method, path: &str, node: &Node) -> (Response<()>, String) {
    if let Some(identity) = path.strip_prefix(QUARANTINE_PATH).and_then(|it| it.strip_prefix('/')) {
        return lift_quarantine(method, identity, node);
    }
    match path {
        paths::READY if node.is_ready() => answer(StatusCode::OK, "ready\n"),
        paths::READY => answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        METRICS_PATH => {
            let (mut response, _) = answer(StatusCode::OK, "");
            let content_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            node.metrics.configuration_behind.set(node.configuration_lag().as_secs_f64());
            (response, node.metrics.render())
        }
        QUARANTINE_PATH => {
            let suspects = node.quarantine.borrow().suspects();
            answer(StatusCode::OK, &serde_json::json!(suspects).to_string())
        }
        QUOTA_PATH => answer(StatusCode::OK, &report(node).to_string()),
        _ => answer(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// An operator takes a request out of quarantine, at all nodes.
fn lift_quarantine(method: &Method, identity: &str, node: &Node) -> (Response<()>, String) {
    if method != Method::DELETE {
        return answer(StatusCode::METHOD_NOT_ALLOWED, "expected DELETE\n");
    }
    match identity.parse() {
        Err(error) => {
            let error: InvalidIdentity = error;
            answer(StatusCode::BAD_REQUEST, &format!("{error}\n"))
        }
        Ok(identity) if node.clear_quarantine(identity, "lifted by an operator") => {
            answer(StatusCode::OK, "lifted\n")
        }
        Ok(_) => answer(StatusCode::NOT_FOUND, "no runner has ended under it\n"),
    }
}

fn answer(status: StatusCode, body: &str) -> (Response<()>, String) {
    (Response::with_body(status, ()), body.to_owned())
}
