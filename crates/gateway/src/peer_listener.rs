//! Accepts connections of other nodes. Their first line tells what they are for.

use crate::descriptor_shares::DescriptorShare;
use crate::json_lines::{read_line_within, MAX_QUERY_BYTES};
use crate::listener::{accept, into_ntex_io};
use crate::node::Node;
use crate::open_connections::OpenConnection;
use crate::replication::Followers;
use crate::tunnel::{server, TunnelQuery};
use ntex::io::Io;
use pitchstall_serving::connection_table::Activity;
use pitchstall_serving::store_replica::StoreUpdateQuery;
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Maximum number of simultaneous connections. If all are in use, those beyond it are closed, and another node is asked.
const MAX_CONNECTIONS: usize = 768;
/// Time after which a connection without a query is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The first line on a connection of another node.
#[derive(Deserialize)]
#[serde(untagged)]
enum PeerQuery {
    Tunnel(TunnelQuery),
    StoreUpdate(StoreUpdateQuery),
}

/// Accepts and serves connections until the task is dropped.
pub async fn accept_peers(listener: TcpListener, node: Rc<Node>) {
    let followers = Rc::<Followers>::default();
    // All connections share one configuration, since ntex never frees the buffers kept for a
    // configuration.
    let config: ntex::SharedCfg = ntex::SharedCfg::new("peers").into();
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let most = DescriptorShare::Peers.of(&node.settings()).min(MAX_CONNECTIONS);
        let connections = &node.peer_connections;
        if !connections.make_room(|| connections.count() < most).await {
            continue;
        }
        let Some(io) = into_ntex_io(stream, config.clone()) else { continue };
        let open = connections.open(&io);
        let (node, followers) = (node.clone(), followers.clone());
        ntex::rt::spawn(async move { serve(&io, &node, &followers, &open).await });
    }
}

async fn serve(io: &Io, node: &Node, followers: &Followers, open: &OpenConnection) {
    let query = timeout(IDLE_TIMEOUT, read_line_within(io, MAX_QUERY_BYTES)).await;
    open.set_activity(Activity::Handling);
    match query {
        Ok(Ok(PeerQuery::Tunnel(query))) => server::serve(io, node, &query).await,
        Ok(Ok(PeerQuery::StoreUpdate(query))) => followers.serve(io, node, query, open).await,
        Ok(Err(error)) => {
            let error = error.to_string();
            log::debug!(target: "peers", error; "connection of another node closed");
        }
        Err(_) => log::debug!(target: "peers", "connection of another node closed: no query"),
    }
}
