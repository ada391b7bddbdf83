//! Accepts connections from clients.
//!
//! The server of ntex cannot stop accepting connections while it goes on serving open ones. The
//! listeners are therefore tokio's, and each accepted connection becomes an ntex stream.

use crate::close_control::CloseControl;
use crate::connection;
use crate::node::Node;
use ntex::io::Io;
use ntex::SharedCfg;
use socket2::SockRef;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time after which unacknowledged bytes make the kernel close a client's connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts client connections until the task is dropped.
pub async fn accept_clients(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let connections = &node.client_connections;
        if !connections.make_room(|| node.has_room_for_client()).await {
            // The connection is closed without reading from it, so the client can safely try another node.
            continue;
        }
        let limits = node.configuration().map(|it| it.limits).unwrap_or_default();
        let config = connection::client_config(&limits);
        let close_control = close_control(&stream, &node);
        if let Some(io) = into_ntex_io(stream, config.clone()) {
            let open = connections.open(&io);
            ntex::rt::spawn(connection::serve(io, close_control, config, node.clone(), open));
        }
    }
}

/// Decides how the connection is closed. `None` if the process has no file descriptor left: the connection then serves no
/// stream to a client that speaks HTTP/1.0.
fn close_control(stream: &TcpStream, node: &Rc<Node>) -> Option<CloseControl> {
    let created = CloseControl::new(stream, node);
    if let Err(error) = &created {
        let error = error.to_string();
        log::warn!(target: "listener", error; "descriptor of a client connection not duplicated");
    }
    created.ok()
}

/// Accepts the next connection. Returns `None` after a delay if accepting failed.
pub async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "listener", error; "incoming connection not accepted");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Wraps an accepted connection in an ntex stream. Returns `None` if it cannot be registered with the runtime.
pub fn into_ntex_io(stream: TcpStream, config: SharedCfg) -> Option<Io> {
    let stream = stream.into_std().ok()?;
    // Without this socket option, a dead peer is detected much later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    ntex::rt::from_tcp_stream(stream, config).ok()
}
