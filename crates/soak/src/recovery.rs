//! Whether every node serves every kind of request again after the last fault.
//!
//! All nodes and kinds are tried side by side, so that the time that one of them takes is not taken from another one.

use crate::history::RequestKind;
use std::time::{Duration, Instant};

/// Kinds of requests that each node must serve again.
pub const RECOVERY_KINDS: [RequestKind; 3] =
    [RequestKind::AtMostOnce, RequestKind::Repeatable, RequestKind::ResumableStream];

/// How long and how often each node is tried.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryBound {
    /// Maximum time from the last fault until every node serves every kind of request.
    pub timeout: Duration,
    /// Time between two tries of one node and kind.
    pub interval: Duration,
}

/// The nodes and kinds of requests that are not served within the bound, which starts now. `is_served` sends one request of
/// the kind to the node and returns whether it was served.
pub fn unserved_after_recovery(
    nodes: usize,
    bound: RecoveryBound,
    is_served: impl Fn(usize, RequestKind) -> bool + Sync,
) -> Vec<(usize, RequestKind)> {
    let deadline = Instant::now() + bound.timeout;
    let is_served = &is_served;
    let tries = (0..nodes).flat_map(|node| RECOVERY_KINDS.map(|kind| (node, kind)));
    std::thread::scope(|scope| {
        let running: Vec<_> = tries
            .map(|(node, kind)| {
                let becomes_served =
                    move || is_served_until(deadline, bound.interval, || is_served(node, kind));
                ((node, kind), scope.spawn(becomes_served))
            })
            .collect();
        // A try that panics has served nothing.
        let is_unserved = |(tried, thread): (_, std::thread::ScopedJoinHandle<'_, bool>)| {
            (!thread.join().unwrap_or(false)).then_some(tried)
        };
        running.into_iter().filter_map(is_unserved).collect()
    })
}

/// Tries again and again; at least once, and no longer than until the deadline.
fn is_served_until(deadline: Instant, interval: Duration, is_served: impl Fn() -> bool) -> bool {
    while !is_served() {
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(interval);
    }
    true
}
