//! Asks runners what they keep in their KV caches, once, after a start without other nodes.
//!
//! A node that starts among others is told by them. When all nodes have started together,
//! nobody knows what the runners hold, while their caches may be warm: then one node asks
//! and tells the others. The nodes draw their pauses at random, so most are told in time.

use crate::http::request::request_bytes;
use crate::http::{BodyDecoder, Upstream};
use crate::node::Node;
use pitchstall_platform_adapter::paths;
use pitchstall_serving::digest::PrefixRead;
use pitchstall_serving::ids::RunnerId;
use pitchstall_serving::prefix::PromptPart;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Shortest and longest pause before runners are asked, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..250;
/// Between two looks whether the node is ready.
const READY_POLL: Duration = Duration::from_millis(50);
/// Time for one runner's answer.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);
/// Largest answer.
const MOST_LIST_BYTES: usize = 1024 * 1024;
/// Runners of a fleet whose caches are listed. What more of them hold is too much to tell: the
/// lists of 90 runners, told to 60 nodes, filled links of 10 Mbit/s for half a minute. A larger
/// fleet finds its caches by the homes of prompts, which do not depend on nodes' memory.
pub const MOST_RUNNERS: usize = 64;
/// Parts in one digest entry.
const PARTS_AN_ENTRY: usize = 20;

/// Asks all runners of language models, unless other nodes tell first.
pub async fn list_unless_told(node: Rc<Node>) {
    while !node.is_ready() {
        sleep(READY_POLL).await;
    }
    let pause = rand::rng().random_range(PAUSE_MS);
    sleep(Duration::from_millis(pause)).await;
    if node.is_informed() {
        return;
    }
    node.on_informed();
    for (runner, address) in runners_to_list(&node) {
        let parts = timeout(LIST_LIMIT, list(address)).await.ok().flatten();
        let listed = parts.as_ref().map_or(0, Vec::len);
        let answered = parts.is_some();
        log::info!(target: "peers", runner = runner.as_str(), answered, listed; "cache listed");
        for parts in parts.unwrap_or_default().chunks(PARTS_AN_ENTRY) {
            node.on_prefix_held(PrefixRead { runner: runner.clone(), parts: parts.to_vec() });
        }
    }
}

/// Runners of language models, unless they are too many.
pub fn runners_to_list(node: &Node) -> Vec<(RunnerId, SocketAddr)> {
    let fleet = node.fleet.borrow();
    let engines =
        fleet.iter().filter(|runner| runner.takes_work() && runner.record.stage.is_some());
    let all: Vec<(RunnerId, SocketAddr)> =
        engines.map(|runner| (runner.record.id.clone(), runner.record.address)).collect();
    if all.len() > MOST_RUNNERS {
        log::info!(target: "peers", runners = all.len(); "caches not listed");
        return Vec::new();
    }
    all
}

async fn list(address: SocketAddr) -> Option<Vec<PromptPart>> {
    const OK: u16 = 200;
    let connection = Upstream::open(address, LIST_LIMIT).await.ok()?;
    let headers = [("host".to_owned(), address.to_string().into_bytes())];
    connection.send(request_bytes("GET", paths::LIST_CACHE, &headers, &[])).ok()?;
    let head = connection.read_head().await.ok()?;
    let decoder = BodyDecoder::new(head.framing);
    let body = connection.read_whole_body(&decoder, MOST_LIST_BYTES).await.ok()?;
    if head.status == OK {
        paths::parse_cache_list(&body)
    } else {
        None
    }
}
