//! Reports how many runners this node cannot reach, neither over its own links nor through other nodes.

use crate::clock::Instant;
use crate::node::Node;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Minimum time between two counts of the unreachable runners, since a count looks at every runner.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two counts. A runner that answers again is not announced to this task.
const MAX_COUNT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Updates the metrics of unreachable runners and logs when this node stops or starts to reach any runner at all,
/// until the task is dropped.
pub async fn report_unreachable_runners(node: Rc<Node>) {
    let mut none_reached_since = None;
    loop {
        // A timeout is the usual end of the wait.
        let _ = timeout(MAX_COUNT_INTERVAL, node.suspicion_changed.notified()).await;
        let (known, unreachable) = count_unreachable(&node);
        node.metrics.runners_unreachable.set(unreachable as f64);
        let reaches_none = known > 0 && unreachable == known;
        match none_reached_since {
            None if reaches_none => {
                none_reached_since = Some(Instant::now());
                log::warn!(target: "links", known; "no runner is reached");
            }
            Some(since) if !reaches_none => {
                none_reached_since = None;
                let after_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                log::info!(target: "links", known, unreachable, after_ms; "runners are reached again");
            }
            _ => {}
        }
        sleep(COUNT_INTERVAL).await;
    }
}

/// Number of known runners, and of those that this node could recently not connect to.
fn count_unreachable(node: &Node) -> (usize, usize) {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let unreachable = fleet.iter().filter(|runner| runner.is_unreached(now_us)).count();
    (fleet.iter().count(), unreachable)
}
