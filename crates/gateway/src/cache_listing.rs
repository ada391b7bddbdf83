//! Requests the contents of runners' KV caches once after a start.
//!
//! A scheduler that has just started knows nothing about the caches of its runners, which may be
//! warm. It queries only the runners of its own shards, one after the other.

use crate::http::request::encode_request;
use crate::node::Node;
use crate::runner_connection;
use crate::shard_scheduler::own_shards;
use crate::transfer::{read_body, Transfer};
use pitchstall_platform_adapter::paths::{self, RunnerResponse};
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::runner::{Runner, RunnerRecord};
use pitchstall_serving::scheduling::Shard;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between two checks whether the node is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for the head of one runner's response. The body has no time
/// limit as long as data arrives.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a runner's cache list.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// Queries the language model runners of the shards that this node schedules. A node that does not
/// know any other nodes yet would query all runners, so it waits until it has read the list of
/// nodes.
pub async fn list_own_shards(node: Rc<Node>) {
    while !node.is_ready() || !node.has_listed_nodes() {
        sleep(READY_POLL_INTERVAL).await;
    }
    let shards = own_shards(&node);
    let runners = runners_to_list(&node.fleet.borrow(), &shards);
    for (runner, _) in runners {
        let record = node.fleet.borrow().get(&runner).map(|known| known.record.clone());
        let Some(record) = record.filter(|_| node.may_send_to(&runner)) else { continue };
        let reply = fetch_cache_list(&node, &record).await;
        if let Some(other) =
            reply.as_ref().filter(|reply| !runner.matches_start(reply.started_at_ms))
        {
            node.on_incarnation_mismatch(&runner, other.started_at_ms);
            continue;
        }
        let prefixes = reply.map(|reply| reply.value);
        let listed = prefixes.as_ref().map_or(0, Vec::len);
        let has_replied = prefixes.is_some();
        log::info!(target: "scheduling", runner = runner.as_str(), answered = has_replied, listed; "cache list requested");
        node.on_prefix_cached(&runner, &prefixes.unwrap_or_default());
    }
}

/// The language model runners that belong to one of the shards.
pub fn runners_to_list(fleet: &Fleet, shards: &[Shard]) -> Vec<(RunnerId, SocketAddr)> {
    let is_listed = |runner: &&Runner| {
        let serves_model = runner.accepts_work() && runner.record.stage.is_some();
        serves_model && shards.iter().any(|shard| shard.contains(runner))
    };
    let listed = fleet.iter().filter(is_listed);
    listed.map(|runner| (runner.record.id.clone(), runner.record.address)).collect()
}

async fn fetch_cache_list(
    node: &Rc<Node>,
    record: &RunnerRecord,
) -> Option<RunnerResponse<Vec<PromptPart>>> {
    const OK: u16 = 200;
    let connection = runner_connection::open(node, record, &None).await.ok()?;
    let headers = [("host".to_owned(), record.address.to_string().into_bytes())];
    let pending = connection.send(encode_request("GET", paths::CACHE_LIST, &headers, &[])).ok()?;
    let response = timeout(RESPONSE_HEAD_TIMEOUT, pending.read_head()).await.ok()?.ok()?;
    let transfer = Transfer::default();
    let body = read_body(&response, MAX_LIST_BYTES, &transfer).await.ok()?;
    if response.head.status == OK {
        paths::parse_cache_list(&body)
    } else {
        None
    }
}
