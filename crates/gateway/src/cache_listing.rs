//! Asks runners what they keep in their KV caches, once after a start.
//!
//! A scheduler that has just started knows nothing of the caches of its runners, which may be
//! warm. It asks the runners of its own shards only, one after the other.

use crate::http::request::request_bytes;
use crate::http::{BodyDecoder, Upstream};
use crate::node::Node;
use crate::shard_scheduler::own_shards;
use crate::transfer::{read_body, Transfer};
use pitchstall_platform_adapter::paths::{self, Told};
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use pitchstall_serving::runner::Runner;
use pitchstall_serving::scheduling::Shard;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Between two looks whether the node is ready.
const READY_POLL: Duration = Duration::from_millis(50);
/// Time for the head of one runner's answer; the list is waited for as long as it makes progress.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);
/// Largest answer.
const MOST_LIST_BYTES: usize = 1024 * 1024;
/// Asks the runners of language models of the shards that this node schedules. A node that knows
/// no others yet would ask all of them, so it waits until it has read who is there.
pub async fn list_own_shards(node: Rc<Node>) {
    while !node.is_ready() || !node.has_listed_nodes() {
        sleep(READY_POLL).await;
    }
    let shards = own_shards(&node);
    let runners = runners_to_list(&node.fleet.borrow(), &shards);
    for (runner, address) in runners {
        if !node.may_send_to(&runner) {
            continue;
        }
        let told = list(address).await;
        if let Some(other) = told.as_ref().filter(|told| !runner.matches_start(told.born_ms)) {
            node.on_incarnation_mismatch(&runner, other.born_ms);
            continue;
        }
        let parts = told.map(|told| told.what);
        let listed = parts.as_ref().map_or(0, Vec::len);
        let answered = parts.is_some();
        log::info!(target: "scheduling", runner = runner.as_str(), answered, listed; "cache listed");
        node.on_prefix_cached(&runner, &parts.unwrap_or_default());
    }
}

/// Runners of language models that belong to one of the shards.
pub fn runners_to_list(fleet: &Fleet, shards: &[Shard]) -> Vec<(RunnerId, SocketAddr)> {
    let has = |runner: &&Runner| {
        let is_engine = runner.accepts_work() && runner.record.stage.is_some();
        is_engine && shards.iter().any(|shard| shard.contains(runner))
    };
    let listed = fleet.iter().filter(has);
    listed.map(|runner| (runner.record.id.clone(), runner.record.address)).collect()
}

async fn list(address: SocketAddr) -> Option<Told<Vec<PromptPart>>> {
    const OK: u16 = 200;
    let connection = Upstream::open(address, LIST_LIMIT).await.ok()?;
    let headers = [("host".to_owned(), address.to_string().into_bytes())];
    connection.send(request_bytes("GET", paths::LIST_CACHE, &headers, &[])).ok()?;
    let head = timeout(LIST_LIMIT, connection.read_head()).await.ok()?.ok()?;
    let decoder = BodyDecoder::new(head.framing);
    let transfer = Transfer::default();
    let body = read_body(&connection, &decoder, MOST_LIST_BYTES, &transfer).await.ok()?;
    if head.status == OK {
        paths::parse_cache_list(&body)
    } else {
        None
    }
}
